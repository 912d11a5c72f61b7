//! Setup shared by the tests that run the gateway as a process.

use standins::scripted::{Peer, Program, WATCH_HEAD, list, raw_reply, settings};

pub const BIN: &str = env!("CARGO_BIN_EXE_martenramp");

/// Settings whose connection timeout and deadlines are long enough for a connection that is established late.
pub fn long_timeout_settings() -> String {
    let text =
        settings("\"membershipMode\":\"push\",").replace("\"dialTimeout\":0.25", "\"dialTimeout\":15.0");
    let text = text.replace("\"onTime\":1.5", "\"onTime\":15").replace("\"onTime\":1.2", "\"onTime\":15");
    text.replace("\"onTime\":0.8", "\"onTime\":15").replace("\"window\":5.0", "\"window\":1.0")
}

/// Starts a gateway with these entries as its list and waits until it watches `discovery`, on which the test can
/// send further lists.
pub fn start_gateway(discovery: &Peer, entries: &[String], settings: &str) -> Program {
    let known = list(3, true, entries);
    let gateway = Program::start(BIN, discovery.address, &format!("\"known\":{known},"), settings);
    assert!(discovery.next().1.contains("from=3"));
    gateway
}

/// A discovery service that accepts watches and sends only what the test tells it to.
pub fn discovery_peer() -> Peer {
    Peer::new(|_, _| raw_reply(WATCH_HEAD))
}
