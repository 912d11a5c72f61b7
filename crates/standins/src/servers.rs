//! Stand-ins for the servers, hundreds on one reactor. Each has a number of cores, a bounded queue, a
//! connection limit, log-normal service times, a warm-up after a start, and a health that a test can change.
//! A ledger records every RPC that was received completely.

use crate::http;
use crate::reactor::{ConnId, EventHandler, Io, SocketId};
use crate::{MS, Nanos, SEC};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Interval at which the open connections of all servers are sampled.
const SAMPLE_INTERVAL: Nanos = 250 * MS;
/// Token of the timer for the samples; the other tokens are serial numbers of jobs, or of late data with this flag.
const SAMPLE_TIMER: u64 = u64::MAX;
const LATE_DATA_TIMER: u64 = 1 << 62;
/// Stream of the random numbers for late data, so that all other draws are the same with and without it.
const LATE_DATA_STREAM: u64 = 1;
/// Data that would be sent later than this behind an answer, since the process lags, is not sent, unless its server is to
/// be later: servers send it "some milliseconds" late, and a gateway can't tell later data from the answer to the next
/// request.
pub const LATE_DATA_LIMIT: Nanos = 10 * MS;
/// Noise that is no HTTP message.
const NOISE: &[u8] = b"\x00\x7f noise\r\n\r\n";

/// Data that a server sends behind its answers. It is sent while nothing else waits on the connection: a request counts as
/// waiting only once it would have come over a link with this delay.
#[derive(Clone, Copy, Debug, Default)]
pub struct LateData {
    /// Share of the answers that are followed by a second copy.
    pub copy_share: f64,
    /// Share of the answers that are followed by noise.
    pub noise_share: f64,
    /// The longest time between an answer and the data behind it.
    pub max_lateness: Nanos,
    /// Assumed delay of the link, one way.
    pub link_delay: Nanos,
}

/// Late data that waits for its time.
struct PendingLateData {
    conn: ConnId,
    answered_at: Nanos,
    bytes: Vec<u8>,
}

/// The last messages on a connection.
#[derive(Clone, Copy, Default)]
struct ConnectionActivity {
    request_at: Nanos,
    answer_at: Nanos,
}

/// Parameters of a server.
#[derive(Clone, Debug)]
pub struct ServerSpec {
    /// Name of the server.
    pub name: String,
    /// Zone of the server.
    pub zone: String,
    /// Weight in the list of servers.
    pub weight: f64,
    /// RPCs served at the same time. Up to `queue_limit` further ones wait, and the rest are turned away with a 503.
    pub cores: usize,
    /// Maximum number of RPCs that wait.
    pub queue_limit: usize,
    /// Maximum number of open connections; further ones are reset.
    pub max_connections: usize,
    /// Median of the log-normal service time.
    pub median_service: Nanos,
    /// Sigma of the log-normal service time.
    pub service_sigma: f64,
    /// Share of its speed right after a start; it rises to the full speed over `warmup`.
    pub cold_share: f64,
    /// Time from a start to full speed.
    pub warmup: Nanos,
    /// Whether answers carry a load report (`X-Pressure`) with `busy_reqs`.
    pub reports_load: bool,
    /// Length of the answers' bodies in bytes, but at least that of the RPC's id, with which each body begins.
    pub body_bytes: usize,
    /// What it sends behind its answers.
    pub late_data: LateData,
    /// Address to listen on.
    pub address: SocketAddr,
}

/// How a server treats RPCs, set by [`Servers::set_health`] only. The names of the variants, as `Debug`
/// writes them, are part of the rig's reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// Serves RPCs.
    Well,
    /// Serves RPCs with service times multiplied by this factor.
    Slow(f64),
    /// Answers every RPC with a 500 at once; it counts as having run.
    FailsFast,
    /// Accepts connections and bytes, but sends nothing. Pending RPCs continue once the health changes.
    Silent,
    /// Doesn't listen; open connections were reset.
    Down,
}

/// How an RPC ended at the server. The names of the variants, as `Debug` writes them, are part of the rig's reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RpcOutcome {
    /// Waiting or running.
    Open,
    /// Answered with a 200.
    Served,
    /// Answered with a 500.
    Failed,
    /// Answered with a 503 since the queue was full; it never ran.
    TurnedAway,
    /// The gateway closed the connection before the answer.
    Left,
    /// The server went down before the answer.
    Lost,
}

/// RPC that a server received completely.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// Number of the server.
    pub server: u32,
    /// Number of the server's start, from 0.
    pub incarnation: u32,
    /// Connection that it was received on.
    pub conn: ConnId,
    /// Id that the load generator gave the RPC; its top 16 bits are the gateway's number.
    pub txn: u64,
    /// When its first byte arrived, even if the server was silent then or its process lagged; see [`Io::arrived_at`].
    pub first_byte_at: Nanos,
    /// When the server processed the complete request.
    pub received_at: Nanos,
    /// Remaining time that the gateway announced, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// When the server finished it, even if the gateway had closed the connection by then. Meaningless while `Open`.
    pub finished_at: Nanos,
    /// How it ended.
    pub outcome: RpcOutcome,
}

impl Row {
    /// Number of the gateway that sent it.
    pub fn gateway(&self) -> usize {
        (self.txn >> 48) as usize
    }
}

struct Job {
    conn: ConnId,
    row: usize,
}

struct Server {
    spec: ServerSpec,
    health: Health,
    listener: Option<SocketId>,
    incarnation: u32,
    started_at: Nanos,
    /// Jobs on a core, by serial number.
    running: BTreeMap<u64, Job>,
    /// Serial numbers of the jobs whose service time ended while the server was silent.
    completed_while_silent: Vec<u64>,
    waiting: VecDeque<Job>,
    connections: usize,
}

/// All stand-in servers of one reactor.
pub struct Servers {
    servers: Vec<Server>,
    servers_by_listener: BTreeMap<SocketId, usize>,
    servers_by_connection: BTreeMap<ConnId, usize>,
    /// When the first byte arrived of the message that is not processed yet.
    first_bytes: BTreeMap<ConnId, Nanos>,
    /// Server of each running job, by serial number.
    servers_by_job: BTreeMap<u64, usize>,
    serial: u64,
    rng: ChaCha8Rng,
    late_data_rng: ChaCha8Rng,
    pending_late_data: BTreeMap<u64, PendingLateData>,
    activity: BTreeMap<ConnId, ConnectionActivity>,
    /// How often data was sent behind an answer.
    pub late_data_sent: u64,
    /// How often it was not sent because it would have been too late, see [`LATE_DATA_LIMIT`].
    pub late_data_overdue: u64,
    /// Connections accepted so far.
    pub accepted_connections: u64,
    /// All RPCs received so far.
    pub ledger: Vec<Row>,
    /// Samples: their times, and the open connections of each server.
    pub connection_samples: Vec<(Nanos, Vec<u32>)>,
}

impl Servers {
    /// Creates a set without servers.
    pub fn new(rng: ChaCha8Rng) -> Servers {
        let mut late_data_rng = rng.clone();
        late_data_rng.set_stream(LATE_DATA_STREAM);
        Servers {
            servers: Vec::new(),
            servers_by_listener: BTreeMap::new(),
            servers_by_connection: BTreeMap::new(),
            first_bytes: BTreeMap::new(),
            servers_by_job: BTreeMap::new(),
            serial: 0,
            rng,
            late_data_rng,
            pending_late_data: BTreeMap::new(),
            activity: BTreeMap::new(),
            late_data_sent: 0,
            late_data_overdue: 0,
            accepted_connections: 0,
            ledger: Vec::new(),
            connection_samples: Vec::new(),
        }
    }

    /// Adds a server that listens; returns its number and its address. If `warm`, it counts as started long ago.
    pub fn add(
        &mut self,
        io: &mut Io,
        mut spec: ServerSpec,
        warm: bool,
    ) -> std::io::Result<(usize, SocketAddr)> {
        if self.servers.is_empty() {
            io.set_timer(io.now() + SAMPLE_INTERVAL, SAMPLE_TIMER);
        }
        let (listener, address) = io.listen(spec.address)?;
        spec.address = address;
        let number = self.servers.len();
        self.servers_by_listener.insert(listener, number);
        let started_at = if warm { 0 } else { io.now() };
        self.servers.push(Server {
            spec,
            health: Health::Well,
            listener: Some(listener),
            incarnation: 0,
            started_at,
            running: BTreeMap::new(),
            completed_while_silent: Vec::new(),
            waiting: VecDeque::new(),
            connections: 0,
        });
        Ok((number, address))
    }

    /// Sets a server's health. A server that was `Down` starts a new incarnation, which is cold.
    pub fn set_health(&mut self, io: &mut Io, number: usize, health: Health) -> std::io::Result<()> {
        let previous = std::mem::replace(&mut self.servers[number].health, health);
        if previous == health {
            return Ok(());
        }
        if health == Health::Down {
            let server = &mut self.servers[number];
            if let Some(listener) = server.listener.take() {
                io.close_listener(listener);
                self.servers_by_listener.remove(&listener);
            }
            let jobs: Vec<Job> =
                std::mem::take(&mut server.running).into_values().chain(server.waiting.drain(..)).collect();
            server.completed_while_silent.clear();
            server.connections = 0;
            for job in jobs {
                let row = &mut self.ledger[job.row];
                (row.finished_at, row.outcome) = (
                    io.now(),
                    if row.outcome == RpcOutcome::Left { RpcOutcome::Left } else { RpcOutcome::Lost },
                );
            }
            self.servers_by_job.retain(|_, server| *server != number);
            for conn in self.open_connections(number) {
                self.servers_by_connection.remove(&conn);
                self.activity.remove(&conn);
                io.reset(conn);
            }
        } else if previous == Health::Down {
            let server = &mut self.servers[number];
            let (listener, _) = io.listen(server.spec.address)?;
            (server.listener, server.started_at) = (Some(listener), io.now());
            server.incarnation += 1;
            self.servers_by_listener.insert(listener, number);
        } else if previous == Health::Silent {
            let completed_while_silent = std::mem::take(&mut self.servers[number].completed_while_silent);
            completed_while_silent.into_iter().for_each(|serial| self.complete_job(io, serial));
            self.open_connections(number).into_iter().for_each(|conn| self.on_data(io, conn));
        }
        Ok(())
    }

    /// Open connections of a server.
    fn open_connections(&self, number: usize) -> Vec<ConnId> {
        self.servers_by_connection
            .iter()
            .filter(|(_, server)| **server == number)
            .map(|(conn, _)| *conn)
            .collect()
    }

    /// Open connections of all servers.
    pub fn connection_count(&self) -> usize {
        self.servers.iter().map(|server| server.connections).sum()
    }

    /// When the current incarnation started; 0 means long ago.
    pub fn started_at(&self, number: usize) -> Nanos {
        self.servers[number].started_at
    }

    /// Starts waiting jobs while cores are free.
    fn start_waiting(&mut self, io: &mut Io, number: usize) {
        loop {
            let now = io.now();
            let server = &mut self.servers[number];
            if server.running.len() >= server.spec.cores {
                return;
            }
            let Some(job) = server.waiting.pop_front() else { return };
            if self.ledger[job.row].outcome == RpcOutcome::Left {
                self.ledger[job.row].finished_at = now; // it never ran
                continue;
            }
            let spec = &server.spec;
            let speed = match server.started_at {
                0 => 1.0,
                started_at => {
                    let warmed_share = (now - started_at) as f64 / spec.warmup.max(1) as f64;
                    (spec.cold_share + (1.0 - spec.cold_share) * warmed_share).clamp(1e-3, 1.0)
                }
            };
            let slowdown = if let Health::Slow(factor) = server.health { factor } else { 1.0 };
            let median = spec.median_service.max(1) as f64 * slowdown / speed;
            let service_time = match LogNormal::new(median.ln(), spec.service_sigma.max(0.0)) {
                Ok(distribution) => distribution.sample(&mut self.rng),
                Err(_) => median,
            };
            self.serial += 1;
            self.servers_by_job.insert(self.serial, number);
            server.running.insert(self.serial, job);
            io.set_timer(now + (service_time as Nanos).min(600 * SEC), self.serial);
        }
    }

    /// Completes a job and answers its RPC, unless the server is silent.
    fn complete_job(&mut self, io: &mut Io, serial: u64) {
        let Some(number) = self.servers_by_job.get(&serial).copied() else { return };
        let server = &mut self.servers[number];
        if server.health == Health::Silent {
            return server.completed_while_silent.push(serial);
        }
        self.servers_by_job.remove(&serial);
        let Some(job) = server.running.remove(&serial) else { return };
        let row = &mut self.ledger[job.row];
        row.finished_at = io.now();
        if row.outcome == RpcOutcome::Open {
            row.outcome = RpcOutcome::Served;
            let pending = server.running.len() + server.waiting.len();
            let report = if server.spec.reports_load {
                format!("X-Pressure: {{\"busy_reqs\":{pending}}}\r\n")
            } else {
                String::new()
            };
            let body = format!("{:o<width$}", http::txn_text(row.txn), width = server.spec.body_bytes);
            let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{report}\r\n{body}", body.len());
            io.send(job.conn, text.as_bytes());
            let late_data = server.spec.late_data;
            self.schedule_late_data(io, job.conn, late_data, text.as_bytes());
        }
        self.start_waiting(io, number);
    }
}

impl Servers {
    /// Records an answer on a connection, and draws whether data follows it.
    fn schedule_late_data(&mut self, io: &mut Io, conn: ConnId, spec: LateData, answer: &[u8]) {
        let now = io.now();
        self.activity.entry(conn).or_default().answer_at = now;
        if spec.copy_share + spec.noise_share == 0.0 {
            return;
        }
        let (draw, lateness): (f64, f64) = (self.late_data_rng.random(), self.late_data_rng.random());
        let bytes = match draw {
            draw if draw < spec.copy_share => answer.to_vec(),
            draw if draw < spec.copy_share + spec.noise_share => NOISE.to_vec(),
            _ => return,
        };
        self.serial += 1;
        let token = LATE_DATA_TIMER | self.serial;
        self.pending_late_data.insert(token, PendingLateData { conn, answered_at: now, bytes });
        io.set_timer(now + (lateness * spec.max_lateness as f64) as Nanos, token);
    }

    /// Sends late data, unless something else waits on its connection.
    fn send_late_data(&mut self, io: &mut Io, token: u64) {
        let Some(late) = self.pending_late_data.remove(&token) else { return };
        let Some(number) = self.servers_by_connection.get(&late.conn) else { return };
        let server = &self.servers[*number];
        let activity = self.activity.get(&late.conn).copied().unwrap_or_default();
        let came_by = io.now().saturating_sub(2 * server.spec.late_data.link_delay);
        let request_waits = activity.request_at >= late.answered_at && activity.request_at <= came_by;
        if request_waits || activity.answer_at != late.answered_at || server.health == Health::Silent {
            return;
        }
        // The answer was written after the iteration of `answered_at` began, so this is an upper bound of the lateness.
        if io.clock().now() - late.answered_at > LATE_DATA_LIMIT.max(server.spec.late_data.max_lateness) {
            self.late_data_overdue += 1;
            return;
        }
        self.late_data_sent += 1;
        io.send(late.conn, &late.bytes);
        io.flush(late.conn);
    }
}

impl EventHandler for Servers {
    fn on_accept(&mut self, io: &mut Io, conn: ConnId, listener: SocketId) {
        let Some(number) = self.servers_by_listener.get(&listener).copied() else { return io.reset(conn) };
        let server = &mut self.servers[number];
        if server.connections >= server.spec.max_connections {
            return io.reset(conn);
        }
        server.connections += 1;
        self.accepted_connections += 1;
        self.servers_by_connection.insert(conn, number);
    }

    fn on_data(&mut self, io: &mut Io, conn: ConnId) {
        let Some(number) = self.servers_by_connection.get(&conn).copied() else { return };
        loop {
            if !io.input(conn).is_empty() && !self.first_bytes.contains_key(&conn) {
                self.first_bytes.insert(conn, io.arrived_at(conn));
                self.activity.entry(conn).or_default().request_at = io.now();
            }
            let server = &mut self.servers[number];
            if server.health == Health::Silent {
                return;
            }
            let message = match http::parse_request(io.input(conn)) {
                Ok(Some(message)) => message,
                Ok(None) => return,
                Err(_) => {
                    self.on_close(io, conn);
                    return io.close(conn);
                }
            };
            io.consume(conn, message.length);
            let txn = message.header("x-txn").and_then(|text| u64::from_str_radix(text, 16).ok());
            let row = self.ledger.len();
            let now = io.now();
            let mut entry = Row {
                server: number as u32,
                incarnation: server.incarnation,
                conn,
                txn: txn.unwrap_or(u64::MAX),
                first_byte_at: self.first_bytes.remove(&conn).unwrap_or(now),
                received_at: now,
                remaining_ms: message.header("x-remaining-ms").and_then(|text| text.parse().ok()),
                finished_at: now,
                outcome: RpcOutcome::Open,
            };
            if server.health == Health::FailsFast {
                entry.outcome = RpcOutcome::Failed;
                io.send(conn, b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
            } else if server.running.len() >= server.spec.cores
                && server.waiting.len() >= server.spec.queue_limit
            {
                entry.outcome = RpcOutcome::TurnedAway;
                io.send(conn, b"HTTP/1.1 503 X\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
            } else {
                server.waiting.push_back(Job { conn, row });
            }
            self.ledger.push(entry);
            self.start_waiting(io, number);
        }
    }

    fn on_close(&mut self, _io: &mut Io, conn: ConnId) {
        self.first_bytes.remove(&conn);
        self.activity.remove(&conn);
        let Some(number) = self.servers_by_connection.remove(&conn) else { return };
        let server = &mut self.servers[number];
        server.connections = server.connections.saturating_sub(1);
        // Running jobs go on without a recipient; waiting ones are skipped when they reach the head of the queue.
        for job in server.running.values().chain(&server.waiting).filter(|job| job.conn == conn) {
            self.ledger[job.row].outcome = RpcOutcome::Left;
        }
    }

    fn on_timer(&mut self, io: &mut Io, token: u64) {
        if token != SAMPLE_TIMER && token & LATE_DATA_TIMER != 0 {
            return self.send_late_data(io, token);
        }
        if token != SAMPLE_TIMER {
            return self.complete_job(io, token);
        }
        let open = self.servers.iter().map(|server| server.connections as u32).collect();
        self.connection_samples.push((io.now(), open));
        io.set_timer(io.now() + SAMPLE_INTERVAL, SAMPLE_TIMER);
    }
}
