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
pub enum Idle {
    /// Connected, and has sent nothing.
    Silent(Nanos),
    /// This side's sending has ended.
    Ending(Nanos),
    /// Served, and between messages.
    Resting(Nanos),
    /// Inside a message.
    Paused(Nanos),
}

/// Who wants the room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum For {
    /// A new connection that has shown nothing yet.
    Newcomer,
    /// A client that has spoken, or the gateway itself: a connection may be closed between any two messages for it.
    Need,
}

impl Idle {
    /// From when on it gives way, and before whom.
    fn gives_way(self, to: For) -> (usize, Nanos) {
        match (self, to) {
            (Idle::Silent(since), _) => (0, since + SILENT),
            (Idle::Ending(since), _) => (1, since + ENDING),
            (Idle::Resting(since), For::Newcomer) => (2, since + RESTING),
            (Idle::Resting(since), For::Need) => (2, since),
            (Idle::Paused(since), _) => (3, since + PAUSED),
        }
    }
}

/// The connections that give way now, the first one first. Guards against clients that hold descriptors and send nothing, or
/// their messages byte by byte. Harm: a client that is slow to speak, or that paused, has to connect again.
pub fn in_turn(idle: impl Iterator<Item = (usize, Idle)>, now: Nanos, to: For) -> Vec<usize> {
    let due = idle.map(|(id, idle)| (idle.gives_way(to), id)).filter(|((_, at), _)| now >= *at);
    let mut due: Vec<_> = due.collect();
    due.sort_unstable();
    due.into_iter().map(|one| one.1).collect()
}

/// When the next new connection gives way if it stays silent.
pub fn next_silent(idle: impl Iterator<Item = Idle>) -> Option<Nanos> {
    let silent = idle.filter(|idle| matches!(idle, Idle::Silent(_)));
    silent.map(|idle| idle.gives_way(For::Newcomer).1).min()
}

/// Whether connections that were served hold more than their part of the places.
pub fn is_overheld(served: usize, places: usize) -> bool {
    4 * served > SERVED_QUARTERS * places
}
