#![allow(dead_code)]
//! Stand-ins on loopback for discovery, the counter, servers and clients, from the operators'
//! protocol page; and the platform, which starts and ends the gateway.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// The record of a case: what was sent, answered and run, by the time since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<std::fs::File>)>);

impl Record {
    pub fn new(path: &Path) -> Record {
        let file = std::fs::File::create(path).unwrap_or_else(|e| no_run(&format!("record: {e}")));
        Record(Arc::new((Instant::now(), Mutex::new(file))))
    }

    pub fn start(&self) -> Instant {
        self.0.0
    }

    pub fn line(&self, text: &str) {
        let at = self.0.0.elapsed().as_secs_f64();
        if let Ok(mut file) = self.0.1.lock() {
            let _ = writeln!(file, "{at:9.4} {text}");
        }
    }

    /// A line that is printed as well.
    pub fn say(&self, text: &str) {
        let _ = writeln!(std::io::stdout(), "{text}");
        self.line(text);
    }
}

/// Ends a case that could not run.
pub fn no_run(why: &str) -> ! {
    eprintln!("could not run: {why}");
    std::process::exit(2)
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// A loopback address whose port is free now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| no_run(&format!("no port: {e}")));
    listener.local_addr().unwrap_or_else(|e| no_run(&format!("no port: {e}")))
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| no_run(&format!("no port: {e}")));
    let address = listener.local_addr().unwrap_or_else(|e| no_run(&format!("no port: {e}")));
    (listener, address)
}

/// An entry of discovery's list.
pub fn entry(name: &str, address: SocketAddr, zone: &str, group: u32, status: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"type\":\"std-3c\",\"group\":{group},\
         \"status\":\"{status}\",\"weight\":1.0,\"since_ms\":0}}"
    )
}

/// Discovery's agent: the whole list at once, then the changes, an empty line every 2 s.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<Vec<(u64, String)>>, Condvar)>,
    whole: Arc<Mutex<(u64, Vec<String>)>>,
}

impl Discovery {
    pub fn start(entries: Vec<String>) -> Discovery {
        let (listener, address) = listen();
        let state: Arc<(Mutex<Vec<(u64, String)>>, Condvar)> = Arc::default();
        let whole = Arc::new(Mutex::new((41, entries)));
        let (changes, list) = (state.clone(), whole.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (changes, list) = (changes.clone(), list.clone());
                thread::spawn(move || drop(serve_discovery(stream, &changes, &list)));
            }
        });
        Discovery { address, state, whole }
    }

    /// Tells a change to every watch; `list` is the whole list after it.
    pub fn change(&self, entries: Vec<String>, list: Vec<String>) {
        let index = {
            let mut whole = self.whole.lock().unwrap();
            *whole = (whole.0 + 1, list);
            whole.0
        };
        let object =
            format!("{{\"index\":{index},\"snapshot\":false,\"endpoints\":[{}]}}\n", entries.join(","));
        self.state.0.lock().unwrap().push((index, object));
        self.state.1.notify_all();
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

type Changes = (Mutex<Vec<(u64, String)>>, Condvar);

fn serve_discovery(
    stream: TcpStream,
    changes: &Changes,
    whole: &Mutex<(u64, Vec<String>)>,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut out = stream;
    while let Some(message) = read_message(&mut reader)? {
        let (index, entries) = whole.lock().unwrap().clone();
        let list = format!("{{\"index\":{index},\"snapshot\":true,\"endpoints\":[{}]}}\n", entries.join(","));
        if !message.target.contains("watch=1") {
            write!(out, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())?;
            continue;
        }
        write!(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let from: u64 = message.target.rsplit("from=").next().and_then(|from| from.parse().ok()).unwrap_or(0);
        let mut told = from;
        if from < 41 {
            out.write_all(chunk(&list).as_bytes())?;
            told = index;
        }
        loop {
            let mut known = changes.0.lock().unwrap();
            let mut new: Vec<(u64, String)> =
                known.iter().filter(|change| change.0 > told).cloned().collect();
            if new.is_empty() {
                known = changes.1.wait_timeout(known, Duration::from_secs(2)).unwrap().0;
                new = known.iter().filter(|change| change.0 > told).cloned().collect();
            }
            drop(known);
            if new.is_empty() {
                out.write_all(chunk("\n").as_bytes())?;
            }
            for (index, object) in new {
                out.write_all(chunk(&object).as_bytes())?;
                told = index;
            }
        }
    }
    Ok(())
}

/// The counter: RESP2, with the life of each new name.
pub fn start_counter() -> SocketAddr {
    let (listener, address) = listen();
    let totals: Arc<Mutex<HashMap<String, (f64, Instant)>>> = Arc::default();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let totals = totals.clone();
            thread::spawn(move || drop(serve_counter(stream, &totals)));
        }
    });
    address
}

fn serve_counter(stream: TcpStream, totals: &Mutex<HashMap<String, (f64, Instant)>>) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut out = stream;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let count: usize = line.trim().trim_start_matches('*').parse().unwrap_or(0);
        let mut words = Vec::new();
        for _ in 0..count {
            line.clear();
            reader.read_line(&mut line)?;
            let length: usize = line.trim().trim_start_matches('$').parse().unwrap_or(0);
            let mut word = vec![0; length + 2];
            reader.read_exact(&mut word)?;
            words.push(String::from_utf8_lossy(&word[..length]).into_owned());
        }
        let verb = words.first().map(|verb| verb.to_ascii_uppercase()).unwrap_or_default();
        match verb.as_str() {
            "PING" => out.write_all(b"+PONG\r\n")?,
            "CLIENT" | "SELECT" => out.write_all(b"+OK\r\n")?,
            "INCRTTL" if words.len() == 4 => {
                let (add, life) = (words[2].parse().unwrap_or(0.0), words[3].parse().unwrap_or(1_u64));
                let now = Instant::now();
                let mut totals = totals.lock().unwrap();
                let total = totals
                    .entry(words[1].clone())
                    .and_modify(|total| {
                        if total.1 <= now {
                            *total = (0.0, now + Duration::from_millis(life.min(60_000)));
                        }
                    })
                    .or_insert((0.0, now + Duration::from_millis(life.min(60_000))));
                total.0 += add;
                let text = format!("{}", total.0);
                write!(out, "${}\r\n{text}\r\n", text.len())?;
            }
            _ => out.write_all(b"-ERR no such call\r\n")?,
        }
    }
}

/// A message with a length, or without a body.
#[derive(Debug, Default, Clone)]
pub struct Message {
    pub first_line: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|header| header.0.eq_ignore_ascii_case(name)).map(|header| header.1.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message with `Content-Length`; `None` if the connection ended before its first byte.
pub fn read_message(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let cut = || std::io::Error::new(std::io::ErrorKind::UnexpectedEof, "cut off");
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let first_line = line.trim_end().to_string();
    let target = first_line.split(' ').nth(1).unwrap_or_default().to_string();
    let mut message = Message { first_line, target, ..Message::default() };
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(cut());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_string(), value.trim().to_string()));
        }
    }
    let length = message.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// What a server received whole.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub server: String,
    pub txn: String,
    pub lane: String,
    pub key: String,
}

/// What all servers received.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Starts a server that hands every whole request to `handle`, which answers on the stream and
/// returns whether the connection stays open.
pub fn start_server(
    name: &str,
    runs: Runs,
    record: Record,
    handle: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> SocketAddr {
    let (listener, address) = listen();
    let (name, handle) = (name.to_string(), Arc::new(handle));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, handle, runs, record) = (name.clone(), handle.clone(), runs.clone(), record.clone());
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(read_half) = stream.try_clone() else { return };
                let (mut reader, mut out) = (BufReader::new(read_half), stream);
                while let Ok(Some(message)) = read_message(&mut reader) {
                    let text = |name| message.header(name).unwrap_or_default().to_string();
                    let run = Run {
                        at: Instant::now(),
                        server: name.clone(),
                        txn: text("x-txn"),
                        lane: text("x-lane"),
                        key: text("idempotency-key"),
                    };
                    record.line(&format!("run at {name}: {} {} {}", run.txn, run.lane, run.key));
                    runs.lock().unwrap().push(run);
                    if !handle(&message, &mut out) {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Answers 200 with a body made for this request.
pub fn answer_ok(message: &Message, out: &mut TcpStream) -> bool {
    let body = format!("done {}", message.header("x-txn").unwrap_or_default());
    let load = "X-Pressure: {\"util\":0.2,\"inflight\":1}\r\nX-Settled: 1\r\n";
    write!(out, "HTTP/1.1 200 OK\r\n{load}Content-Length: {}\r\n\r\n{body}", body.len()).is_ok()
}

/// Settings like those of a small deployment.
pub fn settings(balancers: u32, classes: &str) -> String {
    format!(
        r#"{{"balancers":{balancers},"me":0,"zone":0,"stage":0,"family":"gate","membershipMode":"push","period":0.002,
"localities":["hall-a","hall-b"],"shapes":["std-3c"],"tiers":["board-fleet"],"weightSource":"nominal",
"callers":{{"marksRetry":false}},
"ceilings":{{"attemptsCap":6,"connIdle":15.0,"dialTimeout":0.25,"maxRetryAfter":1.0,"mayCancel":true,"retryAfter":true,
"secondCopies":false,"probing":false,"peers":true,"streamsPerConn":1,"maxOpen":21843,"cpuUsPerS":546089,"cpuUsPerRequest":0.0}},
"classes":[{classes}],
"extra":{{"costAfter":true,"countWait":0.03,"counterPrice":0.005,"hasCounter":true,"largest":8,"mailPerS":40.0,"meterPeriod":0.0}},
"reporting":{{"columns":["util","inflight"],"how":"inline"}},
"rules":{{"answerSlack":0.058,"askEvery":10.0,"coldFrom":0.15,"fall":3.0,"fallMultiple":2.5,"stopSendingWithin":2.0,"warmWithin":17.0}},
"tariffs":[{{"name":"league","perSecond":300.0,"depth":720.0,"beyondCosts":0.6,"overWorth":0.0,"ceilingRate":0.0,"hardBurst":0.0,"maxOut":0,"tolerance":0.0,"worthFactor":1.4}}]}}"#
    )
}

/// The three classes of a small deployment.
pub const CLASSES: &str = r#"
{"name":"read-board","credit":1.0,"onTime":1.5,"deadline":6.0,"idempotency":"free","group":"all","window":5.0,"lateShare":0.2,"streaming":false},
{"name":"submit-run","credit":3.0,"onTime":1.2,"deadline":5.0,"idempotency":"guarded","group":"zone","window":5.0,"lateShare":0.0,"streaming":false},
{"name":"verify-run","credit":3.0,"onTime":0.8,"deadline":2.5,"idempotency":"single_shot","group":"all","window":5.0,"lateShare":0.2,"streaming":false}"#;

pub struct Config<'a> {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub counter: SocketAddr,
    pub memory_mb: u64,
    pub sockets: u64,
    pub settings: &'a str,
    pub known: Option<String>,
}

impl Config<'_> {
    fn text(&self) -> String {
        let known = self.known.as_ref().map(|known| format!(",\"known\":{known}")).unwrap_or_default();
        format!(
            r#"{{"name":"n0","listen":"{}","discovery":"{}","counter":"{}","seed":"{:016x}",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}}{known},"settings":{}}}"#,
            self.listen,
            self.discovery,
            self.counter,
            unix_ms(),
            self.memory_mb,
            self.sockets,
            self.settings
        )
    }
}

/// The folder of the case, the root of the repository, and a temporary folder.
pub struct Place {
    pub case: PathBuf,
    pub root: PathBuf,
    pub tmp: PathBuf,
}

impl Place {
    pub fn from_env() -> Place {
        let path = |name: &str| {
            PathBuf::from(std::env::var(name).unwrap_or_else(|_| no_run(&format!("{name} is not set"))))
        };
        Place { case: path("CASE"), root: path("ROOT"), tmp: path("TMP_DIR") }
    }

    pub fn record(&self) -> Record {
        Record::new(&self.case.join("record.txt"))
    }
}

/// A gateway process, started with the command of the deploy file.
pub struct Gateway {
    pub child: Child,
    pub listen: SocketAddr,
    config: PathBuf,
}

impl Gateway {
    pub fn start(place: &Place, config: &Config) -> Gateway {
        let file = place.tmp.join(format!("config-{}.json", config.listen.port()));
        std::fs::write(&file, config.text()).unwrap_or_else(|e| no_run(&format!("configuration: {e}")));
        let run = std::env::var("RUN").unwrap_or_else(|_| no_run("RUN is not set"));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(place.tmp.join("gateway.log"));
        let log = log.unwrap_or_else(|e| no_run(&format!("log: {e}")));
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("ulimit -n {}; {run}", config.sockets))
            .current_dir(&place.root)
            .env("LB_CONFIG", &file)
            .env("LB_NAME", "n0")
            .env("LB_LISTEN", config.listen.to_string())
            .env("LB_DISCOVERY", config.discovery.to_string())
            .env("TMPDIR", &place.tmp)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(log))
            .spawn()
            .unwrap_or_else(|e| no_run(&format!("gateway: {e}")));
        // The script ends what is left of these.
        let pids = std::fs::OpenOptions::new().create(true).append(true).open(place.tmp.join("pids"));
        let written = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
        written.unwrap_or_else(|e| no_run(&format!("pids: {e}")));
        Gateway { child, listen: config.listen, config: file }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the gateway says that it is ready.
    pub fn wait_ready(&mut self) {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                no_run(&format!("the gateway ended: {status}"));
            }
            if let Ok(mut stream) = TcpStream::connect(self.listen) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
                let _ = stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
                let answer = read_message(&mut BufReader::new(stream));
                if answer.is_ok_and(|answer| answer.is_some_and(|answer| answer.status() == 200)) {
                    return;
                }
            }
            sleep(0.05);
        }
        self.kill();
        no_run("the gateway is not ready");
    }

    pub fn reconfigure(&self, config: &Config) {
        let new = self.config.with_extension("new");
        let written = std::fs::write(&new, config.text()).and_then(|()| std::fs::rename(&new, &self.config));
        written.unwrap_or_else(|e| no_run(&format!("configuration: {e}")));
        self.signal(SIGHUP);
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process was started by this one and is not waited for yet.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// How the process ended, if it has.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// A value in KiB of the process's memory, from /proc.
    pub fn memory_kib(&self, name: &str) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with(name));
        line.and_then(|line| line.split_whitespace().nth(1)).and_then(|kib| kib.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

static LAST_ID: AtomicU64 = AtomicU64::new(1);

/// A fresh id.
pub fn fresh_id() -> String {
    let number = LAST_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ unix_ms())
}

/// A request of a usual client.
pub struct Request {
    pub txn: String,
    pub head: Vec<u8>,
    pub body: Vec<u8>,
}

pub fn request(class: &str, customer: u64, remaining_ms: u64, body: &[u8]) -> Request {
    let txn = fresh_id();
    let (method, rest) = match class {
        "read-board" => ("GET", String::new()),
        "submit-run" => {
            ("POST", format!("Idempotency-Key: {}{}\r\nContent-Length: {}\r\n", txn, fresh_id(), body.len()))
        }
        _ => ("POST", format!("Content-Length: {}\r\n", body.len())),
    };
    let head = format!(
        "{method} /api/{customer:016x} HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {txn}\r\nX-Lane: {class}\r\n\
         X-Contract: league\r\nX-Remaining-Ms: {remaining_ms}\r\n{rest}X-Metering: units=1,spread=1,first=0\r\n\r\n"
    );
    Request { txn, head: head.into_bytes(), body: body.to_vec() }
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Status(u16, Vec<u8>),
    /// The connection ended without a whole answer.
    Ended(String),
    /// Nothing came until the given time.
    Nothing,
}

/// Sends a request on a connection and waits for its answer until `patience` is over.
pub fn ask(stream: &mut TcpStream, request: &Request, patience: Duration) -> Outcome {
    let whole = [&request.head[..], &request.body[..]].concat();
    if let Err(e) = stream.write_all(&whole) {
        return Outcome::Ended(format!("write: {e}"));
    }
    let _ = stream.set_read_timeout(Some(patience));
    match read_message(&mut BufReader::new(stream)) {
        Ok(Some(answer)) => Outcome::Status(answer.status(), answer.body),
        Ok(None) => Outcome::Ended("closed".to_string()),
        Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
            Outcome::Nothing
        }
        Err(e) => Outcome::Ended(e.to_string()),
    }
}

pub fn flag() -> Arc<AtomicBool> {
    Arc::default()
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

unsafe extern "C" {
    fn bind(socket: i32, address: *const u8, length: u32) -> i32;
    #[link_name = "listen"]
    fn system_listen(socket: i32, backlog: i32) -> i32;
}

fn socket_address(to: std::net::SocketAddrV4) -> [u8; 16] {
    // `sockaddr_in`: family, port, address, zeros.
    let mut address = [0_u8; 16];
    address[..2].copy_from_slice(&2_u16.to_ne_bytes());
    address[2..4].copy_from_slice(&to.port().to_be_bytes());
    address[4..8].copy_from_slice(&to.ip().octets());
    address
}

/// Listens like a server behind a network with small packets and with small receive buffers.
pub fn listen_narrow(packet: i32, receive_buffer: i32) -> (TcpListener, SocketAddr) {
    use std::os::fd::FromRawFd;
    let (kind, sol_socket, so_rcvbuf, tcp, tcp_maxseg) = (1, 1, 8, 6, 2); // as Linux numbers them
    let address = socket_address(std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 0));
    // SAFETY: the descriptor is owned by the listener made of it, and the pointers lead to values
    // of the given lengths.
    let listener = unsafe {
        let descriptor = socket(2, kind, 0);
        if descriptor < 0 {
            no_run("no socket");
        }
        let listener = TcpListener::from_raw_fd(descriptor);
        setsockopt(descriptor, sol_socket, so_rcvbuf, &receive_buffer, 4);
        setsockopt(descriptor, tcp, tcp_maxseg, &packet, 4);
        if bind(descriptor, address.as_ptr(), 16) < 0 || system_listen(descriptor, 128) < 0 {
            no_run("can't listen");
        }
        listener
    };
    let address = listener.local_addr().unwrap_or_else(|e| no_run(&format!("no port: {e}")));
    (listener, address)
}

/// Closes a connection with a reset.
pub fn reset(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    let linger: [i32; 2] = [1, 0]; // on, for no time
    // SAFETY: the descriptor is open, and the pointer leads to a value of the given length.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
}
