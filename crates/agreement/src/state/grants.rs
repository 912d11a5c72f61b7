//! The leases that voters were heard to grant.

use crate::Nanos;
use crate::lease::{ContentId, Lease};
use std::collections::BTreeMap;

/// So many leases are kept of each voter for each content.
const KEPT_PER_CONTENT: usize = 2;

/// A lease, and which incarnation of the voter granted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Grant {
    incarnation: u32,
    pub(super) lease: Lease,
}

/// The last leases of each voter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Grants {
    pub(super) by_voter: BTreeMap<u32, Vec<Grant>>,
}

impl Grants {
    /// Keeps a lease that a voter granted; those of it that have ended are dropped.
    pub(super) fn record(&mut self, now: Nanos, voter: u32, incarnation: u32, lease: Lease) {
        let grants = self.by_voter.entry(voter).or_default();
        grants.retain(|old| old.lease.until > now);
        let grant = Grant { incarnation, lease };
        if grants.contains(&grant) {
            return;
        }
        grants.push(grant);
        grants.sort_by_key(|grant| (grant.lease.content, grant.lease.until, grant.lease.from));
        let of_content = grants.iter().filter(|old| old.lease.content == lease.content).count();
        if of_content > KEPT_PER_CONTENT
            && let Some(oldest) = grants.iter().position(|old| old.lease.content == lease.content)
        {
            grants.remove(oldest);
        }
    }

    /// How many voters are for this content at this instant. A voter that was heard to be for two contents at once, or in
    /// two incarnations at once (two processes that go by one number), is for none.
    pub(super) fn votes_for(&self, content: ContentId, at: Nanos) -> usize {
        let is_for = |grants: &&Vec<Grant>| {
            let mut current = grants.iter().filter(|grant| grant.lease.covers(at));
            let Some(first) = current.next() else { return false };
            let same =
                |other: &Grant| other.incarnation == first.incarnation && other.lease.content == content;
            first.lease.content == content && current.all(same)
        };
        self.by_voter.values().filter(is_for).count()
    }

    /// The instants at which a lease begins or ends.
    pub(super) fn boundaries(&self) -> impl Iterator<Item = Nanos> {
        self.by_voter.values().flatten().flat_map(|grant| [grant.lease.from, grant.lease.until])
    }
}
