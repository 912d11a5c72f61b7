//! Buffers log lines (JSON, written by slog) in bounded memory until standard error takes them.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use slog::{Drain, Logger, o};
use std::cell::RefCell;
use std::io::{self, Write};
use std::rc::Rc;
use std::sync::Mutex;

/// Limit on buffered bytes, and size of one write: a pipe that polls as writable takes this much
/// without blocking.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
const WRITE_SIZE: usize = 4096;

#[derive(Default)]
struct Buffer {
    bytes: Vec<u8>,
    /// Lines dropped since the last report of lost lines.
    lost_lines: u64,
}

/// Log output that never blocks the event loop. If the reader of the log pipe is slow or gone,
/// whole lines are dropped and counted. Trade-off: lines are lost while the reader is slow.
#[derive(Clone, Default)]
pub struct LogBuffer(Rc<RefCell<Buffer>>);

/// Collects the output of one log record and passes it on as a line.
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
    /// Creates a logger that writes to this buffer and names the gateway in each line.
    pub fn logger(&self, name: &str) -> Logger {
        let writer = LineWriter(self.clone(), RefCell::default());
        let json = slog_json::Json::new(writer).set_flush(true).add_default_keys().build();
        Logger::root(Mutex::new(json).ignore_res(), o!("gateway" => name.to_string()))
    }

    fn push_line(&self, line: &[u8]) {
        let mut buffer = self.0.borrow_mut();
        if buffer.bytes.len() + line.len() > MAX_BUFFERED_BYTES {
            buffer.lost_lines += 1;
        } else {
            buffer.bytes.extend_from_slice(line);
        }
    }

    pub fn is_empty(&self) -> bool {
        self.0.borrow().bytes.is_empty()
    }

    /// Writes as much as standard error takes now. The rest stays in the buffer, or is dropped if
    /// standard error is closed.
    pub fn write_pending(&self) {
        let mut buffer = self.0.borrow_mut();
        let stderr = rustix::stdio::stderr();
        while !buffer.bytes.is_empty() {
            let mut ready = [PollFd::new(&stderr, PollFlags::OUT)];
            if !poll(&mut ready, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })).is_ok_and(|count| count > 0) {
                return;
            }
            let length = buffer.bytes.len().min(WRITE_SIZE);
            match io::stderr().write(&buffer.bytes[..length]) {
                Ok(written) => drop(buffer.bytes.drain(..written)),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock || e.kind() == io::ErrorKind::Interrupted => {
                    return;
                }
                Err(_) => return buffer.bytes.clear(),
            }
            if buffer.lost_lines > 0 && buffer.bytes.is_empty() {
                let text = format!("{{\"msg\":\"log lines lost\",\"count\":{}}}\n", buffer.lost_lines);
                buffer.bytes.extend_from_slice(text.as_bytes());
                buffer.lost_lines = 0;
            }
        }
    }
}
