//! Attempts at servers, from the gateway to the server and back.

use super::{Attempt, Event, RpcState, World, utility};
use crate::Nanos;
use crate::servers::{AttemptRef, Disposition};
use martenramp::host::{AttemptResult, CallOutcome};

impl World {
    pub(super) fn send_attempt(&mut self, now: Nanos, gateway: u32, rpc: u32, server: u32, limit: Nanos) {
        let Some(live) = self.rpcs.get_mut(&rpc).filter(|live| live.gateway == gateway) else { return };
        let (nth, deadline, stream) = (live.nth, live.deadline, live.stream);
        live.nth += 1;
        if live.state == RpcState::Waiting {
            self.set_state(rpc, RpcState::Attempting);
        }
        let incarnation = self.gateways[gateway as usize].lifecycle.incarnation;
        let attempt = AttemptRef { gateway, incarnation, rpc, number: nth };
        self.record.update(now, |counts| counts.attempts += 1);
        if nth == 0 {
            let at = &self.clients.streams[stream as usize];
            let plan = &self.plans[at.plan as usize];
            self.record.record_sent_units(now, at.customer, at.units, plan.rate, plan.burst);
        }
        let ends = if limit > 0 { (now + limit).min(deadline) } else { deadline };
        self.queue.schedule_at(ends.max(now + 1), Event::AttemptTimeout { attempt });
        let Some(at) = self.servers.all.get(server as usize) else {
            return self.queue.schedule_after(
                self.network.refuse,
                Event::AttemptEnd { attempt, how: CallOutcome::NoConnection },
            );
        };
        let (zone, server_incarnation) = (self.gateways[gateway as usize].lifecycle.zone, at.incarnation);
        self.gateways[gateway as usize]
            .attempts
            .insert((rpc, nth), Attempt { server, server_incarnation, sent: now });
        if !self.network.reaches(zone, at.zone) {
            return self.queue.schedule_after(
                self.dial_timeout,
                Event::AttemptEnd { attempt, how: CallOutcome::NoConnection },
            );
        }
        if let Some(hop) = self.network.hop() {
            self.queue.schedule_after(hop, Event::AttemptAtServer { attempt, server, server_incarnation });
        }
    }

    pub(super) fn at_server(
        &mut self,
        now: Nanos,
        attempt: AttemptRef,
        server: u32,
        server_incarnation: u32,
    ) {
        match self.servers.accept(now, server, server_incarnation, attempt) {
            Disposition::Refused => self.queue.schedule_after(
                self.network.refuse,
                Event::AttemptEnd { attempt, how: CallOutcome::NoConnection },
            ),
            Disposition::Full => self.answer(attempt, 0, CallOutcome::Full),
            Disposition::Serving { after, ok } => {
                self.queue.schedule_after(after, Event::ServerFreed { server, server_incarnation });
                self.answer(attempt, after, if ok { CallOutcome::Ok } else { CallOutcome::Error });
            }
            Disposition::Held => {}
        }
    }

    pub(super) fn answer(&mut self, attempt: AttemptRef, after: Nanos, how: CallOutcome) {
        if let Some(hop) = self.network.hop() {
            self.queue.schedule_after(after + hop, Event::AttemptEnd { attempt, how });
        }
    }

    /// An attempt ended at its gateway: answered, failed, or its time over. One that ended before is passed over.
    pub(super) fn attempt_ended(&mut self, now: Nanos, attempt: AttemptRef, how: CallOutcome) {
        let gateway = &mut self.gateways[attempt.gateway as usize];
        if gateway.lifecycle.incarnation != attempt.incarnation || !gateway.lifecycle.is_running() {
            return;
        }
        let Some(out) = gateway.attempts.remove(&(attempt.rpc, attempt.number)) else { return };
        let took = now - out.sent;
        let live = self
            .rpcs
            .get(&attempt.rpc)
            .filter(|live| live.gateway == attempt.gateway && live.incarnation == attempt.incarnation);
        let open = live.is_some_and(|live| live.state.is_open());
        if let Some(live) = live.filter(|_| open) {
            let (arrived, deadline, stream) = (live.arrived, live.deadline, live.stream);
            if how == CallOutcome::Ok {
                let method = &self.methods[self.clients.streams[stream as usize].method as usize];
                let earned = utility(method, arrived, deadline, now);
                self.record.update(now, |counts| {
                    counts.ok += 1;
                    counts.utility_served += earned;
                });
                self.record.record_latency(now, now - arrived);
                self.set_state(attempt.rpc, RpcState::Answered);
            } else {
                self.set_state(attempt.rpc, RpcState::Waiting);
            }
        }
        let closed = !open || how == CallOutcome::Ok;
        let ended = AttemptResult {
            rpc: attempt.rpc,
            server: out.server,
            attempt: attempt.number,
            outcome: how,
            duration: took,
            rpc_answered: closed,
            settled_units: 0.0,
            load_report: Vec::new(),
        };
        self.with_gate(attempt.gateway, |gate, wishes| gate.on_attempt_end(wishes, now, &ended));
        self.carry(now, attempt.gateway);
    }
}
