//! The wall clock is stepped while a process runs: deadlines and waits are spans of the monotonic clock, and a server's slow
//! start goes by what this process saw happen.

use standins::scripted::{
    Client, Peer, Program, answer, chunk, entry, list, remaining_ms_header, rpc, settings, status,
};
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

mod support;
use support::{BIN, patient_settings, under, watch};

const HOUR_MS: i64 = 3_600_000;
/// How many clients ask at once, and for how many RPCs the new server's share is counted.
const CLIENTS: usize = 8;
const RPCS: usize = 400;
/// Longer than what a server counts as taking that is not known yet.
const SERVICE: Duration = Duration::from_millis(5);

/// The library with the wall clock, built beside this test.
fn library() -> PathBuf {
    std::env::current_exe().unwrap().parent().unwrap().join("libmartenramp_faults.so")
}

/// A gateway whose wall clock is told by a file, and the file.
struct Stepped {
    gateway: Program,
    wall: PathBuf,
}

impl Stepped {
    fn start(discovery: &Peer, servers: &[String], name: &str) -> Stepped {
        let wall = std::env::temp_dir().join(format!("martenramp-wall-{}-{name}", std::process::id()));
        std::fs::write(&wall, "0").unwrap();
        let mut command = Command::new(BIN);
        command.env("LD_PRELOAD", library()).env("MARTENRAMP_WALL", &wall);
        let more = format!("\"known\":{},", list(3, true, servers));
        let rules = "\"membershipMode\":\"push\",\"rules\":{\"coldFrom\":0.05,\"warmWithin\":2.0,\
                     \"fallMultiple\":2.0,\"fall\":2.0},";
        let told = settings(rules).replace("100.0", "100000.0");
        let gateway = Program::run(&mut command, discovery.address, &more, &told);
        assert!(discovery.next().1.contains("from=3"));
        Stepped { gateway, wall }
    }

    /// Steps the wall clock to so much ahead of the true one; the stamp that a server gets which starts now.
    fn step(&self, ahead_ms: i64) -> i64 {
        std::fs::write(&self.wall, ahead_ms.to_string()).unwrap();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        unix.as_millis() as i64 + ahead_ms
    }

    /// How many of the next RPCs get this answer.
    fn answered_by(&self, name: &str) -> usize {
        let address = self.gateway.address;
        let ask = move |client: usize| {
            let mut connection = Client::new(address);
            let answered = |nth: usize| {
                let id = format!("X-Txn: {:016x}", client << 32 | nth);
                let got = connection.ask(&rpc("read", 2000).replace("X-Txn: 0123456789abcdef", &id));
                assert_eq!(status(&got), 200);
                usize::from(got.ends_with(name))
            };
            (0..RPCS / CLIENTS).map(answered).sum::<usize>()
        };
        std::thread::scope(|scope| {
            let clients: Vec<_> = (0..CLIENTS).map(|client| scope.spawn(move || ask(client))).collect();
            clients.into_iter().map(|client| client.join().unwrap()).sum()
        })
    }
}

impl Drop for Stepped {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.wall);
    }
}

/// An entry of a server that started at this stamp.
fn started(name: &str, server: &Peer, stamp: i64) -> String {
    entry(name, server.address, "ready").replace("\"since_ms\":0", &format!("\"since_ms\":{stamp}"))
}

/// A server that takes its time and answers with its name.
fn named(name: &'static str) -> Peer {
    Peer::new(move |_, _| {
        std::thread::sleep(SERVICE);
        answer(200, "", name)
    })
}

/// A warm server and one that starts as the wall clock is stepped: what the new one gets at first, and after it is warm.
fn shares_of_a_new_server(ahead_ms: i64, name: &str) -> (usize, usize) {
    let (old, discovery) = (named("old"), watch());
    let stepped = Stepped::start(&discovery, &[entry("s0", old.address, "ready")], name);
    stepped.answered_by("old");
    let new = named("new");
    let stamp = stepped.step(ahead_ms);
    discovery.write(0, &chunk(&list(4, false, &[started("s1", &new, stamp)])));
    stepped.gateway.wait_until_processed();
    let cold = stepped.answered_by("new");
    std::thread::sleep(Duration::from_secs(2)); // until it is warm
    (cold, stepped.answered_by("new"))
}

#[test]
fn a_server_that_starts_an_hour_ago_by_a_clock_stepped_back_is_cold() {
    let (cold, warm) = shares_of_a_new_server(-HOUR_MS, "back");
    assert!(2 * cold < warm, "{cold} of {RPCS} while cold, {warm} then");
}

#[test]
fn a_server_that_starts_in_an_hour_by_a_clock_stepped_forward_is_warm_in_its_time() {
    let (cold, warm) = shares_of_a_new_server(HOUR_MS, "forward");
    assert!(2 * cold < warm, "{cold} of {RPCS} while cold, {warm} then");
    assert!(warm > RPCS / 4, "{warm} of {RPCS} once it is warm");
}

#[test]
fn a_clock_stepped_by_two_seconds_or_an_hour_changes_no_deadline() {
    for (number, ahead_ms) in [2_000, -2_000, HOUR_MS, -HOUR_MS].into_iter().enumerate() {
        let (server, discovery) = (Peer::new(|_, _| (Vec::new(), false)), watch());
        let known = [entry("s0", server.address, "ready")];
        let stepped = Stepped::start(&discovery, &known, &format!("deadline-{number}"));
        let mut client = stepped.gateway.client();
        stepped.step(ahead_ms);
        let asked = std::time::Instant::now();
        client.send(&rpc("verify", 700));
        let told = remaining_ms_header(&server.next().1);
        assert!((600..=700).contains(&told), "{told} ms told");
        let got = status(&client.answer().expect("an answer"));
        assert!(matches!(got, 502 | 504), "{got}");
        let took = asked.elapsed();
        assert!(took > Duration::from_millis(600) && took < Duration::from_millis(900), "{took:?}");
    }
}

#[test]
fn without_a_step_a_stamp_is_taken_as_it_is() {
    let (server, discovery) = (Peer::new(|_, _| answer(200, "", "ok")), watch());
    let gateway = under(&discovery, &[started("s0", &server, 1)], &patient_settings());
    assert_eq!(status(&gateway.client().ask(&rpc("read", 2000))), 200);
}
