//! What a run measures beside traffic: times until changes are in force, outcomes of RPCs, and processor time.

use super::traffic::MeasuredPeriod;
use super::{Nanos, SEC};
use hdrhistogram::Histogram;
use rustix::time::{ClockId, clock_gettime};

const DAY: Nanos = 86_400 * SEC;

/// What a gateway's processor time went to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// Lines of the list.
    List,
    /// The counter: answers, time-outs, pings.
    Counter,
    /// Datagrams, files with versions, and settings that begin to hold.
    Agreement,
    /// RPCs and call-outs: not control.
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

/// This thread's processor time so far.
pub fn thread_cpu_time() -> Nanos {
    let spent = clock_gettime(ClockId::ThreadCPUTime);
    spent.tv_sec as Nanos * SEC + spent.tv_nsec as Nanos
}

/// CPU time of the played gateways. It is the machine's and not the emulation's: no two runs give the same.
pub struct CpuUsage {
    frame: MeasuredPeriod,
    total: [Nanos; 4],
    /// For control, by gateway and second.
    control: Vec<Vec<u32>>,
    /// Of each line of the list that changed something.
    pub list_changes: Histogram<u64>,
}

impl CpuUsage {
    pub fn new(frame: MeasuredPeriod, gateways: usize) -> CpuUsage {
        let control = vec![vec![0; frame.seconds]; gateways];
        CpuUsage { frame, total: [0; 4], control, list_changes: histogram() }
    }

    pub fn add(&mut self, now: Nanos, gateway: usize, work: WorkKind, spent: Nanos) {
        let Some(second) = self.frame.second_index(now) else { return };
        self.total[work as usize] += spent;
        if work.is_control() {
            let cell = &mut self.control[gateway][second];
            *cell = cell.saturating_add(u32::try_from(spent).unwrap_or(u32::MAX));
        }
    }

    /// The share of a core that a gateway spent on this kind of work, on average.
    pub fn core_share(&self, work: WorkKind) -> f64 {
        let spans = (self.frame.seconds * self.control.len()).max(1) as f64 * SEC as f64;
        self.total[work as usize] as f64 / spans
    }

    /// The share of a core that control took of a gateway in its busiest second, at the quantile of gateways.
    pub fn busiest_second(&self, quantile: f64) -> f64 {
        let most = |seconds: &Vec<u32>| seconds.iter().copied().max().unwrap_or(0);
        let mut all: Vec<u32> = self.control.iter().map(most).collect();
        all.sort_unstable();
        let place = ((all.len() as f64 * quantile).ceil() as usize).clamp(1, all.len().max(1)) - 1;
        all.get(place).map_or(0.0, |spent| f64::from(*spent) / SEC as f64)
    }
}

/// A histogram of nanoseconds with three digits; what is over a day counts as a day.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, DAY, 3).expect("the bounds are in order and three digits are allowed")
}

/// Times from a change to its being in force at a gateway, all changes at all gateways.
pub struct PropagationDelays {
    from: Nanos,
    pub delays: Histogram<u64>,
}

impl PropagationDelays {
    pub fn new(from: Nanos) -> PropagationDelays {
        PropagationDelays { from, delays: histogram() }
    }

    /// A change made at `at` is in force now; a gateway that began later counts from its start.
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

/// Outcomes of RPCs and what they cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunCounters {
    pub rpcs: u64,
    pub ok: u64,
    pub rejected: u64,
    pub aborted: u64,
    /// Held by a gateway that was killed, or meant for a set of gateways that were all down.
    pub lost: u64,
    pub attempts: u64,
    pub counter_calls: u64,
    pub watch_requests: u64,
    pub watches_broken: u64,
    pub list_changes: u64,
    /// Bytes of lines that tell whole lists or changes, at all played gateways.
    pub list_bytes: u64,
    pub versions: u64,
}
