//! Reviews server lists that contradict each other: the gateway's current list, an older one (from a restored discovery,
//! another source or the start configuration) and voters' notices of newer ones. Older information never makes a removed
//! server ready again, and a list that leaves no server ready is ignored.

use crate::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// How long a removal is remembered.
const REMOVAL_RETENTION: Nanos = 600_000_000_000;
/// How long a removal is announced to other gateways.
const ANNOUNCEMENT_PERIOD: Nanos = 60_000_000_000;
/// The most removals that one notice announces: as many as fit into a datagram.
pub const MAX_ANNOUNCED_REMOVALS: usize = 7;

/// A server as listed by a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedServer {
    /// The key of the server's name, the same at all gateways.
    pub key: u64,
    /// Whether the server may get new RPCs.
    pub ready: bool,
    /// When the server last started, Unix time; 0 means long ago.
    pub started_at: Nanos,
}

/// The result of reviewing a list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListReview {
    /// The list would leave no server ready although some are; it is ignored.
    pub leaves_none_ready: bool,
    /// The list is older than the current one; servers missing from it are not removed.
    pub is_older: bool,
    /// Servers that are ready in the list but must not get new RPCs.
    pub held_back: Vec<u64>,
    /// Servers that were suspended by a voter's notice and are ready in the own list now that it is as new as the notice.
    pub released: Vec<u64>,
}

/// The recent removals that a voter announces to other gateways.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemovalAnnouncement {
    /// The index of the voter's list.
    pub index: u64,
    /// Keys of the servers removed last.
    pub removed: Vec<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Removal {
    index: u64,
    server_started_at: Nanos,
    removed_at: Nanos,
}

/// Tracks the server lists of one gateway: which servers are ready, removed or suspended.
#[derive(Clone, Debug, Default)]
pub struct ListTracker {
    /// The highest index applied from the current source.
    index: u64,
    /// Servers that are ready in the own list, with their start times.
    ready: BTreeMap<u64, Nanos>,
    removed: BTreeMap<u64, Removal>,
    /// Servers held back by a voter's notice, each until the own list reaches this index.
    suspended: BTreeMap<u64, u64>,
}

impl ListTracker {
    /// The highest index applied from the current source.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Switches to another source, whose indexes are not comparable with those of the old one.
    pub fn change_source(&mut self) {
        self.index = 0;
        self.suspended.clear();
        self.removed.values_mut().for_each(|removed| removed.index = u64::MAX);
    }

    /// Applies a list from the own source: complete if `whole` is set, otherwise only what changed.
    pub fn apply(&mut self, now: Nanos, index: u64, whole: bool, list: &[ListedServer]) -> ListReview {
        self.removed.retain(|_, removed| now < removed.removed_at.saturating_add(REMOVAL_RETENTION));
        let mut review = ListReview { is_older: index < self.index, ..ListReview::default() };
        // Guards against a discovery that restarts with an empty list. Cost: if all servers really are gone, that is only
        // noticed when they refuse connections.
        if whole && !self.ready.is_empty() && !list.iter().any(|server| server.ready) {
            review.leaves_none_ready = true;
            return review;
        }
        for server in list {
            let newer = |removed: &Removal| {
                let is_current_change = !whole && !review.is_older;
                index > removed.index || server.started_at > removed.server_started_at || is_current_change
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
            let listed: BTreeSet<u64> = list.iter().map(|server| server.key).collect();
            let gone = |key: &u64| !listed.contains(key);
            let gone: Vec<(u64, Nanos)> = self
                .ready
                .iter()
                .filter(|(key, _)| gone(key))
                .map(|(key, started_at)| (*key, *started_at))
                .collect();
            gone.into_iter().for_each(|(key, started_at)| self.remove(now, key, index, started_at));
        }
        self.index = self.index.max(index);
        let caught_up: Vec<u64> = self
            .suspended
            .iter()
            .filter(|(_, release_index)| **release_index <= self.index)
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

    fn remove(&mut self, now: Nanos, key: u64, index: u64, server_started_at: Nanos) {
        self.ready.remove(&key);
        // A removal that is repeated for the same server start keeps its first time.
        let removed_at = self
            .removed
            .get(&key)
            .filter(|removed| removed.server_started_at == server_started_at)
            .map_or(now, |removed| removed.removed_at);
        self.removed.insert(key, Removal { index, server_started_at, removed_at });
    }

    /// Applies a voter's notice of a list with this index and of the servers removed there; returns the keys of servers
    /// that are suspended from now on. Guards against a list that reaches this gateway late. Cost: a voter that is wrong
    /// idles servers until the own list has that index. To limit this, a notice that would bring the suspended servers to
    /// more than half of the ready ones is ignored.
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

    /// The announcement for other gateways, if any server was removed recently.
    pub fn announcement(&self, now: Nanos) -> Option<RemovalAnnouncement> {
        let recent = self
            .removed
            .iter()
            .filter(|(_, removed)| now < removed.removed_at.saturating_add(ANNOUNCEMENT_PERIOD));
        let mut recent: Vec<(Nanos, u64)> = recent.map(|(key, removed)| (removed.removed_at, *key)).collect();
        recent.sort_unstable_by(|left, right| right.cmp(left));
        recent.truncate(MAX_ANNOUNCED_REMOVALS);
        let removed = || recent.iter().map(|removal| removal.1).collect();
        (!recent.is_empty()).then(|| RemovalAnnouncement { index: self.index, removed: removed() })
    }
}

#[cfg(test)]
mod tests;
