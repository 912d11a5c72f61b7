//! The program itself, started and spoken to over loopback: one short story for each failure met.

use standins::scripted::{
    self as fake, Peer, Program, WATCH_HEAD, answer, chunk, entry, list, raw_reply, refusing_address,
    remaining_ms_header, rpc, settings, status,
};
use std::process::Command;

const BIN: &str = env!("CARGO_BIN_EXE_martenramp");

/// A gateway that knows these servers from before, with discovery and the counter down.
fn knowing(servers: &[&Peer]) -> Program {
    let entries: Vec<String> = servers
        .iter()
        .enumerate()
        .map(|(at, server)| entry(&format!("s{at}"), server.address, "ready"))
        .collect();
    let more = format!("\"counter\":\"{}\",\"known\":{},", refusing_address(), list(3, true, &entries));
    Program::start(BIN, refusing_address(), &more, &settings(""))
}

#[test]
fn an_rpc_passes_unchanged_and_its_answer_too_with_discovery_and_the_counter_down() {
    let server =
        Peer::new(|_, _| answer(200, "Content-Type: text/html\r\nX-Settled: 3\r\n", "<b>\r\n\r\nbody"));
    let gateway = knowing(&[&server]);
    let mut client = gateway.client();
    let got = client.ask(&rpc("submit", 2000));
    assert!(status(&got) == 200 && got.ends_with("\r\n\r\n<b>\r\n\r\nbody"));
    assert!(got.contains("Content-Type: text/html") && !got.contains("X-Settled"));
    let (_, seen) = server.next();
    assert!(
        seen.starts_with("POST /api/00000000b4d65521?q=1 HTTP/1.1\r\n") && seen.ends_with("\r\n\r\nbody")
    );
    assert!(seen.contains("X-Txn: 0123456789abcdef\r\n") && seen.contains("Idempotency-Key: k1\r\n"));
    // A non-idempotent one is waited for until its deadline: somewhat less than the client waits.
    assert_eq!(status(&client.ask(&rpc("verify", 2000))), 200);
    assert!(remaining_ms_header(&server.next().1) <= 1995);
    // Both connections are used again.
    assert_eq!(status(&client.ask(&rpc("read", 2000))), 200);
    assert_eq!(server.next().0, 0);
}

#[test]
fn it_is_ready_only_once_there_is_a_list() {
    let server = Peer::new(|_, _| answer(200, "", "late"));
    let line = list(5, true, &[entry("s0", server.address, "ready")]);
    let discovery = Peer::new(|_, _| raw_reply(WATCH_HEAD));
    let gateway = Program::start(BIN, discovery.address, "", &settings(""));
    let mut client = gateway.client();
    assert_eq!(status(&client.ask("GET /-/ready HTTP/1.1\r\n\r\n")), 503);
    assert_eq!(status(&client.ask("GET /-/healthy HTTP/1.1\r\n\r\n")), 200);
    assert!(discovery.next().1.starts_with("GET /api/targets?watch=1&from=0 "));
    discovery.write(0, &chunk(&line));
    while status(&client.ask("GET /-/ready HTTP/1.1\r\n\r\n")) != 200 {}
    assert_eq!(status(&client.ask(&rpc("read", 2000))), 200);
}

#[test]
fn a_cut_or_garbled_watch_is_asked_for_again_and_the_list_stays() {
    let server = Peer::new(|_, _| answer(200, "", "here"));
    let moved = Peer::new(|_, _| answer(200, "", "there"));
    let line = list(5, true, &[entry("s0", server.address, "ready")]);
    let first = format!("{WATCH_HEAD}{}", chunk(&line));
    let discovery =
        Peer::new(move |number, _| if number == 0 { raw_reply(&first) } else { raw_reply(WATCH_HEAD) });
    let gateway = Program::start(BIN, discovery.address, "", &settings(""));
    assert!(discovery.next().1.contains("from=0"));
    discovery.write(0, &chunk("{\"index\":6,\"snap"));
    assert!(discovery.next().1.contains("from=5"), "after a garbled line");
    assert!(gateway.wait_for_line("\"garbled-object\"").contains("\"list\""));
    discovery.close(1);
    assert!(discovery.next().1.contains("from=5"), "after a cut");
    let mut client = gateway.client();
    assert!(client.ask(&rpc("read", 2000)).ends_with("here"));
    // The same server at another address: the connection to the old one is of no more use.
    discovery.write(2, &chunk(&list(7, false, &[entry("s0", moved.address, "ready")])));
    gateway.wait_for_line("\"server-moved\"");
    assert!(client.ask(&rpc("read", 2000)).ends_with("there"));
}

#[test]
fn what_may_have_run_is_aborted_and_what_never_ran_is_tried_elsewhere() {
    // Closes on the whole message without an answer: a non-idempotent RPC may have run.
    let breaks = Peer::new(|_, _| (Vec::new(), true));
    let gateway = knowing(&[&breaks]);
    assert_eq!(status(&gateway.client().ask(&rpc("verify", 2000))), 502);
    assert_eq!((breaks.next().0, breaks.try_next()), (0, None), "nothing below the module sends it again");
    // Turned away, or refused: it never ran and goes on to the other server.
    let full = Peer::new(|_, _| answer(503, "X-Turned-Away: 1\r\n", ""));
    let good = Peer::new(|_, _| answer(200, "", "good"));
    let gone = refusing_address();
    let known =
        [entry("a", full.address, "ready"), entry("b", good.address, "ready"), entry("c", gone, "ready")];
    let more = format!("\"known\":{},", list(3, true, &known));
    let wide = settings("").replace("\"attemptsCap\":2", "\"attemptsCap\":3");
    let gateway = Program::start(BIN, refusing_address(), &more, &wide);
    for _ in 0..8 {
        assert!(gateway.client().ask(&rpc("verify", 2000)).ends_with("good"));
    }
}

#[test]
fn a_truncated_answer_of_a_server_is_not_passed_on() {
    let cut = Peer::new(|_, _| (b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf".to_vec(), true));
    let gateway = knowing(&[&cut]);
    let got = gateway.client().ask(&rpc("verify", 2000));
    assert!(status(&got) == 502 && !got.contains("half"));
}

#[test]
fn a_server_that_says_nothing_times_out_before_the_client_does() {
    let silent = Peer::new(|_, _| (Vec::new(), false));
    let gateway = knowing(&[&silent]);
    let start = std::time::Instant::now();
    assert_eq!(status(&gateway.client().ask(&rpc("verify", 300))), 504);
    assert!(start.elapsed().as_millis() < 2500, "not the three seconds of its method");
    gateway.wait_for_line("call-out-timed-out"); // its connection is closed, so that the server may stop
}

#[test]
fn an_answer_for_a_client_that_left_goes_nowhere_and_its_connection_is_kept() {
    let silent = |message: &str| message.starts_with("POST");
    let server = Peer::new(move |_, m| if silent(m) { (Vec::new(), false) } else { answer(200, "", "x") });
    let gateway = knowing(&[&server]);
    let mut client = gateway.client();
    client.send(&rpc("verify", 2000));
    assert_eq!(server.next().0, 0);
    drop(client);
    assert!(gateway.wait_for_line("\"left-before-answer\"").contains("\"client\""));
    server.write(0, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold");
    for _ in 0..5 {
        assert!(gateway.client().ask(&rpc("read", 2000)).ends_with('x'), "never the answer to another RPC");
    }
}

#[test]
fn malformed_messages_get_a_4xx_other_than_429_and_an_end() {
    let server = Peer::new(|_, _| answer(200, "", "ok"));
    let gateway = knowing(&[&server]);
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
    for (told, message) in bad {
        let mut client = gateway.client();
        let got = client.ask(&message);
        assert!(status(&got) == told && got.contains("Connection: close"), "{message}: {got}");
        assert!(client.is_closed());
    }
    assert_eq!(server.try_next(), None);
    // A body of the most that is taken passes.
    let body = "x".repeat(64 << 10);
    let large =
        good.replace("Content-Length: 4\r\n\r\nbody", &format!("Content-Length: 65536\r\n\r\n{body}"));
    assert_eq!(status(&gateway.client().ask(&large)), 200);
    assert!(server.next().1.ends_with(&body));
}

#[test]
fn the_id_of_an_open_rpc_is_taken_once() {
    let server = Peer::new(|_, _| (Vec::new(), false));
    let gateway = knowing(&[&server]);
    let mut client = gateway.client();
    client.send(&rpc("verify", 2000));
    assert_eq!(server.next().0, 0);
    assert_eq!(status(&gateway.client().ask(&rpc("read", 2000))), 409);
    assert_eq!(server.try_next(), None);
    server.write(0, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
    assert!(client.answer().unwrap().ends_with("own"));
    client.send(&rpc("verify", 2000));
    assert_eq!(server.next().0, 0, "and is free again with the answer");
}

#[test]
fn who_says_nothing_or_never_ends_a_message_is_sent_away_within_3_s_and_holds_nobody_up() {
    let server = Peer::new(|_, _| answer(200, "", "ok"));
    let gateway = knowing(&[&server]);
    let start = std::time::Instant::now();
    let (mut silent, mut slow, mut endless) = (gateway.client(), gateway.client(), gateway.client());
    slow.send("GET /api/");
    // Sends on long after it is turned away, as fast as it can.
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
    assert!(start.elapsed().as_millis() < 3000);
}

#[test]
fn garbage_from_clients_and_from_a_server_does_not_end_it() {
    let garble = |text: &str, seed: u64| {
        let (mut chance, mut bytes) = (fastrand::Rng::with_seed(seed), text.as_bytes().to_vec());
        for _ in 0..chance.usize(1..4) {
            let at = chance.usize(..bytes.len());
            bytes[at] = chance.u8(b' '..127);
        }
        String::from_utf8(bytes).unwrap()
    };
    let number = std::sync::atomic::AtomicU64::new(0);
    let server = Peer::new(move |_, message| {
        let (good, _) = answer(200, "X-Settled: 2\r\n", "body");
        let seed = number.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        // A deduplicated RPC gets a garbled answer, and an end that makes it whole.
        let bad = message.starts_with("POST");
        let text = String::from_utf8(good).unwrap();
        (if bad { garble(&text, seed) } else { text }.into_bytes(), bad)
    });
    let gateway = knowing(&[&server]);
    for seed in 0..300 {
        let mut client = gateway.client();
        client.try_send(&garble(&rpc("submit", 300), seed));
    }
    for _ in 0..20 {
        assert!(status(&gateway.client().ask(&rpc("submit", 300))) < 600, "whatever it is, it is an answer");
    }
    assert_eq!(status(&gateway.client().ask("GET /-/healthy HTTP/1.1\r\n\r\n")), 200);
}

#[test]
fn messages_that_come_in_pieces_or_together_get_one_answer_each() {
    let server = Peer::new(|_, message| answer(200, "", message.split(' ').next().unwrap()));
    let gateway = knowing(&[&server]);
    let mut client = gateway.client();
    for piece in rpc("verify", 2000).as_bytes().chunks(40) {
        client.send(std::str::from_utf8(piece).unwrap());
    }
    client.send(&(rpc("read", 2000) + &rpc("verify", 2000)));
    let got: Vec<String> = (0..3).map(|_| client.answer().unwrap()).collect();
    assert!(got[0].ends_with("POST") && got[1].ends_with("GET") && got[2].ends_with("POST"));
}

#[test]
fn on_sigterm_it_still_takes_connections_answers_all_and_exits_with_0() {
    let server = Peer::new(|number, _| if number == 0 { (Vec::new(), false) } else { answer(200, "", "on") });
    let mut gateway = knowing(&[&server]);
    let mut held = gateway.client();
    held.send(&rpc("verify", 2900).replace("X-Txn: 0", "X-Txn: 1"));
    assert_eq!(server.next().0, 0);
    let mut idle = gateway.client();
    assert_eq!(status(&idle.ask("GET /-/ready HTTP/1.1\r\n\r\n")), 200);
    gateway.signal("-TERM");
    gateway.wait_for_line("\"stopping\"");
    let got = gateway.client().ask(&rpc("read", 2000));
    assert!(got.ends_with("on") && got.contains("Connection: close"), "a new connection, after the signal");
    assert_eq!(status(&gateway.client().ask("GET /-/ready HTTP/1.1\r\n\r\n")), 503);
    assert!(idle.is_closed(), "an idle connection is ended once new ones stop coming");
    server.write(0, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nheld");
    assert!(held.answer().unwrap().ends_with("held"));
    drop(held);
    assert!(gateway.child.wait().unwrap().success());
}

#[test]
fn the_counter_is_called_and_its_totals_are_heeded() {
    let server = Peer::new(|_, _| answer(200, "", "ok"));
    let counter =
        Peer::new(|_, call| raw_reply(if call == "PING" { "+PONG\r\n" } else { "$5\r\n990.5\r\n" }));
    let known = list(3, true, &[entry("s0", server.address, "ready")]);
    let more = format!("\"counter\":\"{}\",\"known\":{known},", counter.address);
    let wide = settings("\"extra\":{\"hasCounter\":true,\"countWait\":5.0,\"largest\":8},");
    let gateway = Program::start(BIN, refusing_address(), &more, &wide);
    // Two gateways' customer: the counter is asked before the first units go, and says that none are left.
    let asked = rpc("verify", 300).replace("spread=1", "spread=2");
    assert_eq!(status(&gateway.client().ask(&asked)), 429);
    let (_, call) = counter.next();
    let words: Vec<&str> = call.split(' ').collect();
    assert!(words[0] == "INCRTTL" && words[2] == "2" && words[3].parse::<u64>().unwrap() > 0, "{call}");
    assert_eq!(server.try_next(), None);
}

#[test]
fn a_counter_that_says_nothing_is_not_waited_for_beyond_its_time() {
    let server = Peer::new(|_, _| answer(200, "", "ok"));
    let counter = Peer::new(|_, _| (Vec::new(), false));
    let known = list(3, true, &[entry("s0", server.address, "ready")]);
    let more = format!("\"counter\":\"{}\",\"known\":{known},", counter.address);
    let told = settings("\"extra\":{\"hasCounter\":true,\"countWait\":0.03,\"largest\":8},");
    let gateway = Program::start(BIN, refusing_address(), &more, &told);
    let asked = rpc("verify", 2000).replace("spread=1", "spread=2");
    assert_eq!(status(&gateway.client().ask(&asked)), 200);
    assert!(counter.next().1.starts_with("INCRTTL "));
    gateway.wait_for_line("\"silent\""); // a connection without any answer is opened anew, in the end
}

#[test]
fn a_silent_watch_is_asked_for_again_and_idle_connections_close_before_the_server_would() {
    let server = Peer::new(|_, _| answer(200, "", "ok"));
    let discovery = Peer::new(|_, _| raw_reply(WATCH_HEAD));
    let known = list(3, true, &[entry("s0", server.address, "ready")]);
    let told = settings("").replace("\"connIdle\":15.0", "\"connIdle\":0.5");
    let gateway = Program::start(BIN, discovery.address, &format!("\"known\":{known},"), &told);
    assert!(discovery.next().1.contains("from=3"), "the list from before counts");
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
fn with_no_descriptor_left_idle_connections_give_way() {
    let server = Peer::new(|_, _| answer(200, "", "ok"));
    let known = list(3, true, &[entry("s0", server.address, "ready")]);
    let mut limited = Command::new("sh");
    limited.args(["-c", &format!("ulimit -n 40; exec {BIN} \"$@\""), "sh"]);
    let gateway =
        Program::run(&mut limited, refusing_address(), &format!("\"known\":{known},"), &settings(""));
    let mut kept = Vec::new();
    for _ in 0..60 {
        let mut client = gateway.client();
        let got = client.ask(&rpc("read", 2000));
        assert!(matches!(status(&got), 200 | 503), "{got}");
        kept.push(client);
    }
    gateway.wait_for_line("\"made-room\"");
    // Clients that send nothing, or half a message, hold their places only for a while.
    kept.extend((0..40).map(|_| gateway.client()));
    kept.iter_mut().skip(80).for_each(|client| client.try_send("GET /api/"));
    let served = |_| gateway.client().try_ask(&rpc("read", 2000)).is_some_and(|got| status(&got) == 200);
    assert!((0..100_000).any(served));
}

#[test]
fn what_a_server_sent_unasked_is_never_taken_for_the_next_answer() {
    let server = Peer::new(|_, _| answer(200, "", "new"));
    let gateway = knowing(&[&server]);
    let mut client = gateway.client();
    assert!(client.ask(&rpc("read", 2000)).ends_with("new"));
    assert_eq!(server.next().0, 0);
    gateway.pause();
    client.send(&rpc("read", 2000)); // is read first
    server.write(0, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold");
    gateway.signal("-CONT");
    assert!(client.answer().unwrap().ends_with("new"));
    assert_eq!(server.next().0, 1, "on a connection of its own");
}

#[test]
fn many_long_messages_at_once_are_turned_away_before_they_fill_the_memory() {
    let server = Peer::new(|_, _| answer(200, "", "ok"));
    let known = list(3, true, &[entry("s0", server.address, "ready")]);
    let more = format!("\"limits\":{{\"memory_mb\":1}},\"known\":{known},");
    let gateway = Program::start(BIN, refusing_address(), &more, &settings(""));
    let half = rpc("submit", 2000).replace(
        "Content-Length: 4\r\n\r\nbody",
        &format!("Content-Length: 65536\r\n\r\n{}", "x".repeat(60_000)),
    );
    let mut clients: Vec<_> = (0..10).map(|_| gateway.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&half));
    gateway.wait_for_line("\"no-memory\"");
    drop(clients);
    let served = |_| gateway.client().try_ask(&rpc("read", 2000)).is_some_and(|got| status(&got) == 200);
    assert!((0..100_000).any(served), "and there is room again");
}

#[test]
fn a_log_that_nobody_reads_does_not_hold_it_up() {
    let server = Peer::new(|_, _| answer(200, "", "ok"));
    let gateway = knowing(&[&server]);
    gateway.signal("-STOP");
    gateway.signal("-CONT"); // and standing still for a moment is survived
    for _ in 0..3000 {
        let mut client = gateway.client();
        client.send("x\r\n\r\n"); // each leaves a line
        assert!(client.answer().is_some());
    }
    assert_eq!(status(&gateway.client().ask(&rpc("read", 2000))), 200);
}

#[test]
fn time_that_a_message_waited_while_the_process_stood_still_is_counted() {
    let server = Peer::new(|_, _| answer(200, "", "ok"));
    let gateway = knowing(&[&server]);
    let mut client = gateway.client();
    assert_eq!(status(&client.ask(&rpc("read", 2000))), 200);
    server.next();
    gateway.pause();
    client.send(&rpc("verify", 2000));
    std::thread::sleep(std::time::Duration::from_millis(700)); // the time that passes is what is tested
    gateway.signal("-CONT");
    assert_eq!(status(&client.answer().unwrap()), 200);
    let wait = remaining_ms_header(&server.next().1);
    assert!(wait < 1600, "{wait} ms are left of 2000, 700 of them passed");
}

#[test]
fn a_bad_configuration_ends_it_with_one_plain_line() {
    for (text, told) in [
        ("{", "not JSON"),
        ("{\"listen\":\"127.0.0.1:0\"}", "'discovery' is missing"),
        ("{\"listen\":\"here\",\"discovery\":\"127.0.0.1:1\"}", "'listen' is not an address"),
        (
            "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"seed\":\"1\"}",
            "'settings' is missing",
        ),
    ] {
        let file = fake::config_file(text);
        let ended = Command::new(BIN).args(["check-config", "--config"]).arg(&file).output().unwrap();
        std::fs::remove_file(file).unwrap();
        let line = String::from_utf8(ended.stderr).unwrap();
        assert!(!ended.status.success() && line.lines().count() == 1 && line.contains(told), "{line}");
    }
    let version = Command::new(BIN).arg("version").output().unwrap();
    assert!(version.status.success() && version.stdout.starts_with(b"martenramp "));
    assert!(!Command::new(BIN).arg("fly").output().unwrap().status.success());
}

#[test]
fn on_sighup_discovery_and_the_counter_move_and_nothing_is_lost() {
    let server = Peer::new(|number, _| if number == 0 { (Vec::new(), false) } else { answer(200, "", "on") });
    let known = list(3, true, &[entry("s0", server.address, "ready")]);
    let (old, new) = (Peer::new(|_, _| raw_reply(WATCH_HEAD)), Peer::new(|_, _| raw_reply(WATCH_HEAD)));
    let counts = || Peer::new(|_, call| raw_reply(if call == "PING" { "+PONG\r\n" } else { "$1\r\n2\r\n" }));
    let (before, after) = (counts(), counts());
    let more = format!("\"counter\":\"{}\",\"known\":{known},", before.address);
    let told = settings("\"extra\":{\"hasCounter\":true,\"countWait\":5.0,\"largest\":8},");
    let mut gateway = Program::start(BIN, old.address, &more, &told);
    let asked = |method| rpc(method, 20_000).replace("spread=1", "spread=2"); // SIGHUP alone takes seconds here
    let mut held = gateway.client();
    held.send(&asked("verify").replace("X-Txn: 0", "X-Txn: 1"));
    assert!(
        server.next().0 == 0 && before.next().1.starts_with("INCRTTL ") && old.next().1.contains("from=3")
    );
    // A file that can't be read changes nothing.
    gateway.rewrite_config("{\"discovery\":");
    gateway.signal("-HUP");
    gateway.wait_for_line("\"configuration kept\"");
    let more = format!("\"counter\":\"{}\",", after.address);
    gateway.rewrite_config(&gateway.config(new.address, &more, &told));
    gateway.signal("-HUP");
    assert!(new.next().1.contains("from=3"), "the list held stays");
    assert!(gateway.wait_for_line("\"list\"").contains("\"moved\""));
    assert!(gateway.wait_for_line("\"counter\"").contains("\"moved\""));
    assert!(gateway.client().ask(&asked("verify")).ends_with("on"));
    let next = after.next();
    assert!(next.1.starts_with("INCRTTL "), "the next call, not {next:?}");
    server.write(0, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nheld");
    let answer = held.answer().unwrap();
    assert!(answer.ends_with("held"), "an RPC that was out, not {answer}");
    new.write(0, &chunk(&list(4, false, &[entry("s0", server.address, "gone")])));
    gateway.wait_for_line("\"server-gone\"");
    gateway.signal("-TERM");
    assert!(gateway.child.wait().unwrap().success());
}
