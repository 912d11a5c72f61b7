//! Handles connections to servers: opens or reuses one for each attempt, writes the attempt, and
//! reads its answer.

use super::*;
use crate::guard::Denial;

impl PolicyHost {
    /// Takes the most recently used idle connection to a server, or opens a new one.
    pub(super) fn link_to(&mut self, server: u32) -> Option<usize> {
        let now = self.net.now;
        loop {
            let at = self.servers.by_number.get_mut(&server)?;
            let Some((id, since)) = at.idle.pop() else { break };
            let rested = now - since;
            if rested >= self.idle || !self.servers.reuses.allows(now, rested) {
                self.end_link(id, "idle");
                continue;
            }
            // Finds connections that the server has closed, and unsolicited data that would be
            // taken for the next answer; either may have arrived since the last poll. The cost: one
            // read per attempt.
            self.net.read(id, false);
            let unasked = (!self.net.input(id).is_empty()).then_some("answer-without-call-out");
            match unasked.or(self.net.ended(id).map(Ending::reason)) {
                Some(why) => self.end_link(id, why),
                None => {
                    self.links.entry(id).and_modify(|link| link.rested = Some(rested));
                    return Some(id);
                }
            }
        }
        if self.links.len() >= self.links_most && !self.shed_link() {
            return None;
        }
        let Server { address, came_up, .. } = *self.servers.by_number.get(&server)?;
        let id = self.connect(address, Peer::Server, MESSAGE_MOST);
        let id = id.map_err(|e| warn!(self.log, "can't connect"; "to" => %address, "error" => %e)).ok()?;
        self.links.insert(id, Link::new(server, came_up));
        if let Some(at) = self.servers.by_number.get_mut(&server) {
            at.open += 1;
        }
        self.timers.set(now + self.dial, TimerEvent::Dial(id));
        Some(id)
    }

    /// Writes the attempt assigned to a connection, if the conditions that held when it was
    /// requested still do. An attempt of which no byte was written has provably not run and may go
    /// to another server; the connection is kept.
    pub(super) fn write_attempt(&mut self, id: usize) {
        let Some(Link { stage: Stage::Asked(attempt), server, .. }) = self.links.get(&id) else { return };
        let (attempt, server) = (*attempt, *server);
        // Finds unsolicited data that would be taken for the answer, and a connection that the
        // server has closed; either may have arrived since the connection was chosen. The cost: one
        // read per attempt.
        self.net.read(id, false);
        let unasked = (!self.net.input(id).is_empty()).then_some("answer-without-call-out");
        if let Some(why) = unasked.or(self.net.ended(id).map(Ending::reason)) {
            return self.give_up(id, self.unwritten(id), why);
        }
        if let Err(obstacle) = self.may_send(id, &attempt) {
            info!(self.log, "not written"; "why" => obstacle.reason(), "rpc" => attempt.rpc, "attempt" => attempt.nth,
                "ms" => (self.net.now - attempt.sent) / MS);
            self.end_call_out(server, attempt, End::NotSent, 0.0, Vec::new());
            return self.rest_link(id);
        }
        let PolicyHost { net, links, rpcs, .. } = self;
        let (Some(rpc), Some(link)) = (rpcs.get_mut(&attempt.rpc), links.get_mut(&id)) else { return };
        rpc.written = true;
        let wait = attempt.until.min(rpc.deadline).saturating_sub(net.now);
        if let Some((message, out)) = net.input_and_out(rpc.client, id) {
            link.write(out, attempt, &rpc.message, message, wait);
        }
    }

    /// How an attempt ended of which nothing was written. If an idle connection was closed, that
    /// says nothing about the server.
    fn unwritten(&self, id: usize) -> End {
        let rested = self.links.get(&id).is_some_and(|link| link.rested.is_some());
        if rested { End::NotSent } else { End::NoConnection }
    }

    /// Asks the guard whether an attempt may be written on this connection.
    fn may_send(&mut self, id: usize, attempt: &Attempt) -> Result<(), Denial> {
        let Some(link) = self.links.get(&id) else { return Err(Denial::ServerMoved) };
        let there = |rpc: &&Rpc| rpc.state != RpcState::Answered && self.clients.contains_key(&rpc.client);
        let rpc = self.rpcs.get(&attempt.rpc).filter(there);
        let send = guard::SendCheck {
            now: self.net.now,
            client_present: rpc.is_some(),
            answer_by: attempt.until,
            write_by: attempt.before,
            retry_safety: rpc.map_or(RetrySafety::AtMostOnce, |rpc| rpc.effect),
            first_run: rpc.and_then(|rpc| rpc.first_run),
            server: self.server_now(id, link),
        };
        let verdict = guard::may_send(&send);
        self.count_send(verdict);
        verdict
    }

    /// The current listed state of the server that a connection leads to.
    fn server_now(&self, id: usize, link: &Link) -> ServerStatus {
        let listed = self.servers.by_number.get(&link.server).filter(|server| server.listed && server.ready);
        match listed {
            None => ServerStatus::Unavailable,
            Some(server) if self.is_same(id, link, server) => ServerStatus::Ready,
            Some(_) => ServerStatus::Moved,
        }
    }

    /// Whether the connection leads to the current address and incarnation of the server.
    fn is_same(&self, id: usize, link: &Link, server: &Server) -> bool {
        self.net.address(id) == Some(server.address) && link.came_up == server.came_up
    }

    pub(super) fn server_came(&mut self, id: usize) {
        let PolicyHost { net, links, .. } = self;
        let Some(link) = links.get_mut(&id) else { return };
        let ended = net.ended(id);
        let Stage::Out(call) = link.stage else {
            // Nothing was written, so any input or close makes the connection unusable.
            let unasked = (!net.input(id).is_empty()).then_some("answer-without-call-out");
            if let Some(why) = ended.map(Ending::reason).or(unasked) {
                self.give_up(id, self.unwritten(id), why);
            }
            return;
        };
        match link.look(net.input(id), ended) {
            Ok(Some(answer)) => {
                let server = link.server;
                if let Some(rested) = link.rested {
                    self.servers.reuses.ended(net.now, rested, false);
                }
                let load = answer.load.clone().map_or(&[][..], |load| &net.input(id)[load]);
                let load = if load.is_empty() { Vec::new() } else { servers::load(load, &self.columns) };
                if answer.how == End::Ok {
                    self.pass_on(id, call.rpc, &answer);
                }
                let unasked = self.net.input(id).len() > answer.length;
                self.net.used(id, answer.length);
                self.end_call_out(server, call, answer.how, answer.settled, load);
                if answer.reusable && !unasked && self.net.is_sent(id) {
                    self.rest_link(id);
                } else {
                    self.end_link(id, if unasked { "answer-without-call-out" } else { "server-closes" });
                }
            }
            Ok(None) => drop(ended.map(|ending| self.break_off(id, ending.reason()))),
            Err(why) => self.break_off(id, why),
        }
    }

    /// Forwards a server's 200 answer to the client, with its body unchanged.
    pub(super) fn pass_on(&mut self, link: usize, id: u32, answer: &Answer) {
        let Some(rpc) = self.rpcs.get(&id).filter(|rpc| rpc.state != RpcState::Answered) else { return };
        let (client, close) = (rpc.client, self.closes(rpc));
        if let Some((input, out)) = self.net.input_and_out(link, client) {
            let body = match &answer.body {
                Body::Read(range) => &input[range.clone()],
                Body::Joined(bytes) => bytes,
            };
            clients::write_head(out, 200, body.len(), &input[answer.head.clone()], 0, close);
            out.extend_from_slice(body);
        }
        self.log_answer(id, 200, "served");
        self.answered(id, client, close);
    }

    pub(super) fn rest_link(&mut self, id: usize) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.stage = Stage::Idle;
        let (number, now) = (link.server, self.net.now);
        let (link, server) = (&self.links[&id], self.servers.by_number.get(&number));
        let kept = server.is_some_and(|server| server.listed && self.is_same(id, link, server));
        match self.servers.by_number.get_mut(&number).filter(|_| kept) {
            Some(server) => server.idle.push((id, now)),
            None => self.end_link(id, "server-gone"),
        }
    }

    /// Whether the attempt on this connection may have run: its last byte was written.
    fn may_have_run(&self, id: usize) -> bool {
        let out = self.links.get(&id).is_some_and(|link| matches!(link.stage, Stage::Out(_)));
        out && self.net.is_sent(id)
    }

    /// Handles a failed connection. How its attempt ended depends on whether the last byte had been
    /// written.
    pub(super) fn break_off(&mut self, id: usize, why: &'static str) {
        let how = if self.may_have_run(id) { End::Reset } else { End::NoConnection };
        if let Some(rested) = self.links.get(&id).and_then(|link| link.rested).filter(|_| why == "reset") {
            self.servers.reuses.ended(self.net.now, rested, true);
        }
        self.give_up(id, how, why);
    }

    pub(super) fn give_up(&mut self, id: usize, how: End, why: &'static str) {
        let Some(link) = self.links.get(&id) else { return };
        if let Some(attempt) = link.attempt() {
            self.end_call_out(link.server, attempt, how, 0.0, Vec::new());
        }
        self.end_link(id, why);
    }

    /// The time of an attempt is over.
    pub(super) fn call_out_over(&mut self, id: usize, rpc: u32, nth: u16) {
        if self.links.get(&id).is_some_and(|link| link.carries(rpc, nth)) {
            let how = if self.may_have_run(id) { End::TimedOut } else { End::NoConnection };
            self.give_up(id, how, "call-out-timed-out");
        }
    }

    pub(super) fn dial_over(&mut self, id: usize) {
        if self.links.get(&id).is_some_and(|link| !link.up) {
            self.give_up(id, End::NoConnection, "never-came-up");
        }
    }

    pub(super) fn end_call_out(
        &mut self,
        server: u32,
        call: Attempt,
        how: End,
        settled: f64,
        load: Vec<f64>,
    ) {
        self.log_attempt_end(&call, server, how);
        let Some(rpc) = self.rpcs.get_mut(&call.rpc) else { return };
        rpc.open = false;
        if !matches!(how, End::NoConnection | End::NotSent | End::Full) {
            rpc.first_run = Some(rpc.first_run.map_or(call.sent, |first| first.min(call.sent)));
        }
        let closed = rpc.state == RpcState::Answered;
        if closed {
            self.forget(call.rpc);
        } else {
            self.shift(call.rpc, RpcState::Held);
        }
        let took = self.net.now - call.sent;
        let (rpc, nth) = (call.rpc, call.nth);
        self.ended.push_back(Ended { rpc, server, nth, how, took, closed, settled, load });
    }

    pub(super) fn end_link(&mut self, id: usize, why: &'static str) {
        let Some(link) = self.links.remove(&id) else { return };
        if let Some(server) = self.servers.by_number.get_mut(&link.server) {
            server.idle.retain(|idle| idle.0 != id);
            server.open -= 1;
        }
        info!(self.log, "server"; "why" => why, "to" => shown(self.net.address(id)), "call_outs" => link.used,
            "ms" => (self.net.now - self.net.since(id)) / MS);
        self.net.close(id);
    }

    /// Closes the connection to a server that has been idle for longest; false if none is idle.
    pub(super) fn shed_link(&mut self) -> bool {
        let oldest = self.met().filter_map(|server| server.idle.first());
        let Some(id) = oldest.min_by_key(|idle| idle.1).map(|idle| idle.0) else { return false };
        self.end_link(id, "made-room");
        true
    }
}
