//! Scenarios for the hollow fleet, read from TOML and validated before anything is built. An invalid scenario, or one that
//! exceeds the memory limit, is rejected with a one-line error that names the key.

use crate::ScaleError;
use martenramp::host::Settings;
use serde::Deserialize;
use std::path::Path;

// Upper limits for the values in a scenario.
const MAX_GATEWAYS: usize = 100_000;
const MAX_SERVERS: usize = 1_000_000;
const MAX_TENANTS: usize = 10_000_000;
const MAX_SECONDS: f64 = 86_400.0;
const MAX_RATE: f64 = 100_000.0;
const MAX_ZONES: usize = 64;
const MAX_CONTROL_MACHINES: usize = 1_000;

// Memory that a simulated gateway holds, estimated for the check against `memory_mb`: a fixed part, and a part for each
// server that it lists and each tenant that it serves.
const BYTES_PER_GATEWAY: u64 = 64 << 10;
const BYTES_PER_LISTED_SERVER: u64 = 900;
const BYTES_PER_TENANT: u64 = 900;
/// Memory for each pair of a listed server and a gateway of the fleet while a gateway computes its subset of the servers.
const BYTES_PER_SERVER_GATEWAY_PAIR: u64 = 64;
const MEGABYTE: u64 = 1 << 20;

/// A scenario file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Duration of the warm-up, before measurement begins.
    pub warm_seconds: f64,
    /// Duration of the measured part.
    pub seconds: f64,
    /// Size of the fleet, as configured at every gateway.
    pub gateways: usize,
    /// Number of gateways to simulate, taken from the start of the fleet; 0 simulates all. Figures for the fleet are scaled
    /// up from these.
    #[serde(default)]
    pub sample: usize,
    pub servers: usize,
    /// Number of services; servers are assigned to them round-robin.
    #[serde(default = "one")]
    pub services: usize,
    /// Number of services that each gateway uses; 0 means all. A gateway's list contains only the servers of these.
    #[serde(default, rename = "services_met")]
    pub services_used: usize,
    /// Number of zones; gateways and servers are assigned to them round-robin.
    #[serde(default = "one")]
    pub zones: usize,
    /// Number of regions; zones are assigned to them round-robin.
    #[serde(default = "one")]
    pub regions: usize,
    /// Number of tenants of the whole fleet; the simulated gateways serve their share of them.
    pub tenants: usize,
    /// Mean rate of RPCs per second at each gateway (Poisson arrivals).
    pub rate: f64,
    /// Number of control machines over which watches and counter calls are spread.
    #[serde(default = "default_control_machines")]
    pub control_machines: usize,
    /// Memory limit of the run, in megabytes.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// The service settings in the gateway's nested form; `balancers`, `me`, `zone` and `localities` are added to them.
    pub settings: toml::Table,
    pub load: Load,
    pub server: Server,
    #[serde(default)]
    pub network: Network,
    #[serde(default)]
    pub discovery: Discovery,
    #[serde(default)]
    pub counter: Counter,
    /// Present if the settings are versioned and the gateways agree on the version.
    #[serde(default)]
    pub agreement: Option<Agreement>,
    #[serde(default)]
    pub events: Vec<ScenarioEvent>,
}

/// The RPC load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Number of consecutive gateways that receive each tenant's RPCs.
    pub width: usize,
    /// Sigma of the log-normal distribution of the tenants' shares of the load; 0 gives all the same share.
    #[serde(default)]
    pub skew: f64,
    /// Name of a tariff in the settings.
    pub plan: String,
    pub methods: Vec<Method>,
}

/// The RPCs of one method.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Method {
    /// Name of a class in the settings.
    pub name: String,
    pub share: f64,
    #[serde(default = "one_f64")]
    pub units: f64,
}

/// The performance of every server.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Number of attempts served concurrently.
    pub slots: u32,
    /// Median service time (log-normal distribution with sigma `spread`).
    pub service_ms: f64,
    #[serde(default = "default_spread")]
    pub spread: f64,
    #[serde(default = "one_f64")]
    pub cold_share: f64,
    #[serde(default)]
    pub cold_seconds: f64,
}

/// One-way delays between a gateway and a server, the counter or another gateway.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// Delay within a region.
    pub delay_ms: f64,
    /// Delay between regions.
    pub far_delay_ms: f64,
}

impl Default for Network {
    fn default() -> Self {
        Network { delay_ms: 0.05, far_delay_ms: 30.0 }
    }
}

/// Discovery's delay from a change of the server list until an agent sends it to its gateway. Each agent draws its delay
/// from the range.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    #[serde(rename = "delay_ms_least")]
    pub min_delay_ms: f64,
    #[serde(rename = "delay_ms_most")]
    pub max_delay_ms: f64,
    /// Whether every gateway starts with the current list, as if it had kept it from a previous run.
    #[serde(rename = "known")]
    pub starts_with_list: bool,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery { min_delay_ms: 50.0, max_delay_ms: 500.0, starts_with_list: true }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Counter {
    /// Time from a call's arrival until the reply is sent.
    pub latency_ms: f64,
}

impl Default for Counter {
    fn default() -> Self {
        Counter { latency_ms: 0.3 }
    }
}

/// The parameters of the agreement on settings, and how new versions are distributed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agreement {
    #[serde(default = "default_lease")]
    pub lease: f64,
    #[serde(rename = "clock", default = "default_clock")]
    pub max_clock_error: f64,
    /// Number of voters: the first gateways of the fleet.
    #[serde(default = "default_voters")]
    pub voters: usize,
    /// Upper limit of the random delay until a new version's file reaches a machine.
    #[serde(default = "default_file_seconds")]
    pub file_seconds: f64,
}

/// A scheduled event. Times are in seconds after the warm-up.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum ScenarioEvent {
    /// Every `every` seconds a server fails (with probability `fail_share`) or is restarted.
    Churn {
        at: f64,
        seconds: f64,
        every: f64,
        #[serde(default)]
        fail_share: f64,
        /// Time from the start of a restart, when the server drains, until it stops. A failed server is delisted after the
        /// same time.
        drain: f64,
        /// Time from the failure or the start of the restart until the server is back.
        down: f64,
    },
    /// A number of servers in one zone fail at once, as when a rack or switch fails, and are delisted later.
    Rack {
        at: f64,
        servers: usize,
        #[serde(rename = "told_after")]
        delisted_after: f64,
        down: f64,
    },
    /// All servers of a zone fail at once and are delisted later.
    ZoneDown {
        at: f64,
        zone: String,
        #[serde(rename = "told_after")]
        delisted_after: f64,
        seconds: f64,
    },
    /// A share of the servers is replaced, evenly over the duration: the old server drains while the new one is listed, and
    /// then goes out of service.
    Replace { at: f64, share: f64, seconds: f64, drain: f64 },
    /// A new version of the settings is published every `every` seconds.
    Versions { at: f64, seconds: f64, every: f64 },
    /// A region loses its connection to all others. The authoritative list and the counter are in the first region.
    #[serde(rename = "region_apart")]
    RegionIsolated { at: f64, region: usize, seconds: f64 },
    /// A share of the gateways is killed and restarted after `down` seconds.
    RestartGateways { at: f64, share: f64, down: f64 },
    /// The first `count` voters are killed and restarted after `down` seconds.
    VotersLost { at: f64, count: usize, down: f64 },
    /// The discovery agents on a share of the control machines are down for a while, which breaks their gateways' watches.
    AgentsLost { at: f64, share: f64, seconds: f64 },
    /// The counter does not reply for a while.
    CounterStalled { at: f64, seconds: f64 },
}

impl ScenarioEvent {
    /// The times at which the event begins and ends.
    fn span(&self) -> (f64, f64) {
        match self {
            ScenarioEvent::Churn { at, seconds, .. }
            | ScenarioEvent::ZoneDown { at, seconds, .. }
            | ScenarioEvent::Replace { at, seconds, .. }
            | ScenarioEvent::Versions { at, seconds, .. }
            | ScenarioEvent::RegionIsolated { at, seconds, .. }
            | ScenarioEvent::AgentsLost { at, seconds, .. }
            | ScenarioEvent::CounterStalled { at, seconds } => (*at, at + seconds),
            ScenarioEvent::Rack { at, down, .. }
            | ScenarioEvent::RestartGateways { at, down, .. }
            | ScenarioEvent::VotersLost { at, down, .. } => (*at, at + down),
        }
    }
}

fn default_seed() -> u64 {
    1
}
fn one() -> usize {
    1
}
fn one_f64() -> f64 {
    1.0
}
fn default_control_machines() -> usize {
    27
}
fn default_memory_mb() -> u64 {
    12_000
}
fn default_spread() -> f64 {
    0.3
}
fn default_lease() -> f64 {
    2.0
}
fn default_clock() -> f64 {
    0.25
}
fn default_voters() -> usize {
    7
}
fn default_file_seconds() -> f64 {
    1.0
}

fn zone_name(zone: usize) -> String {
    let letter = |index: usize| char::from(b'a' + (index % 26) as u8);
    let first = (zone >= 26).then(|| letter(zone / 26));
    first.into_iter().chain([letter(zone)]).collect()
}

/// Checks that the value of a key lies between the limits, both inclusive.
fn check_range(key: &str, value: f64, min: f64, max: f64) -> Result<(), ScaleError> {
    if value.is_finite() && (min..=max).contains(&value) {
        return Ok(());
    }
    Err(ScaleError::bad_key(key, format!("{value} is not between {min} and {max}")))
}

impl Scenario {
    /// Reads and validates a scenario file, including the file that it `extends`.
    pub fn read(file: &Path) -> Result<Scenario, ScaleError> {
        let text = lab::scenario::read_text(file).map_err(|why| ScaleError::scenario(file, why))?;
        Scenario::from_toml(file, &text)
    }

    /// Parses and validates the text of a scenario; errors name `file`.
    pub fn from_toml(file: &Path, text: &str) -> Result<Scenario, ScaleError> {
        let scenario: Scenario =
            toml::from_str(text).map_err(|why| ScaleError::scenario(file, why.message()))?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Number of gateways to simulate.
    pub fn simulated_gateways(&self) -> usize {
        if self.sample == 0 { self.gateways } else { self.sample }
    }

    /// The factor by which figures of the simulated gateways are scaled up to the whole fleet.
    pub fn scale_factor(&self) -> f64 {
        self.gateways as f64 / self.simulated_gateways() as f64
    }

    /// Number of services that each gateway uses.
    pub fn services_per_gateway(&self) -> usize {
        if self.services_used == 0 { self.services } else { self.services_used }
    }

    /// The `nth` service that a gateway uses. A gateway uses consecutive services, from an offset that depends on its index,
    /// so that all services are used by about the same number of gateways.
    pub fn gateway_service(&self, gateway: usize, nth: usize) -> u32 {
        ((gateway * self.services_per_gateway() + nth) % self.services) as u32
    }

    /// Approximate number of servers in a gateway's list.
    pub fn servers_per_gateway(&self) -> usize {
        (self.servers * self.services_per_gateway()).div_ceil(self.services)
    }

    /// Number of servers that are listed at any time of the run, including replacements.
    pub fn total_servers(&self) -> usize {
        let replaced = self.events.iter().map(|event| match event {
            ScenarioEvent::Replace { share, .. } => self.share_of_servers(*share),
            _ => 0,
        });
        self.servers + replaced.sum::<usize>()
    }

    pub fn share_of_servers(&self, share: f64) -> usize {
        (self.servers as f64 * share).round() as usize
    }

    /// Number of tenants whose RPCs the simulated gateways receive.
    pub fn simulated_tenants(&self) -> usize {
        (self.tenants * self.simulated_gateways() / self.gateways).max(1)
    }

    /// Names of the zones: `a` to `z`, then `ba`, `bb` and so on.
    pub fn zone_names(&self) -> Vec<String> {
        (0..self.zones).map(zone_name).collect()
    }

    /// The flattened settings that all gateways share, without those that differ between gateways.
    pub fn flat_settings(&self) -> Settings {
        let nested = serde_json::to_value(&self.settings).unwrap_or_default();
        let mut flat = nested.as_object().map(martenramp::settings::flatten).unwrap_or_default();
        flat.insert("balancers".to_string(), self.gateways.to_string());
        flat.insert("localities".to_string(), self.zone_names().join(","));
        flat
    }

    /// Index of the named class in the settings.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.index_by_name("classes", name)
    }

    /// Index of the load's tariff in the settings.
    pub fn plan_index(&self) -> Option<usize> {
        self.index_by_name("tariffs", &self.load.plan)
    }

    fn index_by_name(&self, list: &str, name: &str) -> Option<usize> {
        let entries = self.settings.get(list)?.as_array()?;
        entries.iter().position(|entry| entry.get("name").and_then(toml::Value::as_str) == Some(name))
    }

    /// The deadline of a class's RPCs in seconds; 3 if the settings give none.
    pub fn class_deadline(&self, class: usize) -> f64 {
        let value = self.settings.get("classes").and_then(|classes| classes.get(class));
        let value = value.and_then(|class| class.get("deadline"));
        value.and_then(|value| value.as_float().or(value.as_integer().map(|int| int as f64))).unwrap_or(3.0)
    }

    fn check(&self) -> Result<(), ScaleError> {
        self.check_sizes()?;
        self.check_load()?;
        self.check_agreement()?;
        for (index, event) in self.events.iter().enumerate() {
            self.check_event(&format!("events[{index}]"), event)?;
        }
        self.check_memory()
    }

    fn check_sizes(&self) -> Result<(), ScaleError> {
        let count = |key: &str, value: usize, max: usize| check_range(key, value as f64, 1.0, max as f64);
        check_range("warm_seconds", self.warm_seconds, 0.0, MAX_SECONDS)?;
        check_range("seconds", self.seconds, 1.0, MAX_SECONDS)?;
        count("gateways", self.gateways, MAX_GATEWAYS)?;
        check_range("sample", self.sample as f64, 0.0, self.gateways as f64)?;
        count("servers", self.servers, MAX_SERVERS)?;
        count("services", self.services, self.servers)?;
        check_range("services_met", self.services_used as f64, 0.0, self.services as f64)?;
        count("zones", self.zones, MAX_ZONES)?;
        count("regions", self.regions, self.zones)?;
        count("tenants", self.tenants, MAX_TENANTS)?;
        count("control_machines", self.control_machines, MAX_CONTROL_MACHINES)?;
        check_range("rate", self.rate, 0.0, MAX_RATE)?;
        check_range("network.delay_ms", self.network.delay_ms, 0.0, 10_000.0)?;
        check_range("network.far_delay_ms", self.network.far_delay_ms, 0.0, 10_000.0)?;
        check_range("discovery.delay_ms_least", self.discovery.min_delay_ms, 0.0, 60_000.0)?;
        let min = self.discovery.min_delay_ms;
        check_range("discovery.delay_ms_most", self.discovery.max_delay_ms, min, 60_000.0)?;
        check_range("counter.latency_ms", self.counter.latency_ms, 0.0, 10_000.0)
    }

    fn check_load(&self) -> Result<(), ScaleError> {
        check_range("load.width", self.load.width as f64, 1.0, self.simulated_gateways() as f64)?;
        check_range("load.skew", self.load.skew, 0.0, 5.0)?;
        if self.plan_index().is_none() {
            return Err(ScaleError::bad_key("load.plan", format!("no tariff named '{}'", self.load.plan)));
        }
        if self.load.methods.is_empty() {
            return Err(ScaleError::bad_key("load.methods", "at least one method is required"));
        }
        for method in &self.load.methods {
            if self.class_index(&method.name).is_none() {
                return Err(ScaleError::bad_key("load.methods", format!("no class named '{}'", method.name)));
            }
            check_range("load.methods.share", method.share, 1e-6, 1.0)?;
            check_range("load.methods.units", method.units, 0.0, 1e9)?;
        }
        check_range("server.slots", f64::from(self.server.slots), 1.0, 1e6)?;
        check_range("server.service_ms", self.server.service_ms, 0.01, 60_000.0)?;
        check_range("server.spread", self.server.spread, 0.0, 5.0)?;
        check_range("server.cold_share", self.server.cold_share, 0.001, 1.0)?;
        check_range("server.cold_seconds", self.server.cold_seconds, 0.0, 3_600.0)
    }

    fn check_agreement(&self) -> Result<(), ScaleError> {
        let Some(terms) = &self.agreement else { return Ok(()) };
        check_range("agreement.clock", terms.max_clock_error, 0.001, 60.0)?;
        check_range("agreement.lease", terms.lease, 4.0 * terms.max_clock_error, 600.0)?;
        check_range("agreement.voters", terms.voters as f64, 1.0, self.simulated_gateways() as f64)?;
        check_range("agreement.file_seconds", terms.file_seconds, 0.0, 3_600.0)
    }

    fn check_event(&self, key: &str, event: &ScenarioEvent) -> Result<(), ScaleError> {
        let field = |name: &str| format!("{key}.{name}");
        let (begins, ends) = event.span();
        check_range(&field("at"), begins, 0.0, self.seconds)?;
        check_range(&field("seconds"), ends, begins, self.seconds)?;
        let share = |value: f64| check_range(&field("share"), value, 0.0, 1.0);
        match event {
            ScenarioEvent::Churn { every, fail_share, drain, down, .. } => {
                check_range(&field("every"), *every, 0.001, self.seconds)?;
                check_range(&field("fail_share"), *fail_share, 0.0, 1.0)?;
                check_range(&field("drain"), *drain, 0.0, *down)?;
                check_range(&field("down"), *down, 0.0, self.seconds)
            }
            ScenarioEvent::Rack { servers, delisted_after, down, .. } => {
                let max = self.servers.div_ceil(self.zones);
                check_range(&field("servers"), *servers as f64, 1.0, max as f64)?;
                check_range(&field("told_after"), *delisted_after, 0.0, *down)
            }
            ScenarioEvent::ZoneDown { zone, delisted_after, seconds, .. } => {
                if !self.zone_names().contains(zone) {
                    return Err(ScaleError::bad_key(field("zone"), format!("no zone named '{zone}'")));
                }
                check_range(&field("told_after"), *delisted_after, 0.0, *seconds)
            }
            ScenarioEvent::Replace { share: value, drain, .. } => {
                share(*value)?;
                check_range(&field("drain"), *drain, 0.0, self.seconds)
            }
            ScenarioEvent::Versions { every, .. } => {
                if self.agreement.is_none() {
                    return Err(ScaleError::bad_key(key, "versions require an 'agreement' section"));
                }
                check_range(&field("every"), *every, 0.1, self.seconds)
            }
            ScenarioEvent::RegionIsolated { region, .. } => {
                check_range(&field("region"), *region as f64, 0.0, self.regions as f64 - 1.0)
            }
            ScenarioEvent::RestartGateways { share: value, .. }
            | ScenarioEvent::AgentsLost { share: value, .. } => share(*value),
            ScenarioEvent::VotersLost { count, .. } => {
                let voters = self.agreement.as_ref().map_or(0, |terms| terms.voters);
                check_range(&field("count"), *count as f64, 1.0, voters as f64)
            }
            ScenarioEvent::CounterStalled { .. } => Ok(()),
        }
    }

    /// Estimates the peak memory of the run: the state of all simulated gateways, and the temporary tables of one gateway that
    /// computes its subset of the servers.
    fn estimated_peak_bytes(&self) -> u64 {
        let tenants_per_gateway = (self.tenants * self.load.width / self.gateways) as u64;
        let bytes_per_gateway = BYTES_PER_GATEWAY
            + BYTES_PER_LISTED_SERVER * self.servers_per_gateway() as u64
            + BYTES_PER_TENANT * tenants_per_gateway;
        let pairs = self.servers_per_gateway() as u64 * self.gateways as u64;
        self.simulated_gateways() as u64 * bytes_per_gateway + pairs * BYTES_PER_SERVER_GATEWAY_PAIR
    }

    fn check_memory(&self) -> Result<(), ScaleError> {
        let needed_mb = self.estimated_peak_bytes() / MEGABYTE;
        if needed_mb <= self.memory_mb {
            return Ok(());
        }
        let why = format!(
            "{} gateways with {} listed servers each need about {needed_mb} MB, more than the {} MB of 'memory_mb'",
            self.simulated_gateways(),
            self.servers_per_gateway(),
            self.memory_mb
        );
        Err(ScaleError::bad_key("sample", why))
    }
}
