//! Executes a scenario's events as timed steps that change servers, gateways, discovery agents, regions and the counter.

use super::discovery::Status;
use super::fleet::{Event, Fleet};
use super::rpcs::HOME_REGION;
use super::scenario::ScenarioEvent;
use super::{Nanos, nanos};
use lab::lifecycle::sample_share;
use rand::Rng;

const MS: Nanos = 1_000_000;
/// Number of random draws for a ready server before all servers are searched in order.
const MAX_DRAWS: usize = 64;

/// A step of an event, executed at a given time.
#[derive(Clone, Debug)]
pub enum Step {
    /// A random ready server fails or is restarted.
    ChurnServer { fail_share: f64, drain: Nanos, down: Nanos },
    /// Servers of a random zone fail at once.
    FailRack { servers: usize, delisted_after: Nanos, down: Nanos },
    /// The servers fail now, are delisted later and then restart.
    FailServers { servers: Vec<u32>, delisted_after: Nanos, down: Nanos },
    /// The servers' status in the list changes.
    SetStatus { servers: Vec<u32>, status: Status },
    /// The servers stop and are delisted.
    RemoveServers { servers: Vec<u32> },
    /// The servers start in a new incarnation and are listed as ready.
    RestoreServers { servers: Vec<u32> },
    /// The server `old` drains while `new` is listed, and then stops.
    ReplaceServer { old: u32, new: u32, drain: Nanos },
    /// A new version of the settings is published.
    PublishVersion,
    /// The region loses its connection to all others; `None` reconnects it.
    IsolateRegion { region: Option<usize> },
    /// A random share of the gateways and the `first` ones of the fleet are killed, and restarted after `down`.
    KillGateways { share: f64, first: usize, down: Nanos },
    /// Killed gateways start again.
    StartGateways { gateways: Vec<usize> },
    /// The discovery agents on a random share of the control machines stop.
    StopAgents { share: f64, seconds: Nanos },
    /// The discovery agents of these gateways run again.
    RestartAgents { gateways: Vec<usize> },
    /// The counter stops or resumes replying.
    StallCounter { stalled: bool },
}

impl Fleet<'_> {
    /// Schedules the steps of all events of the scenario, relative to `from`.
    pub(super) fn schedule_events(&mut self, from: Nanos) {
        let mut next_spare = self.scenario.servers as u32;
        for event in &self.scenario.events {
            for (at, step) in self.steps(event, &mut next_spare) {
                self.queue.schedule_at(from + at, Event::Step(step));
            }
        }
    }

    /// Returns an event's initial steps; executing them may schedule more. `next_spare` is the next server that is not listed
    /// yet.
    fn steps(&mut self, event: &ScenarioEvent, next_spare: &mut u32) -> Vec<(Nanos, Step)> {
        let repeat = |at: f64, seconds: f64, interval: f64, step: Step| -> Vec<(Nanos, Step)> {
            let count = (seconds / interval).ceil() as usize;
            (0..count).map(|nth| (nanos(at + nth as f64 * interval), step.clone())).collect()
        };
        match event {
            ScenarioEvent::Churn { at, seconds, every: interval, fail_share, drain, down } => {
                let (drain, down) = (nanos(*drain), nanos(*down));
                repeat(*at, *seconds, *interval, Step::ChurnServer { fail_share: *fail_share, drain, down })
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
                let interval = seconds / old.len().max(1) as f64;
                let drain = nanos(*drain);
                let steps = old.into_iter().enumerate().map(|(nth, old)| {
                    *next_spare += 1;
                    (
                        nanos(at + interval * nth as f64),
                        Step::ReplaceServer { old, new: *next_spare - 1, drain },
                    )
                });
                steps.collect()
            }
            ScenarioEvent::Versions { at, seconds, every: interval } => {
                repeat(*at, *seconds, *interval, Step::PublishVersion)
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

    /// Executes a step and schedules the steps that follow from it.
    pub(super) fn run_step(&mut self, now: Nanos, step: Step) {
        match step {
            Step::ChurnServer { fail_share, drain, down } => self.churn_server(now, fail_share, drain, down),
            Step::FailRack { servers, delisted_after, down } => {
                let zone = self.rng.random_range(0..self.scenario.zones);
                let candidates = (0..self.scenario.servers as u32).filter(|server| {
                    *server as usize % self.scenario.zones == zone && self.is_ready(*server)
                });
                let servers = candidates.take(servers).collect();
                self.fail_servers(now, servers, delisted_after, down);
            }
            Step::FailServers { servers, delisted_after, down } => {
                self.fail_servers(now, servers, delisted_after, down)
            }
            Step::SetStatus { servers, status } => {
                servers.iter().for_each(|server| self.set_status(now, *server, status))
            }
            Step::RemoveServers { servers } => {
                for server in servers {
                    self.servers.take_down(server);
                    self.set_status(now, server, Status::Gone);
                }
            }
            Step::RestoreServers { servers } => {
                for server in servers {
                    self.servers.replace(server, now);
                    self.set_status(now, server, Status::Ready);
                }
            }
            Step::ReplaceServer { old, new, drain } => {
                self.set_status(now, old, Status::Draining);
                self.servers.replace(new, now);
                self.set_status(now, new, Status::Ready);
                self.queue.schedule_after(drain, Event::Step(Step::RemoveServers { servers: vec![old] }));
            }
            Step::PublishVersion => self.publish_version(now),
            Step::IsolateRegion { region } => self.isolate_region(now, region),
            Step::KillGateways { share, first, down } => self.kill_gateways(share, first, down),
            Step::StartGateways { gateways } => {
                gateways.into_iter().for_each(|gateway| self.start_gateway(now, gateway, false));
            }
            Step::StopAgents { share, seconds } => self.stop_agents(now, share, seconds),
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

    /// Changes a server's status in the list and schedules the agents' writes.
    fn set_status(&mut self, now: Nanos, server: u32, status: Status) {
        let started_at = self.servers.all[server as usize].started_at;
        self.counts.list_changes += u64::from(now >= self.measured.from);
        for write in self.discovery.record_change(now, server, status, started_at / MS) {
            self.queue.schedule_at(write.at, Event::AgentWrite { agent: write.agent });
        }
    }

    fn churn_server(&mut self, now: Nanos, fail_share: f64, drain: Nanos, down: Nanos) {
        let count = self.discovery.server_count() as u32;
        let drawn = (0..MAX_DRAWS).map(|_| self.rng.random_range(0..count)).collect::<Vec<_>>();
        let Some(server) = drawn.into_iter().chain(0..count).find(|server| self.is_ready(*server)) else {
            return;
        };
        let servers = vec![server];
        if self.rng.random::<f64>() < fail_share {
            return self.fail_servers(now, servers, drain, down);
        }
        self.set_status(now, server, Status::Draining);
        self.queue.schedule_after(drain, Event::Step(Step::RemoveServers { servers: servers.clone() }));
        self.queue.schedule_after(down, Event::Step(Step::RestoreServers { servers }));
    }

    fn fail_servers(&mut self, now: Nanos, servers: Vec<u32>, delisted_after: Nanos, down: Nanos) {
        servers.iter().for_each(|server| self.servers.take_down(*server));
        let delist = Step::SetStatus { servers: servers.clone(), status: Status::Gone };
        self.queue.schedule_at(now + delisted_after, Event::Step(delist));
        self.queue.schedule_at(now + down, Event::Step(Step::RestoreServers { servers }));
    }

    // ---- Gateways, control machines and regions

    fn kill_gateways(&mut self, share: f64, first: usize, down: Nanos) {
        let drawn = sample_share(self.nodes.len() as u32, share, &mut self.rng);
        let gateways: Vec<usize> = (0..first).chain(drawn.into_iter().map(|index| index as usize)).collect();
        gateways.iter().for_each(|gateway| self.kill_gateway(*gateway));
        self.queue.schedule_after(down, Event::Step(Step::StartGateways { gateways }));
    }

    fn stop_agents(&mut self, now: Nanos, share: f64, seconds: Nanos) {
        let machines = sample_share(self.scenario.control_machines as u32, share, &mut self.rng);
        let affected =
            |gateway: &usize| machines.contains(&((gateway % self.scenario.control_machines) as u32));
        let gateways: Vec<usize> = (0..self.nodes.len()).filter(affected).collect();
        for gateway in &gateways {
            self.discovery.set_agent_up(*gateway, false);
            let incarnation = self.nodes[*gateway].incarnation;
            let is_watching =
                self.nodes[*gateway].running.as_ref().is_some_and(|gateway| gateway.is_watching);
            if is_watching {
                self.retry_watch(now, *gateway, incarnation);
            }
        }
        self.queue.schedule_after(seconds, Event::Step(Step::RestartAgents { gateways }));
    }

    fn isolate_region(&mut self, now: Nanos, region: Option<usize>) {
        self.isolated_region = region;
        for gateway in 0..self.nodes.len() {
            let disconnected = self.is_partitioned(self.nodes[gateway].region, HOME_REGION);
            let was_disconnected = self.discovery.is_disconnected(gateway);
            self.discovery.set_disconnected(gateway, disconnected);
            if was_disconnected && !disconnected {
                self.schedule_agent_write(now, gateway);
            }
        }
    }
}
