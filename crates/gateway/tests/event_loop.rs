//! Turns of the driver's event loop, run with a test handler: how much of a turn one connection can use.

use gateway::driver::{Driver, EventHandler, Net};
use gateway::logs::LogBuffer;
use martenramp::host::Nanos;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

const MAX_INPUT: usize = 64 << 10;
const SENDERS: usize = 4;
const FLOOD_BYTES: usize = 8 << 20;
const MS: Nanos = 1_000_000;

/// An event handler that consumes all input and records how many bytes each connection delivered per turn, and how
/// often its timer fired.
struct RecordingHandler {
    net: Net,
    turn_bytes: BTreeMap<usize, usize>,
    max_turn_bytes: usize,
    turns: usize,
    timer_fires: usize,
    due_at: Nanos,
    received: usize,
    /// Bytes received per connection over all turns.
    total_bytes: BTreeMap<usize, usize>,
    open_senders: usize,
    /// How long [`EventHandler::start`] takes.
    start_duration: Duration,
    /// The input delay that the first turn reported.
    first_input_delay: Option<Nanos>,
}

impl EventHandler for RecordingHandler {
    fn net(&mut self) -> &mut Net {
        &mut self.net
    }
    fn start(&mut self, now: Nanos) {
        std::thread::sleep(self.start_duration);
        self.due_at = now + self.start_duration.as_nanos() as Nanos + MS;
    }
    fn turn_started(&mut self) {
        self.first_input_delay.get_or_insert(self.net.input_delay);
        self.turns += 1;
        self.turn_bytes.clear();
    }
    fn datagram_received(&mut self, _: &[u8]) {}
    fn next_timer(&mut self) -> Option<Nanos> {
        Some(self.due_at)
    }
    fn stop(&mut self) {}
    fn reload(&mut self) {}
    fn is_listening(&self) -> bool {
        true
    }
    fn is_finished(&self) -> bool {
        self.open_senders == 0
    }
    fn can_accept(&mut self) -> bool {
        true
    }
    fn max_client_input(&self) -> usize {
        MAX_INPUT
    }
    fn accepted(&mut self, _: usize) {}
    fn retry_accept_later(&mut self) {}
    fn free_descriptor(&mut self) -> bool {
        false
    }
    fn connected(&mut self, _: usize) {}
    fn output_written(&mut self, _: usize) {}
    fn input_received(&mut self, id: usize) {
        let length = self.net.input(id).len();
        self.net.consume(id, length);
        self.received += length;
        let in_turn = self.turn_bytes.entry(id).or_default();
        *in_turn += length;
        self.max_turn_bytes = self.max_turn_bytes.max(*in_turn);
        let total = self.total_bytes.entry(id).or_default();
        *total += length;
        if *total == FLOOD_BYTES || self.net.connection_end(id).is_some() {
            self.total_bytes.remove(&id);
            self.net.close(id);
            self.open_senders -= 1;
        }
    }
    fn run_due_timers(&mut self) -> bool {
        if self.net.now >= self.due_at {
            self.timer_fires += 1;
            self.due_at = self.net.now + MS;
        }
        false
    }
    fn process_pending(&mut self) {}
    fn write_attempts(&mut self) {}
}

/// Runs the driver while several clients send megabytes as fast as they can. The clients stay until the server closes
/// their connection: when a client closes while its buffer is full, its last bytes are not read.
fn run_flood(start_duration: Duration) -> RecordingHandler {
    let (driver, net, address) = Driver::new("127.0.0.1:0".parse().unwrap()).unwrap();
    let senders: Vec<_> = (0..SENDERS)
        .map(|_| {
            std::thread::spawn(move || {
                let mut client = TcpStream::connect(address).unwrap();
                let _ = client.write_all(&vec![b'x'; FLOOD_BYTES]);
                let _ = client.read(&mut [0]);
            })
        })
        .collect();
    let (turn_bytes, total_bytes) = (BTreeMap::new(), BTreeMap::new());
    let mut handler = RecordingHandler {
        net,
        turn_bytes,
        max_turn_bytes: 0,
        turns: 0,
        timer_fires: 0,
        due_at: 0,
        received: 0,
        total_bytes,
        open_senders: SENDERS,
        start_duration,
        first_input_delay: None,
    };
    driver.run(&mut handler, &LogBuffer::default()).unwrap();
    senders.into_iter().for_each(|sender| sender.join().unwrap());
    handler
}

#[test]
fn flooding_connection_gets_two_buffers_per_turn_and_the_timer_keeps_firing() {
    let run = run_flood(Duration::ZERO);
    assert_eq!(run.received, SENDERS * FLOOD_BYTES, "no bytes are lost");
    // One buffer for the event and one for the resumed read.
    assert!(
        run.max_turn_bytes <= 2 * MAX_INPUT,
        "{} bytes of one connection in one turn",
        run.max_turn_bytes
    );
    assert!(run.turns >= FLOOD_BYTES / (2 * MAX_INPUT) && run.timer_fires > 0, "{} turns", run.turns);
}

#[test]
fn input_that_waited_during_startup_counts_as_that_old() {
    let start_duration = Duration::from_millis(300);
    let input_delay = run_flood(start_duration).first_input_delay.expect("at least one turn");
    assert!(input_delay >= start_duration.as_nanos() as Nanos, "{input_delay} ns");
}
