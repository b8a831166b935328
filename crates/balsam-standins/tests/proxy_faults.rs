//! The fault proxy between a client and a platform, and child processes.

mod common;

use balsam_standins::harness::{
    Child, ChildBuilder, Client, Direction, FaultProxy, HarnessError, LinkMode, PlatformClient,
    Program,
};
use balsam_standins::platform::start_platform;
use balsam_standins::serve::ServerHandle;
use balsam_wire::platform::{ReadRequest, TxRequest};
use common::{TIMEOUT, any_port};
use rstest::rstest;
use serde_json::json;
use std::time::{Duration, Instant};

const SHORT: Duration = Duration::from_millis(400);

struct Link {
    _server: ServerHandle,
    proxy: FaultProxy,
    platform: PlatformClient,
}

async fn link() -> Link {
    let server = start_platform(any_port()).await.expect("platform listens");
    let proxy = FaultProxy::start(server.address()).await.expect("a proxy");
    let platform = PlatformClient::new(Client::new(proxy.address(), SHORT));
    Link {
        _server: server,
        proxy,
        platform,
    }
}

fn write(key: &str) -> TxRequest {
    TxRequest::new().with_write(key, Some(json!(1)))
}

async fn exists(platform: &PlatformClient, key: &str) -> bool {
    let read = ReadRequest::of_keys([key.to_owned()]);
    !platform.read(&read).await.expect("rows").rows.is_empty()
}

async fn platform_child() -> Child {
    let child = ChildBuilder::new(Program::Platform);
    child.start(TIMEOUT).await.expect("platform starts")
}

/// Guards against a delay that is not applied in both directions.
#[actix_rt::test]
async fn delay_counts_both_ways() {
    let link = link().await;
    assert!(link.platform.transact(&write("a")).await.unwrap().committed);
    link.proxy.set_delay_ms(50);
    let begun = Instant::now();
    link.platform.transact(&write("b")).await.unwrap();
    assert!(begun.elapsed() >= Duration::from_millis(100));
}

/// Guards against a cut link that carries requests, or that does not recover.
#[actix_rt::test]
async fn cut_link_recovers() {
    let link = link().await;
    link.platform.transact(&write("a")).await.unwrap();
    link.proxy.set_mode(LinkMode::Cut);
    let begun = Instant::now();
    let cut = link.platform.transact(&write("b")).await;
    assert!(matches!(cut, Err(HarnessError::NoAnswer { .. })));
    assert!(begun.elapsed() < SHORT, "a cut is seen before the timeout");
    link.proxy.set_mode(LinkMode::Open);
    assert!(!exists(&link.platform, "b").await);
}

/// Guards against a half-open link that closes connections, or carries bytes in a dropped direction.
#[rstest]
#[case::both(LinkMode::HalfOpen, false)]
#[case::requests(LinkMode::OneWay { dropped: Direction::ToTarget }, false)]
#[case::answers(LinkMode::OneWay { dropped: Direction::ToClient }, true)]
#[actix_rt::test]
async fn half_open_drops_silently(#[case] mode: LinkMode, #[case] takes_effect: bool) {
    let link = link().await;
    link.platform.transact(&write("a")).await.unwrap();
    link.proxy.set_mode(mode);
    let begun = Instant::now();
    let silent = link.platform.transact(&write("b")).await;
    assert!(matches!(silent, Err(HarnessError::NoAnswer { .. })));
    assert!(begun.elapsed() >= SHORT, "only the timeout ends the wait");
    link.proxy.set_mode(LinkMode::Open);
    assert_eq!(exists(&link.platform, "b").await, takes_effect);
}

/// Guards against a child that survives SIGTERM or does not report its end.
#[actix_rt::test]
async fn child_ends_on_term() {
    let mut child = platform_child().await;
    child.terminate().unwrap();
    let status = child.wait_exit(TIMEOUT).await.unwrap();
    assert!(status.success());
}

/// Guards against a frozen child that answers, or one that does not resume.
#[actix_rt::test]
async fn frozen_child_resumes() {
    let child = platform_child().await;
    let address = child.address("address").unwrap();
    let platform = PlatformClient::new(Client::new(address, SHORT));
    platform.transact(&write("a")).await.unwrap();
    child.freeze().unwrap();
    let frozen = platform.transact(&write("b")).await;
    assert!(matches!(frozen, Err(HarnessError::NoAnswer { .. })));
    child.resume().unwrap();
    assert!(exists(&platform, "a").await);
}

/// Guards against children that outlive their test.
#[actix_rt::test]
async fn dropped_child_is_killed() {
    let child = platform_child().await;
    let address = child.address("address").unwrap();
    drop(child);
    let connected = actix_rt::net::TcpStream::connect(address).await;
    connected.expect_err("nothing listens there");
}

/// Guards against control traffic that is measured without one of its directions.
#[actix_rt::test]
async fn bytes_are_counted() {
    let link = link().await;
    assert_eq!(link.proxy.carried_bytes(), 0);
    let tx = write("a");
    link.platform.transact(&tx).await.expect("an answer");
    let sent = serde_json::to_vec(&tx).expect("JSON").len() as u64;
    let carried = link.proxy.carried_bytes();
    assert!(carried > sent, "{carried}");
    assert!(exists(&link.platform, "a").await);
    assert!(link.proxy.carried_bytes() > carried);
}
