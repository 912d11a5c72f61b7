//! Clients that send one small request after another at full speed, each under a new customer's
//! name and with little time left: the platform kills the gateway once it takes more memory than
//! its limit.

#[path = "../kit-2/common.rs"]
mod common;

use common::*;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 96;
const SOCKETS: u64 = 512;
const SECONDS: f64 = 40.0;
/// Bad clients, with one connection and one request at a time each, and the time that they give.
const NAMING: u64 = 8;
const LITTLE_MS: u64 = 20;
/// Usual clients.
const CLIENTS: u64 = 10;
const REMAINING_MS: u64 = 2500;
const WORK: f64 = 0.05;

fn main() {
    let place = Place::from_env();
    let record = place.record();
    let runs: Runs = Arc::default();
    let mut entries = Vec::new();
    for number in 0..4_u32 {
        let name = format!("s-{number}");
        let address = start_server(&name, runs.clone(), record.clone(), |message, out| {
            sleep(WORK);
            answer_ok(message, out)
        });
        entries.push(entry(&name, address, ["hall-a", "hall-b"][number as usize % 2], number, "ready"));
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
    let (held, served): (Arc<AtomicUsize>, Arc<AtomicUsize>) = Default::default();
    let named: Arc<AtomicU64> = Arc::default();
    for number in 0..CLIENTS {
        let (held, served, record) = (held.clone(), served.clone(), record.clone());
        thread::spawn(move || usual_client(address, number, end, &held, &served, &record));
    }
    if trouble() {
        for number in 0..NAMING {
            let named = named.clone();
            thread::spawn(move || {
                sleep(2.0);
                send_under_new_names(address, number, end, &named);
            });
        }
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
            record.line(&format!(
                "memory {memory} KiB, {} requests under new names",
                named.load(Ordering::Relaxed)
            ));
            next_line += Duration::from_millis(500);
        }
        if memory > MEMORY_MB * 1024 {
            over = true;
            let held = held.load(Ordering::Relaxed);
            record.say(&format!(
                "killed for memory: {memory} KiB of {} KiB, {held} requests of usual clients unanswered",
                MEMORY_MB * 1024
            ));
            break;
        }
        sleep(0.01);
    }
    gateway.kill();
    let (served, named) = (served.load(Ordering::Relaxed), named.load(Ordering::Relaxed));
    record.say(&format!("{served} requests served, {named} under new names, {peak} KiB at most"));
    drop(gateway);
    std::process::exit(i32::from(over));
}

/// Sends one request after another, each as soon as the one before is answered.
fn send_under_new_names(address: SocketAddr, number: u64, end: Instant, named: &AtomicU64) {
    let mut customer = 1_000_000 + number * 100_000_000;
    while Instant::now() < end {
        let Ok(mut stream) = TcpStream::connect(address) else {
            sleep(0.05);
            continue;
        };
        let _ = stream.set_nodelay(true);
        while Instant::now() < end {
            customer += 1;
            let request = request("verify-run", customer, LITTLE_MS, b"");
            named.fetch_add(1, Ordering::Relaxed);
            if !matches!(ask(&mut stream, &request, Duration::from_secs(3)), Outcome::Status(..)) {
                break;
            }
        }
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
    let class = ["read-board", "submit-run", "verify-run"][number as usize % 3];
    let body: &[u8] = if class == "read-board" { b"" } else { b"board 7" };
    while Instant::now() < end {
        let Ok(mut stream) = TcpStream::connect(address) else {
            sleep(0.05);
            continue;
        };
        let _ = stream.set_nodelay(true);
        while Instant::now() < end {
            let request = request(class, 100 + number, REMAINING_MS, body);
            record.line(&format!("sent {} {class}", request.txn));
            held.fetch_add(1, Ordering::Relaxed);
            let outcome = ask(&mut stream, &request, Duration::from_secs(4));
            held.fetch_sub(1, Ordering::Relaxed);
            let Outcome::Status(status, _) = outcome else {
                record.line(&format!("{} {outcome:?}", request.txn));
                break;
            };
            record.line(&format!("answered {} {status}", request.txn));
            served.fetch_add(usize::from(status == 200), Ordering::Relaxed);
            sleep(0.1);
        }
    }
}
