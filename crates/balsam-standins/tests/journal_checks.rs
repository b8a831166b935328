//! The checker of the upstreams' journals, and a crashing upstream.

mod common;

use balsam_standins::harness::{
    ChildBuilder, Client, OrderReports, Program, UpstreamClient, Violation, Work, check_journals,
};
use balsam_types::{Epoch, Incarnation, KeyHash, MemberName, OrderId, TimeMs, UnitId};
use balsam_wire::upstream::{AbortCause, Execution, ExecutionEnd, JournalResponse};
use common::TIMEOUT;
use std::collections::BTreeSet;

const COMMITTED: ExecutionEnd = ExecutionEnd::Committed;
const NO_EFFECT: ExecutionEnd = ExecutionEnd::Aborted {
    cause: AbortCause::GrantLapsed,
    after_effect: false,
};

fn execution(
    key: &str,
    order: Option<&str>,
    from: u64,
    checked: u64,
    end: ExecutionEnd,
) -> Execution {
    Execution {
        key: key.to_owned(),
        key_hash: KeyHash::of(key),
        unit: UnitId(0),
        epoch: Epoch(from),
        order_id: order.map(|id| OrderId::new(id).expect("valid id")),
        rank: None,
        member: None,
        started_at_ms: TimeMs(from),
        ended_at_ms: Some(TimeMs(checked + 1_000)),
        last_check_ms: TimeMs(checked),
        end,
    }
}

fn journal(upstream: &str, executions: Vec<Execution>) -> JournalResponse {
    JournalResponse {
        upstream: upstream.parse().expect("valid name"),
        incarnation: Incarnation(1),
        executions,
        dropped: 0,
    }
}

fn names(ids: &[&str]) -> BTreeSet<(Option<MemberName>, OrderId)> {
    let name = |id: &&str| (None, OrderId::new(id).expect("valid id"));
    ids.iter().map(name).collect()
}

fn check(journals: &[JournalResponse]) -> Vec<Violation> {
    check_journals(journals, &OrderReports::default())
}

/// Guards against a checker that overlooks two owners of one key.
#[test]
fn finds_overlap() {
    let first = journal("u1", vec![execution("k", None, 10, 50, COMMITTED)]);
    let second = journal("u2", vec![execution("k", None, 30, 40, COMMITTED)]);
    let found = check(&[first, second]);
    assert!(matches!(
        &*found,
        [Violation::Overlap {
            at_ms: TimeMs(30),
            ..
        }]
    ));
}

/// Guards against a checker that overlooks a former owner that runs a request late.
#[test]
fn finds_stale_owner() {
    let mut late = execution("k", None, 70, 80, COMMITTED);
    late.epoch = Epoch(10);
    let first = journal("u1", vec![execution("k", None, 10, 20, COMMITTED), late]);
    let second = journal("u2", vec![execution("k", None, 50, 60, COMMITTED)]);
    let found = check(&[first, second]);
    let expected = Violation::StaleOwner {
        key: "k".to_owned(),
        before: "u2".parse().expect("valid name"),
        stale: "u1".parse().expect("valid name"),
        at_ms: TimeMs(70),
    };
    assert_eq!(found, [expected]);
}

/// Guards against a checker that reports a handover, other keys, or a resumed upstream's late end.
#[test]
fn accepts_rightful_owners() {
    let first = journal(
        "u1",
        vec![
            execution("k", None, 10, 50, COMMITTED),
            execution("k", None, 20, 50, NO_EFFECT),
            execution("other", None, 10, 90, COMMITTED),
        ],
    );
    let second = journal("u2", vec![execution("k", None, 50, 70, COMMITTED)]);
    assert_eq!(check(&[first, second]), []);
}

/// Guards against a checker that overlooks repeated, lost or falsely reported orders.
#[test]
fn finds_order_faults() {
    let first = journal(
        "u1",
        vec![
            execution("a", Some("twice"), 10, 20, COMMITTED),
            execution("a", Some("once"), 30, 40, COMMITTED),
            execution("a", Some("again"), 40, 40, NO_EFFECT),
        ],
    );
    let second = journal(
        "u2",
        vec![
            execution("b", Some("twice"), 50, 60, COMMITTED),
            execution("b", Some("again"), 50, 60, COMMITTED),
        ],
    );
    let reports = OrderReports {
        answered: names(&["again", "missing"]),
        not_run: names(&["once", "never"]),
    };
    let found = check_journals(&[first, second], &reports);
    let order = |id: &str| names(&[id]).pop_first().expect("one name");
    let expected = [
        Violation::OrderRepeated {
            order: order("twice"),
            effects: 2,
        },
        Violation::NotRunTookEffect {
            order: order("once"),
        },
        Violation::AnsweredWithoutEffect {
            order: order("missing"),
        },
    ];
    assert_eq!(found, expected);
}

/// Guards against a crash path that answers or leaves the process running.
#[actix_rt::test]
async fn crash_path_ends_process() {
    let arguments = ["--name", "u1", "--service", "lookup", "--no-check-grants"];
    let builder = ChildBuilder::new(Program::Upstream).with_arguments(arguments);
    let mut child = builder.start(TIMEOUT).await.unwrap();
    let client = Client::new(child.address("address").unwrap(), TIMEOUT);
    let upstream = UpstreamClient::new(client, "lookup".parse().unwrap());
    let mut work = Work::lookup("k", UnitId(1), Epoch(1));
    work.path.push_str("/crash");
    upstream.work(work).await.expect_err("no answer");
    assert!(!child.wait_exit(TIMEOUT).await.unwrap().success());
}
