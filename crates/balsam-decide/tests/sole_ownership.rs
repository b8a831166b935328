//! Guards against two upstreams running requests for one key, and against lost assignments.

mod common;

use common::{Profile, run_schedules};

#[test]
fn mixed() {
    run_schedules(Profile::Mixed, 0, 200);
}
#[test]
fn late() {
    run_schedules(Profile::Late, 0, 200);
}
#[test]
fn parts() {
    run_schedules(Profile::Partitions, 0, 200);
}
#[test]
fn ups() {
    run_schedules(Profile::Upstreams, 0, 200);
}
#[test]
fn daemons() {
    run_schedules(Profile::Daemons, 0, 200);
}
