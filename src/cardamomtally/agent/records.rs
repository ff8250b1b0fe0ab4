//! The agent's usage records, which are kept until they are billed.
//!
//! Records are kept in memory, and also in a folder if the settings name one.
//! There, a record is synced to disk before the end of its answer is forwarded,
//! so that an agent that dies afterwards bills it after its restart. A dedicated
//! thread does the disk work.

use super::usage::{UsageRecord, UsageTable};
use crate::{
    core::{
        claim::{ClaimOp, ClaimStore},
        clock::{Clock, Mono},
        id::AttemptId,
    },
    net::codec,
};
use eyre::WrapErr as _;
use std::{
    fmt,
    fs::{self, File},
    io::Write as _,
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        mpsc::{Sender, channel},
    },
    time::Duration,
};
use tokio::sync::oneshot;

/// Delay before a bill is sent to the ledger again, in seconds.
const BILL_RETRY_SECS: u64 = 2;

/// Interval between two checks for records that are due, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 250;

/// Suffix of a record's file name.
const SUFFIX: &str = ".usage";

/// All usage records of an agent.
pub struct Records {
    table: Mutex<UsageTable>,
    disk: Option<DiskWriter>,
    clock: Arc<dyn Clock>,
    claims: Arc<dyn ClaimStore>,
    grace: Duration,
    log: slog::Logger,
}

impl fmt::Debug for Records {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Records").finish_non_exhaustive()
    }
}

/// Settings and dependencies of the usage records.
pub struct RecordParts {
    /// Folder for records that must survive the process; `None` keeps records in
    /// memory only.
    pub folder: Option<PathBuf>,
    /// How long an entry may take to bill a request before the agent does.
    pub grace: Duration,
    /// Clock for due times.
    pub clock: Arc<dyn Clock>,
    /// The ledger, where bills are committed.
    pub claims: Arc<dyn ClaimStore>,
    /// Logger.
    pub log: slog::Logger,
}

impl fmt::Debug for RecordParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RecordParts").finish_non_exhaustive()
    }
}

impl Records {
    /// Opens the usage records and reads those that an earlier run left. A file
    /// that does not decode is logged and skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder or one of its files cannot be read, or if
    /// the disk thread cannot start.
    pub fn open(parts: RecordParts) -> eyre::Result<Self> {
        let RecordParts {
            folder,
            grace,
            clock,
            claims,
            log,
        } = parts;
        let mut table = UsageTable::default();
        let due = clock.now() + grace;
        if let Some(folder) = &folder {
            for usage in read_folder(folder, &log)? {
                table.add(usage, due);
            }
        }
        Ok(Self {
            table: Mutex::new(table),
            disk: folder.map(DiskWriter::start).transpose()?,
            clock,
            claims,
            grace,
            log,
        })
    }

    /// Adds a record. If a folder is set, returns after the record is on disk; a
    /// failed write is logged, and the record is kept in memory only.
    pub async fn add(&self, usage: UsageRecord) {
        if let Some(disk) = &self.disk {
            disk.write(&usage, &self.log).await;
        }
        let due = self.clock.now() + self.grace;
        self.lock().add(usage, due);
    }

    /// Drops all records of a request whose bill is committed.
    pub fn billed(&self, attempt: AttemptId) {
        let same = self.lock().billed_request(attempt.request);
        if let Some(disk) = &self.disk {
            for attempt in same {
                disk.remove(attempt);
            }
        }
    }

    /// Returns the number of records that are not billed yet.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns whether no record is left to bill.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Bills requests that entries have not billed within the grace period. Never
    /// returns.
    pub async fn sweep(self: Arc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_millis(SWEEP_INTERVAL_MS)).await;
            self.bill_due(self.clock.now());
        }
    }

    /// Bills all records now, before a stop. Returns true once none is left, and
    /// false if some are left after `timeout`.
    pub async fn flush(self: &Arc<Self>, timeout: Duration) -> bool {
        let end = self.clock.now() + timeout;
        loop {
            let now = self.clock.now();
            self.lock().make_all_due(now);
            self.bill_due(now);
            if self.is_empty() || now >= end {
                return self.is_empty();
            }
            tokio::time::sleep(Duration::from_millis(SWEEP_INTERVAL_MS)).await;
        }
    }

    fn bill_due(self: &Arc<Self>, now: Mono) {
        let due = self.lock().take_due(now);
        for usage in due {
            tokio::spawn(Arc::clone(self).bill(usage));
        }
    }

    async fn bill(self: Arc<Self>, usage: UsageRecord) {
        let attempt = usage.attempt;
        match self.claims.apply(ClaimOp::Bill(usage.bill)).await {
            Ok(_) => {
                slog::info!(self.log, "usage: agent billed a request"; "attempt" => %attempt);
                metrics::counter!("cardamomtally_agent_bills_total").increment(1);
                self.billed(attempt);
            }
            Err(error) => {
                slog::warn!(self.log, "usage: the ledger did not accept a bill; retrying";
                    "attempt" => %attempt, "error" => %error);
                let pause = Duration::from_secs(BILL_RETRY_SECS);
                let now = self.clock.now();
                self.lock().reschedule(attempt, now, pause);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, UsageTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The thread that writes and removes record files.
#[derive(Debug)]
struct DiskWriter {
    queue: Sender<DiskJob>,
}

#[derive(Debug)]
enum DiskJob {
    Write(AttemptId, Vec<u8>, oneshot::Sender<std::io::Result<()>>),
    Remove(AttemptId),
}

impl DiskWriter {
    fn start(folder: PathBuf) -> eyre::Result<Self> {
        let (queue, jobs) = channel();
        let work = move || {
            for job in jobs {
                match job {
                    DiskJob::Write(attempt, bytes, reply) => {
                        let _caller_gone = reply.send(write(&folder, attempt, &bytes));
                    }
                    // If the file cannot be removed, its bill is sent again after
                    // a restart, and the ledger ignores the duplicate.
                    DiskJob::Remove(attempt) => drop(fs::remove_file(path(&folder, attempt))),
                }
            }
        };
        std::thread::Builder::new()
            .name("agent records".to_owned())
            .spawn(work)?;
        Ok(Self { queue })
    }

    async fn write(&self, usage: &UsageRecord, log: &slog::Logger) {
        let (reply, answer) = oneshot::channel();
        let job = DiskJob::Write(usage.attempt, codec::encode(usage), reply);
        if self.queue.send(job).is_err() {
            return;
        }
        if let Ok(Err(error)) = answer.await {
            slog::error!(log, "usage: failed to write a record; keeping it in memory only";
                "attempt" => %usage.attempt, "error" => %error);
        }
    }

    fn remove(&self, attempt: AttemptId) {
        // Fails only while the process is ending, because the disk thread runs
        // until then.
        let _stopped = self.queue.send(DiskJob::Remove(attempt));
    }
}

fn path(folder: &Path, attempt: AttemptId) -> PathBuf {
    folder.join(format!("{attempt}{SUFFIX}"))
}

fn write(folder: &Path, attempt: AttemptId, bytes: &[u8]) -> std::io::Result<()> {
    let partial = folder.join(format!("{attempt}.partial"));
    let mut file = File::create(&partial)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&partial, path(folder, attempt))?;
    File::open(folder)?.sync_all()
}

fn read_folder(folder: &Path, log: &slog::Logger) -> eyre::Result<Vec<UsageRecord>> {
    fs::create_dir_all(folder)
        .wrap_err_with(|| format!("failed to create {}", folder.display()))?;
    let entries =
        fs::read_dir(folder).wrap_err_with(|| format!("failed to read {}", folder.display()))?;
    let mut found = Vec::new();
    for entry in entries {
        let path = entry?.path();
        if !path.to_string_lossy().ends_with(SUFFIX) {
            continue;
        }
        let bytes =
            fs::read(&path).wrap_err_with(|| format!("failed to read {}", path.display()))?;
        match codec::decode(&bytes) {
            Ok(usage) => found.push(usage),
            Err(error) => slog::error!(log, "usage: failed to decode a record file; skipping it";
                "file" => %path.display(), "error" => %error),
        }
    }
    Ok(found)
}
