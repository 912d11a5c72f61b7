//! Small stand-ins for the review's cases: discovery, the counter, servers, clients, and the processes under test.
//! Standard library only. Every address is a loopback address; every port is free.

#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Sleeps until an instant.
pub fn sleep_until(at: Instant) {
    let now = Instant::now();
    if at > now {
        thread::sleep(at - now);
    }
}

/// A small deterministic random source (splitmix64).
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }

    /// An exponentially distributed time with this mean, in seconds.
    pub fn exponential(&mut self, mean: f64) -> Duration {
        Duration::from_secs_f64(-mean * (1.0 - self.unit()).ln())
    }
}

/// The record of a run: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &str) -> Record {
        Record(Arc::new((Instant::now(), Mutex::new(File::create(path).expect("record.txt")))))
    }

    /// The time since the start, in milliseconds.
    pub fn now(&self) -> f64 {
        self.0.0.elapsed().as_secs_f64() * 1e3
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:10.2} {text}\n", self.now());
        let _ = self.0.1.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line and shows it, too.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// A port that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Runs a handler in a thread for each connection.
pub fn serve(handle: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                handle(stream);
            });
        }
    });
    address
}

/// Closes a connection by a reset (`SO_LINGER` of 0 s, which the standard library doesn't offer).
pub fn reset(stream: TcpStream) {
    use std::os::fd::AsRawFd;
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    unsafe extern "C" {
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    }
    // SOL_SOCKET and SO_LINGER as Linux numbers them.
    let linger = Linger { on: 1, seconds: 0 };
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, &linger, 8) };
    drop(stream);
}

// ---- HTTP messages

/// One HTTP/1.1 message with a `Content-Length` (none: no body).
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|header| header.0.eq_ignore_ascii_case(name)).map(|header| header.1.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Takes the first whole message out of a buffer.
pub fn take_message(buffer: &mut Vec<u8>) -> Option<Message> {
    let end = buffer.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let first_line = lines.next().unwrap_or_default().to_string();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_string(), value.trim().to_string()))
        .collect();
    let mut message = Message { first_line, headers, body: Vec::new() };
    let length: usize = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    if buffer.len() < end + length {
        return None;
    }
    message.body = buffer[end..end + length].to_vec();
    buffer.drain(..end + length);
    Some(message)
}

/// Reads until a whole message has come; `None` if the connection ends before (or the read time-out passes).
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    loop {
        if let Some(message) = take_message(buffer) {
            return Some(message);
        }
        let mut piece = [0; 16384];
        match stream.read(&mut piece) {
            Ok(0) => return None,
            Ok(length) => buffer.extend_from_slice(&piece[..length]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    }
}

// ---- Discovery

/// One server in the list.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub group: u32,
    pub status: &'static str,
    pub since_ms: u64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"type\":\"std-3c\",\"group\":{},\"status\":\"{}\",\"weight\":1.0,\"since_ms\":{}}}",
            self.name, self.address, self.zone, self.group, self.status, self.since_ms
        )
    }
}

/// Discovery's list with its changes in order; change `i` makes version `i + 1`.
#[derive(Clone, Default)]
pub struct List(Arc<Mutex<Vec<Entry>>>);

impl List {
    pub fn tell(&self, entry: Entry) {
        self.0.lock().unwrap().push(entry);
    }

    fn line(&self, from: usize) -> Option<(usize, String)> {
        let changes = self.0.lock().unwrap();
        let index = changes.len();
        if index <= from {
            return None;
        }
        let mut entries: Vec<Entry> = Vec::new();
        for entry in &changes[from..] {
            entries.retain(|other| other.name != entry.name);
            entries.push(entry.clone());
        }
        if from == 0 {
            entries.retain(|entry| entry.status != "gone");
        }
        let entries: Vec<String> = entries.iter().map(Entry::json).collect();
        let whole = from == 0;
        Some((index, format!("{{\"index\":{index},\"snapshot\":{whole},\"endpoints\":[{}]}}", entries.join(","))))
    }

    /// Starts an agent and returns its address.
    pub fn agent(&self) -> SocketAddr {
        let list = self.clone();
        serve(move |mut stream| {
            let mut buffer = Vec::new();
            let Some(request) = read_message(&mut stream, &mut buffer) else { return };
            let from = request.first_line.split("from=").nth(1);
            let from = from.and_then(|rest| rest.split([' ', '&']).next()?.parse::<usize>().ok()).unwrap_or(0);
            let chunk = |text: &str| format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
            let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
            if stream.write_all(head.as_bytes()).is_err() {
                return;
            }
            let (mut sent, mut last) = (from, Instant::now());
            let mut first = true;
            loop {
                let line = match list.line(sent) {
                    Some((index, line)) => {
                        sent = index;
                        Some(line)
                    }
                    None if first || last.elapsed() >= ms(2000) => Some(String::new()),
                    None => None,
                };
                first = false;
                if let Some(line) = line {
                    last = Instant::now();
                    if stream.write_all(chunk(&line).as_bytes()).is_err() {
                        return;
                    }
                }
                thread::sleep(ms(5));
            }
        })
    }
}

// ---- The counter

/// Starts a counter: `INCRTTL NAME AMOUNT MS`, `PING`.
pub fn counter() -> SocketAddr {
    let totals: Arc<Mutex<HashMap<String, (f64, Instant)>>> = Arc::default();
    serve(move |mut stream| {
        let (mut buffer, mut piece) = (Vec::new(), [0; 4096]);
        loop {
            while let Some(words) = take_command(&mut buffer) {
                let reply = match words.first().map(|word| word.to_ascii_uppercase()).as_deref() {
                    Some("INCRTTL") if words.len() == 4 => {
                        let add: f64 = words[2].parse().unwrap_or(0.0);
                        let life = ms(words[3].parse::<u64>().unwrap_or(1).min(60_000));
                        let now = Instant::now();
                        let mut totals = totals.lock().unwrap();
                        let total = totals.entry(words[1].clone()).or_insert((0.0, now + life));
                        if total.1 <= now {
                            *total = (0.0, now + life);
                        }
                        total.0 += add;
                        let text = format!("{}", total.0);
                        format!("${}\r\n{text}\r\n", text.len())
                    }
                    Some("PING") => "+PONG\r\n".to_string(),
                    Some("CLIENT" | "SELECT") => "+OK\r\n".to_string(),
                    _ => "-ERR no such call\r\n".to_string(),
                };
                if stream.write_all(reply.as_bytes()).is_err() {
                    return;
                }
            }
            match stream.read(&mut piece) {
                Ok(0) | Err(_) => return,
                Ok(length) => buffer.extend_from_slice(&piece[..length]),
            }
        }
    })
}

/// Takes one RESP array of bulk strings out of a buffer.
fn take_command(buffer: &mut Vec<u8>) -> Option<Vec<String>> {
    let line = |from: usize| {
        let end = buffer[from..].windows(2).position(|two| two == b"\r\n")? + from;
        Some((String::from_utf8_lossy(&buffer[from..end]).into_owned(), end + 2))
    };
    let (first, mut at) = line(0)?;
    let count: usize = first.strip_prefix('*')?.parse().ok()?;
    let mut words = Vec::new();
    for _ in 0..count {
        let (length, start) = line(at)?;
        let length: usize = length.strip_prefix('$')?.parse().ok()?;
        if buffer.len() < start + length + 2 {
            return None;
        }
        words.push(String::from_utf8_lossy(&buffer[start..start + length]).into_owned());
        at = start + length + 2;
    }
    buffer.drain(..at);
    Some(words)
}

// ---- The process under test

/// A gateway, started with the command of the deploy file. It is killed when this is dropped.
pub struct Gateway {
    pub child: Child,
    pub address: SocketAddr,
    pub config: PathBuf,
    pub log: PathBuf,
}

/// What a gateway is told.
#[derive(Clone)]
pub struct Told {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub counter: SocketAddr,
    pub seed: u64,
    /// Further fields of the configuration, each followed by a comma.
    pub more: String,
    /// The object `settings`, as JSON.
    pub settings: String,
}

impl Told {
    pub fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{}\",\"counter\":\"{}\",\"seed\":\"{:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},{}\"settings\":{}}}",
            self.name, self.listen, self.discovery, self.counter, self.seed, self.more, self.settings
        )
    }
}

/// The value of a key of `deploy/balancer.toml`.
fn deploy(key: &str) -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("started from the repository's root");
    let line = text.lines().find(|line| line.starts_with(&format!("{key} ="))).expect("the key");
    line.split('"').nth(1).expect("a value").to_string()
}

impl Gateway {
    /// Starts a gateway from the repository's root; its files lie in a temporary folder.
    pub fn start(folder: &str, told: &Told) -> Gateway {
        let config = PathBuf::from(folder).join(format!("{}.json", told.name));
        let log = PathBuf::from(folder).join(format!("{}.log", told.name));
        std::fs::write(&config, told.json()).unwrap();
        let log_file = File::options().append(true).create(true).open(&log).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", &deploy("run")])
            .env("LB_NAME", &told.name)
            .env("LB_LISTEN", told.listen.to_string())
            .env("LB_DISCOVERY", told.discovery.to_string())
            .env("LB_CONFIG", &config)
            .stdin(Stdio::null())
            .stdout(log_file.try_clone().unwrap())
            .stderr(log_file)
            .spawn()
            .expect("the gateway starts");
        Gateway { child, address: told.listen, config, log }
    }

    /// Waits until it answers `GET /-/ready` with 200.
    pub fn wait_ready(&mut self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Some(answer) = ask(self.address, "GET /-/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n")
                && answer.status() == 200
            {
                return true;
            }
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return false;
            }
            thread::sleep(ms(20));
        }
        false
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
    }

    /// Waits for its end.
    pub fn wait_end(&mut self, within: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            thread::sleep(ms(5));
        }
        None
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Asks once on a connection of its own.
pub fn ask(address: SocketAddr, text: &str) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, ms(1000)).ok()?;
    stream.set_read_timeout(Some(ms(2000))).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    read_message(&mut stream, &mut Vec::new())
}

// ---- Clients

/// What a client asks for.
#[derive(Clone)]
pub struct Request {
    pub txn: u64,
    pub class: &'static str,
    pub is_get: bool,
    pub keyed: bool,
    pub plan: &'static str,
    pub customer: u64,
    pub remaining_ms: u64,
    pub units: u32,
    pub spread: u32,
    pub first: u32,
}

impl Request {
    pub fn text(&self) -> String {
        let method = if self.is_get { "GET" } else { "POST" };
        let body = if self.is_get { String::new() } else { format!("run of {:016x}", self.txn) };
        let key = if self.keyed { format!("Idempotency-Key: {:032x}\r\n", self.txn) } else { String::new() };
        let length =
            if self.is_get { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        format!(
            "{method} /api/{:016x} HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {:016x}\r\nX-Lane: {}\r\n\
             X-Contract: {}\r\nX-Remaining-Ms: {}\r\n{key}{length}X-Metering: units={},spread={},first={}\r\n\r\n{body}",
            self.customer, self.txn, self.class, self.plan, self.remaining_ms, self.units, self.spread, self.first
        )
    }
}

/// How a request ended at its client.
#[derive(Clone, Debug)]
pub enum End {
    Answered(Message),
    /// The connection ended without a whole answer.
    Cut,
    /// No answer within the client's time and 0.6 s more.
    Silent,
    /// No connection could be made.
    NoConnection,
}

/// Clients' connections to one gateway: kept, and more are opened once all are busy.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<Vec<TcpStream>>,
    pub opened: AtomicU64,
}

impl Pool {
    /// Sends a request and waits for its end. On a kept connection that the gateway closed meanwhile, the request is sent
    /// one more time on a new one.
    pub fn ask(&self, address: SocketAddr, request: &Request) -> End {
        let text = request.text();
        let limit = ms(request.remaining_ms + 600);
        let kept = loop {
            let Some(stream) = self.idle.lock().unwrap().pop() else { break None };
            // A connection that was closed while it rested is not used.
            let _ = stream.set_nonblocking(true);
            let closed = !matches!(stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
            let _ = stream.set_nonblocking(false);
            if !closed {
                break Some(stream);
            }
        };
        if let Some(stream) = kept
            && let Some(end) = self.ask_on(stream, &text, limit, true)
        {
            return end;
        }
        let Ok(stream) = TcpStream::connect_timeout(&address, ms(1000)) else { return End::NoConnection };
        let _ = stream.set_nodelay(true);
        self.opened.fetch_add(1, Ordering::Relaxed);
        self.ask_on(stream, &text, limit, false).unwrap_or(End::Cut)
    }

    fn ask_on(&self, mut stream: TcpStream, text: &str, limit: Duration, kept: bool) -> Option<End> {
        let until = Instant::now() + limit;
        if stream.write_all(text.as_bytes()).is_err() {
            return if kept { None } else { Some(End::Cut) };
        }
        let (mut buffer, mut piece) = (Vec::new(), [0; 16384]);
        loop {
            if let Some(answer) = take_message(&mut buffer) {
                let closes = answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
                if !closes {
                    self.idle.lock().unwrap().push(stream);
                }
                return Some(End::Answered(answer));
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Some(End::Silent);
            }
            let _ = stream.set_read_timeout(Some(left.max(ms(1))));
            match stream.read(&mut piece) {
                Ok(0) if kept && buffer.is_empty() => return None,
                Ok(0) => return Some(End::Cut),
                Ok(length) => buffer.extend_from_slice(&piece[..length]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) if kept && buffer.is_empty() => return None,
                Err(_) => return Some(End::Cut),
            }
        }
    }
}

/// Whether the run plays the disruption (`TROUBLE=0` leaves it out).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// The arguments: the folder of the case and a temporary folder.
pub fn folders() -> (String, String) {
    let mut args = std::env::args().skip(1);
    (args.next().expect("the case's folder"), args.next().expect("a temporary folder"))
}

pub static STOP: AtomicBool = AtomicBool::new(false);

// ---- Settings of a small deployment

/// The settings of the site `bratislava-boards` as an instance is told them (two halls, three methods, three plans).
pub fn bratislava(me: u32, balancers: u32) -> String {
    format!(
        r#"{{"balancers":{balancers},"me":{me},"zone":0,"family":"gate","membershipMode":"push","period":0.002,"stage":0,
"callers":{{"marksRetry":false}},
"ceilings":{{"attemptsCap":6,"connIdle":15.0,"cpuUsPerRequest":0.0,"cpuUsPerS":546089,"dialTimeout":0.25,"maxOpen":21843,
"maxRetryAfter":1.0,"mayCancel":true,"peers":true,"probing":false,"retryAfter":true,"secondCopies":false,"streamsPerConn":1}},
"classes":[
{{"name":"read-board","credit":1.0,"deadline":6.0,"group":"all","idempotency":"free","lateShare":0.2,"onTime":1.5,"streaming":false,"window":5.0}},
{{"name":"submit-run","credit":3.0,"deadline":5.0,"group":"zone","idempotency":"guarded","lateShare":0.0,"onTime":1.2,"streaming":false,"window":5.0}},
{{"name":"verify-run","credit":3.0,"deadline":2.5,"group":"all","idempotency":"single_shot","lateShare":0.2,"onTime":0.8,"streaming":false,"window":5.0}}],
"extra":{{"costAfter":true,"countWait":0.03,"counterPrice":0.005,"hasCounter":true,"largest":8,"mailPerS":40.0,"meterPeriod":0.0}},
"goal":{{"whole":0.75,"worstClass":0.0,"worstTenant":0.15,"worstWindow":0.1}},
"localities":["hall-a","hall-b"],"shapes":["std-3c"],"tiers":["board-fleet"],"weightSource":"nominal",
"reporting":{{"columns":["cpu_share","busy_reqs"],"how":"inline"}},
"rules":{{"answerSlack":0.008,"askEvery":10.0,"coldFrom":0.15,"fall":3.0,"fallMultiple":2.5,"stopSendingWithin":2.0,"warmWithin":17.0}},
"tariffs":[
{{"name":"hobby","beyondCosts":0.8,"ceilingRate":0.0,"depth":16.0,"hardBurst":0.0,"maxOut":0,"overWorth":0.0,"perSecond":1.2,"tolerance":0.0,"worthFactor":0.72}},
{{"name":"community","beyondCosts":0.6,"ceilingRate":0.0,"depth":24.0,"hardBurst":0.0,"maxOut":0,"overWorth":0.0,"perSecond":6.6,"tolerance":0.0,"worthFactor":1.2}},
{{"name":"league","beyondCosts":0.6,"ceilingRate":0.0,"depth":72.0,"hardBurst":0.0,"maxOut":0,"overWorth":0.0,"perSecond":30.0,"tolerance":0.0,"worthFactor":1.4}}]}}"#
    )
}
