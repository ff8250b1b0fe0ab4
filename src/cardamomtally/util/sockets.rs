//! What the kernel tells of sockets.

use std::os::fd::RawFd;

/// Returns the number of bytes that the peer of a socket has not acknowledged.
#[must_use]
pub fn untaken(descriptor: RawFd) -> Option<libc::c_int> {
    let mut count: libc::c_int = 0;
    // SAFETY: `TIOCOUTQ` writes one integer, to which the pointer is valid. The kernel refuses
    // a descriptor that is no socket.
    let done = unsafe { libc::ioctl(descriptor, libc::TIOCOUTQ, &raw mut count) };
    (done == 0).then_some(count)
}
