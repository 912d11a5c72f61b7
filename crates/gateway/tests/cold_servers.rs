//! Fleets of up to thirty gateway processes with servers that start cold: the number of RPCs that all gateways together
//! send to a cold server within the span of the `fall` rule stays below N + 2 sqrt(N) + 2, where N is the number that
//! the settings allow at that time.

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

/// The settings' rules for cold servers, and the capacity of a warm server.
struct ColdServerRules {
    cold_from: f64,
    warm_within: f64,
    multiple: f64,
    span: Nanos,
    capacity: f64,
}

impl ColdServerRules {
    fn from_scenario(scenario: &Scenario) -> ColdServerRules {
        let rule = |name: &str| scenario.settings["rules"][name].as_float().unwrap();
        let server = &scenario.servers[0];
        let mean_ms = server.service_ms * (server.spread * server.spread / 2.0).exp();
        ColdServerRules {
            cold_from: rule("coldFrom"),
            warm_within: rule("warmWithin"),
            multiple: rule("fallMultiple"),
            span: nanos(rule("fall")),
            capacity: server.cores as f64 * 1e3 / mean_ms,
        }
    }

    /// The number of RPCs that a server may be sent in the span that begins at this age; `None` once it is warm.
    fn bound(&self, age: Nanos) -> Option<f64> {
        let warmth = self.cold_from + (1.0 - self.cold_from) * age as f64 / 1e9 / self.warm_within;
        let allowed = self.multiple * warmth * self.capacity * self.span as f64 / 1e9;
        (warmth < 1.0).then_some(allowed + 2.0 * allowed.sqrt() + 2.0)
    }
}

/// The span in which a cold server was sent the most RPCs by all gateways, relative to the bound, and their number.
struct WorstSpan {
    server: u32,
    ratio_to_bound: f64,
    rpcs: usize,
}

impl std::fmt::Display for WorstSpan {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "s{:04}: {} RPCs, {:.2} of the bound", self.server, self.rpcs, self.ratio_to_bound)
    }
}

fn worst_spans(outcome: &RunResult, rules: &ColdServerRules) -> Vec<WorstSpan> {
    let mut ages_by_server: BTreeMap<u32, Vec<Nanos>> = BTreeMap::new();
    for (server, state) in outcome.servers.iter().enumerate() {
        // A server that was listed as ready after the run began, for the first time or again, started cold then. A
        // server that left that state within one span is skipped.
        let last_ready = state
            .ready_spans
            .last()
            .filter(|span| span.0 > outcome.measured_from && span.1 > span.0 + rules.span);
        let Some(since) = last_ready.map(|span| span.0) else { continue };
        let rows = outcome
            .server_rpcs
            .iter()
            .filter(|row| row.server as usize == server && row.received_at >= since);
        let mut ages: Vec<Nanos> = rows.map(|row| row.received_at - since).collect();
        ages.sort_unstable();
        ages_by_server.insert(server as u32, ages);
    }
    ages_by_server.into_iter().map(|(server, ages)| worst_span(server, &ages, rules)).collect()
}

fn worst_span(server: u32, ages: &[Nanos], rules: &ColdServerRules) -> WorstSpan {
    let mut worst = WorstSpan { server, ratio_to_bound: 0.0, rpcs: 0 };
    for (last, age) in ages.iter().enumerate() {
        let from = age.saturating_sub(rules.span);
        let Some(bound) = rules.bound(from) else { break };
        let rpcs = last + 1 - ages.partition_point(|age| *age < from);
        if rpcs as f64 / bound > worst.ratio_to_bound {
            (worst.ratio_to_bound, worst.rpcs) = (rpcs as f64 / bound, rpcs);
        }
    }
    worst
}

#[test]
fn thirty_unevenly_loaded_gateways_do_not_overload_cold_servers_during_a_burst_and_restarts() {
    let scenario = scenario("cold-burst");
    let outcome = run_scenario(&scenario, Path::new(BIN)).unwrap();
    assert_eq!(outcome.crashed, Vec::<String>::new());
    // The scenario has the intended conditions: some gateways see several times the mean load, and many restarted.
    let mut calls_per_gateway = vec![0; scenario.gateways];
    outcome.client_rpcs.iter().for_each(|call| calls_per_gateway[call.gateway] += 1);
    let mean = outcome.client_rpcs.len() / scenario.gateways;
    assert!(
        calls_per_gateway.iter().any(|calls| *calls > 5 * mean / 2)
            && calls_per_gateway.iter().any(|calls| *calls < mean / 2),
        "{calls_per_gateway:?}"
    );
    assert!(outcome.starts.iter().filter(|starts| **starts > 1).count() > scenario.gateways / 2);
    let worst_spans = worst_spans(&outcome, &ColdServerRules::from_scenario(&scenario));
    let summary: Vec<String> = worst_spans.iter().map(WorstSpan::to_string).collect();
    println!("{}", summary.join("\n"));
    assert!(worst_spans.len() >= 9, "{summary:#?}");
    assert!(worst_spans.iter().all(|span| span.rpcs > 0 && span.ratio_to_bound <= 1.0), "{summary:#?}");
}

/// Plays the same traffic through fewer gateways, so that each has a larger share of it.
fn check_cold_servers_with_few_gateways(gateways: usize) {
    let thirty_gateways = scenario("cold-burst");
    let mut scenario = thirty_gateways.clone();
    scenario.gateways = gateways;
    scenario.load.rate = thirty_gateways.load.rate * thirty_gateways.gateways as f64 / gateways as f64;
    scenario.load.width = thirty_gateways.load.width.min(gateways);
    let outcome = run_scenario(&scenario, Path::new(BIN)).unwrap();
    assert_eq!(outcome.crashed, Vec::<String>::new());
    assert!(outcome.starts.iter().any(|starts| *starts > 1), "at least one gateway restarted");
    let worst_spans = worst_spans(&outcome, &ColdServerRules::from_scenario(&scenario));
    let summary: Vec<String> = worst_spans.iter().map(WorstSpan::to_string).collect();
    println!("{}", summary.join("\n"));
    assert!(worst_spans.len() >= 9, "{summary:#?}");
    assert!(worst_spans.iter().all(|span| span.ratio_to_bound <= 1.0), "{summary:#?}");
    assert!(worst_spans.iter().any(|span| span.rpcs > 0), "{summary:#?}");
}

#[test]
fn one_gateway_does_not_overload_cold_servers() {
    check_cold_servers_with_few_gateways(1);
}

#[test]
fn four_gateways_do_not_overload_cold_servers() {
    check_cold_servers_with_few_gateways(4);
}
