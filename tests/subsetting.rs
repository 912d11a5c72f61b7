//! Subsets of services with far fewer endpoints than gateways, and of lists that change a lot: every gateway has
//! endpoints, and all gateways agree.

use martenramp::subsetting::{Endpoint, Subsetter, key, subsets};
use std::collections::BTreeSet;

const SUBSET_COUNT: f64 = 18.0;

fn endpoints(count: usize, zones: u16) -> Vec<Endpoint> {
    let endpoint = |index: usize| Endpoint {
        id: index as u32,
        key: key(&format!("s{index:04}")),
        zone: index as u16 % zones,
        weight: 1.0,
        same_zone: false,
    };
    (0..count).map(endpoint).collect()
}

fn all_subsets(endpoints: &[Endpoint], fleet: usize) -> Vec<BTreeSet<u32>> {
    let all = subsets(endpoints, fleet, SUBSET_COUNT);
    all.into_iter().map(|subset| subset.into_iter().collect()).collect()
}

fn subset_of(subsetter: &Subsetter) -> BTreeSet<u32> {
    subsetter.order()[..subsetter.subset_len()].iter().copied().collect()
}

/// The number of subsets that each endpoint is in.
fn counts(subsets: &[BTreeSet<u32>], endpoints: usize) -> Vec<usize> {
    let mut counts = vec![0; endpoints];
    subsets.iter().flatten().for_each(|id| counts[*id as usize] += 1);
    counts
}

#[test]
fn with_few_endpoints_every_gateway_has_some_and_the_counts_are_even() {
    for (fleet, count) in [(2000, 8), (1000, 24), (300, 24), (5800, 24)] {
        let subsets = all_subsets(&endpoints(count, 3), fleet);
        let counts = counts(&subsets, count);
        let mean = counts.iter().sum::<usize>() as f64 / count as f64;
        let most = *counts.iter().max().unwrap() as f64;
        assert!(most <= 1.25 * mean, "{fleet} x {count}: at most {most}, mean {mean}");
        assert!(subsets.iter().all(|subset| !subset.is_empty()), "{fleet} x {count}");
        // With hundreds of gateways per endpoint, each gateway has three endpoints.
        let least = subsets.iter().map(BTreeSet::len).min().unwrap();
        assert!(fleet < 240 * count || least == 3, "{fleet} x {count}: {least}");
    }
}

#[test]
fn a_whole_list_gives_the_same_subset_as_its_changes_one_by_one() {
    let all = endpoints(90, 3);
    let mut incremental = Subsetter::new(Some(5), 200, 1);
    for count in 60..=90 {
        incremental.set_endpoints(all[..count].to_vec(), SUBSET_COUNT);
    }
    let mut remaining = all.clone();
    for index in [70, 3, 41] {
        remaining.remove(index);
        incremental.set_endpoints(remaining.clone(), SUBSET_COUNT);
    }
    let mut at_once = Subsetter::new(Some(5), 200, 2);
    remaining.reverse();
    at_once.set_endpoints(remaining.clone(), SUBSET_COUNT);
    assert_eq!(incremental.order(), at_once.order());
    assert_eq!(subset_of(&at_once), all_subsets(&remaining, 200)[5]);
}

#[test]
fn the_subset_length_follows_a_service_that_grows_and_empties() {
    let all = endpoints(2000, 4);
    let mut subsetter = Subsetter::new(Some(7), 600, 1);
    for (count, least, most) in [(2, 2, 2), (2000, 50, 80), (0, 0, 0), (20, 1, 3)] {
        subsetter.set_endpoints(all[..count].to_vec(), SUBSET_COUNT);
        assert!((least..=most).contains(&subsetter.subset_len()), "{count}: {}", subsetter.subset_len());
        assert_eq!(subsetter.order().len(), count);
    }
}

#[test]
fn removing_and_restoring_a_zone_keeps_the_other_pairs_and_restores_the_subset() {
    let all = endpoints(1200, 4);
    let remaining: Vec<Endpoint> = all.iter().copied().filter(|endpoint| endpoint.zone != 2).collect();
    let (before, after) = (all_subsets(&all, 400), all_subsets(&remaining, 400));
    let new: usize = before.iter().zip(&after).map(|(before, after)| after.difference(before).count()).sum();
    let pairs: usize = after.iter().map(BTreeSet::len).sum();
    assert!(new as f64 <= 0.02 * pairs as f64, "{new} of {pairs} pairs are new");
    let mut subsetter = Subsetter::new(Some(9), 400, 3);
    for (list, subset) in [(&all, &before[9]), (&remaining, &after[9]), (&all, &before[9])] {
        subsetter.set_endpoints(list.clone(), SUBSET_COUNT);
        assert_eq!(subset_of(&subsetter), *subset);
    }
}

#[test]
fn different_lists_or_fleet_sizes_leave_no_endpoint_out_and_overload_none() {
    let all = endpoints(120, 3);
    let (fleet, old) = (200, &all[..110]);
    // Half of the gateways have an older list, or are configured with another fleet size.
    let current = all_subsets(&all, fleet);
    for other in [all_subsets(old, fleet), all_subsets(&all, 260)] {
        let mixed: Vec<BTreeSet<u32>> = (0..fleet)
            .map(|gateway| if gateway % 2 == 0 { &current[gateway] } else { &other[gateway] })
            .cloned()
            .collect();
        let counts = counts(&mixed, all.len());
        let (known, added) = counts.split_at(110);
        assert!(known.iter().chain(added).all(|count| (4..=30).contains(count)), "{counts:?}");
    }
}

/// Asserts that exactly the listed endpoints can be drawn.
fn assert_drawable(subsetter: &Subsetter, listed: &BTreeSet<u32>) {
    assert_eq!(subsetter.order().iter().copied().collect::<BTreeSet<u32>>(), *listed);
    assert!(subsetter.subset_len() <= subsetter.order().len());
}

#[test]
fn changes_during_the_computation_end_in_the_subset_of_the_last_list() {
    for seed in 0..30 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (fleet, all) = (rng.usize(10..400), endpoints(rng.usize(2..200), 3));
        let mut weighted = all.clone();
        weighted.iter_mut().for_each(|endpoint| endpoint.weight = rng.f64() + 0.5);
        let number = rng.usize(..fleet);
        let mut in_steps = Subsetter::new(Some(number), fleet, 1);
        in_steps.set_endpoints(all.clone(), SUBSET_COUNT);
        let mut listed: BTreeSet<u32> = (0..all.len() as u32).collect();
        for _ in 0..60 {
            let changed = rng.u32(..all.len() as u32);
            if listed.remove(&changed) {
                in_steps.apply_change(&[changed], Vec::new(), SUBSET_COUNT);
            } else {
                listed.insert(changed);
                in_steps.apply_change(&[], vec![weighted[changed as usize]], SUBSET_COUNT);
            }
            assert_drawable(&in_steps, &listed);
            let mut units = rng.usize(..20_000);
            in_steps.advance(&mut units);
            assert_drawable(&in_steps, &listed);
        }
        // Endpoints that were never removed still have the weight of the first list; give all of them the new weights.
        let mut last_list = Vec::new();
        for id in &listed {
            in_steps.apply_change(&[], vec![weighted[*id as usize]], SUBSET_COUNT);
            last_list.push(weighted[*id as usize]);
        }
        in_steps.finish();
        let mut at_once = Subsetter::new(Some(number), fleet, 2);
        at_once.set_endpoints(last_list.clone(), SUBSET_COUNT);
        assert_eq!(in_steps.order(), at_once.order(), "seed {seed}");
        assert_eq!(subset_of(&in_steps), all_subsets(&last_list, fleet)[number], "seed {seed}");
    }
}

/// The work units that one change of a list of `count` endpoints takes, in total and in the longest step.
fn units_of_a_change(count: usize, fleet: usize) -> (usize, usize) {
    const STEP_UNITS: usize = 50_000;
    let all = endpoints(count, 3);
    let mut subsetter = Subsetter::new(Some(5), fleet, 1);
    subsetter.set_endpoints(all, SUBSET_COUNT);
    subsetter.apply_change(&[1], Vec::new(), SUBSET_COUNT);
    let (mut total, mut longest) = (0, 0);
    while !subsetter.is_up_to_date() {
        let mut units = STEP_UNITS;
        subsetter.advance(&mut units);
        total += STEP_UNITS - units;
        longest = longest.max(STEP_UNITS - units);
    }
    (total, longest)
}

#[test]
fn a_change_of_a_long_list_examines_each_pair_a_few_times_in_bounded_steps() {
    for (count, fleet) in [(200, 300), (800, 900), (3200, 900)] {
        let (total, longest) = units_of_a_change(count, fleet);
        // 18 subsets per endpoint, four candidates per subset, three layers of three passes, merging and planning.
        assert!(total <= 18 * 4 * 10 * count + 60_000, "{count} x {fleet}: {total}");
        assert!(longest <= 50_000, "{count} x {fleet}: {longest}");
    }
}

/// Weights that differ by this factor between two halves of a list, or of one endpoint to all others.
const EXTREME_WEIGHTS: [(f64, f64); 5] =
    [(1e-9, 1e9), (1.0, 1e9), (1e-9, 1.0), (0.1, 10.0), (1e300, f64::MAX)];

/// Guards against a list whose weights make the order, and with it the process, take all memory.
#[test]
fn the_order_is_in_proportion_to_the_endpoints_whatever_their_weights() {
    const COUNT: usize = 3200;
    const MOST_ENTRIES_PER_ENDPOINT: usize = 20;
    for (light, heavy) in EXTREME_WEIGHTS {
        for heavy_count in [1, COUNT / 2, COUNT - 1] {
            for fleet in [1, 20, 900] {
                let mut list = endpoints(COUNT, 3);
                for (index, endpoint) in list.iter_mut().enumerate() {
                    endpoint.weight = if index < heavy_count { heavy } else { light };
                }
                let mut subsetter = Subsetter::new(Some(0), fleet, 1);
                subsetter.set_endpoints(list, SUBSET_COUNT);
                let order = subsetter.order();
                let listed: BTreeSet<u32> = order.iter().copied().collect();
                assert_eq!(listed.len(), COUNT, "each endpoint is in the order");
                assert!(
                    order.len() <= MOST_ENTRIES_PER_ENDPOINT * COUNT,
                    "{heavy_count} of weight {heavy}, the others {light}, {fleet} gateways: {} entries",
                    order.len()
                );
            }
        }
    }
}
