//! The servers that discovery lists, and this gateway's subset of each service.

use super::*;

impl AdmissionController {
    /// Discovery's list, whole or only what changed. A server off the whole list is gone.
    pub fn on_server_list(&mut self, now: Nanos, whole: bool, list: &[DiscoveredServer]) {
        let changes = self.take_list(now, whole, list);
        changes.into_keys().for_each(|service| self.share_out(now, service));
    }

    /// What changed of discovery's list. What is no longer ready gets nothing new from here on; the subsets follow in
    /// `work_on_subsets`.
    pub fn on_server_list_deferred(&mut self, now: Nanos, list: &[DiscoveredServer]) {
        let changes = self.take_list(now, false, list);
        changes.into_iter().for_each(|(service, change)| self.follow(now, service, &change));
    }

    /// Takes the list in; which services it changes, and how.
    pub(super) fn take_list(
        &mut self,
        now: Nanos,
        whole: bool,
        list: &[DiscoveredServer],
    ) -> BTreeMap<u32, ServiceChange> {
        self.born.get_or_insert(now);
        self.nowhere.clear();
        let mut changes: BTreeMap<u32, ServiceChange> = BTreeMap::new();
        if whole {
            self.servers.values_mut().for_each(|server| server.listed.ready = false);
            self.leaving.extend(self.servers.keys());
            for (service, gone) in std::mem::take(&mut self.ready) {
                changes.entry(service).or_default().gone.extend(gone);
            }
        }
        for listed in list {
            let server = self.servers.entry(listed.server).or_default();
            if server.listed.started_at != listed.started_at {
                server.ends.clear(); // a new life: what the old one showed says nothing, and it is cold
                server.cold = (now, self.chance.f64());
            }
            let was = std::mem::replace(&mut server.listed, listed.clone());
            if was.ready && self.ready.entry(was.service).or_default().remove(&listed.server) {
                changes.entry(was.service).or_default().gone.push(listed.server);
            }
            if listed.ready {
                changes.entry(listed.service).or_default().came.push(listed.server);
                self.ready.entry(listed.service).or_default().insert(listed.server);
            } else {
                self.leaving.insert(listed.server);
            }
        }
        self.forget_servers();
        changes
    }

    /// Lets a service's subset follow a change, without working it out.
    pub(super) fn follow(&mut self, now: Nanos, service: u32, change: &ServiceChange) {
        let Some(mut at) = self.services.remove(&service) else { return };
        // Of two changes of one server the later one counts.
        let is_ready = |id: &u32| self.ready.get(&service).is_some_and(|ready| ready.contains(id));
        let came: BTreeSet<u32> = change.came.iter().copied().filter(is_ready).collect();
        let gone: Vec<u32> = change.gone.iter().copied().filter(|id| !is_ready(id)).collect();
        at.subsetter.apply_change(&gone, self.endpoints(came.iter()), SUBSET_COUNT);
        let is_cold = |id: &u32| self.warmth(now, &self.servers[id].listed) < 1.0;
        let shared = at.subsetter.shared().iter().copied();
        let new = came.iter().copied().filter(|id| !at.subsetter.is_shared(*id));
        let shared: Vec<u32> = shared.chain(new).filter(is_cold).collect();
        at.subsetter.set_shared(shared);
        self.services.insert(service, at);
    }

    /// When there is work on subsets to be done; nothing if all are worked out.
    pub fn subset_work_due(&self) -> Option<Nanos> {
        let stale = self.services.values().filter(|at| !at.subsetter.is_up_to_date());
        stale.map(|at| at.rests_until).min()
    }

    /// Goes on with the subset that is due first, for so many units of some nanoseconds.
    pub fn work_on_subsets(&mut self, now: Nanos, units: usize) {
        let stale = self.services.values_mut().filter(|at| !at.subsetter.is_up_to_date());
        let Some(at) = stale.min_by_key(|at| at.rests_until).filter(|at| at.rests_until <= now) else {
            return;
        };
        let mut left = units;
        let done = at.subsetter.advance(&mut left);
        at.worked += units - left;
        if done {
            let rest = std::mem::take(&mut at.worked) as Nanos * REST_PER_UNIT;
            at.rests_until = now + rest.min(REST_MOST);
        }
    }

    /// Forgets servers that are not ready and have no call-outs open.
    pub(super) fn forget_servers(&mut self) {
        self.leaving.retain(|id| {
            let Some(server) = self.servers.get(id).filter(|server| !server.listed.ready) else {
                return false;
            };
            let open = !server.open.is_empty();
            if !open {
                self.servers.remove(id);
            }
            open
        });
    }

    /// Subsets are worked out and held only for services that RPCs ask for; 0 is one from the start.
    pub(super) fn ask_for(&mut self, now: Nanos, service: u32) {
        if let Some(known) = self.services.get_mut(&service) {
            known.asked_at = now;
            return;
        }
        self.services.retain(|number, at| *number == 0 || now.saturating_sub(at.asked_at) < UNUSED);
        let number = self.settings.get("me").and_then(|number| number.parse().ok());
        let subsetter = Subsetter::new(number, self.gateways() as usize, self.salt);
        self.services.insert(service, Service { subsetter, asked_at: now, ..Service::default() });
        self.share_out(now, service);
    }

    pub(super) fn endpoints<'a>(&self, ids: impl Iterator<Item = &'a u32>) -> Vec<Endpoint> {
        let near = self.setting("zone", -1.0);
        let endpoint = |id: &u32| {
            let DiscoveredServer { key, zone, weight, .. } = self.servers[id].listed;
            Endpoint { id: *id, key, zone, weight, same_zone: f64::from(zone) == near }
        };
        ids.map(endpoint).collect()
    }

    /// Works out this gateway's subset of a service that it was asked for, of the servers ready now.
    pub(super) fn share_out(&mut self, now: Nanos, service: u32) {
        let Some(mut at) = self.services.remove(&service) else { return };
        let endpoints = self.endpoints(self.ready.get(&service).into_iter().flatten());
        at.subsetter.set_endpoints(endpoints, SUBSET_COUNT);
        let is_cold = |id: &&u32| self.warmth(now, &self.servers[*id].listed) < 1.0;
        at.subsetter.set_shared(at.subsetter.order().iter().filter(is_cold).copied().collect());
        self.services.insert(service, at);
    }
}
