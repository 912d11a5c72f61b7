//! The gateway's side of clients: RPCs handed to the module, and the one answer each gets.

use super::*;

/// Why a client's connection ended: it left before it had its answer.
pub(super) const LEFT: &str = "left-before-answer";

impl Gateway {
    pub(super) fn client_came(&mut self, id: usize) {
        let Some(client) = self.host.clients.get_mut(&id) else { return };
        let length = self.host.net.input(id).len();
        // Guards against messages that waited here unread for longer than the last turn lasted: for a place, or while the
        // process had no processor. Harm: a call of the system for each message.
        let begins = client.read_times.is_empty() && length > 0;
        let unread_for = if begins { self.host.net.last_input_age(id).unwrap_or(0) } else { 0 };
        let came = self.host.net.now.saturating_sub(self.host.net.input_delay.max(unread_for));
        client.record_read(length, came);
        if client.phase.is_closing() {
            let length = self.host.net.input(id).len();
            self.host.net.consume(id, length);
        } else if let Some((_, length)) =
            client.phase.pending_rpc().filter(|_| self.host.net.is_input_full(id))
        {
            // Guards against a client whose leaving lies behind what it sent in the meantime, so that its RPC would wait
            // on for nobody. Covers floods. Harm: one that sends on before its answer has to open another connection.
            client.sent_excess = true;
            self.host.net.truncate_input(id, length);
        } else if client.phase.is_reading()
            && !self.host.net.input(id).is_empty()
            && self.host.net.is_flushed(id)
        {
            // The answer before this message is out: one that reads none can't fill the buffer with them.
            let found = client.parse_message(&self.host.config, came, self.host.net.input(id));
            if matches!(found, Ok(Parsed::Rpc(_) | Parsed::Ready(_) | Parsed::Healthy(_))) {
                self.host.claim_place(id);
            }
            match found {
                // Guards the memory against many long messages at once; servers' buffers have a part of their own.
                // Harm: a long message is turned away that might have found room a little later.
                Ok(Parsed::Incomplete) if self.host.net.client_buffer_bytes > self.host.held_most => {
                    self.host.refuse(id, 503, "no-memory")
                }
                Ok(Parsed::Incomplete | Parsed::Continue) if self.host.is_past_last_call() => {
                    self.host.refuse(id, 503, "stopping")
                }
                Ok(Parsed::Incomplete) => {}
                Ok(Parsed::Continue) => {
                    if let Some(out) = self.host.net.output(id) {
                        out.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                    }
                }
                Ok(Parsed::Rpc(message)) => self.arrive(id, message),
                Ok(Parsed::Ready(length)) => {
                    let ready = self.host.has_list && !self.host.is_stopping();
                    let shows = self.shows();
                    self.host.answer_own(id, if ready { 200 } else { 503 }, length, &shows);
                }
                Ok(Parsed::Healthy(length)) => {
                    let shows = self.shows() + &self.host.counts_line();
                    self.host.answer_own(id, 200, length, &shows);
                }
                Err(MessageError(status, why)) => self.host.refuse(id, status, why),
            }
        }
        if let Some(ending) = self.host.net.connection_end(id) {
            self.client_left(id, ending.reason());
        }
    }

    pub(super) fn arrive(&mut self, client: usize, message: clients::RpcRequest) {
        let (now, end) = (self.host.net.now, message.body.end);
        let own: Box<[u8]> = self.host.net.input(client)[message.txn.clone()].into();
        let spare = self.host.clients.get(&client).is_some_and(|client| client.over_limit);
        if self.host.open_rpcs >= self.host.rpcs_most
            || spare
            || self.host.net.client_buffer_bytes > self.host.held_most
        {
            // No room for more: what is refused here never reached the module.
            self.host.log_turned_away(&own, 503, "no-room");
            self.host.answer_own(client, 503, end, "");
            return;
        }
        let came = self.host.clients.get(&client).map_or(now, |client| client.message_received_at);
        let asked = (came + message.remaining_ms * MS).saturating_sub(MARGIN);
        if !self.host.may_admit(&own, asked) {
            return self.host.answer_own(client, 503, end, "");
        }
        if !self.host.ids.insert(own.clone()) {
            // Guards against one client's answer going by another's id. Harm: none, ids are fresh on every RPC.
            return self.host.refuse(client, 409, "duplicate-id");
        }
        let (id, method) = (self.host.fresh_rpc(), message.method);
        let Some(at) = self.host.clients.get_mut(&client) else { return };
        at.set_phase(Phase::AwaitingAnswer { rpc: id, message_length: end }, now);
        let deadline = self.host.within_life(asked).max(now);
        let arrival = Arrival {
            id,
            method: message.method,
            plan: message.plan,
            customer: message.customer,
            service: self.host.config.services.of_class(message.method),
            deadline,
            units: message.units,
            gateway_count: message.width,
            first_gateway: message.first,
        };
        let rpc = Rpc {
            state: RpcState::Held,
            client,
            message,
            since: now,
            deadline,
            call_outs: 0,
            open: false,
            effect: self.host.config.methods[usize::from(method)].effect,
            first_run: None,
            written: false,
            id: own,
        };
        self.host.rpcs.insert(id, rpc);
        self.host.open_rpcs += 1;
        self.host.timers.set(deadline + OVERDUE, TimerEvent::Overdue(id));
        self.brain.on_arrival(&mut self.host, now, &arrival);
    }

    /// Guards against an RPC that neither the module nor a time-out has ended; nothing else should come here.
    pub(super) fn overdue(&mut self, id: u32) {
        if self.host.rpcs.get(&id).is_some_and(|rpc| rpc.state != RpcState::Answered) {
            warn!(self.host.log, "overdue"; "rpc" => id);
            let harmless = self.host.rpcs.get(&id).is_some_and(|rpc| !rpc.written);
            self.host.answer(id, if harmless { 503 } else { 504 }, 0, "overdue");
            self.brain.on_client_left(id);
        }
    }

    /// A last look at the client for whom an attempt is about to be written on this connection: whether all that it sent by
    /// now is read, and with it its leaving. Guards against a close that lies unread: it came while the turn lasted, behind
    /// what others sent, or behind bytes of its own. Covers busy turns, small parts of a core and floods. Harm: a read for
    /// each attempt; one whose client sends on without end is put off until its time is over.
    pub(super) fn client_stays(&mut self, link: usize) -> bool {
        let attempt = self.host.links.get(&link).and_then(ServerConnection::attempt);
        let Some(rpc) = attempt.and_then(|attempt| self.host.rpcs.get(&attempt.rpc)) else { return true };
        let client = rpc.client;
        for _ in 0..LOOKS {
            let before = self.host.net.input(client).len();
            self.host.net.read(client, false);
            let net = &self.host.net;
            if net.input(client).len() == before
                && !net.is_input_full(client)
                && net.connection_end(client).is_none()
            {
                return true;
            }
            self.client_came(client);
        }
        false
    }

    pub(super) fn client_left(&mut self, id: usize, why: &'static str) {
        let rpc = self.host.clients.get(&id).and_then(|client| client.phase.pending_rpc()).map(|rpc| rpc.0);
        self.host.end_client(id, CloseCause::ClientClosed(if rpc.is_some() { LEFT } else { why }));
        if let Some(rpc) = rpc {
            self.host.log_abandoned(rpc);
            self.host.shift(rpc, RpcState::Answered);
            self.brain.on_client_left(rpc);
        }
    }
}

impl PolicyHost {
    /// The one final answer of an RPC, when it is the gateway's own.
    pub(super) fn answer(&mut self, id: u32, status: u16, come_back: Nanos, why: &'static str) {
        let Some(rpc) = self.rpcs.get(&id).filter(|rpc| rpc.state != RpcState::Answered) else { return };
        let (client, close) = (rpc.client, self.closes(rpc));
        if let Some(out) = self.net.output(client) {
            clients::write_response(out, status, come_back, close);
        }
        self.log_answer(id, status, why);
        self.answered(id, client, close);
    }

    /// Whether the answer to an RPC is the last on its connection.
    pub(super) fn closes(&self, rpc: &Rpc) -> bool {
        let floods = self.clients.get(&rpc.client).is_some_and(|client| client.sent_excess);
        rpc.message.close
            || floods
            || self.ends_with(rpc.client, rpc.message.body.end)
            || self.gives_its_place(rpc.client, rpc.message.body.end)
    }

    /// An RPC's answer was put into its client's buffer; it is owed until all of it is out.
    pub(super) fn answered(&mut self, id: u32, client: usize, close: bool) {
        let rpc = self.rpcs.get(&id).map(|rpc| (rpc.id.clone(), rpc.deadline));
        let (txn, deadline) = rpc.unzip();
        self.shift(id, RpcState::Answered);
        let (now, stopping) = (self.net.now, self.is_stopping());
        let Some(at) = self.clients.get_mut(&client) else { return };
        let length = at.phase.pending_rpc().map_or(0, |rpc| rpc.1);
        let last = close.then_some(match at.sent_excess {
            _ if stopping => "stopping",
            true => "sends-on-before-its-answer",
            false => "last-answer",
        });
        at.set_phase(
            Phase::WritingAnswer {
                answer: UnsentAnswer { txn: txn.unwrap_or_default(), deadline },
                close_reason: last,
            },
            now,
        );
        self.clients_served += usize::from(at.served == 0);
        at.served += 1;
        at.consume(length);
        self.net.consume(client, length);
    }

    /// Some of what waited for a client was written; once that is all, its answer is no longer owed.
    pub(super) fn client_wrote(&mut self, id: usize) {
        let (now, sent) = (self.net.now, self.net.is_flushed(id));
        let Some(client) = self.clients.get_mut(&id) else { return };
        match client.phase.after_answer().filter(|_| sent) {
            None => {
                client.state_since =
                    if client.phase.unsent_answer().is_some() { now } else { client.state_since }
            }
            Some(next) => {
                let owed = client.phase.unsent_answer().cloned().unwrap_or_default();
                let ends = next.is_closing();
                client.set_phase(next, now);
                self.check_answer(&owed);
                if ends {
                    self.net.shutdown_write(id);
                }
            }
        }
        let reads = self.clients.get(&id).is_some_and(|client| client.phase.pending_rpc().is_none());
        if reads && !self.net.input(id).is_empty() {
            self.again.push_back(id);
        }
    }

    /// An answer of the gateway's own to a message that is no RPC of the module's; `lines` are further header lines.
    pub(super) fn answer_own(&mut self, client: usize, status: u16, length: usize, lines: &str) {
        let spare = self.clients.get(&client).is_some_and(|client| client.over_limit);
        let (now, stopping) = (self.net.now, self.is_stopping());
        let close = spare || self.ends_with(client, length);
        if let Some(out) = self.net.output(client) {
            clients::write_response_with_headers(out, status, lines, 0, close);
        }
        self.net.consume(client, length);
        if let Some(at) = self.clients.get_mut(&client) {
            let last = close.then_some(if stopping { "stopping" } else { "too-many-clients" });
            at.set_phase(Phase::WritingAnswer { answer: UnsentAnswer::default(), close_reason: last }, now);
            at.partial = false;
            at.consume(length);
            self.clients_served += usize::from(at.served == 0);
            at.served += 1;
        }
    }

    /// Answers what can't be taken and closes.
    pub(super) fn refuse(&mut self, client: usize, status: u16, why: &'static str) {
        if let Some(out) = self.net.output(client) {
            clients::write_response(out, status, 0, true);
        }
        self.net.discard_input(client);
        let now = self.net.now;
        if let Some(at) = self.clients.get_mut(&client) {
            at.set_phase(
                Phase::WritingAnswer { answer: UnsentAnswer::default(), close_reason: Some(why) },
                now,
            );
        }
    }

    /// Ends a client's connection; the one place where that is done. What owes an answer is ended by its client alone, or
    /// if that reads none of it: then it stays, and false is told.
    pub(super) fn end_client(&mut self, id: usize, end: CloseCause) -> bool {
        let Some(client) = self.clients.get(&id) else { return false };
        if !client.phase.permits_close(end) {
            self.withhold_end(id, end);
            return false;
        }
        self.check_end_of_client(id, end);
        let Some(client) = self.clients.remove(&id) else { return false };
        self.clients_served -= usize::from(client.served > 0);
        let why = client.phase.close_reason().unwrap_or(end.reason());
        info!(self.log, "client"; "why" => why, "from" => shown(self.net.address(id)), "answers" => client.served,
            "ms" => (self.net.now - self.net.opened_at(id)) / MS);
        self.net.close(id);
        true
    }

    /// A last look before this side ends a connection without an RPC: whether nothing more has come that is still to be
    /// served. What had arrived by now is; what comes later crosses the end, was not read before it and is never sent on.
    pub(super) fn rests(&mut self, id: usize) -> bool {
        let inside = self.clients.get(&id).filter(|client| client.partial);
        let before = inside.map_or(0, |client| client.parsed_bytes);
        self.net.read(id, false);
        let rests = self.net.input(id).len() == before && self.net.connection_end(id).is_none();
        if !rests {
            self.again.push_back(id);
        }
        rests
    }

    /// Ends this side's sending on a resting client; what it still sends is discarded until it closes, too, so that no
    /// unread bytes make a reset of the close.
    pub(super) fn finish_client(&mut self, id: usize, why: &'static str) {
        if !self.rests(id) {
            return;
        }
        let now = self.net.now;
        if let Some(client) = self.clients.get_mut(&id).filter(|client| client.phase.is_reading()) {
            client.set_phase(Phase::HalfClosed { reason: why }, now);
            self.net.shutdown_write(id);
        }
    }

    /// While this program stops: ends this side's sending on resting clients. Those that have not said anything yet and
    /// those inside a message get until the last call, when what is not whole is pushed back: it never reached the module.
    pub(super) fn close_clients(&mut self, last: bool) {
        let open = self.clients.iter().filter(|(_, client)| client.phase.is_reading());
        let ids: Vec<usize> = open.map(|(id, _)| *id).collect();
        for id in ids {
            let (partial, served) = self.clients.get(&id).map_or((false, 0), |one| (one.partial, one.served));
            match () {
                _ if partial && last => self.refuse(id, 503, "stopping"),
                _ if partial || served == 0 && !last => {}
                _ => self.finish_client(id, "stopping"),
            }
        }
    }
}
