//! Handles discovery: keeps the watch open, and applies its lists to the module and the connection
//! pools.

use super::*;
use crate::start_times;
use martenramp::host::Listed;

/// Work on subsets per turn: about a quarter of a millisecond.
const SUBSET_UNITS_A_TURN: usize = 50_000;

impl Gateway {
    /// Reads from a watch. While a list is being applied nothing more is read, and further data
    /// waits at discovery.
    pub(super) fn list_came(&mut self, id: usize) {
        if self.host.takes_list() {
            return;
        }
        let mut told = Vec::new();
        let PolicyHost { net, watch, old_watch, .. } = &mut self.host;
        let watch = match old_watch {
            Some((old, watch)) if *old == id => watch,
            _ => watch,
        };
        let fed = watch.feed(net.now, net.input(id), &mut told);
        net.used(id, fed.unwrap_or(0));
        if self.host.watch_on == Some(id)
            && self.host.watch.head_read
            && !std::mem::replace(&mut self.host.watching, true)
        {
            info!(self.host.log, "watching"; "index" => self.host.watch.index, "ms" => (self.host.net.now - self.host.net.since(id)) / MS);
        }
        if self.host.watch_on == Some(id) && self.host.watch.head_read {
            self.host.end_old_watch("moved");
        }
        told.into_iter().for_each(|told| self.told(told));
        if let Some(why) = fed.err().or(self.host.net.ended(id).map(Ending::reason)) {
            self.host.watch_broke(id, why);
        }
    }

    /// Receives a list from discovery, or the one stored from an earlier run.
    pub(super) fn told(&mut self, told: Told) {
        self.host.watch.index = told.index;
        if let Some(name) = &told.first_untold {
            warn!(self.host.log, "list"; "why" => "no-service", "index" => told.index, "server" => &**name, "entries" => told.untold);
        }
        self.host.pending.push_back(Pending::Told(told));
        self.bring_into_force();
    }

    /// Queues a change that did not come from this gateway's own discovery. It is placed before the
    /// received lists that are not filtered yet, since filtering them takes it into account.
    pub(super) fn list(&mut self, told: Told) {
        let pending = &mut self.host.pending;
        let told_at = pending.iter().position(|waits| matches!(waits, Pending::Told(_)));
        pending.insert(told_at.unwrap_or(pending.len()), Pending::Judged(told));
        self.bring_into_force();
    }

    /// Applies the next batch, and once the update is complete, reads what the watch received in
    /// the meantime.
    pub(super) fn go_on_with_list(&mut self) {
        self.host.goes_on = false;
        self.bring_into_force();
        if self.host.takes_list() {
            return;
        }
        let old = self.host.old_watch.as_ref().map(|old| old.0);
        for id in [old, self.host.watch_on].into_iter().flatten() {
            if !self.host.net.input(id).is_empty() || self.host.net.ended(id).is_some() {
                self.list_came(id);
            }
        }
    }

    /// Applies pending lists, as far as the work limit of one turn allows. The first list is
    /// applied at once: without a list nothing can be sent to any server.
    fn bring_into_force(&mut self) {
        if self.host.goes_on {
            return;
        }
        let mut work = if self.host.has_list { WORK_PER_TURN } else { usize::MAX };
        loop {
            if self.host.changes.is_none() && !self.begin_changes() {
                return;
            }
            let PolicyHost { changes, servers, directory, .. } = &mut self.host;
            let Some(at_hand) = changes else { return };
            let Some(batch) = at_hand.next_batch(servers, directory, &mut work) else { break };
            let done = at_hand.is_done().then(|| self.host.changes.take()).flatten();
            self.apply(batch);
            if let Some(done) = done {
                self.host.has_list = true;
                self.host.log_turns(&done);
            }
        }
        self.host.changes.iter_mut().for_each(ListUpdate::defer_to_next_turn);
        self.host.goes_on = true;
        self.host.timers.set(self.host.net.now + 1, TimerEvent::Changes);
    }

    /// Starts the next pending update; false if there is none. Where gateways agree on lists, a
    /// list that is older than what is known here, or that would leave no servers, is only applied
    /// in part.
    fn begin_changes(&mut self) -> bool {
        let told = loop {
            match self.host.pending.pop_front() {
                None => return false,
                Some(Pending::Judged(told)) => break told,
                Some(Pending::Told(mut told)) => {
                    let Some(more) = self.judge_list(&mut told) else { continue };
                    if !more.entries.is_empty() {
                        self.host.pending.push_front(Pending::Judged(more));
                    }
                    break told;
                }
            }
        };
        self.host.changes = Some(ListUpdate::new(told));
        true
    }

    /// Applies a batch to the module and the connection pools.
    fn apply(&mut self, batch: Batch) {
        let host = &mut self.host;
        let mut list = Vec::with_capacity(batch.unavailable.len() + batch.available.len());
        for ServerChange { listed, address } in batch.unavailable.into_iter().chain(batch.available) {
            let Some(address) = address else {
                if let Some((listed, idle)) = host.servers.take_off(listed.key) {
                    idle.into_iter().for_each(|id| host.end_link(id, "server-gone"));
                    list.push(listed);
                }
                continue;
            };
            let came_up = host.started_at(&listed);
            let (server, stale) = host.servers.list_started(&listed, address, came_up);
            stale.into_iter().for_each(|id| host.end_link(id, "server-moved"));
            list.push(Listed { server, came_up, ..listed });
        }
        if host.has_list {
            self.brain.listed_in_steps(host.net.now, &list);
        } else {
            self.brain.listed(host.net.now, false, &list);
        }
        host.servers.forget();
        self.await_subsets();
    }

    /// Does this turn's share of the work on the subsets of the module.
    pub(super) fn work_on_subsets(&mut self) {
        self.host.subsets_awaited = None;
        self.brain.work_on_subsets(self.host.net.now, SUBSET_UNITS_A_TURN);
        self.await_subsets();
    }

    /// Sets a timer for the next work on subsets.
    fn await_subsets(&mut self) {
        let Some(due) = self.brain.subsets_due() else { return };
        // Timers are checked once per turn, so work that is due now is done in the next turn.
        let at = due.max(self.host.net.now + 1);
        if self.host.subsets_awaited.is_none_or(|awaited| at < awaited) {
            self.host.subsets_awaited = Some(at);
            self.host.timers.set(at, TimerEvent::Subsets);
        }
    }
}

impl PolicyHost {
    /// The start time of a listed server, by this process's clock.
    fn started_at(&self, listed: &Listed) -> Nanos {
        let stamp = listed.came_up;
        match self.servers.held(listed.key).filter(|held| held.stamp == stamp) {
            Some(held) => held.came_up,
            None => {
                let now = self.net.now + self.turn_lasted();
                start_times::started_at(stamp, now, self.has_list, start_times::is_wall_stepped(now))
            }
        }
    }

    /// Whether a received list is not fully applied yet.
    pub(super) fn takes_list(&self) -> bool {
        self.changes.is_some() || !self.pending.is_empty()
    }

    /// Logs a list whose application took more than one turn.
    fn log_turns(&self, done: &ListUpdate) {
        if done.turn_count() > 1 {
            info!(self.log, "list in force"; "index" => done.index(), "changed" => done.changed_count(), "turns" => done.turn_count(),
                "servers" => self.servers.by_number.len());
        }
    }

    /// Opens the watch after a delay that differs between gateways.
    pub(super) fn watch_later(&mut self) {
        let (now, told) = (self.net.now, self.stop_within);
        let rest = self.watch.again(now, self.pushed, self.fleet, told, &mut self.chance);
        let rest = rest.max(self.watch.rest_untaken(&mut self.chance));
        self.timers.set(now + rest, TimerEvent::Watch);
    }

    pub(super) fn dial_watch(&mut self) {
        if self.watch_on.is_some() {
            return;
        }
        self.watch.heard = self.net.now;
        match self.connect(self.config.discovery, Peer::List, LIST_INPUT) {
            Ok(id) => self.watch_on = Some(id),
            Err(e) => {
                warn!(self.log, "can't connect"; "to" => %self.config.discovery, "error" => %e);
                self.watch_later();
            }
        }
    }

    /// Discovery has moved. The old watch stays in use until the new one is answered.
    pub(super) fn move_watch(&mut self) {
        let new = self.watch.anew();
        let watch = std::mem::replace(&mut self.watch, new);
        self.watching = false;
        if let Some(id) = self.watch_on.take() {
            if self.old_watch.is_some() || !watch.head_read {
                self.end_watch(id, watch.index, "moved");
            } else {
                self.old_watch = Some((id, watch));
            }
        }
        self.dial_watch();
    }

    pub(super) fn end_old_watch(&mut self, why: &'static str) {
        if let Some((id, watch)) = self.old_watch.take() {
            self.end_watch(id, watch.index, why);
        }
    }

    fn end_watch(&mut self, id: usize, index: u64, why: &'static str) {
        info!(self.log, "list"; "why" => why, "index" => index, "ms" => (self.net.now - self.net.since(id)) / MS);
        self.net.close(id);
    }

    /// Keeps the list held, and opens the watch again after a delay.
    pub(super) fn watch_broke(&mut self, id: usize, why: &'static str) {
        if self.old_watch.as_ref().is_some_and(|old| old.0 == id) {
            return self.end_old_watch(why);
        }
        self.watch_on = None;
        self.watching = false;
        self.end_watch(id, self.watch.index, why);
        self.watch_later();
    }
}
