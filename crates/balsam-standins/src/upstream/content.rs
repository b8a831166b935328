//! The content of answers.

use balsam_types::KeyHash;
use bytes::{Bytes, BytesMut};

const BLOCK_BYTES: u64 = 8;

/// The content of one answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// These bytes.
    Fixed(Bytes),
    /// Bytes that depend only on the key, so that every upstream gives the same ones.
    Generated {
        /// The key.
        key: KeyHash,
        /// The length in bytes.
        length_bytes: u64,
    },
}

impl Content {
    /// Returns the length in bytes.
    pub fn length_bytes(&self) -> u64 {
        match self {
            Self::Fixed(bytes) => bytes.len() as u64,
            Self::Generated { length_bytes, .. } => *length_bytes,
        }
    }

    /// Returns the strong validator of generated content, with its quotes.
    pub fn etag(&self) -> Option<String> {
        match self {
            Self::Fixed(_) => None,
            Self::Generated { key, length_bytes } => {
                Some(format!("\"{:016x}-{length_bytes}\"", key.0))
            }
        }
    }

    /// Returns the bytes from `start` up to `end`, which lie within the content.
    pub fn slice(&self, start: u64, end: u64) -> Bytes {
        match self {
            Self::Fixed(bytes) => bytes.slice(start as usize..end as usize),
            Self::Generated { key, .. } => generate(*key, start, end),
        }
    }
}

fn generate(key: KeyHash, start: u64, end: u64) -> Bytes {
    let first_block = start / BLOCK_BYTES;
    let last_block = end.div_ceil(BLOCK_BYTES);
    let mut bytes = BytesMut::with_capacity(((last_block - first_block) * BLOCK_BYTES) as usize);
    for block in first_block..last_block {
        bytes.extend_from_slice(&mix(key.0.wrapping_add(block)).to_le_bytes());
    }
    let skipped = (start % BLOCK_BYTES) as usize;
    let length = (end - start) as usize;
    bytes.freeze().slice(skipped..skipped + length)
}

/// Mixes the bits of `value`, so that a shifted or repeated block shows as a difference.
const fn mix(value: u64) -> u64 {
    let value = value.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value ^ (value >> 31)
}
