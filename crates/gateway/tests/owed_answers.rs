//! An answer is owed to a client until its last byte is out: whatever ends connections (room for others, a shutdown, a
//! reload), none is ended with an answer still waiting in its buffer.

use standins::scripted::{
    Client, Peer, Program, answer, entry, list, remaining_ms_header, rpc, status, with_id,
};
use std::time::Duration;

mod support;
use support::{patient_settings, under, watch};

/// How many descriptors a gateway is given here, and how many clients it takes with that, the spare ones among them.
const SOCKETS: &str = "\"limits\":{\"sockets\":64},";
const CLIENTS: usize = 24;
/// Accepting is tried again within this time where there was no room.
const ACCEPT_AGAIN: Duration = Duration::from_millis(30);
/// A command that has not come through to the server by then does not.
const STUCK: Duration = Duration::from_millis(500);

const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

/// A server that takes RPCs and answers only when the test does.
fn silent_server() -> Peer {
    Peer::new(|_, _| (Vec::new(), false))
}

/// A gateway with few descriptors.
fn small(discovery: &Peer, server: &Peer) -> Program {
    let known = list(3, true, &[entry("s0", server.address, "ready")]);
    let more = format!("{SOCKETS}\"known\":{known},");
    let gateway = Program::start(support::BIN, discovery.address, &more, &patient_settings());
    assert!(discovery.next().1.contains("from=3"));
    gateway
}

/// Takes all descriptors for clients but one with connections that stand in the middle of a message.
fn crowd(gateway: &Program) -> Vec<Client> {
    let half = rpc("verify", 20_000).replace("Host:", "Expect: 100-continue\r\nHost:");
    let half = half.strip_suffix("body").expect("a message with a body").to_string();
    let others = (1..CLIENTS).map(|_| {
        let mut other = gateway.client();
        assert_eq!(status(&other.ask(&half)), 100, "it is taken, and its message is not whole");
        other
    });
    others.collect()
}

#[test]
fn a_connection_whose_answer_is_not_out_does_not_give_way_to_a_new_one() {
    let (server, discovery) = (silent_server(), watch());
    let gateway = small(&discovery, &server);
    let mut client = gateway.client();
    client.send(&rpc("read", 20_000));
    assert_eq!(server.next().0, 0);
    let others = crowd(&gateway);
    // There is no room for it, so it is tried again on a timer; in one turn the answer comes and the timer is due.
    let newcomer = gateway.client();
    let turn = gateway.hold_turn(|| {
        server.write(0, ANSWER);
        std::thread::sleep(ACCEPT_AGAIN); // the timer's own time
    });
    turn.resume();
    assert_eq!(client.answer().map(|got| status(&got)), Some(200), "{:#?}", gateway.new_lines());
    drop((newcomer, others));
}

/// The body of a long answer, and so many of them that no socket holds them all.
const LONG: usize = 60 << 10;
const MANY: usize = 200;

/// Sends one command after another and reads no answer, until one does not get through or so many have; how many have.
fn asked_without_reading(gateway: &Program, server: &Peer, most: usize) -> (Client, usize) {
    let mut client = gateway.client();
    let mut served = 0;
    while served < most {
        client.send(&with_id(&rpc("read", 20_000), served as u64));
        match server.next_within(STUCK) {
            Some(_) => served += 1,
            None => break,
        }
    }
    (client, served)
}

#[test]
fn a_client_that_reads_slowly_does_not_give_way_before_it_has_its_answers() {
    let body = "y".repeat(LONG);
    let (server, discovery) = (Peer::new(move |_, _| answer(200, "", &body)), watch());
    let gateway = small(&discovery, &server);
    // Another client shows after how many answers that nobody reads the next command does not get through.
    let stuck_after = asked_without_reading(&gateway, &server, MANY).1;
    assert!(stuck_after < MANY, "all {MANY} answers found room in the sockets");
    let (mut client, served) = asked_without_reading(&gateway, &server, stuck_after);
    let others = crowd(&gateway);
    let newcomers: Vec<Client> = (0..2).map(|_| gateway.client()).collect();
    std::thread::sleep(ACCEPT_AGAIN); // room was looked for by now
    let got = (0..served).map_while(|_| client.answer()).filter(|got| got.ends_with('y')).count();
    assert_eq!(got, served, "whole answers; {:#?}", gateway.new_lines());
    drop((newcomers, others));
}

#[test]
fn a_roomy_gateway_gives_a_slow_reader_all_answers() {
    let body = "y".repeat(LONG);
    let (server, discovery) = (Peer::new(move |_, _| answer(200, "", &body)), watch());
    let gateway = under(&discovery, &[entry("s0", server.address, "ready")], &patient_settings());
    let mut client = gateway.client();
    for id in 0..3 {
        client.send(&with_id(&rpc("read", 20_000), id as u64));
    }
    let got = (0..3).map_while(|_| client.answer()).filter(|got| got.ends_with('y')).count();
    assert_eq!(got, 3);
}

#[test]
fn what_waited_for_a_place_has_its_time_from_when_it_came() {
    let (server, discovery) = (silent_server(), watch());
    let gateway = small(&discovery, &server);
    let mut others = crowd(&gateway);
    others.push(gateway.client()); // all places are taken
    others.last_mut().expect("a client").send("GET /api/");
    std::thread::sleep(ACCEPT_AGAIN); // it is taken by now
    let (waits, remaining) = (Duration::from_millis(600), 2900);
    let mut client = gateway.client();
    client.send(&rpc("verify", remaining));
    std::thread::sleep(waits); // for a place
    others.clear();
    let told = remaining_ms_header(&server.next().1);
    let left = remaining - waits.as_millis() as u64;
    assert!(told <= left + 50, "{told} ms told, {left} left");
}

#[test]
fn what_waited_for_a_place_for_longer_than_its_time_is_refused_at_once() {
    let (server, discovery) = (silent_server(), watch());
    let gateway = small(&discovery, &server);
    let mut others = crowd(&gateway);
    others.push(gateway.client());
    others.last_mut().expect("a client").send("GET /api/");
    std::thread::sleep(ACCEPT_AGAIN); // it is taken by now
    let mut client = gateway.client();
    client.send(&rpc("read", 300));
    std::thread::sleep(Duration::from_millis(400)); // its whole time, for a place
    others.clear();
    assert_eq!(client.answer().map(|got| status(&got)), Some(503));
    assert!(server.nothing_received());
}

/// Processor time that a process has used.
fn processor_time(gateway: &Program) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{}/stat", gateway.child.id())).unwrap();
    let fields: Vec<&str> = text.rsplit(')').next().expect("fields").split_whitespace().collect();
    let ticks: u64 = fields[11..13].iter().map(|field| field.parse::<u64>().unwrap()).sum();
    Duration::from_millis(10 * ticks) // a hundred a second
}

#[test]
fn many_that_wait_for_a_place_cost_no_more_than_one() {
    let (server, discovery) = (silent_server(), watch());
    let gateway = small(&discovery, &server);
    let mut waiting: Vec<Client> = (0..CLIENTS).map(|_| gateway.client()).collect();
    // All places are taken by RPCs that their server does not answer, so nobody gives way.
    for (id, client) in waiting.iter_mut().enumerate() {
        client.send(&with_id(&rpc("verify", 10_000), id as u64));
    }
    gateway.wait_for_line("\"why\":\"no-room\""); // the spare places answer so, and take the next
    let newcomers: Vec<Client> = (0..300)
        .map(|_| {
            std::thread::sleep(Duration::from_millis(1)); // so that each is an event of its own
            gateway.client()
        })
        .collect();
    let (before, span) = (processor_time(&gateway), Duration::from_secs(1));
    std::thread::sleep(span);
    let used = processor_time(&gateway) - before;
    assert!(used < span / 4, "{used:?} of processor time in {span:?}");
    drop(newcomers);
}

#[test]
fn what_waits_for_a_place_as_the_process_stops_is_answered_before_it_can_be_killed() {
    let (server, discovery) = (silent_server(), watch());
    let gateway = small(&discovery, &server);
    let mut waiting: Vec<Client> = (0..CLIENTS).map(|_| gateway.client()).collect();
    // Places are taken by RPCs that their server does not answer, and the spare ones by halves of messages.
    let (rpcs, halves) = waiting.split_at_mut(CLIENTS - 2);
    for (id, client) in rpcs.iter_mut().enumerate() {
        client.send(&with_id(&rpc("verify", 10_000), id as u64));
    }
    halves.iter_mut().for_each(|client| client.send("GET /api/"));
    while server.next_within(STUCK).is_some() {} // all that get through have
    let mut newcomers: Vec<Client> = (0..10).map(|_| gateway.client()).collect();
    for (id, client) in newcomers.iter_mut().enumerate() {
        client.send(&with_id(&rpc("verify", 10_000), 100 + id as u64));
    }
    gateway.signal("-TERM");
    let killed_after = Duration::from_millis(3700); // the longest deadline of these settings, 3 s, and 0.7 s
    let killed_at = std::time::Instant::now() + killed_after;
    for (id, client) in newcomers.iter_mut().enumerate() {
        let left = killed_at.saturating_duration_since(std::time::Instant::now());
        let got = client.answer_within(left).map(|got| status(&got));
        assert!(got.is_some(), "newcomer {id} has no answer; {:#?}", gateway.new_lines());
    }
}

#[test]
fn what_waits_for_a_place_until_the_process_ends_is_refused_then() {
    let (server, discovery) = (silent_server(), watch());
    let known = list(3, true, &[entry("s0", server.address, "ready")]);
    let more = format!("{SOCKETS}\"known\":{known},");
    // SIGKILL comes 0.9 s after SIGTERM, which leaves no time to give everybody a place one after another.
    let told = patient_settings().replace("\"deadline\":3.0", "\"deadline\":0.2");
    let gateway = Program::start(support::BIN, discovery.address, &more, &told);
    assert!(discovery.next().1.contains("from=3"));
    let mut waiting: Vec<Client> = (0..CLIENTS).map(|_| gateway.client()).collect();
    waiting.iter_mut().for_each(|client| client.send("GET /api/"));
    std::thread::sleep(ACCEPT_AGAIN); // they are taken by now
    gateway.signal("-TERM");
    let killed_at = std::time::Instant::now() + Duration::from_millis(900);
    let mut newcomers: Vec<Client> = (0..100).map(|_| gateway.client()).collect();
    for (id, client) in newcomers.iter_mut().enumerate() {
        client.send(&with_id(&rpc("verify", 5_000), 100 + id as u64));
    }
    for (id, client) in newcomers.iter_mut().enumerate() {
        let left = killed_at.saturating_duration_since(std::time::Instant::now());
        let got = client.answer_within(left).map(|got| status(&got));
        assert!(got.is_some(), "newcomer {id} has no answer; {:#?}", gateway.new_lines());
    }
}
