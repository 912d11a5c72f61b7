//! Measurements of a run: a time series, totals, latency histograms and quota overshoot per customer.
//!
//! All values derive from the emulated clock, so two runs of the same scenario and seed give the same record.

use crate::Nanos;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::HashMap;

/// RPC outcomes, attempts, counter calls and utility. `ok`, `rejected` and `aborted` count final answers; the other
/// outcomes are of RPCs without one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    /// RPCs that arrived.
    pub arrived: u64,
    /// RPCs answered ok.
    pub ok: u64,
    /// RPCs that the gateway rejected.
    #[serde(rename = "pushed_back")]
    pub rejected: u64,
    /// RPCs that the gateway aborted.
    pub aborted: u64,
    /// RPCs without an answer half a second after their deadline.
    pub lost: u64,
    /// RPCs that their clients gave up before an answer.
    #[serde(rename = "left")]
    pub abandoned: u64,
    /// RPCs held by a gateway that was killed, or that found no gateway to accept them.
    #[serde(rename = "cut")]
    pub disconnected: u64,
    /// Final answers to an RPC that already had one; always 0 unless a policy is faulty.
    #[serde(rename = "twice")]
    pub duplicate_answers: u64,
    /// Attempts sent to servers.
    #[serde(rename = "call_outs")]
    pub attempts: u64,
    /// Calls to the shared counter.
    #[serde(rename = "count_calls")]
    pub counter_calls: u64,
    /// Calls to the shared counter that got no answer in time.
    #[serde(rename = "count_missed")]
    pub counter_timeouts: u64,
    /// Sum of the credits of all RPCs that arrived.
    #[serde(rename = "asked")]
    pub utility_asked: f64,
    /// Utility earned by ok answers before their deadlines.
    #[serde(rename = "served")]
    pub utility_served: f64,
}

impl Counts {
    /// RPCs that were answered or lost: neither abandoned by the client nor disconnected.
    pub fn resolved(&self) -> u64 {
        self.ok + self.rejected + self.aborted + self.lost
    }

    /// Ratio of utility served to utility asked; 1 if none was asked.
    pub fn service(&self) -> f64 {
        if self.utility_asked > 0.0 { self.utility_served / self.utility_asked } else { 1.0 }
    }
}

/// One time bucket of a run.
pub struct Row {
    /// Start of the bucket.
    pub start: Nanos,
    /// Counts of events within the bucket.
    pub counts: Counts,
    /// Latencies of ok answers, in microseconds.
    pub latency: Histogram<u64>,
    /// Gateways that accept clients at the end of the bucket.
    pub gateways_up: u32,
    /// RPCs that the emulator tracks at the end of the bucket.
    pub live: u64,
}

/// Quota overshoot: for each customer and window, the units forwarded to servers beyond the plan's allowance (its
/// rate times the window, plus its burst), as a share of that allowance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Overshoot {
    /// Customer windows in which any units were forwarded.
    pub windows: u64,
    /// Windows that exceed the allowance by more than 5%.
    #[serde(rename = "over_5")]
    pub over_5_percent: u64,
    /// Largest overshoot of any window.
    pub largest: f64,
    /// Units forwarded beyond the allowances, as a share of all units forwarded.
    #[serde(rename = "beyond")]
    pub excess_share: f64,
}

/// Units that one customer's RPCs used in its most recent window.
#[derive(Default)]
struct WindowUsage {
    window: u64,
    units: f64,
}

/// Measurements of one run.
pub struct Record {
    /// Time buckets, in order and without gaps.
    pub rows: Vec<Row>,
    /// Counts of the whole run.
    pub total: Counts,
    /// Latencies of ok answers, in microseconds.
    pub latency: Histogram<u64>,
    /// Quota overshoot; complete after [`Record::finish`].
    pub overshoot: Overshoot,
    /// Emulated events processed.
    pub events: u64,
    /// Largest number of tracked RPCs at the end of any bucket.
    pub max_live: u64,
    bucket_width: Nanos,
    window_width: Nanos,
    usage_by_customer: HashMap<u64, WindowUsage>,
    units_sent: f64,
    excess_units: f64,
}

/// A latency histogram up to two minutes, in microseconds, with two significant digits.
fn new_latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 120_000_000, 2).unwrap_or_else(|_| Histogram::new(2).unwrap())
}

impl Record {
    /// Creates an empty record with the given widths of time buckets and of overshoot windows.
    pub fn new(bucket_width: Nanos, window_width: Nanos) -> Record {
        Record {
            rows: Vec::new(),
            total: Counts::default(),
            latency: new_latency_histogram(),
            overshoot: Overshoot::default(),
            events: 0,
            max_live: 0,
            bucket_width: bucket_width.max(1),
            window_width: window_width.max(1),
            usage_by_customer: HashMap::new(),
            units_sent: 0.0,
            excess_units: 0.0,
        }
    }

    /// Counts of the bucket that contains `now`; adds empty buckets up to it.
    pub fn counts_at(&mut self, now: Nanos) -> &mut Counts {
        let index = (now / self.bucket_width) as usize;
        while self.rows.len() <= index {
            let start = self.rows.len() as Nanos * self.bucket_width;
            self.rows.push(Row {
                start,
                counts: Counts::default(),
                latency: new_latency_histogram(),
                gateways_up: 0,
                live: 0,
            });
        }
        &mut self.rows[index].counts
    }

    /// Applies `change` to the bucket that contains `now` and to the totals.
    pub fn update(&mut self, now: Nanos, change: impl Fn(&mut Counts)) {
        change(self.counts_at(now));
        change(&mut self.total);
    }

    /// Records the latency of an ok answer.
    pub fn record_latency(&mut self, now: Nanos, latency: Nanos) {
        let micros = (latency / 1_000).max(1);
        self.counts_at(now);
        let index = (now / self.bucket_width) as usize;
        let _ = self.rows[index].latency.record(micros);
        let _ = self.latency.record(micros);
    }

    /// Records the current numbers of gateways that accept clients and of tracked RPCs.
    pub fn record_gauges(&mut self, now: Nanos, gateways_up: u32, live: u64) {
        self.counts_at(now);
        let index = (now / self.bucket_width) as usize;
        (self.rows[index].gateways_up, self.rows[index].live) = (gateways_up, live);
        self.max_live = self.max_live.max(live);
    }

    /// Counts the units of an RPC that is forwarded to a server for the first time. `rate` and `burst` are the
    /// customer's plan.
    pub fn record_sent_units(&mut self, now: Nanos, customer: u64, units: f64, rate: f64, burst: f64) {
        let window = now / self.window_width;
        let usage = self.usage_by_customer.entry(customer).or_default();
        if usage.window != window {
            let closed = std::mem::replace(usage, WindowUsage { window, units: 0.0 });
            Self::close_window(
                &mut self.overshoot,
                &mut self.excess_units,
                closed.units,
                self.window_width,
                rate,
                burst,
            );
        }
        usage.units += units;
        self.units_sent += units;
    }

    /// Adds the overshoot of one customer's window to the statistics.
    fn close_window(
        overshoot: &mut Overshoot,
        excess_units: &mut f64,
        units: f64,
        window_width: Nanos,
        rate: f64,
        burst: f64,
    ) {
        if units <= 0.0 {
            return;
        }
        let allowance = (rate * window_width as f64 / 1e9 + burst).max(1e-9);
        let excess = ((units - allowance) / allowance).max(0.0);
        overshoot.windows += 1;
        overshoot.over_5_percent += u64::from(excess > 0.05);
        overshoot.largest = overshoot.largest.max(excess);
        *excess_units += (units - allowance).max(0.0);
    }

    /// Closes every open window and computes the excess share; `plan` returns a customer's rate and burst.
    pub fn finish(&mut self, plan: impl Fn(u64) -> (f64, f64)) {
        let mut open: Vec<_> = self.usage_by_customer.drain().collect();
        open.sort_by_key(|(customer, _)| *customer);
        for (customer, usage) in open {
            let (rate, burst) = plan(customer);
            Self::close_window(
                &mut self.overshoot,
                &mut self.excess_units,
                usage.units,
                self.window_width,
                rate,
                burst,
            );
        }
        self.overshoot.excess_share =
            if self.units_sent > 0.0 { self.excess_units / self.units_sent } else { 0.0 };
    }

    /// Latency at a quantile from 0 to 1, in milliseconds; 0 for an empty histogram.
    pub fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
        if histogram.is_empty() { 0.0 } else { histogram.value_at_quantile(quantile) as f64 / 1e3 }
    }
}
