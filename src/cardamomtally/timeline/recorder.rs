//! Records the events of a process in a bounded ring buffer and, optionally, in a
//! file.
//!
//! A separate thread writes the file and receives the events through a bounded
//! queue. When the queue is full, events are missing from the file, because
//! recording must never delay requests.

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

/// Capacity of the queue between the recorder and the thread that writes the file,
/// in events. When the queue is full, new events are not written to the file.
const QUEUE_EVENTS: usize = 4_096;

/// An event in a process.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Event {
    /// Time of the event on the hybrid logical clock.
    pub at: Stamp,
    /// Name of the process.
    pub process: Name,
    /// Part of the process that recorded the event, such as `admission`.
    pub part: Name,
    /// Object of the event, such as a request, an attempt or a ticket
    /// (`ticket clydeside/7`).
    pub subject: String,
    /// What happened, in one short sentence.
    pub text: String,
}

/// Recorder of the events of one process.
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
    /// Creates a recorder that keeps the latest `limit` events. With a limit of 0,
    /// the recorder ignores all events.
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

    /// Starts a thread that also appends each event to a file, as one line of JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened or the thread cannot be
    /// started.
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

    /// Records an event with the current stamp. Never blocks on the file.
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
            // If the queue is full or the thread has ended, the event is missing
            // from the file, but the ring buffer contains it.
            let _ignored = file.try_send(event.clone());
        }
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        if ring.len() == self.limit {
            ring.pop_front();
        }
        ring.push_back(event);
    }

    /// Returns a new stamp, to be sent with a message.
    pub fn stamp(&self) -> Stamp {
        self.hlc.stamp(self.clock.wall_micros())
    }

    /// Advances the clock to a stamp that was received with a message.
    pub fn observe(&self, stamp: Stamp) {
        self.hlc.observe(stamp);
    }

    /// Returns the events in the ring buffer, oldest first.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.iter().cloned().collect()
    }
}

/// Appends events to the file until the recorder is dropped or a write fails.
///
/// The writer flushes when the queue is empty, so that the file is up to date
/// whenever the process is idle.
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
