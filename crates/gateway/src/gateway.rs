//! Connects the decision module to clients, servers, discovery and the counter: passes their events
//! to the module and carries out what it asks for. It makes no decisions of its own.

use crate::clients::{self, Client, Got};
use crate::config::Config;
use crate::counter::{self, Call, Line};
use crate::directory::Directory;
use crate::driver::{ACCEPT_AGAIN, Ending, EventHandler, Net, Peer, out_of_descriptors};
use crate::eviction;
use crate::guard::{self, RetrySafety, ServerStatus};
use crate::http::{BODY_MOST, Bad, HEAD_MOST};
use crate::invariants::{Counts, Invariant};
use crate::list::{self, Told, Watch};
use crate::list_update::{Batch, ListUpdate, ServerChange, WORK_PER_TURN};
use crate::phase::{CloseCause, Phase, UnsentAnswer};
use crate::servers::{self, Answer, Attempt, Body, Link, Server, Servers, Stage};
use crate::shutdown::Shutdown;
use crate::timers::Timers;
use martenramp::brain::Brain;
use martenramp::host::{Arrival, End, Ended, Host, Nanos};
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
/// An RPC's deadline is set this much earlier than its client states, for the time in transit and a
/// turn of the event loop.
const MARGIN: Nanos = 5 * MS;
/// An RPC without an answer this long after its deadline is answered without the module.
const OVERDUE: Nanos = 2 * MS;
/// Interval of the sweep for idle, silent and slow connections.
const SWEEP: Nanos = 250 * MS;
/// How long input is still read after this side has shut down sending, until the client closes as
/// well.
const LINGER: Nanos = 500 * MS;
/// Descriptors for everything but clients and servers (poll, signals, logs, list, counter), and
/// some spare.
const OTHERS: usize = 24;
/// Divisor of the share of all descriptors that is reserved for connections accepted only to reject
/// what they send.
const SPARES: usize = 32;
/// The clients' share of the remaining descriptors, in tenths.
const CLIENTS_TENTHS: usize = 6;
/// Limit of the input buffer of a connection to the counter.
const OTHER_INPUT: usize = 64 << 10;
/// Limit of the input buffer of the watch: more than a head, and no more than can be processed in a
/// small part of a turn.
const LIST_INPUT: usize = HEAD_MOST + (8 << 10);
/// Divisors of the shares of the memory that may be taken by the buffers of all clients, the
/// buffers of all servers, and the entries of an incoming list.
const CLIENTS_MEMORY: usize = 3;
const LINKS_MEMORY: usize = 3;
const LIST_MEMORY: usize = 4;
/// A turn may last this fraction of the shortest deadline, but at least `MIN_TURN_LIMIT`, while the
/// process keeps up.
const TURN_SHARE: Nanos = 10;
const TURN_LEAST: Nanos = 10 * MS;
/// How often a client that keeps sending is read before an attempt is written for it.
const LOOKS: usize = 16;
const MESSAGE_MOST: usize = HEAD_MOST + BODY_MOST + 1024;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerEvent {
    Wake(u32),
    CallOut(usize, u32, u16),
    Dial(usize),
    /// A deferred attempt is to be written on this connection.
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
    /// The next batch of a list update is to be applied.
    Changes,
    /// There is work on the subsets of the module.
    Subsets,
}

/// The state of an RPC: with the module, at a server, or answered. An answered RPC may still have
/// an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RpcState {
    Held,
    Out,
    Answered,
}

/// An object of the list that is waiting to be applied.
enum Pending {
    /// As received from discovery.
    Told(Told),
    /// Reduced to what may be applied.
    Judged(Told),
}

struct Rpc {
    state: RpcState,
    /// The client whose input buffer holds the message, for as long as it is connected.
    client: usize,
    message: clients::Rpc,
    /// When the message was read.
    since: Nanos,
    deadline: Nanos,
    call_outs: u16,
    open: bool,
    /// How often it may run, and when the first attempt that may have run began.
    effect: RetrySafety,
    first_run: Option<Nanos>,
    /// Part of it was written to a server.
    written: bool,
    id: Box<[u8]>,
}

/// Reads the configuration again.
pub type ConfigReader = Box<dyn Fn() -> Result<Config, String>>;

pub struct Gateway {
    brain: Brain,
    read_again: ConfigReader,
    host: PolicyHost,
    /// Present if the settings have a version.
    agreement: Option<settings_agreement::AgreementLink>,
}

/// The [`Host`] of the module: everything but the module itself.
struct PolicyHost {
    config: Config,
    net: Net,
    log: Logger,
    timers: Timers<TimerEvent>,
    clients: BTreeMap<usize, Client>,
    rpcs: HashMap<u32, Rpc>,
    last_rpc: u32,
    /// Transaction ids, as given by clients, of the RPCs in `rpcs`.
    ids: HashSet<Box<[u8]>>,
    open_rpcs: usize,
    servers: Servers,
    links: BTreeMap<usize, Link>,
    /// Established connections that were given an attempt; it is written at the end of the turn.
    to_write: VecDeque<usize>,
    watch: Watch,
    watch_on: Option<usize>,
    /// The current watch was answered.
    watching: bool,
    /// The watch at the address in the previous configuration, used until the one at the new
    /// address is answered.
    old_watch: Option<(usize, Watch)>,
    /// Received objects of the list that are not applied yet, and the update that is being applied.
    pending: VecDeque<Pending>,
    changes: Option<ListUpdate>,
    /// A timer is set for the next batch of the update.
    goes_on: bool,
    /// When the first timer for work on subsets is due.
    subsets_awaited: Option<Nanos>,
    /// Two sets of connections to the counter. The set that starts at `active_counter_set` is in
    /// use; connections of the other one only finish their calls.
    lines: [Line; 2 * counter::LINES],
    lines_on: [Option<usize>; 2 * counter::LINES],
    lines_again: [Nanos; 2 * counter::LINES],
    lines_from: usize,
    moved_at: Nanos,
    last_call: u64,
    /// How often each invariant was checked, upheld by the guard and violated.
    counts: Counts,
    /// Ended attempts that are not yet reported to the module.
    ended: VecDeque<Ended>,
    /// Ended calls to the counter that are not yet reported to the module.
    counted: VecDeque<(Call, End, f64)>,
    /// Clients whose input buffer may hold another message.
    again: VecDeque<usize>,
    has_list: bool,
    /// Set from SIGTERM on.
    shutdown: Option<Shutdown>,
    /// The longest deadline in the configuration file when it was last reloaded.
    file_deadline: Option<Nanos>,
    /// The process exits after this turn.
    exits: bool,
    listens: bool,
    accepts_again: bool,
    /// When accepting is retried, if it is scheduled.
    accepts_at: Option<Nanos>,
    /// When a new client last found no place.
    crowded_at: Option<Nanos>,
    /// Whether the last scan of all clients found a new connection that has sent nothing and can be
    /// evicted soon; until when eviction is not retried, by purpose; and how many connections were
    /// served.
    silent_wait: bool,
    nobody_gives_way_until: [Nanos; 2],
    clients_served: usize,
    /// Since when more connections wait to be accepted than there are places.
    behind_since: Option<Nanos>,
    clients_most: usize,
    spares: usize,
    links_most: usize,
    /// Limit of the total size of clients' buffers; beyond it nothing more is admitted.
    held_most: usize,
    rpcs_most: usize,
    dial: Nanos,
    idle: Nanos,
    count_wait: Nanos,
    directory: Directory,
    columns: Vec<String>,
    /// Whether discovery pushes its lists, so that a request costs it nothing.
    pushed: bool,
    /// The number of gateways, according to the settings.
    fleet: u32,
    /// New work to a server must stop this long after its drain was announced.
    stop_within: Nanos,
    /// When this turn began, and how far [`PolicyHost::catch_up`] has advanced its time since.
    woke_at: Instant,
    caught_up: Nanos,
    /// Duration of the previous turn, and the longest that a turn may take while the process keeps
    /// up.
    last_turn: Nanos,
    turn_most: Nanos,
    /// Random numbers for delays that must not be in step with those of other gateways; the module
    /// has its own source.
    chance: fastrand::Rng,
}

impl Gateway {
    pub fn new(config: Config, read_again: ConfigReader, net: Net, log: Logger) -> Gateway {
        let own = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let sockets = config.sockets.min(own.map_or(usize::MAX, |own| own as usize));
        let spares = (sockets / SPARES).max(2);
        let shared = sockets.saturating_sub(OTHERS + spares).max(8);
        let clients_most = shared * CLIENTS_TENTHS / 10;
        let span = |name: &str, default| config.setting(name).map_or(default, |secs| (secs * 1e9) as Nanos);
        let idle = span("ceilings.connIdle", servers::IDLE) as f64 * servers::IDLE_SHARE;
        let host = PolicyHost {
            dial: span("ceilings.dialTimeout", servers::DIAL),
            idle: idle as Nanos,
            count_wait: span("extra.countWait", counter::WAIT),
            rpcs_most: config.setting("ceilings.maxOpen").map_or(usize::MAX, |most| most as usize),
            directory: Directory::new(config.list("localities"), config.list("shapes")),
            columns: config.list("reporting.columns"),
            clients_most,
            spares,
            held_most: config.memory / CLIENTS_MEMORY,
            links_most: (shared - clients_most).min(config.memory / LINKS_MEMORY / (2 * MESSAGE_MOST)).max(2),
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
            watch: Watch::of_services(0, config.memory / LIST_MEMORY, config.services.clone()),
            pending: VecDeque::new(),
            changes: None,
            goes_on: false,
            subsets_awaited: None,
            stop_within: span("rules.stopSendingWithin", list::STOP_WITHIN),
            pushed: config.settings.get("membershipMode").is_some_and(|mode| mode == "push"),
            fleet: config.setting("balancers").map_or(1, |count| count as u32),
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
        let brain = Brain::new(host.config.seed, host.config.settings.clone());
        Gateway { brain, read_again, host, agreement: None }
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
        (self.host.net.now, self.host.woke_at) = (now, Instant::now());
        self.begin_to_agree();
        let known =
            self.host.config.known.take().and_then(|known| list::read(&known, &self.host.config.services));
        if let Some(told) = known.filter(|told| !told.entries.is_empty()) {
            self.told(told);
        }
        if self.host.has_list {
            self.host.watch.heard = now;
            self.host.watch_later()
        } else {
            self.host.dial_watch()
        }
        self.host.timers.set(now + SWEEP, TimerEvent::Sweep);
        info!(self.host.log, "started"; "listen" => %self.host.config.listen, "version" => env!("CARGO_PKG_VERSION"), "servers" => self.host.servers.by_number.len(),
            "clients_most" => self.host.clients_most, "links_most" => self.host.links_most);
    }

    /// The time of the next turn. Timers that no longer apply are discarded when they reach the
    /// front, so that they cause no wakeup.
    fn next_turn(&mut self) -> Option<Nanos> {
        let PolicyHost { timers, links, rpcs, lines, .. } = &mut self.host;
        timers.discard_stale(|what| match what {
            TimerEvent::CallOut(id, rpc, nth) => !links.get(id).is_some_and(|link| link.carries(*rpc, *nth)),
            TimerEvent::Dial(id) => links.get(id).is_none_or(|link| link.up),
            TimerEvent::Count(line, serial) => !lines[*line].holds(*serial),
            TimerEvent::Overdue(id) => rpcs.get(id).is_none_or(|rpc| rpc.state == RpcState::Answered),
            _ => false,
        });
        timers.next_due()
    }

    fn stop(&mut self) {
        self.begin_shutdown();
    }

    /// SIGHUP: the addresses of discovery and the counter change at once; settings with a version
    /// apply from their start time; everything else needs a restart. The list, calls and RPCs
    /// continue. If the file can't be read, the old configuration stays in use; so it also does
    /// after a mistake in the file.
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

    /// Applies the next batch of a list before anything else in the turn, since attempts of this
    /// turn are written in it.
    fn woke(&mut self) {
        let host = &mut self.host;
        // The driver assumes that the last turn began at the time that it reported then.
        host.net.late += std::mem::take(&mut host.caught_up);
        host.last_turn = host.net.late;
        host.woke_at = Instant::now();
        self.agree();
        if self.host.goes_on {
            self.go_on_with_list();
        }
    }

    fn heard(&mut self, bytes: &[u8]) {
        self.hear(bytes);
    }

    fn listens(&self) -> bool {
        self.host.listens
    }

    fn is_over(&self) -> bool {
        self.host.exits || !self.host.listens && self.host.clients.is_empty()
    }

    fn has_room(&mut self) -> bool {
        self.host.has_room_for_client()
    }

    fn client_input_most(&self) -> usize {
        MESSAGE_MOST
    }

    fn accepted(&mut self, id: usize) {
        let spare = self.host.clients.len() >= self.host.clients_most;
        let since = self.host.connected_since(id);
        let client = Client { since, spare, ..Client::default() };
        self.host.clients.insert(id, client);
        // Data that the client sent right after connecting may have waited as long as the
        // connection did. That time is known now, and no longer in the turn that would read the
        // data.
        self.host.net.read(id, false);
        self.host.again.push_back(id);
    }

    fn accept_later(&mut self) {
        self.host.accept_later();
    }

    fn accepted_all(&mut self) {
        self.host.behind_since = None;
    }

    fn refusal(&self) -> &[u8] {
        clients::REFUSAL
    }

    /// Closes an idle connection to free its descriptor; false if there is none.
    fn shed(&mut self) -> bool {
        self.host.shed()
    }

    /// A connection opened by the gateway is established.
    fn up(&mut self, id: usize) {
        let PolicyHost { net, links, to_write, lines, watch, watch_on, .. } = &mut self.host;
        let now = net.now;
        match net.peer(id) {
            Some(Peer::Server) => {
                if let Some(link) = links.get_mut(&id) {
                    link.up = true;
                    to_write.push_back(id);
                }
            }
            Some(Peer::List) if *watch_on == Some(id) => drop(net.out(id).map(|out| watch.ask(out, now))),
            Some(Peer::Counter(line)) => drop(net.out(id).map(|out| lines[line].opened(out, now))),
            _ => {}
        }
    }

    /// Some or all of the output of a connection was written.
    fn wrote(&mut self, id: usize) {
        self.host.client_wrote(id);
    }

    /// Bytes were received, or the connection ended.
    fn came(&mut self, id: usize) {
        match self.host.net.peer(id) {
            Some(Peer::Client) => self.client_came(id),
            Some(Peer::Server) => self.host.server_came(id),
            Some(Peer::List) => self.list_came(id),
            Some(Peer::Counter(line)) => self.host.counter_came(line, id),
            None => {}
        }
    }

    /// Handles due timers; true if connections may be accepted again.
    fn due(&mut self) -> bool {
        let now = self.host.net.now;
        while let Some(what) = self.host.timers.pop_due(now) {
            match what {
                TimerEvent::Wake(token) => self.brain.woke(&mut self.host, now, token),
                TimerEvent::CallOut(id, rpc, nth) => self.host.call_out_over(id, rpc, nth),
                TimerEvent::Dial(id) => self.host.dial_over(id),
                TimerEvent::Write(id) => self.host.to_write.push_back(id),
                TimerEvent::Count(line, serial) => {
                    if let Some((call, how)) = self.host.lines[line].time_out(serial) {
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
                TimerEvent::Changes => {} // handled at the start of the turn
                TimerEvent::Subsets => self.work_on_subsets(),
            }
            self.settle();
        }
        std::mem::take(&mut self.host.accepts_again)
    }

    fn write_attempts(&mut self) {
        while let Some(id) = self.host.to_write.pop_front() {
            self.host.catch_up();
            if self.client_stays(id) {
                self.host.write_attempt(id);
            } else {
                // Timers are checked once per turn, so this one is due in the next turn.
                self.host.timers.set(self.host.net.now + MS, TimerEvent::Write(id));
            }
            self.settle();
        }
    }

    /// Reports all ended attempts and counter calls to the module and reads the remaining clients,
    /// until nothing is left.
    fn settle(&mut self) {
        let now = self.host.net.now;
        loop {
            if let Some(ended) = self.host.ended.pop_front() {
                self.brain.ended(&mut self.host, now, &ended);
            } else if let Some((call, how, total)) = self.host.counted.pop_front() {
                self.brain.counted(&mut self.host, now, call.name, how, total);
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
    fn call_out(&mut self, id: u32, server: u32, limit: Nanos, before: Nanos) {
        let now = self.net.now;
        let Some(rpc) = self.rpcs.get_mut(&id) else { return };
        let until = if limit == 0 { rpc.deadline } else { (now + limit).min(rpc.deadline) };
        let attempt = Attempt { rpc: id, nth: rpc.call_outs, sent: now, until, before };
        rpc.call_outs += 1;
        self.log_attempt(&attempt, server);
        let Some(rpc) = self.rpcs.get_mut(&id) else { return };
        if rpc.state == RpcState::Answered || until <= now {
            return self.end_call_out(server, attempt, End::NotSent, 0.0, Vec::new());
        }
        let Some(to) = self.link_to(server) else {
            return self.end_call_out(server, attempt, End::NoConnection, 0.0, Vec::new());
        };
        self.shift(id, RpcState::Out);
        let (Some(rpc), Some(link)) = (self.rpcs.get_mut(&id), self.links.get_mut(&to)) else { return };
        rpc.open = true;
        link.stage = Stage::Asked(attempt);
        if link.up {
            self.to_write.push_back(to);
        }
        self.timers.set(until, TimerEvent::CallOut(to, id, attempt.nth));
    }

    fn push_back(&mut self, id: u32, come_back: Nanos) {
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

    fn wake(&mut self, after: Nanos, token: u32) {
        self.timers.set(self.net.now.saturating_add(after), TimerEvent::Wake(token));
    }

    fn count(&mut self, name: u64, add: f64, forget: Nanos) {
        self.last_call += 1;
        let call = Call { serial: self.last_call, name, add, forget };
        let Some(line) = self.line_for(name) else {
            return self.counted.push_back((call, End::NoConnection, 0.0));
        };
        let PolicyHost { net, lines, lines_on, .. } = self;
        let now = net.now;
        if let Some(out) = lines_on[line].and_then(|id| net.out(id)) {
            lines[line].call(out, now, call);
            self.timers.set(now + self.count_wait, TimerEvent::Count(line, call.serial));
        }
    }
}

impl PolicyHost {
    /// Advances the time of the turn to the current time. Otherwise a server could be given more
    /// time than is left, and attempts could be written whose time ran out during the turn. The
    /// cost: one clock read per attempt.
    fn catch_up(&mut self) {
        let further = self.turn_lasted();
        self.caught_up += further;
        self.net.now += further;
    }

    /// How far the current time is ahead of the time of the turn.
    fn turn_lasted(&self) -> Nanos {
        (self.woke_at.elapsed().as_nanos() as Nanos).saturating_sub(self.caught_up)
    }

    /// Opens a connection. If descriptors run out (held by idle clients, or by whatever else the
    /// process was given), an idle connection is closed for it. The cost: an idle client has to
    /// reconnect.
    fn connect(&mut self, address: SocketAddr, peer: Peer, most: usize) -> io::Result<usize> {
        match self.net.connect(address, peer, most) {
            Err(e) if out_of_descriptors(&e) && self.shed() => self.net.connect(address, peer, most),
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

    /// Changes the state of an RPC, including its end; every such change goes through here.
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

    /// The servers that there are connections to.
    fn met(&self) -> impl Iterator<Item = &Server> {
        let numbers: BTreeSet<u32> = self.links.values().map(|link| link.server).collect();
        numbers.into_iter().filter_map(|number| self.servers.by_number.get(&number))
    }
}
