//! A global allocator that counts: how often memory was asked for and how much, what is held, and the most that was held at
//! once; for the whole process and for each thread. A binary or test that wants counts installs [`CountingAllocator`] as its global
//! allocator; without it all counts stay nought.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);
static HELD: AtomicU64 = AtomicU64::new(0);
static PEAK: AtomicU64 = AtomicU64::new(0);

// Constants without destructors, so that the allocator may use them at any time of a thread's life.
thread_local! {
    static THREAD: Cell<ThreadCounts> = const { Cell::new(ThreadCounts::NONE) };
    static IS_COUNTED: Cell<bool> = const { Cell::new(true) };
}

/// The system's allocator with counts.
pub struct CountingAllocator;

fn took(bytes: usize) {
    ALLOCATIONS.fetch_add(1, Relaxed);
    let held = HELD.fetch_add(bytes as u64, Relaxed) + bytes as u64;
    if held > PEAK.load(Relaxed) {
        PEAK.fetch_max(held, Relaxed);
    }
    if IS_COUNTED.get() {
        let mut counts = THREAD.get();
        counts.allocations += 1;
        counts.allocated_bytes += bytes as u64;
        counts.live_bytes += bytes as i64;
        counts.peak_bytes = counts.peak_bytes.max(counts.live_bytes);
        THREAD.set(counts);
    }
}

fn gave(bytes: usize) {
    HELD.fetch_sub(bytes as u64, Relaxed);
    if IS_COUNTED.get() {
        let mut counts = THREAD.get();
        counts.live_bytes -= bytes as i64;
        THREAD.set(counts);
    }
}

// SAFETY: every call is handed on to the system's allocator as it came; only counters are kept beside it.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        // SAFETY: the caller's guarantees are those of the system's allocator.
        let at = unsafe { System.alloc(layout) };
        if !at.is_null() {
            took(layout.size());
        }
        at
    }

    unsafe fn alloc_zeroed(&self, layout: Layout) -> *mut u8 {
        // SAFETY: as above.
        let at = unsafe { System.alloc_zeroed(layout) };
        if !at.is_null() {
            took(layout.size());
        }
        at
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        // SAFETY: as above.
        unsafe { System.dealloc(at, layout) };
        gave(layout.size());
    }

    unsafe fn realloc(&self, at: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        // SAFETY: as above.
        let to = unsafe { System.realloc(at, layout, size) };
        if !to.is_null() {
            // While it moves both may be held.
            took(size);
            gave(layout.size());
        }
        to
    }
}

/// What the allocator has counted for the whole process up to a moment. Bytes are those asked for, without the allocator's
/// own overhead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessCounts {
    /// Times that memory was asked for, a change of size among them.
    pub allocations: u64,
    /// Bytes held now.
    pub live_bytes: u64,
    /// The most bytes held at once since the last [`reset_peak`].
    pub peak_bytes: u64,
}

/// What the allocator has counted for one thread up to a moment. What another thread gives back is not taken off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ThreadCounts {
    /// Times that memory was asked for, a change of size among them.
    pub allocations: u64,
    /// Bytes asked for in all of them.
    pub allocated_bytes: u64,
    /// Bytes held now; below nought where the thread gave back what it did not ask for.
    pub live_bytes: i64,
    /// The most bytes held at once since the last [`reset_thread_peak`].
    pub peak_bytes: i64,
}

impl ThreadCounts {
    const NONE: ThreadCounts =
        ThreadCounts { allocations: 0, allocated_bytes: 0, live_bytes: 0, peak_bytes: 0 };
}

/// The process's counts by now.
pub fn process_counts() -> ProcessCounts {
    ProcessCounts {
        allocations: ALLOCATIONS.load(Relaxed),
        live_bytes: HELD.load(Relaxed),
        peak_bytes: PEAK.load(Relaxed),
    }
}

/// From now on the process's peak is counted anew, from what is held.
pub fn reset_peak() {
    PEAK.store(HELD.load(Relaxed), Relaxed);
}

/// This thread's counts by now.
pub fn thread_counts() -> ThreadCounts {
    THREAD.get()
}

/// From now on this thread's peak is counted anew, from what is held.
pub fn reset_thread_peak() {
    let mut counts = THREAD.get();
    counts.peak_bytes = counts.live_bytes;
    THREAD.set(counts);
}

/// Runs something whose memory is not the program's own (input of a measurement, an emulated peer): this thread's counts
/// leave it out, both what it asks for and what it gives back.
pub fn without_counting<T>(run: impl FnOnce() -> T) -> T {
    let was = IS_COUNTED.replace(false);
    let made = run();
    IS_COUNTED.set(was);
    made
}
