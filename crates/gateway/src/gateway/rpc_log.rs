//! Log lines that identify an RPC by its transaction id: retries, attempts that did not succeed,
//! answers of the gateway itself, clients that left; during a shutdown, every attempt and every
//! answer.

use super::*;

/// The reason code for the end of an attempt.
fn outcome_code(outcome: CallOutcome) -> &'static str {
    match outcome {
        CallOutcome::Ok => "ok",
        CallOutcome::Error => "error",
        CallOutcome::Full => "turned-away",
        CallOutcome::TimedOut => "timed-out",
        CallOutcome::NoConnection => "no-connection",
        CallOutcome::Reset => "connection-reset",
        CallOutcome::Withdrawn => "withdrawn",
        CallOutcome::NotSent => "not-sent",
    }
}

fn lossy_text(txn: &[u8]) -> std::borrow::Cow<'_, str> {
    String::from_utf8_lossy(txn)
}

impl AdmissionHost {
    /// Logs what the previous turn spent its time on, if it took longer than it may while the process keeps up.
    pub(super) fn log_long_turn(&mut self) {
        let (now, took) = (self.net.now, self.last_turn);
        if let Some(parts) = self.turn_log.end_turn(now, took, self.max_turn) {
            let (count, _) = self.turn_log.long_turns();
            info!(self.log, "long turn"; "ms" => took / MS, "parts" => parts, "so_far" => count);
        }
    }

    /// Logs the start of an attempt if it is a retry, and every one during a shutdown.
    pub(super) fn log_attempt(&self, attempt: &Attempt, server: u32) {
        let Some(rpc) = self.rpcs.get(&attempt.rpc) else { return };
        if attempt.number == 0 && !self.is_shutting_down() {
            return;
        }
        let address = self.servers.by_number.get(&server).map(|server| server.address);
        info!(self.log, "attempt"; "txn" => %lossy_text(&rpc.txn), "number" => attempt.number, "to" => address_text(address),
            "limit_ms" => attempt.deadline.saturating_sub(attempt.requested_at) / MS, "repeat" => attempt.number > 0);
    }

    /// Logs the end of an attempt unless it succeeded, and every one during a shutdown.
    pub(super) fn log_attempt_end(&self, attempt: &Attempt, server: u32, outcome: CallOutcome) {
        let Some(rpc) = self.rpcs.get(&attempt.rpc) else { return };
        if outcome == CallOutcome::Ok && !self.is_shutting_down() {
            return;
        }
        let address = self.servers.by_number.get(&server).map(|server| server.address);
        info!(self.log, "attempt ended"; "txn" => %lossy_text(&rpc.txn), "number" => attempt.number, "to" => address_text(address),
            "how" => outcome_code(outcome), "ms" => (self.net.now - attempt.requested_at) / MS);
    }

    /// Logs the final answer to an RPC; `why` distinguishes answers of the gateway itself from
    /// those of a server.
    pub(super) fn log_answer(&self, id: u32, status: u16, why: &'static str) {
        let Some(rpc) = self.rpcs.get(&id) else { return };
        if status == 200 && !self.is_shutting_down() {
            return;
        }
        info!(self.log, "answer"; "txn" => %lossy_text(&rpc.txn), "status" => status, "why" => why,
            "attempts" => rpc.attempts, "ms" => self.net.now.saturating_sub(rpc.received_at) / MS);
    }

    /// Logs a message that was answered without the admission controller.
    pub(super) fn log_direct_answer(&self, txn: &[u8], status: u16, why: &'static str) {
        info!(self.log, "answer"; "txn" => %lossy_text(txn), "status" => status, "why" => why, "attempts" => 0);
    }

    /// Logs an RPC that ended without an answer because its client left.
    pub(super) fn log_abandoned(&self, id: u32) {
        let Some(rpc) = self.rpcs.get(&id) else { return };
        info!(self.log, "abandoned"; "txn" => %lossy_text(&rpc.txn), "attempts" => rpc.attempts,
            "ms" => self.net.now.saturating_sub(rpc.received_at) / MS);
    }

    /// Logs a client's connection that is closed with this many bytes of an answer not yet handed
    /// to the operating system.
    pub(super) fn log_unwritten(&self, txn: &[u8], why: &'static str, bytes: usize) {
        warn!(self.log, "answer not written"; "txn" => %lossy_text(txn), "why" => why, "bytes" => bytes);
    }
}
