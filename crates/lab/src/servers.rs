//! The model of the servers: slots, log-normal service times, cold starts, slowdown, pauses, failures and
//! replacement. Free of I/O: it returns the outcome of an attempt and its time, and the caller schedules the events.

use crate::scenario;
use crate::{Nanos, nanos};
use martenramp::host::DiscoveredServer;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

/// Identifies an attempt, so that its result can be delivered to the gateway that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptRef {
    /// The gateway that sent the attempt.
    pub gateway: u32,
    /// That gateway's incarnation.
    pub incarnation: u32,
    /// The RPC.
    pub rpc: u32,
    /// The attempt's number among those of the RPC, from 0.
    pub number: u16,
}

/// How a server handles an attempt that reaches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// The connection is refused: this incarnation of the server is no longer running.
    Refused,
    /// All slots that the server currently has are in use.
    Full,
    /// The attempt is being served.
    Serving {
        /// The time until the server answers.
        after: Nanos,
        /// Whether the answer is ok or an error.
        ok: bool,
    },
    /// The attempt has a slot, and the paused server starts serving it at the end of the pause.
    Held,
}

/// A server and its current state.
pub struct Server {
    /// The server's number.
    pub id: u32,
    /// The server's zone.
    pub zone: u32,
    /// The number of the current incarnation, from 0. Each replacement starts a new one.
    pub incarnation: u32,
    /// When the current incarnation started.
    pub started_at: Nanos,
    /// Whether the server is running.
    pub up: bool,
    busy_slots: u32,
    slow_factor: f64,
    error_share: f64,
    paused: bool,
    held: Vec<AttemptRef>,
}

/// All servers and their random number generator.
pub struct Servers {
    /// The servers, indexed by their numbers.
    pub all: Vec<Server>,
    model: scenario::Servers,
    service: LogNormal<f64>,
    rng: ChaCha8Rng,
}

impl Servers {
    /// The servers of a scenario, all up and warm.
    pub fn new(model: &scenario::Servers, rng: ChaCha8Rng) -> Servers {
        let all = (0..model.count)
            .map(|id| Server {
                id,
                zone: id % model.zones,
                incarnation: 0,
                started_at: 0,
                up: true,
                busy_slots: 0,
                slow_factor: 1.0,
                error_share: model.error_share,
                paused: false,
                held: Vec::new(),
            })
            .collect();
        let median_nanos = model.service_ms * 1e6;
        let service = LogNormal::new(median_nanos.ln(), model.service_sigma.max(0.0))
            .unwrap_or(LogNormal::new(0.0, 0.0).unwrap());
        Servers { all, model: model.clone(), service, rng }
    }

    /// The slots that a server has now. After a replacement it has a share of them, which rises linearly to all during
    /// the warm-up. A first incarnation is warm from the start.
    pub fn slots(&self, server: u32, now: Nanos) -> u32 {
        let server = &self.all[server as usize];
        let warm_up = nanos(self.model.cold_seconds);
        let uptime = now.saturating_sub(server.started_at);
        if server.incarnation == 0 || warm_up == 0 || uptime >= warm_up {
            return self.model.slots;
        }
        let share = self.model.cold_share + (1.0 - self.model.cold_share) * uptime as f64 / warm_up as f64;
        ((f64::from(self.model.slots) * share).floor() as u32).max(1)
    }

    /// Handles an attempt that reaches a server. `incarnation` is that of the server to which it was sent.
    pub fn accept(&mut self, now: Nanos, server: u32, incarnation: u32, attempt: AttemptRef) -> Disposition {
        let slots = self.slots(server, now);
        let state = &mut self.all[server as usize];
        if !state.up || state.incarnation != incarnation {
            return Disposition::Refused;
        }
        if state.busy_slots >= slots {
            return Disposition::Full;
        }
        state.busy_slots += 1;
        if state.paused {
            state.held.push(attempt);
            return Disposition::Held;
        }
        let (slow_factor, error_share) = (state.slow_factor, state.error_share);
        self.serve(slow_factor, error_share)
    }

    fn serve(&mut self, slow_factor: f64, error_share: f64) -> Disposition {
        let after = (self.service.sample(&mut self.rng) * slow_factor).max(1.0) as Nanos;
        Disposition::Serving { after, ok: self.rng.random::<f64>() >= error_share }
    }

    /// Releases the slot of an attempt that the server has finished. Ignored for an earlier incarnation.
    pub fn release_slot(&mut self, server: u32, incarnation: u32) {
        let state = &mut self.all[server as usize];
        if state.incarnation == incarnation {
            state.busy_slots = state.busy_slots.saturating_sub(1);
        }
    }

    /// Starts a new, cold incarnation of the server. The attempts of the previous one are lost.
    pub fn replace(&mut self, server: u32, now: Nanos) {
        let state = &mut self.all[server as usize];
        (state.incarnation, state.started_at, state.up, state.busy_slots, state.paused) =
            (state.incarnation + 1, now, true, 0, false);
        state.held.clear();
    }

    /// Stops the server. Its attempts are lost.
    pub fn take_down(&mut self, server: u32) {
        let state = &mut self.all[server as usize];
        (state.up, state.busy_slots) = (false, 0);
        state.held.clear();
    }

    /// Multiplies the service times of the server by a factor from now on.
    pub fn set_slow_factor(&mut self, server: u32, factor: f64) {
        self.all[server as usize].slow_factor = factor.max(0.0);
    }

    /// Sets the share of the server's attempts that end in errors from now on.
    pub fn set_error_share(&mut self, server: u32, share: f64) {
        self.all[server as usize].error_share = share.clamp(0.0, 1.0);
    }

    /// The share of attempts that end in errors without a fault.
    pub fn base_error_share(&self) -> f64 {
        self.model.error_share
    }

    /// Pauses the server: it accepts attempts, up to its slots, but serves none of them.
    pub fn pause(&mut self, server: u32) {
        self.all[server as usize].paused = true;
    }

    /// Ends a pause and starts serving the held attempts. Returns how each of them ends.
    pub fn resume(&mut self, server: u32) -> Vec<(AttemptRef, Disposition)> {
        let state = &mut self.all[server as usize];
        state.paused = false;
        let (held, slow_factor, error_share) =
            (std::mem::take(&mut state.held), state.slow_factor, state.error_share);
        held.into_iter().map(|attempt| (attempt, self.serve(slow_factor, error_share))).collect()
    }

    /// The current list of servers, as discovery sends it to the gateways.
    pub fn discovery_list(&self) -> Vec<DiscoveredServer> {
        let entry = |server: &Server| DiscoveredServer {
            server: server.id,
            key: u64::from(server.id),
            zone: server.zone as u16,
            ready: server.up,
            weight: 1.0,
            started_at: server.started_at,
            ..DiscoveredServer::default()
        };
        self.all.iter().map(entry).collect()
    }
}

#[cfg(test)]
mod tests;
