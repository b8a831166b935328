//! Tests the limits on requests and buffered bytes at an entry daemon.

mod support;

use balsam_decide::entry::{Arrival, EntryAdmission, EntryLimits, EntryRank};
use balsam_types::{Map, NotRunReason, ServiceName};
use support::{member, rank};

fn entry_rank(name: &str) -> EntryRank {
    EntryRank {
        service: ServiceName::new("s").expect("service name"),
        rank: rank(name),
    }
}

fn admission() -> EntryAdmission {
    let limits = EntryLimits {
        max_requests: 100,
        max_buffered_bytes: 1_000,
        body_max_bytes: 500,
    };
    let ranks = ["lookup", "download"].map(|name| (entry_rank(name), limits));
    EntryAdmission::new(Map::from_iter(ranks))
}

fn arrival(rank_name: &str, member_name: &str) -> Arrival {
    Arrival {
        rank: entry_rank(rank_name),
        member: member(member_name),
        weight: 1,
        body_length_bytes: None,
    }
}

fn fill(admission: &mut EntryAdmission, rank_name: &str, member_name: &str) -> usize {
    let admit = |_: &usize| admission.admit(arrival(rank_name, member_name)).is_ok();
    (0..200).take_while(admit).count()
}

/// Guards against a flood of requests in one rank that uses up the limit of another rank.
#[test]
fn ranks_are_independent() {
    let mut admission = admission();
    for name in ["a", "b", "c", "d", "e"] {
        fill(&mut admission, "download", name);
    }
    assert!(admission.admitted() <= 100);
    let before = admission.admitted();
    admission.admit(arrival("lookup", "a")).expect("admitted");
    assert_eq!(admission.admitted(), before + 1);
}

/// Guards against a member whose flood of requests uses up the limit of its rank, and against a
/// limit that is left unused while only one member sends requests.
#[test]
fn flooding_member_leaves_room() {
    let mut admission = admission();
    let flood = fill(&mut admission, "lookup", "flood");
    assert!(
        flood >= 75,
        "a single member gets only {flood} of 100 requests"
    );
    assert_eq!(
        admission.admit(arrival("lookup", "flood")),
        Err(NotRunReason::EntryLimit)
    );
    let late = fill(&mut admission, "lookup", "late");
    assert!(late >= 10, "a late member gets only {late} of 100 requests");
}

/// Guards against a member that keeps more than its share after another member has arrived.
#[test]
fn shares_converge_under_contention() {
    let mut admission = admission();
    let mut flood: Vec<_> = (0..200)
        .filter_map(|_| admission.admit(arrival("lookup", "flood")).ok())
        .collect();
    let mut late = 0;
    for _ in 0..100 {
        if let Some(ticket) = flood.pop() {
            admission.release(ticket);
        }
        flood.extend(admission.admit(arrival("lookup", "flood")).ok());
        late += u64::from(admission.admit(arrival("lookup", "late")).is_ok());
    }
    assert!(late >= 40, "the late member holds {late}");
    assert!(flood.len() >= 40, "the first member holds {}", flood.len());
}

/// Guards against unbounded buffers, bodies over their limit and buffer space that is not released.
#[test]
fn buffers_are_bounded() {
    let mut admission = admission();
    let too_large = Arrival {
        body_length_bytes: Some(501),
        ..arrival("lookup", "a")
    };
    assert_eq!(admission.admit(too_large), Err(NotRunReason::BodyTooLarge));
    let first = admission.admit(arrival("lookup", "a")).expect("admitted");
    let second = admission.admit(arrival("lookup", "b")).expect("admitted");
    let third = admission.admit(arrival("lookup", "c")).expect("admitted");
    assert_eq!(admission.buffer(first, 400), Ok(()));
    assert_eq!(
        admission.buffer(first, 101),
        Err(NotRunReason::BodyTooLarge)
    );
    assert_eq!(admission.buffer(second, 400), Ok(()));
    assert_eq!(admission.buffer(third, 201), Err(NotRunReason::EntryLimit));
    admission.release_buffer(second, 300);
    assert_eq!(admission.buffer(third, 201), Ok(()));
    for ticket in [first, second, third] {
        admission.release(ticket);
    }
    assert_eq!(admission.admitted(), 0);
    let again = admission.admit(arrival("lookup", "d")).expect("admitted");
    assert_eq!(admission.buffer(again, 500), Ok(()));
}

/// Guards against admitting requests of a rank that does not exist.
#[test]
fn unknown_rank_is_refused() {
    let refusal = admission().admit(arrival("none", "a"));
    assert_eq!(refusal, Err(NotRunReason::UnknownRank));
}
