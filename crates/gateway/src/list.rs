//! Discovery's list of servers: a state machine for the response to a watch request, and the parser
//! of the updates in it.

use crate::entry::{Entry, StringPool};
use crate::http::{self, BodyLength, ChunkedDecoder, MAX_HEAD_LEN, MAX_HEADERS, MessageError};
use crate::json_stream::{ObjectError, ObjectPart, ObjectStream};
use crate::services::{Service, Services};
use martenramp::host::Nanos;
use serde_json::Value;
use std::rc::Rc;

/// Time without data after which the watch counts as broken: more than one and a half of the 2 s
/// intervals at which discovery sends an empty line while nothing changes. Changes missed by a
/// silent watch count as announced 6 s after it fell silent, so a new watch must have delivered
/// data by then.
pub const SILENCE_TIMEOUT: Nanos = 3_500_000_000;
/// Time limit for the start of a watch's response. Discovery's agent answers at once, and a service
/// that doesn't has most likely dropped the request.
pub const RESPONSE_TIMEOUT: Nanos = 2_000_000_000;
/// Upper bound of the delay before the watch is opened again where lists are pushed: asking costs
/// discovery nothing there.
pub const MAX_PUSHED_RETRY_DELAY: Nanos = 250_000_000;
/// Upper bound of the delay before the watch is opened again after a break: this much for each
/// gateway of the fleet, within the bounds below. The first retry waits up to a sixth of it, the
/// second up to half.
pub const RETRY_DELAY_PER_GATEWAY: Nanos = 60_000_000;
pub const RETRY_DELAY_BOUNDS: std::ops::RangeInclusive<Nanos> = 1_000_000_000..=6_000_000_000;
/// However the earlier requests ended, a change counts as announced this long after discovery had
/// it and was reachable.
pub const ANNOUNCED_WITHIN: Nanos = 6_000_000_000;
/// Part of [`ANNOUNCED_WITHIN`] that is reserved for the next request's connection and response.
pub const RESPONSE_ALLOWANCE: Nanos = 1_000_000_000;
/// Time after the announcement of a drain within which new work must stop, if the settings give
/// none.
pub const DEFAULT_STOP_WITHIN: Nanos = 2_000_000_000;
/// Minimum delay before the next request from the second invalid list in a row on. It doubles with
/// each further one, up to the maximum, and the actual delay is drawn between it and twice as much.
/// With the watch's response time this stays within the 6 s after which a change counts as
/// announced.
const INVALID_LIST_DELAY: Nanos = 250_000_000;
const MAX_INVALID_LIST_DELAY: Nanos = 2_000_000_000;
/// If a watch had been open for this long before it delivered an invalid list, earlier invalid
/// lists don't count.
const STABLE_AFTER: Nanos = 5_000_000_000;
/// Key of the array of entries in a list object.
const ENTRIES_KEY: &str = "endpoints";

/// One list object: the whole list or a change of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListUpdate {
    /// Version of the list.
    pub index: u64,
    /// Whether this is the whole list rather than a change.
    pub is_snapshot: bool,
    pub entries: Vec<Entry>,
    /// Number of entries that were left out because their names contain no service, and the first
    /// of these names.
    pub without_service: usize,
    pub first_without_service: Option<Box<str>>,
}

impl ListUpdate {
    /// Adds an entry, unless it belongs to a service that is not requested here.
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

/// A watch: what was received last, and the state of the current response.
#[derive(Debug)]
pub struct Watch {
    /// Version of the list that is held; 0 for none.
    pub index: u64,
    /// Whether the response's head has been read.
    pub head_read: bool,
    chunks: ChunkedDecoder,
    objects: ObjectStream,
    staged: StagedUpdate,
    /// When the request was written; once the response's head has been read, when data last
    /// arrived.
    pub last_received: Nanos,
    /// When the object that is being received began, or when its last entry was completed.
    object_progress_at: Option<Nanos>,
    /// Number of broken watches since one last delivered something, if only an empty line.
    pub failures: u32,
    /// When the request was written.
    requested_at: Nanos,
    /// Number of invalid objects in a row.
    invalid_in_a_row: u32,
    /// Memory limit for the entries of one object, in bytes.
    pub entry_memory_limit: usize,
    /// Entries of other services are not kept.
    services: Rc<Services>,
}

impl Watch {
    /// Creates a watch for changes after this version, for deployments without services. The
    /// entries of one object may take `entry_memory_limit` bytes.
    pub fn new(index: u64, entry_memory_limit: usize) -> Self {
        Watch::for_services(index, entry_memory_limit, Rc::default())
    }

    /// Creates a watch for the servers of some services.
    pub fn for_services(index: u64, entry_memory_limit: usize, services: Rc<Services>) -> Self {
        Watch {
            index,
            head_read: false,
            chunks: ChunkedDecoder::default(),
            objects: ObjectStream::new(ENTRIES_KEY),
            staged: StagedUpdate::new(entry_memory_limit, services.clone()),
            last_received: 0,
            object_progress_at: None,
            failures: 0,
            requested_at: 0,
            invalid_in_a_row: 0,
            entry_memory_limit,
            services,
        }
    }

    /// Creates another watch that starts at the version held by this one.
    pub fn successor(&self) -> Self {
        Watch::for_services(self.index, self.entry_memory_limit, self.services.clone())
    }

    /// Starts over on a new connection: writes the request for changes after the version that is
    /// held.
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

    /// Whether the watch has been silent for too long, or has been stuck within an object: empty
    /// lines in the middle of an object don't count as progress.
    pub fn is_unresponsive(&self, now: Nanos) -> bool {
        now > self.last_alive_at() + if self.head_read { SILENCE_TIMEOUT } else { RESPONSE_TIMEOUT }
    }

    /// Time up to which no change can have been missed: the last progress, or when the current
    /// request was written.
    fn last_alive_at(&self) -> Nanos {
        self.object_progress_at.unwrap_or(self.last_received).min(self.last_received)
    }

    /// Parses received bytes. Returns how many were consumed and appends the complete objects, with
    /// any white space in and between them. Entries are staged as they come, and their object is
    /// reported when it is complete. An invalid object ends the watch, and none of it is reported;
    /// neither is an object that is cut off.
    pub fn feed(
        &mut self,
        now: Nanos,
        input: &[u8],
        updates: &mut Vec<ListUpdate>,
    ) -> Result<usize, &'static str> {
        let mut consumed = 0;
        if !self.head_read {
            consumed = match self.feed_head(input)? {
                Some(length) => length,
                None => return Ok(0),
            };
            self.last_received = now;
        }
        let Watch { objects, staged, .. } = self;
        let (mut error, mut has_data, parts_before) = (None, false, staged.parts_taken);
        let body_consumed = self.chunks.feed(&input[consumed..], |data| {
            has_data |= !data.is_empty();
            if error.is_none() {
                error = objects.feed(data, |part| staged.take_part(part, updates)).err();
            }
        });
        if has_data {
            self.last_received = now;
        }
        if has_data && error.is_none() && !self.objects.is_in_object() {
            self.failures = 0;
        }
        let has_progress = staged.parts_taken > parts_before || self.object_progress_at.is_none();
        self.object_progress_at = if has_progress { Some(now) } else { self.object_progress_at }
            .filter(|_| self.objects.is_in_object());
        if let Some(error) = error {
            self.invalid_in_a_row =
                if now > self.requested_at + STABLE_AFTER { 1 } else { self.invalid_in_a_row + 1 };
            return Err(error.reason());
        }
        consumed += body_consumed.map_err(|MessageError(_, why)| why)?;
        if self.chunks.is_complete() { Err("watch-ended") } else { Ok(consumed) }
    }

    /// Parses the response's head; returns its length once it is complete.
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

    /// Returns the minimum delay before the next request, by how many watches in a row soon ended
    /// with an invalid object. A list beyond a limit or of another format would otherwise be
    /// requested, written and parsed again without pause, since the cause is at discovery and
    /// usually lasts. A single invalid object is taken for an accident. Trade-off: the first valid
    /// list arrives up to 4 s later.
    pub fn invalid_list_delay(&self, rng: &mut fastrand::Rng) -> Nanos {
        let Some(doublings) = self.invalid_in_a_row.checked_sub(2) else { return 0 };
        let min_delay = (INVALID_LIST_DELAY << doublings.min(8)).min(MAX_INVALID_LIST_DELAY);
        min_delay + rng.u64(..min_delay)
    }

    /// Returns a random delay before the next request.
    ///
    /// When a whole fleet loses its watches at once (discovery fails, or a rollout kills most
    /// gateways) and retries in step, a service of fixed capacity that also works on abandoned
    /// requests never recovers; the jitter covers any cause of lost watches. The first delay stays
    /// within half of `stop_within`, the time in which new work must stop after the announcement of
    /// a drain, since that time also runs for changes that the watch would have announced.
    /// Trade-off: a list may come some seconds later than it could have.
    ///
    /// Where lists are `pushed` there is no such service to protect, and what the agent holds
    /// counts as announced whether or not a watch is open, so the delay is short. Time spent on a
    /// request without a response counts towards the delay, so that the next response arrives
    /// within [`ANNOUNCED_WITHIN`] of the moment at which discovery became reachable again.
    pub fn retry_delay(
        &mut self,
        now: Nanos,
        pushed: bool,
        gateways: u32,
        stop_within: Nanos,
        rng: &mut fastrand::Rng,
    ) -> Nanos {
        if pushed {
            self.failures += 1;
            return rng.u64(..MAX_PUSHED_RETRY_DELAY.min(stop_within / 8).max(1));
        }
        let max_delay = (RETRY_DELAY_PER_GATEWAY * Nanos::from(gateways))
            .clamp(*RETRY_DELAY_BOUNDS.start(), *RETRY_DELAY_BOUNDS.end());
        let delay =
            [(max_delay / 6).min(stop_within / 2), max_delay / 2, max_delay][self.failures.min(2) as usize];
        let time_left =
            (ANNOUNCED_WITHIN - RESPONSE_ALLOWANCE).saturating_sub(now.saturating_sub(self.last_alive_at()));
        self.failures += 1;
        rng.u64(..delay.min(time_left.max(MAX_PUSHED_RETRY_DELAY)).max(1))
    }
}

/// An object that is not complete yet. None of it takes effect before its end.
#[derive(Debug)]
struct StagedUpdate {
    update: ListUpdate,
    strings: StringPool,
    services: Rc<Services>,
    /// Limit on the memory of the entries, in bytes.
    memory_limit: usize,
    memory_used: usize,
    /// Number of object parts taken so far.
    parts_taken: u64,
}

impl StagedUpdate {
    fn new(memory_limit: usize, services: Rc<Services>) -> Self {
        StagedUpdate {
            update: ListUpdate::default(),
            strings: StringPool::default(),
            services,
            memory_limit,
            memory_used: 0,
            parts_taken: 0,
        }
    }

    /// Takes an entry, or the end of the object, which completes the update.
    fn take_part(&mut self, part: ObjectPart, updates: &mut Vec<ListUpdate>) -> Result<(), ObjectError> {
        self.parts_taken += 1;
        match part {
            ObjectPart::Element(text) => {
                let mut deserializer = serde_json::Deserializer::from_slice(text);
                let entry = Entry::from_deserializer(&mut deserializer, &mut self.strings)
                    .ok_or(ObjectError::Malformed)?;
                let (memory, entries_before) = (entry.memory_size(), self.update.entries.len());
                self.update.add_entry(entry, &self.services);
                self.memory_used += if self.update.entries.len() > entries_before { memory } else { 0 };
                if self.memory_used > self.memory_limit {
                    return Err(ObjectError::ListTooLong);
                }
            }
            ObjectPart::Envelope(text) => {
                let envelope =
                    serde_json::from_slice(text).ok().and_then(|envelope| parse_envelope(&envelope));
                let (index, is_snapshot) = envelope.ok_or(ObjectError::Malformed)?;
                self.memory_used = 0;
                updates.push(ListUpdate { index, is_snapshot, ..std::mem::take(&mut self.update) });
            }
        }
        Ok(())
    }
}

/// Parses an object whose entries have been taken out: its version, and whether it is a whole list.
fn parse_envelope(object: &Value) -> Option<(u64, bool)> {
    object[ENTRIES_KEY].as_array().filter(|entries| entries.is_empty())?;
    Some((object["index"].as_u64()?, object["snapshot"].as_bool()?))
}

/// Parses a list object; an invalid entry makes the whole object invalid.
pub fn parse(object: &Value, services: &Services) -> Option<ListUpdate> {
    let mut update = ListUpdate {
        index: object["index"].as_u64()?,
        is_snapshot: object["snapshot"].as_bool()?,
        ..ListUpdate::default()
    };
    let mut strings = StringPool::default();
    for entry in object[ENTRIES_KEY].as_array()? {
        update.add_entry(Entry::from_deserializer(entry, &mut strings)?, services);
    }
    Some(update)
}
