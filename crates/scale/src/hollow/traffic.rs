//! Messages and bytes between the gateways and those that they speak to for control, counted as they would go out: payloads
//! only, without the headers of TCP, UDP and IP.

use super::{Nanos, SEC};

/// Whom a gateway speaks to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Peer {
    /// Its discovery agent: watch requests out, lines of the list in.
    Discovery,
    /// The shared counter: calls out, answers in.
    Counter,
    /// Other gateways: datagrams of the agreement.
    Gateways,
}

impl Peer {
    pub const ALL: [Peer; 3] = [Peer::Discovery, Peer::Counter, Peer::Gateways];

    pub fn name(self) -> &'static str {
        match self {
            Peer::Discovery => "discovery",
            Peer::Counter => "counter",
            Peer::Gateways => "gateways",
        }
    }
}

/// Which way, as the gateway sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    Sent,
    Received,
}

impl Direction {
    pub const ALL: [Direction; 2] = [Direction::Sent, Direction::Received];

    pub fn name(self) -> &'static str {
        match self {
            Direction::Sent => "sent",
            Direction::Received => "received",
        }
    }
}

/// How many messages, and bytes in them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub messages: u64,
    pub bytes: u64,
}

impl Tally {
    pub fn add(&mut self, messages: u64, bytes: u64) {
        self.messages += messages;
        self.bytes += bytes;
    }
}

/// Seconds of a run, from the first measured one on.
#[derive(Clone, Copy, Debug)]
pub struct MeasuredPeriod {
    pub from: Nanos,
    pub seconds: usize,
}

impl MeasuredPeriod {
    /// Which second of the run this is; nothing outside of it.
    pub fn second_index(&self, now: Nanos) -> Option<usize> {
        let second = (now.checked_sub(self.from)? / SEC) as usize;
        (second < self.seconds).then_some(second)
    }
}

/// All that went between the played gateways and their peers, second by second.
pub struct Traffic {
    measured: MeasuredPeriod,
    /// By second, peer and direction.
    seconds: Vec<[[Tally; 2]; 3]>,
    /// Bytes in both directions, by gateway and second.
    gateways: Vec<Vec<u32>>,
}

impl Traffic {
    pub fn new(measured: MeasuredPeriod, gateways: usize) -> Traffic {
        let seconds = vec![Default::default(); measured.seconds];
        Traffic { measured, seconds, gateways: vec![vec![0; measured.seconds]; gateways] }
    }

    pub fn add(&mut self, now: Nanos, gateway: usize, peer: Peer, direction: Direction, bytes: usize) {
        let Some(second) = self.measured.second_index(now) else { return };
        self.seconds[second][peer as usize][direction as usize].add(1, bytes as u64);
        self.gateways[gateway][second] += bytes as u32;
    }

    pub fn in_second(&self, second: usize, peer: Peer, direction: Direction) -> Tally {
        self.seconds[second][peer as usize][direction as usize]
    }

    pub fn total(&self, peer: Peer, direction: Direction) -> Tally {
        let mut total = Tally::default();
        for second in 0..self.seconds.len() {
            let tally = self.in_second(second, peer, direction);
            total.add(tally.messages, tally.bytes);
        }
        total
    }

    /// The most bytes that any gateway had in one second.
    pub fn busiest_gateway_second(&self) -> u32 {
        self.gateways.iter().flatten().copied().max().unwrap_or(0)
    }
}

/// What each control machine carries, second by second.
pub struct ControlLoad {
    measured: MeasuredPeriod,
    /// By machine and second.
    machines: Vec<Vec<Tally>>,
}

impl ControlLoad {
    pub fn new(measured: MeasuredPeriod, machines: usize) -> ControlLoad {
        ControlLoad { measured, machines: vec![vec![Tally::default(); measured.seconds]; machines] }
    }

    pub fn add(&mut self, now: Nanos, machine: usize, bytes: usize) {
        if let Some(second) = self.measured.second_index(now) {
            self.machines[machine][second].add(1, bytes as u64);
        }
    }

    /// Messages and bytes of all machines together over the run.
    pub fn total(&self) -> Tally {
        let mut total = Tally::default();
        self.machines.iter().flatten().for_each(|tally| total.add(tally.messages, tally.bytes));
        total
    }

    /// The most of each that one machine carried in one second.
    pub fn busiest_second(&self) -> Tally {
        let all = || self.machines.iter().flatten();
        Tally {
            messages: all().map(|tally| tally.messages).max().unwrap_or(0),
            bytes: all().map(|tally| tally.bytes).max().unwrap_or(0),
        }
    }
}
