//! A global allocator that counts allocations, allocated bytes, live bytes and peak live bytes, for the whole process
//! and for each thread.
//!
//! A binary or test that needs the counts installs [`CountingAllocator`] as its global allocator. Without it, all
//! counts stay zero.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);
static LIVE_BYTES: AtomicU64 = AtomicU64::new(0);
static PEAK_BYTES: AtomicU64 = AtomicU64::new(0);

// Const-initialized and without destructors, so that the allocator can use them at any time, including during thread
// exit.
thread_local! {
    static THREAD_COUNTS: Cell<ThreadCounts> = const { Cell::new(ThreadCounts::NONE) };
    static COUNTING_ENABLED: Cell<bool> = const { Cell::new(true) };
}

/// Forwards to the system allocator and counts what is allocated and released.
pub struct CountingAllocator;

fn record_allocation(bytes: usize) {
    ALLOCATIONS.fetch_add(1, Relaxed);
    let live_bytes = LIVE_BYTES.fetch_add(bytes as u64, Relaxed) + bytes as u64;
    if live_bytes > PEAK_BYTES.load(Relaxed) {
        PEAK_BYTES.fetch_max(live_bytes, Relaxed);
    }
    if COUNTING_ENABLED.get() {
        let mut counts = THREAD_COUNTS.get();
        counts.allocations += 1;
        counts.allocated_bytes += bytes as u64;
        counts.live_bytes += bytes as i64;
        counts.peak_bytes = counts.peak_bytes.max(counts.live_bytes);
        THREAD_COUNTS.set(counts);
    }
}

fn record_release(bytes: usize) {
    LIVE_BYTES.fetch_sub(bytes as u64, Relaxed);
    if COUNTING_ENABLED.get() {
        let mut counts = THREAD_COUNTS.get();
        counts.live_bytes -= bytes as i64;
        THREAD_COUNTS.set(counts);
    }
}

// SAFETY: every call is forwarded unchanged to the system allocator; the only addition is the update of counters.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        // SAFETY: the caller upholds the contract of `GlobalAlloc`, which is also that of `System`.
        let pointer = unsafe { System.alloc(layout) };
        if !pointer.is_null() {
            record_allocation(layout.size());
        }
        pointer
    }

    unsafe fn alloc_zeroed(&self, layout: Layout) -> *mut u8 {
        // SAFETY: as above.
        let pointer = unsafe { System.alloc_zeroed(layout) };
        if !pointer.is_null() {
            record_allocation(layout.size());
        }
        pointer
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        // SAFETY: as above.
        unsafe { System.dealloc(pointer, layout) };
        record_release(layout.size());
    }

    unsafe fn realloc(&self, pointer: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        // SAFETY: as above.
        let new_pointer = unsafe { System.realloc(pointer, layout, size) };
        if !new_pointer.is_null() {
            // Both blocks may be live during the copy, so the new size is added before the old one is subtracted.
            record_allocation(size);
            record_release(layout.size());
        }
        new_pointer
    }
}

/// Counts of the whole process. Bytes are those requested, without the system allocator's own overhead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessCounts {
    /// Allocations, including reallocations.
    pub allocations: u64,
    /// Bytes live now.
    pub live_bytes: u64,
    /// Maximum of `live_bytes` since the last [`reset_peak`].
    pub peak_bytes: u64,
}

/// Counts of one thread. Memory that another thread releases is not subtracted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ThreadCounts {
    /// Allocations, including reallocations.
    pub allocations: u64,
    /// Bytes requested by all allocations.
    pub allocated_bytes: u64,
    /// Bytes live now; negative if the thread released memory that another thread allocated.
    pub live_bytes: i64,
    /// Maximum of `live_bytes` since the last [`reset_thread_peak`].
    pub peak_bytes: i64,
}

impl ThreadCounts {
    const NONE: ThreadCounts =
        ThreadCounts { allocations: 0, allocated_bytes: 0, live_bytes: 0, peak_bytes: 0 };
}

/// The process's counts so far.
pub fn process_counts() -> ProcessCounts {
    ProcessCounts {
        allocations: ALLOCATIONS.load(Relaxed),
        live_bytes: LIVE_BYTES.load(Relaxed),
        peak_bytes: PEAK_BYTES.load(Relaxed),
    }
}

/// Resets the process's peak to the bytes that are live now.
pub fn reset_peak() {
    PEAK_BYTES.store(LIVE_BYTES.load(Relaxed), Relaxed);
}

/// This thread's counts so far.
pub fn thread_counts() -> ThreadCounts {
    THREAD_COUNTS.get()
}

/// Resets this thread's peak to the bytes that are live now.
pub fn reset_thread_peak() {
    let mut counts = THREAD_COUNTS.get();
    counts.peak_bytes = counts.live_bytes;
    THREAD_COUNTS.set(counts);
}

/// Runs a closure whose memory is not part of the program under measurement (its input, an emulated peer). This
/// thread's counts leave out both what the closure allocates and what it releases.
pub fn without_counting<T>(run: impl FnOnce() -> T) -> T {
    let previous = COUNTING_ENABLED.replace(false);
    let result = run();
    COUNTING_ENABLED.set(previous);
    result
}
