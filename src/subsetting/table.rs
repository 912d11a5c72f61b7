//! The table of subsets: which endpoints of a service each gateway of the fleet draws from.
//!
//! Every endpoint draws gateways at random, by its key alone; each drawn is a candidate pair. Pairs are taken in the order of
//! their ranks while the endpoint is in fewer subsets than its count and the gateway's subset is not full. The work is in proportion to the endpoints of the service, whatever the size of the fleet.

use super::{Endpoint, subset_counts, weight};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A gateway's subset may be so much larger than the mean, and is filled up when it is so much smaller.
const SUBSET_MOST: f64 = 1.25;
const SUBSET_LEAST: f64 = 0.9;
/// Filling up may put an endpoint in so many more subsets than its count.
const FILL_SHARE: f64 = 0.2;
/// So many candidates are drawn for each subset that an endpoint is to be in, and where they don't do, more.
const CANDIDATES: [usize; 3] = [4, 8, 16];
/// Gateways are drawn in blocks of so many numbers.
const BLOCK: usize = 64;
/// From this share of the fleet on, every gateway is a candidate.
const ALMOST_ALL: f64 = 0.9;
/// Where a service has so few endpoints that a gateway would have a part of one in the mean, it has one over the square root of
/// that part, and this at most: so a change of the list moves few pairs while the number of endpoints falls, too.
const FEW_LEN: f64 = 3.35;
/// An endpoint of mean weight is in at most so many subsets by the table. Where more are needed each gateway chooses further
/// endpoints itself by rendezvous hashing, which is even enough by then.
const COUNT_MOST: f64 = 72.0;
/// Up to so many endpoints at most a gateway fills its subset up by itself.
const FILL_MOST: usize = 3;
/// A busier gateway draws from more endpoints: those of tables worked out on top, each for so many times the counts.
const LAYER_GROWTH: f64 = 1.5;
const LAYERS: i32 = 3;

/// What one gateway draws from, as places in the list of endpoints: first its subset, then what it goes on to when busy.
#[derive(Clone, Debug, Default)]
pub(super) struct Line {
    pub places: Vec<usize>,
    pub subset_len: usize,
}

/// A candidate pair. Pairs are taken in the order of their ranks.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Pair {
    rank: u64,
    place: u32,
    gateway: u32,
}

/// The lines of all gateways of a fleet: the same at every gateway, whatever order the list came in.
pub(super) fn lines(endpoints: &[Endpoint], fleet: usize, subset_count: f64) -> Vec<Line> {
    let mut lines = table_lines(endpoints, fleet, subset_count);
    let least = fill_len(endpoints.len(), fleet, subset_count);
    for (gateway, line) in lines.iter_mut().enumerate() {
        fill_up(line, endpoints, gateway, least);
    }
    lines
}

/// The line of one gateway.
pub(super) fn line(endpoints: &[Endpoint], fleet: usize, subset_count: f64, gateway: usize) -> Line {
    let mut line = table_lines(endpoints, fleet, subset_count).swap_remove(gateway);
    fill_up(&mut line, endpoints, gateway, fill_len(endpoints.len(), fleet, subset_count));
    line
}

/// Up to what size a subset is filled up by the gateway's own choice, where the table leaves it smaller.
fn fill_len(endpoints: usize, fleet: usize, subset_count: f64) -> usize {
    let mean = raised_count(endpoints, fleet, subset_count) * endpoints as f64 / fleet as f64;
    least_len(mean).clamp(1, FILL_MOST).min(endpoints)
}

/// Adds endpoints of this gateway's own choice to a subset smaller than `least`: weighted rendezvous hashing, so that a
/// change of the list moves only what it touches.
fn fill_up(line: &mut Line, endpoints: &[Endpoint], gateway: usize, least: usize) {
    let missing = least.saturating_sub(line.subset_len);
    if missing == 0 {
        return;
    }
    let subset: BTreeSet<usize> = line.places[..line.subset_len].iter().copied().collect();
    let others = (0..endpoints.len()).filter(|place| !subset.contains(place));
    let mut scored: Vec<(f64, u64, usize)> = others
        .map(|place| {
            let endpoint = &endpoints[place];
            (rendezvous_score(gateway as u64, endpoint), endpoint.key, place)
        })
        .collect();
    scored.sort_unstable_by(|one, two| two.0.total_cmp(&one.0).then(one.1.cmp(&two.1)));
    let chosen: Vec<usize> = scored.iter().take(missing).map(|scored| scored.2).collect();
    line.places.retain(|place| !chosen.contains(place));
    line.places.splice(line.subset_len..line.subset_len, chosen);
    line.subset_len += missing;
}

/// Higher is better; an endpoint of twice the weight is best twice as often.
fn rendezvous_score(seed: u64, endpoint: &Endpoint) -> f64 {
    let hash = xxh3_64_with_seed(&seed.to_le_bytes(), endpoint.key);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -weight(endpoint) / uniform.ln()
}

fn table_lines(endpoints: &[Endpoint], fleet: usize, subset_count: f64) -> Vec<Line> {
    let mut sorted: Vec<usize> = (0..endpoints.len()).collect();
    sorted.sort_by_key(|place| (endpoints[*place].key, endpoints[*place].id));
    let subset_count = raised_count(endpoints.len(), fleet, subset_count).min(COUNT_MOST.max(subset_count));
    let mut builder = None;
    for candidates in CANDIDATES {
        let built = TableBuilder::build(endpoints, &sorted, fleet, subset_count, candidates);
        let complete = built.complete;
        builder = Some(built);
        if complete {
            break;
        }
    }
    builder.map_or_else(Vec::new, |builder| builder.lines)
}

/// In how many subsets an endpoint of mean weight is to be: in `subset_count`, or in more where there are few endpoints.
fn raised_count(endpoints: usize, fleet: usize, subset_count: f64) -> f64 {
    let per_count = endpoints.max(1) as f64 / fleet as f64;
    let mean = subset_count * per_count;
    if mean < 1.0 { mean.sqrt().recip().min(FEW_LEN) / per_count } else { subset_count }
}

struct TableBuilder {
    lines: Vec<Line>,
    /// In how many subsets each endpoint is.
    met: Vec<usize>,
    /// Whether enough candidates were drawn.
    complete: bool,
}

impl TableBuilder {
    fn build(
        endpoints: &[Endpoint],
        sorted: &[usize],
        fleet: usize,
        subset_count: f64,
        candidates: usize,
    ) -> TableBuilder {
        let mut zones: BTreeMap<u16, Vec<usize>> = BTreeMap::new();
        sorted.iter().for_each(|place| zones.entry(endpoints[*place].zone).or_default().push(*place));
        let counts = subset_counts(endpoints, fleet, subset_count);
        let mut zone_pairs = Vec::new();
        for places in zones.values() {
            let mut pairs = Vec::new();
            for place in places {
                let wanted = (counts[*place] * candidates).min(fleet);
                draw_pairs(&mut pairs, endpoints[*place].key, *place, fleet, wanted);
            }
            pairs.sort_unstable();
            zone_pairs.push(Candidates::new(pairs));
        }
        let met = vec![0; endpoints.len()];
        let mut table = TableBuilder { lines: vec![Line::default(); fleet], met, complete: true };
        for layer in 0..LAYERS {
            let counts = subset_counts(endpoints, fleet, subset_count * LAYER_GROWTH.powi(layer));
            table.add_layer(&zones, &mut zone_pairs, &counts);
            if layer == 0 {
                table.lines.iter_mut().for_each(|line| line.subset_len = line.places.len());
                table.complete = table.met.iter().zip(&counts).all(|(met, count)| met >= count);
            }
        }
        table
    }

    fn add_layer(
        &mut self,
        zones: &BTreeMap<u16, Vec<usize>>,
        zone_pairs: &mut [Candidates],
        counts: &[usize],
    ) {
        let fleet = self.lines.len();
        let mut held = vec![0_u32; fleet];
        for (places, pairs) in zones.values().zip(zone_pairs.iter_mut()) {
            let zone_counts: Vec<usize> = places.iter().map(|place| counts[*place]).collect();
            let mean = mean_len(&zone_counts, fleet);
            held.fill(0);
            pairs.taken().for_each(|pair| held[pair.gateway as usize] += 1);
            self.take(pairs, &mut held, counts, (mean * SUBSET_MOST).ceil() as u32, 0.0);
            self.take(pairs, &mut held, counts, (mean * SUBSET_LEAST).floor() as u32, FILL_SHARE);
        }
        // What is still small takes of any zone.
        let least = least_len(mean_len(counts, fleet));
        if self.lines.iter().all(|line| line.places.len() >= least) {
            return;
        }
        let mut every = Candidates::merged(zone_pairs);
        held.iter_mut().zip(&self.lines).for_each(|(held, line)| *held = line.places.len() as u32);
        self.take(&mut every, &mut held, counts, least as u32, FILL_SHARE);
        every.give_back(zone_pairs);
    }

    /// Takes pairs in their order into subsets that hold fewer than `most`, while the endpoint is in no more subsets than
    /// its count and `more` of it.
    fn take(&mut self, pairs: &mut Candidates, held: &mut [u32], counts: &[usize], most: u32, more: f64) {
        let fleet = self.lines.len();
        for (pair, taken) in pairs.pairs.iter().zip(&mut pairs.taken) {
            let (place, gateway) = (pair.place as usize, pair.gateway as usize);
            let bound = counts[place] + (counts[place] as f64 * more) as usize;
            if !*taken && held[gateway] < most && self.met[place] < bound.min(fleet) {
                *taken = true;
                held[gateway] += 1;
                self.met[place] += 1;
                self.lines[gateway].places.push(place);
            }
        }
    }
}

/// How many endpoints every gateway is to have, of so many in the mean.
fn least_len(mean: f64) -> usize {
    (mean * SUBSET_LEAST).floor() as usize
}

fn mean_len(counts: &[usize], fleet: usize) -> f64 {
    counts.iter().sum::<usize>() as f64 / fleet as f64
}

/// Pairs in their order, and which of them are taken.
struct Candidates {
    pairs: Vec<Pair>,
    taken: Vec<bool>,
}

impl Candidates {
    fn new(pairs: Vec<Pair>) -> Candidates {
        let taken = vec![false; pairs.len()];
        Candidates { pairs, taken }
    }

    fn taken(&self) -> impl Iterator<Item = &Pair> {
        self.pairs.iter().zip(&self.taken).filter(|(_, taken)| **taken).map(|(pair, _)| pair)
    }

    /// The pairs of all zones in one order.
    fn merged(zones: &[Candidates]) -> Candidates {
        let each = |zone: &Candidates| {
            let both = zone.pairs.iter().copied().zip(zone.taken.iter().copied());
            both.collect::<Vec<(Pair, bool)>>()
        };
        let mut every: Vec<(Pair, bool)> = zones.iter().flat_map(each).collect();
        every.sort_unstable();
        let (pairs, taken) = every.into_iter().unzip();
        Candidates { pairs, taken }
    }

    /// Tells the zones what of theirs was taken since they were merged.
    fn give_back(self, zones: &mut [Candidates]) {
        let taken: BTreeSet<Pair> = self.taken().copied().collect();
        for zone in zones {
            for (pair, is_taken) in zone.pairs.iter().zip(&mut zone.taken) {
                *is_taken |= taken.contains(pair);
            }
        }
    }
}

/// Draws the first gateways for an endpoint, about `wanted` different ones, or all. In each block of gateway numbers, draws come
/// at random times and hit a random gateway of the block; a gateway's rank is the time at which it was hit first. So a rank
/// depends on the endpoint and the gateway alone: a gateway more changes no other's.
fn draw_pairs(pairs: &mut Vec<Pair>, key: u64, place: usize, fleet: usize, wanted: usize) {
    let place = place as u32;
    let share = wanted as f64 / fleet as f64;
    let until = -(1.0 - share.min(ALMOST_ALL)).ln();
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
                pairs.push(Pair { rank: rank(time), place, gateway: (first + offset) as u32 });
            }
            hit |= 1 << offset;
        }
        if share > ALMOST_ALL {
            let missed =
                (first..fleet.min(first + BLOCK)).filter(|gateway| hit & 1 << (gateway - first) == 0);
            pairs.extend(missed.map(|gateway| {
                let late = xxh3_64_with_seed(&(gateway as u64).to_le_bytes(), key) >> 12;
                Pair { rank: rank(until) + late, place, gateway: gateway as u32 }
            }));
        }
    }
}

/// A time of a draw as a whole number, so that ranks have a total order.
fn rank(time: f64) -> u64 {
    (time * (1_u64 << 52) as f64) as u64
}
