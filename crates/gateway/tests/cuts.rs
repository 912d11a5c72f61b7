//! Bytes that come in any pieces, with an end or a reset at any of them: what comes of it is what came of the whole, or a
//! clean failure. Seeded, so that each run plays the same cuts; a failure prints the round.

use gateway::clients::{Client, Parsed};
use gateway::config::Config;
use gateway::counter::{Call, CounterConnection};
use gateway::driver::ConnectionEnd;
use gateway::list::{ListUpdate, Watch};
use gateway::servers::{Response, ServerConnection};
use martenramp::host::CallOutcome;
use standins::scripted::{
    Peer, Program, SEC, WATCH_HEAD, answer, chunk, entry, list, raw_reply, refusing_address, rpc, settings,
    status,
};
use std::net::SocketAddr;

const BIN: &str = env!("CARGO_BIN_EXE_martenramp");
const ENDINGS: [ConnectionEnd; 3] =
    [ConnectionEnd::Closed, ConnectionEnd::Reset, ConnectionEnd::Failed("broken-pipe")];

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Places at which a text of this length is cut, in order, its end the last.
fn cuts(chance: &mut fastrand::Rng, length: usize) -> Vec<usize> {
    let mut places: Vec<usize> = (0..chance.usize(1..9)).map(|_| chance.usize(1..=length)).collect();
    places.push(length);
    places.sort_unstable();
    places.dedup();
    places
}

/// A text in chunks of any size.
fn chunked(chance: &mut fastrand::Rng, text: &str) -> String {
    let (mut out, mut from) = (String::new(), 0);
    for to in cuts(chance, text.len()) {
        out += &format!("{:x}\r\n{}\r\n", to - from, &text[from..to]);
        from = to;
    }
    out
}

/// An answer as a server may frame it, and whether it tells its length.
fn any_answer(chance: &mut fastrand::Rng) -> (String, bool) {
    let body: String = (0..chance.usize(1..200)).map(|_| chance.alphanumeric()).collect();
    let status = *chance.choice(&[200, 200, 500, 503, 504]).unwrap();
    let lines =
        *chance.choice(&["", "X-Turned-Away: 1\r\n", "X-Settled: 2.5\r\nConnection: close\r\n"]).unwrap();
    let interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(chance.usize(..3));
    let head = format!("{interim}HTTP/1.1 {status} X\r\n{lines}");
    match chance.u8(..3) {
        0 => (format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()), true),
        1 => (format!("{head}Transfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n", chunked(chance, &body)), true),
        _ => (format!("{head}\r\n{body}"), false),
    }
}

/// What one link makes of a text that comes in pieces, before an end of its connection and with it.
fn looked(text: &str, pieces: &[usize], ended: Option<ConnectionEnd>) -> Option<Response> {
    let mut link = ServerConnection::new(1, 0);
    for to in pieces {
        let found = link.parse_response(&text.as_bytes()[..*to], None).unwrap();
        if found.is_some() {
            return found;
        }
    }
    ended.and_then(|ended| {
        link.parse_response(&text.as_bytes()[..*pieces.last().unwrap()], Some(ended)).unwrap()
    })
}

#[test]
fn an_answer_in_any_pieces_is_the_whole_one_or_none() {
    let mut chance = fastrand::Rng::with_seed(11);
    for round in 0..3_000 {
        let (text, told) = any_answer(&mut chance);
        let whole = looked(&text, &[text.len()], Some(ConnectionEnd::Closed));
        assert!(whole.is_some(), "{round}: {text:?}");
        let pieces = cuts(&mut chance, text.len());
        let same = looked(&text, &pieces, Some(ConnectionEnd::Closed));
        assert_eq!(same, whole, "{round}: {pieces:?} of {text:?}");
        assert_eq!(
            looked(&text, &pieces, None).is_some(),
            told,
            "{round}: what tells no length ends by a close only"
        );
        // Cut short at any byte.
        let short = chance.usize(1..text.len());
        let pieces = cuts(&mut chance, short);
        for ended in ENDINGS {
            let got = looked(&text[..short], &pieces, Some(ended));
            assert!(
                got.is_none() || !told && ended == ConnectionEnd::Closed,
                "{round}: {ended:?} at {short} of {text:?}"
            );
        }
    }
}

/// White space wherever an object may have it.
fn spaced(chance: &mut fastrand::Rng, object: &str) -> String {
    let (mut out, mut quoted) = (String::new(), false);
    for letter in object.chars() {
        quoted ^= letter == '"';
        out.push(letter);
        if !quoted && ",:[{".contains(letter) {
            out += *chance.choice(&["", "", " ", "\r\n", "\n\t  "]).unwrap();
        }
    }
    out
}

/// What a watch finds in a text that comes in pieces, and whether it broke off.
fn told(text: &str, pieces: &[usize]) -> (Vec<ListUpdate>, Option<&'static str>) {
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
fn lists_in_any_pieces_chunks_and_white_space_are_the_whole_ones_and_a_half_one_is_none() {
    let mut chance = fastrand::Rng::with_seed(12);
    for round in 0..2_000 {
        let statuses = ["ready", "draining", "gone"];
        let objects: Vec<String> = (0..chance.u64(1..4))
            .map(|index| {
                let entries: Vec<String> = (0..chance.u16(..4))
                    .map(|at| entry(&format!("s{at}"), address(at + 1), chance.choice(&statuses).unwrap()))
                    .collect();
                list(index + 1, chance.bool(), &entries)
            })
            .collect();
        let lines: Vec<String> = objects.iter().map(|object| spaced(&mut chance, object)).collect();
        let between = *chance.choice(&["", "\n", "\r\n\r\n", "\n\n  "]).unwrap();
        let text = format!(
            "{WATCH_HEAD}{}",
            chunked(&mut chance, &format!("{between}{}{between}", lines.join(between)))
        );
        let plain = format!("{WATCH_HEAD}{}", objects.iter().map(|object| chunk(object)).collect::<String>());
        let (whole, why) = told(&plain, &[plain.len()]);
        assert_eq!((whole.len(), why), (objects.len(), None));
        let pieces = cuts(&mut chance, text.len());
        assert_eq!(
            told(&text, &pieces),
            (told(&plain, &[plain.len()]).0, None),
            "{round}: {pieces:?} of {text:?}"
        );
        // Cut short at any byte: a part of the objects, each whole.
        let short = chance.usize(1..text.len());
        let (some, why) = told(&text[..short], &cuts(&mut chance, short));
        assert_eq!((&some[..], why), (&whole[..some.len()], None), "{round}: {short} of {text:?}");
    }
}

#[test]
fn an_rpc_in_any_pieces_is_the_whole_one_or_none() {
    let mut chance = fastrand::Rng::with_seed(13);
    let config = format!(
        "{{\"name\":\"n0\",\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\",\"seed\":\"1\",\"settings\":{}}}",
        settings("")
    );
    let config = Config::parse(&config, |_| None).unwrap();
    for round in 0..2_000 {
        let method = *chance.choice(&["read", "submit", "verify"]).unwrap();
        let text = rpc(method, chance.u64(1..5000));
        let text = format!("{}{text}", "\r\n".repeat(chance.usize(..3)));
        let whole = Client::default().parse_message(&config, SEC, text.as_bytes());
        assert!(matches!(whole, Ok(Parsed::Rpc(_))), "{round}: {text:?}");
        let mut client = Client::default();
        for to in cuts(&mut chance, text.len()) {
            let got = client.parse_message(&config, SEC, &text.as_bytes()[..to]);
            let expected = if to == text.len() { whole.clone() } else { Ok(Parsed::Incomplete) };
            assert_eq!(got, expected, "{round}: {to} of {text:?}");
        }
    }
}

#[test]
fn answers_of_the_counter_in_any_pieces_are_the_whole_ones_and_the_rest_may_have_counted() {
    let mut chance = fastrand::Rng::with_seed(14);
    for round in 0..2_000 {
        let calls = chance.u64(1..6);
        let said = ["$3\r\n7.5\r\n", "-BUSY later\r\n", "-ERR no such call\r\n", ":8\r\n", "$5\r\n1e-06\r\n"];
        let text: String = (0..calls).map(|_| *chance.choice(&said).unwrap()).collect();
        let fed = |pieces: &[usize]| {
            let (mut line, mut out, mut ended, mut from) =
                (CounterConnection::default(), Vec::new(), Vec::new(), 0);
            line.connected(&mut out, SEC);
            for serial in 1..=calls {
                line.send_call(&mut out, SEC, Call { serial, name: serial, add: 1.0, ttl: SEC });
            }
            for to in pieces {
                from += line.feed(SEC, &text.as_bytes()[from..*to], &mut ended).unwrap();
            }
            (ended, line.disconnect())
        };
        let (whole, left) = fed(&[text.len()]);
        assert!(whole.len() == calls as usize && left.is_empty());
        let pieces = cuts(&mut chance, text.len());
        assert_eq!(fed(&pieces).0, whole, "{round}: {pieces:?} of {text:?}");
        let short = chance.usize(1..text.len());
        let (some, left) = fed(&cuts(&mut chance, short));
        assert_eq!(some[..], whole[..some.len()], "{round}: {short} of {text:?}");
        assert_eq!(some.len() + left.len(), calls as usize, "each call ends once");
        assert!(left.iter().all(|end| end.1 == CallOutcome::Reset));
    }
}

// ---- The same on connections.

fn gateway(server: &Peer) -> Program {
    let known = list(3, true, &[entry("s0", server.address, "ready")]);
    let steady =
        settings("").replace("\"perSecond\":100.0,\"depth\":100.0", "\"perSecond\":1e6,\"depth\":1e6");
    Program::start(BIN, refusing_address(), &format!("\"known\":{known},"), &steady)
}

#[test]
fn a_client_that_ends_at_any_byte_of_its_message_has_nothing_sent_on_before_it_is_whole() {
    let server = Peer::new(|_, _| answer(200, "", "on"));
    let gateway = gateway(&server);
    let whole = |number: usize| rpc("verify", 5000).replace("0123456789abcdef", &format!("{number:016x}"));
    let length = whole(0).len();
    for cut in (0..length).step_by(3).chain([length - 1]) {
        for resets in [false, true] {
            let mut client = gateway.client();
            client.send(&whole(2 * cut + usize::from(resets))[..cut]);
            if resets { client.reset() } else { drop(client) }
        }
    }
    // What the gateway took before this one has been dealt with: connections are taken in the order in which they came.
    assert!(gateway.client().ask(&whole(1 << 20)).ends_with("on"));
    assert!(server.next().1.contains(&format!("{:016x}", 1 << 20)) && server.nothing_received());
}

#[test]
fn an_answer_that_ends_at_any_byte_is_passed_on_whole_or_not_at_all_and_is_never_asked_for_twice() {
    let server = Peer::new(|_, _| (Vec::new(), false));
    let gateway = gateway(&server);
    let (fixed, open) = ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "HTTP/1.1 200 OK\r\n\r\nwhole");
    for (text, told) in [(fixed, true), (open, false)] {
        for cut in 0..=text.len() {
            for resets in [false, true] {
                let mut client = gateway.client();
                client.send(&rpc("verify", 5000));
                let on = server.next().0;
                server.write(on, &text[..cut]);
                if resets {
                    server.reset(on)
                } else {
                    server.close(on)
                }
                let got = client.answer().unwrap();
                let passed =
                    if told { cut == text.len() } else { !resets && text[..cut].contains("\r\n\r\n") };
                assert_eq!(
                    status(&got),
                    if passed { 200 } else { 502 },
                    "{cut} of {text:?}, reset {resets}: {got}"
                );
                let body = &text[..cut].split("\r\n\r\n").nth(1).unwrap_or_default();
                assert!(!passed || got.ends_with(&format!("\r\n\r\n{body}")), "{got}");
            }
        }
    }
    assert!(server.nothing_received());
}

#[test]
fn a_watch_that_ends_at_any_byte_leaves_the_list_as_the_last_whole_object_told_it() {
    let (old, new) = (Peer::new(|_, _| answer(200, "", "old")), Peer::new(|_, _| answer(200, "", "new")));
    let object = list(4, true, &[entry("s1", new.address, "ready")]);
    let text = chunk(&object);
    let discovery = Peer::new(|_, _| raw_reply(WATCH_HEAD));
    for cut in (0..text.len()).step_by(29).chain([text.len() - 3, text.len()]) {
        let known = list(3, true, &[entry("s0", old.address, "ready")]);
        let pushed = settings("\"membershipMode\":\"push\",");
        let gateway = Program::start(BIN, discovery.address, &format!("\"known\":{known},"), &pushed);
        let (on, asked) = discovery.next();
        assert!(asked.contains("from=3"));
        discovery.write(on, &text[..cut]);
        discovery.reset(on);
        let (_, again) = discovery.next();
        // The object is whole without the chunk's last bytes: a line end each of the object and of the chunk.
        let whole = cut + 3 >= text.len();
        assert!(again.contains(if whole { "from=4" } else { "from=3" }), "{cut} of {}", text.len());
        let got = gateway.client().ask(&rpc("read", 2000));
        assert!(got.ends_with(if whole { "new" } else { "old" }), "{cut}: {got}");
    }
}
