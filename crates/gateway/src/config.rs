//! What a gateway is told at its start: the configuration file, and the environment for what it leaves out.

use crate::counter;
use crate::guard::RetrySafety;
use crate::services::Services;
use crate::shutdown::longest_deadline;
use agreement::Nanos;
use agreement::config::AgreementConfig;
use agreement::version::{Fallback, Version};
use martenramp::host::Settings;
use serde_json::Value;
use std::net::SocketAddr;
use std::rc::Rc;

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub counter: Option<SocketAddr>,
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub descriptor_limit: usize,
    /// Memory that it may take.
    pub memory_limit: usize,
    /// The list of servers as this gateway last had it, in discovery's form.
    pub initial_list: Option<Value>,
    /// As the module gets them: path=value, names and units untouched.
    pub settings: Settings,
    pub methods: Vec<Method>,
    pub plans: Vec<String>,
    pub services: Rc<Services>,
    /// The most units that one RPC may take, and how many gateways there are.
    pub max_units: f64,
    pub gateways: u32,
    /// Settings with a version, if this file tells one.
    pub agreement: Option<SettingsAgreement>,
}

/// The version that the settings are, and how gateways agree on it.
pub struct SettingsAgreement {
    pub version: Version,
    pub terms: AgreementConfig,
    /// Where other gateways' datagrams come in, and where this one sends what all of them are to hear.
    pub listen: SocketAddr,
    pub peers: SocketAddr,
    /// For drills: this gateway's clock is taken to be so far ahead, nanoseconds.
    pub clock_offset: i64,
    /// The operators' word that nothing has to be remembered.
    pub fresh: bool,
}

/// Who votes where the file names nobody: the first so many gateways.
const DEFAULT_VOTERS: u32 = 7;
/// How long a voter's word holds, and how far clocks are apart from true time at most, where the file does not say.
const DEFAULT_LEASE_SECONDS: f64 = 2.0;
const DEFAULT_CLOCK_ERROR_SECONDS: f64 = 0.25;

/// A method by its name.
pub struct Method {
    pub name: String,
    pub effect: RetrySafety,
}

impl Method {
    fn from_settings(name: String, number: usize, settings: &Settings) -> Method {
        let told = |part: &str| settings.get(&format!("classes.{number}.{part}")).map(String::as_str);
        let window = told("window").and_then(|secs| secs.parse().ok()).unwrap_or(0.0);
        let effect = match told("idempotency") {
            Some("free") => RetrySafety::Idempotent,
            Some("guarded") => RetrySafety::Deduplicated {
                window: (f64::max(window, 0.0) * 1e9) as Nanos,
                all_servers: told("group") == Some("all"),
            },
            _ => RetrySafety::AtMostOnce,
        };
        Method { name, effect }
    }
}

/// Where no limit is told: the usual one of a process.
const DEFAULT_DESCRIPTOR_LIMIT: usize = 1024;
const DEFAULT_MEMORY_MB: u64 = 1024;

impl Config {
    /// Reads the configuration's text; `env` looks up what it leaves out.
    pub fn parse(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let all: Value = serde_json::from_str(text).map_err(|e| format!("not JSON: {e}"))?;
        let told = |name: &str, variable: &str| {
            let value = all[name].as_str().map(str::to_string).or_else(|| env(variable));
            value.ok_or_else(|| format!("'{name}' is missing"))
        };
        let address = |name: &str, text: &str| {
            text.parse::<SocketAddr>().map_err(|_| format!("'{name}' is no address: {text:?}"))
        };
        let listen = address("listen", &told("listen", "LB_LISTEN")?)?;
        let discovery = address("discovery", &told("discovery", "LB_DISCOVERY")?)?;
        let counter = all["counter"].as_str().map(|text| address("counter", text)).transpose()?;
        let seed = match &all["seed"] {
            Value::String(hex) => {
                u64::from_str_radix(hex, 16).map_err(|_| format!("'seed' is no hex: {hex:?}"))?
            }
            Value::Number(number) => number.as_u64().ok_or("'seed' is no whole number")?,
            _ => return Err("'seed' is missing".to_string()),
        };
        let Some(nested) = all["settings"].as_object() else {
            return Err("'settings' is missing".to_string());
        };
        let settings = flatten(nested);
        validate(&settings)?;
        let names = |list: &str| -> Vec<String> {
            let entries = nested.get(list).and_then(Value::as_array).map_or(&[][..], Vec::as_slice);
            entries.iter().map(|entry| entry["name"].as_str().unwrap_or_default().to_string()).collect()
        };
        let methods: Vec<Method> = names("classes")
            .into_iter()
            .enumerate()
            .map(|(number, name)| Method::from_settings(name, number, &settings))
            .collect();
        let services = Services::read(&all["services"], &names("classes"))?;
        let plans = names("tariffs");
        if methods.is_empty() || plans.is_empty() {
            return Err("'settings' names no classes or no tariffs".to_string());
        }
        let sockets =
            all["limits"]["sockets"].as_u64().map_or(DEFAULT_DESCRIPTOR_LIMIT, |most| most as usize);
        let memory = all["limits"]["memory_mb"].as_u64().unwrap_or(DEFAULT_MEMORY_MB) as usize;
        let memory = memory.saturating_mul(1 << 20);
        let known = Some(all["known"].clone()).filter(Value::is_object);
        let agreement = match &all["agreement"] {
            Value::Null => None,
            told => Some(parse_agreement(told, &all, &settings, &address)?),
        };
        let name = told("name", "LB_NAME").unwrap_or_else(|_| listen.to_string());
        let mut config = Config {
            name,
            listen,
            discovery,
            counter,
            seed,
            descriptor_limit: sockets,
            memory_limit: memory,
            initial_list: known,
            settings,
            methods,
            plans,
            services: Rc::new(services),
            max_units: counter::MAX_AMOUNT,
            gateways: u32::MAX,
            agreement,
        };
        config.update_limits();
        Ok(config)
    }

    fn update_limits(&mut self) {
        self.max_units = self.positive_setting("extra.largest").unwrap_or(f64::MAX).min(counter::MAX_AMOUNT);
        self.gateways = self.positive_setting("balancers").map_or(u32::MAX, |count| count as u32);
    }

    /// Other settings hold from now on. What this process made of them at its start (limits, time-outs, names of zones) stays.
    pub fn apply_settings(&mut self, settings: Settings) {
        self.settings = settings;
        self.update_limits();
    }

    /// The longest deadline of a method.
    pub fn longest_deadline(&self) -> Nanos {
        let told = |number| self.positive_setting(&format!("classes.{number}.deadline"));
        let nanos = |secs: f64| (secs * 1e9) as Nanos;
        longest_deadline((0..self.methods.len()).map(|number| told(number).map(nanos)))
    }

    /// The shortest deadline of a method; the longest that counts where none is told.
    pub fn shortest_deadline(&self) -> Nanos {
        let told = (0..self.methods.len())
            .filter_map(|number| self.positive_setting(&format!("classes.{number}.deadline")));
        told.map(|secs| (secs * 1e9) as Nanos).min().unwrap_or_else(|| self.longest_deadline())
    }

    pub fn positive_setting(&self, name: &str) -> Option<f64> {
        self.settings.get(name)?.parse().ok().filter(|value: &f64| value.is_finite() && *value > 0.0)
    }

    /// The entries of a list of plain names, such as the zones.
    pub fn setting_list(&self, name: &str) -> Vec<String> {
        let joined = self.settings.get(name).map_or("", String::as_str);
        joined.split(',').filter(|entry| !entry.is_empty()).map(str::to_string).collect()
    }
}

/// What a method's effect and group may be; one that is not known could be repeated where it must not.
const IDEMPOTENCY_VALUES: [&str; 3] = ["free", "guarded", "single_shot"];
const GROUP_VALUES: [&str; 3] = ["all", "zone", "cell"];
/// Times in seconds, by name and among the parts of each method; none is longer than a day.
const TIME_SETTINGS: [&str; 7] = [
    "ceilings.connIdle",
    "ceilings.dialTimeout",
    "ceilings.maxRetryAfter",
    "extra.countWait",
    "rules.stopSendingWithin",
    "rules.fall",
    "rules.warmWithin",
];
const METHOD_TIME_SETTINGS: [&str; 3] = ["onTime", "deadline", "window"];
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Amounts of each plan, in units or units a second.
const PLAN_AMOUNT_SETTINGS: [&str; 5] = ["perSecond", "depth", "ceilingRate", "hardBurst", "maxOut"];

/// Refuses settings that make no sense, by the key that does not. Guards against a slip in a file that would have every RPC
/// turned away, or repeat what must not run twice. What is left out takes its default.
fn validate(settings: &Settings) -> Result<(), String> {
    let amount = |key: String, most: f64, what: &str| match settings.get(&key) {
        Some(told) if !told.parse().is_ok_and(|told: f64| (0.0..=most).contains(&told)) => {
            Err(format!("'{key}' is no {what}: {told:?}"))
        }
        _ => Ok(()),
    };
    let word = |key: String, known: &[&str]| match settings.get(&key) {
        Some(told) if !known.contains(&told.as_str()) => {
            Err(format!("'{key}' is none of {}: {told:?}", known.join(", ")))
        }
        _ => Ok(()),
    };
    let count =
        |list: &str| settings.get(&format!("{list}.count")).and_then(|count| count.parse().ok()).unwrap_or(0);
    let time = "time from 0 to 86400 s";
    TIME_SETTINGS.iter().try_for_each(|key| amount(key.to_string(), SECONDS_PER_DAY, time))?;
    for number in 0..count("classes") {
        let key = |name: &str| format!("classes.{number}.{name}");
        METHOD_TIME_SETTINGS.iter().try_for_each(|name| amount(key(name), SECONDS_PER_DAY, time))?;
        word(key("idempotency"), &IDEMPOTENCY_VALUES)?;
        word(key("group"), &GROUP_VALUES)?;
    }
    for number in 0..count("tariffs") {
        let key = |name: &str| format!("tariffs.{number}.{name}");
        PLAN_AMOUNT_SETTINGS
            .iter()
            .try_for_each(|name| amount(key(name), counter::MAX_AMOUNT, "amount from 0 to 1e9"))?;
    }
    Ok(())
}

/// Reads the `agreement` part of a configuration.
fn parse_agreement(
    told: &Value,
    all: &Value,
    settings: &Settings,
    address: &impl Fn(&str, &str) -> Result<SocketAddr, String>,
) -> Result<SettingsAgreement, String> {
    let known = ["version", "starts_ms", "ground", "voters", "lease", "clock", "clock_off_ms", "fresh"];
    let unknown = told.as_object().into_iter().flatten().find(|(name, _)| !known.contains(&name.as_str()));
    if let Some((name, _)) = unknown {
        return Err(format!("'agreement' knows no '{name}'"));
    }
    let number = told["version"].as_u64().ok_or("'agreement' tells no whole 'version'")?;
    let start_ms = match &told["starts_ms"] {
        Value::Null => 0,
        start => start.as_u64().ok_or("'starts_ms' is no Unix time in whole milliseconds")?,
    };
    let amount = |of: &Value, name: &str, default: f64| match &of[name] {
        Value::Null => Ok(default),
        told => told.as_f64().filter(|told| *told > 0.0).ok_or(format!("'{name}' is no amount above 0")),
    };
    let usual = Fallback::default_for(settings);
    let ground = Fallback {
        quota_share: amount(&told["ground"], "quota", usual.quota_share)?,
        max_gateways: amount(&told["ground"], "gateways", usual.max_gateways)?,
        max_attempts: amount(&told["ground"], "attempts", usual.max_attempts)?,
    };
    let voters = match &told["voters"] {
        Value::Null => (0..DEFAULT_VOTERS.min(usual.max_gateways as u32)).collect(),
        Value::Array(list) => {
            let numbers =
                list.iter().map(|number| number.as_u64().and_then(|number| u32::try_from(number).ok()));
            numbers.collect::<Option<_>>().ok_or("'voters' are no numbers of gateways")?
        }
        _ => return Err("'voters' is no list".to_string()),
    };
    let nanos = |name, default| Ok::<_, String>((amount(told, name, default)?.min(3600.0) * 1e9) as Nanos);
    let terms = AgreementConfig {
        voters,
        lease_duration: nanos("lease", DEFAULT_LEASE_SECONDS)?,
        max_clock_error: nanos("clock", DEFAULT_CLOCK_ERROR_SECONDS)?,
    };
    let start = start_ms.checked_mul(1_000_000).ok_or("'starts_ms' is too far ahead")?;
    // A voter's word has to hold for a hearer whose clock is ahead of the voter's by twice the bound, until the next word.
    if terms.lease_duration < 4 * terms.max_clock_error {
        return Err("'lease' is below four times 'clock'".to_string());
    }
    let version = Version { number, start, fallback: ground, settings: settings.clone() };
    if let Some(fault) = version.faults().first() {
        return Err(format!("'agreement': {fault}"));
    }
    let text = |name: &str| all[name].as_str().ok_or(format!("'agreement' needs '{name}'"));
    let listen = address("peer_listen", text("peer_listen")?)?;
    let all = address("peers_all", text("peers_all")?)?;
    let clock_off = told["clock_off_ms"].as_i64().unwrap_or(0).saturating_mul(1_000_000);
    let fresh = told["fresh"].as_bool().unwrap_or(false);
    Ok(SettingsAgreement { version, terms, listen, peers: all, clock_offset: clock_off, fresh })
}

pub use martenramp::settings::flatten;
