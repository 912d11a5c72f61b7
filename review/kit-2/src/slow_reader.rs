//! Clients that take seconds to read an answer on a connection that ends with it.

use crate::common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CLIENTS: u64 = 12;
/// How long a client takes until it reads its answer, and how long it would wait for it.
const READS_AFTER: f64 = 3.0;
const REMAINING_MS: u64 = 6000;
const ANSWER: usize = 65_000;
/// The client's receive buffer, and the longest packet of its network.
const RECEIVE_BUFFER: i32 = 1024;
const PACKET: i32 = 536;

pub fn main() {
    let place = Place::from_env();
    let record = place.record();
    let runs: Runs = Arc::default();
    let mut entries = Vec::new();
    for number in 0..4_u32 {
        let name = format!("s-{number}");
        let address = start_server(&name, runs.clone(), record.clone(), |message, out| {
            sleep(0.05);
            answer(message, out).is_ok()
        });
        entries.push(entry(&name, address, ["hall-a", "hall-b"][number as usize % 2], number, "ready"));
    }
    let discovery = Discovery::start(entries);
    let settings = settings(1, CLASSES);
    let config = Config {
        listen: free_address(),
        discovery: discovery.address,
        counter: start_counter(),
        memory_mb: 96,
        sockets: 1024,
        settings: &settings,
        known: None,
    };
    let mut gateway = Gateway::start(&place, &config);
    gateway.wait_ready();
    record.line("ready");
    let address = config.listen;
    let ends: Arc<Mutex<Vec<(String, Outcome, f64)>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (ends, record) = (ends.clone(), record.clone());
            thread::spawn(move || {
                sleep(0.1 * number as f64);
                let end = client(address, number, &record);
                ends.lock().unwrap().push(end);
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    let ended = gateway.ended();
    gateway.kill();
    if let Some(status) = ended {
        no_run(&format!("the gateway ended: {status}"));
    }
    let (mut lost, mut served) = (0, 0);
    for (txn, outcome, _) in ends.lock().unwrap().iter() {
        match outcome {
            Outcome::Status(status, body) => {
                served += usize::from(*status == 200);
                if *status == 200 && *body != body_for(txn) {
                    lost += 1;
                    record.say(&format!("lost: {txn}, another body"));
                }
            }
            other => {
                lost += 1;
                record.say(&format!(
                    "lost: {txn}, the gateway ended the connection within the answer: {other:?}"
                ));
            }
        }
    }
    record.say(&format!("{CLIENTS} requests, {served} served, {lost} lost"));
    drop(gateway);
    std::process::exit(i32::from(lost > 0));
}

fn body_for(txn: &str) -> Vec<u8> {
    txn.bytes().cycle().take(ANSWER).collect()
}

fn answer(message: &Message, out: &mut TcpStream) -> std::io::Result<()> {
    let load = "X-Pressure: {\"util\":0.2,\"inflight\":1}\r\nX-Settled: 1\r\n";
    write!(out, "HTTP/1.1 200 OK\r\n{load}Content-Length: {ANSWER}\r\n\r\n")?;
    out.write_all(&body_for(message.header("x-txn").unwrap_or_default()))
}

/// Sends one request and says that the connection ends with its answer; reads the answer some time
/// later.
fn client(address: SocketAddr, number: u64, record: &Record) -> (String, Outcome, f64) {
    let mut request = request("read-board", 100 + number, REMAINING_MS, b"");
    let end = request.head.len() - 2;
    request.head.splice(end..end, b"Connection: close\r\n".iter().copied());
    let connected = connect_narrow(address, PACKET, RECEIVE_BUFFER);
    let mut stream = connected.unwrap_or_else(|e| no_run(&format!("client: {e}")));
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    record.line(&format!("sent {}", request.txn));
    if stream.write_all(&request.head).is_err() {
        return (request.txn, Outcome::Ended("write".to_string()), 0.0);
    }
    if trouble() {
        sleep(READS_AFTER);
    }
    let outcome = match read_message(&mut BufReader::new(&mut stream)) {
        Ok(Some(answer)) => Outcome::Status(answer.status(), answer.body),
        Ok(None) => Outcome::Ended("closed".to_string()),
        Err(e) => Outcome::Ended(e.to_string()),
    };
    let text = match &outcome {
        Outcome::Status(status, body) => format!("{status} with {} bytes", body.len()),
        other => format!("{other:?}"),
    };
    record.line(&format!("answered {} {text}", request.txn));
    (request.txn, outcome, record.start().elapsed().as_secs_f64())
}
