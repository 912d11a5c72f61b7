//! Which customers a gateway remembers: names that come once can't take its memory, and forgetting gives nobody new units.

use martenramp::host::CallOutcome;

mod harness;
use harness::{MS, SEC, Scenario, scenario};

/// How many customers the tests let a controller remember.
const LIMIT: usize = 100;
/// The customer that is there before a flood, and the first name of the flood.
const USUAL: u64 = 9;
const FIRST_NAME: u64 = 1_000;

fn limited_scenario() -> Scenario {
    let mut scenario = scenario("").with_servers(4);
    scenario.gateway_count = 1;
    scenario.controller.limit_customers(LIMIT);
    scenario
}

/// RPCs under new names, each answered at once; returns how many were sent to a server.
fn serve_under_new_names(scenario: &mut Scenario, names: std::ops::Range<u64>) -> usize {
    let sent_before = scenario.host.sent.len();
    for name in names {
        let rpc = scenario.submit_for(name, 1, 1.0, 4 * SEC);
        scenario.advance(MS);
        if scenario.attempt_count(rpc) > 0 {
            scenario.end_attempt(rpc, CallOutcome::Ok);
        }
    }
    scenario.host.sent.len() - sent_before
}

/// How long after an RPC one of customer [`USUAL`] gets a second one through that needs its whole burst.
fn time_until_second_burst(names_between: u64) -> u64 {
    let mut scenario = limited_scenario();
    let first = scenario.submit_for(USUAL, 1, 10.0, 4 * SEC);
    scenario.advance(MS);
    scenario.end_attempt(first, CallOutcome::Ok);
    serve_under_new_names(&mut scenario, FIRST_NAME..FIRST_NAME + names_between);
    scenario.advance((2_000 - names_between) * MS);
    let began = scenario.host.now;
    loop {
        let rpc = scenario.submit_for(USUAL, 1, 10.0, 4 * SEC);
        scenario.advance(MS);
        if scenario.attempt_count(rpc) > 0 {
            return scenario.host.now - began;
        }
    }
}

/// Guards against a customer kept for every name that was ever read, also if its RPC took nothing.
#[test]
fn names_whose_rpcs_take_nothing_are_not_remembered() {
    let mut scenario = scenario("").with_servers(4);
    for name in 0..10_000 {
        scenario.submit_for(FIRST_NAME + name, 1, 1.0, 0);
    }
    assert_eq!(scenario.host.rejected.len(), 10_000);
    assert_eq!(scenario.controller.customer_count(), 0);
}

/// Guards against customers without a limit where each of many names is served once.
#[test]
fn names_beyond_the_limit_are_rejected_and_remembered_customers_are_served() {
    let mut scenario = limited_scenario();
    assert_eq!(serve_under_new_names(&mut scenario, USUAL..USUAL + 1), 1);
    let served = serve_under_new_names(&mut scenario, FIRST_NAME..FIRST_NAME + 1_000);
    assert_eq!(served, LIMIT - 1);
    assert_eq!(scenario.controller.customer_count(), LIMIT);
    assert_eq!(scenario.controller.refused_customer_count(), 1_000 - served as u64);
    let advice: Vec<u64> = scenario.host.rejected.iter().map(|rejected| rejected.1).collect();
    assert!(advice.iter().all(|retry_after| *retry_after == 0), "not rejected as a customer's own limit");
    assert_eq!(serve_under_new_names(&mut scenario, USUAL..USUAL + 1), 1, "the usual customer is served");
}

/// Guards against a limit that holds for good: names are forgotten once a new one would be in the same state.
#[test]
fn names_are_forgotten_once_their_buckets_are_full_and_their_samples_old() {
    let mut scenario = limited_scenario();
    serve_under_new_names(&mut scenario, FIRST_NAME..FIRST_NAME + 1_000);
    scenario.advance(13 * SEC); // the throttling window of 10 s and two windows of 1 s have passed
    let next = FIRST_NAME + 10_000;
    assert_eq!(serve_under_new_names(&mut scenario, next..next + 50), 50);
    assert!(scenario.controller.customer_count() <= LIMIT);
}

/// Guards against a new burst for a customer that is forgotten in favour of other names.
#[test]
fn a_flood_of_names_restores_no_quota() {
    let without = time_until_second_burst(0);
    assert_eq!(time_until_second_burst(1_000), without);
}

/// Advances the clock while every call to the counter fails a millisecond after it was made.
fn advance_without_counter(scenario: &mut Scenario, duration: u64) {
    for _ in 0..duration / MS {
        scenario.advance(MS);
        let mut ended = 0;
        while ended < scenario.host.counter_calls.len() {
            let calls_back = scenario.host.counter_calls.len() - 1 - ended;
            scenario.answer_counter(calls_back, CallOutcome::NoConnection, 0.0);
            ended += 1;
        }
        scenario.host.counter_calls.clear();
    }
}

/// Guards against names that stay for good because the counter is not told what they used.
#[test]
fn names_are_forgotten_while_the_counter_can_not_be_reached() {
    let mut scenario = scenario("extra.hasCounter=true").with_servers(4);
    scenario.gateway_count = 1;
    scenario.controller.limit_customers(LIMIT);
    for name in FIRST_NAME..FIRST_NAME + 400 {
        let rpc = scenario.submit_for(name, 1, 1.0, 4 * SEC);
        advance_without_counter(&mut scenario, 100 * MS);
        if scenario.attempt_count(rpc) > 0 {
            scenario.end_attempt(rpc, CallOutcome::Ok);
        }
        assert!(scenario.controller.customer_count() <= LIMIT);
    }
    advance_without_counter(&mut scenario, 15 * SEC);
    let refused_before = scenario.controller.refused_customer_count();
    let rpc = scenario.submit_for(90_000, 1, 1.0, 4 * SEC);
    advance_without_counter(&mut scenario, 100 * MS);
    assert_eq!(scenario.attempt_count(rpc), 1);
    assert_eq!(scenario.controller.refused_customer_count(), refused_before);
}
