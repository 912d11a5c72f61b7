//! The gateway's side of discovery: the watch is kept up, and the module and the pools hear what it tells.

use super::*;

impl Gateway {
    pub(super) fn list_came(&mut self, id: usize) {
        let mut told = Vec::new();
        let Desk { net, watch, old_watch, .. } = &mut self.desk;
        let watch = match old_watch {
            Some((old, watch)) if *old == id => watch,
            _ => watch,
        };
        let fed = watch.feed(net.now, net.input(id), &mut told);
        net.used(id, fed.unwrap_or(0));
        if self.desk.watch_on == Some(id)
            && self.desk.watch.head_read
            && !std::mem::replace(&mut self.desk.watching, true)
        {
            info!(self.desk.log, "watching"; "index" => self.desk.watch.index, "ms" => (self.desk.net.now - self.desk.net.since(id)) / MS);
        }
        if self.desk.watch_on == Some(id) && self.desk.watch.head_read {
            self.desk.end_old_watch("moved");
        }
        told.into_iter().for_each(|told| self.told(told));
        if let Some(why) = fed.err().or(self.desk.net.ended(id).map(Ending::reason)) {
            self.desk.watch_broke(id, why);
        }
    }

    /// The list told by discovery, or held from before. Where the fleet agrees, what is older than what is known here, or
    /// would leave nothing, changes only what it may.
    pub(super) fn told(&mut self, mut told: Told) {
        self.desk.watch.index = told.index;
        if let Some(more) = self.judge_list(&mut told) {
            self.list(told);
            if !more.entries.is_empty() {
                self.list(more);
            }
        }
    }

    pub(super) fn list(&mut self, told: Told) {
        let desk = &mut self.desk;
        let place = |names: &[String], name: &str| names.iter().position(|known| known == name);
        // Zones beyond those that the settings name are told apart all the same.
        for entry in told.entries.iter().filter(|entry| !entry.gone) {
            if place(&desk.zones, &entry.zone).is_none() && desk.zones.len() < ZONES_MOST {
                desk.zones.push(entry.zone.clone());
            }
        }
        if told.whole {
            desk.servers.by_number.values_mut().for_each(|server| server.listed = false);
        }
        let mut list = Vec::new();
        for entry in &told.entries {
            let came_up = entry.since_ms.saturating_mul(MS);
            let number = if entry.gone {
                let Some(number) = desk.servers.known(&entry.name) else { continue };
                desk.servers.by_number.entry(number).and_modify(|server| server.listed = false);
                number
            } else {
                let (number, stale) = desk.servers.list(&entry.name, entry.address, came_up, entry.ready);
                stale.into_iter().for_each(|id| desk.end_link(id, "server-moved"));
                number
            };
            list.push(Listed {
                server: number,
                key: martenramp::spread::key(&entry.name),
                zone: place(&desk.zones, &entry.zone).map_or(u16::MAX, |at| at as u16),
                kind: place(&desk.kinds, &entry.kind).map_or(u8::MAX, |at| at as u8),
                cell: entry.cell,
                ready: entry.ready,
                weight: entry.weight,
                came_up,
            });
        }
        self.brain.listed(desk.net.now, told.whole, &list);
        desk.has_list = true;
        let gone = desk.servers.by_number.values_mut().filter(|server| !server.listed);
        let idle: Vec<usize> =
            gone.flat_map(|server| std::mem::take(&mut server.idle)).map(|idle| idle.0).collect();
        idle.into_iter().for_each(|id| desk.end_link(id, "server-gone"));
        desk.servers.forget();
    }
}

impl Desk {
    /// The watch is asked for after a rest of this gateway's own.
    pub(super) fn watch_later(&mut self) {
        let (now, told) = (self.net.now, self.stop_within);
        let rest = self.watch.again(now, self.pushed, self.fleet, told, &mut self.chance);
        self.timers.set(now + rest, What::Watch);
    }

    pub(super) fn dial_watch(&mut self) {
        if self.watch_on.is_some() {
            return;
        }
        self.watch.heard = self.net.now;
        match self.connect(self.config.discovery, Peer::List, OTHER_INPUT) {
            Ok(id) => self.watch_on = Some(id),
            Err(e) => {
                warn!(self.log, "can't connect"; "to" => %self.config.discovery, "error" => %e);
                self.watch_later();
            }
        }
    }

    /// Discovery is elsewhere now. What the old watch tells until the new one speaks still counts.
    pub(super) fn move_watch(&mut self) {
        let new = Watch::new(self.watch.index, self.watch.object_most);
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
