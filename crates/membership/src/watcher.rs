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
    Resting {
        /// When the rest is over.
        until: Nanos,
    },
}

/// What the driver is to do now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
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
pub const REST_FIRST: Nanos = 100_000_000;
/// The longest rest after a failure.
pub const REST_MOST: Nanos = 5_000_000_000;
/// With no message at all for so long, a watch is taken as broken (etcd sends progress notifications meanwhile).
pub const SILENT_MOST: Nanos = 15_000_000_000;

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
    pub unreadable: u64,
    /// Fresh ranges that were taken.
    pub reread: u64,
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
            rest: REST_FIRST,
            keys: BTreeMap::new(),
            unreadable: 0,
            reread: 0,
        }
    }

    /// The endpoint that is asked now.
    pub fn endpoint(&self) -> usize {
        self.at
    }

    /// Idle or rested: a range is asked.
    pub fn read(&mut self) -> Next {
        self.phase = Phase::Reading;
        Next::Range { endpoint: self.at, body: etcd::range_body(&self.prefix) }
    }

    /// The range's answer: the list replaced whole, then a watch from the next revision.
    pub fn ranged(&mut self, now: Nanos, reply: Reply, members: &mut Members) -> Next {
        let Reply::Range { revision, entries } = reply else { return self.broke(now) };
        let mut nodes = BTreeMap::new();
        self.keys.clear();
        for entry in entries {
            match nodes::parse(&entry.value) {
                Ok((address, node)) => {
                    self.keys.insert(entry.key, address.clone());
                    nodes.insert(address, node);
                }
                Err(_) => self.unreadable += 1,
            }
        }
        members.replace(now, Source::Etcd, nodes);
        (self.revision, self.rest) = (revision, REST_FIRST);
        self.phase = Phase::Watching { from: revision + 1 };
        Next::Watch { endpoint: self.at, body: etcd::watch_body(&self.prefix, revision + 1) }
    }

    /// One message of the watch stream.
    pub fn watched(&mut self, now: Nanos, reply: Reply, members: &mut Members) -> Next {
        match reply {
            Reply::Created { .. } => members.heard(now, Source::Etcd),
            Reply::Cancelled { .. } => return self.fresh(),
            Reply::Watched { revision, .. } if revision < self.revision => return self.fresh(),
            Reply::Watched { revision, changes } => {
                members.heard(now, Source::Etcd);
                changes.into_iter().for_each(|change| self.apply(now, change, members));
                self.revision = self.revision.max(revision);
            }
            Reply::Range { .. } => return self.broke(now),
        }
        Next::Nothing
    }

    fn apply(&mut self, now: Nanos, change: Change, members: &mut Members) {
        match change {
            Change::Put(entry) => match nodes::parse(&entry.value) {
                Ok((address, node)) => {
                    if let Some(old) =
                        self.keys.insert(entry.key, address.clone()).filter(|old| *old != address)
                    {
                        members.change(now, Source::Etcd, &old, None::<Node>);
                    }
                    members.change(now, Source::Etcd, &address, Some(node));
                }
                Err(_) => self.unreadable += 1,
            },
            Change::Delete(key) => {
                if let Some(address) = self.keys.remove(&key) {
                    members.change(now, Source::Etcd, &address, None);
                }
            }
        }
    }

    /// Compacted past what the watch asked for, or a member restored from an older state: read afresh.
    fn fresh(&mut self) -> Next {
        self.reread += 1;
        self.read()
    }

    /// The connection broke, an answer could not be read, or the watch was silent too long: rest, then the next
    /// endpoint. The list stays as it was.
    pub fn broke(&mut self, now: Nanos) -> Next {
        self.at = (self.at + 1) % self.endpoints;
        let until = now + self.rest;
        self.rest = (self.rest * 2).min(REST_MOST);
        self.phase = Phase::Resting { until };
        Next::Wait { until }
    }

    /// Time passed: a rest that is over leads to a range; a watch silent too long is broken.
    pub fn woke(&mut self, now: Nanos, members: &Members) -> Next {
        match self.phase {
            Phase::Resting { until } if now >= until => self.read(),
            Phase::Resting { until } => Next::Wait { until },
            Phase::Watching { .. }
                if members.silent_for(now, Source::Etcd).is_some_and(|quiet| quiet > SILENT_MOST) =>
            {
                self.broke(now)
            }
            Phase::Idle => self.read(),
            _ => Next::Nothing,
        }
    }
}

#[cfg(test)]
mod tests;
