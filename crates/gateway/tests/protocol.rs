//! What is said on the connections, without a socket: state machines fed bytes, whole, in pieces and garbled.

use gateway::clients::{self, Client, Parsed};
use gateway::config::Config;
use gateway::counter::{Call, CounterConnection, REPLY_TIMEOUT};
use gateway::driver::ConnectionEnd;
use gateway::guard::RetrySafety;
use gateway::http::{ChunkedDecoder, MessageError};
use gateway::list::Watch;
use gateway::servers::{self, Attempt, Body, ReuseHistory, ServerConnection, Servers};
use martenramp::host::{CallOutcome, DiscoveredServer};
use martenramp::subsetting;
use standins::scripted::{MS, SEC, WATCH_HEAD, chunk, entry, list, rpc, settings};
use std::net::SocketAddr;

fn config() -> Config {
    let text = format!(
        "{{\"name\":\"n0\",\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\",\"seed\":\"8c1f30d27a5be964\",\
         \"limits\":{{\"sockets\":512}},\"settings\":{}}}",
        settings("")
    );
    Config::parse(&text, |_| None).unwrap()
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn the_configuration_is_read_as_the_module_gets_it_on_the_wire() {
    let config = config();
    assert_eq!((config.seed, config.descriptor_limit), (0x8c1f30d27a5be964, 512));
    let get = |name: &str| config.settings[name].as_str();
    assert_eq!((get("classes.count"), get("classes.1.idempotency")), ("3", "guarded"));
    assert_eq!((get("tariffs.0.perSecond"), get("localities")), ("100.0", "a,b"));
    assert_eq!(config.positive_setting("ceilings.connIdle"), Some(15.0));
    let effects: Vec<RetrySafety> = config.methods.iter().map(|method| method.effect).collect();
    let deduplicated = RetrySafety::Deduplicated { window: 5_000_000_000, all_servers: true };
    assert_eq!(effects, [RetrySafety::Idempotent, deduplicated, RetrySafety::AtMostOnce]);
}

#[test]
fn an_rpc_is_found_whole_wherever_its_bytes_are_cut() {
    let (config, text) = (config(), rpc("submit", 480) + "GET /-/ready");
    let whole = text.len() - "GET /-/ready".len();
    for cut in 0..whole {
        let got = Client::default().parse_message(&config, SEC, &text.as_bytes()[..cut]);
        assert_eq!(got, Ok(Parsed::Incomplete), "{cut}");
    }
    let Ok(Parsed::Rpc(found)) = Client::default().parse_message(&config, SEC, text.as_bytes()) else {
        panic!()
    };
    assert_eq!((found.customer, found.remaining_ms, found.method, found.plan), (0xb4d65521, 480, 1, 0));
    assert_eq!((found.units, found.width, found.first, found.body.end), (2.0, 1, 0, whole));
    assert!(&text[found.body.clone()] == "body" && !found.is_get && !found.close);
    // Its time runs from the first byte, not from the last.
    let mut slow = Client::default();
    slow.parse_message(&config, SEC, &text.as_bytes()[..10]).unwrap();
    slow.parse_message(&config, 2 * SEC, text.as_bytes()).unwrap();
    assert_eq!(slow.state_since, SEC);
}

#[test]
fn a_client_that_asks_first_may_send_its_body_and_is_told_so_once() {
    let (config, mut client) = (config(), Client::default());
    let text = rpc("submit", 480).replace("X-Lane", "Expect: 100-continue\r\nX-Lane");
    let head = &text.as_bytes()[..text.len() - 4];
    assert_eq!(client.parse_message(&config, SEC, head), Ok(Parsed::Continue));
    assert_eq!(client.parse_message(&config, SEC, head), Ok(Parsed::Incomplete));
    assert!(matches!(client.parse_message(&config, SEC, text.as_bytes()), Ok(Parsed::Rpc(_))));
}

#[test]
fn a_pushback_says_when_to_come_back_and_an_answer_where_it_ends() {
    let mut out = Vec::new();
    clients::write_response(&mut out, 429, 250 * MS, true);
    let text = String::from_utf8(out).unwrap();
    assert!(text.starts_with("HTTP/1.1 429 ") && text.contains("\r\nRetry-After: 0.250\r\n"));
    assert!(text.contains("\r\nConnection: close\r\n"));
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    assert!(head.contains(&format!("Content-Length: {}\r\n", body.len())));
}

/// What a link makes of an answer that comes whole, and of one that the connection's end follows.
fn looked(text: &str, ended: bool) -> Result<Option<(CallOutcome, String, bool)>, &'static str> {
    looked_at(text, ended.then_some(ConnectionEnd::Closed))
}

fn looked_at(
    text: &str,
    ended: Option<ConnectionEnd>,
) -> Result<Option<(CallOutcome, String, bool)>, &'static str> {
    let answer = ServerConnection::new(1, 0).parse_response(text.as_bytes(), ended)?;
    Ok(answer.map(|answer| {
        let body = match &answer.body {
            Body::Buffered(range) => text[range.clone()].to_string(),
            Body::Decoded(bytes) => String::from_utf8(bytes.clone()).unwrap(),
        };
        (answer.outcome, body, answer.reusable)
    }))
}

#[test]
fn answers_of_servers_mean_what_the_table_says() {
    let ok = |how, body: &str, reusable| Ok(Some((how, body.to_string(), reusable)));
    let length = "Content-Length: 2\r\n";
    for (status, lines, how) in [
        (200, "", CallOutcome::Ok),
        (500, "", CallOutcome::Error),
        (503, "X-Turned-Away: 1\r\n", CallOutcome::Full),
        (504, "x-turned-away: 1\r\n", CallOutcome::Full),
        (503, "", CallOutcome::Error),
        (500, "X-Turned-Away: 1\r\n", CallOutcome::Error),
        (404, "", CallOutcome::Error),
    ] {
        let text = format!("HTTP/1.1 {status} X\r\n{lines}{length}\r\nab");
        assert_eq!(looked(&text, false), ok(how, "ab", true), "{text}");
        (0..text.len())
            .for_each(|cut| assert_eq!(looked(&text[..cut], true), Ok(None), "truncated at {cut}"));
    }
    assert_eq!(
        looked("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", false),
        ok(CallOutcome::Ok, "x", true)
    );
    let interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    assert_eq!(
        looked(&(interim.repeat(99) + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"), false),
        ok(CallOutcome::Ok, "x", true)
    );
    assert_eq!(looked(&interim.repeat(9_000), false), Err("head-too-large"), "however long, it is bounded");
    assert_eq!(
        looked("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx", false),
        ok(CallOutcome::Ok, "x", false)
    );
    assert_eq!(looked("HTTP/1.1 200 OK\r\n\r\nall", false), Ok(None), "its end is the connection's");
    assert_eq!(looked("HTTP/1.1 200 OK\r\n\r\nall", true), ok(CallOutcome::Ok, "all", false));
    for broken in [ConnectionEnd::Reset, ConnectionEnd::Failed("broken-pipe")] {
        assert_eq!(looked_at("HTTP/1.1 200 OK\r\n\r\nall", Some(broken)), Ok(None), "{broken:?} is no end");
        let turned_away = "HTTP/1.1 503 X\r\nX-Turned-Away: 1\r\n\r\n";
        assert_eq!(looked_at(turned_away, Some(broken)), Ok(None), "{broken:?}");
    }
    assert_eq!(looked("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n", false), Err("body-too-large"));
    assert_eq!(looked("SSH-2.0-x\r\n\r\n", false), Err("bad-head"));
}

#[test]
fn a_chunked_answer_is_joined_wherever_its_bytes_are_cut() {
    let text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Settled: 2.5\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: 1\r\n\r\n";
    for cut in 1..text.len() {
        let mut link = ServerConnection::new(1, 0);
        assert_eq!(link.parse_response(&text.as_bytes()[..cut], None), Ok(None), "{cut}");
        let answer = link.parse_response(text.as_bytes(), None).unwrap().unwrap();
        assert_eq!(
            (answer.body, answer.settled, answer.message_length),
            (Body::Decoded(b"abcde".to_vec()), 2.5, text.len())
        );
    }
    for bad in ["x\r\n", "+3\r\nabc\r\n", "3\r\nabcd\r\n", "fffffffff\r\n"] {
        assert_eq!(
            ChunkedDecoder::default().feed(bad.as_bytes(), |_| {}),
            Err(MessageError(400, "bad-chunk")),
            "{bad}"
        );
    }
}

#[test]
fn a_call_out_passes_on_all_but_what_is_of_one_connection() {
    let config = config();
    let text = rpc("submit", 480)
        .replace("X-Lane", "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTraceparent: t\r\nX-Lane");
    let Ok(Parsed::Rpc(found)) = Client::default().parse_message(&config, SEC, text.as_bytes()) else {
        panic!()
    };
    let (mut link, mut out) = (ServerConnection::new(1, 0), Vec::new());
    let attempt = Attempt { rpc: 1, number: 0, requested_at: SEC, deadline: 2 * SEC, write_by: u64::MAX };
    link.write_attempt(&mut out, attempt, &found, text.as_bytes(), 300 * MS);
    let sent = String::from_utf8(out).unwrap();
    assert!(sent.starts_with("POST /api/00000000b4d65521?q=1 HTTP/1.1\r\nHost: service.internal\r\n"));
    assert!(sent.ends_with("Content-Length: 4\r\nX-Remaining-Ms: 300\r\n\r\nbody"));
    assert!(
        sent.contains("X-Txn: 0123456789abcdef\r\nTraceparent: t\r\n")
            && sent.contains("Idempotency-Key: k1\r\n")
    );
    assert!(
        !sent.contains("Hop") && !sent.contains("Connection") && sent.matches("X-Remaining-Ms").count() == 1
    );
    assert!(link.carries(1, 0) && !link.carries(1, 1));
}

#[test]
fn a_load_report_is_put_in_the_order_of_the_settings() {
    let columns = ["util".to_string(), "inflight".to_string(), "queue".to_string()];
    assert_eq!(
        servers::parse_load_report(b"{\"inflight\":7,\"util\":0.61,\"queue\":0}", &columns),
        [0.61, 7.0, 0.0]
    );
    // What can't be read is untold, never nought.
    for spoilt in [
        "7",
        "{\"inflight\":7,\"util\":0.61}",
        "{\"inflight\":\"x\",\"util\":0.61,\"queue\":0}",
        "{\"inflight\":",
    ] {
        assert!(servers::parse_load_report(spoilt.as_bytes(), &columns).is_empty(), "{spoilt}");
    }
}

#[test]
fn servers_are_known_by_name_and_their_old_connections_go_with_their_address() {
    let mut all = Servers::default();
    let listed = |name, came_up| DiscoveredServer {
        key: subsetting::key(name),
        started_at: came_up,
        ready: true,
        ..DiscoveredServer::default()
    };
    let (one, _) = all.upsert(&listed("a", 0), address(1));
    let (two, _) = all.upsert(&listed("b", 0), address(1));
    assert!(one != two);
    all.by_number.get_mut(&one).unwrap().idle_connections.push((77, SEC));
    assert_eq!(all.upsert(&listed("a", 0), address(1)), (one, vec![]));
    assert_eq!(all.upsert(&listed("a", 0), address(2)), (one, vec![77]));
    all.by_number.get_mut(&one).unwrap().idle_connections.push((78, SEC));
    assert_eq!(all.upsert(&listed("a", 9), address(2)), (one, vec![78]), "a new life at the same address");
    all.by_number.get_mut(&one).unwrap().idle_connections.push((79, SEC));
    all.by_number.get_mut(&one).unwrap().open_connections = 1;
    let (off, idle) = all.delist(subsetting::key("a")).unwrap();
    assert!((off.server, off.ready, idle) == (one, false, vec![79]));
    all.remove_unused();
    assert!(!all.by_key(subsetting::key("a")).unwrap().is_listed, "held while a connection is open");
    all.by_number.get_mut(&one).unwrap().open_connections = 0;
    all.remove_unused();
    assert!(
        all.by_key(subsetting::key("a")).is_none()
            && all.by_key(subsetting::key("b")).unwrap().last_listed.server == two
    );
    assert!(all.upsert(&listed("a", 9), address(2)).0 != one, "numbers are not used again");
}

#[test]
fn connections_that_break_after_a_rest_are_not_used_after_such_a_rest() {
    let mut reuses = ReuseHistory::default();
    // One in ten breaks whatever its rest: nothing follows from that.
    (0..200).for_each(|one| reuses.record(SEC, one % 20 * 10 * MS, one % 10 == 0));
    assert!(reuses.allows(SEC, 190 * MS));
    // Most of those that rested for 0.15 s break.
    (0..200).for_each(|one| reuses.record(SEC, one % 20 * 10 * MS, one % 20 >= 15 && one % 2 == 0));
    assert!(!reuses.allows(SEC, 170 * MS) && reuses.allows(SEC, 100 * MS));
    assert!(reuses.allows(32 * SEC, 170 * MS), "which is tried again after a while");
}

#[test]
fn the_watch_finds_its_objects_wherever_the_bytes_are_cut() {
    let one = list(41, true, &[entry("a", address(1), "ready"), entry("b", address(2), "draining")]);
    let two = list(43, false, &["{\"name\":\"a\",\"status\":\"gone\"}".to_string()]);
    let text = format!("{WATCH_HEAD}{}1\r\n\n\r\n{}", chunk(&one), chunk(&two));
    for step in [1, 7, 64, text.len()] {
        let (mut watch, mut out) = (Watch::new(0, usize::MAX), Vec::new());
        let (mut told, mut buffer) = (Vec::new(), Vec::new());
        watch.index = 9;
        watch.write_request(&mut out, SEC);
        assert!(out.starts_with(b"GET /api/targets?watch=1&from=9 HTTP/1.1\r\n"));
        for piece in text.as_bytes().chunks(step) {
            buffer.extend_from_slice(piece);
            let used = watch.feed(2 * SEC, &buffer, &mut told).unwrap();
            buffer.drain(..used);
        }
        assert_eq!((told.len(), watch.last_received), (2, 2 * SEC));
        assert!(
            told[0].is_snapshot
                && told[0].index == 41
                && told[0].entries[0].ready
                && !told[0].entries[1].ready
        );
        assert!(!told[1].is_snapshot && told[1].entries[0].gone);
    }
}

#[test]
fn a_watch_that_is_refused_ends_or_makes_no_sense_is_broken_off() {
    let fed = |text: String| {
        let mut told = Vec::new();
        (Watch::new(0, usize::MAX).feed(SEC, text.as_bytes(), &mut told), told.len())
    };
    assert_eq!(fed("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".to_string()).0, Err("watch-refused"));
    assert_eq!(fed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}".to_string()).0, Err("watch-not-chunked"));
    assert_eq!(fed(format!("{WATCH_HEAD}0\r\n\r\n")).0, Err("watch-ended"));
    let good = chunk(&list(41, true, &[entry("a", address(1), "ready")]));
    let nameless = chunk(&list(42, true, &["{\"status\":\"ready\"}".to_string()]));
    assert_eq!(
        fed(format!("{WATCH_HEAD}{good}{nameless}{good}")),
        (Err("garbled-object"), 1),
        "what came before it counts"
    );
}

/// A list service as crowded ones are: it takes 20 calls a second in turn, works on those that nobody waits for any
/// more as well, turns callers away while 100 are in line, and a caller hangs up after 2 s. All lost their watch at
/// once and ask again after `rest`, which is told how many calls failed and how long the last one took: how many still have
/// no list after so long.
fn without_a_list(callers: u64, within: u64, mut rest: impl FnMut(u64, u32, u64) -> u64) -> usize {
    let mut line = std::collections::VecDeque::new();
    let (mut fails, mut has) = (vec![1; callers as usize], vec![false; callers as usize]);
    let mut due: std::collections::BTreeSet<_> =
        (0..callers).map(|caller| (rest(caller, 0, 0), caller)).collect();
    for turn in 0..within / (50 * MS) {
        let now = turn * 50 * MS;
        while let Some((_, caller)) = due.pop_first().filter(|at| at.0 <= now || !due.insert(*at)) {
            let full = line.len() >= 100;
            if !full {
                line.push_back((now, caller));
            }
            let took = if full { 0 } else { 2 * SEC };
            due.insert((now + took + rest(caller, fails[caller as usize], took), caller));
            fails[caller as usize] += 1;
        }
        if let Some((came, caller)) = line.pop_front().filter(|call: &(u64, u64)| now < call.0 + 2 * SEC) {
            has[caller as usize] = came <= now;
            due.retain(|at| at.1 != caller);
        }
    }
    has.iter().filter(|has| !**has).count()
}

#[test]
fn a_herd_that_lost_its_watch_at_once_gets_through_to_a_list_service_that_turns_callers_away() {
    let in_step = |_, fails: u32, _| ((100 * MS) << fails.min(4)).min(SEC);
    assert!(without_a_list(100, 15 * SEC, in_step) > 30, "asked in step, the service works for nobody");
    let (mut chance, mut watches) = (fastrand::Rng::with_seed(7), Vec::new());
    watches.resize_with(100, || Watch::new(0, usize::MAX));
    let left = without_a_list(100, 15 * SEC, |caller, _, took| {
        watches[caller as usize].retry_delay(took, false, 100, 2 * SEC, &mut chance)
    });
    assert_eq!(left, 0);
}

#[test]
fn rests_before_the_watch_is_asked_for_again_are_drawn_and_grow_with_the_fleet_but_not_past_5_s() {
    let longest = |fleet: u32, fails: u32, took: u64| {
        let mut chance = fastrand::Rng::with_seed(7);
        let mut watch = Watch::new(0, usize::MAX);
        watch.failures = fails;
        (0..1000)
            .map(|_| (watch.failures, watch.retry_delay(took, false, fleet, 2 * SEC, &mut chance)).1)
            .max()
            .unwrap()
            / MS
    };
    assert!((950..1000).contains(&longest(3, 9, 0)) && (4700..5000).contains(&longest(u32::MAX, 9, 0)));
    // What a call without an answer took is part of the rest; something is always left, so that no fleet asks in step.
    assert!((2600..2750).contains(&longest(u32::MAX, 9, 2250 * MS)));
    assert!((230..250).contains(&longest(u32::MAX, 9, 60 * SEC)));
    let mut firsts: Vec<_> = (0..50).map(|seed| first_rest(seed, 100) / (100 * MS)).collect();
    firsts.sort_unstable();
    firsts.dedup();
    assert!(firsts.len() >= 9 && firsts.iter().all(|tenth| *tenth < 10), "spread over 1 s: {firsts:?}");
    let mut short = Watch::new(0, usize::MAX);
    let rest = short.retry_delay(0, false, 100, 250 * MS, &mut fastrand::Rng::with_seed(1));
    assert!(rest < 125 * MS, "news of a drain is asked for within the time in which it must be heeded");
}

fn first_rest(seed: u64, fleet: u32) -> u64 {
    Watch::new(0, usize::MAX).retry_delay(0, false, fleet, 2 * SEC, &mut fastrand::Rng::with_seed(seed))
}

fn call(serial: u64, name: u64) -> Call {
    Call { serial, name, add: -2.5, ttl: 1500 * MS + 1 }
}

#[test]
fn the_counter_is_called_in_resp2_once_its_connection_stands() {
    let (mut line, mut out) = (CounterConnection::default(), Vec::new());
    line.send_call(&mut out, SEC, call(1, 77));
    assert!(out.is_empty() && line.has_call(1));
    line.connected(&mut out, SEC);
    assert_eq!(out, b"*4\r\n$7\r\nINCRTTL\r\n$2\r\n77\r\n$4\r\n-2.5\r\n$4\r\n1501\r\n");
}

#[test]
fn answers_of_the_counter_are_told_apart_and_late_ones_keep_their_place() {
    let (mut line, mut out, mut ended) = (CounterConnection::default(), Vec::new(), Vec::new());
    line.connected(&mut out, SEC);
    (1..=5).for_each(|serial| line.send_call(&mut out, SEC, call(serial, serial)));
    line.send_ping(&mut out, SEC);
    assert_eq!(line.time_out_call(2), Some((call(2, 2), CallOutcome::TimedOut)));
    assert_eq!(line.time_out_call(2), None);
    let text = b"$3\r\n7.5\r\n$4\r\n99.9\r\n-BUSY later\r\n-ERR no such call\r\n:8\r\n+PONG\r\n$2";
    let used = line.feed(SEC, text, &mut ended).unwrap();
    assert_eq!(used, text.len() - 2, "the last is not whole");
    let ended: Vec<_> = ended.iter().map(|(call, how, total)| (call.serial, *how, *total)).collect();
    assert_eq!(
        ended,
        [
            (1, CallOutcome::Ok, 7.5),
            (3, CallOutcome::Full, 0.0),
            (4, CallOutcome::NotSent, 0.0),
            (5, CallOutcome::Ok, 8.0)
        ],
        "the second was too late, and is nobody else's"
    );
    assert_eq!(line.feed(SEC, b"+PONG\r\n", &mut Vec::new()), Err("answer-without-call"));
}

#[test]
fn a_counter_answer_without_a_number_was_added_and_ends_its_connection() {
    for spoilt in ["$3\r\nnan\r\n", "$-1\r\n", "+OK\r\n", "-\x7fx7\r\n", ":many\r\n", "$0\r\n\r\n"] {
        let (mut line, mut out, mut ended) = (CounterConnection::default(), Vec::new(), Vec::new());
        line.connected(&mut out, SEC);
        (1..=2).for_each(|serial| line.send_call(&mut out, SEC, call(serial, serial)));
        let fed = line.feed(SEC, format!("{spoilt}$1\r\n7\r\n").as_bytes(), &mut ended);
        assert_eq!(
            (fed, ended),
            (Err("answer-without-number"), vec![(call(1, 1), CallOutcome::Error, 0.0)]),
            "{spoilt}"
        );
        assert_eq!(line.disconnect(), [(call(2, 2), CallOutcome::Reset)], "it may have been added");
    }
}

#[test]
fn calls_on_a_broken_connection_may_have_counted_only_if_they_were_written() {
    let (mut line, mut out) = (CounterConnection::default(), Vec::new());
    line.send_call(&mut out, SEC, call(1, 1));
    assert_eq!(line.time_out_call(1), Some((call(1, 1), CallOutcome::NoConnection)), "never written");
    line.send_call(&mut out, SEC, call(2, 2));
    assert_eq!(line.disconnect(), [(call(2, 2), CallOutcome::NoConnection)]);
    line.connected(&mut out, SEC);
    line.send_call(&mut out, SEC, call(3, 3));
    assert!(!line.is_unresponsive(SEC + REPLY_TIMEOUT) && line.is_unresponsive(SEC + REPLY_TIMEOUT + 1));
    assert_eq!(line.disconnect(), [(call(3, 3), CallOutcome::Reset)]);
    assert!(!line.is_connected && line.in_flight.is_empty());
}

#[test]
fn no_bytes_whatever_make_anything_panic() {
    let config = config();
    let mut chance = fastrand::Rng::with_seed(5);
    let seeds = [
        rpc("submit", 480),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n".to_string(),
        format!("{WATCH_HEAD}{}", chunk(&list(41, true, &[entry("a", address(1), "ready")]))),
        "$3\r\n7.5\r\n-BUSY\r\n:7\r\n$-1\r\n+PONG\r\n".to_string(),
    ];
    for round in 0..20_000 {
        let mut bytes = seeds[round % seeds.len()].clone().into_bytes();
        for _ in 0..chance.usize(1..6) {
            let at = chance.usize(..bytes.len());
            match chance.u8(..4) {
                0 => bytes[at] = chance.u8(..),
                1 => bytes.truncate(at.max(1)),
                2 => bytes.insert(at, *chance.choice(b"0123456789abcdef\r\n:,=-$+\xff").unwrap()),
                _ => bytes.extend_from_within(at..),
            }
        }
        let _ = Client::default().parse_message(&config, SEC, &bytes);
        let mut link = ServerConnection::new(1, 0);
        let cut = chance.usize(..=bytes.len());
        let _ = link
            .parse_response(&bytes[..cut], None)
            .and_then(|_| link.parse_response(&bytes, Some(ConnectionEnd::Closed)));
        let _ = Watch::new(0, usize::MAX).feed(SEC, &bytes, &mut Vec::new());
        let (mut line, mut out) = (CounterConnection::default(), Vec::new());
        line.connected(&mut out, SEC);
        (1..4).for_each(|serial| line.send_call(&mut out, SEC, call(serial, serial)));
        let _ = line.feed(SEC, &bytes, &mut Vec::new());
        let _ = Config::parse(&String::from_utf8_lossy(&bytes), |_| None);
        let _ = servers::parse_load_report(&bytes, &["util".to_string()]);
    }
}

#[test]
fn the_clock_starts_at_unix_time_and_never_goes_back() {
    let clock = gateway::driver::Clock::start();
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_nanos() as u64;
    let (one, two) = (clock.now(), clock.now());
    assert!(one <= two && unix.abs_diff(one) < 10 * SEC);
}

#[test]
fn settings_that_make_no_sense_are_refused_by_their_key() {
    let read = |settings: &str| {
        let text = format!(
            "{{\"name\":\"n0\",\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\",\"seed\":\"1\",\"settings\":{settings}}}"
        );
        Config::parse(&text, |_| None).err()
    };
    assert_eq!(read(&settings("")), None);
    for (from, to, why) in [
        (
            "\"free\"",
            "\"maybe\"",
            "'classes.0.idempotency' is not one of free, guarded, single_shot: \"maybe\"",
        ),
        (
            "\"group\":\"all\"",
            "\"group\":\"some\"",
            "'classes.1.group' is not one of all, zone, cell: \"some\"",
        ),
        ("\"window\":5.0", "\"window\":-5.0", "'classes.1.window' is not a time from 0 to 86400 s: \"-5.0\""),
        (
            "\"onTime\":0.8",
            "\"onTime\":1e9",
            "'classes.2.onTime' is not a time from 0 to 86400 s: \"1000000000.0\"",
        ),
        (
            "\"deadline\":3.0",
            "\"deadline\":\"soon\"",
            "'classes.0.deadline' is not a time from 0 to 86400 s: \"soon\"",
        ),
        (
            "\"connIdle\":15.0",
            "\"connIdle\":-1",
            "'ceilings.connIdle' is not a time from 0 to 86400 s: \"-1\"",
        ),
        ("\"dialTimeout\":0.25", "\"dialTimeout\":1e400", "not JSON: "),
        (
            "\"perSecond\":100.0",
            "\"perSecond\":-1.0",
            "'tariffs.0.perSecond' is not an amount from 0 to 1e9: \"-1.0\"",
        ),
        (
            "\"depth\":100.0",
            "\"depth\":1e300",
            "'tariffs.0.depth' is not an amount from 0 to 1e9: \"1e+300\"",
        ),
    ] {
        let changed = settings("").replacen(from, to, 1);
        assert_ne!(changed, settings(""));
        let said = read(&changed).unwrap_or_default();
        assert!(said.starts_with(why) && !said.contains('\n'), "{to}: {said}");
    }
}
