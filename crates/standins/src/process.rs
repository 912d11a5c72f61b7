//! The program under test as a process: started on a configuration file of its own, spoken to by signals and heard by
//! its log lines. It is ended by its own id when it is dropped, also while a test unwinds.

use crate::scripted::{Client, WAIT_TIMEOUT, status};
use rustix::process::{Pid, Signal, kill_process};
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// One process of the program.
pub struct Program {
    /// The process.
    pub child: Child,
    /// Where it listens.
    pub address: SocketAddr,
    lines: Receiver<String>,
    file: PathBuf,
}

impl Program {
    /// `more` is further configuration, each part with a comma behind.
    pub fn start(program: &str, discovery: SocketAddr, more: &str, settings: &str) -> Program {
        Program::run(&mut Command::new(program), discovery, more, settings)
    }

    /// The same with a seed of its own, which all that the program draws by chance comes from.
    pub fn start_seeded(
        program: &str,
        seed: u64,
        discovery: SocketAddr,
        more: &str,
        settings: &str,
    ) -> Program {
        let text = config("127.0.0.1:0", discovery, more, seed, settings);
        let mut program = Program::spawn(&mut Command::new(program), &text).unwrap();
        program.wait_started();
        program
    }

    /// Starts a command; the rest as for `start`.
    pub fn run(command: &mut Command, discovery: SocketAddr, more: &str, settings: &str) -> Program {
        let mut program =
            Program::spawn(command, &config("127.0.0.1:0", discovery, more, SEED, settings)).unwrap();
        program.wait_started();
        program
    }

    /// Starts a command on a configuration given as text; `wait_started` tells where it listens.
    pub fn spawn(command: &mut Command, text: &str) -> std::io::Result<Program> {
        let file = config_file(text);
        let mut child = command.args(["serve", "--config"]).arg(&file).stderr(Stdio::piped()).spawn()?;
        let reader = BufReader::new(child.stderr.take().expect("standard error is piped"));
        let (tell, lines) = channel();
        std::thread::spawn(move || reader.lines().map_while(Result::ok).all(|line| tell.send(line).is_ok()));
        Ok(Program { child, address: SocketAddr::from(([127, 0, 0, 1], 0)), lines, file })
    }

    /// Waits until the program says that it started, and learns where it listens; all lines up to that.
    pub fn wait_started(&mut self) -> Vec<String> {
        let lines = self.lines_until("\"msg\":\"started\"");
        let listen = lines.last().and_then(|line| line.split("\"listen\":\"").nth(1)?.split('"').next());
        self.address = listen.and_then(|listen| listen.parse().ok()).expect("an address in the line");
        lines
    }

    /// The next log line that holds this.
    pub fn wait_for_line(&self, part: &str) -> String {
        self.lines_until(part).pop().expect("the line that was waited for")
    }

    /// The log lines up to the next one that holds this.
    pub fn lines_until(&self, part: &str) -> Vec<String> {
        let until = Instant::now() + WAIT_TIMEOUT;
        let mut lines = Vec::new();
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let line = self.lines.recv_timeout(left);
            lines.push(line.unwrap_or_else(|_| panic!("no line with {part} but {lines:#?}")));
            if lines[lines.len() - 1].contains(part) {
                return lines;
            }
        }
    }

    /// The log lines that came since the last look.
    pub fn new_lines(&self) -> Vec<String> {
        self.lines.try_iter().collect()
    }

    /// Returns once the program has dealt with all that was sent to it before.
    pub fn wait_until_processed(&self) {
        assert_eq!(status(&self.client().ask("GET /-/healthy HTTP/1.1\r\n\r\n")), 200);
    }

    /// A connection to it.
    pub fn client(&self) -> Client {
        Client::new(self.address)
    }

    /// The configuration of this program with other peers.
    pub fn config(&self, discovery: SocketAddr, more: &str, settings: &str) -> String {
        config(&self.address.to_string(), discovery, more, SEED, settings)
    }

    /// Writes its configuration file anew; it is not told.
    pub fn rewrite_config(&self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
    }

    /// Its process id.
    pub fn pid(&self) -> Option<Pid> {
        Pid::from_raw(self.child.id() as i32)
    }

    /// Sends a signal to this process, which must not have been waited for.
    pub fn send_signal(&self, signal: Signal) -> std::io::Result<()> {
        let pid = self.pid().ok_or(std::io::ErrorKind::InvalidInput)?;
        Ok(kill_process(pid, signal)?)
    }

    /// The same by the signal's usual short name, for tests.
    pub fn signal(&self, name: &str) {
        let signal = match name {
            "-TERM" => Signal::TERM,
            "-HUP" => Signal::HUP,
            "-STOP" => Signal::STOP,
            "-CONT" => Signal::CONT,
            other => panic!("no signal named {other}"),
        };
        self.send_signal(signal).unwrap();
    }

    /// Stops the process with a signal and returns once it stands still; `-CONT` lets it go on.
    pub fn pause(&self) {
        self.signal("-STOP");
        let state = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&state).unwrap().contains(" T ") {
            std::thread::yield_now();
        }
    }

    /// Holds the program inside a turn of its loop, until [`HeldTurn::resume`]: it is told to read its configuration again,
    /// from a pipe that says nothing. All that `before` brings, and timers that come due during it, are found at the begin
    /// of that turn; what comes later is not.
    pub fn hold_turn(&self, before: impl FnOnce()) -> HeldTurn<'_> {
        let text = std::fs::read_to_string(&self.file).unwrap();
        // A turn before is held, too, while the other's events and its signal gather.
        let first = self.hold_at_pipe();
        self.make_pipe();
        before();
        self.signal("-HUP");
        write_all_to(first, &text);
        HeldTurn { program: self, pipe: self.open_pipe(), text }
    }

    fn hold_at_pipe(&self) -> File {
        self.make_pipe();
        self.signal("-HUP");
        self.open_pipe()
    }

    /// Puts a new named pipe in the place of the configuration file.
    fn make_pipe(&self) {
        use rustix::fs::{CWD, FileType, Mode};
        std::fs::remove_file(&self.file).unwrap();
        rustix::fs::mknodat(CWD, &self.file, FileType::Fifo, Mode::RUSR | Mode::WUSR, 0).unwrap();
    }

    /// The writing end of the pipe, once the program has opened it to read: without blocking it can't be opened before.
    fn open_pipe(&self) -> File {
        let until = Instant::now() + WAIT_TIMEOUT;
        let nonblocking = rustix::fs::OFlags::NONBLOCK.bits() as i32;
        loop {
            match OpenOptions::new().write(true).custom_flags(nonblocking).open(&self.file) {
                Ok(pipe) => return pipe,
                Err(e) => assert!(Instant::now() < until, "the configuration is not read again: {e}"),
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Whether it has ended, and how.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

/// A program that is held inside a turn.
pub struct HeldTurn<'a> {
    program: &'a Program,
    pipe: File,
    text: String,
}

impl HeldTurn<'_> {
    /// Lets the turn go on, with the configuration as it was.
    pub fn resume(self) {
        std::fs::remove_file(&self.program.file).unwrap();
        self.program.rewrite_config(&self.text);
        write_all_to(self.pipe, &self.text);
    }
}

/// Writes a text that a pipe takes at once, and closes it.
fn write_all_to(mut pipe: File, text: &str) {
    pipe.write_all(text.as_bytes()).unwrap();
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// The seed of whoever needs none in particular.
const SEED: u64 = 0x8c1f_30d2_7a5b_e964;

fn config(listen: &str, discovery: SocketAddr, more: &str, seed: u64, settings: &str) -> String {
    format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",{more}\
         \"seed\":\"{seed:016x}\",\"settings\":{settings}}}"
    )
}

/// A file of its own with this text.
pub fn config_file(text: &str) -> PathBuf {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let file = std::env::temp_dir().join(format!("martenramp-{}-{number}.json", std::process::id()));
    std::fs::write(&file, text).unwrap();
    file
}
