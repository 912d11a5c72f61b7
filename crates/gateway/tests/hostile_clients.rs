//! Clients that write slowly, stop half way, send heads of very many fields, or flood one connection: the process stays
//! within its memory limit, and other clients are answered in their time.

use standins::process::throttle;
use standins::scripted::{Client, Peer, Program, answer, entry, rpc, status, with_id};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

mod support;
use support::{BIN, discovery_peer, long_timeout_settings, start_gateway};

const MEMORY_LIMIT_MB: u64 = 32;
const SLOW_CLIENTS: usize = 480;
const LARGE_BODY: usize = 60_000;
const MANY_FIELDS: usize = 3_000;
/// How long a flood lasts, and the time that other clients give their RPCs.
const FLOOD_TIME: Duration = Duration::from_secs(5);
const CLIENT_TIME_MS: u64 = 1_000;
/// The share of a core that a flooded gateway has.
const FLOODED_CORE_SHARE: f64 = 0.1;
/// An answer counts up to this long after its client's time (the operators' standing test).
const ANSWER_SLACK: Duration = Duration::from_millis(500);

struct Deployment {
    _server: Peer,
    _discovery: Peer,
    gateway: Program,
}

fn deployment() -> Deployment {
    let (server, discovery) = (Peer::new(|_, _| answer(200, "", "ok")), discovery_peer());
    let known = standins::scripted::list(3, true, &[entry("s0", server.address, "ready")]);
    let fields =
        format!("\"limits\":{{\"sockets\":1024,\"memory_mb\":{MEMORY_LIMIT_MB}}},\"known\":{known},");
    let gateway = Program::start(BIN, discovery.address, &fields, &long_timeout_settings());
    discovery.next();
    Deployment { _server: server, _discovery: discovery, gateway }
}

/// The most memory that the process has taken, in kB.
fn peak_memory_kb(gateway: &Program) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.child.id())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

fn check_memory(gateway: &Program) {
    let peak = peak_memory_kb(gateway);
    println!("peak memory {peak} kB");
    assert!(peak <= MEMORY_LIMIT_MB << 10, "{peak} kB of {MEMORY_LIMIT_MB} MB");
}

/// A request of which a client sends only the first part.
fn partial_request(number: usize) -> String {
    let request = with_id(&rpc("verify", 15_000), number as u64 + 1);
    match number % 3 {
        0 => {
            request.replace("Content-Length: 4\r\n\r\nbody", &format!("Content-Length: {LARGE_BODY}\r\n\r\n"))
                + &"x".repeat(LARGE_BODY / 2)
        }
        1 => {
            request.replace("Content-Length: 4\r\n\r\nbody", &format!("Content-Length: {LARGE_BODY}\r\n\r\n"))
                + &"x".repeat(LARGE_BODY - 1)
        }
        _ => {
            let fields: String = (0..MANY_FIELDS).map(|field| format!("a{field}: \r\n")).collect();
            request.replace("Content-Length: 4\r\n\r\nbody", &fields)
        }
    }
}

/// Asks in a closed loop until `stop` is set. Returns the worst time and how many were served.
fn ask_until(address: SocketAddr, first_id: u64, stop: &AtomicBool) -> (Duration, usize, usize) {
    let (mut worst, mut served, mut asked) = (Duration::ZERO, 0, 0);
    while !stop.load(Ordering::Relaxed) {
        let sent_at = Instant::now();
        let mut client = Client::new(address);
        client.send(&with_id(&rpc("read", CLIENT_TIME_MS), first_id + asked as u64));
        let got = client.answer().expect("an answer");
        worst = worst.max(sent_at.elapsed());
        served += usize::from(status(&got) == 200);
        asked += 1;
        std::thread::sleep(Duration::from_millis(10)); // the rate of the other clients
    }
    (worst, served, asked)
}

/// Runs other clients beside `disturb`, and checks that all are answered in their time.
fn check_others_are_answered(gateway: &Program, disturb: impl FnOnce()) {
    let stop = Arc::new(AtomicBool::new(false));
    let (others_stop, address) = (stop.clone(), gateway.address);
    let others = std::thread::spawn(move || ask_until(address, 1 << 40, &others_stop));
    disturb();
    stop.store(true, Ordering::Relaxed);
    let (worst, served, asked) = others.join().unwrap();
    println!("{served} of {asked} served, the slowest answer took {worst:?}");
    assert!(worst <= Duration::from_millis(CLIENT_TIME_MS) + ANSWER_SLACK, "an answer took {worst:?}");
}

/// Guards against a process that hundreds of unfinished requests take over its memory limit.
#[test]
fn hundreds_of_clients_with_unfinished_requests_stay_within_the_memory_limit() {
    let deployment = deployment();
    let gateway = &deployment.gateway;
    check_others_are_answered(gateway, || {
        let mut clients: Vec<TcpStream> =
            (0..SLOW_CLIENTS).map(|_| TcpStream::connect(gateway.address).unwrap()).collect();
        for (number, client) in clients.iter_mut().enumerate() {
            client.set_nonblocking(true).unwrap();
            let _ = client.write(partial_request(number).as_bytes());
        }
        gateway.wait_until_processed();
        // Each is owed its error or a close.
        for client in &mut clients {
            client.set_nonblocking(false).unwrap();
            client.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
            let ended = client.read(&mut [0; 512]);
            assert!(
                !ended.as_ref().is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock),
                "neither an answer nor a close"
            );
        }
    });
    check_memory(gateway);
}

/// One client sends what `request` gives on one connection, as fast as it can, and reads whatever it is sent.
fn flood(address: SocketAddr, request: impl Fn(u64) -> String) {
    let until = Instant::now() + FLOOD_TIME;
    let mut number = 0;
    while Instant::now() < until {
        let mut stream = TcpStream::connect(address).unwrap();
        let mut reader = stream.try_clone().unwrap();
        let drain = std::thread::spawn(move || std::io::copy(&mut reader, &mut std::io::sink()));
        while Instant::now() < until {
            let batch: String = (0..64).map(|index| request(number + index)).collect();
            number += 64;
            if stream.write_all(batch.as_bytes()).is_err() {
                break; // the gateway closed it: the client comes again at once
            }
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
        let _ = drain.join();
    }
    println!("{number} requests sent");
}

fn check_flood(request: impl Fn(u64) -> String) {
    let deployment = deployment();
    let gateway = &deployment.gateway;
    let is_flooded = Arc::new(AtomicBool::new(true));
    let is_wanted = is_flooded.clone();
    let processes = gateway.pidfd().into_iter().collect();
    throttle(processes, FLOODED_CORE_SHARE, move || is_wanted.load(Ordering::Relaxed));
    check_others_are_answered(gateway, || flood(gateway.address, request));
    is_flooded.store(false, Ordering::Relaxed);
    check_memory(gateway);
}

/// Guards against other clients that wait behind one that floods its connection under ever new names.
#[test]
fn a_flood_under_ever_new_names_delays_no_other_client_and_stays_within_the_memory_limit() {
    check_flood(|number| {
        let name = format!("/api/{:016x}", number % (1 << 33));
        with_id(&rpc("read", CLIENT_TIME_MS), number + 1).replace("/api/00000000b4d65521", &name)
    });
}

/// Guards against other clients that wait behind one that floods its connection with small requests.
#[test]
fn a_flood_of_health_checks_delays_no_other_client_and_stays_within_the_memory_limit() {
    check_flood(|_| "GET /-/healthy HTTP/1.1\r\n\r\n".to_string());
}

/// Guards against other clients that wait behind one that sends what can't be read, again and again.
#[test]
fn a_flood_of_unsound_requests_delays_no_other_client_and_stays_within_the_memory_limit() {
    check_flood(|number| format!("GET /api/{number} HTTP/1.1\r\nX-Lane: none\r\n\r\n"));
}

/// Guards against work that goes to a server of the same address that has gone.
#[test]
fn a_new_server_at_the_address_of_one_that_has_gone_gets_no_work_on_the_old_connections() {
    let server = Peer::new(|_, _| answer(200, "", "ok"));
    let discovery = discovery_peer();
    for replaced_by in ["another name", "a new start"] {
        let old = entry("s0", server.address, "ready");
        let gateway = start_gateway(&discovery, std::slice::from_ref(&old), &long_timeout_settings());
        let mut client = gateway.client();
        assert_eq!(status(&client.ask(&with_id(&rpc("verify", 3000), 1))), 200);
        let (old_connection, _) = server.next();
        let gone = entry("s0", server.address, "gone");
        let changed = if replaced_by == "another name" {
            vec![entry("s1", server.address, "ready"), gone]
        } else {
            vec![old.replace("\"since_ms\":0", "\"since_ms\":7")]
        };
        let watch = discovery.connections() - 1;
        discovery.write(watch, &standins::scripted::chunk(&standins::scripted::list(4, false, &changed)));
        let why = if replaced_by == "another name" { "server-gone" } else { "server-moved" };
        gateway.wait_for_line(why);
        let mut again = gateway.client();
        assert_eq!(status(&again.ask(&with_id(&rpc("verify", 3000), 2))), 200, "{replaced_by}");
        let (new_connection, _) = server.next();
        assert_ne!(old_connection, new_connection, "{replaced_by}: sent on the old server's connection");
    }
}
