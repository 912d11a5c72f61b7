//! A timer queue: a binary heap ordered by time. Timers can't be removed from its middle. A stale
//! timer is discarded when it reaches the front, and the receiver ignores one that is handed out
//! nevertheless. Stale timers are also removed from the middle once they may be more than half of all.

use martenramp::host::Nanos;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Up to this many timers none is removed from the middle, as there is nothing to gain.
const MIN_COMPACTED: usize = 1024;

/// Timers of type `T`, returned in order of their time, then in the order in which they were set.
#[derive(Debug)]
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<(Nanos, u64, T)>>,
    last_sequence: u64,
    /// Above this many timers, stale ones are removed from the middle.
    compact_above: usize,
}

impl<T: Ord> Default for Timers<T> {
    fn default() -> Self {
        Timers { heap: BinaryHeap::new(), last_sequence: 0, compact_above: MIN_COMPACTED }
    }
}

impl<T: Ord> Timers<T> {
    pub fn set(&mut self, at: Nanos, event: T) {
        self.last_sequence += 1;
        self.heap.push(Reverse((at, self.last_sequence, event)));
    }

    /// The number of timers, including stale ones.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    /// The time of the first timer.
    pub fn next_due(&self) -> Option<Nanos> {
        self.heap.peek().map(|Reverse((at, ..))| *at)
    }

    /// Removes timers from the front for as long as they are stale, and all stale ones once the number
    /// of timers has doubled since the last time: otherwise timers far in the future would pile up.
    pub fn discard_stale(&mut self, stale: impl Fn(&T) -> bool) {
        if self.heap.len() > self.compact_above {
            self.heap.retain(|Reverse((.., event))| !stale(event));
            self.heap.shrink_to(2 * self.heap.len().max(MIN_COMPACTED));
            self.compact_above = 2 * self.heap.len().max(MIN_COMPACTED);
        }
        while self.heap.peek().is_some_and(|Reverse((.., event))| stale(event)) {
            self.heap.pop();
        }
    }

    /// Removes and returns the first timer that is due.
    ///
    /// ```
    /// let mut timers = gateway::timers::Timers::default();
    /// timers.set(20, "later");
    /// timers.set(10, "first");
    /// timers.set(10, "second");
    /// assert_eq!(timers.next_due(), Some(10));
    /// assert_eq!((timers.pop_due(15), timers.pop_due(15), timers.pop_due(15)), (Some("first"), Some("second"), None));
    /// ```
    pub fn pop_due(&mut self, now: Nanos) -> Option<T> {
        self.next_due().filter(|at| *at <= now)?;
        self.heap.pop().map(|Reverse((.., event))| event)
    }
}
