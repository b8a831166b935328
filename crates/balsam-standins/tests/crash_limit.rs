//! Requests that crash each upstream that runs them.

#[path = "common/deployment.rs"]
mod deployment;
#[path = "common/requests.rs"]
mod requests;

use balsam_decide::quarantine::{BodyDigest, fingerprint};
use balsam_standins::harness::cluster::{Cluster, UpstreamProcess, wait_until};
use balsam_standins::harness::{ChildBuilder, Client, Program, Sent};
use balsam_standins::load::{LoadPlan, LoadReport, run_load};
use balsam_types::{KeyHash, MemberName};
use balsam_wire::operator::{IdText, QuarantineResponse};
use deployment::{DEADLINE, load, start};
use futures_util::future::{Either, join, select};
use requests::{caller, service_plan};
use std::pin::pin;
use std::time::Duration;

/// The default of the setting `quarantine_crashes`.
const QUARANTINE_CRASHES: usize = 3;
/// The stand-in upstream ends its process on paths that end with `/crash`.
const POISON_PATH: &str = "/catalogue/poison/crash";
const LOAD_MS: u64 = 8_000;
const MEMBERS: [&str; 3] = ["kranj", "celje", "koper"];
/// The success that others keep, in percent of that without the poisoned request.
const KEPT_PERCENT: u64 = 95;

async fn poison(client: &Client) -> Option<String> {
    let sent = Sent::get(POISON_PATH)
        .with_header("balsam-member", "poisoner")
        .with_header("balsam-deadline-ms", 3_000);
    let answer = client.send(sent).await.ok()?;
    answer.header("balsam-reason").map(str::to_owned)
}

/// Sends the poisoned request again and again until it is refused.
async fn poison_until_refused(callers: &[Client]) {
    for client in callers.iter().cycle().take(60) {
        if poison(client).await.as_deref() == Some("quarantined") {
            return;
        }
    }
    panic!("the request was not quarantined");
}

/// Restarts upstreams that crash and counts them until `during` ends.
async fn crashes_during<T>(
    upstreams: &mut [UpstreamProcess],
    during: impl Future<Output = T>,
) -> (T, usize) {
    let mut during = pin!(during);
    let mut crashes = 0;
    loop {
        for upstream in &mut *upstreams {
            if upstream
                .child
                .wait_exit(Duration::from_millis(1))
                .await
                .is_ok()
            {
                crashes += 1;
                upstream.restart().await.expect("restarted");
            }
        }
        let pause = pin!(actix_rt::time::sleep(Duration::from_millis(20)));
        match select(during, pause).await {
            Either::Left((result, _)) => return (result, crashes),
            Either::Right(((), rest)) => during = rest,
        }
    }
}

fn others(cluster: &Cluster, name: &str) -> LoadPlan {
    let mut plan = load(cluster, name, 11, 40.0, LOAD_MS);
    plan.streams.truncate(1);
    let stream = plan.streams.remove(0);
    plan.streams = MEMBERS
        .map(|member| {
            let mut stream = stream.clone();
            stream.member = member.parse().expect("valid name");
            stream
        })
        .to_vec();
    plan
}

fn in_deadline(report: &LoadReport) -> u64 {
    report.ranks.values().map(|rank| rank.all.in_deadline).sum()
}

async fn balsamctl(cluster: &Cluster, arguments: &[&str]) -> serde_json::Value {
    let operator = cluster.daemons[1]
        .child
        .address("operator")
        .expect("announced");
    let child = ChildBuilder::new(Program::Ctl)
        .with_variable("BALSAM_CREDENTIAL", "test-operator-credential")
        .with_arguments(["--json".to_owned(), format!("--server={operator}")])
        .with_arguments(arguments.iter().copied())
        .start(DEADLINE)
        .await;
    child.expect("a line of JSON").announced().clone()
}

async fn listed(cluster: &Cluster) -> QuarantineResponse {
    let answer = balsamctl(cluster, &["quarantine", "list"]).await;
    serde_json::from_value(answer).expect("a list")
}

/// Guards against a request that goes on to crash upstreams, takes others' service with it, or
/// stays refused after an operator has cleared it.
#[actix_rt::test]
async fn poisoned_request() {
    let mut cluster = start(service_plan(3, "catalogue", &[])).await;
    let callers: Vec<Client> = (0..3).map(|number| caller(&cluster, number)).collect();
    let without = run_load(others(&cluster, "without")).await.expect("a run");
    let with = others(&cluster, "with");
    let poisoning = join(run_load(with), poison_until_refused(&callers));
    let ((with, ()), crashes) = crashes_during(&mut cluster.upstreams, poisoning).await;
    let with = with.expect("a run");
    println!("{crashes} crashes");
    for report in [&without.report, &with.report] {
        println!("{}", serde_json::to_string(report).expect("a report"));
    }
    assert!((1..=QUARANTINE_CRASHES).contains(&crashes), "{crashes}");
    let (before, kept) = (in_deadline(&without.report), in_deadline(&with.report));
    assert!(kept * 100 >= before * KEPT_PERCENT, "{kept} of {before}");

    let member: MemberName = "poisoner".parse().expect("valid name");
    let (key, digest) = (KeyHash::of("poison"), BodyDigest::new().finish());
    let poisoned = IdText::from(fingerprint(member, "GET", POISON_PATH, key, digest));
    let entry = wait_until("an entry", DEADLINE, || async {
        let mut entries = listed(&cluster).await.entries.into_iter();
        entries.find(|entry| entry.fingerprint == poisoned)
    });
    let (entry, _) = entry.await.expect("an entry is listed");
    assert!(entry.crashes as usize >= QUARANTINE_CRASHES, "{entry:?}");
    for client in &callers {
        assert_eq!(poison(client).await.as_deref(), Some("quarantined"));
    }
    balsamctl(&cluster, &["quarantine", "clear", &poisoned.to_string()]).await;
    // Daemons adopt the clear one after the other; a refused request crashes nothing.
    let again = wait_until("an accepted request", DEADLINE, || async {
        let reason = poison(&callers[1]).await;
        (reason.as_deref() != Some("quarantined")).then_some(())
    });
    let (accepted, crashes) = crashes_during(&mut cluster.upstreams, again).await;
    accepted.expect("the request is accepted again");
    assert!(
        (1..=QUARANTINE_CRASHES).contains(&crashes),
        "{crashes} after the clear"
    );
}
