//! Runs a scenario: starts the stand-ins and the gateway processes, injects the faults at their times, and collects the
//! records of the servers and the load generator together with the gateways' log lines. Every process that is started
//! here is also terminated here.

mod gateways;
mod links;
mod script;
mod servers;
mod steps;

use crate::load_generator::{ClientRpc, Customer, LoadGenerator, LoadProfile, Method};
use crate::measure::ServerHistory;
use crate::scenario::Scenario;
use crate::{MS, Nanos, SEC, Stream, loopback, nanos, stream_rng};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use rustix::process::Signal;
use script::TimedStep;
use standins::counter::Counter;
use standins::discovery::{Discovery, Entry};
use standins::process::Program;
use standins::reactor::{Clock, Handle};
use standins::relay::Relays;
use standins::servers::{Row, Servers};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

/// Time limit for the whole fleet to become ready.
const READY_TIMEOUT: Nanos = 60 * SEC;
/// How long RPCs may still be answered after the last arrival, and how long a gateway may take to exit.
const DRAIN_TIMEOUT: Nanos = 8 * SEC;
/// The memory limit in every gateway's configuration.
const MEMORY_LIMIT_MB: u32 = 64;

/// The records of one run.
pub struct RunResult {
    /// Start of the measured part of the run.
    pub measured_from: Nanos,
    /// End of the measured part of the run.
    pub measured_until: Nanos,
    /// When the first fault began, if the scenario has any.
    pub first_fault_at: Option<Nanos>,
    /// RPCs as the servers recorded them, one row per attempt.
    pub server_rpcs: Vec<Row>,
    /// Samples of the number of open connections of each server, with their times.
    pub open_connections: Vec<(Nanos, Vec<u32>)>,
    /// RPCs as the clients recorded them.
    pub client_rpcs: Vec<ClientRpc>,
    /// Answers that arrived when no RPC was waiting for one.
    pub unexpected_answers: u64,
    /// Each server's weight and the times when it was ready.
    pub servers: Vec<ServerHistory>,
    /// Names of the RPC classes, indexed by [`ClientRpc::method`], and whether an RPC of the class may run more than once.
    pub methods: Vec<(String, bool)>,
    /// How many times each gateway was started.
    pub starts: Vec<usize>,
    /// Each gateway's log lines after the one that reports the start, over all its processes.
    pub log_lines: Vec<Vec<String>>,
    /// Gateways that exited without SIGTERM, exited with a non-zero status after it, or did not exit in time.
    pub crashed: Vec<String>,
    /// Gateways that a fault killed with SIGKILL, and when.
    pub killed: Vec<(usize, Nanos)>,
    /// Every change of discovery's list.
    pub list_changes: Vec<ListChange>,
    /// How many times each kind of step was executed.
    pub step_counts: BTreeMap<String, usize>,
    /// RPCs that clients resent because the gateway closed the connection while the request was in flight.
    pub resent_rpcs: u64,
    /// How often servers sent data behind their answers.
    pub late_data_sent: u64,
    /// How often servers lagged too much to send data behind their answers.
    pub late_data_overdue: u64,
    /// Calls that the counter received.
    pub counter_calls: u64,
    /// Bytes of the lines in which discovery sent lists or changes to gateways.
    pub list_bytes: u64,
}

/// A change of discovery's list.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// Index of the server.
    pub server: usize,
    /// When discovery received the change.
    pub at: Nanos,
    /// Whether new work may be sent to the server from then on.
    pub ready: bool,
}

struct Gateway {
    number: usize,
    /// The fleet size in this gateway's configuration.
    fleet_size: usize,
    discovery: SocketAddr,
    counter: SocketAddr,
    listen: SocketAddr,
    /// Where it sends datagrams that are meant for all other gateways.
    broadcast_address: SocketAddr,
    /// The version of the settings in its configuration, and when that version takes effect (Unix time, ms).
    version: u64,
    version_starts_ms: u64,
    program: Option<Program>,
    /// When the running process first received SIGTERM.
    term_sent_at: Option<Nanos>,
    starts: usize,
    log_lines: Vec<String>,
}

struct Fleet<'a> {
    scenario: &'a Scenario,
    program: &'a Path,
    clock: Clock,
    servers: Handle<Servers>,
    discovery: Handle<Discovery>,
    counter: Handle<Counter>,
    relays: Handle<Relays>,
    load_generator: Handle<LoadGenerator>,
    gateways: Vec<Gateway>,
    /// The servers as discovery lists them.
    entries: Vec<Entry>,
    server_histories: Vec<ServerHistory>,
    /// Relay links by the faults that they apply and the peer that they lead to.
    links: BTreeMap<(Vec<usize>, String), (usize, SocketAddr)>,
    /// The links of each fault.
    links_by_fault: BTreeMap<usize, Vec<usize>>,
    seed_rng: ChaCha8Rng,
    counter_address: SocketAddr,
    servers_address: IpAddr,
    crashed: Vec<String>,
    killed: Vec<(usize, Nanos)>,
    list_changes: Vec<ListChange>,
    step_counts: BTreeMap<String, usize>,
}

/// Runs a scenario with gateways of this program.
pub fn run_scenario(scenario: &Scenario, program: &Path) -> Result<RunResult, String> {
    let setup_error = |e: std::io::Error| format!("can't set up the stand-ins: {e}");
    let mut fleet = Fleet::new(scenario, program).map_err(setup_error)?;
    let all: Vec<usize> = (0..scenario.gateways).collect();
    for number in &all {
        fleet.add_gateway(*number, scenario.gateways).map_err(setup_error)?;
    }
    fleet.start_gateways(&all)?;
    fleet.wait_until_ready(all.len())?;
    let start = fleet.clock.now();
    fleet.load_generator.with(|generator, io| generator.set_running(io, true));
    let from = start + nanos(scenario.warm_seconds);
    let to = from + nanos(scenario.seconds);
    let mut fault_rng = stream_rng(scenario.seed, Stream::Script);
    let mut steps: Vec<TimedStep> = Vec::new();
    for (number, fault) in scenario.faults.iter().enumerate() {
        let planned = fleet.plan_steps(fault, number, &mut fault_rng).into_iter();
        steps.extend(planned.map(|step| TimedStep { at: from + step.at, ..step }));
    }
    // A step may schedule a follow-up step, such as the removal of a drained server. The sort is stable: steps at the
    // same time keep their order.
    while !steps.is_empty() {
        steps.sort_by_key(|step| step.at);
        let next = steps.remove(0);
        if next.at >= to {
            break;
        }
        fleet.sleep_until(next.at);
        fleet.count_step(&next.step);
        steps.extend(fleet.execute(next.step)?);
    }
    fleet.sleep_until(to);
    fleet.load_generator.with(|generator, io| generator.set_running(io, false));
    let until = fleet.clock.now() + DRAIN_TIMEOUT;
    while fleet.load_generator.with(|generator, _| generator.open_rpcs()) > 0 && fleet.clock.now() < until {
        fleet.sleep_until(fleet.clock.now() + 50 * MS);
    }
    Ok(fleet.finish(from, to))
}

impl<'a> Fleet<'a> {
    fn new(scenario: &'a Scenario, program: &'a Path) -> std::io::Result<Fleet<'a>> {
        let clock = Clock::start();
        let seed = scenario.seed;
        let methods = scenario.load.methods.iter().map(|method| Method {
            name: method.name.clone(),
            idempotency: scenario.idempotency(&method.name),
            deadline: nanos(scenario.deadline(&method.name)),
            share: method.share,
            units: method.units,
        });
        let profile = LoadProfile {
            rate: scenario.load.rate * scenario.gateways as f64,
            plan: scenario.load.plan.clone(),
            methods: methods.collect(),
            customers: draw_customers(scenario, scenario.gateways),
            detection_delay: nanos(scenario.load.notice),
            behaviour: scenario.load.behaviour(),
        };
        let mut fleet = Fleet {
            scenario,
            program,
            clock,
            servers: Handle::start(Servers::new(stream_rng(seed, Stream::Servers)), clock)?,
            discovery: Handle::start(Discovery::default(), clock)?,
            counter: Handle::start(Counter::new(nanos(scenario.counter.cost_us / 1e6)), clock)?,
            relays: Handle::start(Relays::new(stream_rng(seed, Stream::Links)), clock)?,
            load_generator: Handle::start(
                LoadGenerator::new(profile, stream_rng(seed, Stream::Arrivals)),
                clock,
            )?,
            gateways: Vec::new(),
            entries: Vec::new(),
            server_histories: Vec::new(),
            links: BTreeMap::new(),
            links_by_fault: BTreeMap::new(),
            seed_rng: stream_rng(seed, Stream::Seeds),
            crashed: Vec::new(),
            killed: Vec::new(),
            list_changes: Vec::new(),
            step_counts: BTreeMap::new(),
            counter_address: loopback::COUNTER,
            servers_address: loopback::next_server_address(),
        };
        fleet.counter_address = fleet.counter.with(|counter, io| counter.listen(io, loopback::COUNTER))?;
        for group in &scenario.servers {
            for _ in 0..group.count {
                let number = fleet.add_server(group, true)?;
                fleet.set_status(number, "ready");
            }
        }
        Ok(fleet)
    }

    fn wait_until_ready(&mut self, count: usize) -> Result<(), String> {
        let deadline = self.clock.now() + READY_TIMEOUT;
        while self.load_generator.with(|generator, _| generator.admitted_gateways()) < count {
            if self.clock.now() > deadline {
                let ready = self.load_generator.with(|generator, _| generator.admitted_gateways());
                return Err(format!("only {ready} of {count} gateways became ready within a minute"));
            }
            self.sleep_until(self.clock.now() + 20 * MS);
        }
        Ok(())
    }

    fn sleep_until(&self, at: Nanos) {
        std::thread::sleep(Duration::from_nanos(at.saturating_sub(self.clock.now())));
    }

    fn finish(mut self, from: Nanos, to: Nanos) -> RunResult {
        for gateway in 0..self.gateways.len() {
            let gateway_state = &mut self.gateways[gateway];
            if let Some(program) = &mut gateway_state.program {
                let term_sent = gateway_state.term_sent_at.is_some();
                if let Some(status) = program.exit_status().filter(|status| !(term_sent && status.success()))
                {
                    self.crashed.push(format!("n{} exited by itself with {status:?}", gateway_state.number));
                } else if program.exit_status().is_none() {
                    let _ = program.send_signal(Signal::TERM);
                }
            }
        }
        (0..self.gateways.len()).for_each(|gateway| self.wait_for_exit(gateway, true));
        let (server_rpcs, open_connections) = self.servers.with(|servers, _| {
            (std::mem::take(&mut servers.ledger), std::mem::take(&mut servers.connection_samples))
        });
        let (client_rpcs, unexpected_answers, resent_rpcs) = self.load_generator.with(|generator, _| {
            (std::mem::take(&mut generator.rpcs), generator.unexpected_answers, generator.resent_rpcs)
        });
        let classes = self.scenario.load.methods.iter();
        let first_fault = self.scenario.faults.iter().map(|fault| nanos(fault.at())).min();
        RunResult {
            measured_from: from,
            measured_until: to,
            first_fault_at: first_fault.map(|at| from + at),
            server_rpcs,
            open_connections,
            client_rpcs,
            unexpected_answers,
            servers: self.server_histories,
            methods: classes
                .map(|method| (method.name.clone(), self.scenario.idempotency(&method.name) == "free"))
                .collect(),
            starts: self.gateways.iter().map(|gateway| gateway.starts).collect(),
            log_lines: self.gateways.into_iter().map(|gateway| gateway.log_lines).collect(),
            crashed: self.crashed,
            killed: self.killed,
            list_changes: self.list_changes,
            step_counts: self.step_counts,
            resent_rpcs,
            late_data_sent: self.servers.with(|servers, _| servers.late_data_sent),
            late_data_overdue: self.servers.with(|servers, _| servers.late_data_overdue),
            counter_calls: self.counter.with(|counter, _| counter.calls),
            list_bytes: self.discovery.with(|discovery, _| discovery.list_bytes_sent),
        }
    }
}

/// Draws the customers' shares of the load and the gateways that each of them uses.
fn draw_customers(scenario: &Scenario, gateways: usize) -> Vec<Customer> {
    let mut rng = stream_rng(scenario.seed, Stream::Arrivals);
    let shares = LogNormal::new(0.0, scenario.load.skew.max(0.0)).ok();
    let draw_customer = |_| Customer {
        share: shares.map_or(1.0, |shares| shares.sample(&mut rng)),
        first_gateway: rng.random_range(0..gateways),
        gateway_count: scenario.load.width,
    };
    (0..scenario.load.customers).map(draw_customer).collect()
}
