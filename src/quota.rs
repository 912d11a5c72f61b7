//! A customer's quota as one gateway knows it: the shared store by the last totals and its own draws since, its even split of
//! that store for when nothing is known of the others, its part of the ceiling, and the calls to the shared counter that
//! are out. Units throughout; no decision is made here: the module asks what is known, and how old that is.

use crate::host::{CallOutcome, Nanos};
use crate::samples::{SEC, keep, secs, span};
use std::collections::VecDeque;

/// A window of the count is as long as the store takes to fill, within these bounds, seconds.
const WINDOW: std::ops::RangeInclusive<f64> = 1.0..=25.0;
/// Prior odds that what the others draw ends within the time for which it is not seen.
const BURST_ENDS: f64 = 0.05;
/// Units below which a request counts as this large, so that requests that cost nothing are no evidence.
const LEAST_REQUEST: f64 = 0.01;
/// The longest that the counter can be told to remember a name.
const REMEMBERED: Nanos = 60 * SEC;

/// Own adds that counted (or may have) in a window of the count, and others'.
#[derive(Clone, Copy, Debug)]
struct Ledger {
    window: u64,
    own: f64,
    others: f64,
}

/// A call to the counter without an answer yet.
#[derive(Clone, Copy, Debug)]
struct Call {
    window: u64,
    add: f64,
    serial: u64,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Quota {
    /// How many gateways the customer's RPCs come in through.
    pub width: f64,
    /// The plan's, and this gateway's part of its ceiling.
    pub rate: f64,
    pub burst: f64,
    pub ceiling_rate: f64,
    ceiling_burst: f64,
    pub window: Nanos,
    /// As of `at`: the store as seen here, this gateway's even split of it, and its part of the ceiling.
    pub level: f64,
    pub split: f64,
    pub ceiling: f64,
    at: Nanos,
    /// When the last total was read, what the others drew a second by then, and when one last showed the
    /// store short; 0 is never.
    pub read_at: Nanos,
    others: f64,
    pub short_at: Nanos,
    /// Units not yet added to the count.
    pub pending: f64,
    /// Settled differences, to be told with the window's next call.
    settled: f64,
    /// The last two windows.
    ledgers: VecDeque<Ledger>,
    /// Answers for a name come in the order of calls.
    calls: VecDeque<Call>,
    /// Of the last call, and when it was made.
    pub serial: u64,
    pub counted_at: Nanos,
}

impl Quota {
    /// The quota of a plan: rate and burst of the store and of the whole ceiling. What is not known is taken as it stood at
    /// `since`: the store full, the part of the ceiling empty, since an earlier life may have spent it.
    pub fn new(now: Nanos, since: Nanos, width: f64, store: (f64, f64), ceiling: (f64, f64)) -> Quota {
        let (rate, burst) = store;
        let seconds = (burst / rate.max(1e-6)).clamp(*WINDOW.start(), *WINDOW.end());
        Quota {
            width,
            rate,
            burst,
            ceiling_rate: ceiling.0 / width,
            ceiling_burst: ceiling.1 / width,
            window: span(seconds),
            level: burst / width,
            split: burst / width,
            at: since,
            counted_at: now,
            ..Quota::default()
        }
    }

    /// Takes on a changed plan: what is drawn stays drawn; with other windows the count is read anew.
    pub fn follow(&mut self, plan: &Quota) {
        let more = plan.burst - self.burst;
        self.level += if self.read_at == 0 { more / self.width } else { more };
        self.split += more / self.width;
        self.ceiling += plan.ceiling_burst - self.ceiling_burst;
        if self.window != plan.window {
            (self.window, self.read_at, self.ledgers) = (plan.window, 0, VecDeque::new());
        }
        (self.rate, self.burst) = (plan.rate, plan.burst);
        (self.ceiling_rate, self.ceiling_burst) = (plan.ceiling_rate, plan.ceiling_burst);
    }

    /// Brings the stores up to now; a part that holds no whole RPC (of `largest` units) may owe one.
    pub fn refill(&mut self, now: Nanos, largest: f64) {
        let passed = secs(now.saturating_sub(self.at));
        self.at = now;
        self.level = (self.level + passed * self.rate).min(self.burst);
        let part = self.burst / self.width;
        let split = self.split.max(if part < largest { -largest } else { 0.0 });
        self.split = (split + passed * self.rate / self.width).min(part);
        self.ceiling = (self.ceiling + passed * self.ceiling_rate).min(self.ceiling_burst);
    }

    /// Units for a first call-out, or (below 0) given back.
    pub fn take(&mut self, units: f64) {
        self.level -= units;
        self.split -= units;
        self.ceiling -= units;
        self.pending += units;
    }

    /// Units of a claim that the counter's answer refused. The stores here have them back; the count keeps them until
    /// its window ends, so that it holds what was asked for.
    pub fn refuse(&mut self, units: f64) {
        self.level += units;
        self.split += units;
        self.ceiling += units;
    }

    /// What an RPC really counted, less what was taken for it. The ceiling goes by the guess, so this leaves it alone.
    /// Differences go either way and are small, so none is worth a call of its own.
    pub fn settle(&mut self, difference: f64) {
        self.level -= difference;
        self.split -= difference;
        self.settled += difference;
    }

    /// Whether a new one would know the same and as much: nothing is out or untold, and all stores are full by now.
    pub fn is_as_new(&self, now: Nanos, counts: bool) -> bool {
        let passed = secs(now.saturating_sub(self.at));
        let least = self.level.min(self.split * self.width) + passed * self.rate;
        let ceiling = self.ceiling + passed * self.ceiling_rate;
        let full = least >= self.burst && (ceiling >= self.ceiling_burst || self.ceiling_rate == 0.0);
        full && self.calls.is_empty() && (self.pending == 0.0 || !counts)
    }

    /// For how long nothing was asked of it.
    pub fn rested(&self, now: Nanos) -> Nanos {
        now.saturating_sub(self.at)
    }

    /// The store as the others have left it by now: since the last total they are taken to have gone on drawing, for a
    /// window at the most. Guards against a store that looks full as soon as its total is older than a window, where
    /// hundreds of gateways meet a customer less often than that. Requests (of `units`) that this gateway would have met
    /// since, had the customer gone on, are evidence that it has not: a burst that is over is not held against it.
    /// Harm: a customer that went on at the other gateways alone finds too much room here.
    pub fn seen(&self, now: Nanos, units: f64) -> f64 {
        let age = now.saturating_sub(self.read_at);
        let drawn = self.others * secs(age.min(self.window));
        let others = (self.width - 1.0).max(1.0);
        let unseen = secs(age.saturating_sub(self.window));
        let expected_here = self.others * unseen / (others * units.max(LEAST_REQUEST));
        let silence_by_chance = (-expected_here).exp();
        let goes_on = silence_by_chance / (silence_by_chance + BURST_ENDS);
        self.level - drawn * goes_on
    }

    /// The calls that add what is pending and read the total: window and amount of each, and how long their names are to be
    /// remembered.
    pub fn call(&mut self, now: Nanos) -> (Vec<(u64, f64)>, Nanos) {
        let window = now / self.window;
        let old = self.ledgers.back().map(|ledger| ledger.window);
        if old != Some(window) {
            self.settled = 0.0; // it was of a window that is over
            keep(&mut self.ledgers, Ledger { window, own: 0.0, others: 0.0 }, 2);
        }
        // What the others added to the last window since it was read here would be lost with it.
        let old = old.filter(|old| old + 1 == window && self.level < self.burst / 2.0);
        self.serial += 1;
        self.counted_at = now;
        let add = std::mem::take(&mut self.pending) + std::mem::take(&mut self.settled);
        let last = Call { window, add, serial: self.serial };
        let calls = old.map(|window| Call { window, add: 0.0, serial: 0 }).into_iter().chain([last]);
        let calls: Vec<Call> = calls.collect();
        self.calls.extend(&calls);
        let forget = (2 * self.window + SEC).min(REMEMBERED);
        (calls.iter().map(|call| (call.window, call.add)).collect(), forget)
    }

    /// A call for a window, told by its number's low `bits`, has ended; gives its serial, 0 for one that only read. Nothing if
    /// none is out.
    pub fn counted(
        &mut self,
        now: Nanos,
        window: u64,
        bits: u64,
        how: CallOutcome,
        total: f64,
        largest: f64,
    ) -> Option<u64> {
        let place = self.calls.iter().position(|call| call.window & bits == window & bits)?;
        let Call { window, add, serial } = self.calls.remove(place)?;
        let unread = !self.ledgers.iter().any(|ledger| ledger.window + 1 == window);
        let ledger = self.ledgers.iter_mut().find(|ledger| ledger.window == window);
        match (how, ledger) {
            (CallOutcome::Ok, Some(ledger)) if total.is_finite() => {
                let first = unread && ledger.others == 0.0;
                ledger.own += add;
                if total + 0.01 + 1e-5 * total.abs() < ledger.own {
                    // Guards against a counter that came back empty and timed-out adds that did not count:
                    // this total says nothing of the others' use and is only where to count on from.
                    (ledger.own, ledger.others) = (add, total - add);
                }
                let since = secs((now % self.window).max(self.window / 4));
                let more = total - ledger.own - ledger.others;
                ledger.others += more;
                self.level -= more;
                let theirs = (total - ledger.own).max(0.0);
                // Less what chance adds.
                self.others = (theirs - (theirs * largest).sqrt()).max(0.0) / since;
                if std::mem::replace(&mut self.read_at, now) == 0 {
                    self.level = self.burst - total - self.pending - self.settled;
                }
                // Guards against a store that looks full where a customer is met less than once a window:
                // nothing is known of the use before this window, so it is taken to be as in this one.
                if first {
                    let more = (self.others - self.rate).max(0.0);
                    let before = more * (since + secs(self.window));
                    self.level = self.level.min(self.burst - before - self.pending);
                }
                if self.level < self.burst / 4.0 {
                    self.short_at = now;
                }
            }
            // Nothing was added: the units are still to be told.
            (CallOutcome::Full | CallOutcome::NoConnection | CallOutcome::NotSent, _) => self.pending += add,
            // It may have counted; taken as counted, so that the others' use is never seen too large.
            (_, Some(ledger)) => ledger.own += add,
            _ => {}
        }
        Some(serial)
    }
}
