//! The segments `log-N` of a folder, and their replay.

use super::{
    corrupt::Corrupt,
    files::{self, AppendFile, Files},
    frame::{self, End},
    replay::{Record, Replay},
};
use crate::{
    net::codec,
    prelude::*,
    replica::entry::{HardState, Snapshot},
};

const PREFIX: &str = "log-";

/// A segment that is no longer written to.
#[derive(Debug)]
pub(super) struct Segment {
    pub(super) number: u64,
    /// Highest index in the segment.
    pub(super) last: Index,
}

/// The segment to which a write or sync has failed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unsynced {
    pub(super) number: u64,
    /// Length in bytes that earlier syncs have covered.
    pub(super) length: u64,
}

/// What the segments of a folder amount to.
#[derive(Debug)]
pub(super) struct Segments {
    /// All segments, oldest first.
    pub(super) closed: Vec<Segment>,
    /// Number of the next segment.
    pub(super) next: u64,
    pub(super) replay: Replay,
}

pub(super) fn name(number: u64) -> String {
    format!("{PREFIX}{number:016x}")
}

/// Creates the file of a segment.
pub(super) fn create(files: &dyn Files, number: u64) -> eyre::Result<Box<dyn AppendFile>> {
    let name = name(number);
    let created = files.create(&name);
    created.wrap_err_with(|| format!("failed to create `{name}`"))
}

/// Replays the segments from `first` on, which follow or overlap `snapshot`. Of earlier
/// ones only the term and vote are used, if no later one holds any.
///
/// Of the segment that `unsynced` names only the bytes before its length count: a sync of
/// those after it has failed.
pub(super) fn replay(
    files: &dyn Files,
    first: u64,
    snapshot: Option<&Snapshot>,
    unsynced: Option<Unsynced>,
) -> eyre::Result<Segments> {
    let numbers = numbers(files)?;
    let first = match snapshot {
        Some(_) => first.max(after_last_gap(&numbers)),
        None => first,
    };
    let (covered, live) = numbers.split_at(numbers.partition_point(|n| *n < first));
    let mut found = Segments {
        closed: covered.iter().copied().map(Segment::covered).collect(),
        next: first.max(numbers.last().map_or(1, |n| n + 1)),
        replay: Replay::new(snapshot.map_or(Index::default(), |s| s.index)),
    };
    for number in live {
        let known = unsynced.filter(|u| u.number == *number);
        let newest = Some(number) == live.last();
        found.add(files, *number, known, newest)?;
    }
    if let Some(number) = covered.last()
        && !found.replay.has_hard()
    {
        let hard = last_hard(files, *number)?;
        found.replay.record(Record::Hard(hard))?;
    }
    Ok(found)
}

/// Returns the number after the last one that is missing, or 0 if none is. Segments are
/// removed from the oldest on, so that those before it were removed too and came back. An
/// image of an earlier version does not name the first segment.
fn after_last_gap(numbers: &[u64]) -> u64 {
    let pairs = numbers.windows(2);
    let gap = pairs.rev().find(|pair| pair[0] + 1 != pair[1]);
    gap.map_or(0, |pair| pair[1])
}

impl Segment {
    /// A segment all of whose entries a snapshot covers.
    fn covered(number: u64) -> Self {
        Self {
            number,
            last: Index::default(),
        }
    }
}

impl Segments {
    /// Replays a segment.
    fn add(
        &mut self,
        files: &dyn Files,
        number: u64,
        unsynced: Option<Unsynced>,
        newest: bool,
    ) -> eyre::Result<()> {
        let bytes = read(files, number, unsynced)?;
        let kept = replay_bytes(&bytes, number, newest, &mut self.replay)?;
        let last = self.replay.close_segment();
        if newest && kept == 0 {
            // A start that could not write its segment leaves it without a record. Its number
            // is used again, so that a disk that stays full does not collect such segments.
            files.remove(&name(number))?;
            self.next = number;
            return Ok(());
        }
        if newest || unsynced.is_some() {
            write_again(files, number, &bytes[..kept])?;
        }
        self.closed.push(Segment { number, last });
        Ok(())
    }
}

fn numbers(files: &dyn Files) -> eyre::Result<Vec<u64>> {
    let names = files.names().wrap_err("failed to list the files")?;
    let digits = names.iter().filter_map(|n| n.strip_prefix(PREFIX));
    let numbers = digits.filter_map(|digits| u64::from_str_radix(digits, 16).ok());
    let mut numbers: Vec<u64> = numbers.collect();
    numbers.sort_unstable();
    Ok(numbers)
}

fn read(files: &dyn Files, number: u64, unsynced: Option<Unsynced>) -> eyre::Result<Vec<u8>> {
    let name = name(number);
    let read = files.read(&name);
    let mut bytes = read
        .wrap_err_with(|| format!("failed to read `{name}`"))?
        .unwrap_or_default();
    if let Some(unsynced) = unsynced {
        bytes.truncate(unsynced.length as usize);
    }
    Ok(bytes)
}

/// Replays the records of a segment. Returns the length of the whole ones: the newest
/// segment may end in a torn one.
fn replay_bytes(
    bytes: &[u8],
    number: u64,
    newest: bool,
    replay: &mut Replay,
) -> eyre::Result<usize> {
    let mut replay_frames = || -> eyre::Result<usize> {
        let (contents, end) = frame::split(bytes);
        for content in contents {
            for record in decode(content)? {
                replay.record(record)?;
            }
        }
        match end {
            End::Whole => Ok(bytes.len()),
            End::Torn(at) if newest => Ok(at),
            End::Corrupt(at) | End::Torn(at) => {
                Err(Corrupt::new(format!("the record at byte {at} is corrupt")).into())
            }
        }
    };
    let replayed = replay_frames();
    replayed.wrap_err_with(|| format!("failed to replay log segment `{}`", name(number)))
}

/// Writes the newest segment again. An earlier process may have ended after a failed sync:
/// a read then returns bytes that the disk does not hold, and that no later sync of the same
/// file writes.
fn write_again(files: &dyn Files, number: u64, bytes: &[u8]) -> eyre::Result<()> {
    let name = name(number);
    let written = files::replace(files, &name, bytes);
    written.wrap_err_with(|| format!("failed to write `{name}` again"))
}

/// Returns the last term and vote in a segment.
fn last_hard(files: &dyn Files, number: u64) -> eyre::Result<HardState> {
    let bytes = files.read(&name(number))?.unwrap_or_default();
    let mut hard = HardState::default();
    for content in frame::split(&bytes).0 {
        for record in decode(content)? {
            if let Record::Hard(found) = record {
                hard = found;
            }
        }
    }
    Ok(hard)
}

fn decode(content: &[u8]) -> eyre::Result<Vec<Record>> {
    let decoded = codec::decode(content);
    Ok(decoded.map_err(|error| Corrupt::new(format!("a record does not decode: {error:#}")))?)
}
