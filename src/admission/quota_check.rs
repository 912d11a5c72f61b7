//! Checks whether a customer's quota admits an RPC, and throttles patient RPCs.

use super::*;

impl AdmissionController {
    /// The customer, with its buckets refilled up to now.
    pub(super) fn customer(&mut self, now: Nanos, key: u64) -> &mut Customer {
        let largest_request = self.setting("extra.largest", 1.0);
        let customer = self.customers.entry(key).or_default();
        customer.quota.refill(now, largest_request);
        customer
    }

    /// The time at which the bucket, this gateway's share of the ceiling and the limit on open attempts admit an RPC of `units`
    /// behind `units_ahead`.
    pub(super) fn quota_available_at(
        &mut self,
        now: Nanos,
        key: u64,
        units: f64,
        units_ahead: f64,
        patient: bool,
    ) -> Nanos {
        // While nothing is known of the other gateways' usage, the even split applies.
        let use_even_split = self.is_counter_silent() || !self.is_enabled("extra.hasCounter");
        let borrows = self.customer(now, key).may_borrow && !self.is_throttled(now, key);
        let (customer, quota) = (&self.customers[&key], &self.customers[&key].quota);
        let mut at = now;
        // A count that was never read is read first, by a claim: with many gateways the even split is less than one RPC.
        if quota.rate > 0.0 && (use_even_split || quota.read_at > 0) {
            let share = if use_even_split { 1.0 / quota.gateway_count } else { 1.0 };
            let level = if use_even_split { quota.even_split } else { quota.estimated_level(now, units) };
            let reserve = customer.reserve_line(now, patient) * share;
            // An RPC larger than the share is admitted when the share is full.
            let floor = if borrows { -quota.burst * share } else { 0.0 };
            let missing = floor + reserve + units_ahead + units.min(quota.burst * share - reserve) - level;
            // A shortfall within the rounding error of this sum is none.
            if missing > 1e-9 * quota.burst {
                // The reserve line falls while the bucket fills; it starts over at the end of the window.
                let reserve_fall_rate =
                    if patient { RESERVE_SHARE * quota.burst / secs(quota.window) } else { 0.0 };
                at = now + nanos(missing / (quota.rate + reserve_fall_rate) / share).max(MS);
            }
        }
        if quota.ceiling_rate > 0.0 && quota.ceiling_level < units + units_ahead {
            at =
                at.max(now + nanos((units + units_ahead - quota.ceiling_level) / quota.ceiling_rate).max(MS));
        }
        if customer.max_open_attempts > 0 && customer.open_attempts >= customer.max_open_attempts {
            at = at.max(now + RECHECK_INTERVAL);
        }
        at
    }

    /// Whether the RPC has to claim its units at the counter first, because other gateways could take the same units now or have
    /// done so since the last total. Without claims, gateways that read the same late total would all see the same room. The cost
    /// is a short delay. While no counter call is allowed, an RPC needs a claim only if the bucket is or may be low and the even
    /// split does not cover the RPC.
    pub(super) fn needs_claim(&self, now: Nanos, key: u64, units: f64, patient: bool) -> bool {
        let (customer, quota) = (&self.customers[&key], &self.customers[&key].quota);
        let spare = quota.level - units - customer.reserve_line(now, patient);
        let call_allowed =
            self.counter_free_at <= now + RECHECK_INTERVAL && self.counter_queue.len() < COUNTER_RESULTS_KEPT;
        let age = if call_allowed { secs(now.saturating_sub(quota.read_at)) } else { 0.0 };
        // Since the last call, each of the other gateways is assumed to have taken as much as this one.
        let refill = quota.rate * secs(now.saturating_sub(quota.called_at));
        let taken_by_others = ((quota.gateway_count - 1.0) * quota.unreported - refill).max(0.0);
        let known_spare = if quota.read_at == 0 { quota.burst - quota.unreported - units } else { spare };
        let is_short =
            quota.low_at > 0 && now - quota.low_at < quota.window || known_spare <= taken_by_others;
        let worth_asking =
            call_allowed || is_short && quota.even_split < units.min(quota.burst / quota.gateway_count);
        let counter_answers =
            self.is_enabled("extra.hasCounter") && !self.is_counter_silent() && quota.rate > 0.0;
        counter_answers && worth_asking && spare < (quota.gateway_count - 1.0) * units + quota.rate * age
    }

    /// Whether patient RPCs are throttled, because urgent RPCs of this customer were rejected for lack of quota, or because the
    /// 95th percentile of urgent latencies exceeds the soft timeout. Throttling for lack of quota ends once the bucket holds
    /// twice the reserve; the cost of ending it so early is that the next spike finds less quota.
    pub(super) fn is_throttled(&mut self, now: Nanos, key: u64) -> bool {
        let is_recent = |at: Nanos| now.saturating_sub(at) < THROTTLE_WINDOW;
        let customer = &self.customers[&key];
        let outcomes = customer.urgent_outcomes.iter().filter(|sample| is_recent(sample.0));
        let (count, rejected) = (outcomes.clone().count(), outcomes.filter(|sample| sample.1).count());
        let quota = &customer.quota;
        let is_low =
            quota.level.min(quota.even_split * quota.gateway_count) < 2.0 * RESERVE_SHARE * quota.burst;
        let lacks_quota = is_low
            && count >= THROTTLE_MIN_SAMPLES
            && rejected as f64 > THROTTLE_REJECTED_SHARE * count as f64;
        if self.latency_throttle.0 != now {
            let samples = self.urgent_latencies.iter().filter(|sample| is_recent(sample.0));
            let mut ratios: Vec<f64> = samples.map(|sample| sample.1).collect();
            // An attempt still open past its soft deadline counts as late, although its latency is not known yet.
            ratios.extend(
                self.open_attempts.values().filter(|attempt| attempt.soft_deadline < now).map(|_| 2.0),
            );
            ratios.sort_by(f64::total_cmp);
            let p95 = (ratios.len() * 95).div_ceil(100).max(1) - 1; // the 19th of 20 samples
            self.latency_throttle = (now, ratios.len() >= THROTTLE_MIN_SAMPLES && ratios[p95] > 1.0);
        }
        // One RPC may be sent a second after the last result. Otherwise throttling could hold back everything for good, since
        // no result would ever end it.
        let idle =
            self.open_attempts.is_empty() && self.results.back().is_none_or(|result| now - result.0 >= SEC);
        (lacks_quota || self.latency_throttle.1) && !idle
    }
}
