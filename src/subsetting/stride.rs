//! Whose turn it is among the endpoints of a subset, so that few RPCs come out nearly even and nobody's next turn is known
//! beforehand. What is new, or could not take its turn, stands level with the others: a turn is never owed by a whole fleet
//! at once.

use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Of two drawn, one that bears so many times more is passed over.
const FAR_WORSE: f64 = 2.0;
/// So many turns can be owed at most to an endpoint that was not drawn from for a while.
const BEHIND: f64 = 2.0;
/// A gateway's first turn at what the whole fleet draws from comes after a random part of so many of the time between two.
/// The whole of it (1.0) would be even from the first second on, but a cold budget that opens late comes on top.
const FIRST_TURN: f64 = 0.5;

/// What an endpoint's turn costs: by its subsets over its weight, and while the whole fleet draws from it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cost {
    pub own: f64,
    pub shared: f64,
}

/// Turns that each endpoint has had, by what they cost.
#[derive(Debug, Default)]
pub(super) struct Turns {
    /// Of this life: when the first turn at a shared endpoint comes.
    salt: u64,
    costs: BTreeMap<u32, Cost>,
    had: BTreeMap<u32, f64>,
    /// What the middle one of this gateway's subset has had.
    level: f64,
    /// What the whole fleet draws from for now, in whoever's subset it is; in the order told, and to look up.
    shared: Vec<u32>,
    is_shared: BTreeSet<u32>,
}

impl Turns {
    pub(super) fn new(salt: u64) -> Turns {
        Turns { salt, ..Turns::default() }
    }

    /// Takes the endpoints there are and their costs; new ones stand level with the others.
    pub(super) fn update(&mut self, costs: BTreeMap<u32, Cost>) {
        self.had.retain(|id, _| costs.contains_key(id));
        for id in costs.keys() {
            self.had.entry(*id).or_insert(self.level);
        }
        self.shared.retain(|id| costs.contains_key(id));
        self.is_shared.retain(|id| costs.contains_key(id));
        self.costs = costs;
    }

    /// One has come: it stands level with the others.
    pub(super) fn join(&mut self, id: u32, cost: Cost) {
        self.costs.insert(id, cost);
        self.had.entry(id).or_insert(self.level);
    }

    /// These have left.
    pub(super) fn leave(&mut self, gone: &BTreeSet<u32>) {
        for id in gone {
            self.costs.remove(id);
            self.had.remove(id);
        }
        self.shared.retain(|id| !gone.contains(id));
        self.is_shared.retain(|id| !gone.contains(id));
    }

    /// Of endpoints and what each bears now, whose turn it is: the one that had fewest, unless it bears far more than the
    /// least; of equals the first.
    pub(super) fn pick(&mut self, drawn: &[(u32, f64)]) -> Option<u32> {
        let most = FAR_WORSE * drawn.iter().map(|at| at.1).fold(f64::MAX, f64::min);
        drawn.iter().filter(|at| at.1 > most).for_each(|at| self.passed_over(at.0));
        let ordinary = drawn.iter().filter(|at| at.1 <= most).map(|at| at.0);
        ordinary.min_by(|one, two| self.had(*one).total_cmp(&self.had(*two)))
    }

    /// Turns had, at most `BEHIND` fewer than the others: what was out of a busy gateway's reach for long is not owed
    /// them all.
    fn had(&self, id: u32) -> f64 {
        self.had.get(&id).copied().unwrap_or(self.level).max(self.level - BEHIND)
    }

    pub(super) fn passed_over(&mut self, id: u32) {
        let had = self.had(id).max(self.level);
        self.had.insert(id, had);
    }

    pub(super) fn share(&mut self, ids: Vec<u32>) {
        if ids == self.shared {
            return;
        }
        let is_shared: BTreeSet<u32> = ids.iter().copied().collect();
        for id in &ids {
            if let Some(cost) = self.costs.get(id).filter(|_| !self.is_shared.contains(id)) {
                let draw = xxh3_64_with_seed(&id.to_le_bytes(), self.salt) as f64 / u64::MAX as f64;
                self.had.insert(*id, self.level + FIRST_TURN * draw * cost.shared);
            }
        }
        for id in self.shared.iter().filter(|id| !is_shared.contains(id)) {
            let (Some(had), Some(cost)) = (self.had.get_mut(id), self.costs.get(id)) else { continue };
            let ahead = (*had - self.level).max(0.0);
            *had -= ahead * (1.0 - cost.own / cost.shared);
        }
        (self.shared, self.is_shared) = (ids, is_shared);
    }

    pub(super) fn shared(&self) -> &[u32] {
        &self.shared
    }

    pub(super) fn is_shared(&self, id: u32) -> bool {
        self.is_shared.contains(&id)
    }

    /// An RPC went to this endpoint; `subset` is what this gateway draws from.
    pub(super) fn took(&mut self, id: u32, subset: &[u32]) {
        let Some(cost) = self.costs.get(&id) else { return };
        let had = self.had(id) + if self.is_shared.contains(&id) { cost.shared } else { cost.own };
        self.had.insert(id, had);
        let mut all: Vec<f64> = subset.iter().map(|id| self.had(*id)).collect();
        all.sort_unstable_by(f64::total_cmp);
        self.level = all.get(all.len() / 2).copied().unwrap_or(0.0);
    }
}
