//! Parts of snapshots that never become complete must not exhaust a daemon's memory.

use balsam_decide::feed::{SnapshotPart, SnapshotParts};
use balsam_types::TimeMs;

/// The memory that the stated target leaves a daemon for control, in bytes.
const CONTROL_MEMORY_BYTES: usize = 64 << 20;

/// The maximum length of a datagram between daemons, in bytes.
const DATAGRAM_BYTES: usize = 8 << 10;

fn part(version: u64, index: usize, count: usize, bytes: impl Into<Vec<u8>>) -> SnapshotPart {
    SnapshotPart {
        version,
        index,
        count,
        bytes: bytes.into(),
    }
}

/// A snapshot must be complete once all its parts have arrived, in any order and beside parts of
/// other topics and of older versions.
#[test]
fn any_order() {
    let mut parts = SnapshotParts::new();
    let now = TimeMs(1_000);
    assert_eq!(parts.add(now, &"a", part(7, 2, 3, *b"c")), None);
    assert_eq!(parts.add(now, &"b", part(1, 0, 2, *b"x")), None);
    assert_eq!(parts.add(now, &"a", part(6, 1, 3, *b"o")), None);
    assert_eq!(parts.add(now, &"a", part(7, 0, 3, *b"a")), None);
    let complete = parts.add(now, &"a", part(7, 1, 3, *b"b"));
    assert_eq!(complete, Some((7, b"abc".to_vec())));
    assert_eq!(parts.kept_bytes(), 1);
}

/// Guards against a faulty daemon whose parts of ever new topics are all kept.
#[test]
fn many_topics() {
    let mut parts = SnapshotParts::new();
    for topic in 0..2_000 {
        for index in 0..63 {
            let part = part(1, index, 64, vec![0; DATAGRAM_BYTES]);
            assert_eq!(parts.add(TimeMs(topic), &topic, part), None);
        }
    }
    let bytes = parts.kept_bytes();
    assert!(bytes < CONTROL_MEMORY_BYTES, "{bytes} bytes kept");
}

/// Guards against parts that are kept for as long as a daemon runs.
#[test]
fn old_parts() {
    let mut parts = SnapshotParts::new();
    assert_eq!(
        parts.add(TimeMs(0), &"a", part(1, 0, 2, vec![0; 1_000])),
        None
    );
    assert_eq!(parts.add(TimeMs(60_000), &"b", part(1, 0, 2, *b"x")), None);
    assert_eq!(parts.kept_bytes(), 1);
}
