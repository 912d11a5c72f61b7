//! Finds servers that were ready and healthy and got no RPC while their peers did.

use super::{Rule, TRANSPORT_SLACK, Violation};
use crate::fleet::RunResult;
use crate::scenario::{Fault, Scenario};
use crate::{MS, Nanos, SEC, nanos};
use standins::servers::{Row, RpcOutcome};

/// The longest time that a ready server may be without an RPC after a short disturbance.
const MAX_SILENCE: Nanos = 2 * SEC;
/// The longest disturbance that counts as short.
const MAX_DISTURBANCE: Nanos = SEC;
/// Gateways remember results for this long.
const MEMORY: Nanos = 20 * SEC;
/// How many RPCs a peer must have got on average, so that chance does not explain that the server got none.
const MIN_PEER_RPCS: f64 = 12.0;
/// A server answers slowly if it takes this many times the median.
const SLOW_RATIO: Nanos = 2;
/// The time after a server was listed until every gateway knows it and it has warmed up.
const SETTLING_TIME: Nanos = 6 * SEC;

/// Whether the rule says anything about a run: only if no fault disturbs servers, or the way to them, for long.
pub fn applies(scenario: &Scenario) -> bool {
    let is_harmless = |fault: &Fault| match fault {
        Fault::Silent { seconds, .. } | Fault::Slow { seconds, .. } | Fault::FailsFast { seconds, .. } => {
            nanos(*seconds) <= MAX_DISTURBANCE
        }
        Fault::Kill { .. }
        | Fault::Term { .. }
        | Fault::Restart { .. }
        | Fault::SignalSeries { .. }
        | Fault::Crowd { .. }
        | Fault::Reload { .. }
        | Fault::Burst { .. }
        | Fault::CounterStall { .. }
        | Fault::CounterDown { .. }
        | Fault::CounterEmpty { .. } => true,
        _ => false,
    };
    scenario.system_calls.is_none() && scenario.faults.iter().all(is_harmless)
}

/// All silences of a run that are too long.
pub fn violations(scenario: &Scenario, result: &RunResult) -> Vec<Violation> {
    if !applies(scenario) {
        return Vec::new();
    }
    let mut rows: Vec<Vec<&Row>> = vec![Vec::new(); result.servers.len()];
    result.server_rpcs.iter().for_each(|row| rows[row.server as usize].push(row));
    rows.iter_mut().for_each(|rows| rows.sort_by_key(|row| row.first_byte_at));
    let slow_from = SLOW_RATIO * median_service_time(&result.server_rpcs);
    let mut found = Vec::new();
    for server in 0..result.servers.len() {
        for silence in silences(result, &rows[server], server) {
            let peer_rpcs = mean_peer_rpcs(scenario, result, &rows, server, silence);
            if peer_rpcs >= MIN_PEER_RPCS && was_healthy(&rows[server], silence, slow_from) {
                let text = format!(
                    "s{server:04} got nothing from {} to {} ms, its peers {peer_rpcs:.1} RPCs each",
                    silence.from / MS,
                    silence.until / MS
                );
                found.push(Violation { rule: Rule::Idle, text, lines: Vec::new() });
            }
        }
    }
    found
}

/// A time span in which a server got and held nothing.
#[derive(Clone, Copy)]
struct Silence {
    from: Nanos,
    until: Nanos,
}

/// The silences of a server over the limit, while it was ready.
fn silences(result: &RunResult, rows: &[&Row], server: usize) -> Vec<Silence> {
    let mut found = Vec::new();
    for (ready_from, ready_until) in &result.servers[server].ready_spans {
        let end = (*ready_until).min(result.measured_until);
        let mut from = result.measured_from.max(ready_from.saturating_add(SETTLING_TIME));
        for row in rows {
            if row.first_byte_at > from {
                found.push(Silence { from, until: row.first_byte_at.min(end) });
            }
            let held_until = if row.outcome == RpcOutcome::Open { Nanos::MAX } else { row.finished_at };
            from = from.max(held_until);
        }
        found.push(Silence { from, until: end });
    }
    found.retain(|silence| silence.until.saturating_sub(silence.from) > MAX_SILENCE + TRANSPORT_SLACK);
    found
}

/// The mean number of RPCs that the other servers of the zone got, those that were ready all the time; 0 without any.
fn mean_peer_rpcs(
    scenario: &Scenario,
    result: &RunResult,
    rows: &[Vec<&Row>],
    server: usize,
    silence: Silence,
) -> f64 {
    let zone_count = scenario.zones.len();
    let was_ready = |peer: &usize| {
        let mut spans = result.servers[*peer].ready_spans.iter();
        spans.any(|span| span.0 <= silence.from && span.1 >= silence.until)
    };
    let peers: Vec<usize> = (0..rows.len())
        .filter(|peer| *peer != server && peer % zone_count == server % zone_count && was_ready(peer))
        .collect();
    let in_silence = |row: &&&Row| row.first_byte_at >= silence.from && row.first_byte_at < silence.until;
    let received: usize = peers.iter().map(|peer| rows[*peer].iter().filter(in_silence).count()).sum();
    received as f64 / peers.len().max(1) as f64
}

/// Whether all slow and failed RPCs that gateways may remember came shortly before the silence.
fn was_healthy(rows: &[&Row], silence: Silence, slow_from: Nanos) -> bool {
    let remembered = rows.iter().filter(|row| {
        row.first_byte_at < silence.from && row.finished_at.saturating_add(MEMORY) > silence.from
    });
    let is_bad = |row: &&&Row| {
        row.outcome != RpcOutcome::Served || row.finished_at.saturating_sub(row.first_byte_at) > slow_from
    };
    let first_bad = remembered.filter(is_bad).map(|row| row.first_byte_at).min();
    first_bad.is_none_or(|at| silence.from - at <= MAX_DISTURBANCE + TRANSPORT_SLACK)
}

fn median_service_time(rows: &[Row]) -> Nanos {
    let served = rows.iter().filter(|row| row.outcome == RpcOutcome::Served);
    let mut times: Vec<Nanos> = served.map(|row| row.finished_at.saturating_sub(row.first_byte_at)).collect();
    times.sort_unstable();
    times.get(times.len() / 2).copied().unwrap_or(0)
}
