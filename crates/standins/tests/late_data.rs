//! Tests that the stand-in servers send data behind their answers, and send none that would come too late.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standins::reactor::{Clock, ConnId, EventHandler, Handle, Io, SocketId};
use standins::scripted::{Client, rpc};
use standins::servers::{LATE_DATA_LIMIT, LateData, ServerSpec, Servers};
use standins::{MS, Nanos};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

mod support;
use support::server_spec;

/// Stand-in servers whose process lags: each timer is handled this much later.
struct LaggingServers {
    servers: Servers,
    lag: Duration,
}

impl EventHandler for LaggingServers {
    fn on_accept(&mut self, io: &mut Io, conn: ConnId, socket: SocketId) {
        self.servers.on_accept(io, conn, socket);
    }

    fn on_data(&mut self, io: &mut Io, conn: ConnId) {
        self.servers.on_data(io, conn);
    }

    fn on_close(&mut self, io: &mut Io, conn: ConnId) {
        self.servers.on_close(io, conn);
    }

    fn on_timer(&mut self, io: &mut Io, token: u64) {
        std::thread::sleep(self.lag);
        self.servers.on_timer(io, token);
    }
}

/// Starts a server that sends a second copy of each answer within this time; returns its address as well.
fn start_server(lag: Nanos, max_lateness: Nanos) -> (Handle<LaggingServers>, SocketAddr) {
    let servers = Servers::new(ChaCha8Rng::seed_from_u64(5));
    let lagging = LaggingServers { servers, lag: Duration::from_nanos(lag) };
    let handle = Handle::start(lagging, Clock::start()).unwrap();
    let late_data = LateData { copy_share: 1.0, max_lateness, ..LateData::default() };
    let spec = ServerSpec { late_data, ..server_spec() };
    let (_, address) = handle.with(|handler, io| handler.servers.add(io, spec, true)).unwrap();
    (handle, address)
}

/// How often late data was sent, and how often it was overdue.
fn late_data_counts(handle: &Handle<LaggingServers>) -> (u64, u64) {
    handle.with(|handler, _| (handler.servers.late_data_sent, handler.servers.late_data_overdue))
}

/// Asks on a new connection, and waits until the copy of its answer was sent or found overdue; returns the connection
/// and the answer.
fn ask(handle: &Handle<LaggingServers>, address: SocketAddr) -> (Client, String) {
    let before = late_data_counts(handle);
    let mut client = Client::new(address);
    let answer = client.ask(&rpc("read", 2000));
    while late_data_counts(handle) == before {
        std::thread::yield_now();
    }
    (client, answer)
}

/// Asks until a copy is sent: on a busy machine the first ones may be overdue.
fn check_copy(handle: &Handle<LaggingServers>, address: SocketAddr) {
    let until = Instant::now() + Duration::from_secs(10);
    let (mut client, mut answer) = ask(handle, address);
    while late_data_counts(handle).0 == 0 {
        assert!(Instant::now() < until, "no copy was sent");
        (client, answer) = ask(handle, address);
    }
    assert_eq!(client.answer(), Some(answer));
}

#[test]
fn a_second_copy_follows_an_answer() {
    let (handle, address) = start_server(0, MS);
    check_copy(&handle, address);
}

/// Guards against a scenario whose servers are to be later than usual and then send nothing.
#[test]
fn a_second_copy_may_be_as_late_as_its_server_is_to_be() {
    let (handle, address) = start_server(LATE_DATA_LIMIT + 5 * MS, 20 * LATE_DATA_LIMIT);
    check_copy(&handle, address);
}

/// Guards against copies that a lagging process sends tens of milliseconds late, which no gateway can tell from the
/// answer to its next request.
#[test]
fn a_second_copy_that_would_come_too_late_is_not_sent() {
    let (handle, address) = start_server(LATE_DATA_LIMIT + 5 * MS, MS);
    let (mut client, _) = ask(&handle, address);
    assert_eq!(late_data_counts(&handle), (0, 1));
    assert!(client.nothing_received());
}
