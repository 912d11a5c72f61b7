//! The emulated fleet: runs hollow gateways, their discovery agents, the servers and the counter on one
//! emulated clock.

use super::discovery::{Discovery, HEARTBEAT, HEARTBEAT_EVERY, WatchData};
use super::gateway::{AgreementStart, HollowGateway, StartParams};
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

/// Start of the emulated clock. It is above 0 so that no start time is 0, which would mean "long ago".
const EPOCH: Nanos = 1_000_000 * SEC;
/// How often a gateway checks for idle and unresponsive connections, as in the product.
const SWEEP_INTERVAL: Nanos = 250_000_000;

/// An event on the emulated clock. Events of an earlier incarnation of a gateway or server are ignored.
pub enum Event {
    /// An RPC arrives from a client.
    RpcArrival,
    /// A timer of the admission controller is due.
    Timer { gateway: usize, incarnation: u32, token: u32 },
    /// An attempt reaches its server.
    AttemptAtServer { attempt: AttemptRef, server: u32, server_incarnation: u32 },
    /// The result of an attempt reaches the gateway, or its time limit is over.
    AttemptEnd { attempt: AttemptRef, outcome: CallOutcome },
    /// A server has finished an attempt.
    SlotFreed { server: u32, server_incarnation: u32 },
    /// A call reaches the counter.
    CounterRequest(CounterCall),
    /// A reply of the counter reaches the gateway.
    CounterReply { gateway: usize, incarnation: u32, connection: usize, bytes: Vec<u8> },
    /// The time limit of a call to the counter is over.
    CounterTimeout { gateway: usize, incarnation: u32, connection: usize, serial: u64 },
    /// A discovery agent writes the changes that it has not sent.
    AgentWrite { agent: usize },
    /// All agents write a heartbeat to their open watches.
    Heartbeat,
    /// A gateway requests its watch.
    WatchRequest { gateway: usize, incarnation: u32 },
    /// A gateway's periodic sweep is due.
    Sweep { gateway: usize, incarnation: u32 },
    /// A gateway's timer for the agreement on settings is due.
    EvaluateAgreement { gateway: usize, incarnation: u32 },
    /// A datagram reaches the gateways of a region.
    Datagram { from: usize, region: usize, bytes: Rc<Vec<u8>> },
    /// A version file reaches a gateway's machine.
    VersionFileArrival { gateway: usize, version: usize },
    /// A step of the scenario's events is due.
    Step(Step),
}

/// A machine that runs a gateway, across restarts of the gateway.
pub struct GatewayNode {
    /// The running gateway; `None` while it is down.
    pub running: Option<HollowGateway>,
    pub incarnation: u32,
    pub zone: usize,
    pub region: usize,
    /// When the current incarnation started.
    pub started_at: Nanos,
    /// The newest version file on this machine.
    file: Option<Arc<VersionFile>>,
    /// The highest version that has been in force here.
    version_in_force: u64,
}

/// Bytes allocated by the whole emulation, above those allocated before it; 0 without the counting allocator.
#[derive(Clone, Copy, Debug, Default)]
pub struct Memory {
    before: u64,
    /// After all gateways had started.
    pub after_start: u64,
    pub at_end: u64,
    pub peak: u64,
}

/// The load on control machines, by kind of traffic.
pub struct ControlTraffic {
    pub discovery: ControlLoad,
    pub counter: ControlLoad,
    pub datagrams: ControlLoad,
}

/// The state of an emulation.
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
    pub control: ControlTraffic,
    pub processor: CpuUsage,
    pub lists_in_force: PropagationDelays,
    pub versions_in_force: PropagationDelays,
    pub counts: RunCounters,
    pub memory: Memory,
    pub(super) rng: ChaCha8Rng,
    settings: Settings,
    zones: Vec<String>,
    agreement_config: Option<AgreementConfig>,
    versions: Vec<Arc<VersionFile>>,
    /// The region that is partitioned from all others.
    pub(super) isolated_region: Option<usize>,
    end: Nanos,
}

impl<'a> Fleet<'a> {
    /// Creates the fleet and starts all gateways at once. If the scenario says so, they start with the current
    /// list instead of requesting it.
    pub fn new(scenario: &'a Scenario) -> Fleet<'a> {
        alloc::reset_peak();
        let from = EPOCH + nanos(scenario.warm_seconds);
        let measured = MeasuredPeriod { from, seconds: scenario.seconds.ceil() as usize };
        let gateways = scenario.simulated_gateways();
        let control_load = || ControlLoad::new(measured, scenario.control_machines);
        let zones = scenario.zone_names();
        let mut fleet = Fleet {
            scenario,
            measured,
            queue: EventQueue::default(),
            nodes: Vec::with_capacity(gateways),
            discovery: Discovery::new(&zones, scenario.services, scenario.total_servers(), scenario.servers),
            servers: build_servers(scenario),
            counter: Counter::new(true),
            load: Load::new(scenario),
            traffic: Traffic::new(measured, gateways),
            control: ControlTraffic {
                discovery: control_load(),
                counter: control_load(),
                datagrams: control_load(),
            },
            processor: CpuUsage::new(measured, gateways),
            lists_in_force: PropagationDelays::new(from),
            versions_in_force: PropagationDelays::new(from),
            counts: RunCounters::default(),
            memory: Memory { before: alloc::process_counts().live_bytes, ..Memory::default() },
            rng: rng::stream(scenario.seed, Stream::Faults),
            settings: scenario.flat_settings(),
            zones,
            agreement_config: scenario.agreement.as_ref().map(|agreement| AgreementConfig {
                voters: (0..agreement.voters as u32).collect(),
                lease_duration: nanos(agreement.lease),
                max_clock_error: nanos(agreement.max_clock_error),
            }),
            versions: Vec::new(),
            isolated_region: None,
            end: from + nanos(scenario.seconds),
        };
        fleet.queue.schedule_at(EPOCH, Event::RpcArrival);
        fleet.queue.schedule_at(EPOCH + HEARTBEAT_EVERY, Event::Heartbeat);
        if fleet.agreement_config.is_some() {
            fleet.versions.push(Arc::new(VersionFile::new(fleet.make_version(1, 0), 0)));
        }
        for number in 0..gateways {
            fleet.add_node(number);
        }
        (0..gateways).for_each(|gateway| fleet.start_gateway(EPOCH, gateway, true));
        fleet.memory.after_start = alloc::process_counts().live_bytes.saturating_sub(fleet.memory.before);
        fleet.schedule_events(from);
        fleet
    }

    fn add_node(&mut self, number: usize) {
        let zone = number % self.scenario.zones;
        let services = (0..self.scenario.services_per_gateway())
            .map(|nth| self.scenario.gateway_service(number, nth))
            .collect();
        let delays = &self.scenario.discovery;
        let delay = self.rng.random_range(delays.min_delay_ms..=delays.max_delay_ms);
        self.discovery.add_agent(services, nanos(delay / 1e3));
        self.nodes.push(GatewayNode {
            running: None,
            incarnation: 0,
            zone,
            region: zone % self.scenario.regions,
            started_at: 0,
            file: self.versions.first().cloned(),
            version_in_force: 0,
        });
    }

    /// Runs until the scenario's end.
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
            Event::RpcArrival => self.on_rpc_arrival(now),
            Event::Timer { gateway, incarnation, token } => {
                self.run_gateway(now, gateway, incarnation, WorkKind::Rpcs, |hollow| {
                    hollow.on_timer(now, token)
                });
            }
            Event::AttemptAtServer { attempt, server, server_incarnation } => {
                self.on_attempt_at_server(now, attempt, server, server_incarnation)
            }
            Event::AttemptEnd { attempt, outcome } => self.on_attempt_end(now, attempt, outcome),
            Event::SlotFreed { server, server_incarnation } => {
                self.servers.release_slot(server, server_incarnation)
            }
            Event::CounterRequest(call) => self.on_counter_request(now, call),
            Event::CounterReply { gateway, incarnation, connection, bytes } => {
                self.on_counter_reply(now, gateway, incarnation, connection, &bytes)
            }
            Event::CounterTimeout { gateway, incarnation, connection, serial } => {
                let time_out =
                    |hollow: &mut HollowGateway| hollow.on_counter_timeout(now, connection, serial);
                self.run_gateway(now, gateway, incarnation, WorkKind::Counter, time_out);
            }
            Event::AgentWrite { agent } => self.on_agent_write(now, agent),
            Event::Heartbeat => self.heartbeat(now),
            Event::WatchRequest { gateway, incarnation } => self.request_watch(now, gateway, incarnation),
            Event::Sweep { gateway, incarnation } => self.sweep(now, gateway, incarnation),
            Event::EvaluateAgreement { gateway, incarnation } => {
                self.evaluate_agreement(now, gateway, incarnation)
            }
            Event::Datagram { from, region, bytes } => self.deliver_datagram(now, from, region, &bytes),
            Event::VersionFileArrival { gateway, version } => self.on_version_file(now, gateway, version),
            Event::Step(step) => self.run_step(now, step),
        }
    }

    /// Runs a gateway's state machines, records the processor time, and performs the actions that they request.
    /// Returns `None` without running anything if this incarnation of the gateway has ended.
    pub(super) fn run_gateway<T>(
        &mut self,
        now: Nanos,
        gateway: usize,
        incarnation: u32,
        work: WorkKind,
        action: impl FnOnce(&mut HollowGateway) -> T,
    ) -> Option<T> {
        let node = &mut self.nodes[gateway];
        let hollow = node.running.as_mut().filter(|_| node.incarnation == incarnation)?;
        let started = thread_cpu_time();
        let result = action(hollow);
        self.processor.add(now, gateway, work, thread_cpu_time() - started);
        self.perform_actions(now, gateway, work);
        Some(result)
    }

    // ---- Starting and stopping gateways

    /// Starts a new incarnation of a gateway. On a restart, and on the first start if the scenario says so, it
    /// begins with a list as if it had held one before; otherwise it requests the list.
    pub(super) fn start_gateway(&mut self, now: Nanos, gateway: usize, first: bool) {
        let node = &mut self.nodes[gateway];
        node.incarnation += 1;
        node.started_at = now;
        let incarnation = node.incarnation;
        let agreement = node.file.clone().zip(self.agreement_config.clone());
        let params = StartParams {
            number: gateway as u32,
            zone: node.zone,
            seed: rng::gateway_seed(self.scenario.seed, gateway as u32, incarnation),
            settings: &self.settings,
            zones: &self.zones,
            services: self.scenario.services as u32,
            agreement: agreement.map(|(file, config)| AgreementStart { file, config, fresh: first }),
        };
        node.running = Some(HollowGateway::new(&params, now));
        let initial_list = (self.scenario.discovery.starts_with_list || !first)
            .then(|| self.discovery.initial_list(gateway));
        if let Some((list, changes)) = initial_list {
            let list = serde_json::from_str(&list)
                .ok()
                .and_then(|list| gateway::list::parse(&list, &Services::default()));
            let read_list = |hollow: &mut HollowGateway| {
                list.into_iter().for_each(|update| hollow.apply_update(now, update));
                hollow.watch_retry_delay(now)
            };
            let delay = self.run_gateway(now, gateway, incarnation, WorkKind::List, read_list).unwrap_or(0);
            self.record_lists_in_force(now, gateway, &changes);
            self.queue.schedule_after(delay, Event::WatchRequest { gateway, incarnation });
        } else {
            self.queue.schedule_at(now, Event::WatchRequest { gateway, incarnation });
        }
        let first_sweep = self.rng.random_range(0..SWEEP_INTERVAL);
        self.queue.schedule_at(now + first_sweep, Event::Sweep { gateway, incarnation });
        self.evaluate_agreement(now, gateway, incarnation);
    }

    /// Kills a gateway. Its open RPCs are counted as lost.
    pub(super) fn kill_gateway(&mut self, gateway: usize) {
        let node = &mut self.nodes[gateway];
        if let Some(hollow) = node.running.take() {
            let measured = hollow.rpcs.values().filter(|rpc| rpc.arrived >= self.measured.from);
            self.counts.lost += measured.count() as u64;
        }
    }

    // ---- Discovery

    fn control_machine(&self, gateway: usize) -> usize {
        gateway % self.scenario.control_machines
    }

    fn on_agent_write(&mut self, now: Nanos, agent: usize) {
        let is_watching = self.nodes[agent].running.as_ref().is_some_and(|hollow| hollow.is_watching);
        if let Some(lines) = self.discovery.take_due_changes(now, agent, is_watching) {
            self.deliver_list(now, agent, &lines);
        }
        self.schedule_agent_write(now, agent);
    }

    /// Schedules an agent's next write, if it has changes to send and its gateway has an open watch.
    pub(super) fn schedule_agent_write(&mut self, now: Nanos, agent: usize) {
        let is_watching = self.nodes[agent].running.as_ref().is_some_and(|hollow| hollow.is_watching);
        if is_watching && let Some(at) = self.discovery.schedule_next_write(now, agent) {
            self.queue.schedule_at(at, Event::AgentWrite { agent });
        }
    }

    /// Delivers an agent's bytes to its gateway.
    fn deliver_list(&mut self, now: Nanos, gateway: usize, lines: &WatchData) {
        self.traffic.add(now, gateway, Peer::Discovery, Direction::Received, lines.bytes.len());
        self.control.discovery.add(now, self.control_machine(gateway), lines.bytes.len());
        let incarnation = self.nodes[gateway].incarnation;
        let started = thread_cpu_time();
        let receive = |hollow: &mut HollowGateway| hollow.receive_list_bytes(now, &lines.bytes);
        let Some(outcome) = self.run_gateway(now, gateway, incarnation, WorkKind::List, receive) else {
            return;
        };
        if outcome.entries > 0 && now >= self.measured.from {
            self.counts.list_bytes += lines.bytes.len() as u64;
            self.processor.list_changes.saturating_record(thread_cpu_time() - started);
        }
        if outcome.error.is_some() {
            return self.retry_watch(now, gateway, incarnation);
        }
        self.record_lists_in_force(now, gateway, &lines.changes);
    }

    fn record_lists_in_force(&mut self, now: Nanos, gateway: usize, changes: &[u32]) {
        let started_at = self.nodes[gateway].started_at;
        for change in changes {
            let at = self.discovery.changes[*change as usize].at;
            self.lists_in_force.record(at, started_at, now);
        }
    }

    fn heartbeat(&mut self, now: Nanos) {
        self.queue.schedule_at(now + HEARTBEAT_EVERY, Event::Heartbeat);
        let lines = WatchData { bytes: Rc::new(HEARTBEAT.to_vec()), changes: Vec::new() };
        for gateway in 0..self.nodes.len() {
            let is_watching = self.nodes[gateway].running.as_ref().is_some_and(|hollow| hollow.is_watching);
            if is_watching && self.discovery.is_agent_up(gateway) {
                self.deliver_list(now, gateway, &lines);
            }
        }
    }

    fn request_watch(&mut self, now: Nanos, gateway: usize, incarnation: u32) {
        let request_watch = |hollow: &mut HollowGateway| hollow.request_watch(now);
        let Some(request) = self.run_gateway(now, gateway, incarnation, WorkKind::List, request_watch) else {
            return;
        };
        self.counts.watch_requests += u64::from(now >= self.measured.from);
        let from = self.nodes[gateway].running.as_ref().map_or(0, |hollow| hollow.watch.index);
        let Some(lines) = self.discovery.watch_response(gateway, from) else {
            return self.retry_watch(now, gateway, incarnation); // the agent is down
        };
        self.traffic.add(now, gateway, Peer::Discovery, Direction::Sent, request.len());
        self.control.discovery.add(now, self.control_machine(gateway), request.len());
        self.deliver_list(now, gateway, &lines);
    }

    /// Handles the end of a watch: schedules the next request after the retry delay.
    pub(super) fn retry_watch(&mut self, now: Nanos, gateway: usize, incarnation: u32) {
        let schedule_retry = |hollow: &mut HollowGateway| hollow.watch_retry_delay(now);
        if let Some(delay) = self.run_gateway(now, gateway, incarnation, WorkKind::List, schedule_retry) {
            self.counts.watches_broken += u64::from(now >= self.measured.from);
            self.queue.schedule_after(delay, Event::WatchRequest { gateway, incarnation });
        }
    }

    fn sweep(&mut self, now: Nanos, gateway: usize, incarnation: u32) {
        let sweep = |hollow: &mut HollowGateway| hollow.sweep(now);
        let Some(outcome) = self.run_gateway(now, gateway, incarnation, WorkKind::Counter, sweep) else {
            return;
        };
        self.queue.schedule_after(SWEEP_INTERVAL, Event::Sweep { gateway, incarnation });
        for ping in outcome.pings {
            self.send_ping(now, gateway, incarnation, ping.connection, &ping.bytes);
        }
        if outcome.watch_is_unresponsive {
            self.retry_watch(now, gateway, incarnation);
        }
    }

    // ---- The agreement

    /// Builds a version of the settings. Each allows a slightly higher rate than the one before.
    fn make_version(&self, number: u64, start: Nanos) -> Version {
        let mut settings = self.settings.clone();
        let name = format!("tariffs.{}.perSecond", self.load.plan);
        let rate = settings.get(&name).and_then(|text| text.parse::<f64>().ok()).unwrap_or(1.0);
        settings.insert(name, (rate * (1.0 + number as f64 * 1e-4)).to_string());
        Version { number, start, fallback: Fallback::default_for(&self.settings), settings }
    }

    /// Publishes a new version. It starts two lease durations after the last machine has received the file.
    pub(super) fn publish_version(&mut self, now: Nanos) {
        let Some(agreement) = &self.scenario.agreement else { return };
        let spread = nanos(agreement.file_seconds);
        let start = now + spread + 2 * nanos(agreement.lease);
        let number = self.versions.len() as u64 + 1;
        let file = VersionFile::new(self.make_version(number, start), now);
        self.versions.push(Arc::new(file));
        self.counts.versions += 1;
        let version = self.versions.len() - 1;
        for gateway in 0..self.nodes.len() {
            let after = self.rng.random_range(0..=spread);
            self.queue.schedule_after(after, Event::VersionFileArrival { gateway, version });
        }
    }

    fn on_version_file(&mut self, now: Nanos, gateway: usize, version: usize) {
        let file = self.versions[version].clone();
        let node = &mut self.nodes[gateway];
        let is_newer = node.file.as_ref().is_none_or(|held| held.version.number < file.version.number);
        if is_newer {
            node.file = Some(file.clone());
        }
        let incarnation = node.incarnation;
        let offer = |hollow: &mut HollowGateway| {
            hollow.agreement.as_mut().is_some_and(|agreement| agreement.offer_version(now, &file))
        };
        if self.run_gateway(now, gateway, incarnation, WorkKind::Agreement, offer).is_some() {
            self.evaluate_agreement(now, gateway, incarnation);
        }
    }

    /// Evaluates a gateway's agreement and sends its due datagrams to all regions.
    fn evaluate_agreement(&mut self, now: Nanos, gateway: usize, incarnation: u32) {
        let evaluate = |hollow: &mut HollowGateway| hollow.evaluate_agreement(now);
        let Some(outcome) = self.run_gateway(now, gateway, incarnation, WorkKind::Agreement, evaluate) else {
            return;
        };
        for bytes in outcome.datagrams {
            self.traffic.add(now, gateway, Peer::Gateways, Direction::Sent, bytes.len());
            let bytes = Rc::new(bytes);
            for region in 0..self.scenario.regions {
                let after = self.network_delay(self.nodes[gateway].region, region);
                self.queue
                    .schedule_after(after, Event::Datagram { from: gateway, region, bytes: bytes.clone() });
            }
        }
        if let Some(next) = outcome.next_evaluation {
            self.queue.schedule_at(next, Event::EvaluateAgreement { gateway, incarnation });
        }
        if let Some(version) = outcome.in_force {
            self.record_version_in_force(now, gateway, version);
        }
    }

    fn record_version_in_force(&mut self, now: Nanos, gateway: usize, version: u64) {
        let node = &mut self.nodes[gateway];
        let (previous, started_at) = (node.version_in_force, node.started_at);
        node.version_in_force = previous.max(version);
        for number in previous + 1..=version {
            let published_at = self.versions[number as usize - 1].published_at;
            self.versions_in_force.record(published_at, started_at, now);
        }
    }

    /// Delivers a datagram to all gateways of a region, unless the sender is partitioned from it.
    fn deliver_datagram(&mut self, now: Nanos, from: usize, region: usize, bytes: &[u8]) {
        if self.is_partitioned(self.nodes[from].region, region) {
            return;
        }
        for gateway in 0..self.nodes.len() {
            let node = &self.nodes[gateway];
            if gateway == from || node.region != region || node.running.is_none() {
                continue;
            }
            let incarnation = node.incarnation;
            self.traffic.add(now, gateway, Peer::Gateways, Direction::Received, bytes.len());
            self.control.datagrams.add(now, self.control_machine(gateway), bytes.len());
            let receive = |hollow: &mut HollowGateway| hollow.receive_datagram(now, bytes);
            self.run_gateway(now, gateway, incarnation, WorkKind::Agreement, receive);
            self.evaluate_agreement(now, gateway, incarnation);
        }
    }

    // ---- The network

    /// Whether messages between two regions are lost.
    pub(super) fn is_partitioned(&self, a: usize, b: usize) -> bool {
        a != b && self.isolated_region.is_some_and(|region| region == a || region == b)
    }

    /// The one-way network delay between two regions.
    pub(super) fn network_delay(&self, a: usize, b: usize) -> Nanos {
        let network = &self.scenario.network;
        nanos(if a == b { network.delay_ms } else { network.far_delay_ms } / 1e3)
    }

    /// The number of pairs of a measured version and a gateway at which it never came into force.
    pub fn versions_not_in_force(&self) -> u64 {
        let measured =
            self.versions.iter().filter(|file| file.published_at >= self.measured.from).count() as u64;
        (measured * self.nodes.len() as u64).saturating_sub(self.versions_in_force.delays.len())
    }
}

fn build_servers(scenario: &Scenario) -> Servers {
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
