//! What a hollow fleet plays, read from TOML and checked before anything is built. A scenario that makes no sense, or that
//! does not fit the memory, is refused in one line that names the key.

use crate::ScaleError;
use martenramp::host::Settings;
use serde::Deserialize;
use std::path::Path;

/// The most gateways, servers and tenants that a scenario may ask for.
const GATEWAYS_MOST: usize = 100_000;
const SERVERS_MOST: usize = 1_000_000;
const TENANTS_MOST: usize = 10_000_000;
const SECONDS_MOST: f64 = 86_400.0;
const RATE_MOST: f64 = 100_000.0;
const ZONES_MOST: usize = 64;
const MACHINES_MOST: usize = 1_000;

/// Bytes that a played gateway holds, for the check against `memory_mb`: by itself, for each server that it is told of,
/// and for each tenant that it meets.
const BYTES_EACH_GATEWAY: u64 = 64 << 10;
const BYTES_EACH_SERVER_TOLD: u64 = 900;
const BYTES_EACH_TENANT_MET: u64 = 900;
/// Bytes that each pair of a server and a gateway of the fleet takes while a gateway works out its part of the servers.
const BYTES_EACH_PAIR: u64 = 64;
const MEGABYTE: u64 = 1 << 20;

/// A scenario, as read.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Seconds before anything is measured, and measured ones.
    pub warm_seconds: f64,
    pub seconds: f64,
    /// The size of the fleet, as every gateway is told.
    pub gateways: usize,
    /// Gateways that are played, the first ones of the fleet; figures of the fleet are theirs, multiplied. 0 is all.
    #[serde(default)]
    pub sample: usize,
    pub servers: usize,
    /// Services that the servers belong to by turns, and how many of them one gateway meets (0 is all). A gateway is told
    /// only the servers of the services that it meets.
    #[serde(default = "one")]
    pub services: usize,
    #[serde(default)]
    pub services_met: usize,
    /// Gateways and servers are in the zones by turns, and the zones in the regions.
    #[serde(default = "one")]
    pub zones: usize,
    #[serde(default = "one")]
    pub regions: usize,
    /// Tenants of the whole fleet; the played gateways meet their part of them.
    pub tenants: usize,
    /// RPCs a second for each gateway on average (Poisson).
    pub rate: f64,
    /// Control machines among which watches and counter calls are spread.
    #[serde(default = "default_machines")]
    pub control_machines: usize,
    /// Memory that the run may take, megabytes.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// The service's settings in the gateway's nested form; `balancers`, `me`, `zone` and `localities` are added.
    pub settings: toml::Table,
    pub load: Load,
    pub server: Server,
    #[serde(default)]
    pub network: Network,
    #[serde(default)]
    pub discovery: Discovery,
    #[serde(default)]
    pub counter: Counter,
    /// The settings have a version on which the gateways agree.
    #[serde(default)]
    pub agreement: Option<Agreement>,
    #[serde(default)]
    pub events: Vec<ScenarioEvent>,
}

/// Who sends RPCs, and of which kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Gateways in a row through which each tenant's RPCs come in.
    pub width: usize,
    /// Sigma of the log-normal that tenants' shares are drawn from; 0 gives all the same.
    #[serde(default)]
    pub skew: f64,
    /// A tariff of the settings.
    pub plan: String,
    pub methods: Vec<Method>,
}

/// A class of RPCs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Method {
    /// A class of the settings.
    pub name: String,
    pub share: f64,
    #[serde(default = "one_f64")]
    pub units: f64,
}

/// What every server can do.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Call-outs served at once.
    pub slots: u32,
    /// Median service time (log-normal with sigma `spread`).
    pub service_ms: f64,
    #[serde(default = "default_spread")]
    pub spread: f64,
    #[serde(default = "one_f64")]
    pub cold_share: f64,
    #[serde(default)]
    pub cold_seconds: f64,
}

/// One way between a gateway and a server, the counter or another gateway.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    pub delay_ms: f64,
    /// Within a region; between regions a message takes so long instead.
    pub far_delay_ms: f64,
}

impl Default for Network {
    fn default() -> Self {
        Network { delay_ms: 0.05, far_delay_ms: 30.0 }
    }
}

/// From a change of the fleet to the line that an agent writes to its gateway: each agent draws its own delay between the
/// two.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    #[serde(rename = "delay_ms_least")]
    pub min_delay_ms: f64,
    #[serde(rename = "delay_ms_most")]
    pub max_delay_ms: f64,
    /// Every gateway starts with the list that it held before.
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
    /// Time from a call's arrival to its answer.
    pub latency_ms: f64,
}

impl Default for Counter {
    fn default() -> Self {
        Counter { latency_ms: 0.3 }
    }
}

/// The terms of the agreement on settings, and how a new version reaches the machines.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agreement {
    #[serde(default = "default_lease")]
    pub lease: f64,
    #[serde(rename = "clock", default = "default_clock")]
    pub max_clock_error: f64,
    /// The first so many gateways vote.
    #[serde(default = "default_voters")]
    pub voters: usize,
    /// A new file is on each machine after a random part of so many seconds.
    #[serde(default = "default_file_seconds")]
    pub file_seconds: f64,
}

/// Something that happens; times in seconds after the warm-up.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum ScenarioEvent {
    /// Servers fail (a share of them) or are restarted, one every so often.
    Churn {
        at: f64,
        seconds: f64,
        every: f64,
        #[serde(default)]
        fail_share: f64,
        /// A restart drains so long and is back after so long; a failure is told after `drain`, too.
        drain: f64,
        down: f64,
    },
    /// Servers of one zone fail at once, and the list says so after a while: a rack or switch.
    Rack {
        at: f64,
        servers: usize,
        #[serde(rename = "told_after")]
        delisted_after: f64,
        down: f64,
    },
    /// All servers of a zone fail at once.
    ZoneDown {
        at: f64,
        zone: String,
        #[serde(rename = "told_after")]
        delisted_after: f64,
        seconds: f64,
    },
    /// A share of the servers is replaced, evenly over the time: the old one drains, a new one is listed, and the old one goes.
    Replace { at: f64, share: f64, seconds: f64, drain: f64 },
    /// New versions of the settings are put out, one every so often.
    Versions { at: f64, seconds: f64, every: f64 },
    /// A region is cut off from all others; discovery's source and the counter are in the first region.
    #[serde(rename = "region_apart")]
    RegionIsolated { at: f64, region: usize, seconds: f64 },
    /// A share of the gateways is killed and started again after a while.
    RestartGateways { at: f64, share: f64, down: f64 },
    /// The first so many voters are killed and started again after a while.
    VotersLost { at: f64, count: usize, down: f64 },
    /// Discovery's agents of a share of the control machines are gone for a while: their gateways' watches break.
    AgentsLost { at: f64, share: f64, seconds: f64 },
    /// The counter answers nothing for a while.
    CounterStalled { at: f64, seconds: f64 },
}

impl ScenarioEvent {
    /// When it begins and when its last effect is put in force.
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
fn default_machines() -> usize {
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
    let letter = |at: usize| char::from(b'a' + (at % 26) as u8);
    let first = (zone >= 26).then(|| letter(zone / 26));
    first.into_iter().chain([letter(zone)]).collect()
}

/// A key whose number has to lie within bounds.
fn within(key: &str, value: f64, least: f64, most: f64) -> Result<(), ScaleError> {
    if value.is_finite() && (least..=most).contains(&value) {
        return Ok(());
    }
    Err(ScaleError::bad_key(key, format!("{value} is not from {least} to {most}")))
}

impl Scenario {
    /// Reads and checks a scenario file, with what it `extends`.
    pub fn read(file: &Path) -> Result<Scenario, ScaleError> {
        let text = lab::scenario::read_text(file).map_err(|why| ScaleError::scenario(file, why))?;
        Scenario::from_toml(file, &text)
    }

    /// Reads and checks a scenario's text; `file` is named in errors.
    pub fn from_toml(file: &Path, text: &str) -> Result<Scenario, ScaleError> {
        let scenario: Scenario =
            toml::from_str(text).map_err(|why| ScaleError::scenario(file, why.message()))?;
        scenario.check()?;
        Ok(scenario)
    }

    /// How many gateways are played.
    pub fn simulated_gateways(&self) -> usize {
        if self.sample == 0 { self.gateways } else { self.sample }
    }

    /// By how much figures of the played gateways are multiplied to stand for the fleet.
    pub fn scale_factor(&self) -> f64 {
        self.gateways as f64 / self.simulated_gateways() as f64
    }

    /// Services that one gateway meets.
    pub fn services_per_gateway(&self) -> usize {
        if self.services_met == 0 { self.services } else { self.services_met }
    }

    /// The `nth` service that a gateway meets. They are in a row from one that its number tells, so that all are met by about
    /// as many gateways.
    pub fn gateway_service(&self, gateway: usize, nth: usize) -> u32 {
        ((gateway * self.services_per_gateway() + nth) % self.services) as u32
    }

    /// Servers that one gateway is told of, about.
    pub fn servers_per_gateway(&self) -> usize {
        (self.servers * self.services_per_gateway()).div_ceil(self.services)
    }

    /// Servers that are listed during the run, the replacements among them.
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

    /// Tenants whose RPCs come in through the played gateways.
    pub fn simulated_tenants(&self) -> usize {
        (self.tenants * self.simulated_gateways() / self.gateways).max(1)
    }

    /// Names of the zones: `a` to `z`, then `ba`, `bb` and so on.
    pub fn zone_names(&self) -> Vec<String> {
        (0..self.zones).map(zone_name).collect()
    }

    /// The settings as the gateways get them, without what each is told for itself.
    pub fn flat_settings(&self) -> Settings {
        let nested = serde_json::to_value(&self.settings).unwrap_or_default();
        let mut flat = nested.as_object().map(martenramp::settings::flatten).unwrap_or_default();
        flat.insert("balancers".to_string(), self.gateways.to_string());
        flat.insert("localities".to_string(), self.zone_names().join(","));
        flat
    }

    /// The number of a class of the settings by its name.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.place("classes", name)
    }

    /// The number of the load's tariff.
    pub fn plan_index(&self) -> Option<usize> {
        self.place("tariffs", &self.load.plan)
    }

    fn place(&self, list: &str, name: &str) -> Option<usize> {
        let entries = self.settings.get(list)?.as_array()?;
        entries.iter().position(|entry| entry.get("name").and_then(toml::Value::as_str) == Some(name))
    }

    /// The deadline that clients of a class give, seconds.
    pub fn class_deadline(&self, class: usize) -> f64 {
        let told = self.settings.get("classes").and_then(|classes| classes.get(class));
        let told = told.and_then(|class| class.get("deadline"));
        told.and_then(|told| told.as_float().or(told.as_integer().map(|whole| whole as f64))).unwrap_or(3.0)
    }

    fn check(&self) -> Result<(), ScaleError> {
        self.check_sizes()?;
        self.check_load()?;
        self.check_agreement()?;
        for (at, event) in self.events.iter().enumerate() {
            self.check_event(&format!("events[{at}]"), event)?;
        }
        self.check_memory()
    }

    fn check_sizes(&self) -> Result<(), ScaleError> {
        let count = |key: &str, value: usize, most: usize| within(key, value as f64, 1.0, most as f64);
        within("warm_seconds", self.warm_seconds, 0.0, SECONDS_MOST)?;
        within("seconds", self.seconds, 1.0, SECONDS_MOST)?;
        count("gateways", self.gateways, GATEWAYS_MOST)?;
        within("sample", self.sample as f64, 0.0, self.gateways as f64)?;
        count("servers", self.servers, SERVERS_MOST)?;
        count("services", self.services, self.servers)?;
        within("services_met", self.services_met as f64, 0.0, self.services as f64)?;
        count("zones", self.zones, ZONES_MOST)?;
        count("regions", self.regions, self.zones)?;
        count("tenants", self.tenants, TENANTS_MOST)?;
        count("control_machines", self.control_machines, MACHINES_MOST)?;
        within("rate", self.rate, 0.0, RATE_MOST)?;
        within("network.delay_ms", self.network.delay_ms, 0.0, 10_000.0)?;
        within("network.far_delay_ms", self.network.far_delay_ms, 0.0, 10_000.0)?;
        within("discovery.delay_ms_least", self.discovery.min_delay_ms, 0.0, 60_000.0)?;
        let least = self.discovery.min_delay_ms;
        within("discovery.delay_ms_most", self.discovery.max_delay_ms, least, 60_000.0)?;
        within("counter.latency_ms", self.counter.latency_ms, 0.0, 10_000.0)
    }

    fn check_load(&self) -> Result<(), ScaleError> {
        within("load.width", self.load.width as f64, 1.0, self.simulated_gateways() as f64)?;
        within("load.skew", self.load.skew, 0.0, 5.0)?;
        if self.plan_index().is_none() {
            return Err(ScaleError::bad_key("load.plan", format!("no tariff named '{}'", self.load.plan)));
        }
        if self.load.methods.is_empty() {
            return Err(ScaleError::bad_key("load.methods", "none is named"));
        }
        for method in &self.load.methods {
            if self.class_index(&method.name).is_none() {
                return Err(ScaleError::bad_key("load.methods", format!("no class named '{}'", method.name)));
            }
            within("load.methods.share", method.share, 1e-6, 1.0)?;
            within("load.methods.units", method.units, 0.0, 1e9)?;
        }
        within("server.slots", f64::from(self.server.slots), 1.0, 1e6)?;
        within("server.service_ms", self.server.service_ms, 0.01, 60_000.0)?;
        within("server.spread", self.server.spread, 0.0, 5.0)?;
        within("server.cold_share", self.server.cold_share, 0.001, 1.0)?;
        within("server.cold_seconds", self.server.cold_seconds, 0.0, 3_600.0)
    }

    fn check_agreement(&self) -> Result<(), ScaleError> {
        let Some(terms) = &self.agreement else { return Ok(()) };
        within("agreement.clock", terms.max_clock_error, 0.001, 60.0)?;
        within("agreement.lease", terms.lease, 4.0 * terms.max_clock_error, 600.0)?;
        within("agreement.voters", terms.voters as f64, 1.0, self.simulated_gateways() as f64)?;
        within("agreement.file_seconds", terms.file_seconds, 0.0, 3_600.0)
    }

    fn check_event(&self, key: &str, event: &ScenarioEvent) -> Result<(), ScaleError> {
        let field = |name: &str| format!("{key}.{name}");
        let (begins, ends) = event.span();
        within(&field("at"), begins, 0.0, self.seconds)?;
        within(&field("seconds"), ends, begins, self.seconds)?;
        let share = |value: f64| within(&field("share"), value, 0.0, 1.0);
        match event {
            ScenarioEvent::Churn { every, fail_share, drain, down, .. } => {
                within(&field("every"), *every, 0.001, self.seconds)?;
                within(&field("fail_share"), *fail_share, 0.0, 1.0)?;
                within(&field("drain"), *drain, 0.0, *down)?;
                within(&field("down"), *down, 0.0, self.seconds)
            }
            ScenarioEvent::Rack { servers, delisted_after, down, .. } => {
                let most = self.servers.div_ceil(self.zones);
                within(&field("servers"), *servers as f64, 1.0, most as f64)?;
                within(&field("told_after"), *delisted_after, 0.0, *down)
            }
            ScenarioEvent::ZoneDown { zone, delisted_after, seconds, .. } => {
                if !self.zone_names().contains(zone) {
                    return Err(ScaleError::bad_key(field("zone"), format!("no zone named '{zone}'")));
                }
                within(&field("told_after"), *delisted_after, 0.0, *seconds)
            }
            ScenarioEvent::Replace { share: value, drain, .. } => {
                share(*value)?;
                within(&field("drain"), *drain, 0.0, self.seconds)
            }
            ScenarioEvent::Versions { every, .. } => {
                if self.agreement.is_none() {
                    return Err(ScaleError::bad_key(key, "versions need an 'agreement'"));
                }
                within(&field("every"), *every, 0.1, self.seconds)
            }
            ScenarioEvent::RegionIsolated { region, .. } => {
                within(&field("region"), *region as f64, 0.0, self.regions as f64 - 1.0)
            }
            ScenarioEvent::RestartGateways { share: value, .. }
            | ScenarioEvent::AgentsLost { share: value, .. } => share(*value),
            ScenarioEvent::VotersLost { count, .. } => {
                let voters = self.agreement.as_ref().map_or(0, |terms| terms.voters);
                within(&field("count"), *count as f64, 1.0, voters as f64)
            }
            ScenarioEvent::CounterStalled { .. } => Ok(()),
        }
    }

    /// What the run takes at the most, about: all that the gateways hold, and the one that works out its part.
    fn bytes_needed(&self) -> u64 {
        let tenants_met = (self.tenants * self.load.width / self.gateways) as u64;
        let each = BYTES_EACH_GATEWAY
            + BYTES_EACH_SERVER_TOLD * self.servers_per_gateway() as u64
            + BYTES_EACH_TENANT_MET * tenants_met;
        let pairs = self.servers_per_gateway() as u64 * self.gateways as u64;
        self.simulated_gateways() as u64 * each + pairs * BYTES_EACH_PAIR
    }

    fn check_memory(&self) -> Result<(), ScaleError> {
        let needed = self.bytes_needed() / MEGABYTE;
        if needed <= self.memory_mb {
            return Ok(());
        }
        let why = format!(
            "{} gateways that are each told {} servers take about {needed} MB, over the {} of 'memory_mb'",
            self.simulated_gateways(),
            self.servers_per_gateway(),
            self.memory_mb
        );
        Err(ScaleError::bad_key("sample", why))
    }
}
