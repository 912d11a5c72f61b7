//! A planned restart while bad clients crowd the gateway: they never finish a request, some of
//! them with heads that never end, and come again as soon as they are turned away.

#[path = "../kit-2/common.rs"]
mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Clients that send half a request and stay, and clients whose heads never end.
const HALF_REQUESTS: usize = 250;
const ENDLESS_HEADS: usize = 16;
/// They come this long before SIGTERM.
const CROWD_BEFORE: f64 = 0.9;
/// SIGKILL comes this long after SIGTERM: the longest deadline (3 s at most) and 0.7 s.
const KILL_AFTER: f64 = 3.7;
/// Until when after SIGTERM clients use the connections that they have.
const SENDS_UNTIL: f64 = 0.4;
/// Usual clients: their number, how long a server works on a request, how long a client rests
/// after an answer, and the time that it gives.
const CLIENTS: u64 = 20;
const WORK: f64 = 0.25;
const REST: f64 = 0.5;
const REMAINING_MS: u64 = 2500;
/// An answer up to half a second after its time is no loss; every limit is 50 ms longer.
const ALLOWED_LATE: f64 = 0.55;

struct Sent {
    txn: String,
    at: f64,
    outcome: Option<(f64, Outcome)>,
}

fn main() {
    let place = Place::from_env();
    let record = place.record();
    let runs: Runs = Arc::default();
    let mut entries = Vec::new();
    for (number, zone) in ["hall-a", "hall-b", "hall-a", "hall-b"].iter().enumerate() {
        let name = format!("s-{number}");
        let address = start_server(&name, runs.clone(), record.clone(), |message, out| {
            sleep(WORK);
            answer_ok(message, out)
        });
        entries.push(entry(&name, address, zone, number as u32, "ready"));
    }
    let discovery = Discovery::start(entries);
    let settings = settings(1, CLASSES);
    let config = Config {
        listen: free_address(),
        discovery: discovery.address,
        counter: start_counter(),
        memory_mb: 96,
        sockets: 256,
        settings: &settings,
        known: None,
    };
    let mut gateway = Gateway::start(&place, &config);
    gateway.wait_ready();
    record.line("ready");
    let address = config.listen;
    let term_at = Instant::now() + Duration::from_secs(3);
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (sent, record) = (sent.clone(), record.clone());
            thread::spawn(move || usual_client(address, number, term_at, &sent, &record))
        })
        .collect();
    let end = term_at + Duration::from_secs_f64(KILL_AFTER);
    if trouble() {
        let begin = term_at - Duration::from_secs_f64(CROWD_BEFORE);
        for number in 0..HALF_REQUESTS {
            let begin = begin + Duration::from_micros(500 * number as u64);
            thread::spawn(move || send_half_requests(address, begin, end));
        }
        for _ in 0..ENDLESS_HEADS {
            let (begin, record) = (begin + Duration::from_millis(400), record.clone());
            thread::spawn(move || send_endless_heads(address, begin, end, &record));
        }
    }
    thread::sleep(term_at.saturating_duration_since(Instant::now()));
    let signalled = record.start().elapsed().as_secs_f64();
    record.line("SIGTERM");
    gateway.signal(SIGTERM);
    let mut exit = None;
    while exit.is_none() && Instant::now() < end {
        exit = gateway.ended();
        sleep(0.01);
    }
    record.line(&format!("exit before SIGKILL: {exit:?}"));
    gateway.kill();
    clients.into_iter().for_each(|client| drop(client.join()));
    let (sent, runs) = (sent.lock().unwrap(), runs.lock().unwrap());
    let mut lost = 0;
    for request in sent.iter() {
        let (ended, outcome) = request.outcome.clone().unwrap_or((f64::MAX, Outcome::Nothing));
        let is_answered = matches!(outcome, Outcome::Status(..));
        let due = request.at + REMAINING_MS as f64 / 1e3 + ALLOWED_LATE;
        // A request that crosses the end of its connection unread is no loss: only one that the
        // gateway has sent on counts here.
        let has_run = runs.iter().any(|run| run.txn == request.txn);
        if has_run && (!is_answered || ended > due) {
            lost += 1;
            let after = request.at - signalled;
            record.say(&format!("lost: {} sent {after:.3} s after SIGTERM, {outcome:?}", request.txn));
        }
    }
    record.say(&format!("{} requests, {lost} lost; exit before SIGKILL: {}", sent.len(), exit.is_some()));
    drop(gateway);
    std::process::exit(i32::from(lost > 0));
}

/// Sends a request, rests after its answer, and goes on until the gateway closes the connection.
fn usual_client(
    address: SocketAddr,
    number: u64,
    term_at: Instant,
    sent: &Mutex<Vec<Sent>>,
    record: &Record,
) {
    let last_send = term_at + Duration::from_secs_f64(SENDS_UNTIL);
    sleep(0.04 * number as f64);
    let Ok(mut stream) = TcpStream::connect(address) else { return };
    let _ = stream.set_nodelay(true);
    while Instant::now() < last_send {
        let class = ["read-board", "submit-run", "verify-run"][number as usize % 3];
        let body: &[u8] = if class == "read-board" { b"" } else { b"board 7" };
        let request = request(class, 100 + number, REMAINING_MS, body);
        let at = record.start().elapsed().as_secs_f64();
        let index = {
            let mut sent = sent.lock().unwrap();
            sent.push(Sent { txn: request.txn.clone(), at, outcome: None });
            sent.len() - 1
        };
        record.line(&format!("sent {} {class}", request.txn));
        let outcome = ask(&mut stream, &request, Duration::from_secs(6));
        record.line(&format!("answered {} {outcome:?}", request.txn));
        let is_answered = matches!(outcome, Outcome::Status(..));
        sent.lock().unwrap()[index].outcome = Some((record.start().elapsed().as_secs_f64(), outcome));
        if !is_answered {
            return;
        }
        sleep(REST);
    }
}

/// Sends half a request and stays until the gateway answers or closes; then the same again.
fn send_half_requests(address: SocketAddr, begin: Instant, end: Instant) {
    thread::sleep(begin.saturating_duration_since(Instant::now()));
    while Instant::now() < end {
        let Ok(mut stream) = TcpStream::connect(address) else {
            sleep(0.01);
            continue;
        };
        let _ = stream.write_all(b"GET /api/0000000000000001 HTTP/1.1\r\nHost: service.int");
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let _ = stream.read(&mut [0; 512]);
    }
}

/// Sends a head that never ends, at full speed, until the gateway closes; then the same again.
fn send_endless_heads(address: SocketAddr, begin: Instant, end: Instant, record: &Record) {
    thread::sleep(begin.saturating_duration_since(Instant::now()));
    let noise = vec![b'a'; 1 << 20];
    while Instant::now() < end {
        let Ok(mut stream) = TcpStream::connect(address) else {
            sleep(0.01);
            continue;
        };
        let _ = stream.set_write_timeout(Some(Duration::from_millis(200)));
        let mut total = 0;
        let _ = stream.write_all(b"GET /api/0000000000000001 HTTP/1.1\r\nX-Pad: ");
        while Instant::now() < end {
            match stream.write(&noise) {
                Ok(written) => total += written,
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
        }
        record.line(&format!("endless head: {total} bytes until the gateway closed"));
    }
}
