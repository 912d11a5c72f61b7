//! Where everything of a run sits on loopback: an address for each kind of process, with ports that the system picks.

use std::net::{Ipv4Addr, SocketAddr};

const fn any_port(last: u8) -> SocketAddr {
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::new(127, 0, 0, last)), 0)
}

/// The gateways listen for clients.
pub(crate) const GATEWAYS: SocketAddr = any_port(3);
/// The stand-in servers.
pub(crate) const SERVERS: SocketAddr = any_port(4);
/// Discovery's agents.
pub(crate) const DISCOVERY: SocketAddr = any_port(5);
/// The counter.
pub(crate) const COUNTER: SocketAddr = any_port(6);
/// Links that faults are put on.
pub(crate) const LINKS: SocketAddr = any_port(7);
/// Where gateways send what all others are to hear.
pub(crate) const FAN_OUT: SocketAddr = any_port(8);
/// The gateways listen for others' datagrams.
pub(crate) const PEERS: SocketAddr = any_port(9);

/// Where a gateway hears others, as its log line says that it agrees.
pub(crate) fn peer_address(lines: &[String]) -> Option<SocketAddr> {
    let address = |line: &String| line.split("\"peers\":\"").nth(1)?.split('"').next()?.parse().ok();
    lines.iter().find_map(address)
}
