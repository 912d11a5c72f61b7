//! The processes of rollouts, the stand-in discovery and the links between the gateways.

use super::contradictions::{Interval, OPEN_END};
use super::{FleetConfig, Record, unix_now};
use crate::{MS, Nanos, SEC, Stream, loopback, stream_rng};
use rand::Rng;
use rustix::process::Signal;
use serde_json::{Value, json};
use standins::discovery::{Discovery, Entry, Mode};
use standins::process::Program;
use standins::reactor::{Clock, Handle};
use standins::relay::{PathFaults as Way, Relays};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

/// How long anything that is waited for may take.
const PATIENCE: Nanos = 30 * SEC;

pub(super) struct Gateway {
    program: Option<Program>,
    all: SocketAddr,
    discovery: SocketAddr,
    /// Its file as it stands.
    file: SettingsFile,
    clock_off_ms: i64,
    /// The list that it is started on.
    known: Value,
    pub(super) records: Vec<Record>,
    lines: Vec<String>,
    /// When it stood still or was gone, as it can't have acted then.
    pub(super) away: Vec<Interval>,
}

/// What a gateway's file says of its settings.
#[derive(Clone, Copy)]
struct SettingsFile {
    version: u64,
    /// Contents of the same number are alike.
    content: u64,
    /// When the version starts, Unix time in milliseconds.
    starts_ms: u64,
}

impl Gateway {
    /// From now on it can't act.
    fn went_away(&mut self) {
        self.away.push(Interval { from: unix_now(), until: OPEN_END });
    }

    /// From now on it can act again.
    fn came_back(&mut self) {
        if let Some(open) = self.away.last_mut().filter(|away| away.until == OPEN_END) {
            open.until = unix_now();
        }
    }

    fn is_away(&self) -> bool {
        self.away.last().is_some_and(|away| away.until == OPEN_END)
    }
}

/// A fleet with a discovery, and links between any two of its gateways.
pub struct Fleet {
    pub(super) plan: FleetConfig,
    program: PathBuf,
    discovery: Handle<Discovery>,
    relays: Handle<Relays>,
    pub(super) gateways: Vec<Gateway>,
    started: Nanos,
}

impl Fleet {
    /// Starts all gateways on version 1, and waits until each has it confirmed.
    pub fn start(plan: FleetConfig, program: &Path) -> Result<Fleet, String> {
        let fail = |e: std::io::Error| format!("can't set the stand-ins up: {e}");
        let clock = Clock::start();
        let relays = Handle::start(Relays::new(stream_rng(plan.seed, Stream::Links)), clock).map_err(fail)?;
        let discovery = Handle::start(Discovery::default(), clock).map_err(fail)?;
        let mut fleet = Fleet {
            plan,
            program: program.to_path_buf(),
            discovery,
            relays,
            gateways: Vec::new(),
            started: unix_now(),
        };
        let (mut clocks, skew) = (stream_rng(fleet.plan.seed, Stream::Seeds), fleet.plan.skew_ms as i64);
        for _ in 0..fleet.plan.gateways {
            let (_, all) = fleet
                .relays
                .with(|relays, io| relays.add_member(io, loopback::BROADCAST_RELAY))
                .map_err(fail)?;
            let agent = fleet
                .discovery
                .with(|discovery, io| discovery.add_agent(io, loopback::DISCOVERY, Default::default()));
            let discovery = agent.map_err(fail)?;
            fleet.gateways.push(Gateway {
                program: None,
                all,
                discovery,
                file: SettingsFile { version: 1, content: 1, starts_ms: 0 },
                clock_off_ms: clocks.random_range(-skew..=skew),
                known: Value::Null,
                records: Vec::new(),
                lines: Vec::new(),
                away: Vec::new(),
            });
        }
        let all: Vec<usize> = (0..fleet.plan.gateways).collect();
        fleet.spawn(&all)?;
        fleet.wait_for_records(&all, |record| record.version == 1 && record.acts_on_version)?;
        Ok(fleet)
    }

    /// How many gateways there are.
    pub fn count(&self) -> usize {
        self.gateways.len()
    }

    /// The configuration of a gateway as its file stands. Contents differ in their quotas.
    fn configuration(&self, gateway: usize) -> String {
        let at = &self.gateways[gateway];
        let SettingsFile { version, content, starts_ms } = at.file;
        let quota = 100.0 + content as f64;
        json!({"name": format!("n{gateway}"), "listen": loopback::GATEWAYS.to_string(), "discovery": at.discovery.to_string(), "known": at.known,
            "seed": format!("{:016x}", self.plan.seed.wrapping_add(gateway as u64 * 7919)),
            "peer_listen": loopback::PEERS.to_string(), "peers_all": at.all.to_string(),
            "agreement": {"version": version, "starts_ms": starts_ms, "lease": self.plan.lease, "clock": self.plan.clock,
                "clock_off_ms": at.clock_off_ms, "ground": {"quota": 100.0 / quota * 0.5}},
            "settings": {"balancers": self.gateways.len(), "me": gateway,
                "classes": [{"name": "read", "credit": 1, "onTime": 1.5, "deadline": 3.0, "idempotency": "free"}],
                "tariffs": [{"name": "team", "perSecond": quota, "depth": quota, "beyondCosts": 1.0}],
                "ceilings": {"attemptsCap": 2}}})
        .to_string()
    }

    fn spawn(&mut self, which: &[usize]) -> Result<(), String> {
        for gateway in which {
            let text = self.configuration(*gateway);
            let program = Program::spawn(&mut Command::new(&self.program), &text);
            let program = program.map_err(|e| format!("can't start {}: {e}", self.program.display()))?;
            self.gateways[*gateway].came_back();
            self.gateways[*gateway].program = Some(program);
        }
        for gateway in which {
            let Some(program) = &mut self.gateways[*gateway].program else { continue };
            let lines = program.wait_started();
            let hears = loopback::peer_address(&lines).ok_or("a gateway tells no address")?;
            let at = &mut self.gateways[*gateway];
            at.records.extend(lines.iter().filter_map(|line| record(line)));
            at.lines.extend(lines);
            let number = *gateway;
            self.relays.with(move |relays, _| relays.set_receiver(number, Some(hears)));
        }
        Ok(())
    }

    /// Takes in what the gateways have written since.
    pub(super) fn read(&mut self) {
        for gateway in &mut self.gateways {
            let lines = gateway.program.as_ref().map(|program| program.new_lines()).unwrap_or_default();
            gateway.records.extend(lines.iter().filter_map(|line| record(line)));
            gateway.lines.extend(lines);
        }
    }

    /// Waits until the last record of each of these is as wanted.
    pub fn wait_for_records(&mut self, which: &[usize], is: impl Fn(&Record) -> bool) -> Result<(), String> {
        let until = unix_now() + PATIENCE;
        loop {
            self.read();
            let not = |gateway: &&usize| !self.gateways[**gateway].records.last().is_some_and(&is);
            let Some(missing) = which.iter().find(not) else { return Ok(()) };
            if unix_now() > until {
                let last: Vec<String> =
                    self.gateways.iter().map(|at| format!("{:?}", at.records.last())).collect();
                return Err(format!("gateway {missing} never got there: {last:#?}"));
            }
            self.sleep(5 * MS);
        }
    }

    /// Waits until one of these has written a line that holds this, from the start of the fleet on.
    pub fn wait_for_line(&mut self, gateway: usize, part: &str) -> Result<(), String> {
        let until = unix_now() + PATIENCE;
        loop {
            self.read();
            if self.gateways[gateway].lines.iter().any(|line| line.contains(part)) {
                return Ok(());
            }
            if unix_now() > until {
                return Err(format!(
                    "gateway {gateway} never wrote {part}: {:#?}",
                    self.gateways[gateway].lines
                ));
            }
            self.sleep(5 * MS);
        }
    }

    /// Lets time pass.
    pub fn sleep(&self, time: Nanos) {
        std::thread::sleep(Duration::from_nanos(time));
    }

    /// Lets time pass until then, Unix time.
    pub fn sleep_until(&self, at: Nanos) {
        self.sleep(at.saturating_sub(unix_now()));
    }

    /// Writes a file without telling the process.
    pub fn write_files(&mut self, which: &[usize], version: u64, content: u64, start: Nanos) {
        for gateway in which {
            self.gateways[*gateway].file = SettingsFile { version, content, starts_ms: start / MS };
            let text = self.configuration(*gateway);
            if let Some(program) = &self.gateways[*gateway].program {
                program.rewrite_config(&text);
            }
        }
    }

    /// Gives a version to these gateways; the same number with another `content` is another content.
    pub fn roll_out(&mut self, which: &[usize], version: u64, content: u64, start: Nanos) {
        self.write_files(which, version, content, start);
        self.signal(which, Signal::HUP);
    }

    /// The time at which a version starts, as it was given last.
    pub fn start_time_of(&self, version: u64) -> Nanos {
        let files = self.gateways.iter().filter(|gateway| gateway.file.version == version);
        files.map(|gateway| gateway.file.starts_ms * MS).max().unwrap_or(0)
    }

    /// Where a gateway listens for clients.
    pub fn address(&self, gateway: usize) -> Option<SocketAddr> {
        self.gateways[gateway].program.as_ref().map(|program| program.address)
    }

    /// Gives a version with this quota and a ground of half of it.
    pub fn roll_out_quota(&mut self, which: &[usize], version: u64, quota: f64, start: Nanos) {
        for gateway in which {
            let other = SettingsFile { version, content: 0, starts_ms: start / MS };
            let file = std::mem::replace(&mut self.gateways[*gateway].file, other);
            let mut told: Value = serde_json::from_str(&self.configuration(*gateway)).unwrap_or_default();
            told["settings"]["tariffs"][0]["perSecond"] = json!(quota);
            told["agreement"]["ground"]["quota"] = json!(0.5);
            self.gateways[*gateway].file = file;
            if let Some(program) = &self.gateways[*gateway].program {
                program.rewrite_config(&told.to_string());
            }
        }
        self.signal(which, Signal::HUP);
    }

    /// Overwrites files with what is no configuration, and tells the processes.
    pub fn corrupt_files(&mut self, which: &[usize]) {
        let programs = which.iter().filter_map(|gateway| self.gateways[*gateway].program.as_ref());
        programs.for_each(|program| program.rewrite_config("{\"agreement\": {\"version\": 2,"));
        self.signal(which, Signal::HUP);
    }

    fn signal(&mut self, which: &[usize], signal: Signal) {
        for gateway in which {
            let at = &mut self.gateways[*gateway];
            if at.program.is_none() {
                continue;
            }
            // While it is away it can't act; the record after the stop tells what it did on waking.
            if signal == Signal::CONT {
                at.came_back();
            }
            let _ = at.program.as_ref().map(|program| program.send_signal(signal));
            if signal == Signal::STOP {
                at.went_away();
            }
        }
    }

    /// Stops processes by SIGSTOP.
    pub fn pause(&mut self, which: &[usize]) {
        self.signal(which, Signal::STOP);
    }

    /// Lets them go on by SIGCONT.
    pub fn resume(&mut self, which: &[usize]) {
        self.signal(which, Signal::CONT);
    }

    /// Ends processes by SIGKILL.
    pub fn kill(&mut self, which: &[usize]) {
        self.read();
        for gateway in which {
            let number = *gateway;
            self.relays.with(move |relays, _| relays.set_receiver(number, None));
            let at = &mut self.gateways[number];
            if let Some(mut program) = at.program.take() {
                let _ = program.child.kill();
                let _ = program.child.wait();
                let lines = program.new_lines();
                at.records.extend(lines.iter().filter_map(|line| record(line)));
                at.lines.extend(lines);
                if !at.is_away() {
                    at.went_away();
                }
            }
        }
    }

    /// Starts gateways again that were killed, on the file as it stands.
    pub fn restart(&mut self, which: &[usize]) -> Result<(), String> {
        self.spawn(which)
    }

    /// From its next file or start on a gateway takes its clock to be so far ahead.
    pub fn set_clock_offset(&mut self, gateway: usize, ms: i64) {
        self.gateways[gateway].clock_off_ms = ms;
    }

    /// Lists a server, or changes it, at discovery.
    pub fn list_server(&mut self, name: &str, address: SocketAddr, status: &'static str) {
        let (name, zone) = (name.to_string(), "a".to_string());
        let entry = Entry { name, address, zone, status, weight: 1.0, since_ms: 0 };
        self.discovery.with(move |discovery, io| discovery.publish(io, entry));
    }

    /// What a gateway's agent of discovery does, and an older version it is thrown back to.
    pub fn set_agent_mode(&mut self, gateway: usize, mode: Mode, back_to: Option<u64>) -> Result<(), String> {
        let set = self.discovery.with(move |discovery, io| discovery.set_mode(io, gateway, mode, back_to));
        set.map_err(|e| format!("can't set an agent: {e}"))
    }

    /// The newest version of discovery's list.
    pub fn discovery_index(&self) -> u64 {
        self.discovery.with(|discovery, _| discovery.index())
    }

    /// From its next start on a gateway begins with the list that its agent tells now.
    pub fn save_known_list(&mut self, gateway: usize) {
        let known = self.discovery.with(move |discovery, _| discovery.snapshot(gateway));
        self.gateways[gateway].known = serde_json::from_str(&known).unwrap_or_default();
    }

    /// Sets the ways from some gateways to others.
    pub fn set_paths(&mut self, from: &[usize], to: &[usize], way: Way) {
        for from in from.iter().copied() {
            for to in to.iter().copied().filter(|to| *to != from) {
                self.relays.with(move |relays, _| relays.set_path_faults(from, to, way));
            }
        }
    }

    /// All ways whole again.
    pub fn clear_path_faults(&mut self) {
        let all: Vec<usize> = (0..self.count()).collect();
        self.set_paths(&all, &all, Way::default());
    }

    /// Datagrams that were sent so far, each once.
    pub fn datagram_count(&self) -> u64 {
        self.relays.with(|relays, _| relays.received)
    }

    /// What a gateway said that it acts on, in order.
    pub fn records(&mut self, gateway: usize) -> Vec<Record> {
        self.read();
        self.gateways[gateway].records.clone()
    }

    /// Since when this fleet runs.
    pub fn age(&self) -> Nanos {
        unix_now() - self.started
    }
}

fn record(line: &str) -> Option<Record> {
    let line: Value = serde_json::from_str(line).ok()?;
    Some(Record {
        at: line["at"].as_u64()?,
        version: line["version"].as_u64()?,
        digest: line["digest"].as_str()?.to_string(),
        acts_on_version: line["acts_on"].as_str()? == "version",
        why: line["why"].as_str()?.to_string(),
    })
}
