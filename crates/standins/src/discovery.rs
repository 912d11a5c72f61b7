//! Stand-in discovery: one true list, and a door of its own for each gateway (as the agent on its machine), so that a
//! script can let gateways hear late, stand still at an older version, be thrown back to one, or hear nothing.

use crate::http;
use crate::reactor::{ConnId, EventHandler, Io, SocketId};
use crate::{Nanos, SEC};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// An empty line comes so often while nothing changes, as the protocol page says.
const PULSE: Nanos = 2 * SEC;
const PULSES: u64 = u64::MAX;

/// A server as listed.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The server's name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its status as the protocol page names them.
    pub status: &'static str,
    /// Its weight.
    pub weight: f64,
    /// Unix time of its last start in milliseconds; 0 is long ago.
    pub since_ms: u64,
}

impl Entry {
    /// As discovery writes it; `address` may differ from one gateway to another.
    pub fn json(&self, address: SocketAddr) -> Value {
        json!({"name": self.name, "address": address.to_string(), "zone": self.zone, "type": "m", "group": 0,
            "status": self.status, "weight": self.weight, "since_ms": self.since_ms})
    }
}

/// What one gateway's agent does. `Discovery::set` is the one place that changes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Changes are told after so long.
    Late(Nanos),
    /// Nothing is told; what is asked for hears the version held last.
    Still,
    /// Connections are refused.
    Down,
}

struct Agent {
    door: Option<SocketId>,
    address: SocketAddr,
    mode: Mode,
    /// The version it last told, and open watches with what they heard.
    told: u64,
    watches: Vec<ConnId>,
    /// Addresses of servers as this gateway sees them (a link with faults stands before them).
    seen_at: BTreeMap<String, SocketAddr>,
}

/// All agents over one true list.
#[derive(Default)]
pub struct Discovery {
    /// Every change in order: version `n` is the change at place `n - 1`.
    changes: Vec<(Nanos, Entry)>,
    agents: Vec<Agent>,
    doors: BTreeMap<SocketId, usize>,
    conns: BTreeMap<ConnId, usize>,
    /// Bytes of all lines that told a list or changes of it.
    pub list_bytes_sent: u64,
}

impl Discovery {
    /// An agent for one more gateway; its address.
    pub fn add_agent(
        &mut self,
        io: &mut Io,
        address: SocketAddr,
        seen_at: BTreeMap<String, SocketAddr>,
    ) -> std::io::Result<SocketAddr> {
        if self.agents.is_empty() {
            io.set_timer(io.now() + PULSE, PULSES);
        }
        let (door, address) = io.listen(address)?;
        self.doors.insert(door, self.agents.len());
        self.agents.push(Agent {
            door: Some(door),
            address,
            mode: Mode::Late(0),
            told: self.changes.len() as u64,
            watches: Vec::new(),
            seen_at,
        });
        Ok(address)
    }

    /// The newest version.
    pub fn index(&self) -> u64 {
        self.changes.len() as u64
    }

    /// A change of the list, told to each gateway as its agent does.
    pub fn publish(&mut self, io: &mut Io, entry: Entry) {
        self.changes.push((io.now(), entry));
        for agent in 0..self.agents.len() {
            match self.agents[agent].mode {
                Mode::Late(0) => self.tell(io, agent),
                Mode::Late(late) => io.set_timer(io.now() + late, agent as u64),
                Mode::Still | Mode::Down => {}
            }
        }
    }

    /// Changes what an agent does. `back_to` throws it back to an older version, which it tells as a whole list.
    pub fn set_mode(
        &mut self,
        io: &mut Io,
        agent: usize,
        mode: Mode,
        back_to: Option<u64>,
    ) -> std::io::Result<()> {
        let at = &mut self.agents[agent];
        at.mode = mode;
        if let Some(back) = back_to {
            at.told = back.min(at.told);
            let whole = self.whole(agent);
            for conn in self.agents[agent].watches.clone() {
                self.list_bytes_sent += line(io, conn, &whole);
            }
        }
        let at = &mut self.agents[agent];
        match (mode, at.door) {
            (Mode::Down, Some(door)) => {
                io.close_listener(door);
                self.doors.remove(&door);
                at.door = None;
                for conn in std::mem::take(&mut at.watches) {
                    self.conns.remove(&conn);
                    io.close(conn);
                }
            }
            (Mode::Late(_) | Mode::Still, None) => {
                let (door, _) = io.listen(at.address)?;
                at.door = Some(door);
                self.doors.insert(door, agent);
            }
            _ => {}
        }
        self.tell(io, agent);
        Ok(())
    }

    /// Tells what an agent may know by now and has not told.
    fn tell(&mut self, io: &mut Io, agent: usize) {
        let now = io.now();
        let at = &mut self.agents[agent];
        let Mode::Late(late) = at.mode else { return };
        let known = self.changes.partition_point(|change| change.0 + late <= now) as u64;
        if known <= at.told {
            return;
        }
        let changed = &self.changes[at.told as usize..known as usize];
        let text = object(known, false, changed.iter().map(|change| &change.1), &at.seen_at);
        at.told = known;
        for conn in at.watches.clone() {
            self.list_bytes_sent += line(io, conn, &text);
        }
    }

    fn whole(&self, agent: usize) -> String {
        let at = &self.agents[agent];
        let mut last: BTreeMap<&str, &Entry> = BTreeMap::new();
        for (_, entry) in &self.changes[..at.told as usize] {
            last.insert(&entry.name, entry);
        }
        object(at.told, true, last.into_values().filter(|entry| entry.status != "gone"), &at.seen_at)
    }

    /// The whole list as an agent tells it now, for a configuration's `known`.
    pub fn snapshot(&self, agent: usize) -> String {
        self.whole(agent)
    }
}

fn object<'a>(
    index: u64,
    whole: bool,
    entries: impl Iterator<Item = &'a Entry>,
    seen_at: &BTreeMap<String, SocketAddr>,
) -> String {
    let entries: Vec<Value> =
        entries.map(|entry| entry.json(seen_at.get(&entry.name).copied().unwrap_or(entry.address))).collect();
    json!({"index": index, "snapshot": whole, "endpoints": entries}).to_string()
}

/// Writes a line as a chunk; how many bytes that takes.
fn line(io: &mut Io, conn: ConnId, text: &str) -> u64 {
    let chunk = format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
    io.send(conn, chunk.as_bytes());
    chunk.len() as u64
}

impl EventHandler for Discovery {
    fn on_accept(&mut self, io: &mut Io, conn: ConnId, door: SocketId) {
        match self.doors.get(&door) {
            Some(agent) => drop(self.conns.insert(conn, *agent)),
            None => io.close(conn),
        }
    }

    fn on_data(&mut self, io: &mut Io, conn: ConnId) {
        let Some(agent) = self.conns.get(&conn).copied() else { return };
        let message = match http::parse_request(io.input(conn)) {
            Ok(Some(message)) => message,
            Ok(None) => return,
            Err(_) => return io.close(conn),
        };
        io.consume(conn, message.length);
        self.tell(io, agent);
        let whole = self.whole(agent);
        let Some(from) = message.path.split("from=").nth(1).and_then(|text| text.parse::<u64>().ok()) else {
            let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}", whole.len());
            return io.send(conn, text.as_bytes());
        };
        io.send(conn, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let at = &mut self.agents[agent];
        at.watches.push(conn);
        if from == 0 || from > at.told {
            self.list_bytes_sent += line(io, conn, &whole);
        } else if from < at.told {
            let changed = &self.changes[from as usize..at.told as usize];
            self.list_bytes_sent +=
                line(io, conn, &object(at.told, false, changed.iter().map(|change| &change.1), &at.seen_at));
        }
    }

    fn on_close(&mut self, _io: &mut Io, conn: ConnId) {
        if let Some(agent) = self.conns.remove(&conn) {
            self.agents[agent].watches.retain(|other| *other != conn);
        }
    }

    fn on_timer(&mut self, io: &mut Io, token: u64) {
        if token != PULSES {
            return self.tell(io, token as usize);
        }
        for agent in &self.agents {
            agent.watches.iter().for_each(|conn| io.send(*conn, b"1\r\n\n\r\n"));
        }
        io.set_timer(io.now() + PULSE, PULSES);
    }
}
