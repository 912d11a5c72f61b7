//! The model of the shared counter: named counts with windows, a stall, a split in which each half of the gateways
//! uses its own copy, and a replacement that starts without counts. Free of I/O.

use crate::Nanos;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Count {
    total: f64,
    expires_at: Nanos,
}

/// The shared counter.
#[derive(Default)]
pub struct Counter {
    /// The copies of the counts. The second one is used only during a split.
    copies: [BTreeMap<u64, Count>; 2],
    /// Whether each half of the gateways uses its own copy.
    pub split: bool,
    /// Whether the counter leaves all calls unanswered.
    pub stalled: bool,
    /// Whether the scenario has a shared counter.
    pub enabled: bool,
    add_calls: u64,
}

impl Counter {
    /// A counter without counts.
    pub fn new(enabled: bool) -> Counter {
        Counter { enabled, ..Counter::default() }
    }

    /// The index of the copy that a gateway uses.
    pub fn copy_index(&self, gateway: u32) -> usize {
        if self.split { (gateway % 2) as usize } else { 0 }
    }

    /// Adds to a count and returns the total, or `None` if the counter is stalled or disabled. A count whose window
    /// is over starts again at 0, with a window of length `forget`.
    pub fn add(&mut self, now: Nanos, gateway: u32, name: u64, add: f64, forget: Nanos) -> Option<f64> {
        if self.stalled || !self.enabled {
            return None;
        }
        self.add_calls += 1;
        if self.add_calls.is_multiple_of(4096) {
            self.copies.iter_mut().for_each(|copy| copy.retain(|_, count| count.expires_at > now));
        }
        let index = self.copy_index(gateway);
        let new_count = Count { total: 0.0, expires_at: now + forget.max(1) };
        let count = self.copies[index].entry(name).or_insert(new_count);
        if count.expires_at <= now {
            *count = new_count;
        }
        count.total += add;
        Some(count.total)
    }

    /// Splits the counter: each half of the gateways continues with its own copy of the counts.
    pub fn split(&mut self) {
        self.copies[1] = self.copies[0].clone();
        self.split = true;
    }

    /// Ends a split. Each name keeps the larger of its totals, as in a counter that merges by the maximum.
    pub fn heal(&mut self) {
        for (name, count) in std::mem::take(&mut self.copies[1]) {
            let kept = self.copies[0].entry(name).or_insert(count);
            if count.total > kept.total {
                *kept = count;
            }
        }
        self.split = false;
    }

    /// Replaces the counter by one without counts.
    pub fn replace(&mut self) {
        self.copies = Default::default();
    }

    /// The number of names in both copies, which determines the counter's memory use.
    pub fn name_count(&self) -> usize {
        self.copies.iter().map(BTreeMap::len).sum()
    }
}

#[cfg(test)]
mod tests;
