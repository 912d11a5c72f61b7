//! Parses and validates the TOML scenarios that the lab runs.
//!
//! `docs/lab.md` documents the format; [`EXAMPLE`] is a small complete scenario.

use crate::{Nanos, nanos};
use martenramp::host::Settings;
use serde::{Deserialize, Serialize};

/// A small complete scenario: two gateways, four servers, one method, one plan.
pub const EXAMPLE: &str = r#"
name = "example"
seed = 7
seconds = 20.0
gateways = 2

[settings]
[[settings.classes]]
name = "read"
credit = 1.0
onTime = 1.5
deadline = 6.0
idempotency = "free"
[[settings.tariffs]]
name = "team"
perSecond = 10.0
depth = 20.0
[settings.ceilings]
attemptsCap = 3

[[customers]]
count = 8
plan = "team"
width = 2
load = [{ method = "read", rate = 8.0 }]

[servers]
count = 4
slots = 8
service_ms = 30.0
"#;

/// A scenario as read from TOML.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Path of a base scenario, relative to this file. Fields of this file override those of the base, table by
    /// table.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub extends: Option<String>,
    /// Name of the scenario, used in the names of its output files.
    pub name: String,
    /// Seed of all random streams.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Emulated duration, in seconds.
    pub seconds: f64,
    /// Number of gateways in the fleet.
    pub gateways: u32,
    /// Width of a time bucket in the output, in seconds.
    #[serde(default = "default_f64_one")]
    pub bucket_seconds: f64,
    /// The service's settings in the gateway's nested form (classes, tariffs, ceilings, extra, rules).
    pub settings: toml::Table,
    /// Groups of identical customers.
    pub customers: Vec<CustomerGroup>,
    /// Server model.
    pub servers: Servers,
    /// Network model.
    #[serde(default)]
    pub network: Network,
    /// Model of the shared counter.
    #[serde(default)]
    pub counter: Counter,
    /// Discovery model.
    #[serde(default)]
    pub discovery: Discovery,
    /// Client behaviour.
    #[serde(default)]
    pub clients: Clients,
    /// Parameters of the baseline policies.
    #[serde(default)]
    pub baselines: Baselines,
    /// Faults to inject.
    #[serde(default, rename = "troubles")]
    pub faults: Vec<Fault>,
}

/// A group of identical customers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerGroup {
    /// Number of customers.
    pub count: u32,
    /// Name of a tariff in the settings.
    pub plan: String,
    /// Number of gateways that each customer sends its RPCs to.
    #[serde(default = "default_u32_one", rename = "width")]
    pub gateways_per_customer: u32,
    /// Methods that each customer calls, with their rates.
    pub load: Vec<Load>,
}

/// Open-loop arrivals of one method, for each customer of the group.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Name of a class in the settings.
    pub method: String,
    /// Mean rate of Poisson arrivals per customer, in RPCs per second.
    pub rate: f64,
    /// Quota units that each RPC uses.
    #[serde(default = "default_f64_one")]
    pub units: f64,
}

/// Model of the servers, which are identical.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    /// Number of servers.
    pub count: u32,
    /// Number of zones; servers and gateways are assigned to them round-robin.
    #[serde(default = "default_u32_one")]
    pub zones: u32,
    /// Attempts that a server handles concurrently; it answers any further one with `full`.
    pub slots: u32,
    /// Median of the log-normal service time, in milliseconds.
    pub service_ms: f64,
    /// Sigma of the log-normal service time.
    #[serde(default = "default_service_sigma", rename = "spread")]
    pub service_sigma: f64,
    /// Warm-up time after a restart, in seconds: usable slots grow from `cold_share` to all of them.
    #[serde(default)]
    pub cold_seconds: f64,
    /// Share of its slots that a server can use right after a restart.
    #[serde(default = "default_f64_one")]
    pub cold_share: f64,
    /// Share of attempts that fail when no fault is active.
    #[serde(default)]
    pub error_share: f64,
}

/// Model of the network between gateways, servers and the counter.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One-way delay between a gateway and a server or the counter, in milliseconds.
    pub delay_ms: f64,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Time until a connection to an absent server fails, in milliseconds.
    pub refuse_ms: f64,
}

/// Model of the shared counter.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Counter {
    /// Whether the fleet has a shared counter.
    pub enabled: bool,
    /// Service time of one call, in milliseconds.
    pub latency_ms: f64,
}

impl Default for Counter {
    fn default() -> Self {
        Counter { enabled: true, latency_ms: 0.3 }
    }
}

/// Model of service discovery.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Delay between a change of the fleet and the update of the gateways' lists, in milliseconds.
    pub delay_ms: f64,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery { delay_ms: 100.0 }
    }
}

/// Client behaviour beyond sending RPCs: early departures and retries.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Share of RPCs whose client gives up at a random time before the deadline that it announced.
    pub give_up_share: f64,
    /// Share of rejected or disconnected RPCs that the client retries.
    pub retry_share: f64,
    /// Whether clients retry immediately (true) or after the announced retry delay (false).
    #[serde(rename = "retry_at_once")]
    pub retry_immediately: bool,
    /// Maximum number of retries of one RPC.
    #[serde(rename = "retries_most")]
    pub max_retries: u32,
}

/// Parameters of the baseline policies.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Baselines {
    /// Delay with which the `late` baseline observes the shared quota stores, in milliseconds.
    pub late_ms: f64,
}

impl Default for Baselines {
    fn default() -> Self {
        Baselines { late_ms: 1000.0 }
    }
}

/// A fault that starts at a given time and may last for a while. Shares select servers or gateways at random, from
/// the scenario's seed.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// The counter stops answering.
    CounterStall {
        /// Start, in seconds.
        at: f64,
        /// Duration, in seconds.
        seconds: f64,
    },
    /// Each half of the gateways uses its own copy of the counter, made at the split. When the copies merge, the
    /// larger total of each name is kept.
    CounterSplit {
        /// Start, in seconds.
        at: f64,
        /// Duration, in seconds.
        seconds: f64,
    },
    /// The counter is replaced by an empty one.
    CounterReplace {
        /// Start, in seconds.
        at: f64,
    },
    /// A share of the gateways is killed, and restarted after `back_after` seconds if that is set.
    Kill {
        /// Start, in seconds.
        at: f64,
        /// Share of the gateways that are affected.
        share: f64,
        /// Time from the kill to the restart, in seconds; without it they stay down.
        #[serde(rename = "back_after")]
        restart_after: Option<f64>,
    },
    /// A share of the gateways gets SIGTERM: they accept no new clients, have half a second to answer the RPCs they
    /// hold, and exit.
    Drain {
        /// Start, in seconds.
        at: f64,
        /// Share of the gateways that are affected.
        share: f64,
        /// Time from the exit to the restart, in seconds; without it they stay down.
        #[serde(rename = "back_after")]
        restart_after: Option<f64>,
    },
    /// All servers of a zone go down, and restart cold afterwards.
    ZoneDown {
        /// Start, in seconds.
        at: f64,
        /// Number of the zone.
        zone: u32,
        /// Duration, in seconds.
        seconds: f64,
    },
    /// The gateways of a zone can reach neither the servers of other zones nor the counter.
    Partition {
        /// Start, in seconds.
        at: f64,
        /// Number of the zone.
        zone: u32,
        /// Duration, in seconds.
        seconds: f64,
    },
    /// The service times of a share of the servers are multiplied by `factor`.
    Slow {
        /// Start, in seconds.
        at: f64,
        /// Share of the servers that are affected.
        share: f64,
        /// Multiplier of the service times.
        factor: f64,
        /// Duration, in seconds.
        seconds: f64,
    },
    /// A share of the servers fails `error_share` of its attempts.
    Fail {
        /// Start, in seconds.
        at: f64,
        /// Share of the servers that are affected.
        share: f64,
        /// Share of attempts that fail.
        error_share: f64,
        /// Duration, in seconds.
        seconds: f64,
    },
    /// A share of the servers holds every attempt until the pause ends.
    Pause {
        /// Start, in seconds.
        at: f64,
        /// Share of the servers that are affected.
        share: f64,
        /// Duration, in seconds.
        seconds: f64,
    },
    /// A share of the servers is replaced by cold ones, at even intervals over `seconds`.
    Replace {
        /// Start, in seconds.
        at: f64,
        /// Share of the servers that are affected.
        share: f64,
        /// Time over which the replacements are spread, in seconds.
        seconds: f64,
    },
    /// All arrival rates are multiplied by `factor`.
    Burst {
        /// Start, in seconds.
        at: f64,
        /// Multiplier of the arrival rates.
        factor: f64,
        /// Duration, in seconds.
        seconds: f64,
    },
    /// Changes of the fleet reach the gateways with an additional delay.
    #[serde(rename = "list_late")]
    DiscoveryDelay {
        /// Start, in seconds.
        at: f64,
        /// Duration, in seconds.
        seconds: f64,
        /// Additional delay, in milliseconds.
        delay_ms: f64,
    },
}

impl Fault {
    /// Start and, for faults with a duration, end.
    pub fn span(&self) -> (Nanos, Option<Nanos>) {
        use Fault::*;
        let (at, seconds) = match *self {
            CounterReplace { at } | Kill { at, .. } | Drain { at, .. } => (at, None),
            CounterStall { at, seconds } | CounterSplit { at, seconds } => (at, Some(seconds)),
            ZoneDown { at, seconds, .. } | Partition { at, seconds, .. } => (at, Some(seconds)),
            Slow { at, seconds, .. } | Fail { at, seconds, .. } | Pause { at, seconds, .. } => {
                (at, Some(seconds))
            }
            Replace { at, seconds, .. } | Burst { at, seconds, .. } | DiscoveryDelay { at, seconds, .. } => {
                (at, Some(seconds))
            }
        };
        (nanos(at), seconds.map(|seconds| nanos(at + seconds)))
    }
}

fn default_seed() -> u64 {
    1
}
fn default_u32_one() -> u32 {
    1
}
fn default_f64_one() -> f64 {
    1.0
}
fn default_service_sigma() -> f64 {
    0.3
}

/// The properties of a method that the lab uses, taken from the settings.
#[derive(Clone, Debug)]
pub struct Method {
    /// Name of the class.
    pub name: String,
    /// Utility of an ok answer before the soft deadline.
    pub credit: f64,
    /// Time after arrival until which an answer earns the full credit.
    pub soft_deadline: Nanos,
    /// Time after arrival from which an answer earns nothing.
    pub deadline: Nanos,
    /// Whether the method may be executed more than once.
    pub idempotent: bool,
}

/// The properties of a plan that the lab uses, taken from the settings.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Name of the tariff.
    pub name: String,
    /// Sustained quota, in units per second.
    pub rate: f64,
    /// Burst allowance, in units.
    pub burst: f64,
}

/// Reads a scenario file and returns TOML text with the files that it `extends` merged in, so that a sweep can set
/// fields of any of them.
pub fn read_text(path: &std::path::Path) -> Result<String, String> {
    let table = read_table(path, 0)?;
    toml::to_string(&table).map_err(|e| format!("{}: {e}", path.display()))
}

fn read_table(path: &std::path::Path, depth: u32) -> Result<toml::Table, String> {
    let shown = path.display();
    if depth > 8 {
        return Err(format!("{shown}: 'extends' is circular or nested more than eight files deep"));
    }
    let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))?;
    let mut table: toml::Table = toml::from_str(&text).map_err(|e| format!("{shown}: {e}"))?;
    let Some(base) = table.remove("extends") else { return Ok(table) };
    let base = base.as_str().ok_or_else(|| format!("{shown}: 'extends' must be a file name"))?;
    let mut merged = read_table(&path.parent().unwrap_or(std::path::Path::new(".")).join(base), depth + 1)?;
    merge(&mut merged, table);
    Ok(merged)
}

/// Merges `overrides` into `base`: tables key by key; any other value, lists included, is replaced as a whole.
pub fn merge(base: &mut toml::Table, overrides: toml::Table) {
    for (key, value) in overrides {
        match (base.get_mut(&key), value) {
            (Some(toml::Value::Table(base)), toml::Value::Table(overrides)) => merge(base, overrides),
            (_, value) => drop(base.insert(key, value)),
        }
    }
}

impl Scenario {
    /// Reads and validates a scenario file and the files that it extends.
    pub fn load(path: &std::path::Path) -> Result<Scenario, String> {
        Scenario::from_toml(&read_text(path)?).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Parses and validates a scenario; the error names the invalid field.
    pub fn from_toml(text: &str) -> Result<Scenario, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| e.to_string())?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Parses and validates a scenario with one field set to `value`; `path` is dotted, such as `servers.count`.
    pub fn from_toml_with_override(text: &str, path: &str, value: &str) -> Result<Scenario, String> {
        let mut table: toml::Table = toml::from_str(text).map_err(|e| e.to_string())?;
        let mut parent = &mut table;
        let mut names = path.split('.').peekable();
        while let Some(name) = names.next() {
            if names.peek().is_none() {
                let parsed = value.parse::<toml::Value>().ok();
                let parsed =
                    parsed.or_else(|| format!("v = {value}").parse::<toml::Table>().ok()?.remove("v"));
                let value = parsed.unwrap_or_else(|| toml::Value::String(value.to_string()));
                parent.insert(name.to_string(), value);
                break;
            }
            let next = parent.entry(name).or_insert_with(|| toml::Value::Table(toml::Table::new()));
            parent = next.as_table_mut().ok_or_else(|| format!("{path}: '{name}' is not a table"))?;
        }
        let scenario: Scenario = table.try_into().map_err(|e: toml::de::Error| e.to_string())?;
        scenario.check()?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), String> {
        check_positive(self.seconds, "seconds")?;
        check_positive(self.bucket_seconds, "bucket_seconds")?;
        if self.gateways == 0 || self.servers.count == 0 || self.servers.slots == 0 || self.servers.zones == 0
        {
            return Err(
                "'gateways', 'servers.count', 'servers.slots' and 'servers.zones' must be 1 or more".into()
            );
        }
        check_positive(self.servers.service_ms, "servers.service_ms")?;
        check_share(self.servers.cold_share, "servers.cold_share")?;
        check_share(self.servers.error_share, "servers.error_share")?;
        check_share(self.network.loss, "network.loss")?;
        check_share(self.clients.give_up_share, "clients.give_up_share")?;
        check_share(self.clients.retry_share, "clients.retry_share")?;
        self.check_customers()?;
        self.check_faults()
    }

    fn check_customers(&self) -> Result<(), String> {
        let (methods, plans) = (self.methods()?, self.plans()?);
        for (index, group) in self.customers.iter().enumerate() {
            if !plans.iter().any(|plan| plan.name == group.plan) {
                return Err(format!("customers[{index}]: no tariff named '{}' in the settings", group.plan));
            }
            if group.gateways_per_customer == 0 || group.gateways_per_customer > self.gateways {
                return Err(format!("customers[{index}].width must be from 1 to 'gateways'"));
            }
            for load in &group.load {
                if !methods.iter().any(|method| method.name == load.method) {
                    return Err(format!(
                        "customers[{index}]: no class named '{}' in the settings",
                        load.method
                    ));
                }
                let units = load.units.is_finite() && load.units > 0.0;
                if !(load.rate.is_finite() && load.rate >= 0.0 && units) {
                    let method = &load.method;
                    return Err(format!(
                        "customers[{index}]: 'rate' of '{method}' must be finite and 0 or more, 'units' finite and above 0"
                    ));
                }
            }
        }
        Ok(())
    }

    fn check_faults(&self) -> Result<(), String> {
        for (index, fault) in self.faults.iter().enumerate() {
            let zone = match fault {
                Fault::ZoneDown { zone, .. } | Fault::Partition { zone, .. } => Some(*zone),
                _ => None,
            };
            if zone.is_some_and(|zone| zone >= self.servers.zones) {
                return Err(format!("troubles[{index}]: 'zone' must be below 'servers.zones'"));
            }
            let largest_share = match *fault {
                Fault::Kill { share, .. } | Fault::Drain { share, .. } => share,
                Fault::Slow { share, .. } | Fault::Pause { share, .. } | Fault::Replace { share, .. } => {
                    share
                }
                Fault::Fail { share, error_share, .. } => share.max(error_share),
                _ => 0.0,
            };
            check_share(largest_share, &format!("troubles[{index}].share"))?;
        }
        Ok(())
    }

    /// The settings in the flat form that the decision module reads. Defaults for `balancers` and `extra.hasCounter`
    /// come from the scenario.
    pub fn flat_settings(&self) -> Settings {
        let nested = serde_json::to_value(&self.settings).unwrap_or_default();
        let mut flat = nested.as_object().map(martenramp::settings::flatten).unwrap_or_default();
        flat.entry("balancers".into()).or_insert_with(|| self.gateways.to_string());
        flat.entry("extra.hasCounter".into()).or_insert_with(|| self.counter.enabled.to_string());
        flat
    }

    /// Methods defined by the settings' classes, in order.
    pub fn methods(&self) -> Result<Vec<Method>, String> {
        self.parse_list("classes", |entry, name| {
            let number = |field: &str, default: f64| entry.get(field).and_then(as_f64).unwrap_or(default);
            let idempotent = entry.get("idempotency").and_then(toml::Value::as_str) == Some("free");
            Method {
                name,
                credit: number("credit", 1.0),
                soft_deadline: nanos(number("onTime", 1.0)),
                deadline: nanos(number("deadline", 5.0)),
                idempotent,
            }
        })
    }

    /// Plans defined by the settings' tariffs, in order.
    pub fn plans(&self) -> Result<Vec<Plan>, String> {
        self.parse_list("tariffs", |entry, name| {
            let number = |field: &str| entry.get(field).and_then(as_f64).unwrap_or(0.0);
            Plan { name, rate: number("perSecond"), burst: number("depth") }
        })
    }

    /// Converts each table of a list in the settings; every entry needs a `name`.
    fn parse_list<T>(
        &self,
        list: &str,
        convert: impl Fn(&toml::Table, String) -> T,
    ) -> Result<Vec<T>, String> {
        let entries = self.settings.get(list).and_then(toml::Value::as_array);
        let entries = entries.filter(|entries| !entries.is_empty());
        let entries = entries.ok_or_else(|| format!("'settings.{list}' must be a list of tables"))?;
        let parsed = entries.iter().enumerate().map(|(index, entry)| {
            let entry = entry.as_table().ok_or_else(|| format!("settings.{list}[{index}] is not a table"))?;
            let name = entry.get("name").and_then(toml::Value::as_str);
            let name = name.ok_or_else(|| format!("settings.{list}[{index}] has no name"))?;
            Ok(convert(entry, name.to_string()))
        });
        parsed.collect()
    }
}

fn check_positive(value: f64, name: &str) -> Result<(), String> {
    if value.is_finite() && value > 0.0 {
        return Ok(());
    }
    Err(format!("'{name}' must be finite and above 0, but is {value}"))
}

fn check_share(value: f64, name: &str) -> Result<(), String> {
    if (0.0..=1.0).contains(&value) {
        return Ok(());
    }
    Err(format!("'{name}' must be a share from 0 to 1, but is {value}"))
}

fn as_f64(value: &toml::Value) -> Option<f64> {
    value.as_float().or_else(|| value.as_integer().map(|integer| integer as f64))
}

#[cfg(test)]
mod tests;
