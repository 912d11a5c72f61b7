//! Who gives way when a descriptor is wanted for another client: first those that have shown nothing. `docs/room-design.md`
//! weighs the other ways.

use martenramp::host::Nanos;

const MS: Nanos = 1_000_000;
/// For how long a new connection may stay silent before it gives way: a client sends as soon as it is connected.
const SILENT: Nanos = 10 * MS;
/// For how long one may take to close after this side's sending has ended.
const ENDING: Nanos = 10 * MS;
/// For how long a connection that was served may rest.
const RESTING: Nanos = 1_000 * MS;
/// For how long one may pause within a message.
const PAUSED: Nanos = 2_000 * MS;
/// Of the places, in quarters, how many connections that were served keep while others wait for one.
const SERVED_QUARTERS: usize = 3;

/// What a connection that owes no answer is doing, and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    /// Connected, and has sent nothing.
    Silent(Nanos),
    /// This side's sending has ended.
    HalfClosed(Nanos),
    /// Served, and between messages.
    KeepAlive(Nanos),
    /// Inside a message.
    MidMessage(Nanos),
}

/// Who wants the room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictFor {
    /// A new connection that has shown nothing yet.
    NewConnection,
    /// A client that has spoken, or the gateway itself: a connection may be closed between any two messages for it.
    Required,
}

impl IdleState {
    /// From when on it gives way, and before whom.
    fn evictable_at(self, to: EvictFor) -> (usize, Nanos) {
        match (self, to) {
            (IdleState::Silent(since), _) => (0, since + SILENT),
            (IdleState::HalfClosed(since), _) => (1, since + ENDING),
            (IdleState::KeepAlive(since), EvictFor::NewConnection) => (2, since + RESTING),
            (IdleState::KeepAlive(since), EvictFor::Required) => (2, since),
            (IdleState::MidMessage(since), _) => (3, since + PAUSED),
        }
    }
}

/// The connections that give way now, the first one first. Guards against clients that hold descriptors and send nothing, or
/// their messages byte by byte. Harm: a client that is slow to speak, or that paused, has to connect again.
pub fn eviction_order(
    idle: impl Iterator<Item = (usize, IdleState)>,
    now: Nanos,
    to: EvictFor,
) -> Vec<usize> {
    let due = idle.map(|(id, idle)| (idle.evictable_at(to), id)).filter(|((_, at), _)| now >= *at);
    let mut due: Vec<_> = due.collect();
    due.sort_unstable();
    due.into_iter().map(|one| one.1).collect()
}

/// When the next new connection gives way if it stays silent.
pub fn next_silent_eviction(idle: impl Iterator<Item = IdleState>) -> Option<Nanos> {
    let silent = idle.filter(|idle| matches!(idle, IdleState::Silent(_)));
    silent.map(|idle| idle.evictable_at(EvictFor::NewConnection).1).min()
}

/// Whether connections that were served hold more than their part of the places.
pub fn exceeds_served_share(served: usize, places: usize) -> bool {
    4 * served > SERVED_QUARTERS * places
}
