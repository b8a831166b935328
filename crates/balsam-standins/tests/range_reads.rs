//! Downloads of an upstream: ranges, validators and answers with faults.

mod common;

use balsam_standins::harness::{Answer, UpstreamClient, Work};
use balsam_types::{Epoch, UnitId};
use balsam_wire::upstream::{AbortCause, AnswerFault, ExecutionEnd, UpstreamFaults, headers};
use common::upstream;
use std::time::Duration;

const UNIT: UnitId = UnitId(1);
const EPOCH: Epoch = Epoch(5);
const LONG_MS: u64 = 60_000;
const LENGTH: usize = 200_003;
const ARGUMENTS: &str = "--body-bytes download=200003 --chunk-bytes 10000";

async fn read(upstream: &UpstreamClient, fields: &[(&str, &str)]) -> Answer {
    let sent = Work::download("file", UNIT, EPOCH).into_sent();
    let sent = fields
        .iter()
        .fold(sent, |sent, (name, value)| sent.with_header(*name, value));
    upstream.client().send(sent).await.expect("an answer")
}

fn one_fault(fault: AnswerFault) -> UpstreamFaults {
    UpstreamFaults {
        answers: Some(fault),
        answer_count: 1,
        ..UpstreamFaults::default()
    }
}

/// Guards against a resumed read whose parts do not make up the whole content.
#[actix_rt::test]
async fn parts_make_whole() {
    let (_server, upstream) = upstream(ARGUMENTS).await;
    upstream.grant_units(EPOCH, [UNIT], LONG_MS).await.unwrap();
    let whole = read(&upstream, &[]).await;
    assert_eq!((whole.status, whole.body.len()), (200, LENGTH));
    let etag = whole.header("etag").unwrap();
    let first = read(&upstream, &[("range", "bytes=0-12344")]).await;
    let rest = [("range", "bytes=12345-"), ("if-range", etag)];
    let rest = read(&upstream, &rest).await;
    assert_eq!((first.status, rest.status), (206, 206));
    assert_eq!(
        rest.header("content-range").unwrap(),
        "bytes 12345-200002/200003"
    );
    assert_eq!([first.body, rest.body].concat(), whole.body);
}

/// Guards against a part of other content that is passed off as the rest of this one.
#[actix_rt::test]
async fn stale_validator_gets_whole() {
    let (_server, upstream) = upstream(ARGUMENTS).await;
    upstream.grant_units(EPOCH, [UNIT], LONG_MS).await.unwrap();
    let stale = [("range", "bytes=5-"), ("if-range", "\"other\"")];
    let answer = read(&upstream, &stale).await;
    assert_eq!((answer.status, answer.body.len()), (200, LENGTH));
    let outside = read(&upstream, &[("range", "bytes=200003-")]).await;
    assert_eq!(outside.status, 416);
}

/// Guards against a cut answer that looks whole to its reader.
#[actix_rt::test]
async fn cut_answer_is_incomplete() {
    let (_server, upstream) = upstream(ARGUMENTS).await;
    upstream.grant_units(EPOCH, [UNIT], LONG_MS).await.unwrap();
    let cut = one_fault(AnswerFault::CutAfter { bytes: 25_000 });
    upstream.set_faults(&cut).await.unwrap();
    let answer = read(&upstream, &[]).await;
    assert_eq!(answer.status, 200);
    assert!(!answer.complete);
    assert!(answer.body.len() <= 25_000);
    assert!(
        read(&upstream, &[]).await.complete,
        "the fault covers one answer"
    );
}

/// Guards against a stream that goes on after its grant has expired.
#[actix_rt::test]
async fn expiry_cuts_stream() {
    let (_server, upstream) =
        upstream("--body-bytes download=200003 --chunk-bytes 10000 --chunk-ms 100").await;
    upstream.grant_units(EPOCH, [UNIT], 500).await.unwrap();
    let answer = read(&upstream, &[]).await;
    assert!(!answer.complete);
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    let executions = upstream.journal().await.unwrap().executions;
    let lapsed = ExecutionEnd::Aborted {
        cause: AbortCause::GrantLapsed,
        after_effect: true,
    };
    assert_eq!(executions[0].end, lapsed);
}

/// Guards against a crossed answer that cannot be told from the right one.
#[actix_rt::test]
async fn crossed_answer_names_other() {
    let (_server, upstream) = upstream("").await;
    upstream.grant_units(EPOCH, [UNIT], LONG_MS).await.unwrap();
    let lookup = |key: &str| upstream.work(Work::lookup(key, UNIT, EPOCH));
    let right = lookup("first").await.unwrap();
    assert_eq!(right.header(headers::KEY), Some("first"));
    upstream
        .set_faults(&one_fault(AnswerFault::Crossed))
        .await
        .unwrap();
    let crossed = lookup("second").await.unwrap();
    assert_eq!(crossed.header(headers::KEY), Some("first"));
    assert_eq!(crossed.body, right.body);
}

/// Guards against a request body that is changed on its way.
#[actix_rt::test]
async fn answer_echoes_digest() {
    let (_server, upstream) = upstream("").await;
    upstream.grant_units(EPOCH, [UNIT], LONG_MS).await.unwrap();
    let order = |body: &'static str| {
        let order = Work::order("k", "o1", UNIT, EPOCH).with_body(body);
        upstream.work(order)
    };
    let digest = |answer: &Answer| answer.header(headers::BODY_DIGEST).map(str::to_owned);
    let one = digest(&order("one").await.unwrap());
    assert!(one.is_some());
    assert_eq!(one, digest(&order("one").await.unwrap()));
    assert_ne!(one, digest(&order("two").await.unwrap()));
}
