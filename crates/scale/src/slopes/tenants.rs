//! Costs of tenants: the first RPC of a tenant, a later one, one of a busy tenant, and forgetting idle tenants.

use super::Cost;
use super::scenario::Tenants;
use crate::ScaleError;
use crate::deployment::ServiceConfig;
use crate::gateway_driver::GatewayDriver;
use crate::measure::{Operation, Traffic};
use martenramp::host::Nanos;

/// Servers listed and gateways in the fleet.
const SERVERS: usize = 24;
const FLEET: usize = 3;
/// RPCs per step, and the maximum number of steps at one size.
const RPCS_PER_STEP: u64 = 100;
const MAX_STEPS: usize = 50;
/// All tenants send their RPCs within this time, before any of them can be forgotten.
const FIRST_SEEN_WITHIN: Nanos = 4_000_000_000;
/// The clock then advances by this interval, this many times, after which every tenant can be forgotten.
const IDLE_INTERVAL: Nanos = 600_000_000_000;
const IDLE_INTERVALS: u32 = 5;
/// RPCs of a busy tenant: as many as the module keeps samples for.
const BUSY_RPCS: u64 = 64;

/// The costs of this family.
pub fn costs(scenario: &Tenants) -> Vec<Cost> {
    let cost = |name, sizes: &[u64], prepare: fn(u64) -> Result<Operation, ScaleError>| Cost {
        family: "tenants",
        name,
        size_name: "tenants",
        fixed_sizes: format!("servers {SERVERS}, fleet {FLEET}"),
        sizes: sizes.to_vec(),
        prepare: Box::new(prepare),
    };
    let mut forgetting_sizes: Vec<u64> =
        scenario.seen.iter().map(|size| forgetting_size_up_to(*size)).collect();
    forgetting_sizes.dedup();
    vec![
        cost("tenant seen once", &scenario.seen, serve_new_tenants),
        cost("tenant seen again", &scenario.seen, serve_known_tenants),
        cost("tenants forgotten", &forgetting_sizes, forget_idle_tenants),
        cost("tenant busy", &scenario.busy, serve_busy_tenants),
    ]
}

/// A gateway that has served `times` RPCs of each of `tenants` tenants.
fn driver_with_tenants(tenants: u64, times: u64) -> Result<GatewayDriver, ScaleError> {
    let interval = (FIRST_SEEN_WITHIN / (tenants * times)).max(1);
    let mut driver = GatewayDriver::new(&ServiceConfig::for_fleet(FLEET), SERVERS, interval)?;
    for _ in 0..times {
        for tenant in 0..tenants {
            driver.serve_rpc(tenant, 0)?;
        }
    }
    driver.take_traffic();
    Ok(driver)
}

/// Serves RPCs of tenants that the gateway has not seen before.
pub fn serve_new_tenants(tenants: u64) -> Result<Operation, ScaleError> {
    let mut driver = driver_with_tenants(tenants, 1)?;
    let mut next = tenants;
    let step = move || {
        for _ in 0..RPCS_PER_STEP {
            next += 1;
            driver.serve_rpc(next, 0)?;
        }
        Ok(driver.take_traffic())
    };
    // Few steps, so that the number of known tenants stays near the size.
    let max_steps = (tenants / RPCS_PER_STEP / 10).clamp(1, MAX_STEPS as u64) as usize;
    Ok(Operation { step: Box::new(step), operations_per_step: RPCS_PER_STEP, max_steps })
}

/// Serves RPCs of random known tenants that have sent one RPC each.
pub fn serve_known_tenants(tenants: u64) -> Result<Operation, ScaleError> {
    let mut driver = driver_with_tenants(tenants, 1)?;
    let mut rng = fastrand::Rng::with_seed(tenants);
    let step = move || {
        for _ in 0..RPCS_PER_STEP {
            driver.serve_rpc(rng.u64(..tenants), 0)?;
        }
        Ok(driver.take_traffic())
    };
    Ok(Operation { step: Box::new(step), operations_per_step: RPCS_PER_STEP, max_steps: MAX_STEPS })
}

/// Serves RPCs of random known tenants that have sent many RPCs each.
pub fn serve_busy_tenants(tenants: u64) -> Result<Operation, ScaleError> {
    let mut driver = driver_with_tenants(tenants, BUSY_RPCS)?;
    let mut rng = fastrand::Rng::with_seed(tenants);
    let step = move || {
        for _ in 0..RPCS_PER_STEP {
            driver.serve_rpc(rng.u64(..tenants), 0)?;
        }
        Ok(driver.take_traffic())
    };
    Ok(Operation { step: Box::new(step), operations_per_step: RPCS_PER_STEP, max_steps: MAX_STEPS })
}

/// Serves the RPCs of one tenant during which all idle tenants are forgotten: each looks at two of them.
pub fn forget_idle_tenants(tenants: u64) -> Result<Operation, ScaleError> {
    let mut driver = driver_with_tenants(tenants, 1)?;
    // A pending timer counts as use of the tenant when it fires, so all timers fire first.
    for _ in 0..IDLE_INTERVALS {
        driver.host.now += IDLE_INTERVAL;
        driver.advance();
    }
    let step = move || {
        for _ in 0..=tenants.div_ceil(2) {
            driver.serve_rpc(tenants, 0)?;
        }
        let remaining = driver.replica.controller.customer_count();
        if remaining > 1 {
            let why = format!("{remaining} of {tenants} tenants were not forgotten");
            return Err(ScaleError::Measurement { what: "forgetting tenants".to_string(), why });
        }
        Ok(Traffic::default())
    };
    Ok(Operation { step: Box::new(step), operations_per_step: 1, max_steps: 1 })
}

/// The largest number of tenants up to `limit` at which the next RPC begins the search for idle tenants. The module
/// searches at two tenants, and then when it knows one more than twice the number (at least 32) that the last search
/// left.
fn forgetting_size_up_to(limit: u64) -> u64 {
    let mut count = 2 * 32 + 1;
    while 2 * count < limit {
        count = 2 * count + 1;
    }
    count
}
