//! Decides how long a server that looks expensive is left alone before its old results stop counting.
//!
//! A server whose results are the worst of all is not selected, so it gets no newer results. Without a limit, one slow answer
//! would keep it idle for as long as results are kept.

use super::*;

/// A result is slow if it took longer than this multiple of the typical latency.
const SLOW_RATIO: Nanos = 2;
/// The time after the first slow or failed result until the server's old results stop counting.
const FIRST_INTERVAL: Nanos = 500 * MS;
/// By how much each further one in a row lengthens it.
const INTERVAL_GROWTH: f64 = 3.0;
/// The longest time for which old results count.
pub(super) const MAX_INTERVAL: Nanos = 4 * SAMPLE_LIFETIME;
/// How many gateways may revisit a slow server independently. With more of them, the intervals grow.
const INDEPENDENT_GATEWAYS: f64 = 3.0;

/// The longest time for which results that were not bad keep a server idle that this gateway uses often.
const MAX_IDLE: Nanos = REVISIT_INTERVAL;
/// How many RPCs of an even share a server misses before its old results stop counting.
const MISSED_RPCS: f64 = 4.0;

/// How this gateway uses the servers of a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Usage {
    /// Whether it uses each server so rarely that servers take turns.
    pub rarely: bool,
    /// The time in which an even share would have brought a server [`MISSED_RPCS`].
    missed_rpcs_time: Nanos,
}

impl Usage {
    /// `even_rate` is the rate a second at which each server would get RPCs if all got equally many.
    pub(super) fn new(rarely: bool, even_rate: f64) -> Usage {
        Usage { rarely, missed_rpcs_time: nanos(MISSED_RPCS / even_rate.max(1e-3)) }
    }

    /// The idle time after which results that were not bad no longer count.
    fn healthy_interval(self) -> Nanos {
        if self.rarely { MAX_INTERVAL } else { self.missed_rpcs_time.min(MAX_IDLE) }
    }
}

/// The slow and failed results of a server in a row.
///
/// Results of attempts that were in flight together count once, since they tell of the same disturbance.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct BadStreak {
    length: u32,
    /// Where in the range of possible intervals this streak lies, from 0 to 1. It keeps gateways from revisiting a server all
    /// at the same time.
    position: f32,
    last_end: Nanos,
}

impl BadStreak {
    /// Records a slow or failed result. `position` is random, from 0 to 1.
    pub(super) fn record_bad(&mut self, now: Nanos, sent_at: Nanos, position: f64) {
        if self.length == 0 || sent_at >= self.last_end {
            self.length = self.length.saturating_add(1);
            self.position = position as f32;
        }
        self.last_end = now;
    }

    /// Records a success that was not slow. It ends the streak, unless the attempt was sent before the last bad result.
    pub(super) fn record_good(&mut self, sent_at: Nanos) {
        if sent_at >= self.last_end {
            self.length = 0;
        }
    }

    /// The time after the last result until old results stop counting, if `gateways` gateways use the server; `None` without a
    /// bad result.
    fn interval(&self, gateways: f64, usage: Usage) -> Option<Nanos> {
        let further = self.length.checked_sub(1)?;
        let longest = (gateways / INDEPENDENT_GATEWAYS).max(1.0);
        let factor = 1.0 + (longest - 1.0) * f64::from(self.position);
        let interval = FIRST_INTERVAL as f64 * factor * INTERVAL_GROWTH.powf(f64::from(further));
        Some((interval as Nanos).max(usage.missed_rpcs_time).min(MAX_INTERVAL))
    }
}

/// Whether a result was slow, compared with the typical latency at the time; 0 means that it is not known.
pub(super) fn is_slow(duration: Nanos, typical: Nanos) -> bool {
    typical > 0 && duration > SLOW_RATIO * typical
}

impl AdmissionController {
    /// Whether a server has been idle for so long that its old results no longer count.
    ///
    /// Where servers are used often, that is soon even if no result was bad: otherwise the server with the highest average would
    /// stay idle, however small the difference. Where they are used rarely, they take turns, and small differences do not
    /// matter.
    pub(super) fn is_revisit_due(&self, now: Nanos, server: &Server, usage: Usage) -> bool {
        let Some(last) = server.results.back() else { return false };
        let all_gateways = self.gateway_count();
        let gateways = if usage.rarely { all_gateways.min(SUBSETS_PER_SERVER) } else { all_gateways };
        let interval =
            server.bad_streak.interval(gateways, usage).unwrap_or_else(|| usage.healthy_interval());
        server.open_attempts.is_empty() && now.saturating_sub(last.0) >= interval
    }
}
