//! Calls of gateways to the shared counter.

use super::{Event, World};
use crate::{Nanos, nanos};
use martenramp::host::End;

impl World {
    pub(super) fn count(&mut self, now: Nanos, gateway: u32, name: u64, add: f64, forget: Nanos) {
        self.serial += 1;
        let serial = self.serial;
        let at = &mut self.gateways[gateway as usize];
        let (incarnation, zone) = (at.lifecycle.incarnation, at.lifecycle.zone);
        at.counts.insert(serial, name);
        self.queue.at(now + self.count_wait.max(1), Event::CountLimit { gateway, incarnation, serial });
        if !(self.counter.enabled && self.network.reaches_counter(zone)) {
            return;
        }
        if let Some(hop) = self.network.hop() {
            self.queue.after(hop, Event::CountAt { gateway, incarnation, serial, name, add, forget });
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn count_at(
        &mut self,
        now: Nanos,
        gateway: u32,
        incarnation: u32,
        serial: u64,
        name: u64,
        add: f64,
        forget: Nanos,
    ) {
        let Some(total) = self.counter.add(now, gateway, name, add, forget) else { return };
        let latency = nanos(self.scenario.counter.latency_ms / 1e3);
        if let Some(hop) = self.network.hop() {
            self.queue.after(latency + hop, Event::CountBack { gateway, incarnation, serial, total });
        }
    }

    pub(super) fn counted(
        &mut self,
        now: Nanos,
        gateway: u32,
        incarnation: u32,
        serial: u64,
        how: End,
        total: f64,
    ) {
        let at = &mut self.gateways[gateway as usize];
        if at.lifecycle.incarnation != incarnation {
            return;
        }
        let Some(name) = at.counts.remove(&serial) else { return };
        let missed = u64::from(how != End::Ok);
        self.record.add(now, |counts| {
            counts.count_calls += 1;
            counts.count_missed += missed;
        });
        self.with_gate(gateway, |gate, wishes| gate.counted(wishes, now, name, how, total));
        self.carry(now, gateway);
    }
}
