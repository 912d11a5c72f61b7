//! A hollow gateway's part in the agreement on settings: does what the product's
//! `gateway::settings_agreement` does between its state machines, without sockets and log.

use super::Nanos;
use super::gateway::AgreementStart;
use agreement::lease::ContentId;
use agreement::lists::{ListTracker, ListedServer, RemovalAnnouncement};
use agreement::message::{LeaseMessage, ListNotice};
use agreement::rules::objections;
use agreement::state::{Agreement, Decision, Mode, Offer};
use agreement::version::Version;
use gateway::entry::Entry;
use gateway::list::ListUpdate;
use martenramp::host::Settings;
use std::collections::BTreeMap;
use std::sync::Arc;

const MS: Nanos = 1_000_000;

/// The file with a version of the settings, as distributed to the gateways' machines.
pub struct VersionFile {
    pub version: Version,
    pub content: ContentId,
    /// The settings to act on while the version is not confirmed.
    pub fallback: Settings,
    /// When the distribution of the file began.
    pub published_at: Nanos,
}

impl VersionFile {
    pub fn new(version: Version, published_at: Nanos) -> VersionFile {
        let (content, fallback) = (version.content_id(), version.fallback_settings());
        VersionFile { version, content, fallback, published_at }
    }
}

/// The state machine of the agreement, and what the gateway keeps beside it.
pub struct AgreementHandler {
    pub state: Agreement,
    /// The version held, and the one scheduled for its start time.
    held: Arc<VersionFile>,
    scheduled: Option<Arc<VersionFile>>,
    /// The version and mode that the admission controller acts on.
    acting: Decision,
    number: u32,
    zone: usize,
    lists: ListTracker,
    /// Servers by key, as this gateway's own list last reported them.
    entries: BTreeMap<u64, Entry>,
    next_list_notice_at: Nanos,
    /// When the timer for the next evaluation is due.
    evaluation_timer_at: Nanos,
}

impl AgreementHandler {
    pub fn new(
        agreement: &AgreementStart,
        number: u32,
        zone: usize,
        incarnation: u32,
        now: Nanos,
    ) -> AgreementHandler {
        let file = agreement.file.clone();
        let (content, start) = (file.content, file.version.start);
        let mut state =
            Agreement::new(agreement.config.clone(), Some(number), incarnation, now, content, start);
        if agreement.fresh {
            state.skip_recovery();
        }
        AgreementHandler {
            state,
            held: file,
            scheduled: None,
            acting: Decision { content, mode: Mode::Fallback },
            number,
            zone,
            lists: ListTracker::default(),
            entries: BTreeMap::new(),
            next_list_notice_at: 0,
            evaluation_timer_at: 0,
        }
    }

    /// The settings to act on now: those of the held version if it is confirmed, else its fallback.
    pub fn settings(&self) -> Settings {
        let agreed = match self.acting.mode {
            Mode::Confirmed => &self.held.version.settings,
            Mode::Fallback => &self.held.fallback,
        };
        let mut settings = agreed.clone();
        settings.insert("me".to_string(), self.number.to_string());
        settings.insert("zone".to_string(), self.zone.to_string());
        settings
    }

    /// The number of the version acted on, if it is confirmed.
    pub fn in_force(&self) -> Option<u64> {
        (self.acting.mode == Mode::Confirmed).then_some(self.acting.content.version)
    }

    /// Returns the datagrams that are due to all other gateways: lease messages and, from a voter,
    /// one list notice per renewal interval.
    pub fn poll_datagrams(&mut self, now: Nanos) -> Vec<Vec<u8>> {
        let mut datagrams: Vec<Vec<u8>> =
            self.state.poll_messages(now).iter().map(LeaseMessage::encode).collect();
        if self.state.is_voter() && now >= self.next_list_notice_at {
            self.next_list_notice_at = now + self.state.config().renewal_interval();
            let gateway = self.number;
            let announcement = self.lists.announcement(now);
            datagrams.extend(announcement.map(|RemovalAnnouncement { index, removed }| {
                ListNotice { gateway, index, removed }.encode()
            }));
        }
        datagrams
    }

    /// Evaluates which version and mode may be acted on, and returns the new settings if that changed.
    pub fn evaluate(&mut self, now: Nanos) -> Option<Settings> {
        let acting = self.state.evaluate(now);
        if acting == self.acting {
            return None;
        }
        if self.held.content != acting.content
            && let Some(new) = self.scheduled.take_if(|scheduled| scheduled.content == acting.content)
        {
            self.held = new;
        }
        self.acting = acting;
        Some(self.settings())
    }

    /// When to evaluate next, if that needs a new timer: none is pending, or the pending one
    /// is due later.
    pub fn next_evaluation(&mut self, now: Nanos) -> Option<Nanos> {
        let next = self.state.next_evaluation(now);
        let needs_timer = self.evaluation_timer_at <= now || next < self.evaluation_timer_at;
        needs_timer.then(|| {
            self.evaluation_timer_at = next;
            next
        })
    }

    /// Receives a datagram. Returns the servers that a voter announced as removed, marked as not ready; they
    /// get no new RPCs until this gateway's own list is as new as the notice.
    pub fn receive_datagram(&mut self, now: Nanos, bytes: &[u8]) -> Vec<Entry> {
        if let Some(notice) = ListNotice::decode(bytes) {
            return self.receive_list_notice(&notice);
        }
        if let Some(message) = LeaseMessage::decode(bytes)
            && self.state.receive(now, &message) == agreement::state::Receipt::TwoContents
        {
            self.scheduled = None;
        }
        Vec::new()
    }

    fn receive_list_notice(&mut self, notice: &ListNotice) -> Vec<Entry> {
        if !self.state.config().voters.contains(&notice.gateway) {
            return Vec::new();
        }
        let keys = self.lists.apply_notice(notice.index, &notice.removed);
        let known = keys.iter().filter_map(|key| self.entries.get(key).cloned());
        known.map(|entry| Entry { ready: false, ..entry }).collect()
    }

    /// Reduces a list update to what may be applied. Returns the servers released by it, which are to be
    /// applied after it, or `None` if the whole update is ignored because it would leave no server ready.
    pub fn filter_list(&mut self, now: Nanos, update: &mut ListUpdate) -> Option<Vec<Entry>> {
        let listed_server = |entry: &Entry| ListedServer {
            key: martenramp::subsetting::key(&entry.name),
            ready: entry.ready,
            started_at: entry.started_ms.saturating_mul(MS),
        };
        let list: Vec<ListedServer> = update.entries.iter().map(listed_server).collect();
        let verdict = self.lists.apply(now, update.index, update.is_snapshot, &list);
        if verdict.leaves_none_ready {
            return None;
        }
        for (entry, listed_server) in update.entries.iter_mut().zip(&list) {
            self.entries.insert(listed_server.key, entry.clone());
            entry.ready &= !verdict.held_back.contains(&listed_server.key);
        }
        // An older list does not remove the servers that it lacks; only its changes are applied.
        update.is_snapshot &= !verdict.is_older;
        Some(verdict.released.iter().filter_map(|key| self.entries.get(key).cloned()).collect())
    }

    /// Offers the version of a new file to the state machine. Returns whether it was scheduled.
    pub fn offer_version(&mut self, now: Nanos, file: &Arc<VersionFile>) -> bool {
        let newer = [Some(&self.held), self.scheduled.as_ref()].into_iter().flatten();
        let newer = newer.filter(|held| file.version.number > held.version.number);
        if newer.flat_map(|held| objections(&held.version, &file.version)).next().is_some() {
            return false;
        }
        let offered = self.state.offer(now, file.content, file.version.start);
        let is_scheduled = matches!(offered, Ok(Offer::Scheduled));
        if is_scheduled {
            self.scheduled = Some(file.clone());
        }
        is_scheduled
    }
}
