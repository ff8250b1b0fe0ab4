//! The form of server-sent events.
//!
//! What a backend server sends where events are due may be the text of an error, or the
//! head of another answer. None of these consists of fields.

use memchr::{memchr, memchr_iter};
use std::iter;

/// Fields that may stand without a value.
const BARE_FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// Returns the lines of events, without their ends.
pub fn lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut start = 0;
    let ends = memchr_iter(b'\n', bytes).chain(iter::once(bytes.len()));
    ends.map(move |end| {
        let line = &bytes[start..end];
        start = end + 1;
        line.strip_suffix(b"\r").unwrap_or(line)
    })
}

/// Tells whether a line that is not empty is a comment or a field of an event. The name of
/// a field consists of lowercase letters, digits, hyphens and underscores, so that neither
/// the lines of an HTTP head nor JSON, markup and plain text count as fields.
#[must_use]
pub fn is_field(line: &[u8]) -> bool {
    let Some(colon) = memchr(b':', line) else {
        return BARE_FIELDS.contains(&line);
    };
    let in_name = |byte: &u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'_')
    };
    line[..colon].iter().all(in_name)
}

/// Tells whether a line is a comment.
#[must_use]
pub fn is_comment(line: &[u8]) -> bool {
    line.starts_with(b":")
}

/// Tells whether a line says that its event reports an error.
#[must_use]
pub fn is_error_type(line: &[u8]) -> bool {
    let kind = line.strip_prefix(b"event:");
    kind.is_some_and(|kind| kind.trim_ascii() == b"error")
}
