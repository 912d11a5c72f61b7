//! The names that entries of the list use, as the numbers that the module knows them by.

use crate::entry::Entry;
use martenramp::host::{DiscoveredServer, Nanos};
use std::collections::HashMap;

const MS: Nanos = 1_000_000;
/// So many names of zones are kept.
const MAX_ZONES: usize = 1024;

/// Zones and kinds by name.
#[derive(Debug, Default)]
pub struct NameIds {
    zones: HashMap<Box<str>, u16>,
    kinds: Vec<String>,
}

impl NameIds {
    /// The zones and kinds that the settings name, numbered in this order.
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> Self {
        let mut directory = NameIds { kinds, ..NameIds::default() };
        zones.iter().for_each(|zone| _ = directory.zone_number(zone));
        directory
    }

    /// The number of a zone; those beyond what the settings name are told apart all the same.
    fn zone_number(&mut self, name: &str) -> u16 {
        if let Some(number) = self.zones.get(name) {
            return *number;
        }
        let number = self.zones.len() as u16;
        if self.zones.len() >= MAX_ZONES {
            return u16::MAX;
        }
        self.zones.insert(name.into(), number);
        number
    }

    /// What the module is told of an entry with this key; the server's number is filled in when it is taken.
    pub fn to_listed(&mut self, key: u64, entry: &Entry) -> DiscoveredServer {
        let kind = self.kinds.iter().position(|known| **known == *entry.kind);
        DiscoveredServer {
            server: 0,
            service: entry.service,
            key,
            zone: if entry.gone { u16::MAX } else { self.zone_number(&entry.zone) },
            kind: kind.map_or(u8::MAX, |at| at as u8),
            cell: entry.cell,
            ready: entry.ready,
            weight: entry.weight,
            started_at: entry.started_ms.saturating_mul(MS),
        }
    }
}
