//! No client connection is closed while an answer to it is pending or still in its output buffer: not to make room for
//! new connections, not on shutdown, not on a reload. Requests that wait for a free connection slot keep their
//! deadlines.

use standins::scripted::{
    Client, Peer, Program, answer, entry, list, remaining_ms_header, rpc, status, with_id,
};
use std::time::Duration;

mod support;
use support::{discovery_peer, long_timeout_settings, start_gateway};

/// The descriptor limit of the gateway in these tests, and the number of client connections that it accepts with it,
/// including the spare ones.
const DESCRIPTOR_LIMIT: &str = "\"limits\":{\"sockets\":64},";
const MAX_CLIENTS: usize = 24;
/// The connections of these that are not spare ones.
const MAX_REGULAR_CLIENTS: u64 = 22;
/// Within this time, the gateway tries again to accept after it had no free connection slot.
const ACCEPT_RETRY_WITHIN: Duration = Duration::from_millis(30);
/// A command that has not reached the server within this time is blocked.
const BLOCKED_AFTER: Duration = Duration::from_millis(500);

const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

/// A server that reads RPCs and sends only what the test tells it to.
fn silent_server() -> Peer {
    Peer::new(|_, _| (Vec::new(), false))
}

/// Starts a gateway with few descriptors.
fn start_with_few_descriptors(discovery: &Peer, server: &Peer) -> Program {
    let known = list(3, true, &[entry("s0", server.address, "ready")]);
    let more = format!("{DESCRIPTOR_LIMIT}\"known\":{known},");
    let gateway = Program::start(support::BIN, discovery.address, &more, &long_timeout_settings());
    assert!(discovery.next().1.contains("from=3"));
    gateway
}

/// Opens connections of which each sends its message before the next one is opened: a gateway without free slots closes
/// connections that have been silent for 10 ms, and on a busy machine it can take longer to open all of them.
fn open_clients(gateway: &Program, count: usize, message: impl Fn(u64) -> String) -> Vec<Client> {
    let connect_and_send = |id| {
        let mut client = gateway.client();
        client.send(&message(id));
        client
    };
    (0..count as u64).map(connect_and_send).collect()
}

/// Fills all client connection slots but one with connections that have sent an incomplete message.
fn fill_slots(gateway: &Program) -> Vec<Client> {
    let incomplete = rpc("verify", 20_000).replace("Host:", "Expect: 100-continue\r\nHost:");
    let incomplete = incomplete.strip_suffix("body").expect("a message with a body").to_string();
    let others = (1..MAX_CLIENTS).map(|_| {
        let mut other = gateway.client();
        assert_eq!(
            status(&other.ask(&incomplete)),
            100,
            "the connection is accepted and its message is incomplete"
        );
        other
    });
    others.collect()
}

#[test]
fn connection_with_a_pending_answer_is_not_closed_for_a_new_client() {
    let (server, discovery) = (silent_server(), discovery_peer());
    let gateway = start_with_few_descriptors(&discovery, &server);
    let mut client = gateway.client();
    client.send(&rpc("read", 20_000));
    assert_eq!(server.next().0, 0);
    let others = fill_slots(&gateway);
    // There is no slot for the new connection, so the gateway tries again on a timer. The answer arrives and the timer
    // comes due in the same turn.
    let new_client = gateway.client();
    let turn = gateway.hold_turn(|| {
        server.write(0, ANSWER);
        std::thread::sleep(ACCEPT_RETRY_WITHIN); // until the timer is due
    });
    turn.resume();
    assert_eq!(client.answer().map(|got| status(&got)), Some(200), "{:#?}", gateway.new_lines());
    drop((new_client, others));
}

/// The length of a long answer's body, and a number of such answers that exceeds the socket buffers.
const LONG_BODY: usize = 60 << 10;
const MANY_ANSWERS: usize = 200;

/// Sends commands one after another without reading answers, until one does not reach the server or `limit` have;
/// returns the connection and how many have.
fn send_without_reading(gateway: &Program, server: &Peer, limit: usize) -> (Client, usize) {
    let mut client = gateway.client();
    let mut served = 0;
    while served < limit {
        client.send(&with_id(&rpc("read", 20_000), served as u64));
        match server.next_within(BLOCKED_AFTER) {
            Some(_) => served += 1,
            None => break,
        }
    }
    (client, served)
}

#[test]
fn slow_reader_is_not_disconnected_for_a_new_client_before_it_has_its_answers() {
    let body = "y".repeat(LONG_BODY);
    let (server, discovery) = (Peer::new(move |_, _| answer(200, "", &body)), discovery_peer());
    let gateway = start_with_few_descriptors(&discovery, &server);
    // Measure with another client after how many unread answers the next command is blocked.
    let blocked_after = send_without_reading(&gateway, &server, MANY_ANSWERS).1;
    assert!(blocked_after < MANY_ANSWERS, "all {MANY_ANSWERS} answers fit into the socket buffers");
    let (mut client, served) = send_without_reading(&gateway, &server, blocked_after);
    let others = fill_slots(&gateway);
    let new_clients: Vec<Client> = (0..2).map(|_| gateway.client()).collect();
    std::thread::sleep(ACCEPT_RETRY_WITHIN); // the gateway has looked for a free slot by now
    let got = (0..served).map_while(|_| client.answer()).filter(|got| got.ends_with('y')).count();
    assert_eq!(got, served, "number of whole answers; {:#?}", gateway.new_lines());
    drop((new_clients, others));
}

#[test]
fn gateway_with_enough_descriptors_gives_a_slow_reader_all_answers() {
    let body = "y".repeat(LONG_BODY);
    let (server, discovery) = (Peer::new(move |_, _| answer(200, "", &body)), discovery_peer());
    let gateway =
        start_gateway(&discovery, &[entry("s0", server.address, "ready")], &long_timeout_settings());
    let mut client = gateway.client();
    for id in 0..3 {
        client.send(&with_id(&rpc("read", 20_000), id as u64));
    }
    let got = (0..3).map_while(|_| client.answer()).filter(|got| got.ends_with('y')).count();
    assert_eq!(got, 3);
}

#[test]
fn deadline_of_a_request_that_waited_for_a_slot_starts_at_its_arrival() {
    let (server, discovery) = (silent_server(), discovery_peer());
    let gateway = start_with_few_descriptors(&discovery, &server);
    let mut others = fill_slots(&gateway);
    others.push(gateway.client()); // all slots are taken
    others.last_mut().expect("a client").send("GET /api/");
    std::thread::sleep(ACCEPT_RETRY_WITHIN); // it is accepted by now
    let (waited, remaining) = (Duration::from_millis(600), 2900);
    let mut client = gateway.client();
    client.send(&rpc("verify", remaining));
    std::thread::sleep(waited); // for a slot
    // All slots become free within one turn. Otherwise the gateway may accept the client on a spare slot after the first
    // close, and reject its request before it sees the others.
    gateway.hold_turn(|| others.clear()).resume();
    let wait_ms = remaining_ms_header(&server.next().1);
    let left_ms = remaining - waited.as_millis() as u64;
    assert!(wait_ms <= left_ms + 50, "{wait_ms} ms sent to the server, {left_ms} ms left");
}

#[test]
fn request_that_waited_for_a_slot_beyond_its_deadline_is_rejected_at_once() {
    let (server, discovery) = (silent_server(), discovery_peer());
    let gateway = start_with_few_descriptors(&discovery, &server);
    let mut others = fill_slots(&gateway);
    others.push(gateway.client());
    others.last_mut().expect("a client").send("GET /api/");
    std::thread::sleep(ACCEPT_RETRY_WITHIN); // it is accepted by now
    let mut client = gateway.client();
    client.send(&rpc("read", 300));
    std::thread::sleep(Duration::from_millis(400)); // its whole deadline, waiting for a slot
    others.clear();
    assert_eq!(client.answer().map(|got| status(&got)), Some(503));
    assert!(server.nothing_received());
}

/// The processor time that the gateway process has used.
fn processor_time(gateway: &Program) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{}/stat", gateway.child.id())).unwrap();
    let fields: Vec<&str> = text.rsplit(')').next().expect("fields").split_whitespace().collect();
    let ticks: u64 = fields[11..13].iter().map(|field| field.parse::<u64>().unwrap()).sum();
    Duration::from_millis(10 * ticks) // 100 ticks per second
}

#[test]
fn many_connections_waiting_for_a_slot_use_little_processor_time() {
    let (server, discovery) = (silent_server(), discovery_peer());
    let gateway = start_with_few_descriptors(&discovery, &server);
    // All slots are taken by RPCs that their server does not answer, so no connection can be closed to make room.
    let _clients = open_clients(&gateway, MAX_CLIENTS, |id| with_id(&rpc("verify", 10_000), id));
    gateway.wait_for_line("\"why\":\"no-room\""); // the spare slots reject their request with this and accept the next
    let new_clients: Vec<Client> = (0..300)
        .map(|_| {
            std::thread::sleep(Duration::from_millis(1)); // so that each connection is a separate event
            gateway.client()
        })
        .collect();
    let (before, span) = (processor_time(&gateway), Duration::from_secs(1));
    std::thread::sleep(span);
    let used = processor_time(&gateway) - before;
    assert!(used < span / 4, "{used:?} of processor time in {span:?}");
    drop(new_clients);
}

#[test]
fn request_waiting_for_a_slot_during_shutdown_is_answered_before_the_process_can_be_killed() {
    let (server, discovery) = (silent_server(), discovery_peer());
    let gateway = start_with_few_descriptors(&discovery, &server);
    // The slots are taken by RPCs that their server does not answer, and the spare ones by incomplete messages.
    let _clients = open_clients(&gateway, MAX_CLIENTS, |id| match id {
        0..MAX_REGULAR_CLIENTS => with_id(&rpc("verify", 10_000), id),
        _ => "GET /api/".to_string(),
    });
    while server.next_within(BLOCKED_AFTER).is_some() {} // all that can reach the server have
    let waiting_rpc = |id| with_id(&rpc("verify", 10_000), 100 + id);
    let mut new_clients = open_clients(&gateway, 10, waiting_rpc);
    gateway.signal("-TERM");
    let killed_after = Duration::from_millis(3700); // the longest deadline of these settings, 3 s, plus 0.7 s
    let killed_at = std::time::Instant::now() + killed_after;
    for (id, client) in new_clients.iter_mut().enumerate() {
        let left = killed_at.saturating_duration_since(std::time::Instant::now());
        let got = client.answer_within(left).map(|got| status(&got));
        assert!(got.is_some(), "new connection {id} has no answer; {:#?}", gateway.new_lines());
    }
}

#[test]
fn request_waiting_for_a_slot_until_the_process_ends_is_answered_before_it_ends() {
    let (server, discovery) = (silent_server(), discovery_peer());
    let known = list(3, true, &[entry("s0", server.address, "ready")]);
    let more = format!("{DESCRIPTOR_LIMIT}\"known\":{known},");
    // SIGKILL comes 0.9 s after SIGTERM, which is too short to give every connection a slot in turn.
    let settings = long_timeout_settings().replace("\"deadline\":3.0", "\"deadline\":0.2");
    let gateway = Program::start(support::BIN, discovery.address, &more, &settings);
    assert!(discovery.next().1.contains("from=3"));
    let _clients = open_clients(&gateway, MAX_CLIENTS, |_| "GET /api/".to_string());
    std::thread::sleep(ACCEPT_RETRY_WITHIN); // they are accepted by now
    gateway.signal("-TERM");
    let killed_at = std::time::Instant::now() + Duration::from_millis(900);
    let waiting_rpc = |id| with_id(&rpc("verify", 5_000), 100 + id);
    let mut new_clients = open_clients(&gateway, 100, waiting_rpc);
    for (id, client) in new_clients.iter_mut().enumerate() {
        let left = killed_at.saturating_duration_since(std::time::Instant::now());
        let got = client.answer_within(left).map(|got| status(&got));
        assert!(got.is_some(), "new connection {id} has no answer; {:#?}", gateway.new_lines());
    }
}
