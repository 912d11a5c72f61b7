//! The gateway's part in the agreement on settings: feeds its file and the datagrams of other
//! gateways to the state machine, and gives the admission controller either the confirmed settings
//! or their fallback.

use super::*;
use crate::config::Method;
use crate::entry::Entry;
use crate::services::Services;
use agreement::lease::ContentId;
use agreement::lists::{ListTracker, ListedServer, RemovalAnnouncement};
use agreement::message::{LeaseMessage, ListNotice};
use agreement::rules::objections;
use agreement::state::{Agreement, Decision, Mode, Offer, Receipt, ScheduledContent, VersionedAgreement};
use agreement::version::Version;

/// A version of the settings, with what the HTTP side needs of it.
struct HeldVersion {
    version: Version,
    methods: Vec<Method>,
    plans: Vec<String>,
    services: Rc<Services>,
}

/// The state machine of the agreement, and what the gateway keeps beside it.
pub(super) struct AgreementHandler {
    /// Owns the version held and the one scheduled for its start time.
    versions: VersionedAgreement<HeldVersion>,
    /// The version and mode that the admission controller acts on.
    acting: Decision,
    /// Where messages for all other gateways are sent.
    peers: SocketAddr,
    /// For drills: an offset that is added to the local clock, in nanoseconds.
    clock_offset: i64,
    /// When the timer for the next evaluation is due.
    evaluation_timer_at: Nanos,
    /// Messages that were ignored because this clock is behind or the sender's is ahead; logged at
    /// most once a second.
    clock_skew_count: u64,
    clock_skew_logged_at: Nanos,
    gateway_number: Option<u32>,
    lists: ListTracker,
    /// Servers by key, as this gateway's own list last reported them.
    entries: BTreeMap<u64, Entry>,
    next_list_notice_at: Nanos,
}

impl AgreementHandler {
    fn state(&self) -> &Agreement {
        self.versions.state()
    }

    pub(super) fn source_moved(&mut self) {
        self.lists.change_source();
    }
}

/// The upper 64 bits of the digest, in hexadecimal.
fn short_digest(content: ContentId) -> String {
    format!("{:016x}", content.digest >> 64)
}

impl Gateway {
    /// Starts with the fallback of the version in the file, until it is confirmed.
    pub(super) fn start_agreement(&mut self) {
        let host = &mut self.host;
        let Some(config) = host.config.agreement.take() else { return };
        // Without datagrams nothing is ever confirmed, so this gateway stays on its fallback
        // settings.
        let bound_to = host.net.open_datagrams(config.listen).unwrap_or_else(|e| {
            warn!(host.log, "settings"; "why" => "no-datagrams", "at" => %config.listen, "error" => %e);
            config.listen
        });
        let number = host.config.settings.get("me").and_then(|number| number.parse().ok());
        let (peers, clock_offset) = (config.peers, config.clock_offset);
        let (now, content) = (host.net.now.saturating_add_signed(clock_offset), config.version.content_id());
        let mut state =
            Agreement::new(config.terms, number, host.rng.u32(..), now, content, config.version.start);
        if config.fresh {
            state.skip_recovery();
        }
        let held = HeldVersion {
            version: config.version,
            methods: host.config.methods.clone(),
            plans: host.config.plans.clone(),
            services: host.config.services.clone(),
        };
        let acting = Decision { content, mode: Mode::Fallback };
        info!(host.log, "agreeing"; "peers" => %bound_to, "voter" => state.is_voter(), "bound_ms" => state.config().contradiction_bound() / MS);
        self.agreement = Some(AgreementHandler {
            versions: VersionedAgreement::new(state, held),
            acting,
            peers,
            clock_offset,
            evaluation_timer_at: 0,
            clock_skew_count: 0,
            clock_skew_logged_at: 0,
            gateway_number: number,
            lists: ListTracker::default(),
            entries: BTreeMap::new(),
            next_list_notice_at: 0,
        });
        self.act_on(acting, "begins");
        self.evaluate_agreement();
    }

    /// Makes the admission controller act on this version and mode from now on.
    fn act_on(&mut self, acting: Decision, why: &'static str) {
        let Some(agreement) = &mut self.agreement else { return };
        let held = agreement.versions.current();
        if acting.content != agreement.acting.content {
            self.host.config.methods = held.methods.clone();
            self.host.config.plans = held.plans.clone();
            self.host.config.services = held.services.clone();
        }
        let settings = match acting.mode {
            Mode::Confirmed => held.version.settings.clone(),
            Mode::Fallback => held.version.fallback_settings(),
        };
        agreement.acting = acting;
        let now = self.host.net.now;
        info!(self.host.log, "settings"; "why" => why, "version" => acting.content.version, "digest" => short_digest(acting.content),
            "acts_on" => if acting.mode == Mode::Confirmed { "version" } else { "ground" }, "at" => now);
        self.host.config.apply_settings(settings.clone());
        self.controller.update_settings_deferred(now, settings);
        self.schedule_subset_work();
    }

    /// Evaluates which settings may be acted on, before anything else is decided, and sends due
    /// messages to the other gateways.
    pub(super) fn evaluate_agreement(&mut self) {
        let Some(agreement) = &mut self.agreement else { return };
        let now = self.host.net.now.saturating_add_signed(agreement.clock_offset);
        let messages = agreement.versions.poll_messages(now);
        messages.iter().for_each(|message| self.host.net.send_datagram(agreement.peers, &message.encode()));
        if agreement.state().is_voter() && now >= agreement.next_list_notice_at {
            agreement.next_list_notice_at = now + agreement.state().config().renewal_interval();
            if let (Some(RemovalAnnouncement { index, removed }), Some(gateway)) =
                (agreement.lists.announcement(now), agreement.gateway_number)
            {
                self.host
                    .net
                    .send_datagram(agreement.peers, &ListNotice { gateway, index, removed }.encode());
            }
        }
        let (previous, acting) = (agreement.acting, agreement.versions.evaluate(now));
        if acting != previous {
            let why = match (acting.content == previous.content, acting.mode) {
                (_, Mode::Fallback) => "not-confirmed",
                (true, Mode::Confirmed) => "confirmed",
                (false, Mode::Confirmed) => "new-version",
            };
            self.act_on(acting, why);
        }
        let Some(agreement) = &mut self.agreement else { return };
        let next = agreement.state().next_evaluation(now);
        if agreement.evaluation_timer_at <= now || next < agreement.evaluation_timer_at {
            agreement.evaluation_timer_at = next;
            self.host
                .timers
                .set(next.saturating_add_signed(-agreement.clock_offset), TimerEvent::EvaluateAgreement);
        }
    }

    pub(super) fn receive_datagram(&mut self, bytes: &[u8]) {
        let Some(agreement) = &mut self.agreement else { return };
        let now = self.host.net.now.saturating_add_signed(agreement.clock_offset);
        if let Some(notice) = ListNotice::decode(bytes) {
            return self.receive_list_notice(notice);
        }
        let Some(agreement) = &mut self.agreement else { return };
        let Some(message) = LeaseMessage::decode(bytes) else { return };
        match agreement.versions.receive(now, &message) {
            Receipt::TwoContents => {
                let content = message.lease.content;
                warn!(self.host.log, "settings"; "why" => "two-contents", "version" => content.version, "other" => short_digest(content));
            }
            Receipt::SentAhead => {
                agreement.clock_skew_count += 1;
                if now >= agreement.clock_skew_logged_at + 1000 * MS {
                    agreement.clock_skew_logged_at = now;
                    warn!(self.host.log, "settings"; "why" => "clock", "gateway" => message.gateway, "ahead_ms" => (message.sent - now) / MS, "words" => agreement.clock_skew_count);
                }
            }
            Receipt::Accepted | Receipt::Ignored => {}
        }
        self.evaluate_agreement();
    }

    /// A voter announced the list that it holds. If the list held here is older, servers that the
    /// voter lists as out of service get no new work from this gateway.
    fn receive_list_notice(&mut self, notice: ListNotice) {
        let Some(agreement) = &mut self.agreement else { return };
        if !agreement.state().config().voters.contains(&notice.gateway) {
            return;
        }
        let held = agreement.lists.index();
        let keys = agreement.lists.apply_notice(notice.index, &notice.removed);
        let entries: Vec<Entry> = keys.iter().filter_map(|key| agreement.entries.get(key).cloned()).collect();
        if entries.is_empty() {
            return;
        }
        let names: Vec<&str> = entries.iter().map(|entry| &*entry.name).collect();
        info!(self.host.log, "list"; "why" => "late", "index" => held, "newer" => notice.index, "held_back" => names.join(","));
        let entries = entries.into_iter().map(|entry| Entry { ready: false, ..entry }).collect();
        self.queue_filtered_list(ListUpdate { index: held, entries, ..ListUpdate::default() });
    }

    /// Filters a list: reduces it to what may be applied, and returns what is to be applied after
    /// it. `None` if the list is ignored.
    pub(super) fn filter_list(&mut self, update: &mut ListUpdate) -> Option<ListUpdate> {
        let mut follow_up = ListUpdate { index: update.index, ..ListUpdate::default() };
        let Some(agreement) = &mut self.agreement else { return Some(follow_up) };
        let listed_server = |entry: &Entry| ListedServer {
            key: martenramp::subsetting::key(&entry.name),
            ready: entry.ready,
            started_at: entry.started_ms.saturating_mul(MS),
        };
        let list: Vec<ListedServer> = update.entries.iter().map(listed_server).collect();
        let verdict = agreement.lists.apply(self.host.net.now, update.index, update.is_snapshot, &list);
        let count = verdict.held_back.len();
        if verdict.leaves_none_ready || verdict.is_older || count > 0 {
            let why = if verdict.leaves_none_ready {
                "empty"
            } else if verdict.is_older {
                "went-back"
            } else {
                "held-back"
            };
            warn!(self.host.log, "list"; "why" => why, "index" => update.index, "held" => agreement.lists.index(), "held_back" => count);
        }
        if verdict.leaves_none_ready {
            return None;
        }
        let held_back: HashSet<u64> = verdict.held_back.into_iter().collect();
        for (entry, server) in update.entries.iter_mut().zip(&list) {
            agreement.entries.insert(server.key, entry.clone());
            entry.ready &= !held_back.contains(&server.key);
        }
        // An older list does not remove the servers that it lacks; only its changes are applied.
        update.is_snapshot &= !verdict.is_older;
        follow_up.entries =
            verdict.released.iter().filter_map(|key| agreement.entries.get(key).cloned()).collect();
        if update.is_snapshot && agreement.entries.len() > 2 * list.len().max(64) {
            let named: HashSet<u64> = list.iter().map(|server| server.key).collect();
            agreement.entries.retain(|key, _| named.contains(key));
        }
        Some(follow_up)
    }

    /// Offers the version of a reloaded file to the state machine.
    pub(super) fn offer_version(
        &mut self,
        version: Version,
        methods: Vec<Method>,
        plans: Vec<String>,
        services: Rc<Services>,
    ) {
        let Some(agreement) = &mut self.agreement else { return };
        let (now, content) =
            (self.host.net.now.saturating_add_signed(agreement.clock_offset), version.content_id());
        let (log, number) = (&self.host.log, content.version);
        // Versions that are not newer than the held ones are judged by the state machine.
        let known = [Some(agreement.versions.current()), agreement.versions.scheduled()];
        let older = known.into_iter().flatten().map(|held| &held.version).filter(|held| number > held.number);
        let reasons: Vec<String> = older
            .flat_map(|held| objections(held, &version))
            .map(|objection| objection.to_string())
            .collect();
        if !reasons.is_empty() {
            return warn!(log, "settings"; "why" => "not-admissible", "version" => number, "error" => reasons.join("; "));
        }
        let offered = ScheduledContent { content, start: version.start };
        match agreement.versions.offer(now, offered, HeldVersion { version, methods, plans, services }) {
            Ok(Offer::Scheduled) => {
                let start = agreement.state().scheduled().map_or(0, |scheduled| scheduled.start);
                info!(log, "settings"; "why" => "waits", "version" => number, "digest" => short_digest(content),
                    "starts_in_ms" => start.saturating_sub(now) / MS);
            }
            Ok(Offer::Known) => {
                info!(log, "settings"; "why" => "held-already", "version" => number, "digest" => short_digest(content))
            }
            Err(refused) => {
                warn!(log, "settings"; "why" => refused.log_reason(), "version" => number, "digest" => short_digest(content),
                    "held" => agreement.versions.current().version.number);
            }
        }
        self.evaluate_agreement();
    }

    /// The header line that shows operators which settings are in use; empty if the settings have
    /// no version.
    pub(super) fn settings_header(&self) -> String {
        let Some(agreement) = &self.agreement else { return String::new() };
        let Decision { content, mode } = agreement.acting;
        let age = match agreement.state().last_confirmed() {
            0 => "never".to_string(),
            at => (self.host.net.now.saturating_sub(at) / MS).to_string(),
        };
        let acts_on = if mode == Mode::Confirmed { "version" } else { "ground" };
        let scheduled = agreement
            .state()
            .scheduled()
            .map_or(String::new(), |scheduled| format!(", waits={}", scheduled.content.version));
        format!(
            "X-Settings: version={}, digest={}, acts-on={acts_on}, confirmed-ms-ago={age}{scheduled}\n",
            content.version,
            short_digest(content)
        )
    }
}
