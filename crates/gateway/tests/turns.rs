//! The driver's turns, with something else than the gateway to turn: what one connection can take of them.

use gateway::driver::{Driver, EventHandler, Net};
use gateway::logs::LogBuffer;
use martenramp::host::Nanos;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

const MOST: usize = 64 << 10;
const FLOODS: usize = 4;
const FLOOD: usize = 8 << 20;
const MS: Nanos = 1_000_000;

/// Takes all that comes and notes how much each connection had of a turn, and how often its timer rang.
struct Taker {
    net: Net,
    turn: BTreeMap<usize, usize>,
    most: usize,
    turns: usize,
    rings: usize,
    due_at: Nanos,
    taken: usize,
    /// Of each connection, all its turns together.
    flooded: BTreeMap<usize, usize>,
    left: usize,
    /// How long the start takes, and how late the first turn takes itself to be.
    start_takes: Duration,
    first_late: Option<Nanos>,
}

impl EventHandler for Taker {
    fn net(&mut self) -> &mut Net {
        &mut self.net
    }
    fn start(&mut self, now: Nanos) {
        std::thread::sleep(self.start_takes);
        self.due_at = now + self.start_takes.as_nanos() as Nanos + MS;
    }
    fn turn_started(&mut self) {
        self.first_late.get_or_insert(self.net.input_delay);
        self.turns += 1;
        self.turn.clear();
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
        self.left == 0
    }
    fn can_accept(&mut self) -> bool {
        true
    }
    fn max_client_input(&self) -> usize {
        MOST
    }
    fn accepted(&mut self, _: usize) {}
    fn retry_accept_later(&mut self) {}
    fn free_descriptor(&mut self) -> bool {
        false
    }
    fn connected(&mut self, _: usize) {}
    fn output_written(&mut self, _: usize) {}
    fn input_received(&mut self, id: usize) {
        let got = self.net.input(id).len();
        self.net.consume(id, got);
        self.taken += got;
        let had = self.turn.entry(id).or_default();
        *had += got;
        self.most = self.most.max(*had);
        let flooded = self.flooded.entry(id).or_default();
        *flooded += got;
        if *flooded == FLOOD || self.net.connection_end(id).is_some() {
            self.flooded.remove(&id);
            self.net.close(id);
            self.left -= 1;
        }
    }
    fn run_due_timers(&mut self) -> bool {
        if self.net.now >= self.due_at {
            self.rings += 1;
            self.due_at = self.net.now + MS;
        }
        false
    }
    fn process_pending(&mut self) {}
    fn write_attempts(&mut self) {}
}

/// Some clients send megabytes as fast as they can, and stay until they are sent away: one that goes while its buffer is
/// full has gone, and what it sent last is not read.
fn flooded(start_takes: Duration) -> Taker {
    let (driver, net, address) = Driver::new("127.0.0.1:0".parse().unwrap()).unwrap();
    let floods: Vec<_> = (0..FLOODS)
        .map(|_| {
            std::thread::spawn(move || {
                let mut client = TcpStream::connect(address).unwrap();
                let _ = client.write_all(&vec![b'x'; FLOOD]);
                let _ = client.read(&mut [0]);
            })
        })
        .collect();
    let (turn, flooded) = (BTreeMap::new(), BTreeMap::new());
    let mut taker = Taker {
        net,
        turn,
        most: 0,
        turns: 0,
        rings: 0,
        due_at: 0,
        taken: 0,
        flooded,
        left: FLOODS,
        start_takes,
        first_late: None,
    };
    driver.run(&mut taker, &LogBuffer::default()).unwrap();
    floods.into_iter().for_each(|flood| flood.join().unwrap());
    taker
}

#[test]
fn a_flood_has_no_more_than_two_buffers_of_a_turn_and_the_timer_rings_on() {
    let taker = flooded(Duration::ZERO);
    assert_eq!(taker.taken, FLOODS * FLOOD, "nothing is lost on the way");
    // One for the event, one for what was resumed.
    assert!(taker.most <= 2 * MOST, "{} bytes of one connection in a turn", taker.most);
    assert!(taker.turns >= FLOOD / (2 * MOST) && taker.rings > 0, "{} turns", taker.turns);
}

#[test]
fn what_waited_while_the_process_started_counts_as_that_old() {
    let start_takes = Duration::from_millis(300);
    let late = flooded(start_takes).first_late.expect("a turn");
    assert!(late >= start_takes.as_nanos() as Nanos, "{late} ns");
}
