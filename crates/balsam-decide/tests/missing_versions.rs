//! Tests which announced versions count as missing.

use balsam_decide::feed::MissingVersions;
use balsam_types::TimeMs;

/// Guards against an older announcement that overtakes a newer one and ends the wait for what is
/// missing, so that it is never asked for.
#[test]
fn overtaken_announcement() {
    let mut missing = MissingVersions::new();
    let known = |_: &&str| Some(16);
    missing.announce(TimeMs(0), &[("ranges", 18)], known);
    for now in (250..2_000).step_by(250).map(TimeMs) {
        missing.announce(now, &[("ranges", 16)], known);
        let since: Vec<TimeMs> = missing.iter().map(|(_, since)| since).collect();
        assert_eq!(since, [TimeMs(0)], "at {now:?}");
    }
    missing.announce(TimeMs(2_000), &[("ranges", 18)], |_| Some(18));
    assert_eq!(missing.iter().count(), 0, "it has arrived");
}

/// Guards against a wait for something that does not exist any more.
#[test]
fn removed_topic() {
    let mut missing = MissingVersions::new();
    missing.announce(TimeMs(0), &[("ranges", 18)], |_| None);
    missing.announce(TimeMs(250), &[], |_| None);
    assert_eq!(missing.iter().count(), 0);
}
