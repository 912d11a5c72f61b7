//! The fleet of a rollout test: gateway processes, a stand-in discovery service and relays between the gateways.

use super::contradictions::{Interval, STILL_OPEN};
use super::probe::{PROBE_METHOD, Probes};
use super::{FleetConfig, Record, unix_now};
use crate::{MS, Nanos, SEC, Stream, loopback, stream_rng};
use rand::Rng;
use rustix::process::Signal;
use serde_json::{Value, json};
use standins::discovery::{Discovery, Entry, Mode};
use standins::process::Program;
use standins::reactor::{Clock, Handle};
use standins::relay::{PathFaults, Relays};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

/// The time limit of each wait.
const WAIT_TIMEOUT: Nanos = 30 * SEC;

pub(super) struct Gateway {
    program: Option<Program>,
    /// The address to which it sends datagrams for all other gateways.
    fan_out: SocketAddr,
    /// The address of its discovery agent.
    discovery: SocketAddr,
    /// The content of its configuration file.
    file: SettingsFile,
    /// By how much its clock is ahead.
    clock_off_ms: i64,
    /// The server list that it is started with.
    known_list: Value,
    /// All records so far, in order.
    pub(super) records: Vec<Record>,
    /// All log lines so far.
    lines: Vec<String>,
    /// The intervals in which it was stopped or not running and can't have acted.
    pub(super) inactive: Vec<Interval>,
}

/// The versioned settings in a gateway's configuration file.
#[derive(Clone, Copy)]
struct SettingsFile {
    version: u64,
    /// Selects the content; equal numbers give equal settings.
    content: u64,
    /// When the version starts, Unix time in milliseconds.
    starts_ms: u64,
}

/// Whether a content lets the probe RPCs be repeated: one of any two successive contents does.
fn is_repeatable(content: u64) -> bool {
    content % 2 == 1
}

impl Gateway {
    /// Begins an interval in which the gateway can't act.
    fn mark_inactive(&mut self) {
        self.inactive.push(Interval { from: unix_now(), until: STILL_OPEN });
    }

    /// Ends the open inactive interval, if there is one.
    fn mark_active(&mut self) {
        if let Some(open) = self.inactive.last_mut().filter(|interval| interval.until == STILL_OPEN) {
            open.until = unix_now();
        }
    }

    fn is_inactive(&self) -> bool {
        self.inactive.last().is_some_and(|interval| interval.until == STILL_OPEN)
    }
}

/// A fleet of gateways with a discovery service, and a relay path between any two gateways.
pub struct Fleet {
    pub(super) config: FleetConfig,
    program: PathBuf,
    discovery: Handle<Discovery>,
    relays: Handle<Relays>,
    pub(super) gateways: Vec<Gateway>,
    probes: Option<Probes>,
    started: Nanos,
}

impl Fleet {
    /// Starts all gateways on version 1 and waits until each acts on it.
    pub fn start(config: FleetConfig, program: &Path) -> Result<Fleet, String> {
        let fail = |e: std::io::Error| format!("can't start the stand-ins: {e}");
        let clock = Clock::start();
        let relays =
            Handle::start(Relays::new(stream_rng(config.seed, Stream::Links)), clock).map_err(fail)?;
        let discovery = Handle::start(Discovery::default(), clock).map_err(fail)?;
        let mut fleet = Fleet {
            config,
            program: program.to_path_buf(),
            discovery,
            relays,
            gateways: Vec::new(),
            probes: None,
            started: unix_now(),
        };
        let (mut clock_rng, skew) =
            (stream_rng(fleet.config.seed, Stream::Seeds), fleet.config.skew_ms as i64);
        for _ in 0..fleet.config.gateways {
            let (_, fan_out) = fleet
                .relays
                .with(|relays, io| relays.add_member(io, loopback::BROADCAST_RELAY))
                .map_err(fail)?;
            let agent = fleet
                .discovery
                .with(|discovery, io| discovery.add_agent(io, loopback::DISCOVERY, Default::default()));
            let discovery = agent.map_err(fail)?;
            fleet.gateways.push(Gateway {
                program: None,
                fan_out,
                discovery,
                file: SettingsFile { version: 1, content: 1, starts_ms: 0 },
                clock_off_ms: clock_rng.random_range(-skew..=skew),
                known_list: Value::Null,
                records: Vec::new(),
                lines: Vec::new(),
                inactive: Vec::new(),
            });
        }
        let all: Vec<usize> = (0..fleet.config.gateways).collect();
        fleet.spawn(&all)?;
        fleet.wait_for_records(&all, |record| record.version == 1 && record.acts_on_version)?;
        Ok(fleet)
    }

    /// The number of gateways.
    pub fn count(&self) -> usize {
        self.gateways.len()
    }

    /// The configuration text of a gateway. Different `content` numbers give different quotas; see also [`is_repeatable`].
    fn configuration(&self, gateway: usize) -> String {
        let state = &self.gateways[gateway];
        let SettingsFile { version, content, starts_ms } = state.file;
        let quota = 100.0 + content as f64;
        let probe_idempotency = if is_repeatable(content) { "guarded" } else { "single_shot" };
        json!({"name": format!("n{gateway}"), "listen": loopback::GATEWAYS.to_string(), "discovery": state.discovery.to_string(), "known": state.known_list,
            "seed": format!("{:016x}", self.config.seed.wrapping_add(gateway as u64 * 7919)),
            "peer_listen": loopback::PEERS.to_string(), "peers_all": state.fan_out.to_string(),
            "agreement": {"version": version, "starts_ms": starts_ms, "lease": self.config.lease, "clock": self.config.clock,
                "clock_off_ms": state.clock_off_ms, "ground": {"quota": 100.0 / quota * 0.5}},
            "settings": {"balancers": self.gateways.len(), "me": gateway,
                "classes": [{"name": "read", "credit": 1, "onTime": 1.5, "deadline": 3.0, "idempotency": "free"},
                    {"name": PROBE_METHOD, "credit": 1, "onTime": 1.5, "deadline": 3.0, "idempotency": probe_idempotency,
                        "group": "all", "window": 5.0}],
                "tariffs": [{"name": "team", "perSecond": quota, "depth": quota, "beyondCosts": 1.0}],
                "ceilings": {"attemptsCap": 2}}})
        .to_string()
    }

    /// Starts a process for each of these gateways and waits until all have started.
    fn spawn(&mut self, gateways: &[usize]) -> Result<(), String> {
        for gateway in gateways {
            let text = self.configuration(*gateway);
            let program = Program::spawn(&mut Command::new(&self.program), &text);
            let program = program.map_err(|e| format!("can't start {}: {e}", self.program.display()))?;
            self.gateways[*gateway].mark_active();
            self.gateways[*gateway].program = Some(program);
        }
        for gateway in gateways {
            let Some(program) = &mut self.gateways[*gateway].program else { continue };
            let lines = program.wait_started();
            let peer_address = loopback::peer_address(&lines).ok_or("a gateway logged no peer address")?;
            let state = &mut self.gateways[*gateway];
            state.records.extend(lines.iter().filter_map(|line| parse_record(line)));
            state.lines.extend(lines);
            let number = *gateway;
            self.relays.with(move |relays, _| relays.set_receiver(number, Some(peer_address)));
        }
        Ok(())
    }

    /// Collects the log lines written since the last call.
    pub(super) fn collect_lines(&mut self) {
        for gateway in &mut self.gateways {
            let lines = gateway.program.as_ref().map(|program| program.new_lines()).unwrap_or_default();
            gateway.records.extend(lines.iter().filter_map(|line| parse_record(line)));
            gateway.lines.extend(lines);
        }
    }

    /// Waits until the last record of each of these gateways satisfies a condition.
    pub fn wait_for_records(
        &mut self,
        gateways: &[usize],
        is_expected: impl Fn(&Record) -> bool,
    ) -> Result<(), String> {
        let until = unix_now() + WAIT_TIMEOUT;
        loop {
            self.collect_lines();
            let is_pending =
                |gateway: &&usize| !self.gateways[**gateway].records.last().is_some_and(&is_expected);
            let Some(missing) = gateways.iter().find(is_pending) else { return Ok(()) };
            if unix_now() > until {
                let last: Vec<String> =
                    self.gateways.iter().map(|gateway| format!("{:?}", gateway.records.last())).collect();
                return Err(format!(
                    "gateway {missing} did not reach the expected state in time; last records: {last:#?}"
                ));
            }
            self.sleep(5 * MS);
        }
    }

    /// Waits until a gateway has logged a line that contains `text`, counted from the start of the fleet.
    pub fn wait_for_line(&mut self, gateway: usize, text: &str) -> Result<(), String> {
        let until = unix_now() + WAIT_TIMEOUT;
        loop {
            self.collect_lines();
            if self.gateways[gateway].lines.iter().any(|line| line.contains(text)) {
                return Ok(());
            }
            if unix_now() > until {
                return Err(format!(
                    "gateway {gateway} did not log {text} in time; its lines: {:#?}",
                    self.gateways[gateway].lines
                ));
            }
            self.sleep(5 * MS);
        }
    }

    /// Sleeps for a duration.
    pub fn sleep(&self, duration: Nanos) {
        std::thread::sleep(Duration::from_nanos(duration));
    }

    /// Sleeps until a Unix time.
    pub fn sleep_until(&self, deadline: Nanos) {
        self.sleep(deadline.saturating_sub(unix_now()));
    }

    /// Rewrites the configuration files without a signal to the processes.
    pub fn write_files(&mut self, gateways: &[usize], version: u64, content: u64, start: Nanos) {
        for gateway in gateways {
            self.gateways[*gateway].file = SettingsFile { version, content, starts_ms: start / MS };
            let text = self.configuration(*gateway);
            if let Some(program) = &self.gateways[*gateway].program {
                program.rewrite_config(&text);
            }
        }
    }

    /// Rolls out a version: rewrites the files and sends SIGHUP. The same version with another `content` has other settings.
    pub fn roll_out(&mut self, gateways: &[usize], version: u64, content: u64, start: Nanos) {
        self.write_files(gateways, version, content, start);
        self.signal(gateways, Signal::HUP);
    }

    /// The start time of a version, as last rolled out; 0 if no file has it.
    pub fn start_time_of(&self, version: u64) -> Nanos {
        let files = self.gateways.iter().filter(|gateway| gateway.file.version == version);
        files.map(|gateway| gateway.file.starts_ms * MS).max().unwrap_or(0)
    }

    /// The address at which a gateway listens for clients.
    pub fn address(&self, gateway: usize) -> Option<SocketAddr> {
        self.gateways[gateway].program.as_ref().map(|program| program.address)
    }

    /// Rolls out a version with this quota and a fallback of half of it.
    pub fn roll_out_quota(&mut self, gateways: &[usize], version: u64, quota: f64, start: Nanos) {
        for gateway in gateways {
            let temporary = SettingsFile { version, content: 0, starts_ms: start / MS };
            let file = std::mem::replace(&mut self.gateways[*gateway].file, temporary);
            let mut configuration: Value =
                serde_json::from_str(&self.configuration(*gateway)).unwrap_or_default();
            configuration["settings"]["tariffs"][0]["perSecond"] = json!(quota);
            configuration["agreement"]["ground"]["quota"] = json!(0.5);
            self.gateways[*gateway].file = file;
            if let Some(program) = &self.gateways[*gateway].program {
                program.rewrite_config(&configuration.to_string());
            }
        }
        self.signal(gateways, Signal::HUP);
    }

    /// Overwrites configuration files with invalid JSON and sends SIGHUP.
    pub fn corrupt_files(&mut self, gateways: &[usize]) {
        let programs = gateways.iter().filter_map(|gateway| self.gateways[*gateway].program.as_ref());
        programs.for_each(|program| program.rewrite_config("{\"agreement\": {\"version\": 2,"));
        self.signal(gateways, Signal::HUP);
    }

    fn signal(&mut self, gateways: &[usize], signal: Signal) {
        for gateway in gateways {
            let state = &mut self.gateways[*gateway];
            if state.program.is_none() {
                continue;
            }
            // A stopped process can't act. Its next record shows what it did after it was resumed.
            if signal == Signal::CONT {
                state.mark_active();
            }
            let _ = state.program.as_ref().map(|program| program.send_signal(signal));
            if signal == Signal::STOP {
                state.mark_inactive();
            }
        }
    }

    /// Stops processes with SIGSTOP.
    pub fn pause(&mut self, gateways: &[usize]) {
        self.signal(gateways, Signal::STOP);
    }

    /// Resumes stopped processes with SIGCONT.
    pub fn resume(&mut self, gateways: &[usize]) {
        self.signal(gateways, Signal::CONT);
    }

    /// Kills processes with SIGKILL.
    pub fn kill(&mut self, gateways: &[usize]) {
        self.collect_lines();
        for gateway in gateways {
            let number = *gateway;
            self.relays.with(move |relays, _| relays.set_receiver(number, None));
            let state = &mut self.gateways[number];
            if let Some(mut program) = state.program.take() {
                let _ = program.child.kill();
                let _ = program.child.wait();
                let lines = program.new_lines();
                state.records.extend(lines.iter().filter_map(|line| parse_record(line)));
                state.lines.extend(lines);
                if !state.is_inactive() {
                    state.mark_inactive();
                }
            }
        }
    }

    /// Restarts killed gateways with their current files.
    pub fn restart(&mut self, gateways: &[usize]) -> Result<(), String> {
        self.spawn(gateways)
    }

    /// Sets the simulated offset of a gateway's clock (positive is ahead). It applies from its next configuration or start on.
    pub fn set_clock_offset(&mut self, gateway: usize, ms: i64) {
        self.gateways[gateway].clock_off_ms = ms;
    }

    /// Adds a server to the discovery list, or changes its entry.
    pub fn list_server(&mut self, name: &str, address: SocketAddr, status: &'static str) {
        let (name, zone) = (name.to_string(), "a".to_string());
        let entry = Entry { name, address, zone, cell: 0, status, weight: 1.0, since_ms: 0 };
        self.discovery.with(move |discovery, io| discovery.publish(io, entry));
    }

    /// Starts the servers of the probe RPCs and lists them.
    pub fn start_probes(&mut self) {
        let probes = Probes::start();
        for (number, address) in probes.addresses().into_iter().enumerate() {
            self.list_server(&format!("probe{number}"), address, "ready");
        }
        self.probes = Some(probes);
    }

    /// Sends a probe RPC to each gateway that runs, and describes those that do not act on the content of their file.
    pub fn gateways_acting_otherwise(&mut self) -> Result<Vec<String>, String> {
        let Some(probes) = &mut self.probes else {
            return Err("the probes have not been started".to_string());
        };
        let mut otherwise = Vec::new();
        for (number, gateway) in self.gateways.iter().enumerate() {
            let Some(program) = &gateway.program else { continue };
            let attempts = probes.attempts_of(program.address)?;
            let expected = if is_repeatable(gateway.file.content) { 2 } else { 1 };
            if attempts != expected {
                let (version, content) = (gateway.file.version, gateway.file.content);
                otherwise.push(format!(
                    "n{number} made {attempts} attempts at an RPC, version {version} with content {content} asks for {expected}; \
                     its last record: {:?}",
                    gateway.records.last()
                ));
            }
        }
        Ok(otherwise)
    }

    /// Sets the mode of a gateway's discovery agent, and optionally restores the agent to an older version of the list.
    pub fn set_agent_mode(
        &mut self,
        gateway: usize,
        mode: Mode,
        older_version: Option<u64>,
    ) -> Result<(), String> {
        let set =
            self.discovery.with(move |discovery, io| discovery.set_mode(io, gateway, mode, older_version));
        set.map_err(|e| format!("can't set the mode of the discovery agent: {e}"))
    }

    /// The newest version of the discovery list.
    pub fn discovery_index(&self) -> u64 {
        self.discovery.with(|discovery, _| discovery.index())
    }

    /// Saves the list that a gateway's agent currently serves; the gateway starts with it from its next start on.
    pub fn save_known_list(&mut self, gateway: usize) {
        let known = self.discovery.with(move |discovery, _| discovery.snapshot(gateway));
        self.gateways[gateway].known_list = serde_json::from_str(&known).unwrap_or_default();
    }

    /// Sets the faults of the network paths from some gateways to others.
    pub fn set_paths(&mut self, from: &[usize], to: &[usize], faults: PathFaults) {
        for from in from.iter().copied() {
            for to in to.iter().copied().filter(|to| *to != from) {
                self.relays.with(move |relays, _| relays.set_path_faults(from, to, faults));
            }
        }
    }

    /// Removes the faults of all network paths.
    pub fn clear_path_faults(&mut self) {
        let all: Vec<usize> = (0..self.count()).collect();
        self.set_paths(&all, &all, PathFaults::default());
    }

    /// The number of datagrams sent so far; one to all others counts once.
    pub fn datagram_count(&self) -> u64 {
        self.relays.with(|relays, _| relays.received)
    }

    /// A gateway's records, in order.
    pub fn records(&mut self, gateway: usize) -> Vec<Record> {
        self.collect_lines();
        self.gateways[gateway].records.clone()
    }

    /// The time since the fleet was started.
    pub fn age(&self) -> Nanos {
        unix_now() - self.started
    }
}

/// Parses a log line as a record; `None` for other lines.
fn parse_record(line: &str) -> Option<Record> {
    let line: Value = serde_json::from_str(line).ok()?;
    Some(Record {
        at: line["at"].as_u64()?,
        version: line["version"].as_u64()?,
        digest: line["digest"].as_str()?.to_string(),
        acts_on_version: line["acts_on"].as_str()? == "version",
        why: line["why"].as_str()?.to_string(),
    })
}
