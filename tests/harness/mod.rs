//! Test harness for the admission controller: a host that records its requests and fires its timers in order.
#![allow(dead_code)] // each test file uses only some of it

use martenramp::admission::AdmissionController;
use martenramp::host::{Arrival, AttemptResult, CallOutcome, DiscoveredServer, Host, Nanos, Settings};

pub const MS: Nanos = 1_000_000;
pub const SEC: Nanos = 1_000 * MS;
pub const START: Nanos = 100 * SEC;

/// A host that records what the controller requests.
#[derive(Default)]
pub struct RecordingHost {
    pub now: Nanos,
    /// Attempts: RPC, server, timeout, and when it was sent.
    pub sent: Vec<(u32, u32, Nanos, Nanos)>,
    /// For each attempt, the time before which it has to be written.
    pub write_deadlines: Vec<Nanos>,
    /// RPC, advice when to retry, and when it was rejected.
    pub rejected: Vec<(u32, Nanos, Nanos)>,
    pub aborted: Vec<u32>,
    /// Name of the count, and the units added.
    pub counter_calls: Vec<(u64, f64)>,
    timers: Vec<(Nanos, u32)>,
}

impl RecordingHost {
    /// When the next timer is due.
    pub fn next_timer_at(&self) -> Option<Nanos> {
        self.timers.iter().map(|timer| timer.0).min()
    }
}

impl Host for RecordingHost {
    fn send_attempt(&mut self, rpc: u32, server: u32, timeout: Nanos, write_before: Nanos) {
        self.write_deadlines.push(write_before);
        self.sent.push((rpc, server, timeout, self.now));
    }
    fn reject(&mut self, rpc: u32, retry_after: Nanos) {
        self.rejected.push((rpc, retry_after, self.now));
    }
    fn abort(&mut self, rpc: u32) {
        self.aborted.push(rpc);
    }
    fn set_timer(&mut self, after: Nanos, token: u32) {
        // The clock has a resolution of one microsecond, like that of the simulator's protocol.
        self.timers.push((self.now + after / 1000 * 1000, token));
    }
    fn add_to_counter(&mut self, name: u64, add: f64, _forget: Nanos) {
        self.counter_calls.push((name, add));
    }
}

/// A controller under test, and the state of its environment.
pub struct Scenario {
    pub controller: AdmissionController,
    pub host: RecordingHost,
    /// The actual units that the next results report; 0 for none.
    pub settled_units: f64,
    /// The load report of the next results.
    pub load_report: Vec<f64>,
    /// The number of gateways that receive the customers' RPCs.
    pub gateway_count: u32,
    next_rpc_id: u32,
}

/// A gateway with three methods: 0 is patient and idempotent, 1 urgent and deduplicated within a zone, 2 urgent and not
/// idempotent. Its only plan has a rate of 10 units a second and a burst of 10. `extra` adds settings.
pub fn scenario(extra: &str) -> Scenario {
    scenario_with_seed(1, extra)
}

/// Like [`scenario`], with a given random seed.
pub fn scenario_with_seed(seed: u64, extra: &str) -> Scenario {
    let host = RecordingHost { now: START, ..RecordingHost::default() };
    Scenario {
        controller: AdmissionController::new(seed, settings(extra)),
        host,
        settled_units: 0.0,
        load_report: Vec::new(),
        gateway_count: 2,
        next_rpc_id: 0,
    }
}

pub fn settings(extra: &str) -> Settings {
    let base = "balancers=2\nceilings.attemptsCap=3\nceilings.retryAfter=true\nceilings.maxRetryAfter=1\n\
        classes.count=3\nclasses.0.credit=1\nclasses.0.onTime=1\nclasses.0.idempotency=free\n\
        classes.1.credit=5\nclasses.1.onTime=1\nclasses.1.idempotency=guarded\nclasses.1.group=zone\n\
        classes.1.window=0.9\nclasses.2.credit=5\nclasses.2.onTime=1\nclasses.2.idempotency=single_shot\n\
        tariffs.0.perSecond=10\ntariffs.0.depth=10\ntariffs.0.beyondCosts=1\nrules.coldFrom=0.2\n\
        rules.warmWithin=10\nrules.fall=1\n";
    let lines = base.lines().chain(extra.split_whitespace());
    lines.filter_map(|line| line.trim().split_once('=')).map(|(k, v)| (k.into(), v.into())).collect()
}

pub fn ready_server(server: u32, zone: u16) -> DiscoveredServer {
    DiscoveredServer {
        server,
        key: u64::from(server),
        zone,
        cell: server as u16,
        ready: true,
        weight: 1.0,
        ..DiscoveredServer::default()
    }
}

impl Scenario {
    pub fn with_servers(mut self, count: u32) -> Self {
        let list: Vec<DiscoveredServer> = (1..=count).map(|id| ready_server(id, id as u16 % 2)).collect();
        self.deliver_list(true, &list);
        self
    }

    pub fn deliver_list(&mut self, whole: bool, list: &[DiscoveredServer]) {
        self.controller.on_server_list(self.host.now, whole, list);
    }

    /// An RPC of customer 9 arrives.
    pub fn submit(&mut self, method: u16, units: f64) -> u32 {
        self.submit_for(9, method, units, 4 * SEC)
    }

    /// An RPC of the given customer arrives, with a deadline after `time_left`. Returns its ID.
    pub fn submit_for(&mut self, customer: u64, method: u16, units: f64, time_left: Nanos) -> u32 {
        self.next_rpc_id += 1;
        let deadline = self.host.now + time_left;
        let arrival = Arrival {
            id: self.next_rpc_id,
            method,
            customer,
            deadline,
            units,
            gateway_count: self.gateway_count,
            ..Arrival::default()
        };
        self.controller.on_arrival(&mut self.host, arrival.deadline - time_left, &arrival);
        self.next_rpc_id
    }

    /// Advances the clock and fires each timer when it is due.
    pub fn advance(&mut self, duration: Nanos) {
        let until = self.host.now + duration;
        while let Some(index) = (0..self.host.timers.len()).min_by_key(|i| self.host.timers[*i]) {
            if self.host.timers[index].0 > until {
                break;
            }
            let (at, token) = self.host.timers.swap_remove(index);
            self.host.now = at;
            self.controller.on_timer(&mut self.host, at, token);
        }
        self.host.now = until;
    }

    /// Ends the last attempt of an RPC.
    pub fn end_attempt(&mut self, rpc: u32, outcome: CallOutcome) {
        let attempts: Vec<_> = self.host.sent.iter().filter(|sent| sent.0 == rpc).collect();
        let (attempt, last) = (attempts.len() as u16 - 1, attempts[attempts.len() - 1]);
        let ended = AttemptResult {
            rpc,
            server: last.1,
            attempt,
            outcome,
            duration: self.host.now - last.3,
            rpc_answered: outcome == CallOutcome::Ok,
            settled_units: self.settled_units,
            load_report: self.load_report.clone(),
        };
        let now = self.host.now;
        self.controller.on_attempt_end(&mut self.host, now, &ended);
    }

    /// The counter answers the call made `calls_back` calls before the last one.
    pub fn answer_counter(&mut self, calls_back: usize, outcome: CallOutcome, total: f64) {
        let name = self.host.counter_calls[self.host.counter_calls.len() - 1 - calls_back].0;
        let now = self.host.now;
        self.controller.on_counter_reply(&mut self.host, now, name, outcome, total);
    }

    /// Runs RPCs one after another, each answered successfully after `latency`.
    pub fn run_answered(&mut self, count: u32, method: u16, latency: Nanos) {
        for customer in 0..u64::from(count) {
            let rpc = self.submit_for(1000 + customer, method, 0.1, 4 * SEC);
            self.advance(latency);
            self.end_attempt(rpc, CallOutcome::Ok);
        }
    }

    /// The number of attempts sent for an RPC.
    pub fn attempt_count(&self, rpc: u32) -> usize {
        self.host.sent.iter().filter(|sent| sent.0 == rpc).count()
    }
}
