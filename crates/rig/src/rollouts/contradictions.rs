//! For how long gateways contradicted each other or were on a fallback, from their own records.

use super::{Fleet, unix};
use crate::{Nanos, SEC};

/// A span in which a gateway acted on a version itself.
#[derive(Clone, Debug)]
struct Acted {
    gateway: usize,
    from: Nanos,
    to: Nanos,
    version: u64,
    digest: String,
}

impl Fleet {
    fn acted(&mut self) -> Vec<Acted> {
        self.read();
        let mut spans = Vec::new();
        for (number, gateway) in self.gateways.iter().enumerate() {
            for (at, record) in gateway.records.iter().enumerate().filter(|(_, record)| record.whole) {
                let to = gateway.records.get(at + 1).map_or(unix(), |next| next.at);
                let mut pieces = vec![(record.at, to)];
                for gone in &gateway.away {
                    pieces = pieces.into_iter().flat_map(|piece| without(piece, *gone)).collect();
                }
                spans.extend(pieces.into_iter().map(|(from, to)| Acted {
                    gateway: number,
                    from,
                    to,
                    version: record.version,
                    digest: record.digest.clone(),
                }));
            }
        }
        spans
    }

    /// The longest that any two gateways acted on different contents at the same time since `from`, over all pairs; and
    /// which two.
    pub fn contradicted(&mut self, from: Nanos) -> (Nanos, String) {
        let spans: Vec<Acted> = self.acted().into_iter().filter(|span| span.to > from).collect();
        let mut worst = (0, String::new());
        for (at, one) in spans.iter().enumerate() {
            for two in
                spans[at + 1..].iter().filter(|two| (two.version, &two.digest) != (one.version, &one.digest))
            {
                let both = one.to.min(two.to).saturating_sub(one.from.max(two.from).max(from));
                if both > worst.0 {
                    let name = |acted: &Acted| format!("n{} on version {}", acted.gateway, acted.version);
                    worst = (both, format!("{} and {}", name(one), name(two)));
                }
            }
        }
        worst
    }

    /// For how long gateways were on a ground since `from`, seconds summed over all that were there.
    pub fn on_ground(&mut self, from: Nanos) -> f64 {
        let now = unix();
        let whole: Nanos = self.acted().iter().map(|span| span.to.saturating_sub(span.from.max(from))).sum();
        let away: Nanos = self
            .gateways
            .iter()
            .flat_map(|gateway| &gateway.away)
            .map(|gone| gone.1.min(now).saturating_sub(gone.0.max(from)))
            .sum();
        let all = (now - from) * self.gateways.len() as Nanos;
        all.saturating_sub(whole + away) as f64 / SEC as f64
    }
}

fn without(piece: (Nanos, Nanos), gone: (Nanos, Nanos)) -> Vec<(Nanos, Nanos)> {
    let left = (piece.0, piece.1.min(gone.0));
    let right = (piece.0.max(gone.1), piece.1);
    [left, right].into_iter().filter(|piece| piece.0 < piece.1).collect()
}
