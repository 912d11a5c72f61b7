//! Generates a random scenario from a seed: settings, load, and overlapping faults at random times.

use crate::scenario::{Fault, LinkEffect, Scenario};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The size and duration of a run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// The number of gateway processes.
    pub gateways: usize,
    /// The number of stand-in servers.
    pub servers: usize,
    /// The duration of the load, seconds.
    pub seconds: f64,
    /// The number of faults to draw.
    pub faults: usize,
}

/// The kinds of faults to draw from. The command line and the reports use the variants' `Debug` names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Gateways get SIGTERM, then SIGKILL after the shutdown time, and are started again.
    Restart,
    /// Gateways get SIGKILL and are started again.
    Kill,
    /// Gateways get SIGHUP and reload their configuration.
    Reload,
    /// Gateways are stopped (SIGSTOP) for up to 0.15 s.
    Pause,
    /// Servers accept RPCs and send nothing.
    Silent,
    /// Servers become several times slower.
    Slow,
    /// Servers answer 500 immediately.
    FailsFast,
    /// Servers are drained and replaced.
    Replace,
    /// All servers of a zone fail at once and return cold.
    ZoneDown,
    /// Discovery is unreachable, or its changes arrive late.
    Discovery,
    /// The counter is down, stalled or replaced by an empty one.
    Counter,
    /// The load rises for a while.
    Burst,
    /// Connections between gateways and servers are cut, silent, delayed or reset.
    Links,
    /// Several gateways at once get a series of SIGHUP, SIGTERM, SIGTERM and SIGHUP.
    Signals,
    /// Clients open connections and send nothing on them.
    Crowd,
    /// Gateways get only a share of a core.
    Throttle,
    /// The server list changes many times a second.
    Flap,
}

impl FaultKind {
    /// All kinds.
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

    /// Parses the name of a kind, ignoring case.
    pub fn parse(name: &str) -> Result<FaultKind, String> {
        let found = FaultKind::ALL.iter().find(|kind| format!("{kind:?}").eq_ignore_ascii_case(name));
        found.copied().ok_or_else(|| format!("unknown kind of fault '{name}'"))
    }
}

/// The stream of the random numbers for groups and late data, and that for what many servers bring.
const GROUPS_AND_LATE_DATA_STREAM: u64 = 1;
const MANY_SERVERS_STREAM: u64 = 2;
/// From this number of servers on, most of them are replaced, gateways have a small share of a core, and more RPCs are sent.
const MANY_SERVERS: usize = 800;
/// Six in ten servers are replaced within 7 s.
const REPLACED_SHARE: f64 = 0.6;
const REPLACEMENT_SECONDS: f64 = 7.0;
/// The size of the fleet that gateways are told of in half of these runs, so that each uses a part of the servers only.
const LARGE_FLEET: usize = 900;
/// The share of the gateways with a small share of a core, and that share.
const STARVED_SHARE: f64 = 0.4;
const STARVED_CORE: std::ops::Range<f64> = 0.05..0.2;
/// RPCs a second for each gateway in these runs.
const MANY_SERVERS_RPC_RATE: std::ops::Range<f64> = 30.0..60.0;
/// The largest number of cells, in the fleet or in each zone.
const MAX_CELLS: usize = 4;
/// Which servers recognize a repeat.
const GROUPS: [&str; 3] = ["all", "zone", "cell"];
/// The shares of answers that are followed by a second copy; noise follows half as many.
const LATE_DATA_SHARES: [f64; 4] = [0.0, 0.01, 0.05, 0.5];
/// The longest lateness of such data, milliseconds: "some milliseconds".
const LATENESS_MS: std::ops::Range<f64> = 0.5..10.0;
/// The one-way delay of links between halls, milliseconds.
const LINK_MS: std::ops::Range<f64> = 0.0..1.3;
/// The zones of every drawn fleet.
const ZONES: [&str; 2] = ["a", "b"];
/// Servers that are silent around a restart fall silent this many seconds before it.
const SILENCE_LEAD_SECONDS: f64 = 0.3;
/// How long servers stay silent around a restart.
const SILENCE_SECONDS: f64 = 8.0;
/// The longest pause of a process.
const MAX_PAUSE_SECONDS: f64 = 0.15;
/// The longest time between two signals of a series.
const MAX_SIGNAL_INTERVAL_SECONDS: f64 = 0.4;
/// The shortest time between two changes of a flapping list.
const MIN_FLAP_INTERVAL_SECONDS: f64 = 0.01;
/// The smallest share of a core that a throttled process gets.
const MIN_CORE_SHARE: f64 = 0.1;
/// The highest rate of silent connections, per gateway and second.
const MAX_SILENT_CONNECTION_RATE: f64 = 200.0;
/// The share of crowded runs: busy gateways with few descriptors, and silent connections throughout the run.
const CROWDED_RUN_SHARE: f64 = 0.3;
/// RPCs a second for each gateway in a crowded run.
const CROWDED_RPC_RATE: std::ops::Range<f64> = 40.0..120.0;
/// The descriptor limits of gateways in a crowded run.
const CROWDED_SOCKET_LIMITS: [u32; 3] = [80, 96, 128];
/// Silent connections a second to each gateway in a crowded run.
const CROWDED_CONNECTION_RATE: f64 = 250.0;
/// The descriptor limits of gateways.
const SOCKET_LIMITS: [u32; 4] = [96, 128, 256, 1024];
/// The number of gateways that receive a customer's RPCs, in fleets that have that many.
const MAX_CUSTOMER_WIDTH: usize = 4;
/// The body sizes of answers.
const BODY_BYTES: [usize; 4] = [2, 2, 2_000, 60_000];

/// Draws the scenario of a seed. Faults of the kinds in `without` are left out; all other draws stay the same.
pub fn scenario(seed: u64, size: Size, without: &[FaultKind]) -> Result<Scenario, String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let text = scenario_toml(&mut rng, seed, size);
    let mut scenario = Scenario::from_toml(&text)?;
    draw_groups_and_late_data(&mut scenario, seed);
    crowd_some_runs(&mut scenario, size, without, &mut rng);
    if size.servers >= MANY_SERVERS {
        draw_many_servers(&mut scenario, size, without, seed);
    }
    for _ in 0..size.faults {
        let kind = draw_kind(&mut rng);
        let drawn = draw_faults(kind, size, &mut rng);
        if !without.contains(&kind) {
            scenario.faults.extend(drawn);
        }
    }
    Ok(scenario)
}

/// Draws the cells, which servers recognize a repeat, and what servers send behind their answers. The draws have a stream of
/// their own, so that all others stay the same.
fn draw_groups_and_late_data(scenario: &mut Scenario, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(GROUPS_AND_LATE_DATA_STREAM);
    (scenario.cells, scenario.cells_span_zones) = (rng.random_range(1..=MAX_CELLS), rng.random_bool(0.5));
    let group = GROUPS.choose(&mut rng).copied().unwrap_or(GROUPS[0]);
    let classes = scenario.settings.get_mut("classes").and_then(toml::Value::as_array_mut);
    let tables = classes.into_iter().flatten().filter_map(toml::Value::as_table_mut);
    tables.filter(|class| class.contains_key("group")).for_each(|class| {
        class.insert("group".to_string(), group.into());
    });
    let mut share = || LATE_DATA_SHARES.choose(&mut rng).copied().unwrap_or(LATE_DATA_SHARES[0]);
    let (copies, noise) = (share(), share() / 2.0);
    let (late_ms, link_ms) = (rng.random_range(LATENESS_MS), rng.random_range(LINK_MS));
    for servers in &mut scenario.servers {
        (servers.late_copies, servers.late_noise) = (copies, noise);
        (servers.late_ms, servers.link_ms) = (late_ms, link_ms);
    }
}

/// Draws what many servers bring. The draws have a stream of their own, so that the same seed with fewer servers differs in
/// nothing else.
fn draw_many_servers(scenario: &mut Scenario, size: Size, without: &[FaultKind], seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(MANY_SERVERS_STREAM);
    scenario.told_gateways = rng.random_bool(0.5).then_some(LARGE_FLEET);
    scenario.load.rate = scenario.load.rate.max(rng.random_range(MANY_SERVERS_RPC_RATE));
    let seconds = REPLACEMENT_SECONDS.min(size.seconds * 0.6);
    let at = rng.random_range(0.0..(size.seconds - seconds).max(1.0));
    let (drain, core) = (rng.random_range(2.5..3.5), rng.random_range(STARVED_CORE));
    if !without.contains(&FaultKind::Replace) {
        scenario.faults.push(Fault::Replace { at, share: REPLACED_SHARE, seconds, drain });
    }
    if !without.contains(&FaultKind::Throttle) {
        let seconds = size.seconds;
        scenario.faults.push(Fault::Throttle { at: 0.0, share: STARVED_SHARE, seconds, core });
    }
}

/// Makes a share of the runs crowded, so that gateways have to close connections to make room while answers are in flight.
fn crowd_some_runs(scenario: &mut Scenario, size: Size, without: &[FaultKind], rng: &mut ChaCha8Rng) {
    let crowded = rng.random_bool(CROWDED_RUN_SHARE);
    let rate = rng.random_range(CROWDED_RPC_RATE);
    let sockets = CROWDED_SOCKET_LIMITS.choose(rng).copied().unwrap_or(CROWDED_SOCKET_LIMITS[0]);
    if crowded && !without.contains(&FaultKind::Crowd) {
        (scenario.load.rate, scenario.sockets) = (rate, sockets);
        scenario.faults.push(Fault::Crowd { at: 0.0, seconds: size.seconds, rate: CROWDED_CONNECTION_RATE });
    }
}

/// Draws a kind of fault. Restarts come up nearly as often as all other kinds together, since the other faults serve to test
/// gateways under restart.
fn draw_kind(rng: &mut ChaCha8Rng) -> FaultKind {
    if rng.random_bool(0.4) {
        return FaultKind::Restart;
    }
    FaultKind::ALL.choose(rng).copied().unwrap_or(FaultKind::Restart)
}

/// The scenario as TOML, without faults.
fn scenario_toml(rng: &mut ChaCha8Rng, seed: u64, size: Size) -> String {
    let longest = [0.2, 0.5, 1.0, 2.5, 5.0, 6.0].choose(rng).copied().unwrap_or(2.5);
    let deadline_share = |share: f64| (longest * share).max(0.2);
    let service = rng.random_range(5.0..60.0_f64).min(longest * 100.0);
    let counter = rng.random_bool(0.7);
    let (leave, early, pieces) =
        (rng.random_range(0.0..0.1), rng.random_range(0.0..0.5), rng.random_range(0.0..0.2));
    let sockets = SOCKET_LIMITS.choose(rng).copied().unwrap_or(SOCKET_LIMITS[0]);
    let body = BODY_BYTES.choose(rng).copied().unwrap_or(BODY_BYTES[0]);
    let (slow, fresh) = (rng.random_range(0.0..0.2), rng.random_range(0.0..0.3));
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
width = {width}
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
        width = size.gateways.min(MAX_CUSTOMER_WIDTH),
        servers = size.servers,
        on_time = longest * 0.5,
        middle = deadline_share(0.8),
        short = deadline_share(0.5),
        window = rng.random_range(0.5..5.0),
        attempts = rng.random_range(1..5),
        idle = rng.random_range(2.0..15.0),
        rate = rng.random_range(2.0..8.0),
    )
}

/// Draws the faults of one kind. The draws are the same for every kind, so that those of later faults don't depend on it.
fn draw_faults(kind: FaultKind, size: Size, rng: &mut ChaCha8Rng) -> Vec<Fault> {
    let at = rng.random_range(0.0..size.seconds * 0.8);
    let seconds = rng.random_range(0.5..(size.seconds * 0.4).max(1.0));
    let share = rng.random_range(0.1..0.6);
    let fraction: f64 = rng.random_range(0.0..1.0);
    let zone = ZONES.choose(rng).copied().unwrap_or(ZONES[0]).to_string();
    match kind {
        // Restarts gateways in one to three groups, a second apart, as in a rolling deployment. Half of the time some
        // servers are silent meanwhile.
        FaultKind::Restart => {
            let silence =
                Fault::Silent { at: (at - SILENCE_LEAD_SECONDS).max(0.0), share, seconds: SILENCE_SECONDS };
            let groups = 1 + (fraction * 3.0) as usize;
            let restart_group = |index: usize| Fault::Restart {
                at: (at + index as f64).min(size.seconds),
                share: share / groups as f64,
                back_after: 0.2,
            };
            (0..groups).map(restart_group).chain((fraction < 0.5).then_some(silence)).collect()
        }
        FaultKind::Kill => vec![Fault::Kill { at, share: share * 0.5, back_after: Some(0.3) }],
        FaultKind::Reload => vec![Fault::Reload { at, share }],
        FaultKind::Pause => vec![Fault::Pause { at, share, seconds: fraction * MAX_PAUSE_SECONDS }],
        FaultKind::Silent => vec![Fault::Silent { at, share, seconds }],
        FaultKind::Slow => vec![Fault::Slow { at, share, factor: 2.0 + 20.0 * fraction, seconds }],
        FaultKind::FailsFast => vec![Fault::FailsFast { at, share, seconds }],
        FaultKind::Replace => vec![Fault::Replace { at, share, seconds, drain: 2.5 + fraction }],
        FaultKind::ZoneDown => {
            let told_after = (fraction < 0.5).then_some(seconds * fraction);
            vec![Fault::ZoneDown { at, zone, seconds, told_after }]
        }
        FaultKind::Discovery if fraction < 0.5 => vec![Fault::DiscoveryDown { at, share, seconds }],
        FaultKind::Discovery => vec![Fault::ListLate { at, share, seconds, late: fraction }],
        FaultKind::Counter if fraction < 0.4 => vec![Fault::CounterStall { at, seconds }],
        FaultKind::Counter if fraction < 0.8 => vec![Fault::CounterDown { at, seconds }],
        FaultKind::Counter => vec![Fault::CounterEmpty { at }],
        FaultKind::Signals => {
            let apart = fraction * MAX_SIGNAL_INTERVAL_SECONDS;
            vec![Fault::SignalSeries { at, share, apart, back_after: 0.2 }]
        }
        FaultKind::Crowd => vec![Fault::Crowd { at, seconds, rate: fraction * MAX_SILENT_CONNECTION_RATE }],
        FaultKind::Throttle => {
            vec![Fault::Throttle { at, share, seconds, core: MIN_CORE_SHARE + fraction * 0.5 }]
        }
        FaultKind::Flap => {
            vec![Fault::Flap { at, seconds, every: MIN_FLAP_INTERVAL_SECONDS + fraction * 0.2 }]
        }
        FaultKind::Burst => vec![Fault::Burst { at, factor: 1.0 + 3.0 * fraction, seconds }],
        FaultKind::Links => {
            let wire = LinkEffect {
                cut_there: fraction < 0.2,
                cut_back: (0.2..0.4).contains(&fraction),
                delay_ms: if fraction > 0.8 { 80.0 * fraction } else { 0.0 },
                reset: (0.4..0.6).contains(&fraction),
                silent: (0.6..0.8).contains(&fraction),
                ..LinkEffect::default()
            };
            let to = format!("servers:0-{}", (size.servers / 3).max(1) - 1);
            vec![Fault::Link { at, seconds, from: format!("zone:{zone}"), to, wire }]
        }
    }
}
