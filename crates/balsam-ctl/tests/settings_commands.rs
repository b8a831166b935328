//! Commands on the settings tree.

mod support;

use serde_json::{Value, json};
use support::Deployment;

async fn done(deployment: &Deployment, arguments: &[&str]) {
    let printed = deployment.ctl(0, arguments).await;
    assert_eq!(printed.code, 0, "{printed:?}");
}

async fn origin(deployment: &Deployment, index: usize, path: &str, key: &str) -> (Value, Value) {
    let arguments = ["--json", "settings", "explain", path, key];
    let found = deployment.ctl(index, &arguments).await.json();
    let value = &found["values"][0];
    (value["value"].clone(), value["origin"].clone())
}

/// Guards against an override that does not win, an inherited value that is lost, and `explain`
/// naming the wrong node.
#[actix_rt::test]
async fn explain_names_the_node_of_each_value() {
    let deployment = Deployment::start(2).await;
    let rank = "/services/lookup/ranks/urgent";
    let member = "/services/lookup/ranks/urgent/members/acme";
    done(
        &deployment,
        &["service", "create", "lookup", "slices=64", "queue_max=40"],
    )
    .await;
    done(
        &deployment,
        &["rank", "create", "lookup", "urgent", "priority=1"],
    )
    .await;
    done(
        &deployment,
        &["settings", "set", "/", "deadline_ms=700", "--wait"],
    )
    .await;
    done(
        &deployment,
        &["settings", "set", member, "weight=3", "--wait"],
    )
    .await;
    let expected = [
        (rank, "priority", json!(1), json!(rank)),
        (rank, "queue_max", json!(40), json!("/services/lookup")),
        (rank, "deadline_ms", json!(700), json!("/")),
        (rank, "weight", json!(1), Value::Null),
        (member, "weight", json!(3), json!(member)),
    ];
    for (path, key, value, node) in expected {
        assert_eq!(origin(&deployment, 1, path, key).await, (value, node));
    }
}

/// Guards against an override that stays after it was removed.
#[actix_rt::test]
async fn unset_restores_the_inherited_value() {
    let deployment = Deployment::start(1).await;
    done(
        &deployment,
        &["service", "create", "lookup", "queue_max=40"],
    )
    .await;
    let unset = ["settings", "unset", "/services/lookup", "queue_max"];
    done(&deployment, &unset).await;
    let found = origin(&deployment, 0, "/services/lookup", "queue_max").await;
    assert_eq!(found, (json!(256), Value::Null));
}

/// Guards against lists that mix up kinds of nodes or services.
#[actix_rt::test]
async fn lists_show_their_own_kind() {
    let deployment = Deployment::start(1).await;
    done(&deployment, &["service", "create", "lookup"]).await;
    done(&deployment, &["service", "create", "order"]).await;
    done(&deployment, &["rank", "create", "lookup", "urgent"]).await;
    done(
        &deployment,
        &["rank", "create", "order", "refill", "orders=true"],
    )
    .await;
    done(&deployment, &["zone", "create", "az-1", "--region", "east"]).await;
    let expected: [(&[&str], &[&str]); 4] = [
        (
            &["service", "list"],
            &["/services/lookup", "/services/order"],
        ),
        (
            &["rank", "list", "order"],
            &["/services/order/ranks/refill"],
        ),
        (&["zone", "list"], &["/zones/az-1"]),
        (
            &["settings", "get", "/services/order/ranks/refill"],
            &["/services/order/ranks/refill"],
        ),
    ];
    for (arguments, paths) in expected {
        let mut all = vec!["--json"];
        all.extend(arguments);
        let found = deployment.ctl(0, &all).await.json();
        let nodes = found.as_array().unwrap();
        let found: Vec<_> = nodes
            .iter()
            .filter_map(|node| node["path"].as_str())
            .collect();
        assert_eq!(found, paths, "{arguments:?}");
    }
    let table = deployment.ctl(0, &["zone", "list"]).await.out;
    let lines: Vec<_> = table.lines().collect();
    assert!(lines[0].starts_with("ZONE"), "{table}");
    assert!(lines[1].contains("region=east"), "{table}");
}
