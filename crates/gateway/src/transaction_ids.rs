//! The transaction ids of RPCs that must not be taken a second time: those that are open, and for a while those that may have
//! run for a client that was not served.

use martenramp::host::Nanos;
use std::collections::{HashMap, VecDeque};

/// How long an id is remembered after its RPC ended: ten times the longest deadline that a shutdown allows for.
const RETENTION: Nanos = 30_000_000_000;
/// Longer ids are not remembered; the protocol's have 16 characters.
const MAX_REMEMBERED_LEN: usize = 64;
/// Estimated memory of a remembered id with its places in both collections, in bytes.
const REMEMBERED_SIZE: usize = 256;

type TransactionId = Box<[u8]>;

/// What is known of an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IdState {
    Open,
    /// Remembered until this time.
    MayHaveRun(Nanos),
}

/// The ids that are open or remembered.
#[derive(Debug, Default)]
pub struct TransactionIds {
    states: HashMap<TransactionId, IdState>,
    /// The remembered ids, oldest first, with the times until which they are remembered.
    remembered: VecDeque<(Nanos, TransactionId)>,
    max_remembered: usize,
}

impl TransactionIds {
    /// Remembered ids may take this much memory, in bytes; beyond it the oldest are forgotten early.
    pub fn new(remembered_memory: usize) -> TransactionIds {
        TransactionIds { max_remembered: remembered_memory / REMEMBERED_SIZE, ..TransactionIds::default() }
    }

    /// Opens an id; false if it is open or remembered, in which case its RPC must not be taken.
    pub fn open(&mut self, id: &[u8], now: Nanos) -> bool {
        self.forget_old(now);
        if self.states.contains_key(id) {
            return false;
        }
        self.states.insert(id.into(), IdState::Open);
        true
    }

    /// Closes an id whose RPC can't run any more for this process, or was served.
    pub fn close(&mut self, id: &[u8]) {
        if self.states.get(id) == Some(&IdState::Open) {
            self.states.remove(id);
        }
    }

    /// Closes an id whose RPC may have run, or may run yet, and whose client was not served.
    pub fn remember(&mut self, id: &[u8], now: Nanos) {
        self.forget_old(now);
        if id.is_empty() || id.len() > MAX_REMEMBERED_LEN || self.max_remembered == 0 {
            return self.close(id);
        }
        let until = now + RETENTION;
        let previous = self.states.insert(id.into(), IdState::MayHaveRun(until));
        if matches!(previous, Some(IdState::MayHaveRun(_))) {
            self.remembered.retain(|(_, other)| &**other != id);
        }
        self.remembered.push_back((until, id.into()));
        while self.remembered.len() > self.max_remembered {
            self.forget_first();
        }
    }

    /// The number of ids that are remembered.
    pub fn remembered_count(&self) -> usize {
        self.remembered.len()
    }

    fn forget_old(&mut self, now: Nanos) {
        while self.remembered.front().is_some_and(|(until, _)| *until <= now) {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some((_, id)) = self.remembered.pop_front() {
            self.states.remove(&id);
        }
    }
}
