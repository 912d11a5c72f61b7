//! A version of the settings, its fallback, and the content by which gateways know that they hold the same.

use crate::lease::ContentId;
use martenramp::host::{Nanos, Settings};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_128;

/// Settings that each gateway has for itself.
const PER_GATEWAY: [&str; 2] = ["me", "zone"];
/// What a plan lets in; the first ones are 0 where they are missing, the others unbounded.
pub(crate) const QUOTAS: [&str; 5] = ["perSecond", "depth", "ceilingRate", "hardBurst", "maxOut"];
/// From this one on a quota of 0 is no bound.
const UNBOUNDED_AT_0: usize = 2;
/// The share of quotas of a fallback where a file tells none.
const USUAL_QUOTA_SHARE: f64 = 0.5;
/// The attempts of a fallback where a file tells none.
const USUAL_ATTEMPTS: f64 = 2.0;

/// What a gateway acts on that can't confirm its version: bounds within which every successor has to stay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fallback {
    /// Of every quota, ceiling and cap, the share that is used.
    pub quota_share: f64,
    /// The largest fleet that a successor may tell.
    pub max_gateways: f64,
    /// The fewest attempts of an RPC that a successor may allow.
    pub max_attempts: f64,
}

impl Fallback {
    /// The bounds where a file tells none: half of every quota, the fleet as it is, two attempts.
    pub fn default_for(settings: &Settings) -> Fallback {
        let max_attempts = attempts_cap(settings).min(USUAL_ATTEMPTS);
        Fallback { quota_share: USUAL_QUOTA_SHARE, max_gateways: fleet(settings), max_attempts }
    }
}

/// A version of the settings.
#[derive(Clone, Debug)]
pub struct Version {
    /// Only rises from one version to the next.
    pub number: u64,
    /// When it starts to hold, Unix time; 0 is at once.
    pub start: Nanos,
    /// What a gateway acts on that can't confirm it.
    pub fallback: Fallback,
    /// The settings, flat (`path=value`).
    pub settings: Settings,
}

/// What is wrong with a version by itself.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum VersionFault {
    /// The share of quotas is no share.
    #[error("the ground's share of quotas is {0}, not above 0 and at most 1")]
    QuotaShare(f64),
    /// The fallback is of a smaller fleet than the version.
    #[error("the ground's fleet is {fallback}, below the {fleet} that the version tells")]
    FleetTooSmall {
        /// The fallback's fleet.
        fallback: f64,
        /// The version's fleet.
        fleet: f64,
    },
    /// The fallback allows no attempt.
    #[error("the ground allows {0} call-outs, below 1")]
    NoAttempt(f64),
}

impl Version {
    /// The content by which gateways know that they hold the same: everything but what each has for itself. The text that
    /// the digest is of is shared by all releases, so it never follows a rename.
    pub fn content_id(&self) -> ContentId {
        let shared: BTreeMap<&String, &String> =
            self.settings.iter().filter(|(name, _)| !PER_GATEWAY.contains(&name.as_str())).collect();
        let Fallback { quota_share, max_gateways, max_attempts } = self.fallback;
        let mut text = format!(
            "{}\n{}\nGround {{ quota: {quota_share:?}, gateways: {max_gateways:?}, attempts: {max_attempts:?} }}\n",
            self.number, self.start
        );
        for (name, value) in shared {
            // Lengths first, so that no two contents run together to the same text.
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
            // Repeated only after proof that nothing ran.
            settings.insert(format!("classes.{class}.idempotency"), "single_shot".to_string());
        }
        settings.insert("balancers".to_string(), max_gateways.to_string());
        let cap = attempts_cap(&self.settings).min(max_attempts);
        settings.insert("ceilings.attemptsCap".to_string(), cap.to_string());
        settings
    }

    /// What is wrong with this version by itself.
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

/// How many entries a list of the settings has.
pub(crate) fn count(settings: &Settings, list: &str) -> usize {
    number(settings, &format!("{list}.count"), 0.0) as usize
}

/// How many gateways the fleet has.
pub(crate) fn fleet(settings: &Settings) -> f64 {
    number(settings, "balancers", 1.0)
}

/// How many attempts an RPC may have.
pub(crate) fn attempts_cap(settings: &Settings) -> f64 {
    number(settings, "ceilings.attemptsCap", 1.0)
}

/// A plan's quota, by its place in [`QUOTAS`]; what is not bounded is infinite.
pub(crate) fn quota(settings: &Settings, plan: usize, at: usize) -> f64 {
    let quota = number(settings, &format!("tariffs.{plan}.{}", QUOTAS[at]), 0.0);
    if at >= UNBOUNDED_AT_0 && quota == 0.0 { f64::INFINITY } else { quota }
}
