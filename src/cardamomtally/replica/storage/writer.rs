//! The thread that writes and syncs, so that a slow disk does not delay
//! heartbeats.

use super::{Storage, Write};
use std::{
    sync::mpsc::{Receiver, Sender, channel},
    thread::{self, JoinHandle},
    time::Instant,
};

/// The writes of one flush of a node.
#[derive(Debug)]
struct Batch {
    seq: u64,
    writes: Vec<Write>,
}

/// The outcome of writing batches.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Written {
    /// All batches up to this number are synced.
    Synced(u64),
    /// A write or sync failed with this error. No further batch is written.
    Failed(String),
}

/// Queues batches for the writing thread.
#[derive(Debug)]
pub struct Writer {
    queue: Option<Sender<Batch>>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread. It calls `report` after each sync, which may cover
    /// several batches.
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
            thread: Some(thread),
        })
    }

    /// Queues a batch. Batches after a failure are dropped.
    pub fn write(&self, seq: u64, writes: Vec<Write>) {
        if let Some(queue) = &self.queue {
            // A closed queue means that the thread has already reported a
            // failure.
            let _ended = queue.send(Batch { seq, writes });
        }
    }

    /// Writes the queued batches and ends the thread.
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

fn run(mut storage: Box<dyn Storage>, batches: &Receiver<Batch>, report: &impl Fn(Written)) {
    while let Ok(first) = batches.recv() {
        let Batch {
            mut seq,
            mut writes,
        } = first;
        for more in batches.try_iter() {
            seq = more.seq;
            writes.extend(more.writes);
        }
        let begin = Instant::now();
        if let Err(error) = storage.write(&writes) {
            report(Written::Failed(format!("{error:#}")));
            return;
        }
        metrics::histogram!("cardamomtally_replica_sync_seconds").record(begin.elapsed());
        report(Written::Synced(seq));
    }
}
