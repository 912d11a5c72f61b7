//! Every wait within the process's own life: after SIGTERM the platform kills the process the longest deadline (3 s at
//! most) and 0.7 s later. Whatever it read has its one answer before that, and the process ends by itself.

use standins::scripted::{
    Client, FullBacklog, Peer, Program, answer, entry, list, raw_reply, remaining_ms_header, rpc, settings,
    status, with_id,
};
use std::time::{Duration, Instant};

mod support;
use support::{patient_settings, under, watch};

/// Of the time between SIGTERM and SIGKILL, what does not hang on the settings; and the longest deadline that counts.
const KILL_GRACE: Duration = Duration::from_millis(700);
const DEADLINE_MOST: Duration = Duration::from_secs(3);

/// A gateway that was sent SIGTERM.
struct Stopping {
    gateway: Program,
    since: Instant,
    /// When the platform may kill it.
    killed_at: Instant,
}

impl Stopping {
    /// Sends SIGTERM to a gateway whose settings tell this as the longest deadline.
    fn begin(gateway: Program, longest: Duration) -> Stopping {
        gateway.signal("-TERM");
        let since = Instant::now();
        gateway.wait_for_line("\"stopping\"");
        Stopping { gateway, since, killed_at: since + longest.min(DEADLINE_MOST) + KILL_GRACE }
    }

    /// Waits until so long after SIGTERM: the time itself is what these stories are about.
    fn wait_until(&self, after: Duration) {
        std::thread::sleep((self.since + after).saturating_duration_since(Instant::now()));
    }

    /// The client's whole answer, if it comes before the process may be killed.
    fn answer(&self, client: &mut Client) -> Option<String> {
        client.answer_within(self.killed_at.saturating_duration_since(Instant::now()))
    }

    /// Whether the process ended by itself, with 0, before it may be killed.
    fn ends_by_itself(&mut self) -> bool {
        while Instant::now() < self.killed_at {
            if let Some(how) = self.gateway.exit_status() {
                return how.success();
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        false
    }
}

/// The operators' settings in the incident: deadlines of 6, 5 and 2.5 s. One attempt an RPC, as when the limit of an
/// attempt is left out because answers are slow.
fn long_deadlines() -> String {
    let told = patient_settings().replace("\"attemptsCap\":2", "\"attemptsCap\":1");
    let told = told.replacen("\"deadline\":3.0", "\"deadline\":6.0", 1);
    let told = told.replacen("\"deadline\":3.0", "\"deadline\":5.0", 1);
    told.replacen("\"deadline\":3.0", "\"deadline\":2.5", 1)
}

/// A server that takes every RPC and says nothing.
fn hangs() -> Peer {
    Peer::new(|_, _| (Vec::new(), false))
}

#[test]
fn what_is_read_late_in_a_shutdown_has_its_answer_before_the_process_is_killed() {
    let (server, discovery) = (hangs(), watch());
    let gateway = under(&discovery, &[entry("s0", server.address, "ready")], &long_deadlines());
    let mut clients: Vec<Client> = (0..3).map(|_| gateway.client()).collect();
    gateway.wait_until_processed(); // they are taken, and have said nothing yet
    let mut stopping = Stopping::begin(gateway, Duration::from_secs(6));
    stopping.wait_until(Duration::from_millis(900));
    for (id, (client, method)) in clients.iter_mut().zip(["read", "submit", "verify"]).enumerate() {
        client.send(&with_id(&rpc(method, 5000), id as u64 + 1));
    }
    let answers: Vec<Option<String>> = clients.iter_mut().map(|client| stopping.answer(client)).collect();
    let statuses: Vec<Option<u16>> = answers.iter().map(|got| got.as_deref().map(status)).collect();
    assert!(statuses.iter().all(Option::is_some), "an answer each: {statuses:?}");
    assert!(matches!(statuses[2], Some(502 | 504)), "it may have run: {statuses:?}");
    drop(clients);
    assert!(stopping.ends_by_itself());
}

/// Settings whose longest deadline is this.
fn deadlines_of(longest: Duration) -> String {
    let told = format!("\"deadline\":{}", longest.as_secs_f64());
    patient_settings().replace("\"attemptsCap\":2", "\"attemptsCap\":1").replace("\"deadline\":3.0", &told)
}

/// The time between SIGTERM and SIGKILL where deadlines are this long.
fn until_kill(longest: Duration) -> Duration {
    longest.min(DEADLINE_MOST) + KILL_GRACE
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Requests of every effect, sent to a hanging server at several times after SIGTERM, on connections of every kind.
fn every_request_is_answered(longest: Duration) {
    let (server, discovery) = (hangs(), watch());
    let told = deadlines_of(longest);
    let gateway = under(&discovery, &[entry("s0", server.address, "ready")], &told);
    let mut silent: Vec<Client> = (0..6).map(|_| gateway.client()).collect();
    let mut resting: Vec<Client> = (0..3).map(|_| gateway.client()).collect();
    for client in &mut resting {
        assert_eq!(status(&client.ask("GET /-/healthy HTTP/1.1\r\n\r\n")), 200);
    }
    let mut stopping = Stopping::begin(gateway, longest);
    let remaining = longest.as_millis() as u64;
    let mut sent: Vec<(Client, &str, u64)> = Vec::new();
    // At once on resting ones, which close later on.
    for (id, (mut client, method)) in resting.drain(..).zip(["read", "submit", "verify"]).enumerate() {
        let id = 100 + id as u64;
        client.send(&with_id(&rpc(method, remaining), id));
        sent.push((client, method, id));
    }
    // New ones while they are taken.
    for (id, method) in ["read", "submit", "verify"].into_iter().enumerate() {
        let mut client = stopping.gateway.client();
        let id = 200 + id as u64;
        client.send(&with_id(&rpc(method, remaining), id));
        sent.push((client, method, id));
    }
    // The others say something just before the last call, whole or in two pieces.
    stopping.wait_until((until_kill(longest) - ms(400)).min(ms(900)));
    let methods = ["read", "submit", "verify"].repeat(2);
    for (place, (mut client, method)) in silent.drain(..).zip(methods).enumerate() {
        let id = 300 + place as u64;
        let text = with_id(&rpc(method, remaining), id);
        let cut = if place < 3 { text.len() } else { 120 };
        client.send(&text[..cut]);
        client.send(&text[cut..]);
        sent.push((client, method, id));
    }
    let seen: Vec<String> = std::iter::from_fn(|| server.try_next()).map(|(_, message)| message).collect();
    for (client, method, id) in &mut sent {
        let got = stopping.answer(client).unwrap_or_else(|| panic!("{method} {id} has no answer"));
        let may_have_run = seen.iter().any(|message| message.contains(&format!("X-Txn: {id:016x}")));
        let refused = matches!(status(&got), 429 | 503);
        assert!(matches!(status(&got), 502 | 504) || refused, "{method} {id}: {got}");
        assert!(!(refused && may_have_run && *method == "verify"), "{id} may have run: {got}");
    }
    drop(sent);
    let broken = ended_well(&mut stopping);
    assert_eq!(broken, "", "invariants");
}

/// Waits for the process's end by itself, and returns the invariants that it found broken.
fn ended_well(stopping: &mut Stopping) -> String {
    assert!(stopping.ends_by_itself(), "it ends by itself before it is killed");
    let end = stopping.gateway.wait_for_line("\"msg\":\"ended\"");
    assert!(end.contains("\"unanswered\":0"), "{end}");
    end.split("\"violations\":\"").nth(1).and_then(|rest| rest.split('"').next()).unwrap_or("?").to_string()
}

#[test]
fn requests_of_every_effect_are_answered_where_deadlines_are_30_s() {
    every_request_is_answered(Duration::from_secs(30));
}

#[test]
fn requests_of_every_effect_are_answered_where_deadlines_are_2_5_s() {
    every_request_is_answered(ms(2500));
}

#[test]
fn requests_of_every_effect_are_answered_where_deadlines_are_0_2_s() {
    every_request_is_answered(ms(200));
}

#[test]
fn an_answer_that_comes_a_moment_before_the_end_is_passed_on() {
    let (server, discovery) = (hangs(), watch());
    let gateway = under(&discovery, &[entry("s0", server.address, "ready")], &long_deadlines());
    let mut client = gateway.client();
    gateway.wait_until_processed();
    let mut stopping = Stopping::begin(gateway, Duration::from_secs(6));
    client.send(&rpc("verify", 5000));
    assert!(
        remaining_ms_header(&server.next().1) <= 3700,
        "a server is told no more than the process's own time"
    );
    stopping.wait_until(ms(3300));
    server.write(0, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
    assert!(stopping.answer(&mut client).unwrap().ends_with("late"));
    drop(client);
    assert_eq!(ended_well(&mut stopping), "");
}

#[test]
fn an_answer_that_trickles_beyond_the_end_is_given_up_before_it() {
    let (server, discovery) =
        (Peer::new(|_, _| raw_reply("HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n")), watch());
    let gateway = under(&discovery, &[entry("s0", server.address, "ready")], &deadlines_of(ms(2500)));
    let mut client = gateway.client();
    client.send(&rpc("verify", 20_000));
    server.next();
    let mut stopping = Stopping::begin(gateway, ms(2500));
    while stopping.since.elapsed() < ms(2800) && server.try_write(0, "x") {
        std::thread::sleep(ms(20)); // the pace of the trickle
    }
    let got = stopping.answer(&mut client).expect("an answer before the end");
    assert!(matches!(status(&got), 502 | 504), "{got}");
    drop(client);
    assert_eq!(ended_well(&mut stopping), "");
}

#[test]
fn a_client_that_reads_nothing_does_not_keep_a_stopping_process() {
    let body = "y".repeat(60 << 10);
    let server = Peer::new(move |_, _| answer(200, "", &body));
    let discovery = watch();
    let gateway = under(&discovery, &[entry("s0", server.address, "ready")], &deadlines_of(ms(200)));
    let mut client = gateway.client();
    client.send(&rpc("verify", 200));
    server.next();
    let mut stopping = Stopping::begin(gateway, ms(200));
    assert_eq!(ended_well(&mut stopping), "");
    assert!(
        client.answer().unwrap().ends_with(&"y".repeat(60 << 10)),
        "what was written outlives the process"
    );
}

#[test]
fn commands_sent_at_once_to_a_stopping_process_have_an_answer_each() {
    let (server, discovery) = (hangs(), watch());
    let gateway = under(&discovery, &[entry("s0", server.address, "ready")], &deadlines_of(ms(1000)));
    let mut client = gateway.client();
    gateway.wait_until_processed();
    let mut stopping = Stopping::begin(gateway, ms(1000));
    let commands: String = (1..=3).map(|id| with_id(&rpc("verify", 1000), id)).collect();
    client.send(&commands);
    let got: Vec<u16> = (0..3).map_while(|_| stopping.answer(&mut client)).map(|got| status(&got)).collect();
    assert_eq!(got.len(), 3, "one each, not {got:?}");
    drop(client);
    assert_eq!(ended_well(&mut stopping), "");
}

#[test]
fn half_a_command_behind_another_is_refused_as_the_process_stops() {
    let (server, discovery) = (hangs(), watch());
    let gateway = under(&discovery, &[entry("s0", server.address, "ready")], &deadlines_of(ms(2000)));
    let mut client = gateway.client();
    gateway.wait_until_processed();
    let mut stopping = Stopping::begin(gateway, ms(2000));
    client.send(&(with_id(&rpc("verify", 1500), 1) + &with_id(&rpc("submit", 1500), 2)[..100]));
    let first = stopping.answer(&mut client).expect("the whole one's");
    assert!(matches!(status(&first), 502 | 504), "{first}");
    // The last call has passed, so the half is not waited for.
    let since = Instant::now();
    assert_eq!(stopping.answer(&mut client).map(|got| status(&got)), Some(503));
    assert!(since.elapsed() < ms(500), "{:?}", since.elapsed());
    drop(client);
    assert_eq!(ended_well(&mut stopping), "");
}

#[test]
fn a_connection_that_never_comes_up_does_not_outlast_a_stopping_process() {
    let (late, discovery) = (FullBacklog::default(), watch());
    let gateway = under(&discovery, &[entry("s0", late.address, "ready")], &deadlines_of(ms(1500)));
    let mut client = gateway.client();
    client.send(&rpc("verify", 20_000));
    gateway.wait_until_processed();
    let mut stopping = Stopping::begin(gateway, ms(1500));
    assert_eq!(stopping.answer(&mut client).map(|got| status(&got)), Some(503), "it never ran");
    drop(client);
    assert_eq!(ended_well(&mut stopping), "");
}

#[test]
fn a_claim_that_the_counter_never_answers_does_not_outlast_a_stopping_process() {
    let (server, counter) = (hangs(), hangs());
    let known = list(3, true, &[entry("s0", server.address, "ready")]);
    let more = format!("\"counter\":\"{}\",\"known\":{known},", counter.address);
    let told = deadlines_of(ms(1500));
    let told = told.replacen('{', "{\"extra\":{\"hasCounter\":true,\"countWait\":60.0,\"largest\":8},", 1);
    let discovery = watch();
    let gateway = Program::start(support::BIN, discovery.address, &more, &told);
    let mut client = gateway.client();
    client.send(&rpc("verify", 20_000).replace("spread=1", "spread=2"));
    counter.next();
    let mut stopping = Stopping::begin(gateway, ms(1500));
    let got = stopping.answer(&mut client).map(|got| status(&got));
    // The silent counter is given up within the shutdown, so that the RPC may still be tried.
    let expected = if server.try_next().is_some() { [502, 504] } else { [429, 503] };
    assert!(got.is_some_and(|got| expected.contains(&got)), "{got:?}, expected one of {expected:?}");
    drop(client);
    assert_eq!(ended_well(&mut stopping), "");
}

#[test]
fn a_configuration_with_shorter_deadlines_read_while_stopping_brings_the_end_forward() {
    let (server, discovery) = (hangs(), watch());
    let gateway = under(&discovery, &[entry("s0", server.address, "ready")], &long_deadlines());
    let mut client = gateway.client();
    client.send(&rpc("verify", 5000));
    server.next();
    gateway.rewrite_config(&gateway.config(discovery.address, "", &deadlines_of(ms(800))));
    let mut stopping = Stopping::begin(gateway, ms(800));
    stopping.gateway.signal("-HUP");
    stopping.gateway.signal("-TERM");
    assert!(matches!(stopping.answer(&mut client).map(|got| status(&got)), Some(502 | 504)));
    drop(client);
    assert_eq!(ended_well(&mut stopping), "");
}

#[test]
fn a_configuration_with_longer_deadlines_read_before_or_while_stopping_does_not_put_the_end_off() {
    let (server, discovery) = (hangs(), watch());
    let gateway = under(&discovery, &[entry("s0", server.address, "ready")], &deadlines_of(ms(800)));
    gateway.rewrite_config(&gateway.config(discovery.address, "", &long_deadlines()));
    gateway.signal("-HUP");
    gateway.wait_for_line("\"configuration read\"");
    let mut client = gateway.client();
    client.send(&rpc("verify", 800));
    server.next();
    let mut stopping = Stopping::begin(gateway, ms(800));
    stopping.gateway.signal("-HUP");
    assert!(matches!(stopping.answer(&mut client).map(|got| status(&got)), Some(502 | 504)));
    drop(client);
    assert_eq!(ended_well(&mut stopping), "");
}

#[test]
fn a_process_that_stands_still_as_the_signal_comes_counts_from_the_signal() {
    let (server, discovery) = (hangs(), watch());
    let gateway = under(&discovery, &[entry("s0", server.address, "ready")], &deadlines_of(ms(800)));
    let mut client = gateway.client();
    client.send(&rpc("verify", 800));
    server.next();
    gateway.pause();
    let began = Instant::now();
    gateway.signal("-TERM");
    std::thread::sleep(ms(150)); // the hold-up that the operators name
    gateway.signal("-CONT");
    gateway.wait_for_line("\"stopping\"");
    let mut stopping = Stopping { gateway, since: began, killed_at: began + until_kill(ms(800)) };
    assert!(matches!(stopping.answer(&mut client).map(|got| status(&got)), Some(502 | 504)));
    drop(client);
    assert_eq!(ended_well(&mut stopping), "");
}

#[test]
fn a_first_request_has_its_time_from_when_it_is_read_however_old_its_connection_is() {
    let (server, discovery) = (hangs(), watch());
    let gateway = under(&discovery, &[entry("s0", server.address, "ready")], &settings(""));
    let mut client = gateway.client();
    gateway.wait_until_processed();
    std::thread::sleep(ms(1000)); // the connection's age
    client.send(&rpc("verify", 2900));
    let told = remaining_ms_header(&server.next().1);
    assert!((2700..=2900).contains(&told), "{told} ms told");
}
