//! What equal requests have in common.

use balsam_types::{Fingerprint, KeyHash, RequestHead};

/// Digests member, method, path, key and the first bytes of the body.
///
/// The query is no part of the path: callers commonly add a value that differs in each try.
pub(crate) fn fingerprint(head: &RequestHead, body_start: &[u8]) -> Fingerprint {
    let path = head.target.split('?').next().unwrap_or_default();
    let parts = [
        head.service.as_str().as_bytes(),
        head.member.as_str().as_bytes(),
        head.method.as_bytes(),
        path.as_bytes(),
        head.key.text.as_bytes(),
        body_start,
    ];
    let mut bytes = Vec::with_capacity(parts.iter().map(|part| part.len() + 8).sum());
    for part in parts {
        // The length before each part keeps different requests from having the same bytes.
        bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
        bytes.extend_from_slice(part);
    }
    Fingerprint(KeyHash::of(bytes).0)
}
