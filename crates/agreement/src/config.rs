//! The agreement's configuration, which is the same at all gateways of a fleet.

use crate::Nanos;
use std::collections::BTreeSet;

/// How many times a voter renews a lease before it expires.
const RENEWALS_PER_LEASE: Nanos = 4;

/// The parameters of the agreement.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AgreementConfig {
    /// Numbers of the gateways that vote.
    pub voters: BTreeSet<u32>,
    /// The duration of a lease that a voter grants.
    pub lease_duration: Nanos,
    /// The largest difference between any gateway's clock and true time.
    pub max_clock_error: Nanos,
}

impl AgreementConfig {
    /// The contract's bound: the longest time for which two gateways may act on contradicting contents.
    pub fn contradiction_bound(&self) -> Nanos {
        self.max_clock_difference()
    }

    /// The largest difference between the clocks of two gateways, or of two incarnations of one gateway.
    pub fn max_clock_difference(&self) -> Nanos {
        2 * self.max_clock_error
    }

    /// The number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The number of other voters that a restarted voter needs reports from. They have to remember what they granted; any
    /// set of this size intersects every majority that the restarted voter was part of.
    pub fn recovery_quorum(&self) -> usize {
        self.voters.len() - self.quorum() + 1
    }

    /// How often a voter renews its lease.
    pub fn renewal_interval(&self) -> Nanos {
        (self.lease_duration / RENEWALS_PER_LEASE).max(1)
    }
}
