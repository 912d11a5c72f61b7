//! RPCs from their arrival to their final answer, and the clients that send them again.

use super::{Event, GRACE, LiveRpc, Refusal, RpcState, World};
use crate::{MS, Nanos};
use martenramp::host::Arrival;

/// What the gateway takes off a client's deadline before telling the module, as `martenramp serve` does.
const MARGIN: Nanos = MS;

impl World {
    /// Every change of an RPC's state goes through here.
    pub(super) fn set_state(&mut self, rpc: u32, to: RpcState) {
        if let Some(live) = self.rpcs.get_mut(&rpc) {
            live.state = to;
        }
    }

    pub(super) fn arrive(&mut self, now: Nanos, stream: u32, tries: u32, fresh: bool) {
        if let Some(gap) = (fresh && now < self.end).then(|| self.clients.gap(stream as usize)).flatten() {
            self.queue.schedule_after(gap, Event::Arrive { stream });
        }
        if now >= self.end {
            return;
        }
        let at = &self.clients.streams[stream as usize];
        let method = &self.methods[at.method as usize];
        let (credit, deadline) = (method.credit, now + method.deadline);
        let (customer, method_number, plan, units, width, first) =
            (at.customer, at.method, at.plan, at.units, at.width, at.first);
        self.record.update(now, |counts| {
            counts.arrived += 1;
            counts.utility_asked += credit;
        });
        let (gateways, lives) = (self.scenario.gateways, &self.gateways);
        let Some(gateway) = self.clients.gateway(
            stream as usize,
            |at| lives[at as usize].lifecycle.accepts_clients(),
            gateways,
        ) else {
            self.record.update(now, |counts| counts.disconnected += 1);
            return self.schedule_retry(stream, tries, 0);
        };
        let rpc = self.next_rpc;
        self.next_rpc = self.next_rpc.wrapping_add(1).max(1);
        let incarnation = self.gateways[gateway as usize].lifecycle.incarnation;
        let live = LiveRpc {
            gateway,
            incarnation,
            stream,
            arrived: now,
            deadline,
            tries,
            nth: 0,
            state: RpcState::Waiting,
        };
        self.rpcs.insert(rpc, live);
        self.queue.schedule_at(deadline + GRACE, Event::Overdue { rpc });
        if let Some(after) = self.clients.leave_delay(deadline - now) {
            self.queue.schedule_after(after, Event::Leave { rpc });
        }
        let arrival = Arrival {
            id: rpc,
            method: method_number,
            plan,
            customer,
            service: 0,
            deadline: deadline.saturating_sub(MARGIN),
            units,
            gateway_count: width,
            first_gateway: first,
        };
        self.with_gate(gateway, |gate, wishes| gate.on_arrival(wishes, now, &arrival));
        self.carry(now, gateway);
    }

    /// The client leaves early: the gateway is told, and the RPC counts as left if it had no answer.
    pub(super) fn leave(&mut self, rpc: u32) {
        let Some(live) = self.rpcs.get(&rpc) else { return };
        if live.state.is_open() {
            let (gateway, incarnation, now) = (live.gateway, live.incarnation, self.queue.now());
            self.record.update(now, |counts| counts.abandoned += 1);
            self.set_state(rpc, RpcState::Abandoned);
            if self.gateways[gateway as usize].lifecycle.incarnation == incarnation {
                self.with_gate(gateway, |gate, _| gate.on_client_left(rpc));
            }
        }
    }

    /// The deadline and the grace are over: an RPC still without an answer is lost; all are forgotten.
    pub(super) fn overdue(&mut self, rpc: u32) {
        let Some(live) = self.rpcs.remove(&rpc) else { return };
        if live.state.is_open() {
            let now = self.queue.now();
            self.record.update(now, |counts| counts.lost += 1);
            if self.gateways[live.gateway as usize].lifecycle.incarnation == live.incarnation {
                self.with_gate(live.gateway, |gate, _| gate.on_client_left(rpc));
            }
        }
    }

    /// A final answer other than ok, from the gateway.
    pub(super) fn refuse(&mut self, now: Nanos, rpc: u32, refusal: Refusal) {
        let Some(live) = self.rpcs.get(&rpc) else { return };
        match live.state {
            RpcState::Waiting | RpcState::Attempting => {}
            RpcState::Answered => return self.record.update(now, |counts| counts.duplicate_answers += 1),
            RpcState::Abandoned => return,
        }
        let (stream, tries) = (live.stream, live.tries);
        self.set_state(rpc, RpcState::Answered);
        match refusal {
            Refusal::Rejected { retry_after } => {
                self.record.update(now, |counts| counts.rejected += 1);
                self.schedule_retry(stream, tries, retry_after);
            }
            Refusal::Aborted => self.record.update(now, |counts| counts.aborted += 1),
        }
    }

    pub(super) fn schedule_retry(&mut self, stream: u32, tries: u32, retry_after: Nanos) {
        if let Some(after) = self.clients.retry_delay(tries, retry_after) {
            self.queue.schedule_after(after, Event::Retry { stream, tries: tries + 1 });
        }
    }
}
