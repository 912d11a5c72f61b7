//! Model check of every execution of three gateways, all of them voters. Each gateway acts on settings that stand for their
//! content, so that what it says and what it acts on can be compared.
//!
//! Any message may be lost, delayed, duplicated or reordered, the new version may reach any of the gateways or none, and
//! gateways may pause or restart with the older or the newer version. Time advances in steps up to a horizon that covers the
//! whole change of version. To test the check itself, bugs are injected by modifying a gateway's state; each has to be found.

use super::{Agreement, Mode, Receipt, ScheduledContent, VersionedAgreement, VoterPhase};
use crate::config::AgreementConfig;
use crate::lease::{ContentId, Lease};
use crate::message::{LeaseMessage, MessageKind};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const GATEWAYS: usize = 3;
const START: u64 = 10;

fn content(version: u64, digest: u128) -> ContentId {
    ContentId { version, digest }
}

const OLD_VERSION: u64 = 1;
const NEW_VERSION: u64 = 2;
/// Replaces the new version after its contents turned out to differ.
const THIRD_VERSION: u64 = 3;

/// A gateway whose settings are represented by their content.
type Gateway = VersionedAgreement<ContentId>;

fn offer(gateway: &mut Gateway, now: u64, content: ContentId, start: u64) {
    let _ = gateway.offer(now, ScheduledContent { content, start }, content);
}

struct FleetModel {
    lease: u64,
    /// The steps of time after the new version's start.
    horizon: u64,
    restarts: usize,
    /// A gateway that does not have the new version initially may get it within this many steps, or never.
    late_steps: u64,
    /// The digest of the new version's content, as each gateway gets it.
    new_digests: [u128; GATEWAYS],
    /// How far each gateway's clock is ahead of true time (behind it if negative).
    clock_offsets: [i64; GATEWAYS],
    max_clock_error: u64,
    bug: Option<InjectedBug>,
}

/// A bug of a wrong implementation, injected by changing the state of the correct one.
#[derive(Clone, Copy, Debug, PartialEq)]
enum InjectedBug {
    /// One voter fewer than a majority counts as a majority.
    SmallQuorum,
    /// A content that was confirmed once is acted on forever.
    NeverFallsBack,
    /// A voter's leases on two contents overlap.
    OverlappingLeases,
    /// A restarted voter does not wait until the leases of its previous incarnation have expired.
    NoSilence,
    /// A restarted voter grants leases without reports of the other voters.
    NoRecovery,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    gateways: Vec<Gateway>,
    messages: BTreeSet<LeaseMessage>,
    restarts: usize,
    incarnations: u32,
    /// When a gateway first acted on the new version.
    new_since: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    DeliverVersion(usize),
    Send(usize),
    Receive(usize, LeaseMessage),
    Restart(usize, bool),
}

impl FleetModel {
    fn config(&self) -> AgreementConfig {
        AgreementConfig {
            voters: (0..GATEWAYS as u32).collect(),
            lease_duration: self.lease,
            max_clock_error: self.max_clock_error,
        }
    }

    fn local_time(&self, now: u64, gateway: usize) -> u64 {
        now.saturating_add_signed(self.clock_offsets[gateway])
    }

    fn gateway(
        &self,
        number: usize,
        incarnation: u32,
        started_at: u64,
        content: ContentId,
        start: u64,
    ) -> Gateway {
        let mut gateway =
            Agreement::new(self.config(), Some(number as u32), incarnation, started_at, content, start);
        match self.bug {
            Some(InjectedBug::SmallQuorum) => gateway.quorum -= 1,
            Some(InjectedBug::NoSilence) => gateway.silent_until = started_at,
            _ => {}
        }
        VersionedAgreement::new(gateway, content)
    }

    fn evaluate(&self, gateway: &mut Gateway, now: u64) {
        gateway.evaluate(now);
        let state = &mut gateway.state;
        if self.bug == Some(InjectedBug::NeverFallsBack) && state.last_confirmed > 0 {
            (state.mode, state.last_confirmed) = (Mode::Confirmed, now);
        }
    }

    fn poll_messages(&self, gateway: &mut Agreement, now: u64) -> Vec<LeaseMessage> {
        match self.bug {
            Some(InjectedBug::NoRecovery) if now >= gateway.silent_until => {
                gateway.phase = VoterPhase::Granting;
                gateway.reports.clear();
                gateway.poll_messages(now)
            }
            Some(InjectedBug::OverlappingLeases) => {
                // The voter forgets its last lease and ignores the scheduled content until it starts.
                gateway.granted_until = 0;
                let hidden = gateway.next.take_if(|next| now < next.start);
                let messages = gateway.poll_messages(now);
                gateway.next = gateway.next.or(hidden);
                messages
            }
            _ => gateway.poll_messages(now),
        }
    }

    fn evaluate_all(&self, state: &mut State) {
        let now = state.now;
        for (at, gateway) in state.gateways.iter_mut().enumerate() {
            let local = self.local_time(now, at);
            self.evaluate(gateway, local);
            discard_past(&mut gateway.state, local);
        }
        let slowest_offset = self.clock_offsets.iter().min().copied().unwrap_or(0);
        let slowest_time = now.saturating_add_signed(slowest_offset);
        state.messages.retain(|message| {
            message.lease.until > slowest_time
                || message.lease.from == message.lease.until && message.sent >= slowest_time
        });
        let acts = |gateway: &Gateway| {
            gateway.state().mode() == Mode::Confirmed && gateway.state().content().version == NEW_VERSION
        };
        if state.new_since.is_none() && state.gateways.iter().any(acts) {
            state.new_since = Some(now);
        }
    }
}

impl Model for FleetModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        // One state for each subset of gateways that got the new version two lease durations ahead of its start. Leases
        // granted more than one duration ahead expire by the start, so the model begins there.
        let informed_state = |informed: usize| {
            let gateway = |at: usize| {
                let mut gateway = self.gateway(at, at as u32, 0, content(OLD_VERSION, 1), 0);
                gateway.state.phase = VoterPhase::Granting; // as after a long time in service
                if informed & 1 << at != 0 {
                    let now = self.local_time(START - 2 * self.lease, at);
                    offer(&mut gateway, now, content(NEW_VERSION, self.new_digests[at]), START);
                }
                gateway
            };
            let (messages, incarnations) = (BTreeSet::new(), GATEWAYS as u32);
            let gateways = (0..GATEWAYS).map(gateway).collect();
            State { now: START - self.lease, gateways, messages, restarts: 0, incarnations, new_since: None }
        };
        (0..1 << GATEWAYS).map(informed_state).collect()
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < START + self.horizon {
            actions.push(Action::Tick);
        }
        for (at, gateway) in state.gateways.iter().map(Gateway::state).enumerate() {
            let may_arrive = state.now < START - self.lease + self.late_steps;
            if may_arrive
                && gateway.content().version == OLD_VERSION
                && gateway.scheduled().is_none()
                && gateway.dropped.is_none()
            {
                actions.push(Action::DeliverVersion(at));
            }
            if gateway.next_message_at <= self.local_time(state.now, at) {
                actions.push(Action::Send(at));
            }
            let others = state.messages.iter().filter(|message| message.gateway != at as u32);
            actions.extend(others.map(|message| Action::Receive(at, *message)));
            // All gateways are alike, so only the first one restarts.
            if state.restarts < self.restarts && at == 0 {
                actions.extend([Action::Restart(at, false), Action::Restart(at, true)]);
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Tick => state.now += 1,
            Action::DeliverVersion(at) => {
                let now = self.local_time(state.now, at);
                offer(&mut state.gateways[at], now, content(NEW_VERSION, self.new_digests[at]), START);
            }
            Action::Send(at) => {
                let now = self.local_time(state.now, at);
                let messages = self.poll_messages(&mut state.gateways[at].state, now);
                // Messages about a content that is only held have an effect only if the contents differ.
                let differ = self.new_digests.iter().any(|digest| *digest != self.new_digests[0]);
                state.messages.extend(
                    messages.into_iter().filter(|message| differ || message.kind != MessageKind::Holding),
                );
            }
            Action::Receive(at, message) => {
                let now = self.local_time(state.now, at);
                state.gateways[at].receive(now, &message);
            }
            Action::Restart(at, newer) => {
                let now = self.local_time(state.now, at);
                let (version, digest, start) =
                    if newer { (NEW_VERSION, self.new_digests[at], START) } else { (OLD_VERSION, 1, 0) };
                state.gateways[at] =
                    self.gateway(at, state.incarnations, now, content(version, digest), start);
                state.restarts += 1;
                state.incarnations += 1;
            }
        }
        self.evaluate_all(&mut state);
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("contradictions end within the bound", |model: &FleetModel, state: &State| {
                let confirmed: BTreeSet<ContentId> = state
                    .gateways
                    .iter()
                    .map(Gateway::state)
                    .filter(|gateway| gateway.mode() == Mode::Confirmed)
                    .map(Agreement::content)
                    .collect();
                let new: BTreeSet<&ContentId> =
                    confirmed.iter().filter(|content| content.version == NEW_VERSION).collect();
                let old = confirmed.iter().any(|content| content.version == OLD_VERSION);
                let late = state
                    .new_since
                    .is_some_and(|since| state.now > since + model.config().contradiction_bound());
                let both_confirmed = old && !new.is_empty() && model.config().contradiction_bound() == 0;
                new.len() <= 1 && !both_confirmed && !(old && late)
            }),
            Property::always("a gateway acts on what it says", |_, state: &State| {
                state.gateways.iter().all(|gateway| *gateway.current() == gateway.state().content())
            }),
            Property::sometimes("all act on the new version", |_, state: &State| {
                let new = |gateway: &Agreement| {
                    gateway.mode() == Mode::Confirmed && gateway.content().version == NEW_VERSION
                };
                state.gateways.iter().map(Gateway::state).all(new)
            }),
            Property::sometimes(
                "one gateway is on its fallback while another acts on the new version",
                |_, state: &State| {
                    let is_in = |mode| move |gateway: &Agreement| gateway.mode() == mode;
                    state.new_since.is_some()
                        && state.gateways.iter().map(Gateway::state).any(is_in(Mode::Fallback))
                        && state.gateways.iter().map(Gateway::state).any(is_in(Mode::Confirmed))
                },
            ),
        ]
    }
}

/// Drops state that has no effect any more, so that executions that differ only there share one state.
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

fn model() -> FleetModel {
    FleetModel {
        lease: 2,
        horizon: 2,
        restarts: 0,
        late_steps: 0,
        new_digests: [1; 3],
        clock_offsets: [0; 3],
        max_clock_error: 0,
        bug: None,
    }
}

/// Checks all executions of a model: whether the bound held and each gateway acted on what it says, and whether all gateways came to act on the new version in any.
fn check(name: &str, model: FleetModel) -> (bool, bool) {
    let started = std::time::Instant::now();
    let checker = model.checker().threads(4).spawn_bfs().join();
    let violation = checker.discovery("contradictions end within the bound");
    if let Some(path) = &violation {
        println!("{:#?}", path.clone().into_actions());
    }
    let acts_on_other = checker.discovery("a gateway acts on what it says");
    if let Some(path) = &acts_on_other {
        println!("{:#?}", path.clone().into_actions());
    }
    let bound_held = violation.is_none() && acts_on_other.is_none();
    let all_updated = checker.discovery("all act on the new version").is_some();
    println!("{name}: {} states, {:.1} s", checker.unique_state_count(), started.elapsed().as_secs_f64());
    (bound_held, all_updated)
}

#[test]
fn contradictions_stay_within_the_bound_if_messages_are_lost_or_late() {
    assert_eq!(check("messages lost or late", model()), (true, true));
}

#[test]
fn contradictions_stay_within_the_bound_if_the_new_version_arrives_late() {
    assert_eq!(
        check("new version late", FleetModel { lease: 1, horizon: 3, late_steps: 3, ..model() }),
        (true, true)
    );
}

#[test]
fn contradictions_stay_within_the_bound_if_a_gateway_restarts_with_either_version() {
    assert!(check("restart", FleetModel { lease: 1, horizon: 3, restarts: 1, ..model() }).0);
}

#[test]
fn contradictions_stay_within_the_bound_if_two_contents_have_one_version() {
    assert!(check("two contents", FleetModel { lease: 1, new_digests: [1, 1, 2], ..model() }).0);
}

#[test]
fn contradictions_stay_within_the_bound_if_clocks_are_off() {
    for clock_offsets in [[0, 0, -1], [0, 1, 0], [1, 0, -1]] {
        assert!(
            check(
                "clocks off",
                FleetModel { lease: 1, clock_offsets, max_clock_error: 1, horizon: 3, ..model() }
            )
            .0,
            "{clock_offsets:?}"
        );
    }
}

/// An event at a gateway that started on the wrong content of a version that has not begun.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ReplacementEvent {
    ThirdVersionOffered,
    /// Another gateway's message names the other content of the version.
    OtherContentNamed,
    Evaluated,
}

/// What a gateway says and what it acts on at the end of these events, once the third version is confirmed. With
/// `drops_settings`, a bug is injected: the scheduled settings are dropped with every content that is dropped.
fn replace_version(events: &[ReplacementEvent], drops_settings: bool) -> (ContentId, ContentId) {
    const THIRD_START: u64 = 4;
    let config = AgreementConfig { voters: [1].into(), lease_duration: 1, max_clock_error: 0 };
    let wrong = content(NEW_VERSION, 2);
    let mut gateway = VersionedAgreement::new(Agreement::new(config, Some(0), 0, 0, wrong, START), wrong);
    let message = |kind, content, until| LeaseMessage {
        gateway: 1,
        incarnation: 1,
        sent: 0,
        kind,
        lease: Lease { content, from: 0, until },
    };
    for event in events {
        match event {
            ReplacementEvent::ThirdVersionOffered => {
                offer(&mut gateway, 0, content(THIRD_VERSION, 1), THIRD_START)
            }
            ReplacementEvent::OtherContentNamed => {
                let receipt = gateway.receive(0, &message(MessageKind::Holding, content(NEW_VERSION, 1), 0));
                if drops_settings && receipt == Receipt::TwoContents {
                    gateway.scheduled = None;
                }
            }
            ReplacementEvent::Evaluated => _ = gateway.evaluate(0),
        }
    }
    let lease = Lease { content: content(THIRD_VERSION, 1), from: THIRD_START, until: THIRD_START + 1 };
    let grant = LeaseMessage { sent: THIRD_START, lease, ..message(MessageKind::Grant, wrong, 0) };
    gateway.receive(THIRD_START, &grant);
    (gateway.evaluate(THIRD_START).content, *gateway.current())
}

/// Guards against a gateway that says that it acts on a version whose settings it has dropped.
#[test]
fn a_gateway_acts_on_what_it_says_if_a_version_with_two_contents_is_replaced() {
    use ReplacementEvent::{Evaluated, OtherContentNamed, ThirdVersionOffered};
    let third = content(THIRD_VERSION, 1);
    let events = [ThirdVersionOffered, OtherContentNamed, Evaluated];
    let mut bug_found = false;
    // All sequences of four events that hold the offer of the third version.
    for sequence in 0..events.len().pow(4) {
        let at = |index: u32| events[sequence / events.len().pow(index) % events.len()];
        let sequence: Vec<ReplacementEvent> = (0..4).map(at).collect();
        if !sequence.contains(&ThirdVersionOffered) {
            continue;
        }
        assert_eq!(replace_version(&sequence, false), (third, third), "{sequence:?}");
        let (said, acted_on) = replace_version(&sequence, true);
        bug_found |= said != acted_on;
    }
    assert!(bug_found, "the injected bug is not found");
}

#[test]
fn each_injected_bug_is_found() {
    for bug in [InjectedBug::SmallQuorum, InjectedBug::NeverFallsBack, InjectedBug::OverlappingLeases] {
        let model = FleetModel { bug: Some(bug), ..model() };
        assert!(!check(&format!("{bug:?}"), model).0, "{bug:?} is not found");
    }
    for bug in [InjectedBug::NoSilence, InjectedBug::NoRecovery] {
        let restarts = FleetModel { bug: Some(bug), lease: 1, horizon: 3, restarts: 1, ..model() };
        assert!(!check(&format!("{bug:?}"), restarts).0, "{bug:?} is not found");
    }
}
