//! The client model: open-loop Poisson arrivals for each customer and method, bursts, clients that cancel early, and
//! clients that retry after a rejection or a lost connection. Free of I/O.

use crate::scenario::{self, Method, Plan, Scenario};
use crate::{Nanos, SEC, nanos};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

/// The arrivals of one method from one customer.
#[derive(Clone, Debug)]
pub struct ArrivalStream {
    /// The customer's number, from 1.
    pub customer: u64,
    /// The method's index in the settings.
    pub method: u16,
    /// The plan's index in the settings.
    pub plan: u16,
    /// Units of the plan's quota for each RPC.
    pub units: f64,
    /// RPCs a second.
    pub rate: f64,
    /// The first of the customer's gateways. The customer uses `width` consecutive gateways, wrapping round at the
    /// end of the fleet.
    pub first: u32,
    /// The number of the customer's gateways.
    pub width: u32,
}

/// All clients and their random number generator.
pub struct Clients {
    /// The arrivals of each method from each customer.
    pub streams: Vec<ArrivalStream>,
    model: scenario::Clients,
    /// The factor by which all arrival rates are multiplied: 1 outside bursts.
    pub burst: f64,
    rng: ChaCha8Rng,
}

impl Clients {
    /// The clients of a scenario. Draws each customer's first gateway.
    pub fn new(scenario: &Scenario, methods: &[Method], plans: &[Plan], mut rng: ChaCha8Rng) -> Clients {
        let mut streams = Vec::new();
        let mut customer = 0u64;
        for group in &scenario.customers {
            let plan = plans.iter().position(|plan| plan.name == group.plan).unwrap_or(0) as u16;
            for _ in 0..group.count {
                customer += 1;
                let first = rng.random_range(0..scenario.gateways);
                for load in &group.load {
                    let method = methods.iter().position(|method| method.name == load.method).unwrap_or(0);
                    let (units, rate, width) = (load.units, load.rate, group.gateways_per_customer);
                    streams.push(ArrivalStream {
                        customer,
                        method: method as u16,
                        plan,
                        units,
                        rate,
                        first,
                        width,
                    });
                }
            }
        }
        Clients { streams, model: scenario.clients.clone(), burst: 1.0, rng }
    }

    /// The time until a stream's next arrival, or `None` for a stream with a rate of 0.
    pub fn next_arrival_delay(&mut self, stream: usize) -> Option<Nanos> {
        let rate = self.streams[stream].rate * self.burst;
        let exp = Exp::new(rate).ok().filter(|_| rate > 0.0)?;
        Some((exp.sample(&mut self.rng) * SEC as f64).max(1.0) as Nanos)
    }

    /// The gateway for a new connection of this stream: one of the customer's gateways drawn at random, or the next
    /// of them that accepts clients. `None` if none of them does.
    pub fn pick_gateway(
        &mut self,
        stream: usize,
        accepts_clients: impl Fn(u32) -> bool,
        gateways: u32,
    ) -> Option<u32> {
        let ArrivalStream { first, width, .. } = self.streams[stream];
        let start = self.rng.random_range(0..width);
        (0..width)
            .map(|offset| (first + (start + offset) % width) % gateways)
            .find(|gateway| accepts_clients(*gateway))
    }

    /// The time after which the client cancels the RPC, if it does so before the deadline.
    pub fn cancel_delay(&mut self, deadline: Nanos) -> Option<Nanos> {
        let cancels = self.model.give_up_share > 0.0 && self.rng.random::<f64>() < self.model.give_up_share;
        cancels.then(|| self.rng.random_range(deadline / 10..=deadline / 2))
    }

    /// The time after which the client retries a rejected RPC or one whose connection was lost, or `None` if it
    /// doesn't retry.
    pub fn retry_delay(&mut self, retries: u32, retry_after: Nanos) -> Option<Nanos> {
        let will_retry =
            retries < self.model.max_retries && self.rng.random::<f64>() < self.model.retry_share;
        let delay = if self.model.retry_immediately { nanos(0.001) } else { retry_after.max(nanos(0.05)) };
        will_retry.then_some(delay)
    }
}
