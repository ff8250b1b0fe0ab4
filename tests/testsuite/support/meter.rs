//! Measures the peak memory of a function on the test's own thread.
//!
//! A global allocator keeps two counters for each thread: the bytes allocated
//! now, and their peak since the last reset.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    cell::Cell,
};

thread_local! {
    static ALLOCATED: Cell<isize> = const { Cell::new(0) };
    static PEAK: Cell<isize> = const { Cell::new(0) };
}

/// The system allocator, with a count of the bytes that each thread allocates.
struct CountingAllocator;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

// SAFETY: all calls are forwarded to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        record_change(layout.size().cast_signed());
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        record_change(-layout.size().cast_signed());
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

fn record_change(bytes: isize) {
    // The counters of a thread that is ending may already be destroyed, and no
    // measured work runs on it any more.
    let _ignored = ALLOCATED.try_with(|held| {
        held.set(held.get() + bytes);
        let _ignored = PEAK.try_with(|peak| peak.set(peak.get().max(held.get())));
    });
}

/// Runs `work` and returns the largest number of bytes that it had allocated at
/// any one time on this thread.
pub fn peak_bytes(work: impl FnOnce()) -> usize {
    let before = ALLOCATED.get();
    PEAK.set(before);
    work();
    usize::try_from(PEAK.get() - before).unwrap_or(0)
}
