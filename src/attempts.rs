//! The record of an attempt that is still in flight.

use crate::host::Nanos;
use crate::repeat_group::ServerGroup;

/// An attempt that has not ended yet.
pub(crate) struct OpenAttempt {
    /// The server that it was sent to, and where it was listed then.
    pub server: u32,
    pub group: ServerGroup,
    /// The customer whose RPC it serves.
    pub customer: u64,
    /// When the host was asked to send it.
    pub sent_at: Nanos,
    /// The soft deadline of an urgent RPC; `Nanos::MAX` for a patient one.
    pub soft_deadline: Nanos,
    /// Units to refund if the RPC has ended by the time this attempt ends and no byte of it was ever written.
    pub refund: f64,
}
