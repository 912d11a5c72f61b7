//! What is promised to clients: nothing begins for one that has gone, a further attempt tells its server no more time than
//! is left, and every request gets an answer in its time. Each story orders the events that break the promise.

mod support;

use standins::scripted::{
    Client, FullBacklog, Peer, Program, chunk, entry, list, raw_reply, refusing_address, remaining_ms_header,
    rpc, status,
};
use std::time::{Duration, Instant};
use support::{BIN, patient_settings, under, watch};

/// More connections than one look at the sockets brings to light (256): a busy turn.
const BUSY: usize = 300;
const HEALTHY: &str = "GET /-/healthy HTTP/1.1\r\n\r\n";
/// What the gateway's buffer of a client takes at most is a head and a body of the largest size; these fill it in two steps,
/// each of which the system's own buffer takes while the gateway stands still.
const READ_BEFORE: usize = 56 << 10;
const UNREAD: usize = 48 << 10;
/// A request that found no server looks again within so long.
const LOOKS_AGAIN: Duration = Duration::from_millis(40);
/// The system may bring a burst of closes to the other side this much later than they return on a busy machine.
const ARRIVES: Duration = Duration::from_millis(60);
const SERVED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\non";

/// The same message with an id of its own.
fn numbered(message: &str, number: usize) -> String {
    message.replace("X-Txn: 0123456789abcdef", &format!("X-Txn: {number:016x}"))
}

// ---- A client that has gone: no attempt, first or further, begins after it.

/// How a client goes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Leaving {
    Closes,
    Resets,
    /// It ends its sending and keeps its connection.
    HalfCloses,
    /// It closes right behind some bytes of a further message.
    ClosesBehindBytes,
    /// It closes behind more than the gateway's buffer takes.
    ClosesBehindFullBuffer,
}

const LEAVINGS: [Leaving; 5] = [
    Leaving::Closes,
    Leaving::Resets,
    Leaving::HalfCloses,
    Leaving::ClosesBehindBytes,
    Leaving::ClosesBehindFullBuffer,
];

/// When the client goes, of the moment that would bring it an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Moment {
    /// Both are found by one look at the sockets, the leaving first.
    JustBefore,
    /// The same, the other way round.
    JustAfter,
    /// After it, and so many others send something between the two that one look does not find both.
    BehindOthers,
    /// While the turn is under way that brings the attempt: the look at the sockets is over.
    InTheTurn,
}

const MOMENTS: [Moment; 4] = [Moment::JustBefore, Moment::JustAfter, Moment::BehindOthers, Moment::InTheTurn];

/// A gateway under a watch, with clients that keep it busy.
struct Scene {
    gateway: Program,
    others: Vec<Client>,
    last: usize,
}

impl Scene {
    fn new(gateway: Program) -> Scene {
        Scene { gateway, others: Vec::new(), last: 0 }
    }

    /// One with the others that this moment needs.
    fn at(moment: Moment, gateway: Program) -> Scene {
        let count = if moment == Moment::BehindOthers { BUSY } else { 0 };
        // Each says something as soon as it is connected: who says nothing for two seconds is sent away.
        let others = (0..count).map(|_| {
            let mut other = gateway.client();
            assert_eq!(status(&other.ask(HEALTHY)), 200);
            other
        });
        let others = others.collect();
        Scene { gateway, others, last: 0 }
    }

    /// A new client's request, which is with the gateway when this returns.
    fn request(&mut self, method: &str, leaving: Leaving) -> Client {
        self.last += 1;
        let mut client = self.gateway.client();
        client.send(&numbered(&rpc(method, 20_000), self.last));
        if leaving == Leaving::ClosesBehindFullBuffer {
            client.send(&"x".repeat(READ_BEFORE));
        }
        self.gateway.wait_until_processed();
        client
    }

    /// Lets the client go at this moment of `attempt`, which brings an attempt for it.
    fn leave(&mut self, client: Client, leaving: Leaving, moment: Moment, attempt: impl FnOnce()) {
        let mut gone = None;
        let goes = || {
            gone = Some(goes(client, leaving));
            std::thread::sleep(ARRIVES);
        };
        match moment {
            Moment::InTheTurn => {
                let turn = self.gateway.hold_turn(attempt);
                goes();
                turn.resume();
            }
            _ => {
                self.gateway.pause();
                match moment {
                    Moment::JustBefore => {
                        goes();
                        attempt();
                    }
                    _ => {
                        attempt();
                        if moment == Moment::BehindOthers {
                            self.others.iter_mut().for_each(|other| other.send(HEALTHY));
                        }
                        goes();
                    }
                }
                self.gateway.signal("-CONT");
                if moment == Moment::BehindOthers {
                    self.others.iter_mut().for_each(|other| drop(other.answer().unwrap()));
                }
            }
        }
        self.gateway.wait_for_line("left-before-answer");
        self.gateway.wait_until_processed();
    }

    /// A request that is served, and before it nothing else reached this server.
    fn serves_only_another(&mut self, server: &Peer, why: &str) {
        self.last += 1;
        let message =
            numbered(&rpc("read", 20_000), self.last).replace("00000000b4d65521", "0000000000000001");
        let mut client = self.gateway.client();
        client.send(&message);
        let (number, first) = server.next();
        let id = format!("X-Txn: {:016x}", self.last);
        assert!(first.contains(&id), "{why}: sent on for a client that had gone: {first}");
        server.write(number, SERVED);
        assert_eq!(status(&client.answer().unwrap()), 200, "{why}");
        assert!(server.nothing_received(), "{why}");
    }

    /// So many connections to this server rest when this returns.
    fn rest_connections(&mut self, server: &Peer, count: usize) {
        let mut clients: Vec<Client> = (0..count).map(|_| self.gateway.client()).collect();
        for client in &mut clients {
            self.last += 1;
            client.send(&numbered(&rpc("read", 20_000), self.last));
        }
        let on: Vec<usize> = (0..count).map(|_| server.next().0).collect();
        on.into_iter().for_each(|number| server.write(number, SERVED));
        clients.iter_mut().for_each(|client| assert_eq!(status(&client.answer().unwrap()), 200));
    }
}

/// The client goes; what is given back keeps the connection that it only half closed.
fn goes(mut client: Client, leaving: Leaving) -> Option<Client> {
    match leaving {
        Leaving::Closes => drop(client),
        Leaving::Resets => client.reset(),
        Leaving::HalfCloses => {
            client.shutdown_write();
            return Some(client);
        }
        Leaving::ClosesBehindBytes => client.send(&rpc("read", 20_000)[..100]),
        Leaving::ClosesBehindFullBuffer => client.send(&"x".repeat(UNREAD)),
    }
    None
}

/// Each way to leave at each moment.
fn leavings() -> impl Iterator<Item = (Leaving, Moment)> {
    MOMENTS.into_iter().flat_map(|moment| LEAVINGS.map(|leaving| (leaving, moment)))
}

/// A server that says nothing by itself.
fn silent() -> Peer {
    Peer::new(|_, _| (Vec::new(), false))
}

/// Settings whose quota never makes a request wait.
fn wide_settings() -> String {
    patient_settings().replace("\"perSecond\":100.0,\"depth\":100.0", "\"perSecond\":1e6,\"depth\":1e6")
}

/// A gateway that knows this server from before, with discovery down.
fn knowing(server: std::net::SocketAddr, settings: &str) -> Program {
    let known = list(3, true, &[entry("s0", server, "ready")]);
    Program::start(BIN, refusing_address(), &format!("\"known\":{known},"), settings)
}

#[test]
fn who_leaves_while_its_request_waits_for_a_server_is_not_sent_on() {
    for (leaving, moment) in leavings() {
        let (discovery, server) = (watch(), silent());
        let known = [entry("s0", server.address, "ready")];
        let mut scene = Scene::at(moment, under(&discovery, &known, &wide_settings()));
        scene.rest_connections(&server, 1);
        let tell = |index, status| {
            discovery.write(0, &chunk(&list(index, false, &[entry("s0", server.address, status)])));
        };
        tell(4, "draining");
        scene.gateway.wait_until_processed();
        let client = scene.request("verify", leaving);
        scene.leave(client, leaving, moment, || {
            tell(5, "ready");
            std::thread::sleep(LOOKS_AGAIN);
        });
        scene.serves_only_another(&server, &format!("{leaving:?}, {moment:?}"));
    }
}

#[test]
fn who_leaves_while_its_request_waits_for_quota_is_not_sent_on() {
    // Two units at the start, as many as a request takes, and two more after two seconds.
    let scarce =
        patient_settings().replace("\"perSecond\":100.0,\"depth\":100.0", "\"perSecond\":1.0,\"depth\":2.0");
    let round = |leaving, moment| {
        let server = silent();
        let mut scene = Scene::at(moment, knowing(server.address, &scarce));
        scene.rest_connections(&server, 1);
        let client = scene.request("verify", leaving);
        assert!(server.nothing_received(), "its quota is spent");
        scene.leave(client, leaving, moment, || std::thread::sleep(Duration::from_millis(2200)));
        scene.serves_only_another(&server, &format!("{leaving:?}, {moment:?}"));
    };
    side_by_side(round);
}

#[test]
fn who_leaves_between_two_attempts_gets_no_further_one() {
    for (leaving, moment) in leavings() {
        let server = silent();
        let mut scene = Scene::at(moment, knowing(server.address, &wide_settings()));
        scene.rest_connections(&server, 2);
        let client = scene.request("submit", leaving);
        let first = server.next().0;
        scene.leave(client, leaving, moment, || server.reset(first));
        scene.serves_only_another(&server, &format!("{leaving:?}, {moment:?}"));
    }
}

#[test]
fn who_leaves_while_its_connection_to_a_server_comes_up_is_not_sent_on() {
    side_by_side(|leaving, moment| {
        let why = format!("{leaving:?}, {moment:?}");
        let late = FullBacklog::default();
        let mut scene = Scene::at(moment, knowing(late.address, &wide_settings()));
        let client = scene.request("verify", leaving);
        let mut server = None;
        scene.leave(client, leaving, moment, || server = Some(late.open()));
        let mut server = server.unwrap();
        assert!(scene.gateway.wait_for_line("\"not written\"").contains("client-left"), "{why}");
        assert!(server.nothing_received(), "{why}");
        let mut next = scene.gateway.client();
        next.send(&rpc("read", 20_000));
        assert!(server.answer().unwrap().starts_with("GET "), "{why}");
    });
}

/// Each way to leave behind others, and each moment of a plain close, side by side since each takes its time.
fn side_by_side(round: impl Fn(Leaving, Moment) + Sync) {
    let round = &round;
    std::thread::scope(|scope| {
        for (leaving, moment) in leavings() {
            if leaving == Leaving::Closes || moment == Moment::BehindOthers {
                scope.spawn(move || round(leaving, moment));
            }
        }
    });
}

#[test]
fn hundreds_that_leave_in_a_busy_turn_are_not_sent_on() {
    let (discovery, server) = (watch(), silent());
    let mut scene = Scene::new(under(&discovery, &[entry("s0", server.address, "ready")], &wide_settings()));
    scene.rest_connections(&server, 2);
    discovery.write(0, &chunk(&list(4, false, &[entry("s0", server.address, "draining")])));
    scene.gateway.wait_until_processed();
    let mut clients = Vec::new();
    for number in 0..BUSY {
        let mut client = scene.gateway.client();
        // Each is another customer's, so that none waits behind others.
        let message = numbered(&rpc("read", 20_000), 1000 + number);
        client.send(&message.replace("00000000b4d65521", &format!("{number:016x}")));
        clients.push(client);
    }
    scene.gateway.wait_until_processed();
    scene.gateway.pause();
    discovery.write(0, &chunk(&list(5, false, &[entry("s0", server.address, "ready")])));
    std::thread::sleep(LOOKS_AGAIN);
    drop(clients);
    std::thread::sleep(ARRIVES);
    scene.gateway.signal("-CONT");
    scene.gateway.wait_until_processed();
    scene.serves_only_another(&server, "hundreds left");
}

// ---- The time that a further attempt tells its server.

/// A request's time, from a moment at which it was still unsent or has just been sent.
struct Left {
    of: Duration,
    from: Instant,
}

impl Left {
    /// At most so much is left now, of what the client waits.
    fn at_most(&self) -> u64 {
        self.of.saturating_sub(self.from.elapsed()).as_millis() as u64
    }
}

const WAITS: Duration = Duration::from_secs(10);

/// Sends a request that waits so long.
fn timed(client: &mut Client, message: &str) -> Left {
    client.send(message);
    Left { of: WAITS, from: Instant::now() }
}

#[test]
fn a_further_attempt_tells_what_is_left_when_its_bytes_go_out_and_not_when_the_turn_began() {
    let server = silent();
    let mut scene = Scene::new(knowing(server.address, &wide_settings()));
    scene.rest_connections(&server, 2);
    let mut client = scene.gateway.client();
    let left = timed(&mut client, &rpc("submit", WAITS.as_millis() as u64));
    let first = server.next();
    assert!(remaining_ms_header(&first.1) <= WAITS.as_millis() as u64);
    // The turn that finds the first attempt reset lasts for half a second, as with a tenth of a core it may.
    let turn = scene.gateway.hold_turn(|| server.reset(first.0));
    std::thread::sleep(Duration::from_millis(500));
    let at_most = left.at_most();
    turn.resume();
    let further = server.next().1;
    assert!(remaining_ms_header(&further) <= at_most, "{} ms are left at most: {further}", at_most);
}

#[test]
fn a_further_attempt_whose_time_passed_within_its_turn_is_not_written() {
    let server = silent();
    let mut scene = Scene::new(knowing(server.address, &wide_settings()));
    scene.rest_connections(&server, 2);
    let mut client = scene.gateway.client();
    client.send(&rpc("submit", 3000));
    let first = server.next().0;
    let turn = scene.gateway.hold_turn(|| server.reset(first));
    std::thread::sleep(Duration::from_millis(3100));
    turn.resume();
    let got = client.answer().unwrap();
    assert!(status(&got) != 200, "{got}");
    scene.serves_only_another(&server, "its time was over");
}

#[test]
fn a_further_attempt_after_the_process_stood_still_tells_what_is_left() {
    let server = silent();
    let mut scene = Scene::new(knowing(server.address, &wide_settings()));
    scene.rest_connections(&server, 2);
    let mut client = scene.gateway.client();
    // It stands still both before the request is read and while the first attempt is out.
    scene.gateway.pause();
    let left = timed(&mut client, &rpc("submit", WAITS.as_millis() as u64));
    std::thread::sleep(Duration::from_millis(600));
    scene.gateway.signal("-CONT");
    let first = server.next().0;
    scene.gateway.pause();
    server.reset(first);
    std::thread::sleep(Duration::from_millis(400));
    let at_most = left.at_most();
    scene.gateway.signal("-CONT");
    let further = server.next().1;
    // What is overdue tells how long the process stood still, to within a look for what is idle (a quarter of a second).
    assert!(remaining_ms_header(&further) <= at_most + 250, "{at_most} ms are left at most: {further}");
}

#[test]
fn a_further_attempt_whose_connection_comes_up_late_tells_what_is_left_then() {
    let (discovery, first, late) = (watch(), silent(), FullBacklog::default());
    let gateway = under(&discovery, &[entry("s0", first.address, "ready")], &wide_settings());
    let mut client = gateway.client();
    let left = timed(&mut client, &rpc("read", WAITS.as_millis() as u64));
    let on = first.next().0;
    let next = [entry("s0", first.address, "draining"), entry("s1", late.address, "ready")];
    discovery.write(0, &chunk(&list(4, false, &next)));
    gateway.wait_until_processed();
    first.reset(on);
    assert!(gateway.wait_for_line("\"server\"").contains("\"reset\""));
    std::thread::sleep(Duration::from_millis(300));
    let at_most = left.at_most();
    let further = late.open().answer().unwrap();
    assert!(remaining_ms_header(&further) <= at_most, "{at_most} ms are left at most: {further}");
}

// ---- Every request gets an answer in its time.

/// Messages in all the forms that HTTP/1.1 and the protocol page allow, and the body that each carries on.
fn forms() -> Vec<(&'static str, String)> {
    let (read, submit) = (rpc("read", 5000), rpc("submit", 5000));
    let verify = rpc("verify", 5000);
    let with_line =
        |message: &str, line: &str| message.replacen("\r\nHost", &format!("\r\n{line}\r\nHost"), 1);
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
        ("no body told", read.replace("\r\n\r\n", "\r\nContent-Length: 0\r\n\r\n")),
        ("empty body", verify.replace("Content-Length: 4\r\n\r\nbody", "Content-Length: 0\r\n\r\n")),
        (
            "longest body",
            verify.replace(
                "Content-Length: 4\r\n\r\nbody",
                &format!("Content-Length: 65536\r\n\r\n{long_body}"),
            ),
        ),
        ("keep-alive", with_line(&verify, "Connection: keep-alive")),
        ("marked as a retry", with_line(&verify, "X-Resent: 1")),
        ("a long header", with_line(&verify, &format!("X-Other: {}", "o".repeat(8 << 10)))),
        ("an empty header", with_line(&verify, "X-Other:")),
        ("other metering order", verify.replace("units=2,spread=1,first=0", "first=0, units=2.0 ,spread=1")),
        ("hexadecimal capitals", verify.replace("b4d65521", "B4D65521")),
        ("HTTP/1.0", verify.replace("HTTP/1.1", "HTTP/1.0")),
        ("closes after it", with_line(&verify, "Connection: close")),
    ]
}

#[test]
fn every_form_of_message_is_served_whole_and_byte_by_byte() {
    let server = Peer::new(|_, _| raw_reply(SERVED));
    let gateway = knowing(server.address, &wide_settings());
    let mut number = 0;
    for (form, message) in forms() {
        for pieces in [message.len(), 1 + message.len() / 50] {
            number += 1;
            let message = numbered(&message.replace("x-txn", "X-Txn"), number);
            let mut client = gateway.client();
            for piece in message.as_bytes().chunks(pieces) {
                client.send(std::str::from_utf8(piece).unwrap());
                if pieces < message.len() {
                    gateway.wait_until_processed(); // each piece is read by itself
                }
            }
            let got = client.answer().unwrap_or_else(|| panic!("{form}: no answer"));
            assert!(status(&got) == 200 && got.ends_with("on"), "{form}, {pieces}: {got}");
        }
    }
}

#[test]
fn a_slow_writer_whose_message_is_whole_in_two_seconds_is_served() {
    let server = Peer::new(|_, _| raw_reply(SERVED));
    let gateway = knowing(server.address, &wide_settings());
    std::thread::scope(|scope| {
        for (number, method) in ["read", "submit", "verify"].into_iter().cycle().take(12).enumerate() {
            let message = numbered(&rpc(method, 5000), number);
            let mut client = gateway.client();
            scope.spawn(move || {
                for piece in message.as_bytes().chunks(message.len().div_ceil(30)) {
                    client.send(std::str::from_utf8(piece).unwrap());
                    std::thread::sleep(Duration::from_millis(40)); // 1.2 s in all
                }
                assert_eq!(status(&client.answer().unwrap()), 200, "{method}");
            });
        }
    });
}

#[test]
fn a_writer_slower_than_its_own_time_is_answered_once_its_message_is_whole() {
    let server = silent();
    let mut scene = Scene::new(knowing(server.address, &wide_settings()));
    let message = rpc("submit", 300);
    let mut client = scene.gateway.client();
    client.send(&message[..100]);
    std::thread::sleep(Duration::from_millis(400));
    client.send(&message[100..]);
    assert_eq!(status(&client.answer().unwrap()), 503, "it was never sent on");
    scene.serves_only_another(&server, "its time was over");
}

#[test]
fn commands_sent_at_once_are_all_answered_in_their_order_and_in_their_time() {
    let server = Peer::new(|_, _| raw_reply(SERVED));
    let gateway = knowing(server.address, &wide_settings());
    let mut client = gateway.client();
    let count = 200;
    let all: String = (0..count)
        .map(|number| numbered(&rpc(["read", "submit", "verify"][number % 3], 10_000), number))
        .collect();
    client.send(&all);
    for number in 0..count {
        let got = client.answer().unwrap_or_else(|| panic!("command {number} has no answer"));
        assert_eq!(status(&got), 200, "command {number}: {got}");
    }
}

#[test]
fn commands_that_wait_behind_one_whose_server_says_nothing_are_answered_when_their_time_is_up() {
    let server = silent();
    let gateway = knowing(server.address, &wide_settings());
    let mut client = gateway.client();
    let count = 5;
    let all: String = (0..count).map(|number| numbered(&rpc("read", 1500), number)).collect();
    let sent = Instant::now();
    client.send(&all);
    for number in 0..count {
        assert!(client.answer().is_some(), "command {number} has no answer");
    }
    // Half a second later a request is lost; were the time of each counted from its turn, it would be 1.5 s for each.
    assert!(sent.elapsed() < Duration::from_millis(2000), "{:?}", sent.elapsed());
}

#[test]
fn a_message_that_came_while_the_process_stood_still_has_its_time_from_then() {
    let (server, discovery) = (Peer::new(|_, _| raw_reply(SERVED)), watch());
    let gateway = under(&discovery, &[entry("s0", server.address, "ready")], &patient_settings());
    let (held_up, remaining) = (Duration::from_millis(500), 2900);
    // The time of the hold-up within the gateway's own rounds is chance, so several.
    for id in 0..5 {
        let mut client = gateway.client();
        gateway.wait_until_processed();
        gateway.pause();
        client.send(&numbered(&rpc("verify", remaining), id));
        std::thread::sleep(held_up);
        gateway.signal("-CONT");
        assert_eq!(client.answer().map(|got| status(&got)), Some(200));
        let told = remaining_ms_header(&server.next().1);
        let left = remaining - held_up.as_millis() as u64;
        assert!(told <= left + 30, "{told} ms told, {left} left");
    }
}
