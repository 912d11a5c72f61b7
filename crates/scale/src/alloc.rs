//! A global allocator that counts: how often memory was asked for, how much is held, and the most that was held at once.
//! A binary or test that wants counts installs [`Counting`] as its global allocator; without it all counts stay nought.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);
static HELD: AtomicU64 = AtomicU64::new(0);
static PEAK: AtomicU64 = AtomicU64::new(0);

/// The system's allocator with counts for the whole process.
pub struct Counting;

fn took(bytes: usize) {
    ALLOCATIONS.fetch_add(1, Relaxed);
    let held = HELD.fetch_add(bytes as u64, Relaxed) + bytes as u64;
    PEAK.fetch_max(held, Relaxed);
}

fn gave(bytes: usize) {
    HELD.fetch_sub(bytes as u64, Relaxed);
}

// SAFETY: every call is handed on to the system's allocator as it came; only counters are kept beside it.
unsafe impl GlobalAlloc for Counting {
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

/// What the allocator has counted up to a moment. Bytes are those asked for, without the allocator's own overhead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Times that memory was asked for, a change of size among them.
    pub allocations: u64,
    /// Bytes held now.
    pub held: u64,
    /// The most bytes held at once since the last [`reset_peak`].
    pub peak: u64,
}

/// The counts by now.
pub fn counts() -> Counts {
    Counts { allocations: ALLOCATIONS.load(Relaxed), held: HELD.load(Relaxed), peak: PEAK.load(Relaxed) }
}

/// From now on the peak is counted anew, from what is held.
pub fn reset_peak() {
    PEAK.store(HELD.load(Relaxed), Relaxed);
}
