//! Assignments must be read back as they were written, also if they need several rows.

use balsam_edge::store::{ClusterRowKey, RangesRow, RangesRowError, encode_row};
use balsam_types::{
    Assignment, FencingToken, KeyRange, Owner, ServiceName, ServiceRanges, StartTime, UpstreamName,
};
use rstest::rstest;
use std::net::SocketAddr;

/// Upper limit on a row of the store on the users' platform, in bytes.
const ROW_MAX_BYTES: usize = 65_536;

/// Number of assignments that the daemon puts into a row of that length.
const ASSIGNMENTS_PER_ROW: usize = 256;

fn service() -> ServiceName {
    ServiceName::new("keys").expect("a valid name")
}

fn owner(number: u16) -> Owner {
    let name = format!("an-upstream-with-a-long-name-{number:05}");
    Owner {
        upstream: UpstreamName::new(name).expect("a valid name"),
        born: StartTime(1_780_000_000_000 + u64::from(number)),
        address: SocketAddr::from(([10, 200, 100, 200], 30_000 + number)),
    }
}

/// Returns `count` assignments, each with its own owner and former owner.
fn ranges(count: u16) -> ServiceRanges {
    let width = (u32::from(u16::MAX) + 1) / u32::from(count.max(1));
    let assignments = (0..count).map(|index| Assignment {
        range: KeyRange {
            first: (u32::from(index) * width) as u16,
            last: if index + 1 == count {
                u16::MAX
            } else {
                ((u32::from(index) + 1) * width - 1) as u16
            },
        },
        fence: FencingToken(u64::from(index) + 1_000_000),
        owner: owner(index),
        former: vec![owner(index + count)],
    });
    ServiceRanges {
        service: service(),
        next_fence: FencingToken(2_000_000),
        long_hold_ms: 9_000,
        settled_lead: 7,
        assignments: assignments.collect(),
    }
}

/// Fails if assignments are lost between rows, or if a row is longer than the store accepts.
#[rstest]
#[case(0, 1)]
#[case(1, 1)]
#[case(256, 1)]
#[case(257, 2)]
#[case(2_100, 9)]
fn written_and_read(#[case] count: u16, #[case] rows_expected: usize) {
    let ranges = ranges(count);
    let rows = RangesRow::split(&ranges, 7, ASSIGNMENTS_PER_ROW);
    assert_eq!(rows.len(), rows_expected);
    for (part, row) in rows.iter().enumerate() {
        let key = ClusterRowKey::Ranges(service(), part as u16).text();
        let bytes = encode_row(&key, row).expect("a row").len();
        assert!(bytes <= ROW_MAX_BYTES, "{bytes} bytes");
    }
    assert_eq!(RangesRow::join(&rows).expect("assignments"), ranges);
}

/// Fails if rows of different writes are joined.
#[test]
fn mixed_writes() {
    let (before, after) = (ranges(600), ranges(700));
    let before = RangesRow::split(&before, 7, ASSIGNMENTS_PER_ROW);
    let mut rows = RangesRow::split(&after, 8, ASSIGNMENTS_PER_ROW);
    rows[1] = before[1].clone();
    let failure = RangesRow::join(&rows).expect_err("a refusal");
    assert!(matches!(failure, RangesRowError::Incomplete), "{failure}");
}

/// Missing rows must be detected, and rows left over from an earlier write must be ignored.
#[test]
fn other_number() {
    let rows = RangesRow::split(&ranges(700), 7, ASSIGNMENTS_PER_ROW);
    for rows in [&rows[..2], &[]] {
        let failure = RangesRow::join(rows).expect_err("a refusal");
        assert!(matches!(failure, RangesRowError::Incomplete), "{failure}");
    }
    let fewer = ranges(300);
    let mut with_leftover = RangesRow::split(&fewer, 8, ASSIGNMENTS_PER_ROW);
    with_leftover.push(rows[2].clone());
    assert_eq!(RangesRow::join(&with_leftover).expect("assignments"), fewer);
}

/// The keys of rows must be parsed into the part that they name.
#[rstest]
#[case("ranges/keys", Some(0))]
#[case("ranges/keys/1", Some(1))]
#[case("ranges/keys/12", Some(12))]
#[case("ranges/keys/x", None)]
#[case("ranges/keys/70000", None)]
fn row_keys(#[case] text: &str, #[case] part: Option<u16>) {
    let expected = part.map(|part| ClusterRowKey::Ranges(service(), part));
    assert_eq!(ClusterRowKey::from_text(text), expected);
    if let Some(key) = expected {
        assert_eq!(key.text().as_ref(), text);
    }
}
