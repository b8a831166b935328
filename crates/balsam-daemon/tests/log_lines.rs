//! Log lines and metrics, which are read by other programs.

use balsam_daemon::logging::{DECISION_TARGET, render_line};
use balsam_daemon::metrics;
use balsam_types::{NotRunReason, Outcome, RankName, ServiceName, UpstreamName};
use log::{Level, Record};
use rstest::rstest;

/// Every log line must be one JSON object, whatever characters its text contains.
#[rstest]
#[case::plain("balsam", "a \"quoted\"\nline", "message")]
#[case::decision(DECISION_TARGET, "{\"kind\":\"retry\"}", "decision")]
#[case::bad_decision(DECISION_TARGET, "{\"kind\":", "message")]
fn one_object(#[case] target: &str, #[case] text: &str, #[case] field: &str) {
    let arguments = format_args!("{text}").to_string();
    let line = render_line(
        5,
        &Record::builder()
            .level(Level::Info)
            .target(target)
            .args(format_args!("{arguments}"))
            .build(),
    );
    assert!(!line.contains('\n'), "{line}");
    let object: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert_eq!(object["level"], "INFO");
    match field {
        "decision" => assert_eq!(object["decision"]["kind"], "retry"),
        _ => assert_eq!(object["message"], text),
    }
}

/// Dashboards depend on the names and labels of the exported metrics, so they must not change.
#[test]
fn exported_series() {
    let (metrics, text) = metrics::start().unwrap();
    let service = ServiceName::new("files").unwrap();
    let rank = RankName::new("lookup").unwrap();
    metrics.request(&service, &rank, Outcome::Answered, 2.0);
    let shed = Outcome::NotRun(NotRunReason::Shed);
    metrics.request(&service, &rank, shed, 3.0);
    metrics.dispatcher(&UpstreamName::new("u1").unwrap(), 4, 2);
    metrics.retry(&service, &rank);
    metrics.relay_hop(&service);
    let text = text.render().unwrap();
    for series in [
        "balsam_requests_total{outcome=\"not-run\",rank=\"lookup\",reason=\"shed\",service=\"files\"",
        "balsam_latency_milliseconds_bucket{",
        "balsam_queue_length{",
        "balsam_slots_in_use{",
        "balsam_retries_total{",
        "balsam_relay_hops_total{",
    ] {
        assert!(text.contains(series), "{series} is missing in {text}");
    }
}
