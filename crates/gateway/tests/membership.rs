//! Lists of servers of any length: taken in pieces within a bound on memory, whole or not at all.

use gateway::list::{self, Told, Watch};
use gateway::objects::{DEPTH_MOST, ELEMENT_MOST, FRAME_MOST};
use standins::scripted::{MS, Peer, Program, SEC, WATCH, answer, chunk, entry, list, rpc, say, settings};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const BIN: &str = env!("CARGO_BIN_EXE_martenramp");
/// More memory than any list of a story takes.
const AMPLE: usize = 64 << 20;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// What a watch with this much memory for entries makes of an object that comes in pieces of this length, and its fault.
fn taken(object: &[u8], memory: usize, piece: usize) -> (Vec<Told>, Option<&'static str>) {
    let (mut watch, mut told, mut buffer) = (Watch::new(0, memory), Vec::new(), Vec::new());
    let head = format!("{WATCH}{:x}\r\n", object.len());
    let bytes = [head.as_bytes(), object, b"\r\n"].concat();
    for part in bytes.chunks(piece) {
        buffer.extend_from_slice(part);
        match watch.feed(SEC, &buffer, &mut told) {
            Ok(used) => drop(buffer.drain(..used)),
            Err(why) => return (told, Some(why)),
        }
    }
    (told, None)
}

/// The first object in these bytes, read as a whole; a fault behind its end is another matter.
fn parsed(bytes: &[u8]) -> Option<Told> {
    let first = serde_json::Deserializer::from_slice(bytes).into_iter::<serde_json::Value>().next()?;
    list::read(&first.ok()?)
}

/// Keys in any order, with others that mean nothing here, and white space wherever it may stand.
fn any_object(chance: &mut fastrand::Rng) -> String {
    let space = |chance: &mut fastrand::Rng| *chance.choice(&["", "", " ", "\r\n", "\n\t  "]).unwrap();
    let statuses = ["ready", "draining", "gone"];
    let entries: Vec<String> = (0..chance.u16(..5))
        .map(|at| {
            let entry = entry(&format!("s{at}"), address(at + 1), chance.choice(&statuses).unwrap());
            let more = ["", ",\"note\":{\"endpoints\":[1,{}]}", ",\"note\":\"},{\\\"\\\\\""];
            entry.replacen("}", &format!("{}}}", chance.choice(&more).unwrap()), 1)
        })
        .collect();
    let separator = format!("{},{}", space(chance), space(chance));
    let array = format!("[{}{}{}]", space(chance), entries.join(&separator), space(chance));
    let mut keys = vec![
        format!("\"index\":{}", chance.u64(1..1000)),
        format!("\"snapshot\"{}:{}{}", space(chance), space(chance), chance.bool()),
        format!("\"endpoints\"{}:{}{array}", space(chance), space(chance)),
    ];
    let others = ["\"more\":{\"endpoints\":[[]]}", "\"text\":\"a,\\\"endpoints\\\":[{\"", "\"none\":null"];
    keys.extend(others.iter().filter(|_| chance.bool()).map(|other| other.to_string()));
    chance.shuffle(&mut keys);
    format!("{{{}{}{}}}", space(chance), keys.join(&separator), space(chance))
}

#[test]
fn an_object_in_any_pieces_with_its_keys_in_any_order_is_the_one_that_a_whole_reading_gives() {
    let mut chance = fastrand::Rng::with_seed(31);
    for round in 0..3_000 {
        let object = any_object(&mut chance);
        let whole = parsed(object.as_bytes()).expect("an object of the list's form");
        let piece = chance.usize(1..=object.len());
        assert_eq!(taken(object.as_bytes(), AMPLE, piece), (vec![whole], None), "{round}: {object}");
    }
}

#[test]
fn an_object_with_spoilt_bytes_is_taken_as_a_whole_reading_takes_it_or_not_at_all() {
    let mut chance = fastrand::Rng::with_seed(32);
    let mut spoilt = 0;
    for round in 0..20_000 {
        let mut object = any_object(&mut chance).into_bytes();
        let at = chance.usize(..object.len());
        match chance.u8(..3) {
            0 => object[at] = *chance.choice(b"{}[],:\"\\ 0x\n").unwrap(),
            1 => drop(object.remove(at)),
            _ => object.insert(at, *chance.choice(b"{}[],:\"\\ 0x\n").unwrap()),
        }
        let (told, why) = taken(&object, AMPLE, chance.usize(1..=object.len()));
        let whole = parsed(&object);
        spoilt += usize::from(whole.is_none());
        let shown = String::from_utf8_lossy(&object);
        match told.first() {
            Some(first) => assert_eq!(Some(first), whole.as_ref(), "{round}: {shown}"),
            None => assert!(whole.is_none() || why.is_some(), "{round}: {shown}"),
        }
        assert!(told.len() <= 1, "{round}: {shown}");
    }
    assert!(spoilt > 5_000, "{spoilt} of the rounds spoil anything");
}

#[test]
fn an_object_that_can_not_be_taken_says_why_and_nothing_of_it_is_told() {
    let good = entry("a", address(1), "ready");
    let of = |entries: &str| format!("{{\"index\":1,\"snapshot\":true,\"endpoints\":[{entries}]}}");
    let (deep, long) = ("[".repeat(DEPTH_MOST), "x".repeat(ELEMENT_MOST));
    let frame = "x".repeat(FRAME_MOST);
    for (object, why) in [
        ("[1,2]".to_string(), "garbled-object"),
        ("{\"error\":\"no such page\"}".to_string(), "garbled-object"),
        ("{\"index\":1,\"snapshot\":true}".to_string(), "garbled-object"),
        ("{\"index\":1,\"snapshot\":true,\"endpoints\":{}}".to_string(), "garbled-object"),
        (format!("{{\"index\":1,\"endpoints\":[{good}]}}"), "garbled-object"),
        (format!("{{\"index\":-1,\"snapshot\":true,\"endpoints\":[{good}]}}"), "garbled-object"),
        (of(&format!("{good}{good}")), "garbled-object"),
        (of(&format!("{good},")), "garbled-object"),
        (of(&format!(",{good}")), "garbled-object"),
        (of("7"), "garbled-object"),
        (of(&format!("{good},{{\"status\":\"ready\"}}")), "garbled-object"),
        (
            format!("{{\"index\":1,\"snapshot\":true,\"endpoints\":[{good}],\"endpoints\":[]}}"),
            "garbled-object",
        ),
        (format!("{{\"index\":1,\"snapshot\":true,\"\\u0065ndpoints\":[{good}]}}"), "garbled-object"),
        (of(&format!("{good},{{\"name\":{deep}")), "object-too-deep"),
        (of(&format!("{good},{{\"name\":\"{long}\"}}")), "entry-too-long"),
        (format!("{{\"index\":1,\"snapshot\":true,\"more\":\"{frame}\","), "object-too-long"),
    ] {
        let shown = &object[..object.len().min(200)];
        for piece in [7, 1000, usize::MAX] {
            assert_eq!(taken(object.as_bytes(), AMPLE, piece), (vec![], Some(why)), "{shown}");
        }
    }
    // White space around the entries takes no memory, however much of it there is.
    let blanks = " ".repeat(4 * FRAME_MOST);
    let padded = of(&good).replace(",\"endpoints\":[", &format!(",{blanks}\"endpoints\"{blanks}:[{blanks}"));
    assert_eq!(taken(padded.as_bytes(), AMPLE, 1000), (vec![parsed(padded.as_bytes()).unwrap()], None));
}

#[test]
fn a_list_whose_entries_take_too_much_memory_is_not_taken_and_one_entry_less_is() {
    let entries: Vec<String> = (1..400).map(|at| entry(&format!("s{at:03}"), address(at), "ready")).collect();
    let least = |count: usize| {
        let object = list(9, true, &entries[..count]);
        let fits = |memory: &usize| taken(object.as_bytes(), *memory, 4096).1.is_none();
        (0..AMPLE).step_by(8).find(fits).unwrap()
    };
    // The bound goes by each entry's own memory, so that it holds for any number of them.
    let (few, more) = (least(10), least(20));
    assert!((10 * 100..10 * 200).contains(&(more - few)), "{few} bytes for 10 entries and {more} for 20");
    let memory = 399 * (more - few) / 10;
    let object = list(9, true, &entries);
    assert_eq!(taken(object.as_bytes(), memory, 4096).1, None);
    assert_eq!(taken(object.as_bytes(), memory - 8, 4096), (vec![], Some("list-too-long")));
    // The next object has the whole of it again.
    let twice = format!("{object}\n{object}");
    assert_eq!(taken(twice.as_bytes(), memory, 4096).0.len(), 2);
}

#[test]
fn a_watch_that_goes_on_by_entries_is_alive_and_one_that_says_blanks_in_the_midst_of_an_object_is_not() {
    let (mut watch, mut told, mut out) = (Watch::new(0, AMPLE), Vec::new(), Vec::new());
    watch.ask(&mut out, SEC);
    watch.feed(SEC, WATCH.as_bytes(), &mut told).unwrap();
    let begin = "{\"index\":1,\"snapshot\":true,\"endpoints\":[";
    let piece = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    watch.feed(SEC, piece(begin).as_bytes(), &mut told).unwrap();
    for second in 2..30 {
        let one = entry(&format!("s{second}"), address(1), "ready") + if second == 29 { "]}" } else { "," };
        watch.feed(second * SEC, piece(&one).as_bytes(), &mut told).unwrap();
        assert!(!watch.is_silent(second * SEC + SEC / 2));
    }
    assert_eq!(told[0].entries.len(), 28);
    watch.feed(30 * SEC, piece(begin).as_bytes(), &mut told).unwrap();
    for second in 31..34 {
        watch.feed(second * SEC, piece("\n").as_bytes(), &mut told).unwrap();
    }
    assert!(watch.is_silent(33 * SEC + SEC / 2 + MS));
}

/// Asks `count` times at once for a watch whose first object can't be taken, each time `apart`: the least rests.
fn rests_untaken(count: usize, apart: u64) -> Vec<u64> {
    let (mut watch, mut chance) = (Watch::new(0, AMPLE), fastrand::Rng::with_seed(5));
    let bad = format!("{WATCH}{}", chunk("[]"));
    (0..count as u64)
        .map(|call| {
            watch.ask(&mut Vec::new(), call * 100 * SEC);
            watch.feed(call * 100 * SEC + apart, bad.as_bytes(), &mut Vec::new()).unwrap_err();
            watch.rest_untaken(&mut chance)
        })
        .collect()
}

#[test]
fn rests_after_lists_that_can_not_be_taken_grow_within_the_time_in_which_a_change_must_be_told() {
    let rests = rests_untaken(40, MS);
    assert_eq!(rests[0], 0, "one may be an accident");
    for (at, least) in [(1, 250), (2, 500), (3, 1000), (4, 2000), (39, 2000)] {
        assert!((least * MS..2 * least * MS).contains(&rests[at]), "{at}: {}", rests[at] / MS);
    }
    assert!(rests.iter().all(|rest| *rest < 4 * SEC), "a watch is answered within the 2 s that are left");
    assert_eq!(rests_untaken(10, 6 * SEC), [0; 10], "a watch that stood for long is no further one in a row");
}

// ---- The same with the program itself.

fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap()
}

fn wait_ready(gateway: &Program) {
    let mut client = gateway.client();
    while status(&client.ask("GET /-/ready HTTP/1.1\r\n\r\n")) != 200 {
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The most memory that a process has held, in KiB.
fn peak_memory(gateway: &Program) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.child.id())).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    peak.and_then(|peak| peak.trim().strip_suffix(" kB")?.parse().ok()).unwrap()
}

#[test]
fn a_list_of_fifty_thousand_servers_in_one_object_is_taken_within_a_bound_on_memory() {
    let server = Peer::new(|_, _| answer(200, "", "on"));
    let name = |at: usize| format!("{at:08}-{}", "of-a-service-with-quite-a-long-name-as-they-are-at-size");
    let entries: Vec<String> = (0..50_000).map(|at| entry(&name(at), server.address, "ready")).collect();
    let object = list(7, true, &entries);
    assert!(object.len() > 8 << 20, "{} bytes", object.len());
    let first = format!("{WATCH}{}", chunk(&object));
    let discovery = Peer::new(move |_, _| say(&first));
    let gateway = Program::start(BIN, discovery.address, "", &settings(""));
    let start = Instant::now();
    wait_ready(&gateway);
    let (ready, peak) = (start.elapsed(), peak_memory(&gateway));
    println!("{} bytes of list, ready after {ready:?}, peak of {peak} KiB", object.len());
    assert!(gateway.client().ask(&rpc("read", 2000)).ends_with("on"));
    // The object alone is 9 MB; as a tree of JSON it would take 60.
    assert!(peak < 64 << 10, "peak of {peak} KiB");
}

#[test]
fn a_list_that_can_not_be_taken_is_asked_for_again_after_rests_and_the_one_held_stays() {
    let server = Peer::new(|_, _| answer(200, "", "held"));
    let known = list(3, true, &[entry("s0", server.address, "ready")]);
    let bad = format!("{WATCH}{}", chunk("[{\"name\":\"s1\"}]"));
    let discovery = Peer::new(move |_, _| say(&bad));
    // Where lists are pushed the rest is shortest.
    let pushed = settings("\"membershipMode\":\"push\",");
    let gateway = Program::start(BIN, discovery.address, &format!("\"known\":{known},"), &pushed);
    let mut calls = vec![];
    for _ in 0..5 {
        assert!(discovery.next().1.contains("from=3"));
        calls.push(Instant::now());
        assert!(gateway.line("\"garbled-object\"").contains("\"list\""));
        assert!(gateway.client().ask(&rpc("read", 2000)).ends_with("held"));
    }
    let rested = calls[4] - calls[1];
    assert!(rested > Duration::from_millis(1_700), "four calls within {rested:?}");
    assert!(
        calls[4] - calls[3] < Duration::from_secs(6),
        "asked for while a change could still be told in time"
    );
}
