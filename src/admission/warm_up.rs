//! Slow start: servers that have just started take less than their full share until they are warm.
//!
//! Nothing here looks at all servers for one RPC or one change of the list, or a list of thousands of cold servers would hold
//! up the event loop.

use super::*;

/// The rate of warm servers is computed again after this long for each ready server, so that it takes the same part of a core
/// whatever their number is.
const WARM_RATE_INTERVAL_PER_SERVER: Nanos = 100_000;

/// The settings of slow start, read once for a decision that looks at many servers.
pub(super) struct WarmUp {
    /// The share of its capacity that a server starts with, and the seconds until it has all of it.
    initial_share: f64,
    duration: f64,
    /// A cold server that gets more than this multiple of its capacity for this many seconds falls.
    overload_factor: f64,
    overload_period: f64,
    gateways: f64,
}

impl WarmUp {
    /// The share of its full capacity that a server is guaranteed to have by now. It grows linearly after the start.
    pub(super) fn share(&self, now: Nanos, started_at: Nanos) -> f64 {
        if started_at == 0 {
            return 1.0;
        }
        let age = secs(now.saturating_sub(started_at));
        (self.initial_share + (1.0 - self.initial_share) * age / self.duration).min(1.0)
    }

    /// Whether a server that started at this time may still be cold.
    pub(super) fn is_cold(&self, now: Nanos, started_at: Nanos) -> bool {
        self.share(now, started_at) < 1.0
    }

    /// Whether a server that may still be cold can take one more attempt now, so that the fleet does not overload a server that
    /// has just started.
    ///
    /// Until the server is warm, all gateways together send it 3/4 of the configured multiple of its cold capacity, less an
    /// allowance for random variation. Each gateway keeps a gap between its attempts. The first gap is a random fraction of
    /// it, so that any number of gateways may restart at once. A gateway also opens no more attempts than the server has
    /// answered. The cost: a server that warms up sooner is underused.
    pub(super) fn has_budget(&self, now: Nanos, server: &Server, warm_rate: f64) -> bool {
        let warm_share = self.share(now, server.entry.started_at);
        if warm_share >= 1.0
            || server.open_attempts.len() > server.results.iter().filter(|result| result.2).count()
        {
            return warm_share >= 1.0;
        }
        let period = self.overload_period;
        let limit = 0.75 * self.overload_factor * warm_share * warm_rate * server.entry.weight * period;
        let budget = (limit - 2.0 * limit.min(self.gateways / 4.0).sqrt()).max(3.0);
        secs(now.saturating_sub(server.cold_gap.0)) >= server.cold_gap.1 * self.gateways * period / budget
    }
}

/// The servers of a service that were cold when they were listed, by their start: those that are warm next come first.
#[derive(Default)]
pub(super) struct ColdServers {
    by_start: BTreeSet<(Nanos, u32)>,
    starts: HashMap<u32, Nanos>,
}

impl ColdServers {
    pub(super) fn insert(&mut self, id: u32, started_at: Nanos) {
        self.remove(id);
        self.by_start.insert((started_at, id));
        self.starts.insert(id, started_at);
    }

    pub(super) fn remove(&mut self, id: u32) {
        if let Some(started_at) = self.starts.remove(&id) {
            self.by_start.remove(&(started_at, id));
        }
    }

    /// Removes and returns the server that started first, if it is warm.
    fn pop_warm(&mut self, now: Nanos, warm_up: &WarmUp) -> Option<u32> {
        let (started_at, id) = *self.by_start.first()?;
        if warm_up.is_cold(now, started_at) {
            return None;
        }
        self.remove(id);
        Some(id)
    }
}

impl AdmissionController {
    /// The settings of slow start.
    pub(super) fn warm_up(&self) -> WarmUp {
        WarmUp {
            initial_share: self.setting("rules.coldFrom", 0.1),
            duration: self.setting("rules.warmWithin", 30.0).max(1e-3),
            overload_factor: self.setting("rules.fallMultiple", 1.0),
            overload_period: self.setting("rules.fall", 1.0),
            gateways: self.gateway_count(),
        }
    }

    /// Lets servers that are warm by now be drawn by their own subsets again.
    pub(super) fn end_warm_ups(service: &mut Service, now: Nanos, warm_up: &WarmUp) {
        while let Some(id) = service.cold.pop_warm(now, warm_up) {
            service.subsetter.unshare(id);
        }
    }

    /// The rate a second at which a warm server of the service answers all gateways together, for each unit of weight; of a
    /// moment ago where there are many servers.
    pub(super) fn warm_rate_per_weight(
        &self,
        now: Nanos,
        number: u32,
        service: &mut Service,
        warm_up: &WarmUp,
    ) -> f64 {
        let (valid_until, rate) = service.warm_rate;
        if now < valid_until {
            return rate;
        }
        let ready = self.ready_servers.get(&number);
        let interval = ready.map_or(0, BTreeSet::len) as Nanos * WARM_RATE_INTERVAL_PER_SERVER;
        let servers = ready.into_iter().flatten().map(|id| &self.servers[id]);
        let is_warm = |peer: &&Server| !warm_up.is_cold(now, peer.entry.started_at);
        let rate_and_weight =
            |peer: &Server| (recent_success_rate(now, &peer.results, SAMPLES_KEPT).1, peer.entry.weight);
        let sum = |a: (f64, f64), b: (f64, f64)| (a.0 + b.0, a.1 + b.1);
        let (rate, weight) = servers.filter(is_warm).map(rate_and_weight).fold((0.0, 0.0), sum);
        let rate_per_weight = rate * self.gateway_count() / weight.max(0.05);
        service.warm_rate = (now + interval, rate_per_weight);
        rate_per_weight
    }
}
