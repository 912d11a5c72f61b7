//! What a fault of the scenario asks for: steps, each at its time.

use super::Fleet;
use crate::scenario::{Fault, Wire};
use crate::{Nanos, nanos};
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use standins::counter::State;
use standins::discovery::Mode;
use standins::relay::{Faults, Gate, Path as Way};
use standins::servers::Health;

/// A thing to do at a time.
pub(super) enum Step {
    Signal(Vec<usize>, Signal),
    Start(Vec<usize>),
    Grow(usize, f64),
    Place,
    Replace(usize, Nanos),
    Join,
    Leave,
    Gone(usize),
    Health(Vec<usize>, Health),
    List(Vec<usize>, &'static str),
    Agents(Vec<usize>, Mode, u64),
    Counter(State),
    Empty,
    Burst(f64),
    Wire(Vec<usize>, Faults),
}

impl Fleet<'_> {
    /// What a fault asks for, with times after the warm-up.
    pub(super) fn steps(&self, fault: &Fault, number: usize, draws: &mut ChaCha8Rng) -> Vec<(Nanos, Step)> {
        let mut some = |count: usize, share: f64| -> Vec<usize> {
            let mut all: Vec<usize> = (0..count).collect();
            all.shuffle(draws);
            all.truncate((count as f64 * share).round() as usize);
            all.sort_unstable();
            all
        };
        let (gateways, servers) = (self.gateways.len(), self.listed.len());
        let health = |which: Vec<usize>, at: f64, seconds: f64, health: Health| {
            vec![
                (nanos(at), Step::Health(which.clone(), health)),
                (nanos(at + seconds), Step::Health(which, Health::Well)),
            ]
        };
        let agents = |which: Vec<usize>, at: f64, seconds: f64, mode: Mode, back: u64| {
            vec![
                (nanos(at), Step::Agents(which.clone(), mode, back)),
                (nanos(at + seconds), Step::Agents(which, Mode::Late(0), 0)),
            ]
        };
        match fault {
            Fault::Kill { at, share, back_after } | Fault::Term { at, share, back_after } => {
                let kills = matches!(fault, Fault::Kill { .. });
                let which = some(gateways, *share);
                let signal = if kills { Signal::KILL } else { Signal::TERM };
                let mut steps = vec![(nanos(*at), Step::Signal(which.clone(), signal))];
                steps.extend(back_after.map(|after| (nanos(at + after), Step::Start(which))));
                steps
            }
            Fault::Pause { at, share, seconds } => {
                let which = some(gateways, *share);
                vec![
                    (nanos(*at), Step::Signal(which.clone(), Signal::STOP)),
                    (nanos(at + seconds), Step::Signal(which, Signal::CONT)),
                ]
            }
            Fault::Grow { at, count, share } => vec![(nanos(*at), Step::Grow(*count, *share))],
            Fault::Replace { at, share, seconds, drain } => {
                let which = some(servers, *share);
                let gap = seconds / which.len().max(1) as f64;
                let each = which.into_iter().enumerate();
                each.map(|(nth, which)| (nanos(at + gap * nth as f64), Step::Replace(which, nanos(*drain))))
                    .collect()
            }
            Fault::Join { at } => vec![(nanos(*at), Step::Join)],
            Fault::Leave { at } => vec![(nanos(*at), Step::Leave)],
            Fault::ZoneDown { at, zone, seconds, told_after } => {
                let which: Vec<usize> = (0..servers).filter(|at| self.listed[*at].zone == *zone).collect();
                let mut steps = health(which.clone(), *at, *seconds, Health::Down);
                let told = told_after.filter(|after| after < seconds);
                steps.extend(told.map(|after| (nanos(at + after), Step::List(which.clone(), "gone"))));
                steps.push((nanos(at + seconds), Step::List(which, "ready")));
                steps
            }
            Fault::Slow { at, share, factor, seconds } => {
                health(some(servers, *share), *at, *seconds, Health::Slow(*factor))
            }
            Fault::FailsFast { at, share, seconds } => {
                health(some(servers, *share), *at, *seconds, Health::FailsFast)
            }
            Fault::Silent { at, share, seconds } => {
                health(some(servers, *share), *at, *seconds, Health::Silent)
            }
            Fault::ListLate { at, share, seconds, late } => {
                agents(some(gateways, *share), *at, *seconds, Mode::Late(nanos(*late)), 0)
            }
            Fault::ListStill { at, share, seconds } => {
                agents(some(gateways, *share), *at, *seconds, Mode::Still, 0)
            }
            Fault::ListBack { at, share, seconds, versions } => {
                agents(some(gateways, *share), *at, *seconds, Mode::Still, *versions)
            }
            Fault::DiscoveryDown { at, share, seconds } => {
                agents(some(gateways, *share), *at, *seconds, Mode::Down, 0)
            }
            Fault::CounterStall { at, seconds } | Fault::CounterDown { at, seconds } => {
                let stalls = matches!(fault, Fault::CounterStall { .. });
                let state = if stalls { State::Stalls } else { State::Down };
                vec![(nanos(*at), Step::Counter(state)), (nanos(at + seconds), Step::Counter(State::Serves))]
            }
            Fault::CounterEmpty { at } => vec![(nanos(*at), Step::Empty)],
            Fault::Burst { at, factor, seconds } => {
                vec![(nanos(*at), Step::Burst(*factor)), (nanos(at + seconds), Step::Burst(1.0))]
            }
            Fault::Link { at, seconds, wire, .. } => {
                let links = self.links_of.get(&number).cloned().unwrap_or_default();
                vec![
                    (nanos(*at), Step::Wire(links.clone(), faults(wire))),
                    (nanos(at + seconds), Step::Wire(links, Faults::default())),
                ]
            }
        }
    }
}

fn faults(wire: &Wire) -> Faults {
    let way = |cut: bool| Way { cut, delay: nanos(wire.delay_ms / 1e3), lose: wire.lose, ..Way::default() };
    let gate = match (wire.reset, wire.silent) {
        (true, _) => Gate::Resets,
        (_, true) => Gate::Silent,
        _ => Gate::Passes,
    };
    Faults { gate, there: way(wire.cut_there), back: way(wire.cut_back) }
}
