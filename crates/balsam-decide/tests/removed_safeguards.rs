//! Guards against invariant checks that would not detect the absence of a safety rule.
//!
//! Each test disables one rule and expects the schedules to find a violation.

mod common;

use balsam_decide::grants::HolderSafeguard;
use balsam_decide::lease::Safeguard;
use common::faults::Profile;
use common::run::expect_violation;
use rstest::rstest;

/// The number of schedules without a violation after which a disabled rule counts as undetected.
const SCHEDULES: u64 = 500;

#[rstest]
#[case::lapse_wait(Safeguard::LapseWait, Profile::Upstreams)]
#[case::majority_adoption(Safeguard::MajorityAdoption, Profile::Partitions)]
#[case::lease_dated_from_start(Safeguard::LeaseDatedFromStart, Profile::Late)]
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
