//! Which settings contradict each other between two gateways, what the fallback of a version is, and whether one version
//! may follow another. Settings are flat (`path=value`), as the decision module reads them.

use crate::lease::Content;
use martenramp::host::{Nanos, Settings};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_128;

/// What a gateway acts on that can't confirm its version: bounds within which every successor has to stay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fallback {
    /// Of every quota, ceiling and cap, the share that is used.
    pub quota: f64,
    /// The largest fleet that a successor may tell.
    pub gateways: f64,
    /// The fewest call-outs for an RPC that a successor may allow.
    pub attempts: f64,
}

/// A version of the settings.
#[derive(Clone, Debug)]
pub struct Version {
    pub number: u64,
    /// When it starts to hold, Unix time; 0 is at once.
    pub start: Nanos,
    pub fallback: Fallback,
    pub settings: Settings,
}

/// Settings that each gateway has for itself.
const PER_GATEWAY: [&str; 2] = ["me", "zone"];
/// What a plan lets in; where the last three are 0 or missing there is no bound.
const QUOTAS: [&str; 5] = ["perSecond", "depth", "ceilingRate", "hardBurst", "maxOut"];
const UNBOUNDED_AT_0: usize = 2;

impl Fallback {
    /// The bounds where a file tells none: half of every quota, the fleet as it is, two call-outs.
    pub fn of(settings: &Settings) -> Fallback {
        let attempts = number(settings, "ceilings.attemptsCap", 1.0).min(2.0);
        Fallback { quota: 0.5, gateways: number(settings, "balancers", 1.0), attempts }
    }
}

fn number(settings: &Settings, name: &str, default: f64) -> f64 {
    settings.get(name).and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn count(settings: &Settings, list: &str) -> usize {
    number(settings, &format!("{list}.count"), 0.0) as usize
}

/// A plan's quota; what is not bounded is infinite.
fn quota(settings: &Settings, plan: usize, at: usize) -> f64 {
    let told = number(settings, &format!("tariffs.{plan}.{}", QUOTAS[at]), 0.0);
    if at >= UNBOUNDED_AT_0 && told == 0.0 { f64::INFINITY } else { told }
}

impl Version {
    /// The content by which gateways know that they hold the same: everything but what each has for itself. The text that
    /// the digest is of is shared by all releases, so it never follows a rename.
    pub fn content(&self) -> Content {
        let told: BTreeMap<&String, &String> =
            self.settings.iter().filter(|(name, _)| !PER_GATEWAY.contains(&name.as_str())).collect();
        let Fallback { quota, gateways, attempts } = self.fallback;
        let mut text = format!(
            "{}\n{}\nGround {{ quota: {quota:?}, gateways: {gateways:?}, attempts: {attempts:?} }}\n",
            self.number, self.start
        );
        for (name, value) in told {
            // Lengths first, so that no two contents run together to the same text.
            text += &format!("{}:{name}={}:{value}\n", name.len(), value.len());
        }
        Content { version: self.number, digest: xxh3_128(text.as_bytes()) }
    }

    /// The settings that a gateway acts on while it can't confirm this version.
    pub fn fallback_settings(&self) -> Settings {
        let mut fallback = self.settings.clone();
        let Fallback { quota, gateways, attempts } = self.fallback;
        for plan in 0..count(&self.settings, "tariffs") {
            for name in QUOTAS {
                let name = format!("tariffs.{plan}.{name}");
                let told = number(&self.settings, &name, 0.0);
                if told > 0.0 {
                    fallback.insert(name, (told * quota).to_string());
                }
            }
            fallback.remove(&format!("tariffs.{plan}.overWorth")); // no borrowing
        }
        for class in 0..count(&self.settings, "classes") {
            // Repeated only after proof that nothing ran.
            fallback.insert(format!("classes.{class}.idempotency"), "single_shot".to_string());
        }
        fallback.insert("balancers".to_string(), gateways.to_string());
        let cap = number(&self.settings, "ceilings.attemptsCap", 1.0).min(attempts);
        fallback.insert("ceilings.attemptsCap".to_string(), cap.to_string());
        fallback
    }

    /// What is wrong with this version by itself.
    pub fn faults(&self) -> Vec<String> {
        let Fallback { quota, gateways, attempts } = self.fallback;
        let mut faults = Vec::new();
        if !(quota > 0.0 && quota <= 1.0) {
            faults.push(format!("the ground's share of quotas is {quota}, not above 0 and at most 1"));
        }
        let fleet = number(&self.settings, "balancers", 1.0);
        if !gateways.is_finite() || gateways < fleet {
            faults
                .push(format!("the ground's fleet is {gateways}, below the {fleet} that the version tells"));
        }
        if !attempts.is_finite() || attempts < 1.0 {
            faults.push(format!("the ground allows {attempts} call-outs, below 1"));
        }
        faults
    }
}

/// What differs between two versions, by name: the old value and the new (none where there is none), and whether gateways
/// that act on the one contradict those that act on the other.
pub fn changes(old: &Settings, new: &Settings) -> Vec<(String, Option<String>, Option<String>, bool)> {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let differ = names.into_iter().filter(|name| old.get(*name) != new.get(*name));
    let told =
        |name: &String| (name.clone(), old.get(name).cloned(), new.get(name).cloned(), contradicts(name));
    differ.map(told).collect()
}

/// Whether two gateways contradict each other that have this setting differently.
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

/// Why `new` may not follow `old` while gateways may still hold `old`; empty if it may. Whatever a gateway acts on that
/// missed any number of versions has to stay consistent with the newest one, so fallbacks never give way.
pub fn objections(old: &Version, new: &Version) -> Vec<String> {
    let mut why = new.faults();
    if new.number <= old.number {
        why.push(format!("version {} is not above {}", new.number, old.number));
    }
    for list in ["tariffs", "classes"] {
        let names = |version: &Version| -> Vec<Option<String>> {
            let name = |at| version.settings.get(&format!("{list}.{at}.name")).cloned();
            (0..count(&version.settings, list)).map(name).collect()
        };
        if !names(new).starts_with(&names(old)) {
            why.push(format!("{list} are taken away or reordered; they can only be added behind"));
        }
    }
    for plan in 0..count(&old.settings, "tariffs").min(count(&new.settings, "tariffs")) {
        for (at, name) in QUOTAS.iter().enumerate() {
            let (was, is) = (quota(&old.settings, plan, at), quota(&new.settings, plan, at));
            let (old_fallback, new_fallback) = (was * old.fallback.quota, is * new.fallback.quota);
            let setting = format!("tariffs.{plan}.{name}");
            // Products of the same figures may differ in their last digits.
            let below = |one: f64, two: f64| one < two - 1e-9 * two.abs().min(f64::MAX);
            if below(is, old_fallback) {
                why.push(format!("{setting} of {is} is below the old ground of {old_fallback}"));
            }
            if below(new_fallback, old_fallback) && !below(is, old_fallback) {
                why.push(format!("{setting}: the ground falls from {old_fallback} to {new_fallback}"));
            }
            if below(was, new_fallback) {
                why.push(format!("{setting}: the new ground of {new_fallback} is above the old {was}"));
            }
        }
    }
    let fleet = |version: &Version| number(&version.settings, "balancers", 1.0);
    if fleet(new) > old.fallback.gateways {
        why.push(format!("a fleet of {} is beyond the old ground's {}", fleet(new), old.fallback.gateways));
    }
    if new.fallback.gateways > old.fallback.gateways {
        why.push(format!(
            "the ground's fleet grows from {} to {}",
            old.fallback.gateways, new.fallback.gateways
        ));
    }
    if new.fallback.gateways < fleet(old) {
        why.push(format!(
            "the new ground's fleet of {} is below the old {}",
            new.fallback.gateways,
            fleet(old)
        ));
    }
    let cap = |version: &Version| number(&version.settings, "ceilings.attemptsCap", 1.0);
    if cap(new) < old.fallback.attempts || new.fallback.attempts < old.fallback.attempts {
        why.push(format!("call-outs fall below the old ground's {}", old.fallback.attempts));
    }
    if new.fallback.attempts > cap(old) {
        why.push(format!(
            "the new ground allows {} call-outs, the old version {}",
            new.fallback.attempts,
            cap(old)
        ));
    }
    let rules =
        changes(&old.settings, &new.settings).into_iter().filter(|change| change.0.starts_with("rules."));
    why.extend(rules.map(|change| format!("{} can't change while gateways run", change.0)));
    why
}
