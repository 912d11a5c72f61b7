//! Rolls out versioned settings over many real processes under faults, and measures from the gateways' own records for how
//! long any two of them acted on contradicting settings. Probe RPCs show that each acts on the version that it says.

mod contradictions;
mod fleet;
mod probe;

pub use fleet::Fleet;

use crate::{MS, Nanos, SEC, Stream, stream_rng};
use rand::Rng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use standins::relay::PathFaults;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// Configuration of the whole fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// The number of gateway processes.
    pub gateways: usize,
    /// The lease of the agreement, seconds.
    pub lease: f64,
    /// The configured bound on how far any gateway's clock is off, seconds.
    pub clock: f64,
    /// The seed of all randomness.
    pub seed: u64,
    /// Each gateway's clock is off by an amount drawn from `-skew_ms..=skew_ms`.
    pub skew_ms: u64,
}

/// A gateway's log record of a change of the settings that it acts on.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// When the change took effect, Unix time.
    pub at: Nanos,
    /// The number of the version.
    pub version: u64,
    /// The digest of the version.
    pub digest: String,
    /// Whether the gateway acts on the version itself; otherwise it acts on the version's fallback.
    pub acts_on_version: bool,
    /// The reason code of the change.
    pub why: String,
}

/// The current Unix time in nanoseconds, as in the gateways' records.
pub fn unix_now() -> Nanos {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as Nanos)
}

/// The fault injected during a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutFault {
    /// No fault.
    None,
    /// A third of the gateways gets the new file only once the rollout is over.
    ThirdWithoutFile,
    /// The network is partitioned into two halves.
    Partitioned,
    /// Datagrams from one half of the fleet to the other are lost; the opposite direction works.
    CutOneWay,
    /// A third of the gateways is stopped (SIGSTOP) while the version starts.
    Paused,
    /// A third of the gateways is killed and restarted with the older file.
    KilledWithOlderFile,
    /// Datagrams are lost, duplicated, reordered and corrupted.
    Noise,
    /// Four of the voters are killed and restarted with the older file.
    VotersKilled,
    /// A version before this one has two contents, since one gateway has a wrong file. Neither starts before this version
    /// does. A third of the gateways, that one among them, is killed and restarted on these files.
    WrongFileBefore,
}

/// The number of voters killed by [`RolloutFault::VotersKilled`].
const KILLED_VOTER_COUNT: usize = 4;
/// How long after the start of a rollout's version the version with two contents would start.
const FAR_START: Nanos = 600 * SEC;
/// The time for restarts on files with two contents before the next version is rolled out, in leases.
const WRONG_FILE_LEASES: Nanos = 4;
/// Added to a content, gives a wrong one.
const WRONG_CONTENT: u64 = 1000;
/// A new file reaches the gateways in this number of groups, one after the other.
const GROUP_COUNT: usize = 3;

impl RolloutFault {
    /// All faults, in the order in which successive rollouts use them.
    pub const ALL: [RolloutFault; 9] = [
        RolloutFault::None,
        RolloutFault::ThirdWithoutFile,
        RolloutFault::Partitioned,
        RolloutFault::CutOneWay,
        RolloutFault::Paused,
        RolloutFault::KilledWithOlderFile,
        RolloutFault::Noise,
        RolloutFault::VotersKilled,
        RolloutFault::WrongFileBefore,
    ];

    /// The name in the printed table.
    pub fn name(self) -> &'static str {
        match self {
            RolloutFault::None => "none",
            RolloutFault::ThirdWithoutFile => "third-never",
            RolloutFault::Partitioned => "halves-cut",
            RolloutFault::CutOneWay => "one-way",
            RolloutFault::Paused => "paused",
            RolloutFault::KilledWithOlderFile => "killed-older",
            RolloutFault::Noise => "noise",
            RolloutFault::VotersKilled => "voters-killed",
            RolloutFault::WrongFileBefore => "wrong-file",
        }
    }
}

/// Runs `count` rollouts and returns a table of the results, a row for each fault. Fails if a gateway acted on other settings
/// than those of the version that it said it acted on.
pub fn run(config: &FleetConfig, count: usize, program: &Path) -> Result<String, String> {
    let mut fleet = Fleet::start(config.clone(), program)?;
    let results = run_rollouts(&mut fleet, count)?;
    let mut table = format!(
        "{} gateways, {count} rollouts, lease {} s, bound {} ms, clocks off by up to {} ms\n{:14} rollouts | contradicted ms p50, p99, max | gateway-seconds on ground, mean | settled ms p50, max | acted otherwise\n",
        config.gateways,
        config.lease,
        2000.0 * config.clock,
        config.skew_ms,
        "fault"
    );
    for fault in RolloutFault::ALL {
        let of_fault: Vec<&RolloutResult> = results.iter().filter(|result| result.fault == fault).collect();
        table += &table_row(fault.name(), &of_fault);
    }
    table += &table_row("all", &results.iter().collect::<Vec<_>>());
    let seconds = fleet.age() as f64 / SEC as f64;
    table += &format!(
        "{:.1} datagrams a second in all, over {seconds:.0} s\n",
        fleet.datagram_count() as f64 / seconds
    );
    let otherwise: Vec<&str> =
        results.iter().flat_map(|result| &result.acted_otherwise).map(String::as_str).collect();
    if otherwise.is_empty() { Ok(table) } else { Err(format!("{table}{}", otherwise.join("\n"))) }
}

/// One row of the table: the figures over a set of rollouts.
fn table_row(name: &str, results: &[&RolloutResult]) -> String {
    let sorted_ms = |value: fn(&RolloutResult) -> Nanos| {
        let mut values: Vec<f64> = results.iter().map(|result| value(result) as f64 / MS as f64).collect();
        values.sort_by(f64::total_cmp);
        values
    };
    let (contradictions, settling_times) =
        (sorted_ms(|result| result.longest_contradiction), sorted_ms(|result| result.settling_time));
    let mean_fallback =
        results.iter().map(|result| result.fallback_seconds).sum::<f64>() / results.len().max(1) as f64;
    let acted_otherwise: usize = results.iter().map(|result| result.acted_otherwise.len()).sum();
    format!(
        "{name:14} {:8} | {:.1}, {:.1}, {:.1} | {mean_fallback:.2} | {:.0}, {:.0} | {acted_otherwise}\n",
        results.len(),
        quantile(&contradictions, 0.5),
        quantile(&contradictions, 0.99),
        quantile(&contradictions, 1.0),
        quantile(&settling_times, 0.5),
        quantile(&settling_times, 1.0)
    )
}

/// The quantile of sorted values by nearest rank; 0 for an empty slice.
fn quantile(sorted: &[f64], share: f64) -> f64 {
    let rank = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len().max(1));
    sorted.get(rank - 1).copied().unwrap_or(0.0)
}

/// The result of one rollout.
#[derive(Clone, Debug)]
pub struct RolloutResult {
    /// The injected fault.
    pub fault: RolloutFault,
    /// The longest time for which any two gateways acted on contradicting settings.
    pub longest_contradiction: Nanos,
    /// The time for which gateways acted on a fallback, seconds summed over all gateways.
    pub fallback_seconds: f64,
    /// The time from the end of the fault until every gateway acted on the new version.
    pub settling_time: Nanos,
    /// The gateways that at the end acted on other settings than those of the version that they said they acted on.
    pub acted_otherwise: Vec<String>,
}

/// Runs `count` rollouts in sequence, with the faults in rotation. Each fault ends before the next rollout begins.
pub fn run_rollouts(fleet: &mut Fleet, count: usize) -> Result<Vec<RolloutResult>, String> {
    fleet.start_probes();
    let mut rng = stream_rng(fleet.config.seed, Stream::Script);
    let (mut results, mut last) = (Vec::new(), Release::INITIAL);
    for index in 0..count {
        let fault = RolloutFault::ALL[index % RolloutFault::ALL.len()];
        let rollout = Rollout::draw(fleet, fault, last, &mut rng);
        last = rollout.release;
        results.push(rollout.run(fleet, &mut rng)?);
    }
    Ok(results)
}

/// A version with its content and start, as files give it to gateways.
#[derive(Clone, Copy, Debug)]
struct Release {
    version: u64,
    content: u64,
    /// When the version starts, Unix time.
    start: Nanos,
}

impl Release {
    /// What the fleet starts on.
    const INITIAL: Release = Release { version: 1, content: 1, start: 0 };

    fn roll_out(self, fleet: &mut Fleet, gateways: &[usize]) {
        fleet.roll_out(gateways, self.version, self.content, self.start);
    }

    fn write_files(self, fleet: &mut Fleet, gateways: &[usize]) {
        fleet.write_files(gateways, self.version, self.content, self.start);
    }
}

/// The parameters of one rollout.
struct Rollout {
    fault: RolloutFault,
    release: Release,
    /// The release of the previous rollout.
    previous: Release,
    /// When the rollout began, Unix time.
    began: Nanos,
    lease: Nanos,
    /// All gateways, in random order.
    order: Vec<usize>,
}

impl Rollout {
    /// Draws the parameters of the rollout after another one. A version in between is left for one with two contents.
    fn draw(fleet: &Fleet, fault: RolloutFault, previous: Release, rng: &mut ChaCha8Rng) -> Rollout {
        let lease = (fleet.config.lease * SEC as f64) as Nanos;
        let began = unix_now();
        let preparation = if fault == RolloutFault::WrongFileBefore { WRONG_FILE_LEASES * lease } else { 0 };
        let start = began + preparation + 2 * lease + rng.random_range(0..lease);
        let mut order: Vec<usize> = (0..fleet.count()).collect();
        order.shuffle(rng);
        let release = Release { version: previous.version + 2, content: previous.content + 1, start };
        Rollout { fault, release, previous, began, lease, order }
    }

    /// The third of the gateways that a fault affects.
    fn third(&self) -> &[usize] {
        &self.order[..self.order.len() / 3]
    }

    /// The two halves of a partition.
    fn halves(&self) -> (&[usize], &[usize]) {
        self.order.split_at(self.order.len() / 2)
    }

    /// Runs the rollout and waits until every gateway acts on its version.
    fn run(&self, fleet: &mut Fleet, rng: &mut ChaCha8Rng) -> Result<RolloutResult, String> {
        self.inject_network_fault(fleet);
        if self.fault == RolloutFault::WrongFileBefore {
            self.deliver_two_contents(fleet)?;
        }
        self.deliver_files(fleet, rng);
        let killed = self.inject_process_fault(fleet, rng)?;
        let version = self.release.version;
        fleet.sleep_until(self.release.start + 2 * self.lease);
        // The fault ends. Gateways that lack the new file get it now.
        fleet.clear_path_faults();
        let without_file: &[usize] =
            if self.fault == RolloutFault::ThirdWithoutFile { self.third() } else { &killed };
        self.release.roll_out(fleet, without_file);
        let fault_ended = unix_now();
        let all: Vec<usize> = (0..fleet.count()).collect();
        fleet.wait_for_records(&all, |record| record.version == version && record.acts_on_version)?;
        let settling_time = unix_now() - fault_ended;
        let (longest_contradiction, pair) = fleet.longest_contradiction(self.began);
        if longest_contradiction > 0 {
            let name = self.fault.name();
            println!("{name}, version {version}: {:.1} ms, {pair}", longest_contradiction as f64 / MS as f64);
        }
        let fallback_seconds = fleet.fallback_seconds(self.began);
        let acted_otherwise = fleet.gateways_acting_otherwise()?;
        Ok(RolloutResult {
            fault: self.fault,
            longest_contradiction,
            fallback_seconds,
            settling_time,
            acted_otherwise,
        })
    }

    /// Delivers a version that starts long after this rollout, with a wrong content at one gateway, and restarts a third of
    /// the gateways on their files. The new file reaches those right after their start, before the next messages of the
    /// gateway with the wrong content.
    fn deliver_two_contents(&self, fleet: &mut Fleet) -> Result<(), String> {
        let far_start = self.release.start + FAR_START;
        // The right content differs from the new one in whether RPCs may be repeated.
        let right =
            Release { version: self.previous.version + 1, content: self.previous.content, start: far_start };
        let wrong = Release { content: WRONG_CONTENT + right.content, ..right };
        let (with_wrong_file, others) = self.order.split_at(1);
        right.roll_out(fleet, others);
        wrong.roll_out(fleet, with_wrong_file);
        let restarted = self.third();
        fleet.kill(restarted);
        fleet.restart(restarted)?;
        self.release.roll_out(fleet, &restarted[1..]);
        fleet.sleep(self.lease);
        Ok(())
    }

    /// Sets the network faults of this rollout.
    fn inject_network_fault(&self, fleet: &mut Fleet) {
        let (half, rest) = self.halves();
        let cut = PathFaults { cut: true, ..PathFaults::default() };
        match self.fault {
            RolloutFault::Partitioned => {
                fleet.set_paths(half, rest, cut);
                fleet.set_paths(rest, half, cut);
            }
            RolloutFault::CutOneWay => fleet.set_paths(half, rest, cut),
            RolloutFault::Noise => {
                let noise = PathFaults {
                    loss: 0.3,
                    duplicate: 0.3,
                    reorder: 0.3,
                    corrupt: 0.1,
                    ..PathFaults::default()
                };
                fleet.set_paths(&self.order, &self.order, noise);
            }
            _ => {}
        }
    }

    /// Delivers the new file to the gateways in groups, with random delays in between.
    fn deliver_files(&self, fleet: &mut Fleet, rng: &mut ChaCha8Rng) {
        let skipped = if self.fault == RolloutFault::ThirdWithoutFile { self.third().len() } else { 0 };
        let recipients = &self.order[skipped..];
        for group in recipients.chunks(recipients.len().div_ceil(GROUP_COUNT).max(1)) {
            self.release.roll_out(fleet, group);
            fleet.sleep(rng.random_range(0..self.lease / 4));
        }
    }

    /// Pauses or kills gateways around the version's start. Returns the killed gateways, which run again with the older file.
    fn inject_process_fault(&self, fleet: &mut Fleet, rng: &mut ChaCha8Rng) -> Result<Vec<usize>, String> {
        let start = self.release.start;
        let killed = match self.fault {
            RolloutFault::Paused => {
                fleet.sleep_until(start - self.lease / 2);
                fleet.pause(self.third());
                fleet.sleep_until(start + self.lease);
                fleet.resume(self.third());
                return Ok(Vec::new());
            }
            RolloutFault::KilledWithOlderFile => self.third().to_vec(),
            RolloutFault::VotersKilled => (0..fleet.count().min(KILLED_VOTER_COUNT)).collect(),
            _ => return Ok(Vec::new()),
        };
        fleet.sleep_until(start - rng.random_range(0..self.lease));
        fleet.kill(&killed);
        self.previous.write_files(fleet, &killed);
        fleet.restart(&killed)?;
        Ok(killed)
    }
}
