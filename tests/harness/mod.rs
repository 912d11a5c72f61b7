//! What the module's stories share: a tiny host that writes down what the module asks for and rings its timers in order.
#![allow(dead_code)] // each test uses a part of it

use martenramp::admission::AdmissionController;
use martenramp::host::{Arrival, AttemptResult, CallOutcome, DiscoveredServer, Host, Nanos, Settings};

pub const MS: Nanos = 1_000_000;
pub const SEC: Nanos = 1_000 * MS;
pub const START: Nanos = 100 * SEC;

#[derive(Default)]
pub struct Notes {
    pub now: Nanos,
    /// RPC, server, time-out, when.
    pub out: Vec<(u32, u32, Nanos, Nanos)>,
    /// Before when each has to be written.
    pub before: Vec<Nanos>,
    pub pushed: Vec<(u32, Nanos, Nanos)>,
    pub aborted: Vec<u32>,
    pub counts: Vec<(u64, f64)>,
    timers: Vec<(Nanos, u32)>,
}

impl Notes {
    /// When the next timer is due.
    pub fn next_timer(&self) -> Option<Nanos> {
        self.timers.iter().map(|timer| timer.0).min()
    }
}

impl Host for Notes {
    fn send_attempt(&mut self, rpc: u32, server: u32, limit: Nanos, before: Nanos) {
        self.before.push(before);
        self.out.push((rpc, server, limit, self.now));
    }
    fn reject(&mut self, rpc: u32, come_back: Nanos) {
        self.pushed.push((rpc, come_back, self.now));
    }
    fn abort(&mut self, rpc: u32) {
        self.aborted.push(rpc);
    }
    fn set_timer(&mut self, after: Nanos, token: u32) {
        // Like the simulator's wire, this clock counts whole microseconds.
        self.timers.push((self.now + after / 1000 * 1000, token));
    }
    fn add_to_counter(&mut self, name: u64, add: f64, _forget: Nanos) {
        self.counts.push((name, add));
    }
}

pub struct Story {
    pub brain: AdmissionController,
    pub notes: Notes,
    /// What the next ends settle.
    pub settled: f64,
    /// The load report of the next ends.
    pub told: Vec<f64>,
    /// How many gateways the customers' RPCs come in through.
    pub width: u32,
    next: u32,
}

/// Methods: 0 patient and idempotent, 1 urgent and deduplicated within a zone, 2 urgent and non-idempotent.
/// One plan of 10 units a second and 10 at once, and what the story adds.
pub fn story(extra: &str) -> Story {
    gateway(1, extra)
}

/// The same, with a seed of its own.
pub fn gateway(seed: u64, extra: &str) -> Story {
    let notes = Notes { now: START, ..Notes::default() };
    Story {
        brain: AdmissionController::new(seed, settings(extra)),
        notes,
        settled: 0.0,
        told: Vec::new(),
        width: 2,
        next: 0,
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

pub fn server(server: u32, zone: u16) -> DiscoveredServer {
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

impl Story {
    pub fn with_servers(mut self, count: u32) -> Self {
        let list: Vec<DiscoveredServer> = (1..=count).map(|id| server(id, id as u16 % 2)).collect();
        self.list(true, &list);
        self
    }

    pub fn list(&mut self, whole: bool, list: &[DiscoveredServer]) {
        self.brain.on_server_list(self.notes.now, whole, list);
    }

    /// An RPC of customer 9, who comes in through two gateways.
    pub fn rpc(&mut self, method: u16, units: f64) -> u32 {
        self.rpc_of(9, method, units, 4 * SEC)
    }

    pub fn rpc_of(&mut self, customer: u64, method: u16, units: f64, left: Nanos) -> u32 {
        self.next += 1;
        let deadline = self.notes.now + left;
        let arrival = Arrival {
            id: self.next,
            method,
            customer,
            deadline,
            units,
            gateway_count: self.width,
            ..Arrival::default()
        };
        self.brain.on_arrival(&mut self.notes, arrival.deadline - left, &arrival);
        self.next
    }

    /// Lets time pass, ringing each timer when it is due.
    pub fn pass(&mut self, span: Nanos) {
        let until = self.notes.now + span;
        while let Some(place) = (0..self.notes.timers.len()).min_by_key(|i| self.notes.timers[*i]) {
            if self.notes.timers[place].0 > until {
                break;
            }
            let (at, token) = self.notes.timers.swap_remove(place);
            self.notes.now = at;
            self.brain.on_timer(&mut self.notes, at, token);
        }
        self.notes.now = until;
    }

    /// Ends the last call-out of an RPC.
    pub fn end(&mut self, rpc: u32, how: CallOutcome) {
        let outs: Vec<_> = self.notes.out.iter().filter(|out| out.0 == rpc).collect();
        let (nth, last) = (outs.len() as u16 - 1, outs[outs.len() - 1]);
        let ended = AttemptResult {
            rpc,
            server: last.1,
            attempt: nth,
            outcome: how,
            duration: self.notes.now - last.3,
            rpc_answered: how == CallOutcome::Ok,
            settled_units: self.settled,
            load_report: self.told.clone(),
        };
        let now = self.notes.now;
        self.brain.on_attempt_end(&mut self.notes, now, &ended);
    }

    /// The counter answers the call made `back` calls before the last.
    pub fn counted(&mut self, back: usize, how: CallOutcome, total: f64) {
        let name = self.notes.counts[self.notes.counts.len() - 1 - back].0;
        let now = self.notes.now;
        self.brain.on_counter_reply(&mut self.notes, now, name, how, total);
    }

    /// RPCs one after another, each answered ok after a while.
    pub fn answered(&mut self, count: u32, method: u16, after: Nanos) {
        for customer in 0..u64::from(count) {
            let rpc = self.rpc_of(1000 + customer, method, 0.1, 4 * SEC);
            self.pass(after);
            self.end(rpc, CallOutcome::Ok);
        }
    }

    pub fn sent(&self, rpc: u32) -> usize {
        self.notes.out.iter().filter(|out| out.0 == rpc).count()
    }
}
