//! Trouble after a quiet time, and RPCs with hardly any time: every one gets its one answer, and what must not run twice
//! does not.

use standins::scripted::{Client, Peer, answer, entry, rpc, status, with_id};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

mod support;
use support::{patient_settings, under, watch};

const METHODS: [&str; 3] = ["read", "submit", "verify"];
/// Clients, and so about as many connections to servers that rest when the trouble begins.
const CLIENTS: usize = 8;

fn id_of(message: &str) -> String {
    message.split("X-Txn: ").nth(1).and_then(|rest| rest.split('\r').next()).expect("an id").to_string()
}

/// How often each RPC ran, by its id.
type Runs = Arc<Mutex<BTreeMap<String, usize>>>;

/// A server that counts what it runs, after a while so that connections are not shared; once it is `mute` it says nothing on
/// connections that it knew before.
fn counting(runs: &Runs, mute: &Arc<AtomicBool>) -> Peer {
    let (runs, mute) = (runs.clone(), mute.clone());
    let known = Mutex::new(std::collections::BTreeSet::new());
    Peer::new(move |number, message| {
        let is_new = known.lock().unwrap().insert(number);
        if mute.load(Ordering::Relaxed) && !is_new {
            return (Vec::new(), false); // it has forgotten this connection
        }
        *runs.lock().unwrap().entry(id_of(message)).or_default() += 1;
        std::thread::sleep(Duration::from_millis(20)); // the work
        answer(200, "", "ok")
    })
}

/// Two servers with resting connections; then `trouble`, and RPCs of every method at once.
fn after_a_quiet_time(trouble: impl Fn(&[&Peer], &AtomicBool)) {
    let (runs, mute) = (Runs::default(), Arc::<AtomicBool>::default());
    let (one, two) = (counting(&runs, &mute), counting(&runs, &mute));
    let discovery = watch();
    let entries = [entry("s0", one.address, "ready"), entry("s1", two.address, "ready")];
    let gateway = under(&discovery, &entries, &patient_settings());
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| gateway.client()).collect();
    for (id, client) in clients.iter_mut().enumerate() {
        client.send(&with_id(&rpc("read", 5000), id as u64));
    }
    assert!(clients.iter_mut().all(|client| client.answer().is_some_and(|got| status(&got) == 200)));
    trouble(&[&one, &two], &mute);
    let asked = Instant::now();
    for (id, client) in clients.iter_mut().enumerate() {
        client.send(&with_id(&rpc(METHODS[id % METHODS.len()], 2000), 100 + id as u64));
    }
    for (id, client) in clients.iter_mut().enumerate() {
        let method = METHODS[id % METHODS.len()];
        let got = status(&client.answer().unwrap_or_else(|| panic!("{method} has no answer")));
        let ran = runs.lock().unwrap().get(&format!("{:016x}", 100 + id)).copied().unwrap_or(0);
        assert!(method != "verify" || ran <= 1, "{method} ran {ran} times");
        assert!(!(method == "verify" && ran == 1 && matches!(got, 429 | 503)), "{got} though it ran");
        assert!(matches!(got, 200 | 429 | 502 | 503 | 504), "{method}: {got}");
    }
    assert!(asked.elapsed() < Duration::from_millis(2500), "{:?}", asked.elapsed());
}

#[test]
fn all_resting_connections_to_servers_reset_at_once() {
    after_a_quiet_time(|servers, _| {
        for server in servers {
            (0..server.connections()).for_each(|number| server.reset(number));
        }
    });
}

#[test]
fn all_resting_connections_to_servers_closed_at_once() {
    after_a_quiet_time(|servers, _| {
        for server in servers {
            (0..server.connections()).for_each(|number| server.close(number));
        }
    });
}

#[test]
fn all_resting_connections_to_servers_forgotten_without_a_word() {
    after_a_quiet_time(|_, mute| mute.store(true, Ordering::Relaxed));
}

#[test]
fn rpcs_with_0_to_30_ms_left_get_an_answer_in_their_time_though_servers_drop_them() {
    let (server, discovery) = (Peer::new(|_, _| (Vec::new(), false)), watch());
    let gateway = under(&discovery, &[entry("s0", server.address, "ready")], &patient_settings());
    for (id, remaining) in (0..=30).step_by(3).enumerate() {
        for (nth, method) in METHODS.into_iter().enumerate() {
            let mut client = gateway.client();
            let asked = Instant::now();
            client.send(&with_id(&rpc(method, remaining), (METHODS.len() * id + nth) as u64));
            let got = status(&client.answer().unwrap_or_else(|| panic!("{method} {remaining}: no answer")));
            assert!(matches!(got, 429 | 502 | 503 | 504), "{method} {remaining}: {got}");
            let most = Duration::from_millis(remaining + 500);
            assert!(asked.elapsed() < most, "{method} {remaining}: {:?}", asked.elapsed());
        }
    }
}

#[test]
fn configurations_in_a_row_during_an_outage_of_discovery_lose_nothing() {
    let server = Peer::new(|_, _| answer(200, "", "ok"));
    let (first, nowhere) = (watch(), standins::scripted::refusing_address());
    let gateway = under(&first, &[entry("s0", server.address, "ready")], &patient_settings());
    let mut client = gateway.client();
    for id in 0..20 {
        let at = if id % 2 == 0 { nowhere } else { first.address };
        gateway.rewrite_config(&gateway.config(at, "", &patient_settings()));
        gateway.signal("-HUP");
        let got = client.ask(&with_id(&rpc(METHODS[id % METHODS.len()], 3000), id as u64));
        assert_eq!(status(&got), 200, "{id}");
    }
    assert!(first.next().1.contains("watch=1"), "it comes back to discovery");
}
