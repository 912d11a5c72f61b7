//! Records what the turns of the event loop spend their time on, so that the log shows what a long turn did.

use martenramp::host::Nanos;
use std::time::Instant;

/// At most one line about long turns is written in this time.
const LINE_INTERVAL: Nanos = 1_000_000_000;

/// The work of a turn whose cost may grow with the number of servers or of RPCs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnPart {
    /// Applying changes of the server list.
    ServerList,
    /// Working on the subsets of the servers.
    Subsets,
    /// Admitting RPCs and taking the ends of attempts, with the selection of servers.
    Rpcs,
    /// Reading the configuration again.
    Reload,
}

impl TurnPart {
    /// All parts, in the order of their numbers.
    pub const ALL: [TurnPart; 4] =
        [TurnPart::ServerList, TurnPart::Subsets, TurnPart::Rpcs, TurnPart::Reload];

    fn name(self) -> &'static str {
        match self {
            TurnPart::ServerList => "list",
            TurnPart::Subsets => "subsets",
            TurnPart::Rpcs => "rpcs",
            TurnPart::Reload => "reload",
        }
    }
}

/// How often a part of the work was done in a turn, and how long it took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct PartTime {
    count: u32,
    time: Nanos,
}

/// The times of the current turn, and how many turns were long so far.
#[derive(Debug, Default)]
pub struct TurnLog {
    parts: [PartTime; TurnPart::ALL.len()],
    long_turns: u64,
    longest: Nanos,
    next_line_at: Nanos,
}

impl TurnLog {
    /// Adds work that began at `since` and ends now.
    pub fn add(&mut self, part: TurnPart, since: Instant) {
        let part = &mut self.parts[part as usize];
        part.count += 1;
        part.time += since.elapsed().as_nanos() as Nanos;
    }

    /// Ends a turn. If it took longer than `limit`, returns what it did, as text, unless a line was written shortly
    /// before.
    pub fn end_turn(&mut self, now: Nanos, duration: Nanos, limit: Nanos) -> Option<String> {
        let parts = std::mem::take(&mut self.parts);
        if duration <= limit {
            return None;
        }
        self.long_turns += 1;
        self.longest = self.longest.max(duration);
        if now < self.next_line_at {
            return None;
        }
        self.next_line_at = now + LINE_INTERVAL;
        let done = TurnPart::ALL.iter().zip(parts).filter(|(_, part)| part.count > 0);
        let texts = done.map(|(part, PartTime { count, time })| {
            format!("{}={count} in {:.1} ms", part.name(), time as f64 / 1e6)
        });
        Some(texts.collect::<Vec<_>>().join(", "))
    }

    /// The number of long turns so far, and how long the longest one took.
    pub fn long_turns(&self) -> (u64, Nanos) {
        (self.long_turns, self.longest)
    }
}
