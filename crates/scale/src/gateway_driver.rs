//! Drives RPCs through one gateway without sockets: the decision module, its timers and its counter connection, with
//! emulated servers and an emulated counter that replies at once.

use crate::ScaleError;
use crate::alloc;
use crate::deployment::{START_TIME, ServiceConfig};
use crate::measure::Traffic;
use crate::replica::Replica;
use gateway::counter::{Call, CounterConnection};
use gateway::timers::Timers;
use martenramp::host::{Arrival, AttemptResult, CallOutcome, Host, Nanos};
use std::collections::{HashMap, VecDeque};

/// Time from an RPC's arrival to its deadline.
const RPC_TIMEOUT: Nanos = 6_000_000_000;
/// Default time that a server takes to answer.
const DEFAULT_SERVICE_TIME: Nanos = 1_000_000;
/// Number of gateways that receive a tenant's RPCs.
const GATEWAYS_PER_TENANT: u32 = 8;

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenAttempt {
    pub rpc: u32,
    pub server: u32,
    pub attempt: u16,
    pub sent: Nanos,
}

/// A host that records the decision module's actions.
#[derive(Default)]
pub struct RecordingHost {
    pub now: Nanos,
    pub attempts: VecDeque<OpenAttempt>,
    /// Number of RPCs that were rejected or aborted.
    pub rejected: u64,
    /// Counter calls that have not been sent: name, amount and time to live.
    pub counter_calls: VecDeque<(u64, f64, Nanos)>,
    pub timers: Timers<u32>,
}

impl Host for RecordingHost {
    fn send_attempt(&mut self, rpc: u32, server: u32, _timeout: Nanos, _write_before: Nanos) {
        self.attempts.push_back(OpenAttempt { rpc, server, attempt: 0, sent: self.now });
    }

    fn reject(&mut self, _rpc: u32, _retry_after: Nanos) {
        self.rejected += 1;
    }

    fn abort(&mut self, _rpc: u32) {
        self.rejected += 1;
    }

    fn set_timer(&mut self, after: Nanos, token: u32) {
        self.timers.set(self.now + after, token);
    }

    fn add_to_counter(&mut self, name: u64, add: f64, ttl: Nanos) {
        self.counter_calls.push_back((name, add, ttl));
    }
}

/// One gateway that serves RPCs on an emulated clock.
pub struct GatewayDriver {
    pub replica: Replica,
    pub host: RecordingHost,
    pub traffic: Traffic,
    /// Time between two RPCs.
    pub arrival_interval: Nanos,
    /// Time that a server takes to answer.
    pub service_time: Nanos,
    /// The connection to the emulated counter.
    connection: CounterConnection,
    /// Bytes of the latest call on that connection.
    output: Vec<u8>,
    /// The totals that the emulated counter holds.
    totals: HashMap<u64, f64>,
    last_rpc: u32,
    last_call: u64,
}

impl GatewayDriver {
    /// A gateway with the given number of servers listed and its counter connection open.
    pub fn new(
        service: &ServiceConfig,
        servers: usize,
        arrival_interval: Nanos,
    ) -> Result<GatewayDriver, ScaleError> {
        let mut replica = Replica::new(service)?;
        let list = alloc::without_counting(|| crate::deployment::full_list(servers));
        replica.apply(START_TIME, &list);
        alloc::without_counting(|| drop(list));
        let mut connection = CounterConnection::default();
        connection.connected(&mut Vec::new(), START_TIME);
        Ok(GatewayDriver {
            replica,
            host: RecordingHost { now: START_TIME, ..RecordingHost::default() },
            traffic: Traffic::default(),
            arrival_interval,
            service_time: DEFAULT_SERVICE_TIME.min(arrival_interval),
            connection,
            output: Vec::new(),
            totals: HashMap::new(),
            last_rpc: 0,
            last_call: 0,
        })
    }

    /// Advances the clock by one arrival interval and runs the timers that are due.
    pub fn advance(&mut self) {
        self.host.now += self.arrival_interval;
        let now = self.host.now;
        while let Some(token) = self.host.timers.pop_due(now) {
            self.replica.controller.on_timer(&mut self.host, now, token);
            self.answer_counter_calls();
        }
    }

    /// Starts an RPC of the tenant and processes it as far as possible without a server's answer.
    pub fn start_rpc(&mut self, tenant: u64, plan: u16) {
        self.last_rpc += 1;
        let now = self.host.now;
        let deadline = now + RPC_TIMEOUT;
        let (id, gateway_count) = (self.last_rpc, GATEWAYS_PER_TENANT);
        let arrival =
            Arrival { id, plan, customer: tenant, deadline, units: 1.0, gateway_count, ..Arrival::default() };
        self.replica.controller.on_arrival(&mut self.host, now, &arrival);
        self.answer_counter_calls();
    }

    /// Ends the oldest open attempt successfully, and returns false if there is none.
    pub fn complete_oldest_attempt(&mut self) -> bool {
        let Some(attempt) = self.host.attempts.pop_front() else { return false };
        let now = self.host.now.max(attempt.sent + self.service_time);
        self.host.now = now;
        let result = AttemptResult {
            rpc: attempt.rpc,
            server: attempt.server,
            attempt: attempt.attempt,
            outcome: CallOutcome::Ok,
            duration: now - attempt.sent,
            rpc_answered: true,
            settled_units: 0.0,
            load_report: Vec::new(),
        };
        self.replica.controller.on_attempt_end(&mut self.host, now, &result);
        self.answer_counter_calls();
        true
    }

    /// Serves one RPC from arrival to answer, and fails if it is not sent to a server.
    pub fn serve_rpc(&mut self, tenant: u64, plan: u16) -> Result<(), ScaleError> {
        self.advance();
        self.start_rpc(tenant, plan);
        let rejected = self.host.rejected;
        if !self.complete_oldest_attempt() {
            let why = format!("an RPC was not sent to a server ({rejected} rejected or aborted so far)");
            return Err(ScaleError::Measurement { what: "serving RPCs".to_string(), why });
        }
        Ok(())
    }

    /// Returns the traffic since the previous call and resets it.
    pub fn take_traffic(&mut self) -> Traffic {
        std::mem::take(&mut self.traffic)
    }

    /// Sends the pending counter calls and delivers the emulated counter's replies at once.
    fn answer_counter_calls(&mut self) {
        while let Some((name, add, ttl)) = self.host.counter_calls.pop_front() {
            self.last_call += 1;
            let now = self.host.now;
            self.output.clear();
            self.connection.send_call(&mut self.output, now, Call { serial: self.last_call, name, add, ttl });
            self.traffic.sent.add(self.output.len());
            let total = alloc::without_counting(|| {
                let total = self.totals.entry(name).or_insert(0.0);
                *total += add;
                *total
            });
            let reply = alloc::without_counting(|| counter_reply(total));
            self.traffic.received.add(reply.len());
            let mut completed = Vec::new();
            let _ = self.connection.feed(now, &reply, &mut completed);
            alloc::without_counting(|| drop(reply));
            for (call, outcome, total) in completed {
                self.replica.controller.on_counter_reply(&mut self.host, now, call.name, outcome, total);
            }
        }
    }
}

impl Drop for GatewayDriver {
    fn drop(&mut self) {
        alloc::without_counting(|| drop(std::mem::take(&mut self.totals)));
    }
}

/// The counter's reply with a total, as a RESP bulk string.
pub fn counter_reply(total: f64) -> Vec<u8> {
    let text = total.to_string();
    format!("${}\r\n{text}\r\n", text.len()).into_bytes()
}
