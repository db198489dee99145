//! The file operations that the store needs; tests replace them to inject faults.

use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Read, Write},
    path::{Path, PathBuf},
};

/// A file open for appending.
pub trait DiskFile: Send {
    /// Writes all bytes at the end, or fails with any part of them written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Returns once all bytes are on the disk.
    fn sync(&mut self) -> io::Result<()>;
    /// Truncates the file to this length.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
}

/// File operations in one data directory.
pub trait Disk: Send {
    /// Path of the directory, for error messages.
    fn path(&self) -> &Path;
    /// Names of the files in the directory.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Reads a whole file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates an empty file, replacing one with the same name.
    fn create(&self, name: &str) -> io::Result<Box<dyn DiskFile>>;
    /// Opens a file to append to it.
    fn open(&self, name: &str) -> io::Result<Box<dyn DiskFile>>;
    /// Renames a file, replacing one with the new name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Returns once the directory's entries are on the disk.
    fn sync_directory(&self) -> io::Result<()>;
}

/// A data directory in the file system, locked against other processes while this value exists.
#[derive(Debug)]
pub struct DataDirectory {
    path: PathBuf,
    _lock: File,
}

pub(crate) const LOCK_FILE: &str = "lock";

impl DataDirectory {
    /// Creates the directory if it does not exist, and locks it.
    ///
    /// Fails with `WouldBlock` if another process holds the lock.
    pub fn open(path: impl AsRef<Path>) -> io::Result<Self> {
        let path = path.as_ref().to_owned();
        fs::create_dir_all(&path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_FILE))?;
        match lock.try_lock() {
            Ok(()) => Ok(DataDirectory { path, _lock: lock }),
            Err(TryLockError::WouldBlock) => Err(io::ErrorKind::WouldBlock.into()),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }
}

impl Disk for DataDirectory {
    fn path(&self) -> &Path {
        &self.path
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            names.push(entry?.file_name().to_string_lossy().into_owned());
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(self.path.join(name))?.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn DiskFile>> {
        Ok(Box::new(File::create(self.path.join(name))?))
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn DiskFile>> {
        let file = OpenOptions::new().append(true).open(self.path.join(name))?;
        Ok(Box::new(file))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync_directory(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl DiskFile for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }
}
