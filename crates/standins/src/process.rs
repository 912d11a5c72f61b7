//! Runs the program under test as a process with a configuration file of its own, controls it by signals, and
//! reads its log lines. The process is killed when its [`Program`] is dropped, even if a test panics.

use crate::scripted::{Client, WAIT_TIMEOUT, status};
use rustix::process::{Pid, PidfdFlags, Signal, kill_process, pidfd_open, pidfd_send_signal};
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::os::unix::fs::OpenOptionsExt;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// Process of the program under test.
pub struct Program {
    /// Child process.
    pub child: Child,
    /// Address that it listens on, once it has started.
    pub address: SocketAddr,
    lines: Receiver<String>,
    file: PathBuf,
}

impl Program {
    /// Starts the program and waits until it listens. `more` has additional configuration fields, each
    /// followed by a comma.
    pub fn start(program: &str, discovery: SocketAddr, more: &str, settings: &str) -> Program {
        Program::run(&mut Command::new(program), discovery, more, settings)
    }

    /// Like [`Program::start`], with a given seed for all random choices of the program.
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

    /// Like [`Program::start`], for a command.
    pub fn run(command: &mut Command, discovery: SocketAddr, more: &str, settings: &str) -> Program {
        let mut program =
            Program::spawn(command, &config("127.0.0.1:0", discovery, more, SEED, settings)).unwrap();
        program.wait_started();
        program
    }

    /// Starts a command with a configuration given as text, and doesn't wait; `wait_started` finds out its address.
    pub fn spawn(command: &mut Command, text: &str) -> std::io::Result<Program> {
        let file = config_file(text);
        let mut child = command.args(["serve", "--config"]).arg(&file).stderr(Stdio::piped()).spawn()?;
        let reader = BufReader::new(child.stderr.take().expect("standard error is piped"));
        let (line_sender, lines) = channel();
        std::thread::spawn(move || {
            reader.lines().map_while(Result::ok).all(|line| line_sender.send(line).is_ok())
        });
        Ok(Program { child, address: SocketAddr::from(([127, 0, 0, 1], 0)), lines, file })
    }

    /// Waits for the log line `started` and reads the address from it; returns all lines up to it.
    pub fn wait_started(&mut self) -> Vec<String> {
        let lines = self.lines_until("\"msg\":\"started\"");
        let listen = lines.last().and_then(|line| line.split("\"listen\":\"").nth(1)?.split('"').next());
        self.address = listen.and_then(|listen| listen.parse().ok()).expect("an address in the line");
        lines
    }

    /// Waits for the next log line that contains `part`.
    pub fn wait_for_line(&self, part: &str) -> String {
        self.lines_until(part).pop().expect("lines_until returns at least one line")
    }

    /// Waits for the next log line that contains `part`; returns all lines up to it.
    pub fn lines_until(&self, part: &str) -> Vec<String> {
        let until = Instant::now() + WAIT_TIMEOUT;
        let mut lines = Vec::new();
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let line = self.lines.recv_timeout(left);
            lines.push(line.unwrap_or_else(|_| panic!("no log line with {part} among {lines:#?}")));
            if lines[lines.len() - 1].contains(part) {
                return lines;
            }
        }
    }

    /// Log lines that arrived since the last call that read some, without waiting.
    pub fn new_lines(&self) -> Vec<String> {
        self.lines.try_iter().collect()
    }

    /// Returns once the program has processed everything sent to it before: it answers a health check after that.
    pub fn wait_until_processed(&self) {
        assert_eq!(status(&self.client().ask("GET /-/healthy HTTP/1.1\r\n\r\n")), 200);
    }

    /// Opens a connection to the program.
    pub fn client(&self) -> Client {
        Client::new(self.address)
    }

    /// Configuration for this program's address, with another discovery address, fields and settings.
    pub fn config(&self, discovery: SocketAddr, more: &str, settings: &str) -> String {
        config(&self.address.to_string(), discovery, more, SEED, settings)
    }

    /// Replaces the configuration file; the program reads it only after a SIGHUP.
    pub fn rewrite_config(&self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
    }

    /// Process id.
    pub fn pid(&self) -> Option<Pid> {
        Pid::from_raw(self.child.id() as i32)
    }

    /// A descriptor of the process that stays valid after its exit.
    pub fn pidfd(&self) -> Option<OwnedFd> {
        pidfd_open(self.pid()?, PidfdFlags::empty()).ok()
    }

    /// Sends a signal to the process, which must not have been waited for.
    pub fn send_signal(&self, signal: Signal) -> std::io::Result<()> {
        let pid = self.pid().ok_or(std::io::ErrorKind::InvalidInput)?;
        Ok(kill_process(pid, signal)?)
    }

    /// Like [`Program::send_signal`], with the option of `kill` as the signal's name.
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

    /// Stops the process by SIGSTOP and returns once it is stopped; `-CONT` resumes it.
    pub fn pause(&self) {
        self.signal("-STOP");
        let state = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&state).unwrap().contains(" T ") {
            std::thread::yield_now();
        }
    }

    /// Blocks the program within a turn of its event loop until [`HeldTurn::resume`], by a reload of its
    /// configuration from a pipe without data. At the start of that turn the program sees all events that
    /// `before` causes and the timers that expire meanwhile; it sees later ones only after it.
    pub fn hold_turn(&self, before: impl FnOnce()) -> HeldTurn<'_> {
        let text = std::fs::read_to_string(&self.file).unwrap();
        // The preceding turn is blocked as well, while the events and the signal for the next one accumulate.
        let first = self.hold_at_pipe();
        self.make_pipe();
        before();
        self.signal("-HUP");
        write_all_to(first, &text);
        HeldTurn { program: self, pipe: self.open_pipe(), text }
    }

    /// Blocks the program in a reload of its configuration and returns the writing end of the pipe.
    fn hold_at_pipe(&self) -> File {
        self.make_pipe();
        self.signal("-HUP");
        self.open_pipe()
    }

    /// Replaces the configuration file by a new named pipe.
    fn make_pipe(&self) {
        use rustix::fs::{CWD, FileType, Mode};
        std::fs::remove_file(&self.file).unwrap();
        rustix::fs::mknodat(CWD, &self.file, FileType::Fifo, Mode::RUSR | Mode::WUSR, 0).unwrap();
    }

    /// Opens the pipe for writing, once the program has opened it for reading; a non-blocking open fails until then.
    fn open_pipe(&self) -> File {
        let until = Instant::now() + WAIT_TIMEOUT;
        let nonblocking = rustix::fs::OFlags::NONBLOCK.bits() as i32;
        loop {
            match OpenOptions::new().write(true).custom_flags(nonblocking).open(&self.file) {
                Ok(pipe) => return pipe,
                Err(e) => {
                    assert!(Instant::now() < until, "the program doesn't reload its configuration: {e}")
                }
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Exit status, or `None` if the process is running.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

/// Period of throttling: a throttled process runs for its share of each period and is stopped for the rest.
const THROTTLE_PERIOD: Duration = Duration::from_millis(10);

/// Lets processes run only for a share of each [`THROTTLE_PERIOD`], from a thread of its own, for as long as `is_wanted` says
/// so. Processes are addressed by pidfd, because the pid of one that has exited may have been reused.
pub fn throttle(processes: Vec<OwnedFd>, core_share: f64, is_wanted: impl Fn() -> bool + Send + 'static) {
    let run_time = THROTTLE_PERIOD.mul_f64(core_share.clamp(0.0, 1.0));
    let signal_all = move |signal| {
        for process in &processes {
            let _ = pidfd_send_signal(process, signal);
        }
    };
    std::thread::spawn(move || {
        while is_wanted() {
            signal_all(Signal::STOP);
            std::thread::sleep(THROTTLE_PERIOD - run_time);
            signal_all(Signal::CONT);
            std::thread::sleep(run_time);
        }
    });
}

/// Program that is blocked within a turn of its event loop.
pub struct HeldTurn<'a> {
    program: &'a Program,
    pipe: File,
    text: String,
}

impl HeldTurn<'_> {
    /// Completes the reload with the unchanged configuration, and so resumes the turn.
    pub fn resume(self) {
        std::fs::remove_file(&self.program.file).unwrap();
        self.program.rewrite_config(&self.text);
        write_all_to(self.pipe, &self.text);
    }
}

/// Writes a text to a pipe and closes it. The text has to fit in the pipe's buffer.
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

/// Seed of programs that need no particular one.
const SEED: u64 = 0x8c1f_30d2_7a5b_e964;

fn config(listen: &str, discovery: SocketAddr, more: &str, seed: u64, settings: &str) -> String {
    format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",{more}\
         \"seed\":\"{seed:016x}\",\"settings\":{settings}}}"
    )
}

/// Writes a text to a new temporary file.
pub fn config_file(text: &str) -> PathBuf {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let file = std::env::temp_dir().join(format!("martenramp-{}-{number}.json", std::process::id()));
    std::fs::write(&file, text).unwrap();
    file
}
