//! `record.txt`: what was sent, answered and run, each line with the time since the start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record(Arc::new((Mutex::new(file), Instant::now()))))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let (file, start) = &*self.0;
        let at = start.elapsed().as_secs_f64();
        let mut file = file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} s  {}", text.as_ref());
    }
}
