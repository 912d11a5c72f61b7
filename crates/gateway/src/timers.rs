//! What is to happen when: a heap of times. Nothing is looked for in the middle of it: a timer that no longer
//! means anything is dropped when it comes first, and whoever gets one all the same passes it over.

use martenramp::host::Nanos;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Timers of type `T`, handed back in order of time, then of setting.
#[derive(Debug)]
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<(Nanos, u64, T)>>,
    set: u64,
}

impl<T: Ord> Default for Timers<T> {
    fn default() -> Self {
        Timers { heap: BinaryHeap::new(), set: 0 }
    }
}

impl<T: Ord> Timers<T> {
    pub fn set(&mut self, at: Nanos, what: T) {
        self.set += 1;
        self.heap.push(Reverse((at, self.set, what)));
    }

    pub fn next_due(&self) -> Option<Nanos> {
        self.heap.peek().map(|Reverse((at, ..))| *at)
    }

    /// Takes out the first timers for as long as they are stale.
    pub fn discard_stale(&mut self, stale: impl Fn(&T) -> bool) {
        while self.heap.peek().is_some_and(|Reverse((.., what))| stale(what)) {
            self.heap.pop();
        }
    }

    /// The first timer that is due.
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
        self.heap.pop().map(|Reverse((.., what))| what)
    }
}
