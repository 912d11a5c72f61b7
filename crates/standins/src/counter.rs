//! Stand-in for the shared counter: serves the RESP2 command `INCRTTL NAME AMOUNT TTL`, one call after another, with
//! a total per name. A test can stall it, clear its totals, or take it down.

use crate::reactor::{ConnId, EventHandler, Io, SocketId};
use crate::{MS, Nanos};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

/// State of the counter, set by [`Counter::set_state`] only. The names of the variants, as `Debug` writes
/// them, are part of the rig's reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Answers calls.
    Serves,
    /// Accepts calls, but answers them only once it serves again.
    Stalls,
    /// Doesn't listen; open connections were reset.
    Down,
}

/// Counter that handles one call at a time, each of which takes `call_time`.
pub struct Counter {
    state: State,
    call_time: Nanos,
    /// When the last call received so far is done.
    free_at: Nanos,
    address: SocketAddr,
    listener: Option<SocketId>,
    /// Total and expiry time of each name.
    totals: HashMap<Vec<u8>, (f64, Nanos)>,
    connections: BTreeSet<ConnId>,
    /// Answers in the order in which they are due: when, on which connection, and the text.
    answers: VecDeque<(Nanos, ConnId, Vec<u8>)>,
    /// Number of `INCRTTL` calls received so far.
    pub calls: u64,
}

impl Counter {
    /// A counter that is still down and will take `call_time` for each call.
    pub fn new(call_time: Nanos) -> Counter {
        Counter {
            state: State::Down,
            call_time,
            free_at: 0,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            listener: None,
            totals: HashMap::new(),
            connections: BTreeSet::new(),
            answers: VecDeque::new(),
            calls: 0,
        }
    }

    /// Starts to listen and to serve; returns the address, with the port that was picked if `address` has port 0.
    pub fn listen(&mut self, io: &mut Io, address: SocketAddr) -> std::io::Result<SocketAddr> {
        let (listener, address) = io.listen(address)?;
        (self.listener, self.address, self.state) = (Some(listener), address, State::Serves);
        Ok(address)
    }

    /// Changes the state of the counter. `Down` resets all connections and drops the calls that wait.
    pub fn set_state(&mut self, io: &mut Io, state: State) -> std::io::Result<()> {
        let previous = std::mem::replace(&mut self.state, state);
        if state == State::Down {
            self.listener.take().into_iter().for_each(|listener| io.close_listener(listener));
            std::mem::take(&mut self.connections).into_iter().for_each(|conn| io.reset(conn));
            self.answers.clear();
        } else if previous == State::Down {
            self.listener = Some(io.listen(self.address)?.0);
        }
        self.send_due_answers(io);
        Ok(())
    }

    /// Clears all totals, as if the counter had been replaced by a new instance.
    pub fn clear(&mut self) {
        self.totals.clear();
    }

    /// Sends the answers that are due.
    fn send_due_answers(&mut self, io: &mut Io) {
        while self.state == State::Serves && self.answers.front().is_some_and(|answer| answer.0 <= io.now()) {
            if let Some((_, conn, text)) = self.answers.pop_front() {
                io.send(conn, &text);
            }
        }
    }

    /// Applies a command and returns its reply.
    fn execute(&mut self, now: Nanos, arguments: &[Vec<u8>]) -> Vec<u8> {
        let number = |index: usize| -> Option<f64> {
            std::str::from_utf8(arguments.get(index)?)
                .ok()?
                .parse()
                .ok()
                .filter(|value: &f64| value.is_finite())
        };
        match arguments.first().map(|name| name.to_ascii_uppercase()).as_deref() {
            Some(b"PING") => b"+PONG\r\n".to_vec(),
            Some(b"CLIENT" | b"SELECT") => b"+OK\r\n".to_vec(),
            Some(b"INCRTTL") => {
                let (Some(name), Some(add), Some(ttl)) = (arguments.get(1), number(2), number(3)) else {
                    return b"-ERR no such call\r\n".to_vec();
                };
                self.calls += 1;
                let expires_at = now + ttl.clamp(1.0, 60_000.0) as Nanos * MS;
                let total = self.totals.entry(name.clone()).or_insert((0.0, expires_at));
                if total.1 < now {
                    *total = (0.0, expires_at);
                }
                total.0 += add;
                let text = format!("{}", total.0);
                format!("${}\r\n{text}\r\n", text.len()).into_bytes()
            }
            _ => b"-ERR no such call\r\n".to_vec(),
        }
    }
}

type Arguments = Vec<Vec<u8>>;

/// Parses the RESP array of bulk strings at the front of `input`. Returns the strings and their length in
/// bytes, or `None` while the array is incomplete.
fn parse(input: &[u8]) -> Result<Option<(Arguments, usize)>, &'static str> {
    let mut offset = 0;
    let mut read_length = |prefix: u8| -> Result<Option<(usize, usize)>, &'static str> {
        let Some(end) = input[offset..].windows(2).position(|window| window == b"\r\n") else {
            return Ok(None);
        };
        let text = &input[offset..offset + end];
        let number =
            text.strip_prefix(&[prefix]).and_then(|text| std::str::from_utf8(text).ok()?.parse().ok());
        let number = number.filter(|number| *number <= 1 << 16).ok_or("bad call")?;
        offset += end + 2;
        if prefix == b'*' {
            return Ok(Some((number, offset)));
        }
        let start = offset;
        offset += number + 2;
        Ok((offset <= input.len()).then_some((number, start)))
    };
    let Some((count, mut end)) = read_length(b'*')? else { return Ok(None) };
    let mut arguments = Vec::new();
    for _ in 0..count {
        let Some((length, start)) = read_length(b'$')? else { return Ok(None) };
        arguments.push(input[start..start + length].to_vec());
        end = start + length + 2;
    }
    Ok(Some((arguments, end)))
}

impl EventHandler for Counter {
    fn on_accept(&mut self, _io: &mut Io, conn: ConnId, _door: SocketId) {
        self.connections.insert(conn);
    }

    fn on_data(&mut self, io: &mut Io, conn: ConnId) {
        loop {
            let (arguments, length) = match parse(io.input(conn)) {
                Ok(Some(call)) => call,
                Ok(None) => break,
                Err(_) => {
                    self.on_close(io, conn);
                    return io.close(conn);
                }
            };
            io.consume(conn, length);
            let now = io.now();
            let answer = self.execute(now, &arguments);
            self.free_at = self.free_at.max(now) + self.call_time;
            self.answers.push_back((self.free_at, conn, answer));
            io.set_timer(self.free_at, 0);
        }
        self.send_due_answers(io);
    }

    fn on_close(&mut self, _io: &mut Io, conn: ConnId) {
        self.connections.remove(&conn);
        self.answers.retain(|answer| answer.1 != conn);
    }

    fn on_timer(&mut self, io: &mut Io, _token: u64) {
        self.send_due_answers(io);
    }
}

#[cfg(test)]
mod tests;
