//! Encoding of figures in messages between entries.
//!
//! A message is a header and sections. A section names the figures that its rows hold, so that
//! a row is a key and one byte for most figures. Keys are 24 bits of the server's key and sorted;
//! a row holds the difference to the key before. Sections of unknown kind are skipped.
//!
//! Figures are rounded on a logarithmic scale, so that a byte covers their whole range with
//! errors below 3 %.

use super::table::{Factor, LoadReport, Pool, Row, Table};
use crate::prelude::*;
use std::collections::BTreeMap;

/// Version of the encoding. Messages of other versions are ignored.
const VERSION: u8 = 1;
/// Length of the header in bytes.
const HEADER_BYTES: usize = 26;
/// Greatest length of the rows of a message in bytes. With all headers it fits into one packet
/// of 1,280 bytes, and into the receive buffer of former builds.
const MAX_ROWS_BYTES: usize = 1_100;
/// Greatest key of a row.
pub const MAX_KEY: u32 = 0x00ff_ffff;

/// Figure of a section: prefill work.
pub const PREFILL: u8 = 1;
/// Figures of a section: requests in flight and memory.
pub const PLACED: u8 = 2;
/// Figures of a section: the load report and its age.
pub const REPORT: u8 = 4;
/// Figures of a section: the learned speed factor and its weight.
pub const FACTOR: u8 = 8;
/// All figures of a row.
pub const ALL: u8 = PREFILL | PLACED | REPORT | FACTOR;
/// Kind of the section with the figures of services and data centres.
const POOLS: u8 = 0x40;

/// Scale of a figure: its least difference from zero and its greatest value.
#[derive(Clone, Copy, Debug)]
struct Scale {
    unit: f64,
    max: f64,
}

const PREFILL_MS: Scale = Scale {
    unit: 0.5,
    max: 600_000.0,
};
const REQUESTS: Scale = Scale {
    unit: 1.0,
    max: 20_000.0,
};
const MEMORY: Scale = Scale {
    unit: 1_000.0,
    max: 2e7,
};
const PACE: Scale = Scale {
    unit: 10.0,
    max: 10_000.0,
};
const FACTORS: Scale = Scale {
    unit: 0.1,
    max: 100.0,
};
const WORK_MS: Scale = Scale {
    unit: 1.0,
    max: 1e9,
};
/// Difference of prefill work up to which it counts as unchanged, in milliseconds.
const LEAST_CHANGE_MS: f64 = 8.0;
/// Unit of the age of a load report, in milliseconds.
const AGE_UNIT_MS: u64 = 10;

impl Scale {
    fn code(self, value: f64, steps: f64) -> f64 {
        let share = (value.max(0.0) / self.unit).ln_1p() / (self.max / self.unit).ln_1p();
        (share.min(1.0) * steps).round()
    }

    fn value(self, code: f64, steps: f64) -> f64 {
        (code / steps * (self.max / self.unit).ln_1p()).exp_m1() * self.unit
    }

    fn byte(self, value: f64) -> u8 {
        let code = self.code(value, f64::from(u8::MAX)) as u8;
        // A figure that is not zero stays so.
        if value > 0.0 { code.max(1) } else { code }
    }

    fn word(self, value: f64) -> u16 {
        self.code(value, f64::from(u16::MAX)) as u16
    }

    fn of_byte(self, code: u8) -> f64 {
        self.value(f64::from(code), f64::from(u8::MAX))
    }

    fn of_word(self, code: u16) -> f64 {
        self.value(f64::from(code), f64::from(u16::MAX))
    }
}

/// What a message is for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Kind {
    /// Figures of the sender alone, sent to all.
    #[default]
    Direct,
    /// Sums of the sender and the entries below it in a tree.
    Up,
    /// Totals of all entries, from the root of a tree.
    Down,
}

/// Header of a message.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Header {
    /// What the message is for.
    pub kind: Kind,
    /// Tree in which the message travels.
    pub tree: u16,
    /// Figures that the message replaces for all servers in its range; servers without a row
    /// have none.
    pub replaces: u8,
    /// Digest of the sender's list of members.
    pub digest: u32,
    /// Place of the sender, or of the root whose totals these are.
    pub place: u16,
    /// Number of the round.
    pub round: u16,
    /// Number of this message among those of the round.
    pub part: u8,
    /// Number of messages of the round.
    pub parts: u8,
    /// Number of entries whose figures are included.
    pub entries: u16,
    /// Mean age of the included entries' figures, in milliseconds.
    pub age: u16,
    /// Time until the next round, in milliseconds.
    pub interval: u16,
    /// Least and greatest key that the message covers.
    pub range: (u32, u32),
}

/// A row to be sent, and which of its figures.
pub type Selected<'a> = (u32, &'a Row, u8);

/// Figures of a service in a data centre, by key.
pub type Pools = BTreeMap<u32, Pool>;

/// A decoded message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Its header.
    pub header: Header,
    /// Rows, each with the figures that it holds.
    pub rows: Vec<(u32, Row, u8)>,
    /// Figures of services and data centres.
    pub pools: Pools,
}

fn row_bytes(mask: u8) -> usize {
    let sizes = [(PREFILL, 1), (PLACED, 2), (REPORT, 4), (FACTOR, 2)];
    let held = sizes.iter().filter(|(figure, _)| mask & figure != 0);
    3 + held.map(|(_, size)| size).sum::<usize>()
}

/// Encodes rows, which are sorted by key, and pools in as many messages as they need.
#[must_use]
pub fn encode(header: Header, rows: &[Selected<'_>], pools: &Pools, now: Mono) -> Vec<Vec<u8>> {
    let mut parts: Vec<&[Selected<'_>]> = Vec::new();
    let (mut begin, mut size) = (0, pools.len() * 8);
    for (index, (_, _, mask)) in rows.iter().enumerate() {
        let more = row_bytes(*mask);
        if size + more > MAX_ROWS_BYTES && index > begin {
            parts.push(&rows[begin..index]);
            (begin, size) = (index, 0);
        }
        size += more;
    }
    parts.push(&rows[begin..]);
    let count = parts.len().min(usize::from(u8::MAX));
    let mut least = 0;
    let mut messages = Vec::with_capacity(count);
    for (part, rows) in parts.iter().take(count).enumerate() {
        let next = parts.get(part + 1).map(|next| next[0].0);
        let header = Header {
            part: part as u8,
            parts: count as u8,
            range: (least, next.map_or(MAX_KEY, |key| key - 1)),
            ..header
        };
        least = next.unwrap_or(MAX_KEY);
        let mut bytes = Vec::with_capacity(HEADER_BYTES + MAX_ROWS_BYTES + 64);
        put_header(&mut bytes, &header);
        for mask in 1..=ALL {
            put_section(&mut bytes, mask, rows, now);
        }
        if part == 0 && !pools.is_empty() {
            put_pools(&mut bytes, pools);
        }
        messages.push(bytes);
    }
    messages
}

fn put_header(bytes: &mut Vec<u8>, header: &Header) {
    let kind = match header.kind {
        Kind::Direct => 0,
        Kind::Up => 1,
        Kind::Down => 2,
    };
    bytes.extend([VERSION, kind, header.tree as u8, header.replaces]);
    bytes.extend(header.digest.to_be_bytes());
    bytes.extend(header.place.to_be_bytes());
    bytes.extend(header.round.to_be_bytes());
    bytes.extend([header.part, header.parts]);
    bytes.extend(header.entries.to_be_bytes());
    bytes.extend(header.age.to_be_bytes());
    bytes.extend(header.interval.to_be_bytes());
    bytes.extend(&header.range.0.to_be_bytes()[1..]);
    bytes.extend(&header.range.1.to_be_bytes()[1..]);
}

fn put_section(bytes: &mut Vec<u8>, mask: u8, rows: &[Selected<'_>], now: Mono) {
    let mut held = rows.iter().filter(|row| row.2 == mask).peekable();
    if held.peek().is_none() {
        return;
    }
    let begin = bytes.len();
    bytes.extend([mask, 0, 0]);
    let mut before = 0;
    for (key, row, _) in held {
        put_gap(bytes, key - before);
        before = *key;
        if mask & PREFILL != 0 {
            bytes.push(PREFILL_MS.byte(row.prefill_ms));
        }
        if mask & PLACED != 0 {
            bytes.push(REQUESTS.byte(row.in_flight));
            bytes.push(MEMORY.byte(row.memory));
        }
        if mask & REPORT != 0 {
            let report = row.report.unwrap_or_default();
            let age = now.since(report.at).as_millis() as u64 / AGE_UNIT_MS;
            bytes.push(REQUESTS.byte(f64::from(report.running)));
            bytes.push(REQUESTS.byte(f64::from(report.waiting)));
            bytes.push(report.pace.map_or(0, |pace| PACE.byte(f64::from(pace))));
            bytes.push(u8::try_from(age).unwrap_or(u8::MAX));
        }
        if mask & FACTOR != 0 {
            let factor = row.factor.unwrap_or_default();
            bytes.push(FACTORS.byte(factor.value));
            bytes.push(factor.weight.clamp(0.0, 255.0) as u8);
        }
    }
    put_length(bytes, begin);
}

fn put_pools(bytes: &mut Vec<u8>, pools: &Pools) {
    let begin = bytes.len();
    bytes.extend([POOLS, 0, 0]);
    for (key, pool) in pools {
        bytes.extend(key.to_be_bytes());
        bytes.extend(WORK_MS.word(pool.outstanding_ms).to_be_bytes());
        bytes.extend(WORK_MS.word(pool.completed_ms_per_s).to_be_bytes());
    }
    put_length(bytes, begin);
}

fn put_length(bytes: &mut [u8], begin: usize) {
    let length = (bytes.len() - begin - 3) as u16;
    bytes[begin + 1..begin + 3].copy_from_slice(&length.to_be_bytes());
}

/// Appends the difference of two keys: 15 bits in two bytes, or 23 in three, whose first bit is
/// set. Longer ones take the three bytes 0xffffff and three more.
fn put_gap(bytes: &mut Vec<u8>, gap: u32) {
    if gap < 0x8000 {
        bytes.extend((gap as u16).to_be_bytes());
    } else if gap < 0x007f_ffff {
        bytes.extend(&(gap | 0x0080_0000).to_be_bytes()[1..]);
    } else {
        bytes.extend([0xff; 3]);
        bytes.extend(&gap.to_be_bytes()[1..]);
    }
}

/// Reads a message from its bytes.
struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(taken)
    }

    fn number(&mut self, bytes: usize) -> Option<u32> {
        let taken = self.take(bytes)?;
        Some(taken.iter().fold(0, |all, b| (all << 8) | u32::from(*b)))
    }

    fn byte(&mut self) -> Option<u8> {
        self.number(1).map(|n| n as u8)
    }

    fn word(&mut self) -> Option<u16> {
        self.number(2).map(|n| n as u16)
    }

    fn gap(&mut self) -> Option<u32> {
        let first = self.number(2)?;
        if first < 0x8000 {
            return Some(first);
        }
        let gap = (first << 8) | self.number(1)?;
        match gap {
            0x00ff_ffff => self.number(3),
            _ => Some(gap & 0x007f_ffff),
        }
    }
}

/// Decodes a message. Returns none if it is malformed or of another version.
#[must_use]
pub fn decode(bytes: &[u8], now: Mono) -> Option<Message> {
    let mut reader = Reader(bytes);
    if reader.byte()? != VERSION {
        return None;
    }
    let kind = match reader.byte()? {
        0 => Kind::Direct,
        1 => Kind::Up,
        2 => Kind::Down,
        _ => return None,
    };
    let header = Header {
        kind,
        tree: u16::from(reader.byte()?),
        replaces: reader.byte()?,
        digest: reader.number(4)?,
        place: reader.word()?,
        round: reader.word()?,
        part: reader.byte()?,
        parts: reader.byte()?,
        entries: reader.word()?,
        age: reader.word()?,
        interval: reader.word()?,
        range: (reader.number(3)?, reader.number(3)?),
    };
    if header.part >= header.parts {
        return None;
    }
    let mut message = Message {
        header,
        ..Message::default()
    };
    while !reader.0.is_empty() {
        let kind = reader.byte()?;
        let length = usize::from(reader.word()?);
        let section = Reader(reader.take(length)?);
        match kind {
            1..=ALL => take_rows(&mut message.rows, kind, section, now)?,
            POOLS => take_pools(&mut message.pools, section)?,
            _ => {}
        }
    }
    Some(message)
}

fn take_rows(
    rows: &mut Vec<(u32, Row, u8)>,
    mask: u8,
    mut section: Reader<'_>,
    now: Mono,
) -> Option<()> {
    let mut key = 0_u32;
    while !section.0.is_empty() {
        key = key.checked_add(section.gap()?)?;
        if key > MAX_KEY {
            return None;
        }
        let mut row = Row::default();
        if mask & PREFILL != 0 {
            row.prefill_ms = PREFILL_MS.of_byte(section.byte()?);
        }
        if mask & PLACED != 0 {
            row.in_flight = REQUESTS.of_byte(section.byte()?);
            row.memory = MEMORY.of_byte(section.byte()?);
        }
        if mask & REPORT != 0 {
            let count = |code| REQUESTS.of_byte(code).round() as u32;
            let (running, waiting) = (count(section.byte()?), count(section.byte()?));
            let pace = Some(section.byte()?).filter(|code| *code > 0);
            let age = Duration::from_millis(u64::from(section.byte()?) * AGE_UNIT_MS);
            row.report = Some(LoadReport {
                running,
                waiting,
                pace: pace.map(|code| PACE.of_byte(code).round() as u32),
                at: now - age,
            });
        }
        if mask & FACTOR != 0 {
            let (value, weight) = (section.byte()?, section.byte()?);
            row.factor = (weight > 0).then(|| Factor {
                value: FACTORS.of_byte(value),
                weight: f64::from(weight),
                at: now,
            });
        }
        rows.push((key, row, mask));
    }
    Some(())
}

fn take_pools(pools: &mut Pools, mut section: Reader<'_>) -> Option<()> {
    while !section.0.is_empty() {
        let key = section.number(4)?;
        let pool = Pool {
            outstanding_ms: WORK_MS.of_word(section.word()?),
            completed_ms_per_s: WORK_MS.of_word(section.word()?),
        };
        pools.insert(key, pool);
    }
    Some(())
}

/// Returns which figures of `new` differ from `old` by more than a share of the larger, or
/// became or stopped being zero.
#[must_use]
pub fn changed(old: &Row, new: &Row, share: f64) -> u8 {
    let differs = |a: f64, b: f64, least: f64| {
        let difference = (a - b).abs();
        difference > (share * a.max(b)).max(least) || (a <= 0.0) != (b <= 0.0)
    };
    let mut mask = 0;
    if differs(old.prefill_ms, new.prefill_ms, LEAST_CHANGE_MS) {
        mask |= PREFILL;
    }
    if differs(old.in_flight, new.in_flight, 1.5) || differs(old.memory, new.memory, 0.0) {
        mask |= PLACED;
    }
    let count = |a: u32, b: u32| differs(f64::from(a), f64::from(b), 1.5);
    let pace = |report: LoadReport| report.pace.unwrap_or_default();
    let reports = old.report.zip(new.report);
    let report = reports.map_or(new.report.is_some(), |(a, b)| {
        let counts = count(a.running, b.running) || count(a.waiting, b.waiting);
        b.at > a.at && (counts || count(pace(a), pace(b)))
    });
    if report {
        mask |= REPORT;
    }
    mask
}

/// Applies the rows of a message to a table, and removes what it replaces.
pub fn apply(table: &mut Table, message: &Message) {
    let (least, most) = message.header.range;
    if least <= most {
        for (_, row) in table.range_mut(least..=most) {
            row.clear(message.header.replaces);
        }
    }
    for (key, row, mask) in &message.rows {
        table.entry(*key).or_default().set(row, *mask);
    }
    table.retain(|_, row| !row.is_empty());
}
