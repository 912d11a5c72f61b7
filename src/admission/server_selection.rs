//! Selects the server for an attempt.

use super::revisit::Usage;
use super::*;

impl AdmissionController {
    /// The number of servers to choose from, in the order of the subsetter: this gateway's subset, or more of them if its
    /// traffic is enough to use that many often.
    ///
    /// One of hundreds of gateways that sent to every server would use each of them rarely, learn too late which are slow or
    /// faulty, and open a connection for each attempt. The subsets are spread evenly over the fleet (see `subsetting`).
    pub(super) fn candidate_count(now: Nanos, service: &Service) -> usize {
        let used_often = AdmissionController::recent_rate(now, service) * secs(REVISIT_INTERVAL);
        (used_often.ceil() as usize).max(service.subsetter.subset_len())
    }

    /// The rate a second at which attempts at servers of the service that may have run ended recently.
    fn recent_rate(now: Nanos, service: &Service) -> f64 {
        let since = service.run_ends.front().map_or(SEC, |first| now - first).max(SEC);
        service.run_ends.len() as f64 / secs(since)
    }

    /// Selects a server of the RPC's service, if any can take it; see `select_from`.
    pub(super) fn select_server(&mut self, now: Nanos, id: u32, max_latency: Option<f64>) -> Option<u32> {
        let number = self.rpcs[&id].service;
        let mut service = self.services.remove(&number)?;
        let selected = self.select_from(&mut service, now, id, max_latency);
        self.services.insert(number, service);
        selected
    }

    /// Draws a few servers at random and selects the one with the lowest expected cost.
    ///
    /// Servers that can't take the RPC are skipped in the draw, so that a healthy fleet costs two looks whatever its size. The
    /// draw is from this gateway's subset and the cold servers, whose budget is shared by all gateways, and from the other
    /// servers only if none of these is usable. Where this gateway uses servers rarely, they take turns.
    ///
    /// While all servers are crowded, `max_latency` is the longest latency that counts as fast. An RPC is then sent only where
    /// servers are used rarely, and only to a server that has just answered fast or is cold and has budget left. This keeps a
    /// few slow servers, met by chance, from stopping a gateway that gets few answers. The cost: a server that was fast may be
    /// full by now.
    pub(super) fn select_from(
        &mut self,
        service: &mut Service,
        now: Nanos,
        id: u32,
        max_latency: Option<f64>,
    ) -> Option<u32> {
        let mut rng = self.rng.fork();
        let rpc = &self.rpcs[&id];
        let (soft_timeout, typical) = (secs(rpc.soft_timeout), self.typical_latency(now));
        let min_open = (9.0 / self.gateway_count()).clamp(1.0, 3.0);
        let is_cold = |id: &&u32| self.warm_share(now, &self.servers[*id].entry) < 1.0;
        service.subsetter.set_shared(service.subsetter.shared().iter().filter(is_cold).copied().collect());
        let warm_rate = if service.subsetter.shared().is_empty() {
            0.0
        } else {
            self.warm_rate_per_weight(now, rpc.service)
        };
        let (mut candidates, mut last_resort) = (Vec::new(), Vec::new());
        let all = service.subsetter.order();
        let preferred = AdmissionController::candidate_count(now, service).min(all.len());
        // After two attempts the draw is from all servers, in case the whole subset is down. The cost is more connections.
        let split = if rpc.attempts >= 2 { all.len() } else { preferred };
        let cold_others = service.subsetter.shared().iter().filter(|id| !all[..split].contains(id));
        let mut ready: Vec<u32> = all[..split].iter().chain(cold_others).copied().collect();
        let rarely_used = all[preferred..].iter().any(|id| !service.subsetter.is_shared(*id));
        let (own_count, total) = (ready.len(), all.len());
        let usage = Usage::new(rarely_used, AdmissionController::recent_rate(now, service) / total as f64);
        let draws = if rarely_used { 3 } else { 2 };
        for index in 0..total {
            if candidates.len() == draws || index >= own_count && !candidates.is_empty() {
                break;
            }
            if index == own_count {
                let others = &service.subsetter.order()[split..];
                ready.extend(others.iter().filter(|id| !service.subsetter.is_shared(**id)));
            }
            if index == ready.len() {
                break;
            }
            let end = if index < own_count { own_count } else { ready.len() };
            ready.swap(index, rng.usize(index..end));
            let server = &self.servers[&ready[index]];
            let (_, rate) = recent_success_rate(now, &server.results, SAMPLES_KEPT);
            let full =
                server.open_attempts.len() as f64 >= (URGENT_WAIT_SHARE * soft_timeout * rate).max(min_open);
            let last_success = server.results.back().filter(|result| {
                result.2 && now - result.0 < SAMPLE_LIFETIME && server.open_attempts.is_empty()
            });
            let is_fast = |limit| last_success.is_some_and(|result| secs(result.1) < limit);
            let usable = |limit| rarely_used && (is_fast(limit) || self.warm_share(now, &server.entry) < 1.0);
            if full
                || !max_latency.is_none_or(usable)
                || !rpc.may_run_at(&server.entry)
                || !self.has_warmup_budget(now, server, warm_rate)
            {
                service.subsetter.skip_turn(ready[index]);
                continue;
            }
            let is_unhealthy =
                server.is_backing_off(now, self.gateway_count()) || server.is_hanging(now, typical);
            if is_unhealthy {
                service.subsetter.skip_turn(ready[index]);
            }
            if is_unhealthy { &mut last_resort } else { &mut candidates }.push(ready[index]);
        }
        let candidates = if candidates.is_empty() { last_resort } else { candidates };
        let candidates = candidates.iter().take(draws).map(|id| (*id, self.expected_cost(now, *id, usage)));
        let candidates: Vec<(u32, f64)> = candidates.collect();
        let selected = if rarely_used {
            service.subsetter.pick(&candidates)
        } else {
            candidates.iter().min_by(|a, b| a.1.total_cmp(&b.1)).map(|cheapest| cheapest.0)
        };
        self.forget_old_results(now, selected?, usage);
        selected
    }

    /// If the server is revisited after a long idle time, its estimate starts anew with the result of this attempt.
    fn forget_old_results(&mut self, now: Nanos, id: u32, usage: Usage) {
        if self.is_revisit_due(now, &self.servers[&id], usage) {
            self.servers.entry(id).and_modify(|server| server.estimate_from = now);
        }
    }

    /// The expected time of one more attempt at a server, from this gateway's own measurements and, where it uses servers
    /// rarely, from the load that the server reported for all gateways.
    pub(super) fn expected_cost(&self, now: Nanos, id: u32, usage: Usage) -> f64 {
        let server = &self.servers[&id];
        let typical = match self.typical_latency(now) {
            0 => MS as f64, // not known
            typical => typical as f64,
        };
        let counts_from = if self.is_revisit_due(now, server, usage) { now } else { server.estimate_from };
        let counts = |result: &&(Nanos, Nanos, bool)| {
            result.0 >= counts_from && now - result.0 < revisit::MAX_INTERVAL
        };
        let relevant = server.results.iter().rev().filter(|result| result.2 || result.1 as f64 > typical);
        let recent = relevant.take(8).filter(counts).map(|result| result.1);
        // An attempt that has been open for long reveals a hanging or paused server before any answer does.
        let oldest =
            server.open_attempts.front().map(|open| now - open.2).filter(|age| *age as f64 > 4.0 * typical);
        let durations = recent.chain(oldest).map(|duration| duration as f64);
        let (count, sum) =
            durations.fold((1.0, typical), |(count, sum), duration| (count + 1.0, sum + duration));
        let distance = if f64::from(server.entry.zone) == self.setting("zone", -1.0) { 1.0 } else { 1.1 };
        let age = now.saturating_sub(server.reported_load.0).min(SAMPLE_LIFETIME);
        let reported = if usage.rarely {
            server.reported_load.1 * (1.0 - secs(age) / secs(SAMPLE_LIFETIME))
        } else {
            0.0
        };
        let (open, weight) = (reported + server.open_attempts.len() as f64, server.entry.weight.max(0.05));
        // Each recent failure adds to the cost. A server that fails fast would otherwise look fast where its backoff is over
        // before this gateway uses it again.
        let failures = server.results.iter().rev().take_while(|result| !result.2 && counts(result)).count();
        let queue =
            if usage.rarely { open / weight + 1.0 + 2.0 * failures as f64 } else { (open + 1.0) / weight };
        queue * (sum / count) * distance
    }

    /// Whether a server that may still be cold can take one more attempt now, so that the fleet does not overload a server that
    /// has just started.
    ///
    /// Until the server is warm, all gateways together send it 3/4 of the configured multiple of its cold capacity, less an
    /// allowance for random variation. Each gateway keeps a gap between its attempts. The first gap is a random fraction of
    /// it, so that any number of gateways may restart at once. A gateway also opens no more attempts than the server has
    /// answered. The cost: a server that warms up sooner is underused.
    pub(super) fn has_warmup_budget(&self, now: Nanos, server: &Server, warm_rate: f64) -> bool {
        let warm_share = self.warm_share(now, &server.entry);
        if warm_share >= 1.0
            || server.open_attempts.len() > server.results.iter().filter(|result| result.2).count()
        {
            return warm_share >= 1.0;
        }
        let period = self.setting("rules.fall", 1.0);
        let limit = 0.75
            * self.setting("rules.fallMultiple", 1.0)
            * warm_share
            * warm_rate
            * server.entry.weight
            * period;
        let budget = (limit - 2.0 * limit.min(self.gateway_count() / 4.0).sqrt()).max(3.0);
        secs(now.saturating_sub(server.cold_gap.0))
            >= server.cold_gap.1 * self.gateway_count() * period / budget
    }

    /// The rate a second at which a warm server of the service answers all gateways together, for each unit of weight.
    pub(super) fn warm_rate_per_weight(&self, now: Nanos, service: u32) -> f64 {
        let ready = self.ready_servers.get(&service).into_iter().flatten().map(|id| &self.servers[id]);
        let is_warm = |peer: &&Server| self.warm_share(now, &peer.entry) >= 1.0;
        let rate_and_weight =
            |peer: &Server| (recent_success_rate(now, &peer.results, SAMPLES_KEPT).1, peer.entry.weight);
        let sum = |a: (f64, f64), b: (f64, f64)| (a.0 + b.0, a.1 + b.1);
        let (rate, weight) = ready.filter(is_warm).map(rate_and_weight).fold((0.0, 0.0), sum);
        rate * self.gateway_count() / weight.max(0.05)
    }

    /// The share of its full capacity that a server is guaranteed to have by now. It grows linearly after the start.
    pub(super) fn warm_share(&self, now: Nanos, server: &DiscoveredServer) -> f64 {
        if server.started_at == 0 {
            return 1.0;
        }
        let warm_up_time = self.setting("rules.warmWithin", 30.0).max(1e-3);
        let age = secs(now.saturating_sub(server.started_at));
        let initial = self.setting("rules.coldFrom", 0.1);
        (initial + (1.0 - initial) * age / warm_up_time).min(1.0)
    }
}
