//! The membership watcher against the stand-in etcd on loopback: drains seen within the bound, a compaction that
//! forces a fresh read, and an outage that keeps the last list.

use etcd_standin::Standin;
use membership::etcd::{self, Chunks, Stream};
use membership::nodes::Members;
use membership::watcher::{Next, Watcher};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

fn node(address: &str, state: &str) -> Vec<u8> {
    format!(r#"{{"address":"{address}","zone":"a","state":"{state}"}}"#).into_bytes()
}

/// Sends one request and gives the connection with the head of the answer read; none if it is refused or cut.
fn request(standin: &Standin, path: &str, body: &str) -> Option<(TcpStream, Vec<u8>)> {
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
fn range(standin: &Standin, body: &str) -> Option<etcd::Reply> {
    let (mut stream, mut got) = request(standin, "/v3/kv/range", body)?;
    let mut buffer = [0u8; 65536];
    loop {
        if let Ok(reply) = etcd::range_reply(&got) {
            return Some(reply);
        }
        let read = stream.read(&mut buffer).ok().filter(|read| *read > 0)?;
        got.extend_from_slice(&buffer[..read]);
    }
}

struct Watch {
    stream: TcpStream,
    chunks: Chunks,
    messages: Stream,
    pending: Vec<u8>,
}

impl Watch {
    fn open(standin: &Standin, body: &str) -> Option<Watch> {
        let (stream, pending) = request(standin, "/v3/watch", body)?;
        Some(Watch { stream, chunks: Chunks::default(), messages: Stream::default(), pending })
    }

    /// The next messages, or none when the stream ended or broke.
    fn next(&mut self) -> Option<Vec<serde_json::Value>> {
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

fn now(start: Instant) -> u64 {
    start.elapsed().as_nanos() as u64
}

/// Drives the watcher until `done` holds of the members, or fails after ten seconds.
fn follow(
    standin: &Standin,
    watcher: &mut Watcher,
    members: &mut Members,
    start: Instant,
    done: impl Fn(&mut Members) -> bool,
) {
    let mut next = watcher.read();
    let mut watch: Option<Watch> = None;
    while start.elapsed() < Duration::from_secs(10) {
        if done(members) {
            return;
        }
        next = match next {
            Next::Range { body, .. } => match range(standin, &body) {
                Some(reply) => watcher.ranged(now(start), reply, members),
                None => watcher.broke(now(start)),
            },
            Next::Watch { body, .. } => match Watch::open(standin, &body) {
                Some(opened) => {
                    watch = Some(opened);
                    Next::Nothing
                }
                None => watcher.broke(now(start)),
            },
            Next::Wait { until } => {
                while now(start) < until {
                    std::thread::yield_now();
                }
                watcher.woke(now(start), members)
            }
            Next::Nothing => match watch.as_mut().and_then(Watch::next) {
                Some(messages) => {
                    let mut next = Next::Nothing;
                    for message in messages {
                        let reply = etcd::watch_message(&message).expect("the stand-in's messages read");
                        next = watcher.watched(now(start), reply, members);
                    }
                    next
                }
                None => watcher.broke(now(start)),
            },
        };
    }
    panic!("not done within ten seconds");
}

#[test]
fn drains_compaction_and_an_outage_against_the_standin() {
    let standin = Standin::start().unwrap();
    standin.set_progress(50);
    standin.with(|store| {
        for (key, port) in [("/nodes/a", 1), ("/nodes/b", 2), ("/nodes/c", 3)] {
            store.put(key.as_bytes(), &node(&format!("127.0.0.1:{port}"), "ready"), 0).unwrap();
        }
    });
    let (mut watcher, mut members, start) = (Watcher::new(b"/nodes/", 1), Members::default(), Instant::now());
    follow(&standin, &mut watcher, &mut members, start, |members| members.view().len() == 3);

    // A drain written in etcd is seen, well within the bound of 2 s.
    let drained_at = Instant::now();
    let feeder = std::thread::scope(|scope| {
        scope.spawn(|| {
            std::thread::sleep(Duration::from_millis(20));
            standin.with(|store| store.put(b"/nodes/b", &node("127.0.0.1:2", "draining"), 0).unwrap());
        });
        follow(&standin, &mut watcher, &mut members, start, |members| !members.view()[1].ready);
        drained_at.elapsed()
    });
    assert!(feeder < Duration::from_secs(2), "the drain took {feeder:?}");

    // Changes and a compaction past the revision the watch will ask for: the watch is cancelled, a fresh read
    // replaces the list, and nothing is replayed wrongly.
    let rereads = watcher.reread;
    standin.with(|store| {
        store.delete(b"/nodes/a", &[]);
        store.put(b"/nodes/d", &node("127.0.0.1:4", "ready"), 0).unwrap();
        let revision = store.revision;
        store.compact(revision).unwrap();
    });
    let body = etcd::watch_body(b"/nodes/", watcher.revision + 1);
    let mut stale = Watch::open(&standin, &body).unwrap();
    let cancelled = etcd::watch_message(&stale.next().unwrap()[0]).unwrap();
    assert!(matches!(cancelled, etcd::Reply::Cancelled { compacted: Some(_) }), "{cancelled:?}");
    let next = watcher.watched(now(start), cancelled, &mut members);
    assert!(matches!(next, Next::Range { .. }));
    follow(&standin, &mut watcher, &mut members, start, |members| {
        let view = members.view();
        view.iter().filter(|listed| listed.ready).count() == 2 && view.len() == 3
    });
    assert_eq!(watcher.reread, rereads + 1);

    // etcd unreachable: the stream ends, the list stays as it was; back up, followed again.
    standin.set_down(true);
    let before = members.view().len();
    let outage = Instant::now();
    let mut tries = 0;
    while outage.elapsed() < Duration::from_millis(600) {
        tries += 1;
        let next = watcher.read();
        let Next::Range { body, .. } = next else { unreachable!() };
        assert!(range(&standin, &body).is_none(), "down means no answer");
        watcher.broke(now(start));
    }
    assert!(tries > 0);
    assert_eq!(members.view().len(), before, "an outage keeps the last known list");
    standin.set_down(false);
    standin.with(|store| store.put(b"/nodes/e", &node("127.0.0.1:5", "ready"), 0).unwrap());
    follow(&standin, &mut watcher, &mut members, start, |members| members.view().len() == 4);
    let (messages, bytes) = standin.written();
    assert!(messages > 0 && bytes > 0);
}

#[test]
fn leases_take_their_keys_and_compaction_refuses_the_past() {
    let standin = Standin::start().unwrap();
    standin.with(|store| {
        let (lease, _) = store.grant(1, Instant::now() - Duration::from_secs(2));
        store.put(b"/nodes/x", &node("127.0.0.1:9", "ready"), lease).unwrap();
        assert!(store.put(b"/nodes/y", b"{}", 99).is_err(), "no such lease");
        store.expire(Instant::now());
        assert!(store.is_empty(), "the lease was over");
        assert!(store.compact(store.revision + 1).is_err());
    });
}
