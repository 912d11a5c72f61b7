//! Costs of an RPC: choosing a server from the list, and keeping RPCs in flight.

use super::Cost;
use super::scenario::Rpcs;
use crate::ScaleError;
use crate::deployment::ServiceConfig;
use crate::gateway_driver::GatewayDriver;
use crate::measure::{Operation, Traffic};
use martenramp::host::Nanos;

/// RPCs per step.
const RPCS_PER_STEP: u64 = 100;
const MAX_STEPS: usize = 100;
/// Number of tenants; the RPCs rotate over them.
const TENANTS: u64 = 50;
/// Time between two RPCs at one gateway: 570 RPCs a second.
const RPC_INTERVAL: Nanos = 1_754_385;
/// A fleet in which a gateway uses a subset of the servers, and one in which it uses all of them.
const LARGE_FLEET: usize = 5_800;
const SMALL_FLEET: usize = 3;
/// How long an RPC stays in flight, and the number of servers that share the RPCs.
const TIME_IN_FLIGHT: Nanos = 20_000_000;
const IN_FLIGHT_SERVERS: usize = 240;

/// The costs of this family.
pub fn costs(scenario: &Rpcs) -> Vec<Cost> {
    let by_servers = |fleet: usize| Cost {
        family: "rpcs",
        name: "rpc server chosen",
        size_name: "servers",
        fixed_sizes: format!("fleet {fleet}, 570 RPCs a second"),
        sizes: scenario.servers.clone(),
        prepare: Box::new(move |servers| serve_sequentially(servers as usize, fleet)),
    };
    let in_flight = Cost {
        family: "rpcs",
        name: "rpc in flight",
        size_name: "in flight",
        fixed_sizes: format!("servers {IN_FLIGHT_SERVERS}, fleet {SMALL_FLEET}, each 20 ms"),
        sizes: scenario.in_flight.clone(),
        prepare: Box::new(|count| keep_in_flight(count as usize)),
    };
    vec![by_servers(SMALL_FLEET), by_servers(LARGE_FLEET), in_flight]
}

/// Serves RPCs one after the other. The gateway gets no number of its own, so its subset is drawn without the table of
/// all subsets, which is infeasible to compute at these sizes. The subset has the same size either way.
pub fn serve_sequentially(servers: usize, fleet: usize) -> Result<Operation, ScaleError> {
    let service = ServiceConfig { gateway_index: None, ..ServiceConfig::for_fleet(fleet) };
    let mut driver = GatewayDriver::new(&service, servers, RPC_INTERVAL)?;
    let mut next = 0;
    let step = move || {
        for _ in 0..RPCS_PER_STEP {
            next += 1;
            driver.serve_rpc(next % TENANTS, 0)?;
        }
        Ok(driver.take_traffic())
    };
    Ok(Operation { step: Box::new(step), operations_per_step: RPCS_PER_STEP, max_steps: MAX_STEPS })
}

/// Keeps `count` RPCs in flight: in each operation one arrives and the oldest ends.
pub fn keep_in_flight(count: usize) -> Result<Operation, ScaleError> {
    let interval = TIME_IN_FLIGHT / count as Nanos;
    let mut driver = GatewayDriver::new(&ServiceConfig::for_fleet(SMALL_FLEET), IN_FLIGHT_SERVERS, interval)?;
    driver.service_time = 0;
    let mut next = 0;
    let mut exchange_one = move |filling: bool| -> Result<Traffic, ScaleError> {
        next += 1;
        driver.advance();
        driver.start_rpc(next % TENANTS, 0);
        let open = driver.host.attempts.len();
        // During filling, answer two of three RPCs, so that the module learns how long servers take.
        if !(filling && open < count && next % 3 == 0) {
            driver.complete_oldest_attempt();
        }
        if !filling && driver.host.attempts.len() < count / 2 {
            let why = format!("only {open} of {count} RPCs are in flight");
            return Err(ScaleError::Measurement { what: "RPCs in flight".to_string(), why });
        }
        Ok(driver.take_traffic())
    };
    for _ in 0..4 * count {
        exchange_one(true)?;
    }
    let step = move || {
        let mut traffic = Traffic::default();
        for _ in 0..RPCS_PER_STEP {
            traffic.add(exchange_one(false)?);
        }
        Ok(traffic)
    };
    Ok(Operation { step: Box::new(step), operations_per_step: RPCS_PER_STEP, max_steps: MAX_STEPS })
}
