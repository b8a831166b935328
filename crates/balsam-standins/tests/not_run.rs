//! Requests that are reported as not run, while daemons and upstreams are killed.

#[path = "common/deployment.rs"]
mod deployment;
#[path = "common/requests.rs"]
mod requests;

use balsam_standins::harness::cluster::Cluster;
use balsam_standins::harness::{
    Client, Direction, LinkMode, OrderReports, Sent, Violation, check_journals,
};
use balsam_types::KeyHash;
use balsam_wire::upstream::JournalResponse;
use deployment::{SERVICES, plan, start};
use futures_util::future::{Either, join_all, select};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use requests::{Told, order, took_effect};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::sync::watch;

const SEED: u64 = 7;
const DEADLINE_MS: u64 = 2_000;
/// Longer than the deadline, so that a daemon reports each outcome itself.
const PATIENCE: Duration = Duration::from_secs(5);
/// Pause before and after each restart: a loss is detected and its units are moved meanwhile.
const FAULT_PAUSE: Duration = Duration::from_millis(1_200);
/// Shorter than the silence of 700 ms after which an upstream counts as lost.
const ANSWERS_LOST: Duration = Duration::from_millis(300);
/// Pause of each caller after an answer, in milliseconds, by service; it keeps the run long enough
/// for several faults on a fast machine too.
const SPACING_MS: [u64; 3] = [80, 160, 160];
/// Requests and concurrent callers of each service, in the order of [`SERVICES`].
const REQUESTS: [(usize, usize); 3] = [(7_200, 24), (1_800, 12), (1_200, 8)];

type Targets = watch::Receiver<Vec<SocketAddr>>;

/// Sends one request of its own key or order id after the other through all daemons in turn.
async fn send_all(targets: Targets, service: usize, worker: usize) -> Vec<Told> {
    let (name, _, _) = SERVICES[service];
    let (requests, workers) = REQUESTS[service];
    let mut all = Vec::new();
    let mut clients: BTreeMap<SocketAddr, Client> = BTreeMap::new();
    for number in (worker..requests).step_by(workers) {
        let key = format!("{name}-{number}");
        let sent = if name == "ledger" {
            order(&key, DEADLINE_MS)
        } else {
            Sent::get(format!("/{name}/{key}")).with_header("balsam-deadline-ms", DEADLINE_MS)
        };
        let address = {
            let targets = targets.borrow();
            targets[number % targets.len()]
        };
        let client = clients
            .entry(address)
            .or_insert_with(|| Client::new(address, PATIENCE));
        let told = Told::new(key, client.send(sent).await);
        actix_rt::time::sleep(Duration::from_millis(SPACING_MS[service])).await;
        all.push(told);
    }
    all
}

fn addresses(cluster: &Cluster) -> Vec<SocketAddr> {
    let daemons = cluster.daemons.iter();
    let address = |daemon: &balsam_standins::harness::cluster::DaemonProcess| {
        daemon.caller_address().expect("announced")
    };
    daemons.map(address).collect()
}

/// Kills and restarts processes until it is dropped; journals of killed upstreams go to `lost`.
async fn kill_at_random(
    cluster: &mut Cluster,
    targets: &watch::Sender<Vec<SocketAddr>>,
    lost: &mut Vec<JournalResponse>,
) {
    let mut random = StdRng::seed_from_u64(SEED);
    loop {
        actix_rt::time::sleep(FAULT_PAUSE).await;
        let daemons = cluster.daemons.len();
        let picked = random.random_range(0..daemons + cluster.upstreams.len());
        if picked < daemons {
            cluster.daemons[picked].child.kill().expect("killed");
            actix_rt::time::sleep(FAULT_PAUSE).await;
            let restarting = cluster.daemons[picked].restart();
            restarting.await.expect("restarted");
            targets.send_replace(addresses(cluster));
        } else {
            let upstream = &mut cluster.upstreams[picked - daemons];
            // Work still takes effect while its answers are lost.
            upstream.link.set_mode(LinkMode::OneWay {
                dropped: Direction::ToClient,
            });
            actix_rt::time::sleep(ANSWERS_LOST).await;
            lost.push(upstream.kill().await.expect("killed"));
            actix_rt::time::sleep(FAULT_PAUSE).await;
            upstream.restart().await.expect("restarted");
        }
    }
}

/// Returns the violations with units in the place of keys, since each key is requested once.
fn unit_violations(journals: &[JournalResponse], service: &str) -> Vec<Violation> {
    let of_service = |journal: &&JournalResponse| journal.upstream.as_str().starts_with(service);
    let mut journals: Vec<_> = journals.iter().filter(of_service).cloned().collect();
    for execution in journals
        .iter_mut()
        .flat_map(|journal| &mut journal.executions)
    {
        execution.key_hash = KeyHash(execution.unit.0);
    }
    check_journals(&journals, &OrderReports::default())
}

/// Guards against requests that run although their callers were told that they did not, orders
/// that run twice, and units that two upstreams own at once.
#[actix_rt::test]
async fn killed_processes() {
    let mut cluster = start(plan(4)).await;
    let (sender, targets) = watch::channel(addresses(&cluster));
    let workers = (0..SERVICES.len()).flat_map(|service| {
        let targets = targets.clone();
        (0..REQUESTS[service].1).map(move |worker| send_all(targets.clone(), service, worker))
    });
    let sending = join_all(workers.collect::<Vec<_>>());
    let mut journals = Vec::new();
    let told: Vec<Told> = {
        let killing = pin!(kill_at_random(&mut cluster, &sender, &mut journals));
        match select(pin!(sending), killing).await {
            Either::Left((told, _)) => told.into_iter().flatten().collect(),
            Either::Right(((), _)) => panic!("the faults end after the requests"),
        }
    };
    let killed = journals.len();
    journals.extend(cluster.journals().await);

    let mut effects: BTreeMap<&str, usize> = BTreeMap::new();
    let executions = journals.iter().flat_map(|journal| &journal.executions);
    for execution in executions.filter(|execution| took_effect(execution)) {
        *effects.entry(&execution.key).or_default() += 1;
    }
    let count = |outcome| told.iter().filter(|told| told.is(outcome)).count();
    println!(
        "{} requests: {} answered, {} not run, {} unknown, {} broken; {killed} upstreams killed",
        told.len(),
        count("answered"),
        count("not-run"),
        count("unknown"),
        count("broken"),
    );
    assert!(told.len() >= 10_000 && killed > 0);
    assert!(count("answered") * 2 > told.len());
    let ran = |told: &&Told| told.is("not-run") && effects.contains_key(told.name.as_str());
    let ran: Vec<_> = told.iter().filter(ran).collect();
    assert!(ran.is_empty(), "not run, but in a journal: {ran:?}");
    let twice = |(key, effects): &(&&str, &usize)| key.starts_with("ledger") && **effects > 1;
    let twice: Vec<_> = effects.iter().filter(twice).collect();
    assert!(twice.is_empty(), "orders run twice: {twice:?}");
    for (service, _, _) in SERVICES {
        assert_eq!(unit_violations(&journals, service), [], "{service}");
    }
}
