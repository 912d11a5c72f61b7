//! Calls to the shared counter: when a customer's usage is reported, and how the totals are applied.

use super::*;

impl AdmissionController {
    /// Whether none of the last calls was answered, so that nothing is known of the other gateways' usage.
    pub(super) fn is_counter_silent(&self) -> bool {
        self.counter_results.iter().rev().take_while(|answered| !**answered).count() >= SILENT_AFTER_MISSES
    }

    /// Adds a customer's units to the count once enough have accumulated or enough time has passed. Both limits shrink with the
    /// level of the bucket.
    pub(super) fn report_usage(&mut self, host: &mut dyn Host, now: Nanos, key: u64) {
        let has_counter = self.is_enabled("extra.hasCounter");
        let quota = &self.customer(now, key).quota;
        let fill = (quota.level / quota.burst.max(1e-6)).clamp(0.02, 1.0);
        let due = quota.called_at + nanos(fill);
        let enough = quota.burst * fill / (2.0 * quota.gateway_count).max(8.0);
        if quota.rate <= 0.0 || quota.unreported == 0.0 || !has_counter {
        } else if quota.read_at == 0 || now >= due || quota.unreported.abs() >= enough {
            self.call_counter(host, now, key);
        } else {
            self.schedule_customer(host, now, key, due);
        }
    }

    /// Makes the calls for which customers are queued, as far as the gap between calls allows, and sets a timer for the rest.
    /// A customer with waiting RPCs is at the front of the queue and goes first. Otherwise the one with the most unreported
    /// units is chosen from a small random sample.
    pub(super) fn call_counter_for_queued(&mut self, host: &mut dyn Host, now: Nanos) {
        while now >= self.counter_free_at && !self.counter_queue.is_empty() {
            let sample: Vec<_> =
                (0..8).map(|_| self.rng.usize(..self.counter_queue.len())).chain([0]).collect();
            let priority = |index: &usize| match &self.customers[&self.counter_queue[*index]] {
                customer if *index == 0 && !customer.queue.is_empty() => f64::MAX,
                customer => customer.quota.unreported.abs() / customer.quota.burst.max(1e-6),
            };
            let best = sample.into_iter().max_by(|a, b| priority(a).total_cmp(&priority(b)));
            let Some(next) = best.and_then(|best| self.counter_queue.remove(best)) else { return };
            self.call_counter(host, now, next);
        }
        if !self.counter_queue.is_empty() && self.counter_timer_at <= now {
            self.counter_timer_at = self.counter_free_at.max(now + MS);
            self.set_timer(host, now, self.counter_timer_at, COUNTER_TIMER);
        }
    }

    /// Calls the counter for a customer, or queues the customer if no call is allowed yet.
    pub(super) fn call_counter(&mut self, host: &mut dyn Host, now: Nanos, key: u64) {
        self.counter_queue.retain(|other| *other != key);
        if now < self.counter_free_at {
            let has_waiting = !self.customers[&key].queue.is_empty(); // RPCs wait for the answer: it goes first
            self.counter_queue.insert(if has_waiting { 0 } else { self.counter_queue.len() }, key);
            return self.call_counter_for_queued(host, now);
        }
        let (calls, forget) = self.customer(now, key).quota.start_calls(now);
        calls.iter().for_each(|call| host.add_to_counter(key << 31 | (call.0 & WINDOW_MASK), call.1, forget));
        self.counter_free_at = now + self.counter_gap;
    }

    /// A call to the counter ended. The name of a count is made up of the customer and the window.
    pub fn on_counter_reply(
        &mut self,
        host: &mut dyn Host,
        now: Nanos,
        name: u64,
        outcome: CallOutcome,
        total: f64,
    ) {
        let key = name >> 31;
        push_bounded(&mut self.counter_results, outcome == CallOutcome::Ok, COUNTER_RESULTS_KEPT);
        // A call without an answer widens the gap between calls, and each answer narrows it. Otherwise the counter's queue could
        // grow longer than the timeout, so that no call is answered in time. Answers narrow the gap so slowly that in balance
        // a few calls in a hundred go unanswered. The cost: usage is reported later.
        let (gap, timeout) = (self.counter_gap, nanos(self.setting("extra.countWait", 0.05)));
        let wider = (gap * 5 / 4 + timeout / 4).min(timeout + 4 * MS * self.gateway_count() as u64);
        self.counter_gap = if outcome == CallOutcome::Ok { gap - gap / GAP_DECAY_DIVISOR } else { wider };
        let call_allowed = now >= self.counter_free_at;
        let largest_request = self.setting("extra.largest", 1.0);
        if !self.customers.contains_key(&key) {
            return;
        }
        let customer = self.customer(now, key);
        let serial = customer.quota.complete_call(now, name, WINDOW_MASK, outcome, total, largest_request);
        let Some(serial) = serial else { return };
        // Resolve the claims that this call carried. If the units don't suffice, the last ones in the queue are refused first.
        for id in customer.queue.clone().iter().rev() {
            let has_claim = |rpc: &&mut Rpc| rpc.state == RpcState::Claiming && rpc.claim_serial <= serial;
            let Some(rpc) = self.rpcs.get_mut(id).filter(has_claim) else { continue };
            let customer = self.customers.entry(key).or_default();
            rpc.units_taken = customer.quota.level >= customer.reserve_line(now, rpc.patient) - 0.01;
            if !rpc.units_taken {
                // While no call is allowed, the refused units stay in the window's count. Otherwise the counter would be
                // busy with refunds while other RPCs proceed without a claim. The cost: a customer at its limit is rejected
                // a little sooner.
                match call_allowed {
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
        self.release_customer(key);
        self.call_counter_for_queued(host, now);
    }
}
