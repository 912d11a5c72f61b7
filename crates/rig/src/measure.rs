//! How evenly the load came to the servers: per server and window, RPCs, RPCs held and connections over the server's
//! weight, beside two references for the same arrivals. `chance` sends each to a server drawn by weight, `central` is
//! a dispatcher that sees all and sends each to the server with the least held for its weight.

use crate::{Nanos, Stream, stream_rng};
use rand::distr::{Distribution, weighted::WeightedIndex};
use standins::servers::{Row, RpcOutcome};

/// A server over the run: its weight, and the spans in which it was up and listed as ready.
#[derive(Clone, Debug)]
pub struct ServerHistory {
    /// Its weight as listed.
    pub weight: f64,
    /// Spans in which it was ready, open ones up to the largest time.
    pub ready_spans: Vec<(Nanos, Nanos)>,
}

impl ServerHistory {
    fn is_ready(&self, from: Nanos, to: Nanos) -> bool {
        self.ready_spans.iter().any(|span| span.0 <= from && span.1 >= to)
    }
}

/// An RPC at a server, as far as the measures need it.
#[derive(Clone, Copy, Debug)]
pub struct ServerRpc {
    /// The server.
    pub server: usize,
    /// When it came.
    pub arrived_at: Nanos,
    /// When it left.
    pub ended_at: Nanos,
}

/// All RPCs that a server took in; what it turned away at once was never held.
pub fn accepted_rpcs(ledger: &[Row], until: Nanos) -> Vec<ServerRpc> {
    let held = |row: &&Row| row.outcome != RpcOutcome::TurnedAway;
    let visit = |row: &Row| ServerRpc {
        server: row.server as usize,
        arrived_at: row.received_at,
        ended_at: if row.outcome == RpcOutcome::Open { until } else { row.finished_at },
    };
    ledger.iter().filter(held).map(visit).collect()
}

/// What is looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quantity {
    /// RPCs that came.
    Rpcs,
    /// RPCs in the server on average over the window.
    Held,
    /// Open connections.
    Connections,
}

impl Quantity {
    /// All of them.
    pub const ALL: [Quantity; 3] = [Quantity::Rpcs, Quantity::Held, Quantity::Connections];

    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Quantity::Rpcs => "rpcs",
            Quantity::Held => "held",
            Quantity::Connections => "connections",
        }
    }
}

/// One window: each server's value over its weight, for those that were ready throughout.
#[derive(Clone, Debug)]
pub struct Window {
    /// When the window begins.
    pub from: Nanos,
    /// Servers and their values over their weights.
    pub values: Vec<(usize, f64)>,
}

impl Window {
    /// The mean over the servers.
    pub fn mean(&self) -> f64 {
        self.values.iter().map(|value| value.1).sum::<f64>() / self.values.len().max(1) as f64
    }

    /// Over the mean: the highest, the p99 by nearest rank, and the lowest. Nothing where nothing came.
    pub fn spread(&self) -> Option<[f64; 3]> {
        let mean = self.mean();
        let mut sorted: Vec<f64> = self.values.iter().map(|value| value.1 / mean).collect();
        sorted.sort_by(f64::total_cmp);
        let p99 = ((sorted.len() as f64 * 0.99).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
        (mean > 0.0).then(|| [sorted[sorted.len() - 1], sorted[p99], sorted[0]])
    }
}

/// Windows of a run from `from` to `to`, whole ones only.
#[derive(Clone, Copy, Debug)]
pub struct WindowSeries {
    /// When the first window begins.
    pub from: Nanos,
    /// When the last one ends at the latest.
    pub to: Nanos,
    /// How long each is.
    pub width: Nanos,
}

impl WindowSeries {
    fn count(&self) -> usize {
        (self.to.saturating_sub(self.from) / self.width.max(1)) as usize
    }

    /// The values of each server in each window.
    pub fn windows(
        &self,
        servers: &[ServerHistory],
        visits: &[ServerRpc],
        quantity: Quantity,
    ) -> Vec<Window> {
        let mut sums = vec![vec![0.0; servers.len()]; self.count()];
        let place = |at: Nanos| (at.saturating_sub(self.from) / self.width) as usize;
        for visit in visits {
            if quantity == Quantity::Rpcs {
                if visit.arrived_at >= self.from && place(visit.arrived_at) < sums.len() {
                    sums[place(visit.arrived_at)][visit.server] += 1.0;
                }
                continue;
            }
            let (at, done) = (visit.arrived_at.max(self.from), visit.ended_at);
            for (window, sum) in sums.iter_mut().enumerate().skip(place(at)) {
                let start = self.from + window as Nanos * self.width;
                if done <= start {
                    break;
                }
                let inside = done.min(start + self.width).saturating_sub(at.max(start));
                sum[visit.server] += inside as f64 / self.width as f64;
            }
        }
        self.weigh(servers, sums)
    }

    /// Likewise from samples of open connections, the highest of each window.
    pub fn connections(&self, servers: &[ServerHistory], samples: &[(Nanos, Vec<u32>)]) -> Vec<Window> {
        let mut most = vec![vec![0.0; servers.len()]; self.count()];
        for (at, open) in samples.iter().filter(|sample| sample.0 >= self.from) {
            if let Some(window) = most.get_mut(((at - self.from) / self.width) as usize) {
                window
                    .iter_mut()
                    .zip(open)
                    .for_each(|(most, open)| *most = f64::max(*most, f64::from(*open)));
            }
        }
        self.weigh(servers, most)
    }

    fn weigh(&self, servers: &[ServerHistory], values: Vec<Vec<f64>>) -> Vec<Window> {
        let window = |(at, values): (usize, Vec<f64>)| {
            let from = self.from + at as Nanos * self.width;
            let ready = |server: &usize| servers[*server].is_ready(from, from + self.width);
            let values = values.into_iter().enumerate().filter(|(server, _)| ready(server));
            Window { from, values: values.map(|(at, value)| (at, value / servers[at].weight)).collect() }
        };
        values.into_iter().enumerate().map(window).collect()
    }
}

/// The same arrivals, each at a server drawn by weight from those ready.
pub fn assign_at_random(servers: &[ServerHistory], visits: &[ServerRpc], seed: u64) -> Vec<ServerRpc> {
    let mut draws = stream_rng(seed, Stream::References);
    remap(servers, visits, |ready, _| {
        let weights = WeightedIndex::new(ready.iter().map(|at| servers[*at].weight)).ok()?;
        Some(ready[weights.sample(&mut draws)])
    })
}

/// The same arrivals, each at the ready server that holds least for its weight just then; of equals, the one whose turn
/// it is by weight.
pub fn assign_to_least_loaded(servers: &[ServerHistory], visits: &[ServerRpc]) -> Vec<ServerRpc> {
    let (mut next, mut turn) = (vec![0.0; servers.len()], 0.0);
    remap(servers, visits, |ready, held| {
        let cost = |at: usize| (held[at] / servers[at].weight, f64::max(next[at], turn));
        let least = ready.iter().copied().min_by(|one, two| {
            let (one, two) = (cost(*one), cost(*two));
            one.0.total_cmp(&two.0).then(one.1.total_cmp(&two.1))
        })?;
        turn = cost(least).1;
        next[least] = turn + 1.0 / servers[least].weight;
        Some(least)
    })
}

fn remap(
    servers: &[ServerHistory],
    visits: &[ServerRpc],
    mut pick: impl FnMut(&[usize], &[f64]) -> Option<usize>,
) -> Vec<ServerRpc> {
    let mut sorted = visits.to_vec();
    sorted.sort_by_key(|visit| visit.arrived_at);
    let mut held = vec![0.0; servers.len()];
    let mut ends = std::collections::BinaryHeap::new();
    for visit in &mut sorted {
        while let Some(std::cmp::Reverse((done, server))) = ends.peek().copied()
            && done <= visit.arrived_at
        {
            ends.pop();
            held[server] -= 1.0;
        }
        let ready: Vec<usize> = (0..servers.len())
            .filter(|at| servers[*at].is_ready(visit.arrived_at, visit.arrived_at))
            .collect();
        visit.server = pick(&ready, &held).unwrap_or(visit.server);
        held[visit.server] += 1.0;
        ends.push(std::cmp::Reverse((visit.ended_at, visit.server)));
    }
    sorted
}

/// Of a run of windows: the middle and worst of highest over mean, the middle p99 over mean, the middle and worst of
/// lowest over mean.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    /// Middle of the highest over the mean.
    pub peak: f64,
    /// The worst of it.
    pub peak_worst: f64,
    /// Middle of the 99th percentile over the mean.
    pub p99: f64,
    /// Middle of the lowest over the mean.
    pub least: f64,
    /// The worst of it.
    pub least_worst: f64,
}

impl Spread {
    /// The spread over these windows.
    pub fn of(windows: &[Window]) -> Spread {
        let all: Vec<[f64; 3]> = windows.iter().filter_map(Window::spread).collect();
        let sorted = |at: usize| {
            let mut some: Vec<f64> = all.iter().map(|one| one[at]).collect();
            some.sort_by(f64::total_cmp);
            some
        };
        let middle = |some: &[f64]| some.get(some.len() / 2).copied().unwrap_or(0.0);
        let (peaks, p99s, least) = (sorted(0), sorted(1), sorted(2));
        Spread {
            peak: middle(&peaks),
            peak_worst: peaks.last().copied().unwrap_or(0.0),
            p99: middle(&p99s),
            least: middle(&least),
            least_worst: least.first().copied().unwrap_or(0.0),
        }
    }

    /// The middle of several, figure by figure.
    pub fn median(several: &[Spread]) -> Spread {
        let middle = |pick: fn(&Spread) -> f64| {
            let mut some: Vec<f64> = several.iter().map(pick).collect();
            some.sort_by(f64::total_cmp);
            some.get(some.len() / 2).copied().unwrap_or(0.0)
        };
        Spread {
            peak: middle(|one| one.peak),
            peak_worst: middle(|one| one.peak_worst),
            p99: middle(|one| one.p99),
            least: middle(|one| one.least),
            least_worst: middle(|one| one.least_worst),
        }
    }
}

/// Servers that were ready for a whole window and got no RPC in it, over all windows whose mean is above `above` RPCs.
pub fn count_idle_servers(windows: &[Window], above: f64) -> usize {
    let busy = windows.iter().filter(|window| window.mean() > above);
    busy.flat_map(|window| &window.values).filter(|value| value.1 == 0.0).count()
}

/// How many gateways each server was sent RPCs by, for those ready throughout: lowest, mean, highest.
pub fn gateways_per_server(
    servers: &[ServerHistory],
    ledger: &[Row],
    from: Nanos,
    to: Nanos,
) -> (usize, f64, usize) {
    let mut met: Vec<std::collections::BTreeSet<usize>> = vec![Default::default(); servers.len()];
    for row in ledger.iter().filter(|row| row.received_at >= from && row.received_at < to) {
        met[row.server as usize].insert(row.gateway());
    }
    let ready = (0..servers.len()).filter(|at| servers[*at].is_ready(from, to));
    let counts: Vec<usize> = ready.map(|at| met[at].len()).collect();
    let mean = counts.iter().sum::<usize>() as f64 / counts.len().max(1) as f64;
    (counts.iter().min().copied().unwrap_or(0), mean, counts.iter().max().copied().unwrap_or(0))
}

#[cfg(test)]
mod tests;
