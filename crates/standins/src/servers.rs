//! Stand-in servers, hundreds on one reactor: each with cores, a queue, a limited connection table, log-normal service
//! times, a warm-up after a start, and a health that a script changes. A ledger holds every RPC that came whole.

use crate::http;
use crate::reactor::{Conn, Door, Io, Service};
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
pub struct Spec {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its weight as listed.
    pub weight: f64,
    /// RPCs served at once; further ones wait, at most `queue` of them, and beyond that are turned away.
    pub cores: usize,
    /// RPCs that wait at most.
    pub queue: usize,
    /// Connections beyond these are reset.
    pub connections: usize,
    /// Median service time, and the log-normal's sigma.
    pub service: Nanos,
    /// The log-normal's sigma.
    pub spread: f64,
    /// After a start it works at this share of its speed, rising to all of it over `cold_for`.
    pub cold_share: f64,
    /// How long until it works at full speed.
    pub cold_for: Nanos,
    /// Answers carry a load report (`X-Pressure`) with `busy_reqs`.
    pub reports: bool,
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
pub enum How {
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
    pub life: u32,
    /// The connection that it came on.
    pub conn: Conn,
    /// The RPC's id as the front made it; its top 16 bits are the gateway's number.
    pub txn: u64,
    /// When its first byte came, also to a server that says nothing, and when all of it was taken in.
    pub begun: Nanos,
    /// When it was taken in.
    pub at: Nanos,
    /// How long the gateway said that it waits, milliseconds.
    pub told_ms: Option<u64>,
    /// When it left the server (its work was done, also for nobody); of no meaning while `Open`.
    pub done: Nanos,
    /// How it ended.
    pub how: How,
}

impl Row {
    /// The gateway that sent it.
    pub fn gateway(&self) -> usize {
        (self.txn >> 48) as usize
    }
}

struct Job {
    conn: Conn,
    row: usize,
}

struct Server {
    spec: Spec,
    health: Health,
    door: Option<Door>,
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
    doors: BTreeMap<Door, usize>,
    conns: BTreeMap<Conn, usize>,
    /// When the first byte of the message came that is not taken in yet.
    begun: BTreeMap<Conn, Nanos>,
    jobs: BTreeMap<u64, usize>,
    serial: u64,
    chance: ChaCha8Rng,
    /// All RPCs so far.
    pub ledger: Vec<Row>,
    /// When, and the open connections of each server.
    pub connections: Vec<(Nanos, Vec<u32>)>,
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
            connections: Vec::new(),
        }
    }

    /// Sets a server up and lets it listen; its number, and its address. `warm` ones started long ago.
    pub fn add(&mut self, io: &mut Io, mut spec: Spec, warm: bool) -> std::io::Result<(usize, SocketAddr)> {
        if self.servers.is_empty() {
            io.at(io.now() + SAMPLE, SAMPLES);
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
    pub fn become_(&mut self, io: &mut Io, number: usize, health: Health) -> std::io::Result<()> {
        let was = std::mem::replace(&mut self.servers[number].health, health);
        if was == health {
            return Ok(());
        }
        if health == Health::Down {
            let server = &mut self.servers[number];
            if let Some(door) = server.door.take() {
                io.shut(door);
                self.doors.remove(&door);
            }
            let jobs: Vec<Job> =
                std::mem::take(&mut server.running).into_values().chain(server.waiting.drain(..)).collect();
            server.stuck.clear();
            server.connections = 0;
            for job in jobs {
                let row = &mut self.ledger[job.row];
                (row.done, row.how) = (io.now(), if row.how == How::Left { How::Left } else { How::Lost });
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
            self.open(number).into_iter().for_each(|conn| self.came(io, conn));
        }
        Ok(())
    }

    fn open(&self, number: usize) -> Vec<Conn> {
        self.conns.iter().filter(|(_, at)| **at == number).map(|(conn, _)| *conn).collect()
    }

    /// When this life began, 0 for long ago.
    pub fn since(&self, number: usize) -> Nanos {
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
            if self.ledger[job.row].how == How::Left {
                self.ledger[job.row].done = now; // never started
                continue;
            }
            let spec = &server.spec;
            let cold = match server.since {
                0 => 1.0,
                since => {
                    let warmed = (now - since) as f64 / spec.cold_for.max(1) as f64;
                    (spec.cold_share + (1.0 - spec.cold_share) * warmed).clamp(1e-3, 1.0)
                }
            };
            let slow = if let Health::Slow(factor) = server.health { factor } else { 1.0 };
            let median = spec.service.max(1) as f64 * slow / cold;
            let took = match LogNormal::new(median.ln(), spec.spread.max(0.0)) {
                Ok(times) => times.sample(&mut self.chance),
                Err(_) => median,
            };
            self.serial += 1;
            self.jobs.insert(self.serial, number);
            server.running.insert(self.serial, job);
            io.at(now + (took as Nanos).min(600 * SEC), self.serial);
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
        row.done = io.now();
        if row.how == How::Open {
            row.how = How::Served;
            let held = server.running.len() + server.waiting.len();
            let report = if server.spec.reports {
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

impl Service for Servers {
    fn accepted(&mut self, io: &mut Io, conn: Conn, door: Door) {
        let Some(number) = self.doors.get(&door).copied() else { return io.reset(conn) };
        let server = &mut self.servers[number];
        if server.connections >= server.spec.connections {
            return io.reset(conn);
        }
        server.connections += 1;
        self.conns.insert(conn, number);
    }

    fn came(&mut self, io: &mut Io, conn: Conn) {
        let Some(number) = self.conns.get(&conn).copied() else { return };
        loop {
            if !io.input(conn).is_empty() {
                self.begun.entry(conn).or_insert(io.now());
            }
            let server = &mut self.servers[number];
            if server.health == Health::Silent {
                return;
            }
            let message = match http::request(io.input(conn)) {
                Ok(Some(message)) => message,
                Ok(None) => return,
                Err(_) => {
                    self.over(io, conn);
                    return io.close(conn);
                }
            };
            io.used(conn, message.length);
            let txn = message.header("x-txn").and_then(|text| u64::from_str_radix(text, 16).ok());
            let row = self.ledger.len();
            let now = io.now();
            let mut entry = Row {
                server: number as u32,
                life: server.life,
                conn,
                txn: txn.unwrap_or(u64::MAX),
                begun: self.begun.remove(&conn).unwrap_or(now),
                at: now,
                told_ms: message.header("x-remaining-ms").and_then(|text| text.parse().ok()),
                done: now,
                how: How::Open,
            };
            if server.health == Health::FailsFast {
                entry.how = How::Failed;
                io.send(conn, b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
            } else if server.running.len() >= server.spec.cores && server.waiting.len() >= server.spec.queue {
                entry.how = How::TurnedAway;
                io.send(conn, b"HTTP/1.1 503 X\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
            } else {
                server.waiting.push_back(Job { conn, row });
            }
            self.ledger.push(entry);
            self.start(io, number);
        }
    }

    fn over(&mut self, _io: &mut Io, conn: Conn) {
        self.begun.remove(&conn);
        let Some(number) = self.conns.remove(&conn) else { return };
        let server = &mut self.servers[number];
        server.connections = server.connections.saturating_sub(1);
        // What runs goes on for nobody; what waits is passed over when its turn comes.
        for job in server.running.values().chain(&server.waiting).filter(|job| job.conn == conn) {
            self.ledger[job.row].how = How::Left;
        }
    }

    fn due(&mut self, io: &mut Io, token: u64) {
        if token != SAMPLES {
            return self.done(io, token);
        }
        let open = self.servers.iter().map(|server| server.connections as u32).collect();
        self.connections.push((io.now(), open));
        io.at(io.now() + SAMPLE, SAMPLES);
    }
}
