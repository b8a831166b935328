//! Damaged copies of kept inputs, for tests of code that reads bytes from outside.
//!
//! The same seed damages the same inputs in the same way, so that a failure can be repeated. An
//! input that has failed once is kept beside the others.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::fs;
use std::io;
use std::path::Path;

/// Damages at one input at most.
const DAMAGES_MAX: usize = 4;

/// Bytes that separate or escape in the formats that are read.
const SPECIAL: &[u8] = b"\r\n\0 :;,/%\"{}[]0-9\xff";

/// An input and the name of its file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Input {
    /// The name of the file.
    pub name: String,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// Reads the kept inputs of a directory, in the order of their names.
///
/// # Errors
///
/// Returns why the directory or a file cannot be read.
pub fn kept_inputs(directory: impl AsRef<Path>) -> io::Result<Vec<Input>> {
    let entries = fs::read_dir(directory)?;
    let inputs = entries.map(|entry| {
        let entry = entry?;
        Ok(Input {
            name: entry.file_name().to_string_lossy().into_owned(),
            bytes: fs::read(entry.path())?,
        })
    });
    let mut inputs = inputs.collect::<io::Result<Vec<Input>>>()?;
    inputs.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(inputs)
}

/// Damages inputs at random.
#[derive(Debug)]
pub struct Damager(StdRng);

impl Damager {
    /// Makes a damager that repeats its work for the same seed.
    pub fn new(seed: u64) -> Self {
        Self(StdRng::seed_from_u64(seed))
    }

    /// Returns a damaged copy.
    pub fn damage(&mut self, bytes: impl AsRef<[u8]>) -> Vec<u8> {
        let mut damaged = bytes.as_ref().to_vec();
        for _ in 0..self.0.random_range(1..=DAMAGES_MAX) {
            self.damage_once(&mut damaged);
        }
        damaged
    }

    /// Returns a place at which to cut bytes in two.
    pub fn cut(&mut self, bytes: impl AsRef<[u8]>) -> usize {
        self.0.random_range(0..=bytes.as_ref().len())
    }

    fn damage_once(&mut self, bytes: &mut Vec<u8>) {
        let at = self.0.random_range(0..=bytes.len());
        match self.0.random_range(0..6) {
            0 if at < bytes.len() => bytes[at] ^= 1 << self.0.random_range(0..8),
            1 if at < bytes.len() => bytes[at] = self.special(),
            2 => bytes.insert(at, self.special()),
            3 => bytes.truncate(at),
            4 => {
                let end = self.0.random_range(at..=bytes.len());
                bytes.drain(at..end);
            }
            _ => {
                let end = self.0.random_range(at..=bytes.len());
                let again = bytes[at..end].to_vec();
                bytes.splice(at..at, again);
            }
        }
    }

    fn special(&mut self) -> u8 {
        SPECIAL[self.0.random_range(0..SPECIAL.len())]
    }
}
