//! The log of long turns: what it counts, and how often it writes.

use gateway::turn_log::{TurnLog, TurnPart};
use standins::scripted::{Client, entry};
use std::time::{Duration, Instant};

mod support;
use support::{discovery_peer, long_timeout_settings, start_gateway};

const MS: u64 = 1_000_000;
const LIMIT: u64 = 10 * MS;

#[test]
fn only_turns_over_the_limit_are_counted_and_one_line_a_second_names_their_parts() {
    let mut turns = TurnLog::default();
    turns.add(TurnPart::Subsets, Instant::now());
    assert_eq!(turns.end_turn(MS, LIMIT, LIMIT), None, "a turn within the limit");
    turns.add(TurnPart::ServerList, Instant::now());
    turns.add(TurnPart::ServerList, Instant::now());
    let line = turns.end_turn(2 * MS, LIMIT + 1, LIMIT).expect("the first long turn is logged");
    assert!(line.starts_with("list=2 in "), "only the parts of this turn: {line}");
    assert_eq!(turns.end_turn(500 * MS, 30 * MS, LIMIT), None, "another line within a second");
    assert_eq!(turns.end_turn(1100 * MS, 20 * MS, LIMIT), Some(String::new()));
    assert_eq!(turns.long_turns(), (3, 30 * MS));
}

#[test]
fn a_turn_that_is_held_up_is_counted_in_the_health_answer() {
    let discovery = discovery_peer();
    let gateway =
        start_gateway(&discovery, &[entry("s0", discovery.address, "ready")], &long_timeout_settings());
    let long_turns = |client: &mut Client| {
        let answer = client.ask("GET /-/healthy HTTP/1.1\r\n\r\n");
        let count = answer.split("X-Long-Turns: count=").nth(1).and_then(|rest| rest.split(',').next());
        count.and_then(|count| count.parse::<u64>().ok()).expect("a count of long turns")
    };
    let mut client = gateway.client();
    let before = long_turns(&mut client);
    let held = gateway.hold_turn(|| {});
    std::thread::sleep(Duration::from_millis(400)); // longer than a tenth of the shortest deadline, 3 s
    held.resume();
    gateway.wait_for_line("\"long turn\"");
    assert!(long_turns(&mut client) > before);
}
