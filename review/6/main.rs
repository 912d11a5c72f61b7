//! Long deduplicated requests whose connections are reset after they ran, and servers that take
//! seconds to read: a repeat may be whole only after the window in which repeats are recognized.

#[path = "../kit-2/common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Classes like those of the site.
const METHODS: &str = r#"
{"name":"read-board","credit":1.0,"onTime":0.8,"deadline":3.0,"idempotency":"free","group":"all","window":5.0,"lateShare":0.2,"streaming":false},
{"name":"submit-run","credit":5.0,"onTime":0.6,"deadline":2.5,"idempotency":"guarded","group":"all","window":1.5,"lateShare":0.0,"streaming":false}"#;
const WINDOW: f64 = 1.5;
const SLACK: f64 = 0.05;
const REMAINING_MS: u64 = 2500;
const BODY: usize = 65_000;
/// The work of a request, and how long a slow server pauses within a long one before it reads on.
const WORK: f64 = 0.09;
const PAUSE: f64 = 1.7;
const SECONDS: f64 = 12.0;
const PACKET: i32 = 536;
const RECEIVE_BUFFER: i32 = 8192;

/// The servers' common memory of keys: when a request first ran, and how often it did.
#[derive(Default)]
struct Keys(Mutex<HashMap<String, (Instant, u32)>>);

impl Keys {
    /// Whether a request that has arrived whole runs; a repeat within the window is recognized.
    fn arrive(&self, key: &str) -> (bool, f64, u32) {
        let now = Instant::now();
        let mut keys = self.0.lock().unwrap();
        let entry = keys.entry(key.to_string()).or_insert((now, 0));
        let age = (now - entry.0).as_secs_f64();
        let runs = entry.1 == 0 || age > WINDOW + SLACK;
        entry.1 += u32::from(runs);
        (runs, age, entry.1)
    }
}

fn main() {
    let place = Place::from_env();
    let record = place.record();
    let keys: Arc<Keys> = Arc::default();
    let duplicates: Arc<AtomicU64> = Arc::default();
    let mut entries = Vec::new();
    for number in 0..4_u32 {
        let is_slow = number >= 2;
        let (listener, address) = if is_slow { listen_narrow(PACKET, RECEIVE_BUFFER) } else { listen() };
        let (keys, record, duplicates) = (keys.clone(), record.clone(), duplicates.clone());
        let name = format!("s-{number}");
        entries.push(entry(&name, address, ["hall-a", "hall-b"][number as usize % 2], number, "ready"));
        thread::spawn(move || serve(&listener, &name, is_slow, &keys, &duplicates, &record));
    }
    let discovery = Discovery::start(entries);
    // The site allows three attempts.
    let settings = settings(1, METHODS).replace("\"attemptsCap\":6", "\"attemptsCap\":3");
    let config = Config {
        listen: free_address(),
        discovery: discovery.address,
        counter: start_counter(),
        memory_mb: 96,
        sockets: 512,
        settings: &settings,
        known: None,
    };
    let mut gateway = Gateway::start(&place, &config);
    gateway.wait_ready();
    record.line("ready");
    let address = config.listen;
    let end = Instant::now() + Duration::from_secs_f64(SECONDS);
    let mut clients = Vec::new();
    for number in 0..10_u64 {
        let record = record.clone();
        let (class, length) = if number < 6 { ("read-board", 0) } else { ("submit-run", BODY) };
        clients.push(thread::spawn(move || client(address, number, class, length, end, &record)));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    sleep(1.0);
    if let Some(status) = gateway.ended() {
        no_run(&format!("the gateway ended: {status}"));
    }
    gateway.kill();
    let keys = keys.0.lock().unwrap();
    let duplicates = duplicates.load(Ordering::Relaxed);
    record.say(&format!("{} keyed requests ran, {duplicates} of them again after the window", keys.len()));
    drop(gateway);
    std::process::exit(i32::from(duplicates > 0));
}

fn serve(
    listener: &TcpListener,
    name: &str,
    is_slow: bool,
    keys: &Arc<Keys>,
    duplicates: &Arc<AtomicU64>,
    record: &Record,
) {
    for stream in listener.incoming().flatten() {
        let (name, keys, duplicates, record) =
            (name.to_string(), keys.clone(), duplicates.clone(), record.clone());
        thread::spawn(move || {
            let _ = stream.set_nodelay(true);
            let Ok(read_half) = stream.try_clone() else { return };
            let (mut reader, mut out) = (BufReader::new(read_half), stream);
            let mut count = 0;
            while let Some(message) = read_slowly(&mut reader, is_slow && trouble()) {
                let text = |name| message.header(name).unwrap_or_default().to_string();
                let (key, txn) = (text("idempotency-key"), text("x-txn"));
                if !key.is_empty() {
                    let (runs, age, times) = keys.arrive(&key);
                    record.line(&format!(
                        "whole at {name}: {txn} {key}, {age:.3} s after it first ran, runs: {runs}"
                    ));
                    if runs && times > 1 {
                        duplicates.fetch_add(1, Ordering::Relaxed);
                        record.say(&format!(
                            "duplicate: {txn} ran again at {name}, {age:.3} s after it first ran"
                        ));
                    }
                    count += 1;
                    if trouble() && !is_slow && count % 2 == 1 {
                        record.line(&format!("reset by {name} under {txn}"));
                        reset(&out);
                        return;
                    }
                }
                sleep(WORK);
                if !answer_ok(&message, &mut out) {
                    return;
                }
            }
        });
    }
}

/// Reads a message; with `slowly` it pauses before a long body.
fn read_slowly(reader: &mut impl BufRead, slowly: bool) -> Option<Message> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        if reader.read_until(b'\n', &mut head).ok()? == 0 {
            return None;
        }
    }
    let length = {
        let text = String::from_utf8_lossy(&head).to_ascii_lowercase();
        let value = text.split("content-length:").nth(1).and_then(|rest| rest.lines().next());
        value.and_then(|value| value.trim().parse().ok()).unwrap_or(0_usize)
    };
    if slowly && length > 4096 {
        sleep(PAUSE);
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    read_message(&mut &[head, body].concat()[..]).ok().flatten()
}

fn client(address: SocketAddr, number: u64, class: &str, length: usize, end: Instant, record: &Record) {
    sleep(0.05 * number as f64);
    let body = vec![b'x'; length];
    while Instant::now() < end {
        let Ok(mut stream) = TcpStream::connect(address) else {
            sleep(0.05);
            continue;
        };
        let _ = stream.set_nodelay(true);
        loop {
            let request = request(class, 100 + number, REMAINING_MS, &body);
            record.line(&format!("sent {} {class}", request.txn));
            let outcome = ask(&mut stream, &request, Duration::from_secs(4));
            record.line(&format!("answered {} {outcome:?}", request.txn));
            if !matches!(outcome, Outcome::Status(..)) {
                break;
            }
            if Instant::now() >= end {
                return;
            }
            sleep(if length > 0 { 0.4 } else { 0.1 });
        }
    }
}
