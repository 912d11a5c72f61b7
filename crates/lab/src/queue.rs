//! The event queue and clock of the emulation. Events are ordered by time in nanoseconds; events of the same time are
//! popped in the order in which they were scheduled.

use crate::Nanos;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct Entry<E> {
    at: Nanos,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}
impl<E> Eq for Entry<E> {}
impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl<E> Ord for Entry<E> {
    /// Reversed, because `BinaryHeap` is a max-heap and the earliest entry must come first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// A queue of events of type `E`, ordered by time. The clock never goes back: an event that is scheduled for the past
/// is popped with the current time.
pub struct EventQueue<E> {
    heap: BinaryHeap<Entry<E>>,
    sequence: u64,
    now: Nanos,
    /// The number of events popped so far, reported as the run's amount of work.
    pub events_popped: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue { heap: BinaryHeap::new(), sequence: 0, now: 0, events_popped: 0 }
    }
}

impl<E> EventQueue<E> {
    /// The current time: that of the event popped last.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Schedules an event at the time `at`.
    pub fn schedule_at(&mut self, at: Nanos, event: E) {
        self.sequence += 1;
        self.heap.push(Entry { at: at.max(self.now), sequence: self.sequence, event });
    }

    /// Schedules an event `after` nanoseconds from now.
    pub fn schedule_after(&mut self, after: Nanos, event: E) {
        self.schedule_at(self.now.saturating_add(after), event);
    }

    /// Pops the earliest event and advances the clock to its time. `None` if there is no event up to `until`.
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
