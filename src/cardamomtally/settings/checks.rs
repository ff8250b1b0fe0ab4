//! Checks of settings that their types cannot express, such as value ranges.
//!
//! Each check adds its findings to `out`. `path` is the dotted path of the
//! setting, which gives a finding its line and column.

use super::{
    Document,
    common::{HttpSettings, PollSettings, ProcessSettings},
    control::{GroupSettings, OperatorSettings},
    units::Span,
};
use crate::core::{finding::Findings, map::FastMap};
use std::net::SocketAddr;

/// Number of hexadecimal digits in a SHA-256 hash.
const SHA256_DIGITS: usize = 64;

/// An address and the dotted path of the setting that contains it.
pub(super) struct Address {
    text: String,
    path: String,
}

impl Address {
    pub(super) fn new(text: &str, path: String) -> Self {
        Self {
            text: text.to_owned(),
            path,
        }
    }
}

/// Checks the names of the process and of its data centre.
pub(super) fn process(settings: &ProcessSettings, document: &Document<'_>, out: &mut Findings) {
    name(&settings.name, "process.name", document, out);
    name(&settings.data_centre, "process.data_centre", document, out);
}

/// Requires a non-empty name of letters, digits, `-`, `_` and `.`.
fn name(text: &str, path: &str, document: &Document<'_>, out: &mut Findings) {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if text.is_empty() || !text.chars().all(allowed) {
        let message = format!("`{text}` is no name; use letters, digits, `-`, `_` and `.`");
        document.add_finding(out, path, message);
    }
}

/// Checks the addresses and limits of an HTTP listener.
pub(super) fn http(settings: &HttpSettings, document: &Document<'_>, out: &mut Findings) {
    address(&settings.listen, "http.listen", document, out);
    if let Some(advertise) = &settings.advertise {
        address(advertise, "http.advertise", document, out);
    }
    nonzero_count(settings.threads as u64, "http.threads", document, out);
    nonzero_count(
        settings.request_limit.into(),
        "http.request_limit",
        document,
        out,
    );
    nonzero_count(settings.body_limit.0, "http.body_limit", document, out);
    nonzero_span(settings.body_timeout, "http.body_timeout", document, out);
    nonzero_count(settings.head_limit.0, "http.head_limit", document, out);
    nonzero_span(settings.head_timeout, "http.head_timeout", document, out);
    nonzero_span(settings.idle_timeout, "http.idle_timeout", document, out);
    nonzero_count(
        settings.connection_limit.into(),
        "http.connection_limit",
        document,
        out,
    );
    if settings.body_memory < settings.body_limit {
        document.add_finding(
            out,
            "http.body_memory",
            "it must hold one body of `body_limit`",
        );
    }
}

/// Checks the control members' addresses and the timing of polls.
pub(super) fn poll(settings: &PollSettings, document: &Document<'_>, out: &mut Findings) {
    if settings.members.is_empty() {
        document.add_finding(out, "control.members", "name one control member at least");
    }
    for (i, member) in settings.members.iter().enumerate() {
        address(member, &format!("control.members.{i}"), document, out);
    }
    nonzero_span(settings.interval, "control.interval", document, out);
    nonzero_span(settings.timeout, "control.timeout", document, out);
}

/// Checks the control group. `own` is the name of this process, which must be
/// one of the members.
pub(super) fn group(
    settings: &GroupSettings,
    own: &str,
    document: &Document<'_>,
    out: &mut Findings,
) {
    if !settings.members.iter().any(|member| member.name == own) {
        let message = format!("`{own}` is none of the group's members");
        document.add_finding(out, "process.name", message);
    }
    for (i, member) in settings.members.iter().enumerate() {
        let path_of = |field: &str| format!("group.member.{i}.{field}");
        name(&member.name, &path_of("name"), document, out);
        address(&member.poll, &path_of("poll"), document, out);
        address(&member.peer, &path_of("peer"), document, out);
        let twice = settings.members[..i].iter().any(|m| m.name == member.name);
        if twice {
            let message = format!("member `{}` is named twice", member.name);
            document.add_finding(out, &path_of("name"), message);
        }
    }
    nonzero_span(settings.heartbeat, "group.heartbeat", document, out);
    if settings.election.0 < settings.heartbeat.0 * 2 {
        let message = "`election` must be two heartbeats at least";
        document.add_finding(out, "group.election", message);
    }
    nonzero_count(
        settings.snapshot_entries,
        "group.snapshot_entries",
        document,
        out,
    );
}

/// Reports addresses that occur twice. Port 0 stands for any free port, so
/// addresses with port 0 never clash.
pub(super) fn distinct_addresses(
    addresses: &[Address],
    document: &Document<'_>,
    out: &mut Findings,
) {
    let mut seen: FastMap<&str, &str> = FastMap::default();
    for address in addresses.iter().filter(|a| !a.text.ends_with(":0")) {
        if let Some(first) = seen.insert(&address.text, &address.path) {
            let message = format!("address `{}` clashes with `{first}`", address.text);
            document.add_finding(out, &address.path, message);
        }
    }
}

/// Checks the operators' partners and token hashes.
pub(super) fn operators(
    operators: &[OperatorSettings],
    document: &Document<'_>,
    out: &mut Findings,
) {
    for (i, operator) in operators.iter().enumerate() {
        let path_of = |field: &str| format!("operator.{i}.{field}");
        name(&operator.partner, &path_of("partner"), document, out);
        let hash = &operator.token_sha256;
        if hash.len() != SHA256_DIGITS || !hash.chars().all(|c| c.is_ascii_hexdigit()) {
            let message = "expected a SHA-256 hash as 64 hexadecimal digits";
            document.add_finding(out, &path_of("token_sha256"), message);
        }
    }
}

/// Requires a literal IP address with a port; host names are not resolved.
fn address(text: &str, path: &str, document: &Document<'_>, out: &mut Findings) {
    if text.parse::<SocketAddr>().is_err() {
        let message = format!("`{text}` is no address; write `IP:PORT`");
        document.add_finding(out, path, message);
    }
}

/// Requires an `http` URL with a host.
pub(super) fn url(text: &str, path: &str, document: &Document<'_>, out: &mut Findings) {
    let rest = text.strip_prefix("http://");
    if rest.is_none_or(|rest| rest.is_empty() || rest.starts_with('/')) {
        let message = format!("`{text}` is no URL; write `http://IP:PORT`");
        document.add_finding(out, path, message);
    }
}

/// Applies [`url`] if there is a text.
pub(super) fn optional_url(
    text: Option<&str>,
    path: &str,
    document: &Document<'_>,
    out: &mut Findings,
) {
    if let Some(text) = text {
        url(text, path, document, out);
    }
}

/// Requires a duration above zero.
pub(super) fn nonzero_span(span: Span, path: &str, document: &Document<'_>, out: &mut Findings) {
    if span.0.is_zero() {
        document.add_finding(out, path, "must be longer than nothing");
    }
}

/// Requires the first duration to be no longer than the second. A finding is
/// reported at the first.
pub(super) fn not_longer_than(
    (short, path): (Span, &str),
    (long, long_path): (Span, &str),
    document: &Document<'_>,
    out: &mut Findings,
) {
    if short > long {
        document.add_finding(out, path, format!("must not be longer than `{long_path}`"));
    }
}

/// Requires a number above zero.
pub(super) fn nonzero_count(number: u64, path: &str, document: &Document<'_>, out: &mut Findings) {
    if number == 0 {
        document.add_finding(out, path, "must be 1 at least");
    }
}

/// Requires a number from 0 to 1.
pub(super) fn ratio(number: f64, path: &str, document: &Document<'_>, out: &mut Findings) {
    if !(0.0..=1.0).contains(&number) {
        document.add_finding(out, path, format!("`{number}` is no share from 0 to 1"));
    }
}

/// Requires a number of at least `least`; NaN is rejected.
pub(super) fn at_least(
    number: f64,
    least: f64,
    path: &str,
    document: &Document<'_>,
    out: &mut Findings,
) {
    if number.is_nan() || number < least {
        document.add_finding(out, path, format!("must be {least} at least"));
    }
}
