//! Parts of the servers: even over the fleet, moved little by changes, the same for all who work them out; and turns.

use martenramp::subsetting::{self, Endpoint, Subsetter, key};
use std::collections::BTreeSet;

const SUBSET_COUNT: f64 = 18.0;

fn members(count: usize, zones: u16) -> Vec<Endpoint> {
    let one = |at: usize| Endpoint {
        id: at as u32,
        key: key(&format!("s{at:04}")),
        zone: at as u16 % zones,
        weight: 1.0,
        same_zone: false,
    };
    (0..count).map(one).collect()
}

fn parts(fleet: usize, members: &[Endpoint]) -> Vec<BTreeSet<u32>> {
    subsetting::subsets(members, fleet, SUBSET_COUNT)
        .into_iter()
        .map(|part| part.into_iter().collect())
        .collect()
}

fn met(parts: &[BTreeSet<u32>], members: &[Endpoint]) -> Vec<usize> {
    members.iter().map(|member| parts.iter().filter(|part| part.contains(&member.id)).count()).collect()
}

/// Pairs of the second that the first has not, as a share of the first's.
fn moved(before: &[BTreeSet<u32>], after: &[BTreeSet<u32>]) -> f64 {
    let new: usize = before.iter().zip(after).map(|(before, after)| after.difference(before).count()).sum();
    new as f64 / before.iter().map(BTreeSet::len).sum::<usize>() as f64
}

const SIZES: [(usize, usize, u16); 7] =
    [(40, 40, 2), (100, 60, 2), (300, 100, 3), (300, 200, 4), (20, 60, 1), (100, 12, 2), (60, 40, 5)];

#[test]
fn every_server_is_in_nearly_as_many_parts_and_no_part_is_small() {
    for (fleet, count, zones) in SIZES {
        let members = members(count, zones);
        let parts = parts(fleet, &members);
        let met = met(&parts, &members);
        let (least, most) = (*met.iter().min().unwrap(), *met.iter().max().unwrap());
        assert!(least as f64 * 1.25 >= most as f64, "{fleet} x {count}: in {least} to {most} parts");
        let mean = SUBSET_COUNT * count as f64 / fleet as f64;
        let smallest = parts.iter().map(BTreeSet::len).min().unwrap();
        assert!(smallest >= ((mean * 0.9) as usize).max(1), "{fleet} x {count}: a part of {smallest}");
        // Every gateway has its share of every zone where there is one for it.
        for zone in 0..zones {
            let of_zone = |part: &BTreeSet<u32>| part.iter().filter(|id| **id as u16 % zones == zone).count();
            let share = (mean / f64::from(zones) * 0.9 - 1.0).max(0.0).floor();
            let least = parts.iter().map(of_zone).min().unwrap();
            assert!(least as f64 >= share, "{fleet} x {count}: {least} of zone {zone} for {share}");
        }
    }
}

#[test]
fn a_server_that_joins_or_leaves_moves_few_pairs_and_a_restart_none() {
    for (fleet, count, zones) in SIZES {
        let members = members(count, zones);
        let whole = parts(fleet, &members);
        let (mut leaves, mut joins) = (0.0, 0.0);
        let tried = 5;
        for gone in 0..tried {
            let mut less = members.clone();
            less.remove(gone * count / tried);
            let left = parts(fleet, &less);
            leaves += moved(&whole, &left) / tried as f64;
            joins += moved(&left, &whole) / tried as f64;
        }
        let bound = 2.0 / count as f64;
        assert!(leaves <= bound && joins <= bound, "{fleet} x {count}: {leaves} {joins} over {bound}");
        // Each gateway works the same out for itself, from a list in another order and after a restart (another salt).
        for (number, salt) in [(0, 1), (0, 999), (fleet - 1, 5)] {
            let mut list = members.clone();
            list.rotate_left(number % count + 1);
            let mut own = Subsetter::new(Some(number), fleet, salt);
            own.set_endpoints(list, SUBSET_COUNT);
            assert_eq!(own.order().len(), count);
            assert_eq!(
                own.order()[..own.subset_len()].iter().copied().collect::<BTreeSet<_>>(),
                whole[number]
            );
        }
    }
}

#[test]
fn a_zone_that_goes_moves_nothing_in_the_others() {
    let all = members(60, 3);
    let left: Vec<Endpoint> = all.iter().copied().filter(|member| member.zone != 1).collect();
    let (before, after) = (parts(100, &all), parts(100, &left));
    // What is new is only what fills up parts that the zone left too small.
    assert!(moved(&before, &after) <= 0.02, "{}", moved(&before, &after));
}

#[test]
fn weights_tell_how_many_parts_and_what_turns_cost() {
    let mut members = members(40, 2);
    for (at, member) in members.iter_mut().enumerate() {
        member.weight = [0.1, 0.5, 1.0, 2.0, 10.0][at % 5];
    }
    let parts = parts(100, &members);
    let met = met(&parts, &members);
    let mean = members.iter().map(|member| member.weight).sum::<f64>() / 40.0;
    for (member, met) in members.iter().zip(met) {
        let want = (SUBSET_COUNT * member.weight / mean).round().max(1.0);
        assert!(met as f64 >= want && met as f64 <= (want * 1.2).max(want + 1.0), "{met} for {want}");
    }
    // Few gateways: a heavy server is in all parts and its turns come more often there.
    let mut spread = Subsetter::new(Some(0), 20, 1);
    spread.set_endpoints(members.clone(), SUBSET_COUNT);
    let own: Vec<u32> = spread.order()[..spread.subset_len()].to_vec();
    let sent = send(&mut spread, &own, 2000, |_| 1.0);
    let each = |kind: u32| {
        let of: Vec<usize> = own.iter().filter(|id| **id % 5 == kind).map(|id| sent[*id as usize]).collect();
        of.iter().sum::<usize>() / of.len()
    };
    assert!(each(4) > 2 * each(3), "{sent:?}");
}

/// So many RPCs, each to one of three drawn at random, by what each bears: how many went to each server.
fn send(spread: &mut Subsetter, own: &[u32], count: usize, bears: impl Fn(u32) -> f64) -> Vec<usize> {
    let mut chance = fastrand::Rng::with_seed(3);
    let mut sent = vec![0; 60];
    for _ in 0..count {
        let three = chance.choose_multiple(own.iter().copied(), 3);
        let id = spread.pick(&three.iter().map(|id| (*id, bears(*id))).collect::<Vec<_>>()).unwrap();
        spread.record_sent(id);
        sent[id as usize] += 1;
    }
    sent
}

#[test]
fn turns_come_out_nearly_even_pass_over_the_worst_and_are_not_caught_up_with() {
    let mut spread = Subsetter::new(Some(3), 60, 5);
    spread.set_endpoints(members(60, 2), SUBSET_COUNT);
    let own: Vec<u32> = spread.order()[..spread.subset_len()].to_vec();
    // What they bear differs, as a few samples make it seem: all have had nearly as many turns.
    let sent = send(&mut spread, &own, own.len() * 20, |id| 1.0 + f64::from(id * 7 % 10) / 11.0);
    assert!(own.iter().all(|id| (15..=25).contains(&sent[*id as usize])), "{sent:?}");
    // One bears far more for a while: it gets nothing, and afterwards its turns like anybody's, and a few at most.
    let worst = own[2];
    let sent = send(&mut spread, &own, own.len() * 10, |id| if id == worst { 2.5 } else { 1.0 });
    assert_eq!(sent[worst as usize], 0);
    let sent = send(&mut spread, &own, own.len() * 4, |_| 1.0);
    assert!((3..=8).contains(&sent[worst as usize]), "{sent:?}");
}

/// A fleet of which each gateway sends one RPC in each round: how many went to each server.
fn rounds(fleet: &mut [Subsetter], chance: &mut fastrand::Rng, count: usize) -> Vec<usize> {
    let mut sent = vec![0; 60];
    for _ in 0..count {
        for spread in fleet.iter_mut() {
            let part = &spread.order()[..spread.subset_len()];
            let shared = spread.shared().iter().filter(|id| !part.contains(id));
            let three = chance.choose_multiple(part.iter().chain(shared).copied(), 3);
            let id = spread.pick(&three.iter().map(|id| (*id, 1.0)).collect::<Vec<_>>()).unwrap();
            spread.record_sent(id);
            sent[id as usize] += 1;
        }
    }
    sent
}

#[test]
fn what_is_new_gets_what_others_get_though_the_whole_fleet_draws_from_it() {
    let mut chance = fastrand::Rng::with_seed(8);
    let mut fleet: Vec<Subsetter> =
        (0..100).map(|number| Subsetter::new(Some(number), 100, number as u64)).collect();
    fleet.iter_mut().for_each(|spread| spread.set_endpoints(members(50, 2), SUBSET_COUNT));
    rounds(&mut fleet, &mut chance, 30);
    // Ten more come, cold. Were all owed even one turn by each gateway, they would have five times the mean; they get
    // under twice of it at first, though no cold budget holds them back here, and the mean in the long run.
    let new: Vec<u32> = (50..60).collect();
    for spread in &mut fleet {
        spread.set_endpoints(members(60, 2), SUBSET_COUNT);
        spread.set_shared(new.clone());
    }
    let each = |sent: &[usize], from: usize, to: usize| {
        sent[from..to].iter().sum::<usize>() as f64 / (to - from) as f64
    };
    for (count, least, most) in [(6, 0.6, 2.0), (30, 0.6, 2.0), (300, 0.85, 1.15)] {
        let sent = rounds(&mut fleet, &mut chance, count);
        let over = each(&sent, 50, 60) / each(&sent, 0, 60);
        assert!(over > least && over < most, "in {count} rounds {over} of the mean: {sent:?}");
    }
    // Warm, they are left to those in whose part they are, who neither owe them turns nor hold back for long.
    fleet.iter_mut().for_each(|spread| spread.set_shared(Vec::new()));
    for (count, least, most) in [(6, 0.1, 1.4), (30, 0.6, 1.2), (100, 0.85, 1.15)] {
        let sent = rounds(&mut fleet, &mut chance, count);
        let over = each(&sent, 50, 60) / each(&sent, 0, 60);
        assert!(over > least && over < most, "in {count} rounds {over} of the mean: {sent:?}");
    }
}

#[test]
fn a_turn_that_could_not_be_taken_is_lost() {
    let mut chance = fastrand::Rng::with_seed(4);
    let mut fleet: Vec<Subsetter> =
        (0..100).map(|number| Subsetter::new(Some(number), 100, number as u64)).collect();
    fleet.iter_mut().for_each(|spread| spread.set_endpoints(members(60, 2), SUBSET_COUNT));
    rounds(&mut fleet, &mut chance, 30);
    // One is bad for long, drawn and passed over: once it is well the fleet sends it no more than the others.
    let mut sent = vec![0; 60];
    for round in 0..40 {
        for spread in &mut fleet {
            let part: Vec<u32> = spread.order()[..spread.subset_len()].to_vec();
            let mut three = chance.choose_multiple(part.iter().copied(), 3);
            if round < 30 && three.contains(&7) {
                spread.skip_turn(7);
                three.retain(|id| *id != 7);
            }
            let id = spread.pick(&three.iter().map(|id| (*id, 1.0)).collect::<Vec<_>>()).unwrap();
            spread.record_sent(id);
            sent[id as usize] += usize::from(round >= 30);
        }
    }
    let mean = sent.iter().sum::<usize>() as f64 / 60.0;
    assert!(sent[7] as f64 > 0.5 * mean && (sent[7] as f64) < 1.5 * mean, "{} for {mean}", sent[7]);
}

#[test]
fn what_is_told_wrong_harms_only_a_little() {
    // A number beyond the fleet counts as the fleet's last; a list of nothing, or of one, is taken as it is.
    let mut spread = Subsetter::new(Some(9), 4, 1);
    spread.set_endpoints(Vec::new(), SUBSET_COUNT);
    assert_eq!((spread.order().len(), spread.subset_len(), spread.pick(&[])), (0, 0, None));
    let mut odd = members(1, 1);
    odd[0].weight = f64::NAN;
    spread.set_endpoints(odd, SUBSET_COUNT);
    assert_eq!((spread.order(), spread.subset_len()), (&[0][..], 1));
    // Two with one number: each server is in at most one part more.
    let members = members(60, 2);
    let whole = parts(100, &members);
    let mut twice = whole.clone();
    twice[4] = whole[3].clone();
    let (met, wrong) = (met(&whole, &members), met(&twice, &members));
    assert!(met.iter().zip(&wrong).all(|(met, wrong)| met.abs_diff(*wrong) <= 1));
    // Without a number a part of the mean size is drawn by the life's salt.
    let mut without = Subsetter::new(None, 100, 8);
    without.set_endpoints(members.clone(), SUBSET_COUNT);
    assert_eq!(without.subset_len(), 11);
    // A few gateways draw from all.
    let mut few = Subsetter::new(Some(1), 4, 8);
    few.set_endpoints(members, SUBSET_COUNT);
    assert_eq!(few.subset_len(), 60);
}
