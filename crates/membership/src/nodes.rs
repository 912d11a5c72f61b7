//! The one set of servers the module sees, merged from every source that lists nodes. A node is ready only while
//! every source that lists it says ready: a drain or a removal in any source stops new work to it. A source that
//! falls silent keeps its last list; the module never loses servers because a source is quiet.

use crate::Nanos;
use martenramp::host::DiscoveredServer;
use serde::Deserialize;
use std::collections::BTreeMap;

/// Where a node list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The platform's discovery.
    Discovery,
    /// An etcd prefix.
    Etcd,
}

/// How a source lists a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Its zone.
    pub zone: String,
    /// Whether it may get new work.
    pub ready: bool,
    /// Its weight.
    pub weight: f64,
    /// Clock time of its last start; 0 for long ago.
    pub started_at: Nanos,
}

/// A node's value in etcd: `{"address": ..., "zone": ..., "state": "ready" | "draining", "weight": ..., "since_ms": ...}`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Value {
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default = "ready")]
    state: String,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default)]
    since_ms: u64,
}

fn ready() -> String {
    "ready".to_string()
}
fn one() -> f64 {
    1.0
}

/// Reads a node's value; the error says what is wrong with it.
pub fn parse_node(value: &[u8]) -> Result<(String, Node), String> {
    let value: Value = serde_json::from_slice(value).map_err(|e| format!("node value: {e}"))?;
    let ready = match value.state.as_str() {
        "ready" => true,
        "draining" => false,
        other => return Err(format!("node value: state {other:?} is neither ready nor draining")),
    };
    if value.address.parse::<std::net::SocketAddr>().is_err() {
        return Err(format!("node value: {:?} is no address", value.address));
    }
    let node = Node {
        zone: value.zone,
        ready,
        weight: value.weight,
        started_at: value.since_ms.saturating_mul(1_000_000),
    };
    Ok((value.address, node))
}

#[derive(Default)]
struct Held {
    nodes: BTreeMap<String, Node>,
    /// When the source last said anything; none if it never did.
    heard: Option<Nanos>,
}

/// The merged set. Addresses keep their numbers for as long as the set lives.
#[derive(Default)]
pub struct Members {
    sources: BTreeMap<Source, Held>,
    numbers: BTreeMap<String, u32>,
    zones: BTreeMap<String, u16>,
}

impl Members {
    /// A source's whole list, replacing what it said before.
    pub fn replace_list(&mut self, now: Nanos, source: Source, nodes: BTreeMap<String, Node>) {
        let held = self.sources.entry(source).or_default();
        (held.nodes, held.heard) = (nodes, Some(now));
    }

    /// One node as a source now lists it; `None` removes it from that source.
    pub fn update(&mut self, now: Nanos, source: Source, address: &str, node: Option<Node>) {
        let held = self.sources.entry(source).or_default();
        held.heard = Some(now);
        match node {
            Some(node) => drop(held.nodes.insert(address.to_string(), node)),
            None => drop(held.nodes.remove(address)),
        }
    }

    /// The source said something, if only that it lives (a progress notification).
    pub fn record_contact(&mut self, now: Nanos, source: Source) {
        self.sources.entry(source).or_default().heard = Some(now);
    }

    /// How long since a source last spoke; none if it never did.
    pub fn time_since_contact(&self, now: Nanos, source: Source) -> Option<Nanos> {
        Some(now.saturating_sub(self.sources.get(&source)?.heard?))
    }

    /// The number a server has for the module.
    pub fn server_number(&mut self, address: &str) -> u32 {
        let next = self.numbers.len() as u32;
        *self.numbers.entry(address.to_string()).or_insert(next)
    }

    /// The address that goes by this number.
    pub fn address(&self, number: u32) -> Option<&str> {
        self.numbers.iter().find(|(_, at)| **at == number).map(|(address, _)| address.as_str())
    }

    /// The set as the module gets it, in order of address: ready only where every source that lists a node says so;
    /// a node that no source lists any more is gone.
    pub fn merged(&mut self) -> Vec<DiscoveredServer> {
        let mut merged: BTreeMap<String, Node> = BTreeMap::new();
        for held in self.sources.values() {
            for (address, node) in &held.nodes {
                let kept = merged.entry(address.clone()).or_insert_with(|| node.clone());
                kept.ready &= node.ready;
                kept.started_at = kept.started_at.max(node.started_at);
            }
        }
        let mut list = Vec::with_capacity(merged.len());
        for (address, node) in merged {
            let server = self.server_number(&address);
            let zones = self.zones.len() as u16;
            let zone = *self.zones.entry(node.zone.clone()).or_insert(zones);
            list.push(DiscoveredServer {
                server,
                key: martenramp::subsetting::key(&address),
                zone,
                ready: node.ready,
                weight: node.weight,
                started_at: node.started_at,
                ..DiscoveredServer::default()
            });
        }
        list
    }
}

#[cfg(test)]
mod tests;
