//! The leases that voters have granted, as received by one gateway.

use crate::Nanos;
use crate::lease::{ContentId, Lease};
use std::collections::BTreeMap;

/// How many leases are kept per voter and content.
const MAX_LEASES_PER_CONTENT: usize = 2;

/// A lease and the incarnation of the voter that granted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Grant {
    incarnation: u32,
    pub(super) lease: Lease,
}

/// The latest leases of each voter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Grants {
    pub(super) by_voter: BTreeMap<u32, Vec<Grant>>,
}

impl Grants {
    /// Records a lease that a voter granted, and drops this voter's expired leases.
    pub(super) fn record(&mut self, now: Nanos, voter: u32, incarnation: u32, lease: Lease) {
        let grants = self.by_voter.entry(voter).or_default();
        grants.retain(|kept| kept.lease.until > now);
        let grant = Grant { incarnation, lease };
        if grants.contains(&grant) {
            return;
        }
        grants.push(grant);
        grants.sort_by_key(|grant| (grant.lease.content, grant.lease.until, grant.lease.from));
        let count = grants.iter().filter(|kept| kept.lease.content == lease.content).count();
        if count > MAX_LEASES_PER_CONTENT
            && let Some(oldest) = grants.iter().position(|kept| kept.lease.content == lease.content)
        {
            grants.remove(oldest);
        }
    }

    /// The number of voters that have leased this content at this instant. A voter with valid leases on two contents, or from
    /// two incarnations (two processes with the same number), counts for no content.
    pub(super) fn votes_for(&self, content: ContentId, at: Nanos) -> usize {
        let votes = |grants: &&Vec<Grant>| {
            let mut current = grants.iter().filter(|grant| grant.lease.covers(at));
            let Some(first) = current.next() else { return false };
            let same_vote =
                |other: &Grant| other.incarnation == first.incarnation && other.lease.content == content;
            first.lease.content == content && current.all(same_vote)
        };
        self.by_voter.values().filter(votes).count()
    }

    /// The instants at which a lease starts or expires.
    pub(super) fn boundaries(&self) -> impl Iterator<Item = Nanos> {
        self.by_voter.values().flatten().flat_map(|grant| [grant.lease.from, grant.lease.until])
    }
}
