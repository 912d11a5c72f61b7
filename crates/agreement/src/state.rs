//! The agreement's state machine for one gateway.
//!
//! A few gateways are voters. A voter grants leases on one content at a time: its leases on different contents never
//! overlap. A gateway acts on a content only while, by its own clock, a majority of the voters has leased that content, and
//! on the content's fallback otherwise.

mod grants;
#[cfg(test)]
mod tests;
mod versioned;

use crate::Nanos;
use crate::config::AgreementConfig;
use crate::lease::{ContentId, Lease};
use crate::message::{LeaseMessage, MessageKind};
use grants::Grants;
use std::collections::BTreeMap;
pub use versioned::VersionedAgreement;

/// A start time that is never reached.
const NEVER: Nanos = Nanos::MAX;
/// The minimum time between the receipt of a version and its start, in lease durations.
const MIN_NOTICE_LEASES: Nanos = 2;
/// The longest lease that is accepted, as a multiple of the configured duration.
const MAX_LEASE_DURATIONS: Nanos = 4;

/// Whether a gateway acts on its content or only on the content's fallback.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mode {
    /// The fallback of the content.
    Fallback,
    /// The content itself: a majority of the voters has currently leased it.
    Confirmed,
}

/// What a gateway may act on at an instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The current content.
    pub content: ContentId,
    /// Whether the content or only its fallback may be acted on.
    pub mode: Mode,
}

/// A content and the time at which it takes effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ScheduledContent {
    /// The content.
    pub content: ContentId,
    /// When the content takes effect, Unix time.
    pub start: Nanos,
}

/// What became of an offered content that is not rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// The content is new and scheduled for its start.
    Scheduled,
    /// The content is already current or scheduled.
    Known,
}

/// Why an offered content is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The version is older than the current or the scheduled one.
    #[error("a newer version is current or scheduled")]
    OlderVersion,
    /// Another content with the same version number is known; no gateway may act on either of them.
    #[error("another content has the same version")]
    TwoContents,
}

impl Rejection {
    /// The reason code in logs.
    pub fn log_reason(self) -> &'static str {
        match self {
            Rejection::OlderVersion => "older-version",
            Rejection::TwoContents => "two-contents",
        }
    }
}

/// The result of receiving a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// The message's lease was recorded.
    Accepted,
    /// The message confirms nothing: the sender is not a voter, or the lease is expired, invalid or empty.
    Ignored,
    /// The send time is further ahead of this gateway's clock than the clocks may differ: one of the two clocks is wrong.
    SentAhead,
    /// The message names another content for a version that has not started here, so the content here was dropped.
    TwoContents,
}

/// The phase of a voter after its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum VoterPhase {
    /// Leases of its previous incarnation may still be valid: the voter grants and asks nothing.
    Silent,
    /// The voter asks what other voters have granted.
    Recovering,
    /// The voter grants leases.
    Granting,
}

/// What another voter reported to a recovering one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct RecoveryReport {
    /// Whether the reporting voter remembers what it granted.
    remembers: bool,
    /// The version that the reporting voter grants leases on, or that it recovers with.
    version: u64,
}

/// The state of the agreement at one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Agreement {
    config: AgreementConfig,
    /// The number of voters that have to lease a content.
    quorum: usize,
    gateway: Option<u32>,
    incarnation: u32,
    /// Until when leases of this voter's previous incarnation may be valid.
    silent_until: Nanos,
    /// The content that is acted on, or whose fallback is.
    current: ScheduledContent,
    /// The content that waits for its start.
    next: Option<ScheduledContent>,
    mode: Mode,
    /// A content dropped because another one has the same version; announced until a higher version is accepted.
    dropped: Option<ContentId>,
    phase: VoterPhase,
    /// The reports of other voters while this one recovers.
    reports: BTreeMap<u32, RecoveryReport>,
    /// The content that this voter grants leases on.
    preferred: ScheduledContent,
    /// When the last lease that this voter granted expires.
    granted_until: Nanos,
    next_message_at: Nanos,
    grants: Grants,
    /// When the current content was last confirmed.
    last_confirmed: Nanos,
}

impl Agreement {
    /// Creates the state of a gateway that starts with this content. The content takes effect at `start`, which lies in the
    /// past for one already in effect. `gateway` is `None` if no number is configured; `incarnation` is drawn at random by
    /// each process.
    pub fn new(
        config: AgreementConfig,
        gateway: Option<u32>,
        incarnation: u32,
        now: Nanos,
        content: ContentId,
        start: Nanos,
    ) -> Agreement {
        let scheduled = ScheduledContent { content, start };
        Agreement {
            quorum: config.quorum(),
            silent_until: now
                .saturating_add(config.lease_duration)
                .saturating_add(config.max_clock_difference()),
            config,
            gateway,
            incarnation,
            current: scheduled,
            next: None,
            mode: Mode::Fallback,
            dropped: None,
            phase: VoterPhase::Silent,
            reports: BTreeMap::new(),
            preferred: scheduled,
            granted_until: 0,
            next_message_at: now,
            grants: Grants::default(),
            last_confirmed: 0,
        }
    }

    /// Skips the recovery from other voters' reports. For operators, if there are no earlier grants to respect: at a fleet's
    /// first start, or after too many voters are lost for good. Risk: if only some voters skip it while others remember
    /// grants, a version that was already replaced can be confirmed again.
    pub fn skip_recovery(&mut self) {
        let report = RecoveryReport { remembers: true, version: 0 };
        self.reports = self.config.voters.iter().map(|voter| (*voter, report)).collect();
    }

    /// The configuration that all gateways share.
    pub fn config(&self) -> &AgreementConfig {
        &self.config
    }

    /// Whether this gateway grants leases.
    pub fn is_voter(&self) -> bool {
        self.gateway.is_some_and(|gateway| self.config.voters.contains(&gateway))
    }

    /// The current content.
    pub fn content(&self) -> ContentId {
        self.current.content
    }

    /// The content that waits for its start, if any.
    pub fn scheduled(&self) -> Option<ScheduledContent> {
        self.next
    }

    /// The mode at the last evaluation.
    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// When the current content was last confirmed; 0 means never.
    pub fn last_confirmed(&self) -> Nanos {
        self.last_confirmed
    }

    /// Offers a new content. A start less than two leases ahead is delayed to that, so that gateways with different contents
    /// of the same version learn of each other before either starts.
    pub fn offer(&mut self, now: Nanos, content: ContentId, start: Nanos) -> Result<Offer, Rejection> {
        let newest = self.newest().content;
        if content == newest || content == self.current.content {
            return Ok(Offer::Known);
        }
        if self.dropped == Some(content) {
            return Err(Rejection::TwoContents);
        }
        if content.version == newest.version {
            self.drop_unstarted(now, content);
            return Err(Rejection::TwoContents);
        }
        if content.version < newest.version {
            return Err(Rejection::OlderVersion);
        }
        let start = start.max(now + MIN_NOTICE_LEASES * self.config.lease_duration);
        self.next = Some(ScheduledContent { content, start });
        self.dropped = None;
        Ok(Offer::Scheduled)
    }

    fn newest(&self) -> ScheduledContent {
        self.next.unwrap_or(self.current)
    }

    /// Drops the content here if it has the same version as `other`, differs from it and has not started.
    fn drop_unstarted(&mut self, now: Nanos, other: ContentId) -> bool {
        let conflicts = |own: &ScheduledContent| own.content.version == other.version && own.content != other;
        if let Some(next) = self.next.filter(|next| conflicts(next) && self.preferred != *next) {
            (self.dropped, self.next) = (Some(next.content), None);
            return true;
        }
        // The process started with a content that has not taken effect yet: there is no older content, only its fallback.
        let current = self.current;
        if conflicts(&current) && current.start > now && self.granted_until == 0 && current.start < NEVER {
            self.dropped = Some(current.content);
            (self.current.start, self.preferred.start) = (NEVER, NEVER);
            return true;
        }
        false
    }

    /// Processes a message of another gateway.
    pub fn receive(&mut self, now: Nanos, message: &LeaseMessage) -> Receipt {
        // Two clocks within the configured error differ by at most twice that. Guards against acting on an old content for
        // too long because the own clock is behind. Cost: messages of a sender whose clock is ahead are ignored.
        if message.sent > now.saturating_add(self.config.max_clock_difference()) {
            return Receipt::SentAhead;
        }
        let lease = message.lease;
        if self.drop_unstarted(now, lease.content) {
            return Receipt::TwoContents;
        }
        let from_voter = self.config.voters.contains(&message.gateway);
        if from_voter {
            self.record_report(message);
        }
        let plausible = message.kind == MessageKind::Grant
            && lease.from < lease.until
            && lease.until - lease.from <= MAX_LEASE_DURATIONS * self.config.lease_duration;
        if !from_voter || !plausible || lease.until <= now {
            return Receipt::Ignored;
        }
        self.grants.record(now, message.gateway, message.incarnation, lease);
        Receipt::Accepted
    }

    /// Keeps a voter's report while this voter recovers.
    fn record_report(&mut self, message: &LeaseMessage) {
        // A message sent while leases of this voter's previous incarnation were still valid may be older than those leases.
        if self.phase == VoterPhase::Granting
            || message.sent < self.silent_until
            || message.kind == MessageKind::Holding
        {
            return;
        }
        let report = RecoveryReport {
            remembers: message.kind == MessageKind::Grant,
            version: message.lease.content.version,
        };
        self.reports.insert(message.gateway, report);
    }

    fn has_majority(&self, content: ContentId, at: Nanos) -> bool {
        self.grants.votes_for(content, at) >= self.quorum
    }

    /// Determines what this gateway may act on at this instant of its clock. Has to be called before every decision, in
    /// particular after a pause of the process. The only place that changes the mode.
    pub fn evaluate(&mut self, now: Nanos) -> Decision {
        if let Some(next) = self.next.filter(|next| self.has_majority(next.content, now)) {
            (self.current, self.next) = (next, None);
        }
        let content = self.current.content;
        if self.has_majority(content, now) {
            self.mode = Mode::Confirmed;
            self.last_confirmed = now;
        } else {
            self.mode = Mode::Fallback;
        }
        Decision { content, mode: self.mode }
    }

    /// The latest time for the next evaluation if no message arrives before: when a lease starts or expires, the scheduled
    /// content starts, or messages are due.
    pub fn next_evaluation(&self, now: Nanos) -> Nanos {
        let start = self.next.map(|next| next.start);
        let boundaries = self.grants.boundaries().chain(start);
        let next_boundary = boundaries.filter(|at| *at > now).min().unwrap_or(NEVER);
        next_boundary.min(self.next_message_at.max(now + 1))
    }

    /// The messages that this gateway has to send to all others now.
    pub fn poll_messages(&mut self, now: Nanos) -> Vec<LeaseMessage> {
        if now < self.next_message_at {
            return Vec::new();
        }
        let is_voter = self.is_voter();
        // A gateway that is not a voter sends only about a dropped content, and less often.
        let interval = if is_voter { self.config.renewal_interval() } else { self.config.lease_duration };
        self.next_message_at = now + interval;
        let Some(gateway) = self.gateway else { return Vec::new() };
        let mut messages = if is_voter { self.voter_messages(now, gateway) } else { Vec::new() };
        messages.extend(
            self.dropped
                .map(|content| self.message_without_lease(now, gateway, MessageKind::Holding, content)),
        );
        messages
    }

    fn voter_messages(&mut self, now: Nanos, gateway: u32) -> Vec<LeaseMessage> {
        let mut messages = Vec::new();
        self.advance_phase(now);
        if self.phase == VoterPhase::Recovering {
            messages.push(self.message_without_lease(now, gateway, MessageKind::Query, self.current.content));
        }
        let scheduled = self.next.filter(|next| *next != self.preferred);
        if let Some(lease) = self.grant(now) {
            let (incarnation, kind) = (self.incarnation, MessageKind::Grant);
            messages.push(LeaseMessage { gateway, incarnation, sent: now, kind, lease });
            self.grants.record(now, gateway, incarnation, lease);
        }
        let holding = |next: ScheduledContent| {
            self.message_without_lease(now, gateway, MessageKind::Holding, next.content)
        };
        messages.extend(scheduled.map(holding));
        messages
    }

    /// A message that grants nothing: its lease is empty.
    fn message_without_lease(
        &self,
        now: Nanos,
        gateway: u32,
        kind: MessageKind,
        content: ContentId,
    ) -> LeaseMessage {
        let lease = Lease { content, from: now, until: now };
        LeaseMessage { gateway, incarnation: self.incarnation, sent: now, kind, lease }
    }

    /// Advances the voter's phase; the only place that changes it. Guards against a restart, after which a voter remembers no
    /// grants: leases of its previous incarnation may still be valid, and may have been on a newer version than the one it
    /// started with. The voter therefore stays silent until those leases have expired. Then it grants nothing until a
    /// recovery quorum of voters that remember has reported, which intersects every majority that it was part of; or, if
    /// fewer remember, until all other voters have reported. Cost: if fewer remember and one voter is unreachable, all
    /// gateways stay on the fallback until it returns.
    fn advance_phase(&mut self, now: Nanos) {
        if self.phase == VoterPhase::Silent && now >= self.silent_until {
            self.phase = VoterPhase::Recovering;
        }
        if self.phase != VoterPhase::Recovering {
            return;
        }
        let others = self.reports.iter().filter(|(voter, _)| Some(**voter) != self.gateway);
        let others: Vec<&RecoveryReport> = others.map(|(_, report)| report).collect();
        let highest_version = others.iter().map(|report| report.version).max().unwrap_or(0);
        let remembering = others.iter().filter(|report| report.remembers).count();
        let enough_reports =
            remembering >= self.config.recovery_quorum() || others.len() + 1 >= self.config.voters.len();
        let newest = self.newest();
        if enough_reports && highest_version <= newest.content.version {
            self.phase = VoterPhase::Granting;
            self.reports.clear();
            if highest_version > self.current.content.version {
                self.preferred = newest;
            }
        }
    }

    /// The lease that this voter grants now, if any.
    fn grant(&mut self, now: Nanos) -> Option<Lease> {
        if self.phase != VoterPhase::Granting {
            return None;
        }
        let leases_expired = now >= self.granted_until;
        if let Some(next) = self.next.filter(|next| now >= next.start && leases_expired) {
            self.preferred = next;
        }
        // A majority confirmed the newer content before this voter began to grant leases on it.
        if self.current.content.version > self.preferred.content.version {
            if !leases_expired {
                return None;
            }
            self.preferred = self.current;
        }
        let scheduled = self.next.filter(|next| *next != self.preferred);
        let until = scheduled.map_or(NEVER, |next| next.start).min(now + self.config.lease_duration);
        if now < self.preferred.start || until <= now {
            return None;
        }
        self.granted_until = self.granted_until.max(until);
        Some(Lease { content: self.preferred.content, from: now, until })
    }
}
