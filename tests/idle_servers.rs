//! A ready server does not stay without RPCs because of one old measurement.
//!
//! One gateway in virtual time, with clients in a closed loop: each sends its next RPC when it has the answer to the last.
//! One server is disturbed once and is as fast as the others from then on.

mod harness;

use harness::{MS, SEC, START, Scenario, ready_server, scenario_with_seed};
use martenramp::host::{AttemptResult, CallOutcome, DiscoveredServer, Nanos};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The longest time that a ready server may be without an RPC after its last slow answer or failure.
const MAX_SILENCE: Nanos = 2 * SEC;
/// The share of an even part of the RPCs that it gets at least, over [`SHARE_WINDOW`] from then on.
const MIN_SHARE: f64 = 0.5;
const SHARE_WINDOW: Nanos = 10 * SEC;
/// When the disturbance begins, after the start.
const DISTURBED_AFTER: Nanos = 2 * SEC;
/// The server that is disturbed.
const DISTURBED: u32 = 1;
/// A client sends its next RPC this long after its last one ended.
const THINK_TIME: Nanos = 100_000;
const SEEDS: std::ops::Range<u64> = 0..10;
const CLIENT_COUNTS: [u32; 4] = [1, 2, 4, 8];
/// Those at whom servers that answer in less than a millisecond are idle at times.
const FEW_CLIENTS: [u32; 2] = [1, 2];

/// What happens to the disturbed server.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    /// One answer takes this long.
    SlowAnswer(Nanos),
    /// What it holds or gets within this time is answered at the end of it.
    Stall(Nanos),
    /// One RPC fails.
    Failure,
    /// Nothing: it is as fast as the others all the time.
    Nothing,
    /// Every answer takes ten times as long, for good.
    AlwaysSlow,
}

/// An attempt that has not ended.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct OpenAttempt {
    ends_at: Nanos,
    rpc: u32,
    attempt: u16,
    server: u32,
    sent_at: Nanos,
    outcome_code: u8,
}

const OUTCOMES: [CallOutcome; 3] = [CallOutcome::Ok, CallOutcome::Error, CallOutcome::TimedOut];

/// A gateway, its servers and its clients.
struct ClosedLoop {
    scenario: Scenario,
    latency: Nanos,
    disturbance: Disturbance,
    /// When the first attempt to the disturbed server after [`DISTURBED_AFTER`] was sent: the disturbance begins with it.
    disturbed_at: Option<Nanos>,
    /// When the last disturbed attempt ended, once the disturbance is over.
    recovered_at: Option<Nanos>,
    open: BinaryHeap<Reverse<OpenAttempt>>,
    /// When the clients that wait to send do so.
    next_sends: BinaryHeap<Reverse<Nanos>>,
    sent_seen: usize,
    finished_seen: usize,
    /// RPCs that reached a server: when, and which.
    received: Vec<(Nanos, u32)>,
    rng: fastrand::Rng,
}

impl ClosedLoop {
    fn start(seed: u64, servers: u32, clients: u32, latency: Nanos, disturbance: Disturbance) -> ClosedLoop {
        let list: Vec<DiscoveredServer> = (1..=servers).map(|id| ready_server(id, 0)).collect();
        ClosedLoop::with_list(seed, &list, clients, latency, disturbance)
    }

    fn with_list(
        seed: u64,
        list: &[DiscoveredServer],
        clients: u32,
        latency: Nanos,
        disturbance: Disturbance,
    ) -> ClosedLoop {
        let extra = "classes.count=1 classes.0.onTime=1 tariffs.0.perSecond=1000000 tariffs.0.depth=1000000 balancers=1";
        let mut scenario = scenario_with_seed(seed, extra);
        scenario.gateway_count = 1;
        scenario.deliver_list(true, list);
        ClosedLoop {
            scenario,
            latency,
            disturbance,
            disturbed_at: None,
            recovered_at: None,
            open: BinaryHeap::new(),
            next_sends: (0..clients).map(|client| Reverse(START + u64::from(client) * MS)).collect(),
            sent_seen: 0,
            finished_seen: 0,
            received: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Runs until the given time.
    fn run_until(&mut self, until: Nanos) {
        loop {
            let timer_at = self.scenario.host.next_timer_at().unwrap_or(Nanos::MAX);
            let send_at = self.next_sends.peek().map_or(Nanos::MAX, |send| send.0);
            let end_at = self.open.peek().map_or(Nanos::MAX, |open| open.0.ends_at);
            let now = timer_at.min(send_at).min(end_at);
            if now >= until {
                return;
            }
            if now == timer_at {
                self.scenario.advance(now - self.scenario.host.now);
            } else if now == send_at {
                self.next_sends.pop();
                self.scenario.host.now = now;
                self.scenario.submit_for(9, 0, 0.1, 2 * SEC);
            } else if let Some(Reverse(open)) = self.open.pop() {
                self.end(open);
            }
            self.start_attempts();
            let finished = self.scenario.host.rejected.len() + self.scenario.host.aborted.len();
            (self.finished_seen..finished).for_each(|_| self.next_sends.push(Reverse(now + THINK_TIME)));
            self.finished_seen = finished;
        }
    }

    fn end(&mut self, open: OpenAttempt) {
        let (now, outcome) = (open.ends_at, OUTCOMES[usize::from(open.outcome_code)]);
        self.scenario.host.now = now;
        let result = AttemptResult {
            rpc: open.rpc,
            server: open.server,
            attempt: open.attempt,
            outcome,
            duration: now - open.sent_at,
            rpc_answered: outcome == CallOutcome::Ok,
            settled_units: 0.0,
            load_report: Vec::new(),
        };
        self.scenario.controller.on_attempt_end(&mut self.scenario.host, now, &result);
        if outcome == CallOutcome::Ok {
            self.next_sends.push(Reverse(now + THINK_TIME));
        }
    }

    /// Determines how each new attempt will end.
    fn start_attempts(&mut self) {
        for index in self.sent_seen..self.scenario.host.sent.len() {
            let (rpc, server, timeout, sent_at) = self.scenario.host.sent[index];
            let attempt = self.scenario.host.sent[..index].iter().rev().take(64).filter(|sent| sent.0 == rpc);
            let attempt = attempt.count() as u16;
            self.received.push((sent_at, server));
            let (answered_at, failed) = self.answer(server, sent_at);
            let times_out = timeout > 0 && answered_at > sent_at + timeout;
            let ends_at = if times_out { sent_at + timeout } else { answered_at };
            let outcome_code = if times_out { 2 } else { u8::from(failed) };
            self.open.push(Reverse(OpenAttempt { ends_at, rpc, attempt, server, sent_at, outcome_code }));
        }
        self.sent_seen = self.scenario.host.sent.len();
    }

    /// When a server answers an attempt, and whether with an error.
    fn answer(&mut self, server: u32, sent_at: Nanos) -> (Nanos, bool) {
        let latency = self.latency * self.rng.u64(95..=105) / 100;
        if server != DISTURBED || sent_at < START + DISTURBED_AFTER {
            return (sent_at + latency, false);
        }
        let disturbed_at = *self.disturbed_at.get_or_insert(sent_at);
        let stalled_until = |stall| disturbed_at + stall;
        let (answered_at, failed) = match self.disturbance {
            Disturbance::SlowAnswer(slow) if self.recovered_at.is_none() => (sent_at + slow, false),
            Disturbance::Failure if self.recovered_at.is_none() => (sent_at + latency, true),
            Disturbance::Stall(stall) if sent_at < stalled_until(stall) => {
                (stalled_until(stall) + latency, false)
            }
            Disturbance::AlwaysSlow => return (sent_at + 10 * latency, false),
            Disturbance::Nothing if self.recovered_at.is_none() => (sent_at + latency, false),
            _ => return (sent_at + latency, false),
        };
        self.recovered_at = Some(answered_at.max(self.recovered_at.unwrap_or(0)));
        (answered_at, failed)
    }

    /// Runs until the disturbed server has got the RPC with which the disturbance begins.
    fn run_until_disturbed(&mut self) {
        let mut until = START + DISTURBED_AFTER;
        while self.disturbed_at.is_none() {
            until += 100 * MS;
            assert!(until < START + 60 * SEC, "the server got no RPC for a minute");
            self.run_until(until);
        }
        // Further attempts of a stall are sent until it is over.
        self.run_until(until + 2 * SEC);
    }

    /// The longest time that the disturbed server was without an RPC in the window after the disturbance, and its share of an
    /// even part over that window.
    fn silence_and_share(&mut self, servers: u32) -> (Nanos, f64) {
        self.run_until_disturbed();
        let recovered_at = self.recovered_at.unwrap();
        self.run_until(recovered_at + SHARE_WINDOW);
        let after = self.received.iter().filter(|row| row.0 >= recovered_at);
        let even = after.clone().count() as f64 / f64::from(servers);
        let own: Vec<Nanos> = after.filter(|row| row.1 == DISTURBED).map(|row| row.0).collect();
        let share = own.len() as f64 / even;
        let times: Vec<Nanos> =
            [recovered_at].into_iter().chain(own).chain([recovered_at + SHARE_WINDOW]).collect();
        let silence = times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(SHARE_WINDOW);
        (silence, share)
    }
}

/// Asserts for 4 and 12 servers, each number of clients and each seed that the disturbed server is used again in time.
fn assert_used_again(disturbance: Disturbance, latency: Nanos, client_counts: &[u32]) {
    let mut failures = Vec::new();
    for (servers, clients) in
        [4, 12].into_iter().flat_map(|servers| client_counts.iter().map(move |count| (servers, *count)))
    {
        let mut worst = (0, f64::MAX);
        for seed in SEEDS {
            let mut closed_loop = ClosedLoop::start(seed, servers, clients, latency, disturbance);
            let (silence, share) = closed_loop.silence_and_share(servers);
            worst = (silence.max(worst.0), share.min(worst.1));
        }
        let line = format!(
            "{disturbance:?}, {servers} servers, {clients} clients: silence {:.1} s, share {:.2}",
            worst.0 as f64 / SEC as f64,
            worst.1
        );
        println!("{line}");
        if worst.0 > MAX_SILENCE || worst.1 < MIN_SHARE {
            failures.push(line);
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

// Each test guards against a server that gets no RPC for many seconds because a few old results make it look dear.

#[test]
fn a_server_is_used_again_soon_after_an_answer_fifteen_times_as_slow() {
    assert_used_again(Disturbance::SlowAnswer(60 * MS), 4 * MS, &CLIENT_COUNTS);
}

#[test]
fn a_server_is_used_again_soon_after_an_answer_three_times_as_slow() {
    assert_used_again(Disturbance::SlowAnswer(12 * MS), 4 * MS, &CLIENT_COUNTS);
}

#[test]
fn a_server_is_used_again_soon_after_a_stall_of_a_second() {
    assert_used_again(Disturbance::Stall(SEC), 4 * MS, &CLIENT_COUNTS);
}

#[test]
fn a_server_is_used_again_soon_after_a_failure() {
    assert_used_again(Disturbance::Failure, 4 * MS, &CLIENT_COUNTS);
}

#[test]
fn a_server_that_answers_in_less_than_a_millisecond_is_used_again_soon_after_a_slow_answer() {
    assert_used_again(Disturbance::SlowAnswer(60 * MS), 400_000, &FEW_CLIENTS);
}

#[test]
fn servers_that_are_alike_are_all_used() {
    assert_used_again(Disturbance::Nothing, 4 * MS, &CLIENT_COUNTS);
}

/// The RPCs that the disturbed server got in a second, and its share of an even part, over half a minute.
fn load_of_slow_server(seed: u64, servers: u32, clients: u32) -> (f64, f64) {
    let mut closed_loop = ClosedLoop::start(seed, servers, clients, 4 * MS, Disturbance::AlwaysSlow);
    closed_loop.run_until_disturbed();
    let disturbed_at = closed_loop.disturbed_at.unwrap();
    closed_loop.run_until(disturbed_at + 30 * SEC);
    let after: Vec<u32> =
        closed_loop.received.iter().filter(|row| row.0 >= disturbed_at).map(|row| row.1).collect();
    let own = after.iter().filter(|server| **server == DISTURBED).count() as f64;
    (own / 30.0, own / (after.len() as f64 / f64::from(servers)))
}

#[test]
fn a_server_that_stays_ten_times_as_slow_gets_little() {
    for (servers, clients) in [(4, 1), (12, 1), (12, 6), (12, 12), (12, 24)] {
        let loads: Vec<(f64, f64)> = SEEDS.map(|seed| load_of_slow_server(seed, servers, clients)).collect();
        let highest_rate = loads.iter().map(|load| load.0).fold(0.0, f64::max);
        let mean_share = loads.iter().map(|load| load.1).sum::<f64>() / loads.len() as f64;
        println!(
            "{servers} servers, {clients} clients: at most {highest_rate:.2} a second, mean share {mean_share:.4}"
        );
        assert!(clients > 1 || highest_rate <= 1.0, "{highest_rate} RPCs a second at one client");
        assert!(mean_share <= 0.1, "{servers} servers, {clients} clients: {mean_share} of an even share");
    }
}

/// Guards against servers that get nothing, or too much, for their weight where a gateway uses all servers.
#[test]
fn load_follows_weights_at_a_gateway_that_uses_all_servers() {
    let weights = [0.1, 1.0, 1.0, 10.0];
    let total: f64 = weights.iter().sum();
    let server =
        |index: usize| DiscoveredServer { weight: weights[index], ..ready_server(index as u32 + 1, 0) };
    let list: Vec<DiscoveredServer> = (0..weights.len()).map(server).collect();
    let mut failures = Vec::new();
    for clients in CLIENT_COUNTS {
        let mut received = vec![0.0; weights.len()];
        for seed in SEEDS {
            let mut closed_loop = ClosedLoop::with_list(seed, &list, clients, 4 * MS, Disturbance::Nothing);
            closed_loop.run_until(START + SHARE_WINDOW);
            closed_loop.received.iter().for_each(|row| received[row.1 as usize - 1] += 1.0);
        }
        let all: f64 = received.iter().sum();
        for (weight, count) in weights.iter().zip(&received) {
            let (share, expected) = (count / all, weight / total);
            if share < 0.5 * expected || share > 1.6 * expected {
                failures
                    .push(format!("{clients} clients, weight {weight}: share {share:.3} of {expected:.3}"));
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
