//! The stand-in servers and their entries in discovery's list.

use super::{Fleet, ListChange};
use crate::loopback;
use crate::measure::ServerHistory;
use crate::scenario::ServerGroup;
use crate::{Nanos, nanos};
use standins::discovery::Entry;
use standins::servers::ServerSpec;

impl Fleet<'_> {
    /// Adds a server that is listed as gone. With `warm` it counts as started long ago.
    pub(super) fn add_server(&mut self, group: &ServerGroup, warm: bool) -> std::io::Result<usize> {
        let number = self.entries.len();
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
            late_data: group.late_data(),
            address: loopback::server_address(self.servers_address, number),
        };
        let (name, zone, weight) = (spec.name.clone(), spec.zone.clone(), spec.weight);
        let cell = self.scenario.cell_of(number);
        let (_, address) = self.servers.with(move |servers, io| servers.add(io, spec, warm))?;
        let since_ms = if warm { 0 } else { self.clock.unix_ms(self.clock.now()) };
        self.entries.push(Entry { name, address, zone, cell, status: "gone", weight, since_ms });
        self.server_histories.push(ServerHistory { weight, ready_spans: Vec::new() });
        Ok(number)
    }

    /// Changes a server's status in discovery's list and records the change.
    pub(super) fn set_status(&mut self, number: usize, status: &'static str) {
        let entry = &mut self.entries[number];
        entry.status = status;
        let entry = entry.clone();
        self.list_changes.push(ListChange { server: number, at: self.clock.now(), ready: status == "ready" });
        self.discovery.with(move |discovery, io| discovery.publish(io, entry));
        self.record_readiness(number, status == "ready");
    }

    /// Opens or closes the span in which a server is ready.
    pub(super) fn record_readiness(&mut self, number: usize, ready: bool) {
        let (now, spans) = (self.clock.now(), &mut self.server_histories[number].ready_spans);
        let open = spans.last_mut().filter(|span| span.1 == Nanos::MAX);
        match (open, ready) {
            (None, true) => spans.push((now, Nanos::MAX)),
            (Some(span), false) => span.1 = now,
            _ => {}
        }
    }
}
