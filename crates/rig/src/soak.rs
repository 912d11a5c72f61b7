//! The soak test: fleets of real processes under random faults that overlap, judged by what must hold whatever fails.
//! Each seed draws another scenario ([`draw`]) and is played like any other; [`judge`] holds what the clients, the servers
//! and the gateways' logs have against the invariants. A mode leaves one kind of fault out, to find what a failure needs.

pub mod draw;
pub mod judge;

use crate::fleet::{RunResult, run_scenario};
use crate::load_generator::RpcOutcome as End;
use crate::scenario::{Scenario, SystemCallFaults};
use draw::{FaultKind, Size};
use judge::Violation;
use std::collections::BTreeMap;
use std::path::Path;

/// The result of one seed.
pub struct Run {
    /// The seed.
    pub seed: u64,
    /// What was played.
    pub scenario: Scenario,
    /// What was found broken.
    pub violations: Vec<Violation>,
    /// RPCs that were sent, and of them the ones answered ok.
    pub sent: usize,
    /// Answered 200.
    pub served: usize,
    /// RPCs by how they ended.
    pub ends: BTreeMap<String, usize>,
    /// How often each step was carried out, and what clients did out of the ordinary.
    pub event_counts: BTreeMap<String, usize>,
    /// Sums of the gateways' own counts over the processes that ended by themselves.
    pub counts: judge::OwnCounts,
}

/// Plays one seed; `system_calls` lets the gateways' calls fail as well.
pub fn run(
    seed: u64,
    size: Size,
    without: &[FaultKind],
    system_calls: Option<SystemCallFaults>,
    program: &Path,
) -> Result<Run, String> {
    let scenario = Scenario { system_calls, ..draw::scenario(seed, size, without)? };
    let outcome = run_scenario(&scenario, program)?;
    let violations = judge::violations(&scenario, &outcome);
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for call in &outcome.client_rpcs {
        *ends.entry(format!("{:?}", call.outcome)).or_default() += 1;
    }
    let served = outcome.client_rpcs.iter().filter(|call| call.outcome == End::Ok).count();
    let counts = judge::OwnCounts::of(&outcome.log_lines);
    let event_counts = event_counts(&outcome, &ends);
    Ok(Run {
        seed,
        sent: outcome.client_rpcs.len(),
        served,
        ends,
        event_counts,
        counts,
        violations,
        scenario,
    })
}

fn event_counts(outcome: &RunResult, ends: &BTreeMap<String, usize>) -> BTreeMap<String, usize> {
    let mut event_counts = outcome.step_counts.clone();
    event_counts.insert("client left".into(), ends.get("Left").copied().unwrap_or(0));
    event_counts.insert("crossed a close and sent again".into(), outcome.resent_rpcs as usize);
    event_counts
}

impl Run {
    /// One line for a person, and one for each violation.
    pub fn summary(&self) -> String {
        let ends: Vec<String> = self.ends.iter().map(|(end, count)| format!("{end} {count}")).collect();
        let mut text = format!(
            "seed {}: {} faults, {} RPCs ({}), own checks {}, withheld {}, broken {}; {} violations\n",
            self.seed,
            self.scenario.faults.len(),
            self.sent,
            ends.join(", "),
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
