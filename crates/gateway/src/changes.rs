//! A list between its last byte and the moment when all of it is in force: what it changes is found and handed on in
//! batches, each of bounded work, so that a list of any length never takes a whole turn of the poll.

use crate::directory::Directory;
use crate::entry::Entry;
use crate::list::Told;
use crate::servers::Servers;
use martenramp::host::DiscoveredServer;
use martenramp::subsetting;
use std::collections::HashSet;
use std::net::SocketAddr;

/// The work of one turn, in entries compared with what is held.
pub const WORK_A_TURN: usize = 1024;
/// A change costs as much as comparing so many entries; and so many servers are walked past for one.
const WORK_OF_CHANGE: usize = 2;
const WALKED_FOR_ONE: usize = 8;
/// However many servers leave, of each batch so much is for what comes: no list empties what it only replaces.
const COMING_SHARE: usize = 4;

/// The memory of so many compared entries is given back at once: all of it would be a whole turn's work.
const FREED_AT_ONCE: usize = 4096;

/// One server that is other than it was.
#[derive(Debug)]
pub struct Change {
    pub listed: DiscoveredServer,
    /// Nothing for a server that is gone.
    pub address: Option<SocketAddr>,
}

/// What is taken to the module at once. New work stops at once for those that leave.
#[derive(Debug, Default)]
pub struct Batch {
    pub leaving: Vec<Change>,
    pub coming: Vec<Change>,
}

/// The list at hand.
#[derive(Debug)]
pub struct Changes {
    index: u64,
    whole: bool,
    /// Not compared yet, the last one first: of two entries for one server the later one counts.
    entries: Vec<Entry>,
    /// Keys of all that were compared.
    named: HashSet<u64>,
    /// Servers that a whole list does not name are looked for from this number on.
    walked_to: u32,
    /// Both the last one first.
    leaving: Vec<Change>,
    coming: Vec<Change>,
    compared: bool,
    batches: usize,
    changed: usize,
    turns: usize,
}

impl Changes {
    pub fn new(told: Told) -> Self {
        Changes {
            index: told.index,
            whole: told.whole,
            named: HashSet::with_capacity(told.entries.len()),
            entries: told.entries,
            walked_to: 0,
            leaving: Vec::new(),
            coming: Vec::new(),
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
    pub fn changed(&self) -> usize {
        self.changed
    }

    pub fn turns(&self) -> usize {
        self.turns
    }

    /// It goes on in the next turn.
    pub fn rest(&mut self) {
        self.turns += 1;
    }

    /// Does what `work` allows, and takes off what it used up; the next batch, once one is ready. Nothing is handed on
    /// before the whole list was compared: what leaves goes first, wherever in the list it stands.
    pub fn next(&mut self, servers: &Servers, directory: &mut Directory, work: &mut usize) -> Option<Batch> {
        if !self.compared {
            self.compare(servers, directory, work);
            self.walk(servers, work);
        }
        if !self.compared || *work < WORK_OF_CHANGE {
            return None;
        }
        let most = *work / WORK_OF_CHANGE;
        let kept_for_coming = self.coming.len().min(most.div_ceil(COMING_SHARE));
        let leaving = self.leaving.len().min(most - kept_for_coming);
        let coming = self.coming.len().min(most - leaving);
        *work -= (leaving + coming) * WORK_OF_CHANGE;
        self.batches += 1;
        self.changed += leaving + coming;
        let last = |list: &mut Vec<Change>, count: usize| {
            let mut taken = list.split_off(list.len() - count);
            taken.reverse();
            taken
        };
        Some(Batch { leaving: last(&mut self.leaving, leaving), coming: last(&mut self.coming, coming) })
    }

    /// Whether all of it was handed on: in one batch at least, also where nothing changed.
    pub fn is_done(&self) -> bool {
        self.batches > 0 && self.leaving.is_empty() && self.coming.is_empty()
    }

    /// Compares entries with what is held; what is as it was goes no further.
    fn compare(&mut self, servers: &Servers, directory: &mut Directory, work: &mut usize) {
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
            let listed = directory.listed(key, &entry);
            let address = (!entry.gone).then_some(entry.address);
            let held = servers.held(key);
            let unchanged = match address {
                Some(address) => held.is_some_and(|held| held.is_listed_as(&listed, address)),
                None => held.is_none_or(|held| !held.listed),
            };
            match (unchanged, listed.ready) {
                (true, _) => {}
                (false, false) => self.leaving.push(Change { listed, address }),
                (false, true) => self.coming.push(Change { listed, address }),
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
                if server.listed && !self.named.contains(&server.told.key) {
                    self.leaving.push(Change { listed: server.told.clone(), address: None });
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
