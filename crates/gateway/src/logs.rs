//! Log lines (JSON, by slog) wait in a bounded buffer until standard error can take them.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use slog::{Drain, Logger, o};
use std::cell::RefCell;
use std::io::{self, Write};
use std::rc::Rc;
use std::sync::Mutex;

/// What waits at most, and how much goes out at once: a pipe that polls as writable takes so much whole.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
const WRITE_SIZE: usize = 4096;

#[derive(Default)]
struct Buffer {
    bytes: Vec<u8>,
    lost_lines: u64,
}

/// Guards against a full or forgotten log pipe: what it does not take is dropped line by line and counted,
/// and the loop never stands still for it. Harm: lines are lost while the reader is slow.
#[derive(Clone, Default)]
pub struct LogBuffer(Rc<RefCell<Buffer>>);

struct LineWriter(LogBuffer, RefCell<Vec<u8>>);

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.1.get_mut().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let line = std::mem::take(self.1.get_mut());
        self.0.push_line(&line);
        Ok(())
    }
}

impl LogBuffer {
    pub fn logger(&self, name: &str) -> Logger {
        let line = LineWriter(self.clone(), RefCell::default());
        let json = slog_json::Json::new(line).set_flush(true).add_default_keys().build();
        Logger::root(Mutex::new(json).ignore_res(), o!("gateway" => name.to_string()))
    }

    fn push_line(&self, line: &[u8]) {
        let mut waiting = self.0.borrow_mut();
        if waiting.bytes.len() + line.len() > MAX_BUFFERED_BYTES {
            waiting.lost_lines += 1;
        } else {
            waiting.bytes.extend_from_slice(line);
        }
    }

    pub fn is_empty(&self) -> bool {
        self.0.borrow().bytes.is_empty()
    }

    /// Writes what standard error takes now; whatever it can't take stays or, if it is gone, goes.
    pub fn write_pending(&self) {
        let mut waiting = self.0.borrow_mut();
        let out = rustix::stdio::stderr();
        while !waiting.bytes.is_empty() {
            let mut ready = [PollFd::new(&out, PollFlags::OUT)];
            if !poll(&mut ready, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })).is_ok_and(|count| count > 0) {
                return;
            }
            let some = waiting.bytes.len().min(WRITE_SIZE);
            match io::stderr().write(&waiting.bytes[..some]) {
                Ok(written) => drop(waiting.bytes.drain(..written)),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock || e.kind() == io::ErrorKind::Interrupted => {
                    return;
                }
                Err(_) => return waiting.bytes.clear(),
            }
            if waiting.lost_lines > 0 && waiting.bytes.is_empty() {
                let text = format!("{{\"msg\":\"log lines lost\",\"count\":{}}}\n", waiting.lost_lines);
                waiting.bytes.extend_from_slice(text.as_bytes());
                waiting.lost_lines = 0;
            }
        }
    }
}
