//! Which customers are remembered. A customer is forgotten once a new one would be in the same state, and their number is
//! limited, so that names that come once can't take the memory of the process.

use super::*;

/// All customers are checked again once their number has doubled since the last time, or exceeds twice this number.
const MIN_DOUBLED: usize = 32;
/// How many customers an arrival checks while such a search is under way, and while no more can be remembered.
const CHECKS_PER_ARRIVAL: usize = 2;
const CHECKS_WHEN_FULL: usize = 8;

impl AdmissionController {
    /// The memory that a customer takes, in bytes: an estimate for one that was served a few times.
    pub const CUSTOMER_BYTES: usize = 768;

    /// Limits how many customers are remembered. RPCs of further ones are rejected while no remembered one can be forgotten.
    pub fn limit_customers(&mut self, limit: usize) {
        self.customer_limit = Some(limit.max(2 * MIN_DOUBLED));
    }

    /// The number of customers that are remembered.
    pub fn customer_count(&self) -> usize {
        self.customers.len()
    }

    /// How many RPCs were rejected because no further customer could be remembered.
    pub fn refused_customer_count(&self) -> u64 {
        self.refused_customers
    }

    /// Whether an RPC of this customer can be taken: the customer is remembered, or there is room for one more. Forgets some
    /// that need not be remembered.
    pub(super) fn has_room_for_customer(&mut self, now: Nanos, key: u64) -> bool {
        if self.is_full_of_customers() {
            self.forget_customers(now, CHECKS_WHEN_FULL, true);
        } else {
            self.continue_customer_search(now);
        }
        !self.is_full_of_customers() || self.customers.contains_key(&key)
    }

    fn is_full_of_customers(&self) -> bool {
        self.customer_limit.is_some_and(|limit| self.customers.len() >= limit)
    }

    /// Checks some more customers, so that an arrival never looks at all of them.
    fn continue_customer_search(&mut self, now: Nanos) {
        if self.customer_checks_left == 0 && self.customers.len() > self.search_customers_above {
            (self.customer_checks_left, self.customers_kept) = (self.used_customers.len(), 0);
        }
        if self.customer_checks_left == 0 {
            return;
        }
        let checks = CHECKS_PER_ARRIVAL.min(self.customer_checks_left);
        let forgotten = self.forget_customers(now, checks, false);
        self.customer_checks_left -= checks;
        self.customers_kept += checks - forgotten;
        if self.customer_checks_left == 0 {
            self.search_customers_above = 2 * self.customers_kept.max(MIN_DOUBLED);
        }
    }

    /// Checks the customers whose last check was longest ago, and forgets those that need not be remembered. Returns how many.
    fn forget_customers(&mut self, now: Nanos, checks: usize, is_full: bool) -> usize {
        let mut forgotten = 0;
        for _ in 0..checks.min(self.used_customers.len()) {
            let Some(key) = self.used_customers.pop_front() else { break };
            if self.need_not_be_remembered(now, key, is_full) {
                self.counter_queue.retain(|other| *other != key);
                self.customers.remove(&key);
                forgotten += 1;
            } else {
                self.used_customers.push_back(key);
            }
        }
        forgotten
    }

    /// Whether a new customer would be in the same state: nothing is open or queued, all samples and counts are too old to
    /// matter, and every bucket is full. While no more customers can be remembered, units that the counter was not told do not
    /// keep a customer: their window ended long ago, and the bucket has been refilled since.
    fn need_not_be_remembered(&self, now: Nanos, key: u64, is_full: bool) -> bool {
        let Some(customer) = self.customers.get(&key) else { return true };
        let has_counter = self.is_enabled("extra.hasCounter") && !is_full;
        let idle_for = now.saturating_sub(customer.used_at);
        let is_reporting = !is_full && self.counter_queue.contains(&key);
        customer.is_idle()
            && idle_for > THROTTLE_WINDOW + 2 * customer.quota.window
            && !is_reporting
            && customer.quota.is_pristine(now, has_counter)
    }

    /// An event of this customer has been handled. One that took nothing is in the state of a new one and is forgotten at once;
    /// any other will be checked from time to time.
    pub(super) fn release_customer(&mut self, key: u64) {
        let Some(customer) = self.customers.get_mut(&key) else { return };
        if !customer.is_idle() {
            return;
        }
        customer.queue = Vec::new();
        if !customer.quota.is_used && customer.urgent_outcomes.is_empty() {
            self.customers.remove(&key);
        } else if !std::mem::replace(&mut customer.is_listed, true) {
            self.used_customers.push_back(key);
        }
    }
}
