//! Costs of tenants: seen once, known and seen again, busy, forgotten.

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
/// RPCs in a step, and steps of one size.
const BATCH: u64 = 100;
const STEPS: usize = 50;
/// All tenants are seen within so long, which is before any can be forgotten.
const SEEN_WITHIN: Nanos = 4_000_000_000;
/// Then time goes on by so much, and so many times, after which each can be forgotten.
const RESTED_FOR: Nanos = 600_000_000_000;
const RINGS: u32 = 5;
/// RPCs of a busy tenant: as many as the module keeps samples of.
const BUSY_RPCS: u64 = 64;

/// The costs of this family.
pub fn costs(scenario: &Tenants) -> Vec<Cost> {
    let cost = |name, sizes: &[u64], prepare: fn(u64) -> Result<Operation, ScaleError>| Cost {
        family: "tenants",
        name,
        size_name: "tenants",
        held: format!("servers {SERVERS}, fleet {FLEET}"),
        sizes: sizes.to_vec(),
        prepare: Box::new(prepare),
    };
    let mut forgetting: Vec<u64> = scenario.seen.iter().map(|size| forgetting_at(*size)).collect();
    forgetting.dedup();
    vec![
        cost("tenant seen once", &scenario.seen, seen_once),
        cost("tenant seen again", &scenario.seen, seen_again),
        cost("tenants forgotten", &forgetting, forgotten),
        cost("tenant busy", &scenario.busy, busy),
    ]
}

/// A gateway that has seen so many tenants, each `times` times.
fn known(tenants: u64, times: u64) -> Result<GatewayDriver, ScaleError> {
    let every = (SEEN_WITHIN / (tenants * times)).max(1);
    let mut driver = GatewayDriver::new(&ServiceConfig::for_fleet(FLEET), SERVERS, every)?;
    for _ in 0..times {
        for tenant in 0..tenants {
            driver.serve_rpc(tenant, 0)?;
        }
    }
    driver.take_traffic();
    Ok(driver)
}

/// The next RPC is of a tenant not seen before.
pub fn seen_once(tenants: u64) -> Result<Operation, ScaleError> {
    let mut driver = known(tenants, 1)?;
    let mut next = tenants;
    let step = move || {
        for _ in 0..BATCH {
            next += 1;
            driver.serve_rpc(next, 0)?;
        }
        Ok(driver.take_traffic())
    };
    // Few steps, so that the number known stays near the size.
    let steps_most = (tenants / BATCH / 10).clamp(1, STEPS as u64) as usize;
    Ok(Operation { step: Box::new(step), operations_per_step: BATCH, steps_most })
}

/// The next RPC is of any tenant that is known.
pub fn seen_again(tenants: u64) -> Result<Operation, ScaleError> {
    let mut driver = known(tenants, 1)?;
    let mut chance = fastrand::Rng::with_seed(tenants);
    let step = move || {
        for _ in 0..BATCH {
            driver.serve_rpc(chance.u64(..tenants), 0)?;
        }
        Ok(driver.take_traffic())
    };
    Ok(Operation { step: Box::new(step), operations_per_step: BATCH, steps_most: STEPS })
}

/// Every tenant has had many RPCs; the next is of one of them.
pub fn busy(tenants: u64) -> Result<Operation, ScaleError> {
    let mut driver = known(tenants, BUSY_RPCS)?;
    let mut chance = fastrand::Rng::with_seed(tenants);
    let step = move || {
        for _ in 0..BATCH {
            driver.serve_rpc(chance.u64(..tenants), 0)?;
        }
        Ok(driver.take_traffic())
    };
    Ok(Operation { step: Box::new(step), operations_per_step: BATCH, steps_most: STEPS })
}

/// The one RPC in which all tenants that rest are forgotten.
pub fn forgotten(tenants: u64) -> Result<Operation, ScaleError> {
    let mut driver = known(tenants, 1)?;
    // Timers that are still set count as use when they ring: they ring out first.
    for _ in 0..RINGS {
        driver.host.now += RESTED_FOR;
        driver.advance();
    }
    let step = move || {
        driver.serve_rpc(tenants, 0)?;
        let left = driver.replica.controller.customer_count();
        if left > 1 {
            let why = format!("{left} of {tenants} tenants are left");
            return Err(ScaleError::Measurement { what: "forgetting tenants".to_string(), why });
        }
        Ok(Traffic::default())
    };
    Ok(Operation { step: Box::new(step), operations_per_step: 1, steps_most: 1 })
}

/// The largest number of tenants up to `most` with which the next RPC has those that rest looked through: the module does
/// so with two, and then whenever one more than twice those that were left (of 32 at least) are known.
fn forgetting_at(most: u64) -> u64 {
    let mut known = 2 * 32 + 1;
    while 2 * known < most {
        known = 2 * known + 1;
    }
    known
}
