//! Candidate pairs of an endpoint and a gateway, in the order of their ranks. Endpoints come and go; sorted runs of new pairs
//! are merged with the old ones in steps of bounded work.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Gateways are drawn in blocks of so many numbers.
const BLOCK: usize = 64;
/// From this share of the fleet on, every gateway is a candidate.
const ALMOST_ALL: f64 = 0.9;
/// So many new pairs are sorted at once.
const RUN: usize = 4096;
/// What drawing or sorting a pair costs beside looking at one.
pub(super) const DRAW_UNITS: usize = 16;
const SORT_UNITS: usize = 12;

/// A candidate pair. Pairs are taken in the order of their ranks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Pair {
    pub rank: u64,
    pub slot: u32,
    pub gateway: u32,
}

/// All pairs of the endpoints that were drawn for.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    /// Sorted runs; only the last one is left once they are merged.
    runs: Vec<Vec<Pair>>,
    /// Not sorted yet.
    fresh: Vec<Pair>,
    merge: Option<Merge>,
}

/// Two runs on the way to one.
#[derive(Debug, Default)]
struct Merge {
    left: Vec<Pair>,
    right: Vec<Pair>,
    at: (usize, usize),
    merged: Vec<Pair>,
}

impl Candidates {
    /// Draws for an endpoint. Returns what that took.
    pub(super) fn draw(&mut self, key: u64, slot: u32, fleet: usize, wanted: usize) -> usize {
        let before = self.fresh.len();
        draw_pairs(&mut self.fresh, key, slot, fleet, wanted);
        let drawn = self.fresh.len() - before;
        let sorted = if self.fresh.len() >= RUN { self.sort_fresh() } else { 0 };
        drawn * DRAW_UNITS + sorted
    }

    fn sort_fresh(&mut self) -> usize {
        if self.fresh.is_empty() {
            return 0;
        }
        self.fresh.sort_unstable();
        let sorted = std::mem::take(&mut self.fresh);
        let units = sorted.len() * SORT_UNITS;
        self.runs.push(sorted);
        units
    }

    /// Whether all pairs are in one run.
    pub(super) fn is_merged(&self) -> bool {
        self.fresh.is_empty() && self.merge.is_none() && self.runs.len() <= 1
    }

    /// The pairs in order, once they are merged.
    pub(super) fn pairs(&self) -> &[Pair] {
        self.runs.first().map_or(&[], Vec::as_slice)
    }

    /// Goes on merging for as long as `units` allow; true once all pairs are in one run. Pairs of slots that `is_gone` are
    /// dropped; it must not change before all is merged.
    pub(super) fn merge(&mut self, units: &mut usize, is_gone: impl Fn(u32) -> bool) -> bool {
        let sorted = self.sort_fresh();
        *units = units.saturating_sub(sorted);
        while *units > 0 {
            if self.merge.is_none() && self.runs.len() <= 1 {
                return true;
            }
            if self.merge.is_none() {
                // The two shortest, so that what is long is copied once.
                self.runs.sort_unstable_by_key(|run| std::cmp::Reverse(run.len()));
                let (right, left) =
                    (self.runs.pop().unwrap_or_default(), self.runs.pop().unwrap_or_default());
                let merged = Vec::with_capacity(left.len() + right.len());
                self.merge = Some(Merge { left, right, at: (0, 0), merged });
            }
            let Some(merge) = &mut self.merge else { continue };
            if merge.go_on(units, &is_gone) {
                self.runs.push(std::mem::take(&mut merge.merged));
                self.merge = None;
            }
        }
        self.is_merged()
    }

    /// Asks for the pairs of slots that are gone to be dropped by the next merge though nothing is new.
    pub(super) fn sweep(&mut self) {
        self.runs.push(Vec::new());
    }
}

impl Merge {
    /// Returns whether it is done.
    fn go_on(&mut self, units: &mut usize, is_gone: &impl Fn(u32) -> bool) -> bool {
        let Merge { left, right, at, merged } = self;
        while *units > 0 {
            let next = match (left.get(at.0), right.get(at.1)) {
                (None, None) => return true,
                (Some(one), Some(two)) if one <= two => (*one, &mut at.0),
                (Some(one), None) => (*one, &mut at.0),
                (_, Some(two)) => (*two, &mut at.1),
            };
            *next.1 += 1;
            *units -= 1;
            if !is_gone(next.0.slot) {
                merged.push(next.0);
            }
        }
        false
    }
}

/// Draws the first gateways for an endpoint, about `wanted` different ones, or all. In each block of gateway numbers, draws come
/// at random times and hit a random gateway of the block; a gateway's rank is the time at which it was hit first. So a rank
/// depends on the endpoint and the gateway alone: a gateway more changes no other's, and fewer wanted are a part of more.
fn draw_pairs(pairs: &mut Vec<Pair>, key: u64, slot: u32, fleet: usize, wanted: usize) {
    let share = wanted as f64 / fleet as f64;
    let until = last_time(share);
    for first in (0..fleet).step_by(BLOCK) {
        let mut random = fastrand::Rng::with_seed(xxh3_64_with_seed(&(first as u64).to_le_bytes(), key));
        let (mut hit, mut time) = (0_u64, 0.0);
        loop {
            time -= random.f64().max(f64::MIN_POSITIVE).ln() / BLOCK as f64;
            let offset = random.usize(..BLOCK);
            if time > until {
                break;
            }
            if hit & 1 << offset == 0 && first + offset < fleet {
                pairs.push(Pair { rank: rank(time), slot, gateway: (first + offset) as u32 });
            }
            hit |= 1 << offset;
        }
        if share > ALMOST_ALL {
            let missed =
                (first..fleet.min(first + BLOCK)).filter(|gateway| hit & 1 << (gateway - first) == 0);
            pairs.extend(missed.map(|gateway| {
                let late = xxh3_64_with_seed(&(gateway as u64).to_le_bytes(), key) >> 12;
                Pair { rank: rank(until) + late, slot, gateway: gateway as u32 }
            }));
        }
    }
}

/// The rank of the last pair that a draw for so many gateways has.
pub(super) fn last_rank(fleet: usize, wanted: usize) -> u64 {
    let share = wanted as f64 / fleet as f64;
    if share > ALMOST_ALL { u64::MAX } else { rank(last_time(share)) }
}

fn last_time(share: f64) -> f64 {
    -(1.0 - share.min(ALMOST_ALL)).ln()
}

/// A time of a draw as a whole number, so that ranks have a total order.
fn rank(time: f64) -> u64 {
    (time * (1_u64 << 52) as f64) as u64
}
