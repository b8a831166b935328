//! Guards against two upstreams running requests for one key, lost assignments and stale settings.

mod common;

use common::faults::Profile;
use common::run::run_schedules;
use rstest::rstest;

/// The number of schedules per test; the 20 tests of this file run in parallel on all cores.
const SCHEDULES: u64 = 500;

#[rstest]
fn all_faults(#[values(0, 1, 2, 3)] part: u64) {
    run_schedules(Profile::Mixed, part * SCHEDULES, SCHEDULES);
}

#[rstest]
fn late_messages(#[values(0, 1, 2, 3)] part: u64) {
    run_schedules(Profile::Late, part * SCHEDULES, SCHEDULES);
}

#[rstest]
fn partitions(#[values(0, 1, 2, 3)] part: u64) {
    run_schedules(Profile::Partitions, part * SCHEDULES, SCHEDULES);
}

#[rstest]
fn upstream_faults(#[values(0, 1)] part: u64) {
    run_schedules(Profile::Upstreams, part * SCHEDULES, SCHEDULES);
}

#[rstest]
fn daemon_faults(#[values(0, 1, 2, 3)] part: u64) {
    run_schedules(Profile::Daemons, part * SCHEDULES, SCHEDULES);
}

#[rstest]
fn returning_owners(#[values(0, 1)] part: u64) {
    run_schedules(Profile::Returns, part * SCHEDULES, SCHEDULES);
}
