//! What the allocator reports about the heap of this process.

/// Memory of the heap, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeapUse {
    /// Allocated by the program.
    pub used: usize,
    /// Freed by the program and kept by the allocator.
    pub free: usize,
}

/// Reads the state of the heap; zeros where the C library doesn't report it.
pub fn heap_use() -> HeapUse {
    #[cfg(target_env = "gnu")]
    {
        // SAFETY: the function takes no arguments and only reads the allocator's own state, under
        // its lock.
        let info = unsafe { libc::mallinfo2() };
        HeapUse { used: info.uordblks + info.hblkhd, free: info.fordblks }
    }
    #[cfg(not(target_env = "gnu"))]
    HeapUse::default()
}
