//! Unit tests of `counter`.

use super::*;

#[test]
fn windows_split_heal_and_replace() {
    let mut counter = Counter::new(true);
    assert_eq!(counter.add(0, 0, 9, 2.0, 10), Some(2.0));
    assert_eq!(counter.add(10, 0, 9, 1.0, 10), Some(1.0), "the total starts again after the window");
    counter.split();
    assert_eq!(counter.add(11, 1, 9, 5.0, 10), Some(6.0));
    assert_eq!(counter.add(11, 0, 9, 1.0, 10), Some(2.0), "each half of the gateways uses its own copy");
    counter.heal();
    assert_eq!(counter.add(12, 0, 9, 0.0, 10), Some(6.0));
    counter.replace();
    assert_eq!(counter.add(12, 0, 9, 1.0, 10), Some(1.0));
    counter.stalled = true;
    assert_eq!(counter.add(12, 0, 9, 1.0, 10), None);
}
