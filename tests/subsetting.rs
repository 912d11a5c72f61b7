//! Subsets where there are far more gateways than endpoints or the list changes much: nobody is left out, and all gateways
//! agree.

use martenramp::subsetting::{Endpoint, Subsetter, key, subsets};
use std::collections::BTreeSet;

const SUBSET_COUNT: f64 = 18.0;

fn endpoints(count: usize, zones: u16) -> Vec<Endpoint> {
    let endpoint = |at: usize| Endpoint {
        id: at as u32,
        key: key(&format!("s{at:04}")),
        zone: at as u16 % zones,
        weight: 1.0,
        same_zone: false,
    };
    (0..count).map(endpoint).collect()
}

fn work_out(endpoints: &[Endpoint], fleet: usize) -> Vec<BTreeSet<u32>> {
    let all = subsets(endpoints, fleet, SUBSET_COUNT);
    all.into_iter().map(|subset| subset.into_iter().collect()).collect()
}

fn own(subsetter: &Subsetter) -> BTreeSet<u32> {
    subsetter.order()[..subsetter.subset_len()].iter().copied().collect()
}

/// In how many subsets each endpoint is.
fn counts(subsets: &[BTreeSet<u32>], endpoints: usize) -> Vec<usize> {
    let mut counts = vec![0; endpoints];
    subsets.iter().flatten().for_each(|id| counts[*id as usize] += 1);
    counts
}

#[test]
fn with_few_endpoints_every_gateway_has_some_and_they_share_evenly() {
    for (fleet, count) in [(2000, 8), (1000, 24), (300, 24), (5800, 24)] {
        let subsets = work_out(&endpoints(count, 3), fleet);
        let counts = counts(&subsets, count);
        let mean = counts.iter().sum::<usize>() as f64 / count as f64;
        let most = *counts.iter().max().unwrap() as f64;
        assert!(most <= 1.25 * mean, "{fleet} x {count}: {most} for {mean}");
        assert!(subsets.iter().all(|subset| !subset.is_empty()), "{fleet} x {count}");
        // With hundreds of gateways to an endpoint, each has three.
        let least = subsets.iter().map(BTreeSet::len).min().unwrap();
        assert!(fleet < 240 * count || least == 3, "{fleet} x {count}: {least}");
    }
}

#[test]
fn a_whole_list_amid_changes_gives_what_the_changes_one_by_one_give() {
    let all = endpoints(90, 3);
    let mut one_by_one = Subsetter::new(Some(5), 200, 1);
    for count in 60..=90 {
        one_by_one.set_endpoints(all[..count].to_vec(), SUBSET_COUNT);
    }
    let mut left = all.clone();
    for at in [70, 3, 41] {
        left.remove(at);
        one_by_one.set_endpoints(left.clone(), SUBSET_COUNT);
    }
    let mut at_once = Subsetter::new(Some(5), 200, 2);
    left.reverse();
    at_once.set_endpoints(left.clone(), SUBSET_COUNT);
    assert_eq!(one_by_one.order(), at_once.order());
    assert_eq!(own(&at_once), work_out(&left, 200)[5]);
}

#[test]
fn a_service_that_grows_from_two_to_two_thousand_and_empties_is_followed() {
    let all = endpoints(2000, 4);
    let mut subsetter = Subsetter::new(Some(7), 600, 1);
    for (count, least, most) in [(2, 2, 2), (2000, 50, 80), (0, 0, 0), (20, 1, 3)] {
        subsetter.set_endpoints(all[..count].to_vec(), SUBSET_COUNT);
        assert!((least..=most).contains(&subsetter.subset_len()), "{count}: {}", subsetter.subset_len());
        assert_eq!(subsetter.order().len(), count);
    }
}

#[test]
fn thousands_gone_at_once_and_back_leave_the_others_and_return_to_where_they_were() {
    let all = endpoints(1200, 4);
    let left: Vec<Endpoint> = all.iter().copied().filter(|endpoint| endpoint.zone != 2).collect();
    let (before, after) = (work_out(&all, 400), work_out(&left, 400));
    let new: usize = before.iter().zip(&after).map(|(one, two)| two.difference(one).count()).sum();
    let pairs: usize = after.iter().map(BTreeSet::len).sum();
    assert!(new as f64 <= 0.02 * pairs as f64, "{new} of {pairs}");
    let mut subsetter = Subsetter::new(Some(9), 400, 3);
    for (list, subset) in [(&all, &before[9]), (&left, &after[9]), (&all, &before[9])] {
        subsetter.set_endpoints(list.clone(), SUBSET_COUNT);
        assert_eq!(own(&subsetter), *subset);
    }
}

#[test]
fn gateways_with_different_lists_or_sizes_leave_nobody_out_and_overload_nobody() {
    let all = endpoints(120, 3);
    let (fleet, old) = (200, &all[..110]);
    // Half of the gateways hold an older list; or know a fleet of another size.
    let newer = work_out(&all, fleet);
    for other in [work_out(old, fleet), work_out(&all, 260)] {
        let mixed: Vec<BTreeSet<u32>> =
            (0..fleet).map(|at| if at % 2 == 0 { &newer[at] } else { &other[at] }).cloned().collect();
        let counts = counts(&mixed, all.len());
        let (new_ones, known) = counts.split_at(110);
        assert!(new_ones.iter().chain(known).all(|count| (4..=30).contains(count)), "{counts:?}");
    }
}

/// Nobody but what is listed can be drawn, and all of it can.
fn assert_drawn_are(subsetter: &Subsetter, listed: &BTreeSet<u32>) {
    assert_eq!(subsetter.order().iter().copied().collect::<BTreeSet<u32>>(), *listed);
    assert!(subsetter.subset_len() <= subsetter.order().len());
}

#[test]
fn changes_amid_the_work_on_a_subset_end_in_that_of_the_last_list() {
    for seed in 0..30 {
        let mut chance = fastrand::Rng::with_seed(seed);
        let (fleet, all) = (chance.usize(10..400), endpoints(chance.usize(2..200), 3));
        let mut weighed = all.clone();
        weighed.iter_mut().for_each(|endpoint| endpoint.weight = chance.f64() + 0.5);
        let number = chance.usize(..fleet);
        let mut in_steps = Subsetter::new(Some(number), fleet, 1);
        in_steps.set_endpoints(all.clone(), SUBSET_COUNT);
        let mut listed: BTreeSet<u32> = (0..all.len() as u32).collect();
        for _ in 0..60 {
            let changed = chance.u32(..all.len() as u32);
            if listed.remove(&changed) {
                in_steps.apply_change(&[changed], Vec::new(), SUBSET_COUNT);
            } else {
                listed.insert(changed);
                in_steps.apply_change(&[], vec![weighed[changed as usize]], SUBSET_COUNT);
            }
            assert_drawn_are(&in_steps, &listed);
            let mut units = chance.usize(..20_000);
            in_steps.advance(&mut units);
            assert_drawn_are(&in_steps, &listed);
        }
        // What never left has the weight that it was listed with first.
        let mut left = Vec::new();
        for id in &listed {
            in_steps.apply_change(&[], vec![weighed[*id as usize]], SUBSET_COUNT);
            left.push(weighed[*id as usize]);
        }
        in_steps.finish();
        let mut at_once = Subsetter::new(Some(number), fleet, 2);
        at_once.set_endpoints(left.clone(), SUBSET_COUNT);
        assert_eq!(in_steps.order(), at_once.order(), "seed {seed}");
        assert_eq!(own(&in_steps), work_out(&left, fleet)[number], "seed {seed}");
    }
}

/// The work that one change of a list of this length costs, and the longest step of it.
fn work_of_a_change(count: usize, fleet: usize) -> (usize, usize) {
    const STEP: usize = 50_000;
    let all = endpoints(count, 3);
    let mut subsetter = Subsetter::new(Some(5), fleet, 1);
    subsetter.set_endpoints(all, SUBSET_COUNT);
    subsetter.apply_change(&[1], Vec::new(), SUBSET_COUNT);
    let (mut work, mut longest) = (0, 0);
    while !subsetter.is_up_to_date() {
        let mut units = STEP;
        subsetter.advance(&mut units);
        work += STEP - units;
        longest = longest.max(STEP - units);
    }
    (work, longest)
}

#[test]
fn a_change_of_a_long_list_costs_a_few_looks_at_each_pair_in_bounded_steps() {
    for (count, fleet) in [(200, 300), (800, 900), (3200, 900)] {
        let (work, longest) = work_of_a_change(count, fleet);
        // 18 subsets each, four candidates for one of them, three layers of three passes, merging and planning.
        assert!(work <= 18 * 4 * 10 * count + 60_000, "{count} x {fleet}: {work}");
        assert!(longest <= 50_000, "{count} x {fleet}: {longest}");
    }
}
