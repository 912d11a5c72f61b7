//! One gateway's view of a customer's quota.
//!
//! It holds three token buckets, all in units: the shared bucket, estimated from the last totals of the shared counter and
//! from what this gateway has taken since; this gateway's even split of it, used while nothing is known of the other
//! gateways; and this gateway's share of the ceiling. It also tracks the pending calls to the counter. No decision is made
//! here: the controller asks how much is left and how old that knowledge is.

use crate::host::{CallOutcome, Nanos};
use crate::samples::{SEC, nanos, push_bounded, secs};
use std::collections::VecDeque;

/// The counter counts in windows. A window is as long as the bucket takes to fill, within these bounds in seconds.
const WINDOW_SECONDS: std::ops::RangeInclusive<f64> = 1.0..=25.0;
/// Prior odds that the other gateways' usage has stopped within the time for which it was not observed.
const BURST_END_PRIOR: f64 = 0.05;
/// The least size assumed for a request, so that the absence of requests that cost nothing is not taken as evidence.
const MIN_REQUEST_UNITS: f64 = 0.01;
/// The longest lifetime that can be requested for a count.
const MAX_COUNT_LIFETIME: Nanos = 60 * SEC;

/// Units counted in one window: those this gateway added (or may have added), and those of the other gateways.
#[derive(Clone, Copy, Debug)]
struct WindowUsage {
    window: u64,
    own: f64,
    others: f64,
}

/// A call to the counter that has not been answered.
#[derive(Clone, Copy, Debug)]
struct PendingCall {
    window: u64,
    add: f64,
    serial: u64,
}

/// The buckets of one customer at this gateway.
#[derive(Clone, Debug, Default)]
pub(crate) struct Quota {
    /// The number of gateways that receive the customer's RPCs.
    pub gateway_count: f64,
    /// Rate and burst of the plan's quota, and of this gateway's share of its ceiling.
    pub rate: f64,
    pub burst: f64,
    pub ceiling_rate: f64,
    ceiling_burst: f64,
    pub window: Nanos,
    /// Levels as of `refilled_at`: the shared bucket as known here, this gateway's even split of it, and its share of the
    /// ceiling.
    pub level: f64,
    /// Units were taken at some time.
    pub is_used: bool,
    pub even_split: f64,
    pub ceiling_level: f64,
    refilled_at: Nanos,
    /// When the last total was read, the rate at which the other gateways took units by then, and when a total last showed
    /// a low bucket. A time of 0 means never.
    pub read_at: Nanos,
    others_rate: f64,
    pub low_at: Nanos,
    /// Units taken but not yet added to the count.
    pub unreported: f64,
    /// Differences from settlement, to be reported with the next call in the same window.
    unreported_settlement: f64,
    /// The last two windows.
    windows: VecDeque<WindowUsage>,
    /// Calls in flight. The answers for one name arrive in the order of the calls.
    calls: VecDeque<PendingCall>,
    /// The serial number of the last call, and when it was made.
    pub last_serial: u64,
    pub called_at: Nanos,
}

impl Quota {
    /// The quota of a plan, from (rate, burst) of the bucket and of the whole ceiling. Usage before `since` is unknown: at that
    /// time the bucket is assumed full, and this gateway's share of the ceiling empty, since an earlier incarnation may have
    /// used it up.
    pub fn new(
        now: Nanos,
        since: Nanos,
        gateway_count: f64,
        bucket: (f64, f64),
        ceiling: (f64, f64),
    ) -> Quota {
        let (rate, burst) = bucket;
        let seconds = (burst / rate.max(1e-6)).clamp(*WINDOW_SECONDS.start(), *WINDOW_SECONDS.end());
        Quota {
            gateway_count,
            rate,
            burst,
            ceiling_rate: ceiling.0 / gateway_count,
            ceiling_burst: ceiling.1 / gateway_count,
            window: nanos(seconds),
            level: burst / gateway_count,
            even_split: burst / gateway_count,
            refilled_at: since,
            called_at: now,
            ..Quota::default()
        }
    }

    /// Applies a changed plan. Units taken so far stay taken; if the window length changes, the count is read again.
    pub fn apply_plan(&mut self, plan: &Quota) {
        let added = plan.burst - self.burst;
        self.level += if self.read_at == 0 { added / self.gateway_count } else { added };
        self.even_split += added / self.gateway_count;
        self.ceiling_level += plan.ceiling_burst - self.ceiling_burst;
        if self.window != plan.window {
            (self.window, self.read_at, self.windows) = (plan.window, 0, VecDeque::new());
        }
        (self.rate, self.burst) = (plan.rate, plan.burst);
        (self.ceiling_rate, self.ceiling_burst) = (plan.ceiling_rate, plan.ceiling_burst);
    }

    /// Refills the buckets up to now. An even split smaller than one RPC of `largest_request` units may go into debt by one.
    pub fn refill(&mut self, now: Nanos, largest_request: f64) {
        let elapsed = secs(now.saturating_sub(self.refilled_at));
        self.refilled_at = now;
        self.level = (self.level + elapsed * self.rate).min(self.burst);
        let share = self.burst / self.gateway_count;
        let split = self.even_split.max(if share < largest_request { -largest_request } else { 0.0 });
        self.even_split = (split + elapsed * self.rate / self.gateway_count).min(share);
        self.ceiling_level = (self.ceiling_level + elapsed * self.ceiling_rate).min(self.ceiling_burst);
    }

    /// Takes the units of an RPC's first attempt, or refunds them if negative.
    pub fn take(&mut self, units: f64) {
        self.is_used = true;
        self.level -= units;
        self.even_split -= units;
        self.ceiling_level -= units;
        self.unreported += units;
    }

    /// Refunds the units of a claim that the counter's answer did not cover, in this gateway's buckets only. The count keeps
    /// them until its window ends, so that it holds what was requested.
    pub fn refund_without_report(&mut self, units: f64) {
        self.level += units;
        self.even_split += units;
        self.ceiling_level += units;
    }

    /// Accounts for the difference between an RPC's actual units and the estimate taken for it. The ceiling is enforced on
    /// estimates, so it is left unchanged. Differences are small and of either sign, so none causes a counter call.
    pub fn settle(&mut self, difference: f64) {
        self.level -= difference;
        self.even_split -= difference;
        self.unreported_settlement += difference;
    }

    /// Whether a new quota would be equivalent: no call is pending, nothing is unreported, and every bucket is full by now. A
    /// plan without a rate has no bucket.
    pub fn is_pristine(&self, now: Nanos, has_counter: bool) -> bool {
        let elapsed = secs(now.saturating_sub(self.refilled_at));
        let lower = self.level.min(self.even_split * self.gateway_count) + elapsed * self.rate;
        let ceiling = self.ceiling_level + elapsed * self.ceiling_rate;
        let full = (self.rate <= 0.0 || lower >= self.burst)
            && (ceiling >= self.ceiling_burst || self.ceiling_rate == 0.0);
        full && self.calls.is_empty() && (self.unreported == 0.0 || !has_counter || self.rate <= 0.0)
    }

    /// The estimated level of the shared bucket now: since the last total, the other gateways are assumed to have continued
    /// to take units at the same rate, for one window at most.
    ///
    /// Without this the bucket would look full as soon as its total is older than a window, which is the usual case where
    /// hundreds of gateways each serve a customer less than once a window. If the customer had continued, this gateway would
    /// have received some requests (of `units` each) as well; their absence is evidence that the burst is over and lowers
    /// the estimate. The cost: a customer that continues only at the other gateways is granted too much here.
    pub fn estimated_level(&self, now: Nanos, units: f64) -> f64 {
        let age = now.saturating_sub(self.read_at);
        let taken = self.others_rate * secs(age.min(self.window));
        let others = (self.gateway_count - 1.0).max(1.0);
        let unobserved = secs(age.saturating_sub(self.window));
        let expected_here = self.others_rate * unobserved / (others * units.max(MIN_REQUEST_UNITS));
        let silence_by_chance = (-expected_here).exp();
        let continues = silence_by_chance / (silence_by_chance + BURST_END_PRIOR);
        self.level - taken * continues
    }

    /// Starts the calls that add the unreported units and read the total. Returns the window and amount of each call, and the
    /// lifetime to request for the counts.
    pub fn start_calls(&mut self, now: Nanos) -> (Vec<(u64, f64)>, Nanos) {
        let window = now / self.window;
        let previous = self.windows.back().map(|usage| usage.window);
        if previous != Some(window) {
            self.unreported_settlement = 0.0; // it belongs to a window that has ended
            push_bounded(&mut self.windows, WindowUsage { window, own: 0.0, others: 0.0 }, 2);
        }
        // The previous window is read once more: otherwise units that other gateways added to it since the last read would
        // never be seen here.
        let previous = previous.filter(|previous| previous + 1 == window && self.level < self.burst / 2.0);
        self.last_serial += 1;
        self.called_at = now;
        let add = std::mem::take(&mut self.unreported) + std::mem::take(&mut self.unreported_settlement);
        let last = PendingCall { window, add, serial: self.last_serial };
        let calls =
            previous.map(|window| PendingCall { window, add: 0.0, serial: 0 }).into_iter().chain([last]);
        let calls: Vec<PendingCall> = calls.collect();
        self.calls.extend(&calls);
        let forget = (2 * self.window + SEC).min(MAX_COUNT_LIFETIME);
        (calls.iter().map(|call| (call.window, call.add)).collect(), forget)
    }

    /// Records the end of the oldest pending call for a window, which is identified by the bits of its number in `mask`. Returns
    /// the call's serial number (0 if it only read), or `None` if no such call is pending.
    pub fn complete_call(
        &mut self,
        now: Nanos,
        window: u64,
        mask: u64,
        outcome: CallOutcome,
        total: f64,
        largest_request: f64,
    ) -> Option<u64> {
        let position = self.calls.iter().position(|call| call.window & mask == window & mask)?;
        let PendingCall { window, add, serial } = self.calls.remove(position)?;
        if self.calls.is_empty() {
            self.calls = VecDeque::new();
        }
        let no_previous_window = !self.windows.iter().any(|usage| usage.window + 1 == window);
        let usage = self.windows.iter_mut().find(|usage| usage.window == window);
        match (outcome, usage) {
            (CallOutcome::Ok, Some(usage)) if total.is_finite() => {
                let is_first_read = no_previous_window && usage.others == 0.0;
                usage.own += add;
                if total + 0.01 + 1e-5 * total.abs() < usage.own {
                    // The counter restarted empty, or adds that timed out were not counted. This total says nothing
                    // about the other gateways' usage and only serves as the new baseline.
                    (usage.own, usage.others) = (add, total - add);
                }
                let elapsed = secs((now % self.window).max(self.window / 4));
                let increase = total - usage.own - usage.others;
                usage.others += increase;
                self.level -= increase;
                let by_others = (total - usage.own).max(0.0);
                // Reduced by one standard deviation of random arrivals, so that chance is not taken for a rate.
                self.others_rate = (by_others - (by_others * largest_request).sqrt()).max(0.0) / elapsed;
                if std::mem::replace(&mut self.read_at, now) == 0 {
                    self.level = self.burst - total - self.unreported - self.unreported_settlement;
                }
                // Nothing is known of the usage before this window, so the same usage is assumed. Otherwise the bucket would
                // look full where a gateway serves a customer less than once a window.
                if is_first_read {
                    let excess_rate = (self.others_rate - self.rate).max(0.0);
                    let before = excess_rate * (elapsed + secs(self.window));
                    self.level = self.level.min(self.burst - before - self.unreported);
                }
                if self.level < self.burst / 4.0 {
                    self.low_at = now;
                }
            }
            // Nothing was added: the units remain unreported.
            (CallOutcome::Full | CallOutcome::NoConnection | CallOutcome::NotSent, _) => {
                self.unreported += add
            }
            // The add may have been counted. It is assumed counted, so that the other gateways' usage is never overestimated.
            (_, Some(usage)) => usage.own += add,
            _ => {}
        }
        Some(serial)
    }
}
