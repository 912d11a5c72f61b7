//! The load on a hollow fleet: arrivals of RPCs, their attempts at servers, and calls to the counter.

use super::fleet::{Event, Fleet};
use super::gateway::{OpenAttempt, OpenRpc, SentCall};
use super::scenario::Scenario;
use super::stats::{RunCounters, WorkKind};
use super::traffic::{Direction, Peer};
use super::{Nanos, SEC, nanos};
use lab::policies::HostAction;
use lab::rng::{self, Stream};
use lab::servers::{AttemptRef, Disposition};
use martenramp::host::{Arrival, CallOutcome};
use rand::Rng;
use rand::distr::{Distribution, weighted::WeightedIndex};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Exp1, LogNormal};
use rig::measure::ServerRpc;

const MS: Nanos = 1_000_000;
/// The margin that the product subtracts from a client's deadline.
const DEADLINE_MARGIN: Nanos = 5 * MS;
/// The region of the counter and of discovery's source.
pub const HOME_REGION: usize = 0;
/// Served attempts, which give the spread of the load over servers, are recorded only if fewer RPCs are
/// expected.
const MAX_RECORDED_RPCS: f64 = 20e6;

/// A call on its way to the counter, and the connection that it was written to.
#[derive(Clone, Copy, Debug)]
pub struct CounterCall {
    pub gateway: usize,
    pub incarnation: u32,
    pub connection: usize,
    pub name: u64,
    pub add: f64,
    pub ttl: Nanos,
}

/// A tenant. Its RPCs arrive at `load.width` gateways from `first_gateway` on.
struct Tenant {
    first_gateway: u32,
}

struct Method {
    class: u16,
    deadline: Nanos,
    units: f64,
}

/// Open-loop arrivals at all simulated gateways.
pub struct Load {
    pub plan: usize,
    methods: Vec<Method>,
    tenants: Vec<Tenant>,
    tenant_distribution: WeightedIndex<f64>,
    method_distribution: WeightedIndex<f64>,
    /// RPCs per second, at all simulated gateways.
    rate: f64,
    rng: ChaCha8Rng,
    last_rpc: u32,
    counter_timeout: Nanos,
    connect_timeout: Nanos,
    /// Attempts that servers took into service. Recorded only if the whole fleet is simulated and the expected
    /// number of RPCs is below `MAX_RECORDED_RPCS`.
    pub served_attempts: Option<Vec<ServerRpc>>,
}

impl Load {
    /// Requires a validated scenario: all shares are above 0.
    pub fn new(scenario: &Scenario) -> Load {
        let mut rng = rng::stream(scenario.seed, Stream::Arrivals);
        let shares = LogNormal::new(0.0, scenario.load.skew).expect("the skew is validated");
        let tenant_count = scenario.simulated_tenants();
        let shares: Vec<f64> = (0..tenant_count).map(|_| shares.sample(&mut rng)).collect();
        let gateways = scenario.simulated_gateways() as u32;
        let tenants =
            (0..tenant_count).map(|_| Tenant { first_gateway: rng.random_range(0..gateways) }).collect();
        let methods = scenario.load.methods.iter().map(|method| {
            let class = scenario.class_index(&method.name).unwrap_or(0);
            Method {
                class: class as u16,
                deadline: nanos(scenario.class_deadline(class)),
                units: method.units,
            }
        });
        let settings = scenario.flat_settings();
        let duration = |name: &str, default: Nanos| {
            settings.get(name).and_then(|text| text.parse().ok()).map_or(default, nanos)
        };
        let rate = scenario.rate * f64::from(gateways);
        let is_recorded =
            scenario.simulated_gateways() == scenario.gateways && rate * scenario.seconds < MAX_RECORDED_RPCS;
        Load {
            plan: scenario.plan_index().unwrap_or(0),
            methods: methods.collect(),
            tenants,
            tenant_distribution: WeightedIndex::new(shares).expect("there are tenants with positive weights"),
            method_distribution: WeightedIndex::new(scenario.load.methods.iter().map(|method| method.share))
                .expect("shares are validated"),
            rate,
            rng,
            last_rpc: 0,
            counter_timeout: duration("extra.countWait", gateway::counter::DEFAULT_CALL_TIMEOUT),
            connect_timeout: duration("ceilings.dialTimeout", gateway::servers::DEFAULT_CONNECT_TIMEOUT),
            served_attempts: is_recorded.then(Vec::new),
        }
    }

    /// Draws the time until the next arrival of a Poisson process.
    fn next_interarrival(&mut self) -> Nanos {
        let exponential: f64 = Exp1.sample(&mut self.rng);
        (exponential / self.rate * SEC as f64).max(1.0) as Nanos
    }
}

impl Fleet<'_> {
    /// Schedules the next arrival and sends this RPC to one of its tenant's gateways that is up. If none is, the
    /// RPC is counted as lost.
    pub(super) fn on_rpc_arrival(&mut self, now: Nanos) {
        if self.scenario.rate <= 0.0 {
            return;
        }
        let interarrival = self.load.next_interarrival();
        self.queue.schedule_after(interarrival, Event::RpcArrival);
        let load = &mut self.load;
        let tenant = load.tenant_distribution.sample(&mut load.rng);
        let method_index = load.method_distribution.sample(&mut load.rng);
        let (width, first_gateway) = (self.scenario.load.width, load.tenants[tenant].first_gateway as usize);
        let start = load.rng.random_range(0..width);
        let gateways = (0..width).map(|offset| (first_gateway + (start + offset) % width) % self.nodes.len());
        let Some(gateway) = gateways.into_iter().find(|gateway| self.nodes[*gateway].running.is_some())
        else {
            self.count(now, |counts| (counts.rpcs, counts.lost) = (counts.rpcs + 1, counts.lost + 1));
            return;
        };
        let load = &mut self.load;
        load.last_rpc = load.last_rpc.wrapping_add(1);
        let method = &load.methods[method_index];
        let service_index = load.rng.random_range(0..self.scenario.services_per_gateway());
        let arrival = Arrival {
            id: load.last_rpc,
            method: method.class,
            plan: load.plan as u16,
            customer: tenant as u64 + 1,
            service: self.scenario.gateway_service(gateway, service_index),
            deadline: now + method.deadline - DEADLINE_MARGIN,
            units: method.units,
            gateway_count: width as u32,
            first_gateway: first_gateway as u32,
        };
        self.count(now, |counts| counts.rpcs += 1);
        let incarnation = self.nodes[gateway].incarnation;
        self.run_gateway(now, gateway, incarnation, WorkKind::Rpcs, |hollow| {
            hollow.on_arrival(now, &arrival)
        });
    }

    /// Updates the counts, if `now` is in the measured part of the run.
    pub(super) fn count(&mut self, now: Nanos, counts: impl FnOnce(&mut RunCounters)) {
        if now >= self.measured.from {
            counts(&mut self.counts);
        }
    }

    /// Counts the end of an RPC, if the RPC arrived in the measured part of the run.
    fn count_rpc_end(&mut self, rpc: Option<OpenRpc>, counter: impl FnOnce(&mut RunCounters) -> &mut u64) {
        if let Some(rpc) = rpc {
            self.count(rpc.arrived, |counts| *counter(counts) += 1);
        }
    }

    /// Performs the actions that a gateway requested of its host. Their processor time is attributed to `work`.
    pub(super) fn perform_actions(&mut self, now: Nanos, gateway: usize, work: WorkKind) {
        loop {
            let Some(hollow) = &mut self.nodes[gateway].running else { return };
            let actions = std::mem::take(&mut hollow.actions.0);
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.perform_action(now, gateway, work, action);
            }
        }
    }

    fn perform_action(&mut self, now: Nanos, gateway: usize, work: WorkKind, action: HostAction) {
        let incarnation = self.nodes[gateway].incarnation;
        let Some(hollow) = &mut self.nodes[gateway].running else { return };
        match action {
            HostAction::SetTimer { after, token } => {
                self.queue.schedule_after(after, Event::Timer { gateway, incarnation, token })
            }
            HostAction::Reject { rpc, .. } => {
                let ended = hollow.rpcs.remove(&rpc);
                self.count_rpc_end(ended, |counts| &mut counts.rejected);
            }
            HostAction::Abort { rpc } => {
                let ended = hollow.rpcs.remove(&rpc);
                self.count_rpc_end(ended, |counts| &mut counts.aborted);
            }
            HostAction::SendAttempt { rpc, server, timeout } => {
                self.send_attempt(now, gateway, work, rpc, server, timeout)
            }
            HostAction::AddToCounter { name, add, forget } => {
                self.call_counter(now, gateway, name, add, forget)
            }
        }
    }

    // ---- Attempts

    fn send_attempt(
        &mut self,
        now: Nanos,
        gateway: usize,
        work: WorkKind,
        rpc: u32,
        server: u32,
        limit: Nanos,
    ) {
        let incarnation = self.nodes[gateway].incarnation;
        let Some(hollow) = &mut self.nodes[gateway].running else { return };
        let Some(open_rpc) = hollow.rpcs.get_mut(&rpc) else { return };
        let ends_at = if limit == 0 { open_rpc.deadline } else { (now + limit).min(open_rpc.deadline) };
        let nth = open_rpc.attempts;
        open_rpc.attempts += 1;
        hollow.attempts.insert((rpc, nth), OpenAttempt { server, sent: now });
        let attempt = AttemptRef { gateway: gateway as u32, incarnation, rpc, number: nth };
        let Some(emulated_server) = hollow.emulated_server(server).filter(|_| ends_at > now) else {
            self.run_gateway(now, gateway, incarnation, work, |hollow| {
                hollow.on_attempt_end(now, rpc, nth, CallOutcome::NotSent)
            });
            return;
        };
        self.count(now, |counts| counts.attempts += 1);
        let (region, server_region) = (self.nodes[gateway].region, self.region_of_server(emulated_server));
        if self.is_partitioned(region, server_region) {
            return self.queue.schedule_after(
                self.load.connect_timeout,
                Event::AttemptEnd { attempt, outcome: CallOutcome::NoConnection },
            );
        }
        let server_incarnation = self.servers.all[emulated_server as usize].incarnation;
        let after = self.network_delay(region, server_region);
        self.queue.schedule_after(
            after,
            Event::AttemptAtServer { attempt, server: emulated_server, server_incarnation },
        );
        self.queue.schedule_at(ends_at, Event::AttemptEnd { attempt, outcome: CallOutcome::TimedOut });
    }

    fn region_of_server(&self, server: u32) -> usize {
        server as usize % self.scenario.zones % self.scenario.regions
    }

    pub(super) fn on_attempt_at_server(
        &mut self,
        now: Nanos,
        attempt: AttemptRef,
        server: u32,
        server_incarnation: u32,
    ) {
        let region = self.nodes[attempt.gateway as usize].region;
        let reply_delay = self.network_delay(region, self.region_of_server(server));
        let (after, outcome) = match self.servers.accept(now, server, server_incarnation, attempt) {
            Disposition::Refused => (reply_delay, CallOutcome::NoConnection),
            Disposition::Full => (reply_delay, CallOutcome::Full),
            Disposition::Held => return,
            Disposition::Serving { after, ok } => {
                if let Some(served_attempts) =
                    self.load.served_attempts.as_mut().filter(|_| now >= self.measured.from)
                {
                    served_attempts.push(ServerRpc {
                        server: server as usize,
                        arrived_at: now,
                        ended_at: now + after,
                    });
                }
                self.queue.schedule_after(after, Event::SlotFreed { server, server_incarnation });
                (after + reply_delay, if ok { CallOutcome::Ok } else { CallOutcome::Error })
            }
        };
        self.queue.schedule_after(after, Event::AttemptEnd { attempt, outcome });
    }

    pub(super) fn on_attempt_end(&mut self, now: Nanos, attempt: AttemptRef, outcome: CallOutcome) {
        let (gateway, incarnation) = (attempt.gateway as usize, attempt.incarnation);
        let is_open = self.nodes[gateway].running.as_ref().is_some_and(|hollow| {
            self.nodes[gateway].incarnation == incarnation
                && hollow.attempts.contains_key(&(attempt.rpc, attempt.number))
        });
        if !is_open {
            return; // it timed out before, or had already ended when its time limit passed
        }
        let ended = self.run_gateway(now, gateway, incarnation, WorkKind::Rpcs, |hollow| {
            hollow.on_attempt_end(now, attempt.rpc, attempt.number, outcome)
        });
        self.count_rpc_end(ended.flatten(), |counts| &mut counts.ok);
    }

    // ---- The counter

    fn call_counter(&mut self, now: Nanos, gateway: usize, name: u64, add: f64, ttl: Nanos) {
        let incarnation = self.nodes[gateway].incarnation;
        let region = self.nodes[gateway].region;
        let Some(hollow) = &mut self.nodes[gateway].running else { return };
        let SentCall { connection, serial, bytes } = hollow.call_counter(now, name, add, ttl);
        self.count(now, |counts| counts.counter_calls += 1);
        self.traffic.add(now, gateway, Peer::Counter, Direction::Sent, bytes.len());
        let machine = self.counter_machine(name);
        self.control.counter.add(now, machine, bytes.len());
        self.queue.schedule_after(
            self.load.counter_timeout,
            Event::CounterTimeout { gateway, incarnation, connection, serial },
        );
        if !self.is_partitioned(region, HOME_REGION) {
            let after = self.network_delay(region, HOME_REGION);
            let call = CounterCall { gateway, incarnation, connection, name, add, ttl };
            self.queue.schedule_after(after, Event::CounterRequest(call));
        }
    }

    /// The control machine that holds a name. Names are spread over the machines by customer.
    fn counter_machine(&self, name: u64) -> usize {
        (name >> 31) as usize % self.scenario.control_machines
    }

    pub(super) fn on_counter_request(&mut self, now: Nanos, call: CounterCall) {
        let CounterCall { gateway, incarnation, connection, name, add, ttl } = call;
        let Some(total) = self.counter.add(now, gateway as u32, name, add, ttl) else { return };
        let text = total.to_string();
        let bytes = format!("${}\r\n{text}\r\n", text.len()).into_bytes();
        let machine = self.counter_machine(name);
        self.control.counter.add(now, machine, bytes.len());
        self.schedule_counter_reply(gateway, incarnation, connection, bytes);
    }

    fn schedule_counter_reply(
        &mut self,
        gateway: usize,
        incarnation: u32,
        connection: usize,
        bytes: Vec<u8>,
    ) {
        let after = nanos(self.scenario.counter.latency_ms / 1e3)
            + self.network_delay(self.nodes[gateway].region, HOME_REGION);
        self.queue.schedule_after(after, Event::CounterReply { gateway, incarnation, connection, bytes });
    }

    pub(super) fn on_counter_reply(
        &mut self,
        now: Nanos,
        gateway: usize,
        incarnation: u32,
        connection: usize,
        bytes: &[u8],
    ) {
        if self.nodes[gateway].incarnation != incarnation
            || self.is_partitioned(self.nodes[gateway].region, HOME_REGION)
        {
            return;
        }
        self.traffic.add(now, gateway, Peer::Counter, Direction::Received, bytes.len());
        self.run_gateway(now, gateway, incarnation, WorkKind::Counter, |hollow| {
            hollow.receive_counter_bytes(now, connection, bytes)
        });
    }

    /// Sends a PING to the counter, which replies unless it is stalled or partitioned from the gateway.
    pub(super) fn send_ping(
        &mut self,
        now: Nanos,
        gateway: usize,
        incarnation: u32,
        connection: usize,
        bytes: &[u8],
    ) {
        self.traffic.add(now, gateway, Peer::Counter, Direction::Sent, bytes.len());
        if !self.counter.stalled && !self.is_partitioned(self.nodes[gateway].region, HOME_REGION) {
            self.schedule_counter_reply(gateway, incarnation, connection, b"+PONG\r\n".to_vec());
        }
    }
}
