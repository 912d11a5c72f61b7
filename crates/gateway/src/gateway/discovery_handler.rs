//! The gateway's side of discovery: the watch is kept up, and the module and the pools hear what it tells.

use super::*;
use crate::start_times;
use martenramp::host::DiscoveredServer;

/// The part of a subset's work that one turn does: about a quarter of a millisecond.
const SUBSET_UNITS_A_TURN: usize = 50_000;

impl Gateway {
    /// Bytes of a watch. While a list is brought into force no more is read: what comes waits at discovery's side.
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
        net.consume(id, fed.unwrap_or(0));
        if self.host.watch_on == Some(id)
            && self.host.watch.head_read
            && !std::mem::replace(&mut self.host.watching, true)
        {
            info!(self.host.log, "watching"; "index" => self.host.watch.index, "ms" => (self.host.net.now - self.host.net.opened_at(id)) / MS);
        }
        if self.host.watch_on == Some(id) && self.host.watch.head_read {
            self.host.end_old_watch("moved");
        }
        told.into_iter().for_each(|told| self.told(told));
        if let Some(why) = fed.err().or(self.host.net.connection_end(id).map(ConnectionEnd::reason)) {
            self.host.watch_broke(id, why);
        }
    }

    /// The list told by discovery, or held from before.
    pub(super) fn told(&mut self, told: ListUpdate) {
        self.host.watch.index = told.index;
        if let Some(name) = &told.first_without_service {
            warn!(self.host.log, "list"; "why" => "no-service", "index" => told.index, "server" => &**name, "entries" => told.without_service);
        }
        self.host.pending.push_back(Pending::Told(told));
        self.bring_into_force();
    }

    /// A change that was not told by the own discovery. It goes before what that told in the meantime and is yet to be
    /// judged, since it is looked at then.
    pub(super) fn list(&mut self, told: ListUpdate) {
        let pending = &mut self.host.pending;
        let told_at = pending.iter().position(|waits| matches!(waits, Pending::Told(_)));
        pending.insert(told_at.unwrap_or(pending.len()), Pending::Judged(told));
        self.bring_into_force();
    }

    /// The next batch is due, and once all is in force, what the watch said in the meantime.
    pub(super) fn go_on_with_list(&mut self) {
        self.host.goes_on = false;
        self.bring_into_force();
        if self.host.takes_list() {
            return;
        }
        let old = self.host.old_watch.as_ref().map(|old| old.0);
        for id in [old, self.host.watch_on].into_iter().flatten() {
            if !self.host.net.input(id).is_empty() || self.host.net.connection_end(id).is_some() {
                self.list_came(id);
            }
        }
    }

    /// Brings what waits into force, as far as the work of one turn goes. The first list is taken at once: without one
    /// nothing can be sent anywhere.
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
        self.host.changes.iter_mut().for_each(ListDiff::defer_to_next_turn);
        self.host.goes_on = true;
        self.host.timers.set(self.host.net.now + 1, TimerEvent::Changes);
    }

    /// Takes up the next object that waits; false if there is none. Where the fleet agrees, what is older than what is
    /// known here, or would leave nothing, changes only what it may.
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
        self.host.changes = Some(ListDiff::new(told));
        true
    }

    /// Tells the module and the pools of a batch.
    fn apply(&mut self, batch: Batch) {
        let host = &mut self.host;
        let mut list = Vec::with_capacity(batch.unavailable.len() + batch.available.len());
        for ServerChange { listed, address } in batch.unavailable.into_iter().chain(batch.available) {
            let Some(address) = address else {
                if let Some((listed, idle)) = host.servers.delist(listed.key) {
                    idle.into_iter().for_each(|id| host.end_link(id, "server-gone"));
                    list.push(listed);
                }
                continue;
            };
            let came_up = host.started_at(&listed);
            let (server, stale) = host.servers.upsert_with_start(&listed, address, came_up);
            stale.into_iter().for_each(|id| host.end_link(id, "server-moved"));
            list.push(DiscoveredServer { server, started_at: came_up, ..listed });
        }
        if host.has_list {
            self.brain.on_server_list_deferred(host.net.now, &list);
        } else {
            self.brain.on_server_list(host.net.now, false, &list);
        }
        host.servers.remove_unused();
        self.await_subsets();
    }

    /// Goes on with the module's subsets for this turn's part of the work.
    pub(super) fn work_on_subsets(&mut self) {
        self.host.subsets_awaited = None;
        self.brain.work_on_subsets(self.host.net.now, SUBSET_UNITS_A_TURN);
        self.await_subsets();
    }

    /// Sets a timer for when there is work on subsets.
    fn await_subsets(&mut self) {
        let Some(due) = self.brain.subset_work_due() else { return };
        // Timers are looked at once a turn, so what is due now is for the next one.
        let at = due.max(self.host.net.now + 1);
        if self.host.subsets_awaited.is_none_or(|awaited| at < awaited) {
            self.host.subsets_awaited = Some(at);
            self.host.timers.set(at, TimerEvent::Subsets);
        }
    }
}

impl PolicyHost {
    /// When a server started that the list names.
    fn started_at(&self, listed: &DiscoveredServer) -> Nanos {
        let stamp = listed.started_at;
        match self.servers.by_key(listed.key).filter(|held| held.listed_start == stamp) {
            Some(held) => held.started_at,
            None => {
                let now = self.net.now + self.turn_lasted();
                start_times::started_at(stamp, now, self.has_list, start_times::is_wall_stepped(now))
            }
        }
    }

    /// Whether an object of the list has come and is not yet in force.
    pub(super) fn takes_list(&self) -> bool {
        self.changes.is_some() || !self.pending.is_empty()
    }

    /// A list that took more than one turn leaves a line.
    fn log_turns(&self, done: &ListDiff) {
        if done.turn_count() > 1 {
            info!(self.log, "list in force"; "index" => done.index(), "changed" => done.changed_count(), "turns" => done.turn_count(),
                "servers" => self.servers.by_number.len());
        }
    }

    /// The watch is asked for after a rest of this gateway's own.
    pub(super) fn watch_later(&mut self) {
        let (now, told) = (self.net.now, self.stop_within);
        let rest = self.watch.retry_delay(now, self.pushed, self.fleet, told, &mut self.chance);
        let rest = rest.max(self.watch.invalid_list_delay(&mut self.chance));
        self.timers.set(now + rest, TimerEvent::Watch);
    }

    pub(super) fn dial_watch(&mut self) {
        if self.watch_on.is_some() {
            return;
        }
        self.watch.last_received = self.net.now;
        match self.connect(self.config.discovery, Peer::Discovery, LIST_INPUT) {
            Ok(id) => self.watch_on = Some(id),
            Err(e) => {
                warn!(self.log, "can't connect"; "to" => %self.config.discovery, "error" => %e);
                self.watch_later();
            }
        }
    }

    /// Discovery is elsewhere now. What the old watch tells until the new one speaks still counts.
    pub(super) fn move_watch(&mut self) {
        let new = self.watch.successor();
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
        info!(self.log, "list"; "why" => why, "index" => index, "ms" => (self.net.now - self.net.opened_at(id)) / MS);
        self.net.close(id);
    }

    /// The list held stays; the watch is asked for again after a while.
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
