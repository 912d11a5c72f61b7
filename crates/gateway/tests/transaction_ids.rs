//! An RPC that may have run for a client that left does not run again when its id comes once more; what is remembered of
//! ids is bounded.

use gateway::transaction_ids::TransactionIds;
use standins::scripted::{Client, Peer, Program, answer, entry, rpc, status, with_id};

mod support;
use support::{discovery_peer, long_timeout_settings, start_gateway};

const SEC: u64 = 1_000_000_000;

/// A server that answers only when the test says so, and a gateway before it.
fn start_with_silent_server() -> (Peer, Peer, Program) {
    let (server, discovery) = (Peer::new(|_, _| (Vec::new(), false)), discovery_peer());
    let gateway =
        start_gateway(&discovery, &[entry("s0", server.address, "ready")], &long_timeout_settings());
    (server, discovery, gateway)
}

/// Sends an RPC, lets its client leave once the server has it, and lets the server answer after that.
fn run_for_client_that_leaves(gateway: &Program, server: &Peer, text: &str) {
    let mut client = gateway.client();
    client.send(text);
    let (number, _) = server.next();
    drop(client);
    gateway.wait_for_line("\"abandoned\"");
    server.write(number, &String::from_utf8(answer(200, "", "ok").0).unwrap());
    gateway.wait_until_processed();
}

#[test]
fn an_id_that_ran_for_a_client_that_left_does_not_run_again() {
    for method in ["verify", "submit"] {
        let (server, _discovery, gateway) = start_with_silent_server();
        run_for_client_that_leaves(&gateway, &server, &rpc(method, 3000));
        assert_eq!(status(&gateway.client().ask(&rpc(method, 3000))), 409, "{method}");
        assert!(server.nothing_received(), "{method} ran twice");
        let mut other = gateway.client();
        other.send(&with_id(&rpc(method, 3000), 7));
        assert!(server.next().1.contains("0000000000000007"), "another id is taken");
    }
}

#[test]
fn an_idempotent_id_may_run_again_after_its_client_left() {
    let (server, _discovery, gateway) = start_with_silent_server();
    run_for_client_that_leaves(&gateway, &server, &rpc("read", 3000));
    let mut again = gateway.client();
    again.send(&rpc("read", 3000));
    server.next();
}

#[test]
fn an_id_whose_server_broke_the_connection_after_its_client_left_does_not_run_again() {
    let (server, _discovery, gateway) = start_with_silent_server();
    let mut client = gateway.client();
    client.send(&rpc("verify", 3000));
    let (number, _) = server.next();
    drop(client);
    gateway.wait_for_line("\"abandoned\"");
    server.reset(number);
    gateway.wait_for_line("connection-reset");
    assert_eq!(status(&gateway.client().ask(&rpc("verify", 3000))), 409);
    assert!(server.nothing_received());
}

#[test]
fn an_id_that_never_ran_may_come_again_after_its_client_left() {
    let (server, discovery) = (Peer::new(|_, _| answer(200, "", "ok")), discovery_peer());
    let gateway =
        start_gateway(&discovery, &[entry("s0", server.address, "draining")], &long_timeout_settings());
    let mut client: Client = gateway.client();
    client.send(&rpc("verify", 3000));
    gateway.wait_until_processed();
    drop(client);
    gateway.wait_for_line("\"abandoned\"");
    let mut again = gateway.client();
    again.send(&rpc("verify", 3000));
    gateway.wait_until_processed();
    assert!(again.nothing_received(), "it waits for a server, and is not refused for its id");
}

#[test]
fn remembered_ids_are_forgotten_in_time_and_never_take_more_than_their_memory() {
    let mut ids = TransactionIds::new(64 << 10);
    let id = |number: u64| format!("{number:016x}").into_bytes();
    assert!(ids.open(&id(0), 0));
    assert!(!ids.open(&id(0), 0), "open");
    ids.remember(&id(0), SEC);
    assert!(!ids.open(&id(0), 30 * SEC), "remembered");
    assert!(ids.open(&id(0), 31 * SEC), "forgotten after 30 s");
    ids.close(&id(0));
    assert!(ids.open(&id(0), 31 * SEC), "closed");
    for number in 1..100_000 {
        assert!(ids.open(&id(number), 32 * SEC));
        ids.remember(&id(number), 32 * SEC);
    }
    assert_eq!(ids.remembered_count(), (64 << 10) / 256);
    assert!(!ids.open(&id(99_999), 32 * SEC), "the newest are kept");
    assert!(ids.open(&id(1), 32 * SEC), "the oldest are forgotten first");
    assert!(!ids.open(&id(0), 32 * SEC), "an open id is never forgotten");
    ids.remember(&vec![b'x'; 10_000], 32 * SEC);
    assert!(ids.open(&vec![b'x'; 10_000], 32 * SEC), "ids longer than any of the protocol are not kept");
}
