//! The servers that discovery lists, and this gateway's subset of each service.

use super::*;

impl AdmissionController {
    /// Discovery's list, whole or only what changed. A server off the whole list is gone.
    pub fn on_server_list(&mut self, now: Nanos, whole: bool, list: &[DiscoveredServer]) {
        let changes = self.apply_list(now, whole, list);
        changes.into_keys().for_each(|service| self.rebuild_subset(now, service));
    }

    /// What changed of discovery's list. What is no longer ready gets nothing new from here on; the subsets follow in
    /// `work_on_subsets`.
    pub fn on_server_list_deferred(&mut self, now: Nanos, list: &[DiscoveredServer]) {
        let changes = self.apply_list(now, false, list);
        changes.into_iter().for_each(|(service, change)| self.apply_change(now, service, &change));
    }

    /// Takes the list in; which services it changes, and how.
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
            for (service, gone) in std::mem::take(&mut self.ready_servers) {
                changes.entry(service).or_default().removed.extend(gone);
            }
        }
        for listed in list {
            let server = self.servers.entry(listed.server).or_default();
            if server.entry.started_at != listed.started_at {
                server.results.clear(); // a new life: what the old one showed says nothing, and it is cold
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
        self.remove_unlisted_servers();
        changes
    }

    /// Lets a service's subset follow a change, without working it out.
    pub(super) fn apply_change(&mut self, now: Nanos, service: u32, change: &ServiceChange) {
        let Some(mut at) = self.services.remove(&service) else { return };
        // Of two changes of one server the later one counts.
        let is_ready = |id: &u32| self.ready_servers.get(&service).is_some_and(|ready| ready.contains(id));
        let came: BTreeSet<u32> = change.added.iter().copied().filter(is_ready).collect();
        let gone: Vec<u32> = change.removed.iter().copied().filter(|id| !is_ready(id)).collect();
        at.subsetter.change(&gone, self.endpoints(came.iter()), SUBSETS_PER_SERVER);
        let is_cold = |id: &u32| self.warm_share(now, &self.servers[id].entry) < 1.0;
        let shared = at.subsetter.shared().iter().copied();
        let new = came.iter().copied().filter(|id| !at.subsetter.is_shared(*id));
        let shared: Vec<u32> = shared.chain(new).filter(is_cold).collect();
        at.subsetter.share(shared);
        self.services.insert(service, at);
    }

    /// When there is work on subsets to be done; nothing if all are worked out.
    pub fn subset_work_due(&self) -> Option<Nanos> {
        let stale = self.services.values().filter(|at| !at.subsetter.is_worked_out());
        stale.map(|at| at.resume_at).min()
    }

    /// Goes on with the subset that is due first, for so many units of some nanoseconds.
    pub fn work_on_subsets(&mut self, now: Nanos, units: usize) {
        let stale = self.services.values_mut().filter(|at| !at.subsetter.is_worked_out());
        let Some(at) = stale.min_by_key(|at| at.resume_at).filter(|at| at.resume_at <= now) else {
            return;
        };
        let mut left = units;
        let done = at.subsetter.work(&mut left);
        at.work_done += units - left;
        if done {
            let rest = std::mem::take(&mut at.work_done) as Nanos * PAUSE_PER_WORK_UNIT;
            at.resume_at = now + rest.min(MAX_WORK_PAUSE);
        }
    }

    /// Forgets servers that are not ready and have no call-outs open.
    pub(super) fn remove_unlisted_servers(&mut self) {
        self.draining.retain(|id| {
            let Some(server) = self.servers.get(id).filter(|server| !server.entry.ready) else {
                return false;
            };
            let open = !server.open_attempts.is_empty();
            if !open {
                self.servers.remove(id);
            }
            open
        });
    }

    /// Subsets are worked out and held only for services that RPCs ask for; 0 is one from the start.
    pub(super) fn use_service(&mut self, now: Nanos, service: u32) {
        if let Some(known) = self.services.get_mut(&service) {
            known.last_used = now;
            return;
        }
        self.services
            .retain(|number, at| *number == 0 || now.saturating_sub(at.last_used) < UNUSED_SERVICE_TTL);
        let number = self.settings.get("me").and_then(|number| number.parse().ok());
        let subsetter = Subsetter::new(number, self.gateway_count() as usize, self.salt);
        self.services.insert(service, Service { subsetter, last_used: now, ..Service::default() });
        self.rebuild_subset(now, service);
    }

    pub(super) fn endpoints<'a>(&self, ids: impl Iterator<Item = &'a u32>) -> Vec<Endpoint> {
        let near = self.setting("zone", -1.0);
        let endpoint = |id: &u32| {
            let DiscoveredServer { key, zone, weight, .. } = self.servers[id].entry;
            Endpoint { id: *id, key, zone, weight, near: f64::from(zone) == near }
        };
        ids.map(endpoint).collect()
    }

    /// Works out this gateway's subset of a service that it was asked for, of the servers ready now.
    pub(super) fn rebuild_subset(&mut self, now: Nanos, service: u32) {
        let Some(mut at) = self.services.remove(&service) else { return };
        let endpoints = self.endpoints(self.ready_servers.get(&service).into_iter().flatten());
        at.subsetter.update(endpoints, SUBSETS_PER_SERVER);
        let is_cold = |id: &&u32| self.warm_share(now, &self.servers[*id].entry) < 1.0;
        at.subsetter.share(at.subsetter.order().iter().filter(is_cold).copied().collect());
        self.services.insert(service, at);
    }
}
