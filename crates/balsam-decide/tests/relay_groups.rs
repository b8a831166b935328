//! Tests how a message to hundreds of daemons is divided among those that pass it on.

use balsam_decide::peers::{DIRECT_RECEIVERS_MAX, PeerRegistry, SuspensionGuard, relay_groups};
use balsam_types::TimeMs;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::net::SocketAddr;

/// Interval of the leader's heartbeats in milliseconds.
const HEARTBEAT_MS: u64 = 250;

fn daemons(count: usize) -> Vec<SocketAddr> {
    let address = |index: usize| {
        let [high, low] = (index as u16).to_be_bytes();
        SocketAddr::from(([10, 0, high, low], 7_540))
    };
    (0..count).map(address).collect()
}

/// Guards that each daemon gets each message once, and that neither the leader nor a relay sends
/// much more than the square root of their number.
#[rstest]
fn everyone_once(#[values(25, 67, 294, 509, 999)] count: usize, #[values(0, 1, 7)] turn: u64) {
    let receivers = daemons(count);
    let now = TimeMs(turn * HEARTBEAT_MS);
    let groups = relay_groups(now, &receivers, &receivers).expect("relays");
    let root = count.isqrt() + 1;
    assert!(groups.len() <= root, "{} relays", groups.len());
    let most = groups.iter().map(|group| group.receivers.len()).max();
    assert!(most <= Some(root), "a relay with {most:?} receivers");
    let mut reached: Vec<SocketAddr> = groups
        .into_iter()
        .flat_map(|group| group.receivers.into_iter().chain([group.relay]))
        .collect();
    reached.sort_unstable();
    assert_eq!(reached, receivers);
}

/// Guards that a small deployment, or a leader that does not know who is running, needs no relays.
#[test]
fn sent_directly() {
    let few = daemons(DIRECT_RECEIVERS_MAX);
    assert_eq!(relay_groups(TimeMs(0), &few, &few), None);
    let many = daemons(294);
    assert_eq!(relay_groups(TimeMs(0), &many, &many[..3]), None);
}

/// Guards that daemons that have fallen silent are not relied on.
#[test]
fn silent_relays() {
    let all = daemons(60);
    let mut registry = PeerRegistry::new();
    for address in &all {
        registry.heard(TimeMs(1_000), *address);
    }
    for address in &all[..40] {
        registry.heard(TimeMs(5_000), *address);
    }
    assert_eq!(registry.relays(TimeMs(5_000), &all), all[..40]);
}

/// Guards that a daemon that was suspended does not pass on the heartbeats that have waited for it:
/// the leader may have ended meanwhile, and its knowledge is as old as the suspension.
#[test]
fn suspended_relay() {
    let mut guard = SuspensionGuard::new(TimeMs(1_000));
    for number in 1..8 {
        let now = TimeMs(1_000 + number * SuspensionGuard::INTERVAL_MS);
        guard.record_run(now);
        assert!(guard.may_pass_on(now));
    }
    let resumed = TimeMs(11_000);
    for waited in 0..30 {
        assert!(!guard.may_pass_on(resumed.after(waited)));
    }
    assert!(guard.may_pass_on(resumed.after(HEARTBEAT_MS)));
}

/// Guards that the first heartbeat of the next leader is passed on although there was none for
/// seconds. Otherwise it would reach only the relays of each turn, and the other daemons would
/// elect yet another leader.
#[test]
fn next_leader() {
    let mut guard = SuspensionGuard::new(TimeMs(1_000));
    assert!(guard.may_pass_on(TimeMs(1_000)));
    for number in 1..20 {
        guard.record_run(TimeMs(1_000 + number * SuspensionGuard::INTERVAL_MS));
    }
    assert!(guard.may_pass_on(TimeMs(6_000)));
}

/// Guards against daemons that hear no heartbeat for the time after which they replace the leader,
/// although it runs, because their relays have failed: while a third of the daemons is cut off and
/// the leader does not know it yet, hardly any may miss four heartbeats in a row.
#[test]
fn failed_relays() {
    let receivers = daemons(294);
    let mut rng = StdRng::seed_from_u64(1);
    let mut missed_in_a_row = 0;
    let rounds = 40;
    for round in 0..rounds {
        let cut_off: Vec<SocketAddr> = receivers
            .iter()
            .filter(|_| rng.random_bool(0.35))
            .copied()
            .collect();
        let mut missed: Vec<u32> = vec![0; receivers.len()];
        for heartbeat in 0..4 {
            let now = TimeMs((round * 40 + heartbeat) * HEARTBEAT_MS);
            let groups = relay_groups(now, &receivers, &receivers).expect("relays");
            for group in groups.iter().filter(|group| cut_off.contains(&group.relay)) {
                for receiver in &group.receivers {
                    let index = receivers.binary_search(receiver).expect("a receiver");
                    missed[index] += 1;
                }
            }
        }
        let unlucky = receivers.iter().zip(&missed);
        let unlucky = unlucky.filter(|(daemon, missed)| **missed == 4 && !cut_off.contains(daemon));
        missed_in_a_row += unlucky.count();
    }
    // Independent relays would be missed four times in a row by 0.35^4 = 1.5 % of the daemons.
    let daemons_seen = receivers.len() * rounds as usize;
    assert!(
        missed_in_a_row * 100 <= daemons_seen * 2,
        "{missed_in_a_row} of {daemons_seen}"
    );
}
