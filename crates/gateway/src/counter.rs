//! Client of the shared counter: RESP2 on a few connections, with one state machine per connection
//! that is fed bytes. Calls are pipelined and answered in order. Outstanding calls for one name
//! share a connection, so that their replies keep their order.

use martenramp::host::{CallOutcome, Nanos};
use std::collections::VecDeque;
use std::io::Write;

/// Number of connections. The counter accepts 32 from one gateway, which for a while include those
/// of its previous incarnation.
pub const CONNECTIONS: usize = 4;
/// Interval of PINGs on a connection without other traffic; the counter closes idle connections
/// after 10 s or less.
pub const PING_INTERVAL: Nanos = 2_000_000_000;
/// A connection is given up if calls are outstanding and no reply has come for this long.
pub const REPLY_TIMEOUT: Nanos = 1_000_000_000;
/// Delay before a failed connection is opened again.
pub const RECONNECT_DELAY: Nanos = 100_000_000;
/// After the counter's address changed, the old connections are closed once they carry no more
/// calls, or after this time.
pub const DRAIN_TIMEOUT: Nanos = 1_000_000_000;
/// Time limit of a call if the settings give none.
pub const DEFAULT_CALL_TIMEOUT: Nanos = 50_000_000;
/// The largest amount that one call may add.
pub const MAX_AMOUNT: f64 = 1e9;
/// A longer reply without a line end is invalid.
const MAX_REPLY_LEN: usize = 512;

/// A call to the counter: adds an amount to the total of a name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// Identifies the call; unique within the process and never 0.
    pub serial: u64,
    pub name: u64,
    pub add: f64,
    /// Time to live that the call sets on the total.
    pub ttl: Nanos,
}

/// One connection to the counter.
#[derive(Debug, Default)]
pub struct CounterConnection {
    pub is_connected: bool,
    /// Calls queued until the connection is established.
    pub waiting: VecDeque<Call>,
    /// Calls that were written, oldest first. `None` is a PING; a call with serial 0 has timed out.
    pub in_flight: VecDeque<Option<Call>>,
    /// When the last reply came, or when something was written while nothing else was outstanding.
    pub last_reply: Nanos,
    pub last_write: Nanos,
}

impl CounterConnection {
    /// Writes the call, or queues it until the connection is established.
    pub fn send_call(&mut self, out: &mut Vec<u8>, now: Nanos, call: Call) {
        if !self.is_connected {
            return self.waiting.push_back(call);
        }
        self.record_write(now);
        self.in_flight.push_back(Some(call));
        let (name, add) = (call.name.to_string(), call.add.to_string());
        let ttl = call.ttl.div_ceil(1_000_000).max(1).to_string();
        let _ = write!(out, "*4\r\n$7\r\nINCRTTL\r\n");
        for argument in [name, add, ttl] {
            let _ = write!(out, "${}\r\n{argument}\r\n", argument.len());
        }
    }

    /// Writes a PING.
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

    /// The connection is established: writes the queued calls.
    pub fn connected(&mut self, out: &mut Vec<u8>, now: Nanos) {
        (self.is_connected, self.last_reply, self.last_write) = (true, now, now);
        for call in std::mem::take(&mut self.waiting) {
            self.send_call(out, now, call);
        }
    }

    /// Whether calls are outstanding and no reply has come for too long.
    pub fn is_unresponsive(&self, now: Nanos) -> bool {
        !self.in_flight.is_empty() && now > self.last_reply + REPLY_TIMEOUT
    }

    /// Calls that are queued or in flight and have not timed out.
    fn outstanding(&self) -> impl Iterator<Item = &Call> {
        self.in_flight.iter().flatten().chain(&self.waiting).filter(|call| call.serial != 0)
    }

    /// Whether no call is outstanding on this connection.
    pub fn is_drained(&self) -> bool {
        self.outstanding().next().is_none()
    }

    /// Whether a call for this name is outstanding on this connection.
    pub fn has_call_for(&self, name: u64) -> bool {
        self.outstanding().any(|call| call.name == name)
    }

    /// Whether the call with this serial is outstanding on this connection.
    pub fn has_call(&self, serial: u64) -> bool {
        self.outstanding().any(|call| call.serial == serial)
    }

    /// Ends a call whose time limit has passed, and returns how it ended if it was still
    /// outstanding. A call that was not written has not been added.
    pub fn time_out_call(&mut self, serial: u64) -> Option<(Call, CallOutcome)> {
        if let Some(position) = self.waiting.iter().position(|call| call.serial == serial) {
            return self.waiting.remove(position).map(|call| (call, CallOutcome::NoConnection));
        }
        let call = self.in_flight.iter_mut().flatten().find(|call| call.serial == serial)?;
        let timed_out = *call;
        call.serial = 0; // its reply is still to come and will be ignored
        Some((timed_out, CallOutcome::TimedOut))
    }

    /// The connection is lost: returns all calls that were outstanding on it and how each ended.
    pub fn disconnect(&mut self) -> Vec<(Call, CallOutcome)> {
        self.is_connected = false;
        let waiting =
            std::mem::take(&mut self.waiting).into_iter().map(|call| (call, CallOutcome::NoConnection));
        let in_flight =
            std::mem::take(&mut self.in_flight).into_iter().flatten().map(|call| (call, CallOutcome::Reset));
        in_flight.chain(waiting).filter(|ended| ended.0.serial != 0).collect()
    }

    /// Parses replies. Returns the number of bytes consumed and appends the calls that ended, each
    /// with its result and total.
    pub fn feed(
        &mut self,
        now: Nanos,
        input: &[u8],
        ended: &mut Vec<(Call, CallOutcome, f64)>,
    ) -> Result<usize, &'static str> {
        let mut consumed = 0;
        while let Some((length, outcome, total)) = parse_reply(&input[consumed..])? {
            consumed += length;
            self.last_reply = now;
            match self.in_flight.pop_front() {
                // After an invalid reply the amount may have been added, and the rest of the stream
                // can't be trusted. Trade-off: the other outstanding calls on this connection count
                // as added too.
                Some(Some(call)) if outcome == CallOutcome::Error => {
                    ended.extend((call.serial != 0).then_some((call, outcome, total)));
                    return Err("answer-without-number");
                }
                Some(Some(call)) if call.serial != 0 => ended.push((call, outcome, total)),
                Some(_) => {}
                None => return Err("answer-without-call"),
            }
        }
        Ok(consumed)
    }
}

/// Parses the first complete reply and returns its length and how the call ended. A reply that is
/// not a number gives no total, and after an unknown error the amount may have been added.
fn parse_reply(input: &[u8]) -> Result<Option<(usize, CallOutcome, f64)>, &'static str> {
    let Some(end) = input.windows(2).position(|pair| pair == b"\r\n") else {
        return if input.len() > MAX_REPLY_LEN { Err("answer-too-long") } else { Ok(None) };
    };
    let line = std::str::from_utf8(&input[..end]).map_err(|_| "bad-answer")?;
    let number = |text: &str| text.trim().parse::<f64>().ok().filter(|total| total.is_finite());
    let numeric_outcome = |total: Option<f64>| match total {
        Some(total) => (CallOutcome::Ok, total),
        None => (CallOutcome::Error, 0.0),
    };
    let (length, (outcome, total)) = match line.as_bytes().first() {
        Some(b'-') if line.starts_with("-BUSY") => (end + 2, (CallOutcome::Full, 0.0)),
        Some(b'-') if line.starts_with("-ERR") => (end + 2, (CallOutcome::NotSent, 0.0)), // unknown command: nothing was added
        Some(b'-' | b'+') => (end + 2, (CallOutcome::Error, 0.0)),
        Some(b':') => (end + 2, numeric_outcome(number(&line[1..]))),
        Some(b'$') if line == "$-1" => (end + 2, (CallOutcome::Error, 0.0)),
        Some(b'$') => {
            let size: usize = line[1..].parse().map_err(|_| "bad-answer")?;
            if size > MAX_REPLY_LEN {
                return Err("answer-too-long");
            }
            let (start, stop) = (end + 2, end + 2 + size);
            if input.len() < stop + 2 {
                return Ok(None);
            }
            if &input[stop..stop + 2] != b"\r\n" {
                return Err("bad-answer");
            }
            let text = std::str::from_utf8(&input[start..stop]).map_err(|_| "bad-answer")?;
            (stop + 2, numeric_outcome(number(text)))
        }
        _ => return Err("bad-answer"),
    };
    Ok(Some((length, outcome, total)))
}
