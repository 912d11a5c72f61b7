//! The emulation: clients, gateways, servers, discovery, the counter and the network on one clock. Each RPC is a
//! state machine (`RpcState`) that changes only in `set_state`, and each kind of event has one handler function.

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
use crate::policies::{HostActions, Policy, PolicyKind, SharedBuckets};
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

/// How long after its deadline an RPC may still be answered before it counts as lost.
pub const ANSWER_GRACE: Nanos = 500 * MS;

/// The states of an RPC.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RpcState {
    /// At its gateway, without an open attempt.
    Waiting,
    /// With an open attempt.
    Attempting,
    /// Finally answered. The RPC is kept until it expires, so that a second final answer is detected.
    Answered,
    /// Cancelled by its client, or its gateway was killed.
    Abandoned,
}

impl RpcState {
    /// Whether the RPC still needs a final answer.
    fn is_open(self) -> bool {
        matches!(self, RpcState::Waiting | RpcState::Attempting)
    }
}

/// An RPC, kept from its arrival until it expires.
struct TrackedRpc {
    gateway: u32,
    incarnation: u32,
    /// The index of the arrival stream that the RPC belongs to.
    stream: u32,
    arrived_at: Nanos,
    deadline: Nanos,
    /// How often the client had sent the RPC before.
    retries: u32,
    /// The number of the next attempt, from 0.
    next_attempt: u16,
    state: RpcState,
}

/// An open attempt, as its gateway tracks it.
struct Attempt {
    server: u32,
    server_incarnation: u32,
    sent_at: Nanos,
}

/// A gateway and its open attempts, by RPC and number.
struct Gateway {
    lifecycle: Lifecycle,
    policy: Option<Box<dyn Policy>>,
    attempts: BTreeMap<(u32, u16), Attempt>,
    /// The serial numbers of the open calls to the counter.
    counter_calls: BTreeSet<u64>,
}

impl Gateway {
    fn new(zone: u32) -> Gateway {
        Gateway {
            lifecycle: Lifecycle::new(zone),
            policy: None,
            attempts: BTreeMap::new(),
            counter_calls: BTreeSet::new(),
        }
    }
}

/// A gateway's call to the shared counter.
#[derive(Clone, Copy, Debug)]
struct CounterCall {
    gateway: u32,
    incarnation: u32,
    serial: u64,
    name: u64,
    add: f64,
    forget: Nanos,
}

/// A gateway's final answer other than ok.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ErrorAnswer {
    /// The client may retry safely after this time; 0 gives no advice.
    Rejected { retry_after: Nanos },
    /// The RPC may have run, so a retry may be unsafe.
    Aborted,
}

/// The events of the emulation. Timers, replies and ends of attempts for an earlier incarnation are ignored.
#[derive(Debug)]
enum Event {
    Arrival { stream: u32 },
    Retry { stream: u32, retries: u32 },
    ClientCancel { rpc: u32 },
    RpcExpiry { rpc: u32 },
    Timer { gateway: u32, incarnation: u32, token: u32 },
    AttemptArrival { attempt: AttemptRef, server: u32, server_incarnation: u32 },
    AttemptEnd { attempt: AttemptRef, outcome: CallOutcome },
    AttemptTimeout { attempt: AttemptRef },
    AttemptServed { server: u32, server_incarnation: u32 },
    CounterRequest(CounterCall),
    CounterReply { call: CounterCall, total: f64 },
    CounterTimeout(CounterCall),
    ServerList,
    Fault { index: usize, starts: bool },
    ReplaceServer { server: u32 },
    StopGateway { gateway: u32, incarnation: u32 },
    StartGateway { gateway: u32 },
    Sample,
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
    rpcs: BTreeMap<u32, TrackedRpc>,
    next_rpc: u32,
    /// The measurements so far.
    pub record: Record,
    shared_buckets: Rc<RefCell<SharedBuckets>>,
    fault_rng: ChaCha8Rng,
    /// The numbers drawn for each fault, by its index in the scenario. A fault ends at the servers at which it began.
    fault_targets: BTreeMap<usize, Vec<u32>>,
    /// Whether a server list is scheduled. Changes until then are sent with it.
    list_scheduled: bool,
    /// The additional delay of server lists during a `list_late` fault.
    extra_list_delay: Nanos,
    /// The end of the scenario, after which no RPCs arrive.
    end: Nanos,
    /// Events after this time aren't handled. All RPCs expire before it.
    horizon: Nanos,
    counter_timeout: Nanos,
    dial_timeout: Nanos,
    next_serial: u64,
    /// The buffer for the actions that a policy requests during one call.
    actions: HostActions,
}

/// Runs a scenario with one policy to its end and returns the measurements.
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
    /// The initial state of a scenario, with its first events scheduled.
    pub fn new(scenario: &Scenario, kind: PolicyKind) -> World {
        let seed = scenario.seed;
        let methods = scenario.methods().unwrap_or_default();
        let plans = scenario.plans().unwrap_or_default();
        let settings = scenario.flat_settings();
        let number_setting = |name: &str, default: f64| {
            settings.get(name).and_then(|text| text.parse().ok()).unwrap_or(default)
        };
        let (counter_timeout, dial_timeout) = (
            nanos(number_setting("extra.countWait", 0.05)),
            nanos(number_setting("ceilings.dialTimeout", 0.25)),
        );
        let zones = scenario.servers.zones;
        let gateways = (0..scenario.gateways).map(|number| Gateway::new(number % zones)).collect();
        let end = nanos(scenario.seconds);
        let longest_deadline = methods.iter().map(|method| method.deadline).max().unwrap_or(SEC);
        let overshoot_window = nanos(60.0).min(end.max(1));
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
            record: Record::new(nanos(scenario.bucket_seconds), overshoot_window),
            shared_buckets: SharedBuckets::new_shared(nanos(scenario.baselines.late_ms / 1e3)),
            fault_rng: rng::stream(seed, Stream::Faults),
            fault_targets: BTreeMap::new(),
            list_scheduled: false,
            extra_list_delay: 0,
            end,
            horizon: end + longest_deadline + ANSWER_GRACE + SEC,
            counter_timeout,
            dial_timeout,
            next_serial: 0,
            actions: HostActions::default(),
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
            self.start_policy(gateway);
        }
        self.queue.schedule_at(0, Event::ServerList);
        self.queue.schedule_at(0, Event::Sample);
        for stream in 0..self.clients.streams.len() {
            if let Some(delay) = self.clients.next_arrival_delay(stream) {
                self.queue.schedule_at(delay, Event::Arrival { stream: stream as u32 });
            }
        }
        for (index, trouble) in self.scenario.faults.iter().enumerate() {
            let (starts, ends) = trouble.span();
            self.queue.schedule_at(starts, Event::Fault { index, starts: true });
            if let Some(ends) = ends {
                self.queue.schedule_at(ends, Event::Fault { index, starts: false });
            }
        }
    }

    /// Handles events until the horizon. Arrivals stop at the scenario's end; the RPCs that are still open then have
    /// until their deadlines plus `ANSWER_GRACE`.
    pub fn run(&mut self, progress: Option<&indicatif::ProgressBar>) {
        while let Some((now, event)) = self.queue.pop_until(self.horizon) {
            if let (Event::Sample, Some(bar)) = (&event, progress) {
                bar.set_position(now / SEC);
            }
            self.handle_event(now, event);
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

    fn handle_event(&mut self, now: Nanos, event: Event) {
        match event {
            Event::Arrival { stream } => self.rpc_arrived(now, stream, 0, true),
            Event::Retry { stream, retries } => self.rpc_arrived(now, stream, retries, false),
            Event::ClientCancel { rpc } => self.client_cancelled(rpc),
            Event::RpcExpiry { rpc } => self.rpc_expired(rpc),
            Event::Timer { gateway, incarnation, token } => {
                self.timer_expired(now, gateway, incarnation, token)
            }
            Event::AttemptArrival { attempt, server, server_incarnation } => {
                self.attempt_arrived(now, attempt, server, server_incarnation)
            }
            Event::AttemptEnd { attempt, outcome } => self.attempt_ended(now, attempt, outcome),
            Event::AttemptTimeout { attempt } => self.attempt_ended(now, attempt, CallOutcome::TimedOut),
            Event::AttemptServed { server, server_incarnation } => {
                self.servers.release_slot(server, server_incarnation)
            }
            Event::CounterRequest(call) => self.counter_request(now, call),
            Event::CounterReply { call, total } => self.counter_call_ended(now, call, CallOutcome::Ok, total),
            Event::CounterTimeout(call) => self.counter_call_ended(now, call, CallOutcome::TimedOut, 0.0),
            Event::ServerList => self.send_server_list(now),
            Event::Fault { index, starts } => self.apply_fault(now, index, starts),
            Event::ReplaceServer { server } => self.replace_server(now, server),
            Event::StopGateway { gateway, incarnation } => self.stop_gateway(now, gateway, incarnation),
            Event::StartGateway { gateway } => self.start_gateway(now, gateway),
            Event::Sample => self.sample_gauges(now),
        }
    }

    /// Records the numbers of gateways that accept clients and of tracked RPCs, once in each row of the table.
    fn sample_gauges(&mut self, now: Nanos) {
        let gateways_up =
            self.gateways.iter().filter(|gateway| gateway.lifecycle.accepts_clients()).count() as u32;
        self.record.record_gauges(now, gateways_up, self.rpcs.len() as u64);
        if now < self.end {
            self.queue.schedule_after(nanos(self.scenario.bucket_seconds), Event::Sample);
        }
    }
}

/// The utility of an ok answer: the method's credit until its soft deadline, then falling linearly to 0 at the deadline.
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
