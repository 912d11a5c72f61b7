//! The wall clock is stepped while the gateway runs: deadlines and waits follow the monotonic clock, and a server's
//! slow start is based on when this process saw the server appear.

use standins::scripted::{
    Client, Peer, Program, answer, chunk, entry, list, remaining_ms_header, rpc, settings, status,
};
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

mod support;
use support::{BIN, discovery_peer, long_timeout_settings, start_gateway};

const HOUR_MS: i64 = 3_600_000;
/// Number of concurrent clients, and number of RPCs over which the new server's share is counted.
const CLIENTS: usize = 8;
const RPCS: usize = 400;
/// Longer than the service time that is assumed of a server without measurements.
const SERVICE: Duration = Duration::from_millis(5);

/// Path of the preload library that steps the wall clock; it is built beside this test.
fn fault_library() -> PathBuf {
    std::env::current_exe().unwrap().parent().unwrap().join("libmartenramp_faults.so")
}

/// A gateway whose wall clock is offset by the number in the file `wall`.
struct SteppedGateway {
    gateway: Program,
    wall: PathBuf,
}

impl SteppedGateway {
    fn start(discovery: &Peer, servers: &[String], name: &str) -> SteppedGateway {
        let wall = std::env::temp_dir().join(format!("martenramp-wall-{}-{name}", std::process::id()));
        std::fs::write(&wall, "0").unwrap();
        let mut command = Command::new(BIN);
        command.env("LD_PRELOAD", fault_library()).env("MARTENRAMP_WALL", &wall);
        let more = format!("\"known\":{},", list(3, true, servers));
        let rules = "\"membershipMode\":\"push\",\"rules\":{\"coldFrom\":0.05,\"warmWithin\":2.0,\
                     \"fallMultiple\":2.0,\"fall\":2.0},";
        let settings = settings(rules).replace("100.0", "100000.0");
        let gateway = Program::run(&mut command, discovery.address, &more, &settings);
        assert!(discovery.next().1.contains("from=3"));
        SteppedGateway { gateway, wall }
    }

    /// Sets the wall clock to this far ahead of the real one, and returns the start timestamp of a server that starts
    /// now.
    fn step(&self, ahead_ms: i64) -> i64 {
        std::fs::write(&self.wall, ahead_ms.to_string()).unwrap();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        unix.as_millis() as i64 + ahead_ms
    }

    /// Returns how many of the next [`RPCS`] RPCs this server answers.
    fn count_answered_by(&self, name: &str) -> usize {
        let address = self.gateway.address;
        let ask = move |client: usize| {
            let mut connection = Client::new(address);
            let ask_once = |nth: usize| {
                let id = format!("X-Txn: {:016x}", client << 32 | nth);
                let got = connection.ask(&rpc("read", 2000).replace("X-Txn: 0123456789abcdef", &id));
                assert_eq!(status(&got), 200);
                usize::from(got.ends_with(name))
            };
            (0..RPCS / CLIENTS).map(ask_once).sum::<usize>()
        };
        std::thread::scope(|scope| {
            let clients: Vec<_> = (0..CLIENTS).map(|client| scope.spawn(move || ask(client))).collect();
            clients.into_iter().map(|client| client.join().unwrap()).sum()
        })
    }
}

impl Drop for SteppedGateway {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.wall);
    }
}

/// A list entry of a server that started at this timestamp.
fn listed_since(name: &str, server: &Peer, started_ms: i64) -> String {
    entry(name, server.address, "ready").replace("\"since_ms\":0", &format!("\"since_ms\":{started_ms}"))
}

/// A server that answers with its name after [`SERVICE`].
fn named_server(name: &'static str) -> Peer {
    Peer::new(move |_, _| {
        std::thread::sleep(SERVICE);
        answer(200, "", name)
    })
}

/// Starts a server beside a warm one as the wall clock is stepped; returns how many RPCs the new server gets at first,
/// and how many once it is warm.
fn shares_of_new_server(ahead_ms: i64, name: &str) -> (usize, usize) {
    let (old, discovery) = (named_server("old"), discovery_peer());
    let stepped = SteppedGateway::start(&discovery, &[entry("s0", old.address, "ready")], name);
    stepped.count_answered_by("old");
    let new = named_server("new");
    let started_ms = stepped.step(ahead_ms);
    discovery.write(0, &chunk(&list(4, false, &[listed_since("s1", &new, started_ms)])));
    stepped.gateway.wait_until_processed();
    let cold = stepped.count_answered_by("new");
    std::thread::sleep(Duration::from_secs(2)); // until it is warm
    (cold, stepped.count_answered_by("new"))
}

#[test]
fn server_that_starts_after_the_clock_is_stepped_back_an_hour_is_cold() {
    let (cold, warm) = shares_of_new_server(-HOUR_MS, "back");
    assert!(2 * cold < warm, "{cold} of {RPCS} while cold, {warm} once warm");
}

#[test]
fn server_that_starts_after_the_clock_is_stepped_forward_an_hour_warms_up_on_time() {
    let (cold, warm) = shares_of_new_server(HOUR_MS, "forward");
    assert!(2 * cold < warm, "{cold} of {RPCS} while cold, {warm} once warm");
    assert!(warm > RPCS / 4, "{warm} of {RPCS} once warm");
}

#[test]
fn clock_steps_of_two_seconds_or_an_hour_change_no_deadline() {
    for (number, ahead_ms) in [2_000, -2_000, HOUR_MS, -HOUR_MS].into_iter().enumerate() {
        let (server, discovery) = (Peer::new(|_, _| (Vec::new(), false)), discovery_peer());
        let known = [entry("s0", server.address, "ready")];
        let stepped = SteppedGateway::start(&discovery, &known, &format!("deadline-{number}"));
        let mut client = stepped.gateway.client();
        stepped.step(ahead_ms);
        let sent_at = std::time::Instant::now();
        client.send(&rpc("verify", 700));
        let wait_ms = remaining_ms_header(&server.next().1);
        assert!((600..=700).contains(&wait_ms), "{wait_ms} ms sent to the server");
        let got = status(&client.answer().expect("an answer"));
        assert!(matches!(got, 502 | 504), "{got}");
        let elapsed = sent_at.elapsed();
        assert!(elapsed > Duration::from_millis(600) && elapsed < Duration::from_millis(900), "{elapsed:?}");
    }
}

#[test]
fn start_timestamp_is_accepted_without_a_clock_step() {
    let (server, discovery) = (Peer::new(|_, _| answer(200, "", "ok")), discovery_peer());
    let gateway = start_gateway(&discovery, &[listed_since("s0", &server, 1)], &long_timeout_settings());
    assert_eq!(status(&gateway.client().ask(&rpc("read", 2000))), 200);
}
