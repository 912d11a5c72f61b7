//! Scenario files of the rig, read from TOML and validated before any process starts. `docs/rig.md` documents the format.

use crate::load_generator::ClientBehaviour;
use crate::nanos;
use martenramp::repeat_group::RepeatScope;
use serde::{Deserialize, Serialize};
use standins::servers::LateData;
use std::ops::Range;
use std::path::{Path, PathBuf};

/// A scenario as read from its file.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario, which the tables show.
    pub name: String,
    /// Seed of all random numbers.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Warm-up: seconds of arrivals before the measured part of the run.
    #[serde(default = "default_warm_seconds")]
    pub warm_seconds: f64,
    /// Length of the measured part of the run in seconds.
    pub seconds: f64,
    /// Number of gateways at the start.
    pub gateways: usize,
    /// Names of the zones. Gateway `g` is in zone `g % zones.len()`.
    pub zones: Vec<String>,
    /// Pairs of gateways of which the second is misconfigured with the number of the first.
    #[serde(default)]
    pub same_number: Vec<(usize, usize)>,
    /// The service's settings in the gateway's nested form. The rig adds `balancers`, `me`, `zone` and `localities`.
    pub settings: toml::Table,
    /// The load that the load generator sends.
    pub load: Load,
    /// Groups of servers at the start.
    pub servers: Vec<ServerGroup>,
    /// Fleet size in the gateways' configuration, if it differs from the actual one.
    #[serde(default)]
    pub told_gateways: Option<usize>,
    /// Limit of open descriptors of each gateway.
    #[serde(default = "default_sockets")]
    pub sockets: u32,
    /// Number of cells that the servers are in; 0 puts all into one.
    #[serde(default)]
    pub cells: usize,
    /// Whether each cell has servers of all zones, rather than of one.
    #[serde(default)]
    pub cells_span_zones: bool,
    /// Model of the shared counter.
    #[serde(default)]
    pub counter: CounterModel,
    /// If present, the settings are versioned and the gateways agree on the version in force.
    #[serde(default)]
    pub agreement: Option<Agreement>,
    /// Faults to inject.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Random failures of the gateways' system calls.
    #[serde(default)]
    pub system_calls: Option<SystemCallFaults>,
}

/// Random failures of the gateways' system calls, injected by a library that is preloaded into each process
/// (`crates/faults`).
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SystemCallFaults {
    /// Path of the library.
    pub library: PathBuf,
    /// Share of the calls that fail.
    pub rate: f64,
}

/// Open-loop arrivals.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Mean RPCs per second and gateway. Arrivals are a Poisson process over the whole fleet.
    pub rate: f64,
    /// Number of customers.
    pub customers: usize,
    /// Sigma of the log-normal distribution of the customers' shares; 0 makes them equal.
    #[serde(default)]
    pub skew: f64,
    /// Number of consecutive gateways that each customer uses.
    pub width: usize,
    /// Classes of RPCs and their shares of the load.
    pub methods: Vec<Method>,
    /// Plan of all customers: the name of a tariff in the settings.
    pub plan: String,
    /// How long after a failure the load generator stops sending to a gateway, seconds.
    #[serde(default = "default_one")]
    pub notice: f64,
    /// Share of RPCs whose clients close the connection before the answer.
    #[serde(default)]
    pub leave: f64,
    /// Share of RPCs that are the first on a connection that was opened up to 1.2 s earlier.
    #[serde(default)]
    pub early: f64,
    /// Share of RPCs whose request is sent in two parts.
    #[serde(default)]
    pub pieces: f64,
    /// Share of RPCs that have a connection of their own, which the client closes after the answer.
    #[serde(default)]
    pub fresh: f64,
    /// Share of RPCs whose client stops reading for a while after it has sent the request.
    #[serde(default)]
    pub slow: f64,
}

impl Load {
    /// Returns how clients deviate from the ordinary exchange.
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

/// A class of RPCs in the load.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Method {
    /// Name of a class in the settings.
    pub name: String,
    /// Share of all arrivals.
    pub share: f64,
    /// Units of the plan's quota that each RPC uses.
    #[serde(default = "default_one")]
    pub units: f64,
}

/// A group of identical servers, spread round robin over the zones.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServerGroup {
    /// Number of servers.
    pub count: usize,
    /// If present, all servers of the group are in this zone.
    #[serde(default)]
    pub zone: Option<String>,
    /// Weight of each server in discovery's list.
    #[serde(default = "default_one")]
    pub weight: f64,
    /// RPCs served concurrently by each server.
    pub cores: usize,
    /// Queue length beyond those; further RPCs are refused.
    pub queue: usize,
    /// Connection limit; further connections are reset.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Median of the log-normal service time, milliseconds.
    pub service_ms: f64,
    /// Sigma of the log-normal service time.
    #[serde(default = "default_spread")]
    pub spread: f64,
    /// Share of its full speed at which a server works right after its start.
    #[serde(default = "default_one")]
    pub cold_share: f64,
    /// Seconds until a started server works at full speed.
    #[serde(default)]
    pub cold_seconds: f64,
    /// Whether answers carry a load report header.
    #[serde(default)]
    pub reports: bool,
    /// Length of the answers' bodies in bytes, at least 16 for the RPC's id.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: usize,
    /// Share of the answers that are followed by a second copy.
    #[serde(default)]
    pub late_copies: f64,
    /// Share of the answers that are followed by noise.
    #[serde(default)]
    pub late_noise: f64,
    /// The longest time between an answer and what follows it, milliseconds.
    #[serde(default)]
    pub late_ms: f64,
    /// Assumed one-way delay of the link, within which a request and late data may cross, milliseconds.
    #[serde(default)]
    pub link_ms: f64,
}

impl ServerGroup {
    /// What the servers send behind their answers.
    pub fn late_data(&self) -> LateData {
        LateData {
            copy_share: self.late_copies,
            noise_share: self.late_noise,
            max_lateness: nanos(self.late_ms / 1e3),
            link_delay: nanos(self.link_ms / 1e3),
        }
    }
}

/// Timing of the agreement on versioned settings, in seconds.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Agreement {
    /// Length of a lease.
    pub lease: f64,
    /// Bound on the error of any gateway's clock.
    pub clock: f64,
}

/// Model of the shared counter.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct CounterModel {
    /// Service time of one call, microseconds.
    pub cost_us: f64,
}

impl Default for CounterModel {
    fn default() -> Self {
        CounterModel { cost_us: 20.0 }
    }
}

/// An end of a link, written as `front`, `discovery`, `counter`, `gateways:3`, `gateways:0-9`, `servers:4-7` or `zone:a`.
#[derive(Clone, Debug, PartialEq)]
pub enum Place {
    /// The load generator, written as `front`.
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
    /// Parses a place as it is written in scenarios.
    pub fn parse(text: &str) -> Result<Place, String> {
        let range = |text: &str| -> Option<Range<usize>> {
            let (from, to) = text.split_once('-').unwrap_or((text, text));
            Some(from.parse().ok()?..to.parse::<usize>().ok()? + 1)
        };
        let unknown_place = || format!("no such place: '{text}'");
        match text.split_once(':') {
            None if text == "front" => Ok(Place::LoadGenerator),
            None if text == "discovery" => Ok(Place::Discovery),
            None if text == "counter" => Ok(Place::Counter),
            Some(("gateways", indexes)) => range(indexes).map(Place::Gateways).ok_or_else(unknown_place),
            Some(("servers", indexes)) => range(indexes).map(Place::Servers).ok_or_else(unknown_place),
            Some(("zone", name)) => Ok(Place::Zone(name.to_string())),
            _ => Err(unknown_place()),
        }
    }
}

/// The effect of a link fault on the traffic between its two ends, `from` and `to`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkEffect {
    /// Drops all data that `from` sends.
    pub cut_there: bool,
    /// Drops all data that is sent to `from`.
    pub cut_back: bool,
    /// Delay in each direction, milliseconds.
    pub delay_ms: f64,
    /// Share of the data that is lost, which on a connection delays it by a retransmission.
    pub lose: f64,
    /// Resets connections.
    pub reset: bool,
    /// Accepts connections and sends nothing.
    pub silent: bool,
}

/// A fault and when it occurs. Times are in seconds after the warm-up. The gateways or servers that make up a share are
/// drawn with the scenario's seed.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Gateways receive SIGKILL, and are started again if `back_after` is given.
    Kill {
        /// Start of the fault, seconds.
        at: f64,
        /// Share of them that is affected.
        share: f64,
        /// Seconds after the signal at which they are started again, if given.
        back_after: Option<f64>,
    },
    /// Gateways receive SIGTERM, and are started again if `back_after` is given.
    Term {
        /// Start of the fault, seconds.
        at: f64,
        /// Share of them that is affected.
        share: f64,
        /// Seconds after the signal at which they are started again, if given.
        back_after: Option<f64>,
    },
    /// Gateways are restarted as the platform does it: SIGTERM, then SIGKILL once the longest deadline (3 s at most) plus
    /// 0.7 s have passed, then a new process.
    Restart {
        /// Start of the fault, seconds.
        at: f64,
        /// Share of them that is affected.
        share: f64,
        /// Seconds after SIGKILL at which they are started again.
        back_after: f64,
    },
    /// Like `Restart`, with a series of signals before SIGKILL: SIGHUP, SIGTERM, SIGTERM, SIGHUP.
    SignalSeries {
        /// Start of the fault, seconds.
        at: f64,
        /// Share of them that is affected.
        share: f64,
        /// Seconds between consecutive signals.
        apart: f64,
        /// Seconds after SIGKILL at which they are started again.
        back_after: f64,
    },
    /// Each server in turn is listed as draining, and as ready again by the next change of the list.
    Flap {
        /// Start of the fault, seconds.
        at: f64,
        /// Duration, seconds.
        seconds: f64,
        /// Seconds between consecutive changes.
        every: f64,
    },
    /// Clients open connections to each gateway and send nothing on them.
    Crowd {
        /// Start of the fault, seconds.
        at: f64,
        /// Duration, seconds.
        seconds: f64,
        /// Connections per second to each gateway.
        rate: f64,
    },
    /// Gateways reload their configuration.
    Reload {
        /// Start of the fault, seconds.
        at: f64,
        /// Share of them that is affected.
        share: f64,
    },
    /// Gateways receive SIGSTOP, and SIGCONT at the end.
    Pause {
        /// Start of the fault, seconds.
        at: f64,
        /// Share of them that is affected.
        share: f64,
        /// Duration, seconds.
        seconds: f64,
    },
    /// Gateways are limited to a share of a core: they are stopped for the rest of each period of 10 ms.
    Throttle {
        /// Start of the fault, seconds.
        at: f64,
        /// Share of them that is affected.
        share: f64,
        /// Duration, seconds.
        seconds: f64,
        /// Share of a core that they have.
        core: f64,
    },
    /// More gateways start with the larger fleet size in their configuration. A share of the old gateways is reloaded with
    /// it by SIGHUP.
    Grow {
        /// Start of the fault, seconds.
        at: f64,
        /// Number of gateways that start.
        count: usize,
        /// Share of the old gateways that are reloaded.
        share: f64,
    },
    /// Servers are replaced by new, cold ones, spread evenly over `seconds`. Each old server drains and then goes down.
    Replace {
        /// Start of the fault, seconds.
        at: f64,
        /// Share of them that is affected.
        share: f64,
        /// Duration, seconds.
        seconds: f64,
        /// Seconds for which an old server drains.
        drain: f64,
    },
    /// A server like those of the first group is added.
    Join {
        /// Start of the fault, seconds.
        at: f64,
    },
    /// The last server that is listed as ready drains and goes down.
    Leave {
        /// Start of the fault, seconds.
        at: f64,
    },
    /// All servers of a zone are down, and come up again cold. With `told_after` the list shows them as gone meanwhile.
    ZoneDown {
        /// Start of the fault, seconds.
        at: f64,
        /// Name of the zone.
        zone: String,
        /// Duration, seconds.
        seconds: f64,
        /// Seconds after the start of the fault at which the list shows the servers as gone, if given.
        told_after: Option<f64>,
    },
    /// Servers serve more slowly.
    Slow {
        /// Start of the fault, seconds.
        at: f64,
        /// Share of them that is affected.
        share: f64,
        /// Factor on the service time.
        factor: f64,
        /// Duration, seconds.
        seconds: f64,
    },
    /// Servers answer every RPC with 500 at once.
    FailsFast {
        /// Start of the fault, seconds.
        at: f64,
        /// Share of them that is affected.
        share: f64,
        /// Duration, seconds.
        seconds: f64,
    },
    /// Servers accept data and send nothing.
    Silent {
        /// Start of the fault, seconds.
        at: f64,
        /// Share of them that is affected.
        share: f64,
        /// Duration, seconds.
        seconds: f64,
    },
    /// Changes of discovery's list reach a share of the gateways late.
    ListLate {
        /// Start of the fault, seconds.
        at: f64,
        /// Share of them that is affected.
        share: f64,
        /// Duration, seconds.
        seconds: f64,
        /// Delay in seconds.
        late: f64,
    },
    /// Changes of discovery's list do not reach a share of the gateways.
    ListStill {
        /// Start of the fault, seconds.
        at: f64,
        /// Share of them that is affected.
        share: f64,
        /// Duration, seconds.
        seconds: f64,
    },
    /// A share of the gateways receives an older version of discovery's list.
    ListBack {
        /// Start of the fault, seconds.
        at: f64,
        /// Share of them that is affected.
        share: f64,
        /// Duration, seconds.
        seconds: f64,
        /// Number of versions by which the list is older.
        versions: u64,
    },
    /// A share of the gateways cannot reach discovery.
    DiscoveryDown {
        /// Start of the fault, seconds.
        at: f64,
        /// Share of them that is affected.
        share: f64,
        /// Duration, seconds.
        seconds: f64,
    },
    /// The counter does not answer.
    CounterStall {
        /// Start of the fault, seconds.
        at: f64,
        /// Duration, seconds.
        seconds: f64,
    },
    /// The counter does not listen at its address.
    CounterDown {
        /// Start of the fault, seconds.
        at: f64,
        /// Duration, seconds.
        seconds: f64,
    },
    /// The counter loses all its values.
    CounterEmpty {
        /// Start of the fault, seconds.
        at: f64,
    },
    /// The rate of arrivals is multiplied.
    Burst {
        /// Start of the fault, seconds.
        at: f64,
        /// Factor on the rate.
        factor: f64,
        /// Duration, seconds.
        seconds: f64,
    },
    /// The traffic between two places is disturbed.
    Link {
        /// Start of the fault, seconds.
        at: f64,
        /// Duration, seconds.
        seconds: f64,
        /// One end of the link, as [`Place::parse`] reads it.
        from: String,
        /// The other end of the link, likewise.
        to: String,
        /// Effect on the traffic.
        wire: LinkEffect,
    },
}

impl Fault {
    /// Returns the start of the fault in seconds after the warm-up.
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

fn default_seed() -> u64 {
    1
}
fn default_one() -> f64 {
    1.0
}
fn default_warm_seconds() -> f64 {
    4.0
}
fn default_connections() -> usize {
    512
}
fn default_spread() -> f64 {
    0.3
}
fn default_sockets() -> u32 {
    1024
}
fn default_body_bytes() -> usize {
    2
}

impl Scenario {
    /// Reads and validates a scenario file, together with the file that it `extends`. Each assignment in `set` overrides a
    /// field given by its dotted name (`gateways=100`).
    pub fn load(path: &Path, set: &[String]) -> Result<Scenario, String> {
        let text = lab::scenario::read_text(path)?;
        let mut table: toml::Table = toml::from_str(&text).map_err(|e| e.to_string())?;
        for assignment in set {
            let (name, value) =
                assignment.split_once('=').ok_or_else(|| format!("'{assignment}' is not FIELD=VALUE"))?;
            let value =
                format!("v = {value}").parse::<toml::Table>().map_err(|e| format!("{assignment}: {e}"))?;
            let nested = name.rsplit('.').fold(value["v"].clone(), |inner, field| {
                toml::Value::Table([(field.to_string(), inner)].into_iter().collect())
            });
            if let toml::Value::Table(nested) = nested {
                lab::scenario::merge(&mut table, nested);
            }
        }
        Scenario::from_table(table).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Parses and validates a scenario.
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
        for (index, fault) in self.faults.iter().enumerate() {
            self.check_fault(index, fault)?;
        }
        let out_of_range = |pair: &(usize, usize)| pair.0 >= self.gateways || pair.1 >= self.gateways;
        if self.same_number.iter().any(out_of_range) {
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
            return Err("'load.rate' must be above 0".into());
        }
        let names_in = |list: &str| -> Vec<&str> {
            let entries = self.settings.get(list).and_then(toml::Value::as_array);
            entries.into_iter().flatten().filter_map(|entry| entry.get("name")?.as_str()).collect()
        };
        if !names_in("tariffs").contains(&&*load.plan) {
            return Err(format!("load.plan: no tariff named '{}' in the settings", load.plan));
        }
        let classes = names_in("classes");
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
        for (index, group) in self.servers.iter().enumerate() {
            if group.zone.as_ref().is_some_and(|zone| !self.zones.contains(zone)) {
                return Err(format!("servers[{index}].zone is not one of 'zones'"));
            }
            if !(group.weight > 0.0 && group.service_ms > 0.0 && group.cores > 0) {
                return Err(format!("servers[{index}]: 'weight', 'service_ms' and 'cores' must be above 0"));
            }
        }
        Ok(())
    }

    fn check_fault(&self, index: usize, fault: &Fault) -> Result<(), String> {
        if !(0.0..=self.seconds).contains(&fault.at()) || !(0.0..=1.0).contains(&fault.share()) {
            return Err(format!("faults[{index}]: 'at' must be within 'seconds' and 'share' from 0 to 1"));
        }
        match fault {
            Fault::ZoneDown { zone, .. } if !self.zones.contains(zone) => {
                Err(format!("faults[{index}].zone is not one of 'zones'"))
            }
            Fault::Link { from, to, .. } if !can_link(&Place::parse(from)?, &Place::parse(to)?) => {
                Err(format!(
                    "faults[{index}]: a link leads from the front to gateways, or from gateways to servers, \
                     discovery or the counter"
                ))
            }
            _ => Ok(()),
        }
    }

    /// Returns a field of a class in the settings.
    fn class(&self, class: &str, field: &str) -> Option<&toml::Value> {
        let classes = self.settings.get("classes").and_then(toml::Value::as_array)?;
        let is = |entry: &&toml::Value| entry.get("name").and_then(toml::Value::as_str) == Some(class);
        classes.iter().find(is)?.get(field)
    }

    /// Returns the longest deadline of all classes in the settings, in seconds.
    pub fn longest_deadline(&self) -> f64 {
        let classes = self.settings.get("classes").and_then(toml::Value::as_array);
        let names = classes.into_iter().flatten().filter_map(|entry| entry.get("name")?.as_str());
        names.map(|name| self.deadline(name)).fold(0.0, f64::max)
    }

    /// Returns the deadline of a class in seconds.
    pub fn deadline(&self, class: &str) -> f64 {
        let value = self.class(class, "deadline");
        value
            .and_then(|value| value.as_float().or(value.as_integer().map(|seconds| seconds as f64)))
            .unwrap_or(5.0)
    }

    /// Returns the cell of a server.
    pub fn cell_of(&self, server: usize) -> u16 {
        let zones = self.zones.len();
        let (cells, zone) = (self.cells.max(1), server % zones);
        // Servers take turns by zone, so that a cell of consecutive turns spans zones.
        let cell = (server / zones) % cells;
        (if self.cells_span_zones || self.cells == 0 { cell } else { cell * zones + zone }) as u16
    }

    /// Returns the servers that recognize a repeat of a deduplicated RPC of a class.
    pub fn repeat_scope(&self, class: &str) -> RepeatScope {
        RepeatScope::from_setting(self.class(class, "group").and_then(toml::Value::as_str))
    }

    /// Returns the time within which servers recognize a repeat, in seconds.
    pub fn repeat_window(&self, class: &str) -> f64 {
        self.class(class, "window").and_then(toml::Value::as_float).unwrap_or(0.0)
    }

    /// Returns the idempotency of a class in the settings: `free`, `guarded` or `single_shot`.
    pub fn idempotency(&self, class: &str) -> String {
        self.class(class, "idempotency").and_then(toml::Value::as_str).unwrap_or("single_shot").to_string()
    }
}

/// Returns whether a link can be placed between these ends.
fn can_link(from: &Place, to: &Place) -> bool {
    match (from, to) {
        (Place::LoadGenerator, Place::Gateways(_) | Place::Zone(_)) => true,
        (Place::Gateways(_) | Place::Zone(_), to) => !matches!(to, Place::LoadGenerator | Place::Gateways(_)),
        _ => false,
    }
}

#[cfg(test)]
mod tests;
