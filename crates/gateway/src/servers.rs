//! Servers: who they are by name, the connections to each, and the state machine of one connection, which
//! writes a call-out and reads its answer.

use crate::clients::Rpc;
use crate::driver::Ending;
use crate::http::{self, BODY_MOST, Chunks, HEAD_MOST, HEADERS_MOST, Length};
use martenramp::host::{CallOutcome, DiscoveredServer, Nanos};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::Write;
use std::net::SocketAddr;

/// Of the told time after which a machine closes an idle connection, the part that one is used for.
pub const IDLE_SHARE: f64 = 0.6;
/// What applies where no times are told.
pub const IDLE: Nanos = 5_000_000_000;
pub const DIAL: Nanos = 250_000_000;

/// Of the last reused connections so many are remembered, and what they show for so long.
const REUSES: usize = 64;
const REUSES_HOLD: Nanos = 30_000_000_000;

/// Guards against servers, or what stands before them, that drop idle connections sooner than told, and say so only
/// when the next call-out is written: the last reuses show from which rest on they break. Covers proxies and short
/// time-outs alike. Harm: by chance the limit comes down on a day when connections break whatever their rest; then
/// more are opened.
#[derive(Debug, Default)]
pub struct Reuses {
    /// For how long each had rested, and whether it broke under its call-out.
    last: VecDeque<(Nanos, bool)>,
    limit: Option<(Nanos, Nanos)>,
}

impl Reuses {
    /// Once the longest-rested quarter broke more than twice as often as the others, what has rested so long is not
    /// used again for a while.
    pub fn ended(&mut self, now: Nanos, rested: Nanos, broke: bool) {
        self.last.push_back((rested, broke));
        if self.last.len() < REUSES {
            return;
        }
        let mut sorted: Vec<(Nanos, bool)> = self.last.iter().copied().collect();
        sorted.sort_unstable();
        let broken = |some: &[(Nanos, bool)]| some.iter().filter(|one| one.1).count();
        let (young, old) = sorted.split_at(REUSES * 3 / 4);
        if broken(old) >= REUSES / 16 && 3 * broken(old) > 2 * broken(young) {
            self.limit = Some((old[0].0, now));
            self.last.clear();
        } else {
            self.last.pop_front();
        }
    }

    pub fn allows(&self, now: Nanos, rested: Nanos) -> bool {
        self.limit.is_none_or(|(limit, since)| rested < limit || now > since + REUSES_HOLD)
    }
}

/// A server under the number that the module knows it by.
#[derive(Debug)]
pub struct Server {
    pub address: SocketAddr,
    /// The start of its life as the list stamps it, and when that was by this process's clock.
    pub stamp: Nanos,
    pub came_up: Nanos,
    /// Whether new work may go there.
    pub ready: bool,
    /// Idle connections, the one used last at the end, and since when.
    pub idle: Vec<(usize, Nanos)>,
    pub open: usize,
    pub listed: bool,
    /// What the module was told of it last.
    pub told: DiscoveredServer,
}

impl Server {
    fn new(told: &DiscoveredServer, address: SocketAddr, stamp: Nanos) -> Self {
        Server {
            address,
            stamp,
            came_up: told.started_at,
            ready: told.ready,
            idle: Vec::new(),
            open: 0,
            listed: true,
            told: told.clone(),
        }
    }

    /// Whether the list said the same of it before, whatever the number there.
    pub fn is_listed_as(&self, listed: &DiscoveredServer, address: SocketAddr) -> bool {
        let is_same = |one: &DiscoveredServer, two: &DiscoveredServer| {
            (one.service, one.key, one.zone, one.kind, one.cell)
                == (two.service, two.key, two.zone, two.kind, two.cell)
                && (one.ready, one.weight.to_bits()) == (two.ready, two.weight.to_bits())
        };
        let is_same_life = self.stamp == listed.started_at;
        self.listed && self.address == address && is_same_life && is_same(&self.told, listed)
    }

    fn take_idle(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.idle).into_iter().map(|idle| idle.0).collect()
    }
}

/// All servers, by the key of their names and by number.
#[derive(Debug, Default)]
pub struct Servers {
    numbers: BTreeMap<u64, u32>,
    pub by_number: BTreeMap<u32, Server>,
    /// Those that are not listed any more, and are held for their connections.
    left: BTreeSet<u32>,
    pub reuses: Reuses,
    last: u32,
}

impl Servers {
    /// Takes a listed server: its number, and the idle connections to what it was before: those to another address or an
    /// earlier life are of no more use.
    pub fn list(&mut self, listed: &DiscoveredServer, address: SocketAddr) -> (u32, Vec<usize>) {
        self.list_started(listed, address, listed.started_at)
    }

    /// The same where the start that the list stamps was at another time by this process's clock.
    pub fn list_started(
        &mut self,
        listed: &DiscoveredServer,
        address: SocketAddr,
        came_up: Nanos,
    ) -> (u32, Vec<usize>) {
        let last = &mut self.last;
        let number = *self.numbers.entry(listed.key).or_insert_with(|| {
            *last += 1;
            *last
        });
        self.left.remove(&number);
        let told = DiscoveredServer { server: number, started_at: came_up, ..listed.clone() };
        let stamp = listed.started_at;
        let server = self.by_number.entry(number).or_insert_with(|| Server::new(&told, address, stamp));
        let moved = server.address != address || server.stamp != stamp;
        let stale = if moved { server.take_idle() } else { Vec::new() };
        (server.address, server.stamp, server.came_up) = (address, stamp, told.started_at);
        (server.listed, server.ready) = (true, told.ready);
        server.told = told;
        (number, stale)
    }

    /// Takes a server off the list: what the module is to be told, and the idle connections, which are of no more use.
    pub fn take_off(&mut self, key: u64) -> Option<(DiscoveredServer, Vec<usize>)> {
        let number = *self.numbers.get(&key)?;
        let server = self.by_number.get_mut(&number)?;
        (server.listed, server.ready, server.told.ready) = (false, false, false);
        self.left.insert(number);
        Some((server.told.clone(), server.take_idle()))
    }

    /// The server with this key, listed or held for its connections.
    pub fn held(&self, key: u64) -> Option<&Server> {
        self.by_number.get(self.numbers.get(&key)?)
    }

    /// Drops those that are not listed any more and have no connection left.
    pub fn forget(&mut self) {
        let Servers { numbers, by_number, left, .. } = self;
        left.retain(|number| {
            let over = by_number.get(number).is_none_or(|server| server.open == 0);
            if over && let Some(server) = by_number.remove(number) {
                numbers.remove(&server.told.key);
            }
            !over
        });
    }
}

/// The attempt that a connection carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    pub rpc: u32,
    pub nth: u16,
    /// When it was asked for, by when it has to be answered, and before when it has to be written.
    pub sent: Nanos,
    pub until: Nanos,
    pub before: Nanos,
}

/// Where a connection to a server stands.
#[derive(Debug, PartialEq, Eq)]
pub enum Stage {
    Idle,
    /// Asked for, not a byte of it written: the connection has to come up first, or the turn to end.
    Asked(Attempt),
    /// Written, or being written.
    Out(Attempt),
}

/// One connection to a server.
#[derive(Debug)]
pub struct Link {
    pub server: u32,
    /// The start of the server's life that it was opened to.
    pub came_up: Nanos,
    pub stage: Stage,
    pub up: bool,
    pub used: u64,
    /// For how long it had rested before the call-out at hand, if it was used before.
    pub rested: Option<Nanos>,
    chunks: Option<(Chunks, Vec<u8>, usize)>,
}

/// A whole answer: what it means, and the length of its message in the buffer.
#[derive(Debug, PartialEq)]
pub struct Answer {
    pub how: CallOutcome,
    pub status: u16,
    pub body: Body,
    /// The header lines in the buffer.
    pub head: std::ops::Range<usize>,
    pub length: usize,
    pub reusable: bool,
    pub settled: f64,
    /// The load report's text in the buffer.
    pub load: Option<std::ops::Range<usize>>,
}

/// Where the body is: in the read buffer, or taken out of its chunks.
#[derive(Debug, PartialEq, Eq)]
pub enum Body {
    Read(std::ops::Range<usize>),
    Joined(Vec<u8>),
}

impl Link {
    pub fn new(server: u32, came_up: Nanos) -> Self {
        Link { server, came_up, stage: Stage::Idle, up: false, used: 0, rested: None, chunks: None }
    }

    /// The attempt that is asked for or out here.
    pub fn attempt(&self) -> Option<Attempt> {
        match self.stage {
            Stage::Idle => None,
            Stage::Asked(attempt) | Stage::Out(attempt) => Some(attempt),
        }
    }

    pub fn attempt_mut(&mut self) -> Option<&mut Attempt> {
        match &mut self.stage {
            Stage::Idle => None,
            Stage::Asked(attempt) | Stage::Out(attempt) => Some(attempt),
        }
    }

    pub fn carries(&self, rpc: u32, nth: u16) -> bool {
        self.attempt().is_some_and(|attempt| (attempt.rpc, attempt.nth) == (rpc, nth))
    }

    /// Writes the message of an attempt, with how long this gateway will wait.
    pub fn write(&mut self, out: &mut Vec<u8>, attempt: Attempt, rpc: &Rpc, message: &[u8], wait: Nanos) {
        self.stage = Stage::Out(attempt);
        self.used += 1;
        self.chunks = None;
        out.extend_from_slice(if rpc.get { b"GET " } else { b"POST " });
        out.extend_from_slice(&message[rpc.target.clone()]);
        out.extend_from_slice(b" HTTP/1.1\r\n");
        http::pass_headers(out, &message[rpc.head.clone()], &[]);
        let body = &message[rpc.body.clone()];
        if !rpc.get || !body.is_empty() {
            let _ = write!(out, "Content-Length: {}\r\n", body.len());
        }
        let _ = write!(out, "X-Remaining-Ms: {}\r\n\r\n", wait / 1_000_000);
        out.extend_from_slice(body);
    }

    /// Looks at all that the buffer holds; `ended` tells that no more will come, and how that was: an answer without a
    /// length is whole only once the connection was closed in good order. An error is an answer that can't be read, with
    /// a reason code.
    pub fn look(&mut self, input: &[u8], ended: Option<Ending>) -> Result<Option<Answer>, &'static str> {
        let mut from = 0;
        loop {
            let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
            let mut head = httparse::Response::new(&mut headers);
            let rest = &input[from..input.len().min(HEAD_MOST)];
            let start = match head.parse(rest) {
                Ok(httparse::Status::Complete(length)) => from + length,
                Ok(httparse::Status::Partial) if input.len() >= HEAD_MOST => return Err("head-too-large"),
                Ok(httparse::Status::Partial) => return Ok(None),
                Err(_) => return Err("bad-head"),
            };
            // An interim answer says nothing; what it announces follows, within the bound of one head.
            match head.code.unwrap_or(0) {
                100..200 => from = start,
                status => return self.answer(input, ended, from, start, status, &head),
            }
        }
    }

    /// The answer whose head stands at `from` and whose body begins at `start`.
    fn answer(
        &mut self,
        input: &[u8],
        ended: Option<Ending>,
        from: usize,
        start: usize,
        status: u16,
        head: &httparse::Response,
    ) -> Result<Option<Answer>, &'static str> {
        let line = input[from..start].iter().position(|byte| *byte == b'\n');
        let head_at = line.map_or(start, |end| from + end + 1);
        let bare = status == 204 || status == 304;
        let length = if bare { Ok(Length::Fixed(0)) } else { http::length(head.headers, Length::UntilClose) };
        let (body, end) = match length.map_err(|bad| bad.1)? {
            Length::Fixed(size) if size > BODY_MOST => return Err("body-too-large"),
            Length::Fixed(size) if input.len() < start + size => return Ok(None),
            Length::Fixed(size) => (Body::Read(start..start + size), start + size),
            Length::UntilClose if input.len() > start + BODY_MOST => return Err("body-too-large"),
            Length::UntilClose if ended != Some(Ending::Closed) => return Ok(None),
            Length::UntilClose => (Body::Read(start..input.len()), input.len()),
            Length::Chunked => {
                let (chunks, joined, at) =
                    self.chunks.get_or_insert_with(|| (Chunks::default(), Vec::new(), start));
                *at +=
                    chunks.feed(&input[*at..], |data| joined.extend_from_slice(data)).map_err(|bad| bad.1)?;
                if joined.len() > BODY_MOST {
                    return Err("body-too-large");
                } else if !chunks.is_over() {
                    return Ok(None);
                }
                (Body::Joined(std::mem::take(joined)), *at)
            }
        };
        let turned_away = http::text(head.headers, "x-turned-away") == Some("1");
        let how = match status {
            200 => CallOutcome::Ok,
            503 | 504 if turned_away => CallOutcome::Full,
            _ => CallOutcome::Error,
        };
        let settled = http::text(head.headers, "x-settled").and_then(|units| units.parse().ok());
        let closes = head.version == Some(0) || http::lists(head.headers, "connection", "close");
        Ok(Some(Answer {
            how,
            status,
            body,
            head: head_at..start,
            length: end,
            reusable: !closes && length != Ok(Length::UntilClose) && ended.is_none(),
            settled: settled.filter(|units: &f64| units.is_finite() && *units >= 0.0).unwrap_or(0.0),
            load: http::header(head.headers, "x-pressure").map(|load| http::place(input, load)),
        }))
    }
}

/// The values of a load report in the order of `columns`; one that can't be read makes all of it untold.
pub fn load(text: &[u8], columns: &[String]) -> Vec<f64> {
    let report: serde_json::Value = serde_json::from_slice(text).unwrap_or_default();
    columns.iter().map(|column| report[column.as_str()].as_f64()).collect::<Option<_>>().unwrap_or_default()
}
