//! Computes how evenly the load is spread over the servers: RPCs, RPCs in service and open connections per server and
//! time window, relative to the server's weight. Two reference assignments of the same arrivals serve for comparison:
//! one sends each RPC to a server drawn at random by weight, the other is a central dispatcher that sends each RPC to the
//! server with the fewest RPCs in service for its weight.

use crate::{Nanos, Stream, stream_rng};
use rand::distr::{Distribution, weighted::WeightedIndex};
use standins::servers::{Row, RpcOutcome};

/// A server's weight, and the time spans in which it was up and listed as ready.
#[derive(Clone, Debug)]
pub struct ServerHistory {
    /// Its weight in discovery's list.
    pub weight: f64,
    /// Spans in which it was ready. A span that has not ended extends to `Nanos::MAX`.
    pub ready_spans: Vec<(Nanos, Nanos)>,
}

impl ServerHistory {
    fn is_ready(&self, from: Nanos, to: Nanos) -> bool {
        self.ready_spans.iter().any(|span| span.0 <= from && span.1 >= to)
    }
}

/// An RPC in service at a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerRpc {
    /// Index of the server.
    pub server: usize,
    /// When it arrived.
    pub arrived_at: Nanos,
    /// When it left the server.
    pub ended_at: Nanos,
}

/// Returns all RPCs that a server accepted. Those that a full server refused at once are left out: they were never in
/// service. RPCs that are still open end at `until`.
pub fn accepted_rpcs(rows: &[Row], until: Nanos) -> Vec<ServerRpc> {
    let accepted = |row: &&Row| row.outcome != RpcOutcome::TurnedAway;
    let server_rpc = |row: &Row| ServerRpc {
        server: row.server as usize,
        arrived_at: row.received_at,
        ended_at: if row.outcome == RpcOutcome::Open { until } else { row.finished_at },
    };
    rows.iter().filter(accepted).map(server_rpc).collect()
}

/// The quantity that is compared between servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quantity {
    /// RPCs that arrived.
    Rpcs,
    /// RPCs in service, averaged over the window.
    Held,
    /// Open connections.
    Connections,
}

impl Quantity {
    /// All quantities.
    pub const ALL: [Quantity; 3] = [Quantity::Rpcs, Quantity::Held, Quantity::Connections];

    /// The quantity's name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Quantity::Rpcs => "rpcs",
            Quantity::Held => "held",
            Quantity::Connections => "connections",
        }
    }
}

/// One time window, with the values of the servers that were ready throughout it.
#[derive(Clone, Debug)]
pub struct Window {
    /// Start of the window.
    pub from: Nanos,
    /// Servers and their values divided by their weights.
    pub values: Vec<(usize, f64)>,
}

impl Window {
    /// Returns the mean over the servers.
    pub fn mean(&self) -> f64 {
        self.values.iter().map(|value| value.1).sum::<f64>() / self.values.len().max(1) as f64
    }

    /// Returns the highest value, the 99th percentile (nearest rank) and the lowest value, each divided by the mean, or
    /// `None` if the mean is 0.
    pub fn spread(&self) -> Option<[f64; 3]> {
        let mean = self.mean();
        let mut sorted: Vec<f64> = self.values.iter().map(|value| value.1 / mean).collect();
        sorted.sort_by(f64::total_cmp);
        let p99 = ((sorted.len() as f64 * 0.99).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
        (mean > 0.0).then(|| [sorted[sorted.len() - 1], sorted[p99], sorted[0]])
    }
}

/// Consecutive time windows of equal width. Only whole windows count.
#[derive(Clone, Copy, Debug)]
pub struct WindowSeries {
    /// Start of the first window.
    pub from: Nanos,
    /// Latest end of the last window.
    pub to: Nanos,
    /// Length of each window.
    pub width: Nanos,
}

impl WindowSeries {
    fn count(&self) -> usize {
        (self.to.saturating_sub(self.from) / self.width.max(1)) as usize
    }

    /// Returns the values of each server in each window, from the RPCs in service.
    pub fn windows(&self, servers: &[ServerHistory], rpcs: &[ServerRpc], quantity: Quantity) -> Vec<Window> {
        let mut sums = vec![vec![0.0; servers.len()]; self.count()];
        let window_at = |at: Nanos| (at.saturating_sub(self.from) / self.width) as usize;
        for rpc in rpcs {
            if quantity == Quantity::Rpcs {
                if rpc.arrived_at >= self.from && window_at(rpc.arrived_at) < sums.len() {
                    sums[window_at(rpc.arrived_at)][rpc.server] += 1.0;
                }
                continue;
            }
            let (arrived_at, ended_at) = (rpc.arrived_at.max(self.from), rpc.ended_at);
            for (window, sum) in sums.iter_mut().enumerate().skip(window_at(arrived_at)) {
                let start = self.from + window as Nanos * self.width;
                if ended_at <= start {
                    break;
                }
                let inside = ended_at.min(start + self.width).saturating_sub(arrived_at.max(start));
                sum[rpc.server] += inside as f64 / self.width as f64;
            }
        }
        self.divide_by_weight(servers, sums)
    }

    /// Returns the values of each server in each window, as the highest sample of its open connections.
    pub fn connections(&self, servers: &[ServerHistory], samples: &[(Nanos, Vec<u32>)]) -> Vec<Window> {
        let mut highest = vec![vec![0.0; servers.len()]; self.count()];
        for (at, open) in samples.iter().filter(|sample| sample.0 >= self.from) {
            if let Some(window) = highest.get_mut(((at - self.from) / self.width) as usize) {
                window
                    .iter_mut()
                    .zip(open)
                    .for_each(|(highest, open)| *highest = f64::max(*highest, f64::from(*open)));
            }
        }
        self.divide_by_weight(servers, highest)
    }

    fn divide_by_weight(&self, servers: &[ServerHistory], values: Vec<Vec<f64>>) -> Vec<Window> {
        let window = |(index, values): (usize, Vec<f64>)| {
            let from = self.from + index as Nanos * self.width;
            let ready = |server: &usize| servers[*server].is_ready(from, from + self.width);
            let values = values.into_iter().enumerate().filter(|(server, _)| ready(server));
            Window {
                from,
                values: values.map(|(index, value)| (index, value / servers[index].weight)).collect(),
            }
        };
        values.into_iter().enumerate().map(window).collect()
    }
}

/// Assigns each arrival to a ready server that is drawn at random by weight.
pub fn assign_at_random(servers: &[ServerHistory], rpcs: &[ServerRpc], seed: u64) -> Vec<ServerRpc> {
    let mut rng = stream_rng(seed, Stream::References);
    reassign(servers, rpcs, |ready, _| {
        let weights = WeightedIndex::new(ready.iter().map(|server| servers[*server].weight)).ok()?;
        Some(ready[weights.sample(&mut rng)])
    })
}

/// Assigns each arrival to the ready server with the fewest RPCs in service for its weight. Ties are broken by weighted
/// round robin.
pub fn assign_to_least_loaded(servers: &[ServerHistory], rpcs: &[ServerRpc]) -> Vec<ServerRpc> {
    let (mut next_turns, mut turn) = (vec![0.0; servers.len()], 0.0);
    reassign(servers, rpcs, |ready, in_service| {
        let cost =
            |server: usize| (in_service[server] / servers[server].weight, f64::max(next_turns[server], turn));
        let chosen = ready.iter().copied().min_by(|left, right| {
            let (left, right) = (cost(*left), cost(*right));
            left.0.total_cmp(&right.0).then(left.1.total_cmp(&right.1))
        })?;
        turn = cost(chosen).1;
        next_turns[chosen] = turn + 1.0 / servers[chosen].weight;
        Some(chosen)
    })
}

/// Assigns each arrival to the server that `pick` chooses from the ready servers and the RPCs in service at all servers.
fn reassign(
    servers: &[ServerHistory],
    rpcs: &[ServerRpc],
    mut pick: impl FnMut(&[usize], &[f64]) -> Option<usize>,
) -> Vec<ServerRpc> {
    let mut sorted = rpcs.to_vec();
    sorted.sort_by_key(|rpc| rpc.arrived_at);
    let mut in_service = vec![0.0; servers.len()];
    let mut ends = std::collections::BinaryHeap::new();
    for rpc in &mut sorted {
        while let Some(std::cmp::Reverse((ended_at, server))) = ends.peek().copied()
            && ended_at <= rpc.arrived_at
        {
            ends.pop();
            in_service[server] -= 1.0;
        }
        let ready: Vec<usize> = (0..servers.len())
            .filter(|server| servers[*server].is_ready(rpc.arrived_at, rpc.arrived_at))
            .collect();
        rpc.server = pick(&ready, &in_service).unwrap_or(rpc.server);
        in_service[rpc.server] += 1.0;
        ends.push(std::cmp::Reverse((rpc.ended_at, rpc.server)));
    }
    sorted
}

/// How evenly a quantity is spread over the servers, summarised over many windows. Medians are upper medians.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    /// Median of the highest value over the mean.
    pub peak: f64,
    /// Maximum of the highest value over the mean.
    pub peak_worst: f64,
    /// Median of the 99th percentile over the mean.
    pub p99: f64,
    /// Median of the lowest value over the mean.
    pub least: f64,
    /// Minimum of the lowest value over the mean.
    pub least_worst: f64,
}

impl Spread {
    /// Summarises these windows.
    pub fn of(windows: &[Window]) -> Spread {
        let spreads: Vec<[f64; 3]> = windows.iter().filter_map(Window::spread).collect();
        let sorted = |figure: usize| {
            let mut values: Vec<f64> = spreads.iter().map(|spread| spread[figure]).collect();
            values.sort_by(f64::total_cmp);
            values
        };
        let median = |values: &[f64]| values.get(values.len() / 2).copied().unwrap_or(0.0);
        let (peaks, p99s, least) = (sorted(0), sorted(1), sorted(2));
        Spread {
            peak: median(&peaks),
            peak_worst: peaks.last().copied().unwrap_or(0.0),
            p99: median(&p99s),
            least: median(&least),
            least_worst: least.first().copied().unwrap_or(0.0),
        }
    }

    /// Returns the medians of each figure of several spreads.
    pub fn median(spreads: &[Spread]) -> Spread {
        let median = |figure: fn(&Spread) -> f64| {
            let mut values: Vec<f64> = spreads.iter().map(figure).collect();
            values.sort_by(f64::total_cmp);
            values.get(values.len() / 2).copied().unwrap_or(0.0)
        };
        Spread {
            peak: median(|spread| spread.peak),
            peak_worst: median(|spread| spread.peak_worst),
            p99: median(|spread| spread.p99),
            least: median(|spread| spread.least),
            least_worst: median(|spread| spread.least_worst),
        }
    }
}

/// Counts the servers that were ready for a whole window and received no RPC in it, over all windows whose mean is above
/// `min_mean` RPCs.
pub fn count_idle_servers(windows: &[Window], min_mean: f64) -> usize {
    let busy = windows.iter().filter(|window| window.mean() > min_mean);
    busy.flat_map(|window| &window.values).filter(|value| value.1 == 0.0).count()
}

/// Returns the minimum, mean and maximum number of gateways that sent RPCs to a server, over the servers that were ready
/// throughout.
pub fn gateways_per_server(
    servers: &[ServerHistory],
    rows: &[Row],
    from: Nanos,
    to: Nanos,
) -> (usize, f64, usize) {
    let mut gateways: Vec<std::collections::BTreeSet<usize>> = vec![Default::default(); servers.len()];
    for row in rows.iter().filter(|row| row.received_at >= from && row.received_at < to) {
        gateways[row.server as usize].insert(row.gateway());
    }
    let ready = (0..servers.len()).filter(|server| servers[*server].is_ready(from, to));
    let counts: Vec<usize> = ready.map(|server| gateways[server].len()).collect();
    let mean = counts.iter().sum::<usize>() as f64 / counts.len().max(1) as f64;
    (counts.iter().min().copied().unwrap_or(0), mean, counts.iter().max().copied().unwrap_or(0))
}

#[cfg(test)]
mod tests;
