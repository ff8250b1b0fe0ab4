//! The files of a folder of the operating system, locked against other processes.

use super::files::{AppendFile, Files};
use crate::prelude::*;
use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, ErrorKind, Write as _},
    path::{Path, PathBuf},
    time::Instant,
};

/// Time to wait for the folder's lock. After a quick restart, the previous
/// process may still be exiting.
const LOCK_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause between two attempts to lock the folder.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(10);

const LOCK_FILE: &str = "lock";

/// A folder that no other process uses.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// Keeps the folder locked while it is open.
    _lock: File,
}

impl Folder {
    /// Creates a folder if it does not exist, and locks it.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder cannot be used, or if another process uses it.
    pub fn open(path: &Path) -> eyre::Result<Self> {
        create(path).wrap_err_with(|| format!("failed to create folder `{}`", path.display()))?;
        Ok(Self {
            path: path.to_owned(),
            _lock: lock(path)?,
        })
    }
}

impl Files for Folder {
    fn names(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for item in fs::read_dir(&self.path)? {
            // A name that is no UTF-8 belongs to none of the member's files.
            names.extend(item?.file_name().into_string());
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.path.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn AppendFile>> {
        let mut options = OpenOptions::new();
        let file = options.create_new(true).append(true);
        Ok(Box::new(file.open(self.path.join(name))?))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        match fs::remove_file(self.path.join(name)) {
            Err(error) if error.kind() != ErrorKind::NotFound => Err(error),
            Ok(()) | Err(_) => Ok(()),
        }
    }

    fn sync(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl AppendFile for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

/// Creates a folder with its missing parents, and syncs the folders that hold their names.
/// The folder's own parent is synced in any case: an earlier start may have ended before.
fn create(path: &Path) -> io::Result<()> {
    let missing = path.ancestors().take_while(|p| !p.exists()).count();
    fs::create_dir_all(path)?;
    for parent in path.ancestors().skip(1).take(missing.max(1)) {
        let named = !parent.as_os_str().is_empty();
        let parent = if named { parent } else { Path::new(".") };
        File::open(parent)?.sync_all()?;
    }
    Ok(())
}

fn lock(folder: &Path) -> eyre::Result<File> {
    let path = folder.join(LOCK_FILE);
    let file = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path)
        .wrap_err_with(|| format!("failed to open `{}`", path.display()))?;
    let tried = Instant::now();
    loop {
        match file.try_lock() {
            Ok(()) => return Ok(file),
            Err(TryLockError::WouldBlock) if tried.elapsed() < LOCK_TIMEOUT => {
                std::thread::sleep(LOCK_RETRY_INTERVAL);
            }
            Err(error) => {
                return Err(error)
                    .wrap_err_with(|| format!("folder `{}` is in use", folder.display()));
            }
        }
    }
}
