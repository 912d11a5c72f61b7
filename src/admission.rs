//! The admission controller, which makes every decision of a gateway: when an RPC is sent, to which server, and whether it is
//! retried, rejected or aborted.
//!
//! A host creates one [`AdmissionController`] for each incarnation of a gateway and passes events to it. Each event handler
//! makes its requests through the [`Host`] it is given. `advance`, the path of an RPC, is the best place to start reading.

use crate::attempts::OpenAttempt;
use crate::host::{Arrival, AttemptResult, CallOutcome, DiscoveredServer, Host, Nanos, Settings};
use crate::quota::Quota;
use crate::repeat_group::{RepeatScope, ServerGroup};
use crate::samples::{MS, SEC, median, nanos, number_setting, push_bounded, recent_success_rate, secs};
use crate::subsetting::{Endpoint, Subsetter};
use revisit::BadStreak;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

mod counter_calls;
mod customers;
mod quota_check;
mod revisit;
mod server_list;
mod server_selection;
mod warm_up;

use warm_up::ColdServers;

/// The reserve line as a share of the burst, and the conditions for throttling patient RPCs, all as specified in the design.
const RESERVE_SHARE: f64 = 0.3;
const THROTTLE_WINDOW: Nanos = 10 * SEC;
const THROTTLE_MIN_SAMPLES: usize = 20;
const THROTTLE_REJECTED_SHARE: f64 = 0.005;
/// How many recent samples are kept, and for how long a sample is considered current.
const SAMPLES_KEPT: usize = 32;
const SAMPLE_LIFETIME: Nanos = 5 * SEC;
/// The largest share of its soft timeout that an RPC may be expected to spend at the servers when it is sent.
const PATIENT_WAIT_SHARE: f64 = 0.3;
const URGENT_WAIT_SHARE: f64 = 0.45;
/// The delay before an RPC that is held for lack of a server, or by throttling, is checked again.
const RECHECK_INTERVAL: Nanos = 25 * MS;
/// The entry in `timers` for the next call to the counter, in place of a customer.
const COUNTER_TIMER: u64 = u64::MAX;
/// Queues of more RPCs than this are checked only once for each instant of time.
const LONG_QUEUE_LEN: usize = 8;
/// The bits of a count's name that hold the window; the bits above hold the customer.
const WINDOW_MASK: u64 = 0x7fff_ffff;
/// How many results of counter calls are kept.
const COUNTER_RESULTS_KEPT: usize = 8;
/// Each answer of the counter narrows the gap between calls by this fraction of it.
const GAP_DECAY_DIVISOR: Nanos = 100;
/// The counter is considered silent after this many calls in a row without an answer.
const SILENT_AFTER_MISSES: usize = 3;
/// A gateway's subset of the servers: how often it should use each of them, and how many gateways use each server at least.
const REVISIT_INTERVAL: Nanos = SEC;
const SUBSETS_PER_SERVER: f64 = 18.0;
/// After a subset has been computed, the next computation pauses for this long for each unit of work done, up to a maximum.
/// With a long list that changes all the time, this batches many changes into one computation.
const PAUSE_PER_WORK_UNIT: Nanos = 250;
const MAX_WORK_PAUSE: Nanos = SEC;
/// A service that was not requested for this long is dropped when another one is requested for the first time.
const UNUSED_SERVICE_TTL: Nanos = 600 * SEC;

/// The state of an RPC. `Held` waits for quota, a server or the end of throttling; `Claiming` waits for the counter to confirm
/// its units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum RpcState {
    #[default]
    Arrived,
    Held,
    Claiming,
    InFlight,
    Ended,
}

/// The first attempt of an RPC that may have run.
#[derive(Clone, Copy)]
struct FirstRun {
    sent_at: Nanos,
    /// Where its server was listed when it was sent, and which servers recognize a repeat.
    group: ServerGroup,
    scope: RepeatScope,
}

/// An RPC that has no final answer yet.
#[derive(Default)]
struct Rpc {
    state: RpcState,
    settings: Arc<Settings>, // as of its arrival
    method: u16,
    customer: u64,
    service: u32,
    units: f64,
    urgency: f64,
    patient: bool,
    soft_deadline: Nanos, // when the answer is due; never later than the client's deadline
    soft_timeout: Nanos,
    units_taken: bool, // from the quota; a retry takes none
    written: bool,     // bytes of an attempt were sent, or may have been
    claim_serial: u64, // of the counter call that reports its units
    attempts: u64,
    first_run: Option<FirstRun>,
}

impl Rpc {
    /// Whether a setting of the RPC's method has the given value. A method whose `idempotency` is neither `free` (idempotent)
    /// nor `guarded` (deduplicated), or is not set, must never run twice.
    fn setting_is(&self, name: &str, value: &str) -> bool {
        self.settings.get(&format!("classes.{}.{name}", self.method)).is_some_and(|text| text == value)
    }

    /// The servers that recognize a repeat of this RPC. An idempotent one may be repeated anywhere.
    fn repeat_scope(&self) -> RepeatScope {
        if self.setting_is("idempotency", "free") {
            return RepeatScope::AllServers;
        }
        let group = self.settings.get(&format!("classes.{}.group", self.method));
        RepeatScope::from_setting(group.map(String::as_str))
    }

    /// Whether the RPC may be sent to this server: any, until it may have run.
    fn may_run_at(&self, server: &DiscoveredServer) -> bool {
        self.first_run.is_none_or(|first| first.scope.includes(first.group, ServerGroup::of(server)))
    }

    /// The time before which the RPC may run again. There is no limit if it is proven that no attempt ran, or if the method is
    /// idempotent; a deduplicated method allows it within its window, any other never.
    fn repeat_deadline(&self) -> Nanos {
        let ran = self.first_run.filter(|_| !self.setting_is("idempotency", "free"));
        let window = nanos(number_setting(&self.settings, &format!("classes.{}.window", self.method), 0.0));
        ran.map_or(Nanos::MAX, |ran| {
            if self.setting_is("idempotency", "guarded") { ran.sent_at + window } else { 0 }
        })
    }
}

/// A customer as known at this gateway.
#[derive(Clone, Default)]
struct Customer {
    quota: Quota,
    max_open_attempts: u64, // this gateway's share of the plan's limit; 0 means unlimited
    may_borrow: bool,
    open_attempts: u64,
    queue: Vec<u32>, // IDs of held and claiming RPCs, most urgent first, then in order of arrival
    timer_at: Nanos,
    checked_at: Nanos,
    used_at: Nanos,                           // when its last RPC arrived or attempt ended
    is_listed: bool,                          // in `used_customers`
    urgent_outcomes: VecDeque<(Nanos, bool)>, // of urgent RPCs: when, and whether rejected for lack of quota
}

impl Customer {
    /// Whether none of its RPCs is queued or open.
    fn is_idle(&self) -> bool {
        self.open_attempts == 0 && self.queue.is_empty()
    }

    /// The reserve line: the level below which patient RPCs may not take units. It falls linearly over the window.
    fn reserve_line(&self, now: Nanos, patient: bool) -> f64 {
        let window_left = 1.0 - (now % self.quota.window) as f64 / self.quota.window as f64;
        if patient { RESERVE_SHARE * self.quota.burst * window_left } else { 0.0 }
    }
}

/// A server on the list of discovery, with this gateway's measurements of it.
#[derive(Default)]
struct Server {
    entry: DiscoveredServer,
    open_attempts: VecDeque<(u32, u16, Nanos)>, // oldest first: RPC, attempt number, and when it was sent
    results: VecDeque<(Nanos, Nanos, bool)>,    // recent ones: when, duration, and success
    cold_gap: (Nanos, f64), // while cold: when the gap before the next attempt began, and which fraction of it applies
    reported_load: (Nanos, f64), // last report: when, and the RPCs of all gateways that the server holds
    bad_streak: BadStreak,
    /// Results before this time do not count towards its expected cost.
    estimate_from: Nanos,
}

impl Server {
    /// Whether its oldest attempt has been open for far longer than answers take at present. If every server is slow, none
    /// counts as hanging.
    fn is_hanging(&self, now: Nanos, typical: Nanos) -> bool {
        self.open_attempts.front().is_some_and(|open| now - open.2 > (6 * typical).max(500 * MS))
    }

    /// Whether the server is in backoff after failures, because it is down, unreachable, full or returns errors. The backoff
    /// grows with each failure and with the number of gateways, since all of them try the server again. Afterwards it gets
    /// one attempt at a time until one succeeds. The cost: a short fault leaves the server idle for longer than it lasted.
    fn is_backing_off(&self, now: Nanos, gateway_count: f64) -> bool {
        let failures = self.results.iter().rev().take_while(|result| !result.2).count();
        let backoff = (((50 * MS) << failures.min(5)) as f64 * (gateway_count / 3.0).max(1.0)) as Nanos;
        let until = self.results.back().map_or(0, |result| result.0 + backoff.min(2 * SAMPLE_LIFETIME));
        failures > 0 && (now < until || !self.open_attempts.is_empty())
    }
}

/// A service that this gateway received RPCs for.
#[derive(Default)]
struct Service {
    subsetter: Subsetter, // the servers that may get new RPCs, this gateway's subset first
    last_used: Nanos,
    run_ends: VecDeque<Nanos>, // when recent attempts that may have run ended
    cold: ColdServers,         // those that the whole fleet draws from
    warm_rate: (Nanos, f64),   // of a warm server, for each unit of weight, and until when it counts
    /// Units of work done on the current subset computation, and when the next one may begin.
    work_done: usize,
    resume_at: Nanos,
}

/// The servers of a service that are no longer ready, and those that became ready.
#[derive(Default)]
struct ServiceChange {
    removed: Vec<u32>,
    added: Vec<u32>,
}

/// Makes the decisions of one incarnation of a gateway.
#[derive(Default)]
pub struct AdmissionController {
    settings: Arc<Settings>,
    rng: fastrand::Rng,
    /// When this incarnation began. Its share of each ceiling is empty at that time, since an earlier incarnation may have
    /// used it up.
    started_at: Option<Nanos>,
    servers: BTreeMap<u32, Server>,
    ready_servers: BTreeMap<u32, BTreeSet<u32>>, // by service
    draining: BTreeSet<u32>,                     // not ready; forgotten once they have no open attempts
    services: BTreeMap<u32, Service>,
    salt: u64,
    customers: HashMap<u64, Box<Customer>>,
    /// How many customers may be remembered, and those that took units, in the order of their last check.
    customer_limit: Option<usize>,
    used_customers: VecDeque<u64>,
    /// How many customers the search under way has still to check and has kept so far, and above how many customers the next
    /// one begins.
    customer_checks_left: usize,
    customers_kept: usize,
    search_customers_above: usize,
    /// How many RPCs were rejected because no further customer could be remembered.
    refused_customers: u64,
    rpcs: HashMap<u32, Rpc>,
    /// Attempts in flight, by RPC and attempt number.
    open_attempts: BTreeMap<(u32, u16), OpenAttempt>,
    timers: HashMap<u32, u64>, // by token: a customer, or `COUNTER_TIMER`
    next_timer_token: u32,
    results: VecDeque<(Nanos, Nanos, bool)>, // of attempts that may have run: when, duration, and success
    urgent_latencies: VecDeque<(Nanos, f64)>, // of urgent RPCs: when, and latency as a multiple of the soft timeout
    /// Values computed once for each instant: the expected wait of one more RPC, whether latency requires throttling, and the
    /// typical latency of an attempt.
    expected_wait: (Nanos, f64),
    latency_throttle: (Nanos, bool),
    typical_latency: (Nanos, Nanos),
    /// By service and method: until when a search for a server that found none is not repeated, unless an attempt ends or the
    /// list changes. Searching all servers for every waiting customer would use up the core of a small gateway.
    no_server_until: BTreeMap<(u32, u16), Nanos>,
    /// Calls to the counter: whether recent ones were answered, when the next one is allowed, the gap between two calls, when
    /// the timer for the next one is due, and the customers waiting for one.
    counter_results: VecDeque<bool>,
    counter_free_at: Nanos,
    counter_gap: Nanos,
    counter_timer_at: Nanos,
    counter_queue: VecDeque<u64>,
}

impl AdmissionController {
    pub fn new(seed: u64, settings: Settings) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let salt = rng.u64(..);
        let mut controller =
            AdmissionController { settings: Arc::new(settings), rng, salt, ..AdmissionController::default() };
        controller.use_service(0, 0);
        controller
    }

    /// Applies new settings. RPCs that have already arrived keep their own; a customer's quota changes with its next RPC.
    pub fn update_settings(&mut self, now: Nanos, settings: Settings) {
        let services = self.replace_settings(settings);
        services.into_iter().for_each(|service| self.rebuild_subset(now, service));
    }

    /// Like [`AdmissionController::update_settings`]; the subsets are computed later, in `work_on_subsets`.
    pub fn update_settings_deferred(&mut self, now: Nanos, settings: Settings) {
        let services = self.replace_settings(settings);
        for service in services {
            self.replace_endpoints(service);
            self.share_cold_servers(now, service);
        }
    }

    /// Replaces the settings and the size of the fleet; returns the services in use.
    fn replace_settings(&mut self, settings: Settings) -> Vec<u32> {
        self.settings = Arc::new(settings);
        self.no_server_until.clear();
        let gateways = self.gateway_count() as usize;
        self.services.values_mut().for_each(|service| service.subsetter.set_fleet_size(gateways));
        self.services.keys().copied().collect()
    }

    // ---- Settings are read where they are needed. A missing or unreadable value takes the default.

    fn setting(&self, name: &str, default: f64) -> f64 {
        number_setting(&self.settings, name, default)
    }

    fn method_setting(&self, method: u16, name: &str, default: f64) -> f64 {
        self.setting(&format!("classes.{method}.{name}"), default)
    }

    fn gateway_count(&self) -> f64 {
        self.setting("balancers", 1.0).max(1.0)
    }

    fn is_enabled(&self, name: &str) -> bool {
        self.settings.get(name).is_some_and(|text| text == "true")
    }

    /// The utility that a method loses with each second of waiting. It decides which methods count as patient.
    fn urgency(&self, method: u16) -> f64 {
        self.method_setting(method, "credit", 1.0) / self.method_setting(method, "onTime", 1.0).max(1e-3)
    }

    /// An RPC arrived.
    pub fn on_arrival(&mut self, host: &mut dyn Host, now: Nanos, arrival: &Arrival) {
        if !self.has_room_for_customer(now, arrival.customer) {
            self.refused_customers += 1;
            return host.reject(arrival.id, 0);
        }
        self.use_service(now, arrival.service);
        let plan = |name: &str, default| self.setting(&format!("tariffs.{}.{name}", arrival.plan), default);
        let (gateway_count, bucket) =
            (f64::from(arrival.gateway_count.max(1)), (plan("perSecond", 0.0), plan("depth", 0.0)));
        let ceiling = (plan("ceilingRate", 0.0), plan("hardBurst", 0.0));
        let new_customer = Customer {
            quota: Quota::new(now, self.started_at.unwrap_or(now), gateway_count, bucket, ceiling),
            max_open_attempts: (plan("maxOut", 0.0) / gateway_count).ceil() as u64,
            // Plans whose usage beyond the quota earns more than it costs may borrow one burst while there is no throttling.
            may_borrow: plan("overWorth", 0.0) > plan("beyondCosts", 1.0),
            timer_at: Nanos::MAX,
            ..Customer::default()
        };
        self.customers.entry(arrival.customer).or_insert_with(|| Box::new(new_customer.clone()));
        let customer = self.customer(now, arrival.customer);
        customer.used_at = now;
        customer.quota.apply_plan(&new_customer.quota);
        (customer.max_open_attempts, customer.may_borrow) =
            (new_customer.max_open_attempts, new_customer.may_borrow);
        let methods = self.setting("classes.count", 1.0) as u16;
        let max_urgency = (0..methods).map(|method| self.urgency(method)).fold(0.0, f64::max);
        let urgency = self.urgency(arrival.method);
        let soft_timeout = nanos(self.method_setting(arrival.method, "onTime", 1.0));
        let rpc = Rpc {
            settings: self.settings.clone(),
            method: arrival.method,
            customer: arrival.customer,
            service: arrival.service,
            units: arrival.units.max(0.0),
            urgency,
            patient: urgency < max_urgency / 2.0,
            soft_deadline: (now + soft_timeout).min(arrival.deadline),
            soft_timeout,
            ..Rpc::default()
        };
        self.rpcs.insert(arrival.id, rpc);
        self.set_state(arrival.id, RpcState::Held);
        self.advance_queue(host, now, arrival.customer);
        self.release_customer(arrival.customer);
    }

    /// The process is shutting down: every RPC gets its final answer by this deadline.
    pub fn shut_down_by(&mut self, host: &mut dyn Host, now: Nanos, deadline: Nanos) {
        self.rpcs.values_mut().for_each(|rpc| rpc.soft_deadline = rpc.soft_deadline.min(deadline));
        let queued = self.customers.iter().filter(|(_, customer)| !customer.queue.is_empty());
        let waiting: BTreeSet<u64> = queued.map(|(key, _)| *key).collect();
        waiting.into_iter().for_each(|key| self.schedule_customer(host, now, key, deadline));
    }

    /// A client stopped waiting for its RPC.
    pub fn on_client_left(&mut self, id: u32) {
        let Some(customer) = self.rpcs.get(&id).map(|rpc| rpc.customer) else { return };
        self.set_state(id, RpcState::Ended);
        self.release_customer(customer);
    }

    /// A timer that was set through the host has expired.
    pub fn on_timer(&mut self, host: &mut dyn Host, now: Nanos, token: u32) {
        match self.timers.remove(&token) {
            Some(COUNTER_TIMER) => self.call_counter_for_queued(host, now),
            Some(key) if self.customers.get(&key).is_some_and(|customer| customer.timer_at <= now) => {
                self.customer(now, key).timer_at = Nanos::MAX;
                self.advance_queue(host, now, key);
                self.report_usage(host, now, key);
                self.release_customer(key);
            }
            _ => {}
        }
    }

    /// Changes the state of an RPC and keeps the queue, the quota and the set of RPCs consistent with it. Every change of state
    /// goes through this function.
    fn set_state(&mut self, id: u32, to: RpcState) {
        let Some(rpc) = self.rpcs.get_mut(&id) else { return };
        let was = std::mem::replace(&mut rpc.state, to);
        let queued = |state| matches!(state, RpcState::Held | RpcState::Claiming);
        let (urgency, units) = (rpc.urgency, rpc.units);
        let Some(customer) = self.customers.get_mut(&rpc.customer) else { return };
        if to == RpcState::Ended && rpc.units_taken && !rpc.written && was != RpcState::InFlight {
            customer.quota.take(-units); // refund: it was never sent, so no server has counted it
        }
        if queued(was) && !queued(to) {
            customer.queue.retain(|other| *other != id);
        } else if !queued(was) && queued(to) {
            let ahead = |other: &u32| self.rpcs.get(other).is_some_and(|other| other.urgency >= urgency);
            let index = customer.queue.partition_point(ahead);
            customer.queue.insert(index, id);
        }
        if to == RpcState::Ended {
            self.rpcs.remove(&id);
        }
    }

    /// Advances a held RPC as far as possible now, and returns when to check it again. `units_ahead` are the units of the RPCs
    /// before it in the queue, which take precedence.
    fn advance(&mut self, host: &mut dyn Host, now: Nanos, id: u32, units_ahead: &mut f64) -> Nanos {
        let Some(rpc) = self.rpcs.get(&id) else { return Nanos::MAX };
        let Rpc { customer: key, service, method, units, soft_timeout, patient, units_taken, .. } = *rpc;
        let ran = rpc.first_run.is_some(); // and may therefore be bound to a group of servers
        // Give up if too little time is left for an answer in time, or if no further attempt is allowed.
        let latest = self.latest_send_time(now, rpc);
        if now >= latest || self.attempts_left(rpc) == 0 || now >= rpc.repeat_deadline() {
            return self.finish(host, now, id, 0);
        }
        // Quota: the customer's bucket, down to the reserve line if the RPC is patient.
        let mut needs_claim = false;
        if !units_taken {
            let available_at = self.quota_available_at(now, key, units, *units_ahead, patient);
            if available_at > now {
                *units_ahead += units;
                if available_at > latest {
                    // If it is this gateway's share of the ceiling that is used up, another gateway may have room now.
                    let own = &self.customers[&key];
                    let is_ceiling_share = own.quota.ceiling_rate > 0.0
                        && own.quota.ceiling_level < units
                        && own.quota.gateway_count > 1.0;
                    return self.finish(
                        host,
                        now,
                        id,
                        if is_ceiling_share { RECHECK_INTERVAL } else { available_at - now },
                    );
                }
                return available_at;
            }
            needs_claim = self.needs_claim(now, key, units + *units_ahead, patient);
        }
        // Select a server that can take the RPC, unless it is throttled or all servers are crowded.
        let crowded = self.is_crowded(now, soft_timeout, patient);
        let held = !units_taken && patient && self.is_throttled(now, key);
        let max_latency = secs(soft_timeout) * if patient { PATIENT_WAIT_SHARE } else { URGENT_WAIT_SHARE };
        let held =
            held || !ran && self.no_server_until.get(&(service, method)).is_some_and(|until| now < *until);
        let Some(server) =
            (if held { None } else { self.select_server(now, id, crowded.then_some(max_latency)) })
        else {
            if !held && !ran {
                self.no_server_until.insert((service, method), now + RECHECK_INTERVAL);
            }
            return (now + RECHECK_INTERVAL).min(latest);
        };
        // Take the units. If other gateways could take the same last units, claim them at the counter first.
        if !units_taken {
            let customer = self.customer(now, key);
            customer.quota.take(units);
            let claim_serial = customer.quota.last_serial + 1;
            self.rpcs.entry(id).and_modify(|rpc| (rpc.units_taken, rpc.claim_serial) = (true, claim_serial));
            if needs_claim {
                self.set_state(id, RpcState::Claiming);
                self.call_counter(host, now, key);
                return latest; // `advance_queue` ends it then if the counter has not answered
            }
        }
        self.send(host, now, id, server);
        Nanos::MAX
    }

    fn send(&mut self, host: &mut dyn Host, now: Nanos, id: u32, server_id: u32) {
        let Some(server) = self.servers.get(&server_id) else { return };
        let group = ServerGroup::of(&server.entry);
        self.set_state(id, RpcState::InFlight);
        let timeout = self.attempt_timeout(now, id);
        let Some(rpc) = self.rpcs.get_mut(&id) else { return };
        let (attempt_number, key, write_before) = (rpc.attempts as u16, rpc.customer, rpc.repeat_deadline());
        rpc.attempts += 1;
        let soft_deadline = if rpc.patient { Nanos::MAX } else { rpc.soft_deadline };
        let refund = if rpc.written { 0.0 } else { rpc.units };
        self.customer(now, key).open_attempts += 1;
        if let Some(server) = self.servers.get_mut(&server_id) {
            server.open_attempts.push_back((id, attempt_number, now));
            server.cold_gap = (now, 1.0);
            let service = self.services.get_mut(&server.entry.service);
            service.into_iter().for_each(|service| service.subsetter.record_sent(server_id));
        }
        let attempt =
            OpenAttempt { server: server_id, group, customer: key, sent_at: now, soft_deadline, refund };
        self.open_attempts.insert((id, attempt_number), attempt);
        host.send_attempt(id, server_id, timeout, write_before);
        self.expected_wait.0 = 0;
        self.report_usage(host, now, key);
    }

    /// An attempt ended. If the RPC has not been answered with it, the RPC is retried or gets its final answer now.
    pub fn on_attempt_end(&mut self, host: &mut dyn Host, now: Nanos, result: &AttemptResult) {
        let Some(attempt) = self.open_attempts.remove(&(result.rpc, result.attempt)) else { return };
        let OpenAttempt { server: server_id, customer: key, sent_at, refund, group, .. } = attempt;
        let unwritten = matches!(result.outcome, CallOutcome::NoConnection | CallOutcome::NotSent);
        let never_ran = unwritten || result.outcome == CallOutcome::Full;
        let mut columns = self.settings.get("reporting.columns").map_or("", String::as_str).split(',');
        let busy_requests = columns
            .position(|name| name == "busy_reqs")
            .and_then(|index| result.load_report.get(index).copied());
        let is_bad =
            result.outcome != CallOutcome::Ok || revisit::is_slow(result.duration, self.typical_latency(now));
        let position = if is_bad { self.rng.f64() } else { 0.0 };
        if let Some(server) = self.servers.get_mut(&server_id) {
            server.open_attempts.retain(|open| (open.0, open.1) != (result.rpc, result.attempt));
            if result.outcome != CallOutcome::NotSent {
                push_bounded(
                    &mut server.results,
                    (now, result.duration, result.outcome == CallOutcome::Ok),
                    SAMPLES_KEPT,
                );
                if is_bad {
                    server.bad_streak.record_bad(now, sent_at, position);
                } else {
                    server.bad_streak.record_good(sent_at);
                }
            }
            server.reported_load = busy_requests.map_or(server.reported_load, |busy| (now, busy.max(0.0)));
            let service = self.services.get_mut(&server.entry.service).filter(|_| !never_ran);
            service
                .into_iter()
                .for_each(|service| push_bounded(&mut service.run_ends, now, 2 * SAMPLES_KEPT));
        }
        if !never_ran {
            push_bounded(
                &mut self.results,
                (now, result.duration, result.outcome == CallOutcome::Ok),
                2 * SAMPLES_KEPT,
            );
        }
        let customer = self.customer(now, key);
        customer.open_attempts -= 1;
        customer.used_at = now;
        (self.expected_wait.0, self.latency_throttle.0, self.typical_latency.0) = (0, 0, 0);
        self.no_server_until.clear();
        if let Some(rpc) = self.rpcs.get_mut(&result.rpc) {
            let (urgent, units, soft_timeout) = (!rpc.patient, rpc.units, secs(rpc.soft_timeout));
            if !never_ran && rpc.first_run.is_none() {
                rpc.first_run = Some(FirstRun { sent_at, group, scope: rpc.repeat_scope() });
            }
            rpc.written |= !unwritten;
            if urgent && matches!(result.outcome, CallOutcome::Ok | CallOutcome::TimedOut) {
                push_bounded(
                    &mut self.urgent_latencies,
                    (now, secs(result.duration) / soft_timeout.max(1e-3)),
                    2 * SAMPLES_KEPT,
                );
            }
            let customer = self.customer(now, key);
            if urgent {
                push_bounded(&mut customer.urgent_outcomes, (now, false), 2 * SAMPLES_KEPT);
            }
            if result.settled_units > 0.0 {
                customer.quota.settle(result.settled_units - units); // corrects the estimate by the actual units
            }
            self.set_state(result.rpc, if result.rpc_answered { RpcState::Ended } else { RpcState::Held });
        } else if unwritten {
            self.customer(now, key).quota.take(-refund);
        }
        self.advance_queue(host, now, key);
        self.release_customer(key);
    }

    /// Advances all waiting RPCs of a customer, most urgent first, and sets the timer for the next check.
    ///
    /// A long queue is checked only once for each instant of time. In a burst of one customer dozens of RPCs wait, and if each
    /// of their events checked them all, a gateway with a small share of a core would fall behind until answers are late. The
    /// cost: an RPC that a second event of the same instant makes room for is sent a millisecond later.
    fn advance_queue(&mut self, host: &mut dyn Host, now: Nanos, key: u64) {
        let customer = self.customer(now, key);
        if customer.queue.len() > LONG_QUEUE_LEN && customer.checked_at == now {
            return self.schedule_customer(host, now, key, now + MS);
        }
        customer.checked_at = now;
        let (mut units_ahead, mut next) = (0.0, Nanos::MAX);
        self.typical_latency = (now, self.typical_latency(now));
        for id in self.customer(now, key).queue.clone() {
            let Some(rpc) = self.rpcs.get(&id) else { continue };
            let latest = self.latest_send_time(now, rpc);
            // A claim that is not answered in time ends like any held RPC, in case its counter call is never sent or answered.
            let due = rpc.state == RpcState::Held || now >= latest;
            next = next.min(if due { self.advance(host, now, id, &mut units_ahead) } else { latest });
        }
        self.schedule_customer(host, now, key, next);
    }

    /// Gives an RPC its final answer. `available_in` is the time until there is quota for it, or 0 if quota is not the reason;
    /// a rejection passes it on as advice when to retry.
    fn finish(&mut self, host: &mut dyn Host, now: Nanos, id: u32, available_in: Nanos) -> Nanos {
        let Some(rpc) = self.rpcs.get(&id) else { return Nanos::MAX };
        let may_repeat = rpc.first_run.is_none_or(|first| first.scope == RepeatScope::AllServers);
        let harmless = may_repeat && now < rpc.repeat_deadline();
        let key = rpc.customer;
        if !rpc.patient && available_in > 0 {
            push_bounded(&mut self.customer(now, key).urgent_outcomes, (now, true), 2 * SAMPLES_KEPT);
        }
        self.set_state(id, RpcState::Ended);
        let max_retry_after = nanos(self.setting("ceilings.maxRetryAfter", 0.0));
        let retry_after =
            if self.is_enabled("ceilings.retryAfter") { available_in.min(max_retry_after) } else { 0 };
        match harmless {
            true => host.reject(id, retry_after),
            false => host.abort(id),
        }
        Nanos::MAX
    }

    fn attempts_left(&self, rpc: &Rpc) -> u64 {
        (number_setting(&rpc.settings, "ceilings.attemptsCap", 1.0) as u64).saturating_sub(rpc.attempts)
    }

    /// How long to wait for the answer to an attempt; 0 means until the deadline. An RPC that may be retried leaves time for
    /// that, in case the server hangs or is slow. If all servers are slow it does not, since retries would only add load.
    fn attempt_timeout(&self, now: Nanos, id: u32) -> Nanos {
        let Some(rpc) = self.rpcs.get(&id) else { return 0 };
        let may_retry = self.attempts_left(rpc) > 1
            && (rpc.setting_is("idempotency", "free") || rpc.setting_is("idempotency", "guarded"));
        let timeout = rpc.soft_deadline.saturating_sub(now) * 3 / 5;
        if may_retry && timeout > 4 * self.typical_latency(now) { timeout } else { 0 }
    }

    /// The latest time to send an RPC so that it is typically answered in time.
    fn latest_send_time(&self, now: Nanos, rpc: &Rpc) -> Nanos {
        rpc.soft_deadline.saturating_sub(self.typical_latency(now).min(rpc.soft_timeout / 2))
    }

    /// Whether one more RPC would be late, whatever the cause of the overload. Patient RPCs are held back first.
    ///
    /// The expected wait is the number of open attempts over the rate of answers; with few answers the recent latencies are
    /// the better estimate. Attempts at hanging servers are excluded, or they would stop all traffic. At low load the rate of
    /// answers is below what the servers can do and overstates the wait, so recent latencies bound it while there is no
    /// throttling.
    fn is_crowded(&mut self, now: Nanos, soft_timeout: Nanos, patient: bool) -> bool {
        if self.expected_wait.0 != now {
            let typical = self.typical_latency(now);
            let is_hanging = |id| self.servers.get(id).is_some_and(|server| server.is_hanging(now, typical));
            let healthy = self.open_attempts.values().filter(|attempt| !is_hanging(&attempt.server));
            let open_ages: Vec<_> = healthy.map(|attempt| now - attempt.sent_at).collect();
            let (count, rate) = recent_success_rate(now, &self.results, 1);
            let recent = self
                .results
                .iter()
                .rev()
                .take(SAMPLES_KEPT / 2)
                .filter(|result| now - result.0 < SAMPLE_LIFETIME);
            let mut latencies: Vec<Nanos> = recent.map(|result| result.1).collect();
            latencies.extend(open_ages.iter().filter(|age| **age > typical));
            let by_latency = if open_ages.is_empty() { 0.0 } else { secs(median(latencies)) };
            let allowance = if count < SAMPLES_KEPT { 3.0 } else { 0.0 }; // a rate from few answers is imprecise
            let by_rate = if count > 0 { (open_ages.len() as f64 + 1.0 - allowance) / rate } else { 0.0 };
            let bound = if self.latency_throttle.1 { by_rate } else { 2.0 * by_latency };
            self.expected_wait =
                (now, if count < SAMPLES_KEPT { by_latency.max(by_rate) } else { by_rate.min(bound) });
        }
        self.expected_wait.1
            > if patient { PATIENT_WAIT_SHARE } else { URGENT_WAIT_SHARE } * secs(soft_timeout)
    }

    /// The median duration of recent attempts. It includes attempts that timed out, or a fleet too slow to answer any in time
    /// would look fast. Old ones are excluded, or a gateway that they stopped from sending would never send again.
    fn typical_latency(&self, now: Nanos) -> Nanos {
        if self.typical_latency.0 == now {
            return self.typical_latency.1;
        }
        median(self.results.iter().filter(|result| now - result.0 < SEC).map(|result| result.1).collect())
    }

    fn set_timer(&mut self, host: &mut dyn Host, now: Nanos, at: Nanos, purpose: u64) {
        // Rounded up, so that the timer of a host with microsecond resolution does not expire too early.
        let at = at.max(now + MS).next_multiple_of(1000);
        self.timers.insert(self.next_timer_token, purpose);
        host.set_timer(at - now, self.next_timer_token);
        self.next_timer_token = self.next_timer_token.wrapping_add(1);
    }

    fn schedule_customer(&mut self, host: &mut dyn Host, now: Nanos, key: u64, at: Nanos) {
        if at < self.customer(now, key).timer_at {
            self.customer(now, key).timer_at = at;
            self.set_timer(host, now, at, key);
        }
    }
}
