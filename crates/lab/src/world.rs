//! The emulation: clients, gateways, servers, discovery, the counter and the network on one clock. Each RPC is a
//! state machine (`RpcState`) changed by `set_state` alone; each event is handled by one function.

mod attempts;
mod counter_calls;
mod discovery;
mod faults;
mod gateways;
mod rpcs;

use crate::clients::Clients;
use crate::counter::Counter;
use crate::lifecycle::Lifecycle;
use crate::network::Network;
use crate::policies::{HostActions, Ledger, Policy, PolicyKind};
use crate::queue::EventQueue;
use crate::record::Record;
use crate::rng::{self, Stream};
use crate::scenario::{Method, Plan, Scenario};
use crate::servers::{AttemptRef, Servers};
use crate::{MS, Nanos, SEC, nanos};
use martenramp::host::{CallOutcome, Settings};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Past its deadline an RPC's client waits so long for an answer before the RPC counts as lost.
pub const GRACE: Nanos = 500 * MS;

/// The states of an RPC, as the client and the gateway see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RpcState {
    /// At its gateway, with no attempt open.
    Waiting,
    /// An attempt is open.
    Attempting,
    /// It has its final answer; kept until its deadline so that a second one is seen.
    Answered,
    /// Its client left, or its gateway was killed.
    Abandoned,
}

impl RpcState {
    /// Whether the RPC still has to get its final answer.
    fn is_open(self) -> bool {
        matches!(self, RpcState::Waiting | RpcState::Attempting)
    }
}

/// An RPC from its arrival until it is overdue.
struct LiveRpc {
    gateway: u32,
    incarnation: u32,
    stream: u32,
    arrived: Nanos,
    deadline: Nanos,
    tries: u32,
    nth: u16,
    state: RpcState,
}

struct Attempt {
    server: u32,
    server_incarnation: u32,
    sent: Nanos,
}

struct Gateway {
    lifecycle: Lifecycle,
    gate: Option<Box<dyn Policy>>,
    attempts: BTreeMap<(u32, u16), Attempt>,
    /// Serials of the calls to the counter that are open.
    counter_calls: BTreeSet<u64>,
}

impl Gateway {
    fn new(zone: u32) -> Gateway {
        Gateway {
            lifecycle: Lifecycle::new(zone),
            gate: None,
            attempts: BTreeMap::new(),
            counter_calls: BTreeSet::new(),
        }
    }
}

/// A call of a gateway to the shared counter.
#[derive(Clone, Copy, Debug)]
struct CounterCall {
    gateway: u32,
    incarnation: u32,
    serial: u64,
    name: u64,
    add: f64,
    forget: Nanos,
}

/// A final answer of a gateway other than ok.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Refusal {
    /// Trying again does no harm, after this time (0 gives no advice).
    Rejected { retry_after: Nanos },
    /// Nothing is promised: the RPC may have run.
    Aborted,
}

#[derive(Debug)]
enum Event {
    Arrive { stream: u32 },
    Retry { stream: u32, tries: u32 },
    Leave { rpc: u32 },
    Overdue { rpc: u32 },
    Wake { gateway: u32, incarnation: u32, token: u32 },
    AttemptAtServer { attempt: AttemptRef, server: u32, server_incarnation: u32 },
    AttemptEnd { attempt: AttemptRef, how: CallOutcome },
    AttemptTimeout { attempt: AttemptRef },
    ServerFreed { server: u32, server_incarnation: u32 },
    CounterRequest(CounterCall),
    CounterReply { call: CounterCall, total: f64 },
    CounterTimeout(CounterCall),
    List,
    Trouble { index: usize, starts: bool },
    Replace { server: u32 },
    Stop { gateway: u32, incarnation: u32 },
    Start { gateway: u32 },
    Tick,
}

/// The state of an emulation.
pub struct World {
    scenario: Scenario,
    kind: PolicyKind,
    queue: EventQueue<Event>,
    settings: Settings,
    methods: Vec<Method>,
    plans: Vec<Plan>,
    clients: Clients,
    servers: Servers,
    counter: Counter,
    network: Network,
    gateways: Vec<Gateway>,
    rpcs: BTreeMap<u32, LiveRpc>,
    next_rpc: u32,
    /// What was measured so far.
    pub record: Record,
    ledger: Rc<RefCell<Ledger>>,
    troubles: ChaCha8Rng,
    picked: BTreeMap<usize, Vec<u32>>,
    list_due: bool,
    list_late: Nanos,
    end: Nanos,
    horizon: Nanos,
    counter_timeout: Nanos,
    dial_timeout: Nanos,
    next_serial: u64,
    wishes: HostActions,
}

/// Plays a scenario with one policy to its end and gives what was measured.
pub fn run_scenario(
    scenario: &Scenario,
    kind: PolicyKind,
    progress: Option<&indicatif::ProgressBar>,
) -> Record {
    let mut world = World::new(scenario, kind);
    world.run(progress);
    world.record
}

impl World {
    /// A world in which nothing has happened yet.
    pub fn new(scenario: &Scenario, kind: PolicyKind) -> World {
        let seed = scenario.seed;
        let methods = scenario.methods().unwrap_or_default();
        let plans = scenario.plans().unwrap_or_default();
        let settings = scenario.flat_settings();
        let number = |name: &str, default: f64| {
            settings.get(name).and_then(|text| text.parse().ok()).unwrap_or(default)
        };
        let (counter_timeout, dial_timeout) =
            (nanos(number("extra.countWait", 0.05)), nanos(number("ceilings.dialTimeout", 0.25)));
        let zones = scenario.servers.zones;
        let gateways = (0..scenario.gateways).map(|at| Gateway::new(at % zones)).collect();
        let end = nanos(scenario.seconds);
        let longest = methods.iter().map(|method| method.deadline).max().unwrap_or(SEC);
        let window = nanos(60.0).min(end.max(1));
        let mut world = World {
            kind,
            queue: EventQueue::default(),
            clients: Clients::new(scenario, &methods, &plans, rng::stream(seed, Stream::Arrivals)),
            servers: Servers::new(&scenario.servers, rng::stream(seed, Stream::Servers)),
            counter: Counter::new(scenario.counter.enabled),
            network: Network::new(&scenario.network, zones, rng::stream(seed, Stream::Network)),
            gateways,
            rpcs: BTreeMap::new(),
            next_rpc: 1,
            record: Record::new(nanos(scenario.bucket_seconds), window),
            ledger: Ledger::shared(nanos(scenario.baselines.late_ms / 1e3)),
            troubles: rng::stream(seed, Stream::Faults),
            picked: BTreeMap::new(),
            list_due: false,
            list_late: 0,
            end,
            horizon: end + longest + GRACE + SEC,
            counter_timeout,
            dial_timeout,
            next_serial: 0,
            wishes: HostActions::default(),
            settings,
            methods,
            plans,
            scenario: scenario.clone(),
        };
        world.schedule_first_events();
        world
    }

    fn schedule_first_events(&mut self) {
        for gateway in 0..self.scenario.gateways {
            self.start_gate(gateway);
        }
        self.queue.schedule_at(0, Event::List);
        self.queue.schedule_at(0, Event::Tick);
        for stream in 0..self.clients.streams.len() {
            if let Some(gap) = self.clients.gap(stream) {
                self.queue.schedule_at(gap, Event::Arrive { stream: stream as u32 });
            }
        }
        for (index, trouble) in self.scenario.faults.iter().enumerate() {
            let (starts, ends) = trouble.span();
            self.queue.schedule_at(starts, Event::Trouble { index, starts: true });
            if let Some(ends) = ends {
                self.queue.schedule_at(ends, Event::Trouble { index, starts: false });
            }
        }
    }

    /// Handles events until the horizon: arrivals stop at the scenario's end, and every RPC then has until its
    /// deadline and the grace to end.
    pub fn run(&mut self, progress: Option<&indicatif::ProgressBar>) {
        while let Some((now, event)) = self.queue.pop_until(self.horizon) {
            if let (Event::Tick, Some(bar)) = (&event, progress) {
                bar.set_position(now / SEC);
            }
            self.handle(now, event);
            if self.queue.now() > self.end && self.rpcs.is_empty() {
                break;
            }
        }
        self.record.events = self.queue.events_popped;
        let streams = &self.clients.streams;
        let plans = &self.plans;
        let mut by_customer = BTreeMap::new();
        for stream in streams {
            let plan = &plans[stream.plan as usize];
            by_customer.insert(stream.customer, (plan.rate, plan.burst));
        }
        self.record.finish(|customer| by_customer.get(&customer).copied().unwrap_or((0.0, 0.0)));
    }

    fn handle(&mut self, now: Nanos, event: Event) {
        match event {
            Event::Arrive { stream } => self.arrive(now, stream, 0, true),
            Event::Retry { stream, tries } => self.arrive(now, stream, tries, false),
            Event::Leave { rpc } => self.leave(rpc),
            Event::Overdue { rpc } => self.overdue(rpc),
            Event::Wake { gateway, incarnation, token } => self.wake(now, gateway, incarnation, token),
            Event::AttemptAtServer { attempt, server, server_incarnation } => {
                self.at_server(now, attempt, server, server_incarnation)
            }
            Event::AttemptEnd { attempt, how } => self.attempt_ended(now, attempt, how),
            Event::AttemptTimeout { attempt } => self.attempt_ended(now, attempt, CallOutcome::TimedOut),
            Event::ServerFreed { server, server_incarnation } => {
                self.servers.release_slot(server, server_incarnation)
            }
            Event::CounterRequest(call) => self.counter_request(now, call),
            Event::CounterReply { call, total } => self.counter_call_ended(now, call, CallOutcome::Ok, total),
            Event::CounterTimeout(call) => self.counter_call_ended(now, call, CallOutcome::TimedOut, 0.0),
            Event::List => self.list(now),
            Event::Trouble { index, starts } => self.trouble(now, index, starts),
            Event::Replace { server } => self.replace(now, server),
            Event::Stop { gateway, incarnation } => self.stop(now, gateway, incarnation),
            Event::Start { gateway } => self.start(now, gateway),
            Event::Tick => self.tick(now),
        }
    }

    fn tick(&mut self, now: Nanos) {
        let up = self.gateways.iter().filter(|gateway| gateway.lifecycle.accepts_clients()).count() as u32;
        self.record.record_gauges(now, up, self.rpcs.len() as u64);
        if now < self.end {
            self.queue.schedule_after(nanos(self.scenario.bucket_seconds), Event::Tick);
        }
    }
}

/// What an ok answer earns: the method's credit by its soft deadline, falling evenly to nought at the deadline.
pub fn utility(method: &Method, arrived: Nanos, deadline: Nanos, now: Nanos) -> f64 {
    let soft = arrived + method.soft_deadline;
    if now <= soft {
        method.credit
    } else if now >= deadline || deadline <= soft {
        0.0
    } else {
        method.credit * (deadline - now) as f64 / (deadline - soft) as f64
    }
}
