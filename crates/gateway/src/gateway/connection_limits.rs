//! Limits the number of connections: accepts new clients, and closes idle connections when
//! descriptors run out. The order of eviction is in [`eviction`].

use super::*;
use crate::eviction::{EvictFor, IdleState};

/// For this long after a new client found all slots taken, others are assumed to be waiting for
/// one.
const CROWDED_PERIOD: Nanos = 1_000 * MS;
/// Minimum delay before accepting is retried, and before eviction is retried after it found
/// nothing.
const MIN_ACCEPT_DELAY: Nanos = MS;
/// How many candidates are tried per eviction: if all clients of a crowd are sending, none of them
/// can be evicted.
const MAX_EVICTION_TRIES: usize = 8;

impl AdmissionHost {
    /// Whether one more client can be accepted, if necessary only to reject what it sends.
    pub(super) fn can_accept_client(&mut self) -> bool {
        let taken = self.clients.len();
        if taken < self.max_clients || self.evict_client(EvictFor::NewConnection) {
            return true;
        }
        self.last_full_at = Some(self.net.now);
        // If a slot becomes free in a moment, it is better for the new client to wait than to be
        // rejected now.
        !self.has_silent_client && taken < self.max_clients + self.max_over_limit
    }

    /// Since when a connection that is accepted now counts as silent. If accepting was behind, that
    /// is since it was established or last sent data. Otherwise each of many waiting connections
    /// would hold its slot for another 10 ms although it has been silent for far longer. The cost:
    /// a client that sends at this very moment may be evicted first.
    pub(super) fn silent_since(&self, id: usize) -> Nanos {
        let now = self.net.now;
        let Some(behind_since) = self.accept_behind_since else { return now };
        let unread_for = self.net.last_input_age(id).unwrap_or(0);
        now.saturating_sub(unread_for).max(behind_since)
    }

    /// Schedules a retry of accepting for when the next silent connection can be evicted, or after
    /// a delay; only one retry, however many connections wait.
    pub(super) fn schedule_accept(&mut self) {
        let now = self.net.now;
        self.accept_behind_since.get_or_insert(now);
        let latest = now + ACCEPT_RETRY_DELAY;
        let silent = eviction::next_silent_eviction(self.clients.values().filter_map(Client::idle_state));
        let at = silent.map_or(latest, |at| at.clamp(now + MIN_ACCEPT_DELAY, latest));
        if self.accept_retry_at.is_none_or(|scheduled| at < scheduled) {
            self.accept_retry_at = Some(at);
            self.timers.set(at, TimerEvent::RetryAccept);
        }
    }

    /// Whether a due timer for accepting is the one in effect.
    pub(super) fn is_accept_due(&mut self) -> bool {
        self.accept_retry_at.take_if(|at| *at <= self.net.now).is_some()
    }

    /// A client that was accepted over the limit has sent a message. It gets a regular slot if one
    /// is free by now, or if connections that were served before hold more than their share.
    pub(super) fn claim_slot(&mut self, id: usize) {
        if !self.clients.get(&id).is_some_and(|client| client.over_limit) {
            return;
        }
        let has_free_slot = self.clients.len() <= self.max_clients;
        let served_exceed_share = eviction::exceeds_served_share(self.served_clients, self.max_clients);
        if has_free_slot || served_exceed_share && self.evict_client(EvictFor::Required) {
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
    fn evict_client(&mut self, purpose: EvictFor) -> bool {
        let now = self.net.now;
        let retry_at = &mut self.no_eviction_until[purpose as usize];
        if now < *retry_at {
            return false;
        }
        *retry_at = now + MIN_ACCEPT_DELAY;
        let idle = || self.clients.iter().filter_map(|(id, client)| Some((*id, client.idle_state()?)));
        let candidates = eviction::eviction_order(idle(), now, purpose);
        self.has_silent_client = idle().any(|(_, idle)| matches!(idle, IdleState::Silent(_)));
        let mut tried = candidates.into_iter().take(MAX_EVICTION_TRIES);
        let evicted =
            tried.any(|id| self.has_no_pending_input(id) && self.close_client(id, CloseCause::Evicted));
        if evicted {
            self.no_eviction_until[purpose as usize] = 0;
        }
        evicted
    }

    /// Whether a connection has no unread input that is still to be served. Input after this side
    /// shut down sending is not.
    fn has_no_pending_input(&mut self, id: usize) -> bool {
        let closing = self.clients.get(&id).is_some_and(|client| client.phase.is_closing());
        if closing {
            self.net.read(id, false);
        }
        closing || self.is_drained(id)
    }

    /// Whether a connection closes after its answer so that waiting clients get their share of
    /// slots. Otherwise connections that were served before would never make room for any of the
    /// waiting clients, or would be closed during their next request. The cost: such a client has
    /// to reconnect.
    pub(super) fn yields_slot(&self, client: usize, length: usize) -> bool {
        let crowded = self.last_full_at.is_some_and(|at| self.net.now < at + CROWDED_PERIOD);
        crowded
            && eviction::exceeds_served_share(self.served_clients, self.max_clients)
            && self.net.input(client).len() <= length
    }
}
