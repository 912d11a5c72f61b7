//! Lists of servers of any length: taken in pieces within a bound on memory, whole or not at all.

use gateway::json_stream::{MAX_DEPTH, MAX_ELEMENT_LEN, MAX_ENVELOPE_LEN};
use gateway::list::{self, ListUpdate, Watch};
use gateway::list_diff::{ListDiff, ServerChange, WORK_PER_TURN};
use gateway::name_ids::NameIds;
use gateway::servers::Servers;
use gateway::services::{Service, Services};
use martenramp::subsetting;
use standins::scripted::{
    MS, Peer, Program, SEC, WATCH_HEAD, answer, chunk, entry, list, raw_reply, rpc, settings,
};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const BIN: &str = env!("CARGO_BIN_EXE_martenramp");
/// More memory than any list of a story takes.
const AMPLE: usize = 64 << 20;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// What a watch with this much memory for entries makes of an object that comes in pieces of this length, and its fault.
fn taken(object: &[u8], memory: usize, piece: usize) -> (Vec<ListUpdate>, Option<&'static str>) {
    let (mut watch, mut told, mut buffer) = (Watch::new(0, memory), Vec::new(), Vec::new());
    let head = format!("{WATCH_HEAD}{:x}\r\n", object.len());
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
fn parsed(bytes: &[u8]) -> Option<ListUpdate> {
    let first = serde_json::Deserializer::from_slice(bytes).into_iter::<serde_json::Value>().next()?;
    list::parse(&first.ok()?, &Services::default())
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
    let (deep, long) = ("[".repeat(MAX_DEPTH), "x".repeat(MAX_ELEMENT_LEN));
    let frame = "x".repeat(MAX_ENVELOPE_LEN);
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
    let blanks = " ".repeat(4 * MAX_ENVELOPE_LEN);
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
    watch.write_request(&mut out, SEC);
    watch.feed(SEC, WATCH_HEAD.as_bytes(), &mut told).unwrap();
    let begin = "{\"index\":1,\"snapshot\":true,\"endpoints\":[";
    let piece = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    watch.feed(SEC, piece(begin).as_bytes(), &mut told).unwrap();
    for second in 2..30 {
        let one = entry(&format!("s{second}"), address(1), "ready") + if second == 29 { "]}" } else { "," };
        watch.feed(second * SEC, piece(&one).as_bytes(), &mut told).unwrap();
        assert!(!watch.is_unresponsive(second * SEC + SEC / 2));
    }
    assert_eq!(told[0].entries.len(), 28);
    watch.feed(30 * SEC, piece(begin).as_bytes(), &mut told).unwrap();
    for second in 31..34 {
        watch.feed(second * SEC, piece("\n").as_bytes(), &mut told).unwrap();
    }
    assert!(watch.is_unresponsive(33 * SEC + SEC / 2 + MS));
}

/// Asks `count` times at once for a watch whose first object can't be taken, each time `apart`: the least rests.
fn rests_untaken(count: usize, apart: u64) -> Vec<u64> {
    let (mut watch, mut chance) = (Watch::new(0, AMPLE), fastrand::Rng::with_seed(5));
    let bad = format!("{WATCH_HEAD}{}", chunk("[]"));
    (0..count as u64)
        .map(|call| {
            watch.write_request(&mut Vec::new(), call * 100 * SEC);
            watch.feed(call * 100 * SEC + apart, bad.as_bytes(), &mut Vec::new()).unwrap_err();
            watch.invalid_list_delay(&mut chance)
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
    let first = format!("{WATCH_HEAD}{}", chunk(&object));
    let discovery = Peer::new(move |_, _| raw_reply(&first));
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
    let bad = format!("{WATCH_HEAD}{}", chunk("[{\"name\":\"s1\"}]"));
    let discovery = Peer::new(move |_, _| raw_reply(&bad));
    // Where lists are pushed the rest is shortest.
    let pushed = settings("\"membershipMode\":\"push\",");
    let gateway = Program::start(BIN, discovery.address, &format!("\"known\":{known},"), &pushed);
    let mut calls = vec![];
    for _ in 0..5 {
        assert!(discovery.next().1.contains("from=3"));
        calls.push(Instant::now());
        assert!(gateway.wait_for_line("\"garbled-object\"").contains("\"list\""));
        assert!(gateway.client().ask(&rpc("read", 2000)).ends_with("held"));
    }
    let rested = calls[4] - calls[1];
    assert!(rested > Duration::from_millis(1_700), "four calls within {rested:?}");
    assert!(
        calls[4] - calls[3] < Duration::from_secs(6),
        "asked for while a change could still be told in time"
    );
}

// ---- What a list changes, in batches of bounded work.

/// Servers held as a list told them, with what brings the next list into force.
#[derive(Default)]
struct Held {
    servers: Servers,
    directory: NameIds,
}

/// What bringing a list into force took.
#[derive(Debug, Default)]
struct Effort {
    changed: usize,
    turns: usize,
    /// The most entries that one batch had, and the fewest servers that were ready behind one.
    most: usize,
    fewest_ready: usize,
    /// Keys in the order in which they were told.
    left: Vec<u64>,
    came: Vec<u64>,
}

impl Held {
    fn ready(&self) -> usize {
        self.servers.by_number.values().filter(|server| server.is_listed && server.ready).count()
    }

    /// Brings a list into force with so much work a turn.
    fn take(&mut self, told: ListUpdate, work_a_turn: usize) -> Effort {
        let mut changes = ListDiff::new(told);
        let mut effort = Effort { fewest_ready: usize::MAX, turns: 1, ..Effort::default() };
        let mut work = work_a_turn;
        while !changes.is_done() {
            let Some(batch) = changes.next_batch(&self.servers, &mut self.directory, &mut work) else {
                (work, effort.turns) = (work_a_turn, effort.turns + 1);
                continue;
            };
            let size = batch.unavailable.len() + batch.available.len();
            (effort.changed, effort.most) = (effort.changed + size, effort.most.max(size));
            effort.left.extend(batch.unavailable.iter().map(|change| change.listed.key));
            effort.came.extend(batch.available.iter().map(|change| change.listed.key));
            for ServerChange { listed, address } in batch.unavailable.into_iter().chain(batch.available) {
                match address {
                    Some(address) => drop(self.servers.upsert(&listed, address)),
                    None => drop(self.servers.delist(listed.key)),
                }
            }
            self.servers.remove_unused();
            effort.fewest_ready = effort.fewest_ready.min(self.ready());
        }
        effort
    }
}

fn told(whole: bool, names: impl Iterator<Item = String>, status: &str) -> ListUpdate {
    let entries: Vec<String> = names.map(|name| entry(&name, address(1), status)).collect();
    parsed(list(1, whole, &entries).as_bytes()).unwrap()
}

fn names(from: usize, to: usize) -> impl Iterator<Item = String> {
    (from..to).map(|at| format!("s{at:06}"))
}

fn key(at: usize) -> u64 {
    subsetting::key(&format!("s{at:06}"))
}

#[test]
fn one_entry_changed_is_the_work_of_one_entry_however_many_servers_there_are() {
    for size in [100, 20_000] {
        let mut held = Held::default();
        assert_eq!(held.take(told(true, names(0, size), "ready"), usize::MAX).changed, size);
        let (mut work, mut changes) = (1000, ListDiff::new(told(false, names(7, 8), "draining")));
        let batch = changes.next_batch(&held.servers, &mut held.directory, &mut work).unwrap();
        assert!(changes.is_done() && batch.unavailable.len() == 1 && batch.available.is_empty());
        assert_eq!(1000 - work, 3, "one compared and one changed, among {size}");
        // Told once more it is nothing new, and so is the whole list with it.
        held.take(told(false, names(7, 8), "draining"), 1000);
        assert_eq!(held.take(told(false, names(7, 8), "draining"), 1000).changed, 0);
        let mut again = told(true, names(0, size), "ready");
        again.entries[7].ready = false;
        assert_eq!(held.take(again, 1000).changed, 0);
    }
}

#[test]
fn what_leaves_goes_first_wherever_it_stands_and_no_batch_is_larger_than_a_turn_allows() {
    let mut held = Held::default();
    held.take(told(true, names(0, 10_000), "ready"), usize::MAX);
    // Half are gone, some drain, and as many are new, behind those that stay.
    let mut next = told(true, names(5_000, 15_000), "ready");
    next.entries[4_999].ready = false;
    let effort = held.take(next, WORK_PER_TURN);
    assert_eq!((effort.changed, held.ready()), (10_001, 9_999));
    assert!(effort.most <= WORK_PER_TURN / 2, "{} in a batch", effort.most);
    assert!(effort.left.contains(&key(9_999)) && effort.left.len() == 5_001);
    assert!(effort.turns < 70, "{} turns", effort.turns);
    assert_eq!(effort.came[..3], [key(10_000), key(10_001), key(10_002)], "in the list's order");
    assert!(effort.fewest_ready >= 5_000);
}

#[test]
fn a_list_that_replaces_every_server_leaves_no_moment_without_any() {
    let mut held = Held::default();
    held.take(told(true, names(0, 2_000), "ready"), usize::MAX);
    let effort = held.take(told(true, names(2_000, 4_000), "ready"), WORK_PER_TURN);
    assert_eq!((effort.changed, held.ready()), (4_000, 2_000));
    assert!(effort.fewest_ready >= 400, "{} ready at the least", effort.fewest_ready);
}

#[test]
fn of_two_entries_for_one_server_the_later_counts() {
    let mut held = Held::default();
    held.take(told(true, names(0, 10), "ready"), usize::MAX);
    for (first, second, ready) in [("gone", "ready", 10), ("ready", "gone", 9)] {
        let mut both = told(false, names(3, 4), first);
        both.entries.extend(told(false, names(3, 4), second).entries);
        held.take(both, WORK_PER_TURN);
        assert_eq!(held.ready(), ready, "{first}, then {second}");
    }
}

#[test]
fn a_list_goes_back_empties_and_grows_from_two_to_two_thousand() {
    let mut held = Held::default();
    held.take(told(true, names(0, 2), "ready"), usize::MAX);
    assert_eq!(held.take(told(true, names(0, 2_000), "ready"), WORK_PER_TURN).changed, 1_998);
    assert_eq!(
        held.take(told(true, names(0, 2), "ready"), WORK_PER_TURN).changed,
        1_998,
        "back to what it was"
    );
    held.take(told(false, names(0, 2), "gone"), WORK_PER_TURN);
    assert!(held.servers.by_number.is_empty(), "nothing is held of servers that are gone");
}

// ---- Services.

fn services(told: &str) -> Result<Services, String> {
    let classes = ["read", "submit", "verify"].map(str::to_string);
    Services::read(&serde_json::from_str(told).unwrap(), &classes)
}

const CLASSES: &str = "\"classes\":{\"read\":\"catalog\",\"submit\":\"orders\",\"verify\":\"orders\"}";

#[test]
fn a_server_tells_its_service_by_its_name_and_an_rpc_by_its_class() {
    let two = services(&format!("{{{CLASSES}}}")).unwrap();
    assert_eq!((two.of_class(0), two.of_class(1), two.of_class(2)), (1, 2, 2));
    assert_eq!(two.of_server("catalog/s-1"), Service::Requested(1));
    assert_eq!(two.of_server("orders/s-1/x"), Service::Requested(2));
    assert_eq!(two.of_server("billing/s-1"), Service::NotRequested);
    assert_eq!((two.of_server("s-1"), two.of_server("/s-1")), (Service::Unspecified, Service::Unspecified));
    let dotted = services(&format!("{{\"separator\":\".\",{CLASSES}}}")).unwrap();
    assert_eq!(dotted.of_server("orders.s-1"), Service::Requested(2));
    // Where none is told there is one, and every name is in it.
    let one = Services::default();
    assert_eq!(
        (one.of_class(2), one.of_server("s-1"), one.of_server("a/b")),
        (0, Service::Requested(0), Service::Requested(0))
    );
    // Another version's classes keep the numbers of services that are held; others have no servers here.
    let other = CLASSES.replace("catalog", "billing");
    let later = two.with_classes_of(&services(&format!("{{{other}}}")).unwrap());
    assert_eq!((later.of_class(0), later.of_class(1)), (u32::MAX, 2));
    assert_eq!(later.of_server("catalog/s-1"), Service::Requested(1));
}

#[test]
fn services_that_make_no_sense_are_refused_by_their_key() {
    for (told, why) in [
        ("7", "'services' is not an object"),
        ("{\"class\":{}}", "'services' has an unknown key 'class'"),
        ("{\"separator\":\"::\"}", "'services.separator' is not one character: \"::\""),
        ("{}", "'services.classes' is missing"),
        (
            "{\"classes\":{\"read\":\"a\",\"submit\":\"b\"}}",
            "'services.classes' names no service for \"verify\"",
        ),
        (
            "{\"classes\":{\"write\":\"a\"}}",
            "'services.classes' names a class that is not in the settings: \"write\"",
        ),
        (
            "{\"classes\":{\"read\":\"a/b\",\"submit\":\"b\",\"verify\":\"b\"}}",
            "'services.classes.read' is not a service name: \"a/b\"",
        ),
    ] {
        assert_eq!(services(told).unwrap_err(), why);
    }
}

#[test]
fn only_servers_of_services_that_are_asked_for_are_staged() {
    let two = Rc::new(services(&format!("{{{CLASSES}}}")).unwrap());
    let names = ["orders/1", "billing/1", "nameless", "catalog/1", "other"];
    let entries: Vec<String> = names.iter().map(|name| entry(name, address(1), "ready")).collect();
    let text = format!("{WATCH_HEAD}{}", chunk(&list(7, true, &entries)));
    let (mut watch, mut told) = (Watch::for_services(0, AMPLE, two), Vec::new());
    watch.feed(SEC, text.as_bytes(), &mut told).unwrap();
    let taken: Vec<(&str, u32)> = told[0].entries.iter().map(|entry| (&*entry.name, entry.service)).collect();
    assert_eq!(taken, [("orders/1", 2), ("catalog/1", 1)]);
    assert_eq!((told[0].without_service, told[0].first_without_service.as_deref()), (2, Some("nameless")));
}

// ---- With the program itself.

/// An RPC with an id of its own.
fn numbered(number: u64) -> String {
    rpc("read", 3000).replace("0123456789abcdef", &format!("{number:016x}"))
}

/// A client, one of several, that asks without a pause until it is told to stop; the answers' statuses.
fn asking(gateway: &Program, which: u64, stop: &Arc<AtomicBool>) -> std::thread::JoinHandle<Vec<u16>> {
    let (mut client, stop) = (gateway.client(), stop.clone());
    std::thread::spawn(move || {
        let (mut statuses, mut number) = (Vec::new(), which << 32);
        while !stop.load(Ordering::Relaxed) {
            number += 1;
            statuses.push(status(&client.ask(&numbered(number))));
        }
        statuses
    })
}

fn ample() -> String {
    settings("").replace("\"perSecond\":100.0,\"depth\":100.0", "\"perSecond\":1e6,\"depth\":1e6")
}

#[test]
fn thousands_of_servers_gone_at_once_and_back_cold_leave_every_rpc_answered() {
    let (stays, goes) =
        (Peer::new(|_, _| answer(200, "", "stays")), Peer::new(|_, _| answer(200, "", "goes")));
    let named = |from, to, server: &Peer, status: &str| -> Vec<String> {
        names(from, to).map(|name| entry(&name, server.address, status)).collect()
    };
    let whole = list(7, true, &[named(0, 300, &stays, "ready"), named(300, 5_000, &goes, "ready")].concat());
    let first = format!("{WATCH_HEAD}{}", chunk(&whole));
    let discovery = Peer::new(move |_, _| raw_reply(&first));
    let gateway = Program::start(BIN, discovery.address, "", &ample());
    wait_ready(&gateway);
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (1..4).map(|which| asking(&gateway, which, &stop)).collect();
    discovery.write(0, &chunk(&list(8, false, &named(300, 5_000, &goes, "gone"))));
    let line = gateway.wait_for_line("\"list in force\"");
    assert!(line.contains("\"changed\":4700") && line.contains("\"index\":8"), "{line}");
    // From here on nothing is sent to what is gone but what was on its way.
    let mut client = gateway.client();
    client.ask(&numbered(0));
    while goes.try_next().is_some() {}
    for number in 1..20 {
        assert!(client.ask(&numbered(number)).ends_with("stays"));
    }
    assert!(goes.nothing_received());
    let cold: Vec<String> = named(300, 5_000, &goes, "ready");
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis();
    let cold: Vec<String> =
        cold.iter().map(|one| one.replace("\"since_ms\":0", &format!("\"since_ms\":{since}"))).collect();
    discovery.write(0, &chunk(&list(9, false, &cold)));
    let line = gateway.wait_for_line("\"list in force\"");
    assert!(line.contains("\"changed\":4700") && line.contains("\"servers\":5000"), "{line}");
    stop.store(true, Ordering::Relaxed);
    let statuses: Vec<u16> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    let served = statuses.iter().filter(|status| **status == 200).count();
    println!("{} RPCs answered meanwhile, {served} of them served", statuses.len());
    // An attempt whose server goes while its connection comes up is not written, and counts as one of two.
    assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
    assert!(5 * served > 4 * statuses.len(), "{served} of {}", statuses.len());
}

#[test]
fn a_whole_list_amid_changes_and_one_that_goes_back_are_followed_in_their_order() {
    let (old, new) = (Peer::new(|_, _| answer(200, "", "old")), Peer::new(|_, _| answer(200, "", "new")));
    let all = |server: &Peer, status: &str| -> Vec<String> {
        names(0, 2_000).map(|name| entry(&name, server.address, status)).collect()
    };
    let first = format!("{WATCH_HEAD}{}", chunk(&list(7, true, &all(&old, "ready"))));
    let discovery =
        Peer::new(move |number, _| if number == 0 { raw_reply(&first) } else { raw_reply(WATCH_HEAD) });
    let gateway = Program::start(BIN, discovery.address, "", &ample());
    wait_ready(&gateway);
    // Changes, a whole list and changes again in one piece: what came last counts.
    let some = all(&old, "draining");
    let objects = [
        list(8, false, &some[..1_000]),
        list(9, true, &all(&old, "ready")),
        list(10, false, &all(&new, "ready")),
        list(9, true, &all(&new, "ready")[..500]),
    ];
    let text: String = objects.iter().map(|object| chunk(object)).collect();
    discovery.write(0, &text);
    let lines: Vec<String> = (0..4).map(|_| gateway.wait_for_line("\"list in force\"")).collect();
    for (line, changed) in lines.iter().zip([1_000, 1_000, 2_000, 1_500]) {
        assert!(line.contains(&format!("\"changed\":{changed}")), "{line}");
    }
    assert!(lines[3].contains("\"servers\":500"), "{}", lines[3]);
    for _ in 0..20 {
        assert!(gateway.client().ask(&rpc("read", 3000)).ends_with("new"));
    }
    // The next watch goes on from the version told last.
    discovery.next();
    discovery.reset(0);
    assert!(discovery.next().1.contains("from=9"));
}

#[test]
fn an_entry_without_its_service_is_named_in_one_line_and_the_rest_is_taken() {
    let server = Peer::new(|_, _| answer(200, "", "on"));
    let entries: Vec<String> = ["catalog/1", "nameless", "orders/1", "other"]
        .iter()
        .map(|name| entry(name, server.address, "ready"))
        .collect();
    let first = format!("{WATCH_HEAD}{}", chunk(&list(7, true, &entries)));
    let discovery = Peer::new(move |_, _| raw_reply(&first));
    let gateway = Program::start(BIN, discovery.address, &format!("\"services\":{{{CLASSES}}},"), &ample());
    let line = gateway.wait_for_line("\"no-service\"");
    assert!(line.contains("\"server\":\"nameless\"") && line.contains("\"entries\":2"), "{line}");
    wait_ready(&gateway);
    assert!(gateway.client().ask(&rpc("read", 2000)).ends_with("on"));
}
