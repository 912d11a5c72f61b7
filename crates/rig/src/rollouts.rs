//! Rollouts of settings with versions over many real processes, with faults between them, and from the gateways' own
//! records the time during which any two of them acted on settings that contradict each other.

mod contradictions;
mod fleet;

pub use fleet::Fleet;

use crate::{Nanos, Stream, chance};
use rand::Rng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use standins::relay::Path as Way;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// What is told to the whole fleet.
#[derive(Clone, Debug)]
pub struct Plan {
    pub gateways: usize,
    /// Seconds.
    pub lease: f64,
    pub clock: f64,
    pub seed: u64,
    /// Each gateway's clock is off by up to so much, drawn by the seed.
    pub skew_ms: u64,
}

/// What a gateway said that it acts on, from a time on.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    pub at: Nanos,
    pub version: u64,
    pub digest: String,
    /// The version itself, or only its ground.
    pub whole: bool,
    pub why: String,
}

/// Unix time, as the gateways' records have it.
pub fn unix() -> Nanos {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as Nanos)
}

/// The faults that rollouts are played under, one of them each time by turns.
pub const TROUBLES: [&str; 8] =
    ["none", "third-never", "halves-cut", "one-way", "paused", "killed-older", "noise", "voters-killed"];

/// Plays rollouts and shows what came of them, by the fault they were played under.
pub fn run(plan: &Plan, count: usize, program: &Path) -> Result<String, String> {
    let mut fleet = Fleet::start(plan.clone(), program)?;
    let played = play(&mut fleet, count)?;
    let mut shown = format!(
        "{} gateways, {count} rollouts, lease {} s, bound {} ms, clocks off by up to {} ms\n{:14} rollouts | contradicted ms p50, p99, max | gateway-seconds on ground, mean | settled ms p50, max\n",
        plan.gateways,
        plan.lease,
        2000.0 * plan.clock,
        plan.skew_ms,
        "fault"
    );
    for trouble in TROUBLES.iter().copied().chain(["all"]) {
        let of: Vec<&Played> =
            played.iter().filter(|one| one.trouble == trouble || trouble == "all").collect();
        let sorted = |value: fn(&Played) -> Nanos| {
            let mut some: Vec<f64> = of.iter().map(|one| value(one) as f64 / 1e6).collect();
            some.sort_by(f64::total_cmp);
            some
        };
        let at = |some: &[f64], share: f64| {
            let place = ((some.len() as f64 * share).ceil() as usize).clamp(1, some.len().max(1)) - 1;
            some.get(place).copied().unwrap_or(0.0)
        };
        let (both, settled) = (sorted(|one| one.contradicted), sorted(|one| one.settled));
        let ground = of.iter().map(|one| one.ground_seconds).sum::<f64>() / of.len().max(1) as f64;
        shown += &format!(
            "{trouble:14} {:8} | {:.1}, {:.1}, {:.1} | {ground:.2} | {:.0}, {:.0}\n",
            of.len(),
            at(&both, 0.5),
            at(&both, 0.99),
            at(&both, 1.0),
            at(&settled, 0.5),
            at(&settled, 1.0)
        );
    }
    let seconds = fleet.age() as f64 / 1e9;
    shown += &format!(
        "{:.1} datagrams a second in all, over {seconds:.0} s\n",
        fleet.datagrams() as f64 / seconds
    );
    Ok(shown)
}

/// A rollout and what it did.
#[derive(Clone, Debug)]
pub struct Played {
    pub trouble: &'static str,
    /// The longest that two gateways contradicted each other, and how long gateways were on a ground (summed).
    pub contradicted: Nanos,
    pub ground_seconds: f64,
    /// From the start time until every gateway acted on the new version, after the faults were over.
    pub settled: Nanos,
}

/// Plays so many rollouts one after another, each under a fault drawn by turns; every fault is over before the next.
pub fn play(fleet: &mut Fleet, count: usize) -> Result<Vec<Played>, String> {
    let mut draws = chance(fleet.plan.seed, Stream::Script);
    let all: Vec<usize> = (0..fleet.count()).collect();
    let lease = (fleet.plan.lease * 1e9) as Nanos;
    let (mut played, mut last_start) = (Vec::new(), 0);
    for at in 0..count {
        let (version, trouble) = (at as u64 + 2, TROUBLES[at % TROUBLES.len()]);
        let began = unix();
        let start = began + 2 * lease + draws.random_range(0..lease);
        let some = shuffled(&all, &mut draws);
        let (third, half) = (some[..all.len() / 3].to_vec(), some[..all.len() / 2].to_vec());
        let rest: Vec<usize> = some[all.len() / 2..].to_vec();
        let mut told = some.clone();
        match trouble {
            "third-never" => told = some[third.len()..].to_vec(),
            "halves-cut" => {
                let cut = Way { cut: true, ..Way::default() };
                fleet.ways(&half, &rest, cut);
                fleet.ways(&rest, &half, cut);
            }
            "one-way" => fleet.ways(&half, &rest, Way { cut: true, ..Way::default() }),
            "noise" => {
                let way = Way { lose: 0.3, double: 0.3, reorder: 0.3, spoil: 0.1, ..Way::default() };
                fleet.ways(&all, &all, way);
            }
            _ => {}
        }
        // Files come to the gateways over a while, not at once.
        for part in told.chunks(told.len().div_ceil(3).max(1)) {
            fleet.give(part, version, version, start);
            fleet.pass(draws.random_range(0..lease / 4));
        }
        let mut gone = Vec::new();
        match trouble {
            "paused" => {
                fleet.pass_until(start - lease / 2);
                fleet.pause(&third);
                fleet.pass_until(start + lease);
                fleet.wake(&third);
            }
            "killed-older" | "voters-killed" => {
                gone =
                    if trouble == "killed-older" { third.clone() } else { (0..all.len().min(4)).collect() };
                fleet.pass_until(start - draws.random_range(0..lease));
                fleet.kill(&gone);
                fleet.write(&gone, version - 1, version - 1, last_start);
                fleet.start_again(&gone)?;
            }
            _ => {}
        }
        fleet.pass_until(start + 2 * lease);
        // All is well again, and who did not get the file gets it now.
        fleet.heal();
        let late: Vec<usize> = if trouble == "third-never" { third } else { gone };
        fleet.give(&late, version, version, start);
        let healed = unix();
        last_start = start;
        fleet.wait(&all, |record| record.version == version && record.whole)?;
        let (contradicted, who) = fleet.contradicted(began);
        if contradicted > 0 {
            println!("{trouble}, version {version}: {:.1} ms, {who}", contradicted as f64 / 1e6);
        }
        played.push(Played {
            trouble,
            contradicted,
            ground_seconds: fleet.on_ground(began),
            settled: unix() - healed,
        });
    }
    Ok(played)
}

fn shuffled(all: &[usize], draws: &mut ChaCha8Rng) -> Vec<usize> {
    let mut some = all.to_vec();
    some.shuffle(draws);
    some
}
