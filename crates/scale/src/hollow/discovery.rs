//! Discovery for a hollow fleet: one true list of servers with its changes, and an agent for each played gateway that tells
//! it the servers of the services that it meets, in the protocol's own lines.

use super::Nanos;
use standins::discovery::Entry;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// The empty line that an agent writes while nothing changes, as a chunk, and how often.
pub const HEARTBEAT: &[u8] = b"1\r\n\n\r\n";
pub const HEARTBEAT_EVERY: Nanos = 2_000_000_000;
/// The head of the answer to a watch request.
pub const WATCH_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What the list says of a server.
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

/// A server as the true list has it.
#[derive(Clone, Copy, Debug)]
struct Listed {
    status: Status,
    since_ms: u64,
}

/// One change of the true list.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    pub at: Nanos,
    pub server: u32,
    pub status: Status,
    since_ms: u64,
}

/// The name of a server by its number, and the other way round.
pub fn server_name(server: u32) -> String {
    format!("s{server:04}")
}

pub fn server_number(name: &str) -> u32 {
    name.trim_start_matches('s').parse().unwrap_or(u32::MAX)
}

/// An agent, which serves one gateway.
struct Agent {
    /// Services that its gateway meets.
    services: BTreeSet<u32>,
    /// Its delay between a change of the list and the line.
    delay: Nanos,
    /// Places of the changes that its gateway has yet to be told.
    untold: Vec<u32>,
    /// When it writes next, if that is set.
    writes_at: Option<Nanos>,
    is_up: bool,
    /// Its way to the source is cut.
    is_cut: bool,
}

/// An agent writes at this time.
#[derive(Clone, Copy, Debug)]
pub struct DueWrite {
    pub agent: usize,
    pub at: Nanos,
}

/// Lines that an agent writes at once, and which changes they bring into force.
pub struct WatchData {
    pub bytes: Rc<Vec<u8>>,
    pub changes: Vec<u32>,
}

/// Changes, by their places, as a line tells them.
#[derive(Default)]
struct Object {
    places: Vec<u32>,
    bytes: Rc<Vec<u8>>,
}

/// The true list, its changes and all agents.
pub struct Discovery {
    zones: Vec<String>,
    services: usize,
    listed: Vec<Listed>,
    pub changes: Vec<Change>,
    agents: Vec<Agent>,
    /// By service, the agents whose gateways meet it.
    meets: Vec<Vec<u32>>,
    /// The object written last, as agents that tell the same changes write the same bytes.
    last_object: Object,
}

impl Discovery {
    /// Servers from `ready` on are not listed yet.
    pub fn new(zones: &[String], services: usize, servers: usize, ready: usize) -> Discovery {
        let listed = |server: usize| Listed {
            status: if server < ready { Status::Ready } else { Status::Gone },
            since_ms: 0,
        };
        Discovery {
            zones: zones.to_vec(),
            services,
            listed: (0..servers).map(listed).collect(),
            changes: Vec::new(),
            agents: Vec::new(),
            meets: vec![Vec::new(); services],
            last_object: Object::default(),
        }
    }

    /// An agent for one more gateway.
    pub fn add_agent(&mut self, services: BTreeSet<u32>, delay: Nanos) {
        let agent = self.agents.len() as u32;
        services.iter().for_each(|service| self.meets[*service as usize].push(agent));
        self.agents.push(Agent {
            services,
            delay,
            untold: Vec::new(),
            writes_at: None,
            is_up: true,
            is_cut: false,
        });
    }

    /// The version of the true list; it begins with 1.
    pub fn index(&self) -> u64 {
        self.changes.len() as u64 + 1
    }

    pub fn service_of(&self, server: u32) -> u32 {
        server % self.services as u32
    }

    pub fn status(&self, server: u32) -> Status {
        self.listed[server as usize].status
    }

    /// Servers that were ever listed or are to be.
    pub fn server_count(&self) -> usize {
        self.listed.len()
    }

    /// Changes since `from` that gateways have yet to be told.
    pub fn undelivered_changes(&self, from: Nanos) -> usize {
        let all = self.agents.iter().flat_map(|agent| &agent.untold);
        all.filter(|place| self.changes[**place as usize].at >= from).count()
    }

    /// Changes the true list. Agents that are to write for it and were not yet.
    pub fn record_change(&mut self, now: Nanos, server: u32, status: Status, since_ms: u64) -> Vec<DueWrite> {
        self.listed[server as usize] = Listed { status, since_ms };
        let place = self.changes.len() as u32;
        self.changes.push(Change { at: now, server, status, since_ms });
        let mut to_write = Vec::new();
        for agent in &self.meets[self.service_of(server) as usize] {
            let at = &mut self.agents[*agent as usize];
            at.untold.push(place);
            if at.writes_at.is_none() && !at.is_cut {
                at.writes_at = Some(now + at.delay);
                to_write.push(DueWrite { agent: *agent as usize, at: now + at.delay });
            }
        }
        to_write
    }

    /// An agent writes what it may know by now and has not told; nothing if no watch is open or nothing is new.
    pub fn take_due_changes(&mut self, now: Nanos, agent: usize, watch_is_open: bool) -> Option<WatchData> {
        let at = &mut self.agents[agent];
        at.writes_at = None;
        if !watch_is_open || !at.is_up || at.is_cut {
            return None;
        }
        let (changes, delay) = (&self.changes, at.delay);
        let known = at.untold.partition_point(|place| changes[*place as usize].at + delay <= now);
        let told: Vec<u32> = at.untold.drain(..known).collect();
        (!told.is_empty()).then(|| WatchData { bytes: self.object(&told), changes: told })
    }

    /// When an agent has to write what it holds back, if it does.
    pub fn schedule_next_write(&mut self, now: Nanos, agent: usize) -> Option<Nanos> {
        let at = &mut self.agents[agent];
        let first = self.changes[*at.untold.first()? as usize].at;
        if at.writes_at.is_some() || at.is_cut || !at.is_up {
            return None;
        }
        at.writes_at = Some((first + at.delay).max(now));
        at.writes_at
    }

    /// Changes as one line of the list.
    fn object(&mut self, places: &[u32]) -> Rc<Vec<u8>> {
        if self.last_object.places != places {
            let changes = places.iter().map(|place| &self.changes[*place as usize]);
            let entries = changes.map(|change| self.entry(change.server, change.status, change.since_ms));
            let index = places.last().map_or(1, |place| u64::from(*place) + 2);
            let bytes = Rc::new(chunk(&object(index, false, entries)));
            self.last_object = Object { places: places.to_vec(), bytes };
        }
        self.last_object.bytes.clone()
    }

    fn entry(&self, server: u32, status: Status, since_ms: u64) -> Entry {
        Entry {
            name: server_name(server),
            address: SocketAddr::from((std::net::Ipv4Addr::from(0x0a00_0000 | server), 7070)),
            zone: self.zones[server as usize % self.zones.len()].clone(),
            status: status.name(),
            weight: 1.0,
            since_ms,
        }
    }

    /// The whole list of an agent's gateway as it stands now, without a chunk's frame.
    pub fn snapshot(&self, agent: usize) -> String {
        let services = &self.agents[agent].services;
        let all = self.listed.iter().enumerate().filter(|(server, listed)| {
            listed.status != Status::Gone && services.contains(&self.service_of(*server as u32))
        });
        let entries = all.map(|(server, at)| self.entry(server as u32, at.status, at.since_ms));
        object(self.index(), true, entries)
    }

    /// The answer to a watch request for what comes after a version, if the agent takes it.
    pub fn watch_response(&mut self, agent: usize, from: u64) -> Option<WatchData> {
        if !self.agents[agent].is_up {
            return None;
        }
        let mut bytes = WATCH_HEAD.to_vec();
        let mut changes = Vec::new();
        // An agent that is cut off from the source tells nothing new.
        let cut = self.agents[agent].is_cut;
        if !cut && (from == 0 || from > self.index()) {
            changes = std::mem::take(&mut self.agents[agent].untold);
            bytes.extend_from_slice(&chunk(&self.snapshot(agent)));
        } else if !cut {
            let untold = std::mem::take(&mut self.agents[agent].untold);
            let missed = untold.iter().filter(|place| u64::from(**place) + 2 > from);
            let missed: Vec<u32> = missed.copied().collect();
            if !missed.is_empty() {
                bytes.extend_from_slice(&self.object(&missed));
            }
            changes = untold;
        }
        Some(WatchData { bytes: Rc::new(bytes), changes })
    }

    /// A gateway starts on the list as it stands: what was untold is known to it.
    pub fn initial_list(&mut self, agent: usize) -> (String, Vec<u32>) {
        let untold = std::mem::take(&mut self.agents[agent].untold);
        (self.snapshot(agent), untold)
    }

    pub fn set_agent_up(&mut self, agent: usize, is_up: bool) {
        self.agents[agent].is_up = is_up;
    }

    pub fn is_agent_up(&self, agent: usize) -> bool {
        self.agents[agent].is_up
    }

    pub fn set_disconnected(&mut self, agent: usize, is_cut: bool) {
        self.agents[agent].is_cut = is_cut;
    }

    pub fn is_disconnected(&self, agent: usize) -> bool {
        self.agents[agent].is_cut
    }
}

/// An object of the list as an agent writes it.
fn object(index: u64, whole: bool, entries: impl Iterator<Item = Entry>) -> String {
    let entries: Vec<serde_json::Value> = entries.map(|entry| entry.json(entry.address)).collect();
    serde_json::json!({"index": index, "snapshot": whole, "endpoints": entries}).to_string()
}

/// A line as a chunk of the watch's answer.
fn chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}
