//! Loopback addresses of a run: one IP address per kind of process, with ports that the system assigns.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};

const fn any_port(last_octet: u8) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, last_octet)), 0)
}

/// Where gateways listen for clients.
pub(crate) const GATEWAYS: SocketAddr = any_port(3);
/// The ports of the stand-in servers begin here, below those that the system assigns: a server that is down later listens
/// again on its port, which no other one may have got in the meantime.
const FIRST_SERVER_PORT: u16 = 10_000;

/// Returns the address of a stand-in server of a fleet, by its number.
pub(crate) fn server_address(fleet_address: IpAddr, number: usize) -> SocketAddr {
    let port = u16::try_from(number).ok().and_then(|number| FIRST_SERVER_PORT.checked_add(number));
    SocketAddr::new(fleet_address, port.unwrap_or(0))
}

/// Returns the IP address for the stand-in servers of the next fleet. Each fleet gets an address of its own, so that no other
/// one, of this process or another one, takes its ports.
pub(crate) fn next_server_address() -> IpAddr {
    static NEXT_FLEET: AtomicU8 = AtomicU8::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let fleet = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
    // Nothing else in the rig listens at 127.64.0.0 or above.
    IpAddr::V4(Ipv4Addr::new(127, 64 | (high & 63), low, fleet))
}
/// Where the discovery agents listen.
pub(crate) const DISCOVERY: SocketAddr = any_port(5);
/// Where the counter listens.
pub(crate) const COUNTER: SocketAddr = any_port(6);
/// Where the relays listen that faults are applied to.
pub(crate) const LINKS: SocketAddr = any_port(7);
/// Where gateways send the datagrams that are meant for all other gateways.
pub(crate) const BROADCAST_RELAY: SocketAddr = any_port(8);
/// Where gateways listen for datagrams from other gateways.
pub(crate) const PEERS: SocketAddr = any_port(9);

/// Returns the address on which a gateway receives datagrams from its peers, taken from its log lines.
pub(crate) fn peer_address(lines: &[String]) -> Option<SocketAddr> {
    let address = |line: &String| line.split("\"peers\":\"").nth(1)?.split('"').next()?.parse().ok();
    lines.iter().find_map(address)
}
