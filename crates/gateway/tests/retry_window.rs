//! Repeats of deduplicated RPCs whose servers take long to read them: no server gets one whole after the window in which it
//! would recognize it.

use standins::scripted::{answer, entry, rpc, status, with_id};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

mod support;
use support::{discovery_peer, long_timeout_settings, start_gateway};

/// The servers' network has small packets and they have small receive buffers, so that the gateway's system takes only a
/// part of a long request at once.
const PACKET_BYTES: libc::c_int = 536;
const RECEIVE_BUFFER_BYTES: libc::c_int = 8192;
/// Bodies of which the gateway's system takes a part, and the whole.
const LONG_BODY: usize = 60_000;
const SHORT_BODY: usize = 20_000;
/// The window of `support::long_timeout_settings`, and the slack of the operators' time limits.
const WINDOW: Duration = Duration::from_millis(1000);
const SLACK: Duration = Duration::from_millis(50);
/// How long a server pauses before it reads on: for longer than the window after the first attempt, and after a repeat that
/// began when the first attempt was given up.
const PAUSE: Duration = Duration::from_millis(1500);
const LONG_PAUSE: Duration = Duration::from_millis(2500);

/// What a server has of an attempt once nothing more comes.
struct Arrival {
    attempt: usize,
    body_bytes: usize,
    whole_at: Option<Instant>,
}

/// Two servers that count their attempts in common.
struct NarrowServers {
    addresses: Vec<SocketAddr>,
    arrivals: Receiver<Arrival>,
}

fn set_option(socket: &TcpListener, level: libc::c_int, name: libc::c_int, value: libc::c_int) {
    // SAFETY: the descriptor is open, and the pointer leads to a value of the given length.
    let result = unsafe {
        let length = size_of::<libc::c_int>() as libc::socklen_t;
        libc::setsockopt(socket.as_raw_fd(), level, name, (&raw const value).cast(), length)
    };
    assert_eq!(result, 0, "{}", std::io::Error::last_os_error());
}

impl NarrowServers {
    /// Servers that read their n-th attempt as `plan[n]` says, and all further ones after [`PAUSE`].
    fn start(body_len: usize, plan: &'static [Reading]) -> NarrowServers {
        let (sender, arrivals) = channel();
        let attempts: Arc<AtomicUsize> = Arc::default();
        let addresses = (0..2).map(|_| {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            set_option(&listener, libc::SOL_SOCKET, libc::SO_RCVBUF, RECEIVE_BUFFER_BYTES);
            set_option(&listener, libc::IPPROTO_TCP, libc::TCP_MAXSEG, PACKET_BYTES);
            let address = listener.local_addr().unwrap();
            let (sender, attempts) = (sender.clone(), attempts.clone());
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (sender, attempts) = (sender.clone(), attempts.clone());
                    std::thread::spawn(move || serve(stream, body_len, plan, &attempts, &sender));
                }
            });
            address
        });
        NarrowServers { addresses: addresses.collect(), arrivals }
    }

    fn entries(&self) -> Vec<String> {
        let entry = |(number, address): (usize, &SocketAddr)| entry(&format!("s{number}"), *address, "ready");
        self.addresses.iter().enumerate().map(entry).collect()
    }

    /// The end of the next attempt.
    fn next(&self) -> Arrival {
        self.arrivals.recv_timeout(standins::scripted::WAIT_TIMEOUT).expect("an attempt")
    }
}

/// How a server reads an attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reading {
    /// Whole, and it resets the connection then.
    AndReset,
    /// After a pause, and it answers if the attempt is whole.
    After(Duration),
}

fn serve(
    mut stream: TcpStream,
    body_len: usize,
    plan: &[Reading],
    attempts: &AtomicUsize,
    sender: &Sender<Arrival>,
) {
    // An RPC without a body is answered at once and doesn't count.
    loop {
        let Some(head) = read_head(&mut stream) else { return };
        if !head.starts_with(b"GET ") {
            break;
        }
        let _ = stream.write_all(&answer(200, "", "ok").0);
    }
    let attempt = attempts.fetch_add(1, Ordering::SeqCst);
    let reading = plan.get(attempt).copied().unwrap_or(Reading::After(PAUSE));
    if let Reading::After(pause) = reading {
        std::thread::sleep(pause); // a server that takes seconds to read
    }
    let body_bytes = read_body(&mut stream, body_len);
    let whole_at = (body_bytes == body_len).then(Instant::now);
    if reading == Reading::AndReset {
        rustix::net::connect_unspec(&stream).unwrap();
    } else if whole_at.is_some() {
        let _ = stream.write_all(&answer(200, "", "late").0);
    }
    let _ = sender.send(Arrival { attempt, body_bytes, whole_at });
}

/// Reads a head; nothing if the connection ends before.
fn read_head(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    Some(head)
}

/// Reads until the body is whole or nothing more comes; returns how much came.
fn read_body(stream: &mut TcpStream, body_len: usize) -> usize {
    let (mut total, mut buffer) = (0, [0; 4096]);
    while total < body_len {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => total += length,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => break,
        }
    }
    total
}

fn long_rpc(body_len: usize) -> String {
    let text = with_id(&rpc("submit", 5000), 1);
    text.replace("Content-Length: 4\r\n\r\nbody", &format!("Content-Length: {body_len}\r\n\r\n"))
        + &"x".repeat(body_len)
}

/// An attempt runs and is reset, and the repeat's server reads on after the window: it must not have the repeat whole.
fn check_repeat_read_late(body_len: usize) {
    let servers = NarrowServers::start(body_len, &[Reading::AndReset]);
    let discovery = discovery_peer();
    let gateway = start_gateway(&discovery, &servers.entries(), &long_timeout_settings());
    let mut client = gateway.client();
    client.send(&long_rpc(body_len));
    let first = servers.next();
    let ran_at = first.whole_at.expect("the first attempt is whole");
    let repeat = servers.next();
    assert_eq!((first.attempt, repeat.attempt), (0, 1));
    let got = client.answer().expect("an answer");
    let whole_after = repeat.whole_at.map(|at| at - ran_at);
    assert!(
        whole_after.is_none_or(|after| after <= WINDOW + SLACK),
        "{} bytes of the repeat arrived, the last {whole_after:?} after the first attempt ran: {got}",
        repeat.body_bytes
    );
    // 503 is allowed as well: all servers recognize a repeat, and the window is still open as the repeat is ended.
    assert!(matches!(status(&got), 502..=504), "no server's answer is left to pass on: {got}");
}

/// Guards against a second run by a repeat that began within the window and of which bytes waited in the gateway until
/// after it.
#[test]
fn bytes_of_a_repeat_that_wait_in_the_gateway_are_not_written_after_the_window() {
    check_repeat_read_late(LONG_BODY);
}

/// Guards against the same by bytes that wait in the gateway's system.
#[test]
fn bytes_of_a_repeat_that_wait_in_the_system_are_dropped_after_the_window() {
    check_repeat_read_late(SHORT_BODY);
}

/// Guards against a first attempt that is given up, and whose bytes the system goes on delivering: it runs again, long after
/// the repeat.
#[test]
fn bytes_of_an_attempt_that_was_given_up_are_dropped() {
    let plan = &[Reading::After(LONG_PAUSE), Reading::After(Duration::ZERO)];
    let servers = NarrowServers::start(SHORT_BODY, plan);
    let discovery = discovery_peer();
    let settings = standins::scripted::settings("\"membershipMode\":\"push\",")
        .replace("\"window\":5.0", "\"window\":1.0");
    let gateway = start_gateway(&discovery, &servers.entries(), &settings);
    let mut client = gateway.client();
    // Answers are quick, so that there is time for a repeat when the first attempt is given up.
    for id in 100..110 {
        assert_eq!(status(&client.ask(&with_id(&rpc("read", 3000), id))), 200);
    }
    client.send(&long_rpc(SHORT_BODY));
    let repeat = servers.next();
    let ran_at = repeat.whole_at.expect("the repeat is whole");
    let first = servers.next();
    assert_eq!((repeat.attempt, first.attempt), (1, 0));
    let whole_after = first.whole_at.map(|at| at - ran_at);
    assert!(
        whole_after.is_none_or(|after| after <= WINDOW + SLACK),
        "{} bytes of the first attempt arrived, the last {whole_after:?} after the repeat ran",
        first.body_bytes
    );
    assert_eq!(status(&client.answer().expect("an answer")), 200);
}
