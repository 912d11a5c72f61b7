//! The emulation: clients, gateways, servers, discovery, the counter and the network on one clock. Each RPC is a
//! state machine (`Stand`) changed by `shift` alone; each event is handled by one function.

use crate::chance::{self, Stream};
use crate::clients::Clients;
use crate::counter::Counter;
use crate::gates::{self, Gate, Kind, Ledger, Wish, Wishes};
use crate::lifecycle::{self, Life, Phase};
use crate::network::Network;
use crate::queue::Queue;
use crate::record::Record;
use crate::scenario::{Method, Plan, Scenario, Trouble};
use crate::servers::{CallRef, Servers, Take};
use crate::{MS, Nanos, SEC, nanos};
use martenramp::host::{Arrival, End, Ended, Listed, Settings};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Past its deadline an RPC's client waits so long for an answer before the RPC counts as lost.
pub const GRACE: Nanos = 500 * MS;
/// What the gateway takes off a client's deadline before telling the module, as `martenramp serve` does.
const MARGIN: Nanos = MS;

/// Where an RPC stands, as the client and the gateway see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stand {
    /// At its gateway, with no call-out open.
    Held,
    /// A call-out is open.
    Out,
    /// It has its final answer; kept until its deadline so that a second one is seen.
    Answered,
    /// Its client left, or its gateway was killed.
    Gone,
}

struct Live {
    gateway: u32,
    life: u32,
    stream: u32,
    arrived: Nanos,
    deadline: Nanos,
    tries: u32,
    nth: u16,
    stand: Stand,
}

struct CallOut {
    server: u32,
    server_life: u32,
    sent: Nanos,
}

struct Gateway {
    life: Life,
    gate: Option<Box<dyn Gate>>,
    calls: BTreeMap<(u32, u16), CallOut>,
    /// Count calls out, by serial: the name each was for.
    counts: BTreeMap<u64, u64>,
}

#[derive(Debug)]
enum Event {
    Arrive { stream: u32 },
    Again { stream: u32, tries: u32 },
    Leave { rpc: u32 },
    Overdue { rpc: u32 },
    Wake { gateway: u32, life: u32, token: u32 },
    AtServer { call: CallRef, server: u32, server_life: u32 },
    Back { call: CallRef, how: End },
    Limit { call: CallRef },
    Freed { server: u32, server_life: u32 },
    CountAt { gateway: u32, serial: u64, life: u32, name: u64, add: f64, forget: Nanos },
    CountBack { gateway: u32, life: u32, serial: u64, total: f64 },
    CountLimit { gateway: u32, life: u32, serial: u64 },
    List,
    Trouble { index: usize, starts: bool },
    Replace { server: u32 },
    Stop { gateway: u32, life: u32 },
    Start { gateway: u32 },
    Tick,
}

pub struct World {
    scenario: Scenario,
    kind: Kind,
    queue: Queue<Event>,
    settings: Settings,
    methods: Vec<Method>,
    plans: Vec<Plan>,
    clients: Clients,
    servers: Servers,
    counter: Counter,
    network: Network,
    gateways: Vec<Gateway>,
    rpcs: BTreeMap<u32, Live>,
    next_rpc: u32,
    pub record: Record,
    ledger: Rc<RefCell<Ledger>>,
    troubles: ChaCha8Rng,
    picked: BTreeMap<usize, Vec<u32>>,
    list_due: bool,
    list_late: Nanos,
    end: Nanos,
    horizon: Nanos,
    count_wait: Nanos,
    dial: Nanos,
    serial: u64,
    wishes: Wishes,
}

/// Plays a scenario with one policy to its end and gives what was measured.
pub fn play(scenario: &Scenario, kind: Kind, progress: Option<&indicatif::ProgressBar>) -> Record {
    let mut world = World::new(scenario, kind);
    world.run(progress);
    world.record
}

impl World {
    pub fn new(scenario: &Scenario, kind: Kind) -> World {
        let seed = scenario.seed;
        let methods = scenario.methods().unwrap_or_default();
        let plans = scenario.plans().unwrap_or_default();
        let settings = scenario.flat_settings();
        let number = |name: &str, default: f64| {
            settings.get(name).and_then(|text| text.parse().ok()).unwrap_or(default)
        };
        let (count_wait, dial) =
            (nanos(number("extra.countWait", 0.05)), nanos(number("ceilings.dialTimeout", 0.25)));
        let zones = scenario.servers.zones;
        let gateways = (0..scenario.gateways)
            .map(|at| Gateway {
                life: Life::new(at % zones),
                gate: None,
                calls: BTreeMap::new(),
                counts: BTreeMap::new(),
            })
            .collect();
        let end = nanos(scenario.seconds);
        let longest = methods.iter().map(|method| method.deadline).max().unwrap_or(SEC);
        let window = nanos(60.0).min(end.max(1));
        let mut world = World {
            kind,
            queue: Queue::default(),
            clients: Clients::new(scenario, &methods, &plans, chance::stream(seed, Stream::Arrivals)),
            servers: Servers::new(&scenario.servers, chance::stream(seed, Stream::Servers)),
            counter: Counter::new(scenario.counter.enabled),
            network: Network::new(&scenario.network, zones, chance::stream(seed, Stream::Network)),
            gateways,
            rpcs: BTreeMap::new(),
            next_rpc: 1,
            record: Record::new(nanos(scenario.bucket_seconds), window),
            ledger: Ledger::shared(nanos(scenario.baselines.late_ms / 1e3)),
            troubles: chance::stream(seed, Stream::Troubles),
            picked: BTreeMap::new(),
            list_due: false,
            list_late: 0,
            end,
            horizon: end + longest + GRACE + SEC,
            count_wait,
            dial,
            serial: 0,
            wishes: Wishes::default(),
            settings,
            methods,
            plans,
            scenario: scenario.clone(),
        };
        for gateway in 0..scenario.gateways {
            world.start_gate(gateway);
        }
        world.queue.at(0, Event::List);
        world.queue.at(0, Event::Tick);
        for stream in 0..world.clients.streams.len() {
            if let Some(gap) = world.clients.gap(stream) {
                world.queue.at(gap, Event::Arrive { stream: stream as u32 });
            }
        }
        for (index, trouble) in scenario.troubles.iter().enumerate() {
            let (starts, ends) = trouble.span();
            world.queue.at(starts, Event::Trouble { index, starts: true });
            if let Some(ends) = ends {
                world.queue.at(ends, Event::Trouble { index, starts: false });
            }
        }
        world
    }

    /// Handles events until the horizon: arrivals stop at the scenario's end, and every RPC then has until its
    /// deadline and the grace to end.
    pub fn run(&mut self, progress: Option<&indicatif::ProgressBar>) {
        while let Some((now, event)) = self.queue.next(self.horizon) {
            if let (Event::Tick, Some(bar)) = (&event, progress) {
                bar.set_position(now / SEC);
            }
            self.handle(now, event);
            if self.queue.now() > self.end && self.rpcs.is_empty() {
                break;
            }
        }
        self.record.events = self.queue.taken;
        let streams = &self.clients.streams;
        let plans = &self.plans;
        let mut by_customer = BTreeMap::new();
        for stream in streams {
            let plan = &plans[stream.plan as usize];
            by_customer.insert(stream.customer, (plan.rate, plan.burst));
        }
        self.record.finish(|customer| by_customer.get(&customer).copied().unwrap_or((0.0, 0.0)));
    }

    fn handle(&mut self, now: Nanos, event: Event) {
        match event {
            Event::Arrive { stream } => self.arrive(now, stream, 0, true),
            Event::Again { stream, tries } => self.arrive(now, stream, tries, false),
            Event::Leave { rpc } => self.leave(rpc),
            Event::Overdue { rpc } => self.overdue(rpc),
            Event::Wake { gateway, life, token } => self.wake(now, gateway, life, token),
            Event::AtServer { call, server, server_life } => self.at_server(now, call, server, server_life),
            Event::Back { call, how } => self.call_ended(now, call, how),
            Event::Limit { call } => self.call_ended(now, call, End::TimedOut),
            Event::Freed { server, server_life } => self.servers.free(server, server_life),
            Event::CountAt { gateway, life, serial, name, add, forget } => {
                self.count_at(now, gateway, life, serial, name, add, forget)
            }
            Event::CountBack { gateway, life, serial, total } => {
                self.counted(now, gateway, life, serial, End::Ok, total)
            }
            Event::CountLimit { gateway, life, serial } => {
                self.counted(now, gateway, life, serial, End::TimedOut, 0.0)
            }
            Event::List => self.list(now),
            Event::Trouble { index, starts } => self.trouble(now, index, starts),
            Event::Replace { server } => self.replace(now, server),
            Event::Stop { gateway, life } => self.stop(now, gateway, life),
            Event::Start { gateway } => self.start(now, gateway),
            Event::Tick => self.tick(now),
        }
    }

    // ---- RPCs

    fn shift(&mut self, rpc: u32, to: Stand) {
        if let Some(live) = self.rpcs.get_mut(&rpc) {
            live.stand = to;
        }
    }

    fn arrive(&mut self, now: Nanos, stream: u32, tries: u32, fresh: bool) {
        if let Some(gap) = (fresh && now < self.end).then(|| self.clients.gap(stream as usize)).flatten() {
            self.queue.after(gap, Event::Arrive { stream });
        }
        if now >= self.end {
            return;
        }
        let at = &self.clients.streams[stream as usize];
        let method = &self.methods[at.method as usize];
        let (credit, deadline) = (method.credit, now + method.deadline);
        let (customer, method_number, plan, units, width, first) =
            (at.customer, at.method, at.plan, at.units, at.width, at.first);
        self.record.add(now, |counts| {
            counts.arrived += 1;
            counts.asked += credit;
        });
        let (gateways, lives) = (self.scenario.gateways, &self.gateways);
        let Some(gateway) =
            self.clients.gateway(stream as usize, |at| lives[at as usize].life.takes_clients(), gateways)
        else {
            self.record.add(now, |counts| counts.cut += 1);
            return self.come_again(stream, tries, 0);
        };
        let rpc = self.next_rpc;
        self.next_rpc = self.next_rpc.wrapping_add(1).max(1);
        let life = self.gateways[gateway as usize].life.life;
        let live = Live { gateway, life, stream, arrived: now, deadline, tries, nth: 0, stand: Stand::Held };
        self.rpcs.insert(rpc, live);
        self.queue.at(deadline + GRACE, Event::Overdue { rpc });
        if let Some(after) = self.clients.leaves_after(deadline - now) {
            self.queue.after(after, Event::Leave { rpc });
        }
        let arrival = Arrival {
            id: rpc,
            method: method_number,
            plan,
            customer,
            service: 0,
            deadline: deadline.saturating_sub(MARGIN),
            units,
            width,
            first,
        };
        self.with_gate(gateway, |gate, wishes| gate.rpc(wishes, now, &arrival));
        self.carry(now, gateway);
    }

    /// The client leaves early: the gateway is told, and the RPC counts as left if it had no answer.
    fn leave(&mut self, rpc: u32) {
        let Some(live) = self.rpcs.get(&rpc) else { return };
        if matches!(live.stand, Stand::Held | Stand::Out) {
            let (gateway, life, now) = (live.gateway, live.life, self.queue.now());
            self.record.add(now, |counts| counts.left += 1);
            self.shift(rpc, Stand::Gone);
            if self.gateways[gateway as usize].life.life == life {
                self.with_gate(gateway, |gate, _| gate.client_left(rpc));
            }
        }
    }

    /// The deadline and the grace are over: an RPC still without an answer is lost; all are forgotten.
    fn overdue(&mut self, rpc: u32) {
        let Some(live) = self.rpcs.remove(&rpc) else { return };
        if matches!(live.stand, Stand::Held | Stand::Out) {
            let now = self.queue.now();
            self.record.add(now, |counts| counts.lost += 1);
            if self.gateways[live.gateway as usize].life.life == live.life {
                self.with_gate(live.gateway, |gate, _| gate.client_left(rpc));
            }
        }
    }

    /// A final answer other than ok, from the gateway.
    fn final_answer(&mut self, now: Nanos, rpc: u32, pushed_back: bool, come_back: Nanos) {
        let Some(live) = self.rpcs.get(&rpc) else { return };
        match live.stand {
            Stand::Held | Stand::Out => {}
            Stand::Answered => return self.record.add(now, |counts| counts.twice += 1),
            Stand::Gone => return,
        }
        let (stream, tries) = (live.stream, live.tries);
        self.shift(rpc, Stand::Answered);
        match pushed_back {
            true => self.record.add(now, |counts| counts.pushed_back += 1),
            false => self.record.add(now, |counts| counts.aborted += 1),
        }
        if pushed_back {
            self.come_again(stream, tries, come_back);
        }
    }

    fn come_again(&mut self, stream: u32, tries: u32, come_back: Nanos) {
        if let Some(after) = self.clients.again_after(tries, come_back) {
            self.queue.after(after, Event::Again { stream, tries: tries + 1 });
        }
    }

    // ---- Gateways and what their gates wish

    fn with_gate<T>(
        &mut self,
        gateway: u32,
        call: impl FnOnce(&mut dyn Gate, &mut Wishes) -> T,
    ) -> Option<T> {
        let gate = self.gateways[gateway as usize].gate.as_deref_mut()?;
        Some(call(gate, &mut self.wishes))
    }

    /// Carries out what a gate wished during its last call, in order.
    fn carry(&mut self, now: Nanos, gateway: u32) {
        // Nothing carried out here calls a gate, so the buffer can be taken and given back with its room.
        let mut wishes = std::mem::take(&mut self.wishes.0);
        for wish in wishes.drain(..) {
            match wish {
                Wish::CallOut { rpc, server, limit } => self.call_out(now, gateway, rpc, server, limit),
                Wish::PushBack { rpc, come_back } => self.final_answer(now, rpc, true, come_back),
                Wish::Abort { rpc } => self.final_answer(now, rpc, false, 0),
                Wish::Wake { after, token } => {
                    let life = self.gateways[gateway as usize].life.life;
                    self.queue.after(after.max(1), Event::Wake { gateway, life, token });
                }
                Wish::Count { name, add, forget } => self.count(now, gateway, name, add, forget),
            }
        }
        self.wishes.0 = wishes;
    }

    fn call_out(&mut self, now: Nanos, gateway: u32, rpc: u32, server: u32, limit: Nanos) {
        let Some(live) = self.rpcs.get_mut(&rpc).filter(|live| live.gateway == gateway) else { return };
        let (nth, deadline, stream, first) = (live.nth, live.deadline, live.stream, live.nth == 0);
        live.nth += 1;
        if live.stand == Stand::Held {
            live.stand = Stand::Out;
        }
        let life = self.gateways[gateway as usize].life.life;
        let call = CallRef { gateway, life, rpc, nth };
        self.record.add(now, |counts| counts.call_outs += 1);
        if first {
            let at = &self.clients.streams[stream as usize];
            let plan = &self.plans[at.plan as usize];
            self.record.sent(now, at.customer, at.units, plan.rate, plan.burst);
        }
        let ends = if limit > 0 { (now + limit).min(deadline) } else { deadline };
        self.queue.at(ends.max(now + 1), Event::Limit { call });
        let Some(at) = self.servers.all.get(server as usize) else {
            return self.queue.after(self.network.refuse, Event::Back { call, how: End::NoConnection });
        };
        let (zone, server_life) = (self.gateways[gateway as usize].life.zone, at.life);
        self.gateways[gateway as usize].calls.insert((rpc, nth), CallOut { server, server_life, sent: now });
        if !self.network.reaches(zone, at.zone) {
            return self.queue.after(self.dial, Event::Back { call, how: End::NoConnection });
        }
        if let Some(hop) = self.network.hop() {
            self.queue.after(hop, Event::AtServer { call, server, server_life });
        }
    }

    fn at_server(&mut self, now: Nanos, call: CallRef, server: u32, server_life: u32) {
        match self.servers.take(now, server, server_life, call) {
            Take::Refused => {
                self.queue.after(self.network.refuse, Event::Back { call, how: End::NoConnection })
            }
            Take::Full => self.answer(call, 0, End::Full),
            Take::Serving { after, ok } => {
                self.queue.after(after, Event::Freed { server, server_life });
                self.answer(call, after, if ok { End::Ok } else { End::Error });
            }
            Take::Held => {}
        }
    }

    fn answer(&mut self, call: CallRef, after: Nanos, how: End) {
        if let Some(hop) = self.network.hop() {
            self.queue.after(after + hop, Event::Back { call, how });
        }
    }

    /// A call-out ended at its gateway: answered, failed, or its time over. One that ended before is passed over.
    fn call_ended(&mut self, now: Nanos, call: CallRef, how: End) {
        let gateway = &mut self.gateways[call.gateway as usize];
        if gateway.life.life != call.life || !gateway.life.runs() {
            return;
        }
        let Some(out) = gateway.calls.remove(&(call.rpc, call.nth)) else { return };
        let took = now - out.sent;
        let live =
            self.rpcs.get(&call.rpc).filter(|live| live.gateway == call.gateway && live.life == call.life);
        let open = live.is_some_and(|live| matches!(live.stand, Stand::Held | Stand::Out));
        if let Some(live) = live.filter(|_| open) {
            let (arrived, deadline, stream) = (live.arrived, live.deadline, live.stream);
            if how == End::Ok {
                let method = &self.methods[self.clients.streams[stream as usize].method as usize];
                let earned = utility(method, arrived, deadline, now);
                self.record.add(now, |counts| {
                    counts.ok += 1;
                    counts.served += earned;
                });
                self.record.ok_took(now, now - arrived);
                self.shift(call.rpc, Stand::Answered);
            } else {
                self.shift(call.rpc, Stand::Held);
            }
        }
        let closed = !open || how == End::Ok;
        let ended = Ended {
            rpc: call.rpc,
            server: out.server,
            nth: call.nth,
            how,
            took,
            closed,
            settled: 0.0,
            load: Vec::new(),
        };
        self.with_gate(call.gateway, |gate, wishes| gate.ended(wishes, now, &ended));
        self.carry(now, call.gateway);
    }

    fn wake(&mut self, now: Nanos, gateway: u32, life: u32, token: u32) {
        if self.gateways[gateway as usize].life.life == life {
            self.with_gate(gateway, |gate, wishes| gate.woke(wishes, now, token));
            self.carry(now, gateway);
        }
    }

    // ---- The counter

    fn count(&mut self, now: Nanos, gateway: u32, name: u64, add: f64, forget: Nanos) {
        self.serial += 1;
        let serial = self.serial;
        let at = &mut self.gateways[gateway as usize];
        let (life, zone) = (at.life.life, at.life.zone);
        at.counts.insert(serial, name);
        self.queue.at(now + self.count_wait.max(1), Event::CountLimit { gateway, life, serial });
        if !(self.counter.enabled && self.network.reaches_counter(zone)) {
            return;
        }
        if let Some(hop) = self.network.hop() {
            self.queue.after(hop, Event::CountAt { gateway, life, serial, name, add, forget });
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn count_at(
        &mut self,
        now: Nanos,
        gateway: u32,
        life: u32,
        serial: u64,
        name: u64,
        add: f64,
        forget: Nanos,
    ) {
        let Some(total) = self.counter.add(now, gateway, name, add, forget) else { return };
        let latency = nanos(self.scenario.counter.latency_ms / 1e3);
        if let Some(hop) = self.network.hop() {
            self.queue.after(latency + hop, Event::CountBack { gateway, life, serial, total });
        }
    }

    fn counted(&mut self, now: Nanos, gateway: u32, life: u32, serial: u64, how: End, total: f64) {
        let at = &mut self.gateways[gateway as usize];
        if at.life.life != life {
            return;
        }
        let Some(name) = at.counts.remove(&serial) else { return };
        let missed = u64::from(how != End::Ok);
        self.record.add(now, |counts| {
            counts.count_calls += 1;
            counts.count_missed += missed;
        });
        self.with_gate(gateway, |gate, wishes| gate.counted(wishes, now, name, how, total));
        self.carry(now, gateway);
    }

    // ---- Discovery and the fleet

    fn list_changed(&mut self) {
        if !self.list_due {
            self.list_due = true;
            let delay = nanos(self.scenario.discovery.delay_ms / 1e3) + self.list_late;
            self.queue.after(delay, Event::List);
        }
    }

    fn list(&mut self, now: Nanos) {
        self.list_due = false;
        let list: Vec<Listed> = self.servers.listed();
        for gateway in &mut self.gateways {
            if let Some(gate) = gateway.gate.as_deref_mut() {
                gate.listed(now, true, &list);
            }
        }
    }

    /// Call-outs open on servers that are gone end as reset, a moment later. `servers` is in order.
    fn reset_calls_to(&mut self, servers: &[u32]) {
        let mut reset = Vec::new();
        for (number, gateway) in self.gateways.iter().enumerate() {
            for (&(rpc, nth), out) in &gateway.calls {
                let on = self.servers.all[out.server as usize].life == out.server_life;
                if on && servers.binary_search(&out.server).is_ok() {
                    reset.push(CallRef { gateway: number as u32, life: gateway.life.life, rpc, nth });
                }
            }
        }
        for call in reset {
            self.queue.after(self.network.refuse, Event::Back { call, how: End::Reset });
        }
    }

    fn replace(&mut self, now: Nanos, server: u32) {
        self.reset_calls_to(&[server]);
        self.servers.replace(server, now);
        self.list_changed();
    }

    fn start_gate(&mut self, gateway: u32) {
        let life = self.gateways[gateway as usize].life.life;
        let seed = chance::gateway_seed(self.scenario.seed, gateway, life);
        let gate = gates::make(self.kind, gateway, seed, &self.settings, &self.ledger);
        self.gateways[gateway as usize].gate = Some(gate);
    }

    /// Gateways gone at once: what they held is cut, and the clients may come again elsewhere.
    fn cut(&mut self, now: Nanos, gone: &[u32]) {
        let mut down = vec![false; self.gateways.len()];
        for &gateway in gone {
            down[gateway as usize] = true;
            let at = &mut self.gateways[gateway as usize];
            at.life.kill();
            (at.gate, at.calls, at.counts) = (None, BTreeMap::new(), BTreeMap::new());
        }
        let held: Vec<(u32, u32, u32)> = (self.rpcs.iter())
            .filter(|(_, live)| down[live.gateway as usize] && matches!(live.stand, Stand::Held | Stand::Out))
            .map(|(rpc, live)| (*rpc, live.stream, live.tries))
            .collect();
        for (rpc, stream, tries) in held {
            self.shift(rpc, Stand::Gone);
            self.record.add(now, |counts| counts.cut += 1);
            self.come_again(stream, tries, 0);
        }
    }

    fn stop(&mut self, now: Nanos, gateway: u32, life: u32) {
        let at = &self.gateways[gateway as usize];
        if at.life.life != life || !matches!(at.life.phase, Phase::Draining { .. }) {
            return;
        }
        let held: Vec<u32> = (self.rpcs.iter())
            .filter(|(_, live)| live.gateway == gateway && matches!(live.stand, Stand::Held | Stand::Out))
            .map(|(rpc, _)| *rpc)
            .collect();
        for rpc in held {
            self.final_answer(now, rpc, true, 0);
        }
        self.gateways[gateway as usize].life.stop();
        self.cut(now, &[gateway]);
    }

    fn start(&mut self, now: Nanos, gateway: u32) {
        if self.gateways[gateway as usize].life.phase != Phase::Down {
            return;
        }
        self.gateways[gateway as usize].life.start();
        self.start_gate(gateway);
        let list = self.servers.listed();
        self.with_gate(gateway, |gate, _| gate.listed(now, true, &list));
    }

    fn tick(&mut self, now: Nanos) {
        let up = self.gateways.iter().filter(|gateway| gateway.life.takes_clients()).count() as u32;
        self.record.gauge(now, up, self.rpcs.len() as u64);
        if now < self.end {
            self.queue.after(nanos(self.scenario.bucket_seconds), Event::Tick);
        }
    }

    // ---- Troubles

    fn pick(&mut self, index: usize, count: u32, share: f64) -> Vec<u32> {
        let picked = lifecycle::pick(count, share, &mut self.troubles);
        self.picked.insert(index, picked.clone());
        picked
    }

    fn trouble(&mut self, now: Nanos, index: usize, starts: bool) {
        let trouble = self.scenario.troubles[index].clone();
        let servers = self.scenario.servers.count;
        let earlier = self.picked.get(&index).cloned().unwrap_or_default();
        match trouble {
            Trouble::CounterStall { .. } => self.counter.stalled = starts,
            Trouble::CounterSplit { .. } if starts => self.counter.split_now(),
            Trouble::CounterSplit { .. } => self.counter.heal(),
            Trouble::CounterReplace { .. } => self.counter.replace(),
            Trouble::Kill { share, back_after, .. } => {
                let gone = self.pick_running(index, share);
                self.cut(now, &gone);
                for gateway in gone.iter().copied().filter(|_| back_after.is_some()) {
                    self.queue.after(nanos(back_after.unwrap_or(0.0)), Event::Start { gateway });
                }
            }
            Trouble::Drain { share, back_after, .. } => {
                for gateway in self.pick_running(index, share) {
                    let at = &mut self.gateways[gateway as usize].life;
                    at.drain(now);
                    let life = at.life;
                    self.queue.after(lifecycle::DRAIN, Event::Stop { gateway, life });
                    if let Some(back) = back_after {
                        self.queue.after(lifecycle::DRAIN + nanos(back), Event::Start { gateway });
                    }
                }
            }
            Trouble::ZoneDown { zone, .. } => {
                let in_zone: Vec<u32> =
                    (0..servers).filter(|server| server % self.scenario.servers.zones == zone).collect();
                if starts {
                    self.reset_calls_to(&in_zone);
                    in_zone.iter().for_each(|&server| self.servers.down(server));
                } else {
                    in_zone.iter().for_each(|&server| self.servers.replace(server, now));
                }
                self.list_changed();
            }
            Trouble::Partition { zone, .. } => self.network.cut_off(zone, starts),
            Trouble::Slow { share, factor, .. } => {
                let hit = if starts { self.pick(index, servers, share) } else { earlier };
                hit.into_iter()
                    .for_each(|server| self.servers.set_slow(server, if starts { factor } else { 1.0 }));
            }
            Trouble::Fail { share, error_share, .. } => {
                let usual = self.servers.usual_errors();
                let hit = if starts { self.pick(index, servers, share) } else { earlier };
                hit.into_iter().for_each(|server| {
                    self.servers.set_errors(server, if starts { error_share } else { usual })
                });
            }
            Trouble::Pause { share, .. } if starts => {
                self.pick(index, servers, share).into_iter().for_each(|server| self.servers.pause(server));
            }
            Trouble::Pause { .. } => {
                for server in earlier {
                    let server_life = self.servers.all[server as usize].life;
                    for (call, take) in self.servers.resume(server) {
                        if let Take::Serving { after, ok } = take {
                            self.queue.after(after, Event::Freed { server, server_life });
                            self.answer(call, after, if ok { End::Ok } else { End::Error });
                        }
                    }
                }
            }
            Trouble::Replace { share, seconds, .. } if starts => {
                let hit = self.pick(index, servers, share);
                let step = nanos(seconds) / (hit.len() as Nanos).max(1);
                for (at, server) in hit.into_iter().enumerate() {
                    self.queue.after(step * at as Nanos, Event::Replace { server });
                }
            }
            Trouble::Replace { .. } => {}
            Trouble::Burst { factor, .. } => self.clients.burst = if starts { factor.max(0.0) } else { 1.0 },
            Trouble::ListLate { delay_ms, .. } => {
                self.list_late = if starts { nanos(delay_ms / 1e3) } else { 0 }
            }
        }
    }

    fn pick_running(&mut self, index: usize, share: f64) -> Vec<u32> {
        let running: Vec<u32> =
            (0..self.scenario.gateways).filter(|at| self.gateways[*at as usize].life.runs()).collect();
        let picked = self.pick(index, running.len() as u32, share);
        picked.into_iter().map(|at| running[at as usize]).collect()
    }
}

/// What an ok answer earns: the method's credit by its soft deadline, falling evenly to nought at the deadline.
pub fn utility(method: &Method, arrived: Nanos, deadline: Nanos, now: Nanos) -> f64 {
    let soft = arrived + method.soft;
    if now <= soft {
        method.credit
    } else if now >= deadline || deadline <= soft {
        0.0
    } else {
        method.credit * (deadline - now) as f64 / (deadline - soft) as f64
    }
}
