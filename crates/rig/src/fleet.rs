//! Plays a scenario: starts the stand-ins and the processes, runs the script of faults against the clock, and brings
//! back what the servers, the front and the log lines hold. Every process started here is ended here.

use crate::front::{Call, Customer, Front, Method, Plan};
use crate::measure::Server;
use crate::scenario::{Fault, Place, Scenario, Servers as Group, Wire};
use crate::{MS, Nanos, SEC, Stream, chance, nanos};
use rand::Rng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use rustix::process::Signal;
use serde_json::{Value, json};
use standins::counter::{Counter, State};
use standins::discovery::{Discovery, Entry, Mode};
use standins::process::Program;
use standins::reactor::{Clock, Handle};
use standins::relay::{Faults, Gate, Path as Way, Relays};
use standins::servers::{Health, Row, Servers, Spec};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::Duration;

/// How long the whole fleet may take to become ready.
const READY_WITHIN: Nanos = 60 * SEC;
/// How long RPCs may still be answered after the last arrival, and a gateway may take to end.
const LINGER: Nanos = 8 * SEC;
/// The limits that every gateway is told.
const SOCKETS: u32 = 1024;
const MEMORY_MB: u32 = 64;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, last], 0))
}

/// What a run brought.
pub struct Outcome {
    /// From the first measured arrival to the last.
    pub from: Nanos,
    pub to: Nanos,
    /// When the first fault began, if there was one.
    pub fault_at: Option<Nanos>,
    pub ledger: Vec<Row>,
    pub connections: Vec<(Nanos, Vec<u32>)>,
    pub calls: Vec<Call>,
    pub extra_answers: u64,
    pub servers: Vec<Server>,
    /// Names of the classes, as `Call::method` counts them, and whether each may run twice.
    pub methods: Vec<(String, bool)>,
    /// How often each gateway was started, and its log lines behind the one that says so, all its lives together.
    pub starts: Vec<usize>,
    pub lines: Vec<Vec<String>>,
    /// Gateways that ended unasked, or not with 0 after SIGTERM.
    pub crashed: Vec<String>,
    pub count_calls: u64,
    /// Bytes of the lines that told gateways lists or changes.
    pub list_bytes: u64,
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
    starts: usize,
    lines: Vec<String>,
}

/// A thing to do at a time.
enum Step {
    Signal(Vec<usize>, Signal),
    Start(Vec<usize>),
    Grow(usize, f64),
    Place,
    Replace(usize, Nanos),
    Join,
    Leave,
    Gone(usize),
    Health(Vec<usize>, Health),
    List(Vec<usize>, &'static str),
    Agents(Vec<usize>, Mode, u64),
    Counter(State),
    Empty,
    Burst(f64),
    Wire(Vec<usize>, Faults),
}

struct Fleet<'a> {
    scenario: &'a Scenario,
    program: &'a Path,
    clock: Clock,
    servers: Handle<Servers>,
    discovery: Handle<Discovery>,
    counter: Handle<Counter>,
    relays: Handle<Relays>,
    front: Handle<Front>,
    gateways: Vec<Gateway>,
    /// As discovery lists them, and since when each has been ready.
    listed: Vec<Entry>,
    weights: Vec<Server>,
    /// Links by the faults that they stand for and whom they lead to, and the links of each fault.
    links: BTreeMap<(Vec<usize>, String), (usize, SocketAddr)>,
    links_of: BTreeMap<usize, Vec<usize>>,
    seeds: ChaCha8Rng,
    at_counter: SocketAddr,
    crashed: Vec<String>,
}

/// Plays a scenario with this program.
pub fn play(scenario: &Scenario, program: &Path) -> Result<Outcome, String> {
    let fail = |e: std::io::Error| format!("can't set the stand-ins up: {e}");
    let mut fleet = Fleet::set_up(scenario, program).map_err(fail)?;
    let all: Vec<usize> = (0..scenario.gateways).collect();
    for number in &all {
        fleet.add_gateway(*number, scenario.gateways).map_err(fail)?;
    }
    fleet.start(&all)?;
    fleet.wait_ready(all.len())?;
    let start = fleet.clock.now();
    fleet.front.with(|front, io| front.run(io, true));
    let from = start + nanos(scenario.warm_seconds);
    let to = from + nanos(scenario.seconds);
    let mut draws = chance(scenario.seed, Stream::Script);
    let mut steps: Vec<(Nanos, Step)> = Vec::new();
    for (at, fault) in scenario.faults.iter().enumerate() {
        steps.extend(fleet.steps(fault, at, &mut draws).into_iter().map(|(when, step)| (from + when, step)));
    }
    // What a step puts off (a drained server that goes) joins the queue; equal times keep their order.
    while !steps.is_empty() {
        steps.sort_by_key(|step| step.0);
        let (at, step) = steps.remove(0);
        if at >= to {
            break;
        }
        fleet.sleep_until(at);
        steps.extend(fleet.carry_out(step)?);
    }
    fleet.sleep_until(to);
    fleet.front.with(|front, io| front.run(io, false));
    let until = fleet.clock.now() + LINGER;
    while fleet.front.with(|front, _| front.open()) > 0 && fleet.clock.now() < until {
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
        let plan = Plan {
            rate: scenario.load.rate * scenario.gateways as f64,
            plan: scenario.load.plan.clone(),
            methods: methods.collect(),
            customers: customers(scenario, scenario.gateways),
            notice: nanos(scenario.load.notice),
        };
        let mut fleet = Fleet {
            scenario,
            program,
            clock,
            servers: Handle::start(Servers::new(chance(seed, Stream::Servers)), clock)?,
            discovery: Handle::start(Discovery::default(), clock)?,
            counter: Handle::start(Counter::new(nanos(scenario.counter.cost_us / 1e6)), clock)?,
            relays: Handle::start(Relays::new(chance(seed, Stream::Links)), clock)?,
            front: Handle::start(Front::new(plan, chance(seed, Stream::Arrivals)), clock)?,
            gateways: Vec::new(),
            listed: Vec::new(),
            weights: Vec::new(),
            links: BTreeMap::new(),
            links_of: BTreeMap::new(),
            seeds: chance(seed, Stream::Seeds),
            crashed: Vec::new(),
            at_counter: address(6),
        };
        fleet.at_counter = fleet.counter.with(|counter, io| counter.open(io, address(6)))?;
        for group in &scenario.servers {
            for _ in 0..group.count {
                let number = fleet.add_server(group, true)?;
                fleet.list(number, "ready");
            }
        }
        Ok(fleet)
    }

    /// A server more, not yet told to anybody.
    fn add_server(&mut self, group: &Group, warm: bool) -> std::io::Result<usize> {
        let number = self.listed.len();
        let zones = &self.scenario.zones;
        let spec = Spec {
            name: format!("s{number:04}"),
            zone: group.zone.clone().unwrap_or_else(|| zones[number % zones.len()].clone()),
            weight: group.weight,
            cores: group.cores,
            queue: group.queue,
            connections: group.connections,
            service: nanos(group.service_ms / 1e3),
            spread: group.spread,
            cold_share: group.cold_share,
            cold_for: nanos(group.cold_seconds),
            reports: group.reports,
            address: address(4),
        };
        let (name, zone, weight) = (spec.name.clone(), spec.zone.clone(), spec.weight);
        let (_, at) = self.servers.with(move |servers, io| servers.add(io, spec, warm))?;
        let since_ms = if warm { 0 } else { self.clock.unix_ms(self.clock.now()) };
        self.listed.push(Entry { name, address: at, zone, status: "gone", weight, since_ms });
        self.weights.push(Server { weight, ready: Vec::new() });
        Ok(number)
    }

    /// Lists a server anew, and notes since when it is ready, or no longer.
    fn list(&mut self, number: usize, status: &'static str) {
        let entry = &mut self.listed[number];
        entry.status = status;
        let entry = entry.clone();
        self.discovery.with(move |discovery, io| discovery.change(io, entry));
        self.mark(number, status == "ready");
    }

    fn mark(&mut self, number: usize, ready: bool) {
        let (now, spans) = (self.clock.now(), &mut self.weights[number].ready);
        let open = spans.last_mut().filter(|span| span.1 == Nanos::MAX);
        match (open, ready) {
            (None, true) => spans.push((now, Nanos::MAX)),
            (Some(span), false) => span.1 = now,
            _ => {}
        }
    }

    fn zone(&self, gateway: usize) -> &str {
        &self.scenario.zones[gateway % self.scenario.zones.len()]
    }

    /// The faults whose links stand between a gateway and someone.
    fn faults_between(&self, gateway: usize, covers: impl Fn(&Place) -> bool) -> Vec<usize> {
        let is_mine = |place: &Place| match place {
            Place::Gateways(range) => range.contains(&gateway),
            Place::Zone(zone) => self.zone(gateway) == zone,
            _ => false,
        };
        let between = |fault: &Fault| match fault {
            Fault::Link { from, to, .. } => match (Place::parse(from), Place::parse(to)) {
                (Ok(Place::Front), Ok(to)) => is_mine(&to) && covers(&Place::Front),
                (Ok(from), Ok(to)) => is_mine(&from) && covers(&to),
                _ => false,
            },
            _ => false,
        };
        (0..self.scenario.faults.len()).filter(|at| between(&self.scenario.faults[*at])).collect()
    }

    /// Where to come to instead of `target`: a link that those faults are put on, shared by all who have the same.
    fn through(&mut self, faults: Vec<usize>, whom: &str, target: SocketAddr) -> std::io::Result<SocketAddr> {
        if faults.is_empty() {
            return Ok(target);
        }
        let key = (faults, whom.to_string());
        if let Some(link) = self.links.get(&key) {
            return Ok(link.1);
        }
        let link = self.relays.with(move |relays, io| relays.link(io, address(7), target))?;
        key.0.iter().for_each(|fault| self.links_of.entry(*fault).or_default().push(link.0));
        self.links.insert(key, link);
        Ok(link.1)
    }

    /// A gateway more, told that the fleet has so many; not yet started.
    fn add_gateway(&mut self, number: usize, fleet: usize) -> std::io::Result<()> {
        let mut seen_at = BTreeMap::new();
        for (server, entry) in self.listed.clone().into_iter().enumerate() {
            let faults = self.faults_between(number, |place| match place {
                Place::Servers(range) => range.contains(&server),
                Place::Zone(zone) => entry.zone == *zone,
                _ => false,
            });
            let at = self.through(faults, &entry.name, entry.address)?;
            if at != entry.address {
                seen_at.insert(entry.name, at);
            }
        }
        let agent = self.discovery.with(move |discovery, io| discovery.agent(io, address(5), seen_at))?;
        let faults = self.faults_between(number, |place| *place == Place::Discovery);
        let discovery = self.through(faults, &format!("discovery of {number}"), agent)?;
        let faults = self.faults_between(number, |place| *place == Place::Counter);
        let counter = self.through(faults, "counter", self.at_counter)?;
        let listen = address(3);
        let (_, all) = self.relays.with(|relays, io| relays.member(io, address(8)))?;
        self.gateways.push(Gateway {
            number,
            fleet,
            discovery,
            counter,
            listen,
            all,
            version: 1,
            starts_ms: 0,
            program: None,
            starts: 0,
            lines: Vec::new(),
        });
        Ok(())
    }

    fn configuration(&mut self, gateway: usize) -> String {
        let at = &self.gateways[gateway];
        let mut settings = serde_json::to_value(&self.scenario.settings).unwrap_or_default();
        let twin = self.scenario.same_number.iter().find(|pair| pair.1 == at.number);
        settings["balancers"] = json!(at.fleet);
        settings["me"] = json!(twin.map_or(at.number, |pair| pair.0));
        settings["zone"] = json!(at.number % self.scenario.zones.len());
        settings["localities"] = json!(self.scenario.zones);
        let number = at.number;
        let known = self.discovery.with(move |discovery, _| discovery.known(number));
        let mut told = json!({"name": format!("n{}", at.number), "listen": at.listen.to_string(),
            "discovery": at.discovery.to_string(), "counter": at.counter.to_string(),
            "seed": format!("{:016x}", self.seeds.random::<u64>()),
            "limits": {"sockets": SOCKETS, "memory_mb": MEMORY_MB},
            "known": serde_json::from_str::<Value>(&known).unwrap_or_default(), "settings": settings});
        if let Some(terms) = &self.scenario.agreement {
            let grows = |fault: &Fault| if let Fault::Grow { count, .. } = fault { *count } else { 0 };
            let largest = self.scenario.gateways + self.scenario.faults.iter().map(grows).sum::<usize>();
            told["peer_listen"] = json!(address(9).to_string());
            told["peers_all"] = json!(at.all.to_string());
            told["agreement"] = json!({"version": at.version, "starts_ms": at.starts_ms, "lease": terms.lease,
                "clock": terms.clock, "ground": {"gateways": largest}});
        }
        told.to_string()
    }

    /// Starts processes and waits until each says that it has; new ones are shown to the front.
    fn start(&mut self, which: &[usize]) -> Result<(), String> {
        for gateway in which {
            let text = self.configuration(*gateway);
            let program = Program::spawn(&mut Command::new(self.program), &text);
            let program = program.map_err(|e| format!("can't start {}: {e}", self.program.display()))?;
            let at = &mut self.gateways[*gateway];
            (at.program, at.starts) = (Some(program), at.starts + 1);
        }
        for gateway in which {
            let fresh = self.gateways[*gateway].listen.port() == 0;
            let Some(program) = &mut self.gateways[*gateway].program else { continue };
            let lines = program.wait_started();
            let listen = program.address;
            let hears = lines
                .iter()
                .find_map(|line| line.split("\"peers\":\"").nth(1)?.split('"').next()?.parse().ok());
            let member = *gateway;
            self.relays.with(move |relays, _| relays.hears_at(member, hears));
            self.gateways[*gateway].listen = listen;
            if fresh {
                let faults = self.faults_between(*gateway, |place| *place == Place::Front);
                let at = self.through(faults, &format!("gateway {gateway}"), listen);
                let at = at.map_err(|e| format!("can't set a link up: {e}"))?;
                self.front.with(move |front, io| front.add(io, at));
            }
        }
        Ok(())
    }

    fn wait_ready(&mut self, count: usize) -> Result<(), String> {
        let until = self.clock.now() + READY_WITHIN;
        while self.front.with(|front, _| front.admitted()) < count {
            if self.clock.now() > until {
                let ready = self.front.with(|front, _| front.admitted());
                return Err(format!("only {ready} of {count} gateways were ready within a minute"));
            }
            self.sleep_until(self.clock.now() + 20 * MS);
        }
        Ok(())
    }

    fn sleep_until(&self, at: Nanos) {
        std::thread::sleep(Duration::from_nanos(at.saturating_sub(self.clock.now())));
    }

    /// What a fault asks for, with times after the warm-up.
    fn steps(&self, fault: &Fault, number: usize, draws: &mut ChaCha8Rng) -> Vec<(Nanos, Step)> {
        let mut some = |count: usize, share: f64| -> Vec<usize> {
            let mut all: Vec<usize> = (0..count).collect();
            all.shuffle(draws);
            all.truncate((count as f64 * share).round() as usize);
            all.sort_unstable();
            all
        };
        let (gateways, servers) = (self.gateways.len(), self.listed.len());
        let health = |which: Vec<usize>, at: f64, seconds: f64, health: Health| {
            vec![
                (nanos(at), Step::Health(which.clone(), health)),
                (nanos(at + seconds), Step::Health(which, Health::Well)),
            ]
        };
        let agents = |which: Vec<usize>, at: f64, seconds: f64, mode: Mode, back: u64| {
            vec![
                (nanos(at), Step::Agents(which.clone(), mode, back)),
                (nanos(at + seconds), Step::Agents(which, Mode::Late(0), 0)),
            ]
        };
        match fault {
            Fault::Kill { at, share, back_after } | Fault::Term { at, share, back_after } => {
                let kills = matches!(fault, Fault::Kill { .. });
                let which = some(gateways, *share);
                let signal = if kills { Signal::KILL } else { Signal::TERM };
                let mut steps = vec![(nanos(*at), Step::Signal(which.clone(), signal))];
                steps.extend(back_after.map(|after| (nanos(at + after), Step::Start(which))));
                steps
            }
            Fault::Pause { at, share, seconds } => {
                let which = some(gateways, *share);
                vec![
                    (nanos(*at), Step::Signal(which.clone(), Signal::STOP)),
                    (nanos(at + seconds), Step::Signal(which, Signal::CONT)),
                ]
            }
            Fault::Grow { at, count, share } => vec![(nanos(*at), Step::Grow(*count, *share))],
            Fault::Replace { at, share, seconds, drain } => {
                let which = some(servers, *share);
                let gap = seconds / which.len().max(1) as f64;
                let each = which.into_iter().enumerate();
                each.map(|(nth, which)| (nanos(at + gap * nth as f64), Step::Replace(which, nanos(*drain))))
                    .collect()
            }
            Fault::Join { at } => vec![(nanos(*at), Step::Join)],
            Fault::Leave { at } => vec![(nanos(*at), Step::Leave)],
            Fault::ZoneDown { at, zone, seconds, told_after } => {
                let which: Vec<usize> = (0..servers).filter(|at| self.listed[*at].zone == *zone).collect();
                let mut steps = health(which.clone(), *at, *seconds, Health::Down);
                let told = told_after.filter(|after| after < seconds);
                steps.extend(told.map(|after| (nanos(at + after), Step::List(which.clone(), "gone"))));
                steps.push((nanos(at + seconds), Step::List(which, "ready")));
                steps
            }
            Fault::Slow { at, share, factor, seconds } => {
                health(some(servers, *share), *at, *seconds, Health::Slow(*factor))
            }
            Fault::FailsFast { at, share, seconds } => {
                health(some(servers, *share), *at, *seconds, Health::FailsFast)
            }
            Fault::Silent { at, share, seconds } => {
                health(some(servers, *share), *at, *seconds, Health::Silent)
            }
            Fault::ListLate { at, share, seconds, late } => {
                agents(some(gateways, *share), *at, *seconds, Mode::Late(nanos(*late)), 0)
            }
            Fault::ListStill { at, share, seconds } => {
                agents(some(gateways, *share), *at, *seconds, Mode::Still, 0)
            }
            Fault::ListBack { at, share, seconds, versions } => {
                agents(some(gateways, *share), *at, *seconds, Mode::Still, *versions)
            }
            Fault::DiscoveryDown { at, share, seconds } => {
                agents(some(gateways, *share), *at, *seconds, Mode::Down, 0)
            }
            Fault::CounterStall { at, seconds } | Fault::CounterDown { at, seconds } => {
                let stalls = matches!(fault, Fault::CounterStall { .. });
                let state = if stalls { State::Stalls } else { State::Down };
                vec![(nanos(*at), Step::Counter(state)), (nanos(at + seconds), Step::Counter(State::Serves))]
            }
            Fault::CounterEmpty { at } => vec![(nanos(*at), Step::Empty)],
            Fault::Burst { at, factor, seconds } => {
                vec![(nanos(*at), Step::Burst(*factor)), (nanos(at + seconds), Step::Burst(1.0))]
            }
            Fault::Link { at, seconds, wire, .. } => {
                let links = self.links_of.get(&number).cloned().unwrap_or_default();
                vec![
                    (nanos(*at), Step::Wire(links.clone(), faults(wire))),
                    (nanos(at + seconds), Step::Wire(links, Faults::default())),
                ]
            }
        }
    }

    /// Does one thing; what it puts off comes back with its time.
    fn carry_out(&mut self, step: Step) -> Result<Vec<(Nanos, Step)>, String> {
        let fail = |e: std::io::Error| format!("a step of the script failed: {e}");
        match step {
            Step::Signal(which, signal) => {
                for gateway in which {
                    let Some(program) = &self.gateways[gateway].program else { continue };
                    program.send(signal).map_err(fail)?;
                    if signal == Signal::KILL {
                        self.end(gateway, false);
                    }
                }
            }
            Step::Start(which) => {
                which.iter().for_each(|gateway| self.end(*gateway, true));
                self.start(&which)?;
            }
            Step::Grow(count, share) => {
                let was = self.gateways.len();
                for number in was..was + count {
                    self.add_gateway(number, was + count).map_err(fail)?;
                }
                // With versions the new one holds for all at once, and the front follows then.
                let lead = self.scenario.agreement.as_ref().map(|terms| nanos(3.0 * terms.lease));
                let starts_ms = lead.map_or(0, |lead| self.clock.unix_ms(self.clock.now() + lead));
                let told = (0..(was as f64 * share).round() as usize).chain(was..was + count);
                let told: Vec<usize> = told.collect();
                for gateway in &told {
                    (self.gateways[*gateway].version, self.gateways[*gateway].starts_ms) = (2, starts_ms);
                }
                for gateway in told.into_iter().filter(|gateway| *gateway < was) {
                    self.gateways[gateway].fleet = was + count;
                    let text = self.configuration(gateway);
                    if let Some(program) = &self.gateways[gateway].program {
                        program.rewrite(&text);
                        program.send(Signal::HUP).map_err(fail)?;
                    }
                }
                self.start(&(was..was + count).collect::<Vec<_>>())?;
                return Ok(vec![(self.clock.now() + lead.map_or(0, |lead| 2 * lead), Step::Place)]);
            }
            Step::Place => {
                let customers = customers(self.scenario, self.gateways.len());
                self.front.with(move |front, _| front.place(customers));
            }
            Step::Replace(server, drain) => {
                self.list(server, "draining");
                self.join()?;
                return Ok(vec![(self.clock.now() + drain, Step::Gone(server))]);
            }
            Step::Join => self.join()?,
            Step::Leave => {
                let last = (0..self.listed.len()).rfind(|at| self.listed[*at].status == "ready");
                if let Some(last) = last {
                    self.list(last, "draining");
                    return Ok(vec![(self.clock.now() + SEC, Step::Gone(last))]);
                }
            }
            Step::Gone(server) => {
                self.list(server, "gone");
                self.servers
                    .with(move |servers, io| servers.become_(io, server, Health::Down))
                    .map_err(fail)?;
            }
            Step::Health(which, health) => {
                for server in which {
                    self.servers
                        .with(move |servers, io| servers.become_(io, server, health))
                        .map_err(fail)?;
                    self.mark(server, health != Health::Down && health != Health::Silent);
                    if health == Health::Well {
                        let since = self.servers.with(move |servers, _| servers.since(server));
                        let since_ms = if since == 0 { 0 } else { self.clock.unix_ms(since) };
                        self.listed[server].since_ms = since_ms;
                    }
                }
            }
            Step::List(which, status) => which.into_iter().for_each(|server| self.list(server, status)),
            Step::Agents(which, mode, back) => {
                for agent in which {
                    let set = self.discovery.with(move |discovery, io| {
                        let to = (back > 0).then(|| discovery.index().saturating_sub(back));
                        discovery.set(io, agent, mode, to)
                    });
                    set.map_err(fail)?;
                }
            }
            Step::Counter(state) => {
                self.counter.with(move |counter, io| counter.become_(io, state)).map_err(fail)?;
            }
            Step::Empty => self.counter.with(|counter, _| counter.empty()),
            Step::Burst(factor) => self.front.with(move |front, _| front.burst(factor)),
            Step::Wire(links, faults) => {
                self.relays.with(move |relays, io| {
                    links.into_iter().for_each(|link| relays.set(io, link, faults));
                });
            }
        }
        Ok(Vec::new())
    }

    fn join(&mut self) -> Result<(), String> {
        let group = self.scenario.servers[0].clone();
        let added = self.add_server(&group, false);
        let number = added.map_err(|e| format!("can't add a server: {e}"))?;
        self.list(number, "ready");
        Ok(())
    }

    /// Waits for a process that was told to end (`asked`: by SIGTERM, so with 0) and keeps its log lines.
    fn end(&mut self, gateway: usize, asked: bool) {
        let at = &mut self.gateways[gateway];
        let Some(mut program) = at.program.take() else { return };
        let until = self.clock.now() + LINGER;
        while program.ended().is_none() && self.clock.now() < until {
            std::thread::sleep(Duration::from_millis(5));
        }
        let how = program.ended();
        if asked && how.is_none_or(|how| !how.success()) {
            self.crashed.push(format!("n{} ended with {how:?} after SIGTERM", at.number));
        }
        at.lines.extend(program.lines_now());
    }

    fn finish(mut self, from: Nanos, to: Nanos) -> Outcome {
        for gateway in 0..self.gateways.len() {
            let at = &mut self.gateways[gateway];
            if let Some(program) = &mut at.program {
                if let Some(how) = program.ended() {
                    self.crashed.push(format!("n{} ended by itself with {how:?}", at.number));
                } else {
                    let _ = program.send(Signal::TERM);
                }
            }
        }
        (0..self.gateways.len()).for_each(|gateway| self.end(gateway, true));
        let (ledger, connections) = self.servers.with(|servers, _| {
            (std::mem::take(&mut servers.ledger), std::mem::take(&mut servers.connections))
        });
        let (calls, extra_answers) =
            self.front.with(|front, _| (std::mem::take(&mut front.calls), front.extra));
        let classes = self.scenario.load.methods.iter();
        let first = self.scenario.faults.iter().map(|fault| nanos(fault.at())).min();
        Outcome {
            from,
            to,
            fault_at: first.map(|at| from + at),
            ledger,
            connections,
            calls,
            extra_answers,
            servers: self.weights,
            methods: classes
                .map(|method| (method.name.clone(), self.scenario.idempotency(&method.name) == "free"))
                .collect(),
            starts: self.gateways.iter().map(|gateway| gateway.starts).collect(),
            lines: self.gateways.into_iter().map(|gateway| gateway.lines).collect(),
            crashed: self.crashed,
            count_calls: self.counter.with(|counter, _| counter.calls),
            list_bytes: self.discovery.with(|discovery, _| discovery.told_bytes),
        }
    }
}

/// Customers with shares drawn by the seed, their sets spread round the fleet.
fn customers(scenario: &Scenario, gateways: usize) -> Vec<Customer> {
    let mut draws = chance(scenario.seed, Stream::Arrivals);
    let shares = LogNormal::new(0.0, scenario.load.skew.max(0.0)).ok();
    let one = |_| Customer {
        share: shares.map_or(1.0, |shares| shares.sample(&mut draws)),
        first: draws.random_range(0..gateways),
        width: scenario.load.width,
    };
    (0..scenario.load.customers).map(one).collect()
}

fn faults(wire: &Wire) -> Faults {
    let way = |cut: bool| Way { cut, delay: nanos(wire.delay_ms / 1e3), lose: wire.lose, ..Way::default() };
    let gate = match (wire.reset, wire.silent) {
        (true, _) => Gate::Resets,
        (_, true) => Gate::Silent,
        _ => Gate::Passes,
    };
    Faults { gate, there: way(wire.cut_there), back: way(wire.cut_back) }
}
