//! Measures one operation: processor time of the thread, memory asked for and held, messages and bytes.

use crate::ScaleError;
use crate::alloc;
use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Messages and their bytes, as encoded.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Volume {
    pub messages: u64,
    pub bytes: u64,
}

impl Volume {
    /// Counts one more message of so many bytes.
    pub fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }
}

/// What a gateway sent and received in an operation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Traffic {
    pub sent: Volume,
    pub received: Volume,
}

impl Traffic {
    /// Counts other traffic, too.
    pub fn add(&mut self, other: Traffic) {
        self.sent.messages += other.sent.messages;
        self.sent.bytes += other.sent.bytes;
        self.received.messages += other.received.messages;
        self.received.bytes += other.received.bytes;
    }
}

/// One step of an operation, run again and again on the state that it owns.
pub type Step = Box<dyn FnMut() -> Result<Traffic, ScaleError>>;

/// A prepared operation.
pub struct Operation {
    pub step: Step,
    /// So many operations are one step: the figures are divided by it.
    pub operations_per_step: u64,
    /// The state serves so many steps.
    pub steps_most: usize,
}

/// Figures of one operation: medians over the steps, except for what is held at rest, which is counted after the last.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    pub steps: usize,
    /// Processor time of the thread, nanoseconds.
    pub cpu_ns: f64,
    /// Times that memory was asked for, and the bytes asked for.
    pub allocations: f64,
    pub allocated_bytes: f64,
    /// Bytes held by the whole state at rest, and the most held at once in a step.
    pub rest_bytes: f64,
    pub peak_bytes: f64,
    pub sent_messages: f64,
    pub sent_bytes: f64,
    pub received_messages: f64,
    pub received_bytes: f64,
}

/// Processor time of this thread so far.
pub fn thread_cpu() -> Duration {
    let now = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}

/// Prepares an operation and runs it until `effort` of processor time is spent on it, once at least.
pub fn measure(
    prepare: &dyn Fn() -> Result<Operation, ScaleError>,
    effort: Duration,
) -> Result<Figures, ScaleError> {
    let before = alloc::thread_counts().live_bytes;
    let mut operation = prepare()?;
    let per_step = operation.operations_per_step as f64;
    let mut steps: Vec<Figures> = alloc::without_counting(|| Vec::with_capacity(operation.steps_most));
    let mut spent = Duration::ZERO;
    while steps.len() < operation.steps_most && (spent < effort || steps.is_empty()) {
        alloc::reset_thread_peak();
        let (counts, start) = (alloc::thread_counts(), thread_cpu());
        let traffic = (operation.step)()?;
        let cpu = thread_cpu() - start;
        let after = alloc::thread_counts();
        spent += cpu;
        steps.push(Figures {
            steps: 1,
            cpu_ns: cpu.as_nanos() as f64 / per_step,
            allocations: (after.allocations - counts.allocations) as f64 / per_step,
            allocated_bytes: (after.allocated_bytes - counts.allocated_bytes) as f64 / per_step,
            rest_bytes: (after.live_bytes - before) as f64,
            peak_bytes: (after.peak_bytes - before) as f64,
            sent_messages: traffic.sent.messages as f64 / per_step,
            sent_bytes: traffic.sent.bytes as f64 / per_step,
            received_messages: traffic.received.messages as f64 / per_step,
            received_bytes: traffic.received.bytes as f64 / per_step,
        });
    }
    Ok(medians(&steps))
}

fn medians(steps: &[Figures]) -> Figures {
    let median = |pick: fn(&Figures) -> f64| {
        let mut values: Vec<f64> = steps.iter().map(pick).collect();
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
