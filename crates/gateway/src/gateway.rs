//! Connects the admission controller to clients, servers, discovery and the counter: passes their
//! events to the admission controller and carries out what it asks for. It makes no decisions of
//! its own.

use crate::clients::{self, Client, Parsed};
use crate::config::Config;
use crate::counter::{self, Call, CounterConnection};
use crate::driver::{ACCEPT_RETRY_DELAY, ConnectionEnd, EventHandler, Net, Peer, is_resource_exhausted};
use crate::eviction;
use crate::guard::{self, FirstRun, RetrySafety, ServerStatus};
use crate::http::{MAX_BODY_LEN, MAX_HEAD_LEN, MessageError};
use crate::invariants::{Counts, Invariant};
use crate::list::{self, ListUpdate, Watch};
use crate::list_diff::{Batch, ListDiff, ServerChange, WORK_PER_TURN, WORK_PER_UPDATE};
use crate::name_ids::NameIds;
use crate::phase::{CloseCause, Phase, UnsentAnswer};
use crate::servers::{self, Attempt, Body, Response, Server, ServerConnection, Servers, Stage};
use crate::shutdown::Shutdown;
use crate::timers::Timers;
use crate::transaction_ids::TransactionIds;
use crate::turn_log::{TurnLog, TurnPart};
use martenramp::admission::AdmissionController;
use martenramp::host::{Arrival, AttemptResult, CallOutcome, Host, Nanos};
use martenramp::repeat_group::ServerGroup;
use slog::{Logger, info, warn};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

mod client_handler;
mod connection_limits;
mod counter_handler;
mod discovery_handler;
mod invariant_checks;
mod memory_account;
mod rpc_log;
mod server_handler;
mod settings_agreement;
mod shutdown_handler;
mod sweep;

const MS: Nanos = 1_000_000;
/// An RPC's deadline is set this much earlier than its client states, for the time in transit and a
/// turn of the event loop.
const DEADLINE_MARGIN: Nanos = 5 * MS;
/// An RPC without an answer this long after its deadline is answered without the admission
/// controller.
const OVERDUE_GRACE: Nanos = 2 * MS;
/// Interval of the sweep for idle, silent and slow connections.
const SWEEP_INTERVAL: Nanos = 250 * MS;
/// How long input is still read after this side has shut down sending, until the client closes as
/// well.
const LINGER_TIMEOUT: Nanos = 500 * MS;
/// Descriptors for everything but clients and servers (poll, signals, logs, list, counter), and
/// some spare.
const OTHER_DESCRIPTORS: usize = 24;
/// Divisor of the share of all descriptors that is reserved for clients over the limit, which are
/// accepted only to reject what they send.
const OVER_LIMIT_DIVISOR: usize = 32;
/// The clients' share of the remaining descriptors, in tenths.
const CLIENT_TENTHS: usize = 6;
/// Limit of the input buffer of a connection to the counter.
const MAX_COUNTER_INPUT: usize = 64 << 10;
/// Limit of the input buffer of the watch: more than a head, and no more than can be processed in a
/// small part of a turn.
const MAX_WATCH_INPUT: usize = MAX_HEAD_LEN + (8 << 10);
/// Divisors of the shares of the memory that may be taken by the buffers of all clients, the
/// buffers of all servers, and the entries of an incoming list.
const CLIENT_MEMORY_DIVISOR: usize = 3;
const SERVER_MEMORY_DIVISOR: usize = 3;
const LIST_MEMORY_DIVISOR: usize = 4;
/// Divisors of the shares of the memory that may be taken by ids of ended RPCs and by customers.
const REMEMBERED_IDS_DIVISOR: usize = 64;
const CUSTOMER_MEMORY_DIVISOR: usize = 8;
/// A turn may last this fraction of the shortest deadline, but at least `MIN_TURN`, while the
/// process keeps up.
const TURN_DIVISOR: Nanos = 10;
const MIN_TURN: Nanos = 10 * MS;
/// How often a client that keeps sending is read before an attempt is written for it.
const MAX_CLIENT_READS: usize = 16;
/// Limit of the input buffer of a connection to a client or a server.
const MAX_MESSAGE_LEN: usize = MAX_HEAD_LEN + MAX_BODY_LEN + 1024;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerEvent {
    Wake(u32),
    AttemptTimeout(usize, u32, u16),
    ConnectTimeout(usize),
    /// The time to write an attempt on this connection is over.
    EndWriting(usize, u32, u16),
    /// A deferred attempt is to be written on this connection.
    WriteAttempt(usize),
    CounterTimeout(usize, u64),
    RpcOverdue(u32),
    Sweep,
    OpenWatch,
    RetryAccept,
    /// Steps of a shutdown.
    StopListening,
    StopReading,
    Exit,
    EvaluateAgreement,
    /// The next batch of a list update is to be applied.
    ContinueListUpdate,
    /// There is work on the subsets of the admission controller.
    SubsetWork,
    /// Clients have messages left from an earlier turn.
    ReadClients,
}

/// The state of an RPC: with the admission controller, at a server, or answered. An answered RPC
/// may still have an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RpcState {
    Pending,
    InFlight,
    Answered,
}

/// An object of the list that is waiting to be applied.
enum PendingList {
    /// As received from discovery.
    Received(ListUpdate),
    /// Reduced to what may be applied.
    Filtered(ListUpdate),
}

/// An RPC that has no answer yet, or still has an attempt in flight.
struct Rpc {
    state: RpcState,
    /// The client whose input buffer holds the message, for as long as it is connected.
    client: usize,
    message: clients::RpcRequest,
    /// When the message was read.
    received_at: Nanos,
    deadline: Nanos,
    /// How many attempts were started.
    attempts: u16,
    /// An attempt has not ended yet.
    attempt_in_flight: bool,
    /// How often it may run, and the first attempt that may have run.
    retry_safety: RetrySafety,
    first_run: Option<FirstRun>,
    /// Where the server of the last attempt was listed when the attempt was written.
    written_to: ServerGroup,
    /// Part of it was written to a server.
    written: bool,
    /// Its client got the answer of a server.
    served: bool,
    txn: Box<[u8]>,
}

impl Rpc {
    /// Whether it may have run and must not run a second time.
    fn must_not_rerun(&self) -> bool {
        self.first_run.is_some() && self.retry_safety != RetrySafety::Idempotent
    }
}

/// Reads the configuration again from its source.
pub type ConfigReader = Box<dyn Fn() -> Result<Config, String>>;

/// The gateway: the admission controller and the host that connects it to its peers.
pub struct Gateway {
    controller: AdmissionController,
    /// Reads the configuration again on SIGHUP.
    reread_config: ConfigReader,
    host: AdmissionHost,
    /// Present if the settings have a version.
    agreement: Option<settings_agreement::AgreementHandler>,
}

/// The [`Host`] of the admission controller: everything else that the gateway holds.
struct AdmissionHost {
    config: Config,
    net: Net,
    log: Logger,
    timers: Timers<TimerEvent>,
    clients: BTreeMap<usize, Client>,
    rpcs: HashMap<u32, Rpc>,
    last_rpc_id: u32,
    /// Transaction ids, as given by clients, of the RPCs in `rpcs`, and of some that have ended.
    transaction_ids: TransactionIds,
    unanswered_rpcs: usize,
    servers: Servers,
    server_connections: BTreeMap<usize, ServerConnection>,
    /// Ids of established connections that were assigned an attempt; it is written at the end of
    /// the turn.
    connections_to_write: VecDeque<usize>,
    watch: Watch,
    /// The connection of the watch.
    watch_id: Option<usize>,
    /// The current watch was answered.
    watch_answered: bool,
    /// The watch at the previous address of discovery, used until the one at the new address is
    /// answered.
    previous_watch: Option<(usize, Watch)>,
    /// Received objects of the list that are not applied yet, and the update that is being applied.
    pending_lists: VecDeque<PendingList>,
    list_diff: Option<ListDiff>,
    /// A timer is set for the next batch of the update.
    update_scheduled: bool,
    /// When the earliest timer for work on subsets is due.
    subset_timer_at: Option<Nanos>,
    /// Two sets of connections to the counter, and by the same index their ids while open and when
    /// they may be opened again. The set that starts at `active_counter_set` is in use; connections
    /// of the other one only finish their calls.
    counter_connections: [CounterConnection; 2 * counter::CONNECTIONS],
    counter_ids: [Option<usize>; 2 * counter::CONNECTIONS],
    counter_retry_at: [Nanos; 2 * counter::CONNECTIONS],
    active_counter_set: usize,
    counter_moved_at: Nanos,
    last_counter_call: u64,
    /// How often each invariant was checked, upheld by the guard and violated.
    invariant_counts: Counts,
    /// Ended attempts that are not yet reported to the admission controller.
    ended_attempts: VecDeque<AttemptResult>,
    /// Ended calls to the counter that are not yet reported to the admission controller.
    ended_counter_calls: VecDeque<(Call, CallOutcome, f64)>,
    /// Clients whose input buffer may hold another message, and those whose next one waits for the next turn.
    clients_to_read: VecDeque<usize>,
    clients_of_next_turn: Vec<usize>,
    has_list: bool,
    /// There was a list, and the subsets were computed, so that the gateway does not use more servers than it will.
    was_ready: bool,
    /// When the process began to listen.
    process_started_at: Nanos,
    /// Set from SIGTERM on.
    shutdown: Option<Shutdown>,
    /// The longest deadline in the configuration file when it was last reloaded.
    file_deadline: Option<Nanos>,
    /// The process exits after this turn.
    exit_requested: bool,
    is_listening: bool,
    /// No connection can arrive any more.
    listener_is_closed: bool,
    accept_again: bool,
    /// When accepting is retried, if it is scheduled.
    accept_retry_at: Option<Nanos>,
    /// When a new client last found all slots taken.
    last_full_at: Option<Nanos>,
    /// Whether the last scan of all clients found a new connection that has sent nothing and can be
    /// evicted soon; until when eviction is not retried, by purpose; and how many connections were
    /// served.
    has_silent_client: bool,
    no_eviction_until: [Nanos; 2],
    served_clients: usize,
    /// Since when more connections wait to be accepted than there are slots.
    accept_behind_since: Option<Nanos>,
    max_clients: usize,
    /// How many clients beyond `max_clients` are accepted only to reject what they send.
    max_over_limit: usize,
    max_server_connections: usize,
    /// Limit of the total size of clients' buffers; beyond it nothing more is admitted.
    max_client_memory: usize,
    max_unanswered_rpcs: usize,
    connect_timeout: Nanos,
    idle_timeout: Nanos,
    counter_timeout: Nanos,
    name_ids: NameIds,
    load_columns: Vec<String>,
    /// Whether discovery pushes its lists, so that a request costs it nothing.
    lists_are_pushed: bool,
    /// The number of gateways, according to the settings.
    gateway_count: u32,
    /// New work to a server must stop this long after its drain was announced.
    stop_within: Nanos,
    /// When this turn began, and how far [`AdmissionHost::advance_time`] has advanced its time
    /// since.
    turn_started_at: Instant,
    /// The number of the turn.
    turn: u64,
    time_advanced: Nanos,
    /// Duration of the previous turn, and the longest that a turn may take while the process keeps
    /// up.
    last_turn: Nanos,
    max_turn: Nanos,
    /// What the turns spend their time on.
    turn_log: TurnLog,
    /// What the process held when it was last counted.
    memory_account: memory_account::MemoryAccount,
    /// Random numbers for delays that must not be in step with those of other gateways; the
    /// admission controller has its own source.
    rng: fastrand::Rng,
}

impl Gateway {
    pub fn new(config: Config, reread_config: ConfigReader, net: Net, log: Logger) -> Gateway {
        let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let sockets = config.descriptor_limit.min(limit.map_or(usize::MAX, |limit| limit as usize));
        let max_over_limit = (sockets / OVER_LIMIT_DIVISOR).max(2);
        let shared = sockets.saturating_sub(OTHER_DESCRIPTORS + max_over_limit).max(8);
        let max_clients = shared * CLIENT_TENTHS / 10;
        let duration =
            |name: &str, default| config.positive_setting(name).map_or(default, |secs| (secs * 1e9) as Nanos);
        let idle =
            duration("ceilings.connIdle", servers::DEFAULT_IDLE_TIMEOUT) as f64 * servers::IDLE_TIMEOUT_SHARE;
        let host = AdmissionHost {
            connect_timeout: duration("ceilings.dialTimeout", servers::DEFAULT_CONNECT_TIMEOUT),
            idle_timeout: idle as Nanos,
            counter_timeout: duration("extra.countWait", counter::DEFAULT_CALL_TIMEOUT),
            max_unanswered_rpcs: config
                .positive_setting("ceilings.maxOpen")
                .map_or(usize::MAX, |limit| limit as usize),
            name_ids: NameIds::new(config.setting_list("localities"), config.setting_list("shapes")),
            load_columns: config.setting_list("reporting.columns"),
            max_clients,
            max_over_limit,
            max_client_memory: config.memory_limit / CLIENT_MEMORY_DIVISOR,
            max_server_connections: (shared - max_clients)
                .min(config.memory_limit / SERVER_MEMORY_DIVISOR / (2 * MAX_MESSAGE_LEN))
                .max(2),
            net,
            log,
            timers: Timers::default(),
            clients: BTreeMap::new(),
            rpcs: HashMap::new(),
            last_rpc_id: 0,
            transaction_ids: TransactionIds::new(config.memory_limit / REMEMBERED_IDS_DIVISOR),
            unanswered_rpcs: 0,
            servers: Servers::default(),
            server_connections: BTreeMap::new(),
            connections_to_write: VecDeque::new(),
            watch: Watch::for_services(0, config.memory_limit / LIST_MEMORY_DIVISOR, config.services.clone()),
            pending_lists: VecDeque::new(),
            list_diff: None,
            update_scheduled: false,
            subset_timer_at: None,
            stop_within: duration("rules.stopSendingWithin", list::DEFAULT_STOP_WITHIN),
            lists_are_pushed: config.settings.get("membershipMode").is_some_and(|mode| mode == "push"),
            gateway_count: config.positive_setting("balancers").map_or(1, |count| count as u32),
            rng: fastrand::Rng::with_seed(config.seed.rotate_left(32)),
            turn_started_at: Instant::now(),
            time_advanced: 0,
            last_turn: 0,
            turn_log: TurnLog::default(),
            memory_account: memory_account::MemoryAccount::default(),
            max_turn: (config.shortest_deadline() / TURN_DIVISOR).max(MIN_TURN),
            watch_id: None,
            watch_answered: false,
            previous_watch: None,
            counter_connections: Default::default(),
            counter_ids: Default::default(),
            counter_retry_at: Default::default(),
            active_counter_set: 0,
            counter_moved_at: 0,
            last_counter_call: 0,
            invariant_counts: Counts::default(),
            ended_attempts: VecDeque::new(),
            ended_counter_calls: VecDeque::new(),
            clients_to_read: VecDeque::new(),
            clients_of_next_turn: Vec::new(),
            turn: 0,
            has_list: false,
            was_ready: false,
            process_started_at: 0,
            shutdown: None,
            file_deadline: None,
            exit_requested: false,
            is_listening: true,
            listener_is_closed: false,
            accept_again: false,
            accept_retry_at: None,
            last_full_at: None,
            has_silent_client: false,
            no_eviction_until: [0; 2],
            served_clients: 0,
            accept_behind_since: None,
            config,
        };
        let mut controller = AdmissionController::new(host.config.seed, host.config.settings.clone());
        let customer_memory = host.config.memory_limit / CUSTOMER_MEMORY_DIVISOR;
        controller.limit_customers(customer_memory / AdmissionController::CUSTOMER_BYTES);
        Gateway { controller, reread_config, host, agreement: None }
    }
}

impl EventHandler for Gateway {
    fn net(&mut self) -> &mut Net {
        &mut self.host.net
    }

    /// Starts with the list stored from an earlier run; discovery and the counter may be down. If
    /// there is such a list, the watch is opened after a delay, because most of the fleet may be
    /// starting at the same time.
    fn start(&mut self, now: Nanos) {
        (self.host.net.now, self.host.turn_started_at) = (now, Instant::now());
        self.host.process_started_at = now;
        self.start_agreement();
        if let Some(list) = self.host.config.initial_list.take() {
            self.receive_list(list);
        }
        if self.host.has_list || self.host.is_updating_list() {
            self.host.watch.last_received = now;
            self.host.schedule_watch()
        } else {
            self.host.connect_watch()
        }
        self.host.timers.set(now + SWEEP_INTERVAL, TimerEvent::Sweep);
        info!(self.host.log, "started"; "listen" => %self.host.config.listen, "version" => env!("CARGO_PKG_VERSION"), "servers" => self.host.servers.by_number.len(),
            "clients_most" => self.host.max_clients, "links_most" => self.host.max_server_connections);
    }

    /// The time of the next turn. Timers that no longer apply are discarded when they reach the
    /// front, so that they cause no wakeup.
    fn next_timer(&mut self) -> Option<Nanos> {
        let AdmissionHost { timers, server_connections, rpcs, counter_connections, .. } = &mut self.host;
        timers.discard_stale(|event| match event {
            TimerEvent::AttemptTimeout(id, rpc, attempt) | TimerEvent::EndWriting(id, rpc, attempt) => {
                !server_connections.get(id).is_some_and(|connection| connection.carries(*rpc, *attempt))
            }
            TimerEvent::ConnectTimeout(id) => {
                server_connections.get(id).is_none_or(|connection| connection.is_connected)
            }
            TimerEvent::CounterTimeout(slot, serial) => !counter_connections[*slot].has_call(*serial),
            TimerEvent::RpcOverdue(id) => rpcs.get(id).is_none_or(|rpc| rpc.state == RpcState::Answered),
            _ => false,
        });
        timers.next_due()
    }

    fn stop(&mut self) {
        self.begin_shutdown();
    }

    /// SIGHUP: the addresses of discovery and the counter change at once; settings with a version
    /// apply from their start time; everything else needs a restart. The list, calls and RPCs
    /// continue. If the file can't be read, the old configuration stays in use, with any mistake
    /// that it contains.
    fn reload(&mut self) {
        let host = &mut self.host;
        if !has_free_descriptor() {
            host.evict_idle(); // the file needs one
        }
        let since = Instant::now();
        let new = (self.reread_config)();
        host.turn_log.add(TurnPart::Reload, since);
        let new = match new {
            Ok(new) => new,
            Err(why) => return warn!(host.log, "configuration kept"; "error" => why),
        };
        let both_versioned = self.agreement.is_some() && new.agreement.is_some();
        info!(host.log, "configuration read"; "discovery" => %new.discovery, "counter" => address_text(new.counter),
            "needs_restart" => !both_versioned && new.settings != host.config.settings);
        host.file_deadline = Some(new.longest_deadline());
        if new.discovery != host.config.discovery {
            host.config.discovery = new.discovery;
            host.move_watch();
            self.agreement.iter_mut().for_each(|agreement| agreement.source_moved());
        }
        if new.counter != host.config.counter {
            host.config.counter = new.counter;
            host.move_counter();
        }
        if let Some(agreed) = new.agreement.filter(|_| both_versioned) {
            let services = Rc::new(self.host.config.services.with_classes_of(&new.services));
            self.offer_version(agreed.version, new.methods, new.plans, services);
        }
        self.shorten_shutdown();
    }

    /// Applies the next batch of a list before anything else in the turn, since attempts of this
    /// turn are written in it.
    fn turn_started(&mut self) {
        let host = &mut self.host;
        // The driver assumes that the last turn began at the time that it reported then.
        host.net.input_delay += std::mem::take(&mut host.time_advanced);
        host.last_turn = host.net.input_delay;
        host.log_long_turn();
        host.turn_started_at = Instant::now();
        host.turn += 1;
        self.evaluate_agreement();
        if self.host.update_scheduled {
            let since = Instant::now();
            self.continue_list_update();
            self.host.turn_log.add(TurnPart::ServerList, since);
        }
    }

    fn datagram_received(&mut self, bytes: &[u8]) {
        self.receive_datagram(bytes);
    }

    fn is_listening(&self) -> bool {
        self.host.is_listening
    }

    fn listener_closed(&mut self, rejected: usize) {
        info!(self.host.log, "listener closed"; "rejected" => rejected, "clients" => self.host.clients.len());
        self.host.listener_is_closed = true;
    }

    fn is_finished(&self) -> bool {
        self.host.exit_requested || self.host.listener_is_closed && self.host.clients.is_empty()
    }

    fn can_accept(&mut self) -> bool {
        self.host.can_accept_client()
    }

    fn max_client_input(&self) -> usize {
        MAX_MESSAGE_LEN
    }

    fn accepted(&mut self, id: usize) {
        let spare = self.host.clients.len() >= self.host.max_clients;
        let since = self.host.silent_since(id);
        let client = Client { state_since: since, over_limit: spare, ..Client::default() };
        self.host.clients.insert(id, client);
        // Data that the client sent right after connecting may have waited as long as the
        // connection did. That time is known now, and no longer in the turn that would read the
        // data.
        self.host.net.read(id, false);
        // It is processed once all that wait are accepted, when it shows how much time the turn has
        // left for RPCs; but not if that would let clients' buffers exceed their share.
        if self.host.net.client_buffer_bytes > self.host.max_client_memory {
            self.read_client(id);
        } else {
            self.host.clients_to_read.push_back(id);
        }
    }

    fn retry_accept_later(&mut self) {
        self.host.schedule_accept();
    }

    fn accept_queue_empty(&mut self) {
        self.host.accept_behind_since = None;
    }

    fn unavailable_response(&self) -> &[u8] {
        clients::UNAVAILABLE_RESPONSE
    }

    /// Closes an idle connection to free its descriptor; false if there is none.
    fn free_descriptor(&mut self) -> bool {
        self.host.evict_idle()
    }

    /// A connection opened by the gateway is established.
    fn connected(&mut self, id: usize) {
        let AdmissionHost {
            net,
            server_connections,
            connections_to_write,
            counter_connections,
            watch,
            watch_id,
            ..
        } = &mut self.host;
        let now = net.now;
        match net.peer(id) {
            Some(Peer::Server) => {
                if let Some(connection) = server_connections.get_mut(&id) {
                    connection.is_connected = true;
                    connections_to_write.push_back(id);
                }
            }
            Some(Peer::Discovery) if *watch_id == Some(id) => {
                if let Some(out) = net.output(id) {
                    watch.write_request(out, now);
                }
            }
            Some(Peer::Counter(slot)) => {
                if let Some(out) = net.output(id) {
                    counter_connections[slot].connected(out, now);
                }
            }
            _ => {}
        }
    }

    /// Some or all of the output of a connection was written.
    fn output_written(&mut self, id: usize) {
        self.host.after_client_write(id);
    }

    /// Bytes were received, or the connection ended.
    fn input_received(&mut self, id: usize) {
        match self.host.net.peer(id) {
            Some(Peer::Client) => self.read_client(id),
            Some(Peer::Server) => self.host.read_server(id),
            Some(Peer::Discovery) => {
                let since = Instant::now();
                self.read_watch(id);
                self.host.turn_log.add(TurnPart::ServerList, since);
            }
            Some(Peer::Counter(slot)) => self.host.read_counter(slot, id),
            None => {}
        }
    }

    /// Handles due timers; true if connections may be accepted again.
    fn run_due_timers(&mut self) -> bool {
        let now = self.host.net.now;
        while let Some(event) = self.host.timers.pop_due(now) {
            match event {
                TimerEvent::Wake(token) => {
                    let since = Instant::now();
                    self.controller.on_timer(&mut self.host, now, token);
                    self.host.turn_log.add(TurnPart::Rpcs, since);
                }
                TimerEvent::AttemptTimeout(id, rpc, attempt) => self.host.attempt_timed_out(id, rpc, attempt),
                TimerEvent::EndWriting(id, rpc, attempt) => self.host.end_writing(id, rpc, attempt),
                TimerEvent::ConnectTimeout(id) => self.host.connect_timed_out(id),
                TimerEvent::WriteAttempt(id) => self.host.connections_to_write.push_back(id),
                TimerEvent::CounterTimeout(slot, serial) => {
                    if let Some((call, outcome)) = self.host.counter_connections[slot].time_out_call(serial) {
                        self.host.ended_counter_calls.push_back((call, outcome, 0.0));
                    }
                }
                TimerEvent::RpcOverdue(id) => self.answer_overdue(id),
                TimerEvent::Sweep => self.host.sweep(),
                TimerEvent::OpenWatch => self.host.connect_watch(),
                TimerEvent::RetryAccept => self.host.accept_again |= self.host.is_accept_due(),
                TimerEvent::StopListening => {
                    self.host.is_listening = false;
                    self.host.half_close_clients(false);
                }
                TimerEvent::StopReading => self.host.half_close_clients(true),
                TimerEvent::Exit => self.exit(),
                TimerEvent::EvaluateAgreement => self.evaluate_agreement(),
                TimerEvent::ReadClients => {
                    let clients = std::mem::take(&mut self.host.clients_of_next_turn);
                    self.host.clients_to_read.extend(clients);
                }
                TimerEvent::ContinueListUpdate => {} // handled at the start of the turn
                TimerEvent::SubsetWork => {
                    let since = Instant::now();
                    self.do_subset_work();
                    self.host.turn_log.add(TurnPart::Subsets, since);
                }
            }
            self.process_pending();
        }
        std::mem::take(&mut self.host.accept_again)
    }

    fn write_attempts(&mut self) {
        while let Some(id) = self.host.connections_to_write.pop_front() {
            self.host.advance_time();
            if self.drain_client_of(id) {
                self.host.write_attempt(id);
            } else {
                // Timers are checked once per turn, so this one is due in the next turn.
                self.host.timers.set(self.host.net.now + MS, TimerEvent::WriteAttempt(id));
            }
            self.process_pending();
        }
    }

    /// Reports all ended attempts and counter calls to the admission controller and reads the
    /// remaining clients, until nothing is left.
    fn process_pending(&mut self) {
        let now = self.host.net.now;
        loop {
            if let Some(ended) = self.host.ended_attempts.pop_front() {
                let since = Instant::now();
                self.controller.on_attempt_end(&mut self.host, now, &ended);
                self.host.turn_log.add(TurnPart::Rpcs, since);
            } else if let Some((call, outcome, total)) = self.host.ended_counter_calls.pop_front() {
                self.controller.on_counter_reply(&mut self.host, now, call.name, outcome, total);
            } else if let Some(id) = self.host.clients_to_read.pop_front() {
                self.read_client(id);
            } else {
                return;
            }
        }
    }
}

/// Whether this process can open one more file.
fn has_free_descriptor() -> bool {
    rustix::io::fcntl_dupfd_cloexec(rustix::stdio::stderr(), 0).is_ok()
}

fn address_text(address: Option<SocketAddr>) -> String {
    address.map_or_else(String::new, |address| address.to_string())
}

impl Host for AdmissionHost {
    fn send_attempt(&mut self, id: u32, server: u32, limit: Nanos, write_by: Nanos) {
        let now = self.net.now;
        let Some(rpc) = self.rpcs.get_mut(&id) else { return };
        let deadline = if limit == 0 { rpc.deadline } else { (now + limit).min(rpc.deadline) };
        let attempt = Attempt { rpc: id, number: rpc.attempts, requested_at: now, deadline, write_by };
        rpc.attempts += 1;
        self.log_attempt(&attempt, server);
        let Some(rpc) = self.rpcs.get_mut(&id) else { return };
        if rpc.state == RpcState::Answered || deadline <= now {
            return self.end_attempt(server, attempt, CallOutcome::NotSent, 0.0, Vec::new());
        }
        let Some(connection_id) = self.connection_to(server, deadline) else {
            return self.end_attempt(server, attempt, CallOutcome::NoConnection, 0.0, Vec::new());
        };
        self.set_rpc_state(id, RpcState::InFlight);
        let (Some(rpc), Some(connection)) =
            (self.rpcs.get_mut(&id), self.server_connections.get_mut(&connection_id))
        else {
            return;
        };
        rpc.attempt_in_flight = true;
        connection.stage = Stage::Requested(attempt);
        if connection.is_connected {
            self.connections_to_write.push_back(connection_id);
        }
        self.timers.set(deadline, TimerEvent::AttemptTimeout(connection_id, id, attempt.number));
    }

    fn reject(&mut self, id: u32, retry_after: Nanos) {
        if self.rejection_is_harmless(id) {
            self.answer(id, if retry_after > 0 { 429 } else { 503 }, retry_after, "refused");
        } else {
            self.abort(id);
        }
    }

    fn abort(&mut self, id: u32) {
        let past_deadline = self.rpcs.get(&id).is_some_and(|rpc| self.net.now >= rpc.deadline);
        self.answer(
            id,
            if past_deadline { 504 } else { 502 },
            0,
            if past_deadline { "time-over" } else { "failed" },
        );
    }

    fn set_timer(&mut self, after: Nanos, token: u32) {
        self.timers.set(self.net.now.saturating_add(after), TimerEvent::Wake(token));
    }

    fn add_to_counter(&mut self, name: u64, add: f64, ttl: Nanos) {
        self.last_counter_call += 1;
        let call = Call { serial: self.last_counter_call, name, add, ttl };
        let Some(slot) = self.counter_connection_for(name) else {
            return self.ended_counter_calls.push_back((call, CallOutcome::NoConnection, 0.0));
        };
        let AdmissionHost { net, counter_connections, counter_ids, .. } = self;
        let now = net.now;
        if let Some(out) = counter_ids[slot].and_then(|id| net.output(id)) {
            counter_connections[slot].send_call(out, now, call);
            self.timers.set(now + self.counter_timeout, TimerEvent::CounterTimeout(slot, call.serial));
        }
    }
}

impl AdmissionHost {
    /// Advances the time of the turn to the current time. Otherwise a server could be given more
    /// time than is left, and attempts could be written whose time ran out during the turn. The
    /// cost: one clock read per attempt.
    fn advance_time(&mut self) {
        let elapsed = self.elapsed_in_turn();
        self.time_advanced += elapsed;
        self.net.now += elapsed;
    }

    /// The current time, which may be later than the time of the turn.
    fn current_time(&self) -> Nanos {
        self.net.now + self.elapsed_in_turn()
    }

    /// How far the current time is ahead of the time of the turn.
    fn elapsed_in_turn(&self) -> Nanos {
        (self.turn_started_at.elapsed().as_nanos() as Nanos).saturating_sub(self.time_advanced)
    }

    /// Opens a connection. If descriptors run out (held by idle clients, or by whatever else the
    /// process was given), an idle connection is closed for it. The cost: an idle client has to
    /// reconnect.
    fn connect(&mut self, address: SocketAddr, peer: Peer, max_input: usize) -> io::Result<usize> {
        match self.net.connect(address, peer, max_input) {
            Err(e) if is_resource_exhausted(&e) && self.evict_idle() => {
                self.net.connect(address, peer, max_input)
            }
            connected => connected,
        }
    }

    fn next_rpc_id(&mut self) -> u32 {
        loop {
            self.last_rpc_id = self.last_rpc_id.wrapping_add(1);
            if !self.rpcs.contains_key(&self.last_rpc_id) {
                return self.last_rpc_id;
            }
        }
    }

    /// Changes the state of an RPC, including its end; every such change goes through here.
    fn set_rpc_state(&mut self, id: u32, to: RpcState) {
        let Some(rpc) = self.rpcs.get_mut(&id) else { return };
        let previous = std::mem::replace(&mut rpc.state, to);
        if to == RpcState::Answered {
            self.unanswered_rpcs -= usize::from(previous != RpcState::Answered);
            if !rpc.attempt_in_flight {
                self.remove_rpc(id);
            }
        }
    }

    fn remove_rpc(&mut self, id: u32) {
        let Some(rpc) = self.rpcs.remove(&id) else { return };
        if rpc.must_not_rerun() && !rpc.served {
            self.transaction_ids.remember(&rpc.txn, self.net.now);
        } else {
            self.transaction_ids.close(&rpc.txn);
        }
    }

    /// The servers that there are connections to.
    fn connected_servers(&self) -> impl Iterator<Item = &Server> {
        let numbers: BTreeSet<u32> =
            self.server_connections.values().map(|connection| connection.server).collect();
        numbers.into_iter().filter_map(|number| self.servers.by_number.get(&number))
    }
}
