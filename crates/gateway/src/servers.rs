//! Servers: who they are by name, the connections to each, and the state machine of one connection, which
//! writes a call-out and reads its answer.

use crate::clients::RpcRequest;
use crate::driver::ConnectionEnd;
use crate::http::{self, BodyLength, ChunkedDecoder, MAX_BODY_LEN, MAX_HEAD_LEN, MAX_HEADERS};
use martenramp::host::{CallOutcome, DiscoveredServer, Nanos};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::Write;
use std::net::SocketAddr;

/// Of the told time after which a machine closes an idle connection, the part that one is used for.
pub const IDLE_TIMEOUT_SHARE: f64 = 0.6;
/// What applies where no times are told.
pub const DEFAULT_IDLE_TIMEOUT: Nanos = 5_000_000_000;
pub const DEFAULT_CONNECT_TIMEOUT: Nanos = 250_000_000;

/// Of the last reused connections so many are remembered, and what they show for so long.
const REUSE_SAMPLES: usize = 64;
const REUSE_LIMIT_LIFETIME: Nanos = 30_000_000_000;

/// Guards against servers, or what stands before them, that drop idle connections sooner than told, and say so only
/// when the next call-out is written: the last reuses show from which rest on they break. Covers proxies and short
/// time-outs alike. Harm: by chance the limit comes down on a day when connections break whatever their rest; then
/// more are opened.
#[derive(Debug, Default)]
pub struct ReuseHistory {
    /// For how long each had rested, and whether it broke under its call-out.
    samples: VecDeque<(Nanos, bool)>,
    idle_limit: Option<(Nanos, Nanos)>,
}

impl ReuseHistory {
    /// Once the longest-rested quarter broke more than twice as often as the others, what has rested so long is not
    /// used again for a while.
    pub fn record(&mut self, now: Nanos, rested: Nanos, broke: bool) {
        self.samples.push_back((rested, broke));
        if self.samples.len() < REUSE_SAMPLES {
            return;
        }
        let mut sorted: Vec<(Nanos, bool)> = self.samples.iter().copied().collect();
        sorted.sort_unstable();
        let broken = |some: &[(Nanos, bool)]| some.iter().filter(|one| one.1).count();
        let (young, old) = sorted.split_at(REUSE_SAMPLES * 3 / 4);
        if broken(old) >= REUSE_SAMPLES / 16 && 3 * broken(old) > 2 * broken(young) {
            self.idle_limit = Some((old[0].0, now));
            self.samples.clear();
        } else {
            self.samples.pop_front();
        }
    }

    pub fn allows(&self, now: Nanos, rested: Nanos) -> bool {
        self.idle_limit.is_none_or(|(limit, since)| rested < limit || now > since + REUSE_LIMIT_LIFETIME)
    }
}

/// A server under the number that the module knows it by.
#[derive(Debug)]
pub struct Server {
    pub address: SocketAddr,
    /// The start of its life as the list stamps it, and when that was by this process's clock.
    pub listed_start: Nanos,
    pub started_at: Nanos,
    /// Whether new work may go there.
    pub ready: bool,
    /// Idle connections, the one used last at the end, and since when.
    pub idle_connections: Vec<(usize, Nanos)>,
    pub open_connections: usize,
    pub is_listed: bool,
    /// What the module was told of it last.
    pub last_listed: DiscoveredServer,
}

impl Server {
    fn new(told: &DiscoveredServer, address: SocketAddr, stamp: Nanos) -> Self {
        Server {
            address,
            listed_start: stamp,
            started_at: told.started_at,
            ready: told.ready,
            idle_connections: Vec::new(),
            open_connections: 0,
            is_listed: true,
            last_listed: told.clone(),
        }
    }

    /// Whether the list said the same of it before, whatever the number there.
    pub fn is_listed_as(&self, listed: &DiscoveredServer, address: SocketAddr) -> bool {
        let is_same = |one: &DiscoveredServer, two: &DiscoveredServer| {
            (one.service, one.key, one.zone, one.kind, one.cell)
                == (two.service, two.key, two.zone, two.kind, two.cell)
                && (one.ready, one.weight.to_bits()) == (two.ready, two.weight.to_bits())
        };
        let is_same_life = self.listed_start == listed.started_at;
        self.is_listed && self.address == address && is_same_life && is_same(&self.last_listed, listed)
    }

    fn take_idle_connections(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.idle_connections).into_iter().map(|idle| idle.0).collect()
    }
}

/// All servers, by the key of their names and by number.
#[derive(Debug, Default)]
pub struct Servers {
    numbers_by_key: BTreeMap<u64, u32>,
    pub by_number: BTreeMap<u32, Server>,
    /// Those that are not listed any more, and are held for their connections.
    delisted: BTreeSet<u32>,
    pub reuse_history: ReuseHistory,
    last_number: u32,
}

impl Servers {
    /// Takes a listed server: its number, and the idle connections to what it was before: those to another address or an
    /// earlier life are of no more use.
    pub fn upsert(&mut self, listed: &DiscoveredServer, address: SocketAddr) -> (u32, Vec<usize>) {
        self.upsert_with_start(listed, address, listed.started_at)
    }

    /// The same where the start that the list stamps was at another time by this process's clock.
    pub fn upsert_with_start(
        &mut self,
        listed: &DiscoveredServer,
        address: SocketAddr,
        came_up: Nanos,
    ) -> (u32, Vec<usize>) {
        let last = &mut self.last_number;
        let number = *self.numbers_by_key.entry(listed.key).or_insert_with(|| {
            *last += 1;
            *last
        });
        self.delisted.remove(&number);
        let told = DiscoveredServer { server: number, started_at: came_up, ..listed.clone() };
        let stamp = listed.started_at;
        let server = self.by_number.entry(number).or_insert_with(|| Server::new(&told, address, stamp));
        let moved = server.address != address || server.listed_start != stamp;
        let stale = if moved { server.take_idle_connections() } else { Vec::new() };
        (server.address, server.listed_start, server.started_at) = (address, stamp, told.started_at);
        (server.is_listed, server.ready) = (true, told.ready);
        server.last_listed = told;
        (number, stale)
    }

    /// Takes a server off the list: what the module is to be told, and the idle connections, which are of no more use.
    pub fn delist(&mut self, key: u64) -> Option<(DiscoveredServer, Vec<usize>)> {
        let number = *self.numbers_by_key.get(&key)?;
        let server = self.by_number.get_mut(&number)?;
        (server.is_listed, server.ready, server.last_listed.ready) = (false, false, false);
        self.delisted.insert(number);
        Some((server.last_listed.clone(), server.take_idle_connections()))
    }

    /// The server with this key, listed or held for its connections.
    pub fn by_key(&self, key: u64) -> Option<&Server> {
        self.by_number.get(self.numbers_by_key.get(&key)?)
    }

    /// Drops those that are not listed any more and have no connection left.
    pub fn remove_unused(&mut self) {
        let Servers { numbers_by_key: numbers, by_number, delisted: left, .. } = self;
        left.retain(|number| {
            let over = by_number.get(number).is_none_or(|server| server.open_connections == 0);
            if over && let Some(server) = by_number.remove(number) {
                numbers.remove(&server.last_listed.key);
            }
            !over
        });
    }
}

/// The attempt that a connection carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    pub rpc: u32,
    pub number: u16,
    /// When it was asked for, by when it has to be answered, and before when it has to be written.
    pub requested_at: Nanos,
    pub deadline: Nanos,
    pub write_by: Nanos,
}

/// Where a connection to a server stands.
#[derive(Debug, PartialEq, Eq)]
pub enum Stage {
    Idle,
    /// Asked for, not a byte of it written: the connection has to come up first, or the turn to end.
    Requested(Attempt),
    /// Written, or being written.
    InFlight(Attempt),
}

/// One connection to a server.
#[derive(Debug)]
pub struct ServerConnection {
    pub server: u32,
    /// The start of the server's life that it was opened to.
    pub server_started_at: Nanos,
    pub stage: Stage,
    pub is_connected: bool,
    pub attempts: u64,
    /// For how long it had rested before the call-out at hand, if it was used before.
    pub idle_for: Option<Nanos>,
    chunks: Option<(ChunkedDecoder, Vec<u8>, usize)>,
}

/// A whole answer: what it means, and the length of its message in the buffer.
#[derive(Debug, PartialEq)]
pub struct Response {
    pub end: CallOutcome,
    pub status: u16,
    pub body: Body,
    /// The header lines in the buffer.
    pub header_lines: std::ops::Range<usize>,
    pub message_length: usize,
    pub reusable: bool,
    pub settled: f64,
    /// The load report's text in the buffer.
    pub load_report: Option<std::ops::Range<usize>>,
}

/// Where the body is: in the read buffer, or taken out of its chunks.
#[derive(Debug, PartialEq, Eq)]
pub enum Body {
    Buffered(std::ops::Range<usize>),
    Decoded(Vec<u8>),
}

impl ServerConnection {
    pub fn new(server: u32, came_up: Nanos) -> Self {
        ServerConnection {
            server,
            server_started_at: came_up,
            stage: Stage::Idle,
            is_connected: false,
            attempts: 0,
            idle_for: None,
            chunks: None,
        }
    }

    /// The attempt that is asked for or out here.
    pub fn attempt(&self) -> Option<Attempt> {
        match self.stage {
            Stage::Idle => None,
            Stage::Requested(attempt) | Stage::InFlight(attempt) => Some(attempt),
        }
    }

    pub fn attempt_mut(&mut self) -> Option<&mut Attempt> {
        match &mut self.stage {
            Stage::Idle => None,
            Stage::Requested(attempt) | Stage::InFlight(attempt) => Some(attempt),
        }
    }

    pub fn carries(&self, rpc: u32, nth: u16) -> bool {
        self.attempt().is_some_and(|attempt| (attempt.rpc, attempt.number) == (rpc, nth))
    }

    /// Writes the message of an attempt, with how long this gateway will wait.
    pub fn write_attempt(
        &mut self,
        out: &mut Vec<u8>,
        attempt: Attempt,
        rpc: &RpcRequest,
        message: &[u8],
        wait: Nanos,
    ) {
        self.stage = Stage::InFlight(attempt);
        self.attempts += 1;
        self.chunks = None;
        out.extend_from_slice(if rpc.is_get { b"GET " } else { b"POST " });
        out.extend_from_slice(&message[rpc.target.clone()]);
        out.extend_from_slice(b" HTTP/1.1\r\n");
        http::forward_headers(out, &message[rpc.header_lines.clone()], &[]);
        let body = &message[rpc.body.clone()];
        if !rpc.is_get || !body.is_empty() {
            let _ = write!(out, "Content-Length: {}\r\n", body.len());
        }
        let _ = write!(out, "X-Remaining-Ms: {}\r\n\r\n", wait / 1_000_000);
        out.extend_from_slice(body);
    }

    /// Looks at all that the buffer holds; `ended` tells that no more will come, and how that was: an answer without a
    /// length is whole only once the connection was closed in good order. An error is an answer that can't be read, with
    /// a reason code.
    pub fn parse_response(
        &mut self,
        input: &[u8],
        ended: Option<ConnectionEnd>,
    ) -> Result<Option<Response>, &'static str> {
        let mut from = 0;
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut head = httparse::Response::new(&mut headers);
            let rest = &input[from..input.len().min(MAX_HEAD_LEN)];
            let start = match head.parse(rest) {
                Ok(httparse::Status::Complete(length)) => from + length,
                Ok(httparse::Status::Partial) if input.len() >= MAX_HEAD_LEN => return Err("head-too-large"),
                Ok(httparse::Status::Partial) => return Ok(None),
                Err(_) => return Err("bad-head"),
            };
            // An interim answer says nothing; what it announces follows, within the bound of one head.
            match head.code.unwrap_or(0) {
                100..200 => from = start,
                status => return self.finish_response(input, ended, from, start, status, &head),
            }
        }
    }

    /// The answer whose head stands at `from` and whose body begins at `start`.
    fn finish_response(
        &mut self,
        input: &[u8],
        ended: Option<ConnectionEnd>,
        from: usize,
        start: usize,
        status: u16,
        head: &httparse::Response,
    ) -> Result<Option<Response>, &'static str> {
        let line = input[from..start].iter().position(|byte| *byte == b'\n');
        let head_at = line.map_or(start, |end| from + end + 1);
        let bare = status == 204 || status == 304;
        let length = if bare {
            Ok(BodyLength::Fixed(0))
        } else {
            http::body_length(head.headers, BodyLength::UntilClose)
        };
        let (body, end) = match length.map_err(|bad| bad.1)? {
            BodyLength::Fixed(size) if size > MAX_BODY_LEN => return Err("body-too-large"),
            BodyLength::Fixed(size) if input.len() < start + size => return Ok(None),
            BodyLength::Fixed(size) => (Body::Buffered(start..start + size), start + size),
            BodyLength::UntilClose if input.len() > start + MAX_BODY_LEN => return Err("body-too-large"),
            BodyLength::UntilClose if ended != Some(ConnectionEnd::Closed) => return Ok(None),
            BodyLength::UntilClose => (Body::Buffered(start..input.len()), input.len()),
            BodyLength::Chunked => {
                let (chunks, joined, at) =
                    self.chunks.get_or_insert_with(|| (ChunkedDecoder::default(), Vec::new(), start));
                *at +=
                    chunks.feed(&input[*at..], |data| joined.extend_from_slice(data)).map_err(|bad| bad.1)?;
                if joined.len() > MAX_BODY_LEN {
                    return Err("body-too-large");
                } else if !chunks.is_complete() {
                    return Ok(None);
                }
                (Body::Decoded(std::mem::take(joined)), *at)
            }
        };
        let turned_away = http::header_text(head.headers, "x-turned-away") == Some("1");
        let how = match status {
            200 => CallOutcome::Ok,
            503 | 504 if turned_away => CallOutcome::Full,
            _ => CallOutcome::Error,
        };
        let settled = http::header_text(head.headers, "x-settled").and_then(|units| units.parse().ok());
        let closes = head.version == Some(0) || http::header_has_token(head.headers, "connection", "close");
        Ok(Some(Response {
            end: how,
            status,
            body,
            header_lines: head_at..start,
            message_length: end,
            reusable: !closes && length != Ok(BodyLength::UntilClose) && ended.is_none(),
            settled: settled.filter(|units: &f64| units.is_finite() && *units >= 0.0).unwrap_or(0.0),
            load_report: http::header(head.headers, "x-pressure").map(|load| http::range_within(input, load)),
        }))
    }
}

/// The values of a load report in the order of `columns`; one that can't be read makes all of it untold.
pub fn parse_load_report(text: &[u8], columns: &[String]) -> Vec<f64> {
    let report: serde_json::Value = serde_json::from_slice(text).unwrap_or_default();
    columns.iter().map(|column| report[column.as_str()].as_f64()).collect::<Option<_>>().unwrap_or_default()
}
