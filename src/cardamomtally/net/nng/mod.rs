//! Control messages over nng.
//!
//! Client and server use raw sockets. nng's request socket resends a request
//! when its connection drops, whereas a raw socket leaves timeouts and retries
//! to the caller. A raw reply socket lets a member answer requests in any order,
//! which is needed because a poll waits for its quorum round while later
//! requests are answered.
//!
//! nng does not report a network partition that drops packets silently. If a
//! call times out and no other answer has arrived on the connection meanwhile,
//! the client closes the connection and dials again for the next call.

mod client;
mod server;

pub use client::Client;
pub use server::{Call, Server, bound_address};
use std::time::Duration;

/// Timeout of a receive call, after which a receiver thread checks whether it is to end. A
/// socket is closed only after that.
pub const RECEIVE_TIMEOUT: Duration = Duration::from_millis(200);

/// Largest message that a client or server accepts, in bytes.
const MESSAGE_LIMIT_BYTES: usize = 32 << 20;

/// Largest number of messages in a socket's send queue. Sending fails while the
/// queue is full.
const QUEUE_MESSAGES: i32 = 4_096;

/// Estimated bytes that nng and TCP/IP add to each message: 12 for nng's length
/// and request id, 52 for the headers of a segment, and 26 for half of an
/// acknowledgement without data, since TCP sends one for every second segment.
pub const OVERHEAD_BYTES: u64 = 12 + 52 + 26;
