//! The state machine of one gateway. A few gateways are voters. A voter grants leases on one content at a time: leases of one
//! voter on different contents never overlap. A gateway acts on a content only at instants of its own clock at which a
//! majority of the voters have it leased, and acts on its fallback otherwise.

mod grants;
#[cfg(test)]
mod tests;

use crate::Nanos;
use crate::config::AgreementConfig;
use crate::lease::{ContentId, Lease};
use crate::message::{LeaseMessage, MessageKind};
use grants::Grants;
use std::collections::BTreeMap;

/// A start that never comes.
const NEVER: Nanos = Nanos::MAX;
/// A version starts so many leases after it came, at the earliest.
const NOTICE_LEASES: Nanos = 2;
/// A lease that says to be longer than so many of the terms' is ignored.
const LONGEST_LEASES: Nanos = 4;

/// What a gateway acts on: all of its content, or only that content's fallback.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mode {
    /// The fallback of the content.
    Fallback,
    /// The content itself: a majority of the voters has it leased now.
    Confirmed,
}

/// What a gateway may act on at an instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The content that is held.
    pub content: ContentId,
    /// Whether it or only its fallback may be acted on.
    pub mode: Mode,
}

/// A content that a gateway has, and when it starts to hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ScheduledContent {
    /// The content.
    pub content: ContentId,
    /// When it starts to hold, Unix time.
    pub start: Nanos,
}

/// What became of a content that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It is new, and waits for its start.
    Scheduled,
    /// It is held or waits already.
    Known,
}

/// Why a content that was offered is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// A version below the one held, or below one that already waits.
    #[error("a newer version is held or waits")]
    OlderVersion,
    /// The same version with another content was held or heard of: nobody is to act on either.
    #[error("another content goes by the same version")]
    TwoContents,
}

impl Rejection {
    /// The reason by which logs name it.
    pub fn log_reason(self) -> &'static str {
        match self {
            Rejection::OlderVersion => "older-version",
            Rejection::TwoContents => "two-contents",
        }
    }
}

/// What became of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// Its lease counts.
    Accepted,
    /// From no voter, of a lease that is over or impossible, or of none: it confirms nothing.
    Ignored,
    /// Sent later than this gateway's clock can be: its clock is behind, or the sender's ahead.
    SentAhead,
    /// It names another content for the version that waits here, which is dropped.
    TwoContents,
}

/// Where a voter stands after its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum VoterPhase {
    /// Leases of its last incarnation may still hold: it sends nothing.
    Silent,
    /// It asks what the others have granted.
    Recovering,
    /// It grants leases.
    Granting,
}

/// What another voter told a recovering one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct RecoveryReport {
    /// Whether it remembers what it granted.
    remembers: bool,
    /// The version that it grants leases on, or recovers with.
    version: u64,
}

/// One gateway's part in the agreement.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Agreement {
    config: AgreementConfig,
    /// So many voters have to be for a content.
    quorum: usize,
    gateway: Option<u32>,
    incarnation: u32,
    /// Until then leases of this voter's last incarnation may hold.
    silent_until: Nanos,
    /// What is acted on, or whose fallback is; and what waits for its start.
    current: ScheduledContent,
    next: Option<ScheduledContent>,
    mode: Mode,
    /// Where two contents of a version met: the one dropped here, told on until a higher version is taken.
    dropped: Option<ContentId>,
    phase: VoterPhase,
    /// While it recovers: what each voter told.
    reports: BTreeMap<u32, RecoveryReport>,
    /// What this voter grants leases on, and when the last of them ends.
    preferred: ScheduledContent,
    granted_until: Nanos,
    next_message_at: Nanos,
    grants: Grants,
    /// When the current content was last confirmed.
    last_confirmed: Nanos,
}

impl Agreement {
    /// A gateway that starts with this content, which holds from `start` on (long past for one that has held). `gateway`
    /// is none for one that was not told its own number; `incarnation` is drawn anew by each process.
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

    /// The operators say that nothing has to be remembered (a fleet's first start, or too many voters lost for good): this
    /// voter asks nobody. Harm: told to some while others remember, a version can hold again that another has followed.
    pub fn skip_recovery(&mut self) {
        let report = RecoveryReport { remembers: true, version: 0 };
        self.reports = self.config.voters.iter().map(|voter| (*voter, report)).collect();
    }

    /// What the gateways are configured with.
    pub fn config(&self) -> &AgreementConfig {
        &self.config
    }

    /// Whether this gateway grants leases.
    pub fn is_voter(&self) -> bool {
        self.gateway.is_some_and(|gateway| self.config.voters.contains(&gateway))
    }

    /// The content that is held.
    pub fn content(&self) -> ContentId {
        self.current.content
    }

    /// What waits for its start.
    pub fn scheduled(&self) -> Option<ScheduledContent> {
        self.next
    }

    /// What was found to be acted on last.
    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// When the content was last confirmed; 0 is never.
    pub fn last_confirmed(&self) -> Nanos {
        self.last_confirmed
    }

    /// A content came. A start that is less than two leases ahead is put off to that, so that gateways with two contents
    /// of one version can hear of it first.
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
        let start = start.max(now + NOTICE_LEASES * self.config.lease_duration);
        self.next = Some(ScheduledContent { content, start });
        self.dropped = None;
        Ok(Offer::Scheduled)
    }

    fn newest(&self) -> ScheduledContent {
        self.next.unwrap_or(self.current)
    }

    /// Two contents of one version have met: the one here is dropped if it has not begun to hold.
    fn drop_unstarted(&mut self, now: Nanos, other: ContentId) -> bool {
        let conflicts =
            |held: &ScheduledContent| held.content.version == other.version && held.content != other;
        if let Some(next) = self.next.filter(|next| conflicts(next) && self.preferred != *next) {
            (self.dropped, self.next) = (Some(next.content), None);
            return true;
        }
        // Started on a file whose time has not come: there is nothing older to go on with but its fallback.
        let current = self.current;
        if conflicts(&current) && current.start > now && self.granted_until == 0 && current.start < NEVER {
            self.dropped = Some(current.content);
            (self.current.start, self.preferred.start) = (NEVER, NEVER);
            return true;
        }
        false
    }

    /// A message came.
    pub fn receive(&mut self, now: Nanos, message: &LeaseMessage) -> Receipt {
        // Two clocks within the bound are apart by twice of it. Guards against acting on an old content for too long by a
        // clock that is behind. Harm: a sender whose clock is ahead counts for nothing.
        if message.sent > now.saturating_add(self.config.max_clock_difference()) {
            return Receipt::SentAhead;
        }
        let lease = message.lease;
        if self.drop_unstarted(now, lease.content) {
            return Receipt::TwoContents;
        }
        let from_voter = self.config.voters.contains(&message.gateway);
        if from_voter {
            self.note_report(message);
        }
        let plausible = message.kind == MessageKind::Grant
            && lease.from < lease.until
            && lease.until - lease.from <= LONGEST_LEASES * self.config.lease_duration;
        if !from_voter || !plausible || lease.until <= now {
            return Receipt::Ignored;
        }
        self.grants.record(now, message.gateway, message.incarnation, lease);
        Receipt::Accepted
    }

    /// Keeps what a voter tells a recovering one.
    fn note_report(&mut self, message: &LeaseMessage) {
        // What was sent before the last leases of this voter's earlier incarnation were over may be older than they are.
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

    /// What may be acted on at this instant of this gateway's clock. Has to be asked before anything is decided, also
    /// after a pause. Every change of the mode goes through here.
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

    /// When to evaluate again at the latest if nothing is received until then: what is confirmed may end, what waits may
    /// begin, and a voter sends.
    pub fn next_evaluation(&self, now: Nanos) -> Nanos {
        let start = self.next.map(|next| next.start);
        let changes = self.grants.boundaries().chain(start);
        let next_change = changes.filter(|at| *at > now).min().unwrap_or(NEVER);
        next_change.min(self.next_message_at.max(now + 1))
    }

    /// What this gateway has to send to all others now.
    pub fn poll_messages(&mut self, now: Nanos) -> Vec<LeaseMessage> {
        if now < self.next_message_at {
            return Vec::new();
        }
        let is_voter = self.is_voter();
        // Who does not vote sends only where two contents met, and seldom.
        let interval = if is_voter { self.config.renewal_interval() } else { self.config.lease_duration };
        self.next_message_at = now + interval;
        let Some(gateway) = self.gateway else { return Vec::new() };
        let mut messages = if is_voter { self.voter_messages(now, gateway) } else { Vec::new() };
        messages
            .extend(self.dropped.map(|content| self.ungranted(now, gateway, MessageKind::Holding, content)));
        messages
    }

    fn voter_messages(&mut self, now: Nanos, gateway: u32) -> Vec<LeaseMessage> {
        let mut messages = Vec::new();
        self.advance_phase(now);
        if self.phase == VoterPhase::Recovering {
            messages.push(self.ungranted(now, gateway, MessageKind::Query, self.current.content));
        }
        let waiting = self.next.filter(|next| *next != self.preferred);
        if let Some(lease) = self.grant(now) {
            let (incarnation, kind) = (self.incarnation, MessageKind::Grant);
            messages.push(LeaseMessage { gateway, incarnation, sent: now, kind, lease });
            self.grants.record(now, gateway, incarnation, lease);
        }
        let holding =
            |next: ScheduledContent| self.ungranted(now, gateway, MessageKind::Holding, next.content);
        messages.extend(waiting.map(holding));
        messages
    }

    /// A message that grants nothing: its lease is empty.
    fn ungranted(&self, now: Nanos, gateway: u32, kind: MessageKind, content: ContentId) -> LeaseMessage {
        let lease = Lease { content, from: now, until: now };
        LeaseMessage { gateway, incarnation: self.incarnation, sent: now, kind, lease }
    }

    /// Every change of the phase goes through here. Guards against a restart, after which a voter remembers nothing: leases
    /// of its last incarnation may still hold, and may have been on a version above the one it started on. So it
    /// is silent for a lease, and grants nothing until so many voters that remember have reported that one of them
    /// was in every majority with it; or until all have, where too few remember. Harm: where too few remember
    /// and one is away, everybody is on the fallback until that one is back.
    fn advance_phase(&mut self, now: Nanos) {
        if self.phase == VoterPhase::Silent && now >= self.silent_until {
            self.phase = VoterPhase::Recovering;
        }
        if self.phase != VoterPhase::Recovering {
            return;
        }
        let others = self.reports.iter().filter(|(voter, _)| Some(**voter) != self.gateway);
        let others: Vec<&RecoveryReport> = others.map(|(_, report)| report).collect();
        let highest = others.iter().map(|report| report.version).max().unwrap_or(0);
        let remembering = others.iter().filter(|report| report.remembers).count();
        let enough =
            remembering >= self.config.recovery_quorum() || others.len() + 1 >= self.config.voters.len();
        let newest = self.newest();
        if enough && highest <= newest.content.version {
            self.phase = VoterPhase::Granting;
            self.reports.clear();
            if highest > self.current.content.version {
                self.preferred = newest;
            }
        }
    }

    /// The lease that this voter grants now, if any.
    fn grant(&mut self, now: Nanos) -> Option<Lease> {
        if self.phase != VoterPhase::Granting {
            return None;
        }
        let leases_over = now >= self.granted_until;
        if let Some(next) = self.next.filter(|next| now >= next.start && leases_over) {
            self.preferred = next;
        }
        // Others have moved on before this voter's own time for it.
        if self.current.content.version > self.preferred.content.version {
            if !leases_over {
                return None;
            }
            self.preferred = self.current;
        }
        let waiting = self.next.filter(|next| *next != self.preferred);
        let until = waiting.map_or(NEVER, |next| next.start).min(now + self.config.lease_duration);
        if now < self.preferred.start || until <= now {
            return None;
        }
        self.granted_until = self.granted_until.max(until);
        Some(Lease { content: self.preferred.content, from: now, until })
    }
}
