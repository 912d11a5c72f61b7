//! In-process stand-in for etcd on loopback, for tests only, written from etcd's public API documentation.
//!
//! It implements the v3 JSON gateway's `kv/range`, `kv/put`, `kv/deleterange`, `kv/compaction`, `lease/grant`,
//! `lease/keepalive` and the `watch` stream (chunked, with progress notifications), over one store with revisions, a
//! history for watches from an older revision, compaction and leases. Tests can take a [`Standin`] down and up again
//! (open connections end, new ones are closed at once), delay its watch messages, and roll its store back to an older
//! revision, as after a restore of an etcd member from a backup.
#![deny(missing_docs)]

pub mod client;
mod store;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;
pub use store::Store;

struct Shared {
    store: Mutex<Store>,
    changed: Condvar,
    down: AtomicBool,
    stop: AtomicBool,
    /// Delay before each watch message, in milliseconds.
    message_delay_ms: AtomicU64,
    /// Interval of the progress notifications on an idle watch, in milliseconds.
    progress_interval_ms: AtomicU64,
    /// Watch messages sent.
    pub messages_sent: AtomicU64,
    /// Bytes of watch messages sent, without the chunk framing.
    pub bytes_sent: AtomicU64,
}

/// Running etcd stand-in; it stops when dropped.
pub struct Standin {
    /// Address that it listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Standin {
    /// Starts a stand-in on a free loopback port.
    pub fn start() -> std::io::Result<Standin> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            store: Mutex::new(Store::default()),
            changed: Condvar::new(),
            down: AtomicBool::new(false),
            stop: AtomicBool::new(false),
            message_delay_ms: AtomicU64::new(0),
            progress_interval_ms: AtomicU64::new(500),
            messages_sent: AtomicU64::new(0),
            bytes_sent: AtomicU64::new(0),
        });
        let server = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if server.stop.load(Ordering::SeqCst) {
                    break;
                }
                let Ok(stream) = stream else { continue };
                if server.down.load(Ordering::SeqCst) {
                    drop(stream); // the client sees the connection close at once
                    continue;
                }
                let server = server.clone();
                std::thread::spawn(move || serve_connection(stream, &server));
            }
        });
        Ok(Standin { address, shared })
    }

    /// Runs a closure on the store and wakes the watches, so that they send what it changed.
    pub fn with_store<T>(&self, change: impl FnOnce(&mut Store) -> T) -> T {
        let mut store = self.shared.store.lock().unwrap_or_else(|e| e.into_inner());
        let result = change(&mut store);
        self.shared.changed.notify_all();
        result
    }

    /// Takes the stand-in down or up again. While it is down, open connections and streams end and new ones are closed
    /// at once.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::SeqCst);
        self.shared.changed.notify_all();
    }

    /// Sets the delay before each watch message, in milliseconds.
    pub fn set_message_delay(&self, millis: u64) {
        self.shared.message_delay_ms.store(millis, Ordering::SeqCst);
    }

    /// Sets the interval of the progress notifications on an idle watch, in milliseconds.
    pub fn set_progress_interval(&self, millis: u64) {
        self.shared.progress_interval_ms.store(millis.max(1), Ordering::SeqCst);
    }

    /// Number of watch messages sent so far, and their bytes.
    pub fn sent_totals(&self) -> (u64, u64) {
        (self.shared.messages_sent.load(Ordering::SeqCst), self.shared.bytes_sent.load(Ordering::SeqCst))
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        self.shared.down.store(true, Ordering::SeqCst);
        self.shared.changed.notify_all();
        let _ = TcpStream::connect(self.address); // unblocks the thread in accept
    }
}

/// Serves the requests of a connection one after another. A watch request takes over the connection for its stream.
fn serve_connection(mut stream: TcpStream, shared: &Shared) {
    let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
    let mut buffer = Vec::new();
    loop {
        if shared.down.load(Ordering::SeqCst) {
            return;
        }
        let mut chunk = [0u8; 8192];
        match stream.read(&mut chunk) {
            Ok(0) => return,
            Ok(read) => buffer.extend_from_slice(&chunk[..read]),
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                continue;
            }
            Err(_) => return,
        }
        if buffer.len() > 1 << 20 {
            return; // limits the memory that a client can take with a request that never ends
        }
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut request = httparse::Request::new(&mut headers);
        let Ok(httparse::Status::Complete(head)) = request.parse(&buffer) else { continue };
        let length = (request.headers.iter())
            .find(|header| header.name.eq_ignore_ascii_case("content-length"))
            .and_then(|header| std::str::from_utf8(header.value).ok()?.trim().parse::<usize>().ok())
            .unwrap_or(0);
        if buffer.len() < head + length {
            continue;
        }
        let path = request.path.unwrap_or_default().to_string();
        let body: Value = serde_json::from_slice(&buffer[head..head + length]).unwrap_or(Value::Null);
        buffer.drain(..head + length);
        if path == "/v3/watch" {
            return serve_watch(stream, shared, &body);
        }
        let (status, reply) = handle_request(shared, &path, &body);
        let reply = reply.to_string();
        let head = format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            reply.len()
        );
        if stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(reply.as_bytes())).is_err() {
            return;
        }
    }
}

/// Decodes a base64 field; empty if it is missing or invalid.
fn bytes_field(body: &Value, field: &str) -> Vec<u8> {
    body[field].as_str().and_then(|text| STANDARD.decode(text).ok()).unwrap_or_default()
}

/// Reads an integer field given as a number or as a string; 0 if it is missing or invalid.
fn int_field(body: &Value, field: &str) -> i64 {
    match &body[field] {
        Value::String(text) => text.parse().unwrap_or(0),
        value => value.as_i64().unwrap_or(0),
    }
}

/// Handles a request other than a watch; returns the status line's code and reason, and the response body.
fn handle_request(shared: &Shared, path: &str, body: &Value) -> (&'static str, Value) {
    let mut store = shared.store.lock().unwrap_or_else(|e| e.into_inner());
    store.expire(std::time::Instant::now());
    let (key, end) = (bytes_field(body, "key"), bytes_field(body, "range_end"));
    let reply = match path {
        "/v3/kv/range" => store.range_json(&key, &end),
        "/v3/kv/put" => {
            let lease = int_field(body, "lease");
            match store.put(&key, &bytes_field(body, "value"), lease) {
                Ok(()) => json!({"header": store.header()}),
                Err(why) => return ("400 Bad Request", json!({"error": why, "code": 5})),
            }
        }
        "/v3/kv/deleterange" => {
            let deleted = store.delete(&key, &end);
            json!({"header": store.header(), "deleted": deleted.to_string()})
        }
        "/v3/kv/compaction" => match store.compact(int_field(body, "revision")) {
            Ok(()) => json!({"header": store.header()}),
            Err(why) => return ("400 Bad Request", json!({"error": why, "code": 11})),
        },
        "/v3/lease/grant" => {
            let (id, ttl) = store.grant(int_field(body, "TTL"), std::time::Instant::now());
            json!({"header": store.header(), "ID": id.to_string(), "TTL": ttl.to_string()})
        }
        "/v3/lease/keepalive" => {
            let ttl = store.keep_alive(int_field(body, "ID"), std::time::Instant::now());
            json!({"result": {"header": store.header(), "ID": int_field(body, "ID").to_string(), "TTL": ttl.to_string()}})
        }
        _ => return ("404 Not Found", json!({"error": "Not Found", "code": 5})),
    };
    shared.changed.notify_all();
    ("200 OK", reply)
}

/// Serves a watch stream: a `created` message, then the changes from the start revision on, and progress notifications
/// while there are none. A watch that needs a compacted revision is cancelled with the compaction's revision.
fn serve_watch(mut stream: TcpStream, shared: &Shared, body: &Value) {
    let create = &body["create_request"];
    let (key, end) = (bytes_field(create, "key"), bytes_field(create, "range_end"));
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
    if stream.write_all(head.as_bytes()).is_err() {
        return;
    }
    let store = shared.store.lock().unwrap_or_else(|e| e.into_inner());
    let mut from = int_field(create, "start_revision");
    if from > 0 && from <= store.compacted {
        let message = cancel_message(&store);
        drop(store);
        let _ = send_chunk(&mut stream, shared, message);
        let _ = stream.write_all(b"0\r\n\r\n");
        return;
    }
    if from <= 0 {
        from = store.revision + 1;
    }
    let created = json!({"result": {"header": store.header(), "created": true}});
    drop(store);
    let mut connected = send_chunk(&mut stream, shared, created);
    while connected {
        connected = match next_message(shared, &mut from, &key, &end) {
            WatchOutput::Message(message) => send_chunk(&mut stream, shared, message),
            WatchOutput::Cancelled(message) => {
                let _ = send_chunk(&mut stream, shared, message);
                false
            }
            WatchOutput::Down => false,
        };
    }
}

/// Next output of a watch.
enum WatchOutput {
    /// Changes or a progress notification.
    Message(Value),
    /// Last message: the next revision to send was compacted.
    Cancelled(Value),
    /// The stand-in is down; the stream ends without a message.
    Down,
}

/// Waits for changes from revision `from` on, or until a progress notification is due. After changes, `from` is set to
/// the revision that follows the ones sent.
fn next_message(shared: &Shared, from: &mut i64, key: &[u8], end: &[u8]) -> WatchOutput {
    let store = shared.store.lock().unwrap_or_else(|e| e.into_inner());
    let progress = Duration::from_millis(shared.progress_interval_ms.load(Ordering::SeqCst));
    let nothing_new = |store: &mut Store| store.revision < *from && !shared.down.load(Ordering::SeqCst);
    let waited = shared.changed.wait_timeout_while(store, progress, nothing_new);
    let (mut store, waited) = waited.unwrap_or_else(|e| e.into_inner());
    if shared.down.load(Ordering::SeqCst) {
        return WatchOutput::Down;
    }
    store.expire(std::time::Instant::now());
    if *from <= store.compacted {
        return WatchOutput::Cancelled(cancel_message(&store));
    }
    if waited.timed_out() && store.revision < *from {
        return WatchOutput::Message(json!({"result": {"header": store.header()}}));
    }
    let events = store.events_json(*from, key, end);
    *from = store.revision + 1;
    WatchOutput::Message(json!({"result": {"header": store.header(), "events": events}}))
}

/// Message that cancels a watch whose next revision was compacted.
fn cancel_message(store: &Store) -> Value {
    json!({"result": {"header": store.header(), "canceled": true,
        "compact_revision": store.compacted.to_string()}})
}

/// Writes a watch message as a chunk; returns false if the connection broke.
fn send_chunk(stream: &mut TcpStream, shared: &Shared, message: Value) -> bool {
    std::thread::sleep(Duration::from_millis(shared.message_delay_ms.load(Ordering::SeqCst)));
    let text = format!("{message}\n");
    shared.messages_sent.fetch_add(1, Ordering::SeqCst);
    shared.bytes_sent.fetch_add(text.len() as u64, Ordering::SeqCst);
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_ok()
}
