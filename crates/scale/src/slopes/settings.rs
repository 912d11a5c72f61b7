//! Costs of a version of the settings: its file read, its content digested, checked against the one held, in force.

use super::Cost;
use super::scenario::{List, Settings};
use crate::ScaleError;
use crate::alloc::without_counting;
use crate::deployment::{START_TIME, ServiceConfig, full_list};
use crate::gateway_driver::GatewayDriver;
use crate::measure::{Operation, Traffic};
use crate::replica::Replica;
use agreement::rules::objections;
use agreement::version::{Fallback, Version};
use gateway::config::Config;
use serde_json::json;

/// Servers listed and gateways in the fleet while the number of plans changes.
const SERVERS: usize = 24;
const FLEET: usize = 3;
/// A version is run so many times at most.
const VERSIONS: usize = 50;
/// RPCs in a step.
const BATCH: u64 = 100;
const TENANTS: u64 = 50;

/// The costs of this family.
pub fn costs(scenario: &Settings, list: &List) -> Vec<Cost> {
    let by_plans = |name, prepare: fn(usize) -> Result<Operation, ScaleError>| Cost {
        family: "settings",
        name,
        size_name: "plans",
        held: format!("servers {SERVERS}, fleet {FLEET}"),
        sizes: scenario.plans.clone(),
        prepare: Box::new(move |plans| prepare(plans as usize)),
    };
    let by_servers = Cost {
        family: "settings",
        name: "version in force",
        size_name: "servers",
        held: format!("plans 1, fleet {FLEET}"),
        sizes: list.servers.clone(),
        prepare: Box::new(|servers| in_force(1, servers as usize)),
    };
    vec![
        by_plans("version file read", file_read),
        by_plans("version digested", digested),
        by_plans("version checked", checked),
        by_plans("version in force", |plans| in_force(plans, SERVERS)),
        by_plans("rpc under settings", rpc_under),
        by_servers,
    ]
}

fn service(plans: usize) -> ServiceConfig {
    ServiceConfig { plan_count: plans, ..ServiceConfig::for_fleet(FLEET) }
}

fn version(number: u64, plans: usize) -> Version {
    let settings = service(plans).flat_settings();
    Version { number, start: 0, fallback: Fallback::default_for(&settings), settings }
}

/// The file is read, as at a start and at SIGHUP.
pub fn file_read(plans: usize) -> Result<Operation, ScaleError> {
    let text = without_counting(|| {
        let settings = service(plans).nested_settings();
        json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": 1, "settings": settings})
            .to_string()
    });
    let step = move || {
        let mut traffic = Traffic::default();
        traffic.received.add(text.len());
        let read = Config::parse(&text, |_| None);
        let failed = |why| ScaleError::Measurement { what: "reading a configuration".to_string(), why };
        read.map(|_| traffic).map_err(failed)
    };
    Ok(Operation { step: Box::new(step), operations_per_step: 1, steps_most: VERSIONS })
}

/// The content by which gateways know that they hold the same.
pub fn digested(plans: usize) -> Result<Operation, ScaleError> {
    let version = version(1, plans);
    let step = move || {
        std::hint::black_box(version.content_id());
        Ok(Traffic::default())
    };
    Ok(Operation { step: Box::new(step), operations_per_step: 1, steps_most: VERSIONS })
}

/// Whether a version may follow the one held.
pub fn checked(plans: usize) -> Result<Operation, ScaleError> {
    let (held, next) = (version(1, plans), version(2, plans));
    let step = move || {
        let why = objections(&held, &next);
        if !why.is_empty() {
            return Err(ScaleError::Measurement {
                what: "checking a version".to_string(),
                why: why.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "),
            });
        }
        Ok(Traffic::default())
    };
    Ok(Operation { step: Box::new(step), operations_per_step: 1, steps_most: VERSIONS })
}

/// The module acts on a version from now on.
pub fn in_force(plans: usize, servers: usize) -> Result<Operation, ScaleError> {
    let mut replica = Replica::new(&service(plans))?;
    let list = without_counting(|| full_list(servers));
    replica.apply(START_TIME, &list);
    without_counting(|| drop(list));
    let next = without_counting(|| service(plans).flat_settings());
    let mut now = START_TIME;
    let step = move || {
        now += 1_000_000;
        replica.controller.update_settings(now, next.clone());
        Ok(Traffic::default())
    };
    Ok(Operation { step: Box::new(step), operations_per_step: 1, steps_most: VERSIONS })
}

/// An RPC while the settings hold so many plans.
pub fn rpc_under(plans: usize) -> Result<Operation, ScaleError> {
    let mut driver = GatewayDriver::new(&service(plans), SERVERS, 1_000_000)?;
    let mut next = 0;
    let step = move || {
        for _ in 0..BATCH {
            next += 1;
            driver.serve_rpc(next % TENANTS, (next % plans as u64) as u16)?;
        }
        Ok(driver.take_traffic())
    };
    Ok(Operation { step: Box::new(step), operations_per_step: BATCH, steps_most: VERSIONS })
}
