//! Chooses among the endpoints of a subset by stride scheduling, so that even a few RPCs are spread nearly evenly while
//! no endpoint's next RPC can be predicted. An endpoint that is new, or that could not take an RPC when drawn, is set
//! to the median virtual time: so the whole fleet never owes RPCs to one endpoint at once.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A candidate whose load is above this multiple of the least loaded candidate's is skipped.
const MAX_LOAD_RATIO: f64 = 2.0;
/// An endpoint that was not drawn for a while lags behind the median virtual time by at most this, in mean strides.
const MAX_LAG: f64 = 2.0;
/// The first RPC of a gateway to a newly shared endpoint is delayed by a random part of this share of a stride. A whole
/// stride (1.0) would give an even load from the first second on, but a cold endpoint's budget that opens late adds to
/// the delay.
const FIRST_RPC_DELAY: f64 = 0.5;

/// The median virtual time is taken over at most this many endpoints, evenly spaced in the subset.
const MAX_MEDIAN_SAMPLES: usize = 256;

/// The virtual time that one RPC to an endpoint takes: the number of gateways that draw from it over its weight, scaled.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stride {
    /// While the gateways that have the endpoint in their subset draw from it.
    pub own: f64,
    /// While the whole fleet draws from it.
    pub shared: f64,
}

/// The virtual time of every endpoint: the sum of the strides of the RPCs sent to it.
#[derive(Debug, Default)]
pub(super) struct StrideScheduler {
    /// Random per incarnation; seeds the delay before the first RPC to a shared endpoint.
    salt: u64,
    strides: BTreeMap<u32, Stride>,
    virtual_times: BTreeMap<u32, f64>,
    /// The median virtual time over this gateway's subset.
    median: f64,
    /// Endpoints that the whole fleet draws from for now, in whichever subset they are: in the given order, and as a set.
    shared: Vec<u32>,
    shared_set: HashSet<u32>,
}

impl StrideScheduler {
    pub(super) fn new(salt: u64) -> StrideScheduler {
        StrideScheduler { salt, ..StrideScheduler::default() }
    }

    /// Replaces all endpoints and their strides; new endpoints start at the median.
    pub(super) fn set_strides(&mut self, strides: BTreeMap<u32, Stride>) {
        self.virtual_times.retain(|id, _| strides.contains_key(id));
        for id in strides.keys() {
            self.virtual_times.entry(*id).or_insert(self.median);
        }
        self.shared.retain(|id| strides.contains_key(id));
        self.shared_set.retain(|id| strides.contains_key(id));
        self.strides = strides;
    }

    /// Adds an endpoint, which starts at the median.
    pub(super) fn add(&mut self, id: u32, stride: Stride) {
        self.strides.insert(id, stride);
        self.virtual_times.entry(id).or_insert(self.median);
    }

    pub(super) fn remove(&mut self, removed: &BTreeSet<u32>) {
        for id in removed {
            self.strides.remove(id);
            self.virtual_times.remove(id);
        }
        for id in removed {
            self.remove_shared(*id);
        }
    }

    /// Removes an endpoint from the shared ones; whether it was one.
    fn remove_shared(&mut self, id: u32) -> bool {
        if !self.shared_set.remove(&id) {
            return false;
        }
        self.shared.retain(|other| *other != id);
        true
    }

    /// Picks among candidates given as (endpoint, current load): the one with the lowest virtual time, unless its load
    /// is far above the least; the first of equals.
    pub(super) fn pick(&mut self, candidates: &[(u32, f64)]) -> Option<u32> {
        let max_load =
            MAX_LOAD_RATIO * candidates.iter().map(|candidate| candidate.1).fold(f64::MAX, f64::min);
        candidates
            .iter()
            .filter(|candidate| candidate.1 > max_load)
            .for_each(|candidate| self.skip_turn(candidate.0));
        let eligible =
            candidates.iter().filter(|candidate| candidate.1 <= max_load).map(|candidate| candidate.0);
        eligible.min_by(|left, right| self.virtual_time(*left).total_cmp(&self.virtual_time(*right)))
    }

    /// The virtual time of an endpoint, at most [`MAX_LAG`] behind the median: an endpoint that a busy gateway could
    /// not reach for long is not owed all the RPCs that it missed.
    fn virtual_time(&self, id: u32) -> f64 {
        self.virtual_times.get(&id).copied().unwrap_or(self.median).max(self.median - MAX_LAG)
    }

    /// Raises the virtual time of an endpoint that could not take an RPC to the median.
    pub(super) fn skip_turn(&mut self, id: u32) {
        let virtual_time = self.virtual_time(id).max(self.median);
        self.virtual_times.insert(id, virtual_time);
    }

    /// Sets the endpoints that the whole fleet draws from. A newly shared endpoint starts a random part of a stride
    /// after the median. The lead over the median of one that is no longer shared is scaled to its own stride.
    pub(super) fn set_shared(&mut self, ids: Vec<u32>) {
        if ids == self.shared {
            return;
        }
        let shared_set: HashSet<u32> = ids.iter().copied().collect();
        for id in ids.iter().filter(|id| !self.shared_set.contains(id)).copied().collect::<Vec<u32>>() {
            self.delay_first_rpc(id);
        }
        for id in self.shared.iter().filter(|id| !shared_set.contains(id)).copied().collect::<Vec<u32>>() {
            self.scale_lead(id);
        }
        (self.shared, self.shared_set) = (ids, shared_set);
    }

    /// Adds an endpoint to those that the whole fleet draws from.
    pub(super) fn share(&mut self, id: u32) {
        if self.shared_set.contains(&id) {
            return;
        }
        self.delay_first_rpc(id);
        self.shared.push(id);
        self.shared_set.insert(id);
    }

    /// Removes an endpoint from those that the whole fleet draws from.
    pub(super) fn unshare(&mut self, id: u32) {
        if self.remove_shared(id) {
            self.scale_lead(id);
        }
    }

    /// Lets an endpoint start a random part of a stride after the median.
    fn delay_first_rpc(&mut self, id: u32) {
        let Some(stride) = self.strides.get(&id) else { return };
        let draw = xxh3_64_with_seed(&id.to_le_bytes(), self.salt) as f64 / u64::MAX as f64;
        self.virtual_times.insert(id, self.median + FIRST_RPC_DELAY * draw * stride.shared);
    }

    /// Scales the lead of an endpoint over the median from its shared stride to its own.
    fn scale_lead(&mut self, id: u32) {
        let (Some(virtual_time), Some(stride)) = (self.virtual_times.get_mut(&id), self.strides.get(&id))
        else {
            return;
        };
        let lead = (*virtual_time - self.median).max(0.0);
        *virtual_time -= lead * (1.0 - stride.own / stride.shared);
    }

    pub(super) fn shared(&self) -> &[u32] {
        &self.shared
    }

    pub(super) fn is_shared(&self, id: u32) -> bool {
        self.shared_set.contains(&id)
    }

    /// Records an RPC sent to this endpoint; `subset` is the gateway's subset, over which the median is taken.
    pub(super) fn record_sent(&mut self, id: u32, subset: &[u32]) {
        let Some(stride) = self.strides.get(&id) else { return };
        let virtual_time =
            self.virtual_time(id) + if self.shared_set.contains(&id) { stride.shared } else { stride.own };
        self.virtual_times.insert(id, virtual_time);
        let spacing = subset.len().div_ceil(MAX_MEDIAN_SAMPLES).max(1);
        let sampled = subset.iter().step_by(spacing);
        let mut virtual_times: Vec<f64> = sampled.map(|id| self.virtual_time(*id)).collect();
        virtual_times.sort_unstable_by(f64::total_cmp);
        self.median = virtual_times.get(virtual_times.len() / 2).copied().unwrap_or(0.0);
    }
}
