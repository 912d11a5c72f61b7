//! Translates the faults of a scenario into timed steps.

use super::Fleet;
use crate::scenario::{Fault, LinkEffect};
use crate::{Nanos, nanos};
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use standins::counter::State;
use standins::discovery::Mode;
use standins::relay::{AcceptMode, Faults, PathFaults};
use standins::servers::Health;

/// The platform sends SIGKILL no earlier than the longest deadline, capped at `MAX_DEADLINE_SECONDS`, plus
/// `KILL_GRACE_SECONDS` after SIGTERM.
const MAX_DEADLINE_SECONDS: f64 = 3.0;
const KILL_GRACE_SECONDS: f64 = 0.7;

/// An action on the fleet or on one of the stand-ins. Gateways, servers and links are given by index. The variants' debug
/// names are the keys under which a run counts its steps.
#[derive(Debug)]
pub(super) enum Step {
    Signal {
        gateways: Vec<usize>,
        signal: Signal,
    },
    /// Stops processes for this time, independently of the steps that follow.
    Pause {
        gateways: Vec<usize>,
        duration: Nanos,
    },
    /// Limits processes to this share of a core for this time.
    Throttle {
        gateways: Vec<usize>,
        duration: Nanos,
        core_share: f64,
    },
    /// Sends SIGKILL to processes that received SIGTERM at least `min_age` ago and still run.
    KillLate {
        gateways: Vec<usize>,
        min_age: Nanos,
    },
    Reload {
        gateways: Vec<usize>,
    },
    /// Starts the gateways whose processes have exited, and with `wait_for_exit` also those that have received SIGTERM,
    /// after waiting for their exit.
    Start {
        gateways: Vec<usize>,
        wait_for_exit: bool,
    },
    /// Starts `count` gateways and reloads a share of the existing ones with the larger fleet size.
    Grow {
        count: usize,
        share: f64,
    },
    /// Spreads the customers over the current number of gateways.
    PlaceCustomers,
    /// Drains a server and adds a new one.
    ReplaceServer {
        server: usize,
        drain_time: Nanos,
    },
    JoinServer,
    /// Drains the last server that is listed as ready.
    LeaveServer,
    ServerGone {
        server: usize,
    },
    ServerHealth {
        servers: Vec<usize>,
        health: Health,
    },
    ListServers {
        servers: Vec<usize>,
        status: &'static str,
    },
    Agents {
        agents: Vec<usize>,
        mode: Mode,
        versions_back: u64,
    },
    CounterState(State),
    EmptyCounter,
    Burst {
        factor: f64,
    },
    Crowd {
        rate: f64,
    },
    Links {
        links: Vec<usize>,
        faults: Faults,
    },
}

/// A step and the time at which it is due.
pub(super) struct TimedStep {
    pub(super) at: Nanos,
    pub(super) step: Step,
}

/// Creates a step that is due this many seconds after the warm-up.
fn step_at(seconds: f64, step: Step) -> TimedStep {
    TimedStep { at: nanos(seconds), step }
}

/// The time span of a fault, in seconds after the warm-up.
#[derive(Clone, Copy)]
struct Span {
    from: f64,
    until: f64,
}

impl Span {
    fn new(at: f64, seconds: f64) -> Span {
        Span { from: at, until: at + seconds }
    }

    /// Returns one step at the start of the span and one at its end.
    fn start_and_end(self, begin: Step, end: Step) -> Vec<TimedStep> {
        vec![step_at(self.from, begin), step_at(self.until, end)]
    }

    fn health(self, servers: Vec<usize>, health: Health) -> Vec<TimedStep> {
        let begin = Step::ServerHealth { servers: servers.clone(), health };
        self.start_and_end(begin, Step::ServerHealth { servers, health: Health::Well })
    }

    fn agents(self, agents: Vec<usize>, mode: Mode, versions_back: u64) -> Vec<TimedStep> {
        let begin = Step::Agents { agents: agents.clone(), mode, versions_back };
        self.start_and_end(begin, Step::Agents { agents, mode: Mode::Late(0), versions_back: 0 })
    }

    fn counter(self, state: State) -> Vec<TimedStep> {
        self.start_and_end(Step::CounterState(state), Step::CounterState(State::Serves))
    }
}

/// Draws a share of the indexes below `count`, in ascending order.
fn draw_sample(count: usize, share: f64, rng: &mut ChaCha8Rng) -> Vec<usize> {
    let mut indexes: Vec<usize> = (0..count).collect();
    indexes.shuffle(rng);
    indexes.truncate((count as f64 * share).round() as usize);
    indexes.sort_unstable();
    indexes
}

impl Fleet<'_> {
    /// Returns the steps of a fault, with times relative to the end of the warm-up.
    pub(super) fn plan_steps(
        &self,
        fault: &Fault,
        fault_index: usize,
        rng: &mut ChaCha8Rng,
    ) -> Vec<TimedStep> {
        let gateways = self.gateways.len();
        match fault {
            Fault::Kill { at, share, back_after } => {
                signal_and_restart(draw_sample(gateways, *share, rng), Signal::KILL, *at, *back_after)
            }
            Fault::Term { at, share, back_after } => {
                signal_and_restart(draw_sample(gateways, *share, rng), Signal::TERM, *at, *back_after)
            }
            Fault::Restart { at, share, back_after } => {
                let gateways = draw_sample(gateways, *share, rng);
                let kill_after =
                    self.scenario.longest_deadline().min(MAX_DEADLINE_SECONDS) + KILL_GRACE_SECONDS;
                let killed_at = at + kill_after;
                vec![
                    step_at(*at, Step::Signal { gateways: gateways.clone(), signal: Signal::TERM }),
                    step_at(
                        killed_at,
                        Step::KillLate { gateways: gateways.clone(), min_age: nanos(kill_after) },
                    ),
                    step_at(killed_at + back_after, Step::Start { gateways, wait_for_exit: false }),
                ]
            }
            Fault::SignalSeries { at, share, apart, back_after } => {
                let gateways = draw_sample(gateways, *share, rng);
                let term = || Step::Signal { gateways: gateways.clone(), signal: Signal::TERM };
                let reload = || Step::Reload { gateways: gateways.clone() };
                let kill_after =
                    self.scenario.longest_deadline().min(MAX_DEADLINE_SECONDS) + KILL_GRACE_SECONDS;
                let term_at = at + apart;
                let kill = Step::KillLate { gateways: gateways.clone(), min_age: nanos(kill_after) };
                let start = Step::Start { gateways: gateways.clone(), wait_for_exit: false };
                vec![
                    step_at(*at, reload()),
                    step_at(term_at, term()),
                    step_at(term_at + apart, term()),
                    step_at(term_at + 2.0 * apart, reload()),
                    step_at(term_at + kill_after, kill),
                    step_at(term_at + kill_after + back_after, start),
                ]
            }
            Fault::Flap { at, seconds, every } => {
                let servers = self.entries.len();
                let change = |index: usize| {
                    let status = if index.is_multiple_of(2) { "draining" } else { "ready" };
                    let step = Step::ListServers { servers: vec![index / 2 % servers], status };
                    step_at(at + index as f64 * every, step)
                };
                (0..(seconds / every) as usize).map(change).collect()
            }
            Fault::Crowd { at, seconds, rate } => {
                Span::new(*at, *seconds).start_and_end(Step::Crowd { rate: *rate }, Step::Crowd { rate: 0.0 })
            }
            Fault::Reload { at, share } => {
                vec![step_at(*at, Step::Reload { gateways: draw_sample(gateways, *share, rng) })]
            }
            Fault::Pause { at, share, seconds } => {
                let gateways = draw_sample(gateways, *share, rng);
                vec![step_at(*at, Step::Pause { gateways, duration: nanos(*seconds) })]
            }
            Fault::Throttle { at, share, seconds, core } => {
                let gateways = draw_sample(gateways, *share, rng);
                vec![step_at(*at, Step::Throttle { gateways, duration: nanos(*seconds), core_share: *core })]
            }
            Fault::Grow { at, count, share } => {
                vec![step_at(*at, Step::Grow { count: *count, share: *share })]
            }
            Fault::Burst { at, factor, seconds } => Span::new(*at, *seconds)
                .start_and_end(Step::Burst { factor: *factor }, Step::Burst { factor: 1.0 }),
            Fault::Link { at, seconds, wire, .. } => {
                let links = self.links_by_fault.get(&fault_index).cloned().unwrap_or_default();
                let begin = Step::Links { links: links.clone(), faults: relay_faults(wire) };
                let end = Step::Links { links, faults: Faults::default() };
                Span::new(*at, *seconds).start_and_end(begin, end)
            }
            Fault::CounterStall { at, seconds } => Span::new(*at, *seconds).counter(State::Stalls),
            Fault::CounterDown { at, seconds } => Span::new(*at, *seconds).counter(State::Down),
            Fault::CounterEmpty { at } => vec![step_at(*at, Step::EmptyCounter)],
            Fault::ListLate { .. }
            | Fault::ListStill { .. }
            | Fault::ListBack { .. }
            | Fault::DiscoveryDown { .. } => self.discovery_steps(fault, rng),
            Fault::Replace { .. }
            | Fault::Join { .. }
            | Fault::Leave { .. }
            | Fault::ZoneDown { .. }
            | Fault::Slow { .. }
            | Fault::FailsFast { .. }
            | Fault::Silent { .. } => self.server_steps(fault, rng),
        }
    }

    /// Returns the steps of a discovery fault.
    fn discovery_steps(&self, fault: &Fault, rng: &mut ChaCha8Rng) -> Vec<TimedStep> {
        let (at, share, seconds, mode, versions_back) = match fault {
            Fault::ListLate { at, share, seconds, late } => {
                (*at, *share, *seconds, Mode::Late(nanos(*late)), 0)
            }
            Fault::ListStill { at, share, seconds } => (*at, *share, *seconds, Mode::Still, 0),
            Fault::ListBack { at, share, seconds, versions } => {
                (*at, *share, *seconds, Mode::Still, *versions)
            }
            Fault::DiscoveryDown { at, share, seconds } => (*at, *share, *seconds, Mode::Down, 0),
            _ => return Vec::new(),
        };
        let agents = draw_sample(self.gateways.len(), share, rng);
        Span::new(at, seconds).agents(agents, mode, versions_back)
    }

    /// Returns the steps of a fault of the servers.
    fn server_steps(&self, fault: &Fault, rng: &mut ChaCha8Rng) -> Vec<TimedStep> {
        let servers = self.entries.len();
        match fault {
            Fault::Replace { at, share, seconds, drain } => {
                let replaced = draw_sample(servers, *share, rng);
                let gap = seconds / replaced.len().max(1) as f64;
                let replace = |server| Step::ReplaceServer { server, drain_time: nanos(*drain) };
                let each = replaced.into_iter().enumerate();
                each.map(|(index, server)| step_at(at + gap * index as f64, replace(server))).collect()
            }
            Fault::Join { at } => vec![step_at(*at, Step::JoinServer)],
            Fault::Leave { at } => vec![step_at(*at, Step::LeaveServer)],
            Fault::ZoneDown { at, zone, seconds, told_after } => {
                let servers: Vec<usize> = (0..servers).filter(|at| self.entries[*at].zone == *zone).collect();
                let list = |status| Step::ListServers { servers: servers.clone(), status };
                let mut steps = Span::new(*at, *seconds).health(servers.clone(), Health::Down);
                let listed_gone = told_after.filter(|after| after < seconds);
                steps.extend(listed_gone.map(|after| step_at(at + after, list("gone"))));
                steps.push(step_at(at + seconds, list("ready")));
                steps
            }
            Fault::Slow { at, share, factor, seconds } => {
                Span::new(*at, *seconds).health(draw_sample(servers, *share, rng), Health::Slow(*factor))
            }
            Fault::FailsFast { at, share, seconds } => {
                Span::new(*at, *seconds).health(draw_sample(servers, *share, rng), Health::FailsFast)
            }
            Fault::Silent { at, share, seconds } => {
                Span::new(*at, *seconds).health(draw_sample(servers, *share, rng), Health::Silent)
            }
            _ => Vec::new(),
        }
    }
}

/// Returns the steps that send a signal to gateways and, after `back_after` seconds if given, start them again.
fn signal_and_restart(
    gateways: Vec<usize>,
    signal: Signal,
    at: f64,
    back_after: Option<f64>,
) -> Vec<TimedStep> {
    let mut steps = vec![step_at(at, Step::Signal { gateways: gateways.clone(), signal })];
    let wait_for_exit = signal == Signal::TERM;
    steps.extend(back_after.map(|after| step_at(at + after, Step::Start { gateways, wait_for_exit })));
    steps
}

/// Converts a link effect of the scenario into the faults of a relay.
fn relay_faults(effect: &LinkEffect) -> Faults {
    let path = |cut: bool| PathFaults {
        cut,
        delay: nanos(effect.delay_ms / 1e3),
        loss: effect.lose,
        ..PathFaults::default()
    };
    let accept = match (effect.reset, effect.silent) {
        (true, _) => AcceptMode::Reset,
        (_, true) => AcceptMode::Discard,
        _ => AcceptMode::Forward,
    };
    Faults { accept, to_target: path(effect.cut_there), from_target: path(effect.cut_back) }
}
