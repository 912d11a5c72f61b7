//! Parsers and state machines of the gateway's connections, tested without sockets on whole, partial and malformed
//! input.

use gateway::clients::{self, Client, Parsed};
use gateway::config::Config;
use gateway::counter::{Call, CounterConnection, REPLY_TIMEOUT};
use gateway::driver::ConnectionEnd;
use gateway::guard::RetrySafety;
use gateway::http::{ChunkedDecoder, MAX_BODY_LEN, MAX_HEAD_LEN, MessageError};
use gateway::list::Watch;
use gateway::servers::{self, Attempt, Body, ReuseHistory, ServerConnection, Servers};
use martenramp::host::{CallOutcome, DiscoveredServer};
use martenramp::repeat_group::RepeatScope;
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
fn configuration_is_parsed_into_settings_and_methods() {
    let config = config();
    assert_eq!((config.seed, config.descriptor_limit), (0x8c1f30d27a5be964, 512));
    let get = |name: &str| config.settings[name].as_str();
    assert_eq!((get("classes.count"), get("classes.1.idempotency")), ("3", "guarded"));
    assert_eq!((get("tariffs.0.perSecond"), get("localities")), ("100.0", "a,b"));
    assert_eq!(config.positive_setting("ceilings.connIdle"), Some(15.0));
    let effects: Vec<RetrySafety> = config.methods.iter().map(|method| method.effect).collect();
    let deduplicated = RetrySafety::Deduplicated { window: 5_000_000_000, scope: RepeatScope::AllServers };
    assert_eq!(effects, [RetrySafety::Idempotent, deduplicated, RetrySafety::AtMostOnce]);
}

#[test]
fn rpc_is_parsed_only_once_it_is_whole() {
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
    // The deadline counts from the first byte of the message, not from the last.
    let mut slow = Client::default();
    slow.parse_message(&config, SEC, &text.as_bytes()[..10]).unwrap();
    slow.parse_message(&config, 2 * SEC, text.as_bytes()).unwrap();
    assert_eq!(slow.state_since, SEC);
}

#[test]
fn client_that_expects_100_continue_is_asked_for_its_body_once() {
    let (config, mut client) = (config(), Client::default());
    let text = rpc("submit", 480).replace("X-Lane", "Expect: 100-continue\r\nX-Lane");
    let head = &text.as_bytes()[..text.len() - 4];
    assert_eq!(client.parse_message(&config, SEC, head), Ok(Parsed::Continue));
    assert_eq!(client.parse_message(&config, SEC, head), Ok(Parsed::Incomplete));
    assert!(matches!(client.parse_message(&config, SEC, text.as_bytes()), Ok(Parsed::Rpc(_))));
}

#[test]
fn rejection_has_a_retry_after_header_and_a_content_length() {
    let mut out = Vec::new();
    clients::write_response(&mut out, 429, 250 * MS, true);
    let text = String::from_utf8(out).unwrap();
    assert!(text.starts_with("HTTP/1.1 429 ") && text.contains("\r\nRetry-After: 0.250\r\n"));
    assert!(text.contains("\r\nConnection: close\r\n"));
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    assert!(head.contains(&format!("Content-Length: {}\r\n", body.len())));
}

/// Parses a response; with `closed`, at the end of a connection that was closed.
fn parse_response(text: &str, closed: bool) -> Result<Option<(CallOutcome, String, bool)>, &'static str> {
    parse_response_at_end(text, closed.then_some(ConnectionEnd::Closed))
}

/// Parses a response, at the end of its connection if `connection_end` is given: its outcome, its body, and whether the
/// connection can be reused.
fn parse_response_at_end(
    text: &str,
    connection_end: Option<ConnectionEnd>,
) -> Result<Option<(CallOutcome, String, bool)>, &'static str> {
    let response = ServerConnection::new(1, 0).parse_response(text.as_bytes(), connection_end)?;
    Ok(response.map(|response| {
        let body = match &response.body {
            Body::Buffered(range) => text[range.clone()].to_string(),
            Body::Decoded(bytes) => String::from_utf8(bytes.clone()).unwrap(),
        };
        (response.outcome, body, response.reusable)
    }))
}

#[test]
fn server_responses_are_mapped_to_outcomes() {
    let ok = |outcome, body: &str, reusable| Ok(Some((outcome, body.to_string(), reusable)));
    let length = "Content-Length: 2\r\n";
    for (status, lines, outcome) in [
        (200, "", CallOutcome::Ok),
        (500, "", CallOutcome::Error),
        (503, "X-Turned-Away: 1\r\n", CallOutcome::Full),
        (504, "x-turned-away: 1\r\n", CallOutcome::Full),
        (503, "", CallOutcome::Error),
        (500, "X-Turned-Away: 1\r\n", CallOutcome::Error),
        (404, "", CallOutcome::Error),
    ] {
        let text = format!("HTTP/1.1 {status} X\r\n{lines}{length}\r\nab");
        assert_eq!(parse_response(&text, false), ok(outcome, "ab", true), "{text}");
        (0..text.len())
            .for_each(|cut| assert_eq!(parse_response(&text[..cut], true), Ok(None), "truncated at {cut}"));
    }
    assert_eq!(
        parse_response("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", false),
        ok(CallOutcome::Ok, "x", true)
    );
    let interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    assert_eq!(
        parse_response(&(interim.repeat(99) + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"), false),
        ok(CallOutcome::Ok, "x", true)
    );
    assert_eq!(
        parse_response(&interim.repeat(9_000), false),
        Err("head-too-large"),
        "the total length of interim responses is limited"
    );
    assert_eq!(
        parse_response("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx", false),
        ok(CallOutcome::Ok, "x", false)
    );
    assert_eq!(
        parse_response("HTTP/1.1 200 OK\r\n\r\nall", false),
        Ok(None),
        "it ends when the connection is closed"
    );
    assert_eq!(parse_response("HTTP/1.1 200 OK\r\n\r\nall", true), ok(CallOutcome::Ok, "all", false));
    for broken in [ConnectionEnd::Reset, ConnectionEnd::Failed("broken-pipe")] {
        assert_eq!(
            parse_response_at_end("HTTP/1.1 200 OK\r\n\r\nall", Some(broken)),
            Ok(None),
            "{broken:?} does not end a response"
        );
        let turned_away = "HTTP/1.1 503 X\r\nX-Turned-Away: 1\r\n\r\n";
        assert_eq!(parse_response_at_end(turned_away, Some(broken)), Ok(None), "{broken:?}");
    }
    assert_eq!(
        parse_response("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n", false),
        Err("body-too-large")
    );
    assert_eq!(parse_response("SSH-2.0-x\r\n\r\n", false), Err("bad-head"));
}

#[test]
fn chunked_response_is_decoded_whatever_pieces_it_arrives_in() {
    let text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Settled: 2.5\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: 1\r\n\r\n";
    for cut in 1..text.len() {
        let mut connection = ServerConnection::new(1, 0);
        assert_eq!(connection.parse_response(&text.as_bytes()[..cut], None), Ok(None), "{cut}");
        let response = connection.parse_response(text.as_bytes(), None).unwrap().unwrap();
        assert_eq!(
            (response.body, response.settled, response.message_length),
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
fn attempt_forwards_the_request_without_hop_by_hop_headers() {
    let config = config();
    let text = rpc("submit", 480)
        .replace("X-Lane", "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTraceparent: t\r\nX-Lane");
    let Ok(Parsed::Rpc(found)) = Client::default().parse_message(&config, SEC, text.as_bytes()) else {
        panic!()
    };
    let (mut connection, mut out) = (ServerConnection::new(1, 0), Vec::new());
    let attempt = Attempt { rpc: 1, number: 0, requested_at: SEC, deadline: 2 * SEC, write_by: u64::MAX };
    connection.write_attempt(&mut out, attempt, &found, text.as_bytes(), 300 * MS);
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
    assert!(connection.carries(1, 0) && !connection.carries(1, 1));
}

#[test]
fn load_report_values_are_ordered_by_the_configured_columns() {
    let columns = ["util".to_string(), "inflight".to_string(), "queue".to_string()];
    assert_eq!(
        servers::parse_load_report(b"{\"inflight\":7,\"util\":0.61,\"queue\":0}", &columns),
        [0.61, 7.0, 0.0]
    );
    // A report that can't be parsed counts as missing, never as zero load.
    for invalid in [
        "7",
        "{\"inflight\":7,\"util\":0.61}",
        "{\"inflight\":\"x\",\"util\":0.61,\"queue\":0}",
        "{\"inflight\":",
    ] {
        assert!(servers::parse_load_report(invalid.as_bytes(), &columns).is_empty(), "{invalid}");
    }
}

#[test]
fn servers_are_identified_by_name_and_their_idle_connections_dropped_when_they_move_or_restart() {
    let mut all = Servers::default();
    let listed = |name, start_time| DiscoveredServer {
        key: subsetting::key(name),
        started_at: start_time,
        ready: true,
        ..DiscoveredServer::default()
    };
    let (first, _) = all.upsert(&listed("a", 0), address(1));
    let (second, _) = all.upsert(&listed("b", 0), address(1));
    assert!(first != second);
    all.by_number.get_mut(&first).unwrap().idle_connections.push((77, SEC));
    assert_eq!(all.upsert(&listed("a", 0), address(1)), (first, vec![]));
    assert_eq!(all.upsert(&listed("a", 0), address(2)), (first, vec![77]));
    all.by_number.get_mut(&first).unwrap().idle_connections.push((78, SEC));
    assert_eq!(
        all.upsert(&listed("a", 9), address(2)),
        (first, vec![78]),
        "a new incarnation at the same address"
    );
    all.by_number.get_mut(&first).unwrap().idle_connections.push((79, SEC));
    all.by_number.get_mut(&first).unwrap().open_connections = 1;
    let (delisted, idle) = all.delist(subsetting::key("a")).unwrap();
    assert!((delisted.server, delisted.ready, idle) == (first, false, vec![79]));
    all.remove_unused();
    assert!(!all.by_key(subsetting::key("a")).unwrap().is_listed, "kept while a connection is open");
    all.by_number.get_mut(&first).unwrap().open_connections = 0;
    all.remove_unused();
    assert!(
        all.by_key(subsetting::key("a")).is_none()
            && all.by_key(subsetting::key("b")).unwrap().last_listed.server == second
    );
    assert!(all.upsert(&listed("a", 9), address(2)).0 != first, "numbers are not reused");
}

#[test]
fn connections_are_not_reused_after_idle_times_that_often_break_them() {
    let mut reuse_history = ReuseHistory::default();
    // One connection in ten breaks regardless of its idle time: no limit on the idle time follows.
    (0..200).for_each(|index| reuse_history.record(SEC, index % 20 * 10 * MS, index % 10 == 0));
    assert!(reuse_history.allows(SEC, 190 * MS));
    // Most connections that were idle for 0.15 s or longer break.
    (0..200).for_each(|index| {
        reuse_history.record(SEC, index % 20 * 10 * MS, index % 20 >= 15 && index % 2 == 0)
    });
    assert!(!reuse_history.allows(SEC, 170 * MS) && reuse_history.allows(SEC, 100 * MS));
    assert!(reuse_history.allows(32 * SEC, 170 * MS), "reuse is tried again after a while");
}

#[test]
fn watch_finds_list_objects_whatever_pieces_they_arrive_in() {
    let snapshot = list(41, true, &[entry("a", address(1), "ready"), entry("b", address(2), "draining")]);
    let change = list(43, false, &["{\"name\":\"a\",\"status\":\"gone\"}".to_string()]);
    let text = format!("{WATCH_HEAD}{}1\r\n\n\r\n{}", chunk(&snapshot), chunk(&change));
    for step in [1, 7, 64, text.len()] {
        let (mut watch, mut out) = (Watch::new(0, usize::MAX), Vec::new());
        let (mut updates, mut buffer) = (Vec::new(), Vec::new());
        watch.index = 9;
        watch.write_request(&mut out, SEC);
        assert!(out.starts_with(b"GET /api/targets?watch=1&from=9 HTTP/1.1\r\n"));
        for piece in text.as_bytes().chunks(step) {
            buffer.extend_from_slice(piece);
            let used = watch.feed(2 * SEC, &buffer, &mut updates).unwrap();
            buffer.drain(..used);
        }
        assert_eq!((updates.len(), watch.last_received), (2, 2 * SEC));
        assert!(
            updates[0].is_snapshot
                && updates[0].index == 41
                && updates[0].entries[0].ready
                && !updates[0].entries[1].ready
        );
        assert!(!updates[1].is_snapshot && updates[1].entries[0].gone);
    }
}

#[test]
fn watch_fails_on_a_refusal_an_end_or_invalid_content() {
    let feed = |text: String| {
        let mut updates = Vec::new();
        (Watch::new(0, usize::MAX).feed(SEC, text.as_bytes(), &mut updates), updates.len())
    };
    assert_eq!(feed("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".to_string()).0, Err("watch-refused"));
    assert_eq!(
        feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}".to_string()).0,
        Err("watch-not-chunked")
    );
    assert_eq!(feed(format!("{WATCH_HEAD}0\r\n\r\n")).0, Err("watch-ended"));
    let good = chunk(&list(41, true, &[entry("a", address(1), "ready")]));
    let nameless = chunk(&list(42, true, &["{\"status\":\"ready\"}".to_string()]));
    assert_eq!(
        feed(format!("{WATCH_HEAD}{good}{nameless}{good}")),
        (Err("garbled-object"), 1),
        "objects before the invalid one are applied"
    );
}

/// Simulates an overloaded list service. It serves 20 calls a second in order of arrival, including those whose caller
/// has given up, and rejects calls while 100 are queued; a caller gives up after 2 s. All callers lose their watch at
/// the same time and call again after `retry_delay(caller, failures, duration of the last call)`. Returns how many
/// callers still have no list after the time `within`.
fn callers_without_list(
    callers: u64,
    within: u64,
    mut retry_delay: impl FnMut(u64, u32, u64) -> u64,
) -> usize {
    let mut queue = std::collections::VecDeque::new();
    let (mut failures, mut has_list) = (vec![1; callers as usize], vec![false; callers as usize]);
    let mut due: std::collections::BTreeSet<_> =
        (0..callers).map(|caller| (retry_delay(caller, 0, 0), caller)).collect();
    for turn in 0..within / (50 * MS) {
        let now = turn * 50 * MS;
        while let Some((_, caller)) = due.pop_first().filter(|at| at.0 <= now || !due.insert(*at)) {
            let queue_full = queue.len() >= 100;
            if !queue_full {
                queue.push_back((now, caller));
            }
            let duration = if queue_full { 0 } else { 2 * SEC };
            due.insert((now + duration + retry_delay(caller, failures[caller as usize], duration), caller));
            failures[caller as usize] += 1;
        }
        if let Some((called_at, caller)) =
            queue.pop_front().filter(|call: &(u64, u64)| now < call.0 + 2 * SEC)
        {
            has_list[caller as usize] = called_at <= now;
            due.retain(|at| at.1 != caller);
        }
    }
    has_list.iter().filter(|has_list| !**has_list).count()
}

#[test]
fn watches_lost_at_the_same_time_all_reconnect_to_an_overloaded_list_service() {
    let synchronized = |_, failures: u32, _| ((100 * MS) << failures.min(4)).min(SEC);
    assert!(callers_without_list(100, 15 * SEC, synchronized) > 30, "synchronized retries fail");
    let (mut rng, mut watches) = (fastrand::Rng::with_seed(7), Vec::new());
    watches.resize_with(100, || Watch::new(0, usize::MAX));
    let without_list = callers_without_list(100, 15 * SEC, |caller, _, duration| {
        watches[caller as usize].retry_delay(duration, false, 100, 2 * SEC, &mut rng)
    });
    assert_eq!(without_list, 0);
}

#[test]
fn delays_before_reconnecting_a_watch_are_random_and_grow_with_the_fleet_up_to_5_s() {
    let longest_ms = |fleet: u32, failures: u32, call_duration: u64| {
        let mut rng = fastrand::Rng::with_seed(7);
        let mut watch = Watch::new(0, usize::MAX);
        watch.failures = failures;
        (0..1000)
            .map(|_| (watch.failures, watch.retry_delay(call_duration, false, fleet, 2 * SEC, &mut rng)).1)
            .max()
            .unwrap()
            / MS
    };
    assert!((950..1000).contains(&longest_ms(3, 9, 0)) && (4700..5000).contains(&longest_ms(u32::MAX, 9, 0)));
    // The duration of a call without an answer counts towards the delay, but some random delay always remains, so that
    // a fleet never calls in step.
    assert!((2600..2750).contains(&longest_ms(u32::MAX, 9, 2250 * MS)));
    assert!((230..250).contains(&longest_ms(u32::MAX, 9, 60 * SEC)));
    let mut first_delays: Vec<_> = (0..50).map(|seed| first_delay(seed, 100) / (100 * MS)).collect();
    first_delays.sort_unstable();
    first_delays.dedup();
    assert!(
        first_delays.len() >= 9 && first_delays.iter().all(|tenth| *tenth < 10),
        "spread over 1 s: {first_delays:?}"
    );
    let mut watch = Watch::new(0, usize::MAX);
    let delay = watch.retry_delay(0, false, 100, 250 * MS, &mut fastrand::Rng::with_seed(1));
    assert!(delay < 125 * MS, "the watch reconnects within the time in which a drain must take effect");
}

fn first_delay(seed: u64, fleet: u32) -> u64 {
    Watch::new(0, usize::MAX).retry_delay(0, false, fleet, 2 * SEC, &mut fastrand::Rng::with_seed(seed))
}

fn call(serial: u64, name: u64) -> Call {
    Call { serial, name, add: -2.5, ttl: 1500 * MS + 1 }
}

#[test]
fn counter_is_called_in_resp2_once_its_connection_is_established() {
    let (mut counter, mut out) = (CounterConnection::default(), Vec::new());
    counter.send_call(&mut out, SEC, call(1, 77));
    assert!(out.is_empty() && counter.has_call(1));
    counter.connected(&mut out, SEC);
    assert_eq!(out, b"*4\r\n$7\r\nINCRTTL\r\n$2\r\n77\r\n$4\r\n-2.5\r\n$4\r\n1501\r\n");
}

#[test]
fn counter_replies_are_matched_to_calls_and_late_ones_are_skipped() {
    let (mut counter, mut out, mut ended) = (CounterConnection::default(), Vec::new(), Vec::new());
    counter.connected(&mut out, SEC);
    (1..=5).for_each(|serial| counter.send_call(&mut out, SEC, call(serial, serial)));
    counter.send_ping(&mut out, SEC);
    assert_eq!(counter.time_out_call(2), Some((call(2, 2), CallOutcome::TimedOut)));
    assert_eq!(counter.time_out_call(2), None);
    let text = b"$3\r\n7.5\r\n$4\r\n99.9\r\n-BUSY later\r\n-ERR no such call\r\n:8\r\n+PONG\r\n$2";
    let used = counter.feed(SEC, text, &mut ended).unwrap();
    assert_eq!(used, text.len() - 2, "the last reply is incomplete");
    let ended: Vec<_> = ended.iter().map(|(call, outcome, total)| (call.serial, *outcome, *total)).collect();
    assert_eq!(
        ended,
        [
            (1, CallOutcome::Ok, 7.5),
            (3, CallOutcome::Full, 0.0),
            (4, CallOutcome::NotSent, 0.0),
            (5, CallOutcome::Ok, 8.0)
        ],
        "the reply to the second call was late and matches no other call"
    );
    assert_eq!(counter.feed(SEC, b"+PONG\r\n", &mut Vec::new()), Err("answer-without-call"));
}

#[test]
fn counter_reply_without_a_number_counts_as_added_and_ends_the_connection() {
    for invalid in ["$3\r\nnan\r\n", "$-1\r\n", "+OK\r\n", "-\x7fx7\r\n", ":many\r\n", "$0\r\n\r\n"] {
        let (mut counter, mut out, mut ended) = (CounterConnection::default(), Vec::new(), Vec::new());
        counter.connected(&mut out, SEC);
        (1..=2).for_each(|serial| counter.send_call(&mut out, SEC, call(serial, serial)));
        let result = counter.feed(SEC, format!("{invalid}$1\r\n7\r\n").as_bytes(), &mut ended);
        assert_eq!(
            (result, ended),
            (Err("answer-without-number"), vec![(call(1, 1), CallOutcome::Error, 0.0)]),
            "{invalid}"
        );
        assert_eq!(counter.disconnect(), [(call(2, 2), CallOutcome::Reset)], "it may have been added");
    }
}

#[test]
fn calls_on_a_broken_connection_may_have_been_counted_only_if_they_were_written() {
    let (mut counter, mut out) = (CounterConnection::default(), Vec::new());
    counter.send_call(&mut out, SEC, call(1, 1));
    assert_eq!(counter.time_out_call(1), Some((call(1, 1), CallOutcome::NoConnection)), "never written");
    counter.send_call(&mut out, SEC, call(2, 2));
    assert_eq!(counter.disconnect(), [(call(2, 2), CallOutcome::NoConnection)]);
    counter.connected(&mut out, SEC);
    counter.send_call(&mut out, SEC, call(3, 3));
    assert!(
        !counter.is_unresponsive(SEC + REPLY_TIMEOUT) && counter.is_unresponsive(SEC + REPLY_TIMEOUT + 1)
    );
    assert_eq!(counter.disconnect(), [(call(3, 3), CallOutcome::Reset)]);
    assert!(!counter.is_connected && counter.in_flight.is_empty());
}

#[test]
fn no_input_makes_a_parser_panic() {
    let config = config();
    let mut rng = fastrand::Rng::with_seed(5);
    let seeds = [
        rpc("submit", 480),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n".to_string(),
        format!("{WATCH_HEAD}{}", chunk(&list(41, true, &[entry("a", address(1), "ready")]))),
        "$3\r\n7.5\r\n-BUSY\r\n:7\r\n$-1\r\n+PONG\r\n".to_string(),
    ];
    for round in 0..20_000 {
        let mut bytes = seeds[round % seeds.len()].clone().into_bytes();
        for _ in 0..rng.usize(1..6) {
            let at = rng.usize(..bytes.len());
            match rng.u8(..4) {
                0 => bytes[at] = rng.u8(..),
                1 => bytes.truncate(at.max(1)),
                2 => bytes.insert(at, *rng.choice(b"0123456789abcdef\r\n:,=-$+\xff").unwrap()),
                _ => bytes.extend_from_within(at..),
            }
        }
        let _ = Client::default().parse_message(&config, SEC, &bytes);
        let mut connection = ServerConnection::new(1, 0);
        let cut = rng.usize(..=bytes.len());
        let _ = connection
            .parse_response(&bytes[..cut], None)
            .and_then(|_| connection.parse_response(&bytes, Some(ConnectionEnd::Closed)));
        let _ = Watch::new(0, usize::MAX).feed(SEC, &bytes, &mut Vec::new());
        let (mut counter, mut out) = (CounterConnection::default(), Vec::new());
        counter.connected(&mut out, SEC);
        (1..4).for_each(|serial| counter.send_call(&mut out, SEC, call(serial, serial)));
        let _ = counter.feed(SEC, &bytes, &mut Vec::new());
        let _ = Config::parse(&String::from_utf8_lossy(&bytes), |_| None);
        let _ = servers::parse_load_report(&bytes, &["util".to_string()]);
    }
}

#[test]
fn clock_starts_at_unix_time_and_never_goes_back() {
    let clock = gateway::driver::Clock::start();
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_nanos() as u64;
    let (first, second) = (clock.now(), clock.now());
    assert!(first <= second && unix.abs_diff(first) < 10 * SEC);
}

#[test]
fn invalid_settings_are_rejected_with_their_key() {
    let parse_error = |settings: &str| {
        let text = format!(
            "{{\"name\":\"n0\",\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\",\"seed\":\"1\",\"settings\":{settings}}}"
        );
        Config::parse(&text, |_| None).err()
    };
    assert_eq!(parse_error(&settings("")), None);
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
        let message = parse_error(&changed).unwrap_or_default();
        assert!(message.starts_with(why) && !message.contains('\n'), "{to}: {message}");
    }
}

/// Guards against memory that no share counts: the decoded part of a response takes no more than the longest message does.
#[test]
fn decoded_part_of_a_chunked_response_takes_no_more_than_the_longest_message() {
    const LONGEST_MESSAGE: usize = MAX_HEAD_LEN + MAX_BODY_LEN + 1024;
    for chunk_len in [100, 1000, 65_000] {
        let chunks = 65_000 / chunk_len;
        let chunk = format!("{chunk_len:x}\r\n{}\r\n", "b".repeat(chunk_len));
        let text =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_string() + &chunk.repeat(chunks);
        let mut connection = ServerConnection::new(1, 0);
        for end in (0..text.len()).step_by(1460).chain([text.len()]) {
            assert_eq!(connection.parse_response(&text.as_bytes()[..end], None), Ok(None));
        }
        let taken = connection.decoded_bytes();
        assert!((65_000..=LONGEST_MESSAGE).contains(&taken), "{taken} bytes, in chunks of {chunk_len}");
    }
}
