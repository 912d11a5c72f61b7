//! Checks the invariants at run time. Each violation is counted and logged with the transaction id
//! of the RPC.

use super::*;
use crate::guard::Denial;

/// An answer that is later than the client's deadline by at most this earns nothing but is allowed;
/// a later one counts as a lost RPC (the operators' standing test).
const ANSWER_SLACK: Nanos = 500 * MS;

impl AdmissionHost {
    /// Counts the result of a check and logs a violation.
    fn check(&mut self, invariant: Invariant, holds: bool, txn: &[u8]) {
        if holds {
            return self.invariant_counts.record_held(invariant);
        }
        self.invariant_counts.record_violated(invariant);
        warn!(self.log, "invariant broken"; "invariant" => invariant.name(),
            "txn" => %String::from_utf8_lossy(txn));
    }

    /// Counts the verdict of the guard on an attempt that is about to be written.
    pub(super) fn count_send_check(&mut self, verdict: Result<(), Denial>) {
        match verdict {
            Err(denial) => self.invariant_counts.record_withheld(denial.invariant()),
            Ok(()) => {
                let checked = [
                    Invariant::ClientPresent,
                    Invariant::TimeLeft,
                    Invariant::RepeatAllowed,
                    Invariant::ServerListed,
                ];
                checked.into_iter().for_each(|invariant| self.invariant_counts.record_held(invariant));
            }
        }
    }

    /// Asks the guard whether an RPC that was just read may be admitted.
    pub(super) fn may_admit(&mut self, txn: &[u8], deadline: Nanos) -> bool {
        let elapsed = self.elapsed_in_turn();
        let check = guard::AdmissionCheck {
            now: self.net.now + elapsed,
            deadline,
            last_turn: self.last_turn,
            this_turn: elapsed + self.time_advanced,
            max_turn: self.max_turn,
            shutdown: self.shutdown,
        };
        match guard::may_admit(&check) {
            Ok(()) => {
                self.invariant_counts.record_held(Invariant::AdmittedInTime);
                true
            }
            Err(denial) => {
                self.invariant_counts.record_withheld(denial.invariant());
                self.log_direct_answer(txn, 503, denial.reason());
                false
            }
        }
    }

    /// Asks the guard whether the admission controller may reject an RPC, which tells the client
    /// that retrying is harmless. If the guard withholds the rejection, the RPC is answered as
    /// failed.
    pub(super) fn rejection_is_harmless(&mut self, id: u32) -> bool {
        let Some(rpc) = self.rpcs.get(&id) else { return true };
        let harmless = guard::may_reject(self.net.now, rpc.retry_safety, rpc.first_run);
        if harmless {
            self.invariant_counts.record_held(Invariant::RefusalHarmless);
        } else {
            self.invariant_counts.record_withheld(Invariant::RefusalHarmless);
            warn!(self.log, "refusal withheld"; "txn" => %String::from_utf8_lossy(&rpc.txn));
        }
        harmless
    }

    /// Checks an answer once it is fully written.
    pub(super) fn check_answer(&mut self, answer: &UnsentAnswer) {
        let Some(deadline) = answer.deadline else { return };
        let now = self.net.now + self.elapsed_in_turn();
        let in_time = now <= deadline + ANSWER_SLACK;
        let before_exit = self.shutdown.is_none_or(|shutdown| now <= shutdown.exit_at);
        self.check(Invariant::AnswerInTime, in_time && before_exit, &answer.txn);
        self.check(Invariant::OneAnswer, true, &answer.txn);
    }

    /// Checks a client's connection when it is closed. A connection that the client closed, or that
    /// it does not read from, owes no answer.
    pub(super) fn check_client_close(&mut self, id: usize, cause: CloseCause) {
        let Some(client) = self.clients.get(&id) else { return };
        if let Some(answer) = client.phase.unsent_answer() {
            self.log_unwritten(&answer.txn, cause.reason(), self.net.unsent_bytes(id));
            if answer.must_not_rerun {
                self.transaction_ids.remember(&answer.txn, self.net.now);
            }
        }
        let Some(client) = self.clients.get(&id) else { return };
        let owes_answer = client.phase.pending_rpc().is_some() || client.phase.unsent_answer().is_some();
        let excused = matches!(cause, CloseCause::ClientClosed(_) | CloseCause::WriteTimeout);
        let txn = self.txn_on(client);
        self.check(Invariant::OneAnswer, excused || !owes_answer, &txn);
    }

    /// Records that a close was withheld because it would have lost an answer.
    pub(super) fn withhold_close(&mut self, id: usize, cause: CloseCause) {
        let Some(client) = self.clients.get(&id) else { return };
        let txn = self.txn_on(client);
        self.invariant_counts.record_withheld(Invariant::OneAnswer);
        warn!(self.log, "end withheld"; "why" => cause.reason(), "txn" => %String::from_utf8_lossy(&txn));
    }

    /// Checks what is left when the process exits: RPCs without an answer, and answers that were
    /// not fully written.
    pub(super) fn check_process_end(&mut self) {
        let clients: Vec<usize> = self.clients.keys().copied().collect();
        for id in clients {
            let Some(client) = self.clients.get(&id) else { continue };
            if let Some(answer) = client.phase.unsent_answer() {
                self.log_unwritten(&answer.txn, "process-ends", self.net.unsent_bytes(id));
            }
            let answered = client.phase.pending_rpc().is_none();
            let txn = self.txn_on(client);
            self.check(Invariant::OneAnswer, answered, &txn);
        }
    }

    /// The transaction id of the RPC that is pending or being answered on a connection; empty if
    /// there is none.
    fn txn_on(&self, client: &Client) -> Box<[u8]> {
        let waiting =
            client.phase.pending_rpc().and_then(|(rpc, _)| self.rpcs.get(&rpc)).map(|rpc| rpc.txn.clone());
        let answering = || client.phase.unsent_answer().map(|answer| answer.txn.clone());
        waiting.or_else(answering).unwrap_or_default()
    }

    /// The header line that shows the counts to operators.
    pub(super) fn invariants_header(&self) -> String {
        let (long_turns, longest) = self.turn_log.long_turns();
        let summary = self.invariant_counts.summary();
        format!("X-Invariants: {summary}\nX-Long-Turns: count={long_turns}, longest_ms={}\n", longest / MS)
    }
}
