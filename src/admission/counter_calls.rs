//! Calls to the shared counter: which customer is counted next, and what totals tell.

use super::*;

impl AdmissionController {
    /// The last calls all went without an answer: totals tell nothing of the others.
    pub(super) fn is_counter_silent(&self) -> bool {
        self.counter_results.iter().rev().take_while(|answered| !**answered).count() >= SILENT_AFTER_MISSES
    }

    /// Adds a customer's units if a few have gathered or a while has passed; the less room, the sooner.
    pub(super) fn report_usage(&mut self, host: &mut dyn Host, now: Nanos, key: u64) {
        let counter = self.is_enabled("extra.hasCounter");
        let quota = &self.customer(now, key).quota;
        let full = (quota.level / quota.burst.max(1e-6)).clamp(0.02, 1.0);
        let due = quota.called_at + nanos(full);
        let few = quota.burst * full / (2.0 * quota.gateway_count).max(8.0);
        if quota.rate <= 0.0 || quota.unreported == 0.0 || !counter {
        } else if quota.read_at == 0 || now >= due || quota.unreported.abs() >= few {
            self.call_counter(host, now, key);
        } else {
            self.schedule_customer(host, now, key, due);
        }
    }

    /// Counts the customers that wait for a free call, now or when the gap is over: first those with RPCs
    /// waiting, which stand in front, then the one of a few that has most to tell.
    pub(super) fn call_counter_for_next(&mut self, host: &mut dyn Host, now: Nanos) {
        while now >= self.counter_free_at && !self.counter_queue.is_empty() {
            let some: Vec<_> =
                (0..8).map(|_| self.rng.usize(..self.counter_queue.len())).chain([0]).collect();
            let most = |place: &usize| match &self.customers[&self.counter_queue[*place]] {
                customer if *place == 0 && !customer.queue.is_empty() => f64::MAX,
                customer => customer.quota.unreported.abs() / customer.quota.burst.max(1e-6),
            };
            let best = some.into_iter().max_by(|one, two| most(one).total_cmp(&most(two)));
            let Some(next) = best.and_then(|best| self.counter_queue.remove(best)) else { return };
            self.call_counter(host, now, next);
        }
        if !self.counter_queue.is_empty() && self.counter_timer_at <= now {
            self.counter_timer_at = self.counter_free_at.max(now + MS);
            self.set_timer(host, now, self.counter_timer_at, COUNTER_TIMER);
        }
    }

    pub(super) fn call_counter(&mut self, host: &mut dyn Host, now: Nanos, key: u64) {
        self.counter_queue.retain(|other| *other != key);
        if now < self.counter_free_at {
            let waits = !self.customers[&key].queue.is_empty(); // for the answer: it goes first
            self.counter_queue.insert(if waits { 0 } else { self.counter_queue.len() }, key);
            return self.call_counter_for_next(host, now);
        }
        let (calls, forget) = self.customer(now, key).quota.start_calls(now);
        calls.iter().for_each(|call| host.add_to_counter(key << 31 | (call.0 & WINDOW_MASK), call.1, forget));
        self.counter_free_at = now + self.counter_gap;
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
        push_bounded(&mut self.counter_results, how == CallOutcome::Ok, COUNTER_RESULTS_KEPT);
        // Guards against a counter whose line is longer than its time-out, so that it works for nobody: a
        // miss widens the gap between calls, answers narrow it, so slowly that in balance a few calls in a hundred
        // go unanswered. Harm: adds come later.
        let (gap, wait) = (self.counter_gap, nanos(self.setting("extra.countWait", 0.05)));
        let wider = (gap * 5 / 4 + wait / 4).min(wait + 4 * MS * self.gateway_count() as u64);
        self.counter_gap = if how == CallOutcome::Ok { gap - gap / GAP_DECAY_DIVISOR } else { wider };
        let call_is_free = now >= self.counter_free_at;
        let largest = self.setting("extra.largest", 1.0);
        if !self.customers.contains_key(&key) {
            return;
        }
        let customer = self.customer(now, key);
        let serial = customer.quota.complete_call(now, name, WINDOW_MASK, how, total, largest);
        let Some(serial) = serial else { return };
        // Claims that this call carried: the last in the queue give their units back first, the others go.
        for id in customer.queue.clone().iter().rev() {
            let claims = |rpc: &&mut Rpc| rpc.state == RpcState::Claiming && rpc.claim_serial <= serial;
            let Some(rpc) = self.rpcs.get_mut(id).filter(claims) else { continue };
            let customer = self.customers.entry(key).or_default();
            rpc.units_taken = customer.quota.level >= customer.reserve_line(now, rpc.patient) - 0.01;
            if !rpc.units_taken {
                // Guards against a counter that is busy with units given back while other RPCs go on unclaimed: what a
                // claim asked for stays in the window's count. Harm: a customer at its limit is refused a little sooner.
                match call_is_free {
                    true => customer.quota.take(-rpc.units),
                    false => customer.quota.refund_without_report(rpc.units),
                }
            }
            self.set_state(*id, RpcState::Held);
        }
        let claiming = self.customers[&key].queue.iter().filter_map(|id| self.rpcs.get(id));
        let claimed: f64 = claiming.filter(|rpc| rpc.state == RpcState::Claiming).map(|rpc| rpc.units).sum();
        let quota = &mut self.customer(now, key).quota;
        quota.level = quota.level.max(-claimed - quota.burst / 2.0);
        self.advance_queue(host, now, key);
        self.report_usage(host, now, key);
        self.call_counter_for_next(host, now);
    }
}
