//! The stand-in servers, and what discovery lists of them.

use super::{Fleet, ListChange};
use crate::measure::ServerHistory;
use crate::scenario::ServerGroup as Group;
use crate::{Nanos, nanos};
use standins::discovery::Entry;
use standins::servers::ServerSpec;

impl Fleet<'_> {
    /// A server more, not yet told to anybody.
    pub(super) fn add_server(&mut self, group: &Group, warm: bool) -> std::io::Result<usize> {
        let number = self.listed.len();
        let zones = &self.scenario.zones;
        let spec = ServerSpec {
            name: format!("s{number:04}"),
            zone: group.zone.clone().unwrap_or_else(|| zones[number % zones.len()].clone()),
            weight: group.weight,
            cores: group.cores,
            queue_limit: group.queue,
            max_connections: group.connections,
            median_service: nanos(group.service_ms / 1e3),
            service_sigma: group.spread,
            cold_share: group.cold_share,
            warmup: nanos(group.cold_seconds),
            reports_load: group.reports,
            body_bytes: group.body_bytes,
            address: self.servers_at,
        };
        let (name, zone, weight) = (spec.name.clone(), spec.zone.clone(), spec.weight);
        let (_, at) = self.servers.with(move |servers, io| servers.add(io, spec, warm))?;
        let since_ms = if warm { 0 } else { self.clock.unix_ms(self.clock.now()) };
        self.listed.push(Entry { name, address: at, zone, status: "gone", weight, since_ms });
        self.weights.push(ServerHistory { weight, ready_spans: Vec::new() });
        Ok(number)
    }

    /// Lists a server anew, and notes since when it is ready, or no longer.
    pub(super) fn list(&mut self, number: usize, status: &'static str) {
        let entry = &mut self.listed[number];
        entry.status = status;
        let entry = entry.clone();
        self.list_changes.push(ListChange { server: number, at: self.clock.now(), ready: status == "ready" });
        self.discovery.with(move |discovery, io| discovery.publish(io, entry));
        self.mark(number, status == "ready");
    }

    pub(super) fn mark(&mut self, number: usize, ready: bool) {
        let (now, spans) = (self.clock.now(), &mut self.weights[number].ready_spans);
        let open = spans.last_mut().filter(|span| span.1 == Nanos::MAX);
        match (open, ready) {
            (None, true) => spans.push((now, Nanos::MAX)),
            (Some(span), false) => span.1 = now,
            _ => {}
        }
    }
}
