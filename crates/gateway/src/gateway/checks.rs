//! Where the invariants are looked at while the process runs: each break is counted and logged with the RPC's id.

use super::to_clients::LEFT;
use super::*;
use crate::guard::Obstacle;

/// An answer so long after the client's time only earns nothing; a later one is a lost RPC (the operators' standing test).
const ANSWER_SLACK: Nanos = 500 * MS;

impl Desk {
    /// Counts what an invariant was found to be; a break is logged.
    fn check(&mut self, invariant: Invariant, holds: bool, txn: &[u8]) {
        if holds {
            return self.counts.held(invariant);
        }
        self.counts.violated(invariant);
        warn!(self.log, "invariant broken"; "invariant" => invariant.name(),
            "txn" => %String::from_utf8_lossy(txn));
    }

    /// Counts what the guard said of an attempt that is about to be written.
    pub(super) fn count_send(&mut self, verdict: Result<(), Obstacle>) {
        match verdict {
            Err(obstacle) => self.counts.withheld(obstacle.invariant()),
            Ok(()) => {
                let looked_at = [
                    Invariant::ClientPresent,
                    Invariant::TimeLeft,
                    Invariant::RepeatAllowed,
                    Invariant::ServerListed,
                ];
                looked_at.into_iter().for_each(|invariant| self.counts.held(invariant));
            }
        }
    }

    /// Asks the guard whether an RPC that was read now may begin.
    pub(super) fn may_begin(&mut self, txn: &[u8]) -> bool {
        match guard::may_begin(self.net.now, self.shutdown) {
            Ok(()) => {
                self.counts.held(Invariant::BeginsInLife);
                true
            }
            Err(obstacle) => {
                self.counts.withheld(obstacle.invariant());
                self.log_turned_away(txn, 503, obstacle.reason());
                false
            }
        }
    }

    /// Asks the guard whether the module's refusal of an RPC is true. It withholds one that isn't, so that the RPC is
    /// answered as failed.
    pub(super) fn refusal_is_harmless(&mut self, id: u32) -> bool {
        let Some(rpc) = self.rpcs.get(&id) else { return true };
        let harmless = guard::may_refuse(self.net.now, rpc.effect, rpc.first_run);
        if harmless {
            self.counts.held(Invariant::RefusalHarmless);
        } else {
            self.counts.withheld(Invariant::RefusalHarmless);
            warn!(self.log, "refusal withheld"; "txn" => %String::from_utf8_lossy(&rpc.id));
        }
        harmless
    }

    /// Looks at an answer as it is given.
    pub(super) fn check_answer(&mut self, id: u32) {
        let Some(rpc) = self.rpcs.get(&id) else { return };
        let (txn, now) = (rpc.id.clone(), self.net.now);
        let in_time = now <= rpc.deadline + ANSWER_SLACK;
        let in_life = self.shutdown.is_none_or(|shutdown| now <= shutdown.exit_at);
        self.check(Invariant::AnswerInTime, in_time && in_life, &txn);
    }

    /// Looks at a client's connection as this side ends it.
    pub(super) fn check_end_of_client(&mut self, id: usize, why: &'static str) {
        let Some(client) = self.clients.get(&id) else { return };
        let Some((rpc, _)) = client.rpc.filter(|_| why != LEFT) else {
            return self.counts.held(Invariant::OneAnswer);
        };
        let txn = self.rpcs.get(&rpc).map(|rpc| rpc.id.clone()).unwrap_or_default();
        self.check(Invariant::OneAnswer, false, &txn);
    }

    /// The header line by which operators see the counts.
    pub(super) fn counts_line(&self) -> String {
        format!("X-Invariants: {}\n", self.counts.summary())
    }
}
