//! The processes under test: their configuration, their start and their end.

use super::{Fleet, Gateway, LINGER, MEMORY_MB};
use crate::loopback;
use crate::scenario::{Fault, Place};
use rand::Rng;
use serde_json::{Value, json};
use standins::process::Program;
use std::collections::BTreeMap;
use std::process::Command;
use std::time::Duration;

impl Fleet<'_> {
    /// A gateway more, told that the fleet has so many; not yet started.
    pub(super) fn add_gateway(&mut self, number: usize, fleet: usize) -> std::io::Result<()> {
        let mut seen_at = BTreeMap::new();
        for (server, entry) in self.listed.clone().into_iter().enumerate() {
            let faults = self.faults_between(number, |place| match place {
                Place::Servers(range) => range.contains(&server),
                Place::Zone(zone) => entry.zone == *zone,
                _ => false,
            });
            let at = self.through(faults, &entry.name, entry.address)?;
            if at != entry.address {
                seen_at.insert(entry.name, at);
            }
        }
        let agent = self
            .discovery
            .with(move |discovery, io| discovery.add_agent(io, loopback::DISCOVERY, seen_at))?;
        let faults = self.faults_between(number, |place| *place == Place::Discovery);
        let discovery = self.through(faults, &format!("discovery of {number}"), agent)?;
        let faults = self.faults_between(number, |place| *place == Place::Counter);
        let counter = self.through(faults, "counter", self.at_counter)?;
        let listen = loopback::GATEWAYS;
        let (_, all) = self.relays.with(|relays, io| relays.add_member(io, loopback::BROADCAST_RELAY))?;
        self.gateways.push(Gateway {
            number,
            fleet,
            discovery,
            counter,
            listen,
            all,
            version: 1,
            starts_ms: 0,
            program: None,
            told_to_end: None,
            starts: 0,
            lines: Vec::new(),
        });
        Ok(())
    }

    pub(super) fn configuration(&mut self, gateway: usize) -> String {
        let at = &self.gateways[gateway];
        let mut settings = serde_json::to_value(&self.scenario.settings).unwrap_or_default();
        let twin = self.scenario.same_number.iter().find(|pair| pair.1 == at.number);
        settings["balancers"] = json!(self.scenario.told_gateways.unwrap_or(at.fleet));
        settings["me"] = json!(twin.map_or(at.number, |pair| pair.0));
        settings["zone"] = json!(at.number % self.scenario.zones.len());
        settings["localities"] = json!(self.scenario.zones);
        let number = at.number;
        let known = self.discovery.with(move |discovery, _| discovery.snapshot(number));
        let mut told = json!({"name": format!("n{}", at.number), "listen": at.listen.to_string(),
            "discovery": at.discovery.to_string(), "counter": at.counter.to_string(),
            "seed": format!("{:016x}", self.seeds.random::<u64>()),
            "limits": {"sockets": self.scenario.sockets, "memory_mb": MEMORY_MB},
            "known": serde_json::from_str::<Value>(&known).unwrap_or_default(), "settings": settings});
        if let Some(terms) = &self.scenario.agreement {
            let grows = |fault: &Fault| if let Fault::Grow { count, .. } = fault { *count } else { 0 };
            let largest = self.scenario.gateways + self.scenario.faults.iter().map(grows).sum::<usize>();
            told["peer_listen"] = json!(loopback::PEERS.to_string());
            told["peers_all"] = json!(at.all.to_string());
            told["agreement"] = json!({"version": at.version, "starts_ms": at.starts_ms, "lease": terms.lease,
                "clock": terms.clock, "ground": {"gateways": largest}});
        }
        told.to_string()
    }

    /// The command that starts a gateway.
    fn command(&self, gateway: usize) -> Command {
        let mut command = Command::new(self.program);
        if let Some(faults) = &self.scenario.system_calls {
            let at = &self.gateways[gateway];
            let seed = self.scenario.seed ^ ((at.number as u64) << 32 | at.starts as u64);
            command.env("LD_PRELOAD", &faults.library);
            command.env("MARTENRAMP_FAULTS", format!("seed={seed},rate={}", faults.rate));
        }
        command
    }

    /// Starts processes and waits until each says that it has; new ones are shown to the front.
    pub(super) fn start(&mut self, which: &[usize]) -> Result<(), String> {
        for gateway in which {
            let text = self.configuration(*gateway);
            let program = Program::spawn(&mut self.command(*gateway), &text);
            let program = program.map_err(|e| format!("can't start {}: {e}", self.program.display()))?;
            let at = &mut self.gateways[*gateway];
            (at.program, at.starts, at.told_to_end) = (Some(program), at.starts + 1, None);
        }
        for gateway in which {
            let fresh = self.gateways[*gateway].listen.port() == 0;
            let Some(program) = &mut self.gateways[*gateway].program else { continue };
            let lines = program.wait_started();
            let listen = program.address;
            let hears = loopback::peer_address(&lines);
            let member = *gateway;
            self.relays.with(move |relays, _| relays.set_receiver(member, hears));
            self.gateways[*gateway].listen = listen;
            if fresh {
                let faults = self.faults_between(*gateway, |place| *place == Place::LoadGenerator);
                let at = self.through(faults, &format!("gateway {gateway}"), listen);
                let at = at.map_err(|e| format!("can't set a link up: {e}"))?;
                self.front.with(move |front, io| front.add_gateway(io, at));
            }
        }
        Ok(())
    }

    /// Waits for a process that was told to end (`asked`: by SIGTERM, so with 0) and keeps its log lines.
    pub(super) fn end(&mut self, gateway: usize, asked: bool) {
        let at = &mut self.gateways[gateway];
        let Some(mut program) = at.program.take() else { return };
        let until = self.clock.now() + LINGER;
        while program.exit_status().is_none() && self.clock.now() < until {
            std::thread::sleep(Duration::from_millis(5));
        }
        let how = program.exit_status();
        if asked && how.is_none_or(|how| !how.success()) {
            self.crashed.push(format!("n{} ended with {how:?} after SIGTERM", at.number));
        }
        at.lines.extend(program.new_lines());
    }
}
