//! Server lists of any length from discovery: parsed in pieces within a limit on memory, and
//! applied completely or not at all.

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
/// More memory than any list in these tests needs.
const AMPLE_MEMORY: usize = 64 << 20;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Feeds an object to a watch in pieces of `piece_len` bytes, with a limit on the memory for
/// entries. Returns the list updates and the error, if there is one.
fn feed_object(
    object: &[u8],
    memory_limit: usize,
    piece_len: usize,
) -> (Vec<ListUpdate>, Option<&'static str>) {
    let (mut watch, mut updates, mut buffer) = (Watch::new(0, memory_limit), Vec::new(), Vec::new());
    let head = format!("{WATCH_HEAD}{:x}\r\n", object.len());
    let bytes = [head.as_bytes(), object, b"\r\n"].concat();
    for fragment in bytes.chunks(piece_len) {
        buffer.extend_from_slice(fragment);
        match watch.feed(SEC, &buffer, &mut updates) {
            Ok(consumed) => drop(buffer.drain(..consumed)),
            Err(error) => return (updates, Some(error)),
        }
    }
    (updates, None)
}

/// Parses the first object in these bytes at once with the JSON parser, and ignores whatever
/// follows it.
fn parse_at_once(bytes: &[u8]) -> Option<ListUpdate> {
    let first = serde_json::Deserializer::from_slice(bytes).into_iter::<serde_json::Value>().next()?;
    list::parse(&first.ok()?, &Services::default())
}

/// Generates a list object with its keys in random order, with unknown keys, and with white space
/// wherever JSON allows it.
fn random_object(rng: &mut fastrand::Rng) -> String {
    let white_space = |rng: &mut fastrand::Rng| *rng.choice(&["", "", " ", "\r\n", "\n\t  "]).unwrap();
    let statuses = ["ready", "draining", "gone"];
    let entries: Vec<String> = (0..rng.u16(..5))
        .map(|at| {
            let entry = entry(&format!("s{at}"), address(at + 1), rng.choice(&statuses).unwrap());
            let extra_keys = ["", ",\"note\":{\"endpoints\":[1,{}]}", ",\"note\":\"},{\\\"\\\\\""];
            entry.replacen("}", &format!("{}}}", rng.choice(&extra_keys).unwrap()), 1)
        })
        .collect();
    let separator = format!("{},{}", white_space(rng), white_space(rng));
    let array = format!("[{}{}{}]", white_space(rng), entries.join(&separator), white_space(rng));
    let mut keys = vec![
        format!("\"index\":{}", rng.u64(1..1000)),
        format!("\"snapshot\"{}:{}{}", white_space(rng), white_space(rng), rng.bool()),
        format!("\"endpoints\"{}:{}{array}", white_space(rng), white_space(rng)),
    ];
    let unknown_keys =
        ["\"more\":{\"endpoints\":[[]]}", "\"text\":\"a,\\\"endpoints\\\":[{\"", "\"none\":null"];
    keys.extend(unknown_keys.iter().filter(|_| rng.bool()).map(|key| key.to_string()));
    rng.shuffle(&mut keys);
    format!("{{{}{}{}}}", white_space(rng), keys.join(&separator), white_space(rng))
}

#[test]
fn an_object_in_any_pieces_and_key_order_parses_as_it_does_at_once() {
    let mut rng = fastrand::Rng::with_seed(31);
    for round in 0..3_000 {
        let object = random_object(&mut rng);
        let expected = parse_at_once(object.as_bytes()).expect("the generated object is not a valid list");
        let piece_len = rng.usize(1..=object.len());
        assert_eq!(
            feed_object(object.as_bytes(), AMPLE_MEMORY, piece_len),
            (vec![expected], None),
            "{round}: {object}"
        );
    }
}

#[test]
fn a_corrupted_object_parses_as_it_does_at_once_or_is_rejected() {
    let mut rng = fastrand::Rng::with_seed(32);
    let mut invalid_rounds = 0;
    for round in 0..20_000 {
        let mut object = random_object(&mut rng).into_bytes();
        let position = rng.usize(..object.len());
        match rng.u8(..3) {
            0 => object[position] = *rng.choice(b"{}[],:\"\\ 0x\n").unwrap(),
            1 => drop(object.remove(position)),
            _ => object.insert(position, *rng.choice(b"{}[],:\"\\ 0x\n").unwrap()),
        }
        let (updates, error) = feed_object(&object, AMPLE_MEMORY, rng.usize(1..=object.len()));
        let expected = parse_at_once(&object);
        invalid_rounds += usize::from(expected.is_none());
        let shown = String::from_utf8_lossy(&object);
        match updates.first() {
            Some(first) => assert_eq!(Some(first), expected.as_ref(), "{round}: {shown}"),
            None => assert!(expected.is_none() || error.is_some(), "{round}: {shown}"),
        }
        assert!(updates.len() <= 1, "{round}: {shown}");
    }
    assert!(invalid_rounds > 5_000, "only {invalid_rounds} rounds made the object invalid");
}

#[test]
fn an_invalid_object_is_rejected_with_a_reason_and_yields_no_update() {
    let valid = entry("a", address(1), "ready");
    let list_of = |entries: &str| format!("{{\"index\":1,\"snapshot\":true,\"endpoints\":[{entries}]}}");
    let (nested, long_name) = ("[".repeat(MAX_DEPTH), "x".repeat(MAX_ELEMENT_LEN));
    let long_value = "x".repeat(MAX_ENVELOPE_LEN);
    for (object, error) in [
        ("[1,2]".to_string(), "garbled-object"),
        ("{\"error\":\"no such page\"}".to_string(), "garbled-object"),
        ("{\"index\":1,\"snapshot\":true}".to_string(), "garbled-object"),
        ("{\"index\":1,\"snapshot\":true,\"endpoints\":{}}".to_string(), "garbled-object"),
        (format!("{{\"index\":1,\"endpoints\":[{valid}]}}"), "garbled-object"),
        (format!("{{\"index\":-1,\"snapshot\":true,\"endpoints\":[{valid}]}}"), "garbled-object"),
        (list_of(&format!("{valid}{valid}")), "garbled-object"),
        (list_of(&format!("{valid},")), "garbled-object"),
        (list_of(&format!(",{valid}")), "garbled-object"),
        (list_of("7"), "garbled-object"),
        (list_of(&format!("{valid},{{\"status\":\"ready\"}}")), "garbled-object"),
        (
            format!("{{\"index\":1,\"snapshot\":true,\"endpoints\":[{valid}],\"endpoints\":[]}}"),
            "garbled-object",
        ),
        (format!("{{\"index\":1,\"snapshot\":true,\"\\u0065ndpoints\":[{valid}]}}"), "garbled-object"),
        (list_of(&format!("{valid},{{\"name\":{nested}")), "object-too-deep"),
        (list_of(&format!("{valid},{{\"name\":\"{long_name}\"}}")), "entry-too-long"),
        (format!("{{\"index\":1,\"snapshot\":true,\"more\":\"{long_value}\","), "object-too-long"),
    ] {
        let excerpt = &object[..object.len().min(200)];
        for piece_len in [7, 1000, usize::MAX] {
            assert_eq!(
                feed_object(object.as_bytes(), AMPLE_MEMORY, piece_len),
                (vec![], Some(error)),
                "{excerpt}"
            );
        }
    }
    // White space around the entries needs no memory, however much of it there is.
    let spaces = " ".repeat(4 * MAX_ENVELOPE_LEN);
    let padded =
        list_of(&valid).replace(",\"endpoints\":[", &format!(",{spaces}\"endpoints\"{spaces}:[{spaces}"));
    assert_eq!(
        feed_object(padded.as_bytes(), AMPLE_MEMORY, 1000),
        (vec![parse_at_once(padded.as_bytes()).unwrap()], None)
    );
}

#[test]
fn a_list_is_rejected_only_if_its_entries_exceed_the_memory_limit() {
    let entries: Vec<String> = (1..400).map(|at| entry(&format!("s{at:03}"), address(at), "ready")).collect();
    let min_memory = |count: usize| {
        let object = list(9, true, &entries[..count]);
        let fits = |memory: &usize| feed_object(object.as_bytes(), *memory, 4096).1.is_none();
        (0..AMPLE_MEMORY).step_by(8).find(fits).unwrap()
    };
    // The limit counts the memory of each entry, so that it applies to any number of entries.
    let (for_10, for_20) = (min_memory(10), min_memory(20));
    assert!(
        (10 * 100..10 * 200).contains(&(for_20 - for_10)),
        "{for_10} bytes for 10 entries and {for_20} for 20"
    );
    let memory = 399 * (for_20 - for_10) / 10;
    let object = list(9, true, &entries);
    assert_eq!(feed_object(object.as_bytes(), memory, 4096).1, None);
    assert_eq!(feed_object(object.as_bytes(), memory - 8, 4096), (vec![], Some("list-too-long")));
    // The full limit applies again to the next object.
    let twice = format!("{object}\n{object}");
    assert_eq!(feed_object(twice.as_bytes(), memory, 4096).0.len(), 2);
}

#[test]
fn a_watch_is_responsive_while_entries_arrive_but_not_while_only_blanks_arrive_within_an_object() {
    let (mut watch, mut updates, mut request) = (Watch::new(0, AMPLE_MEMORY), Vec::new(), Vec::new());
    watch.write_request(&mut request, SEC);
    watch.feed(SEC, WATCH_HEAD.as_bytes(), &mut updates).unwrap();
    let list_start = "{\"index\":1,\"snapshot\":true,\"endpoints\":[";
    let piece_chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    watch.feed(SEC, piece_chunk(list_start).as_bytes(), &mut updates).unwrap();
    for second in 2..30 {
        let entry_text =
            entry(&format!("s{second}"), address(1), "ready") + if second == 29 { "]}" } else { "," };
        watch.feed(second * SEC, piece_chunk(&entry_text).as_bytes(), &mut updates).unwrap();
        assert!(!watch.is_unresponsive(second * SEC + SEC / 2));
    }
    assert_eq!(updates[0].entries.len(), 28);
    watch.feed(30 * SEC, piece_chunk(list_start).as_bytes(), &mut updates).unwrap();
    for second in 31..34 {
        watch.feed(second * SEC, piece_chunk("\n").as_bytes(), &mut updates).unwrap();
    }
    assert!(watch.is_unresponsive(33 * SEC + SEC / 2 + MS));
}

/// Opens a watch `count` times, each of which delivers an invalid object after `open_time`. Returns
/// the minimum delay before the next request each time.
fn invalid_list_delays(count: usize, open_time: u64) -> Vec<u64> {
    let (mut watch, mut rng) = (Watch::new(0, AMPLE_MEMORY), fastrand::Rng::with_seed(5));
    let invalid = format!("{WATCH_HEAD}{}", chunk("[]"));
    (0..count as u64)
        .map(|request| {
            watch.write_request(&mut Vec::new(), request * 100 * SEC);
            watch.feed(request * 100 * SEC + open_time, invalid.as_bytes(), &mut Vec::new()).unwrap_err();
            watch.invalid_list_delay(&mut rng)
        })
        .collect()
}

#[test]
fn delays_after_invalid_lists_grow_within_the_time_in_which_a_change_must_be_announced() {
    let delays = invalid_list_delays(40, MS);
    assert_eq!(delays[0], 0, "a single invalid list may be an accident");
    for (at, min_ms) in [(1, 250), (2, 500), (3, 1000), (4, 2000), (39, 2000)] {
        assert!((min_ms * MS..2 * min_ms * MS).contains(&delays[at]), "{at}: {}", delays[at] / MS);
    }
    assert!(delays.iter().all(|delay| *delay < 4 * SEC), "of 6 s, 2 s must be left for the watch's response");
    assert_eq!(
        invalid_list_delays(10, 6 * SEC),
        [0; 10],
        "watches that were open for long do not count as a series"
    );
}

// ---- The same with the gateway program.

fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap()
}

fn wait_until_ready(gateway: &Program) {
    let mut client = gateway.client();
    while status(&client.ask("GET /-/ready HTTP/1.1\r\n\r\n")) != 200 {
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Peak resident memory of the gateway process in KiB.
fn peak_memory(gateway: &Program) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.child.id())).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    peak.and_then(|peak| peak.trim().strip_suffix(" kB")?.parse().ok()).unwrap()
}

#[test]
fn a_list_of_fifty_thousand_servers_in_one_object_is_applied_within_a_memory_limit() {
    let server = Peer::new(|_, _| answer(200, "", "on"));
    let name = |at: usize| format!("{at:08}-{}", "of-a-service-with-quite-a-long-name-as-they-are-at-size");
    let entries: Vec<String> = (0..50_000).map(|at| entry(&name(at), server.address, "ready")).collect();
    let object = list(7, true, &entries);
    assert!(object.len() > 8 << 20, "{} bytes", object.len());
    let first = format!("{WATCH_HEAD}{}", chunk(&object));
    let discovery = Peer::new(move |_, _| raw_reply(&first));
    let gateway = Program::start(BIN, discovery.address, "", &settings(""));
    let start = Instant::now();
    wait_until_ready(&gateway);
    let (ready, peak) = (start.elapsed(), peak_memory(&gateway));
    println!("{} bytes of list, ready after {ready:?}, peak of {peak} KiB", object.len());
    assert!(gateway.client().ask(&rpc("read", 2000)).ends_with("on"));
    // The object itself has 9 MB; parsed into a JSON tree it would take 60 MB.
    assert!(peak < 64 << 10, "peak of {peak} KiB");
}

#[test]
fn an_invalid_list_is_requested_again_after_delays_and_the_current_list_stays() {
    let server = Peer::new(|_, _| answer(200, "", "held"));
    let known = list(3, true, &[entry("s0", server.address, "ready")]);
    let invalid = format!("{WATCH_HEAD}{}", chunk("[{\"name\":\"s1\"}]"));
    let discovery = Peer::new(move |_, _| raw_reply(&invalid));
    // Where lists are pushed, the regular retry delay is shortest.
    let pushed = settings("\"membershipMode\":\"push\",");
    let gateway = Program::start(BIN, discovery.address, &format!("\"known\":{known},"), &pushed);
    let mut request_times = vec![];
    for _ in 0..5 {
        assert!(discovery.next().1.contains("from=3"));
        request_times.push(Instant::now());
        assert!(gateway.wait_for_line("\"garbled-object\"").contains("\"list\""));
        assert!(gateway.client().ask(&rpc("read", 2000)).ends_with("held"));
    }
    let elapsed = request_times[4] - request_times[1];
    assert!(elapsed > Duration::from_millis(1_700), "four requests within {elapsed:?}");
    assert!(
        request_times[4] - request_times[3] < Duration::from_secs(6),
        "the next request came too late to announce a change in time"
    );
}

// ---- Applying the changes of a list in batches of bounded work.

/// The servers that the gateway holds, and the name ids that applying a list needs.
#[derive(Default)]
struct ServerState {
    servers: Servers,
    name_ids: NameIds,
}

/// What applying a list took.
#[derive(Debug, Default)]
struct ApplyStats {
    changed: usize,
    turns: usize,
    /// The largest number of changes in one batch.
    largest_batch: usize,
    /// The smallest number of ready servers after any batch.
    fewest_ready: usize,
    /// Keys in the order in which the batches contain them.
    unavailable: Vec<u64>,
    available: Vec<u64>,
}

impl ServerState {
    fn ready(&self) -> usize {
        self.servers.by_number.values().filter(|server| server.is_listed && server.ready).count()
    }

    /// Applies a list with a limit on the work per turn.
    fn apply(&mut self, update: ListUpdate, work_per_turn: usize) -> ApplyStats {
        let mut changes = ListDiff::new(update);
        let mut stats = ApplyStats { fewest_ready: usize::MAX, turns: 1, ..ApplyStats::default() };
        let mut work = work_per_turn;
        while !changes.is_done() {
            let Some(batch) = changes.next_batch(&self.servers, &mut self.name_ids, &mut work) else {
                (work, stats.turns) = (work_per_turn, stats.turns + 1);
                continue;
            };
            let size = batch.unavailable.len() + batch.available.len();
            (stats.changed, stats.largest_batch) = (stats.changed + size, stats.largest_batch.max(size));
            stats.unavailable.extend(batch.unavailable.iter().map(|change| change.listed.key));
            stats.available.extend(batch.available.iter().map(|change| change.listed.key));
            for ServerChange { listed, address } in batch.unavailable.into_iter().chain(batch.available) {
                match address {
                    Some(address) => drop(self.servers.upsert(&listed, address)),
                    None => drop(self.servers.delist(listed.key)),
                }
            }
            self.servers.remove_unused();
            stats.fewest_ready = stats.fewest_ready.min(self.ready());
        }
        stats
    }
}

fn list_update(is_snapshot: bool, names: impl Iterator<Item = String>, status: &str) -> ListUpdate {
    let entries: Vec<String> = names.map(|name| entry(&name, address(1), status)).collect();
    parse_at_once(list(1, is_snapshot, &entries).as_bytes()).unwrap()
}

fn names(from: usize, to: usize) -> impl Iterator<Item = String> {
    (from..to).map(|at| format!("s{at:06}"))
}

fn key(at: usize) -> u64 {
    subsetting::key(&format!("s{at:06}"))
}

#[test]
fn a_change_of_one_entry_costs_the_work_of_one_entry_for_any_number_of_servers() {
    for size in [100, 20_000] {
        let mut state = ServerState::default();
        assert_eq!(state.apply(list_update(true, names(0, size), "ready"), usize::MAX).changed, size);
        let (mut work, mut changes) = (1000, ListDiff::new(list_update(false, names(7, 8), "draining")));
        let batch = changes.next_batch(&state.servers, &mut state.name_ids, &mut work).unwrap();
        assert!(changes.is_done() && batch.unavailable.len() == 1 && batch.available.is_empty());
        assert_eq!(1000 - work, 3, "one entry compared and one changed, among {size}");
        // Announced again the change has no effect, nor has the whole list that contains it.
        state.apply(list_update(false, names(7, 8), "draining"), 1000);
        assert_eq!(state.apply(list_update(false, names(7, 8), "draining"), 1000).changed, 0);
        let mut again = list_update(true, names(0, size), "ready");
        again.entries[7].ready = false;
        assert_eq!(state.apply(again, 1000).changed, 0);
    }
}

#[test]
fn unavailable_servers_come_first_and_no_batch_exceeds_the_work_of_a_turn() {
    let mut state = ServerState::default();
    state.apply(list_update(true, names(0, 10_000), "ready"), usize::MAX);
    // Half of the servers are removed and as many are added behind those that stay, one of which
    // drains.
    let mut next = list_update(true, names(5_000, 15_000), "ready");
    next.entries[4_999].ready = false;
    let stats = state.apply(next, WORK_PER_TURN);
    assert_eq!((stats.changed, state.ready()), (10_001, 9_999));
    assert!(stats.largest_batch <= WORK_PER_TURN / 2, "{} in a batch", stats.largest_batch);
    assert!(stats.unavailable.contains(&key(9_999)) && stats.unavailable.len() == 5_001);
    assert!(stats.turns < 70, "{} turns", stats.turns);
    assert_eq!(stats.available[..3], [key(10_000), key(10_001), key(10_002)], "not in the order of the list");
    assert!(stats.fewest_ready >= 5_000);
}

#[test]
fn a_list_that_replaces_every_server_always_leaves_some_ready() {
    let mut state = ServerState::default();
    state.apply(list_update(true, names(0, 2_000), "ready"), usize::MAX);
    let stats = state.apply(list_update(true, names(2_000, 4_000), "ready"), WORK_PER_TURN);
    assert_eq!((stats.changed, state.ready()), (4_000, 2_000));
    assert!(stats.fewest_ready >= 400, "only {} servers ready", stats.fewest_ready);
}

#[test]
fn the_later_of_two_entries_for_one_server_counts() {
    let mut state = ServerState::default();
    state.apply(list_update(true, names(0, 10), "ready"), usize::MAX);
    for (first, second, ready) in [("gone", "ready", 10), ("ready", "gone", 9)] {
        let mut both = list_update(false, names(3, 4), first);
        both.entries.extend(list_update(false, names(3, 4), second).entries);
        state.apply(both, WORK_PER_TURN);
        assert_eq!(state.ready(), ready, "{first}, then {second}");
    }
}

#[test]
fn a_list_grows_from_two_to_two_thousand_servers_shrinks_back_and_becomes_empty() {
    let mut state = ServerState::default();
    state.apply(list_update(true, names(0, 2), "ready"), usize::MAX);
    assert_eq!(state.apply(list_update(true, names(0, 2_000), "ready"), WORK_PER_TURN).changed, 1_998);
    assert_eq!(
        state.apply(list_update(true, names(0, 2), "ready"), WORK_PER_TURN).changed,
        1_998,
        "back to the first list"
    );
    state.apply(list_update(false, names(0, 2), "gone"), WORK_PER_TURN);
    assert!(state.servers.by_number.is_empty(), "removed servers are still held");
}

// ---- Services.

fn services(json: &str) -> Result<Services, String> {
    let classes = ["read", "submit", "verify"].map(str::to_string);
    Services::read(&serde_json::from_str(json).unwrap(), &classes)
}

const CLASSES: &str = "\"classes\":{\"read\":\"catalog\",\"submit\":\"orders\",\"verify\":\"orders\"}";

#[test]
fn the_service_of_a_server_follows_from_its_name_and_that_of_an_rpc_from_its_class() {
    let two_services = services(&format!("{{{CLASSES}}}")).unwrap();
    assert_eq!((two_services.of_class(0), two_services.of_class(1), two_services.of_class(2)), (1, 2, 2));
    assert_eq!(two_services.of_server("catalog/s-1"), Service::Requested(1));
    assert_eq!(two_services.of_server("orders/s-1/x"), Service::Requested(2));
    assert_eq!(two_services.of_server("billing/s-1"), Service::NotRequested);
    assert_eq!(
        (two_services.of_server("s-1"), two_services.of_server("/s-1")),
        (Service::Unspecified, Service::Unspecified)
    );
    let dot_separated = services(&format!("{{\"separator\":\".\",{CLASSES}}}")).unwrap();
    assert_eq!(dot_separated.of_server("orders.s-1"), Service::Requested(2));
    // Without a configuration there is one service, and every server name belongs to it.
    let default_services = Services::default();
    assert_eq!(
        (default_services.of_class(2), default_services.of_server("s-1"), default_services.of_server("a/b")),
        (0, Service::Requested(0), Service::Requested(0))
    );
    // With another version's classes, services that are held keep their numbers; others have no
    // servers here.
    let renamed_classes = CLASSES.replace("catalog", "billing");
    let next_version = two_services.with_classes_of(&services(&format!("{{{renamed_classes}}}")).unwrap());
    assert_eq!((next_version.of_class(0), next_version.of_class(1)), (u32::MAX, 2));
    assert_eq!(next_version.of_server("catalog/s-1"), Service::Requested(1));
}

#[test]
fn invalid_services_are_rejected_with_the_key_at_fault() {
    for (json, error) in [
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
        assert_eq!(services(json).unwrap_err(), error);
    }
}

#[test]
fn only_servers_of_requested_services_are_staged() {
    let two_services = Rc::new(services(&format!("{{{CLASSES}}}")).unwrap());
    let names = ["orders/1", "billing/1", "nameless", "catalog/1", "other"];
    let entries: Vec<String> = names.iter().map(|name| entry(name, address(1), "ready")).collect();
    let text = format!("{WATCH_HEAD}{}", chunk(&list(7, true, &entries)));
    let (mut watch, mut updates) = (Watch::for_services(0, AMPLE_MEMORY, two_services), Vec::new());
    watch.feed(SEC, text.as_bytes(), &mut updates).unwrap();
    let staged: Vec<(&str, u32)> =
        updates[0].entries.iter().map(|entry| (&*entry.name, entry.service)).collect();
    assert_eq!(staged, [("orders/1", 2), ("catalog/1", 1)]);
    assert_eq!(
        (updates[0].without_service, updates[0].first_without_service.as_deref()),
        (2, Some("nameless"))
    );
}

// ---- With the gateway program.

/// An RPC with this id.
fn rpc_with_id(number: u64) -> String {
    rpc("read", 3000).replace("0123456789abcdef", &format!("{number:016x}"))
}

/// Starts a client that sends RPCs without a pause until `stop` is set, and returns the statuses of
/// the responses. `client_number` keeps the ids of several clients apart.
fn spawn_client(
    gateway: &Program,
    client_number: u64,
    stop: &Arc<AtomicBool>,
) -> std::thread::JoinHandle<Vec<u16>> {
    let (mut client, stop) = (gateway.client(), stop.clone());
    std::thread::spawn(move || {
        let (mut statuses, mut number) = (Vec::new(), client_number << 32);
        while !stop.load(Ordering::Relaxed) {
            number += 1;
            statuses.push(status(&client.ask(&rpc_with_id(number))));
        }
        statuses
    })
}

fn settings_with_ample_quota() -> String {
    settings("").replace("\"perSecond\":100.0,\"depth\":100.0", "\"perSecond\":1e6,\"depth\":1e6")
}

#[test]
fn every_rpc_is_answered_while_thousands_of_servers_are_removed_and_return_cold() {
    let (staying, leaving) =
        (Peer::new(|_, _| answer(200, "", "stays")), Peer::new(|_, _| answer(200, "", "goes")));
    let named = |from, to, server: &Peer, status: &str| -> Vec<String> {
        names(from, to).map(|name| entry(&name, server.address, status)).collect()
    };
    let snapshot =
        list(7, true, &[named(0, 300, &staying, "ready"), named(300, 5_000, &leaving, "ready")].concat());
    let first = format!("{WATCH_HEAD}{}", chunk(&snapshot));
    let discovery = Peer::new(move |_, _| raw_reply(&first));
    let gateway = Program::start(BIN, discovery.address, "", &settings_with_ample_quota());
    wait_until_ready(&gateway);
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (1..4).map(|number| spawn_client(&gateway, number, &stop)).collect();
    discovery.write(0, &chunk(&list(8, false, &named(300, 5_000, &leaving, "gone"))));
    let line = gateway.wait_for_line("\"list in force\"");
    assert!(line.contains("\"changed\":4700") && line.contains("\"index\":8"), "{line}");
    // From here on the removed servers receive only what was already on its way.
    let mut client = gateway.client();
    client.ask(&rpc_with_id(0));
    while leaving.try_next().is_some() {}
    for number in 1..20 {
        assert!(client.ask(&rpc_with_id(number)).ends_with("stays"));
    }
    assert!(leaving.nothing_received());
    let cold: Vec<String> = named(300, 5_000, &leaving, "ready");
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis();
    let cold: Vec<String> =
        cold.iter().map(|entry| entry.replace("\"since_ms\":0", &format!("\"since_ms\":{since}"))).collect();
    discovery.write(0, &chunk(&list(9, false, &cold)));
    let line = gateway.wait_for_line("\"list in force\"");
    assert!(line.contains("\"changed\":4700") && line.contains("\"servers\":5000"), "{line}");
    stop.store(true, Ordering::Relaxed);
    let statuses: Vec<u16> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    let served = statuses.iter().filter(|status| **status == 200).count();
    println!("{} RPCs answered meanwhile, {served} of them served", statuses.len());
    // An attempt whose server is removed before its connection is established is not written, but
    // counts as one of two.
    assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
    assert!(5 * served > 4 * statuses.len(), "{served} of {}", statuses.len());
}

#[test]
fn snapshots_between_changes_and_older_versions_are_applied_in_order() {
    let (old, new) = (Peer::new(|_, _| answer(200, "", "old")), Peer::new(|_, _| answer(200, "", "new")));
    let all = |server: &Peer, status: &str| -> Vec<String> {
        names(0, 2_000).map(|name| entry(&name, server.address, status)).collect()
    };
    let first = format!("{WATCH_HEAD}{}", chunk(&list(7, true, &all(&old, "ready"))));
    let discovery =
        Peer::new(move |number, _| if number == 0 { raw_reply(&first) } else { raw_reply(WATCH_HEAD) });
    let gateway = Program::start(BIN, discovery.address, "", &settings_with_ample_quota());
    wait_until_ready(&gateway);
    // Changes, a whole list and changes again arrive at once: the last update counts.
    let draining = all(&old, "draining");
    let objects = [
        list(8, false, &draining[..1_000]),
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
    // The next watch continues from the version announced last.
    discovery.next();
    discovery.reset(0);
    assert!(discovery.next().1.contains("from=9"));
}

#[test]
fn entries_without_a_service_are_reported_in_one_line_and_the_rest_are_applied() {
    let server = Peer::new(|_, _| answer(200, "", "on"));
    let entries: Vec<String> = ["catalog/1", "nameless", "orders/1", "other"]
        .iter()
        .map(|name| entry(name, server.address, "ready"))
        .collect();
    let first = format!("{WATCH_HEAD}{}", chunk(&list(7, true, &entries)));
    let discovery = Peer::new(move |_, _| raw_reply(&first));
    let gateway = Program::start(
        BIN,
        discovery.address,
        &format!("\"services\":{{{CLASSES}}},"),
        &settings_with_ample_quota(),
    );
    let line = gateway.wait_for_line("\"no-service\"");
    assert!(line.contains("\"server\":\"nameless\"") && line.contains("\"entries\":2"), "{line}");
    wait_until_ready(&gateway);
    assert!(gateway.client().ask(&rpc("read", 2000)).ends_with("on"));
}

/// Guards against a list whose weights take the process's memory: it stays small, says which servers' weights are unusual, and
/// serves.
#[test]
fn a_list_with_weights_far_apart_is_logged_and_takes_little_memory() {
    const SERVERS: usize = 3200;
    const MOST_MEMORY_KIB: usize = 64 << 10;
    let server = Peer::new(|_, _| answer(200, "", "ok"));
    let weighted = |index: usize| {
        let weight = if index.is_multiple_of(2) { "1e9" } else { "1e-9" };
        entry(&format!("s{index}"), server.address, "ready")
            .replace("\"weight\":1.0", &format!("\"weight\":{weight}"))
    };
    let entries: Vec<String> = (0..SERVERS).map(weighted).collect();
    let first = format!("{WATCH_HEAD}{}", chunk(&list(3, true, &entries)));
    let discovery = Peer::new(move |_, _| raw_reply(&first));
    let fleet = settings("\"me\":0,").replace("\"balancers\":2", "\"balancers\":900");
    let gateway = Program::start(BIN, discovery.address, "", &fleet);
    let line = gateway.wait_for_line("\"unusual-weight\"");
    assert!(line.contains("\"server\":\"s0\",") && line.contains("\"others\":3199"), "{line}");
    wait_until_ready(&gateway);
    let answer = gateway.client().ask(&rpc("read", 2000));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(peak_memory(&gateway) < MOST_MEMORY_KIB, "{} KiB", peak_memory(&gateway));
}
