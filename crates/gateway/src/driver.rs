//! The socket layer: one mio poll loop that reads into each connection's buffer and writes out
//! pending output. It knows which kind of peer a connection has, but not the protocol spoken on it.
//! One iteration of the loop is called a turn.

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
/// Datagrams read per turn, so that a flood of them can't hold up the loop, and the size of the
/// receive buffer: one byte more than the largest valid datagram, which makes truncated ones
/// detectable.
const DATAGRAMS_PER_TURN: usize = 64;
const DATAGRAM_BUFFER_LEN: usize = 257;
/// A connection id combines a slab index and a generation, so that events for closed connections
/// are not mistaken for another connection's.
const SLOT_BITS: u32 = 20;
/// Larger than the number of connections, so that one turn handles everything that is ready and no
/// event waits for longer than a turn.
const EVENTS_PER_TURN: usize = 4096;
/// Size of one read. A buffer that grew beyond `MAX_KEPT_CAPACITY` is freed once it is empty.
const READ_SIZE: usize = 4 << 10;
const MAX_KEPT_CAPACITY: usize = 16 << 10;
/// How much is read and discarded from a connection that is about to close, in total and per turn.
const DISCARD_LIMIT: usize = 4 << 20;
const DISCARD_LIMIT_PER_TURN: usize = 64 << 10;
/// The most connections that the system keeps waiting for the listener.
const LISTEN_BACKLOG: usize = 128;
/// How many waiting connections a turn rejects while the listener closes, and how much it reads
/// from each of them.
const REJECTIONS_PER_TURN: usize = 16;
const REJECTION_READ_LIMIT: usize = 64 << 10;
/// Delay before accepting again after running out of descriptors.
pub const ACCEPT_RETRY_DELAY: Nanos = 10_000_000;
/// Interval at which log lines that standard error did not take are tried again.
const LOG_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The admission controller's clock: Unix time at the start plus the monotonic time since, so that
/// it never jumps.
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

/// The kind of peer at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    Client,
    Server,
    Discovery,
    Counter(usize),
}

/// How a connection ended. Data without an explicit length is complete only after
/// [`ConnectionEnd::Closed`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The peer shut down its sending in an orderly way, and everything it sent has been read.
    Closed,
    /// The peer reset the connection; its last bytes may be missing.
    Reset,
    /// The connection was never established, or reading or writing failed; with the reason code.
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

/// A connection with its buffers.
struct Conn {
    id: usize,
    peer: Peer,
    stream: TcpStream,
    address: SocketAddr,
    opened_at: Nanos,
    is_connected: bool,
    input: Vec<u8>,
    input_limit: usize,
    /// Capacity of its buffers, as last included in [`Net::client_buffer_bytes`] or
    /// [`Net::upstream_buffer_bytes`].
    accounted_bytes: usize,
    /// Reading stopped because the buffer is full; there may be more to read.
    paused: bool,
    /// If set, input is no longer used: it is read and discarded, up to this many bytes.
    discard_left: Option<usize>,
    /// Set once the peer has shut down its sending or the connection has failed.
    end: Option<ConnectionEnd>,
    output: Vec<u8>,
    /// How much of `output` has been written.
    written: usize,
    /// No output is written from this time on.
    write_until: Nanos,
    /// Listed in [`Net::dirty`].
    is_dirty: bool,
}

/// All connections.
pub struct Net {
    registry: Registry,
    conns: Slab<Conn>,
    /// Number of connections so far.
    generations: usize,
    /// Connections with output to write in this turn.
    dirty: Vec<usize>,
    /// Connections whose reading was paused and that are to be read again.
    to_resume: Vec<usize>,
    /// Socket for other gateways' datagrams, and whether it has more of them than a turn reads.
    datagrams: Option<UdpSocket>,
    has_more_datagrams: bool,
    /// Total capacity of the buffers of client connections, in bytes.
    pub client_buffer_bytes: usize,
    /// The most that it has been.
    pub client_buffer_peak: usize,
    /// Total capacity of the buffers of all other connections, in bytes.
    pub upstream_buffer_bytes: usize,
    /// Time of the current turn.
    pub now: Nanos,
    /// How long the input of this turn may have waited unread.
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
        input_limit: usize,
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
            input_limit,
            accounted_bytes: 0,
            paused: false,
            discard_left: None,
            end: None,
            output: Vec::new(),
            written: 0,
            write_until: Nanos::MAX,
            is_dirty: false,
        });
        Ok(id)
    }

    /// Opens a connection; `EventHandler::connected` reports when it is established. At most
    /// `input_limit` bytes of input are buffered.
    pub fn connect(&mut self, address: SocketAddr, peer: Peer, input_limit: usize) -> io::Result<usize> {
        let stream = TcpStream::connect(address)?;
        let _ = stream.set_nodelay(true);
        self.add(stream, peer, address, input_limit)
    }

    /// Binds the datagram socket and returns its address, since port 0 lets the system choose the
    /// port.
    pub fn open_datagrams(&mut self, address: SocketAddr) -> io::Result<SocketAddr> {
        let mut socket = UdpSocket::bind(address)?;
        self.registry.register(&mut socket, DATAGRAMS, Interest::READABLE)?;
        let address = socket.local_addr()?;
        self.datagrams = Some(socket);
        Ok(address)
    }

    /// Sends a datagram. If the socket buffer is full the datagram is lost, as it could be on the
    /// network.
    pub fn send_datagram(&self, to: SocketAddr, bytes: &[u8]) {
        if let Some(socket) = &self.datagrams {
            let _ = socket.send_to(bytes, to);
        }
    }

    /// Reads the datagrams that are waiting, up to a turn's limit.
    fn read_datagrams(&mut self) -> Vec<Vec<u8>> {
        let Some(socket) = &self.datagrams else { return Vec::new() };
        let mut received = Vec::new();
        let mut buffer = [0; DATAGRAM_BUFFER_LEN];
        self.has_more_datagrams = true;
        // Attempts are counted rather than datagrams, so that the loop also ends if ICMP errors
        // from other hosts keep coming up on the socket.
        for _ in 0..DATAGRAMS_PER_TURN {
            match socket.recv_from(&mut buffer) {
                Ok((length, _)) => received.push(buffer[..length].to_vec()),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.has_more_datagrams = false;
                    break;
                }
                Err(_) => {}
            }
        }
        received
    }

    pub fn peer(&self, id: usize) -> Option<Peer> {
        self.get(id).map(|conn| conn.peer)
    }

    pub fn address(&self, id: usize) -> Option<SocketAddr> {
        self.get(id).map(|conn| conn.address)
    }

    /// Returns when a connection was accepted or opened.
    pub fn opened_at(&self, id: usize) -> Nanos {
        self.get(id).map_or(self.now, |conn| conn.opened_at)
    }

    /// Returns how long ago the last data arrived on a connection, if the system can tell.
    pub fn last_input_age(&self, id: usize) -> Option<Nanos> {
        tcp_info::time_since_last_data(&self.get(id)?.stream)
    }

    /// Returns the output buffer of a connection; it is written at the end of the turn.
    pub fn output(&mut self, id: usize) -> Option<&mut Vec<u8>> {
        let conn = self.conns.get_mut(id & ((1 << SLOT_BITS) - 1)).filter(|conn| conn.id == id)?;
        if !std::mem::replace(&mut conn.is_dirty, true) {
            self.dirty.push(id);
        }
        Some(&mut conn.output)
    }

    /// Returns the bytes that have been read and not yet consumed.
    pub fn input(&self, id: usize) -> &[u8] {
        self.get(id).map_or(&[], |conn| &conn.input)
    }

    /// Returns the input buffer of one connection and the output buffer of another.
    pub fn input_and_output(&mut self, from: usize, to: usize) -> Option<(&[u8], &mut Vec<u8>)> {
        self.output(to)?;
        self.get(from)?;
        let mask = (1 << SLOT_BITS) - 1;
        let (from, to) = self.conns.get2_mut(from & mask, to & mask)?;
        Some((&from.input, &mut to.output))
    }

    /// Removes consumed bytes from the input buffer.
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

    /// Drops input beyond this many bytes and continues to read.
    pub fn truncate_input(&mut self, id: usize, bytes: usize) {
        let Some(conn) = self.get_mut(id) else { return };
        conn.input.truncate(bytes);
        if std::mem::take(&mut conn.paused) {
            self.to_resume.push(id);
        }
        self.update_accounting(id);
    }

    /// Returns the connections to read once more in this turn. A connection may have been added
    /// twice: in the previous turn, and by an event of this turn that filled its buffer again.
    fn take_to_resume(&mut self) -> Vec<usize> {
        let mut ids = std::mem::take(&mut self.to_resume);
        ids.sort_unstable();
        ids.dedup();
        ids
    }

    /// Whether the input buffer is full, in which case the end of the connection may not have been
    /// seen.
    pub fn is_input_full(&self, id: usize) -> bool {
        self.get(id).is_some_and(|conn| conn.paused)
    }

    /// Whether all output has been handed to the system.
    pub fn is_flushed(&self, id: usize) -> bool {
        self.get(id).is_some_and(|conn| conn.is_connected && conn.written == conn.output.len())
    }

    /// Returns the number of output bytes not yet handed to the system.
    pub fn unsent_bytes(&self, id: usize) -> usize {
        self.get(id).map_or(0, |conn| conn.output.len() - conn.written)
    }

    /// From this time on no output of a connection is written, however much is waiting.
    pub fn set_write_until(&mut self, id: usize, until: Nanos) {
        if let Some(conn) = self.get_mut(id) {
            conn.write_until = until;
        }
    }

    /// Whether some of a connection's output has not arrived at the peer's system, as far as this
    /// system can tell: it waits here, or was not acknowledged.
    pub fn has_output_on_the_way(&self, id: usize) -> bool {
        let Some(conn) = self.get(id) else { return false };
        conn.written < conn.output.len()
            || tcp_info::unacknowledged_bytes(&conn.stream).is_some_and(|n| n > 0)
    }

    /// Lets the close of a connection be a reset, so that what the system has taken and not sent is
    /// dropped; an ordinary close would still deliver it.
    pub fn reset_on_close(&mut self, id: usize) {
        if let Some(conn) = self.get(id) {
            let _ = rustix::net::sockopt::set_socket_linger(&conn.stream, Some(Duration::ZERO));
        }
    }

    /// Returns how a connection ended, if it has.
    pub fn connection_end(&self, id: usize) -> Option<ConnectionEnd> {
        self.get(id).and_then(|conn| conn.end)
    }

    /// Reads and discards all further input of a connection, since closing a socket with unread
    /// bytes resets the connection, and the reset may discard the last response. Limited to
    /// [`DISCARD_LIMIT`] bytes for clients that never stop sending. Trade-off: such a client may
    /// miss its response.
    pub fn discard_input(&mut self, id: usize) {
        if let Some(conn) = self.get_mut(id).filter(|conn| conn.discard_left.is_none()) {
            (conn.discard_left, conn.input) = (Some(DISCARD_LIMIT), Vec::new());
            if !std::mem::replace(&mut conn.paused, true) {
                self.to_resume.push(id);
            }
        }
        self.update_accounting(id);
    }

    /// Shuts down this side's sending.
    pub fn shutdown_write(&mut self, id: usize) {
        if let Some(conn) = self.get(id) {
            let _ = conn.stream.shutdown(std::net::Shutdown::Write);
        }
    }

    pub fn close(&mut self, id: usize) {
        if self.get(id).is_some() {
            let mut conn = self.conns.remove(id & ((1 << SLOT_BITS) - 1));
            *self.buffer_bytes(conn.peer) -= conn.accounted_bytes;
            let _ = self.registry.deregister(&mut conn.stream);
        }
    }

    /// Reads the available input, up to the buffer's limit. `peer_closed` is set if the event shows
    /// the end of the peer's sending or an error.
    pub fn read(&mut self, id: usize, peer_closed: bool) {
        self.read_input(id, peer_closed);
        self.update_accounting(id);
    }

    fn read_input(&mut self, id: usize, peer_closed: bool) {
        let Some(conn) = self.get_mut(id) else { return };
        if let Some(left) = conn.discard_left {
            return self.read_and_discard(id, left, peer_closed);
        }
        while conn.end.is_none() {
            let length = conn.input.len();
            if length >= conn.input_limit {
                conn.paused = true;
                // A client that closes is gone, whatever it sent before; of a server's response the
                // rest must still be read.
                conn.end = (peer_closed && conn.peer == Peer::Client).then_some(ConnectionEnd::Closed);
                return;
            }
            let free =
                if length < 4 * READ_SIZE { READ_SIZE } else { 4 * READ_SIZE }.min(conn.input_limit - length);
            conn.input.reserve_exact(free); // `reserve` could double the capacity
            conn.input.resize(length + free, 0);
            let result = conn.stream.read(&mut conn.input[length..]);
            conn.input.truncate(length + result.as_ref().map_or(0, |result| *result));
            match result {
                Ok(0) => conn.end = Some(ConnectionEnd::Closed),
                // A short read does not mean that the socket is empty, and what is left would cause
                // no further event.
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) => conn.end = Some(end_of_error(&e)),
            }
        }
    }

    /// Reads and discards up to one turn's limit.
    fn read_and_discard(&mut self, id: usize, mut remaining: usize, peer_closed: bool) {
        let Some(conn) = self.get_mut(id) else { return };
        let mut buffer = [0; READ_SIZE];
        let mut turn_remaining = DISCARD_LIMIT_PER_TURN;
        conn.paused = false;
        while conn.end.is_none() && remaining > 0 && turn_remaining > 0 {
            match conn.stream.read(&mut buffer) {
                Ok(0) => conn.end = Some(ConnectionEnd::Closed),
                Ok(length) => {
                    (remaining, turn_remaining) =
                        (remaining.saturating_sub(length), turn_remaining.saturating_sub(length))
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) => conn.end = Some(end_of_error(&e)),
            }
        }
        conn.discard_left = Some(remaining);
        if remaining == 0 && peer_closed {
            conn.end = conn.end.or(Some(ConnectionEnd::Closed));
        }
        if turn_remaining == 0 && remaining > 0 && conn.end.is_none() {
            conn.paused = true;
            self.to_resume.push(id);
        }
    }

    /// The total capacity of the buffers of connections to peers of this kind.
    fn buffer_bytes(&mut self, peer: Peer) -> &mut usize {
        match peer {
            Peer::Client => &mut self.client_buffer_bytes,
            Peer::Server | Peer::Discovery | Peer::Counter(_) => &mut self.upstream_buffer_bytes,
        }
    }

    /// Keeps the total capacities up to date; called whenever a buffer's capacity may have changed.
    fn update_accounting(&mut self, id: usize) {
        let Some(conn) = self.get_mut(id) else { return };
        let capacity = conn.input.capacity() + conn.output.capacity();
        let (peer, previous) = (conn.peer, std::mem::replace(&mut conn.accounted_bytes, capacity));
        let total = self.buffer_bytes(peer);
        *total = *total + capacity - previous;
        self.client_buffer_peak = self.client_buffer_peak.max(self.client_buffer_bytes);
    }

    fn write(&mut self, id: usize) {
        self.update_accounting(id);
        self.write_output(id);
        self.update_accounting(id);
    }

    fn write_output(&mut self, id: usize) {
        let now = self.now;
        let may_write = |conn: &&mut Conn| conn.is_connected && conn.end.is_none() && now < conn.write_until;
        let Some(conn) = self.get_mut(id).filter(may_write) else { return };
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

/// Translates an I/O error to the end of a connection.
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

/// Whether the error means that the process or the system is out of descriptors or of memory for
/// one.
pub fn is_resource_exhausted(e: &io::Error) -> bool {
    use rustix::io::Errno;
    let codes = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    e.raw_os_error().is_some_and(|code| codes.iter().any(|known| known.raw_os_error() == code))
}

/// Receives the driver's events and tells it what to do next. It owns the connections, and does no
/// I/O on them itself.
pub trait EventHandler {
    fn net(&mut self) -> &mut Net;
    fn start(&mut self, now: Nanos);
    /// A turn begins at `Net::now`; none of its events have been handled yet.
    fn turn_started(&mut self);
    /// A datagram arrived from another gateway.
    fn datagram_received(&mut self, bytes: &[u8]);
    /// When the next timer is due.
    fn next_timer(&mut self) -> Option<Nanos>;
    /// SIGTERM or SIGINT was received (`stop`), or SIGHUP (`reload`).
    fn stop(&mut self);
    fn reload(&mut self);
    fn is_listening(&self) -> bool;
    /// The listener was closed, after this many waiting connections had been rejected.
    fn listener_closed(&mut self, _rejected: usize) {}
    fn is_finished(&self) -> bool;
    /// Whether there is room for another client.
    fn can_accept(&mut self) -> bool;
    /// Limit on the input buffered for a client, in bytes.
    fn max_client_input(&self) -> usize;
    /// A client connection was accepted.
    fn accepted(&mut self, id: usize);
    /// Accepting stopped before the queue was empty and has to be tried again.
    fn retry_accept_later(&mut self);
    /// No more connections wait to be accepted.
    fn accept_queue_empty(&mut self) {}
    /// Response to connections that can't be accepted.
    fn unavailable_response(&self) -> &[u8] {
        b""
    }
    /// Frees a descriptor; returns false if none can be freed.
    fn free_descriptor(&mut self) -> bool;
    /// A connection opened by [`Net::connect`] is established.
    fn connected(&mut self, id: usize);
    /// Some or all of a connection's output was written.
    fn output_written(&mut self, id: usize);
    /// Input arrived on a connection, or the connection ended.
    fn input_received(&mut self, id: usize);
    /// Runs the timers that are due; returns true if accepting should be tried again.
    fn run_due_timers(&mut self) -> bool;
    /// Processes everything that resulted from earlier events.
    fn process_pending(&mut self);
    /// The turn's output is about to be written: writes the requested attempts whose connections
    /// are established, if the conditions under which each was requested still hold.
    fn write_attempts(&mut self);
}

/// The poll, the listener and the signal handling.
pub struct Driver {
    poll: Poll,
    listener: Option<TcpListener>,
    signals: UnixStream,
    /// SIGHUP was received; SIGTERM or SIGINT was received.
    reload_signal: Arc<AtomicBool>,
    stop_signal: Arc<AtomicBool>,
    pub clock: Clock,
    /// Since when clients can connect and their messages may wait in the system.
    listening_since: Nanos,
    /// Waiting connections that were rejected since the listener began to close.
    rejected: usize,
}

impl Driver {
    /// Binds the listener and returns its address, since port 0 lets the system choose the port.
    pub fn new(listen: SocketAddr) -> io::Result<(Driver, Net, SocketAddr)> {
        let clock = Clock::start();
        let poll = Poll::new()?;
        let mut listener = TcpListener::bind(listen)?;
        let listen = listener.local_addr()?;
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        let (mut signals, write_end) = UnixStream::pair()?;
        poll.registry().register(&mut signals, SIGNALS, Interest::READABLE)?;
        let (reload_signal, stop_signal) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
        use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
        for (signal, flag) in [(SIGHUP, &reload_signal), (SIGTERM, &stop_signal), (SIGINT, &stop_signal)] {
            signal_hook::flag::register(signal, flag.clone())?;
            signal_hook::low_level::pipe::register(signal, clone_descriptor(&write_end)?)?;
        }
        let registry = poll.registry().try_clone()?;
        let (conns, dirty, to_resume) = (Slab::new(), Vec::new(), Vec::new());
        let net = Net {
            registry,
            conns,
            generations: 0,
            dirty,
            to_resume,
            datagrams: None,
            has_more_datagrams: false,
            client_buffer_bytes: 0,
            client_buffer_peak: 0,
            upstream_buffer_bytes: 0,
            now: clock.now(),
            input_delay: 0,
        };
        let listener = Some(listener);
        let listening_since = net.now;
        Ok((
            Driver {
                poll,
                listener,
                signals,
                reload_signal,
                stop_signal,
                clock,
                listening_since,
                rejected: 0,
            },
            net,
            listen,
        ))
    }

    /// Runs the event loop until the gateway is finished.
    pub fn run(mut self, gateway: &mut impl EventHandler, logs: &LogBuffer) -> io::Result<()> {
        let mut events = Events::with_capacity(EVENTS_PER_TURN);
        gateway.start(self.clock.now());
        self.flush(gateway);
        // Duration of the last turn; before the first one, of the start.
        let mut last_turn = self.clock.now() - self.listening_since;
        while !gateway.is_finished() {
            let now = self.clock.now();
            let next_timer = gateway.next_timer();
            let timer_wait = next_timer.map(|at| Duration::from_nanos(at.saturating_sub(now)));
            let net = gateway.net();
            let has_work = !net.to_resume.is_empty() || net.has_more_datagrams;
            let is_closing_listener = self.listener.is_some() && !gateway.is_listening();
            let no_wait = (has_work || is_closing_listener).then_some(Duration::ZERO);
            let wait = timer_wait
                .into_iter()
                .chain((!logs.is_empty()).then_some(LOG_RETRY_INTERVAL))
                .chain(no_wait)
                .min();
            match self.poll.poll(&mut events, wait) {
                // The process may have been stopped in between: the next poll finds what arrived,
                // and the timers are still overdue then.
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                polled => polled?,
            }
            // Deadlines must not be counted from too late: this turn's input may have arrived
            // during the last turn, or while the whole process was suspended, which an overdue
            // timer shows. Trade-off: a message that came just now loses that much of its time.
            let (net, turn_start) = (gateway.net(), self.clock.now());
            net.input_delay = last_turn.max(next_timer.map_or(0, |at| turn_start.saturating_sub(at)));
            net.now = turn_start;
            gateway.turn_started();
            // If the signal's byte in the pipe was lost there is no event for it, but the flag is
            // set.
            let signal_event_lost = self.has_signal() && !events.iter().any(|event| event.token() == SIGNALS);
            let mut datagrams_ready = gateway.net().has_more_datagrams;
            for event in &events {
                match event.token() {
                    LISTENER => drop(self.accept(gateway)),
                    DATAGRAMS => datagrams_ready = true,
                    SIGNALS => {
                        let mut buffer = [0; 64];
                        while self.signals.read(&mut buffer).is_ok_and(|got| got > 0) {}
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
            if signal_event_lost {
                self.handle_signals(gateway);
            }
            if datagrams_ready {
                for bytes in gateway.net().read_datagrams() {
                    gateway.datagram_received(&bytes);
                }
            }
            // Once per turn, so that a client that never stops sending gets no more than its share.
            for id in gateway.net().take_to_resume() {
                gateway.net().read(id, false);
                gateway.input_received(id);
            }
            if gateway.run_due_timers() {
                self.accept(gateway);
            }
            self.flush(gateway);
            if gateway.is_listening() {
                // The listener stays open.
            } else if self.listener.is_some() {
                self.continue_closing(gateway);
                self.flush(gateway);
            }
            logs.write_pending();
            last_turn = self.clock.now() - gateway.net().now;
        }
        Ok(())
    }

    /// Takes one step of closing the listener without resetting clients that have already
    /// connected: they are accepted as far as there is room, and some of the others are rejected.
    /// The rest waits for the next turn, so that clients that keep coming hold up nothing else. Ends
    /// when none waits any more, or when as many were rejected as can have waited at first. The
    /// cost: a connection that was opened later than those is closed unread.
    fn continue_closing(&mut self, gateway: &mut impl EventHandler) {
        let mut none_left = self.accept(gateway);
        for _ in 0..REJECTIONS_PER_TURN {
            if none_left || self.rejected >= LISTEN_BACKLOG {
                self.listener = None;
                return gateway.listener_closed(self.rejected);
            }
            none_left = !self.reject_next(gateway.unavailable_response());
        }
    }

    /// Rejects the connection that has waited longest; false if there is none.
    fn reject_next(&mut self, response: &[u8]) -> bool {
        let Some(Ok((mut stream, _))) = self.listener.as_ref().map(TcpListener::accept) else { return false };
        self.rejected += 1;
        reject_connection(&mut stream, response);
        true
    }

    /// Whether a signal was received and not handled yet.
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
                Ok(None) => return, // still connecting
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

    /// Writes all pending output, including output that results from writing, until none is left.
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

    /// Accepts waiting connections as far as there is room; returns whether none are left.
    fn accept(&mut self, gateway: &mut impl EventHandler) -> bool {
        let Some(listener) = &self.listener else { return true };
        while gateway.can_accept() {
            match listener.accept() {
                Ok((stream, address)) => {
                    let _ = stream.set_nodelay(true);
                    let input_limit = gateway.max_client_input();
                    if let Ok(id) = gateway.net().add(stream, Peer::Client, address, input_limit) {
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
                // Out of descriptors: closes an idle connection, or delays accepting.
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

/// Answers what has arrived on a connection, if anything, and closes it. Input is read first, since
/// unread bytes would make the close a reset. Trade-off: a client that sends more than
/// [`REJECTION_READ_LIMIT`] may miss the response.
fn reject_connection(stream: &mut TcpStream, response: &[u8]) {
    let mut buffer = [0; READ_SIZE];
    let mut received = 0;
    while received < REJECTION_READ_LIMIT {
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 => received += length,
            _ => break,
        }
    }
    if received > 0 {
        let _ = stream.set_nodelay(true);
        let _ = stream.write(response);
    }
    let _ = stream.shutdown(std::net::Shutdown::Write);
}

fn clone_descriptor(stream: &UnixStream) -> io::Result<std::os::fd::OwnedFd> {
    use std::os::fd::AsFd;
    stream.as_fd().try_clone_to_owned()
}
