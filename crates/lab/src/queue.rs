//! The lab's one clock: a queue of events by time in whole nanoseconds, ties broken by the order they were put in.

use crate::Nanos;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct Entry<E> {
    at: Nanos,
    serial: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.serial) == (other.at, other.serial)
    }
}
impl<E> Eq for Entry<E> {}
impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl<E> Ord for Entry<E> {
    /// Earliest first: the heap is a max-heap, so the order is turned round.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.serial).cmp(&(self.at, self.serial))
    }
}

/// Events of type `E` by time. `now` never goes back: an event put in for the past comes at once.
pub struct EventQueue<E> {
    heap: BinaryHeap<Entry<E>>,
    serial: u64,
    now: Nanos,
    /// Events taken out so far: the lab's measure of work.
    pub events_popped: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue { heap: BinaryHeap::new(), serial: 0, now: 0, events_popped: 0 }
    }
}

impl<E> EventQueue<E> {
    /// The time of the last event taken.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Puts an event in at clock time `at`.
    pub fn schedule_at(&mut self, at: Nanos, event: E) {
        self.serial += 1;
        self.heap.push(Entry { at: at.max(self.now), serial: self.serial, event });
    }

    /// Puts an event in `after` nanoseconds from now.
    pub fn schedule_after(&mut self, after: Nanos, event: E) {
        self.schedule_at(self.now.saturating_add(after), event);
    }

    /// The next event if it comes no later than `until`; the clock moves to its time.
    pub fn pop_until(&mut self, until: Nanos) -> Option<(Nanos, E)> {
        if self.heap.peek()?.at > until {
            return None;
        }
        let entry = self.heap.pop()?;
        self.now = entry.at;
        self.events_popped += 1;
        Some((entry.at, entry.event))
    }
}

#[cfg(test)]
mod tests;
