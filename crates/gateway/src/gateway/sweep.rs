//! What is idle, silent or slow is looked for at regular times.

use super::*;

/// How a client's connection has outstayed its time.
#[derive(Clone, Copy)]
enum Overstay {
    Lingered,
    ReadsNothing,
    SlowMessage,
    SaidNothing,
    Idle,
}

const SLOW_MESSAGE: &str = "slow-message";

impl PolicyHost {
    /// Looks at all connections.
    pub(super) fn sweep(&mut self) {
        self.timers.set(self.net.now + SWEEP, TimerEvent::Sweep);
        self.sweep_clients();
        self.sweep_links();
        if let Some(id) =
            self.watch_on.filter(|_| !self.takes_list() && self.watch.is_unresponsive(self.net.now))
        {
            self.watch_broke(id, "silent");
        }
        self.sweep_lines();
    }

    fn sweep_clients(&mut self) {
        let clients = self.clients.iter();
        let over = clients.filter_map(|(id, client)| Some((*id, self.overstay(*id, client)?)));
        let over: Vec<(usize, Overstay)> = over.collect();
        for (id, overstay) in over {
            match overstay {
                // What has come by now, maybe the message's end, is looked at first; not again and again, though.
                Overstay::SlowMessage
                    if self.net.now <= self.begun(id) + clients::MESSAGE_TIMEOUT + 2 * SWEEP
                        && !self.rests(id) => {}
                Overstay::SlowMessage => self.refuse(id, 408, SLOW_MESSAGE),
                Overstay::SaidNothing => self.finish_client(id, "said-nothing"),
                Overstay::Idle => self.finish_client(id, "idle"),
                Overstay::Lingered => drop(self.end_client(id, CloseCause::LingerTimeout)),
                Overstay::ReadsNothing => drop(self.end_client(id, CloseCause::WriteTimeout)),
            }
        }
    }

    fn overstay(&self, id: usize, client: &Client) -> Option<Overstay> {
        let now = self.net.now;
        let age = now.saturating_sub(client.state_since);
        let (most, overstay) = match client.phase {
            Phase::AwaitingAnswer { .. } => return None,
            Phase::HalfClosed { .. } => (LINGER, Overstay::Lingered),
            Phase::WritingAnswer { close_reason: Some(_), .. } => {
                (clients::MESSAGE_TIMEOUT, Overstay::ReadsNothing)
            }
            Phase::WritingAnswer { close_reason: None, .. } => {
                (clients::IDLE_TIMEOUT, Overstay::ReadsNothing)
            }
            // Guards against connections that are opened to say nothing, or never to end a message. Harm: one
            // opened long before its first message is opened again.
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

    /// Since when a client's message is waited for.
    fn begun(&self, id: usize) -> Nanos {
        let begun = self.clients.get(&id).filter(|client| client.served > 0).map(|client| client.state_since);
        begun.unwrap_or(self.net.opened_at(id))
    }

    fn sweep_links(&mut self) {
        let now = self.net.now;
        let idle = self.met().flat_map(|server| &server.idle_connections);
        let idle: Vec<usize> = idle.filter(|idle| now >= idle.1 + self.idle).map(|idle| idle.0).collect();
        idle.into_iter().for_each(|id| self.end_link(id, "idle"));
    }

    fn sweep_lines(&mut self) {
        let now = self.net.now;
        for at in 0..self.lines.len() {
            let Some(id) = self.lines_on[at] else { continue };
            let used = at / counter::CONNECTIONS == self.lines_from / counter::CONNECTIONS;
            let line = &mut self.lines[at];
            if !used && (line.is_drained() || now > self.moved_at + counter::DRAIN_TIMEOUT) {
                self.line_broke(at, "moved");
            } else if line.is_unresponsive(now)
                || !line.is_connected && now > line.last_reply + counter::REPLY_TIMEOUT
            {
                self.line_broke(at, "silent");
            } else if line.is_connected
                && now > line.last_write + counter::PING_INTERVAL
                && let Some(out) = self.net.output(id)
            {
                line.send_ping(out, now);
            }
        }
    }
}
