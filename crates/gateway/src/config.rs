//! The gateway's start-up configuration, read from a file, with environment variables for what the
//! file leaves out.

use crate::counter;
use crate::document;
use crate::guard::RetrySafety;
use crate::list::{self, ListUpdate};
use crate::services::Services;
use crate::shutdown::longest_deadline;
use agreement::Nanos;
use agreement::config::AgreementConfig;
use agreement::version::{Fallback, Version};
use martenramp::host::Settings;
use martenramp::repeat_group::RepeatScope;
use serde_json::Value;
use std::net::SocketAddr;
use std::rc::Rc;

/// The configuration of a gateway.
pub struct Config {
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Address of the shared counter, if there is one.
    pub counter: Option<SocketAddr>,
    pub seed: u64,
    /// Limit on the file descriptors that the process may hold.
    pub descriptor_limit: usize,
    /// Limit on the memory that the process may take, in bytes.
    pub memory_limit: usize,
    /// The last list of servers that this gateway held.
    pub initial_list: Option<ListUpdate>,
    /// Flattened to path=value pairs for the admission controller; names and units are unchanged.
    pub settings: Settings,
    pub methods: Vec<Method>,
    pub plans: Vec<String>,
    pub services: Rc<Services>,
    /// The largest number of units that one RPC may take, and the number of gateways.
    pub max_units: f64,
    pub gateways: u32,
    /// Present if the settings have a version.
    pub agreement: Option<SettingsAgreement>,
}

/// The version of the settings, and how gateways agree on it.
pub struct SettingsAgreement {
    pub version: Version,
    pub terms: AgreementConfig,
    /// Address on which datagrams from other gateways are received, and address to which this one
    /// sends datagrams for all of them.
    pub listen: SocketAddr,
    pub peers: SocketAddr,
    /// For drills: offset added to this gateway's clock, in nanoseconds.
    pub clock_offset: i64,
    /// Set by the operators when there is no earlier state to recover.
    pub fresh: bool,
}

/// Number of voters if the file names none: the gateways with the lowest numbers.
const DEFAULT_VOTERS: u32 = 7;
/// Default lease of a voter's message, and default bound on each clock's distance from true time,
/// in seconds.
const DEFAULT_LEASE_SECONDS: f64 = 2.0;
const DEFAULT_CLOCK_ERROR_SECONDS: f64 = 0.25;

/// A method's name and how often it may run.
#[derive(Clone)]
pub struct Method {
    pub name: String,
    pub effect: RetrySafety,
}

impl Method {
    /// Reads the method with this number from the settings.
    fn from_settings(name: String, number: usize, settings: &Settings) -> Method {
        let value = |part: &str| settings.get(&format!("classes.{number}.{part}")).map(String::as_str);
        let window = value("window").and_then(|secs| secs.parse().ok()).unwrap_or(0.0);
        let effect = match value("idempotency") {
            Some("free") => RetrySafety::Idempotent,
            Some("guarded") => RetrySafety::Deduplicated {
                window: (f64::max(window, 0.0) * 1e9) as Nanos,
                scope: RepeatScope::from_setting(value("group")),
            },
            _ => RetrySafety::AtMostOnce,
        };
        Method { name, effect }
    }
}

/// Defaults for `limits.sockets`, the usual limit of a process, and `limits.memory_mb`.
const DEFAULT_DESCRIPTOR_LIMIT: usize = 1024;
const DEFAULT_MEMORY_MB: u64 = 1024;

impl Config {
    /// Parses the configuration; `env` looks up values that the file leaves out.
    pub fn parse(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        Config::parse_part(text, env, false)
    }

    /// Like [`Config::parse`], without the list of servers, which only a start uses.
    pub fn parse_again(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        Config::parse_part(text, env, true)
    }

    fn parse_part(
        text: &str,
        env: impl Fn(&str) -> Option<String>,
        without_list: bool,
    ) -> Result<Config, String> {
        let document = document::parse(text, without_list).map_err(|e| format!("not JSON: {e}"))?;
        let text_or_env = |name: &str, variable: &str| {
            let value = document[name].as_str().map(str::to_string).or_else(|| env(variable));
            value.ok_or_else(|| format!("'{name}' is missing"))
        };
        let address = |name: &str, text: &str| {
            text.parse::<SocketAddr>().map_err(|_| format!("'{name}' is not an address: {text:?}"))
        };
        let listen = address("listen", &text_or_env("listen", "LB_LISTEN")?)?;
        let discovery = address("discovery", &text_or_env("discovery", "LB_DISCOVERY")?)?;
        let counter = document["counter"].as_str().map(|text| address("counter", text)).transpose()?;
        let seed = match &document["seed"] {
            Value::String(hex) => u64::from_str_radix(hex, 16)
                .map_err(|_| format!("'seed' is not a hexadecimal number: {hex:?}"))?,
            Value::Number(number) => number.as_u64().ok_or("'seed' is not a 64-bit unsigned integer")?,
            _ => return Err("'seed' is missing".to_string()),
        };
        let Some(nested) = document["settings"].as_object() else {
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
        let services = Services::read(&document["services"], &names("classes"))?;
        let plans = names("tariffs");
        if methods.is_empty() || plans.is_empty() {
            return Err("'settings' has no classes or no tariffs".to_string());
        }
        let descriptor_limit =
            document["limits"]["sockets"].as_u64().map_or(DEFAULT_DESCRIPTOR_LIMIT, |most| most as usize);
        let memory_limit = document["limits"]["memory_mb"].as_u64().unwrap_or(DEFAULT_MEMORY_MB) as usize;
        let memory_limit = memory_limit.saturating_mul(1 << 20);
        let initial_list =
            list::parse(&document[document::LIST_KEY], &services).filter(|list| !list.entries.is_empty());
        let agreement = match &document["agreement"] {
            Value::Null => None,
            section => Some(parse_agreement(section, &document, &settings, &address)?),
        };
        let name = text_or_env("name", "LB_NAME").unwrap_or_else(|_| listen.to_string());
        let mut config = Config {
            name,
            listen,
            discovery,
            counter,
            seed,
            descriptor_limit,
            memory_limit,
            initial_list,
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

    /// Derives the limits on RPCs from the settings.
    fn update_limits(&mut self) {
        self.max_units = self.positive_setting("extra.largest").unwrap_or(f64::MAX).min(counter::MAX_AMOUNT);
        self.gateways = self.positive_setting("balancers").map_or(u32::MAX, |count| count as u32);
    }

    /// Applies other settings from now on. What the process derived from them at its start stays:
    /// limits, time-outs and the names of zones.
    pub fn apply_settings(&mut self, settings: Settings) {
        self.settings = settings;
        self.update_limits();
    }

    /// Returns the longest deadline of all methods.
    pub fn longest_deadline(&self) -> Nanos {
        let deadline = |number| self.positive_setting(&format!("classes.{number}.deadline"));
        let nanos = |secs: f64| (secs * 1e9) as Nanos;
        longest_deadline((0..self.methods.len()).map(|number| deadline(number).map(nanos)))
    }

    /// Returns the shortest deadline of all methods, or [`Config::longest_deadline`] if none has
    /// one.
    pub fn shortest_deadline(&self) -> Nanos {
        let deadlines = (0..self.methods.len())
            .filter_map(|number| self.positive_setting(&format!("classes.{number}.deadline")));
        deadlines.map(|secs| (secs * 1e9) as Nanos).min().unwrap_or_else(|| self.longest_deadline())
    }

    /// Returns a setting that is a finite number above 0.
    pub fn positive_setting(&self, name: &str) -> Option<f64> {
        self.settings.get(name)?.parse().ok().filter(|value: &f64| value.is_finite() && *value > 0.0)
    }

    /// Returns the entries of a setting that is a list of names, such as the zones.
    pub fn setting_list(&self, name: &str) -> Vec<String> {
        let joined = self.settings.get(name).map_or("", String::as_str);
        joined.split(',').filter(|entry| !entry.is_empty()).map(str::to_string).collect()
    }
}

/// Allowed values of a method's idempotency and group. An unknown value is rejected, as a method
/// might otherwise be repeated that must not be.
const IDEMPOTENCY_VALUES: [&str; 3] = ["free", "guarded", "single_shot"];
const GROUP_VALUES: [&str; 3] = ["all", "zone", "cell"];
/// Settings that are times in seconds, global and per method; none may exceed a day.
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
/// Settings of each plan that are amounts, in units or units per second.
const PLAN_AMOUNT_SETTINGS: [&str; 5] = ["perSecond", "depth", "ceilingRate", "hardBurst", "maxOut"];

/// Rejects invalid settings with an error that names the key. This catches a mistake in a file that
/// would get every RPC rejected, or get an RPC repeated that must not run twice. Missing settings
/// take their defaults.
fn validate(settings: &Settings) -> Result<(), String> {
    let check_amount = |key: String, most: f64, what: &str| match settings.get(&key) {
        Some(value) if !value.parse().is_ok_and(|value: f64| (0.0..=most).contains(&value)) => {
            Err(format!("'{key}' is not {what}: {value:?}"))
        }
        _ => Ok(()),
    };
    let check_keyword = |key: String, known: &[&str]| match settings.get(&key) {
        Some(value) if !known.contains(&value.as_str()) => {
            Err(format!("'{key}' is not one of {}: {value:?}", known.join(", ")))
        }
        _ => Ok(()),
    };
    let count =
        |list: &str| settings.get(&format!("{list}.count")).and_then(|count| count.parse().ok()).unwrap_or(0);
    let time = "a time from 0 to 86400 s";
    TIME_SETTINGS.iter().try_for_each(|key| check_amount(key.to_string(), SECONDS_PER_DAY, time))?;
    for number in 0..count("classes") {
        let key = |name: &str| format!("classes.{number}.{name}");
        METHOD_TIME_SETTINGS.iter().try_for_each(|name| check_amount(key(name), SECONDS_PER_DAY, time))?;
        check_keyword(key("idempotency"), &IDEMPOTENCY_VALUES)?;
        check_keyword(key("group"), &GROUP_VALUES)?;
    }
    for number in 0..count("tariffs") {
        let key = |name: &str| format!("tariffs.{number}.{name}");
        PLAN_AMOUNT_SETTINGS
            .iter()
            .try_for_each(|name| check_amount(key(name), counter::MAX_AMOUNT, "an amount from 0 to 1e9"))?;
    }
    Ok(())
}

/// Parses the `agreement` section of the configuration.
fn parse_agreement(
    section: &Value,
    document: &Value,
    settings: &Settings,
    address: &impl Fn(&str, &str) -> Result<SocketAddr, String>,
) -> Result<SettingsAgreement, String> {
    let known_keys = ["version", "starts_ms", "ground", "voters", "lease", "clock", "clock_off_ms", "fresh"];
    let unknown_key =
        section.as_object().into_iter().flatten().find(|(name, _)| !known_keys.contains(&name.as_str()));
    if let Some((name, _)) = unknown_key {
        return Err(format!("'agreement' has an unknown key '{name}'"));
    }
    let number = section["version"].as_u64().ok_or("'agreement' has no integer 'version'")?;
    let starts_ms = match &section["starts_ms"] {
        Value::Null => 0,
        start => start.as_u64().ok_or("'starts_ms' is not a Unix time in whole milliseconds")?,
    };
    let amount = |parent: &Value, name: &str, default: f64| match &parent[name] {
        Value::Null => Ok(default),
        value => {
            value.as_f64().filter(|number| *number > 0.0).ok_or(format!("'{name}' is not a number above 0"))
        }
    };
    let defaults = Fallback::default_for(settings);
    let fallback = Fallback {
        quota_share: amount(&section["ground"], "quota", defaults.quota_share)?,
        max_gateways: amount(&section["ground"], "gateways", defaults.max_gateways)?,
        max_attempts: amount(&section["ground"], "attempts", defaults.max_attempts)?,
    };
    let voters = match &section["voters"] {
        Value::Null => (0..DEFAULT_VOTERS.min(defaults.max_gateways as u32)).collect(),
        Value::Array(list) => {
            let numbers =
                list.iter().map(|number| number.as_u64().and_then(|number| u32::try_from(number).ok()));
            numbers.collect::<Option<_>>().ok_or("'voters' has entries that are not gateway numbers")?
        }
        _ => return Err("'voters' is not an array".to_string()),
    };
    let nanos = |name, default| Ok::<_, String>((amount(section, name, default)?.min(3600.0) * 1e9) as Nanos);
    let terms = AgreementConfig {
        voters,
        lease_duration: nanos("lease", DEFAULT_LEASE_SECONDS)?,
        max_clock_error: nanos("clock", DEFAULT_CLOCK_ERROR_SECONDS)?,
    };
    let start = starts_ms.checked_mul(1_000_000).ok_or("'starts_ms' is too far in the future")?;
    // A voter's message has to stay valid until the next one arrives, also at a receiver whose
    // clock is ahead of the voter's by twice the bound.
    if terms.lease_duration < 4 * terms.max_clock_error {
        return Err("'lease' is less than four times 'clock'".to_string());
    }
    let version = Version { number, start, fallback, settings: settings.clone() };
    if let Some(fault) = version.faults().first() {
        return Err(format!("'agreement': {fault}"));
    }
    let text = |name: &str| document[name].as_str().ok_or(format!("'agreement' requires '{name}'"));
    let listen = address("peer_listen", text("peer_listen")?)?;
    let peers = address("peers_all", text("peers_all")?)?;
    let clock_offset = section["clock_off_ms"].as_i64().unwrap_or(0).saturating_mul(1_000_000);
    let fresh = section["fresh"].as_bool().unwrap_or(false);
    Ok(SettingsAgreement { version, terms, listen, peers, clock_offset, fresh })
}

pub use martenramp::settings::flatten;
