//! Costs of the shared counter: calls for each RPC of one tenant, by its rate and by how many gateways its RPCs come in
//! through. All of them run the module on one clock, with one counter that answers after a while.

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
/// The tenant, and what is held while the other size changes.
const TENANT: u64 = 7;
const HELD_RATE: u64 = 200;
const HELD_GATEWAYS: u64 = 8;
/// The plan lets in so many times the rate, and so many seconds of that at once.
const PLAN_RATE: f64 = 2.0;
const PLAN_BURST_SECONDS: f64 = 2.0;
/// RPCs are played for so long, and at most so many.
const PLAYED: Nanos = 20 * SECOND;
const RPCS_MOST: u64 = 20_000;
const SERVERS: usize = 24;
/// How long a call to the counter, and an RPC at a server, takes.
const COUNTED_IN: Nanos = 1_000_000;
const SERVED_IN: Nanos = 5_000_000;
const PATIENCE: Nanos = 6 * SECOND;

/// The costs of this family.
pub fn costs(scenario: &Counter) -> Vec<Cost> {
    let by_gateways = Cost {
        family: "counter",
        name: "counter calls of an RPC",
        size_name: "gateways of a tenant",
        held: format!("{HELD_RATE} RPCs a second"),
        sizes: scenario.gateways.clone(),
        prepare: Box::new(|gateways| played(gateways as usize, HELD_RATE)),
    };
    let by_rate = Cost {
        family: "counter",
        name: "counter calls of an RPC",
        size_name: "RPCs a second",
        held: format!("gateways of a tenant {HELD_GATEWAYS}"),
        sizes: scenario.rates.clone(),
        prepare: Box::new(|rate| played(HELD_GATEWAYS as usize, rate)),
    };
    vec![by_gateways, by_rate]
}

/// What happens at a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives,
    Woke(u32),
    Answered {
        rpc: u32,
        server: u32,
        attempt: u16,
        sent: Nanos,
    },
    /// The total as bits, so that events have an order.
    Counted {
        name: u64,
        total: u64,
    },
}

struct Member {
    replica: Replica,
    asked: RecordingHost,
}

/// Gateways that share a tenant, and their counter.
struct Group {
    members: Vec<Member>,
    events: Timers<(usize, Event)>,
    totals: HashMap<u64, f64>,
    chance: fastrand::Rng,
    rate: u64,
    traffic: Traffic,
    calls: u64,
    served: u64,
    arrived: u64,
}

/// One step plays the whole of it.
pub fn played(gateways: usize, rate: u64) -> Result<Operation, ScaleError> {
    let rpcs = (rate * (PLAYED / SECOND)).min(RPCS_MOST);
    let mut group = Group::new(gateways, rate)?;
    let step = move || {
        group.play(rpcs);
        // The plan has room for all; a tenth may be late or turned away.
        if group.served * 10 < rpcs * 9 {
            let why = format!("only {} of {rpcs} RPCs were served", group.served);
            return Err(ScaleError::Measurement { what: "calls to the counter".to_string(), why });
        }
        Ok(std::mem::take(&mut group.traffic))
    };
    Ok(Operation { step: Box::new(step), operations_per_step: rpcs, steps_most: 1 })
}

impl Group {
    fn new(gateways: usize, rate: u64) -> Result<Group, ScaleError> {
        let plan_rate = PLAN_RATE * rate as f64;
        let list = full_list(SERVERS);
        let member = |number: usize| {
            let service = ServiceConfig {
                gateway_index: Some(number),
                rate: plan_rate,
                burst: PLAN_BURST_SECONDS * plan_rate,
                ..ServiceConfig::for_fleet(gateways)
            };
            let mut replica = Replica::new(&service)?;
            replica.apply(START_TIME, &list);
            Ok(Member { replica, asked: RecordingHost::default() })
        };
        Ok(Group {
            members: (0..gateways).map(member).collect::<Result<_, ScaleError>>()?,
            events: Timers::default(),
            totals: HashMap::new(),
            chance: fastrand::Rng::with_seed(rate),
            rate,
            traffic: Traffic::default(),
            calls: 0,
            served: 0,
            arrived: 0,
        })
    }

    /// Plays until all RPCs have their answer, or their clients have gone.
    fn play(&mut self, rpcs: u64) {
        self.events.set(START_TIME, (0, Event::Arrives));
        let last = START_TIME + rpcs * SECOND / self.rate;
        while let Some(at) = self.events.next_due().filter(|at| *at < last + PATIENCE) {
            let Some((gateway, event)) = self.events.pop_due(at) else { return };
            self.happens(at, gateway, event, rpcs);
        }
    }

    fn happens(&mut self, now: Nanos, gateway: usize, event: Event, rpcs: u64) {
        if event == Event::Arrives {
            return self.arrives(now, rpcs);
        }
        let Member { replica, asked } = &mut self.members[gateway];
        asked.now = now;
        match event {
            Event::Arrives => {}
            Event::Woke(token) => replica.controller.on_timer(asked, now, token),
            Event::Counted { name, total } => {
                replica.controller.on_counter_reply(asked, now, name, CallOutcome::Ok, f64::from_bits(total));
            }
            Event::Answered { rpc, server, attempt, sent } => {
                let (how, took) = (CallOutcome::Ok, now - sent);
                let ended = AttemptResult {
                    rpc,
                    server,
                    attempt,
                    outcome: how,
                    duration: took,
                    rpc_answered: true,
                    settled_units: 0.0,
                    load_report: Vec::new(),
                };
                self.served += 1;
                replica.controller.on_attempt_end(asked, now, &ended);
            }
        }
        self.carry_out(now, gateway);
    }

    /// One more RPC comes in through any gateway, and the next is set.
    fn arrives(&mut self, now: Nanos, rpcs: u64) {
        self.arrived += 1;
        if self.arrived < rpcs {
            let wait = -(1.0 - self.chance.f64()).ln() * SECOND as f64 / self.rate as f64;
            self.events.set(now + wait as Nanos, (0, Event::Arrives));
        }
        let gateway = self.chance.usize(..self.members.len());
        let arrival = Arrival {
            id: self.arrived as u32,
            customer: TENANT,
            deadline: now + PATIENCE,
            units: 1.0,
            gateway_count: self.members.len() as u32,
            ..Arrival::default()
        };
        let Member { replica, asked } = &mut self.members[gateway];
        asked.now = now;
        replica.controller.on_arrival(asked, now, &arrival);
        self.carry_out(now, gateway);
    }

    /// What the module asked for becomes events.
    fn carry_out(&mut self, now: Nanos, gateway: usize) {
        let asked = &mut self.members[gateway].asked;
        for open in asked.attempts.drain(..) {
            let event =
                Event::Answered { rpc: open.rpc, server: open.server, attempt: open.attempt, sent: now };
            self.events.set(now + SERVED_IN, (gateway, event));
        }
        while let Some(at) = asked.timers.next_due() {
            if let Some(token) = asked.timers.pop_due(at) {
                self.events.set(at, (gateway, Event::Woke(token)));
            }
        }
        for (name, add, forget) in asked.counter_calls.drain(..) {
            self.calls += 1;
            self.traffic.sent.add(call_bytes(Call { serial: self.calls, name, add, ttl: forget }));
            let total = self.totals.entry(name).or_insert(0.0);
            *total += add;
            self.traffic.received.add(counter_reply(*total).len());
            self.events.set(now + COUNTED_IN, (gateway, Event::Counted { name, total: total.to_bits() }));
        }
    }
}

/// The bytes of a call, as the gateway's line to the counter writes it.
fn call_bytes(call: Call) -> usize {
    let mut line = CounterConnection::default();
    let mut written = Vec::new();
    line.connected(&mut written, 0);
    line.send_call(&mut written, 0, call);
    written.len()
}
