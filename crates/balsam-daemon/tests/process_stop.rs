//! The daemon as a process: the addresses that it prints first, its exit statuses and its signal
//! handling.

mod support;

use balsam_standins::harness::{Child, ChildBuilder, Client, Program, Sent};
use balsam_wire::operator::{EPOCHS_PATH, EpochsResponse};
use balsam_wire::platform::ReadRequest;
use rstest::rstest;
use serde_json::json;
use std::process::{Command, Stdio};
use support::{CREDENTIAL, Platform, WAIT_TIMEOUT};

fn settings(platform: &Platform) -> tempfile::NamedTempFile {
    let settings = json!({
        "caller_listen": "127.0.0.1:0",
        "operator_listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "zone": "az-1",
        "region": "east",
        "platform": platform.server.address(),
        "peer_credential": "peer-credential-0001",
        "operator_credential": CREDENTIAL,
            "limits": { "grace_ms": 0 },
        "log_level": "warn",
    });
    write_file(&settings.to_string())
}

fn write_file(text: &str) -> tempfile::NamedTempFile {
    let file = tempfile::NamedTempFile::new().expect("a temporary file");
    std::fs::write(file.path(), text).expect("a writable file");
    file
}

async fn start(file: &tempfile::NamedTempFile) -> Child {
    let path = file.path().to_str().expect("a UTF-8 path").to_owned();
    let builder =
        ChildBuilder::new(Program::Daemon).with_arguments(["--settings".to_owned(), path]);
    builder
        .start(WAIT_TIMEOUT)
        .await
        .expect("a first line of JSON")
}

async fn wait_until_joined(operator: &Client) {
    let started = std::time::Instant::now();
    loop {
        let sent =
            Sent::get(EPOCHS_PATH).with_header("authorization", format!("Bearer {CREDENTIAL}"));
        let answer = operator.send(sent).await.expect("an answer");
        let epochs: EpochsResponse = serde_json::from_slice(&answer.body).expect("epochs");
        if epochs.joined {
            return;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "{epochs:?}");
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

/// SIGTERM must not end the process before its removal from the roster is committed.
#[actix_rt::test]
async fn sigterm_exit() {
    let platform = Platform::start().await;
    let file = settings(&platform);
    let mut child = start(&file).await;
    let operator = Client::new(child.address("operator").expect("an address"), WAIT_TIMEOUT);
    wait_until_joined(&operator).await;
    child.terminate().unwrap();
    let status = child.wait_exit(WAIT_TIMEOUT).await.unwrap();
    assert_eq!(status.code(), Some(0));
    let read = ReadRequest::default().with_prefix("log/", None);
    let rows = platform.client.read(&read).await.unwrap().rows;
    let last = rows.last().expect("a committed change").value.to_string();
    assert!(last.contains("daemons-removed"), "{last}");
    platform.server.stop().await;
}

/// The process must exit with status 2 instead of starting with an invalid settings file.
#[rstest]
#[case("{", "not valid JSON")]
#[case(r#"{"zone": ""}"#, "platform: missing")]
fn invalid_settings(#[case] text: &str, #[case] expected: &str) {
    let file = write_file(text);
    let output = Command::new(env!("CARGO_BIN_EXE_balsamswitchd"))
        .arg("--settings")
        .arg(file.path())
        .stdin(Stdio::null())
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(error.contains(expected), "{error}");
}
