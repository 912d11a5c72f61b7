//! The steps of the script, carried out.

use super::script::{Step, TimedStep};
use super::{Fleet, customers};
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
const GROWN_LEAD_LEASES: f64 = 3.0;

fn failed(e: std::io::Error) -> String {
    format!("a step of the script failed: {e}")
}

impl Fleet<'_> {
    /// Carries a step out; what it puts off comes back with its time.
    pub(super) fn carry_out(&mut self, step: Step) -> Result<Option<TimedStep>, String> {
        match step {
            Step::Signal { gateways, signal } => self.signal(gateways, signal)?,
            Step::Pause { gateways, time } => self.pause(&gateways, time)?,
            Step::Throttle { gateways, time, core } => self.throttle(&gateways, time, core),
            Step::KillLate { gateways, after } => self.kill_late(&gateways, after)?,
            Step::Reload { gateways } => self.reload(&gateways)?,
            Step::Start { gateways, awaits_end } => {
                // Where faults overlap another one may have started it already: the script waits for nobody then.
                let mut stands = |gateway: &usize| {
                    let at = &mut self.gateways[*gateway];
                    let ended = at.program.as_mut().is_none_or(|program| program.exit_status().is_some());
                    ended || awaits_end && at.told_to_end.is_some()
                };
                let gateways: Vec<usize> = gateways.into_iter().filter(|gateway| stands(gateway)).collect();
                gateways.iter().for_each(|gateway| self.end(*gateway, true));
                self.start(&gateways)?;
            }
            Step::Grow { count, share } => return self.grow(count, share).map(Some),
            Step::PlaceCustomers => {
                let customers = customers(self.scenario, self.gateways.len());
                self.front.with(move |front, _| front.set_customers(customers));
            }
            Step::ReplaceServer { server, drain } => {
                let gone = self.drain_server(server, drain);
                self.join()?;
                return Ok(Some(TimedStep { at: self.clock.now() + drain, ..gone }));
            }
            Step::JoinServer => self.join()?,
            Step::LeaveServer => {
                let last = (0..self.listed.len()).rfind(|at| self.listed[*at].status == "ready");
                return Ok(last.map(|last| self.drain_server(last, LEAVE_DRAIN)));
            }
            Step::ServerGone { server } => {
                self.list(server, "gone");
                self.set_health(server, Health::Down)?;
            }
            Step::ServerHealth { servers, health } => self.change_health(servers, health)?,
            Step::ListServers { servers, status } => {
                servers.into_iter().for_each(|server| self.list(server, status));
            }
            Step::Agents { agents, mode, versions_back } => self.set_agents(agents, mode, versions_back)?,
            Step::CounterState(state) => {
                self.counter.with(move |counter, io| counter.set_state(io, state)).map_err(failed)?;
            }
            Step::EmptyCounter => self.counter.with(|counter, _| counter.clear()),
            Step::Crowd { rate } => {
                self.front.with(move |front, io| front.set_silent_connection_rate(io, rate))
            }
            Step::Burst { factor } => self.front.with(move |front, _| front.set_rate_factor(factor)),
            Step::Links { links, faults } => {
                self.relays.with(move |relays, io| {
                    links.into_iter().for_each(|link| relays.set_faults(io, link, faults));
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
        *self.steps_done.entry(format!("{kind}{detail}")).or_default() += 1;
    }

    fn signal(&mut self, gateways: Vec<usize>, signal: Signal) -> Result<(), String> {
        for gateway in gateways {
            let Some(program) = &mut self.gateways[gateway].program else { continue };
            if program.exit_status().is_some() {
                continue; // another fault was first
            }
            let now = self.clock.now();
            program.send_signal(signal).map_err(failed)?;
            if signal == Signal::TERM {
                self.gateways[gateway].told_to_end.get_or_insert(now);
            }
            if signal == Signal::KILL {
                self.killed.push((gateway, now));
                self.end(gateway, false);
            }
        }
        Ok(())
    }

    /// Stops processes and lets them go on from a thread of their own, so that they stand still for just so long.
    fn pause(&mut self, gateways: &[usize], time: Nanos) -> Result<(), String> {
        let mut paused = Vec::new();
        for gateway in gateways {
            let Some(program) = &mut self.gateways[*gateway].program else { continue };
            if program.exit_status().is_none() {
                program.send_signal(Signal::STOP).map_err(failed)?;
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
    fn kill_late(&mut self, gateways: &[usize], after: Nanos) -> Result<(), String> {
        let now = self.clock.now();
        for gateway in gateways {
            if self.gateways[*gateway].told_to_end.is_none_or(|told| now < told + after) {
                continue; // it is another process than was told to end so long ago
            }
            let Some(program) = &mut self.gateways[*gateway].program else { continue };
            if program.exit_status().is_none() {
                program.send_signal(Signal::KILL).map_err(failed)?;
                let number = self.gateways[*gateway].number;
                self.crashed.push(format!("n{number} was still running when it was killed"));
                self.end(*gateway, false);
            }
        }
        Ok(())
    }

    fn reload(&mut self, gateways: &[usize]) -> Result<(), String> {
        for gateway in gateways {
            let text = self.configuration(*gateway);
            let Some(program) = &mut self.gateways[*gateway].program else { continue };
            if program.exit_status().is_none() {
                program.rewrite_config(&text);
                program.send_signal(Signal::HUP).map_err(failed)?;
            }
        }
        Ok(())
    }

    /// Starts so many more gateways, and tells a share of the old ones of the larger fleet; the customers follow later.
    fn grow(&mut self, count: usize, share: f64) -> Result<TimedStep, String> {
        let was = self.gateways.len();
        let fleet = was + count;
        for number in was..fleet {
            self.add_gateway(number, fleet).map_err(failed)?;
        }
        // With versions the new one holds for all at once, and the front follows then.
        let lead = self.scenario.agreement.as_ref().map(|terms| nanos(GROWN_LEAD_LEASES * terms.lease));
        let starts_ms = lead.map_or(0, |lead| self.clock.unix_ms(self.clock.now() + lead));
        let told_old = (was as f64 * share).round() as usize;
        for gateway in (0..told_old).chain(was..fleet) {
            (self.gateways[gateway].version, self.gateways[gateway].starts_ms) = (GROWN_VERSION, starts_ms);
        }
        for gateway in (0..told_old).filter(|gateway| *gateway < was) {
            self.gateways[gateway].fleet = fleet;
            let text = self.configuration(gateway);
            if let Some(program) = &self.gateways[gateway].program {
                program.rewrite_config(&text);
                program.send_signal(Signal::HUP).map_err(failed)?;
            }
        }
        self.start(&(was..fleet).collect::<Vec<_>>())?;
        let at = self.clock.now() + lead.map_or(0, |lead| 2 * lead);
        Ok(TimedStep { at, step: Step::PlaceCustomers })
    }

    /// Lists a server as draining; it is gone after that long.
    fn drain_server(&mut self, server: usize, drain: Nanos) -> TimedStep {
        self.list(server, "draining");
        TimedStep { at: self.clock.now() + drain, step: Step::ServerGone { server } }
    }

    fn join(&mut self) -> Result<(), String> {
        let group = self.scenario.servers[0].clone();
        let added = self.add_server(&group, false);
        let number = added.map_err(|e| format!("can't add a server: {e}"))?;
        self.list(number, "ready");
        Ok(())
    }

    fn set_health(&mut self, server: usize, health: Health) -> Result<(), String> {
        self.servers.with(move |servers, io| servers.set_health(io, server, health)).map_err(failed)
    }

    fn change_health(&mut self, servers: Vec<usize>, health: Health) -> Result<(), String> {
        for server in servers {
            self.set_health(server, health)?;
            self.mark(server, health != Health::Down && health != Health::Silent);
            if health == Health::Well {
                let since = self.servers.with(move |servers, _| servers.started_at(server));
                let since_ms = if since == 0 { 0 } else { self.clock.unix_ms(since) };
                self.listed[server].since_ms = since_ms;
            }
        }
        Ok(())
    }

    /// Sets what agents of discovery do, and throws their lists back by so many versions.
    fn set_agents(&mut self, agents: Vec<usize>, mode: Mode, versions_back: u64) -> Result<(), String> {
        for agent in agents {
            let set = self.discovery.with(move |discovery, io| {
                let to = (versions_back > 0).then(|| discovery.index().saturating_sub(versions_back));
                discovery.set_mode(io, agent, mode, to)
            });
            set.map_err(failed)?;
        }
        Ok(())
    }
}
