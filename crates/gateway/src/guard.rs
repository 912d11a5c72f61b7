//! The one guard in front of everything that can't be taken back: an attempt's bytes going out, a repeat, a refusal, and
//! an RPC handed to the module. It decides nothing about load; it compares what is true at this moment with what must hold
//! ([`Invariant`]), whatever was true when the module asked.

use crate::invariants::Invariant;
use crate::shutdown::Shutdown;
use martenramp::host::Nanos;

/// An attempt's bytes may arrive so much later than they are written: windows for repeats are left that much early.
pub const WAY: Nanos = 5_000_000;

/// How often an RPC of a method may run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Any number of times.
    Idempotent,
    /// Servers know a repeat by its key, for so long after the first attempt that may have run; `anywhere` tells that all
    /// servers do, and not only those of a group.
    Deduplicated { window: Nanos, anywhere: bool },
    /// Once at most.
    #[default]
    Once,
}

impl Effect {
    /// Before when an RPC may be sent again that may have run first at this time.
    fn repeats_before(self, first_run: Option<Nanos>) -> Nanos {
        match (self, first_run) {
            (_, None) | (Effect::Idempotent, _) => Nanos::MAX,
            (Effect::Deduplicated { window, .. }, Some(first)) => first + window,
            (Effect::Once, Some(_)) => 0,
        }
    }
}

/// Why something is withheld.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    ClientLeft,
    DeadlineOver,
    RepeatWindowOver,
    MayHaveRun,
    ServerDrainsOrGone,
    ServerMoved,
    ProcessEnds,
    Overloaded,
}

impl Obstacle {
    /// The reason code for the log.
    pub fn reason(self) -> &'static str {
        match self {
            Obstacle::ClientLeft => "client-left",
            Obstacle::DeadlineOver => "deadline-over",
            Obstacle::RepeatWindowOver => "repeat-window-over",
            Obstacle::MayHaveRun => "may-have-run",
            Obstacle::ServerDrainsOrGone => "server-drains-or-gone",
            Obstacle::ServerMoved => "server-moved",
            Obstacle::ProcessEnds => "stopping",
            Obstacle::Overloaded => "overloaded",
        }
    }

    /// What would have been broken.
    pub fn invariant(self) -> Invariant {
        match self {
            Obstacle::ClientLeft => Invariant::ClientPresent,
            Obstacle::DeadlineOver => Invariant::TimeLeft,
            Obstacle::Overloaded => Invariant::AnswerInTime,
            Obstacle::RepeatWindowOver | Obstacle::MayHaveRun => Invariant::RepeatAllowed,
            Obstacle::ServerDrainsOrGone | Obstacle::ServerMoved => Invariant::ServerListed,
            Obstacle::ProcessEnds => Invariant::BeginsInLife,
        }
    }
}

/// What the list says now of the server that a connection leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerNow {
    Ready,
    DrainsOrGone,
    Moved,
}

/// What is true of an attempt as its bytes are about to go out.
#[derive(Clone, Copy, Debug)]
pub struct Send {
    pub now: Nanos,
    pub client_present: bool,
    /// By when it has to be answered, and before when it has to be written, as it was asked for.
    pub until: Nanos,
    pub before: Nanos,
    pub effect: Effect,
    /// When the first attempt began that may have run.
    pub first_run: Option<Nanos>,
    pub server: ServerNow,
}

/// Whether an attempt may be written. Guards against everything that may have changed while its connection came up, or
/// within the turn. Harm: none, nothing has run.
pub fn may_send(send: &Send) -> Result<(), Obstacle> {
    let arrives = send.now.saturating_add(WAY);
    match send {
        Send { client_present: false, .. } => Err(Obstacle::ClientLeft),
        Send { effect: Effect::Once, first_run: Some(_), .. } => Err(Obstacle::MayHaveRun),
        _ if send.now >= send.until => Err(Obstacle::DeadlineOver),
        _ if arrives >= send.before => Err(Obstacle::RepeatWindowOver),
        _ if arrives >= send.effect.repeats_before(send.first_run) => Err(Obstacle::RepeatWindowOver),
        Send { server: ServerNow::DrainsOrGone, .. } => Err(Obstacle::ServerDrainsOrGone),
        Send { server: ServerNow::Moved, .. } => Err(Obstacle::ServerMoved),
        _ => Ok(()),
    }
}

/// Whether a client may be told that trying again is harmless.
pub fn may_refuse(now: Nanos, effect: Effect, first_run: Option<Nanos>) -> bool {
    let anywhere = !matches!(effect, Effect::Deduplicated { anywhere: false, .. });
    first_run.is_none() || anywhere && now < effect.repeats_before(first_run)
}

/// A turn of a process that falls behind takes RPCs for so many times as long as a turn of one that keeps up may last.
const TAKEN_TURNS: Nanos = 3;

/// What is true of an RPC as it was read.
#[derive(Clone, Copy, Debug)]
pub struct Begin {
    pub now: Nanos,
    /// By when its client has to have the answer.
    pub deadline: Nanos,
    /// For how long the turn before this one lasted, and this one has by now.
    pub last_turn: Nanos,
    pub this_turn: Nanos,
    /// The longest that a turn may take while the process keeps up.
    pub turn_most: Nanos,
    pub shutdown: Option<Shutdown>,
}

/// Whether an RPC that was read now may begin. A stopping process has to answer it before it can be killed; and one that falls
/// behind, turn after turn, takes only what it can serve. Guards against serving what is too late by then, and nothing in
/// time. Harm: after two long turns some RPCs are refused that might have been served.
pub fn may_begin(begin: &Begin) -> Result<(), Obstacle> {
    // Half of a turn goes to what is taken, the other to refusals and answers.
    let taken_for = (begin.last_turn / 2).clamp(begin.turn_most, TAKEN_TURNS * begin.turn_most);
    let falls_behind = begin.last_turn > begin.turn_most && begin.this_turn > taken_for;
    match begin.shutdown {
        Some(shutdown) if begin.now >= shutdown.answer_by => Err(Obstacle::ProcessEnds),
        _ if begin.now >= begin.deadline => Err(Obstacle::DeadlineOver),
        _ if falls_behind => Err(Obstacle::Overloaded),
        _ => Ok(()),
    }
}
