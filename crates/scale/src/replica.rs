//! A gateway's replica of discovery's list, without the socket: the watch's state machine, the table of servers and the
//! decision module, fed the bytes of the watch's answer.

use crate::ScaleError;
use crate::deployment::{START, Service, zone_number};
use gateway::list::{Entry, Told, Watch};
use gateway::servers::Servers;
use martenramp::brain::Brain;
use martenramp::host::{Listed, Nanos};

/// The head of a watch's answer.
pub const WATCH_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// So much of the watch waits in a gateway's buffer at most.
const BUFFER: usize = 64 << 10;
/// The longest object that a gateway within 128 MB takes.
const OBJECT_MOST: usize = 128 << 20 >> 4;

/// Reads the bytes of an answer, from its head on, as they come through a gateway's buffer.
pub fn read_watch(bytes: &[u8]) -> Result<Vec<Told>, ScaleError> {
    let mut watch = Watch::new(0, OBJECT_MOST);
    let mut told = Vec::new();
    feed(&mut watch, WATCH_HEAD, &mut told)?;
    feed(&mut watch, bytes, &mut told)?;
    Ok(told)
}

fn feed(watch: &mut Watch, bytes: &[u8], told: &mut Vec<Told>) -> Result<(), ScaleError> {
    let mut rest = bytes;
    while !rest.is_empty() {
        let piece = &rest[..rest.len().min(BUFFER)];
        let used = watch.feed(START, piece, told).map_err(refused)?;
        if used == 0 {
            return Err(refused("cut short"));
        }
        rest = &rest[used..];
    }
    Ok(())
}

fn refused(why: &'static str) -> ScaleError {
    ScaleError::Refused { why }
}

/// A gateway's list, its servers and the module.
pub struct Replica {
    watch: Watch,
    servers: Servers,
    pub brain: Brain,
}

impl Replica {
    /// A gateway of this service that knows no server yet, with its watch answered.
    pub fn new(service: &Service) -> Result<Replica, ScaleError> {
        let mut watch = Watch::new(0, OBJECT_MOST);
        feed(&mut watch, WATCH_HEAD, &mut Vec::new())?;
        Ok(Replica { watch, servers: Servers::default(), brain: Brain::new(1, service.settings()) })
    }

    /// Bytes of the watch came: what they tell is taken.
    pub fn feed(&mut self, now: Nanos, bytes: &[u8]) -> Result<(), ScaleError> {
        let mut told = Vec::new();
        feed(&mut self.watch, bytes, &mut told)?;
        told.iter().for_each(|told| self.take(now, told));
        Ok(())
    }

    /// Takes a list or a change, as `Gateway::list` does for its connections' sake and the module's.
    pub fn take(&mut self, now: Nanos, told: &Told) {
        if told.whole {
            self.servers.by_number.values_mut().for_each(|server| server.listed = false);
        }
        let list: Vec<Listed> = told.entries.iter().filter_map(|entry| self.listed(entry)).collect();
        self.brain.listed(now, told.whole, &list);
        self.servers.forget();
    }

    fn listed(&mut self, entry: &Entry) -> Option<Listed> {
        let came_up = entry.since_ms.saturating_mul(1_000_000);
        let server = if entry.gone {
            let known = self.servers.known(&entry.name)?;
            self.servers.by_number.entry(known).and_modify(|server| server.listed = false);
            known
        } else {
            self.servers.list(&entry.name, entry.address, came_up, entry.ready).0
        };
        Some(Listed {
            service: 0,
            server,
            key: martenramp::spread::key(&entry.name),
            zone: zone_number(&entry.zone).unwrap_or(u16::MAX),
            kind: 0,
            cell: entry.cell,
            ready: entry.ready,
            weight: entry.weight,
            came_up,
        })
    }
}
