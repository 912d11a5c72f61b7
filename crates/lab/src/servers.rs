//! The servers the gateways balance over: slots, log-normal service times, cold starts, slowdown, pauses, failures
//! and replacement. Free of I/O: the world asks, this answers with what happens and when.

use crate::scenario;
use crate::{Nanos, nanos};
use martenramp::host::DiscoveredServer;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

/// An attempt as a server holds it: whose it is, so that its end finds its way back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptRef {
    /// The gateway that sent it.
    pub gateway: u32,
    /// That gateway's incarnation.
    pub incarnation: u32,
    /// The RPC.
    pub rpc: u32,
    /// Which attempt of that RPC, from 0.
    pub number: u16,
}

/// What a server does with an attempt that reaches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// Nobody is there: the connection fails.
    Refused,
    /// All slots it bears now are taken.
    Full,
    /// Taken; done `after` from now, well or in an error.
    Serving {
        /// How long from now its answer takes.
        after: Nanos,
        /// Answered ok.
        ok: bool,
    },
    /// Taken but paused: it starts when the pause is over.
    Held,
}

/// A server as it stands.
pub struct Server {
    /// Its number.
    pub id: u32,
    /// Its zone.
    pub zone: u32,
    /// Each replacement is a new incarnation, with its own start time.
    pub incarnation: u32,
    /// When this incarnation started.
    pub started_at: Nanos,
    /// Whether it is there.
    pub up: bool,
    busy: u32,
    slow: f64,
    errors: f64,
    paused: bool,
    held: Vec<AttemptRef>,
}

/// All servers, and the chance that they draw from.
pub struct Servers {
    /// By their numbers.
    pub all: Vec<Server>,
    model: scenario::Servers,
    service: LogNormal<f64>,
    chance: ChaCha8Rng,
}

impl Servers {
    /// Servers that are all up and warm.
    pub fn new(model: &scenario::Servers, chance: ChaCha8Rng) -> Servers {
        let all = (0..model.count)
            .map(|id| Server {
                id,
                zone: id % model.zones,
                incarnation: 0,
                started_at: 0,
                up: true,
                busy: 0,
                slow: 1.0,
                errors: model.error_share,
                paused: false,
                held: Vec::new(),
            })
            .collect();
        let median = model.service_ms * 1e6;
        let service = LogNormal::new(median.ln(), model.service_sigma.max(0.0))
            .unwrap_or(LogNormal::new(0.0, 0.0).unwrap());
        Servers { all, model: model.clone(), service, chance }
    }

    /// Slots a server bears now: a share after its start, rising to all once warm. A first incarnation is warm.
    pub fn slots(&self, server: u32, now: Nanos) -> u32 {
        let server = &self.all[server as usize];
        let warm = nanos(self.model.cold_seconds);
        let since = now.saturating_sub(server.started_at);
        if server.incarnation == 0 || warm == 0 || since >= warm {
            return self.model.slots;
        }
        let share = self.model.cold_share + (1.0 - self.model.cold_share) * since as f64 / warm as f64;
        ((f64::from(self.model.slots) * share).floor() as u32).max(1)
    }

    /// An attempt of this incarnation of a server reaches the server.
    pub fn accept(&mut self, now: Nanos, server: u32, incarnation: u32, attempt: AttemptRef) -> Disposition {
        let slots = self.slots(server, now);
        let at = &mut self.all[server as usize];
        if !at.up || at.incarnation != incarnation {
            return Disposition::Refused;
        }
        if at.busy >= slots {
            return Disposition::Full;
        }
        at.busy += 1;
        if at.paused {
            at.held.push(attempt);
            return Disposition::Held;
        }
        let (slow, errors) = (at.slow, at.errors);
        self.serve(slow, errors)
    }

    fn serve(&mut self, slow: f64, errors: f64) -> Disposition {
        let after = (self.service.sample(&mut self.chance) * slow).max(1.0) as Nanos;
        Disposition::Serving { after, ok: self.chance.random::<f64>() >= errors }
    }

    /// An attempt is over at the server; one of an earlier incarnation frees nothing.
    pub fn release_slot(&mut self, server: u32, incarnation: u32) {
        let at = &mut self.all[server as usize];
        if at.incarnation == incarnation {
            at.busy = at.busy.saturating_sub(1);
        }
    }

    /// A new incarnation: the server starts again cold; what it held is gone.
    pub fn replace(&mut self, server: u32, now: Nanos) {
        let at = &mut self.all[server as usize];
        (at.incarnation, at.started_at, at.up, at.busy, at.paused) =
            (at.incarnation + 1, now, true, 0, false);
        at.held.clear();
    }

    /// The server is gone with all that it held.
    pub fn take_down(&mut self, server: u32) {
        let at = &mut self.all[server as usize];
        (at.up, at.busy) = (false, 0);
        at.held.clear();
    }

    /// From now on it serves so many times slower.
    pub fn set_slow_factor(&mut self, server: u32, factor: f64) {
        self.all[server as usize].slow = factor.max(0.0);
    }

    /// From now on this share of its attempts ends in errors.
    pub fn set_error_share(&mut self, server: u32, share: f64) {
        self.all[server as usize].errors = share.clamp(0.0, 1.0);
    }

    /// The share of attempts that ends in errors when nothing is wrong.
    pub fn base_error_share(&self) -> f64 {
        self.model.error_share
    }

    /// From now on it holds what comes and serves nothing.
    pub fn pause(&mut self, server: u32) {
        self.all[server as usize].paused = true;
    }

    /// The pause is over: what was held is served now, each with when it ends.
    pub fn resume(&mut self, server: u32) -> Vec<(AttemptRef, Disposition)> {
        let at = &mut self.all[server as usize];
        at.paused = false;
        let (held, slow, errors) = (std::mem::take(&mut at.held), at.slow, at.errors);
        held.into_iter().map(|attempt| (attempt, self.serve(slow, errors))).collect()
    }

    /// The list as discovery has it now.
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
