//! Storage in a folder: torn tails, corrupt records, crashes between the steps of
//! a write, and folders with missing files.

use crate::support::page_cache::unsynced_pages;
use cardamomtally::{
    net::codec,
    prelude::*,
    replica::{
        entry::{Entry, HardState, Member, Members, Payload, Snapshot},
        storage::{Loaded, Storage as _, Write, disk::Disk, frame},
    },
};
use std::{
    fs,
    path::{Path, PathBuf},
};

const SEGMENT_BYTES: u64 = 1 << 20;

fn open(folder: &Path) -> eyre::Result<Disk> {
    Disk::open(folder, SEGMENT_BYTES)
}

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index: Index(index),
        term: Term(term),
        payload: Payload::Command(Arc::from(vec![index as u8; 20])),
    }
}

fn append(indices: std::ops::RangeInclusive<u64>, term: u64) -> Write {
    Write::Append(indices.map(|i| entry(i, term)).collect())
}

fn snapshot(index: u64, term: u64) -> Arc<Snapshot> {
    let member = Member {
        id: MemberId(1),
        name: Name::from("c0"),
        voter: true,
    };
    Arc::new(Snapshot {
        index: Index(index),
        term: Term(term),
        members: Members::from(vec![member]),
        state: Arc::from(vec![7; 30]),
    })
}

fn hard(term: u64) -> HardState {
    HardState {
        term: Term(term),
        vote: Some(MemberId(3)),
        cluster: 9,
    }
}

/// Opens a folder, writes batches and closes it.
fn write(folder: &Path, batches: &[Vec<Write>]) {
    let mut disk = open(folder).unwrap();
    for batch in batches {
        disk.write(batch).unwrap();
    }
}

fn load(folder: &Path) -> Loaded {
    open(folder).unwrap().load()
}

fn indices(loaded: &Loaded) -> Vec<u64> {
    loaded.entries.iter().map(|e| e.index.0).collect()
}

fn segments(folder: &Path) -> Vec<PathBuf> {
    let items = fs::read_dir(folder).unwrap().map(|i| i.unwrap().path());
    let is_log = |p: &PathBuf| p.file_name().unwrap().to_str().unwrap().starts_with("log-");
    let mut paths: Vec<PathBuf> = items.filter(is_log).collect();
    paths.sort();
    paths
}

#[test]
fn what_was_written_is_there_after_a_restart() {
    let folder = tempfile::tempdir().unwrap();
    let id = open(folder.path()).unwrap().identity();

    let batches = [
        vec![Write::Hard(hard(2)), append(1..=5, 1)],
        vec![append(4..=6, 2)],
        vec![Write::Hard(hard(3))],
    ];
    write(folder.path(), &batches);

    let mut disk = open(folder.path()).unwrap();
    let loaded = disk.load();
    assert_eq!(disk.identity(), id);
    assert_eq!(loaded.hard, hard(3));
    assert_eq!(indices(&loaded), [1, 2, 3, 4, 5, 6]);
    assert_eq!(loaded.entries[3].term, Term(2));
}

#[test]
fn a_torn_tail_is_cut_to_the_last_whole_batch() {
    let folder = tempfile::tempdir().unwrap();
    write(folder.path(), &[vec![append(1..=3, 1)]]);
    let path = segments(folder.path()).pop().unwrap();
    let whole = fs::read(&path).unwrap();
    write_more(folder.path(), &path);
    let longer = fs::read(&path).unwrap();

    for length in whole.len()..longer.len() {
        reset_to(folder.path(), &path, &longer[..length]);
        assert_eq!(indices(&load(folder.path())), [1, 2, 3], "{length}");
    }

    reset_to(folder.path(), &path, &longer);
    assert_eq!(indices(&load(folder.path())), [1, 2, 3, 4, 5]);
}

/// Appends a batch to a segment, as if the disk had stayed open. Reopening it
/// would begin a new segment, so the batch is copied from another folder.
fn write_more(folder: &Path, path: &Path) {
    let before = fs::read(path).unwrap();
    let other = tempfile::tempdir().unwrap();
    write(other.path(), &[vec![append(4..=5, 1)]]);
    let written = fs::read(segments(other.path()).pop().unwrap()).unwrap();
    let empty = tempfile::tempdir().unwrap();
    drop(open(empty.path()).unwrap());
    let head = fs::read(segments(empty.path()).pop().unwrap()).unwrap();
    reset_to(
        folder,
        path,
        &[before, written[head.len()..].to_vec()].concat(),
    );
}

/// Replaces all segments by one with the given bytes.
fn reset_to(folder: &Path, path: &Path, bytes: &[u8]) {
    for segment in segments(folder) {
        fs::remove_file(segment).unwrap();
    }
    fs::write(path, bytes).unwrap();
}

/// Guards against entries that count as synced after a restart and are lost with the power.
#[test]
fn what_a_killed_process_had_not_synced_is_synced_at_the_next_start() {
    let folder = tempfile::tempdir_in(env!("CARGO_TARGET_TMPDIR")).unwrap();
    write(folder.path(), &[vec![append(1..=3, 1)]]);
    let path = segments(folder.path()).pop().unwrap();
    write_more(folder.path(), &path);
    assert!(unsynced_pages(&path) > 0, "the file system syncs by itself");

    let loaded = load(folder.path());

    assert_eq!(indices(&loaded), [1, 2, 3, 4, 5]);
    assert_eq!(unsynced_pages(&path), 0);
}

#[test]
fn a_corrupt_record_in_the_middle_is_an_error() {
    let folder = tempfile::tempdir().unwrap();
    write(
        folder.path(),
        &[vec![append(1..=3, 1)], vec![append(4..=5, 1)]],
    );
    let path = segments(folder.path()).pop().unwrap();
    let whole = fs::read(&path).unwrap();

    for at in [0, 4, 9, whole.len() / 2] {
        let mut bytes = whole.clone();
        bytes[at] ^= 0x40;
        reset_to(folder.path(), &path, &bytes);
        let error = format!("{:#}", open(folder.path()).unwrap_err());
        assert!(error.contains("is corrupt"), "byte {at}: {error}");
    }
}

#[test]
fn a_torn_record_in_an_older_segment_is_an_error() {
    let folder = tempfile::tempdir().unwrap();
    write(folder.path(), &[vec![append(1..=3, 1)]]);
    write(folder.path(), &[vec![append(4..=5, 1)]]);
    let path = segments(folder.path()).remove(0);
    let whole = fs::read(&path).unwrap();

    fs::write(&path, &whole[..whole.len() - 1]).unwrap();

    let error = format!("{:#}", open(folder.path()).unwrap_err());
    assert!(error.contains("is corrupt"), "{error}");
}

#[test]
fn a_missing_segment_is_an_error() {
    let folder = tempfile::tempdir().unwrap();
    for first in [1, 4, 7] {
        write(folder.path(), &[vec![append(first..=first + 2, 1)]]);
    }

    fs::remove_file(segments(folder.path()).remove(1)).unwrap();

    let error = format!("{:#}", open(folder.path()).unwrap_err());
    assert!(error.contains("does not follow"), "{error}");
}

#[test]
fn a_snapshot_replaces_older_segments() {
    let folder = tempfile::tempdir().unwrap();
    let mut disk = Disk::open(folder.path(), 200).unwrap();
    for index in 1..=40 {
        disk.write(&[append(index..=index, 1)]).unwrap();
    }
    disk.write(&[Write::Hard(hard(4))]).unwrap();
    disk.write(&[Write::Compact(snapshot(38, 1))]).unwrap();
    assert!(segments(folder.path()).len() < 8);
    drop(disk);

    let loaded = load(folder.path());

    assert_eq!(loaded.snapshot, Some(snapshot(38, 1)));
    assert_eq!(indices(&loaded), [39, 40]);
    assert_eq!(loaded.hard, hard(4));
}

#[test]
fn a_crash_before_the_rename_keeps_the_old_snapshot() {
    let folder = tempfile::tempdir().unwrap();
    write(
        folder.path(),
        &[vec![append(1..=5, 1)], vec![Write::Compact(snapshot(3, 1))]],
    );

    fs::write(folder.path().join("image.new"), b"half of a ne").unwrap();

    let loaded = load(folder.path());
    assert_eq!(loaded.snapshot, Some(snapshot(3, 1)));
    assert_eq!(indices(&loaded), [4, 5]);
}

#[test]
fn a_crash_between_snapshot_and_log_drops_what_the_snapshot_replaced() {
    let folder = tempfile::tempdir().unwrap();
    let other = tempfile::tempdir().unwrap();
    for (own, installed) in [(1..=5, 10), (1..=20, 10)] {
        let folder = folder.path().join(format!("{}", own.end()));
        write(&folder, &[vec![append(own, 1)]]);
        write(
            other.path(),
            &[vec![Write::Install(snapshot(installed, 2))]],
        );
        fs::copy(other.path().join("image"), folder.join("image")).unwrap();

        let loaded = load(&folder);
        write(&folder, &[vec![append(11..=12, 2)]]);

        assert_eq!(indices(&loaded), Vec::<u64>::new());
        assert_eq!(indices(&load(&folder)), [11, 12]);
    }
}

#[test]
fn a_crash_before_old_segments_are_deleted_changes_nothing() {
    let folder = tempfile::tempdir().unwrap();
    write(folder.path(), &[vec![append(1..=5, 1)]]);
    let path = segments(folder.path()).remove(0);
    let old = fs::read(&path).unwrap();
    write(
        folder.path(),
        &[vec![append(6..=8, 1)], vec![Write::Compact(snapshot(7, 1))]],
    );

    fs::write(&path, old).unwrap();

    assert_eq!(indices(&load(folder.path())), [8]);
}

/// A loss of power brings back a removed segment whose entries a later one, which stays
/// removed, had replaced. Its last entry must not be compared with the snapshot's.
#[test]
fn replaced_entries_in_a_removed_segment_that_came_back_are_not_replayed() {
    let folder = tempfile::tempdir().unwrap();
    write(folder.path(), &[vec![append(1..=10, 1)]]);
    let path = segments(folder.path()).remove(0);
    let old = fs::read(&path).unwrap();
    write(folder.path(), &[vec![append(8..=10, 2)]]);
    write(
        folder.path(),
        &[
            vec![append(11..=12, 2)],
            vec![Write::Compact(snapshot(10, 2))],
        ],
    );

    fs::write(&path, old).unwrap();

    assert_eq!(indices(&load(folder.path())), [11, 12]);
}

#[test]
fn a_corrupt_snapshot_is_an_error() {
    let folder = tempfile::tempdir().unwrap();
    write(
        folder.path(),
        &[vec![append(1..=5, 1)], vec![Write::Compact(snapshot(3, 1))]],
    );
    let path = folder.path().join("image");
    let mut bytes = fs::read(&path).unwrap();

    bytes[20] ^= 1;
    fs::write(&path, bytes).unwrap();

    let error = format!("{:#}", open(folder.path()).unwrap_err());
    assert!(error.contains("image` is corrupt"), "{error}");
}

#[test]
fn identity_and_log_belong_together() {
    let wiped = tempfile::tempdir().unwrap();
    let id = open(wiped.path()).unwrap().identity();
    write(wiped.path(), &[vec![append(1..=5, 1)]]);
    let identity = fs::read(wiped.path().join("identity")).unwrap();

    fs::remove_file(wiped.path().join("identity")).unwrap();
    let error = open(wiped.path()).unwrap_err();
    assert!(
        error.to_string().contains("a log but no identity"),
        "{error}"
    );

    for segment in segments(wiped.path()) {
        fs::remove_file(segment).unwrap();
    }
    assert_ne!(open(wiped.path()).unwrap().identity(), id);

    let copied = tempfile::tempdir().unwrap();
    fs::write(copied.path().join("identity"), identity).unwrap();
    let error = open(copied.path()).unwrap_err();
    assert!(
        error.to_string().contains("an identity but no log"),
        "{error}"
    );
}

#[test]
fn a_folder_is_used_by_one_process() {
    let folder = tempfile::tempdir().unwrap();
    let _first = open(folder.path()).unwrap();

    let error = open(folder.path()).unwrap_err();

    assert!(error.to_string().contains("is in use"), "{error}");
}

/// Replaces the image by one in the format of earlier versions, which does not name the first
/// segment of the log.
fn store_former_image(folder: &Path, image: &Snapshot) {
    let bytes = frame::frame(&codec::encode(image));
    fs::write(folder.join("image"), bytes).unwrap();
}

#[test]
fn a_former_image_opens_beside_some_of_the_segments_that_it_replaced() {
    let folder = tempfile::tempdir().unwrap();
    for first in [1, 4, 7, 10] {
        write(folder.path(), &[vec![append(first..=first + 2, 1)]]);
    }
    store_former_image(folder.path(), &snapshot(9, 1));

    fs::remove_file(segments(folder.path()).remove(1)).unwrap();

    assert_eq!(indices(&load(folder.path())), [10, 11, 12]);
}

/// A former version has removed two segments without a sync, the second of which replaced
/// entries of the first one. Only the first one is found again after a loss of power.
#[test]
fn a_former_image_does_not_drop_later_entries_for_replaced_ones_that_came_back() {
    let folder = tempfile::tempdir().unwrap();
    write(folder.path(), &[vec![append(1..=10, 1)]]);
    write(folder.path(), &[vec![append(8..=10, 2)]]);
    write(folder.path(), &[vec![append(11..=12, 2)]]);
    store_former_image(folder.path(), &snapshot(10, 2));

    fs::remove_file(segments(folder.path()).remove(1)).unwrap();

    assert_eq!(indices(&load(folder.path())), [11, 12]);
}
