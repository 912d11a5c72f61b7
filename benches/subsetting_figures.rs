//! How even and how stable the subsets are, printed as a table: `cargo bench --bench subsetting_figures`.
//!
//! `count`: the number of subsets that an endpoint is in. `load`: the busiest endpoint over the mean if every gateway sent the
//! same over its subset. `leave`, `join`: pairs that are new when one endpoint leaves or
//! joins, over an endpoint's own pairs. `grow`: pairs that are new when the fleet has one gateway more, over a gateway's
//! own. `zone`: pairs that are new in the other zones when one goes, as a share of all.

use martenramp::subsetting::{Endpoint, key, subsets};
use std::collections::BTreeSet;
use std::time::Instant;

const SUBSET_COUNT: f64 = 18.0;
/// Gateways, endpoints, zones.
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
const TRIED: usize = 6;

type Subsets = Vec<BTreeSet<u32>>;

fn endpoints(count: usize, zones: u16) -> Vec<Endpoint> {
    let endpoint = |at: usize| Endpoint {
        id: at as u32,
        key: key(&format!("s{at:04}")),
        zone: at as u16 % zones,
        weight: 1.0,
        same_zone: false,
    };
    (0..count).map(endpoint).collect()
}

fn work_out(endpoints: &[Endpoint], fleet: usize) -> Subsets {
    subsets(endpoints, fleet, SUBSET_COUNT).into_iter().map(|subset| subset.into_iter().collect()).collect()
}

fn added(before: &Subsets, after: &Subsets) -> f64 {
    before.iter().zip(after).map(|(before, after)| after.difference(before).count()).sum::<usize>() as f64
}

fn pairs(subsets: &Subsets) -> f64 {
    subsets.iter().map(BTreeSet::len).sum::<usize>() as f64
}

fn row(fleet: usize, count: usize, zones: u16) {
    let all = endpoints(count, zones);
    let started = Instant::now();
    let whole = work_out(&all, fleet);
    let took = started.elapsed().as_secs_f64() * 1e3;
    let mut met = vec![0; count];
    whole.iter().flatten().for_each(|id| met[*id as usize] += 1);
    let mean = pairs(&whole) / count as f64;
    let (least, most) = (met.iter().min().unwrap(), met.iter().max().unwrap());
    let mut load = vec![0.0; count];
    for subset in &whole {
        subset.iter().for_each(|id| load[*id as usize] += 1.0 / subset.len() as f64);
    }
    let load_most = load.iter().copied().fold(0.0, f64::max) * count as f64 / load.iter().sum::<f64>();
    let lens = || whole.iter().map(BTreeSet::len);
    let tried = if count >= 1000 { 2 } else { TRIED };
    let (mut leave, mut join) = (0.0, 0.0);
    for gone in 0..tried {
        let mut less = all.clone();
        less.remove(gone * count / tried);
        let left = work_out(&less, fleet);
        leave += added(&whole, &left) / mean / tried as f64;
        join += added(&left, &whole) / mean / tried as f64;
    }
    let mut grow = 0.0;
    let mut before = whole.clone();
    for larger in fleet + 1..=fleet + tried {
        let after = work_out(&all, larger);
        let own = pairs(&after) / larger as f64;
        grow += (added(&before, &after) + after[larger - 1].len() as f64) / own / tried as f64;
        before = after;
    }
    let others: Vec<Endpoint> = all.iter().copied().filter(|at| at.zone != 0).collect();
    let zone = added(&whole, &work_out(&others, fleet)) / pairs(&whole);
    println!(
        "{fleet:5} x {count:4} x {zones} | {least:3} to {most:3} | {:5.2} {:5.2} {load_most:5.2} | {:3} to {:3} | {leave:5.2} {join:5.2} | {grow:6.2} | \
         {zone:6.3} | {took:8.2} ms",
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
        row(fleet, count, zones);
    }
    if std::env::args().any(|arg| arg == "largest") {
        row(LARGEST.0, LARGEST.1, LARGEST.2);
    }
}
