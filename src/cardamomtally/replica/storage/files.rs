//! The files of a member's folder.
//!
//! [`Disk`](super::disk::Disk) reads and writes files only through [`Files`], so that tests
//! can put a file system in its place that refuses writes or loses what was not synced.
//! [`folder`](super::folder) is the one of the operating system.

use std::{fmt::Debug, io};

/// The files of one folder, by their names.
///
/// A new, renamed or removed name is certain to survive a loss of power only after
/// [`Files::sync`]. Without it, each name may be found in its old or its new state.
pub trait Files: Debug + Send {
    /// Returns the names of all files, in any order.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn names(&self) -> io::Result<Vec<String>>;

    /// Returns the contents of a file, or `None` if there is no such file.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Creates a file that does not exist yet, to append to it.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn create(&self, name: &str) -> io::Result<Box<dyn AppendFile>>;

    /// Gives a file a new name, in place of the file that has that name now.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file. It is no error if there is no such file.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Syncs the names of the folder.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error. Which names survive is unknown then.
    fn sync(&self) -> io::Result<()>;
}

/// Replaces the contents of a file atomically: after a crash it has either its old or its
/// new contents.
///
/// # Errors
///
/// Returns the operating system's error. Which contents the file has is unknown then.
pub(super) fn replace(files: &dyn Files, name: &str, bytes: &[u8]) -> io::Result<()> {
    let temporary = format!("{name}.new");
    files.remove(&temporary)?;
    let mut file = files.create(&temporary)?;
    file.append(bytes)?;
    file.sync()?;
    files.rename(&temporary, name)?;
    files.sync()
}

/// An open file to which bytes are appended.
pub trait AppendFile: Debug + Send {
    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error. Some of the bytes may have been written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Syncs the contents of the file.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error. The bytes appended since the last sync may be
    /// lost for good, even if a later sync succeeds.
    fn sync(&mut self) -> io::Result<()>;
}
