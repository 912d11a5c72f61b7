//! The events of a scenario, step by step: what happens to servers, gateways, control machines and regions.

use super::discovery::Status;
use super::fleet::{Event, Fleet};
use super::rpcs::HOME_REGION;
use super::scenario::ScenarioEvent;
use super::{Nanos, nanos};
use lab::lifecycle::sample_share;
use rand::Rng;

const MS: Nanos = 1_000_000;
/// A ready server is drawn so often before the whole list is looked through.
const DRAWS_MOST: usize = 64;

/// One thing to do at a time.
#[derive(Clone, Debug)]
pub enum Step {
    /// A server that is drawn now fails or is restarted.
    ChurnServer {
        fail_share: f64,
        drain: Nanos,
        down: Nanos,
    },
    /// Servers of a zone that is drawn now fail together.
    FailRack {
        servers: usize,
        delisted_after: Nanos,
        down: Nanos,
    },
    /// These servers fail now, are told to be gone after a while and come back.
    FailServers {
        servers: Vec<u32>,
        delisted_after: Nanos,
        down: Nanos,
    },
    /// The list says this of them from now on.
    SetStatus {
        servers: Vec<u32>,
        status: Status,
    },
    /// They go out of service, and the list says so.
    RemoveServers {
        servers: Vec<u32>,
    },
    /// They start anew.
    RestoreServers {
        servers: Vec<u32>,
    },
    /// A server drains, `new` takes its place, and it goes.
    ReplaceServer {
        old: u32,
        new: u32,
        drain: Nanos,
    },
    PublishVersion,
    IsolateRegion {
        region: Option<usize>,
    },
    KillGateways {
        share: f64,
        first: usize,
        down: Nanos,
    },
    StartGateways {
        gateways: Vec<usize>,
    },
    StopAgents {
        share: f64,
        seconds: Nanos,
    },
    RestartAgents {
        gateways: Vec<usize>,
    },
    StallCounter {
        stalled: bool,
    },
}

impl Fleet<'_> {
    /// Puts all steps of the scenario's events on the clock.
    pub(super) fn schedule_events(&mut self, from: Nanos) {
        let mut spare = self.scenario.servers as u32;
        for event in &self.scenario.events {
            for (at, step) in self.steps(event, &mut spare) {
                self.queue.schedule_at(from + at, Event::Step(step));
            }
        }
    }

    /// The steps of an event that are known beforehand; `spare` is the next server that is not listed yet.
    fn steps(&mut self, event: &ScenarioEvent, spare: &mut u32) -> Vec<(Nanos, Step)> {
        let every = |at: f64, seconds: f64, gap: f64, step: Step| -> Vec<(Nanos, Step)> {
            let count = (seconds / gap).ceil() as usize;
            (0..count).map(|nth| (nanos(at + nth as f64 * gap), step.clone())).collect()
        };
        match event {
            ScenarioEvent::Churn { at, seconds, every: gap, fail_share, drain, down } => {
                let (drain, down) = (nanos(*drain), nanos(*down));
                every(*at, *seconds, *gap, Step::ChurnServer { fail_share: *fail_share, drain, down })
            }
            ScenarioEvent::Rack { at, servers, delisted_after, down } => {
                let (delisted_after, down) = (nanos(*delisted_after), nanos(*down));
                vec![(nanos(*at), Step::FailRack { servers: *servers, delisted_after, down })]
            }
            ScenarioEvent::ZoneDown { at, zone, delisted_after, seconds } => {
                let names = self.scenario.zone_names();
                let zone = names.iter().position(|name| name == zone).unwrap_or(0);
                let servers = (0..self.scenario.servers).filter(|server| server % names.len() == zone);
                let servers = servers.map(|server| server as u32).collect();
                let (delisted_after, down) = (nanos(*delisted_after), nanos(*seconds));
                vec![(nanos(*at), Step::FailServers { servers, delisted_after, down })]
            }
            ScenarioEvent::Replace { at, share, seconds, drain } => {
                let old = sample_share(self.scenario.servers as u32, *share, &mut self.rng);
                let gap = seconds / old.len().max(1) as f64;
                let drain = nanos(*drain);
                let each = old.into_iter().enumerate().map(|(nth, old)| {
                    *spare += 1;
                    (nanos(at + gap * nth as f64), Step::ReplaceServer { old, new: *spare - 1, drain })
                });
                each.collect()
            }
            ScenarioEvent::Versions { at, seconds, every: gap } => {
                every(*at, *seconds, *gap, Step::PublishVersion)
            }
            ScenarioEvent::RegionIsolated { at, region, seconds } => vec![
                (nanos(*at), Step::IsolateRegion { region: Some(*region) }),
                (nanos(at + seconds), Step::IsolateRegion { region: None }),
            ],
            ScenarioEvent::RestartGateways { at, share, down } => {
                vec![(nanos(*at), Step::KillGateways { share: *share, first: 0, down: nanos(*down) })]
            }
            ScenarioEvent::VotersLost { at, count, down } => {
                vec![(nanos(*at), Step::KillGateways { share: 0.0, first: *count, down: nanos(*down) })]
            }
            ScenarioEvent::AgentsLost { at, share, seconds } => {
                vec![(nanos(*at), Step::StopAgents { share: *share, seconds: nanos(*seconds) })]
            }
            ScenarioEvent::CounterStalled { at, seconds } => vec![
                (nanos(*at), Step::StallCounter { stalled: true }),
                (nanos(at + seconds), Step::StallCounter { stalled: false }),
            ],
        }
    }

    /// Does one step; what it puts off goes on the clock.
    pub(super) fn run_step(&mut self, now: Nanos, step: Step) {
        match step {
            Step::ChurnServer { fail_share, drain, down } => self.churn(now, fail_share, drain, down),
            Step::FailRack { servers, delisted_after, down } => {
                let zone = self.rng.random_range(0..self.scenario.zones);
                let of_zone = (0..self.scenario.servers as u32).filter(|server| {
                    *server as usize % self.scenario.zones == zone && self.is_ready(*server)
                });
                let servers = of_zone.take(servers).collect();
                self.fail(now, servers, delisted_after, down);
            }
            Step::FailServers { servers, delisted_after, down } => {
                self.fail(now, servers, delisted_after, down)
            }
            Step::SetStatus { servers, status } => {
                servers.iter().for_each(|server| self.list(now, *server, status))
            }
            Step::RemoveServers { servers } => {
                for server in servers {
                    self.servers.take_down(server);
                    self.list(now, server, Status::Gone);
                }
            }
            Step::RestoreServers { servers } => {
                for server in servers {
                    self.servers.replace(server, now);
                    self.list(now, server, Status::Ready);
                }
            }
            Step::ReplaceServer { old, new, drain } => {
                self.list(now, old, Status::Draining);
                self.servers.replace(new, now);
                self.list(now, new, Status::Ready);
                self.queue.schedule_after(drain, Event::Step(Step::RemoveServers { servers: vec![old] }));
            }
            Step::PublishVersion => self.publish_version(now),
            Step::IsolateRegion { region } => self.cut_region(now, region),
            Step::KillGateways { share, first, down } => self.kill_gateways(share, first, down),
            Step::StartGateways { gateways } => {
                gateways.into_iter().for_each(|gateway| self.start_gateway(now, gateway, false));
            }
            Step::StopAgents { share, seconds } => self.lose_machines(now, share, seconds),
            Step::RestartAgents { gateways } => {
                gateways.into_iter().for_each(|gateway| self.discovery.set_agent_up(gateway, true));
            }
            Step::StallCounter { stalled } => self.counter.stalled = stalled,
        }
    }

    // ---- Servers

    fn is_ready(&self, server: u32) -> bool {
        self.discovery.status(server) == Status::Ready && self.servers.all[server as usize].up
    }

    fn list(&mut self, now: Nanos, server: u32, status: Status) {
        let came_up = self.servers.all[server as usize].started_at;
        self.counts.list_changes += u64::from(now >= self.measured.from);
        for write in self.discovery.record_change(now, server, status, came_up / MS) {
            self.queue.schedule_at(write.at, Event::AgentWrite { agent: write.agent });
        }
    }

    fn churn(&mut self, now: Nanos, fail_share: f64, drain: Nanos, down: Nanos) {
        let count = self.discovery.server_count() as u32;
        let drawn = (0..DRAWS_MOST).map(|_| self.rng.random_range(0..count)).collect::<Vec<_>>();
        let Some(server) = drawn.into_iter().chain(0..count).find(|server| self.is_ready(*server)) else {
            return;
        };
        let servers = vec![server];
        if self.rng.random::<f64>() < fail_share {
            return self.fail(now, servers, drain, down);
        }
        self.list(now, server, Status::Draining);
        self.queue.schedule_after(drain, Event::Step(Step::RemoveServers { servers: servers.clone() }));
        self.queue.schedule_after(down, Event::Step(Step::RestoreServers { servers }));
    }

    fn fail(&mut self, now: Nanos, servers: Vec<u32>, delisted_after: Nanos, down: Nanos) {
        servers.iter().for_each(|server| self.servers.take_down(*server));
        let told = Step::SetStatus { servers: servers.clone(), status: Status::Gone };
        self.queue.schedule_at(now + delisted_after, Event::Step(told));
        self.queue.schedule_at(now + down, Event::Step(Step::RestoreServers { servers }));
    }

    // ---- Gateways, control machines and regions

    fn kill_gateways(&mut self, share: f64, first: usize, down: Nanos) {
        let drawn = sample_share(self.nodes.len() as u32, share, &mut self.rng);
        let gateways: Vec<usize> = (0..first).chain(drawn.into_iter().map(|at| at as usize)).collect();
        gateways.iter().for_each(|gateway| self.kill_gateway(*gateway));
        self.queue.schedule_after(down, Event::Step(Step::StartGateways { gateways }));
    }

    fn lose_machines(&mut self, now: Nanos, share: f64, seconds: Nanos) {
        let machines = sample_share(self.scenario.control_machines as u32, share, &mut self.rng);
        let lost = |gateway: &usize| machines.contains(&((gateway % self.scenario.control_machines) as u32));
        let gateways: Vec<usize> = (0..self.nodes.len()).filter(lost).collect();
        for gateway in &gateways {
            self.discovery.set_agent_up(*gateway, false);
            let life = self.nodes[*gateway].incarnation;
            let watches = self.nodes[*gateway].running.as_ref().is_some_and(|hollow| hollow.is_watching);
            if watches {
                self.retry_watch(now, *gateway, life);
            }
        }
        self.queue.schedule_after(seconds, Event::Step(Step::RestartAgents { gateways }));
    }

    fn cut_region(&mut self, now: Nanos, region: Option<usize>) {
        self.isolated_region = region;
        for gateway in 0..self.nodes.len() {
            let cut = self.is_partitioned(self.nodes[gateway].region, HOME_REGION);
            let was = self.discovery.is_disconnected(gateway);
            self.discovery.set_disconnected(gateway, cut);
            if was && !cut {
                self.schedule_agent_write(now, gateway);
            }
        }
    }
}
