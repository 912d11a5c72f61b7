//! Thirty processes of the program against servers that start cold: what all together send one in the told span stays
//! under N + 2 root(N) + 2, N being what the settings allow it then.

use rig::fleet::{RunResult, run_scenario};
use rig::scenario::Scenario;
use rig::{Nanos, nanos};
use std::collections::BTreeMap;
use std::path::Path;

const BIN: &str = env!("CARGO_BIN_EXE_martenramp");

fn scenario(name: &str) -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../rig/scenarios/{name}.toml"));
    Scenario::load(&file, &[]).unwrap()
}

/// What the settings say of cold servers, and what a warm one can do.
struct Terms {
    cold_from: f64,
    warm_within: f64,
    multiple: f64,
    span: Nanos,
    capacity: f64,
}

impl Terms {
    fn of(scenario: &Scenario) -> Terms {
        let rule = |name: &str| scenario.settings["rules"][name].as_float().unwrap();
        let server = &scenario.servers[0];
        let mean_ms = server.service_ms * (server.spread * server.spread / 2.0).exp();
        Terms {
            cold_from: rule("coldFrom"),
            warm_within: rule("warmWithin"),
            multiple: rule("fallMultiple"),
            span: nanos(rule("fall")),
            capacity: server.cores as f64 * 1e3 / mean_ms,
        }
    }

    /// RPCs that a server may be sent in the span that begins at this age; nothing said of it once it is warm.
    fn bound(&self, age: Nanos) -> Option<f64> {
        let warmth = self.cold_from + (1.0 - self.cold_from) * age as f64 / 1e9 / self.warm_within;
        let allowed = self.multiple * warmth * self.capacity * self.span as f64 / 1e9;
        (warmth < 1.0).then_some(allowed + 2.0 * allowed.sqrt() + 2.0)
    }
}

/// A cold server's worst span: RPCs of all gateways in it over the bound, and the RPCs themselves.
struct Worst {
    server: u32,
    over_bound: f64,
    rpcs: usize,
}

impl std::fmt::Display for Worst {
    fn fmt(&self, to: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(to, "s{:04}: {} RPCs, {:.2} of the bound", self.server, self.rpcs, self.over_bound)
    }
}

fn worst_spans(outcome: &RunResult, terms: &Terms) -> Vec<Worst> {
    let mut came: BTreeMap<u32, Vec<Nanos>> = BTreeMap::new();
    for (server, state) in outcome.servers.iter().enumerate() {
        // Up and listed a second time, or listed only after the run began: it started cold then. What drains at
        // once is left out.
        let last = state
            .ready_spans
            .last()
            .filter(|span| span.0 > outcome.measured_from && span.1 > span.0 + terms.span);
        let Some(since) = last.map(|span| span.0) else { continue };
        let rows = outcome
            .server_rpcs
            .iter()
            .filter(|row| row.server as usize == server && row.received_at >= since);
        let mut at: Vec<Nanos> = rows.map(|row| row.received_at - since).collect();
        at.sort_unstable();
        came.insert(server as u32, at);
    }
    came.into_iter().map(|(server, at)| worst_span(server, &at, terms)).collect()
}

fn worst_span(server: u32, at: &[Nanos], terms: &Terms) -> Worst {
    let mut worst = Worst { server, over_bound: 0.0, rpcs: 0 };
    for (last, now) in at.iter().enumerate() {
        let from = now.saturating_sub(terms.span);
        let Some(bound) = terms.bound(from) else { break };
        let rpcs = last + 1 - at.partition_point(|at| *at < from);
        if rpcs as f64 / bound > worst.over_bound {
            (worst.over_bound, worst.rpcs) = (rpcs as f64 / bound, rpcs);
        }
    }
    worst
}

#[test]
fn thirty_unequal_gateways_push_no_cold_server_over_under_a_burst_and_restarts() {
    let scenario = scenario("cold-burst");
    let outcome = run_scenario(&scenario, Path::new(BIN)).unwrap();
    assert_eq!(outcome.crashed, Vec::<String>::new());
    // The story is what it says: some gateways see several times the mean, and many were started anew.
    let mut seen = vec![0; scenario.gateways];
    outcome.client_rpcs.iter().for_each(|call| seen[call.gateway] += 1);
    let mean = outcome.client_rpcs.len() / scenario.gateways;
    assert!(seen.iter().any(|one| *one > 5 * mean / 2) && seen.iter().any(|one| *one < mean / 2), "{seen:?}");
    assert!(outcome.starts.iter().filter(|starts| **starts > 1).count() > scenario.gateways / 2);
    let worst = worst_spans(&outcome, &Terms::of(&scenario));
    let shown: Vec<String> = worst.iter().map(Worst::to_string).collect();
    println!("{}", shown.join("\n"));
    assert!(worst.len() >= 9, "{shown:#?}");
    assert!(worst.iter().all(|one| one.rpcs > 0 && one.over_bound <= 1.0), "{shown:#?}");
}

/// The same traffic through few gateways, each with a large part of it.
fn few_gateways_push_no_cold_server_over(gateways: usize) {
    let thirty = scenario("cold-burst");
    let mut scenario = thirty.clone();
    scenario.gateways = gateways;
    scenario.load.rate = thirty.load.rate * thirty.gateways as f64 / gateways as f64;
    scenario.load.width = thirty.load.width.min(gateways);
    let outcome = run_scenario(&scenario, Path::new(BIN)).unwrap();
    assert_eq!(outcome.crashed, Vec::<String>::new());
    assert!(outcome.starts.iter().any(|starts| *starts > 1), "some were started anew");
    let worst = worst_spans(&outcome, &Terms::of(&scenario));
    let shown: Vec<String> = worst.iter().map(Worst::to_string).collect();
    println!("{}", shown.join("\n"));
    assert!(worst.len() >= 9, "{shown:#?}");
    assert!(worst.iter().all(|one| one.over_bound <= 1.0), "{shown:#?}");
    assert!(worst.iter().any(|one| one.rpcs > 0), "{shown:#?}");
}

#[test]
fn one_gateway_pushes_no_cold_server_over() {
    few_gateways_push_no_cold_server_over(1);
}

#[test]
fn four_gateways_push_no_cold_server_over() {
    few_gateways_push_no_cold_server_over(4);
}
