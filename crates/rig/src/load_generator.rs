//! The front: an open-loop load over all gateways. Arrivals come when they are due, whatever became of earlier ones;
//! each is written down with how late the front itself was.

use crate::{MS, Nanos, SEC};
use rand::Rng;
use rand::distr::{Distribution, weighted::WeightedIndex};
use rand_chacha::ChaCha8Rng;
use rand_distr::Exp1;
use standins::http;
use standins::reactor::{Conn, Io, Service};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const ARRIVAL_TIMER: u64 = u64::MAX;
const PROBE_TIMER: u64 = u64::MAX - 1;
const SILENT_CONNECTIONS_TIMER: u64 = u64::MAX - 2;
/// Timers of one call carry its number and what is due: the end of its time unless one of these.
const FIRST_WRITE: u64 = 1 << 60;
const SECOND_WRITE: u64 = 1 << 61;
const ABANDON: u64 = 1 << 62;
const RESUME_READING: u64 = 1 << 59;
const RPC_INDEX_MASK: u64 = RESUME_READING - 1;
/// A client that reads slowly reads nothing for so long at most.
const MAX_READ_PAUSE: Nanos = 400 * MS;
/// Silent connections are opened in steps of this, and what crosses in a crowd may be shut unread for so long after it.
const SILENT_CONNECTIONS_INTERVAL: Nanos = 10 * MS;
const FLOOD_AFTERMATH: Nanos = SEC;
/// The front opens a connection at most so long before its first RPC.
const MAX_EARLY_CONNECTION: Nanos = 1_200 * MS;
/// The second piece of an RPC comes at most so long after the first.
const MAX_SECOND_WRITE_DELAY: Nanos = 300 * MS;
const PROBE_INTERVAL: Nanos = 100 * MS;
/// An RPC without an answer so long after its deadline is lost.
const DEADLINE_SLACK: Nanos = 500 * MS;

const REMAINING_HEADER: &str = "X-Remaining-Ms: ";

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
    idle_connections: Vec<Conn>,
    probe: Option<Conn>,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionUse {
    Probe,
    Idle,
    Rpc(usize),
    /// Opened to say nothing.
    Silent,
}

/// How far an RPC's message has been written.
#[derive(Clone, Debug)]
struct PendingRequest {
    bytes: Vec<u8>,
    conn: Option<Conn>,
    /// Its connection was there before: a gateway may close it just as the message crosses.
    preexisting_conn: bool,
    /// The client closes it behind the answer.
    close_after_answer: bool,
    fully_written: bool,
    resent: bool,
}

/// The open-loop load generator before the gateways.
pub struct LoadGenerator {
    profile: LoadProfile,
    gateways: Vec<Gateway>,
    connections: BTreeMap<Conn, (usize, ConnectionUse)>,
    /// Messages of the calls that are open.
    pending: BTreeMap<usize, PendingRequest>,
    /// RPCs sent once more, since their connection was closed as they crossed.
    pub resent_rpcs: u64,
    /// All RPCs so far.
    pub rpcs: Vec<ClientRpc>,
    rng: ChaCha8Rng,
    customer_weights: Option<WeightedIndex<f64>>,
    method_weights: Option<WeightedIndex<f64>>,
    next_arrival: Nanos,
    running: bool,
    rate_factor: f64,
    /// Silent connections a second to each gateway, those that are owed by now, and until when they tell in its answers.
    silent_rate: f64,
    silent_due: f64,
    flooded_until: Nanos,
    /// Answers that came when none was owed.
    pub unexpected_answers: u64,
}

impl LoadGenerator {
    /// A front that sends nothing yet.
    pub fn new(plan: LoadProfile, chance: ChaCha8Rng) -> LoadGenerator {
        let customers = WeightedIndex::new(plan.customers.iter().map(|customer| customer.share)).ok();
        let methods = WeightedIndex::new(plan.methods.iter().map(|method| method.share)).ok();
        LoadGenerator {
            profile: plan,
            gateways: Vec::new(),
            connections: BTreeMap::new(),
            pending: BTreeMap::new(),
            resent_rpcs: 0,
            rpcs: Vec::new(),
            rng: chance,
            customer_weights: customers,
            method_weights: methods,
            next_arrival: 0,
            running: false,
            rate_factor: 1.0,
            silent_rate: 0.0,
            silent_due: 0.0,
            flooded_until: 0,
            unexpected_answers: 0,
        }
    }

    /// One more gateway, probed from now on.
    pub fn add_gateway(&mut self, io: &mut Io, address: SocketAddr) {
        if self.gateways.is_empty() {
            io.at(io.now(), PROBE_TIMER);
        }
        self.gateways.push(Gateway {
            address,
            state: GatewayState::Down,
            idle_connections: Vec::new(),
            probe: None,
        });
    }

    /// Gateways that it sends to.
    pub fn admitted_gateways(&self) -> usize {
        self.gateways.iter().filter(|gateway| gateway.state == GatewayState::Admitted).count()
    }

    /// Arrivals come from now on, or stop.
    pub fn set_running(&mut self, io: &mut Io, running: bool) {
        self.running = running;
        if running {
            self.next_arrival = io.now();
            io.at(self.next_arrival, ARRIVAL_TIMER);
        }
    }

    /// All arrivals come so many times as often.
    pub fn set_rate_factor(&mut self, factor: f64) {
        self.rate_factor = factor;
    }

    /// So many connections a second are opened to each gateway from now on, and nothing is said on them.
    pub fn set_silent_connection_rate(&mut self, io: &mut Io, rate: f64) {
        let begins = self.silent_rate == 0.0 && rate > 0.0;
        self.silent_rate = rate;
        self.flooded_until = io.now() + FLOOD_AFTERMATH;
        if begins {
            io.at(io.now(), SILENT_CONNECTIONS_TIMER);
        }
    }

    fn open_silent_connections(&mut self, io: &mut Io) {
        if self.silent_rate == 0.0 {
            let silent = self.connections.iter().filter(|(_, (_, what))| *what == ConnectionUse::Silent);
            let silent: Vec<Conn> = silent.map(|(conn, _)| *conn).collect();
            for conn in silent {
                self.connections.remove(&conn);
                io.close(conn);
            }
            return;
        }
        self.flooded_until = io.now() + FLOOD_AFTERMATH;
        self.silent_due += self.silent_rate * SILENT_CONNECTIONS_INTERVAL as f64 / SEC as f64;
        while self.silent_due >= 1.0 {
            self.silent_due -= 1.0;
            for gateway in 0..self.gateways.len() {
                if let Ok(conn) = io.connect(self.gateways[gateway].address) {
                    self.connections.insert(conn, (gateway, ConnectionUse::Silent));
                }
            }
        }
        io.at(io.now() + SILENT_CONNECTIONS_INTERVAL, SILENT_CONNECTIONS_TIMER);
    }

    /// The customers' gateways go over to a fleet of another size.
    pub fn set_customers(&mut self, customers: Vec<Customer>) {
        self.customer_weights = WeightedIndex::new(customers.iter().map(|customer| customer.share)).ok();
        self.profile.customers = customers;
    }

    /// RPCs that wait for their answers.
    pub fn open_rpcs(&self) -> usize {
        // One whose connection went before it was sent is among them: it is sent on another.
        self.pending.len()
    }

    fn set_state(&mut self, gateway: usize, to: GatewayState) {
        let at = &mut self.gateways[gateway];
        let was = std::mem::replace(&mut at.state, to);
        if was != to && to == GatewayState::Down {
            at.probe = None;
        }
    }

    fn send_due_arrivals(&mut self, io: &mut Io) {
        while self.running && self.next_arrival <= io.now() {
            let due = self.next_arrival;
            let wait: f64 = Exp1.sample(&mut self.rng);
            self.next_arrival += ((wait / (self.profile.rate * self.rate_factor).max(1e-6)) * 1e9) as Nanos;
            self.send_rpc(io, due);
        }
        if self.running {
            io.at(self.next_arrival, ARRIVAL_TIMER);
        }
    }

    fn send_rpc(&mut self, io: &mut Io, due: Nanos) {
        let (Some(customers), Some(methods)) = (&self.customer_weights, &self.method_weights) else { return };
        let key = customers.sample(&mut self.rng);
        let method = methods.sample(&mut self.rng);
        let customer = self.profile.customers[key];
        let set = (0..customer.gateway_count).map(|at| (customer.first_gateway + at) % self.gateways.len());
        // Open connections are used until the gateway ends them, also of one that takes no new ones.
        let can = |at: &usize| {
            let gateway = &self.gateways[*at];
            gateway.state != GatewayState::Down
                || gateway.idle_connections.iter().any(|conn| self.connections.contains_key(conn))
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
        let gateway = up[self.rng.random_range(0..up.len())];
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
            during_connection_flood: now < self.flooded_until,
        };
        let how = &self.profile.methods[method];
        let (text, deadline) =
            (format_request(&self.profile.plan, how, txn, key, &customer).into_bytes(), how.deadline);
        let behaviour = self.profile.behaviour;
        let early =
            behaviour.early_connection_share > 0.0 && self.rng.random_bool(behaviour.early_connection_share);
        let fresh =
            behaviour.own_connection_share > 0.0 && self.rng.random_bool(behaviour.own_connection_share);
        let idle = if early || fresh { None } else { self.take_idle_connection(io, gateway) };
        let rested = early || idle.is_some();
        let Some(conn) = idle.or_else(|| io.connect(self.gateways[gateway].address).ok()) else {
            call.outcome = RpcOutcome::Unreached;
            return self.rpcs.push(call);
        };
        self.connections.insert(conn, (gateway, ConnectionUse::Rpc(number)));
        let hold = if early { self.rng.random_range(0..MAX_EARLY_CONNECTION) } else { 0 };
        call.scheduled_at += hold;
        call.sent_at += hold;
        if behaviour.abandon_share > 0.0 && self.rng.random_bool(behaviour.abandon_share) {
            io.at(call.scheduled_at + self.rng.random_range(0..deadline), ABANDON | number as u64);
        }
        io.at(call.scheduled_at + deadline + DEADLINE_SLACK, number as u64);
        self.pending.insert(
            number,
            PendingRequest {
                bytes: text,
                conn: Some(conn),
                preexisting_conn: rested,
                close_after_answer: fresh,
                fully_written: false,
                resent: false,
            },
        );
        self.rpcs.push(call);
        if early {
            io.at(due + hold, FIRST_WRITE | number as u64);
        } else {
            self.write_request(io, number);
        }
    }

    /// An idle connection to a gateway that is still open.
    fn take_idle_connection(&mut self, io: &mut Io, gateway: usize) -> Option<Conn> {
        loop {
            let conn = self.gateways[gateway].idle_connections.pop()?;
            if io.is_open(conn) {
                return Some(conn);
            }
        }
    }

    /// Writes an RPC's message, or its first piece; on a new connection where the one that was opened for it is gone.
    fn write_request(&mut self, io: &mut Io, number: usize) {
        let gateway = self.rpcs[number].gateway;
        let Some(message) = self.pending.get_mut(&number) else { return };
        if message.conn.is_none() {
            let Ok(conn) = io.connect(self.gateways[gateway].address) else {
                return self.finish_rpc(io, number, RpcOutcome::Unreached);
            };
            (message.conn, message.preexisting_conn) = (Some(conn), false);
            self.connections.insert(conn, (gateway, ConnectionUse::Rpc(number)));
        }
        let pieces = self.profile.behaviour.split_write_share;
        let in_pieces = pieces > 0.0 && !message.resent && self.rng.random_bool(pieces);
        let first = if in_pieces { message.bytes.len() / 2 } else { message.bytes.len() };
        message.fully_written = !in_pieces;
        if let Some(conn) = message.conn {
            io.send(conn, &message.bytes[..first]);
        }
        if !message.resent {
            // Not when it was to be: a front that is late gives its RPCs their time from when it sends them.
            self.rpcs[number].sent_at = io.clock().now();
        }
        if in_pieces {
            io.at(io.now() + self.rng.random_range(0..MAX_SECOND_WRITE_DELAY), SECOND_WRITE | number as u64);
        }
        let slow = self.profile.behaviour.slow_read_share;
        if slow > 0.0 && self.rng.random_bool(slow) {
            let Some(conn) = self.pending.get(&number).and_then(|message| message.conn) else { return };
            io.hold(conn, true);
            io.at(io.now() + self.rng.random_range(0..MAX_READ_PAUSE), RESUME_READING | number as u64);
        }
    }

    /// Writes the second piece.
    fn write_second_half(&mut self, io: &mut Io, number: usize) {
        let Some(message) = self.pending.get_mut(&number) else { return };
        message.fully_written = true;
        let rest = message.bytes.len() / 2;
        if let Some(conn) = message.conn {
            io.send(conn, &message.bytes[rest..]);
        }
    }

    /// Closes the connection of an RPC, since its client leaves or waits no longer.
    fn abandon(&mut self, io: &mut Io, number: usize, outcome: RpcOutcome) {
        // After the run the calls are handed over while their timers still stand.
        if self.rpcs.get(number).is_none_or(|call| call.outcome != RpcOutcome::Open) {
            return;
        }
        let conn = self.pending.get(&number).and_then(|message| message.conn);
        self.finish_rpc(io, number, outcome);
        if let Some(conn) = conn {
            self.connections.remove(&conn);
            io.close(conn);
        }
    }

    /// An RPC's connection ended without an answer. One that rested may have been closed as the message crossed, and is
    /// sent once more on a new connection; one that never stood took nothing with it.
    fn connection_lost(&mut self, io: &mut Io, conn: Conn, number: usize) {
        let Some(message) = self.pending.get_mut(&number) else { return };
        message.conn = None;
        if !message.fully_written {
            if message.preexisting_conn && self.rpcs[number].sent_at > io.now() {
                return; // it was opened early, and nothing is said on it yet
            }
            return self.finish_rpc(io, number, RpcOutcome::Unreached);
        }
        if (message.preexisting_conn || self.rpcs[number].during_connection_flood) && !message.resent {
            message.resent = true;
            self.resent_rpcs += 1;
            self.rpcs[number].resent_at = Some(io.now());
            // It tells the time that is left by then.
            let call = self.rpcs[number];
            let deadline = self.profile.methods[call.method].deadline;
            let left = (call.sent_at + deadline).saturating_sub(io.now());
            message.bytes = with_remaining_time(&message.bytes, left);
            return self.write_request(io, number);
        }
        let wrote = io.waiting(conn) == 0;
        self.finish_rpc(io, number, if wrote { RpcOutcome::Cut } else { RpcOutcome::Unreached });
    }

    fn finish_rpc(&mut self, io: &mut Io, call: usize, outcome: RpcOutcome) {
        self.pending.remove(&call);
        let call = &mut self.rpcs[call];
        if call.outcome == RpcOutcome::Open {
            (call.outcome, call.ended_at) = (outcome, io.now());
        }
    }

    /// A gateway failed just now: the front notices somewhat later.
    fn mark_failing(&mut self, io: &mut Io, gateway: usize) {
        if self.gateways[gateway].state == GatewayState::Admitted {
            self.set_state(gateway, GatewayState::Failing(io.now()));
        }
    }

    fn probe_gateways(&mut self, io: &mut Io) {
        for gateway in 0..self.gateways.len() {
            if let GatewayState::Failing(since) = self.gateways[gateway].state
                && io.now() >= since + self.profile.detection_delay
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
                self.connections.insert(conn, (gateway, ConnectionUse::Probe));
                io.send(conn, b"GET /-/ready HTTP/1.1\r\nHost: gateway\r\n\r\n");
            }
        }
        io.at(io.now() + PROBE_INTERVAL, PROBE_TIMER);
    }
}

/// The same message with another time that its client waits.
fn with_remaining_time(message: &[u8], left: Nanos) -> Vec<u8> {
    let text = String::from_utf8_lossy(message);
    let lines = text.split("\r\n").map(|line| match line.strip_prefix(REMAINING_HEADER) {
        Some(_) => format!("{REMAINING_HEADER}{}", left / MS),
        None => line.to_string(),
    });
    lines.collect::<Vec<String>>().join("\r\n").into_bytes()
}

fn format_request(plan: &str, method: &Method, txn: u64, key: usize, customer: &Customer) -> String {
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

impl Service for LoadGenerator {
    /// What waited for its connection is sent now.
    fn up(&mut self, io: &mut Io, conn: Conn) {
        let Some((_, ConnectionUse::Rpc(number))) = self.connections.get(&conn).copied() else { return };
        if self.pending.get(&number).is_some_and(|message| message.fully_written && !message.resent) {
            self.rpcs[number].sent_at = io.clock().now();
        }
    }

    fn came(&mut self, io: &mut Io, conn: Conn) {
        let Some((gateway, what)) = self.connections.get(&conn).copied() else { return };
        let answer = match http::answer(io.input(conn)) {
            Ok(Some(answer)) => answer,
            Ok(None) => return,
            Err(_) => {
                self.over(io, conn);
                return io.close(conn);
            }
        };
        io.used(conn, answer.length);
        match what {
            ConnectionUse::Probe => {
                self.connections.remove(&conn);
                io.close(conn);
                self.gateways[gateway].probe = None;
                if answer.status == 200 {
                    self.set_state(gateway, GatewayState::Admitted);
                }
            }
            ConnectionUse::Idle => self.unexpected_answers += 1,
            ConnectionUse::Silent => {} // the error that whoever says nothing gets
            ConnectionUse::Rpc(call) => {
                let fresh = self.pending.get(&call).is_some_and(|message| message.close_after_answer);
                self.finish_rpc(
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
                    self.connections.remove(&conn);
                    io.close(conn);
                } else {
                    self.connections.insert(conn, (gateway, ConnectionUse::Idle));
                    self.gateways[gateway].idle_connections.push(conn);
                }
            }
        }
    }

    fn over(&mut self, io: &mut Io, conn: Conn) {
        match self.connections.remove(&conn) {
            Some((gateway, ConnectionUse::Probe)) => self.gateways[gateway].probe = None,
            Some((gateway, ConnectionUse::Rpc(call))) => {
                self.connection_lost(io, conn, call);
                self.mark_failing(io, gateway);
            }
            Some((_, ConnectionUse::Idle | ConnectionUse::Silent)) | None => {}
        }
    }

    fn due(&mut self, io: &mut Io, token: u64) {
        match token {
            ARRIVAL_TIMER => self.send_due_arrivals(io),
            PROBE_TIMER => self.probe_gateways(io),
            SILENT_CONNECTIONS_TIMER => self.open_silent_connections(io),
            call => {
                let number = (call & RPC_INDEX_MASK) as usize;
                match call & !RPC_INDEX_MASK {
                    FIRST_WRITE => self.write_request(io, number),
                    SECOND_WRITE => self.write_second_half(io, number),
                    RESUME_READING => {
                        if let Some(conn) = self.pending.get(&number).and_then(|message| message.conn) {
                            io.hold(conn, false);
                        }
                    }
                    ABANDON => self.abandon(io, number, RpcOutcome::Left),
                    _ => self.abandon(io, number, RpcOutcome::Lost),
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
