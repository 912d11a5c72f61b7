//! Troubles: each begins, and most end, at a time of the scenario.

use super::{Event, World};
use crate::scenario::Trouble;
use crate::servers::Disposition;
use crate::{Nanos, lifecycle, nanos};
use martenramp::host::End;

impl World {
    fn pick(&mut self, index: usize, count: u32, share: f64) -> Vec<u32> {
        let picked = lifecycle::pick(count, share, &mut self.troubles);
        self.picked.insert(index, picked.clone());
        picked
    }

    pub(super) fn trouble(&mut self, now: Nanos, index: usize, starts: bool) {
        let trouble = self.scenario.troubles[index].clone();
        let servers = self.scenario.servers.count;
        let earlier = self.picked.get(&index).cloned().unwrap_or_default();
        match trouble {
            Trouble::CounterStall { .. } => self.counter.stalled = starts,
            Trouble::CounterSplit { .. } if starts => self.counter.split_now(),
            Trouble::CounterSplit { .. } => self.counter.heal(),
            Trouble::CounterReplace { .. } => self.counter.replace(),
            Trouble::Kill { share, back_after, .. } => {
                let gone = self.pick_running(index, share);
                self.cut(now, &gone);
                for gateway in gone.iter().copied().filter(|_| back_after.is_some()) {
                    self.queue.after(nanos(back_after.unwrap_or(0.0)), Event::Start { gateway });
                }
            }
            Trouble::Drain { share, back_after, .. } => {
                for gateway in self.pick_running(index, share) {
                    let at = &mut self.gateways[gateway as usize].lifecycle;
                    at.drain(now);
                    let incarnation = at.incarnation;
                    self.queue.after(lifecycle::DRAIN, Event::Stop { gateway, incarnation });
                    if let Some(back) = back_after {
                        self.queue.after(lifecycle::DRAIN + nanos(back), Event::Start { gateway });
                    }
                }
            }
            Trouble::ZoneDown { zone, .. } => {
                let in_zone: Vec<u32> =
                    (0..servers).filter(|server| server % self.scenario.servers.zones == zone).collect();
                if starts {
                    self.reset_attempts_on(&in_zone);
                    in_zone.iter().for_each(|&server| self.servers.down(server));
                } else {
                    in_zone.iter().for_each(|&server| self.servers.replace(server, now));
                }
                self.list_changed();
            }
            Trouble::Partition { zone, .. } => self.network.cut_off(zone, starts),
            Trouble::Slow { share, factor, .. } => {
                let hit = if starts { self.pick(index, servers, share) } else { earlier };
                hit.into_iter()
                    .for_each(|server| self.servers.set_slow(server, if starts { factor } else { 1.0 }));
            }
            Trouble::Fail { share, error_share, .. } => {
                let usual = self.servers.usual_errors();
                let hit = if starts { self.pick(index, servers, share) } else { earlier };
                hit.into_iter().for_each(|server| {
                    self.servers.set_errors(server, if starts { error_share } else { usual })
                });
            }
            Trouble::Pause { share, .. } if starts => {
                self.pick(index, servers, share).into_iter().for_each(|server| self.servers.pause(server));
            }
            Trouble::Pause { .. } => {
                for server in earlier {
                    let server_incarnation = self.servers.all[server as usize].incarnation;
                    for (attempt, disposition) in self.servers.resume(server) {
                        if let Disposition::Serving { after, ok } = disposition {
                            self.queue.after(after, Event::ServerFreed { server, server_incarnation });
                            self.answer(attempt, after, if ok { End::Ok } else { End::Error });
                        }
                    }
                }
            }
            Trouble::Replace { share, seconds, .. } if starts => {
                let hit = self.pick(index, servers, share);
                let step = nanos(seconds) / (hit.len() as Nanos).max(1);
                for (at, server) in hit.into_iter().enumerate() {
                    self.queue.after(step * at as Nanos, Event::Replace { server });
                }
            }
            Trouble::Replace { .. } => {}
            Trouble::Burst { factor, .. } => self.clients.burst = if starts { factor.max(0.0) } else { 1.0 },
            Trouble::ListLate { delay_ms, .. } => {
                self.list_late = if starts { nanos(delay_ms / 1e3) } else { 0 }
            }
        }
    }

    fn pick_running(&mut self, index: usize, share: f64) -> Vec<u32> {
        let running: Vec<u32> =
            (0..self.scenario.gateways).filter(|at| self.gateways[*at as usize].lifecycle.runs()).collect();
        let picked = self.pick(index, running.len() as u32, share);
        picked.into_iter().map(|at| running[at as usize]).collect()
    }
}
