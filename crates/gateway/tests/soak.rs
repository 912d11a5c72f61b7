//! A short soak test: fleets of gateway processes under random, overlapping faults, checked against the invariants.
//! `martenramp-rig soak` (`docs/rig.md`) runs longer soaks with more seeds.

use rig::scenario::SystemCallFaults;
use rig::soak;
use rig::soak::draw::Size;
use std::path::Path;

const BIN: &str = env!("CARGO_BIN_EXE_martenramp");

/// Runs a seed and checks that no rule was violated.
fn run_without_violations(seed: u64, size: Size, system_calls: Option<SystemCallFaults>) -> soak::Run {
    let run = soak::run(seed, size, &[], system_calls, Path::new(BIN)).unwrap();
    println!("{}", run.summary());
    assert!(run.violations.is_empty(), "{}", run.summary());
    run
}

fn check_no_violations(seed: u64, system_calls: Option<SystemCallFaults>) {
    let size = Size { gateways: 8, servers: 10, seconds: 12.0, faults: 8 };
    let run = run_without_violations(seed, size, system_calls);
    assert!(run.sent > 200 && run.counts.checked > 0, "{}", run.summary());
}

/// A seed whose scenario has few gateways with few descriptors, busy with clients while silent connections use up the
/// descriptors.
const CROWD_SEED: u64 = 3012;

#[test]
fn no_violations_while_silent_connections_crowd_busy_gateways() {
    let size = Size { gateways: 4, servers: 8, seconds: 6.0, faults: 4 };
    let run = run_without_violations(CROWD_SEED, size, None);
    assert!(run.scenario.sockets < 200 && run.sent > 500 && run.served > run.sent / 3, "{}", run.summary());
    assert!(run.event_counts.get("Crowd").is_some_and(|count| *count > 0), "{:?}", run.event_counts);
}

/// A seed whose servers send late second copies behind half of their answers, to busy gateways.
const LATE_COPIES_SEED: u64 = 9012;

/// Guards against a client that is served a late second copy of the answer to another RPC.
#[test]
fn no_client_gets_a_late_copy_of_another_answer() {
    let size = Size { gateways: 4, servers: 8, seconds: 6.0, faults: 0 };
    let run = run_without_violations(LATE_COPIES_SEED, size, None);
    assert!(run.scenario.servers.iter().all(|servers| servers.late_copies > 0.0));
    assert!(run.event_counts[soak::LATE_DATA] > 100, "{:?}", run.event_counts);
    assert!(run.sent > 500 && run.served > run.sent / 2, "{}", run.summary());
}

/// A seed whose scenario has one gateway with few RPCs at a time, and no faults.
const IDLE_SEED: u64 = 8012;

/// Guards against a server that gets nothing since its few old results are the worst.
#[test]
fn no_server_is_idle_at_a_gateway_that_holds_few_rpcs() {
    let size = Size { gateways: 1, servers: 8, seconds: 25.0, faults: 0 };
    let run = run_without_violations(IDLE_SEED, size, None);
    assert!(soak::judge::idle::applies(&run.scenario), "{:?}", run.scenario.faults);
    assert!(run.sent > 100, "{}", run.summary());
}

#[test]
fn no_violations_under_the_faults_of_seed_1() {
    check_no_violations(1, None);
}

#[test]
fn no_violations_under_the_faults_of_seed_2_with_failing_system_calls() {
    let test_binary = std::env::current_exe().unwrap();
    let library = test_binary.parent().unwrap().join("libmartenramp_faults.so");
    check_no_violations(2, Some(SystemCallFaults { library, rate: 0.01 }));
}

/// A seed with as many servers as change most of them, and gateways with a small share of a core.
const MANY_SERVERS_SEED: u64 = 30_001;

/// Guards against RPCs that are lost only with many times the usual number of servers.
#[test]
fn no_violations_while_most_of_many_servers_are_replaced() {
    let size = Size { gateways: 4, servers: 800, seconds: 8.0, faults: 6 };
    let run = run_without_violations(MANY_SERVERS_SEED, size, None);
    assert!(run.sent > 500 && run.counts.checked > 0, "{}", run.summary());
}
