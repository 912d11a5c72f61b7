//! The state machine of one gateway. A few gateways are voters. A voter says for which content it is, and from when until
//! when; the spans that it gives for different contents never overlap. A gateway acts on a content only at instants of
//! its own clock for which a majority of the voters are for it, and acts on its fallback otherwise.

use crate::Nanos;
use crate::lease::{Content, Lease};
use crate::message::{LeaseMessage, MessageKind};
use std::collections::{BTreeMap, BTreeSet};

/// What all gateways are told alike.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// Numbers of the gateways that vote.
    pub voters: BTreeSet<u32>,
    /// How long the spans are that a voter gives.
    pub lease: Nanos,
    /// How far any gateway's clock may be from true time.
    pub clock: Nanos,
}

impl Terms {
    /// The bound of the contract: for no longer do two gateways act on contents that contradict each other.
    pub fn bound(&self) -> Nanos {
        2 * self.clock
    }

    fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// So many voters that remember, beside one that does not, share one with every majority that it was in.
    fn enough_to_ask(&self) -> usize {
        self.voters.len() - self.majority() + 1
    }

    /// How often a voter speaks.
    pub fn every(&self) -> Nanos {
        (self.lease / 4).max(1)
    }
}

/// What a gateway acts on: all of its content, or only that content's fallback.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mode {
    Fallback,
    Confirmed,
}

/// Where a voter stands after its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Voice {
    /// The words of its last life may still hold: it says nothing.
    Silent,
    /// It asks what the others are for.
    Asking,
    /// It is for a content.
    Speaking,
}

/// A file that was not taken, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// A version below the one held, or below one that already waits.
    Older,
    /// The same version with another content was held or heard of: nobody is to act on either.
    TwoContents,
}

impl Refused {
    pub fn why(self) -> &'static str {
        match self {
            Refused::Older => "older-version",
            Refused::TwoContents => "two-contents",
        }
    }
}

/// What became of a word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    Counts,
    /// From no voter, long over, or of an impossible lease: nothing is changed by it.
    Nothing,
    /// Said later than this gateway's clock can be: its clock is behind, or the speaker's ahead.
    Ahead,
    /// It names another content for the version that waits here, which is dropped.
    TwoContents,
}

/// A content that a gateway has, and when it starts to hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Held {
    content: Content,
    start: Nanos,
}

/// One gateway's part in the agreement.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Agreement {
    terms: Terms,
    number: Option<u32>,
    life: u32,
    born: Nanos,
    /// What is acted on, or whose fallback is; and what waits for its start.
    current: Held,
    next: Option<Held>,
    mode: Mode,
    /// Where two contents of a version met: the one dropped here, told on until a higher version is taken.
    dropped: Option<Content>,
    voice: Voice,
    /// While it asks: of each other voter, whether it remembers, and the version it is for or asks with.
    asked: BTreeMap<u32, (bool, u64)>,
    /// What this voter is for, and until when it has said so at most.
    favour: Held,
    given: Nanos,
    tells_at: Nanos,
    /// What each voter said last, by what it was for: with the life that said it.
    heard: BTreeMap<u32, Vec<(u32, Lease)>>,
    /// When the current content was last confirmed.
    confirmed: Nanos,
    /// The model checker's: a mistake built in, which it has to find.
    #[cfg(test)]
    pub(crate) flaw: &'static str,
}

/// Of what a voter said, so many spans are kept for each content.
const KEPT: usize = 2;

impl Agreement {
    /// A gateway that starts with this content, which holds from `start` on (long past for one that has held). `number`
    /// is none for a gateway that was not told its own; `life` is drawn anew by each process.
    pub fn new(
        terms: Terms,
        number: Option<u32>,
        life: u32,
        now: Nanos,
        content: Content,
        start: Nanos,
    ) -> Agreement {
        let held = Held { content, start };
        Agreement {
            terms,
            number,
            life,
            born: now,
            current: held,
            next: None,
            mode: Mode::Fallback,
            dropped: None,
            voice: Voice::Silent,
            asked: BTreeMap::new(),
            favour: held,
            given: 0,
            tells_at: now,
            heard: BTreeMap::new(),
            confirmed: 0,
            #[cfg(test)]
            flaw: "",
        }
    }

    /// The operators' word that nothing has to be remembered (a fleet's first start, or too many voters lost for good): this
    /// voter asks nobody. Harm: told to some while others remember, a version can hold again that another has followed.
    pub fn forget(&mut self) {
        self.asked = self.terms.voters.iter().map(|voter| (*voter, (true, 0))).collect();
    }

    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    pub fn is_voter(&self) -> bool {
        self.number.is_some_and(|number| self.terms.voters.contains(&number))
    }

    pub fn content(&self) -> Content {
        self.current.content
    }

    /// What waits, and when it starts.
    pub fn waiting(&self) -> Option<(Content, Nanos)> {
        self.next.map(|next| (next.content, next.start))
    }

    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// When the content was last confirmed; 0 is never.
    pub fn confirmed(&self) -> Nanos {
        self.confirmed
    }

    /// A file came. True if it is new and waits now, false if it is what is held or waits already. A start that is less
    /// than two leases ahead is put off to that, so that gateways with two contents of one version can hear of it first.
    pub fn take(&mut self, now: Nanos, content: Content, start: Nanos) -> Result<bool, Refused> {
        let newest = self.next.unwrap_or(self.current).content;
        if content == newest || content == self.current.content {
            return Ok(false);
        }
        if self.dropped == Some(content) {
            return Err(Refused::TwoContents);
        }
        if content.version == newest.version {
            self.drop_unbegun(now, content);
            return Err(Refused::TwoContents);
        }
        if content.version < newest.version {
            return Err(Refused::Older);
        }
        let start = start.max(now + 2 * self.terms.lease);
        (self.next, self.dropped) = (Some(Held { content, start }), None);
        Ok(true)
    }

    /// Two contents of one version have met: the one here is dropped if it has not begun to hold.
    fn drop_unbegun(&mut self, now: Nanos, other: Content) -> bool {
        let clashes = |held: &Held| held.content.version == other.version && held.content != other;
        if let Some(next) = self.next.filter(|next| clashes(next) && self.favour != *next) {
            (self.dropped, self.next) = (Some(next.content), None);
            return true;
        }
        // Started on a file whose time has not come: there is nothing older to go on with but its fallback.
        let current = self.current;
        if clashes(&current) && current.start > now && self.given == 0 && current.start < Nanos::MAX {
            self.dropped = Some(current.content);
            (self.current.start, self.favour.start) = (Nanos::MAX, Nanos::MAX);
            return true;
        }
        false
    }

    /// A word came.
    pub fn hear(&mut self, now: Nanos, message: &LeaseMessage) -> Heard {
        // Two clocks within the bound are apart by twice of it. Guards against acting on an old content for too long by a
        // clock that is behind. Harm: a speaker whose clock is ahead counts for nothing.
        if message.sent > now.saturating_add(2 * self.terms.clock) {
            return Heard::Ahead;
        }
        let lease = message.lease;
        if self.drop_unbegun(now, lease.content) {
            return Heard::TwoContents;
        }
        // What was said before the last words of this voter's earlier life were over may be older than they are.
        if self.voice != Voice::Speaking
            && self.terms.voters.contains(&message.gateway)
            && message.sent >= self.silent_until()
        {
            let remembers = message.kind == MessageKind::Grant;
            if message.kind != MessageKind::Holding {
                self.asked.insert(message.gateway, (remembers, lease.content.version));
            }
        }
        let sane = message.kind == MessageKind::Grant
            && lease.from < lease.until
            && lease.until - lease.from <= 4 * self.terms.lease;
        if !self.terms.voters.contains(&message.gateway) || !sane || lease.until <= now {
            return Heard::Nothing;
        }
        self.keep(now, message.gateway, message.incarnation, lease);
        Heard::Counts
    }

    fn keep(&mut self, now: Nanos, number: u32, life: u32, lease: Lease) {
        let said = self.heard.entry(number).or_default();
        said.retain(|(_, old)| old.until > now);
        if said.contains(&(life, lease)) {
            return;
        }
        said.push((life, lease));
        said.sort_by_key(|(_, lease)| (lease.content, lease.until, lease.from));
        let count = said.iter().filter(|(_, old)| old.content == lease.content).count();
        if count > KEPT {
            let oldest = said.iter().position(|(_, old)| old.content == lease.content);
            oldest.into_iter().for_each(|at| _ = said.remove(at));
        }
    }

    /// Whether a majority of the voters is for this content at this instant. A voter that was heard to be for two
    /// contents at once, or in two lives at once (two processes that go by one number), is for none.
    fn majority_for(&self, content: Content, at: Nanos) -> bool {
        let is_for = |said: &&Vec<(u32, Lease)>| {
            let mut now = said.iter().filter(|(_, lease)| lease.covers(at));
            let Some((life, lease)) = now.next() else { return false };
            lease.content == content && now.all(|(other, also)| other == life && also.content == content)
        };
        let voters = self.heard.values().filter(is_for).count();
        voters >= self.terms.majority() - usize::from(self.is_flawed("half is enough"))
    }

    /// What may be acted on at this instant of this gateway's clock. Has to be asked before anything is decided, also
    /// after a pause. Every change of the mode goes through here.
    pub fn at(&mut self, now: Nanos) -> (Content, Mode) {
        if let Some(next) = self.next.filter(|next| self.majority_for(next.content, now)) {
            (self.current, self.next) = (next, None);
        }
        let confirmed = self.majority_for(self.current.content, now)
            || self.is_flawed("never falls back") && self.confirmed > 0;
        self.mode = if confirmed { Mode::Confirmed } else { Mode::Fallback };
        if confirmed {
            self.confirmed = now;
        }
        (self.current.content, self.mode)
    }

    /// When to ask again at the latest if nothing is heard until then: what is confirmed may end, what waits may begin,
    /// and a voter speaks.
    pub fn next_look(&self, now: Nanos) -> Nanos {
        let ends = self.heard.values().flatten().flat_map(|(_, lease)| [lease.from, lease.until]);
        let starts = self.next.map(|next| next.start);
        let soon = ends.chain(starts).filter(|at| *at > now).min().unwrap_or(Nanos::MAX);
        soon.min(self.tells_at.max(now + 1))
    }

    /// What this gateway has to tell all others now.
    pub fn tell(&mut self, now: Nanos) -> Vec<LeaseMessage> {
        if now < self.tells_at {
            return Vec::new();
        }
        let voter = self.is_voter();
        // Who does not vote speaks only where two contents met, and seldom.
        self.tells_at = now + if voter { self.terms.every() } else { self.terms.lease };
        let Some(number) = self.number else { return Vec::new() };
        let life = self.life;
        let message =
            |kind, lease: Lease| LeaseMessage { gateway: number, incarnation: life, sent: now, kind, lease };
        let holds =
            |content: Content| message(MessageKind::Holding, Lease { content, from: now, until: now });
        let mut messages = Vec::new();
        if voter {
            self.find_voice(now);
            if self.voice == Voice::Asking {
                messages.push(message(
                    MessageKind::Query,
                    Lease { content: self.current.content, from: now, until: now },
                ));
            }
            let waiting = self.next.filter(|next| *next != self.favour).map(|next| holds(next.content));
            let lease = self.give(now);
            messages.extend(lease.map(|lease| message(MessageKind::Grant, lease)));
            messages.extend(waiting);
            lease.into_iter().for_each(|lease| self.keep(now, number, life, lease));
        }
        messages.extend(self.dropped.map(holds));
        messages
    }

    fn silent_until(&self) -> Nanos {
        if self.is_flawed("speaks at once") {
            return self.born;
        }
        // Clocks of two lives, or of two gateways, are apart by twice the bound.
        self.born.saturating_add(self.terms.lease).saturating_add(2 * self.terms.clock)
    }

    /// Every change of the voice goes through here. Guards against a restart, after which a voter remembers nothing: its
    /// last life may have said what still holds, and may have been for a version above the file it started on. So it
    /// says nothing for a lease, and is for nothing until so many voters that remember have told what they are for that one
    /// of them was in every majority with it; or until all have told, where too few remember. Harm: where too few remember
    /// and one is away, everybody is on the fallback until that one is back.
    fn find_voice(&mut self, now: Nanos) {
        if self.voice == Voice::Silent && now >= self.silent_until() {
            self.voice = Voice::Asking;
        }
        if self.voice != Voice::Asking {
            return;
        }
        let own = self.number;
        let others = self.asked.iter().filter(|(number, _)| Some(**number) != own);
        let (heard, highest) =
            others.clone().fold((0, 0), |(heard, highest), (_, said)| (heard + 1, said.1.max(highest)));
        let remember = others.filter(|(_, said)| said.0).count();
        let enough = remember >= self.terms.enough_to_ask() || heard + 1 >= self.terms.voters.len();
        let newest = self.next.unwrap_or(self.current);
        if (enough && highest <= newest.content.version) || self.is_flawed("asks nobody") {
            self.voice = Voice::Speaking;
            self.asked.clear();
            if highest > self.current.content.version {
                self.favour = newest;
            }
        }
    }

    /// The lease that this voter gives now, if any.
    fn give(&mut self, now: Nanos) -> Option<Lease> {
        if self.voice != Voice::Speaking {
            return None;
        }
        let over = now >= self.given || self.is_flawed("overlaps");
        if let Some(next) = self.next.filter(|next| now >= next.start && over) {
            self.favour = next;
        }
        // Others have moved on before this voter's own time for it.
        let behind = self.current.content.version > self.favour.content.version;
        if behind && over {
            self.favour = self.current;
        } else if behind {
            return None;
        }
        let waits = self.next.filter(|next| *next != self.favour && !self.is_flawed("overlaps"));
        let until = waits.map_or(Nanos::MAX, |next| next.start).min(now + self.terms.lease);
        if now < self.favour.start || until <= now {
            return None;
        }
        self.given = self.given.max(until);
        Some(Lease { content: self.favour.content, from: now, until })
    }

    /// Drops what can have no effect any more, so that runs that differ in it only are one to the model checker.
    #[cfg(test)]
    pub(crate) fn forget_the_past(&mut self, now: Nanos) {
        for said in self.heard.values_mut() {
            said.retain(|(_, lease)| lease.until > now);
        }
        self.heard.retain(|_, said| !said.is_empty());
        if self.voice == Voice::Speaking {
            self.born = 0;
        }
        self.confirmed = self.confirmed.min(1);
        self.given = if self.given > now { self.given } else { self.given.min(1) };
    }

    /// As after a long time in service.
    #[cfg(test)]
    pub(crate) fn served(mut self) -> Agreement {
        self.voice = Voice::Speaking;
        self
    }

    #[cfg(test)]
    pub(crate) fn next_word(&self) -> Nanos {
        self.tells_at
    }

    #[cfg(test)]
    pub(crate) fn has_dropped(&self) -> bool {
        self.dropped.is_some()
    }

    #[cfg(test)]
    fn is_flawed(&self, flaw: &str) -> bool {
        self.flaw == flaw
    }

    #[cfg(not(test))]
    fn is_flawed(&self, _flaw: &str) -> bool {
        false
    }
}

#[cfg(test)]
mod tests;
