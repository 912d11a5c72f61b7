//! Carries out a shutdown: SIGTERM starts the timeline of [`Shutdown`], and every wait is shortened
//! to fit it.

use super::*;

impl Gateway {
    /// SIGTERM: connections are still accepted for a while, every answer closes its connection, and
    /// everything that was read is answered before the process may be killed. A second SIGTERM
    /// changes nothing.
    pub(super) fn begin_shutdown(&mut self) {
        if self.host.shutdown.is_some() {
            return;
        }
        // The signal may have been pending for as long as a message that is read now.
        let signalled_at = self.host.net.now.saturating_sub(self.host.net.input_delay);
        let shutdown = Shutdown::new(signalled_at, self.host.longest_deadline());
        info!(self.host.log, "stopping"; "held" => self.host.unanswered_rpcs, "clients" => self.host.clients.len(),
            "answer_within_ms" => shutdown.answer_by.saturating_sub(self.host.net.now) / MS);
        self.apply_shutdown(shutdown);
    }

    /// A configuration that is reloaded during a shutdown may have shorter deadlines, and so an
    /// earlier end.
    pub(super) fn shorten_shutdown(&mut self) {
        let Some(shutdown) = self.host.shutdown else { return };
        let shorter = shutdown.earlier(Shutdown::new(shutdown.signalled_at, self.host.longest_deadline()));
        if shorter != shutdown {
            self.apply_shutdown(shorter);
        }
    }

    /// Shortens every wait to fit a timeline, and sets its timers.
    fn apply_shutdown(&mut self, shutdown: Shutdown) {
        let host = &mut self.host;
        host.shutdown = Some(shutdown);
        host.timers.set(shutdown.listen_until, TimerEvent::StopListening);
        host.timers.set(shutdown.read_until, TimerEvent::StopReading);
        host.timers.set(shutdown.exit_at, TimerEvent::Exit);
        let answer_by = shutdown.answer_by;
        for (id, rpc) in &mut host.rpcs {
            rpc.deadline = rpc.deadline.min(answer_by);
            host.timers.set(rpc.deadline + OVERDUE_GRACE, TimerEvent::RpcOverdue(*id));
        }
        for (id, connection) in &mut host.server_connections {
            if let Some(attempt) = connection.attempt_mut() {
                attempt.deadline = attempt.deadline.min(answer_by);
                host.timers
                    .set(attempt.deadline, TimerEvent::AttemptTimeout(*id, attempt.rpc, attempt.number));
            }
        }
        let now = host.net.now;
        self.controller.shut_down_by(&mut self.host, now, answer_by);
    }

    /// Exits the process. RPCs that should have been answered earlier are answered, and pending
    /// input of clients is read, so that unread bytes do not turn the close into a reset.
    pub(super) fn exit(&mut self) {
        let unanswered: Vec<u32> =
            self.host.clients.values().filter_map(|client| Some(client.phase.pending_rpc()?.0)).collect();
        unanswered.into_iter().for_each(|id| self.answer_overdue(id));
        let clients: Vec<usize> = self.host.clients.keys().copied().collect();
        clients.into_iter().for_each(|id| self.host.net.read(id, false));
        self.host.exit_requested = true;
    }

    /// Writes the last line of the log.
    pub fn log_end(&mut self) {
        self.host.check_process_end();
        self.count_memory();
        let host = &self.host;
        let (long_turns, longest_turn) = host.turn_log.long_turns();
        info!(host.log, "ended"; "long_turns" => long_turns, "longest_turn_ms" => longest_turn / MS,
            "held" => %host.memory_account, "unanswered" => host.unanswered_rpcs, "clients" => host.clients.len(),
            "invariants" => host.invariant_counts.summary(), "violations" => host.invariant_counts.violations());
    }
}

impl AdmissionHost {
    /// The longest deadline in the settings in use or in the last reloaded file, whichever is
    /// shorter: the platform may go by either.
    fn longest_deadline(&self) -> Nanos {
        let in_use = self.config.longest_deadline();
        self.file_deadline.map_or(in_use, |in_file| in_use.min(in_file))
    }

    pub(super) fn is_shutting_down(&self) -> bool {
        self.shutdown.is_some()
    }

    /// Whether incomplete messages are no longer waited for.
    pub(super) fn is_past_read_period(&self) -> bool {
        self.shutdown.is_some_and(|shutdown| self.net.now >= shutdown.read_until)
    }

    /// Limits a deadline to the time by which every RPC is answered during a shutdown.
    pub(super) fn cap_deadline(&self, deadline: Nanos) -> Nanos {
        self.shutdown.map_or(deadline, |shutdown| deadline.min(shutdown.answer_by))
    }

    /// Whether a connection whose buffer holds a message of this length closes after its answer:
    /// during a shutdown, unless more input was read, which is answered too.
    pub(super) fn closes_for_shutdown(&self, client: usize, length: usize) -> bool {
        self.is_shutting_down() && self.net.input(client).len() <= length
    }
}
