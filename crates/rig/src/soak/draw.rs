//! Scenarios drawn by a seed: settings, load and a dozen faults at random times, which overlap.

use crate::scenario::{Fault, LinkEffect, Scenario};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How large and long a run is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Gateways, each a process.
    pub gateways: usize,
    /// Stand-in servers.
    pub servers: usize,
    /// Seconds of load.
    pub seconds: f64,
    /// How many faults are drawn.
    pub faults: usize,
}

/// The kinds of faults that are drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// SIGTERM, SIGKILL in its time, a new process.
    Restart,
    /// SIGKILL and a new process.
    Kill,
    /// SIGHUP.
    Reload,
    /// The process stands still for up to 0.15 s.
    Pause,
    /// Servers take RPCs and say nothing.
    Silent,
    /// Servers are several times slower.
    Slow,
    /// Servers answer 500 at once.
    FailsFast,
    /// Servers drain and are replaced.
    Replace,
    /// A zone goes at once and comes back cold.
    ZoneDown,
    /// Discovery can't be reached, or tells late.
    Discovery,
    /// The counter is down, silent or empty.
    Counter,
    /// More load for a while.
    Burst,
    /// Connections between gateways and servers are cut, silent, slow or reset.
    Links,
    /// SIGHUP, SIGTERM, SIGTERM and SIGHUP in series, several gateways at once.
    Signals,
    /// Silent connections.
    Crowd,
    /// Processes have a part of a core.
    Throttle,
    /// The list changes many times a second.
    Flap,
}

impl FaultKind {
    /// All of them.
    pub const ALL: [FaultKind; 17] = [
        FaultKind::Restart,
        FaultKind::Kill,
        FaultKind::Reload,
        FaultKind::Pause,
        FaultKind::Silent,
        FaultKind::Slow,
        FaultKind::FailsFast,
        FaultKind::Replace,
        FaultKind::ZoneDown,
        FaultKind::Discovery,
        FaultKind::Counter,
        FaultKind::Burst,
        FaultKind::Links,
        FaultKind::Signals,
        FaultKind::Crowd,
        FaultKind::Throttle,
        FaultKind::Flap,
    ];

    /// The kind of this name.
    pub fn parse(name: &str) -> Result<FaultKind, String> {
        let known = FaultKind::ALL.iter().find(|kind| format!("{kind:?}").eq_ignore_ascii_case(name));
        known.copied().ok_or_else(|| format!("no kind of fault named '{name}'"))
    }
}

/// The zones of every drawn fleet.
const ZONES: [&str; 2] = ["a", "b"];
/// Servers that hang through a restart begin so long before it, and hang so long, seconds.
const HANG_BEFORE: f64 = 0.3;
const HANG_THROUGH: f64 = 8.0;
/// What a process may be held up for, seconds.
const PAUSE_MOST: f64 = 0.15;
/// Signals in series come so far apart at most, seconds.
const SIGNALS_APART: f64 = 0.4;
/// The list changes once in so long at most, seconds.
const FLAP_LEAST: f64 = 0.01;
/// The part of a core that a throttled process has at least.
const THROTTLE_LEAST: f64 = 0.1;
/// Silent connections a second to each gateway, at most.
const CROWD_MOST: f64 = 200.0;
/// In some runs clients keep each gateway busy with so many RPCs a second, and silent connections crowd it throughout.
const BUSY_SHARE: f64 = 0.3;
const BUSY_RATE: std::ops::Range<f64> = 40.0..120.0;
const BUSY_SOCKETS: [u32; 3] = [80, 96, 128];
const BUSY_CROWD: f64 = 250.0;
/// How many descriptors gateways may be told to hold, and how long bodies may be, bytes.
const SOCKETS: [u32; 4] = [96, 128, 256, 1024];
const BODIES: [usize; 4] = [2, 2, 2_000, 60_000];

/// The scenario of a seed. A kind that is left out leaves the other draws as they are.
pub fn scenario(seed: u64, size: Size, without: &[FaultKind]) -> Result<Scenario, String> {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let text = settings(&mut chance, seed, size);
    let mut scenario = Scenario::from_toml(&text)?;
    crowd_throughout(&mut scenario, size, without, &mut chance);
    for _ in 0..size.faults {
        let kind = draw_kind(&mut chance);
        let drawn = faults(kind, size, &mut chance);
        if !without.contains(&kind) {
            scenario.faults.extend(drawn);
        }
    }
    Ok(scenario)
}

/// Makes some runs such that room has to be made while answers are under way.
fn crowd_throughout(scenario: &mut Scenario, size: Size, without: &[FaultKind], chance: &mut ChaCha8Rng) {
    let busy = chance.random_bool(BUSY_SHARE);
    let rate = chance.random_range(BUSY_RATE);
    let sockets = BUSY_SOCKETS.choose(chance).copied().unwrap_or(BUSY_SOCKETS[0]);
    if busy && !without.contains(&FaultKind::Crowd) {
        (scenario.load.rate, scenario.sockets) = (rate, sockets);
        scenario.faults.push(Fault::Crowd { at: 0.0, seconds: size.seconds, rate: BUSY_CROWD });
    }
}

/// Restarts are drawn as often as all others together: what comes with them is what they are to be tried under.
fn draw_kind(chance: &mut ChaCha8Rng) -> FaultKind {
    if chance.random_bool(0.4) {
        return FaultKind::Restart;
    }
    FaultKind::ALL.choose(chance).copied().unwrap_or(FaultKind::Restart)
}

fn settings(chance: &mut ChaCha8Rng, seed: u64, size: Size) -> String {
    let longest = [0.2, 0.5, 1.0, 2.5, 5.0, 6.0].choose(chance).copied().unwrap_or(2.5);
    let deadline = |share: f64| (longest * share).max(0.2);
    let service = chance.random_range(5.0..60.0_f64).min(longest * 100.0);
    let counter = chance.random_bool(0.7);
    let (leave, early, pieces) =
        (chance.random_range(0.0..0.1), chance.random_range(0.0..0.5), chance.random_range(0.0..0.2));
    let sockets = SOCKETS.choose(chance).copied().unwrap_or(SOCKETS[0]);
    let body = BODIES.choose(chance).copied().unwrap_or(BODIES[0]);
    let (slow, fresh) = (chance.random_range(0.0..0.2), chance.random_range(0.0..0.3));
    format!(
        r#"
name = "soak-{seed}"
seed = {seed}
warm_seconds = 1.0
seconds = {seconds}
gateways = {gateways}
zones = ["a", "b"]
sockets = {sockets}
[settings]
membershipMode = "push"
classes = [
  {{ name = "read", credit = 1.0, onTime = {on_time}, deadline = {longest}, idempotency = "free" }},
  {{ name = "submit", credit = 3.0, onTime = {on_time}, deadline = {middle}, idempotency = "guarded", group = "all", window = {window} }},
  {{ name = "verify", credit = 3.0, onTime = {on_time}, deadline = {short}, idempotency = "single_shot" }},
]
tariffs = [{{ name = "team", perSecond = 200.0, depth = 200.0, beyondCosts = 1.0 }}]
[settings.ceilings]
attemptsCap = {attempts}
connIdle = {idle}
dialTimeout = 0.25
retryAfter = true
maxRetryAfter = 1.0
[settings.rules]
coldFrom = 0.2
warmWithin = 5.0
fallMultiple = 2.5
fall = 3.0
stopSendingWithin = 2.0
[settings.extra]
hasCounter = {counter}
countWait = 0.05
largest = 1.0
[load]
rate = {rate}
customers = 100
skew = 1.0
width = 4
plan = "team"
leave = {leave}
early = {early}
pieces = {pieces}
slow = {slow}
fresh = {fresh}
methods = [{{ name = "read", share = 0.4 }}, {{ name = "submit", share = 0.3 }}, {{ name = "verify", share = 0.3 }}]
[[servers]]
count = {servers}
cores = 4
queue = 64
connections = 256
service_ms = {service}
spread = 0.5
cold_share = 0.2
cold_seconds = 5.0
body_bytes = {body}
"#,
        seconds = size.seconds,
        gateways = size.gateways,
        servers = size.servers,
        on_time = longest * 0.5,
        middle = deadline(0.8),
        short = deadline(0.5),
        window = chance.random_range(0.5..5.0),
        attempts = chance.random_range(1..5),
        idle = chance.random_range(2.0..15.0),
        rate = chance.random_range(2.0..8.0),
    )
}

/// The faults of one draw. All draws are made whatever the kind, so that each fault's do not hang on the others'.
fn faults(kind: FaultKind, size: Size, chance: &mut ChaCha8Rng) -> Vec<Fault> {
    let at = chance.random_range(0.0..size.seconds * 0.8);
    let seconds = chance.random_range(0.5..(size.seconds * 0.4).max(1.0));
    let share = chance.random_range(0.1..0.6);
    let part: f64 = chance.random_range(0.0..1.0);
    let zone = ZONES.choose(chance).copied().unwrap_or(ZONES[0]).to_string();
    match kind {
        // One after another, as a fleet is rolled; half of the time servers hang through it.
        FaultKind::Restart => {
            let hang = Fault::Silent { at: (at - HANG_BEFORE).max(0.0), share, seconds: HANG_THROUGH };
            let groups = 1 + (part * 3.0) as usize;
            let group = |nth: usize| Fault::Restart {
                at: (at + nth as f64).min(size.seconds),
                share: share / groups as f64,
                back_after: 0.2,
            };
            (0..groups).map(group).chain((part < 0.5).then_some(hang)).collect()
        }
        FaultKind::Kill => vec![Fault::Kill { at, share: share * 0.5, back_after: Some(0.3) }],
        FaultKind::Reload => vec![Fault::Reload { at, share }],
        FaultKind::Pause => vec![Fault::Pause { at, share, seconds: part * PAUSE_MOST }],
        FaultKind::Silent => vec![Fault::Silent { at, share, seconds }],
        FaultKind::Slow => vec![Fault::Slow { at, share, factor: 2.0 + 20.0 * part, seconds }],
        FaultKind::FailsFast => vec![Fault::FailsFast { at, share, seconds }],
        FaultKind::Replace => vec![Fault::Replace { at, share, seconds, drain: 2.5 + part }],
        FaultKind::ZoneDown => {
            let told_after = (part < 0.5).then_some(seconds * part);
            vec![Fault::ZoneDown { at, zone, seconds, told_after }]
        }
        FaultKind::Discovery if part < 0.5 => vec![Fault::DiscoveryDown { at, share, seconds }],
        FaultKind::Discovery => vec![Fault::ListLate { at, share, seconds, late: part }],
        FaultKind::Counter if part < 0.4 => vec![Fault::CounterStall { at, seconds }],
        FaultKind::Counter if part < 0.8 => vec![Fault::CounterDown { at, seconds }],
        FaultKind::Counter => vec![Fault::CounterEmpty { at }],
        FaultKind::Signals => {
            let apart = part * SIGNALS_APART;
            vec![Fault::SignalSeries { at, share, apart, back_after: 0.2 }]
        }
        FaultKind::Crowd => vec![Fault::Crowd { at, seconds, rate: part * CROWD_MOST }],
        FaultKind::Throttle => {
            vec![Fault::Throttle { at, share, seconds, core: THROTTLE_LEAST + part * 0.5 }]
        }
        FaultKind::Flap => vec![Fault::Flap { at, seconds, every: FLAP_LEAST + part * 0.2 }],
        FaultKind::Burst => vec![Fault::Burst { at, factor: 1.0 + 3.0 * part, seconds }],
        FaultKind::Links => {
            let wire = LinkEffect {
                cut_there: part < 0.2,
                cut_back: (0.2..0.4).contains(&part),
                delay_ms: if part > 0.8 { 80.0 * part } else { 0.0 },
                reset: (0.4..0.6).contains(&part),
                silent: (0.6..0.8).contains(&part),
                ..LinkEffect::default()
            };
            let to = format!("servers:0-{}", (size.servers / 3).max(1) - 1);
            vec![Fault::Link { at, seconds, from: format!("zone:{zone}"), to, wire }]
        }
    }
}
