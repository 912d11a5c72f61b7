//! A gateway's path of an RPC without sockets: the module, its timers, its line to the counter, and servers and a counter
//! that answer at once.

use crate::ScaleError;
use crate::alloc;
use crate::deployment::{START_TIME, ServiceConfig};
use crate::measure::Traffic;
use crate::replica::Replica;
use gateway::counter::{Call, CounterConnection};
use gateway::timers::Timers;
use martenramp::host::{Arrival, AttemptResult, CallOutcome, Host, Nanos};
use std::collections::{HashMap, VecDeque};

/// How long a client waits, and a server takes where nothing else is told.
const PATIENCE: Nanos = 6_000_000_000;
const SERVED_IN: Nanos = 1_000_000;
/// Through how many gateways a tenant's RPCs come in where nothing else is told.
const WIDTH: u32 = 8;

/// A call-out that is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenAttempt {
    pub rpc: u32,
    pub server: u32,
    pub attempt: u16,
    pub sent: Nanos,
}

/// The module's host: keeps what it asks for.
#[derive(Default)]
pub struct RecordingHost {
    pub now: Nanos,
    pub attempts: VecDeque<OpenAttempt>,
    /// RPCs answered without a server.
    pub rejected: u64,
    /// Calls to the counter that have not been written: name, amount, and for how long it is remembered.
    pub counter_calls: VecDeque<(u64, f64, Nanos)>,
    pub timers: Timers<u32>,
}

impl Host for RecordingHost {
    fn send_attempt(&mut self, rpc: u32, server: u32, _limit: Nanos, _before: Nanos) {
        self.attempts.push_back(OpenAttempt { rpc, server, attempt: 0, sent: self.now });
    }

    fn reject(&mut self, _rpc: u32, _come_back: Nanos) {
        self.rejected += 1;
    }

    fn abort(&mut self, _rpc: u32) {
        self.rejected += 1;
    }

    fn set_timer(&mut self, after: Nanos, token: u32) {
        self.timers.set(self.now + after, token);
    }

    fn add_to_counter(&mut self, name: u64, add: f64, forget: Nanos) {
        self.counter_calls.push_back((name, add, forget));
    }
}

/// One gateway that serves RPCs on its own clock.
pub struct GatewayDriver {
    pub replica: Replica,
    pub host: RecordingHost,
    pub traffic: Traffic,
    /// Time between two RPCs, and that a server takes.
    pub arrival_interval: Nanos,
    pub service_time: Nanos,
    /// The line to the counter, what is written on it, and the totals that the emulated counter holds.
    line: CounterConnection,
    written: Vec<u8>,
    totals: HashMap<u64, f64>,
    last_rpc: u32,
    last_call: u64,
}

impl GatewayDriver {
    /// A gateway of this service with all servers listed.
    pub fn new(
        service: &ServiceConfig,
        servers: usize,
        arrival_interval: Nanos,
    ) -> Result<GatewayDriver, ScaleError> {
        let mut replica = Replica::new(service)?;
        let list = alloc::without_counting(|| crate::deployment::full_list(servers));
        replica.apply(START_TIME, &list);
        alloc::without_counting(|| drop(list));
        let mut line = CounterConnection::default();
        line.connected(&mut Vec::new(), START_TIME);
        Ok(GatewayDriver {
            replica,
            host: RecordingHost { now: START_TIME, ..RecordingHost::default() },
            traffic: Traffic::default(),
            arrival_interval,
            service_time: SERVED_IN.min(arrival_interval),
            line,
            written: Vec::new(),
            totals: HashMap::new(),
            last_rpc: 0,
            last_call: 0,
        })
    }

    /// Time goes on by one step; timers that come due ring.
    pub fn advance(&mut self) {
        self.host.now += self.arrival_interval;
        let now = self.host.now;
        while let Some(token) = self.host.timers.pop_due(now) {
            self.replica.controller.on_timer(&mut self.host, now, token);
            self.answer_counts();
        }
    }

    /// An RPC of a tenant comes in and goes as far as it can now.
    pub fn start_rpc(&mut self, tenant: u64, plan: u16) {
        self.last_rpc += 1;
        let now = self.host.now;
        let deadline = now + PATIENCE;
        let (id, width) = (self.last_rpc, WIDTH);
        let arrival = Arrival {
            id,
            plan,
            customer: tenant,
            deadline,
            units: 1.0,
            gateway_count: width,
            ..Arrival::default()
        };
        self.replica.controller.on_arrival(&mut self.host, now, &arrival);
        self.answer_counts();
    }

    /// The oldest open call-out ends well; false if there is none.
    pub fn complete_oldest_attempt(&mut self) -> bool {
        let Some(open) = self.host.attempts.pop_front() else { return false };
        let now = self.host.now.max(open.sent + self.service_time);
        self.host.now = now;
        let ended = AttemptResult {
            rpc: open.rpc,
            server: open.server,
            attempt: open.attempt,
            outcome: CallOutcome::Ok,
            duration: now - open.sent,
            rpc_answered: true,
            settled_units: 0.0,
            load_report: Vec::new(),
        };
        self.replica.controller.on_attempt_end(&mut self.host, now, &ended);
        self.answer_counts();
        true
    }

    /// An RPC from its arrival to its answer; an error if no server answered it.
    pub fn serve_rpc(&mut self, tenant: u64, plan: u16) -> Result<(), ScaleError> {
        self.advance();
        self.start_rpc(tenant, plan);
        let rejected = self.host.rejected;
        if !self.complete_oldest_attempt() {
            let why = format!("an RPC was not called out ({rejected} turned away)");
            return Err(ScaleError::Measurement { what: "serving RPCs".to_string(), why });
        }
        Ok(())
    }

    /// Traffic since the last look.
    pub fn take_traffic(&mut self) -> Traffic {
        std::mem::take(&mut self.traffic)
    }

    /// Calls to the counter are written on the line, and answered at once.
    fn answer_counts(&mut self) {
        while let Some((name, add, forget)) = self.host.counter_calls.pop_front() {
            self.last_call += 1;
            let now = self.host.now;
            self.written.clear();
            self.line.send_call(
                &mut self.written,
                now,
                Call { serial: self.last_call, name, add, ttl: forget },
            );
            self.traffic.sent.add(self.written.len());
            let total = alloc::without_counting(|| {
                let total = self.totals.entry(name).or_insert(0.0);
                *total += add;
                *total
            });
            let answer = alloc::without_counting(|| counter_reply(total));
            self.traffic.received.add(answer.len());
            let mut ended = Vec::new();
            let _ = self.line.feed(now, &answer, &mut ended);
            alloc::without_counting(|| drop(answer));
            for (call, how, total) in ended {
                self.replica.controller.on_counter_reply(&mut self.host, now, call.name, how, total);
            }
        }
    }
}

impl Drop for GatewayDriver {
    fn drop(&mut self) {
        alloc::without_counting(|| drop(std::mem::take(&mut self.totals)));
    }
}

/// A total as the counter answers it.
pub fn counter_reply(total: f64) -> Vec<u8> {
    let text = total.to_string();
    format!("${}\r\n{text}\r\n", text.len()).into_bytes()
}
