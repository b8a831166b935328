//! Guards what a daemon believes of upstreams around outages of the store.

use balsam_decide::directory::{Directory, DirectoryInput, LAPSE_GRACE_MS, Upstreams};
use balsam_types::{
    ServiceName, StartTime, TimeMs, UpstreamEntry, UpstreamName, UpstreamRow, UpstreamState,
    ZoneName,
};
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

/// Returns the row of an entry, newer than all before it.
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

fn removed(name: &str) -> DirectoryInput {
    let name = UpstreamName::new(name).expect("a valid name");
    let version = row(ready("x")).version;
    DirectoryInput::Removed { version, name }
}

/// Guards that a removal in calm times holds at once.
#[test]
fn calm_removal() {
    let mut directory = Directory::new();
    let listed = listed_rows([ready("a"), ready("b")]);
    assert_eq!(count(directory.handle(TimeMs(0), listed)), Some(2));
    assert_eq!(count(directory.handle(TimeMs(10), removed("a"))), Some(1));
}

/// Guards that entries that lapsed in an outage are kept until they can be back, and no longer.
#[test]
fn lapsed_entry() {
    let mut directory = Directory::new();
    let listed = listed_rows([ready("a"), ready("b")]);
    directory.handle(TimeMs(0), listed);
    directory.handle(TimeMs(1_000), DirectoryInput::StoreFailed);
    directory.handle(TimeMs(1_100), DirectoryInput::StoreFailed);
    let listed = listed_rows([ready("b")]);
    assert_eq!(count(directory.handle(TimeMs(1_100), listed)), None);
    let before = TimeMs(1_100 + LAPSE_GRACE_MS - 1);
    assert_eq!(count(directory.handle(before, DirectoryInput::Tick)), None);
    let after = TimeMs(1_100 + LAPSE_GRACE_MS);
    assert_eq!(
        count(directory.handle(after, DirectoryInput::Tick)),
        Some(1)
    );
}

/// Guards that an entry that is back in time is not dropped later.
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

/// Guards that an upstream that announced its leaving is not kept in an outage.
#[test]
fn left_entry() {
    let mut directory = Directory::new();
    let leaving = entry("a", 1, UpstreamState::Draining);
    directory.handle(TimeMs(0), listed_rows([leaving]));
    directory.handle(TimeMs(1_000), DirectoryInput::StoreFailed);
    assert_eq!(
        count(directory.handle(TimeMs(1_100), removed("a"))),
        Some(0)
    );
}

/// Guards that a row of a former life does not replace the newer one.
#[test]
fn former_life() {
    let mut directory = Directory::new();
    let newer = entry("a", 9, UpstreamState::Ready);
    directory.handle(TimeMs(0), changed(newer));
    let older = changed(entry("a", 5, UpstreamState::Draining));
    assert_eq!(count(directory.handle(TimeMs(1), older)), None);
}

/// Guards against passing on entries that are only kept in case they come back: whoever takes them
/// over would not learn that they did not.
#[test]
fn kept_entries_stay() {
    let mut directory = Directory::new();
    directory.handle(TimeMs(0), listed_rows([ready("a"), ready("b")]));
    directory.handle(TimeMs(1_000), DirectoryInput::StoreFailed);
    assert_eq!(count(directory.handle(TimeMs(1_100), removed("a"))), None);
    let kept = directory.listed().into_iter().map(|row| row.entry);
    assert!(kept.eq([ready("b")]));
}

/// Guards against keeping an entry that vanishes after the store's return for as long as one that
/// lapsed meanwhile: those that lapsed are back about two seconds after the return.
#[test]
fn vanished_after_return() {
    let mut directory = Directory::new();
    let listed = listed_rows([ready("a"), ready("b")]);
    directory.handle(TimeMs(0), listed);
    directory.handle(TimeMs(1_000), DirectoryInput::StoreFailed);
    assert_eq!(count(directory.handle(TimeMs(2_900), removed("a"))), None);
    let after = TimeMs(1_000 + LAPSE_GRACE_MS);
    assert_eq!(
        count(directory.handle(after, DirectoryInput::Tick)),
        Some(1)
    );
}

/// Guards against rows that arrive after newer ones: an upstream that leaves must not take work
/// again, and a removed one must not come back.
#[test]
fn overtaken_rows() {
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
