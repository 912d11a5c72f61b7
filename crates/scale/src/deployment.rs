//! The deployment that measurements are made in: its settings, and its servers as discovery lists them.

use gateway::entry::Entry;
use gateway::list::ListUpdate;
use martenramp::host::{Nanos, Settings};
use serde_json::{Map, Value, json};
use std::net::SocketAddr;

/// Zones of the deployment; servers stand in them by turns.
pub const ZONE_COUNT: usize = 9;
/// The version of the list that is told as a whole, and of the change after it.
pub const SNAPSHOT_INDEX: u64 = 1;
pub const UPDATE_INDEX: u64 = 2;
/// When measurements begin, by the module's clock.
pub const START_TIME: Nanos = 1_000_000_000_000;

/// Settings of a service, before they are flattened.
#[derive(Clone, Copy, Debug)]
pub struct ServiceConfig {
    /// How many gateways there are, and which of them this one is; none where it is not told.
    pub fleet_size: usize,
    pub gateway_index: Option<usize>,
    /// How many plans the settings hold, and what each lets in: units a second, and so many at once.
    pub plan_count: usize,
    pub rate: f64,
    pub burst: f64,
}

impl ServiceConfig {
    /// The first gateway of a fleet, with one plan that never binds.
    pub fn for_fleet(fleet_size: usize) -> ServiceConfig {
        ServiceConfig { fleet_size, gateway_index: Some(0), plan_count: 1, rate: 1e6, burst: 1e6 }
    }

    /// As the operators hand the settings over.
    pub fn nested_settings(&self) -> Map<String, Value> {
        let plan = |number: usize| {
            json!({"name": format!("plan{number}"), "perSecond": self.rate, "depth": self.burst,
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
        if let Some(number) = self.gateway_index {
            nested.insert("me".to_string(), json!(number));
        }
        nested
    }

    /// As the module reads them.
    pub fn flat_settings(&self) -> Settings {
        martenramp::settings::flatten(&self.nested_settings())
    }
}

fn zone_name(number: usize) -> String {
    format!("z{number}")
}

/// The zones of the deployment.
pub fn zone_names() -> Vec<String> {
    (0..ZONE_COUNT).map(zone_name).collect()
}

/// What discovery tells of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    Ready,
    Draining,
    Gone,
}

/// A server of the deployment as the gateway reads it.
pub fn server_entry(number: usize, status: Status) -> Entry {
    let address = SocketAddr::from(([10, (number >> 16) as u8, (number >> 8) as u8, number as u8], 8000));
    Entry {
        name: format!("server-{number:06}").into(),
        address,
        zone: zone_name(number % ZONE_COUNT).into(),
        kind: "m".into(),
        service: 0,
        cell: 0,
        ready: status == Status::Ready,
        gone: status == Status::Gone,
        weight: 1.0,
        started_ms: 0,
    }
}

/// The whole list of so many servers.
pub fn full_list(servers: usize) -> ListUpdate {
    let entries = (0..servers).map(|number| server_entry(number, Status::Ready)).collect();
    ListUpdate { index: SNAPSHOT_INDEX, is_snapshot: true, entries, ..ListUpdate::default() }
}

/// A change of some servers.
pub fn status_update(servers: impl IntoIterator<Item = usize>, status: Status) -> ListUpdate {
    let entries = servers.into_iter().map(|number| server_entry(number, status)).collect();
    ListUpdate { index: UPDATE_INDEX, is_snapshot: false, entries, ..ListUpdate::default() }
}

/// A list or a change as discovery sends it: one JSON object on a line, as a chunk of the watch's answer.
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
    let listed = standins::discovery::Entry {
        name: entry.name.to_string(),
        address: entry.address,
        zone: entry.zone.to_string(),
        status,
        weight: entry.weight,
        since_ms: entry.started_ms,
    };
    listed.json(entry.address)
}
