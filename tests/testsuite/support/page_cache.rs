//! What the page cache holds of a file and the disk does not yet.

use std::{fs::File, io, os::fd::AsRawFd as _, path::Path};

/// Number of the system call `cachestat`, the same on x86-64 and arm64 (Linux 6.5).
const SYS_CACHESTAT: libc::c_long = 451;

/// Bytes of a file; a length of 0 means up to its end.
#[repr(C)]
struct Range {
    offset: u64,
    length: u64,
}

/// Numbers of pages.
#[repr(C)]
#[derive(Debug, Default)]
struct Statistics {
    cached: u64,
    dirty: u64,
    writeback: u64,
    evicted: u64,
    recently_evicted: u64,
}

/// Returns the number of pages of a file that a loss of power could lose.
pub fn unsynced_pages(path: &Path) -> u64 {
    let file = File::open(path).unwrap();
    let range = Range {
        offset: 0,
        length: 0,
    };
    let mut found = Statistics::default();
    // SAFETY: both pointers are valid during the call, and the structures have the layout
    // of the kernel's `cachestat_range` and `cachestat`.
    let status = unsafe {
        libc::syscall(
            SYS_CACHESTAT,
            file.as_raw_fd(),
            &raw const range,
            &raw mut found,
            0,
        )
    };
    assert_eq!(status, 0, "cachestat: {}", io::Error::last_os_error());
    found.dirty + found.writeback
}
