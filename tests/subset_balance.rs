//! Subsets: even over the fleet, stable under changes and the same at every gateway; and the scheduling within a subset.

use martenramp::subsetting::{self, Endpoint, Subsetter, key};
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

fn subsets(fleet: usize, endpoints: &[Endpoint]) -> Vec<BTreeSet<u32>> {
    subsetting::subsets(endpoints, fleet, SUBSET_COUNT)
        .into_iter()
        .map(|subset| subset.into_iter().collect())
        .collect()
}

/// The number of subsets that each endpoint is in.
fn counts(subsets: &[BTreeSet<u32>], endpoints: &[Endpoint]) -> Vec<usize> {
    endpoints
        .iter()
        .map(|endpoint| subsets.iter().filter(|subset| subset.contains(&endpoint.id)).count())
        .collect()
}

/// The pairs of `after` that are not in `before`, as a share of the pairs of `before`.
fn moved_share(before: &[BTreeSet<u32>], after: &[BTreeSet<u32>]) -> f64 {
    let new: usize = before.iter().zip(after).map(|(before, after)| after.difference(before).count()).sum();
    new as f64 / before.iter().map(BTreeSet::len).sum::<usize>() as f64
}

const SIZES: [(usize, usize, u16); 7] =
    [(40, 40, 2), (100, 60, 2), (300, 100, 3), (300, 200, 4), (20, 60, 1), (100, 12, 2), (60, 40, 5)];

#[test]
fn all_endpoints_are_in_nearly_the_same_number_of_subsets_and_no_subset_is_small() {
    for (fleet, count, zones) in SIZES {
        let endpoints = endpoints(count, zones);
        let subsets = subsets(fleet, &endpoints);
        let counts = counts(&subsets, &endpoints);
        let (least, most) = (*counts.iter().min().unwrap(), *counts.iter().max().unwrap());
        assert!(least as f64 * 1.25 >= most as f64, "{fleet} x {count}: in {least} to {most} subsets");
        let mean = SUBSET_COUNT * count as f64 / fleet as f64;
        let smallest = subsets.iter().map(BTreeSet::len).min().unwrap();
        assert!(smallest >= ((mean * 0.9) as usize).max(1), "{fleet} x {count}: a subset of {smallest}");
        // Every gateway has its share of the endpoints of every zone, if that is at least one.
        for zone in 0..zones {
            let in_zone =
                |subset: &BTreeSet<u32>| subset.iter().filter(|id| **id as u16 % zones == zone).count();
            let expected = (mean / f64::from(zones) * 0.9 - 1.0).max(0.0).floor();
            let least = subsets.iter().map(in_zone).min().unwrap();
            assert!(
                least as f64 >= expected,
                "{fleet} x {count}: {least} of zone {zone}, expected {expected}"
            );
        }
    }
}

#[test]
fn an_endpoint_that_joins_or_leaves_moves_few_pairs_and_a_restart_none() {
    for (fleet, count, zones) in SIZES {
        let endpoints = endpoints(count, zones);
        let all_subsets = subsets(fleet, &endpoints);
        let (mut leave_share, mut join_share) = (0.0, 0.0);
        let trials = 5;
        for trial in 0..trials {
            let mut fewer = endpoints.clone();
            fewer.remove(trial * count / trials);
            let without = subsets(fleet, &fewer);
            leave_share += moved_share(&all_subsets, &without) / trials as f64;
            join_share += moved_share(&without, &all_subsets) / trials as f64;
        }
        let bound = 2.0 / count as f64;
        assert!(
            leave_share <= bound && join_share <= bound,
            "{fleet} x {count}: {leave_share} {join_share} over {bound}"
        );
        // Each gateway computes the same subset by itself, from a list in another order and after a restart (another salt).
        for (number, salt) in [(0, 1), (0, 999), (fleet - 1, 5)] {
            let mut list = endpoints.clone();
            list.rotate_left(number % count + 1);
            let mut subsetter = Subsetter::new(Some(number), fleet, salt);
            subsetter.set_endpoints(list, SUBSET_COUNT);
            assert_eq!(subsetter.order().len(), count);
            assert_eq!(
                subsetter.order()[..subsetter.subset_len()].iter().copied().collect::<BTreeSet<_>>(),
                all_subsets[number]
            );
        }
    }
}

#[test]
fn losing_a_zone_moves_nothing_in_the_other_zones() {
    let all = endpoints(60, 3);
    let remaining: Vec<Endpoint> = all.iter().copied().filter(|endpoint| endpoint.zone != 1).collect();
    let (before, after) = (subsets(100, &all), subsets(100, &remaining));
    // The only new pairs fill up subsets that became too small without the zone.
    assert!(moved_share(&before, &after) <= 0.02, "{}", moved_share(&before, &after));
}

#[test]
fn weights_determine_the_number_of_subsets_and_the_strides() {
    let mut endpoints = endpoints(40, 2);
    for (index, endpoint) in endpoints.iter_mut().enumerate() {
        endpoint.weight = [0.1, 0.5, 1.0, 2.0, 10.0][index % 5];
    }
    let subsets = subsets(100, &endpoints);
    let counts = counts(&subsets, &endpoints);
    let mean = endpoints.iter().map(|endpoint| endpoint.weight).sum::<f64>() / 40.0;
    for (endpoint, count) in endpoints.iter().zip(counts) {
        let expected = (SUBSET_COUNT * endpoint.weight / mean).round().max(1.0);
        assert!(
            count as f64 >= expected && count as f64 <= (expected * 1.2).max(expected + 1.0),
            "{count} subsets, expected {expected}"
        );
    }
    // With few gateways a heavy endpoint is in all subsets, and is sent more RPCs in each of them.
    let mut subsetter = Subsetter::new(Some(0), 20, 1);
    subsetter.set_endpoints(endpoints.clone(), SUBSET_COUNT);
    let subset: Vec<u32> = subsetter.order()[..subsetter.subset_len()].to_vec();
    let sent = send(&mut subsetter, &subset, 2000, |_| 1.0);
    let mean_sent = |kind: u32| {
        let of_kind: Vec<usize> =
            subset.iter().filter(|id| **id % 5 == kind).map(|id| sent[*id as usize]).collect();
        of_kind.iter().sum::<usize>() / of_kind.len()
    };
    assert!(mean_sent(4) > 2 * mean_sent(3), "{sent:?}");
}

/// Sends `count` RPCs, each to one of three endpoints drawn at random, and returns the number sent to each endpoint.
fn send(subsetter: &mut Subsetter, subset: &[u32], count: usize, load: impl Fn(u32) -> f64) -> Vec<usize> {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut sent = vec![0; 60];
    for _ in 0..count {
        let candidates = rng.choose_multiple(subset.iter().copied(), 3);
        let id = subsetter.pick(&candidates.iter().map(|id| (*id, load(*id))).collect::<Vec<_>>()).unwrap();
        subsetter.record_sent(id);
        sent[id as usize] += 1;
    }
    sent
}

#[test]
fn rpcs_are_spread_nearly_evenly_skip_the_most_loaded_and_are_not_caught_up() {
    let mut subsetter = Subsetter::new(Some(3), 60, 5);
    subsetter.set_endpoints(endpoints(60, 2), SUBSET_COUNT);
    let subset: Vec<u32> = subsetter.order()[..subsetter.subset_len()].to_vec();
    // The loads differ a little, as loads estimated from a few samples do: all still get nearly the same number of RPCs.
    let sent = send(&mut subsetter, &subset, subset.len() * 20, |id| 1.0 + f64::from(id * 7 % 10) / 11.0);
    assert!(subset.iter().all(|id| (15..=25).contains(&sent[*id as usize])), "{sent:?}");
    // One endpoint has a far higher load for a while: it gets no RPCs then, and afterwards only a little more than its
    // share.
    let worst = subset[2];
    let sent = send(&mut subsetter, &subset, subset.len() * 10, |id| if id == worst { 2.5 } else { 1.0 });
    assert_eq!(sent[worst as usize], 0);
    let sent = send(&mut subsetter, &subset, subset.len() * 4, |_| 1.0);
    assert!((3..=8).contains(&sent[worst as usize]), "{sent:?}");
}

/// Every gateway of the fleet sends one RPC in each of `count` rounds; returns the number sent to each endpoint.
fn send_rounds(fleet: &mut [Subsetter], rng: &mut fastrand::Rng, count: usize) -> Vec<usize> {
    let mut sent = vec![0; 60];
    for _ in 0..count {
        for subsetter in fleet.iter_mut() {
            let subset = &subsetter.order()[..subsetter.subset_len()];
            let shared = subsetter.shared().iter().filter(|id| !subset.contains(id));
            let candidates = rng.choose_multiple(subset.iter().chain(shared).copied(), 3);
            let id = subsetter.pick(&candidates.iter().map(|id| (*id, 1.0)).collect::<Vec<_>>()).unwrap();
            subsetter.record_sent(id);
            sent[id as usize] += 1;
        }
    }
    sent
}

#[test]
fn new_endpoints_get_their_share_though_the_whole_fleet_draws_from_them() {
    let mut rng = fastrand::Rng::with_seed(8);
    let mut fleet: Vec<Subsetter> =
        (0..100).map(|number| Subsetter::new(Some(number), 100, number as u64)).collect();
    fleet.iter_mut().for_each(|subsetter| subsetter.set_endpoints(endpoints(50, 2), SUBSET_COUNT));
    send_rounds(&mut fleet, &mut rng, 30);
    // Ten cold endpoints are added. If every gateway owed each of them even one RPC, they would get five times the
    // mean. They get less than twice the mean at first, although no cold budget limits them here, and the mean in the
    // long run.
    let added: Vec<u32> = (50..60).collect();
    for subsetter in &mut fleet {
        subsetter.set_endpoints(endpoints(60, 2), SUBSET_COUNT);
        subsetter.set_shared(added.clone());
    }
    let mean_sent = |sent: &[usize], from: usize, to: usize| {
        sent[from..to].iter().sum::<usize>() as f64 / (to - from) as f64
    };
    for (count, least, most) in [(6, 0.6, 2.0), (30, 0.6, 2.0), (300, 0.85, 1.15)] {
        let sent = send_rounds(&mut fleet, &mut rng, count);
        let ratio = mean_sent(&sent, 50, 60) / mean_sent(&sent, 0, 60);
        assert!(ratio > least && ratio < most, "in {count} rounds {ratio} of the mean: {sent:?}");
    }
    // Once warm, only the gateways that have them in their subset send to them: without catching up and without a long
    // pause.
    fleet.iter_mut().for_each(|subsetter| subsetter.set_shared(Vec::new()));
    for (count, least, most) in [(6, 0.1, 1.4), (30, 0.6, 1.2), (100, 0.85, 1.15)] {
        let sent = send_rounds(&mut fleet, &mut rng, count);
        let ratio = mean_sent(&sent, 50, 60) / mean_sent(&sent, 0, 60);
        assert!(ratio > least && ratio < most, "in {count} rounds {ratio} of the mean: {sent:?}");
    }
}

#[test]
fn a_skipped_turn_is_not_made_up_for() {
    let mut rng = fastrand::Rng::with_seed(4);
    let mut fleet: Vec<Subsetter> =
        (0..100).map(|number| Subsetter::new(Some(number), 100, number as u64)).collect();
    fleet.iter_mut().for_each(|subsetter| subsetter.set_endpoints(endpoints(60, 2), SUBSET_COUNT));
    send_rounds(&mut fleet, &mut rng, 30);
    // An endpoint fails for a while and is skipped whenever it is drawn. Once it recovers the fleet sends it no more
    // than others.
    let mut sent = vec![0; 60];
    for round in 0..40 {
        for subsetter in &mut fleet {
            let subset: Vec<u32> = subsetter.order()[..subsetter.subset_len()].to_vec();
            let mut candidates = rng.choose_multiple(subset.iter().copied(), 3);
            if round < 30 && candidates.contains(&7) {
                subsetter.skip_turn(7);
                candidates.retain(|id| *id != 7);
            }
            let id = subsetter.pick(&candidates.iter().map(|id| (*id, 1.0)).collect::<Vec<_>>()).unwrap();
            subsetter.record_sent(id);
            sent[id as usize] += usize::from(round >= 30);
        }
    }
    let mean = sent.iter().sum::<usize>() as f64 / 60.0;
    assert!(sent[7] as f64 > 0.5 * mean && (sent[7] as f64) < 1.5 * mean, "{}, mean {mean}", sent[7]);
}

#[test]
fn wrong_settings_do_little_harm() {
    // A number beyond the fleet enlarges the fleet; an empty list and a list of one endpoint are used as they are.
    let mut subsetter = Subsetter::new(Some(9), 4, 1);
    subsetter.set_endpoints(Vec::new(), SUBSET_COUNT);
    assert_eq!((subsetter.order().len(), subsetter.subset_len(), subsetter.pick(&[])), (0, 0, None));
    let mut invalid = endpoints(1, 1);
    invalid[0].weight = f64::NAN;
    subsetter.set_endpoints(invalid, SUBSET_COUNT);
    assert_eq!((subsetter.order(), subsetter.subset_len()), (&[0][..], 1));
    // If two gateways have the same number, the count of each endpoint changes by at most 1.
    let endpoints = endpoints(60, 2);
    let all_subsets = subsets(100, &endpoints);
    let mut duplicated = all_subsets.clone();
    duplicated[4] = all_subsets[3].clone();
    let (counts, duplicated_counts) = (counts(&all_subsets, &endpoints), counts(&duplicated, &endpoints));
    assert!(
        counts.iter().zip(&duplicated_counts).all(|(count, duplicated)| count.abs_diff(*duplicated) <= 1)
    );
    // Without a number, a subset of the mean length is drawn by the salt of the incarnation.
    let mut unnumbered = Subsetter::new(None, 100, 8);
    unnumbered.set_endpoints(endpoints.clone(), SUBSET_COUNT);
    assert_eq!(unnumbered.subset_len(), 11);
    // With few gateways, each draws from all endpoints.
    let mut small_fleet = Subsetter::new(Some(1), 4, 8);
    small_fleet.set_endpoints(endpoints, SUBSET_COUNT);
    assert_eq!(small_fleet.subset_len(), 60);
}
