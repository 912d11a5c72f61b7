//! Tests of what the load generator records of its RPCs, against a scripted gateway.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rig::load_generator::{
    ClientBehaviour, ClientRpc, Customer, LoadGenerator, LoadProfile, Method, RpcOutcome,
};
use standins::reactor::{Clock, ConnId, EventHandler, Handle, Io};
use standins::scripted::{Peer, WAIT_TIMEOUT, answer};
use standins::{MS, Nanos};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::time::Duration;

const DEADLINE: Nanos = 100 * MS;
/// An RPC without an answer counts as lost this long after its deadline.
const DEADLINE_SLACK: Nanos = 500 * MS;

/// How a load generator's process lags.
#[derive(Clone, Copy, Default)]
struct Lag {
    /// Connections seem to be established this much later.
    connecting: Duration,
    /// What comes after a timer comes this much later.
    after_timers: Duration,
}

/// A load generator whose process lags.
struct SlowGenerator {
    generator: LoadGenerator,
    lag: Lag,
}

impl EventHandler for SlowGenerator {
    fn on_connect(&mut self, io: &mut Io, conn: ConnId) {
        std::thread::sleep(self.lag.connecting);
        self.generator.on_connect(io, conn);
    }

    fn on_data(&mut self, io: &mut Io, conn: ConnId) {
        self.generator.on_data(io, conn);
    }

    fn on_close(&mut self, io: &mut Io, conn: ConnId) {
        self.generator.on_close(io, conn);
    }

    fn on_timer(&mut self, io: &mut Io, token: u64) {
        self.generator.on_timer(io, token);
        std::thread::sleep(self.lag.after_timers);
    }
}

/// Starts a load generator that sends one RPC to a gateway, as soon as that is ready.
fn send_one_rpc(gateway: &Peer, behaviour: ClientBehaviour, lag: Lag, clock: Clock) -> Handle<SlowGenerator> {
    let profile = LoadProfile {
        behaviour,
        rate: 1e-3,
        plan: "plan".into(),
        methods: vec![Method {
            name: "read".into(),
            idempotency: "free".into(),
            deadline: DEADLINE,
            share: 1.0,
            units: 1.0,
        }],
        customers: vec![Customer { share: 1.0, first_gateway: 0, gateway_count: 1 }],
        detection_delay: MS,
    };
    let generator = LoadGenerator::new(profile, ChaCha8Rng::seed_from_u64(5));
    let handle = Handle::start(SlowGenerator { generator, lag }, clock).unwrap();
    let address = gateway.address;
    handle.with(move |handler, io| handler.generator.add_gateway(io, address));
    while handle.with(|handler, _| handler.generator.admitted_gateways()) == 0 {
        std::thread::yield_now();
    }
    handle.with(|handler, io| handler.generator.set_running(io, true));
    handle
}

/// Waits until the RPC has ended.
fn wait_for_end(handle: &Handle<SlowGenerator>) -> ClientRpc {
    loop {
        let rpc = handle.with(|handler, _| handler.generator.rpcs.first().copied());
        if let Some(rpc) = rpc.filter(|rpc| rpc.outcome != RpcOutcome::Open) {
            return rpc;
        }
        std::thread::yield_now();
    }
}

/// Guards against an RPC that is given up and counted as lost before its deadline, because its connection was established
/// late: its time counts from when it was sent.
#[test]
fn an_rpc_on_a_slow_connection_has_its_whole_time() {
    let gateway = Peer::new(|_, message| match message.starts_with("GET /-/ready") {
        true => answer(200, "", ""),
        false => (Vec::new(), false),
    });
    let lag = Lag { connecting: Duration::from_millis(300), ..Lag::default() };
    let handle = send_one_rpc(&gateway, ClientBehaviour::default(), lag, Clock::start());
    let rpc = wait_for_end(&handle);
    assert_eq!(rpc.outcome, RpcOutcome::Lost);
    assert!(rpc.ended_at >= rpc.sent_at + DEADLINE + DEADLINE_SLACK, "{rpc:?}");
}

/// Guards against an RPC that counts as cut although it was sent during a flood of silent connections, in which its
/// client sends again what a gateway closed without reading it: the flood began after the RPC was planned.
#[test]
fn an_rpc_sent_on_a_new_connection_during_a_flood_is_sent_again() {
    let was_closed = AtomicBool::new(false);
    let gateway = Peer::new(move |_, message| {
        let closes = !message.starts_with("GET /-/ready") && !was_closed.swap(true, Ordering::Relaxed);
        if closes { (Vec::new(), true) } else { answer(200, "", "") }
    });
    let behaviour = ClientBehaviour { early_connection_share: 1.0, ..ClientBehaviour::default() };
    let handle = send_one_rpc(&gateway, behaviour, Lag::default(), Clock::start());
    while gateway.connections() < 2 {
        std::thread::yield_now(); // the readiness probe's connection, and that of the RPC
    }
    handle.with(|handler, io| handler.generator.set_silent_connection_rate(io, 1.0));
    gateway.reset(1);
    let rpc = wait_for_end(&handle);
    assert_eq!(rpc.outcome, RpcOutcome::Ok, "{rpc:?}");
    assert!(rpc.resent_at.is_some());
}

/// Guards against a gateway that is blamed for the lag of its client: a request counts as sent, but is written only at the
/// end of a long iteration.
#[test]
fn a_request_is_written_when_it_counts_as_sent_though_its_client_lags() {
    const LAG: Duration = Duration::from_millis(300);
    const PRECISION: Nanos = 50 * MS;
    let clock = Clock::start();
    let (arrivals, arrived_at) = channel();
    let gateway = Peer::new(move |_, message| {
        if !message.starts_with("GET /-/ready") {
            let _ = arrivals.send(clock.now());
        }
        answer(200, "", "")
    });
    let behaviour = ClientBehaviour { early_connection_share: 1.0, ..ClientBehaviour::default() };
    let lag = Lag { after_timers: LAG, ..Lag::default() };
    let handle = send_one_rpc(&gateway, behaviour, lag, clock);
    let arrived_at = arrived_at.recv_timeout(WAIT_TIMEOUT).unwrap();
    let rpc = wait_for_end(&handle);
    assert!(arrived_at <= rpc.sent_at + PRECISION, "{} ms late", (arrived_at - rpc.sent_at) / MS);
}
