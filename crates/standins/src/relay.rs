//! Links with faults between any two processes: user-space relays for TCP connections and UDP datagrams on loopback.
//! A link is a door in front of one address; each of its ways, there and back, has faults of its own.
//!
//! What a relay can't do: it accepts before it dials, so that a connection over a cut link stands and stays silent
//! where a real network would never let it come up, and one to a dead process is reset where it would be refused.
//! Ending only one side's sending ends the whole connection.

use crate::reactor::{ConnId, EventHandler, Io, SocketId};
use crate::{MS, Nanos};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// What lost bytes of a connection cost, as a retransmission would.
const RETRANSMIT: Nanos = 200 * MS;
/// How far reordered datagrams are thrown back.
const REORDER: Nanos = 20 * MS;
/// Bytes that wait in one way of a connection before its reading stops.
const WAITING_MOST: usize = 256 << 10;

/// The faults of one way of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PathFaults {
    /// Nothing passes. Bytes wait for the end of the cut, as they would in the sender; datagrams are lost.
    pub cut: bool,
    /// What passes comes so much later.
    pub delay: Nanos,
    /// The share of datagrams lost, and of reads on a connection that come a retransmission later.
    pub loss: f64,
    /// Datagrams only: the share that is overtaken, and the share that comes twice.
    pub reorder: f64,
    /// Datagrams only: the share that comes twice.
    pub duplicate: f64,
    /// Datagrams only: the share of which a byte is changed on the way.
    pub corrupt: f64,
}

/// What happens to connections at a link's door.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AcceptMode {
    /// They pass.
    #[default]
    Forward,
    /// Accepts and passes nothing on, for good.
    Discard,
    /// All are reset, new ones as they come.
    Reset,
}

/// The faults of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// What happens to connections at the door.
    pub accept: AcceptMode,
    /// The way towards the target.
    pub to_target: PathFaults,
    /// The way back from it.
    pub from_target: PathFaults,
}

struct Link {
    target: SocketAddr,
    faults: Faults,
}

/// One way of a connection: what waits, and whether its sender has ended.
#[derive(Default)]
struct Way {
    waits: VecDeque<(Nanos, Vec<u8>)>,
    bytes: usize,
    over: bool,
}

struct Pair {
    link: usize,
    /// The side that came in, and the one that was dialled.
    ends: [Option<ConnId>; 2],
    up: bool,
    /// There and back.
    ways: [Way; 2],
}

/// All links of one reactor.
pub struct Relays {
    links: Vec<Link>,
    doors: BTreeMap<SocketId, usize>,
    plugs: BTreeMap<SocketId, usize>,
    pairs: BTreeMap<u64, Pair>,
    conns: BTreeMap<ConnId, (u64, usize)>,
    late: BTreeMap<u64, (SocketId, SocketAddr, Vec<u8>)>,
    /// Those who hear each other: where each sends what all others are to hear, and where it hears; and the faults of
    /// the ways between them, from whom to whom.
    members: Vec<(SocketId, Option<SocketAddr>)>,
    between: BTreeMap<(usize, usize), PathFaults>,
    serial: u64,
    chance: ChaCha8Rng,
    /// Connections and datagrams that came so far, whatever became of them.
    pub received: u64,
}

/// Timers of datagrams, and of pairs.
const DATAGRAM: u64 = 1 << 63;

impl Relays {
    /// No links yet.
    pub fn new(chance: ChaCha8Rng) -> Relays {
        Relays {
            links: Vec::new(),
            doors: BTreeMap::new(),
            plugs: BTreeMap::new(),
            pairs: BTreeMap::new(),
            conns: BTreeMap::new(),
            late: BTreeMap::new(),
            members: Vec::new(),
            between: BTreeMap::new(),
            serial: 0,
            chance,
            received: 0,
        }
    }

    /// A link for connections to `target`; its number, and the address to come to.
    pub fn relay_tcp(
        &mut self,
        io: &mut Io,
        at: SocketAddr,
        target: SocketAddr,
    ) -> std::io::Result<(usize, SocketAddr)> {
        let (door, address) = io.listen(at)?;
        self.links.push(Link { target, faults: Faults::default() });
        self.doors.insert(door, self.links.len() - 1);
        Ok((self.links.len() - 1, address))
    }

    /// A link for datagrams to `target`, likewise; they arrive from this address.
    pub fn relay_udp(
        &mut self,
        io: &mut Io,
        at: SocketAddr,
        target: SocketAddr,
    ) -> std::io::Result<(usize, SocketAddr)> {
        let (plug, address) = io.bind_udp(at)?;
        self.links.push(Link { target, faults: Faults::default() });
        self.plugs.insert(plug, self.links.len() - 1);
        Ok((self.links.len() - 1, address))
    }

    /// One more that hears all others: its number among them, and the address to send to what all others are to hear.
    pub fn add_member(&mut self, io: &mut Io, at: SocketAddr) -> std::io::Result<(usize, SocketAddr)> {
        let (plug, address) = io.bind_udp(at)?;
        self.members.push((plug, None));
        Ok((self.members.len() - 1, address))
    }

    /// A member hears there from now on, or nowhere.
    pub fn set_receiver(&mut self, member: usize, at: Option<SocketAddr>) {
        self.members[member].1 = at;
    }

    /// The faults of the way from one member to another.
    pub fn set_path_faults(&mut self, from: usize, to: usize, path: PathFaults) {
        self.between.insert((from, to), path);
    }

    /// Changes the faults of a link.
    pub fn set_faults(&mut self, io: &mut Io, link: usize, faults: Faults) {
        self.links[link].faults = faults;
        let pairs: Vec<u64> =
            self.pairs.iter().filter(|(_, pair)| pair.link == link).map(|(id, _)| *id).collect();
        for id in pairs {
            match faults.accept {
                AcceptMode::Reset => self.end(io, id, true),
                _ => (0..2).for_each(|way| self.pump(io, id, way)),
            }
        }
    }

    fn path(&self, link: usize, way: usize) -> PathFaults {
        let faults = &self.links[link].faults;
        if way == 0 { faults.to_target } else { faults.from_target }
    }

    fn end(&mut self, io: &mut Io, id: u64, reset: bool) {
        let Some(pair) = self.pairs.remove(&id) else { return };
        for conn in pair.ends.into_iter().flatten() {
            self.conns.remove(&conn);
            if reset { io.reset(conn) } else { io.close_when_flushed(conn) }
        }
    }

    /// Takes what came from one end into its way.
    fn take(&mut self, io: &mut Io, id: u64, way: usize, conn: ConnId) {
        let Some(link) = self.pairs.get(&id).map(|pair| pair.link) else { return };
        let path = self.path(link, way);
        let bytes = io.input(conn).to_vec();
        if bytes.is_empty() {
            return;
        }
        io.consume(conn, bytes.len());
        let lost = path.loss > 0.0 && self.chance.random_bool(path.loss.min(1.0));
        let due = io.now() + path.delay + if lost { RETRANSMIT } else { 0 };
        let Some(pair) = self.pairs.get_mut(&id) else { return };
        let way_ = &mut pair.ways[way];
        let due = due.max(way_.waits.back().map_or(0, |last| last.0)); // bytes keep their order
        way_.bytes += bytes.len();
        way_.waits.push_back((due, bytes));
        if way_.bytes > WAITING_MOST {
            io.set_read_paused(conn, true);
        }
    }

    /// Passes on what is due in one way of a connection, and its end once nothing waits before it.
    fn pump(&mut self, io: &mut Io, id: u64, way: usize) {
        let Some(link) = self.pairs.get(&id).map(|pair| pair.link) else { return };
        if self.path(link, way).cut {
            return;
        }
        let Some(pair) = self.pairs.get_mut(&id).filter(|pair| pair.up) else { return };
        let (from, to) = (pair.ends[way], pair.ends[1 - way]);
        let ways = &mut pair.ways[way];
        while let Some((due, _)) = ways.waits.front() {
            if *due > io.now() {
                let due = *due;
                return io.set_timer(due, id << 1 | way as u64);
            }
            let Some((_, bytes)) = ways.waits.pop_front() else { return };
            ways.bytes -= bytes.len();
            to.into_iter().for_each(|to| io.send(to, &bytes));
        }
        from.into_iter().for_each(|from| io.set_read_paused(from, false));
        if ways.over {
            self.end(io, id, false);
        }
    }
}

impl EventHandler for Relays {
    fn on_accept(&mut self, io: &mut Io, conn: ConnId, door: SocketId) {
        let Some(link) = self.doors.get(&door).copied() else { return io.close(conn) };
        self.received += 1;
        let gate = self.links[link].faults.accept;
        if gate == AcceptMode::Reset {
            return io.reset(conn);
        }
        let far = if gate == AcceptMode::Discard { None } else { io.connect(self.links[link].target).ok() };
        if far.is_none() && gate == AcceptMode::Forward {
            return io.reset(conn);
        }
        self.serial += 1;
        self.conns.insert(conn, (self.serial, 0));
        if let Some(far) = far {
            self.conns.insert(far, (self.serial, 1));
        }
        let pair = Pair { link, ends: [Some(conn), far], up: false, ways: Default::default() };
        self.pairs.insert(self.serial, pair);
    }

    fn on_connect(&mut self, io: &mut Io, conn: ConnId) {
        let Some((id, _)) = self.conns.get(&conn).copied() else { return };
        if let Some(pair) = self.pairs.get_mut(&id) {
            pair.up = true;
        }
        self.pump(io, id, 0);
    }

    fn on_data(&mut self, io: &mut Io, conn: ConnId) {
        let Some((id, way)) = self.conns.get(&conn).copied() else { return };
        self.take(io, id, way, conn);
        self.pump(io, id, way);
    }

    fn on_close(&mut self, io: &mut Io, conn: ConnId) {
        let Some((id, way)) = self.conns.remove(&conn) else { return };
        let Some(pair) = self.pairs.get_mut(&id) else { return };
        pair.ends[way] = None;
        pair.ways[way].over = true;
        if way == 1 && !pair.up {
            return self.end(io, id, true); // it never came up
        }
        if pair.ends == [None, None] {
            self.pairs.remove(&id);
        } else {
            self.pump(io, id, way);
        }
    }

    fn on_timer(&mut self, io: &mut Io, token: u64) {
        if token & DATAGRAM == 0 {
            return self.pump(io, token >> 1, (token & 1) as usize);
        }
        if let Some((plug, to, bytes)) = self.late.remove(&token) {
            io.send_to(plug, to, &bytes);
        }
    }

    fn on_datagram(&mut self, io: &mut Io, door: SocketId, _from: SocketAddr, bytes: &[u8]) {
        self.received += 1;
        if let Some(link) = self.plugs.get(&door).copied() {
            let (target, path) = (self.links[link].target, self.path(link, 0));
            return self.pass(io, door, target, path, bytes);
        }
        let Some(from) = self.members.iter().position(|member| member.0 == door) else { return };
        for (to, (_, at)) in self.members.clone().into_iter().enumerate() {
            if let Some(at) = at.filter(|_| to != from) {
                let path = self.between.get(&(from, to)).copied().unwrap_or_default();
                self.pass(io, door, at, path, bytes);
            }
        }
    }
}

impl Relays {
    /// A datagram over one way with its faults.
    fn pass(&mut self, io: &mut Io, door: SocketId, target: SocketAddr, path: PathFaults, bytes: &[u8]) {
        let mut is = |share: f64| share > 0.0 && self.chance.random_bool(share.min(1.0));
        if path.cut || is(path.loss) {
            return;
        }
        let copies = 1 + u64::from(is(path.duplicate));
        let delay = path.delay + if is(path.reorder) { REORDER } else { 0 };
        let mut bytes = bytes.to_vec();
        if is(path.corrupt) && !bytes.is_empty() {
            let at = self.chance.random_range(0..bytes.len());
            bytes[at] = bytes[at].wrapping_add(self.chance.random_range(1..=255));
        }
        for _ in 0..copies {
            if delay == 0 {
                io.send_to(door, target, &bytes);
            } else {
                self.serial += 1;
                let token = DATAGRAM | self.serial;
                self.late.insert(token, (door, target, bytes.clone()));
                io.set_timer(io.now() + delay, token);
            }
        }
    }
}
