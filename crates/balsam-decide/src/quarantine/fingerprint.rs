//! Fingerprints, which are the same for equal requests.

use balsam_types::{Fingerprint, KeyHash};

/// The number of body bytes that are hashed at once.
///
/// The size is fixed because the digest must not depend on how the body was divided into parts.
const BLOCK_BYTES: usize = 1 << 10;

/// The number of bytes at the start of each block that hold the hash of the previous blocks.
const CHAIN_BYTES: usize = 8;

/// A digest of a body that arrives in parts.
#[derive(Clone, Debug)]
pub struct BodyDigest {
    block: Vec<u8>,
    length_bytes: u64,
}

impl BodyDigest {
    /// Creates the digest of an empty body.
    pub fn new() -> Self {
        Self {
            block: vec![0; CHAIN_BYTES],
            length_bytes: 0,
        }
    }

    /// Adds the next part of the body.
    pub fn update(&mut self, part: impl AsRef<[u8]>) {
        let mut rest = part.as_ref();
        self.length_bytes += rest.len() as u64;
        while !rest.is_empty() {
            let room = CHAIN_BYTES + BLOCK_BYTES - self.block.len();
            let (head, tail) = rest.split_at(room.min(rest.len()));
            self.block.extend_from_slice(head);
            rest = tail;
            if self.block.len() == CHAIN_BYTES + BLOCK_BYTES {
                self.chain_block();
            }
        }
    }

    /// Returns the digest of the whole body.
    #[must_use]
    pub fn finish(mut self) -> u64 {
        let length = self.length_bytes.to_le_bytes();
        self.block.extend_from_slice(&length);
        KeyHash::of(&self.block).0
    }

    fn chain_block(&mut self) {
        let hash = KeyHash::of(&self.block).0.to_le_bytes();
        self.block.clear();
        self.block.extend_from_slice(&hash);
    }
}

impl Default for BodyDigest {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the fingerprint of a request; it is the same on every daemon.
///
/// `member_or_host` is the member that sends the request to a daemon, or the host that a request to
/// the edge addresses. The caller chooses how much of the request target and the body `path` and
/// `body_digest` cover.
pub fn fingerprint(
    member_or_host: impl AsRef<str>,
    method: impl AsRef<str>,
    path: impl AsRef<str>,
    key: KeyHash,
    body_digest: u64,
) -> Fingerprint {
    let mut bytes = Vec::new();
    for text in [member_or_host.as_ref(), method.as_ref(), path.as_ref()] {
        // The length marks where a text ends, so that "ab" and "c" differ from "a" and "bc".
        bytes.extend_from_slice(&(text.len() as u64).to_le_bytes());
        bytes.extend_from_slice(text.as_bytes());
    }
    bytes.extend_from_slice(&key.0.to_le_bytes());
    bytes.extend_from_slice(&body_digest.to_le_bytes());
    Fingerprint(KeyHash::of(bytes).0)
}
