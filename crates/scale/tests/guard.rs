//! Guards the growth of costs by counts of allocations, bytes and messages at two sizes. Counts, unlike times, are the
//! same in every run.

use scale::ScaleError;
use scale::alloc::CountingAllocator;
use scale::deployment::{encode_chunk, full_list};
use scale::measure::{Figures, Operation, measure};
use scale::replica::parse_watch_within;
use scale::slopes::{agreement, counter, list, rpcs, settings, tenants};
use std::time::Duration;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

type Prepare = fn(u64) -> Result<Operation, ScaleError>;
type Figure = fn(&Figures) -> f64;

const ALLOCATIONS: Figure = |figures| figures.allocations;
const ALLOCATED: Figure = |figures| figures.allocated_bytes;
const LIVE_AT_REST: Figure = |figures| figures.rest_bytes;
const PEAK: Figure = |figures| figures.peak_bytes;
const SENT: Figure = |figures| figures.sent_messages;
const RECEIVED: Figure = |figures| figures.received_bytes;

/// Limits on the exponent of a constant cost and of a proportional cost. The margins allow for tables that grow by
/// doubling and for a constant part.
const CONSTANT: f64 = 0.1;
const PROPORTIONAL: f64 = 1.1;

/// A limit on the exponent by which a count grows from the smaller size to the larger.
struct Guard {
    name: &'static str,
    sizes: [u64; 2],
    figure: Figure,
    max_exponent: f64,
    prepare: Prepare,
}

/// The growth of the cost of one list change: the current limit on its exponent, and the target. Tighten `limit` to
/// `target` once a gateway computes only its own subset.
struct ChangeGuard {
    name: &'static str,
    sizes: [u64; 2],
    figure: Figure,
    limit: f64,
    target: f64,
    prepare: Prepare,
}

const FIXED_FLEET: usize = 24;
const FIXED_SERVERS: usize = 60;

const CHANGE_GUARDS: [ChangeGuard; 6] = [
    ChangeGuard {
        name: "allocations by servers",
        sizes: [60, 480],
        figure: ALLOCATIONS,
        limit: PROPORTIONAL,
        target: CONSTANT,
        prepare: |servers| list::apply_one_change(servers as usize, FIXED_FLEET),
    },
    ChangeGuard {
        name: "bytes allocated by servers",
        sizes: [60, 480],
        figure: ALLOCATED,
        limit: PROPORTIONAL,
        target: CONSTANT,
        prepare: |servers| list::apply_one_change(servers as usize, FIXED_FLEET),
    },
    ChangeGuard {
        name: "bytes held at the peak by servers",
        sizes: [60, 480],
        figure: PEAK,
        limit: PROPORTIONAL,
        target: PROPORTIONAL,
        prepare: |servers| list::apply_one_change(servers as usize, FIXED_FLEET),
    },
    ChangeGuard {
        name: "allocations by fleet",
        sizes: [600, 4800],
        figure: ALLOCATIONS,
        limit: PROPORTIONAL,
        target: CONSTANT,
        prepare: |fleet| list::apply_one_change(FIXED_SERVERS, fleet as usize),
    },
    ChangeGuard {
        name: "bytes allocated by fleet",
        sizes: [600, 4800],
        figure: ALLOCATED,
        limit: PROPORTIONAL,
        target: CONSTANT,
        prepare: |fleet| list::apply_one_change(FIXED_SERVERS, fleet as usize),
    },
    ChangeGuard {
        name: "bytes held at the peak by fleet",
        sizes: [600, 4800],
        figure: PEAK,
        limit: PROPORTIONAL,
        target: CONSTANT,
        prepare: |fleet| list::apply_one_change(FIXED_SERVERS, fleet as usize),
    },
];

const GUARDS: [Guard; 24] = [
    guard("list read, bytes allocated by servers", [800, 6400], ALLOCATED, PROPORTIONAL, |servers| {
        list::parse_full_list(servers as usize)
    }),
    guard("list read, peak by servers", [800, 6400], PEAK, PROPORTIONAL, |servers| {
        list::parse_full_list(servers as usize)
    }),
    guard("list read, bytes received by servers", [800, 6400], RECEIVED, PROPORTIONAL, |servers| {
        list::parse_full_list(servers as usize)
    }),
    guard("list taken whole, bytes allocated by servers", [60, 480], ALLOCATED, PROPORTIONAL, |servers| {
        list::apply_full_list(servers as usize, FIXED_FLEET)
    }),
    guard("list taken whole, bytes at rest by servers", [60, 480], LIVE_AT_REST, PROPORTIONAL, |servers| {
        list::apply_full_list(servers as usize, FIXED_FLEET)
    }),
    guard("list taken whole, bytes at rest by fleet", [60, 480], LIVE_AT_REST, CONSTANT, |fleet| {
        list::apply_full_list(FIXED_SERVERS, fleet as usize)
    }),
    guard("zone gone, bytes allocated by servers", [63, 504], ALLOCATED, PROPORTIONAL, |servers| {
        list::apply_zone_change(servers as usize, FIXED_FLEET)
    }),
    guard("zone gone, bytes received by servers", [63, 504], RECEIVED, PROPORTIONAL, |servers| {
        list::apply_zone_change(servers as usize, FIXED_FLEET)
    }),
    guard(
        "tenant seen once, bytes at rest",
        [500, 4000],
        LIVE_AT_REST,
        PROPORTIONAL,
        tenants::serve_new_tenants,
    ),
    guard("tenant seen once, bytes allocated", [500, 4000], ALLOCATED, CONSTANT, tenants::serve_new_tenants),
    guard(
        "tenant seen again, bytes allocated",
        [500, 4000],
        ALLOCATED,
        CONSTANT,
        tenants::serve_known_tenants,
    ),
    guard(
        "tenant seen again, calls to the counter",
        [500, 4000],
        SENT,
        CONSTANT,
        tenants::serve_known_tenants,
    ),
    guard("tenant busy, bytes at rest", [64, 512], LIVE_AT_REST, PROPORTIONAL, tenants::serve_busy_tenants),
    guard("rpc, allocations by servers", [60, 480], ALLOCATIONS, 0.2, |servers| {
        rpcs::serve_sequentially(servers as usize, 1000)
    }),
    guard("rpc, bytes allocated by servers", [60, 480], ALLOCATED, PROPORTIONAL, |servers| {
        rpcs::serve_sequentially(servers as usize, 1000)
    }),
    guard("rpc, bytes allocated by RPCs in flight", [64, 512], ALLOCATED, PROPORTIONAL, |count| {
        rpcs::keep_in_flight(count as usize)
    }),
    guard("version file read, bytes allocated", [100, 800], ALLOCATED, PROPORTIONAL, |plans| {
        settings::read_file(plans as usize)
    }),
    guard("version digested, bytes allocated", [100, 800], ALLOCATED, PROPORTIONAL, |plans| {
        settings::digest_content(plans as usize)
    }),
    guard("version checked, bytes allocated", [100, 800], ALLOCATED, PROPORTIONAL, |plans| {
        settings::check_update(plans as usize)
    }),
    guard("version in force, bytes allocated", [100, 800], ALLOCATED, PROPORTIONAL, |plans| {
        settings::apply_version(plans as usize, 24)
    }),
    guard("rpc, bytes allocated by plans", [100, 800], ALLOCATED, CONSTANT, |plans| {
        settings::serve_with_plans(plans as usize)
    }),
    guard("agreement, datagrams by voters", [7, 56], SENT, PROPORTIONAL, |voters| {
        agreement::receive_one_second(voters as u32, 1)
    }),
    guard("agreement, datagrams sent by gateways", [10, 80], SENT, CONSTANT, |gateways| {
        agreement::receive_one_second(7, gateways as usize)
    }),
    guard(
        "list judged, a change, bytes allocated",
        [60, 480],
        ALLOCATED,
        CONSTANT,
        agreement::evaluate_changed_server,
    ),
];

const fn guard(
    name: &'static str,
    sizes: [u64; 2],
    figure: Figure,
    max_exponent: f64,
    prepare: Prepare,
) -> Guard {
    Guard { name, sizes, figure, max_exponent, prepare }
}

/// The exponent by which a count grows from the first size to the second. Only one step is measured, so that the
/// result does not depend on a clock.
fn exponent(sizes: [u64; 2], figure: Figure, prepare: Prepare) -> f64 {
    let count = |size| figure(&measure(&|| prepare(size), Duration::ZERO).unwrap());
    let [small, large] = sizes.map(count);
    assert!(small > 0.0 && large > 0.0, "a count is zero: {small} and {large}");
    (large / small).ln() / (sizes[1] as f64 / sizes[0] as f64).ln()
}

#[test]
fn costs_grow_no_faster_than_their_limits() {
    let mut failures = Vec::new();
    for guard in &GUARDS {
        let exponent = exponent(guard.sizes, guard.figure, guard.prepare);
        println!("{}: {exponent:.3}, at most {}", guard.name, guard.max_exponent);
        if exponent > guard.max_exponent {
            failures.push(format!("{}: grows by {exponent:.3}, at most {}", guard.name, guard.max_exponent));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

#[test]
fn cost_of_one_list_change_grows_no_faster_than_its_limit() {
    let mut failures = Vec::new();
    for change in &CHANGE_GUARDS {
        let exponent = exponent(change.sizes, change.figure, change.prepare);
        let verdict = if exponent > change.target { "misses the target" } else { "meets the target" };
        println!("one change, {}: {exponent:.3}, {verdict} of {}", change.name, change.target);
        if exponent > change.limit {
            failures.push(format!("{}: grows by {exponent:.3}, at most {}", change.name, change.limit));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

#[test]
fn counter_calls_per_rpc_are_bounded() {
    const MAX_CALLS_PER_RPC: f64 = 2.0;
    let calls = |gateways, rate| {
        let figures = measure(&|| counter::serve_tenant(gateways, rate), Duration::ZERO).unwrap();
        figures.sent_messages
    };
    for (gateways, rate) in [(1, 20), (8, 20), (64, 20), (8, 100), (8, 500)] {
        let calls = calls(gateways, rate);
        println!("{gateways} gateways, {rate} RPCs a second: {calls:.3} calls per RPC");
        assert!(calls <= MAX_CALLS_PER_RPC, "{gateways} gateways, {rate} RPCs a second: {calls}");
    }
}

#[test]
fn idle_tenants_are_forgotten() {
    let forget = |tenants| measure(&|| tenants::forget_idle_tenants(tenants), Duration::ZERO).unwrap();
    // The measurement returns an error if any idle tenant remains.
    assert!(forget(2 * 65 + 1).steps == 1 && forget(4 * 65 + 3).steps == 1);
}

#[test]
fn list_larger_than_eight_mebibytes_is_read_whole() {
    let read = measure(&|| list::parse_full_list(100_000), Duration::ZERO).unwrap();
    assert!(read.received_bytes > f64::from(8 << 20), "{read:?}");
    // The encoded object is never buffered as a whole; the peak consists of its entries.
    assert!(read.peak_bytes < 2.0 * read.received_bytes, "{read:?}");
}

#[test]
fn list_whose_entries_exceed_their_memory_limit_is_rejected_whole() {
    let bytes = encode_chunk(&full_list(20_000));
    assert_eq!(parse_watch_within(16 << 20, &bytes).unwrap()[0].entries.len(), 20_000);
    let rejected = parse_watch_within(1 << 20, &bytes);
    assert!(matches!(rejected, Err(ScaleError::Refused { why: "list-too-long" })), "{rejected:?}");
}
