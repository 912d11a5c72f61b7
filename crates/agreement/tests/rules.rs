//! Which versions may follow: over chains of admissible ones the fallback of any earlier version stays consistent with the
//! newest; digests tell contents apart and nothing else.

use agreement::rules::{changes, contradicts, objections};
use agreement::version::{Fallback, Version};
use martenramp::host::Settings;

fn settings(quota: f64, fleet: f64) -> Settings {
    let told = [
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
    told.into_iter().map(|(name, value)| (name.to_string(), value)).collect()
}

fn version(number: u64, quota: f64, fleet: f64) -> Version {
    let settings = settings(quota, fleet);
    Version { number, start: 0, fallback: Fallback::default_for(&settings), settings }
}

fn of(settings: &Settings, name: &str) -> f64 {
    settings[name].parse().unwrap()
}

#[test]
fn the_fallback_lets_in_no_more_and_repeats_nothing() {
    let one = version(1, 100.0, 20.0);
    let fallback = one.fallback_settings();
    assert_eq!((of(&fallback, "tariffs.0.perSecond"), of(&fallback, "tariffs.0.depth")), (50.0, 100.0));
    assert!(!fallback.contains_key("tariffs.0.overWorth"));
    assert_eq!(
        (fallback["classes.0.idempotency"].as_str(), of(&fallback, "ceilings.attemptsCap")),
        ("single_shot", 2.0)
    );
}

#[test]
fn over_any_chain_of_admissible_versions_every_earlier_fallback_stays_consistent() {
    let mut chance = fastrand::Rng::with_seed(11);
    let mut chains = 0;
    for _ in 0..300 {
        let mut chain = vec![version(1, 100.0, 20.0)];
        chain[0].fallback.max_gateways = 60.0;
        for _ in 0..60 {
            let last = &chain[chain.len() - 1];
            let quota = of(&last.settings, "tariffs.0.perSecond") * (0.3 + 2.0 * chance.f64());
            let fleet = (1.0 + 80.0 * chance.f64()).round();
            let mut next = version(last.number + 1, quota, fleet);
            next.fallback.quota_share = 0.05 + 0.95 * chance.f64();
            next.fallback.max_gateways = (1.0 + 80.0 * chance.f64()).round();
            if objections(last, &next).is_empty() {
                chain.push(next);
            }
        }
        chains += usize::from(chain.len() > 2);
        for (at, old) in chain.iter().enumerate() {
            let fallback = old.fallback_settings();
            // A gateway on an old fallback beside those on any later version, or, before the time of the next, beside the old.
            for (later, new) in chain.iter().enumerate().filter(|(later, _)| *later + 1 >= at) {
                for name in ["tariffs.0.perSecond", "tariffs.0.depth"] {
                    let (low, high) = (of(&fallback, name), of(&new.settings, name));
                    assert!(
                        low <= high * 1.000001,
                        "{name}: fallback {at} of {low} beside version {later} of {high}"
                    );
                }
                assert!(of(&fallback, "balancers") >= of(&new.settings, "balancers"));
            }
        }
    }
    assert!(chains > 100, "{chains}");
}

#[test]
fn what_may_not_follow_is_told_by_name() {
    let old = version(4, 100.0, 20.0);
    let told = |change: &dyn Fn(&mut Version)| {
        let mut new = version(5, 100.0, 20.0);
        change(&mut new);
        objections(&old, &new).iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
    };
    assert_eq!(told(&|_| ()), "");
    assert!(told(&|new| new.number = 4).contains("not above 4"));
    assert!(told(&|new| new.settings = settings(40.0, 20.0)).contains("below the old ground of 50"));
    assert!(told(&|new| new.fallback.quota_share = 0.1).contains("the ground falls from 50 to 10"));
    assert!(
        told(&|new| new.settings = settings(300.0, 20.0))
            .contains("the new ground of 150 is above the old 100")
    );
    assert!(told(&|new| *new = version(5, 100.0, 30.0)).contains("beyond the old ground's 20"));
    assert!(
        told(&|new| drop(new.settings.insert("tariffs.0.name".into(), "x".into()))).contains("reordered")
    );
    assert!(
        told(&|new| drop(new.settings.insert("rules.fall".into(), "1".into())))
            .contains("rules.fall can't change")
    );
    assert!(
        told(&|new| drop(new.settings.insert("ceilings.attemptsCap".into(), "1".into())))
            .contains("call-outs fall")
    );
    // A cap where there was none contradicts those who have none on their fallback.
    assert!(told(&|new| drop(new.settings.insert("tariffs.0.maxOut".into(), "5".into()))).contains("maxOut"));
    assert!(told(&|new| new.fallback.quota_share = f64::NAN).contains("share of quotas"));
}

#[test]
fn digests_tell_contents_apart_but_not_gateways() {
    let one = version(1, 100.0, 20.0);
    let mut own = one.clone();
    own.settings.insert("me".into(), "7".into());
    own.settings.insert("zone".into(), "1".into());
    assert_eq!(one.content_id(), own.content_id());
    let mut chance = fastrand::Rng::with_seed(3);
    let mut seen = vec![one.content_id().digest];
    for _ in 0..500 {
        let mut other = one.clone();
        let names: Vec<String> = {
            let told = other.settings.keys().filter(|name| *name != "me");
            let mut names: Vec<String> = told.cloned().collect();
            names.sort();
            names
        };
        let name = names[chance.usize(..names.len())].clone();
        other.settings.insert(name, format!("{}", chance.u64(..)));
        seen.push(other.content_id().digest);
    }
    let mut started = one.clone();
    started.start = 5;
    let mut bounded = one.clone();
    bounded.fallback.quota_share = 0.6;
    seen.extend([started.content_id().digest, bounded.content_id().digest]);
    let count = seen.len();
    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), count);
    // Names and values don't run into each other.
    let put = |name: &str, value: &str| {
        let mut other = one.clone();
        other.settings.insert(name.into(), value.into());
        other.content_id()
    };
    assert_ne!(put("a", "b\n1:c=1:d"), put("a", "b"));
}

/// Gateways of different releases have to compute the same digest of the same content.
#[test]
fn the_digest_is_of_a_text_that_releases_share() {
    let mut one = version(7, 100.0, 20.0);
    one.start = 5;
    one.settings = [("me", "3"), ("b", "x"), ("a", "12")]
        .map(|(name, value)| (name.to_string(), value.to_string()))
        .into_iter()
        .collect();
    let text = "7\n5\nGround { quota: 0.5, gateways: 20.0, attempts: 2.0 }\n1:a=2:12\n1:b=1:x\n";
    assert_eq!(one.content_id().digest, xxhash_rust::xxh3::xxh3_128(text.as_bytes()));
}

#[test]
fn changes_say_what_contradicts() {
    let (old, mut new) = (settings(100.0, 20.0), settings(120.0, 20.0));
    new.insert("classes.0.credit".into(), "2".into());
    let told: Vec<(String, bool)> =
        changes(&old, &new).into_iter().map(|change| (change.name, change.contradicts)).collect();
    let want = [("classes.0.credit", false), ("tariffs.0.depth", true), ("tariffs.0.perSecond", true)];
    assert_eq!(told, want.map(|(name, contradicts)| (name.to_string(), contradicts)));
    assert!(!contradicts("me") && !contradicts("classes.1.onTime") && contradicts("balancers"));
}
