//! What taking a list costs the gateway, by the number of servers: processor time, and bytes held at the peak and behind it.
//! First a whole list's object in pieces, and beside it the same read as one tree; then bringing lists into force, without
//! the module's part. `cargo bench -p martenramp-gateway --bench intake`

use gateway::list::{self, ListUpdate, Watch};
use gateway::list_diff::{ListDiff, ServerChange, WORK_PER_TURN};
use gateway::name_ids::NameIds;
use gateway::servers::Servers;
use gateway::services::Services;
use rustix::time::{ClockId, clock_gettime};
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

/// As much as comes in with one reading of the socket.
const PIECE: usize = 24 << 10;
const SIZES: [usize; 4] = [200, 2_000, 20_000, 170_000];

static HELD: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);

/// The system's allocator, counted.
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

/// What a piece of work cost, and what it gave.
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

fn cost<T>(work: impl FnOnce() -> T) -> Cost<T> {
    let (start, before) = (processor_time(), HELD.load(Ordering::Relaxed));
    PEAK.store(before, Ordering::Relaxed);
    let result = work();
    let seconds = processor_time() - start;
    let above = |bytes: &AtomicUsize| bytes.load(Ordering::Relaxed).saturating_sub(before);
    Cost { result, seconds, peak: above(&PEAK), held: above(&HELD) }
}

fn entry(at: usize) -> String {
    format!(
        "{{\"name\":\"s-{at:08x}\",\"address\":\"10.{}.{}.{}:3000\",\"zone\":\"zone-{}\",\"type\":\"m{}\",\
         \"group\":{},\"status\":\"ready\",\"weight\":1.0,\"since_ms\":0}}",
        at >> 16 & 255,
        at >> 8 & 255,
        at & 255,
        at % 36,
        at % 3,
        at % 50
    )
}

fn in_pieces(text: &[u8]) -> ListUpdate {
    let (mut watch, mut told, mut buffer) = (Watch::new(0, usize::MAX), Vec::new(), Vec::new());
    for piece in text.chunks(PIECE) {
        buffer.extend_from_slice(piece);
        let used = watch.feed(0, &buffer, &mut told).expect("a list that can be taken");
        buffer.drain(..used);
    }
    told.pop().expect("a whole list")
}

fn as_a_tree(object: &[u8]) -> ListUpdate {
    list::parse(&serde_json::from_slice(object).expect("an object"), &Services::default()).expect("a list")
}

/// What lists bring into force, as the gateway holds it.
#[derive(Default)]
struct Held {
    servers: Servers,
    directory: NameIds,
}

/// Turns that a list took, and the longest of them in milliseconds.
struct Turns {
    count: usize,
    longest: f64,
}

impl Held {
    fn take(&mut self, told: ListUpdate, work_a_turn: usize) -> Turns {
        let (mut changes, mut turns) = (ListDiff::new(told), Turns { count: 0, longest: 0.0 });
        while !changes.is_done() {
            let (mut work, start) = (work_a_turn, processor_time());
            while let Some(batch) = changes.next_batch(&self.servers, &mut self.directory, &mut work) {
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

fn watched(object: &str) -> String {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    format!("{head}{:x}\r\n{object}\r\n", object.len())
}

fn told(size: usize) -> ListUpdate {
    in_pieces(watched(&object(size)).as_bytes())
}

fn row<T>(size: usize, how: &str, cost: &Cost<T>) {
    let (ms, each) = (cost.seconds * 1e3, cost.seconds * 1e9 / size as f64);
    println!("{size:8} {how:10} {ms:9.2} {each:9.0} {:11} {:11}", cost.peak >> 10, cost.held >> 10);
}

fn turns_row(size: usize, how: &str, cost: &Cost<Turns>) {
    let (ms, turns) = (cost.seconds * 1e3, &cost.result);
    println!("{size:8} {how:16} {ms:9.3} {:6} {:11.3} {:11}", turns.count, turns.longest, cost.peak >> 10);
}

/// A change of a list that has the form of this one.
fn change(of: &ListUpdate, from: usize, to: usize, gone: bool) -> ListUpdate {
    let mut entries = of.entries[from..to].to_vec();
    entries.iter_mut().for_each(|entry| (entry.ready, entry.gone) = (false, gone));
    ListUpdate { index: 8, entries, ..ListUpdate::default() }
}

fn in_force(size: usize) {
    let (all, again, mut held) = (told(size), told(size), Held::default());
    let [one, zone] = [change(&all, 7, 8, false), change(&all, 0, size.min(4_700), true)];
    let first = cost(|| held.take(all, usize::MAX));
    turns_row(size, "first list", &first);
    turns_row(size, "one drains", &cost(|| held.take(one, WORK_PER_TURN)));
    turns_row(size, "4,700 gone", &cost(|| held.take(zone, WORK_PER_TURN)));
    turns_row(size, "back", &cost(|| held.take(again, WORK_PER_TURN)));
    let unchanged = told(size);
    turns_row(size, "nothing new", &cost(|| held.take(unchanged, WORK_PER_TURN)));
}

fn main() {
    println!(" servers how               ms  ns/entry    peak KiB    held KiB");
    for size in SIZES {
        let object = object(size);
        let text = watched(&object);
        row(size, "in pieces", &cost(|| in_pieces(text.as_bytes())));
        row(size, "as a tree", &cost(|| as_a_tree(object.as_bytes())));
    }
    println!(" servers list                    ms  turns longest ms    peak KiB");
    SIZES.into_iter().for_each(in_force);
}
