//! The record of one run: what was sent, answered and run, with the time since the start.

use std::{
    fs,
    path::Path,
    sync::{Mutex, PoisonError},
    time::Instant,
};

/// Lines of the record in the order in which they were noted.
pub struct Record {
    started: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    /// Creates an empty record; its clock starts now.
    pub fn new() -> Self {
        Record {
            started: Instant::now(),
            lines: Mutex::default(),
        }
    }

    /// Adds a line and prints it.
    pub fn note(&self, line: impl AsRef<str>) {
        let text = format!(
            "{:8.3} s  {}",
            self.started.elapsed().as_secs_f64(),
            line.as_ref()
        );
        println!("{text}");
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(text);
    }

    /// Writes the record to a file.
    pub fn save(&self, path: &Path) {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = fs::write(path, lines.join("\n") + "\n") {
            eprintln!("the record can't be written: {error}");
        }
    }
}
