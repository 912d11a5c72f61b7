//! The state machine that follows an etcd prefix: it reads the range, then watches from the next revision.
//!
//! After a compaction, or if the revision goes back (a restored member), it reads the range again and replaces the list.
//! After a failed or silent connection it tries the next endpoint with exponential backoff, and the last known list stays
//! in use. Each phase is entered in one function only.

use crate::Nanos;
use crate::etcd::{self, Change, Reply};
use crate::nodes::{self, Members, Node, Source};
use std::collections::BTreeMap;

/// The phase of a watcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No request has been sent yet.
    Idle,
    /// A range request is pending.
    Reading,
    /// A watch was requested.
    Watching {
        /// The first revision of the watch.
        from: i64,
    },
    /// Waiting before the next endpoint is tried.
    BackingOff {
        /// When the wait ends.
        until: Nanos,
    },
}

/// What the driver has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// POST this body to `/v3/kv/range` at the endpoint.
    Range {
        /// The endpoint's index in the configuration.
        endpoint: usize,
        /// The request's body.
        body: String,
    },
    /// POST this body to `/v3/watch` at the endpoint and read the stream.
    Watch {
        /// The endpoint's index in the configuration.
        endpoint: usize,
        /// The request's body.
        body: String,
    },
    /// Call [`Watcher::handle_timer`] at this time.
    Wait {
        /// When to call it.
        until: Nanos,
    },
    /// Nothing to do until the next event.
    Nothing,
}

/// The wait after the first failure; each further failure doubles it.
pub const INITIAL_BACKOFF: Nanos = 100_000_000;
/// The longest wait after a failure.
pub const MAX_BACKOFF: Nanos = 5_000_000_000;
/// A watch without any message for longer than this is considered broken, as etcd sends progress notifications.
pub const WATCH_SILENCE_TIMEOUT: Nanos = 15_000_000_000;

/// Follows one prefix.
pub struct Watcher {
    prefix: Vec<u8>,
    endpoint_count: usize,
    endpoint: usize,
    /// The current phase.
    pub phase: Phase,
    /// The revision that the list reflects.
    pub revision: i64,
    backoff: Nanos,
    /// The address of each key: a delete event carries only the key.
    address_by_key: BTreeMap<Vec<u8>, String>,
    /// The number of values that could not be parsed, for logs.
    pub unreadable_values: u64,
    /// How often the range was read again after a compaction or a restored member, for logs.
    pub rereads: u64,
}

impl Watcher {
    /// Creates a watcher of this prefix with this number of endpoints.
    pub fn new(prefix: &[u8], endpoint_count: usize) -> Watcher {
        Watcher {
            prefix: prefix.to_vec(),
            endpoint_count: endpoint_count.max(1),
            endpoint: 0,
            phase: Phase::Idle,
            revision: 0,
            backoff: INITIAL_BACKOFF,
            address_by_key: BTreeMap::new(),
            unreadable_values: 0,
            rereads: 0,
        }
    }

    /// The index of the current endpoint.
    pub fn endpoint(&self) -> usize {
        self.endpoint
    }

    /// Starts to read the range; the only place that enters [`Phase::Reading`].
    pub fn start_range(&mut self) -> Action {
        self.phase = Phase::Reading;
        Action::Range { endpoint: self.endpoint, body: etcd::range_request_body(&self.prefix) }
    }

    /// Handles the range's reply: replaces the list, then watches from the next revision.
    pub fn handle_range_reply(&mut self, now: Nanos, reply: Reply, members: &mut Members) -> Action {
        let Reply::Range { revision, entries } = reply else { return self.handle_failure(now) };
        let mut nodes = BTreeMap::new();
        self.address_by_key.clear();
        for entry in entries {
            match nodes::parse_node(&entry.value) {
                Ok((address, node)) => {
                    self.address_by_key.insert(entry.key, address.clone());
                    nodes.insert(address, node);
                }
                Err(_) => self.unreadable_values += 1,
            }
        }
        members.replace_list(now, Source::Etcd, nodes);
        (self.revision, self.backoff) = (revision, INITIAL_BACKOFF);
        self.phase = Phase::Watching { from: revision + 1 };
        Action::Watch { endpoint: self.endpoint, body: etcd::watch_request_body(&self.prefix, revision + 1) }
    }

    /// Handles a message of the watch stream.
    pub fn handle_watch_message(&mut self, now: Nanos, reply: Reply, members: &mut Members) -> Action {
        match reply {
            Reply::Created { .. } => members.record_contact(now, Source::Etcd),
            Reply::Cancelled { .. } => return self.restart_from_range(),
            Reply::Events { revision, .. } if revision < self.revision => return self.restart_from_range(),
            Reply::Events { revision, changes } => {
                members.record_contact(now, Source::Etcd);
                changes.into_iter().for_each(|change| self.apply_change(now, change, members));
                self.revision = self.revision.max(revision);
            }
            Reply::Range { .. } => return self.handle_failure(now),
        }
        Action::Nothing
    }

    fn apply_change(&mut self, now: Nanos, change: Change, members: &mut Members) {
        match change {
            Change::Put(entry) => match nodes::parse_node(&entry.value) {
                Ok((address, node)) => {
                    if let Some(old) =
                        self.address_by_key.insert(entry.key, address.clone()).filter(|old| *old != address)
                    {
                        members.update(now, Source::Etcd, &old, None::<Node>);
                    }
                    members.update(now, Source::Etcd, &address, Some(node));
                }
                Err(_) => self.unreadable_values += 1,
            },
            Change::Delete(key) => {
                if let Some(address) = self.address_by_key.remove(&key) {
                    members.update(now, Source::Etcd, &address, None);
                }
            }
        }
    }

    /// Reads the range again: the watched revision was compacted, or a member was restored from an older state.
    fn restart_from_range(&mut self) -> Action {
        self.rereads += 1;
        self.start_range()
    }

    /// Handles a failure: the connection broke, a reply could not be parsed, or the watch was silent for too long. Backs off,
    /// then tries the next endpoint. The list stays in use.
    pub fn handle_failure(&mut self, now: Nanos) -> Action {
        self.endpoint = (self.endpoint + 1) % self.endpoint_count;
        let until = now + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.phase = Phase::BackingOff { until };
        Action::Wait { until }
    }

    /// Handles the passing of time: reads the range once the wait is over, and fails a watch that was silent for too long.
    pub fn handle_timer(&mut self, now: Nanos, members: &Members) -> Action {
        match self.phase {
            Phase::BackingOff { until } if now >= until => self.start_range(),
            Phase::BackingOff { until } => Action::Wait { until },
            Phase::Watching { .. }
                if members
                    .time_since_contact(now, Source::Etcd)
                    .is_some_and(|silence| silence > WATCH_SILENCE_TIMEOUT) =>
            {
                self.handle_failure(now)
            }
            Phase::Idle => self.start_range(),
            _ => Action::Nothing,
        }
    }
}

#[cfg(test)]
mod tests;
