//! Links that faults can be put on, between the gateways and whom they speak with.

use super::Fleet;
use crate::loopback;
use crate::scenario::{Fault, Place};
use std::net::SocketAddr;

impl Fleet<'_> {
    fn zone(&self, gateway: usize) -> &str {
        &self.scenario.zones[gateway % self.scenario.zones.len()]
    }

    /// The faults whose links stand between a gateway and someone.
    pub(super) fn faults_between(&self, gateway: usize, covers: impl Fn(&Place) -> bool) -> Vec<usize> {
        let is_mine = |place: &Place| match place {
            Place::Gateways(range) => range.contains(&gateway),
            Place::Zone(zone) => self.zone(gateway) == zone,
            _ => false,
        };
        let between = |fault: &Fault| match fault {
            Fault::Link { from, to, .. } => match (Place::parse(from), Place::parse(to)) {
                (Ok(Place::LoadGenerator), Ok(to)) => is_mine(&to) && covers(&Place::LoadGenerator),
                (Ok(from), Ok(to)) => is_mine(&from) && covers(&to),
                _ => false,
            },
            _ => false,
        };
        (0..self.scenario.faults.len()).filter(|at| between(&self.scenario.faults[*at])).collect()
    }

    /// Where to come to instead of `target`: a link that those faults are put on, shared by all who have the same.
    pub(super) fn through(
        &mut self,
        faults: Vec<usize>,
        whom: &str,
        target: SocketAddr,
    ) -> std::io::Result<SocketAddr> {
        if faults.is_empty() {
            return Ok(target);
        }
        let key = (faults, whom.to_string());
        if let Some(link) = self.links.get(&key) {
            return Ok(link.1);
        }
        let link = self.relays.with(move |relays, io| relays.relay_tcp(io, loopback::LINKS, target))?;
        key.0.iter().for_each(|fault| self.links_of.entry(*fault).or_default().push(link.0));
        self.links.insert(key, link);
        Ok(link.1)
    }
}
