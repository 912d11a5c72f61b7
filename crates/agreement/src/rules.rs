//! Rules for settings: which ones contradict each other between gateways, and whether one version may follow another.
//!
//! Error messages call the fallback `ground`, after its key in the configuration.

use crate::version::{QUOTAS, Version, VersionFault, attempts_cap, count, fleet, quota};
use martenramp::host::Settings;
use std::collections::BTreeSet;

/// Lists of the settings whose entries are identified by their position.
const ORDERED_LISTS: [&str; 2] = ["tariffs", "classes"];

/// A setting that differs between two versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingChange {
    /// The path of the setting.
    pub name: String,
    /// The value in the older version; `None` if the setting is missing there.
    pub old: Option<String>,
    /// The value in the newer version; `None` if the setting is missing there.
    pub new: Option<String>,
    /// Whether gateways that act on the old value contradict those that act on the new one.
    pub contradicts: bool,
}

/// Why a version may not follow an older one that gateways may still act on.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Objection {
    /// The new version is invalid by itself.
    #[error(transparent)]
    Fault(#[from] VersionFault),
    /// The version number does not increase.
    #[error("version {new} is not above {old}")]
    NotNewer {
        /// The new version's number.
        new: u64,
        /// The old version's number.
        old: u64,
    },
    /// Entries of a list that are identified by their position were removed or reordered.
    #[error("{0} are removed or reordered; entries can only be appended")]
    Reordered(&'static str),
    /// A quota is below what gateways on the old fallback admit.
    #[error("{setting} of {quota} is below the old ground of {fallback}")]
    QuotaBelowFallback {
        /// The quota's path.
        setting: String,
        /// The new quota.
        quota: f64,
        /// The quota under the old fallback.
        fallback: f64,
    },
    /// A quota under the fallback decreases.
    #[error("{setting}: the ground falls from {old} to {new}")]
    FallbackQuotaFalls {
        /// The quota's path.
        setting: String,
        /// The quota under the old fallback.
        old: f64,
        /// The quota under the new fallback.
        new: f64,
    },
    /// Gateways on the new fallback admit more than the old version allows.
    #[error("{setting}: the new ground of {fallback} is above the old {old}")]
    FallbackAboveQuota {
        /// The quota's path.
        setting: String,
        /// The quota under the new fallback.
        fallback: f64,
        /// The old quota.
        old: f64,
    },
    /// The fleet is larger than the old fallback allows.
    #[error("a fleet of {fleet} gateways is beyond the old ground's {fallback}")]
    FleetBeyondFallback {
        /// The new version's fleet size.
        fleet: f64,
        /// The old fallback's fleet size.
        fallback: f64,
    },
    /// The fallback's fleet size increases.
    #[error("the ground's fleet grows from {old} to {new}")]
    FallbackFleetGrows {
        /// The old fallback's fleet size.
        old: f64,
        /// The new fallback's fleet size.
        new: f64,
    },
    /// The fallback's fleet is smaller than the old version's.
    #[error("the new ground's fleet of {fallback} is below the old {fleet}")]
    FallbackFleetTooSmall {
        /// The new fallback's fleet size.
        fallback: f64,
        /// The old version's fleet size.
        fleet: f64,
    },
    /// Fewer attempts are allowed than under the old fallback.
    #[error("attempts fall below the old ground's {0}")]
    AttemptsBelowFallback(f64),
    /// The fallback allows more attempts than the old version.
    #[error("the new ground allows {fallback} attempts, the old version {old}")]
    FallbackAttemptsAboveCap {
        /// The new fallback's limit on attempts.
        fallback: f64,
        /// The old version's limit on attempts.
        old: f64,
    },
    /// A setting that is fixed while gateways run (any under `rules.`) differs.
    #[error("{0} can't change while gateways run")]
    FixedSetting(String),
}

/// The settings that differ between two versions, sorted by name.
pub fn changes(old: &Settings, new: &Settings) -> Vec<SettingChange> {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let differing = names.into_iter().filter(|name| old.get(*name) != new.get(*name));
    let change = |name: &String| SettingChange {
        name: name.clone(),
        old: old.get(name).cloned(),
        new: new.get(name).cloned(),
        contradicts: contradicts(name),
    };
    differing.map(change).collect()
}

/// Whether gateways with different values of this setting contradict each other.
pub fn contradicts(name: &str) -> bool {
    let last = name.rsplit('.').next().unwrap_or(name);
    match name.split('.').next() {
        Some("tariffs") => !matches!(last, "worth" | "price"),
        Some("classes") => matches!(last, "name" | "count" | "idempotency" | "window" | "group"),
        Some("ceilings") => last == "attemptsCap",
        Some("rules") | Some("balancers") => true,
        _ => false,
    }
}

/// Why `new` may not follow `old` while gateways may still act on `old`; empty if it may. A gateway that missed any number
/// of versions acts on an old fallback, which has to stay consistent with the newest version; this is why the guarantees
/// of a fallback can't be weakened by a later version.
pub fn objections(old: &Version, new: &Version) -> Vec<Objection> {
    let mut objections: Vec<Objection> = new.faults().into_iter().map(Objection::Fault).collect();
    if new.number <= old.number {
        objections.push(Objection::NotNewer { new: new.number, old: old.number });
    }
    let is_reordered = |list: &&str| !names(new, list).starts_with(&names(old, list));
    objections.extend(ORDERED_LISTS.into_iter().filter(is_reordered).map(Objection::Reordered));
    objections.extend(quota_objections(old, new));
    objections.extend(fleet_objections(old, new));
    objections.extend(attempts_objections(old, new));
    let rules = changes(&old.settings, &new.settings).into_iter().map(|change| change.name);
    objections.extend(rules.filter(|name| name.starts_with("rules.")).map(Objection::FixedSetting));
    objections
}

/// The names of a list's entries, in order.
fn names(version: &Version, list: &str) -> Vec<Option<String>> {
    let name = |index| version.settings.get(&format!("{list}.{index}.name")).cloned();
    (0..count(&version.settings, list)).map(name).collect()
}

fn quota_objections(old: &Version, new: &Version) -> Vec<Objection> {
    // Tolerates rounding: products of equal factors may differ in their last digits.
    let below = |value: f64, limit: f64| value < limit - 1e-9 * limit.abs().min(f64::MAX);
    let mut objections = Vec::new();
    for plan in 0..count(&old.settings, "tariffs").min(count(&new.settings, "tariffs")) {
        for (index, name) in QUOTAS.iter().enumerate() {
            let setting = format!("tariffs.{plan}.{name}");
            let (old_quota, new_quota) =
                (quota(&old.settings, plan, index), quota(&new.settings, plan, index));
            let old_fallback = old_quota * old.fallback.quota_share;
            let new_fallback = new_quota * new.fallback.quota_share;
            if below(new_quota, old_fallback) {
                let (setting, quota, fallback) = (setting.clone(), new_quota, old_fallback);
                objections.push(Objection::QuotaBelowFallback { setting, quota, fallback });
            } else if below(new_fallback, old_fallback) {
                let (setting, old, new) = (setting.clone(), old_fallback, new_fallback);
                objections.push(Objection::FallbackQuotaFalls { setting, old, new });
            }
            if below(old_quota, new_fallback) {
                let (fallback, old) = (new_fallback, old_quota);
                objections.push(Objection::FallbackAboveQuota { setting, fallback, old });
            }
        }
    }
    objections
}

fn fleet_objections(old: &Version, new: &Version) -> Vec<Objection> {
    let (old_fleet, new_fleet) = (fleet(&old.settings), fleet(&new.settings));
    let (old_fallback, new_fallback) = (old.fallback.max_gateways, new.fallback.max_gateways);
    let mut objections = Vec::new();
    if new_fleet > old_fallback {
        objections.push(Objection::FleetBeyondFallback { fleet: new_fleet, fallback: old_fallback });
    }
    if new_fallback > old_fallback {
        objections.push(Objection::FallbackFleetGrows { old: old_fallback, new: new_fallback });
    }
    if new_fallback < old_fleet {
        objections.push(Objection::FallbackFleetTooSmall { fallback: new_fallback, fleet: old_fleet });
    }
    objections
}

fn attempts_objections(old: &Version, new: &Version) -> Vec<Objection> {
    let (old_cap, new_cap) = (attempts_cap(&old.settings), attempts_cap(&new.settings));
    let (old_fallback, new_fallback) = (old.fallback.max_attempts, new.fallback.max_attempts);
    let mut objections = Vec::new();
    if new_cap < old_fallback || new_fallback < old_fallback {
        objections.push(Objection::AttemptsBelowFallback(old_fallback));
    }
    if new_fallback > old_cap {
        objections.push(Objection::FallbackAttemptsAboveCap { fallback: new_fallback, old: old_cap });
    }
    objections
}
