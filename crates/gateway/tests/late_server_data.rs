//! Servers that send more than their answer, some milliseconds behind it: a second copy of the answer, or noise. It
//! must not become the answer to the next RPC on that connection.

use gateway::late_data::{LateDataHistory, MAX_REST, MIN_REST};
use standins::scripted::{Client, Peer, Program, SEC, answer, entry, rpc, status, transaction_id, with_id};
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

mod support;
use support::{discovery_peer, long_timeout_settings, start_gateway};

/// How late data follows an answer at the most, by the operators' page: "some milliseconds late".
const LATENESS: Duration = Duration::from_millis(10);
const RPCS: u64 = 30;
/// After an RPC waited for a resting connection, others open new ones for this long.
const WAIT_INTERVAL: Duration = Duration::from_millis(100);

/// A server whose answers carry their RPCs' ids, and that sends late data behind each of them, made by `late_data` from the
/// answer. The data is already on its way when a request crosses it, so a request that comes within `LATENESS` of the answer
/// finds it in front of its own answer.
fn server_with_late_data(late_data: fn(&[u8]) -> Vec<u8>) -> Peer {
    let last_answers: Mutex<HashMap<usize, (Instant, Vec<u8>)>> = Mutex::default();
    Peer::new(move |connection, message| {
        let own_answer = answer(200, "", transaction_id(message)).0;
        let mut last_answers = last_answers.lock().unwrap();
        let late = match last_answers.get(&connection) {
            Some((answered_at, last)) if answered_at.elapsed() < LATENESS => late_data(last),
            _ => Vec::new(),
        };
        let bytes = [late, own_answer.clone()].concat();
        last_answers.insert(connection, (Instant::now(), own_answer));
        (bytes, false)
    })
}

/// Sends RPCs right after one another, of which each has to be answered with its own answer.
fn check_answers(gateway: &Program) {
    let mut client: Client = gateway.client();
    for id in 0..RPCS {
        let response = client.ask(&with_id(&rpc("verify", 2000), id));
        assert_eq!(status(&response), 200, "RPC {id}: {response}");
        assert!(response.ends_with(&format!("{id:016x}")), "RPC {id} got a foreign answer: {response}");
    }
}

/// Guards against a client that gets the answer to another customer's RPC.
#[test]
fn a_late_second_copy_of_an_answer_is_not_the_answer_to_the_next_rpc() {
    let (server, discovery) = (server_with_late_data(<[u8]>::to_vec), discovery_peer());
    let gateway =
        start_gateway(&discovery, &[entry("s0", server.address, "ready")], &long_timeout_settings());
    check_answers(&gateway);
}

/// Guards against an RPC that fails although its server answered it well.
#[test]
fn late_noise_behind_an_answer_does_not_fail_the_next_rpc() {
    let (server, discovery) =
        (server_with_late_data(|_| b"\x00\x7f noise\r\n\r\n".to_vec()), discovery_peer());
    let gateway =
        start_gateway(&discovery, &[entry("s0", server.address, "ready")], &long_timeout_settings());
    check_answers(&gateway);
}

/// Guards against connections opened for every short burst: an RPC waits for a resting connection, if no other one did
/// within the last tenth of a second.
#[test]
fn an_rpc_waits_for_a_resting_connection_several_times_a_second() {
    let (server, discovery) = (Peer::new(|_, _| answer(200, "", "done")), discovery_peer());
    let gateway =
        start_gateway(&discovery, &[entry("s0", server.address, "ready")], &long_timeout_settings());
    let mut client: Client = gateway.client();
    for id in 0..10 {
        client.ask(&with_id(&rpc("verify", 2000), id));
        assert_eq!(server.next().0, 0, "RPC {id} got a new connection");
        if id % 2 == 1 {
            std::thread::sleep(WAIT_INTERVAL); // the next RPC finds a rested connection, the one after it waits
        }
    }
}

/// Guards against late copies whose delay is longer than the usual rest: what was seen prolongs it for a while.
#[test]
fn connections_rest_twice_as_long_as_the_latest_data_seen() {
    let mut history = LateDataHistory::default();
    assert_eq!(history.rest(0), MIN_REST);
    history.record(SEC, MIN_REST);
    assert_eq!(history.rest(2 * SEC), 2 * MIN_REST);
    history.record(2 * SEC, 1);
    assert_eq!(history.rest(2 * SEC), 2 * MIN_REST, "less late data doesn't shorten the rest");
    history.record(3 * SEC, MAX_REST);
    assert_eq!(history.rest(3 * SEC), MAX_REST, "the rest is bounded");
    assert_eq!(history.rest(64 * SEC), MIN_REST, "what was seen long ago doesn't count");
    history.record(65 * SEC, MAX_REST + 1);
    assert_eq!(history.rest(65 * SEC), MIN_REST, "data on a connection that was idle for long doesn't count");
}
