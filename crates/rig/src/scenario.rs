//! What the rig plays, read from TOML and checked before any process starts. `docs/rig.md` documents the format.

use crate::load_generator::ClientBehaviour;
use serde::{Deserialize, Serialize};
use std::ops::Range;
use std::path::{Path, PathBuf};

/// One scenario, as read.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Names the tables.
    pub name: String,
    /// The seed of all chance.
    #[serde(default = "one")]
    pub seed: u64,
    /// Seconds of arrivals before anything is measured, and measured ones.
    #[serde(default = "four")]
    pub warm_seconds: f64,
    /// Seconds of arrivals that are measured.
    pub seconds: f64,
    /// How many gateways.
    pub gateways: usize,
    /// Zone `g % len` is gateway `g`'s.
    pub zones: Vec<String>,
    /// Pairs of gateways of which the second is given the first one's number by mistake.
    #[serde(default)]
    pub same_number: Vec<(usize, usize)>,
    /// The service's settings in the gateway's nested form; `balancers`, `me`, `zone` and `localities` are added.
    pub settings: toml::Table,
    /// What the front sends.
    pub load: Load,
    /// Groups of servers.
    pub servers: Vec<ServerGroup>,
    /// The size of the fleet that gateways are told, if it is another than that of the scenario.
    #[serde(default)]
    pub told_gateways: Option<usize>,
    /// Descriptors that each gateway may hold.
    #[serde(default = "sockets")]
    pub sockets: u32,
    /// The shared counter.
    #[serde(default)]
    pub counter: CounterModel,
    /// The settings have a version on which the gateways agree.
    #[serde(default)]
    pub agreement: Option<Agreement>,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// The gateways' system calls fail now and then.
    #[serde(default)]
    pub system_calls: Option<SystemCallFaults>,
}

/// A share of the gateways' system calls fails, by a library loaded into each process (`crates/faults`).
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SystemCallFaults {
    /// The library.
    pub library: PathBuf,
    /// The share of calls that fail.
    pub rate: f64,
}

/// Open-loop arrivals.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// RPCs a second for each gateway on average (Poisson over the whole fleet).
    pub rate: f64,
    /// How many customers.
    pub customers: usize,
    /// Sigma of the log-normal that customers' shares are drawn from; 0 gives all the same.
    #[serde(default)]
    pub skew: f64,
    /// Through how many gateways in a row each customer's RPCs come in.
    pub width: usize,
    /// Classes of RPCs and their shares.
    pub methods: Vec<Method>,
    /// A tariff of the settings.
    pub plan: String,
    /// How long until the front notices a dead gateway, seconds.
    #[serde(default = "one_f")]
    pub notice: f64,
    /// The share of RPCs whose clients leave before the answer.
    #[serde(default)]
    pub leave: f64,
    /// The share of RPCs that come on a connection opened up to 1.2 s before, as the first on it.
    #[serde(default)]
    pub early: f64,
    /// The share of RPCs whose message comes in two pieces.
    #[serde(default)]
    pub pieces: f64,
    /// The share of RPCs that come on a connection of their own, which their client closes behind the answer.
    #[serde(default)]
    pub fresh: f64,
    /// The share of RPCs whose client reads nothing for a while once it has sent.
    #[serde(default)]
    pub slow: f64,
}

impl Load {
    /// What clients do.
    pub fn behaviour(&self) -> ClientBehaviour {
        ClientBehaviour {
            abandon_share: self.leave,
            early_connection_share: self.early,
            split_write_share: self.pieces,
            own_connection_share: self.fresh,
            slow_read_share: self.slow,
        }
    }
}

/// A class of RPCs as it is sent.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Method {
    /// A class of the settings.
    pub name: String,
    /// The share of all arrivals.
    pub share: f64,
    /// Units of the plan's quota for each RPC.
    #[serde(default = "one_f")]
    pub units: f64,
}

/// A group of alike servers, in the zones by turns.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServerGroup {
    /// How many servers.
    pub count: usize,
    /// Only in this zone.
    #[serde(default)]
    pub zone: Option<String>,
    /// Their weight as listed.
    #[serde(default = "one_f")]
    pub weight: f64,
    /// RPCs served at once.
    pub cores: usize,
    /// RPCs that wait beyond those.
    pub queue: usize,
    /// Connections beyond these are reset.
    #[serde(default = "table")]
    pub connections: usize,
    /// Median service time, milliseconds (log-normal).
    pub service_ms: f64,
    /// The log-normal's sigma.
    #[serde(default = "spread")]
    pub spread: f64,
    /// The share of its speed at which a server works after its start.
    #[serde(default = "one_f")]
    pub cold_share: f64,
    /// How long until it works at full speed.
    #[serde(default)]
    pub cold_seconds: f64,
    /// Whether answers carry a load report.
    #[serde(default)]
    pub reports: bool,
    /// How long the bodies of answers are, bytes.
    #[serde(default = "short_body")]
    pub body_bytes: usize,
}

/// Terms of an agreement, seconds.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Agreement {
    /// How long a lease is.
    pub lease: f64,
    /// How far any clock may be off.
    pub clock: f64,
}

/// The shared counter.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct CounterModel {
    /// Time that one call takes of it, microseconds.
    pub cost_us: f64,
}

impl Default for CounterModel {
    fn default() -> Self {
        CounterModel { cost_us: 20.0 }
    }
}

/// Who an end of a link is, as `front`, `discovery`, `counter`, `gateways:3`, `gateways:0-9`, `servers:4-7` or `zone:a`.
#[derive(Clone, Debug, PartialEq)]
pub enum Place {
    /// The front.
    LoadGenerator,
    /// Discovery.
    Discovery,
    /// The counter.
    Counter,
    /// These gateways.
    Gateways(Range<usize>),
    /// These servers.
    Servers(Range<usize>),
    /// All gateways or servers of a zone.
    Zone(String),
}

impl Place {
    /// Reads a place as scenarios write it.
    pub fn parse(text: &str) -> Result<Place, String> {
        let range = |text: &str| -> Option<Range<usize>> {
            let (from, to) = text.split_once('-').unwrap_or((text, text));
            Some(from.parse().ok()?..to.parse::<usize>().ok()? + 1)
        };
        let bad = || format!("no such place: '{text}'");
        match text.split_once(':') {
            None if text == "front" => Ok(Place::LoadGenerator),
            None if text == "discovery" => Ok(Place::Discovery),
            None if text == "counter" => Ok(Place::Counter),
            Some(("gateways", which)) => range(which).map(Place::Gateways).ok_or_else(bad),
            Some(("servers", which)) => range(which).map(Place::Servers).ok_or_else(bad),
            Some(("zone", name)) => Ok(Place::Zone(name.to_string())),
            _ => Err(bad()),
        }
    }
}

/// What a link does to what passes it. Ways are seen from `from`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkEffect {
    /// Nothing passes from `from`.
    pub cut_there: bool,
    /// Nothing passes to `from`.
    pub cut_back: bool,
    /// Each way.
    pub delay_ms: f64,
    /// The share that is lost.
    pub lose: f64,
    /// Connections are reset.
    pub reset: bool,
    /// Accepts and says nothing.
    pub silent: bool,
}

/// A fault at a time (seconds after the warm-up), for a span where it has one. Shares are drawn by the seed.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Gateways get SIGKILL, and start again after a while if told.
    Kill {
        /// When it begins, seconds.
        at: f64,
        /// The share of them that it hits.
        share: f64,
        /// They start again so many seconds later, if told.
        back_after: Option<f64>,
    },
    /// Gateways get SIGTERM, likewise.
    Term {
        /// When it begins, seconds.
        at: f64,
        /// The share of them that it hits.
        share: f64,
        /// They start again so many seconds later, if told.
        back_after: Option<f64>,
    },
    /// Gateways are restarted as the platform does it: SIGTERM, SIGKILL once the longest deadline (3 s at most) and 0.7 s
    /// have passed, and a new process some time later.
    Restart {
        /// When it begins, seconds.
        at: f64,
        /// The share of them that it hits.
        share: f64,
        /// They start again so many seconds after SIGKILL.
        back_after: f64,
    },
    /// The same with a series of signals: SIGHUP, SIGTERM, SIGTERM, SIGHUP, so many seconds apart.
    SignalSeries {
        /// When it begins, seconds.
        at: f64,
        /// The share of them that it hits.
        share: f64,
        /// Between one signal and the next, seconds.
        apart: f64,
        /// They start again so many seconds after SIGKILL.
        back_after: f64,
    },
    /// One server after another is listed as draining, and as ready by the next change.
    Flap {
        /// When it begins, seconds.
        at: f64,
        /// How long it holds, seconds.
        seconds: f64,
        /// Between one change and the next, seconds.
        every: f64,
    },
    /// Clients open so many connections a second to each gateway, and say nothing on them.
    Crowd {
        /// When it begins, seconds.
        at: f64,
        /// How long it holds, seconds.
        seconds: f64,
        /// Connections a second.
        rate: f64,
    },
    /// Gateways read their configuration again.
    Reload {
        /// When it begins, seconds.
        at: f64,
        /// The share of them that it hits.
        share: f64,
    },
    /// Gateways get SIGSTOP and later SIGCONT.
    Pause {
        /// When it begins, seconds.
        at: f64,
        /// The share of them that it hits.
        share: f64,
        /// How long it holds, seconds.
        seconds: f64,
    },
    /// Gateways have a part of a core: they stand still for the rest of each hundredth of a second.
    Throttle {
        /// When it begins, seconds.
        at: f64,
        /// The share of them that it hits.
        share: f64,
        /// How long it holds, seconds.
        seconds: f64,
        /// The part of a core that they have.
        core: f64,
    },
    /// So many more gateways start, told of the larger fleet; the old ones are told by SIGHUP, each `share` of them.
    Grow {
        /// When it begins, seconds.
        at: f64,
        /// How many gateways start.
        count: usize,
        /// The share of the old ones that is told.
        share: f64,
    },
    /// Servers are replaced by new, cold ones, evenly over `seconds`; an old one drains for `drain` and goes.
    Replace {
        /// When it begins, seconds.
        at: f64,
        /// The share of them that it hits.
        share: f64,
        /// How long it holds, seconds.
        seconds: f64,
        /// How long an old server drains, seconds.
        drain: f64,
    },
    /// One more server like the first group's, or the last one gone.
    Join {
        /// When it begins, seconds.
        at: f64,
    },
    /// The last server goes.
    Leave {
        /// When it begins, seconds.
        at: f64,
    },
    /// All servers of a zone are down; the list says so after `told_after` if told, and they come back cold.
    ZoneDown {
        /// When it begins, seconds.
        at: f64,
        /// The zone.
        zone: String,
        /// How long it holds, seconds.
        seconds: f64,
        /// When the list says so, seconds after the beginning.
        told_after: Option<f64>,
    },
    /// Servers serve so many times slower.
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
    /// Servers answer every RPC 500 at once.
    FailsFast {
        /// When it begins, seconds.
        at: f64,
        /// The share of them that it hits.
        share: f64,
        /// How long it holds, seconds.
        seconds: f64,
    },
    /// Servers take bytes and say nothing.
    Silent {
        /// When it begins, seconds.
        at: f64,
        /// The share of them that it hits.
        share: f64,
        /// How long it holds, seconds.
        seconds: f64,
    },
    /// A share of the gateways hears changes of the list so late, or nothing, or an older version once more.
    ListLate {
        /// When it begins, seconds.
        at: f64,
        /// The share of them that it hits.
        share: f64,
        /// How long it holds, seconds.
        seconds: f64,
        /// How late, seconds.
        late: f64,
    },
    /// A share of the gateways hears no change of the list.
    ListStill {
        /// When it begins, seconds.
        at: f64,
        /// The share of them that it hits.
        share: f64,
        /// How long it holds, seconds.
        seconds: f64,
    },
    /// A share of the gateways hears an older version once more.
    ListBack {
        /// When it begins, seconds.
        at: f64,
        /// The share of them that it hits.
        share: f64,
        /// How long it holds, seconds.
        seconds: f64,
        /// How many versions back.
        versions: u64,
    },
    /// A share of the gateways can't reach discovery.
    DiscoveryDown {
        /// When it begins, seconds.
        at: f64,
        /// The share of them that it hits.
        share: f64,
        /// How long it holds, seconds.
        seconds: f64,
    },
    /// The counter answers nothing.
    CounterStall {
        /// When it begins, seconds.
        at: f64,
        /// How long it holds, seconds.
        seconds: f64,
    },
    /// Nobody listens at the counter's address.
    CounterDown {
        /// When it begins, seconds.
        at: f64,
        /// How long it holds, seconds.
        seconds: f64,
    },
    /// The counter is replaced by an empty one.
    CounterEmpty {
        /// When it begins, seconds.
        at: f64,
    },
    /// All arrivals come so many times as often.
    Burst {
        /// When it begins, seconds.
        at: f64,
        /// How many times.
        factor: f64,
        /// How long it holds, seconds.
        seconds: f64,
    },
    /// A link between two places.
    Link {
        /// When it begins, seconds.
        at: f64,
        /// How long it holds, seconds.
        seconds: f64,
        /// One end.
        from: String,
        /// The other end.
        to: String,
        /// What it does to what passes.
        wire: LinkEffect,
    },
}

impl Fault {
    /// When it begins, seconds.
    pub fn at(&self) -> f64 {
        use Fault::*;
        match *self {
            Restart { at, .. } | Reload { at, .. } | SignalSeries { at, .. } | Crowd { at, .. } => at,
            Throttle { at, .. } | Flap { at, .. } => at,
            Kill { at, .. } | Term { at, .. } | Pause { at, .. } | Grow { at, .. } | Replace { at, .. } => at,
            Join { at } | Leave { at } | CounterEmpty { at } => at,
            ZoneDown { at, .. } | Slow { at, .. } | FailsFast { at, .. } | Silent { at, .. } => at,
            ListLate { at, .. } | ListStill { at, .. } | ListBack { at, .. } => at,
            DiscoveryDown { at, .. } | CounterStall { at, .. } | CounterDown { at, .. } => at,
            Burst { at, .. } | Link { at, .. } => at,
        }
    }

    fn share(&self) -> f64 {
        use Fault::*;
        match *self {
            Restart { share, .. } | Reload { share, .. } | SignalSeries { share, .. } => share,
            Throttle { share, .. } => share,
            Kill { share, .. } | Term { share, .. } | Pause { share, .. } | Replace { share, .. } => share,
            Slow { share, .. } | FailsFast { share, .. } | Silent { share, .. } => share,
            ListLate { share, .. } | ListStill { share, .. } | ListBack { share, .. } => share,
            DiscoveryDown { share, .. } | Grow { share, .. } => share,
            _ => 0.0,
        }
    }
}

fn one() -> u64 {
    1
}
fn one_f() -> f64 {
    1.0
}
fn four() -> f64 {
    4.0
}
fn table() -> usize {
    512
}
fn spread() -> f64 {
    0.3
}
fn sockets() -> u32 {
    1024
}
fn short_body() -> usize {
    2
}

impl Scenario {
    /// Reads and checks a scenario file, with what it `extends` and with dotted fields set (`gateways=100`).
    pub fn load(path: &Path, set: &[String]) -> Result<Scenario, String> {
        let text = lab::scenario::read_text(path)?;
        let mut table: toml::Table = toml::from_str(&text).map_err(|e| e.to_string())?;
        for one in set {
            let (name, value) = one.split_once('=').ok_or_else(|| format!("'{one}' is not FIELD=VALUE"))?;
            let value = format!("v = {value}").parse::<toml::Table>().map_err(|e| format!("{one}: {e}"))?;
            let nested = name.rsplit('.').fold(value["v"].clone(), |inner, field| {
                toml::Value::Table([(field.to_string(), inner)].into_iter().collect())
            });
            if let toml::Value::Table(nested) = nested {
                lab::scenario::merge(&mut table, nested);
            }
        }
        Scenario::from_table(table).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Reads and checks a scenario.
    pub fn from_toml(text: &str) -> Result<Scenario, String> {
        Scenario::from_table(toml::from_str(text).map_err(|e| e.to_string())?)
    }

    fn from_table(table: toml::Table) -> Result<Scenario, String> {
        let scenario: Scenario = table.try_into().map_err(|e: toml::de::Error| e.to_string())?;
        scenario.check()?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), String> {
        if self.gateways == 0 || self.zones.is_empty() || self.servers.iter().all(|group| group.count == 0) {
            return Err("'gateways', 'zones' and 'servers' must not be empty".into());
        }
        if !(self.seconds > 0.0 && self.seconds <= 3600.0 && (0.0..=600.0).contains(&self.warm_seconds)) {
            return Err("'seconds' must be from 0 to 3600, 'warm_seconds' from 0 to 600".into());
        }
        self.check_load()?;
        self.check_servers()?;
        for (at, fault) in self.faults.iter().enumerate() {
            self.check_fault(at, fault)?;
        }
        let beyond = |pair: &(usize, usize)| pair.0 >= self.gateways || pair.1 >= self.gateways;
        if self.same_number.iter().any(beyond) {
            return Err("same_number names a gateway beyond 'gateways'".into());
        }
        Ok(())
    }

    fn check_load(&self) -> Result<(), String> {
        let load = &self.load;
        if load.width == 0 || load.width > self.gateways || load.customers == 0 {
            return Err("'load.width' must be from 1 to 'gateways', 'load.customers' 1 or more".into());
        }
        if !(load.rate > 0.0 && load.rate.is_finite()) {
            return Err("'load.rate' must be above nought".into());
        }
        let names = |list: &str| -> Vec<&str> {
            let entries = self.settings.get(list).and_then(toml::Value::as_array);
            entries.into_iter().flatten().filter_map(|entry| entry.get("name")?.as_str()).collect()
        };
        if !names("tariffs").contains(&&*load.plan) {
            return Err(format!("load.plan: no tariff named '{}' in the settings", load.plan));
        }
        let classes = names("classes");
        if let Some(method) = load.methods.iter().find(|method| !classes.contains(&&*method.name)) {
            return Err(format!("load.methods: no class named '{}' in the settings", method.name));
        }
        if ![load.leave, load.early, load.pieces].iter().all(|share| (0.0..=1.0).contains(share)) {
            return Err("'load.leave', 'load.early' and 'load.pieces' must be from 0 to 1".into());
        }
        if load.methods.is_empty() {
            return Err("'load.methods' must not be empty".into());
        }
        Ok(())
    }

    fn check_servers(&self) -> Result<(), String> {
        for (at, group) in self.servers.iter().enumerate() {
            if group.zone.as_ref().is_some_and(|zone| !self.zones.contains(zone)) {
                return Err(format!("servers[{at}].zone is none of 'zones'"));
            }
            if !(group.weight > 0.0 && group.service_ms > 0.0 && group.cores > 0) {
                return Err(format!(
                    "servers[{at}]: 'weight', 'service_ms' and 'cores' must be above nought"
                ));
            }
        }
        Ok(())
    }

    fn check_fault(&self, at: usize, fault: &Fault) -> Result<(), String> {
        if !(0.0..=self.seconds).contains(&fault.at()) || !(0.0..=1.0).contains(&fault.share()) {
            return Err(format!("faults[{at}]: 'at' must lie in 'seconds', 'share' be from 0 to 1"));
        }
        match fault {
            Fault::ZoneDown { zone, .. } if !self.zones.contains(zone) => {
                Err(format!("faults[{at}].zone is none of 'zones'"))
            }
            Fault::Link { from, to, .. } if !can_link(&Place::parse(from)?, &Place::parse(to)?) => {
                Err(format!(
                    "faults[{at}]: a link leads from the front to gateways, or from gateways to servers, \
                     discovery or the counter"
                ))
            }
            _ => Ok(()),
        }
    }

    /// A field of a class of the settings.
    fn class(&self, class: &str, field: &str) -> Option<&toml::Value> {
        let classes = self.settings.get("classes").and_then(toml::Value::as_array)?;
        let is = |entry: &&toml::Value| entry.get("name").and_then(toml::Value::as_str) == Some(class);
        classes.iter().find(is)?.get(field)
    }

    /// The longest deadline of the settings' classes, seconds.
    pub fn longest_deadline(&self) -> f64 {
        let classes = self.settings.get("classes").and_then(toml::Value::as_array);
        let names = classes.into_iter().flatten().filter_map(|entry| entry.get("name")?.as_str());
        names.map(|name| self.deadline(name)).fold(0.0, f64::max)
    }

    /// A class's deadline in seconds.
    pub fn deadline(&self, class: &str) -> f64 {
        let value = self.class(class, "deadline");
        value
            .and_then(|value| value.as_float().or(value.as_integer().map(|whole| whole as f64)))
            .unwrap_or(5.0)
    }

    /// How a class may be repeated, as the settings have it (`free`, `guarded` or `single_shot`).
    pub fn idempotency(&self, class: &str) -> String {
        self.class(class, "idempotency").and_then(toml::Value::as_str).unwrap_or("single_shot").to_string()
    }
}

/// Whether a link can lead from one place to another.
fn can_link(from: &Place, to: &Place) -> bool {
    match (from, to) {
        (Place::LoadGenerator, Place::Gateways(_) | Place::Zone(_)) => true,
        (Place::Gateways(_) | Place::Zone(_), to) => !matches!(to, Place::LoadGenerator | Place::Gateways(_)),
        _ => false,
    }
}

#[cfg(test)]
mod tests;
