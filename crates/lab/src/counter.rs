//! The shared counter as the gateways see it: named counts that are forgotten after their window, a stall, a split
//! in which each half of the gateways sees its own copy, and a replacement that starts at nought. Free of I/O.

use crate::Nanos;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Count {
    total: f64,
    forget_at: Nanos,
}

/// The shared counter.
#[derive(Default)]
pub struct Counter {
    /// One copy; two while split.
    sides: [BTreeMap<u64, Count>; 2],
    /// Each half of the gateways reaches its own copy.
    pub split: bool,
    /// It answers nothing.
    pub stalled: bool,
    /// Whether there is one at all.
    pub enabled: bool,
    adds: u64,
}

impl Counter {
    /// A counter without counts.
    pub fn new(enabled: bool) -> Counter {
        Counter { enabled, ..Counter::default() }
    }

    /// Which copy a gateway reaches.
    pub fn copy_index(&self, gateway: u32) -> usize {
        if self.split { (gateway % 2) as usize } else { 0 }
    }

    /// Adds to a count, starting a new window where the last is over; the total, or none while stalled.
    pub fn add(&mut self, now: Nanos, gateway: u32, name: u64, add: f64, forget: Nanos) -> Option<f64> {
        if self.stalled || !self.enabled {
            return None;
        }
        self.adds += 1;
        if self.adds.is_multiple_of(4096) {
            self.sides.iter_mut().for_each(|side| side.retain(|_, count| count.forget_at > now));
        }
        let side = self.copy_index(gateway);
        let fresh = Count { total: 0.0, forget_at: now + forget.max(1) };
        let count = self.sides[side].entry(name).or_insert(fresh);
        if count.forget_at <= now {
            *count = fresh;
        }
        count.total += add;
        Some(count.total)
    }

    /// Each half goes on from a copy of what was.
    pub fn split(&mut self) {
        self.sides[1] = self.sides[0].clone();
        self.split = true;
    }

    /// One copy again: for each name the larger total, as a counter that merges by the maximum would.
    pub fn heal(&mut self) {
        for (name, count) in std::mem::take(&mut self.sides[1]) {
            let kept = self.sides[0].entry(name).or_insert(count);
            if count.total > kept.total {
                *kept = count;
            }
        }
        self.split = false;
    }

    /// A new counter: everything starts at nought.
    pub fn replace(&mut self) {
        self.sides = Default::default();
    }

    /// Names held, over both copies: what the counter's memory grows with.
    pub fn name_count(&self) -> usize {
        self.sides.iter().map(BTreeMap::len).sum()
    }
}

#[cfg(test)]
mod tests;
