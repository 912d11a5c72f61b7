//! The clients: open-loop arrivals for each customer and method, bursts, clients that give up early, and clients
//! that come again after a push-back or a cut connection. Free of I/O.

use crate::scenario::{self, Method, Plan, Scenario};
use crate::{Nanos, SEC, nanos};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

/// One customer's arrivals of one method.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The customer.
    pub customer: u64,
    /// By its place in the settings.
    pub method: u16,
    /// By its place in the settings.
    pub plan: u16,
    /// Units of the plan's quota for each RPC.
    pub units: f64,
    /// RPCs a second.
    pub rate: f64,
    /// The customer's gateways: `width` of them from `first` on, round the fleet.
    pub first: u32,
    /// Of how many gateways.
    pub width: u32,
}

/// All clients, and the chance that they draw from.
pub struct Clients {
    /// Each customer's arrivals of each method.
    pub streams: Vec<Stream>,
    model: scenario::Clients,
    /// All arrivals come so many times as often: 1 but in bursts.
    pub burst: f64,
    chance: ChaCha8Rng,
}

impl Clients {
    /// The clients of a scenario; each customer's gateways are drawn here.
    pub fn new(scenario: &Scenario, methods: &[Method], plans: &[Plan], mut chance: ChaCha8Rng) -> Clients {
        let mut streams = Vec::new();
        let mut customer = 0u64;
        for group in &scenario.customers {
            let plan = plans.iter().position(|plan| plan.name == group.plan).unwrap_or(0) as u16;
            for _ in 0..group.count {
                customer += 1;
                let first = chance.random_range(0..scenario.gateways);
                for load in &group.load {
                    let method = methods.iter().position(|method| method.name == load.method).unwrap_or(0);
                    let (units, rate, width) = (load.units, load.rate, group.gateways_per_customer);
                    streams.push(Stream { customer, method: method as u16, plan, units, rate, first, width });
                }
            }
        }
        Clients { streams, model: scenario.clients.clone(), burst: 1.0, chance }
    }

    /// The time until a stream's next arrival; none for a stream that never sends.
    pub fn gap(&mut self, stream: usize) -> Option<Nanos> {
        let rate = self.streams[stream].rate * self.burst;
        let exp = Exp::new(rate).ok().filter(|_| rate > 0.0)?;
        Some((exp.sample(&mut self.chance) * SEC as f64).max(1.0) as Nanos)
    }

    /// The gateway that a new connection of this stream reaches: one of its set drawn at random, or the next one in
    /// it that takes clients; none if none does.
    pub fn gateway(&mut self, stream: usize, takes: impl Fn(u32) -> bool, gateways: u32) -> Option<u32> {
        let Stream { first, width, .. } = self.streams[stream];
        let start = self.chance.random_range(0..width);
        (0..width).map(|at| (first + (start + at) % width) % gateways).find(|gateway| takes(*gateway))
    }

    /// When a client leaves before its deadline, if this one does.
    pub fn leave_delay(&mut self, deadline: Nanos) -> Option<Nanos> {
        let leaves = self.model.give_up_share > 0.0 && self.chance.random::<f64>() < self.model.give_up_share;
        leaves.then(|| self.chance.random_range(deadline / 10..=deadline / 2))
    }

    /// After a push-back or a cut: whether the client sends the RPC again, and after how long.
    pub fn retry_delay(&mut self, tries: u32, retry_after: Nanos) -> Option<Nanos> {
        let again = tries < self.model.max_retries && self.chance.random::<f64>() < self.model.retry_share;
        let after = if self.model.retry_immediately { nanos(0.001) } else { retry_after.max(nanos(0.05)) };
        again.then_some(after)
    }
}
