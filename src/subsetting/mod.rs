//! Which endpoints of a service a gateway draws from, worked out by every gateway alone and yet even over the fleet: no talk
//! between gateways, no I/O. `docs/spread-design.md` weighs what else there is.
//!
//! From the gateway's number, the fleet's size and the service's endpoints, every gateway works out the same [`table`] of
//! pairs (gateway, endpoint) and keeps its own line of it. Every endpoint is in nearly the same number of subsets, whatever
//! the fleet's size, and a change of the list moves few pairs: one hash never depends on another. The subsets of each zone
//! are worked out on their own, so that every gateway has its share of each zone, and the loss of one moves nothing in the
//! others.
//!
//! Within its subset a gateway draws a few at random and sends to the one that has had fewest [`turns`] for its share.

mod table;
mod turns;

use std::collections::BTreeMap;
use turns::{Cost, Turns};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A turn at an endpoint of another zone costs so much more.
const FAR: f64 = 1.1;
/// A weight below counts as this.
const WEIGHT_MIN: f64 = 0.05;

/// A server of the service, as the list has it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// As this gateway numbers it, and as all gateways know it.
    pub id: u32,
    pub key: u64,
    pub zone: u16,
    pub weight: f64,
    /// In this gateway's zone.
    pub near: bool,
}

/// The key of a server's name, the same at every gateway.
pub fn key(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// A gateway's subset of the endpoints of one service, and whose turn it is.
#[derive(Debug, Default)]
pub struct Subsetter {
    /// This gateway's number, if it is told, of so many.
    number: Option<usize>,
    fleet: usize,
    /// Of this life: the order of the list where no number is told.
    salt: u64,
    endpoints: Vec<Endpoint>,
    /// Ids of all endpoints: first this gateway's subset, then the others in an order of its own.
    order: Vec<u32>,
    subset_len: usize,
    turns: Turns,
}

impl Subsetter {
    /// `number` counts from 0 and is the same after a restart; `fleet` is how many gateways there are.
    pub fn new(number: Option<usize>, fleet: usize, salt: u64) -> Subsetter {
        let fleet = fleet.max(number.map_or(1, |number| number + 1));
        Subsetter { number, fleet, salt, turns: Turns::new(salt), ..Subsetter::default() }
    }

    /// The fleet is told to have another size. The next list is worked out anew.
    pub fn resize(&mut self, fleet: usize) {
        self.fleet = fleet.max(self.number.map_or(1, |number| number + 1));
        self.endpoints.clear();
    }

    /// Takes the list; every endpoint of mean weight is to be in `subset_count` subsets, or in more where gateways would
    /// have too few endpoints.
    pub fn update(&mut self, endpoints: Vec<Endpoint>, subset_count: f64) {
        if endpoints == self.endpoints {
            return;
        }
        self.endpoints = endpoints;
        // Not raised where there are few endpoints: a cold one gets less than its share there rather than more.
        let counts = subset_counts(&self.endpoints, self.fleet, subset_count);
        let costs = self.costs(&counts);
        let line = match self.number {
            Some(number) => table::line(&self.endpoints, self.fleet, subset_count, number),
            None => table::Line::default(),
        };
        // Without a number each draws a subset of the mean size for itself.
        let mean = counts.iter().sum::<usize>().div_ceil(self.fleet).min(self.endpoints.len());
        let subset_len = if self.number.is_some() { line.subset_len } else { mean };
        self.set_order(&line.places, subset_len, &costs);
        self.turns.update(costs);
    }

    /// What a turn costs at each endpoint: 1 in the mean.
    fn costs(&self, counts: &[usize]) -> BTreeMap<u32, Cost> {
        let far = |endpoint: &Endpoint| if endpoint.near { 1.0 } else { FAR };
        let cost = |endpoint: &Endpoint, count: usize| count as f64 / weight(endpoint) * far(endpoint);
        let each = || self.endpoints.iter().zip(counts);
        let sum: f64 = each().map(|(endpoint, count)| cost(endpoint, *count)).sum();
        let mean = sum / self.endpoints.len().max(1) as f64;
        let both = |endpoint: &Endpoint, count: usize| Cost {
            own: cost(endpoint, count) / mean,
            shared: cost(endpoint, self.fleet) / mean,
        };
        each().map(|(endpoint, count)| (endpoint.id, both(endpoint, *count))).collect()
    }

    /// `first` are the places that come first, the others follow by hash.
    fn set_order(&mut self, first: &[usize], subset_len: usize, costs: &BTreeMap<u32, Cost>) {
        let seed = self.number.map_or(self.salt, |number| number as u64);
        let mut is_first = vec![false; self.endpoints.len()];
        first.iter().for_each(|place| is_first[*place] = true);
        let mut others: Vec<usize> = (0..self.endpoints.len()).filter(|place| !is_first[*place]).collect();
        others.sort_by_cached_key(|place| xxh3_64_with_seed(&seed.to_le_bytes(), self.endpoints[*place].key));
        let places: Vec<usize> = first.iter().copied().chain(others).collect();
        // What is too heavy for the number of gateways stands in the order so many times, to be drawn as often.
        let all = subset_len == places.len();
        let times = |place: &usize| {
            let id = self.endpoints[*place].id;
            let times = if all { 1.0 } else { (1.0 / costs[&id].own).round().max(1.0) };
            std::iter::repeat_n(id, times as usize)
        };
        let mut order: Vec<u32> = places[..subset_len].iter().flat_map(times).collect();
        self.subset_len = order.len();
        order.extend(places[subset_len..].iter().flat_map(times));
        self.order = order;
    }

    /// All endpoints, first the `subset_len` of this gateway's subset; some more than once.
    pub fn order(&self) -> &[u32] {
        &self.order
    }

    pub fn subset_len(&self) -> usize {
        self.subset_len
    }

    /// Of a few endpoints drawn at random and what each bears now, whose turn it is: the one that had fewest, unless it
    /// bears far more than the least; of equals the first.
    pub fn pick(&mut self, drawn: &[(u32, f64)]) -> Option<u32> {
        self.turns.pick(drawn)
    }

    /// This endpoint was drawn and could not take an RPC: its turn is lost. Guards against a herd of all gateways at a
    /// server that was bad, full or cold, once it is able again. Harm: it gets a little less than its share.
    pub fn passed_over(&mut self, id: u32) {
        self.turns.passed_over(id);
    }

    /// From now on the whole fleet draws from these (they are cold, and have a budget in common), and no longer from
    /// others it did. Guards against a herd at each that comes: for a gateway's first turn there it waits a random part of
    /// the time between two. Afterwards it waits for the same part of the shorter time between two of its own turns.
    pub fn share(&mut self, ids: Vec<u32>) {
        self.turns.share(ids);
    }

    pub fn shared(&self) -> &[u32] {
        self.turns.shared()
    }

    /// Whether the whole fleet draws from this endpoint for now.
    pub fn is_shared(&self, id: u32) -> bool {
        self.turns.is_shared(id)
    }

    /// An RPC went to this endpoint.
    pub fn took(&mut self, id: u32) {
        self.turns.took(id, &self.order[..self.subset_len]);
    }
}

fn weight(endpoint: &Endpoint) -> f64 {
    if endpoint.weight.is_finite() { endpoint.weight.max(WEIGHT_MIN) } else { 1.0 }
}

/// In how many subsets each endpoint is to be: by weight, at least in one and at most in all.
fn subset_counts(endpoints: &[Endpoint], fleet: usize, subset_count: f64) -> Vec<usize> {
    let mean = endpoints.iter().map(weight).sum::<f64>() / endpoints.len().max(1) as f64;
    let count = |endpoint: &Endpoint| (subset_count * weight(endpoint) / mean).round() as usize;
    endpoints.iter().map(|endpoint| count(endpoint).clamp(1, fleet.max(1))).collect()
}

/// The subsets of all gateways of a fleet, as each of them works them out: ids of endpoints.
pub fn subsets(endpoints: &[Endpoint], fleet: usize, subset_count: f64) -> Vec<Vec<u32>> {
    let ids = |line: table::Line| {
        let subset = &line.places[..line.subset_len];
        subset.iter().map(|place| endpoints[*place].id).collect()
    };
    table::lines(endpoints, fleet, subset_count).into_iter().map(ids).collect()
}
