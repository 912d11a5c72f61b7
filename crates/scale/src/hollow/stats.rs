//! Statistics of a run other than traffic: propagation delays of changes, RPC outcomes and CPU time.

use super::traffic::MeasuredPeriod;
use super::{Nanos, SEC};
use hdrhistogram::Histogram;
use rustix::time::{ClockId, clock_gettime};

const DAY: Nanos = 86_400 * SEC;

/// The kind of work that a gateway spends CPU time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// Snapshots and updates of the server list.
    List,
    /// Replies, timeouts and pings of the counter.
    Counter,
    /// Agreement datagrams, version files and activation of settings.
    Agreement,
    /// RPCs and their attempts; not control work.
    Rpcs,
}

impl WorkKind {
    pub const ALL: [WorkKind; 4] = [WorkKind::List, WorkKind::Counter, WorkKind::Agreement, WorkKind::Rpcs];

    pub fn name(self) -> &'static str {
        match self {
            WorkKind::List => "list",
            WorkKind::Counter => "counter",
            WorkKind::Agreement => "agreement",
            WorkKind::Rpcs => "rpcs",
        }
    }

    fn is_control(self) -> bool {
        self != WorkKind::Rpcs
    }
}

/// CPU time that this thread has used.
pub fn thread_cpu_time() -> Nanos {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as Nanos * SEC + time.tv_nsec as Nanos
}

/// CPU time of the simulated gateways. It is real rather than emulated time, so it differs from run to run.
pub struct CpuUsage {
    period: MeasuredPeriod,
    total: [Nanos; 4],
    /// CPU time of control work for each gateway and second.
    control: Vec<Vec<u32>>,
    /// CPU time for each snapshot or update that contains entries.
    pub list_changes: Histogram<u64>,
}

impl CpuUsage {
    pub fn new(period: MeasuredPeriod, gateways: usize) -> CpuUsage {
        let control = vec![vec![0; period.seconds]; gateways];
        CpuUsage { period, total: [0; 4], control, list_changes: histogram() }
    }

    pub fn add(&mut self, now: Nanos, gateway: usize, work: WorkKind, spent: Nanos) {
        let Some(second) = self.period.second_index(now) else { return };
        self.total[work as usize] += spent;
        if work.is_control() {
            let cell = &mut self.control[gateway][second];
            *cell = cell.saturating_add(u32::try_from(spent).unwrap_or(u32::MAX));
        }
    }

    /// The mean share of a core that a gateway spent on this kind of work.
    pub fn core_share(&self, work: WorkKind) -> f64 {
        let gateway_time = (self.period.seconds * self.control.len()).max(1) as f64 * SEC as f64;
        self.total[work as usize] as f64 / gateway_time
    }

    /// The share of a core that control work took in a gateway's busiest second, at the given quantile over gateways.
    pub fn busiest_second(&self, quantile: f64) -> f64 {
        let peak = |seconds: &Vec<u32>| seconds.iter().copied().max().unwrap_or(0);
        let mut peaks: Vec<u32> = self.control.iter().map(peak).collect();
        peaks.sort_unstable();
        let index = ((peaks.len() as f64 * quantile).ceil() as usize).clamp(1, peaks.len().max(1)) - 1;
        peaks.get(index).map_or(0.0, |spent| f64::from(*spent) / SEC as f64)
    }
}

/// A histogram of nanoseconds with three significant digits and a maximum of one day; recorders saturate at the maximum.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, DAY, 3).expect("valid bounds and number of digits")
}

/// Delays from a change until it is in force at a gateway, over all pairs of a change and a gateway.
pub struct PropagationDelays {
    from: Nanos,
    pub delays: Histogram<u64>,
}

impl PropagationDelays {
    pub fn new(from: Nanos) -> PropagationDelays {
        PropagationDelays { from, delays: histogram() }
    }

    /// Records that a change made at `at` is in force now. For a gateway that started after the change, the delay counts from
    /// its start. Changes before the measured part of the run are ignored.
    pub fn record(&mut self, at: Nanos, started: Nanos, now: Nanos) {
        if at >= self.from {
            self.delays.saturating_record(now - at.max(started));
        }
    }

    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.delays.value_at_quantile(quantile) as f64 / 1e6
    }

    pub fn max_ms(&self) -> f64 {
        self.delays.max() as f64 / 1e6
    }
}

/// Counters over the measured part of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunCounters {
    pub rpcs: u64,
    pub ok: u64,
    pub rejected: u64,
    pub aborted: u64,
    /// RPCs lost because their gateway was killed, or because all gateways of their tenant were down.
    pub lost: u64,
    pub attempts: u64,
    pub counter_calls: u64,
    pub watch_requests: u64,
    pub watches_broken: u64,
    pub list_changes: u64,
    /// Bytes of list snapshots and updates that all simulated gateways received.
    pub list_bytes: u64,
    pub versions: u64,
}
