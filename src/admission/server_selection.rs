//! Selects the server for an attempt.

use super::revisit::Usage;
use super::warm_up::WarmUp;
use super::*;

/// At most this many servers of a pool are looked at for one RPC, and at most this many cold ones are in a pool: a search among
/// thousands of servers that can't take it would hold up the event loop. The cost: with more servers, a few usable ones may be
/// missed; the search is repeated after `RECHECK_INTERVAL`.
const MAX_DRAWS: usize = 256;

/// What a server is compared with when it is drawn for an RPC.
struct Conditions {
    now: Nanos,
    soft_timeout: f64,
    typical: Nanos,
    /// A server may have this many attempts open, however slow it is.
    min_open: f64,
    /// While all servers are crowded: the longest latency that counts as fast.
    max_latency: Option<f64>,
    rarely_used: bool,
    warm_up: WarmUp,
    warm_rate: f64,
}

impl Conditions {
    /// Whether a server has room for one more attempt and may get it.
    fn can_take(&self, server: &Server) -> bool {
        let now = self.now;
        let (_, rate) = recent_success_rate(now, &server.results, SAMPLES_KEPT);
        let max_open = (URGENT_WAIT_SHARE * self.soft_timeout * rate).max(self.min_open);
        let is_full = server.open_attempts.len() as f64 >= max_open;
        let last_success = server
            .results
            .back()
            .filter(|result| result.2 && now - result.0 < SAMPLE_LIFETIME && server.open_attempts.is_empty());
        let is_fast = |limit| last_success.is_some_and(|result| secs(result.1) < limit);
        let is_cold = || self.warm_up.is_cold(now, server.entry.started_at);
        let is_usable = |limit| self.rarely_used && (is_fast(limit) || is_cold());
        !is_full
            && self.max_latency.is_none_or(is_usable)
            && self.warm_up.has_budget(now, server, self.warm_rate)
    }
}

/// The servers that were drawn for an RPC and can take it.
#[derive(Default)]
struct Drawn {
    candidates: Vec<u32>,
    /// Those that are failing or hanging.
    last_resort: Vec<u32>,
}

/// The first `split` servers of the order, and the cold ones among the others; some of these, if there are many.
fn own_pool(subsetter: &Subsetter, split: usize, rng: &mut fastrand::Rng) -> Vec<u32> {
    let (own, others) = subsetter.order().split_at(split);
    let mut pool = own.to_vec();
    if !others.is_empty() {
        let cold = sample(subsetter.shared(), rng);
        // Among so many, those that are in both parts make no difference.
        pool.extend(cold.into_iter().filter(|id| split > MAX_DRAWS || !own.contains(id)));
    }
    pool
}

/// The servers after the first `split` of the order, without the cold ones; some of these, if there are many.
fn other_pool(subsetter: &Subsetter, split: usize, rng: &mut fastrand::Rng) -> Vec<u32> {
    let others = sample(&subsetter.order()[split..], rng);
    others.into_iter().filter(|id| !subsetter.is_shared(*id)).collect()
}

/// All of these servers, or [`MAX_DRAWS`] that are drawn at random.
fn sample(ids: &[u32], rng: &mut fastrand::Rng) -> Vec<u32> {
    if ids.len() <= MAX_DRAWS {
        return ids.to_vec();
    }
    let mut drawn: Vec<u32> = (0..MAX_DRAWS).map(|_| ids[rng.usize(..ids.len())]).collect();
    drawn.sort_unstable();
    drawn.dedup();
    drawn
}

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
        let warm_up = self.warm_up();
        AdmissionController::end_warm_ups(service, now, &warm_up);
        let warm_rate = if service.subsetter.shared().is_empty() {
            0.0
        } else {
            self.warm_rate_per_weight(now, rpc.service, service, &warm_up)
        };
        let total = service.subsetter.order().len();
        let preferred = AdmissionController::candidate_count(now, service).min(total);
        // After two attempts the draw is from all servers, in case the whole subset is down. The cost is more connections.
        let split = if rpc.attempts >= 2 { total } else { preferred };
        let rarely_used = service.subsetter.has_unshared_after(preferred);
        let usage = Usage::new(rarely_used, AdmissionController::recent_rate(now, service) / total as f64);
        let draws = if rarely_used { 3 } else { 2 };
        let conditions = Conditions {
            now,
            soft_timeout: secs(rpc.soft_timeout),
            typical: self.typical_latency(now),
            min_open: (9.0 / self.gateway_count()).clamp(1.0, 3.0),
            max_latency,
            rarely_used,
            warm_up,
            warm_rate,
        };
        let own = own_pool(&service.subsetter, split, &mut rng);
        let mut drawn = self.draw(&mut service.subsetter, rpc, &conditions, own, draws, &mut rng);
        if drawn.candidates.is_empty() {
            let others = other_pool(&service.subsetter, split, &mut rng);
            let more = self.draw(&mut service.subsetter, rpc, &conditions, others, 1, &mut rng);
            drawn.candidates = more.candidates;
            drawn.last_resort.extend(more.last_resort);
        }
        let candidates = if drawn.candidates.is_empty() { drawn.last_resort } else { drawn.candidates };
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

    /// Draws servers from a pool until `wanted` of them are healthy and can take the RPC.
    fn draw(
        &self,
        subsetter: &mut Subsetter,
        rpc: &Rpc,
        conditions: &Conditions,
        mut pool: Vec<u32>,
        wanted: usize,
        rng: &mut fastrand::Rng,
    ) -> Drawn {
        let mut drawn = Drawn::default();
        for index in 0..pool.len().min(MAX_DRAWS) {
            if drawn.candidates.len() == wanted {
                break;
            }
            let drawn_index = rng.usize(index..pool.len());
            pool.swap(index, drawn_index);
            let (id, server) = (pool[index], &self.servers[&pool[index]]);
            if !conditions.can_take(server) || !rpc.may_run_at(&server.entry) {
                subsetter.skip_turn(id);
                continue;
            }
            let is_unhealthy = server.is_backing_off(conditions.now, self.gateway_count())
                || server.is_hanging(conditions.now, conditions.typical);
            if is_unhealthy {
                subsetter.skip_turn(id);
                drawn.last_resort.push(id);
            } else {
                drawn.candidates.push(id);
            }
        }
        drawn
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
}
