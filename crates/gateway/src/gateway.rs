//! Ties the module to its peers: takes what the state machines find to the module, and carries out what the
//! module asks for. It decides nothing.

use crate::clients::{self, Client, Got};
use crate::config::Config;
use crate::counter::{self, Call, Line};
use crate::driver::{ACCEPT_AGAIN, Net, Peer};
use crate::http::{BODY_MOST, Bad, HEAD_MOST};
use crate::list::{self, Told, Watch};
use crate::servers::{self, Body, CallOut, Link, Servers, Stage};
use crate::timers::Timers;
use martenramp::brain::Brain;
use martenramp::host::{Arrival, End, Ended, Host, Listed, Nanos};
use slog::{Logger, info, warn};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

const MS: Nanos = 1_000_000;
/// An RPC's deadline is taken as so much sooner than its client tells, for the way here and a turn of the loop.
const MARGIN: Nanos = 5 * MS;
/// An RPC that has no answer so long after its deadline is answered without the module.
const OVERDUE: Nanos = 2 * MS;
/// What is idle, silent or slow is looked for so often.
const SWEEP: Nanos = 250 * MS;
/// After SIGTERM: new connections are taken for so long, then messages that had begun may still come in.
const STAY: Nanos = 500 * MS;
const LINGER: Nanos = 500 * MS;
/// Descriptors that are neither clients' nor servers' (poll, signals, logs, list, counter), and some spare.
const OTHERS: usize = 40;
/// Beyond the clients' part, so many connections are taken only to push back what they bring.
const REFUSED: usize = 24;
/// The clients' part of the descriptors, in tenths.
const CLIENTS_TENTHS: usize = 6;
/// What of the watch and of the counter may wait in a buffer.
const OTHER_INPUT: usize = 64 << 10;
const MESSAGE_MOST: usize = HEAD_MOST + BODY_MOST + 1024;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Wake(u32),
    CallOut(usize, u32, u16),
    Dial(usize),
    Count(usize, u64),
    Overdue(u32),
    Sweep,
    Watch,
    Accept,
    Stay,
    Linger,
}

/// Where an RPC stands here: with the module, out at a server, or answered while a call-out is still out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stand {
    Held,
    Out,
    Answered,
}

struct Rpc {
    stand: Stand,
    /// Whose buffer holds the message, as long as that client is there.
    client: usize,
    message: clients::Rpc,
    deadline: Nanos,
    call_outs: u16,
    open: bool,
}

pub struct Gateway {
    brain: Brain,
    desk: Desk,
}

/// All but the module: its `Host`.
struct Desk {
    config: Config,
    net: Net,
    log: Logger,
    timers: Timers<What>,
    clients: BTreeMap<usize, Client>,
    rpcs: HashMap<u32, Rpc>,
    last_rpc: u32,
    open_rpcs: usize,
    servers: Servers,
    links: BTreeMap<usize, Link>,
    watch: Watch,
    watch_on: Option<usize>,
    lines: [Line; counter::LINES],
    lines_on: [Option<usize>; counter::LINES],
    lines_again: [Nanos; counter::LINES],
    last_call: u64,
    /// Ends that the module is to be told of.
    ended: VecDeque<Ended>,
    counted: VecDeque<(Call, End, f64)>,
    /// Clients whose buffer may hold a further message.
    again: VecDeque<usize>,
    has_list: bool,
    stopping: bool,
    listens: bool,
    accepts_again: bool,
    clients_most: usize,
    links_most: usize,
    rpcs_most: usize,
    dial: Nanos,
    idle: Nanos,
    count_wait: Nanos,
    zones: Vec<String>,
    kinds: Vec<String>,
    columns: Vec<String>,
}

impl Gateway {
    pub fn new(config: Config, net: Net, log: Logger) -> Gateway {
        let own = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let sockets = config.sockets.min(own.map_or(usize::MAX, |own| own as usize));
        let shared = sockets.saturating_sub(OTHERS + REFUSED).max(8);
        let clients_most = shared * CLIENTS_TENTHS / 10;
        let span = |name: &str, default| config.setting(name).map_or(default, |secs| (secs * 1e9) as Nanos);
        let idle = span("ceilings.connIdle", servers::IDLE) as f64 * servers::IDLE_SHARE;
        let desk = Desk {
            dial: span("ceilings.dialTimeout", servers::DIAL),
            idle: idle as Nanos,
            count_wait: span("extra.countWait", counter::WAIT),
            rpcs_most: config.setting("ceilings.maxOpen").map_or(usize::MAX, |most| most as usize),
            zones: config.list("localities"),
            kinds: config.list("shapes"),
            columns: config.list("reporting.columns"),
            clients_most,
            links_most: shared - clients_most,
            net,
            log,
            timers: Timers::default(),
            clients: BTreeMap::new(),
            rpcs: HashMap::new(),
            last_rpc: 0,
            open_rpcs: 0,
            servers: Servers::default(),
            links: BTreeMap::new(),
            watch: Watch::default(),
            watch_on: None,
            lines: Default::default(),
            lines_on: Default::default(),
            lines_again: Default::default(),
            last_call: 0,
            ended: VecDeque::new(),
            counted: VecDeque::new(),
            again: VecDeque::new(),
            has_list: false,
            stopping: false,
            listens: true,
            accepts_again: false,
            config,
        };
        Gateway { brain: Brain::new(desk.config.seed, desk.config.settings.clone()), desk }
    }

    // ---- What the driver calls.

    pub fn net(&mut self) -> &mut Net {
        &mut self.desk.net
    }

    /// Begins with the list held from before; discovery and the counter may be down.
    pub fn start(&mut self, now: Nanos) {
        self.desk.net.now = now;
        let known = self.desk.config.known.take().and_then(|known| list::read(&known));
        if let Some(told) = known.filter(|told| !told.entries.is_empty()) {
            self.told(told);
        }
        self.desk.dial_watch();
        self.desk.timers.set(now + SWEEP, What::Sweep);
        info!(self.desk.log, "started"; "listen" => %self.desk.config.listen, "servers" => self.desk.servers.by_number.len(),
            "clients_most" => self.desk.clients_most, "links_most" => self.desk.links_most);
    }

    pub fn next(&self) -> Option<Nanos> {
        self.desk.timers.next()
    }

    /// SIGTERM: connections are taken for a while yet, every answer closes its connection, all held is answered.
    pub fn stop(&mut self) {
        if !std::mem::replace(&mut self.desk.stopping, true) {
            info!(self.desk.log, "stopping"; "held" => self.desk.open_rpcs, "clients" => self.desk.clients.len());
            self.desk.timers.set(self.desk.net.now + STAY, What::Stay);
        }
    }

    pub fn listens(&self) -> bool {
        self.desk.listens
    }

    pub fn is_over(&self) -> bool {
        !self.desk.listens && self.desk.clients.is_empty()
    }

    pub fn has_room(&self) -> bool {
        self.desk.clients.len() < self.desk.clients_most + REFUSED
    }

    pub fn client_input_most(&self) -> usize {
        MESSAGE_MOST
    }

    pub fn accepted(&mut self, id: usize) {
        let client = Client { since: self.desk.net.now, ..Client::default() };
        self.desk.clients.insert(id, client);
        if self.desk.clients.len() > self.desk.clients_most {
            self.desk.shed_client();
        }
    }

    pub fn accept_later(&mut self) {
        self.desk.timers.set(self.desk.net.now + ACCEPT_AGAIN, What::Accept);
    }

    /// Closes an idle connection to free its descriptor; false if there is none.
    pub fn shed(&mut self) -> bool {
        self.desk.shed_link() || self.desk.shed_client()
    }

    /// A connection that was begun here stands.
    pub fn up(&mut self, id: usize) {
        let Desk { net, links, lines, watch, .. } = &mut self.desk;
        let now = net.now;
        match net.peer(id) {
            Some(Peer::Server) => drop(links.get_mut(&id).map(|link| link.up = true)),
            Some(Peer::List) => drop(net.out(id).map(|out| watch.ask(out, now))),
            Some(Peer::Counter(line)) => drop(net.out(id).map(|out| lines[line].opened(out, now))),
            _ => {}
        }
    }

    /// All or some of what waited for a connection is written.
    pub fn wrote(&mut self, id: usize) {
        let Desk { net, clients, .. } = &mut self.desk;
        let closing = clients.get_mut(&id).filter(|client| client.closing.is_some() && !client.finished);
        if let Some(client) = closing.filter(|_| net.is_sent(id)) {
            (client.finished, client.since) = (true, net.now);
            net.finish(id);
        }
    }

    /// Bytes came in, or the connection ended.
    pub fn came(&mut self, id: usize) {
        match self.desk.net.peer(id) {
            Some(Peer::Client) => self.client_came(id),
            Some(Peer::Server) => self.desk.server_came(id),
            Some(Peer::List) => self.list_came(id),
            Some(Peer::Counter(line)) => self.desk.counter_came(line, id),
            None => {}
        }
    }

    /// Timers that are due; true if connections may be accepted again.
    pub fn due(&mut self) -> bool {
        let now = self.desk.net.now;
        while let Some(what) = self.desk.timers.due(now) {
            match what {
                What::Wake(token) => self.brain.woke(&mut self.desk, now, token),
                What::CallOut(id, rpc, nth) => self.desk.call_out_over(id, rpc, nth),
                What::Dial(id) => self.desk.dial_over(id),
                What::Count(line, serial) => {
                    if let Some((call, how)) = self.desk.lines[line].time_out(serial) {
                        self.desk.counted.push_back((call, how, 0.0));
                    }
                }
                What::Overdue(id) => self.overdue(id),
                What::Sweep => self.desk.sweep(),
                What::Watch => self.desk.dial_watch(),
                What::Accept => self.desk.accepts_again = true,
                What::Stay => {
                    self.desk.listens = false;
                    self.desk.close_clients(false);
                    self.desk.timers.set(now + LINGER, What::Linger);
                }
                What::Linger => self.desk.close_clients(true),
            }
            self.settle();
        }
        std::mem::take(&mut self.desk.accepts_again)
    }

    /// Tells the module of all that has ended, until nothing more comes of it.
    pub fn settle(&mut self) {
        let now = self.desk.net.now;
        loop {
            if let Some(ended) = self.desk.ended.pop_front() {
                self.brain.ended(&mut self.desk, now, &ended);
            } else if let Some((call, how, total)) = self.desk.counted.pop_front() {
                self.brain.counted(&mut self.desk, now, call.name, how, total);
            } else if let Some(id) = self.desk.again.pop_front() {
                self.client_came(id);
            } else {
                return;
            }
        }
    }

    // ---- Clients.

    fn client_came(&mut self, id: usize) {
        let now = self.desk.net.now;
        let Some(client) = self.desk.clients.get_mut(&id) else { return };
        if client.closing.is_some() {
            let length = self.desk.net.input(id).len();
            self.desk.net.used(id, length);
        } else if client.rpc.is_none() && !self.desk.net.input(id).is_empty() {
            match client.look(&self.desk.config, now, self.desk.net.input(id)) {
                Ok(Got::Part) => {}
                Ok(Got::Continue) => {
                    if let Some(out) = self.desk.net.out(id) {
                        out.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                    }
                }
                Ok(Got::Rpc(message)) => self.arrive(id, message),
                Ok(Got::Ready(length)) => {
                    let ready = self.desk.has_list && !self.desk.stopping;
                    self.desk.answer_own(id, if ready { 200 } else { 503 }, length);
                }
                Ok(Got::Healthy(length)) => self.desk.answer_own(id, 200, length),
                Err(Bad(status, why)) => self.desk.refuse(id, status, why),
            }
        }
        if let Some(why) = self.desk.net.ended(id) {
            self.client_left(id, why);
        }
    }

    fn arrive(&mut self, client: usize, message: clients::Rpc) {
        let (now, end) = (self.desk.net.now, message.body.end);
        if self.desk.open_rpcs >= self.desk.rpcs_most || self.desk.clients.len() > self.desk.clients_most {
            // No room for more: what is pushed back here never reached the module.
            self.desk.answer_own(client, 503, end);
            return;
        }
        let id = self.desk.fresh_rpc();
        let Some(at) = self.desk.clients.get_mut(&client) else { return };
        at.rpc = Some((id, end));
        let deadline = (at.since + message.remaining_ms * MS).saturating_sub(MARGIN).max(now);
        let arrival = Arrival {
            id,
            method: message.method,
            plan: message.plan,
            customer: message.customer,
            deadline,
            units: message.units,
            width: message.width,
            first: message.first,
        };
        let rpc = Rpc { stand: Stand::Held, client, message, deadline, call_outs: 0, open: false };
        self.desk.rpcs.insert(id, rpc);
        self.desk.open_rpcs += 1;
        self.desk.timers.set(deadline + OVERDUE, What::Overdue(id));
        self.brain.rpc(&mut self.desk, now, &arrival);
    }

    /// Guards against an RPC that neither the module nor a time-out has ended; nothing else should come here.
    fn overdue(&mut self, id: u32) {
        if self.desk.rpcs.get(&id).is_some_and(|rpc| rpc.stand != Stand::Answered) {
            warn!(self.desk.log, "overdue"; "rpc" => id);
            self.desk.answer(id, 504, 0);
            self.brain.client_left(id);
        }
    }

    fn client_left(&mut self, id: usize, why: &'static str) {
        let rpc = self.desk.clients.get(&id).and_then(|client| client.rpc).map(|rpc| rpc.0);
        self.desk.end_client(id, if rpc.is_some() { "left-before-answer" } else { why });
        if let Some(rpc) = rpc {
            self.desk.shift(rpc, Stand::Answered);
            self.brain.client_left(rpc);
        }
    }

    // ---- The list.

    fn list_came(&mut self, id: usize) {
        let mut told = Vec::new();
        let Desk { net, watch, .. } = &mut self.desk;
        let fed = watch.feed(net.now, net.input(id), &mut told);
        net.used(id, fed.unwrap_or(0));
        if !told.is_empty() {
            watch.fails = 0;
        }
        told.into_iter().for_each(|told| self.told(told));
        if let Some(why) = fed.err().or(self.desk.net.ended(id)) {
            self.desk.watch_broke(id, why);
        }
    }

    fn told(&mut self, told: Told) {
        let desk = &mut self.desk;
        desk.watch.index = told.index;
        let place = |names: &[String], name: &str| names.iter().position(|known| known == name);
        if told.whole {
            desk.servers.by_number.values_mut().for_each(|server| server.listed = false);
        }
        let mut list = Vec::new();
        for entry in &told.entries {
            let came_up = entry.since_ms * MS;
            let number = if entry.gone {
                let Some(number) = desk.servers.known(&entry.name) else { continue };
                desk.servers.by_number.entry(number).and_modify(|server| server.listed = false);
                number
            } else {
                let (number, stale) = desk.servers.list(&entry.name, entry.address, came_up);
                stale.into_iter().for_each(|id| desk.end_link(id, "server-moved"));
                number
            };
            list.push(Listed {
                server: number,
                zone: place(&desk.zones, &entry.zone).map_or(u16::MAX, |at| at as u16),
                kind: place(&desk.kinds, &entry.kind).map_or(u8::MAX, |at| at as u8),
                cell: entry.cell,
                ready: entry.ready,
                weight: entry.weight,
                came_up,
            });
        }
        self.brain.listed(desk.net.now, told.whole, &list);
        desk.has_list = true;
        let gone = desk.servers.by_number.values_mut().filter(|server| !server.listed);
        let idle: Vec<usize> =
            gone.flat_map(|server| std::mem::take(&mut server.idle)).map(|idle| idle.0).collect();
        idle.into_iter().for_each(|id| desk.end_link(id, "server-gone"));
        desk.servers.forget();
    }
}

fn shown(address: Option<SocketAddr>) -> String {
    address.map_or_else(String::new, |address| address.to_string())
}

impl Host for Desk {
    fn call_out(&mut self, id: u32, server: u32, limit: Nanos) {
        let now = self.net.now;
        let Some(rpc) = self.rpcs.get_mut(&id) else { return };
        let call = CallOut { rpc: id, nth: rpc.call_outs, sent: now };
        rpc.call_outs += 1;
        let until = if limit == 0 { rpc.deadline } else { (now + limit).min(rpc.deadline) };
        let (client, answered) = (rpc.client, rpc.stand == Stand::Answered);
        if answered || until <= now {
            return self.end_call_out(server, call, End::NotSent, 0.0, Vec::new());
        }
        let Some(to) = self.link_to(server) else {
            return self.end_call_out(server, call, End::NoConnection, 0.0, Vec::new());
        };
        self.shift(id, Stand::Out);
        let Desk { net, links, rpcs, .. } = self;
        let (Some(rpc), Some(link)) = (rpcs.get_mut(&id), links.get_mut(&to)) else { return };
        rpc.open = true;
        if let Some((message, out)) = net.input_and_out(client, to) {
            link.call_out(out, call, &rpc.message, message, until - now);
        }
        self.timers.set(until, What::CallOut(to, id, call.nth));
    }

    fn push_back(&mut self, id: u32, come_back: Nanos) {
        self.answer(id, if come_back > 0 { 429 } else { 503 }, come_back);
    }

    fn abort(&mut self, id: u32) {
        let over = self.rpcs.get(&id).is_some_and(|rpc| self.net.now >= rpc.deadline);
        self.answer(id, if over { 504 } else { 502 }, 0);
    }

    fn wake(&mut self, after: Nanos, token: u32) {
        self.timers.set(self.net.now + after, What::Wake(token));
    }

    fn count(&mut self, name: u64, add: f64, forget: Nanos) {
        self.last_call += 1;
        let call = Call { serial: self.last_call, name, add, forget };
        let Some(line) = self.line_for(name) else {
            return self.counted.push_back((call, End::NoConnection, 0.0));
        };
        let Desk { net, lines, lines_on, .. } = self;
        let now = net.now;
        if let Some(out) = lines_on[line].and_then(|id| net.out(id)) {
            lines[line].call(out, now, call);
            self.timers.set(now + self.count_wait, What::Count(line, call.serial));
        }
    }
}

impl Desk {
    fn fresh_rpc(&mut self) -> u32 {
        loop {
            self.last_rpc = self.last_rpc.wrapping_add(1);
            if !self.rpcs.contains_key(&self.last_rpc) {
                return self.last_rpc;
            }
        }
    }

    /// Every change of where an RPC stands goes through here, and so does its end.
    fn shift(&mut self, id: u32, to: Stand) {
        let Some(rpc) = self.rpcs.get_mut(&id) else { return };
        let was = std::mem::replace(&mut rpc.stand, to);
        if to == Stand::Answered {
            self.open_rpcs -= usize::from(was != Stand::Answered);
            if !rpc.open {
                self.rpcs.remove(&id);
            }
        }
    }

    // ---- Answers to clients.

    /// The one final answer of an RPC, when it is the gateway's own.
    fn answer(&mut self, id: u32, status: u16, come_back: Nanos) {
        let Some(rpc) = self.rpcs.get(&id).filter(|rpc| rpc.stand != Stand::Answered) else { return };
        let (client, close) = (rpc.client, rpc.message.close || self.stopping);
        if let Some(out) = self.net.out(client) {
            clients::write_own(out, status, come_back, close);
        }
        self.answered(id, client, close);
    }

    fn answered(&mut self, id: u32, client: usize, close: bool) {
        self.shift(id, Stand::Answered);
        let Some(at) = self.clients.get_mut(&client) else { return };
        let length = at.rpc.take().map_or(0, |rpc| rpc.1);
        at.served += 1;
        at.since = self.net.now;
        self.net.used(client, length);
        if close {
            at.closing = Some(if self.stopping { "stopping" } else { "client-asked" });
        } else if !self.net.input(client).is_empty() {
            self.again.push_back(client);
        }
    }

    /// An answer of the gateway's own to a message that is no RPC of the module's.
    fn answer_own(&mut self, client: usize, status: u16, length: usize) {
        let close = self.stopping || self.clients.len() > self.clients_most;
        if let Some(out) = self.net.out(client) {
            clients::write_own(out, status, 0, close);
        }
        self.net.used(client, length);
        if let Some(at) = self.clients.get_mut(&client) {
            (at.partial, at.since) = (false, self.net.now);
            at.served += 1;
            at.closing = close.then_some(if self.stopping { "stopping" } else { "too-many-clients" });
        }
        if !close && !self.net.input(client).is_empty() {
            self.again.push_back(client);
        }
    }

    /// Answers what can't be taken and closes.
    fn refuse(&mut self, client: usize, status: u16, why: &'static str) {
        if let Some(out) = self.net.out(client) {
            clients::write_own(out, status, 0, true);
        }
        let length = self.net.input(client).len();
        self.net.used(client, length);
        if let Some(at) = self.clients.get_mut(&client) {
            at.closing = Some(why);
        }
    }

    fn end_client(&mut self, id: usize, why: &'static str) {
        let Some(client) = self.clients.remove(&id) else { return };
        let why = client.closing.unwrap_or(why);
        info!(self.log, "client"; "why" => why, "from" => shown(self.net.address(id)), "answers" => client.served,
            "ms" => (self.net.now - self.net.since(id)) / MS);
        self.net.close(id);
    }

    /// Ends this side's sending on idle clients; with `partial` also on those whose message is not whole.
    fn close_clients(&mut self, partial: bool) {
        let now = self.net.now;
        for (id, client) in &mut self.clients {
            if client.rpc.is_none() && client.closing.is_none() && (partial || !client.partial) {
                (client.closing, client.finished, client.since) = (Some("stopping"), true, now);
                self.net.finish(*id);
            }
        }
    }

    /// Closes the client that has been idle for longest.
    fn shed_client(&mut self) -> bool {
        let idle = self.clients.iter().filter(|(_, client)| client.rpc.is_none() && !client.partial);
        let idle = idle.filter(|(_, client)| client.served > 0 && client.closing.is_none());
        let Some((id, _)) = idle.min_by_key(|(_, client)| client.since) else { return false };
        let id = *id;
        self.end_client(id, "made-room");
        true
    }

    // ---- Servers.

    /// An idle connection to a server, the one used last, or a new one.
    fn link_to(&mut self, server: u32) -> Option<usize> {
        let now = self.net.now;
        loop {
            let at = self.servers.by_number.get_mut(&server)?;
            let Some((id, since)) = at.idle.pop() else { break };
            if now < since + self.idle && self.net.ended(id).is_none() {
                return Some(id);
            }
            self.end_link(id, "idle");
        }
        if self.links.len() >= self.links_most && !self.shed_link() {
            return None;
        }
        let address = self.servers.by_number.get(&server)?.address;
        let dial = |net: &mut Net| net.connect(address, Peer::Server, MESSAGE_MOST);
        let id = dial(&mut self.net).or_else(|e| if self.shed_link() { dial(&mut self.net) } else { Err(e) });
        let id = id.map_err(|e| warn!(self.log, "can't connect"; "to" => %address, "error" => %e)).ok()?;
        self.links.insert(id, Link::new(server));
        if let Some(at) = self.servers.by_number.get_mut(&server) {
            at.open += 1;
        }
        self.timers.set(now + self.dial, What::Dial(id));
        Some(id)
    }

    fn server_came(&mut self, id: usize) {
        let Desk { net, links, .. } = self;
        let Some(link) = links.get_mut(&id) else { return };
        let ended = net.ended(id);
        let Stage::Out(call) = link.stage else {
            // Nothing was asked: whatever comes, the connection is of no more use.
            return self.end_link(id, ended.unwrap_or("answer-without-call-out"));
        };
        match link.look(net.input(id), ended.is_some()) {
            Ok(Some(answer)) => {
                let server = link.server;
                let load = answer.load.clone().map_or(&[][..], |load| &net.input(id)[load]);
                let load = if load.is_empty() { Vec::new() } else { servers::load(load, &self.columns) };
                if answer.how == End::Ok {
                    self.pass_on(id, call.rpc, &answer.body, answer.content_type.clone());
                }
                let unasked = self.net.input(id).len() > answer.length;
                self.net.used(id, answer.length);
                self.end_call_out(server, call, answer.how, answer.settled, load);
                if answer.reusable && !unasked && self.net.is_sent(id) {
                    self.rest_link(id);
                } else {
                    self.end_link(id, if unasked { "answer-without-call-out" } else { "server-closes" });
                }
            }
            Ok(None) => drop(ended.map(|why| self.break_off(id, why))),
            Err(why) => self.break_off(id, why),
        }
    }

    /// A server's 200 answer goes to the client, its body unchanged.
    fn pass_on(&mut self, link: usize, id: u32, body: &Body, content_type: Option<std::ops::Range<usize>>) {
        let Some(rpc) = self.rpcs.get(&id).filter(|rpc| rpc.stand != Stand::Answered) else { return };
        let (client, close) = (rpc.client, rpc.message.close || self.stopping);
        if let Some((input, out)) = self.net.input_and_out(link, client) {
            let body = match body {
                Body::Read(range) => &input[range.clone()],
                Body::Joined(bytes) => bytes,
            };
            clients::write_head(out, 200, body.len(), content_type.map(|kind| &input[kind]), 0, close);
            out.extend_from_slice(body);
        }
        self.answered(id, client, close);
    }

    fn rest_link(&mut self, id: usize) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.stage = Stage::Idle;
        match self.servers.by_number.get_mut(&link.server) {
            Some(server) if server.listed && self.net.address(id) == Some(server.address) => {
                server.idle.push((id, self.net.now));
            }
            _ => self.end_link(id, "server-gone"),
        }
    }

    /// The connection can't be used on: its call-out ends by whether the last byte had been written.
    fn break_off(&mut self, id: usize, why: &'static str) {
        let how = if self.net.is_sent(id) { End::Reset } else { End::NoConnection };
        self.give_up(id, how, why);
    }

    fn give_up(&mut self, id: usize, how: End, why: &'static str) {
        let Some(link) = self.links.get(&id) else { return };
        if let Stage::Out(call) = link.stage {
            self.end_call_out(link.server, call, how, 0.0, Vec::new());
        }
        self.end_link(id, why);
    }

    /// The time of a call-out is over.
    fn call_out_over(&mut self, id: usize, rpc: u32, nth: u16) {
        let Some(Link { stage: Stage::Out(call), .. }) = self.links.get(&id) else { return };
        if (call.rpc, call.nth) == (rpc, nth) {
            let how = if self.net.is_sent(id) { End::TimedOut } else { End::NoConnection };
            self.give_up(id, how, "call-out-timed-out");
        }
    }

    fn dial_over(&mut self, id: usize) {
        if self.links.get(&id).is_some_and(|link| !link.up) {
            self.give_up(id, End::NoConnection, "never-came-up");
        }
    }

    fn end_call_out(&mut self, server: u32, call: CallOut, how: End, settled: f64, load: Vec<f64>) {
        let Some(rpc) = self.rpcs.get_mut(&call.rpc) else { return };
        rpc.open = false;
        let closed = rpc.stand == Stand::Answered;
        if closed {
            self.rpcs.remove(&call.rpc);
        } else {
            self.shift(call.rpc, Stand::Held);
        }
        let took = self.net.now - call.sent;
        let (rpc, nth) = (call.rpc, call.nth);
        self.ended.push_back(Ended { rpc, server, nth, how, took, closed, settled, load });
    }

    fn end_link(&mut self, id: usize, why: &'static str) {
        let Some(link) = self.links.remove(&id) else { return };
        if let Some(server) = self.servers.by_number.get_mut(&link.server) {
            server.idle.retain(|idle| idle.0 != id);
            server.open -= 1;
        }
        info!(self.log, "server"; "why" => why, "to" => shown(self.net.address(id)), "call_outs" => link.used,
            "ms" => (self.net.now - self.net.since(id)) / MS);
        self.net.close(id);
    }

    /// Closes the connection to a server that has been idle for longest.
    fn shed_link(&mut self) -> bool {
        let oldest = self.servers.by_number.values().filter_map(|server| server.idle.first());
        let Some(id) = oldest.min_by_key(|idle| idle.1).map(|idle| idle.0) else { return false };
        self.end_link(id, "made-room");
        true
    }

    // ---- Discovery and the counter.

    fn dial_watch(&mut self) {
        if self.watch_on.is_some() {
            return;
        }
        self.watch.heard = self.net.now;
        match self.net.connect(self.config.discovery, Peer::List, OTHER_INPUT) {
            Ok(id) => self.watch_on = Some(id),
            Err(e) => {
                warn!(self.log, "can't connect"; "to" => %self.config.discovery, "error" => %e);
                let again = self.net.now + self.watch.again();
                self.timers.set(again, What::Watch);
            }
        }
    }

    /// The list held stays; the watch is asked for again after a while.
    fn watch_broke(&mut self, id: usize, why: &'static str) {
        info!(self.log, "list"; "why" => why, "index" => self.watch.index,
            "ms" => (self.net.now - self.net.since(id)) / MS);
        self.net.close(id);
        self.watch_on = None;
        let again = self.net.now + self.watch.again();
        self.timers.set(again, What::Watch);
    }

    fn counter_came(&mut self, line: usize, id: usize) {
        let mut ended = Vec::new();
        let fed = self.lines[line].feed(self.net.now, self.net.input(id), &mut ended);
        self.net.used(id, fed.unwrap_or(0));
        self.counted.extend(ended);
        if let Some(why) = fed.err().or(self.net.ended(id)) {
            self.line_broke(line, why);
        }
    }

    /// The connection for a call: where its name is out, else the one with the least out.
    fn line_for(&mut self, name: u64) -> Option<usize> {
        let carries = self.lines.iter().position(|line| line.carries(name));
        let now = self.net.now;
        let usable = |line: &usize| self.lines_on[*line].is_some() || now >= self.lines_again[*line];
        let least = |line: &usize| self.lines[*line].written.len() + self.lines[*line].waiting.len();
        let line = carries.or_else(|| (0..counter::LINES).filter(usable).min_by_key(least))?;
        if self.lines_on[line].is_none() {
            let address = self.config.counter?;
            self.lines[line].heard = now;
            match self.net.connect(address, Peer::Counter(line), OTHER_INPUT) {
                Ok(id) => self.lines_on[line] = Some(id),
                Err(e) => {
                    warn!(self.log, "can't connect"; "to" => %address, "error" => %e);
                    self.lines_again[line] = now + counter::AGAIN;
                    return None;
                }
            }
        }
        Some(line)
    }

    fn line_broke(&mut self, line: usize, why: &'static str) {
        let Some(id) = self.lines_on[line].take() else { return };
        info!(self.log, "counter"; "why" => why, "line" => line, "ms" => (self.net.now - self.net.since(id)) / MS);
        self.lines_again[line] = self.net.now + counter::AGAIN;
        let ended = self.lines[line].broke();
        self.counted.extend(ended.into_iter().map(|(call, how)| (call, how, 0.0)));
        self.net.close(id);
    }

    /// Looks for what is idle, silent or slow.
    fn sweep(&mut self) {
        let now = self.net.now;
        self.timers.set(now + SWEEP, What::Sweep);
        let mut over = Vec::new();
        for (id, client) in &self.clients {
            let age = now.saturating_sub(client.since);
            match () {
                _ if client.finished && age > LINGER => over.push((*id, "lingered")),
                _ if client.closing.is_some() && age > clients::SLOW_MESSAGE => {
                    over.push((*id, "reads-nothing"))
                }
                _ if client.closing.is_some() || client.rpc.is_some() => {}
                _ if client.partial && age > clients::SLOW_MESSAGE => over.push((*id, "slow-message")),
                _ if !client.partial && age > clients::IDLE => over.push((*id, "idle")),
                _ => {}
            }
        }
        for (id, why) in over {
            if why == "slow-message" { self.refuse(id, 408, why) } else { self.end_client(id, why) }
        }
        let idle = self.servers.by_number.values().flat_map(|server| &server.idle);
        let idle: Vec<usize> = idle.filter(|idle| now >= idle.1 + self.idle).map(|idle| idle.0).collect();
        idle.into_iter().for_each(|id| self.end_link(id, "idle"));
        if let Some(id) = self.watch_on.filter(|_| now > self.watch.heard + list::SILENCE) {
            self.watch_broke(id, "silent");
        }
        for at in 0..counter::LINES {
            let Some(id) = self.lines_on[at] else { continue };
            let line = &mut self.lines[at];
            if line.is_dead(now) || !line.up && now > line.heard + counter::DEAD_AFTER {
                self.line_broke(at, "silent");
            } else if line.up
                && now > line.wrote + counter::PING_EVERY
                && let Some(out) = self.net.out(id)
            {
                line.ping(out, now);
            }
        }
    }
}
