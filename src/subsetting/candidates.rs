//! Candidate pairs of an endpoint and a gateway, ordered by rank. Endpoints come and go: new pairs are sorted in runs,
//! and the runs are merged with the existing pairs in steps of bounded work.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Gateways are drawn in blocks of this many gateway numbers.
const BLOCK_SIZE: usize = 64;
/// From this share of the fleet on, every gateway is a candidate.
const ALL_GATEWAYS_SHARE: f64 = 0.9;
/// Number of new pairs that are sorted together into a run.
const RUN_LEN: usize = 4096;
/// Cost of drawing and of sorting a pair, relative to examining one.
pub(super) const DRAW_UNITS: usize = 16;
const SORT_UNITS: usize = 12;

/// A candidate pair. Pairs are assigned in the order of their ranks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Pair {
    pub rank: u64,
    pub slot: u32,
    pub gateway: u32,
}

/// The candidate pairs of all endpoints that have been drawn for.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    /// Sorted runs; a single one is left once all are merged.
    runs: Vec<Vec<Pair>>,
    unsorted: Vec<Pair>,
    merge: Option<Merge>,
}

/// A merge of two runs in progress.
#[derive(Debug, Default)]
struct Merge {
    left: Vec<Pair>,
    right: Vec<Pair>,
    /// Next position in `left` and in `right`.
    positions: (usize, usize),
    merged: Vec<Pair>,
}

impl Candidates {
    /// Draws about `wanted` gateways for an endpoint and returns the work units used.
    pub(super) fn draw(&mut self, key: u64, slot: u32, fleet_size: usize, wanted: usize) -> usize {
        let before = self.unsorted.len();
        draw_pairs(&mut self.unsorted, key, slot, fleet_size, wanted);
        let drawn = self.unsorted.len() - before;
        let sort_units = if self.unsorted.len() >= RUN_LEN { self.sort_run() } else { 0 };
        drawn * DRAW_UNITS + sort_units
    }

    /// Turns the unsorted pairs into a run and returns the work units used.
    fn sort_run(&mut self) -> usize {
        if self.unsorted.is_empty() {
            return 0;
        }
        self.unsorted.sort_unstable();
        let run = std::mem::take(&mut self.unsorted);
        let units = run.len() * SORT_UNITS;
        self.runs.push(run);
        units
    }

    /// Whether all pairs are in one run.
    pub(super) fn is_merged(&self) -> bool {
        self.unsorted.is_empty() && self.merge.is_none() && self.runs.len() <= 1
    }

    /// All pairs in order of rank; only valid once [`Candidates::is_merged`] is true.
    pub(super) fn pairs(&self) -> &[Pair] {
        self.runs.first().map_or(&[], Vec::as_slice)
    }

    /// Continues merging until `units` are used up; returns true once all pairs are in one run. Pairs of slots for which
    /// `is_removed` is true are dropped; its answers must not change until the merge is complete.
    pub(super) fn merge(&mut self, units: &mut usize, is_removed: impl Fn(u32) -> bool) -> bool {
        let sort_units = self.sort_run();
        *units = units.saturating_sub(sort_units);
        while *units > 0 {
            if self.merge.is_none() && self.runs.len() <= 1 {
                return true;
            }
            if self.merge.is_none() {
                // Merges the two shortest runs first, so that a long run is copied only once.
                self.runs.sort_unstable_by_key(|run| std::cmp::Reverse(run.len()));
                let (right, left) =
                    (self.runs.pop().unwrap_or_default(), self.runs.pop().unwrap_or_default());
                let merged = Vec::with_capacity(left.len() + right.len());
                self.merge = Some(Merge { left, right, positions: (0, 0), merged });
            }
            let Some(merge) = &mut self.merge else { continue };
            if merge.advance(units, &is_removed) {
                self.runs.push(std::mem::take(&mut merge.merged));
                self.merge = None;
            }
        }
        self.is_merged()
    }

    /// Forces a merge, so that the pairs of removed slots are dropped even if there are no new pairs.
    pub(super) fn force_merge(&mut self) {
        self.runs.push(Vec::new());
    }
}

impl Merge {
    /// Continues until `units` are used up; returns whether the merge is complete.
    fn advance(&mut self, units: &mut usize, is_removed: &impl Fn(u32) -> bool) -> bool {
        let Merge { left, right, positions, merged } = self;
        while *units > 0 {
            let next = match (left.get(positions.0), right.get(positions.1)) {
                (None, None) => return true,
                (Some(first), Some(second)) if first <= second => (*first, &mut positions.0),
                (Some(first), None) => (*first, &mut positions.0),
                (_, Some(second)) => (*second, &mut positions.1),
            };
            *next.1 += 1;
            *units -= 1;
            if !is_removed(next.0.slot) {
                merged.push(next.0);
            }
        }
        false
    }
}

/// Draws about `wanted` different gateways for an endpoint, or all of them. In each block of gateway numbers, hits come
/// at random times (a Poisson process) on a random gateway of the block; the rank of a gateway is the time of its first
/// hit. A rank therefore depends on the endpoint and the gateway alone: adding a gateway changes no other rank, and a
/// draw of fewer gateways is a subset of a draw of more.
fn draw_pairs(pairs: &mut Vec<Pair>, key: u64, slot: u32, fleet_size: usize, wanted: usize) {
    let share = wanted as f64 / fleet_size as f64;
    let end = end_time(share);
    for first in (0..fleet_size).step_by(BLOCK_SIZE) {
        let mut random = fastrand::Rng::with_seed(xxh3_64_with_seed(&(first as u64).to_le_bytes(), key));
        let (mut hits, mut time) = (0_u64, 0.0);
        loop {
            time -= random.f64().max(f64::MIN_POSITIVE).ln() / BLOCK_SIZE as f64;
            let offset = random.usize(..BLOCK_SIZE);
            if time > end {
                break;
            }
            if hits & 1 << offset == 0 && first + offset < fleet_size {
                pairs.push(Pair { rank: rank(time), slot, gateway: (first + offset) as u32 });
            }
            hits |= 1 << offset;
        }
        if share > ALL_GATEWAYS_SHARE {
            let not_hit = (first..fleet_size.min(first + BLOCK_SIZE))
                .filter(|gateway| hits & 1 << (gateway - first) == 0);
            pairs.extend(not_hit.map(|gateway| {
                let delay = xxh3_64_with_seed(&(gateway as u64).to_le_bytes(), key) >> 12;
                Pair { rank: rank(end) + delay, slot, gateway: gateway as u32 }
            }));
        }
    }
}

/// The highest rank that a draw of `wanted` gateways can produce.
pub(super) fn max_rank(fleet_size: usize, wanted: usize) -> u64 {
    let share = wanted as f64 / fleet_size as f64;
    if share > ALL_GATEWAYS_SHARE { u64::MAX } else { rank(end_time(share)) }
}

/// The time by which the given share of the gateways has been hit, on average.
fn end_time(share: f64) -> f64 {
    -(1.0 - share.min(ALL_GATEWAYS_SHARE)).ln()
}

/// Converts a draw time to an integer, so that ranks have a total order.
fn rank(time: f64) -> u64 {
    (time * (1_u64 << 52) as f64) as u64
}
