//! What the tests share: a tiny host that writes down what the module asks for and rings its timers in order,
//! and, for the gateway's own tests, stand-ins on loopback for whoever it speaks with.
#![allow(dead_code)] // each test uses a part of it

use martenramp::brain::Brain;
use martenramp::host::{Arrival, End, Ended, Host, Listed, Nanos, Settings};

pub const MS: Nanos = 1_000_000;
pub const SEC: Nanos = 1_000 * MS;
pub const START: Nanos = 100 * SEC;

#[derive(Default)]
pub struct Notes {
    pub now: Nanos,
    /// RPC, server, time-out, when.
    pub out: Vec<(u32, u32, Nanos, Nanos)>,
    pub pushed: Vec<(u32, Nanos, Nanos)>,
    pub aborted: Vec<u32>,
    pub counts: Vec<(u64, f64)>,
    timers: Vec<(Nanos, u32)>,
}

impl Host for Notes {
    fn call_out(&mut self, rpc: u32, server: u32, limit: Nanos) {
        self.out.push((rpc, server, limit, self.now));
    }
    fn push_back(&mut self, rpc: u32, come_back: Nanos) {
        self.pushed.push((rpc, come_back, self.now));
    }
    fn abort(&mut self, rpc: u32) {
        self.aborted.push(rpc);
    }
    fn wake(&mut self, after: Nanos, token: u32) {
        // Like the simulator's wire, this clock counts whole microseconds.
        self.timers.push((self.now + after / 1000 * 1000, token));
    }
    fn count(&mut self, name: u64, add: f64, _forget: Nanos) {
        self.counts.push((name, add));
    }
}

pub struct Story {
    pub brain: Brain,
    pub notes: Notes,
    /// What the next ends settle.
    pub settled: f64,
    /// The load report of the next ends.
    pub told: Vec<f64>,
    next: u32,
}

/// Methods: 0 patient and idempotent, 1 urgent and deduplicated within a zone, 2 urgent and non-idempotent.
/// One plan of 10 units a second and 10 at once, and what the story adds.
pub fn story(extra: &str) -> Story {
    gateway(1, extra)
}

/// The same, with a seed of its own.
pub fn gateway(seed: u64, extra: &str) -> Story {
    let base = "balancers=2\nceilings.attemptsCap=3\nceilings.retryAfter=true\nceilings.maxRetryAfter=1\n\
        classes.count=3\nclasses.0.credit=1\nclasses.0.onTime=1\nclasses.0.idempotency=free\n\
        classes.1.credit=5\nclasses.1.onTime=1\nclasses.1.idempotency=guarded\nclasses.1.group=zone\n\
        classes.1.window=0.9\nclasses.2.credit=5\nclasses.2.onTime=1\nclasses.2.idempotency=single_shot\n\
        tariffs.0.perSecond=10\ntariffs.0.depth=10\ntariffs.0.beyondCosts=1\nrules.coldFrom=0.2\n\
        rules.warmWithin=10\nrules.fall=1\n";
    let lines = base.lines().chain(extra.split_whitespace());
    let settings: Settings =
        lines.filter_map(|line| line.trim().split_once('=')).map(|(k, v)| (k.into(), v.into())).collect();
    let notes = Notes { now: START, ..Notes::default() };
    Story { brain: Brain::new(seed, settings), notes, settled: 0.0, told: Vec::new(), next: 0 }
}

pub fn server(server: u32, zone: u16) -> Listed {
    Listed { server, zone, cell: server as u16, ready: true, weight: 1.0, ..Listed::default() }
}

impl Story {
    pub fn with_servers(mut self, count: u32) -> Self {
        let list: Vec<Listed> = (1..=count).map(|id| server(id, id as u16 % 2)).collect();
        self.list(true, &list);
        self
    }

    pub fn list(&mut self, whole: bool, list: &[Listed]) {
        self.brain.listed(self.notes.now, whole, list);
    }

    /// An RPC of customer 9, who comes in through two gateways.
    pub fn rpc(&mut self, method: u16, units: f64) -> u32 {
        self.rpc_of(9, method, units, 4 * SEC)
    }

    pub fn rpc_of(&mut self, customer: u64, method: u16, units: f64, left: Nanos) -> u32 {
        self.next += 1;
        let deadline = self.notes.now + left;
        let arrival =
            Arrival { id: self.next, method, customer, deadline, units, width: 2, ..Arrival::default() };
        self.brain.rpc(&mut self.notes, arrival.deadline - left, &arrival);
        self.next
    }

    /// Lets time pass, ringing each timer when it is due.
    pub fn pass(&mut self, span: Nanos) {
        let until = self.notes.now + span;
        while let Some(place) = (0..self.notes.timers.len()).min_by_key(|i| self.notes.timers[*i]) {
            if self.notes.timers[place].0 > until {
                break;
            }
            let (at, token) = self.notes.timers.swap_remove(place);
            self.notes.now = at;
            self.brain.woke(&mut self.notes, at, token);
        }
        self.notes.now = until;
    }

    /// Ends the last call-out of an RPC.
    pub fn end(&mut self, rpc: u32, how: End) {
        let outs: Vec<_> = self.notes.out.iter().filter(|out| out.0 == rpc).collect();
        let (nth, last) = (outs.len() as u16 - 1, outs[outs.len() - 1]);
        let ended = Ended {
            rpc,
            server: last.1,
            nth,
            how,
            took: self.notes.now - last.3,
            closed: how == End::Ok,
            settled: self.settled,
            load: self.told.clone(),
        };
        let now = self.notes.now;
        self.brain.ended(&mut self.notes, now, &ended);
    }

    /// The counter answers the call made `back` calls before the last.
    pub fn counted(&mut self, back: usize, how: End, total: f64) {
        let name = self.notes.counts[self.notes.counts.len() - 1 - back].0;
        let now = self.notes.now;
        self.brain.counted(&mut self.notes, now, name, how, total);
    }

    /// RPCs one after another, each answered ok after a while.
    pub fn answered(&mut self, count: u32, method: u16, after: Nanos) {
        for customer in 0..u64::from(count) {
            let rpc = self.rpc_of(1000 + customer, method, 0.1, 4 * SEC);
            self.pass(after);
            self.end(rpc, End::Ok);
        }
    }

    pub fn sent(&self, rpc: u32) -> usize {
        self.notes.out.iter().filter(|out| out.0 == rpc).count()
    }
}

// ---- Stand-ins on loopback. Everything waits on events, for `PATIENCE` at most.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub const PATIENCE: Duration = Duration::from_secs(20);

/// What a stand-in does with a message: the bytes to write, and whether it closes then.
pub type Reply = (Vec<u8>, bool);

pub fn say(text: &str) -> Reply {
    (text.as_bytes().to_vec(), false)
}

/// A whole answer with this body and further header lines.
pub fn answer(status: u16, lines: &str, body: &str) -> Reply {
    say(&format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{lines}\r\n{body}", body.len()))
}

/// Someone that the gateway connects to: each whole message is answered by `reply`, which gets the number of
/// the connection, and is told to the test.
pub struct Peer {
    pub address: SocketAddr,
    seen: Receiver<(usize, String)>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Peer {
    pub fn new(reply: impl Fn(usize, &str) -> Reply + Send + Sync + 'static) -> Peer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
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
        self.seen.recv_timeout(PATIENCE).expect("no message came")
    }

    pub fn nothing_came(&self) -> bool {
        self.seen_now().is_none()
    }

    /// A message that is there already.
    pub fn seen_now(&self) -> Option<(usize, String)> {
        self.seen.try_recv().ok()
    }

    /// Writes on a connection, unasked.
    pub fn tell(&self, number: usize, text: &str) {
        (&self.streams.lock().unwrap()[number]).write_all(text.as_bytes()).unwrap();
    }

    pub fn close(&self, number: usize) {
        let _ = self.streams.lock().unwrap()[number].shutdown(std::net::Shutdown::Both);
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
    pub fn new(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Client(BufReader::new(stream))
    }

    pub fn send(&mut self, text: &str) {
        self.0.get_ref().write_all(text.as_bytes()).unwrap();
    }

    /// The next whole answer; nothing if the connection ends first.
    pub fn answer(&mut self) -> Option<String> {
        read_message(&mut self.0)
    }

    pub fn ask(&mut self, text: &str) -> String {
        self.send(text);
        self.answer().expect("no whole answer")
    }

    /// The same to a connection that may be gone.
    pub fn try_send(&mut self, text: &str) {
        let _ = self.0.get_ref().write_all(text.as_bytes());
    }

    pub fn try_ask(&mut self, text: &str) -> Option<String> {
        self.try_send(text);
        self.answer()
    }

    pub fn is_closed(&mut self) -> bool {
        matches!(self.0.get_mut().read(&mut [0]), Ok(0) | Err(_))
    }
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

/// An entry of the list, and a whole list or a change of it as a chunk of the watch.
pub fn entry(name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"a\",\"type\":\"m\",\"group\":1,\
         \"status\":\"{status}\",\"weight\":1.0,\"since_ms\":0}}"
    )
}

pub fn list(index: u64, whole: bool, entries: &[String]) -> String {
    format!("{{\"index\":{index},\"snapshot\":{whole},\"endpoints\":[{}]}}", entries.join(","))
}

pub fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

pub const WATCH: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

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

/// The program, started on a configuration of its own.
pub struct Program {
    pub child: Child,
    pub address: SocketAddr,
    lines: Receiver<String>,
    file: std::path::PathBuf,
}

impl Program {
    /// `more` is further configuration, each part with a comma behind.
    pub fn start(program: &str, discovery: SocketAddr, more: &str, settings: &str) -> Program {
        Program::run(&mut Command::new(program), discovery, more, settings)
    }

    pub fn run(command: &mut Command, discovery: SocketAddr, more: &str, settings: &str) -> Program {
        let file = config_file(&config("127.0.0.1:0", discovery, more, settings));
        let mut child =
            command.args(["serve", "--config"]).arg(&file).stderr(Stdio::piped()).spawn().unwrap();
        let reader = BufReader::new(child.stderr.take().unwrap());
        let (tell, lines) = channel();
        std::thread::spawn(move || reader.lines().map_while(Result::ok).all(|line| tell.send(line).is_ok()));
        let mut program = Program { child, address: discovery, lines, file };
        let line = program.line("\"started\"");
        let listen = line.split("\"listen\":\"").nth(1).and_then(|rest| rest.split('"').next());
        program.address = listen.unwrap().parse().unwrap();
        program
    }

    /// The next log line that holds this.
    pub fn line(&self, part: &str) -> String {
        let until = std::time::Instant::now() + PATIENCE;
        let mut others = Vec::new();
        loop {
            let left = until.saturating_duration_since(std::time::Instant::now());
            let line = self.lines.recv_timeout(left);
            let line = line.unwrap_or_else(|_| panic!("no line with {part} but {others:#?}"));
            if line.contains(part) {
                return line;
            }
            others.push(line);
        }
    }

    pub fn client(&self) -> Client {
        Client::new(self.address)
    }

    /// The configuration of this program with other peers.
    pub fn config(&self, discovery: SocketAddr, more: &str, settings: &str) -> String {
        config(&self.address.to_string(), discovery, more, settings)
    }

    pub fn rewrite(&self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(sent.success());
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

fn config(listen: &str, discovery: SocketAddr, more: &str, settings: &str) -> String {
    format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",{more}\
         \"seed\":\"8c1f30d27a5be964\",\"settings\":{settings}}}"
    )
}

pub fn config_file(text: &str) -> std::path::PathBuf {
    static NUMBER: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let file = std::env::temp_dir().join(format!("martenramp-{}-{number}.json", std::process::id()));
    std::fs::write(&file, text).unwrap();
    file
}

/// An address where nobody listens, now or later: all stand-ins are at 127.0.0.1, so no port given back here can become
/// another story's peer.
pub fn nowhere() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 2], 9))
}
