//! Peers that one test scripts message by message, the program under test, and the words they speak. Blocking, a thread a
//! connection: for a handful of peers. Everything waits on events, for [`WAIT_TIMEOUT`] at most, and panics when none comes.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub use crate::process::{Program, config_file};
pub use crate::{MS, SEC};

/// How long a story waits for anything.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// What a stand-in does with a message: the bytes to write, and whether it closes then.
pub type Reply = (Vec<u8>, bool);

/// Writes this text and stays open.
pub fn raw_reply(text: &str) -> Reply {
    (text.as_bytes().to_vec(), false)
}

/// A whole answer with this body and further header lines.
pub fn answer(status: u16, lines: &str, body: &str) -> Reply {
    raw_reply(&format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{lines}\r\n{body}", body.len()))
}

/// Someone that the gateway connects to: each whole message is answered by `reply`, which gets the number of
/// the connection, and is told to the test.
pub struct Peer {
    /// Where it listens.
    pub address: SocketAddr,
    seen: Receiver<(usize, String)>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Peer {
    /// A peer that answers so.
    pub fn new(reply: impl Fn(usize, &str) -> Reply + Send + Sync + 'static) -> Peer {
        Peer::listening(TcpListener::bind("127.0.0.1:0").unwrap(), reply)
    }

    fn listening(
        listener: TcpListener,
        reply: impl Fn(usize, &str) -> Reply + Send + Sync + 'static,
    ) -> Peer {
        let address = listener.local_addr().unwrap();
        let (tell, seen) = channel();
        let streams = Arc::new(Mutex::new(Vec::new()));
        let (all, reply) = (streams.clone(), Arc::new(reply));
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                all.lock().unwrap().push(stream.try_clone().unwrap());
                let (tell, reply) = (tell.clone(), reply.clone());
                std::thread::spawn(move || converse(number, stream, &tell, &*reply));
            }
        });
        Peer { address, seen, streams }
    }

    /// The next message that came whole: on which connection, and its text.
    pub fn next(&self) -> (usize, String) {
        self.seen.recv_timeout(WAIT_TIMEOUT).expect("no message came")
    }

    /// The next whole message, if it comes within this time.
    pub fn next_within(&self, time: Duration) -> Option<(usize, String)> {
        self.seen.recv_timeout(time).ok()
    }

    /// Whether no message has come by now.
    pub fn nothing_received(&self) -> bool {
        self.try_next().is_none()
    }

    /// A message that is there already.
    pub fn try_next(&self) -> Option<(usize, String)> {
        self.seen.try_recv().ok()
    }

    /// Writes on a connection, unasked.
    pub fn write(&self, number: usize, text: &str) {
        assert!(self.try_write(number, text), "connection {number} is gone");
    }

    /// The same on a connection that may be gone: whether the system took it.
    pub fn try_write(&self, number: usize, text: &str) -> bool {
        (&self.streams.lock().unwrap()[number]).write_all(text.as_bytes()).is_ok()
    }

    /// How many connections it has been given.
    pub fn connections(&self) -> usize {
        self.streams.lock().unwrap().len()
    }

    /// Resets a connection, with nothing more said on it.
    pub fn reset(&self, number: usize) {
        rustix::net::connect_unspec(&self.streams.lock().unwrap()[number]).unwrap();
    }

    /// Closes a connection.
    pub fn close(&self, number: usize) {
        let _ = self.streams.lock().unwrap()[number].shutdown(std::net::Shutdown::Both);
    }
}

/// A peer that is down: connections to its address are refused until it opens. The address is kept for it meanwhile.
pub struct RefusingPeer {
    /// Where it will listen.
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
    /// Can be reached from now on.
    pub fn open(self, reply: impl Fn(usize, &str) -> Reply + Send + Sync + 'static) -> Peer {
        self.socket.listen(128).unwrap();
        Peer::listening(TcpListener::from(self.socket), reply)
    }
}

/// A server whose connections come up late: the system takes none until `open`, since its line of connections that wait to
/// be accepted is one long and full.
pub struct FullBacklog {
    /// Where it listens.
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
    /// Lets connections come up, and gives the first that does: the one that was asked for in the meantime comes within
    /// about a second, when the system asks again.
    pub fn open(self) -> Client {
        let (tell, came) = channel();
        std::thread::spawn(move || {
            let _filler = self.listener.accept().unwrap();
            let _ = tell.send(self.listener.accept().unwrap().0);
        });
        let stream = came.recv_timeout(WAIT_TIMEOUT).expect("no connection came up");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        Client(BufReader::new(stream))
    }
}

fn converse(
    number: usize,
    stream: TcpStream,
    tell: &Sender<(usize, String)>,
    reply: &dyn Fn(usize, &str) -> Reply,
) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(message) = read_message(&mut reader) {
        let (bytes, closes) = reply(number, &message);
        let over = (&stream).write_all(&bytes).is_err() || closes;
        let _ = tell.send((number, message)); // what the test writes next comes after the reply
        if over {
            let _ = stream.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}

/// One HTTP message with a told length, or one RESP array; nothing at the connection's end.
pub fn read_message(reader: &mut impl BufRead) -> Option<String> {
    let mut text = String::new();
    reader.read_line(&mut text).ok().filter(|length| *length > 0)?;
    if let Some(words) = text.strip_prefix('*') {
        let words: usize = words.trim().parse().ok()?;
        let mut call = Vec::new();
        for _ in 0..words {
            let (mut size, mut word) = (String::new(), String::new());
            reader.read_line(&mut size).ok()?;
            reader.read_line(&mut word).ok()?;
            call.push(word.trim().to_string());
        }
        return Some(call.join(" "));
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

/// A client's connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    /// Connects.
    pub fn new(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        Client(BufReader::new(stream))
    }

    /// Sends this text.
    pub fn send(&mut self, text: &str) {
        self.0.get_ref().write_all(text.as_bytes()).unwrap();
    }

    /// The next whole answer; nothing if the connection ends first.
    pub fn answer(&mut self) -> Option<String> {
        read_message(&mut self.0)
    }

    /// The next whole answer, if it comes within this time.
    pub fn answer_within(&mut self, time: Duration) -> Option<String> {
        let stream = self.0.get_ref();
        stream.set_read_timeout(Some(time.max(Duration::from_millis(1)))).unwrap();
        let answer = read_message(&mut self.0);
        self.0.get_ref().set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        answer
    }

    /// Sends this text and waits for the answer.
    pub fn ask(&mut self, text: &str) -> String {
        self.send(text);
        self.answer().expect("no whole answer")
    }

    /// The same to a connection that may be gone.
    pub fn try_send(&mut self, text: &str) {
        let _ = self.0.get_ref().write_all(text.as_bytes());
    }

    /// The same to a connection that may be gone.
    pub fn try_ask(&mut self, text: &str) -> Option<String> {
        self.try_send(text);
        self.answer()
    }

    /// Whether nothing has come by now.
    pub fn nothing_received(&mut self) -> bool {
        self.0.get_ref().set_nonblocking(true).unwrap();
        let got = self.0.get_ref().peek(&mut [0]);
        self.0.get_ref().set_nonblocking(false).unwrap();
        got.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// The error that the connection has met, such as a reset.
    pub fn error(&self) -> Option<std::io::Error> {
        self.0.get_ref().take_error().unwrap()
    }

    /// Ends this side's sending; the other side's may go on.
    pub fn shutdown_write(&self) {
        self.0.get_ref().shutdown(std::net::Shutdown::Write).unwrap();
    }

    /// Resets it.
    pub fn reset(self) {
        rustix::net::connect_unspec(self.0.get_ref()).unwrap();
    }

    /// Whether the other side ended the connection.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.0.get_mut().read(&mut [0]), Ok(0) | Err(_))
    }
}

/// The status of an answer.
pub fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap()
}

/// An RPC as a client sends it: `read` is idempotent, `submit` deduplicated, `verify` non-idempotent.
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

/// The same RPC under another id.
pub fn with_id(text: &str, id: u64) -> String {
    text.replace("X-Txn: 0123456789abcdef", &format!("X-Txn: {id:016x}"))
}

/// How long the gateway tells a server that it waits, in milliseconds.
pub fn remaining_ms_header(message: &str) -> u64 {
    let told = message.split("X-Remaining-Ms: ").nth(1).and_then(|rest| rest.split('\r').next());
    told.and_then(|told| told.parse().ok()).expect("a message that tells its time")
}

/// An entry of the list, and a whole list or a change of it as a chunk of the watch.
pub fn entry(name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"a\",\"type\":\"m\",\"group\":1,\
         \"status\":\"{status}\",\"weight\":1.0,\"since_ms\":0}}"
    )
}

/// A whole list or a change of it as a chunk of the watch.
pub fn list(index: u64, whole: bool, entries: &[String]) -> String {
    format!("{{\"index\":{index},\"snapshot\":{whole},\"endpoints\":[{}]}}", entries.join(","))
}

/// A line as a chunk.
pub fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

/// The head of a watch's answer.
pub const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Settings of three methods and one plan, and what a test adds (each with a comma behind).
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

/// An address where nobody listens, now or later: all stand-ins are at 127.0.0.1, so no port given back here can become
/// another story's peer.
pub fn refusing_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 2], 9))
}
