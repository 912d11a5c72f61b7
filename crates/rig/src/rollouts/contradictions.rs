//! For how long gateways contradicted each other or were on a fallback, from their own records.

use super::{Fleet, unix_now};
use crate::{Nanos, SEC};

/// The end of an interval that has not ended.
pub(super) const OPEN_END: Nanos = Nanos::MAX;

/// From an instant until just before another, Unix time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Interval {
    pub(super) from: Nanos,
    pub(super) until: Nanos,
}

impl Interval {
    /// How much of it lies in another.
    fn overlap(self, other: Interval) -> Nanos {
        self.until.min(other.until).saturating_sub(self.from.max(other.from))
    }

    /// What is left of it without another.
    fn without(self, other: Interval) -> impl Iterator<Item = Interval> {
        let before = Interval { from: self.from, until: self.until.min(other.from) };
        let after = Interval { from: self.from.max(other.until), until: self.until };
        [before, after].into_iter().filter(|piece| piece.from < piece.until)
    }
}

/// An interval in which a gateway acted on a version itself.
#[derive(Clone, Debug)]
struct Acted {
    gateway: usize,
    interval: Interval,
    version: u64,
    digest: String,
}

impl Fleet {
    fn acted(&mut self) -> Vec<Acted> {
        self.read();
        let mut acted = Vec::new();
        for (number, gateway) in self.gateways.iter().enumerate() {
            for (at, record) in
                gateway.records.iter().enumerate().filter(|(_, record)| record.acts_on_version)
            {
                let until = gateway.records.get(at + 1).map_or(unix_now(), |next| next.at);
                let mut pieces = vec![Interval { from: record.at, until }];
                for away in &gateway.away {
                    pieces = pieces.into_iter().flat_map(|piece| piece.without(*away)).collect();
                }
                acted.extend(pieces.into_iter().map(|interval| Acted {
                    gateway: number,
                    interval,
                    version: record.version,
                    digest: record.digest.clone(),
                }));
            }
        }
        acted
    }

    /// The longest that any two gateways acted on different contents at the same time since `from`, over all pairs; and
    /// which two.
    pub fn longest_contradiction(&mut self, from: Nanos) -> (Nanos, String) {
        let acted: Vec<Acted> = self.acted().into_iter().filter(|one| one.interval.until > from).collect();
        let mut worst = (0, String::new());
        for (at, one) in acted.iter().enumerate() {
            let differs = |two: &&Acted| (two.version, &two.digest) != (one.version, &one.digest);
            for two in acted[at + 1..].iter().filter(differs) {
                let one_since = Interval { from: one.interval.from.max(from), ..one.interval };
                let both = one_since.overlap(two.interval);
                if both > worst.0 {
                    let name = |acted: &Acted| format!("n{} on version {}", acted.gateway, acted.version);
                    worst = (both, format!("{} and {}", name(one), name(two)));
                }
            }
        }
        worst
    }

    /// For how long gateways were on a fallback since `from`, seconds summed over all that were there.
    pub fn fallback_seconds(&mut self, from: Nanos) -> f64 {
        let now = unix_now();
        let since = Interval { from, until: OPEN_END };
        let whole: Nanos = self.acted().iter().map(|one| one.interval.overlap(since)).sum();
        let played = Interval { from, until: now };
        let away = self.gateways.iter().flat_map(|gateway| &gateway.away);
        let away: Nanos = away.map(|away| away.overlap(played)).sum();
        let all = (now - from) * self.gateways.len() as Nanos;
        all.saturating_sub(whole + away) as f64 / SEC as f64
    }
}
