//! What all gateways of a fleet are configured with alike.

use crate::Nanos;
use std::collections::BTreeSet;

/// A lease is renewed so many times before it ends.
const RENEWALS_PER_LEASE: Nanos = 4;

/// The parameters of an agreement, the same at all gateways.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AgreementConfig {
    /// Numbers of the gateways that vote.
    pub voters: BTreeSet<u32>,
    /// How long the leases are that a voter grants.
    pub lease_duration: Nanos,
    /// How far any gateway's clock may be from true time.
    pub max_clock_error: Nanos,
}

impl AgreementConfig {
    /// The contract's bound: for no longer do two gateways act on contents that contradict each other.
    pub fn contradiction_bound(&self) -> Nanos {
        self.max_clock_difference()
    }

    /// How far the clocks of two gateways, or of two incarnations of one, may be apart.
    pub fn max_clock_difference(&self) -> Nanos {
        2 * self.max_clock_error
    }

    /// So many voters are a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// So many voters that remember what they granted, beside one that does not, share one with every majority that it
    /// was in.
    pub fn recovery_quorum(&self) -> usize {
        self.voters.len() - self.quorum() + 1
    }

    /// How often a voter renews its lease.
    pub fn renewal_interval(&self) -> Nanos {
        (self.lease_duration / RENEWALS_PER_LEASE).max(1)
    }
}
