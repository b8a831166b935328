//! Answers that upstreams give late, to the wrong request, or in part.

#[path = "common/deployment.rs"]
mod deployment;
#[path = "common/requests.rs"]
mod requests;

use balsam_standins::harness::Sent;
use balsam_standins::harness::cluster::Cluster;
use balsam_standins::upstream::Content;
use balsam_types::KeyHash;
use balsam_wire::upstream::{AnswerFault, UpstreamFaults};
use deployment::start;
use futures_util::future::join_all;
use requests::{Told, caller, service_plan};
use rstest::rstest;

const BODY_BYTES: u64 = 131_072;
const REQUESTS: usize = 60;
/// Faulty answers of each upstream.
const FAULTY: u32 = 10;
const DEADLINE_MS: u64 = 10_000;
/// Shorter than the delay of late answers.
const SHORT_DEADLINE_MS: u64 = 400;

async fn set_faults(cluster: &Cluster, fault: AnswerFault) {
    let faults = UpstreamFaults {
        answers: Some(fault),
        answer_count: FAULTY,
        ..UpstreamFaults::default()
    };
    for upstream in &cluster.upstreams {
        upstream
            .client
            .set_faults(&faults)
            .await
            .expect("confirmed");
    }
}

/// Sends requests of their own keys at once, through all daemons in turn.
async fn send_all(cluster: &Cluster, service: &str, prefix: &str, deadline_ms: u64) -> Vec<Told> {
    let clients = [caller(cluster, 0), caller(cluster, 1), caller(cluster, 2)];
    let send = async |number: usize| {
        let key = format!("{prefix}-{number}");
        let sent = Sent::get(format!("/{service}/{key}"));
        let sent = sent.with_header("balsam-deadline-ms", deadline_ms);
        Told::new(key, clients[number % 3].send(sent).await)
    };
    join_all((0..REQUESTS).map(send)).await
}

/// Returns the digest of the whole answer to a download.
fn download_digest(key: &str) -> KeyHash {
    let content = Content::Generated {
        key: KeyHash::of(key.as_bytes()),
        length_bytes: BODY_BYTES,
    };
    KeyHash::of(content.slice(0, BODY_BYTES))
}

/// Returns whether an answer is the whole one to its own request.
fn is_own(service: &str, told: &Told) -> bool {
    if service == "templates" {
        return KeyHash::of(&told.body) == download_digest(&told.name);
    }
    let body: Option<serde_json::Value> = serde_json::from_slice(&told.body).ok();
    body.is_some_and(|body| body["key"] == told.name.as_str())
}

/// Guards against an answer that is a part, or another request's, and looks like the whole own one.
#[rstest]
#[case::crossed_downloads("templates", AnswerFault::Crossed)]
#[case::crossed_lookups("catalogue", AnswerFault::Crossed)]
#[case::cut_downloads("templates", AnswerFault::CutAfter { bytes: 70_000 })]
#[case::cut_lookups("catalogue", AnswerFault::CutAfter { bytes: 10 })]
#[case::late_lookups("catalogue", AnswerFault::Delayed { delay_ms: 1_000 })]
#[actix_rt::test]
async fn faulty_answers(#[case] service: &str, #[case] fault: AnswerFault) {
    let cluster = start(service_plan(3, service, &[])).await;
    let deadline_ms = match fault {
        AnswerFault::Delayed { .. } => SHORT_DEADLINE_MS,
        AnswerFault::Crossed | AnswerFault::CutAfter { .. } => DEADLINE_MS,
    };
    // A crossed answer belongs to the request before it.
    let before = send_all(&cluster, service, "before", DEADLINE_MS).await;
    set_faults(&cluster, fault).await;
    let during = send_all(&cluster, service, "during", deadline_ms).await;
    let after = send_all(&cluster, service, "after", DEADLINE_MS).await;
    for told in before.iter().chain(&during).chain(&after) {
        assert!(
            !told.is("answered") || is_own(service, told),
            "{} has a foreign or cut answer of {} bytes",
            told.name,
            told.body.len()
        );
    }
    let count = |all: &[Told], outcome| all.iter().filter(|told| told.is(outcome)).count();
    println!(
        "{service} {fault:?}: during {} answered, {} unknown, {} broken; after {} answered",
        count(&during, "answered"),
        count(&during, "unknown"),
        count(&during, "broken"),
        count(&after, "answered")
    );
    assert_eq!(count(&before, "answered"), REQUESTS);
    assert!(count(&after, "answered") > 0);
    let journals = cluster.journals().await;
    let executions = journals.iter().flat_map(|journal| &journal.executions);
    let keys = executions.map(|execution| execution.key.as_str());
    let during_keys: Vec<&str> = keys.filter(|key| key.starts_with("during")).collect();
    if matches!(fault, AnswerFault::CutAfter { .. }) && service == "templates" {
        // A resumed read is an execution more.
        assert!(during_keys.len() > REQUESTS, "no read was resumed");
        let resumed = |told: &&Told| {
            let name = told.name.as_str();
            told.is("answered") && during_keys.iter().filter(|key| **key == name).count() > 1
        };
        assert!(during.iter().any(|told| resumed(&told)));
    }
}

/// Guards against an order that is answered with the outcome of another order on the same key.
#[actix_rt::test]
async fn crossed_orders() {
    let cluster = start(service_plan(3, "ledger", &[])).await;
    set_faults(&cluster, AnswerFault::Crossed).await;
    let clients = [caller(&cluster, 0), caller(&cluster, 1)];
    let send = async |number: usize| {
        let id = format!("order-{number}");
        let sent = Sent::post("/ledger/shared", "an order").with_header("idempotency-key", &id);
        let sent = sent.with_header("balsam-deadline-ms", DEADLINE_MS);
        Told::new(id, clients[number % 2].send(sent).await)
    };
    let told = join_all((0..REQUESTS).map(send)).await;
    let answered: Vec<&Told> = told.iter().filter(|told| told.is("answered")).collect();
    for told in &answered {
        let body: serde_json::Value = serde_json::from_slice(&told.body).expect("JSON");
        assert_eq!(body["order_id"], told.name.as_str());
    }
    println!("{} of {REQUESTS} answered", answered.len());
    assert!(!answered.is_empty() && answered.len() < REQUESTS);
}
