//! What was sent, answered and run, with times since the start of the case.

use std::{
    fs, io,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Record shared by all stand-ins of a case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Record {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn add(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}", self.now_ms(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    /// Like `add`, also on standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.add(text);
    }

    pub fn write(&self, path: &Path) -> io::Result<()> {
        let lines = self.lines.lock().unwrap();
        fs::write(path, lines.join("\n") + "\n")
    }
}
