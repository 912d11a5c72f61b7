//! The timeline of a shutdown. The platform kills the process some time after SIGTERM, so every
//! wait ends before that: new connections are accepted for a while, then messages that have begun
//! may still be completed, then every RPC gets its final answer, then the process exits by itself.

use martenramp::host::Nanos;

const MS: Nanos = 1_000_000;
/// SIGKILL follows SIGTERM after at least the longest deadline, of which at most this much counts,
/// plus a grace period (the operators' protocol page, "Figures").
const MAX_DEADLINE: Nanos = 3_000 * MS;
const KILL_GRACE: Nanos = 700 * MS;
/// How long new connections are accepted. They keep coming for 0.2 to 0.4 s after SIGTERM.
const LISTEN_PERIOD: Nanos = 500 * MS;
/// How long messages are read that had begun, or that are the first on their connection.
const READ_PERIOD: Nanos = 1_000 * MS;
/// How long before SIGKILL every RPC has its answer. Covers a process that is held up for 0.15 s
/// and a long turn of the event loop. The cost: an answer that would arrive in this interval is not
/// waited for.
const ANSWER_MARGIN: Nanos = 250 * MS;
/// How long before `answer_by` reading stops, so that the last messages can still be attempted.
const READ_MARGIN: Nanos = 50 * MS;
/// How long before SIGKILL the process exits, whatever is still open.
const EXIT_MARGIN: Nanos = 100 * MS;

/// The steps of a shutdown, in gateway clock time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// When SIGTERM was received.
    pub signalled_at: Nanos,
    /// End of accepting connections.
    pub listen_until: Nanos,
    /// From then on incomplete messages are rejected, and connections that have sent nothing are
    /// closed.
    pub read_until: Nanos,
    /// When every RPC has its final answer.
    pub answer_by: Nanos,
    /// When everything still open is closed and the process exits.
    pub exit_at: Nanos,
}

impl Shutdown {
    /// The timeline of a process that received SIGTERM at this time, under settings with this
    /// longest deadline.
    pub fn new(signalled_at: Nanos, longest_deadline: Nanos) -> Shutdown {
        let until_kill = longest_deadline.min(MAX_DEADLINE) + KILL_GRACE;
        let answer_after = until_kill - ANSWER_MARGIN;
        let read_for = READ_PERIOD.min(answer_after - READ_MARGIN);
        Shutdown {
            signalled_at,
            listen_until: signalled_at + LISTEN_PERIOD.min(read_for),
            read_until: signalled_at + read_for,
            answer_by: signalled_at + answer_after,
            exit_at: signalled_at + until_kill - EXIT_MARGIN,
        }
    }

    /// The earlier time of the two timelines for each step.
    pub fn earlier(self, other: Shutdown) -> Shutdown {
        Shutdown {
            signalled_at: self.signalled_at,
            listen_until: self.listen_until.min(other.listen_until),
            read_until: self.read_until.min(other.read_until),
            answer_by: self.answer_by.min(other.answer_by),
            exit_at: self.exit_at.min(other.exit_at),
        }
    }
}

/// The longest deadline of the methods in the settings; a method without a deadline counts as
/// `MAX_DEADLINE`.
pub fn longest_deadline(deadlines: impl Iterator<Item = Option<Nanos>>) -> Nanos {
    deadlines.map(|deadline| deadline.unwrap_or(MAX_DEADLINE)).max().unwrap_or(MAX_DEADLINE)
}
