//! Executes the steps of the fault script.

use super::script::{Step, TimedStep};
use super::{Fleet, draw_customers};
use crate::{Nanos, SEC, nanos};
use rustix::process::{Signal, kill_process};
use standins::discovery::Mode;
use standins::process::{Program, throttle};
use standins::servers::Health;
use std::time::{Duration, Instant};

/// How long a server drains before it leaves.
const LEAVE_DRAIN: Nanos = SEC;
/// Version of the settings with the larger fleet size, and the number of leases between its distribution and its start.
const GROWN_VERSION: u64 = 2;
const GROWN_START_DELAY_LEASES: f64 = 3.0;

fn step_error(e: std::io::Error) -> String {
    format!("a step of the script failed: {e}")
}

impl Fleet<'_> {
    /// Executes a step. Returns the follow-up step, if there is one, with its time.
    pub(super) fn execute(&mut self, step: Step) -> Result<Option<TimedStep>, String> {
        match step {
            Step::Signal { gateways, signal } => self.signal(gateways, signal)?,
            Step::Pause { gateways, duration } => self.pause(&gateways, duration)?,
            Step::Throttle { gateways, duration, core_share } => {
                self.throttle(&gateways, duration, core_share)
            }
            Step::KillLate { gateways, min_age } => self.kill_overdue(&gateways, min_age)?,
            Step::Reload { gateways } => self.reload(&gateways)?,
            Step::Start { gateways, wait_for_exit } => {
                // If faults overlap, another one may have started the process again already; it is left alone then.
                let mut can_start = |gateway: &usize| {
                    let state = &mut self.gateways[*gateway];
                    let ended = state.program.as_mut().is_none_or(|program| program.exit_status().is_some());
                    ended || wait_for_exit && state.term_sent_at.is_some()
                };
                let gateways: Vec<usize> =
                    gateways.into_iter().filter(|gateway| can_start(gateway)).collect();
                gateways.iter().for_each(|gateway| self.wait_for_exit(*gateway, true));
                self.start_gateways(&gateways)?;
            }
            Step::Grow { count, share } => return self.add_gateways(count, share).map(Some),
            Step::PlaceCustomers => {
                let customers = draw_customers(self.scenario, self.gateways.len());
                self.load_generator.with(move |generator, _| generator.set_customers(customers));
            }
            Step::ReplaceServer { server, drain_time } => {
                let removal = self.drain_server(server, drain_time);
                self.add_ready_server()?;
                return Ok(Some(TimedStep { at: self.clock.now() + drain_time, ..removal }));
            }
            Step::JoinServer => self.add_ready_server()?,
            Step::LeaveServer => {
                let last = (0..self.entries.len()).rfind(|index| self.entries[*index].status == "ready");
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
                self.counter.with(move |counter, io| counter.set_state(io, state)).map_err(step_error)?;
            }
            Step::EmptyCounter => self.counter.with(|counter, _| counter.clear()),
            Step::Crowd { rate } => {
                self.load_generator.with(move |generator, io| generator.set_silent_connection_rate(io, rate))
            }
            Step::Burst { factor } => {
                self.load_generator.with(move |generator, _| generator.set_rate_factor(factor))
            }
            Step::Links { links, faults } => {
                self.relays.with(move |relays, io| {
                    links.into_iter().for_each(|link| relays.set_faults(io, link, faults));
                });
            }
        }
        Ok(None)
    }

    /// Counts a step by its kind, and for a signal, server health, agent mode or counter state also by its value.
    pub(super) fn count_step(&mut self, step: &Step) {
        let name = |value: &dyn std::fmt::Debug| -> String {
            let text = format!("{value:?}");
            text.chars().take_while(|character| character.is_alphanumeric()).collect()
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
            if program.exit_status().is_some() {
                continue; // another fault has ended this process already
            }
            let now = self.clock.now();
            program.send_signal(signal).map_err(step_error)?;
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

    /// Stops processes, and resumes them from a separate thread so that the length of the pause does not depend on the steps
    /// that follow.
    fn pause(&mut self, gateways: &[usize], duration: Nanos) -> Result<(), String> {
        let mut paused = Vec::new();
        for gateway in gateways {
            let Some(program) = &mut self.gateways[*gateway].program else { continue };
            if program.exit_status().is_none() {
                program.send_signal(Signal::STOP).map_err(step_error)?;
                paused.push(program.pid());
            }
        }
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_nanos(duration));
            // A process may have been killed in the meantime, which is not an error.
            for pid in paused.into_iter().flatten() {
                let _ = kill_process(pid, Signal::CONT);
            }
        });
        Ok(())
    }

    /// Lets processes run only for a share of a core.
    fn throttle(&mut self, gateways: &[usize], duration: Nanos, core_share: f64) {
        let programs = gateways.iter().filter_map(|gateway| self.gateways[*gateway].program.as_ref());
        let processes = programs.filter_map(Program::pidfd).collect();
        let end = Instant::now() + Duration::from_nanos(duration);
        throttle(processes, core_share, move || Instant::now() < end);
    }

    /// Kills the processes that received SIGTERM at least `min_age` ago and are still running, and records each as a crash.
    fn kill_overdue(&mut self, gateways: &[usize], min_age: Nanos) -> Result<(), String> {
        let now = self.clock.now();
        for gateway in gateways {
            if self.gateways[*gateway].term_sent_at.is_none_or(|term_sent_at| now < term_sent_at + min_age) {
                continue; // this process started after the SIGTERM that the step refers to
            }
            let Some(program) = &mut self.gateways[*gateway].program else { continue };
            if program.exit_status().is_none() {
                program.send_signal(Signal::KILL).map_err(step_error)?;
                let number = self.gateways[*gateway].number;
                self.crashed.push(format!("n{number} was still running when it was killed"));
                self.wait_for_exit(*gateway, false);
            }
        }
        Ok(())
    }

    /// Writes new configuration files and sends SIGHUP.
    fn reload(&mut self, gateways: &[usize]) -> Result<(), String> {
        for gateway in gateways {
            let text = self.configuration_text(*gateway);
            let Some(program) = &mut self.gateways[*gateway].program else { continue };
            if program.exit_status().is_none() {
                program.rewrite_config(&text);
                program.send_signal(Signal::HUP).map_err(step_error)?;
            }
        }
        Ok(())
    }

    /// Starts `count` more gateways and reloads a share of the existing ones with the larger fleet size. Returns the step that
    /// moves the customers to the new fleet.
    fn add_gateways(&mut self, count: usize, share: f64) -> Result<TimedStep, String> {
        let old_size = self.gateways.len();
        let new_size = old_size + count;
        for number in old_size..new_size {
            self.add_gateway(number, new_size).map_err(step_error)?;
        }
        // With versioned settings the new version takes effect on all gateways at once; customers move after that.
        let start_delay = self
            .scenario
            .agreement
            .as_ref()
            .map(|agreement| nanos(GROWN_START_DELAY_LEASES * agreement.lease));
        let starts_ms =
            start_delay.map_or(0, |start_delay| self.clock.unix_ms(self.clock.now() + start_delay));
        let reloaded = (old_size as f64 * share).round() as usize;
        for gateway in (0..reloaded).chain(old_size..new_size) {
            (self.gateways[gateway].version, self.gateways[gateway].version_starts_ms) =
                (GROWN_VERSION, starts_ms);
        }
        for gateway in (0..reloaded).filter(|gateway| *gateway < old_size) {
            self.gateways[gateway].fleet_size = new_size;
            let text = self.configuration_text(gateway);
            if let Some(program) = &self.gateways[gateway].program {
                program.rewrite_config(&text);
                program.send_signal(Signal::HUP).map_err(step_error)?;
            }
        }
        self.start_gateways(&(old_size..new_size).collect::<Vec<_>>())?;
        let at = self.clock.now() + start_delay.map_or(0, |start_delay| 2 * start_delay);
        Ok(TimedStep { at, step: Step::PlaceCustomers })
    }

    /// Lists a server as draining. Returns the step that removes it after `drain_time`.
    fn drain_server(&mut self, server: usize, drain_time: Nanos) -> TimedStep {
        self.set_status(server, "draining");
        TimedStep { at: self.clock.now() + drain_time, step: Step::ServerGone { server } }
    }

    /// Adds a cold server like those of the first group and lists it as ready.
    fn add_ready_server(&mut self) -> Result<(), String> {
        let group = self.scenario.servers[0].clone();
        let added = self.add_server(&group, false);
        let number = added.map_err(|e| format!("can't add a server: {e}"))?;
        self.set_status(number, "ready");
        Ok(())
    }

    fn set_health(&mut self, server: usize, health: Health) -> Result<(), String> {
        self.servers.with(move |servers, io| servers.set_health(io, server, health)).map_err(step_error)
    }

    /// Sets the health of servers and records since when they are ready.
    fn change_health(&mut self, servers: Vec<usize>, health: Health) -> Result<(), String> {
        for server in servers {
            self.set_health(server, health)?;
            self.record_readiness(server, health != Health::Down && health != Health::Silent);
            if health == Health::Well {
                let since = self.servers.with(move |servers, _| servers.started_at(server));
                let since_ms = if since == 0 { 0 } else { self.clock.unix_ms(since) };
                self.entries[server].since_ms = since_ms;
            }
        }
        Ok(())
    }

    /// Sets the mode of discovery agents, and reverts their lists by `versions_back` versions if that is above 0.
    fn set_agents(&mut self, agents: Vec<usize>, mode: Mode, versions_back: u64) -> Result<(), String> {
        for agent in agents {
            let set = self.discovery.with(move |discovery, io| {
                let version = (versions_back > 0).then(|| discovery.index().saturating_sub(versions_back));
                discovery.set_mode(io, agent, mode, version)
            });
            set.map_err(step_error)?;
        }
        Ok(())
    }
}
