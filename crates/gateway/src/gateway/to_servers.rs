//! The gateway's side of servers: a connection for each call-out, and how the call-out ended.

use super::*;

impl Desk {
    /// An idle connection to a server, the one used last, or a new one.
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
            // Guards against writing to a connection that the server has closed, and against taking what it sent
            // unasked for the next answer: both may have come since the last poll. Harm: a read for each call-out.
            self.net.read(id, false);
            let unasked = (!self.net.input(id).is_empty()).then_some("answer-without-call-out");
            match unasked.or(self.net.ended(id)) {
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
        let address = self.servers.by_number.get(&server)?.address;
        let dial = |net: &mut Net| net.connect(address, Peer::Server, MESSAGE_MOST);
        let id = dial(&mut self.net).or_else(|e| if self.shed_link() { dial(&mut self.net) } else { Err(e) });
        let id = id.map_err(|e| warn!(self.log, "can't connect"; "to" => %address, "error" => %e)).ok()?;
        self.links.insert(id, Link::new(server));
        if let Some(at) = self.servers.by_number.get_mut(&server) {
            at.open += 1;
        }
        self.timers.set(now + self.dial, What::Dial(id));
        Some(id)
    }

    pub(super) fn server_came(&mut self, id: usize) {
        let Desk { net, links, .. } = self;
        let Some(link) = links.get_mut(&id) else { return };
        let ended = net.ended(id);
        let Stage::Out(call) = link.stage else {
            // Nothing was asked: whatever comes, the connection is of no more use.
            let unasked = (!net.input(id).is_empty()).then_some("answer-without-call-out");
            if let Some(why) = ended.or(unasked) {
                self.end_link(id, why);
            }
            return;
        };
        match link.look(net.input(id), ended.is_some()) {
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
            Ok(None) => drop(ended.map(|why| self.break_off(id, why))),
            Err(why) => self.break_off(id, why),
        }
    }

    /// A server's 200 answer goes to the client, its body unchanged.
    pub(super) fn pass_on(&mut self, link: usize, id: u32, answer: &Answer) {
        let Some(rpc) = self.rpcs.get(&id).filter(|rpc| rpc.stand != Stand::Answered) else { return };
        let (client, close) = (rpc.client, rpc.message.close || self.stopping);
        if let Some((input, out)) = self.net.input_and_out(link, client) {
            let body = match &answer.body {
                Body::Read(range) => &input[range.clone()],
                Body::Joined(bytes) => bytes,
            };
            clients::write_head(out, 200, body.len(), &input[answer.head.clone()], 0, close);
            out.extend_from_slice(body);
        }
        self.answered(id, client, close);
    }

    pub(super) fn rest_link(&mut self, id: usize) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.stage = Stage::Idle;
        match self.servers.by_number.get_mut(&link.server) {
            Some(server) if server.listed && self.net.address(id) == Some(server.address) => {
                server.idle.push((id, self.net.now));
            }
            _ => self.end_link(id, "server-gone"),
        }
    }

    /// The connection can't be used on: its call-out ends by whether the last byte had been written.
    pub(super) fn break_off(&mut self, id: usize, why: &'static str) {
        let how = if self.net.is_sent(id) { End::Reset } else { End::NoConnection };
        if let Some(rested) = self.links.get(&id).and_then(|link| link.rested).filter(|_| why == "reset") {
            self.servers.reuses.ended(self.net.now, rested, true);
        }
        self.give_up(id, how, why);
    }

    pub(super) fn give_up(&mut self, id: usize, how: End, why: &'static str) {
        let Some(link) = self.links.get(&id) else { return };
        if let Stage::Out(call) = link.stage {
            self.end_call_out(link.server, call, how, 0.0, Vec::new());
        }
        self.end_link(id, why);
    }

    /// The time of a call-out is over.
    pub(super) fn call_out_over(&mut self, id: usize, rpc: u32, nth: u16) {
        if self.links.get(&id).is_some_and(|link| link.carries(rpc, nth)) {
            let how = if self.net.is_sent(id) { End::TimedOut } else { End::NoConnection };
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
        call: CallOut,
        how: End,
        settled: f64,
        load: Vec<f64>,
    ) {
        let Some(rpc) = self.rpcs.get_mut(&call.rpc) else { return };
        rpc.open = false;
        let closed = rpc.stand == Stand::Answered;
        if closed {
            self.forget(call.rpc);
        } else {
            self.shift(call.rpc, Stand::Held);
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

    /// Closes the connection to a server that has been idle for longest.
    pub(super) fn shed_link(&mut self) -> bool {
        let oldest = self.servers.by_number.values().filter_map(|server| server.idle.first());
        let Some(id) = oldest.min_by_key(|idle| idle.1).map(|idle| idle.0) else { return false };
        self.end_link(id, "made-room");
        true
    }
}
