//! What one run is played with: stand-in servers, discovery with one agent, one process of the gateway, and the generator.

use crate::ScaleError;
use rig::Stream;
use rig::load_generator::{ClientBehaviour, ClientRpc, Customer, LoadGenerator, LoadProfile, Method};
use serde_json::json;
use standins::discovery::{Discovery, Entry};
use standins::process::Program;
use standins::reactor::{Clock, Handle};
use standins::servers::{ServerSpec, Servers};
use standins::{MS, Nanos, SEC, nanos};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path as FilePath;
use std::process::Command;
use std::time::Duration;

const SERVERS: usize = 24;
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Wide enough that no request waits at a server, so that the servers' own time is the same on both paths.
const CORES: usize = 256;
const SERVICE: Nanos = 4 * MS;
const SERVICE_SIGMA: f64 = 0.2;
const CUSTOMERS: usize = 200;
/// RPCs of this long before the measured part: connections are up and the gateway knows its servers.
const WARM: Nanos = 2 * SEC;
/// While the list changes, one entry changes so often.
const CHANGE_EVERY: Nanos = 100 * MS;
const READY_WITHIN: Nanos = 10 * SEC;
const DEADLINE_SECONDS: f64 = 5.0;

/// What happens while the load runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scene {
    /// Nothing.
    Quiet,
    /// Entries of the list change ten times a second: a server drains, and is ready again.
    ListChanges,
    /// All servers of one zone drain at once in the middle of the run, told one by one in one moment.
    ZoneGone,
}

impl Scene {
    /// Its name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Scene::Quiet => "quiet",
            Scene::ListChanges => "list-changes",
            Scene::ZoneGone => "zone-gone",
        }
    }
}

/// Where the load goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// Straight to the servers, one drawn for each RPC.
    Direct,
    /// Through one gateway.
    Gateway,
}

impl Path {
    /// Its name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Path::Direct => "direct",
            Path::Gateway => "gateway",
        }
    }
}

/// One run of one load.
pub struct Run<'a> {
    pub program: &'a FilePath,
    pub scene: Scene,
    pub rate: f64,
    pub path: Path,
    /// Seconds that count.
    pub seconds: f64,
    pub seed: u64,
}

struct Fleet {
    clock: Clock,
    servers: Handle<Servers>,
    discovery: Handle<Discovery>,
    front: Handle<LoadGenerator>,
    entries: Vec<Entry>,
    /// Ends its process when dropped.
    _gateway: Option<Program>,
}

fn any_port(last: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 0, 0, last), 0))
}

fn failed(why: std::io::Error) -> ScaleError {
    ScaleError::Measurement { what: "setting a run up".to_string(), why: why.to_string() }
}

impl Run<'_> {
    /// Plays it and brings back the RPCs that were due in the measured part.
    pub fn play(&self) -> Result<Vec<ClientRpc>, ScaleError> {
        let fleet = self.set_up().map_err(failed)?;
        fleet.wait_ready(if self.path == Path::Direct { SERVERS } else { 1 })?;
        fleet.front.with(|front, io| front.set_running(io, true));
        let from = fleet.clock.now() + WARM;
        let to = from + nanos(self.seconds);
        fleet.sleep_until(from);
        match self.scene {
            Scene::Quiet => {}
            Scene::ListChanges => fleet.change_until(to),
            Scene::ZoneGone => {
                fleet.sleep_until(from + (to - from) / 2);
                fleet.drain_zone(ZONES[0]);
            }
        }
        fleet.sleep_until(to);
        fleet.front.with(|front, io| front.set_running(io, false));
        fleet.sleep_until(to + nanos(DEADLINE_SECONDS).min(SEC));
        let calls = fleet.front.with(|front, _| std::mem::take(&mut front.rpcs));
        Ok(calls.into_iter().filter(|call| (from..to).contains(&call.scheduled_at)).collect())
    }

    fn set_up(&self) -> std::io::Result<Fleet> {
        let clock = Clock::start();
        let servers = Handle::start(Servers::new(rig::stream_rng(self.seed, Stream::Servers)), clock)?;
        let discovery = Handle::start(Discovery::default(), clock)?;
        let width = if self.path == Path::Direct { SERVERS } else { 1 };
        let front = LoadGenerator::new(plan(self.rate, width), rig::stream_rng(self.seed, Stream::Arrivals));
        let front = Handle::start(front, clock)?;
        let mut entries = Vec::new();
        for number in 0..SERVERS {
            let spec = spec(number);
            let (name, zone) = (spec.name.clone(), spec.zone.clone());
            let (_, address) = servers.with(move |servers, io| servers.add(io, spec, true))?;
            let entry = Entry { name, address, zone, status: "ready", weight: 1.0, since_ms: 0 };
            entries.push(entry.clone());
            discovery.with(move |discovery, io| discovery.publish(io, entry));
        }
        let gateway = match self.path {
            Path::Direct => {
                let addresses: Vec<SocketAddr> = entries.iter().map(|entry| entry.address).collect();
                front.with(move |front, io| {
                    addresses.iter().for_each(|address| front.add_gateway(io, *address))
                });
                None
            }
            Path::Gateway => {
                let agent =
                    discovery.with(|discovery, io| discovery.add_agent(io, any_port(5), BTreeMap::new()))?;
                let mut program =
                    Program::spawn(&mut Command::new(self.program), &configuration(agent, self.seed))?;
                program.wait_started();
                let address = program.address;
                front.with(move |front, io| front.add_gateway(io, address));
                Some(program)
            }
        };
        Ok(Fleet { clock, servers, discovery, front, entries, _gateway: gateway })
    }
}

impl Fleet {
    fn sleep_until(&self, at: Nanos) {
        std::thread::sleep(Duration::from_nanos(at.saturating_sub(self.clock.now())));
    }

    fn wait_ready(&self, count: usize) -> Result<(), ScaleError> {
        let until = self.clock.now() + READY_WITHIN;
        while self.front.with(|front, _| front.admitted_gateways()) < count {
            if self.clock.now() > until {
                return Err(ScaleError::Measurement {
                    what: "starting the gateway".to_string(),
                    why: "not ready within 10 s".to_string(),
                });
            }
            self.sleep_until(self.clock.now() + 20 * MS);
        }
        Ok(())
    }

    fn tell(&self, entry: &Entry, status: &'static str) {
        let entry = Entry { status, ..entry.clone() };
        self.discovery.with(move |discovery, io| discovery.publish(io, entry));
    }

    fn change_until(&self, to: Nanos) {
        let mut changes = 0;
        while self.clock.now() < to {
            let entry = &self.entries[changes / 2 % self.entries.len()];
            self.tell(entry, if changes % 2 == 0 { "draining" } else { "ready" });
            changes += 1;
            self.sleep_until(self.clock.now() + CHANGE_EVERY);
        }
    }

    fn drain_zone(&self, zone: &str) {
        let gone = self.entries.iter().filter(|entry| entry.zone == zone);
        gone.for_each(|entry| self.tell(entry, "draining"));
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.servers.with(|servers, _| servers.ledger.clear());
    }
}

fn spec(number: usize) -> ServerSpec {
    ServerSpec {
        name: format!("server-{number}"),
        zone: ZONES[number % ZONES.len()].to_string(),
        weight: 1.0,
        cores: CORES,
        queue_limit: CORES,
        max_connections: 4 * CORES,
        median_service: SERVICE,
        service_sigma: SERVICE_SIGMA,
        cold_share: 1.0,
        warmup: 0,
        reports_load: true,
        body_bytes: 2,
        address: any_port(4),
    }
}

fn plan(rate: f64, width: usize) -> LoadProfile {
    let method = Method {
        name: "read".to_string(),
        idempotency: "free".to_string(),
        deadline: nanos(DEADLINE_SECONDS),
        share: 1.0,
        units: 1.0,
    };
    let customer = Customer { share: 1.0, first_gateway: 0, gateway_count: width };
    LoadProfile {
        rate,
        plan: "team".to_string(),
        methods: vec![method],
        customers: vec![customer; CUSTOMERS],
        detection_delay: 500 * MS,
        behaviour: ClientBehaviour::default(),
    }
}

/// Quotas are wide and there is no counter: what is measured is the way through, not what is turned away.
fn configuration(discovery: SocketAddr, seed: u64) -> String {
    json!({"name": "n0", "listen": any_port(3).to_string(), "discovery": discovery.to_string(),
        "seed": format!("{seed:016x}"), "limits": {"sockets": 4096, "memory_mb": 128},
        "settings": {"balancers": 1, "me": 0, "zone": 0, "localities": ZONES,
            "classes": [{"name": "read", "credit": 1, "onTime": 1.5, "deadline": DEADLINE_SECONDS,
                "idempotency": "free"}],
            "tariffs": [{"name": "team", "perSecond": 10_000.0, "depth": 20_000.0}],
            "ceilings": {"attemptsCap": 3, "connIdle": 15.0, "dialTimeout": 0.25}}})
    .to_string()
}
