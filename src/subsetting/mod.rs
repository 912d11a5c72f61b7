//! Which endpoints of a service a gateway draws from, worked out by every gateway alone and yet even over the fleet: no talk
//! between gateways, no I/O. `docs/spread-design.md` weighs what else there is.
//!
//! From the gateway's number, the fleet's size and the service's endpoints, every gateway works out the same [`table`] of
//! pairs (gateway, endpoint) and keeps its own line of it. Every endpoint is in nearly the same number of subsets, whatever
//! the fleet's size, and a change of the list moves few pairs: one hash never depends on another. The subsets of each zone
//! are worked out on their own, so that every gateway has its share of each zone, and the loss of one moves nothing in the
//! others.
//!
//! Within its subset a gateway draws a few at random and sends to the one that has had fewest [`stride`] for its share.

//!
//! A change of the list is followed at once as far as it must be (what has left is drawn no more, what has come can be drawn),
//! and the table is worked out anew in steps of bounded work, many changes at once.

mod assignment;
mod candidates;
mod local_fill;
mod stride;
mod table;

use assignment::Taking;
use std::collections::{BTreeMap, BTreeSet};
use stride::{Cost, Turns};
use table::{Line, Table};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A turn at an endpoint of another zone costs so much more.
const FAR: f64 = 1.1;
/// A weight below counts as this.
const WEIGHT_MIN: f64 = 0.05;
/// What setting the order and the costs takes for an endpoint, in units of [`Subsetter::advance`].
const ORDER_UNITS: usize = 32;

/// A server of the service, as the list has it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// As this gateway numbers it, and as all gateways know it.
    pub id: u32,
    pub key: u64,
    pub zone: u16,
    pub weight: f64,
    /// In this gateway's zone.
    pub same_zone: bool,
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
    /// An endpoint of mean weight is to be in so many subsets, or in more where gateways would have too few endpoints.
    subset_count: f64,
    table: Table,
    /// A table that is worked out, and the order that follows of it, before it holds.
    taking: Option<Box<Taking>>,
    next: Option<NextOrder>,
    /// Costs are worked out against these means.
    means: Means,
    /// Ids of all endpoints: first this gateway's subset, then the others in an order of its own.
    order: Vec<u32>,
    subset_len: usize,
    turns: Turns,
}

/// Means over all endpoints, as of the last table.
#[derive(Clone, Copy, Debug, Default)]
struct Means {
    weight: f64,
    cost: f64,
}

/// What holds next.
#[derive(Debug)]
struct NextOrder {
    line: Line,
    endpoints: Vec<Endpoint>,
    costs: BTreeMap<u32, Cost>,
}

impl Subsetter {
    /// `number` counts from 0 and is the same after a restart; `fleet` is how many gateways there are.
    pub fn new(number: Option<usize>, fleet: usize, salt: u64) -> Subsetter {
        let fleet = fleet.max(number.map_or(1, |number| number + 1));
        let (table, turns) = (Table::new(fleet), Turns::new(salt));
        Subsetter { number, fleet, salt, table, turns, ..Subsetter::default() }
    }

    /// The fleet is told to have another size: all is to be worked out anew.
    pub fn set_fleet_size(&mut self, fleet: usize) {
        self.fleet = fleet.max(self.number.map_or(1, |number| number + 1));
        let endpoints: Vec<Endpoint> = self.table.endpoints().copied().collect();
        self.table = Table::new(self.fleet);
        (self.taking, self.next) = (None, None);
        self.table.set_count(self.subset_count);
        endpoints.into_iter().for_each(|endpoint| self.table.join(endpoint));
    }

    /// Takes the whole list, and works all of it out; every endpoint of mean weight is to be in `subset_count` subsets, or in
    /// more where gateways would have too few endpoints.
    pub fn set_endpoints(&mut self, endpoints: Vec<Endpoint>, subset_count: f64) {
        let named: BTreeSet<u32> = endpoints.iter().map(|endpoint| endpoint.id).collect();
        let gone = self.table.endpoints().map(|endpoint| endpoint.id).filter(|id| !named.contains(id));
        let gone: Vec<u32> = gone.collect();
        self.apply_change(&gone, endpoints, subset_count);
        self.finish();
    }

    /// Follows a change of the list: these left, and these came or are other than they were. Nothing that left is drawn any
    /// more; what came can be drawn, and has its place in the subsets once [`Subsetter::advance`] is done.
    pub fn apply_change(&mut self, gone: &[u32], came: Vec<Endpoint>, subset_count: f64) {
        if self.subset_count != subset_count {
            self.subset_count = subset_count;
            self.table.set_count(subset_count);
        }
        let mut gone: BTreeSet<u32> = gone.iter().copied().collect();
        let new = |endpoint: &Endpoint| self.table.endpoint(endpoint.id) != Some(endpoint);
        let came: Vec<Endpoint> = came.into_iter().filter(new).collect();
        gone.extend(came.iter().map(|endpoint| endpoint.id));
        gone.retain(|id| self.table.endpoint(*id).is_some());
        if !gone.is_empty() || !came.is_empty() {
            self.next = None;
        }
        gone.iter().for_each(|id| self.table.leave(*id));
        self.drop_from_order(&gone);
        for endpoint in came {
            self.table.join(endpoint);
            self.order.push(endpoint.id);
            self.turns.join(endpoint.id, self.cost(&endpoint));
        }
    }

    fn drop_from_order(&mut self, gone: &BTreeSet<u32>) {
        if gone.is_empty() {
            return;
        }
        let mut place = 0;
        let mut subset_len = self.subset_len;
        self.order.retain(|id| {
            let stays = !gone.contains(id);
            subset_len -= usize::from(!stays && place < self.subset_len);
            place += 1;
            stays
        });
        self.subset_len = subset_len;
        self.turns.leave(gone);
    }

    /// Whether the subset is that of the list.
    pub fn is_up_to_date(&self) -> bool {
        self.table.is_done() && self.taking.is_none()
    }

    /// Works all of it out.
    pub fn finish(&mut self) {
        while !self.is_up_to_date() {
            let mut units = usize::MAX;
            self.advance(&mut units);
        }
    }

    /// Goes on working the subset out for as long as `units` allow, each some nanoseconds; takes off what it used. Returns
    /// whether a subset holds from now on, which may be that of a list that has changed meanwhile.
    pub fn advance(&mut self, units: &mut usize) -> bool {
        if let Some(next) = self.next.take() {
            self.taking = None;
            *units = units.saturating_sub(ORDER_UNITS * next.endpoints.len());
            self.set_order(&next.line, &next.endpoints, &next.costs);
            self.turns.update(next.costs);
            return true;
        }
        if self.taking.is_none() {
            self.taking = self.table.work(self.number, units);
        }
        if let Some(taking) = &self.taking {
            let line = self.number.map_or_else(Line::default, |_| self.table.line(taking));
            let next = self.next_order(line);
            *units = units.saturating_sub(ORDER_UNITS * next.endpoints.len());
            self.next = Some(next);
        }
        false
    }

    /// What follows of a line for the endpoints that there are now.
    fn next_order(&mut self, mut line: Line) -> NextOrder {
        let endpoints: Vec<Endpoint> = self.table.endpoints().copied().collect();
        if let Some(number) = self.number {
            local_fill::fill_up(&mut line, &endpoints, self.fleet, self.subset_count, number);
        }
        self.means.weight = table::mean_weight(endpoints.iter());
        self.means.cost = 1.0;
        let costs: Vec<Cost> = endpoints.iter().map(|endpoint| self.cost(endpoint)).collect();
        self.means.cost = costs.iter().map(|cost| cost.own).sum::<f64>() / endpoints.len().max(1) as f64;
        let mean = self.means.cost;
        let scaled = |cost: &Cost| Cost { own: cost.own / mean, shared: cost.shared / mean };
        let costs =
            endpoints.iter().zip(&costs).map(|(endpoint, cost)| (endpoint.id, scaled(cost))).collect();
        // Without a number each draws a subset of the mean size for itself.
        if self.number.is_none() {
            let counts = endpoints.iter().map(|endpoint| self.count(endpoint));
            line.subset_len = counts.sum::<usize>().div_ceil(self.fleet).min(endpoints.len());
        }
        NextOrder { line, endpoints, costs }
    }

    /// In how many subsets an endpoint is to be: by weight, at least in one and at most in all. Not raised where there are few
    /// endpoints: a cold one gets less than its share there rather than more.
    fn count(&self, endpoint: &Endpoint) -> usize {
        let mean = if self.means.weight > 0.0 { self.means.weight } else { 1.0 };
        let count = (self.subset_count * weight(endpoint) / mean).round() as usize;
        count.clamp(1, self.fleet.max(1))
    }

    /// What a turn costs at an endpoint: 1 in the mean.
    fn cost(&self, endpoint: &Endpoint) -> Cost {
        let far = if endpoint.same_zone { 1.0 } else { FAR };
        let cost = |count: usize| count as f64 / weight(endpoint) * far;
        let mean = if self.means.cost > 0.0 { self.means.cost } else { cost(self.count(endpoint)) };
        Cost { own: cost(self.count(endpoint)) / mean, shared: cost(self.fleet) / mean }
    }

    /// The line's endpoints come first, the others follow by hash.
    fn set_order(&mut self, line: &Line, endpoints: &[Endpoint], costs: &BTreeMap<u32, Cost>) {
        let seed = self.number.map_or(self.salt, |number| number as u64);
        let first: BTreeSet<u32> = line.ids.iter().copied().collect();
        let others = endpoints.iter().filter(|endpoint| !first.contains(&endpoint.id));
        let hashed =
            others.map(|endpoint| (xxh3_64_with_seed(&seed.to_le_bytes(), endpoint.key), endpoint.id));
        let mut others: Vec<(u64, u32)> = hashed.collect();
        others.sort_unstable();
        let ids: Vec<u32> = line.ids.iter().copied().chain(others.into_iter().map(|other| other.1)).collect();
        // What is too heavy for the number of gateways stands in the order so many times, to be drawn as often.
        let all = line.subset_len == ids.len();
        let times = |id: &u32| {
            let times = if all { 1.0 } else { (1.0 / costs[id].own).round().max(1.0) };
            std::iter::repeat_n(*id, times as usize)
        };
        let mut order: Vec<u32> = ids[..line.subset_len].iter().flat_map(times).collect();
        self.subset_len = order.len();
        order.extend(ids[line.subset_len..].iter().flat_map(times));
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
    pub fn skip_turn(&mut self, id: u32) {
        self.turns.passed_over(id);
    }

    /// From now on the whole fleet draws from these (they are cold, and have a budget in common), and no longer from
    /// others it did. Guards against a herd at each that comes: for a gateway's first turn there it waits a random part of
    /// the time between two. Afterwards it waits for the same part of the shorter time between two of its own turns.
    pub fn set_shared(&mut self, ids: Vec<u32>) {
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
    pub fn record_sent(&mut self, id: u32) {
        self.turns.took(id, &self.order[..self.subset_len]);
    }
}

fn weight(endpoint: &Endpoint) -> f64 {
    if endpoint.weight.is_finite() { endpoint.weight.max(WEIGHT_MIN) } else { 1.0 }
}

/// The subsets of all gateways of a fleet, as each of them works them out: ids of endpoints.
pub fn subsets(endpoints: &[Endpoint], fleet: usize, subset_count: f64) -> Vec<Vec<u32>> {
    let mut table = Table::new(fleet);
    table.set_count(subset_count);
    endpoints.iter().for_each(|endpoint| table.join(*endpoint));
    let mut subsets = vec![Vec::new(); fleet];
    while !table.is_done() {
        if let Some(taking) = table.work(None, &mut { usize::MAX }) {
            subsets = table.subsets(&taking);
        }
    }
    for (gateway, ids) in subsets.iter_mut().enumerate() {
        let mut line = Line { subset_len: ids.len(), ids: std::mem::take(ids) };
        local_fill::fill_up(&mut line, endpoints, fleet, subset_count, gateway);
        line.ids.truncate(line.subset_len);
        *ids = line.ids;
    }
    subsets
}
