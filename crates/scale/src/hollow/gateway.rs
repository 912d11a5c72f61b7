//! One gateway without sockets: the product's admission controller, list watch, connections to the
//! counter and part in the agreement on settings.
//!
//! It is fed the bytes that the sockets would receive, and returns the bytes that they would send.

use super::Nanos;
use super::discovery::server_number;
use super::settings_agreement::{AgreementHandler, VersionFile};
use crate::replica::apply_update;
use agreement::config::AgreementConfig;
use gateway::counter::{self, Call, CounterConnection};
use gateway::list::{self, ListUpdate, Watch};
use gateway::name_ids::NameIds;
use gateway::servers::Servers;
use lab::policies::HostActions;
use martenramp::admission::AdmissionController;
use martenramp::host::{Arrival, AttemptResult, CallOutcome, Settings};
use martenramp::subsetting;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The memory that a gateway with 128 MB allows for the entries of one object of the list.
const ENTRY_MEMORY_LIMIT: usize = (128 << 20) / 4;

/// The parameters with which a gateway starts.
pub struct StartParams<'a> {
    pub number: u32,
    pub zone: usize,
    /// The random seed of this incarnation.
    pub seed: u64,
    pub settings: &'a Settings,
    pub zones: &'a [String],
    pub services: u32,
    /// Present if the settings have a version that the gateways agree on.
    pub agreement: Option<AgreementStart>,
}

/// The version file that a gateway starts with, and the configuration of the agreement.
pub struct AgreementStart {
    pub file: Arc<VersionFile>,
    pub config: AgreementConfig,
    /// Skips recovery: at the fleet's first start there is no earlier state to recover.
    pub fresh: bool,
}

/// A call that was written to a connection to the counter.
pub struct SentCall {
    pub connection: usize,
    pub serial: u64,
    pub bytes: Vec<u8>,
}

/// A PING that was written to a connection to the counter.
pub struct Ping {
    pub connection: usize,
    pub bytes: Vec<u8>,
}

/// The result of a periodic sweep.
pub struct SweepOutcome {
    pub pings: Vec<Ping>,
    /// Nothing has been received on the watch for too long.
    pub watch_is_unresponsive: bool,
}

/// The result of evaluating the agreement.
#[derive(Default)]
pub struct AgreementOutcome {
    /// Datagrams to be sent to all other gateways.
    pub datagrams: Vec<Vec<u8>>,
    /// When to evaluate next, if a new timer has to be set.
    pub next_evaluation: Option<Nanos>,
    /// The version that came into force, or came back into force, in this evaluation.
    pub in_force: Option<u64>,
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug)]
pub struct OpenAttempt {
    /// The gateway's own number of the server.
    pub server: u32,
    pub sent: Nanos,
}

/// An RPC without a final answer yet.
#[derive(Clone, Copy, Debug)]
pub struct OpenRpc {
    pub arrived: Nanos,
    pub deadline: Nanos,
    /// The number of attempts so far.
    pub attempts: u16,
}

/// The state machines of a gateway, and the state that its host keeps for them.
pub struct HollowGateway {
    pub controller: AdmissionController,
    pub watch: Watch,
    /// A watch is open or has been requested.
    pub is_watching: bool,
    pub actions: HostActions,
    pub rpcs: BTreeMap<u32, OpenRpc>,
    /// Open attempts, by RPC and number of the attempt.
    pub attempts: BTreeMap<(u32, u16), OpenAttempt>,
    pub agreement: Option<AgreementHandler>,
    connections: [CounterConnection; counter::CONNECTIONS],
    servers: Servers,
    /// The emulation's numbers of servers, by this gateway's own numbers.
    emulated_servers: BTreeMap<u32, u32>,
    name_ids: NameIds,
    /// The emulation's numbers of servers, by the keys of their names.
    emulated_servers_by_key: BTreeMap<u64, u32>,
    /// The number of services in the deployment; a server's service follows from its number.
    service_count: u32,
    /// Bytes received on the watch that the state machine has not consumed.
    input: Vec<u8>,
    rng: fastrand::Rng,
    /// Whether discovery pushes its lists, so that a request costs it nothing.
    lists_are_pushed: bool,
    gateway_count: u32,
    stop_sending_within: Nanos,
    last_call_serial: u64,
}

/// The result of receiving an agent's bytes.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ListOutcome {
    /// The number of entries received, over all list updates.
    pub entries: usize,
    /// Why the watch failed, if it did.
    pub error: Option<&'static str>,
}

impl HollowGateway {
    pub fn new(params: &StartParams, now: Nanos) -> HollowGateway {
        let mut settings = params.settings.clone();
        settings.insert("me".to_string(), params.number.to_string());
        settings.insert("zone".to_string(), params.zone.to_string());
        let number = |name: &str| settings.get(name).and_then(|text| text.parse::<f64>().ok());
        let stop_sending_within =
            number("rules.stopSendingWithin").map_or(list::DEFAULT_STOP_WITHIN, super::nanos);
        let (lists_are_pushed, gateway_count) = (
            settings.get("membershipMode").is_some_and(|mode| mode == "push"),
            number("balancers").map_or(1, |count| count as u32),
        );
        let agreement = params.agreement.as_ref().map(|agreement| {
            let incarnation = fastrand::Rng::with_seed(params.seed).u32(..);
            AgreementHandler::new(agreement, params.number, params.zone, incarnation, now)
        });
        let settings = agreement.as_ref().map_or(settings, |agreement| agreement.settings());
        HollowGateway {
            controller: AdmissionController::new(params.seed, settings),
            watch: Watch::new(0, ENTRY_MEMORY_LIMIT),
            is_watching: false,
            actions: HostActions::default(),
            rpcs: BTreeMap::new(),
            attempts: BTreeMap::new(),
            agreement,
            connections: Default::default(),
            servers: Servers::default(),
            emulated_servers: BTreeMap::new(),
            name_ids: NameIds::new(params.zones.to_vec(), Vec::new()),
            emulated_servers_by_key: BTreeMap::new(),
            service_count: params.services,
            input: Vec::new(),
            rng: fastrand::Rng::with_seed(params.seed.rotate_left(32)),
            lists_are_pushed,
            gateway_count,
            stop_sending_within,
            last_call_serial: 0,
        }
    }

    // ---- Discovery

    /// Requests the watch and returns the bytes of the request.
    pub fn request_watch(&mut self, now: Nanos) -> Vec<u8> {
        let mut request = Vec::new();
        self.watch.write_request(&mut request, now);
        self.is_watching = true;
        self.input.clear();
        request
    }

    /// Marks the watch as closed and returns the delay before it is requested again.
    pub fn watch_retry_delay(&mut self, now: Nanos) -> Nanos {
        self.is_watching = false;
        self.watch.retry_delay(
            now,
            self.lists_are_pushed,
            self.gateway_count,
            self.stop_sending_within,
            &mut self.rng,
        )
    }

    /// Receives bytes of the watch and applies the list updates in them.
    pub fn receive_list_bytes(&mut self, now: Nanos, bytes: &[u8]) -> ListOutcome {
        self.input.extend_from_slice(bytes);
        let mut updates = Vec::new();
        let consumed = self.watch.feed(now, &self.input, &mut updates);
        self.input.drain(..consumed.unwrap_or(0));
        if !updates.is_empty() {
            self.watch.failures = 0;
        }
        let entries = updates.iter().map(|update| update.entries.len()).sum();
        updates.into_iter().for_each(|update| self.apply_update(now, update));
        ListOutcome { entries, error: consumed.err() }
    }

    /// Applies a list update that came from discovery or was kept from before the start, after filtering it
    /// through the agreement.
    pub fn apply_update(&mut self, now: Nanos, mut update: ListUpdate) {
        self.watch.index = update.index;
        let released = match &mut self.agreement {
            Some(agreement) => agreement.filter_list(now, &mut update),
            None => Some(Vec::new()),
        };
        let Some(released) = released else { return };
        let index = update.index;
        self.apply_filtered(now, update);
        if !released.is_empty() {
            self.apply_filtered(now, ListUpdate { index, entries: released, ..ListUpdate::default() });
        }
    }

    /// Assigns numbers to servers and zones and reports the list to the admission controller, as the product
    /// does, but all batches at once.
    fn apply_filtered(&mut self, now: Nanos, update: ListUpdate) {
        let entries = update.entries.iter();
        self.emulated_servers_by_key
            .extend(entries.map(|entry| (subsetting::key(&entry.name), server_number(&entry.name))));
        for mut list in apply_update(update, &mut self.servers, &mut self.name_ids) {
            for listed in &mut list {
                let server = self.emulated_servers_by_key.get(&listed.key).copied().unwrap_or(u32::MAX);
                listed.service = server % self.service_count;
                self.emulated_servers.insert(listed.server, server);
            }
            self.controller.on_server_list(now, false, &list);
        }
        self.servers.remove_unused();
        let remaining = &self.servers.by_number;
        self.emulated_servers.retain(|number, _| remaining.contains_key(number));
        let servers = &self.servers;
        self.emulated_servers_by_key.retain(|key, _| servers.by_key(*key).is_some());
    }

    /// Translates this gateway's own number of a server to the emulation's number.
    pub fn emulated_server(&self, number: u32) -> Option<u32> {
        self.emulated_servers.get(&number).copied()
    }

    // ---- RPCs

    pub fn on_arrival(&mut self, now: Nanos, arrival: &Arrival) {
        self.rpcs.insert(arrival.id, OpenRpc { arrived: now, deadline: arrival.deadline, attempts: 0 });
        self.controller.on_arrival(&mut self.actions, now, arrival);
    }

    pub fn on_timer(&mut self, now: Nanos, token: u32) {
        self.controller.on_timer(&mut self.actions, now, token);
    }

    /// Ends an attempt, if it is still open. Returns the RPC if this attempt answered it.
    pub fn on_attempt_end(
        &mut self,
        now: Nanos,
        rpc: u32,
        attempt: u16,
        outcome: CallOutcome,
    ) -> Option<OpenRpc> {
        let open = self.attempts.remove(&(rpc, attempt))?;
        let answered = if outcome == CallOutcome::Ok { self.rpcs.remove(&rpc) } else { None };
        let is_answered = answered.is_some();
        let is_closed = !is_answered && !self.rpcs.contains_key(&rpc);
        let duration = now - open.sent;
        let ended = AttemptResult {
            rpc,
            server: open.server,
            attempt,
            outcome,
            duration,
            rpc_answered: is_answered || is_closed,
            settled_units: 0.0,
            load_report: Vec::new(),
        };
        self.controller.on_attempt_end(&mut self.actions, now, &ended);
        answered
    }

    // ---- The counter

    /// Writes a call on the connection that the product would use: the one that has a call for this name
    /// outstanding, else the one with the fewest calls.
    pub fn call_counter(&mut self, now: Nanos, name: u64, add: f64, ttl: Nanos) -> SentCall {
        self.last_call_serial += 1;
        let call = Call { serial: self.last_call_serial, name, add, ttl };
        let same_name = self.connections.iter().position(|connection| connection.has_call_for(name));
        let load = |connection: &usize| {
            self.connections[*connection].in_flight.len() + self.connections[*connection].waiting.len()
        };
        let connection = same_name.or_else(|| (0..counter::CONNECTIONS).min_by_key(load)).unwrap_or(0);
        let mut bytes = Vec::new();
        if !self.connections[connection].is_connected {
            self.connections[connection].connected(&mut bytes, now);
        }
        self.connections[connection].send_call(&mut bytes, now, call);
        SentCall { connection, serial: call.serial, bytes }
    }

    /// Receives bytes from the counter; a protocol error ends the connection.
    pub fn receive_counter_bytes(&mut self, now: Nanos, connection: usize, bytes: &[u8]) {
        let mut ended = Vec::new();
        if self.connections[connection].feed(now, bytes, &mut ended).is_err() {
            let lost = self.connections[connection].disconnect();
            ended.extend(lost.into_iter().map(|(call, outcome)| (call, outcome, 0.0)));
        }
        for (call, outcome, total) in ended {
            self.controller.on_counter_reply(&mut self.actions, now, call.name, outcome, total);
        }
    }

    /// Ends a call to the counter that has reached its timeout.
    pub fn on_counter_timeout(&mut self, now: Nanos, connection: usize, serial: u64) {
        if let Some((call, outcome)) = self.connections[connection].time_out_call(serial) {
            self.controller.on_counter_reply(&mut self.actions, now, call.name, outcome, 0.0);
        }
    }

    /// Periodic sweep: closes connections to the counter on which a reply is overdue, sends due PINGs on the
    /// others, and reports whether the watch is unresponsive. A closed connection is opened again for the next
    /// call.
    pub fn sweep(&mut self, now: Nanos) -> SweepOutcome {
        let mut pings = Vec::new();
        for connection in 0..self.connections.len() {
            if self.connections[connection].is_unresponsive(now) {
                for (call, outcome) in self.connections[connection].disconnect() {
                    self.controller.on_counter_reply(&mut self.actions, now, call.name, outcome, 0.0);
                }
            } else if self.connections[connection].is_connected
                && now > self.connections[connection].last_write + counter::PING_INTERVAL
            {
                let mut bytes = Vec::new();
                self.connections[connection].send_ping(&mut bytes, now);
                pings.push(Ping { connection, bytes });
            }
        }
        SweepOutcome { pings, watch_is_unresponsive: self.is_watching && self.watch.is_unresponsive(now) }
    }

    // ---- The agreement

    /// Evaluates the agreement and gives the admission controller the new settings if they have changed.
    pub fn evaluate_agreement(&mut self, now: Nanos) -> AgreementOutcome {
        let Some(agreement) = &mut self.agreement else { return AgreementOutcome::default() };
        let datagrams = agreement.poll_datagrams(now);
        let settings = agreement.evaluate(now);
        let in_force = settings.as_ref().and_then(|_| agreement.in_force());
        let next_evaluation = agreement.next_evaluation(now);
        if let Some(settings) = settings {
            self.controller.update_settings(now, settings);
        }
        AgreementOutcome { datagrams, next_evaluation, in_force }
    }

    /// Receives another gateway's datagram. Servers that it announces as removed get no new RPCs.
    pub fn receive_datagram(&mut self, now: Nanos, bytes: &[u8]) {
        let Some(agreement) = &mut self.agreement else { return };
        let held_back = agreement.receive_datagram(now, bytes);
        if !held_back.is_empty() {
            let index = self.watch.index;
            self.apply_filtered(now, ListUpdate { index, entries: held_back, ..ListUpdate::default() });
        }
    }
}
