//! The shared counter: RESP2 on a few connections, a state machine for each, fed bytes. Calls are written one
//! after another and answered in that order; calls for one name share a connection, so that its answers keep
//! their order.

use martenramp::host::{CallOutcome, Nanos};
use std::collections::VecDeque;
use std::io::Write;

/// Connections kept; the counter holds 32 from one gateway, an earlier life's among them for a while.
pub const CONNECTIONS: usize = 4;
/// A connection is asked for a sign of life so often while nothing else is written: the counter closes idle
/// ones after 10 s or less.
pub const PING_INTERVAL: Nanos = 2_000_000_000;
/// With no answer at all for so long while calls are out, a connection is given up.
pub const REPLY_TIMEOUT: Nanos = 1_000_000_000;
/// How long until a connection that failed is opened again.
pub const RECONNECT_DELAY: Nanos = 100_000_000;
/// Once the counter has moved, the old connections are closed when all they carry is over, or after so long.
pub const DRAIN_TIMEOUT: Nanos = 1_000_000_000;
/// What a call may take where no time is told.
pub const DEFAULT_CALL_TIMEOUT: Nanos = 50_000_000;
/// The largest amount that a call may add.
pub const MAX_AMOUNT: f64 = 1e9;
/// An answer without an end in so many bytes is none.
const MAX_REPLY_LEN: usize = 512;

/// A call to the counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    pub serial: u64,
    pub name: u64,
    pub add: f64,
    pub ttl: Nanos,
}

/// One connection.
#[derive(Debug, Default)]
pub struct CounterConnection {
    pub is_connected: bool,
    /// Calls that wait for the connection to come up.
    pub waiting: VecDeque<Call>,
    /// Calls written, oldest first; nothing is a PING, and a call of serial 0 has timed out.
    pub in_flight: VecDeque<Option<Call>>,
    /// When something was last written with nothing else out, or last answered.
    pub last_reply: Nanos,
    pub last_write: Nanos,
}

impl CounterConnection {
    /// Writes the call, or keeps it until the connection is up.
    pub fn send_call(&mut self, out: &mut Vec<u8>, now: Nanos, call: Call) {
        if !self.is_connected {
            return self.waiting.push_back(call);
        }
        self.record_write(now);
        self.in_flight.push_back(Some(call));
        let (name, add) = (call.name.to_string(), call.add.to_string());
        let forget = call.ttl.div_ceil(1_000_000).max(1).to_string();
        let _ = write!(out, "*4\r\n$7\r\nINCRTTL\r\n");
        for word in [name, add, forget] {
            let _ = write!(out, "${}\r\n{word}\r\n", word.len());
        }
    }

    pub fn send_ping(&mut self, out: &mut Vec<u8>, now: Nanos) {
        self.record_write(now);
        self.in_flight.push_back(None);
        out.extend_from_slice(b"*1\r\n$4\r\nPING\r\n");
    }

    fn record_write(&mut self, now: Nanos) {
        if self.in_flight.is_empty() {
            self.last_reply = now;
        }
        self.last_write = now;
    }

    /// The connection is up: what waited is written.
    pub fn connected(&mut self, out: &mut Vec<u8>, now: Nanos) {
        (self.is_connected, self.last_reply, self.last_write) = (true, now, now);
        for call in std::mem::take(&mut self.waiting) {
            self.send_call(out, now, call);
        }
    }

    pub fn is_unresponsive(&self, now: Nanos) -> bool {
        !self.in_flight.is_empty() && now > self.last_reply + REPLY_TIMEOUT
    }

    fn outstanding(&self) -> impl Iterator<Item = &Call> {
        self.in_flight.iter().flatten().chain(&self.waiting).filter(|call| call.serial != 0)
    }

    /// Whether no call is out here.
    pub fn is_drained(&self) -> bool {
        self.outstanding().next().is_none()
    }

    /// Whether a call for this name is out here.
    pub fn has_call_for(&self, name: u64) -> bool {
        self.outstanding().any(|call| call.name == name)
    }

    pub fn has_call(&self, serial: u64) -> bool {
        self.outstanding().any(|call| call.serial == serial)
    }

    /// The time of a call is over: how it ended, if it was still out. One not written was never added.
    pub fn time_out_call(&mut self, serial: u64) -> Option<(Call, CallOutcome)> {
        if let Some(at) = self.waiting.iter().position(|call| call.serial == serial) {
            return self.waiting.remove(at).map(|call| (call, CallOutcome::NoConnection));
        }
        let call = self.in_flight.iter_mut().flatten().find(|call| call.serial == serial)?;
        let ended = *call;
        call.serial = 0; // its answer is still to come, and is passed over then
        Some((ended, CallOutcome::TimedOut))
    }

    /// The connection is gone: all that was out on it, and how it ended.
    pub fn disconnect(&mut self) -> Vec<(Call, CallOutcome)> {
        self.is_connected = false;
        let waiting =
            std::mem::take(&mut self.waiting).into_iter().map(|call| (call, CallOutcome::NoConnection));
        let written =
            std::mem::take(&mut self.in_flight).into_iter().flatten().map(|call| (call, CallOutcome::Reset));
        written.chain(waiting).filter(|ended| ended.0.serial != 0).collect()
    }

    /// Takes answers: how many bytes were used up, and the calls that ended with how and the total.
    pub fn feed(
        &mut self,
        now: Nanos,
        input: &[u8],
        ended: &mut Vec<(Call, CallOutcome, f64)>,
    ) -> Result<usize, &'static str> {
        let mut at = 0;
        while let Some((used, how, total)) = parse_reply(&input[at..])? {
            at += used;
            self.last_reply = now;
            match self.in_flight.pop_front() {
                // Guards against a spoilt answer: it may have added, and what follows on the connection means
                // nothing. Harm: the other calls out here count as added too.
                Some(Some(call)) if how == CallOutcome::Error => {
                    ended.extend((call.serial != 0).then_some((call, how, total)));
                    return Err("answer-without-number");
                }
                Some(Some(call)) if call.serial != 0 => ended.push((call, how, total)),
                Some(_) => {}
                None => return Err("answer-without-call"),
            }
        }
        Ok(at)
    }
}

/// The first whole answer: its length, and how the call ended. Whatever is no number is no total, and an error
/// that is not known may have added.
fn parse_reply(input: &[u8]) -> Result<Option<(usize, CallOutcome, f64)>, &'static str> {
    let Some(end) = input.windows(2).position(|pair| pair == b"\r\n") else {
        return if input.len() > MAX_REPLY_LEN { Err("answer-too-long") } else { Ok(None) };
    };
    let line = std::str::from_utf8(&input[..end]).map_err(|_| "bad-answer")?;
    let number = |text: &str| text.trim().parse::<f64>().ok().filter(|total| total.is_finite());
    let done = |total: Option<f64>| match total {
        Some(total) => (CallOutcome::Ok, total),
        None => (CallOutcome::Error, 0.0),
    };
    let (used, (how, total)) = match line.as_bytes().first() {
        Some(b'-') if line.starts_with("-BUSY") => (end + 2, (CallOutcome::Full, 0.0)),
        Some(b'-') if line.starts_with("-ERR") => (end + 2, (CallOutcome::NotSent, 0.0)), // no such call: nothing was added
        Some(b'-' | b'+') => (end + 2, (CallOutcome::Error, 0.0)),
        Some(b':') => (end + 2, done(number(&line[1..]))),
        Some(b'$') if line == "$-1" => (end + 2, (CallOutcome::Error, 0.0)),
        Some(b'$') => {
            let size: usize = line[1..].parse().map_err(|_| "bad-answer")?;
            if size > MAX_REPLY_LEN {
                return Err("answer-too-long");
            }
            let (from, to) = (end + 2, end + 2 + size);
            if input.len() < to + 2 {
                return Ok(None);
            }
            if &input[to..to + 2] != b"\r\n" {
                return Err("bad-answer");
            }
            let text = std::str::from_utf8(&input[from..to]).map_err(|_| "bad-answer")?;
            (to + 2, done(number(text)))
        }
        _ => return Err("bad-answer"),
    };
    Ok(Some((used, how, total)))
}
