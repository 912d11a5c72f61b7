//! Sockets only: one mio poll that reads into each connection's buffer and writes what waits for it.
//! It knows who a connection belongs to, and nothing of what is said on it.

use crate::logs::LogBuffer;
use crate::tcp_info;
use martenramp::host::Nanos;
use mio::net::{TcpListener, TcpStream, UdpSocket, UnixStream};
use mio::{Events, Interest, Poll, Registry, Token};
use slab::Slab;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const LISTENER: Token = Token(usize::MAX - 1);
const SIGNALS: Token = Token(usize::MAX - 2);
const DATAGRAMS: Token = Token(usize::MAX - 3);
/// So many datagrams are read in a turn, so that a flood of them takes no more than its turn; and bytes of each, one more
/// than any of ours has, which tells one that was cut.
const DATAGRAMS_PER_TURN: usize = 64;
const DATAGRAM_BUFFER_LEN: usize = 257;
/// An id is a place in the slab and a count of births, so that an event for a closed connection finds nobody.
const SLOT_BITS: u32 = 20;
/// More events than there are connections: what is ready is looked at in one turn, so that nothing waits here for longer than
/// a turn lasts.
const EVENTS_PER_TURN: usize = 4096;
/// How much is read at once; a buffer that grew beyond `KEPT` is given back once it is empty.
const READ_SIZE: usize = 4 << 10;
const MAX_KEPT_CAPACITY: usize = 16 << 10;
/// How much is read and discarded of a connection that is about to be closed, and in one turn.
const DISCARD_LIMIT: usize = 4 << 20;
const DISCARD_LIMIT_PER_TURN: usize = 64 << 10;
/// How long until accepting is tried again when no descriptor was left for it.
pub const ACCEPT_RETRY_DELAY: Nanos = 10_000_000;
/// Log lines that standard error did not take are offered again so often.
const LOG_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The module's clock: Unix time at the start plus monotonic time since, so that it never jumps.
#[derive(Clone, Copy)]
pub struct Clock {
    unix: Nanos,
    start: Instant,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as Nanos);
        Clock { unix, start: Instant::now() }
    }

    pub fn now(&self) -> Nanos {
        self.unix + self.start.elapsed().as_nanos() as Nanos
    }
}

/// Who is at the other end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    Client,
    Server,
    Discovery,
    Counter(usize),
}

/// How a connection ended. What it carried may only be taken as whole where it was [`Ending::Closed`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The other side ended its sending in good order, and all that it sent has been read.
    Closed,
    /// The other side reset it: what it sent last may be missing.
    Reset,
    /// It never came up, or reading or writing failed, for this reason.
    Failed(&'static str),
}

impl ConnectionEnd {
    /// The reason code for the log.
    pub fn reason(self) -> &'static str {
        match self {
            ConnectionEnd::Closed => "closed",
            ConnectionEnd::Reset => "reset",
            ConnectionEnd::Failed(why) => why,
        }
    }
}

struct Conn {
    id: usize,
    peer: Peer,
    stream: TcpStream,
    address: SocketAddr,
    opened_at: Nanos,
    is_connected: bool,
    input: Vec<u8>,
    input_limit: usize,
    /// Bytes that its buffers take, as last accounted for.
    accounted_bytes: usize,
    /// Reading stopped at `input_most` though there may be more.
    paused: bool,
    /// Nothing more is used: what comes is read and discarded, up to so many bytes.
    discard_left: Option<usize>,
    /// The other side has ended its sending, or the connection broke.
    end: Option<ConnectionEnd>,
    output: Vec<u8>,
    written: usize,
    is_dirty: bool,
}

/// All connections.
pub struct Net {
    registry: Registry,
    conns: Slab<Conn>,
    generations: usize,
    dirty: Vec<usize>,
    to_resume: Vec<usize>,
    /// Where other gateways' datagrams come in; and whether more wait there than a turn has read.
    datagrams: Option<UdpSocket>,
    has_more_datagrams: bool,
    /// Bytes that the buffers of clients take.
    pub client_buffer_bytes: usize,
    pub now: Nanos,
    /// For how long what is read now may have waited here unread.
    pub input_delay: Nanos,
}

impl Net {
    fn get(&self, id: usize) -> Option<&Conn> {
        self.conns.get(id & ((1 << SLOT_BITS) - 1)).filter(|conn| conn.id == id)
    }

    fn get_mut(&mut self, id: usize) -> Option<&mut Conn> {
        self.conns.get_mut(id & ((1 << SLOT_BITS) - 1)).filter(|conn| conn.id == id)
    }

    fn add(
        &mut self,
        mut stream: TcpStream,
        peer: Peer,
        address: SocketAddr,
        most: usize,
    ) -> io::Result<usize> {
        let entry = self.conns.vacant_entry();
        self.generations += 1;
        let id = entry.key() | self.generations << SLOT_BITS;
        self.registry.register(&mut stream, Token(id), Interest::READABLE | Interest::WRITABLE)?;
        entry.insert(Conn {
            id,
            peer,
            stream,
            address,
            opened_at: self.now,
            is_connected: false,
            input: Vec::new(),
            input_limit: most,
            accounted_bytes: 0,
            paused: false,
            discard_left: None,
            end: None,
            output: Vec::new(),
            written: 0,
            is_dirty: false,
        });
        Ok(id)
    }

    /// Begins a connection; `EventHandler::up` tells when it stands. At most `most` bytes wait in its buffer.
    pub fn connect(&mut self, address: SocketAddr, peer: Peer, most: usize) -> io::Result<usize> {
        let stream = TcpStream::connect(address)?;
        let _ = stream.set_nodelay(true);
        self.add(stream, peer, address, most)
    }

    /// Takes datagrams in from here on; the address is told back, since the system picks the port where it is given as 0.
    pub fn open_datagrams(&mut self, at: SocketAddr) -> io::Result<SocketAddr> {
        let mut socket = UdpSocket::bind(at)?;
        self.registry.register(&mut socket, DATAGRAMS, Interest::READABLE)?;
        let at = socket.local_addr()?;
        self.datagrams = Some(socket);
        Ok(at)
    }

    /// Sends a datagram; one that finds no room is lost, as on any network.
    pub fn send_datagram(&self, to: SocketAddr, bytes: &[u8]) {
        if let Some(socket) = &self.datagrams {
            let _ = socket.send_to(bytes, to);
        }
    }

    fn read_datagrams(&mut self) -> Vec<Vec<u8>> {
        let Some(socket) = &self.datagrams else { return Vec::new() };
        let mut came = Vec::new();
        let mut bytes = [0; DATAGRAM_BUFFER_LEN];
        self.has_more_datagrams = true;
        // Tries are counted, so that errors that others' refusals leave on the socket end, too.
        for _ in 0..DATAGRAMS_PER_TURN {
            match socket.recv_from(&mut bytes) {
                Ok((length, _)) => came.push(bytes[..length].to_vec()),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.has_more_datagrams = false;
                    break;
                }
                Err(_) => {}
            }
        }
        came
    }

    pub fn peer(&self, id: usize) -> Option<Peer> {
        self.get(id).map(|conn| conn.peer)
    }

    pub fn address(&self, id: usize) -> Option<SocketAddr> {
        self.get(id).map(|conn| conn.address)
    }

    pub fn opened_at(&self, id: usize) -> Nanos {
        self.get(id).map_or(self.now, |conn| conn.opened_at)
    }

    /// For how long what came last on a connection has waited in the system, if that can tell.
    pub fn last_input_age(&self, id: usize) -> Option<Nanos> {
        tcp_info::time_since_last_data(&self.get(id)?.stream)
    }

    /// What is to be written; it goes out at the end of the round.
    pub fn output(&mut self, id: usize) -> Option<&mut Vec<u8>> {
        let conn = self.conns.get_mut(id & ((1 << SLOT_BITS) - 1)).filter(|conn| conn.id == id)?;
        if !std::mem::replace(&mut conn.is_dirty, true) {
            self.dirty.push(id);
        }
        Some(&mut conn.output)
    }

    /// What has been read and not yet been used.
    pub fn input(&self, id: usize) -> &[u8] {
        self.get(id).map_or(&[], |conn| &conn.input)
    }

    /// The buffer of one connection beside what is to be written to another.
    pub fn input_and_output(&mut self, from: usize, to: usize) -> Option<(&[u8], &mut Vec<u8>)> {
        self.output(to)?;
        self.get(from)?;
        let mask = (1 << SLOT_BITS) - 1;
        let (from, to) = self.conns.get2_mut(from & mask, to & mask)?;
        Some((&from.input, &mut to.output))
    }

    pub fn consume(&mut self, id: usize, bytes: usize) {
        let Some(conn) = self.get_mut(id) else { return };
        conn.input.drain(..bytes.min(conn.input.len()));
        if conn.input.is_empty() && conn.input.capacity() > MAX_KEPT_CAPACITY {
            conn.input = Vec::new();
        }
        if std::mem::take(&mut conn.paused) {
            self.to_resume.push(id);
        }
        self.update_accounting(id);
    }

    /// Drops what was read beyond so many bytes, and reads on.
    pub fn truncate_input(&mut self, id: usize, bytes: usize) {
        let Some(conn) = self.get_mut(id) else { return };
        conn.input.truncate(bytes);
        if std::mem::take(&mut conn.paused) {
            self.to_resume.push(id);
        }
        self.update_accounting(id);
    }

    /// Connections to be read once more in this turn. One may be named twice: by the turn before, and by an event of this
    /// one that filled its buffer again.
    fn take_to_resume(&mut self) -> Vec<usize> {
        let mut resumed = std::mem::take(&mut self.to_resume);
        resumed.sort_unstable();
        resumed.dedup();
        resumed
    }

    /// Whether its buffer is full, so that its end could not be seen.
    pub fn is_input_full(&self, id: usize) -> bool {
        self.get(id).is_some_and(|conn| conn.paused)
    }

    /// Whether the other side can have got the last byte written to it.
    pub fn is_flushed(&self, id: usize) -> bool {
        self.get(id).is_some_and(|conn| conn.is_connected && conn.written == conn.output.len())
    }

    /// Bytes that were put into its buffer and not yet handed to the system.
    pub fn unsent_bytes(&self, id: usize) -> usize {
        self.get(id).map_or(0, |conn| conn.output.len() - conn.written)
    }

    pub fn connection_end(&self, id: usize) -> Option<ConnectionEnd> {
        self.get(id).and_then(|conn| conn.end)
    }

    /// What else comes on a connection is read and discarded, since closing over unread bytes resets the connection and
    /// may take the last answer with it. Guards against a client that sends on without end: it is read for
    /// [`DISCARDS`] bytes and then left unread. Harm: such a client may miss its answer.
    pub fn discard_input(&mut self, id: usize) {
        if let Some(conn) = self.get_mut(id).filter(|conn| conn.discard_left.is_none()) {
            (conn.discard_left, conn.input) = (Some(DISCARD_LIMIT), Vec::new());
            if !std::mem::replace(&mut conn.paused, true) {
                self.to_resume.push(id);
            }
        }
        self.update_accounting(id);
    }

    /// Ends this side's sending.
    pub fn shutdown_write(&mut self, id: usize) {
        if let Some(conn) = self.get(id) {
            let _ = conn.stream.shutdown(std::net::Shutdown::Write);
        }
    }

    pub fn close(&mut self, id: usize) {
        if self.get(id).is_some() {
            let mut conn = self.conns.remove(id & ((1 << SLOT_BITS) - 1));
            self.client_buffer_bytes -= conn.accounted_bytes;
            let _ = self.registry.deregister(&mut conn.stream);
        }
    }

    /// Reads what has come, up to the buffer's bound.
    pub fn read(&mut self, id: usize, closes: bool) {
        self.read_input(id, closes);
        self.update_accounting(id);
    }

    fn read_input(&mut self, id: usize, closes: bool) {
        let Some(conn) = self.get_mut(id) else { return };
        if let Some(left) = conn.discard_left {
            return self.read_and_discard(id, left, closes);
        }
        while conn.end.is_none() {
            let have = conn.input.len();
            if have >= conn.input_limit {
                conn.paused = true;
                // A client that closes has gone, whatever it sent before; of a server's answer the rest is still to be read.
                conn.end = (closes && conn.peer == Peer::Client).then_some(ConnectionEnd::Closed);
                return;
            }
            let room =
                if have < 4 * READ_SIZE { READ_SIZE } else { 4 * READ_SIZE }.min(conn.input_limit - have);
            conn.input.reserve_exact(room); // not twice what is needed
            conn.input.resize(have + room, 0);
            let got = conn.stream.read(&mut conn.input[have..]);
            conn.input.truncate(have + got.as_ref().map_or(0, |got| *got));
            match got {
                Ok(0) => conn.end = Some(ConnectionEnd::Closed),
                // A short read does not tell that the socket is empty, and no further event comes of what is left.
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) => conn.end = Some(end_of_error(&e)),
            }
        }
    }

    /// Reads and discards a turn's worth.
    fn read_and_discard(&mut self, id: usize, mut left: usize, closes: bool) {
        let Some(conn) = self.get_mut(id) else { return };
        let mut bytes = [0; READ_SIZE];
        let mut turn = DISCARD_LIMIT_PER_TURN;
        conn.paused = false;
        while conn.end.is_none() && left > 0 && turn > 0 {
            match conn.stream.read(&mut bytes) {
                Ok(0) => conn.end = Some(ConnectionEnd::Closed),
                Ok(got) => (left, turn) = (left.saturating_sub(got), turn.saturating_sub(got)),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) => conn.end = Some(end_of_error(&e)),
            }
        }
        conn.discard_left = Some(left);
        if left == 0 && closes {
            conn.end = conn.end.or(Some(ConnectionEnd::Closed));
        }
        if turn == 0 && left > 0 && conn.end.is_none() {
            conn.paused = true;
            self.to_resume.push(id);
        }
    }

    /// Keeps `held` true; called whenever a buffer may have changed its size.
    fn update_accounting(&mut self, id: usize) {
        let Some(conn) = self.get_mut(id).filter(|conn| conn.peer == Peer::Client) else { return };
        let now = conn.input.capacity() + conn.output.capacity();
        let was = std::mem::replace(&mut conn.accounted_bytes, now);
        self.client_buffer_bytes = self.client_buffer_bytes + now - was;
    }

    fn write(&mut self, id: usize) {
        self.update_accounting(id);
        self.write_output(id);
        self.update_accounting(id);
    }

    fn write_output(&mut self, id: usize) {
        let Some(conn) = self.get_mut(id).filter(|conn| conn.is_connected && conn.end.is_none()) else {
            return;
        };
        while conn.written < conn.output.len() {
            match conn.stream.write(&conn.output[conn.written..]) {
                Ok(0) => return conn.end = Some(ConnectionEnd::Failed("network-error")),
                Ok(written) => conn.written += written,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) => return conn.end = Some(end_of_error(&e)),
            }
        }
        (conn.written, conn.output) = (0, std::mem::take(&mut conn.output));
        conn.output.clear();
        if conn.output.capacity() > MAX_KEPT_CAPACITY {
            conn.output = Vec::new();
        }
    }
}

fn end_of_error(e: &io::Error) -> ConnectionEnd {
    ConnectionEnd::Failed(match e.kind() {
        ErrorKind::ConnectionReset => return ConnectionEnd::Reset,
        ErrorKind::ConnectionRefused => "refused",
        ErrorKind::BrokenPipe => "broken-pipe",
        ErrorKind::TimedOut => "network-time-out",
        ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable => "unreachable",
        _ => "network-error",
    })
}

/// Whether an error tells that the process, or the system, has no descriptor or no memory left for one.
pub fn is_resource_exhausted(e: &io::Error) -> bool {
    use rustix::io::Errno;
    let codes = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    e.raw_os_error().is_some_and(|code| codes.iter().any(|known| known.raw_os_error() == code))
}

/// What the driver turns: told of what the sockets bring, and asked what to do next. It holds the connections, and
/// carries out nothing on them by itself.
pub trait EventHandler {
    fn net(&mut self) -> &mut Net;
    fn start(&mut self, now: Nanos);
    /// A turn begins; `Net::now` is its time, and nothing has been looked at yet.
    fn turn_started(&mut self);
    /// A datagram came from another gateway.
    fn datagram_received(&mut self, bytes: &[u8]);
    fn next_timer(&mut self) -> Option<Nanos>;
    /// SIGTERM or SIGINT, and SIGHUP.
    fn stop(&mut self);
    fn reload(&mut self);
    fn is_listening(&self) -> bool;
    fn is_finished(&self) -> bool;
    fn can_accept(&mut self) -> bool;
    fn max_client_input(&self) -> usize;
    fn accepted(&mut self, id: usize);
    fn retry_accept_later(&mut self);
    /// Nobody waits to be accepted any more.
    fn accept_queue_empty(&mut self) {}
    /// What is answered to a message of a connection that there is no room for.
    fn unavailable_response(&self) -> &[u8] {
        b""
    }
    /// Frees a descriptor; false if none can be.
    fn free_descriptor(&mut self) -> bool;
    fn connected(&mut self, id: usize);
    fn output_written(&mut self, id: usize);
    fn input_received(&mut self, id: usize);
    /// Timers that are due; true if connections may be accepted again.
    fn run_due_timers(&mut self) -> bool;
    fn process_pending(&mut self);
    /// The turn's bytes are about to go out: attempts whose connection stands are written now, if what was true when
    /// each was asked for still is.
    fn write_attempts(&mut self);
}

/// The poll, and the sockets that are no connections.
pub struct Driver {
    poll: Poll,
    listener: Option<TcpListener>,
    signals: UnixStream,
    /// SIGHUP came; and SIGTERM or SIGINT.
    reload_signal: Arc<AtomicBool>,
    stop_signal: Arc<AtomicBool>,
    pub clock: Clock,
    /// Since when clients can connect, and their messages wait here.
    listening_since: Nanos,
}

impl Driver {
    /// Listens; the address is told back, since the system picks the port where it is given as 0.
    pub fn new(listen: SocketAddr) -> io::Result<(Driver, Net, SocketAddr)> {
        let clock = Clock::start();
        let poll = Poll::new()?;
        let mut listener = TcpListener::bind(listen)?;
        let listen = listener.local_addr()?;
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        let (mut signals, end) = UnixStream::pair()?;
        poll.registry().register(&mut signals, SIGNALS, Interest::READABLE)?;
        let (hung_up, told_to_stop) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
        use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
        for (signal, flag) in [(SIGHUP, &hung_up), (SIGTERM, &told_to_stop), (SIGINT, &told_to_stop)] {
            signal_hook::flag::register(signal, flag.clone())?;
            signal_hook::low_level::pipe::register(signal, clone_descriptor(&end)?)?;
        }
        let registry = poll.registry().try_clone()?;
        let (conns, dirty, resumed) = (Slab::new(), Vec::new(), Vec::new());
        let net = Net {
            registry,
            conns,
            generations: 0,
            dirty,
            to_resume: resumed,
            datagrams: None,
            has_more_datagrams: false,
            client_buffer_bytes: 0,
            now: clock.now(),
            input_delay: 0,
        };
        let listener = Some(listener);
        let listens_since = net.now;
        Ok((
            Driver {
                poll,
                listener,
                signals,
                reload_signal: hung_up,
                stop_signal: told_to_stop,
                clock,
                listening_since: listens_since,
            },
            net,
            listen,
        ))
    }

    /// Turns until the gateway is over.
    pub fn run(mut self, gateway: &mut impl EventHandler, logs: &LogBuffer) -> io::Result<()> {
        let mut events = Events::with_capacity(EVENTS_PER_TURN);
        gateway.start(self.clock.now());
        self.flush(gateway);
        // For how long the last turn lasted; before the first one, how long the start took.
        let mut busy = self.clock.now() - self.listening_since;
        while !gateway.is_finished() {
            let now = self.clock.now();
            let due = gateway.next_timer();
            let next = due.map(|at| Duration::from_nanos(at.saturating_sub(now)));
            let net = gateway.net();
            let more = (!net.to_resume.is_empty() || net.has_more_datagrams).then_some(Duration::ZERO);
            let wait =
                next.into_iter().chain((!logs.is_empty()).then_some(LOG_RETRY_INTERVAL)).chain(more).min();
            match self.poll.poll(&mut events, wait) {
                // What came during a stop is found by the next poll, with the timers still overdue.
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                polled => polled?,
            }
            // Guards against deadlines counted from too late: what is read now may have come while the last round
            // lasted, or while the whole process stood still, which an overdue timer tells. Harm: a message that
            // came just now loses that much of its time.
            let (net, woke) = (gateway.net(), self.clock.now());
            net.input_delay = busy.max(due.map_or(0, |at| woke.saturating_sub(at)));
            net.now = woke;
            gateway.turn_started();
            // Guards against a signal whose byte in the pipe was lost, so that no event tells of it: the flag does.
            let wake_lost = self.has_signal() && !events.iter().any(|event| event.token() == SIGNALS);
            let mut datagrams = gateway.net().has_more_datagrams;
            for event in &events {
                match event.token() {
                    LISTENER => drop(self.accept(gateway)),
                    DATAGRAMS => datagrams = true,
                    SIGNALS => {
                        let mut some = [0; 64];
                        while self.signals.read(&mut some).is_ok_and(|got| got > 0) {}
                        self.handle_signals(gateway);
                    }
                    Token(id) => {
                        if event.is_writable() || event.is_error() {
                            self.handle_writable(gateway, id);
                        }
                        if event.is_readable() || event.is_read_closed() || event.is_error() {
                            gateway.net().read(id, event.is_read_closed() || event.is_error());
                            gateway.input_received(id);
                        }
                    }
                }
            }
            if wake_lost {
                self.handle_signals(gateway);
            }
            if datagrams {
                for bytes in gateway.net().read_datagrams() {
                    gateway.datagram_received(&bytes);
                }
            }
            // Once a turn, so that a client that sends on without end has no more than its turn.
            for id in gateway.net().take_to_resume() {
                gateway.net().read(id, false);
                gateway.input_received(id);
            }
            if gateway.run_due_timers() {
                self.accept(gateway);
            }
            self.flush(gateway);
            if gateway.is_listening() {
                // Still open.
            } else if self.listener.is_some() {
                self.stop_listening(gateway);
                self.flush(gateway);
            }
            logs.write_pending();
            busy = self.clock.now() - gateway.net().now;
        }
        Ok(())
    }

    /// Nobody is to connect any more, and nobody who did is to be reset: who waits is taken as far as there is room, and of
    /// the others what they sent is refused at once.
    fn stop_listening(&mut self, gateway: &mut impl EventHandler) {
        while !self.accept(gateway) {
            let Some(listener) = &self.listener else { return };
            let Ok((mut stream, _)) = listener.accept() else { break };
            reject_connection(&mut stream, gateway.unavailable_response());
        }
        self.listener = None;
    }

    fn has_signal(&self) -> bool {
        self.reload_signal.load(Ordering::Relaxed) || self.stop_signal.load(Ordering::Relaxed)
    }

    fn handle_signals(&mut self, gateway: &mut impl EventHandler) {
        if self.reload_signal.swap(false, Ordering::Relaxed) {
            gateway.reload();
        }
        if self.stop_signal.swap(false, Ordering::Relaxed) {
            gateway.stop();
        }
    }

    fn handle_writable(&mut self, gateway: &mut impl EventHandler, id: usize) {
        let Some(conn) = gateway.net().get_mut(id) else { return };
        if !conn.is_connected {
            match conn.stream.take_error() {
                Ok(None) if conn.stream.peer_addr().is_ok() => conn.is_connected = true,
                Ok(None) => return, // not yet
                Ok(Some(e)) | Err(e) => conn.end = Some(end_of_error(&e)),
            }
            if conn.end.is_none() {
                gateway.connected(id);
            } else {
                return gateway.input_received(id);
            }
        }
        gateway.net().write(id);
        gateway.output_written(id);
    }

    /// Writes all that waits, and whatever comes of that, until nothing is left to write now.
    fn flush(&mut self, gateway: &mut impl EventHandler) {
        loop {
            gateway.process_pending();
            gateway.write_attempts();
            let dirty = std::mem::take(&mut gateway.net().dirty);
            if dirty.is_empty() {
                return;
            }
            for id in dirty {
                if let Some(conn) = gateway.net().get_mut(id) {
                    conn.is_dirty = false;
                }
                gateway.net().write(id);
                gateway.output_written(id);
                if gateway.net().connection_end(id).is_some() {
                    gateway.input_received(id);
                }
            }
        }
    }

    /// Takes all that wait to be accepted, as far as there is room; whether nobody waits any more.
    fn accept(&mut self, gateway: &mut impl EventHandler) -> bool {
        let Some(listener) = &self.listener else { return true };
        while gateway.can_accept() {
            match listener.accept() {
                Ok((stream, address)) => {
                    let _ = stream.set_nodelay(true);
                    let most = gateway.max_client_input();
                    if let Ok(id) = gateway.net().add(stream, Peer::Client, address, most) {
                        if let Some(conn) = gateway.net().get_mut(id) {
                            conn.is_connected = true;
                        }
                        gateway.accepted(id);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    gateway.accept_queue_empty();
                    return true;
                }
                // Guards against running out of descriptors: an idle connection gives way, or accepting waits.
                Err(e) if is_resource_exhausted(&e) => {
                    if !gateway.free_descriptor() {
                        break;
                    }
                }
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(_) => break,
            }
        }
        gateway.retry_accept_later();
        false
    }
}

/// Answers what has come on a connection and ends it, in one go; nothing is said where nothing has come. All of it is read
/// before, so that no unread byte makes a reset of the close.
fn reject_connection(stream: &mut TcpStream, refusal: &[u8]) {
    let mut bytes = [0; READ_SIZE];
    let mut came = false;
    while let Ok(got) = stream.read(&mut bytes) {
        came |= got > 0;
        if got == 0 {
            break;
        }
    }
    if came {
        let _ = stream.set_nodelay(true);
        let _ = stream.write(refusal);
    }
    let _ = stream.shutdown(std::net::Shutdown::Write);
}

fn clone_descriptor(stream: &UnixStream) -> io::Result<std::os::fd::OwnedFd> {
    use std::os::fd::AsFd;
    stream.as_fd().try_clone_to_owned()
}
