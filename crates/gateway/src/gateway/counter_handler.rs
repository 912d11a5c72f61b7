//! Handles the connections to the counter and assigns calls to them.

use super::*;

impl AdmissionHost {
    /// Processes replies from the counter, or the end of a connection to it.
    pub(super) fn read_counter(&mut self, slot: usize, id: usize) {
        let mut ended = Vec::new();
        let consumed = self.counter_connections[slot].feed(self.net.now, self.net.input(id), &mut ended);
        self.net.consume(id, consumed.unwrap_or(0));
        self.ended_counter_calls.extend(ended);
        if let Some(why) = consumed.err().or(self.net.connection_end(id).map(ConnectionEnd::reason)) {
            self.counter_connection_lost(slot, why);
        }
    }

    /// The connection for a call: the one with another call for the same name in flight, otherwise
    /// the one with the fewest calls.
    pub(super) fn counter_connection_for(&mut self, name: u64) -> Option<usize> {
        let in_use = self.counter_connections.iter().position(|connection| connection.has_call_for(name));
        let now = self.net.now;
        let usable = |slot: &usize| self.counter_ids[*slot].is_some() || now >= self.counter_retry_at[*slot];
        let load = |slot: &usize| {
            self.counter_connections[*slot].in_flight.len() + self.counter_connections[*slot].waiting.len()
        };
        let slot = in_use.or_else(|| {
            (self.active_counter_set..self.active_counter_set + counter::CONNECTIONS)
                .filter(usable)
                .min_by_key(load)
        })?;
        if self.counter_ids[slot].is_none() {
            let address = self.config.counter?;
            self.counter_connections[slot].last_reply = now;
            match self.connect(address, Peer::Counter(slot), MAX_COUNTER_INPUT) {
                Ok(id) => self.counter_ids[slot] = Some(id),
                Err(e) => {
                    warn!(self.log, "can't connect"; "to" => %address, "error" => %e);
                    self.counter_retry_at[slot] = now + counter::RECONNECT_DELAY;
                    return None;
                }
            }
        }
        Some(slot)
    }

    /// The counter has moved. New calls go to the new address; calls in flight finish at the old
    /// one, and a name stays there for as long as one of its calls is in flight, so that its
    /// answers keep their order.
    pub(super) fn move_counter(&mut self) {
        (self.active_counter_set, self.counter_moved_at) =
            (counter::CONNECTIONS - self.active_counter_set, self.net.now);
        for slot in self.active_counter_set..self.active_counter_set + counter::CONNECTIONS {
            self.counter_connection_lost(slot, "moved"); // from before the previous move
            self.counter_retry_at[slot] = 0;
        }
    }

    /// Closes a connection to the counter and ends its calls.
    pub(super) fn counter_connection_lost(&mut self, slot: usize, why: &'static str) {
        let Some(id) = self.counter_ids[slot].take() else { return };
        info!(self.log, "counter"; "why" => why, "line" => slot, "ms" => (self.net.now - self.net.opened_at(id)) / MS);
        self.counter_retry_at[slot] = self.net.now + counter::RECONNECT_DELAY;
        let ended = self.counter_connections[slot].disconnect();
        self.ended_counter_calls.extend(ended.into_iter().map(|(call, outcome)| (call, outcome, 0.0)));
        self.net.close(id);
    }
}
