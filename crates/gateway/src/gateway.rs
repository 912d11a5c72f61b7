//! Ties the module to its peers: takes what the state machines find to the module, and carries out what the
//! module asks for. It decides nothing.

use crate::clients::{self, Client, Parsed};
use crate::config::Config;
use crate::counter::{self, Call, CounterConnection};
use crate::driver::{ACCEPT_RETRY_DELAY, ConnectionEnd, EventHandler, Net, Peer, is_resource_exhausted};
use crate::eviction;
use crate::guard::{self, RetrySafety, ServerStatus};
use crate::http::{MAX_BODY_LEN, MAX_HEAD_LEN, MessageError};
use crate::invariants::{Counts, Invariant};
use crate::list::{self, ListUpdate, Watch};
use crate::list_diff::{Batch, ListDiff, ServerChange, WORK_PER_TURN};
use crate::name_ids::NameIds;
use crate::phase::{CloseCause, Phase, UnsentAnswer};
use crate::servers::{self, Attempt, Body, Response, Server, ServerConnection, Servers, Stage};
use crate::shutdown::Shutdown;
use crate::timers::Timers;
use martenramp::admission::AdmissionController;
use martenramp::host::{Arrival, AttemptResult, CallOutcome, Host, Nanos};
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
mod rpc_log;
mod server_handler;
mod settings_agreement;
mod shutdown_handler;
mod sweep;

const MS: Nanos = 1_000_000;
/// An RPC's deadline is taken as so much sooner than its client tells, for the way here and a turn of the loop.
const MARGIN: Nanos = 5 * MS;
/// An RPC that has no answer so long after its deadline is answered without the module.
const OVERDUE: Nanos = 2 * MS;
/// What is idle, silent or slow is looked for so often.
const SWEEP: Nanos = 250 * MS;
/// For how long a connection that this side ended is read on, until its client closes it too.
const LINGER: Nanos = 500 * MS;
/// Descriptors that are neither clients' nor servers' (poll, signals, logs, list, counter), and some spare.
const OTHERS: usize = 24;
/// Of all descriptors, the part kept for connections that are taken only to push back what they bring.
const SPARES: usize = 32;
/// The clients' part of the descriptors, in tenths.
const CLIENTS_TENTHS: usize = 6;
/// What of the counter may wait in a buffer.
const OTHER_INPUT: usize = 64 << 10;
/// What of the watch may wait: more than a head, and no more than can be read in a small part of a turn.
const LIST_INPUT: usize = MAX_HEAD_LEN + (8 << 10);
/// Of the memory, the parts that may be taken: by all clients' buffers, all servers', and the entries of a list that is
/// coming in.
const CLIENTS_MEMORY: usize = 3;
const LINKS_MEMORY: usize = 3;
const LIST_MEMORY: usize = 4;
/// A turn may last this part of the shortest deadline while the process keeps up.
const TURN_SHARE: Nanos = 10;
const TURN_LEAST: Nanos = 10 * MS;
/// So many times a client that sends on is read before an attempt is written for it.
const LOOKS: usize = 16;
const MESSAGE_MOST: usize = MAX_HEAD_LEN + MAX_BODY_LEN + 1024;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerEvent {
    Wake(u32),
    CallOut(usize, u32, u16),
    Dial(usize),
    /// An attempt that was put off is to be written on this connection.
    Write(usize),
    Count(usize, u64),
    Overdue(u32),
    Sweep,
    Watch,
    Accept,
    /// Steps of a shutdown.
    StopListening,
    LastCall,
    Exit,
    Agree,
    /// More of a list is to be brought into force.
    Changes,
    /// There is work on the module's subsets.
    Subsets,
}

/// Where an RPC stands here: with the module, out at a server, or answered while a call-out is still out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RpcState {
    Held,
    Out,
    Answered,
}

/// An object of the list that waits for its turn.
enum Pending {
    /// As discovery told it.
    Told(ListUpdate),
    /// What is to be taken of one.
    Judged(ListUpdate),
}

struct Rpc {
    state: RpcState,
    /// Whose buffer holds the message, as long as that client is there.
    client: usize,
    message: clients::RpcRequest,
    /// When its message was read.
    since: Nanos,
    deadline: Nanos,
    call_outs: u16,
    open: bool,
    /// How often it may run, and when the first attempt began that may have run.
    effect: RetrySafety,
    first_run: Option<Nanos>,
    /// Some of it was written to a server.
    written: bool,
    id: Box<[u8]>,
}

/// Reads the configuration once more.
pub type ConfigReader = Box<dyn Fn() -> Result<Config, String>>;

pub struct Gateway {
    brain: AdmissionController,
    read_again: ConfigReader,
    host: PolicyHost,
    /// Where the settings have a version.
    agreement: Option<settings_agreement::AgreementLink>,
}

/// All but the module: its `Host`.
struct PolicyHost {
    config: Config,
    net: Net,
    log: Logger,
    timers: Timers<TimerEvent>,
    clients: BTreeMap<usize, Client>,
    rpcs: HashMap<u32, Rpc>,
    last_rpc: u32,
    /// Ids of the RPCs held here, as their clients gave them.
    ids: HashSet<Box<[u8]>>,
    open_rpcs: usize,
    servers: Servers,
    links: BTreeMap<usize, ServerConnection>,
    /// Connections that stand and have been asked to carry an attempt; it is written when the turn's bytes go out.
    to_write: VecDeque<usize>,
    watch: Watch,
    watch_on: Option<usize>,
    /// The watch that is on has been answered.
    watching: bool,
    /// The watch at the address that an earlier configuration told, heeded until the one at the new speaks.
    old_watch: Option<(usize, Watch)>,
    /// Objects of the list that came and are not in force yet, and the one that is being brought into force.
    pending: VecDeque<Pending>,
    changes: Option<ListDiff>,
    /// A timer is set for the next batch of them.
    goes_on: bool,
    /// When the first timer for work on subsets is due.
    subsets_awaited: Option<Nanos>,
    /// Two sets: the one from `lines_from` on is used; the other's lines, where they stand, only end what they carry.
    lines: [CounterConnection; 2 * counter::CONNECTIONS],
    lines_on: [Option<usize>; 2 * counter::CONNECTIONS],
    lines_again: [Nanos; 2 * counter::CONNECTIONS],
    lines_from: usize,
    moved_at: Nanos,
    last_call: u64,
    /// How often each invariant was looked at, kept and broken.
    counts: Counts,
    /// Ends that the module is to be told of.
    ended: VecDeque<AttemptResult>,
    counted: VecDeque<(Call, CallOutcome, f64)>,
    /// Clients whose buffer may hold a further message.
    again: VecDeque<usize>,
    has_list: bool,
    /// Since SIGTERM.
    shutdown: Option<Shutdown>,
    /// The longest deadline that the configuration file told when it was read again.
    file_deadline: Option<Nanos>,
    /// The process ends with this turn.
    exits: bool,
    listens: bool,
    accepts_again: bool,
    /// When accepting is tried again, if it is to be.
    accepts_at: Option<Nanos>,
    /// When there was no place for a new client last.
    crowded_at: Option<Nanos>,
    /// Whether a new connection is silent that gives way soon, as of the last look at all; until when none is looked for, by
    /// whom it is for; and how many connections have been served.
    silent_wait: bool,
    nobody_gives_way_until: [Nanos; 2],
    clients_served: usize,
    /// Since when there are more that wait to be accepted than there were places for.
    behind_since: Option<Nanos>,
    clients_most: usize,
    spares: usize,
    links_most: usize,
    /// Bytes of clients' buffers beyond which no more is taken in.
    held_most: usize,
    rpcs_most: usize,
    dial: Nanos,
    idle: Nanos,
    count_wait: Nanos,
    directory: NameIds,
    columns: Vec<String>,
    /// Whether discovery pushes its lists, so that asking costs it nothing.
    pushed: bool,
    /// How many gateways there are, as far as the settings tell.
    fleet: u32,
    /// New work to a server must stop so long after its drain was told.
    stop_within: Nanos,
    /// When this turn began, and how far [`PolicyHost::catch_up`] has moved its time on since.
    woke_at: Instant,
    caught_up: Nanos,
    /// How long the turn before this one lasted, and the longest that one may last while the process keeps up.
    last_turn: Nanos,
    turn_most: Nanos,
    /// For rests that must not be in step with other gateways'; the module has a source of its own.
    chance: fastrand::Rng,
}

impl Gateway {
    pub fn new(config: Config, read_again: ConfigReader, net: Net, log: Logger) -> Gateway {
        let own = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let sockets = config.descriptor_limit.min(own.map_or(usize::MAX, |own| own as usize));
        let spares = (sockets / SPARES).max(2);
        let shared = sockets.saturating_sub(OTHERS + spares).max(8);
        let clients_most = shared * CLIENTS_TENTHS / 10;
        let span =
            |name: &str, default| config.positive_setting(name).map_or(default, |secs| (secs * 1e9) as Nanos);
        let idle =
            span("ceilings.connIdle", servers::DEFAULT_IDLE_TIMEOUT) as f64 * servers::IDLE_TIMEOUT_SHARE;
        let host = PolicyHost {
            dial: span("ceilings.dialTimeout", servers::DEFAULT_CONNECT_TIMEOUT),
            idle: idle as Nanos,
            count_wait: span("extra.countWait", counter::DEFAULT_CALL_TIMEOUT),
            rpcs_most: config.positive_setting("ceilings.maxOpen").map_or(usize::MAX, |most| most as usize),
            directory: NameIds::new(config.setting_list("localities"), config.setting_list("shapes")),
            columns: config.setting_list("reporting.columns"),
            clients_most,
            spares,
            held_most: config.memory_limit / CLIENTS_MEMORY,
            links_most: (shared - clients_most)
                .min(config.memory_limit / LINKS_MEMORY / (2 * MESSAGE_MOST))
                .max(2),
            net,
            log,
            timers: Timers::default(),
            clients: BTreeMap::new(),
            rpcs: HashMap::new(),
            last_rpc: 0,
            ids: HashSet::new(),
            open_rpcs: 0,
            servers: Servers::default(),
            links: BTreeMap::new(),
            to_write: VecDeque::new(),
            watch: Watch::for_services(0, config.memory_limit / LIST_MEMORY, config.services.clone()),
            pending: VecDeque::new(),
            changes: None,
            goes_on: false,
            subsets_awaited: None,
            stop_within: span("rules.stopSendingWithin", list::DEFAULT_STOP_WITHIN),
            pushed: config.settings.get("membershipMode").is_some_and(|mode| mode == "push"),
            fleet: config.positive_setting("balancers").map_or(1, |count| count as u32),
            chance: fastrand::Rng::with_seed(config.seed.rotate_left(32)),
            woke_at: Instant::now(),
            caught_up: 0,
            last_turn: 0,
            turn_most: (config.shortest_deadline() / TURN_SHARE).max(TURN_LEAST),
            watch_on: None,
            watching: false,
            old_watch: None,
            lines: Default::default(),
            lines_on: Default::default(),
            lines_again: Default::default(),
            lines_from: 0,
            moved_at: 0,
            last_call: 0,
            counts: Counts::default(),
            ended: VecDeque::new(),
            counted: VecDeque::new(),
            again: VecDeque::new(),
            has_list: false,
            shutdown: None,
            file_deadline: None,
            exits: false,
            listens: true,
            accepts_again: false,
            accepts_at: None,
            crowded_at: None,
            silent_wait: false,
            nobody_gives_way_until: [0; 2],
            clients_served: 0,
            behind_since: None,
            config,
        };
        let brain = AdmissionController::new(host.config.seed, host.config.settings.clone());
        Gateway { brain, read_again, host, agreement: None }
    }
}

impl EventHandler for Gateway {
    fn net(&mut self) -> &mut Net {
        &mut self.host.net
    }

    /// Begins with the list held from before; discovery and the counter may be down. With a list the watch is asked for
    /// after a rest, since most of the fleet may start at this moment.
    fn start(&mut self, now: Nanos) {
        (self.host.net.now, self.host.woke_at) = (now, Instant::now());
        self.begin_to_agree();
        let known = self
            .host
            .config
            .initial_list
            .take()
            .and_then(|known| list::parse(&known, &self.host.config.services));
        if let Some(told) = known.filter(|told| !told.entries.is_empty()) {
            self.told(told);
        }
        if self.host.has_list {
            self.host.watch.last_received = now;
            self.host.watch_later()
        } else {
            self.host.dial_watch()
        }
        self.host.timers.set(now + SWEEP, TimerEvent::Sweep);
        info!(self.host.log, "started"; "listen" => %self.host.config.listen, "version" => env!("CARGO_PKG_VERSION"), "servers" => self.host.servers.by_number.len(),
            "clients_most" => self.host.clients_most, "links_most" => self.host.links_most);
    }

    /// When to turn next. Timers whose cause is over are dropped as they come first, so that they wake nobody.
    fn next_timer(&mut self) -> Option<Nanos> {
        let PolicyHost { timers, links, rpcs, lines, .. } = &mut self.host;
        timers.discard_stale(|what| match what {
            TimerEvent::CallOut(id, rpc, nth) => !links.get(id).is_some_and(|link| link.carries(*rpc, *nth)),
            TimerEvent::Dial(id) => links.get(id).is_none_or(|link| link.is_connected),
            TimerEvent::Count(line, serial) => !lines[*line].has_call(*serial),
            TimerEvent::Overdue(id) => rpcs.get(id).is_none_or(|rpc| rpc.state == RpcState::Answered),
            _ => false,
        });
        timers.next_due()
    }

    fn stop(&mut self) {
        self.begin_shutdown();
    }

    /// SIGHUP: discovery and the counter are where the file says now; settings with a version hold from their time on; all
    /// else is for the next start. The list, calls and RPCs go on. Guards against a file that can't be read: the old one stays. Harm: so does a mistake in it.
    fn reload(&mut self) {
        let host = &mut self.host;
        if !descriptor_is_left() {
            host.shed(); // the file needs one
        }
        let new = match (self.read_again)() {
            Ok(new) => new,
            Err(why) => return warn!(host.log, "configuration kept"; "error" => why),
        };
        let agreed = self.agreement.is_some() && new.agreement.is_some();
        info!(host.log, "configuration read"; "discovery" => %new.discovery, "counter" => shown(new.counter),
            "needs_restart" => !agreed && new.settings != host.config.settings);
        host.file_deadline = Some(new.longest_deadline());
        if new.discovery != host.config.discovery {
            host.config.discovery = new.discovery;
            host.move_watch();
            self.agreement.iter_mut().for_each(|agreement| agreement.source_moved());
        }
        if new.counter != host.config.counter {
            host.config.counter = new.counter;
            host.move_lines();
        }
        if let Some(told) = new.agreement.filter(|_| agreed) {
            let services = Rc::new(self.host.config.services.with_classes_of(&new.services));
            self.take_version(told.version, new.methods, new.plans, services);
        }
        self.shorten_shutdown();
    }

    /// A list's next batch goes before all that the turn brings: what is sent to a server in this turn is written in it.
    fn turn_started(&mut self) {
        let host = &mut self.host;
        // The driver takes the last turn to have begun at the time that was told then.
        host.net.input_delay += std::mem::take(&mut host.caught_up);
        host.last_turn = host.net.input_delay;
        host.woke_at = Instant::now();
        self.agree();
        if self.host.goes_on {
            self.go_on_with_list();
        }
    }

    fn datagram_received(&mut self, bytes: &[u8]) {
        self.hear(bytes);
    }

    fn is_listening(&self) -> bool {
        self.host.listens
    }

    fn is_finished(&self) -> bool {
        self.host.exits || !self.host.listens && self.host.clients.is_empty()
    }

    fn can_accept(&mut self) -> bool {
        self.host.has_room_for_client()
    }

    fn max_client_input(&self) -> usize {
        MESSAGE_MOST
    }

    fn accepted(&mut self, id: usize) {
        let spare = self.host.clients.len() >= self.host.clients_most;
        let since = self.host.connected_since(id);
        let client = Client { state_since: since, over_limit: spare, ..Client::default() };
        self.host.clients.insert(id, client);
        // What it sent behind its connection may have waited as long as that did, which is known now and not in the turn
        // that would read it.
        self.host.net.read(id, false);
        self.host.again.push_back(id);
    }

    fn retry_accept_later(&mut self) {
        self.host.accept_later();
    }

    fn accept_queue_empty(&mut self) {
        self.host.behind_since = None;
    }

    fn unavailable_response(&self) -> &[u8] {
        clients::UNAVAILABLE_RESPONSE
    }

    /// Closes an idle connection to free its descriptor; false if there is none.
    fn free_descriptor(&mut self) -> bool {
        self.host.shed()
    }

    /// A connection that was begun here stands.
    fn connected(&mut self, id: usize) {
        let PolicyHost { net, links, to_write, lines, watch, watch_on, .. } = &mut self.host;
        let now = net.now;
        match net.peer(id) {
            Some(Peer::Server) => {
                if let Some(link) = links.get_mut(&id) {
                    link.is_connected = true;
                    to_write.push_back(id);
                }
            }
            Some(Peer::Discovery) if *watch_on == Some(id) => {
                if let Some(out) = net.output(id) {
                    watch.write_request(out, now);
                }
            }
            Some(Peer::Counter(line)) => drop(net.output(id).map(|out| lines[line].connected(out, now))),
            _ => {}
        }
    }

    /// All or some of what waited for a connection is written.
    fn output_written(&mut self, id: usize) {
        self.host.client_wrote(id);
    }

    /// Bytes came in, or the connection ended.
    fn input_received(&mut self, id: usize) {
        match self.host.net.peer(id) {
            Some(Peer::Client) => self.client_came(id),
            Some(Peer::Server) => self.host.server_came(id),
            Some(Peer::Discovery) => self.list_came(id),
            Some(Peer::Counter(line)) => self.host.counter_came(line, id),
            None => {}
        }
    }

    /// Timers that are due; true if connections may be accepted again.
    fn run_due_timers(&mut self) -> bool {
        let now = self.host.net.now;
        while let Some(what) = self.host.timers.pop_due(now) {
            match what {
                TimerEvent::Wake(token) => self.brain.on_timer(&mut self.host, now, token),
                TimerEvent::CallOut(id, rpc, nth) => self.host.call_out_over(id, rpc, nth),
                TimerEvent::Dial(id) => self.host.dial_over(id),
                TimerEvent::Write(id) => self.host.to_write.push_back(id),
                TimerEvent::Count(line, serial) => {
                    if let Some((call, how)) = self.host.lines[line].time_out_call(serial) {
                        self.host.counted.push_back((call, how, 0.0));
                    }
                }
                TimerEvent::Overdue(id) => self.overdue(id),
                TimerEvent::Sweep => self.host.sweep(),
                TimerEvent::Watch => self.host.dial_watch(),
                TimerEvent::Accept => self.host.accepts_again |= self.host.accepts_now(),
                TimerEvent::StopListening => {
                    self.host.listens = false;
                    self.host.close_clients(false);
                }
                TimerEvent::LastCall => self.host.close_clients(true),
                TimerEvent::Exit => self.exit(),
                TimerEvent::Agree => self.agree(),
                TimerEvent::Changes => {} // the turn has begun with it
                TimerEvent::Subsets => self.work_on_subsets(),
            }
            self.process_pending();
        }
        std::mem::take(&mut self.host.accepts_again)
    }

    fn write_attempts(&mut self) {
        while let Some(id) = self.host.to_write.pop_front() {
            self.host.catch_up();
            if self.client_stays(id) {
                self.host.write_attempt(id);
            } else {
                // Timers are looked at once a turn, so this is for the next one.
                self.host.timers.set(self.host.net.now + MS, TimerEvent::Write(id));
            }
            self.process_pending();
        }
    }

    /// Tells the module of all that has ended, until nothing more comes of it.
    fn process_pending(&mut self) {
        let now = self.host.net.now;
        loop {
            if let Some(ended) = self.host.ended.pop_front() {
                self.brain.on_attempt_end(&mut self.host, now, &ended);
            } else if let Some((call, how, total)) = self.host.counted.pop_front() {
                self.brain.on_counter_reply(&mut self.host, now, call.name, how, total);
            } else if let Some(id) = self.host.again.pop_front() {
                self.client_came(id);
            } else {
                return;
            }
        }
    }
}

/// Whether this process can open one more file.
fn descriptor_is_left() -> bool {
    rustix::io::fcntl_dupfd_cloexec(rustix::stdio::stderr(), 0).is_ok()
}

fn shown(address: Option<SocketAddr>) -> String {
    address.map_or_else(String::new, |address| address.to_string())
}

impl Host for PolicyHost {
    fn send_attempt(&mut self, id: u32, server: u32, limit: Nanos, before: Nanos) {
        let now = self.net.now;
        let Some(rpc) = self.rpcs.get_mut(&id) else { return };
        let until = if limit == 0 { rpc.deadline } else { (now + limit).min(rpc.deadline) };
        let attempt =
            Attempt { rpc: id, number: rpc.call_outs, requested_at: now, deadline: until, write_by: before };
        rpc.call_outs += 1;
        self.log_attempt(&attempt, server);
        let Some(rpc) = self.rpcs.get_mut(&id) else { return };
        if rpc.state == RpcState::Answered || until <= now {
            return self.end_call_out(server, attempt, CallOutcome::NotSent, 0.0, Vec::new());
        }
        let Some(to) = self.link_to(server) else {
            return self.end_call_out(server, attempt, CallOutcome::NoConnection, 0.0, Vec::new());
        };
        self.shift(id, RpcState::Out);
        let (Some(rpc), Some(link)) = (self.rpcs.get_mut(&id), self.links.get_mut(&to)) else { return };
        rpc.open = true;
        link.stage = Stage::Requested(attempt);
        if link.is_connected {
            self.to_write.push_back(to);
        }
        self.timers.set(until, TimerEvent::CallOut(to, id, attempt.number));
    }

    fn reject(&mut self, id: u32, come_back: Nanos) {
        if self.refusal_is_harmless(id) {
            self.answer(id, if come_back > 0 { 429 } else { 503 }, come_back, "refused");
        } else {
            self.abort(id);
        }
    }

    fn abort(&mut self, id: u32) {
        let over = self.rpcs.get(&id).is_some_and(|rpc| self.net.now >= rpc.deadline);
        self.answer(id, if over { 504 } else { 502 }, 0, if over { "time-over" } else { "failed" });
    }

    fn set_timer(&mut self, after: Nanos, token: u32) {
        self.timers.set(self.net.now.saturating_add(after), TimerEvent::Wake(token));
    }

    fn add_to_counter(&mut self, name: u64, add: f64, forget: Nanos) {
        self.last_call += 1;
        let call = Call { serial: self.last_call, name, add, ttl: forget };
        let Some(line) = self.line_for(name) else {
            return self.counted.push_back((call, CallOutcome::NoConnection, 0.0));
        };
        let PolicyHost { net, lines, lines_on, .. } = self;
        let now = net.now;
        if let Some(out) = lines_on[line].and_then(|id| net.output(id)) {
            lines[line].send_call(out, now, call);
            self.timers.set(now + self.count_wait, TimerEvent::Count(line, call.serial));
        }
    }
}

impl PolicyHost {
    /// Moves the turn's time on to what it is by now. Guards against telling a server more time than is left, and against
    /// attempts whose time passed while the turn lasted. Harm: the time is read once more for each attempt.
    fn catch_up(&mut self) {
        let further = self.turn_lasted();
        self.caught_up += further;
        self.net.now += further;
    }

    /// How far the time has moved on since the turn's.
    fn turn_lasted(&self) -> Nanos {
        (self.woke_at.elapsed().as_nanos() as Nanos).saturating_sub(self.caught_up)
    }

    /// Begins a connection. Guards against descriptors that others fill (idle clients, or whatever else the process was
    /// given): an idle connection gives way. Harm: a client that rested opens another one.
    fn connect(&mut self, address: SocketAddr, peer: Peer, most: usize) -> io::Result<usize> {
        match self.net.connect(address, peer, most) {
            Err(e) if is_resource_exhausted(&e) && self.shed() => self.net.connect(address, peer, most),
            connected => connected,
        }
    }

    fn fresh_rpc(&mut self) -> u32 {
        loop {
            self.last_rpc = self.last_rpc.wrapping_add(1);
            if !self.rpcs.contains_key(&self.last_rpc) {
                return self.last_rpc;
            }
        }
    }

    /// Every change of where an RPC stands goes through here, and so does its end.
    fn shift(&mut self, id: u32, to: RpcState) {
        let Some(rpc) = self.rpcs.get_mut(&id) else { return };
        let was = std::mem::replace(&mut rpc.state, to);
        if to == RpcState::Answered {
            self.open_rpcs -= usize::from(was != RpcState::Answered);
            if !rpc.open {
                self.forget(id);
            }
        }
    }

    fn forget(&mut self, id: u32) {
        if let Some(rpc) = self.rpcs.remove(&id) {
            self.ids.remove(&rpc.id);
        }
    }

    /// The servers that connections lead to.
    fn met(&self) -> impl Iterator<Item = &Server> {
        let numbers: BTreeSet<u32> = self.links.values().map(|link| link.server).collect();
        numbers.into_iter().filter_map(|number| self.servers.by_number.get(&number))
    }
}
