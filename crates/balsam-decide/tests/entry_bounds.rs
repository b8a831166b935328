//! Places and buffers at the entry.

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

fn bounds() -> EntryAdmission {
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

fn fill(bounds: &mut EntryAdmission, rank_name: &str, member_name: &str) -> usize {
    let admit = |_: &usize| bounds.admit(arrival(rank_name, member_name)).is_ok();
    (0..200).take_while(admit).count()
}

/// Guards against one rank's flood that takes the places of another rank.
#[test]
fn ranks_are_independent() {
    let mut bounds = bounds();
    for name in ["a", "b", "c", "d", "e"] {
        fill(&mut bounds, "download", name);
    }
    assert!(bounds.held() <= 100);
    let before = bounds.held();
    bounds.admit(arrival("lookup", "a")).expect("place");
    assert_eq!(bounds.held(), before + 1);
}

/// Guards against a flooding member that holds every place, and against waste while it is alone.
#[test]
fn flooding_member_leaves_room() {
    let mut bounds = bounds();
    let flood = fill(&mut bounds, "lookup", "flood");
    assert!(
        flood >= 75,
        "a member alone gets only {flood} of 100 places"
    );
    assert_eq!(
        bounds.admit(arrival("lookup", "flood")),
        Err(NotRunReason::EntryLimit)
    );
    let late = fill(&mut bounds, "lookup", "late");
    assert!(late >= 10, "a late member gets only {late} of 100 places");
}

/// Guards against a member that keeps its early lead after others have arrived.
#[test]
fn shares_converge_under_contention() {
    let mut bounds = bounds();
    let mut flood: Vec<_> = (0..200)
        .filter_map(|_| bounds.admit(arrival("lookup", "flood")).ok())
        .collect();
    let mut late = 0;
    for _ in 0..100 {
        if let Some(ticket) = flood.pop() {
            bounds.release(ticket);
        }
        flood.extend(bounds.admit(arrival("lookup", "flood")).ok());
        late += u64::from(bounds.admit(arrival("lookup", "late")).is_ok());
    }
    assert!(late >= 40, "the late member holds {late}");
    assert!(flood.len() >= 40, "the first member holds {}", flood.len());
}

/// Guards against unbounded buffers, bodies over their limit and buffer space that is not returned.
#[test]
fn buffers_are_bounded() {
    let mut bounds = bounds();
    let too_large = Arrival {
        body_length_bytes: Some(501),
        ..arrival("lookup", "a")
    };
    assert_eq!(bounds.admit(too_large), Err(NotRunReason::BodyTooLarge));
    let first = bounds.admit(arrival("lookup", "a")).expect("place");
    let second = bounds.admit(arrival("lookup", "b")).expect("place");
    let third = bounds.admit(arrival("lookup", "c")).expect("place");
    assert_eq!(bounds.buffer(first, 400), Ok(()));
    assert_eq!(bounds.buffer(first, 101), Err(NotRunReason::BodyTooLarge));
    assert_eq!(bounds.buffer(second, 400), Ok(()));
    assert_eq!(bounds.buffer(third, 201), Err(NotRunReason::EntryLimit));
    bounds.unbuffer(second, 300);
    assert_eq!(bounds.buffer(third, 201), Ok(()));
    for ticket in [first, second, third] {
        bounds.release(ticket);
    }
    assert_eq!(bounds.held(), 0);
    let again = bounds.admit(arrival("lookup", "d")).expect("place");
    assert_eq!(bounds.buffer(again, 500), Ok(()));
}

/// Guards against requests of a rank that does not exist.
#[test]
fn unknown_rank_is_refused() {
    let refusal = bounds().admit(arrival("none", "a"));
    assert_eq!(refusal, Err(NotRunReason::UnknownRank));
}
