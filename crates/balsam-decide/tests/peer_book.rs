//! Tests that heartbeats stay short in large deployments and still list every daemon in turn.

use balsam_decide::peers::PeerRegistry;
use balsam_types::TimeMs;
use rstest::rstest;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The number of heartbeats, at four per second, that a daemon receives within the time after which
/// it drops a peer that is not listed.
const HEARTBEATS: usize = 120;

const LISTED_MAX: usize = 24;

fn address(daemon: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (daemon >> 8) as u8, daemon as u8], 7_000))
}

/// Guards against a daemon that is never listed, and against heartbeats that list too many daemons.
#[rstest]
#[case(1)]
#[case(23)]
#[case(24)]
#[case(68)]
#[case(1_000)]
fn all_listed(#[case] daemons: u16) {
    let (me, now) = (address(0), TimeMs(1_000));
    let mut registry = PeerRegistry::new();
    for daemon in 1..=daemons {
        registry.heard(now, address(daemon));
    }
    let peers = registry.peers(now, me);
    let mut listed = BTreeSet::new();
    for _ in 0..HEARTBEATS {
        let next = registry.next_round_robin(&peers, LISTED_MAX);
        assert!(next.len() <= LISTED_MAX);
        listed.extend(next);
    }
    assert_eq!(listed.len(), usize::from(daemons));
}

/// Guards against a round that does not continue with the next daemon if the last listed one is
/// gone.
#[test]
fn listed_peer_gone() {
    let (me, now) = (address(0), TimeMs(1_000));
    let mut registry = PeerRegistry::new();
    for daemon in 1..=50 {
        registry.heard(now, address(daemon));
    }
    let mut peers = registry.peers(now, me);
    let first = registry.next_round_robin(&peers, LISTED_MAX);
    peers.retain(|peer| Some(peer) != first.last());
    let next = registry.next_round_robin(&peers, LISTED_MAX);
    assert_eq!(next.first(), Some(&address(25)));
}
