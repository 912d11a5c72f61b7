//! Where a client's connection stands, and what may end it. An answer is owed from when its RPC was read until its last
//! byte was handed to the system; while it is, only the client can end the connection.

use martenramp::host::Nanos;

/// An answer that was put into a connection's buffer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Owed {
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
    Waiting { rpc: u32, length: usize },
    /// An answer is in the buffer and not all of it is out; the connection ends behind it if there is a reason to.
    Answering { owed: Owed, last: Option<&'static str> },
    /// All answers are out and this side's sending has ended, for this reason. What still comes is discarded until the
    /// client closes, too.
    Ending { why: &'static str },
}

/// What ends a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientEnd {
    /// The client closed or broke it, with this reason code.
    Gone(&'static str),
    /// Its descriptor is wanted for others.
    MadeRoom,
    /// This side's sending had ended, and the client has not closed in time.
    Lingered,
    /// The client takes nothing of its answer.
    ReadsNothing,
}

impl ClientEnd {
    /// The reason code for the log.
    pub fn reason(self) -> &'static str {
        match self {
            ClientEnd::Gone(why) => why,
            ClientEnd::MadeRoom => "made-room",
            ClientEnd::Lingered => "lingered",
            ClientEnd::ReadsNothing => "reads-nothing",
        }
    }
}

impl Phase {
    /// Whether a connection that stands here may be ended so. Guards against answers that were given and never written.
    /// Harm: a connection that takes its answer slowly keeps its descriptor until it is found to read nothing.
    pub fn may_end(&self, end: ClientEnd) -> bool {
        matches!(
            (end, self),
            (ClientEnd::Gone(_), _)
                | (ClientEnd::MadeRoom, Phase::Reading | Phase::Ending { .. })
                | (ClientEnd::Lingered, Phase::Ending { .. })
                | (ClientEnd::ReadsNothing, Phase::Answering { .. })
        )
    }

    /// The RPC that waits for its answer, and the length of its message.
    pub fn rpc(&self) -> Option<(u32, usize)> {
        match self {
            Phase::Waiting { rpc, length } => Some((*rpc, *length)),
            _ => None,
        }
    }

    /// The answer that is being written.
    pub fn owed(&self) -> Option<&Owed> {
        match self {
            Phase::Answering { owed, .. } => Some(owed),
            _ => None,
        }
    }

    /// Whether nothing is owed and the connection stays open.
    pub fn is_reading(&self) -> bool {
        *self == Phase::Reading
    }

    /// Whether what still comes is of no use: the connection ends.
    pub fn closes(&self) -> bool {
        matches!(self, Phase::Answering { last: Some(_), .. } | Phase::Ending { .. })
    }

    /// Why it ends, if it is known by now.
    pub fn closing(&self) -> Option<&'static str> {
        match self {
            Phase::Answering { last, .. } => *last,
            Phase::Ending { why } => Some(why),
            _ => None,
        }
    }

    /// What follows once all of an answer is out.
    pub fn after_answer(&self) -> Option<Phase> {
        match self {
            Phase::Answering { last: Some(why), .. } => Some(Phase::Ending { why }),
            Phase::Answering { last: None, .. } => Some(Phase::Reading),
            _ => None,
        }
    }

    /// Whether one may follow on the other; every other change is a mistake in this program.
    pub fn may_become(&self, next: &Phase) -> bool {
        matches!(
            (self, next),
            (Phase::Reading, Phase::Waiting { .. } | Phase::Answering { .. } | Phase::Ending { .. })
                | (Phase::Waiting { .. }, Phase::Answering { .. })
                | (Phase::Answering { .. }, Phase::Answering { .. } | Phase::Reading | Phase::Ending { .. })
        )
    }
}
