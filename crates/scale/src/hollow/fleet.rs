//! A hollow fleet on one emulated clock: gateways, their agents, the servers and the counter, and every event between them.

use super::agreeing::VersionFile;
use super::discovery::{Discovery, HEARTBEAT, HEARTBEAT_EVERY, Lines};
use super::figures::{Counts, InForce, Processor, Work, processor_now};
use super::gateway::{Agreed, HollowGateway, Start};
use super::rpcs::{CounterCall, Load};
use super::scenario::Scenario;
use super::script::Step;
use super::traffic::{ControlLoad, Direction, Frame, Peer, Traffic};
use super::{Nanos, SEC, nanos};
use crate::alloc;
use agreement::config::AgreementConfig;
use agreement::version::{Fallback, Version};
use gateway::services::Services;
use lab::chance::{self, Stream};
use lab::counter::Counter;
use lab::queue::Queue;
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
    Arrive,
    Wake { gateway: usize, life: u32, token: u32 },
    AtServer { call: AttemptRef, server: u32, server_life: u32 },
    Back { call: AttemptRef, how: CallOutcome },
    Freed { server: u32, server_life: u32 },
    CountAt(CounterCall),
    CountBack { gateway: usize, life: u32, line: usize, bytes: Vec<u8> },
    CountLimit { gateway: usize, life: u32, line: usize, serial: u64 },
    AgentWrites { agent: usize },
    Heartbeat,
    AskList { gateway: usize, life: u32 },
    Sweep { gateway: usize, life: u32 },
    Agree { gateway: usize, life: u32 },
    Datagram { from: usize, region: usize, bytes: Rc<Vec<u8>> },
    FileCame { gateway: usize, version: usize },
    Step(Step),
}

/// A place for a gateway: who is there now, and since when.
pub struct Place {
    pub hollow: Option<HollowGateway>,
    pub life: u32,
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
    pub started: u64,
    pub ended: u64,
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
    pub frame: Frame,
    pub(super) queue: Queue<Event>,
    pub(super) places: Vec<Place>,
    pub discovery: Discovery,
    pub(super) servers: Servers,
    pub counter: Counter,
    pub(super) load: Load,
    pub traffic: Traffic,
    pub control: Control,
    pub processor: Processor,
    pub lists_in_force: InForce,
    pub versions_in_force: InForce,
    pub counts: Counts,
    pub memory: Memory,
    pub(super) draws: ChaCha8Rng,
    settings: Settings,
    zones: Vec<String>,
    terms: Option<AgreementConfig>,
    versions: Vec<Arc<VersionFile>>,
    /// The region that is cut off from all others.
    pub(super) apart: Option<usize>,
    end: Nanos,
}

impl<'a> Fleet<'a> {
    /// All gateways start at once, on the list that they held if the scenario says so.
    pub fn new(scenario: &'a Scenario) -> Fleet<'a> {
        alloc::reset_peak();
        let from = EPOCH + nanos(scenario.warm_seconds);
        let frame = Frame { from, seconds: scenario.seconds.ceil() as usize };
        let played = scenario.played();
        let machines = || ControlLoad::new(frame, scenario.control_machines);
        let zones = scenario.zone_names();
        let mut fleet = Fleet {
            scenario,
            frame,
            queue: Queue::default(),
            places: Vec::with_capacity(played),
            discovery: Discovery::new(&zones, scenario.services, scenario.servers_in_all(), scenario.servers),
            servers: servers(scenario),
            counter: Counter::new(true),
            load: Load::new(scenario),
            traffic: Traffic::new(frame, played),
            control: Control { discovery: machines(), counter: machines(), datagrams: machines() },
            processor: Processor::new(frame, played),
            lists_in_force: InForce::new(from),
            versions_in_force: InForce::new(from),
            counts: Counts::default(),
            memory: Memory { before: alloc::counts().held, ..Memory::default() },
            draws: chance::stream(scenario.seed, Stream::Troubles),
            settings: scenario.settings(),
            zones,
            terms: scenario.agreement.as_ref().map(|terms| AgreementConfig {
                voters: (0..terms.voters as u32).collect(),
                lease_duration: nanos(terms.lease),
                max_clock_error: nanos(terms.clock),
            }),
            versions: Vec::new(),
            apart: None,
            end: from + nanos(scenario.seconds),
        };
        fleet.queue.at(EPOCH, Event::Arrive);
        fleet.queue.at(EPOCH + HEARTBEAT_EVERY, Event::Heartbeat);
        if fleet.terms.is_some() {
            fleet.versions.push(Arc::new(VersionFile::new(fleet.version(1, 0), 0)));
        }
        for number in 0..played {
            fleet.add_place(number);
        }
        (0..played).for_each(|gateway| fleet.start(EPOCH, gateway, true));
        fleet.memory.started = alloc::counts().held.saturating_sub(fleet.memory.before);
        fleet.schedule_script(from);
        fleet
    }

    fn add_place(&mut self, number: usize) {
        let zone = number % self.scenario.zones;
        let met =
            (0..self.scenario.services_each()).map(|nth| self.scenario.service_met(number, nth)).collect();
        let delays = &self.scenario.discovery;
        let delay = self.draws.random_range(delays.delay_ms_least..=delays.delay_ms_most);
        self.discovery.add_agent(met, nanos(delay / 1e3));
        self.places.push(Place {
            hollow: None,
            life: 0,
            zone,
            region: zone % self.scenario.regions,
            started: 0,
            file: self.versions.first().cloned(),
            version: 0,
        });
    }

    /// Plays until the scenario's end.
    pub fn run(&mut self) {
        while let Some((now, event)) = self.queue.next(self.end - 1) {
            self.handle(now, event);
        }
        let counts = alloc::counts();
        self.memory.ended = counts.held.saturating_sub(self.memory.before);
        self.memory.peak = counts.peak.saturating_sub(self.memory.before);
    }

    fn handle(&mut self, now: Nanos, event: Event) {
        match event {
            Event::Arrive => self.arrive(now),
            Event::Wake { gateway, life, token } => {
                self.enter(now, gateway, life, Work::Rpcs, |hollow| hollow.woke(now, token));
            }
            Event::AtServer { call, server, server_life } => self.at_server(now, call, server, server_life),
            Event::Back { call, how } => self.call_ended(now, call, how),
            Event::Freed { server, server_life } => self.servers.free(server, server_life),
            Event::CountAt(call) => self.count_at(now, call),
            Event::CountBack { gateway, life, line, bytes } => {
                self.count_back(now, gateway, life, line, &bytes)
            }
            Event::CountLimit { gateway, life, line, serial } => {
                let timed_out = |hollow: &mut HollowGateway| hollow.count_timed_out(now, line, serial);
                self.enter(now, gateway, life, Work::Counter, timed_out);
            }
            Event::AgentWrites { agent } => self.agent_writes(now, agent),
            Event::Heartbeat => self.heartbeat(now),
            Event::AskList { gateway, life } => self.ask_list(now, gateway, life),
            Event::Sweep { gateway, life } => self.sweep(now, gateway, life),
            Event::Agree { gateway, life } => self.agree(now, gateway, life),
            Event::Datagram { from, region, bytes } => self.datagram(now, from, region, &bytes),
            Event::FileCame { gateway, version } => self.file_came(now, gateway, version),
            Event::Step(step) => self.carry_out(now, step),
        }
    }

    /// Lets a gateway's state machines work, takes the processor time, and carries out what they ask for. Nothing if this
    /// life of the gateway is over.
    pub(super) fn enter<T>(
        &mut self,
        now: Nanos,
        gateway: usize,
        life: u32,
        work: Work,
        does: impl FnOnce(&mut HollowGateway) -> T,
    ) -> Option<T> {
        let place = &mut self.places[gateway];
        let hollow = place.hollow.as_mut().filter(|_| place.life == life)?;
        let begun = processor_now();
        let result = does(hollow);
        self.processor.add(now, gateway, work, processor_now() - begun);
        self.carry_wishes(now, gateway, work);
        Some(result)
    }

    // ---- Lives

    /// A gateway starts, on the list that it held before where it held one.
    pub(super) fn start(&mut self, now: Nanos, gateway: usize, first: bool) {
        let place = &mut self.places[gateway];
        place.life += 1;
        place.started = now;
        let life = place.life;
        let agreed = place.file.clone().zip(self.terms.clone());
        let start = Start {
            number: gateway as u32,
            zone: place.zone,
            seed: chance::gateway_seed(self.scenario.seed, gateway as u32, life),
            settings: &self.settings,
            zones: &self.zones,
            services: self.scenario.services as u32,
            agreed: agreed.map(|(file, terms)| Agreed { file, terms, fresh: first }),
        };
        place.hollow = Some(HollowGateway::new(&start, now));
        let known = (self.scenario.discovery.known || !first).then(|| self.discovery.known(gateway));
        if let Some((list, changes)) = known {
            let list = serde_json::from_str(&list)
                .ok()
                .and_then(|list| gateway::list::parse(&list, &Services::default()));
            let read = |hollow: &mut HollowGateway| {
                list.into_iter().for_each(|told| hollow.told(now, told));
                hollow.ask_again_after(now)
            };
            let rest = self.enter(now, gateway, life, Work::List, read).unwrap_or(0);
            self.lists_reached(now, gateway, &changes);
            self.queue.after(rest, Event::AskList { gateway, life });
        } else {
            self.queue.at(now, Event::AskList { gateway, life });
        }
        let phase = self.draws.random_range(0..SWEEP_EVERY);
        self.queue.at(now + phase, Event::Sweep { gateway, life });
        self.agree(now, gateway, life);
    }

    /// A gateway is killed: all that it held is cut.
    pub(super) fn kill(&mut self, gateway: usize) {
        let place = &mut self.places[gateway];
        if let Some(hollow) = place.hollow.take() {
            let measured = hollow.rpcs.values().filter(|rpc| rpc.arrived >= self.frame.from);
            self.counts.cut += measured.count() as u64;
        }
    }

    // ---- The list

    fn machine(&self, gateway: usize) -> usize {
        gateway % self.scenario.control_machines
    }

    fn agent_writes(&mut self, now: Nanos, agent: usize) {
        let open = self.places[agent].hollow.as_ref().is_some_and(|hollow| hollow.watching);
        if let Some(lines) = self.discovery.write(now, agent, open) {
            self.list_came(now, agent, &lines);
        }
        self.agent_goes_on(now, agent);
    }

    /// Sets when an agent writes next, if it holds something back.
    pub(super) fn agent_goes_on(&mut self, now: Nanos, agent: usize) {
        let open = self.places[agent].hollow.as_ref().is_some_and(|hollow| hollow.watching);
        if open && let Some(at) = self.discovery.writes_next(now, agent) {
            self.queue.at(at, Event::AgentWrites { agent });
        }
    }

    /// An agent's bytes come to its gateway.
    fn list_came(&mut self, now: Nanos, gateway: usize, lines: &Lines) {
        self.traffic.add(now, gateway, Peer::Discovery, Direction::Received, lines.bytes.len());
        self.control.discovery.add(now, self.machine(gateway), lines.bytes.len());
        let life = self.places[gateway].life;
        let begun = processor_now();
        let came = |hollow: &mut HollowGateway| hollow.list_came(now, &lines.bytes);
        let Some(outcome) = self.enter(now, gateway, life, Work::List, came) else { return };
        if outcome.entries > 0 && now >= self.frame.from {
            self.counts.list_bytes += lines.bytes.len() as u64;
            self.processor.list_changes.saturating_record(processor_now() - begun);
        }
        if outcome.broken.is_some() {
            return self.watch_broke(now, gateway, life);
        }
        self.lists_reached(now, gateway, &lines.changes);
    }

    fn lists_reached(&mut self, now: Nanos, gateway: usize, changes: &[u32]) {
        let started = self.places[gateway].started;
        for place in changes {
            let at = self.discovery.changes[*place as usize].at;
            self.lists_in_force.reached(at, started, now);
        }
    }

    fn heartbeat(&mut self, now: Nanos) {
        self.queue.at(now + HEARTBEAT_EVERY, Event::Heartbeat);
        let lines = Lines { bytes: Rc::new(HEARTBEAT.to_vec()), changes: Vec::new() };
        for gateway in 0..self.places.len() {
            let open = self.places[gateway].hollow.as_ref().is_some_and(|hollow| hollow.watching);
            if open && self.discovery.is_up(gateway) {
                self.list_came(now, gateway, &lines);
            }
        }
    }

    fn ask_list(&mut self, now: Nanos, gateway: usize, life: u32) {
        let ask = |hollow: &mut HollowGateway| hollow.ask(now);
        let Some(request) = self.enter(now, gateway, life, Work::List, ask) else { return };
        self.counts.watch_requests += u64::from(now >= self.frame.from);
        let from = self.places[gateway].hollow.as_ref().map_or(0, |hollow| hollow.watch.index);
        let Some(lines) = self.discovery.answer(gateway, from) else {
            return self.watch_broke(now, gateway, life); // refused
        };
        self.traffic.add(now, gateway, Peer::Discovery, Direction::Sent, request.len());
        self.control.discovery.add(now, self.machine(gateway), request.len());
        self.list_came(now, gateway, &lines);
    }

    /// The watch is over; it is asked for again after a rest.
    pub(super) fn watch_broke(&mut self, now: Nanos, gateway: usize, life: u32) {
        let rests = |hollow: &mut HollowGateway| hollow.ask_again_after(now);
        if let Some(rest) = self.enter(now, gateway, life, Work::List, rests) {
            self.counts.watches_broken += u64::from(now >= self.frame.from);
            self.queue.after(rest, Event::AskList { gateway, life });
        }
    }

    fn sweep(&mut self, now: Nanos, gateway: usize, life: u32) {
        let look = |hollow: &mut HollowGateway| hollow.sweep(now);
        let Some(outcome) = self.enter(now, gateway, life, Work::Counter, look) else { return };
        self.queue.after(SWEEP_EVERY, Event::Sweep { gateway, life });
        for ping in outcome.pings {
            self.ping(now, gateway, life, ping.line, &ping.bytes);
        }
        if outcome.watch_is_silent {
            self.watch_broke(now, gateway, life);
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
    pub(super) fn put_out_version(&mut self, now: Nanos) {
        let Some(agreement) = &self.scenario.agreement else { return };
        let spread = nanos(agreement.file_seconds);
        let start = now + spread + 2 * nanos(agreement.lease);
        let number = self.versions.len() as u64 + 1;
        let file = VersionFile::new(self.version(number, start), now);
        self.versions.push(Arc::new(file));
        self.counts.versions += 1;
        let version = self.versions.len() - 1;
        for gateway in 0..self.places.len() {
            let after = self.draws.random_range(0..=spread);
            self.queue.after(after, Event::FileCame { gateway, version });
        }
    }

    fn file_came(&mut self, now: Nanos, gateway: usize, version: usize) {
        let file = self.versions[version].clone();
        let place = &mut self.places[gateway];
        let newer = place.file.as_ref().is_none_or(|held| held.version.number < file.version.number);
        if newer {
            place.file = Some(file.clone());
        }
        let life = place.life;
        let take = |hollow: &mut HollowGateway| {
            hollow.agreeing.as_mut().is_some_and(|agreeing| agreeing.take_file(now, &file))
        };
        if self.enter(now, gateway, life, Work::Agreement, take).is_some() {
            self.agree(now, gateway, life);
        }
    }

    /// A gateway looks at what it may act on and tells others what there is to tell.
    fn agree(&mut self, now: Nanos, gateway: usize, life: u32) {
        let look = |hollow: &mut HollowGateway| hollow.agree(now);
        let Some(outcome) = self.enter(now, gateway, life, Work::Agreement, look) else { return };
        for bytes in outcome.datagrams {
            self.traffic.add(now, gateway, Peer::Gateways, Direction::Sent, bytes.len());
            let bytes = Rc::new(bytes);
            for region in 0..self.scenario.regions {
                let after = self.delay(self.places[gateway].region, region);
                self.queue.after(after, Event::Datagram { from: gateway, region, bytes: bytes.clone() });
            }
        }
        if let Some(next) = outcome.looks_next {
            self.queue.at(next, Event::Agree { gateway, life });
        }
        if let Some(version) = outcome.in_force {
            self.version_in_force(now, gateway, version);
        }
    }

    fn version_in_force(&mut self, now: Nanos, gateway: usize, version: u64) {
        let place = &mut self.places[gateway];
        let (before, started) = (place.version, place.started);
        place.version = before.max(version);
        for number in before + 1..=version {
            let put_out = self.versions[number as usize - 1].put_out;
            self.versions_in_force.reached(put_out, started, now);
        }
    }

    /// A datagram reaches all gateways of a region.
    fn datagram(&mut self, now: Nanos, from: usize, region: usize, bytes: &[u8]) {
        if self.is_apart(self.places[from].region, region) {
            return;
        }
        for gateway in 0..self.places.len() {
            let place = &self.places[gateway];
            if gateway == from || place.region != region || place.hollow.is_none() {
                continue;
            }
            let life = place.life;
            self.traffic.add(now, gateway, Peer::Gateways, Direction::Received, bytes.len());
            self.control.datagrams.add(now, self.machine(gateway), bytes.len());
            let hear = |hollow: &mut HollowGateway| hollow.hear(now, bytes);
            self.enter(now, gateway, life, Work::Agreement, hear);
            self.agree(now, gateway, life);
        }
    }

    // ---- The network

    pub(super) fn is_apart(&self, one: usize, two: usize) -> bool {
        one != two && self.apart.is_some_and(|region| region == one || region == two)
    }

    /// How long a message takes one way.
    pub(super) fn delay(&self, one: usize, two: usize) -> Nanos {
        let network = &self.scenario.network;
        nanos(if one == two { network.delay_ms } else { network.far_delay_ms } / 1e3)
    }

    /// Pairs of a measured version and a gateway where it never came into force.
    pub fn versions_not_in_force(&self) -> u64 {
        let measured = self.versions.iter().filter(|file| file.put_out >= self.frame.from).count() as u64;
        (measured * self.places.len() as u64).saturating_sub(self.versions_in_force.times.len())
    }
}

fn servers(scenario: &Scenario) -> Servers {
    let model = lab::scenario::Servers {
        count: scenario.servers_in_all() as u32,
        zones: scenario.zones as u32,
        slots: scenario.server.slots,
        service_ms: scenario.server.service_ms,
        service_sigma: scenario.server.spread,
        cold_seconds: scenario.server.cold_seconds,
        cold_share: scenario.server.cold_share,
        error_share: 0.0,
    };
    let mut servers = Servers::new(&model, chance::stream(scenario.seed, Stream::Servers));
    (scenario.servers..scenario.servers_in_all()).for_each(|spare| servers.down(spare as u32));
    servers
}
