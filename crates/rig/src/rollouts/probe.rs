//! Probe RPCs, which show by how often they run which settings a gateway acts on, whatever its log says.
//!
//! The servers of the probes end the connection under each RPC's first attempt, so that it may have run. Settings that make
//! the method repeatable lead to a second attempt, all others to none.

use standins::scripted::{Client, Peer, answer, rpc, transaction_id, with_id};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The method of the probe RPCs; the settings say whether it may be repeated.
pub(super) const PROBE_METHOD: &str = "submit";
/// Servers of the probes, so that a repeat has another one to go to.
const SERVER_COUNT: usize = 3;
/// An RPC that a gateway rejects unsent shows nothing; at most this many are sent, at this interval.
const MAX_RPCS: usize = 50;
const RPC_INTERVAL: Duration = Duration::from_millis(100);
/// The remaining time of a probe RPC, ms.
const REMAINING_MS: u64 = 2000;

/// The servers of the probe RPCs.
pub(super) struct Probes {
    servers: Vec<Peer>,
    /// How many attempts of each RPC the servers received, by the RPC's id.
    attempts: Arc<Mutex<BTreeMap<String, usize>>>,
    last_id: u64,
}

impl Probes {
    pub(super) fn start() -> Probes {
        let attempts: Arc<Mutex<BTreeMap<String, usize>>> = Arc::default();
        let server = |_| {
            let attempts = attempts.clone();
            Peer::new(move |_, message| {
                let mut attempts = attempts.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
                let count = attempts.entry(transaction_id(message).to_string()).or_default();
                *count += 1;
                if *count == 1 { (Vec::new(), true) } else { answer(200, "", "ok") }
            })
        };
        Probes { servers: (0..SERVER_COUNT).map(server).collect(), attempts, last_id: 0 }
    }

    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        self.servers.iter().map(|server| server.address).collect()
    }

    /// How many attempts a gateway makes at an RPC that may have run. Fails if the gateway sends none of its RPCs.
    pub(super) fn attempts_of(&mut self, gateway: SocketAddr) -> Result<usize, String> {
        let mut last_answer = None;
        for _ in 0..MAX_RPCS {
            self.last_id += 1;
            let message =
                with_id(&rpc(PROBE_METHOD, REMAINING_MS), self.last_id).replace("units=2", "units=0.1");
            last_answer = Client::new(gateway).try_ask(&message);
            let attempts = self.attempts.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            if let Some(count) = attempts.get(&format!("{:016x}", self.last_id)) {
                return Ok(*count);
            }
            drop(attempts);
            std::thread::sleep(RPC_INTERVAL);
        }
        Err(format!("{gateway} sent none of {MAX_RPCS} RPCs to a server; its last answer: {last_answer:?}"))
    }
}
