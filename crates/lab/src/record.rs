//! What a run measured: rows over time, totals, latency percentiles, and quota overshoot per customer. Everything
//! here comes from the emulated clock alone, so two runs of one scenario and seed give the same record.

use crate::Nanos;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::HashMap;

/// Counts of how RPCs ended. `ok`, `pushed_back` and `aborted` are final answers; `lost` had none by its deadline
/// and half a second; `left` were given up by their clients first; `cut` were at a gateway that was killed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    /// RPCs that arrived.
    pub arrived: u64,
    /// Answered ok.
    pub ok: u64,
    /// Rejected.
    #[serde(rename = "pushed_back")]
    pub rejected: u64,
    /// Aborted.
    pub aborted: u64,
    /// Without an answer.
    pub lost: u64,
    /// Given up by their clients.
    #[serde(rename = "left")]
    pub abandoned: u64,
    /// At a gateway that was killed, or with no gateway to reach.
    #[serde(rename = "cut")]
    pub disconnected: u64,
    /// Final answers given to an RPC that had one already: must be nought.
    #[serde(rename = "twice")]
    pub duplicate_answers: u64,
    /// Attempts at servers.
    #[serde(rename = "call_outs")]
    pub attempts: u64,
    /// Calls to the shared counter, and those of them that got no answer in time.
    #[serde(rename = "count_calls")]
    pub counter_calls: u64,
    /// Calls to the counter without an answer in time.
    #[serde(rename = "count_missed")]
    pub counter_timeouts: u64,
    /// Utility asked for (every RPC's credit) and served (earned by ok answers in time).
    #[serde(rename = "asked")]
    pub utility_asked: f64,
    /// Utility earned by ok answers in time.
    #[serde(rename = "served")]
    pub utility_served: f64,
}

impl Counts {
    /// RPCs that ended other than by their client or a killed gateway.
    pub fn resolved(&self) -> u64 {
        self.ok + self.rejected + self.aborted + self.lost
    }

    /// Utility served over utility asked; 1 where nothing was asked.
    pub fn service(&self) -> f64 {
        if self.utility_asked > 0.0 { self.utility_served / self.utility_asked } else { 1.0 }
    }
}

/// One row of the table over time.
pub struct Row {
    /// When the row begins.
    pub start: Nanos,
    /// How RPCs ended.
    pub counts: Counts,
    /// Latencies of ok answers, microseconds.
    pub latency: Histogram<u64>,
    /// Gateways that take clients, at the end of the row.
    pub gateways_up: u32,
    /// RPCs that are kept, at the end of the row.
    pub live: u64,
}

/// Quota overshoot: for each customer and window, units sent on beyond what the plan allows in it (its rate over
/// the window plus its burst), as a share of that allowance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Overshoot {
    /// Windows in which a customer sent on anything.
    pub windows: u64,
    /// Windows over 5% of the allowance.
    #[serde(rename = "over_5")]
    pub over_5_percent: u64,
    /// The largest overshoot.
    pub largest: f64,
    /// All units sent on beyond allowances, over all units sent on.
    #[serde(rename = "beyond")]
    pub excess_share: f64,
}

#[derive(Default)]
struct Spent {
    window: u64,
    units: f64,
}

/// What a run measured.
pub struct Record {
    /// The table over time.
    pub rows: Vec<Row>,
    /// Counts over the whole run.
    pub total: Counts,
    /// Latencies of ok answers, microseconds.
    pub latency: Histogram<u64>,
    /// Quota overshoot.
    pub overshoot: Overshoot,
    /// Emulated events handled, and the most RPCs live at once.
    pub events: u64,
    /// The most RPCs kept at once.
    pub max_live: u64,
    bucket: Nanos,
    window: Nanos,
    spent: HashMap<u64, Spent>,
    sent: f64,
    beyond: f64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 120_000_000, 2).unwrap_or_else(|_| Histogram::new(2).unwrap())
}

impl Record {
    /// An empty record with rows of `bucket` and overshoot by `window`.
    pub fn new(bucket: Nanos, window: Nanos) -> Record {
        Record {
            rows: Vec::new(),
            total: Counts::default(),
            latency: histogram(),
            overshoot: Overshoot::default(),
            events: 0,
            max_live: 0,
            bucket: bucket.max(1),
            window: window.max(1),
            spent: HashMap::new(),
            sent: 0.0,
            beyond: 0.0,
        }
    }

    /// The row for a time, made where it is not yet.
    pub fn counts_at(&mut self, now: Nanos) -> &mut Counts {
        let at = (now / self.bucket) as usize;
        while self.rows.len() <= at {
            let start = self.rows.len() as Nanos * self.bucket;
            self.rows.push(Row {
                start,
                counts: Counts::default(),
                latency: histogram(),
                gateways_up: 0,
                live: 0,
            });
        }
        &mut self.rows[at].counts
    }

    /// Adds to the row of `now` and to the totals alike.
    pub fn update(&mut self, now: Nanos, change: impl Fn(&mut Counts)) {
        change(self.counts_at(now));
        change(&mut self.total);
    }

    /// An ok answer came after this long.
    pub fn record_latency(&mut self, now: Nanos, took: Nanos) {
        let micros = (took / 1_000).max(1);
        self.counts_at(now);
        let at = (now / self.bucket) as usize;
        let _ = self.rows[at].latency.record(micros);
        let _ = self.latency.record(micros);
    }

    /// Gateways that are up and RPCs that are kept now.
    pub fn record_gauges(&mut self, now: Nanos, gateways_up: u32, live: u64) {
        self.counts_at(now);
        let at = (now / self.bucket) as usize;
        (self.rows[at].gateways_up, self.rows[at].live) = (gateways_up, live);
        self.max_live = self.max_live.max(live);
    }

    /// Units of an RPC sent on to a server for the first time; `allowance` is the plan's rate and burst.
    pub fn record_sent_units(&mut self, now: Nanos, customer: u64, units: f64, rate: f64, burst: f64) {
        let window = now / self.window;
        let spent = self.spent.entry(customer).or_default();
        if spent.window != window {
            let done = std::mem::replace(spent, Spent { window, units: 0.0 });
            Self::close(&mut self.overshoot, &mut self.beyond, done.units, self.window, rate, burst);
        }
        spent.units += units;
        self.sent += units;
    }

    fn close(overshoot: &mut Overshoot, beyond: &mut f64, units: f64, window: Nanos, rate: f64, burst: f64) {
        if units <= 0.0 {
            return;
        }
        let allowance = (rate * window as f64 / 1e9 + burst).max(1e-9);
        let over = ((units - allowance) / allowance).max(0.0);
        overshoot.windows += 1;
        overshoot.over_5_percent += u64::from(over > 0.05);
        overshoot.largest = overshoot.largest.max(over);
        *beyond += (units - allowance).max(0.0);
    }

    /// Closes the windows still open; `plan` gives each customer's rate and burst.
    pub fn finish(&mut self, plan: impl Fn(u64) -> (f64, f64)) {
        let mut open: Vec<_> = self.spent.drain().collect();
        open.sort_by_key(|(customer, _)| *customer);
        for (customer, spent) in open {
            let (rate, burst) = plan(customer);
            Self::close(&mut self.overshoot, &mut self.beyond, spent.units, self.window, rate, burst);
        }
        self.overshoot.excess_share = if self.sent > 0.0 { self.beyond / self.sent } else { 0.0 };
    }

    /// The latency of ok answers at a quantile, milliseconds.
    pub fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
        if histogram.is_empty() { 0.0 } else { histogram.value_at_quantile(quantile) as f64 / 1e3 }
    }
}
