//! Stand-in for discovery: one list of servers, and an agent per gateway, as on the gateway's machine, each with a
//! listener of its own. A test can delay an agent's updates, freeze its list, set it back to an older version, or take
//! the agent down.

use crate::http;
use crate::reactor::{ConnId, EventHandler, Io, SocketId};
use crate::{Nanos, SEC};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Interval of the empty lines that agents send as keep-alives, as the protocol page requires.
const KEEP_ALIVE_INTERVAL: Nanos = 2 * SEC;
/// Token of the timer for the keep-alives; the other tokens are numbers of agents.
const KEEP_ALIVE_TIMER: u64 = u64::MAX;

/// Entry of the list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Name of the server.
    pub name: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Zone of the server.
    pub zone: String,
    /// Cell of the server, `group` on the wire: the servers that share the keys of the RPCs they ran.
    pub cell: u16,
    /// Status, as named on the protocol page.
    pub status: &'static str,
    /// Weight of the server.
    pub weight: f64,
    /// Unix time of its last start in milliseconds; 0 means long ago.
    pub since_ms: u64,
}

impl Entry {
    /// The entry as an agent writes it, with the `address` at which that agent's gateway reaches the server.
    pub fn json(&self, address: SocketAddr) -> Value {
        json!({"name": self.name, "address": address.to_string(), "zone": self.zone, "type": "m", "group": self.cell,
            "status": self.status, "weight": self.weight, "since_ms": self.since_ms})
    }
}

/// Mode of a gateway's agent, set by [`Discovery::set_mode`] only. The names of the variants, as `Debug`
/// writes them, are part of the rig's reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Sends each change after this delay.
    Late(Nanos),
    /// Sends no changes; requests are answered with the last version sent.
    Still,
    /// Refuses connections.
    Down,
}

struct Agent {
    listener: Option<SocketId>,
    address: SocketAddr,
    mode: Mode,
    /// Last version sent to the gateway.
    sent_version: u64,
    watches: Vec<ConnId>,
    /// Addresses at which this gateway reaches servers behind a relay, by the server's name.
    server_addresses: BTreeMap<String, SocketAddr>,
}

/// List of servers and the agents that publish it.
#[derive(Default)]
pub struct Discovery {
    /// All changes in order, with their times: version `n` is the change at index `n - 1`.
    changes: Vec<(Nanos, Entry)>,
    agents: Vec<Agent>,
    agents_by_listener: BTreeMap<SocketId, usize>,
    agents_by_connection: BTreeMap<ConnId, usize>,
    /// Bytes of all list and change lines written to watches, with their chunk framing.
    pub list_bytes_sent: u64,
}

impl Discovery {
    /// Starts an agent for another gateway and returns its address. `server_addresses` has the addresses of
    /// the servers that the gateway reaches through a relay.
    pub fn add_agent(
        &mut self,
        io: &mut Io,
        address: SocketAddr,
        server_addresses: BTreeMap<String, SocketAddr>,
    ) -> std::io::Result<SocketAddr> {
        if self.agents.is_empty() {
            io.set_timer(io.now() + KEEP_ALIVE_INTERVAL, KEEP_ALIVE_TIMER);
        }
        let (listener, address) = io.listen(address)?;
        self.agents_by_listener.insert(listener, self.agents.len());
        self.agents.push(Agent {
            listener: Some(listener),
            address,
            mode: Mode::Late(0),
            sent_version: self.changes.len() as u64,
            watches: Vec::new(),
            server_addresses,
        });
        Ok(address)
    }

    /// Newest version of the list.
    pub fn index(&self) -> u64 {
        self.changes.len() as u64
    }

    /// Adds a change to the list; each agent sends it according to its mode.
    pub fn publish(&mut self, io: &mut Io, entry: Entry) {
        self.changes.push((io.now(), entry));
        for agent in 0..self.agents.len() {
            match self.agents[agent].mode {
                Mode::Late(0) => self.send_changes(io, agent),
                Mode::Late(delay) => io.set_timer(io.now() + delay, agent as u64),
                Mode::Still | Mode::Down => {}
            }
        }
    }

    /// Sets an agent's mode. `back_to` sets the agent back to an older version first, which it sends as a full list.
    pub fn set_mode(
        &mut self,
        io: &mut Io,
        agent: usize,
        mode: Mode,
        back_to: Option<u64>,
    ) -> std::io::Result<()> {
        let agent_state = &mut self.agents[agent];
        agent_state.mode = mode;
        if let Some(version) = back_to {
            agent_state.sent_version = version.min(agent_state.sent_version);
            let full_list = self.full_list(agent);
            for conn in self.agents[agent].watches.clone() {
                self.list_bytes_sent += send_line(io, conn, &full_list);
            }
        }
        let agent_state = &mut self.agents[agent];
        match (mode, agent_state.listener) {
            (Mode::Down, Some(listener)) => {
                io.close_listener(listener);
                self.agents_by_listener.remove(&listener);
                agent_state.listener = None;
                for conn in std::mem::take(&mut agent_state.watches) {
                    self.agents_by_connection.remove(&conn);
                    io.close(conn);
                }
            }
            (Mode::Late(_) | Mode::Still, None) => {
                let (listener, _) = io.listen(agent_state.address)?;
                agent_state.listener = Some(listener);
                self.agents_by_listener.insert(listener, agent);
            }
            _ => {}
        }
        self.send_changes(io, agent);
        Ok(())
    }

    /// Sends the changes that an agent's delay allows by now and that it has not sent yet.
    fn send_changes(&mut self, io: &mut Io, agent: usize) {
        let now = io.now();
        let agent_state = &mut self.agents[agent];
        let Mode::Late(delay) = agent_state.mode else { return };
        let due_version = self.changes.partition_point(|change| change.0 + delay <= now) as u64;
        if due_version <= agent_state.sent_version {
            return;
        }
        let changed = &self.changes[agent_state.sent_version as usize..due_version as usize];
        let text = list_json(
            due_version,
            false,
            changed.iter().map(|change| &change.1),
            &agent_state.server_addresses,
        );
        agent_state.sent_version = due_version;
        for conn in agent_state.watches.clone() {
            self.list_bytes_sent += send_line(io, conn, &text);
        }
    }

    /// The full list at the version that an agent sent last, as JSON.
    fn full_list(&self, agent: usize) -> String {
        let agent_state = &self.agents[agent];
        let mut last: BTreeMap<&str, &Entry> = BTreeMap::new();
        for (_, entry) in &self.changes[..agent_state.sent_version as usize] {
            last.insert(&entry.name, entry);
        }
        list_json(
            agent_state.sent_version,
            true,
            last.into_values().filter(|entry| entry.status != "gone"),
            &agent_state.server_addresses,
        )
    }

    /// The full list as an agent sends it now, for `known` in a gateway's configuration.
    pub fn snapshot(&self, agent: usize) -> String {
        self.full_list(agent)
    }
}

/// A full list, if `full`, or a change of it, as JSON.
fn list_json<'a>(
    index: u64,
    full: bool,
    entries: impl Iterator<Item = &'a Entry>,
    server_addresses: &BTreeMap<String, SocketAddr>,
) -> String {
    let entries: Vec<Value> = entries
        .map(|entry| entry.json(server_addresses.get(&entry.name).copied().unwrap_or(entry.address)))
        .collect();
    json!({"index": index, "snapshot": full, "endpoints": entries}).to_string()
}

/// Sends a line as a chunk; returns the bytes sent, with the chunk framing.
fn send_line(io: &mut Io, conn: ConnId, text: &str) -> u64 {
    let chunk = format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
    io.send(conn, chunk.as_bytes());
    chunk.len() as u64
}

impl EventHandler for Discovery {
    fn on_accept(&mut self, io: &mut Io, conn: ConnId, listener: SocketId) {
        match self.agents_by_listener.get(&listener) {
            Some(agent) => drop(self.agents_by_connection.insert(conn, *agent)),
            None => io.close(conn),
        }
    }

    fn on_data(&mut self, io: &mut Io, conn: ConnId) {
        let Some(agent) = self.agents_by_connection.get(&conn).copied() else { return };
        let message = match http::parse_request(io.input(conn)) {
            Ok(Some(message)) => message,
            Ok(None) => return,
            Err(_) => return io.close(conn),
        };
        io.consume(conn, message.length);
        self.send_changes(io, agent);
        let full_list = self.full_list(agent);
        let Some(from) = message.path.split("from=").nth(1).and_then(|text| text.parse::<u64>().ok()) else {
            let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{full_list}", full_list.len());
            return io.send(conn, text.as_bytes());
        };
        io.send(conn, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let agent_state = &mut self.agents[agent];
        agent_state.watches.push(conn);
        if from == 0 || from > agent_state.sent_version {
            self.list_bytes_sent += send_line(io, conn, &full_list);
        } else if from < agent_state.sent_version {
            let changed = &self.changes[from as usize..agent_state.sent_version as usize];
            self.list_bytes_sent += send_line(
                io,
                conn,
                &list_json(
                    agent_state.sent_version,
                    false,
                    changed.iter().map(|change| &change.1),
                    &agent_state.server_addresses,
                ),
            );
        }
    }

    fn on_close(&mut self, _io: &mut Io, conn: ConnId) {
        if let Some(agent) = self.agents_by_connection.remove(&conn) {
            self.agents[agent].watches.retain(|other| *other != conn);
        }
    }

    fn on_timer(&mut self, io: &mut Io, token: u64) {
        if token != KEEP_ALIVE_TIMER {
            return self.send_changes(io, token as usize);
        }
        for agent in &self.agents {
            agent.watches.iter().for_each(|conn| io.send(*conn, b"1\r\n\n\r\n"));
        }
        io.set_timer(io.now() + KEEP_ALIVE_INTERVAL, KEEP_ALIVE_TIMER);
    }
}
