//! Unit tests of `queue`.

use super::*;

#[test]
fn earliest_first_and_ties_in_order() {
    let mut queue = Queue::default();
    queue.at(20, "c");
    queue.at(10, "a");
    queue.at(10, "b");
    let order: Vec<_> = std::iter::from_fn(|| queue.next(u64::MAX)).collect();
    assert_eq!(order, [(10, "a"), (10, "b"), (20, "c")]);
    queue.at(5, "past");
    assert_eq!(queue.next(u64::MAX), Some((20, "past")), "an event for the past comes now");
}
