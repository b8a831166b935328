//! The operations page and the daemon must name the same metrics.

mod support;

use std::collections::BTreeSet;
use support::{Behavior, Caller, Upstream, start};
use tokio::time::{Duration, sleep};

/// Time for the first reports of the pool and of the control task.
const REPORT_WAIT: Duration = Duration::from_millis(1_500);

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

/// Metrics of events that do not happen in this test.
const UNTRIGGERED: [&str; 3] = [
    "balsam_edge_keys_moved",
    "balsam_edge_notices_ignored",
    "balsam_edge_requests_suspect",
];

fn names(text: &str) -> BTreeSet<String> {
    let words = text.split(|letter: char| !(letter.is_ascii_alphanumeric() || letter == '_'));
    let names = words.filter(|word| word.starts_with("balsam_edge_"));
    let base = names.map(|name| {
        let endings = ["_total", "_bucket", "_sum", "_count", "_milliseconds"];
        let mut base = name;
        while let Some(shorter) = endings.iter().find_map(|end| base.strip_suffix(end)) {
            base = shorter;
        }
        base.to_owned()
    });
    base.collect()
}

/// Fails if the page lacks a metric that the daemon exports, or describes one that no longer
/// exists.
#[actix_rt::test]
async fn same_names() {
    let upstream = Upstream::start("u1", &[Behavior::Respond]).await;
    let edge = start(Some(&[&upstream])).await;
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("GET", "/read/x", "r1").await;
    assert_eq!(caller.response().await.0, 200);
    sleep(REPORT_WAIT).await;
    let mut reader = Caller::open(edge.addresses().metrics).await;
    reader
        .send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        .await;
    let (_, _, body) = reader.response().await;
    let exported = names(std::str::from_utf8(&body).expect("text"));
    let mut documented = names(PAGE);
    assert!(
        exported.is_subset(&documented),
        "{exported:?} {documented:?}"
    );
    documented.retain(|name| !UNTRIGGERED.contains(&name.as_str()));
    assert!(
        documented.is_subset(&exported),
        "{documented:?} {exported:?}"
    );
}
