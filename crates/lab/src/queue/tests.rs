//! Unit tests of `queue`.

use super::*;

#[test]
fn earliest_first_and_ties_in_order() {
    let mut queue = EventQueue::default();
    queue.schedule_at(20, "c");
    queue.schedule_at(10, "a");
    queue.schedule_at(10, "b");
    let order: Vec<_> = std::iter::from_fn(|| queue.pop_until(u64::MAX)).collect();
    assert_eq!(order, [(10, "a"), (10, "b"), (20, "c")]);
    queue.schedule_at(5, "past");
    assert_eq!(
        queue.pop_until(u64::MAX),
        Some((20, "past")),
        "an event scheduled for the past is popped with the current time"
    );
}
