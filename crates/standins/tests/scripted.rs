//! The scripted peers: what their checks accept.

use standins::scripted::{Client, Peer, raw_reply};
use std::time::{Duration, Instant};

/// A connection that a peer keeps open, and the peer.
fn open_connection() -> (Client, Peer) {
    let peer = Peer::new(|_, _| raw_reply("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    let mut client = Client::new(peer.address);
    client.ask("GET / HTTP/1.1\r\n\r\n");
    (client, peer)
}

/// Guards against a check that takes the end of its own wait for a close, and so can't fail.
#[test]
fn a_connection_that_stays_open_is_not_closed() {
    let (mut client, _peer) = open_connection();
    let (wait, started_at) = (Duration::from_millis(50), Instant::now());
    assert!(!client.is_closed_within(wait));
    assert!(started_at.elapsed() >= wait, "the check waits for the end");
}

#[test]
fn a_connection_with_bytes_left_to_read_is_not_closed() {
    let (mut client, peer) = open_connection();
    peer.write(0, "x");
    peer.close(0);
    assert!(!client.is_closed());
}

#[test]
fn a_connection_that_was_closed_or_reset_is_closed() {
    let (mut client, peer) = open_connection();
    peer.close(0);
    assert!(client.is_closed());
    let (mut client, peer) = open_connection();
    peer.reset(0);
    assert!(client.is_closed());
}
