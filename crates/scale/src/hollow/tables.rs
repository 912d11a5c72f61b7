//! Result tables of a run. All except `processor.csv` depend only on the emulated clock, so they are identical for the same
//! scenario and seed.

use super::discovery::Status;
use super::fleet::Fleet;
use super::stats::{PropagationDelays, WorkKind};
use super::traffic::{ControlLoad, Direction, Peer, Tally};
use super::{Nanos, SEC};
use crate::ScaleError;
use rig::measure::{Quantity, ServerHistory, Spread, WindowSeries};
use serde::Serialize;
use std::path::Path;

/// Width of the windows over which the spread of RPCs over servers is measured.
const SPREAD_WINDOW: u64 = 5 * SEC;

/// Parameters of a run, and counters over its measured part.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunRow {
    pub scenario: String,
    pub seed: u64,
    pub seconds: f64,
    /// Size of the fleet.
    pub gateways: usize,
    #[serde(rename = "played")]
    pub simulated_gateways: usize,
    /// Factor by which figures of the simulated gateways are scaled up to the whole fleet.
    #[serde(rename = "multiplied_by")]
    pub scale_factor: f64,
    pub servers: usize,
    pub services: usize,
    #[serde(rename = "services_met")]
    pub services_per_gateway: usize,
    #[serde(rename = "servers_told")]
    pub servers_per_gateway: usize,
    pub zones: usize,
    pub regions: usize,
    pub tenants: usize,
    #[serde(rename = "tenants_played")]
    pub simulated_tenants: usize,
    pub rate: f64,
    pub rpcs: u64,
    pub ok: u64,
    #[serde(rename = "pushed_back")]
    pub rejected: u64,
    pub aborted: u64,
    #[serde(rename = "cut")]
    pub lost: u64,
    #[serde(rename = "call_outs")]
    pub attempts: u64,
    #[serde(rename = "count_calls")]
    pub counter_calls: u64,
    #[serde(rename = "count_calls_per_rpc")]
    pub counter_calls_per_rpc: f64,
    /// Number of names that the counter holds at the end.
    pub counter_names: usize,
    pub list_changes: u64,
    /// Mean bytes of list snapshots and updates that a simulated gateway received.
    #[serde(rename = "list_bytes_each")]
    pub list_bytes_per_gateway: f64,
    pub versions: u64,
    pub watch_requests: u64,
    pub watches_broken: u64,
    /// Number of RPCs at the busiest server divided by the mean, as the median over windows of 5 s; 0 if only a sample of the
    /// fleet is simulated or the run is too large to keep every served attempt.
    pub server_peak: f64,
    /// The same for the least busy server.
    pub server_least: f64,
}

/// Delays until changes of one kind were in force at gateways.
#[derive(Clone, Debug, Serialize)]
pub struct PropagationRow {
    pub what: &'static str,
    /// Number of pairs of a change and a gateway where the change came into force.
    #[serde(rename = "reached")]
    pub applied: u64,
    /// Number of pairs where the change was not in force at the end.
    pub missing: u64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    #[serde(rename = "most_ms")]
    pub max_ms: f64,
}

/// Traffic between a gateway and one kind of peer, in one direction. Only voters send datagrams to other gateways, so sent
/// datagrams are averaged over the voters.
#[derive(Clone, Debug, Serialize)]
pub struct TrafficRow {
    pub peer: &'static str,
    pub direction: &'static str,
    /// Mean per gateway.
    pub messages_per_s: f64,
    pub bytes_per_s: f64,
    /// Mean per gateway in the second in which all gateways together had the most bytes.
    pub peak_messages_per_s: f64,
    pub peak_bytes_per_s: f64,
}

/// Load on the control machines from the whole fleet.
#[derive(Clone, Debug, Serialize)]
pub struct ControlRow {
    pub what: &'static str,
    pub machines: usize,
    /// Mean per machine.
    pub messages_per_s: f64,
    pub bytes_per_s: f64,
    /// The most messages, and separately the most bytes, of any one machine in any second.
    pub peak_messages_per_s: f64,
    pub peak_bytes_per_s: f64,
}

/// Traffic of all simulated gateways in one second of the run.
#[derive(Clone, Debug, Serialize)]
pub struct SecondRow {
    pub t_s: usize,
    pub list_bytes: u64,
    pub counter_calls: u64,
    pub counter_bytes: u64,
    pub datagrams: u64,
    pub datagram_bytes: u64,
}

/// CPU time or memory that the run used on this machine.
#[derive(Clone, Debug, Serialize)]
pub struct ProcessorRow {
    pub what: &'static str,
    pub value: f64,
    pub unit: &'static str,
}

/// All tables of a run.
#[derive(Clone, Debug)]
pub struct Tables {
    pub run: RunRow,
    pub propagation: Vec<PropagationRow>,
    pub traffic: Vec<TrafficRow>,
    pub control: Vec<ControlRow>,
    pub seconds: Vec<SecondRow>,
    pub processor: Vec<ProcessorRow>,
    /// Bytes of control traffic in the busiest second of any gateway.
    pub busiest_gateway_second: u32,
}

fn round(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}

impl Tables {
    /// Builds the tables of a fleet after its run.
    pub fn from_fleet(fleet: &Fleet) -> Tables {
        Tables {
            run: run_row(fleet),
            propagation: propagation_rows(fleet),
            traffic: traffic_rows(fleet),
            control: control_rows(fleet),
            seconds: second_rows(fleet),
            processor: processor_rows(fleet),
            busiest_gateway_second: fleet.traffic.busiest_gateway_second(),
        }
    }

    /// The tables that depend only on the scenario and seed, as file names and CSV text.
    pub fn emulated_tables(&self) -> Result<Vec<(&'static str, String)>, ScaleError> {
        Ok(vec![
            ("run.csv", csv(std::slice::from_ref(&self.run))?),
            ("in-force.csv", csv(&self.propagation)?),
            ("traffic.csv", csv(&self.traffic)?),
            ("control.csv", csv(&self.control)?),
            ("seconds.csv", csv(&self.seconds)?),
        ])
    }

    /// Writes all tables into a folder.
    pub fn write(&self, folder: &Path) -> Result<(), ScaleError> {
        std::fs::create_dir_all(folder).map_err(|why| ScaleError::file(folder, why))?;
        let mut all = self.emulated_tables()?;
        all.push(("processor.csv", csv(&self.processor)?));
        for (name, text) in all {
            let file = folder.join(name);
            std::fs::write(&file, text).map_err(|why| ScaleError::file(&file, why))?;
        }
        Ok(())
    }

    /// A human-readable summary of the figures.
    pub fn summary(&self) -> String {
        let run = &self.run;
        let mut text = format!(
            "{}: {} of {} gateways simulated (fleet figures scaled by {:.1}), {} servers in {} services, {} per gateway\n\
             {} RPCs: {} ok, {} rejected, {} aborted, {} lost; {} attempts, {:.3} counter calls per RPC; \
             busiest server {:.2}, least busy {:.2} times the mean\n\
             {} list changes, {} versions, {} watch requests\n",
            run.scenario,
            run.simulated_gateways,
            run.gateways,
            run.scale_factor,
            run.servers,
            run.services,
            run.servers_per_gateway,
            run.rpcs,
            run.ok,
            run.rejected,
            run.aborted,
            run.lost,
            run.attempts,
            run.counter_calls_per_rpc,
            run.server_peak,
            run.server_least,
            run.list_changes,
            run.versions,
            run.watch_requests
        );
        for row in &self.propagation {
            text += &format!(
                "in force, {}: p50 {:.0} ms, p99 {:.0} ms, max {:.0} ms; {} applied, {} missing\n",
                row.what, row.p50_ms, row.p99_ms, row.max_ms, row.applied, row.missing
            );
        }
        for row in &self.traffic {
            text += &format!(
                "per gateway, {} {}: {:.2} messages/s, {:.0} B/s; in the peak second {:.1} messages, {:.0} B\n",
                row.peer,
                row.direction,
                row.messages_per_s,
                row.bytes_per_s,
                row.peak_messages_per_s,
                row.peak_bytes_per_s
            );
        }
        text += &format!("busiest second of any gateway: {} B\n", self.busiest_gateway_second);
        for row in &self.control {
            text += &format!(
                "per machine of {} control machines, {}: {:.0} messages/s, {:.0} B/s; \
                 in the peak second {:.0} messages, {:.0} B\n",
                row.machines,
                row.what,
                row.messages_per_s,
                row.bytes_per_s,
                row.peak_messages_per_s,
                row.peak_bytes_per_s
            );
        }
        for row in &self.processor {
            text += &format!("{}: {} {}\n", row.what, row.value, row.unit);
        }
        text
    }
}

/// Serializes rows as CSV with a header line.
fn csv<Row: Serialize>(rows: &[Row]) -> Result<String, ScaleError> {
    let csv_error = |why: String| ScaleError::Measurement { what: "table".to_string(), why };
    let mut writer = csv::Writer::from_writer(Vec::new());
    for row in rows {
        writer.serialize(row).map_err(|why| csv_error(why.to_string()))?;
    }
    let bytes = writer.into_inner().map_err(|why| csv_error(why.to_string()))?;
    String::from_utf8(bytes).map_err(|why| csv_error(why.to_string()))
}

fn run_row(fleet: &Fleet) -> RunRow {
    let (scenario, counts) = (fleet.scenario, fleet.counts);
    let spread = spread(fleet).unwrap_or_default();
    RunRow {
        scenario: scenario.name.clone(),
        seed: scenario.seed,
        seconds: scenario.seconds,
        gateways: scenario.gateways,
        simulated_gateways: scenario.simulated_gateways(),
        scale_factor: round(scenario.scale_factor()),
        servers: scenario.servers,
        services: scenario.services,
        services_per_gateway: scenario.services_per_gateway(),
        servers_per_gateway: scenario.servers_per_gateway(),
        zones: scenario.zones,
        regions: scenario.regions,
        tenants: scenario.tenants,
        simulated_tenants: scenario.simulated_tenants(),
        rate: scenario.rate,
        rpcs: counts.rpcs,
        ok: counts.ok,
        rejected: counts.rejected,
        aborted: counts.aborted,
        lost: counts.lost,
        attempts: counts.attempts,
        counter_calls: counts.counter_calls,
        counter_calls_per_rpc: round(counts.counter_calls as f64 / counts.rpcs.max(1) as f64),
        counter_names: fleet.counter.name_count(),
        list_changes: counts.list_changes,
        list_bytes_per_gateway: round(counts.list_bytes as f64 / scenario.simulated_gateways() as f64),
        versions: counts.versions,
        watch_requests: counts.watch_requests,
        watches_broken: counts.watches_broken,
        server_peak: round(spread.peak),
        server_least: round(spread.least),
    }
}

/// All servers, each with the time spans in which it was listed as ready.
fn ready_servers(fleet: &Fleet) -> Vec<ServerHistory> {
    let listed_at_start = |server: usize| server < fleet.scenario.servers;
    let initial = |server| if listed_at_start(server) { vec![(0, Nanos::MAX)] } else { Vec::new() };
    let all = 0..fleet.scenario.total_servers();
    let mut servers: Vec<ServerHistory> =
        all.map(|server| ServerHistory { weight: 1.0, ready_spans: initial(server) }).collect();
    for change in &fleet.discovery.changes {
        let spans = &mut servers[change.server as usize].ready_spans;
        let open = spans.last_mut().filter(|span| span.1 == Nanos::MAX);
        match (open, change.status) {
            (None, Status::Ready) => spans.push((change.at, Nanos::MAX)),
            (Some(span), Status::Draining | Status::Gone) => span.1 = change.at,
            _ => {}
        }
    }
    servers
}

/// How evenly RPCs were spread over the servers that were ready throughout a window, measured as in the rig.
fn spread(fleet: &Fleet) -> Option<Spread> {
    let served_attempts = fleet.load.served_attempts.as_ref()?;
    let (from, to) = (fleet.measured.from, fleet.measured.from + fleet.measured.seconds as u64 * SEC);
    let servers = ready_servers(fleet);
    let windows =
        WindowSeries { from, to, width: SPREAD_WINDOW }.windows(&servers, served_attempts, Quantity::Rpcs);
    Some(Spread::of(&windows))
}

fn propagation_rows(fleet: &Fleet) -> Vec<PropagationRow> {
    let row = |what, propagation: &PropagationDelays, missing| PropagationRow {
        what,
        applied: propagation.delays.len(),
        missing,
        p50_ms: round(propagation.quantile_ms(0.5)),
        p99_ms: round(propagation.quantile_ms(0.99)),
        max_ms: round(propagation.max_ms()),
    };
    let undelivered = fleet.discovery.undelivered_changes(fleet.measured.from) as u64;
    vec![
        row("list", &fleet.lists_in_force, undelivered),
        row("version", &fleet.versions_in_force, fleet.versions_not_in_force()),
    ]
}

fn traffic_rows(fleet: &Fleet) -> Vec<TrafficRow> {
    let voters = fleet.scenario.agreement.as_ref().map_or(1, |terms| terms.voters);
    let seconds = fleet.measured.seconds;
    let mut rows = Vec::new();
    for peer in Peer::ALL {
        for direction in Direction::ALL {
            let total = fleet.traffic.total(peer, direction);
            let only_voters = (peer, direction) == (Peer::Gateways, Direction::Sent);
            let gateways = if only_voters { voters } else { fleet.scenario.simulated_gateways() } as f64;
            let all = (0..seconds).map(|second| fleet.traffic.in_second(second, peer, direction));
            let peak = all.max_by_key(|tally| tally.bytes).unwrap_or_default();
            let per_gateway = |count: u64| round(count as f64 / gateways);
            rows.push(TrafficRow {
                peer: peer.name(),
                direction: direction.name(),
                messages_per_s: round(total.messages as f64 / gateways / seconds as f64),
                bytes_per_s: round(total.bytes as f64 / gateways / seconds as f64),
                peak_messages_per_s: per_gateway(peak.messages),
                peak_bytes_per_s: per_gateway(peak.bytes),
            });
        }
    }
    rows
}

fn control_rows(fleet: &Fleet) -> Vec<ControlRow> {
    let (machines, scale) = (fleet.scenario.control_machines, fleet.scenario.scale_factor());
    let machine_seconds = (machines * fleet.measured.seconds) as f64;
    let row = |what, load: &ControlLoad| {
        let (total, peak): (Tally, Tally) = (load.total(), load.busiest_second());
        ControlRow {
            what,
            machines,
            messages_per_s: round(total.messages as f64 * scale / machine_seconds),
            bytes_per_s: round(total.bytes as f64 * scale / machine_seconds),
            peak_messages_per_s: round(peak.messages as f64 * scale),
            peak_bytes_per_s: round(peak.bytes as f64 * scale),
        }
    };
    vec![
        row("discovery", &fleet.control.discovery),
        row("counter", &fleet.control.counter),
        row("datagrams", &fleet.control.datagrams),
    ]
}

fn second_rows(fleet: &Fleet) -> Vec<SecondRow> {
    let row = |second: usize| {
        let tally = |peer, direction| fleet.traffic.in_second(second, peer, direction);
        let bytes = |peer| tally(peer, Direction::Sent).bytes + tally(peer, Direction::Received).bytes;
        SecondRow {
            t_s: second,
            list_bytes: bytes(Peer::Discovery),
            counter_calls: tally(Peer::Counter, Direction::Sent).messages,
            counter_bytes: bytes(Peer::Counter),
            datagrams: tally(Peer::Gateways, Direction::Received).messages,
            datagram_bytes: bytes(Peer::Gateways),
        }
    };
    (0..fleet.measured.seconds).map(row).collect()
}

fn processor_rows(fleet: &Fleet) -> Vec<ProcessorRow> {
    let percent = |value: f64| round(100.0 * value);
    let milliseconds = |nanos: u64| round(nanos as f64 / 1e6);
    let megabytes = |bytes: u64| round(bytes as f64 / (1 << 20) as f64);
    let row = |what, value, unit| ProcessorRow { what, value, unit };
    let names =
        ["a gateway on lists", "a gateway on the counter", "a gateway on the agreement", "a gateway on RPCs"];
    let mut rows: Vec<ProcessorRow> = WorkKind::ALL
        .into_iter()
        .zip(names)
        .map(|(work, name)| row(name, percent(fleet.processor.core_share(work)), "% of a core"))
        .collect();
    let busiest = |quantile| percent(fleet.processor.busiest_second(quantile));
    rows.push(row("control in its busiest second, gateway at p50", busiest(0.5), "% of a core"));
    rows.push(row("control in its busiest second, gateway at p99", busiest(0.99), "% of a core"));
    rows.push(row("control in its busiest second, worst gateway", busiest(1.0), "% of a core"));
    let changes = &fleet.processor.list_changes;
    rows.push(row("a line of the list, p50", milliseconds(changes.value_at_quantile(0.5)), "ms"));
    rows.push(row("a line of the list, p99", milliseconds(changes.value_at_quantile(0.99)), "ms"));
    rows.push(row("a line of the list, at most", milliseconds(changes.max()), "ms"));
    let memory = fleet.memory;
    let per_gateway = |bytes: u64| megabytes(bytes / fleet.scenario.simulated_gateways() as u64);
    rows.push(row("held a gateway, once started", per_gateway(memory.after_start), "MB"));
    rows.push(row("held a gateway, at the end", per_gateway(memory.at_end), "MB"));
    rows.push(row("peak of the whole emulation", megabytes(memory.peak), "MB"));
    rows
}
