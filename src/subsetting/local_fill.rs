//! Filling a subset up by the gateway's own choice, where the table leaves it smaller than it should be.

use super::assignment::SUBSET_LEAST;
use super::table::{Line, raised_count};
use super::{Endpoint, weight};
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Up to so many endpoints at most a gateway fills its subset up by itself.
const FILL_MOST: usize = 3;

/// Adds endpoints of this gateway's own choice to a subset that is too small: weighted rendezvous hashing, so that a change of
/// the list moves only what it touches.
pub(super) fn fill_up(
    line: &mut Line,
    endpoints: &[Endpoint],
    fleet: usize,
    subset_count: f64,
    gateway: usize,
) {
    let missing = fill_len(endpoints.len(), fleet, subset_count).saturating_sub(line.subset_len);
    if missing == 0 {
        return;
    }
    let subset: BTreeSet<u32> = line.ids[..line.subset_len].iter().copied().collect();
    let others = endpoints.iter().filter(|endpoint| !subset.contains(&endpoint.id));
    let score = |endpoint: &Endpoint| (rendezvous_score(gateway as u64, endpoint), endpoint.key, endpoint.id);
    let mut scored: Vec<(f64, u64, u32)> = others.map(score).collect();
    scored.sort_unstable_by(|one, two| two.0.total_cmp(&one.0).then(one.1.cmp(&two.1)));
    let chosen: Vec<u32> = scored.iter().take(missing).map(|scored| scored.2).collect();
    let further = line.ids.split_off(line.subset_len);
    line.subset_len += chosen.len();
    line.ids.extend(&chosen);
    line.ids.extend(further.into_iter().filter(|id| !chosen.contains(id)));
}

/// Up to what size a subset is filled up by the gateway's own choice, where the table leaves it smaller.
fn fill_len(endpoints: usize, fleet: usize, subset_count: f64) -> usize {
    let mean = raised_count(endpoints, fleet, subset_count) * endpoints as f64 / fleet as f64;
    least_len(mean).clamp(1, FILL_MOST).min(endpoints)
}

/// How many endpoints every gateway is to have, of so many in the mean.
fn least_len(mean: f64) -> usize {
    (mean * SUBSET_LEAST).floor() as usize
}

/// Higher is better; an endpoint of twice the weight is best twice as often.
fn rendezvous_score(seed: u64, endpoint: &Endpoint) -> f64 {
    let hash = xxh3_64_with_seed(&seed.to_le_bytes(), endpoint.key);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -weight(endpoint) / uniform.ln()
}
