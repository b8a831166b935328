//! Guards that the operators' page and the metrics of a daemon name the same things.

mod support;

use std::collections::BTreeSet;
use support::{Act, Caller, Upstream, start};
use tokio::time::{Duration, sleep};

/// Time for the first reports of the pool and the control task.
const REPORTED: Duration = Duration::from_millis(1_500);

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

/// Metrics that count only what has not happened in the test.
const RARE: [&str; 2] = ["balsam_edge_keys_moved", "balsam_edge_requests_suspect"];

fn names(text: &str) -> BTreeSet<String> {
    let words = text.split(|letter: char| !(letter.is_ascii_alphanumeric() || letter == '_'));
    let names = words.filter(|word| word.starts_with("balsam_edge_"));
    let bare = names.map(|name| {
        let endings = ["_total", "_bucket", "_sum", "_count", "_milliseconds"];
        let mut bare = name;
        while let Some(shorter) = endings.iter().find_map(|end| bare.strip_suffix(end)) {
            bare = shorter;
        }
        bare.to_owned()
    });
    bare.collect()
}

/// Guards against metrics that the page does not explain, and against ones that are gone.
#[actix_rt::test]
async fn same_names() {
    let upstream = Upstream::start("u1", &[Act::Answer]).await;
    let edge = start(Some(&[&upstream])).await;
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("GET", "/read/x", "r1").await;
    assert_eq!(caller.answer().await.0, 200);
    sleep(REPORTED).await;
    let mut reader = Caller::open(edge.addresses().metrics).await;
    reader
        .send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        .await;
    let (_, _, body) = reader.answer().await;
    let served = names(std::str::from_utf8(&body).expect("text"));
    let mut explained = names(PAGE);
    assert!(served.is_subset(&explained), "{served:?} {explained:?}");
    explained.retain(|name| !RARE.contains(&name.as_str()));
    assert!(explained.is_subset(&served), "{explained:?} {served:?}");
}
