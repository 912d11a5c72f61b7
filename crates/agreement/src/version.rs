//! A version of the settings, its fallback, and the content identifier that gateways compare.

use crate::lease::ContentId;
use martenramp::host::{Nanos, Settings};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_128;

/// Settings that differ between gateways and are not part of the content.
const PER_GATEWAY: [&str; 2] = ["me", "zone"];
/// A plan's quotas. A missing one is 0 if its index is below [`FIRST_UNBOUNDED_AT_0`], and unbounded otherwise.
pub(crate) const QUOTAS: [&str; 5] = ["perSecond", "depth", "ceilingRate", "hardBurst", "maxOut"];
/// From this index in [`QUOTAS`] on, a quota of 0 means unbounded.
const FIRST_UNBOUNDED_AT_0: usize = 2;
/// The fallback's share of quotas if the configuration has none.
const DEFAULT_QUOTA_SHARE: f64 = 0.5;
/// The fallback's limit on attempts if the configuration has none.
const DEFAULT_MAX_ATTEMPTS: f64 = 2.0;

/// What a gateway acts on while it can't confirm its version: bounds that every successor has to respect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fallback {
    /// The share of every quota, ceiling and cap that is used.
    pub quota_share: f64,
    /// The fleet size that is assumed: the largest that a successor may have.
    pub max_gateways: f64,
    /// The most attempts of an RPC: a successor may not allow fewer.
    pub max_attempts: f64,
}

impl Fallback {
    /// The bounds if the configuration has none: half of every quota, the current fleet size, at most two attempts.
    pub fn default_for(settings: &Settings) -> Fallback {
        let max_attempts = attempts_cap(settings).min(DEFAULT_MAX_ATTEMPTS);
        Fallback { quota_share: DEFAULT_QUOTA_SHARE, max_gateways: fleet(settings), max_attempts }
    }
}

/// A version of the settings.
#[derive(Clone, Debug)]
pub struct Version {
    /// The version number; it only increases.
    pub number: u64,
    /// When the version takes effect, Unix time; 0 means at once.
    pub start: Nanos,
    /// What a gateway acts on while it can't confirm the version.
    pub fallback: Fallback,
    /// The settings, as flat `path=value` pairs.
    pub settings: Settings,
}

/// Why a version is invalid by itself.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum VersionFault {
    /// The fallback's share of quotas is out of range.
    #[error("the ground's share of quotas is {0}, but has to be above 0 and at most 1")]
    QuotaShare(f64),
    /// The fallback assumes a smaller fleet than the version has.
    #[error("the ground's fleet of {fallback} gateways is below the version's {fleet}")]
    FleetTooSmall {
        /// The fallback's fleet size.
        fallback: f64,
        /// The version's fleet size.
        fleet: f64,
    },
    /// The fallback allows no attempt.
    #[error("the ground allows {0} attempts, below 1")]
    NoAttempt(f64),
}

impl Version {
    /// The identifier of this version's content: its digest covers everything except the settings that differ between
    /// gateways. Gateways of all releases have to compute the same digest, so the digested text must not change with a
    /// rename.
    pub fn content_id(&self) -> ContentId {
        let shared: BTreeMap<&String, &String> =
            self.settings.iter().filter(|(name, _)| !PER_GATEWAY.contains(&name.as_str())).collect();
        let Fallback { quota_share, max_gateways, max_attempts } = self.fallback;
        let mut text = format!(
            "{}\n{}\nGround {{ quota: {quota_share:?}, gateways: {max_gateways:?}, attempts: {max_attempts:?} }}\n",
            self.number, self.start
        );
        for (name, value) in shared {
            // The lengths keep different contents from producing the same text.
            text += &format!("{}:{name}={}:{value}\n", name.len(), value.len());
        }
        ContentId { version: self.number, digest: xxh3_128(text.as_bytes()) }
    }

    /// The settings that a gateway acts on while it can't confirm this version.
    pub fn fallback_settings(&self) -> Settings {
        let mut settings = self.settings.clone();
        let Fallback { quota_share, max_gateways, max_attempts } = self.fallback;
        for plan in 0..count(&self.settings, "tariffs") {
            for name in QUOTAS {
                let name = format!("tariffs.{plan}.{name}");
                let full = number(&self.settings, &name, 0.0);
                if full > 0.0 {
                    settings.insert(name, (full * quota_share).to_string());
                }
            }
            settings.remove(&format!("tariffs.{plan}.overWorth")); // no borrowing
        }
        for class in 0..count(&self.settings, "classes") {
            // Retried only if the earlier attempt certainly did not run.
            settings.insert(format!("classes.{class}.idempotency"), "single_shot".to_string());
        }
        settings.insert("balancers".to_string(), max_gateways.to_string());
        let cap = attempts_cap(&self.settings).min(max_attempts);
        settings.insert("ceilings.attemptsCap".to_string(), cap.to_string());
        settings
    }

    /// Why this version is invalid by itself; empty if it is valid.
    pub fn faults(&self) -> Vec<VersionFault> {
        let Fallback { quota_share, max_gateways, max_attempts } = self.fallback;
        let fleet = fleet(&self.settings);
        let mut faults = Vec::new();
        if !(quota_share > 0.0 && quota_share <= 1.0) {
            faults.push(VersionFault::QuotaShare(quota_share));
        }
        if !max_gateways.is_finite() || max_gateways < fleet {
            faults.push(VersionFault::FleetTooSmall { fallback: max_gateways, fleet });
        }
        if !max_attempts.is_finite() || max_attempts < 1.0 {
            faults.push(VersionFault::NoAttempt(max_attempts));
        }
        faults
    }
}

fn number(settings: &Settings, name: &str, default: f64) -> f64 {
    settings.get(name).and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// The number of entries in a list of the settings.
pub(crate) fn count(settings: &Settings, list: &str) -> usize {
    number(settings, &format!("{list}.count"), 0.0) as usize
}

/// The fleet's number of gateways.
pub(crate) fn fleet(settings: &Settings) -> f64 {
    number(settings, "balancers", 1.0)
}

/// The most attempts that an RPC may have.
pub(crate) fn attempts_cap(settings: &Settings) -> f64 {
    number(settings, "ceilings.attemptsCap", 1.0)
}

/// A plan's quota, by its index in [`QUOTAS`]; infinite if unbounded.
pub(crate) fn quota(settings: &Settings, plan: usize, index: usize) -> f64 {
    let quota = number(settings, &format!("tariffs.{plan}.{}", QUOTAS[index]), 0.0);
    if index >= FIRST_UNBOUNDED_AT_0 && quota == 0.0 { f64::INFINITY } else { quota }
}
