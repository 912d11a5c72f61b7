//! A stand-in for etcd on loopback: the v3 JSON gateway's `kv/range`, `kv/put`, `kv/deleterange`, `kv/compaction`,
//! `lease/grant`, `lease/keepalive` and the `watch` stream (chunked, with progress notifications), over one store
//! with revisions, a history for watches from a revision, compaction and leases. A [`Standin`] can be scripted:
//! taken down and up (connections cut, new ones refused at once), its streams slowed, its store rolled back to an
//! older revision as a restored member would be. Written from etcd's public API documentation; test use only.
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
    /// Each watch message waits so long first, milliseconds.
    slow_ms: AtomicU64,
    /// A watch with nothing to say sends a progress notification so often, milliseconds.
    progress_ms: AtomicU64,
    /// Watch messages written, and their bytes.
    pub messages: AtomicU64,
    /// Bytes of watch messages written.
    pub bytes: AtomicU64,
}

/// A running stand-in; it stops when dropped.
pub struct Standin {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Standin {
    /// Starts on a free loopback port.
    pub fn start() -> std::io::Result<Standin> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            store: Mutex::new(Store::default()),
            changed: Condvar::new(),
            down: AtomicBool::new(false),
            stop: AtomicBool::new(false),
            slow_ms: AtomicU64::new(0),
            progress_ms: AtomicU64::new(500),
            messages: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
        });
        let serving = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if serving.stop.load(Ordering::SeqCst) {
                    break;
                }
                let Ok(stream) = stream else { continue };
                if serving.down.load(Ordering::SeqCst) {
                    drop(stream); // refused at once
                    continue;
                }
                let serving = serving.clone();
                std::thread::spawn(move || serve(stream, &serving));
            }
        });
        Ok(Standin { address, shared })
    }

    /// Works on the store directly, and wakes the watches.
    pub fn with<T>(&self, change: impl FnOnce(&mut Store) -> T) -> T {
        let mut store = self.shared.store.lock().unwrap_or_else(|e| e.into_inner());
        let made = change(&mut store);
        self.shared.changed.notify_all();
        made
    }

    /// Down: open connections and streams end, new ones are closed at once. Up again: served as before.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::SeqCst);
        self.shared.changed.notify_all();
    }

    /// Each watch message waits so long first, milliseconds.
    pub fn set_slow(&self, millis: u64) {
        self.shared.slow_ms.store(millis, Ordering::SeqCst);
    }

    /// A watch with nothing to say sends a progress notification so often, milliseconds.
    pub fn set_progress(&self, millis: u64) {
        self.shared.progress_ms.store(millis.max(1), Ordering::SeqCst);
    }

    /// Watch messages and bytes written so far.
    pub fn written(&self) -> (u64, u64) {
        (self.shared.messages.load(Ordering::SeqCst), self.shared.bytes.load(Ordering::SeqCst))
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        self.shared.down.store(true, Ordering::SeqCst);
        self.shared.changed.notify_all();
        let _ = TcpStream::connect(self.address); // wakes the accepting thread
    }
}

/// Requests of a connection, one after another; a watch keeps the connection for its stream.
fn serve(mut stream: TcpStream, shared: &Shared) {
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
            return; // guards against a client that never ends a request
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
            return watch(stream, shared, &body);
        }
        let (status, reply) = answer(shared, &path, &body);
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

fn bytes(body: &Value, field: &str) -> Vec<u8> {
    body[field].as_str().and_then(|text| STANDARD.decode(text).ok()).unwrap_or_default()
}

fn number(body: &Value, field: &str) -> i64 {
    match &body[field] {
        Value::String(text) => text.parse().unwrap_or(0),
        value => value.as_i64().unwrap_or(0),
    }
}

fn answer(shared: &Shared, path: &str, body: &Value) -> (&'static str, Value) {
    let mut store = shared.store.lock().unwrap_or_else(|e| e.into_inner());
    store.expire(std::time::Instant::now());
    let (key, end) = (bytes(body, "key"), bytes(body, "range_end"));
    let reply = match path {
        "/v3/kv/range" => store.range_json(&key, &end),
        "/v3/kv/put" => {
            let lease = number(body, "lease");
            match store.put(&key, &bytes(body, "value"), lease) {
                Ok(()) => json!({"header": store.header()}),
                Err(why) => return ("400 Bad Request", json!({"error": why, "code": 5})),
            }
        }
        "/v3/kv/deleterange" => {
            let deleted = store.delete(&key, &end);
            json!({"header": store.header(), "deleted": deleted.to_string()})
        }
        "/v3/kv/compaction" => match store.compact(number(body, "revision")) {
            Ok(()) => json!({"header": store.header()}),
            Err(why) => return ("400 Bad Request", json!({"error": why, "code": 11})),
        },
        "/v3/lease/grant" => {
            let (id, ttl) = store.grant(number(body, "TTL"), std::time::Instant::now());
            json!({"header": store.header(), "ID": id.to_string(), "TTL": ttl.to_string()})
        }
        "/v3/lease/keepalive" => {
            let ttl = store.keep_alive(number(body, "ID"), std::time::Instant::now());
            json!({"result": {"header": store.header(), "ID": number(body, "ID").to_string(), "TTL": ttl.to_string()}})
        }
        _ => return ("404 Not Found", json!({"error": "Not Found", "code": 5})),
    };
    shared.changed.notify_all();
    ("200 OK", reply)
}

/// A watch stream: created, then changes from the start revision on, progress notifications meanwhile; cancelled
/// with the compaction's revision when it asks for what is compacted away.
fn watch(mut stream: TcpStream, shared: &Shared, body: &Value) {
    let create = &body["create_request"];
    let (key, end) = (bytes(create, "key"), bytes(create, "range_end"));
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
    if stream.write_all(head.as_bytes()).is_err() {
        return;
    }
    let store = shared.store.lock().unwrap_or_else(|e| e.into_inner());
    let mut from = number(create, "start_revision");
    if from > 0 && from <= store.compacted {
        let message = cancelled(&store);
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
    let mut goes_on = send_chunk(&mut stream, shared, created);
    while goes_on {
        goes_on = match next_message(shared, &mut from, &key, &end) {
            Watched::Message(message) => send_chunk(&mut stream, shared, message),
            Watched::Cancelled(message) => {
                let _ = send_chunk(&mut stream, shared, message);
                false
            }
            Watched::Down => false,
        };
    }
}

/// What a watch has to say next.
enum Watched {
    /// Changes, or a progress notification.
    Message(Value),
    /// The last message: what is watched was compacted.
    Cancelled(Value),
    /// Nothing more: the stand-in is down.
    Down,
}

/// Waits for changes from a revision on, or until a progress notification is due; `from` becomes the next one.
fn next_message(shared: &Shared, from: &mut i64, key: &[u8], end: &[u8]) -> Watched {
    let store = shared.store.lock().unwrap_or_else(|e| e.into_inner());
    let progress = Duration::from_millis(shared.progress_ms.load(Ordering::SeqCst));
    let nothing_new = |store: &mut Store| store.revision < *from && !shared.down.load(Ordering::SeqCst);
    let waited = shared.changed.wait_timeout_while(store, progress, nothing_new);
    let (mut store, waited) = waited.unwrap_or_else(|e| e.into_inner());
    if shared.down.load(Ordering::SeqCst) {
        return Watched::Down;
    }
    store.expire(std::time::Instant::now());
    if *from <= store.compacted {
        return Watched::Cancelled(cancelled(&store));
    }
    if waited.timed_out() && store.revision < *from {
        return Watched::Message(json!({"result": {"header": store.header()}}));
    }
    let events = store.events_json(*from, key, end);
    *from = store.revision + 1;
    Watched::Message(json!({"result": {"header": store.header(), "events": events}}))
}

/// The message that ends a watch of what was compacted.
fn cancelled(store: &Store) -> Value {
    json!({"result": {"header": store.header(), "canceled": true,
        "compact_revision": store.compacted.to_string()}})
}

/// Writes one message of a watch; whether the connection still stands.
fn send_chunk(stream: &mut TcpStream, shared: &Shared, message: Value) -> bool {
    std::thread::sleep(Duration::from_millis(shared.slow_ms.load(Ordering::SeqCst)));
    let text = format!("{message}\n");
    shared.messages.fetch_add(1, Ordering::SeqCst);
    shared.bytes.fetch_add(text.len() as u64, Ordering::SeqCst);
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_ok()
}
