//! Emulates the gateways' calls to the shared counter.

use super::{CounterCall, Event, World};
use crate::{Nanos, nanos};
use martenramp::host::CallOutcome;

impl World {
    /// Sends a gateway's call to the counter. The request may be lost.
    pub(super) fn call_counter(&mut self, now: Nanos, gateway: u32, name: u64, add: f64, forget: Nanos) {
        self.next_serial += 1;
        let serial = self.next_serial;
        let state = &mut self.gateways[gateway as usize];
        let (incarnation, zone) = (state.lifecycle.incarnation, state.lifecycle.zone);
        state.counter_calls.insert(serial);
        let call = CounterCall { gateway, incarnation, serial, name, add, forget };
        self.queue.schedule_at(now + self.counter_timeout.max(1), Event::CounterTimeout(call));
        if !(self.counter.enabled && self.network.reaches_counter(zone)) {
            return;
        }
        if let Some(delay) = self.network.message_delay() {
            self.queue.schedule_after(delay, Event::CounterRequest(call));
        }
    }

    /// Handles a request that reaches the counter.
    pub(super) fn counter_request(&mut self, now: Nanos, call: CounterCall) {
        let Some(total) = self.counter.add(now, call.gateway, call.name, call.add, call.forget) else {
            return;
        };
        let latency = nanos(self.scenario.counter.latency_ms / 1e3);
        if let Some(delay) = self.network.message_delay() {
            self.queue.schedule_after(latency + delay, Event::CounterReply { call, total });
        }
    }

    /// Handles the end of a call at its gateway: answered or timed out. Ignored if the call has already ended.
    pub(super) fn counter_call_ended(
        &mut self,
        now: Nanos,
        call: CounterCall,
        outcome: CallOutcome,
        total: f64,
    ) {
        let state = &mut self.gateways[call.gateway as usize];
        if state.lifecycle.incarnation != call.incarnation || !state.counter_calls.remove(&call.serial) {
            return;
        }
        let missed = u64::from(outcome != CallOutcome::Ok);
        self.record.update(now, |counts| {
            counts.counter_calls += 1;
            counts.counter_timeouts += missed;
        });
        self.with_policy(call.gateway, |policy, actions| {
            policy.on_counter_reply(actions, now, call.name, outcome, total)
        });
        self.execute_actions(now, call.gateway);
    }
}
