//! Bounds on the memory and the connections of a process, derived from the limits of its
//! VM.
//!
//! Where a limit of the VM is not known, the bounds are fixed and the kernel sizes the
//! sockets' buffers.

use crate::prelude::*;

/// Longest message that is held completely, in bytes, where the VM's memory is not known.
const MAX_MESSAGE_BYTES: usize = 8 << 20;
/// Number of bytes of all messages together from which on only small ones are read on, where
/// the VM's memory is not known.
const MAX_TOTAL_BYTES: usize = 24 << 20;
/// Share of the VM's memory for the bytes that the process holds for callers and servers,
/// in percent. The process rests at about 12 MB of 88, and sockets, connections and the
/// configuration need the remainder.
const HELD_PERCENT: usize = 37;
/// Part of these bytes that one message may take.
const MESSAGE_PART: usize = 4;
/// Longest message that is read also while the total is reached, in bytes.
pub const SMALL_MESSAGE_BYTES: usize = 64 << 10;
/// Part of the total by which small messages may exceed it.
const SMALL_PART: usize = 8;
/// Part of the VM's memory for callers' connections, and what an open connection takes, in
/// bytes: two buffers of 8 KiB in the process, and as much in its socket.
const CONNECTIONS_PART: usize = 5;
const CONNECTION_BYTES: usize = 24 << 10;
/// Part of the VM's memory that one socket's buffer may take. The kernel allows twice the
/// requested size, so 200 stalled streams, with two sockets each, take a fifth of the memory.
const SOCKET_PART: usize = 4_096;
/// Least and largest size of a socket's buffer, in bytes. Below the least size, each event
/// costs a wake-up of its own; above the largest one, nothing is gained within a region.
const SOCKET_BYTES: (usize, usize) = (16 << 10, 256 << 10);
/// Part of the VM's memory that the head of one answer of a backend server may take, and its
/// bounds in bytes. As many arrive at once as callers have connections.
const HEAD_PART: usize = 6_144;
const HEAD_BYTES: (usize, usize) = (16 << 10, 64 << 10);
/// Number of bytes of a stream that wait in the process for its caller, from which on the
/// backend server is not read. The kernel's buffer holds further ones.
const STREAM_BYTES: usize = 32 << 10;
/// Time without progress after which a caller that does not take its response is
/// disconnected. It is longer than the retransmission delays of a healthy connection, and
/// shorter than the usual deadline of a stream (4 s and more), so that a backend server does
/// not work on a response which nobody reads.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(3);
/// The same where it is not known that streams compete for backend servers. A response that
/// is not taken by then is worth nothing to its caller; without a limit, its bytes would count
/// towards the total for ever.
const MAX_UNREAD_TIME: Duration = Duration::from_secs(20);
/// Share of the file descriptors for callers' connections, in percent. Each request in
/// flight needs another descriptor for its backend server.
const CALLERS_FD_PERCENT: usize = 40;
/// Share of the file descriptors for idle connections to backend servers, in percent.
const IDLE_FD_PERCENT: usize = 10;
/// Least number of callers' connections, however few file descriptors there are.
const MIN_CONNECTIONS: usize = 16;

/// Largest number of operators' connections to a control process. At most eight orders are in
/// progress at once, and a few more read.
pub const OPERATORS: usize = 64;
/// Size of the buffers of their sockets in bytes. A document of 1 MiB comes within 0.2 s over a
/// link with a round trip of 10 ms.
const OPERATOR_SOCKET_BYTES: usize = 64 << 10;
/// Part of the file descriptors that these may take.
const OPERATORS_FD_PART: usize = 4;
/// Part of the VM's memory for the documents that operators are sending, with all that is made
/// of them.
const DOCUMENTS_PART: usize = 3;

/// Limits of the VM that an entry runs in. `None` means that the limit is not known.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CapacitySettings {
    /// Memory of the VM, in MiB.
    pub memory_mb: Option<u32>,
    /// Largest number of open file descriptors of the process.
    pub max_fds: Option<u32>,
}

/// Bounds on what an entry holds for callers and backend servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CapacityBounds {
    /// Number of bytes of all messages and streams together, from which on only small
    /// messages are read.
    pub total: usize,
    /// Number of bytes of all messages and streams together, from which on only messages of
    /// a few kilobytes are read.
    pub limit: usize,
    /// Longest response body that is held completely, in bytes.
    pub message: usize,
    /// Number of bytes of one stream that wait for its caller; `None` if only the HTTP
    /// library bounds them.
    pub stream: Option<usize>,
    /// Longest head of a backend server's answer, in bytes.
    pub head: usize,
    /// Size of the sockets' buffers in bytes; `None` if the kernel chooses it.
    pub socket: Option<usize>,
    /// Time without progress after which a caller that does not take its response is
    /// disconnected.
    pub unread: Duration,
    /// Largest number of callers' connections; `None` if only the settings limit it.
    pub callers: Option<usize>,
    /// Largest number of idle connections to all backend servers; `None` if it is only
    /// bounded for each of them.
    pub idle: Option<usize>,
}

impl Default for CapacityBounds {
    fn default() -> Self {
        Self {
            total: MAX_TOTAL_BYTES,
            limit: MAX_TOTAL_BYTES + MAX_TOTAL_BYTES / SMALL_PART,
            message: MAX_MESSAGE_BYTES,
            stream: None,
            head: HEAD_BYTES.1,
            socket: None,
            unread: MAX_UNREAD_TIME,
            callers: None,
            idle: None,
        }
    }
}

impl CapacityBounds {
    /// Returns the bounds of a process that may hold this many bytes for clients.
    #[must_use]
    pub fn holding(total: usize) -> Self {
        Self {
            total,
            limit: total + total / SMALL_PART,
            message: total,
            stream: Some(STREAM_BYTES),
            ..Self::default()
        }
    }

    /// Derives the bounds of a control process from the limits of its VM.
    #[must_use]
    pub fn of_control(settings: CapacitySettings) -> Self {
        let memory = settings.memory_mb.map(|mb| (mb as usize) << 20);
        let fds = settings.max_fds.map(|fds| fds as usize / OPERATORS_FD_PART);
        Self {
            callers: Some(fds.map_or(OPERATORS, |fds| fds.clamp(1, OPERATORS))),
            socket: Some(OPERATOR_SOCKET_BYTES),
            ..Self::holding(memory.map_or(MAX_TOTAL_BYTES, |bytes| bytes / DOCUMENTS_PART))
        }
    }

    /// Derives the bounds of an entry with overload control from the limits of its VM. They
    /// hold without it too, except the time for unread responses.
    #[must_use]
    pub fn of(settings: CapacitySettings) -> Self {
        let mut bounds = Self {
            unread: UNREAD_TIMEOUT,
            stream: Some(STREAM_BYTES),
            ..Self::default()
        };
        if let Some(memory) = settings.memory_mb {
            let memory = (memory as usize) << 20;
            let (least, largest) = SOCKET_BYTES;
            bounds.total = memory / 100 * HELD_PERCENT;
            bounds.limit = bounds.total + bounds.total / SMALL_PART;
            bounds.message =
                (bounds.total / MESSAGE_PART).clamp(SMALL_MESSAGE_BYTES, MAX_MESSAGE_BYTES);
            bounds.callers = Some(memory / CONNECTIONS_PART / CONNECTION_BYTES);
            bounds.socket = Some((memory / SOCKET_PART).clamp(least, largest));
            bounds.head = (memory / HEAD_PART).clamp(HEAD_BYTES.0, HEAD_BYTES.1);
        }
        if let Some(fds) = settings.max_fds {
            let fds = fds as usize;
            let callers = (fds * CALLERS_FD_PERCENT / 100).max(MIN_CONNECTIONS);
            bounds.callers = Some(bounds.callers.map_or(callers, |most| most.min(callers)));
            bounds.idle = Some(fds * IDLE_FD_PERCENT / 100);
        }
        bounds
    }
}
