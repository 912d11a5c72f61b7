//! Prints the cost of discovery's list at one of 5,800 gateways, with 170,000 servers in 7,100 services of which the
//! gateway is asked for 64: `cargo bench --bench membership_figures`. Times are means over the events; bytes are the
//! heap memory that the decision module holds.

use martenramp::admission::AdmissionController;
use martenramp::host::{Arrival, DiscoveredServer, Host, Nanos, Settings};
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

const GATEWAYS: usize = 5_800;
const SERVERS: u32 = 170_000;
const SERVICES: u32 = 7_100;
const ZONES: u32 = 9;
const REQUESTED_SERVICES: u32 = 64;
const CHANGES: u32 = 640;
const NOW: Nanos = 1_000_000_000_000;

/// Allocator that counts the bytes currently allocated.
struct CountingAllocator;

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is forwarded unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Host that ignores every request of the decision module.
struct NullHost;

impl Host for NullHost {
    fn send_attempt(&mut self, _rpc: u32, _server: u32, _limit: Nanos, _before: Nanos) {}
    fn reject(&mut self, _rpc: u32, _retry_after: Nanos) {}
    fn abort(&mut self, _rpc: u32) {}
    fn set_timer(&mut self, _after: Nanos, _token: u32) {}
    fn add_to_counter(&mut self, _name: u64, _amount: f64, _expire_after: Nanos) {}
}

fn listed_server(server: u32) -> DiscoveredServer {
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

/// Runs `run` and prints its mean time per event and the growth of allocated memory.
fn measure(name: &str, count: u32, run: impl FnOnce()) {
    let (allocated, started) = (ALLOCATED.load(Ordering::Relaxed), Instant::now());
    run();
    let mean_ms = started.elapsed().as_secs_f64() * 1e3 / f64::from(count);
    let growth = ALLOCATED.load(Ordering::Relaxed) as f64 - allocated as f64;
    println!("{name:40} {mean_ms:10.4} ms each of {count:6}, {:10.1} KB more allocated", growth / 1e3);
}

/// Removes a server from the list and adds it again: two changes.
fn remove_and_add(controller: &mut AdmissionController, server: u32) {
    controller.on_server_list(NOW, false, &[DiscoveredServer { ready: false, ..listed_server(server) }]);
    controller.on_server_list(NOW, false, &[listed_server(server)]);
}

fn main() {
    let settings = [("me", "17".to_string()), ("balancers", GATEWAYS.to_string())];
    let settings: Settings = settings.into_iter().map(|(name, value)| (name.to_string(), value)).collect();
    let mut controller = AdmissionController::new(1, settings);
    let list: Vec<DiscoveredServer> = (0..SERVERS).map(listed_server).collect();
    measure("whole list", 1, || controller.on_server_list(NOW, true, &list));
    measure("first request for a service", REQUESTED_SERVICES, || {
        for service in 1..=REQUESTED_SERVICES {
            let arrival =
                Arrival { id: service, service, deadline: NOW, gateway_count: 1, ..Arrival::default() };
            controller.on_arrival(&mut NullHost, NOW, &arrival);
        }
    });
    measure("one change, service requested", 2 * CHANGES, || {
        (0..CHANGES).for_each(|index| remove_and_add(&mut controller, 1 + index % REQUESTED_SERVICES));
    });
    measure("one change, service not requested", 2 * CHANGES, || {
        (0..CHANGES).for_each(|index| remove_and_add(&mut controller, 1 + REQUESTED_SERVICES + index));
    });
    let zone: Vec<DiscoveredServer> = list.iter().filter(|server| server.zone == 2).cloned().collect();
    let removed: Vec<DiscoveredServer> =
        zone.iter().map(|server| DiscoveredServer { ready: false, ..server.clone() }).collect();
    println!("servers per zone: {}", zone.len());
    measure("zone removed", 1, || controller.on_server_list(NOW, false, &removed));
    measure("zone added again, cold", 1, || {
        let cold: Vec<DiscoveredServer> =
            zone.iter().map(|server| DiscoveredServer { started_at: NOW, ..server.clone() }).collect();
        controller.on_server_list(NOW, false, &cold);
    });
    measure("whole list again", 1, || controller.on_server_list(NOW, true, &list));
}
