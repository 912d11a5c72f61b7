//! What the module must do when things fail: one short story for each failure met.

mod harness;

use harness::{MS, SEC, Story, gateway, server, story};
use martenramp::host::{Arrival, CallOutcome, DiscoveredServer};

#[test]
fn an_rpc_that_finds_no_server_is_pushed_back_in_time() {
    let mut s = story("");
    let rpc = s.rpc_of(9, 2, 1.0, SEC / 3 + 123);
    s.pass(2 * SEC);
    assert_eq!(s.notes.pushed.len(), 1);
    assert!(s.notes.pushed[0].0 == rpc && s.notes.pushed[0].2 <= harness::START + SEC / 3 + MS);
}

#[test]
fn a_store_without_room_holds_then_releases_then_pushes_back_with_a_time() {
    let mut s = story("").with_servers(3);
    let ids: Vec<u32> = (0..12).map(|_| s.rpc(2, 1.0)).collect();
    // The customer is new here: half of the burst of 10 is this gateway's.
    assert_eq!(s.notes.out.len(), 5);
    assert!(!s.notes.pushed.is_empty(), "the last can't get room in time and hear so at once");
    assert!(s.notes.pushed.iter().all(|pushed| pushed.1 > 0 && pushed.2 == harness::START));
    s.pass(500 * MS);
    assert!(s.sent(ids[5]) == 1 && s.notes.out.len() <= 8, "half the rate without a counter");
}

#[test]
fn patient_rpcs_stop_at_the_reserve_line_and_urgent_ones_may_pass_it() {
    let mut s = story("").with_servers(3);
    let patient: Vec<u32> = (0..4).map(|_| s.rpc(0, 1.0)).collect();
    assert_eq!(s.notes.out.len(), 3, "5 units, 1.5 of them reserved at the window's start");
    let urgent: Vec<u32> = (0..2).map(|_| s.rpc(2, 1.0)).collect();
    assert!(urgent.iter().all(|id| s.sent(*id) == 1) && s.sent(patient[3]) == 0);
}

#[test]
fn a_non_idempotent_rpc_that_may_have_run_is_aborted() {
    let mut s = story("").with_servers(3);
    let rpc = s.rpc(2, 1.0);
    s.pass(50 * MS);
    s.end(rpc, CallOutcome::Reset);
    assert_eq!((s.sent(rpc), s.notes.aborted.as_slice(), s.notes.pushed.len()), (1, &[rpc][..], 0));
}

#[test]
fn proof_that_nothing_ran_allows_another_server() {
    let mut s = story("").with_servers(3);
    let rpc = s.rpc(2, 1.0);
    s.end(rpc, CallOutcome::NoConnection);
    let servers: Vec<u32> = s.notes.out.iter().map(|out| out.1).collect();
    assert!(servers.len() == 2 && servers[0] != servers[1]);
}

#[test]
fn a_deduplicated_rpc_stays_in_its_zone_and_within_its_window() {
    let mut s = story("").with_servers(6);
    let rpc = s.rpc(1, 1.0);
    s.pass(50 * MS);
    s.end(rpc, CallOutcome::Reset);
    s.pass(870 * MS); // past the 0.9 s for which a repeat is known
    s.end(rpc, CallOutcome::Reset);
    assert_eq!((s.sent(rpc), s.notes.aborted.as_slice()), (2, &[rpc][..]));
    for customer in 0..10 {
        let rpc = s.rpc_of(300 + customer, 1, 1.0, 4 * SEC);
        s.end(rpc, CallOutcome::Error);
        s.end(rpc, CallOutcome::Ok);
    }
    let servers: Vec<u32> = s.notes.out.iter().map(|out| out.1).collect();
    assert!(servers.len() == 22 && servers.chunks(2).all(|pair| pair[0] % 2 == pair[1] % 2), "{servers:?}");
}

#[test]
fn nothing_new_goes_to_a_server_that_drains_or_is_off_the_list() {
    let mut s = story("").with_servers(3);
    s.answered(20, 2, MS);
    for customer in 0..4 {
        s.rpc_of(400 + customer, 2, 0.1, 9 * SEC); // open when the list changes, so still known
    }
    s.list(false, &[DiscoveredServer { ready: false, ..server(1, 1) }]);
    s.list(true, &[DiscoveredServer { ready: false, ..server(1, 1) }, server(2, 0)]);
    s.answered(40, 2, MS);
    assert!(s.notes.out.len() == 64 && s.notes.out[24..].iter().all(|out| out.1 == 2));
}

#[test]
fn a_cold_server_gets_little_at_first() {
    let mut s = story("").with_servers(4);
    s.answered(40, 2, 20 * MS);
    s.list(false, &[DiscoveredServer { started_at: s.notes.now, ..server(5, 1) }]);
    let before = s.notes.out.len();
    s.answered(45, 2, 20 * MS);
    let cold = s.notes.out[before..].iter().filter(|out| out.1 == 5).count();
    assert!((1..=4).contains(&cold), "{cold} in 0.9 s, where a warm peer gets about 10");
}

#[test]
fn hundreds_of_gateways_together_do_not_push_a_cold_server_over() {
    let mut cold = 0;
    for seed in 0..300 {
        let mut s = gateway(seed, "balancers=300").with_servers(4);
        s.answered(4, 2, 500 * MS); // together 600 a second, so 150 a server, and 30 a cold one
        let started = s.notes.now;
        s.list(false, &[DiscoveredServer { started_at: started, ..server(5, 1) }]);
        s.answered(6, 2, 500 * MS);
        cold += s.notes.out.iter().filter(|out| out.1 == 5).count();
    }
    assert!((1..=60).contains(&cold), "{cold} in three seconds");
}

#[test]
fn a_new_life_starts_with_an_empty_part_of_the_ceiling() {
    let mut s = story("tariffs.0.ceilingRate=20 tariffs.0.hardBurst=20").with_servers(3);
    for _ in 0..5 {
        s.rpc(2, 1.0);
    }
    assert_eq!(s.notes.out.len(), 0, "an earlier life may have spent it");
    s.pass(250 * MS);
    assert_eq!(s.notes.out.len(), 2, "its part fills with 10 a second");
}

#[test]
fn a_customer_met_late_finds_the_part_that_filled_since_the_start() {
    let mut s = story("tariffs.0.ceilingRate=8 tariffs.0.hardBurst=8").with_servers(3);
    s.pass(SEC);
    let ids: Vec<u32> = (0..5).map(|_| s.rpc(2, 1.0)).collect();
    assert_eq!(s.notes.out.len(), 4, "a part of 4 a second, 4 at most");
    s.pass(10 * MS);
    assert!(s.sent(ids[4]) == 0);
}

#[test]
fn refused_for_this_gateways_part_of_a_ceiling_a_client_may_try_another() {
    let mut s = story("tariffs.0.ceilingRate=1 tariffs.0.hardBurst=8").with_servers(3);
    s.rpc(2, 1.0);
    assert!(s.notes.pushed.len() == 1 && s.notes.pushed[0].1 <= 50 * MS, "{:?}", s.notes.pushed);
}

#[test]
fn after_a_stall_what_is_too_late_is_answered_once_and_nothing_breaks() {
    let mut s = story("extra.hasCounter=true balancers=400").with_servers(1);
    let ids: Vec<u32> = (0..6).map(|_| s.rpc(2, 2.0)).collect();
    s.notes.now += 3 * SEC; // no turn for three seconds, then all at once
    for _ in 0..s.notes.counts.len() {
        s.counted(0, CallOutcome::TimedOut, 0.0);
    }
    s.pass(0);
    let late = s.rpc_of(9, 2, 1.0, 0);
    let answered = |id: &u32| s.notes.pushed.iter().filter(|pushed| pushed.0 == *id).count();
    assert!(ids.iter().chain([&late]).all(|id| answered(id) + s.sent(*id) == 1), "{:?}", s.notes.pushed);
}

#[test]
fn a_set_wider_than_the_fleet_an_empty_list_and_missing_settings_are_decided() {
    let mut s = story("balancers=1 tariffs.0.depth=x classes.count=0");
    s.list(true, &[]);
    let rpc = s.rpc_of(7, 40, 3.0, SEC);
    s.list(true, &[server(1, 9)]);
    s.pass(2 * SEC);
    assert_eq!(s.sent(rpc) + s.notes.pushed.len(), 1);
}

#[test]
fn claims_of_one_moment_cannot_overdraw_the_ceilings_part() {
    let mut s = story("tariffs.0.ceilingRate=8 tariffs.0.hardBurst=8 extra.hasCounter=true").with_servers(3);
    let first = s.rpc(2, 0.5);
    s.pass(300 * MS);
    s.counted(0, CallOutcome::Ok, 4.5);
    s.end(first, CallOutcome::Ok);
    s.pass(300 * MS); // 1.9 units in the ceiling's part, a thin store: each must be claimed
    let calls = s.notes.counts.len();
    for _ in 0..4 {
        s.rpc(2, 1.0);
    }
    for _ in calls..s.notes.counts.len() {
        s.counted(0, CallOutcome::Ok, 5.5);
    }
    assert!(s.notes.out.len() <= 2, "{:?}", s.notes.out);
}

#[test]
fn call_outs_open_at_once_are_split_too() {
    let mut s = story("tariffs.0.maxOut=4").with_servers(3);
    let ids: Vec<u32> = (0..4).map(|_| s.rpc(2, 1.0)).collect();
    assert_eq!(s.notes.out.len(), 2);
    s.end(ids[0], CallOutcome::Ok);
    assert_eq!(s.notes.out.len(), 3);
}

/// A customer whose store is nearly drained, by a counter that has answered once.
fn thin(extra: &str) -> Story {
    let mut s = story(&format!("extra.hasCounter=true {extra}")).with_servers(3);
    s.pass(700 * MS);
    let first = s.rpc(2, 1.0);
    s.counted(0, CallOutcome::Ok, 8.5);
    s.end(first, CallOutcome::Ok);
    s
}

#[test]
fn the_last_units_are_claimed_first_and_given_back_when_others_took_them() {
    let mut s = thin("");
    let rpc = s.rpc(2, 1.0);
    assert_eq!(s.sent(rpc), 0, "asked first");
    s.counted(0, CallOutcome::Ok, 9.5);
    assert_eq!(s.sent(rpc), 1);
    let late = s.rpc(2, 0.4);
    s.counted(0, CallOutcome::Ok, 12.4);
    assert_eq!(s.sent(late), 0, "another gateway was first");
    assert!(s.notes.counts.last().is_some_and(|count| count.1 < 0.0), "and hears that it was not used");
}

#[test]
fn a_store_not_read_in_the_last_window_is_not_taken_to_be_full() {
    let mut s = story("extra.hasCounter=true").with_servers(3);
    s.pass(250 * MS);
    let rpc = s.rpc(2, 1.0);
    s.counted(0, CallOutcome::Ok, 10.0); // four times the rate, for a quarter of a window: so it was before, too
    assert_eq!(s.sent(rpc), 0, "the ten units of this window are not all that was drawn");
    // Within the quota the first total says nothing of the time before.
    let mut s = story("extra.hasCounter=true").with_servers(3);
    s.pass(250 * MS);
    let rpc = s.rpc(2, 1.0);
    s.counted(0, CallOutcome::Ok, 3.5);
    assert_eq!(s.sent(rpc), 1);
}

#[test]
fn between_totals_the_others_are_taken_to_go_on_drawing_for_a_window() {
    let mut s = story("extra.hasCounter=true").with_servers(3);
    s.pass(800 * MS);
    let first = s.rpc(2, 1.0);
    s.counted(0, CallOutcome::Ok, 8.0); // 7 of others, 8.75 a second; 2 are left, and 10 a second come in
    s.end(first, CallOutcome::Ok);
    s.pass(150 * MS);
    let calls = s.notes.counts.len();
    let rpc = s.rpc(2, 3.0);
    assert_eq!((s.sent(rpc), s.notes.counts.len()), (0, calls), "others drew most of what came in since");
    s.pass(3 * SEC);
    let later = s.rpc(2, 3.0);
    assert!(s.notes.counts.len() > calls, "of what they drew a window ago no more is said: it is asked");
    s.counted(0, CallOutcome::Ok, 3.0);
    assert_eq!(s.sent(later), 1);
}

#[test]
fn a_claim_that_the_counter_never_answers_still_ends_in_time() {
    let mut s = thin("");
    let (rpc, asked) = (s.rpc(2, 1.0), s.notes.now);
    s.pass(3 * SEC);
    assert!(s.notes.pushed.iter().any(|pushed| pushed.0 == rpc && pushed.2 <= asked + SEC + MS));
    s.counted(0, CallOutcome::TimedOut, 0.0);
    s.rpc(2, 1.0);
    s.pass(20 * MS); // a missed answer widens the gap between calls
    let told: f64 = s.notes.counts.iter().map(|count| count.1).sum();
    assert_eq!(told, 2.0, "what was never sent is given back");
}

#[test]
fn a_counter_back_empty_does_not_drain_or_fill_the_store() {
    let mut s = story("extra.hasCounter=true").with_servers(3);
    s.rpc(2, 3.0);
    s.counted(0, CallOutcome::Ok, 3.0);
    s.rpc(2, 4.0);
    s.counted(0, CallOutcome::Ok, 4.0); // below the 7 that this gateway added: an empty start
    let ids: Vec<u32> = (0..4).map(|_| s.rpc(2, 1.0)).collect();
    let sent: Vec<usize> = ids.iter().map(|id| s.sent(*id)).collect();
    assert_eq!(sent, [1, 1, 0, 0], "3 of 10 units were left, the last to be claimed");
}

#[test]
fn a_silent_counter_leaves_the_even_split() {
    let mut s = story("extra.hasCounter=true").with_servers(20);
    s.rpc(2, 1.0);
    s.counted(0, CallOutcome::Ok, 1.0); // 9 units are left while the counter answers
    for customer in 0..4 {
        s.rpc_of(100 + customer, 2, 1.0, 4 * SEC);
    }
    (0..4).for_each(|back| s.counted(back, CallOutcome::TimedOut, 0.0));
    let before = s.notes.out.len();
    for _ in 0..8 {
        s.rpc(2, 1.0);
    }
    assert_eq!(s.notes.out.len() - before, 4, "half of the burst, less the one before");
}

#[test]
fn where_the_even_split_holds_no_rpc_one_passes_at_a_time() {
    let mut s = story("").with_servers(20);
    for _ in 0..3 {
        s.rpc(2, 6.0); // the split holds 5
    }
    assert_eq!(s.notes.out.len(), 1);
}

#[test]
fn a_fleet_that_answers_nothing_in_time_is_not_taken_for_a_quick_one() {
    let mut s = story("").with_servers(20);
    for customer in 0..20 {
        let rpc = s.rpc_of(customer, 1, 0.1, 4 * SEC);
        s.pass(600 * MS);
        s.end(rpc, CallOutcome::TimedOut);
    }
    let before = s.notes.out.len();
    for customer in 100..110 {
        s.rpc_of(customer, 1, 0.1, 4 * SEC);
    }
    assert!(s.notes.out.len() - before <= 2, "{} more", s.notes.out.len() - before);
    assert_eq!(s.notes.out.last().map(|out| out.2), Some(0), "and none is cut off to be sent again");
}

#[test]
fn a_server_that_hangs_is_left_out() {
    let mut s = story("").with_servers(2);
    s.answered(20, 2, 20 * MS);
    let stuck = s.rpc_of(50, 2, 0.1, 9 * SEC);
    let hanging = s.notes.out.last().expect("sent").1;
    s.pass(600 * MS);
    let before = s.notes.out.len();
    s.answered(20, 2, 20 * MS);
    assert!(s.sent(stuck) == 1 && s.notes.out[before..].iter().all(|out| out.1 != hanging));
}

#[test]
fn when_all_servers_are_slow_no_more_is_open_than_they_answer() {
    let mut s = story("").with_servers(4);
    s.answered(20, 2, 50 * MS); // 20 answers a second
    for customer in 0..40 {
        s.rpc_of(5000 + customer, 0, 0.1, 4 * SEC);
    }
    let patient = s.notes.out.len() - 20;
    for customer in 0..40 {
        s.rpc_of(6000 + customer, 2, 0.1, 4 * SEC);
    }
    let all = s.notes.out.len() - 20;
    assert!((4..=10).contains(&patient) && (9..=13).contains(&all), "{patient} {all}");
}

#[test]
fn slow_answers_of_long_ago_do_not_stop_a_gateway() {
    let mut s = story("").with_servers(4);
    s.answered(10, 2, 1500 * MS);
    s.pass(3 * SEC);
    s.rpc(0, 1.0);
    assert_eq!(s.notes.out.last().expect("sent").2, 600 * MS, "with time for another call-out");
}

#[test]
fn urgent_call_outs_that_hang_brake_patient_rpcs() {
    let mut s = story("").with_servers(30);
    s.answered(25, 2, 10 * MS);
    let calm = s.rpc_of(70, 0, 0.1, 4 * SEC);
    assert_eq!(s.sent(calm), 1);
    for customer in 0..8 {
        s.rpc_of(200 + customer, 2, 0.1, 9 * SEC);
    }
    s.pass(1200 * MS);
    let patient = s.rpc_of(71, 0, 0.1, 4 * SEC);
    let urgent = s.rpc_of(72, 2, 0.1, 4 * SEC);
    assert_eq!((s.sent(patient), s.sent(urgent)), (0, 1));
}

#[test]
fn a_lack_of_quota_brakes_patient_rpcs_until_the_store_has_filled_again() {
    let mut s = story("").with_servers(9);
    for _ in 0..24 {
        let rpc = s.rpc(2, 0.1);
        s.pass(5 * MS);
        s.end(rpc, CallOutcome::Ok);
    }
    let spike = s.rpc_of(9, 2, 3.0, SEC);
    s.end(spike, CallOutcome::Ok);
    s.rpc_of(9, 2, 3.0, 50 * MS);
    s.pass(150 * MS);
    assert_eq!(s.notes.pushed.len(), 1, "an urgent one found no room");
    s.pass(300 * MS);
    let braked = s.rpc_of(9, 0, 0.1, 100 * MS);
    s.pass(100 * MS);
    assert_eq!((s.sent(braked), s.notes.pushed.len()), (0, 2), "there is room, above the reserve line");
    s.pass(500 * MS);
    let after = s.rpc(0, 0.1);
    assert_eq!(s.sent(after), 1, "long before the urgent one's end is forgotten");
}

#[test]
fn customers_that_would_stand_the_same_if_they_were_new_are_forgotten() {
    let mut s = story("").with_servers(9);
    // One that owes units and one with an RPC open are kept; they come first, so that they are the oldest.
    let open = s.rpc_of(1, 2, 0.1, 200 * SEC);
    assert_eq!(s.sent(open), 1);
    for round in 0..20 {
        (0..200).for_each(|one| {
            let rpc = s.rpc_of(1000 + 200 * round + one, 2, 0.1, 4 * SEC);
            s.pass(10 * MS);
            if s.sent(rpc) > 0 {
                s.end(rpc, CallOutcome::Ok);
            }
        });
        s.pass(4 * SEC);
        let fresh = s.rpc_of(50_000 + round, 2, 0.1, 4 * SEC);
        assert_eq!(s.sent(fresh), 1, "whoever is new is not taken for one that came long ago");
        s.end(fresh, CallOutcome::Ok);
        assert!(s.brain.customer_count() < 2400, "{round}: {}", s.brain.customer_count());
    }
    s.end(open, CallOutcome::Ok);
    // A full store is spent; who comes again finds it so, however many came between.
    let spent = s.rpc_of(2, 2, 5.0, SEC);
    s.end(spent, CallOutcome::Ok);
    for other in 0..5000 {
        s.rpc_of(100_000 + other, 2, 0.1, MS);
    }
    let again = s.rpc_of(2, 2, 5.0, SEC);
    assert_eq!((s.sent(spent), s.sent(again)), (1, 0));
}

#[test]
fn a_server_that_missed_rests() {
    let mut s = story("").with_servers(3);
    s.answered(20, 2, 20 * MS);
    let rpc = s.rpc_of(60, 2, 0.1, 4 * SEC);
    let missed = s.notes.out.last().expect("sent").1;
    s.end(rpc, CallOutcome::NoConnection);
    let before = s.notes.out.len();
    s.answered(15, 2, 5 * MS);
    assert!(s.notes.out[before - 1..].iter().all(|out| out.1 != missed));
    s.answered(40, 2, 20 * MS);
    assert!(s.notes.out[before..].iter().any(|out| out.1 == missed), "and is tried again");
}

/// One of a hundred gateways, six RPCs a second, sixty servers.
fn one_of_a_hundred(seed: u64) -> Story {
    gateway(seed, "balancers=100 reporting.columns=cpu_share,busy_reqs").with_servers(60)
}

/// To how many call-outs went, from the one numbered `from` on.
fn met(s: &Story, from: usize) -> std::collections::BTreeMap<u32, usize> {
    let mut met = std::collections::BTreeMap::new();
    s.notes.out[from..].iter().for_each(|out| *met.entry(out.1).or_default() += 1);
    met
}

#[test]
fn a_gateway_of_many_calls_out_to_a_part_of_the_servers_and_together_they_reach_all() {
    let mut reached = std::collections::BTreeMap::<u32, usize>::new();
    for seed in 0..100 {
        let mut s = one_of_a_hundred(seed);
        s.answered(60, 2, 160 * MS);
        assert!((4..=18).contains(&met(&s, 0).len()), "{} of 60 in ten seconds", met(&s, 0).len());
        met(&s, 0).into_iter().for_each(|(server, count)| *reached.entry(server).or_default() += count);
    }
    assert_eq!(reached.len(), 60);
    assert!(
        reached.values().all(|count| (30..=220).contains(count)),
        "a hundred each on average: {reached:?}"
    );
}

#[test]
fn few_gateways_and_busy_ones_call_out_to_all_servers() {
    let mut s = gateway(3, "balancers=3").with_servers(12);
    s.answered(200, 2, 10 * MS);
    assert_eq!(met(&s, 0).len(), 12);
    let mut s = one_of_a_hundred(3);
    s.answered(400, 2, 4 * MS);
    assert!(met(&s, 200).len() >= 55, "of all in 200 draws of the better of two");
}

#[test]
fn when_its_part_of_the_servers_is_gone_or_unable_a_gateway_calls_out_to_others() {
    let mut s = one_of_a_hundred(5);
    s.answered(60, 2, 160 * MS);
    let part = met(&s, 0);
    for server in part.keys() {
        s.list(false, &[DiscoveredServer { ready: false, ..harness::server(*server, 0) }]);
    }
    let from = s.notes.out.len();
    s.answered(30, 2, 160 * MS);
    assert!(s.notes.out.len() == from + 30 && met(&s, from).keys().all(|other| !part.contains_key(other)));
    // Those refuse: their table is full. Each RPC goes on to another server, and none is lost.
    let rpc = s.rpc_of(77, 2, 0.1, 4 * SEC);
    s.end(rpc, CallOutcome::NoConnection);
    s.end(rpc, CallOutcome::Full);
    s.end(rpc, CallOutcome::Ok);
    assert_eq!((s.sent(rpc), s.notes.pushed.len(), s.notes.aborted.len()), (3, 0, 0));
}

#[test]
fn a_server_that_told_of_many_rpcs_held_by_others_is_left_to_them_for_a_while() {
    let mut s = one_of_a_hundred(5);
    s.told = vec![0.9, 1.0];
    s.answered(60, 2, 160 * MS);
    let full = *met(&s, 0).iter().max_by_key(|met| met.1).expect("met").0;
    let mut share = |held: f64| {
        let from = s.notes.out.len();
        for customer in 0..120 {
            let rpc = s.rpc_of(5000 + customer, 2, 0.1, 4 * SEC);
            s.told[1] = if s.notes.out.last().expect("sent").1 == full { held } else { 1.0 };
            s.pass(160 * MS);
            s.end(rpc, CallOutcome::Ok);
        }
        let mut others = met(&s, from);
        let full = others.remove(&full).unwrap_or(0);
        (full, others.values().sum::<usize>() / others.len())
    };
    let ((pressed, usual), (calm, _)) = (share(30.0), share(1.0));
    assert!(pressed >= 1 && 2 * pressed <= usual, "{pressed} while it held thirty, others {usual}");
    assert!(calm > pressed, "{calm} afterwards");
}

#[test]
fn while_most_of_the_list_is_replaced_each_rpc_out_gets_one_answer_and_the_cold_get_little() {
    let mut s = one_of_a_hundred(7);
    s.answered(60, 2, 160 * MS);
    let out: Vec<u32> = (0..4).map(|customer| s.rpc_of(5000 + customer, 2, 0.1, 4 * SEC)).collect();
    let gone: Vec<DiscoveredServer> =
        (1..=36).map(|id| DiscoveredServer { ready: false, ..server(id, id as u16 % 2) }).collect();
    let cold =
        |now| (61..=96).map(move |id| DiscoveredServer { started_at: now, ..server(id, id as u16 % 2) });
    s.list(false, &gone);
    s.list(false, &cold(s.notes.now).collect::<Vec<_>>());
    // Half of those out are reset, the others answered: none twice, none not at all.
    s.pass(100 * MS);
    for (at, rpc) in out.iter().enumerate() {
        s.end(*rpc, if at % 2 == 0 { CallOutcome::Reset } else { CallOutcome::Ok });
    }
    assert!(
        s.notes.aborted == [out[0], out[2]] && s.notes.pushed.is_empty(),
        "non-idempotent ones that may have run"
    );
    let from = s.notes.out.len();
    s.answered(60, 2, 160 * MS);
    let met = met(&s, from);
    assert!(met.keys().all(|server| *server > 36), "nothing goes to what is gone");
    let to_cold: usize = met.range(61..).map(|server| server.1).sum();
    assert!((1..=30).contains(&to_cold), "{to_cold} of 60 to the cold: one each at the most at first");
    assert!(met.range(61..).all(|server| *server.1 <= 2), "{met:?}");
}

#[test]
fn a_crowded_gateway_that_meets_servers_seldom_still_calls_out_to_one_that_was_quick() {
    let after_slow_answers = |mut s: Story| {
        s.answered(60, 2, 160 * MS);
        for batch in 0..2 {
            let slow: Vec<u32> =
                (0..4).map(|rpc| s.rpc_of(5000 + 4 * batch + rpc, 2, 0.1, 4 * SEC)).collect();
            s.pass(700 * MS);
            slow.iter().for_each(|rpc| s.end(*rpc, CallOutcome::Ok));
        }
        let slow = met(&s, 60);
        s.rpc_of(5999, 2, 0.1, 4 * SEC); // with nothing open nobody is crowded
        let rpc = s.rpc_of(6000, 2, 0.1, 4 * SEC);
        (s.sent(rpc), slow.contains_key(&s.notes.out.last().expect("sent").1))
    };
    let sent = after_slow_answers(one_of_a_hundred(5));
    assert_eq!(sent, (1, false), "eight slow answers are not all servers");
    let few = after_slow_answers(story("").with_servers(20));
    assert_eq!(few.0, 0, "few gateways know all servers by their own answers");
}

#[test]
fn one_late_urgent_rpc_of_twenty_does_not_brake_and_two_do() {
    let mut s = story("").with_servers(20);
    let mut late = |quick: u32| {
        s.answered(quick, 2, MS);
        let rpc = s.rpc_of(77, 2, 0.1, 4 * SEC);
        s.pass(1100 * MS);
        s.end(rpc, CallOutcome::Ok);
        s.answered(8, 2, MS); // the last answers are quick again
        let patient = s.rpc_of(2000 + u64::from(quick), 0, 0.1, 4 * SEC);
        let sent = s.sent(patient);
        if sent == 1 {
            s.end(patient, CallOutcome::Ok);
        }
        sent
    };
    assert_eq!((late(11), late(4)), (1, 0), "the 19th of 20 samples is in time; of 33 the 32nd is late");
}

#[test]
fn a_bad_server_of_many_is_met_less_than_the_good_ones() {
    let mut s = one_of_a_hundred(11);
    s.answered(60, 2, 160 * MS);
    let bad = *met(&s, 0).iter().max_by_key(|met| met.1).expect("met").0;
    let from = s.notes.out.len();
    for customer in 0..180 {
        let rpc = s.rpc_of(5000 + customer, 0, 0.1, 4 * SEC);
        while s.notes.out.last().is_some_and(|out| out.0 == rpc && out.1 == bad) {
            s.end(rpc, CallOutcome::Error);
        }
        s.pass(160 * MS);
        s.end(rpc, CallOutcome::Ok);
    }
    let mut good = met(&s, from);
    let bad = good.remove(&bad).unwrap_or(0);
    let good = good.values().sum::<usize>() / good.len();
    assert!(bad >= 1 && bad * 3 <= good, "{bad} in half a minute, a good one {good}");
}

#[test]
fn a_server_holds_no_more_than_it_answers() {
    let mut s = story("").with_servers(2);
    s.answered(60, 2, 5 * MS); // 200 answers a second
    s.list(false, &[server(3, 1)]);
    for customer in 0..30 {
        s.rpc_of(7000 + customer, 2, 0.1, 4 * SEC);
    }
    let silent = s.notes.out.iter().filter(|out| out.1 == 3).count();
    assert!(s.notes.out.len() >= 80 && silent <= 3, "{silent} of {}", s.notes.out.len());
}

#[test]
fn a_burst_on_a_fleet_that_answers_quickly_is_not_taken_for_a_queue() {
    let mut s = story("").with_servers(30);
    s.answered(60, 2, 30 * MS); // 33 answers a second, since no more was asked
    let before = s.notes.out.len();
    for customer in 0..25 {
        s.rpc_of(7000 + customer, 2, 0.1, 4 * SEC);
    }
    assert_eq!(s.notes.out.len() - before, 25);
}

#[test]
fn while_urgent_rpcs_are_late_a_burst_is_judged_by_the_rate_alone() {
    let mut s = story("").with_servers(30);
    // Late ones first, so that the brake is on; then quick ones, 50 a second.
    for late in 0..30 {
        let rpc = s.rpc_of(900 + late, 2, 0.1, 9 * SEC);
        s.pass(1200 * MS);
        s.end(rpc, CallOutcome::Ok);
    }
    s.answered(60, 2, 20 * MS);
    s.rpc_of(50, 0, 0.1, 4 * SEC);
    let before = s.notes.out.len();
    for customer in 0..60 {
        s.rpc_of(7000 + customer, 2, 0.1, 4 * SEC);
    }
    assert!(s.notes.out.len() - before < 60);
}

#[test]
fn what_others_added_late_in_a_window_is_read_in_the_next() {
    let mut s = story("extra.hasCounter=true").with_servers(3);
    s.pass(700 * MS);
    let first = s.rpc(2, 1.0);
    s.counted(0, CallOutcome::Ok, 3.5); // the others draw a little, so that the next finds room without a word
    s.end(first, CallOutcome::Ok);
    let window = s.notes.counts[0].0;
    s.pass(1010 * MS);
    s.rpc(2, 6.0);
    s.counted(0, CallOutcome::Ok, 6.0);
    s.pass(1010 * MS);
    s.rpc(2, 1.0);
    let reads = s.notes.counts.iter().filter(|count| count.1 == 0.0);
    assert_eq!(reads.map(|count| count.0).collect::<Vec<_>>(), [window]);
}

#[test]
fn a_guess_is_put_right_with_what_was_settled() {
    let mut s = story("").with_servers(3);
    let rpc = s.rpc(2, 1.0);
    s.settled = 4.0;
    s.end(rpc, CallOutcome::Ok);
    let next = s.rpc(2, 2.0);
    assert_eq!(s.sent(next), 0, "1 of 5 units is left");
}

/// A counter that left two calls without answer: the next call takes the gap after it.
fn crowded_counter() -> Story {
    let mut s = story("extra.hasCounter=true balancers=32").with_servers(20);
    for customer in 50..52 {
        s.rpc_of(customer, 2, 1.0, 4 * SEC);
        s.counted(0, CallOutcome::TimedOut, 0.0);
        s.pass(30 * MS);
    }
    s
}

#[test]
fn while_no_count_call_is_free_the_even_split_needs_no_claim() {
    let mut s = crowded_counter();
    s.pass(700 * MS);
    s.rpc(2, 1.0);
    s.counted(0, CallOutcome::Ok, 8.0); // 2 units are left, 4 in the split
    let ids: Vec<u32> = (0..5).map(|_| s.rpc(2, 1.0)).collect();
    let sent: Vec<usize> = ids.iter().map(|id| s.sent(*id)).collect();
    assert_eq!(sent, [1, 1, 0, 0, 0], "what is left, but no more");
}

#[test]
fn calls_that_go_unanswered_are_made_less_often() {
    let mut s = story("extra.hasCounter=true").with_servers(20);
    for customer in 0..200 {
        s.rpc_of(customer, 2, 1.0, 4 * SEC);
        s.pass(MS);
        if customer % 4 == 3 && !s.notes.counts.is_empty() {
            s.counted(0, CallOutcome::TimedOut, 0.0); // a line longer than the time-out answers nobody
        }
    }
    assert!(s.notes.counts.len() < 60, "{} calls", s.notes.counts.len());
}

#[test]
fn with_no_free_call_an_rpc_goes_by_the_last_total_unless_the_store_was_short() {
    let mut s = crowded_counter();
    s.rpc_of(10, 2, 1.0, 4 * SEC);
    let calm = s.rpc(2, 6.0);
    assert_eq!(s.sent(calm), 1, "never read, and not known to be short");
    let again = s.rpc(2, 1.0);
    assert_eq!(s.sent(again), 0, "the other gateway may have drawn 6 as well: asks first");
}

#[test]
fn a_customer_with_rpcs_waiting_is_counted_first() {
    let mut s = crowded_counter();
    s.rpc(2, 4.0);
    s.counted(0, CallOutcome::Ok, 8.0); // 2 units are left, 1 in the split
    s.rpc_of(11, 2, 1.0, 4 * SEC); // its add waits for a free call, and nobody for it
    let claim = s.rpc(2, 2.0);
    let before = s.notes.counts.len();
    s.pass(40 * MS);
    assert_eq!((s.sent(claim), s.notes.counts[before].0 >> 31), (0, 9), "not 11");
}

#[test]
fn other_settings_hold_for_what_comes_and_not_for_what_is_out() {
    let mut s = story("").with_servers(3);
    let out = s.rpc(0, 1.0);
    assert_eq!(s.sent(out), 1);
    // The new settings allow one call-out only and a tenth of the quota.
    let text = harness::settings("ceilings.attemptsCap=1 tariffs.0.perSecond=1 tariffs.0.depth=1");
    s.brain.update_settings(s.notes.now, text);
    s.end(out, CallOutcome::NoConnection);
    s.pass(100 * MS);
    assert_eq!(s.sent(out), 2, "it came in when further call-outs were allowed");
    let next: Vec<u32> = (0..4).map(|_| s.rpc(2, 1.0)).collect();
    assert!(
        next.iter().filter(|id| s.sent(**id) == 1).count() <= 1,
        "the customer has the new quota at once"
    );
    let one = s.rpc_of(77, 2, 0.4, SEC);
    assert_eq!(s.sent(one), 1);
    s.end(one, CallOutcome::NoConnection);
    s.pass(100 * MS);
    assert_eq!(s.sent(one), 1, "what came in later has one call-out");
    // Back: the quota is there again, filled as it was drawn.
    s.brain.update_settings(s.notes.now, harness::settings(""));
    s.pass(2 * SEC);
    let again: Vec<u32> = (0..4).map(|_| s.rpc(2, 1.0)).collect();
    assert!(again.iter().all(|id| s.sent(*id) == 1));
}

#[test]
fn an_rpc_larger_than_its_part_passes_when_the_part_is_full_whatever_its_sum_is_rounded_to() {
    for depth in [1.0, 7.3, 9.9, 10.0, 16.1, 33.7] {
        for at in 0..40 {
            let mut s = story(&format!("tariffs.0.depth={depth}")).with_servers(3);
            s.pass(at * 23 * MS); // the reserve line is elsewhere within its window
            let rpc = s.rpc(0, depth); // patient, and twice what the part of this gateway holds
            assert_eq!(s.sent(rpc), 1, "depth {depth} at {at}");
        }
    }
}

#[test]
fn what_is_known_of_the_others_does_not_end_with_a_window() {
    for passes in [990, 1010, 2000] {
        let mut s = story("extra.hasCounter=true balancers=32").with_servers(20);
        s.pass(800 * MS);
        let first = s.rpc(2, 1.0);
        s.counted(0, CallOutcome::Ok, 8.0); // 7 of others in 0.8 s, 5 a second at the least
        s.end(first, CallOutcome::Ok);
        s.pass(passes * MS);
        let (large, calls) = (s.rpc(2, 6.0), s.notes.counts.len());
        assert_eq!(s.sent(large), 0, "the store is not full for being out of sight: {passes}");
        s.brain.on_client_left(large);
        s.rpc(2, 1.0);
        assert!(s.notes.counts.len() > calls, "and for what may be there the counter is asked: {passes}");
    }
}

#[test]
fn a_long_line_is_looked_at_once_an_instant_and_nothing_is_forgotten() {
    let mut s = story("tariffs.0.perSecond=1000 tariffs.0.depth=1000").with_servers(0);
    let ids: Vec<u32> = (0..40).map(|_| s.rpc(2, 0.1)).collect();
    assert!(s.notes.out.is_empty(), "there is no server yet");
    s.list(true, &(1..=200).map(|id| harness::server(id, 0)).collect::<Vec<_>>());
    s.pass(40 * MS);
    assert!(ids.iter().all(|id| s.sent(*id) == 1), "{:?}", s.notes.out.len());
    // The same where all leave but one: the line is short again.
    let mut s = story("tariffs.0.perSecond=1000 tariffs.0.depth=1000").with_servers(0);
    let ids: Vec<u32> = (0..40).map(|_| s.rpc(2, 0.1)).collect();
    ids[..39].iter().for_each(|id| s.brain.on_client_left(*id));
    s.list(true, &[harness::server(1, 0)]);
    s.pass(40 * MS);
    assert_eq!((s.notes.out.len(), s.sent(ids[39])), (1, 1));
}

/// A customer's last total tells of 9 units that the others drew in 0.8 s: about 7 a second and chance. The plan has 10
/// units a second and 10 at once, so a window of one second.
fn others_drew_most(mut s: Story, width: u32) -> Story {
    s.width = width;
    s.pass(800 * MS);
    let first = s.rpc(2, 1.0);
    s.counted(0, CallOutcome::Ok, 10.0);
    s.end(first, CallOutcome::Ok);
    s
}

#[test]
fn a_burst_of_others_that_is_over_is_not_held_against_the_customer() {
    for rests in [5000, 60_000] {
        let mut s = others_drew_most(story("extra.hasCounter=true").with_servers(3), 2);
        s.pass(rests * MS);
        let large = s.rpc(2, 4.0);
        assert_eq!(s.sent(large), 0, "the counter is asked first: {rests}");
        s.counted(0, CallOutcome::Ok, 4.0); // nobody else drew in this window
        assert_eq!(s.sent(large), 1, "{rests}");
    }
}

#[test]
fn with_no_free_call_silence_where_few_gateways_share_a_customer_tells_that_a_burst_is_over() {
    let mut s = others_drew_most(crowded_counter(), 2);
    s.pass(30 * SEC);
    for customer in 60..62 {
        s.rpc_of(customer, 2, 1.0, 4 * SEC); // the next call takes the gap after these
        s.counted(0, CallOutcome::TimedOut, 0.0);
    }
    let large = s.rpc(2, 8.0);
    assert_eq!(s.sent(large), 1, "of 7 RPCs a second of one other gateway it would have met some in 30 s");
}

#[test]
fn with_no_free_call_silence_where_hundreds_share_a_customer_tells_nothing() {
    for rests in [1100, 5000, 10_000] {
        let mut s = others_drew_most(crowded_counter(), 300);
        s.pass(rests * MS);
        for customer in 60..62 {
            s.rpc_of(customer, 2, 1.0, 4 * SEC);
            s.counted(0, CallOutcome::TimedOut, 0.0);
        }
        let large = s.rpc(2, 8.0);
        assert_eq!(s.sent(large), 0, "each of 299 others meets the customer once in 40 s: {rests}");
    }
}

#[test]
fn units_of_an_rpc_whose_attempts_were_never_written_are_given_back() {
    let mut s = story("").with_servers(3);
    let whole = s.rpc(2, 5.0); // all of this gateway's part
    s.end(whole, CallOutcome::NoConnection);
    s.end(whole, CallOutcome::NotSent);
    s.end(whole, CallOutcome::NoConnection); // the last attempt allowed
    assert_eq!(s.notes.pushed.len(), 1, "nothing ran: pushed back");
    let next = s.rpc(2, 5.0);
    assert_eq!(s.sent(next), 1, "nobody counted the first");
}

#[test]
fn units_of_an_rpc_that_its_client_left_before_a_byte_was_written_are_given_back() {
    for (how, back) in [
        (CallOutcome::NotSent, 1),
        (CallOutcome::NoConnection, 1),
        (CallOutcome::Withdrawn, 0),
        (CallOutcome::Full, 0),
    ] {
        let mut s = story("").with_servers(3);
        let whole = s.rpc(2, 5.0);
        s.brain.on_client_left(whole);
        s.end(whole, how);
        let next = s.rpc(2, 5.0);
        assert_eq!(s.sent(next), back, "{how:?}");
    }
}

#[test]
fn units_of_an_rpc_with_one_attempt_written_stay_drawn() {
    let mut s = story("").with_servers(3);
    let whole = s.rpc(2, 5.0);
    s.end(whole, CallOutcome::Full); // written, and turned away
    s.end(whole, CallOutcome::NoConnection);
    s.brain.on_client_left(whole);
    s.end(whole, CallOutcome::NotSent);
    let next = s.rpc(2, 5.0);
    assert_eq!(s.sent(next), 0, "the first attempt was sent on");
}

fn rpc_for(s: &mut Story, id: u32, service: u32) {
    let now = s.notes.now;
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
    s.brain.on_arrival(&mut s.notes, now, &arrival);
}

#[test]
fn an_rpc_goes_only_to_servers_of_its_service_also_as_they_come_and_go() {
    let mut s = story("").with_servers(3);
    s.list(
        false,
        &[DiscoveredServer { service: 7, ..server(11, 0) }, DiscoveredServer { service: 8, ..server(12, 0) }],
    );
    for (id, service, to) in [(1001, 7, 11), (1002, 8, 12), (1003, 7, 11)] {
        rpc_for(&mut s, id, service);
        assert_eq!(s.notes.out.last().unwrap().1, to);
    }
    // The server of 7 goes over to 8: what asks for 7 waits, until another comes.
    s.list(false, &[DiscoveredServer { service: 8, ..server(11, 0) }]);
    let out = s.notes.out.len();
    rpc_for(&mut s, 1004, 7);
    s.pass(100 * MS);
    assert_eq!(s.notes.out.len(), out);
    s.list(false, &[DiscoveredServer { service: 7, ..server(13, 0) }]);
    s.pass(100 * MS);
    assert_eq!(s.notes.out.last().unwrap().1, 13);
    // A whole list without it: nothing more goes there.
    s.list(true, &[server(1, 0), DiscoveredServer { service: 8, ..server(12, 0) }]);
    let out = s.notes.out.len();
    rpc_for(&mut s, 1005, 7);
    s.pass(100 * MS);
    assert_eq!(s.notes.out.len(), out);
    rpc_for(&mut s, 1006, 8);
    assert_eq!(s.notes.out.last().unwrap().1, 12);
}

#[test]
fn while_no_count_call_is_free_a_refused_claim_stays_in_the_count() {
    let mut s = crowded_counter();
    s.pass(700 * MS);
    let first = s.rpc(2, 1.0);
    s.counted(0, CallOutcome::Ok, 8.0); // 2 units are left
    s.end(first, CallOutcome::Ok);
    let before = s.notes.counts.len();
    let claim = s.rpc(2, 2.4);
    while s.notes.counts.len() == before {
        s.pass(MS);
    }
    let calls = s.notes.counts.len();
    assert_eq!(s.notes.counts[calls - 1].1, 2.4, "it was asked for");
    s.counted(0, CallOutcome::Ok, 14.0);
    s.pass(SEC / 2);
    assert_eq!((s.sent(claim), s.notes.counts.len()), (0, calls), "no call is made to give it back");
}

#[test]
fn a_settled_difference_makes_no_call_of_its_own_and_goes_with_the_next() {
    let mut s = story("extra.hasCounter=true").with_servers(20);
    let first = s.rpc(2, 1.0);
    s.counted(0, CallOutcome::Ok, 1.0);
    s.settled = 1.5;
    s.end(first, CallOutcome::Ok);
    let calls = s.notes.counts.len();
    s.rpc(2, 8.0); // nearly the last units: claimed
    let told: f64 = s.notes.counts[calls..].iter().map(|count| count.1).sum();
    assert_eq!(told, 8.5, "what it really counted goes with the claim");
    s.counted(0, CallOutcome::Ok, 9.5);
    let calls = s.notes.counts.len();
    s.settled = 8.5;
    s.end(2, CallOutcome::Ok);
    s.pass(2 * SEC);
    assert_eq!(s.notes.counts.len(), calls, "half a unit more is not worth a call");
}
