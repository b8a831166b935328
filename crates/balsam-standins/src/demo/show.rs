//! The requests of the demonstration.

use super::error::{ExchangeSnafu, UnexpectedSnafu};
use super::lines::{explain, print, upstream_of};
use super::services::DemoService;
use super::{DemoError, Deployment};
use crate::harness::cluster::wait_until;
use crate::harness::{Answer, Client, Sent};
use crate::upstream::Content;
use balsam_types::{KeyHash, OrderId};
use balsam_wire::upstream::{ExecutionEnd, headers};
use snafu::{ResultExt, ensure};

const KEY: &str = "pine-forest";
const ORDER_ID: &str = "demo-order-1";

/// Serves a lookup, an order and a streamed download, and prints who answered and why.
///
/// # Errors
///
/// Returns an error if a part does not start or an answer is not as it must be.
pub async fn run_demo() -> Result<(), DemoError> {
    let deployment = Deployment::start().await?;
    let (daemons, upstreams) = deployment.counts();
    print(format!(
        "{daemons} daemons route to {upstreams} upstreams of 3 services on an embedded platform"
    ))?;
    show_lookup(&deployment).await?;
    show_order(&deployment).await?;
    show_download(&deployment).await?;
    deployment.stop().await?;
    print("the daemons left the roster in order")
}

async fn show_lookup(deployment: &Deployment) -> Result<(), DemoError> {
    let service = DemoService::Lookup;
    let sent = Sent::get(format!("/lookup/{KEY}"));
    let answer = served("lookup", &deployment.callers(0), sent).await?;
    show(deployment, service, &answer, "answered the lookup").await
}

/// Sends the same order through both daemons; the second arrival gets the recorded answer.
async fn show_order(deployment: &Deployment) -> Result<(), DemoError> {
    let sent = Sent::post(format!("/order/{KEY}"), "one basket")
        .with_header(headers::IDEMPOTENCY_KEY, ORDER_ID);
    let first = served("order", &deployment.callers(0), sent.clone()).await?;
    show(deployment, DemoService::Order, &first, "ran the order").await?;
    let second = served("order", &deployment.callers(1), sent).await?;
    ensure!(
        second.body == first.body,
        UnexpectedSnafu {
            request: "repeated order",
            expected: "the recorded answer",
            found: second.text(),
        }
    );
    let runs = order_runs(deployment).await?;
    ensure!(
        runs == 1,
        UnexpectedSnafu {
            request: "repeated order",
            expected: "one execution",
            found: format!("{runs} executions"),
        }
    );
    let repeated = "the same order, sent through the other daemon, got the recorded answer";
    print(format!("{:9}{repeated} and did not run again", ""))
}

async fn show_download(deployment: &Deployment) -> Result<(), DemoError> {
    let sent = Sent::get(format!("/download/{KEY}"));
    let answer = served("download", &deployment.callers(1), sent).await?;
    let length_bytes = answer.body.len() as u64;
    let expected = Content::Generated {
        key: KeyHash::of(KEY),
        length_bytes,
    };
    ensure!(
        answer.body == expected.slice(0, length_bytes),
        UnexpectedSnafu {
            request: "download",
            expected: "the content of the key",
            found: format!("other content of {length_bytes} bytes"),
        }
    );
    let service = DemoService::Download;
    let text = format!("streamed {} bytes", answer.body.len());
    show(deployment, service, &answer, &text).await
}

/// Repeats a request until it is answered.
///
/// The first grants reach the upstreams up to a pulse after the units have their owners, and until
/// then requests are reported as not run. A repeated order is reported as unknown until the outcome
/// of the first one is recorded, and never runs.
async fn served(request: &'static str, client: &Client, sent: Sent) -> Result<Answer, DemoError> {
    let answered = || async {
        let answer = client.send(sent.clone()).await;
        let waits = |answer: &Answer| {
            let outcome = answer.header(headers::OUTCOME);
            matches!(outcome, Some("not-run" | "unknown"))
        };
        (!answer.as_ref().is_ok_and(waits)).then_some(answer)
    };
    let waited = wait_until("an answer", super::deployment::PATIENCE, answered).await;
    let (answer, _) = waited.context(ExchangeSnafu)?;
    let answer = answer.context(ExchangeSnafu)?;
    ensure!(
        answer.status == 200 && answer.complete,
        UnexpectedSnafu {
            request,
            expected: "a whole answer of status 200",
            found: format!("status {}: {}", answer.status, answer.text()),
        }
    );
    Ok(answer)
}

async fn show(
    deployment: &Deployment,
    service: DemoService,
    answer: &Answer,
    what: &str,
) -> Result<(), DemoError> {
    let upstream = upstream_of(service.as_str(), answer)?;
    let why = explain(&deployment.operator(), service, KEY).await?;
    print(format!("{:<9}{upstream} {what}: {why}", service.as_str()))
}

async fn order_runs(deployment: &Deployment) -> Result<usize, DemoError> {
    let mut runs = 0;
    for upstream in deployment.upstreams() {
        let journal = upstream.journal().await.context(ExchangeSnafu)?;
        let ran = |execution: &&balsam_wire::upstream::Execution| {
            execution.order_id.as_ref().map(OrderId::as_str) == Some(ORDER_ID)
                && execution.end == ExecutionEnd::Committed
        };
        runs += journal.executions.iter().filter(ran).count();
    }
    Ok(runs)
}
