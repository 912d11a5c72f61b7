//! Attempts at servers, from the gateway to the server and back.

use super::{CallOut, Event, RpcState, World, utility};
use crate::Nanos;
use crate::servers::{CallRef, Take};
use martenramp::host::{End, Ended};

impl World {
    pub(super) fn call_out(&mut self, now: Nanos, gateway: u32, rpc: u32, server: u32, limit: Nanos) {
        let Some(live) = self.rpcs.get_mut(&rpc).filter(|live| live.gateway == gateway) else { return };
        let (nth, deadline, stream) = (live.nth, live.deadline, live.stream);
        live.nth += 1;
        if live.state == RpcState::Waiting {
            self.set_state(rpc, RpcState::Attempting);
        }
        let incarnation = self.gateways[gateway as usize].lifecycle.incarnation;
        let call = CallRef { gateway, incarnation, rpc, nth };
        self.record.add(now, |counts| counts.call_outs += 1);
        if nth == 0 {
            let at = &self.clients.streams[stream as usize];
            let plan = &self.plans[at.plan as usize];
            self.record.sent(now, at.customer, at.units, plan.rate, plan.burst);
        }
        let ends = if limit > 0 { (now + limit).min(deadline) } else { deadline };
        self.queue.at(ends.max(now + 1), Event::Limit { call });
        let Some(at) = self.servers.all.get(server as usize) else {
            return self.queue.after(self.network.refuse, Event::Back { call, how: End::NoConnection });
        };
        let (zone, server_incarnation) = (self.gateways[gateway as usize].lifecycle.zone, at.incarnation);
        self.gateways[gateway as usize]
            .calls
            .insert((rpc, nth), CallOut { server, server_incarnation, sent: now });
        if !self.network.reaches(zone, at.zone) {
            return self.queue.after(self.dial, Event::Back { call, how: End::NoConnection });
        }
        if let Some(hop) = self.network.hop() {
            self.queue.after(hop, Event::AtServer { call, server, server_incarnation });
        }
    }

    pub(super) fn at_server(&mut self, now: Nanos, call: CallRef, server: u32, server_incarnation: u32) {
        match self.servers.take(now, server, server_incarnation, call) {
            Take::Refused => {
                self.queue.after(self.network.refuse, Event::Back { call, how: End::NoConnection })
            }
            Take::Full => self.answer(call, 0, End::Full),
            Take::Serving { after, ok } => {
                self.queue.after(after, Event::Freed { server, server_incarnation });
                self.answer(call, after, if ok { End::Ok } else { End::Error });
            }
            Take::Held => {}
        }
    }

    pub(super) fn answer(&mut self, call: CallRef, after: Nanos, how: End) {
        if let Some(hop) = self.network.hop() {
            self.queue.after(after + hop, Event::Back { call, how });
        }
    }

    /// A call-out ended at its gateway: answered, failed, or its time over. One that ended before is passed over.
    pub(super) fn call_ended(&mut self, now: Nanos, call: CallRef, how: End) {
        let gateway = &mut self.gateways[call.gateway as usize];
        if gateway.lifecycle.incarnation != call.incarnation || !gateway.lifecycle.runs() {
            return;
        }
        let Some(out) = gateway.calls.remove(&(call.rpc, call.nth)) else { return };
        let took = now - out.sent;
        let live = self
            .rpcs
            .get(&call.rpc)
            .filter(|live| live.gateway == call.gateway && live.incarnation == call.incarnation);
        let open = live.is_some_and(|live| live.state.is_open());
        if let Some(live) = live.filter(|_| open) {
            let (arrived, deadline, stream) = (live.arrived, live.deadline, live.stream);
            if how == End::Ok {
                let method = &self.methods[self.clients.streams[stream as usize].method as usize];
                let earned = utility(method, arrived, deadline, now);
                self.record.add(now, |counts| {
                    counts.ok += 1;
                    counts.served += earned;
                });
                self.record.ok_took(now, now - arrived);
                self.set_state(call.rpc, RpcState::Answered);
            } else {
                self.set_state(call.rpc, RpcState::Waiting);
            }
        }
        let closed = !open || how == End::Ok;
        let ended = Ended {
            rpc: call.rpc,
            server: out.server,
            nth: call.nth,
            how,
            took,
            closed,
            settled: 0.0,
            load: Vec::new(),
        };
        self.with_gate(call.gateway, |gate, wishes| gate.ended(wishes, now, &ended));
        self.carry(now, call.gateway);
    }
}
