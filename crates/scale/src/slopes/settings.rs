//! Costs of a settings version: reading its file, digesting it, checking it against the current one, and applying it.

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

/// Servers listed and gateways in the fleet while the number of plans varies.
const SERVERS: usize = 24;
const FLEET: usize = 3;
/// Maximum number of steps at one size.
const MAX_STEPS: usize = 50;
/// RPCs per step.
const RPCS_PER_STEP: u64 = 100;
const TENANTS: u64 = 50;

/// The costs of this family.
pub fn costs(scenario: &Settings, list: &List) -> Vec<Cost> {
    let by_plans = |name, prepare: fn(usize) -> Result<Operation, ScaleError>| Cost {
        family: "settings",
        name,
        size_name: "plans",
        fixed_sizes: format!("servers {SERVERS}, fleet {FLEET}"),
        sizes: scenario.plans.clone(),
        prepare: Box::new(move |plans| prepare(plans as usize)),
    };
    let by_servers = Cost {
        family: "settings",
        name: "version in force",
        size_name: "servers",
        fixed_sizes: format!("plans 1, fleet {FLEET}"),
        sizes: list.servers.clone(),
        prepare: Box::new(|servers| apply_version(1, servers as usize)),
    };
    vec![
        by_plans("version file read", read_file),
        by_plans("version digested", digest_content),
        by_plans("version checked", check_update),
        by_plans("version in force", |plans| apply_version(plans, SERVERS)),
        by_plans("rpc under settings", serve_with_plans),
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

/// Parses the configuration file, as at startup and on SIGHUP.
pub fn read_file(plans: usize) -> Result<Operation, ScaleError> {
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
    Ok(Operation { step: Box::new(step), operations_per_step: 1, max_steps: MAX_STEPS })
}

/// Computes the content ID by which gateways detect that they hold the same version.
pub fn digest_content(plans: usize) -> Result<Operation, ScaleError> {
    let version = version(1, plans);
    let step = move || {
        std::hint::black_box(version.content_id());
        Ok(Traffic::default())
    };
    Ok(Operation { step: Box::new(step), operations_per_step: 1, max_steps: MAX_STEPS })
}

/// Checks whether a version may replace the current one.
pub fn check_update(plans: usize) -> Result<Operation, ScaleError> {
    let (current, next) = (version(1, plans), version(2, plans));
    let step = move || {
        let objections = objections(&current, &next);
        if !objections.is_empty() {
            return Err(ScaleError::Measurement {
                what: "checking a version".to_string(),
                why: objections.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "),
            });
        }
        Ok(Traffic::default())
    };
    Ok(Operation { step: Box::new(step), operations_per_step: 1, max_steps: MAX_STEPS })
}

/// Applies a version to a running gateway.
pub fn apply_version(plans: usize, servers: usize) -> Result<Operation, ScaleError> {
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
    Ok(Operation { step: Box::new(step), operations_per_step: 1, max_steps: MAX_STEPS })
}

/// Serves RPCs with `plans` plans in the settings.
pub fn serve_with_plans(plans: usize) -> Result<Operation, ScaleError> {
    let mut driver = GatewayDriver::new(&service(plans), SERVERS, 1_000_000)?;
    let mut next = 0;
    let step = move || {
        for _ in 0..RPCS_PER_STEP {
            next += 1;
            driver.serve_rpc(next % TENANTS, (next % plans as u64) as u16)?;
        }
        Ok(driver.take_traffic())
    };
    Ok(Operation { step: Box::new(step), operations_per_step: RPCS_PER_STEP, max_steps: MAX_STEPS })
}
