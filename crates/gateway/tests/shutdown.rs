//! Graceful shutdown: the platform kills the process at a fixed time after SIGTERM, namely the longest deadline (at
//! most 3 s) plus 0.7 s. By then, every request that the process has read is answered once and the process has exited
//! by itself.

use standins::scripted::{
    Client, FullBacklog, Peer, Program, answer, entry, list, raw_reply, remaining_ms_header, rpc, settings,
    status, with_id,
};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

mod support;
use support::{BIN, discovery_peer, long_timeout_settings, start_gateway};

/// The time between SIGTERM and SIGKILL is this grace period plus the longest deadline of the settings, where a
/// deadline counts as at most [`MAX_DEADLINE`].
const KILL_GRACE: Duration = Duration::from_millis(700);
const MAX_DEADLINE: Duration = Duration::from_secs(3);

/// A gateway that has received SIGTERM.
struct StoppingGateway {
    gateway: Program,
    signaled_at: Instant,
    /// When the platform may send SIGKILL.
    killed_at: Instant,
}

impl StoppingGateway {
    /// Sends SIGTERM to a gateway whose settings have this longest deadline.
    fn send_sigterm(gateway: Program, longest: Duration) -> StoppingGateway {
        gateway.signal("-TERM");
        let signaled_at = Instant::now();
        gateway.wait_for_line("\"stopping\"");
        StoppingGateway {
            gateway,
            signaled_at,
            killed_at: signaled_at + longest.min(MAX_DEADLINE) + KILL_GRACE,
        }
    }

    /// Waits until this long after SIGTERM.
    fn wait_until(&self, after: Duration) {
        std::thread::sleep((self.signaled_at + after).saturating_duration_since(Instant::now()));
    }

    /// The client's whole answer, if it arrives before the process may be killed.
    fn answer(&self, client: &mut Client) -> Option<String> {
        client.answer_within(self.killed_at.saturating_duration_since(Instant::now()))
    }

    /// Whether the process exits by itself, with status 0, before it may be killed.
    fn exits_by_itself(&mut self) -> bool {
        while Instant::now() < self.killed_at {
            if let Some(status) = self.gateway.exit_status() {
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        false
    }
}

/// Settings from a production incident: deadlines of 6, 5 and 2.5 s, and one attempt per RPC, as when attempts have no
/// limit of their own because answers are slow.
fn long_deadlines() -> String {
    let settings = long_timeout_settings().replace("\"attemptsCap\":2", "\"attemptsCap\":1");
    let settings = settings.replacen("\"deadline\":3.0", "\"deadline\":6.0", 1);
    let settings = settings.replacen("\"deadline\":3.0", "\"deadline\":5.0", 1);
    settings.replacen("\"deadline\":3.0", "\"deadline\":2.5", 1)
}

/// A server that reads every RPC and never answers.
fn silent_server() -> Peer {
    Peer::new(|_, _| (Vec::new(), false))
}

#[test]
fn requests_read_late_in_a_shutdown_are_answered_before_the_process_is_killed() {
    let (server, discovery) = (silent_server(), discovery_peer());
    let gateway = start_gateway(&discovery, &[entry("s0", server.address, "ready")], &long_deadlines());
    let mut clients: Vec<Client> = (0..3).map(|_| gateway.client()).collect();
    gateway.wait_until_processed(); // the connections are accepted and have sent nothing yet
    let mut stopping = StoppingGateway::send_sigterm(gateway, Duration::from_secs(6));
    stopping.wait_until(Duration::from_millis(900));
    for (id, (client, method)) in clients.iter_mut().zip(["read", "submit", "verify"]).enumerate() {
        client.send(&with_id(&rpc(method, 5000), id as u64 + 1));
    }
    let answers: Vec<Option<String>> = clients.iter_mut().map(|client| stopping.answer(client)).collect();
    let statuses: Vec<Option<u16>> = answers.iter().map(|got| got.as_deref().map(status)).collect();
    assert!(statuses.iter().all(Option::is_some), "every request has an answer: {statuses:?}");
    assert!(matches!(statuses[2], Some(502 | 504)), "it may have run: {statuses:?}");
    drop(clients);
    assert!(stopping.exits_by_itself());
}

/// Settings with this deadline for all methods and one attempt per RPC.
fn deadlines_of(longest: Duration) -> String {
    let deadline = format!("\"deadline\":{}", longest.as_secs_f64());
    long_timeout_settings()
        .replace("\"attemptsCap\":2", "\"attemptsCap\":1")
        .replace("\"deadline\":3.0", &deadline)
}

/// The time between SIGTERM and SIGKILL if the longest deadline is this.
fn time_until_kill(longest: Duration) -> Duration {
    longest.min(MAX_DEADLINE) + KILL_GRACE
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Sends requests of every retry safety, for a server that never answers, at several times after SIGTERM and on idle,
/// new and silent connections; checks that all are answered.
fn check_every_request_is_answered(longest: Duration) {
    let (server, discovery) = (silent_server(), discovery_peer());
    let settings = deadlines_of(longest);
    let gateway = start_gateway(&discovery, &[entry("s0", server.address, "ready")], &settings);
    let mut silent: Vec<Client> = (0..6).map(|_| gateway.client()).collect();
    let mut idle: Vec<Client> = (0..3).map(|_| gateway.client()).collect();
    for client in &mut idle {
        assert_eq!(status(&client.ask("GET /-/healthy HTTP/1.1\r\n\r\n")), 200);
    }
    let mut stopping = StoppingGateway::send_sigterm(gateway, longest);
    let remaining = longest.as_millis() as u64;
    let mut sent: Vec<(Client, &str, u64)> = Vec::new();
    // At once on idle connections, which the gateway closes later.
    for (id, (mut client, method)) in idle.drain(..).zip(["read", "submit", "verify"]).enumerate() {
        let id = 100 + id as u64;
        client.send(&with_id(&rpc(method, remaining), id));
        sent.push((client, method, id));
    }
    // On new connections while the gateway still accepts them.
    for (id, method) in ["read", "submit", "verify"].into_iter().enumerate() {
        let mut client = stopping.gateway.client();
        let id = 200 + id as u64;
        client.send(&with_id(&rpc(method, remaining), id));
        sent.push((client, method, id));
    }
    // On the silent connections, shortly before the gateway stops reading: whole or in two pieces.
    stopping.wait_until((time_until_kill(longest) - ms(400)).min(ms(900)));
    let methods = ["read", "submit", "verify"].repeat(2);
    for (index, (mut client, method)) in silent.drain(..).zip(methods).enumerate() {
        let id = 300 + index as u64;
        let text = with_id(&rpc(method, remaining), id);
        let cut = if index < 3 { text.len() } else { 120 };
        client.send(&text[..cut]);
        client.send(&text[cut..]);
        sent.push((client, method, id));
    }
    let seen: Vec<String> = std::iter::from_fn(|| server.try_next()).map(|(_, message)| message).collect();
    for (client, method, id) in &mut sent {
        let got = stopping.answer(client).unwrap_or_else(|| panic!("{method} {id} has no answer"));
        let may_have_run = seen.iter().any(|message| message.contains(&format!("X-Txn: {id:016x}")));
        let rejected = matches!(status(&got), 429 | 503);
        assert!(matches!(status(&got), 502 | 504) || rejected, "{method} {id}: {got}");
        assert!(!(rejected && may_have_run && *method == "verify"), "{id} may have run: {got}");
    }
    drop(sent);
    let violations = wait_for_exit(&mut stopping);
    assert_eq!(violations, "", "violated invariants");
}

/// Waits until the process has exited by itself, and returns the invariants that it reports as violated.
fn wait_for_exit(stopping: &mut StoppingGateway) -> String {
    assert!(stopping.exits_by_itself(), "the process exits by itself before it is killed");
    let ended_line = stopping.gateway.wait_for_line("\"msg\":\"ended\"");
    assert!(ended_line.contains("\"unanswered\":0"), "{ended_line}");
    ended_line
        .split("\"violations\":\"")
        .nth(1)
        .and_then(|rest| rest.split('"').next())
        .unwrap_or("?")
        .to_string()
}

#[test]
fn requests_of_every_retry_safety_are_answered_with_deadlines_of_30_s() {
    check_every_request_is_answered(Duration::from_secs(30));
}

#[test]
fn requests_of_every_retry_safety_are_answered_with_deadlines_of_2_5_s() {
    check_every_request_is_answered(ms(2500));
}

#[test]
fn requests_of_every_retry_safety_are_answered_with_deadlines_of_0_2_s() {
    check_every_request_is_answered(ms(200));
}

#[test]
fn response_just_before_the_end_is_forwarded() {
    let (server, discovery) = (silent_server(), discovery_peer());
    let gateway = start_gateway(&discovery, &[entry("s0", server.address, "ready")], &long_deadlines());
    let mut client = gateway.client();
    gateway.wait_until_processed();
    let mut stopping = StoppingGateway::send_sigterm(gateway, Duration::from_secs(6));
    client.send(&rpc("verify", 5000));
    assert!(
        remaining_ms_header(&server.next().1) <= 3700,
        "a server is sent no more than the time that the process has left"
    );
    stopping.wait_until(ms(3300));
    server.write(0, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
    assert!(stopping.answer(&mut client).unwrap().ends_with("late"));
    drop(client);
    assert_eq!(wait_for_exit(&mut stopping), "");
}

#[test]
fn response_that_would_take_beyond_the_end_is_abandoned_before_it() {
    let (server, discovery) =
        (Peer::new(|_, _| raw_reply("HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n")), discovery_peer());
    let gateway = start_gateway(&discovery, &[entry("s0", server.address, "ready")], &deadlines_of(ms(2500)));
    let mut client = gateway.client();
    client.send(&rpc("verify", 20_000));
    server.next();
    let mut stopping = StoppingGateway::send_sigterm(gateway, ms(2500));
    while stopping.signaled_at.elapsed() < ms(2800) && server.try_write(0, "x") {
        std::thread::sleep(ms(20)); // the interval between the bytes
    }
    let got = stopping.answer(&mut client).expect("an answer before the end");
    assert!(matches!(status(&got), 502 | 504), "{got}");
    drop(client);
    assert_eq!(wait_for_exit(&mut stopping), "");
}

#[test]
fn client_that_reads_nothing_does_not_delay_the_end_of_a_stopping_process() {
    let body = "y".repeat(60 << 10);
    let server = Peer::new(move |_, _| answer(200, "", &body));
    let discovery = discovery_peer();
    let gateway = start_gateway(&discovery, &[entry("s0", server.address, "ready")], &deadlines_of(ms(200)));
    let mut client = gateway.client();
    client.send(&rpc("verify", 200));
    server.next();
    let mut stopping = StoppingGateway::send_sigterm(gateway, ms(200));
    assert_eq!(wait_for_exit(&mut stopping), "");
    assert!(
        client.answer().unwrap().ends_with(&"y".repeat(60 << 10)),
        "what was written is delivered after the process has exited"
    );
}

#[test]
fn pipelined_commands_to_a_stopping_process_are_all_answered() {
    let (server, discovery) = (silent_server(), discovery_peer());
    let gateway = start_gateway(&discovery, &[entry("s0", server.address, "ready")], &deadlines_of(ms(1000)));
    let mut client = gateway.client();
    gateway.wait_until_processed();
    let mut stopping = StoppingGateway::send_sigterm(gateway, ms(1000));
    let commands: String = (1..=3).map(|id| with_id(&rpc("verify", 1000), id)).collect();
    client.send(&commands);
    let got: Vec<u16> = (0..3).map_while(|_| stopping.answer(&mut client)).map(|got| status(&got)).collect();
    assert_eq!(got.len(), 3, "expected one answer each, got {got:?}");
    drop(client);
    assert_eq!(wait_for_exit(&mut stopping), "");
}

#[test]
fn incomplete_command_behind_another_is_rejected_as_the_process_stops() {
    let (server, discovery) = (silent_server(), discovery_peer());
    let gateway = start_gateway(&discovery, &[entry("s0", server.address, "ready")], &deadlines_of(ms(2000)));
    let mut client = gateway.client();
    gateway.wait_until_processed();
    let mut stopping = StoppingGateway::send_sigterm(gateway, ms(2000));
    client.send(&(with_id(&rpc("verify", 1500), 1) + &with_id(&rpc("submit", 1500), 2)[..100]));
    let first = stopping.answer(&mut client).expect("the answer to the whole command");
    assert!(matches!(status(&first), 502 | 504), "{first}");
    // The time to read further messages has passed, so the gateway does not wait for the rest of the second command.
    let since = Instant::now();
    assert_eq!(stopping.answer(&mut client).map(|got| status(&got)), Some(503));
    assert!(since.elapsed() < ms(500), "{:?}", since.elapsed());
    drop(client);
    assert_eq!(wait_for_exit(&mut stopping), "");
}

#[test]
fn connection_that_is_never_established_does_not_delay_the_end_of_a_stopping_process() {
    let (late, discovery) = (FullBacklog::default(), discovery_peer());
    let gateway = start_gateway(&discovery, &[entry("s0", late.address, "ready")], &deadlines_of(ms(1500)));
    let mut client = gateway.client();
    client.send(&rpc("verify", 20_000));
    gateway.wait_until_processed();
    let mut stopping = StoppingGateway::send_sigterm(gateway, ms(1500));
    assert_eq!(stopping.answer(&mut client).map(|got| status(&got)), Some(503), "it never ran");
    drop(client);
    assert_eq!(wait_for_exit(&mut stopping), "");
}

#[test]
fn unanswered_counter_call_does_not_delay_the_end_of_a_stopping_process() {
    let (server, counter) = (silent_server(), silent_server());
    let known = list(3, true, &[entry("s0", server.address, "ready")]);
    let more = format!("\"counter\":\"{}\",\"known\":{known},", counter.address);
    let settings = deadlines_of(ms(1500));
    let settings =
        settings.replacen('{', "{\"extra\":{\"hasCounter\":true,\"countWait\":60.0,\"largest\":8},", 1);
    let discovery = discovery_peer();
    let gateway = Program::start(BIN, discovery.address, &more, &settings);
    let mut client = gateway.client();
    client.send(&rpc("verify", 20_000).replace("spread=1", "spread=2"));
    counter.next();
    let mut stopping = StoppingGateway::send_sigterm(gateway, ms(1500));
    let got = stopping.answer(&mut client).map(|got| status(&got));
    // The gateway stops waiting for the silent counter during the shutdown, so the RPC may still be attempted.
    let expected = if server.try_next().is_some() { [502, 504] } else { [429, 503] };
    assert!(got.is_some_and(|got| expected.contains(&got)), "{got:?}, expected one of {expected:?}");
    drop(client);
    assert_eq!(wait_for_exit(&mut stopping), "");
}

#[test]
fn shorter_deadlines_read_while_stopping_bring_the_end_forward() {
    let (server, discovery) = (silent_server(), discovery_peer());
    let gateway = start_gateway(&discovery, &[entry("s0", server.address, "ready")], &long_deadlines());
    let mut client = gateway.client();
    client.send(&rpc("verify", 5000));
    server.next();
    gateway.rewrite_config(&gateway.config(discovery.address, "", &deadlines_of(ms(800))));
    let mut stopping = StoppingGateway::send_sigterm(gateway, ms(800));
    stopping.gateway.signal("-HUP");
    stopping.gateway.signal("-TERM");
    assert!(matches!(stopping.answer(&mut client).map(|got| status(&got)), Some(502 | 504)));
    drop(client);
    assert_eq!(wait_for_exit(&mut stopping), "");
}

#[test]
fn longer_deadlines_read_before_or_while_stopping_do_not_postpone_the_end() {
    let (server, discovery) = (silent_server(), discovery_peer());
    let gateway = start_gateway(&discovery, &[entry("s0", server.address, "ready")], &deadlines_of(ms(800)));
    gateway.rewrite_config(&gateway.config(discovery.address, "", &long_deadlines()));
    gateway.signal("-HUP");
    gateway.wait_for_line("\"configuration read\"");
    let mut client = gateway.client();
    client.send(&rpc("verify", 800));
    server.next();
    let mut stopping = StoppingGateway::send_sigterm(gateway, ms(800));
    stopping.gateway.signal("-HUP");
    assert!(matches!(stopping.answer(&mut client).map(|got| status(&got)), Some(502 | 504)));
    drop(client);
    assert_eq!(wait_for_exit(&mut stopping), "");
}

#[test]
fn shutdown_time_counts_from_the_signal_even_if_the_process_was_stopped_then() {
    let (server, discovery) = (silent_server(), discovery_peer());
    let gateway = start_gateway(&discovery, &[entry("s0", server.address, "ready")], &deadlines_of(ms(800)));
    let mut client = gateway.client();
    client.send(&rpc("verify", 800));
    server.next();
    gateway.pause();
    let signal_time = Instant::now();
    gateway.signal("-TERM");
    std::thread::sleep(ms(150)); // the length of a stop that the operators report
    gateway.signal("-CONT");
    gateway.wait_for_line("\"stopping\"");
    let mut stopping = StoppingGateway {
        gateway,
        signaled_at: signal_time,
        killed_at: signal_time + time_until_kill(ms(800)),
    };
    assert!(matches!(stopping.answer(&mut client).map(|got| status(&got)), Some(502 | 504)));
    drop(client);
    assert_eq!(wait_for_exit(&mut stopping), "");
}

#[test]
fn deadline_of_a_first_request_does_not_depend_on_the_age_of_its_connection() {
    let (server, discovery) = (silent_server(), discovery_peer());
    let gateway = start_gateway(&discovery, &[entry("s0", server.address, "ready")], &settings(""));
    let mut client = gateway.client();
    gateway.wait_until_processed();
    std::thread::sleep(ms(1000)); // the age of the connection
    client.send(&rpc("verify", 2900));
    let wait_ms = remaining_ms_header(&server.next().1);
    assert!((2700..=2900).contains(&wait_ms), "{wait_ms} ms sent to the server");
}

/// Descriptors of a gateway that a crowd fills, and the clients of that crowd.
const CROWDED_DESCRIPTORS: usize = 64;
const HALF_REQUESTS: usize = 80;
const ENDLESS_HEADS: usize = 12;

/// Sends the start of a request and stays until the gateway answers or closes; then the same again, until `end`.
fn send_half_requests(address: SocketAddr, end: Instant) {
    while Instant::now() < end {
        let Ok(mut stream) = TcpStream::connect(address) else {
            std::thread::sleep(ms(10)); // the listener is closed: the pace of further attempts
            continue;
        };
        let _ = stream.set_read_timeout(Some(ms(500)));
        let _ = stream.write_all(b"GET /api/0000000000000001 HTTP/1.1\r\nHost: service.int");
        while Instant::now() < end && stream.read(&mut [0; 512]).is_err_and(|e| is_time_out(&e)) {}
    }
}

/// Sends a head without an end at full speed until the gateway closes; then the same again, until `end`.
fn send_endless_heads(address: SocketAddr, end: Instant) {
    let noise = vec![b'a'; 1 << 20];
    while Instant::now() < end {
        let Ok(mut stream) = TcpStream::connect(address) else {
            std::thread::sleep(ms(10)); // as above
            continue;
        };
        let _ = stream.set_write_timeout(Some(ms(200)));
        let _ = stream.write_all(b"GET /api/0000000000000001 HTTP/1.1\r\nX-Pad: ");
        while Instant::now() < end && stream.write(&noise).map_or_else(|e| is_time_out(&e), |_| true) {}
    }
}

fn is_time_out(e: &std::io::Error) -> bool {
    matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

/// Starts a crowd of clients that never finish a request and come again as soon as they are turned away.
fn start_crowd(address: SocketAddr, end: Instant) -> Vec<std::thread::JoinHandle<()>> {
    let half = (0..HALF_REQUESTS).map(|_| std::thread::spawn(move || send_half_requests(address, end)));
    let endless = (0..ENDLESS_HEADS).map(|_| std::thread::spawn(move || send_endless_heads(address, end)));
    half.collect::<Vec<_>>().into_iter().chain(endless.collect::<Vec<_>>()).collect()
}

/// Guards against a stopping gateway that does nothing but turn a crowd away until it is killed.
#[test]
fn crowd_that_comes_again_as_soon_as_it_is_turned_away_does_not_hold_up_a_stopping_process() {
    let (server, discovery) = (silent_server(), discovery_peer());
    let known = list(3, true, &[entry("s0", server.address, "ready")]);
    let fields = format!("\"limits\":{{\"sockets\":{CROWDED_DESCRIPTORS}}},\"known\":{known},");
    let gateway = Program::start(BIN, discovery.address, &fields, &deadlines_of(ms(2500)));
    let mut client = gateway.client();
    client.send(&rpc("verify", 20_000));
    server.next();
    let end = Instant::now() + ms(6000); // longer than the process may live after SIGTERM
    let crowd = start_crowd(gateway.address, end);
    gateway.wait_for_line("\"msg\":\"client\""); // the first of the crowd was turned away
    let mut stopping = StoppingGateway::send_sigterm(gateway, ms(2500));
    stopping.wait_until(ms(800)); // later than the listener closes
    server.write(0, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
    let got = stopping.answer(&mut client);
    let exits = stopping.exits_by_itself();
    crowd.into_iter().for_each(|client| client.join().unwrap());
    assert!(got.is_some_and(|got| got.ends_with("late")), "the answer of the server is passed on");
    assert!(exits, "the process exits by itself before it is killed");
}
