//! The exit code of each way in which a command can end.

mod support;

use rstest::rstest;
use support::{CREDENTIAL, Deployment, run};

/// Guards against a script that takes a failure for a success or one failure for another.
#[actix_rt::test]
async fn done_refused_and_conflict_differ() {
    let deployment = Deployment::start(1).await;
    let create = ["service", "create", "lookup", "slices=64"];
    assert_eq!(deployment.ctl(0, &create).await.code, 0);
    let again = deployment.ctl(0, &create).await;
    assert_eq!(again.code, 4, "{again:?}");
    let stale = [
        "settings",
        "set",
        "/services/lookup",
        "weight=2",
        "--base-version",
        "0",
    ];
    assert_eq!(deployment.ctl(0, &stale).await.code, 4);
    let refused = deployment.ctl(0, &["drain", "nobody"]).await;
    assert_eq!(refused.code, 1, "{refused:?}");
    assert!(refused.err.contains("help: "), "{refused:?}");
    for missing in [
        ["settings", "get", "/services/none"],
        ["rank", "list", "none"],
    ] {
        let printed = deployment.ctl(0, &missing).await;
        assert_eq!(printed.code, 1, "{printed:?}");
        assert!(printed.err.contains("no such node"), "{printed:?}");
    }
    let server = deployment.operator(0).to_string();
    let stranger = run(Some("another-credential"), &["--server", &server, "epochs"]).await;
    assert_eq!(stranger.code, 1, "{stranger:?}");
}

/// Guards against a change that is reported as in force while no majority has adopted it.
#[actix_rt::test]
async fn a_change_without_a_majority_is_pending() {
    let mut deployment = Deployment::start(3).await;
    deployment.kill(2);
    deployment.kill(1);
    let set = ["settings", "set", "/", "queue_max=99"];
    let pending = deployment.ctl(0, &set).await;
    assert_eq!(pending.code, 5, "{pending:?}");
    assert!(pending.out.contains("no majority"), "{pending:?}");
}

/// Guards against usage errors that reach the daemon or do not say what is accepted.
#[rstest]
#[case(&["epochs"], "--server")]
#[case(&["--server", "localhost", "epochs"], "--server")]
#[case(&["--server", "127.0.0.1:1", "settings", "set", "/", "weigth=2"], "accepted")]
#[case(&["--server", "127.0.0.1:1", "settings", "set", "/", "weight=0"], "1 to 1000")]
#[case(&["--server", "127.0.0.1:1", "settings", "set", "/", "orders=maybe"], "true or false")]
#[case(&["--server", "127.0.0.1:1", "settings", "set", "/", "weight"], "KEY=VALUE")]
#[case(&["--server", "127.0.0.1:1", "settings", "set", "nowhere", "weight=2"], "/services/S")]
#[case(&["--server", "127.0.0.1:1", "settings", "unset", "/", "weigth"], "accepted")]
#[case(&["--server", "127.0.0.1:1", "owner", "a b", "key"], "letters")]
#[case(&["--server", "127.0.0.1:1", "quarantine", "clear", "x"], "invalid")]
#[actix_rt::test]
async fn usage_errors_exit_with_2(#[case] arguments: &[&str], #[case] expected: &str) {
    let printed = run(Some(CREDENTIAL), arguments).await;
    assert_eq!(printed.code, 2, "{printed:?}");
    assert!(printed.err.contains(expected), "{printed:?}");
}

/// Guards against a missing or unreadable credential that is sent as an empty one.
#[rstest]
#[case(&["--server", "127.0.0.1:1", "epochs"], "BALSAM_CREDENTIAL")]
#[case(&["--server", "127.0.0.1:1", "--credential-file", "/nonexistent", "epochs"], "/nonexistent")]
#[actix_rt::test]
async fn a_missing_credential_exits_with_2(#[case] arguments: &[&str], #[case] expected: &str) {
    let printed = run(None, arguments).await;
    assert_eq!(printed.code, 2, "{printed:?}");
    assert!(printed.err.contains(expected), "{printed:?}");
}

/// Guards against an unreachable daemon being reported as a refusal.
#[actix_rt::test]
async fn an_unreachable_daemon_exits_with_3() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let server = listener.local_addr().unwrap().to_string();
    drop(listener);
    let printed = run(Some(CREDENTIAL), &["--json", "--server", &server, "epochs"]).await;
    assert_eq!(printed.code, 3, "{printed:?}");
    let error: serde_json::Value = serde_json::from_str(&printed.err).unwrap();
    assert_eq!(error["code"], "unreachable");
}
