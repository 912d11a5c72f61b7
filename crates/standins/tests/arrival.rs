//! Tests of when a request arrived at a stand-in server, as its ledger records it.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standins::MS;
use standins::reactor::{Clock, Handle};
use standins::scripted::{Client, rpc, status};
use standins::servers::Servers;
use std::sync::mpsc::channel;
use std::time::Duration;

mod support;
use support::server_spec;

const LAG: Duration = Duration::from_millis(300);
/// How exactly the time of an arrival has to be known: far below the slack of the soak's rules.
const PRECISION: Duration = Duration::from_millis(50);

/// Guards against a gateway that is blamed for the lag of a stand-in, such as for a remaining time that was right when the
/// request arrived.
#[test]
fn a_request_arrives_when_it_comes_and_not_when_a_lagging_server_reads_it() {
    let clock = Clock::start();
    let handle = Handle::start(Servers::new(ChaCha8Rng::seed_from_u64(5)), clock).unwrap();
    let (_, address) = handle.with(|servers, io| servers.add(io, server_spec(), true)).unwrap();
    let mut client = Client::new(address);
    assert_eq!(status(&client.ask(&rpc("read", 2000))), 200);
    let (holds, held) = channel();
    let sent_at = std::thread::scope(|scope| {
        scope.spawn(|| {
            handle.with(move |_, _| {
                holds.send(()).unwrap();
                std::thread::sleep(LAG);
            })
        });
        held.recv().unwrap();
        client.send(&rpc("read", 2000));
        clock.now()
    });
    assert_eq!(status(&client.answer().unwrap()), 200);
    let row = handle.with(|servers, _| *servers.ledger.last().unwrap());
    let latest = sent_at + PRECISION.as_nanos() as u64;
    assert!(row.first_byte_at <= latest, "{} ms late", (row.first_byte_at - sent_at) / MS);
    assert!(row.received_at >= sent_at + (LAG - PRECISION).as_nanos() as u64, "the server did not lag");
}
