//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// The record, with times in milliseconds since it was opened.
#[derive(Debug)]
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(path)?),
            start: Instant::now(),
        })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_millis();
        let mut file = self.file.lock().expect("no thread panics with the record");
        let _ = writeln!(file, "{at:>7} {}", text.as_ref());
    }
}
