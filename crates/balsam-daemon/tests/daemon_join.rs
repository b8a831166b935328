//! Daemons that join, leave, restart and fail, run with the stand-in platform.

mod support;

use balsam_wire::operator::{DAEMONS_PATH, DaemonsResponse, EPOCHS_PATH, EpochsResponse};
use support::{Platform, TestDaemon};

/// Guards against a daemon that does not join the roster, or that gets no freshness lease by reading
/// the table.
#[actix_rt::test]
async fn one_daemon_joins_and_holds_a_right() {
    let platform = Platform::start().await;
    let daemon = TestDaemon::start(&platform).await;
    let epochs: EpochsResponse = daemon
        .wait_for(EPOCHS_PATH, |found: &EpochsResponse| {
            found.joined && found.right_ms > 0
        })
        .await;
    assert!(epochs.table_ok);
    daemon.stop().await;
    platform.server.stop().await;
}

/// Guards against daemons that see different rosters or different placers.
#[actix_rt::test]
async fn three_daemons_form_one_roster() {
    let platform = Platform::start().await;
    let mut daemons = Vec::new();
    for _ in 0..3 {
        daemons.push(TestDaemon::start(&platform).await);
    }
    let mut placers_seen = Vec::new();
    for daemon in &daemons {
        let found: DaemonsResponse = daemon
            .wait_for(DAEMONS_PATH, |found: &DaemonsResponse| {
                found.daemons.len() == 3 && found.daemons.iter().any(|daemon| daemon.placer)
            })
            .await;
        let placers: Vec<_> = found
            .daemons
            .iter()
            .filter(|daemon| daemon.placer)
            .collect();
        assert_eq!(placers.len(), 1);
        placers_seen.push(placers[0].incarnation);
    }
    assert!(
        placers_seen.iter().all(|placer| *placer == placers_seen[0]),
        "{placers_seen:?}"
    );
    for daemon in daemons {
        daemon.stop().await;
    }
    platform.server.stop().await;
}

/// Guards against a stopped daemon that stays in the roster.
#[actix_rt::test]
async fn a_stopped_daemon_leaves_the_roster() {
    let platform = Platform::start().await;
    let first = TestDaemon::start(&platform).await;
    let second = TestDaemon::start(&platform).await;
    first.wait_for_roster(2).await;
    second.stop().await;
    first.wait_for_roster(1).await;
    first.stop().await;
    platform.server.stop().await;
}

/// Guards against a failed daemon that stays in the roster, where it counts for the majority without
/// ever voting.
#[actix_rt::test]
async fn a_lost_daemon_is_removed() {
    let platform = Platform::start().await;
    let first = TestDaemon::start(&platform).await;
    let second = TestDaemon::start(&platform).await;
    let third = TestDaemon::start(&platform).await;
    first.wait_for_roster(3).await;
    third.kill().await;
    first.wait_for_roster(2).await;
    second.wait_for_roster(2).await;
    first.stop().await;
    second.stop().await;
    platform.server.stop().await;
}

/// Guards against a restarted daemon whose previous incarnation stays in the roster at the same
/// address.
#[actix_rt::test]
async fn a_restarted_daemon_replaces_its_previous_incarnation() {
    let platform = Platform::start().await;
    let first = TestDaemon::start(&platform).await;
    let second = TestDaemon::start(&platform).await;
    first.wait_for_roster(2).await;
    let address = second.peer;
    let before: DaemonsResponse = second.get(DAEMONS_PATH).await;
    second.kill().await;
    let restarted = TestDaemon::start_at(&platform, &address.to_string()).await;
    let found: DaemonsResponse = restarted
        .wait_for(DAEMONS_PATH, |found: &DaemonsResponse| {
            let at_address = found
                .daemons
                .iter()
                .filter(|daemon| daemon.peer_address == address);
            let incarnations: Vec<_> = at_address.map(|daemon| daemon.incarnation).collect();
            incarnations == [found.me]
        })
        .await;
    assert_ne!(found.me, before.me);
    first.stop().await;
    restarted.stop().await;
    platform.server.stop().await;
}
