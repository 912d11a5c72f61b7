//! Applies the faults of a scenario: each begins, and most of them end, at a time that the scenario sets.

use super::{Event, World};
use crate::scenario::Fault;
use crate::servers::Disposition;
use crate::{Nanos, lifecycle, nanos};
use martenramp::host::CallOutcome;

impl World {
    /// Begins or ends a fault of the scenario.
    pub(super) fn apply_fault(&mut self, now: Nanos, index: usize, starts: bool) {
        match self.scenario.faults[index].clone() {
            Fault::CounterStall { .. } => self.counter.stalled = starts,
            Fault::CounterSplit { .. } if starts => self.counter.split(),
            Fault::CounterSplit { .. } => self.counter.heal(),
            Fault::CounterReplace { .. } => self.counter.replace(),
            Fault::Kill { share, restart_after, .. } => self.kill_gateways(now, index, share, restart_after),
            Fault::Drain { share, restart_after, .. } => {
                self.drain_gateways(now, index, share, restart_after)
            }
            Fault::ZoneDown { zone, .. } => self.zone_down(now, zone, starts),
            Fault::Partition { zone, .. } => self.network.set_cut_off(zone, starts),
            Fault::Slow { share, factor, .. } => {
                let factor = if starts { factor } else { 1.0 };
                let affected = self.affected_servers(index, share, starts);
                affected.into_iter().for_each(|server| self.servers.set_slow_factor(server, factor));
            }
            Fault::Fail { share, error_share, .. } => {
                let error_share = if starts { error_share } else { self.servers.base_error_share() };
                let affected = self.affected_servers(index, share, starts);
                affected.into_iter().for_each(|server| self.servers.set_error_share(server, error_share));
            }
            Fault::Pause { share, .. } => {
                let affected = self.affected_servers(index, share, starts);
                if starts {
                    affected.into_iter().for_each(|server| self.servers.pause(server));
                } else {
                    affected.into_iter().for_each(|server| self.resume_server(server));
                }
            }
            Fault::Replace { share, seconds, .. } if starts => self.replace_servers(index, share, seconds),
            Fault::Replace { .. } => {}
            Fault::Burst { factor, .. } => self.clients.burst = if starts { factor.max(0.0) } else { 1.0 },
            Fault::DiscoveryDelay { delay_ms, .. } => {
                self.extra_list_delay = if starts { nanos(delay_ms / 1e3) } else { 0 }
            }
        }
    }

    fn kill_gateways(&mut self, now: Nanos, index: usize, share: f64, restart_after: Option<f64>) {
        let killed = self.pick_running_gateways(index, share);
        self.take_down_gateways(now, &killed);
        let Some(restart_after) = restart_after else { return };
        for gateway in killed {
            self.queue.schedule_after(nanos(restart_after), Event::StartGateway { gateway });
        }
    }

    fn drain_gateways(&mut self, now: Nanos, index: usize, share: f64, restart_after: Option<f64>) {
        for gateway in self.pick_running_gateways(index, share) {
            let lifecycle = &mut self.gateways[gateway as usize].lifecycle;
            lifecycle.drain(now);
            let incarnation = lifecycle.incarnation;
            self.queue.schedule_after(lifecycle::DRAIN_TIME, Event::StopGateway { gateway, incarnation });
            if let Some(back_after) = restart_after {
                self.queue.schedule_after(
                    lifecycle::DRAIN_TIME + nanos(back_after),
                    Event::StartGateway { gateway },
                );
            }
        }
    }

    fn zone_down(&mut self, now: Nanos, zone: u32, starts: bool) {
        let model = &self.scenario.servers;
        let in_zone: Vec<u32> = (0..model.count).filter(|server| server % model.zones == zone).collect();
        if starts {
            self.reset_attempts_on(&in_zone);
            in_zone.iter().for_each(|&server| self.servers.take_down(server));
        } else {
            in_zone.iter().for_each(|&server| self.servers.replace(server, now));
        }
        self.schedule_server_list();
    }

    /// Ends the pause of a server, which now serves the attempts that it held.
    fn resume_server(&mut self, server: u32) {
        let server_incarnation = self.servers.all[server as usize].incarnation;
        for (attempt, disposition) in self.servers.resume(server) {
            if let Disposition::Serving { after, ok } = disposition {
                self.queue.schedule_after(after, Event::AttemptServed { server, server_incarnation });
                self.send_answer(attempt, after, if ok { CallOutcome::Ok } else { CallOutcome::Error });
            }
        }
    }

    fn replace_servers(&mut self, index: usize, share: f64, seconds: f64) {
        let replaced = self.pick_targets(index, self.scenario.servers.count, share);
        let interval = nanos(seconds) / (replaced.len() as Nanos).max(1);
        for (position, server) in replaced.into_iter().enumerate() {
            self.queue.schedule_after(interval * position as Nanos, Event::ReplaceServer { server });
        }
    }

    /// The servers that a fault affects: drawn when it starts, and the same ones when it ends.
    fn affected_servers(&mut self, index: usize, share: f64, starts: bool) -> Vec<u32> {
        if starts {
            return self.pick_targets(index, self.scenario.servers.count, share);
        }
        self.fault_targets.get(&index).cloned().unwrap_or_default()
    }

    fn pick_targets(&mut self, index: usize, count: u32, share: f64) -> Vec<u32> {
        let targets = lifecycle::sample_share(count, share, &mut self.fault_rng);
        self.fault_targets.insert(index, targets.clone());
        targets
    }

    fn pick_running_gateways(&mut self, index: usize, share: f64) -> Vec<u32> {
        let gateways = self.gateways.iter().zip(0u32..);
        let running = gateways.filter(|(gateway, _)| gateway.lifecycle.is_running());
        let running: Vec<u32> = running.map(|(_, number)| number).collect();
        let targets = self.pick_targets(index, running.len() as u32, share);
        targets.into_iter().map(|position| running[position as usize]).collect()
    }
}
