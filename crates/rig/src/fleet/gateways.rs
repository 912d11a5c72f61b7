//! The gateway processes under test: their configuration, start and termination.

use super::{DRAIN_TIMEOUT, Fleet, Gateway, MEMORY_LIMIT_MB};
use crate::loopback;
use crate::scenario::{Fault, Place};
use rand::Rng;
use serde_json::{Value, json};
use standins::process::Program;
use std::collections::BTreeMap;
use std::process::Command;
use std::time::Duration;

impl Fleet<'_> {
    /// Adds a gateway whose configuration has this fleet size. The process is not started yet.
    pub(super) fn add_gateway(&mut self, number: usize, fleet_size: usize) -> std::io::Result<()> {
        let mut link_addresses = BTreeMap::new();
        for (server, entry) in self.entries.clone().into_iter().enumerate() {
            let faults = self.faults_between(number, |place| match place {
                Place::Servers(range) => range.contains(&server),
                Place::Zone(zone) => entry.zone == *zone,
                _ => false,
            });
            let address = self.link_address(faults, &entry.name, entry.address)?;
            if address != entry.address {
                link_addresses.insert(entry.name, address);
            }
        }
        let agent = self
            .discovery
            .with(move |discovery, io| discovery.add_agent(io, loopback::DISCOVERY, link_addresses))?;
        let faults = self.faults_between(number, |place| *place == Place::Discovery);
        let discovery = self.link_address(faults, &format!("discovery of {number}"), agent)?;
        let faults = self.faults_between(number, |place| *place == Place::Counter);
        let counter = self.link_address(faults, "counter", self.counter_address)?;
        let listen = loopback::GATEWAYS;
        let (_, broadcast_address) =
            self.relays.with(|relays, io| relays.add_member(io, loopback::BROADCAST_RELAY))?;
        self.gateways.push(Gateway {
            number,
            fleet_size,
            discovery,
            counter,
            listen,
            broadcast_address,
            version: 1,
            version_starts_ms: 0,
            program: None,
            term_sent_at: None,
            starts: 0,
            log_lines: Vec::new(),
        });
        Ok(())
    }

    /// Returns a gateway's configuration file as JSON, with a newly drawn seed.
    pub(super) fn configuration_text(&mut self, gateway: usize) -> String {
        let state = &self.gateways[gateway];
        let mut settings = serde_json::to_value(&self.scenario.settings).unwrap_or_default();
        let duplicate = self.scenario.same_number.iter().find(|pair| pair.1 == state.number);
        settings["balancers"] = json!(self.scenario.told_gateways.unwrap_or(state.fleet_size));
        settings["me"] = json!(duplicate.map_or(state.number, |pair| pair.0));
        settings["zone"] = json!(state.number % self.scenario.zones.len());
        settings["localities"] = json!(self.scenario.zones);
        let number = state.number;
        let known = self.discovery.with(move |discovery, _| discovery.snapshot(number));
        let mut configuration = json!({"name": format!("n{}", state.number), "listen": state.listen.to_string(),
            "discovery": state.discovery.to_string(), "counter": state.counter.to_string(),
            "seed": format!("{:016x}", self.seed_rng.random::<u64>()),
            "limits": {"sockets": self.scenario.sockets, "memory_mb": MEMORY_LIMIT_MB},
            "known": serde_json::from_str::<Value>(&known).unwrap_or_default(), "settings": settings});
        if let Some(agreement) = &self.scenario.agreement {
            let added_gateways =
                |fault: &Fault| if let Fault::Grow { count, .. } = fault { *count } else { 0 };
            let max_gateways =
                self.scenario.gateways + self.scenario.faults.iter().map(added_gateways).sum::<usize>();
            configuration["peer_listen"] = json!(loopback::PEERS.to_string());
            configuration["peers_all"] = json!(state.broadcast_address.to_string());
            configuration["agreement"] = json!({"version": state.version, "starts_ms": state.version_starts_ms, "lease": agreement.lease,
                "clock": agreement.clock, "ground": {"gateways": max_gateways}});
        }
        configuration.to_string()
    }

    /// Returns the command that starts a gateway, with the library that injects system call failures if the scenario asks
    /// for them.
    fn command(&self, gateway: usize) -> Command {
        let mut command = Command::new(self.program);
        if let Some(faults) = &self.scenario.system_calls {
            let state = &self.gateways[gateway];
            let seed = self.scenario.seed ^ ((state.number as u64) << 32 | state.starts as u64);
            command.env("LD_PRELOAD", &faults.library);
            command.env("MARTENRAMP_FAULTS", format!("seed={seed},rate={}", faults.rate));
        }
        command
    }

    /// Starts gateway processes and waits until each reports its start. Gateways that start for the first time are
    /// announced to the load generator.
    pub(super) fn start_gateways(&mut self, which: &[usize]) -> Result<(), String> {
        for gateway in which {
            let text = self.configuration_text(*gateway);
            let program = Program::spawn(&mut self.command(*gateway), &text);
            let program = program.map_err(|e| format!("can't start {}: {e}", self.program.display()))?;
            let state = &mut self.gateways[*gateway];
            (state.program, state.starts, state.term_sent_at) = (Some(program), state.starts + 1, None);
        }
        for gateway in which {
            let first_start = self.gateways[*gateway].listen.port() == 0;
            let Some(program) = &mut self.gateways[*gateway].program else { continue };
            let lines = program.wait_started();
            let listen = program.address;
            let peer_address = loopback::peer_address(&lines);
            let member = *gateway;
            self.relays.with(move |relays, _| relays.set_receiver(member, peer_address));
            self.gateways[*gateway].listen = listen;
            if first_start {
                let faults = self.faults_between(*gateway, |place| *place == Place::LoadGenerator);
                let address = self.link_address(faults, &format!("gateway {gateway}"), listen);
                let address = address.map_err(|e| format!("can't set up a link: {e}"))?;
                self.load_generator.with(move |generator, io| generator.add_gateway(io, address));
            }
        }
        Ok(())
    }

    /// Waits until a process that was sent a signal has exited, and keeps its log lines. With `after_sigterm` the exit
    /// status must be 0; any other result is recorded as a crash.
    pub(super) fn wait_for_exit(&mut self, gateway: usize, after_sigterm: bool) {
        let state = &mut self.gateways[gateway];
        let Some(mut program) = state.program.take() else { return };
        let deadline = self.clock.now() + DRAIN_TIMEOUT;
        while program.exit_status().is_none() && self.clock.now() < deadline {
            std::thread::sleep(Duration::from_millis(5));
        }
        let status = program.exit_status();
        if after_sigterm && status.is_none_or(|status| !status.success()) {
            self.crashed.push(format!("n{} exited with {status:?} after SIGTERM", state.number));
        }
        state.log_lines.extend(program.new_lines());
    }
}
