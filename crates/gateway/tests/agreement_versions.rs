//! What a gateway says about the version of its settings and what it acts on are the same, also after a version that it
//! started on was dropped.

use agreement::lease::{ContentId, Lease};
use agreement::message::{LeaseMessage, MessageKind};
use standins::scripted::{Peer, Program, WATCH_HEAD, entry, list, raw_reply, rpc, settings, status};
use std::net::{SocketAddr, UdpSocket};
use std::process::Command;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const BIN: &str = env!("CARGO_BIN_EXE_martenramp");
const LEASE_SECONDS: f64 = 0.4;
/// A version's start that is not reached during the test.
const FAR_START: Duration = Duration::from_secs(600);

fn unix_now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap()
}

/// A configuration of the only voter of a fleet of two.
fn configuration(
    discovery: SocketAddr,
    peers: SocketAddr,
    server: &Peer,
    version: u64,
    start: Duration,
    settings: &str,
) -> String {
    let known = list(3, true, &[entry("s0", server.address, "ready")]);
    format!(
        "{{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\"known\":{known},\
         \"peer_listen\":\"127.0.0.1:0\",\"peers_all\":\"{peers}\",\"agreement\":{{\"version\":{version},\"starts_ms\":{},\
         \"voters\":[0],\"lease\":{LEASE_SECONDS},\"clock\":0.1,\"fresh\":true,\"ground\":{{\"quota\":0.5}}}},\"settings\":{settings}}}",
        start.as_millis()
    )
}

/// The address at which the gateway receives datagrams.
fn datagram_address(lines: &[String]) -> SocketAddr {
    let line = lines.iter().find(|line| line.contains("\"agreeing\"")).expect("a line about the agreement");
    let address = line.split("\"peers\":\"").nth(1).and_then(|rest| rest.split('"').next());
    address.and_then(|address| address.parse().ok()).expect("an address")
}

/// Another gateway's message that it holds another content of a version.
fn other_content(version: u64) -> Vec<u8> {
    let sent = unix_now().as_nanos() as u64;
    let lease = Lease { content: ContentId { version, digest: 7 }, from: sent, until: sent };
    LeaseMessage { gateway: 1, incarnation: 1, sent, kind: MessageKind::Holding, lease }.encode()
}

/// Guards against a gateway that says that it acts on version 3, which forbids repeats, and repeats RPCs by version 2.
#[test]
fn a_version_that_replaces_one_with_two_contents_is_acted_on_once_it_is_said_to_be() {
    // The connection ends after each request, so the RPC may have run.
    let (server, discovery) = (Peer::new(|_, _| (Vec::new(), true)), Peer::new(|_, _| raw_reply(WATCH_HEAD)));
    let others = UdpSocket::bind("127.0.0.1:0").unwrap();
    let peers = others.local_addr().unwrap();
    let repeatable = settings("\"me\":0,");
    let forbidden = repeatable.replace("\"idempotency\":\"guarded\"", "\"idempotency\":\"single_shot\"");
    let text = configuration(discovery.address, peers, &server, 2, unix_now() + FAR_START, &repeatable);
    let mut gateway = Program::spawn(&mut Command::new(BIN), &text).unwrap();
    let lines = gateway.wait_started();
    gateway.rewrite_config(&configuration(discovery.address, peers, &server, 3, unix_now(), &forbidden));
    gateway.signal("-HUP");
    assert!(gateway.wait_for_line("\"waits\"").contains("\"version\":3"));
    others.send_to(&other_content(2), datagram_address(&lines)).unwrap();
    gateway.wait_for_line("\"two-contents\"");
    assert!(gateway.wait_for_line("\"new-version\"").contains("\"version\":3"));
    let answer = gateway.client().ask(&rpc("submit", 3000));
    assert_eq!(status(&answer), 502, "it may have run: {answer}");
    server.next();
    assert!(server.nothing_received(), "an RPC that version 3 forbids to repeat was repeated");
}
