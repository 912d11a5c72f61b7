//! Which server an attempt goes to.

use super::*;

impl AdmissionController {
    /// Guards against knowing nothing of any server: one of hundreds of gateways that calls out to all meets
    /// each seldom, learns too late which are slow or bad, and opens a connection for each call-out. So it
    /// draws from a part of its own, even over the fleet (see `subsetting`), or from as many more as it meets
    /// often.
    pub(super) fn candidate_count(now: Nanos, service: &Service) -> usize {
        let since = service.run_ends.front().map_or(SEC, |first| now - first).max(SEC);
        let often = service.run_ends.len() as f64 / secs(since) * secs(REVISIT_INTERVAL);
        (often.ceil() as usize).max(service.subsetter.subset_len())
    }

    pub(super) fn select_server(&mut self, now: Nanos, id: u32, most: Option<f64>) -> Option<u32> {
        let number = self.rpcs[&id].service;
        let mut service = self.services.remove(&number)?;
        let chosen = self.select_from(&mut service, now, id, most);
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
    pub(super) fn select_from(
        &mut self,
        service: &mut Service,
        now: Nanos,
        id: u32,
        most: Option<f64>,
    ) -> Option<u32> {
        let mut chance = self.rng.fork();
        let rpc = &self.rpcs[&id];
        let group = rpc
            .first_run
            .filter(|_| rpc.setting_is("idempotency", "guarded") && !rpc.setting_is("group", "all"));
        let zoned = rpc.setting_is("group", "zone");
        let in_group =
            |at: &DiscoveredServer| group.is_none_or(|(_, z, c)| at.cell == c || zoned && at.zone == z);
        let (soft, typical) = (secs(rpc.soft_timeout), self.typical_latency(now));
        let least = (9.0 / self.gateway_count()).clamp(1.0, 3.0);
        let is_cold = |id: &&u32| self.warm_share(now, &self.servers[*id].entry) < 1.0;
        service.subsetter.share(service.subsetter.shared().iter().filter(is_cold).copied().collect());
        let carries = if service.subsetter.shared().is_empty() {
            0.0
        } else {
            self.warm_rate_per_weight(now, rpc.service)
        };
        let (mut drawn, mut last_resort) = (Vec::new(), Vec::new());
        let all = service.subsetter.order();
        let part = AdmissionController::candidate_count(now, service).min(all.len());
        // Guards against a part that is down as a whole: what missed twice draws from all. Harm: connections.
        let split = if rpc.attempts >= 2 { all.len() } else { part };
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
            let (_, rate) = recent_success_rate(now, &server.results, SAMPLES_KEPT);
            let full = server.open_attempts.len() as f64 >= (URGENT_WAIT_SHARE * soft * rate).max(least);
            let last = server
                .results
                .back()
                .filter(|end| end.2 && now - end.0 < SAMPLE_LIFETIME && server.open_attempts.is_empty());
            let quick = |most| last.is_some_and(|end| secs(end.1) < most);
            let able = |most| seldom && (quick(most) || self.warm_share(now, &server.entry) < 1.0);
            if full
                || !most.is_none_or(able)
                || !in_group(&server.entry)
                || !self.has_warmup_budget(now, server, carries)
            {
                service.subsetter.passed_over(ready[place]);
                continue;
            }
            let unwell = server.is_backing_off(now, self.gateway_count()) || server.is_hanging(now, typical);
            if unwell {
                service.subsetter.passed_over(ready[place]);
            }
            if unwell { &mut last_resort } else { &mut drawn }.push(ready[place]);
        }
        let drawn = if drawn.is_empty() { last_resort } else { drawn };
        let drawn = drawn.iter().take(few).map(|id| (*id, self.expected_cost(now, *id, seldom)));
        let drawn: Vec<(u32, f64)> = drawn.collect();
        if seldom {
            return service.subsetter.pick(&drawn);
        }
        drawn.iter().min_by(|one, two| one.1.total_cmp(&two.1)).map(|least| least.0)
    }

    /// How long one more would take there, by this gateway's own counts and, where it meets servers seldom,
    /// by what they told of all others' RPCs.
    pub(super) fn expected_cost(&self, now: Nanos, id: u32, seldom: bool) -> f64 {
        let (server, typical) = (&self.servers[&id], self.typical_latency(now).max(MS) as f64);
        let ran = server.results.iter().rev().filter(|end| end.2 || end.1 as f64 > typical);
        let fresh = ran.take(8).filter(|end| now - end.0 < 4 * SAMPLE_LIFETIME).map(|end| end.1);
        // A call-out open for long tells of a hanging or paused server before any answer does.
        let oldest =
            server.open_attempts.front().map(|open| now - open.2).filter(|age| *age as f64 > 4.0 * typical);
        let took = fresh.chain(oldest).map(|took| took as f64);
        let (count, sum) = took.fold((1.0, typical), |(count, sum), took| (count + 1.0, sum + took));
        let far = if f64::from(server.entry.zone) == self.setting("zone", -1.0) { 1.0 } else { 1.1 };
        let age = now.saturating_sub(server.reported_load.0).min(SAMPLE_LIFETIME);
        let held =
            if seldom { server.reported_load.1 * (1.0 - secs(age) / secs(SAMPLE_LIFETIME)) } else { 0.0 };
        let (open, weight) = (held + server.open_attempts.len() as f64, server.entry.weight.max(0.05));
        // Guards against errors that come quickly and so look quick, where a rest is over before the next
        // meeting.
        let missed =
            server.results.iter().rev().take_while(|end| !end.2 && now - end.0 < 4 * SAMPLE_LIFETIME).count();
        let line = if seldom { open / weight + 1.0 + 2.0 * missed as f64 } else { (open + 1.0) / weight };
        line * (sum / count) * far
    }

    /// Guards against pushing over a server that has just started: until warm all gateways together send 3/4
    /// of the told multiple of its cold part, less what chance adds. Each keeps a gap, at first a random part
    /// of it, so that any number may restart, and opens no more than answers allow. Harm: idle if warm soon.
    pub(super) fn has_warmup_budget(&self, now: Nanos, server: &Server, carries: f64) -> bool {
        let own = self.warm_share(now, &server.entry);
        if own >= 1.0 || server.open_attempts.len() > server.results.iter().filter(|end| end.2).count() {
            return own >= 1.0;
        }
        let fall = self.setting("rules.fall", 1.0);
        let most =
            0.75 * self.setting("rules.fallMultiple", 1.0) * own * carries * server.entry.weight * fall;
        let budget = (most - 2.0 * most.min(self.gateway_count() / 4.0).sqrt()).max(3.0);
        secs(now.saturating_sub(server.cold_gap.0))
            >= server.cold_gap.1 * self.gateway_count() * fall / budget
    }

    /// What a warm server of the service answers all gateways a second, for each unit of weight.
    pub(super) fn warm_rate_per_weight(&self, now: Nanos, service: u32) -> f64 {
        let ready = self.ready_servers.get(&service).into_iter().flatten().map(|id| &self.servers[id]);
        let warm = |peer: &&Server| self.warm_share(now, &peer.entry) >= 1.0;
        let each =
            |peer: &Server| (recent_success_rate(now, &peer.results, SAMPLES_KEPT).1, peer.entry.weight);
        let sum = |one: (f64, f64), two: (f64, f64)| (one.0 + two.0, one.1 + two.1);
        let (rate, fleet) = ready.filter(warm).map(each).fold((0.0, 0.0), sum);
        rate * self.gateway_count() / fleet.max(0.05)
    }

    /// The part of its capacity that a server surely has by now.
    pub(super) fn warm_share(&self, now: Nanos, server: &DiscoveredServer) -> f64 {
        if server.started_at == 0 {
            return 1.0;
        }
        let within = self.setting("rules.warmWithin", 30.0).max(1e-3);
        let age = secs(now.saturating_sub(server.started_at));
        let from = self.setting("rules.coldFrom", 0.1);
        (from + (1.0 - from) * age / within).min(1.0)
    }
}
