//! The interface between the admission controller and its host: the requests it makes, and the data types they exchange.

use std::collections::HashMap;

/// A point in time or a duration, in whole nanoseconds.
pub type Nanos = u64;

/// Settings as a flat map of names to values, as operators provide them.
pub type Settings = HashMap<String, String>;

/// Requests that the controller makes of its host. Each takes effect at the time of the event being handled.
pub trait Host {
    /// Sends the RPC to a server. The attempts of an RPC are numbered from 0. A `timeout` of 0 waits for the answer until the
    /// RPC's deadline. If the connection is established so late that the attempt can't be written before the time
    /// `write_before`, it must not be written at all.
    fn send_attempt(&mut self, rpc: u32, server: u32, timeout: Nanos, write_before: Nanos);
    /// Final answer: the RPC is rejected and may be retried safely. A `retry_after` of 0 gives no advice.
    fn reject(&mut self, rpc: u32, retry_after: Nanos);
    /// Final answer: the RPC failed. It may have run, so a retry may be unsafe.
    fn abort(&mut self, rpc: u32);
    /// Requests a call of `on_timer` with this token after the given time.
    fn set_timer(&mut self, after: Nanos, token: u32);
    /// Adds to a named count that all gateways share, and that the counter keeps for `forget`. The total is delivered to
    /// `on_counter_reply`.
    fn add_to_counter(&mut self, name: u64, add: f64, forget: Nanos);
}

/// An RPC as it arrived from a client.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    pub id: u32,
    pub method: u16,
    pub plan: u16,
    pub customer: u64,
    /// The requested service, numbered as in [`DiscoveredServer::service`].
    pub service: u32,
    /// The time at which the client stops waiting.
    pub deadline: Nanos,
    pub units: f64,
    /// The number of gateways that receive this customer's RPCs, and the index of the first of them.
    pub gateway_count: u32,
    pub first_gateway: u32,
}

/// A server as discovery lists it.
#[derive(Clone, Debug, Default)]
pub struct DiscoveredServer {
    pub server: u32,
    /// The service that the server belongs to: an RPC goes only to servers of the service that it requests. 0 is the only
    /// service of a deployment that configures none. Each gateway numbers services for itself, so other gateways may use
    /// other numbers.
    pub service: u32,
    /// Identifies the server at every gateway, independently of the gateway's own numbers.
    pub key: u64,
    pub zone: u16,
    pub kind: u8,
    pub cell: u16,
    /// False while the server drains, and once it is gone.
    pub ready: bool,
    pub weight: f64,
    /// When the server last started; 0 if that is long ago.
    pub started_at: Nanos,
}

/// How an attempt or a call to the counter ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    Ok,
    Error,
    Full,
    TimedOut,
    NoConnection,
    Reset,
    Withdrawn,
    NotSent,
}

/// The result of one attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    pub rpc: u32,
    pub server: u32,
    pub attempt: u16,
    pub outcome: CallOutcome,
    pub duration: Nanos,
    /// The RPC has its final answer.
    pub rpc_answered: bool,
    /// The actual units of the RPC, where they are known only afterwards; 0 if not reported.
    pub settled_units: f64,
    /// The server's load report, in the order of the setting `reporting.columns`; empty if there was none.
    pub load_report: Vec<f64>,
}
