//! A hollow fleet on one emulated clock: gateways, their agents, the servers and the counter, and every event between them.

use super::discovery::{Discovery, HEARTBEAT, HEARTBEAT_EVERY, WatchData};
use super::gateway::{Agreed, HollowGateway, Start};
use super::rpcs::{CounterCall, Load};
use super::scenario::Scenario;
use super::settings_agreement::VersionFile;
use super::stats::{CpuUsage, PropagationDelays, RunCounters, WorkKind, thread_cpu_time};
use super::steps::Step;
use super::traffic::{ControlLoad, Direction, MeasuredPeriod, Peer, Traffic};
use super::{Nanos, SEC, nanos};
use crate::alloc;
use agreement::config::AgreementConfig;
use agreement::version::{Fallback, Version};
use gateway::services::Services;
use lab::counter::Counter;
use lab::queue::EventQueue;
use lab::rng::{self, Stream};
use lab::servers::{AttemptRef, Servers};
use martenramp::host::{CallOutcome, Settings};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::rc::Rc;
use std::sync::Arc;

/// The emulation's clock starts here, so that no start time is nought.
const EPOCH: Nanos = 1_000_000 * SEC;
/// The program looks for what is idle or silent so often.
const SWEEP_EVERY: Nanos = 250_000_000;

/// What happens at a time.
pub enum Event {
    RpcArrival,
    Timer { gateway: usize, incarnation: u32, token: u32 },
    AttemptAtServer { call: AttemptRef, server: u32, server_incarnation: u32 },
    AttemptEnd { call: AttemptRef, how: CallOutcome },
    SlotFreed { server: u32, server_incarnation: u32 },
    CounterRequest(CounterCall),
    CounterReply { gateway: usize, incarnation: u32, line: usize, bytes: Vec<u8> },
    CounterTimeout { gateway: usize, incarnation: u32, line: usize, serial: u64 },
    AgentWrite { agent: usize },
    Heartbeat,
    WatchRequest { gateway: usize, incarnation: u32 },
    Sweep { gateway: usize, incarnation: u32 },
    EvaluateAgreement { gateway: usize, incarnation: u32 },
    Datagram { from: usize, region: usize, bytes: Rc<Vec<u8>> },
    VersionFileArrival { gateway: usize, version: usize },
    Step(Step),
}

/// A place for a gateway: who is there now, and since when.
pub struct GatewayNode {
    pub running: Option<HollowGateway>,
    pub incarnation: u32,
    pub zone: usize,
    pub region: usize,
    pub started: Nanos,
    /// The newest file on this machine.
    file: Option<Arc<VersionFile>>,
    /// The version that was in force here last.
    version: u64,
}

/// Bytes held by the whole emulation, over what was held before it; nought where no counting allocator is installed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Memory {
    before: u64,
    /// When all gateways had started.
    pub after_start: u64,
    pub at_end: u64,
    pub peak: u64,
}

/// What control machines carry, by what it is for.
pub struct Control {
    pub discovery: ControlLoad,
    pub counter: ControlLoad,
    pub datagrams: ControlLoad,
}

/// The whole emulation.
pub struct Fleet<'a> {
    pub scenario: &'a Scenario,
    pub measured: MeasuredPeriod,
    pub(super) queue: EventQueue<Event>,
    pub(super) nodes: Vec<GatewayNode>,
    pub discovery: Discovery,
    pub(super) servers: Servers,
    pub counter: Counter,
    pub(super) load: Load,
    pub traffic: Traffic,
    pub control: Control,
    pub processor: CpuUsage,
    pub lists_in_force: PropagationDelays,
    pub versions_in_force: PropagationDelays,
    pub counts: RunCounters,
    pub memory: Memory,
    pub(super) rng: ChaCha8Rng,
    settings: Settings,
    zones: Vec<String>,
    terms: Option<AgreementConfig>,
    versions: Vec<Arc<VersionFile>>,
    /// The region that is cut off from all others.
    pub(super) isolated_region: Option<usize>,
    end: Nanos,
}

impl<'a> Fleet<'a> {
    /// All gateways start at once, on the list that they held if the scenario says so.
    pub fn new(scenario: &'a Scenario) -> Fleet<'a> {
        alloc::reset_peak();
        let from = EPOCH + nanos(scenario.warm_seconds);
        let measured = MeasuredPeriod { from, seconds: scenario.seconds.ceil() as usize };
        let played = scenario.simulated_gateways();
        let machines = || ControlLoad::new(measured, scenario.control_machines);
        let zones = scenario.zone_names();
        let mut fleet = Fleet {
            scenario,
            measured,
            queue: EventQueue::default(),
            nodes: Vec::with_capacity(played),
            discovery: Discovery::new(&zones, scenario.services, scenario.total_servers(), scenario.servers),
            servers: servers(scenario),
            counter: Counter::new(true),
            load: Load::new(scenario),
            traffic: Traffic::new(measured, played),
            control: Control { discovery: machines(), counter: machines(), datagrams: machines() },
            processor: CpuUsage::new(measured, played),
            lists_in_force: PropagationDelays::new(from),
            versions_in_force: PropagationDelays::new(from),
            counts: RunCounters::default(),
            memory: Memory { before: alloc::process_counts().live_bytes, ..Memory::default() },
            rng: rng::stream(scenario.seed, Stream::Faults),
            settings: scenario.flat_settings(),
            zones,
            terms: scenario.agreement.as_ref().map(|terms| AgreementConfig {
                voters: (0..terms.voters as u32).collect(),
                lease_duration: nanos(terms.lease),
                max_clock_error: nanos(terms.max_clock_error),
            }),
            versions: Vec::new(),
            isolated_region: None,
            end: from + nanos(scenario.seconds),
        };
        fleet.queue.schedule_at(EPOCH, Event::RpcArrival);
        fleet.queue.schedule_at(EPOCH + HEARTBEAT_EVERY, Event::Heartbeat);
        if fleet.terms.is_some() {
            fleet.versions.push(Arc::new(VersionFile::new(fleet.version(1, 0), 0)));
        }
        for number in 0..played {
            fleet.add_node(number);
        }
        (0..played).for_each(|gateway| fleet.start_gateway(EPOCH, gateway, true));
        fleet.memory.after_start = alloc::process_counts().live_bytes.saturating_sub(fleet.memory.before);
        fleet.schedule_events(from);
        fleet
    }

    fn add_node(&mut self, number: usize) {
        let zone = number % self.scenario.zones;
        let met = (0..self.scenario.services_per_gateway())
            .map(|nth| self.scenario.gateway_service(number, nth))
            .collect();
        let delays = &self.scenario.discovery;
        let delay = self.rng.random_range(delays.min_delay_ms..=delays.max_delay_ms);
        self.discovery.add_agent(met, nanos(delay / 1e3));
        self.nodes.push(GatewayNode {
            running: None,
            incarnation: 0,
            zone,
            region: zone % self.scenario.regions,
            started: 0,
            file: self.versions.first().cloned(),
            version: 0,
        });
    }

    /// Plays until the scenario's end.
    pub fn run(&mut self) {
        while let Some((now, event)) = self.queue.pop_until(self.end - 1) {
            self.handle(now, event);
        }
        let counts = alloc::process_counts();
        self.memory.at_end = counts.live_bytes.saturating_sub(self.memory.before);
        self.memory.peak = counts.peak_bytes.saturating_sub(self.memory.before);
    }

    fn handle(&mut self, now: Nanos, event: Event) {
        match event {
            Event::RpcArrival => self.arrive(now),
            Event::Timer { gateway, incarnation, token } => {
                self.enter(now, gateway, incarnation, WorkKind::Rpcs, |hollow| hollow.woke(now, token));
            }
            Event::AttemptAtServer { call, server, server_incarnation } => {
                self.at_server(now, call, server, server_incarnation)
            }
            Event::AttemptEnd { call, how } => self.call_ended(now, call, how),
            Event::SlotFreed { server, server_incarnation } => {
                self.servers.release_slot(server, server_incarnation)
            }
            Event::CounterRequest(call) => self.count_at(now, call),
            Event::CounterReply { gateway, incarnation, line, bytes } => {
                self.count_back(now, gateway, incarnation, line, &bytes)
            }
            Event::CounterTimeout { gateway, incarnation, line, serial } => {
                let timed_out = |hollow: &mut HollowGateway| hollow.count_timed_out(now, line, serial);
                self.enter(now, gateway, incarnation, WorkKind::Counter, timed_out);
            }
            Event::AgentWrite { agent } => self.agent_writes(now, agent),
            Event::Heartbeat => self.heartbeat(now),
            Event::WatchRequest { gateway, incarnation } => self.ask_list(now, gateway, incarnation),
            Event::Sweep { gateway, incarnation } => self.sweep(now, gateway, incarnation),
            Event::EvaluateAgreement { gateway, incarnation } => self.agree(now, gateway, incarnation),
            Event::Datagram { from, region, bytes } => self.datagram(now, from, region, &bytes),
            Event::VersionFileArrival { gateway, version } => self.file_came(now, gateway, version),
            Event::Step(step) => self.run_step(now, step),
        }
    }

    /// Lets a gateway's state machines work, takes the processor time, and carries out what they ask for. Nothing if this
    /// incarnation of the gateway is over.
    pub(super) fn enter<T>(
        &mut self,
        now: Nanos,
        gateway: usize,
        incarnation: u32,
        work: WorkKind,
        does: impl FnOnce(&mut HollowGateway) -> T,
    ) -> Option<T> {
        let place = &mut self.nodes[gateway];
        let hollow = place.running.as_mut().filter(|_| place.incarnation == incarnation)?;
        let begun = thread_cpu_time();
        let result = does(hollow);
        self.processor.add(now, gateway, work, thread_cpu_time() - begun);
        self.carry_wishes(now, gateway, work);
        Some(result)
    }

    // ---- Lives

    /// A gateway starts, on the list that it held before where it held one.
    pub(super) fn start_gateway(&mut self, now: Nanos, gateway: usize, first: bool) {
        let place = &mut self.nodes[gateway];
        place.incarnation += 1;
        place.started = now;
        let incarnation = place.incarnation;
        let agreed = place.file.clone().zip(self.terms.clone());
        let start = Start {
            number: gateway as u32,
            zone: place.zone,
            seed: rng::gateway_seed(self.scenario.seed, gateway as u32, incarnation),
            settings: &self.settings,
            zones: &self.zones,
            services: self.scenario.services as u32,
            agreed: agreed.map(|(file, terms)| Agreed { file, terms, fresh: first }),
        };
        place.running = Some(HollowGateway::new(&start, now));
        let known = (self.scenario.discovery.starts_with_list || !first)
            .then(|| self.discovery.initial_list(gateway));
        if let Some((list, changes)) = known {
            let list = serde_json::from_str(&list)
                .ok()
                .and_then(|list| gateway::list::parse(&list, &Services::default()));
            let read = |hollow: &mut HollowGateway| {
                list.into_iter().for_each(|told| hollow.told(now, told));
                hollow.ask_again_after(now)
            };
            let rest = self.enter(now, gateway, incarnation, WorkKind::List, read).unwrap_or(0);
            self.lists_reached(now, gateway, &changes);
            self.queue.schedule_after(rest, Event::WatchRequest { gateway, incarnation });
        } else {
            self.queue.schedule_at(now, Event::WatchRequest { gateway, incarnation });
        }
        let phase = self.rng.random_range(0..SWEEP_EVERY);
        self.queue.schedule_at(now + phase, Event::Sweep { gateway, incarnation });
        self.agree(now, gateway, incarnation);
    }

    /// A gateway is killed: all that it held is cut.
    pub(super) fn kill_gateway(&mut self, gateway: usize) {
        let place = &mut self.nodes[gateway];
        if let Some(hollow) = place.running.take() {
            let measured = hollow.rpcs.values().filter(|rpc| rpc.arrived >= self.measured.from);
            self.counts.lost += measured.count() as u64;
        }
    }

    // ---- The list

    fn machine(&self, gateway: usize) -> usize {
        gateway % self.scenario.control_machines
    }

    fn agent_writes(&mut self, now: Nanos, agent: usize) {
        let open = self.nodes[agent].running.as_ref().is_some_and(|hollow| hollow.is_watching);
        if let Some(lines) = self.discovery.take_due_changes(now, agent, open) {
            self.list_came(now, agent, &lines);
        }
        self.schedule_agent_write(now, agent);
    }

    /// Sets when an agent writes next, if it holds something back.
    pub(super) fn schedule_agent_write(&mut self, now: Nanos, agent: usize) {
        let open = self.nodes[agent].running.as_ref().is_some_and(|hollow| hollow.is_watching);
        if open && let Some(at) = self.discovery.schedule_next_write(now, agent) {
            self.queue.schedule_at(at, Event::AgentWrite { agent });
        }
    }

    /// An agent's bytes come to its gateway.
    fn list_came(&mut self, now: Nanos, gateway: usize, lines: &WatchData) {
        self.traffic.add(now, gateway, Peer::Discovery, Direction::Received, lines.bytes.len());
        self.control.discovery.add(now, self.machine(gateway), lines.bytes.len());
        let incarnation = self.nodes[gateway].incarnation;
        let begun = thread_cpu_time();
        let came = |hollow: &mut HollowGateway| hollow.list_came(now, &lines.bytes);
        let Some(outcome) = self.enter(now, gateway, incarnation, WorkKind::List, came) else { return };
        if outcome.entries > 0 && now >= self.measured.from {
            self.counts.list_bytes += lines.bytes.len() as u64;
            self.processor.list_changes.saturating_record(thread_cpu_time() - begun);
        }
        if outcome.broken.is_some() {
            return self.retry_watch(now, gateway, incarnation);
        }
        self.lists_reached(now, gateway, &lines.changes);
    }

    fn lists_reached(&mut self, now: Nanos, gateway: usize, changes: &[u32]) {
        let started = self.nodes[gateway].started;
        for place in changes {
            let at = self.discovery.changes[*place as usize].at;
            self.lists_in_force.record(at, started, now);
        }
    }

    fn heartbeat(&mut self, now: Nanos) {
        self.queue.schedule_at(now + HEARTBEAT_EVERY, Event::Heartbeat);
        let lines = WatchData { bytes: Rc::new(HEARTBEAT.to_vec()), changes: Vec::new() };
        for gateway in 0..self.nodes.len() {
            let open = self.nodes[gateway].running.as_ref().is_some_and(|hollow| hollow.is_watching);
            if open && self.discovery.is_agent_up(gateway) {
                self.list_came(now, gateway, &lines);
            }
        }
    }

    fn ask_list(&mut self, now: Nanos, gateway: usize, incarnation: u32) {
        let ask = |hollow: &mut HollowGateway| hollow.ask(now);
        let Some(request) = self.enter(now, gateway, incarnation, WorkKind::List, ask) else { return };
        self.counts.watch_requests += u64::from(now >= self.measured.from);
        let from = self.nodes[gateway].running.as_ref().map_or(0, |hollow| hollow.watch.index);
        let Some(lines) = self.discovery.watch_response(gateway, from) else {
            return self.retry_watch(now, gateway, incarnation); // refused
        };
        self.traffic.add(now, gateway, Peer::Discovery, Direction::Sent, request.len());
        self.control.discovery.add(now, self.machine(gateway), request.len());
        self.list_came(now, gateway, &lines);
    }

    /// The watch is over; it is asked for again after a rest.
    pub(super) fn retry_watch(&mut self, now: Nanos, gateway: usize, incarnation: u32) {
        let rests = |hollow: &mut HollowGateway| hollow.ask_again_after(now);
        if let Some(rest) = self.enter(now, gateway, incarnation, WorkKind::List, rests) {
            self.counts.watches_broken += u64::from(now >= self.measured.from);
            self.queue.schedule_after(rest, Event::WatchRequest { gateway, incarnation });
        }
    }

    fn sweep(&mut self, now: Nanos, gateway: usize, incarnation: u32) {
        let look = |hollow: &mut HollowGateway| hollow.sweep(now);
        let Some(outcome) = self.enter(now, gateway, incarnation, WorkKind::Counter, look) else { return };
        self.queue.schedule_after(SWEEP_EVERY, Event::Sweep { gateway, incarnation });
        for ping in outcome.pings {
            self.ping(now, gateway, incarnation, ping.line, &ping.bytes);
        }
        if outcome.watch_is_silent {
            self.retry_watch(now, gateway, incarnation);
        }
    }

    // ---- The agreement

    /// The settings of a version: each lets a little more in than the one before.
    fn version(&self, number: u64, start: Nanos) -> Version {
        let mut settings = self.settings.clone();
        let name = format!("tariffs.{}.perSecond", self.load.plan);
        let rate = settings.get(&name).and_then(|text| text.parse::<f64>().ok()).unwrap_or(1.0);
        settings.insert(name, (rate * (1.0 + number as f64 * 1e-4)).to_string());
        Version { number, start, fallback: Fallback::default_for(&self.settings), settings }
    }

    /// A new version is put out; it starts two leases after the last machine has it.
    pub(super) fn publish_version(&mut self, now: Nanos) {
        let Some(agreement) = &self.scenario.agreement else { return };
        let spread = nanos(agreement.file_seconds);
        let start = now + spread + 2 * nanos(agreement.lease);
        let number = self.versions.len() as u64 + 1;
        let file = VersionFile::new(self.version(number, start), now);
        self.versions.push(Arc::new(file));
        self.counts.versions += 1;
        let version = self.versions.len() - 1;
        for gateway in 0..self.nodes.len() {
            let after = self.rng.random_range(0..=spread);
            self.queue.schedule_after(after, Event::VersionFileArrival { gateway, version });
        }
    }

    fn file_came(&mut self, now: Nanos, gateway: usize, version: usize) {
        let file = self.versions[version].clone();
        let place = &mut self.nodes[gateway];
        let newer = place.file.as_ref().is_none_or(|held| held.version.number < file.version.number);
        if newer {
            place.file = Some(file.clone());
        }
        let incarnation = place.incarnation;
        let take = |hollow: &mut HollowGateway| {
            hollow.agreeing.as_mut().is_some_and(|agreeing| agreeing.take_file(now, &file))
        };
        if self.enter(now, gateway, incarnation, WorkKind::Agreement, take).is_some() {
            self.agree(now, gateway, incarnation);
        }
    }

    /// A gateway looks at what it may act on and tells others what there is to tell.
    fn agree(&mut self, now: Nanos, gateway: usize, incarnation: u32) {
        let look = |hollow: &mut HollowGateway| hollow.agree(now);
        let Some(outcome) = self.enter(now, gateway, incarnation, WorkKind::Agreement, look) else { return };
        for bytes in outcome.datagrams {
            self.traffic.add(now, gateway, Peer::Gateways, Direction::Sent, bytes.len());
            let bytes = Rc::new(bytes);
            for region in 0..self.scenario.regions {
                let after = self.network_delay(self.nodes[gateway].region, region);
                self.queue
                    .schedule_after(after, Event::Datagram { from: gateway, region, bytes: bytes.clone() });
            }
        }
        if let Some(next) = outcome.looks_next {
            self.queue.schedule_at(next, Event::EvaluateAgreement { gateway, incarnation });
        }
        if let Some(version) = outcome.in_force {
            self.version_in_force(now, gateway, version);
        }
    }

    fn version_in_force(&mut self, now: Nanos, gateway: usize, version: u64) {
        let place = &mut self.nodes[gateway];
        let (before, started) = (place.version, place.started);
        place.version = before.max(version);
        for number in before + 1..=version {
            let put_out = self.versions[number as usize - 1].put_out;
            self.versions_in_force.record(put_out, started, now);
        }
    }

    /// A datagram reaches all gateways of a region.
    fn datagram(&mut self, now: Nanos, from: usize, region: usize, bytes: &[u8]) {
        if self.is_partitioned(self.nodes[from].region, region) {
            return;
        }
        for gateway in 0..self.nodes.len() {
            let place = &self.nodes[gateway];
            if gateway == from || place.region != region || place.running.is_none() {
                continue;
            }
            let incarnation = place.incarnation;
            self.traffic.add(now, gateway, Peer::Gateways, Direction::Received, bytes.len());
            self.control.datagrams.add(now, self.machine(gateway), bytes.len());
            let hear = |hollow: &mut HollowGateway| hollow.hear(now, bytes);
            self.enter(now, gateway, incarnation, WorkKind::Agreement, hear);
            self.agree(now, gateway, incarnation);
        }
    }

    // ---- The network

    pub(super) fn is_partitioned(&self, one: usize, two: usize) -> bool {
        one != two && self.isolated_region.is_some_and(|region| region == one || region == two)
    }

    /// How long a message takes one way.
    pub(super) fn network_delay(&self, one: usize, two: usize) -> Nanos {
        let network = &self.scenario.network;
        nanos(if one == two { network.delay_ms } else { network.far_delay_ms } / 1e3)
    }

    /// Pairs of a measured version and a gateway where it never came into force.
    pub fn versions_not_in_force(&self) -> u64 {
        let measured = self.versions.iter().filter(|file| file.put_out >= self.measured.from).count() as u64;
        (measured * self.nodes.len() as u64).saturating_sub(self.versions_in_force.delays.len())
    }
}

fn servers(scenario: &Scenario) -> Servers {
    let model = lab::scenario::Servers {
        count: scenario.total_servers() as u32,
        zones: scenario.zones as u32,
        slots: scenario.server.slots,
        service_ms: scenario.server.service_ms,
        service_sigma: scenario.server.spread,
        cold_seconds: scenario.server.cold_seconds,
        cold_share: scenario.server.cold_share,
        error_share: 0.0,
    };
    let mut servers = Servers::new(&model, rng::stream(scenario.seed, Stream::Servers));
    (scenario.servers..scenario.total_servers()).for_each(|spare| servers.take_down(spare as u32));
    servers
}
