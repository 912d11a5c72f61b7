//! Fills a subset up with endpoints that the gateway chooses by itself, where the table leaves the subset too small.

use super::assignment::MIN_SUBSET_RATIO;
use super::table::{Row, effective_count};
use super::{Endpoint, weight};
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A gateway fills its subset up to at most this many endpoints.
const MAX_FILL_LEN: usize = 3;

/// Adds endpoints to a subset that is too small. They are chosen by weighted rendezvous hashing, so that a change of
/// the list moves only the pairs of the endpoints that changed.
pub(super) fn fill_up(
    row: &mut Row,
    endpoints: &[Endpoint],
    fleet_size: usize,
    subset_count: f64,
    gateway: usize,
) {
    let missing = fill_len(endpoints.len(), fleet_size, subset_count).saturating_sub(row.subset_len);
    if missing == 0 {
        return;
    }
    let subset: BTreeSet<u32> = row.ids[..row.subset_len].iter().copied().collect();
    let others = endpoints.iter().filter(|endpoint| !subset.contains(&endpoint.id));
    let score = |endpoint: &Endpoint| (rendezvous_score(gateway as u64, endpoint), endpoint.key, endpoint.id);
    let mut scored: Vec<(f64, u64, u32)> = others.map(score).collect();
    scored.sort_unstable_by(|left, right| right.0.total_cmp(&left.0).then(left.1.cmp(&right.1)));
    let chosen: Vec<u32> = scored.iter().take(missing).map(|scored| scored.2).collect();
    let overflow = row.ids.split_off(row.subset_len);
    row.subset_len += chosen.len();
    row.ids.extend(&chosen);
    row.ids.extend(overflow.into_iter().filter(|id| !chosen.contains(id)));
}

/// The length up to which a subset is filled.
fn fill_len(endpoints: usize, fleet_size: usize, subset_count: f64) -> usize {
    let mean_len =
        effective_count(endpoints, fleet_size, subset_count) * endpoints as f64 / fleet_size as f64;
    min_len(mean_len).clamp(1, MAX_FILL_LEN).min(endpoints)
}

/// The number of endpoints that every subset should have at least, given the mean length.
fn min_len(mean_len: f64) -> usize {
    (mean_len * MIN_SUBSET_RATIO).floor() as usize
}

/// Score for weighted rendezvous hashing: the highest wins, and an endpoint of twice the weight wins twice as often.
fn rendezvous_score(seed: u64, endpoint: &Endpoint) -> f64 {
    let hash = xxh3_64_with_seed(&seed.to_le_bytes(), endpoint.key);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -weight(endpoint) / uniform.ln()
}
