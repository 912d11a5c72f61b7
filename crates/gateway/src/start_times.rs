//! Converts listed server start times to this process's clock. The list stamps them by the wall
//! clock, which may be stepped while this process runs; the process's own clock reads the wall
//! clock once at its start and then advances monotonically.

use martenramp::host::Nanos;
use std::time::{SystemTime, UNIX_EPOCH};

const MS: Nanos = 1_000_000;
/// A wall clock that differs this much from the process's clock has been stepped: regular
/// corrections are smaller.
const STEP_THRESHOLD: Nanos = 1_000 * MS;

/// Whether the wall clock was stepped since this process's clock was set by it.
pub fn is_wall_stepped(now: Nanos) -> bool {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as Nanos);
    wall.abs_diff(now) > STEP_THRESHOLD
}

/// The start time of a server that is now listed with this stamp; 0 means long ago. The result is
/// never in the future. If the wall clock was stepped, a start that this process saw announced
/// (`seen`) counts as now, whatever the stamp says. This prevents a server that just started from
/// counting as warm, and one from staying cold for as long as the clock was stepped. The cost:
/// after a step, a server that was not listed for a while counts as colder than it is.
pub fn started_at(stamp: Nanos, now: Nanos, seen: bool, stepped: bool) -> Nanos {
    match stamp {
        0 => 0,
        _ if seen && stepped => now,
        _ => stamp.min(now),
    }
}
