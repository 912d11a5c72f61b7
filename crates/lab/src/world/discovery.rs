//! Discovery: changes of the fleet of servers come to the gateways with a delay.

use super::{Event, World};
use crate::servers::AttemptRef;
use crate::{Nanos, nanos};
use martenramp::host::{CallOutcome, DiscoveredServer};

impl World {
    pub(super) fn list_changed(&mut self) {
        if !self.list_due {
            self.list_due = true;
            let delay = nanos(self.scenario.discovery.delay_ms / 1e3) + self.list_late;
            self.queue.schedule_after(delay, Event::List);
        }
    }

    pub(super) fn list(&mut self, now: Nanos) {
        self.list_due = false;
        let list: Vec<DiscoveredServer> = self.servers.discovery_list();
        for gateway in &mut self.gateways {
            if let Some(gate) = gateway.gate.as_deref_mut() {
                gate.on_server_list(now, true, &list);
            }
        }
    }

    /// Attempts open on servers that are gone end as reset, a moment later. `servers` is in order.
    pub(super) fn reset_attempts_on(&mut self, servers: &[u32]) {
        let mut reset = Vec::new();
        for (number, gateway) in self.gateways.iter().enumerate() {
            for (&(rpc, nth), out) in &gateway.attempts {
                let on = self.servers.all[out.server as usize].incarnation == out.server_incarnation;
                if on && servers.binary_search(&out.server).is_ok() {
                    reset.push(AttemptRef {
                        gateway: number as u32,
                        incarnation: gateway.lifecycle.incarnation,
                        rpc,
                        number: nth,
                    });
                }
            }
        }
        for attempt in reset {
            self.queue
                .schedule_after(self.network.refuse, Event::AttemptEnd { attempt, how: CallOutcome::Reset });
        }
    }

    pub(super) fn replace(&mut self, now: Nanos, server: u32) {
        self.reset_attempts_on(&[server]);
        self.servers.replace(server, now);
        self.list_changed();
    }
}
