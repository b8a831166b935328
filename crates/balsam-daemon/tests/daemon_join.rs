//! Daemons that join, leave, restart and vanish, with the stand-in platform.

mod support;

use balsam_wire::operator::{DAEMONS_PATH, DaemonsResponse, EPOCHS_PATH, EpochsResponse};
use support::{Platform, TestDaemon};

/// Guards against a daemon that does not join or gets no freshness right from the table.
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

/// Guards against daemons that see different rosters, or two placers.
#[actix_rt::test]
async fn three_daemons_form_one_roster() {
    let platform = Platform::start().await;
    let mut daemons = Vec::new();
    for _ in 0..3 {
        daemons.push(TestDaemon::start(&platform).await);
    }
    let mut seen = Vec::new();
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
        seen.push(placers[0].incarnation);
    }
    assert!(seen.iter().all(|placer| *placer == seen[0]), "{seen:?}");
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

/// Guards against a lost daemon that stays in the roster and keeps its majority out of reach.
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

/// Guards against a restarted daemon that is counted twice at its address.
#[actix_rt::test]
async fn a_restarted_daemon_replaces_its_former_life() {
    let platform = Platform::start().await;
    let first = TestDaemon::start(&platform).await;
    let second = TestDaemon::start(&platform).await;
    first.wait_for_roster(2).await;
    let address = second.peer;
    let former: DaemonsResponse = second.get(DAEMONS_PATH).await;
    second.kill().await;
    let again = TestDaemon::start_at(&platform, &address.to_string()).await;
    let found: DaemonsResponse = again
        .wait_for(DAEMONS_PATH, |found: &DaemonsResponse| {
            let at_address = found
                .daemons
                .iter()
                .filter(|daemon| daemon.peer_address == address);
            let lives: Vec<_> = at_address.map(|daemon| daemon.incarnation).collect();
            lives == [found.me]
        })
        .await;
    assert_ne!(found.me, former.me);
    first.stop().await;
    again.stop().await;
    platform.server.stop().await;
}
