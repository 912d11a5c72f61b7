//! Rollouts of settings with versions over many real processes, with faults between them, and from the gateways' own
//! records the time during which any two of them acted on settings that contradict each other.

mod contradictions;
mod fleet;

pub use fleet::Fleet;

use crate::{MS, Nanos, SEC, Stream, stream_rng};
use rand::Rng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use standins::relay::PathFaults as Way;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// What is told to the whole fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// How many processes.
    pub gateways: usize,
    /// Seconds.
    pub lease: f64,
    /// The bound that the gateways are told for their clocks, seconds.
    pub clock: f64,
    /// The seed of all chance.
    pub seed: u64,
    /// Each gateway's clock is off by up to so much, drawn by the seed.
    pub skew_ms: u64,
}

/// What a gateway said that it acts on, from a time on.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// From then on, Unix time.
    pub at: Nanos,
    /// The version's number.
    pub version: u64,
    /// Its digest.
    pub digest: String,
    /// The version itself, or only its ground.
    pub acts_on_version: bool,
    /// Why that changed.
    pub why: String,
}

/// Unix time, as the gateways' records have it.
pub fn unix_now() -> Nanos {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as Nanos)
}

/// A fault that a rollout is played under.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// No fault.
    None,
    /// A third of the gateways does not get the file until all is over.
    ThirdNeverTold,
    /// Two halves of the fleet don't hear each other.
    HalvesCut,
    /// A half of the fleet is not heard by the other.
    OneWay,
    /// A third of the gateways stands still over the version's start.
    Paused,
    /// A third of the gateways is killed and comes back with the older file.
    KilledOlder,
    /// Datagrams are lost, doubled, reordered and spoilt.
    Noise,
    /// Four of the voters are killed and come back with the older file.
    VotersKilled,
}

/// So many voters are killed by [`Trouble::VotersKilled`].
const KILLED_VOTERS: usize = 4;
/// A file comes to the gateways in so many groups, one after the other.
const GROUPS: usize = 3;

impl Trouble {
    /// All of them, in the order in which rollouts are played under them by turns.
    pub const ALL: [Trouble; 8] = [
        Trouble::None,
        Trouble::ThirdNeverTold,
        Trouble::HalvesCut,
        Trouble::OneWay,
        Trouble::Paused,
        Trouble::KilledOlder,
        Trouble::Noise,
        Trouble::VotersKilled,
    ];

    /// Its name in the figures shown.
    pub fn name(self) -> &'static str {
        match self {
            Trouble::None => "none",
            Trouble::ThirdNeverTold => "third-never",
            Trouble::HalvesCut => "halves-cut",
            Trouble::OneWay => "one-way",
            Trouble::Paused => "paused",
            Trouble::KilledOlder => "killed-older",
            Trouble::Noise => "noise",
            Trouble::VotersKilled => "voters-killed",
        }
    }
}

/// Plays rollouts and shows what came of them, by the fault they were played under.
pub fn run(plan: &FleetConfig, count: usize, program: &Path) -> Result<String, String> {
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
    for trouble in Trouble::ALL {
        let under: Vec<&Played> = played.iter().filter(|one| one.trouble == trouble).collect();
        shown += &figures(trouble.name(), &under);
    }
    shown += &figures("all", &played.iter().collect::<Vec<_>>());
    let seconds = fleet.age() as f64 / SEC as f64;
    shown += &format!(
        "{:.1} datagrams a second in all, over {seconds:.0} s\n",
        fleet.datagram_count() as f64 / seconds
    );
    Ok(shown)
}

/// A line of figures over some rollouts.
fn figures(name: &str, played: &[&Played]) -> String {
    let sorted_ms = |value: fn(&Played) -> Nanos| {
        let mut values: Vec<f64> = played.iter().map(|one| value(one) as f64 / MS as f64).collect();
        values.sort_by(f64::total_cmp);
        values
    };
    let (contradicted, settled) = (sorted_ms(|one| one.contradicted), sorted_ms(|one| one.settled));
    let fallback = played.iter().map(|one| one.fallback_seconds).sum::<f64>() / played.len().max(1) as f64;
    format!(
        "{name:14} {:8} | {:.1}, {:.1}, {:.1} | {fallback:.2} | {:.0}, {:.0}\n",
        played.len(),
        quantile(&contradicted, 0.5),
        quantile(&contradicted, 0.99),
        quantile(&contradicted, 1.0),
        quantile(&settled, 0.5),
        quantile(&settled, 1.0)
    )
}

/// The quantile of sorted values by nearest rank; 0 of none.
fn quantile(sorted: &[f64], share: f64) -> f64 {
    let rank = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len().max(1));
    sorted.get(rank - 1).copied().unwrap_or(0.0)
}

/// A rollout and what it did.
#[derive(Clone, Debug)]
pub struct Played {
    /// The fault that it was played under.
    pub trouble: Trouble,
    /// The longest that two gateways contradicted each other.
    pub contradicted: Nanos,
    /// How long gateways were on a fallback, summed.
    pub fallback_seconds: f64,
    /// From the end of the faults until every gateway acted on the new version.
    pub settled: Nanos,
}

/// Plays so many rollouts one after another, each under a fault drawn by turns; every fault is over before the next.
pub fn play(fleet: &mut Fleet, count: usize) -> Result<Vec<Played>, String> {
    let mut draws = stream_rng(fleet.plan.seed, Stream::Script);
    let (mut played, mut last_start) = (Vec::new(), 0);
    for at in 0..count {
        let rollout = Rollout::draw(fleet, at, last_start, &mut draws);
        last_start = rollout.start;
        played.push(rollout.play(fleet, &mut draws)?);
    }
    Ok(played)
}

/// One rollout as it is planned.
struct Rollout {
    trouble: Trouble,
    version: u64,
    began: Nanos,
    start: Nanos,
    /// When the version before it started.
    last_start: Nanos,
    lease: Nanos,
    /// All gateways, in a drawn order.
    order: Vec<usize>,
}

impl Rollout {
    fn draw(fleet: &Fleet, at: usize, last_start: Nanos, draws: &mut ChaCha8Rng) -> Rollout {
        let lease = (fleet.plan.lease * SEC as f64) as Nanos;
        let began = unix_now();
        let start = began + 2 * lease + draws.random_range(0..lease);
        let mut order: Vec<usize> = (0..fleet.count()).collect();
        order.shuffle(draws);
        let (trouble, version) = (Trouble::ALL[at % Trouble::ALL.len()], at as u64 + 2);
        Rollout { trouble, version, began, start, last_start, lease, order }
    }

    fn third(&self) -> &[usize] {
        &self.order[..self.order.len() / 3]
    }

    fn halves(&self) -> (&[usize], &[usize]) {
        self.order.split_at(self.order.len() / 2)
    }

    fn play(&self, fleet: &mut Fleet, draws: &mut ChaCha8Rng) -> Result<Played, String> {
        self.disturb_links(fleet);
        self.hand_out(fleet, draws);
        let killed = self.disturb_processes(fleet, draws)?;
        fleet.sleep_until(self.start + 2 * self.lease);
        // All is well again, and who did not get the file gets it now.
        fleet.clear_path_faults();
        let late: &[usize] = if self.trouble == Trouble::ThirdNeverTold { self.third() } else { &killed };
        fleet.roll_out(late, self.version, self.version, self.start);
        let healed = unix_now();
        let all: Vec<usize> = (0..fleet.count()).collect();
        fleet.wait_for_records(&all, |record| record.version == self.version && record.acts_on_version)?;
        let (contradicted, who) = fleet.longest_contradiction(self.began);
        if contradicted > 0 {
            let (name, version) = (self.trouble.name(), self.version);
            println!("{name}, version {version}: {:.1} ms, {who}", contradicted as f64 / MS as f64);
        }
        let fallback_seconds = fleet.fallback_seconds(self.began);
        let settled = unix_now() - healed;
        Ok(Played { trouble: self.trouble, contradicted, fallback_seconds, settled })
    }

    fn disturb_links(&self, fleet: &mut Fleet) {
        let (half, rest) = self.halves();
        let cut = Way { cut: true, ..Way::default() };
        match self.trouble {
            Trouble::HalvesCut => {
                fleet.set_paths(half, rest, cut);
                fleet.set_paths(rest, half, cut);
            }
            Trouble::OneWay => fleet.set_paths(half, rest, cut),
            Trouble::Noise => {
                let noise = Way { loss: 0.3, duplicate: 0.3, reorder: 0.3, corrupt: 0.1, ..Way::default() };
                fleet.set_paths(&self.order, &self.order, noise);
            }
            _ => {}
        }
    }

    /// Files come to the gateways over a while, not at once.
    fn hand_out(&self, fleet: &mut Fleet, draws: &mut ChaCha8Rng) {
        let skipped = if self.trouble == Trouble::ThirdNeverTold { self.third().len() } else { 0 };
        let told = &self.order[skipped..];
        for group in told.chunks(told.len().div_ceil(GROUPS).max(1)) {
            fleet.roll_out(group, self.version, self.version, self.start);
            fleet.sleep(draws.random_range(0..self.lease / 4));
        }
    }

    /// Pauses or kills gateways round the version's start; brings back those that were killed.
    fn disturb_processes(&self, fleet: &mut Fleet, draws: &mut ChaCha8Rng) -> Result<Vec<usize>, String> {
        let killed = match self.trouble {
            Trouble::Paused => {
                fleet.sleep_until(self.start - self.lease / 2);
                fleet.pause(self.third());
                fleet.sleep_until(self.start + self.lease);
                fleet.resume(self.third());
                return Ok(Vec::new());
            }
            Trouble::KilledOlder => self.third().to_vec(),
            Trouble::VotersKilled => (0..fleet.count().min(KILLED_VOTERS)).collect(),
            _ => return Ok(Vec::new()),
        };
        fleet.sleep_until(self.start - draws.random_range(0..self.lease));
        fleet.kill(&killed);
        fleet.write_files(&killed, self.version - 1, self.version - 1, self.last_start);
        fleet.restart(&killed)?;
        Ok(killed)
    }
}
