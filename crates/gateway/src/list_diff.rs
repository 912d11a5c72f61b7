//! Compares a list from discovery with the servers held and hands on the changes in batches of
//! bounded work, so that a list of any length never blocks the event loop for a whole turn.

use crate::entry::Entry;
use crate::list::ListUpdate;
use crate::name_ids::NameIds;
use crate::servers::Servers;
use martenramp::host::DiscoveredServer;
use martenramp::subsetting;
use std::collections::HashSet;
use std::net::SocketAddr;

/// Work per turn of the event loop, in entries compared with the servers held.
pub const WORK_PER_TURN: usize = 1024;
/// Work of handing on one changed server, in units of one compared entry.
const WORK_PER_CHANGE: usize = 2;
/// Work of taking up one update, in units of one compared entry, however little it changes.
pub const WORK_PER_UPDATE: usize = 24;
/// Held servers that are scanned for one unit of work.
const SCANNED_PER_WORK: usize = 8;
/// Divisor of the share of each batch that is reserved for available servers, so that a list which
/// replaces servers never withdraws all of the old ones before it adds new ones.
const RESERVED_DIVISOR: usize = 4;

/// Memory of compared entries is released in steps of this many entries: releasing all of it at
/// once would take a whole turn.
const SHRINK_STEP: usize = 4096;

/// A server whose listed state has changed.
#[derive(Debug)]
pub struct ServerChange {
    pub listed: DiscoveredServer,
    /// `None` for a server that was removed.
    pub address: Option<SocketAddr>,
}

/// Changes that are applied together. New work stops immediately for the unavailable servers.
#[derive(Debug, Default)]
pub struct Batch {
    /// Servers that are draining or were removed.
    pub unavailable: Vec<ServerChange>,
    /// Servers that are ready and are new or have changed.
    pub available: Vec<ServerChange>,
}

/// The difference between a list and the servers held, computed and handed on step by step.
#[derive(Debug)]
pub struct ListDiff {
    index: u64,
    /// The list is a full snapshot, and servers that it does not name are still to be found.
    scan_pending: bool,
    /// Entries that are not compared yet, in reverse order: of two entries for one server the later
    /// one counts.
    entries: Vec<Entry>,
    /// Keys of all compared entries.
    seen_keys: HashSet<u64>,
    /// The next server number in the scan for servers that a full snapshot does not name.
    scanned_to: u32,
    /// Changes not yet handed on, both in reverse order.
    unavailable: Vec<ServerChange>,
    available: Vec<ServerChange>,
    compared: bool,
    batches: usize,
    changed: usize,
    turns: usize,
}

impl ListDiff {
    pub fn new(list: ListUpdate) -> Self {
        ListDiff {
            index: list.index,
            scan_pending: list.is_snapshot,
            seen_keys: HashSet::with_capacity(list.entries.len()),
            entries: list.entries,
            scanned_to: 0,
            unavailable: Vec::new(),
            available: Vec::new(),
            compared: false,
            batches: 0,
            changed: 0,
            turns: 1,
        }
    }

    /// The version of the list.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// How many servers have changed so far.
    pub fn changed_count(&self) -> usize {
        self.changed
    }

    /// In how many turns the list was applied so far.
    pub fn turn_count(&self) -> usize {
        self.turns
    }

    /// Counts one more turn: the work continues in the next one.
    pub fn defer_to_next_turn(&mut self) {
        self.turns += 1;
    }

    /// Does as much as `work` allows, deducts what it used, and returns the next batch once one is
    /// ready. Nothing is handed on before the whole list is compared, so that unavailable servers
    /// come first wherever they stand in the list.
    pub fn next_batch(
        &mut self,
        servers: &Servers,
        directory: &mut NameIds,
        work: &mut usize,
    ) -> Option<Batch> {
        if !self.compared {
            self.compare(servers, directory, work);
            self.find_unnamed(servers, work);
        }
        if !self.compared || *work < WORK_PER_CHANGE {
            return None;
        }
        let max_changes = *work / WORK_PER_CHANGE;
        let reserved = self.available.len().min(max_changes.div_ceil(RESERVED_DIVISOR));
        let unavailable = self.unavailable.len().min(max_changes - reserved);
        let available = self.available.len().min(max_changes - unavailable);
        *work -= (unavailable + available) * WORK_PER_CHANGE;
        self.batches += 1;
        self.changed += unavailable + available;
        let take_last = |list: &mut Vec<ServerChange>, count: usize| {
            let mut taken = list.split_off(list.len() - count);
            taken.reverse();
            taken
        };
        Some(Batch {
            unavailable: take_last(&mut self.unavailable, unavailable),
            available: take_last(&mut self.available, available),
        })
    }

    /// Whether the whole list was handed on. There is at least one batch, even if nothing changed.
    pub fn is_done(&self) -> bool {
        self.batches > 0 && self.unavailable.is_empty() && self.available.is_empty()
    }

    /// Compares entries with the servers held; unchanged ones are skipped.
    fn compare(&mut self, servers: &Servers, directory: &mut NameIds, work: &mut usize) {
        while *work > 0
            && let Some(entry) = self.entries.pop()
        {
            *work -= 1;
            if self.entries.capacity() - self.entries.len() >= SHRINK_STEP {
                self.entries.shrink_to_fit();
            }
            let key = subsetting::key(&entry.name);
            if !self.seen_keys.insert(key) {
                continue;
            }
            let listed = directory.to_listed(key, &entry);
            let address = (!entry.gone).then_some(entry.address);
            let held = servers.by_key(key);
            let unchanged = match address {
                Some(address) => held.is_some_and(|held| held.is_listed_as(&listed, address)),
                None => held.is_none_or(|held| !held.is_listed),
            };
            match (unchanged, listed.ready) {
                (true, _) => {}
                (false, false) => self.unavailable.push(ServerChange { listed, address }),
                (false, true) => self.available.push(ServerChange { listed, address }),
            }
        }
    }

    /// Finds the servers that a full snapshot does not name.
    fn find_unnamed(&mut self, servers: &Servers, work: &mut usize) {
        if !self.entries.is_empty() {
            return;
        }
        while self.scan_pending && *work > 0 {
            *work -= 1;
            let mut scanned = 0;
            for (number, server) in servers.by_number.range(self.scanned_to..).take(SCANNED_PER_WORK) {
                (self.scanned_to, scanned) = (number + 1, scanned + 1);
                if server.is_listed && !self.seen_keys.contains(&server.last_listed.key) {
                    self.unavailable.push(ServerChange { listed: server.last_listed.clone(), address: None });
                }
            }
            if scanned < SCANNED_PER_WORK {
                self.scan_pending = false;
            }
        }
        self.compared = !self.scan_pending;
        if self.compared {
            self.seen_keys = HashSet::new();
        }
    }
}
