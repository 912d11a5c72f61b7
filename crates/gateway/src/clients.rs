//! Client connections: a state machine that finds RPCs in the bytes of one connection, and the
//! writing of responses.

use crate::config::Config;
use crate::eviction::IdleState;
use crate::guard::RetrySafety;
use crate::http::{self, BodyLength, MAX_BODY_LEN, MAX_HEAD_LEN, MAX_HEADERS, MessageError};
use crate::phase::Phase;
use martenramp::host::Nanos;
use std::collections::VecDeque;
use std::io::Write;
use std::ops::Range;

/// Largest `X-Remaining-Ms` of an RPC that is accepted; a larger value is taken as a mistake.
const MAX_REMAINING_MS: u64 = 3_600_000;
/// Time within which a new connection's first message must be complete, counted from the accept,
/// and every other message, counted from its first byte. Also how long a client may take to read
/// the last response on its connection.
pub const MESSAGE_TIMEOUT: Nanos = 2_000_000_000;
/// Connections without an RPC for this long are closed; clients open another when they need one.
pub const IDLE_TIMEOUT: Nanos = 10_000_000_000;

/// Response to clients for which there is no room; their messages are not parsed.
pub const UNAVAILABLE_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// How many messages behind the first one are read from one buffer in a turn: a full buffer of small ones would delay all
/// other clients.
const MAX_READS_PER_TURN: usize = 16;
/// How many reads of one buffer are recorded with their times; bytes of later reads count as read
/// with the last of them.
const MAX_READ_TIMES: usize = 64;

/// A parsed RPC request. The ranges refer to the read buffer of its connection, which keeps the
/// bytes until the response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RpcRequest {
    pub is_get: bool,
    pub target: Range<usize>,
    /// The header lines without the request line.
    pub header_lines: Range<usize>,
    pub body: Range<usize>,
    /// The RPC's id.
    pub txn: Range<usize>,
    pub method: u16,
    pub plan: u16,
    pub customer: u64,
    pub remaining_ms: u64,
    pub units: f64,
    /// How many gateways the customer's RPCs come in through, and the number of the first of them.
    pub width: u32,
    pub first: u32,
    /// The connection closes after the response.
    pub close: bool,
}

/// What the bytes in the buffer amount to.
#[derive(Clone, Debug, PartialEq)]
pub enum Parsed {
    /// No complete message yet.
    Incomplete,
    /// The client sent `Expect: 100-continue` and waits for permission to send the body.
    Continue,
    Rpc(RpcRequest),
    /// A readiness or health request for the gateway itself, with its length in the buffer.
    Ready(usize),
    Healthy(usize),
}

/// A client's connection.
#[derive(Debug, Default)]
pub struct Client {
    /// The connection's phase; changed only by [`Client::set_phase`].
    pub phase: Phase,
    /// When the current state began: in the middle of a message, when its first byte was read;
    /// between messages, when the last response was fully written; during a response, when some of
    /// it was last written; while closing, when this side shut down its sending.
    pub state_since: Nanos,
    /// When the current message's first byte was received, which may be before the response to the
    /// previous message.
    pub message_received_at: Nanos,
    /// Pairs of a buffer length and the time at which the buffer had been filled up to it, in
    /// order.
    pub read_times: VecDeque<(usize, Nanos)>,
    /// The buffer holds part of a message, of which this many bytes have been parsed.
    pub partial: bool,
    pub parsed_bytes: usize,
    /// `100 Continue` was sent for the current message.
    pub continue_sent: bool,
    /// The client sent further messages before its response, and what exceeded the buffer was
    /// dropped.
    pub sent_excess: bool,
    /// Accepted beyond the clients' share of descriptors, only to reject its requests.
    pub over_limit: bool,
    /// Number of responses on this connection.
    pub served: u64,
    /// The last turn in which a further message of the buffer was read, and how many were read in it.
    pub last_read_turn: u64,
    pub reads_in_turn: usize,
}

impl Client {
    /// Every phase change goes through here.
    pub fn set_phase(&mut self, to: Phase, now: Nanos) {
        debug_assert!(self.phase.can_become(&to), "{:?} to {to:?}", self.phase);
        self.phase = to;
        self.state_since = now;
    }

    /// Returns what the connection is doing if no response is owed on it.
    pub fn idle_state(&self) -> Option<IdleState> {
        match self.phase {
            Phase::Reading if self.partial => Some(IdleState::MidMessage(self.state_since)),
            Phase::Reading if self.served == 0 => Some(IdleState::Silent(self.state_since)),
            Phase::Reading => Some(IdleState::KeepAlive(self.state_since)),
            Phase::HalfClosed { .. } => Some(IdleState::HalfClosed(self.state_since)),
            Phase::AwaitingAnswer { .. } | Phase::WritingAnswer { .. } => None,
        }
    }

    /// Records that the buffer holds `length` bytes at this time, so that a message that arrived
    /// behind another is not timed from that one's response. Trade-off: with more than
    /// [`MAX_READ_TIMES`] reads the last ones count as received too early.
    pub fn record_read(&mut self, length: usize, now: Nanos) {
        if length == 0 {
            return; // no bytes were read: the next byte gets its own time
        }
        let is_full = self.read_times.len() >= MAX_READ_TIMES;
        match self.read_times.back_mut() {
            Some(last) if last.0 >= length => {}
            Some(last) if is_full => last.0 = length,
            _ => self.read_times.push_back((length, now)),
        }
    }

    /// Counts one more message to read in this turn; false if the connection has had its share.
    pub fn may_read_again(&mut self, turn: u64) -> bool {
        if self.last_read_turn != turn {
            (self.last_read_turn, self.reads_in_turn) = (turn, 0);
        }
        self.reads_in_turn += 1;
        self.reads_in_turn <= MAX_READS_PER_TURN
    }

    /// Removes this many bytes from the front of the recorded reads.
    pub fn consume(&mut self, bytes: usize) {
        self.read_times.iter_mut().for_each(|read| read.0 = read.0.saturating_sub(bytes));
        self.read_times.retain(|read| read.0 > 0);
    }

    /// Parses the whole buffer; called while no RPC is being handled.
    pub fn parse_message(
        &mut self,
        config: &Config,
        now: Nanos,
        input: &[u8],
    ) -> Result<Parsed, MessageError> {
        if !self.partial && !input.is_empty() {
            (self.partial, self.state_since) = (true, now);
            self.message_received_at = self.read_times.front().map_or(now, |read| read.1);
        }
        self.parsed_bytes = input.len();
        let parsed = parse(config, input)?;
        if parsed == Parsed::Continue && std::mem::replace(&mut self.continue_sent, true) {
            return Ok(Parsed::Incomplete);
        }
        if !matches!(parsed, Parsed::Incomplete | Parsed::Continue) {
            (self.partial, self.continue_sent) = (false, false);
        }
        Ok(parsed)
    }
}

/// Parses the first message in the buffer.
fn parse(config: &Config, input: &[u8]) -> Result<Parsed, MessageError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let start = match head.parse(&input[..input.len().min(MAX_HEAD_LEN)]) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if input.len() >= MAX_HEAD_LEN => {
            return Err(MessageError(431, "head-too-large"));
        }
        Ok(httparse::Status::Partial) => return Ok(Parsed::Incomplete),
        Err(httparse::Error::TooManyHeaders) => return Err(MessageError(431, "too-many-headers")),
        Err(_) => return Err(MessageError(400, "bad-head")),
    };
    let BodyLength::Fixed(size) = http::body_length(head.headers, BodyLength::Fixed(0))? else {
        return Err(MessageError(411, "length-required"));
    };
    if size > MAX_BODY_LEN {
        return Err(MessageError(413, "body-too-large"));
    }
    let end = start + size;
    let (method, target) = (head.method.unwrap_or_default(), head.path.unwrap_or_default());
    let path = target.split('?').next().unwrap_or_default();
    if path.starts_with("/-/") {
        return match path {
            _ if method != "GET" => Err(MessageError(405, "bad-method")),
            _ if input.len() < end => Ok(Parsed::Incomplete),
            "/-/ready" => Ok(Parsed::Ready(end)),
            "/-/healthy" => Ok(Parsed::Healthy(end)),
            _ => Err(MessageError(404, "unknown-path")),
        };
    }
    let (headers, version) = (&*head.headers, head.version.unwrap_or(0));
    let is_get = match method {
        "GET" => true,
        "POST" => false,
        _ => return Err(MessageError(405, "bad-method")),
    };
    let hex =
        path.rsplit('/').next().filter(|hex| hex.len() == 16 && hex.bytes().all(|b| b.is_ascii_hexdigit()));
    let customer =
        hex.and_then(|hex| u64::from_str_radix(hex, 16).ok()).filter(|customer| *customer < 1 << 33);
    let customer = customer.ok_or(MessageError(404, "unknown-path"))?;
    let method_name = http::single_header(headers, "x-lane").ok_or(MessageError(400, "no-method"))?;
    let number = config
        .methods
        .iter()
        .position(|known| known.name == method_name)
        .ok_or(MessageError(400, "unknown-method"))?;
    let retry_safety = config.methods[number].effect;
    if is_get != (retry_safety == RetrySafety::Idempotent) {
        // A method that is not idempotent must not be sent as a GET, nor an idempotent one as a
        // POST.
        return Err(MessageError(405, "bad-method"));
    }
    let plan_name = http::single_header(headers, "x-contract").ok_or(MessageError(400, "no-plan"))?;
    let plan =
        config.plans.iter().position(|known| known == plan_name).ok_or(MessageError(400, "unknown-plan"))?;
    if matches!(retry_safety, RetrySafety::Deduplicated { .. })
        && http::single_header(headers, "idempotency-key").is_none()
    {
        // Without the key the server can't recognise a repeat.
        return Err(MessageError(400, "no-idempotency-key"));
    }
    let txn = http::single_header(headers, "x-txn").ok_or(MessageError(400, "no-txn"))?;
    let remaining = http::single_header(headers, "x-remaining-ms").and_then(|ms| ms.parse().ok());
    let remaining_ms =
        remaining.filter(|ms| *ms <= MAX_REMAINING_MS).ok_or(MessageError(400, "bad-remaining"))?;
    let metering = http::single_header(headers, "x-metering").ok_or(MessageError(400, "no-metering"))?;
    let (units, width, first) = parse_metering(metering).ok_or(MessageError(400, "bad-metering"))?;
    // Protects the customer's quota, which is shared with others: one absurd amount would use it up
    // for good.
    if units > config.max_units || width > config.gateways || first >= config.gateways {
        return Err(MessageError(400, "bad-metering"));
    }
    if input.len() < end {
        let expects_continue = http::header_has_token(headers, "expect", "100-continue");
        return Ok(if expects_continue { Parsed::Continue } else { Parsed::Incomplete });
    }
    Ok(Parsed::Rpc(RpcRequest {
        is_get,
        target: http::range_within(input, target.as_bytes()),
        header_lines: header_lines_start(&input[..start])..start,
        body: start..end,
        txn: http::range_within(input, txn.as_bytes()),
        method: number as u16,
        plan: plan as u16,
        customer,
        remaining_ms,
        units,
        width,
        first,
        close: version == 0 || http::header_has_token(headers, "connection", "close"),
    }))
}

/// Returns the offset of the first header line, behind the request line and any empty lines before
/// it.
fn header_lines_start(head: &[u8]) -> usize {
    let blank = head.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
    let line_end = head[blank..].iter().position(|byte| *byte == b'\n');
    line_end.map_or(head.len(), |end| blank + end + 1)
}

/// Parses `units=2,spread=3,first=1`; each key must occur once, and unknown keys are ignored.
fn parse_metering(text: &str) -> Option<(f64, u32, u32)> {
    let unique_value = |name: &str| {
        let mut matching =
            text.split(',').filter_map(|part| part.split_once('=')).filter(|part| part.0.trim() == name);
        let value = matching.next().map(|part| part.1.trim());
        value.filter(|_| matching.next().is_none())
    };
    let units =
        unique_value("units")?.parse().ok().filter(|units: &f64| units.is_finite() && *units > 0.0)?;
    let width = unique_value("spread")?.parse().ok().filter(|width| *width > 0)?;
    Some((units, width, unique_value("first")?.parse().ok()?))
}

/// Writes the head of a response whose body has this length. `lines` are header lines to forward;
/// `retry_after` of 0 writes no `Retry-After` header.
pub fn write_response_head(
    out: &mut Vec<u8>,
    status: u16,
    length: usize,
    lines: &[u8],
    retry_after: Nanos,
    close: bool,
) {
    let _ = write!(out, "HTTP/1.1 {status} {}\r\nContent-Length: {length}\r\n", http::reason_phrase(status));
    http::forward_headers(out, lines, &["x-pressure", "x-settled", "x-turned-away"]);
    if retry_after > 0 {
        let _ = write!(out, "Retry-After: {:.3}\r\n", retry_after as f64 / 1e9);
    }
    out.extend_from_slice(if close { b"Connection: close\r\n\r\n" } else { b"\r\n" });
}

/// Writes a response that the gateway itself gives.
pub fn write_response(out: &mut Vec<u8>, status: u16, retry_after: Nanos, close: bool) {
    write_response_with_headers(out, status, "", retry_after, close);
}

/// Like [`write_response`], with further header lines, each ended by a line feed.
pub fn write_response_with_headers(
    out: &mut Vec<u8>,
    status: u16,
    lines: &str,
    retry_after: Nanos,
    close: bool,
) {
    let body = http::reason_phrase(status);
    let lines = format!("Content-Type: text/plain\n{lines}");
    write_response_head(out, status, body.len() + 1, lines.as_bytes(), retry_after, close);
    out.extend_from_slice(body.as_bytes());
    out.push(b'\n');
}
