//! What taking a whole list costs, by its number of servers: processor time, and bytes held at the peak and by what is
//! handed on. Beside it the same object read as one tree. `cargo bench -p martenramp-gateway --bench intake`

use gateway::list::{self, Told, Watch};
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

fn in_pieces(text: &[u8]) -> Told {
    let (mut watch, mut told, mut buffer) = (Watch::new(0, usize::MAX), Vec::new(), Vec::new());
    for piece in text.chunks(PIECE) {
        buffer.extend_from_slice(piece);
        let used = watch.feed(0, &buffer, &mut told).expect("a list that can be taken");
        buffer.drain(..used);
    }
    told.pop().expect("a whole list")
}

fn as_a_tree(object: &[u8]) -> Told {
    list::read(&serde_json::from_slice(object).expect("an object")).expect("a list")
}

fn row(size: usize, how: &str, cost: &Cost<Told>) {
    assert_eq!(cost.result.entries.len(), size);
    let (ms, each) = (cost.seconds * 1e3, cost.seconds * 1e9 / size as f64);
    println!("{size:8} {how:10} {ms:9.2} {each:9.0} {:11} {:11}", cost.peak >> 10, cost.held >> 10);
}

fn main() {
    println!(" servers how               ms  ns/entry    peak KiB    held KiB");
    for size in SIZES {
        let entries: Vec<String> = (0..size).map(entry).collect();
        let object = format!("{{\"index\":7,\"snapshot\":true,\"endpoints\":[{}]}}", entries.join(","));
        drop(entries);
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let text = format!("{head}{:x}\r\n{object}\r\n", object.len());
        row(size, "in pieces", &cost(|| in_pieces(text.as_bytes())));
        row(size, "as a tree", &cost(|| as_a_tree(object.as_bytes())));
    }
}
