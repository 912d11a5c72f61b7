//! Peers that a test scripts message by message, the test's clients, and the text of the messages that they
//! exchange with the program under test.
//!
//! Sockets block and each connection has a thread of its own, which suits a handful of peers. Waits end with
//! the event that they are for; after [`WAIT_TIMEOUT`] they panic.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub use crate::process::{Program, config_file};
pub use crate::{MS, SEC};

/// How long a test waits for any single event.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Response of a peer to a message: the bytes to write, and whether to close the connection afterwards.
pub type Reply = (Vec<u8>, bool);

/// Reply that writes a text and keeps the connection open.
pub fn raw_reply(text: &str) -> Reply {
    (text.as_bytes().to_vec(), false)
}

/// Reply with a complete HTTP answer. Each line of `lines`, the additional headers, ends with CRLF.
pub fn answer(status: u16, lines: &str, body: &str) -> Reply {
    raw_reply(&format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{lines}\r\n{body}", body.len()))
}

/// Peer that the gateway connects to. It answers each complete message by means of a closure, which gets the
/// number of the connection and the message, and then passes the message to the test.
pub struct Peer {
    /// Address that it listens on.
    pub address: SocketAddr,
    messages: Receiver<(usize, String)>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Peer {
    /// A peer that answers with `reply`.
    pub fn new(reply: impl Fn(usize, &str) -> Reply + Send + Sync + 'static) -> Peer {
        Peer::listening(TcpListener::bind("127.0.0.1:0").unwrap(), reply)
    }

    fn listening(
        listener: TcpListener,
        reply: impl Fn(usize, &str) -> Reply + Send + Sync + 'static,
    ) -> Peer {
        let address = listener.local_addr().unwrap();
        let (message_sender, messages) = channel();
        let streams = Arc::new(Mutex::new(Vec::new()));
        let (all_streams, reply) = (streams.clone(), Arc::new(reply));
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                all_streams.lock().unwrap().push(stream.try_clone().unwrap());
                let (message_sender, reply) = (message_sender.clone(), reply.clone());
                std::thread::spawn(move || converse(number, stream, &message_sender, &*reply));
            }
        });
        Peer { address, messages, streams }
    }

    /// Waits for the next complete message; returns the number of its connection and its text.
    pub fn next(&self) -> (usize, String) {
        self.messages.recv_timeout(WAIT_TIMEOUT).expect("no message arrived")
    }

    /// Next complete message, or `None` if it doesn't arrive within `time`.
    pub fn next_within(&self, time: Duration) -> Option<(usize, String)> {
        self.messages.recv_timeout(time).ok()
    }

    /// Whether no further message has arrived yet. A message that is there is removed.
    pub fn nothing_received(&self) -> bool {
        self.try_next().is_none()
    }

    /// Next complete message, if it has arrived already.
    pub fn try_next(&self) -> Option<(usize, String)> {
        self.messages.try_recv().ok()
    }

    /// Writes to a connection without a request.
    pub fn write(&self, number: usize, text: &str) {
        assert!(self.try_write(number, text), "connection {number} is closed");
    }

    /// Like [`Peer::write`], for a connection that may be closed; returns whether the system accepted the bytes.
    pub fn try_write(&self, number: usize, text: &str) -> bool {
        (&self.streams.lock().unwrap()[number]).write_all(text.as_bytes()).is_ok()
    }

    /// Number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.streams.lock().unwrap().len()
    }

    /// Resets a connection.
    pub fn reset(&self, number: usize) {
        rustix::net::connect_unspec(&self.streams.lock().unwrap()[number]).unwrap();
    }

    /// Closes a connection.
    pub fn close(&self, number: usize) {
        let _ = self.streams.lock().unwrap()[number].shutdown(std::net::Shutdown::Both);
    }
}

/// Peer that is down: connections to its address are refused until it opens. The address stays reserved for it.
pub struct RefusingPeer {
    /// Address that it will listen on.
    pub address: SocketAddr,
    socket: socket2::Socket,
}

impl Default for RefusingPeer {
    fn default() -> RefusingPeer {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        RefusingPeer { address, socket }
    }
}

impl RefusingPeer {
    /// Starts to accept connections, which are answered with `reply`.
    pub fn open(self, reply: impl Fn(usize, &str) -> Reply + Send + Sync + 'static) -> Peer {
        self.socket.listen(128).unwrap();
        Peer::listening(TcpListener::from(self.socket), reply)
    }
}

/// Server whose connections are not established until `open`: its accept queue has room for one connection,
/// which another connection takes.
pub struct FullBacklog {
    /// Address that it listens on.
    pub address: SocketAddr,
    listener: TcpListener,
    _filler: TcpStream,
}

impl Default for FullBacklog {
    fn default() -> FullBacklog {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let filler = TcpStream::connect(address).unwrap();
        FullBacklog { address, listener, _filler: filler }
    }
}

impl FullBacklog {
    /// Empties the accept queue and returns the first connection that is established after that. One that was
    /// requested before is established within about a second, when the system repeats its SYN.
    pub fn open(self) -> Client {
        let (sender, receiver) = channel();
        std::thread::spawn(move || {
            let _filler = self.listener.accept().unwrap();
            let _ = sender.send(self.listener.accept().unwrap().0);
        });
        let stream = receiver.recv_timeout(WAIT_TIMEOUT).expect("no connection was established");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        Client(BufReader::new(stream))
    }
}

/// Answers the messages of a connection until it ends.
fn converse(
    number: usize,
    stream: TcpStream,
    message_sender: &Sender<(usize, String)>,
    reply: &dyn Fn(usize, &str) -> Reply,
) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(message) = read_message(&mut reader) {
        let (bytes, closes) = reply(number, &message);
        let closing = (&stream).write_all(&bytes).is_err() || closes;
        let _ = message_sender.send((number, message)); // the reply precedes what the test writes next
        if closing {
            let _ = stream.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}

/// Reads an HTTP message, whose length is given by `Content-Length`, or a RESP array, whose strings are
/// returned joined by spaces; `None` at the end of the connection.
pub fn read_message(reader: &mut impl BufRead) -> Option<String> {
    let mut text = String::new();
    reader.read_line(&mut text).ok().filter(|length| *length > 0)?;
    if let Some(count) = text.strip_prefix('*') {
        let count: usize = count.trim().parse().ok()?;
        let mut arguments = Vec::new();
        for _ in 0..count {
            let (mut size, mut argument) = (String::new(), String::new());
            reader.read_line(&mut size).ok()?;
            reader.read_line(&mut argument).ok()?;
            arguments.push(argument.trim().to_string());
        }
        return Some(arguments.join(" "));
    }
    let mut length = 0;
    loop {
        let start = text.len();
        reader.read_line(&mut text).ok().filter(|length| *length > 0)?;
        let line = text[start..].to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        } else if line.trim().is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(text + &String::from_utf8_lossy(&body))
}

/// Connection of a client.
pub struct Client(BufReader<TcpStream>);

impl From<TcpStream> for Client {
    fn from(stream: TcpStream) -> Client {
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        Client(BufReader::new(stream))
    }
}

impl Client {
    /// Connects to an address.
    pub fn new(address: SocketAddr) -> Client {
        Client::from(TcpStream::connect(address).unwrap())
    }

    /// Sends a text.
    pub fn send(&mut self, text: &str) {
        self.0.get_ref().write_all(text.as_bytes()).unwrap();
    }

    /// Sends as much of a text as the system takes at once.
    pub fn send_what_fits(&mut self, text: &str) {
        let mut stream = self.0.get_ref();
        stream.set_nonblocking(true).unwrap();
        let mut rest = text.as_bytes();
        let error = loop {
            match stream.write(rest) {
                Ok(written) => rest = &rest[written..],
                Err(error) => break error,
            }
        };
        assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock, "the text is shorter than what fits");
        stream.set_nonblocking(false).unwrap();
    }

    /// Waits for the next complete answer; `None` if the connection ends first.
    pub fn answer(&mut self) -> Option<String> {
        read_message(&mut self.0)
    }

    /// Next complete answer, or `None` if it doesn't arrive within `time`.
    pub fn answer_within(&mut self, time: Duration) -> Option<String> {
        let stream = self.0.get_ref();
        stream.set_read_timeout(Some(time.max(Duration::from_millis(1)))).unwrap();
        let answer = read_message(&mut self.0);
        self.0.get_ref().set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        answer
    }

    /// Sends a text and waits for the answer.
    pub fn ask(&mut self, text: &str) -> String {
        self.send(text);
        self.answer().expect("no complete answer")
    }

    /// Like [`Client::send`], for a connection that may be closed.
    pub fn try_send(&mut self, text: &str) {
        let _ = self.0.get_ref().write_all(text.as_bytes());
    }

    /// Like [`Client::ask`], for a connection that may be closed.
    pub fn try_ask(&mut self, text: &str) -> Option<String> {
        self.try_send(text);
        self.answer()
    }

    /// Whether no further bytes have arrived yet. Bytes that are there are not removed.
    pub fn nothing_received(&mut self) -> bool {
        self.0.get_ref().set_nonblocking(true).unwrap();
        let peeked = self.0.get_ref().peek(&mut [0]);
        self.0.get_ref().set_nonblocking(false).unwrap();
        peeked.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Pending error of the connection, such as a reset.
    pub fn error(&self) -> Option<std::io::Error> {
        self.0.get_ref().take_error().unwrap()
    }

    /// Shuts down the sending direction; the peer can still send.
    pub fn shutdown_write(&self) {
        self.0.get_ref().shutdown(std::net::Shutdown::Write).unwrap();
    }

    /// Resets the connection.
    pub fn reset(self) {
        rustix::net::connect_unspec(self.0.get_ref()).unwrap();
    }

    /// Waits for the next byte or the end of the connection; returns whether it has ended, by a close or a reset. A
    /// connection that stays open and silent for [`WAIT_TIMEOUT`] has not ended.
    pub fn is_closed(&mut self) -> bool {
        self.is_closed_within(WAIT_TIMEOUT)
    }

    /// Like [`Client::is_closed`], but waits for `time` at most.
    pub fn is_closed_within(&mut self, time: Duration) -> bool {
        self.0.get_ref().set_read_timeout(Some(time)).unwrap();
        let read = self.0.fill_buf();
        let is_closed = match read {
            Ok(bytes) => bytes.is_empty(),
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        };
        self.0.get_ref().set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        is_closed
    }
}

/// Status of an answer.
pub fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap()
}

/// RPC as a client sends it: `read` is idempotent, `submit` is deduplicated, `verify` is non-idempotent.
pub fn rpc(method: &str, remaining_ms: u64) -> String {
    let lines = format!(
        "Host: service.internal\r\nX-Txn: 0123456789abcdef\r\nX-Lane: {method}\r\nX-Contract: team\r\n\
         X-Remaining-Ms: {remaining_ms}\r\nX-Metering: units=2,spread=1,first=0\r\n"
    );
    let path = "/api/00000000b4d65521?q=1";
    match method {
        "read" => format!("GET {path} HTTP/1.1\r\n{lines}\r\n"),
        "submit" => {
            format!("POST {path} HTTP/1.1\r\n{lines}Idempotency-Key: k1\r\nContent-Length: 4\r\n\r\nbody")
        }
        _ => format!("POST {path} HTTP/1.1\r\n{lines}Content-Length: 4\r\n\r\nbody"),
    }
}

/// Replaces the id of an RPC made by [`rpc`].
pub fn with_id(text: &str, id: u64) -> String {
    text.replace("X-Txn: 0123456789abcdef", &format!("X-Txn: {id:016x}"))
}

/// Value of a header of a message; `name` includes the colon and the space behind it.
fn header<'a>(message: &'a str, name: &str) -> &'a str {
    let value = message.split(name).nth(1).and_then(|rest| rest.split('\r').next());
    value.unwrap_or_else(|| panic!("no {name}in the message"))
}

/// Id of an RPC (`X-Txn`).
pub fn transaction_id(message: &str) -> &str {
    header(message, "X-Txn: ")
}

/// Remaining time that the gateway announces to a server (`X-Remaining-Ms`), in milliseconds.
pub fn remaining_ms_header(message: &str) -> u64 {
    header(message, "X-Remaining-Ms: ").parse().expect("X-Remaining-Ms is a number")
}

/// Entry of the list of servers.
pub fn entry(name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"a\",\"type\":\"m\",\"group\":1,\
         \"status\":\"{status}\",\"weight\":1.0,\"since_ms\":0}}"
    )
}

/// Full list of servers, if `full`, or a change of it, as a line of the watch.
pub fn list(index: u64, full: bool, entries: &[String]) -> String {
    format!("{{\"index\":{index},\"snapshot\":{full},\"endpoints\":[{}]}}", entries.join(","))
}

/// Line as an HTTP chunk.
pub fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

/// Head of the answer to a watch request.
pub const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Settings with three methods and one plan, and the additional fields `extra`, each followed by a comma.
pub fn settings(extra: &str) -> String {
    format!(
        "{{{extra}\"balancers\":2,\"classes\":[\
         {{\"name\":\"read\",\"credit\":1,\"onTime\":1.5,\"deadline\":3.0,\"idempotency\":\"free\"}},\
         {{\"name\":\"submit\",\"credit\":3,\"onTime\":1.2,\"deadline\":3.0,\"idempotency\":\"guarded\",\
          \"group\":\"all\",\"window\":5.0}},\
         {{\"name\":\"verify\",\"credit\":3,\"onTime\":0.8,\"deadline\":3.0,\"idempotency\":\"single_shot\"}}],\
         \"tariffs\":[{{\"name\":\"team\",\"perSecond\":100.0,\"depth\":100.0,\"beyondCosts\":1.0}}],\
         \"ceilings\":{{\"attemptsCap\":2,\"connIdle\":15.0,\"dialTimeout\":0.25,\"retryAfter\":true,\
         \"maxRetryAfter\":1.0,\"maxOpen\":1000}},\"localities\":[\"a\",\"b\"],\"shapes\":[\"m\"]}}"
    )
}

/// Address that always refuses connections: the scripted peers listen on 127.0.0.1 only, so that none of them can be
/// assigned this one.
pub fn refusing_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 2], 9))
}
