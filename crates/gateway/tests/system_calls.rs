//! System calls that fail in the ways that Linux documents, a call in fifty: every request has its answer in its time,
//! and nearly all are served.

use standins::scripted::{
    Client, Peer, Program, WATCH_HEAD, answer, entry, list, raw_reply, rpc, settings, status,
};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

mod support;
use support::{BIN, patient_settings, under, watch};

const CLIENTS: u64 = 24;
const REQUESTS: u64 = 200;
const DEADLINE: Duration = Duration::from_millis(500);
/// An answer may be so much later than its client's time.
const SLACK: Duration = Duration::from_millis(50);

/// The library that makes calls fail, built beside this test.
fn faults() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    test.parent().unwrap().join("libmartenramp_faults.so")
}

/// A gateway before these servers whose calls fail at this rate.
fn disturbed(discovery: &Peer, servers: &[&Peer], seed: u64, rate: f64, report: &PathBuf) -> Program {
    let entries: Vec<String> = servers
        .iter()
        .enumerate()
        .map(|(at, server)| entry(&format!("s{at}"), server.address, "ready"))
        .collect();
    let mut command = Command::new(BIN);
    command.env("LD_PRELOAD", faults());
    command.env("MARTENRAMP_FAULTS", format!("seed={seed},rate={rate}"));
    command.env("MARTENRAMP_FAULTS_REPORT", report);
    let more = format!("\"known\":{},", list(3, true, &entries));
    let told = settings("\"membershipMode\":\"push\",").replace("100.0", "100000.0");
    Program::run(&mut command, discovery.address, &more, &told)
}

/// How the requests of one client ended, and the longest time that one took.
fn ask_in_turn(address: std::net::SocketAddr, client: u64) -> (BTreeMap<u16, u64>, Duration) {
    let (mut ends, mut longest) = (BTreeMap::new(), Duration::ZERO);
    let mut connection = Client::new(address);
    for number in 0..REQUESTS {
        let id = format!("X-Txn: {:016x}", client << 32 | number);
        let text = rpc(["read", "submit", "verify"][number as usize % 3], DEADLINE.as_millis() as u64);
        let since = Instant::now();
        let text = text.replace("X-Txn: 0123456789abcdef", &id);
        let mut got = connection.try_ask(&text);
        if got.is_none() && number > 0 {
            // A resting connection may be closed as the request crosses: it is sent once more on a new one.
            connection = Client::new(address);
            got = connection.try_ask(&text);
        }
        longest = longest.max(since.elapsed());
        *ends.entry(got.as_deref().map_or(0, status)).or_default() += 1;
        if got.is_none_or(|got| got.contains("Connection: close")) {
            connection = Client::new(address);
        }
    }
    (ends, longest)
}

/// What a process wrote of the faults that happened to it.
fn happened(report: &PathBuf) -> BTreeMap<String, u64> {
    let text = std::fs::read_to_string(report).unwrap_or_default();
    let _ = std::fs::remove_file(report);
    let line = |line: &str| {
        line.split_once(": ").map(|(fault, count)| (fault.to_string(), count.parse().unwrap_or(0)))
    };
    text.lines().filter_map(line).collect()
}

fn one_call_in_fifty_fails(seed: u64) {
    let servers: Vec<Peer> = (0..4).map(|_| Peer::new(|_, _| answer(200, "", "served"))).collect();
    let discovery = Peer::new(|_, _| raw_reply(WATCH_HEAD));
    let report = std::env::temp_dir().join(format!("martenramp-faults-{}-{seed}.txt", std::process::id()));
    let mut gateway = disturbed(&discovery, &servers.iter().collect::<Vec<_>>(), seed, 0.02, &report);
    let address = gateway.address;
    let clients: Vec<_> =
        (0..CLIENTS).map(|client| std::thread::spawn(move || ask_in_turn(address, client))).collect();
    let (mut ends, mut longest) = (BTreeMap::<u16, u64>::new(), Duration::ZERO);
    for client in clients {
        let (its, time) = client.join().unwrap();
        its.into_iter().for_each(|(status, count)| *ends.entry(status).or_default() += count);
        longest = longest.max(time);
    }
    gateway.signal("-HUP");
    gateway.signal("-TERM");
    assert!(gateway.child.wait().unwrap().success());
    let lines = gateway.lines_until("\"msg\":\"ended\"");
    let end = &lines[lines.len() - 1];
    let faults = happened(&report);
    println!("{ends:?}, longest {longest:?}, {faults:?}");
    let closed = |line: &&String| line.contains("\"client\"") && !line.contains("\"closed\"");
    let closed: Vec<&String> = lines.iter().filter(closed).collect();
    assert_eq!(ends.get(&0), None, "no request is without an answer: {ends:?} {closed:#?}");
    assert!(longest <= DEADLINE + SLACK, "{longest:?}");
    let served = ends.get(&200).copied().unwrap_or(0);
    assert!(served * 100 >= CLIENTS * REQUESTS * 95, "{ends:?}");
    assert!(end.contains("\"violations\":\"\"") && end.contains("\"unanswered\":0"), "{end}");
    for call in ["recv EINTR", "recv short", "send EINTR", "send short", "epoll_wait EINTR"] {
        assert!(faults.get(call).is_some_and(|count| *count > 0), "{call} never happened: {faults:?}");
    }
}

#[test]
fn with_one_call_in_fifty_failing_all_are_answered_in_time() {
    one_call_in_fifty_fails(1);
}

#[test]
fn with_one_call_in_fifty_failing_by_another_seed_all_are_answered_in_time() {
    one_call_in_fifty_fails(2);
}

#[test]
fn a_signal_whose_wake_is_lost_still_ends_the_process() {
    let server = Peer::new(|_, _| answer(200, "", "served"));
    let (discovery, report) =
        (Peer::new(|_, _| raw_reply(WATCH_HEAD)), std::env::temp_dir().join("martenramp-no-report"));
    let mut command = Command::new(BIN);
    command.env("LD_PRELOAD", faults()).env("MARTENRAMP_FAULTS", "seed=1,rate=1,only=wakes");
    command.env("MARTENRAMP_FAULTS_REPORT", &report);
    let known = list(3, true, &[entry("s0", server.address, "ready")]);
    let more = format!("\"known\":{known},");
    let mut gateway = Program::run(&mut command, discovery.address, &more, &settings(""));
    gateway.signal("-TERM");
    gateway.wait_for_line("\"stopping\"");
    assert!(gateway.child.wait().unwrap().success());
    let _ = std::fs::remove_file(report);
}

#[test]
fn a_standard_error_without_room_changes_nothing() {
    let server = Peer::new(|_, _| answer(200, "", "served"));
    let discovery = watch();
    let gateway = under(&discovery, &[entry("s0", server.address, "ready")], &patient_settings());
    let full = std::fs::OpenOptions::new().write(true).open("/dev/full").unwrap();
    let mut command = Command::new(BIN);
    let text = gateway.config(discovery.address, "", &patient_settings());
    // Another process under the same list, whose standard error answers ENOSPC to every write.
    let known = list(3, true, &[entry("s0", server.address, "ready")]);
    let text = text.replacen('{', &format!("{{\"known\":{known},"), 1);
    let address = gateway.address;
    drop(gateway);
    let file = standins::scripted::config_file(&text);
    let child = command.args(["serve", "--config"]).arg(&file).stderr(full).spawn().unwrap();
    let mut child = Ended(child);
    let mut client = connected(address);
    for _ in 0..20 {
        assert_eq!(status(&client.ask(&rpc("read", 2000))), 200);
    }
    drop(client);
    let pid = rustix::process::Pid::from_raw(child.0.id() as i32).unwrap();
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).unwrap();
    assert!(child.0.wait().unwrap().success());
    let _ = std::fs::remove_file(file);
}

/// A process that is ended when it is dropped.
struct Ended(std::process::Child);

impl Drop for Ended {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A connection to a process that tells nobody when it listens.
fn connected(address: std::net::SocketAddr) -> Client {
    let until = Instant::now() + standins::scripted::WAIT_TIMEOUT;
    while std::net::TcpStream::connect(address).is_err() {
        assert!(Instant::now() < until, "nobody listens at {address}");
        std::thread::sleep(Duration::from_millis(5));
    }
    Client::new(address)
}
