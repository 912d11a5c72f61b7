//! A gateway's replica of the discovery list without sockets: feeds the bytes of a watch response through the watch state
//! machine and the server table into the decision module.

use crate::ScaleError;
use crate::deployment::{START_TIME, ServiceConfig, zone_names};
use gateway::list::{ListUpdate, Watch};
use gateway::list_diff::{ListDiff, ServerChange};
use gateway::name_ids::NameIds;
use gateway::servers::Servers;
use martenramp::admission::AdmissionController;
use martenramp::host::{DiscoveredServer, Nanos};

/// Status line and headers of a watch response.
pub const WATCH_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Size of a gateway's read buffer; the response is fed in pieces of at most this many bytes.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// Memory limit for the entries of one list object at a gateway with a 128 MB memory limit.
const MAX_ENTRIES_BYTES: usize = (128 << 20) / 4;

/// Parses the body of a watch response, in pieces as a gateway's read buffer delivers them.
pub fn parse_watch(bytes: &[u8]) -> Result<Vec<ListUpdate>, ScaleError> {
    parse_watch_within(MAX_ENTRIES_BYTES, bytes)
}

/// Like [`parse_watch`], with the given memory limit for the entries of one list object.
pub fn parse_watch_within(max_entries_bytes: usize, bytes: &[u8]) -> Result<Vec<ListUpdate>, ScaleError> {
    let mut watch = Watch::new(0, max_entries_bytes);
    let mut updates = Vec::new();
    feed(&mut watch, WATCH_HEAD, &mut updates)?;
    feed(&mut watch, bytes, &mut updates)?;
    Ok(updates)
}

fn feed(watch: &mut Watch, bytes: &[u8], updates: &mut Vec<ListUpdate>) -> Result<(), ScaleError> {
    let mut rest = bytes;
    while !rest.is_empty() {
        let piece = &rest[..rest.len().min(READ_BUFFER_BYTES)];
        let consumed = watch.feed(START_TIME, piece, updates).map_err(parse_error)?;
        if consumed == 0 {
            return Err(parse_error("watch response is truncated"));
        }
        rest = &rest[consumed..];
    }
    Ok(())
}

fn parse_error(why: &'static str) -> ScaleError {
    ScaleError::Refused { why }
}

/// A gateway's list watch, server table and decision module.
pub struct Replica {
    watch: Watch,
    servers: Servers,
    name_ids: NameIds,
    pub controller: AdmissionController,
}

impl Replica {
    /// A gateway with an empty server table that has received the head of its watch response.
    pub fn new(service: &ServiceConfig) -> Result<Replica, ScaleError> {
        let mut watch = Watch::new(0, MAX_ENTRIES_BYTES);
        feed(&mut watch, WATCH_HEAD, &mut Vec::new())?;
        let name_ids = NameIds::new(zone_names(), Vec::new());
        Ok(Replica {
            watch,
            servers: Servers::default(),
            name_ids,
            controller: AdmissionController::new(1, service.flat_settings()),
        })
    }

    /// Parses bytes of the watch response and applies the updates that they complete.
    pub fn feed(&mut self, now: Nanos, bytes: &[u8]) -> Result<(), ScaleError> {
        let mut updates = Vec::new();
        feed(&mut self.watch, bytes, &mut updates)?;
        updates.iter().for_each(|update| self.apply(now, update));
        Ok(())
    }

    /// Applies a snapshot or update to the server table and the decision module. The gateway spreads this work over several
    /// event-loop turns; here it is done in one.
    pub fn apply(&mut self, now: Nanos, update: &ListUpdate) {
        for list in apply_update(update.clone(), &mut self.servers, &mut self.name_ids) {
            self.controller.on_server_list(now, false, &list);
        }
        self.servers.remove_unused();
    }
}

/// Applies a snapshot or update to the server table and returns the batches of changes to pass to the decision module.
pub fn apply_update(
    update: ListUpdate,
    servers: &mut Servers,
    name_ids: &mut NameIds,
) -> Vec<Vec<DiscoveredServer>> {
    let mut diff = ListDiff::new(update);
    let mut batches = Vec::new();
    while !diff.is_done() {
        let mut budget = usize::MAX;
        let Some(batch) = diff.next_batch(servers, name_ids, &mut budget) else { break };
        let changed = batch.unavailable.into_iter().chain(batch.available);
        batches.push(changed.filter_map(|change| apply_change(change, servers)).collect());
    }
    batches
}

fn apply_change(change: ServerChange, servers: &mut Servers) -> Option<DiscoveredServer> {
    match change.address {
        Some(address) => {
            let (server, _) = servers.upsert(&change.listed, address);
            Some(DiscoveredServer { server, ..change.listed })
        }
        None => servers.delist(change.listed.key).map(|(listed, _)| listed),
    }
}
