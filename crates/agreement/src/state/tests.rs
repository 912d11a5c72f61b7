//! Model check of every run of three gateways, all of them voters: any message is lost, late, duplicated or reordered, files
//! reach who they reach, gateways stand still and restart with the older or the newer file. Time goes in steps, up to a horizon
//! that covers the whole change of a version. Mistakes seeded by changing a gateway's state from here have to be found.

use super::{Agreement, Mode, VoterPhase};
use crate::config::AgreementConfig;
use crate::lease::ContentId;
use crate::message::{LeaseMessage, MessageKind};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const GATEWAYS: usize = 3;
const START: u64 = 10;

fn content(version: u64, digest: u128) -> ContentId {
    ContentId { version, digest }
}

const OLD: u64 = 1;
const NEW: u64 = 2;

struct World {
    lease: u64,
    /// Steps of time that are played.
    steps: u64,
    restarts: usize,
    /// Where the new version has not come to a gateway in good time, it comes so many steps later at the latest, or never.
    comes_within: u64,
    /// What each gateway is given as the new version, and how far its clock is ahead of (or behind) true time.
    files: [u128; GATEWAYS],
    clocks: [i64; GATEWAYS],
    clock: u64,
    mistake: Option<Mistake>,
}

/// A seeded mistake: what a wrong implementation would do, played by changing the state of a right one.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mistake {
    /// Half of the voters count as a majority.
    SmallQuorum,
    /// What was confirmed once is acted on for good.
    NeverFallsBack,
    /// A voter's leases on two contents overlap.
    OverlappingLeases,
    /// A restarted voter does not wait until the leases of its last incarnation are over.
    NoSilence,
    /// A restarted voter grants leases without a report of the others.
    NoRecovery,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    gateways: Vec<Agreement>,
    messages: BTreeSet<LeaseMessage>,
    restarts: usize,
    lives: u32,
    /// When a gateway first acted on the new version.
    new_since: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Pass,
    Give(usize),
    Speak(usize),
    Hear(usize, LeaseMessage),
    Restart(usize, bool),
}

impl World {
    fn config(&self) -> AgreementConfig {
        AgreementConfig {
            voters: (0..GATEWAYS as u32).collect(),
            lease_duration: self.lease,
            max_clock_error: self.clock,
        }
    }

    fn clock(&self, now: u64, gateway: usize) -> u64 {
        now.saturating_add_signed(self.clocks[gateway])
    }

    fn gateway(&self, number: usize, life: u32, born: u64, content: ContentId, start: u64) -> Agreement {
        let mut gateway = Agreement::new(self.config(), Some(number as u32), life, born, content, start);
        match self.mistake {
            Some(Mistake::SmallQuorum) => gateway.quorum -= 1,
            Some(Mistake::NoSilence) => gateway.silent_until = born,
            _ => {}
        }
        gateway
    }

    fn evaluate(&self, gateway: &mut Agreement, now: u64) {
        gateway.evaluate(now);
        if self.mistake == Some(Mistake::NeverFallsBack) && gateway.last_confirmed > 0 {
            (gateway.mode, gateway.last_confirmed) = (Mode::Confirmed, now);
        }
    }

    fn poll_messages(&self, gateway: &mut Agreement, now: u64) -> Vec<LeaseMessage> {
        match self.mistake {
            Some(Mistake::NoRecovery) if now >= gateway.silent_until => {
                gateway.phase = VoterPhase::Granting;
                gateway.reports.clear();
                gateway.poll_messages(now)
            }
            Some(Mistake::OverlappingLeases) => {
                // The voter forgets its last lease, and does not see what waits before its start.
                gateway.granted_until = 0;
                let waiting = gateway.next.take_if(|next| now < next.start);
                let messages = gateway.poll_messages(now);
                gateway.next = gateway.next.or(waiting);
                messages
            }
            _ => gateway.poll_messages(now),
        }
    }

    fn settle(&self, state: &mut State) {
        let now = state.now;
        for (at, gateway) in state.gateways.iter_mut().enumerate() {
            let own = self.clock(now, at);
            self.evaluate(gateway, own);
            discard_past(gateway, own);
        }
        let slowest = self.clocks.iter().min().copied().unwrap_or(0);
        let over = now.saturating_add_signed(slowest);
        state.messages.retain(|message| {
            message.lease.until > over || message.lease.from == message.lease.until && message.sent >= over
        });
        let acts =
            |gateway: &Agreement| gateway.mode() == Mode::Confirmed && gateway.content().version == NEW;
        if state.new_since.is_none() && state.gateways.iter().any(acts) {
            state.new_since = Some(now);
        }
    }
}

impl Model for World {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        // The file has come to some of them two leases ahead. What was said before one lease ahead is over by the start.
        let subset = |told: usize| {
            let gateway = |at: usize| {
                let mut gateway = self.gateway(at, at as u32, 0, content(OLD, 1), 0);
                gateway.phase = VoterPhase::Granting; // as after a long time in service
                if told & 1 << at != 0 {
                    let now = self.clock(START - 2 * self.lease, at);
                    let _ = gateway.offer(now, content(NEW, self.files[at]), START);
                }
                gateway
            };
            let (messages, lives) = (BTreeSet::new(), GATEWAYS as u32);
            let gateways = (0..GATEWAYS).map(gateway).collect();
            State { now: START - self.lease, gateways, messages, restarts: 0, lives, new_since: None }
        };
        (0..1 << GATEWAYS).map(subset).collect()
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < START + self.steps {
            actions.push(Action::Pass);
        }
        for (at, gateway) in state.gateways.iter().enumerate() {
            let comes = state.now < START - self.lease + self.comes_within;
            if comes
                && gateway.content().version == OLD
                && gateway.scheduled().is_none()
                && gateway.dropped.is_none()
            {
                actions.push(Action::Give(at));
            }
            if gateway.next_message_at <= self.clock(state.now, at) {
                actions.push(Action::Speak(at));
            }
            let others = state.messages.iter().filter(|message| message.gateway != at as u32);
            actions.extend(others.map(|message| Action::Hear(at, *message)));
            // All are alike, so it may as well be the first that restarts.
            if state.restarts < self.restarts && at == 0 {
                actions.extend([Action::Restart(at, false), Action::Restart(at, true)]);
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Pass => state.now += 1,
            Action::Give(at) => {
                let now = self.clock(state.now, at);
                let _ = state.gateways[at].offer(now, content(NEW, self.files[at]), START);
            }
            Action::Speak(at) => {
                let now = self.clock(state.now, at);
                let messages = self.poll_messages(&mut state.gateways[at], now);
                // Who only says what it holds matters where contents differ.
                let differ = self.files.iter().any(|file| *file != self.files[0]);
                state.messages.extend(
                    messages.into_iter().filter(|message| differ || message.kind != MessageKind::Holding),
                );
            }
            Action::Hear(at, message) => {
                let now = self.clock(state.now, at);
                state.gateways[at].receive(now, &message);
            }
            Action::Restart(at, newer) => {
                let now = self.clock(state.now, at);
                let (version, digest, start) = if newer { (NEW, self.files[at], START) } else { (OLD, 1, 0) };
                state.gateways[at] = self.gateway(at, state.lives, now, content(version, digest), start);
                state.restarts += 1;
                state.lives += 1;
            }
        }
        self.settle(&mut state);
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("contradict no longer than the bound", |world: &World, state: &State| {
                let acted: BTreeSet<ContentId> = state
                    .gateways
                    .iter()
                    .filter(|gateway| gateway.mode() == Mode::Confirmed)
                    .map(Agreement::content)
                    .collect();
                let new: BTreeSet<&ContentId> =
                    acted.iter().filter(|content| content.version == NEW).collect();
                let old = acted.iter().any(|content| content.version == OLD);
                let late = state
                    .new_since
                    .is_some_and(|since| state.now > since + world.config().contradiction_bound());
                let together = old && !new.is_empty() && world.config().contradiction_bound() == 0;
                new.len() <= 1 && !together && !(old && late)
            }),
            Property::sometimes("all act on the new version", |_, state: &State| {
                let new = |gateway: &Agreement| {
                    gateway.mode() == Mode::Confirmed && gateway.content().version == NEW
                };
                state.gateways.iter().all(new)
            }),
            Property::sometimes(
                "one is on its fallback while another acts on the new version",
                |_, state: &State| {
                    let is = |mode| move |gateway: &Agreement| gateway.mode() == mode;
                    state.new_since.is_some()
                        && state.gateways.iter().any(is(Mode::Fallback))
                        && state.gateways.iter().any(is(Mode::Confirmed))
                },
            ),
        ]
    }
}

/// Drops what can have no effect any more, so that runs that differ in it only are one state.
fn discard_past(gateway: &mut Agreement, now: u64) {
    for grants in gateway.grants.by_voter.values_mut() {
        grants.retain(|grant| grant.lease.until > now);
    }
    gateway.grants.by_voter.retain(|_, grants| !grants.is_empty());
    if gateway.phase == VoterPhase::Granting {
        gateway.silent_until = 0;
    }
    gateway.last_confirmed = gateway.last_confirmed.min(1);
    if gateway.granted_until <= now {
        gateway.granted_until = gateway.granted_until.min(1);
    }
}

fn world() -> World {
    World {
        lease: 2,
        steps: 2,
        restarts: 0,
        comes_within: 0,
        files: [1; 3],
        clocks: [0; 3],
        clock: 0,
        mistake: None,
    }
}

/// Plays all of a world: whether the bound held, and whether all came to act on the new version in some run.
fn check(name: &str, world: World) -> (bool, bool) {
    let began = std::time::Instant::now();
    let checker = world.checker().threads(4).spawn_bfs().join();
    let broken = checker.discovery("contradict no longer than the bound");
    if let Some(path) = &broken {
        println!("{:#?}", path.clone().into_actions());
    }
    let held = broken.is_none();
    let all = checker.discovery("all act on the new version").is_some();
    println!("{name}: {} states, {:.1} s", checker.unique_state_count(), began.elapsed().as_secs_f64());
    (held, all)
}

#[test]
fn no_two_contradict_whatever_is_lost_or_late() {
    assert_eq!(check("lost and late", world()), (true, true));
}

#[test]
fn nor_where_files_come_late() {
    assert_eq!(check("files late", World { lease: 1, steps: 3, comes_within: 3, ..world() }), (true, true));
}

#[test]
fn nor_where_one_restarts_with_the_older_or_the_newer_file() {
    assert!(check("restarted", World { lease: 1, steps: 3, restarts: 1, ..world() }).0);
}

#[test]
fn nor_where_two_contents_go_by_one_version() {
    assert!(check("two contents", World { lease: 1, files: [1, 1, 2], ..world() }).0);
}

#[test]
fn nor_for_longer_than_the_bound_where_clocks_are_off() {
    for clocks in [[0, 0, -1], [0, 1, 0], [1, 0, -1]] {
        assert!(
            check("clocks off", World { lease: 1, clocks, clock: 1, steps: 3, ..world() }).0,
            "{clocks:?}"
        );
    }
}

#[test]
fn each_mistake_built_in_is_found() {
    for mistake in [Mistake::SmallQuorum, Mistake::NeverFallsBack, Mistake::OverlappingLeases] {
        let world = World { mistake: Some(mistake), ..world() };
        assert!(!check(&format!("{mistake:?}"), world).0, "{mistake:?} is not found");
    }
    for mistake in [Mistake::NoSilence, Mistake::NoRecovery] {
        let restarts = World { mistake: Some(mistake), lease: 1, steps: 3, restarts: 1, ..world() };
        assert!(!check(&format!("{mistake:?}"), restarts).0, "{mistake:?} is not found");
    }
}
