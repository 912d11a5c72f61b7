//! Costs of an RPC: choosing a server of those listed, and RPCs in flight.

use super::Cost;
use super::scenario::Rpcs;
use crate::ScaleError;
use crate::deployment::ServiceConfig;
use crate::gateway_driver::GatewayDriver;
use crate::measure::{Operation, Traffic};
use martenramp::host::Nanos;

/// RPCs in a step.
const BATCH: u64 = 100;
const STEPS: usize = 100;
/// Tenants that the RPCs are of, by turns.
const TENANTS: u64 = 50;
/// Time between two RPCs of one gateway: 570 a second.
const EVERY: Nanos = 1_754_385;
/// The fleet of which this gateway draws from a part, and one in which it draws from all.
const LARGE_FLEET: usize = 5_800;
const SMALL_FLEET: usize = 3;
/// How long an RPC is in flight, and how many servers share them.
const IN_FLIGHT_FOR: Nanos = 20_000_000;
const IN_FLIGHT_SERVERS: usize = 240;

/// The costs of this family.
pub fn costs(scenario: &Rpcs) -> Vec<Cost> {
    let by_servers = |fleet: usize| Cost {
        family: "rpcs",
        name: "rpc server chosen",
        size_name: "servers",
        held: format!("fleet {fleet}, 570 RPCs a second"),
        sizes: scenario.servers.clone(),
        prepare: Box::new(move |servers| served(servers as usize, fleet)),
    };
    let in_flight = Cost {
        family: "rpcs",
        name: "rpc in flight",
        size_name: "in flight",
        held: format!("servers {IN_FLIGHT_SERVERS}, fleet {SMALL_FLEET}, each 20 ms"),
        sizes: scenario.in_flight.clone(),
        prepare: Box::new(|count| in_flight(count as usize)),
    };
    vec![by_servers(SMALL_FLEET), by_servers(LARGE_FLEET), in_flight]
}

/// RPCs one after the other, each served. The gateway is not told its number, so that its part is drawn without the table of
/// all parts, which at these sizes could not be worked out: the part is as large as with one.
pub fn served(servers: usize, fleet: usize) -> Result<Operation, ScaleError> {
    let service = ServiceConfig { gateway_index: None, ..ServiceConfig::for_fleet(fleet) };
    let mut driver = GatewayDriver::new(&service, servers, EVERY)?;
    let mut next = 0;
    let step = move || {
        for _ in 0..BATCH {
            next += 1;
            driver.serve_rpc(next % TENANTS, 0)?;
        }
        Ok(driver.take_traffic())
    };
    Ok(Operation { step: Box::new(step), operations_per_step: BATCH, steps_most: STEPS })
}

/// So many RPCs are open: one comes in, the oldest ends.
pub fn in_flight(count: usize) -> Result<Operation, ScaleError> {
    let every = IN_FLIGHT_FOR / count as Nanos;
    let mut driver = GatewayDriver::new(&ServiceConfig::for_fleet(SMALL_FLEET), IN_FLIGHT_SERVERS, every)?;
    driver.service_time = 0;
    let mut next = 0;
    let mut one_more = move |fill: bool| -> Result<Traffic, ScaleError> {
        next += 1;
        driver.advance();
        driver.start_rpc(next % TENANTS, 0);
        let open = driver.host.attempts.len();
        // While it fills, an answer comes for two of three RPCs, so that the module knows how long servers take.
        if !(fill && open < count && next % 3 == 0) {
            driver.complete_oldest_attempt();
        }
        if !fill && driver.host.attempts.len() < count / 2 {
            let why = format!("only {open} of {count} RPCs are in flight");
            return Err(ScaleError::Measurement { what: "RPCs in flight".to_string(), why });
        }
        Ok(driver.take_traffic())
    };
    for _ in 0..4 * count {
        one_more(true)?;
    }
    let step = move || {
        let mut traffic = Traffic::default();
        for _ in 0..BATCH {
            traffic.add(one_more(false)?);
        }
        Ok(traffic)
    };
    Ok(Operation { step: Box::new(step), operations_per_step: BATCH, steps_most: STEPS })
}
