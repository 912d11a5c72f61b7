//! Small tools of the module that decide nothing: the last samples of a measurement, spans of time, settings by name.

use crate::host::{Nanos, Settings};
use std::collections::VecDeque;

pub(crate) const MS: Nanos = 1_000_000;
pub(crate) const SEC: Nanos = 1_000 * MS;

/// Adds a sample and keeps the last `most`.
pub(crate) fn push_bounded<T>(samples: &mut VecDeque<T>, sample: T, most: usize) {
    samples.push_back(sample);
    samples.drain(..samples.len().saturating_sub(most));
}

/// Of ends (when, after how long, whether ok) the oks of the last 2 s: how many, and how many a second (since the first of
/// them, if there are enough).
pub(crate) fn recent_success_rate(
    now: Nanos,
    ends: &VecDeque<(Nanos, Nanos, bool)>,
    enough: usize,
) -> (usize, f64) {
    let fresh = || ends.iter().filter(|end| end.2 && now - end.0 < 2 * SEC);
    let count = fresh().count();
    let since = fresh().next().filter(|_| count >= enough).map_or(2 * SEC, |first| now - first.0);
    (count, count as f64 / secs(since).max(0.05))
}

pub(crate) fn median(mut samples: Vec<Nanos>) -> Nanos {
    samples.sort_unstable();
    samples.get(samples.len() / 2).copied().unwrap_or(0)
}

pub(crate) fn secs(span: Nanos) -> f64 {
    span as f64 / SEC as f64
}

/// Seconds as a span, of an hour at the most.
pub(crate) fn nanos(secs: f64) -> Nanos {
    (secs.clamp(0.0, 3600.0) * SEC as f64) as Nanos
}

/// A number among the settings; what is missing or can't be read takes the default.
pub(crate) fn number_setting(settings: &Settings, name: &str, default: f64) -> f64 {
    let value = settings.get(name).and_then(|text| text.parse().ok());
    value.filter(|value: &f64| value.is_finite()).unwrap_or(default)
}
