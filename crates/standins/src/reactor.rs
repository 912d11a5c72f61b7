//! One thread and one poll for all sockets of a [`EventHandler`]: listeners ("doors"), connections, datagram sockets and
//! timers. The service is fed what comes and knows no thread; a [`Handle`] runs a closure beside it between two turns.

use crate::Nanos;
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

/// A connection: its place and a count of births, so that a stale id finds nobody.
pub type ConnId = u64;
/// A listener or datagram socket, by its place.
pub type SocketId = usize;

const WAKER: Token = Token(usize::MAX - 1);
const PLACE_BITS: u32 = 24;
const KIND_DOOR: usize = 1 << 60;
const KIND_PLUG: usize = 1 << 61;
/// A connection that has read so much unused stops reading until some of it is used.
const INPUT_MOST: usize = 256 << 10;

/// The one clock of a run: nanoseconds since its start, and the Unix time of that start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix: Nanos,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as Nanos);
        Clock { start: Instant::now(), unix }
    }

    /// The time since its start.
    pub fn now(&self) -> Nanos {
        self.start.elapsed().as_nanos() as Nanos
    }

    /// The Unix time, in milliseconds, of a time of this clock.
    pub fn unix_ms(&self, at: Nanos) -> u64 {
        (self.unix + at) / 1_000_000
    }
}

/// What hangs on a reactor. Every call may use [`Io`] freely; connections that end by `Io::close` are not told back.
pub trait EventHandler: Send + 'static {
    /// A connection came in at a door.
    fn on_accept(&mut self, _io: &mut Io, _conn: ConnId, _door: SocketId) {}
    /// A connection begun with `Io::connect` stands.
    fn on_connect(&mut self, _io: &mut Io, _conn: ConnId) {}
    /// Bytes came; they are in `Io::input`.
    fn on_data(&mut self, io: &mut Io, conn: ConnId);
    /// The other side ended or broke the connection, or it never came up. It is closed once this returns.
    fn on_close(&mut self, io: &mut Io, conn: ConnId);
    /// A time that was asked for has come.
    fn on_timer(&mut self, _io: &mut Io, _token: u64) {}
    /// A datagram came.
    fn on_datagram(&mut self, _io: &mut Io, _door: SocketId, _from: SocketAddr, _bytes: &[u8]) {}
}

struct Link {
    id: ConnId,
    stream: TcpStream,
    up: bool,
    input: Vec<u8>,
    /// Reading stopped at `INPUT_MOST`, or by `Io::hold`.
    paused: bool,
    held: bool,
    ended: bool,
    out: Vec<u8>,
    dirty: bool,
    /// Close once all is written.
    last: bool,
}

/// All sockets and timers of one reactor.
pub struct Io {
    registry: Registry,
    links: Slab<Link>,
    births: u64,
    doors: Slab<TcpListener>,
    plugs: Slab<UdpSocket>,
    dirty: Vec<ConnId>,
    resumed: Vec<ConnId>,
    timers: BinaryHeap<Reverse<(Nanos, u64, u64)>>,
    timers_set: u64,
    clock: Clock,
    now: Nanos,
    stop: bool,
}

impl Io {
    /// The time of this turn.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// The clock of the run.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Rings `Service::due` with this token; equal times ring in the order they were set.
    pub fn set_timer(&mut self, at: Nanos, token: u64) {
        self.timers_set += 1;
        self.timers.push(Reverse((at, self.timers_set, token)));
    }

    /// Listens; port 0 picks a free one.
    pub fn listen(&mut self, address: SocketAddr) -> io::Result<(SocketId, SocketAddr)> {
        let mut listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let entry = self.doors.vacant_entry();
        self.registry.register(&mut listener, Token(KIND_DOOR | entry.key()), Interest::READABLE)?;
        let key = entry.key();
        entry.insert(listener);
        Ok((key, address))
    }

    /// Refuses whoever comes to this address from now on.
    pub fn close_listener(&mut self, door: SocketId) {
        if let Some(mut listener) = self.doors.try_remove(door) {
            let _ = self.registry.deregister(&mut listener);
        }
    }

    /// A datagram socket.
    pub fn bind_udp(&mut self, address: SocketAddr) -> io::Result<(SocketId, SocketAddr)> {
        let mut socket = UdpSocket::bind(address)?;
        let address = socket.local_addr()?;
        let entry = self.plugs.vacant_entry();
        self.registry.register(&mut socket, Token(KIND_PLUG | entry.key()), Interest::READABLE)?;
        let key = entry.key();
        entry.insert(socket);
        Ok((key, address))
    }

    /// Sends a datagram.
    pub fn send_to(&mut self, door: SocketId, to: SocketAddr, bytes: &[u8]) {
        if let Some(socket) = self.plugs.get(door) {
            let _ = socket.send_to(bytes, to); // a datagram that finds no room is lost, as on a network
        }
    }

    /// Begins a connection.
    pub fn connect(&mut self, address: SocketAddr) -> io::Result<ConnId> {
        let stream = TcpStream::connect(address)?;
        self.add(stream, false)
    }

    fn add(&mut self, mut stream: TcpStream, up: bool) -> io::Result<ConnId> {
        let _ = stream.set_nodelay(true);
        let entry = self.links.vacant_entry();
        self.births += 1;
        let id = entry.key() as u64 | self.births << PLACE_BITS;
        self.registry.register(&mut stream, Token(id as usize), Interest::READABLE | Interest::WRITABLE)?;
        entry.insert(Link {
            id,
            stream,
            up,
            input: Vec::new(),
            paused: false,
            held: false,
            ended: false,
            out: Vec::new(),
            dirty: false,
            last: false,
        });
        Ok(id)
    }

    fn get(&mut self, conn: ConnId) -> Option<&mut Link> {
        let place = (conn & ((1 << PLACE_BITS) - 1)) as usize;
        self.links.get_mut(place).filter(|link| link.id == conn)
    }

    /// Whether a connection is there.
    pub fn is_open(&mut self, conn: ConnId) -> bool {
        self.get(conn).is_some()
    }

    /// What was read and not yet used; empty for a connection that is gone.
    pub fn input(&mut self, conn: ConnId) -> &[u8] {
        self.get(conn).map_or(&[], |link| &link.input)
    }

    /// Takes so many bytes off the front of the input.
    pub fn consume(&mut self, conn: ConnId, bytes: usize) {
        let Some(link) = self.get(conn) else { return };
        link.input.drain(..bytes.min(link.input.len()));
        if std::mem::take(&mut link.paused) {
            self.resumed.push(conn);
        }
    }

    /// Reads nothing more from a connection, or goes on.
    pub fn set_read_paused(&mut self, conn: ConnId, held: bool) {
        let Some(link) = self.get(conn) else { return };
        if std::mem::replace(&mut link.held, held) && !held {
            self.resumed.push(conn);
        }
    }

    /// Bytes not yet written to a connection.
    pub fn unsent_bytes(&mut self, conn: ConnId) -> usize {
        self.get(conn).map_or(0, |link| link.out.len())
    }

    /// Sends on a connection.
    pub fn send(&mut self, conn: ConnId, bytes: &[u8]) {
        let Some(link) = self.get(conn) else { return };
        link.out.extend_from_slice(bytes);
        if !std::mem::replace(&mut link.dirty, true) {
            self.dirty.push(conn);
        }
    }

    /// Closes once what waits is written.
    pub fn close_when_flushed(&mut self, conn: ConnId) {
        if let Some(link) = self.get(conn) {
            link.last = true;
            if !std::mem::replace(&mut link.dirty, true) {
                self.dirty.push(conn);
            }
        }
    }

    /// Closes a connection at once.
    pub fn close(&mut self, conn: ConnId) {
        if self.get(conn).is_some() {
            let mut link = self.links.remove((conn & ((1 << PLACE_BITS) - 1)) as usize);
            let _ = self.registry.deregister(&mut link.stream);
        }
    }

    /// Closes with a reset, as a machine does whose process died.
    pub fn reset(&mut self, conn: ConnId) {
        if let Some(link) = self.get(conn) {
            let _ = socket2::SockRef::from(&link.stream).set_linger(Some(Duration::ZERO));
        }
        self.close(conn);
    }

    fn read(&mut self, conn: ConnId) {
        let Some(link) = self.get(conn) else { return };
        let mut some = [0; 16 << 10];
        while !link.ended && !link.held {
            if link.input.len() >= INPUT_MOST {
                link.paused = true;
                return;
            }
            match link.stream.read(&mut some) {
                Ok(0) => link.ended = true,
                Ok(got) => {
                    link.input.extend_from_slice(&some[..got]);
                    if got < some.len() {
                        return; // what comes later makes a new event, and so does an end
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => link.ended = true,
            }
        }
    }

    fn write(&mut self, conn: ConnId) {
        let Some(link) = self.get(conn).filter(|link| link.up && !link.ended) else { return };
        let mut written = 0;
        while written < link.out.len() {
            match link.stream.write(&link.out[written..]) {
                Ok(some) => written += some,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => {
                    link.ended = true;
                    break;
                }
            }
        }
        link.out.drain(..written);
        if link.last && link.out.is_empty() {
            self.close(conn);
        }
    }
}

type Job<S> = Box<dyn FnOnce(&mut S, &mut Io) + Send>;

/// A running reactor. Dropped, it stops and its thread is waited for.
pub struct Handle<S> {
    jobs: Sender<Job<S>>,
    waker: Arc<Waker>,
    thread: Option<JoinHandle<()>>,
}

impl<S: EventHandler> Handle<S> {
    /// Starts a thread that turns this service.
    pub fn start(service: S, clock: Clock) -> io::Result<Handle<S>> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
        let (jobs, queue) = channel();
        let io = Io {
            registry: poll.registry().try_clone()?,
            links: Slab::new(),
            births: 0,
            doors: Slab::new(),
            plugs: Slab::new(),
            dirty: Vec::new(),
            resumed: Vec::new(),
            timers: BinaryHeap::new(),
            timers_set: 0,
            clock,
            now: clock.now(),
            stop: false,
        };
        let thread = std::thread::spawn(move || turn(poll, io, service, queue));
        Ok(Handle { jobs, waker, thread: Some(thread) })
    }

    /// Runs a closure on the reactor's thread between two turns and brings back what it returns.
    pub fn with<R: Send + 'static>(&self, job: impl FnOnce(&mut S, &mut Io) -> R + Send + 'static) -> R {
        let (tell, told) = channel();
        let job: Job<S> = Box::new(move |service, io| drop(tell.send(job(service, io))));
        self.jobs.send(job).expect("the reactor's thread has ended");
        self.waker.wake().expect("the reactor's poll is gone");
        told.recv().expect("the reactor's thread has ended")
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

fn turn<S: EventHandler>(mut poll: Poll, mut io: Io, mut service: S, queue: Receiver<Job<S>>) {
    let mut events = Events::with_capacity(1024);
    while !io.stop {
        let next = io.timers.peek().map(|Reverse((at, ..))| at.saturating_sub(io.clock.now()));
        let wait = if io.resumed.is_empty() { next } else { Some(0) };
        match poll.poll(&mut events, wait.map(Duration::from_nanos)) {
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            polled => polled.expect("the poll is open as long as this thread runs"),
        }
        io.now = io.clock.now();
        for event in &events {
            let Token(token) = event.token();
            if token == WAKER.0 {
                while let Ok(job) = queue.try_recv() {
                    job(&mut service, &mut io);
                }
            } else if token & KIND_DOOR != 0 {
                accept(&mut io, &mut service, token & !KIND_DOOR);
            } else if token & KIND_PLUG != 0 {
                receive(&mut io, &mut service, token & !KIND_PLUG);
            } else {
                if event.is_writable() || event.is_error() {
                    writable(&mut io, &mut service, token as ConnId);
                }
                if event.is_readable() || event.is_read_closed() || event.is_error() {
                    readable(
                        &mut io,
                        &mut service,
                        token as ConnId,
                        event.is_read_closed() || event.is_error(),
                    );
                }
            }
        }
        for conn in std::mem::take(&mut io.resumed) {
            readable(&mut io, &mut service, conn, false);
        }
        while let Some(Reverse((_, _, token))) = io.timers.peek().copied().filter(|at| at.0.0 <= io.now) {
            io.timers.pop();
            service.on_timer(&mut io, token);
        }
        for conn in std::mem::take(&mut io.dirty) {
            if let Some(link) = io.get(conn) {
                link.dirty = false;
            }
            io.write(conn);
            ended(&mut io, &mut service, conn);
        }
    }
}

fn accept<S: EventHandler>(io: &mut Io, service: &mut S, door: SocketId) {
    while let Some(listener) = io.doors.get(door) {
        match listener.accept() {
            Ok((stream, _)) => {
                if let Ok(conn) = io.add(stream, true) {
                    service.on_accept(io, conn, door);
                }
            }
            Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
            Err(_) => return,
        }
    }
}

fn receive<S: EventHandler>(io: &mut Io, service: &mut S, door: SocketId) {
    let mut some = [0; 2048];
    while let Some(Ok((got, from))) = io.plugs.get(door).map(|socket| socket.recv_from(&mut some)) {
        service.on_datagram(io, door, from, &some[..got]);
    }
}

fn writable<S: EventHandler>(io: &mut Io, service: &mut S, conn: ConnId) {
    let Some(link) = io.get(conn) else { return };
    if !link.up {
        match link.stream.take_error() {
            Ok(None) if link.stream.peer_addr().is_ok() => link.up = true,
            Ok(None) => return, // not yet
            Ok(Some(_)) | Err(_) => link.ended = true,
        }
        if link.up {
            service.on_connect(io, conn);
        }
    }
    io.write(conn);
    ended(io, service, conn);
}

fn readable<S: EventHandler>(io: &mut Io, service: &mut S, conn: ConnId, closes: bool) {
    let before = io.input(conn).len();
    io.read(conn);
    // A short read may have left the end unread.
    if closes && io.get(conn).is_some_and(|link| !link.ended && !link.paused && !link.held) {
        io.read(conn);
    }
    if io.input(conn).len() > before || before > 0 {
        service.on_data(io, conn);
    }
    ended(io, service, conn);
}

fn ended<S: EventHandler>(io: &mut Io, service: &mut S, conn: ConnId) {
    if io.get(conn).is_some_and(|link| link.ended) {
        service.on_close(io, conn);
        io.close(conn);
    }
}
