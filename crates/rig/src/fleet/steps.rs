//! The steps of the script, carried out.

use super::script::Step;
use super::{Fleet, customers};
use crate::{Nanos, SEC, nanos};
use rustix::process::Signal;
use standins::servers::Health;

impl Fleet<'_> {
    /// Does one thing; what it puts off comes back with its time.
    pub(super) fn carry_out(&mut self, step: Step) -> Result<Vec<(Nanos, Step)>, String> {
        let fail = |e: std::io::Error| format!("a step of the script failed: {e}");
        match step {
            Step::Signal(which, signal) => {
                for gateway in which {
                    let Some(program) = &self.gateways[gateway].program else { continue };
                    program.send(signal).map_err(fail)?;
                    if signal == Signal::KILL {
                        self.end(gateway, false);
                    }
                }
            }
            Step::Start(which) => {
                which.iter().for_each(|gateway| self.end(*gateway, true));
                self.start(&which)?;
            }
            Step::Grow(count, share) => {
                let was = self.gateways.len();
                for number in was..was + count {
                    self.add_gateway(number, was + count).map_err(fail)?;
                }
                // With versions the new one holds for all at once, and the front follows then.
                let lead = self.scenario.agreement.as_ref().map(|terms| nanos(3.0 * terms.lease));
                let starts_ms = lead.map_or(0, |lead| self.clock.unix_ms(self.clock.now() + lead));
                let told = (0..(was as f64 * share).round() as usize).chain(was..was + count);
                let told: Vec<usize> = told.collect();
                for gateway in &told {
                    (self.gateways[*gateway].version, self.gateways[*gateway].starts_ms) = (2, starts_ms);
                }
                for gateway in told.into_iter().filter(|gateway| *gateway < was) {
                    self.gateways[gateway].fleet = was + count;
                    let text = self.configuration(gateway);
                    if let Some(program) = &self.gateways[gateway].program {
                        program.rewrite(&text);
                        program.send(Signal::HUP).map_err(fail)?;
                    }
                }
                self.start(&(was..was + count).collect::<Vec<_>>())?;
                return Ok(vec![(self.clock.now() + lead.map_or(0, |lead| 2 * lead), Step::Place)]);
            }
            Step::Place => {
                let customers = customers(self.scenario, self.gateways.len());
                self.front.with(move |front, _| front.place(customers));
            }
            Step::Replace(server, drain) => {
                self.list(server, "draining");
                self.join()?;
                return Ok(vec![(self.clock.now() + drain, Step::Gone(server))]);
            }
            Step::Join => self.join()?,
            Step::Leave => {
                let last = (0..self.listed.len()).rfind(|at| self.listed[*at].status == "ready");
                if let Some(last) = last {
                    self.list(last, "draining");
                    return Ok(vec![(self.clock.now() + SEC, Step::Gone(last))]);
                }
            }
            Step::Gone(server) => {
                self.list(server, "gone");
                self.servers
                    .with(move |servers, io| servers.become_(io, server, Health::Down))
                    .map_err(fail)?;
            }
            Step::Health(which, health) => {
                for server in which {
                    self.servers
                        .with(move |servers, io| servers.become_(io, server, health))
                        .map_err(fail)?;
                    self.mark(server, health != Health::Down && health != Health::Silent);
                    if health == Health::Well {
                        let since = self.servers.with(move |servers, _| servers.since(server));
                        let since_ms = if since == 0 { 0 } else { self.clock.unix_ms(since) };
                        self.listed[server].since_ms = since_ms;
                    }
                }
            }
            Step::List(which, status) => which.into_iter().for_each(|server| self.list(server, status)),
            Step::Agents(which, mode, back) => {
                for agent in which {
                    let set = self.discovery.with(move |discovery, io| {
                        let to = (back > 0).then(|| discovery.index().saturating_sub(back));
                        discovery.set(io, agent, mode, to)
                    });
                    set.map_err(fail)?;
                }
            }
            Step::Counter(state) => {
                self.counter.with(move |counter, io| counter.become_(io, state)).map_err(fail)?;
            }
            Step::Empty => self.counter.with(|counter, _| counter.empty()),
            Step::Burst(factor) => self.front.with(move |front, _| front.burst(factor)),
            Step::Wire(links, faults) => {
                self.relays.with(move |relays, io| {
                    links.into_iter().for_each(|link| relays.set(io, link, faults));
                });
            }
        }
        Ok(Vec::new())
    }

    fn join(&mut self) -> Result<(), String> {
        let group = self.scenario.servers[0].clone();
        let added = self.add_server(&group, false);
        let number = added.map_err(|e| format!("can't add a server: {e}"))?;
        self.list(number, "ready");
        Ok(())
    }
}
