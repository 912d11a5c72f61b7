//! Over real connections: a server that answered slowly once is used again soon, since nothing else would show that it is
//! fast again. `tests/idle_servers.rs` of the decisions has more cases, in virtual time.

use standins::scripted::{Client, Peer, answer, entry, rpc, status, with_id};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

mod support;
use support::{discovery_peer, long_timeout_settings, start_gateway};

const SERVICE_TIME: Duration = Duration::from_millis(4);
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(60);
/// The longest time that a ready server may be without an RPC after its slow answer.
const MAX_SILENCE: Duration = Duration::from_secs(2);
/// For how long RPCs are sent before the slow answer.
const WARM_UP: Duration = Duration::from_millis(500);

/// Sends one RPC after another until `is_done`; returns how many.
fn send_until(client: &mut Client, first_id: u64, mut is_done: impl FnMut() -> bool) -> u64 {
    let mut sent = 0;
    while !is_done() {
        let message = with_id(&rpc("read", 2000), first_id + sent).replace("units=2", "units=0.01");
        assert_eq!(status(&client.ask(&message)), 200);
        sent += 1;
    }
    sent
}

/// Guards against a server whose one slow answer makes it look too expensive to be tried again.
#[test]
fn a_server_is_used_again_soon_after_one_slow_answer() {
    let (slow_next, received) = (Arc::<AtomicBool>::default(), Arc::<Mutex<Vec<Instant>>>::default());
    let (is_slow, times) = (slow_next.clone(), received.clone());
    let disturbed = Peer::new(move |_, _| {
        times.lock().unwrap().push(Instant::now());
        let is_slow = is_slow.swap(false, Ordering::Relaxed);
        std::thread::sleep(if is_slow { SLOW_SERVICE_TIME } else { SERVICE_TIME });
        answer(200, "", "ok")
    });
    let others: Vec<Peer> = (0..3)
        .map(|_| {
            Peer::new(|_, _| {
                std::thread::sleep(SERVICE_TIME);
                answer(200, "", "ok")
            })
        })
        .collect();
    let mut entries = vec![entry("s0", disturbed.address, "ready")];
    let names = ["s1", "s2", "s3"];
    entries.extend(names.iter().zip(&others).map(|(name, other)| entry(name, other.address, "ready")));
    let discovery = discovery_peer();
    let gateway = start_gateway(&discovery, &entries, &long_timeout_settings());
    let mut client = gateway.client();
    let started = Instant::now();
    let sent = send_until(&mut client, 0, || started.elapsed() > WARM_UP);
    slow_next.store(true, Ordering::Relaxed);
    let sent = sent + send_until(&mut client, sent, || !slow_next.load(Ordering::Relaxed));
    let (slow_at, before) = (Instant::now(), received.lock().unwrap().len());
    send_until(&mut client, sent, || {
        slow_at.elapsed() > MAX_SILENCE || received.lock().unwrap().len() > before
    });
    assert!(
        received.lock().unwrap().len() > before,
        "the server got no RPC within {MAX_SILENCE:?} after its slow answer"
    );
}
