//! Memory used by one piece of work on the test's own thread.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    cell::Cell,
};

thread_local! {
    static ALLOCATED: Cell<isize> = const { Cell::new(0) };
    static PEAK: Cell<isize> = const { Cell::new(0) };
}

/// The system's allocator, which counts each thread's bytes.
struct CountingAllocator;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

// SAFETY: all calls go to the system's allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        record_change(layout.size().cast_signed());
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        record_change(-layout.size().cast_signed());
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

fn record_change(bytes: isize) {
    // A thread that is ending has no counters left, and no work to meter.
    let _ignored = ALLOCATED.try_with(|held| {
        held.set(held.get() + bytes);
        let _ignored = PEAK.try_with(|peak| peak.set(peak.get().max(held.get())));
    });
}

/// Runs some work and returns the most bytes that it held at once.
pub fn peak_bytes(work: impl FnOnce()) -> usize {
    let before = ALLOCATED.get();
    PEAK.set(before);
    work();
    usize::try_from(PEAK.get() - before).unwrap_or(0)
}
