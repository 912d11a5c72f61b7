//! A blocking client of the stand-in for tests and measurements: requests, the watch stream, and a loop that
//! drives the membership watcher until a condition holds. Not for the gateway, whose peers are non-blocking.

use crate::Standin;
use membership::etcd::{self, ChunkedDecoder, WatchStreamDecoder};
use membership::nodes::Members;
use membership::watcher::{Action, Watcher};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A node's value as the membership reads it.
pub fn node(address: &str, state: &str) -> Vec<u8> {
    format!(r#"{{"address":"{address}","zone":"a","state":"{state}"}}"#).into_bytes()
}

/// Sends one request and gives the connection with the head of the answer read; none if it is refused or cut.
pub fn request(standin: &Standin, path: &str, body: &str) -> Option<(TcpStream, Vec<u8>)> {
    let mut stream = TcpStream::connect(standin.address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let head = format!("POST {path} HTTP/1.1\r\nHost: etcd\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(head.as_bytes()).ok()?;
    let mut got = Vec::new();
    let mut buffer = [0u8; 4096];
    while !got.windows(4).any(|four| four == b"\r\n\r\n") {
        let read = stream.read(&mut buffer).ok().filter(|read| *read > 0)?;
        got.extend_from_slice(&buffer[..read]);
    }
    let at = got.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    Some((stream, got.split_off(at)))
}

/// A range's whole answer body (Content-Length is read by reading until the JSON is whole).
pub fn range(standin: &Standin, body: &str) -> Option<etcd::Reply> {
    let (mut stream, mut got) = request(standin, "/v3/kv/range", body)?;
    let mut buffer = [0u8; 65536];
    loop {
        if let Ok(reply) = etcd::parse_range_reply(&got) {
            return Some(reply);
        }
        let read = stream.read(&mut buffer).ok().filter(|read| *read > 0)?;
        got.extend_from_slice(&buffer[..read]);
    }
}

/// An open watch stream.
pub struct Watch {
    stream: TcpStream,
    chunks: ChunkedDecoder,
    messages: WatchStreamDecoder,
    pending: Vec<u8>,
}

impl Watch {
    /// Opens a watch with this request.
    pub fn open(standin: &Standin, body: &str) -> Option<Watch> {
        let (stream, pending) = request(standin, "/v3/watch", body)?;
        Some(Watch {
            stream,
            chunks: ChunkedDecoder::default(),
            messages: WatchStreamDecoder::default(),
            pending,
        })
    }

    /// The next messages, or none when the stream ended or broke.
    pub fn take(&mut self) -> Option<Vec<serde_json::Value>> {
        loop {
            let data = self.chunks.feed(&std::mem::take(&mut self.pending)).ok()?;
            let messages = self.messages.feed(&data).ok()?;
            if !messages.is_empty() {
                return Some(messages);
            }
            if self.chunks.done {
                return None;
            }
            let mut buffer = [0u8; 8192];
            let read = self.stream.read(&mut buffer).ok().filter(|read| *read > 0)?;
            self.pending.extend_from_slice(&buffer[..read]);
        }
    }
}

/// Nanoseconds since `start`: the watcher's clock in tests.
pub fn now(start: Instant) -> u64 {
    start.elapsed().as_nanos() as u64
}

/// The membership watcher with its members and its open watch, driven over blocking sockets.
pub struct Follower {
    /// The state machine that is driven.
    pub watcher: Watcher,
    /// The node lists merged.
    pub members: Members,
    /// When it started.
    pub start: Instant,
    /// What is to be done next.
    pub next: Action,
    watch: Option<Watch>,
}

impl Follower {
    /// A follower of this prefix.
    pub fn new(prefix: &[u8]) -> Follower {
        let mut watcher = Watcher::new(prefix, 1);
        let next = watcher.start_range();
        Follower { watcher, members: Members::default(), start: Instant::now(), next, watch: None }
    }

    /// Nanoseconds since its start.
    pub fn now(&self) -> u64 {
        now(self.start)
    }

    /// Drives the watcher on from where it stands until `done` holds of the members; fails after ten seconds.
    pub fn until(&mut self, standin: &Standin, done: impl Fn(&mut Members) -> bool) {
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(10) {
            if done(&mut self.members) {
                return;
            }
            let at = self.now();
            let (watcher, members) = (&mut self.watcher, &mut self.members);
            self.next = match std::mem::replace(&mut self.next, Action::Nothing) {
                Action::Range { body, .. } => match range(standin, &body) {
                    Some(reply) => watcher.handle_range_reply(at, reply, members),
                    None => watcher.handle_failure(at),
                },
                Action::Watch { body, .. } => match Watch::open(standin, &body) {
                    Some(opened) => {
                        self.watch = Some(opened);
                        Action::Nothing
                    }
                    None => watcher.handle_failure(at),
                },
                Action::Wait { until } => {
                    while now(self.start) < until {
                        std::thread::yield_now();
                    }
                    watcher.handle_timer(now(self.start), members)
                }
                Action::Nothing => match self.watch.as_mut().and_then(Watch::take) {
                    Some(messages) => {
                        let mut next = Action::Nothing;
                        for message in messages {
                            let reply =
                                etcd::parse_watch_message(&message).expect("the stand-in's messages read");
                            next = watcher.handle_watch_message(now(self.start), reply, members);
                        }
                        next
                    }
                    None => watcher.handle_failure(at),
                },
            };
        }
        panic!("not done within ten seconds");
    }
}
