//! Costs of discovery's list: read, taken whole, one change of it, a zone that goes at once.

use super::Cost;
use super::scenario::List;
use crate::ScaleError;
use crate::alloc::without_counting;
use crate::deployment::{
    START_TIME, ServiceConfig, Status, ZONE_COUNT, encode_chunk, full_list, status_update,
};
use crate::measure::{Operation, Traffic};
use crate::replica::{Replica, parse_watch};

/// Changes are run so many times at most.
const CHANGES: usize = 200;
/// A whole list is run so many times at most.
const WHOLE_LISTS: usize = 20;

/// A cost with servers and the fleet's size given.
type Prepare = fn(servers: usize, fleet: usize) -> Result<Operation, ScaleError>;

/// What is measured both against servers and against the fleet's size.
const BY_BOTH: [(&str, Prepare); 3] =
    [("list taken whole", taken_whole), ("list one change", one_change), ("list zone gone", zone_gone)];

/// The costs of this family.
pub fn costs(scenario: &List) -> Vec<Cost> {
    let mut costs = vec![Cost {
        family: "list",
        name: "list read",
        size_name: "servers",
        held: "no fleet".to_string(),
        sizes: scenario.servers.clone(),
        prepare: Box::new(|servers| read_whole(servers as usize)),
    }];
    for (name, prepare) in BY_BOTH {
        costs.extend(scenario.held_fleets.iter().map(|fleet| by_servers(name, prepare, *fleet, scenario)));
    }
    costs.extend(BY_BOTH.map(|(name, prepare)| by_fleet(name, prepare, scenario)));
    costs
}

fn by_servers(name: &'static str, prepare: Prepare, fleet: u64, scenario: &List) -> Cost {
    Cost {
        family: "list",
        name,
        size_name: "servers",
        held: format!("fleet {fleet}"),
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
        held: format!("servers {servers}"),
        sizes: scenario.fleets.clone(),
        prepare: Box::new(move |fleet| prepare(servers as usize, fleet as usize)),
    }
}

/// The bytes of a whole list are read into entries.
pub fn read_whole(servers: usize) -> Result<Operation, ScaleError> {
    let bytes = without_counting(|| encode_chunk(&full_list(servers)));
    let step = move || {
        let mut traffic = Traffic::default();
        traffic.received.add(bytes.len());
        drop(parse_watch(&bytes)?);
        Ok(traffic)
    };
    Ok(Operation { step: Box::new(step), operations_per_step: 1, steps_most: WHOLE_LISTS })
}

/// A gateway that knows nothing takes a whole list that has been read.
pub fn taken_whole(servers: usize, fleet: usize) -> Result<Operation, ScaleError> {
    let list = without_counting(|| full_list(servers));
    let mut held: Vec<Replica> = Vec::new();
    let step = move || {
        held.clear();
        let mut replica = Replica::new(&ServiceConfig::for_fleet(fleet))?;
        replica.apply(START_TIME, &list);
        held.push(replica);
        Ok(Traffic::default())
    };
    Ok(Operation { step: Box::new(step), operations_per_step: 1, steps_most: WHOLE_LISTS })
}

/// One server drains, or is ready again: the bytes are read and taken.
pub fn one_change(servers: usize, fleet: usize) -> Result<Operation, ScaleError> {
    let one = [servers / 2];
    back_and_forth(servers, fleet, &one, Status::Draining)
}

/// All servers of a zone go in one change, or come back: the bytes are read and taken.
pub fn zone_gone(servers: usize, fleet: usize) -> Result<Operation, ScaleError> {
    let zone: Vec<usize> = (0..servers).step_by(ZONE_COUNT).collect();
    back_and_forth(servers, fleet, &zone, Status::Gone)
}

fn back_and_forth(
    servers: usize,
    fleet: usize,
    changed: &[usize],
    away: Status,
) -> Result<Operation, ScaleError> {
    let mut replica = Replica::new(&ServiceConfig::for_fleet(fleet))?;
    let list = without_counting(|| full_list(servers));
    replica.apply(START_TIME, &list);
    without_counting(|| drop(list));
    let encoded = |status| without_counting(|| encode_chunk(&status_update(changed.iter().copied(), status)));
    let changes = [encoded(away), encoded(Status::Ready)];
    let (mut now, mut next) = (START_TIME, 0);
    let step = move || {
        let mut traffic = Traffic::default();
        traffic.received.add(changes[next].len());
        now += 1_000_000;
        replica.feed(now, &changes[next])?;
        next = 1 - next;
        Ok(traffic)
    };
    Ok(Operation { step: Box::new(step), operations_per_step: 1, steps_most: CHANGES })
}
