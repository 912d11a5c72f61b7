//! Calls to the shared counter: which customer is counted next, and what totals tell.

use super::*;

impl AdmissionController {
    /// The last calls all went without an answer: totals tell nothing of the others.
    pub(super) fn silent(&self) -> bool {
        self.counter.iter().rev().take_while(|answered| !**answered).count() >= SILENT_AFTER
    }

    /// Adds a customer's units if a few have gathered or a while has passed; the less room, the sooner.
    pub(super) fn share_count(&mut self, host: &mut dyn Host, now: Nanos, key: u64) {
        let counter = self.is_true("extra.hasCounter");
        let quota = &self.customer(now, key).quota;
        let full = (quota.level / quota.burst.max(1e-6)).clamp(0.02, 1.0);
        let due = quota.counted_at + span(full);
        let few = quota.burst * full / (2.0 * quota.width).max(8.0);
        if quota.rate <= 0.0 || quota.pending == 0.0 || !counter {
        } else if quota.read_at == 0 || now >= due || quota.pending.abs() >= few {
            self.count(host, now, key);
        } else {
            self.wake_customer(host, now, key, due);
        }
    }

    /// Counts the customers that wait for a free call, now or when the gap is over: first those with RPCs
    /// waiting, which stand in front, then the one of a few that has most to tell.
    pub(super) fn count_next(&mut self, host: &mut dyn Host, now: Nanos) {
        while now >= self.counter_rest && !self.to_count.is_empty() {
            let some: Vec<_> = (0..8).map(|_| self.chance.usize(..self.to_count.len())).chain([0]).collect();
            let most = |place: &usize| match &self.customers[&self.to_count[*place]] {
                customer if *place == 0 && !customer.queue.is_empty() => f64::MAX,
                customer => customer.quota.pending.abs() / customer.quota.burst.max(1e-6),
            };
            let best = some.into_iter().max_by(|one, two| most(one).total_cmp(&most(two)));
            let Some(next) = best.and_then(|best| self.to_count.remove(best)) else { return };
            self.count(host, now, next);
        }
        if !self.to_count.is_empty() && self.count_wake_at <= now {
            self.count_wake_at = self.counter_rest.max(now + MS);
            self.wake(host, now, self.count_wake_at, COUNT);
        }
    }

    pub(super) fn count(&mut self, host: &mut dyn Host, now: Nanos, key: u64) {
        self.to_count.retain(|other| *other != key);
        if now < self.counter_rest {
            let waits = !self.customers[&key].queue.is_empty(); // for the answer: it goes first
            self.to_count.insert(if waits { 0 } else { self.to_count.len() }, key);
            return self.count_next(host, now);
        }
        let (calls, forget) = self.customer(now, key).quota.call(now);
        calls.iter().for_each(|call| host.add_to_counter(key << 31 | (call.0 & WINDOW_BITS), call.1, forget));
        self.counter_rest = now + self.counter_gap;
    }

    /// The counter answered: a name is a customer and a window.
    pub fn on_counter_reply(
        &mut self,
        host: &mut dyn Host,
        now: Nanos,
        name: u64,
        how: CallOutcome,
        total: f64,
    ) {
        let key = name >> 31;
        keep(&mut self.counter, how == CallOutcome::Ok, COUNTS_KEPT);
        // Guards against a counter whose line is longer than its time-out, so that it works for nobody: a
        // miss widens the gap between calls, answers narrow it, so slowly that in balance a few calls in a hundred
        // go unanswered. Harm: adds come later.
        let (gap, wait) = (self.counter_gap, span(self.setting("extra.countWait", 0.05)));
        let wider = (gap * 5 / 4 + wait / 4).min(wait + 4 * MS * self.gateways() as u64);
        self.counter_gap = if how == CallOutcome::Ok { gap - gap / GAP_ANSWERS } else { wider };
        let call_is_free = now >= self.counter_rest;
        let largest = self.setting("extra.largest", 1.0);
        if !self.customers.contains_key(&key) {
            return;
        }
        let customer = self.customer(now, key);
        let serial = customer.quota.counted(now, name, WINDOW_BITS, how, total, largest);
        let Some(serial) = serial else { return };
        // Claims that this call carried: the last in the queue give their units back first, the others go.
        for id in customer.queue.clone().iter().rev() {
            let claims = |rpc: &&mut Rpc| rpc.state == State::Claiming && rpc.claim <= serial;
            let Some(rpc) = self.rpcs.get_mut(id).filter(claims) else { continue };
            let customer = self.customers.entry(key).or_default();
            rpc.drawn = customer.quota.level >= customer.line(now, rpc.patient) - 0.01;
            if !rpc.drawn {
                // Guards against a counter that is busy with units given back while other RPCs go on unclaimed: what a
                // claim asked for stays in the window's count. Harm: a customer at its limit is refused a little sooner.
                match call_is_free {
                    true => customer.quota.take(-rpc.units),
                    false => customer.quota.refuse(rpc.units),
                }
            }
            self.shift(*id, State::Held);
        }
        let claiming = self.customers[&key].queue.iter().filter_map(|id| self.rpcs.get(id));
        let claimed: f64 = claiming.filter(|rpc| rpc.state == State::Claiming).map(|rpc| rpc.units).sum();
        let quota = &mut self.customer(now, key).quota;
        quota.level = quota.level.max(-claimed - quota.burst / 2.0);
        self.release(host, now, key);
        self.share_count(host, now, key);
        self.count_next(host, now);
    }
}
