//! What voters vote for, and for how long: a content of the settings, and a lease on it.

use crate::Nanos;

/// A content of the settings: a version and the digest of what it holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ContentId {
    /// The version's number, which only rises.
    pub version: u64,
    /// The digest of everything that gateways have to agree on.
    pub digest: u128,
}

/// A voter's grant: it is for this content from `from` until just before `until`, Unix time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lease {
    /// What the voter is for.
    pub content: ContentId,
    /// The first instant of the lease.
    pub from: Nanos,
    /// The first instant after the lease.
    pub until: Nanos,
}

impl Lease {
    /// Whether the lease holds at this instant.
    pub fn covers(&self, at: Nanos) -> bool {
        self.from <= at && at < self.until
    }
}
