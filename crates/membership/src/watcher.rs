//! Following etcd: a range of the prefix, then a watch from the next revision. A compaction or a revision that went
//! back (a restored member) leads to a fresh range that replaces the list whole; a broken or silent connection to a
//! rest that grows, on the next endpoint, while the last known list stays. Each change of phase is one function.

use crate::Nanos;
use crate::etcd::{self, Change, Reply};
use crate::nodes::{self, Members, Node, Source};
use std::collections::BTreeMap;

/// Where the watcher stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing is asked for.
    Idle,
    /// A range request is out.
    Reading,
    /// A watch stream is open from this revision on.
    Watching {
        /// The first revision that is watched.
        from: i64,
    },
    /// Waiting before the next endpoint is tried.
    BackingOff {
        /// When the rest is over.
        until: Nanos,
    },
}

/// What the driver is to do now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// POST this body to `/v3/kv/range` at the endpoint.
    Range {
        /// By its place in the configuration.
        endpoint: usize,
        /// The request's body.
        body: String,
    },
    /// POST this body to `/v3/watch` at the endpoint and read its stream.
    Watch {
        /// By its place in the configuration.
        endpoint: usize,
        /// The request's body.
        body: String,
    },
    /// Come back to `woke` then.
    Wait {
        /// When to come back.
        until: Nanos,
    },
    /// Nothing to do until something comes.
    Nothing,
}

/// The first rest after a failure, and the longest.
pub const INITIAL_BACKOFF: Nanos = 100_000_000;
/// The longest rest after a failure.
pub const MAX_BACKOFF: Nanos = 5_000_000_000;
/// With no message at all for so long, a watch is taken as broken (etcd sends progress notifications meanwhile).
pub const WATCH_SILENCE_TIMEOUT: Nanos = 15_000_000_000;

/// The state of following one prefix.
pub struct Watcher {
    prefix: Vec<u8>,
    endpoints: usize,
    at: usize,
    /// Where it stands.
    pub phase: Phase,
    /// The revision the list is as of.
    pub revision: i64,
    rest: Nanos,
    /// Each key's address, for deletes, which carry only the key.
    keys: BTreeMap<Vec<u8>, String>,
    /// Values that could not be read, and fresh ranges taken: for the logs.
    pub unreadable_values: u64,
    /// Fresh ranges that were taken.
    pub rereads: u64,
}

impl Watcher {
    /// A watcher of this prefix that has so many endpoints to ask.
    pub fn new(prefix: &[u8], endpoints: usize) -> Watcher {
        Watcher {
            prefix: prefix.to_vec(),
            endpoints: endpoints.max(1),
            at: 0,
            phase: Phase::Idle,
            revision: 0,
            rest: INITIAL_BACKOFF,
            keys: BTreeMap::new(),
            unreadable_values: 0,
            rereads: 0,
        }
    }

    /// The endpoint that is asked now.
    pub fn endpoint(&self) -> usize {
        self.at
    }

    /// Idle or rested: a range is asked.
    pub fn start_range(&mut self) -> Action {
        self.phase = Phase::Reading;
        Action::Range { endpoint: self.at, body: etcd::range_request_body(&self.prefix) }
    }

    /// The range's answer: the list replaced whole, then a watch from the next revision.
    pub fn handle_range_reply(&mut self, now: Nanos, reply: Reply, members: &mut Members) -> Action {
        let Reply::Range { revision, entries } = reply else { return self.handle_failure(now) };
        let mut nodes = BTreeMap::new();
        self.keys.clear();
        for entry in entries {
            match nodes::parse_node(&entry.value) {
                Ok((address, node)) => {
                    self.keys.insert(entry.key, address.clone());
                    nodes.insert(address, node);
                }
                Err(_) => self.unreadable_values += 1,
            }
        }
        members.replace_list(now, Source::Etcd, nodes);
        (self.revision, self.rest) = (revision, INITIAL_BACKOFF);
        self.phase = Phase::Watching { from: revision + 1 };
        Action::Watch { endpoint: self.at, body: etcd::watch_request_body(&self.prefix, revision + 1) }
    }

    /// One message of the watch stream.
    pub fn handle_watch_message(&mut self, now: Nanos, reply: Reply, members: &mut Members) -> Action {
        match reply {
            Reply::Created { .. } => members.record_contact(now, Source::Etcd),
            Reply::Cancelled { .. } => return self.restart_from_range(),
            Reply::Events { revision, .. } if revision < self.revision => return self.restart_from_range(),
            Reply::Events { revision, changes } => {
                members.record_contact(now, Source::Etcd);
                changes.into_iter().for_each(|change| self.apply(now, change, members));
                self.revision = self.revision.max(revision);
            }
            Reply::Range { .. } => return self.handle_failure(now),
        }
        Action::Nothing
    }

    fn apply(&mut self, now: Nanos, change: Change, members: &mut Members) {
        match change {
            Change::Put(entry) => match nodes::parse_node(&entry.value) {
                Ok((address, node)) => {
                    if let Some(old) =
                        self.keys.insert(entry.key, address.clone()).filter(|old| *old != address)
                    {
                        members.update(now, Source::Etcd, &old, None::<Node>);
                    }
                    members.update(now, Source::Etcd, &address, Some(node));
                }
                Err(_) => self.unreadable_values += 1,
            },
            Change::Delete(key) => {
                if let Some(address) = self.keys.remove(&key) {
                    members.update(now, Source::Etcd, &address, None);
                }
            }
        }
    }

    /// Compacted past what the watch asked for, or a member restored from an older state: read afresh.
    fn restart_from_range(&mut self) -> Action {
        self.rereads += 1;
        self.start_range()
    }

    /// The connection broke, an answer could not be read, or the watch was silent too long: rest, then the next
    /// endpoint. The list stays as it was.
    pub fn handle_failure(&mut self, now: Nanos) -> Action {
        self.at = (self.at + 1) % self.endpoints;
        let until = now + self.rest;
        self.rest = (self.rest * 2).min(MAX_BACKOFF);
        self.phase = Phase::BackingOff { until };
        Action::Wait { until }
    }

    /// Time passed: a rest that is over leads to a range; a watch silent too long is broken.
    pub fn handle_timer(&mut self, now: Nanos, members: &Members) -> Action {
        match self.phase {
            Phase::BackingOff { until } if now >= until => self.start_range(),
            Phase::BackingOff { until } => Action::Wait { until },
            Phase::Watching { .. }
                if members
                    .time_since_contact(now, Source::Etcd)
                    .is_some_and(|quiet| quiet > WATCH_SILENCE_TIMEOUT) =>
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
