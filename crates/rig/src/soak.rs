//! Soak tests: runs fleets of real processes under random, overlapping faults and checks invariants that must hold whatever
//! fails.
//!
//! [`draw`] generates a scenario from a seed, and [`judge`] checks the records of the clients and the servers and the
//! gateways' logs against the invariants. Kinds of faults can be left out, to find the one that a failure depends on.

pub mod draw;
pub mod judge;

use crate::fleet::{RunResult, run_scenario};
use crate::load_generator::RpcOutcome;
use crate::scenario::{Scenario, SystemCallFaults};
use draw::{FaultKind, Size};
use judge::Violation;
use std::collections::BTreeMap;
use std::path::Path;

/// The event of a server that sends data behind its answer.
pub const LATE_DATA: &str = "data sent behind an answer";
/// The event of a server that lags too much to send such data in time.
const OVERDUE_LATE_DATA: &str = "data behind an answer overdue and not sent";

/// The result of the run of one seed.
pub struct Run {
    /// The seed.
    pub seed: u64,
    /// The scenario drawn from the seed.
    pub scenario: Scenario,
    /// The violated rules.
    pub violations: Vec<Violation>,
    /// The number of RPCs sent.
    pub sent: usize,
    /// The number of RPCs answered 200.
    pub served: usize,
    /// The number of RPCs for each outcome at the client.
    pub outcome_counts: BTreeMap<String, usize>,
    /// How often each step of a fault was carried out, and counts of special client behaviour.
    pub event_counts: BTreeMap<String, usize>,
    /// The gateways' invariant counts, summed over all processes that exited by themselves.
    pub counts: judge::InvariantCounts,
}

/// Runs the scenario of one seed. With `system_calls`, a share of the gateways' system calls fails, too.
pub fn run(
    seed: u64,
    size: Size,
    without: &[FaultKind],
    system_calls: Option<SystemCallFaults>,
    program: &Path,
) -> Result<Run, String> {
    let scenario = Scenario { system_calls, ..draw::scenario(seed, size, without)? };
    let result = run_scenario(&scenario, program)?;
    let violations = judge::violations(&scenario, &result);
    let mut outcome_counts: BTreeMap<String, usize> = BTreeMap::new();
    for rpc in &result.client_rpcs {
        *outcome_counts.entry(format!("{:?}", rpc.outcome)).or_default() += 1;
    }
    let served = result.client_rpcs.iter().filter(|rpc| rpc.outcome == RpcOutcome::Ok).count();
    let counts = judge::InvariantCounts::of(&result.log_lines);
    let event_counts = event_counts(&result, &outcome_counts);
    Ok(Run {
        seed,
        sent: result.client_rpcs.len(),
        served,
        outcome_counts,
        event_counts,
        counts,
        violations,
        scenario,
    })
}

/// Counts of the steps that were carried out and of special client behaviour.
fn event_counts(result: &RunResult, outcome_counts: &BTreeMap<String, usize>) -> BTreeMap<String, usize> {
    let mut event_counts = result.step_counts.clone();
    event_counts.insert("client left".into(), outcome_counts.get("Left").copied().unwrap_or(0));
    event_counts.insert("crossed a close and sent again".into(), result.resent_rpcs as usize);
    event_counts.insert(LATE_DATA.into(), result.late_data_sent as usize);
    event_counts.insert(OVERDUE_LATE_DATA.into(), result.late_data_overdue as usize);
    event_counts
}

impl Run {
    /// A summary of the run in one line, then the violations with their log lines.
    pub fn summary(&self) -> String {
        let outcomes: Vec<String> =
            self.outcome_counts.iter().map(|(outcome, count)| format!("{outcome} {count}")).collect();
        let mut text = format!(
            "seed {}: {} faults, {} RPCs ({}), own checks {}, withheld {}, broken {}; {} violations\n",
            self.seed,
            self.scenario.faults.len(),
            self.sent,
            outcomes.join(", "),
            self.counts.checked,
            self.counts.withheld,
            self.counts.violated,
            self.violations.len()
        );
        for violation in &self.violations {
            text += &format!("  {violation}\n");
        }
        text
    }
}
