//! Many times the usual number of servers: however often a long list changes, the loop goes on serving.

use standins::scripted::{Peer, answer, chunk, entry, list, rpc, status, with_id};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

mod support;
use support::{patient_settings, under, watch};

const SERVERS: usize = 1600;
const GATEWAYS: usize = 900;
/// One server changes its state every so often.
const CHANGE_EVERY: Duration = Duration::from_millis(20);
const RPCS: usize = 150;
/// Far more than an answer takes here, and far less than the time that one change of the list took when it was worked out at once.
const ANSWERED_WITHIN: Duration = Duration::from_millis(700);

#[test]
fn a_long_list_that_changes_all_the_time_holds_up_no_answer() {
    let (server, discovery) = (Peer::new(|_, _| answer(200, "", "ok")), watch());
    let name = |at: usize| format!("s{at:04}");
    let entries: Vec<String> = (0..SERVERS).map(|at| entry(&name(at), server.address, "ready")).collect();
    let fleet = format!("\"balancers\":{GATEWAYS},\"me\":3");
    let gateway = under(&discovery, &entries, &patient_settings().replace("\"balancers\":2", &fleet));
    let mut client = gateway.client();
    assert_eq!(status(&client.ask(&with_id(&rpc("read", 15_000), RPCS as u64))), 200);
    let (over, address) = (AtomicBool::new(false), server.address);
    let slowest = std::thread::scope(|scope| {
        let over = &over;
        scope.spawn(move || {
            let mut index = 3;
            while !over.load(Ordering::Relaxed) {
                index += 1;
                let state = if index % 2 == 0 { "draining" } else { "ready" };
                let changed = entry(&name(index as usize / 2 % SERVERS), address, state);
                discovery.write(0, &chunk(&list(index, false, &[changed])));
                std::thread::sleep(CHANGE_EVERY); // the pace of the changes
            }
        });
        let mut slowest = Duration::ZERO;
        for id in 0..RPCS {
            let asked = Instant::now();
            let got = client.ask(&with_id(&rpc("read", 15_000), id as u64));
            slowest = slowest.max(asked.elapsed());
            if status(&got) != 200 || slowest > ANSWERED_WITHIN {
                break;
            }
            std::thread::sleep(CHANGE_EVERY / 2); // the pace of the load
        }
        over.store(true, Ordering::Relaxed);
        slowest
    });
    assert!(slowest <= ANSWERED_WITHIN, "an answer took {slowest:?}");
}
