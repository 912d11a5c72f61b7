//! The table of subsets: which endpoints of a service each gateway of the fleet draws from.
//!
//! Every endpoint draws gateways at random, by its key alone; each gateway drawn makes a candidate pair. Pairs are
//! assigned in the order of their ranks while the endpoint is in fewer subsets than its count and the gateway's subset
//! is not full. The work is proportional to the endpoints of the service, whatever the size of the fleet. The
//! candidates are kept while endpoints come and go, and the table is computed in steps of bounded work, so that no call
//! exceeds its budget.

use super::assignment::{Assignment, Plan};
use super::candidates::{Candidates, max_rank};
use super::{Endpoint, weight};
use std::collections::BTreeMap;

/// Candidates drawn for each subset that an endpoint is to be in; the next number is used where the one before does not
/// suffice.
const CANDIDATES_PER_SUBSET: [usize; 3] = [4, 8, 16];
/// Where a service has so few endpoints that the mean subset length would be below 1, the length is raised to one over
/// the square root of that mean, up to this limit: so a change of the list moves few pairs even as the number of
/// endpoints falls.
const MAX_RAISED_LEN: f64 = 3.35;
/// The table puts an endpoint of mean weight into at most this many subsets. Where more are needed each gateway chooses
/// further endpoints itself by rendezvous hashing, which is even enough at these numbers.
const MAX_TABLE_COUNT: f64 = 72.0;
/// Pairs of removed endpoints are dropped once more than one slot in this many has been removed, or when new pairs are
/// merged in.
const SWEEP_DIVISOR: usize = 4;
/// Cost of planning a slot, relative to examining a pair.
const PLAN_UNITS: usize = 8;

/// One gateway's row of the table, as ids: its subset, then the endpoints that it also draws from when busy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Row {
    pub ids: Vec<u32>,
    pub subset_len: usize,
}

/// An endpoint with the state of its candidates.
#[derive(Clone, Copy, Debug)]
pub(super) struct Slot {
    pub endpoint: Endpoint,
    /// Number of candidates drawn.
    drawn: usize,
    pub listed: bool,
}

#[derive(Debug, Default)]
enum Stage {
    /// The table matches the endpoints, unless they have changed since.
    #[default]
    Done,
    Plan,
    /// Candidates are to be drawn for these slots: (slot, number of candidates).
    Draw(Vec<(u32, usize)>),
    Merge,
    Assign(Box<Assignment>),
}

/// The table of one service, as one gateway computes it.
#[derive(Debug, Default)]
pub(super) struct Table {
    fleet_size: usize,
    subset_count: f64,
    slots: Vec<Slot>,
    slot_of: BTreeMap<u32, u32>,
    /// Slots of removed endpoints: those that still have pairs, those whose pairs the current merge drops, and those
    /// without pairs, which can be reused.
    removed: Vec<u32>,
    dropped: Vec<u32>,
    free: Vec<u32>,
    candidates: Candidates,
    stage: Stage,
    /// Whether the endpoints have changed since the current computation began.
    changed: bool,
    /// Index into [`CANDIDATES_PER_SUBSET`].
    draw_level: usize,
    plan: Plan,
}

impl Table {
    pub(super) fn new(fleet_size: usize) -> Table {
        Table { fleet_size, ..Table::default() }
    }

    /// Sets the number of subsets that every endpoint of mean weight is to be in.
    pub(super) fn set_count(&mut self, subset_count: f64) {
        self.subset_count = subset_count;
        self.changed = true;
    }

    /// The endpoints in the order of their ids.
    pub(super) fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.slot_of.values().map(|slot| &self.slots[*slot as usize].endpoint)
    }

    pub(super) fn endpoint(&self, id: u32) -> Option<&Endpoint> {
        self.slot_of.get(&id).map(|slot| &self.slots[*slot as usize].endpoint)
    }

    pub(super) fn remove(&mut self, id: u32) {
        let Some(slot) = self.slot_of.remove(&id) else { return };
        self.slots[slot as usize].listed = false;
        self.removed.push(slot);
        self.changed = true;
    }

    pub(super) fn add(&mut self, endpoint: Endpoint) {
        let new = Slot { endpoint, drawn: 0, listed: true };
        let slot = match self.free.pop() {
            Some(slot) => {
                self.slots[slot as usize] = new;
                slot
            }
            None => {
                self.slots.push(new);
                self.slots.len() as u32 - 1
            }
        };
        self.slot_of.insert(endpoint.id, slot);
        self.changed = true;
    }

    /// Whether the table matches the endpoints.
    pub(super) fn is_done(&self) -> bool {
        !self.changed && matches!(self.stage, Stage::Done)
    }

    /// Continues until `units` are used up, each about the cost of examining one pair. Returns the assignment once a
    /// table is complete; the endpoints may have changed since that table was begun.
    pub(super) fn advance(&mut self, gateway: Option<usize>, units: &mut usize) -> Option<Box<Assignment>> {
        while *units > 0 && !self.is_done() {
            match std::mem::take(&mut self.stage) {
                Stage::Done => {
                    (self.changed, self.draw_level, self.stage) = (false, 0, Stage::Plan);
                }
                Stage::Plan => self.make_plan(units),
                Stage::Draw(queue) => self.draw(queue, units),
                Stage::Merge => self.merge(gateway, units),
                Stage::Assign(mut assignment) => {
                    if !assignment.advance(&self.plan, self.candidates.pairs(), units) {
                        self.stage = Stage::Assign(assignment);
                    } else if !assignment.complete && self.draw_level + 1 < CANDIDATES_PER_SUBSET.len() {
                        self.draw_level += 1;
                        self.stage = Stage::Plan;
                    } else {
                        return Some(assignment);
                    }
                }
            }
        }
        None
    }

    /// Computes how many subsets each endpoint is to be in, and which endpoints need more candidates.
    fn make_plan(&mut self, units: &mut usize) {
        *units = units.saturating_sub(PLAN_UNITS * self.slots.len());
        let fleet_size = self.fleet_size;
        let subset_count = effective_count(self.slot_of.len(), fleet_size, self.subset_count);
        let subset_count = subset_count.min(MAX_TABLE_COUNT.max(self.subset_count));
        let per_subset = CANDIDATES_PER_SUBSET[self.draw_level];
        let wanted = |count: u32| (count as usize * per_subset).min(fleet_size);
        let plan = Plan::new(&self.slots, fleet_size, subset_count);
        let is_short = |slot: &u32| {
            let drawn = self.slots[*slot as usize].drawn;
            drawn > 0 && drawn < wanted(plan.counts[*slot as usize])
        };
        // An endpoint that needs more candidates than were drawn moves to a new slot; its old pairs are removed with
        // the old slot.
        let short: Vec<u32> = self.slot_of.values().copied().filter(is_short).collect();
        let changed = self.changed;
        for slot in &short {
            let endpoint = self.slots[*slot as usize].endpoint;
            self.remove(endpoint.id);
            self.add(endpoint);
        }
        self.changed = changed;
        self.plan = if short.is_empty() { plan } else { Plan::new(&self.slots, fleet_size, subset_count) };
        let mut queue = Vec::new();
        for slot in self.slot_of.values() {
            let (index, drawn) = (*slot as usize, self.slots[*slot as usize].drawn);
            let wanted = wanted(self.plan.counts[index]);
            if drawn == 0 {
                queue.push((*slot, wanted));
            } else if drawn > wanted {
                self.plan.limit(index, max_rank(fleet_size, wanted));
            }
        }
        self.stage = Stage::Draw(queue);
    }

    fn draw(&mut self, mut queue: Vec<(u32, usize)>, units: &mut usize) {
        while *units > 0
            && let Some((index, wanted)) = queue.pop()
        {
            let slot = &mut self.slots[index as usize];
            slot.drawn = wanted;
            let used = self.candidates.draw(slot.endpoint.key, index, self.fleet_size, wanted);
            *units = units.saturating_sub(used);
        }
        if !queue.is_empty() {
            self.stage = Stage::Draw(queue);
            return;
        }
        if self.candidates.is_merged() && SWEEP_DIVISOR * self.removed.len() > self.slots.len() {
            self.candidates.force_merge();
        }
        if !self.candidates.is_merged() {
            self.dropped.append(&mut self.removed);
        }
        self.stage = Stage::Merge;
    }

    fn merge(&mut self, gateway: Option<usize>, units: &mut usize) {
        let Table { candidates, slots, dropped, plan, .. } = self;
        let mut is_dropped = vec![false; slots.len()];
        dropped.iter().for_each(|slot| is_dropped[*slot as usize] = true);
        if !candidates.merge(units, |slot| is_dropped[slot as usize]) {
            self.stage = Stage::Merge;
            return;
        }
        // Endpoints that are added from here on may reuse these slots, and are not part of this plan.
        dropped.iter().for_each(|slot| plan.clear_slot(*slot as usize));
        self.free.append(dropped);
        self.stage =
            Stage::Assign(Box::new(Assignment::new(&self.plan, self.candidates.pairs().len(), gateway)));
    }

    /// The gateway's row, without endpoints that have been removed meanwhile.
    pub(super) fn row(&self, assignment: &Assignment) -> Row {
        let (slots, planned_len) = assignment.row();
        let mut ids = self.ids(&slots[..planned_len]);
        let subset_len = ids.len();
        ids.extend(self.ids(&slots[planned_len..]));
        Row { ids, subset_len }
    }

    /// The subsets of all gateways.
    pub(super) fn subsets(&self, assignment: &Assignment) -> Vec<Vec<u32>> {
        let subsets = assignment.subsets(&self.plan, self.candidates.pairs());
        subsets.iter().map(|slots| self.ids(slots)).collect()
    }

    fn ids(&self, slots: &[u32]) -> Vec<u32> {
        let slots = slots.iter().map(|slot| &self.slots[*slot as usize]);
        slots.filter(|slot| slot.listed).map(|slot| slot.endpoint.id).collect()
    }
}

/// The number of subsets that an endpoint of mean weight is to be in: `subset_count`, or more where there are few
/// endpoints (see [`MAX_RAISED_LEN`]).
pub(super) fn effective_count(endpoints: usize, fleet_size: usize, subset_count: f64) -> f64 {
    let per_count = endpoints.max(1) as f64 / fleet_size as f64;
    let mean_len = subset_count * per_count;
    if mean_len < 1.0 { mean_len.sqrt().recip().min(MAX_RAISED_LEN) / per_count } else { subset_count }
}

pub(super) fn mean_weight<'a>(endpoints: impl Iterator<Item = &'a Endpoint>) -> f64 {
    let (sum, count) = endpoints.fold((0.0, 0), |(sum, count), endpoint| (sum + weight(endpoint), count + 1));
    sum / f64::from(count.max(1))
}
