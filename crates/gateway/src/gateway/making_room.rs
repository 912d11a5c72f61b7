//! The gateway's side of making room: which connections give way when descriptors run out (`room`).

use super::*;
use crate::room::For;

/// For so long after the last time that no place was left for a new client, others are taken to wait for one.
const CROWDED: Nanos = 1_000 * MS;
/// How soon at the earliest accepting is tried again.
const ACCEPT_SOONEST: Nanos = MS;

impl Desk {
    /// Whether one more client can be taken, if need be for one that only holds its place.
    pub(super) fn has_room_for_client(&mut self) -> bool {
        let taken = self.clients.len();
        if taken < self.clients_most || self.shed_client(For::Newcomer) {
            return true;
        }
        self.crowded_at = Some(self.net.now);
        // A place is free in a moment: whoever came is better served then than turned away now.
        let waits = self.next_silent().is_some();
        !waits && taken < self.clients_most + self.spares
    }

    /// Accepting is tried again when the next silent connection gives way, or after a while.
    pub(super) fn accept_later(&mut self) {
        let now = self.net.now;
        let again = now + ACCEPT_AGAIN;
        let silent = self.next_silent().map_or(again, |at| at.clamp(now + ACCEPT_SOONEST, again));
        self.timers.set(silent, What::Accept);
    }

    fn next_silent(&self) -> Option<Nanos> {
        room::next_silent(self.clients.values().filter_map(Client::idle))
    }

    /// A client on a spare place has spoken: it has a place of its own if there is one by now, or if those that were served
    /// hold more than their part.
    pub(super) fn claim_place(&mut self, id: usize) {
        if !self.clients.get(&id).is_some_and(|client| client.spare) {
            return;
        }
        let is_left = self.clients.len() <= self.clients_most;
        if is_left || self.served_overhold() && self.shed_client(For::Need) {
            self.clients.entry(id).and_modify(|client| client.spare = false);
        }
    }

    /// Closes an idle connection to free its descriptor; false if there is none.
    pub(super) fn shed(&mut self) -> bool {
        self.shed_link() || self.shed_client(For::Need)
    }

    /// Closes the client whose turn it is to give way. What has come from one by now is served first: of a resting one, any
    /// byte; of one inside a message, more of it.
    fn shed_client(&mut self, to: For) -> bool {
        let idle = self.clients.iter().filter_map(|(id, client)| Some((*id, client.idle()?)));
        let in_turn = room::in_turn(idle, self.net.now, to);
        in_turn.into_iter().any(|id| self.is_quiet(id) && self.end_client(id, ClientEnd::MadeRoom))
    }

    /// Whether nothing has come on a connection that is still to be served. What comes after this side's end is not.
    fn is_quiet(&mut self, id: usize) -> bool {
        let ending = self.clients.get(&id).is_some_and(|client| client.phase.closes());
        if ending {
            self.net.read(id, false);
        }
        ending || self.rests(id)
    }

    /// Whether a connection ends with its answer so that those who wait for a place have their part. Guards against
    /// connections that were served before and never let one of a crowd in, and against closing them under their next
    /// request instead. Harm: such a client connects again.
    pub(super) fn gives_its_place(&self, client: usize, length: usize) -> bool {
        let crowded = self.crowded_at.is_some_and(|at| self.net.now < at + CROWDED);
        crowded && self.served_overhold() && self.net.input(client).len() <= length
    }

    fn served_overhold(&self) -> bool {
        let served = self.clients.values().filter(|client| client.served > 0).count();
        room::is_overheld(served, self.clients_most)
    }
}
