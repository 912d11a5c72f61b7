//! A gateway's replica of discovery's list, without the socket: the watch's state machine, the table of servers and the
//! decision module, fed the bytes of the watch's answer.

use crate::ScaleError;
use crate::deployment::{START_TIME, ServiceConfig, zone_names};
use gateway::list::{ListUpdate, Watch};
use gateway::list_diff::{ListDiff, ServerChange};
use gateway::name_ids::NameIds;
use gateway::servers::Servers;
use martenramp::admission::AdmissionController;
use martenramp::host::{DiscoveredServer, Nanos};

/// The head of a watch's answer.
pub const WATCH_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// So much of the watch waits in a gateway's buffer at most.
const BUFFER: usize = 64 << 10;
/// Bytes that the entries of one object may take at a gateway within 128 MB.
const ENTRIES_MEMORY: usize = (128 << 20) / 4;

/// Reads the bytes of an answer, from its head on, as they come through a gateway's buffer.
pub fn parse_watch(bytes: &[u8]) -> Result<Vec<ListUpdate>, ScaleError> {
    parse_watch_within(ENTRIES_MEMORY, bytes)
}

/// The same where the entries of one object may take so many bytes.
pub fn parse_watch_within(entries_memory: usize, bytes: &[u8]) -> Result<Vec<ListUpdate>, ScaleError> {
    let mut watch = Watch::new(0, entries_memory);
    let mut told = Vec::new();
    feed(&mut watch, WATCH_HEAD, &mut told)?;
    feed(&mut watch, bytes, &mut told)?;
    Ok(told)
}

fn feed(watch: &mut Watch, bytes: &[u8], told: &mut Vec<ListUpdate>) -> Result<(), ScaleError> {
    let mut rest = bytes;
    while !rest.is_empty() {
        let piece = &rest[..rest.len().min(BUFFER)];
        let used = watch.feed(START_TIME, piece, told).map_err(refused)?;
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
    directory: NameIds,
    pub controller: AdmissionController,
}

impl Replica {
    /// A gateway of this service that knows no server yet, with its watch answered.
    pub fn new(service: &ServiceConfig) -> Result<Replica, ScaleError> {
        let mut watch = Watch::new(0, ENTRIES_MEMORY);
        feed(&mut watch, WATCH_HEAD, &mut Vec::new())?;
        let directory = NameIds::new(zone_names(), Vec::new());
        Ok(Replica {
            watch,
            servers: Servers::default(),
            directory,
            controller: AdmissionController::new(1, service.flat_settings()),
        })
    }

    /// Bytes of the watch came: what they tell is taken.
    pub fn feed(&mut self, now: Nanos, bytes: &[u8]) -> Result<(), ScaleError> {
        let mut told = Vec::new();
        feed(&mut self.watch, bytes, &mut told)?;
        told.iter().for_each(|told| self.apply(now, told));
        Ok(())
    }

    /// Takes a list or a change, as the gateway does for its connections' sake and the module's, but all in one turn.
    pub fn apply(&mut self, now: Nanos, told: &ListUpdate) {
        for list in apply_update(told.clone(), &mut self.servers, &mut self.directory) {
            self.controller.on_server_list(now, false, &list);
        }
        self.servers.remove_unused();
    }
}

/// Brings a list or a change into force in the table of servers: what the module is to be told, batch by batch.
pub fn apply_update(
    told: ListUpdate,
    servers: &mut Servers,
    directory: &mut NameIds,
) -> Vec<Vec<DiscoveredServer>> {
    let mut changes = ListDiff::new(told);
    let mut lists = Vec::new();
    while !changes.is_done() {
        let mut work = usize::MAX;
        let Some(batch) = changes.next_batch(servers, directory, &mut work) else { break };
        let changed = batch.unavailable.into_iter().chain(batch.available);
        lists.push(changed.filter_map(|change| listed(change, servers)).collect());
    }
    lists
}

fn listed(change: ServerChange, servers: &mut Servers) -> Option<DiscoveredServer> {
    match change.address {
        Some(address) => {
            let (server, _) = servers.upsert(&change.listed, address);
            Some(DiscoveredServer { server, ..change.listed })
        }
        None => servers.delist(change.listed.key).map(|(listed, _)| listed),
    }
}
