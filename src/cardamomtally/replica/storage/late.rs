//! Storage in a folder that cannot be used yet.
//!
//! A disk may be full, or refuse writes, when the process starts. An end of the process would
//! not help: it would be started again and end again, and nothing could ask it why. The
//! storage is opened later instead, like one that fails while it is used.

use super::{Loaded, Storage, Write, disk::Disk};
use crate::prelude::*;
use std::{
    io::{self, ErrorKind},
    path::{Path, PathBuf},
};

/// The state of a folder.
#[derive(Debug)]
enum State {
    /// The folder cannot be used, for this reason.
    Unusable(String),
    Open(Disk),
}

/// Storage of one group in a folder, which is opened once the folder can be used.
#[derive(Debug)]
pub struct LateDisk {
    folder: PathBuf,
    segment_bytes: u64,
    state: State,
}

impl LateDisk {
    /// Opens a folder as [`Disk::open`] does, now or later.
    ///
    /// # Errors
    ///
    /// Returns the error of [`Disk::open`] if it will not pass by itself.
    pub fn open(folder: &Path, segment_bytes: u64) -> eyre::Result<Self> {
        let state = match Disk::open(folder, segment_bytes) {
            Ok(disk) => State::Open(disk),
            Err(error) if may_pass(&error) => State::Unusable(format!("{error:#}")),
            Err(error) => return Err(error),
        };
        Ok(Self {
            folder: folder.to_owned(),
            segment_bytes,
            state,
        })
    }
}

impl Storage for LateDisk {
    fn identity(&self) -> MemberId {
        match &self.state {
            State::Unusable(_) => MemberId::default(),
            State::Open(disk) => disk.identity(),
        }
    }

    fn failure(&self) -> Option<String> {
        match &self.state {
            State::Unusable(error) => Some(error.clone()),
            State::Open(_) => None,
        }
    }

    fn load(&mut self) -> Loaded {
        match &mut self.state {
            State::Unusable(_) => Loaded::default(),
            State::Open(disk) => disk.load(),
        }
    }

    fn write(&mut self, batch: &[Write]) -> eyre::Result<()> {
        match &mut self.state {
            State::Unusable(error) => Err(eyre::eyre!("{error}")),
            State::Open(disk) => disk.write(batch),
        }
    }

    fn reopen(&mut self) -> eyre::Result<()> {
        match &mut self.state {
            State::Unusable(_) => {
                let disk = Disk::open(&self.folder, self.segment_bytes)?;
                self.state = State::Open(disk);
                Ok(())
            }
            State::Open(disk) => disk.reopen(),
        }
    }
}

/// Returns whether the operating system has refused to use a folder for a reason that may
/// pass by itself: no room, or a disk that does not work.
fn may_pass(error: &eyre::Report) -> bool {
    let system = error.chain().find_map(|e| e.downcast_ref::<io::Error>());
    system.is_some_and(|error| {
        let kinds = [
            ErrorKind::FileTooLarge,
            ErrorKind::QuotaExceeded,
            ErrorKind::StorageFull,
            ErrorKind::TimedOut,
            ErrorKind::WriteZero,
        ];
        kinds.contains(&error.kind()) || error.raw_os_error() == Some(libc::EIO)
    })
}
