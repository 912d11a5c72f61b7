//! Blocking client of the etcd stand-in for tests and benchmarks: requests, watch streams, and a driver that runs
//! the membership watcher until a condition holds. The gateway can't use it, since its connections are non-blocking.

use crate::Standin;
use membership::etcd::{self, ChunkedDecoder, WatchStreamDecoder};
use membership::nodes::Members;
use membership::watcher::{Action, Watcher};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// JSON value of a node's key, as the membership parser expects it.
pub fn node_value(address: &str, state: &str) -> Vec<u8> {
    format!(r#"{{"address":"{address}","zone":"a","state":"{state}"}}"#).into_bytes()
}

/// Sends a request and reads the response up to the end of its headers. Returns the connection and the body bytes
/// read so far, or `None` if the connection was refused or broke.
pub fn send_request(standin: &Standin, path: &str, body: &str) -> Option<(TcpStream, Vec<u8>)> {
    let mut stream = TcpStream::connect(standin.address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let head = format!("POST {path} HTTP/1.1\r\nHost: etcd\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(head.as_bytes()).ok()?;
    let mut received = Vec::new();
    let mut buffer = [0u8; 4096];
    while !received.windows(4).any(|window| window == b"\r\n\r\n") {
        let read = stream.read(&mut buffer).ok().filter(|read| *read > 0)?;
        received.extend_from_slice(&buffer[..read]);
    }
    let body_start = received.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    Some((stream, received.split_off(body_start)))
}

/// Sends a range request and returns the parsed response. It reads until the JSON is complete, so it doesn't need
/// the Content-Length header.
pub fn range(standin: &Standin, body: &str) -> Option<etcd::Reply> {
    let (mut stream, mut received) = send_request(standin, "/v3/kv/range", body)?;
    let mut buffer = [0u8; 65536];
    loop {
        if let Ok(reply) = etcd::parse_range_reply(&received) {
            return Some(reply);
        }
        let read = stream.read(&mut buffer).ok().filter(|read| *read > 0)?;
        received.extend_from_slice(&buffer[..read]);
    }
}

/// Open watch stream.
pub struct WatchStream {
    stream: TcpStream,
    chunks: ChunkedDecoder,
    messages: WatchStreamDecoder,
    pending: Vec<u8>,
}

impl WatchStream {
    /// Opens a watch with `body` as the create request.
    pub fn open(standin: &Standin, body: &str) -> Option<WatchStream> {
        let (stream, pending) = send_request(standin, "/v3/watch", body)?;
        Some(WatchStream {
            stream,
            chunks: ChunkedDecoder::default(),
            messages: WatchStreamDecoder::default(),
            pending,
        })
    }

    /// Blocks until messages arrive; `None` if the stream ended or broke.
    pub fn next_messages(&mut self) -> Option<Vec<serde_json::Value>> {
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

/// Nanoseconds since `start`, the time that tests pass to the watcher.
pub fn elapsed_nanos(start: Instant) -> u64 {
    start.elapsed().as_nanos() as u64
}

/// Runs the membership watcher, with its member lists and its open watch, over blocking sockets.
pub struct WatcherDriver {
    /// Watcher state machine.
    pub watcher: Watcher,
    /// Members that the watcher updates.
    pub members: Members,
    /// Origin of the times passed to the watcher.
    pub start: Instant,
    /// Action that the watcher asked for last and that is still to be carried out.
    pub next_action: Action,
    watch: Option<WatchStream>,
}

impl WatcherDriver {
    /// A driver that watches the keys under `prefix`.
    pub fn new(prefix: &[u8]) -> WatcherDriver {
        let mut watcher = Watcher::new(prefix, 1);
        let next_action = watcher.start_range();
        WatcherDriver {
            watcher,
            members: Members::default(),
            start: Instant::now(),
            next_action,
            watch: None,
        }
    }

    /// Nanoseconds since the driver was created.
    pub fn now(&self) -> u64 {
        elapsed_nanos(self.start)
    }

    /// Carries out the watcher's actions until `done` returns true for the members.
    ///
    /// # Panics
    /// After ten seconds.
    pub fn drive_until(&mut self, standin: &Standin, done: impl Fn(&mut Members) -> bool) {
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(10) {
            if done(&mut self.members) {
                return;
            }
            let at = self.now();
            let (watcher, members) = (&mut self.watcher, &mut self.members);
            self.next_action = match std::mem::replace(&mut self.next_action, Action::Nothing) {
                Action::Range { body, .. } => match range(standin, &body) {
                    Some(reply) => watcher.handle_range_reply(at, reply, members),
                    None => watcher.handle_failure(at),
                },
                Action::Watch { body, .. } => match WatchStream::open(standin, &body) {
                    Some(opened) => {
                        self.watch = Some(opened);
                        Action::Nothing
                    }
                    None => watcher.handle_failure(at),
                },
                Action::Wait { until } => {
                    while elapsed_nanos(self.start) < until {
                        std::thread::yield_now();
                    }
                    watcher.handle_timer(elapsed_nanos(self.start), members)
                }
                Action::Nothing => match self.watch.as_mut().and_then(WatchStream::next_messages) {
                    Some(messages) => {
                        let mut next = Action::Nothing;
                        for message in messages {
                            let reply = etcd::parse_watch_message(&message)
                                .expect("the stand-in's watch message parses");
                            next = watcher.handle_watch_message(elapsed_nanos(self.start), reply, members);
                        }
                        next
                    }
                    None => watcher.handle_failure(at),
                },
            };
        }
        panic!("condition not met within ten seconds");
    }
}
