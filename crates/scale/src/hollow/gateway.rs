//! One gateway without sockets: the program's decision module, its list watch, its lines to the counter and its part in the
//! agreement, fed the bytes that the sockets would bring. What it has to say is handed back as bytes.

use super::Nanos;
use super::discovery::server_number;
use super::settings_agreement::{Agreeing, VersionFile};
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

/// What the program takes of its memory for the entries of one object of the list where it is told 128 MB.
const ENTRIES_MEMORY: usize = (128 << 20) / 4;

/// What a gateway is told at its start.
pub struct Start<'a> {
    pub number: u32,
    pub zone: usize,
    /// The seed of this incarnation.
    pub seed: u64,
    pub settings: &'a Settings,
    pub zones: &'a [String],
    pub services: u32,
    /// What it agrees on with others, if the settings have a version.
    pub agreed: Option<Agreed>,
}

/// The file with a version that a gateway starts on, and the terms of the agreement.
pub struct Agreed {
    pub file: Arc<VersionFile>,
    pub terms: AgreementConfig,
    /// Nothing has to be remembered: the fleet's first start.
    pub fresh: bool,
}

/// A call to the counter that was written on a line.
pub struct WrittenCall {
    pub line: usize,
    pub serial: u64,
    pub bytes: Vec<u8>,
}

/// A sign of incarnation that was written on a line to the counter.
pub struct Ping {
    pub line: usize,
    pub bytes: Vec<u8>,
}

/// What the regular look came to.
pub struct SweepOutcome {
    pub pings: Vec<Ping>,
    /// The watch has said nothing for too long.
    pub watch_is_silent: bool,
}

/// What a look at the agreement came to.
#[derive(Default)]
pub struct AgreeOutcome {
    /// For all other gateways.
    pub datagrams: Vec<Vec<u8>>,
    /// When to look again, if a timer has to be set.
    pub looks_next: Option<Nanos>,
    /// The version that began to be acted on just now, or is again.
    pub in_force: Option<u64>,
}

/// A call-out that is open.
#[derive(Clone, Copy, Debug)]
pub struct CallOut {
    pub server: u32,
    pub sent: Nanos,
}

/// An RPC that has no final answer yet.
#[derive(Clone, Copy, Debug)]
pub struct OpenRpc {
    pub arrived: Nanos,
    pub deadline: Nanos,
    pub call_outs: u16,
}

/// A gateway's state machines, and what its host has to remember for them.
pub struct HollowGateway {
    pub brain: AdmissionController,
    pub watch: Watch,
    /// A watch is open, or being asked for.
    pub is_watching: bool,
    pub wishes: HostActions,
    pub rpcs: BTreeMap<u32, OpenRpc>,
    pub call_outs: BTreeMap<(u32, u16), CallOut>,
    pub agreeing: Option<Agreeing>,
    lines: [CounterConnection; counter::CONNECTIONS],
    servers: Servers,
    names: BTreeMap<u32, u32>,
    directory: NameIds,
    /// The emulation's numbers of servers, by the keys of their names.
    servers_by_key: BTreeMap<u64, u32>,
    /// Services of the deployment: a server's is told by its name.
    services: u32,
    /// Bytes of the watch that the state machine has not used up.
    input: Vec<u8>,
    chance: fastrand::Rng,
    pushed: bool,
    fleet: u32,
    stop_within: Nanos,
    last_call: u64,
}

/// What an agent's bytes came to at a gateway.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ListOutcome {
    /// The list was changed by this many entries.
    pub entries: usize,
    /// The watch is broken.
    pub broken: Option<&'static str>,
}

impl HollowGateway {
    pub fn new(start: &Start, now: Nanos) -> HollowGateway {
        let mut settings = start.settings.clone();
        settings.insert("me".to_string(), start.number.to_string());
        settings.insert("zone".to_string(), start.zone.to_string());
        let number = |name: &str| settings.get(name).and_then(|text| text.parse::<f64>().ok());
        let stop_within = number("rules.stopSendingWithin").map_or(list::DEFAULT_STOP_WITHIN, super::nanos);
        let (pushed, fleet) = (
            settings.get("membershipMode").is_some_and(|mode| mode == "push"),
            number("balancers").map_or(1, |count| count as u32),
        );
        let agreeing = start.agreed.as_ref().map(|agreed| {
            let incarnation = fastrand::Rng::with_seed(start.seed).u32(..);
            Agreeing::new(agreed, start.number, start.zone, incarnation, now)
        });
        let settings = agreeing.as_ref().map_or(settings, |agreeing| agreeing.settings());
        HollowGateway {
            brain: AdmissionController::new(start.seed, settings),
            watch: Watch::new(0, ENTRIES_MEMORY),
            is_watching: false,
            wishes: HostActions::default(),
            rpcs: BTreeMap::new(),
            call_outs: BTreeMap::new(),
            agreeing,
            lines: Default::default(),
            servers: Servers::default(),
            names: BTreeMap::new(),
            directory: NameIds::new(start.zones.to_vec(), Vec::new()),
            servers_by_key: BTreeMap::new(),
            services: start.services,
            input: Vec::new(),
            chance: fastrand::Rng::with_seed(start.seed.rotate_left(32)),
            pushed,
            fleet,
            stop_within,
            last_call: 0,
        }
    }

    // ---- Discovery

    /// The watch is asked for: the request's bytes.
    pub fn ask(&mut self, now: Nanos) -> Vec<u8> {
        let mut request = Vec::new();
        self.watch.write_request(&mut request, now);
        self.is_watching = true;
        self.input.clear();
        request
    }

    /// How long to rest before the watch is asked for again.
    pub fn ask_again_after(&mut self, now: Nanos) -> Nanos {
        self.is_watching = false;
        self.watch.retry_delay(now, self.pushed, self.fleet, self.stop_within, &mut self.chance)
    }

    /// Bytes of the watch came.
    pub fn list_came(&mut self, now: Nanos, bytes: &[u8]) -> ListOutcome {
        self.input.extend_from_slice(bytes);
        let mut told = Vec::new();
        let fed = self.watch.feed(now, &self.input, &mut told);
        self.input.drain(..fed.unwrap_or(0));
        if !told.is_empty() {
            self.watch.failures = 0;
        }
        let entries = told.iter().map(|told| told.entries.len()).sum();
        told.into_iter().for_each(|told| self.told(now, told));
        ListOutcome { entries, broken: fed.err() }
    }

    /// A list told by discovery, or held from before.
    pub fn told(&mut self, now: Nanos, mut told: ListUpdate) {
        self.watch.index = told.index;
        let more = match &mut self.agreeing {
            Some(agreeing) => agreeing.judge(now, &mut told),
            None => Some(Vec::new()),
        };
        let Some(more) = more else { return };
        let index = told.index;
        self.list(now, told);
        if !more.is_empty() {
            self.list(now, ListUpdate { index, entries: more, ..ListUpdate::default() });
        }
    }

    /// As the program does, but all in one turn: servers get numbers, zones places, and the module hears it.
    fn list(&mut self, now: Nanos, told: ListUpdate) {
        let named = told.entries.iter();
        self.servers_by_key
            .extend(named.map(|entry| (subsetting::key(&entry.name), server_number(&entry.name))));
        for mut list in apply_update(told, &mut self.servers, &mut self.directory) {
            for listed in &mut list {
                let server = self.servers_by_key.get(&listed.key).copied().unwrap_or(u32::MAX);
                listed.service = server % self.services;
                self.names.insert(listed.server, server);
            }
            self.brain.on_server_list(now, false, &list);
        }
        self.servers.remove_unused();
        let left = &self.servers.by_number;
        self.names.retain(|number, _| left.contains_key(number));
        let servers = &self.servers;
        self.servers_by_key.retain(|key, _| servers.by_key(*key).is_some());
    }

    /// The emulation's number of a server that this gateway calls by a number of its own.
    pub fn server(&self, number: u32) -> Option<u32> {
        self.names.get(&number).copied()
    }

    // ---- RPCs

    pub fn rpc(&mut self, now: Nanos, arrival: &Arrival) {
        self.rpcs.insert(arrival.id, OpenRpc { arrived: now, deadline: arrival.deadline, call_outs: 0 });
        self.brain.on_arrival(&mut self.wishes, now, arrival);
    }

    pub fn woke(&mut self, now: Nanos, token: u32) {
        self.brain.on_timer(&mut self.wishes, now, token);
    }

    /// A call-out that is still open ended. The RPC, if its answer went to the client with it.
    pub fn call_out_ended(&mut self, now: Nanos, rpc: u32, nth: u16, how: CallOutcome) -> Option<OpenRpc> {
        let open = self.call_outs.remove(&(rpc, nth))?;
        let answered = if how == CallOutcome::Ok { self.rpcs.remove(&rpc) } else { None };
        let closed = answered.is_some();
        let gone = !closed && !self.rpcs.contains_key(&rpc);
        let took = now - open.sent;
        let ended = AttemptResult {
            rpc,
            server: open.server,
            attempt: nth,
            outcome: how,
            duration: took,
            rpc_answered: closed || gone,
            settled_units: 0.0,
            load_report: Vec::new(),
        };
        self.brain.on_attempt_end(&mut self.wishes, now, &ended);
        answered
    }

    // ---- The counter

    /// Writes a call on the line that the program would take.
    pub fn count(&mut self, now: Nanos, name: u64, add: f64, forget: Nanos) -> WrittenCall {
        self.last_call += 1;
        let call = Call { serial: self.last_call, name, add, ttl: forget };
        let carries = self.lines.iter().position(|line| line.has_call_for(name));
        let least = |line: &usize| self.lines[*line].in_flight.len() + self.lines[*line].waiting.len();
        let line = carries.or_else(|| (0..counter::CONNECTIONS).min_by_key(least)).unwrap_or(0);
        let mut bytes = Vec::new();
        if !self.lines[line].is_connected {
            self.lines[line].connected(&mut bytes, now);
        }
        self.lines[line].send_call(&mut bytes, now, call);
        WrittenCall { line, serial: call.serial, bytes }
    }

    /// Bytes of the counter came on a line.
    pub fn counter_came(&mut self, now: Nanos, line: usize, bytes: &[u8]) {
        let mut ended = Vec::new();
        if self.lines[line].feed(now, bytes, &mut ended).is_err() {
            let broke = self.lines[line].disconnect();
            ended.extend(broke.into_iter().map(|(call, how)| (call, how, 0.0)));
        }
        for (call, how, total) in ended {
            self.brain.on_counter_reply(&mut self.wishes, now, call.name, how, total);
        }
    }

    /// The time of a call is over.
    pub fn count_timed_out(&mut self, now: Nanos, line: usize, serial: u64) {
        if let Some((call, how)) = self.lines[line].time_out_call(serial) {
            self.brain.on_counter_reply(&mut self.wishes, now, call.name, how, 0.0);
        }
    }

    /// The regular look: pings that are due by line, and whether the watch has been silent for too long. A line without an
    /// answer for too long is given up and opened again.
    pub fn sweep(&mut self, now: Nanos) -> SweepOutcome {
        let mut pings = Vec::new();
        for line in 0..self.lines.len() {
            if self.lines[line].is_unresponsive(now) {
                for (call, how) in self.lines[line].disconnect() {
                    self.brain.on_counter_reply(&mut self.wishes, now, call.name, how, 0.0);
                }
            } else if self.lines[line].is_connected
                && now > self.lines[line].last_write + counter::PING_INTERVAL
            {
                let mut bytes = Vec::new();
                self.lines[line].send_ping(&mut bytes, now);
                pings.push(Ping { line, bytes });
            }
        }
        SweepOutcome { pings, watch_is_silent: self.is_watching && self.watch.is_unresponsive(now) }
    }

    // ---- The agreement

    /// Looks at what may be acted on by now, and gives the module other settings where that has changed.
    pub fn agree(&mut self, now: Nanos) -> AgreeOutcome {
        let Some(agreeing) = &mut self.agreeing else { return AgreeOutcome::default() };
        let datagrams = agreeing.tell(now);
        let settings = agreeing.look(now);
        let in_force = settings.as_ref().and_then(|_| agreeing.in_force());
        let looks_next = agreeing.looks_next(now);
        if let Some(settings) = settings {
            self.brain.update_settings(now, settings);
        }
        AgreeOutcome { datagrams, looks_next, in_force }
    }

    /// Another gateway's datagram came.
    pub fn hear(&mut self, now: Nanos, bytes: &[u8]) {
        let Some(agreeing) = &mut self.agreeing else { return };
        let held_back = agreeing.hear(now, bytes);
        if !held_back.is_empty() {
            let index = self.watch.index;
            self.list(now, ListUpdate { index, entries: held_back, ..ListUpdate::default() });
        }
    }
}
