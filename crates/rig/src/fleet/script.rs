//! What a fault of the scenario asks for: steps, each at its time.

use super::Fleet;
use crate::scenario::{Fault, LinkEffect};
use crate::{Nanos, nanos};
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use standins::counter::State;
use standins::discovery::Mode;
use standins::relay::{AcceptMode, Faults, PathFaults as Way};
use standins::servers::Health;

/// The platform kills a process no sooner after SIGTERM than the longest deadline, of which so much counts, and this grace;
/// seconds.
const DEADLINE_MOST: f64 = 3.0;
const KILL_GRACE: f64 = 0.7;

/// A thing to do to the fleet or to who it speaks with. Gateways, servers and links go by their numbers.
#[derive(Debug)]
pub(super) enum Step {
    Signal {
        gateways: Vec<usize>,
        signal: Signal,
    },
    /// Processes stand still for so long, whatever the script does meanwhile.
    Pause {
        gateways: Vec<usize>,
        time: Nanos,
    },
    /// Processes have this part of a core for so long.
    Throttle {
        gateways: Vec<usize>,
        time: Nanos,
        core: f64,
    },
    /// SIGKILL for those that were told to end and still run.
    KillLate {
        gateways: Vec<usize>,
        after: Nanos,
    },
    Reload {
        gateways: Vec<usize>,
    },
    /// Starts processes that have ended, or (`awaits_end`) that were told to, once they have.
    Start {
        gateways: Vec<usize>,
        awaits_end: bool,
    },
    Grow {
        count: usize,
        share: f64,
    },
    PlaceCustomers,
    ReplaceServer {
        server: usize,
        drain: Nanos,
    },
    JoinServer,
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

/// A step and its time.
pub(super) struct TimedStep {
    pub(super) at: Nanos,
    pub(super) step: Step,
}

/// A step at so many seconds after the warm-up.
fn step_at(seconds: f64, step: Step) -> TimedStep {
    TimedStep { at: nanos(seconds), step }
}

/// The time over which a fault holds, seconds after the warm-up.
#[derive(Clone, Copy)]
struct Span {
    from: f64,
    until: f64,
}

impl Span {
    fn new(at: f64, seconds: f64) -> Span {
        Span { from: at, until: at + seconds }
    }

    /// One step at the beginning, another at the end.
    fn steps(self, begin: Step, end: Step) -> Vec<TimedStep> {
        vec![step_at(self.from, begin), step_at(self.until, end)]
    }

    fn health(self, servers: Vec<usize>, health: Health) -> Vec<TimedStep> {
        let begin = Step::ServerHealth { servers: servers.clone(), health };
        self.steps(begin, Step::ServerHealth { servers, health: Health::Well })
    }

    fn agents(self, agents: Vec<usize>, mode: Mode, versions_back: u64) -> Vec<TimedStep> {
        let begin = Step::Agents { agents: agents.clone(), mode, versions_back };
        self.steps(begin, Step::Agents { agents, mode: Mode::Late(0), versions_back: 0 })
    }

    fn counter(self, state: State) -> Vec<TimedStep> {
        self.steps(Step::CounterState(state), Step::CounterState(State::Serves))
    }
}

/// A share of so many, drawn; in order of number.
fn drawn(count: usize, share: f64, draws: &mut ChaCha8Rng) -> Vec<usize> {
    let mut all: Vec<usize> = (0..count).collect();
    all.shuffle(draws);
    all.truncate((count as f64 * share).round() as usize);
    all.sort_unstable();
    all
}

impl Fleet<'_> {
    /// What a fault asks for, with times after the warm-up.
    pub(super) fn steps(&self, fault: &Fault, number: usize, draws: &mut ChaCha8Rng) -> Vec<TimedStep> {
        let gateways = self.gateways.len();
        match fault {
            Fault::Kill { at, share, back_after } => {
                end_gateways(drawn(gateways, *share, draws), Signal::KILL, *at, *back_after)
            }
            Fault::Term { at, share, back_after } => {
                end_gateways(drawn(gateways, *share, draws), Signal::TERM, *at, *back_after)
            }
            Fault::Restart { at, share, back_after } => {
                let gateways = drawn(gateways, *share, draws);
                let after = self.scenario.longest_deadline().min(DEADLINE_MOST) + KILL_GRACE;
                let killed_at = at + after;
                vec![
                    step_at(*at, Step::Signal { gateways: gateways.clone(), signal: Signal::TERM }),
                    step_at(killed_at, Step::KillLate { gateways: gateways.clone(), after: nanos(after) }),
                    step_at(killed_at + back_after, Step::Start { gateways, awaits_end: false }),
                ]
            }
            Fault::SignalSeries { at, share, apart, back_after } => {
                let gateways = drawn(gateways, *share, draws);
                let term = || Step::Signal { gateways: gateways.clone(), signal: Signal::TERM };
                let reload = || Step::Reload { gateways: gateways.clone() };
                let after = self.scenario.longest_deadline().min(DEADLINE_MOST) + KILL_GRACE;
                let told_at = at + apart;
                let kill = Step::KillLate { gateways: gateways.clone(), after: nanos(after) };
                let start = Step::Start { gateways: gateways.clone(), awaits_end: false };
                vec![
                    step_at(*at, reload()),
                    step_at(told_at, term()),
                    step_at(told_at + apart, term()),
                    step_at(told_at + 2.0 * apart, reload()),
                    step_at(told_at + after, kill),
                    step_at(told_at + after + back_after, start),
                ]
            }
            Fault::Flap { at, seconds, every } => {
                let servers = self.listed.len();
                let flap = |nth: usize| {
                    let status = if nth.is_multiple_of(2) { "draining" } else { "ready" };
                    let step = Step::ListServers { servers: vec![nth / 2 % servers], status };
                    step_at(at + nth as f64 * every, step)
                };
                (0..(seconds / every) as usize).map(flap).collect()
            }
            Fault::Crowd { at, seconds, rate } => {
                Span::new(*at, *seconds).steps(Step::Crowd { rate: *rate }, Step::Crowd { rate: 0.0 })
            }
            Fault::Reload { at, share } => {
                vec![step_at(*at, Step::Reload { gateways: drawn(gateways, *share, draws) })]
            }
            Fault::Pause { at, share, seconds } => {
                let gateways = drawn(gateways, *share, draws);
                vec![step_at(*at, Step::Pause { gateways, time: nanos(*seconds) })]
            }
            Fault::Throttle { at, share, seconds, core } => {
                let gateways = drawn(gateways, *share, draws);
                vec![step_at(*at, Step::Throttle { gateways, time: nanos(*seconds), core: *core })]
            }
            Fault::Grow { at, count, share } => {
                vec![step_at(*at, Step::Grow { count: *count, share: *share })]
            }
            Fault::Burst { at, factor, seconds } => {
                Span::new(*at, *seconds).steps(Step::Burst { factor: *factor }, Step::Burst { factor: 1.0 })
            }
            Fault::Link { at, seconds, wire, .. } => {
                let links = self.links_of.get(&number).cloned().unwrap_or_default();
                let begin = Step::Links { links: links.clone(), faults: faults(wire) };
                let end = Step::Links { links, faults: Faults::default() };
                Span::new(*at, *seconds).steps(begin, end)
            }
            Fault::CounterStall { at, seconds } => Span::new(*at, *seconds).counter(State::Stalls),
            Fault::CounterDown { at, seconds } => Span::new(*at, *seconds).counter(State::Down),
            Fault::CounterEmpty { at } => vec![step_at(*at, Step::EmptyCounter)],
            Fault::ListLate { .. }
            | Fault::ListStill { .. }
            | Fault::ListBack { .. }
            | Fault::DiscoveryDown { .. } => self.discovery_steps(fault, draws),
            Fault::Replace { .. }
            | Fault::Join { .. }
            | Fault::Leave { .. }
            | Fault::ZoneDown { .. }
            | Fault::Slow { .. }
            | Fault::FailsFast { .. }
            | Fault::Silent { .. } => self.server_steps(fault, draws),
        }
    }

    /// What a fault of discovery asks for.
    fn discovery_steps(&self, fault: &Fault, draws: &mut ChaCha8Rng) -> Vec<TimedStep> {
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
        let agents = drawn(self.gateways.len(), share, draws);
        Span::new(at, seconds).agents(agents, mode, versions_back)
    }

    /// What a fault of the servers asks for.
    fn server_steps(&self, fault: &Fault, draws: &mut ChaCha8Rng) -> Vec<TimedStep> {
        let servers = self.listed.len();
        match fault {
            Fault::Replace { at, share, seconds, drain } => {
                let replaced = drawn(servers, *share, draws);
                let gap = seconds / replaced.len().max(1) as f64;
                let replace = |server| Step::ReplaceServer { server, drain: nanos(*drain) };
                let each = replaced.into_iter().enumerate();
                each.map(|(nth, server)| step_at(at + gap * nth as f64, replace(server))).collect()
            }
            Fault::Join { at } => vec![step_at(*at, Step::JoinServer)],
            Fault::Leave { at } => vec![step_at(*at, Step::LeaveServer)],
            Fault::ZoneDown { at, zone, seconds, told_after } => {
                let servers: Vec<usize> = (0..servers).filter(|at| self.listed[*at].zone == *zone).collect();
                let list = |status| Step::ListServers { servers: servers.clone(), status };
                let mut steps = Span::new(*at, *seconds).health(servers.clone(), Health::Down);
                let told = told_after.filter(|after| after < seconds);
                steps.extend(told.map(|after| step_at(at + after, list("gone"))));
                steps.push(step_at(at + seconds, list("ready")));
                steps
            }
            Fault::Slow { at, share, factor, seconds } => {
                Span::new(*at, *seconds).health(drawn(servers, *share, draws), Health::Slow(*factor))
            }
            Fault::FailsFast { at, share, seconds } => {
                Span::new(*at, *seconds).health(drawn(servers, *share, draws), Health::FailsFast)
            }
            Fault::Silent { at, share, seconds } => {
                Span::new(*at, *seconds).health(drawn(servers, *share, draws), Health::Silent)
            }
            _ => Vec::new(),
        }
    }
}

fn end_gateways(gateways: Vec<usize>, signal: Signal, at: f64, back_after: Option<f64>) -> Vec<TimedStep> {
    let mut steps = vec![step_at(at, Step::Signal { gateways: gateways.clone(), signal })];
    let awaits_end = signal == Signal::TERM;
    steps.extend(back_after.map(|after| step_at(at + after, Step::Start { gateways, awaits_end })));
    steps
}

/// The faults that a link of the scenario puts on what passes it.
fn faults(wire: &LinkEffect) -> Faults {
    let way = |cut: bool| Way { cut, delay: nanos(wire.delay_ms / 1e3), loss: wire.lose, ..Way::default() };
    let gate = match (wire.reset, wire.silent) {
        (true, _) => AcceptMode::Reset,
        (_, true) => AcceptMode::Discard,
        _ => AcceptMode::Forward,
    };
    Faults { accept: gate, to_target: way(wire.cut_there), from_target: way(wire.cut_back) }
}
