//! The gateway program over loopback connections: one short test for each failure that has occurred.

use standins::scripted::{
    self as fake, Peer, Program, WATCH_HEAD, answer, chunk, entry, list, raw_reply, refusing_address,
    remaining_ms_header, rpc, settings, status, with_id,
};
use std::process::Command;
use std::time::{Duration, Instant};

const BIN: &str = env!("CARGO_BIN_EXE_martenramp");

/// Starts a gateway that knows these servers, with discovery and the counter down.
fn start_with_known_servers(servers: &[&Peer]) -> Program {
    let entries: Vec<String> = servers
        .iter()
        .enumerate()
        .map(|(at, server)| entry(&format!("s{at}"), server.address, "ready"))
        .collect();
    let more = format!("\"counter\":\"{}\",\"known\":{},", refusing_address(), list(3, true, &entries));
    Program::start(BIN, refusing_address(), &more, &settings(""))
}

#[test]
fn rpc_and_response_are_forwarded_unchanged_with_discovery_and_the_counter_down() {
    let server =
        Peer::new(|_, _| answer(200, "Content-Type: text/html\r\nX-Settled: 3\r\n", "<b>\r\n\r\nbody"));
    let gateway = start_with_known_servers(&[&server]);
    let mut client = gateway.client();
    let got = client.ask(&rpc("submit", 2000));
    assert!(status(&got) == 200 && got.ends_with("\r\n\r\n<b>\r\n\r\nbody"));
    assert!(got.contains("Content-Type: text/html") && !got.contains("X-Settled"));
    let (_, forwarded) = server.next();
    assert!(
        forwarded.starts_with("POST /api/00000000b4d65521?q=1 HTTP/1.1\r\n")
            && forwarded.ends_with("\r\n\r\nbody")
    );
    assert!(
        forwarded.contains("X-Txn: 0123456789abcdef\r\n") && forwarded.contains("Idempotency-Key: k1\r\n")
    );
    // For a non-idempotent RPC, the server is sent the full time until the deadline, slightly less than the client
    // waits.
    assert_eq!(status(&client.ask(&rpc("verify", 2000))), 200);
    assert!(remaining_ms_header(&server.next().1) <= 1995);
    // Both connections are reused, the server's once it has rested after its last answer.
    let answered = Instant::now();
    while answered.elapsed() < Duration::from_nanos(gateway::late_data::MIN_REST) {
        gateway.wait_until_processed();
    }
    assert_eq!(status(&client.ask(&rpc("read", 2000))), 200);
    assert_eq!(server.next().0, 0);
}

#[test]
fn gateway_is_ready_only_once_it_has_a_list() {
    let server = Peer::new(|_, _| answer(200, "", "late"));
    let snapshot = list(5, true, &[entry("s0", server.address, "ready")]);
    let discovery = Peer::new(|_, _| raw_reply(WATCH_HEAD));
    let gateway = Program::start(BIN, discovery.address, "", &settings(""));
    let mut client = gateway.client();
    assert_eq!(status(&client.ask("GET /-/ready HTTP/1.1\r\n\r\n")), 503);
    assert_eq!(status(&client.ask("GET /-/healthy HTTP/1.1\r\n\r\n")), 200);
    assert!(discovery.next().1.starts_with("GET /api/targets?watch=1&from=0 "));
    discovery.write(0, &chunk(&snapshot));
    while status(&client.ask("GET /-/ready HTTP/1.1\r\n\r\n")) != 200 {}
    assert_eq!(status(&client.ask(&rpc("read", 2000))), 200);
}

#[test]
fn closed_or_malformed_watch_is_requested_again_and_the_list_is_kept() {
    let server = Peer::new(|_, _| answer(200, "", "here"));
    let moved = Peer::new(|_, _| answer(200, "", "there"));
    let snapshot = list(5, true, &[entry("s0", server.address, "ready")]);
    let first = format!("{WATCH_HEAD}{}", chunk(&snapshot));
    let discovery =
        Peer::new(move |number, _| if number == 0 { raw_reply(&first) } else { raw_reply(WATCH_HEAD) });
    let gateway = Program::start(BIN, discovery.address, "", &settings(""));
    assert!(discovery.next().1.contains("from=0"));
    discovery.write(0, &chunk("{\"index\":6,\"snap"));
    assert!(discovery.next().1.contains("from=5"), "after a malformed line");
    assert!(gateway.wait_for_line("\"garbled-object\"").contains("\"list\""));
    discovery.close(1);
    assert!(discovery.next().1.contains("from=5"), "after the connection was closed");
    let mut client = gateway.client();
    assert!(client.ask(&rpc("read", 2000)).ends_with("here"));
    // The same server at another address: the connection to the old address is no longer used.
    discovery.write(2, &chunk(&list(7, false, &[entry("s0", moved.address, "ready")])));
    gateway.wait_for_line("\"server-moved\"");
    assert!(client.ask(&rpc("read", 2000)).ends_with("there"));
}

#[test]
fn rpc_that_may_have_run_is_aborted_and_one_that_never_ran_is_retried_elsewhere() {
    // The server closes after the whole message without an answer: a non-idempotent RPC may have run.
    let closing = Peer::new(|_, _| (Vec::new(), true));
    let gateway = start_with_known_servers(&[&closing]);
    assert_eq!(status(&gateway.client().ask(&rpc("verify", 2000))), 502);
    assert_eq!((closing.next().0, closing.try_next()), (0, None), "no layer of the gateway sends it again");
    // Rejected by a server or its connection refused: it never ran, and is retried on the other server.
    let full = Peer::new(|_, _| answer(503, "X-Turned-Away: 1\r\n", ""));
    let good = Peer::new(|_, _| answer(200, "", "good"));
    let gone = refusing_address();
    let known =
        [entry("a", full.address, "ready"), entry("b", good.address, "ready"), entry("c", gone, "ready")];
    let more = format!("\"known\":{},", list(3, true, &known));
    let settings = settings("").replace("\"attemptsCap\":2", "\"attemptsCap\":3");
    let gateway = Program::start(BIN, refusing_address(), &more, &settings);
    for _ in 0..8 {
        assert!(gateway.client().ask(&rpc("verify", 2000)).ends_with("good"));
    }
}

#[test]
fn truncated_response_is_not_forwarded() {
    let truncating = Peer::new(|_, _| (b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf".to_vec(), true));
    let gateway = start_with_known_servers(&[&truncating]);
    let got = gateway.client().ask(&rpc("verify", 2000));
    assert!(status(&got) == 502 && !got.contains("half"));
}

#[test]
fn attempt_on_a_silent_server_times_out_before_the_client_does() {
    let silent = Peer::new(|_, _| (Vec::new(), false));
    let gateway = start_with_known_servers(&[&silent]);
    let started_at = std::time::Instant::now();
    assert_eq!(status(&gateway.client().ask(&rpc("verify", 300))), 504);
    assert!(started_at.elapsed().as_millis() < 2500, "earlier than the three seconds of its method");
    gateway.wait_for_line("call-out-timed-out"); // its connection is closed, so that the server can stop working on it
}

#[test]
fn response_for_a_client_that_left_is_discarded_and_its_connection_is_kept() {
    let is_silent = |message: &str| message.starts_with("POST");
    let server = Peer::new(move |_, m| if is_silent(m) { (Vec::new(), false) } else { answer(200, "", "x") });
    let gateway = start_with_known_servers(&[&server]);
    let mut client = gateway.client();
    client.send(&rpc("verify", 2000));
    assert_eq!(server.next().0, 0);
    drop(client);
    assert!(gateway.wait_for_line("\"left-before-answer\"").contains("\"client\""));
    server.write(0, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold");
    for id in 1..=5 {
        let got = gateway.client().ask(&with_id(&rpc("read", 2000), id));
        assert!(got.ends_with('x'), "never the answer to another RPC");
    }
}

#[test]
fn malformed_messages_get_a_4xx_other_than_429_and_are_disconnected() {
    let server = Peer::new(|_, _| answer(200, "", "ok"));
    let gateway = start_with_known_servers(&[&server]);
    let good = rpc("submit", 2000);
    let bad = [
        (400, "nonsense\r\n\r\n".to_string()),
        (400, good.replace("X-Lane: submit", "X-Lane: other")),
        (400, good.replace("X-Contract: team", "X-Contract: none")),
        (400, good.replace("X-Txn: 0123456789abcdef\r\n", "")),
        (400, good.replace("Idempotency-Key: k1\r\n", "")),
        (400, good.replace("X-Remaining-Ms: 2000", "X-Remaining-Ms: soon")),
        (400, good.replace("units=2", "units=NaN")),
        (400, good.replace("units=2", "units=1e12")),
        (400, good.replace("units=2", "units=-2")),
        (400, good.replace("units=2", "units=2,units=3")),
        (400, good.replace("spread=1", "spread=3")),
        (400, good.replace("first=0", "first=2")),
        (400, good.replace("X-Lane", "X-Txn: 2\r\nX-Lane")),
        (405, good.replace("POST", "GET")),
        (400, good.replace("Content-Length: 4", "Content-Length: 4\r\nContent-Length: 5")),
        (400, good.replace("Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked")),
        (404, good.replace("b4d65521", "b4d6552x")),
        (404, "GET /-/other HTTP/1.1\r\n\r\n".to_string()),
        (405, good.replace("POST", "PUT")),
        (411, good.replace("Content-Length: 4", "Transfer-Encoding: chunked")),
        (413, good.replace("Content-Length: 4", "Content-Length: 65537")),
        (431, good.replace("Host: service.internal", &format!("Host: {}", "x".repeat(17 << 10)))),
    ];
    for (expected, message) in bad {
        let mut client = gateway.client();
        let got = client.ask(&message);
        assert!(status(&got) == expected && got.contains("Connection: close"), "{message}: {got}");
        assert!(client.is_closed());
    }
    assert_eq!(server.try_next(), None);
    // A body of the largest accepted size is forwarded.
    let body = "x".repeat(64 << 10);
    let large =
        good.replace("Content-Length: 4\r\n\r\nbody", &format!("Content-Length: 65536\r\n\r\n{body}"));
    assert_eq!(status(&gateway.client().ask(&large)), 200);
    assert!(server.next().1.ends_with(&body));
}

#[test]
fn id_of_an_open_rpc_is_not_accepted_twice() {
    let server = Peer::new(|_, _| (Vec::new(), false));
    let gateway = start_with_known_servers(&[&server]);
    let mut client = gateway.client();
    client.send(&rpc("verify", 2000));
    assert_eq!(server.next().0, 0);
    assert_eq!(status(&gateway.client().ask(&rpc("read", 2000))), 409);
    assert_eq!(server.try_next(), None);
    server.write(0, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
    assert!(client.answer().unwrap().ends_with("own"));
    client.send(&rpc("verify", 2000));
    assert_eq!(server.next().0, 0, "the ID can be used again after the answer");
}

#[test]
fn clients_that_send_nothing_or_never_end_a_message_are_closed_within_3_s_and_delay_nobody() {
    let server = Peer::new(|_, _| answer(200, "", "ok"));
    let gateway = start_with_known_servers(&[&server]);
    let started_at = std::time::Instant::now();
    let (mut silent, mut slow, mut endless) = (gateway.client(), gateway.client(), gateway.client());
    slow.send("GET /api/");
    // This client goes on sending as fast as it can long after it has been rejected.
    let address = gateway.address;
    let sender = std::thread::spawn(move || {
        let mut client = fake::Client::new(address);
        client.try_send("POST /api/00000000b4d65521 HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
        let piece = "x".repeat(1 << 20);
        (0..60).for_each(|_| client.try_send(&piece));
    });
    endless.send(&format!("GET / HTTP/1.1\r\nX: {}", "x".repeat(17 << 10)));
    assert_eq!(status(&endless.answer().unwrap()), 431);
    for _ in 0..20 {
        assert_eq!(status(&gateway.client().ask(&rpc("read", 2000))), 200);
    }
    assert!(silent.is_closed());
    assert_eq!(status(&slow.answer().unwrap()), 408);
    sender.join().unwrap();
    assert!(started_at.elapsed().as_millis() < 3000);
}

#[test]
fn malformed_input_from_clients_and_servers_does_not_stop_the_gateway() {
    let corrupt = |text: &str, seed: u64| {
        let (mut rng, mut bytes) = (fastrand::Rng::with_seed(seed), text.as_bytes().to_vec());
        for _ in 0..rng.usize(1..4) {
            let at = rng.usize(..bytes.len());
            bytes[at] = rng.u8(b' '..127);
        }
        String::from_utf8(bytes).unwrap()
    };
    let number = std::sync::atomic::AtomicU64::new(0);
    let server = Peer::new(move |_, message| {
        let (good, _) = answer(200, "X-Settled: 2\r\n", "body");
        let seed = number.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        // A deduplicated RPC gets a malformed response, whose connection is closed so that it ends.
        let corrupted = message.starts_with("POST");
        let text = String::from_utf8(good).unwrap();
        (if corrupted { corrupt(&text, seed) } else { text }.into_bytes(), corrupted)
    });
    let gateway = start_with_known_servers(&[&server]);
    for seed in 0..300 {
        let mut client = gateway.client();
        client.try_send(&corrupt(&rpc("submit", 300), seed));
    }
    for _ in 0..20 {
        assert!(
            status(&gateway.client().ask(&rpc("submit", 300))) < 600,
            "a response with a valid status is expected"
        );
    }
    assert_eq!(status(&gateway.client().ask("GET /-/healthy HTTP/1.1\r\n\r\n")), 200);
}

#[test]
fn messages_that_arrive_in_pieces_or_together_get_one_answer_each() {
    let server = Peer::new(|_, message| answer(200, "", message.split(' ').next().unwrap()));
    let gateway = start_with_known_servers(&[&server]);
    let mut client = gateway.client();
    for piece in rpc("verify", 2000).as_bytes().chunks(40) {
        client.send(std::str::from_utf8(piece).unwrap());
    }
    client.send(&(rpc("read", 2000) + &rpc("verify", 2000)));
    let got: Vec<String> = (0..3).map(|_| client.answer().unwrap()).collect();
    assert!(got[0].ends_with("POST") && got[1].ends_with("GET") && got[2].ends_with("POST"));
}

#[test]
fn gateway_still_accepts_connections_answers_all_and_exits_with_0_on_sigterm() {
    let server = Peer::new(|number, _| if number == 0 { (Vec::new(), false) } else { answer(200, "", "on") });
    let mut gateway = start_with_known_servers(&[&server]);
    let mut held = gateway.client();
    held.send(&rpc("verify", 2900).replace("X-Txn: 0", "X-Txn: 1"));
    assert_eq!(server.next().0, 0);
    let mut idle = gateway.client();
    assert_eq!(status(&idle.ask("GET /-/ready HTTP/1.1\r\n\r\n")), 200);
    gateway.signal("-TERM");
    gateway.wait_for_line("\"stopping\"");
    let got = gateway.client().ask(&rpc("read", 2000));
    assert!(
        got.ends_with("on") && got.contains("Connection: close"),
        "a new connection after the signal is served"
    );
    assert_eq!(status(&gateway.client().ask("GET /-/ready HTTP/1.1\r\n\r\n")), 503);
    assert!(idle.is_closed(), "an idle connection is closed once no more new ones arrive");
    server.write(0, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nheld");
    assert!(held.answer().unwrap().ends_with("held"));
    drop(held);
    assert!(gateway.child.wait().unwrap().success());
}

#[test]
fn counter_is_called_and_its_totals_are_applied() {
    let server = Peer::new(|_, _| answer(200, "", "ok"));
    let counter =
        Peer::new(|_, call| raw_reply(if call == "PING" { "+PONG\r\n" } else { "$5\r\n990.5\r\n" }));
    let known = list(3, true, &[entry("s0", server.address, "ready")]);
    let more = format!("\"counter\":\"{}\",\"known\":{known},", counter.address);
    let settings = settings("\"extra\":{\"hasCounter\":true,\"countWait\":5.0,\"largest\":8},");
    let gateway = Program::start(BIN, refusing_address(), &more, &settings);
    // The customer is spread over two gateways: the counter is called before the first units are spent, and its total
    // leaves none.
    let request = rpc("verify", 300).replace("spread=1", "spread=2");
    assert_eq!(status(&gateway.client().ask(&request)), 429);
    let (_, call) = counter.next();
    let arguments: Vec<&str> = call.split(' ').collect();
    assert!(
        arguments[0] == "INCRTTL" && arguments[2] == "2" && arguments[3].parse::<u64>().unwrap() > 0,
        "{call}"
    );
    assert_eq!(server.try_next(), None);
}

#[test]
fn silent_counter_is_not_waited_for_beyond_its_timeout() {
    let server = Peer::new(|_, _| answer(200, "", "ok"));
    let counter = Peer::new(|_, _| (Vec::new(), false));
    let known = list(3, true, &[entry("s0", server.address, "ready")]);
    let more = format!("\"counter\":\"{}\",\"known\":{known},", counter.address);
    let settings = settings("\"extra\":{\"hasCounter\":true,\"countWait\":0.03,\"largest\":8},");
    let gateway = Program::start(BIN, refusing_address(), &more, &settings);
    let request = rpc("verify", 2000).replace("spread=1", "spread=2");
    assert_eq!(status(&gateway.client().ask(&request)), 200);
    assert!(counter.next().1.starts_with("INCRTTL "));
    gateway.wait_for_line("\"silent\""); // a counter connection that never answers is replaced eventually
}

#[test]
fn silent_watch_is_requested_again_and_idle_connections_close_before_the_server_would() {
    let server = Peer::new(|_, _| answer(200, "", "ok"));
    let discovery = Peer::new(|_, _| raw_reply(WATCH_HEAD));
    let known = list(3, true, &[entry("s0", server.address, "ready")]);
    let settings = settings("").replace("\"connIdle\":15.0", "\"connIdle\":0.5");
    let gateway = Program::start(BIN, discovery.address, &format!("\"known\":{known},"), &settings);
    assert!(discovery.next().1.contains("from=3"), "the configured list is used");
    let mut client = gateway.client();
    assert_eq!(status(&client.ask(&rpc("read", 2000))), 200);
    assert_eq!(server.next().0, 0);
    assert!(gateway.wait_for_line("\"idle\"").contains("\"server\""));
    assert_eq!(status(&client.ask(&rpc("read", 2000))), 200);
    assert_eq!(server.next().0, 1);
    gateway.wait_for_line("\"silent\"");
    assert!(discovery.next().1.contains("from=3"));
}

#[test]
fn idle_connections_are_closed_when_no_descriptor_is_left() {
    let server = Peer::new(|_, _| answer(200, "", "ok"));
    let known = list(3, true, &[entry("s0", server.address, "ready")]);
    let mut command = Command::new("sh");
    command.args(["-c", &format!("ulimit -n 40; exec {BIN} \"$@\""), "sh"]);
    let gateway =
        Program::run(&mut command, refusing_address(), &format!("\"known\":{known},"), &settings(""));
    let mut clients = Vec::new();
    for _ in 0..60 {
        let mut client = gateway.client();
        let got = client.ask(&rpc("read", 2000));
        assert!(matches!(status(&got), 200 | 503), "{got}");
        clients.push(client);
    }
    gateway.wait_for_line("\"made-room\"");
    // Clients that send nothing, or an incomplete message, keep their connections only for a limited time.
    clients.extend((0..40).map(|_| gateway.client()));
    clients.iter_mut().skip(80).for_each(|client| client.try_send("GET /api/"));
    let served = |_| gateway.client().try_ask(&rpc("read", 2000)).is_some_and(|got| status(&got) == 200);
    assert!((0..100_000).any(served));
}

#[test]
fn unsolicited_response_is_never_used_as_the_next_answer() {
    let server = Peer::new(|_, _| answer(200, "", "new"));
    let gateway = start_with_known_servers(&[&server]);
    let mut client = gateway.client();
    assert!(client.ask(&rpc("read", 2000)).ends_with("new"));
    assert_eq!(server.next().0, 0);
    gateway.pause();
    client.send(&rpc("read", 2000)); // the gateway reads this first
    server.write(0, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold");
    gateway.signal("-CONT");
    assert!(client.answer().unwrap().ends_with("new"));
    assert_eq!(server.next().0, 1, "on a new connection");
}

#[test]
fn many_concurrent_long_messages_are_rejected_before_they_exhaust_the_memory() {
    let server = Peer::new(|_, _| answer(200, "", "ok"));
    let known = list(3, true, &[entry("s0", server.address, "ready")]);
    let more = format!("\"limits\":{{\"memory_mb\":1}},\"known\":{known},");
    let gateway = Program::start(BIN, refusing_address(), &more, &settings(""));
    let incomplete = rpc("submit", 2000).replace(
        "Content-Length: 4\r\n\r\nbody",
        &format!("Content-Length: 65536\r\n\r\n{}", "x".repeat(60_000)),
    );
    let mut clients: Vec<_> = (0..10).map(|_| gateway.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&incomplete));
    gateway.wait_for_line("\"no-memory\"");
    drop(clients);
    let served = |_| gateway.client().try_ask(&rpc("read", 2000)).is_some_and(|got| status(&got) == 200);
    assert!((0..100_000).any(served), "memory is available again");
}

#[test]
fn log_that_nobody_reads_does_not_block_the_gateway() {
    let server = Peer::new(|_, _| answer(200, "", "ok"));
    let gateway = start_with_known_servers(&[&server]);
    gateway.signal("-STOP");
    gateway.signal("-CONT"); // the gateway also survives a short stop
    for _ in 0..3000 {
        let mut client = gateway.client();
        client.send("x\r\n\r\n"); // each writes a log line
        assert!(client.answer().is_some());
    }
    assert_eq!(status(&gateway.client().ask(&rpc("read", 2000))), 200);
}

#[test]
fn time_that_a_message_waited_while_the_process_was_stopped_is_counted() {
    let server = Peer::new(|_, _| answer(200, "", "ok"));
    let gateway = start_with_known_servers(&[&server]);
    let mut client = gateway.client();
    assert_eq!(status(&client.ask(&rpc("read", 2000))), 200);
    server.next();
    gateway.pause();
    client.send(&rpc("verify", 2000));
    std::thread::sleep(std::time::Duration::from_millis(700)); // counts against the deadline
    gateway.signal("-CONT");
    assert_eq!(status(&client.answer().unwrap()), 200);
    let wait_ms = remaining_ms_header(&server.next().1);
    assert!(wait_ms < 1600, "{wait_ms} ms are left of 2000, although 700 ms have passed");
}

#[test]
fn invalid_configuration_ends_the_program_with_a_one_line_error() {
    for (text, expected) in [
        ("{", "not JSON"),
        ("{\"listen\":\"127.0.0.1:0\"}", "'discovery' is missing"),
        ("{\"listen\":\"here\",\"discovery\":\"127.0.0.1:1\"}", "'listen' is not an address"),
        (
            "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"seed\":\"1\"}",
            "'settings' is missing",
        ),
    ] {
        let file = fake::config_file(text);
        let output = Command::new(BIN).args(["check-config", "--config"]).arg(&file).output().unwrap();
        std::fs::remove_file(file).unwrap();
        let line = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success() && line.lines().count() == 1 && line.contains(expected), "{line}");
    }
    let version = Command::new(BIN).arg("version").output().unwrap();
    assert!(version.status.success() && version.stdout.starts_with(b"martenramp "));
    assert!(!Command::new(BIN).arg("fly").output().unwrap().status.success());
}

#[test]
fn discovery_and_counter_addresses_change_on_sighup_without_losing_rpcs() {
    let server = Peer::new(|number, _| if number == 0 { (Vec::new(), false) } else { answer(200, "", "on") });
    let known = list(3, true, &[entry("s0", server.address, "ready")]);
    let (old_discovery, new_discovery) =
        (Peer::new(|_, _| raw_reply(WATCH_HEAD)), Peer::new(|_, _| raw_reply(WATCH_HEAD)));
    let counter = || Peer::new(|_, call| raw_reply(if call == "PING" { "+PONG\r\n" } else { "$1\r\n2\r\n" }));
    let (old_counter, new_counter) = (counter(), counter());
    let more = format!("\"counter\":\"{}\",\"known\":{known},", old_counter.address);
    let settings = settings("\"extra\":{\"hasCounter\":true,\"countWait\":5.0,\"largest\":8},");
    let mut gateway = Program::start(BIN, old_discovery.address, &more, &settings);
    let request = |method| rpc(method, 20_000).replace("spread=1", "spread=2"); // the SIGHUP steps take seconds here
    let mut held = gateway.client();
    held.send(&request("verify").replace("X-Txn: 0", "X-Txn: 1"));
    assert!(
        server.next().0 == 0
            && old_counter.next().1.starts_with("INCRTTL ")
            && old_discovery.next().1.contains("from=3")
    );
    // A file that can't be parsed changes nothing.
    gateway.rewrite_config("{\"discovery\":");
    gateway.signal("-HUP");
    gateway.wait_for_line("\"configuration kept\"");
    let more = format!("\"counter\":\"{}\",", new_counter.address);
    gateway.rewrite_config(&gateway.config(new_discovery.address, &more, &settings));
    gateway.signal("-HUP");
    assert!(new_discovery.next().1.contains("from=3"), "the current list is kept");
    assert!(gateway.wait_for_line("\"list\"").contains("\"moved\""));
    assert!(gateway.wait_for_line("\"counter\"").contains("\"moved\""));
    assert!(gateway.client().ask(&request("verify")).ends_with("on"));
    let next = new_counter.next();
    assert!(next.1.starts_with("INCRTTL "), "expected the next call, got {next:?}");
    server.write(0, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nheld");
    let answer = held.answer().unwrap();
    assert!(answer.ends_with("held"), "expected the answer to the RPC in flight, got {answer}");
    new_discovery.write(0, &chunk(&list(4, false, &[entry("s0", server.address, "gone")])));
    gateway.wait_for_line("\"server-gone\"");
    gateway.signal("-TERM");
    assert!(gateway.child.wait().unwrap().success());
}
