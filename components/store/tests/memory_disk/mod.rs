//! Simulated disk that distinguishes written from durable bytes, and that can run full, fail fsync
//! or stop.
#![allow(dead_code, missing_docs, unreachable_pub)]

use std::{
    collections::BTreeMap,
    io,
    path::Path,
    sync::{Arc, Mutex, MutexGuard},
};
use store::{Disk, DiskFile};

#[derive(Clone, Debug, Default)]
struct Content {
    written: Vec<u8>,
    durable: Vec<u8>,
}

#[derive(Debug, Default)]
pub struct State {
    files: BTreeMap<String, Content>,
    /// Directory entries that are on the disk, with the files to which they refer.
    durable_names: BTreeMap<String, Content>,
    pub free_bytes: usize,
    pub operations: usize,
    /// Number of operations after which the machine stops.
    pub max_operations: Option<usize>,
    pub fail_fsync: bool,
}

#[derive(Clone, Debug)]
pub struct MemoryDisk(Arc<Mutex<State>>);

struct MemoryFile {
    disk: MemoryDisk,
    name: String,
}

impl MemoryDisk {
    pub fn new() -> Self {
        let state = State {
            free_bytes: usize::MAX,
            ..State::default()
        };
        MemoryDisk(Arc::new(Mutex::new(state)))
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    /// The disk after a power loss. Of the bytes that are not durable in each file, the first
    /// `kept_bytes` remain.
    pub fn after_power_loss(&self, kept_bytes: usize) -> MemoryDisk {
        let state = self.state();
        let surviving_file = |(name, content): (&String, &Content)| {
            let live = state.files.get(name).unwrap_or(content);
            let mut bytes = content.durable.clone();
            if live.written.starts_with(&bytes) {
                let end = live.written.len().min(bytes.len() + kept_bytes);
                bytes = live.written[..end].to_vec();
            }
            let content = Content {
                written: bytes.clone(),
                durable: bytes,
            };
            (name.clone(), content)
        };
        let files: BTreeMap<_, _> = state.durable_names.iter().map(surviving_file).collect();
        let after = MemoryDisk::new();
        after.state().durable_names = files.clone();
        after.state().files = files;
        after
    }

    fn start_operation(&self) -> io::Result<MutexGuard<'_, State>> {
        let mut state = self.state();
        state.operations += 1;
        if state
            .max_operations
            .is_some_and(|limit| state.operations > limit)
        {
            return Err(io::Error::other("the machine has stopped"));
        }
        Ok(state)
    }
}

fn not_found() -> io::Error {
    io::ErrorKind::NotFound.into()
}

impl Disk for MemoryDisk {
    fn path(&self) -> &Path {
        Path::new("data")
    }

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.start_operation()?.files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.start_operation()?;
        state
            .files
            .get(name)
            .map(|f| f.written.clone())
            .ok_or_else(not_found)
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn DiskFile>> {
        self.start_operation()?
            .files
            .insert(name.to_owned(), Content::default());
        self.open(name)
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn DiskFile>> {
        self.start_operation()?
            .files
            .get(name)
            .ok_or_else(not_found)?;
        Ok(Box::new(MemoryFile {
            disk: self.clone(),
            name: name.to_owned(),
        }))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.start_operation()?;
        let content = state.files.remove(from).ok_or_else(not_found)?;
        state.files.insert(to.to_owned(), content);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.start_operation()?;
        let content = state.files.remove(name).ok_or_else(not_found)?;
        state.free_bytes = state.free_bytes.saturating_add(content.written.len());
        Ok(())
    }

    fn sync_directory(&self) -> io::Result<()> {
        let mut state = self.start_operation()?;
        state.durable_names = state.files.clone();
        Ok(())
    }
}

impl DiskFile for MemoryFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.disk.start_operation()?;
        let written_bytes = bytes.len().min(state.free_bytes);
        if state.free_bytes != usize::MAX {
            state.free_bytes -= written_bytes;
        }
        let content = state.files.get_mut(&self.name).ok_or_else(not_found)?;
        content.written.extend_from_slice(&bytes[..written_bytes]);
        if written_bytes < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.disk.start_operation()?;
        if state.fail_fsync {
            return Err(io::Error::other("the disk reports an error"));
        }
        let content = state.files.get_mut(&self.name).ok_or_else(not_found)?;
        content.durable = content.written.clone();
        let durable = content.durable.clone();
        if let Some(named) = state.durable_names.get_mut(&self.name) {
            named.durable = durable;
        }
        Ok(())
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        let mut state = self.disk.start_operation()?;
        let content = state.files.get_mut(&self.name).ok_or_else(not_found)?;
        let cut = content.written.len() - length as usize;
        content.written.truncate(length as usize);
        state.free_bytes = state.free_bytes.saturating_add(cut);
        Ok(())
    }
}
