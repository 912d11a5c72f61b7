//! Plays a scenario: starts the stand-ins and the processes, runs the script of faults against the clock, and brings
//! back what the servers, the front and the log lines hold. Every process started here is ended here.

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
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// How long the whole fleet may take to become ready.
const READY_WITHIN: Nanos = 60 * SEC;
/// How long RPCs may still be answered after the last arrival, and a gateway may take to end.
const LINGER: Nanos = 8 * SEC;
/// The limit of memory that every gateway is told.
const MEMORY_MB: u32 = 64;

/// What a run brought.
pub struct RunResult {
    /// From the first measured arrival to the last.
    pub measured_from: Nanos,
    /// The last measured arrival.
    pub measured_until: Nanos,
    /// When the first fault began, if there was one.
    pub first_fault_at: Option<Nanos>,
    /// RPCs as the servers had them.
    pub server_rpcs: Vec<Row>,
    /// When, and the open connections of each server.
    pub open_connections: Vec<(Nanos, Vec<u32>)>,
    /// RPCs as the clients saw them.
    pub client_rpcs: Vec<ClientRpc>,
    /// Answers that no RPC waited for.
    pub unexpected_answers: u64,
    /// Each server's weight, and when it was ready.
    pub servers: Vec<ServerHistory>,
    /// Names of the classes, as `Call::method` counts them, and whether each may run twice.
    pub methods: Vec<(String, bool)>,
    /// How often each gateway was started, and its log lines behind the one that says so, all its lives together.
    pub starts: Vec<usize>,
    /// Each gateway's log lines.
    pub log_lines: Vec<Vec<String>>,
    /// Gateways that ended unasked, not with 0 after SIGTERM, or not in their time.
    pub crashed: Vec<String>,
    /// Gateways that a fault killed, and when.
    pub killed: Vec<(usize, Nanos)>,
    /// Every change of the list: the server, when, and whether it is ready from then on.
    pub list_changes: Vec<ListChange>,
    /// How often each kind of step was carried out.
    pub step_counts: BTreeMap<String, usize>,
    /// RPCs that clients sent once more, since their connection was closed as they crossed.
    pub resent_rpcs: u64,
    /// Calls that the counter got.
    pub counter_calls: u64,
    /// Bytes of the lines that told gateways lists or changes.
    pub list_bytes: u64,
}

/// A change of discovery's list.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// The server.
    pub server: usize,
    /// When discovery had it.
    pub at: Nanos,
    /// Whether new work may go there from then on.
    pub ready: bool,
}

struct Gateway {
    number: usize,
    /// Of the fleet as this gateway is told.
    fleet: usize,
    discovery: SocketAddr,
    counter: SocketAddr,
    listen: SocketAddr,
    /// Where it sends what all others are to hear; the version it is told, and when that starts (Unix ms).
    all: SocketAddr,
    version: u64,
    starts_ms: u64,
    program: Option<Program>,
    /// When this process was told to end first.
    told_to_end: Option<Nanos>,
    starts: usize,
    lines: Vec<String>,
}

struct Fleet<'a> {
    scenario: &'a Scenario,
    program: &'a Path,
    clock: Clock,
    servers: Handle<Servers>,
    discovery: Handle<Discovery>,
    counter: Handle<Counter>,
    relays: Handle<Relays>,
    front: Handle<LoadGenerator>,
    gateways: Vec<Gateway>,
    /// As discovery lists them, and since when each has been ready.
    listed: Vec<Entry>,
    weights: Vec<ServerHistory>,
    /// Links by the faults that they stand for and whom they lead to, and the links of each fault.
    links: BTreeMap<(Vec<usize>, String), (usize, SocketAddr)>,
    links_of: BTreeMap<usize, Vec<usize>>,
    seeds: ChaCha8Rng,
    at_counter: SocketAddr,
    servers_at: SocketAddr,
    crashed: Vec<String>,
    killed: Vec<(usize, Nanos)>,
    list_changes: Vec<ListChange>,
    steps_done: BTreeMap<String, usize>,
}

/// Plays a scenario with this program.
pub fn run_scenario(scenario: &Scenario, program: &Path) -> Result<RunResult, String> {
    let fail = |e: std::io::Error| format!("can't set the stand-ins up: {e}");
    let mut fleet = Fleet::set_up(scenario, program).map_err(fail)?;
    let all: Vec<usize> = (0..scenario.gateways).collect();
    for number in &all {
        fleet.add_gateway(*number, scenario.gateways).map_err(fail)?;
    }
    fleet.start(&all)?;
    fleet.wait_ready(all.len())?;
    let start = fleet.clock.now();
    fleet.front.with(|front, io| front.set_running(io, true));
    let from = start + nanos(scenario.warm_seconds);
    let to = from + nanos(scenario.seconds);
    let mut draws = stream_rng(scenario.seed, Stream::Script);
    let mut steps: Vec<TimedStep> = Vec::new();
    for (number, fault) in scenario.faults.iter().enumerate() {
        let planned = fleet.steps(fault, number, &mut draws).into_iter();
        steps.extend(planned.map(|step| TimedStep { at: from + step.at, ..step }));
    }
    // What a step puts off (a drained server that goes) joins the queue; equal times keep their order.
    while !steps.is_empty() {
        steps.sort_by_key(|step| step.at);
        let next = steps.remove(0);
        if next.at >= to {
            break;
        }
        fleet.sleep_until(next.at);
        fleet.count_step(&next.step);
        steps.extend(fleet.carry_out(next.step)?);
    }
    fleet.sleep_until(to);
    fleet.front.with(|front, io| front.set_running(io, false));
    let until = fleet.clock.now() + LINGER;
    while fleet.front.with(|front, _| front.open_rpcs()) > 0 && fleet.clock.now() < until {
        fleet.sleep_until(fleet.clock.now() + 50 * MS);
    }
    Ok(fleet.finish(from, to))
}

impl<'a> Fleet<'a> {
    fn set_up(scenario: &'a Scenario, program: &'a Path) -> std::io::Result<Fleet<'a>> {
        let clock = Clock::start();
        let seed = scenario.seed;
        let methods = scenario.load.methods.iter().map(|method| Method {
            name: method.name.clone(),
            idempotency: scenario.idempotency(&method.name),
            deadline: nanos(scenario.deadline(&method.name)),
            share: method.share,
            units: method.units,
        });
        let plan = LoadProfile {
            rate: scenario.load.rate * scenario.gateways as f64,
            plan: scenario.load.plan.clone(),
            methods: methods.collect(),
            customers: customers(scenario, scenario.gateways),
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
            front: Handle::start(LoadGenerator::new(plan, stream_rng(seed, Stream::Arrivals)), clock)?,
            gateways: Vec::new(),
            listed: Vec::new(),
            weights: Vec::new(),
            links: BTreeMap::new(),
            links_of: BTreeMap::new(),
            seeds: stream_rng(seed, Stream::Seeds),
            crashed: Vec::new(),
            killed: Vec::new(),
            list_changes: Vec::new(),
            steps_done: BTreeMap::new(),
            at_counter: loopback::COUNTER,
            servers_at: loopback::next_server_address(),
        };
        fleet.at_counter = fleet.counter.with(|counter, io| counter.listen(io, loopback::COUNTER))?;
        for group in &scenario.servers {
            for _ in 0..group.count {
                let number = fleet.add_server(group, true)?;
                fleet.list(number, "ready");
            }
        }
        Ok(fleet)
    }

    fn wait_ready(&mut self, count: usize) -> Result<(), String> {
        let until = self.clock.now() + READY_WITHIN;
        while self.front.with(|front, _| front.admitted_gateways()) < count {
            if self.clock.now() > until {
                let ready = self.front.with(|front, _| front.admitted_gateways());
                return Err(format!("only {ready} of {count} gateways were ready within a minute"));
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
            let at = &mut self.gateways[gateway];
            if let Some(program) = &mut at.program {
                let asked = at.told_to_end.is_some();
                if let Some(how) = program.exit_status().filter(|how| !(asked && how.success())) {
                    self.crashed.push(format!("n{} ended by itself with {how:?}", at.number));
                } else if program.exit_status().is_none() {
                    let _ = program.send_signal(Signal::TERM);
                }
            }
        }
        (0..self.gateways.len()).for_each(|gateway| self.end(gateway, true));
        let (ledger, connections) = self.servers.with(|servers, _| {
            (std::mem::take(&mut servers.ledger), std::mem::take(&mut servers.connection_samples))
        });
        let (calls, extra_answers, sent_again) = self
            .front
            .with(|front, _| (std::mem::take(&mut front.rpcs), front.unexpected_answers, front.resent_rpcs));
        let classes = self.scenario.load.methods.iter();
        let first = self.scenario.faults.iter().map(|fault| nanos(fault.at())).min();
        RunResult {
            measured_from: from,
            measured_until: to,
            first_fault_at: first.map(|at| from + at),
            server_rpcs: ledger,
            open_connections: connections,
            client_rpcs: calls,
            unexpected_answers: extra_answers,
            servers: self.weights,
            methods: classes
                .map(|method| (method.name.clone(), self.scenario.idempotency(&method.name) == "free"))
                .collect(),
            starts: self.gateways.iter().map(|gateway| gateway.starts).collect(),
            log_lines: self.gateways.into_iter().map(|gateway| gateway.lines).collect(),
            crashed: self.crashed,
            killed: self.killed,
            list_changes: self.list_changes,
            step_counts: self.steps_done,
            resent_rpcs: sent_again,
            counter_calls: self.counter.with(|counter, _| counter.calls),
            list_bytes: self.discovery.with(|discovery, _| discovery.list_bytes_sent),
        }
    }
}

/// Customers with shares drawn by the seed, their sets spread round the fleet.
fn customers(scenario: &Scenario, gateways: usize) -> Vec<Customer> {
    let mut draws = stream_rng(scenario.seed, Stream::Arrivals);
    let shares = LogNormal::new(0.0, scenario.load.skew.max(0.0)).ok();
    let one = |_| Customer {
        share: shares.map_or(1.0, |shares| shares.sample(&mut draws)),
        first_gateway: draws.random_range(0..gateways),
        gateway_count: scenario.load.width,
    };
    (0..scenario.load.customers).map(one).collect()
}
