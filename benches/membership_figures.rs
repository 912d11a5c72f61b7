//! What the list costs one gateway of 5,800 before 170,000 servers in 7,100 services of which it meets 64, printed:
//! `cargo bench --bench membership_figures`. Times are the mean of so many events, bytes those held by the decision module.

use martenramp::admission::Brain;
use martenramp::host::{Arrival, Host, Listed, Nanos, Settings};
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

const FLEET: usize = 5_800;
const SERVERS: u32 = 170_000;
const SERVICES: u32 = 7_100;
const ZONES: u32 = 9;
const MET: u32 = 64;
const CHANGES: u32 = 640;
const NOW: Nanos = 1_000_000_000_000;

/// Counts the bytes held.
struct Counting;

static HELD: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call goes to the system's allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        HELD.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

struct Silent;

impl Host for Silent {
    fn call_out(&mut self, _rpc: u32, _server: u32, _limit: Nanos, _before: Nanos) {}
    fn push_back(&mut self, _rpc: u32, _come_back: Nanos) {}
    fn abort(&mut self, _rpc: u32) {}
    fn wake(&mut self, _after: Nanos, _token: u32) {}
    fn count(&mut self, _name: u64, _add: f64, _forget: Nanos) {}
}

fn entry(server: u32) -> Listed {
    Listed {
        server,
        service: server % SERVICES,
        key: martenramp::subsetting::key(&format!("s{server:06}")),
        zone: (server / SERVICES % ZONES) as u16,
        ready: true,
        weight: 1.0,
        ..Listed::default()
    }
}

fn report(name: &str, count: u32, run: impl FnOnce()) {
    let (held, started) = (HELD.load(Ordering::Relaxed), Instant::now());
    run();
    let each = started.elapsed().as_secs_f64() * 1e3 / f64::from(count);
    let grown = HELD.load(Ordering::Relaxed) as f64 - held as f64;
    println!("{name:40} {each:10.4} ms each of {count:6}, {:10.1} KB more held", grown / 1e3);
}

fn change(brain: &mut Brain, server: u32) {
    brain.listed(NOW, false, &[Listed { ready: false, ..entry(server) }]);
    brain.listed(NOW, false, &[entry(server)]);
}

fn main() {
    let settings = [("me", "17".to_string()), ("balancers", FLEET.to_string())];
    let settings: Settings = settings.into_iter().map(|(name, value)| (name.to_string(), value)).collect();
    let mut brain = Brain::new(1, settings);
    let list: Vec<Listed> = (0..SERVERS).map(entry).collect();
    report("whole list", 1, || brain.listed(NOW, true, &list));
    report("a service asked for first", MET, || {
        for service in 1..=MET {
            let arrival = Arrival { id: service, service, deadline: NOW, width: 1, ..Arrival::default() };
            brain.rpc(&mut Silent, NOW, &arrival);
        }
    });
    report("one change, service met", 2 * CHANGES, || {
        (0..CHANGES).for_each(|at| change(&mut brain, 1 + at % MET));
    });
    report("one change, service not met", 2 * CHANGES, || {
        (0..CHANGES).for_each(|at| change(&mut brain, 1 + MET + at));
    });
    let zone: Vec<Listed> = list.iter().filter(|at| at.zone == 2).cloned().collect();
    let gone: Vec<Listed> = zone.iter().map(|at| Listed { ready: false, ..at.clone() }).collect();
    println!("a zone has {} servers", zone.len());
    report("a zone gone", 1, || brain.listed(NOW, false, &gone));
    report("a zone back, cold", 1, || {
        let cold: Vec<Listed> = zone.iter().map(|at| Listed { came_up: NOW, ..at.clone() }).collect();
        brain.listed(NOW, false, &cold);
    });
    report("the whole list again", 1, || brain.listed(NOW, true, &list));
}
