//! Servers: the table of servers by name, their connections, and the state machine of one
//! connection, which writes an attempt and parses the response.

use crate::clients::RpcRequest;
use crate::driver::ConnectionEnd;
use crate::http::{self, BodyLength, ChunkedDecoder, MAX_BODY_LEN, MAX_HEAD_LEN, MAX_HEADERS};
use crate::late_data::LateDataHistory;
use martenramp::host::{CallOutcome, DiscoveredServer, Nanos};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::Write;
use std::net::SocketAddr;

/// Share of a server's idle time-out for which a connection is reused.
pub const IDLE_TIMEOUT_SHARE: f64 = 0.6;
/// Defaults for the idle time-out of connections and for the time to establish one.
pub const DEFAULT_IDLE_TIMEOUT: Nanos = 5_000_000_000;
pub const DEFAULT_CONNECT_TIMEOUT: Nanos = 250_000_000;

/// By how much the buffer of a decoded response grows at least, in bytes.
const DECODED_GROWTH: usize = 8 << 10;

/// Number of reused connections whose outcome is remembered, and how long a limit derived from them
/// holds.
const REUSE_SAMPLES: usize = 64;
const REUSE_LIMIT_LIFETIME: Nanos = 30_000_000_000;

/// Outcomes of the last reused connections. Servers, or proxies in front of them, may drop idle
/// connections earlier than configured, which only shows when the next attempt is written: the
/// outcomes reveal after which idle time connections break. This covers proxies and short time-outs
/// alike. Trade-off: if connections break whatever their idle time, the limit may come down by
/// chance; then more connections are opened.
#[derive(Debug, Default)]
pub struct ReuseHistory {
    /// How long each connection had been idle, and whether it broke during its attempt.
    samples: VecDeque<(Nanos, bool)>,
    /// The idle time from which connections are not reused, and when this limit was set.
    idle_limit: Option<(Nanos, Nanos)>,
}

impl ReuseHistory {
    /// Records an outcome. If the quarter with the longest idle times broke more than twice as
    /// often as the others, connections that have been idle for that long are not reused for a
    /// while.
    pub fn record(&mut self, now: Nanos, idle_for: Nanos, broke: bool) {
        self.samples.push_back((idle_for, broke));
        if self.samples.len() < REUSE_SAMPLES {
            return;
        }
        let mut sorted: Vec<(Nanos, bool)> = self.samples.iter().copied().collect();
        sorted.sort_unstable();
        let count_broken = |samples: &[(Nanos, bool)]| samples.iter().filter(|sample| sample.1).count();
        let (shorter, longest) = sorted.split_at(REUSE_SAMPLES * 3 / 4);
        if count_broken(longest) >= REUSE_SAMPLES / 16
            && 3 * count_broken(longest) > 2 * count_broken(shorter)
        {
            self.idle_limit = Some((longest[0].0, now));
            self.samples.clear();
        } else {
            self.samples.pop_front();
        }
    }

    /// Whether a connection that has been idle for this long may be reused.
    pub fn allows(&self, now: Nanos, idle_for: Nanos) -> bool {
        self.idle_limit.is_none_or(|(limit, since)| idle_for < limit || now > since + REUSE_LIMIT_LIFETIME)
    }
}

/// A server, by the number that the admission controller knows it by.
#[derive(Debug)]
pub struct Server {
    pub address: SocketAddr,
    /// The start of its incarnation as stamped in the list, and the same by this process's clock.
    pub listed_start: Nanos,
    pub started_at: Nanos,
    /// Whether new work may be sent to it.
    pub ready: bool,
    /// Idle connections and since when each is idle; the most recently used one is last.
    pub idle_connections: Vec<(usize, Nanos)>,
    pub open_connections: usize,
    /// Until when no attempt waits for one of its connections to have rested.
    pub no_wait_until: Nanos,
    pub is_listed: bool,
    /// The entry that was last passed to the admission controller.
    pub last_listed: DiscoveredServer,
}

impl Server {
    fn new(listed: &DiscoveredServer, address: SocketAddr, listed_start: Nanos) -> Self {
        Server {
            address,
            listed_start,
            started_at: listed.started_at,
            ready: listed.ready,
            idle_connections: Vec::new(),
            open_connections: 0,
            no_wait_until: 0,
            is_listed: true,
            last_listed: listed.clone(),
        }
    }

    /// Whether the list held the same entry before, whatever the server's number.
    pub fn is_listed_as(&self, listed: &DiscoveredServer, address: SocketAddr) -> bool {
        let is_same_entry = |a: &DiscoveredServer, b: &DiscoveredServer| {
            (a.service, a.key, a.zone, a.kind, a.cell) == (b.service, b.key, b.zone, b.kind, b.cell)
                && (a.ready, a.weight.to_bits()) == (b.ready, b.weight.to_bits())
        };
        let is_same_incarnation = self.listed_start == listed.started_at;
        self.is_listed
            && self.address == address
            && is_same_incarnation
            && is_same_entry(&self.last_listed, listed)
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
    /// Servers that are no longer listed but still have connections.
    delisted: BTreeSet<u32>,
    pub reuse_history: ReuseHistory,
    pub late_data: LateDataHistory,
    last_number: u32,
}

impl Servers {
    /// Adds or updates a listed server. Returns its number and the idle connections that lead to
    /// another address or to an earlier incarnation and can't be used any more.
    pub fn upsert(&mut self, listed: &DiscoveredServer, address: SocketAddr) -> (u32, Vec<usize>) {
        self.upsert_with_start(listed, address, listed.started_at)
    }

    /// Like [`Servers::upsert`], for a server whose start by this process's clock differs from the
    /// one stamped in the list.
    pub fn upsert_with_start(
        &mut self,
        listed: &DiscoveredServer,
        address: SocketAddr,
        started_at: Nanos,
    ) -> (u32, Vec<usize>) {
        let last_number = &mut self.last_number;
        let number = *self.numbers_by_key.entry(listed.key).or_insert_with(|| {
            *last_number += 1;
            *last_number
        });
        self.delisted.remove(&number);
        let entry = DiscoveredServer { server: number, started_at, ..listed.clone() };
        let listed_start = listed.started_at;
        let server =
            self.by_number.entry(number).or_insert_with(|| Server::new(&entry, address, listed_start));
        let moved = server.address != address || server.listed_start != listed_start;
        let stale = if moved { server.take_idle_connections() } else { Vec::new() };
        (server.address, server.listed_start, server.started_at) = (address, listed_start, entry.started_at);
        (server.is_listed, server.ready) = (true, entry.ready);
        server.last_listed = entry;
        (number, stale)
    }

    /// Removes a server from the list. Returns the entry for the admission controller and the idle
    /// connections, which can't be used any more.
    pub fn delist(&mut self, key: u64) -> Option<(DiscoveredServer, Vec<usize>)> {
        let number = *self.numbers_by_key.get(&key)?;
        let server = self.by_number.get_mut(&number)?;
        (server.is_listed, server.ready, server.last_listed.ready) = (false, false, false);
        self.delisted.insert(number);
        Some((server.last_listed.clone(), server.take_idle_connections()))
    }

    /// Returns the server with this key, listed or kept for its connections.
    pub fn by_key(&self, key: u64) -> Option<&Server> {
        self.by_number.get(self.numbers_by_key.get(&key)?)
    }

    /// Removes servers that are no longer listed and have no connection left.
    pub fn remove_unused(&mut self) {
        let Servers { numbers_by_key, by_number, delisted, .. } = self;
        delisted.retain(|number| {
            let is_unused = by_number.get(number).is_none_or(|server| server.open_connections == 0);
            if is_unused && let Some(server) = by_number.remove(number) {
                numbers_by_key.remove(&server.last_listed.key);
            }
            !is_unused
        });
    }
}

/// The attempt on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    pub rpc: u32,
    /// Attempts of an RPC are numbered from 0.
    pub number: u16,
    /// When it was requested, by when it must be answered, and before when it must be written.
    pub requested_at: Nanos,
    pub deadline: Nanos,
    pub write_by: Nanos,
}

/// State of a connection to a server.
#[derive(Debug, PartialEq, Eq)]
pub enum Stage {
    Idle,
    /// An attempt is requested and no byte of it is written: the connection is not established yet,
    /// or the turn has not ended.
    Requested(Attempt),
    /// The attempt is being written, or has been written.
    InFlight(Attempt),
}

/// A connection to a server.
#[derive(Debug)]
pub struct ServerConnection {
    pub server: u32,
    /// Start of the server incarnation to which the connection was opened.
    pub server_started_at: Nanos,
    pub stage: Stage,
    pub is_connected: bool,
    /// Number of attempts written on this connection.
    pub attempts: u64,
    /// How long the connection had been idle before the current attempt, if it was reused.
    pub idle_for: Option<Nanos>,
    /// When the last response on this connection was read.
    pub answered_at: Option<Nanos>,
    /// Decoder of a chunked response, the bytes decoded so far, and the offset up to which the
    /// input has been decoded.
    chunks: Option<(ChunkedDecoder, Vec<u8>, usize)>,
}

/// A complete response: its meaning, and the length of its message in the buffer.
#[derive(Debug, PartialEq)]
pub struct Response {
    pub outcome: CallOutcome,
    pub status: u16,
    pub body: Body,
    /// Range of the header lines in the buffer.
    pub header_lines: std::ops::Range<usize>,
    pub message_length: usize,
    /// Whether the connection may carry another attempt.
    pub reusable: bool,
    /// The actual units, where they are known only afterwards; 0 if not reported.
    pub settled: f64,
    /// Range of the load report in the buffer.
    pub load_report: Option<std::ops::Range<usize>>,
}

/// Where the body is: in the read buffer, or decoded from its chunks.
#[derive(Debug, PartialEq, Eq)]
pub enum Body {
    Buffered(std::ops::Range<usize>),
    Decoded(Vec<u8>),
}

impl ServerConnection {
    pub fn new(server: u32, server_started_at: Nanos) -> Self {
        ServerConnection {
            server,
            server_started_at,
            stage: Stage::Idle,
            is_connected: false,
            attempts: 0,
            idle_for: None,
            answered_at: None,
            chunks: None,
        }
    }

    /// From when on the connection may carry another attempt, if it rests for this long after each
    /// response.
    pub fn rested_at(&self, rest: Nanos) -> Nanos {
        self.answered_at.map_or(0, |answered_at| answered_at + rest)
    }

    /// Memory held by the decoded part of a chunked response, in bytes.
    pub fn decoded_bytes(&self) -> usize {
        self.chunks.as_ref().map_or(0, |(_, decoded, _)| decoded.capacity())
    }

    /// Returns the attempt that is requested or in flight on this connection.
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

    /// Whether this attempt is on this connection.
    pub fn carries(&self, rpc: u32, number: u16) -> bool {
        self.attempt().is_some_and(|attempt| (attempt.rpc, attempt.number) == (rpc, number))
    }

    /// Writes the request of an attempt, with the time for which this gateway will wait.
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

    /// Parses the whole buffer. `connection_end` is set if no more data will come: a response
    /// without a length is complete only after the connection was closed in an orderly way. The
    /// error is the reason code of an invalid response.
    pub fn parse_response(
        &mut self,
        input: &[u8],
        connection_end: Option<ConnectionEnd>,
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
            // Interim responses are skipped; the final one follows, within the limit of one head.
            match head.code.unwrap_or(0) {
                100..200 => from = start,
                status => return self.finish_response(input, connection_end, from, start, status, &head),
            }
        }
    }

    /// Parses the response whose head is at `from` and whose body begins at `start`.
    fn finish_response(
        &mut self,
        input: &[u8],
        connection_end: Option<ConnectionEnd>,
        from: usize,
        start: usize,
        status: u16,
        head: &httparse::Response,
    ) -> Result<Option<Response>, &'static str> {
        let status_line_end = input[from..start].iter().position(|byte| *byte == b'\n');
        let header_lines_start = status_line_end.map_or(start, |end| from + end + 1);
        let has_no_body = status == 204 || status == 304;
        let length = if has_no_body {
            Ok(BodyLength::Fixed(0))
        } else {
            http::body_length(head.headers, BodyLength::UntilClose)
        };
        let (body, message_length) = match length.map_err(|error| error.1)? {
            BodyLength::Fixed(size) if size > MAX_BODY_LEN => return Err("body-too-large"),
            BodyLength::Fixed(size) if input.len() < start + size => return Ok(None),
            BodyLength::Fixed(size) => (Body::Buffered(start..start + size), start + size),
            BodyLength::UntilClose if input.len() > start + MAX_BODY_LEN => return Err("body-too-large"),
            BodyLength::UntilClose if connection_end != Some(ConnectionEnd::Closed) => return Ok(None),
            BodyLength::UntilClose => (Body::Buffered(start..input.len()), input.len()),
            BodyLength::Chunked => {
                let (chunks, decoded, decoded_to) =
                    self.chunks.get_or_insert_with(|| (ChunkedDecoder::default(), Vec::new(), start));
                *decoded_to += chunks
                    .feed(&input[*decoded_to..], |data| append_decoded(decoded, data))
                    .map_err(|error| error.1)?;
                if decoded.len() > MAX_BODY_LEN {
                    return Err("body-too-large");
                } else if !chunks.is_complete() {
                    return Ok(None);
                }
                (Body::Decoded(std::mem::take(decoded)), *decoded_to)
            }
        };
        let rejected = http::header_text(head.headers, "x-turned-away") == Some("1");
        let outcome = match status {
            200 => CallOutcome::Ok,
            503 | 504 if rejected => CallOutcome::Full,
            _ => CallOutcome::Error,
        };
        let settled = http::header_text(head.headers, "x-settled").and_then(|units| units.parse().ok());
        let closes_connection =
            head.version == Some(0) || http::header_has_token(head.headers, "connection", "close");
        Ok(Some(Response {
            outcome,
            status,
            body,
            header_lines: header_lines_start..start,
            message_length,
            reusable: !closes_connection && length != Ok(BodyLength::UntilClose) && connection_end.is_none(),
            settled: settled.filter(|units: &f64| units.is_finite() && *units >= 0.0).unwrap_or(0.0),
            load_report: http::header(head.headers, "x-pressure").map(|load| http::range_within(input, load)),
        }))
    }
}

/// Appends decoded bytes. The buffer grows by steps instead of doubling, so that it never takes more
/// than one step beyond the longest body.
fn append_decoded(decoded: &mut Vec<u8>, data: &[u8]) {
    if decoded.capacity() < decoded.len() + data.len() {
        decoded.reserve_exact(data.len().max(DECODED_GROWTH));
    }
    decoded.extend_from_slice(data);
}

/// Returns the values of a load report in the order of `columns`, or nothing if any of them can't
/// be read.
pub fn parse_load_report(text: &[u8], columns: &[String]) -> Vec<f64> {
    let report: serde_json::Value = serde_json::from_slice(text).unwrap_or_default();
    columns.iter().map(|column| report[column.as_str()].as_f64()).collect::<Option<_>>().unwrap_or_default()
}
