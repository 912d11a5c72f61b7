//! The identifier of a settings version's content, and the lease that a voter grants on it.

use crate::Nanos;

/// Identifies the content of a settings version: its number and the digest of everything shared between gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ContentId {
    /// The version number; it only increases.
    pub version: u64,
    /// The digest of all settings that gateways have to agree on.
    pub digest: u128,
}

/// A voter's lease on a content, valid from `from` (inclusive) to `until` (exclusive), Unix time in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lease {
    /// The content that the lease is granted on.
    pub content: ContentId,
    /// The first instant of the lease.
    pub from: Nanos,
    /// The first instant after the lease.
    pub until: Nanos,
}

impl Lease {
    /// Whether the lease is valid at this instant.
    pub fn covers(&self, at: Nanos) -> bool {
        self.from <= at && at < self.until
    }
}
