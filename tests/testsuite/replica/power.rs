//! A member's storage under losses of power. Every name that was not synced is found in
//! its old or its new state, whatever became of the other names.

use super::files::ModelFiles;
use cardamomtally::{
    prelude::*,
    replica::{
        entry::{Entry, HardState, Member, Members, Payload, Snapshot},
        storage::{Loaded, Storage as _, Write, disk::Disk},
    },
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

/// Number of seeds without `CARDAMOMTALLY_SEEDS`, as in CI.
const SEEDS: u64 = 300;
/// Number of batches that are written with each seed.
const BATCHES: usize = 80;
/// Size of a segment in bytes. It is small, so that a snapshot replaces several.
const SEGMENT_BYTES: u64 = 300;

/// Draws the writes of a member, in the order in which a node returns them.
struct Script {
    rng: SmallRng,
    /// What the storage holds if all writes so far were kept.
    stored: Loaded,
    commit: Index,
}

impl Script {
    fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            stored: Loaded::default(),
            commit: Index::default(),
        }
    }

    fn base(&self) -> Index {
        self.stored
            .snapshot
            .as_ref()
            .map_or(Index::default(), |s| s.index)
    }

    fn last(&self) -> Index {
        self.stored.entries.last().map_or(self.base(), |e| e.index)
    }

    fn batch(&mut self) -> Vec<Write> {
        let count = self.rng.random_range(1..=3);
        (0..count).map(|_| self.write()).collect()
    }

    fn write(&mut self) -> Write {
        let write = match self.rng.random_range(0..10) {
            0 => self.hard(),
            1 if self.commit > self.base() => self.compact(),
            2 => self.install(),
            3 => self.append(true),
            _ => self.append(false),
        };
        self.stored.apply(&write);
        let last = self.last().0;
        self.commit = Index(self.rng.random_range(self.commit.0..=last));
        write
    }

    /// Goes on from what a storage holds after a failed write.
    fn go_on_from(&mut self, loaded: Loaded) {
        self.stored = loaded;
        self.commit = self.commit.min(self.last()).max(self.base());
    }

    fn hard(&mut self) -> Write {
        let term = Term(self.stored.hard.term.0 + 1);
        Write::Hard(HardState {
            term,
            vote: Some(MemberId(self.rng.random())),
            cluster: 9,
        })
    }

    /// Appends entries at the end of the log, or in place of entries that are not
    /// committed.
    fn append(&mut self, replace: bool) -> Write {
        let begin = if replace { self.commit } else { self.last() };
        let term = self.stored.hard.term;
        let count = self.rng.random_range(1..=4);
        let entry = |i| Entry {
            index: Index(begin.0 + i),
            term,
            payload: Payload::Command(Arc::from(vec![i as u8; 40])),
        };
        Write::Append((1..=count).map(entry).collect())
    }

    fn compact(&mut self) -> Write {
        let index = self.rng.random_range(self.base().0 + 1..=self.commit.0);
        let entry = self.stored.entries.iter().find(|e| e.index.0 == index);
        Write::Compact(snapshot(index, entry.unwrap().term))
    }

    /// Stores a snapshot that the log does not reach.
    fn install(&mut self) -> Write {
        let index = self.last().0 + self.rng.random_range(1..=5);
        self.commit = Index(index);
        Write::Install(snapshot(index, self.stored.hard.term))
    }
}

fn snapshot(index: u64, term: Term) -> Arc<Snapshot> {
    let member = Member {
        id: MemberId(1),
        name: Name::from("c0"),
        voter: true,
    };
    Arc::new(Snapshot {
        index: Index(index),
        term,
        members: Members::from(vec![member]),
        state: Arc::from(vec![7; 30]),
    })
}

fn open(files: &ModelFiles) -> eyre::Result<(Disk, Loaded)> {
    let mut disk = Disk::open_files(Box::new(files.clone()), SEGMENT_BYTES)?;
    let loaded = disk.load();
    Ok((disk, loaded))
}

fn agree(a: &Loaded, b: &Loaded) -> bool {
    a.hard == b.hard && a.snapshot == b.snapshot && a.entries == b.entries
}

/// Writes batches, loses power or restarts between them, and checks after each restart
/// that the storage holds all of them.
fn lose_power_at_random(seed: u64) -> Result<(), String> {
    let files = ModelFiles::new(seed);
    let mut script = Script::new(seed);
    let (mut disk, _empty) = open(&files).map_err(|e| format!("{e:#}"))?;
    let id = disk.identity();
    for batch in 0..BATCHES {
        disk.write(&script.batch()).map_err(|e| format!("{e:#}"))?;
        match script.rng.random_range(0..8) {
            0 => files.lose_power(),
            1 => {}
            _ => continue,
        }
        let opened = open(&files);
        let (again, loaded) = opened.map_err(|e| format!("after batch {batch}: {e:#}"))?;
        if !agree(&loaded, &script.stored) {
            return Err(format!(
                "after batch {batch}: {loaded:?}, {:?}",
                script.stored
            ));
        }
        if again.identity() != id {
            return Err(format!("after batch {batch}: another identity"));
        }
        disk = again;
    }
    Ok(())
}

/// Writes batches to a disk that becomes full, or whose syncs fail, for some time. Checks
/// that the storage then holds all batches before the failed one and, of that one, none or
/// some of the writes.
fn fail_writes_at_random(seed: u64) -> Result<(), String> {
    let files = ModelFiles::new(seed);
    let mut script = Script::new(seed);
    let (mut disk, _empty) = open(&files).map_err(|e| format!("{e:#}"))?;
    for batch in 0..BATCHES {
        let before = script.stored.clone();
        let writes = script.batch();
        match script.rng.random_range(0..6) {
            0 => files.set_space(Some(script.rng.random_range(0..400))),
            1 => files.set_syncs_fail(true),
            _ => {}
        }
        if disk.write(&writes).is_ok() {
            files.set_space(None);
            files.set_syncs_fail(false);
            continue;
        }
        let again = script.rng.random_range(0..3);
        let refused = (0..again).filter(|_| disk.reopen().is_err()).count();
        let restarts = script.rng.random_ratio(1, 2);
        if restarts && refused == again && script.rng.random() {
            files.lose_power();
        }
        files.set_space(None);
        files.set_syncs_fail(false);
        let reopened = if restarts {
            open(&files).map(|(opened, _loaded)| disk = opened)
        } else {
            disk.reopen()
        };
        reopened.map_err(|e| format!("after batch {batch}: {e:#}"))?;
        drop(disk);
        // What a read returned after the failure must be on the disk by now.
        files.lose_power();
        let (opened, loaded) = open(&files).map_err(|e| format!("after batch {batch}: {e:#}"))?;
        disk = opened;
        let mut expected = before;
        let mut agrees = agree(&loaded, &expected);
        for write in &writes {
            expected.apply(write);
            agrees |= agree(&loaded, &expected);
        }
        if !agrees {
            return Err(format!("after batch {batch}: {loaded:?}, {expected:?}"));
        }
        script.go_on_from(loaded);
    }
    Ok(())
}

/// Ends the process between two changes to the files, during a write or a start, with or
/// without a loss of power. Checks that the next start that completes finds all batches
/// before the interrupted one and, of that one, none or some of the writes.
fn end_between_changes(seed: u64) -> Result<(), String> {
    let files = ModelFiles::new(seed);
    let mut script = Script::new(seed);
    let (mut disk, _empty) = open(&files).map_err(|e| format!("{e:#}"))?;
    let id = disk.identity();
    for batch in 0..BATCHES {
        let before = script.stored.clone();
        let writes = script.batch();
        files.set_changes_left(Some(script.rng.random_range(0..24)));
        if disk.write(&writes).is_ok() && script.rng.random() {
            files.set_changes_left(None);
            continue;
        }
        // Each of these starts may be interrupted as well.
        loop {
            if script.rng.random() {
                files.lose_power();
            }
            let ends = script.rng.random_ratio(1, 2);
            let left = script.rng.random_range(0..16);
            files.set_changes_left(ends.then_some(left));
            match open(&files) {
                Ok((opened, _loaded)) => {
                    disk = opened;
                    break;
                }
                Err(_) if ends => {}
                Err(error) => return Err(format!("after batch {batch}: {error:#}")),
            }
        }
        files.set_changes_left(None);
        drop(disk);
        files.lose_power();
        let (opened, loaded) = open(&files).map_err(|e| format!("after batch {batch}: {e:#}"))?;
        disk = opened;
        if disk.identity() != id {
            return Err(format!("after batch {batch}: another identity"));
        }
        holds_some_of(&loaded, before, &writes).map_err(|e| format!("after batch {batch}: {e}"))?;
        script.go_on_from(loaded);
    }
    Ok(())
}

/// Lets a single change to the files fail, among others that succeed, and then starts again
/// or goes on with the same process. Checks that all that was written since is found after
/// losses of power.
fn fail_one_change(seed: u64) -> Result<(), String> {
    let files = ModelFiles::new(seed);
    let mut script = Script::new(seed);
    let (mut disk, _empty) = open(&files).map_err(|e| format!("{e:#}"))?;
    for batch in 0..BATCHES {
        let before = script.stored.clone();
        let writes = script.batch();
        if script.rng.random_ratio(1, 3) {
            files.set_failure_after(Some(script.rng.random_range(0..16)));
        }
        let written = disk.write(&writes);
        files.set_failure_after(None);
        if written.is_ok() && script.rng.random_ratio(7, 8) {
            continue;
        }
        let restarts = written.is_ok() || script.rng.random();
        if restarts {
            drop(disk);
            if script.rng.random_ratio(1, 3) {
                files.lose_power();
            }
            let (opened, loaded) =
                open(&files).map_err(|e| format!("after batch {batch}: {e:#}"))?;
            disk = opened;
            holds_some_of(&loaded, before, &writes)
                .map_err(|e| format!("after batch {batch}: {e}"))?;
            script.go_on_from(loaded);
        } else {
            let reopened = disk.reopen();
            reopened.map_err(|e| format!("after batch {batch}: {e:#}"))?;
            let loaded = disk.load();
            holds_some_of(&loaded, before, &writes)
                .map_err(|e| format!("after batch {batch}: {e}"))?;
            script.go_on_from(loaded);
        }
    }
    Ok(())
}

/// Checks that a storage holds what it held before and none or some of the writes, from the
/// first one on.
fn holds_some_of(loaded: &Loaded, before: Loaded, writes: &[Write]) -> Result<(), String> {
    let mut expected = before;
    let mut agrees = agree(loaded, &expected);
    for write in writes {
        expected.apply(write);
        agrees |= agree(loaded, &expected);
    }
    if agrees {
        Ok(())
    } else {
        Err(format!("{loaded:?}, {expected:?}"))
    }
}

fn failing_seeds(play: impl Fn(u64) -> Result<(), String>) -> Vec<u64> {
    let count = std::env::var("CARDAMOMTALLY_SEEDS").ok();
    let seeds = count.map_or(SEEDS, |n| n.parse().unwrap());
    let failed = (0..seeds).filter_map(|seed| {
        let fault = play(seed).err()?;
        eprintln!("seed {seed}: {fault}");
        Some(seed)
    });
    failed.collect()
}

#[test]
fn a_member_opens_with_all_that_was_synced_after_a_power_loss_with_any_subset_of_names() {
    assert_eq!(failing_seeds(lose_power_at_random), Vec::<u64>::new());
}

#[test]
fn nothing_synced_is_lost_after_writes_that_were_refused_short_or_not_synced() {
    assert_eq!(failing_seeds(fail_writes_at_random), Vec::<u64>::new());
}

#[test]
fn nothing_synced_is_lost_if_the_process_ends_between_any_two_changes_to_the_files() {
    assert_eq!(failing_seeds(end_between_changes), Vec::<u64>::new());
}

#[test]
fn nothing_synced_is_lost_after_a_single_change_to_the_files_has_failed() {
    assert_eq!(failing_seeds(fail_one_change), Vec::<u64>::new());
}
