//! The load on a hollow fleet: arrivals of RPCs, their call-outs to servers, and calls to the counter.

use super::fleet::{Event, Fleet};
use super::gateway::{CallOut, OpenRpc, WrittenCall};
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
/// What the program takes off a client's deadline.
const MARGIN: Nanos = 5 * MS;
/// The region that the counter and discovery's source are in.
pub const HOME_REGION: usize = 0;
/// Visits to servers are kept for the spread of the load where no more than so many are to be expected.
const MAX_SERVED_ATTEMPTS: f64 = 20e6;

/// A call on its way to the counter, by the line that it was written on.
#[derive(Clone, Copy, Debug)]
pub struct CounterCall {
    pub gateway: usize,
    pub incarnation: u32,
    pub line: usize,
    pub name: u64,
    pub add: f64,
    pub forget: Nanos,
}

/// A tenant: the gateways through which its RPCs come in.
struct Tenant {
    first: u32,
}

struct Method {
    class: u16,
    deadline: Nanos,
    units: f64,
}

/// Open-loop arrivals over all played gateways.
pub struct Load {
    pub plan: usize,
    methods: Vec<Method>,
    tenants: Vec<Tenant>,
    by_tenant: WeightedIndex<f64>,
    by_method: WeightedIndex<f64>,
    rate: f64,
    draws: ChaCha8Rng,
    last_rpc: u32,
    count_wait: Nanos,
    dial: Nanos,
    /// Call-outs that servers took, where they are kept.
    pub served_attempts: Option<Vec<ServerRpc>>,
}

impl Load {
    /// The scenario is checked: its shares are above nought.
    pub fn new(scenario: &Scenario) -> Load {
        let mut draws = rng::stream(scenario.seed, Stream::Arrivals);
        let shares = LogNormal::new(0.0, scenario.load.skew).expect("the skew is checked");
        let count = scenario.simulated_tenants();
        let shares: Vec<f64> = (0..count).map(|_| shares.sample(&mut draws)).collect();
        let played = scenario.simulated_gateways() as u32;
        let tenants = (0..count).map(|_| Tenant { first: draws.random_range(0..played) }).collect();
        let methods = scenario.load.methods.iter().map(|method| {
            let class = scenario.class_index(&method.name).unwrap_or(0);
            Method {
                class: class as u16,
                deadline: nanos(scenario.class_deadline(class)),
                units: method.units,
            }
        });
        let settings = scenario.flat_settings();
        let time = |name: &str, default: Nanos| {
            settings.get(name).and_then(|text| text.parse().ok()).map_or(default, nanos)
        };
        let rate = scenario.rate * f64::from(played);
        let whole_fleet = scenario.simulated_gateways() == scenario.gateways
            && rate * scenario.seconds < MAX_SERVED_ATTEMPTS;
        Load {
            plan: scenario.plan_index().unwrap_or(0),
            methods: methods.collect(),
            tenants,
            by_tenant: WeightedIndex::new(shares).expect("there are tenants"),
            by_method: WeightedIndex::new(scenario.load.methods.iter().map(|method| method.share))
                .expect("shares are checked"),
            rate,
            draws,
            last_rpc: 0,
            count_wait: time("extra.countWait", gateway::counter::DEFAULT_CALL_TIMEOUT),
            dial: time("ceilings.dialTimeout", gateway::servers::DEFAULT_CONNECT_TIMEOUT),
            served_attempts: whole_fleet.then(Vec::new),
        }
    }

    fn gap(&mut self) -> Nanos {
        let wait: f64 = Exp1.sample(&mut self.draws);
        (wait / self.rate * SEC as f64).max(1.0) as Nanos
    }
}

impl Fleet<'_> {
    pub(super) fn arrive(&mut self, now: Nanos) {
        if self.scenario.rate <= 0.0 {
            return;
        }
        let gap = self.load.gap();
        self.queue.schedule_after(gap, Event::RpcArrival);
        let load = &mut self.load;
        let tenant = load.by_tenant.sample(&mut load.draws);
        let number = load.by_method.sample(&mut load.draws);
        let (width, first) = (self.scenario.load.width, load.tenants[tenant].first as usize);
        let start = load.draws.random_range(0..width);
        let set = (0..width).map(|at| (first + (start + at) % width) % self.nodes.len());
        let Some(gateway) = set.into_iter().find(|at| self.nodes[*at].running.is_some()) else {
            self.count(now, |counts| (counts.rpcs, counts.lost) = (counts.rpcs + 1, counts.lost + 1));
            return;
        };
        let load = &mut self.load;
        load.last_rpc = load.last_rpc.wrapping_add(1);
        let method = &load.methods[number];
        let nth = load.draws.random_range(0..self.scenario.services_per_gateway());
        let arrival = Arrival {
            id: load.last_rpc,
            method: method.class,
            plan: load.plan as u16,
            customer: tenant as u64 + 1,
            service: self.scenario.gateway_service(gateway, nth),
            deadline: now + method.deadline - MARGIN,
            units: method.units,
            gateway_count: width as u32,
            first_gateway: first as u32,
        };
        self.count(now, |counts| counts.rpcs += 1);
        let incarnation = self.nodes[gateway].incarnation;
        self.enter(now, gateway, incarnation, WorkKind::Rpcs, |hollow| hollow.rpc(now, &arrival));
    }

    /// Counts something in the measured part of the run.
    pub(super) fn count(&mut self, now: Nanos, counts: impl FnOnce(&mut RunCounters)) {
        if now >= self.measured.from {
            counts(&mut self.counts);
        }
    }

    /// An RPC has its final answer: it counts if it came in the measured part of the run.
    fn answered(&mut self, rpc: Option<OpenRpc>, counter: impl FnOnce(&mut RunCounters) -> &mut u64) {
        if let Some(rpc) = rpc {
            self.count(rpc.arrived, |counts| *counter(counts) += 1);
        }
    }

    /// Carries out what a gateway asked of its host; `work` is what it was doing.
    pub(super) fn carry_wishes(&mut self, now: Nanos, gateway: usize, work: WorkKind) {
        loop {
            let Some(hollow) = &mut self.nodes[gateway].running else { return };
            let wishes = std::mem::take(&mut hollow.wishes.0);
            if wishes.is_empty() {
                return;
            }
            for wish in wishes {
                self.carry_wish(now, gateway, work, wish);
            }
        }
    }

    fn carry_wish(&mut self, now: Nanos, gateway: usize, work: WorkKind, wish: HostAction) {
        let incarnation = self.nodes[gateway].incarnation;
        let Some(hollow) = &mut self.nodes[gateway].running else { return };
        match wish {
            HostAction::SetTimer { after, token } => {
                self.queue.schedule_after(after, Event::Timer { gateway, incarnation, token })
            }
            HostAction::Reject { rpc, .. } => {
                let answered = hollow.rpcs.remove(&rpc);
                self.answered(answered, |counts| &mut counts.rejected);
            }
            HostAction::Abort { rpc } => {
                let answered = hollow.rpcs.remove(&rpc);
                self.answered(answered, |counts| &mut counts.aborted);
            }
            HostAction::SendAttempt { rpc, server, timeout } => {
                self.call_out(now, gateway, work, rpc, server, timeout)
            }
            HostAction::AddToCounter { name, add, forget } => {
                self.call_counter(now, gateway, name, add, forget)
            }
        }
    }

    // ---- Call-outs

    fn call_out(&mut self, now: Nanos, gateway: usize, work: WorkKind, rpc: u32, server: u32, limit: Nanos) {
        let incarnation = self.nodes[gateway].incarnation;
        let Some(hollow) = &mut self.nodes[gateway].running else { return };
        let Some(open) = hollow.rpcs.get_mut(&rpc) else { return };
        let until = if limit == 0 { open.deadline } else { (now + limit).min(open.deadline) };
        let nth = open.call_outs;
        open.call_outs += 1;
        hollow.call_outs.insert((rpc, nth), CallOut { server, sent: now });
        let call = AttemptRef { gateway: gateway as u32, incarnation, rpc, number: nth };
        let Some(to) = hollow.server(server).filter(|_| until > now) else {
            self.enter(now, gateway, incarnation, work, |hollow| {
                hollow.call_out_ended(now, rpc, nth, CallOutcome::NotSent)
            });
            return;
        };
        self.count(now, |counts| counts.attempts += 1);
        let (region, server_region) = (self.nodes[gateway].region, self.region_of_server(to));
        if self.is_partitioned(region, server_region) {
            return self
                .queue
                .schedule_after(self.load.dial, Event::AttemptEnd { call, how: CallOutcome::NoConnection });
        }
        let server_incarnation = self.servers.all[to as usize].incarnation;
        let after = self.network_delay(region, server_region);
        self.queue.schedule_after(after, Event::AttemptAtServer { call, server: to, server_incarnation });
        self.queue.schedule_at(until, Event::AttemptEnd { call, how: CallOutcome::TimedOut });
    }

    fn region_of_server(&self, server: u32) -> usize {
        server as usize % self.scenario.zones % self.scenario.regions
    }

    pub(super) fn at_server(&mut self, now: Nanos, call: AttemptRef, server: u32, server_incarnation: u32) {
        let region = self.nodes[call.gateway as usize].region;
        let back = self.network_delay(region, self.region_of_server(server));
        let (after, how) = match self.servers.accept(now, server, server_incarnation, call) {
            Disposition::Refused => (back, CallOutcome::NoConnection),
            Disposition::Full => (back, CallOutcome::Full),
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
                (after + back, if ok { CallOutcome::Ok } else { CallOutcome::Error })
            }
        };
        self.queue.schedule_after(after, Event::AttemptEnd { call, how });
    }

    pub(super) fn call_ended(&mut self, now: Nanos, call: AttemptRef, how: CallOutcome) {
        let (gateway, incarnation) = (call.gateway as usize, call.incarnation);
        let open = self.nodes[gateway].running.as_ref().is_some_and(|hollow| {
            self.nodes[gateway].incarnation == incarnation
                && hollow.call_outs.contains_key(&(call.rpc, call.number))
        });
        if !open {
            return; // its time was over, or it had ended before its time
        }
        let ended = self.enter(now, gateway, incarnation, WorkKind::Rpcs, |hollow| {
            hollow.call_out_ended(now, call.rpc, call.number, how)
        });
        self.answered(ended.flatten(), |counts| &mut counts.ok);
    }

    // ---- The counter

    fn call_counter(&mut self, now: Nanos, gateway: usize, name: u64, add: f64, forget: Nanos) {
        let incarnation = self.nodes[gateway].incarnation;
        let region = self.nodes[gateway].region;
        let Some(hollow) = &mut self.nodes[gateway].running else { return };
        let WrittenCall { line, serial, bytes } = hollow.count(now, name, add, forget);
        self.count(now, |counts| counts.counter_calls += 1);
        self.traffic.add(now, gateway, Peer::Counter, Direction::Sent, bytes.len());
        let machine = self.machine_of_name(name);
        self.control.counter.add(now, machine, bytes.len());
        self.queue.schedule_after(
            self.load.count_wait,
            Event::CounterTimeout { gateway, incarnation, line, serial },
        );
        if !self.is_partitioned(region, HOME_REGION) {
            let after = self.network_delay(region, HOME_REGION);
            let call = CounterCall { gateway, incarnation, line, name, add, forget };
            self.queue.schedule_after(after, Event::CounterRequest(call));
        }
    }

    /// Names are spread over the control machines by customer.
    fn machine_of_name(&self, name: u64) -> usize {
        (name >> 31) as usize % self.scenario.control_machines
    }

    pub(super) fn count_at(&mut self, now: Nanos, call: CounterCall) {
        let CounterCall { gateway, incarnation, line, name, add, forget } = call;
        let Some(total) = self.counter.add(now, gateway as u32, name, add, forget) else { return };
        let text = total.to_string();
        let bytes = format!("${}\r\n{text}\r\n", text.len()).into_bytes();
        let machine = self.machine_of_name(name);
        self.control.counter.add(now, machine, bytes.len());
        self.answer_later(gateway, incarnation, line, bytes);
    }

    fn answer_later(&mut self, gateway: usize, incarnation: u32, line: usize, bytes: Vec<u8>) {
        let after = nanos(self.scenario.counter.latency_ms / 1e3)
            + self.network_delay(self.nodes[gateway].region, HOME_REGION);
        self.queue.schedule_after(after, Event::CounterReply { gateway, incarnation, line, bytes });
    }

    pub(super) fn count_back(
        &mut self,
        now: Nanos,
        gateway: usize,
        incarnation: u32,
        line: usize,
        bytes: &[u8],
    ) {
        if self.nodes[gateway].incarnation != incarnation
            || self.is_partitioned(self.nodes[gateway].region, HOME_REGION)
        {
            return;
        }
        self.traffic.add(now, gateway, Peer::Counter, Direction::Received, bytes.len());
        self.enter(now, gateway, incarnation, WorkKind::Counter, |hollow| {
            hollow.counter_came(now, line, bytes)
        });
    }

    /// A line's sign of incarnation, and its answer.
    pub(super) fn ping(&mut self, now: Nanos, gateway: usize, incarnation: u32, line: usize, bytes: &[u8]) {
        self.traffic.add(now, gateway, Peer::Counter, Direction::Sent, bytes.len());
        if !self.counter.stalled && !self.is_partitioned(self.nodes[gateway].region, HOME_REGION) {
            self.answer_later(gateway, incarnation, line, b"+PONG\r\n".to_vec());
        }
    }
}
