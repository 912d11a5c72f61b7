//! Costs of discovery's list: parsing it, applying it in full, and applying a change of one server or of a whole
//! zone.

use super::Cost;
use super::scenario::List;
use crate::ScaleError;
use crate::alloc::without_counting;
use crate::deployment::{
    START_TIME, ServiceConfig, Status, ZONE_COUNT, encode_chunk, full_list, status_update,
};
use crate::measure::{Operation, Traffic};
use crate::replica::{Replica, parse_watch};

/// Maximum number of steps that each apply one change.
const MAX_CHANGES: usize = 200;
/// Maximum number of steps that each parse or apply a full list.
const MAX_FULL_LISTS: usize = 20;

/// Prepares an operation for a number of servers and a fleet size.
type Prepare = fn(servers: usize, fleet: usize) -> Result<Operation, ScaleError>;

/// Costs measured against both the number of servers and the fleet size.
const BY_SERVERS_AND_FLEET: [(&str, Prepare); 3] = [
    ("list taken whole", apply_full_list),
    ("list one change", apply_one_change),
    ("list zone gone", apply_zone_change),
];

/// The costs of this family.
pub fn costs(scenario: &List) -> Vec<Cost> {
    let mut costs = vec![Cost {
        family: "list",
        name: "list read",
        size_name: "servers",
        fixed_sizes: "no fleet".to_string(),
        sizes: scenario.servers.clone(),
        prepare: Box::new(|servers| parse_full_list(servers as usize)),
    }];
    for (name, prepare) in BY_SERVERS_AND_FLEET {
        costs.extend(scenario.held_fleets.iter().map(|fleet| by_servers(name, prepare, *fleet, scenario)));
    }
    costs.extend(BY_SERVERS_AND_FLEET.map(|(name, prepare)| by_fleet(name, prepare, scenario)));
    costs
}

fn by_servers(name: &'static str, prepare: Prepare, fleet: u64, scenario: &List) -> Cost {
    Cost {
        family: "list",
        name,
        size_name: "servers",
        fixed_sizes: format!("fleet {fleet}"),
        sizes: scenario.servers.clone(),
        prepare: Box::new(move |servers| prepare(servers as usize, fleet as usize)),
    }
}

fn by_fleet(name: &'static str, prepare: Prepare, scenario: &List) -> Cost {
    let servers = scenario.held_servers;
    Cost {
        family: "list",
        name,
        size_name: "fleet",
        fixed_sizes: format!("servers {servers}"),
        sizes: scenario.fleets.clone(),
        prepare: Box::new(move |fleet| prepare(servers as usize, fleet as usize)),
    }
}

/// Parses an encoded full list into entries.
pub fn parse_full_list(servers: usize) -> Result<Operation, ScaleError> {
    let bytes = without_counting(|| encode_chunk(&full_list(servers)));
    let step = move || {
        let mut traffic = Traffic::default();
        traffic.received.add(bytes.len());
        drop(parse_watch(&bytes)?);
        Ok(traffic)
    };
    Ok(Operation { step: Box::new(step), operations_per_step: 1, max_steps: MAX_FULL_LISTS })
}

/// Applies a parsed full list to a new gateway.
pub fn apply_full_list(servers: usize, fleet: usize) -> Result<Operation, ScaleError> {
    let list = without_counting(|| full_list(servers));
    let mut replicas: Vec<Replica> = Vec::new();
    let step = move || {
        replicas.clear();
        let mut replica = Replica::new(&ServiceConfig::for_fleet(fleet))?;
        replica.apply(START_TIME, &list);
        replicas.push(replica);
        Ok(Traffic::default())
    };
    Ok(Operation { step: Box::new(step), operations_per_step: 1, max_steps: MAX_FULL_LISTS })
}

/// Parses and applies a change of one server, alternately to draining and to ready.
pub fn apply_one_change(servers: usize, fleet: usize) -> Result<Operation, ScaleError> {
    let server = [servers / 2];
    alternate_changes(servers, fleet, &server, Status::Draining)
}

/// Parses and applies a change of all servers of a zone, alternately to gone and to ready.
pub fn apply_zone_change(servers: usize, fleet: usize) -> Result<Operation, ScaleError> {
    let zone: Vec<usize> = (0..servers).step_by(ZONE_COUNT).collect();
    alternate_changes(servers, fleet, &zone, Status::Gone)
}

fn alternate_changes(
    servers: usize,
    fleet: usize,
    changed: &[usize],
    changed_status: Status,
) -> Result<Operation, ScaleError> {
    let mut replica = Replica::new(&ServiceConfig::for_fleet(fleet))?;
    let list = without_counting(|| full_list(servers));
    replica.apply(START_TIME, &list);
    without_counting(|| drop(list));
    let encoded = |status| without_counting(|| encode_chunk(&status_update(changed.iter().copied(), status)));
    let changes = [encoded(changed_status), encoded(Status::Ready)];
    let (mut now, mut next) = (START_TIME, 0);
    let step = move || {
        let mut traffic = Traffic::default();
        traffic.received.add(changes[next].len());
        now += 1_000_000;
        replica.feed(now, &changes[next])?;
        next = 1 - next;
        Ok(traffic)
    };
    Ok(Operation { step: Box::new(step), operations_per_step: 1, max_steps: MAX_CHANGES })
}
