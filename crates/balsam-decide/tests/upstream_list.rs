//! Tests which upstreams a daemon considers to exist around outages of the store.

use balsam_decide::directory::{Directory, DirectoryInput, EXPIRY_GRACE_MS, Upstreams};
use balsam_types::{
    ServiceName, StartTime, TimeMs, UpstreamEntry, UpstreamName, UpstreamRow, UpstreamState,
    ZoneName,
};
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

fn entry(name: &str, born: u64, state: UpstreamState) -> UpstreamEntry {
    UpstreamEntry {
        name: UpstreamName::new(name).expect("a valid name"),
        born: StartTime(born),
        service: ServiceName::new("files").expect("a valid name"),
        zone: ZoneName::new("a").expect("a valid name"),
        address: SocketAddr::from(([127, 0, 0, 1], 8_000)),
        slots: 3,
        state,
        warmup_left_ms: 0,
    }
}

fn ready(name: &str) -> UpstreamEntry {
    entry(name, 1, UpstreamState::Ready)
}

/// Returns a row with the given entry and a newer version than all rows before it.
fn row(entry: UpstreamEntry) -> UpstreamRow {
    static VERSION: AtomicU64 = AtomicU64::new(1);
    let version = VERSION.fetch_add(1, Ordering::Relaxed);
    UpstreamRow { version, entry }
}

fn changed(entry: UpstreamEntry) -> DirectoryInput {
    DirectoryInput::Changed(row(entry))
}

fn listed_rows(entries: impl IntoIterator<Item = UpstreamEntry>) -> DirectoryInput {
    let rows: Vec<UpstreamRow> = entries.into_iter().map(row).collect();
    let version = rows.iter().map(|row| row.version).max().unwrap_or(0);
    DirectoryInput::Listed { version, rows }
}

fn count(list: Option<Upstreams>) -> Option<usize> {
    list.map(|list| list.len())
}

/// Returns the services of a configuration.
fn services(names: &[&str]) -> DirectoryInput {
    let services = names.iter();
    let services = services.map(|name| ServiceName::new(*name).expect("a valid name"));
    DirectoryInput::Services(services.collect())
}

/// Returns an entry that another program could write: of a service that no configuration names.
fn foreign(name: &str, born: u64) -> UpstreamEntry {
    UpstreamEntry {
        service: ServiceName::new("elsewhere").expect("a valid name"),
        ..entry(name, born, UpstreamState::Ready)
    }
}

/// Returns the removal of an upstream, with a newer version than all rows before it.
fn removed(name: &str) -> DirectoryInput {
    let name = UpstreamName::new(name).expect("a valid name");
    let version = row(ready("x")).version;
    DirectoryInput::Removed { version, name }
}

/// Guards that an upstream is removed at once if there was no outage of the store.
#[test]
fn immediate_removal() {
    let mut directory = Directory::new();
    let listed = listed_rows([ready("a"), ready("b")]);
    assert_eq!(count(directory.handle(TimeMs(0), listed)), Some(2));
    assert_eq!(count(directory.handle(TimeMs(10), removed("a"))), Some(1));
}

/// Guards that an upstream whose row expired during an outage is kept for the grace period, and no
/// longer.
#[test]
fn expired_entry() {
    let mut directory = Directory::new();
    let listed = listed_rows([ready("a"), ready("b")]);
    directory.handle(TimeMs(0), listed);
    directory.handle(TimeMs(1_000), DirectoryInput::StoreFailed);
    directory.handle(TimeMs(1_100), DirectoryInput::StoreFailed);
    let listed = listed_rows([ready("b")]);
    assert_eq!(count(directory.handle(TimeMs(1_100), listed)), None);
    let before = TimeMs(1_100 + EXPIRY_GRACE_MS - 1);
    assert_eq!(count(directory.handle(before, DirectoryInput::Tick)), None);
    let after = TimeMs(1_100 + EXPIRY_GRACE_MS);
    assert_eq!(
        count(directory.handle(after, DirectoryInput::Tick)),
        Some(1)
    );
}

/// Guards that an upstream whose row is back within the grace period is not removed afterwards.
#[test]
fn returned_entry() {
    let mut directory = Directory::new();
    directory.handle(TimeMs(0), listed_rows([ready("a")]));
    directory.handle(TimeMs(1_000), DirectoryInput::StoreFailed);
    directory.handle(TimeMs(1_100), removed("a"));
    directory.handle(TimeMs(1_500), changed(ready("a")));
    assert_eq!(
        count(directory.handle(TimeMs(9_000), DirectoryInput::Tick)),
        None
    );
}

/// Guards that an upstream that announced that it is leaving is not kept during an outage.
#[test]
fn draining_entry() {
    let mut directory = Directory::new();
    let leaving = entry("a", 1, UpstreamState::Draining);
    directory.handle(TimeMs(0), listed_rows([leaving]));
    directory.handle(TimeMs(1_000), DirectoryInput::StoreFailed);
    assert_eq!(
        count(directory.handle(TimeMs(1_100), removed("a"))),
        Some(0)
    );
}

/// Guards that a row of an earlier incarnation does not replace the row of a newer one.
#[test]
fn earlier_incarnation() {
    let mut directory = Directory::new();
    let newer = entry("a", 9, UpstreamState::Ready);
    directory.handle(TimeMs(0), changed(newer));
    let older = changed(entry("a", 5, UpstreamState::Draining));
    assert_eq!(count(directory.handle(TimeMs(1), older)), None);
}

/// Guards that the rows for other daemons leave out upstreams that are only kept in case their rows
/// come back: a daemon that added them to its own list would not learn when they are removed.
#[test]
fn kept_entries_unlisted() {
    let mut directory = Directory::new();
    directory.handle(TimeMs(0), listed_rows([ready("a"), ready("b")]));
    directory.handle(TimeMs(1_000), DirectoryInput::StoreFailed);
    assert_eq!(count(directory.handle(TimeMs(1_100), removed("a"))), None);
    let kept = directory.listed().into_iter().map(|row| row.entry);
    assert!(kept.eq([ready("b")]));
}

/// Guards against a grace period that starts when a row disappears instead of at the end of the
/// outage. Rows that expired during the outage are back about two seconds after its end.
#[test]
fn missing_after_outage() {
    let mut directory = Directory::new();
    let listed = listed_rows([ready("a"), ready("b")]);
    directory.handle(TimeMs(0), listed);
    directory.handle(TimeMs(1_000), DirectoryInput::StoreFailed);
    assert_eq!(count(directory.handle(TimeMs(2_900), removed("a"))), None);
    let after = TimeMs(1_000 + EXPIRY_GRACE_MS);
    assert_eq!(
        count(directory.handle(after, DirectoryInput::Tick)),
        Some(1)
    );
}

/// Guards against rows that arrive after newer ones: an upstream that is leaving must not get work
/// again, and a removed one must not come back.
#[test]
fn outdated_rows() {
    let mut directory = Directory::new();
    let older = [row(ready("a")), row(ready("b"))];
    let older_list = DirectoryInput::Listed {
        version: 2,
        rows: older.to_vec(),
    };
    directory.handle(TimeMs(0), listed_rows([ready("b")]));
    let leaving = entry("a", 1, UpstreamState::Draining);
    directory.handle(TimeMs(1), changed(leaving.clone()));
    directory.handle(TimeMs(2), removed("b"));
    let [older_row, _] = older;
    for late in [DirectoryInput::Changed(older_row), older_list] {
        assert_eq!(count(directory.handle(TimeMs(3), late)), None);
    }
    let kept = directory.listed().into_iter().map(|row| row.entry);
    assert!(kept.eq([leaving]));
}

/// Guards against decisions that rest on entries of services that the configuration does not name,
/// whether the entry or the configuration is known first.
#[rstest]
#[case::entry_first(true)]
#[case::config_first(false)]
fn unknown_service(#[case] is_entry_first: bool) {
    let mut directory = Directory::new();
    directory.handle(TimeMs(0), changed(ready("a")));
    let inputs = [changed(foreign("b", 9)), services(&["files"])];
    let [first, second] = if is_entry_first {
        inputs
    } else {
        let [entry, services] = inputs;
        [services, entry]
    };
    directory.handle(TimeMs(1), first);
    let list = directory.handle(TimeMs(2), second).expect("a new list");
    let names: Vec<&str> = list.iter().map(|found| found.entry.name.as_str()).collect();
    assert_eq!(names, ["a"]);
}

/// Guards against upstreams of a new service that stay unknown because they have registered before
/// the configuration names their service.
#[test]
fn service_added() {
    let mut directory = Directory::new();
    directory.handle(TimeMs(0), services(&["files"]));
    directory.handle(TimeMs(1), listed_rows([ready("a"), foreign("b", 9)]));
    let unchanged = directory.handle(TimeMs(2), services(&["files", "more"]));
    assert_eq!(count(unchanged), None);
    let added = directory.handle(TimeMs(3), services(&["files", "elsewhere"]));
    assert_eq!(count(added), Some(2));
    let removed = directory.handle(TimeMs(4), services(&["files"]));
    assert_eq!(count(removed), Some(1));
}

/// Guards against an upstream that is never used again after another program has overwritten its
/// entry and claimed a later start.
#[test]
fn overwritten_entry() {
    let mut directory = Directory::new();
    directory.handle(TimeMs(0), services(&["files"]));
    directory.handle(TimeMs(1), changed(ready("a")));
    let overwritten = directory.handle(TimeMs(2), changed(foreign("a", u64::MAX)));
    assert_eq!(count(overwritten), Some(0));
    let written_again = directory.handle(TimeMs(3), changed(ready("a")));
    assert_eq!(count(written_again), Some(1));
}

/// Guards against snapshots without entries whose service only the receiver's configuration names.
#[test]
fn unlisted_rows_passed() {
    let mut directory = Directory::new();
    directory.handle(TimeMs(0), services(&["files"]));
    directory.handle(TimeMs(1), changed(foreign("b", 9)));
    assert_eq!(directory.listed().len(), 1);
}
