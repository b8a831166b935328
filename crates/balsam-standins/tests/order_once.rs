//! Orders that are sent more than once, in each situation in which a caller sends them again.

#[path = "common/deployment.rs"]
mod deployment;
#[path = "common/requests.rs"]
mod requests;

use balsam_standins::harness::Client;
use balsam_standins::harness::cluster::Cluster;
use balsam_wire::platform::{OutageKind, PlatformFaults};
use deployment::start;
use futures_util::future::{join, join_all};
use requests::{Told, assert_once, caller, dispatcher_of, send_order, service_plan};
use rstest::rstest;
use std::time::Duration;

const DEADLINE_MS: u64 = 10_000;
/// Long enough that a fault begins while orders run.
const WORK: &[&str] = &["--work-ms", "order=300"];
const ORDERS: usize = 24;

async fn sleep_ms(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}

fn assert_known(told: &Told) {
    assert!(told.is("answered") || told.is("unknown"), "{told:?}");
}

/// Guards against an order that runs again when it arrives again, and against an answer that is
/// lost although it was recorded.
#[actix_rt::test]
async fn second_arrival() {
    let cluster = start(service_plan(3, "ledger", WORK)).await;
    let (one, two) = (caller(&cluster, 0), caller(&cluster, 1));
    let first = send_order(&one, "twice", DEADLINE_MS).await;
    let second = send_order(&two, "twice", DEADLINE_MS).await;
    assert!(
        first.is("answered") && second.is("answered"),
        "{first:?}, {second:?}"
    );
    let mut told = vec![vec![first, second]];

    for number in 0..10 {
        let id = format!("at-once-{number}");
        let (first, second) = join(
            send_order(&one, &id, DEADLINE_MS),
            send_order(&two, &id, DEADLINE_MS),
        )
        .await;
        assert_known(&first);
        assert_known(&second);
        assert!(
            first.is("answered") || second.is("answered"),
            "{first:?}, {second:?}"
        );
        told.push(vec![first, second]);
    }

    let impatient = Client::new(one.address(), Duration::from_millis(150));
    let lost = send_order(&impatient, "lost-answer", DEADLINE_MS).await;
    assert!(lost.is("broken"), "{lost:?}");
    let early = send_order(&two, "lost-answer", DEADLINE_MS).await;
    sleep_ms(1_000).await;
    let late = send_order(&two, "lost-answer", DEADLINE_MS).await;
    assert_known(&early);
    assert_known(&late);
    told.push(vec![lost, early, late]);

    let journals = cluster.journals().await;
    for told in &told {
        assert_once(&journals, told);
    }
}

/// Guards against an order that runs without a claim, or twice because the answer to the write of
/// its claim or outcome was lost.
#[actix_rt::test]
async fn platform_faults() {
    let cluster = start(service_plan(3, "ledger", &[])).await;
    let (one, two) = (caller(&cluster, 0), caller(&cluster, 1));
    let mut told = Vec::new();
    for number in 0..6 {
        let lose = PlatformFaults {
            lose_answers: 2,
            ..PlatformFaults::default()
        };
        cluster.platform.set_faults(&lose).await.expect("confirmed");
        let id = format!("lost-write-{number}");
        let first = send_order(&one, &id, DEADLINE_MS).await;
        let second = send_order(&two, &id, DEADLINE_MS).await;
        if !first.is("not-run") {
            assert_known(&second);
        }
        told.push(vec![first, second]);
    }
    let mut refused = Vec::new();
    for down in [OutageKind::Refused, OutageKind::Silent] {
        let faults = PlatformFaults {
            down,
            ..PlatformFaults::default()
        };
        cluster
            .platform
            .set_faults(&faults)
            .await
            .expect("confirmed");
        let id = format!("outage-{down:?}");
        let (first, second) =
            join(send_order(&one, &id, 2_000), send_order(&two, &id, 2_000)).await;
        assert!(
            first.is("not-run") && second.is("not-run"),
            "{first:?}, {second:?}"
        );
        refused.push(vec![first, second]);
    }
    let journals = cluster.journals().await;
    for told in told.iter().chain(&refused) {
        assert_once(&journals, told);
    }
    let answered = told.iter().flatten().any(|told| told.is("answered"));
    assert!(answered, "{told:?}");
}

/// A fault of the dispatching daemon.
#[derive(Clone, Copy, Debug)]
enum DispatcherFault {
    Killed,
    Frozen,
}

/// Guards against orders that run twice because their dispatcher was lost or resumed late.
#[rstest]
#[case(DispatcherFault::Killed)]
#[case(DispatcherFault::Frozen)]
#[actix_rt::test]
async fn dispatcher_lost(#[case] fault: DispatcherFault) {
    let mut cluster = start(service_plan(3, "ledger", WORK)).await;
    let dispatcher = dispatcher_of(&cluster, "ledger", "order-0").await;
    let others: Vec<Client> = (0..3)
        .filter(|number| *number != dispatcher)
        .map(|number| caller(&cluster, number))
        .collect();
    let sending = join_all((0..ORDERS).map(|number| send_thrice(&others, number)));
    let faulting = inject(&mut cluster, dispatcher, fault);
    let (told, ()) = join(sending, faulting).await;
    let journals = cluster.journals().await;
    for told in &told {
        assert_once(&journals, told);
    }
    let count = |outcome| {
        told.iter()
            .flatten()
            .filter(|told| told.is(outcome))
            .count()
    };
    println!(
        "{fault:?}: {} answered, {} unknown, {} not run",
        count("answered"),
        count("unknown"),
        count("not-run")
    );
    assert!(count("answered") > 0);
}

/// Sends an order, sends it again through another daemon while it runs, and again after the fault.
async fn send_thrice(others: &[Client], number: usize) -> Vec<Told> {
    let id = format!("order-{number}");
    let (one, two) = (&others[number % 2], &others[(number + 1) % 2]);
    let later = async |ms| {
        sleep_ms(ms).await;
        send_order(two, &id, DEADLINE_MS).await
    };
    let (first, (second, third)) = join(
        send_order(one, &id, DEADLINE_MS),
        join(later(700), later(5_000)),
    )
    .await;
    vec![first, second, third]
}

async fn inject(cluster: &mut Cluster, dispatcher: usize, fault: DispatcherFault) {
    sleep_ms(500).await;
    let child = &mut cluster.daemons[dispatcher].child;
    match fault {
        DispatcherFault::Killed => child.kill().expect("killed"),
        DispatcherFault::Frozen => {
            child.freeze().expect("frozen");
            sleep_ms(3_000).await;
            child.resume().expect("resumed");
        }
    }
}
