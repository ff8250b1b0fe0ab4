//! Settings of the C library's allocator.
//!
//! By default it raises the size from which on it maps memory for a block of its own
//! whenever such a block is freed, up to 32 MiB. Large messages then come from its heap,
//! where one small block that lives keeps all freed memory below it resident, and what a
//! process takes at its peak is no longer what it holds.

/// Size in bytes from which on a block is mapped on its own, and given back when it is freed.
const MAPPED_BYTES: libc::c_int = 128 << 10;
/// Free bytes at the end of the heap from which on they are given back.
const TRIM_BYTES: libc::c_int = 1 << 20;

/// Makes the allocator give freed memory back to the system at once, where the C library
/// has such settings. To be called once, before any thread is started.
pub fn give_back_freed() {
    #[cfg(target_env = "gnu")]
    for (parameter, value) in [
        (libc::M_MMAP_THRESHOLD, MAPPED_BYTES),
        (libc::M_TRIM_THRESHOLD, TRIM_BYTES),
    ] {
        // SAFETY: `mallopt` takes no pointers, and no other thread allocates yet.
        let done = unsafe { libc::mallopt(parameter, value) };
        debug_assert_eq!(done, 1, "the parameter is known");
    }
}
