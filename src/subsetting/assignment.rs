//! Assigns candidate pairs to subsets, in steps of bounded work. In each layer, three passes go over the pairs: the
//! first assigns the pairs of every zone while there is room, the second fills up gateways that have too few endpoints
//! of a zone, the third those that have too few endpoints of any zone. The first layer gives the subsets; the further
//! ones, each with larger counts, give the endpoints that a busier gateway also draws from.

use super::candidates::Pair;
use super::table::{Slot, mean_weight};
use super::weight;
use std::collections::BTreeMap;

/// A gateway's subset may be larger than the mean by at most this factor.
const MAX_SUBSET_RATIO: f64 = 1.25;
/// A gateway's subset is filled up to this share of the mean.
pub(super) const MIN_SUBSET_RATIO: f64 = 0.9;
/// Filling up may put an endpoint into at most this share of subsets above its count.
const MAX_FILL_EXCESS: f64 = 0.2;
/// Factor on the counts from one layer to the next.
const LAYER_GROWTH: f64 = 1.5;
const LAYERS: usize = 3;
/// Cost of starting a pass, relative to examining a pair.
const PASS_UNITS: usize = 4096;

/// The number of subsets that each endpoint is to be in, by slot; 0 where a slot has no endpoint.
#[derive(Debug, Default)]
pub(super) struct Plan {
    pub(super) fleet_size: usize,
    pub(super) counts: Vec<u32>,
    layers: Vec<[u32; LAYERS]>,
    /// The index of the endpoint's zone among all zones, by slot.
    zone_of: Vec<u16>,
    zones: usize,
    /// The highest rank of a candidate pair, by slot; empty if there are no limits.
    max_ranks: Vec<u64>,
}

impl Plan {
    /// Plans `subset_count` subsets for every endpoint of mean weight.
    pub(super) fn new(slots: &[Slot], fleet_size: usize, subset_count: f64) -> Plan {
        let listed = || slots.iter().filter(|slot| slot.listed).map(|slot| &slot.endpoint);
        let mean = mean_weight(listed());
        let zones: BTreeMap<u16, u16> = listed().map(|endpoint| (endpoint.zone, 0)).collect();
        let zones: BTreeMap<u16, u16> = zones.into_keys().zip(0..).collect();
        let layer_counts = |slot: &Slot| {
            let count = |layer| {
                let count = subset_count * LAYER_GROWTH.powi(layer) * weight(&slot.endpoint) / mean;
                (count.round() as u32).clamp(1, fleet_size.max(1) as u32)
            };
            if slot.listed { [count(0), count(1), count(2)] } else { [0; LAYERS] }
        };
        let layers: Vec<[u32; LAYERS]> = slots.iter().map(layer_counts).collect();
        let zone = |slot: &Slot| zones.get(&slot.endpoint.zone).copied().unwrap_or(0);
        Plan {
            fleet_size,
            counts: layers.iter().map(|layers| layers[0]).collect(),
            layers,
            zone_of: slots.iter().map(zone).collect(),
            zones: zones.len(),
            max_ranks: Vec::new(),
        }
    }

    /// Excludes the pairs of a slot whose rank is above `max_rank`.
    pub(super) fn limit(&mut self, slot: usize, max_rank: u64) {
        if self.max_ranks.is_empty() {
            self.max_ranks = vec![u64::MAX; self.counts.len()];
        }
        self.max_ranks[slot] = max_rank;
    }

    /// Clears a slot that no longer has an endpoint or pairs.
    pub(super) fn clear_slot(&mut self, slot: usize) {
        if let Some(count) = self.counts.get_mut(slot) {
            (*count, self.layers[slot]) = (0, [0; LAYERS]);
        }
    }

    fn is_candidate(&self, pair: &Pair) -> bool {
        self.max_ranks.is_empty() || pair.rank <= self.max_ranks[pair.slot as usize]
    }

    /// The mean number of endpoints per gateway, for each zone.
    fn zone_means(&self, layer: usize) -> Vec<f64> {
        let mut sums = vec![0_usize; self.zones];
        for (zone, layers) in self.zone_of.iter().zip(&self.layers) {
            if let Some(sum) = sums.get_mut(usize::from(*zone)) {
                *sum += layers[layer] as usize;
            }
        }
        sums.into_iter().map(|sum| sum as f64 / self.fleet_size as f64).collect()
    }
}

/// A pass over the pairs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Pass {
    Assign,
    FillZone,
    FillAny,
}

/// A pair assigned to this gateway. The derived order is that of the gateway's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OwnPair {
    layer: u8,
    fills_any: bool,
    zone: u16,
    pass: Pass,
    position: u32,
    slot: u32,
}

/// An assignment in progress or complete.
#[derive(Debug)]
pub(super) struct Assignment {
    gateway: Option<u32>,
    layer: usize,
    pass: Pass,
    /// Position in the pairs that the pass has reached; `None` until the pass is started.
    position: Option<usize>,
    /// By slot: the limit of subsets in this pass, and the number assigned so far.
    max_counts: Vec<u32>,
    counts: Vec<u32>,
    /// Number of endpoints in a gateway's row: by zone and gateway, and by gateway.
    zone_lens: Vec<u32>,
    row_lens: Vec<u32>,
    /// The limit of endpoints per gateway in this pass: by zone, or a single one for all zones.
    max_lens: Vec<u32>,
    /// Number of assignments that the endpoints' limits still allow in this pass.
    remaining: usize,
    /// Number of gateways (per zone, in the pass by zone) still below the length that they are filled up to.
    too_short: usize,
    /// By pair: 0 until it is assigned, then the layer plus 1.
    assigned: Vec<u8>,
    own_pairs: Vec<OwnPair>,
    /// Whether the candidates sufficed for every endpoint to reach its count.
    pub(super) complete: bool,
}

impl Assignment {
    pub(super) fn new(plan: &Plan, pairs: usize, gateway: Option<usize>) -> Assignment {
        Assignment {
            gateway: gateway.map(|gateway| gateway as u32),
            layer: 0,
            pass: Pass::Assign,
            position: None,
            max_counts: Vec::new(),
            counts: vec![0; plan.counts.len()],
            zone_lens: vec![0; plan.zones * plan.fleet_size],
            row_lens: vec![0; plan.fleet_size],
            max_lens: Vec::new(),
            remaining: 0,
            too_short: 0,
            assigned: vec![0; pairs],
            own_pairs: Vec::new(),
            complete: true,
        }
    }

    /// Continues until `units` are used up; returns true once all layers are assigned.
    pub(super) fn advance(&mut self, plan: &Plan, pairs: &[Pair], units: &mut usize) -> bool {
        while *units > 0 && self.layer < LAYERS {
            let position = match self.position {
                Some(position) => position,
                None => {
                    self.start_pass(plan);
                    *units = units.saturating_sub(PASS_UNITS);
                    0
                }
            };
            let next = self.step(plan, pairs, position, units);
            self.position = Some(next);
            if self.is_pass_done(next, pairs) {
                self.end_pass(plan);
            }
        }
        self.layer >= LAYERS
    }

    fn start_pass(&mut self, plan: &Plan) {
        let layer = self.layer;
        let means = plan.zone_means(layer);
        let counts = plan.layers.iter().map(|layers| layers[layer]);
        let raised =
            |count: u32| (count + (f64::from(count) * MAX_FILL_EXCESS) as u32).min(plan.fleet_size as u32);
        self.max_counts = match self.pass {
            Pass::Assign => counts.collect(),
            Pass::FillZone | Pass::FillAny => counts.map(raised).collect(),
        };
        self.max_lens = match self.pass {
            Pass::Assign => means.iter().map(|mean| (mean * MAX_SUBSET_RATIO).ceil() as u32).collect(),
            Pass::FillZone => means.iter().map(|mean| (mean * MIN_SUBSET_RATIO).floor() as u32).collect(),
            Pass::FillAny => vec![(means.iter().sum::<f64>() * MIN_SUBSET_RATIO).floor() as u32],
        };
        let remaining =
            self.max_counts.iter().zip(&self.counts).map(|(max, count)| max.saturating_sub(*count) as usize);
        self.remaining = remaining.sum();
        self.too_short = match self.pass {
            Pass::Assign => usize::MAX,
            Pass::FillZone => {
                let zones = self.zone_lens.chunks(plan.fleet_size.max(1)).zip(&self.max_lens);
                zones.map(|(lens, max_len)| lens.iter().filter(|len| *len < max_len).count()).sum()
            }
            Pass::FillAny => self.row_lens.iter().filter(|len| **len < self.max_lens[0]).count(),
        };
    }

    fn is_pass_done(&self, position: usize, pairs: &[Pair]) -> bool {
        position >= pairs.len() || self.remaining == 0 || self.too_short == 0
    }

    /// Examines pairs from `start` on until `units` are used up; returns the position reached.
    fn step(&mut self, plan: &Plan, pairs: &[Pair], start: usize, units: &mut usize) -> usize {
        let end = start.saturating_add(*units).min(pairs.len());
        for (position, pair) in pairs.iter().enumerate().take(end).skip(start) {
            if self.remaining == 0 || self.too_short == 0 {
                *units -= position - start;
                return position;
            }
            let (slot, gateway) = (pair.slot as usize, pair.gateway as usize);
            if self.counts[slot] >= self.max_counts[slot]
                || self.assigned[position] > 0
                || !plan.is_candidate(pair)
            {
                continue;
            }
            let zone = usize::from(plan.zone_of[slot]);
            let in_zone = zone * plan.fleet_size + gateway;
            let (len, max_len) = match self.pass {
                Pass::FillAny => (self.row_lens[gateway], self.max_lens[0]),
                _ => (self.zone_lens[in_zone], self.max_lens[zone]),
            };
            if len < max_len {
                self.assign(position, pair, zone, in_zone);
                self.too_short -= usize::from(self.pass != Pass::Assign && len + 1 == max_len);
            }
        }
        *units -= end - start;
        end
    }

    fn assign(&mut self, position: usize, pair: &Pair, zone: usize, in_zone: usize) {
        self.assigned[position] = self.layer as u8 + 1;
        self.counts[pair.slot as usize] += 1;
        self.zone_lens[in_zone] += 1;
        self.row_lens[pair.gateway as usize] += 1;
        self.remaining -= 1;
        if self.gateway == Some(pair.gateway) {
            let own_pair = self.own_pair(position, pair, zone);
            self.own_pairs.push(own_pair);
        }
    }

    fn own_pair(&self, position: usize, pair: &Pair, zone: usize) -> OwnPair {
        let fills_any = self.pass == Pass::FillAny;
        OwnPair {
            layer: self.layer as u8,
            fills_any,
            zone: if fills_any { 0 } else { zone as u16 },
            pass: self.pass,
            position: position as u32,
            slot: pair.slot,
        }
    }

    fn end_pass(&mut self, plan: &Plan) {
        self.position = None;
        self.pass = match self.pass {
            Pass::Assign => Pass::FillZone,
            Pass::FillZone => Pass::FillAny,
            Pass::FillAny => {
                if self.layer == 0 {
                    self.complete =
                        self.counts.iter().zip(&plan.counts).all(|(count, planned)| count >= planned);
                }
                self.layer += 1;
                Pass::Assign
            }
        };
    }

    /// The slots of the gateway's row in order, and the number of them that form its subset.
    pub(super) fn row(&self) -> (Vec<u32>, usize) {
        let mut own_pairs = self.own_pairs.clone();
        own_pairs.sort_unstable();
        let subset_len = own_pairs.iter().filter(|pair| pair.layer == 0).count();
        (own_pairs.into_iter().map(|pair| pair.slot).collect(), subset_len)
    }

    /// The slots of all gateways' subsets.
    pub(super) fn subsets(&self, plan: &Plan, pairs: &[Pair]) -> Vec<Vec<u32>> {
        let mut subsets = vec![Vec::new(); plan.fleet_size];
        let first_layer = pairs.iter().zip(&self.assigned).filter(|(_, assigned)| **assigned == 1);
        first_layer.for_each(|(pair, _)| subsets[pair.gateway as usize].push(pair.slot));
        subsets
    }
}
