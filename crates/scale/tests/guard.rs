//! Guards slopes by counts, never by time: how allocations, bytes and messages of an operation grow from one size to a
//! larger one. A count is the same in every run.

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
const REST: Figure = |figures| figures.rest_bytes;
const PEAK: Figure = |figures| figures.peak_bytes;
const SENT: Figure = |figures| figures.sent_messages;
const RECEIVED: Figure = |figures| figures.received_bytes;

/// Exponents that stand for a constant, and for a cost in proportion to its size; the rest is room for tables that grow by
/// doubling and for a constant part.
const CONSTANT: f64 = 0.1;
const PROPORTION: f64 = 1.1;

/// A count that may grow by this exponent at most from the smaller size to the larger.
struct Guard {
    what: &'static str,
    sizes: [u64; 2],
    figure: Figure,
    most: f64,
    prepare: Prepare,
}

/// What one change of the list may cost: today's exponent, and the one aimed at. Tighten `today` to `aim` once a gateway
/// works out its own part alone.
struct OneChange {
    what: &'static str,
    sizes: [u64; 2],
    figure: Figure,
    today: f64,
    aim: f64,
    prepare: Prepare,
}

const HELD_FLEET: usize = 24;
const HELD_SERVERS: usize = 60;

const ONE_CHANGE: [OneChange; 6] = [
    OneChange {
        what: "allocations by servers",
        sizes: [60, 480],
        figure: ALLOCATIONS,
        today: PROPORTION,
        aim: CONSTANT,
        prepare: |servers| list::one_change(servers as usize, HELD_FLEET),
    },
    OneChange {
        what: "bytes allocated by servers",
        sizes: [60, 480],
        figure: ALLOCATED,
        today: PROPORTION,
        aim: CONSTANT,
        prepare: |servers| list::one_change(servers as usize, HELD_FLEET),
    },
    OneChange {
        what: "bytes held at the peak by servers",
        sizes: [60, 480],
        figure: PEAK,
        today: PROPORTION,
        aim: PROPORTION,
        prepare: |servers| list::one_change(servers as usize, HELD_FLEET),
    },
    OneChange {
        what: "allocations by fleet",
        sizes: [600, 4800],
        figure: ALLOCATIONS,
        today: PROPORTION,
        aim: CONSTANT,
        prepare: |fleet| list::one_change(HELD_SERVERS, fleet as usize),
    },
    OneChange {
        what: "bytes allocated by fleet",
        sizes: [600, 4800],
        figure: ALLOCATED,
        today: PROPORTION,
        aim: CONSTANT,
        prepare: |fleet| list::one_change(HELD_SERVERS, fleet as usize),
    },
    OneChange {
        what: "bytes held at the peak by fleet",
        sizes: [600, 4800],
        figure: PEAK,
        today: PROPORTION,
        aim: CONSTANT,
        prepare: |fleet| list::one_change(HELD_SERVERS, fleet as usize),
    },
];

const GUARDS: [Guard; 24] = [
    guard("list read, bytes allocated by servers", [800, 6400], ALLOCATED, PROPORTION, |servers| {
        list::read_whole(servers as usize)
    }),
    guard("list read, peak by servers", [800, 6400], PEAK, PROPORTION, |servers| {
        list::read_whole(servers as usize)
    }),
    guard("list read, bytes received by servers", [800, 6400], RECEIVED, PROPORTION, |servers| {
        list::read_whole(servers as usize)
    }),
    guard("list taken whole, bytes allocated by servers", [60, 480], ALLOCATED, PROPORTION, |servers| {
        list::taken_whole(servers as usize, HELD_FLEET)
    }),
    guard("list taken whole, bytes at rest by servers", [60, 480], REST, PROPORTION, |servers| {
        list::taken_whole(servers as usize, HELD_FLEET)
    }),
    guard("list taken whole, bytes at rest by fleet", [60, 480], REST, CONSTANT, |fleet| {
        list::taken_whole(HELD_SERVERS, fleet as usize)
    }),
    guard("zone gone, bytes allocated by servers", [63, 504], ALLOCATED, PROPORTION, |servers| {
        list::zone_gone(servers as usize, HELD_FLEET)
    }),
    guard("zone gone, bytes received by servers", [63, 504], RECEIVED, PROPORTION, |servers| {
        list::zone_gone(servers as usize, HELD_FLEET)
    }),
    guard("tenant seen once, bytes at rest", [500, 4000], REST, PROPORTION, tenants::seen_once),
    guard("tenant seen once, bytes allocated", [500, 4000], ALLOCATED, CONSTANT, tenants::seen_once),
    guard("tenant seen again, bytes allocated", [500, 4000], ALLOCATED, CONSTANT, tenants::seen_again),
    guard("tenant seen again, calls to the counter", [500, 4000], SENT, CONSTANT, tenants::seen_again),
    guard("tenant busy, bytes at rest", [64, 512], REST, PROPORTION, tenants::busy),
    guard("rpc, allocations by servers", [60, 480], ALLOCATIONS, 0.2, |servers| {
        rpcs::served(servers as usize, 1000)
    }),
    guard("rpc, bytes allocated by servers", [60, 480], ALLOCATED, PROPORTION, |servers| {
        rpcs::served(servers as usize, 1000)
    }),
    guard("rpc, bytes allocated by RPCs in flight", [64, 512], ALLOCATED, PROPORTION, |count| {
        rpcs::in_flight(count as usize)
    }),
    guard("version file read, bytes allocated", [100, 800], ALLOCATED, PROPORTION, |plans| {
        settings::file_read(plans as usize)
    }),
    guard("version digested, bytes allocated", [100, 800], ALLOCATED, PROPORTION, |plans| {
        settings::digested(plans as usize)
    }),
    guard("version checked, bytes allocated", [100, 800], ALLOCATED, PROPORTION, |plans| {
        settings::checked(plans as usize)
    }),
    guard("version in force, bytes allocated", [100, 800], ALLOCATED, PROPORTION, |plans| {
        settings::in_force(plans as usize, 24)
    }),
    guard("rpc, bytes allocated by plans", [100, 800], ALLOCATED, CONSTANT, |plans| {
        settings::rpc_under(plans as usize)
    }),
    guard("agreement, datagrams by voters", [7, 56], SENT, PROPORTION, |voters| {
        agreement::heard_for_a_second(voters as u32, 1)
    }),
    guard("agreement, datagrams sent by gateways", [10, 80], SENT, CONSTANT, |gateways| {
        agreement::heard_for_a_second(7, gateways as usize)
    }),
    guard("list judged, a change, bytes allocated", [60, 480], ALLOCATED, CONSTANT, agreement::judged_change),
];

const fn guard(what: &'static str, sizes: [u64; 2], figure: Figure, most: f64, prepare: Prepare) -> Guard {
    Guard { what, sizes, figure, most, prepare }
}

/// The exponent by which a count grows from one size to the other. One step alone is measured, so that no clock has a say.
fn exponent(sizes: [u64; 2], figure: Figure, prepare: Prepare) -> f64 {
    let count = |size| figure(&measure(&|| prepare(size), Duration::ZERO).unwrap());
    let [small, large] = sizes.map(count);
    assert!(small > 0.0 && large > 0.0, "nothing was counted: {small} and {large}");
    (large / small).ln() / (sizes[1] as f64 / sizes[0] as f64).ln()
}

#[test]
fn costs_in_proportion_to_their_size_stay_so() {
    let mut broken = Vec::new();
    for guard in &GUARDS {
        let exponent = exponent(guard.sizes, guard.figure, guard.prepare);
        println!("{}: {exponent:.3}, at most {}", guard.what, guard.most);
        if exponent > guard.most {
            broken.push(format!("{}: grows by {exponent:.3}, at most {}", guard.what, guard.most));
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn one_change_of_the_list_grows_no_faster_than_it_may() {
    let mut broken = Vec::new();
    for change in &ONE_CHANGE {
        let exponent = exponent(change.sizes, change.figure, change.prepare);
        let missed = if exponent > change.aim { "misses the aim" } else { "holds the aim" };
        println!("one change, {}: {exponent:.3}, {missed} of {}", change.what, change.aim);
        if exponent > change.today {
            broken.push(format!("{}: grows by {exponent:.3}, at most {}", change.what, change.today));
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn a_tenants_calls_to_the_counter_are_bounded_for_each_rpc() {
    const CALLS_MOST: f64 = 2.0;
    let calls = |gateways, rate| {
        let figures = measure(&|| counter::played(gateways, rate), Duration::ZERO).unwrap();
        figures.sent_messages
    };
    for (gateways, rate) in [(1, 20), (8, 20), (64, 20), (8, 100), (8, 500)] {
        let calls = calls(gateways, rate);
        println!("{gateways} gateways, {rate} RPCs a second: {calls:.3} calls for an RPC");
        assert!(calls <= CALLS_MOST, "{gateways} gateways, {rate} RPCs a second: {calls}");
    }
}

#[test]
fn tenants_that_rest_are_forgotten() {
    let known = |tenants| measure(&|| tenants::forgotten(tenants), Duration::ZERO).unwrap();
    // The measurement itself fails if any is left.
    assert!(known(2 * 65 + 1).steps == 1 && known(4 * 65 + 3).steps == 1);
}

#[test]
fn a_list_beyond_eight_mebibytes_is_read_whole() {
    let read = measure(&|| list::read_whole(100_000), Duration::ZERO).unwrap();
    assert!(read.received_bytes > f64::from(8 << 20), "{read:?}");
    // The object's own bytes are never held: the peak is its entries.
    assert!(read.peak_bytes < 2.0 * read.received_bytes, "{read:?}");
}

#[test]
fn a_list_whose_entries_outgrow_their_memory_is_refused_with_nothing_of_it_taken() {
    let bytes = encode_chunk(&full_list(20_000));
    assert_eq!(parse_watch_within(16 << 20, &bytes).unwrap()[0].entries.len(), 20_000);
    let refused = parse_watch_within(1 << 20, &bytes);
    assert!(matches!(refused, Err(ScaleError::Refused { why: "list-too-long" })), "{refused:?}");
}
