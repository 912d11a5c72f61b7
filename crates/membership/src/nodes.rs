//! Merges the node lists of all sources into the one list of servers that the admission module gets.
//!
//! A node is ready only while every source that lists it has it ready: a drain in any source stops new RPCs to it. The last
//! list of a source that falls silent stays in use, so that no server is lost because a source is silent.

use crate::Nanos;
use martenramp::host::DiscoveredServer;
use serde::Deserialize;
use std::collections::BTreeMap;

/// A source of node lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The platform's discovery.
    Discovery,
    /// An etcd prefix.
    Etcd,
}

/// A node as listed by a source.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// The node's zone.
    pub zone: String,
    /// Whether the node may get new RPCs.
    pub ready: bool,
    /// The node's weight.
    pub weight: f64,
    /// When the node last started, Unix time; 0 means long ago.
    pub started_at: Nanos,
}

/// The JSON value of a node in etcd; `state` is `ready` or `draining`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NodeJson {
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default = "default_state")]
    state: String,
    #[serde(default = "default_weight")]
    weight: f64,
    #[serde(default, rename = "since_ms")]
    started_at_ms: u64,
}

fn default_state() -> String {
    "ready".to_string()
}
fn default_weight() -> f64 {
    1.0
}

/// Parses a node's JSON value into its address and the node.
pub fn parse_node(value: &[u8]) -> Result<(String, Node), String> {
    let value: NodeJson = serde_json::from_slice(value).map_err(|e| format!("node value: {e}"))?;
    let ready = match value.state.as_str() {
        "ready" => true,
        "draining" => false,
        other => return Err(format!("node value: state {other:?} is neither ready nor draining")),
    };
    if value.address.parse::<std::net::SocketAddr>().is_err() {
        return Err(format!("node value: {:?} is not an address with a port", value.address));
    }
    let node = Node {
        zone: value.zone,
        ready,
        weight: value.weight,
        started_at: value.started_at_ms.saturating_mul(1_000_000),
    };
    Ok((value.address, node))
}

#[derive(Default)]
struct SourceList {
    nodes: BTreeMap<String, Node>,
    /// When the source last sent anything; `None` if it never did.
    last_contact: Option<Nanos>,
}

/// The node lists of all sources, and the numbers assigned to addresses. An address keeps its number.
#[derive(Default)]
pub struct Members {
    sources: BTreeMap<Source, SourceList>,
    numbers: BTreeMap<String, u32>,
    zones: BTreeMap<String, u16>,
}

impl Members {
    /// Replaces a source's list.
    pub fn replace_list(&mut self, now: Nanos, source: Source, nodes: BTreeMap<String, Node>) {
        let list = self.sources.entry(source).or_default();
        (list.nodes, list.last_contact) = (nodes, Some(now));
    }

    /// Updates a node in a source's list; `None` removes it there.
    pub fn update(&mut self, now: Nanos, source: Source, address: &str, node: Option<Node>) {
        let list = self.sources.entry(source).or_default();
        list.last_contact = Some(now);
        match node {
            Some(node) => drop(list.nodes.insert(address.to_string(), node)),
            None => drop(list.nodes.remove(address)),
        }
    }

    /// Records that a source sent something, such as a progress notification without changes.
    pub fn record_contact(&mut self, now: Nanos, source: Source) {
        self.sources.entry(source).or_default().last_contact = Some(now);
    }

    /// The time since a source last sent anything; `None` if it never did.
    pub fn time_since_contact(&self, now: Nanos, source: Source) -> Option<Nanos> {
        Some(now.saturating_sub(self.sources.get(&source)?.last_contact?))
    }

    /// The number by which the admission module knows the server; assigned at the first call.
    pub fn server_number(&mut self, address: &str) -> u32 {
        let next_number = self.numbers.len() as u32;
        *self.numbers.entry(address.to_string()).or_insert(next_number)
    }

    /// The address with this number.
    pub fn address(&self, number: u32) -> Option<&str> {
        self.numbers.iter().find(|(_, assigned)| **assigned == number).map(|(address, _)| address.as_str())
    }

    /// The merged list for the admission module, sorted by address. A node is ready only if every source that lists it has it
    /// ready; a node that no source lists is not included.
    pub fn merged(&mut self) -> Vec<DiscoveredServer> {
        let mut merged: BTreeMap<String, Node> = BTreeMap::new();
        for list in self.sources.values() {
            for (address, node) in &list.nodes {
                let combined = merged.entry(address.clone()).or_insert_with(|| node.clone());
                combined.ready &= node.ready;
                combined.started_at = combined.started_at.max(node.started_at);
            }
        }
        let mut list = Vec::with_capacity(merged.len());
        for (address, node) in merged {
            let server = self.server_number(&address);
            let next_zone = self.zones.len() as u16;
            let zone = *self.zones.entry(node.zone.clone()).or_insert(next_zone);
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
