//! Emulates RPCs from their arrival to their final answer, and the clients' retries.

use super::{ANSWER_GRACE, ErrorAnswer, Event, RpcState, TrackedRpc, World};
use crate::{MS, Nanos};
use martenramp::host::Arrival;

/// How much earlier than the client's deadline the deadline passed to the policy is, as in `martenramp serve`.
const DEADLINE_MARGIN: Nanos = MS;

impl World {
    /// Changes the state of an RPC. No other function does.
    pub(super) fn set_state(&mut self, rpc: u32, to: RpcState) {
        if let Some(live) = self.rpcs.get_mut(&rpc) {
            live.state = to;
        }
    }

    /// Handles an RPC that a client sends. Schedules the stream's next arrival unless it is a retry (`is_new` is false).
    pub(super) fn rpc_arrived(&mut self, now: Nanos, stream: u32, retries: u32, is_new: bool) {
        if let Some(delay) =
            (is_new && now < self.end).then(|| self.clients.next_arrival_delay(stream as usize)).flatten()
        {
            self.queue.schedule_after(delay, Event::Arrival { stream });
        }
        if now >= self.end {
            return;
        }
        let arrivals = &self.clients.streams[stream as usize];
        let method = &self.methods[arrivals.method as usize];
        let (credit, deadline) = (method.credit, now + method.deadline);
        let (customer, method_number, plan, units, width, first) = (
            arrivals.customer,
            arrivals.method,
            arrivals.plan,
            arrivals.units,
            arrivals.width,
            arrivals.first,
        );
        self.record.update(now, |counts| {
            counts.arrived += 1;
            counts.utility_asked += credit;
        });
        let (gateways, fleet) = (self.scenario.gateways, &self.gateways);
        let Some(gateway) = self.clients.pick_gateway(
            stream as usize,
            |number| fleet[number as usize].lifecycle.accepts_clients(),
            gateways,
        ) else {
            self.record.update(now, |counts| counts.disconnected += 1);
            return self.schedule_retry(stream, retries, 0);
        };
        let rpc = self.next_rpc;
        self.next_rpc = self.next_rpc.wrapping_add(1).max(1);
        let incarnation = self.gateways[gateway as usize].lifecycle.incarnation;
        let live = TrackedRpc {
            gateway,
            incarnation,
            stream,
            arrived_at: now,
            deadline,
            retries,
            next_attempt: 0,
            state: RpcState::Waiting,
        };
        self.rpcs.insert(rpc, live);
        self.queue.schedule_at(deadline + ANSWER_GRACE, Event::RpcExpiry { rpc });
        if let Some(after) = self.clients.cancel_delay(deadline - now) {
            self.queue.schedule_after(after, Event::ClientCancel { rpc });
        }
        let arrival = Arrival {
            id: rpc,
            method: method_number,
            plan,
            customer,
            service: 0,
            deadline: deadline.saturating_sub(DEADLINE_MARGIN),
            units,
            gateway_count: width,
            first_gateway: first,
        };
        self.with_policy(gateway, |policy, actions| policy.on_arrival(actions, now, &arrival));
        self.execute_actions(now, gateway);
    }

    /// Handles a client that cancels its RPC early. If the RPC has no answer yet, it counts as left and the gateway is
    /// notified.
    pub(super) fn client_cancelled(&mut self, rpc: u32) {
        let Some(live) = self.rpcs.get(&rpc) else { return };
        if live.state.is_open() {
            let (gateway, incarnation, now) = (live.gateway, live.incarnation, self.queue.now());
            self.record.update(now, |counts| counts.abandoned += 1);
            self.set_state(rpc, RpcState::Abandoned);
            if self.gateways[gateway as usize].lifecycle.incarnation == incarnation {
                self.with_policy(gateway, |policy, _| policy.on_client_left(rpc));
            }
        }
    }

    /// Removes an RPC at the end of its deadline and grace period. Without an answer by then it counts as lost.
    pub(super) fn rpc_expired(&mut self, rpc: u32) {
        let Some(live) = self.rpcs.remove(&rpc) else { return };
        if live.state.is_open() {
            let now = self.queue.now();
            self.record.update(now, |counts| counts.lost += 1);
            if self.gateways[live.gateway as usize].lifecycle.incarnation == live.incarnation {
                self.with_policy(live.gateway, |policy, _| policy.on_client_left(rpc));
            }
        }
    }

    /// Handles a gateway's final answer other than ok.
    pub(super) fn answer_with_error(&mut self, now: Nanos, rpc: u32, answer: ErrorAnswer) {
        let Some(live) = self.rpcs.get(&rpc) else { return };
        match live.state {
            RpcState::Waiting | RpcState::Attempting => {}
            RpcState::Answered => return self.record.update(now, |counts| counts.duplicate_answers += 1),
            RpcState::Abandoned => return,
        }
        let (stream, retries) = (live.stream, live.retries);
        self.set_state(rpc, RpcState::Answered);
        match answer {
            ErrorAnswer::Rejected { retry_after } => {
                self.record.update(now, |counts| counts.rejected += 1);
                self.schedule_retry(stream, retries, retry_after);
            }
            ErrorAnswer::Aborted => self.record.update(now, |counts| counts.aborted += 1),
        }
    }

    /// Schedules a retry of an RPC, if its client retries.
    pub(super) fn schedule_retry(&mut self, stream: u32, retries: u32, retry_after: Nanos) {
        if let Some(after) = self.clients.retry_delay(retries, retry_after) {
            self.queue.schedule_after(after, Event::Retry { stream, retries: retries + 1 });
        }
    }
}
