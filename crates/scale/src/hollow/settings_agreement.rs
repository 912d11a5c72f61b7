//! A hollow gateway's part in the agreement on settings: what the program's `gateway::agreeing` does between its state
//! machines, without its sockets and its log.

use super::Nanos;
use super::gateway::Agreed;
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

/// A version of the settings as it lies on the machines.
pub struct VersionFile {
    pub version: Version,
    pub content: ContentId,
    /// What may be acted on while it can't be confirmed.
    pub ground: Settings,
    /// When it was put out.
    pub put_out: Nanos,
}

impl VersionFile {
    pub fn new(version: Version, put_out: Nanos) -> VersionFile {
        let (content, ground) = (version.content_id(), version.fallback_settings());
        VersionFile { version, content, ground, put_out }
    }
}

/// One gateway's agreement.
pub struct Agreeing {
    pub state: Agreement,
    held: Arc<VersionFile>,
    waits: Option<Arc<VersionFile>>,
    acting: Decision,
    number: u32,
    zone: usize,
    lists: ListTracker,
    /// Servers by their keys, as the own list told of them last.
    entries: BTreeMap<u64, Entry>,
    tells_list_at: Nanos,
    /// When this gateway looks again, as the timer that is set has it.
    looks_at: Nanos,
}

impl Agreeing {
    pub fn new(agreed: &Agreed, number: u32, zone: usize, incarnation: u32, now: Nanos) -> Agreeing {
        let file = agreed.file.clone();
        let (content, start) = (file.content, file.version.start);
        let mut state = Agreement::new(agreed.terms.clone(), Some(number), incarnation, now, content, start);
        if agreed.fresh {
            state.skip_recovery();
        }
        Agreeing {
            state,
            held: file,
            waits: None,
            acting: Decision { content, mode: Mode::Fallback },
            number,
            zone,
            lists: ListTracker::default(),
            entries: BTreeMap::new(),
            tells_list_at: 0,
            looks_at: 0,
        }
    }

    /// What this gateway may act on now.
    pub fn settings(&self) -> Settings {
        let told = match self.acting.mode {
            Mode::Confirmed => &self.held.version.settings,
            Mode::Fallback => &self.held.ground,
        };
        let mut settings = told.clone();
        settings.insert("me".to_string(), self.number.to_string());
        settings.insert("zone".to_string(), self.zone.to_string());
        settings
    }

    /// The version that is acted on and confirmed.
    pub fn in_force(&self) -> Option<u64> {
        (self.acting.mode == Mode::Confirmed).then_some(self.acting.content.version)
    }

    /// Datagrams for all other gateways.
    pub fn tell(&mut self, now: Nanos) -> Vec<Vec<u8>> {
        let mut datagrams: Vec<Vec<u8>> =
            self.state.poll_messages(now).iter().map(LeaseMessage::encode).collect();
        if self.state.is_voter() && now >= self.tells_list_at {
            self.tells_list_at = now + self.state.config().renewal_interval();
            let gateway = self.number;
            let told = self.lists.announcement(now);
            datagrams.extend(told.map(|RemovalAnnouncement { index, removed }| {
                ListNotice { gateway, index, removed }.encode()
            }));
        }
        datagrams
    }

    /// What may be acted on by now, if that has changed.
    pub fn look(&mut self, now: Nanos) -> Option<Settings> {
        let acting = self.state.evaluate(now);
        if acting == self.acting {
            return None;
        }
        if self.held.content != acting.content
            && let Some(new) = self.waits.take_if(|waits| waits.content == acting.content)
        {
            self.held = new;
        }
        self.acting = acting;
        Some(self.settings())
    }

    /// When to look again, if a timer has to be set for it.
    pub fn looks_next(&mut self, now: Nanos) -> Option<Nanos> {
        let next = self.state.next_evaluation(now);
        let sooner = self.looks_at <= now || next < self.looks_at;
        sooner.then(|| {
            self.looks_at = next;
            next
        })
    }

    /// A datagram came: servers that get nothing new until the own list has caught up.
    pub fn hear(&mut self, now: Nanos, bytes: &[u8]) -> Vec<Entry> {
        if let Some(notice) = ListNotice::decode(bytes) {
            return self.hear_of_list(&notice);
        }
        if let Some(word) = LeaseMessage::decode(bytes)
            && self.state.receive(now, &word) == agreement::state::Receipt::TwoContents
        {
            self.waits = None;
        }
        Vec::new()
    }

    fn hear_of_list(&mut self, notice: &ListNotice) -> Vec<Entry> {
        if !self.state.config().voters.contains(&notice.gateway) {
            return Vec::new();
        }
        let keys = self.lists.apply_notice(notice.index, &notice.removed);
        let known = keys.iter().filter_map(|key| self.entries.get(key).cloned());
        known.map(|entry| Entry { ready: false, ..entry }).collect()
    }

    /// What to make of a list: it is changed to what may be taken of it; servers released with it, or nothing where the
    /// whole list is passed over.
    pub fn judge(&mut self, now: Nanos, told: &mut ListUpdate) -> Option<Vec<Entry>> {
        let seen = |entry: &Entry| ListedServer {
            key: martenramp::subsetting::key(&entry.name),
            ready: entry.ready,
            started_at: entry.started_ms.saturating_mul(MS),
        };
        let list: Vec<ListedServer> = told.entries.iter().map(seen).collect();
        let verdict = self.lists.apply(now, told.index, told.is_snapshot, &list);
        if verdict.leaves_none_ready {
            return None;
        }
        for (entry, seen) in told.entries.iter_mut().zip(&list) {
            self.entries.insert(seen.key, entry.clone());
            entry.ready &= !verdict.held_back.contains(&seen.key);
        }
        told.is_snapshot &= !verdict.is_older;
        Some(verdict.released.iter().filter_map(|key| self.entries.get(key).cloned()).collect())
    }

    /// A new file is on this machine; whether it waits now.
    pub fn take_file(&mut self, now: Nanos, file: &Arc<VersionFile>) -> bool {
        let newer = [Some(&self.held), self.waits.as_ref()].into_iter().flatten();
        let newer = newer.filter(|held| file.version.number > held.version.number);
        if newer.flat_map(|held| objections(&held.version, &file.version)).next().is_some() {
            return false;
        }
        let offered = self.state.offer(now, file.content, file.version.start);
        let taken = matches!(offered, Ok(Offer::Scheduled));
        if taken {
            self.waits = Some(file.clone());
        }
        taken
    }
}
