//! Checks all connections periodically, and closes those that are idle, silent or slow.

use super::*;

/// Which time limit a client's connection has exceeded.
#[derive(Clone, Copy)]
enum Overstay {
    Lingered,
    ReadsNothing,
    SlowMessage,
    SaidNothing,
    Idle,
}

const SLOW_MESSAGE_REASON: &str = "slow-message";

impl PolicyHost {
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
        let over = clients.filter_map(|(id, client)| Some((*id, self.overstay(*id, client)?)));
        let over: Vec<(usize, Overstay)> = over.collect();
        for (id, overstay) in over {
            match overstay {
                // Input received by now, possibly the end of the message, is processed first, but
                // not again and again.
                Overstay::SlowMessage
                    if self.net.now <= self.begun(id) + clients::MESSAGE_TIMEOUT + 2 * SWEEP_INTERVAL
                        && !self.is_drained(id) => {}
                Overstay::SlowMessage => self.reject_message(id, 408, SLOW_MESSAGE_REASON),
                Overstay::SaidNothing => self.half_close_client(id, "said-nothing"),
                Overstay::Idle => self.half_close_client(id, "idle"),
                Overstay::Lingered => drop(self.close_client(id, CloseCause::LingerTimeout)),
                Overstay::ReadsNothing => drop(self.close_client(id, CloseCause::WriteTimeout)),
            }
        }
    }

    fn overstay(&self, id: usize, client: &Client) -> Option<Overstay> {
        let now = self.net.now;
        let age = now.saturating_sub(client.state_since);
        let (most, overstay) = match client.phase {
            Phase::AwaitingAnswer { .. } => return None,
            Phase::HalfClosed { .. } => (LINGER_TIMEOUT, Overstay::Lingered),
            Phase::WritingAnswer { close_reason: Some(_), .. } => {
                (clients::MESSAGE_TIMEOUT, Overstay::ReadsNothing)
            }
            Phase::WritingAnswer { close_reason: None, .. } => {
                (clients::IDLE_TIMEOUT, Overstay::ReadsNothing)
            }
            // Limits connections that are opened to send nothing, or that never complete a message.
            // The cost: a connection opened long before its first message has to be opened again.
            Phase::Reading if client.served == 0 => {
                let silent = now > self.net.opened_at(id) + clients::MESSAGE_TIMEOUT;
                let overstay = if client.partial { Overstay::SlowMessage } else { Overstay::SaidNothing };
                return silent.then_some(overstay);
            }
            Phase::Reading if client.partial => (clients::MESSAGE_TIMEOUT, Overstay::SlowMessage),
            Phase::Reading => (clients::IDLE_TIMEOUT, Overstay::Idle),
        };
        (age > most).then_some(overstay)
    }

    /// Since when the message of a client is awaited.
    fn begun(&self, id: usize) -> Nanos {
        let begun = self.clients.get(&id).filter(|client| client.served > 0).map(|client| client.state_since);
        begun.unwrap_or(self.net.opened_at(id))
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
        for at in 0..self.counter_connections.len() {
            let Some(id) = self.counter_ids[at] else { continue };
            let used = at / counter::CONNECTIONS == self.active_counter_set / counter::CONNECTIONS;
            let line = &mut self.counter_connections[at];
            if !used && (line.is_drained() || now > self.counter_moved_at + counter::DRAIN_TIMEOUT) {
                self.counter_connection_lost(at, "moved");
            } else if line.is_unresponsive(now)
                || !line.is_connected && now > line.last_reply + counter::REPLY_TIMEOUT
            {
                self.counter_connection_lost(at, "silent");
            } else if line.is_connected
                && now > line.last_write + counter::PING_INTERVAL
                && let Some(out) = self.net.output(id)
            {
                line.send_ping(out, now);
            }
        }
    }
}
