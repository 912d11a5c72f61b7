//! Log lines that name an RPC by its client's id: retries, attempts that did not end well, answers of the gateway's own,
//! clients that left; and while the process stops, every attempt and every answer.

use super::*;

/// The reason code of how an attempt ended.
fn end_code(how: CallOutcome) -> &'static str {
    match how {
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

fn text(id: &[u8]) -> std::borrow::Cow<'_, str> {
    String::from_utf8_lossy(id)
}

impl PolicyHost {
    /// An attempt was asked for; logged for retries, and while the process stops.
    pub(super) fn log_attempt(&self, attempt: &Attempt, server: u32) {
        let Some(rpc) = self.rpcs.get(&attempt.rpc) else { return };
        if attempt.number == 0 && !self.is_stopping() {
            return;
        }
        let address = self.servers.by_number.get(&server).map(|server| server.address);
        info!(self.log, "attempt"; "txn" => %text(&rpc.id), "number" => attempt.number, "to" => shown(address),
            "limit_ms" => attempt.deadline.saturating_sub(attempt.requested_at) / MS, "repeat" => attempt.number > 0);
    }

    /// An attempt ended; logged unless it went well, and always while the process stops.
    pub(super) fn log_attempt_end(&self, attempt: &Attempt, server: u32, how: CallOutcome) {
        let Some(rpc) = self.rpcs.get(&attempt.rpc) else { return };
        if how == CallOutcome::Ok && !self.is_stopping() {
            return;
        }
        let address = self.servers.by_number.get(&server).map(|server| server.address);
        info!(self.log, "attempt ended"; "txn" => %text(&rpc.id), "number" => attempt.number, "to" => shown(address),
            "how" => end_code(how), "ms" => (self.net.now - attempt.requested_at) / MS);
    }

    /// An RPC got its final answer; `why` tells an answer of the gateway's own from a server's.
    pub(super) fn log_answer(&self, id: u32, status: u16, why: &'static str) {
        let Some(rpc) = self.rpcs.get(&id) else { return };
        if status == 200 && !self.is_stopping() {
            return;
        }
        info!(self.log, "answer"; "txn" => %text(&rpc.id), "status" => status, "why" => why,
            "attempts" => rpc.call_outs, "ms" => self.net.now.saturating_sub(rpc.since) / MS);
    }

    /// A message was answered without the module.
    pub(super) fn log_turned_away(&self, id: &[u8], status: u16, why: &'static str) {
        info!(self.log, "answer"; "txn" => %text(id), "status" => status, "why" => why, "attempts" => 0);
    }

    /// An RPC ended without an answer, since its client had gone.
    pub(super) fn log_abandoned(&self, id: u32) {
        let Some(rpc) = self.rpcs.get(&id) else { return };
        info!(self.log, "abandoned"; "txn" => %text(&rpc.id), "attempts" => rpc.call_outs,
            "ms" => self.net.now.saturating_sub(rpc.since) / MS);
    }

    /// A client's connection ends with so many bytes of an answer not handed to the system.
    pub(super) fn log_unwritten(&self, txn: &[u8], why: &'static str, bytes: usize) {
        warn!(self.log, "answer not written"; "txn" => %text(txn), "why" => why, "bytes" => bytes);
    }
}
