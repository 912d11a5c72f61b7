//! Emulated discovery for a hollow fleet: an authoritative server list with its change log, and one agent per simulated
//! gateway that sends it the servers of the services it uses, encoded as in the watch protocol.

use super::Nanos;
use standins::discovery::Entry;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// The chunk with an empty line that an agent sends while nothing changes.
pub const HEARTBEAT: &[u8] = b"1\r\n\n\r\n";
/// Interval between heartbeats.
pub const HEARTBEAT_EVERY: Nanos = 2_000_000_000;
/// Status line and headers of a watch response.
pub const WATCH_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A server's status in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    Ready,
    Draining,
    Gone,
}

impl Status {
    fn name(self) -> &'static str {
        match self {
            Status::Ready => "ready",
            Status::Draining => "draining",
            Status::Gone => "gone",
        }
    }
}

/// A server in the authoritative list.
#[derive(Clone, Copy, Debug)]
struct ListedServer {
    status: Status,
    since_ms: u64,
}

/// An entry of the authoritative list's change log.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    pub at: Nanos,
    pub server: u32,
    pub status: Status,
    since_ms: u64,
}

/// Returns the name of a server in the list.
pub fn server_name(server: u32) -> String {
    format!("s{server:04}")
}

/// Returns the number in a server's name, or `u32::MAX` if the name has none.
pub fn server_number(name: &str) -> u32 {
    name.trim_start_matches('s').parse().unwrap_or(u32::MAX)
}

/// The discovery agent of one gateway.
struct Agent {
    /// Services that the gateway uses.
    services: BTreeSet<u32>,
    /// Delay between a change of the list and the agent's write.
    delay: Nanos,
    /// Indexes of the changes that have not been sent to the gateway.
    pending: Vec<u32>,
    /// Time of the next scheduled write.
    next_write: Option<Nanos>,
    is_up: bool,
    /// Whether the agent has lost its connection to the authoritative list.
    is_disconnected: bool,
}

/// A write that an agent is due to make.
#[derive(Clone, Copy, Debug)]
pub struct DueWrite {
    pub agent: usize,
    pub at: Nanos,
}

/// Bytes that an agent sends in one write, and the indexes of the changes that they deliver.
pub struct WatchData {
    pub bytes: Rc<Vec<u8>>,
    pub changes: Vec<u32>,
}

/// An encoded update with the indexes of the changes in it.
#[derive(Default)]
struct EncodedUpdate {
    changes: Vec<u32>,
    bytes: Rc<Vec<u8>>,
}

/// The authoritative list, its change log and all agents.
pub struct Discovery {
    zones: Vec<String>,
    services: usize,
    listed: Vec<ListedServer>,
    pub changes: Vec<Change>,
    agents: Vec<Agent>,
    /// For each service, the agents whose gateways use it.
    agents_by_service: Vec<Vec<u32>>,
    /// Cache of the last encoded update: agents that send the same changes share its bytes.
    last_update: EncodedUpdate,
}

impl Discovery {
    /// A list in which the first `ready` of all servers are ready and the rest are not listed yet.
    pub fn new(zones: &[String], services: usize, servers: usize, ready: usize) -> Discovery {
        let listed = |server: usize| ListedServer {
            status: if server < ready { Status::Ready } else { Status::Gone },
            since_ms: 0,
        };
        Discovery {
            zones: zones.to_vec(),
            services,
            listed: (0..servers).map(listed).collect(),
            changes: Vec::new(),
            agents: Vec::new(),
            agents_by_service: vec![Vec::new(); services],
            last_update: EncodedUpdate::default(),
        }
    }

    /// Adds the agent of the next gateway.
    pub fn add_agent(&mut self, services: BTreeSet<u32>, delay: Nanos) {
        let agent = self.agents.len() as u32;
        services.iter().for_each(|service| self.agents_by_service[*service as usize].push(agent));
        self.agents.push(Agent {
            services,
            delay,
            pending: Vec::new(),
            next_write: None,
            is_up: true,
            is_disconnected: false,
        });
    }

    /// The version of the authoritative list, starting at 1.
    pub fn index(&self) -> u64 {
        self.changes.len() as u64 + 1
    }

    pub fn service_of(&self, server: u32) -> u32 {
        server % self.services as u32
    }

    pub fn status(&self, server: u32) -> Status {
        self.listed[server as usize].status
    }

    /// Number of servers, including those not listed yet or no longer listed.
    pub fn server_count(&self) -> usize {
        self.listed.len()
    }

    /// Counts the changes made since `from` that have not been sent, once for each gateway concerned.
    pub fn undelivered_changes(&self, from: Nanos) -> usize {
        let all = self.agents.iter().flat_map(|agent| &agent.pending);
        all.filter(|change| self.changes[**change as usize].at >= from).count()
    }

    /// Changes a server's status in the list, and returns the agent writes that this newly schedules.
    pub fn record_change(&mut self, now: Nanos, server: u32, status: Status, since_ms: u64) -> Vec<DueWrite> {
        self.listed[server as usize] = ListedServer { status, since_ms };
        let index = self.changes.len() as u32;
        self.changes.push(Change { at: now, server, status, since_ms });
        let mut due_writes = Vec::new();
        for number in &self.agents_by_service[self.service_of(server) as usize] {
            let agent = &mut self.agents[*number as usize];
            agent.pending.push(index);
            if agent.next_write.is_none() && !agent.is_disconnected {
                agent.next_write = Some(now + agent.delay);
                due_writes.push(DueWrite { agent: *number as usize, at: now + agent.delay });
            }
        }
        due_writes
    }

    /// Takes the pending changes whose delay has passed, for an agent to send. Returns `None` if there are none, the watch is
    /// closed, or the agent is down or disconnected.
    pub fn take_due_changes(&mut self, now: Nanos, agent: usize, watch_is_open: bool) -> Option<WatchData> {
        let agent = &mut self.agents[agent];
        agent.next_write = None;
        if !watch_is_open || !agent.is_up || agent.is_disconnected {
            return None;
        }
        let (changes, delay) = (&self.changes, agent.delay);
        let due_count = agent.pending.partition_point(|change| changes[*change as usize].at + delay <= now);
        let due: Vec<u32> = agent.pending.drain(..due_count).collect();
        (!due.is_empty()).then(|| WatchData { bytes: self.encode_update(&due), changes: due })
    }

    /// Schedules the agent's write of its first pending change. Returns the time, or `None` if nothing is pending, a write is
    /// already scheduled, or the agent can't write.
    pub fn schedule_next_write(&mut self, now: Nanos, agent: usize) -> Option<Nanos> {
        let agent = &mut self.agents[agent];
        let first = self.changes[*agent.pending.first()? as usize].at;
        if agent.next_write.is_some() || agent.is_disconnected || !agent.is_up {
            return None;
        }
        agent.next_write = Some((first + agent.delay).max(now));
        agent.next_write
    }

    /// Encodes changes as one incremental update.
    fn encode_update(&mut self, indexes: &[u32]) -> Rc<Vec<u8>> {
        if self.last_update.changes != indexes {
            let changes = indexes.iter().map(|change| &self.changes[*change as usize]);
            let entries = changes.map(|change| self.entry(change.server, change.status, change.since_ms));
            let index = indexes.last().map_or(1, |change| u64::from(*change) + 2);
            let bytes = Rc::new(encode_chunk(&encode_list(index, false, entries)));
            self.last_update = EncodedUpdate { changes: indexes.to_vec(), bytes };
        }
        self.last_update.bytes.clone()
    }

    fn entry(&self, server: u32, status: Status, since_ms: u64) -> Entry {
        Entry {
            name: server_name(server),
            address: SocketAddr::from((std::net::Ipv4Addr::from(0x0a00_0000 | server), 7070)),
            zone: self.zones[server as usize % self.zones.len()].clone(),
            cell: 0,
            status: status.name(),
            weight: 1.0,
            since_ms,
        }
    }

    /// The current list as an agent's gateway sees it, without the chunk framing.
    pub fn snapshot(&self, agent: usize) -> String {
        let services = &self.agents[agent].services;
        let all = self.listed.iter().enumerate().filter(|(server, listed)| {
            listed.status != Status::Gone && services.contains(&self.service_of(*server as u32))
        });
        let entries = all.map(|(server, listed)| self.entry(server as u32, listed.status, listed.since_ms));
        encode_list(self.index(), true, entries)
    }

    /// The agent's response to a watch request for changes after version `from`, or `None` if the agent is down.
    pub fn watch_response(&mut self, agent: usize, from: u64) -> Option<WatchData> {
        if !self.agents[agent].is_up {
            return None;
        }
        let mut bytes = WATCH_HEAD.to_vec();
        let mut changes = Vec::new();
        // A disconnected agent accepts the watch, but has nothing new to send.
        let disconnected = self.agents[agent].is_disconnected;
        if !disconnected && (from == 0 || from > self.index()) {
            changes = std::mem::take(&mut self.agents[agent].pending);
            bytes.extend_from_slice(&encode_chunk(&self.snapshot(agent)));
        } else if !disconnected {
            let pending = std::mem::take(&mut self.agents[agent].pending);
            let missed = pending.iter().filter(|change| u64::from(**change) + 2 > from);
            let missed: Vec<u32> = missed.copied().collect();
            if !missed.is_empty() {
                bytes.extend_from_slice(&self.encode_update(&missed));
            }
            changes = pending;
        }
        Some(WatchData { bytes: Rc::new(bytes), changes })
    }

    /// The current list for a gateway that starts with it, and the pending changes that this delivers.
    pub fn initial_list(&mut self, agent: usize) -> (String, Vec<u32>) {
        let pending = std::mem::take(&mut self.agents[agent].pending);
        (self.snapshot(agent), pending)
    }

    pub fn set_agent_up(&mut self, agent: usize, is_up: bool) {
        self.agents[agent].is_up = is_up;
    }

    pub fn is_agent_up(&self, agent: usize) -> bool {
        self.agents[agent].is_up
    }

    pub fn set_disconnected(&mut self, agent: usize, is_disconnected: bool) {
        self.agents[agent].is_disconnected = is_disconnected;
    }

    pub fn is_disconnected(&self, agent: usize) -> bool {
        self.agents[agent].is_disconnected
    }
}

/// Encodes a list object as an agent sends it.
fn encode_list(index: u64, is_snapshot: bool, entries: impl Iterator<Item = Entry>) -> String {
    let entries: Vec<serde_json::Value> = entries.map(|entry| entry.json(entry.address)).collect();
    serde_json::json!({"index": index, "snapshot": is_snapshot, "endpoints": entries}).to_string()
}

/// Wraps a line in a chunk of the watch response.
fn encode_chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}
