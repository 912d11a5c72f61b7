//! What the module keeps of an attempt until it ends.

use crate::host::Nanos;

/// An attempt that has not ended yet.
pub(crate) struct OpenAttempt {
    /// The server that it went to.
    pub server: u32,
    /// The customer whose RPC it is of.
    pub customer: u64,
    /// When it was asked for.
    pub sent_at: Nanos,
    /// By when an urgent RPC wants its answer; the end of time for a patient one.
    pub soft_deadline: Nanos,
    /// Units to give back if its RPC has ended by then and no byte was ever written.
    pub refund: f64,
}
