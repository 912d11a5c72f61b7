//! Applies the server list of discovery, and maintains this gateway's subset of the servers of each service.

use super::*;

impl AdmissionController {
    /// Discovery sent a list: all servers, or only those that changed. A server missing from a whole list is gone. The subsets
    /// are computed at once.
    pub fn on_server_list(&mut self, now: Nanos, whole: bool, list: &[DiscoveredServer]) {
        let changes = self.apply_list(now, whole, list);
        changes.into_keys().for_each(|service| self.rebuild_subset(now, service));
    }

    /// Discovery sent changes of its list. Servers that are no longer ready get no new RPCs from now on; the subsets are
    /// computed later, in `work_on_subsets`.
    pub fn on_server_list_deferred(&mut self, now: Nanos, list: &[DiscoveredServer]) {
        let changes = self.apply_list(now, false, list);
        changes.into_iter().for_each(|(service, change)| self.apply_change(now, service, &change));
    }

    /// Applies a list, and returns the changes by service.
    pub(super) fn apply_list(
        &mut self,
        now: Nanos,
        whole: bool,
        list: &[DiscoveredServer],
    ) -> BTreeMap<u32, ServiceChange> {
        self.started_at.get_or_insert(now);
        self.no_server_until.clear();
        let mut changes: BTreeMap<u32, ServiceChange> = BTreeMap::new();
        if whole {
            self.servers.values_mut().for_each(|server| server.entry.ready = false);
            self.draining.extend(self.servers.keys());
            for (service, removed) in std::mem::take(&mut self.ready_servers) {
                changes.entry(service).or_default().removed.extend(removed);
            }
        }
        for listed in list {
            let server = self.servers.entry(listed.server).or_default();
            if server.entry.started_at != listed.started_at {
                server.results.clear(); // a new incarnation: earlier results no longer apply, and it is cold
                server.bad_streak = BadStreak::default();
                server.cold_gap = (now, self.rng.f64());
            }
            let was = std::mem::replace(&mut server.entry, listed.clone());
            if was.ready && self.ready_servers.entry(was.service).or_default().remove(&listed.server) {
                changes.entry(was.service).or_default().removed.push(listed.server);
            }
            if listed.ready {
                changes.entry(listed.service).or_default().added.push(listed.server);
                self.ready_servers.entry(listed.service).or_default().insert(listed.server);
            } else {
                self.draining.insert(listed.server);
            }
        }
        self.remove_drained_servers();
        changes
    }

    /// Passes the changes of a service to its subsetter, without computing the subset.
    pub(super) fn apply_change(&mut self, now: Nanos, service: u32, change: &ServiceChange) {
        let Some(mut state) = self.services.remove(&service) else { return };
        // If a server changed twice, the last change applies.
        let is_ready = |id: &u32| self.ready_servers.get(&service).is_some_and(|ready| ready.contains(id));
        let added: BTreeSet<u32> = change.added.iter().copied().filter(is_ready).collect();
        let removed: Vec<u32> = change.removed.iter().copied().filter(|id| !is_ready(id)).collect();
        state.subsetter.apply_change(&removed, self.endpoints(added.iter()), SUBSETS_PER_SERVER);
        let warm_up = self.warm_up();
        removed.iter().for_each(|id| state.cold.remove(*id));
        for id in added {
            let started_at = self.servers[&id].entry.started_at;
            if warm_up.is_cold(now, started_at) {
                state.cold.insert(id, started_at);
                state.subsetter.share(id);
            } else {
                state.cold.remove(id);
                state.subsetter.unshare(id);
            }
        }
        self.services.insert(service, state);
    }

    /// When the next work on a subset is due, or `None` if all subsets are up to date.
    pub fn subset_work_due(&self) -> Option<Nanos> {
        let outdated = self.services.values().filter(|state| !state.subsetter.is_up_to_date());
        outdated.map(|state| state.resume_at).min()
    }

    /// Continues to compute the subset that is due first, for a number of work units that take some nanoseconds each.
    pub fn work_on_subsets(&mut self, now: Nanos, units: usize) {
        let outdated = self.services.values_mut().filter(|state| !state.subsetter.is_up_to_date());
        let Some(state) = outdated.min_by_key(|state| state.resume_at).filter(|state| state.resume_at <= now)
        else {
            return;
        };
        let mut left = units;
        let done = state.subsetter.advance(&mut left);
        state.work_done += units - left;
        if done {
            let pause = std::mem::take(&mut state.work_done) as Nanos * PAUSE_PER_WORK_UNIT;
            state.resume_at = now + pause.min(MAX_WORK_PAUSE);
        }
    }

    /// Removes servers that are not ready and have no open attempts.
    pub(super) fn remove_drained_servers(&mut self) {
        self.draining.retain(|id| {
            let Some(server) = self.servers.get(id).filter(|server| !server.entry.ready) else {
                return false;
            };
            let has_open = !server.open_attempts.is_empty();
            if !has_open {
                self.servers.remove(id);
            }
            has_open
        });
    }

    /// Notes that a service is in use. Subsets are computed and kept only for services that RPCs request; service 0 is kept from
    /// the start.
    pub(super) fn use_service(&mut self, now: Nanos, service: u32) {
        if let Some(known) = self.services.get_mut(&service) {
            known.last_used = now;
            return;
        }
        self.services
            .retain(|number, state| *number == 0 || now.saturating_sub(state.last_used) < UNUSED_SERVICE_TTL);
        let number = self.settings.get("me").and_then(|number| number.parse().ok());
        let subsetter = Subsetter::new(number, self.gateway_count() as usize, self.salt);
        self.services.insert(service, Service { subsetter, last_used: now, ..Service::default() });
        self.rebuild_subset(now, service);
    }

    /// The given servers in the form that the subsetter takes.
    pub(super) fn endpoints<'a>(&self, ids: impl Iterator<Item = &'a u32>) -> Vec<Endpoint> {
        let own_zone = self.setting("zone", -1.0);
        let endpoint = |id: &u32| {
            let DiscoveredServer { key, zone, weight, .. } = self.servers[id].entry;
            Endpoint { id: *id, key, zone, weight, same_zone: f64::from(zone) == own_zone }
        };
        ids.map(endpoint).collect()
    }

    /// Computes this gateway's subset of the ready servers of a service, if the service is in use.
    pub(super) fn rebuild_subset(&mut self, now: Nanos, service: u32) {
        self.replace_endpoints(service);
        if let Some(state) = self.services.get_mut(&service) {
            state.subsetter.finish();
        }
        self.share_cold_servers(now, service);
    }

    /// Passes all ready servers of a service to its subsetter, if the service is in use, without computing the subset.
    pub(super) fn replace_endpoints(&mut self, service: u32) {
        let Some(mut state) = self.services.remove(&service) else { return };
        let endpoints = self.endpoints(self.ready_servers.get(&service).into_iter().flatten());
        state.subsetter.replace_endpoints(endpoints, SUBSETS_PER_SERVER);
        self.services.insert(service, state);
    }

    /// Lets the whole fleet draw from exactly the cold servers of a service.
    pub(super) fn share_cold_servers(&mut self, now: Nanos, service: u32) {
        let Some(mut state) = self.services.remove(&service) else { return };
        let warm_up = self.warm_up();
        let started_at = |id: &u32| self.servers[id].entry.started_at;
        let is_cold = |id: &&u32| warm_up.is_cold(now, started_at(id));
        let cold: Vec<u32> = state.subsetter.order().iter().filter(is_cold).copied().collect();
        state.cold = ColdServers::default();
        cold.iter().for_each(|id| state.cold.insert(*id, started_at(id)));
        state.subsetter.set_shared(cold);
        self.services.insert(service, state);
    }
}
