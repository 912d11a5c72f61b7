//! Where a client's connection stands, and what may end it. An answer is owed from when its RPC was read until its last
//! byte was handed to the system; while it is, only the client can end the connection.

use martenramp::host::Nanos;

/// An answer that was put into a connection's buffer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnsentAnswer {
    /// The id of its RPC; empty where it answers something else.
    pub txn: Box<[u8]>,
    /// By when it was to be given; nothing where it answers something else.
    pub deadline: Option<Nanos>,
}

/// Where a client's connection stands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Nothing is owed: it rests between messages, or one is coming in.
    #[default]
    Reading,
    /// An RPC was read and has no answer yet; its message takes so many bytes of the buffer.
    AwaitingAnswer { rpc: u32, message_length: usize },
    /// An answer is in the buffer and not all of it is out; the connection ends behind it if there is a reason to.
    WritingAnswer { answer: UnsentAnswer, close_reason: Option<&'static str> },
    /// All answers are out and this side's sending has ended, for this reason. What still comes is discarded until the
    /// client closes, too.
    HalfClosed { reason: &'static str },
}

/// What ends a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// The client closed or broke it, with this reason code.
    ClientClosed(&'static str),
    /// Its descriptor is wanted for others.
    Evicted,
    /// This side's sending had ended, and the client has not closed in time.
    LingerTimeout,
    /// The client takes nothing of its answer.
    WriteTimeout,
}

impl CloseCause {
    /// The reason code for the log.
    pub fn reason(self) -> &'static str {
        match self {
            CloseCause::ClientClosed(why) => why,
            CloseCause::Evicted => "made-room",
            CloseCause::LingerTimeout => "lingered",
            CloseCause::WriteTimeout => "reads-nothing",
        }
    }
}

impl Phase {
    /// Whether a connection that stands here may be ended so. Guards against answers that were given and never written.
    /// Harm: a connection that takes its answer slowly keeps its descriptor until it is found to read nothing.
    pub fn permits_close(&self, end: CloseCause) -> bool {
        matches!(
            (end, self),
            (CloseCause::ClientClosed(_), _)
                | (CloseCause::Evicted, Phase::Reading | Phase::HalfClosed { .. })
                | (CloseCause::LingerTimeout, Phase::HalfClosed { .. })
                | (CloseCause::WriteTimeout, Phase::WritingAnswer { .. })
        )
    }

    /// The RPC that waits for its answer, and the length of its message.
    pub fn pending_rpc(&self) -> Option<(u32, usize)> {
        match self {
            Phase::AwaitingAnswer { rpc, message_length } => Some((*rpc, *message_length)),
            _ => None,
        }
    }

    /// The answer that is being written.
    pub fn unsent_answer(&self) -> Option<&UnsentAnswer> {
        match self {
            Phase::WritingAnswer { answer, .. } => Some(answer),
            _ => None,
        }
    }

    /// Whether nothing is owed and the connection stays open.
    pub fn is_reading(&self) -> bool {
        *self == Phase::Reading
    }

    /// Whether what still comes is of no use: the connection ends.
    pub fn is_closing(&self) -> bool {
        matches!(self, Phase::WritingAnswer { close_reason: Some(_), .. } | Phase::HalfClosed { .. })
    }

    /// Why it ends, if it is known by now.
    pub fn close_reason(&self) -> Option<&'static str> {
        match self {
            Phase::WritingAnswer { close_reason, .. } => *close_reason,
            Phase::HalfClosed { reason } => Some(reason),
            _ => None,
        }
    }

    /// What follows once all of an answer is out.
    pub fn after_answer(&self) -> Option<Phase> {
        match self {
            Phase::WritingAnswer { close_reason: Some(reason), .. } => Some(Phase::HalfClosed { reason }),
            Phase::WritingAnswer { close_reason: None, .. } => Some(Phase::Reading),
            _ => None,
        }
    }

    /// Whether one may follow on the other; every other change is a mistake in this program.
    pub fn can_become(&self, next: &Phase) -> bool {
        matches!(
            (self, next),
            (
                Phase::Reading,
                Phase::AwaitingAnswer { .. } | Phase::WritingAnswer { .. } | Phase::HalfClosed { .. }
            ) | (Phase::AwaitingAnswer { .. }, Phase::WritingAnswer { .. })
                | (
                    Phase::WritingAnswer { .. },
                    Phase::WritingAnswer { .. } | Phase::Reading | Phase::HalfClosed { .. }
                )
        )
    }
}
