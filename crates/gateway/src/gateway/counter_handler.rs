//! Handles the connections to the counter and assigns calls to them.

use super::*;

impl PolicyHost {
    pub(super) fn counter_came(&mut self, line: usize, id: usize) {
        let mut ended = Vec::new();
        let fed = self.lines[line].feed(self.net.now, self.net.input(id), &mut ended);
        self.net.used(id, fed.unwrap_or(0));
        self.counted.extend(ended);
        if let Some(why) = fed.err().or(self.net.ended(id).map(Ending::reason)) {
            self.line_broke(line, why);
        }
    }

    /// The connection for a call: the one with another call for the same name in flight, otherwise
    /// the one with the fewest calls.
    pub(super) fn line_for(&mut self, name: u64) -> Option<usize> {
        let carries = self.lines.iter().position(|line| line.carries(name));
        let now = self.net.now;
        let usable = |line: &usize| self.lines_on[*line].is_some() || now >= self.lines_again[*line];
        let least = |line: &usize| self.lines[*line].written.len() + self.lines[*line].waiting.len();
        let line = carries.or_else(|| {
            (self.lines_from..self.lines_from + counter::LINES).filter(usable).min_by_key(least)
        })?;
        if self.lines_on[line].is_none() {
            let address = self.config.counter?;
            self.lines[line].heard = now;
            match self.connect(address, Peer::Counter(line), OTHER_INPUT) {
                Ok(id) => self.lines_on[line] = Some(id),
                Err(e) => {
                    warn!(self.log, "can't connect"; "to" => %address, "error" => %e);
                    self.lines_again[line] = now + counter::AGAIN;
                    return None;
                }
            }
        }
        Some(line)
    }

    /// The counter has moved. New calls go to the new address; calls in flight finish at the old
    /// one, and a name stays there for as long as one of its calls is in flight, so that its
    /// answers keep their order.
    pub(super) fn move_lines(&mut self) {
        (self.lines_from, self.moved_at) = (counter::LINES - self.lines_from, self.net.now);
        for line in self.lines_from..self.lines_from + counter::LINES {
            self.line_broke(line, "moved"); // from before the previous move
            self.lines_again[line] = 0;
        }
    }

    pub(super) fn line_broke(&mut self, line: usize, why: &'static str) {
        let Some(id) = self.lines_on[line].take() else { return };
        info!(self.log, "counter"; "why" => why, "line" => line, "ms" => (self.net.now - self.net.since(id)) / MS);
        self.lines_again[line] = self.net.now + counter::AGAIN;
        let ended = self.lines[line].broke();
        self.counted.extend(ended.into_iter().map(|(call, how)| (call, how, 0.0)));
        self.net.close(id);
    }
}
