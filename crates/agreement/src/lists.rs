//! What a gateway makes of lists of servers that contradict each other: its own, an older one (a restored discovery, another
//! source, what it was started on), and what voters tell of newer ones. A server that was taken out of work is not brought
//! back by anything older, and a good list is never emptied.

use crate::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// A removal is remembered for so long.
const REMOVAL_MEMORY: Nanos = 600_000_000_000;
/// Removals are told to others for so long.
const ANNOUNCED_FOR: Nanos = 60_000_000_000;
/// So many of the last removals are told to others: as many as a datagram holds.
pub const MAX_ANNOUNCED_REMOVALS: usize = 7;

/// A server as a list has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedServer {
    /// Of its name, the same at all gateways.
    pub key: u64,
    /// Whether it may get new work.
    pub ready: bool,
    /// Its last start, Unix time; 0 is long ago.
    pub started_at: Nanos,
}

/// What was made of a list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListReview {
    /// The list is ignored: it would leave no server ready where some were.
    pub leaves_none_ready: bool,
    /// It is older than what is held: servers that it lacks stay.
    pub is_older: bool,
    /// Servers that it calls ready but that are not to get new work.
    pub held_back: Vec<u64>,
    /// Servers held back on others' notices that the own list has caught up with, and calls ready.
    pub released: Vec<u64>,
}

/// What a voter tells others of its list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemovalAnnouncement {
    /// The index of the list.
    pub index: u64,
    /// Keys of the servers that were last taken out of work.
    pub removed: Vec<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Removal {
    index: u64,
    since: Nanos,
    at: Nanos,
}

/// The lists of one gateway.
#[derive(Clone, Debug, Default)]
pub struct ListTracker {
    /// The highest index taken, from the source that is heeded now.
    index: u64,
    /// Ready by the own list, with when they started.
    ready: BTreeMap<u64, Nanos>,
    removed: BTreeMap<u64, Removal>,
    /// Held back on others' notices, until the own list has this index.
    suspended: BTreeMap<u64, u64>,
}

impl ListTracker {
    /// The highest index taken from the source that is heeded now.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Another source is heeded from now on, whose indexes say nothing of the old one's.
    pub fn change_source(&mut self) {
        self.index = 0;
        self.suspended.clear();
        self.removed.values_mut().for_each(|removed| removed.index = u64::MAX);
    }

    /// The own source sent a list, whole or only what changed.
    pub fn apply(&mut self, now: Nanos, index: u64, whole: bool, list: &[ListedServer]) -> ListReview {
        self.removed.retain(|_, removed| now < removed.at.saturating_add(REMOVAL_MEMORY));
        let mut review = ListReview { is_older: index < self.index, ..ListReview::default() };
        // Guards against a discovery that comes up with nothing. Harm: if really all servers are gone, they are found to
        // be by their refusals.
        if whole && !self.ready.is_empty() && !list.iter().any(|server| server.ready) {
            review.leaves_none_ready = true;
            return review;
        }
        for server in list {
            let newer = |removed: &Removal| {
                let told_by_source = !whole && !review.is_older;
                index > removed.index || server.started_at > removed.since || told_by_source
            };
            match (server.ready, self.removed.get(&server.key)) {
                (false, _) => self.remove(now, server.key, index.max(self.index), server.started_at),
                (true, Some(removed)) if !newer(removed) => review.held_back.push(server.key),
                (true, _) => {
                    self.removed.remove(&server.key);
                    self.ready.insert(server.key, server.started_at);
                }
            }
        }
        if whole && !review.is_older {
            let named: BTreeSet<u64> = list.iter().map(|server| server.key).collect();
            let gone = |key: &u64| !named.contains(key);
            let gone: Vec<(u64, Nanos)> =
                self.ready.iter().filter(|(key, _)| gone(key)).map(|(key, since)| (*key, *since)).collect();
            gone.into_iter().for_each(|(key, since)| self.remove(now, key, index, since));
        }
        self.index = self.index.max(index);
        let caught_up: Vec<u64> = self
            .suspended
            .iter()
            .filter(|(_, at)| **at <= self.index)
            .map(|suspended| *suspended.0)
            .collect();
        caught_up.iter().for_each(|key| _ = self.suspended.remove(key));
        review.released = caught_up.into_iter().filter(|key| self.ready.contains_key(key)).collect();
        review.held_back.extend(
            list.iter()
                .filter(|server| server.ready && self.suspended.contains_key(&server.key))
                .map(|server| server.key),
        );
        review
    }

    fn remove(&mut self, now: Nanos, key: u64, index: u64, since: Nanos) {
        self.ready.remove(&key);
        // Told once more, it was removed no later than that.
        let at =
            self.removed.get(&key).filter(|removed| removed.since == since).map_or(now, |removed| removed.at);
        self.removed.insert(key, Removal { index, since, at });
    }

    /// A voter told of a list with this index, and of servers out of work there: those that are held back from now on.
    /// Guards against a list that comes late here. Harm: a voter that is wrong idles some servers until the own list
    /// has that index; at most half of those that are ready, or the notice counts for nothing.
    pub fn apply_notice(&mut self, index: u64, keys: &[u64]) -> Vec<u64> {
        if index <= self.index {
            return Vec::new();
        }
        let new = |key: &&u64| self.ready.contains_key(key) && !self.suspended.contains_key(key);
        let new: Vec<u64> = keys.iter().filter(new).copied().collect();
        if 2 * (self.suspended.len() + new.len()) > self.ready.len() {
            return Vec::new();
        }
        self.suspended.extend(new.iter().map(|key| (*key, index)));
        new
    }

    /// What to tell others: the index held, and the last servers taken out of work; nothing if there were none of late.
    pub fn announcement(&self, now: Nanos) -> Option<RemovalAnnouncement> {
        let fresh = self.removed.iter().filter(|(_, removed)| now < removed.at.saturating_add(ANNOUNCED_FOR));
        let mut fresh: Vec<(Nanos, u64)> = fresh.map(|(key, removed)| (removed.at, *key)).collect();
        fresh.sort_unstable_by(|one, two| two.cmp(one));
        fresh.truncate(MAX_ANNOUNCED_REMOVALS);
        let removed = || fresh.iter().map(|removal| removal.1).collect();
        (!fresh.is_empty()).then(|| RemovalAnnouncement { index: self.index, removed: removed() })
    }
}

#[cfg(test)]
mod tests;
