//! Set-up that several stories with real processes share.

use standins::scripted::{Peer, Program, WATCH_HEAD, list, raw_reply, settings};

pub const BIN: &str = env!("CARGO_BIN_EXE_martenramp");

/// Settings that leave a connection and an RPC all the time that a late connection needs.
pub fn patient_settings() -> String {
    let wide =
        settings("\"membershipMode\":\"push\",").replace("\"dialTimeout\":0.25", "\"dialTimeout\":15.0");
    let wide = wide.replace("\"onTime\":1.5", "\"onTime\":15").replace("\"onTime\":1.2", "\"onTime\":15");
    wide.replace("\"onTime\":0.8", "\"onTime\":15").replace("\"window\":5.0", "\"window\":1.0")
}

/// A gateway with these entries in its list, under a watch that the test speaks on.
pub fn under(discovery: &Peer, entries: &[String], settings: &str) -> Program {
    let known = list(3, true, entries);
    let gateway = Program::start(BIN, discovery.address, &format!("\"known\":{known},"), settings);
    assert!(discovery.next().1.contains("from=3"));
    gateway
}

pub fn watch() -> Peer {
    Peer::new(|_, _| raw_reply(WATCH_HEAD))
}
