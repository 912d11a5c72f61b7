//! The timeline of a shutdown. The platform kills the process some time after SIGTERM, so every wait of a stopping process
//! ends before that: connections are taken for a while, then whatever has begun may still come in, then every RPC has its
//! final answer, then the process ends by itself.

use martenramp::host::Nanos;

const MS: Nanos = 1_000_000;
/// SIGKILL comes no sooner after SIGTERM than the longest deadline, of which so much counts, and this grace (the
/// operators' protocol page, "Figures").
const DEADLINE_MOST: Nanos = 3_000 * MS;
const KILL_GRACE: Nanos = 700 * MS;
/// New connections are taken for so long. They keep coming for 0.2 to 0.4 s after SIGTERM.
const LISTEN: Nanos = 500 * MS;
/// For so long a message may come in that had begun, or that is the first on its connection.
const READ_PERIOD: Nanos = 1_000 * MS;
/// Before SIGKILL: by when every RPC has its answer. Covers a process that is held up for 0.15 s and a long turn of the
/// loop. Harm: an answer that would have come in this last moment is not waited for.
const ANSWER_MARGIN: Nanos = 250 * MS;
/// How long before `answer_by` nothing new is waited for, so that what came last can still be tried.
const READ_MARGIN: Nanos = 50 * MS;
/// Before SIGKILL: when the process ends, whatever is still open.
const EXIT_MARGIN: Nanos = 100 * MS;

/// When a stopping process does what; all times are the gateway's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// When SIGTERM came.
    pub signalled_at: Nanos,
    /// Connections are taken until then.
    pub listen_until: Nanos,
    /// Then what is not whole is refused, and connections that have said nothing are closed.
    pub read_until: Nanos,
    /// Every RPC has its final answer by then.
    pub answer_by: Nanos,
    /// Whatever is open is closed then, and the process ends.
    pub exit_at: Nanos,
}

impl Shutdown {
    /// The timeline of a process that was told to stop at this time, under settings with this longest deadline.
    pub fn new(signalled_at: Nanos, longest_deadline: Nanos) -> Shutdown {
        let until_kill = longest_deadline.min(DEADLINE_MOST) + KILL_GRACE;
        let answer_after = until_kill - ANSWER_MARGIN;
        let read_for = READ_PERIOD.min(answer_after - READ_MARGIN);
        Shutdown {
            signalled_at,
            listen_until: signalled_at + LISTEN.min(read_for),
            read_until: signalled_at + read_for,
            answer_by: signalled_at + answer_after,
            exit_at: signalled_at + until_kill - EXIT_MARGIN,
        }
    }

    /// The earlier of two timelines, step by step.
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

/// The longest deadline of the methods in the settings; what counts at most where none is told.
pub fn longest_deadline(deadlines: impl Iterator<Item = Option<Nanos>>) -> Nanos {
    deadlines.map(|told| told.unwrap_or(DEADLINE_MOST)).max().unwrap_or(DEADLINE_MOST)
}
