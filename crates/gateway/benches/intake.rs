//! Cost of processing a list in the gateway, by the number of servers: processor time, and memory
//! at the peak and afterwards. First a whole list object parsed in pieces, compared with parsing it
//! into one tree; then applying lists, without the admission controller.
//!
//! Run with `cargo bench -p martenramp-gateway --bench intake`.

use gateway::list::{self, ListUpdate, Watch};
use gateway::list_diff::{ListDiff, ServerChange, WORK_PER_TURN};
use gateway::name_ids::NameIds;
use gateway::servers::Servers;
use gateway::services::Services;
use rustix::time::{ClockId, clock_gettime};
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

/// The amount that one read from the socket delivers.
const PIECE: usize = 24 << 10;
const SIZES: [usize; 4] = [200, 2_000, 20_000, 170_000];

static HELD: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);

/// The system's allocator with counters.
struct Counting;

// SAFETY: every call goes to the system's allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let held = HELD.fetch_add(layout.size(), Ordering::Relaxed) + layout.size();
        PEAK.fetch_max(held, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn realloc(&self, pointer: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        let held = HELD.fetch_add(size, Ordering::Relaxed) + size - layout.size();
        HELD.fetch_sub(layout.size(), Ordering::Relaxed);
        PEAK.fetch_max(held, Ordering::Relaxed);
        unsafe { System.realloc(pointer, layout, size) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Cost and result of an operation.
struct Cost<T> {
    result: T,
    seconds: f64,
    peak: usize,
    held: usize,
}

fn processor_time() -> f64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

fn measure<T>(operation: impl FnOnce() -> T) -> Cost<T> {
    let (start, before) = (processor_time(), HELD.load(Ordering::Relaxed));
    PEAK.store(before, Ordering::Relaxed);
    let result = operation();
    let seconds = processor_time() - start;
    let above = |bytes: &AtomicUsize| bytes.load(Ordering::Relaxed).saturating_sub(before);
    Cost { result, seconds, peak: above(&PEAK), held: above(&HELD) }
}

fn entry(number: usize) -> String {
    format!(
        "{{\"name\":\"s-{number:08x}\",\"address\":\"10.{}.{}.{}:3000\",\"zone\":\"zone-{}\",\"type\":\"m{}\",\
         \"group\":{},\"status\":\"ready\",\"weight\":1.0,\"since_ms\":0}}",
        number >> 16 & 255,
        number >> 8 & 255,
        number & 255,
        number % 36,
        number % 3,
        number % 50
    )
}

fn parse_in_pieces(text: &[u8]) -> ListUpdate {
    let (mut watch, mut updates, mut buffer) = (Watch::new(0, usize::MAX), Vec::new(), Vec::new());
    for piece in text.chunks(PIECE) {
        buffer.extend_from_slice(piece);
        let consumed = watch.feed(0, &buffer, &mut updates).expect("a valid list");
        buffer.drain(..consumed);
    }
    updates.pop().expect("a whole list")
}

fn parse_as_tree(object: &[u8]) -> ListUpdate {
    list::parse(&serde_json::from_slice(object).expect("an object"), &Services::default()).expect("a list")
}

/// The state that lists are applied to in the gateway.
#[derive(Default)]
struct ListState {
    servers: Servers,
    name_ids: NameIds,
}

/// Number of turns that applying a list took, and the longest of them in milliseconds.
struct Turns {
    count: usize,
    longest: f64,
}

impl ListState {
    fn apply(&mut self, update: ListUpdate, work_per_turn: usize) -> Turns {
        let (mut changes, mut turns) = (ListDiff::new(update), Turns { count: 0, longest: 0.0 });
        while !changes.is_done() {
            let (mut work, start) = (work_per_turn, processor_time());
            while let Some(batch) = changes.next_batch(&self.servers, &mut self.name_ids, &mut work) {
                for ServerChange { listed, address } in batch.unavailable.into_iter().chain(batch.available) {
                    match address {
                        Some(address) => drop(self.servers.upsert(&listed, address)),
                        None => drop(self.servers.delist(listed.key)),
                    }
                }
                self.servers.remove_unused();
                if changes.is_done() {
                    break;
                }
            }
            turns.longest = turns.longest.max((processor_time() - start) * 1e3);
            turns.count += 1;
        }
        turns
    }
}

fn object(size: usize) -> String {
    let entries: Vec<String> = (0..size).map(entry).collect();
    format!("{{\"index\":7,\"snapshot\":true,\"endpoints\":[{}]}}", entries.join(","))
}

fn watch_response(object: &str) -> String {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    format!("{head}{:x}\r\n{object}\r\n", object.len())
}

fn list_update(size: usize) -> ListUpdate {
    parse_in_pieces(watch_response(&object(size)).as_bytes())
}

fn print_parse_row<T>(size: usize, label: &str, cost: &Cost<T>) {
    let (ms, each) = (cost.seconds * 1e3, cost.seconds * 1e9 / size as f64);
    println!("{size:8} {label:10} {ms:9.2} {each:9.0} {:11} {:11}", cost.peak >> 10, cost.held >> 10);
}

fn print_turns_row(size: usize, label: &str, cost: &Cost<Turns>) {
    let (ms, turns) = (cost.seconds * 1e3, &cost.result);
    println!("{size:8} {label:16} {ms:9.3} {:6} {:11.3} {:11}", turns.count, turns.longest, cost.peak >> 10);
}

/// Returns a change of a list, made from some of its entries.
fn change(update: &ListUpdate, start: usize, end: usize, gone: bool) -> ListUpdate {
    let mut entries = update.entries[start..end].to_vec();
    entries.iter_mut().for_each(|entry| (entry.ready, entry.gone) = (false, gone));
    ListUpdate { index: 8, entries, ..ListUpdate::default() }
}

fn measure_applying(size: usize) {
    let (whole_list, same_list, mut state) = (list_update(size), list_update(size), ListState::default());
    let [drain, zone_gone] =
        [change(&whole_list, 7, 8, false), change(&whole_list, 0, size.min(4_700), true)];
    let first = measure(|| state.apply(whole_list, usize::MAX));
    print_turns_row(size, "first list", &first);
    print_turns_row(size, "one drains", &measure(|| state.apply(drain, WORK_PER_TURN)));
    print_turns_row(size, "4,700 gone", &measure(|| state.apply(zone_gone, WORK_PER_TURN)));
    print_turns_row(size, "back", &measure(|| state.apply(same_list, WORK_PER_TURN)));
    let unchanged = list_update(size);
    print_turns_row(size, "nothing new", &measure(|| state.apply(unchanged, WORK_PER_TURN)));
}

fn main() {
    println!(" servers how               ms  ns/entry    peak KiB    held KiB");
    for size in SIZES {
        let object = object(size);
        let text = watch_response(&object);
        print_parse_row(size, "in pieces", &measure(|| parse_in_pieces(text.as_bytes())));
        print_parse_row(size, "as a tree", &measure(|| parse_as_tree(object.as_bytes())));
    }
    println!(" servers list                    ms  turns longest ms    peak KiB");
    SIZES.into_iter().for_each(measure_applying);
}
