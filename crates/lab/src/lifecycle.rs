//! The lifecycle of a gateway: up, draining after SIGTERM, down. Each transition has its own function, and each
//! incarnation starts with a new policy without any state of the previous one. Free of I/O.

use crate::Nanos;

/// The phases of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The gateway accepts clients.
    Up,
    /// The gateway received SIGTERM. It accepts no new clients and finishes its open RPCs.
    Draining {
        /// When the gateway exits.
        until: Nanos,
    },
    /// The gateway isn't running.
    Down,
}

#[derive(Clone, Copy, Debug)]
/// A gateway's phase, incarnation and zone.
pub struct Lifecycle {
    /// The current phase.
    pub phase: Phase,
    /// The number of the current incarnation, from 0. Events of an earlier incarnation are ignored.
    pub incarnation: u32,
    /// The gateway's zone.
    pub zone: u32,
}

/// How long a draining gateway has to finish its open RPCs, as in `martenramp serve`.
pub const DRAIN_TIME: Nanos = 500_000_000;

impl Lifecycle {
    /// A gateway that is up, in its first incarnation.
    pub fn new(zone: u32) -> Lifecycle {
        Lifecycle { phase: Phase::Up, incarnation: 0, zone }
    }

    /// Whether the gateway accepts new clients.
    pub fn accepts_clients(&self) -> bool {
        self.phase == Phase::Up
    }

    /// Whether the gateway is up or draining.
    pub fn is_running(&self) -> bool {
        self.phase != Phase::Down
    }

    /// The gateway is killed and loses all its open RPCs.
    pub fn kill(&mut self) {
        self.phase = Phase::Down;
    }

    /// The gateway receives SIGTERM and accepts no new clients from now on.
    pub fn drain(&mut self, now: Nanos) {
        if self.phase == Phase::Up {
            self.phase = Phase::Draining { until: now + DRAIN_TIME };
        }
    }

    /// The gateway exits at the end of its drain time.
    pub fn stop(&mut self) {
        self.phase = Phase::Down;
    }

    /// The gateway starts again, as a new incarnation.
    pub fn start(&mut self) {
        if self.phase == Phase::Down {
            (self.phase, self.incarnation) = (Phase::Up, self.incarnation + 1);
        }
    }
}

/// Draws a `share` of the numbers below `count` at random, without repeats, in ascending order.
pub fn sample_share(count: u32, share: f64, rng: &mut impl rand::Rng) -> Vec<u32> {
    let sample_size = ((f64::from(count) * share.clamp(0.0, 1.0)).round() as usize).min(count as usize);
    let mut sample = rand::seq::index::sample(rng, count as usize, sample_size).into_vec();
    sample.sort_unstable();
    sample.into_iter().map(|number| number as u32).collect()
}
