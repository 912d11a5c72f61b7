//! Event loop of the stand-ins: one thread and one poll for all sockets of an [`EventHandler`], which are
//! listeners, connections and datagram sockets, and for its timers. The handler runs on that thread only; a
//! [`Handle`] runs closures on the handler there, among its events.

use crate::Nanos;
use gateway::tcp_info::time_since_last_data;
use mio::net::{TcpListener, TcpStream, UdpSocket};
use mio::{Events, Interest, Poll, Registry, Token, Waker};
use slab::Slab;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Id of a connection: its slab index and a serial number, so that an outdated id doesn't match a connection
/// that reuses the index.
pub type ConnId = u64;
/// Id of a listener or of a datagram socket: its slab index among its kind.
pub type SocketId = usize;

/// Token of the waker. The tokens of listeners and datagram sockets are an index with a flag; those of connections are
/// their ids.
const WAKER: Token = Token(usize::MAX - 1);
const INDEX_BITS: u32 = 24;
const KIND_LISTENER: usize = 1 << 60;
const KIND_UDP: usize = 1 << 61;
/// Reading from a connection stops at this many unconsumed bytes, until some are consumed.
const MAX_INPUT: usize = 256 << 10;

/// Clock shared by all reactors of a run: nanoseconds since its start, and the Unix time of that start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix: Nanos,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as Nanos);
        Clock { start: Instant::now(), unix }
    }

    /// Time since the clock's start.
    pub fn now(&self) -> Nanos {
        self.start.elapsed().as_nanos() as Nanos
    }

    /// Unix time in milliseconds of a time on this clock.
    pub fn unix_ms(&self, at: Nanos) -> u64 {
        (self.unix + at) / 1_000_000
    }
}

/// Handler of a reactor's events. Each method may call any method of [`Io`]. A connection that the handler
/// closes itself is not reported to `on_close`.
pub trait EventHandler: Send + 'static {
    /// A connection was accepted on a listener.
    fn on_accept(&mut self, _io: &mut Io, _conn: ConnId, _socket: SocketId) {}
    /// A connection started by `Io::connect` was established.
    fn on_connect(&mut self, _io: &mut Io, _conn: ConnId) {}
    /// Bytes arrived; `Io::input` returns them.
    fn on_data(&mut self, io: &mut Io, conn: ConnId);
    /// The peer closed or broke the connection, or it could not be established. It is closed after this returns.
    fn on_close(&mut self, io: &mut Io, conn: ConnId);
    /// A timer set with this token has expired.
    fn on_timer(&mut self, _io: &mut Io, _token: u64) {}
    /// A datagram arrived.
    fn on_datagram(&mut self, _io: &mut Io, _socket: SocketId, _from: SocketAddr, _bytes: &[u8]) {}
}

struct Connection {
    id: ConnId,
    stream: TcpStream,
    established: bool,
    input: Vec<u8>,
    /// Reading stopped at `MAX_INPUT`.
    input_full: bool,
    /// Reading stopped by `Io::set_read_paused`.
    read_paused: bool,
    ended: bool,
    output: Vec<u8>,
    unflushed: bool,
    /// Close once the output is written.
    close_when_flushed: bool,
}

/// All sockets and timers of one reactor.
pub struct Io {
    registry: Registry,
    connections: Slab<Connection>,
    connections_opened: u64,
    listeners: Slab<TcpListener>,
    udp_sockets: Slab<UdpSocket>,
    /// Connections to write to at the end of the iteration.
    unflushed: Vec<ConnId>,
    /// Connections whose reading resumes; their unread bytes trigger no event.
    to_read: Vec<ConnId>,
    /// Time, order of setting, and token.
    timers: BinaryHeap<Reverse<(Nanos, u64, u64)>>,
    timers_set: u64,
    clock: Clock,
    now: Nanos,
    stop: bool,
}

impl Io {
    /// Time at which this iteration of the event loop started.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Clock of the run.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Calls `EventHandler::on_timer` with `token` at a time; timers for the same time fire in the order they
    /// were set.
    pub fn set_timer(&mut self, at: Nanos, token: u64) {
        self.timers_set += 1;
        self.timers.push(Reverse((at, self.timers_set, token)));
    }

    /// Listens on an address, where port 0 picks a free port; returns the listener and its address.
    pub fn listen(&mut self, address: SocketAddr) -> io::Result<(SocketId, SocketAddr)> {
        let mut listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let entry = self.listeners.vacant_entry();
        self.registry.register(&mut listener, Token(KIND_LISTENER | entry.key()), Interest::READABLE)?;
        let key = entry.key();
        entry.insert(listener);
        Ok((key, address))
    }

    /// Closes a listener; further connections to its address are refused.
    pub fn close_listener(&mut self, socket: SocketId) {
        if let Some(mut listener) = self.listeners.try_remove(socket) {
            let _ = self.registry.deregister(&mut listener);
        }
    }

    /// Binds a datagram socket; returns the socket and its address.
    pub fn bind_udp(&mut self, address: SocketAddr) -> io::Result<(SocketId, SocketAddr)> {
        let mut socket = UdpSocket::bind(address)?;
        let address = socket.local_addr()?;
        let entry = self.udp_sockets.vacant_entry();
        self.registry.register(&mut socket, Token(KIND_UDP | entry.key()), Interest::READABLE)?;
        let key = entry.key();
        entry.insert(socket);
        Ok((key, address))
    }

    /// Sends a datagram.
    pub fn send_to(&mut self, socket: SocketId, to: SocketAddr, bytes: &[u8]) {
        if let Some(socket) = self.udp_sockets.get(socket) {
            let _ = socket.send_to(bytes, to); // a datagram that doesn't fit in the buffer is lost, as on a network
        }
    }

    /// Starts to connect; `EventHandler::on_connect` or `on_close` follows.
    pub fn connect(&mut self, address: SocketAddr) -> io::Result<ConnId> {
        let stream = TcpStream::connect(address)?;
        self.add(stream, false)
    }

    fn add(&mut self, mut stream: TcpStream, established: bool) -> io::Result<ConnId> {
        let _ = stream.set_nodelay(true);
        let entry = self.connections.vacant_entry();
        self.connections_opened += 1;
        let id = entry.key() as u64 | self.connections_opened << INDEX_BITS;
        self.registry.register(&mut stream, Token(id as usize), Interest::READABLE | Interest::WRITABLE)?;
        entry.insert(Connection {
            id,
            stream,
            established,
            input: Vec::new(),
            input_full: false,
            read_paused: false,
            ended: false,
            output: Vec::new(),
            unflushed: false,
            close_when_flushed: false,
        });
        Ok(id)
    }

    fn get(&mut self, conn: ConnId) -> Option<&mut Connection> {
        let index = (conn & ((1 << INDEX_BITS) - 1)) as usize;
        self.connections.get_mut(index).filter(|connection| connection.id == conn)
    }

    /// Whether a connection has not been closed.
    pub fn is_open(&mut self, conn: ConnId) -> bool {
        self.get(conn).is_some()
    }

    /// Bytes read and not yet consumed; empty for a closed connection.
    pub fn input(&mut self, conn: ConnId) -> &[u8] {
        self.get(conn).map_or(&[], |connection| &connection.input)
    }

    /// When the last bytes of a connection's input arrived, by the system's account and thus with a precision of some
    /// milliseconds; at the latest when this iteration started. A reactor that lags reads bytes long after that.
    pub fn arrived_at(&mut self, conn: ConnId) -> Nanos {
        let now = self.clock.now();
        let unread_for = self.get(conn).and_then(|connection| time_since_last_data(&connection.stream));
        unread_for.map_or(self.now, |unread_for| now.saturating_sub(unread_for).min(self.now))
    }

    /// Removes bytes from the front of the input.
    pub fn consume(&mut self, conn: ConnId, bytes: usize) {
        let Some(connection) = self.get(conn) else { return };
        connection.input.drain(..bytes.min(connection.input.len()));
        if std::mem::take(&mut connection.input_full) {
            self.to_read.push(conn);
        }
    }

    /// Stops reading from a connection, or resumes it.
    pub fn set_read_paused(&mut self, conn: ConnId, read_paused: bool) {
        let Some(connection) = self.get(conn) else { return };
        if std::mem::replace(&mut connection.read_paused, read_paused) && !read_paused {
            self.to_read.push(conn);
        }
    }

    /// Number of bytes not yet written to a connection.
    pub fn unsent_bytes(&mut self, conn: ConnId) -> usize {
        self.get(conn).map_or(0, |connection| connection.output.len())
    }

    /// Queues bytes to be written to a connection.
    pub fn send(&mut self, conn: ConnId, bytes: &[u8]) {
        let Some(connection) = self.get(conn) else { return };
        connection.output.extend_from_slice(bytes);
        if !std::mem::replace(&mut connection.unflushed, true) {
            self.unflushed.push(conn);
        }
    }

    /// Writes what is queued for a connection at once, as far as possible, rather than at the end of the iteration.
    pub fn flush(&mut self, conn: ConnId) {
        self.write(conn);
    }

    /// Closes a connection once the queued bytes are written.
    pub fn close_when_flushed(&mut self, conn: ConnId) {
        if let Some(connection) = self.get(conn) {
            connection.close_when_flushed = true;
            if !std::mem::replace(&mut connection.unflushed, true) {
                self.unflushed.push(conn);
            }
        }
    }

    /// Closes a connection at once.
    pub fn close(&mut self, conn: ConnId) {
        if self.get(conn).is_some() {
            let mut connection = self.connections.remove((conn & ((1 << INDEX_BITS) - 1)) as usize);
            let _ = self.registry.deregister(&mut connection.stream);
        }
    }

    /// Closes a connection with a reset, as the system does when a process dies.
    pub fn reset(&mut self, conn: ConnId) {
        if let Some(connection) = self.get(conn) {
            let _ = socket2::SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO));
        }
        self.close(conn);
    }

    fn read(&mut self, conn: ConnId) {
        let Some(connection) = self.get(conn) else { return };
        let mut buffer = [0; 16 << 10];
        while !connection.ended && !connection.read_paused {
            if connection.input.len() >= MAX_INPUT {
                connection.input_full = true;
                return;
            }
            match connection.stream.read(&mut buffer) {
                Ok(0) => connection.ended = true,
                Ok(count) => {
                    connection.input.extend_from_slice(&buffer[..count]);
                    if count < buffer.len() {
                        return; // bytes that arrive later, or the end, trigger a new event
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => connection.ended = true,
            }
        }
    }

    fn write(&mut self, conn: ConnId) {
        let Some(connection) =
            self.get(conn).filter(|connection| connection.established && !connection.ended)
        else {
            return;
        };
        let mut written = 0;
        while written < connection.output.len() {
            match connection.stream.write(&connection.output[written..]) {
                Ok(count) => written += count,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => {
                    connection.ended = true;
                    break;
                }
            }
        }
        connection.output.drain(..written);
        if connection.close_when_flushed && connection.output.is_empty() {
            self.close(conn);
        }
    }
}

type Job<S> = Box<dyn FnOnce(&mut S, &mut Io) + Send>;

/// Running reactor. Dropping it stops the event loop and joins its thread.
pub struct Handle<S> {
    jobs: Sender<Job<S>>,
    waker: Arc<Waker>,
    thread: Option<JoinHandle<()>>,
}

impl<S: EventHandler> Handle<S> {
    /// Starts the thread that runs the event loop for `handler`.
    pub fn start(handler: S, clock: Clock) -> io::Result<Handle<S>> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
        let (jobs, job_queue) = channel();
        let io = Io {
            registry: poll.registry().try_clone()?,
            connections: Slab::new(),
            connections_opened: 0,
            listeners: Slab::new(),
            udp_sockets: Slab::new(),
            unflushed: Vec::new(),
            to_read: Vec::new(),
            timers: BinaryHeap::new(),
            timers_set: 0,
            clock,
            now: clock.now(),
            stop: false,
        };
        let thread = std::thread::spawn(move || run_event_loop(poll, io, handler, job_queue));
        Ok(Handle { jobs, waker, thread: Some(thread) })
    }

    /// Runs a closure on the reactor's thread, among the events of an iteration, and returns its result.
    pub fn with<R: Send + 'static>(&self, job: impl FnOnce(&mut S, &mut Io) -> R + Send + 'static) -> R {
        let (result_sender, result_receiver) = channel();
        let job: Job<S> = Box::new(move |handler, io| drop(result_sender.send(job(handler, io))));
        self.jobs.send(job).expect("the reactor's thread has ended");
        self.waker.wake().expect("the reactor's poll has been closed");
        result_receiver.recv().expect("the reactor's thread has ended")
    }
}

impl<S> Drop for Handle<S> {
    fn drop(&mut self) {
        let _ = self.jobs.send(Box::new(|_, io| io.stop = true));
        let _ = self.waker.wake();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Runs the event loop until a job stops it. Each iteration handles the events of a poll, resumes paused
/// reads, fires the timers that are due, and then writes what the handler sent.
fn run_event_loop<S: EventHandler>(mut poll: Poll, mut io: Io, mut handler: S, job_queue: Receiver<Job<S>>) {
    let mut events = Events::with_capacity(1024);
    while !io.stop {
        let next = io.timers.peek().map(|Reverse((at, ..))| at.saturating_sub(io.clock.now()));
        let wait = if io.to_read.is_empty() { next } else { Some(0) };
        match poll.poll(&mut events, wait.map(Duration::from_nanos)) {
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            polled => polled.expect("the poll is open as long as this thread runs"),
        }
        io.now = io.clock.now();
        for event in &events {
            let Token(token) = event.token();
            if token == WAKER.0 {
                while let Ok(job) = job_queue.try_recv() {
                    job(&mut handler, &mut io);
                }
            } else if token & KIND_LISTENER != 0 {
                accept(&mut io, &mut handler, token & !KIND_LISTENER);
            } else if token & KIND_UDP != 0 {
                receive(&mut io, &mut handler, token & !KIND_UDP);
            } else {
                if event.is_writable() || event.is_error() {
                    writable(&mut io, &mut handler, token as ConnId);
                }
                if event.is_readable() || event.is_read_closed() || event.is_error() {
                    readable(
                        &mut io,
                        &mut handler,
                        token as ConnId,
                        event.is_read_closed() || event.is_error(),
                    );
                }
            }
        }
        for conn in std::mem::take(&mut io.to_read) {
            readable(&mut io, &mut handler, conn, false);
        }
        while let Some(Reverse((_, _, token))) = io.timers.peek().copied().filter(|at| at.0.0 <= io.now) {
            io.timers.pop();
            handler.on_timer(&mut io, token);
        }
        for conn in std::mem::take(&mut io.unflushed) {
            if let Some(connection) = io.get(conn) {
                connection.unflushed = false;
            }
            io.write(conn);
            close_if_ended(&mut io, &mut handler, conn);
        }
    }
}

/// Accepts all connections that wait at a listener.
fn accept<S: EventHandler>(io: &mut Io, handler: &mut S, socket: SocketId) {
    while let Some(listener) = io.listeners.get(socket) {
        match listener.accept() {
            Ok((stream, _)) => {
                if let Ok(conn) = io.add(stream, true) {
                    handler.on_accept(io, conn, socket);
                }
            }
            Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
            Err(_) => return,
        }
    }
}

/// Receives all datagrams that wait at a socket.
fn receive<S: EventHandler>(io: &mut Io, handler: &mut S, socket: SocketId) {
    let mut buffer = [0; 2048];
    while let Some(Ok((count, from))) = io.udp_sockets.get(socket).map(|socket| socket.recv_from(&mut buffer))
    {
        handler.on_datagram(io, socket, from, &buffer[..count]);
    }
}

/// Handles a connection that became writable; this event also reports whether connecting succeeded.
fn writable<S: EventHandler>(io: &mut Io, handler: &mut S, conn: ConnId) {
    let Some(connection) = io.get(conn) else { return };
    if !connection.established {
        match connection.stream.take_error() {
            Ok(None) if connection.stream.peer_addr().is_ok() => connection.established = true,
            Ok(None) => return, // not connected yet
            Ok(Some(_)) | Err(_) => connection.ended = true,
        }
        if connection.established {
            handler.on_connect(io, conn);
        }
    }
    io.write(conn);
    close_if_ended(io, handler, conn);
}

/// Reads from a connection and reports bytes that are not consumed yet, including earlier ones, to the handler.
fn readable<S: EventHandler>(io: &mut Io, handler: &mut S, conn: ConnId, read_closed: bool) {
    let length_before = io.input(conn).len();
    io.read(conn);
    // After a short read the end of the stream may be left unread.
    if read_closed
        && io
            .get(conn)
            .is_some_and(|connection| !connection.ended && !connection.input_full && !connection.read_paused)
    {
        io.read(conn);
    }
    if io.input(conn).len() > length_before || length_before > 0 {
        handler.on_data(io, conn);
    }
    close_if_ended(io, handler, conn);
}

/// If a connection has ended, reports this to the handler and closes it.
fn close_if_ended<S: EventHandler>(io: &mut Io, handler: &mut S, conn: ConnId) {
    if io.get(conn).is_some_and(|connection| connection.ended) {
        handler.on_close(io, conn);
        io.close(conn);
    }
}
