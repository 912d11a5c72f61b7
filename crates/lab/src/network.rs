//! The model of the network between gateways, servers and the counter: a delay with up to 10% jitter for each
//! message, message loss, and zones that are cut off. Free of I/O.

use crate::{Nanos, nanos, scenario};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// The network's delays, losses and partitions.
pub struct Network {
    delay: Nanos,
    loss: f64,
    /// How long it takes until a connection to a server that isn't running is refused.
    pub refuse_delay: Nanos,
    /// For each zone, whether it is cut off from the other zones and from the counter.
    cut_off: Vec<bool>,
    rng: ChaCha8Rng,
}

impl Network {
    /// A network without partitions.
    pub fn new(model: &scenario::Network, zones: u32, rng: ChaCha8Rng) -> Network {
        let (delay, refuse_delay) = (nanos(model.delay_ms / 1e3), nanos(model.refuse_ms.max(0.1) / 1e3));
        Network { delay, loss: model.loss, refuse_delay, cut_off: vec![false; zones as usize], rng }
    }

    /// The delay of one message, or `None` if the message is lost.
    pub fn message_delay(&mut self) -> Option<Nanos> {
        if self.loss > 0.0 && self.rng.random::<f64>() < self.loss {
            return None;
        }
        let jitter = if self.delay > 0 { self.rng.random_range(0..=self.delay / 10) } else { 0 };
        Some(self.delay + jitter)
    }

    /// Cuts a zone off from the other zones and the counter, or connects it again.
    pub fn set_cut_off(&mut self, zone: u32, cut_off: bool) {
        if let Some(entry) = self.cut_off.get_mut(zone as usize) {
            *entry = cut_off;
        }
    }

    /// Whether a gateway in one zone reaches a server in another.
    pub fn reaches(&self, gateway_zone: u32, server_zone: u32) -> bool {
        gateway_zone == server_zone || !(self.is_cut_off(gateway_zone) || self.is_cut_off(server_zone))
    }

    /// Whether a gateway in this zone reaches the counter.
    pub fn reaches_counter(&self, gateway_zone: u32) -> bool {
        !self.is_cut_off(gateway_zone)
    }

    fn is_cut_off(&self, zone: u32) -> bool {
        self.cut_off.get(zone as usize).copied().unwrap_or(false)
    }
}
