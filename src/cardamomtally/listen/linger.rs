//! Lets a client take an answer that was given before its request had ended.
//!
//! A socket that is closed while bytes of its client are unread resets the connection, and
//! the reset can overtake the answer. So the sending side is closed first, and what the
//! client still sends is read and dropped, within bounds.

use crate::prelude::*;
use socket2::SockRef;
use std::{io, net::Shutdown};
use tokio::net::TcpStream;

/// Longest time for which a client may go on to send. A body of 4 MiB takes 3.4 s over a link
/// of 10 Mbit/s.
const LONGEST: Duration = Duration::from_secs(5);
/// Most bytes that a client may go on to send: the longest body that any listener takes, twice.
const MOST_BYTES: usize = 32 << 20;
/// Bytes that are read at once.
const READ_BYTES: usize = 8 << 10;

/// Closes the sending side of a connection, and reads and drops what its client sends until
/// the client closes its own side, or a bound is reached.
pub async fn linger(stream: &TcpStream) {
    // It fails if the client has ended the connection; then there is nothing to wait for.
    if SockRef::from(stream).shutdown(Shutdown::Write).is_err() {
        return;
    }
    // If the time passes, the connection is closed all the same.
    let _passed = tokio::time::timeout(LONGEST, drop_bytes(stream)).await;
}

async fn drop_bytes(stream: &TcpStream) {
    let mut bytes = vec![0; READ_BYTES];
    let mut left = MOST_BYTES;
    while left > 0 && stream.readable().await.is_ok() {
        match stream.try_read(&mut bytes) {
            Ok(0) => return,
            Ok(count) => left = left.saturating_sub(count),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_reset) => return,
        }
    }
}
