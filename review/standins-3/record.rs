//! What was sent, answered and run, with the time since the start, and the violations that were seen.

use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Upper limit on the lines of the record.
const LINES_MAX: usize = 400_000;

/// The record of one run of a case.
pub struct Record {
    started_at: Instant,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    lines: Vec<String>,
    violations: Vec<String>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started_at: Instant::now(),
            state: Mutex::default(),
        }
    }

    pub fn ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn stamp(&self, line: &str) -> String {
        format!("{:9.3} {line}", self.started_at.elapsed().as_secs_f64())
    }

    pub fn line(&self, line: &str) {
        let line = self.stamp(line);
        let mut state = self.state.lock().expect("the record");
        if state.lines.len() < LINES_MAX {
            state.lines.push(line);
        }
    }

    /// Records that a rule was broken.
    pub fn violation(&self, line: &str) {
        let line = self.stamp(&format!("VIOLATION {line}"));
        let mut state = self.state.lock().expect("the record");
        state.lines.push(line.clone());
        state.violations.push(line);
    }

    pub fn violations(&self) -> Vec<String> {
        self.state.lock().expect("the record").violations.clone()
    }

    /// Writes the record to a file.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let state = self.state.lock().expect("the record");
        let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
        for line in &state.lines {
            writeln!(file, "{line}")?;
        }
        file.flush()
    }
}

/// A random number generator with a fixed start.
pub struct Random(u64);

impl Random {
    pub const fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub const fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 11
    }

    /// Returns a number from 0 to 1.
    pub fn share(&mut self) -> f64 {
        self.next() as f64 / (1_u64 << 53) as f64
    }

    pub const fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }
}
