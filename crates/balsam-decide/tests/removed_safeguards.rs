//! Guards against checks that would not notice the loss of a safety rule.
//!
//! Each test removes one rule and expects the same kind of schedules to find a violation.

mod common;

use balsam_decide::grants::HolderSafeguard;
use balsam_decide::lease::Safeguard;
use common::faults::Profile;
use common::run::expect_violation;
use rstest::rstest;

/// Schedules that are tried before a removed rule counts as unnoticed.
const SCHEDULES: u64 = 500;

#[rstest]
#[case::lapse_wait(Safeguard::LapseWait, Profile::Upstreams)]
#[case::majority_adoption(Safeguard::MajorityAdoption, Profile::Partitions)]
#[case::dating_before(Safeguard::LeaseDatedFromStart, Profile::Late)]
#[case::same_round(Safeguard::SameRound, Profile::Late)]
#[case::every_open_roster(Safeguard::EveryOpenRoster, Profile::Partitions)]
fn daemon_rule_is_needed(#[case] removed: Safeguard, #[case] profile: Profile) {
    expect_violation(profile, Some(removed), None, SCHEDULES);
}

#[rstest]
#[case::fence(HolderSafeguard::FencingToken, Profile::Late)]
#[case::expiry(HolderSafeguard::Expiry, Profile::Upstreams)]
#[case::cover_lapse(HolderSafeguard::CoverLapse, Profile::Returns)]
fn upstream_rule_is_needed(#[case] removed: HolderSafeguard, #[case] profile: Profile) {
    expect_violation(profile, None, Some(removed), SCHEDULES);
}
