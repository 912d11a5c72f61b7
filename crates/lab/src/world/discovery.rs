//! Emulates discovery: changes in the fleet of servers reach the gateways after a delay.

use super::{Event, World};
use crate::servers::AttemptRef;
use crate::{Nanos, nanos};
use martenramp::host::{CallOutcome, DiscoveredServer};

impl World {
    /// Schedules a server list after the discovery delay, unless one is scheduled already.
    pub(super) fn schedule_server_list(&mut self) {
        if !self.list_scheduled {
            self.list_scheduled = true;
            let delay = nanos(self.scenario.discovery.delay_ms / 1e3) + self.extra_list_delay;
            self.queue.schedule_after(delay, Event::ServerList);
        }
    }

    /// Sends the complete server list to all running gateways.
    pub(super) fn send_server_list(&mut self, now: Nanos) {
        self.list_scheduled = false;
        let list: Vec<DiscoveredServer> = self.servers.discovery_list();
        for gateway in &mut self.gateways {
            if let Some(policy) = gateway.policy.as_deref_mut() {
                policy.on_server_list(now, true, &list);
            }
        }
    }

    /// Ends the open attempts at servers that have gone as reset, after the network's `refuse_delay`. `servers` must be
    /// sorted.
    pub(super) fn reset_attempts_on(&mut self, servers: &[u32]) {
        let mut reset = Vec::new();
        for (gateway_number, gateway) in self.gateways.iter().enumerate() {
            for (&(rpc, number), attempt) in &gateway.attempts {
                let is_current =
                    self.servers.all[attempt.server as usize].incarnation == attempt.server_incarnation;
                if is_current && servers.binary_search(&attempt.server).is_ok() {
                    reset.push(AttemptRef {
                        gateway: gateway_number as u32,
                        incarnation: gateway.lifecycle.incarnation,
                        rpc,
                        number,
                    });
                }
            }
        }
        for attempt in reset {
            self.queue.schedule_after(
                self.network.refuse_delay,
                Event::AttemptEnd { attempt, outcome: CallOutcome::Reset },
            );
        }
    }

    /// Replaces a server by a new incarnation.
    pub(super) fn replace_server(&mut self, now: Nanos, server: u32) {
        self.reset_attempts_on(&[server]);
        self.servers.replace(server, now);
        self.schedule_server_list();
    }
}
