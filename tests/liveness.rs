//! No gateway turns away all that it gets for long: whatever its few samples, its brake, its part of the servers or the
//! counter say, some call-out reaches a server.

mod harness;

use harness::{MS, SEC, START, Story, gateway, server};
use martenramp::host::{CallOutcome, DiscoveredServer, Nanos};
use martenramp::subsetting::{self, Endpoint};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

/// A gateway that turns away so many for so long, with no call-out that reaches a server, serves nobody.
const TURNED_AWAY: usize = 15;
const ON_END: Nanos = 4 * SEC;

const GATEWAYS: usize = 30;
const SERVERS: u32 = 40;

/// How a server answers a call-out: after how long, and with what; nothing is said by one that hangs.
type Answer = Option<(Nanos, CallOutcome)>;

const QUICK: Answer = Some((40 * MS, CallOutcome::Ok));

/// One gateway of thirty, its servers and the counter, as a script has them.
struct Day {
    story: Story,
    /// When a call-out ends: RPC and how.
    ends: BinaryHeap<Reverse<(Nanos, u32, bool, bool)>>,
    counts: BinaryHeap<Reverse<(Nanos, usize)>>,
    seen: usize,
    asked: usize,
    /// Call-outs that reached a server, so that they may have run.
    reached: Vec<Nanos>,
    /// Whether the counter answers.
    counts_well: bool,
    chance: fastrand::Rng,
}

impl Day {
    fn start(seed: u64, extra: &str) -> Day {
        let extra = format!("balancers={GATEWAYS} me=0 rules.fallMultiple=2 {extra}");
        Day {
            story: gateway(seed, &extra).with_servers(SERVERS),
            ends: BinaryHeap::new(),
            counts: BinaryHeap::new(),
            seen: 0,
            asked: 0,
            reached: Vec::new(),
            counts_well: true,
            chance: fastrand::Rng::with_seed(seed),
        }
    }

    /// RPCs of these methods come `rate` times a second for a while, and servers answer as `answer` says.
    fn play(&mut self, span: Nanos, rate: f64, methods: &[u16], answer: impl Fn(u32, Nanos) -> Answer) {
        let until = self.story.notes.now + span;
        let mut arrival = self.story.notes.now;
        loop {
            let timer = self.story.notes.next_timer().unwrap_or(Nanos::MAX);
            let end = self.ends.peek().map_or(Nanos::MAX, |end| end.0.0);
            let count = self.counts.peek().map_or(Nanos::MAX, |count| count.0.0);
            let now = timer.min(arrival).min(end).min(count).max(self.story.notes.now);
            if now >= until {
                self.story.notes.now = until;
                return;
            }
            if now == timer {
                self.story.pass(now - self.story.notes.now);
            } else if now == end {
                let Reverse((_, rpc, ok, refused)) = self.ends.pop().unwrap();
                self.story.notes.now = now;
                let how = if refused { CallOutcome::NoConnection } else { CallOutcome::TimedOut };
                self.story.end(rpc, if ok { CallOutcome::Ok } else { how });
            } else if now == count {
                let Reverse((_, place)) = self.counts.pop().unwrap();
                self.story.notes.now = now;
                let back = self.story.notes.counts.len() - 1 - place;
                let how = if self.counts_well { CallOutcome::Ok } else { CallOutcome::TimedOut };
                self.story.counted(back, how, 1.0);
            } else {
                self.story.notes.now = now;
                arrival = now + (-(1.0 - self.chance.f64()).ln() / rate * 1e9) as Nanos;
                let method = methods[self.chance.usize(..methods.len())];
                let customer = self.chance.u64(0..40);
                self.story.rpc_of(customer, method, 0.1, 2 * SEC);
            }
            self.called(&answer);
        }
    }

    fn called(&mut self, answer: &impl Fn(u32, Nanos) -> Answer) {
        for (rpc, id, limit, now) in self.story.notes.out[self.seen..].iter().copied() {
            let limit = if limit == 0 { 2 * SEC } else { limit };
            let answer = answer(id, now);
            if answer.is_none_or(|answer| answer.1 != CallOutcome::NoConnection) {
                self.reached.push(now);
            }
            let (after, how) =
                answer.filter(|answer| answer.0 < limit).unwrap_or((limit, CallOutcome::TimedOut));
            self.ends.push(Reverse((
                now + after,
                rpc,
                how == CallOutcome::Ok,
                how == CallOutcome::NoConnection,
            )));
        }
        self.seen = self.story.notes.out.len();
        for place in self.asked..self.story.notes.counts.len() {
            let after = if self.counts_well { 2 * MS } else { 50 * MS };
            self.counts.push(Reverse((self.story.notes.now + after, place)));
        }
        self.asked = self.story.notes.counts.len();
    }

    /// The most that was turned away in a span of `ON_END` or more with no call-out that reached a server.
    fn turned_away(&self, from: Nanos) -> usize {
        let mut marks: Vec<Nanos> = self.reached.iter().copied().filter(|at| *at > from).collect();
        marks.insert(0, from);
        marks.push(self.story.notes.now);
        let pushed = |from, to| {
            self.story.notes.pushed.iter().filter(|pushed| pushed.2 > from && pushed.2 <= to).count()
        };
        let gaps = marks.windows(2).filter(|gap| gap[1] - gap[0] >= ON_END);
        gaps.map(|gap| pushed(gap[0], gap[1])).max().unwrap_or(0)
    }

    fn serves(&self, from: Nanos) {
        let most = self.turned_away(from);
        let reached = self.reached.iter().filter(|at| **at > from).count();
        println!("{most} turned away on end, {reached} call-outs reached a server");
        assert!(most < TURNED_AWAY, "{most} turned away with no call-out for four seconds and more");
    }
}

/// The servers of this gateway's part.
fn part() -> BTreeSet<u32> {
    let member =
        |id: u32| Endpoint { id, key: u64::from(id), zone: id as u16 % 2, weight: 1.0, same_zone: false };
    let members: Vec<Endpoint> = (1..=SERVERS).map(member).collect();
    subsetting::subsets(&members, GATEWAYS, 18.0).swap_remove(0).into_iter().collect()
}

#[test]
fn a_gateway_whose_few_samples_all_say_slow_goes_on() {
    for seed in 0..10 {
        let mut day = Day::start(seed, "tariffs.0.perSecond=0");
        day.play(3 * SEC, 6.0, &[0, 1, 2], |_, _| Some((1500 * MS, CallOutcome::Ok)));
        let from = day.story.notes.now;
        day.play(10 * SEC, 6.0, &[0, 1, 2], |_, _| QUICK);
        day.serves(from);
        // Slow for good: it sends less, but goes on.
        let from = day.story.notes.now;
        day.play(12 * SEC, 12.0, &[0, 1, 2], |_, _| Some((1500 * MS, CallOutcome::Ok)));
        day.serves(from);
    }
}

#[test]
fn patient_rpcs_alone_are_not_braked_for_good_by_what_urgent_ones_met() {
    for seed in 0..10 {
        let mut day = Day::start(seed, "tariffs.0.perSecond=0");
        day.play(4 * SEC, 20.0, &[1, 2], |_, _| Some((1100 * MS, CallOutcome::Ok)));
        let from = day.story.notes.now;
        day.play(10 * SEC, 6.0, &[0], |_, _| QUICK);
        day.serves(from);
    }
}

#[test]
fn a_part_that_refuses_or_hangs_wholly_is_left_for_other_servers() {
    let part = part();
    assert!(part.len() > 15 && part.len() < 35);
    for seed in 0..10 {
        for method in 0..3 {
            for answer in [Some((MS, CallOutcome::NoConnection)), None] {
                let mut day = Day::start(seed, "tariffs.0.perSecond=0");
                day.play(3 * SEC, 6.0, &[0, 1, 2], |_, _| QUICK);
                let from = day.story.notes.now;
                let bad = |id: u32, _| if part.contains(&id) { answer } else { QUICK };
                day.play(12 * SEC, 6.0, &[method], bad);
                day.serves(from);
            }
        }
    }
}

#[test]
fn a_gateway_started_while_the_counter_is_silent_serves() {
    for seed in 0..10 {
        let settings = "extra.hasCounter=true extra.countWait=0.05";
        let mut day = Day::start(seed, settings);
        day.counts_well = false;
        day.play(12 * SEC, 8.0, &[0, 1, 2], |_, _| QUICK);
        day.serves(START);
    }
}

#[test]
fn a_whole_fleet_that_hangs_and_is_back_is_found_again() {
    for seed in 0..10 {
        let mut day = Day::start(seed, "tariffs.0.perSecond=0");
        day.play(3 * SEC, 6.0, &[0, 1, 2], |_, _| QUICK);
        day.play(6 * SEC, 6.0, &[0, 1, 2], |_, _| None);
        let from = day.story.notes.now;
        day.play(10 * SEC, 6.0, &[0, 1, 2], |_, _| QUICK);
        day.serves(from);
        // Likewise where all refuse, and the list then says that nothing changed.
        day.play(6 * SEC, 6.0, &[0, 1, 2], |_, _| Some((MS, CallOutcome::NoConnection)));
        let list: Vec<DiscoveredServer> = (1..=SERVERS).map(|id| server(id, id as u16 % 2)).collect();
        day.story.list(true, &list);
        let from = day.story.notes.now;
        day.play(10 * SEC, 6.0, &[0, 1, 2], |_, _| QUICK);
        day.serves(from);
    }
}
