//! Tests which announced versions count as missing.

use balsam_decide::feed::MissingVersions;
use balsam_types::TimeMs;

/// Returns since when something is missing beside the version `known`.
fn missing_since(missing: &MissingVersions<&str>, known: u64) -> Vec<TimeMs> {
    let missing = missing.iter(|_| Some(known));
    missing.map(|(_, since)| since).collect()
}

/// Guards against an older announcement that overtakes a newer one and ends the wait for what is
/// missing, so that it is never asked for.
#[test]
fn overtaken_announcement() {
    let mut missing = MissingVersions::new();
    let known = |_: &&str| Some(16);
    missing.announce(TimeMs(0), &[("ranges", 18)], known);
    for now in (250..2_000).step_by(250).map(TimeMs) {
        missing.announce(now, &[("ranges", 16)], known);
        assert_eq!(missing_since(&missing, 16), [TimeMs(0)], "at {now:?}");
    }
    assert_eq!(missing_since(&missing, 18), [], "it has arrived");
    missing.announce(TimeMs(2_000), &[("ranges", 18)], |_| Some(18));
    assert_eq!(missing_since(&missing, 18), []);
}

/// Guards against requests for what is not late: changes follow each other so fast that a newer one
/// is announced before the last has arrived, and each takes as long.
#[test]
fn quick_changes() {
    let announced_at = |version: u64| TimeMs(250 * version);
    let mut missing = MissingVersions::new();
    for version in 17..80 {
        let known = version - 2;
        missing.announce(announced_at(version), &[("ranges", version)], |_| {
            Some(known)
        });
        let oldest = (known + 1).max(17);
        assert_eq!(missing_since(&missing, known), [announced_at(oldest)]);
        assert_eq!(
            missing_since(&missing, version - 1),
            [announced_at(version)]
        );
        assert_eq!(missing_since(&missing, version), []);
    }
}

/// Guards against memory that grows with each change while none arrives.
#[test]
fn nothing_arrives() {
    let mut missing = MissingVersions::new();
    for version in 17..1_000 {
        missing.announce(TimeMs(version), &[("ranges", version)], |_| Some(16));
    }
    assert_eq!(missing_since(&missing, 16), [TimeMs(17)]);
    assert_eq!(missing_since(&missing, 999), []);
}

/// Guards against a wait for something that does not exist any more.
#[test]
fn removed_topic() {
    let mut missing = MissingVersions::new();
    missing.announce(TimeMs(0), &[("ranges", 18)], |_| None);
    missing.announce(TimeMs(250), &[], |_| None);
    assert_eq!(missing_since(&missing, 16), []);
}
