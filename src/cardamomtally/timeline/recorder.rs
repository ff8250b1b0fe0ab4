//! A process's bounded ring of events, and optionally a file of them.
//!
//! The file is written by a thread of its own behind a bounded queue. When the
//! queue is full, events are left out of the file, so that recording never
//! blocks traffic.

use super::hlc::{Hlc, Stamp};
use crate::core::{clock::Clock, id::Name};
use eyre::WrapErr as _;
use serde::{Deserialize, Serialize};
use std::{
    collections::VecDeque,
    fs::{File, OpenOptions},
    io::{BufWriter, Write as _},
    path::Path,
    sync::{
        Arc, Mutex, PoisonError,
        mpsc::{Receiver, SyncSender, sync_channel},
    },
};

/// Events that may wait to be written to the file.
const QUEUE_EVENTS: usize = 4_096;

/// Something that happened in a process.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Event {
    /// When, on the hybrid logical clock.
    pub at: Stamp,
    /// The process.
    pub process: Name,
    /// The part of the process, such as `admission`.
    pub part: Name,
    /// The request, attempt, ticket or other object, such as `ticket clydeside/7`.
    pub subject: String,
    /// What happened, in one short sentence.
    pub text: String,
}

/// Records the events of one process.
#[derive(Debug)]
pub struct Recorder {
    process: Name,
    clock: Arc<dyn Clock>,
    hlc: Hlc,
    limit: usize,
    ring: Mutex<VecDeque<Event>>,
    file: Option<SyncSender<Event>>,
}

impl Recorder {
    /// Builds a recorder that keeps the latest `limit` events.
    #[must_use]
    pub fn new(process: &str, clock: Arc<dyn Clock>, limit: usize) -> Self {
        Self {
            process: process.into(),
            clock,
            hlc: Hlc::default(),
            limit,
            ring: Mutex::default(),
            file: None,
        }
    }

    /// Appends events to a file, too, as JSON lines.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened or the thread not started.
    pub fn with_file(mut self, path: &Path) -> eyre::Result<Self> {
        let file = OpenOptions::new()
            .append(true)
            .create(true)
            .open(path)
            .wrap_err_with(|| format!("failed to open event file `{}`", path.display()))?;
        let (sender, receiver) = sync_channel(QUEUE_EVENTS);
        std::thread::Builder::new()
            .name("events".to_owned())
            .spawn(move || write_events(file, &receiver))
            .wrap_err("failed to start the thread that writes events")?;
        self.file = Some(sender);
        Ok(self)
    }

    /// Records an event.
    pub fn record(&self, part: &str, subject: &impl ToString, text: impl Into<String>) {
        if self.limit == 0 {
            return;
        }
        let event = Event {
            at: self.stamp(),
            process: Arc::clone(&self.process),
            part: part.into(),
            subject: subject.to_string(),
            text: text.into(),
        };
        if let Some(file) = &self.file {
            // A full queue leaves the event out of the file; the ring has it.
            let _ignored = file.try_send(event.clone());
        }
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        if ring.len() == self.limit {
            ring.pop_front();
        }
        ring.push_back(event);
    }

    /// Returns a stamp to pass along with a message.
    pub fn stamp(&self) -> Stamp {
        self.hlc.stamp(self.clock.wall_micros())
    }

    /// Takes note of a stamp that came with a message.
    pub fn observe(&self, stamp: Stamp) {
        self.hlc.observe(stamp);
    }

    /// Returns the events in the ring, oldest first.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.iter().cloned().collect()
    }
}

/// Writes events until the recorder is dropped or the file fails.
fn write_events(file: File, events: &Receiver<Event>) {
    let mut out = BufWriter::new(file);
    while let Ok(event) = events.recv() {
        let mut next = Some(event);
        while let Some(event) = next {
            if serde_json::to_writer(&mut out, &event).is_err() || out.write_all(b"\n").is_err() {
                return;
            }
            next = events.try_recv().ok();
        }
        if out.flush().is_err() {
            return;
        }
    }
}
