//! What the decision module needs from its host, and the plain types between them. No decisions here.

use std::collections::HashMap;

/// A time or a span in whole nanoseconds.
pub type Nanos = u64;

/// Settings as a plain map of names to values, as the operators hand them over.
pub type Settings = HashMap<String, String>;

/// What the module can ask of its host. A wish takes effect at the time of the event being answered.
pub trait Host {
    /// Sends the RPC to a server; attempts of an RPC are numbered from 0. A `limit` of 0 means until the deadline. An attempt
    /// that can't be written `before` this time, since its connection comes up late, must not be written at all.
    fn send_attempt(&mut self, rpc: u32, server: u32, limit: Nanos, before: Nanos);
    /// Final answer: trying again does no harm; `come_back` of 0 gives no advice.
    fn reject(&mut self, rpc: u32, come_back: Nanos);
    /// Final answer: nothing is promised.
    fn abort(&mut self, rpc: u32);
    /// Asks for `on_timer` with this token after a while.
    fn set_timer(&mut self, after: Nanos, token: u32);
    /// Adds to a named count that all gateways share; the total comes back through `on_counter_reply`.
    fn add_to_counter(&mut self, name: u64, add: f64, forget: Nanos);
}

/// An RPC as it came in.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    pub id: u32,
    pub method: u16,
    pub plan: u16,
    pub customer: u64,
    /// The service that is asked for, as [`DiscoveredServer::service`] numbers it.
    pub service: u32,
    /// Clock time at which the client gives up.
    pub deadline: Nanos,
    pub units: f64,
    /// How many gateways this customer's RPCs come in through, and the number of the first of them.
    pub gateway_count: u32,
    pub first_gateway: u32,
}

/// A server as discovery lists it.
#[derive(Clone, Debug, Default)]
pub struct DiscoveredServer {
    pub server: u32,
    /// The service that it belongs to: an RPC goes only to servers of the service that it asks for. 0 is the one service of a
    /// deployment that tells none. The number is this gateway's own and may differ at others.
    pub service: u32,
    /// The same at every gateway, whatever numbers they give.
    pub key: u64,
    pub zone: u16,
    pub kind: u8,
    pub cell: u16,
    /// False when it drains or is gone.
    pub ready: bool,
    pub weight: f64,
    /// Clock time of its last start; 0 for long ago.
    pub started_at: Nanos,
}

/// How a call-out or a call to the counter ended.
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

/// The end of one call-out.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    pub rpc: u32,
    pub server: u32,
    pub attempt: u16,
    pub outcome: CallOutcome,
    pub duration: Nanos,
    /// The RPC has its final answer.
    pub rpc_answered: bool,
    /// The true units, where they are only known afterwards; 0 if not told.
    pub settled_units: f64,
    /// The server's load report, in the order of `reporting.columns`; empty if none came.
    pub load_report: Vec<f64>,
}
