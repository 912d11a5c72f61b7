//! Translates the names of zones and kinds in list entries to the numbers that the admission
//! controller uses.

use crate::entry::Entry;
use martenramp::host::{DiscoveredServer, Nanos};
use martenramp::repeat_group::UNNUMBERED;
use std::collections::HashMap;

const MS: Nanos = 1_000_000;
/// At most this many zone names get a number of their own; any others are [`UNNUMBERED`].
const MAX_ZONES: usize = 1024;

/// Numbers of zones and kinds, by name.
#[derive(Debug, Default)]
pub struct NameIds {
    zones: HashMap<Box<str>, u16>,
    kinds: Vec<String>,
}

impl NameIds {
    /// Creates the table with the zones and kinds of the settings, numbered in this order.
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> Self {
        let mut ids = NameIds { kinds, ..NameIds::default() };
        zones.iter().for_each(|zone| _ = ids.zone_number(zone));
        ids
    }

    /// Returns the number of a zone; zones that the settings don't name get numbers of their own.
    fn zone_number(&mut self, name: &str) -> u16 {
        if let Some(number) = self.zones.get(name) {
            return *number;
        }
        let number = self.zones.len() as u16;
        if self.zones.len() >= MAX_ZONES {
            return UNNUMBERED;
        }
        self.zones.insert(name.into(), number);
        number
    }

    /// Converts an entry with this key for the admission controller. The server's number is filled
    /// in later, when the entry is applied.
    pub fn to_listed(&mut self, key: u64, entry: &Entry) -> DiscoveredServer {
        let kind = self.kinds.iter().position(|known| **known == *entry.kind);
        DiscoveredServer {
            server: 0,
            service: entry.service,
            key,
            zone: if entry.gone { UNNUMBERED } else { self.zone_number(&entry.zone) },
            kind: kind.map_or(u8::MAX, |index| index as u8),
            cell: entry.cell,
            ready: entry.ready,
            weight: entry.weight,
            started_at: entry.started_ms.saturating_mul(MS),
        }
    }
}
