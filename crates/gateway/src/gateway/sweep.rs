//! Checks all connections periodically, and closes those that are idle, silent or slow.

use super::*;

/// Which time limit a client's connection has exceeded.
#[derive(Clone, Copy)]
enum Timeout {
    /// The client did not close after this side shut down sending.
    Linger,
    /// The client does not read its answer.
    Write,
    /// A message was not completed in time.
    Message,
    /// Nothing was received since the connection was opened.
    FirstMessage,
    /// Nothing was received since the last answer.
    Idle,
}

const SLOW_MESSAGE_REASON: &str = "slow-message";

impl AdmissionHost {
    /// Checks all connections.
    pub(super) fn sweep(&mut self) {
        self.timers.set(self.net.now + SWEEP_INTERVAL, TimerEvent::Sweep);
        self.sweep_clients();
        self.sweep_server_connections();
        if let Some(id) =
            self.watch_id.filter(|_| !self.is_updating_list() && self.watch.is_unresponsive(self.net.now))
        {
            self.watch_lost(id, "silent");
        }
        self.sweep_counter_connections();
    }

    fn sweep_clients(&mut self) {
        let clients = self.clients.iter();
        let expired = clients.filter_map(|(id, client)| Some((*id, self.exceeded_timeout(*id, client)?)));
        let expired: Vec<(usize, Timeout)> = expired.collect();
        for (id, timeout) in expired {
            match timeout {
                // Input received by now, possibly the end of the message, is processed first, but
                // not again and again.
                Timeout::Message
                    if self.net.now
                        <= self.awaited_since(id) + clients::MESSAGE_TIMEOUT + 2 * SWEEP_INTERVAL
                        && !self.is_drained(id) => {}
                Timeout::Message => self.reject_message(id, 408, SLOW_MESSAGE_REASON),
                Timeout::FirstMessage => self.half_close_client(id, "said-nothing"),
                Timeout::Idle => self.half_close_client(id, "idle"),
                Timeout::Linger => drop(self.close_client(id, CloseCause::LingerTimeout)),
                Timeout::Write => drop(self.close_client(id, CloseCause::WriteTimeout)),
            }
        }
    }

    /// The time limit that a connection has exceeded, if any.
    fn exceeded_timeout(&self, id: usize, client: &Client) -> Option<Timeout> {
        let now = self.net.now;
        let age = now.saturating_sub(client.state_since);
        let (limit, timeout) = match client.phase {
            Phase::AwaitingAnswer { .. } => return None,
            Phase::HalfClosed { .. } => (LINGER_TIMEOUT, Timeout::Linger),
            Phase::WritingAnswer { close_reason: Some(_), .. } => (clients::MESSAGE_TIMEOUT, Timeout::Write),
            Phase::WritingAnswer { close_reason: None, .. } => (clients::IDLE_TIMEOUT, Timeout::Write),
            // Limits connections that are opened to send nothing, or that never complete a message.
            // The cost: a connection opened long before its first message has to be opened again.
            Phase::Reading if client.served == 0 => {
                let silent = now > self.net.opened_at(id) + clients::MESSAGE_TIMEOUT;
                let timeout = if client.partial { Timeout::Message } else { Timeout::FirstMessage };
                return silent.then_some(timeout);
            }
            Phase::Reading if client.partial => (clients::MESSAGE_TIMEOUT, Timeout::Message),
            Phase::Reading => (clients::IDLE_TIMEOUT, Timeout::Idle),
        };
        (age > limit).then_some(timeout)
    }

    /// Since when the message of a client is awaited.
    fn awaited_since(&self, id: usize) -> Nanos {
        let since = self.clients.get(&id).filter(|client| client.served > 0).map(|client| client.state_since);
        since.unwrap_or(self.net.opened_at(id))
    }

    fn sweep_server_connections(&mut self) {
        let now = self.net.now;
        let idle = self.connected_servers().flat_map(|server| &server.idle_connections);
        let idle: Vec<usize> =
            idle.filter(|idle| now >= idle.1 + self.idle_timeout).map(|idle| idle.0).collect();
        idle.into_iter().for_each(|id| self.close_server_connection(id, "idle"));
    }

    fn sweep_counter_connections(&mut self) {
        let now = self.net.now;
        for slot in 0..self.counter_connections.len() {
            let Some(id) = self.counter_ids[slot] else { continue };
            let active = slot / counter::CONNECTIONS == self.active_counter_set / counter::CONNECTIONS;
            let connection = &mut self.counter_connections[slot];
            if !active && (connection.is_drained() || now > self.counter_moved_at + counter::DRAIN_TIMEOUT) {
                self.counter_connection_lost(slot, "moved");
            } else if connection.is_unresponsive(now)
                || !connection.is_connected && now > connection.last_reply + counter::REPLY_TIMEOUT
            {
                self.counter_connection_lost(slot, "silent");
            } else if connection.is_connected
                && now > connection.last_write + counter::PING_INTERVAL
                && let Some(out) = self.net.output(id)
            {
                connection.send_ping(out, now);
            }
        }
    }
}
