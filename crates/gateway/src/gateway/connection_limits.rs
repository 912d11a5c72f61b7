//! Limits the number of connections: accepts new clients, and closes idle connections when
//! descriptors run out. The order of eviction is in [`eviction`].

use super::*;
use crate::eviction::{EvictFor, IdleState};

/// For this long after a new client found no place, others are assumed to be waiting for one.
const CROWDED_PERIOD: Nanos = 1_000 * MS;
/// Minimum delay before accepting is retried, and before eviction is retried after it found
/// nothing.
const MIN_ACCEPT_DELAY: Nanos = MS;
/// How many candidates are tried per eviction: where all of a crowd are sending, none can be
/// evicted.
const MAX_EVICTION_TRIES: usize = 8;

impl PolicyHost {
    /// Whether one more client can be accepted, if necessary only to reject what it sends.
    pub(super) fn can_accept_client(&mut self) -> bool {
        let taken = self.clients.len();
        if taken < self.max_clients || self.evict_client(EvictFor::NewConnection) {
            return true;
        }
        self.last_full_at = Some(self.net.now);
        // If a place becomes free in a moment, it is better for the new client to wait than to be
        // rejected now.
        !self.has_silent_client && taken < self.max_clients + self.spare_places
    }

    /// Since when a connection that is accepted now counts as silent. If accepting was behind, that
    /// is since it was established or last sent data. Otherwise each of a crowd that has waited far
    /// longer would hold its place for another 10 ms. The cost: a client that sends at this very
    /// moment may be evicted first.
    pub(super) fn silent_since(&self, id: usize) -> Nanos {
        let now = self.net.now;
        let Some(accept_behind_since) = self.accept_behind_since else { return now };
        let unread_for = self.net.last_input_age(id).unwrap_or(0);
        now.saturating_sub(unread_for).max(accept_behind_since)
    }

    /// Schedules a retry of accepting for when the next silent connection can be evicted, or after
    /// a delay; only one retry, however many connections wait.
    pub(super) fn schedule_accept(&mut self) {
        let now = self.net.now;
        self.accept_behind_since.get_or_insert(now);
        let again = now + ACCEPT_RETRY_DELAY;
        let silent = eviction::next_silent_eviction(self.clients.values().filter_map(Client::idle_state));
        let at = silent.map_or(again, |at| at.clamp(now + MIN_ACCEPT_DELAY, again));
        if self.accept_retry_at.is_none_or(|awaited| at < awaited) {
            self.accept_retry_at = Some(at);
            self.timers.set(at, TimerEvent::RetryAccept);
        }
    }

    /// Whether a due timer for accepting is the one in effect.
    pub(super) fn is_accept_due(&mut self) -> bool {
        self.accept_retry_at.take_if(|at| *at <= self.net.now).is_some()
    }

    /// A client in a spare place has sent a message. It gets a regular place if one is free by now,
    /// or if connections that were served before hold more than their share.
    pub(super) fn claim_client_place(&mut self, id: usize) {
        if !self.clients.get(&id).is_some_and(|client| client.over_limit) {
            return;
        }
        let is_left = self.clients.len() <= self.max_clients;
        let overheld = eviction::exceeds_served_share(self.served_clients, self.max_clients);
        if is_left || overheld && self.evict_client(EvictFor::Required) {
            self.clients.entry(id).and_modify(|client| client.over_limit = false);
        }
    }

    /// Closes an idle connection to free its descriptor; false if there is none.
    pub(super) fn evict_idle(&mut self) -> bool {
        self.evict_server_connection() || self.evict_client(EvictFor::Required)
    }

    /// Evicts the next client that can be evicted. Input received by now is served first: any byte
    /// from an idle client, more of the message from one within a message. After a failure this is
    /// not retried for a moment, as it scans all clients.
    fn evict_client(&mut self, to: EvictFor) -> bool {
        let now = self.net.now;
        let none_until = &mut self.no_eviction_until[to as usize];
        if now < *none_until {
            return false;
        }
        *none_until = now + MIN_ACCEPT_DELAY;
        let idle = || self.clients.iter().filter_map(|(id, client)| Some((*id, client.idle_state()?)));
        let in_turn = eviction::eviction_order(idle(), now, to);
        self.has_silent_client = idle().any(|(_, idle)| matches!(idle, IdleState::Silent(_)));
        let mut tried = in_turn.into_iter().take(MAX_EVICTION_TRIES);
        let gave_way =
            tried.any(|id| self.has_no_pending_input(id) && self.close_client(id, CloseCause::Evicted));
        if gave_way {
            self.no_eviction_until[to as usize] = 0;
        }
        gave_way
    }

    /// Whether a connection has no unread input that is still to be served. Input after this side
    /// shut down sending is not.
    fn has_no_pending_input(&mut self, id: usize) -> bool {
        let ending = self.clients.get(&id).is_some_and(|client| client.phase.is_closing());
        if ending {
            self.net.read(id, false);
        }
        ending || self.is_drained(id)
    }

    /// Whether a connection closes after its answer so that waiting clients get their share of
    /// places. Otherwise connections that were served before would never make room for a crowd, or
    /// would be closed during their next request. The cost: such a client has to reconnect.
    pub(super) fn yields_place(&self, client: usize, length: usize) -> bool {
        let crowded = self.last_full_at.is_some_and(|at| self.net.now < at + CROWDED_PERIOD);
        crowded
            && eviction::exceeds_served_share(self.served_clients, self.max_clients)
            && self.net.input(client).len() <= length
    }
}
