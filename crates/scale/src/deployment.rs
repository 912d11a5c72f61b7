//! The synthetic deployment that measurements run against: service settings and the server lists that discovery sends.

use gateway::entry::Entry;
use gateway::list::ListUpdate;
use martenramp::host::{Nanos, Settings};
use serde_json::{Map, Value, json};
use std::net::SocketAddr;

/// Number of zones; servers are assigned to them round-robin.
pub const ZONE_COUNT: usize = 9;
/// List version of the initial snapshot.
pub const SNAPSHOT_INDEX: u64 = 1;
/// List version of the incremental update that follows the snapshot.
pub const UPDATE_INDEX: u64 = 2;
/// Start of the measurements on the decision module's clock.
pub const START_TIME: Nanos = 1_000_000_000_000;

/// Parameters from which the service settings are generated.
#[derive(Clone, Copy, Debug)]
pub struct ServiceConfig {
    /// Number of gateways in the fleet.
    pub fleet_size: usize,
    /// This gateway's index in the fleet, or `None` to leave it out of the settings.
    pub gateway_index: Option<usize>,
    /// Number of plans in the settings.
    pub plan_count: usize,
    /// Units per second that each plan admits.
    pub rate: f64,
    /// Units that each plan admits in a burst.
    pub burst: f64,
}

impl ServiceConfig {
    /// Settings for the first gateway of a fleet, with a single plan whose limits are too high to take effect.
    pub fn for_fleet(fleet_size: usize) -> ServiceConfig {
        ServiceConfig { fleet_size, gateway_index: Some(0), plan_count: 1, rate: 1e6, burst: 1e6 }
    }

    /// The settings in the nested form that operators write.
    pub fn nested_settings(&self) -> Map<String, Value> {
        let plan = |index: usize| {
            json!({"name": format!("plan{index}"), "perSecond": self.rate, "depth": self.burst,
                "worth": 1.0, "price": 1.0})
        };
        let zones: Vec<String> = (0..ZONE_COUNT).map(zone_name).collect();
        let settings = json!({
            "balancers": self.fleet_size, "zone": 0, "localities": zones, "shapes": ["m"],
            "classes": [{"name": "read", "credit": 1, "onTime": 2.0, "deadline": 6.0, "idempotency": "free"}],
            "tariffs": (0..self.plan_count).map(plan).collect::<Vec<_>>(),
            "ceilings": {"attemptsCap": 3, "connIdle": 15.0, "dialTimeout": 0.25},
            "extra": {"hasCounter": true, "largest": 1.0, "countWait": 0.05},
        });
        let mut nested = match settings {
            Value::Object(nested) => nested,
            _ => Map::new(),
        };
        if let Some(index) = self.gateway_index {
            nested.insert("me".to_string(), json!(index));
        }
        nested
    }

    /// The settings in the flattened form that the decision module reads.
    pub fn flat_settings(&self) -> Settings {
        martenramp::settings::flatten(&self.nested_settings())
    }
}

fn zone_name(index: usize) -> String {
    format!("z{index}")
}

/// Names of all zones of the deployment.
pub fn zone_names() -> Vec<String> {
    (0..ZONE_COUNT).map(zone_name).collect()
}

/// A server's status in the discovery list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    Ready,
    Draining,
    Gone,
}

/// The discovery entry for a server, as the gateway parses it.
pub fn server_entry(index: usize, status: Status) -> Entry {
    let address = SocketAddr::from(([10, (index >> 16) as u8, (index >> 8) as u8, index as u8], 8000));
    Entry {
        name: format!("server-{index:06}").into(),
        address,
        zone: zone_name(index % ZONE_COUNT).into(),
        kind: "m".into(),
        service: 0,
        cell: 0,
        ready: status == Status::Ready,
        gone: status == Status::Gone,
        weight: 1.0,
        started_ms: 0,
    }
}

/// A snapshot that lists the given number of servers, all ready.
pub fn full_list(servers: usize) -> ListUpdate {
    let entries = (0..servers).map(|index| server_entry(index, Status::Ready)).collect();
    ListUpdate { index: SNAPSHOT_INDEX, is_snapshot: true, entries, ..ListUpdate::default() }
}

/// An incremental update that sets the status of the given servers.
pub fn status_update(servers: impl IntoIterator<Item = usize>, status: Status) -> ListUpdate {
    let entries = servers.into_iter().map(|index| server_entry(index, status)).collect();
    ListUpdate { index: UPDATE_INDEX, is_snapshot: false, entries, ..ListUpdate::default() }
}

/// Encodes a snapshot or update as discovery sends it: one JSON object per line, in a chunk of the watch response.
pub fn encode_chunk(update: &ListUpdate) -> Vec<u8> {
    let entries: Vec<Value> = update.entries.iter().map(encode_entry).collect();
    let object =
        json!({"index": update.index, "snapshot": update.is_snapshot, "endpoints": entries}).to_string();
    format!("{:x}\r\n{object}\n\r\n", object.len() + 1).into_bytes()
}

fn encode_entry(entry: &Entry) -> Value {
    let status = match (entry.gone, entry.ready) {
        (true, _) => "gone",
        (false, true) => "ready",
        (false, false) => "draining",
    };
    let encoded = standins::discovery::Entry {
        name: entry.name.to_string(),
        address: entry.address,
        zone: entry.zone.to_string(),
        cell: 0,
        status,
        weight: entry.weight,
        since_ms: entry.started_ms,
    };
    encoded.json(entry.address)
}
