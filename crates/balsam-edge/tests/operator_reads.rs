//! The operators' API of a running daemon, read with the operators' own client.

mod support;

use balsam_ctl::commands::{EntryOwner, EntryState, EntryUpstreams};
use balsam_ctl::{Client, CtlError, Report};
use balsam_edge::Edge;
use balsam_types::ServiceName;
use clap::{Args, FromArgMatches};
use rstest::rstest;
use std::time::Duration;
use support::{Behavior, OPERATOR_CREDENTIAL, Store, Upstream, entry, rows, start_at, wait_ready};
use tokio::time::sleep;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Time for the leader election and for the first assignment of keys.
const ASSIGNED_WITHIN: Duration = Duration::from_secs(3);

fn client(edge: &Edge, credential: &str) -> Client {
    Client::new(edge.addresses().metrics, credential, TIMEOUT)
}

fn command<T: Args + FromArgMatches>(arguments: &[&str]) -> T {
    let parser = T::augment_args(clap::Command::new("test").no_binary_name(true));
    let matches = parser.try_get_matches_from(arguments).expect("arguments");
    T::from_arg_matches(&matches).expect("a command")
}

/// Starts a daemon whose only upstream belongs to the keyed service.
async fn start_keyed() -> (Edge, Upstream) {
    let upstream = Upstream::start("u1", &[Behavior::Respond]).await;
    let mut keyed = entry(&upstream);
    keyed.service = ServiceName::new("keys").expect("a valid name");
    let mut rows = rows(&[]);
    rows.push(support::upstream_row(keyed));
    let edge = start_at(&Store::start(rows), 1).await;
    wait_ready(&edge).await;
    sleep(ASSIGNED_WITHIN).await;
    (edge, upstream)
}

/// Version, leader, upstreams and owners must be reported together with the age of the data.
#[actix_rt::test]
async fn beliefs_told() {
    let (edge, upstream) = start_keyed().await;
    let client = client(&edge, OPERATOR_CREDENTIAL);
    let state = EntryState.run(&client).await.expect("a state").json;
    assert_eq!(state["config_version"], 1);
    assert_eq!(state["leader"], "d1");
    assert_eq!(state["is_ready"], true);
    let age_ms = state["knowledge_age_ms"].as_u64().expect("an age");
    assert!(age_ms < 2_000, "{age_ms}");
    let upstreams = EntryUpstreams.run(&client).await.expect("a list").json;
    assert_eq!(upstreams["upstreams"][0]["name"], "u1");
    assert_eq!(upstreams["upstreams"][0]["ranges"], 3);
    let owner: EntryOwner = command(&["keys", "40000"]);
    let owner = owner.run(&client).await.expect("an owner").json;
    assert_eq!(owner["upstream"], "u1");
    assert_eq!(owner["address"], upstream.address.to_string());
    assert_eq!(owner["is_believed"], true);
}

/// Requests without the right credential or for an unknown service must be refused.
#[rstest]
#[case::stranger("another-credential", "keys", "credential")]
#[case::unknown(OPERATOR_CREDENTIAL, "nothing", "no key of nothing")]
#[actix_rt::test]
async fn refused(#[case] credential: &str, #[case] service: &str, #[case] expected: &str) {
    let upstream = Upstream::start("u1", &[Behavior::Respond]).await;
    let edge = support::start(Some(&[&upstream])).await;
    let owner: EntryOwner = command(&[service, "1"]);
    let result: Result<Report, CtlError> = owner.run(&client(&edge, credential)).await;
    let refusal = result.expect_err("a refusal");
    assert!(refusal.to_string().contains(expected), "{refusal}");
    assert_eq!(refusal.exit_code(), 1);
}
