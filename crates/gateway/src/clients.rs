//! Clients: a state machine for one connection, fed bytes, that finds RPCs in them; and the answers written back.

use crate::config::Config;
use crate::eviction::IdleState;
use crate::guard::RetrySafety;
use crate::http::{self, BodyLength, MAX_BODY_LEN, MAX_HEAD_LEN, MAX_HEADERS, MessageError};
use crate::phase::Phase;
use martenramp::host::Nanos;
use std::collections::VecDeque;
use std::io::Write;
use std::ops::Range;

/// What an RPC may say it waits at most; longer is taken as a mistake.
const MAX_REMAINING_MS: u64 = 3_600_000;
/// A new connection's first message must be whole so soon after it was taken, and any other after its first byte;
/// so long, too, may a client take to read its last answer.
pub const MESSAGE_TIMEOUT: Nanos = 2_000_000_000;
/// A connection without an RPC for this long is closed; clients open another when they need it.
pub const IDLE_TIMEOUT: Nanos = 10_000_000_000;

/// What is answered to whoever there is no room for, before it is looked at.
pub const UNAVAILABLE_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// So many times of reading are told apart of what lies in a buffer; what comes later counts as read with the last.
const MAX_READ_TIMES: usize = 64;

/// An RPC as it lies in the read buffer of its connection, which keeps it until it is answered.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RpcRequest {
    pub is_get: bool,
    pub target: Range<usize>,
    /// The header lines.
    pub header_lines: Range<usize>,
    pub body: Range<usize>,
    /// Its id.
    pub txn: Range<usize>,
    pub method: u16,
    pub plan: u16,
    pub customer: u64,
    pub remaining_ms: u64,
    pub units: f64,
    pub width: u32,
    pub first: u32,
    /// The client wants the connection closed after the answer.
    pub close: bool,
}

/// What the bytes so far amount to.
#[derive(Clone, Debug, PartialEq)]
pub enum Parsed {
    /// Nothing whole yet.
    Incomplete,
    /// The client asks before it sends a body whether it may.
    Continue,
    Rpc(RpcRequest),
    /// A question about the gateway itself: whether it is ready, and its length in the buffer.
    Ready(usize),
    Healthy(usize),
}

/// One client's connection.
#[derive(Debug, Default)]
pub struct Client {
    /// Where it stands. Changed by [`Client::shift`] alone.
    pub phase: Phase,
    /// When the first byte of the message that is coming in was read; between messages, when the last answer was out; while
    /// one is being written, when some of it went last; at the end, when this side's sending ended.
    pub state_since: Nanos,
    /// When the first byte of the message at hand was read, which may lie before the answer to the one ahead of it.
    pub message_received_at: Nanos,
    /// Up to which byte the buffer was filled by when, in order.
    pub read_times: VecDeque<(usize, Nanos)>,
    /// Part of a message is in the buffer, and so many bytes of it have been looked at.
    pub partial: bool,
    pub parsed_bytes: usize,
    pub continue_sent: bool,
    /// It sent more than one message before its answer, and what was too much of it is dropped.
    pub sent_excess: bool,
    /// Taken beyond the clients' part of the descriptors, only to push back what it brings.
    pub over_limit: bool,
    pub served: u64,
}

impl Client {
    /// Every change of where it stands goes through here.
    pub fn set_phase(&mut self, to: Phase, now: Nanos) {
        debug_assert!(self.phase.can_become(&to), "{:?} to {to:?}", self.phase);
        self.phase = to;
        self.state_since = now;
    }

    /// What it is doing, if no answer is owed on it.
    pub fn idle_state(&self) -> Option<IdleState> {
        match self.phase {
            Phase::Reading if self.partial => Some(IdleState::MidMessage(self.state_since)),
            Phase::Reading if self.served == 0 => Some(IdleState::Silent(self.state_since)),
            Phase::Reading => Some(IdleState::KeepAlive(self.state_since)),
            Phase::HalfClosed { .. } => Some(IdleState::HalfClosed(self.state_since)),
            Phase::AwaitingAnswer { .. } | Phase::WritingAnswer { .. } => None,
        }
    }

    /// Notes that the buffer holds so many bytes by this time. Guards against counting the time of a message that came
    /// behind another from that one's answer. Harm: of more than [`READS_MOST`] pieces the last count as read too early.
    pub fn record_read(&mut self, length: usize, now: Nanos) {
        if length == 0 {
            return; // nothing was read: the next byte's time is its own
        }
        let is_full = self.read_times.len() >= MAX_READ_TIMES;
        match self.read_times.back_mut() {
            Some(last) if last.0 >= length => {}
            Some(last) if is_full => last.0 = length,
            _ => self.read_times.push_back((length, now)),
        }
    }

    /// So many bytes at the buffer's front are used.
    pub fn consume(&mut self, bytes: usize) {
        self.read_times.iter_mut().for_each(|read| read.0 = read.0.saturating_sub(bytes));
        self.read_times.retain(|read| read.0 > 0);
    }

    /// Looks at all that the buffer holds; called while no RPC is at hand.
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
        let got = parse(config, input)?;
        if got == Parsed::Continue && std::mem::replace(&mut self.continue_sent, true) {
            return Ok(Parsed::Incomplete);
        }
        if !matches!(got, Parsed::Incomplete | Parsed::Continue) {
            (self.partial, self.continue_sent) = (false, false);
        }
        Ok(got)
    }
}

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
    let get = match method {
        "GET" => true,
        "POST" => false,
        _ => return Err(MessageError(405, "bad-method")),
    };
    let hex =
        path.rsplit('/').next().filter(|hex| hex.len() == 16 && hex.bytes().all(|b| b.is_ascii_hexdigit()));
    let customer =
        hex.and_then(|hex| u64::from_str_radix(hex, 16).ok()).filter(|customer| *customer < 1 << 33);
    let customer = customer.ok_or(MessageError(404, "unknown-path"))?;
    let lane = http::single_header(headers, "x-lane").ok_or(MessageError(400, "no-method"))?;
    let number = config
        .methods
        .iter()
        .position(|known| known.name == lane)
        .ok_or(MessageError(400, "unknown-method"))?;
    let effect = config.methods[number].effect;
    if get != (effect == RetrySafety::Idempotent) {
        return Err(MessageError(405, "bad-method")); // one that is not idempotent must never look so, nor the reverse
    }
    let contract = http::single_header(headers, "x-contract").ok_or(MessageError(400, "no-plan"))?;
    let plan =
        config.plans.iter().position(|known| known == contract).ok_or(MessageError(400, "unknown-plan"))?;
    if matches!(effect, RetrySafety::Deduplicated { .. })
        && http::single_header(headers, "idempotency-key").is_none()
    {
        return Err(MessageError(400, "no-idempotency-key")); // without it a repeat could not be known as one
    }
    let txn = http::single_header(headers, "x-txn").ok_or(MessageError(400, "no-txn"))?;
    let remaining = http::single_header(headers, "x-remaining-ms").and_then(|ms| ms.parse().ok());
    let remaining_ms =
        remaining.filter(|ms| *ms <= MAX_REMAINING_MS).ok_or(MessageError(400, "bad-remaining"))?;
    let metering = http::single_header(headers, "x-metering").ok_or(MessageError(400, "no-metering"))?;
    let (units, width, first) = parse_metering(metering).ok_or(MessageError(400, "bad-metering"))?;
    // Guards the customer's store, which others use too: one impossible amount would empty it for good.
    if units > config.max_units || width > config.gateways || first >= config.gateways {
        return Err(MessageError(400, "bad-metering"));
    }
    if input.len() < end {
        let asks = http::header_has_token(headers, "expect", "100-continue");
        return Ok(if asks { Parsed::Continue } else { Parsed::Incomplete });
    }
    Ok(Parsed::Rpc(RpcRequest {
        is_get: get,
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

/// Where the header lines begin: after the first line that is not empty.
fn header_lines_start(head: &[u8]) -> usize {
    let blank = head.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
    let line = head[blank..].iter().position(|byte| *byte == b'\n');
    line.map_or(head.len(), |end| blank + end + 1)
}

/// `units=2,spread=3,first=1`, each told once; what is not known is passed over.
fn parse_metering(text: &str) -> Option<(f64, u32, u32)> {
    let told = |name: &str| {
        let mut named =
            text.split(',').filter_map(|part| part.split_once('=')).filter(|part| part.0.trim() == name);
        let value = named.next().map(|part| part.1.trim());
        value.filter(|_| named.next().is_none())
    };
    let units = told("units")?.parse().ok().filter(|units: &f64| units.is_finite() && *units > 0.0)?;
    let width = told("spread")?.parse().ok().filter(|width| *width > 0)?;
    Some((units, width, told("first")?.parse().ok()?))
}

/// The head of an answer with a body of this length; `lines` are header lines to pass on.
pub fn write_response_head(
    out: &mut Vec<u8>,
    status: u16,
    length: usize,
    lines: &[u8],
    come_back: Nanos,
    close: bool,
) {
    let _ = write!(out, "HTTP/1.1 {status} {}\r\nContent-Length: {length}\r\n", http::reason_phrase(status));
    http::forward_headers(out, lines, &["x-pressure", "x-settled", "x-turned-away"]);
    if come_back > 0 {
        let _ = write!(out, "Retry-After: {:.3}\r\n", come_back as f64 / 1e9);
    }
    out.extend_from_slice(if close { b"Connection: close\r\n\r\n" } else { b"\r\n" });
}

/// An answer of the gateway's own.
pub fn write_response(out: &mut Vec<u8>, status: u16, come_back: Nanos, close: bool) {
    write_response_with_headers(out, status, "", come_back, close);
}

/// The same with further header lines, each with its end.
pub fn write_response_with_headers(
    out: &mut Vec<u8>,
    status: u16,
    lines: &str,
    come_back: Nanos,
    close: bool,
) {
    let body = http::reason_phrase(status);
    let lines = format!("Content-Type: text/plain\n{lines}");
    write_response_head(out, status, body.len() + 1, lines.as_bytes(), come_back, close);
    out.extend_from_slice(body.as_bytes());
    out.push(b'\n');
}
