//! Emulates the attempts at servers, from the gateway to the server and back.

use super::{Attempt, Event, RpcState, World, utility};
use crate::Nanos;
use crate::servers::{AttemptRef, Disposition};
use martenramp::host::{AttemptResult, CallOutcome};

impl World {
    /// Sends an attempt of an RPC to a server. If the request or the answer is lost, the attempt ends at its timeout.
    pub(super) fn send_attempt(&mut self, now: Nanos, gateway: u32, rpc: u32, server: u32, timeout: Nanos) {
        let Some(live) = self.rpcs.get_mut(&rpc).filter(|live| live.gateway == gateway) else { return };
        let (number, deadline, stream) = (live.next_attempt, live.deadline, live.stream);
        live.next_attempt += 1;
        if live.state == RpcState::Waiting {
            self.set_state(rpc, RpcState::Attempting);
        }
        let incarnation = self.gateways[gateway as usize].lifecycle.incarnation;
        let attempt = AttemptRef { gateway, incarnation, rpc, number };
        self.record.update(now, |counts| counts.attempts += 1);
        if number == 0 {
            let arrivals = &self.clients.streams[stream as usize];
            let plan = &self.plans[arrivals.plan as usize];
            self.record.record_sent_units(now, arrivals.customer, arrivals.units, plan.rate, plan.burst);
        }
        let ends_at = if timeout > 0 { (now + timeout).min(deadline) } else { deadline };
        self.queue.schedule_at(ends_at.max(now + 1), Event::AttemptTimeout { attempt });
        let Some(target) = self.servers.all.get(server as usize) else {
            return self.queue.schedule_after(
                self.network.refuse_delay,
                Event::AttemptEnd { attempt, outcome: CallOutcome::NoConnection },
            );
        };
        let (zone, server_incarnation) = (self.gateways[gateway as usize].lifecycle.zone, target.incarnation);
        self.gateways[gateway as usize]
            .attempts
            .insert((rpc, number), Attempt { server, server_incarnation, sent_at: now });
        if !self.network.reaches(zone, target.zone) {
            return self.queue.schedule_after(
                self.dial_timeout,
                Event::AttemptEnd { attempt, outcome: CallOutcome::NoConnection },
            );
        }
        if let Some(delay) = self.network.message_delay() {
            self.queue.schedule_after(delay, Event::AttemptArrival { attempt, server, server_incarnation });
        }
    }

    /// Handles an attempt that reaches its server.
    pub(super) fn attempt_arrived(
        &mut self,
        now: Nanos,
        attempt: AttemptRef,
        server: u32,
        server_incarnation: u32,
    ) {
        match self.servers.accept(now, server, server_incarnation, attempt) {
            Disposition::Refused => self.queue.schedule_after(
                self.network.refuse_delay,
                Event::AttemptEnd { attempt, outcome: CallOutcome::NoConnection },
            ),
            Disposition::Full => self.send_answer(attempt, 0, CallOutcome::Full),
            Disposition::Serving { after, ok } => {
                self.queue.schedule_after(after, Event::AttemptServed { server, server_incarnation });
                self.send_answer(attempt, after, if ok { CallOutcome::Ok } else { CallOutcome::Error });
            }
            Disposition::Held => {}
        }
    }

    /// Sends the outcome of an attempt to its gateway after a service time. The message may be lost.
    pub(super) fn send_answer(&mut self, attempt: AttemptRef, after: Nanos, outcome: CallOutcome) {
        if let Some(delay) = self.network.message_delay() {
            self.queue.schedule_after(after + delay, Event::AttemptEnd { attempt, outcome });
        }
    }

    /// Handles the end of an attempt at its gateway: answered, failed or timed out. Ignored if the attempt has already
    /// ended.
    pub(super) fn attempt_ended(&mut self, now: Nanos, attempt: AttemptRef, outcome: CallOutcome) {
        let gateway = &mut self.gateways[attempt.gateway as usize];
        if gateway.lifecycle.incarnation != attempt.incarnation || !gateway.lifecycle.is_running() {
            return;
        }
        let Some(sent) = gateway.attempts.remove(&(attempt.rpc, attempt.number)) else { return };
        let duration = now - sent.sent_at;
        let live = self
            .rpcs
            .get(&attempt.rpc)
            .filter(|live| live.gateway == attempt.gateway && live.incarnation == attempt.incarnation);
        let open = live.is_some_and(|live| live.state.is_open());
        if let Some(live) = live.filter(|_| open) {
            let (arrived, deadline, stream) = (live.arrived_at, live.deadline, live.stream);
            if outcome == CallOutcome::Ok {
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
        let closed = !open || outcome == CallOutcome::Ok;
        let result = AttemptResult {
            rpc: attempt.rpc,
            server: sent.server,
            attempt: attempt.number,
            outcome,
            duration,
            rpc_answered: closed,
            settled_units: 0.0,
            load_report: Vec::new(),
        };
        self.with_policy(attempt.gateway, |policy, actions| policy.on_attempt_end(actions, now, &result));
        self.execute_actions(now, attempt.gateway);
    }
}
