//! Tests of versions: over any chain of admissible versions, the fallback of each earlier one stays consistent with the
//! newest; digests differ exactly if contents differ.

use agreement::rules::{changes, contradicts, objections};
use agreement::version::{Fallback, Version};
use martenramp::host::Settings;

fn settings(quota: f64, fleet: f64) -> Settings {
    let entries = [
        ("balancers", fleet.to_string()),
        ("me", "3".to_string()),
        ("tariffs.count", "1".to_string()),
        ("tariffs.0.name", "team".to_string()),
        ("tariffs.0.perSecond", quota.to_string()),
        ("tariffs.0.depth", (2.0 * quota).to_string()),
        ("tariffs.0.overWorth", "2".to_string()),
        ("classes.count", "1".to_string()),
        ("classes.0.name", "read".to_string()),
        ("classes.0.idempotency", "free".to_string()),
        ("ceilings.attemptsCap", "3".to_string()),
        ("rules.fall", "3".to_string()),
    ];
    entries.into_iter().map(|(name, value)| (name.to_string(), value)).collect()
}

fn version(number: u64, quota: f64, fleet: f64) -> Version {
    let settings = settings(quota, fleet);
    Version { number, start: 0, fallback: Fallback::default_for(&settings), settings }
}

fn number(settings: &Settings, name: &str) -> f64 {
    settings[name].parse().unwrap()
}

#[test]
fn the_fallback_halves_quotas_and_retries_nothing_that_may_have_run() {
    let version = version(1, 100.0, 20.0);
    let fallback = version.fallback_settings();
    assert_eq!(
        (number(&fallback, "tariffs.0.perSecond"), number(&fallback, "tariffs.0.depth")),
        (50.0, 100.0)
    );
    assert!(!fallback.contains_key("tariffs.0.overWorth"));
    assert_eq!(
        (fallback["classes.0.idempotency"].as_str(), number(&fallback, "ceilings.attemptsCap")),
        ("single_shot", 2.0)
    );
}

#[test]
fn over_any_chain_of_admissible_versions_every_earlier_fallback_stays_consistent() {
    let mut rng = fastrand::Rng::with_seed(11);
    let mut long_chains = 0;
    for _ in 0..300 {
        let mut chain = vec![version(1, 100.0, 20.0)];
        chain[0].fallback.max_gateways = 60.0;
        for _ in 0..60 {
            let last = &chain[chain.len() - 1];
            let quota = number(&last.settings, "tariffs.0.perSecond") * (0.3 + 2.0 * rng.f64());
            let fleet = (1.0 + 80.0 * rng.f64()).round();
            let mut next = version(last.number + 1, quota, fleet);
            next.fallback.quota_share = 0.05 + 0.95 * rng.f64();
            next.fallback.max_gateways = (1.0 + 80.0 * rng.f64()).round();
            if objections(last, &next).is_empty() {
                chain.push(next);
            }
        }
        long_chains += usize::from(chain.len() > 2);
        for (at, old) in chain.iter().enumerate() {
            let fallback = old.fallback_settings();
            // A gateway on an old fallback runs next to gateways on any later version or, until the next one starts, on
            // the version before it.
            for (later, new) in chain.iter().enumerate().filter(|(later, _)| *later + 1 >= at) {
                for name in ["tariffs.0.perSecond", "tariffs.0.depth"] {
                    let (low, high) = (number(&fallback, name), number(&new.settings, name));
                    assert!(
                        low <= high * 1.000001,
                        "{name}: {low} on the fallback of version {at}, but {high} on version {later}"
                    );
                }
                assert!(number(&fallback, "balancers") >= number(&new.settings, "balancers"));
            }
        }
    }
    assert!(long_chains > 100, "{long_chains}");
}

#[test]
fn objections_name_the_setting() {
    let old = version(4, 100.0, 20.0);
    let objections_to = |change: &dyn Fn(&mut Version)| {
        let mut new = version(5, 100.0, 20.0);
        change(&mut new);
        objections(&old, &new).iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
    };
    assert_eq!(objections_to(&|_| ()), "");
    assert!(objections_to(&|new| new.number = 4).contains("not above 4"));
    assert!(objections_to(&|new| new.settings = settings(40.0, 20.0)).contains("below the old ground of 50"));
    assert!(objections_to(&|new| new.fallback.quota_share = 0.1).contains("the ground falls from 50 to 10"));
    assert!(
        objections_to(&|new| new.settings = settings(300.0, 20.0))
            .contains("the new ground of 150 is above the old 100")
    );
    assert!(objections_to(&|new| *new = version(5, 100.0, 30.0)).contains("beyond the old ground's 20"));
    assert!(
        objections_to(&|new| drop(new.settings.insert("tariffs.0.name".into(), "x".into())))
            .contains("reordered")
    );
    assert!(
        objections_to(&|new| drop(new.settings.insert("rules.fall".into(), "1".into())))
            .contains("rules.fall can't change")
    );
    assert!(
        objections_to(&|new| drop(new.settings.insert("ceilings.attemptsCap".into(), "1".into())))
            .contains("attempts fall")
    );
    // A new cap contradicts gateways whose fallback has none.
    assert!(
        objections_to(&|new| drop(new.settings.insert("tariffs.0.maxOut".into(), "5".into())))
            .contains("maxOut")
    );
    assert!(objections_to(&|new| new.fallback.quota_share = f64::NAN).contains("share of quotas"));
}

#[test]
fn digests_differ_between_contents_but_not_between_gateways() {
    let base = version(1, 100.0, 20.0);
    let mut on_other_gateway = base.clone();
    on_other_gateway.settings.insert("me".into(), "7".into());
    on_other_gateway.settings.insert("zone".into(), "1".into());
    assert_eq!(base.content_id(), on_other_gateway.content_id());
    let mut rng = fastrand::Rng::with_seed(3);
    let mut seen = vec![base.content_id().digest];
    for _ in 0..500 {
        let mut other = base.clone();
        let names: Vec<String> = {
            let shared = other.settings.keys().filter(|name| *name != "me");
            let mut names: Vec<String> = shared.cloned().collect();
            names.sort();
            names
        };
        let name = names[rng.usize(..names.len())].clone();
        other.settings.insert(name, format!("{}", rng.u64(..)));
        seen.push(other.content_id().digest);
    }
    let mut with_start = base.clone();
    with_start.start = 5;
    let mut with_fallback = base.clone();
    with_fallback.fallback.quota_share = 0.6;
    seen.extend([with_start.content_id().digest, with_fallback.content_id().digest]);
    let count = seen.len();
    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), count);
    // A value that contains separators does not imitate another name.
    let content_with = |name: &str, value: &str| {
        let mut other = base.clone();
        other.settings.insert(name.into(), value.into());
        other.content_id()
    };
    assert_ne!(content_with("a", "b\n1:c=1:d"), content_with("a", "b"));
}

/// Guards against a rename that changes the digested text: gateways of different releases have to compute the same digest.
#[test]
fn the_digested_text_is_the_same_in_all_releases() {
    let mut version = version(7, 100.0, 20.0);
    version.start = 5;
    version.settings = [("me", "3"), ("b", "x"), ("a", "12")]
        .map(|(name, value)| (name.to_string(), value.to_string()))
        .into_iter()
        .collect();
    let text = "7\n5\nGround { quota: 0.5, gateways: 20.0, attempts: 2.0 }\n1:a=2:12\n1:b=1:x\n";
    assert_eq!(version.content_id().digest, xxhash_rust::xxh3::xxh3_128(text.as_bytes()));
}

#[test]
fn changes_mark_settings_that_contradict() {
    let (old, mut new) = (settings(100.0, 20.0), settings(120.0, 20.0));
    new.insert("classes.0.credit".into(), "2".into());
    let marked: Vec<(String, bool)> =
        changes(&old, &new).into_iter().map(|change| (change.name, change.contradicts)).collect();
    let expected = [("classes.0.credit", false), ("tariffs.0.depth", true), ("tariffs.0.perSecond", true)];
    assert_eq!(marked, expected.map(|(name, contradicts)| (name.to_string(), contradicts)));
    assert!(!contradicts("me") && !contradicts("classes.1.onTime") && contradicts("balancers"));
}
