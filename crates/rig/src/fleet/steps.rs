//! The steps of the script, carried out.

use super::script::{Step, TimedStep};
use super::{Fleet, draw_customers};
use crate::{Nanos, SEC, nanos};
use rustix::process::{PidfdFlags, Signal, kill_process, pidfd_open, pidfd_send_signal};
use standins::discovery::Mode;
use standins::process::Program;
use standins::servers::Health;
use std::os::fd::OwnedFd;
use std::time::{Duration, Instant};

/// A process that has a part of a core stands still for the rest of each of these.
const THROTTLE_PERIOD: Duration = Duration::from_millis(10);
/// How long a server that leaves drains.
const LEAVE_DRAIN: Nanos = SEC;
/// A grown fleet's settings are the second version, and start so many leases after they are told.
const GROWN_VERSION: u64 = 2;
const GROWN_START_DELAY_LEASES: f64 = 3.0;

fn step_error(e: std::io::Error) -> String {
    format!("a step of the script failed: {e}")
}

impl Fleet<'_> {
    /// Carries a step out; what it puts off comes back with its time.
    pub(super) fn execute(&mut self, step: Step) -> Result<Option<TimedStep>, String> {
        match step {
            Step::Signal { gateways, signal } => self.signal(gateways, signal)?,
            Step::Pause { gateways, duration: time } => self.pause(&gateways, time)?,
            Step::Throttle { gateways, duration: time, core_share: core } => {
                self.throttle(&gateways, time, core)
            }
            Step::KillLate { gateways, min_age: after } => self.kill_overdue(&gateways, after)?,
            Step::Reload { gateways } => self.reload(&gateways)?,
            Step::Start { gateways, wait_for_exit: awaits_end } => {
                // Where faults overlap another one may have started it already: the script waits for nobody then.
                let mut stands = |gateway: &usize| {
                    let at = &mut self.gateways[*gateway];
                    let ended = at.program.as_mut().is_none_or(|program| program.ended().is_some());
                    ended || awaits_end && at.term_sent_at.is_some()
                };
                let gateways: Vec<usize> = gateways.into_iter().filter(|gateway| stands(gateway)).collect();
                gateways.iter().for_each(|gateway| self.wait_for_exit(*gateway, true));
                self.start_gateways(&gateways)?;
            }
            Step::Grow { count, share } => return self.add_gateways(count, share).map(Some),
            Step::PlaceCustomers => {
                let customers = draw_customers(self.scenario, self.gateways.len());
                self.load_generator.with(move |front, _| front.set_customers(customers));
            }
            Step::ReplaceServer { server, drain_time: drain } => {
                let gone = self.drain_server(server, drain);
                self.add_ready_server()?;
                return Ok(Some(TimedStep { at: self.clock.now() + drain, ..gone }));
            }
            Step::JoinServer => self.add_ready_server()?,
            Step::LeaveServer => {
                let last = (0..self.entries.len()).rfind(|at| self.entries[*at].status == "ready");
                return Ok(last.map(|last| self.drain_server(last, LEAVE_DRAIN)));
            }
            Step::ServerGone { server } => {
                self.set_status(server, "gone");
                self.set_health(server, Health::Down)?;
            }
            Step::ServerHealth { servers, health } => self.change_health(servers, health)?,
            Step::ListServers { servers, status } => {
                servers.into_iter().for_each(|server| self.set_status(server, status));
            }
            Step::Agents { agents, mode, versions_back } => self.set_agents(agents, mode, versions_back)?,
            Step::CounterState(state) => {
                self.counter.with(move |counter, io| counter.become_(io, state)).map_err(step_error)?;
            }
            Step::EmptyCounter => self.counter.with(|counter, _| counter.empty()),
            Step::Crowd { rate } => {
                self.load_generator.with(move |front, io| front.set_silent_connection_rate(io, rate))
            }
            Step::Burst { factor } => self.load_generator.with(move |front, _| front.set_rate_factor(factor)),
            Step::Links { links, faults } => {
                self.relays.with(move |relays, io| {
                    links.into_iter().for_each(|link| relays.set(io, link, faults));
                });
            }
        }
        Ok(None)
    }

    /// Notes that a step is carried out, by its kind and, of a signal, a health or a mode, which.
    pub(super) fn count_step(&mut self, step: &Step) {
        let name = |value: &dyn std::fmt::Debug| -> String {
            let shown = format!("{value:?}");
            shown.chars().take_while(|letter| letter.is_alphanumeric()).collect()
        };
        let kind = name(step);
        let detail = match step {
            Step::Signal { signal: Signal::TERM, .. } => " SIGTERM".to_string(),
            Step::Signal { .. } => " SIGKILL".to_string(),
            Step::ServerHealth { health, .. } => format!(" {}", name(health)),
            Step::Agents { mode, .. } => format!(" {}", name(mode)),
            Step::CounterState(state) => format!(" {}", name(state)),
            _ => String::new(),
        };
        *self.step_counts.entry(format!("{kind}{detail}")).or_default() += 1;
    }

    fn signal(&mut self, gateways: Vec<usize>, signal: Signal) -> Result<(), String> {
        for gateway in gateways {
            let Some(program) = &mut self.gateways[gateway].program else { continue };
            if program.ended().is_some() {
                continue; // another fault was first
            }
            let now = self.clock.now();
            program.send(signal).map_err(step_error)?;
            if signal == Signal::TERM {
                self.gateways[gateway].term_sent_at.get_or_insert(now);
            }
            if signal == Signal::KILL {
                self.killed.push((gateway, now));
                self.wait_for_exit(gateway, false);
            }
        }
        Ok(())
    }

    /// Stops processes and lets them go on from a thread of their own, so that they stand still for just so long.
    fn pause(&mut self, gateways: &[usize], time: Nanos) -> Result<(), String> {
        let mut paused = Vec::new();
        for gateway in gateways {
            let Some(program) = &mut self.gateways[*gateway].program else { continue };
            if program.ended().is_none() {
                program.send(Signal::STOP).map_err(step_error)?;
                paused.push(program.pid());
            }
        }
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_nanos(time));
            // One that was killed meanwhile is gone, which is no error here.
            for pid in paused.into_iter().flatten() {
                let _ = kill_process(pid, Signal::CONT);
            }
        });
        Ok(())
    }

    /// Lets processes run for a part of each [`THROTTLE_PERIOD`] only, from a thread of their own.
    fn throttle(&mut self, gateways: &[usize], time: Nanos, core: f64) {
        let programs = gateways.iter().filter_map(|gateway| self.gateways[*gateway].program.as_ref());
        // By descriptor: the number of one that ended meanwhile may be another process's.
        let open = |program: &Program| pidfd_open(program.pid()?, PidfdFlags::empty()).ok();
        let processes: Vec<OwnedFd> = programs.filter_map(open).collect();
        let runs = THROTTLE_PERIOD.mul_f64(core.clamp(0.0, 1.0));
        let over = Instant::now() + Duration::from_nanos(time);
        let all = move |signal| {
            for process in &processes {
                let _ = pidfd_send_signal(process, signal);
            }
        };
        std::thread::spawn(move || {
            while Instant::now() < over {
                all(Signal::STOP);
                std::thread::sleep(THROTTLE_PERIOD - runs);
                all(Signal::CONT);
                std::thread::sleep(runs);
            }
        });
    }

    /// Kills those that were told to end and have not, and keeps the log of those that have.
    fn kill_overdue(&mut self, gateways: &[usize], after: Nanos) -> Result<(), String> {
        let now = self.clock.now();
        for gateway in gateways {
            if self.gateways[*gateway].term_sent_at.is_none_or(|told| now < told + after) {
                continue; // it is another process than was told to end so long ago
            }
            let Some(program) = &mut self.gateways[*gateway].program else { continue };
            if program.ended().is_none() {
                program.send(Signal::KILL).map_err(step_error)?;
                let number = self.gateways[*gateway].number;
                self.crashed.push(format!("n{number} was still running when it was killed"));
                self.wait_for_exit(*gateway, false);
            }
        }
        Ok(())
    }

    fn reload(&mut self, gateways: &[usize]) -> Result<(), String> {
        for gateway in gateways {
            let text = self.configuration(*gateway);
            let Some(program) = &mut self.gateways[*gateway].program else { continue };
            if program.ended().is_none() {
                program.rewrite(&text);
                program.send(Signal::HUP).map_err(step_error)?;
            }
        }
        Ok(())
    }

    /// Starts so many more gateways, and tells a share of the old ones of the larger fleet; the customers follow later.
    fn add_gateways(&mut self, count: usize, share: f64) -> Result<TimedStep, String> {
        let was = self.gateways.len();
        let fleet = was + count;
        for number in was..fleet {
            self.add_gateway(number, fleet).map_err(step_error)?;
        }
        // With versions the new one holds for all at once, and the front follows then.
        let lead =
            self.scenario.agreement.as_ref().map(|terms| nanos(GROWN_START_DELAY_LEASES * terms.lease));
        let starts_ms = lead.map_or(0, |lead| self.clock.unix_ms(self.clock.now() + lead));
        let told_old = (was as f64 * share).round() as usize;
        for gateway in (0..told_old).chain(was..fleet) {
            (self.gateways[gateway].version, self.gateways[gateway].version_starts_ms) =
                (GROWN_VERSION, starts_ms);
        }
        for gateway in (0..told_old).filter(|gateway| *gateway < was) {
            self.gateways[gateway].fleet_size = fleet;
            let text = self.configuration(gateway);
            if let Some(program) = &self.gateways[gateway].program {
                program.rewrite(&text);
                program.send(Signal::HUP).map_err(step_error)?;
            }
        }
        self.start_gateways(&(was..fleet).collect::<Vec<_>>())?;
        let at = self.clock.now() + lead.map_or(0, |lead| 2 * lead);
        Ok(TimedStep { at, step: Step::PlaceCustomers })
    }

    /// Lists a server as draining; it is gone after that long.
    fn drain_server(&mut self, server: usize, drain: Nanos) -> TimedStep {
        self.set_status(server, "draining");
        TimedStep { at: self.clock.now() + drain, step: Step::ServerGone { server } }
    }

    fn add_ready_server(&mut self) -> Result<(), String> {
        let group = self.scenario.servers[0].clone();
        let added = self.add_server(&group, false);
        let number = added.map_err(|e| format!("can't add a server: {e}"))?;
        self.set_status(number, "ready");
        Ok(())
    }

    fn set_health(&mut self, server: usize, health: Health) -> Result<(), String> {
        self.servers.with(move |servers, io| servers.become_(io, server, health)).map_err(step_error)
    }

    fn change_health(&mut self, servers: Vec<usize>, health: Health) -> Result<(), String> {
        for server in servers {
            self.set_health(server, health)?;
            self.record_readiness(server, health != Health::Down && health != Health::Silent);
            if health == Health::Well {
                let since = self.servers.with(move |servers, _| servers.since(server));
                let since_ms = if since == 0 { 0 } else { self.clock.unix_ms(since) };
                self.entries[server].since_ms = since_ms;
            }
        }
        Ok(())
    }

    /// Sets what agents of discovery do, and throws their lists back by so many versions.
    fn set_agents(&mut self, agents: Vec<usize>, mode: Mode, versions_back: u64) -> Result<(), String> {
        for agent in agents {
            let set = self.discovery.with(move |discovery, io| {
                let to = (versions_back > 0).then(|| discovery.index().saturating_sub(versions_back));
                discovery.set(io, agent, mode, to)
            });
            set.map_err(step_error)?;
        }
        Ok(())
    }
}
