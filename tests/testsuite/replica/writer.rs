//! The writing thread after a failed write.

use cardamomtally::{
    prelude::*,
    replica::{
        entry::HardState,
        storage::{
            Loaded, Storage, Write,
            writer::{Writer, Written},
        },
    },
};
use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
        mpsc::{Receiver, channel},
    },
    time::Instant,
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A disk that refuses everything while `full` is set, and records the terms it stores.
#[derive(Clone, Debug, Default)]
struct Terms {
    full: Arc<AtomicBool>,
    stored: Arc<Mutex<Vec<u64>>>,
}

impl Terms {
    fn check(&self) -> eyre::Result<()> {
        eyre::ensure!(!self.full.load(Ordering::SeqCst), "no space left");
        Ok(())
    }
}

impl Storage for Terms {
    fn identity(&self) -> MemberId {
        MemberId(1)
    }

    fn load(&mut self) -> Loaded {
        let term = self.stored.lock().unwrap().last().copied();
        Loaded {
            hard: hard(term.unwrap_or_default()),
            ..Loaded::default()
        }
    }

    fn write(&mut self, batch: &[Write]) -> eyre::Result<()> {
        self.check()?;
        let terms = batch.iter().filter_map(|write| match write {
            Write::Hard(hard) => Some(hard.term.0),
            _ => None,
        });
        self.stored.lock().unwrap().extend(terms);
        Ok(())
    }

    fn reopen(&mut self) -> eyre::Result<()> {
        self.check()
    }
}

fn hard(term: u64) -> HardState {
    HardState {
        term: Term(term),
        ..HardState::default()
    }
}

fn start(disk: &Terms) -> (Writer, Receiver<Written>) {
    let (reports, reported) = channel();
    let report = move |written| drop(reports.send(written));
    let writer = Writer::start(Box::new(disk.clone()), report).unwrap();
    (writer, reported)
}

fn write(writer: &Writer, term: u64) {
    writer.write(term, vec![Write::Hard(hard(term))]);
}

/// Guards against a batch of a node that was replaced: it may contradict what the reopened
/// storage holds.
#[test]
fn batches_of_before_the_storage_was_taken_up_again_are_never_written() {
    let disk = Terms::default();
    let (mut writer, reported) = start(&disk);
    write(&writer, 1);
    let first = reported.recv_timeout(WAIT_TIMEOUT).unwrap();
    disk.full.store(true, Ordering::SeqCst);
    write(&writer, 2);
    let failed = reported.recv_timeout(WAIT_TIMEOUT).unwrap();
    write(&writer, 3);
    disk.full.store(false, Ordering::SeqCst);
    let Written::Reopened(reopened) = reported.recv_timeout(WAIT_TIMEOUT).unwrap() else {
        panic!("not reopened");
    };
    write(&writer, 4);
    writer.resume(reopened.incarnation);
    write(&writer, 5);
    let last = reported.recv_timeout(WAIT_TIMEOUT).unwrap();

    assert!(matches!(first, Written::Synced(1)), "{first:?}");
    assert!(matches!(failed, Written::Failed(_)), "{failed:?}");
    assert_eq!(reopened.loaded.hard.term, Term(1));
    assert!(matches!(last, Written::Synced(5)), "{last:?}");
    assert_eq!(*disk.stored.lock().unwrap(), [1, 5]);
}

/// Guards against a process that does not end while its disk does not work.
#[test]
fn a_writer_whose_storage_does_not_work_stops_at_once() {
    let disk = Terms::default();
    disk.full.store(true, Ordering::SeqCst);
    let (mut writer, reported) = start(&disk);
    write(&writer, 1);
    let failed = reported.recv_timeout(WAIT_TIMEOUT).unwrap();
    // By then the pause between two attempts is a second.
    std::thread::sleep(Duration::from_secs(2));
    let begin = Instant::now();

    writer.stop();

    assert!(matches!(failed, Written::Failed(_)), "{failed:?}");
    assert!(begin.elapsed() < Duration::from_millis(300));
    assert_eq!(reported.try_iter().count(), 0);
}
