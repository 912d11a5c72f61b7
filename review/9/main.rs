//! Clients that stop in the middle of long requests, beside usual clients: the platform kills the
//! gateway once it takes more memory than its limit.

#[path = "../kit-2/common.rs"]
mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 1024;
const SECONDS: f64 = 20.0;
/// Bad clients: they send nearly all of a request with a long body, and stay.
const HALF_REQUESTS: u64 = 400;
/// Usual clients hold at most a third of the descriptors for requests.
const CLIENTS: u64 = SOCKETS / 3;
const BODY: usize = 10_000;
const REMAINING_MS: u64 = 2500;
/// The body of an answer: under 64 KiB, in chunks, the last of them after a while.
const CHUNK: usize = 1000;
const CHUNKS: usize = 65;
const LAST_CHUNK_AFTER: f64 = 0.3;

fn main() {
    let place = Place::from_env();
    let record = place.record();
    let runs: Runs = Arc::default();
    let mut entries = Vec::new();
    for number in 0..12_u32 {
        let name = format!("s-{number}");
        let address =
            start_server(&name, runs.clone(), record.clone(), |_, out| answer_in_chunks(out).is_ok());
        let zone = ["hall-a", "hall-b"][number as usize % 2];
        entries.push(entry(&name, address, zone, number / 4, "ready"));
    }
    let discovery = Discovery::start(entries);
    let settings = settings(1, CLASSES);
    let config = Config {
        listen: free_address(),
        discovery: discovery.address,
        counter: start_counter(),
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        settings: &settings,
        known: None,
    };
    let mut gateway = Gateway::start(&place, &config);
    gateway.wait_ready();
    record.line("ready");
    let address = config.listen;
    let end = Instant::now() + Duration::from_secs_f64(SECONDS);
    let held: Arc<AtomicUsize> = Arc::default();
    let served: Arc<AtomicUsize> = Arc::default();
    if trouble() {
        for number in 0..HALF_REQUESTS {
            thread::spawn(move || {
                sleep(0.005 * number as f64);
                send_half_requests(address, number, end);
            });
        }
    }
    for number in 0..CLIENTS {
        let (held, served, record) = (held.clone(), served.clone(), record.clone());
        thread::spawn(move || {
            sleep(0.01 * number as f64);
            usual_client(address, number, end, &held, &served, &record);
        });
    }
    // The platform: over its limit the gateway is killed. Only the process's own memory is counted,
    // without the pages of its files.
    let (mut peak, mut next_line, mut over) = (0, Instant::now(), false);
    while Instant::now() < end {
        if let Some(status) = gateway.ended() {
            record.say(&format!("the gateway ended by itself: {status}"));
            over = true;
            break;
        }
        let memory = gateway.memory_kib("RssAnon");
        peak = peak.max(memory);
        if Instant::now() >= next_line {
            record.line(&format!("memory {memory} KiB, of all {} KiB", gateway.memory_kib("VmRSS")));
            next_line += Duration::from_millis(500);
        }
        if memory > MEMORY_MB * 1024 {
            over = true;
            let held = held.load(Ordering::Relaxed);
            record.say(&format!(
                "killed for memory: {memory} KiB of {} KiB, {held} requests unanswered",
                MEMORY_MB * 1024
            ));
            break;
        }
        sleep(0.01);
    }
    gateway.kill();
    let (served, runs) = (served.load(Ordering::Relaxed), runs.lock().unwrap().len());
    record.say(&format!("{served} requests served, {runs} run, {peak} KiB at most"));
    drop(gateway);
    std::process::exit(i32::from(over));
}

fn answer_in_chunks(out: &mut TcpStream) -> std::io::Result<()> {
    let chunk = format!("{CHUNK:x}\r\n{}\r\n", "b".repeat(CHUNK));
    let load = "X-Pressure: {\"util\":0.2,\"inflight\":1}\r\nX-Settled: 1\r\n";
    write!(out, "HTTP/1.1 200 OK\r\n{load}Transfer-Encoding: chunked\r\n\r\n")?;
    for number in 0..CHUNKS {
        out.write_all(chunk.as_bytes())?;
        if number % 8 == 0 {
            sleep(0.01);
        }
    }
    sleep(LAST_CHUNK_AFTER);
    out.write_all(b"0\r\n\r\n")
}

/// Sends a request but for its last bytes and stays until the gateway answers or closes; then the
/// same again.
fn send_half_requests(address: SocketAddr, number: u64, end: Instant) {
    let body = vec![b'x'; 64 << 10];
    while Instant::now() < end {
        let Ok(mut stream) = TcpStream::connect(address) else {
            sleep(0.05);
            continue;
        };
        let request = request("verify-run", 5000 + number, REMAINING_MS, &body);
        let _ = stream.write_all(&request.head);
        let _ = stream.write_all(&body[..65_000]);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        let _ = stream.read(&mut [0; 512]);
    }
}

fn usual_client(
    address: SocketAddr,
    number: u64,
    end: Instant,
    held: &AtomicUsize,
    served: &AtomicUsize,
    record: &Record,
) {
    let (class, body) = match number % 3 {
        0 => ("read-board", Vec::new()),
        1 => ("submit-run", vec![b'x'; BODY]),
        _ => ("verify-run", vec![b'x'; BODY]),
    };
    while Instant::now() < end {
        let Ok(mut stream) = TcpStream::connect(address) else {
            sleep(0.05);
            continue;
        };
        loop {
            let request = request(class, 100 + number, REMAINING_MS, &body);
            record.line(&format!("sent {} {class}", request.txn));
            held.fetch_add(1, Ordering::Relaxed);
            let outcome = ask(&mut stream, &request, Duration::from_secs(4));
            held.fetch_sub(1, Ordering::Relaxed);
            match outcome {
                Outcome::Status(200, _) => {
                    record.line(&format!("answered {} 200", request.txn));
                    served.fetch_add(1, Ordering::Relaxed);
                    sleep(0.3);
                }
                Outcome::Status(status, _) => {
                    record.line(&format!("answered {} {status}", request.txn));
                    sleep(0.1);
                }
                other => {
                    record.line(&format!("{} {other:?}", request.txn));
                    break;
                }
            }
            if Instant::now() >= end {
                return;
            }
        }
    }
}
