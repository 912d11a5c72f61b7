//! Relays that inject faults between two processes: user-space relays for TCP connections and UDP datagrams
//! on loopback. A relay listens in front of one target address; each of its two directions has faults of its
//! own.
//!
//! Differences from a real network: a relay accepts before it connects to the target, so that a connection
//! over a cut relay is established and stays silent instead of never being established, and one to a dead
//! process is reset instead of refused. If one side shuts down its sending only, the whole connection is
//! closed.

use crate::reactor::{ConnId, EventHandler, Io, SocketId};
use crate::{MS, Nanos};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Extra delay of lost bytes on a connection, which stands for the retransmission.
const RETRANSMIT_DELAY: Nanos = 200 * MS;
/// Extra delay of reordered datagrams.
const REORDER_DELAY: Nanos = 20 * MS;
/// Reading from a connection stops when more than this many bytes wait in its direction.
const MAX_QUEUED_BYTES: usize = 256 << 10;

/// Faults of one direction of a relay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PathFaults {
    /// Nothing is passed on. Bytes wait for the end of the cut, as they would in the sender; datagrams are lost.
    pub cut: bool,
    /// Extra delay.
    pub delay: Nanos,
    /// Share of the datagrams that are lost, and of the reads on a connection that are delayed by a retransmission.
    pub loss: f64,
    /// Datagrams only: share that is delayed, so that later ones overtake them.
    pub reorder: f64,
    /// Datagrams only: share that is delivered twice.
    pub duplicate: f64,
    /// Datagrams only: share of which one byte is changed.
    pub corrupt: f64,
}

/// What a relay does with connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AcceptMode {
    /// Passes their bytes on.
    #[default]
    Forward,
    /// Accepts new connections, but never connects them to the target, even if the mode changes later.
    Discard,
    /// Resets all connections, and new ones once they are accepted.
    Reset,
}

/// Faults of a relay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// What happens to connections.
    pub accept: AcceptMode,
    /// Faults of the direction to the target.
    pub to_target: PathFaults,
    /// Faults of the direction from the target.
    pub from_target: PathFaults,
}

struct Relay {
    target: SocketAddr,
    faults: Faults,
}

/// One direction of a connection: the bytes that wait, with the times at which they are due, and whether the
/// sender has closed the connection.
#[derive(Default)]
struct Direction {
    queue: VecDeque<(Nanos, Vec<u8>)>,
    queued_bytes: usize,
    closed: bool,
}

struct Pair {
    relay: usize,
    /// Connection that was accepted, and the one to the target.
    sides: [Option<ConnId>; 2],
    established: bool,
    /// To the target, and from the target.
    directions: [Direction; 2],
}

/// All relays of one reactor.
pub struct Relays {
    relays: Vec<Relay>,
    tcp_relays: BTreeMap<SocketId, usize>,
    udp_relays: BTreeMap<SocketId, usize>,
    pairs: BTreeMap<u64, Pair>,
    /// Pair of each connection, and the direction of the bytes received on it: 0 to the target, 1 from it.
    pairs_by_connection: BTreeMap<ConnId, (u64, usize)>,
    /// Delayed datagrams by timer token: socket, target and bytes.
    delayed: BTreeMap<u64, (SocketId, SocketAddr, Vec<u8>)>,
    /// Members of the broadcast group: the socket that each sends to, and the address at which it receives,
    /// if it does.
    members: Vec<(SocketId, Option<SocketAddr>)>,
    /// Faults from one member to another.
    member_faults: BTreeMap<(usize, usize), PathFaults>,
    serial: u64,
    rng: ChaCha8Rng,
    /// Number of connections and datagrams received so far, including those that were not passed on.
    pub received: u64,
}

/// Flag of the timer tokens of delayed datagrams. The other tokens are the id of a pair and, in the lowest bit, a
/// direction.
const DATAGRAM_TIMER: u64 = 1 << 63;

impl Relays {
    /// Creates a set without relays.
    pub fn new(rng: ChaCha8Rng) -> Relays {
        Relays {
            relays: Vec::new(),
            tcp_relays: BTreeMap::new(),
            udp_relays: BTreeMap::new(),
            pairs: BTreeMap::new(),
            pairs_by_connection: BTreeMap::new(),
            delayed: BTreeMap::new(),
            members: Vec::new(),
            member_faults: BTreeMap::new(),
            serial: 0,
            rng,
            received: 0,
        }
    }

    /// Adds a relay for connections to `target`; returns its number and the address that it listens on.
    pub fn relay_tcp(
        &mut self,
        io: &mut Io,
        at: SocketAddr,
        target: SocketAddr,
    ) -> std::io::Result<(usize, SocketAddr)> {
        let (socket, address) = io.listen(at)?;
        self.relays.push(Relay { target, faults: Faults::default() });
        self.tcp_relays.insert(socket, self.relays.len() - 1);
        Ok((self.relays.len() - 1, address))
    }

    /// Adds a relay for datagrams to `target`; returns its number and its address, from which the datagrams
    /// are sent on.
    pub fn relay_udp(
        &mut self,
        io: &mut Io,
        at: SocketAddr,
        target: SocketAddr,
    ) -> std::io::Result<(usize, SocketAddr)> {
        let (socket, address) = io.bind_udp(at)?;
        self.relays.push(Relay { target, faults: Faults::default() });
        self.udp_relays.insert(socket, self.relays.len() - 1);
        Ok((self.relays.len() - 1, address))
    }

    /// Adds a member to the broadcast group; returns its number, and the address that it sends to in order to
    /// reach all other members.
    pub fn add_member(&mut self, io: &mut Io, at: SocketAddr) -> std::io::Result<(usize, SocketAddr)> {
        let (socket, address) = io.bind_udp(at)?;
        self.members.push((socket, None));
        Ok((self.members.len() - 1, address))
    }

    /// Sets the address at which a member receives datagrams; with `None` it receives none.
    pub fn set_receiver(&mut self, member: usize, at: Option<SocketAddr>) {
        self.members[member].1 = at;
    }

    /// Sets the faults from one member to another.
    pub fn set_path_faults(&mut self, from: usize, to: usize, faults: PathFaults) {
        self.member_faults.insert((from, to), faults);
    }

    /// Sets the faults of a relay.
    pub fn set_faults(&mut self, io: &mut Io, relay: usize, faults: Faults) {
        self.relays[relay].faults = faults;
        let pairs: Vec<u64> =
            self.pairs.iter().filter(|(_, pair)| pair.relay == relay).map(|(id, _)| *id).collect();
        for id in pairs {
            match faults.accept {
                AcceptMode::Reset => self.close_pair(io, id, true),
                _ => (0..2).for_each(|direction| self.forward(io, id, direction)),
            }
        }
    }

    fn path_faults(&self, relay: usize, direction: usize) -> PathFaults {
        let faults = &self.relays[relay].faults;
        if direction == 0 { faults.to_target } else { faults.from_target }
    }

    /// Closes both sides of a pair, with a reset or once the queued bytes are written.
    fn close_pair(&mut self, io: &mut Io, id: u64, reset: bool) {
        let Some(pair) = self.pairs.remove(&id) else { return };
        for conn in pair.sides.into_iter().flatten() {
            self.pairs_by_connection.remove(&conn);
            if reset { io.reset(conn) } else { io.close_when_flushed(conn) }
        }
    }

    /// Moves the bytes received on one side of a pair to the queue of their direction.
    fn receive(&mut self, io: &mut Io, id: u64, direction: usize, conn: ConnId) {
        let Some(relay) = self.pairs.get(&id).map(|pair| pair.relay) else { return };
        let faults = self.path_faults(relay, direction);
        let bytes = io.input(conn).to_vec();
        if bytes.is_empty() {
            return;
        }
        io.consume(conn, bytes.len());
        let lost = faults.loss > 0.0 && self.rng.random_bool(faults.loss.min(1.0));
        let due = io.now() + faults.delay + if lost { RETRANSMIT_DELAY } else { 0 };
        let Some(pair) = self.pairs.get_mut(&id) else { return };
        let state = &mut pair.directions[direction];
        let due = due.max(state.queue.back().map_or(0, |last| last.0)); // bytes stay in order
        state.queued_bytes += bytes.len();
        state.queue.push_back((due, bytes));
        if state.queued_bytes > MAX_QUEUED_BYTES {
            io.set_read_paused(conn, true);
        }
    }

    /// Passes on the bytes that are due in one direction of a pair, and closes the pair once its sender has
    /// closed and no bytes wait.
    fn forward(&mut self, io: &mut Io, id: u64, direction: usize) {
        let Some(relay) = self.pairs.get(&id).map(|pair| pair.relay) else { return };
        if self.path_faults(relay, direction).cut {
            return;
        }
        let Some(pair) = self.pairs.get_mut(&id).filter(|pair| pair.established) else { return };
        let (from, to) = (pair.sides[direction], pair.sides[1 - direction]);
        let state = &mut pair.directions[direction];
        while let Some((due, _)) = state.queue.front() {
            if *due > io.now() {
                let due = *due;
                return io.set_timer(due, id << 1 | direction as u64);
            }
            let Some((_, bytes)) = state.queue.pop_front() else { return };
            state.queued_bytes -= bytes.len();
            to.into_iter().for_each(|to| io.send(to, &bytes));
        }
        from.into_iter().for_each(|from| io.set_read_paused(from, false));
        if state.closed {
            self.close_pair(io, id, false);
        }
    }
}

impl EventHandler for Relays {
    fn on_accept(&mut self, io: &mut Io, conn: ConnId, socket: SocketId) {
        let Some(relay) = self.tcp_relays.get(&socket).copied() else { return io.close(conn) };
        self.received += 1;
        let accept_mode = self.relays[relay].faults.accept;
        if accept_mode == AcceptMode::Reset {
            return io.reset(conn);
        }
        let target_conn = if accept_mode == AcceptMode::Discard {
            None
        } else {
            io.connect(self.relays[relay].target).ok()
        };
        if target_conn.is_none() && accept_mode == AcceptMode::Forward {
            return io.reset(conn);
        }
        self.serial += 1;
        self.pairs_by_connection.insert(conn, (self.serial, 0));
        if let Some(target_conn) = target_conn {
            self.pairs_by_connection.insert(target_conn, (self.serial, 1));
        }
        let pair = Pair {
            relay,
            sides: [Some(conn), target_conn],
            established: false,
            directions: Default::default(),
        };
        self.pairs.insert(self.serial, pair);
    }

    fn on_connect(&mut self, io: &mut Io, conn: ConnId) {
        let Some((id, _)) = self.pairs_by_connection.get(&conn).copied() else { return };
        if let Some(pair) = self.pairs.get_mut(&id) {
            pair.established = true;
        }
        self.forward(io, id, 0);
    }

    fn on_data(&mut self, io: &mut Io, conn: ConnId) {
        let Some((id, direction)) = self.pairs_by_connection.get(&conn).copied() else { return };
        self.receive(io, id, direction, conn);
        self.forward(io, id, direction);
    }

    fn on_close(&mut self, io: &mut Io, conn: ConnId) {
        let Some((id, direction)) = self.pairs_by_connection.remove(&conn) else { return };
        let Some(pair) = self.pairs.get_mut(&id) else { return };
        pair.sides[direction] = None;
        pair.directions[direction].closed = true;
        if direction == 1 && !pair.established {
            return self.close_pair(io, id, true); // the connection to the target failed
        }
        if pair.sides == [None, None] {
            self.pairs.remove(&id);
        } else {
            self.forward(io, id, direction);
        }
    }

    fn on_timer(&mut self, io: &mut Io, token: u64) {
        if token & DATAGRAM_TIMER == 0 {
            return self.forward(io, token >> 1, (token & 1) as usize);
        }
        if let Some((socket, to, bytes)) = self.delayed.remove(&token) {
            io.send_to(socket, to, &bytes);
        }
    }

    fn on_datagram(&mut self, io: &mut Io, socket: SocketId, _from: SocketAddr, bytes: &[u8]) {
        self.received += 1;
        if let Some(relay) = self.udp_relays.get(&socket).copied() {
            let (target, faults) = (self.relays[relay].target, self.path_faults(relay, 0));
            return self.pass_datagram(io, socket, target, faults, bytes);
        }
        let Some(from) = self.members.iter().position(|member| member.0 == socket) else { return };
        for (to, (_, at)) in self.members.clone().into_iter().enumerate() {
            if let Some(at) = at.filter(|_| to != from) {
                let faults = self.member_faults.get(&(from, to)).copied().unwrap_or_default();
                self.pass_datagram(io, socket, at, faults, bytes);
            }
        }
    }
}

impl Relays {
    /// Passes a datagram on, subject to the faults of its direction.
    fn pass_datagram(
        &mut self,
        io: &mut Io,
        socket: SocketId,
        target: SocketAddr,
        faults: PathFaults,
        bytes: &[u8],
    ) {
        let mut draw = |share: f64| share > 0.0 && self.rng.random_bool(share.min(1.0));
        if faults.cut || draw(faults.loss) {
            return;
        }
        let copies = 1 + u64::from(draw(faults.duplicate));
        let delay = faults.delay + if draw(faults.reorder) { REORDER_DELAY } else { 0 };
        let mut bytes = bytes.to_vec();
        if draw(faults.corrupt) && !bytes.is_empty() {
            let at = self.rng.random_range(0..bytes.len());
            bytes[at] = bytes[at].wrapping_add(self.rng.random_range(1..=255));
        }
        for _ in 0..copies {
            if delay == 0 {
                io.send_to(socket, target, &bytes);
            } else {
                self.serial += 1;
                let token = DATAGRAM_TIMER | self.serial;
                self.delayed.insert(token, (socket, target, bytes.clone()));
                io.set_timer(io.now() + delay, token);
            }
        }
    }
}
