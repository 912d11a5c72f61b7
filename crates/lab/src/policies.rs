//! The policies that an emulated gateway can run, behind one trait: the real admission controller or one of two
//! baselines. The product has no baseline policy; emulated results are compared with the baselines.

use crate::Nanos;
use martenramp::admission::AdmissionController;
use martenramp::host::{Arrival, AttemptResult, CallOutcome, DiscoveredServer, Host, Settings};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

/// The policy that the gateways of a run use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// The real admission controller, `martenramp::admission`.
    #[default]
    Design,
    /// Each gateway has an even share of each customer's quota bucket and picks the server with the fewest open
    /// attempts. No reserve line and no throttling.
    Plain,
    /// All gateways share one exact quota bucket for each customer but see the others' use of it late. Each picks the
    /// server with the fewest open attempts.
    Late,
}

impl PolicyKind {
    /// All policies.
    pub const ALL: [PolicyKind; 3] = [PolicyKind::Design, PolicyKind::Plain, PolicyKind::Late];

    /// The policy's name on the command line and in tables.
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::Design => "design",
            PolicyKind::Plain => "plain",
            PolicyKind::Late => "late",
        }
    }

    /// The policy with the given name.
    pub fn parse(text: &str) -> Result<PolicyKind, String> {
        PolicyKind::ALL
            .into_iter()
            .find(|kind| kind.name() == text)
            .ok_or_else(|| format!("no policy '{text}'"))
    }
}

/// An action that a policy requested from its host. Actions are executed after the call of the policy returns, so that
/// the policy is never re-entered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HostAction {
    /// Send an attempt of an RPC to a server.
    SendAttempt {
        /// The RPC.
        rpc: u32,
        /// The server.
        server: u32,
        /// How long the attempt may take; 0 waits until the deadline.
        timeout: Nanos,
    },
    /// Reject an RPC.
    Reject {
        /// The RPC.
        rpc: u32,
        /// The time from now after which the client may retry; 0 gives no advice.
        retry_after: Nanos,
    },
    /// Fail an RPC that may have run.
    Abort {
        /// The RPC.
        rpc: u32,
    },
    /// Call the policy's `on_timer` later.
    SetTimer {
        /// The time from now.
        after: Nanos,
        /// The token that is passed to `on_timer`.
        token: u32,
    },
    /// Add to a count of the shared counter.
    AddToCounter {
        /// The name of the count.
        name: u64,
        /// The amount to add.
        add: f64,
        /// How long the counter keeps a new count.
        forget: Nanos,
    },
}

/// The host of an emulated policy: collects the requested actions in order.
#[derive(Default)]
pub struct HostActions(pub Vec<HostAction>);

impl Host for HostActions {
    fn send_attempt(&mut self, rpc: u32, server: u32, timeout: Nanos, _write_before: Nanos) {
        self.0.push(HostAction::SendAttempt { rpc, server, timeout });
    }
    fn reject(&mut self, rpc: u32, retry_after: Nanos) {
        self.0.push(HostAction::Reject { rpc, retry_after });
    }
    fn abort(&mut self, rpc: u32) {
        self.0.push(HostAction::Abort { rpc });
    }
    fn set_timer(&mut self, after: Nanos, token: u32) {
        self.0.push(HostAction::SetTimer { after, token });
    }
    fn add_to_counter(&mut self, name: u64, add: f64, forget: Nanos) {
        self.0.push(HostAction::AddToCounter { name, add, forget });
    }
}

/// A policy's callbacks, the same as those by which the real gateway calls the admission controller.
pub trait Policy {
    /// Discovery sent a server list: all servers if `whole`, otherwise only the changed ones.
    fn on_server_list(&mut self, now: Nanos, whole: bool, list: &[DiscoveredServer]);
    /// An RPC arrived.
    fn on_arrival(&mut self, host: &mut HostActions, now: Nanos, arrival: &Arrival);
    /// A timer that the policy set has expired.
    fn on_timer(&mut self, host: &mut HostActions, now: Nanos, token: u32);
    /// An attempt ended.
    fn on_attempt_end(&mut self, host: &mut HostActions, now: Nanos, result: &AttemptResult);
    /// A call to the counter ended.
    fn on_counter_reply(
        &mut self,
        host: &mut HostActions,
        now: Nanos,
        name: u64,
        outcome: CallOutcome,
        total: f64,
    );
    /// A client cancelled its RPC.
    fn on_client_left(&mut self, id: u32);
}

impl Policy for AdmissionController {
    fn on_server_list(&mut self, now: Nanos, whole: bool, list: &[DiscoveredServer]) {
        AdmissionController::on_server_list(self, now, whole, list);
    }
    fn on_arrival(&mut self, host: &mut HostActions, now: Nanos, arrival: &Arrival) {
        AdmissionController::on_arrival(self, host, now, arrival);
    }
    fn on_timer(&mut self, host: &mut HostActions, now: Nanos, token: u32) {
        AdmissionController::on_timer(self, host, now, token);
    }
    fn on_attempt_end(&mut self, host: &mut HostActions, now: Nanos, result: &AttemptResult) {
        AdmissionController::on_attempt_end(self, host, now, result);
    }
    fn on_counter_reply(
        &mut self,
        host: &mut HostActions,
        now: Nanos,
        name: u64,
        outcome: CallOutcome,
        total: f64,
    ) {
        AdmissionController::on_counter_reply(self, host, now, name, outcome, total);
    }
    fn on_client_left(&mut self, id: u32) {
        AdmissionController::on_client_left(self, id);
    }
}

/// The exact quota buckets of the late baseline. A gateway sees the units that another one takes after `delay`.
#[derive(Default)]
pub struct SharedBuckets {
    delay: Nanos,
    buckets: HashMap<u64, SharedBucket>,
    /// Open attempts at each server, over all gateways.
    open_attempts: BTreeMap<u32, u32>,
}

#[derive(Default)]
struct SharedBucket {
    rate: f64,
    burst: f64,
    /// The level at the time `as_of`, without the units taken until then.
    level: f64,
    as_of: Nanos,
    /// Units taken since `as_of`: time, gateway and amount.
    taken: VecDeque<(Nanos, u32, f64)>,
}

impl SharedBuckets {
    /// Buckets whose use other gateways see with the given delay.
    pub fn new_shared(delay: Nanos) -> Rc<RefCell<SharedBuckets>> {
        Rc::new(RefCell::new(SharedBuckets { delay, ..SharedBuckets::default() }))
    }

    /// The units that a gateway sees as available now: the exact level `delay` ago, refilled since, minus the units that
    /// the gateway itself has taken since.
    fn available(&mut self, now: Nanos, gateway: u32, key: u64, rate: f64, burst: f64) -> f64 {
        let delay = self.delay;
        let bucket = self.buckets.entry(key).or_insert_with(|| SharedBucket {
            rate,
            burst,
            level: burst,
            ..SharedBucket::default()
        });
        let as_of = now.saturating_sub(delay).max(bucket.as_of);
        while bucket.taken.front().is_some_and(|entry| entry.0 <= as_of) {
            let (at, _, units) = bucket.taken.pop_front().unwrap_or_default();
            bucket.level =
                (bucket.level + seconds(at - bucket.as_of) * bucket.rate).min(bucket.burst) - units;
            bucket.as_of = at;
        }
        bucket.level = (bucket.level + seconds(as_of - bucket.as_of) * bucket.rate).min(bucket.burst);
        bucket.as_of = as_of;
        let own_units: f64 =
            bucket.taken.iter().filter(|entry| entry.1 == gateway).map(|entry| entry.2).sum();
        (bucket.level + seconds(now - as_of) * bucket.rate).min(bucket.burst) - own_units
    }

    /// Takes units from a customer's bucket.
    fn take(&mut self, now: Nanos, gateway: u32, key: u64, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(&key) {
            bucket.taken.push_back((now, gateway, units));
        }
    }
}

fn seconds(span: Nanos) -> f64 {
    span as f64 / 1e9
}

/// A plain gateway's even share of a customer's bucket, from which only this gateway takes units.
#[derive(Clone, Copy)]
struct QuotaShare {
    level: f64,
    updated_at: Nanos,
}

/// An RPC without a final answer. `server` is that of the last attempt.
struct OpenRpc {
    method: u16,
    deadline: Nanos,
    attempts: u32,
    server: Option<u32>,
}

/// The two baselines. Both retry only idempotent methods, on another server, until the deadline and within the cap on
/// attempts. An RPC without enough quota is rejected with the time until the quota suffices.
pub struct Baseline {
    kind: PolicyKind,
    gateway: u32,
    settings: Settings,
    shared_buckets: Rc<RefCell<SharedBuckets>>,
    shares: HashMap<u64, QuotaShare>,
    rpcs: HashMap<u32, OpenRpc>,
    ready: Vec<u32>,
    /// This gateway's open attempts at each server, for the plain baseline.
    open_attempts: BTreeMap<u32, u32>,
    /// Increases with each choice of a server, so that ties are broken in rotation.
    rotation: usize,
}

impl Baseline {
    /// A baseline policy for one gateway.
    pub fn new(
        kind: PolicyKind,
        gateway: u32,
        settings: Settings,
        shared_buckets: Rc<RefCell<SharedBuckets>>,
    ) -> Baseline {
        let (shares, rpcs, open_attempts) = (HashMap::new(), HashMap::new(), BTreeMap::new());
        Baseline {
            kind,
            gateway,
            settings,
            shared_buckets,
            shares,
            rpcs,
            ready: Vec::new(),
            open_attempts,
            rotation: 0,
        }
    }

    /// A numeric setting, or the default if it is missing or not a number.
    fn number_setting(&self, name: &str, default: f64) -> f64 {
        self.settings.get(name).and_then(|text| text.parse().ok()).unwrap_or(default)
    }

    /// Takes the RPC's units from the customer's bucket. The error is the time until the bucket has enough units.
    fn take_quota(&mut self, now: Nanos, arrival: &Arrival) -> Result<(), Nanos> {
        // The late baseline uses the whole bucket, a plain gateway its even share.
        let divisor =
            if self.kind == PolicyKind::Late { 1.0 } else { f64::from(arrival.gateway_count.max(1)) };
        let rate = self.number_setting(&format!("tariffs.{}.perSecond", arrival.plan), 0.0) / divisor;
        let burst = self.number_setting(&format!("tariffs.{}.depth", arrival.plan), 0.0) / divisor;
        let available = match self.kind {
            PolicyKind::Late => {
                self.shared_buckets.borrow_mut().available(now, self.gateway, arrival.customer, rate, burst)
            }
            _ => {
                let share = self
                    .shares
                    .entry(arrival.customer)
                    .or_insert(QuotaShare { level: burst, updated_at: now });
                share.level = (share.level + seconds(now - share.updated_at) * rate).min(burst);
                share.updated_at = now;
                share.level
            }
        };
        if available < arrival.units {
            let retry_after = if rate > 0.0 { (arrival.units - available) / rate } else { 1.0 };
            return Err(crate::nanos(retry_after.min(60.0)));
        }
        match self.kind {
            PolicyKind::Late => {
                self.shared_buckets.borrow_mut().take(now, self.gateway, arrival.customer, arrival.units)
            }
            _ => self
                .shares
                .get_mut(&arrival.customer)
                .into_iter()
                .for_each(|share| share.level -= arrival.units),
        }
        Ok(())
    }

    /// The ready server with the fewest open attempts, other than `excluded`. Ties are broken in rotation.
    fn pick_server(&mut self, excluded: Option<u32>) -> Option<u32> {
        self.rotation = self.rotation.wrapping_add(1);
        let shared_buckets = self.shared_buckets.borrow();
        let open =
            if self.kind == PolicyKind::Late { &shared_buckets.open_attempts } else { &self.open_attempts };
        let count = self.ready.len();
        let candidates = (0..count).map(|offset| self.ready[(offset + self.rotation) % count]);
        candidates
            .filter(|server| Some(*server) != excluded)
            .min_by_key(|server| open.get(server).copied().unwrap_or(0))
    }

    /// Sends the next attempt of an RPC, or rejects the RPC if no server is left or its deadline has passed.
    fn send_attempt_or_reject(&mut self, host: &mut HostActions, now: Nanos, id: u32) {
        let Some(rpc) = self.rpcs.get(&id) else { return };
        let (excluded, deadline) = (rpc.server, rpc.deadline);
        match self.pick_server(excluded).filter(|_| now < deadline) {
            Some(server) => {
                self.add_open_attempts(server, 1);
                if let Some(rpc) = self.rpcs.get_mut(&id) {
                    (rpc.server, rpc.attempts) = (Some(server), rpc.attempts + 1);
                }
                host.send_attempt(id, server, 0, Nanos::MAX);
            }
            None => {
                self.rpcs.remove(&id);
                host.reject(id, 0);
            }
        }
    }

    /// Changes the number of open attempts at a server.
    fn add_open_attempts(&mut self, server: u32, change: i64) {
        let mut shared_buckets = self.shared_buckets.borrow_mut();
        let open = if self.kind == PolicyKind::Late {
            &mut shared_buckets.open_attempts
        } else {
            &mut self.open_attempts
        };
        let count = open.entry(server).or_default();
        *count = (i64::from(*count) + change).max(0) as u32;
    }
}

impl Policy for Baseline {
    fn on_server_list(&mut self, _now: Nanos, _whole: bool, list: &[DiscoveredServer]) {
        self.ready = list.iter().filter(|entry| entry.ready).map(|entry| entry.server).collect();
    }

    fn on_arrival(&mut self, host: &mut HostActions, now: Nanos, arrival: &Arrival) {
        if let Err(retry_after) = self.take_quota(now, arrival) {
            return host.reject(arrival.id, retry_after);
        }
        let rpc = OpenRpc { method: arrival.method, deadline: arrival.deadline, attempts: 0, server: None };
        self.rpcs.insert(arrival.id, rpc);
        self.send_attempt_or_reject(host, now, arrival.id);
    }

    fn on_timer(&mut self, _host: &mut HostActions, _now: Nanos, _token: u32) {}

    fn on_attempt_end(&mut self, host: &mut HostActions, now: Nanos, result: &AttemptResult) {
        self.add_open_attempts(result.server, -1);
        if result.rpc_answered || result.outcome == CallOutcome::Ok {
            self.rpcs.remove(&result.rpc);
            return;
        }
        let Some(rpc) = self.rpcs.get(&result.rpc) else { return };
        let cap = self.number_setting("ceilings.attemptsCap", 1.0).max(1.0) as u32;
        let idempotent = self
            .settings
            .get(&format!("classes.{}.idempotency", rpc.method))
            .is_some_and(|value| value == "free");
        if idempotent && rpc.attempts < cap && now < rpc.deadline {
            return self.send_attempt_or_reject(host, now, result.rpc);
        }
        self.rpcs.remove(&result.rpc);
        host.reject(result.rpc, 0);
    }

    fn on_counter_reply(
        &mut self,
        _host: &mut HostActions,
        _now: Nanos,
        _name: u64,
        _outcome: CallOutcome,
        _total: f64,
    ) {
    }

    fn on_client_left(&mut self, id: u32) {
        self.rpcs.remove(&id);
    }
}

/// A new policy of the given kind for one incarnation of a gateway. The admission controller uses the seed.
pub fn new_policy(
    kind: PolicyKind,
    gateway: u32,
    seed: u64,
    settings: &Settings,
    shared_buckets: &Rc<RefCell<SharedBuckets>>,
) -> Box<dyn Policy> {
    match kind {
        PolicyKind::Design => {
            let mut settings = settings.clone();
            settings.insert("me".to_string(), gateway.to_string());
            Box::new(AdmissionController::new(seed, settings))
        }
        _ => Box::new(Baseline::new(kind, gateway, settings.clone(), shared_buckets.clone())),
    }
}
