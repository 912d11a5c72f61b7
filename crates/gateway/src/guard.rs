//! Final checks before each action that can't be undone: writing an attempt, retrying one,
//! rejecting an RPC, and handing an RPC to the admission controller. The guard makes no load
//! decisions; it compares the state at this moment with what must hold ([`Invariant`]), whatever
//! was true when the admission controller asked.

use crate::invariants::Invariant;
use crate::shutdown::Shutdown;
use martenramp::host::Nanos;
use martenramp::repeat_group::{RepeatScope, ServerGroup};

/// Allowance for the time that the bytes of an attempt take to arrive: no attempt is written this
/// close to the end of a window for retries.
pub const TRANSIT_MARGIN: Nanos = 5_000_000;

/// How often an RPC of a method may run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetrySafety {
    /// Any number of times.
    Idempotent,
    /// The servers of `scope` recognize a retry by its key, for `window` after the start of the
    /// first attempt that may have run.
    Deduplicated { window: Nanos, scope: RepeatScope },
    /// At most once.
    #[default]
    AtMostOnce,
}

/// The first attempt of an RPC that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstRun {
    pub began_at: Nanos,
    /// Where its server was listed when it was written.
    pub group: ServerGroup,
}

impl RetrySafety {
    /// The time before which an RPC may be sent again.
    fn retry_until(self, first_run: Option<FirstRun>) -> Nanos {
        match (self, first_run) {
            (_, None) | (RetrySafety::Idempotent, _) => Nanos::MAX,
            (RetrySafety::Deduplicated { window, .. }, Some(first)) => first.began_at + window,
            (RetrySafety::AtMostOnce, Some(_)) => 0,
        }
    }

    /// Whether a server of this group recognizes an RPC that may have run before.
    fn is_recognized_by(self, first_run: Option<FirstRun>, group: ServerGroup) -> bool {
        match (self, first_run) {
            (RetrySafety::Deduplicated { scope, .. }, Some(first)) => scope.includes(first.group, group),
            _ => true,
        }
    }
}

/// Why an action is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    ClientLeft,
    DeadlinePassed,
    RetryWindowClosed,
    OutsideGroup,
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
            Denial::OutsideGroup => "outside-group",
            Denial::MayHaveRun => "may-have-run",
            Denial::ServerUnavailable => "server-drains-or-gone",
            Denial::ServerMoved => "server-moved",
            Denial::ShuttingDown => "stopping",
            Denial::Overloaded => "overloaded",
        }
    }

    /// The invariant that the action would have violated.
    pub fn invariant(self) -> Invariant {
        match self {
            Denial::ClientLeft => Invariant::ClientPresent,
            Denial::DeadlinePassed => Invariant::TimeLeft,
            Denial::Overloaded => Invariant::AnswerInTime,
            Denial::RetryWindowClosed | Denial::OutsideGroup | Denial::MayHaveRun => Invariant::RepeatAllowed,
            Denial::ServerUnavailable | Denial::ServerMoved => Invariant::ServerListed,
            Denial::ShuttingDown => Invariant::AdmittedInTime,
        }
    }
}

/// The current state, as listed, of the server that a connection leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerStatus {
    Ready,
    /// Draining, or not listed any more.
    Unavailable,
    /// At another address, or restarted since the connection was opened.
    Moved,
}

/// The state of an attempt at the moment when it is about to be written.
#[derive(Clone, Copy, Debug)]
pub struct SendCheck {
    pub now: Nanos,
    pub client_present: bool,
    /// By when it has to be answered, and before when it has to be written, as the admission
    /// controller asked.
    pub answer_by: Nanos,
    pub write_by: Nanos,
    pub retry_safety: RetrySafety,
    pub first_run: Option<FirstRun>,
    pub server: ServerStatus,
    /// Where the server is listed at this moment.
    pub server_group: ServerGroup,
}

/// Whether an attempt may be written. Catches everything that may have changed while its connection
/// was being established, or within the turn. It costs nothing: no server has run the attempt yet.
pub fn may_send(send: &SendCheck) -> Result<(), Denial> {
    let arrival = send.now.saturating_add(TRANSIT_MARGIN);
    match send {
        SendCheck { client_present: false, .. } => Err(Denial::ClientLeft),
        SendCheck { retry_safety: RetrySafety::AtMostOnce, first_run: Some(_), .. } => {
            Err(Denial::MayHaveRun)
        }
        _ if send.now >= send.answer_by => Err(Denial::DeadlinePassed),
        _ if arrival >= send.write_by => Err(Denial::RetryWindowClosed),
        _ if arrival >= send.retry_safety.retry_until(send.first_run) => Err(Denial::RetryWindowClosed),
        SendCheck { server: ServerStatus::Unavailable, .. } => Err(Denial::ServerUnavailable),
        SendCheck { server: ServerStatus::Moved, .. } => Err(Denial::ServerMoved),
        _ if !send.retry_safety.is_recognized_by(send.first_run, send.server_group) => {
            Err(Denial::OutsideGroup)
        }
        _ => Ok(()),
    }
}

/// Until when the bytes of an attempt that may be written now may go on being written. Servers count
/// an attempt from its last byte, so the conditions that end with time hold until then.
pub fn write_until(send: &SendCheck) -> Nanos {
    let retry_until = send.retry_safety.retry_until(send.first_run).min(send.write_by);
    if retry_until == Nanos::MAX { Nanos::MAX } else { retry_until.saturating_sub(TRANSIT_MARGIN) }
}

/// Whether a client may be told that retrying is harmless.
pub fn may_reject(now: Nanos, retry_safety: RetrySafety, first_run: Option<FirstRun>) -> bool {
    let all_servers = match retry_safety {
        RetrySafety::Deduplicated { scope, .. } => scope == RepeatScope::AllServers,
        RetrySafety::Idempotent | RetrySafety::AtMostOnce => true,
    };
    first_run.is_none() || all_servers && now < retry_safety.retry_until(first_run)
}

/// A turn of a process that falls behind admits RPCs for at most this many times the longest turn
/// of a process that keeps up.
const MAX_ADMISSION_TURNS: Nanos = 3;

/// The state of an RPC at the moment when it was read.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionCheck {
    pub now: Nanos,
    /// By when the client has to have the answer.
    pub deadline: Nanos,
    /// Duration of the previous turn, and of this one so far.
    pub last_turn: Nanos,
    pub this_turn: Nanos,
    /// The longest that a turn may take while the process keeps up.
    pub max_turn: Nanos,
    pub shutdown: Option<Shutdown>,
}

/// Whether an RPC that was just read may be admitted. A process that shuts down has to answer it
/// before it can be killed, and one that falls behind for several turns takes only as many as it
/// can serve. Otherwise it would spend its time on RPCs that are late by then, and serve none in
/// time. The cost: after two long turns some RPCs are rejected that might have been served.
pub fn may_admit(check: &AdmissionCheck) -> Result<(), Denial> {
    // Half of a turn is for admitted RPCs, the other half for rejections and answers.
    let admission_time = (check.last_turn / 2).clamp(check.max_turn, MAX_ADMISSION_TURNS * check.max_turn);
    let overloaded = check.last_turn > check.max_turn && check.this_turn > admission_time;
    match check.shutdown {
        Some(shutdown) if check.now >= shutdown.answer_by => Err(Denial::ShuttingDown),
        _ if check.now >= check.deadline => Err(Denial::DeadlinePassed),
        _ if overloaded => Err(Denial::Overloaded),
        _ => Ok(()),
    }
}
