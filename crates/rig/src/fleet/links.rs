//! Relay links between the gateways and their peers, to which faults can be applied.

use super::Fleet;
use crate::loopback;
use crate::scenario::{Fault, Place};
use std::net::SocketAddr;

impl Fleet<'_> {
    fn zone_of(&self, gateway: usize) -> &str {
        &self.scenario.zones[gateway % self.scenario.zones.len()]
    }

    /// Returns the faults whose links lie between a gateway and the peers that `covers` accepts.
    pub(super) fn faults_between(&self, gateway: usize, covers: impl Fn(&Place) -> bool) -> Vec<usize> {
        let covers_gateway = |place: &Place| match place {
            Place::Gateways(range) => range.contains(&gateway),
            Place::Zone(zone) => self.zone_of(gateway) == zone,
            _ => false,
        };
        let applies = |fault: &Fault| match fault {
            Fault::Link { from, to, .. } => match (Place::parse(from), Place::parse(to)) {
                (Ok(Place::LoadGenerator), Ok(to)) => covers_gateway(&to) && covers(&Place::LoadGenerator),
                (Ok(from), Ok(to)) => covers_gateway(&from) && covers(&to),
                _ => false,
            },
            _ => false,
        };
        (0..self.scenario.faults.len()).filter(|index| applies(&self.scenario.faults[*index])).collect()
    }

    /// Returns the address to connect to instead of `target`: that of a relay link to which these faults are applied, or
    /// `target` itself if there are none. Users with the same faults and peer share one link.
    pub(super) fn link_address(
        &mut self,
        faults: Vec<usize>,
        peer: &str,
        target: SocketAddr,
    ) -> std::io::Result<SocketAddr> {
        if faults.is_empty() {
            return Ok(target);
        }
        let key = (faults, peer.to_string());
        if let Some(link) = self.links.get(&key) {
            return Ok(link.1);
        }
        let link = self.relays.with(move |relays, io| relays.relay_tcp(io, loopback::LINKS, target))?;
        key.0.iter().for_each(|fault| self.links_by_fault.entry(*fault).or_default().push(link.0));
        self.links.insert(key, link);
        Ok(link.1)
    }
}
