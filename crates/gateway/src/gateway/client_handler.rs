//! Handles client connections: passes RPCs to the admission controller and writes the one answer to
//! each.

use super::*;

/// Reason code: the client closed its connection before it had its answer.
pub(super) const LEFT_BEFORE_ANSWER: &str = "left-before-answer";

impl Gateway {
    /// Processes input from a client, or the end of its connection.
    pub(super) fn read_client(&mut self, id: usize) {
        let Some(client) = self.host.clients.get_mut(&id) else { return };
        let length = self.host.net.input(id).len();
        // Accounts for messages that were in the socket buffer for longer than the last turn,
        // because the connection was not accepted yet or the process had no processor time. The
        // cost: one system call per message.
        let is_new_message = client.read_times.is_empty() && length > 0;
        let unread_for = if is_new_message { self.host.net.last_input_age(id).unwrap_or(0) } else { 0 };
        let received_at = self.host.net.now.saturating_sub(self.host.net.input_delay.max(unread_for));
        client.record_read(length, received_at);
        if client.phase.is_closing() {
            let length = self.host.net.input(id).len();
            self.host.net.consume(id, length);
        } else if client.phase.is_reading()
            && !self.host.net.input(id).is_empty()
            && self.host.net.is_flushed(id)
        {
            // The previous answer is fully written, so a client that does not read its answers
            // can't fill the output buffer.
            let parsed = client.parse_message(&self.host.config, received_at, self.host.net.input(id));
            if matches!(parsed, Ok(Parsed::Rpc(_) | Parsed::Ready(_) | Parsed::Healthy(_))) {
                self.host.claim_slot(id);
            }
            match parsed {
                // Limits the memory for many long messages at once; buffers for servers have a
                // separate share. The cost: a long message is rejected that might have been
                // accepted a little later.
                Ok(Parsed::Incomplete) if self.host.net.client_buffer_bytes > self.host.max_client_memory => {
                    self.host.reject_message(id, 503, "no-memory")
                }
                Ok(Parsed::Incomplete | Parsed::Continue) if self.host.is_past_read_period() => {
                    self.host.reject_message(id, 503, "stopping")
                }
                Ok(Parsed::Incomplete) => {}
                Ok(Parsed::Continue) => {
                    if let Some(out) = self.host.net.output(id) {
                        out.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                    }
                }
                Ok(Parsed::Rpc(message)) => self.admit(id, message),
                Ok(Parsed::Ready(length)) => {
                    let ready = self.host.was_ready && !self.host.is_shutting_down();
                    let settings_header = self.settings_header();
                    self.host.answer_directly(id, if ready { 200 } else { 503 }, length, &settings_header);
                }
                Ok(Parsed::Healthy(length)) => {
                    let memory_header = self.memory_header();
                    let headers = self.settings_header() + &self.host.invariants_header() + &memory_header;
                    self.host.answer_directly(id, 200, length, &headers);
                }
                Err(MessageError(status, why)) => self.host.reject_message(id, status, why),
            }
        }
        self.host.drop_excess_input(id);
        if let Some(ending) = self.host.net.connection_end(id) {
            self.client_left(id, ending.reason());
        }
    }

    /// Passes an RPC to the admission controller, unless a limit or the guard rejects it first.
    pub(super) fn admit(&mut self, client: usize, message: clients::RpcRequest) {
        let (now, message_length) = (self.host.net.now, message.body.end);
        let txn: Box<[u8]> = self.host.net.input(client)[message.txn.clone()].into();
        let over_limit = self.host.clients.get(&client).is_some_and(|client| client.over_limit);
        if self.host.unanswered_rpcs >= self.host.max_unanswered_rpcs
            || over_limit
            || self.host.net.client_buffer_bytes > self.host.max_client_memory
        {
            // At the limit: an RPC that is rejected here never reached the admission controller.
            self.host.log_direct_answer(&txn, 503, "no-room");
            self.host.answer_directly(client, 503, message_length, "");
            return;
        }
        let received_at = self.host.clients.get(&client).map_or(now, |client| client.message_received_at);
        let requested_deadline = (received_at + message.remaining_ms * MS).saturating_sub(DEADLINE_MARGIN);
        if !self.host.may_admit(&txn, requested_deadline) {
            return self.host.answer_directly(client, 503, message_length, "");
        }
        if !self.host.transaction_ids.open(&txn, now) {
            // Two RPCs with the same transaction id could get each other's answer, and one whose
            // client left may run a second time. Clients are not affected: they use a new id for
            // each RPC.
            return self.host.reject_message(client, 409, "duplicate-id");
        }
        let (id, method) = (self.host.next_rpc_id(), message.method);
        let Some(state) = self.host.clients.get_mut(&client) else { return };
        state.set_phase(Phase::AwaitingAnswer { rpc: id, message_length }, now);
        let deadline = self.host.cap_deadline(requested_deadline).max(now);
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
            state: RpcState::Pending,
            client,
            message,
            received_at: now,
            deadline,
            attempts: 0,
            attempt_in_flight: false,
            retry_safety: self.host.config.methods[usize::from(method)].effect,
            first_run: None,
            written_to: ServerGroup::default(),
            written: false,
            served: false,
            txn,
        };
        self.host.rpcs.insert(id, rpc);
        self.host.unanswered_rpcs += 1;
        self.host.timers.set(deadline + OVERDUE_GRACE, TimerEvent::RpcOverdue(id));
        let since = Instant::now();
        self.controller.on_arrival(&mut self.host, now, &arrival);
        self.host.turn_log.add(TurnPart::Rpcs, since);
    }

    /// Answers an RPC that neither the admission controller nor a timeout has ended. This is not
    /// expected to happen.
    pub(super) fn answer_overdue(&mut self, id: u32) {
        if self.host.rpcs.get(&id).is_some_and(|rpc| rpc.state != RpcState::Answered) {
            warn!(self.host.log, "overdue"; "rpc" => id);
            let harmless = self.host.rpcs.get(&id).is_some_and(|rpc| !rpc.written);
            self.host.answer(id, if harmless { 503 } else { 504 }, 0, "overdue");
            self.controller.on_client_left(id);
        }
    }

    /// Reads everything that the client of the attempt about to be written on this connection has
    /// sent by now, so that its close is noticed; false if the client keeps sending. A close may
    /// still be unread because it arrived during the turn, after the input of other clients, or
    /// after more data of the same client. Covers busy turns, small CPU shares and floods. The
    /// cost: one read per attempt; the attempt of a client that never stops sending is deferred
    /// until its time is over.
    pub(super) fn drain_client_of(&mut self, connection: usize) -> bool {
        let attempt = self.host.server_connections.get(&connection).and_then(ServerConnection::attempt);
        let Some(rpc) = attempt.and_then(|attempt| self.host.rpcs.get(&attempt.rpc)) else { return true };
        let client = rpc.client;
        for _ in 0..MAX_CLIENT_READS {
            let before = self.host.net.input(client).len();
            self.host.net.read(client, false);
            let net = &self.host.net;
            if net.input(client).len() == before
                && !net.is_input_full(client)
                && net.connection_end(client).is_none()
            {
                return true;
            }
            self.read_client(client);
        }
        false
    }

    pub(super) fn client_left(&mut self, id: usize, why: &'static str) {
        let rpc = self.host.clients.get(&id).and_then(|client| client.phase.pending_rpc()).map(|rpc| rpc.0);
        self.host
            .close_client(id, CloseCause::ClientClosed(if rpc.is_some() { LEFT_BEFORE_ANSWER } else { why }));
        if let Some(rpc) = rpc {
            self.host.log_abandoned(rpc);
            self.host.set_rpc_state(rpc, RpcState::Answered);
            self.controller.on_client_left(rpc);
        }
    }
}

impl AdmissionHost {
    /// Drops what a client sent behind an RPC that has no answer yet, if the buffer is full, so
    /// that the close of a client that floods is noticed behind it; otherwise its RPC would be
    /// processed for nobody. The read that brought the RPC may have filled the buffer as well. The
    /// cost: a client that keeps sending before its answer has to reconnect.
    fn drop_excess_input(&mut self, id: usize) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if let Some((_, length)) = client.phase.pending_rpc().filter(|_| self.net.is_input_full(id)) {
            client.sent_excess = true;
            self.net.truncate_input(id, length);
        }
    }

    /// Gives an RPC its final answer from the gateway itself.
    pub(super) fn answer(&mut self, id: u32, status: u16, retry_after: Nanos, why: &'static str) {
        let Some(rpc) = self.rpcs.get(&id).filter(|rpc| rpc.state != RpcState::Answered) else { return };
        let (client, close) = (rpc.client, self.closes_after(rpc));
        if let Some(out) = self.net.output(client) {
            clients::write_response(out, status, retry_after, close);
        }
        self.log_answer(id, status, why);
        self.answer_queued(id, client, close);
    }

    /// Whether the connection closes after the answer to an RPC.
    pub(super) fn closes_after(&self, rpc: &Rpc) -> bool {
        let sent_excess = self.clients.get(&rpc.client).is_some_and(|client| client.sent_excess);
        rpc.message.close
            || sent_excess
            || self.closes_for_shutdown(rpc.client, rpc.message.body.end)
            || self.yields_slot(rpc.client, rpc.message.body.end)
    }

    /// Called when the answer to an RPC is in the client's output buffer; it is owed until it is
    /// fully written.
    pub(super) fn answer_queued(&mut self, id: u32, client: usize, close: bool) {
        let answer = self.rpcs.get(&id).map(|rpc| UnsentAnswer {
            txn: rpc.txn.clone(),
            deadline: Some(rpc.deadline),
            must_not_rerun: rpc.must_not_rerun() || rpc.served && rpc.retry_safety != RetrySafety::Idempotent,
        });
        self.set_rpc_state(id, RpcState::Answered);
        let (now, shutting_down) = (self.net.now, self.is_shutting_down());
        let Some(state) = self.clients.get_mut(&client) else { return };
        let length = state.phase.pending_rpc().map_or(0, |rpc| rpc.1);
        let close_reason = close.then_some(match state.sent_excess {
            _ if shutting_down => "stopping",
            true => "sends-on-before-its-answer",
            false => "last-answer",
        });
        state.set_phase(Phase::WritingAnswer { answer: answer.unwrap_or_default(), close_reason }, now);
        self.served_clients += usize::from(state.served == 0);
        state.served += 1;
        state.consume(length);
        self.net.consume(client, length);
    }

    /// Called when output for a client was written; once its answer is fully written, it is no
    /// longer owed.
    pub(super) fn after_client_write(&mut self, id: usize) {
        let (now, flushed) = (self.net.now, self.net.is_flushed(id));
        let Some(client) = self.clients.get_mut(&id) else { return };
        match client.phase.after_answer().filter(|_| flushed) {
            None => {
                client.state_since =
                    if client.phase.unsent_answer().is_some() { now } else { client.state_since }
            }
            Some(next) => {
                let answer = client.phase.unsent_answer().cloned().unwrap_or_default();
                let closes = next.is_closing();
                client.set_phase(next, now);
                self.check_answer(&answer);
                if closes {
                    self.net.shutdown_write(id);
                }
            }
        }
        let can_read = self.clients.get(&id).is_some_and(|client| client.phase.pending_rpc().is_none());
        if can_read && !self.net.input(id).is_empty() {
            self.read_further_message(id);
        }
    }

    /// Reads the next message of a buffer in this turn, or in the next one if the connection has had its share.
    fn read_further_message(&mut self, id: usize) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if client.may_read_again(self.turn) {
            return self.clients_to_read.push_back(id);
        }
        if self.clients_of_next_turn.is_empty() {
            self.timers.set(self.net.now + 1, TimerEvent::ReadClients);
        }
        self.clients_of_next_turn.push(id);
    }

    /// Answers a message that did not reach the admission controller; `lines` are additional header
    /// lines.
    pub(super) fn answer_directly(&mut self, client: usize, status: u16, length: usize, lines: &str) {
        let over_limit = self.clients.get(&client).is_some_and(|client| client.over_limit);
        let (now, shutting_down) = (self.net.now, self.is_shutting_down());
        let close = over_limit || self.closes_for_shutdown(client, length);
        if let Some(out) = self.net.output(client) {
            clients::write_response_with_headers(out, status, lines, 0, close);
        }
        self.net.consume(client, length);
        if let Some(state) = self.clients.get_mut(&client) {
            let close_reason = close.then_some(if shutting_down { "stopping" } else { "too-many-clients" });
            state.set_phase(Phase::WritingAnswer { answer: UnsentAnswer::default(), close_reason }, now);
            state.partial = false;
            state.consume(length);
            self.served_clients += usize::from(state.served == 0);
            state.served += 1;
        }
    }

    /// Answers a message that can't be accepted, and closes the connection.
    pub(super) fn reject_message(&mut self, client: usize, status: u16, why: &'static str) {
        if let Some(out) = self.net.output(client) {
            clients::write_response(out, status, 0, true);
        }
        self.net.discard_input(client);
        let now = self.net.now;
        if let Some(state) = self.clients.get_mut(&client) {
            state.set_phase(
                Phase::WritingAnswer { answer: UnsentAnswer::default(), close_reason: Some(why) },
                now,
            );
        }
    }

    /// Closes a client's connection; this is the only place where that is done. While an answer is
    /// owed, only the client's own close or the write timeout ends the connection; otherwise it
    /// stays open and the result is false.
    pub(super) fn close_client(&mut self, id: usize, cause: CloseCause) -> bool {
        let Some(client) = self.clients.get(&id) else { return false };
        if !client.phase.permits_close(cause) {
            self.withhold_close(id, cause);
            return false;
        }
        self.check_client_close(id, cause);
        let Some(client) = self.clients.remove(&id) else { return false };
        self.served_clients -= usize::from(client.served > 0);
        let why = client.phase.close_reason().unwrap_or(cause.reason());
        info!(self.log, "client"; "why" => why, "from" => address_text(self.net.address(id)), "answers" => client.served,
            "ms" => (self.net.now - self.net.opened_at(id)) / MS);
        self.net.close(id);
        true
    }

    /// Reads once more before this side closes a connection without an RPC; true if no new input
    /// arrived. Input received by now is served. Anything later crosses the close; it was not read
    /// and is never forwarded.
    pub(super) fn is_drained(&mut self, id: usize) -> bool {
        let mid_message = self.clients.get(&id).filter(|client| client.partial);
        let before = mid_message.map_or(0, |client| client.parsed_bytes);
        self.net.read(id, false);
        let drained = self.net.input(id).len() == before && self.net.connection_end(id).is_none();
        if !drained {
            self.clients_to_read.push_back(id);
        }
        drained
    }

    /// Shuts down sending to an idle client. Its further input is discarded until it closes as
    /// well, so that unread bytes do not turn the close into a reset.
    pub(super) fn half_close_client(&mut self, id: usize, why: &'static str) {
        if !self.is_drained(id) {
            return;
        }
        let now = self.net.now;
        if let Some(client) = self.clients.get_mut(&id).filter(|client| client.phase.is_reading()) {
            client.set_phase(Phase::HalfClosed { reason: why }, now);
            self.net.shutdown_write(id);
        }
    }

    /// During a shutdown: shuts down sending to idle clients. Connections that have sent nothing,
    /// and those within a message, stay open until reading stops; then an incomplete message is
    /// rejected, as it never reached the admission controller.
    pub(super) fn half_close_clients(&mut self, reading_stops: bool) {
        let open = self.clients.iter().filter(|(_, client)| client.phase.is_reading());
        let ids: Vec<usize> = open.map(|(id, _)| *id).collect();
        for id in ids {
            let (partial, served) =
                self.clients.get(&id).map_or((false, 0), |client| (client.partial, client.served));
            match () {
                _ if partial && reading_stops => self.reject_message(id, 503, "stopping"),
                _ if partial || served == 0 && !reading_stops => {}
                _ => self.half_close_client(id, "stopping"),
            }
        }
    }
}
