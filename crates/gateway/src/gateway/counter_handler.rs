//! The gateway's side of the counter: a connection for each call.

use super::*;

impl PolicyHost {
    pub(super) fn counter_came(&mut self, line: usize, id: usize) {
        let mut ended = Vec::new();
        let fed = self.lines[line].feed(self.net.now, self.net.input(id), &mut ended);
        self.net.consume(id, fed.unwrap_or(0));
        self.counted.extend(ended);
        if let Some(why) = fed.err().or(self.net.connection_end(id).map(ConnectionEnd::reason)) {
            self.line_broke(line, why);
        }
    }

    /// The connection for a call: where its name is out, else the one with the least out.
    pub(super) fn line_for(&mut self, name: u64) -> Option<usize> {
        let carries = self.lines.iter().position(|line| line.has_call_for(name));
        let now = self.net.now;
        let usable = |line: &usize| self.lines_on[*line].is_some() || now >= self.lines_again[*line];
        let least = |line: &usize| self.lines[*line].in_flight.len() + self.lines[*line].waiting.len();
        let line = carries.or_else(|| {
            (self.lines_from..self.lines_from + counter::CONNECTIONS).filter(usable).min_by_key(least)
        })?;
        if self.lines_on[line].is_none() {
            let address = self.config.counter?;
            self.lines[line].last_reply = now;
            match self.connect(address, Peer::Counter(line), OTHER_INPUT) {
                Ok(id) => self.lines_on[line] = Some(id),
                Err(e) => {
                    warn!(self.log, "can't connect"; "to" => %address, "error" => %e);
                    self.lines_again[line] = now + counter::RECONNECT_DELAY;
                    return None;
                }
            }
        }
        Some(line)
    }

    /// The counter is elsewhere now. Calls go there; those that are out end where they are, and a name stays there for
    /// as long as one of its calls is out, so that its answers keep their order.
    pub(super) fn move_lines(&mut self) {
        (self.lines_from, self.moved_at) = (counter::CONNECTIONS - self.lines_from, self.net.now);
        for line in self.lines_from..self.lines_from + counter::CONNECTIONS {
            self.line_broke(line, "moved"); // left from the time before
            self.lines_again[line] = 0;
        }
    }

    pub(super) fn line_broke(&mut self, line: usize, why: &'static str) {
        let Some(id) = self.lines_on[line].take() else { return };
        info!(self.log, "counter"; "why" => why, "line" => line, "ms" => (self.net.now - self.net.opened_at(id)) / MS);
        self.lines_again[line] = self.net.now + counter::RECONNECT_DELAY;
        let ended = self.lines[line].disconnect();
        self.counted.extend(ended.into_iter().map(|(call, how)| (call, how, 0.0)));
        self.net.close(id);
    }
}
