//! Data that a server sends on a connection after a complete response, such as a second copy of it.
//! HTTP/1.1 has nothing that ties a response to its request: whatever comes on a connection after
//! the next request was written is taken for the answer to that request. So a connection rests
//! after each response before it carries another request, and is closed if data comes meanwhile.

use martenramp::host::Nanos;

const MS: Nanos = 1_000_000;
/// How long a connection rests after a response while no late data is known.
pub const MIN_REST: Nanos = 20 * MS;
/// Upper bound of the rest. Data that comes later than this after a response is no sign of late
/// copies: servers also report on connections that were idle for long.
pub const MAX_REST: Nanos = 200 * MS;
/// How long late data that was seen counts.
const OBSERVATION_LIFETIME: Nanos = 60_000 * MS;
/// The rest is this many times as long as the longest lateness seen.
const REST_PER_LATENESS: Nanos = 2;

/// The lateness of the data that came after complete responses. Covers servers whose late copies
/// take longer than the usual rest: most of them arrive while no request is in flight. Trade-off:
/// while the rest is longer, more connections are needed.
#[derive(Debug, Default)]
pub struct LateDataHistory {
    /// The longest lateness seen within its lifetime, and when it was seen.
    longest: Option<(Nanos, Nanos)>,
}

impl LateDataHistory {
    /// Records data that came this long after a response.
    pub fn record(&mut self, now: Nanos, lateness: Nanos) {
        let is_longest = self.current_longest(now).is_none_or(|longest| lateness >= longest);
        if lateness <= MAX_REST && is_longest {
            self.longest = Some((lateness, now));
        }
    }

    /// How long a connection has to rest after a response.
    pub fn rest(&self, now: Nanos) -> Nanos {
        let longest = self.current_longest(now).unwrap_or(0);
        (REST_PER_LATENESS * longest).clamp(MIN_REST, MAX_REST)
    }

    fn current_longest(&self, now: Nanos) -> Option<Nanos> {
        self.longest
            .filter(|(_, seen_at)| now <= seen_at + OBSERVATION_LIFETIME)
            .map(|(lateness, _)| lateness)
    }
}
