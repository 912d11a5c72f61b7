//! Scenarios: what the lab plays, read from TOML and checked before anything runs. `docs/lab.md` documents the
//! format; [`EXAMPLE`] is a small complete one.

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

/// One scenario, as read.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// A scenario file this one starts from, relative to this one; its fields are overridden table by table.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub extends: Option<String>,
    /// Names the tables.
    pub name: String,
    /// The seed of all chance.
    #[serde(default = "one")]
    pub seed: u64,
    /// Emulated time, seconds.
    pub seconds: f64,
    /// How many gateways the fleet has.
    pub gateways: u32,
    /// Width of a row of the tables over time, seconds.
    #[serde(default = "one_f")]
    pub bucket_seconds: f64,
    /// The service's settings in the gateway's nested form (classes, tariffs, ceilings, extra, rules).
    pub settings: toml::Table,
    /// Groups of customers.
    pub customers: Vec<CustomerGroup>,
    /// The servers.
    pub servers: Servers,
    /// The network.
    #[serde(default)]
    pub network: Network,
    /// The shared counter.
    #[serde(default)]
    pub counter: Counter,
    /// Discovery.
    #[serde(default)]
    pub discovery: Discovery,
    /// What clients do.
    #[serde(default)]
    pub clients: Clients,
    /// The baseline policies.
    #[serde(default)]
    pub baselines: Baselines,
    /// What goes wrong.
    #[serde(default, rename = "troubles")]
    pub faults: Vec<Fault>,
}

/// A group of alike customers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerGroup {
    /// How many customers.
    pub count: u32,
    /// A tariff's name from the settings.
    pub plan: String,
    /// Through how many gateways each customer's RPCs come in.
    #[serde(default = "one_u", rename = "width")]
    pub gateways_per_customer: u32,
    /// What each sends.
    pub load: Vec<Load>,
}

/// Open-loop arrivals of one method for each customer of the group.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// A class's name from the settings.
    pub method: String,
    /// RPCs a second, for each customer (Poisson).
    pub rate: f64,
    /// Units of the plan's quota for each RPC.
    #[serde(default = "one_f")]
    pub units: f64,
}

/// The servers, all alike.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    /// How many servers.
    pub count: u32,
    /// Servers and gateways are in so many zones, by turns.
    #[serde(default = "one_u")]
    pub zones: u32,
    /// Call-outs served at once; beyond them a server answers full.
    pub slots: u32,
    /// Median service time, milliseconds (log-normal).
    pub service_ms: f64,
    /// The log-normal's sigma.
    #[serde(default = "spread", rename = "spread")]
    pub service_sigma: f64,
    /// After a start, a server bears `cold_share` of its slots, rising to all of them over `cold_seconds`.
    #[serde(default)]
    pub cold_seconds: f64,
    /// The share of its slots that a server bears at its start.
    #[serde(default = "one_f")]
    pub cold_share: f64,
    /// Share of call-outs that end in an error when nothing else is wrong.
    #[serde(default)]
    pub error_share: f64,
}

/// The network between gateways, servers and the counter.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One way, milliseconds, between a gateway and a server or the counter.
    pub delay_ms: f64,
    /// Share of messages lost.
    pub loss: f64,
    /// What a connection to a server that is not there takes to fail, milliseconds.
    pub refuse_ms: f64,
}

/// The shared counter.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Counter {
    /// Whether there is a shared counter at all.
    pub enabled: bool,
    /// Time to serve one call, milliseconds.
    pub latency_ms: f64,
}

impl Default for Counter {
    fn default() -> Self {
        Counter { enabled: true, latency_ms: 0.3 }
    }
}

/// Discovery.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// From a change of the fleet to the list at the gateways, milliseconds.
    pub delay_ms: f64,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery { delay_ms: 100.0 }
    }
}

/// What clients do of their own.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Share of RPCs whose client leaves at a random time before the deadline it stated.
    pub give_up_share: f64,
    /// Share of pushed-back or cut RPCs that the client sends again.
    pub retry_share: f64,
    /// Whether clients that send again wait for the advice to come back (false) or come at once (true).
    #[serde(rename = "retry_at_once")]
    pub retry_immediately: bool,
    /// A client sends one RPC again at most so often.
    #[serde(rename = "retries_most")]
    pub max_retries: u32,
}

/// Parameters of the baseline policies.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Baselines {
    /// How late the late-seeing baseline sees the true stores, milliseconds.
    pub late_ms: f64,
}

impl Default for Baselines {
    fn default() -> Self {
        Baselines { late_ms: 1000.0 }
    }
}

/// A trouble at a time, for a span where it has one; shares are of the servers or gateways, drawn by the seed.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// The counter answers nothing.
    CounterStall {
        /// When it begins, seconds.
        at: f64,
        /// How long it holds, seconds.
        seconds: f64,
    },
    /// Each half of the gateways sees a counter of its own, copied at the split; afterwards the larger total wins.
    CounterSplit {
        /// When it begins, seconds.
        at: f64,
        /// How long it holds, seconds.
        seconds: f64,
    },
    /// The counter is replaced by one that starts at nought.
    CounterReplace {
        /// When it begins, seconds.
        at: f64,
    },
    /// A share of the gateways is killed at once, and started again after `back_after` seconds if given.
    Kill {
        /// When it begins, seconds.
        at: f64,
        /// The share of them that it hits.
        share: f64,
        /// They start again so many seconds later, if told.
        #[serde(rename = "back_after")]
        restart_after: Option<f64>,
    },
    /// A share of the gateways gets SIGTERM: no new clients, half a second to answer what it holds, then gone.
    Drain {
        /// When it begins, seconds.
        at: f64,
        /// The share of them that it hits.
        share: f64,
        /// They start again so many seconds later, if told.
        #[serde(rename = "back_after")]
        restart_after: Option<f64>,
    },
    /// The servers of a zone are gone, and come back cold.
    ZoneDown {
        /// When it begins, seconds.
        at: f64,
        /// The zone.
        zone: u32,
        /// How long it holds, seconds.
        seconds: f64,
    },
    /// The gateways of a zone reach neither other zones' servers nor the counter.
    Partition {
        /// When it begins, seconds.
        at: f64,
        /// The zone.
        zone: u32,
        /// How long it holds, seconds.
        seconds: f64,
    },
    /// A share of the servers serves `factor` times slower.
    Slow {
        /// When it begins, seconds.
        at: f64,
        /// The share of them that it hits.
        share: f64,
        /// How many times.
        factor: f64,
        /// How long it holds, seconds.
        seconds: f64,
    },
    /// A share of the servers ends `error_share` of its call-outs in errors.
    Fail {
        /// When it begins, seconds.
        at: f64,
        /// The share of them that it hits.
        share: f64,
        /// The share of attempts that ends in errors.
        error_share: f64,
        /// How long it holds, seconds.
        seconds: f64,
    },
    /// A share of the servers holds every call-out until the pause is over.
    Pause {
        /// When it begins, seconds.
        at: f64,
        /// The share of them that it hits.
        share: f64,
        /// How long it holds, seconds.
        seconds: f64,
    },
    /// A share of the servers is replaced by new, cold ones, evenly over `seconds`.
    Replace {
        /// When it begins, seconds.
        at: f64,
        /// The share of them that it hits.
        share: f64,
        /// How long it holds, seconds.
        seconds: f64,
    },
    /// All arrivals come `factor` times as often.
    Burst {
        /// When it begins, seconds.
        at: f64,
        /// How many times.
        factor: f64,
        /// How long it holds, seconds.
        seconds: f64,
    },
    /// Changes of the fleet reach the gateways `delay_ms` late.
    #[serde(rename = "list_late")]
    DiscoveryDelay {
        /// When it begins, seconds.
        at: f64,
        /// How long it holds, seconds.
        seconds: f64,
        /// How late, milliseconds.
        delay_ms: f64,
    },
}

impl Fault {
    /// When it starts and, for those with a span, when it ends.
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

fn one() -> u64 {
    1
}
fn one_u() -> u32 {
    1
}
fn one_f() -> f64 {
    1.0
}
fn spread() -> f64 {
    0.3
}

/// A method as the lab needs it, from the settings.
#[derive(Clone, Debug)]
pub struct Method {
    /// Its name.
    pub name: String,
    /// What an ok answer in good time earns.
    pub credit: f64,
    /// Until then after its arrival an answer earns all.
    pub soft_deadline: Nanos,
    /// From then after its arrival an answer earns nothing.
    pub deadline: Nanos,
    /// Whether it may run twice.
    pub idempotent: bool,
}

/// A plan as the lab needs it, from the settings.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Units a second.
    pub rate: f64,
    /// Units at once.
    pub burst: f64,
}

/// Reads a scenario file as TOML text with what it `extends` merged in, so that sweeps can set fields of either.
pub fn read_text(path: &std::path::Path) -> Result<String, String> {
    let table = read_table(path, 0)?;
    toml::to_string(&table).map_err(|e| format!("{}: {e}", path.display()))
}

fn read_table(path: &std::path::Path, depth: u32) -> Result<toml::Table, String> {
    let shown = path.display();
    if depth > 8 {
        return Err(format!("{shown}: 'extends' goes round more than eight files deep"));
    }
    let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))?;
    let mut table: toml::Table = toml::from_str(&text).map_err(|e| format!("{shown}: {e}"))?;
    let Some(base) = table.remove("extends") else { return Ok(table) };
    let base = base.as_str().ok_or_else(|| format!("{shown}: 'extends' must be a file name"))?;
    let mut merged = read_table(&path.parent().unwrap_or(std::path::Path::new(".")).join(base), depth + 1)?;
    merge(&mut merged, table);
    Ok(merged)
}

/// Lays `over` on `base`: tables are merged key by key, anything else (lists among them) replaced whole.
pub fn merge(base: &mut toml::Table, over: toml::Table) {
    for (key, value) in over {
        match (base.get_mut(&key), value) {
            (Some(toml::Value::Table(into)), toml::Value::Table(from)) => merge(into, from),
            (_, value) => drop(base.insert(key, value)),
        }
    }
}

impl Scenario {
    /// Reads and checks a scenario file, with what it extends.
    pub fn load(path: &std::path::Path) -> Result<Scenario, String> {
        Scenario::from_toml(&read_text(path)?).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Reads and checks a scenario; the error names the field at fault.
    pub fn from_toml(text: &str) -> Result<Scenario, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| e.to_string())?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Reads a scenario after setting one dotted path (`servers.count`, `gateways`) to a value, for sweeps.
    pub fn from_toml_with_override(text: &str, path: &str, value: &str) -> Result<Scenario, String> {
        let mut table: toml::Table = toml::from_str(text).map_err(|e| e.to_string())?;
        let mut at = &mut table;
        let mut names = path.split('.').peekable();
        while let Some(name) = names.next() {
            if names.peek().is_none() {
                let parsed = value.parse::<toml::Value>().ok();
                let parsed =
                    parsed.or_else(|| format!("v = {value}").parse::<toml::Table>().ok()?.remove("v"));
                let value = parsed.unwrap_or_else(|| toml::Value::String(value.to_string()));
                at.insert(name.to_string(), value);
                break;
            }
            let next = at.entry(name).or_insert_with(|| toml::Value::Table(toml::Table::new()));
            at = next.as_table_mut().ok_or_else(|| format!("{path}: '{name}' is not a table"))?;
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
        self.check_troubles()
    }

    fn check_customers(&self) -> Result<(), String> {
        let (methods, plans) = (self.methods()?, self.plans()?);
        for (at, group) in self.customers.iter().enumerate() {
            if !plans.iter().any(|plan| plan.name == group.plan) {
                return Err(format!("customers[{at}]: no tariff named '{}' in the settings", group.plan));
            }
            if group.gateways_per_customer == 0 || group.gateways_per_customer > self.gateways {
                return Err(format!("customers[{at}].width must be from 1 to 'gateways'"));
            }
            for load in &group.load {
                if !methods.iter().any(|method| method.name == load.method) {
                    return Err(format!("customers[{at}]: no class named '{}' in the settings", load.method));
                }
                let units = load.units.is_finite() && load.units > 0.0;
                if !(load.rate.is_finite() && load.rate >= 0.0 && units) {
                    let method = &load.method;
                    return Err(format!("customers[{at}]: rate and units of '{method}' must be finite"));
                }
            }
        }
        Ok(())
    }

    fn check_troubles(&self) -> Result<(), String> {
        for (at, trouble) in self.faults.iter().enumerate() {
            let zone = match trouble {
                Fault::ZoneDown { zone, .. } | Fault::Partition { zone, .. } => Some(*zone),
                _ => None,
            };
            if zone.is_some_and(|zone| zone >= self.servers.zones) {
                return Err(format!("troubles[{at}]: zone is beyond 'servers.zones'"));
            }
            let largest_share = match *trouble {
                Fault::Kill { share, .. } | Fault::Drain { share, .. } => share,
                Fault::Slow { share, .. } | Fault::Pause { share, .. } | Fault::Replace { share, .. } => {
                    share
                }
                Fault::Fail { share, error_share, .. } => share.max(error_share),
                _ => 0.0,
            };
            check_share(largest_share, &format!("troubles[{at}].share"))?;
        }
        Ok(())
    }

    /// The settings as the module gets them, with `balancers` and `extra.hasCounter` told from the scenario where
    /// the scenario's settings leave them out.
    pub fn flat_settings(&self) -> Settings {
        let nested = serde_json::to_value(&self.settings).unwrap_or_default();
        let mut flat = nested.as_object().map(martenramp::settings::flatten).unwrap_or_default();
        flat.entry("balancers".into()).or_insert_with(|| self.gateways.to_string());
        flat.entry("extra.hasCounter".into()).or_insert_with(|| self.counter.enabled.to_string());
        flat
    }

    /// The methods of the settings.
    pub fn methods(&self) -> Result<Vec<Method>, String> {
        self.listed("classes", |entry, name| {
            let number = |field: &str, default: f64| entry.get(field).and_then(as_f64).unwrap_or(default);
            let free = entry.get("idempotency").and_then(toml::Value::as_str) == Some("free");
            Method {
                name,
                credit: number("credit", 1.0),
                soft_deadline: nanos(number("onTime", 1.0)),
                deadline: nanos(number("deadline", 5.0)),
                idempotent: free,
            }
        })
    }

    /// The plans of the settings.
    pub fn plans(&self) -> Result<Vec<Plan>, String> {
        self.listed("tariffs", |entry, name| {
            let number = |field: &str| entry.get(field).and_then(as_f64).unwrap_or(0.0);
            Plan { name, rate: number("perSecond"), burst: number("depth") }
        })
    }

    fn listed<T>(&self, list: &str, make: impl Fn(&toml::Table, String) -> T) -> Result<Vec<T>, String> {
        let entries = self.settings.get(list).and_then(toml::Value::as_array);
        let entries = entries.filter(|entries| !entries.is_empty());
        let entries = entries.ok_or_else(|| format!("'settings.{list}' must be a list of tables"))?;
        let made = entries.iter().enumerate().map(|(at, entry)| {
            let entry = entry.as_table().ok_or_else(|| format!("settings.{list}[{at}] is not a table"))?;
            let name = entry.get("name").and_then(toml::Value::as_str);
            let name = name.ok_or_else(|| format!("settings.{list}[{at}] has no name"))?;
            Ok(make(entry, name.to_string()))
        });
        made.collect()
    }
}

fn check_positive(value: f64, name: &str) -> Result<(), String> {
    if value.is_finite() && value > 0.0 {
        return Ok(());
    }
    Err(format!("'{name}' must be above nought, is {value}"))
}

fn check_share(value: f64, name: &str) -> Result<(), String> {
    if (0.0..=1.0).contains(&value) {
        return Ok(());
    }
    Err(format!("'{name}' must be a share from 0 to 1, is {value}"))
}

fn as_f64(value: &toml::Value) -> Option<f64> {
    value.as_float().or_else(|| value.as_integer().map(|whole| whole as f64))
}

#[cfg(test)]
mod tests;
