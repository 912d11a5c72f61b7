//! Connections to servers that break while idle, RPCs with very short deadlines, and reloads while discovery is down:
//! every RPC gets one answer, and a non-idempotent RPC runs at most once.

use standins::scripted::{Client, Peer, answer, entry, rpc, status, transaction_id, with_id};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

mod support;
use support::{discovery_peer, long_timeout_settings, start_gateway};

const METHODS: [&str; 3] = ["read", "submit", "verify"];
/// Number of clients, and so about the number of idle connections to servers when the fault occurs.
const CLIENTS: usize = 8;

/// How often each RPC ran, by its ID.
type RunCounts = Arc<Mutex<BTreeMap<String, usize>>>;

/// A server that counts how often it runs each RPC. Each run takes a while, so that concurrent RPCs use separate
/// connections. Once `mute` is set, it does not answer on connections that it had before.
fn counting_server(run_counts: &RunCounts, mute: &Arc<AtomicBool>) -> Peer {
    let (run_counts, mute) = (run_counts.clone(), mute.clone());
    let known_connections = Mutex::new(std::collections::BTreeSet::new());
    Peer::new(move |number, message| {
        let is_new = known_connections.lock().unwrap().insert(number);
        if mute.load(Ordering::Relaxed) && !is_new {
            return (Vec::new(), false); // as if the server had lost this connection's state
        }
        *run_counts.lock().unwrap().entry(transaction_id(message).to_string()).or_default() += 1;
        std::thread::sleep(Duration::from_millis(20)); // service time
        answer(200, "", "ok")
    })
}

/// Starts two servers, lets connections to them become idle, injects `fault`, and then sends RPCs of every method at
/// once.
fn check_fault_on_idle_connections(fault: impl Fn(&[&Peer], &AtomicBool)) {
    let (run_counts, mute) = (RunCounts::default(), Arc::<AtomicBool>::default());
    let (first_server, second_server) =
        (counting_server(&run_counts, &mute), counting_server(&run_counts, &mute));
    let discovery = discovery_peer();
    let entries = [entry("s0", first_server.address, "ready"), entry("s1", second_server.address, "ready")];
    let gateway = start_gateway(&discovery, &entries, &long_timeout_settings());
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| gateway.client()).collect();
    for (id, client) in clients.iter_mut().enumerate() {
        client.send(&with_id(&rpc("read", 5000), id as u64));
    }
    assert!(clients.iter_mut().all(|client| client.answer().is_some_and(|got| status(&got) == 200)));
    fault(&[&first_server, &second_server], &mute);
    let sent_at = Instant::now();
    for (id, client) in clients.iter_mut().enumerate() {
        client.send(&with_id(&rpc(METHODS[id % METHODS.len()], 2000), 100 + id as u64));
    }
    for (id, client) in clients.iter_mut().enumerate() {
        let method = METHODS[id % METHODS.len()];
        let got = status(&client.answer().unwrap_or_else(|| panic!("{method} has no answer")));
        let run_count = run_counts.lock().unwrap().get(&format!("{:016x}", 100 + id)).copied().unwrap_or(0);
        assert!(method != "verify" || run_count <= 1, "{method} ran {run_count} times");
        assert!(!(method == "verify" && run_count == 1 && matches!(got, 429 | 503)), "{got} although it ran");
        assert!(matches!(got, 200 | 429 | 502 | 503 | 504), "{method}: {got}");
    }
    assert!(sent_at.elapsed() < Duration::from_millis(2500), "{:?}", sent_at.elapsed());
}

#[test]
fn all_idle_server_connections_are_reset_at_once() {
    check_fault_on_idle_connections(|servers, _| {
        for server in servers {
            (0..server.connections()).for_each(|number| server.reset(number));
        }
    });
}

#[test]
fn all_idle_server_connections_are_closed_at_once() {
    check_fault_on_idle_connections(|servers, _| {
        for server in servers {
            (0..server.connections()).for_each(|number| server.close(number));
        }
    });
}

#[test]
fn all_idle_server_connections_are_lost_without_notice() {
    check_fault_on_idle_connections(|_, mute| mute.store(true, Ordering::Relaxed));
}

#[test]
fn rpcs_with_0_to_30_ms_left_are_answered_in_time_though_servers_never_answer() {
    let (server, discovery) = (Peer::new(|_, _| (Vec::new(), false)), discovery_peer());
    let gateway =
        start_gateway(&discovery, &[entry("s0", server.address, "ready")], &long_timeout_settings());
    for (id, remaining) in (0..=30).step_by(3).enumerate() {
        for (nth, method) in METHODS.into_iter().enumerate() {
            let mut client = gateway.client();
            let sent_at = Instant::now();
            client.send(&with_id(&rpc(method, remaining), (METHODS.len() * id + nth) as u64));
            let got = status(&client.answer().unwrap_or_else(|| panic!("{method} {remaining}: no answer")));
            assert!(matches!(got, 429 | 502 | 503 | 504), "{method} {remaining}: {got}");
            let limit = Duration::from_millis(remaining + 500);
            assert!(sent_at.elapsed() < limit, "{method} {remaining}: {:?}", sent_at.elapsed());
        }
    }
}

#[test]
fn consecutive_reloads_during_a_discovery_outage_lose_no_rpc() {
    let server = Peer::new(|_, _| answer(200, "", "ok"));
    let (discovery, unreachable) = (discovery_peer(), standins::scripted::refusing_address());
    let gateway =
        start_gateway(&discovery, &[entry("s0", server.address, "ready")], &long_timeout_settings());
    let mut client = gateway.client();
    for id in 0..20 {
        let at = if id % 2 == 0 { unreachable } else { discovery.address };
        gateway.rewrite_config(&gateway.config(at, "", &long_timeout_settings()));
        gateway.signal("-HUP");
        let got = client.ask(&with_id(&rpc(METHODS[id % METHODS.len()], 3000), id as u64));
        assert_eq!(status(&got), 200, "{id}");
    }
    assert!(discovery.next().1.contains("watch=1"), "the gateway reconnects to discovery");
}
