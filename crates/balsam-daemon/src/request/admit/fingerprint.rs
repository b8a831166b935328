//! Fingerprints that identify repetitions of the same request.

use balsam_decide::quarantine::{self, BodyDigest};
use balsam_types::{Fingerprint, RequestHead};

/// Returns the fingerprint of a request whose body starts with `body_start`.
///
/// The query string is excluded, because callers commonly add a value that differs in each retry.
pub(crate) fn fingerprint(head: &RequestHead, body_start: &[u8]) -> Fingerprint {
    let path = head.target.split('?').next().unwrap_or_default();
    let mut digest = BodyDigest::new();
    digest.update(body_start);
    let method = &head.method;
    quarantine::fingerprint(&head.member, method, path, head.key.hash, digest.finish())
}
