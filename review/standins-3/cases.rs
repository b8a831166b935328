//! The cases.

use crate::caller::{self, Load};
use crate::daemon::Daemon;
use crate::record::Record;
use crate::store::Store;
use crate::target::{Behaviour, Service, Target};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Number of daemons. Fewer than at the site, because they share the machine with their callers.
pub const DAEMONS: usize = 3;

/// A service with its route and its load, as at the site `swanfill-gw`.
#[derive(Clone, Copy)]
pub struct Scene {
    service: &'static str,
    targets: usize,
    requests_per_s: f64,
    pub behaviour: Behaviour,
    /// Settings of the route.
    route: &'static str,
    method: &'static str,
    deadline: Duration,
}

pub const LOOKUPS: Scene = Scene {
    service: "beadstock",
    targets: 22,
    requests_per_s: 427.0,
    behaviour: Behaviour {
        slots: 6,
        is_keyed: true,
        work_mean_ms: 160,
        work_max_ms: 1_200,
        delayed_grants_percent: 0,
    },
    route: "\"route_type\":\"idempotent\",\"timeout_s\":1.5,\"aim_s\":0.5,\"priority\":1",
    method: "GET",
    deadline: Duration::from_millis(3_000),
};

const ORDERS: Scene = Scene {
    service: "refillbook",
    targets: 9,
    requests_per_s: 128.0,
    behaviour: Behaviour {
        slots: 6,
        is_keyed: false,
        work_mean_ms: 210,
        work_max_ms: 1_200,
        delayed_grants_percent: 0,
    },
    route: "\"route_type\":\"non_idempotent\",\"timeout_s\":2,\"aim_s\":1.2,\"priority\":2",
    method: "POST",
    deadline: Duration::from_millis(4_000),
};

/// Entries of another writer, each within the `row_bytes` of the settings, 65,536.
const ODD_ENTRIES: usize = 16;
const ODD_ENTRY_BYTES: usize = 65_000;

const MANY_ENTRIES: usize = 128;

/// `recovery_s` of the site.
const RECOVERY: Duration = Duration::from_secs(15);

/// A deployment with one service.
pub struct Deployment {
    pub store: Arc<Store>,
    pub service: Arc<Service>,
    pub targets: Vec<Target>,
    pub daemons: Vec<Daemon>,
    load: Arc<Load>,
    callers: Vec<thread::JoinHandle<()>>,
    started: usize,
    record: Arc<Record>,
}

/// Plays a case.
pub fn play(
    case: &str,
    has_trouble: bool,
    files: &Path,
    record: &Arc<Record>,
) -> Result<(), String> {
    match case {
        "odd-entries" => odd_entries(has_trouble, files, record),
        "many-changes" => many_changes(has_trouble, files, record),
        "missing-fields" => missing_fields(has_trouble, files, record),
        _ if case.starts_with("soak-") => crate::soak::play(&case[5..], files, record),
        _ => Err(format!("no case {case}")),
    }
}

pub fn config(scene: Scene) -> String {
    let Scene { service, route, .. } = scene;
    let keys = if scene.behaviour.is_keyed {
        ",\"sharded\":true,\"warm_s\":5.0,\"grants\":\"call\""
    } else {
        ""
    };
    format!(
        "{{\"config_version\":\"00000005\",\"routes\":{{\"r-one\":{{\"hostname\":\"one.example\",\"prefix\":\"/one/\",{route},\"service\":\"{service}\",\"max_attempts\":2}}}},\
        \"services\":{{\"{service}\":{{\"health_check\":\"/health\",\"max_conns\":130,\"protocol\":\"h1\",\"tls\":false{keys}}}}},\
        \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}},\"base_version\":\"00000004\"}}"
    )
}

impl Deployment {
    pub fn start(files: &Path, record: &Arc<Record>, scene: Scene) -> Result<Self, String> {
        let store = Store::start(record);
        let service = Service::new(scene.service, scene.behaviour, record, &store);
        store.put("op", "config", Some(&config(scene)));
        let targets: Vec<Target> = (0..scene.targets)
            .map(|number| service.start(&format!("i-{number:04}")))
            .collect();
        let daemons: Vec<Daemon> = (0..DAEMONS)
            .map(|number| {
                let name = format!("edge-{number}");
                Daemon::start(files, &name, store.addresses[number], record)
            })
            .collect();
        for daemon in &daemons {
            if !daemon.wait_ready(Duration::from_secs(15)) {
                return Err(format!("daemon {} is not ready", daemon.name));
            }
        }
        // Traffic starts 8 s after the machines do.
        thread::sleep(Duration::from_secs(4));
        let load = Arc::new(Load {
            host: "one.example".to_owned(),
            path: "/one/".to_owned(),
            method: scene.method,
            deadline: scene.deadline,
            per_s: scene.requests_per_s,
            callers: 120,
            is_over: AtomicBool::new(false),
            sent: AtomicU64::new(0),
            served: AtomicU64::new(0),
            unsigned: AtomicU64::new(0),
        });
        let addresses: Vec<_> = daemons.iter().map(|daemon| daemon.callers).collect();
        let callers = caller::start(&load, &addresses, record);
        let record = Arc::clone(record);
        Ok(Self {
            store,
            service,
            started: targets.len(),
            targets,
            daemons,
            load,
            callers,
            record,
        })
    }

    /// Replaces the oldest target: a new one starts, and the old one drains and leaves.
    pub fn replace_oldest(&mut self) {
        self.targets
            .push(self.service.start(&format!("i-{:04}", self.started)));
        self.started += 1;
        let old = self.targets.remove(0);
        self.service.register(&old, "draining");
        let service = Arc::clone(&self.service);
        thread::spawn(move || {
            // It continues for `drain_s` and a little longer.
            thread::sleep(Duration::from_millis(3_500));
            service.end(&old);
        });
    }

    /// Replaces targets for so long.
    pub fn replace_for(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.replace_oldest();
            thread::sleep(Duration::from_millis(900));
        }
    }

    fn stop(&mut self) {
        self.load.is_over.store(true, Ordering::Relaxed);
        for caller in self.callers.drain(..) {
            let _ = caller.join();
        }
    }

    pub fn end(mut self) -> Result<(), String> {
        self.stop();
        let (sent, served) = self.load.counts();
        self.record
            .line(&format!("callers: {sent} sent, {served} served"));
        println!("{sent} requests sent, {served} served");
        if served * 2 < sent {
            return Err("less than half of the requests were served".to_owned());
        }
        Ok(())
    }
}

/// Another writer has entries in the table of the targets, under keys with a space. All processes
/// are killed at the end, and traffic goes on through the recovery.
fn odd_entries(has_trouble: bool, files: &Path, record: &Arc<Record>) -> Result<(), String> {
    let mut deployment = Deployment::start(files, record, LOOKUPS)?;
    thread::sleep(Duration::from_secs(8));
    // `PLAIN` is for comparison only: the same entries under keys without a space.
    let space = if std::env::var("PLAIN").is_ok() {
        "-"
    } else {
        " "
    };
    if has_trouble {
        let value = "x".repeat(ODD_ENTRY_BYTES);
        for number in 0..ODD_ENTRIES {
            let key = format!("batch{space}worker{space}{number:04}");
            deployment.store.put("servers", &key, Some(&value));
        }
        record.line(&format!(
            "another writer: {ODD_ENTRIES} entries of {ODD_ENTRY_BYTES} bytes"
        ));
    }
    thread::sleep(Duration::from_secs(8));
    let (sent, served) = deployment.load.counts();
    if served * 4 < sent {
        return Err("less than a quarter was served before the final fault".to_owned());
    }
    for daemon in &mut deployment.daemons {
        daemon.kill();
    }
    thread::sleep(Duration::from_millis(1_500));
    for daemon in &mut deployment.daemons {
        daemon.start_again();
    }
    thread::sleep(RECOVERY);
    let (sent_before, served_before) = deployment.load.counts();
    thread::sleep(Duration::from_secs(20));
    let (sent, served) = deployment.load.counts();
    let (sent, served) = (sent - sent_before, served - served_before);
    record.line(&format!(
        "later than {RECOVERY:?} after the start: {sent} sent, {served} served"
    ));
    println!("later than {RECOVERY:?} after the start: {sent} sent, {served} served");
    if served * 4 < sent {
        record.violation(&format!(
            "RECOVER: of {sent} requests sent later than {RECOVERY:?} after the machines were back {served} were served"
        ));
    }
    deployment.stop();
    if sent == 0 {
        Err("nothing was sent".to_owned())
    } else {
        Ok(())
    }
}

/// Another writer has one entry in the table of the targets, with fields missing. At its address
/// there is a program that is no target and knows none of the paths.
fn missing_fields(has_trouble: bool, files: &Path, record: &Arc<Record>) -> Result<(), String> {
    let deployment = Deployment::start(files, record, ORDERS)?;
    thread::sleep(Duration::from_secs(8));
    let unsigned = || deployment.load.unsigned.load(Ordering::Relaxed);
    if unsigned() > 0 {
        return Err("refused before the trouble".to_owned());
    }
    let other = crate::other::start(record);
    if has_trouble {
        let entry = format!(
            "{{\"address\":\"{other}\",\"info\":{{\"service\":\"refillbook\",\"zone\":\"a\",\"slots\":6}},\"status\":{{\"state\":\"ready\"}}}}"
        );
        record.line(&format!("another writer: batch-worker-1 {entry}"));
        deployment
            .store
            .put("servers", "batch-worker-1", Some(&entry));
    }
    thread::sleep(Duration::from_secs(40));
    let (sent, _) = deployment.load.counts();
    let refused = unsigned();
    record.line(&format!(
        "{sent} sent, {refused} answered 4xx without a target's signature"
    ));
    println!("{sent} sent, {refused} answered 4xx without a target's signature");
    if refused > 5 + sent / 500 {
        record.violation(&format!(
            "DENIED: {refused} of {sent} proper requests end with a 4xx that is no target's"
        ));
    }
    deployment.end()
}

/// Another writer writes many large entries at once in the table of the targets. Then targets are
/// replaced one after the other.
fn many_changes(has_trouble: bool, files: &Path, record: &Arc<Record>) -> Result<(), String> {
    let mut deployment = Deployment::start(files, record, LOOKUPS)?;
    thread::sleep(Duration::from_secs(8));
    if has_trouble {
        let value = "x".repeat(ODD_ENTRY_BYTES);
        record.line(&format!(
            "another writer: {MANY_ENTRIES} entries of {ODD_ENTRY_BYTES} bytes"
        ));
        for number in 0..MANY_ENTRIES {
            let key = format!("batch-worker-{number:04}");
            deployment.store.put("servers", &key, Some(&value));
            // Eleven such rows fill a call, and each call takes `tx_s`.
            if number % 11 == 10 {
                thread::sleep(Duration::from_millis(5));
            }
        }
    }
    thread::sleep(Duration::from_secs(3));
    for _ in 0..30 {
        deployment.replace_oldest();
        thread::sleep(Duration::from_secs(1));
    }
    let (sent_before, served_before) = deployment.load.counts();
    thread::sleep(Duration::from_secs(10));
    let (sent, served) = deployment.load.counts();
    let (sent, served) = (sent - sent_before, served - served_before);
    record.line(&format!("in the last 10 s: {sent} sent, {served} served"));
    println!("in the last 10 s: {sent} sent, {served} served");
    if !has_trouble && served * 2 < sent {
        return Err("less than half was served without the trouble".to_owned());
    }
    deployment.stop();
    Ok(())
}
