//! A list between its last byte and the moment when all of it is in force: what it changes is found and handed on in
//! batches, each of bounded work, so that a list of any length never takes a whole turn of the poll.

use crate::entry::Entry;
use crate::list::ListUpdate;
use crate::name_ids::NameIds;
use crate::servers::Servers;
use martenramp::host::DiscoveredServer;
use martenramp::subsetting;
use std::collections::HashSet;
use std::net::SocketAddr;

/// The work of one turn, in entries compared with what is held.
pub const WORK_PER_TURN: usize = 1024;
/// A change costs as much as comparing so many entries; and so many servers are walked past for one.
const WORK_OF_CHANGE: usize = 2;
const WALKED_FOR_ONE: usize = 8;
/// However many servers leave, of each batch so much is for what comes: no list empties what it only replaces.
const COMING_SHARE: usize = 4;

/// The memory of so many compared entries is given back at once: all of it would be a whole turn's work.
const FREED_AT_ONCE: usize = 4096;

/// One server that is other than it was.
#[derive(Debug)]
pub struct ServerChange {
    pub listed: DiscoveredServer,
    /// Nothing for a server that is gone.
    pub address: Option<SocketAddr>,
}

/// What is taken to the module at once. New work stops at once for those that leave.
#[derive(Debug, Default)]
pub struct Batch {
    pub unavailable: Vec<ServerChange>,
    pub available: Vec<ServerChange>,
}

/// The list at hand.
#[derive(Debug)]
pub struct ListDiff {
    index: u64,
    whole: bool,
    /// Not compared yet, the last one first: of two entries for one server the later one counts.
    entries: Vec<Entry>,
    /// Keys of all that were compared.
    named: HashSet<u64>,
    /// Servers that a whole list does not name are looked for from this number on.
    walked_to: u32,
    /// Both the last one first.
    unavailable: Vec<ServerChange>,
    available: Vec<ServerChange>,
    compared: bool,
    batches: usize,
    changed: usize,
    turns: usize,
}

impl ListDiff {
    pub fn new(told: ListUpdate) -> Self {
        ListDiff {
            index: told.index,
            whole: told.is_snapshot,
            named: HashSet::with_capacity(told.entries.len()),
            entries: told.entries,
            walked_to: 0,
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

    /// How many servers have changed by now, and in how many turns.
    pub fn changed_count(&self) -> usize {
        self.changed
    }

    pub fn turn_count(&self) -> usize {
        self.turns
    }

    /// It goes on in the next turn.
    pub fn defer_to_next_turn(&mut self) {
        self.turns += 1;
    }

    /// Does what `work` allows, and takes off what it used up; the next batch, once one is ready. Nothing is handed on
    /// before the whole list was compared: what leaves goes first, wherever in the list it stands.
    pub fn next_batch(
        &mut self,
        servers: &Servers,
        directory: &mut NameIds,
        work: &mut usize,
    ) -> Option<Batch> {
        if !self.compared {
            self.compare(servers, directory, work);
            self.walk(servers, work);
        }
        if !self.compared || *work < WORK_OF_CHANGE {
            return None;
        }
        let most = *work / WORK_OF_CHANGE;
        let kept_for_coming = self.available.len().min(most.div_ceil(COMING_SHARE));
        let unavailable = self.unavailable.len().min(most - kept_for_coming);
        let available = self.available.len().min(most - unavailable);
        *work -= (unavailable + available) * WORK_OF_CHANGE;
        self.batches += 1;
        self.changed += unavailable + available;
        let last = |list: &mut Vec<ServerChange>, count: usize| {
            let mut taken = list.split_off(list.len() - count);
            taken.reverse();
            taken
        };
        Some(Batch {
            unavailable: last(&mut self.unavailable, unavailable),
            available: last(&mut self.available, available),
        })
    }

    /// Whether all of it was handed on: in one batch at least, also where nothing changed.
    pub fn is_done(&self) -> bool {
        self.batches > 0 && self.unavailable.is_empty() && self.available.is_empty()
    }

    /// Compares entries with what is held; what is as it was goes no further.
    fn compare(&mut self, servers: &Servers, directory: &mut NameIds, work: &mut usize) {
        while *work > 0
            && let Some(entry) = self.entries.pop()
        {
            *work -= 1;
            if self.entries.capacity() - self.entries.len() >= FREED_AT_ONCE {
                self.entries.shrink_to_fit();
            }
            let key = subsetting::key(&entry.name);
            if !self.named.insert(key) {
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

    /// Finds the servers that a whole list does not name.
    fn walk(&mut self, servers: &Servers, work: &mut usize) {
        if !self.entries.is_empty() {
            return;
        }
        while self.whole && *work > 0 {
            *work -= 1;
            let mut walked = 0;
            for (number, server) in servers.by_number.range(self.walked_to..).take(WALKED_FOR_ONE) {
                (self.walked_to, walked) = (number + 1, walked + 1);
                if server.is_listed && !self.named.contains(&server.last_listed.key) {
                    self.unavailable.push(ServerChange { listed: server.last_listed.clone(), address: None });
                }
            }
            if walked < WALKED_FOR_ONE {
                self.whole = false;
            }
        }
        self.compared = !self.whole;
        if self.compared {
            self.named = HashSet::new();
        }
    }
}
