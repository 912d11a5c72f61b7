//! Deterministic subsetting: chooses the endpoints of a service that each gateway draws from. Every gateway computes
//! its subset by itself, without I/O and without talking to the others, and the load is still even over the fleet.
//! `docs/spread-design.md` compares the alternatives.
//!
//! From its number, the size of the fleet and the service's endpoints, every gateway computes the same [`table`] of
//! (gateway, endpoint) pairs and keeps its own row. Every endpoint is in nearly the same number of subsets, whatever
//! the size of the fleet, and a change of the list moves few pairs, as no hash depends on another. The subsets of each
//! zone are computed separately, so that every gateway has its share of each zone and the loss of one zone moves
//! nothing in the others.
//!
//! Of a few endpoints drawn at random from its subset, a gateway sends to the one that has received the fewest RPCs for its
//! share (see [`stride`]).
//!
//! A change of the list takes effect at once where it must: removed endpoints are no longer drawn, and added ones can
//! be drawn. The table is then recomputed in steps of bounded work, which may cover many changes at once.

mod assignment;
mod candidates;
mod local_fill;
mod stride;
mod table;

use assignment::Assignment;
use std::collections::{BTreeMap, BTreeSet};
use stride::{Stride, StrideScheduler};
use table::{Row, Table};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Factor on the stride of an endpoint in another zone.
const OTHER_ZONE_FACTOR: f64 = 1.1;
/// Lower weights are raised to this one.
const MIN_WEIGHT: f64 = 0.05;
/// Cost per endpoint of computing the order and the strides, in units of [`Subsetter::advance`].
const ORDER_UNITS: usize = 32;
/// Endpoints are repeated in the order at most this often in the mean. Guards against weights that lie so far apart that the
/// order would take all memory; heavier endpoints then get less than by their weight.
const MAX_MEAN_REPEATS: f64 = 16.0;

/// A server of the service, as listed by discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// This gateway's own number for the server.
    pub id: u32,
    /// Hash of the server's name, the same at every gateway (see [`key`]).
    pub key: u64,
    pub zone: u16,
    pub weight: f64,
    /// Whether the server is in this gateway's zone.
    pub same_zone: bool,
}

/// The key of a server's name, the same at every gateway.
pub fn key(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// One gateway's subset of the endpoints of one service, and the scheduler that chooses among them.
#[derive(Debug, Default)]
pub struct Subsetter {
    /// This gateway's number in the fleet, if it is configured.
    number: Option<usize>,
    fleet_size: usize,
    /// Random per incarnation; seeds the order of the list for a gateway without a number.
    salt: u64,
    /// The number of subsets that an endpoint of mean weight is to be in; raised where gateways would have too few
    /// endpoints.
    subset_count: f64,
    table: Table,
    /// A completed table, and the order derived from it, before they take effect.
    assignment: Option<Box<Assignment>>,
    pending: Option<PendingOrder>,
    /// The means that strides are relative to.
    means: Means,
    /// Ids of all endpoints: first this gateway's subset, then the others in an order of the gateway's own.
    order: Vec<u32>,
    subset_len: usize,
    scheduler: StrideScheduler,
}

/// Means over all endpoints, as of the last table.
#[derive(Clone, Copy, Debug, Default)]
struct Means {
    weight: f64,
    stride: f64,
}

/// An order that takes effect at the next step.
#[derive(Debug)]
struct PendingOrder {
    row: Row,
    endpoints: Vec<Endpoint>,
    strides: BTreeMap<u32, Stride>,
}

impl Subsetter {
    /// `number` counts from 0 and stays the same after a restart; `fleet_size` is the number of gateways.
    pub fn new(number: Option<usize>, fleet_size: usize, salt: u64) -> Subsetter {
        let fleet_size = fleet_size.max(number.map_or(1, |number| number + 1));
        let (table, scheduler) = (Table::new(fleet_size), StrideScheduler::new(salt));
        Subsetter { number, fleet_size, salt, table, scheduler, ..Subsetter::default() }
    }

    /// Changes the number of gateways, which requires the whole table to be recomputed.
    pub fn set_fleet_size(&mut self, fleet_size: usize) {
        self.fleet_size = fleet_size.max(self.number.map_or(1, |number| number + 1));
        let endpoints: Vec<Endpoint> = self.table.endpoints().copied().collect();
        self.table = Table::new(self.fleet_size);
        (self.assignment, self.pending) = (None, None);
        self.table.set_count(self.subset_count);
        endpoints.into_iter().for_each(|endpoint| self.table.add(endpoint));
    }

    /// Replaces the whole list and computes the subset to the end. Every endpoint of mean weight is to be in `subset_count`
    /// subsets, or in more where gateways would have too few endpoints.
    pub fn set_endpoints(&mut self, endpoints: Vec<Endpoint>, subset_count: f64) {
        self.replace_endpoints(endpoints, subset_count);
        self.finish();
    }

    /// Replaces the whole list; [`Subsetter::advance`] computes the subset.
    pub fn replace_endpoints(&mut self, endpoints: Vec<Endpoint>, subset_count: f64) {
        let listed: BTreeSet<u32> = endpoints.iter().map(|endpoint| endpoint.id).collect();
        let removed = self.table.endpoints().map(|endpoint| endpoint.id).filter(|id| !listed.contains(id));
        let removed: Vec<u32> = removed.collect();
        self.apply_change(&removed, endpoints, subset_count);
    }

    /// Applies a change of the list: the endpoints that were removed, and those that were added or modified. Removed
    /// endpoints are no longer drawn; added ones can be drawn, and get their place in the subsets once
    /// [`Subsetter::advance`] has recomputed them.
    pub fn apply_change(&mut self, removed: &[u32], added: Vec<Endpoint>, subset_count: f64) {
        if self.subset_count != subset_count {
            self.subset_count = subset_count;
            self.table.set_count(subset_count);
        }
        let mut removed: BTreeSet<u32> = removed.iter().copied().collect();
        let is_new = |endpoint: &Endpoint| self.table.endpoint(endpoint.id) != Some(endpoint);
        let added: Vec<Endpoint> = added.into_iter().filter(is_new).collect();
        removed.extend(added.iter().map(|endpoint| endpoint.id));
        removed.retain(|id| self.table.endpoint(*id).is_some());
        if !removed.is_empty() || !added.is_empty() {
            self.pending = None;
        }
        removed.iter().for_each(|id| self.table.remove(*id));
        self.remove_from_order(&removed);
        for endpoint in added {
            self.table.add(endpoint);
            self.order.push(endpoint.id);
            self.scheduler.add(endpoint.id, self.stride(&endpoint));
        }
    }

    fn remove_from_order(&mut self, removed: &BTreeSet<u32>) {
        if removed.is_empty() {
            return;
        }
        // Most changes are of one endpoint, for which no set has to be searched.
        match removed.first() {
            Some(only) if removed.len() == 1 => self.retain_in_order(|id| id != only),
            _ => self.retain_in_order(|id| !removed.contains(id)),
        }
        self.scheduler.remove(removed);
    }

    fn retain_in_order(&mut self, keep: impl Fn(&u32) -> bool) {
        let kept_in_subset = self.order[..self.subset_len].iter().filter(|id| keep(id)).count();
        self.order.retain(|id| keep(id));
        self.subset_len = kept_in_subset;
    }

    /// Whether the subset matches the current list.
    pub fn is_up_to_date(&self) -> bool {
        self.table.is_done() && self.assignment.is_none()
    }

    /// Computes the subset to the end.
    pub fn finish(&mut self) {
        while !self.is_up_to_date() {
            let mut units = usize::MAX;
            self.advance(&mut units);
        }
    }

    /// Continues computing the subset until `units` (some nanoseconds each) are used up, and subtracts those it used.
    /// Returns whether a new subset has taken effect; the list may have changed since that subset was begun.
    pub fn advance(&mut self, units: &mut usize) -> bool {
        if let Some(pending) = self.pending.take() {
            self.assignment = None;
            *units = units.saturating_sub(ORDER_UNITS * pending.endpoints.len());
            self.set_order(&pending.row, &pending.endpoints, &pending.strides);
            self.scheduler.set_strides(pending.strides);
            return true;
        }
        if self.assignment.is_none() {
            self.assignment = self.table.advance(self.number, units);
        }
        if let Some(assignment) = &self.assignment {
            let row = self.number.map_or_else(Row::default, |_| self.table.row(assignment));
            let pending = self.prepare_order(row);
            *units = units.saturating_sub(ORDER_UNITS * pending.endpoints.len());
            self.pending = Some(pending);
        }
        false
    }

    /// Derives the next order and the strides from a row and the current endpoints.
    fn prepare_order(&mut self, mut row: Row) -> PendingOrder {
        let endpoints: Vec<Endpoint> = self.table.endpoints().copied().collect();
        if let Some(number) = self.number {
            local_fill::fill_up(&mut row, &endpoints, self.fleet_size, self.subset_count, number);
        }
        self.means.weight = table::mean_weight(endpoints.iter());
        self.means.stride = 1.0;
        let strides: Vec<Stride> = endpoints.iter().map(|endpoint| self.stride(endpoint)).collect();
        self.means.stride =
            strides.iter().map(|stride| stride.own).sum::<f64>() / endpoints.len().max(1) as f64;
        let mean = self.means.stride;
        let scaled = |stride: &Stride| Stride { own: stride.own / mean, shared: stride.shared / mean };
        let strides =
            endpoints.iter().zip(&strides).map(|(endpoint, stride)| (endpoint.id, scaled(stride))).collect();
        // A gateway without a number has a subset of the mean length, at the head of its own order.
        if self.number.is_none() {
            let counts = endpoints.iter().map(|endpoint| self.count(endpoint));
            row.subset_len = counts.sum::<usize>().div_ceil(self.fleet_size).min(endpoints.len());
        }
        PendingOrder { row, endpoints, strides }
    }

    /// The number of subsets that an endpoint is to be in: by weight, at least one and at most all. Not raised where
    /// there are few endpoints, so that a cold endpoint gets less than its share there rather than more.
    fn count(&self, endpoint: &Endpoint) -> usize {
        let mean = if self.means.weight > 0.0 { self.means.weight } else { 1.0 };
        let count = (self.subset_count * weight(endpoint) / mean).round() as usize;
        count.clamp(1, self.fleet_size.max(1))
    }

    /// The stride of an endpoint, relative to the mean stride.
    fn stride(&self, endpoint: &Endpoint) -> Stride {
        let zone_factor = if endpoint.same_zone { 1.0 } else { OTHER_ZONE_FACTOR };
        let stride = |count: usize| count as f64 / weight(endpoint) * zone_factor;
        let mean = if self.means.stride > 0.0 { self.means.stride } else { stride(self.count(endpoint)) };
        Stride { own: stride(self.count(endpoint)) / mean, shared: stride(self.fleet_size) / mean }
    }

    /// Sets the order: the endpoints of the row come first, the others follow in the order of their hashes.
    fn set_order(&mut self, row: &Row, endpoints: &[Endpoint], strides: &BTreeMap<u32, Stride>) {
        let seed = self.number.map_or(self.salt, |number| number as u64);
        let in_row: BTreeSet<u32> = row.ids.iter().copied().collect();
        let others = endpoints.iter().filter(|endpoint| !in_row.contains(&endpoint.id));
        let hashed =
            others.map(|endpoint| (xxh3_64_with_seed(&seed.to_le_bytes(), endpoint.key), endpoint.id));
        let mut others: Vec<(u64, u32)> = hashed.collect();
        others.sort_unstable();
        let ids: Vec<u32> = row.ids.iter().copied().chain(others.into_iter().map(|other| other.1)).collect();
        // An endpoint whose weight calls for more subsets than there are gateways is repeated in the order, so that it
        // is drawn accordingly more often.
        let is_whole = row.subset_len == ids.len();
        let wanted = |id: &u32| if is_whole { 1.0 } else { (1.0 / strides[id].own).max(1.0) };
        let excess = ids.iter().map(wanted).sum::<f64>() / (MAX_MEAN_REPEATS * ids.len() as f64);
        let repeated = |id: &u32| {
            let times = (wanted(id) / excess.max(1.0)).round().max(1.0);
            std::iter::repeat_n(*id, times as usize)
        };
        let mut order: Vec<u32> = ids[..row.subset_len].iter().flat_map(repeated).collect();
        self.subset_len = order.len();
        order.extend(ids[row.subset_len..].iter().flat_map(repeated));
        self.order = order;
    }

    /// All endpoints, first the `subset_len` entries of this gateway's subset; an id may occur more than once.
    pub fn order(&self) -> &[u32] {
        &self.order
    }

    pub fn subset_len(&self) -> usize {
        self.subset_len
    }

    /// Picks among randomly drawn candidates, given as (endpoint, current load): the one that has received the fewest
    /// RPCs for its share, unless its load is far above the least; the first of equals.
    pub fn pick(&mut self, candidates: &[(u32, f64)]) -> Option<u32> {
        self.scheduler.pick(candidates)
    }

    /// Records that an endpoint was drawn but could not take an RPC, and does not make up for it later. Guards against
    /// a thundering herd: all gateways sending to a server that was failing, full or cold as soon as it recovers. The
    /// price is that the server gets a little less than its share.
    pub fn skip_turn(&mut self, id: u32) {
        self.scheduler.skip_turn(id);
    }

    /// Sets the endpoints that the whole fleet draws from (cold ones, which have a budget in common); those set before
    /// and not now are drawn by their own subsets again. Guards against a thundering herd at each endpoint that is
    /// added: a gateway waits with its first RPC to it for a random part of the time between two. Once the endpoint is
    /// no longer shared, the gateway waits for the same part of the shorter time between two of its own RPCs.
    pub fn set_shared(&mut self, ids: Vec<u32>) {
        self.scheduler.set_shared(ids);
    }

    /// Adds an endpoint to those that the whole fleet draws from; see [`Subsetter::set_shared`].
    pub fn share(&mut self, id: u32) {
        self.scheduler.share(id);
    }

    /// Removes an endpoint from those that the whole fleet draws from.
    pub fn unshare(&mut self, id: u32) {
        self.scheduler.unshare(id);
    }

    pub fn shared(&self) -> &[u32] {
        self.scheduler.shared()
    }

    /// Whether the order holds endpoints after the first `count` that the whole fleet does not draw from.
    pub fn has_unshared_after(&self, count: usize) -> bool {
        self.order[count..].iter().any(|id| !self.is_shared(*id))
    }

    /// Whether the whole fleet currently draws from this endpoint.
    pub fn is_shared(&self, id: u32) -> bool {
        self.scheduler.is_shared(id)
    }

    /// Records that an RPC was sent to this endpoint.
    pub fn record_sent(&mut self, id: u32) {
        self.scheduler.record_sent(id, &self.order[..self.subset_len]);
    }
}

fn weight(endpoint: &Endpoint) -> f64 {
    if endpoint.weight.is_finite() { endpoint.weight.max(MIN_WEIGHT) } else { 1.0 }
}

/// The subsets of all gateways of a fleet, as each gateway computes its own: ids of endpoints by gateway number.
pub fn subsets(endpoints: &[Endpoint], fleet_size: usize, subset_count: f64) -> Vec<Vec<u32>> {
    let mut table = Table::new(fleet_size);
    table.set_count(subset_count);
    endpoints.iter().for_each(|endpoint| table.add(*endpoint));
    let mut subsets = vec![Vec::new(); fleet_size];
    while !table.is_done() {
        if let Some(assignment) = table.advance(None, &mut { usize::MAX }) {
            subsets = table.subsets(&assignment);
        }
    }
    for (gateway, ids) in subsets.iter_mut().enumerate() {
        let mut row = Row { subset_len: ids.len(), ids: std::mem::take(ids) };
        local_fill::fill_up(&mut row, endpoints, fleet_size, subset_count, gateway);
        row.ids.truncate(row.subset_len);
        *ids = row.ids;
    }
    subsets
}
