//! The gateway's side of servers: a connection for each call-out, and how the call-out ended.

use super::*;
use crate::guard::Denial;

impl PolicyHost {
    /// An idle connection to a server, the one used last, or a new one.
    pub(super) fn link_to(&mut self, server: u32) -> Option<usize> {
        let now = self.net.now;
        loop {
            let at = self.servers.by_number.get_mut(&server)?;
            let Some((id, since)) = at.idle_connections.pop() else { break };
            let rested = now - since;
            if rested >= self.idle || !self.servers.reuse_history.allows(now, rested) {
                self.end_link(id, "idle");
                continue;
            }
            // Guards against writing to a connection that the server has closed, and against taking what it sent
            // unasked for the next answer: both may have come since the last poll. Harm: a read for each call-out.
            self.net.read(id, false);
            let unasked = (!self.net.input(id).is_empty()).then_some("answer-without-call-out");
            match unasked.or(self.net.connection_end(id).map(ConnectionEnd::reason)) {
                Some(why) => self.end_link(id, why),
                None => {
                    self.links.entry(id).and_modify(|link| link.idle_for = Some(rested));
                    return Some(id);
                }
            }
        }
        if self.links.len() >= self.links_most && !self.shed_link() {
            return None;
        }
        let Server { address, started_at: came_up, .. } = *self.servers.by_number.get(&server)?;
        let id = self.connect(address, Peer::Server, MESSAGE_MOST);
        let id = id.map_err(|e| warn!(self.log, "can't connect"; "to" => %address, "error" => %e)).ok()?;
        self.links.insert(id, ServerConnection::new(server, came_up));
        if let Some(at) = self.servers.by_number.get_mut(&server) {
            at.open_connections += 1;
        }
        self.timers.set(now + self.dial, TimerEvent::Dial(id));
        Some(id)
    }

    /// Writes the attempt that a connection was asked to carry, if all that was true when it was asked for still is. An
    /// attempt of which no byte was written is provably not run and may go elsewhere; the connection is kept.
    pub(super) fn write_attempt(&mut self, id: usize) {
        let Some(ServerConnection { stage: Stage::Requested(attempt), server, .. }) = self.links.get(&id)
        else {
            return;
        };
        let (attempt, server) = (*attempt, *server);
        // Guards against taking for its answer what the server sent unasked, and against writing to what it has closed:
        // both may have come since the connection was taken up. Harm: a read for each attempt.
        self.net.read(id, false);
        let unasked = (!self.net.input(id).is_empty()).then_some("answer-without-call-out");
        if let Some(why) = unasked.or(self.net.connection_end(id).map(ConnectionEnd::reason)) {
            return self.give_up(id, self.unwritten(id), why);
        }
        if let Err(obstacle) = self.may_send(id, &attempt) {
            info!(self.log, "not written"; "why" => obstacle.reason(), "rpc" => attempt.rpc, "attempt" => attempt.number,
                "ms" => (self.net.now - attempt.requested_at) / MS);
            self.end_call_out(server, attempt, CallOutcome::NotSent, 0.0, Vec::new());
            return self.rest_link(id);
        }
        let PolicyHost { net, links, rpcs, .. } = self;
        let (Some(rpc), Some(link)) = (rpcs.get_mut(&attempt.rpc), links.get_mut(&id)) else { return };
        rpc.written = true;
        let wait = attempt.deadline.min(rpc.deadline).saturating_sub(net.now);
        if let Some((message, out)) = net.input_and_output(rpc.client, id) {
            link.write_attempt(out, attempt, &rpc.message, message, wait);
        }
    }

    /// How an attempt ended of which nothing was written. That a connection went while it rested says nothing of the server.
    fn unwritten(&self, id: usize) -> CallOutcome {
        let rested = self.links.get(&id).is_some_and(|link| link.idle_for.is_some());
        if rested { CallOutcome::NotSent } else { CallOutcome::NoConnection }
    }

    /// Asks the guard whether an attempt may be written on this connection.
    fn may_send(&mut self, id: usize, attempt: &Attempt) -> Result<(), Denial> {
        let Some(link) = self.links.get(&id) else { return Err(Denial::ServerMoved) };
        let there = |rpc: &&Rpc| rpc.state != RpcState::Answered && self.clients.contains_key(&rpc.client);
        let rpc = self.rpcs.get(&attempt.rpc).filter(there);
        let send = guard::SendCheck {
            now: self.net.now,
            client_present: rpc.is_some(),
            answer_by: attempt.deadline,
            write_by: attempt.write_by,
            retry_safety: rpc.map_or(RetrySafety::AtMostOnce, |rpc| rpc.effect),
            first_run: rpc.and_then(|rpc| rpc.first_run),
            server: self.server_now(id, link),
        };
        let verdict = guard::may_send(&send);
        self.count_send(verdict);
        verdict
    }

    /// What the list says now of the server that a connection leads to.
    fn server_now(&self, id: usize, link: &ServerConnection) -> ServerStatus {
        let listed =
            self.servers.by_number.get(&link.server).filter(|server| server.is_listed && server.ready);
        match listed {
            None => ServerStatus::Unavailable,
            Some(server) if self.is_same(id, link, server) => ServerStatus::Ready,
            Some(_) => ServerStatus::Moved,
        }
    }

    /// Whether the connection leads to what the server is now.
    fn is_same(&self, id: usize, link: &ServerConnection, server: &Server) -> bool {
        self.net.address(id) == Some(server.address) && link.server_started_at == server.started_at
    }

    pub(super) fn server_came(&mut self, id: usize) {
        let PolicyHost { net, links, .. } = self;
        let Some(link) = links.get_mut(&id) else { return };
        let ended = net.connection_end(id);
        let Stage::InFlight(call) = link.stage else {
            // Nothing was written: whatever comes, the connection is of no more use.
            let unasked = (!net.input(id).is_empty()).then_some("answer-without-call-out");
            if let Some(why) = ended.map(ConnectionEnd::reason).or(unasked) {
                self.give_up(id, self.unwritten(id), why);
            }
            return;
        };
        match link.parse_response(net.input(id), ended) {
            Ok(Some(answer)) => {
                let server = link.server;
                if let Some(rested) = link.idle_for {
                    self.servers.reuse_history.record(net.now, rested, false);
                }
                let load = answer.load_report.clone().map_or(&[][..], |load| &net.input(id)[load]);
                let load = if load.is_empty() {
                    Vec::new()
                } else {
                    servers::parse_load_report(load, &self.columns)
                };
                if answer.end == CallOutcome::Ok {
                    self.pass_on(id, call.rpc, &answer);
                }
                let unasked = self.net.input(id).len() > answer.message_length;
                self.net.consume(id, answer.message_length);
                self.end_call_out(server, call, answer.end, answer.settled, load);
                if answer.reusable && !unasked && self.net.is_flushed(id) {
                    self.rest_link(id);
                } else {
                    self.end_link(id, if unasked { "answer-without-call-out" } else { "server-closes" });
                }
            }
            Ok(None) => drop(ended.map(|ending| self.break_off(id, ending.reason()))),
            Err(why) => self.break_off(id, why),
        }
    }

    /// A server's 200 answer goes to the client, its body unchanged.
    pub(super) fn pass_on(&mut self, link: usize, id: u32, answer: &Response) {
        let Some(rpc) = self.rpcs.get(&id).filter(|rpc| rpc.state != RpcState::Answered) else { return };
        let (client, close) = (rpc.client, self.closes(rpc));
        if let Some((input, out)) = self.net.input_and_output(link, client) {
            let body = match &answer.body {
                Body::Buffered(range) => &input[range.clone()],
                Body::Decoded(bytes) => bytes,
            };
            clients::write_response_head(out, 200, body.len(), &input[answer.header_lines.clone()], 0, close);
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
        let kept = server.is_some_and(|server| server.is_listed && self.is_same(id, link, server));
        match self.servers.by_number.get_mut(&number).filter(|_| kept) {
            Some(server) => server.idle_connections.push((id, now)),
            None => self.end_link(id, "server-gone"),
        }
    }

    /// Whether the attempt on this connection may have run: its last byte was written.
    fn may_have_run(&self, id: usize) -> bool {
        let out = self.links.get(&id).is_some_and(|link| matches!(link.stage, Stage::InFlight(_)));
        out && self.net.is_flushed(id)
    }

    /// The connection can't be used on: its call-out ends by whether the last byte had been written.
    pub(super) fn break_off(&mut self, id: usize, why: &'static str) {
        let how = if self.may_have_run(id) { CallOutcome::Reset } else { CallOutcome::NoConnection };
        if let Some(rested) = self.links.get(&id).and_then(|link| link.idle_for).filter(|_| why == "reset") {
            self.servers.reuse_history.record(self.net.now, rested, true);
        }
        self.give_up(id, how, why);
    }

    pub(super) fn give_up(&mut self, id: usize, how: CallOutcome, why: &'static str) {
        let Some(link) = self.links.get(&id) else { return };
        if let Some(attempt) = link.attempt() {
            self.end_call_out(link.server, attempt, how, 0.0, Vec::new());
        }
        self.end_link(id, why);
    }

    /// The time of a call-out is over.
    pub(super) fn call_out_over(&mut self, id: usize, rpc: u32, nth: u16) {
        if self.links.get(&id).is_some_and(|link| link.carries(rpc, nth)) {
            let how = if self.may_have_run(id) { CallOutcome::TimedOut } else { CallOutcome::NoConnection };
            self.give_up(id, how, "call-out-timed-out");
        }
    }

    pub(super) fn dial_over(&mut self, id: usize) {
        if self.links.get(&id).is_some_and(|link| !link.is_connected) {
            self.give_up(id, CallOutcome::NoConnection, "never-came-up");
        }
    }

    pub(super) fn end_call_out(
        &mut self,
        server: u32,
        call: Attempt,
        how: CallOutcome,
        settled: f64,
        load: Vec<f64>,
    ) {
        self.log_attempt_end(&call, server, how);
        let Some(rpc) = self.rpcs.get_mut(&call.rpc) else { return };
        rpc.open = false;
        if !matches!(how, CallOutcome::NoConnection | CallOutcome::NotSent | CallOutcome::Full) {
            rpc.first_run =
                Some(rpc.first_run.map_or(call.requested_at, |first| first.min(call.requested_at)));
        }
        let closed = rpc.state == RpcState::Answered;
        if closed {
            self.forget(call.rpc);
        } else {
            self.shift(call.rpc, RpcState::Held);
        }
        let took = self.net.now - call.requested_at;
        let (rpc, nth) = (call.rpc, call.number);
        self.ended.push_back(AttemptResult {
            rpc,
            server,
            attempt: nth,
            outcome: how,
            duration: took,
            rpc_answered: closed,
            settled_units: settled,
            load_report: load,
        });
    }

    pub(super) fn end_link(&mut self, id: usize, why: &'static str) {
        let Some(link) = self.links.remove(&id) else { return };
        if let Some(server) = self.servers.by_number.get_mut(&link.server) {
            server.idle_connections.retain(|idle| idle.0 != id);
            server.open_connections -= 1;
        }
        info!(self.log, "server"; "why" => why, "to" => shown(self.net.address(id)), "call_outs" => link.attempts,
            "ms" => (self.net.now - self.net.opened_at(id)) / MS);
        self.net.close(id);
    }

    /// Closes the connection to a server that has been idle for longest.
    pub(super) fn shed_link(&mut self) -> bool {
        let oldest = self.met().filter_map(|server| server.idle_connections.first());
        let Some(id) = oldest.min_by_key(|idle| idle.1).map(|idle| idle.0) else { return false };
        self.end_link(id, "made-room");
        true
    }
}
