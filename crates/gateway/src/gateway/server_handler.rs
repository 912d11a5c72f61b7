//! Handles connections to servers: opens or reuses one for each attempt, writes the attempt, and
//! reads its answer.

use super::*;
use crate::late_data::MIN_REST;

/// Reason code of a connection on which a server sent more than the responses to its requests.
const UNSOLICITED_DATA: &str = "answer-without-call-out";
/// An attempt waits for a resting connection for at most this fraction of the time it has.
const MAX_WAIT_DIVISOR: Nanos = 10;
/// If attempts would have to wait for connections to a server more often than this, new connections
/// are opened.
const MIN_WAIT_INTERVAL: Nanos = 100 * MS;

impl AdmissionHost {
    /// Takes an idle connection to a server for an attempt with this deadline, or opens a new one.
    pub(super) fn connection_to(&mut self, server: u32, deadline: Nanos) -> Option<usize> {
        let now = self.net.now;
        self.servers.by_number.get(&server)?;
        while let Some((id, since)) =
            self.take_rested_connection(server).or_else(|| self.take_resting_connection(server, deadline))
        {
            let idle_for = now - since;
            if idle_for >= self.idle_timeout || !self.servers.reuse_history.allows(now, idle_for) {
                self.close_server_connection(id, "idle");
                continue;
            }
            // Either may have arrived since the last poll. The cost: one read per attempt.
            self.net.read(id, false);
            match self.unusable_because(id) {
                Some(why) => self.close_server_connection(id, why),
                None => {
                    self.server_connections
                        .entry(id)
                        .and_modify(|connection| connection.idle_for = Some(idle_for));
                    return Some(id);
                }
            }
        }
        if self.server_connections.len() >= self.max_server_connections && !self.evict_server_connection() {
            return None;
        }
        let Server { address, started_at, .. } = *self.servers.by_number.get(&server)?;
        let id = self.connect(address, Peer::Server, MAX_MESSAGE_LEN);
        let id = id.map_err(|e| warn!(self.log, "can't connect"; "to" => %address, "error" => %e)).ok()?;
        self.server_connections.insert(id, ServerConnection::new(server, started_at));
        if let Some(entry) = self.servers.by_number.get_mut(&server) {
            entry.open_connections += 1;
        }
        self.timers.set(now + self.connect_timeout, TimerEvent::ConnectTimeout(id));
        Some(id)
    }

    /// Takes the most recently used idle connection to a server whose last response is so old that
    /// late data behind it would have come. Returns its id and since when it is idle.
    fn take_rested_connection(&mut self, server: u32) -> Option<(usize, Nanos)> {
        let now = self.net.now;
        let rest = self.servers.late_data.rest(now);
        let idle_connections = &mut self.servers.by_number.get_mut(&server)?.idle_connections;
        let has_rested = |idle: &(usize, Nanos)| {
            self.server_connections.get(&idle.0).is_none_or(|connection| now >= connection.rested_at(rest))
        };
        let position = idle_connections.iter().rposition(has_rested)?;
        Some(idle_connections.remove(position))
    }

    /// Takes the connection to a server whose rest ends first, if an attempt with this deadline may
    /// wait for that. Opening another connection costs the server more than a short wait costs the
    /// RPC; but if such waits come in quick succession, the server is used so often that it needs
    /// more connections.
    fn take_resting_connection(&mut self, server: u32, deadline: Nanos) -> Option<(usize, Nanos)> {
        let now = self.net.now;
        let rest = self.servers.late_data.rest(now);
        let max_wait = (deadline.saturating_sub(now) / MAX_WAIT_DIVISOR).min(MIN_REST);
        let entry = self.servers.by_number.get_mut(&server)?;
        let rested_at = |idle: &(usize, Nanos)| {
            self.server_connections.get(&idle.0).map_or(now, |connection| connection.rested_at(rest))
        };
        let ends = entry.idle_connections.iter().map(rested_at);
        let (position, end) = ends.enumerate().min_by_key(|(_, end)| *end)?;
        if end > now + max_wait || now < entry.no_wait_until {
            return None;
        }
        entry.no_wait_until = now + MIN_WAIT_INTERVAL;
        Some(entry.idle_connections.remove(position))
    }

    /// Why a connection on which no attempt was written can't be used any more: unsolicited data,
    /// which would be taken for the next answer, or its end.
    fn unusable_because(&mut self, id: usize) -> Option<&'static str> {
        if self.net.input(id).is_empty() {
            return self.net.connection_end(id).map(ConnectionEnd::reason);
        }
        let answered_at = self.server_connections.get(&id).and_then(|connection| connection.answered_at);
        if let Some(answered_at) = answered_at {
            let now = self.current_time();
            self.servers.late_data.record(now, now.saturating_sub(answered_at));
        }
        Some(UNSOLICITED_DATA)
    }

    /// Writes the attempt assigned to a connection, if the conditions that held when it was
    /// requested still do. An attempt of which no byte was written has provably not run and may go
    /// to another server; the connection is kept.
    pub(super) fn write_attempt(&mut self, id: usize) {
        let Some(ServerConnection { stage: Stage::Requested(attempt), server, .. }) =
            self.server_connections.get(&id)
        else {
            return;
        };
        let (attempt, server) = (*attempt, *server);
        if let Some(rested_at) = self.still_resting_until(id) {
            return self.timers.set(rested_at, TimerEvent::WriteAttempt(id));
        }
        // Either may have arrived since the connection was chosen. The cost: one read per attempt.
        self.net.read(id, false);
        if let Some(why) = self.unusable_because(id) {
            return self.abandon_connection(id, self.unwritten_end(id), why);
        }
        let Some(send) = self.send_check(id, &attempt) else {
            return self.abandon_connection(id, CallOutcome::NotSent, "server-moved");
        };
        let verdict = guard::may_send(&send);
        self.count_send_check(verdict);
        if let Err(denial) = verdict {
            info!(self.log, "not written"; "why" => denial.reason(), "rpc" => attempt.rpc, "attempt" => attempt.number,
                "ms" => (self.net.now - attempt.requested_at) / MS);
            self.end_attempt(server, attempt, CallOutcome::NotSent, 0.0, Vec::new());
            return self.return_to_pool(id);
        }
        let group = self.listed_group(server);
        let AdmissionHost { net, server_connections, rpcs, .. } = self;
        let (Some(rpc), Some(connection)) = (rpcs.get_mut(&attempt.rpc), server_connections.get_mut(&id))
        else {
            return;
        };
        (rpc.written, rpc.written_to) = (true, group);
        let wait = attempt.deadline.min(rpc.deadline).saturating_sub(net.now);
        if let Some((message, out)) = net.input_and_output(rpc.client, id) {
            connection.write_attempt(out, attempt, &rpc.message, message, wait);
        }
        self.limit_writing(id, &attempt, guard::write_until(&send));
    }

    /// Writes no byte of an attempt from this time on, and ends it then if it is not whole.
    fn limit_writing(&mut self, id: usize, attempt: &Attempt, until: Nanos) {
        self.net.set_write_until(id, until);
        if until < Nanos::MAX {
            self.timers.set(until, TimerEvent::EndWriting(id, attempt.rpc, attempt.number));
        }
    }

    /// The time to write an attempt is over. If bytes of it wait here, the server can't get it whole
    /// any more: it has not run. If the system has taken all of it and still has some, the reset
    /// drops those; whether the last one has arrived and only its acknowledgement is missing can't
    /// be known, so it may have run.
    pub(super) fn end_writing(&mut self, id: usize, rpc: u32, number: u16) {
        let is_in_flight = self.server_connections.get(&id).is_some_and(|connection| {
            matches!(connection.stage, Stage::InFlight(_)) && connection.carries(rpc, number)
        });
        if !is_in_flight || !self.net.has_output_on_the_way(id) {
            return;
        }
        let outcome = if self.may_have_run(id) { CallOutcome::Reset } else { CallOutcome::NoConnection };
        self.invariant_counts.record_withheld(Invariant::RepeatAllowed);
        self.abandon_connection(id, outcome, "repeat-window-over");
    }

    /// Until when a connection rests before an attempt may be written on it, if it still does.
    fn still_resting_until(&self, id: usize) -> Option<Nanos> {
        let rest = self.servers.late_data.rest(self.net.now);
        let rested_at = self.server_connections.get(&id)?.rested_at(rest);
        (self.net.now < rested_at).then_some(rested_at)
    }

    /// How an attempt ended of which nothing was written. If an idle connection was closed, that
    /// says nothing about the server.
    fn unwritten_end(&self, id: usize) -> CallOutcome {
        let was_reused =
            self.server_connections.get(&id).is_some_and(|connection| connection.idle_for.is_some());
        if was_reused { CallOutcome::NotSent } else { CallOutcome::NoConnection }
    }

    /// What the guard has to know of an attempt that is about to be written on this connection.
    fn send_check(&self, id: usize, attempt: &Attempt) -> Option<guard::SendCheck> {
        let connection = self.server_connections.get(&id)?;
        let is_active =
            |rpc: &&Rpc| rpc.state != RpcState::Answered && self.clients.contains_key(&rpc.client);
        let rpc = self.rpcs.get(&attempt.rpc).filter(is_active);
        Some(guard::SendCheck {
            now: self.net.now,
            client_present: rpc.is_some(),
            answer_by: attempt.deadline,
            write_by: attempt.write_by,
            retry_safety: rpc.map_or(RetrySafety::AtMostOnce, |rpc| rpc.retry_safety),
            first_run: rpc.and_then(|rpc| rpc.first_run),
            server: self.server_status(id, connection),
            server_group: self.listed_group(connection.server),
        })
    }

    /// Where a server is listed at this moment.
    fn listed_group(&self, server: u32) -> ServerGroup {
        let server = self.servers.by_number.get(&server);
        server.map_or_else(ServerGroup::default, |server| ServerGroup::of(&server.last_listed))
    }

    /// The current listed state of the server that a connection leads to.
    fn server_status(&self, id: usize, connection: &ServerConnection) -> ServerStatus {
        let listed =
            self.servers.by_number.get(&connection.server).filter(|server| server.is_listed && server.ready);
        match listed {
            None => ServerStatus::Unavailable,
            Some(server) if self.leads_to_current(id, connection, server) => ServerStatus::Ready,
            Some(_) => ServerStatus::Moved,
        }
    }

    /// Whether the connection leads to the current address and incarnation of the server.
    fn leads_to_current(&self, id: usize, connection: &ServerConnection, server: &Server) -> bool {
        self.net.address(id) == Some(server.address) && connection.server_started_at == server.started_at
    }

    /// Processes input from a server, or the end of its connection.
    pub(super) fn read_server(&mut self, id: usize) {
        let AdmissionHost { net, server_connections, .. } = self;
        let Some(connection) = server_connections.get_mut(&id) else { return };
        let ended = net.connection_end(id);
        let Stage::InFlight(attempt) = connection.stage else {
            if let Some(why) = self.unusable_because(id) {
                self.abandon_connection(id, self.unwritten_end(id), why);
            }
            return;
        };
        match connection.parse_response(net.input(id), ended) {
            Ok(Some(answer)) => {
                let server = connection.server;
                if let Some(idle_for) = connection.idle_for {
                    self.servers.reuse_history.record(net.now, idle_for, false);
                }
                let load = answer.load_report.clone().map_or(&[][..], |load| &net.input(id)[load]);
                let load = if load.is_empty() {
                    Vec::new()
                } else {
                    servers::parse_load_report(load, &self.load_columns)
                };
                self.record_response(id);
                if answer.outcome == CallOutcome::Ok {
                    self.forward_answer(id, attempt.rpc, &answer);
                }
                let unsolicited = self.net.input(id).len() > answer.message_length;
                self.net.consume(id, answer.message_length);
                self.end_attempt(server, attempt, answer.outcome, answer.settled, load);
                if answer.reusable && !unsolicited && self.net.is_flushed(id) {
                    self.return_to_pool(id);
                } else {
                    self.close_server_connection(
                        id,
                        if unsolicited { UNSOLICITED_DATA } else { "server-closes" },
                    );
                }
            }
            Ok(None) => drop(ended.map(|ending| self.connection_failed(id, ending.reason()))),
            Err(why) => self.connection_failed(id, why),
        }
    }

    /// Records when a response was read. The turn's time won't do, since it may lie before the
    /// response was sent.
    fn record_response(&mut self, id: usize) {
        let now = self.current_time();
        if let Some(connection) = self.server_connections.get_mut(&id) {
            connection.answered_at = Some(now);
        }
    }

    /// Forwards a server's 200 answer to the client, with its body unchanged.
    pub(super) fn forward_answer(&mut self, connection: usize, id: u32, answer: &Response) {
        let Some(rpc) = self.rpcs.get(&id).filter(|rpc| rpc.state != RpcState::Answered) else { return };
        let (client, close) = (rpc.client, self.closes_after(rpc));
        if let Some((input, out)) = self.net.input_and_output(connection, client) {
            let body = match &answer.body {
                Body::Buffered(range) => &input[range.clone()],
                Body::Decoded(bytes) => bytes,
            };
            clients::write_response_head(out, 200, body.len(), &input[answer.header_lines.clone()], 0, close);
            out.extend_from_slice(body);
        }
        if let Some(rpc) = self.rpcs.get_mut(&id) {
            rpc.served = true;
        }
        self.log_answer(id, 200, "served");
        self.answer_queued(id, client, close);
    }

    /// Keeps a connection for reuse, or closes it if its server was delisted, moved or restarted.
    pub(super) fn return_to_pool(&mut self, id: usize) {
        let Some(connection) = self.server_connections.get_mut(&id) else { return };
        connection.stage = Stage::Idle;
        let (number, now) = (connection.server, self.net.now);
        let (connection, server) = (&self.server_connections[&id], self.servers.by_number.get(&number));
        let reusable =
            server.is_some_and(|server| server.is_listed && self.leads_to_current(id, connection, server));
        match self.servers.by_number.get_mut(&number).filter(|_| reusable) {
            Some(server) => server.idle_connections.push((id, now)),
            None => self.close_server_connection(id, "server-gone"),
        }
    }

    /// Whether the attempt on this connection may have run: its last byte was written.
    fn may_have_run(&self, id: usize) -> bool {
        let is_written = self
            .server_connections
            .get(&id)
            .is_some_and(|connection| matches!(connection.stage, Stage::InFlight(_)));
        is_written && self.net.is_flushed(id)
    }

    /// Handles a failed connection. How its attempt ended depends on whether the last byte had been
    /// written.
    pub(super) fn connection_failed(&mut self, id: usize, why: &'static str) {
        let outcome = if self.may_have_run(id) { CallOutcome::Reset } else { CallOutcome::NoConnection };
        if let Some(idle_for) = self
            .server_connections
            .get(&id)
            .and_then(|connection| connection.idle_for)
            .filter(|_| why == "reset")
        {
            self.servers.reuse_history.record(self.net.now, idle_for, true);
        }
        self.abandon_connection(id, outcome, why);
    }

    /// Ends the attempt on a connection with this outcome, and closes the connection. If bytes of the
    /// attempt are on the way, they are dropped: otherwise the system would go on delivering them,
    /// and the server could have the attempt whole long after another one has run.
    pub(super) fn abandon_connection(&mut self, id: usize, outcome: CallOutcome, why: &'static str) {
        let Some(connection) = self.server_connections.get(&id) else { return };
        if matches!(connection.stage, Stage::InFlight(_)) && self.net.has_output_on_the_way(id) {
            self.net.reset_on_close(id);
        }
        if let Some(attempt) = connection.attempt() {
            self.end_attempt(connection.server, attempt, outcome, 0.0, Vec::new());
        }
        self.close_server_connection(id, why);
    }

    /// Ends an attempt whose time limit is over.
    pub(super) fn attempt_timed_out(&mut self, id: usize, rpc: u32, attempt: u16) {
        if self.server_connections.get(&id).is_some_and(|connection| connection.carries(rpc, attempt)) {
            let outcome =
                if self.may_have_run(id) { CallOutcome::TimedOut } else { CallOutcome::NoConnection };
            self.abandon_connection(id, outcome, "call-out-timed-out");
        }
    }

    pub(super) fn connect_timed_out(&mut self, id: usize) {
        if self.server_connections.get(&id).is_some_and(|connection| !connection.is_connected) {
            self.abandon_connection(id, CallOutcome::NoConnection, "never-came-up");
        }
    }

    /// Records the end of an attempt and queues it for the admission controller.
    pub(super) fn end_attempt(
        &mut self,
        server: u32,
        attempt: Attempt,
        outcome: CallOutcome,
        settled: f64,
        load: Vec<f64>,
    ) {
        self.log_attempt_end(&attempt, server, outcome);
        let Some(rpc) = self.rpcs.get_mut(&attempt.rpc) else { return };
        rpc.attempt_in_flight = false;
        if !matches!(outcome, CallOutcome::NoConnection | CallOutcome::NotSent | CallOutcome::Full) {
            let run = FirstRun { began_at: attempt.requested_at, group: rpc.written_to };
            rpc.first_run.get_or_insert(run);
        }
        let closed = rpc.state == RpcState::Answered;
        if closed {
            self.remove_rpc(attempt.rpc);
        } else {
            self.set_rpc_state(attempt.rpc, RpcState::Pending);
        }
        let duration = self.net.now - attempt.requested_at;
        let (rpc, number) = (attempt.rpc, attempt.number);
        self.ended_attempts.push_back(AttemptResult {
            rpc,
            server,
            attempt: number,
            outcome,
            duration,
            rpc_answered: closed,
            settled_units: settled,
            load_report: load,
        });
    }

    pub(super) fn close_server_connection(&mut self, id: usize, why: &'static str) {
        let Some(connection) = self.server_connections.remove(&id) else { return };
        if let Some(server) = self.servers.by_number.get_mut(&connection.server) {
            server.idle_connections.retain(|idle| idle.0 != id);
            server.open_connections -= 1;
        }
        info!(self.log, "server"; "why" => why, "to" => address_text(self.net.address(id)), "call_outs" => connection.attempts,
            "ms" => (self.net.now - self.net.opened_at(id)) / MS);
        self.net.close(id);
    }

    /// Closes the connection to a server that has been idle for longest; false if none is idle.
    pub(super) fn evict_server_connection(&mut self) -> bool {
        let oldest = self.connected_servers().filter_map(|server| server.idle_connections.first());
        let Some(id) = oldest.min_by_key(|idle| idle.1).map(|idle| idle.0) else { return false };
        self.close_server_connection(id, "made-room");
        true
    }
}
