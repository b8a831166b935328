//! Guards that heartbeats stay short in large deployments and still name every daemon.

use balsam_decide::peers::PeerRegistry;
use balsam_types::TimeMs;
use rstest::rstest;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Heartbeats that a daemon hears within the time after which it forgets a daemon that nobody
/// names, at four a second.
const HEARTBEATS: usize = 120;

const NAMED_MAX: usize = 24;

fn address(daemon: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (daemon >> 8) as u8, daemon as u8], 7_000))
}

/// Guards against a daemon that is never named, and against long heartbeats.
#[rstest]
#[case(1)]
#[case(23)]
#[case(24)]
#[case(68)]
#[case(1_000)]
fn all_named(#[case] daemons: u16) {
    let (me, now) = (address(0), TimeMs(1_000));
    let mut book = PeerRegistry::new();
    for daemon in 1..=daemons {
        book.heard(now, address(daemon));
    }
    let peers = book.peers(now, me);
    let mut named = BTreeSet::new();
    for _ in 0..HEARTBEATS {
        let next = book.next_round_robin(&peers, NAMED_MAX);
        assert!(next.len() <= NAMED_MAX);
        named.extend(next);
    }
    assert_eq!(named.len(), usize::from(daemons));
}

/// Guards against a turn that stops where a named daemon has gone.
#[test]
fn named_one_gone() {
    let (me, now) = (address(0), TimeMs(1_000));
    let mut book = PeerRegistry::new();
    for daemon in 1..=50 {
        book.heard(now, address(daemon));
    }
    let mut peers = book.peers(now, me);
    let first = book.next_round_robin(&peers, NAMED_MAX);
    peers.retain(|peer| Some(peer) != first.last());
    let next = book.next_round_robin(&peers, NAMED_MAX);
    assert_eq!(next.first(), Some(&address(25)));
}
