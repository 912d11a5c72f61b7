//! The table of subsets: which endpoints of a service each gateway of the fleet draws from.
//!
//! Every endpoint draws gateways at random, by its key alone; each drawn is a candidate pair. Pairs are taken in the order of
//! their ranks while the endpoint is in fewer subsets than its count and the gateway's subset is not full. The work is in
//! proportion to the endpoints of the service, whatever the size of the fleet. The candidates are kept while endpoints come
//! and go, and the table is worked out in steps of bounded work: a call never takes longer than it is allowed to.

use super::assignment::{Plan, Taking};
use super::candidates::{Candidates, last_rank};
use super::{Endpoint, weight};
use std::collections::BTreeMap;

/// So many candidates are drawn for each subset that an endpoint is to be in, and where they don't do, more.
const CANDIDATES: [usize; 3] = [4, 8, 16];
/// Where a service has so few endpoints that a gateway would have a part of one in the mean, it has one over the square root of
/// that part, and this at most: so a change of the list moves few pairs while the number of endpoints falls, too.
const FEW_LEN: f64 = 3.35;
/// An endpoint of mean weight is in at most so many subsets by the table. Where more are needed each gateway chooses further
/// endpoints itself by rendezvous hashing, which is even enough by then.
const COUNT_MOST: f64 = 72.0;
/// Pairs of endpoints that left are dropped once they are one in so many, or when new ones are merged in.
const SWEEP_SHARE: usize = 4;
/// What planning costs for an endpoint, in pairs looked at.
const PLAN_UNITS: usize = 8;

/// What one gateway draws from, as ids: first its subset, then what it goes on to when busy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Line {
    pub ids: Vec<u32>,
    pub subset_len: usize,
}

/// An endpoint and what was drawn for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Slot {
    pub endpoint: Endpoint,
    /// So many candidates.
    drawn: usize,
    pub listed: bool,
}

#[derive(Debug, Default)]
enum Stage {
    /// The table is that of the endpoints.
    #[default]
    Done,
    Plan,
    /// Candidates are to be drawn for these slots, so many each.
    Draw(Vec<(u32, usize)>),
    Merge,
    Take(Box<Taking>),
}

/// The table of one service, as one gateway works it out.
#[derive(Debug, Default)]
pub(super) struct Table {
    fleet: usize,
    subset_count: f64,
    slots: Vec<Slot>,
    slot_of: BTreeMap<u32, u32>,
    /// Slots of endpoints that left, some of whose pairs are still here; those of them that the merge at hand drops; and
    /// those with none.
    left: Vec<u32>,
    dropped: Vec<u32>,
    free: Vec<u32>,
    candidates: Candidates,
    stage: Stage,
    /// The endpoints changed since the stage at hand began.
    changed: bool,
    level: usize,
    plan: Plan,
}

impl Table {
    /// A table for so many gateways.
    pub(super) fn new(fleet: usize) -> Table {
        Table { fleet, ..Table::default() }
    }

    /// Every endpoint of mean weight is to be in so many subsets.
    pub(super) fn set_count(&mut self, subset_count: f64) {
        self.subset_count = subset_count;
        self.changed = true;
    }

    /// The endpoints by their ids.
    pub(super) fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.slot_of.values().map(|slot| &self.slots[*slot as usize].endpoint)
    }

    /// The endpoint with this id.
    pub(super) fn endpoint(&self, id: u32) -> Option<&Endpoint> {
        self.slot_of.get(&id).map(|slot| &self.slots[*slot as usize].endpoint)
    }

    pub(super) fn leave(&mut self, id: u32) {
        let Some(slot) = self.slot_of.remove(&id) else { return };
        self.slots[slot as usize].listed = false;
        self.left.push(slot);
        self.changed = true;
    }

    pub(super) fn join(&mut self, endpoint: Endpoint) {
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

    /// Whether the table is that of the endpoints.
    pub(super) fn is_done(&self) -> bool {
        !self.changed && matches!(self.stage, Stage::Done)
    }

    /// Goes on for as long as `units` allow, each about one pair looked at. Returns what has been taken once a table is
    /// worked out, which may be that of endpoints that have changed meanwhile.
    pub(super) fn work(&mut self, gateway: Option<usize>, units: &mut usize) -> Option<Box<Taking>> {
        while *units > 0 && !self.is_done() {
            match std::mem::take(&mut self.stage) {
                Stage::Done => {
                    (self.changed, self.level, self.stage) = (false, 0, Stage::Plan);
                }
                Stage::Plan => self.make_plan(units),
                Stage::Draw(queue) => self.draw(queue, units),
                Stage::Merge => self.merge(gateway, units),
                Stage::Take(mut taking) => {
                    if !taking.go_on(&self.plan, self.candidates.pairs(), units) {
                        self.stage = Stage::Take(taking);
                    } else if !taking.complete && self.level + 1 < CANDIDATES.len() {
                        self.level += 1;
                        self.stage = Stage::Plan;
                    } else {
                        return Some(taking);
                    }
                }
            }
        }
        None
    }

    /// Works out in how many subsets each endpoint is to be, and for whom more candidates are needed.
    fn make_plan(&mut self, units: &mut usize) {
        *units = units.saturating_sub(PLAN_UNITS * self.slots.len());
        let fleet = self.fleet;
        let subset_count = raised_count(self.slot_of.len(), fleet, self.subset_count);
        let subset_count = subset_count.min(COUNT_MOST.max(self.subset_count));
        let per_count = CANDIDATES[self.level];
        let wanted = |count: u32| (count as usize * per_count).min(fleet);
        let plan = Plan::new(&self.slots, fleet, subset_count);
        let short = |slot: &u32| {
            let drawn = self.slots[*slot as usize].drawn;
            drawn > 0 && drawn < wanted(plan.counts[*slot as usize])
        };
        // Whoever needs more than was drawn goes on in another slot; the pairs that it has go with the old one.
        let short: Vec<u32> = self.slot_of.values().copied().filter(short).collect();
        let changed = self.changed;
        for slot in &short {
            let endpoint = self.slots[*slot as usize].endpoint;
            self.leave(endpoint.id);
            self.join(endpoint);
        }
        self.changed = changed;
        self.plan = if short.is_empty() { plan } else { Plan::new(&self.slots, fleet, subset_count) };
        let mut queue = Vec::new();
        for slot in self.slot_of.values() {
            let (number, drawn) = (*slot as usize, self.slots[*slot as usize].drawn);
            let wanted = wanted(self.plan.counts[number]);
            if drawn == 0 {
                queue.push((*slot, wanted));
            } else if drawn > wanted {
                self.plan.limit(number, last_rank(fleet, wanted));
            }
        }
        self.stage = Stage::Draw(queue);
    }

    fn draw(&mut self, mut queue: Vec<(u32, usize)>, units: &mut usize) {
        while *units > 0
            && let Some((number, wanted)) = queue.pop()
        {
            let slot = &mut self.slots[number as usize];
            slot.drawn = wanted;
            let used = self.candidates.draw(slot.endpoint.key, number, self.fleet, wanted);
            *units = units.saturating_sub(used);
        }
        if !queue.is_empty() {
            self.stage = Stage::Draw(queue);
            return;
        }
        if self.candidates.is_merged() && SWEEP_SHARE * self.left.len() > self.slots.len() {
            self.candidates.sweep();
        }
        if !self.candidates.is_merged() {
            self.dropped.append(&mut self.left);
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
        // What joins from here on may take these slots, and is not planned for.
        dropped.iter().for_each(|slot| plan.drop_slot(*slot as usize));
        self.free.append(dropped);
        self.stage = Stage::Take(Box::new(Taking::new(&self.plan, self.candidates.pairs().len(), gateway)));
    }

    /// The gateway's line, without those that have left meanwhile.
    pub(super) fn line(&self, taking: &Taking) -> Line {
        let (slots, planned) = taking.line();
        let mut ids = self.ids(&slots[..planned]);
        let subset_len = ids.len();
        ids.extend(self.ids(&slots[planned..]));
        Line { ids, subset_len }
    }

    /// All gateways' subsets.
    pub(super) fn subsets(&self, taking: &Taking) -> Vec<Vec<u32>> {
        let subsets = taking.subsets(&self.plan, self.candidates.pairs());
        subsets.iter().map(|slots| self.ids(slots)).collect()
    }

    fn ids(&self, slots: &[u32]) -> Vec<u32> {
        let slots = slots.iter().map(|slot| &self.slots[*slot as usize]);
        slots.filter(|slot| slot.listed).map(|slot| slot.endpoint.id).collect()
    }
}

/// In how many subsets an endpoint of mean weight is to be: in `subset_count`, or in more where there are few endpoints.
pub(super) fn raised_count(endpoints: usize, fleet: usize, subset_count: f64) -> f64 {
    let per_count = endpoints.max(1) as f64 / fleet as f64;
    let mean = subset_count * per_count;
    if mean < 1.0 { mean.sqrt().recip().min(FEW_LEN) / per_count } else { subset_count }
}

/// The mean weight of endpoints.
pub(super) fn mean_weight<'a>(endpoints: impl Iterator<Item = &'a Endpoint>) -> f64 {
    let (sum, count) = endpoints.fold((0.0, 0), |(sum, count), at| (sum + weight(at), count + 1));
    sum / f64::from(count.max(1))
}
