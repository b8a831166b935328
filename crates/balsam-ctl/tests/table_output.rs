//! Tables for people, JSON for scripts, and completions.

mod support;

use rstest::rstest;
use serde_json::Value;
use support::{CREDENTIAL, Deployment, run};

/// Guards against a command that prints no table, or no JSON, or rounds ids in JSON.
#[actix_rt::test]
async fn every_list_has_a_table_and_json() {
    let deployment = Deployment::start(1).await;
    let created = deployment.ctl(0, &["service", "create", "lookup"]).await;
    assert_eq!(created.code, 0, "{created:?}");
    let commands: [(&[&str], &str); 9] = [
        (&["daemons"], "INCARNATION"),
        (&["upstreams"], "UPSTREAM"),
        (&["epochs"], "DAEMON"),
        (&["owner", "lookup", "a key/with ?&%"], "UNIT"),
        (&["quarantine", "list"], "FINGERPRINT"),
        (&["service", "list"], "SERVICE"),
        (&["zone", "list"], "ZONE"),
        (&["settings", "get"], "PATH"),
        (&["settings", "explain", "/"], "COMES FROM"),
    ];
    for (arguments, heading) in commands {
        let table = deployment.ctl(0, arguments).await;
        assert_eq!(table.code, 0, "{table:?}");
        assert!(table.out.contains(heading), "{table:?}");
        let mut all = vec!["--json"];
        all.extend(arguments);
        deployment.ctl(0, &all).await.json();
    }
    let daemons = deployment.ctl(0, &["--json", "daemons"]).await.json();
    assert!(
        daemons["daemons"][0]["incarnation"].is_string(),
        "{daemons}"
    );
}

/// Guards against a key that is changed on its way through the query string.
#[actix_rt::test]
async fn a_key_with_special_characters_arrives_whole() {
    let deployment = Deployment::start(1).await;
    let created = deployment.ctl(0, &["service", "create", "lookup"]).await;
    assert_eq!(created.code, 0, "{created:?}");
    let key = "a key/with ?&%+ü=";
    let found = deployment
        .ctl(0, &["--json", "owner", "lookup", key])
        .await
        .json();
    assert_eq!(found["key"], Value::from(key));
    assert_eq!(found["state"], "suspended");
}

/// Guards against a credential file whose line break becomes part of the credential.
#[actix_rt::test]
async fn the_credential_is_read_from_a_file() {
    let deployment = Deployment::start(1).await;
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), format!("{CREDENTIAL}\n")).unwrap();
    let path = file.path().to_str().unwrap();
    let server = deployment.operator(0).to_string();
    let arguments = ["--server", &server, "--credential-file", path, "epochs"];
    let printed = run(None, &arguments).await;
    assert_eq!(printed.code, 0, "{printed:?}");
}

/// Guards against completions that need a daemon or miss commands.
#[rstest]
#[case("bash")]
#[case("zsh")]
#[case("fish")]
#[actix_rt::test]
async fn completions_need_no_daemon(#[case] shell: &str) {
    let printed = run(None, &["completions", shell]).await;
    assert_eq!(printed.code, 0, "{printed:?}");
    for command in ["quarantine", "upstreams", "explain"] {
        assert!(printed.out.contains(command), "{command}");
    }
}
