//! The gateway's side of making room: which connections give way when descriptors run out (`eviction`).

use super::*;
use crate::eviction::{EvictFor, IdleState};

/// For so long after the last time that no place was left for a new client, others are taken to wait for one.
const CROWDED: Nanos = 1_000 * MS;
/// How soon at the earliest accepting is tried again, and room looked for where there was none.
const ACCEPT_SOONEST: Nanos = MS;
/// So many connections whose turn it is are looked at for one place: of a crowd that all speak at once nobody gives way.
const TRIED_MOST: usize = 8;

impl PolicyHost {
    /// Whether one more client can be taken, if need be for one that only holds its place.
    pub(super) fn has_room_for_client(&mut self) -> bool {
        let taken = self.clients.len();
        if taken < self.clients_most || self.shed_client(EvictFor::NewConnection) {
            return true;
        }
        self.crowded_at = Some(self.net.now);
        // Where a place is free in a moment, whoever came is better served then than turned away now.
        !self.silent_wait && taken < self.clients_most + self.spares
    }

    /// Since when a connection that is taken now counts as silent: where accepting was behind, since it came up or data came
    /// last. Guards against a crowd that holds places for its 10 ms each though it had waited far longer. Harm: a client that
    /// sends in this very moment gives way first.
    pub(super) fn connected_since(&self, id: usize) -> Nanos {
        let now = self.net.now;
        let Some(behind_since) = self.behind_since else { return now };
        let unread_for = self.net.last_input_age(id).unwrap_or(0);
        now.saturating_sub(unread_for).max(behind_since)
    }

    /// Accepting is tried again when the next silent connection gives way, or after a while; once, however many wait.
    pub(super) fn accept_later(&mut self) {
        let now = self.net.now;
        self.behind_since.get_or_insert(now);
        let again = now + ACCEPT_RETRY_DELAY;
        let silent = eviction::next_silent_eviction(self.clients.values().filter_map(Client::idle_state));
        let at = silent.map_or(again, |at| at.clamp(now + ACCEPT_SOONEST, again));
        if self.accepts_at.is_none_or(|awaited| at < awaited) {
            self.accepts_at = Some(at);
            self.timers.set(at, TimerEvent::Accept);
        }
    }

    /// A timer for accepting is due: whether it is the one that counts.
    pub(super) fn accepts_now(&mut self) -> bool {
        self.accepts_at.take_if(|at| *at <= self.net.now).is_some()
    }

    /// A client on a spare place has spoken: it has a place of its own if there is one by now, or if those that were served
    /// hold more than their part.
    pub(super) fn claim_place(&mut self, id: usize) {
        if !self.clients.get(&id).is_some_and(|client| client.over_limit) {
            return;
        }
        let is_left = self.clients.len() <= self.clients_most;
        let overheld = eviction::exceeds_served_share(self.clients_served, self.clients_most);
        if is_left || overheld && self.shed_client(EvictFor::Required) {
            self.clients.entry(id).and_modify(|client| client.over_limit = false);
        }
    }

    /// Closes an idle connection to free its descriptor; false if there is none.
    pub(super) fn shed(&mut self) -> bool {
        self.shed_link() || self.shed_client(EvictFor::Required)
    }

    /// Closes the client whose turn it is to give way. What has come from one by now is served first: of a resting one, any
    /// byte; of one inside a message, more of it. Where nobody gave way just now nobody is looked for: that is a look at all.
    fn shed_client(&mut self, to: EvictFor) -> bool {
        let now = self.net.now;
        let none_until = &mut self.nobody_gives_way_until[to as usize];
        if now < *none_until {
            return false;
        }
        *none_until = now + ACCEPT_SOONEST;
        let idle = || self.clients.iter().filter_map(|(id, client)| Some((*id, client.idle_state()?)));
        let in_turn = eviction::eviction_order(idle(), now, to);
        self.silent_wait = idle().any(|(_, idle)| matches!(idle, IdleState::Silent(_)));
        let mut tried = in_turn.into_iter().take(TRIED_MOST);
        let gave_way = tried.any(|id| self.is_quiet(id) && self.end_client(id, CloseCause::Evicted));
        if gave_way {
            self.nobody_gives_way_until[to as usize] = 0;
        }
        gave_way
    }

    /// Whether nothing has come on a connection that is still to be served. What comes after this side's end is not.
    fn is_quiet(&mut self, id: usize) -> bool {
        let ending = self.clients.get(&id).is_some_and(|client| client.phase.is_closing());
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
        crowded
            && eviction::exceeds_served_share(self.clients_served, self.clients_most)
            && self.net.input(client).len() <= length
    }
}
