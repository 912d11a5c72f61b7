//! Measures one process of the program on loopback, with an emulated discovery that lists a given number of servers.
//!
//! The figures are the time until the process is ready, the CPU time of one change of the list, and the peak memory.
//! They are those of the whole process, read from `/proc`.

use crate::ScaleError;
use crate::deployment::{ServiceConfig, Status, encode_chunk, full_list, status_update};
use crate::replica::WATCH_HEAD;
use serde::Serialize;
use standins::scripted::{Peer, Program, raw_reply};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

/// Measured sizes: servers listed and gateways in the fleet, the same as in an earlier probe of the merged program.
const SIZES: [(usize, usize); 6] =
    [(24, 5_800), (2_000, 1_000), (2_000, 5_800), (10_000, 1_000), (50_000, 3), (170_000, 3)];
/// A process that is not ready after this time is given up, and so is one that requests the list this often, because
/// it keeps rejecting it.
const READY_TIMEOUT: Duration = Duration::from_secs(90);
const MAX_LIST_REQUESTS: usize = 20;
/// How often readiness is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The interval at which discovery sends an empty line on the watch to keep it open.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1500);
/// The number of changes measured, and the time after which no further change is started.
const MAX_CHANGES: usize = 5;
const CHANGES_TIMEOUT: Duration = Duration::from_secs(12);
const HEALTH_REQUEST: &str = "GET /-/healthy HTTP/1.1\r\n\r\n";
const READINESS_REQUEST: &str = "GET /-/ready HTTP/1.1\r\n\r\n";
const KEEPALIVE_CHUNK: &str = "1\r\n\n\r\n";
const TABLE_FILE: &str = "process.csv";

/// The figures at one size.
#[derive(Clone, Debug, Serialize)]
struct ProcessRow {
    servers: usize,
    fleet: usize,
    /// `measured`, or why there are no figures.
    status: String,
    /// Wall-clock seconds from the start of the process until it was ready.
    ready_s: f64,
    /// Median over the changes, and their number.
    change_cpu_ms: f64,
    changes: usize,
    peak_mb: f64,
    list_bytes: usize,
    change_bytes: usize,
    /// Requests for the list until the process was ready or given up.
    asked_for_list: usize,
}

/// Measures the program at all sizes and writes the table.
pub fn run(program: &Path, out: &Path) -> Result<(), ScaleError> {
    let mut rows = Vec::new();
    for (servers, fleet) in SIZES {
        let row = measure(program, servers, fleet)?;
        println!("{row:?}");
        rows.push(row);
    }
    crate::report::write_csv(&out.join(TABLE_FILE), &rows)
}

fn measure(program: &Path, servers: usize, fleet: usize) -> Result<ProcessRow, ScaleError> {
    let list = encode_chunk(&full_list(servers));
    let server = [servers / 2];
    let changes =
        [Status::Draining, Status::Ready].map(|status| encode_chunk(&status_update(server, status)));
    let changes = changes.map(|bytes| String::from_utf8_lossy(&bytes).into_owned());
    let (list_bytes, change_bytes) = (list.len(), changes[0].len());
    let mut reply = String::from_utf8_lossy(WATCH_HEAD).into_owned();
    reply += &String::from_utf8_lossy(&list);
    let discovery = Peer::new(move |_, _| raw_reply(&reply));
    let settings = serde_json::Value::Object(ServiceConfig::for_fleet(fleet).nested_settings()).to_string();
    let start = Instant::now();
    let process = Program::run(&mut Command::new(program), discovery.address, "", &settings);
    let mut measured =
        MeasuredProcess { discovery, process, list_requests: 0, last_keepalive: Instant::now() };
    let is_ready = measured.wait_ready(start)?;
    let ready_s = start.elapsed().as_secs_f64();
    let cpu = if is_ready { measured.measure_changes(&changes)? } else { Vec::new() };
    let status = if is_ready { "measured" } else { "never ready" };
    Ok(ProcessRow {
        servers,
        fleet,
        status: status.to_string(),
        ready_s: if is_ready { ready_s } else { 0.0 },
        change_cpu_ms: cpu.get(cpu.len() / 2).copied().unwrap_or(0.0),
        changes: cpu.len(),
        peak_mb: measured.peak_mb()?,
        list_bytes,
        change_bytes,
        asked_for_list: measured.list_requests,
    })
}

/// A process under measurement and its emulated discovery.
struct MeasuredProcess {
    discovery: Peer,
    process: Program,
    /// Requests for the list so far; the index of the latest connection to discovery is one less.
    list_requests: usize,
    last_keepalive: Instant,
}

impl MeasuredProcess {
    /// Waits until the process is ready; false if it was given up.
    fn wait_ready(&mut self, start: Instant) -> Result<bool, ScaleError> {
        while start.elapsed() < READY_TIMEOUT && self.list_requests < MAX_LIST_REQUESTS {
            if self.request(READINESS_REQUEST)?.starts_with("HTTP/1.1 200") {
                return Ok(true);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(false)
    }

    /// Sends keep-alives on the watch while nothing changes. After a second request for the list, the process is
    /// rejecting it and may close the connection, so nothing is sent.
    fn keep_watch_open(&mut self) {
        while self.discovery.try_next().is_some() {
            self.list_requests += 1;
            self.last_keepalive = Instant::now();
        }
        if self.list_requests == 1 && self.last_keepalive.elapsed() > KEEPALIVE_INTERVAL {
            self.last_keepalive = Instant::now();
            self.discovery.write(0, KEEPALIVE_CHUNK);
        }
    }

    /// Sends a request on a new connection and returns the beginning of the response, up to the readiness timeout.
    fn request(&mut self, request: &str) -> Result<String, ScaleError> {
        let failed = |e: std::io::Error| ScaleError::Measurement {
            what: "request to the process".to_string(),
            why: e.to_string(),
        };
        let start = Instant::now();
        let mut stream = TcpStream::connect(self.process.address).map_err(failed)?;
        stream.set_read_timeout(Some(KEEPALIVE_INTERVAL)).map_err(failed)?;
        stream.write_all(request.as_bytes()).map_err(failed)?;
        let mut bytes = [0; 512];
        loop {
            self.keep_watch_open();
            match stream.read(&mut bytes) {
                Ok(length) => return Ok(String::from_utf8_lossy(&bytes[..length]).into_owned()),
                Err(e) if e.kind() == ErrorKind::WouldBlock && start.elapsed() < READY_TIMEOUT => {}
                Err(e) => return Err(failed(e)),
            }
        }
    }

    /// CPU time of each change in milliseconds, sorted.
    fn measure_changes(&mut self, changes: &[String; 2]) -> Result<Vec<f64>, ScaleError> {
        let start = Instant::now();
        let mut cpu_times = Vec::new();
        let baseline = self.cpu_ms_of(None)?;
        while cpu_times.len() < MAX_CHANGES && start.elapsed() < CHANGES_TIMEOUT {
            let change = &changes[cpu_times.len() % 2];
            cpu_times.push((self.cpu_ms_of(Some(change))? - baseline).max(0.0));
        }
        cpu_times.sort_by(f64::total_cmp);
        Ok(cpu_times)
    }

    /// CPU time until a request sent after the change is answered. The change has been applied by then, because
    /// responses are written at the end of the event loop iteration that reads both.
    fn cpu_ms_of(&mut self, change: Option<&str>) -> Result<f64, ScaleError> {
        self.request(HEALTH_REQUEST)?;
        let before = self.cpu_ms()?;
        if let Some(change) = change {
            self.discovery.write(self.list_requests.max(1) - 1, change);
        }
        self.request(HEALTH_REQUEST)?;
        Ok(self.cpu_ms()? - before)
    }

    fn cpu_ms(&self) -> Result<f64, ScaleError> {
        let text = self.read_proc("schedstat")?;
        let nanos = text.split_whitespace().next().and_then(|text| text.parse::<f64>().ok());
        Ok(nanos.unwrap_or(0.0) / 1e6)
    }

    fn peak_mb(&self) -> Result<f64, ScaleError> {
        let text = self.read_proc("status")?;
        let line = text.lines().find(|line| line.starts_with("VmHWM:"));
        let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
        Ok(kib.unwrap_or(0.0) / 1024.0)
    }

    fn read_proc(&self, what: &str) -> Result<String, ScaleError> {
        let file = format!("/proc/{}/{what}", self.process.child.id());
        std::fs::read_to_string(&file).map_err(|e| ScaleError::file(Path::new(&file), e))
    }
}
