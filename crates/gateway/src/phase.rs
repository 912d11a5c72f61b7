//! The state machine of a client's connection, and what may close it in each phase. An answer is
//! owed from when its RPC was read until its last byte was handed to the operating system; until
//! then the connection is closed only by the client, or by the write timeout if the client reads
//! nothing.

use martenramp::host::Nanos;

/// An answer in a connection's output buffer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnsentAnswer {
    /// The transaction id of its RPC; empty if it answers something else.
    pub txn: Box<[u8]>,
    /// When the answer is due; `None` if it does not answer an RPC.
    pub deadline: Option<Nanos>,
    /// Its RPC may have run and must not run again, so that its id is remembered if the answer is lost.
    pub must_not_rerun: bool,
}

/// The phase of a client's connection.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// No answer is owed: the connection is idle, or a message is coming in.
    #[default]
    Reading,
    /// An RPC was read and has no answer yet. Its message takes `message_length` bytes of the
    /// buffer.
    AwaitingAnswer { rpc: u32, message_length: usize },
    /// An answer is in the buffer and not fully written. The connection closes after it if there is
    /// a reason.
    WritingAnswer { answer: UnsentAnswer, close_reason: Option<&'static str> },
    /// All answers are written and this side has shut down sending. Further input is discarded
    /// until the client closes as well.
    HalfClosed { reason: &'static str },
}

/// What closes a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// The client closed or reset it, with this reason code.
    ClientClosed(&'static str),
    /// Its descriptor is needed for another connection.
    Evicted,
    /// This side had shut down sending, and the client did not close in time.
    LingerTimeout,
    /// The client does not read its answer.
    WriteTimeout,
}

impl CloseCause {
    /// The reason code for the log.
    pub fn reason(self) -> &'static str {
        match self {
            CloseCause::ClientClosed(reason) => reason,
            CloseCause::Evicted => "made-room",
            CloseCause::LingerTimeout => "lingered",
            CloseCause::WriteTimeout => "reads-nothing",
        }
    }
}

impl Phase {
    /// Whether a connection in this phase may be closed for this cause. Prevents the loss of
    /// answers that were given but not written. The cost: a connection that reads its answer slowly
    /// keeps its descriptor until the write timeout.
    pub fn permits_close(&self, cause: CloseCause) -> bool {
        matches!(
            (cause, self),
            (CloseCause::ClientClosed(_), _)
                | (CloseCause::Evicted, Phase::Reading | Phase::HalfClosed { .. })
                | (CloseCause::LingerTimeout, Phase::HalfClosed { .. })
                | (CloseCause::WriteTimeout, Phase::WritingAnswer { .. })
        )
    }

    /// The RPC that has no answer yet, and the length of its message.
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

    /// Whether no answer is owed and the connection stays open.
    pub fn is_reading(&self) -> bool {
        *self == Phase::Reading
    }

    /// Whether the connection is being closed, so that further input is discarded.
    pub fn is_closing(&self) -> bool {
        matches!(self, Phase::WritingAnswer { close_reason: Some(_), .. } | Phase::HalfClosed { .. })
    }

    /// Why the connection is being closed, if it is.
    pub fn close_reason(&self) -> Option<&'static str> {
        match self {
            Phase::WritingAnswer { close_reason, .. } => *close_reason,
            Phase::HalfClosed { reason } => Some(reason),
            _ => None,
        }
    }

    /// The next phase once the answer is fully written.
    pub fn after_answer(&self) -> Option<Phase> {
        match self {
            Phase::WritingAnswer { close_reason: Some(reason), .. } => Some(Phase::HalfClosed { reason }),
            Phase::WritingAnswer { close_reason: None, .. } => Some(Phase::Reading),
            _ => None,
        }
    }

    /// Whether the phase may change to `next`; any other transition is a bug.
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
