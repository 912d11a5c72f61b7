//! Handles discovery: keeps the watch open, and applies its lists to the admission controller and
//! the connection pools.

use super::*;
use crate::entry::{Entry, USUAL_WEIGHTS};
use crate::start_times;
use martenramp::host::DiscoveredServer;

/// Work on subsets per turn: about a quarter of a millisecond.
const SUBSET_WORK_PER_TURN: usize = 50_000;

impl Gateway {
    /// Reads from a watch. While a list is being applied nothing more is read, and further data
    /// waits at discovery.
    pub(super) fn read_watch(&mut self, id: usize) {
        if self.host.is_updating_list() {
            return;
        }
        let mut lists = Vec::new();
        let AdmissionHost { net, watch, previous_watch, .. } = &mut self.host;
        let watch = match previous_watch {
            Some((old, watch)) if *old == id => watch,
            _ => watch,
        };
        let consumed = watch.feed(net.now, net.input(id), &mut lists);
        net.consume(id, consumed.unwrap_or(0));
        if self.host.watch_id == Some(id)
            && self.host.watch.head_read
            && !std::mem::replace(&mut self.host.watch_answered, true)
        {
            info!(self.host.log, "watching"; "index" => self.host.watch.index, "ms" => (self.host.net.now - self.host.net.opened_at(id)) / MS);
        }
        if self.host.watch_id == Some(id) && self.host.watch.head_read {
            self.host.close_previous_watch("moved");
        }
        lists.into_iter().for_each(|list| self.receive_list(list));
        if let Some(why) = consumed.err().or(self.host.net.connection_end(id).map(ConnectionEnd::reason)) {
            self.host.watch_lost(id, why);
        }
    }

    /// Receives a list from discovery, or the one stored from an earlier run.
    pub(super) fn receive_list(&mut self, list: ListUpdate) {
        self.host.watch.index = list.index;
        if let Some(name) = &list.first_without_service {
            warn!(self.host.log, "list"; "why" => "no-service", "index" => list.index, "server" => &**name, "entries" => list.without_service);
        }
        self.host.log_unusual_weights(&list);
        self.host.pending_lists.push_back(PendingList::Received(list));
        self.apply_pending_lists();
    }

    /// Queues a change that did not come from this gateway's own discovery. It is placed before the
    /// received lists that are not filtered yet, since filtering them takes it into account.
    pub(super) fn queue_filtered_list(&mut self, list: ListUpdate) {
        let pending = &mut self.host.pending_lists;
        let first_received = pending.iter().position(|list| matches!(list, PendingList::Received(_)));
        pending.insert(first_received.unwrap_or(pending.len()), PendingList::Filtered(list));
        self.apply_pending_lists();
    }

    /// Applies the next batch, and once the update is complete, reads what the watch received in
    /// the meantime.
    pub(super) fn continue_list_update(&mut self) {
        self.host.update_scheduled = false;
        self.apply_pending_lists();
        if self.host.is_updating_list() {
            return;
        }
        let old = self.host.previous_watch.as_ref().map(|old| old.0);
        for id in [old, self.host.watch_id].into_iter().flatten() {
            if !self.host.net.input(id).is_empty() || self.host.net.connection_end(id).is_some() {
                self.read_watch(id);
            }
        }
    }

    /// Applies pending lists, as far as the work limit of one turn allows.
    fn apply_pending_lists(&mut self) {
        if self.host.update_scheduled {
            return;
        }
        let mut work = WORK_PER_TURN;
        loop {
            if self.host.list_diff.is_none() {
                if work < WORK_PER_UPDATE && !self.host.pending_lists.is_empty() {
                    break; // the next update is left for the next turn
                }
                work -= WORK_PER_UPDATE.min(work);
                if !self.start_next_update() {
                    return;
                }
            }
            let AdmissionHost { list_diff, servers, name_ids, .. } = &mut self.host;
            let Some(diff) = list_diff else { return };
            let Some(batch) = diff.next_batch(servers, name_ids, &mut work) else { break };
            let done = diff.is_done().then(|| self.host.list_diff.take()).flatten();
            self.apply_batch(batch);
            if let Some(done) = done {
                let is_first = !std::mem::replace(&mut self.host.has_list, true);
                self.update_readiness();
                if !is_first {
                    self.host.log_applied_list(&done);
                }
            }
        }
        self.host.list_diff.iter_mut().for_each(ListDiff::defer_to_next_turn);
        self.host.update_scheduled = true;
        self.host.timers.set(self.host.net.now + 1, TimerEvent::ContinueListUpdate);
    }

    /// Starts the next pending update; false if there is none. Where gateways agree on lists, a
    /// list that is older than what is known here is only applied in part, and one that would leave
    /// no servers is ignored.
    fn start_next_update(&mut self) -> bool {
        let list = loop {
            match self.host.pending_lists.pop_front() {
                None => return false,
                Some(PendingList::Filtered(list)) => break list,
                Some(PendingList::Received(mut list)) => {
                    let Some(follow_up) = self.filter_list(&mut list) else { continue };
                    if !follow_up.entries.is_empty() {
                        self.host.pending_lists.push_front(PendingList::Filtered(follow_up));
                    }
                    break list;
                }
            }
        };
        self.host.list_diff = Some(ListDiff::new(list));
        true
    }

    /// Applies a batch to the admission controller and the connection pools.
    fn apply_batch(&mut self, batch: Batch) {
        let host = &mut self.host;
        let mut list = Vec::with_capacity(batch.unavailable.len() + batch.available.len());
        for ServerChange { listed, address } in batch.unavailable.into_iter().chain(batch.available) {
            let Some(address) = address else {
                if let Some((listed, idle)) = host.servers.delist(listed.key) {
                    idle.into_iter().for_each(|id| host.close_server_connection(id, "server-gone"));
                    list.push(listed);
                }
                continue;
            };
            let started_at = host.started_at(&listed);
            let (server, stale) = host.servers.upsert_with_start(&listed, address, started_at);
            stale.into_iter().for_each(|id| host.close_server_connection(id, "server-moved"));
            list.push(DiscoveredServer { server, started_at, ..listed });
        }
        self.controller.on_server_list_deferred(host.net.now, &list);
        host.servers.remove_unused();
        self.schedule_subset_work();
    }

    /// Does this turn's share of the work on the subsets of the admission controller.
    pub(super) fn do_subset_work(&mut self) {
        self.host.subset_timer_at = None;
        self.controller.work_on_subsets(self.host.net.now, SUBSET_WORK_PER_TURN);
        self.schedule_subset_work();
    }

    /// Notes when the first list is applied and the subsets are computed.
    fn update_readiness(&mut self) {
        if !self.host.was_ready && self.host.has_list && self.controller.subset_work_due().is_none() {
            self.host.was_ready = true;
            info!(self.host.log, "ready"; "servers" => self.host.servers.by_number.len(),
                "ms" => (self.host.current_time() - self.host.process_started_at) / MS);
        }
    }

    /// Sets a timer for the next work on subsets.
    pub(super) fn schedule_subset_work(&mut self) {
        let Some(due) = self.controller.subset_work_due() else { return self.update_readiness() };
        // Timers are checked once per turn, so work that is due now is done in the next turn.
        let at = due.max(self.host.net.now + 1);
        if self.host.subset_timer_at.is_none_or(|scheduled| at < scheduled) {
            self.host.subset_timer_at = Some(at);
            self.host.timers.set(at, TimerEvent::SubsetWork);
        }
    }
}

impl AdmissionHost {
    /// The start time of a listed server, by this process's clock.
    fn started_at(&self, listed: &DiscoveredServer) -> Nanos {
        let stamp = listed.started_at;
        match self.servers.by_key(listed.key).filter(|held| held.listed_start == stamp) {
            Some(held) => held.started_at,
            None => {
                let now = self.net.now + self.elapsed_in_turn();
                start_times::started_at(stamp, now, self.has_list, start_times::is_wall_stepped(now))
            }
        }
    }

    /// Whether a received list is not fully applied yet.
    pub(super) fn is_updating_list(&self) -> bool {
        self.list_diff.is_some() || !self.pending_lists.is_empty()
    }

    /// Logs servers that get RPCs only roughly by their weights, in one line for the whole list.
    fn log_unusual_weights(&self, list: &ListUpdate) {
        let is_unusual = |entry: &&Entry| !entry.gone && !USUAL_WEIGHTS.contains(&entry.weight);
        let mut unusual = list.entries.iter().filter(is_unusual);
        if let Some(Entry { name, weight, .. }) = unusual.next() {
            warn!(self.log, "list"; "why" => "unusual-weight", "index" => list.index, "server" => &**name, "weight" => weight,
                "others" => unusual.count());
        }
    }

    /// Logs a list whose application took more than one turn.
    fn log_applied_list(&self, done: &ListDiff) {
        if done.turn_count() > 1 {
            info!(self.log, "list in force"; "index" => done.index(), "changed" => done.changed_count(), "turns" => done.turn_count(),
                "servers" => self.servers.by_number.len());
        }
    }

    /// Opens the watch after a delay that differs between gateways.
    pub(super) fn schedule_watch(&mut self) {
        let (now, stop_within) = (self.net.now, self.stop_within);
        let delay = self.watch.retry_delay(
            now,
            self.lists_are_pushed,
            self.gateway_count,
            stop_within,
            &mut self.rng,
        );
        let delay = delay.max(self.watch.invalid_list_delay(&mut self.rng));
        self.timers.set(now + delay, TimerEvent::OpenWatch);
    }

    pub(super) fn connect_watch(&mut self) {
        if self.watch_id.is_some() {
            return;
        }
        self.watch.last_received = self.net.now;
        match self.connect(self.config.discovery, Peer::Discovery, MAX_WATCH_INPUT) {
            Ok(id) => self.watch_id = Some(id),
            Err(e) => {
                warn!(self.log, "can't connect"; "to" => %self.config.discovery, "error" => %e);
                self.schedule_watch();
            }
        }
    }

    /// Discovery has moved. The old watch stays in use until the new one is answered.
    pub(super) fn move_watch(&mut self) {
        let new = self.watch.successor();
        let watch = std::mem::replace(&mut self.watch, new);
        self.watch_answered = false;
        if let Some(id) = self.watch_id.take() {
            if self.previous_watch.is_some() || !watch.head_read {
                self.close_watch(id, watch.index, "moved");
            } else {
                self.previous_watch = Some((id, watch));
            }
        }
        self.connect_watch();
    }

    pub(super) fn close_previous_watch(&mut self, why: &'static str) {
        if let Some((id, watch)) = self.previous_watch.take() {
            self.close_watch(id, watch.index, why);
        }
    }

    fn close_watch(&mut self, id: usize, index: u64, why: &'static str) {
        info!(self.log, "list"; "why" => why, "index" => index, "ms" => (self.net.now - self.net.opened_at(id)) / MS);
        self.net.close(id);
    }

    /// Keeps the list held, and opens the watch again after a delay.
    pub(super) fn watch_lost(&mut self, id: usize, why: &'static str) {
        if self.previous_watch.as_ref().is_some_and(|old| old.0 == id) {
            return self.close_previous_watch(why);
        }
        self.watch_id = None;
        self.watch_answered = false;
        self.close_watch(id, self.watch.index, why);
        self.schedule_watch();
    }
}
