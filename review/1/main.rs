//! Case 1: a server sends a second copy of a good answer a millisecond late, when nothing waits on the connection.
//! Does another request on that connection get it as its answer?

#[path = "../kit/kit.rs"]
mod kit;

use kit::*;
use std::collections::HashMap;
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Requests a second at each gateway, and for how long.
const RATE: f64 = 100.0;
const SECONDS: u64 = 45;
/// One way between the halls, and within one.
const CROSS_HALL: Duration = Duration::from_micros(1200);
const SAME_HALL: Duration = Duration::from_micros(200);
/// How late the second copy of an answer is sent, and of how many answers one is sent.
const LATE: Duration = Duration::from_micros(1000);
const COPIED_SHARE: f64 = 0.05;
const MEAN_SERVICE: f64 = 0.025;

#[derive(Default)]
struct Ledger {
    /// What servers answered, by the request's id.
    made: Mutex<HashMap<String, Vec<Vec<u8>>>>,
    runs: Mutex<HashMap<String, u32>>,
    copies: AtomicU64,
    held_back: AtomicU64,
    number: AtomicU64,
}

/// Whether bytes wait on the connection.
fn has_input(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let nothing = matches!(stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
    let _ = stream.set_nonblocking(false);
    !nothing
}

/// One server behind a link with this delay each way.
fn server(name: String, link: Duration, ledger: Arc<Ledger>, record: Record) -> std::net::SocketAddr {
    serve(move |mut stream| {
        let connection = ledger.number.fetch_add(1, Ordering::Relaxed);
        let mut random = Random(connection * 7919 + 17);
        let mut buffer = Vec::new();
        loop {
            let _ = stream.set_read_timeout(Some(ms(15_000)));
            let Some(request) = read_message(&mut stream, &mut buffer) else { return };
            let came = Instant::now() + link;
            let txn = request.header("x-txn").unwrap_or("none").to_string();
            *ledger.runs.lock().unwrap().entry(txn.clone()).or_default() += 1;
            let path = request.first_line.split(' ').nth(1).unwrap_or_default().to_string();
            let body = format!("{{\"txn\":\"{txn}\",\"path\":\"{path}\",\"server\":\"{name}\"}}").into_bytes();
            ledger.made.lock().unwrap().entry(txn.clone()).or_default().push(body.clone());
            let mut answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nX-Settled: 1\r\n\r\n", body.len()).into_bytes();
            answer.extend_from_slice(&body);
            let answered = came + random.exponential(MEAN_SERVICE).min(ms(400));
            sleep_until(answered + link);
            if stream.write_all(&answer).is_err() {
                return;
            }
            record.line(&format!("server {name} connection {connection} ran and answered {txn}"));
            if trouble() && random.unit() < COPIED_SHARE {
                // The copy is sent `LATE` after the answer, and only if nothing else waits on the connection: not even a
                // request that is still on its way. Within `link` of the answer none can be, since the gateway has not
                // had the answer by then.
                if LATE > link {
                    sleep_until(answered + LATE);
                    if has_input(&stream) {
                        ledger.held_back.fetch_add(1, Ordering::Relaxed);
                        continue;
                    }
                }
                sleep_until(answered + LATE + link);
                if stream.write_all(&answer).is_err() {
                    return;
                }
                ledger.copies.fetch_add(1, Ordering::Relaxed);
                record.line(&format!("server {name} connection {connection} second copy of the answer to {txn}"));
            }
        }
    })
}

fn main() {
    let (folder, temporary) = folders();
    let record = Record::create(&format!("{folder}/record.txt"));
    let ledger = Arc::new(Ledger::default());
    let list = List::default();
    for number in 0..4u32 {
        let (zone, link) = if number % 2 == 0 { ("hall-a", SAME_HALL) } else { ("hall-b", CROSS_HALL) };
        let name = format!("s-{number}");
        let address = server(name.clone(), link, ledger.clone(), record.clone());
        list.tell(Entry { name, address, zone: zone.into(), group: number % 2, status: "ready", since_ms: 0 });
    }
    let counter = counter();
    let mut gateways: Vec<Gateway> = (0..2)
        .map(|me| {
            let told = Told {
                name: format!("n{me}"),
                listen: free_address(),
                discovery: list.agent(),
                counter,
                seed: 0x8c1f_30d2_7a5b_e964 + u64::from(me),
                more: String::new(),
                settings: bratislava(me, 2),
            };
            Gateway::start(&temporary, &told)
        })
        .collect();
    if !gateways.iter_mut().all(|gateway| gateway.wait_ready(ms(10_000))) {
        record.say("could not run: a gateway is not ready");
        drop(gateways);
        std::process::exit(2);
    }
    let addresses: Vec<_> = gateways.iter().map(|gateway| gateway.address).collect();
    let pools: Arc<Vec<Pool>> = Arc::new((0..2).map(|_| Pool::default()).collect());
    let (served, other, unanswered) =
        (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let foreign: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut random = Random(u64::from(std::process::id()) ^ unix_ms());
    let begin = Instant::now();
    let mut next = begin;
    let mut threads = Vec::new();
    let mut number = 0u64;
    while begin.elapsed() < Duration::from_secs(SECONDS) {
        next += random.exponential(1.0 / (2.0 * RATE));
        sleep_until(next);
        number += 1;
        let (class, is_get, keyed, remaining_ms) = match random.below(10) {
            0..6 => ("read-board", true, false, 6000),
            6..8 => ("submit-run", false, true, 5000),
            _ => ("verify-run", false, false, 2500),
        };
        let request = Request {
            txn: random.next(),
            class,
            is_get,
            keyed,
            plan: "league",
            customer: 0x1_0000 + random.below(40),
            remaining_ms,
            units: 1,
            spread: 2,
            first: 0,
        };
        let at = (number % 2) as usize;
        let (address, pools, ledger, record) = (addresses[at], pools.clone(), ledger.clone(), record.clone());
        let (served, other, unanswered, foreign) =
            (served.clone(), other.clone(), unanswered.clone(), foreign.clone());
        threads.push(thread::spawn(move || {
            let txn = format!("{:016x}", request.txn);
            record.line(&format!("client asks n{at} {txn} {} customer {:016x}", request.class, request.customer));
            match pools[at].ask(address, &request) {
                End::Answered(answer) if answer.status() == 200 => {
                    served.fetch_add(1, Ordering::Relaxed);
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    let made = ledger.made.lock().unwrap().get(&txn).is_some_and(|made| made.contains(&answer.body));
                    record.line(&format!("client answered {txn} 200 {body}"));
                    if !made {
                        let line = format!(
                            "BROKEN lost: {txn} ({} of customer {:016x} at n{at}) was served with {body}, which no server made for it",
                            request.class, request.customer
                        );
                        record.line(&line);
                        foreign.lock().unwrap().push(line);
                    }
                }
                End::Answered(answer) => {
                    other.fetch_add(1, Ordering::Relaxed);
                    record.line(&format!("client answered {txn} {}", answer.status()));
                }
                end => {
                    unanswered.fetch_add(1, Ordering::Relaxed);
                    record.line(&format!("client not answered {txn} {end:?}"));
                }
            }
        }));
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));
    drop(gateways);
    let (served, other) = (served.load(Ordering::Relaxed), other.load(Ordering::Relaxed));
    let copies = ledger.copies.load(Ordering::Relaxed);
    record.say(&format!(
        "{number} requests: {served} served, {other} answered otherwise, {} not answered; {copies} second copies sent, {} held back since a request waited",
        unanswered.load(Ordering::Relaxed),
        ledger.held_back.load(Ordering::Relaxed)
    ));
    let foreign = foreign.lock().unwrap();
    for line in foreign.iter().take(5) {
        println!("{line}");
    }
    record.say(&format!("{} requests were served with an answer to another request", foreign.len()));
    std::process::exit(match () {
        _ if !foreign.is_empty() => 1,
        _ if served * 2 < number || trouble() && copies == 0 => 2,
        _ => 0,
    });
}
