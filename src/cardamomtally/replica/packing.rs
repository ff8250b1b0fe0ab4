//! Compression of large commands on their way through the log.
//!
//! The leader sends each command to every other member, and heartbeats wait behind it on
//! the same link. A large command is therefore compressed once, by the leader or by the
//! member that forwards it, and decompressed when it is applied. A member of a former
//! build does not read such commands, so that the leader compresses only while all
//! members have stated that they do.

use crate::net::compress;

/// First byte of a compressed command. Commands are CBOR, and no CBOR value begins with
/// it.
const PACKED: u8 = 0xff;

/// Size in bytes from which on a command is compressed.
const MIN_BYTES: usize = 4 << 10;

/// Compresses a command, unless it is small or compressed already.
#[must_use]
pub fn pack(command: Vec<u8>) -> Vec<u8> {
    if command.len() < MIN_BYTES || command.first() == Some(&PACKED) {
        return command;
    }
    let mut packed = vec![PACKED];
    packed.extend(compress::compress(&command));
    packed
}

/// Returns a command as it was before [`pack`].
///
/// # Errors
///
/// Returns an error if a compressed command does not decompress.
pub fn unpack(command: &[u8]) -> eyre::Result<Vec<u8>> {
    match command.split_first() {
        Some((&PACKED, compressed)) => compress::decompress(compressed),
        Some(_) | None => Ok(command.to_vec()),
    }
}
