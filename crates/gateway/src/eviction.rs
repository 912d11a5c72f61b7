//! Decides which idle client connections are closed when descriptors run out: first those that have
//! sent nothing. `docs/room-design.md` compares the alternatives.

use martenramp::host::Nanos;

const MS: Nanos = 1_000_000;
/// How long a new connection may stay silent before it can be evicted: a client sends as soon as it
/// is connected.
const SILENT_LIMIT: Nanos = 10 * MS;
/// How long a client may take to close after this side has shut down sending.
const HALF_CLOSED_LIMIT: Nanos = 10 * MS;
/// How long a keep-alive connection may be idle between messages.
const KEEP_ALIVE_LIMIT: Nanos = 1_000 * MS;
/// How long a client may pause within a message.
const MID_MESSAGE_LIMIT: Nanos = 2_000 * MS;
/// The share of all slots, in quarters, that connections which were served before keep while others
/// wait for one.
const SERVED_QUARTERS: usize = 3;

/// What a connection without an unsent answer is doing, and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    /// Connected, and nothing was received.
    Silent(Nanos),
    /// This side has shut down sending.
    HalfClosed(Nanos),
    /// Served before, and between messages.
    KeepAlive(Nanos),
    /// Part of a message was received.
    MidMessage(Nanos),
}

/// What a descriptor is needed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictFor {
    /// A new connection that has sent nothing yet.
    NewConnection,
    /// A client that has sent a message, or the gateway itself: any connection between two messages
    /// may be closed for it.
    Required,
}

impl IdleState {
    /// Rank and time of eviction: lower ranks are evicted first, none before its time.
    fn evictable_at(self, purpose: EvictFor) -> (usize, Nanos) {
        match (self, purpose) {
            (IdleState::Silent(since), _) => (0, since + SILENT_LIMIT),
            (IdleState::HalfClosed(since), _) => (1, since + HALF_CLOSED_LIMIT),
            (IdleState::KeepAlive(since), EvictFor::NewConnection) => (2, since + KEEP_ALIVE_LIMIT),
            (IdleState::KeepAlive(since), EvictFor::Required) => (2, since),
            (IdleState::MidMessage(since), _) => (3, since + MID_MESSAGE_LIMIT),
        }
    }
}

/// The connections that may be evicted now, in order. Frees descriptors held by clients that send
/// nothing, or send their messages byte by byte. The cost: a client that is slow to send, or that
/// paused, has to reconnect.
pub fn eviction_order(
    idle: impl Iterator<Item = (usize, IdleState)>,
    now: Nanos,
    purpose: EvictFor,
) -> Vec<usize> {
    let due = idle.map(|(id, idle)| (idle.evictable_at(purpose), id)).filter(|((_, at), _)| now >= *at);
    let mut due: Vec<_> = due.collect();
    due.sort_unstable();
    due.into_iter().map(|candidate| candidate.1).collect()
}

/// When the next silent connection can be evicted.
pub fn next_silent_eviction(idle: impl Iterator<Item = IdleState>) -> Option<Nanos> {
    let silent = idle.filter(|idle| matches!(idle, IdleState::Silent(_)));
    silent.map(|idle| idle.evictable_at(EvictFor::NewConnection).1).min()
}

/// Whether connections that were served before hold more than their share of the slots.
pub fn exceeds_served_share(served: usize, slots: usize) -> bool {
    4 * served > SERVED_QUARTERS * slots
}
