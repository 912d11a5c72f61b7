//! Stand-in servers, hundreds on one reactor: each with cores, a queue, a limited connection table, log-normal service
//! times, a warm-up after a start, and a health that a script changes. A ledger holds every RPC that came whole.

use crate::http;
use crate::reactor::{ConnId, EventHandler, Io, SocketId};
use crate::{MS, Nanos, SEC};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// How often the open connections of every server are noted.
const SAMPLE: Nanos = 250 * MS;
const SAMPLES: u64 = u64::MAX;

/// One server as it is set up.
#[derive(Clone, Debug)]
pub struct ServerSpec {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its weight as listed.
    pub weight: f64,
    /// RPCs served at once; further ones wait, at most `queue` of them, and beyond that are turned away.
    pub cores: usize,
    /// RPCs that wait at most.
    pub queue_limit: usize,
    /// Connections beyond these are reset.
    pub max_connections: usize,
    /// Median service time, and the log-normal's sigma.
    pub median_service: Nanos,
    /// The log-normal's sigma.
    pub service_sigma: f64,
    /// After a start it works at this share of its speed, rising to all of it over `cold_for`.
    pub cold_share: f64,
    /// How long until it works at full speed.
    pub warmup: Nanos,
    /// Answers carry a load report (`X-Pressure`) with `busy_reqs`.
    pub reports_load: bool,
    /// How long the bodies of its answers are, bytes.
    pub body_bytes: usize,
    /// Where it is to listen.
    pub address: SocketAddr,
}

/// What a server does with RPCs. `Server::become_` is the one place that changes it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// It serves.
    Well,
    /// So many times slower.
    Slow(f64),
    /// Every RPC is answered 500 at once, after it ran.
    FailsFast,
    /// Takes connections and bytes and says nothing; what it holds goes on when it is well again.
    Silent,
    /// Nobody listens, and what was open is reset.
    Down,
}

/// How an RPC ended at the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RpcOutcome {
    /// It is still there.
    Open,
    /// It was answered ok.
    Served,
    /// It was answered 500.
    Failed,
    /// The queue was full; it never ran.
    TurnedAway,
    /// The gateway closed the connection first.
    Left,
    /// The server went down with it.
    Lost,
}

/// One RPC that came whole to a server.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// The server's number.
    pub server: u32,
    /// Which start of that server, from 0.
    pub incarnation: u32,
    /// The connection that it came on.
    pub conn: ConnId,
    /// The RPC's id as the front made it; its top 16 bits are the gateway's number.
    pub txn: u64,
    /// When its first byte came, also to a server that says nothing, and when all of it was taken in.
    pub first_byte_at: Nanos,
    /// When it was taken in.
    pub received_at: Nanos,
    /// How long the gateway said that it waits, milliseconds.
    pub remaining_ms: Option<u64>,
    /// When it left the server (its work was done, also for nobody); of no meaning while `Open`.
    pub finished_at: Nanos,
    /// How it ended.
    pub outcome: RpcOutcome,
}

impl Row {
    /// The gateway that sent it.
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
    door: Option<SocketId>,
    life: u32,
    since: Nanos,
    /// By serial: those on a core, and those whose work is done while the server is silent.
    running: BTreeMap<u64, Job>,
    stuck: Vec<u64>,
    waiting: VecDeque<Job>,
    connections: usize,
}

/// All stand-in servers.
pub struct Servers {
    servers: Vec<Server>,
    doors: BTreeMap<SocketId, usize>,
    conns: BTreeMap<ConnId, usize>,
    /// When the first byte of the message came that is not taken in yet.
    begun: BTreeMap<ConnId, Nanos>,
    jobs: BTreeMap<u64, usize>,
    serial: u64,
    chance: ChaCha8Rng,
    /// All RPCs so far.
    pub ledger: Vec<Row>,
    /// When, and the open connections of each server.
    pub connection_samples: Vec<(Nanos, Vec<u32>)>,
}

impl Servers {
    /// No servers yet.
    pub fn new(chance: ChaCha8Rng) -> Servers {
        Servers {
            servers: Vec::new(),
            doors: BTreeMap::new(),
            conns: BTreeMap::new(),
            begun: BTreeMap::new(),
            jobs: BTreeMap::new(),
            serial: 0,
            chance,
            ledger: Vec::new(),
            connection_samples: Vec::new(),
        }
    }

    /// Sets a server up and lets it listen; its number, and its address. `warm` ones started long ago.
    pub fn add(
        &mut self,
        io: &mut Io,
        mut spec: ServerSpec,
        warm: bool,
    ) -> std::io::Result<(usize, SocketAddr)> {
        if self.servers.is_empty() {
            io.set_timer(io.now() + SAMPLE, SAMPLES);
        }
        let (door, address) = io.listen(spec.address)?;
        spec.address = address;
        let number = self.servers.len();
        self.doors.insert(door, number);
        let since = if warm { 0 } else { io.now() };
        self.servers.push(Server {
            spec,
            health: Health::Well,
            door: Some(door),
            life: 0,
            since,
            running: BTreeMap::new(),
            stuck: Vec::new(),
            waiting: VecDeque::new(),
            connections: 0,
        });
        Ok((number, address))
    }

    /// Changes a server's health; one that comes up from `Down` starts a new, cold life.
    pub fn set_health(&mut self, io: &mut Io, number: usize, health: Health) -> std::io::Result<()> {
        let was = std::mem::replace(&mut self.servers[number].health, health);
        if was == health {
            return Ok(());
        }
        if health == Health::Down {
            let server = &mut self.servers[number];
            if let Some(door) = server.door.take() {
                io.close_listener(door);
                self.doors.remove(&door);
            }
            let jobs: Vec<Job> =
                std::mem::take(&mut server.running).into_values().chain(server.waiting.drain(..)).collect();
            server.stuck.clear();
            server.connections = 0;
            for job in jobs {
                let row = &mut self.ledger[job.row];
                (row.finished_at, row.outcome) = (
                    io.now(),
                    if row.outcome == RpcOutcome::Left { RpcOutcome::Left } else { RpcOutcome::Lost },
                );
            }
            self.jobs.retain(|_, at| *at != number);
            for conn in self.open(number) {
                self.conns.remove(&conn);
                io.reset(conn);
            }
        } else if was == Health::Down {
            let server = &mut self.servers[number];
            let (door, _) = io.listen(server.spec.address)?;
            (server.door, server.since) = (Some(door), io.now());
            server.life += 1;
            self.doors.insert(door, number);
        } else if was == Health::Silent {
            let stuck = std::mem::take(&mut self.servers[number].stuck);
            stuck.into_iter().for_each(|serial| self.done(io, serial));
            self.open(number).into_iter().for_each(|conn| self.on_data(io, conn));
        }
        Ok(())
    }

    fn open(&self, number: usize) -> Vec<ConnId> {
        self.conns.iter().filter(|(_, at)| **at == number).map(|(conn, _)| *conn).collect()
    }

    /// When this life began, 0 for long ago.
    pub fn started_at(&self, number: usize) -> Nanos {
        self.servers[number].since
    }

    fn start(&mut self, io: &mut Io, number: usize) {
        loop {
            let now = io.now();
            let server = &mut self.servers[number];
            if server.running.len() >= server.spec.cores {
                return;
            }
            let Some(job) = server.waiting.pop_front() else { return };
            if self.ledger[job.row].outcome == RpcOutcome::Left {
                self.ledger[job.row].finished_at = now; // never started
                continue;
            }
            let spec = &server.spec;
            let cold = match server.since {
                0 => 1.0,
                since => {
                    let warmed = (now - since) as f64 / spec.warmup.max(1) as f64;
                    (spec.cold_share + (1.0 - spec.cold_share) * warmed).clamp(1e-3, 1.0)
                }
            };
            let slow = if let Health::Slow(factor) = server.health { factor } else { 1.0 };
            let median = spec.median_service.max(1) as f64 * slow / cold;
            let took = match LogNormal::new(median.ln(), spec.service_sigma.max(0.0)) {
                Ok(times) => times.sample(&mut self.chance),
                Err(_) => median,
            };
            self.serial += 1;
            self.jobs.insert(self.serial, number);
            server.running.insert(self.serial, job);
            io.set_timer(now + (took as Nanos).min(600 * SEC), self.serial);
        }
    }

    fn done(&mut self, io: &mut Io, serial: u64) {
        let Some(number) = self.jobs.get(&serial).copied() else { return };
        let server = &mut self.servers[number];
        if server.health == Health::Silent {
            return server.stuck.push(serial);
        }
        self.jobs.remove(&serial);
        let Some(job) = server.running.remove(&serial) else { return };
        let row = &mut self.ledger[job.row];
        row.finished_at = io.now();
        if row.outcome == RpcOutcome::Open {
            row.outcome = RpcOutcome::Served;
            let held = server.running.len() + server.waiting.len();
            let report = if server.spec.reports_load {
                format!("X-Pressure: {{\"busy_reqs\":{held}}}\r\n")
            } else {
                String::new()
            };
            let body = "o".repeat(server.spec.body_bytes);
            let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{report}\r\n{body}", body.len());
            io.send(job.conn, text.as_bytes());
        }
        self.start(io, number);
    }
}

impl EventHandler for Servers {
    fn on_accept(&mut self, io: &mut Io, conn: ConnId, door: SocketId) {
        let Some(number) = self.doors.get(&door).copied() else { return io.reset(conn) };
        let server = &mut self.servers[number];
        if server.connections >= server.spec.max_connections {
            return io.reset(conn);
        }
        server.connections += 1;
        self.conns.insert(conn, number);
    }

    fn on_data(&mut self, io: &mut Io, conn: ConnId) {
        let Some(number) = self.conns.get(&conn).copied() else { return };
        loop {
            if !io.input(conn).is_empty() {
                self.begun.entry(conn).or_insert(io.now());
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
                incarnation: server.life,
                conn,
                txn: txn.unwrap_or(u64::MAX),
                first_byte_at: self.begun.remove(&conn).unwrap_or(now),
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
            self.start(io, number);
        }
    }

    fn on_close(&mut self, _io: &mut Io, conn: ConnId) {
        self.begun.remove(&conn);
        let Some(number) = self.conns.remove(&conn) else { return };
        let server = &mut self.servers[number];
        server.connections = server.connections.saturating_sub(1);
        // What runs goes on for nobody; what waits is passed over when its turn comes.
        for job in server.running.values().chain(&server.waiting).filter(|job| job.conn == conn) {
            self.ledger[job.row].outcome = RpcOutcome::Left;
        }
    }

    fn on_timer(&mut self, io: &mut Io, token: u64) {
        if token != SAMPLES {
            return self.done(io, token);
        }
        let open = self.servers.iter().map(|server| server.connections as u32).collect();
        self.connection_samples.push((io.now(), open));
        io.set_timer(io.now() + SAMPLE, SAMPLES);
    }
}
