//! What a gateway makes of lists of servers that contradict each other: its own, an older one (a restored discovery, another
//! source, what it was started on), and what voters tell of newer ones. A server that was taken out of work is not brought
//! back by anything older, and a good list is never emptied.

use crate::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// A removal is remembered for so long.
const REMEMBERED: Nanos = 600_000_000_000;
/// Removals are told to others for so long, and so many of the last: as many as a datagram holds.
const TOLD_FOR: Nanos = 60_000_000_000;
pub const TOLD_MOST: usize = 7;

/// A server as a list has it. `key` is its name's, the same at all gateways; `since` its last start (Unix time, 0 is long ago).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seen {
    pub key: u64,
    pub ready: bool,
    pub since: Nanos,
}

/// What to make of a list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// The list is passed over: it would leave no server ready where some were.
    pub empties: bool,
    /// It is older than what is held: servers that it lacks stay.
    pub older: bool,
    /// Servers that it calls ready but that are not to get new work.
    pub held_back: Vec<u64>,
    /// Servers held back on others' word that the own list has caught up with, and calls ready.
    pub released: Vec<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Removed {
    index: u64,
    since: Nanos,
    at: Nanos,
}

/// The lists of one gateway.
#[derive(Clone, Debug, Default)]
pub struct Lists {
    /// The highest index taken, from the source that is heeded now.
    index: u64,
    /// Ready by the own list, with when they started.
    ready: BTreeMap<u64, Nanos>,
    removed: BTreeMap<u64, Removed>,
    /// Held back on others' word, until the own list has this index.
    late: BTreeMap<u64, u64>,
}

impl Lists {
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Another source is heeded from now on, whose indexes say nothing of the old one's.
    pub fn moved(&mut self) {
        self.index = 0;
        self.late.clear();
        self.removed.values_mut().for_each(|removed| removed.index = u64::MAX);
    }

    /// The own source told a list, whole or only what changed.
    pub fn told(&mut self, now: Nanos, index: u64, whole: bool, list: &[Seen]) -> Verdict {
        self.removed.retain(|_, removed| now < removed.at.saturating_add(REMEMBERED));
        let mut verdict = Verdict { older: index < self.index, ..Verdict::default() };
        // Guards against a discovery that comes up with nothing. Harm: if really all servers are gone, they are found to
        // be by their refusals.
        if whole && !self.ready.is_empty() && !list.iter().any(|seen| seen.ready) {
            verdict.empties = true;
            return verdict;
        }
        for seen in list {
            let newer = |removed: &Removed| {
                let told_anew = !whole && !verdict.older;
                index > removed.index || seen.since > removed.since || told_anew
            };
            match (seen.ready, self.removed.get(&seen.key)) {
                (false, _) => self.remove(now, seen.key, index.max(self.index), seen.since),
                (true, Some(removed)) if !newer(removed) => verdict.held_back.push(seen.key),
                (true, _) => {
                    self.removed.remove(&seen.key);
                    self.ready.insert(seen.key, seen.since);
                }
            }
        }
        if whole && !verdict.older {
            let named: BTreeSet<u64> = list.iter().map(|seen| seen.key).collect();
            let gone = |key: &u64| !named.contains(key);
            let gone: Vec<(u64, Nanos)> =
                self.ready.iter().filter(|(key, _)| gone(key)).map(|(key, since)| (*key, *since)).collect();
            gone.into_iter().for_each(|(key, since)| self.remove(now, key, index, since));
        }
        self.index = self.index.max(index);
        let caught_up: Vec<u64> =
            self.late.iter().filter(|(_, at)| **at <= self.index).map(|late| *late.0).collect();
        caught_up.iter().for_each(|key| _ = self.late.remove(key));
        verdict.released = caught_up.into_iter().filter(|key| self.ready.contains_key(key)).collect();
        verdict.held_back.extend(
            list.iter().filter(|seen| seen.ready && self.late.contains_key(&seen.key)).map(|seen| seen.key),
        );
        verdict
    }

    fn remove(&mut self, now: Nanos, key: u64, index: u64, since: Nanos) {
        self.ready.remove(&key);
        // Told once more, it was removed no later than that.
        let at =
            self.removed.get(&key).filter(|removed| removed.since == since).map_or(now, |removed| removed.at);
        self.removed.insert(key, Removed { index, since, at });
    }

    /// A voter told of a list with this index, and of servers out of work there: those that are held back from now on.
    /// Guards against a list that comes late here. Harm: a voter that is wrong idles some servers until the own list
    /// has that index; at most half of those that are ready, or the word counts for nothing.
    pub fn heard(&mut self, index: u64, keys: &[u64]) -> Vec<u64> {
        if index <= self.index {
            return Vec::new();
        }
        let new = |key: &&u64| self.ready.contains_key(key) && !self.late.contains_key(key);
        let new: Vec<u64> = keys.iter().filter(new).copied().collect();
        if 2 * (self.late.len() + new.len()) > self.ready.len() {
            return Vec::new();
        }
        self.late.extend(new.iter().map(|key| (*key, index)));
        new
    }

    /// What to tell others: the index held, and the last servers taken out of work; nothing if there were none of late.
    pub fn tells(&self, now: Nanos) -> Option<(u64, Vec<u64>)> {
        let fresh = self.removed.iter().filter(|(_, removed)| now < removed.at.saturating_add(TOLD_FOR));
        let mut fresh: Vec<(Nanos, u64)> = fresh.map(|(key, removed)| (removed.at, *key)).collect();
        fresh.sort_unstable_by(|one, two| two.cmp(one));
        fresh.truncate(TOLD_MOST);
        (!fresh.is_empty()).then(|| (self.index, fresh.into_iter().map(|one| one.1).collect()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn seen(key: u64, ready: bool, since: Nanos) -> Seen {
        Seen { key, ready, since }
    }

    fn four() -> Lists {
        let mut lists = Lists::default();
        let all: Vec<Seen> = (1..5).map(|key| seen(key, true, 0)).collect();
        assert_eq!(lists.told(1, 40, true, &all), Verdict::default());
        lists
    }

    #[test]
    fn an_older_list_brings_nothing_back_and_takes_nothing_away() {
        let mut lists = four();
        lists.told(2, 41, false, &[seen(1, false, 0)]);
        lists.told(3, 42, true, &[seen(3, true, 0), seen(4, true, 0), seen(5, true, 9)]); // 2 is gone, 5 new
        let old: Vec<Seen> = (1..5).map(|key| seen(key, true, 0)).collect();
        let verdict = lists.told(4, 40, true, &old);
        assert_eq!((verdict.older, verdict.held_back), (true, vec![1, 2]));
        assert_eq!(lists.ready.keys().copied().collect::<Vec<_>>(), [3, 4, 5]);
        // Newer, it is believed; and a new life is, whatever the index.
        assert_eq!(lists.told(5, 43, false, &[seen(1, true, 0)]).held_back, [0; 0]);
        assert_eq!(lists.told(6, 40, true, &[seen(2, true, 77)]).held_back, [0; 0]);
    }

    #[test]
    fn another_source_that_disagrees_brings_nothing_back_until_it_says_so_anew() {
        let mut lists = four();
        lists.told(2, 41, false, &[seen(1, false, 0)]);
        lists.moved();
        let all: Vec<Seen> = (1..5).map(|key| seen(key, true, 0)).collect();
        assert_eq!(lists.told(3, 900, true, &all).held_back, [1]);
        assert_eq!(lists.told(4, 901, false, &[seen(1, true, 0)]).held_back, [0; 0]);
    }

    #[test]
    fn a_good_list_is_never_emptied() {
        let mut lists = four();
        assert!(lists.told(2, 41, true, &[]).empties);
        assert!(lists.told(3, 42, true, &[seen(1, false, 0)]).empties);
        assert_eq!((lists.ready.len(), lists.index()), (4, 40));
    }

    #[test]
    fn what_others_heard_first_gets_nothing_until_the_own_list_is_as_new() {
        let mut lists = four();
        assert_eq!(lists.heard(41, &[2, 99]), [2]);
        assert_eq!(lists.heard(41, &[2]), [0; 0], "once");
        assert_eq!(lists.heard(42, &[1, 3]), [0; 0], "more than half");
        assert_eq!(lists.heard(40, &[3]), [0; 0], "not newer");
        // An older or equal list that calls it ready does not release it, a newer one does.
        assert_eq!(lists.told(2, 40, true, &[seen(2, true, 0), seen(3, true, 0)]).held_back, [2]);
        assert_eq!(lists.told(3, 41, false, &[seen(3, true, 0)]).released, [2]);
        // Who removed it tells so for a while.
        lists.told(4, 42, false, &[seen(2, false, 0)]);
        assert_eq!(lists.tells(5).map(|told| told.0), Some(42));
        assert!(lists.tells(5).unwrap().1.contains(&2));
        assert_eq!(lists.tells(4 + TOLD_FOR), None);
    }
}
