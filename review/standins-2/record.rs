//! The record of a case: what was sent, answered and run, with milliseconds since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

struct Shared {
    started_at: Instant,
    file: Mutex<File>,
}

#[derive(Clone)]
pub struct Record(Arc<Shared>);

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = Mutex::new(File::create(path).expect("a record"));
        Self(Arc::new(Shared { started_at: Instant::now(), file }))
    }

    pub fn now_ms(&self) -> u64 {
        self.0.started_at.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.now_ms());
        let _ = self.0.file.lock().expect("the record").write_all(line.as_bytes());
    }
}

/// The Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis() as u64
}
