//! Open-loop load generator in front of the gateways (`front` in scenarios). Arrivals are sent at their scheduled times,
//! whatever the outcome of earlier ones, and each is recorded with the lateness of the generator itself.

use crate::{MS, Nanos, SEC};
use rand::Rng;
use rand::distr::{Distribution, weighted::WeightedIndex};
use rand_chacha::ChaCha8Rng;
use rand_distr::Exp1;
use standins::http;
use standins::reactor::{ConnId, EventHandler, Io};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const ARRIVAL_TIMER: u64 = u64::MAX;
const PROBE_TIMER: u64 = u64::MAX - 1;
const SILENT_CONNECTIONS_TIMER: u64 = u64::MAX - 2;
/// The token of an RPC's timer holds the RPC's index and one of these flags; without a flag it is the timer of the
/// deadline.
const FIRST_WRITE: u64 = 1 << 60;
const SECOND_WRITE: u64 = 1 << 61;
const ABANDON: u64 = 1 << 62;
const RESUME_READING: u64 = 1 << 59;
const RPC_INDEX_MASK: u64 = RESUME_READING - 1;
/// Longest time for which a slow client stops reading.
const MAX_READ_PAUSE: Nanos = 400 * MS;
/// Interval at which silent connections are opened.
const SILENT_CONNECTIONS_INTERVAL: Nanos = 10 * MS;
/// How long after a flood of silent connections a gateway may still close a new connection without reading from it.
const FLOOD_AFTERMATH: Nanos = SEC;
/// Longest time between opening a connection early and sending its first RPC.
const MAX_EARLY_CONNECTION: Nanos = 1_200 * MS;
/// Longest delay between the first and the second part of a split request.
const MAX_SECOND_WRITE_DELAY: Nanos = 300 * MS;
/// Interval of readiness probes.
const PROBE_INTERVAL: Nanos = 100 * MS;
/// An RPC that has no answer this long after its deadline counts as lost.
const DEADLINE_SLACK: Nanos = 500 * MS;

const REMAINING_HEADER: &str = "X-Remaining-Ms: ";

/// A class of RPCs that the load generator sends.
#[derive(Clone, Debug)]
pub struct Method {
    /// Name of the class in the settings.
    pub name: String,
    /// Idempotency of the class in the settings.
    pub idempotency: String,
    /// Deadline of its RPCs.
    pub deadline: Nanos,
    /// The share of all arrivals.
    pub share: f64,
    /// Units of the plan's quota that each RPC uses.
    pub units: f64,
}

/// A customer: its share of all arrivals, and the consecutive gateways that it uses.
#[derive(Clone, Copy, Debug)]
pub struct Customer {
    /// The share of all arrivals.
    pub share: f64,
    /// Index of its first gateway.
    pub first_gateway: usize,
    /// Number of consecutive gateways that it uses.
    pub gateway_count: usize,
}

/// Shares of the RPCs whose clients deviate from the ordinary exchange.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientBehaviour {
    /// The client closes its connection at a random time before the deadline.
    pub abandon_share: f64,
    /// The client opens the connection some time before it sends the request, which is the first on it.
    pub early_connection_share: f64,
    /// The client sends the request in two parts with a delay between them.
    pub split_write_share: f64,
    /// The RPC has a connection of its own, which the client closes after the answer.
    pub own_connection_share: f64,
    /// The client stops reading for a while after it has sent the request.
    pub slow_read_share: f64,
}

/// The load to generate.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    /// How clients deviate from the ordinary exchange.
    pub behaviour: ClientBehaviour,
    /// RPCs per second over all gateways.
    pub rate: f64,
    /// The plan of all customers.
    pub plan: String,
    /// The classes of RPCs.
    pub methods: Vec<Method>,
    /// The customers that send.
    pub customers: Vec<Customer>,
    /// How long after a failure the load generator stops sending to a gateway.
    pub detection_delay: Nanos,
}

/// How an RPC ended for its client. Reports print the variants' debug names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RpcOutcome {
    /// Still in progress.
    Open,
    /// Answered with 200.
    Ok,
    /// Rejected with 429 or 503.
    PushedBack,
    /// Answered with any other status.
    Failed,
    /// The connection was closed after the request had been written.
    Cut,
    /// No gateway accepted the connection.
    Unreached,
    /// No answer by the deadline plus `DEADLINE_SLACK`.
    Lost,
    /// The client closed its connection before the answer.
    Left,
}

/// One RPC as its client recorded it.
#[derive(Clone, Copy, Debug)]
pub struct ClientRpc {
    /// Id of the RPC: the gateway in the top 16 bits, the index of the RPC below.
    pub txn: u64,
    /// The gateway to which it was sent.
    pub gateway: usize,
    /// Index into [`LoadProfile::methods`].
    pub method: usize,
    /// When it was due to be sent.
    pub scheduled_at: Nanos,
    /// When it was sent.
    pub sent_at: Nanos,
    /// When it ended.
    pub ended_at: Nanos,
    /// How it ended.
    pub outcome: RpcOutcome,
    /// When it was resent because the gateway closed the connection while the request was in flight. Nothing may have
    /// read the first request by then.
    pub resent_at: Option<Nanos>,
    /// Sent while silent connections flooded the gateways, which may then close a new connection without reading from it.
    pub during_connection_flood: bool,
    /// It was answered with 200 and a body that no server made for it.
    pub foreign_answer: bool,
}

/// The load generator's view of a gateway. Only `LoadGenerator::set_state` changes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GatewayState {
    /// Not ready yet, or detected as failed: probed until it answers 200.
    Down,
    Admitted,
    /// Failed at this time, which the load generator has not detected yet.
    Failing(Nanos),
}

struct Gateway {
    address: SocketAddr,
    state: GatewayState,
    idle_connections: Vec<ConnId>,
    probe: Option<ConnId>,
}

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionUse {
    Probe,
    Idle,
    Rpc(usize),
    /// Opened as part of a flood; nothing is sent on it.
    Silent,
}

/// The request of an open RPC, and how far it has been written.
#[derive(Clone, Debug)]
struct PendingRequest {
    bytes: Vec<u8>,
    conn: Option<ConnId>,
    /// The connection was open before this request, so the gateway may close it while the request is in flight.
    preexisting_conn: bool,
    /// The client closes the connection after the answer.
    close_after_answer: bool,
    fully_written: bool,
    resent: bool,
}

/// Open-loop load generator in front of the gateways.
pub struct LoadGenerator {
    profile: LoadProfile,
    gateways: Vec<Gateway>,
    connections: BTreeMap<ConnId, (usize, ConnectionUse)>,
    /// Requests of the open RPCs, by index.
    pending: BTreeMap<usize, PendingRequest>,
    /// RPCs that were resent because the gateway closed the connection while the request was in flight.
    pub resent_rpcs: u64,
    /// All RPCs so far.
    pub rpcs: Vec<ClientRpc>,
    rng: ChaCha8Rng,
    customer_weights: Option<WeightedIndex<f64>>,
    method_weights: Option<WeightedIndex<f64>>,
    next_arrival: Nanos,
    running: bool,
    /// Factor on the rate of arrivals.
    rate_factor: f64,
    /// Silent connections per second to each gateway.
    silent_rate: f64,
    /// Silent connections per gateway that are due but not opened yet.
    silent_due: f64,
    /// Until when the flood may affect the gateways' answers.
    flooded_until: Nanos,
    /// Answers that arrived when none was expected.
    pub unexpected_answers: u64,
}

impl LoadGenerator {
    /// Creates a load generator that does not send yet.
    pub fn new(profile: LoadProfile, rng: ChaCha8Rng) -> LoadGenerator {
        let customer_weights =
            WeightedIndex::new(profile.customers.iter().map(|customer| customer.share)).ok();
        let method_weights = WeightedIndex::new(profile.methods.iter().map(|method| method.share)).ok();
        LoadGenerator {
            profile,
            gateways: Vec::new(),
            connections: BTreeMap::new(),
            pending: BTreeMap::new(),
            resent_rpcs: 0,
            rpcs: Vec::new(),
            rng,
            customer_weights,
            method_weights,
            next_arrival: 0,
            running: false,
            rate_factor: 1.0,
            silent_rate: 0.0,
            silent_due: 0.0,
            flooded_until: 0,
            unexpected_answers: 0,
        }
    }

    /// Adds a gateway, which is probed from now on.
    pub fn add_gateway(&mut self, io: &mut Io, address: SocketAddr) {
        if self.gateways.is_empty() {
            io.set_timer(io.now(), PROBE_TIMER);
        }
        self.gateways.push(Gateway {
            address,
            state: GatewayState::Down,
            idle_connections: Vec::new(),
            probe: None,
        });
    }

    /// Returns the number of gateways that receive new RPCs.
    pub fn admitted_gateways(&self) -> usize {
        self.gateways.iter().filter(|gateway| gateway.state == GatewayState::Admitted).count()
    }

    /// Starts or stops the arrivals.
    pub fn set_running(&mut self, io: &mut Io, running: bool) {
        self.running = running;
        if running {
            self.next_arrival = io.now();
            io.set_timer(self.next_arrival, ARRIVAL_TIMER);
        }
    }

    /// Multiplies the rate of arrivals by this factor.
    pub fn set_rate_factor(&mut self, factor: f64) {
        self.rate_factor = factor;
    }

    /// Opens this many connections per second to each gateway from now on and sends nothing on them. A rate of 0 closes
    /// them.
    pub fn set_silent_connection_rate(&mut self, io: &mut Io, rate: f64) {
        let starts = self.silent_rate == 0.0 && rate > 0.0;
        self.silent_rate = rate;
        self.flooded_until = io.now() + FLOOD_AFTERMATH;
        if starts {
            io.set_timer(io.now(), SILENT_CONNECTIONS_TIMER);
        }
    }

    fn open_silent_connections(&mut self, io: &mut Io) {
        if self.silent_rate == 0.0 {
            let silent = self.connections.iter().filter(|(_, (_, usage))| *usage == ConnectionUse::Silent);
            let silent: Vec<ConnId> = silent.map(|(conn, _)| *conn).collect();
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
        io.set_timer(io.now() + SILENT_CONNECTIONS_INTERVAL, SILENT_CONNECTIONS_TIMER);
    }

    /// Replaces the customers, for a fleet of another size.
    pub fn set_customers(&mut self, customers: Vec<Customer>) {
        self.customer_weights = WeightedIndex::new(customers.iter().map(|customer| customer.share)).ok();
        self.profile.customers = customers;
    }

    /// Returns the number of RPCs that wait for their answers.
    pub fn open_rpcs(&self) -> usize {
        // Includes RPCs whose connection was closed before they were sent: they are sent on another one.
        self.pending.len()
    }

    fn set_state(&mut self, gateway: usize, state: GatewayState) {
        let gateway = &mut self.gateways[gateway];
        let previous = std::mem::replace(&mut gateway.state, state);
        if previous != state && state == GatewayState::Down {
            gateway.probe = None;
        }
    }

    fn send_due_arrivals(&mut self, io: &mut Io) {
        while self.running && self.next_arrival <= io.now() {
            let scheduled_at = self.next_arrival;
            let interval: f64 = Exp1.sample(&mut self.rng);
            self.next_arrival +=
                ((interval / (self.profile.rate * self.rate_factor).max(1e-6)) * 1e9) as Nanos;
            self.send_rpc(io, scheduled_at);
        }
        if self.running {
            io.set_timer(self.next_arrival, ARRIVAL_TIMER);
        }
    }

    fn send_rpc(&mut self, io: &mut Io, scheduled_at: Nanos) {
        let (Some(customers), Some(methods)) = (&self.customer_weights, &self.method_weights) else { return };
        let customer_index = customers.sample(&mut self.rng);
        let method_index = methods.sample(&mut self.rng);
        let customer = self.profile.customers[customer_index];
        let candidates =
            (0..customer.gateway_count).map(|index| (customer.first_gateway + index) % self.gateways.len());
        // Open connections are used until the gateway closes them, even if it accepts no new ones.
        let usable = |index: &usize| {
            let gateway = &self.gateways[*index];
            gateway.state != GatewayState::Down
                || gateway.idle_connections.iter().any(|conn| self.connections.contains_key(conn))
        };
        let usable_gateways: Vec<usize> = candidates.filter(usable).collect();
        let now = io.clock().now();
        let rpc_index = self.rpcs.len();
        if usable_gateways.is_empty() {
            return self.rpcs.push(ClientRpc {
                txn: u64::MAX,
                gateway: customer.first_gateway,
                method: method_index,
                scheduled_at,
                sent_at: now,
                ended_at: now,
                outcome: RpcOutcome::Unreached,
                resent_at: None,
                during_connection_flood: false,
                foreign_answer: false,
            });
        }
        let gateway = usable_gateways[self.rng.random_range(0..usable_gateways.len())];
        let txn = (gateway as u64) << 48 | rpc_index as u64;
        let outcome = RpcOutcome::Open;
        let mut rpc = ClientRpc {
            txn,
            gateway,
            method: method_index,
            scheduled_at,
            sent_at: now,
            ended_at: now,
            outcome,
            resent_at: None,
            during_connection_flood: false,
            foreign_answer: false,
        };
        let method = &self.profile.methods[method_index];
        let (bytes, deadline) = (
            format_request(&self.profile.plan, method, txn, customer_index, &customer).into_bytes(),
            method.deadline,
        );
        let behaviour = self.profile.behaviour;
        let connect_early =
            behaviour.early_connection_share > 0.0 && self.rng.random_bool(behaviour.early_connection_share);
        let own_connection =
            behaviour.own_connection_share > 0.0 && self.rng.random_bool(behaviour.own_connection_share);
        let idle =
            if connect_early || own_connection { None } else { self.take_idle_connection(io, gateway) };
        let preexisting_conn = connect_early || idle.is_some();
        let Some(conn) = idle.or_else(|| io.connect(self.gateways[gateway].address).ok()) else {
            rpc.outcome = RpcOutcome::Unreached;
            return self.rpcs.push(rpc);
        };
        self.connections.insert(conn, (gateway, ConnectionUse::Rpc(rpc_index)));
        let delay = if connect_early { self.rng.random_range(0..MAX_EARLY_CONNECTION) } else { 0 };
        rpc.scheduled_at += delay;
        rpc.sent_at += delay;
        if behaviour.abandon_share > 0.0 && self.rng.random_bool(behaviour.abandon_share) {
            io.set_timer(rpc.scheduled_at + self.rng.random_range(0..deadline), ABANDON | rpc_index as u64);
        }
        io.set_timer(rpc.scheduled_at + deadline + DEADLINE_SLACK, rpc_index as u64);
        self.pending.insert(
            rpc_index,
            PendingRequest {
                bytes,
                conn: Some(conn),
                preexisting_conn,
                close_after_answer: own_connection,
                fully_written: false,
                resent: false,
            },
        );
        self.rpcs.push(rpc);
        if connect_early {
            io.set_timer(scheduled_at + delay, FIRST_WRITE | rpc_index as u64);
        } else {
            self.write_request(io, rpc_index);
        }
    }

    /// Takes an idle connection to a gateway that is still open.
    fn take_idle_connection(&mut self, io: &mut Io, gateway: usize) -> Option<ConnId> {
        loop {
            let conn = self.gateways[gateway].idle_connections.pop()?;
            if io.is_open(conn) {
                return Some(conn);
            }
        }
    }

    /// Writes a request or its first part. Opens a new connection if the one that was opened for it is gone.
    fn write_request(&mut self, io: &mut Io, rpc_index: usize) {
        let gateway = self.rpcs[rpc_index].gateway;
        let Some(request) = self.pending.get_mut(&rpc_index) else { return };
        if request.conn.is_none() {
            let Ok(conn) = io.connect(self.gateways[gateway].address) else {
                return self.finish_rpc(io, rpc_index, RpcOutcome::Unreached);
            };
            (request.conn, request.preexisting_conn) = (Some(conn), false);
            self.connections.insert(conn, (gateway, ConnectionUse::Rpc(rpc_index)));
        }
        self.rpcs[rpc_index].during_connection_flood |= io.clock().now() < self.flooded_until;
        let split_share = self.profile.behaviour.split_write_share;
        let split = split_share > 0.0 && !request.resent && self.rng.random_bool(split_share);
        let first_length = if split { request.bytes.len() / 2 } else { request.bytes.len() };
        request.fully_written = !split;
        if let Some(conn) = request.conn {
            io.send(conn, &request.bytes[..first_length]);
            io.flush(conn); // its time runs from now on
        }
        if !request.resent {
            // The deadline counts from the time of sending, not from the scheduled time: a late load generator must not
            // shorten it.
            self.rpcs[rpc_index].sent_at = io.clock().now();
        }
        if split {
            io.set_timer(
                io.now() + self.rng.random_range(0..MAX_SECOND_WRITE_DELAY),
                SECOND_WRITE | rpc_index as u64,
            );
        }
        let slow_share = self.profile.behaviour.slow_read_share;
        if slow_share > 0.0 && self.rng.random_bool(slow_share) {
            let Some(conn) = self.pending.get(&rpc_index).and_then(|request| request.conn) else { return };
            io.set_read_paused(conn, true);
            io.set_timer(
                io.now() + self.rng.random_range(0..MAX_READ_PAUSE),
                RESUME_READING | rpc_index as u64,
            );
        }
    }

    /// Writes the second part of a split request.
    fn write_second_half(&mut self, io: &mut Io, rpc_index: usize) {
        let Some(request) = self.pending.get_mut(&rpc_index) else { return };
        request.fully_written = true;
        let half = request.bytes.len() / 2;
        if let Some(conn) = request.conn {
            io.send(conn, &request.bytes[half..]);
            io.flush(conn);
        }
    }

    /// Ends an RPC whose client gives up, and closes its connection.
    fn abandon(&mut self, io: &mut Io, rpc_index: usize, outcome: RpcOutcome) {
        // After the run the records have been taken away, but timers of their RPCs may still fire.
        if self.rpcs.get(rpc_index).is_none_or(|rpc| rpc.outcome != RpcOutcome::Open) {
            return;
        }
        let conn = self.pending.get(&rpc_index).and_then(|request| request.conn);
        self.finish_rpc(io, rpc_index, outcome);
        if let Some(conn) = conn {
            self.connections.remove(&conn);
            io.close(conn);
        }
    }

    /// Ends an RPC without an answer as lost, unless it was sent so late that its time isn't over yet.
    fn expire(&mut self, io: &mut Io, rpc_index: usize) {
        let Some(rpc) = self.rpcs.get(rpc_index).filter(|rpc| rpc.outcome == RpcOutcome::Open) else {
            return;
        };
        let expires_at = rpc.sent_at + self.profile.methods[rpc.method].deadline + DEADLINE_SLACK;
        if io.now() < expires_at {
            return io.set_timer(expires_at, rpc_index as u64);
        }
        self.abandon(io, rpc_index, RpcOutcome::Lost);
    }

    /// Handles the end of an RPC's connection without an answer. If the connection was open before the request, the
    /// gateway may have closed it while the request was in flight, and the request is resent on a new connection; likewise
    /// during a flood of silent connections. If the connection was never established, the RPC counts as unreached.
    fn connection_lost(&mut self, io: &mut Io, conn: ConnId, rpc_index: usize) {
        let Some(request) = self.pending.get_mut(&rpc_index) else { return };
        request.conn = None;
        if !request.fully_written {
            if request.preexisting_conn && self.rpcs[rpc_index].sent_at > io.now() {
                return; // opened early, and nothing has been sent on it yet
            }
            return self.finish_rpc(io, rpc_index, RpcOutcome::Unreached);
        }
        if (request.preexisting_conn || self.rpcs[rpc_index].during_connection_flood) && !request.resent {
            request.resent = true;
            self.resent_rpcs += 1;
            self.rpcs[rpc_index].resent_at = Some(io.now());
            // The resent request states the time that is left now.
            let rpc = self.rpcs[rpc_index];
            let deadline = self.profile.methods[rpc.method].deadline;
            let time_left = (rpc.sent_at + deadline).saturating_sub(io.now());
            request.bytes = with_remaining_time(&request.bytes, time_left);
            return self.write_request(io, rpc_index);
        }
        let fully_sent = io.unsent_bytes(conn) == 0;
        self.finish_rpc(io, rpc_index, if fully_sent { RpcOutcome::Cut } else { RpcOutcome::Unreached });
    }

    fn finish_rpc(&mut self, io: &mut Io, rpc_index: usize, outcome: RpcOutcome) {
        self.pending.remove(&rpc_index);
        let rpc = &mut self.rpcs[rpc_index];
        if rpc.outcome == RpcOutcome::Open {
            (rpc.outcome, rpc.ended_at) = (outcome, io.now());
        }
    }

    /// Marks a gateway as failing. The load generator stops sending to it after the detection delay.
    fn mark_failing(&mut self, io: &mut Io, gateway: usize) {
        if self.gateways[gateway].state == GatewayState::Admitted {
            self.set_state(gateway, GatewayState::Failing(io.now()));
        }
    }

    /// Marks failing gateways as down after the detection delay, and probes those that are down.
    fn probe_gateways(&mut self, io: &mut Io) {
        for gateway in 0..self.gateways.len() {
            if let GatewayState::Failing(since) = self.gateways[gateway].state
                && io.now() >= since + self.profile.detection_delay
            {
                self.set_state(gateway, GatewayState::Down);
            }
            let target = &mut self.gateways[gateway];
            let probing = target.probe.is_some_and(|conn| io.is_open(conn));
            if target.state == GatewayState::Down
                && !probing
                && let Ok(conn) = io.connect(target.address)
            {
                target.probe = Some(conn);
                self.connections.insert(conn, (gateway, ConnectionUse::Probe));
                io.send(conn, b"GET /-/ready HTTP/1.1\r\nHost: gateway\r\n\r\n");
            }
        }
        io.set_timer(io.now() + PROBE_INTERVAL, PROBE_TIMER);
    }
}

/// Returns the request with the remaining time replaced.
fn with_remaining_time(request: &[u8], time_left: Nanos) -> Vec<u8> {
    let text = String::from_utf8_lossy(request);
    let lines = text.split("\r\n").map(|line| match line.strip_prefix(REMAINING_HEADER) {
        Some(_) => format!("{REMAINING_HEADER}{}", time_left / MS),
        None => line.to_string(),
    });
    lines.collect::<Vec<String>>().join("\r\n").into_bytes()
}

fn format_request(
    plan: &str,
    method: &Method,
    txn: u64,
    customer_index: usize,
    customer: &Customer,
) -> String {
    let headers = format!(
        "Host: service.internal\r\nX-Txn: {txn:016x}\r\nX-Lane: {}\r\nX-Contract: {plan}\r\n\
         X-Remaining-Ms: {}\r\nX-Metering: units={},spread={},first={}\r\n",
        method.name,
        method.deadline / MS,
        method.units,
        customer.gateway_count,
        customer.first_gateway
    );
    let path = format!("/api/{customer_index:016x}");
    match method.idempotency.as_str() {
        "free" => format!("GET {path} HTTP/1.1\r\n{headers}\r\n"),
        "guarded" => format!(
            "POST {path} HTTP/1.1\r\n{headers}Idempotency-Key: {txn:032x}\r\nContent-Length: 4\r\n\r\nbody"
        ),
        _ => format!("POST {path} HTTP/1.1\r\n{headers}Content-Length: 4\r\n\r\nbody"),
    }
}

impl EventHandler for LoadGenerator {
    /// Sets the time of sending of a request that waited for its connection to be established.
    fn on_connect(&mut self, io: &mut Io, conn: ConnId) {
        let Some((_, ConnectionUse::Rpc(rpc_index))) = self.connections.get(&conn).copied() else { return };
        if self.pending.get(&rpc_index).is_some_and(|request| request.fully_written && !request.resent) {
            self.rpcs[rpc_index].sent_at = io.clock().now();
        }
    }

    fn on_data(&mut self, io: &mut Io, conn: ConnId) {
        let Some((gateway, usage)) = self.connections.get(&conn).copied() else { return };
        let answer = match http::parse_response(io.input(conn)) {
            Ok(Some(answer)) => answer,
            Ok(None) => return,
            Err(_) => {
                self.on_close(io, conn);
                return io.close(conn);
            }
        };
        io.consume(conn, answer.length);
        match usage {
            ConnectionUse::Probe => {
                self.connections.remove(&conn);
                io.close(conn);
                self.gateways[gateway].probe = None;
                if answer.status == 200 {
                    self.set_state(gateway, GatewayState::Admitted);
                }
            }
            ConnectionUse::Idle => self.unexpected_answers += 1,
            ConnectionUse::Silent => {} // the error answer to a client that sends nothing
            ConnectionUse::Rpc(rpc_index) => {
                let own_body = http::txn_text(self.rpcs[rpc_index].txn);
                self.rpcs[rpc_index].foreign_answer =
                    answer.status == 200 && !answer.body.starts_with(own_body.as_bytes());
                let close_after_answer =
                    self.pending.get(&rpc_index).is_some_and(|request| request.close_after_answer);
                self.finish_rpc(
                    io,
                    rpc_index,
                    match answer.status {
                        200 => RpcOutcome::Ok,
                        429 | 503 => RpcOutcome::PushedBack,
                        _ => RpcOutcome::Failed,
                    },
                );
                let closes = |value: &str| value.eq_ignore_ascii_case("close");
                if close_after_answer || answer.header("connection").is_some_and(closes) {
                    self.connections.remove(&conn);
                    io.close(conn);
                } else {
                    self.connections.insert(conn, (gateway, ConnectionUse::Idle));
                    self.gateways[gateway].idle_connections.push(conn);
                }
            }
        }
    }

    fn on_close(&mut self, io: &mut Io, conn: ConnId) {
        match self.connections.remove(&conn) {
            Some((gateway, ConnectionUse::Probe)) => self.gateways[gateway].probe = None,
            Some((gateway, ConnectionUse::Rpc(rpc_index))) => {
                self.connection_lost(io, conn, rpc_index);
                self.mark_failing(io, gateway);
            }
            Some((_, ConnectionUse::Idle | ConnectionUse::Silent)) | None => {}
        }
    }

    fn on_timer(&mut self, io: &mut Io, token: u64) {
        match token {
            ARRIVAL_TIMER => self.send_due_arrivals(io),
            PROBE_TIMER => self.probe_gateways(io),
            SILENT_CONNECTIONS_TIMER => self.open_silent_connections(io),
            rpc_token => {
                let rpc_index = (rpc_token & RPC_INDEX_MASK) as usize;
                match rpc_token & !RPC_INDEX_MASK {
                    FIRST_WRITE => self.write_request(io, rpc_index),
                    SECOND_WRITE => self.write_second_half(io, rpc_index),
                    RESUME_READING => {
                        if let Some(conn) = self.pending.get(&rpc_index).and_then(|request| request.conn) {
                            io.set_read_paused(conn, false);
                        }
                    }
                    ABANDON => self.abandon(io, rpc_index, RpcOutcome::Left),
                    _ => self.expire(io, rpc_index),
                }
            }
        }
    }
}

/// Returns the median, the 99th percentile and the maximum of the load generator's lateness: the time from the scheduled
/// to the actual sending, in nanoseconds.
pub fn lateness(rpcs: &[ClientRpc]) -> (Nanos, Nanos, Nanos) {
    let mut lateness: Vec<Nanos> =
        rpcs.iter().map(|rpc| rpc.sent_at.saturating_sub(rpc.scheduled_at)).collect();
    lateness.sort_unstable();
    let quantile = |share: f64| {
        lateness.get(((lateness.len() as f64 * share) as usize).min(lateness.len().saturating_sub(1)))
    };
    (
        quantile(0.5).copied().unwrap_or(0),
        quantile(0.99).copied().unwrap_or(0),
        lateness.last().copied().unwrap_or(0),
    )
}

/// A run is void if the 99th percentile of the load generator's lateness exceeds this.
pub const MAX_LATENESS: Nanos = SEC / 20;
