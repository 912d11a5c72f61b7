//! Every decision of the gateway. A host makes one `AdmissionController` for each life and tells it what happens; each call
//! answers through the `Host` it is given. Start reading at `advance`, the path of an RPC.

use crate::attempts::OpenAttempt;
use crate::host::{Arrival, AttemptResult, CallOutcome, DiscoveredServer, Host, Nanos, Settings};
use crate::quota::Quota;
use crate::samples::{MS, SEC, answered, keep, median, number, secs, span};
use crate::subsetting::{Endpoint, Subsetter};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

mod counter_calls;
mod quota_check;
mod server_list;
mod server_selection;

/// From the design: the reserve line, and when the brake acts.
const RESERVE: f64 = 0.3;
const BRAKE_SPAN: Nanos = 10 * SEC;
const BRAKE_SAMPLES: usize = 20;
const BRAKE_QUOTA_SHARE: f64 = 0.005;
/// How many of the last samples are kept, and how long they speak for now.
const KEPT: usize = 32;
const FRESH: Nanos = 5 * SEC;
/// How much of its soft deadline an RPC may be expected to take in the servers when it is sent.
const PATIENT_SHARE: f64 = 0.3;
const URGENT_SHARE: f64 = 0.45;
const RECHECK: Nanos = 25 * MS; // until an RPC held for want of a server, or by the brake, is looked at again
const COUNT: u64 = u64::MAX;
const LONG_QUEUE: usize = 8; // RPCs of a customer that wait
const WINDOW_BITS: u64 = 0x7fff_ffff; // of a count's name, below the customer
const COUNTS_KEPT: usize = 8; // ends of count calls
const GAP_ANSWERS: Nanos = 100; // an answer narrows the gap between count calls by this part of it
const SILENT_AFTER: usize = 3; // of them, the last without an answer
/// A gateway's part of the servers: each is met about so often, and by so many gateways at the least.
const MEET: Nanos = SEC;
const SUBSET_COUNT: f64 = 18.0;
/// After working a subset out none is begun for so long, for each unit of the work, and for this at most: of a long list that
/// changes all the time, many changes are taken at once.
const REST_PER_UNIT: Nanos = 250;
const REST_MOST: Nanos = SEC;
/// A service that was not asked for in this time is dropped when another is asked for first.
const UNUSED: Nanos = 600 * SEC;

/// Where an RPC stands: `Held` waits for room, a server or the brake, `Claiming` for the counter's word.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Arrived,
    Held,
    Claiming,
    Out,
    Ended,
}

#[derive(Default)]
struct Rpc {
    state: State,
    rules: Arc<Settings>, // those it came in under
    method: u16,
    customer: u64,
    service: u32,
    units: f64,
    urgency: f64,
    patient: bool,
    soft_deadline: Nanos, // by when an answer is wanted, and never later than the client's deadline
    soft: Nanos,
    drawn: bool,   // its units are taken from the store; a further call-out takes none
    written: bool, // an attempt's bytes went out, or may have
    claim: u64,    // the count call that carries it
    tries: u64,
    ran: Option<(Nanos, u16, u16)>, // the first call-out that may have run: when sent, and where to
}

impl Rpc {
    /// Whether its method is told to be so. What is neither idempotent (`free`) nor deduplicated (`guarded`),
    /// or not told, must never run twice.
    fn is(&self, name: &str, value: &str) -> bool {
        self.rules.get(&format!("classes.{}.{name}", self.method)).is_some_and(|text| text == value)
    }

    /// Before when it may run once more: only after proof that nothing ran, or as the method allows.
    fn repeats_before(&self) -> Nanos {
        let ran = self.ran.filter(|_| !self.is("idempotency", "free"));
        let window = span(number(&self.rules, &format!("classes.{}.window", self.method), 0.0));
        ran.map_or(Nanos::MAX, |ran| if self.is("idempotency", "guarded") { ran.0 + window } else { 0 })
    }
}

#[derive(Clone, Default)]
struct Customer {
    quota: Quota,
    most_open: u64, // call-outs open at once, this gateway's part of the cap; 0 is none
    soft: bool,
    open: u64,
    queue: Vec<u32>, // ids of held and claiming RPCs, most urgent first, then as they came
    wake_at: Nanos,
    looked_at: Nanos,
    urgent: VecDeque<(Nanos, bool)>, // outcomes: when, and whether pushed back for lack of quota
}

impl Customer {
    /// The reserve line: patient RPCs leave this much of the burst.
    fn line(&self, now: Nanos, patient: bool) -> f64 {
        let left = 1.0 - (now % self.quota.window) as f64 / self.quota.window as f64;
        if patient { RESERVE * self.quota.burst * left } else { 0.0 }
    }
}

#[derive(Default)]
struct Server {
    listed: DiscoveredServer,
    open: VecDeque<(u32, u16, Nanos)>, // oldest first: RPC, number, and when sent
    ends: VecDeque<(Nanos, Nanos, bool)>, // the last: when, after how long, and whether ok
    cold: (Nanos, f64), // while cold: since when the next call-out waits, and for what part of the gap
    held: (Nanos, f64), // RPCs held there by all gateways, as it told last, and when
}

impl Server {
    /// Its oldest call-out is open for far longer than answers take now; if all are slow, none hangs.
    fn hangs(&self, now: Nanos, typical: Nanos) -> bool {
        self.open.front().is_some_and(|open| now - open.2 > (6 * typical).max(500 * MS))
    }

    /// Guards against a server that is down, cut off, full or erring: it rests, longer with each miss and
    /// with more gateways, which try it together, then is tried singly. Harm: a short fault idles it.
    fn rests(&self, now: Nanos, gateways: f64) -> bool {
        let misses = self.ends.iter().rev().take_while(|end| !end.2).count();
        let rest = (((50 * MS) << misses.min(5)) as f64 * (gateways / 3.0).max(1.0)) as Nanos;
        let until = self.ends.back().map_or(0, |end| end.0 + rest.min(2 * FRESH));
        misses > 0 && (now < until || !self.open.is_empty())
    }
}

/// A service that this gateway was asked for.
#[derive(Default)]
struct Service {
    subsetter: Subsetter, // its servers that new work may go to, first this gateway's subset
    asked_at: Nanos,
    ends: VecDeque<Nanos>, // of call-outs that may have run
    /// Units of work on the subset at hand, and until when none is begun.
    worked: usize,
    rests_until: Nanos,
}

/// Endpoints of a service that are no longer ready, and that are ready now.
#[derive(Default)]
struct ServiceChange {
    gone: Vec<u32>,
    came: Vec<u32>,
}

#[derive(Default)]
pub struct AdmissionController {
    settings: Arc<Settings>,
    chance: fastrand::Rng,
    /// When this life began: its part of a ceiling is empty then, since an earlier life may have spent it.
    born: Option<Nanos>,
    servers: BTreeMap<u32, Server>,
    ready: BTreeMap<u32, BTreeSet<u32>>, // by service
    leaving: BTreeSet<u32>,              // not ready, and with call-outs open
    services: BTreeMap<u32, Service>,
    salt: u64,
    customers: HashMap<u64, Customer>,
    customers_most: usize, // before those are forgotten that can be
    rpcs: HashMap<u32, Rpc>,
    /// Attempts without an end yet, by RPC and number.
    open: BTreeMap<(u32, u16), OpenAttempt>,
    wakes: HashMap<u32, u64>, // for which customer, or what else
    next_wake: u32,
    ends: VecDeque<(Nanos, Nanos, bool)>, // of all that may have run: when, after how long, and whether ok
    urgent: VecDeque<(Nanos, f64)>,       // ends of urgent ones: when, and latency over soft deadline
    /// Worked out once an instant: the wait that one more has, the latency part of the brake, and `typical`.
    wait: (Nanos, f64),
    brake: (Nanos, bool),
    typical: (Nanos, Nanos),
    /// Until when a service's method that found no server finds none, unless an attempt ends or the list
    /// changes: to look at all servers for each customer that waits would take a small gateway's core.
    nowhere: BTreeMap<(u32, u16), Nanos>,
    /// Last ends of count calls, when the next is free, after what gap, and the customers waiting for one.
    counter: VecDeque<bool>,
    counter_rest: Nanos,
    counter_gap: Nanos,
    count_wake_at: Nanos,
    to_count: VecDeque<u64>,
}

impl AdmissionController {
    pub fn new(seed: u64, settings: Settings) -> Self {
        let mut chance = fastrand::Rng::with_seed(seed);
        let salt = chance.u64(..);
        let mut brain = AdmissionController {
            settings: Arc::new(settings),
            chance,
            salt,
            ..AdmissionController::default()
        };
        brain.ask_for(0, 0);
        brain
    }

    /// Other settings hold now. RPCs that are here keep theirs; customers follow with their next RPC.
    pub fn update_settings(&mut self, now: Nanos, settings: Settings) {
        self.settings = Arc::new(settings);
        self.nowhere.clear();
        let gateways = self.gateways() as usize;
        self.services.values_mut().for_each(|service| service.subsetter.set_fleet_size(gateways));
        let services: Vec<u32> = self.services.keys().copied().collect();
        services.into_iter().for_each(|at| self.share_out(now, at));
    }

    // ---- Settings: each is picked where it is needed; what is missing or can't be read takes the default.

    fn setting(&self, name: &str, default: f64) -> f64 {
        number(&self.settings, name, default)
    }

    fn method(&self, method: u16, name: &str, default: f64) -> f64 {
        self.setting(&format!("classes.{method}.{name}"), default)
    }

    fn gateways(&self) -> f64 {
        self.setting("balancers", 1.0).max(1.0)
    }

    fn is_true(&self, name: &str) -> bool {
        self.settings.get(name).is_some_and(|text| text == "true")
    }

    /// Utility lost for each second waited: what patience is judged by, from the settings alone.
    fn urgency(&self, method: u16) -> f64 {
        self.method(method, "credit", 1.0) / self.method(method, "onTime", 1.0).max(1e-3)
    }

    pub fn on_arrival(&mut self, host: &mut dyn Host, now: Nanos, arrival: &Arrival) {
        self.ask_for(now, arrival.service);
        let plan = |name: &str, default| self.setting(&format!("tariffs.{}.{name}", arrival.plan), default);
        let (width, store) =
            (f64::from(arrival.gateway_count.max(1)), (plan("perSecond", 0.0), plan("depth", 0.0)));
        let ceiling = (plan("ceilingRate", 0.0), plan("hardBurst", 0.0));
        let made = Customer {
            quota: Quota::new(now, self.born.unwrap_or(now), width, store, ceiling),
            most_open: (plan("maxOut", 0.0) / width).ceil() as u64,
            // Soft plans, where use beyond the quota earns more than it costs, may borrow a burst while calm.
            soft: plan("overWorth", 0.0) > plan("beyondCosts", 1.0),
            wake_at: Nanos::MAX,
            ..Customer::default()
        };
        if self.customers.len() > self.customers_most {
            self.forget(now);
        }
        self.customers.entry(arrival.customer).or_insert_with(|| made.clone());
        let customer = self.customer(now, arrival.customer);
        customer.quota.follow(&made.quota);
        (customer.most_open, customer.soft) = (made.most_open, made.soft);
        let methods = self.setting("classes.count", 1.0) as u16;
        let most_urgent = (0..methods).map(|method| self.urgency(method)).fold(0.0, f64::max);
        let urgency = self.urgency(arrival.method);
        let soft = span(self.method(arrival.method, "onTime", 1.0));
        let rpc = Rpc {
            rules: self.settings.clone(),
            method: arrival.method,
            customer: arrival.customer,
            service: arrival.service,
            units: arrival.units.max(0.0),
            urgency,
            patient: urgency < most_urgent / 2.0,
            soft_deadline: (now + soft).min(arrival.deadline),
            soft,
            ..Rpc::default()
        };
        self.rpcs.insert(arrival.id, rpc);
        self.shift(arrival.id, State::Held);
        self.release(host, now, arrival.customer);
    }

    /// Forgets customers that would stand the same if they were new; called when their number has doubled.
    fn forget(&mut self, now: Nanos) {
        let (counts, to_count) = (self.is_true("extra.hasCounter"), &self.to_count);
        self.customers.retain(|key, at| {
            let rests = at.open == 0 && at.queue.is_empty() && !to_count.contains(key);
            let long = at.quota.rested(now) > BRAKE_SPAN + 2 * at.quota.window;
            !(rests && long && at.quota.is_as_new(now, counts))
        });
        self.customers_most = 2 * self.customers.len().max(32);
    }

    pub fn customer_count(&self) -> usize {
        self.customers.len()
    }

    /// The process ends: what is here has its final answer by this time.
    pub fn shut_down_by(&mut self, host: &mut dyn Host, now: Nanos, at: Nanos) {
        self.rpcs.values_mut().for_each(|rpc| rpc.soft_deadline = rpc.soft_deadline.min(at));
        let queued = self.customers.iter().filter(|(_, customer)| !customer.queue.is_empty());
        let waiting: BTreeSet<u64> = queued.map(|(key, _)| *key).collect();
        waiting.into_iter().for_each(|key| self.wake_customer(host, now, key, at));
    }

    pub fn on_client_left(&mut self, id: u32) {
        self.shift(id, State::Ended);
    }

    pub fn on_timer(&mut self, host: &mut dyn Host, now: Nanos, token: u32) {
        match self.wakes.remove(&token) {
            Some(COUNT) => self.count_next(host, now),
            Some(key) if self.customers.get(&key).is_some_and(|customer| customer.wake_at <= now) => {
                self.customer(now, key).wake_at = Nanos::MAX;
                self.release(host, now, key);
                self.share_count(host, now, key);
            }
            _ => {}
        }
    }

    /// Every change of state goes through here, and so does what hangs on it.
    fn shift(&mut self, id: u32, to: State) {
        let Some(rpc) = self.rpcs.get_mut(&id) else { return };
        let was = std::mem::replace(&mut rpc.state, to);
        let queued = |state| matches!(state, State::Held | State::Claiming);
        let (urgency, units) = (rpc.urgency, rpc.units);
        let Some(customer) = self.customers.get_mut(&rpc.customer) else { return };
        if to == State::Ended && rpc.drawn && !rpc.written && was != State::Out {
            customer.quota.take(-units); // never sent, so not counted by anybody
        }
        if queued(was) && !queued(to) {
            customer.queue.retain(|other| *other != id);
        } else if !queued(was) && queued(to) {
            let ahead = |other: &u32| self.rpcs.get(other).is_some_and(|other| other.urgency >= urgency);
            let place = customer.queue.partition_point(ahead);
            customer.queue.insert(place, id);
        }
        if to == State::Ended {
            self.rpcs.remove(&id);
        }
    }

    /// Takes a held RPC as far as it can go now and says when to look again; `ahead` units go first.
    fn advance(&mut self, host: &mut dyn Host, now: Nanos, id: u32, ahead: &mut f64) -> Nanos {
        let Some(rpc) = self.rpcs.get(&id) else { return Nanos::MAX };
        let Rpc { customer: key, service, method, units, soft, patient, drawn, .. } = *rpc;
        let ran = rpc.ran.is_some(); // and bound to a group, maybe
        // Too little time left for an answer in time, or no further call-out allowed: it ends here.
        let latest = self.latest(now, rpc);
        if now >= latest || self.tries_left(rpc) == 0 || now >= rpc.repeats_before() {
            return self.finish(host, now, id, 0);
        }
        // Room: the customer's store, down to the reserve line if the RPC is patient.
        let mut thin = false;
        if !drawn {
            let room_at = self.room_at(now, key, units, *ahead, patient);
            if room_at > now {
                *ahead += units;
                if room_at > latest {
                    // With this gateway's part of a ceiling spent, another of the set may have room now.
                    let own = &self.customers[&key];
                    let part =
                        own.quota.ceiling_rate > 0.0 && own.quota.ceiling < units && own.quota.width > 1.0;
                    return self.finish(host, now, id, if part { RECHECK } else { room_at - now });
                }
                return room_at;
            }
            thin = self.is_thin(now, key, units + *ahead, patient);
        }
        // A server that can take it, unless the brake holds or all are crowded.
        let crowded = self.crowded(now, soft, patient);
        let held = !drawn && patient && self.braked(now, key);
        let most = secs(soft) * if patient { PATIENT_SHARE } else { URGENT_SHARE };
        let held = held || !ran && self.nowhere.get(&(service, method)).is_some_and(|until| now < *until);
        let Some(server) = (if held { None } else { self.choose(now, id, crowded.then_some(most)) }) else {
            if !held && !ran {
                self.nowhere.insert((service, method), now + RECHECK);
            }
            return (now + RECHECK).min(latest);
        };
        // Units are taken; where another gateway could take the same last ones, the counter is asked first.
        if !drawn {
            let customer = self.customer(now, key);
            customer.quota.take(units);
            let claim = customer.quota.serial + 1;
            self.rpcs.entry(id).and_modify(|rpc| (rpc.drawn, rpc.claim) = (true, claim));
            if thin {
                self.shift(id, State::Claiming);
                self.count(host, now, key);
                return latest; // `release` ends it there if the counter has not answered
            }
        }
        self.send(host, now, id, server);
        Nanos::MAX
    }

    fn send(&mut self, host: &mut dyn Host, now: Nanos, id: u32, chosen: u32) {
        self.shift(id, State::Out);
        let limit = self.patience_with(now, id);
        let Some(rpc) = self.rpcs.get_mut(&id) else { return };
        let (nth, key, before) = (rpc.tries as u16, rpc.customer, rpc.repeats_before());
        rpc.tries += 1;
        let soft_deadline = if rpc.patient { Nanos::MAX } else { rpc.soft_deadline };
        let refund = if rpc.written { 0.0 } else { rpc.units };
        self.customer(now, key).open += 1;
        if let Some(server) = self.servers.get_mut(&chosen) {
            server.open.push_back((id, nth, now));
            server.cold = (now, 1.0);
            let service = self.services.get_mut(&server.listed.service);
            service.into_iter().for_each(|service| service.subsetter.record_sent(chosen));
        }
        let attempt = OpenAttempt { server: chosen, customer: key, sent_at: now, soft_deadline, refund };
        self.open.insert((id, nth), attempt);
        host.send_attempt(id, chosen, limit, before);
        self.wait.0 = 0;
        self.share_count(host, now, key);
    }

    /// The end of a call-out; a closed RPC has its answer, any other goes on or is answered now.
    pub fn on_attempt_end(&mut self, host: &mut dyn Host, now: Nanos, ended: &AttemptResult) {
        let Some(attempt) = self.open.remove(&(ended.rpc, ended.attempt)) else { return };
        let OpenAttempt { server: chosen, customer: key, sent_at: sent, refund, .. } = attempt;
        let unwritten = matches!(ended.outcome, CallOutcome::NoConnection | CallOutcome::NotSent);
        let never_ran = unwritten || ended.outcome == CallOutcome::Full;
        let mut place = (u16::MAX, u16::MAX);
        let mut columns = self.settings.get("reporting.columns").map_or("", String::as_str).split(',');
        let told =
            columns.position(|name| name == "busy_reqs").and_then(|at| ended.load_report.get(at).copied());
        if let Some(server) = self.servers.get_mut(&chosen) {
            place = (server.listed.zone, server.listed.cell);
            server.open.retain(|open| (open.0, open.1) != (ended.rpc, ended.attempt));
            if ended.outcome != CallOutcome::NotSent {
                keep(&mut server.ends, (now, ended.duration, ended.outcome == CallOutcome::Ok), KEPT);
            }
            server.held = told.map_or(server.held, |held| (now, held.max(0.0)));
            let service = self.services.get_mut(&server.listed.service).filter(|_| !never_ran);
            service.into_iter().for_each(|service| keep(&mut service.ends, now, 2 * KEPT));
        }
        if !never_ran {
            keep(&mut self.ends, (now, ended.duration, ended.outcome == CallOutcome::Ok), 2 * KEPT);
        }
        self.customer(now, key).open -= 1;
        (self.wait.0, self.brake.0, self.typical.0) = (0, 0, 0);
        self.nowhere.clear();
        if let Some(rpc) = self.rpcs.get_mut(&ended.rpc) {
            let (urgent, units, soft) = (!rpc.patient, rpc.units, secs(rpc.soft));
            rpc.ran = rpc.ran.or((!never_ran).then_some((sent, place.0, place.1)));
            rpc.written |= !unwritten;
            if urgent && matches!(ended.outcome, CallOutcome::Ok | CallOutcome::TimedOut) {
                keep(&mut self.urgent, (now, secs(ended.duration) / soft.max(1e-3)), 2 * KEPT);
            }
            let customer = self.customer(now, key);
            if urgent {
                keep(&mut customer.urgent, (now, false), 2 * KEPT);
            }
            if ended.settled_units > 0.0 {
                customer.quota.settle(ended.settled_units - units); // the guess is put right with what it counted
            }
            self.shift(ended.rpc, if ended.rpc_answered { State::Ended } else { State::Held });
        } else if unwritten {
            self.customer(now, key).quota.take(-refund);
        }
        self.release(host, now, key);
    }

    /// Looks at all that waits of a customer, most urgent first, and sets the timer for the next look.
    ///
    /// Guards against a burst of one customer: dozens wait, each event of theirs would look at all of them,
    /// and with a small part of a core the turns grow until answers are late. So a long line is looked at
    /// once an instant. Harm: what a second event of the instant makes room for goes out a millisecond later.
    fn release(&mut self, host: &mut dyn Host, now: Nanos, key: u64) {
        let customer = self.customer(now, key);
        if customer.queue.len() > LONG_QUEUE && customer.looked_at == now {
            return self.wake_customer(host, now, key, now + MS);
        }
        customer.looked_at = now;
        let (mut ahead, mut next) = (0.0, Nanos::MAX);
        self.typical = (now, self.typical(now));
        for id in self.customer(now, key).queue.clone() {
            let Some(rpc) = self.rpcs.get(&id) else { continue };
            let latest = self.latest(now, rpc);
            // Guards against a count call that never gets out or back: a late claim ends like any held RPC.
            let due = rpc.state == State::Held || now >= latest;
            next = next.min(if due { self.advance(host, now, id, &mut ahead) } else { latest });
        }
        self.wake_customer(host, now, key, next);
    }

    /// Gives an RPC its final answer at once, with a time to come back where that is known.
    fn finish(&mut self, host: &mut dyn Host, now: Nanos, id: u32, room_in: Nanos) -> Nanos {
        let Some(rpc) = self.rpcs.get(&id) else { return Nanos::MAX };
        let all = rpc.is("group", "all");
        let again = all || rpc.ran.is_none() || rpc.is("idempotency", "free");
        let harmless = again && now < rpc.repeats_before();
        let key = rpc.customer;
        if !rpc.patient && room_in > 0 {
            keep(&mut self.customer(now, key).urgent, (now, true), 2 * KEPT);
        }
        self.shift(id, State::Ended);
        let most = span(self.setting("ceilings.maxRetryAfter", 0.0));
        let come_back = if self.is_true("ceilings.retryAfter") { room_in.min(most) } else { 0 };
        match harmless {
            true => host.reject(id, come_back),
            false => host.abort(id),
        }
        Nanos::MAX
    }

    fn tries_left(&self, rpc: &Rpc) -> u64 {
        (number(&rpc.rules, "ceilings.attemptsCap", 1.0) as u64).saturating_sub(rpc.tries)
    }

    /// How long to wait for this call-out; 0 is until the deadline. Guards against hanging and slow servers:
    /// an RPC that may go out again leaves itself time, unless all are slow, when that would only add work.
    fn patience_with(&self, now: Nanos, id: u32) -> Nanos {
        let Some(rpc) = self.rpcs.get(&id) else { return 0 };
        let again =
            self.tries_left(rpc) > 1 && (rpc.is("idempotency", "free") || rpc.is("idempotency", "guarded"));
        let limit = rpc.soft_deadline.saturating_sub(now) * 3 / 5;
        if again && limit > 4 * self.typical(now) { limit } else { 0 }
    }

    /// When an RPC must be out to be answered in time as a rule.
    fn latest(&self, now: Nanos, rpc: &Rpc) -> Nanos {
        rpc.soft_deadline.saturating_sub(self.typical(now).min(rpc.soft / 2))
    }

    /// Whether one more would be late: open over answered a second; of few answers the last ones tell more.
    /// Guards against overload of any cause, patient RPCs giving way first; hanging servers are left out, or
    /// they would stop all. A rate below what servers can do says too much: while calm the last ends bound
    /// it.
    fn crowded(&mut self, now: Nanos, soft: Nanos, patient: bool) -> bool {
        if self.wait.0 != now {
            let typical = self.typical(now);
            let hangs = |id| self.servers.get(id).is_some_and(|server| server.hangs(now, typical));
            let up = self.open.values().filter(|attempt| !hangs(&attempt.server));
            let open: Vec<_> = up.map(|attempt| now - attempt.sent_at).collect();
            let (count, rate) = answered(now, &self.ends, 1);
            let last = self.ends.iter().rev().take(KEPT / 2).filter(|end| now - end.0 < FRESH);
            let mut took: Vec<Nanos> = last.map(|end| end.1).collect();
            took.extend(open.iter().filter(|age| **age > typical));
            let by_last = if open.is_empty() { 0.0 } else { secs(median(took)) };
            let spare = if count < KEPT { 3.0 } else { 0.0 }; // of few answers the rate says little
            let by_rate = if count > 0 { (open.len() as f64 + 1.0 - spare) / rate } else { 0.0 };
            let bound = if self.brake.1 { by_rate } else { 2.0 * by_last };
            self.wait = (now, if count < KEPT { by_last.max(by_rate) } else { by_rate.min(bound) });
        }
        self.wait.1 > if patient { PATIENT_SHARE } else { URGENT_SHARE } * secs(soft)
    }

    /// What a call-out takes now: the median, cut off ones too, or a fleet too slow to answer any in time
    /// would look quick; old ones don't count, or a gateway they stopped would stay so.
    fn typical(&self, now: Nanos) -> Nanos {
        if self.typical.0 == now {
            return self.typical.1;
        }
        median(self.ends.iter().filter(|end| now - end.0 < SEC).map(|end| end.1).collect())
    }

    fn wake(&mut self, host: &mut dyn Host, now: Nanos, at: Nanos, wake: u64) {
        // Rounded up: a host that counts microseconds must not ring before what waits is due.
        let at = at.max(now + MS).next_multiple_of(1000);
        self.wakes.insert(self.next_wake, wake);
        host.set_timer(at - now, self.next_wake);
        self.next_wake = self.next_wake.wrapping_add(1);
    }

    fn wake_customer(&mut self, host: &mut dyn Host, now: Nanos, key: u64, at: Nanos) {
        if at < self.customer(now, key).wake_at {
            self.customer(now, key).wake_at = at;
            self.wake(host, now, at, key);
        }
    }
}
