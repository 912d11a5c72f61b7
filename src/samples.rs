//! Helpers shared by the decision code: sample windows, time conversions and numeric settings.

use crate::host::{Nanos, Settings};
use std::collections::VecDeque;

pub(crate) const MS: Nanos = 1_000_000;
pub(crate) const SEC: Nanos = 1_000 * MS;

/// Appends a sample and drops the oldest ones beyond `max_len`.
pub(crate) fn push_bounded<T>(samples: &mut VecDeque<T>, sample: T, max_len: usize) {
    samples.push_back(sample);
    samples.drain(..samples.len().saturating_sub(max_len));
}

/// The number of successes in the last 2 s and their rate a second, from results of the form (end, duration, success).
/// With at least `min_count` successes the rate is taken over the time since the first of them, otherwise over the 2 s.
pub(crate) fn recent_success_rate(
    now: Nanos,
    results: &VecDeque<(Nanos, Nanos, bool)>,
    min_count: usize,
) -> (usize, f64) {
    let recent = || results.iter().filter(|result| result.2 && now - result.0 < 2 * SEC);
    let count = recent().count();
    let since = recent().next().filter(|_| count >= min_count).map_or(2 * SEC, |first| now - first.0);
    (count, count as f64 / secs(since).max(0.05))
}

pub(crate) fn median(mut samples: Vec<Nanos>) -> Nanos {
    samples.sort_unstable();
    samples.get(samples.len() / 2).copied().unwrap_or(0)
}

pub(crate) fn secs(duration: Nanos) -> f64 {
    duration as f64 / SEC as f64
}

/// Converts seconds to nanoseconds, clamped to the range from 0 to one hour.
pub(crate) fn nanos(secs: f64) -> Nanos {
    (secs.clamp(0.0, 3600.0) * SEC as f64) as Nanos
}

/// A numeric setting, or the default if it is missing, unreadable or not finite.
pub(crate) fn number_setting(settings: &Settings, name: &str, default: f64) -> f64 {
    let value = settings.get(name).and_then(|text| text.parse().ok());
    value.filter(|value: &f64| value.is_finite()).unwrap_or(default)
}
