//! When servers started, by this process's own clock. The list stamps starts by the wall clock, which may be stepped while this
//! process runs; its own clock read that once and goes on by the monotonic one.

use martenramp::host::Nanos;
use std::time::{SystemTime, UNIX_EPOCH};

const MS: Nanos = 1_000_000;
/// A wall clock that is so far from this process's has been stepped: it is corrected in smaller parts otherwise.
const STEPPED: Nanos = 1_000 * MS;

/// Whether the wall clock is no longer the one that this process's clock was set by.
pub fn is_wall_stepped(now: Nanos) -> bool {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as Nanos);
    wall.abs_diff(now) > STEPPED
}

/// When a server started that is listed with this stamp from now on; 0 is long ago. Nothing starts in the future; and once the
/// wall clock was stepped, a start that this process saw told is taken to be now, whatever the stamp says. Guards against a
/// server that started just now and counts as warm, or stays cold for as long as a clock was stepped. Harm: after a step,
/// one that was not listed for a while counts as colder than it is.
pub fn started_at(stamp: Nanos, now: Nanos, seen: bool, stepped: bool) -> Nanos {
    match stamp {
        0 => 0,
        _ if seen && stepped => now,
        _ => stamp.min(now),
    }
}
