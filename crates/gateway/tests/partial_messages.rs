//! Messages that arrive in arbitrary pieces, with the connection closed or reset at any byte: the result is the same as
//! for the whole message, or a clean failure. The random numbers are seeded, so each run makes the same cuts; a failure
//! prints the round.

use gateway::clients::{Client, Parsed};
use gateway::config::Config;
use gateway::counter::{Call, CounterConnection};
use gateway::driver::ConnectionEnd;
use gateway::list::{ListUpdate, Watch};
use gateway::servers::{Response, ServerConnection};
use martenramp::host::CallOutcome;
use standins::scripted::{
    Peer, Program, SEC, WATCH_HEAD, answer, chunk, entry, list, raw_reply, refusing_address, rpc, settings,
    status, with_id,
};
use std::net::SocketAddr;

const BIN: &str = env!("CARGO_BIN_EXE_martenramp");
const CONNECTION_ENDS: [ConnectionEnd; 3] =
    [ConnectionEnd::Closed, ConnectionEnd::Reset, ConnectionEnd::Failed("broken-pipe")];

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Random offsets at which a text of this length is cut, in ascending order; the last is the length itself.
fn random_cuts(rng: &mut fastrand::Rng, length: usize) -> Vec<usize> {
    let mut offsets: Vec<usize> = (0..rng.usize(1..9)).map(|_| rng.usize(1..=length)).collect();
    offsets.push(length);
    offsets.sort_unstable();
    offsets.dedup();
    offsets
}

/// Encodes a text as HTTP chunks of random sizes, without the last chunk.
fn chunked(rng: &mut fastrand::Rng, text: &str) -> String {
    let (mut out, mut from) = (String::new(), 0);
    for to in random_cuts(rng, text.len()) {
        out += &format!("{:x}\r\n{}\r\n", to - from, &text[from..to]);
        from = to;
    }
    out
}

/// A random response in one of the framings that a server may use, and whether the framing marks its end.
fn random_response(rng: &mut fastrand::Rng) -> (String, bool) {
    let body: String = (0..rng.usize(1..200)).map(|_| rng.alphanumeric()).collect();
    let status = *rng.choice(&[200, 200, 500, 503, 504]).unwrap();
    let lines =
        *rng.choice(&["", "X-Turned-Away: 1\r\n", "X-Settled: 2.5\r\nConnection: close\r\n"]).unwrap();
    let interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(rng.usize(..3));
    let head = format!("{interim}HTTP/1.1 {status} X\r\n{lines}");
    match rng.u8(..3) {
        0 => (format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()), true),
        1 => (format!("{head}Transfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n", chunked(rng, &body)), true),
        _ => (format!("{head}\r\n{body}"), false),
    }
}

/// Parses a response that arrives in pieces, and then, if `connection_end` is given, once more with that end.
fn parse_in_pieces(text: &str, pieces: &[usize], connection_end: Option<ConnectionEnd>) -> Option<Response> {
    let mut connection = ServerConnection::new(1, 0);
    for to in pieces {
        let found = connection.parse_response(&text.as_bytes()[..*to], None).unwrap();
        if found.is_some() {
            return found;
        }
    }
    connection_end.and_then(|end| {
        connection.parse_response(&text.as_bytes()[..*pieces.last().unwrap()], Some(end)).unwrap()
    })
}

#[test]
fn response_in_any_pieces_is_parsed_whole_or_not_at_all() {
    let mut rng = fastrand::Rng::with_seed(11);
    for round in 0..3_000 {
        let (text, marks_end) = random_response(&mut rng);
        let whole = parse_in_pieces(&text, &[text.len()], Some(ConnectionEnd::Closed));
        assert!(whole.is_some(), "{round}: {text:?}");
        let pieces = random_cuts(&mut rng, text.len());
        let parsed = parse_in_pieces(&text, &pieces, Some(ConnectionEnd::Closed));
        assert_eq!(parsed, whole, "{round}: {pieces:?} of {text:?}");
        assert_eq!(
            parse_in_pieces(&text, &pieces, None).is_some(),
            marks_end,
            "{round}: a response without a length ends only when the connection closes"
        );
        // Truncated at any byte.
        let short = rng.usize(1..text.len());
        let pieces = random_cuts(&mut rng, short);
        for ended in CONNECTION_ENDS {
            let got = parse_in_pieces(&text[..short], &pieces, Some(ended));
            assert!(
                got.is_none() || !marks_end && ended == ConnectionEnd::Closed,
                "{round}: {ended:?} at {short} of {text:?}"
            );
        }
    }
}

/// Inserts random white space where JSON allows it.
fn with_white_space(rng: &mut fastrand::Rng, object: &str) -> String {
    let (mut out, mut quoted) = (String::new(), false);
    for letter in object.chars() {
        quoted ^= letter == '"';
        out.push(letter);
        if !quoted && ",:[{".contains(letter) {
            out += *rng.choice(&["", "", " ", "\r\n", "\n\t  "]).unwrap();
        }
    }
    out
}

/// The list updates that a watch finds in a text that arrives in pieces, and the error that ended the watch, if any.
fn feed_watch(text: &str, pieces: &[usize]) -> (Vec<ListUpdate>, Option<&'static str>) {
    let (mut watch, mut found, mut from) = (Watch::new(0, usize::MAX), Vec::new(), 0);
    for to in pieces {
        match watch.feed(SEC, &text.as_bytes()[from..*to], &mut found) {
            Ok(used) => from += used,
            Err(why) => return (found, Some(why)),
        }
    }
    (found, None)
}

#[test]
fn lists_in_any_pieces_chunks_and_white_space_are_parsed_whole_and_incomplete_ones_are_ignored() {
    let mut rng = fastrand::Rng::with_seed(12);
    for round in 0..2_000 {
        let statuses = ["ready", "draining", "gone"];
        let objects: Vec<String> = (0..rng.u64(1..4))
            .map(|index| {
                let entries: Vec<String> = (0..rng.u16(..4))
                    .map(|at| entry(&format!("s{at}"), address(at + 1), rng.choice(&statuses).unwrap()))
                    .collect();
                list(index + 1, rng.bool(), &entries)
            })
            .collect();
        let lines: Vec<String> = objects.iter().map(|object| with_white_space(&mut rng, object)).collect();
        let between = *rng.choice(&["", "\n", "\r\n\r\n", "\n\n  "]).unwrap();
        let text = format!(
            "{WATCH_HEAD}{}",
            chunked(&mut rng, &format!("{between}{}{between}", lines.join(between)))
        );
        let plain = format!("{WATCH_HEAD}{}", objects.iter().map(|object| chunk(object)).collect::<String>());
        let (whole, why) = feed_watch(&plain, &[plain.len()]);
        assert_eq!((whole.len(), why), (objects.len(), None));
        let pieces = random_cuts(&mut rng, text.len());
        assert_eq!(
            feed_watch(&text, &pieces),
            (feed_watch(&plain, &[plain.len()]).0, None),
            "{round}: {pieces:?} of {text:?}"
        );
        // Truncated at any byte: the first objects, each of them whole.
        let short = rng.usize(1..text.len());
        let (updates, why) = feed_watch(&text[..short], &random_cuts(&mut rng, short));
        assert_eq!((&updates[..], why), (&whole[..updates.len()], None), "{round}: {short} of {text:?}");
    }
}

#[test]
fn rpc_in_any_pieces_is_parsed_whole_or_not_at_all() {
    let mut rng = fastrand::Rng::with_seed(13);
    let config = format!(
        "{{\"name\":\"n0\",\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\",\"seed\":\"1\",\"settings\":{}}}",
        settings("")
    );
    let config = Config::parse(&config, |_| None).unwrap();
    for round in 0..2_000 {
        let method = *rng.choice(&["read", "submit", "verify"]).unwrap();
        let text = rpc(method, rng.u64(1..5000));
        let text = format!("{}{text}", "\r\n".repeat(rng.usize(..3)));
        let whole = Client::default().parse_message(&config, SEC, text.as_bytes());
        assert!(matches!(whole, Ok(Parsed::Rpc(_))), "{round}: {text:?}");
        let mut client = Client::default();
        for to in random_cuts(&mut rng, text.len()) {
            let got = client.parse_message(&config, SEC, &text.as_bytes()[..to]);
            let expected = if to == text.len() { whole.clone() } else { Ok(Parsed::Incomplete) };
            assert_eq!(got, expected, "{round}: {to} of {text:?}");
        }
    }
}

#[test]
fn counter_replies_in_any_pieces_are_parsed_whole_and_unanswered_calls_may_have_been_counted() {
    let mut rng = fastrand::Rng::with_seed(14);
    for round in 0..2_000 {
        let calls = rng.u64(1..6);
        let replies =
            ["$3\r\n7.5\r\n", "-BUSY later\r\n", "-ERR no such call\r\n", ":8\r\n", "$5\r\n1e-06\r\n"];
        let text: String = (0..calls).map(|_| *rng.choice(&replies).unwrap()).collect();
        let feed = |pieces: &[usize]| {
            let (mut connection, mut out, mut ended, mut from) =
                (CounterConnection::default(), Vec::new(), Vec::new(), 0);
            connection.connected(&mut out, SEC);
            for serial in 1..=calls {
                connection.send_call(&mut out, SEC, Call { serial, name: serial, add: 1.0, ttl: SEC });
            }
            for to in pieces {
                from += connection.feed(SEC, &text.as_bytes()[from..*to], &mut ended).unwrap();
            }
            (ended, connection.disconnect())
        };
        let (whole, pending) = feed(&[text.len()]);
        assert!(whole.len() == calls as usize && pending.is_empty());
        let pieces = random_cuts(&mut rng, text.len());
        assert_eq!(feed(&pieces).0, whole, "{round}: {pieces:?} of {text:?}");
        let short = rng.usize(1..text.len());
        let (completed, pending) = feed(&random_cuts(&mut rng, short));
        assert_eq!(completed[..], whole[..completed.len()], "{round}: {short} of {text:?}");
        assert_eq!(completed.len() + pending.len(), calls as usize, "each call ends once");
        assert!(pending.iter().all(|call| call.1 == CallOutcome::Reset));
    }
}

// The same on real connections to a gateway process.

/// Starts a gateway that knows this server, with discovery down and a quota that never makes a request wait.
fn start_gateway(server: &Peer) -> Program {
    let known = list(3, true, &[entry("s0", server.address, "ready")]);
    let settings =
        settings("").replace("\"perSecond\":100.0,\"depth\":100.0", "\"perSecond\":1e6,\"depth\":1e6");
    Program::start(BIN, refusing_address(), &format!("\"known\":{known},"), &settings)
}

#[test]
fn request_whose_connection_ends_at_any_byte_before_it_is_whole_is_not_forwarded() {
    let server = Peer::new(|_, _| answer(200, "", "on"));
    let gateway = start_gateway(&server);
    let whole = |number: usize| rpc("verify", 5000).replace("0123456789abcdef", &format!("{number:016x}"));
    let length = whole(0).len();
    for cut in (0..length).step_by(3).chain([length - 1]) {
        for resets in [false, true] {
            let mut client = gateway.client();
            client.send(&whole(2 * cut + usize::from(resets))[..cut]);
            if resets { client.reset() } else { drop(client) }
        }
    }
    // Connections are accepted in the order in which they arrive, so the gateway has handled all earlier ones by then.
    assert!(gateway.client().ask(&whole(1 << 20)).ends_with("on"));
    assert!(server.next().1.contains(&format!("{:016x}", 1 << 20)) && server.nothing_received());
}

#[test]
fn response_whose_connection_ends_at_any_byte_is_forwarded_whole_or_not_at_all_without_a_retry() {
    let server = Peer::new(|_, _| (Vec::new(), false));
    let gateway = start_gateway(&server);
    let (with_length, without_length) =
        ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "HTTP/1.1 200 OK\r\n\r\nwhole");
    let mut ids = 1..; // an id is fresh on every request
    for (text, marks_end) in [(with_length, true), (without_length, false)] {
        for cut in 0..=text.len() {
            for resets in [false, true] {
                let mut client = gateway.client();
                client.send(&with_id(&rpc("verify", 5000), ids.next().unwrap()));
                let connection = server.next().0;
                server.write(connection, &text[..cut]);
                if resets {
                    server.reset(connection)
                } else {
                    server.close(connection)
                }
                let got = client.answer().unwrap();
                let forwarded =
                    if marks_end { cut == text.len() } else { !resets && text[..cut].contains("\r\n\r\n") };
                assert_eq!(
                    status(&got),
                    if forwarded { 200 } else { 502 },
                    "{cut} of {text:?}, reset {resets}: {got}"
                );
                let body = &text[..cut].split("\r\n\r\n").nth(1).unwrap_or_default();
                assert!(!forwarded || got.ends_with(&format!("\r\n\r\n{body}")), "{got}");
            }
        }
    }
    assert!(server.nothing_received());
}

#[test]
fn watch_that_ends_at_any_byte_leaves_the_list_of_the_last_whole_object() {
    let (old, new) = (Peer::new(|_, _| answer(200, "", "old")), Peer::new(|_, _| answer(200, "", "new")));
    let object = list(4, true, &[entry("s1", new.address, "ready")]);
    let text = chunk(&object);
    let discovery = Peer::new(|_, _| raw_reply(WATCH_HEAD));
    for cut in (0..text.len()).step_by(29).chain([text.len() - 3, text.len()]) {
        let known = list(3, true, &[entry("s0", old.address, "ready")]);
        let settings = settings("\"membershipMode\":\"push\",");
        let gateway = Program::start(BIN, discovery.address, &format!("\"known\":{known},"), &settings);
        let (connection, request) = discovery.next();
        assert!(request.contains("from=3"));
        discovery.write(connection, &text[..cut]);
        discovery.reset(connection);
        let (_, next_request) = discovery.next();
        // The object is whole without the chunk's last three bytes: the line feed after the object and the CRLF after
        // the chunk.
        let whole = cut + 3 >= text.len();
        assert!(next_request.contains(if whole { "from=4" } else { "from=3" }), "{cut} of {}", text.len());
        let got = gateway.client().ask(&rpc("read", 2000));
        assert!(got.ends_with(if whole { "new" } else { "old" }), "{cut}: {got}");
    }
}
