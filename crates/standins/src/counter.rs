//! A stand-in for the shared counter: RESP2 `INCRTTL NAME AMOUNT LIFE`, served one after another, with calls told apart
//! by name. A script may stall it, empty it, or shut it.

use crate::reactor::{ConnId, EventHandler, Io, SocketId};
use crate::{MS, Nanos};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

/// What the counter does. `Counter::become_` is the one place that changes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It answers calls.
    Serves,
    /// Takes calls and answers none until it serves again.
    Stalls,
    /// Nobody listens.
    Down,
}

/// The counter: every call takes `cost` of its time.
pub struct Counter {
    state: State,
    cost: Nanos,
    free_at: Nanos,
    address: SocketAddr,
    door: Option<SocketId>,
    totals: HashMap<Vec<u8>, (f64, Nanos)>,
    conns: BTreeSet<ConnId>,
    line: VecDeque<(Nanos, ConnId, Vec<u8>)>,
    /// Calls that came so far.
    pub calls: u64,
}

impl Counter {
    /// A counter that takes this long for a call.
    pub fn new(cost: Nanos) -> Counter {
        Counter {
            state: State::Down,
            cost,
            free_at: 0,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            door: None,
            totals: HashMap::new(),
            conns: BTreeSet::new(),
            line: VecDeque::new(),
            calls: 0,
        }
    }

    /// Begins to listen; where.
    pub fn listen(&mut self, io: &mut Io, address: SocketAddr) -> std::io::Result<SocketAddr> {
        let (door, address) = io.listen(address)?;
        (self.door, self.address, self.state) = (Some(door), address, State::Serves);
        Ok(address)
    }

    /// Changes what the counter does.
    pub fn set_state(&mut self, io: &mut Io, state: State) -> std::io::Result<()> {
        let was = std::mem::replace(&mut self.state, state);
        if state == State::Down {
            self.door.take().into_iter().for_each(|door| io.close_listener(door));
            std::mem::take(&mut self.conns).into_iter().for_each(|conn| io.reset(conn));
            self.line.clear();
        } else if was == State::Down {
            self.door = Some(io.listen(self.address)?.0);
        }
        self.answer(io);
        Ok(())
    }

    /// A replacement that starts at nought.
    pub fn clear(&mut self) {
        self.totals.clear();
    }

    fn answer(&mut self, io: &mut Io) {
        while self.state == State::Serves && self.line.front().is_some_and(|call| call.0 <= io.now()) {
            if let Some((_, conn, text)) = self.line.pop_front() {
                io.send(conn, &text);
            }
        }
    }

    fn call(&mut self, now: Nanos, words: &[Vec<u8>]) -> Vec<u8> {
        let number = |at: usize| -> Option<f64> {
            std::str::from_utf8(words.get(at)?).ok()?.parse().ok().filter(|value: &f64| value.is_finite())
        };
        match words.first().map(|word| word.to_ascii_uppercase()).as_deref() {
            Some(b"PING") => b"+PONG\r\n".to_vec(),
            Some(b"CLIENT" | b"SELECT") => b"+OK\r\n".to_vec(),
            Some(b"INCRTTL") => {
                let (Some(name), Some(add), Some(life)) = (words.get(1), number(2), number(3)) else {
                    return b"-ERR no such call\r\n".to_vec();
                };
                self.calls += 1;
                let until = now + life.clamp(1.0, 60_000.0) as Nanos * MS;
                let total = self.totals.entry(name.clone()).or_insert((0.0, until));
                if total.1 < now {
                    *total = (0.0, until);
                }
                total.0 += add;
                let text = format!("{}", total.0);
                format!("${}\r\n{text}\r\n", text.len()).into_bytes()
            }
            _ => b"-ERR no such call\r\n".to_vec(),
        }
    }
}

type Words = Vec<Vec<u8>>;

/// The RESP array of bulk strings at the front of `input`, and the bytes it takes.
fn parse(input: &[u8]) -> Result<Option<(Words, usize)>, &'static str> {
    let mut at = 0;
    let mut line = |mark: u8| -> Result<Option<(usize, usize)>, &'static str> {
        let Some(end) = input[at..].windows(2).position(|two| two == b"\r\n") else { return Ok(None) };
        let text = &input[at..at + end];
        let number = text.strip_prefix(&[mark]).and_then(|text| std::str::from_utf8(text).ok()?.parse().ok());
        let number = number.filter(|number| *number <= 1 << 16).ok_or("bad call")?;
        at += end + 2;
        if mark == b'*' {
            return Ok(Some((number, at)));
        }
        let from = at;
        at += number + 2;
        Ok((at <= input.len()).then_some((number, from)))
    };
    let Some((count, mut end)) = line(b'*')? else { return Ok(None) };
    let mut words = Vec::new();
    for _ in 0..count {
        let Some((length, from)) = line(b'$')? else { return Ok(None) };
        words.push(input[from..from + length].to_vec());
        end = from + length + 2;
    }
    Ok(Some((words, end)))
}

impl EventHandler for Counter {
    fn on_accept(&mut self, _io: &mut Io, conn: ConnId, _door: SocketId) {
        self.conns.insert(conn);
    }

    fn on_data(&mut self, io: &mut Io, conn: ConnId) {
        loop {
            let (words, length) = match parse(io.input(conn)) {
                Ok(Some(call)) => call,
                Ok(None) => break,
                Err(_) => {
                    self.on_close(io, conn);
                    return io.close(conn);
                }
            };
            io.consume(conn, length);
            let now = io.now();
            let answer = self.call(now, &words);
            self.free_at = self.free_at.max(now) + self.cost;
            self.line.push_back((self.free_at, conn, answer));
            io.set_timer(self.free_at, 0);
        }
        self.answer(io);
    }

    fn on_close(&mut self, _io: &mut Io, conn: ConnId) {
        self.conns.remove(&conn);
        self.line.retain(|call| call.1 != conn);
    }

    fn on_timer(&mut self, io: &mut Io, _token: u64) {
        self.answer(io);
    }
}

#[cfg(test)]
mod tests;
