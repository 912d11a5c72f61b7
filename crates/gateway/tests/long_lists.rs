//! A list with many times the usual number of servers that changes often does not delay answers.

use standins::scripted::{Peer, answer, chunk, entry, list, rpc, status, with_id};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

mod support;
use support::{discovery_peer, long_timeout_settings, start_gateway};

const SERVERS: usize = 1600;
const GATEWAYS: usize = 900;
/// The interval at which the state of one server in the list changes.
const CHANGE_EVERY: Duration = Duration::from_millis(20);
const RPCS: usize = 150;
/// Far more than an answer takes here, and far less than one change of the list took when it was processed within a
/// single turn of the event loop.
const MAX_LATENCY: Duration = Duration::from_millis(700);

#[test]
fn frequent_changes_of_a_long_list_delay_no_answer() {
    let (server, discovery) = (Peer::new(|_, _| answer(200, "", "ok")), discovery_peer());
    let name = |at: usize| format!("s{at:04}");
    let entries: Vec<String> = (0..SERVERS).map(|at| entry(&name(at), server.address, "ready")).collect();
    let fleet = format!("\"balancers\":{GATEWAYS},\"me\":3");
    let gateway =
        start_gateway(&discovery, &entries, &long_timeout_settings().replace("\"balancers\":2", &fleet));
    let mut client = gateway.client();
    assert_eq!(status(&client.ask(&with_id(&rpc("read", 15_000), RPCS as u64))), 200);
    let (done, address) = (AtomicBool::new(false), server.address);
    let slowest = std::thread::scope(|scope| {
        let done = &done;
        scope.spawn(move || {
            let mut index = 3;
            while !done.load(Ordering::Relaxed) {
                index += 1;
                let state = if index % 2 == 0 { "draining" } else { "ready" };
                let changed = entry(&name(index as usize / 2 % SERVERS), address, state);
                discovery.write(0, &chunk(&list(index, false, &[changed])));
                std::thread::sleep(CHANGE_EVERY);
            }
        });
        let mut slowest = Duration::ZERO;
        for id in 0..RPCS {
            let sent_at = Instant::now();
            let got = client.ask(&with_id(&rpc("read", 15_000), id as u64));
            slowest = slowest.max(sent_at.elapsed());
            if status(&got) != 200 || slowest > MAX_LATENCY {
                break;
            }
            std::thread::sleep(CHANGE_EVERY / 2); // sets the request rate
        }
        done.store(true, Ordering::Relaxed);
        slowest
    });
    assert!(slowest <= MAX_LATENCY, "an answer took {slowest:?}");
}
