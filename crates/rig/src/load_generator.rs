//! The front: an open-loop load over all gateways. Arrivals come when they are due, whatever became of earlier ones;
//! each is written down with how late the front itself was.

use crate::{MS, Nanos, SEC};
use rand::Rng;
use rand::distr::{Distribution, weighted::WeightedIndex};
use rand_chacha::ChaCha8Rng;
use rand_distr::Exp1;
use standins::http;
use standins::reactor::{ConnId, EventHandler, Io};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const ARRIVAL: u64 = u64::MAX;
const PROBES: u64 = u64::MAX - 1;
const CROWD: u64 = u64::MAX - 2;
/// Timers of one call carry its number and what is due: the end of its time unless one of these.
const BEGIN: u64 = 1 << 60;
const REST: u64 = 1 << 61;
const LEAVE: u64 = 1 << 62;
const READ_AGAIN: u64 = 1 << 59;
const CALL_NUMBER: u64 = READ_AGAIN - 1;
/// A client that reads slowly reads nothing for so long at most.
const READS_NOTHING_MOST: Nanos = 400 * MS;
/// Silent connections are opened in steps of this, and what crosses in a crowd may be shut unread for so long after it.
const CROWD_STEP: Nanos = 10 * MS;
const CROWD_AFTER: Nanos = SEC;
/// The front opens a connection at most so long before its first RPC.
const EARLY_MOST: Nanos = 1_200 * MS;
/// The second piece of an RPC comes at most so long after the first.
const PIECE_MOST: Nanos = 300 * MS;
const PROBE_EVERY: Nanos = 100 * MS;
/// An RPC without an answer so long after its deadline is lost.
const SLACK: Nanos = 500 * MS;

const REMAINING: &str = "X-Remaining-Ms: ";

/// A class of RPCs as the front sends it.
#[derive(Clone, Debug)]
pub struct Method {
    /// Its name in the settings.
    pub name: String,
    /// Its idempotency as the settings have it.
    pub idempotency: String,
    /// The time that its RPCs have.
    pub deadline: Nanos,
    /// The share of all arrivals.
    pub share: f64,
    /// Units of the plan's quota for each RPC.
    pub units: f64,
}

/// A customer: its share of all arrivals, and its gateways, `width` of them from `first` on.
#[derive(Clone, Copy, Debug)]
pub struct Customer {
    /// The share of all arrivals.
    pub share: f64,
    /// Its first gateway.
    pub first_gateway: usize,
    /// How many gateways in a row it uses.
    pub gateway_count: usize,
}

/// Shares of the RPCs whose clients do something out of the ordinary.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientBehaviour {
    /// The client closes its connection at some moment of its deadline.
    pub abandon_share: f64,
    /// Its connection was opened some time before, and has said nothing.
    pub early_connection_share: f64,
    /// Its message comes in two pieces.
    pub split_write_share: f64,
    /// Its connection is its own, and closed behind the answer.
    pub own_connection_share: f64,
    /// The client reads nothing for a while once it has sent.
    pub slow_read_share: f64,
}

/// What the front sends.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    /// What clients do.
    pub behaviour: ClientBehaviour,
    /// RPCs a second in all.
    pub rate: f64,
    /// The plan that all customers have.
    pub plan: String,
    /// The classes of RPCs.
    pub methods: Vec<Method>,
    /// Who sends.
    pub customers: Vec<Customer>,
    /// How long until the front notices a dead gateway.
    pub detection_delay: Nanos,
}

/// How an RPC ended at its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RpcOutcome {
    /// Not yet ended.
    Open,
    /// Answered ok.
    Ok,
    /// 429 or 503.
    PushedBack,
    /// Any other answer.
    Failed,
    /// The connection broke after the RPC was written.
    Cut,
    /// No gateway took the connection.
    Unreached,
    /// No answer by its deadline and some.
    Lost,
    /// Its client left before.
    Left,
}

/// One RPC as the client saw it.
#[derive(Clone, Copy, Debug)]
pub struct ClientRpc {
    /// The RPC's id.
    pub txn: u64,
    /// The gateway that it was sent to.
    pub gateway: usize,
    /// By its place in [`LoadProfile::methods`].
    pub method: usize,
    /// When it was to be sent.
    pub scheduled_at: Nanos,
    /// When it was sent.
    pub sent_at: Nanos,
    /// When it ended.
    pub ended_at: Nanos,
    /// How it ended.
    pub outcome: RpcOutcome,
    /// When it was sent once more, since its connection was closed as it crossed: nothing may have read it by then.
    pub resent_at: Option<Nanos>,
    /// Silent connections crowded its gateway, which may shut a new connection unread then.
    pub during_connection_flood: bool,
}

/// The state of a gateway as the front sees it. `Front::set_state` is the one place that changes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GatewayState {
    /// Not yet ready, or found dead: probed until it answers 200.
    Down,
    Admitted,
    /// It failed then, and the front has not noticed yet.
    Failing(Nanos),
}

struct Gateway {
    address: SocketAddr,
    state: GatewayState,
    idle: Vec<ConnId>,
    probe: Option<ConnId>,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Use {
    Probe,
    Idle,
    Call(usize),
    /// Opened to say nothing.
    Silent,
}

/// How far an RPC's message has been written.
#[derive(Clone, Debug)]
struct Message {
    text: Vec<u8>,
    conn: Option<ConnId>,
    /// Its connection was there before: a gateway may close it just as the message crosses.
    rested: bool,
    /// The client closes it behind the answer.
    fresh: bool,
    written: bool,
    again: bool,
}

/// The open-loop load generator before the gateways.
pub struct LoadGenerator {
    plan: LoadProfile,
    gateways: Vec<Gateway>,
    conns: BTreeMap<ConnId, (usize, Use)>,
    /// Messages of the calls that are open.
    messages: BTreeMap<usize, Message>,
    /// RPCs sent once more, since their connection was closed as they crossed.
    pub resent_rpcs: u64,
    /// All RPCs so far.
    pub rpcs: Vec<ClientRpc>,
    chance: ChaCha8Rng,
    customers: Option<WeightedIndex<f64>>,
    methods: Option<WeightedIndex<f64>>,
    next: Nanos,
    running: bool,
    factor: f64,
    /// Silent connections a second to each gateway, those that are owed by now, and until when they tell in its answers.
    crowd: f64,
    crowd_owed: f64,
    crowded_until: Nanos,
    /// Answers that came when none was owed.
    pub unexpected_answers: u64,
}

impl LoadGenerator {
    /// A front that sends nothing yet.
    pub fn new(plan: LoadProfile, chance: ChaCha8Rng) -> LoadGenerator {
        let customers = WeightedIndex::new(plan.customers.iter().map(|customer| customer.share)).ok();
        let methods = WeightedIndex::new(plan.methods.iter().map(|method| method.share)).ok();
        LoadGenerator {
            plan,
            gateways: Vec::new(),
            conns: BTreeMap::new(),
            messages: BTreeMap::new(),
            resent_rpcs: 0,
            rpcs: Vec::new(),
            chance,
            customers,
            methods,
            next: 0,
            running: false,
            factor: 1.0,
            crowd: 0.0,
            crowd_owed: 0.0,
            crowded_until: 0,
            unexpected_answers: 0,
        }
    }

    /// One more gateway, probed from now on.
    pub fn add_gateway(&mut self, io: &mut Io, address: SocketAddr) {
        if self.gateways.is_empty() {
            io.set_timer(io.now(), PROBES);
        }
        self.gateways.push(Gateway { address, state: GatewayState::Down, idle: Vec::new(), probe: None });
    }

    /// Gateways that it sends to.
    pub fn admitted_gateways(&self) -> usize {
        self.gateways.iter().filter(|gateway| gateway.state == GatewayState::Admitted).count()
    }

    /// Arrivals come from now on, or stop.
    pub fn set_running(&mut self, io: &mut Io, running: bool) {
        self.running = running;
        if running {
            self.next = io.now();
            io.set_timer(self.next, ARRIVAL);
        }
    }

    /// All arrivals come so many times as often.
    pub fn set_rate_factor(&mut self, factor: f64) {
        self.factor = factor;
    }

    /// So many connections a second are opened to each gateway from now on, and nothing is said on them.
    pub fn set_silent_connection_rate(&mut self, io: &mut Io, rate: f64) {
        let begins = self.crowd == 0.0 && rate > 0.0;
        self.crowd = rate;
        self.crowded_until = io.now() + CROWD_AFTER;
        if begins {
            io.set_timer(io.now(), CROWD);
        }
    }

    fn open_silent(&mut self, io: &mut Io) {
        if self.crowd == 0.0 {
            let silent = self.conns.iter().filter(|(_, (_, what))| *what == Use::Silent);
            let silent: Vec<ConnId> = silent.map(|(conn, _)| *conn).collect();
            for conn in silent {
                self.conns.remove(&conn);
                io.close(conn);
            }
            return;
        }
        self.crowded_until = io.now() + CROWD_AFTER;
        self.crowd_owed += self.crowd * CROWD_STEP as f64 / SEC as f64;
        while self.crowd_owed >= 1.0 {
            self.crowd_owed -= 1.0;
            for gateway in 0..self.gateways.len() {
                if let Ok(conn) = io.connect(self.gateways[gateway].address) {
                    self.conns.insert(conn, (gateway, Use::Silent));
                }
            }
        }
        io.set_timer(io.now() + CROWD_STEP, CROWD);
    }

    /// The customers' gateways go over to a fleet of another size.
    pub fn set_customers(&mut self, customers: Vec<Customer>) {
        self.customers = WeightedIndex::new(customers.iter().map(|customer| customer.share)).ok();
        self.plan.customers = customers;
    }

    /// RPCs that wait for their answers.
    pub fn open_rpcs(&self) -> usize {
        // One whose connection went before it was sent is among them: it is sent on another.
        self.messages.len()
    }

    fn set_state(&mut self, gateway: usize, to: GatewayState) {
        let at = &mut self.gateways[gateway];
        let was = std::mem::replace(&mut at.state, to);
        if was != to && to == GatewayState::Down {
            at.probe = None;
        }
    }

    fn arrive(&mut self, io: &mut Io) {
        while self.running && self.next <= io.now() {
            let due = self.next;
            let wait: f64 = Exp1.sample(&mut self.chance);
            self.next += ((wait / (self.plan.rate * self.factor).max(1e-6)) * 1e9) as Nanos;
            self.send(io, due);
        }
        if self.running {
            io.set_timer(self.next, ARRIVAL);
        }
    }

    fn send(&mut self, io: &mut Io, due: Nanos) {
        let (Some(customers), Some(methods)) = (&self.customers, &self.methods) else { return };
        let key = customers.sample(&mut self.chance);
        let method = methods.sample(&mut self.chance);
        let customer = self.plan.customers[key];
        let set = (0..customer.gateway_count).map(|at| (customer.first_gateway + at) % self.gateways.len());
        // Open connections are used until the gateway ends them, also of one that takes no new ones.
        let can = |at: &usize| {
            let gateway = &self.gateways[*at];
            gateway.state != GatewayState::Down
                || gateway.idle.iter().any(|conn| self.conns.contains_key(conn))
        };
        let up: Vec<usize> = set.filter(can).collect();
        let now = io.clock().now();
        let number = self.rpcs.len();
        if up.is_empty() {
            return self.rpcs.push(ClientRpc {
                txn: u64::MAX,
                gateway: customer.first_gateway,
                method,
                scheduled_at: due,
                sent_at: now,
                ended_at: now,
                outcome: RpcOutcome::Unreached,
                resent_at: None,
                during_connection_flood: false,
            });
        }
        let gateway = up[self.chance.random_range(0..up.len())];
        let txn = (gateway as u64) << 48 | number as u64;
        let outcome = RpcOutcome::Open;
        let mut call = ClientRpc {
            txn,
            gateway,
            method,
            scheduled_at: due,
            sent_at: now,
            ended_at: now,
            outcome,
            resent_at: None,
            during_connection_flood: now < self.crowded_until,
        };
        let how = &self.plan.methods[method];
        let (text, deadline) =
            (request(&self.plan.plan, how, txn, key, &customer).into_bytes(), how.deadline);
        let behaviour = self.plan.behaviour;
        let early = behaviour.early_connection_share > 0.0
            && self.chance.random_bool(behaviour.early_connection_share);
        let fresh =
            behaviour.own_connection_share > 0.0 && self.chance.random_bool(behaviour.own_connection_share);
        let idle = if early || fresh { None } else { self.idle(io, gateway) };
        let rested = early || idle.is_some();
        let Some(conn) = idle.or_else(|| io.connect(self.gateways[gateway].address).ok()) else {
            call.outcome = RpcOutcome::Unreached;
            return self.rpcs.push(call);
        };
        self.conns.insert(conn, (gateway, Use::Call(number)));
        let hold = if early { self.chance.random_range(0..EARLY_MOST) } else { 0 };
        call.scheduled_at += hold;
        call.sent_at += hold;
        if behaviour.abandon_share > 0.0 && self.chance.random_bool(behaviour.abandon_share) {
            io.set_timer(call.scheduled_at + self.chance.random_range(0..deadline), LEAVE | number as u64);
        }
        io.set_timer(call.scheduled_at + deadline + SLACK, number as u64);
        self.messages
            .insert(number, Message { text, conn: Some(conn), rested, fresh, written: false, again: false });
        self.rpcs.push(call);
        if early {
            io.set_timer(due + hold, BEGIN | number as u64);
        } else {
            self.write(io, number);
        }
    }

    /// An idle connection to a gateway that is still open.
    fn idle(&mut self, io: &mut Io, gateway: usize) -> Option<ConnId> {
        loop {
            let conn = self.gateways[gateway].idle.pop()?;
            if io.is_open(conn) {
                return Some(conn);
            }
        }
    }

    /// Writes an RPC's message, or its first piece; on a new connection where the one that was opened for it is gone.
    fn write(&mut self, io: &mut Io, number: usize) {
        let gateway = self.rpcs[number].gateway;
        let Some(message) = self.messages.get_mut(&number) else { return };
        if message.conn.is_none() {
            let Ok(conn) = io.connect(self.gateways[gateway].address) else {
                return self.end(io, number, RpcOutcome::Unreached);
            };
            (message.conn, message.rested) = (Some(conn), false);
            self.conns.insert(conn, (gateway, Use::Call(number)));
        }
        let pieces = self.plan.behaviour.split_write_share;
        let in_pieces = pieces > 0.0 && !message.again && self.chance.random_bool(pieces);
        let first = if in_pieces { message.text.len() / 2 } else { message.text.len() };
        message.written = !in_pieces;
        if let Some(conn) = message.conn {
            io.send(conn, &message.text[..first]);
        }
        if !message.again {
            // Not when it was to be: a front that is late gives its RPCs their time from when it sends them.
            self.rpcs[number].sent_at = io.clock().now();
        }
        if in_pieces {
            io.set_timer(io.now() + self.chance.random_range(0..PIECE_MOST), REST | number as u64);
        }
        let slow = self.plan.behaviour.slow_read_share;
        if slow > 0.0 && self.chance.random_bool(slow) {
            let Some(conn) = self.messages.get(&number).and_then(|message| message.conn) else { return };
            io.set_read_paused(conn, true);
            io.set_timer(
                io.now() + self.chance.random_range(0..READS_NOTHING_MOST),
                READ_AGAIN | number as u64,
            );
        }
    }

    /// Writes the second piece.
    fn write_rest(&mut self, io: &mut Io, number: usize) {
        let Some(message) = self.messages.get_mut(&number) else { return };
        message.written = true;
        let rest = message.text.len() / 2;
        if let Some(conn) = message.conn {
            io.send(conn, &message.text[rest..]);
        }
    }

    /// Closes the connection of an RPC, since its client leaves or waits no longer.
    fn leave(&mut self, io: &mut Io, number: usize, outcome: RpcOutcome) {
        // After the run the calls are handed over while their timers still stand.
        if self.rpcs.get(number).is_none_or(|call| call.outcome != RpcOutcome::Open) {
            return;
        }
        let conn = self.messages.get(&number).and_then(|message| message.conn);
        self.end(io, number, outcome);
        if let Some(conn) = conn {
            self.conns.remove(&conn);
            io.close(conn);
        }
    }

    /// An RPC's connection ended without an answer. One that rested may have been closed as the message crossed, and is
    /// sent once more on a new connection; one that never stood took nothing with it.
    fn broke(&mut self, io: &mut Io, conn: ConnId, number: usize) {
        let Some(message) = self.messages.get_mut(&number) else { return };
        message.conn = None;
        if !message.written {
            if message.rested && self.rpcs[number].sent_at > io.now() {
                return; // it was opened early, and nothing is said on it yet
            }
            return self.end(io, number, RpcOutcome::Unreached);
        }
        if (message.rested || self.rpcs[number].during_connection_flood) && !message.again {
            message.again = true;
            self.resent_rpcs += 1;
            self.rpcs[number].resent_at = Some(io.now());
            // It tells the time that is left by then.
            let call = self.rpcs[number];
            let deadline = self.plan.methods[call.method].deadline;
            let left = (call.sent_at + deadline).saturating_sub(io.now());
            message.text = with_remaining(&message.text, left);
            return self.write(io, number);
        }
        let wrote = io.unsent_bytes(conn) == 0;
        self.end(io, number, if wrote { RpcOutcome::Cut } else { RpcOutcome::Unreached });
    }

    fn end(&mut self, io: &mut Io, call: usize, outcome: RpcOutcome) {
        self.messages.remove(&call);
        let call = &mut self.rpcs[call];
        if call.outcome == RpcOutcome::Open {
            (call.outcome, call.ended_at) = (outcome, io.now());
        }
    }

    /// A gateway failed just now: the front notices somewhat later.
    fn failed(&mut self, io: &mut Io, gateway: usize) {
        if self.gateways[gateway].state == GatewayState::Admitted {
            self.set_state(gateway, GatewayState::Failing(io.now()));
        }
    }

    fn probe(&mut self, io: &mut Io) {
        for gateway in 0..self.gateways.len() {
            if let GatewayState::Failing(since) = self.gateways[gateway].state
                && io.now() >= since + self.plan.detection_delay
            {
                self.set_state(gateway, GatewayState::Down);
            }
            let at = &mut self.gateways[gateway];
            let asked = at.probe.is_some_and(|conn| io.is_open(conn));
            if at.state == GatewayState::Down
                && !asked
                && let Ok(conn) = io.connect(at.address)
            {
                at.probe = Some(conn);
                self.conns.insert(conn, (gateway, Use::Probe));
                io.send(conn, b"GET /-/ready HTTP/1.1\r\nHost: gateway\r\n\r\n");
            }
        }
        io.set_timer(io.now() + PROBE_EVERY, PROBES);
    }
}

/// The same message with another time that its client waits.
fn with_remaining(message: &[u8], left: Nanos) -> Vec<u8> {
    let text = String::from_utf8_lossy(message);
    let lines = text.split("\r\n").map(|line| match line.strip_prefix(REMAINING) {
        Some(_) => format!("{REMAINING}{}", left / MS),
        None => line.to_string(),
    });
    lines.collect::<Vec<String>>().join("\r\n").into_bytes()
}

fn request(plan: &str, method: &Method, txn: u64, key: usize, customer: &Customer) -> String {
    let lines = format!(
        "Host: service.internal\r\nX-Txn: {txn:016x}\r\nX-Lane: {}\r\nX-Contract: {plan}\r\n\
         X-Remaining-Ms: {}\r\nX-Metering: units={},spread={},first={}\r\n",
        method.name,
        method.deadline / MS,
        method.units,
        customer.gateway_count,
        customer.first_gateway
    );
    let path = format!("/api/{key:016x}");
    match method.idempotency.as_str() {
        "free" => format!("GET {path} HTTP/1.1\r\n{lines}\r\n"),
        "guarded" => format!(
            "POST {path} HTTP/1.1\r\n{lines}Idempotency-Key: {txn:032x}\r\nContent-Length: 4\r\n\r\nbody"
        ),
        _ => format!("POST {path} HTTP/1.1\r\n{lines}Content-Length: 4\r\n\r\nbody"),
    }
}

impl EventHandler for LoadGenerator {
    /// What waited for its connection is sent now.
    fn on_connect(&mut self, io: &mut Io, conn: ConnId) {
        let Some((_, Use::Call(number))) = self.conns.get(&conn).copied() else { return };
        if self.messages.get(&number).is_some_and(|message| message.written && !message.again) {
            self.rpcs[number].sent_at = io.clock().now();
        }
    }

    fn on_data(&mut self, io: &mut Io, conn: ConnId) {
        let Some((gateway, what)) = self.conns.get(&conn).copied() else { return };
        let answer = match http::parse_response(io.input(conn)) {
            Ok(Some(answer)) => answer,
            Ok(None) => return,
            Err(_) => {
                self.on_close(io, conn);
                return io.close(conn);
            }
        };
        io.consume(conn, answer.length);
        match what {
            Use::Probe => {
                self.conns.remove(&conn);
                io.close(conn);
                self.gateways[gateway].probe = None;
                if answer.status == 200 {
                    self.set_state(gateway, GatewayState::Admitted);
                }
            }
            Use::Idle => self.unexpected_answers += 1,
            Use::Silent => {} // the error that whoever says nothing gets
            Use::Call(call) => {
                let fresh = self.messages.get(&call).is_some_and(|message| message.fresh);
                self.end(
                    io,
                    call,
                    match answer.status {
                        200 => RpcOutcome::Ok,
                        429 | 503 => RpcOutcome::PushedBack,
                        _ => RpcOutcome::Failed,
                    },
                );
                let closes = |value: &str| value.eq_ignore_ascii_case("close");
                if fresh || answer.header("connection").is_some_and(closes) {
                    self.conns.remove(&conn);
                    io.close(conn);
                } else {
                    self.conns.insert(conn, (gateway, Use::Idle));
                    self.gateways[gateway].idle.push(conn);
                }
            }
        }
    }

    fn on_close(&mut self, io: &mut Io, conn: ConnId) {
        match self.conns.remove(&conn) {
            Some((gateway, Use::Probe)) => self.gateways[gateway].probe = None,
            Some((gateway, Use::Call(call))) => {
                self.broke(io, conn, call);
                self.failed(io, gateway);
            }
            Some((_, Use::Idle | Use::Silent)) | None => {}
        }
    }

    fn on_timer(&mut self, io: &mut Io, token: u64) {
        match token {
            ARRIVAL => self.arrive(io),
            PROBES => self.probe(io),
            CROWD => self.open_silent(io),
            call => {
                let number = (call & CALL_NUMBER) as usize;
                match call & !CALL_NUMBER {
                    BEGIN => self.write(io, number),
                    REST => self.write_rest(io, number),
                    READ_AGAIN => {
                        if let Some(conn) = self.messages.get(&number).and_then(|message| message.conn) {
                            io.set_read_paused(conn, false);
                        }
                    }
                    LEAVE => self.leave(io, number, RpcOutcome::Left),
                    _ => self.leave(io, number, RpcOutcome::Lost),
                }
            }
        }
    }
}

/// How late the front was: due to written, in nanoseconds, at these quantiles and at most.
pub fn lateness(calls: &[ClientRpc]) -> (Nanos, Nanos, Nanos) {
    let mut late: Vec<Nanos> =
        calls.iter().map(|call| call.sent_at.saturating_sub(call.scheduled_at)).collect();
    late.sort_unstable();
    let at = |share: f64| late.get(((late.len() as f64 * share) as usize).min(late.len().saturating_sub(1)));
    (at(0.5).copied().unwrap_or(0), at(0.99).copied().unwrap_or(0), late.last().copied().unwrap_or(0))
}

/// A run whose front was later than this for one RPC in a hundred is void.
pub const MAX_LATENESS: Nanos = SEC / 20;
