//! Every run of three gateways, all of them voters, checked: any word is lost, late, doubled or overtaken, files reach who
//! they reach, gateways stand still and restart with the older or the newer file. Time goes in steps, up to a horizon that
//! covers the whole change of a version.

use crate::lease::Content;
use crate::message::{LeaseMessage, MessageKind};
use crate::state::{Agreement, Mode, Terms};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const GATEWAYS: usize = 3;
const START: u64 = 10;

fn content(version: u64, digest: u128) -> Content {
    Content { version, digest }
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
    flaw: &'static str,
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
    fn terms(&self) -> Terms {
        Terms { voters: (0..GATEWAYS as u32).collect(), lease: self.lease, clock: self.clock }
    }

    fn clock(&self, now: u64, gateway: usize) -> u64 {
        now.saturating_add_signed(self.clocks[gateway])
    }

    fn gateway(&self, number: usize, life: u32, born: u64, content: Content, start: u64) -> Agreement {
        let mut gateway = Agreement::new(self.terms(), Some(number as u32), life, born, content, start);
        gateway.flaw = self.flaw;
        gateway
    }

    fn settled(&self, state: &mut State) {
        let now = state.now;
        for (at, gateway) in state.gateways.iter_mut().enumerate() {
            let own = self.clock(now, at);
            gateway.at(own);
            gateway.forget_the_past(own);
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
                let mut gateway = self.gateway(at, at as u32, 0, content(OLD, 1), 0).served();
                if told & 1 << at != 0 {
                    let now = self.clock(START - 2 * self.lease, at);
                    let _ = gateway.take(now, content(NEW, self.files[at]), START);
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
                && gateway.waiting().is_none()
                && !gateway.has_dropped()
            {
                actions.push(Action::Give(at));
            }
            if gateway.next_word() <= self.clock(state.now, at) {
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
                let _ = state.gateways[at].take(now, content(NEW, self.files[at]), START);
            }
            Action::Speak(at) => {
                let now = self.clock(state.now, at);
                let messages = state.gateways[at].tell(now);
                // Who only says what it holds matters where contents differ.
                let differ = self.files.iter().any(|file| *file != self.files[0]);
                state.messages.extend(
                    messages.into_iter().filter(|message| differ || message.kind != MessageKind::Holding),
                );
            }
            Action::Hear(at, message) => {
                let now = self.clock(state.now, at);
                state.gateways[at].hear(now, &message);
            }
            Action::Restart(at, newer) => {
                let now = self.clock(state.now, at);
                let (version, digest, start) = if newer { (NEW, self.files[at], START) } else { (OLD, 1, 0) };
                state.gateways[at] = self.gateway(at, state.lives, now, content(version, digest), start);
                state.restarts += 1;
                state.lives += 1;
            }
        }
        self.settled(&mut state);
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("contradict no longer than the bound", |world: &World, state: &State| {
                let acted: BTreeSet<Content> = state
                    .gateways
                    .iter()
                    .filter(|gateway| gateway.mode() == Mode::Confirmed)
                    .map(Agreement::content)
                    .collect();
                let new: BTreeSet<&Content> = acted.iter().filter(|content| content.version == NEW).collect();
                let old = acted.iter().any(|content| content.version == OLD);
                let late = state.new_since.is_some_and(|since| state.now > since + world.terms().bound());
                let together = old && !new.is_empty() && world.terms().bound() == 0;
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

fn world() -> World {
    World {
        lease: 2,
        steps: 2,
        restarts: 0,
        comes_within: 0,
        files: [1; 3],
        clocks: [0; 3],
        clock: 0,
        flaw: "",
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
    for flaw in ["half is enough", "never falls back", "overlaps"] {
        assert!(!check(flaw, World { flaw, ..world() }).0, "{flaw} is not found");
    }
    for flaw in ["speaks at once", "asks nobody"] {
        let restarts = World { flaw, lease: 1, steps: 3, restarts: 1, ..world() };
        assert!(!check(flaw, restarts).0, "{flaw} is not found");
    }
}
