//! The network between gateways, servers and the counter: a delay for each message with a little jitter, a share
//! lost, and zones cut off. Free of I/O.

use crate::{Nanos, nanos, scenario};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// The network's delays, losses and partitions.
pub struct Network {
    delay: Nanos,
    loss: f64,
    /// What a connection to nobody takes to fail.
    pub refuse: Nanos,
    /// Zones whose gateways are cut off from other zones and from the counter.
    cut: Vec<bool>,
    chance: ChaCha8Rng,
}

impl Network {
    /// A network that is whole.
    pub fn new(model: &scenario::Network, zones: u32, chance: ChaCha8Rng) -> Network {
        let (delay, refuse) = (nanos(model.delay_ms / 1e3), nanos(model.refuse_ms.max(0.1) / 1e3));
        Network { delay, loss: model.loss, refuse, cut: vec![false; zones as usize], chance }
    }

    /// One message: its delay, or none where it is lost.
    pub fn hop(&mut self) -> Option<Nanos> {
        if self.loss > 0.0 && self.chance.random::<f64>() < self.loss {
            return None;
        }
        let jitter = if self.delay > 0 { self.chance.random_range(0..=self.delay / 10) } else { 0 };
        Some(self.delay + jitter)
    }

    /// Cuts a zone off from the others, or heals the cut.
    pub fn set_cut_off(&mut self, zone: u32, cut: bool) {
        if let Some(at) = self.cut.get_mut(zone as usize) {
            *at = cut;
        }
    }

    /// Whether a gateway of one zone reaches a server of another.
    pub fn reaches(&self, gateway_zone: u32, server_zone: u32) -> bool {
        gateway_zone == server_zone || !(self.is_cut(gateway_zone) || self.is_cut(server_zone))
    }

    /// Whether a gateway of this zone reaches the counter.
    pub fn reaches_counter(&self, gateway_zone: u32) -> bool {
        !self.is_cut(gateway_zone)
    }

    fn is_cut(&self, zone: u32) -> bool {
        self.cut.get(zone as usize).copied().unwrap_or(false)
    }
}
