//! The lifecycle of a gateway: up, draining after SIGTERM, down. Each change of state is one function; a new incarnation starts a
//! new module with nothing of the old. Free of I/O.

use crate::Nanos;

/// The phases of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes clients.
    Up,
    /// SIGTERM: no new clients; what it holds is answered until `until`, then it is gone.
    Draining {
        /// When it is gone.
        until: Nanos,
    },
    /// It is gone.
    Down,
}

#[derive(Clone, Copy, Debug)]
/// A gateway's phase, and which incarnation of it this is.
pub struct Lifecycle {
    /// The phase now.
    pub phase: Phase,
    /// Counts from 0; events of an earlier incarnation are ignored.
    pub incarnation: u32,
    /// The gateway's zone.
    pub zone: u32,
}

/// What a drain gives the gateway to answer what it holds, as `martenramp serve` does.
pub const DRAIN_TIME: Nanos = 500_000_000;

impl Lifecycle {
    /// A gateway that is up for the first time.
    pub fn new(zone: u32) -> Lifecycle {
        Lifecycle { phase: Phase::Up, incarnation: 0, zone }
    }

    /// Whether new clients reach it.
    pub fn accepts_clients(&self) -> bool {
        self.phase == Phase::Up
    }

    /// Whether it is there at all.
    pub fn is_running(&self) -> bool {
        self.phase != Phase::Down
    }

    /// Killed: gone at once, with all it held.
    pub fn kill(&mut self) {
        self.phase = Phase::Down;
    }

    /// SIGTERM: it takes no new clients from now on.
    pub fn drain(&mut self, now: Nanos) {
        if self.phase == Phase::Up {
            self.phase = Phase::Draining { until: now + DRAIN_TIME };
        }
    }

    /// The drain's time is over.
    pub fn stop(&mut self) {
        self.phase = Phase::Down;
    }

    /// Started again: a new incarnation.
    pub fn start(&mut self) {
        if self.phase == Phase::Down {
            (self.phase, self.incarnation) = (Phase::Up, self.incarnation + 1);
        }
    }
}

/// `share` of `count` things, drawn without repeats by the chance given; in order of number.
pub fn sample_share(count: u32, share: f64, chance: &mut impl rand::Rng) -> Vec<u32> {
    let want = ((f64::from(count) * share.clamp(0.0, 1.0)).round() as usize).min(count as usize);
    let mut picked = rand::seq::index::sample(chance, count as usize, want).into_vec();
    picked.sort_unstable();
    picked.into_iter().map(|at| at as u32).collect()
}
