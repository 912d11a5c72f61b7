//! Prints a table of how even and how stable the subsets are: `cargo bench --bench subsetting_figures`.
//!
//! - `count`: the number of subsets that an endpoint is in, least and most, and the most over the mean and over the least.
//! - `load`: the load of the busiest endpoint over the mean, if all gateways sent the same load, each evenly over its
//!   subset.
//! - `leave`, `join`: new pairs when one endpoint leaves or joins, over the mean number of pairs of an endpoint.
//! - `grow`: new pairs when the fleet grows by one gateway, over the mean number of pairs of a gateway.
//! - `zone`: new pairs in the other zones when a zone is lost, as a share of all pairs.

use martenramp::subsetting::{Endpoint, key, subsets};
use std::collections::BTreeSet;
use std::time::Instant;

const SUBSET_COUNT: f64 = 18.0;
/// Numbers of gateways, endpoints and zones.
const SIZES: [(usize, usize, u16); 18] = [
    (20, 60, 1),
    (40, 40, 2),
    (60, 40, 5),
    (100, 12, 2),
    (100, 24, 3),
    (100, 60, 2),
    (100, 100, 3),
    (100, 200, 4),
    (300, 24, 3),
    (300, 60, 3),
    (300, 100, 3),
    (300, 200, 4),
    (1000, 24, 9),
    (1000, 200, 9),
    (5800, 24, 9),
    (5800, 100, 9),
    (5800, 200, 9),
    (5800, 300, 9),
];
const LARGEST: (usize, usize, u16) = (5800, 2000, 9);
/// Number of changes that `leave`, `join` and `grow` are averaged over.
const TRIALS: usize = 6;

type Subsets = Vec<BTreeSet<u32>>;

fn endpoints(count: usize, zones: u16) -> Vec<Endpoint> {
    let endpoint = |index: usize| Endpoint {
        id: index as u32,
        key: key(&format!("s{index:04}")),
        zone: index as u16 % zones,
        weight: 1.0,
        same_zone: false,
    };
    (0..count).map(endpoint).collect()
}

fn all_subsets(endpoints: &[Endpoint], fleet: usize) -> Subsets {
    subsets(endpoints, fleet, SUBSET_COUNT).into_iter().map(|subset| subset.into_iter().collect()).collect()
}

/// Number of pairs of `after` that are not in `before`.
fn new_pairs(before: &Subsets, after: &Subsets) -> f64 {
    before.iter().zip(after).map(|(before, after)| after.difference(before).count()).sum::<usize>() as f64
}

fn pair_count(subsets: &Subsets) -> f64 {
    subsets.iter().map(BTreeSet::len).sum::<usize>() as f64
}

fn print_row(fleet: usize, count: usize, zones: u16) {
    let all = endpoints(count, zones);
    let started = Instant::now();
    let whole = all_subsets(&all, fleet);
    let took_ms = started.elapsed().as_secs_f64() * 1e3;
    let mut counts = vec![0; count];
    whole.iter().flatten().for_each(|id| counts[*id as usize] += 1);
    let mean = pair_count(&whole) / count as f64;
    let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
    let mut load = vec![0.0; count];
    for subset in &whole {
        subset.iter().for_each(|id| load[*id as usize] += 1.0 / subset.len() as f64);
    }
    let max_load = load.iter().copied().fold(0.0, f64::max) * count as f64 / load.iter().sum::<f64>();
    let lens = || whole.iter().map(BTreeSet::len);
    let trials = if count >= 1000 { 2 } else { TRIALS };
    let (mut leave, mut join) = (0.0, 0.0);
    for trial in 0..trials {
        let mut fewer = all.clone();
        fewer.remove(trial * count / trials);
        let without = all_subsets(&fewer, fleet);
        leave += new_pairs(&whole, &without) / mean / trials as f64;
        join += new_pairs(&without, &whole) / mean / trials as f64;
    }
    let mut grow = 0.0;
    let mut before = whole.clone();
    for larger_fleet in fleet + 1..=fleet + trials {
        let after = all_subsets(&all, larger_fleet);
        let own = pair_count(&after) / larger_fleet as f64;
        grow += (new_pairs(&before, &after) + after[larger_fleet - 1].len() as f64) / own / trials as f64;
        before = after;
    }
    let others: Vec<Endpoint> = all.iter().copied().filter(|endpoint| endpoint.zone != 0).collect();
    let zone = new_pairs(&whole, &all_subsets(&others, fleet)) / pair_count(&whole);
    println!(
        "{fleet:5} x {count:4} x {zones} | {least:3} to {most:3} | {:5.2} {:5.2} {max_load:5.2} | {:3} to {:3} | {leave:5.2} {join:5.2} | {grow:6.2} | \
         {zone:6.3} | {took_ms:8.2} ms",
        *most as f64 / mean,
        *most as f64 / *least as f64,
        lens().min().unwrap(),
        lens().max().unwrap(),
    );
}

fn main() {
    println!(
        "fleet, endpoints, zones | count | over mean, over least, load | subset | leave, join | grow | zone | time"
    );
    for (fleet, count, zones) in SIZES {
        print_row(fleet, count, zones);
    }
    if std::env::args().any(|arg| arg == "largest") {
        print_row(LARGEST.0, LARGEST.1, LARGEST.2);
    }
}
