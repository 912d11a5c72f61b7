//! What is to happen when: a heap of times. Nothing is ever taken out early; whoever gets a timer that no
//! longer means anything passes it over.

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

    pub fn next(&self) -> Option<Nanos> {
        self.heap.peek().map(|Reverse((at, ..))| *at)
    }

    /// The first timer that is due.
    ///
    /// ```
    /// let mut timers = gateway::timers::Timers::default();
    /// timers.set(20, "later");
    /// timers.set(10, "first");
    /// timers.set(10, "second");
    /// assert_eq!(timers.next(), Some(10));
    /// assert_eq!((timers.due(15), timers.due(15), timers.due(15)), (Some("first"), Some("second"), None));
    /// ```
    pub fn due(&mut self, now: Nanos) -> Option<T> {
        self.next().filter(|at| *at <= now)?;
        self.heap.pop().map(|Reverse((.., what))| what)
    }
}
