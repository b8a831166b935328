//! Cold start, warm-up and reports of an upstream's state, at given times.

use balsam_standins::upstream::{
    ControlReply, ControlRequest, Finish, UpstreamOptions, UpstreamState, WorkHead,
};
use balsam_types::{Incarnation, RequestKey, TimeMs};
use balsam_wire::upstream::{HealthState, NotRunCause, UpstreamFaults};
use rstest::rstest;
use std::sync::Arc;

const START: TimeMs = TimeMs(1_000);

fn state() -> UpstreamState {
    let name = "u1".parse().expect("valid name");
    let service = "lookup".parse().expect("valid name");
    let options = UpstreamOptions {
        no_check_grants: true,
        starting_ms: 1_000,
        warmup_ms: 4_000,
        warmup_percent: 200,
        report_lag_ms: 2_000,
        work_ms: vec!["lookup=100".parse().expect("valid amount")],
        ..UpstreamOptions::new(name, service)
    };
    UpstreamState::new(START, Incarnation(1), Arc::new(options))
}

fn work() -> WorkHead {
    WorkHead {
        path: Arc::from("/lookup/k"),
        key: RequestKey::new("k"),
        unit: None,
        epoch: None,
        rank: Some("lookup".parse().expect("valid name")),
        member: None,
        order_id: None,
        remaining_ms: 10_000,
        range: None,
        if_range: None,
    }
}

fn load(state: &mut UpstreamState, now: TimeMs) -> u32 {
    match state.control(now, ControlRequest::Load) {
        ControlReply::Load(report) => report.running,
        other => panic!("not a load report: {other:?}"),
    }
}

fn health(state: &mut UpstreamState, now: TimeMs) -> HealthState {
    match state.control(now, ControlRequest::Health) {
        ControlReply::Health(report) => report.state,
        other => panic!("not a health report: {other:?}"),
    }
}

/// Guards against a cold start that takes work, or that is as fast as a warm upstream.
#[rstest]
#[case::starting(999, Err(NotRunCause::Starting))]
#[case::coldest(1_000, Ok(300))]
#[case::half_warm(3_000, Ok(200))]
#[case::warm(5_000, Ok(100))]
fn work_speeds_up(#[case] after_ms: u64, #[case] expected: Result<u64, NotRunCause>) {
    let begun = state().begin(START.after(after_ms), &work());
    assert_eq!(begun.map(|started| started.work_ms), expected);
}

/// Guards against reports that show the present, which would hide faults of their readers.
#[test]
fn reports_lag_behind() {
    let mut state = state();
    let begun = START.after(10_000);
    let started = state.begin(begun, &work()).unwrap();
    assert_eq!(load(&mut state, begun.after(1_999)), 0);
    assert_eq!(load(&mut state, begun.after(2_000)), 1);
    state.end(begun.after(2_000), started.id, Finish::Complete);
    assert_eq!(load(&mut state, begun.after(3_999)), 1);
    assert_eq!(load(&mut state, begun.after(4_000)), 0);
}

/// Guards against misleading reports that tell the truth.
#[test]
fn reports_mislead_on_request() {
    let mut state = state();
    let begun = START.after(10_000);
    state.begin(begun, &work()).unwrap();
    state.control(begun, ControlRequest::Drain);
    let later = begun.after(5_000);
    assert_eq!(health(&mut state, later), HealthState::Draining);
    let faults = UpstreamFaults {
        reports_mislead: true,
        ..UpstreamFaults::default()
    };
    state.control(later, ControlRequest::SetFaults(faults));
    assert_eq!(health(&mut state, later), HealthState::Ready);
    assert_eq!(load(&mut state, later), 0);
}

/// Guards against a slot that stays taken after its execution has ended.
#[test]
fn ended_work_frees_slot() {
    let mut state = state();
    let now = START.after(10_000);
    let begun: Vec<_> = (0..3).map(|_| state.begin(now, &work()).unwrap()).collect();
    assert_eq!(state.begin(now, &work()), Err(NotRunCause::Shed));
    state.end(now, begun[0].id, Finish::Complete);
    state.begin(now, &work()).unwrap();
}
