//! How the admission controller handles failures: one test for each failure that was observed.

mod harness;

use harness::{MS, SEC, Scenario, ready_server, scenario, scenario_with_seed};
use martenramp::host::{Arrival, CallOutcome, DiscoveredServer};

#[test]
fn an_rpc_that_finds_no_server_is_rejected_in_time() {
    let mut s = scenario("");
    let rpc = s.submit_for(9, 2, 1.0, SEC / 3 + 123);
    s.advance(2 * SEC);
    assert_eq!(s.host.rejected.len(), 1);
    assert!(s.host.rejected[0].0 == rpc && s.host.rejected[0].2 <= harness::START + SEC / 3 + MS);
}

#[test]
fn an_empty_bucket_holds_then_releases_rpcs_and_rejects_late_ones_with_retry_advice() {
    let mut s = scenario("").with_servers(3);
    let ids: Vec<u32> = (0..12).map(|_| s.submit(2, 1.0)).collect();
    // The customer is new to this gateway, which may use half of the burst of 10.
    assert_eq!(s.host.sent.len(), 5);
    assert!(!s.host.rejected.is_empty(), "the last ones can't get quota in time and are rejected at once");
    assert!(s.host.rejected.iter().all(|rejection| rejection.1 > 0 && rejection.2 == harness::START));
    s.advance(500 * MS);
    assert!(
        s.attempt_count(ids[5]) == 1 && s.host.sent.len() <= 8,
        "without a counter it may use half of the rate"
    );
}

#[test]
fn patient_rpcs_stop_at_the_reserve_line_and_urgent_ones_may_go_below_it() {
    let mut s = scenario("").with_servers(3);
    let patient: Vec<u32> = (0..4).map(|_| s.submit(0, 1.0)).collect();
    assert_eq!(s.host.sent.len(), 3, "5 units, 1.5 of them reserved at the start of the window");
    let urgent: Vec<u32> = (0..2).map(|_| s.submit(2, 1.0)).collect();
    assert!(urgent.iter().all(|id| s.attempt_count(*id) == 1) && s.attempt_count(patient[3]) == 0);
}

#[test]
fn a_non_idempotent_rpc_that_may_have_run_is_aborted() {
    let mut s = scenario("").with_servers(3);
    let rpc = s.submit(2, 1.0);
    s.advance(50 * MS);
    s.end_attempt(rpc, CallOutcome::Reset);
    assert_eq!((s.attempt_count(rpc), s.host.aborted.as_slice(), s.host.rejected.len()), (1, &[rpc][..], 0));
}

#[test]
fn an_rpc_that_provably_did_not_run_is_retried_on_another_server() {
    let mut s = scenario("").with_servers(3);
    let rpc = s.submit(2, 1.0);
    s.end_attempt(rpc, CallOutcome::NoConnection);
    let servers: Vec<u32> = s.host.sent.iter().map(|sent| sent.1).collect();
    assert!(servers.len() == 2 && servers[0] != servers[1]);
}

#[test]
fn a_deduplicated_rpc_stays_in_its_zone_and_within_its_window() {
    let mut s = scenario("").with_servers(6);
    let rpc = s.submit(1, 1.0);
    s.advance(50 * MS);
    s.end_attempt(rpc, CallOutcome::Reset);
    s.advance(870 * MS); // beyond the 0.9 s within which the server recognizes a duplicate
    s.end_attempt(rpc, CallOutcome::Reset);
    assert_eq!((s.attempt_count(rpc), s.host.aborted.as_slice()), (2, &[rpc][..]));
    for customer in 0..10 {
        let rpc = s.submit_for(300 + customer, 1, 1.0, 4 * SEC);
        s.end_attempt(rpc, CallOutcome::Error);
        s.end_attempt(rpc, CallOutcome::Ok);
    }
    let servers: Vec<u32> = s.host.sent.iter().map(|sent| sent.1).collect();
    assert!(servers.len() == 22 && servers.chunks(2).all(|pair| pair[0] % 2 == pair[1] % 2), "{servers:?}");
}

#[test]
fn no_new_rpc_goes_to_a_server_that_drains_or_left_the_list() {
    let mut s = scenario("").with_servers(3);
    s.run_answered(20, 2, MS);
    for customer in 0..4 {
        s.submit_for(400 + customer, 2, 0.1, 9 * SEC); // open when the list changes, so the server is still known
    }
    s.deliver_list(false, &[DiscoveredServer { ready: false, ..ready_server(1, 1) }]);
    s.deliver_list(true, &[DiscoveredServer { ready: false, ..ready_server(1, 1) }, ready_server(2, 0)]);
    s.run_answered(40, 2, MS);
    assert!(s.host.sent.len() == 64 && s.host.sent[24..].iter().all(|sent| sent.1 == 2));
}

#[test]
fn a_cold_server_gets_few_rpcs_at_first() {
    let mut s = scenario("").with_servers(4);
    s.run_answered(40, 2, 20 * MS);
    s.deliver_list(false, &[DiscoveredServer { started_at: s.host.now, ..ready_server(5, 1) }]);
    let before = s.host.sent.len();
    s.run_answered(45, 2, 20 * MS);
    let cold = s.host.sent[before..].iter().filter(|sent| sent.1 == 5).count();
    assert!((1..=4).contains(&cold), "{cold} in 0.9 s, where a warm peer gets about 10");
}

#[test]
fn hundreds_of_gateways_together_do_not_overload_a_cold_server() {
    let mut cold = 0;
    for seed in 0..300 {
        let mut s = scenario_with_seed(seed, "balancers=300").with_servers(4);
        s.run_answered(4, 2, 500 * MS); // all gateways: 600 a second, so 150 for each server and 30 for a cold one
        let started = s.host.now;
        s.deliver_list(false, &[DiscoveredServer { started_at: started, ..ready_server(5, 1) }]);
        s.run_answered(6, 2, 500 * MS);
        cold += s.host.sent.iter().filter(|sent| sent.1 == 5).count();
    }
    assert!((1..=60).contains(&cold), "{cold} in three seconds");
}

#[test]
fn a_new_incarnation_starts_with_an_empty_share_of_the_ceiling() {
    let mut s = scenario("tariffs.0.ceilingRate=20 tariffs.0.hardBurst=20").with_servers(3);
    for _ in 0..5 {
        s.submit(2, 1.0);
    }
    assert_eq!(s.host.sent.len(), 0, "an earlier incarnation may have used it up");
    s.advance(250 * MS);
    assert_eq!(s.host.sent.len(), 2, "its share fills at 10 a second");
}

#[test]
fn a_new_customer_has_the_ceiling_share_that_filled_since_the_start() {
    let mut s = scenario("tariffs.0.ceilingRate=8 tariffs.0.hardBurst=8").with_servers(3);
    s.advance(SEC);
    let ids: Vec<u32> = (0..5).map(|_| s.submit(2, 1.0)).collect();
    assert_eq!(s.host.sent.len(), 4, "a share of 4 a second, and 4 at most");
    s.advance(10 * MS);
    assert!(s.attempt_count(ids[4]) == 0);
}

#[test]
fn a_client_rejected_for_this_gateways_ceiling_share_may_retry_soon_elsewhere() {
    let mut s = scenario("tariffs.0.ceilingRate=1 tariffs.0.hardBurst=8").with_servers(3);
    s.submit(2, 1.0);
    assert!(s.host.rejected.len() == 1 && s.host.rejected[0].1 <= 50 * MS, "{:?}", s.host.rejected);
}

#[test]
fn after_a_stall_each_late_rpc_is_answered_exactly_once() {
    let mut s = scenario("extra.hasCounter=true balancers=400").with_servers(1);
    let ids: Vec<u32> = (0..6).map(|_| s.submit(2, 2.0)).collect();
    s.host.now += 3 * SEC; // the gateway is stalled for three seconds, then handles all events at once
    for _ in 0..s.host.counter_calls.len() {
        s.answer_counter(0, CallOutcome::TimedOut, 0.0);
    }
    s.advance(0);
    let late = s.submit_for(9, 2, 1.0, 0);
    let answered = |id: &u32| s.host.rejected.iter().filter(|rejection| rejection.0 == *id).count();
    assert!(
        ids.iter().chain([&late]).all(|id| answered(id) + s.attempt_count(*id) == 1),
        "{:?}",
        s.host.rejected
    );
}

#[test]
fn a_gateway_set_larger_than_the_fleet_an_empty_list_and_missing_settings_are_handled() {
    let mut s = scenario("balancers=1 tariffs.0.depth=x classes.count=0");
    s.deliver_list(true, &[]);
    let rpc = s.submit_for(7, 40, 3.0, SEC);
    s.deliver_list(true, &[ready_server(1, 9)]);
    s.advance(2 * SEC);
    assert_eq!(s.attempt_count(rpc) + s.host.rejected.len(), 1);
}

#[test]
fn concurrent_claims_cannot_overdraw_the_ceiling_share() {
    let mut s =
        scenario("tariffs.0.ceilingRate=8 tariffs.0.hardBurst=8 extra.hasCounter=true").with_servers(3);
    let first = s.submit(2, 0.5);
    s.advance(300 * MS);
    s.answer_counter(0, CallOutcome::Ok, 4.5);
    s.end_attempt(first, CallOutcome::Ok);
    s.advance(300 * MS); // the ceiling share holds 1.9 units and the bucket is nearly empty: each RPC must claim
    let calls = s.host.counter_calls.len();
    for _ in 0..4 {
        s.submit(2, 1.0);
    }
    for _ in calls..s.host.counter_calls.len() {
        s.answer_counter(0, CallOutcome::Ok, 5.5);
    }
    assert!(s.host.sent.len() <= 2, "{:?}", s.host.sent);
}

#[test]
fn the_limit_on_open_attempts_is_split_between_gateways() {
    let mut s = scenario("tariffs.0.maxOut=4").with_servers(3);
    let ids: Vec<u32> = (0..4).map(|_| s.submit(2, 1.0)).collect();
    assert_eq!(s.host.sent.len(), 2);
    s.end_attempt(ids[0], CallOutcome::Ok);
    assert_eq!(s.host.sent.len(), 3);
}

/// A customer whose bucket is nearly empty according to the counter, which has answered once.
fn nearly_empty_bucket(extra: &str) -> Scenario {
    let mut s = scenario(&format!("extra.hasCounter=true {extra}")).with_servers(3);
    s.advance(700 * MS);
    let first = s.submit(2, 1.0);
    s.answer_counter(0, CallOutcome::Ok, 8.5);
    s.end_attempt(first, CallOutcome::Ok);
    s
}

#[test]
fn the_last_units_are_claimed_first_and_refunded_when_others_took_them() {
    let mut s = nearly_empty_bucket("");
    let rpc = s.submit(2, 1.0);
    assert_eq!(s.attempt_count(rpc), 0, "the counter is asked first");
    s.answer_counter(0, CallOutcome::Ok, 9.5);
    assert_eq!(s.attempt_count(rpc), 1);
    let late = s.submit(2, 0.4);
    s.answer_counter(0, CallOutcome::Ok, 12.4);
    assert_eq!(s.attempt_count(late), 0, "another gateway was first");
    assert!(
        s.host.counter_calls.last().is_some_and(|call| call.1 < 0.0),
        "and the counter is told that they were not used"
    );
}

#[test]
fn a_bucket_not_read_in_the_last_window_is_not_assumed_full() {
    let mut s = scenario("extra.hasCounter=true").with_servers(3);
    s.advance(250 * MS);
    let rpc = s.submit(2, 1.0);
    s.answer_counter(0, CallOutcome::Ok, 10.0); // four times the rate in a quarter of a window: assumed for the time before, too
    assert_eq!(s.attempt_count(rpc), 0, "more than the ten units of this window were taken");
    // A first total within the quota says nothing about the time before.
    let mut s = scenario("extra.hasCounter=true").with_servers(3);
    s.advance(250 * MS);
    let rpc = s.submit(2, 1.0);
    s.answer_counter(0, CallOutcome::Ok, 3.5);
    assert_eq!(s.attempt_count(rpc), 1);
}

#[test]
fn between_totals_other_gateways_are_assumed_to_continue_for_a_window() {
    let mut s = scenario("extra.hasCounter=true").with_servers(3);
    s.advance(800 * MS);
    let first = s.submit(2, 1.0);
    s.answer_counter(0, CallOutcome::Ok, 8.0); // 7 by others, 8.75 a second; 2 are left, and the bucket fills at 10 a second
    s.end_attempt(first, CallOutcome::Ok);
    s.advance(150 * MS);
    let calls = s.host.counter_calls.len();
    let rpc = s.submit(2, 3.0);
    assert_eq!(
        (s.attempt_count(rpc), s.host.counter_calls.len()),
        (0, calls),
        "others took most of the units added since"
    );
    s.advance(3 * SEC);
    let later = s.submit(2, 3.0);
    assert!(
        s.host.counter_calls.len() > calls,
        "usage of more than a window ago says nothing more, so the counter is asked"
    );
    s.answer_counter(0, CallOutcome::Ok, 3.0);
    assert_eq!(s.attempt_count(later), 1);
}

#[test]
fn a_claim_that_the_counter_never_answers_ends_in_time() {
    let mut s = nearly_empty_bucket("");
    let (rpc, asked) = (s.submit(2, 1.0), s.host.now);
    s.advance(3 * SEC);
    assert!(s.host.rejected.iter().any(|rejection| rejection.0 == rpc && rejection.2 <= asked + SEC + MS));
    s.answer_counter(0, CallOutcome::TimedOut, 0.0);
    s.submit(2, 1.0);
    s.advance(20 * MS); // an unanswered call widens the gap between calls
    let reported: f64 = s.host.counter_calls.iter().map(|call| call.1).sum();
    assert_eq!(reported, 2.0, "the units of the RPC that was never sent are refunded");
}

#[test]
fn a_counter_that_restarts_empty_neither_drains_nor_fills_the_bucket() {
    let mut s = scenario("extra.hasCounter=true").with_servers(3);
    s.submit(2, 3.0);
    s.answer_counter(0, CallOutcome::Ok, 3.0);
    s.submit(2, 4.0);
    s.answer_counter(0, CallOutcome::Ok, 4.0); // below the 7 that this gateway added: the counter restarted empty
    let ids: Vec<u32> = (0..4).map(|_| s.submit(2, 1.0)).collect();
    let sent: Vec<usize> = ids.iter().map(|id| s.attempt_count(*id)).collect();
    assert_eq!(sent, [1, 1, 0, 0], "3 of 10 units were left, and the last of them must be claimed");
}

#[test]
fn with_a_silent_counter_the_even_split_applies() {
    let mut s = scenario("extra.hasCounter=true").with_servers(20);
    s.submit(2, 1.0);
    s.answer_counter(0, CallOutcome::Ok, 1.0); // 9 units are left while the counter answers
    for customer in 0..4 {
        s.submit_for(100 + customer, 2, 1.0, 4 * SEC);
    }
    (0..4).for_each(|back| s.answer_counter(back, CallOutcome::TimedOut, 0.0));
    let before = s.host.sent.len();
    for _ in 0..8 {
        s.submit(2, 1.0);
    }
    assert_eq!(s.host.sent.len() - before, 4, "half of the burst, less the unit used before");
}

#[test]
fn an_even_split_smaller_than_one_rpc_admits_one_at_a_time() {
    let mut s = scenario("").with_servers(20);
    for _ in 0..3 {
        s.submit(2, 6.0); // the split holds 5
    }
    assert_eq!(s.host.sent.len(), 1);
}

#[test]
fn a_fleet_that_answers_nothing_in_time_does_not_look_fast() {
    let mut s = scenario("").with_servers(20);
    for customer in 0..20 {
        let rpc = s.submit_for(customer, 1, 0.1, 4 * SEC);
        s.advance(600 * MS);
        s.end_attempt(rpc, CallOutcome::TimedOut);
    }
    let before = s.host.sent.len();
    for customer in 100..110 {
        s.submit_for(customer, 1, 0.1, 4 * SEC);
    }
    assert!(s.host.sent.len() - before <= 2, "{} more", s.host.sent.len() - before);
    assert_eq!(
        s.host.sent.last().map(|sent| sent.2),
        Some(0),
        "and no attempt gets a shorter timeout to leave time for a retry"
    );
}

#[test]
fn a_hanging_server_gets_no_new_rpcs() {
    let mut s = scenario("").with_servers(2);
    s.run_answered(20, 2, 20 * MS);
    let stuck = s.submit_for(50, 2, 0.1, 9 * SEC);
    let hanging = s.host.sent.last().expect("sent").1;
    s.advance(600 * MS);
    let before = s.host.sent.len();
    s.run_answered(20, 2, 20 * MS);
    assert!(s.attempt_count(stuck) == 1 && s.host.sent[before..].iter().all(|sent| sent.1 != hanging));
}

#[test]
fn when_all_servers_are_slow_open_attempts_are_limited_by_their_rate() {
    let mut s = scenario("").with_servers(4);
    s.run_answered(20, 2, 50 * MS); // 20 answers a second
    for customer in 0..40 {
        s.submit_for(5000 + customer, 0, 0.1, 4 * SEC);
    }
    let patient = s.host.sent.len() - 20;
    for customer in 0..40 {
        s.submit_for(6000 + customer, 2, 0.1, 4 * SEC);
    }
    let all = s.host.sent.len() - 20;
    assert!((4..=10).contains(&patient) && (9..=13).contains(&all), "{patient} {all}");
}

#[test]
fn old_slow_answers_do_not_stop_a_gateway() {
    let mut s = scenario("").with_servers(4);
    s.run_answered(10, 2, 1500 * MS);
    s.advance(3 * SEC);
    s.submit(0, 1.0);
    assert_eq!(s.host.sent.last().expect("sent").2, 600 * MS, "leaves time for another attempt");
}

#[test]
fn hanging_urgent_attempts_throttle_patient_rpcs() {
    let mut s = scenario("").with_servers(30);
    s.run_answered(25, 2, 10 * MS);
    let admitted = s.submit_for(70, 0, 0.1, 4 * SEC);
    assert_eq!(s.attempt_count(admitted), 1);
    for customer in 0..8 {
        s.submit_for(200 + customer, 2, 0.1, 9 * SEC);
    }
    s.advance(1200 * MS);
    let patient = s.submit_for(71, 0, 0.1, 4 * SEC);
    let urgent = s.submit_for(72, 2, 0.1, 4 * SEC);
    assert_eq!((s.attempt_count(patient), s.attempt_count(urgent)), (0, 1));
}

#[test]
fn a_lack_of_quota_throttles_patient_rpcs_until_the_bucket_has_refilled() {
    let mut s = scenario("").with_servers(9);
    for _ in 0..24 {
        let rpc = s.submit(2, 0.1);
        s.advance(5 * MS);
        s.end_attempt(rpc, CallOutcome::Ok);
    }
    let spike = s.submit_for(9, 2, 3.0, SEC);
    s.end_attempt(spike, CallOutcome::Ok);
    s.submit_for(9, 2, 3.0, 50 * MS);
    s.advance(150 * MS);
    assert_eq!(s.host.rejected.len(), 1, "an urgent RPC found no quota");
    s.advance(300 * MS);
    let throttled = s.submit_for(9, 0, 0.1, 100 * MS);
    s.advance(100 * MS);
    assert_eq!(
        (s.attempt_count(throttled), s.host.rejected.len()),
        (0, 2),
        "although there is quota above the reserve line"
    );
    s.advance(500 * MS);
    let after = s.submit(0, 0.1);
    assert_eq!(s.attempt_count(after), 1, "long before the rejection of the urgent RPC is forgotten");
}

#[test]
fn customers_equivalent_to_new_ones_are_forgotten() {
    let mut s = scenario("").with_servers(9);
    // A customer that has used units and one with an open RPC are kept. This one comes first, so that it is the oldest.
    let open = s.submit_for(1, 2, 0.1, 200 * SEC);
    assert_eq!(s.attempt_count(open), 1);
    for round in 0..20 {
        (0..200).for_each(|one| {
            let rpc = s.submit_for(1000 + 200 * round + one, 2, 0.1, 4 * SEC);
            s.advance(10 * MS);
            if s.attempt_count(rpc) > 0 {
                s.end_attempt(rpc, CallOutcome::Ok);
            }
        });
        s.advance(4 * SEC);
        let fresh = s.submit_for(50_000 + round, 2, 0.1, 4 * SEC);
        assert_eq!(s.attempt_count(fresh), 1, "a new customer is not mistaken for one that came long ago");
        s.end_attempt(fresh, CallOutcome::Ok);
        assert!(s.controller.customer_count() < 2400, "{round}: {}", s.controller.customer_count());
    }
    s.end_attempt(open, CallOutcome::Ok);
    // A customer that has used up its quota finds it used up on its next RPC, however many customers came in between.
    let spent = s.submit_for(2, 2, 5.0, SEC);
    s.end_attempt(spent, CallOutcome::Ok);
    for other in 0..5000 {
        s.submit_for(100_000 + other, 2, 0.1, MS);
    }
    let again = s.submit_for(2, 2, 5.0, SEC);
    assert_eq!((s.attempt_count(spent), s.attempt_count(again)), (1, 0));
}

#[test]
fn a_server_that_failed_is_in_backoff_and_is_tried_again() {
    let mut s = scenario("").with_servers(3);
    s.run_answered(20, 2, 20 * MS);
    let rpc = s.submit_for(60, 2, 0.1, 4 * SEC);
    let failed = s.host.sent.last().expect("sent").1;
    s.end_attempt(rpc, CallOutcome::NoConnection);
    let before = s.host.sent.len();
    s.run_answered(15, 2, 5 * MS);
    assert!(s.host.sent[before - 1..].iter().all(|sent| sent.1 != failed));
    s.run_answered(40, 2, 20 * MS);
    assert!(s.host.sent[before..].iter().any(|sent| sent.1 == failed), "the server is tried again");
}

/// One of a hundred gateways with sixty servers; the tests send it about six RPCs a second.
fn one_of_a_hundred_gateways(seed: u64) -> Scenario {
    scenario_with_seed(seed, "balancers=100 reporting.columns=cpu_share,busy_reqs").with_servers(60)
}

/// The number of attempts sent to each server, from the attempt with index `from` on.
fn attempts_by_server(s: &Scenario, from: usize) -> std::collections::BTreeMap<u32, usize> {
    let mut counts = std::collections::BTreeMap::new();
    s.host.sent[from..].iter().for_each(|sent| *counts.entry(sent.1).or_default() += 1);
    counts
}

#[test]
fn each_of_many_gateways_uses_a_subset_and_together_they_use_all_servers() {
    let mut reached = std::collections::BTreeMap::<u32, usize>::new();
    for seed in 0..100 {
        let mut s = one_of_a_hundred_gateways(seed);
        s.run_answered(60, 2, 160 * MS);
        assert!(
            (4..=18).contains(&attempts_by_server(&s, 0).len()),
            "{} of 60 in ten seconds",
            attempts_by_server(&s, 0).len()
        );
        attempts_by_server(&s, 0)
            .into_iter()
            .for_each(|(server, count)| *reached.entry(server).or_default() += count);
    }
    assert_eq!(reached.len(), 60);
    assert!(
        reached.values().all(|count| (30..=220).contains(count)),
        "the mean is a hundred each: {reached:?}"
    );
}

#[test]
fn few_gateways_and_busy_gateways_use_all_servers() {
    let mut s = scenario_with_seed(3, "balancers=3").with_servers(12);
    s.run_answered(200, 2, 10 * MS);
    assert_eq!(attempts_by_server(&s, 0).len(), 12);
    let mut s = one_of_a_hundred_gateways(3);
    s.run_answered(400, 2, 4 * MS);
    assert!(attempts_by_server(&s, 200).len() >= 55, "nearly all of 60 in 200 draws of the better of two");
}

#[test]
fn a_gateway_uses_other_servers_when_its_subset_is_gone_or_fails() {
    let mut s = one_of_a_hundred_gateways(5);
    s.run_answered(60, 2, 160 * MS);
    let subset = attempts_by_server(&s, 0);
    for server in subset.keys() {
        s.deliver_list(false, &[DiscoveredServer { ready: false, ..harness::ready_server(*server, 0) }]);
    }
    let from = s.host.sent.len();
    s.run_answered(30, 2, 160 * MS);
    assert!(
        s.host.sent.len() == from + 30
            && attempts_by_server(&s, from).keys().all(|other| !subset.contains_key(other))
    );
    // Other servers refuse the connection or are full. The RPC is retried on yet another server and is not lost.
    let rpc = s.submit_for(77, 2, 0.1, 4 * SEC);
    s.end_attempt(rpc, CallOutcome::NoConnection);
    s.end_attempt(rpc, CallOutcome::Full);
    s.end_attempt(rpc, CallOutcome::Ok);
    assert_eq!((s.attempt_count(rpc), s.host.rejected.len(), s.host.aborted.len()), (3, 0, 0));
}

#[test]
fn a_server_that_reports_high_load_gets_fewer_rpcs_for_a_while() {
    let mut s = one_of_a_hundred_gateways(5);
    s.load_report = vec![0.9, 1.0];
    s.run_answered(60, 2, 160 * MS);
    let full = *attempts_by_server(&s, 0).iter().max_by_key(|entry| entry.1).expect("sent").0;
    let mut share = |held: f64| {
        let from = s.host.sent.len();
        for customer in 0..120 {
            let rpc = s.submit_for(5000 + customer, 2, 0.1, 4 * SEC);
            s.load_report[1] = if s.host.sent.last().expect("sent").1 == full { held } else { 1.0 };
            s.advance(160 * MS);
            s.end_attempt(rpc, CallOutcome::Ok);
        }
        let mut others = attempts_by_server(&s, from);
        let full = others.remove(&full).unwrap_or(0);
        (full, others.values().sum::<usize>() / others.len())
    };
    let ((loaded, usual), (idle, _)) = (share(30.0), share(1.0));
    assert!(loaded >= 1 && 2 * loaded <= usual, "{loaded} while it held thirty, others {usual}");
    assert!(idle > loaded, "{idle} afterwards");
}

#[test]
fn replacing_most_of_the_list_answers_each_open_rpc_once_and_spares_cold_servers() {
    let mut s = one_of_a_hundred_gateways(7);
    s.run_answered(60, 2, 160 * MS);
    let open: Vec<u32> = (0..4).map(|customer| s.submit_for(5000 + customer, 2, 0.1, 4 * SEC)).collect();
    let gone: Vec<DiscoveredServer> =
        (1..=36).map(|id| DiscoveredServer { ready: false, ..ready_server(id, id as u16 % 2) }).collect();
    let cold = |now| {
        (61..=96).map(move |id| DiscoveredServer { started_at: now, ..ready_server(id, id as u16 % 2) })
    };
    s.deliver_list(false, &gone);
    s.deliver_list(false, &cold(s.host.now).collect::<Vec<_>>());
    // Half of the open attempts are reset, the others are answered: each RPC gets exactly one answer.
    s.advance(100 * MS);
    for (at, rpc) in open.iter().enumerate() {
        s.end_attempt(*rpc, if at % 2 == 0 { CallOutcome::Reset } else { CallOutcome::Ok });
    }
    assert!(
        s.host.aborted == [open[0], open[2]] && s.host.rejected.is_empty(),
        "non-idempotent RPCs that may have run are aborted"
    );
    let from = s.host.sent.len();
    s.run_answered(60, 2, 160 * MS);
    let by_server = attempts_by_server(&s, from);
    assert!(by_server.keys().all(|server| *server > 36), "no RPC goes to a server that is gone");
    let to_cold: usize = by_server.range(61..).map(|server| server.1).sum();
    assert!((1..=30).contains(&to_cold), "{to_cold} of 60 to cold servers: at first one each at most");
    assert!(by_server.range(61..).all(|server| *server.1 <= 2), "{by_server:?}");
}

#[test]
fn a_crowded_gateway_that_uses_servers_rarely_still_sends_to_a_fast_one() {
    let after_slow_answers = |mut s: Scenario| {
        s.run_answered(60, 2, 160 * MS);
        for batch in 0..2 {
            let slow: Vec<u32> =
                (0..4).map(|rpc| s.submit_for(5000 + 4 * batch + rpc, 2, 0.1, 4 * SEC)).collect();
            s.advance(700 * MS);
            slow.iter().for_each(|rpc| s.end_attempt(*rpc, CallOutcome::Ok));
        }
        let slow = attempts_by_server(&s, 60);
        s.submit_for(5999, 2, 0.1, 4 * SEC); // with no open attempt a gateway is never crowded
        let rpc = s.submit_for(6000, 2, 0.1, 4 * SEC);
        (s.attempt_count(rpc), slow.contains_key(&s.host.sent.last().expect("sent").1))
    };
    let sent = after_slow_answers(one_of_a_hundred_gateways(5));
    assert_eq!(sent, (1, false), "eight slow answers do not speak for all servers");
    let few = after_slow_answers(scenario("").with_servers(20));
    assert_eq!(few.0, 0, "few gateways know all servers by their own answers");
}

#[test]
fn one_late_urgent_rpc_of_twenty_does_not_throttle_and_two_do() {
    let mut s = scenario("").with_servers(20);
    let mut late = |quick: u32| {
        s.run_answered(quick, 2, MS);
        let rpc = s.submit_for(77, 2, 0.1, 4 * SEC);
        s.advance(1100 * MS);
        s.end_attempt(rpc, CallOutcome::Ok);
        s.run_answered(8, 2, MS); // the latest answers are fast again
        let patient = s.submit_for(2000 + u64::from(quick), 0, 0.1, 4 * SEC);
        let sent = s.attempt_count(patient);
        if sent == 1 {
            s.end_attempt(patient, CallOutcome::Ok);
        }
        sent
    };
    assert_eq!((late(11), late(4)), (1, 0), "the 19th of 20 samples is in time; the 32nd of 33 is late");
}

#[test]
fn a_faulty_server_among_many_gets_fewer_attempts_than_healthy_ones() {
    let mut s = one_of_a_hundred_gateways(11);
    s.run_answered(60, 2, 160 * MS);
    let faulty = *attempts_by_server(&s, 0).iter().max_by_key(|entry| entry.1).expect("sent").0;
    let from = s.host.sent.len();
    for customer in 0..180 {
        let rpc = s.submit_for(5000 + customer, 0, 0.1, 4 * SEC);
        while s.host.sent.last().is_some_and(|sent| sent.0 == rpc && sent.1 == faulty) {
            s.end_attempt(rpc, CallOutcome::Error);
        }
        s.advance(160 * MS);
        s.end_attempt(rpc, CallOutcome::Ok);
    }
    let mut healthy = attempts_by_server(&s, from);
    let faulty = healthy.remove(&faulty).unwrap_or(0);
    let healthy = healthy.values().sum::<usize>() / healthy.len();
    assert!(faulty >= 1 && faulty * 3 <= healthy, "{faulty} in half a minute, a healthy one {healthy}");
}

#[test]
fn open_attempts_at_a_server_are_limited_by_its_answers() {
    let mut s = scenario("").with_servers(2);
    s.run_answered(60, 2, 5 * MS); // 200 answers a second
    s.deliver_list(false, &[ready_server(3, 1)]);
    for customer in 0..30 {
        s.submit_for(7000 + customer, 2, 0.1, 4 * SEC);
    }
    let silent = s.host.sent.iter().filter(|sent| sent.1 == 3).count();
    assert!(s.host.sent.len() >= 80 && silent <= 3, "{silent} of {}", s.host.sent.len());
}

#[test]
fn a_burst_on_a_fast_fleet_is_not_mistaken_for_a_queue() {
    let mut s = scenario("").with_servers(30);
    s.run_answered(60, 2, 30 * MS); // 33 answers a second, since there were no more RPCs
    let before = s.host.sent.len();
    for customer in 0..25 {
        s.submit_for(7000 + customer, 2, 0.1, 4 * SEC);
    }
    assert_eq!(s.host.sent.len() - before, 25);
}

#[test]
fn while_urgent_rpcs_are_late_only_the_rate_of_answers_limits_a_burst() {
    let mut s = scenario("").with_servers(30);
    // Late answers first, so that patient RPCs are throttled; then fast ones, 50 a second.
    for late in 0..30 {
        let rpc = s.submit_for(900 + late, 2, 0.1, 9 * SEC);
        s.advance(1200 * MS);
        s.end_attempt(rpc, CallOutcome::Ok);
    }
    s.run_answered(60, 2, 20 * MS);
    s.submit_for(50, 0, 0.1, 4 * SEC);
    let before = s.host.sent.len();
    for customer in 0..60 {
        s.submit_for(7000 + customer, 2, 0.1, 4 * SEC);
    }
    assert!(s.host.sent.len() - before < 60);
}

#[test]
fn units_that_others_added_late_in_a_window_are_read_in_the_next() {
    let mut s = scenario("extra.hasCounter=true").with_servers(3);
    s.advance(700 * MS);
    let first = s.submit(2, 1.0);
    s.answer_counter(0, CallOutcome::Ok, 3.5); // others take little, so that the next RPC finds quota without a claim
    s.end_attempt(first, CallOutcome::Ok);
    let window = s.host.counter_calls[0].0;
    s.advance(1010 * MS);
    s.submit(2, 6.0);
    s.answer_counter(0, CallOutcome::Ok, 6.0);
    s.advance(1010 * MS);
    s.submit(2, 1.0);
    let reads = s.host.counter_calls.iter().filter(|call| call.1 == 0.0);
    assert_eq!(reads.map(|call| call.0).collect::<Vec<_>>(), [window]);
}

#[test]
fn settlement_corrects_the_estimated_units() {
    let mut s = scenario("").with_servers(3);
    let rpc = s.submit(2, 1.0);
    s.settled_units = 4.0;
    s.end_attempt(rpc, CallOutcome::Ok);
    let next = s.submit(2, 2.0);
    assert_eq!(s.attempt_count(next), 0, "1 of 5 units is left");
}

/// A counter that did not answer two calls, so that the gap between calls is wide: the next call uses up the allowance, and
/// further ones have to wait.
fn overloaded_counter() -> Scenario {
    let mut s = scenario("extra.hasCounter=true balancers=32").with_servers(20);
    for customer in 50..52 {
        s.submit_for(customer, 2, 1.0, 4 * SEC);
        s.answer_counter(0, CallOutcome::TimedOut, 0.0);
        s.advance(30 * MS);
    }
    s
}

#[test]
fn while_no_counter_call_is_allowed_the_even_split_needs_no_claim() {
    let mut s = overloaded_counter();
    s.advance(700 * MS);
    s.submit(2, 1.0);
    s.answer_counter(0, CallOutcome::Ok, 8.0); // 2 units are left, 4 in the even split
    let ids: Vec<u32> = (0..5).map(|_| s.submit(2, 1.0)).collect();
    let sent: Vec<usize> = ids.iter().map(|id| s.attempt_count(*id)).collect();
    assert_eq!(sent, [1, 1, 0, 0, 0], "the units that are left, but no more");
}

#[test]
fn unanswered_counter_calls_are_made_less_often() {
    let mut s = scenario("extra.hasCounter=true").with_servers(20);
    for customer in 0..200 {
        s.submit_for(customer, 2, 1.0, 4 * SEC);
        s.advance(MS);
        if customer % 4 == 3 && !s.host.counter_calls.is_empty() {
            s.answer_counter(0, CallOutcome::TimedOut, 0.0); // a queue longer than the timeout answers no call in time
        }
    }
    assert!(s.host.counter_calls.len() < 60, "{} calls", s.host.counter_calls.len());
}

#[test]
fn with_no_call_allowed_the_last_total_decides_unless_the_bucket_was_low() {
    let mut s = overloaded_counter();
    s.submit_for(10, 2, 1.0, 4 * SEC);
    let calm = s.submit(2, 6.0);
    assert_eq!(s.attempt_count(calm), 1, "never read, and not known to be low");
    let again = s.submit(2, 1.0);
    assert_eq!(
        s.attempt_count(again),
        0,
        "the other gateway may have taken 6 as well: the counter is asked first"
    );
}

#[test]
fn the_counter_is_called_first_for_a_customer_with_waiting_rpcs() {
    let mut s = overloaded_counter();
    s.submit(2, 4.0);
    s.answer_counter(0, CallOutcome::Ok, 8.0); // 2 units are left, 1 in the even split
    s.submit_for(11, 2, 1.0, 4 * SEC); // its units wait for a call, but no RPC waits for the answer
    let claim = s.submit(2, 2.0);
    let before = s.host.counter_calls.len();
    s.advance(40 * MS);
    assert_eq!((s.attempt_count(claim), s.host.counter_calls[before].0 >> 31), (0, 9), "not 11");
}

#[test]
fn new_settings_apply_to_new_rpcs_and_not_to_open_ones() {
    let mut s = scenario("").with_servers(3);
    let early = s.submit(0, 1.0);
    assert_eq!(s.attempt_count(early), 1);
    // The new settings allow only one attempt and a tenth of the quota.
    let text = harness::settings("ceilings.attemptsCap=1 tariffs.0.perSecond=1 tariffs.0.depth=1");
    s.controller.update_settings(s.host.now, text);
    s.end_attempt(early, CallOutcome::NoConnection);
    s.advance(100 * MS);
    assert_eq!(s.attempt_count(early), 2, "it arrived when retries were allowed");
    let next: Vec<u32> = (0..4).map(|_| s.submit(2, 1.0)).collect();
    assert!(
        next.iter().filter(|id| s.attempt_count(**id) == 1).count() <= 1,
        "the new quota applies to the customer at once"
    );
    let late = s.submit_for(77, 2, 0.4, SEC);
    assert_eq!(s.attempt_count(late), 1);
    s.end_attempt(late, CallOutcome::NoConnection);
    s.advance(100 * MS);
    assert_eq!(s.attempt_count(late), 1, "an RPC that arrived later has one attempt");
    // With the old settings the old quota applies again, less what was taken.
    s.controller.update_settings(s.host.now, harness::settings(""));
    s.advance(2 * SEC);
    let again: Vec<u32> = (0..4).map(|_| s.submit(2, 1.0)).collect();
    assert!(again.iter().all(|id| s.attempt_count(*id) == 1));
}

#[test]
fn an_rpc_larger_than_the_split_passes_when_it_is_full_despite_rounding() {
    for depth in [1.0, 7.3, 9.9, 10.0, 16.1, 33.7] {
        for at in 0..40 {
            let mut s = scenario(&format!("tariffs.0.depth={depth}")).with_servers(3);
            s.advance(at * 23 * MS); // varies the reserve line, which depends on the time in the window
            let rpc = s.submit(0, depth); // patient, and twice as large as the even split of this gateway
            assert_eq!(s.attempt_count(rpc), 1, "depth {depth} at {at}");
        }
    }
}

#[test]
fn the_estimate_of_other_gateways_usage_outlasts_the_window() {
    for idle_ms in [990, 1010, 2000] {
        let mut s = scenario("extra.hasCounter=true balancers=32").with_servers(20);
        s.advance(800 * MS);
        let first = s.submit(2, 1.0);
        s.answer_counter(0, CallOutcome::Ok, 8.0); // 7 by others in 0.8 s, at least 5 a second
        s.end_attempt(first, CallOutcome::Ok);
        s.advance(idle_ms * MS);
        let (large, calls) = (s.submit(2, 6.0), s.host.counter_calls.len());
        assert_eq!(s.attempt_count(large), 0, "a bucket is not full just because it was not read: {idle_ms}");
        s.controller.on_client_left(large);
        s.submit(2, 1.0);
        assert!(s.host.counter_calls.len() > calls, "and the counter is asked what is left: {idle_ms}");
    }
}

#[test]
fn a_long_queue_is_checked_once_an_instant_and_no_rpc_is_forgotten() {
    let mut s = scenario("tariffs.0.perSecond=1000 tariffs.0.depth=1000").with_servers(0);
    let ids: Vec<u32> = (0..40).map(|_| s.submit(2, 0.1)).collect();
    assert!(s.host.sent.is_empty(), "there is no server yet");
    s.deliver_list(true, &(1..=200).map(|id| harness::ready_server(id, 0)).collect::<Vec<_>>());
    s.advance(40 * MS);
    assert!(ids.iter().all(|id| s.attempt_count(*id) == 1), "{:?}", s.host.sent.len());
    // The same if all clients but one leave, so that the queue is short again.
    let mut s = scenario("tariffs.0.perSecond=1000 tariffs.0.depth=1000").with_servers(0);
    let ids: Vec<u32> = (0..40).map(|_| s.submit(2, 0.1)).collect();
    ids[..39].iter().for_each(|id| s.controller.on_client_left(*id));
    s.deliver_list(true, &[harness::ready_server(1, 0)]);
    s.advance(40 * MS);
    assert_eq!((s.host.sent.len(), s.attempt_count(ids[39])), (1, 1));
}

/// A customer whose last total shows 9 units taken by other gateways in 0.8 s: about 7 a second after the allowance for random
/// variation. The plan has a rate of 10 units a second and a burst of 10, and hence a window of one second.
fn others_took_most(mut s: Scenario, gateway_count: u32) -> Scenario {
    s.gateway_count = gateway_count;
    s.advance(800 * MS);
    let first = s.submit(2, 1.0);
    s.answer_counter(0, CallOutcome::Ok, 10.0);
    s.end_attempt(first, CallOutcome::Ok);
    s
}

#[test]
fn a_past_burst_at_other_gateways_does_not_block_the_customer() {
    for idle_ms in [5000, 60_000] {
        let mut s = others_took_most(scenario("extra.hasCounter=true").with_servers(3), 2);
        s.advance(idle_ms * MS);
        let large = s.submit(2, 4.0);
        assert_eq!(s.attempt_count(large), 0, "the counter is asked first: {idle_ms}");
        s.answer_counter(0, CallOutcome::Ok, 4.0); // no other gateway took units in this window
        assert_eq!(s.attempt_count(large), 1, "{idle_ms}");
    }
}

#[test]
fn with_no_call_allowed_and_few_gateways_absent_rpcs_show_that_a_burst_is_over() {
    let mut s = others_took_most(overloaded_counter(), 2);
    s.advance(30 * SEC);
    for customer in 60..62 {
        s.submit_for(customer, 2, 1.0, 4 * SEC); // no further call is allowed for a while after these
        s.answer_counter(0, CallOutcome::TimedOut, 0.0);
    }
    let large = s.submit(2, 8.0);
    assert_eq!(
        s.attempt_count(large),
        1,
        "with 7 RPCs a second at one other gateway, some would have come here in 30 s"
    );
}

#[test]
fn with_no_call_allowed_and_hundreds_of_gateways_absent_rpcs_show_nothing() {
    for idle_ms in [1100, 5000, 10_000] {
        let mut s = others_took_most(overloaded_counter(), 300);
        s.advance(idle_ms * MS);
        for customer in 60..62 {
            s.submit_for(customer, 2, 1.0, 4 * SEC);
            s.answer_counter(0, CallOutcome::TimedOut, 0.0);
        }
        let large = s.submit(2, 8.0);
        assert_eq!(
            s.attempt_count(large),
            0,
            "each of 299 others serves the customer once in 40 s: {idle_ms}"
        );
    }
}

#[test]
fn units_of_an_rpc_whose_attempts_were_never_written_are_refunded() {
    let mut s = scenario("").with_servers(3);
    let whole = s.submit(2, 5.0); // all of this gateway's even split
    s.end_attempt(whole, CallOutcome::NoConnection);
    s.end_attempt(whole, CallOutcome::NotSent);
    s.end_attempt(whole, CallOutcome::NoConnection); // the last attempt allowed
    assert_eq!(s.host.rejected.len(), 1, "nothing ran, so it is rejected");
    let next = s.submit(2, 5.0);
    assert_eq!(s.attempt_count(next), 1, "no server counted the first");
}

#[test]
fn units_are_refunded_when_a_client_leaves_before_a_byte_was_written() {
    for (outcome, next_attempts) in [
        (CallOutcome::NotSent, 1),
        (CallOutcome::NoConnection, 1),
        (CallOutcome::Withdrawn, 0),
        (CallOutcome::Full, 0),
    ] {
        let mut s = scenario("").with_servers(3);
        let whole = s.submit(2, 5.0);
        s.controller.on_client_left(whole);
        s.end_attempt(whole, outcome);
        let next = s.submit(2, 5.0);
        assert_eq!(s.attempt_count(next), next_attempts, "{outcome:?}");
    }
}

#[test]
fn units_of_an_rpc_with_one_written_attempt_stay_taken() {
    let mut s = scenario("").with_servers(3);
    let whole = s.submit(2, 5.0);
    s.end_attempt(whole, CallOutcome::Full); // written, and rejected by the server
    s.end_attempt(whole, CallOutcome::NoConnection);
    s.controller.on_client_left(whole);
    s.end_attempt(whole, CallOutcome::NotSent);
    let next = s.submit(2, 5.0);
    assert_eq!(s.attempt_count(next), 0, "the first attempt was written");
}

/// An RPC of customer 9 arrives for the given service.
fn submit_to_service(s: &mut Scenario, id: u32, service: u32) {
    let now = s.host.now;
    let arrival = Arrival {
        id,
        method: 2,
        customer: 9,
        service,
        units: 0.1,
        gateway_count: 2,
        deadline: now + 4 * SEC,
        ..Arrival::default()
    };
    s.controller.on_arrival(&mut s.host, now, &arrival);
}

#[test]
fn an_rpc_goes_only_to_servers_of_its_service_even_as_they_change() {
    let mut s = scenario("").with_servers(3);
    s.deliver_list(
        false,
        &[
            DiscoveredServer { service: 7, ..ready_server(11, 0) },
            DiscoveredServer { service: 8, ..ready_server(12, 0) },
        ],
    );
    for (id, service, to) in [(1001, 7, 11), (1002, 8, 12), (1003, 7, 11)] {
        submit_to_service(&mut s, id, service);
        assert_eq!(s.host.sent.last().unwrap().1, to);
    }
    // The server of service 7 moves to service 8: an RPC for 7 waits until another server joins.
    s.deliver_list(false, &[DiscoveredServer { service: 8, ..ready_server(11, 0) }]);
    let before = s.host.sent.len();
    submit_to_service(&mut s, 1004, 7);
    s.advance(100 * MS);
    assert_eq!(s.host.sent.len(), before);
    s.deliver_list(false, &[DiscoveredServer { service: 7, ..ready_server(13, 0) }]);
    s.advance(100 * MS);
    assert_eq!(s.host.sent.last().unwrap().1, 13);
    // After a whole list without that server, no RPC goes to it.
    s.deliver_list(true, &[ready_server(1, 0), DiscoveredServer { service: 8, ..ready_server(12, 0) }]);
    let before = s.host.sent.len();
    submit_to_service(&mut s, 1005, 7);
    s.advance(100 * MS);
    assert_eq!(s.host.sent.len(), before);
    submit_to_service(&mut s, 1006, 8);
    assert_eq!(s.host.sent.last().unwrap().1, 12);
}

#[test]
fn while_no_counter_call_is_allowed_a_refused_claim_stays_counted() {
    let mut s = overloaded_counter();
    s.advance(700 * MS);
    let first = s.submit(2, 1.0);
    s.answer_counter(0, CallOutcome::Ok, 8.0); // 2 units are left
    s.end_attempt(first, CallOutcome::Ok);
    let before = s.host.counter_calls.len();
    let claim = s.submit(2, 2.4);
    while s.host.counter_calls.len() == before {
        s.advance(MS);
    }
    let calls = s.host.counter_calls.len();
    assert_eq!(s.host.counter_calls[calls - 1].1, 2.4, "the units that were requested");
    s.answer_counter(0, CallOutcome::Ok, 14.0);
    s.advance(SEC / 2);
    assert_eq!(
        (s.attempt_count(claim), s.host.counter_calls.len()),
        (0, calls),
        "no call is made to refund it"
    );
}

#[test]
fn a_settlement_difference_is_reported_only_with_the_next_call() {
    let mut s = scenario("extra.hasCounter=true").with_servers(20);
    let first = s.submit(2, 1.0);
    s.answer_counter(0, CallOutcome::Ok, 1.0);
    s.settled_units = 1.5;
    s.end_attempt(first, CallOutcome::Ok);
    let calls = s.host.counter_calls.len();
    s.submit(2, 8.0); // nearly the last units, so they are claimed
    let reported: f64 = s.host.counter_calls[calls..].iter().map(|call| call.1).sum();
    assert_eq!(reported, 8.5, "the actual units of the first RPC are reported with the claim");
    s.answer_counter(0, CallOutcome::Ok, 9.5);
    let calls = s.host.counter_calls.len();
    s.settled_units = 8.5;
    s.end_attempt(2, CallOutcome::Ok);
    s.advance(2 * SEC);
    assert_eq!(s.host.counter_calls.len(), calls, "a difference of half a unit causes no call");
}
