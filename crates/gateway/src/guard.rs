//! The one guard in front of everything that can't be taken back: an attempt's bytes going out, a repeat, a refusal, and
//! an RPC handed to the module. It decides nothing about load; it compares what is true at this moment with what must hold
//! ([`Invariant`]), whatever was true when the module asked.

use crate::invariants::Invariant;
use crate::shutdown::Shutdown;
use martenramp::host::Nanos;

/// An attempt's bytes may arrive so much later than they are written: windows for repeats are left that much early.
pub const TRANSIT_MARGIN: Nanos = 5_000_000;

/// How often an RPC of a method may run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetrySafety {
    /// Any number of times.
    Idempotent,
    /// Servers know a repeat by its key, for so long after the first attempt that may have run; `all_servers` tells that all
    /// servers do, and not only those of a group.
    Deduplicated { window: Nanos, all_servers: bool },
    /// Once at most.
    #[default]
    AtMostOnce,
}

impl RetrySafety {
    /// Before when an RPC may be sent again that may have run first at this time.
    fn retry_until(self, first_run: Option<Nanos>) -> Nanos {
        match (self, first_run) {
            (_, None) | (RetrySafety::Idempotent, _) => Nanos::MAX,
            (RetrySafety::Deduplicated { window, .. }, Some(first)) => first + window,
            (RetrySafety::AtMostOnce, Some(_)) => 0,
        }
    }
}

/// Why something is withheld.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    ClientLeft,
    DeadlinePassed,
    RetryWindowClosed,
    MayHaveRun,
    ServerUnavailable,
    ServerMoved,
    ShuttingDown,
    Overloaded,
}

impl Denial {
    /// The reason code for the log.
    pub fn reason(self) -> &'static str {
        match self {
            Denial::ClientLeft => "client-left",
            Denial::DeadlinePassed => "deadline-over",
            Denial::RetryWindowClosed => "repeat-window-over",
            Denial::MayHaveRun => "may-have-run",
            Denial::ServerUnavailable => "server-drains-or-gone",
            Denial::ServerMoved => "server-moved",
            Denial::ShuttingDown => "stopping",
            Denial::Overloaded => "overloaded",
        }
    }

    /// What would have been broken.
    pub fn invariant(self) -> Invariant {
        match self {
            Denial::ClientLeft => Invariant::ClientPresent,
            Denial::DeadlinePassed => Invariant::TimeLeft,
            Denial::Overloaded => Invariant::AnswerInTime,
            Denial::RetryWindowClosed | Denial::MayHaveRun => Invariant::RepeatAllowed,
            Denial::ServerUnavailable | Denial::ServerMoved => Invariant::ServerListed,
            Denial::ShuttingDown => Invariant::AdmittedInTime,
        }
    }
}

/// What the list says now of the server that a connection leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerStatus {
    Ready,
    Unavailable,
    Moved,
}

/// What is true of an attempt as its bytes are about to go out.
#[derive(Clone, Copy, Debug)]
pub struct SendCheck {
    pub now: Nanos,
    pub client_present: bool,
    /// By when it has to be answered, and before when it has to be written, as it was asked for.
    pub answer_by: Nanos,
    pub write_by: Nanos,
    pub retry_safety: RetrySafety,
    /// When the first attempt began that may have run.
    pub first_run: Option<Nanos>,
    pub server: ServerStatus,
}

/// Whether an attempt may be written. Guards against everything that may have changed while its connection came up, or
/// within the turn. Harm: none, nothing has run.
pub fn may_send(send: &SendCheck) -> Result<(), Denial> {
    let arrives = send.now.saturating_add(TRANSIT_MARGIN);
    match send {
        SendCheck { client_present: false, .. } => Err(Denial::ClientLeft),
        SendCheck { retry_safety: RetrySafety::AtMostOnce, first_run: Some(_), .. } => {
            Err(Denial::MayHaveRun)
        }
        _ if send.now >= send.answer_by => Err(Denial::DeadlinePassed),
        _ if arrives >= send.write_by => Err(Denial::RetryWindowClosed),
        _ if arrives >= send.retry_safety.retry_until(send.first_run) => Err(Denial::RetryWindowClosed),
        SendCheck { server: ServerStatus::Unavailable, .. } => Err(Denial::ServerUnavailable),
        SendCheck { server: ServerStatus::Moved, .. } => Err(Denial::ServerMoved),
        _ => Ok(()),
    }
}

/// Whether a client may be told that trying again is harmless.
pub fn may_reject(now: Nanos, retry_safety: RetrySafety, first_run: Option<Nanos>) -> bool {
    let anywhere = !matches!(retry_safety, RetrySafety::Deduplicated { all_servers: false, .. });
    first_run.is_none() || anywhere && now < retry_safety.retry_until(first_run)
}

/// A turn of a process that falls behind takes RPCs for so many times as long as a turn of one that keeps up may last.
const TAKEN_TURNS: Nanos = 3;

/// What is true of an RPC as it was read.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionCheck {
    pub now: Nanos,
    /// By when its client has to have the answer.
    pub deadline: Nanos,
    /// For how long the turn before this one lasted, and this one has by now.
    pub last_turn: Nanos,
    pub this_turn: Nanos,
    /// The longest that a turn may take while the process keeps up.
    pub max_turn: Nanos,
    pub shutdown: Option<Shutdown>,
}

/// Whether an RPC that was read now may begin. A stopping process has to answer it before it can be killed; and one that falls
/// behind, turn after turn, takes only what it can serve. Guards against serving what is too late by then, and nothing in
/// time. Harm: after two long turns some RPCs are refused that might have been served.
pub fn may_admit(begin: &AdmissionCheck) -> Result<(), Denial> {
    // Half of a turn goes to what is taken, the other to refusals and answers.
    let taken_for = (begin.last_turn / 2).clamp(begin.max_turn, TAKEN_TURNS * begin.max_turn);
    let falls_behind = begin.last_turn > begin.max_turn && begin.this_turn > taken_for;
    match begin.shutdown {
        Some(shutdown) if begin.now >= shutdown.answer_by => Err(Denial::ShuttingDown),
        _ if begin.now >= begin.deadline => Err(Denial::DeadlinePassed),
        _ if falls_behind => Err(Denial::Overloaded),
        _ => Ok(()),
    }
}
