//! A short soak: fleets of real processes under random faults that overlap, judged by the invariants. Longer runs over
//! more seeds are `martenramp-rig soak` (`docs/rig.md`).

use rig::scenario::SystemCallFaults;
use rig::soak;
use rig::soak::draw::Size;
use std::path::Path;

const BIN: &str = env!("CARGO_BIN_EXE_martenramp");

fn nothing_is_broken(seed: u64, system_calls: Option<SystemCallFaults>) {
    let size = Size { gateways: 8, servers: 10, seconds: 12.0, faults: 8 };
    let run = soak::run(seed, size, &[], system_calls, Path::new(BIN)).unwrap();
    println!("{}", run.summary());
    assert!(run.violations.is_empty(), "{}", run.summary());
    assert!(run.sent > 200 && run.counts.checked > 0, "{}", run.summary());
}

/// A seed whose clients keep few gateways with few descriptors busy while silent connections crowd them.
const CROWDED: u64 = 3012;

#[test]
fn nothing_is_broken_while_silent_connections_crowd_busy_gateways() {
    let size = Size { gateways: 4, servers: 8, seconds: 6.0, faults: 4 };
    let run = soak::run(CROWDED, size, &[], None, Path::new(BIN)).unwrap();
    println!("{}", run.summary());
    assert!(run.violations.is_empty(), "{}", run.summary());
    assert!(run.scenario.sockets < 200 && run.sent > 500 && run.served > run.sent / 3, "{}", run.summary());
    assert!(run.event_counts.get("Crowd").is_some_and(|count| *count > 0), "{:?}", run.event_counts);
}

#[test]
fn nothing_is_broken_by_the_faults_of_one_seed() {
    nothing_is_broken(1, None);
}

#[test]
fn nothing_is_broken_by_the_faults_of_another_seed_with_system_calls_that_fail() {
    let test = std::env::current_exe().unwrap();
    let library = test.parent().unwrap().join("libmartenramp_faults.so");
    nothing_is_broken(2, Some(SystemCallFaults { library, rate: 0.01 }));
}
