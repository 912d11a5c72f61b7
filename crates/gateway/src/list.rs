//! Discovery's list: the watch, a state machine fed the bytes of one open answer, and what its lines say.

use crate::entry::{Entry, StringPool};
use crate::http::{self, BodyLength, ChunkedDecoder, MAX_HEAD_LEN, MAX_HEADERS, MessageError};
use crate::json_stream::{ObjectError, ObjectPart, ObjectStream};
use crate::services::{Service, Services};
use martenramp::host::Nanos;
use serde_json::Value;
use std::rc::Rc;

/// An empty line comes every 2 s while nothing changes; silence for more than one of them and a half is a break. What a
/// silent watch misses counts as told 6 s after it fell silent: by then another one has to have spoken.
pub const SILENCE_TIMEOUT: Nanos = 3_500_000_000;
/// A watch that was asked for and not answered so long is a break, too: discovery's agent answers at once, and a service
/// that does not has most likely dropped the call.
pub const RESPONSE_TIMEOUT: Nanos = 2_000_000_000;
/// Where lists are pushed, asking costs discovery nothing, and a watch is asked for again within so long.
pub const MAX_PUSHED_RETRY_DELAY: Nanos = 250_000_000;
/// How long until the watch is asked for again after a break: up to so much for each gateway of the fleet, within
/// these bounds; a sixth of it the first time and half of it the second.
pub const RETRY_DELAY_PER_GATEWAY: Nanos = 60_000_000;
pub const RETRY_DELAY_BOUNDS: std::ops::RangeInclusive<Nanos> = 1_000_000_000..=6_000_000_000;
/// Whatever became of the calls before, a change counts as told so long after discovery had it and could be reached.
pub const ANNOUNCED_WITHIN: Nanos = 6_000_000_000;
/// Of that, the part that is left to the next call for its connection and its answer.
pub const RESPONSE_ALLOWANCE: Nanos = 1_000_000_000;
/// What applies where no time is told in which new work must stop after a drain.
pub const DEFAULT_STOP_WITHIN: Nanos = 2_000_000_000;
/// From the second list in a row on that can't be taken, the rest before the next call is at least so long, twice as long
/// after each further one and up to the last, and drawn up to twice as long again. With the time that the watch takes to
/// be answered it stays within the 6 s after which a change counts as told.
const INVALID_LIST_DELAY: Nanos = 250_000_000;
const MAX_INVALID_LIST_DELAY: Nanos = 2_000_000_000;
/// A watch that stood for so long before such a list came is no further one in a row.
const STABLE_AFTER: Nanos = 5_000_000_000;
/// The key under which an object holds its entries.
const ENTRIES_KEY: &str = "endpoints";

/// One object of the list, read as far as it makes sense.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListUpdate {
    pub index: u64,
    pub is_snapshot: bool,
    pub entries: Vec<Entry>,
    /// How many entries were left out since their names tell no service, and the first of these names.
    pub without_service: usize,
    pub first_without_service: Option<Box<str>>,
}

impl ListUpdate {
    /// Takes an entry in, unless it is of no service that is asked for here.
    fn add_entry(&mut self, mut entry: Entry, services: &Services) {
        match services.of_server(&entry.name) {
            Service::Requested(number) => {
                entry.service = number;
                self.entries.push(entry);
            }
            Service::NotRequested => {}
            Service::Unspecified => {
                self.without_service += 1;
                self.first_without_service.get_or_insert(entry.name);
            }
        }
    }
}

/// The watch: what was heard last, and the answer that is open.
#[derive(Debug)]
pub struct Watch {
    /// The version of the list held; 0 is none.
    pub index: u64,
    pub head_read: bool,
    chunks: ChunkedDecoder,
    objects: ObjectStream,
    staged: StagedUpdate,
    /// When it was asked for, and from its answer's head on, when that or some of its body came last.
    pub last_received: Nanos,
    /// When the object that is coming in began, or went on by an entry.
    object_progress_at: Option<Nanos>,
    /// Breaks since a watch last told something, if only that nothing changed.
    pub failures: u32,
    /// When it was asked for.
    requested_at: Nanos,
    /// So many objects in a row could not be taken.
    invalid_in_a_row: u32,
    /// Bytes that the entries of one object may take.
    pub entry_memory_limit: usize,
    /// Of other services no entry is held.
    services: Rc<Services>,
}

impl Watch {
    /// A watch for what comes after this version, in objects whose entries take at most so many bytes, where the deployment
    /// tells no services.
    pub fn new(index: u64, entries_memory: usize) -> Self {
        Watch::for_services(index, entries_memory, Rc::default())
    }

    /// The same for the servers of some services.
    pub fn for_services(index: u64, entries_memory: usize, services: Rc<Services>) -> Self {
        Watch {
            index,
            head_read: false,
            chunks: ChunkedDecoder::default(),
            objects: ObjectStream::new(ENTRIES_KEY),
            staged: StagedUpdate::new(entries_memory, services.clone()),
            last_received: 0,
            object_progress_at: None,
            failures: 0,
            requested_at: 0,
            invalid_in_a_row: 0,
            entry_memory_limit: entries_memory,
            services,
        }
    }

    /// Another watch for what comes after the same version.
    pub fn successor(&self) -> Self {
        Watch::for_services(self.index, self.entry_memory_limit, self.services.clone())
    }

    /// Starts over on a new connection: the message that asks for changes after the version held.
    pub fn write_request(&mut self, out: &mut Vec<u8>, now: Nanos) {
        (self.head_read, self.chunks, self.last_received) = (false, ChunkedDecoder::default(), now);
        (self.object_progress_at, self.requested_at) = (None, now);
        self.objects = ObjectStream::new(ENTRIES_KEY);
        self.staged = StagedUpdate::new(self.entry_memory_limit, self.services.clone());
        let from = self.index;
        let text = format!(
            "GET /api/targets?watch=1&from={from} HTTP/1.1\r\nHost: discovery\r\nAccept: */*\r\n\r\n"
        );
        out.extend_from_slice(text.as_bytes());
    }

    /// Whether it has said nothing for too long, or has not ended what it began to say: empty lines that go on behind half an
    /// object are no sign of life.
    pub fn is_unresponsive(&self, now: Nanos) -> bool {
        now > self.last_alive_at() + if self.head_read { SILENCE_TIMEOUT } else { RESPONSE_TIMEOUT }
    }

    /// Until when nothing can have been missed: the last sign of life, or when the call at hand was made.
    fn last_alive_at(&self) -> Nanos {
        self.object_progress_at.unwrap_or(self.last_received).min(self.last_received)
    }

    /// Takes what came: how many bytes were used up, and the objects found, whatever white space stands in and between
    /// them. Entries are staged as they come, and told with the end of their object. An object that can't be taken ends
    /// the watch, and nothing of it is told; nor is anything of one that is cut short.
    pub fn feed(
        &mut self,
        now: Nanos,
        input: &[u8],
        told: &mut Vec<ListUpdate>,
    ) -> Result<usize, &'static str> {
        let mut at = 0;
        if !self.head_read {
            at = match self.feed_head(input)? {
                Some(length) => length,
                None => return Ok(0),
            };
            self.last_received = now;
        }
        let Watch { objects, staged, .. } = self;
        let (mut fault, mut spoke, had) = (None, false, staged.parts_taken);
        let used = self.chunks.feed(&input[at..], |data| {
            spoke |= !data.is_empty();
            if fault.is_none() {
                fault = objects.feed(data, |part| staged.take_part(part, told)).err();
            }
        });
        if spoke {
            self.last_received = now;
        }
        if spoke && fault.is_none() && !self.objects.is_in_object() {
            self.failures = 0;
        }
        let goes_on = staged.parts_taken > had || self.object_progress_at.is_none();
        self.object_progress_at =
            if goes_on { Some(now) } else { self.object_progress_at }.filter(|_| self.objects.is_in_object());
        if let Some(fault) = fault {
            self.invalid_in_a_row =
                if now > self.requested_at + STABLE_AFTER { 1 } else { self.invalid_in_a_row + 1 };
            return Err(fault.reason());
        }
        at += used.map_err(|MessageError(_, why)| why)?;
        if self.chunks.is_complete() { Err("watch-ended") } else { Ok(at) }
    }

    /// Takes the answer's head: how long it is, once it is whole.
    fn feed_head(&mut self, input: &[u8]) -> Result<Option<usize>, &'static str> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let length = match head.parse(input) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if input.len() > MAX_HEAD_LEN => return Err("head-too-large"),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err("bad-head"),
        };
        if head.code != Some(200) {
            return Err("watch-refused");
        }
        if http::body_length(head.headers, BodyLength::UntilClose) != Ok(BodyLength::Chunked) {
            return Err("watch-not-chunked");
        }
        self.head_read = true;
        Ok(Some(length))
    }

    /// How long to wait at least before asking again, by how many watches in a row ended soon with an object that can't
    /// be taken. Guards against a list over a bound, or of another form, that is asked for, written and read again without
    /// end: the cause is at discovery and mostly lasts. One such object alone is taken for an accident. Harm: the first
    /// list that can be taken again comes up to 4 s later.
    pub fn invalid_list_delay(&self, chance: &mut fastrand::Rng) -> Nanos {
        let Some(more) = self.invalid_in_a_row.checked_sub(2) else { return 0 };
        let least = (INVALID_LIST_DELAY << more.min(8)).min(MAX_INVALID_LIST_DELAY);
        least + chance.u64(..least)
    }

    /// How long to wait before asking again, drawn anew each time. Guards against a fleet that lost its watch at one
    /// moment (a discovery that fails, a release that kills most gateways) and asks again in step: a service of fixed
    /// capacity, which also works on calls that nobody waits for any more, then turns all away for good. Covers any
    /// cause of lost watches. The first rest stays within half of the told time in which new work must stop after a
    /// drain was told, since what a watch would have told counts from then. Harm: a list comes up to some seconds later
    /// than it could have. Where lists are `pushed` there is no such service to guard, and what the agent has counts as
    /// told whether or not a watch is open: the rest is short. What a call that had no answer took counts as part of the
    /// rest, so that the next one is answered within [`TOLD_WITHIN`] of the first moment at which discovery can have been
    /// reached again.
    pub fn retry_delay(
        &mut self,
        now: Nanos,
        pushed: bool,
        gateways: u32,
        told: Nanos,
        chance: &mut fastrand::Rng,
    ) -> Nanos {
        if pushed {
            self.failures += 1;
            return chance.u64(..MAX_PUSHED_RETRY_DELAY.min(told / 8).max(1));
        }
        let last = (RETRY_DELAY_PER_GATEWAY * Nanos::from(gateways))
            .clamp(*RETRY_DELAY_BOUNDS.start(), *RETRY_DELAY_BOUNDS.end());
        let rest = [(last / 6).min(told / 2), last / 2, last][self.failures.min(2) as usize];
        let left =
            (ANNOUNCED_WITHIN - RESPONSE_ALLOWANCE).saturating_sub(now.saturating_sub(self.last_alive_at()));
        self.failures += 1;
        chance.u64(..rest.min(left.max(MAX_PUSHED_RETRY_DELAY)).max(1))
    }
}

/// An object that has not ended. Nothing of it counts before its end.
#[derive(Debug)]
struct StagedUpdate {
    update: ListUpdate,
    strings: StringPool,
    services: Rc<Services>,
    /// Bytes that the entries may take.
    memory_limit: usize,
    memory_used: usize,
    /// Parts of objects taken so far.
    parts_taken: u64,
}

impl StagedUpdate {
    fn new(most: usize, services: Rc<Services>) -> Self {
        StagedUpdate {
            update: ListUpdate::default(),
            strings: StringPool::default(),
            services,
            memory_limit: most,
            memory_used: 0,
            parts_taken: 0,
        }
    }

    /// Takes an entry, or the end of the object: all of it is told then.
    fn take_part(&mut self, part: ObjectPart, told: &mut Vec<ListUpdate>) -> Result<(), ObjectError> {
        self.parts_taken += 1;
        match part {
            ObjectPart::Element(text) => {
                let mut from = serde_json::Deserializer::from_slice(text);
                let entry =
                    Entry::from_deserializer(&mut from, &mut self.strings).ok_or(ObjectError::Malformed)?;
                let (memory, had) = (entry.memory_size(), self.update.entries.len());
                self.update.add_entry(entry, &self.services);
                self.memory_used += if self.update.entries.len() > had { memory } else { 0 };
                if self.memory_used > self.memory_limit {
                    return Err(ObjectError::ListTooLong);
                }
            }
            ObjectPart::Envelope(text) => {
                let frame = serde_json::from_slice(text).ok().and_then(|frame| parse_envelope(&frame));
                let (index, whole) = frame.ok_or(ObjectError::Malformed)?;
                self.memory_used = 0;
                told.push(ListUpdate { index, is_snapshot: whole, ..std::mem::take(&mut self.update) });
            }
        }
        Ok(())
    }
}

/// Reads an object whose entries were taken out of it: its version, and whether it is a whole list.
fn parse_envelope(object: &Value) -> Option<(u64, bool)> {
    object[ENTRIES_KEY].as_array().filter(|left| left.is_empty())?;
    Some((object["index"].as_u64()?, object["snapshot"].as_bool()?))
}

/// Reads an object of the list; an entry that makes no sense makes the whole object garbled.
pub fn parse(object: &Value, services: &Services) -> Option<ListUpdate> {
    let mut told = ListUpdate {
        index: object["index"].as_u64()?,
        is_snapshot: object["snapshot"].as_bool()?,
        ..ListUpdate::default()
    };
    let mut words = StringPool::default();
    for entry in object[ENTRIES_KEY].as_array()? {
        told.add_entry(Entry::from_deserializer(entry, &mut words)?, services);
    }
    Some(told)
}
