//! One process of the program on loopback, before a discovery that lists so many servers: how long until it is ready, the
//! processor time of one change of the list, and the most memory that it has held. Figures of the whole process, measured
//! by what the system tells of it.

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

/// What is measured: servers listed and gateways in the fleet, as a probe of the landed program had them.
const POINTS: [(usize, usize); 6] =
    [(24, 5_800), (2_000, 1_000), (2_000, 5_800), (10_000, 1_000), (50_000, 3), (170_000, 3)];
/// A process that is not ready by then never will be. One that asks for the list so often is refusing it.
const READY_WITHIN: Duration = Duration::from_secs(90);
const ASKS_MOST: usize = 20;
/// How often it is looked whether it is ready.
const LOOK_EVERY: Duration = Duration::from_millis(5);
/// An empty line of the watch comes so often.
const PULSE_EVERY: Duration = Duration::from_millis(1500);
/// Changes that are measured, and the time beyond which no further one is.
const CHANGES: usize = 5;
const CHANGES_WITHIN: Duration = Duration::from_secs(12);
const HEALTHY: &str = "GET /-/healthy HTTP/1.1\r\n\r\n";
const READY: &str = "GET /-/ready HTTP/1.1\r\n\r\n";
const PULSE: &str = "1\r\n\n\r\n";
const FILE: &str = "process.csv";

/// One size.
#[derive(Clone, Debug, Serialize)]
struct ProcessRow {
    servers: usize,
    fleet: usize,
    /// `measured`, or what happened in its place.
    status: String,
    /// From the start of the process on, seconds of the wall clock.
    ready_s: f64,
    /// Median over the changes, and how many there were.
    change_cpu_ms: f64,
    changes: usize,
    peak_mb: f64,
    list_bytes: usize,
    change_bytes: usize,
    /// How often it asked for the list until it was ready or given up.
    asked_for_list: usize,
}

/// Measures the program at all sizes and keeps the table.
pub fn run(program: &Path, out: &Path) -> Result<(), ScaleError> {
    let mut rows = Vec::new();
    for (servers, fleet) in POINTS {
        let row = measure(program, servers, fleet)?;
        println!("{row:?}");
        rows.push(row);
    }
    crate::report::write_csv(&out.join(FILE), &rows)
}

fn measure(program: &Path, servers: usize, fleet: usize) -> Result<ProcessRow, ScaleError> {
    let list = encode_chunk(&full_list(servers));
    let one = [servers / 2];
    let changes = [Status::Draining, Status::Ready].map(|status| encode_chunk(&status_update(one, status)));
    let changes = changes.map(|bytes| String::from_utf8_lossy(&bytes).into_owned());
    let (list_bytes, change_bytes) = (list.len(), changes[0].len());
    let mut answer = String::from_utf8_lossy(WATCH_HEAD).into_owned();
    answer += &String::from_utf8_lossy(&list);
    let discovery = Peer::new(move |_, _| raw_reply(&answer));
    let settings = serde_json::Value::Object(ServiceConfig::for_fleet(fleet).nested_settings()).to_string();
    let start = Instant::now();
    let process = Program::run(&mut Command::new(program), discovery.address, "", &settings);
    let mut watched = Watched { discovery, process, asked: 0, pulsed: Instant::now() };
    let is_ready = watched.wait_ready(start)?;
    let ready_s = start.elapsed().as_secs_f64();
    let cpu = if is_ready { watched.changes(&changes)? } else { Vec::new() };
    let status = if is_ready { "measured" } else { "never ready" };
    Ok(ProcessRow {
        servers,
        fleet,
        status: status.to_string(),
        ready_s: if is_ready { ready_s } else { 0.0 },
        change_cpu_ms: cpu.get(cpu.len() / 2).copied().unwrap_or(0.0),
        changes: cpu.len(),
        peak_mb: watched.peak_mb()?,
        list_bytes,
        change_bytes,
        asked_for_list: watched.asked,
    })
}

/// A process with its discovery.
struct Watched {
    discovery: Peer,
    process: Program,
    /// How often it has asked for the list: its last connection to discovery has the number below.
    asked: usize,
    pulsed: Instant,
}

impl Watched {
    /// Whether it became ready.
    fn wait_ready(&mut self, start: Instant) -> Result<bool, ScaleError> {
        while start.elapsed() < READY_WITHIN && self.asked < ASKS_MOST {
            if self.answer(READY)?.starts_with("HTTP/1.1 200") {
                return Ok(true);
            }
            std::thread::sleep(LOOK_EVERY);
        }
        Ok(false)
    }

    /// Keeps the watch up while nothing changes. One that was asked for more than once is being refused, and may be closed.
    fn pulse(&mut self) {
        while self.discovery.try_next().is_some() {
            self.asked += 1;
            self.pulsed = Instant::now();
        }
        if self.asked == 1 && self.pulsed.elapsed() > PULSE_EVERY {
            self.pulsed = Instant::now();
            self.discovery.write(0, PULSE);
        }
    }

    /// The beginning of the answer to a request on a connection of its own, however long it takes.
    fn answer(&mut self, request: &str) -> Result<String, ScaleError> {
        let failed = |e: std::io::Error| ScaleError::Measurement {
            what: "asking the process".to_string(),
            why: e.to_string(),
        };
        let start = Instant::now();
        let mut stream = TcpStream::connect(self.process.address).map_err(failed)?;
        stream.set_read_timeout(Some(PULSE_EVERY)).map_err(failed)?;
        stream.write_all(request.as_bytes()).map_err(failed)?;
        let mut bytes = [0; 512];
        loop {
            self.pulse();
            match stream.read(&mut bytes) {
                Ok(length) => return Ok(String::from_utf8_lossy(&bytes[..length]).into_owned()),
                Err(e) if e.kind() == ErrorKind::WouldBlock && start.elapsed() < READY_WITHIN => {}
                Err(e) => return Err(failed(e)),
            }
        }
    }

    /// Processor time of changes, milliseconds, in order of size.
    fn changes(&mut self, changes: &[String; 2]) -> Result<Vec<f64>, ScaleError> {
        let start = Instant::now();
        let mut taken = Vec::new();
        let quiet = self.cpu_of(None)?;
        while taken.len() < CHANGES && start.elapsed() < CHANGES_WITHIN {
            let change = &changes[taken.len() % 2];
            taken.push((self.cpu_of(Some(change))? - quiet).max(0.0));
        }
        taken.sort_by(f64::total_cmp);
        Ok(taken)
    }

    /// Processor time until a request that follows the change is answered: by then the change is taken, since answers are
    /// written at the end of the turn that reads both.
    fn cpu_of(&mut self, change: Option<&str>) -> Result<f64, ScaleError> {
        self.answer(HEALTHY)?;
        let before = self.cpu_ms()?;
        if let Some(change) = change {
            self.discovery.write(self.asked.max(1) - 1, change);
        }
        self.answer(HEALTHY)?;
        Ok(self.cpu_ms()? - before)
    }

    fn cpu_ms(&self) -> Result<f64, ScaleError> {
        let text = self.told_by_system("schedstat")?;
        let nanos = text.split_whitespace().next().and_then(|text| text.parse::<f64>().ok());
        Ok(nanos.unwrap_or(0.0) / 1e6)
    }

    fn peak_mb(&self) -> Result<f64, ScaleError> {
        let text = self.told_by_system("status")?;
        let line = text.lines().find(|line| line.starts_with("VmHWM:"));
        let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
        Ok(kib.unwrap_or(0.0) / 1024.0)
    }

    fn told_by_system(&self, what: &str) -> Result<String, ScaleError> {
        let file = format!("/proc/{}/{what}", self.process.child.id());
        std::fs::read_to_string(&file).map_err(|e| ScaleError::file(Path::new(&file), e))
    }
}
