//! Guarantees to clients: no attempt starts for a client that has left, a retry sends its server no more than the time
//! that is left, and every request is answered within its deadline. Each test orders the events in the way that breaks
//! the guarantee if the gateway does not uphold it.

mod support;

use standins::scripted::{
    Client, FullBacklog, Peer, Program, chunk, entry, list, raw_reply, refusing_address, remaining_ms_header,
    rpc, status,
};
use std::time::{Duration, Instant};
use support::{BIN, discovery_peer, long_timeout_settings, start_gateway};

/// More connections than one poll of the sockets returns events for (256), so that a turn is busy.
const BUSY_CLIENTS: usize = 300;
const HEALTHY: &str = "GET /-/healthy HTTP/1.1\r\n\r\n";
/// The gateway's input buffer of a client holds at most a head and a body of the largest size. These two amounts fill
/// it in two steps, each of which fits into the system's socket buffer while the gateway is stopped.
const PREFILL_BYTES: usize = 56 << 10;
const OVERFLOW_BYTES: usize = 48 << 10;
/// Within this time, a request that found no server tries again.
const SERVER_RETRY_WITHIN: Duration = Duration::from_millis(40);
/// On a busy machine, the system may deliver a burst of closes to the other side this long after the calls return.
const CLOSE_DELIVERY: Duration = Duration::from_millis(60);
const RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\non";

/// The same message with this transaction ID.
fn with_number(message: &str, number: usize) -> String {
    message.replace("X-Txn: 0123456789abcdef", &format!("X-Txn: {number:016x}"))
}

// Clients that leave: no attempt, neither the first nor a retry, starts afterwards.

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Departure {
    Closes,
    Resets,
    /// It shuts down its sending side and keeps the connection.
    HalfCloses,
    /// It closes after sending the first bytes of another message.
    ClosesAfterPartialMessage,
    /// It closes after sending more than the gateway's input buffer holds.
    ClosesAfterFillingBuffer,
}

const DEPARTURES: [Departure; 5] = [
    Departure::Closes,
    Departure::Resets,
    Departure::HalfCloses,
    Departure::ClosesAfterPartialMessage,
    Departure::ClosesAfterFillingBuffer,
];

/// When the client leaves, relative to the event that would start an attempt for it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Timing {
    /// Before the event; one poll of the sockets returns both.
    JustBefore,
    /// After the event; one poll of the sockets returns both.
    JustAfter,
    /// After the event, with so many other clients sending in between that one poll does not return both.
    AfterOtherClients,
    /// During the turn that starts the attempt, after the poll of the sockets.
    DuringTurn,
}

const TIMINGS: [Timing; 4] =
    [Timing::JustBefore, Timing::JustAfter, Timing::AfterOtherClients, Timing::DuringTurn];

/// A gateway under test, with other clients that keep it busy.
struct TestGateway {
    gateway: Program,
    others: Vec<Client>,
    last_id: usize,
}

impl TestGateway {
    fn new(gateway: Program) -> TestGateway {
        TestGateway { gateway, others: Vec::new(), last_id: 0 }
    }

    /// Connects the other clients that this timing needs.
    fn with_clients_for(timing: Timing, gateway: Program) -> TestGateway {
        let count = if timing == Timing::AfterOtherClients { BUSY_CLIENTS } else { 0 };
        // Each sends a request as soon as it is connected: the gateway closes connections that send nothing for two
        // seconds.
        let others = (0..count).map(|_| {
            let mut other = gateway.client();
            assert_eq!(status(&other.ask(HEALTHY)), 200);
            other
        });
        let others = others.collect();
        TestGateway { gateway, others, last_id: 0 }
    }

    /// Sends a request from a new client; the gateway has read it when this returns.
    fn request(&mut self, method: &str, departure: Departure) -> Client {
        self.last_id += 1;
        let mut client = self.gateway.client();
        client.send(&with_number(&rpc(method, 20_000), self.last_id));
        if departure == Departure::ClosesAfterFillingBuffer {
            client.send(&"x".repeat(PREFILL_BYTES));
        }
        self.gateway.wait_until_processed();
        client
    }

    /// Lets the client leave at this timing relative to `trigger`, which starts an attempt for its request.
    fn leave(&mut self, client: Client, departure: Departure, timing: Timing, trigger: impl FnOnce()) {
        let mut kept = None;
        let leave_now = || {
            kept = Some(leave(client, departure));
            std::thread::sleep(CLOSE_DELIVERY);
        };
        match timing {
            Timing::DuringTurn => {
                let turn = self.gateway.hold_turn(trigger);
                leave_now();
                turn.resume();
            }
            _ => {
                self.gateway.pause();
                match timing {
                    Timing::JustBefore => {
                        leave_now();
                        trigger();
                    }
                    _ => {
                        trigger();
                        if timing == Timing::AfterOtherClients {
                            self.others.iter_mut().for_each(|other| other.send(HEALTHY));
                        }
                        leave_now();
                    }
                }
                self.gateway.signal("-CONT");
                if timing == Timing::AfterOtherClients {
                    self.others.iter_mut().for_each(|other| drop(other.answer().unwrap()));
                }
            }
        }
        self.gateway.wait_for_line("left-before-answer");
        self.gateway.wait_until_processed();
    }

    /// Sends another request that is served, and checks that no other request reached this server.
    fn check_only_next_request_is_served(&mut self, server: &Peer, why: &str) {
        self.last_id += 1;
        let message =
            with_number(&rpc("read", 20_000), self.last_id).replace("00000000b4d65521", "0000000000000001");
        let mut client = self.gateway.client();
        client.send(&message);
        let (number, first) = server.next();
        let id = format!("X-Txn: {:016x}", self.last_id);
        assert!(first.contains(&id), "{why}: forwarded for a client that had left: {first}");
        server.write(number, RESPONSE);
        assert_eq!(status(&client.answer().unwrap()), 200, "{why}");
        assert!(server.nothing_received(), "{why}");
    }

    /// Opens this many connections to this server, which are idle when this returns.
    fn open_idle_connections(&mut self, server: &Peer, count: usize) {
        let mut clients: Vec<Client> = (0..count).map(|_| self.gateway.client()).collect();
        for client in &mut clients {
            self.last_id += 1;
            client.send(&with_number(&rpc("read", 20_000), self.last_id));
        }
        let connections: Vec<usize> = (0..count).map(|_| server.next().0).collect();
        connections.into_iter().for_each(|number| server.write(number, RESPONSE));
        clients.iter_mut().for_each(|client| assert_eq!(status(&client.answer().unwrap()), 200));
    }
}

/// Lets the client leave; returns the client if its connection is only half closed, so that it stays open.
fn leave(mut client: Client, departure: Departure) -> Option<Client> {
    match departure {
        Departure::Closes => drop(client),
        Departure::Resets => client.reset(),
        Departure::HalfCloses => {
            client.shutdown_write();
            return Some(client);
        }
        Departure::ClosesAfterPartialMessage => client.send(&rpc("read", 20_000)[..100]),
        Departure::ClosesAfterFillingBuffer => client.send(&"x".repeat(OVERFLOW_BYTES)),
    }
    None
}

/// All combinations of a way to leave and a timing.
fn departures() -> impl Iterator<Item = (Departure, Timing)> {
    TIMINGS.into_iter().flat_map(|timing| DEPARTURES.map(|departure| (departure, timing)))
}

/// A server that sends only what the test tells it to.
fn silent_server() -> Peer {
    Peer::new(|_, _| (Vec::new(), false))
}

/// Settings with a quota that never makes a request wait.
fn ample_quota_settings() -> String {
    long_timeout_settings().replace("\"perSecond\":100.0,\"depth\":100.0", "\"perSecond\":1e6,\"depth\":1e6")
}

/// Starts a gateway that knows this server, with discovery down.
fn start_with_known_server(server: std::net::SocketAddr, settings: &str) -> Program {
    let known = list(3, true, &[entry("s0", server, "ready")]);
    Program::start(BIN, refusing_address(), &format!("\"known\":{known},"), settings)
}

#[test]
fn request_waiting_for_a_server_is_not_forwarded_after_its_client_leaves() {
    for (departure, timing) in departures() {
        let (discovery, server) = (discovery_peer(), silent_server());
        let known = [entry("s0", server.address, "ready")];
        let mut under_test =
            TestGateway::with_clients_for(timing, start_gateway(&discovery, &known, &ample_quota_settings()));
        under_test.open_idle_connections(&server, 1);
        let update_list = |index, status| {
            discovery.write(0, &chunk(&list(index, false, &[entry("s0", server.address, status)])));
        };
        update_list(4, "draining");
        under_test.gateway.wait_until_processed();
        let client = under_test.request("verify", departure);
        under_test.leave(client, departure, timing, || {
            update_list(5, "ready");
            std::thread::sleep(SERVER_RETRY_WITHIN);
        });
        under_test.check_only_next_request_is_served(&server, &format!("{departure:?}, {timing:?}"));
    }
}

#[test]
fn request_waiting_for_quota_is_not_forwarded_after_its_client_leaves() {
    // The quota has two units at the start, which is what one request costs, and two more after two seconds.
    let low_quota = long_timeout_settings()
        .replace("\"perSecond\":100.0,\"depth\":100.0", "\"perSecond\":1.0,\"depth\":2.0");
    let run = |departure, timing| {
        let server = silent_server();
        let mut under_test =
            TestGateway::with_clients_for(timing, start_with_known_server(server.address, &low_quota));
        under_test.open_idle_connections(&server, 1);
        let client = under_test.request("verify", departure);
        assert!(server.nothing_received(), "the quota is spent");
        under_test.leave(client, departure, timing, || std::thread::sleep(Duration::from_millis(2200)));
        under_test.check_only_next_request_is_served(&server, &format!("{departure:?}, {timing:?}"));
    };
    run_concurrently(run);
}

#[test]
fn no_retry_starts_after_the_client_leaves_between_two_attempts() {
    for (departure, timing) in departures() {
        let server = silent_server();
        let mut under_test = TestGateway::with_clients_for(
            timing,
            start_with_known_server(server.address, &ample_quota_settings()),
        );
        under_test.open_idle_connections(&server, 2);
        let client = under_test.request("submit", departure);
        let first = server.next().0;
        under_test.leave(client, departure, timing, || server.reset(first));
        under_test.check_only_next_request_is_served(&server, &format!("{departure:?}, {timing:?}"));
    }
}

#[test]
fn request_is_not_forwarded_if_its_client_leaves_while_the_server_connection_is_established() {
    run_concurrently(|departure, timing| {
        let why = format!("{departure:?}, {timing:?}");
        let late = FullBacklog::default();
        let mut under_test = TestGateway::with_clients_for(
            timing,
            start_with_known_server(late.address, &ample_quota_settings()),
        );
        let client = under_test.request("verify", departure);
        let mut server = None;
        under_test.leave(client, departure, timing, || server = Some(late.open()));
        let mut server = server.unwrap();
        assert!(under_test.gateway.wait_for_line("\"not written\"").contains("client-left"), "{why}");
        assert!(server.nothing_received(), "{why}");
        let mut next = under_test.gateway.client();
        next.send(&rpc("read", 20_000));
        assert!(server.answer().unwrap().starts_with("GET "), "{why}");
    });
}

/// Runs a test concurrently for all ways to leave at [`Timing::AfterOtherClients`] and for a plain close at all
/// timings, since each run takes seconds.
fn run_concurrently(run: impl Fn(Departure, Timing) + Sync) {
    let run = &run;
    std::thread::scope(|scope| {
        for (departure, timing) in departures() {
            if departure == Departure::Closes || timing == Timing::AfterOtherClients {
                scope.spawn(move || run(departure, timing));
            }
        }
    });
}

#[test]
fn requests_of_hundreds_of_clients_that_leave_in_a_busy_turn_are_not_forwarded() {
    let (discovery, server) = (discovery_peer(), silent_server());
    let mut under_test = TestGateway::new(start_gateway(
        &discovery,
        &[entry("s0", server.address, "ready")],
        &ample_quota_settings(),
    ));
    under_test.open_idle_connections(&server, 2);
    discovery.write(0, &chunk(&list(4, false, &[entry("s0", server.address, "draining")])));
    under_test.gateway.wait_until_processed();
    let mut clients = Vec::new();
    for number in 0..BUSY_CLIENTS {
        let mut client = under_test.gateway.client();
        // Each request is for a different customer, so that none waits behind others.
        let message = with_number(&rpc("read", 20_000), 1000 + number);
        client.send(&message.replace("00000000b4d65521", &format!("{number:016x}")));
        clients.push(client);
    }
    under_test.gateway.wait_until_processed();
    under_test.gateway.pause();
    discovery.write(0, &chunk(&list(5, false, &[entry("s0", server.address, "ready")])));
    std::thread::sleep(SERVER_RETRY_WITHIN);
    drop(clients);
    std::thread::sleep(CLOSE_DELIVERY);
    under_test.gateway.signal("-CONT");
    under_test.gateway.wait_until_processed();
    under_test.check_only_next_request_is_served(&server, "hundreds of clients left");
}

// The remaining time that a retry sends to its server.

/// The time that a client waits for an answer, counted from when its request has just been sent.
struct RemainingTime {
    total: Duration,
    sent_at: Instant,
}

impl RemainingTime {
    /// The most milliseconds that can be left now.
    fn max_ms(&self) -> u64 {
        self.total.saturating_sub(self.sent_at.elapsed()).as_millis() as u64
    }
}

const CLIENT_WAIT: Duration = Duration::from_secs(10);

/// Sends a request whose client waits [`CLIENT_WAIT`] for the answer.
fn send_timed(client: &mut Client, message: &str) -> RemainingTime {
    client.send(message);
    RemainingTime { total: CLIENT_WAIT, sent_at: Instant::now() }
}

#[test]
fn retry_sends_the_time_left_when_its_bytes_are_written_not_when_the_turn_began() {
    let server = silent_server();
    let mut under_test = TestGateway::new(start_with_known_server(server.address, &ample_quota_settings()));
    under_test.open_idle_connections(&server, 2);
    let mut client = under_test.gateway.client();
    let remaining = send_timed(&mut client, &rpc("submit", CLIENT_WAIT.as_millis() as u64));
    let first = server.next();
    assert!(remaining_ms_header(&first.1) <= CLIENT_WAIT.as_millis() as u64);
    // The turn that detects the reset of the first attempt lasts half a second, as it may on a tenth of a core.
    let turn = under_test.gateway.hold_turn(|| server.reset(first.0));
    std::thread::sleep(Duration::from_millis(500));
    let at_most = remaining.max_ms();
    turn.resume();
    let retry = server.next().1;
    assert!(remaining_ms_header(&retry) <= at_most, "at most {} ms are left: {retry}", at_most);
}

#[test]
fn retry_whose_deadline_passes_within_its_turn_is_not_written() {
    let server = silent_server();
    let mut under_test = TestGateway::new(start_with_known_server(server.address, &ample_quota_settings()));
    under_test.open_idle_connections(&server, 2);
    let mut client = under_test.gateway.client();
    client.send(&rpc("submit", 3000));
    let first = server.next().0;
    let turn = under_test.gateway.hold_turn(|| server.reset(first));
    std::thread::sleep(Duration::from_millis(3100));
    turn.resume();
    let got = client.answer().unwrap();
    assert!(status(&got) != 200, "{got}");
    under_test.check_only_next_request_is_served(&server, "the deadline had passed");
}

#[test]
fn retry_after_the_process_was_stopped_sends_the_time_left() {
    let server = silent_server();
    let mut under_test = TestGateway::new(start_with_known_server(server.address, &ample_quota_settings()));
    under_test.open_idle_connections(&server, 2);
    let mut client = under_test.gateway.client();
    // The process is stopped both before it reads the request and while the first attempt is in flight.
    under_test.gateway.pause();
    let remaining = send_timed(&mut client, &rpc("submit", CLIENT_WAIT.as_millis() as u64));
    std::thread::sleep(Duration::from_millis(600));
    under_test.gateway.signal("-CONT");
    let first = server.next().0;
    under_test.gateway.pause();
    server.reset(first);
    std::thread::sleep(Duration::from_millis(400));
    let at_most = remaining.max_ms();
    under_test.gateway.signal("-CONT");
    let retry = server.next().1;
    // The gateway infers from overdue timers how long it was stopped, to within one check for idle connections (a
    // quarter of a second).
    assert!(remaining_ms_header(&retry) <= at_most + 250, "at most {at_most} ms are left: {retry}");
}

#[test]
fn retry_on_a_connection_that_is_established_late_sends_the_time_left_then() {
    let (discovery, first, late) = (discovery_peer(), silent_server(), FullBacklog::default());
    let gateway = start_gateway(&discovery, &[entry("s0", first.address, "ready")], &ample_quota_settings());
    let mut client = gateway.client();
    let remaining = send_timed(&mut client, &rpc("read", CLIENT_WAIT.as_millis() as u64));
    let connection = first.next().0;
    let listed = [entry("s0", first.address, "draining"), entry("s1", late.address, "ready")];
    discovery.write(0, &chunk(&list(4, false, &listed)));
    gateway.wait_until_processed();
    first.reset(connection);
    assert!(gateway.wait_for_line("\"server\"").contains("\"reset\""));
    std::thread::sleep(Duration::from_millis(300));
    let at_most = remaining.max_ms();
    let retry = late.open().answer().unwrap();
    assert!(remaining_ms_header(&retry) <= at_most, "at most {at_most} ms are left: {retry}");
}

// Every request is answered within its deadline.

/// Requests in all the forms that HTTP/1.1 and the protocol documentation allow, each with a name for messages.
fn message_forms() -> Vec<(&'static str, String)> {
    let (read, submit) = (rpc("read", 5000), rpc("submit", 5000));
    let verify = rpc("verify", 5000);
    let with_header =
        |message: &str, header: &str| message.replacen("\r\nHost", &format!("\r\n{header}\r\nHost"), 1);
    let long_body = "b".repeat(64 << 10);
    let lower = verify.replace("X-", "x-").replace("Content-Length", "content-length");
    vec![
        ("plain", read.clone()),
        ("keyed", submit.clone()),
        ("lower case", lower),
        ("blank lines before", format!("\r\n\r\n{verify}")),
        ("line feeds only", verify.replace("\r\n", "\n")),
        ("absolute target", verify.replace(" /api", " http://service.internal/api")),
        ("no query", verify.replace("?q=1", "")),
        ("longer path", verify.replace("/api/", "/some/longer/api/")),
        ("no spaces behind colons", verify.replace(": ", ":")),
        ("spaces behind values", verify.replace("X-Remaining-Ms: 5000", "X-Remaining-Ms:   5000 \t")),
        ("content length 0", read.replace("\r\n\r\n", "\r\nContent-Length: 0\r\n\r\n")),
        ("empty body", verify.replace("Content-Length: 4\r\n\r\nbody", "Content-Length: 0\r\n\r\n")),
        (
            "longest body",
            verify.replace(
                "Content-Length: 4\r\n\r\nbody",
                &format!("Content-Length: 65536\r\n\r\n{long_body}"),
            ),
        ),
        ("keep-alive", with_header(&verify, "Connection: keep-alive")),
        ("marked as a retry", with_header(&verify, "X-Resent: 1")),
        ("a long header", with_header(&verify, &format!("X-Other: {}", "o".repeat(8 << 10)))),
        ("an empty header", with_header(&verify, "X-Other:")),
        ("other metering order", verify.replace("units=2,spread=1,first=0", "first=0, units=2.0 ,spread=1")),
        ("hexadecimal capitals", verify.replace("b4d65521", "B4D65521")),
        ("HTTP/1.0", verify.replace("HTTP/1.1", "HTTP/1.0")),
        ("closes after it", with_header(&verify, "Connection: close")),
    ]
}

#[test]
fn every_form_of_message_is_served_whole_and_in_pieces() {
    let server = Peer::new(|_, _| raw_reply(RESPONSE));
    let gateway = start_with_known_server(server.address, &ample_quota_settings());
    let mut number = 0;
    for (form, message) in message_forms() {
        for piece_length in [message.len(), 1 + message.len() / 50] {
            number += 1;
            let message = with_number(&message.replace("x-txn", "X-Txn"), number);
            let mut client = gateway.client();
            for piece in message.as_bytes().chunks(piece_length) {
                client.send(std::str::from_utf8(piece).unwrap());
                if piece_length < message.len() {
                    gateway.wait_until_processed(); // the gateway reads each piece separately
                }
            }
            let got = client.answer().unwrap_or_else(|| panic!("{form}: no answer"));
            assert!(status(&got) == 200 && got.ends_with("on"), "{form}, {piece_length}: {got}");
        }
    }
}

#[test]
fn slow_client_whose_message_is_whole_within_two_seconds_is_served() {
    let server = Peer::new(|_, _| raw_reply(RESPONSE));
    let gateway = start_with_known_server(server.address, &ample_quota_settings());
    std::thread::scope(|scope| {
        for (number, method) in ["read", "submit", "verify"].into_iter().cycle().take(12).enumerate() {
            let message = with_number(&rpc(method, 5000), number);
            let mut client = gateway.client();
            scope.spawn(move || {
                for piece in message.as_bytes().chunks(message.len().div_ceil(30)) {
                    client.send(std::str::from_utf8(piece).unwrap());
                    std::thread::sleep(Duration::from_millis(40)); // 1.2 s in total
                }
                assert_eq!(status(&client.answer().unwrap()), 200, "{method}");
            });
        }
    });
}

#[test]
fn client_slower_than_its_own_deadline_is_answered_once_its_message_is_whole() {
    let server = silent_server();
    let mut under_test = TestGateway::new(start_with_known_server(server.address, &ample_quota_settings()));
    let message = rpc("submit", 300);
    let mut client = under_test.gateway.client();
    client.send(&message[..100]);
    std::thread::sleep(Duration::from_millis(400));
    client.send(&message[100..]);
    assert_eq!(status(&client.answer().unwrap()), 503, "it was never forwarded");
    under_test.check_only_next_request_is_served(&server, "the deadline had passed");
}

#[test]
fn pipelined_commands_are_all_answered_in_order_and_in_time() {
    let server = Peer::new(|_, _| raw_reply(RESPONSE));
    let gateway = start_with_known_server(server.address, &ample_quota_settings());
    let mut client = gateway.client();
    let count = 200;
    let messages: String = (0..count)
        .map(|number| with_number(&rpc(["read", "submit", "verify"][number % 3], 10_000), number))
        .collect();
    client.send(&messages);
    for number in 0..count {
        let got = client.answer().unwrap_or_else(|| panic!("command {number} has no answer"));
        assert_eq!(status(&got), 200, "command {number}: {got}");
    }
}

#[test]
fn commands_queued_behind_one_whose_server_never_answers_are_answered_at_their_deadline() {
    let server = silent_server();
    let gateway = start_with_known_server(server.address, &ample_quota_settings());
    let mut client = gateway.client();
    let count = 5;
    let messages: String = (0..count).map(|number| with_number(&rpc("read", 1500), number)).collect();
    let sent_at = Instant::now();
    client.send(&messages);
    for number in 0..count {
        assert!(client.answer().is_some(), "command {number} has no answer");
    }
    // A request counts as lost half a second after its deadline. If the deadlines were counted from the time at which
    // each request is processed, each would take another 1.5 s.
    assert!(sent_at.elapsed() < Duration::from_millis(2000), "{:?}", sent_at.elapsed());
}

#[test]
fn deadline_of_a_message_received_while_the_process_is_stopped_starts_at_its_arrival() {
    let (server, discovery) = (Peer::new(|_, _| raw_reply(RESPONSE)), discovery_peer());
    let gateway =
        start_gateway(&discovery, &[entry("s0", server.address, "ready")], &long_timeout_settings());
    let (stopped, remaining) = (Duration::from_millis(500), 2900);
    // Where in the gateway's periodic checks the stop falls is random, so this is tried several times.
    for id in 0..5 {
        let mut client = gateway.client();
        gateway.wait_until_processed();
        gateway.pause();
        client.send(&with_number(&rpc("verify", remaining), id));
        std::thread::sleep(stopped);
        gateway.signal("-CONT");
        assert_eq!(client.answer().map(|got| status(&got)), Some(200));
        let wait_ms = remaining_ms_header(&server.next().1);
        let left_ms = remaining - stopped.as_millis() as u64;
        assert!(wait_ms <= left_ms + 30, "{wait_ms} ms sent to the server, {left_ms} ms left");
    }
}
