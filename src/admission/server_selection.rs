//! Which server an attempt goes to.

use super::*;

impl AdmissionController {
    /// Guards against knowing nothing of any server: one of hundreds of gateways that calls out to all meets
    /// each seldom, learns too late which are slow or bad, and opens a connection for each call-out. So it
    /// draws from a part of its own, even over the fleet (see `subsetting`), or from as many more as it meets
    /// often.
    pub(super) fn drawn_from(now: Nanos, service: &Service) -> usize {
        let since = service.ends.front().map_or(SEC, |first| now - first).max(SEC);
        let often = service.ends.len() as f64 / secs(since) * secs(MEET);
        (often.ceil() as usize).max(service.subsetter.subset_len())
    }

    pub(super) fn choose(&mut self, now: Nanos, id: u32, most: Option<f64>) -> Option<u32> {
        let number = self.rpcs[&id].service;
        let mut service = self.services.remove(&number)?;
        let chosen = self.choose_of(&mut service, now, id, most);
        self.services.insert(number, service);
        chosen
    }

    /// A few drawn at random, the one that this gateway's own counts favour is taken. What can't take it is
    /// passed over in the draw, so that a fleet in health costs two looks, whatever its size. Drawn are its
    /// part and the cold, whose budget all share, the others if none is able; where servers are met seldom,
    /// by turns. While all are crowded (`most` is the time that counts as quick), it calls out only where it
    /// meets servers seldom, and there to one that answered quickly just now or has room while cold. Guards
    /// against a few slow servers met by chance that stop a gateway with few answers. Harm: what was quick
    /// may be full by now.
    pub(super) fn choose_of(
        &mut self,
        service: &mut Service,
        now: Nanos,
        id: u32,
        most: Option<f64>,
    ) -> Option<u32> {
        let mut chance = self.chance.fork();
        let rpc = &self.rpcs[&id];
        let group = rpc.ran.filter(|_| rpc.is("idempotency", "guarded") && !rpc.is("group", "all"));
        let zoned = rpc.is("group", "zone");
        let in_group =
            |at: &DiscoveredServer| group.is_none_or(|(_, z, c)| at.cell == c || zoned && at.zone == z);
        let (soft, typical) = (secs(rpc.soft), self.typical(now));
        let least = (9.0 / self.gateways()).clamp(1.0, 3.0);
        let is_cold = |id: &&u32| self.warmth(now, &self.servers[*id].listed) < 1.0;
        service.subsetter.set_shared(service.subsetter.shared().iter().filter(is_cold).copied().collect());
        let carries =
            if service.subsetter.shared().is_empty() { 0.0 } else { self.carries(now, rpc.service) };
        let (mut drawn, mut last_resort) = (Vec::new(), Vec::new());
        let all = service.subsetter.order();
        let part = AdmissionController::drawn_from(now, service).min(all.len());
        // Guards against a part that is down as a whole: what missed twice draws from all. Harm: connections.
        let split = if rpc.tries >= 2 { all.len() } else { part };
        let cold_others = service.subsetter.shared().iter().filter(|id| !all[..split].contains(id));
        let mut ready: Vec<u32> = all[..split].iter().chain(cold_others).copied().collect();
        let seldom = all[part..].iter().any(|id| !service.subsetter.is_shared(*id));
        let (own, all) = (ready.len(), all.len());
        let few = if seldom { 3 } else { 2 };
        for place in 0..all {
            if drawn.len() == few || place >= own && !drawn.is_empty() {
                break;
            }
            if place == own {
                let others = &service.subsetter.order()[split..];
                ready.extend(others.iter().filter(|id| !service.subsetter.is_shared(**id)));
            }
            if place == ready.len() {
                break;
            }
            let upto = if place < own { own } else { ready.len() };
            ready.swap(place, chance.usize(place..upto));
            let server = &self.servers[&ready[place]];
            let (_, rate) = answered(now, &server.ends, KEPT);
            let full = server.open.len() as f64 >= (URGENT_SHARE * soft * rate).max(least);
            let last =
                server.ends.back().filter(|end| end.2 && now - end.0 < FRESH && server.open.is_empty());
            let quick = |most| last.is_some_and(|end| secs(end.1) < most);
            let able = |most| seldom && (quick(most) || self.warmth(now, &server.listed) < 1.0);
            if full
                || !most.is_none_or(able)
                || !in_group(&server.listed)
                || !self.cold_room(now, server, carries)
            {
                service.subsetter.skip_turn(ready[place]);
                continue;
            }
            let unwell = server.rests(now, self.gateways()) || server.hangs(now, typical);
            if unwell {
                service.subsetter.skip_turn(ready[place]);
            }
            if unwell { &mut last_resort } else { &mut drawn }.push(ready[place]);
        }
        let drawn = if drawn.is_empty() { last_resort } else { drawn };
        let drawn = drawn.iter().take(few).map(|id| (*id, self.burden(now, *id, seldom)));
        let drawn: Vec<(u32, f64)> = drawn.collect();
        if seldom {
            return service.subsetter.pick(&drawn);
        }
        drawn.iter().min_by(|one, two| one.1.total_cmp(&two.1)).map(|least| least.0)
    }

    /// How long one more would take there, by this gateway's own counts and, where it meets servers seldom,
    /// by what they told of all others' RPCs.
    pub(super) fn burden(&self, now: Nanos, id: u32, seldom: bool) -> f64 {
        let (server, typical) = (&self.servers[&id], self.typical(now).max(MS) as f64);
        let ran = server.ends.iter().rev().filter(|end| end.2 || end.1 as f64 > typical);
        let fresh = ran.take(8).filter(|end| now - end.0 < 4 * FRESH).map(|end| end.1);
        // A call-out open for long tells of a hanging or paused server before any answer does.
        let oldest = server.open.front().map(|open| now - open.2).filter(|age| *age as f64 > 4.0 * typical);
        let took = fresh.chain(oldest).map(|took| took as f64);
        let (count, sum) = took.fold((1.0, typical), |(count, sum), took| (count + 1.0, sum + took));
        let far = if f64::from(server.listed.zone) == self.setting("zone", -1.0) { 1.0 } else { 1.1 };
        let age = now.saturating_sub(server.held.0).min(FRESH);
        let held = if seldom { server.held.1 * (1.0 - secs(age) / secs(FRESH)) } else { 0.0 };
        let (open, weight) = (held + server.open.len() as f64, server.listed.weight.max(0.05));
        // Guards against errors that come quickly and so look quick, where a rest is over before the next
        // meeting.
        let missed = server.ends.iter().rev().take_while(|end| !end.2 && now - end.0 < 4 * FRESH).count();
        let line = if seldom { open / weight + 1.0 + 2.0 * missed as f64 } else { (open + 1.0) / weight };
        line * (sum / count) * far
    }

    /// Guards against pushing over a server that has just started: until warm all gateways together send 3/4
    /// of the told multiple of its cold part, less what chance adds. Each keeps a gap, at first a random part
    /// of it, so that any number may restart, and opens no more than answers allow. Harm: idle if warm soon.
    pub(super) fn cold_room(&self, now: Nanos, server: &Server, carries: f64) -> bool {
        let own = self.warmth(now, &server.listed);
        if own >= 1.0 || server.open.len() > server.ends.iter().filter(|end| end.2).count() {
            return own >= 1.0;
        }
        let fall = self.setting("rules.fall", 1.0);
        let most =
            0.75 * self.setting("rules.fallMultiple", 1.0) * own * carries * server.listed.weight * fall;
        let budget = (most - 2.0 * most.min(self.gateways() / 4.0).sqrt()).max(3.0);
        secs(now.saturating_sub(server.cold.0)) >= server.cold.1 * self.gateways() * fall / budget
    }

    /// What a warm server of the service answers all gateways a second, for each unit of weight.
    pub(super) fn carries(&self, now: Nanos, service: u32) -> f64 {
        let ready = self.ready.get(&service).into_iter().flatten().map(|id| &self.servers[id]);
        let warm = |peer: &&Server| self.warmth(now, &peer.listed) >= 1.0;
        let each = |peer: &Server| (answered(now, &peer.ends, KEPT).1, peer.listed.weight);
        let sum = |one: (f64, f64), two: (f64, f64)| (one.0 + two.0, one.1 + two.1);
        let (rate, fleet) = ready.filter(warm).map(each).fold((0.0, 0.0), sum);
        rate * self.gateways() / fleet.max(0.05)
    }

    /// The part of its capacity that a server surely has by now.
    pub(super) fn warmth(&self, now: Nanos, server: &DiscoveredServer) -> f64 {
        if server.started_at == 0 {
            return 1.0;
        }
        let within = self.setting("rules.warmWithin", 30.0).max(1e-3);
        let age = secs(now.saturating_sub(server.started_at));
        let from = self.setting("rules.coldFrom", 0.1);
        (from + (1.0 - from) * age / within).min(1.0)
    }
}
