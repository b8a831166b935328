//! Plans of the load generator in JSON.

use balsam_standins::load::{LoadPlan, PlanError};
use rstest::rstest;
use serde_json::{Value, json};

fn plan() -> Value {
    json!({
        "name": "orders",
        "seed": 7,
        "targets": ["127.0.0.1:1"],
        "connections": 10,
        "in_flight": 100,
        "streams": [{
            "service": "order",
            "rank": "order",
            "member": "m1",
            "kind": { "order": { "body_bytes": 10 } },
            "keys": { "keys": 100, "hot_keys": 2, "hot_percent": 50 },
            "rate": 10.5,
            "until_ms": 1000,
            "deadline_ms": 500
        }]
    })
}

/// Guards against a documented field that is not read.
#[test]
fn full_plan_is_read() {
    let plan = LoadPlan::from_json(plan().to_string()).unwrap();
    assert_eq!(plan.streams[0].keys.hot_keys, 2);
    assert_eq!(plan.streams[0].from_ms, 0);
}

/// Guards against a bad value that starts an endless or empty load instead of an error.
#[rstest]
#[case::no_target("/targets", json!([]), "targets")]
#[case::no_connection("/connections", json!(0), "connections")]
#[case::negative_rate("/streams/0/rate", json!(-1.0), "rate")]
#[case::endless("/streams/0/until_ms", json!(3_600_001), "until_ms")]
#[case::no_deadline("/streams/0/deadline_ms", json!(0), "deadline_ms")]
#[case::no_keys("/streams/0/keys/keys", json!(0), "keys.keys")]
#[case::percent("/streams/0/keys/hot_percent", json!(101), "keys.hot_percent")]
fn bad_value_is_named(#[case] at: &str, #[case] value: Value, #[case] expected: &str) {
    let mut plan = plan();
    *plan.pointer_mut(at).unwrap() = value;
    let refused = LoadPlan::from_json(plan.to_string()).unwrap_err();
    assert!(matches!(refused, PlanError::Range { field, .. } if field == expected));
}
