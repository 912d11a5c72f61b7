//! Whether a customer's quota has room for an RPC, and the brake on patient RPCs.

use super::*;

impl AdmissionController {
    /// The customer with its stores brought up to now.
    pub(super) fn customer(&mut self, now: Nanos, key: u64) -> &mut Customer {
        let largest = self.setting("extra.largest", 1.0);
        let customer = self.customers.entry(key).or_default();
        customer.quota.refill(now, largest);
        customer
    }

    /// When the store, the ceiling's part and the cap on open call-outs have room for so many units.
    pub(super) fn room_at(&mut self, now: Nanos, key: u64, units: f64, ahead: f64, patient: bool) -> Nanos {
        // Nothing is known of the others' use: the even split decides.
        let alone = self.silent() || !self.is_true("extra.hasCounter");
        let borrows = self.customer(now, key).soft && !self.braked(now, key);
        let (customer, quota) = (&self.customers[&key], &self.customers[&key].quota);
        let mut at = now;
        // Never read, the counter is asked (a claim): with many gateways the even split is less than an RPC.
        if quota.rate > 0.0 && (alone || quota.read_at > 0) {
            let part = if alone { 1.0 / quota.width } else { 1.0 };
            let level = if alone { quota.split } else { quota.seen(now, units) };
            let line = customer.line(now, patient) * part;
            // An RPC larger than the part passes when that is full.
            let floor = if borrows { -quota.burst * part } else { 0.0 };
            let short = floor + line + ahead + units.min(quota.burst * part - line) - level;
            // What is short by the rounding of this sum alone is there.
            if short > 1e-9 * quota.burst {
                // The line falls while the store fills; at the window's end it starts over.
                let falls = if patient { RESERVE * quota.burst / secs(quota.window) } else { 0.0 };
                at = now + span(short / (quota.rate + falls) / part).max(MS);
            }
        }
        if quota.ceiling_rate > 0.0 && quota.ceiling < units + ahead {
            at = at.max(now + span((units + ahead - quota.ceiling) / quota.ceiling_rate).max(MS));
        }
        if customer.most_open > 0 && customer.open >= customer.most_open {
            at = at.max(now + RECHECK);
        }
        at
    }

    /// Whether others could draw the store now, or have since the last total; with no call free only what the
    /// split does not cover. Guards against late totals that show all the same room. Harm: a little time.
    pub(super) fn is_thin(&self, now: Nanos, key: u64, units: f64, patient: bool) -> bool {
        let (customer, quota) = (&self.customers[&key], &self.customers[&key].quota);
        let spare = quota.level - units - customer.line(now, patient);
        let free = self.counter_rest <= now + RECHECK && self.to_count.len() < COUNTS_KEPT;
        let age = if free { secs(now.saturating_sub(quota.read_at)) } else { 0.0 };
        // Since the last call the others are taken to have drawn as this gateway did.
        let refill = quota.rate * secs(now.saturating_sub(quota.counted_at));
        let others = ((quota.width - 1.0) * quota.pending - refill).max(0.0);
        let known = if quota.read_at == 0 { quota.burst - quota.pending - units } else { spare };
        let short = quota.short_at > 0 && now - quota.short_at < quota.window || known <= others;
        let asks = free || short && quota.split < units.min(quota.burst / quota.width);
        let answers = self.is_true("extra.hasCounter") && !self.silent() && quota.rate > 0.0;
        answers && asks && spare < (quota.width - 1.0) * units + quota.rate * age
    }

    /// The brake on patient RPCs: urgent ones pushed back for lack of this customer's quota (over once the
    /// store holds two reserves; harm: the next spike finds less there), or late (p95).
    pub(super) fn braked(&mut self, now: Nanos, key: u64) -> bool {
        let fresh = |at: Nanos| now.saturating_sub(at) < BRAKE_SPAN;
        let customer = &self.customers[&key];
        let outcomes = customer.urgent.iter().filter(|sample| fresh(sample.0));
        let (count, pushed) = (outcomes.clone().count(), outcomes.filter(|sample| sample.1).count());
        let quota = &customer.quota;
        let lack = quota.level.min(quota.split * quota.width) < 2.0 * RESERVE * quota.burst;
        let short = lack && count >= BRAKE_SAMPLES && pushed as f64 > BRAKE_QUOTA_SHARE * count as f64;
        if self.brake.0 != now {
            let samples = self.urgent.iter().filter(|sample| fresh(sample.0));
            let mut ratios: Vec<f64> = samples.map(|sample| sample.1).collect();
            // A call-out open past its soft deadline is distress though no latency has come.
            ratios.extend(self.open.values().filter(|attempt| attempt.soft_deadline < now).map(|_| 2.0));
            ratios.sort_by(f64::total_cmp);
            let p95 = (ratios.len() * 95).div_ceil(100).max(1) - 1; // of 20 samples the 19th
            self.brake = (now, ratios.len() >= BRAKE_SAMPLES && ratios[p95] > 1.0);
        }
        // Guards against a brake that holds all, so that none ends: one may go a second after the last end.
        let idle = self.open.is_empty() && self.ends.back().is_none_or(|end| now - end.0 >= SEC);
        (short || self.brake.1) && !idle
    }
}
