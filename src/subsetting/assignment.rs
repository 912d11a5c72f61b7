//! Taking candidate pairs into subsets, in steps of bounded work. In each layer every zone's pairs are taken while there is
//! room, small subsets of a zone are filled up, then small ones of any zone. A busier gateway draws from more endpoints: those
//! of further layers, each for so many times the counts.

use super::candidates::Pair;
use super::table::{Slot, mean_weight};
use super::weight;
use std::collections::BTreeMap;

/// A gateway's subset may be so much larger than the mean, and is filled up when it is so much smaller.
const SUBSET_MOST: f64 = 1.25;
pub(super) const SUBSET_LEAST: f64 = 0.9;
/// Filling up may put an endpoint in so many more subsets than its count.
const FILL_SHARE: f64 = 0.2;
const LAYER_GROWTH: f64 = 1.5;
const LAYERS: usize = 3;
/// What setting up a pass costs, in pairs looked at.
const PASS_UNITS: usize = 4096;

/// In how many subsets each endpoint is to be, by slot; 0 where the slot has none.
#[derive(Debug, Default)]
pub(super) struct Plan {
    pub(super) fleet: usize,
    pub(super) counts: Vec<u32>,
    layers: Vec<[u32; LAYERS]>,
    /// The place of an endpoint's zone among all, by slot.
    zone_of: Vec<u16>,
    zones: usize,
    /// Pairs beyond these ranks, by slot, are no candidates; none is where it is empty.
    limits: Vec<u64>,
}

impl Plan {
    /// Every endpoint of mean weight is to be in `subset_count` subsets.
    pub(super) fn new(slots: &[Slot], fleet: usize, subset_count: f64) -> Plan {
        let listed = || slots.iter().filter(|slot| slot.listed).map(|slot| &slot.endpoint);
        let mean = mean_weight(listed());
        let zones: BTreeMap<u16, u16> = listed().map(|endpoint| (endpoint.zone, 0)).collect();
        let zones: BTreeMap<u16, u16> = zones.into_keys().zip(0..).collect();
        let layer_counts = |slot: &Slot| {
            let count = |layer| {
                let count = subset_count * LAYER_GROWTH.powi(layer) * weight(&slot.endpoint) / mean;
                (count.round() as u32).clamp(1, fleet.max(1) as u32)
            };
            if slot.listed { [count(0), count(1), count(2)] } else { [0; LAYERS] }
        };
        let layers: Vec<[u32; LAYERS]> = slots.iter().map(layer_counts).collect();
        let zone = |slot: &Slot| zones.get(&slot.endpoint.zone).copied().unwrap_or(0);
        Plan {
            fleet,
            counts: layers.iter().map(|layers| layers[0]).collect(),
            layers,
            zone_of: slots.iter().map(zone).collect(),
            zones: zones.len(),
            limits: Vec::new(),
        }
    }

    /// Pairs of a slot beyond this rank are no candidates.
    pub(super) fn limit(&mut self, slot: usize, last: u64) {
        if self.limits.is_empty() {
            self.limits = vec![u64::MAX; self.counts.len()];
        }
        self.limits[slot] = last;
    }

    /// A slot has no endpoint any more, and no pairs.
    pub(super) fn drop_slot(&mut self, slot: usize) {
        if let Some(count) = self.counts.get_mut(slot) {
            (*count, self.layers[slot]) = (0, [0; LAYERS]);
        }
    }

    fn is_candidate(&self, pair: &Pair) -> bool {
        self.limits.is_empty() || pair.rank <= self.limits[pair.slot as usize]
    }

    /// How many endpoints of each zone a gateway has in the mean.
    fn zone_means(&self, layer: usize) -> Vec<f64> {
        let mut sums = vec![0_usize; self.zones];
        for (zone, layers) in self.zone_of.iter().zip(&self.layers) {
            if let Some(sum) = sums.get_mut(usize::from(*zone)) {
                *sum += layers[layer] as usize;
            }
        }
        sums.into_iter().map(|sum| sum as f64 / self.fleet as f64).collect()
    }
}

/// A pass over the pairs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Pass {
    Take,
    FillZone,
    FillAny,
}

/// A pair that was taken for the gateway whose line is worked out: where in the order of all lines, and its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Own {
    layer: u8,
    fills_any: bool,
    zone: u16,
    pass: Pass,
    at: u32,
    slot: u32,
}

/// The work at hand.
#[derive(Debug)]
pub(super) struct Taking {
    gateway: Option<u32>,
    layer: usize,
    pass: Pass,
    /// How far the pass has come; nothing before it is set up.
    at: Option<usize>,
    /// By slot: the most subsets in this pass, and those it is in.
    bounds: Vec<u32>,
    met: Vec<u32>,
    /// By zone and gateway, and by gateway: how many endpoints are in its line.
    held: Vec<u32>,
    line_lens: Vec<u32>,
    /// By zone, or for any: how many a gateway may hold in this pass.
    most: Vec<u32>,
    /// Places left at endpoints, and gateways that are still below what they are filled up to.
    places_left: usize,
    below: usize,
    /// By pair: 0 until it is taken, then one more than the layer.
    taken: Vec<u8>,
    own: Vec<Own>,
    /// Enough candidates were drawn.
    pub(super) complete: bool,
}

impl Taking {
    pub(super) fn new(plan: &Plan, pairs: usize, gateway: Option<usize>) -> Taking {
        Taking {
            gateway: gateway.map(|gateway| gateway as u32),
            layer: 0,
            pass: Pass::Take,
            at: None,
            bounds: Vec::new(),
            met: vec![0; plan.counts.len()],
            held: vec![0; plan.zones * plan.fleet],
            line_lens: vec![0; plan.fleet],
            most: Vec::new(),
            places_left: 0,
            below: 0,
            taken: vec![0; pairs],
            own: Vec::new(),
            complete: true,
        }
    }

    /// Goes on for as long as `units` allow; true once all layers are taken.
    pub(super) fn go_on(&mut self, plan: &Plan, pairs: &[Pair], units: &mut usize) -> bool {
        while *units > 0 && self.layer < LAYERS {
            let at = match self.at {
                Some(at) => at,
                None => {
                    self.set_up(plan);
                    *units = units.saturating_sub(PASS_UNITS);
                    0
                }
            };
            let next = self.step(plan, pairs, at, units);
            self.at = Some(next);
            if self.is_over(next, pairs) {
                self.end_pass(plan);
            }
        }
        self.layer >= LAYERS
    }

    fn set_up(&mut self, plan: &Plan) {
        let layer = self.layer;
        let means = plan.zone_means(layer);
        let counts = plan.layers.iter().map(|layers| layers[layer]);
        let more = |count: u32| (count + (f64::from(count) * FILL_SHARE) as u32).min(plan.fleet as u32);
        self.bounds = match self.pass {
            Pass::Take => counts.collect(),
            Pass::FillZone | Pass::FillAny => counts.map(more).collect(),
        };
        self.most = match self.pass {
            Pass::Take => means.iter().map(|mean| (mean * SUBSET_MOST).ceil() as u32).collect(),
            Pass::FillZone => means.iter().map(|mean| (mean * SUBSET_LEAST).floor() as u32).collect(),
            Pass::FillAny => vec![(means.iter().sum::<f64>() * SUBSET_LEAST).floor() as u32],
        };
        let left = self.bounds.iter().zip(&self.met).map(|(bound, met)| bound.saturating_sub(*met) as usize);
        self.places_left = left.sum();
        self.below = match self.pass {
            Pass::Take => usize::MAX,
            Pass::FillZone => {
                let zones = self.held.chunks(plan.fleet.max(1)).zip(&self.most);
                zones.map(|(held, most)| held.iter().filter(|held| *held < most).count()).sum()
            }
            Pass::FillAny => self.line_lens.iter().filter(|len| **len < self.most[0]).count(),
        };
    }

    fn is_over(&self, at: usize, pairs: &[Pair]) -> bool {
        at >= pairs.len() || self.places_left == 0 || self.below == 0
    }

    /// Looks at pairs from `at` on; returns how far it came.
    fn step(&mut self, plan: &Plan, pairs: &[Pair], at: usize, units: &mut usize) -> usize {
        let until = at.saturating_add(*units).min(pairs.len());
        for (place, pair) in pairs.iter().enumerate().take(until).skip(at) {
            if self.places_left == 0 || self.below == 0 {
                *units -= place - at;
                return place;
            }
            let (slot, gateway) = (pair.slot as usize, pair.gateway as usize);
            if self.met[slot] >= self.bounds[slot] || self.taken[place] > 0 || !plan.is_candidate(pair) {
                continue;
            }
            let zone = usize::from(plan.zone_of[slot]);
            let in_zone = zone * plan.fleet + gateway;
            let (held, most) = match self.pass {
                Pass::FillAny => (self.line_lens[gateway], self.most[0]),
                _ => (self.held[in_zone], self.most[zone]),
            };
            if held < most {
                self.take(place, pair, zone, in_zone);
                self.below -= usize::from(self.pass != Pass::Take && held + 1 == most);
            }
        }
        *units -= until - at;
        until
    }

    fn take(&mut self, place: usize, pair: &Pair, zone: usize, in_zone: usize) {
        self.taken[place] = self.layer as u8 + 1;
        self.met[pair.slot as usize] += 1;
        self.held[in_zone] += 1;
        self.line_lens[pair.gateway as usize] += 1;
        self.places_left -= 1;
        if self.gateway == Some(pair.gateway) {
            let own = self.taken_at(place, pair, zone);
            self.own.push(own);
        }
    }

    fn taken_at(&self, place: usize, pair: &Pair, zone: usize) -> Own {
        let fills_any = self.pass == Pass::FillAny;
        Own {
            layer: self.layer as u8,
            fills_any,
            zone: if fills_any { 0 } else { zone as u16 },
            pass: self.pass,
            at: place as u32,
            slot: pair.slot,
        }
    }

    fn end_pass(&mut self, plan: &Plan) {
        self.at = None;
        self.pass = match self.pass {
            Pass::Take => Pass::FillZone,
            Pass::FillZone => Pass::FillAny,
            Pass::FillAny => {
                if self.layer == 0 {
                    self.complete = self.met.iter().zip(&plan.counts).all(|(met, count)| met >= count);
                }
                self.layer += 1;
                Pass::Take
            }
        };
    }

    /// The slots of the gateway's line in order, and how many of them are its subset.
    pub(super) fn line(&self) -> (Vec<u32>, usize) {
        let mut own = self.own.clone();
        own.sort_unstable();
        let subset_len = own.iter().filter(|own| own.layer == 0).count();
        (own.into_iter().map(|own| own.slot).collect(), subset_len)
    }

    /// The slots of all gateways' subsets.
    pub(super) fn subsets(&self, plan: &Plan, pairs: &[Pair]) -> Vec<Vec<u32>> {
        let mut subsets = vec![Vec::new(); plan.fleet];
        let first = pairs.iter().zip(&self.taken).filter(|(_, taken)| **taken == 1);
        first.for_each(|(pair, _)| subsets[pair.gateway as usize].push(pair.slot));
        subsets
    }
}
