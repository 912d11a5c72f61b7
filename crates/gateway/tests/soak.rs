//! A short soak: fleets of real processes under random faults that overlap, judged by the invariants. Longer runs over
//! more seeds are `martenramp-rig soak` (`docs/rig.md`).

use rig::soak;
use rig::soak::draw::Size;
use std::path::Path;

const BIN: &str = env!("CARGO_BIN_EXE_martenramp");

fn nothing_is_broken(seed: u64) {
    let size = Size { gateways: 8, servers: 10, seconds: 12.0, faults: 8 };
    let run = soak::run(seed, size, &[], Path::new(BIN)).unwrap();
    println!("{}", run.shown());
    assert!(run.violations.is_empty(), "{}", run.shown());
    assert!(run.sent > 200 && run.counts.checked > 0, "{}", run.shown());
}

#[test]
fn nothing_is_broken_by_the_faults_of_one_seed() {
    nothing_is_broken(1);
}

#[test]
fn nothing_is_broken_by_the_faults_of_another_seed() {
    nothing_is_broken(2);
}
