//! Costs of the shared counter: calls per RPC of one tenant, by its rate and by the number of gateways that receive
//! its RPCs.
//!
//! All gateways run the module on one simulated clock and share one emulated counter that answers with a fixed
//! latency.

use super::Cost;
use super::scenario::Counter;
use crate::ScaleError;
use crate::deployment::{START_TIME, ServiceConfig, full_list};
use crate::gateway_driver::{RecordingHost, counter_reply};
use crate::measure::{Operation, Traffic};
use crate::replica::Replica;
use gateway::counter::{Call, CounterConnection};
use gateway::timers::Timers;
use martenramp::host::{Arrival, AttemptResult, CallOutcome, Nanos};
use std::collections::HashMap;

const SECOND: Nanos = 1_000_000_000;
/// The tenant, and the value of each size while the other one varies.
const TENANT: u64 = 7;
const FIXED_RATE: u64 = 200;
const FIXED_GATEWAYS: u64 = 8;
/// The plan's rate as a multiple of the tenant's rate, and its burst as seconds of the plan's rate.
const PLAN_RATE: f64 = 2.0;
const PLAN_BURST_SECONDS: f64 = 2.0;
/// The simulated time during which RPCs arrive, and their maximum number.
const SIMULATED_TIME: Nanos = 20 * SECOND;
const MAX_RPCS: u64 = 20_000;
const SERVERS: usize = 24;
/// The duration of a call to the counter, and of an RPC at a server.
const COUNTER_LATENCY: Nanos = 1_000_000;
const SERVICE_TIME: Nanos = 5_000_000;
const CLIENT_TIMEOUT: Nanos = 6 * SECOND;

/// The costs of this family.
pub fn costs(scenario: &Counter) -> Vec<Cost> {
    let by_gateways = Cost {
        family: "counter",
        name: "counter calls of an RPC",
        size_name: "gateways of a tenant",
        fixed_sizes: format!("{FIXED_RATE} RPCs a second"),
        sizes: scenario.gateways.clone(),
        prepare: Box::new(|gateways| serve_tenant(gateways as usize, FIXED_RATE)),
    };
    let by_rate = Cost {
        family: "counter",
        name: "counter calls of an RPC",
        size_name: "RPCs a second",
        fixed_sizes: format!("gateways of a tenant {FIXED_GATEWAYS}"),
        sizes: scenario.rates.clone(),
        prepare: Box::new(|rate| serve_tenant(FIXED_GATEWAYS as usize, rate)),
    };
    vec![by_gateways, by_rate]
}

/// An event at a gateway. The derived order breaks ties between events that are due at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    RpcArrival,
    TimerDue(u32),
    AttemptEnded {
        rpc: u32,
        server: u32,
        attempt: u16,
        sent: Nanos,
    },
    /// The total is stored as bits, so that events can be ordered.
    CounterReply {
        name: u64,
        total: u64,
    },
}

struct Gateway {
    replica: Replica,
    host: RecordingHost,
}

/// Gateways that share one tenant, and their emulated counter.
struct TenantSimulation {
    gateways: Vec<Gateway>,
    events: Timers<(usize, Event)>,
    totals: HashMap<u64, f64>,
    rng: fastrand::Rng,
    rate: u64,
    traffic: Traffic,
    calls: u64,
    served: u64,
    arrived: u64,
}

/// Prepares a simulation of one tenant; a single step runs all of it.
pub fn serve_tenant(gateways: usize, rate: u64) -> Result<Operation, ScaleError> {
    let rpcs = (rate * (SIMULATED_TIME / SECOND)).min(MAX_RPCS);
    let mut simulation = TenantSimulation::new(gateways, rate)?;
    let step = move || {
        simulation.run(rpcs);
        // The plan admits all of the load; up to a tenth may time out or be rejected.
        if simulation.served * 10 < rpcs * 9 {
            let why = format!("only {} of {rpcs} RPCs were served", simulation.served);
            return Err(ScaleError::Measurement { what: "calls to the counter".to_string(), why });
        }
        Ok(std::mem::take(&mut simulation.traffic))
    };
    Ok(Operation { step: Box::new(step), operations_per_step: rpcs, max_steps: 1 })
}

impl TenantSimulation {
    fn new(gateways: usize, rate: u64) -> Result<TenantSimulation, ScaleError> {
        let plan_rate = PLAN_RATE * rate as f64;
        let list = full_list(SERVERS);
        let gateway = |number: usize| {
            let service = ServiceConfig {
                gateway_index: Some(number),
                rate: plan_rate,
                burst: PLAN_BURST_SECONDS * plan_rate,
                ..ServiceConfig::for_fleet(gateways)
            };
            let mut replica = Replica::new(&service)?;
            replica.apply(START_TIME, &list);
            Ok(Gateway { replica, host: RecordingHost::default() })
        };
        Ok(TenantSimulation {
            gateways: (0..gateways).map(gateway).collect::<Result<_, ScaleError>>()?,
            events: Timers::default(),
            totals: HashMap::new(),
            rng: fastrand::Rng::with_seed(rate),
            rate,
            traffic: Traffic::default(),
            calls: 0,
            served: 0,
            arrived: 0,
        })
    }

    /// Runs until all RPCs are answered or their clients have timed out.
    fn run(&mut self, rpcs: u64) {
        self.events.set(START_TIME, (0, Event::RpcArrival));
        let last = START_TIME + rpcs * SECOND / self.rate;
        while let Some(at) = self.events.next_due().filter(|at| *at < last + CLIENT_TIMEOUT) {
            let Some((gateway, event)) = self.events.pop_due(at) else { return };
            self.handle_event(at, gateway, event, rpcs);
        }
    }

    fn handle_event(&mut self, now: Nanos, gateway: usize, event: Event, rpcs: u64) {
        if event == Event::RpcArrival {
            return self.handle_arrival(now, rpcs);
        }
        let Gateway { replica, host } = &mut self.gateways[gateway];
        host.now = now;
        match event {
            Event::RpcArrival => {}
            Event::TimerDue(token) => replica.controller.on_timer(host, now, token),
            Event::CounterReply { name, total } => {
                replica.controller.on_counter_reply(host, now, name, CallOutcome::Ok, f64::from_bits(total));
            }
            Event::AttemptEnded { rpc, server, attempt, sent } => {
                let (outcome, duration) = (CallOutcome::Ok, now - sent);
                let ended = AttemptResult {
                    rpc,
                    server,
                    attempt,
                    outcome,
                    duration,
                    rpc_answered: true,
                    settled_units: 0.0,
                    load_report: Vec::new(),
                };
                self.served += 1;
                replica.controller.on_attempt_end(host, now, &ended);
            }
        }
        self.schedule_actions(now, gateway);
    }

    /// Delivers one RPC to a random gateway and schedules the next.
    fn handle_arrival(&mut self, now: Nanos, rpcs: u64) {
        self.arrived += 1;
        if self.arrived < rpcs {
            let wait = -(1.0 - self.rng.f64()).ln() * SECOND as f64 / self.rate as f64;
            self.events.set(now + wait as Nanos, (0, Event::RpcArrival));
        }
        let gateway = self.rng.usize(..self.gateways.len());
        let arrival = Arrival {
            id: self.arrived as u32,
            customer: TENANT,
            deadline: now + CLIENT_TIMEOUT,
            units: 1.0,
            gateway_count: self.gateways.len() as u32,
            ..Arrival::default()
        };
        let Gateway { replica, host } = &mut self.gateways[gateway];
        host.now = now;
        replica.controller.on_arrival(host, now, &arrival);
        self.schedule_actions(now, gateway);
    }

    /// Schedules the events that follow from the module's actions.
    fn schedule_actions(&mut self, now: Nanos, gateway: usize) {
        let host = &mut self.gateways[gateway].host;
        for attempt in host.attempts.drain(..) {
            let event = Event::AttemptEnded {
                rpc: attempt.rpc,
                server: attempt.server,
                attempt: attempt.attempt,
                sent: now,
            };
            self.events.set(now + SERVICE_TIME, (gateway, event));
        }
        while let Some(at) = host.timers.next_due() {
            if let Some(token) = host.timers.pop_due(at) {
                self.events.set(at, (gateway, Event::TimerDue(token)));
            }
        }
        for (name, add, ttl) in host.counter_calls.drain(..) {
            self.calls += 1;
            self.traffic.sent.add(encoded_call_len(Call { serial: self.calls, name, add, ttl }));
            let total = self.totals.entry(name).or_insert(0.0);
            *total += add;
            self.traffic.received.add(counter_reply(*total).len());
            self.events
                .set(now + COUNTER_LATENCY, (gateway, Event::CounterReply { name, total: total.to_bits() }));
        }
    }
}

/// The size of a call as the gateway writes it on its connection to the counter.
fn encoded_call_len(call: Call) -> usize {
    let mut connection = CounterConnection::default();
    let mut output = Vec::new();
    connection.connected(&mut output, 0);
    connection.send_call(&mut output, 0, call);
    output.len()
}
