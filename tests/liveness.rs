//! No gateway may reject all of its RPCs for long. Whatever its few samples, throttling, its subset of the servers or the
//! counter indicate, some attempts must reach a server.

mod harness;

use harness::{MS, SEC, START, Scenario, ready_server, scenario_with_seed};
use martenramp::host::{CallOutcome, DiscoveredServer, Nanos};
use martenramp::subsetting::{self, Endpoint};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

/// A gateway is considered stuck if it rejects this many RPCs within a gap of this length or more in which none of its attempts
/// reaches a server.
const STUCK_REJECTIONS: usize = 15;
const STUCK_GAP: Nanos = 4 * SEC;

const GATEWAYS: usize = 30;
const SERVERS: u32 = 40;

/// How a server answers an attempt: the latency and the outcome. `None` stands for a server that hangs.
type Answer = Option<(Nanos, CallOutcome)>;

const QUICK: Answer = Some((40 * MS, CallOutcome::Ok));

/// One gateway of thirty, with its servers and the counter.
struct Simulation {
    scenario: Scenario,
    /// Ends of attempts: when, RPC, and whether it succeeded or the connection was refused.
    attempt_ends: BinaryHeap<Reverse<(Nanos, u32, bool, bool)>>,
    counter_replies: BinaryHeap<Reverse<(Nanos, usize)>>,
    attempts_seen: usize,
    counter_calls_seen: usize,
    /// When attempts were sent that reached a server, so that they may have run.
    reached: Vec<Nanos>,
    /// Whether the counter answers.
    counter_answers: bool,
    rng: fastrand::Rng,
}

impl Simulation {
    fn start(seed: u64, extra: &str) -> Simulation {
        let extra = format!("balancers={GATEWAYS} me=0 rules.fallMultiple=2 {extra}");
        Simulation {
            scenario: scenario_with_seed(seed, &extra).with_servers(SERVERS),
            attempt_ends: BinaryHeap::new(),
            counter_replies: BinaryHeap::new(),
            attempts_seen: 0,
            counter_calls_seen: 0,
            reached: Vec::new(),
            counter_answers: true,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// RPCs of these methods arrive at `rate` a second for `duration`, and servers answer as `answer` returns.
    fn run(&mut self, duration: Nanos, rate: f64, methods: &[u16], answer: impl Fn(u32, Nanos) -> Answer) {
        let until = self.scenario.host.now + duration;
        let mut arrival = self.scenario.host.now;
        loop {
            let timer = self.scenario.host.next_timer_at().unwrap_or(Nanos::MAX);
            let attempt_end = self.attempt_ends.peek().map_or(Nanos::MAX, |end| end.0.0);
            let reply = self.counter_replies.peek().map_or(Nanos::MAX, |reply| reply.0.0);
            let now = timer.min(arrival).min(attempt_end).min(reply).max(self.scenario.host.now);
            if now >= until {
                self.scenario.host.now = until;
                return;
            }
            if now == timer {
                self.scenario.advance(now - self.scenario.host.now);
            } else if now == attempt_end {
                let Reverse((_, rpc, ok, refused)) = self.attempt_ends.pop().unwrap();
                self.scenario.host.now = now;
                let outcome = if refused { CallOutcome::NoConnection } else { CallOutcome::TimedOut };
                self.scenario.end_attempt(rpc, if ok { CallOutcome::Ok } else { outcome });
            } else if now == reply {
                let Reverse((_, index)) = self.counter_replies.pop().unwrap();
                self.scenario.host.now = now;
                let calls_back = self.scenario.host.counter_calls.len() - 1 - index;
                let outcome = if self.counter_answers { CallOutcome::Ok } else { CallOutcome::TimedOut };
                self.scenario.answer_counter(calls_back, outcome, 1.0);
            } else {
                self.scenario.host.now = now;
                arrival = now + (-(1.0 - self.rng.f64()).ln() / rate * 1e9) as Nanos;
                let method = methods[self.rng.usize(..methods.len())];
                let customer = self.rng.u64(0..40);
                self.scenario.submit_for(customer, method, 0.1, 2 * SEC);
            }
            self.schedule_answers(&answer);
        }
    }

    /// Schedules the answers to the attempts and counter calls that the gateway has just made.
    fn schedule_answers(&mut self, answer: &impl Fn(u32, Nanos) -> Answer) {
        for (rpc, id, limit, now) in self.scenario.host.sent[self.attempts_seen..].iter().copied() {
            let limit = if limit == 0 { 2 * SEC } else { limit };
            let answer = answer(id, now);
            if answer.is_none_or(|answer| answer.1 != CallOutcome::NoConnection) {
                self.reached.push(now);
            }
            let (latency, outcome) =
                answer.filter(|answer| answer.0 < limit).unwrap_or((limit, CallOutcome::TimedOut));
            self.attempt_ends.push(Reverse((
                now + latency,
                rpc,
                outcome == CallOutcome::Ok,
                outcome == CallOutcome::NoConnection,
            )));
        }
        self.attempts_seen = self.scenario.host.sent.len();
        for index in self.counter_calls_seen..self.scenario.host.counter_calls.len() {
            let latency = if self.counter_answers { 2 * MS } else { 50 * MS };
            self.counter_replies.push(Reverse((self.scenario.host.now + latency, index)));
        }
        self.counter_calls_seen = self.scenario.host.counter_calls.len();
    }

    /// The largest number of rejections within a gap of `STUCK_GAP` or more in which no attempt reached a server.
    fn max_rejected_in_gap(&self, from: Nanos) -> usize {
        let mut marks: Vec<Nanos> = self.reached.iter().copied().filter(|at| *at > from).collect();
        marks.insert(0, from);
        marks.push(self.scenario.host.now);
        let rejected = |from, to| {
            self.scenario
                .host
                .rejected
                .iter()
                .filter(|rejection| rejection.2 > from && rejection.2 <= to)
                .count()
        };
        let gaps = marks.windows(2).filter(|gap| gap[1] - gap[0] >= STUCK_GAP);
        gaps.map(|gap| rejected(gap[0], gap[1])).max().unwrap_or(0)
    }

    fn assert_not_stuck(&self, from: Nanos) {
        let rejected = self.max_rejected_in_gap(from);
        let reached = self.reached.iter().filter(|at| **at > from).count();
        println!("{rejected} rejected in a gap, {reached} attempts reached a server");
        assert!(
            rejected < STUCK_REJECTIONS,
            "{rejected} rejected while no attempt reached a server for four seconds or more"
        );
    }
}

/// The servers in this gateway's subset.
fn subset() -> BTreeSet<u32> {
    let endpoint =
        |id: u32| Endpoint { id, key: u64::from(id), zone: id as u16 % 2, weight: 1.0, same_zone: false };
    let endpoints: Vec<Endpoint> = (1..=SERVERS).map(endpoint).collect();
    subsetting::subsets(&endpoints, GATEWAYS, 18.0).swap_remove(0).into_iter().collect()
}

#[test]
fn a_gateway_continues_when_its_few_samples_are_all_slow() {
    for seed in 0..10 {
        let mut simulation = Simulation::start(seed, "tariffs.0.perSecond=0");
        simulation.run(3 * SEC, 6.0, &[0, 1, 2], |_, _| Some((1500 * MS, CallOutcome::Ok)));
        let from = simulation.scenario.host.now;
        simulation.run(10 * SEC, 6.0, &[0, 1, 2], |_, _| QUICK);
        simulation.assert_not_stuck(from);
        // With permanently slow servers it sends less, but does not stop.
        let from = simulation.scenario.host.now;
        simulation.run(12 * SEC, 12.0, &[0, 1, 2], |_, _| Some((1500 * MS, CallOutcome::Ok)));
        simulation.assert_not_stuck(from);
    }
}

#[test]
fn patient_rpcs_alone_are_not_throttled_forever_by_past_urgent_latencies() {
    for seed in 0..10 {
        let mut simulation = Simulation::start(seed, "tariffs.0.perSecond=0");
        simulation.run(4 * SEC, 20.0, &[1, 2], |_, _| Some((1100 * MS, CallOutcome::Ok)));
        let from = simulation.scenario.host.now;
        simulation.run(10 * SEC, 6.0, &[0], |_, _| QUICK);
        simulation.assert_not_stuck(from);
    }
}

#[test]
fn a_gateway_uses_other_servers_when_its_whole_subset_refuses_or_hangs() {
    let subset = subset();
    assert!(subset.len() > 15 && subset.len() < 35);
    for seed in 0..10 {
        for method in 0..3 {
            for answer in [Some((MS, CallOutcome::NoConnection)), None] {
                let mut simulation = Simulation::start(seed, "tariffs.0.perSecond=0");
                simulation.run(3 * SEC, 6.0, &[0, 1, 2], |_, _| QUICK);
                let from = simulation.scenario.host.now;
                let faulty = |id: u32, _| if subset.contains(&id) { answer } else { QUICK };
                simulation.run(12 * SEC, 6.0, &[method], faulty);
                simulation.assert_not_stuck(from);
            }
        }
    }
}

#[test]
fn a_gateway_that_starts_while_the_counter_is_silent_serves() {
    for seed in 0..10 {
        let settings = "extra.hasCounter=true extra.countWait=0.05";
        let mut simulation = Simulation::start(seed, settings);
        simulation.counter_answers = false;
        simulation.run(12 * SEC, 8.0, &[0, 1, 2], |_, _| QUICK);
        simulation.assert_not_stuck(START);
    }
}

#[test]
fn servers_are_used_again_after_the_whole_fleet_hung_or_refused() {
    for seed in 0..10 {
        let mut simulation = Simulation::start(seed, "tariffs.0.perSecond=0");
        simulation.run(3 * SEC, 6.0, &[0, 1, 2], |_, _| QUICK);
        simulation.run(6 * SEC, 6.0, &[0, 1, 2], |_, _| None);
        let from = simulation.scenario.host.now;
        simulation.run(10 * SEC, 6.0, &[0, 1, 2], |_, _| QUICK);
        simulation.assert_not_stuck(from);
        // The same if all servers refuse connections, and discovery then sends an unchanged list.
        simulation.run(6 * SEC, 6.0, &[0, 1, 2], |_, _| Some((MS, CallOutcome::NoConnection)));
        let list: Vec<DiscoveredServer> = (1..=SERVERS).map(|id| ready_server(id, id as u16 % 2)).collect();
        simulation.scenario.deliver_list(true, &list);
        let from = simulation.scenario.host.now;
        simulation.run(10 * SEC, 6.0, &[0, 1, 2], |_, _| QUICK);
        simulation.assert_not_stuck(from);
    }
}
