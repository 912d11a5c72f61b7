//! What decides in an emulated gateway: the design (the real module) or one of two baselines, behind one trait.
//! The baselines are no policy of the product; they are what every emulated figure is compared with.

use crate::Nanos;
use martenramp::admission::AdmissionController;
use martenramp::host::{Arrival, AttemptResult, CallOutcome, DiscoveredServer, Host, Settings};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

/// Which policy a run plays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// The decision module, `martenramp::admission`.
    #[default]
    Design,
    /// Each gateway an even split of every store, no reserve line, no brake, the least-open server.
    Plain,
    /// One true store a customer, shared by all gateways but seen late; the least-open server.
    Late,
}

impl PolicyKind {
    /// All policies.
    pub const ALL: [PolicyKind; 3] = [PolicyKind::Design, PolicyKind::Plain, PolicyKind::Late];

    /// Its name on the command line and in tables.
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::Design => "design",
            PolicyKind::Plain => "plain",
            PolicyKind::Late => "late",
        }
    }

    /// The policy of that name.
    pub fn parse(text: &str) -> Result<PolicyKind, String> {
        PolicyKind::ALL
            .into_iter()
            .find(|kind| kind.name() == text)
            .ok_or_else(|| format!("no policy '{text}'"))
    }
}

/// One thing a gate asked of its host, kept until the gate's call is over so that it is never entered twice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HostAction {
    /// Send an attempt of an RPC to a server.
    SendAttempt {
        /// The RPC.
        rpc: u32,
        /// The server.
        server: u32,
        /// How long the attempt may take; 0 is until the deadline.
        timeout: Nanos,
    },
    /// Reject an RPC.
    Reject {
        /// The RPC.
        rpc: u32,
        /// When the client may send it again, from now.
        retry_after: Nanos,
    },
    /// Abort an RPC: nothing is promised of it.
    Abort {
        /// The RPC.
        rpc: u32,
    },
    /// Call the gate again later.
    SetTimer {
        /// When, from now.
        after: Nanos,
        /// Handed back then.
        token: u32,
    },
    /// Add to a count of the shared counter.
    AddToCounter {
        /// The name of the count.
        name: u64,
        /// What is added.
        add: f64,
        /// How long the counter keeps a new count.
        forget: Nanos,
    },
}

/// The host side of a gate: it only collects.
#[derive(Default)]
pub struct HostActions(pub Vec<HostAction>);

impl Host for HostActions {
    fn send_attempt(&mut self, rpc: u32, server: u32, timeout: Nanos, _before: Nanos) {
        self.0.push(HostAction::SendAttempt { rpc, server, timeout });
    }
    fn reject(&mut self, rpc: u32, retry_after: Nanos) {
        self.0.push(HostAction::Reject { rpc, retry_after });
    }
    fn abort(&mut self, rpc: u32) {
        self.0.push(HostAction::Abort { rpc });
    }
    fn set_timer(&mut self, after: Nanos, token: u32) {
        self.0.push(HostAction::SetTimer { after, token });
    }
    fn add_to_counter(&mut self, name: u64, add: f64, forget: Nanos) {
        self.0.push(HostAction::AddToCounter { name, add, forget });
    }
}

/// What an emulated gateway is told, as the real gateway tells the module.
pub trait Policy {
    /// Discovery sent a list, whole or only what changed.
    fn on_server_list(&mut self, now: Nanos, whole: bool, list: &[DiscoveredServer]);
    /// An RPC arrived.
    fn on_arrival(&mut self, host: &mut HostActions, now: Nanos, arrival: &Arrival);
    /// A time that was asked for has come.
    fn on_timer(&mut self, host: &mut HostActions, now: Nanos, token: u32);
    /// An attempt ended.
    fn on_attempt_end(&mut self, host: &mut HostActions, now: Nanos, ended: &AttemptResult);
    /// A call to the counter ended.
    fn on_counter_reply(
        &mut self,
        host: &mut HostActions,
        now: Nanos,
        name: u64,
        how: CallOutcome,
        total: f64,
    );
    /// A client gave its RPC up.
    fn on_client_left(&mut self, id: u32);
}

impl Policy for AdmissionController {
    fn on_server_list(&mut self, now: Nanos, whole: bool, list: &[DiscoveredServer]) {
        AdmissionController::on_server_list(self, now, whole, list);
    }
    fn on_arrival(&mut self, host: &mut HostActions, now: Nanos, arrival: &Arrival) {
        AdmissionController::on_arrival(self, host, now, arrival);
    }
    fn on_timer(&mut self, host: &mut HostActions, now: Nanos, token: u32) {
        AdmissionController::on_timer(self, host, now, token);
    }
    fn on_attempt_end(&mut self, host: &mut HostActions, now: Nanos, ended: &AttemptResult) {
        AdmissionController::on_attempt_end(self, host, now, ended);
    }
    fn on_counter_reply(
        &mut self,
        host: &mut HostActions,
        now: Nanos,
        name: u64,
        how: CallOutcome,
        total: f64,
    ) {
        AdmissionController::on_counter_reply(self, host, now, name, how, total);
    }
    fn on_client_left(&mut self, id: u32) {
        AdmissionController::on_client_left(self, id);
    }
}

/// The true stores for the late-seeing baseline: every draw of every gateway, seen by the others `late` after it.
#[derive(Default)]
pub struct Ledger {
    late: Nanos,
    stores: HashMap<u64, Store>,
    /// Call-outs open at each server, over all gateways.
    open: BTreeMap<u32, u32>,
}

#[derive(Default)]
struct Store {
    rate: f64,
    burst: f64,
    /// The level as of `cut`, with every draw before it taken off.
    level: f64,
    cut: Nanos,
    /// Draws since `cut`: when, by which gateway, how much.
    draws: VecDeque<(Nanos, u32, f64)>,
}

impl Ledger {
    /// A ledger whose draws are seen this late by other gateways.
    pub fn shared(late: Nanos) -> Rc<RefCell<Ledger>> {
        Rc::new(RefCell::new(Ledger { late, ..Ledger::default() }))
    }

    /// The room that `gateway` sees in a store now: the true level as of `late` ago, refilled since, less its own
    /// draws since then.
    fn room(&mut self, now: Nanos, gateway: u32, key: u64, rate: f64, burst: f64) -> f64 {
        let late = self.late;
        let store =
            self.stores.entry(key).or_insert_with(|| Store { rate, burst, level: burst, ..Store::default() });
        let cut = now.saturating_sub(late).max(store.cut);
        while store.draws.front().is_some_and(|draw| draw.0 <= cut) {
            let (at, _, units) = store.draws.pop_front().unwrap_or_default();
            store.level = (store.level + secs(at - store.cut) * store.rate).min(store.burst) - units;
            store.cut = at;
        }
        store.level = (store.level + secs(cut - store.cut) * store.rate).min(store.burst);
        store.cut = cut;
        let own: f64 = store.draws.iter().filter(|draw| draw.1 == gateway).map(|draw| draw.2).sum();
        (store.level + secs(now - cut) * store.rate).min(store.burst) - own
    }

    fn draw(&mut self, now: Nanos, gateway: u32, key: u64, units: f64) {
        if let Some(store) = self.stores.get_mut(&key) {
            store.draws.push_back((now, gateway, units));
        }
    }
}

fn secs(span: Nanos) -> f64 {
    span as f64 / 1e9
}

/// A plain gateway's view of a store: its even part, drained by its own draws only.
#[derive(Clone, Copy)]
struct Part {
    level: f64,
    at: Nanos,
}

struct Out {
    method: u16,
    deadline: Nanos,
    tries: u32,
    server: Option<u32>,
}

/// The two baselines. Both retry only idempotent methods, on another server, while time is left and the attempts cap
/// allows; what finds no room is pushed back with the time until there is room.
pub struct Baseline {
    kind: PolicyKind,
    gateway: u32,
    settings: Settings,
    ledger: Rc<RefCell<Ledger>>,
    parts: HashMap<u64, Part>,
    rpcs: HashMap<u32, Out>,
    ready: Vec<u32>,
    /// Own open call-outs by server, for the plain one.
    open: BTreeMap<u32, u32>,
    turn: usize,
}

impl Baseline {
    /// A baseline policy for one gateway.
    pub fn new(kind: PolicyKind, gateway: u32, settings: Settings, ledger: Rc<RefCell<Ledger>>) -> Baseline {
        let (parts, rpcs, open) = (HashMap::new(), HashMap::new(), BTreeMap::new());
        Baseline { kind, gateway, settings, ledger, parts, rpcs, ready: Vec::new(), open, turn: 0 }
    }

    fn number(&self, name: &str, default: f64) -> f64 {
        self.settings.get(name).and_then(|text| text.parse().ok()).unwrap_or(default)
    }

    /// Takes `units` from the customer's store if there is room; else the time until there is.
    fn take(&mut self, now: Nanos, arrival: &Arrival) -> Result<(), Nanos> {
        // The late one sees the whole store; a plain gateway keeps its even part of it.
        let share = if self.kind == PolicyKind::Late { 1.0 } else { f64::from(arrival.gateway_count.max(1)) };
        let rate = self.number(&format!("tariffs.{}.perSecond", arrival.plan), 0.0) / share;
        let burst = self.number(&format!("tariffs.{}.depth", arrival.plan), 0.0) / share;
        let room = match self.kind {
            PolicyKind::Late => {
                self.ledger.borrow_mut().room(now, self.gateway, arrival.customer, rate, burst)
            }
            _ => {
                let part = self.parts.entry(arrival.customer).or_insert(Part { level: burst, at: now });
                part.level = (part.level + secs(now - part.at) * rate).min(burst);
                part.at = now;
                part.level
            }
        };
        if room < arrival.units {
            let wait = if rate > 0.0 { (arrival.units - room) / rate } else { 1.0 };
            return Err(crate::nanos(wait.min(60.0)));
        }
        match self.kind {
            PolicyKind::Late => {
                self.ledger.borrow_mut().draw(now, self.gateway, arrival.customer, arrival.units)
            }
            _ => {
                self.parts.get_mut(&arrival.customer).into_iter().for_each(|part| part.level -= arrival.units)
            }
        }
        Ok(())
    }

    /// The least-open ready server other than the last one tried; ties go round.
    fn pick(&mut self, besides: Option<u32>) -> Option<u32> {
        self.turn = self.turn.wrapping_add(1);
        let ledger = self.ledger.borrow();
        let open = if self.kind == PolicyKind::Late { &ledger.open } else { &self.open };
        let count = self.ready.len();
        let order = (0..count).map(|at| self.ready[(at + self.turn) % count]);
        order
            .filter(|server| Some(*server) != besides)
            .min_by_key(|server| open.get(server).copied().unwrap_or(0))
    }

    fn send(&mut self, host: &mut HostActions, now: Nanos, id: u32) {
        let Some(rpc) = self.rpcs.get(&id) else { return };
        let (besides, deadline) = (rpc.server, rpc.deadline);
        match self.pick(besides).filter(|_| now < deadline) {
            Some(server) => {
                self.opened(server, 1);
                if let Some(rpc) = self.rpcs.get_mut(&id) {
                    (rpc.server, rpc.tries) = (Some(server), rpc.tries + 1);
                }
                host.send_attempt(id, server, 0, Nanos::MAX);
            }
            None => {
                self.rpcs.remove(&id);
                host.reject(id, 0);
            }
        }
    }

    fn opened(&mut self, server: u32, by: i64) {
        let mut ledger = self.ledger.borrow_mut();
        let open = if self.kind == PolicyKind::Late { &mut ledger.open } else { &mut self.open };
        let count = open.entry(server).or_default();
        *count = (i64::from(*count) + by).max(0) as u32;
    }
}

impl Policy for Baseline {
    fn on_server_list(&mut self, _now: Nanos, _whole: bool, list: &[DiscoveredServer]) {
        self.ready = list.iter().filter(|listed| listed.ready).map(|listed| listed.server).collect();
    }

    fn on_arrival(&mut self, host: &mut HostActions, now: Nanos, arrival: &Arrival) {
        if let Err(wait) = self.take(now, arrival) {
            return host.reject(arrival.id, wait);
        }
        let out = Out { method: arrival.method, deadline: arrival.deadline, tries: 0, server: None };
        self.rpcs.insert(arrival.id, out);
        self.send(host, now, arrival.id);
    }

    fn on_timer(&mut self, _host: &mut HostActions, _now: Nanos, _token: u32) {}

    fn on_attempt_end(&mut self, host: &mut HostActions, now: Nanos, ended: &AttemptResult) {
        self.opened(ended.server, -1);
        if ended.rpc_answered || ended.outcome == CallOutcome::Ok {
            self.rpcs.remove(&ended.rpc);
            return;
        }
        let Some(rpc) = self.rpcs.get(&ended.rpc) else { return };
        let cap = self.number("ceilings.attemptsCap", 1.0).max(1.0) as u32;
        let free = self
            .settings
            .get(&format!("classes.{}.idempotency", rpc.method))
            .is_some_and(|how| how == "free");
        if free && rpc.tries < cap && now < rpc.deadline {
            return self.send(host, now, ended.rpc);
        }
        self.rpcs.remove(&ended.rpc);
        host.reject(ended.rpc, 0);
    }

    fn on_counter_reply(
        &mut self,
        _host: &mut HostActions,
        _now: Nanos,
        _name: u64,
        _how: CallOutcome,
        _total: f64,
    ) {
    }

    fn on_client_left(&mut self, id: u32) {
        self.rpcs.remove(&id);
    }
}

/// A gate of the kind asked for; the seed is the module's for this life of this gateway.
pub fn new_policy(
    kind: PolicyKind,
    gateway: u32,
    seed: u64,
    settings: &Settings,
    ledger: &Rc<RefCell<Ledger>>,
) -> Box<dyn Policy> {
    match kind {
        PolicyKind::Design => {
            let mut settings = settings.clone();
            settings.insert("me".to_string(), gateway.to_string());
            Box::new(AdmissionController::new(seed, settings))
        }
        _ => Box::new(Baseline::new(kind, gateway, settings.clone(), ledger.clone())),
    }
}
