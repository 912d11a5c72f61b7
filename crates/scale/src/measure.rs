//! Measures one operation: CPU time of the thread, allocations, live and peak memory, messages and bytes.

use crate::ScaleError;
use crate::alloc;
use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// A number of messages and their encoded size.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Volume {
    pub messages: u64,
    pub bytes: u64,
}

impl Volume {
    /// Adds one message of `bytes` bytes.
    pub fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }
}

/// Messages that a gateway sent and received during an operation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Traffic {
    pub sent: Volume,
    pub received: Volume,
}

impl Traffic {
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: Traffic) {
        self.sent.messages += other.sent.messages;
        self.sent.bytes += other.sent.bytes;
        self.received.messages += other.received.messages;
        self.received.bytes += other.received.bytes;
    }
}

/// One step of an operation; it is run repeatedly and owns its state.
pub type Step = Box<dyn FnMut() -> Result<Traffic, ScaleError>>;

/// An operation that is ready to be measured.
pub struct Operation {
    pub step: Step,
    /// Operations performed by one step; figures are divided by this.
    pub operations_per_step: u64,
    /// The maximum number of steps that the prepared state allows.
    pub max_steps: usize,
}

/// Figures of one operation: medians over the steps, except `rest_bytes`, which is taken after the last step.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    pub steps: usize,
    /// CPU time of the thread, nanoseconds.
    pub cpu_ns: f64,
    /// Number of allocations, and the bytes requested by them.
    pub allocations: f64,
    pub allocated_bytes: f64,
    /// Live bytes of the whole state between steps, and the peak during a step.
    pub rest_bytes: f64,
    pub peak_bytes: f64,
    pub sent_messages: f64,
    pub sent_bytes: f64,
    pub received_messages: f64,
    pub received_bytes: f64,
}

/// CPU time used by this thread so far.
pub fn thread_cpu() -> Duration {
    let now = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}

/// Prepares an operation and repeats its step until `effort` of CPU time is spent, at least once.
pub fn measure(
    prepare: &dyn Fn() -> Result<Operation, ScaleError>,
    effort: Duration,
) -> Result<Figures, ScaleError> {
    let bytes_before = alloc::thread_counts().live_bytes;
    let mut operation = prepare()?;
    let per_step = operation.operations_per_step as f64;
    let mut steps: Vec<Figures> = alloc::without_counting(|| Vec::with_capacity(operation.max_steps));
    let mut spent = Duration::ZERO;
    while steps.len() < operation.max_steps && (spent < effort || steps.is_empty()) {
        alloc::reset_thread_peak();
        let (counts_before, start) = (alloc::thread_counts(), thread_cpu());
        let traffic = (operation.step)()?;
        let cpu = thread_cpu() - start;
        let after = alloc::thread_counts();
        spent += cpu;
        steps.push(Figures {
            steps: 1,
            cpu_ns: cpu.as_nanos() as f64 / per_step,
            allocations: (after.allocations - counts_before.allocations) as f64 / per_step,
            allocated_bytes: (after.allocated_bytes - counts_before.allocated_bytes) as f64 / per_step,
            rest_bytes: (after.live_bytes - bytes_before) as f64,
            peak_bytes: (after.peak_bytes - bytes_before) as f64,
            sent_messages: traffic.sent.messages as f64 / per_step,
            sent_bytes: traffic.sent.bytes as f64 / per_step,
            received_messages: traffic.received.messages as f64 / per_step,
            received_bytes: traffic.received.bytes as f64 / per_step,
        });
    }
    Ok(medians(&steps))
}

fn medians(steps: &[Figures]) -> Figures {
    let median = |figure: fn(&Figures) -> f64| {
        let mut values: Vec<f64> = steps.iter().map(figure).collect();
        values.sort_by(f64::total_cmp);
        values.get(values.len() / 2).copied().unwrap_or(0.0)
    };
    Figures {
        steps: steps.len(),
        cpu_ns: median(|step| step.cpu_ns),
        allocations: median(|step| step.allocations),
        allocated_bytes: median(|step| step.allocated_bytes),
        rest_bytes: steps.last().map_or(0.0, |step| step.rest_bytes),
        peak_bytes: median(|step| step.peak_bytes),
        sent_messages: median(|step| step.sent_messages),
        sent_bytes: median(|step| step.sent_bytes),
        received_messages: median(|step| step.received_messages),
        received_bytes: median(|step| step.received_bytes),
    }
}
