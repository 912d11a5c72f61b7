//! The environment of one run: emulated servers, discovery with one agent, one gateway process, and the load
//! generator.

use crate::ScaleError;
use rig::Stream;
use rig::load_generator::{ClientBehaviour, ClientRpc, Customer, LoadGenerator, LoadProfile, Method};
use serde_json::json;
use standins::discovery::{Discovery, Entry};
use standins::process::Program;
use standins::reactor::{Clock, Handle};
use standins::servers::{LateData, ServerSpec, Servers};
use standins::{MS, Nanos, SEC, nanos};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::Command;
use std::time::Duration;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Enough that no request queues at a server, so that service time is the same on both routes.
const CORES: usize = 256;
const MEDIAN_SERVICE_TIME: Nanos = 4 * MS;
const SERVICE_SIGMA: f64 = 0.2;
const CUSTOMERS: usize = 200;
/// Duration of load before the measured part, in which connections are opened and the gateway learns about its
/// servers.
const WARM_UP: Nanos = 2 * SEC;
/// Interval between changes in [`Scenario::ListChanges`].
const CHANGE_INTERVAL: Nanos = 100 * MS;
const READY_TIMEOUT: Nanos = 10 * SEC;
const DEADLINE_SECONDS: f64 = 5.0;

/// What happens during the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Nothing.
    Quiet,
    /// A list entry changes ten times a second: a server starts to drain, then is ready again.
    ListChanges,
    /// All servers of one zone start to drain in the middle of the run, published one by one without delay.
    ZoneDrains,
}

impl Scenario {
    /// The name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::Quiet => "quiet",
            Scenario::ListChanges => "list-changes",
            Scenario::ZoneDrains => "zone-gone",
        }
    }
}

/// Where the load generator sends RPCs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// Directly to the servers, one of which is drawn for each RPC.
    Direct,
    /// Through one gateway.
    Gateway,
}

impl Route {
    /// The name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Route::Direct => "direct",
            Route::Gateway => "gateway",
        }
    }
}

/// One run: a load, the route that it takes, and what happens meanwhile.
pub struct Run<'a> {
    pub program: &'a Path,
    pub scenario: Scenario,
    pub rate: f64,
    pub route: Route,
    /// The number of servers.
    pub servers: usize,
    /// The number of gateways that the gateway is told of, itself included.
    pub fleet: usize,
    /// Length of the measured part, seconds.
    pub seconds: f64,
    pub seed: u64,
}

/// The records of one run.
pub struct RunRecord {
    /// The RPCs that were scheduled in the measured part.
    pub rpcs: Vec<ClientRpc>,
    /// The connections to servers that were opened in the measured part.
    pub opened_connections: u64,
    /// The connections to servers that were open at its end.
    pub open_connections: usize,
}

struct Fleet {
    clock: Clock,
    servers: Handle<Servers>,
    discovery: Handle<Discovery>,
    generator: Handle<LoadGenerator>,
    entries: Vec<Entry>,
    /// The gateway process; it is ended when this is dropped.
    _gateway: Option<Program>,
}

fn any_port(last_octet: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 0, 0, last_octet), 0))
}

fn setup_error(error: std::io::Error) -> ScaleError {
    ScaleError::Measurement { what: "setting up a run".to_string(), why: error.to_string() }
}

impl Run<'_> {
    /// Executes the run.
    pub fn execute(&self) -> Result<RunRecord, ScaleError> {
        let fleet = self.set_up().map_err(setup_error)?;
        fleet.wait_ready(if self.route == Route::Direct { self.servers } else { 1 })?;
        fleet.generator.with(|generator, io| generator.set_running(io, true));
        let start = fleet.clock.now() + WARM_UP;
        let end = start + nanos(self.seconds);
        fleet.sleep_until(start);
        let opened_before = fleet.connections().0;
        match self.scenario {
            Scenario::Quiet => {}
            Scenario::ListChanges => fleet.change_list_until(end),
            Scenario::ZoneDrains => {
                fleet.sleep_until(start + (end - start) / 2);
                fleet.drain_zone(ZONES[0]);
            }
        }
        fleet.sleep_until(end);
        let (opened, open_connections) = fleet.connections();
        fleet.generator.with(|generator, io| generator.set_running(io, false));
        fleet.sleep_until(end + nanos(DEADLINE_SECONDS).min(SEC));
        let rpcs = fleet.generator.with(|generator, _| std::mem::take(&mut generator.rpcs));
        let is_measured = |rpc: &ClientRpc| (start..end).contains(&rpc.scheduled_at);
        Ok(RunRecord {
            rpcs: rpcs.into_iter().filter(is_measured).collect(),
            opened_connections: opened - opened_before,
            open_connections,
        })
    }

    fn set_up(&self) -> std::io::Result<Fleet> {
        let clock = Clock::start();
        let servers = Handle::start(Servers::new(rig::stream_rng(self.seed, Stream::Servers)), clock)?;
        let discovery = Handle::start(Discovery::default(), clock)?;
        let width = if self.route == Route::Direct { self.servers } else { 1 };
        let generator =
            LoadGenerator::new(load_profile(self.rate, width), rig::stream_rng(self.seed, Stream::Arrivals));
        let generator = Handle::start(generator, clock)?;
        let mut entries = Vec::new();
        for number in 0..self.servers {
            let spec = server_spec(number);
            let (name, zone) = (spec.name.clone(), spec.zone.clone());
            let (_, address) = servers.with(move |servers, io| servers.add(io, spec, true))?;
            let entry = Entry { name, address, zone, cell: 0, status: "ready", weight: 1.0, since_ms: 0 };
            entries.push(entry.clone());
            discovery.with(move |discovery, io| discovery.publish(io, entry));
        }
        let gateway = match self.route {
            Route::Direct => {
                let addresses: Vec<SocketAddr> = entries.iter().map(|entry| entry.address).collect();
                generator.with(move |generator, io| {
                    addresses.iter().for_each(|address| generator.add_gateway(io, *address))
                });
                None
            }
            Route::Gateway => {
                let agent =
                    discovery.with(|discovery, io| discovery.add_agent(io, any_port(5), BTreeMap::new()))?;
                let mut program = Program::spawn(
                    &mut Command::new(self.program),
                    &configuration(agent, self.seed, self.fleet),
                )?;
                program.wait_started();
                let address = program.address;
                generator.with(move |generator, io| generator.add_gateway(io, address));
                Some(program)
            }
        };
        Ok(Fleet { clock, servers, discovery, generator, entries, _gateway: gateway })
    }
}

impl Fleet {
    fn sleep_until(&self, at: Nanos) {
        std::thread::sleep(Duration::from_nanos(at.saturating_sub(self.clock.now())));
    }

    fn wait_ready(&self, count: usize) -> Result<(), ScaleError> {
        let deadline = self.clock.now() + READY_TIMEOUT;
        while self.generator.with(|generator, _| generator.admitted_gateways()) < count {
            if self.clock.now() > deadline {
                return Err(ScaleError::Measurement {
                    what: "starting the gateway".to_string(),
                    why: "not ready within 10 s".to_string(),
                });
            }
            self.sleep_until(self.clock.now() + 20 * MS);
        }
        Ok(())
    }

    /// The number of connections that servers accepted so far, and of those that are open.
    fn connections(&self) -> (u64, usize) {
        self.servers.with(|servers, _| (servers.accepted_connections, servers.connection_count()))
    }

    fn publish_status(&self, entry: &Entry, status: &'static str) {
        let entry = Entry { status, ..entry.clone() };
        self.discovery.with(move |discovery, io| discovery.publish(io, entry));
    }

    fn change_list_until(&self, to: Nanos) {
        let mut changes = 0;
        while self.clock.now() < to {
            let entry = &self.entries[changes / 2 % self.entries.len()];
            self.publish_status(entry, if changes % 2 == 0 { "draining" } else { "ready" });
            changes += 1;
            self.sleep_until(self.clock.now() + CHANGE_INTERVAL);
        }
    }

    fn drain_zone(&self, zone: &str) {
        let draining = self.entries.iter().filter(|entry| entry.zone == zone);
        draining.for_each(|entry| self.publish_status(entry, "draining"));
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.servers.with(|servers, _| servers.ledger.clear());
    }
}

fn server_spec(number: usize) -> ServerSpec {
    ServerSpec {
        name: format!("server-{number}"),
        zone: ZONES[number % ZONES.len()].to_string(),
        weight: 1.0,
        cores: CORES,
        queue_limit: CORES,
        max_connections: 4 * CORES,
        median_service: MEDIAN_SERVICE_TIME,
        service_sigma: SERVICE_SIGMA,
        cold_share: 1.0,
        warmup: 0,
        reports_load: true,
        body_bytes: 2,
        late_data: LateData::default(),
        address: any_port(4),
    }
}

fn load_profile(rate: f64, width: usize) -> LoadProfile {
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

/// The quota is too large to limit the load and there is no counter, because the run measures forwarding, not
/// rejection.
fn configuration(discovery: SocketAddr, seed: u64, fleet: usize) -> String {
    json!({"name": "n0", "listen": any_port(3).to_string(), "discovery": discovery.to_string(),
        "seed": format!("{seed:016x}"), "limits": {"sockets": 4096, "memory_mb": 128},
        "settings": {"balancers": fleet, "me": 0, "zone": 0, "localities": ZONES,
            "classes": [{"name": "read", "credit": 1, "onTime": 1.5, "deadline": DEADLINE_SECONDS,
                "idempotency": "free"}],
            "tariffs": [{"name": "team", "perSecond": 10_000.0, "depth": 20_000.0}],
            "ceilings": {"attemptsCap": 3, "connIdle": 15.0, "dialTimeout": 0.25}}})
    .to_string()
}
