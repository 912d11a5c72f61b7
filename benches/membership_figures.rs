//! What the list costs one gateway of 5,800 before 170,000 servers in 7,100 services of which it meets 64, printed:
//! `cargo bench --bench membership_figures`. Times are the mean of so many events, bytes those held by the decision module.

use martenramp::admission::AdmissionController;
use martenramp::host::{Arrival, DiscoveredServer, Host, Nanos, Settings};
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
    fn send_attempt(&mut self, _rpc: u32, _server: u32, _limit: Nanos, _before: Nanos) {}
    fn reject(&mut self, _rpc: u32, _come_back: Nanos) {}
    fn abort(&mut self, _rpc: u32) {}
    fn set_timer(&mut self, _after: Nanos, _token: u32) {}
    fn add_to_counter(&mut self, _name: u64, _add: f64, _forget: Nanos) {}
}

fn entry(server: u32) -> DiscoveredServer {
    DiscoveredServer {
        server,
        service: server % SERVICES,
        key: martenramp::subsetting::key(&format!("s{server:06}")),
        zone: (server / SERVICES % ZONES) as u16,
        ready: true,
        weight: 1.0,
        ..DiscoveredServer::default()
    }
}

fn report(name: &str, count: u32, run: impl FnOnce()) {
    let (held, started) = (HELD.load(Ordering::Relaxed), Instant::now());
    run();
    let each = started.elapsed().as_secs_f64() * 1e3 / f64::from(count);
    let grown = HELD.load(Ordering::Relaxed) as f64 - held as f64;
    println!("{name:40} {each:10.4} ms each of {count:6}, {:10.1} KB more held", grown / 1e3);
}

fn change(brain: &mut AdmissionController, server: u32) {
    brain.on_server_list(NOW, false, &[DiscoveredServer { ready: false, ..entry(server) }]);
    brain.on_server_list(NOW, false, &[entry(server)]);
}

fn main() {
    let settings = [("me", "17".to_string()), ("balancers", FLEET.to_string())];
    let settings: Settings = settings.into_iter().map(|(name, value)| (name.to_string(), value)).collect();
    let mut brain = AdmissionController::new(1, settings);
    let list: Vec<DiscoveredServer> = (0..SERVERS).map(entry).collect();
    report("whole list", 1, || brain.on_server_list(NOW, true, &list));
    report("a service asked for first", MET, || {
        for service in 1..=MET {
            let arrival =
                Arrival { id: service, service, deadline: NOW, gateway_count: 1, ..Arrival::default() };
            brain.on_arrival(&mut Silent, NOW, &arrival);
        }
    });
    report("one change, service met", 2 * CHANGES, || {
        (0..CHANGES).for_each(|at| change(&mut brain, 1 + at % MET));
    });
    report("one change, service not met", 2 * CHANGES, || {
        (0..CHANGES).for_each(|at| change(&mut brain, 1 + MET + at));
    });
    let zone: Vec<DiscoveredServer> = list.iter().filter(|at| at.zone == 2).cloned().collect();
    let gone: Vec<DiscoveredServer> =
        zone.iter().map(|at| DiscoveredServer { ready: false, ..at.clone() }).collect();
    println!("a zone has {} servers", zone.len());
    report("a zone gone", 1, || brain.on_server_list(NOW, false, &gone));
    report("a zone back, cold", 1, || {
        let cold: Vec<DiscoveredServer> =
            zone.iter().map(|at| DiscoveredServer { started_at: NOW, ..at.clone() }).collect();
        brain.on_server_list(NOW, false, &cold);
    });
    report("the whole list again", 1, || brain.on_server_list(NOW, true, &list));
}
