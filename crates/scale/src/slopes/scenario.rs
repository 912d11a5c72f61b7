//! Scenarios of `slopes`: sizes and limits, read from TOML and validated before anything is measured.
//!
//! Omitted keys take their defaults, which reach the deployment's size expected in two years wherever the program can.

use crate::ScaleError;
use serde::Deserialize;
use std::ops::RangeInclusive;
use std::path::Path;

/// Lower bounds on the memory of one item, however it is stored; sizes that can't fit in memory are rejected by them.
const BYTES_PER_SERVER: u64 = 500;
const BYTES_PER_TENANT: u64 = 500;
const BYTES_PER_PLAN: u64 = 400;
const BYTES_PER_RPC: u64 = 300;
const BYTES_PER_GATEWAY: u64 = 1_000;
/// A run may use the machine's memory divided by this.
const MACHINE_SHARE: u64 = 2;

/// Sizes and limits of a run.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// Memory limit of the run, MiB. A size that is predicted to need more is skipped.
    pub memory_mb: u64,
    /// CPU time limit of one size of one cost, seconds. A size that is predicted to need more is skipped.
    pub size_seconds: f64,
    /// CPU time limit of the whole run, seconds. Once it is spent, the remaining sizes are skipped.
    pub total_seconds: f64,
    /// CPU time for which the steps of one size are repeated, milliseconds.
    pub effort_ms: u64,
    pub list: List,
    pub tenants: Tenants,
    pub settings: Settings,
    pub agreement: Agreement,
    pub counter: Counter,
    pub rpcs: Rpcs,
}

/// Discovery's list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct List {
    /// Sizes: servers in the list, with each of `held_fleets` gateways.
    pub servers: Vec<u64>,
    pub held_fleets: Vec<u64>,
    /// Sizes: gateways of the fleet, with `held_servers` in the list.
    pub fleets: Vec<u64>,
    pub held_servers: u64,
}

/// Tenants that one gateway knows.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Tenants {
    /// Sizes: tenants seen once.
    pub seen: Vec<u64>,
    /// Sizes: tenants with many RPCs each.
    pub busy: Vec<u64>,
}

/// Versions of the settings.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Sizes: plans in the settings.
    pub plans: Vec<u64>,
}

/// The agreement on versions.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Agreement {
    /// Sizes: gateways that vote.
    pub voters: Vec<u64>,
    /// Sizes: gateways that receive the datagrams of seven voters.
    pub gateways: Vec<u64>,
}

/// The shared counter.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Counter {
    /// Sizes: gateways that receive one tenant's RPCs.
    pub gateways: Vec<u64>,
    /// Sizes: RPCs a second of one tenant.
    pub rates: Vec<u64>,
}

/// RPCs of one gateway.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Rpcs {
    /// Sizes: servers listed, one of which is chosen for each RPC.
    pub servers: Vec<u64>,
    /// Sizes: RPCs in flight.
    pub in_flight: Vec<u64>,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            memory_mb: 4096,
            size_seconds: 8.0,
            total_seconds: 170.0,
            effort_ms: 40,
            list: List::default(),
            tenants: Tenants::default(),
            settings: Settings::default(),
            agreement: Agreement::default(),
            counter: Counter::default(),
            rpcs: Rpcs::default(),
        }
    }
}

impl Default for List {
    fn default() -> Self {
        List {
            servers: vec![24, 76, 240, 760, 2_400, 7_600, 24_000, 50_000, 76_000, 170_000],
            held_fleets: vec![3, 5_800],
            fleets: vec![18, 58, 180, 580, 1_800, 5_800, 18_000],
            held_servers: 240,
        }
    }
}

impl Default for Tenants {
    fn default() -> Self {
        Tenants {
            seen: vec![1_000, 3_200, 10_000, 32_000, 100_000, 320_000, 1_100_000],
            busy: vec![100, 320, 1_000, 3_200, 10_000],
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Settings { plans: vec![10, 32, 100, 320, 1_000, 3_200, 10_000] }
    }
}

impl Default for Agreement {
    fn default() -> Self {
        Agreement { voters: vec![3, 7, 15, 31, 101, 301], gateways: vec![18, 58, 180, 580, 1_800, 5_800] }
    }
}

impl Default for Counter {
    fn default() -> Self {
        Counter {
            gateways: vec![1, 3, 10, 32, 100, 320],
            rates: vec![10, 32, 100, 320, 1_000, 3_200, 10_000],
        }
    }
}

impl Default for Rpcs {
    fn default() -> Self {
        Rpcs {
            servers: vec![24, 76, 240, 760, 2_400, 7_600, 24_000, 76_000, 170_000],
            in_flight: vec![10, 32, 100, 320, 1_000, 3_200, 10_000],
        }
    }
}

/// The sizes given under a key, their valid range, and the lower bound on the memory of one item.
struct CheckedSizes<'a> {
    key: &'static str,
    sizes: &'a [u64],
    range: RangeInclusive<u64>,
    bytes_each: u64,
}

impl Scenario {
    /// Reads a scenario and checks it.
    pub fn load(file: &Path) -> Result<Scenario, ScaleError> {
        let text = std::fs::read_to_string(file).map_err(|e| ScaleError::file(file, e))?;
        let scenario: Scenario = toml::from_str(&text).map_err(|e| ScaleError::scenario(file, e))?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Rejects a scenario that can't be measured; the error names the first invalid key.
    pub fn check(&self) -> Result<(), ScaleError> {
        check_range("memory_mb", self.memory_mb as f64, 64.0..=1_048_576.0)?;
        check_range("size_seconds", self.size_seconds, 0.001..=600.0)?;
        check_range("total_seconds", self.total_seconds, 0.001..=3_600.0)?;
        check_range("effort_ms", self.effort_ms as f64, 1.0..=10_000.0)?;
        check_range("list.held_servers", self.list.held_servers as f64, 1.0..=1e6)?;
        self.check_machine_memory()?;
        self.sizes().iter().try_for_each(|sizes| self.check_sizes(sizes))?;
        let fixed = [("list.held_servers", self.list.held_servers * BYTES_PER_SERVER)];
        fixed.iter().try_for_each(|(key, bytes)| self.check_memory(key, *bytes))
    }

    fn sizes(&self) -> Vec<CheckedSizes<'_>> {
        let sizes = |key, sizes, range, bytes_each| CheckedSizes { key, sizes, range, bytes_each };
        vec![
            sizes("list.servers", &self.list.servers, 1..=1_000_000, BYTES_PER_SERVER),
            sizes("list.held_fleets", &self.list.held_fleets, 1..=100_000, 0),
            sizes("list.fleets", &self.list.fleets, 1..=100_000, 0),
            sizes("tenants.seen", &self.tenants.seen, 1..=100_000_000, BYTES_PER_TENANT),
            sizes("tenants.busy", &self.tenants.busy, 1..=100_000_000, BYTES_PER_TENANT),
            sizes("settings.plans", &self.settings.plans, 1..=60_000, BYTES_PER_PLAN),
            sizes("agreement.voters", &self.agreement.voters, 1..=1_001, BYTES_PER_GATEWAY),
            sizes("agreement.gateways", &self.agreement.gateways, 1..=100_000, BYTES_PER_GATEWAY),
            sizes("counter.gateways", &self.counter.gateways, 1..=10_000, BYTES_PER_GATEWAY),
            sizes("counter.rates", &self.counter.rates, 1..=1_000_000, BYTES_PER_RPC),
            sizes("rpcs.servers", &self.rpcs.servers, 1..=1_000_000, BYTES_PER_SERVER),
            sizes("rpcs.in_flight", &self.rpcs.in_flight, 1..=1_000_000, BYTES_PER_RPC),
        ]
    }

    fn check_sizes(&self, sizes: &CheckedSizes) -> Result<(), ScaleError> {
        let CheckedSizes { key, range, .. } = sizes;
        if let Some(invalid) = sizes.sizes.iter().find(|size| !range.contains(size)) {
            let why = format!("{invalid} is not from {} to {}", range.start(), range.end());
            return Err(ScaleError::bad_key(*key, why));
        }
        if !sizes.sizes.is_sorted_by(|left, right| left < right) {
            return Err(ScaleError::bad_key(*key, "sizes must be in strictly ascending order"));
        }
        let Some(largest) = sizes.sizes.last() else {
            return Err(ScaleError::bad_key(*key, "must not be empty"));
        };
        self.check_memory(key, largest * sizes.bytes_each)
    }

    fn check_memory(&self, key: &str, bytes: u64) -> Result<(), ScaleError> {
        if bytes <= self.memory_bytes() {
            return Ok(());
        }
        let why = format!("needs at least {} MiB, more than memory_mb of {}", bytes >> 20, self.memory_mb);
        Err(ScaleError::bad_key(key, why))
    }

    fn check_machine_memory(&self) -> Result<(), ScaleError> {
        let Some(machine) = machine_memory_mb() else { return Ok(()) };
        let limit = machine / MACHINE_SHARE;
        if self.memory_mb <= limit {
            return Ok(());
        }
        let why = format!("{} is more than half of the machine's {machine} MiB", self.memory_mb);
        Err(ScaleError::bad_key("memory_mb", why))
    }

    /// Memory limit of the run, bytes.
    pub fn memory_bytes(&self) -> u64 {
        self.memory_mb << 20
    }
}

fn check_range(key: &str, value: f64, range: RangeInclusive<f64>) -> Result<(), ScaleError> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(ScaleError::bad_key(key, format!("{value} is not from {} to {}", range.start(), range.end())))
}

/// The machine's total memory, where `/proc/meminfo` is available.
fn machine_memory_mb() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find(|line| line.starts_with("MemTotal:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib >> 10)
}
