//! Computes from the gateways' records for how long they contradicted each other or acted on a fallback.

use super::{Fleet, unix_now};
use crate::{Nanos, SEC};

/// The `until` of an interval that has not ended yet.
pub(super) const STILL_OPEN: Nanos = Nanos::MAX;

/// A half-open interval of Unix time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Interval {
    pub(super) from: Nanos,
    pub(super) until: Nanos,
}

impl Interval {
    /// The duration of the overlap with another interval; 0 if they are disjoint.
    fn overlap(self, other: Interval) -> Nanos {
        self.until.min(other.until).saturating_sub(self.from.max(other.from))
    }

    /// The parts of this interval outside another one, at most two.
    fn without(self, other: Interval) -> impl Iterator<Item = Interval> {
        let before = Interval { from: self.from, until: self.until.min(other.from) };
        let after = Interval { from: self.from.max(other.until), until: self.until };
        [before, after].into_iter().filter(|piece| piece.from < piece.until)
    }
}

/// An interval in which a gateway acted on a version itself, not on its fallback.
#[derive(Clone, Debug)]
struct ActedInterval {
    gateway: usize,
    interval: Interval,
    version: u64,
    digest: String,
}

impl Fleet {
    /// The intervals in which gateways acted on a version, without the times in which they were stopped or not running.
    fn acted_intervals(&mut self) -> Vec<ActedInterval> {
        self.collect_lines();
        let mut acted = Vec::new();
        for (number, gateway) in self.gateways.iter().enumerate() {
            for (index, record) in
                gateway.records.iter().enumerate().filter(|(_, record)| record.acts_on_version)
            {
                let until = gateway.records.get(index + 1).map_or(unix_now(), |next| next.at);
                let mut pieces = vec![Interval { from: record.at, until }];
                for inactive in &gateway.inactive {
                    pieces = pieces.into_iter().flat_map(|piece| piece.without(*inactive)).collect();
                }
                acted.extend(pieces.into_iter().map(|interval| ActedInterval {
                    gateway: number,
                    interval,
                    version: record.version,
                    digest: record.digest.clone(),
                }));
            }
        }
        acted
    }

    /// The longest time since `from` for which two gateways acted on different versions or contents at once, and a
    /// description of the pair.
    pub fn longest_contradiction(&mut self, from: Nanos) -> (Nanos, String) {
        let acted: Vec<ActedInterval> =
            self.acted_intervals().into_iter().filter(|acted| acted.interval.until > from).collect();
        let mut worst = (0, String::new());
        for (index, first) in acted.iter().enumerate() {
            let differs =
                |second: &&ActedInterval| (second.version, &second.digest) != (first.version, &first.digest);
            for second in acted[index + 1..].iter().filter(differs) {
                let first_since = Interval { from: first.interval.from.max(from), ..first.interval };
                let overlap = first_since.overlap(second.interval);
                if overlap > worst.0 {
                    let describe =
                        |acted: &ActedInterval| format!("n{} on version {}", acted.gateway, acted.version);
                    worst = (overlap, format!("{} and {}", describe(first), describe(second)));
                }
            }
        }
        worst
    }

    /// The time since `from` for which running gateways acted on a fallback, seconds summed over all gateways.
    pub fn fallback_seconds(&mut self, from: Nanos) -> f64 {
        let now = unix_now();
        let since = Interval { from, until: STILL_OPEN };
        let on_version: Nanos =
            self.acted_intervals().iter().map(|acted| acted.interval.overlap(since)).sum();
        let measured = Interval { from, until: now };
        let inactive = self.gateways.iter().flat_map(|gateway| &gateway.inactive);
        let inactive: Nanos = inactive.map(|interval| interval.overlap(measured)).sum();
        let total = (now - from) * self.gateways.len() as Nanos;
        total.saturating_sub(on_version + inactive) as f64 / SEC as f64
    }
}
