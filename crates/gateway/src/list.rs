//! Discovery's list: the watch, a state machine fed the bytes of one open answer, and what its lines say.

use crate::http::{self, Bad, Chunks, HEAD_MOST, HEADERS_MOST, Length};
use martenramp::host::Nanos;
use serde_json::Value;
use std::net::SocketAddr;

/// An empty line comes every 2 s while nothing changes; silence for more than one of them and a half is a break. What a
/// silent watch misses counts as told 6 s after it fell silent: by then another one has to have spoken.
pub const SILENCE: Nanos = 3_500_000_000;
/// A watch that was asked for and not answered so long is a break, too: discovery's agent answers at once, and a service
/// that does not has most likely dropped the call.
pub const UNANSWERED: Nanos = 2_000_000_000;
/// Where lists are pushed, asking costs discovery nothing, and a watch is asked for again within so long.
pub const AGAIN_PUSHED: Nanos = 250_000_000;
/// How long until the watch is asked for again after a break: up to so much for each gateway of the fleet, within
/// these bounds; a sixth of it the first time and half of it the second.
pub const AGAIN_EACH: Nanos = 60_000_000;
pub const AGAIN_LAST: std::ops::RangeInclusive<Nanos> = 1_000_000_000..=6_000_000_000;
/// Whatever became of the calls before, a change counts as told so long after discovery had it and could be reached.
pub const TOLD_WITHIN: Nanos = 6_000_000_000;
/// Of that, the part that is left to the next call for its connection and its answer.
pub const ANSWER_WITHIN: Nanos = 1_000_000_000;
/// What applies where no time is told in which new work must stop after a drain.
pub const STOP_WITHIN: Nanos = 2_000_000_000;
/// An object longer than this is garbled; a list of ten thousand servers takes a quarter of it.
const OBJECT_MOST: usize = 8 << 20;

/// One object of the list, read as far as it makes sense.
#[derive(Debug, PartialEq)]
pub struct Told {
    pub index: u64,
    pub whole: bool,
    pub entries: Vec<Entry>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: u16,
    pub ready: bool,
    pub gone: bool,
    pub weight: f64,
    pub since_ms: u64,
}

/// The watch: what was heard last, and the answer that is open.
#[derive(Debug)]
pub struct Watch {
    /// The version of the list held; 0 is none.
    pub index: u64,
    pub head_read: bool,
    chunks: Chunks,
    objects: Objects,
    /// When it was asked for, and from its answer's head on, when that or some of its body came last.
    pub heard: Nanos,
    /// When the object that is coming in began.
    began: Option<Nanos>,
    /// Breaks since a watch last told something, if only that nothing changed.
    pub fails: u32,
    /// The longest object that is taken.
    pub object_most: usize,
}

impl Watch {
    /// A watch for what comes after this version, in objects of at most so many bytes.
    pub fn new(index: u64, object_most: usize) -> Self {
        let (head_read, chunks, objects) = (false, Chunks::default(), Objects::default());
        Watch {
            index,
            head_read,
            chunks,
            objects,
            heard: 0,
            began: None,
            fails: 0,
            object_most: object_most.min(OBJECT_MOST),
        }
    }

    /// Starts over on a new connection: the message that asks for changes after the version held.
    pub fn ask(&mut self, out: &mut Vec<u8>, now: Nanos) {
        (self.head_read, self.chunks, self.heard) = (false, Chunks::default(), now);
        self.began = None;
        self.objects = Objects::default();
        let from = self.index;
        let text = format!(
            "GET /api/targets?watch=1&from={from} HTTP/1.1\r\nHost: discovery\r\nAccept: */*\r\n\r\n"
        );
        out.extend_from_slice(text.as_bytes());
    }

    /// Whether it has said nothing for too long, or has not ended what it began to say: empty lines that go on behind half an
    /// object are no sign of life.
    pub fn is_silent(&self, now: Nanos) -> bool {
        now > self.alive_at() + if self.head_read { SILENCE } else { UNANSWERED }
    }

    /// Until when nothing can have been missed: the last sign of life, or when the call at hand was made.
    fn alive_at(&self) -> Nanos {
        self.began.unwrap_or(self.heard).min(self.heard)
    }

    /// Takes what came: how many bytes were used up, and the objects found, whatever white space stands in and between
    /// them. A garbled object ends the watch; one that is cut short is not taken.
    pub fn feed(&mut self, now: Nanos, input: &[u8], told: &mut Vec<Told>) -> Result<usize, &'static str> {
        let mut at = 0;
        if !self.head_read {
            let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
            let mut head = httparse::Response::new(&mut headers);
            match head.parse(input) {
                Ok(httparse::Status::Complete(length)) => at = length,
                Ok(httparse::Status::Partial) if input.len() > HEAD_MOST => return Err("head-too-large"),
                Ok(httparse::Status::Partial) => return Ok(0),
                Err(_) => return Err("bad-head"),
            }
            if head.code != Some(200) {
                return Err("watch-refused");
            }
            if http::length(head.headers, Length::UntilClose) != Ok(Length::Chunked) {
                return Err("watch-not-chunked");
            }
            (self.head_read, self.heard) = (true, now);
        }
        let (objects, most) = (&mut self.objects, self.object_most);
        let (mut garbled, mut spoke, had) = (None, false, told.len());
        let used = self.chunks.feed(&input[at..], |data| {
            spoke |= !data.is_empty();
            if garbled.is_some() {
                return; // what follows a fault means nothing
            }
            let found = objects.feed(data, most, |object| {
                let object = serde_json::from_slice(object).ok().and_then(|object| read(&object));
                object.map(|object| told.push(object)).ok_or("garbled-object")
            });
            garbled = found.err();
        });
        at += used.map_err(|Bad(_, why)| why)?;
        if spoke {
            self.heard = now;
        }
        if spoke && garbled.is_none() && self.objects.depth == 0 {
            self.fails = 0;
        }
        let whole = told.len() > had || self.began.is_none();
        self.began = if whole { Some(now) } else { self.began }.filter(|_| self.objects.depth > 0);
        match garbled {
            Some(why) => Err(why),
            None if self.chunks.is_over() => Err("watch-ended"),
            None => Ok(at),
        }
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
    pub fn again(
        &mut self,
        now: Nanos,
        pushed: bool,
        gateways: u32,
        told: Nanos,
        chance: &mut fastrand::Rng,
    ) -> Nanos {
        if pushed {
            self.fails += 1;
            return chance.u64(..AGAIN_PUSHED.min(told / 8).max(1));
        }
        let last = (AGAIN_EACH * Nanos::from(gateways)).clamp(*AGAIN_LAST.start(), *AGAIN_LAST.end());
        let rest = [(last / 6).min(told / 2), last / 2, last][self.fails.min(2) as usize];
        let left = (TOLD_WITHIN - ANSWER_WITHIN).saturating_sub(now.saturating_sub(self.alive_at()));
        self.fails += 1;
        chance.u64(..rest.min(left.max(AGAIN_PUSHED)).max(1))
    }
}

/// Finds whole JSON objects in bytes that come in any pieces: they may be indented, stand on one line or follow each
/// other with nothing between. Their content is not looked at.
#[derive(Debug, Default)]
struct Objects {
    /// The object at hand, as far as it has come.
    bytes: Vec<u8>,
    /// How many brackets are open, and whether the last byte was inside a string, behind a backslash.
    depth: usize,
    quoted: bool,
    escaped: bool,
}

impl Objects {
    /// Hands on each object that is whole; what follows a fault is passed over.
    fn feed(
        &mut self,
        mut data: &[u8],
        most: usize,
        mut found: impl FnMut(&[u8]) -> Result<(), &'static str>,
    ) -> Result<(), &'static str> {
        while !data.is_empty() {
            if self.depth == 0 {
                let blank = data.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
                data = &data[blank..];
                if data.first().is_some_and(|byte| *byte != b'{') {
                    return Err("garbled-object");
                }
            }
            let end = data.iter().position(|byte| self.ends_with(*byte)).map(|at| at + 1);
            let part = &data[..end.unwrap_or(data.len())];
            if self.bytes.len() + part.len() > most {
                return Err("object-too-long");
            }
            data = &data[part.len()..];
            self.bytes.extend_from_slice(part);
            if end.is_some() {
                found(&std::mem::take(&mut self.bytes))?;
            }
        }
        Ok(())
    }

    /// Takes one byte of an object; true if it is the last, or if it can't stand there: strings hold no bare line ends, so
    /// that one tells of an object that was cut short.
    fn ends_with(&mut self, byte: u8) -> bool {
        match byte {
            _ if std::mem::take(&mut self.escaped) => {}
            b'\\' => self.escaped = self.quoted,
            b'"' => self.quoted = !self.quoted,
            _ if self.quoted => return byte < b' ',
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth -= 1,
            _ => {}
        }
        self.depth == 0
    }
}

/// Reads an object of the list; an entry that makes no sense makes the whole object garbled.
pub fn read(object: &Value) -> Option<Told> {
    let index = object["index"].as_u64()?;
    let whole = object["snapshot"].as_bool()?;
    let entries = object["endpoints"].as_array()?.iter().map(read_entry).collect::<Option<_>>()?;
    Some(Told { index, whole, entries })
}

fn read_entry(entry: &Value) -> Option<Entry> {
    let status = entry["status"].as_str()?;
    let gone = status == "gone";
    // What is gone need not have an address any more.
    let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
    let address = entry["address"].as_str().and_then(|text| text.parse().ok()).or(gone.then_some(nowhere))?;
    let word = |name: &str| entry[name].as_str().unwrap_or_default().to_string();
    Some(Entry {
        name: entry["name"].as_str()?.to_string(),
        address,
        zone: word("zone"),
        kind: word("type"),
        cell: entry["group"].as_u64().unwrap_or(0) as u16,
        ready: status == "ready",
        gone,
        weight: entry["weight"].as_f64().filter(|weight| weight.is_finite()).unwrap_or(1.0),
        since_ms: entry["since_ms"].as_f64().unwrap_or(0.0) as u64,
    })
}
