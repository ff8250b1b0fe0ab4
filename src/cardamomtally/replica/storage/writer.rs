//! The thread that writes and syncs, so that a slow disk does not delay
//! heartbeats.
//!
//! After a failed write, or if the storage could not be used yet, it reopens the storage until
//! that succeeds. The node that queued
//! the batches of before is replaced then, so these are never written: each batch carries
//! the incarnation of its node, the number of times that the storage was reopened.

use super::{Loaded, Storage, Write};
use crate::prelude::*;
use std::{
    sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel},
    thread::{self, JoinHandle},
    time::Instant,
};

/// Pause before the first attempt to reopen the storage. A disk that was full for a moment
/// is used again before the others elect another leader.
const MIN_REOPEN_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between two attempts to reopen the storage. It bounds the load on a disk
/// that does not work, and the time until a disk that works again is used.
const MAX_REOPEN_PAUSE: Duration = Duration::from_secs(1);

/// The writes of one flush of a node.
#[derive(Debug)]
struct Batch {
    incarnation: u64,
    seq: u64,
    writes: Vec<Write>,
}

/// The outcome of writing batches.
#[derive(Debug)]
pub enum Written {
    /// All batches up to this number are synced.
    Synced(u64),
    /// A write or sync failed with this error. No further batch is written until
    /// [`Writer::resume`].
    Failed(String),
    /// The storage cannot be reopened, for another reason than the one told last.
    Unusable(String),
    /// The storage works again.
    Reopened(Reopened),
}

/// A storage that was reopened after a failed write.
#[derive(Debug)]
pub struct Reopened {
    /// Number of times that the storage was reopened.
    pub incarnation: u64,
    /// The member's identity. It may have been unknown before.
    pub identity: MemberId,
    /// What is certain to be stored.
    pub loaded: Loaded,
}

/// Queues batches for the writing thread.
#[derive(Debug)]
pub struct Writer {
    queue: Option<Sender<Batch>>,
    incarnation: u64,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread. It calls `report` after each sync, which may cover
    /// several batches, and when the storage was reopened.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start(
        storage: Box<dyn Storage>,
        report: impl Fn(Written) + Send + 'static,
    ) -> std::io::Result<Self> {
        let (queue, batches) = channel();
        let run = move || run(storage, &batches, &report);
        let thread = thread::Builder::new().name("storage".into()).spawn(run)?;
        Ok(Self {
            queue: Some(queue),
            incarnation: 0,
            thread: Some(thread),
        })
    }

    /// Queues a batch. Batches after a failure are dropped until [`Writer::resume`].
    pub fn write(&self, seq: u64, writes: Vec<Write>) {
        if let Some(queue) = &self.queue {
            // A closed queue means that the thread has panicked.
            let _ended = queue.send(Batch {
                incarnation: self.incarnation,
                seq,
                writes,
            });
        }
    }

    /// Has the batches from now on written to a reopened storage. The caller has taken up
    /// what that holds.
    pub const fn resume(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
    }

    /// Writes the queued batches and ends the thread. A storage that does not work is not
    /// reopened any more.
    pub fn stop(&mut self) {
        self.queue = None;
        if let Some(thread) = self.thread.take() {
            // The panic hook has already reported the panic.
            let _panicked = thread.join();
        }
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.stop();
    }
}

/// State of the writing thread.
struct Thread<'a, R> {
    storage: Box<dyn Storage>,
    batches: &'a Receiver<Batch>,
    report: &'a R,
    incarnation: u64,
    /// Why the storage does not work, as told last.
    reason: String,
    /// Pause before the next attempt to reopen the storage. Only a write that succeeds
    /// resets it: a nearly full disk may be reopened and then refuse the next write.
    pause: Duration,
}

fn run(storage: Box<dyn Storage>, batches: &Receiver<Batch>, report: &impl Fn(Written)) {
    let mut thread = Thread {
        storage,
        batches,
        report,
        incarnation: 0,
        reason: String::new(),
        pause: MIN_REOPEN_PAUSE,
    };
    if let Some(reason) = thread.storage.failure() {
        thread.reason = reason;
        if !thread.reopen() {
            return;
        }
    }
    while let Ok(first) = batches.recv() {
        if first.incarnation != thread.incarnation {
            continue;
        }
        let written = thread.write_queued(first);
        if written.is_err() && !thread.reopen() {
            return;
        }
    }
}

impl<R: Fn(Written)> Thread<'_, R> {
    /// Writes a batch and those queued behind it with one sync, and reports the outcome.
    fn write_queued(&mut self, first: Batch) -> Result<(), ()> {
        let Batch {
            mut seq,
            mut writes,
            ..
        } = first;
        for more in self.batches.try_iter() {
            seq = more.seq;
            writes.extend(more.writes);
        }
        let begin = Instant::now();
        if let Err(error) = self.storage.write(&writes) {
            self.reason = format!("{error:#}");
            (self.report)(Written::Failed(self.reason.clone()));
            return Err(());
        }
        metrics::histogram!("cardamomtally_replica_sync_seconds").record(begin.elapsed());
        self.pause = MIN_REOPEN_PAUSE;
        (self.report)(Written::Synced(seq));
        Ok(())
    }

    /// Reopens the storage, with pauses, until that succeeds, and reports what it holds.
    /// Returns false if the thread is stopped meanwhile.
    fn reopen(&mut self) -> bool {
        loop {
            if !self.wait() {
                return false;
            }
            self.pause = (self.pause * 2).min(MAX_REOPEN_PAUSE);
            match self.storage.reopen() {
                Ok(()) => break,
                Err(error) => self.tell(format!("{error:#}")),
            }
        }
        self.incarnation += 1;
        (self.report)(Written::Reopened(Reopened {
            incarnation: self.incarnation,
            identity: self.storage.identity(),
            loaded: self.storage.load(),
        }));
        true
    }

    /// Reports why the storage cannot be reopened, unless that was told last.
    fn tell(&mut self, reason: String) {
        if reason != self.reason {
            self.reason.clone_from(&reason);
            (self.report)(Written::Unusable(reason));
        }
    }

    /// Drops batches for the length of a pause. Returns false if the thread is stopped.
    fn wait(&self) -> bool {
        let end = Instant::now() + self.pause;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            match self.batches.recv_timeout(left) {
                Ok(_dropped) => {}
                Err(RecvTimeoutError::Timeout) => return true,
                Err(RecvTimeoutError::Disconnected) => return false,
            }
        }
    }
}
