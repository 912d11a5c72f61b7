//! Where everything of a run sits on loopback: an address for each kind of process, with ports that the system picks.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};

const fn any_port(last: u8) -> SocketAddr {
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::new(127, 0, 0, last)), 0)
}

/// The gateways listen for clients.
pub(crate) const GATEWAYS: SocketAddr = any_port(3);
/// The stand-in servers of one fleet, at an address of their own: a server that is down comes back at its port, which other
/// fleets of this process or of others must not have taken meanwhile.
pub(crate) fn next_server_address() -> SocketAddr {
    static FLEETS: AtomicU8 = AtomicU8::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
    // Beyond 127.64.0.0 nothing else of the rig listens.
    SocketAddr::from((Ipv4Addr::new(127, 64 | (high & 63), low, fleet), 0))
}
/// Discovery's agents.
pub(crate) const DISCOVERY: SocketAddr = any_port(5);
/// The counter.
pub(crate) const COUNTER: SocketAddr = any_port(6);
/// Links that faults are put on.
pub(crate) const LINKS: SocketAddr = any_port(7);
/// Where gateways send what all others are to hear.
pub(crate) const BROADCAST_RELAY: SocketAddr = any_port(8);
/// The gateways listen for others' datagrams.
pub(crate) const PEERS: SocketAddr = any_port(9);

/// Where a gateway hears others, as its log line says that it agrees.
pub(crate) fn peer_address(lines: &[String]) -> Option<SocketAddr> {
    let address = |line: &String| line.split("\"peers\":\"").nth(1)?.split('"').next()?.parse().ok();
    lines.iter().find_map(address)
}
