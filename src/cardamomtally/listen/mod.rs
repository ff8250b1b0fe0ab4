//! Connections of clients, which need not behave.
//!
//! Every HTTP listener of the product accepts its connections here, so that the same bounds
//! hold at each: on the connections, on the time and the size of a head, on the bytes that
//! are held for bodies and responses, and on a client that does not read.
//!
//! [`server`] accepts connections into a [`crowd`] and passes each request on with its body as an
//! [`upload`](memory::Upload), which is read into the [`memory`] that all messages of the
//! process share. The bounds follow from the limits of the VM ([`capacity`]). A [`stream`]
//! records what its client does in an [`activity`]; a response [`body`] waits while its
//! client does not read. An answer that comes before the end of its request is left time to
//! arrive ([`linger`]). What an answer tells its client is known with the next request on the
//! connection ([`conversation`]).

pub mod activity;
pub mod body;
pub mod capacity;
pub mod conversation;
pub mod crowd;
pub mod linger;
pub mod memory;
pub mod progress;
pub mod server;
pub mod stream;
pub mod unread;
