//! The limit on the file descriptors of the process.

/// Returns how many file descriptors the process may open.
#[must_use]
pub fn most_open() -> usize {
    let mut limit = libc::rlimit {
        rlim_cur: 0,
        rlim_max: 0,
    };
    // SAFETY: the call writes one `rlimit`, to which the pointer is valid.
    let done = unsafe { libc::getrlimit(libc::RLIMIT_NOFILE, &raw mut limit) };
    if done == 0 {
        usize::try_from(limit.rlim_cur).unwrap_or(usize::MAX)
    } else {
        // The call fails only for limits that the kernel does not know.
        usize::MAX
    }
}
