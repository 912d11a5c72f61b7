//! Calls of gateways to the shared counter.

use super::{CounterCall, Event, World};
use crate::{Nanos, nanos};
use martenramp::host::CallOutcome;

impl World {
    /// A gateway calls the counter: the request is on its way, or lost.
    pub(super) fn call_counter(&mut self, now: Nanos, gateway: u32, name: u64, add: f64, forget: Nanos) {
        self.next_serial += 1;
        let serial = self.next_serial;
        let at = &mut self.gateways[gateway as usize];
        let (incarnation, zone) = (at.lifecycle.incarnation, at.lifecycle.zone);
        at.counter_calls.insert(serial);
        let call = CounterCall { gateway, incarnation, serial, name, add, forget };
        self.queue.schedule_at(now + self.counter_timeout.max(1), Event::CounterTimeout(call));
        if !(self.counter.enabled && self.network.reaches_counter(zone)) {
            return;
        }
        if let Some(hop) = self.network.hop() {
            self.queue.schedule_after(hop, Event::CounterRequest(call));
        }
    }

    /// A request comes to the counter.
    pub(super) fn counter_request(&mut self, now: Nanos, call: CounterCall) {
        let Some(total) = self.counter.add(now, call.gateway, call.name, call.add, call.forget) else {
            return;
        };
        let latency = nanos(self.scenario.counter.latency_ms / 1e3);
        if let Some(hop) = self.network.hop() {
            self.queue.schedule_after(latency + hop, Event::CounterReply { call, total });
        }
    }

    /// A call ended at its gateway: answered, or its time over. One that ended before is passed over.
    pub(super) fn counter_call_ended(&mut self, now: Nanos, call: CounterCall, how: CallOutcome, total: f64) {
        let at = &mut self.gateways[call.gateway as usize];
        if at.lifecycle.incarnation != call.incarnation || !at.counter_calls.remove(&call.serial) {
            return;
        }
        let missed = u64::from(how != CallOutcome::Ok);
        self.record.update(now, |counts| {
            counts.counter_calls += 1;
            counts.counter_timeouts += missed;
        });
        self.with_gate(call.gateway, |gate, wishes| {
            gate.on_counter_reply(wishes, now, call.name, how, total)
        });
        self.carry(now, call.gateway);
    }
}
