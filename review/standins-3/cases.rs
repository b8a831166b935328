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
const DAEMONS: usize = 3;

/// Targets, requests and their work as at the site `swanfill-gw`, service `beadstock`.
const TARGETS: usize = 22;
const REQUESTS_PER_S: f64 = 427.0;
const BEHAVIOUR: Behaviour = Behaviour {
    slots: 6,
    work_mean_ms: 160,
    work_max_ms: 1_200,
    extra_share: 0.03,
};

/// Entries of another writer, each within the `row_bytes` of the settings, 65,536.
const ODD_ENTRIES: usize = 16;
const ODD_ENTRY_BYTES: usize = 65_000;

/// `recovery_s` of the site.
const RECOVERY: Duration = Duration::from_secs(15);

/// A deployment with one service that is divided by key.
struct Deployment {
    store: Arc<Store>,
    service: Arc<Service>,
    targets: Vec<Target>,
    daemons: Vec<Daemon>,
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
        "repeated-answers" => repeated_answers(has_trouble, files, record),
        _ if case.starts_with("soak-") => soak(&case[5..], files, record),
        _ => Err(format!("no case {case}")),
    }
}

fn config(service: &str) -> String {
    format!(
        "{{\"config_version\":\"00000005\",\"routes\":{{\"r-one\":{{\"hostname\":\"one.example\",\"prefix\":\"/look/\",\"route_type\":\"idempotent\",\"timeout_s\":1.5,\"aim_s\":0.5,\"priority\":0,\"service\":\"{service}\",\"max_attempts\":2}}}},\
        \"services\":{{\"{service}\":{{\"health_check\":\"/health\",\"max_conns\":130,\"protocol\":\"h1\",\"tls\":false,\"sharded\":true,\"warm_s\":5.0,\"grants\":\"call\"}}}},\
        \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}},\"base_version\":\"00000004\"}}"
    )
}

impl Deployment {
    fn start(
        files: &Path,
        record: &Arc<Record>,
        behaviour: Behaviour,
        per_s: f64,
    ) -> Result<Self, String> {
        let store = Store::start(record);
        let service = Service::new("beadstock", behaviour, record, &store);
        store.put("op", "config", Some(&config(&service.name)));
        let targets: Vec<Target> = (0..TARGETS)
            .map(|number| service.start(&format!("i-{number:04}")))
            .collect();
        let daemons: Vec<Daemon> = (0..DAEMONS)
            .map(|number| Daemon::start(files, &format!("edge-{number}"), store.address, record))
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
            path: "/look/".to_owned(),
            per_s,
            callers: 120,
            is_over: AtomicBool::new(false),
            sent: AtomicU64::new(0),
            served: AtomicU64::new(0),
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
    fn replace_oldest(&mut self) {
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

    fn stop(&mut self) {
        self.load.is_over.store(true, Ordering::Relaxed);
        for caller in self.callers.drain(..) {
            let _ = caller.join();
        }
    }

    fn end(mut self) -> Result<(), String> {
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

/// Targets are replaced one after the other, while some targets send answers twice.
fn repeated_answers(has_trouble: bool, files: &Path, record: &Arc<Record>) -> Result<(), String> {
    let mut deployment = Deployment::start(files, record, BEHAVIOUR, REQUESTS_PER_S)?;
    let end = Instant::now() + Duration::from_secs(100);
    let mut second = 0;
    while Instant::now() < end {
        if has_trouble && second % 5 == 0 {
            deployment.service.set_spoiling(0.6);
        }
        deployment.replace_oldest();
        second += 1;
        thread::sleep(Duration::from_secs(1));
    }
    deployment.end()
}

/// Another writer has entries in the table of the targets, under keys with a space. All processes
/// are killed at the end, and traffic goes on through the recovery.
fn odd_entries(has_trouble: bool, files: &Path, record: &Arc<Record>) -> Result<(), String> {
    let mut deployment = Deployment::start(files, record, BEHAVIOUR, REQUESTS_PER_S)?;
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

/// Plays one kind of disruption again and again, while targets are replaced.
fn soak(kind: &str, files: &Path, record: &Arc<Record>) -> Result<(), String> {
    let seed = std::env::var("SEED")
        .ok()
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(1);
    let mut random = crate::record::Random::new(seed);
    let mut deployment = Deployment::start(files, record, BEHAVIOUR, REQUESTS_PER_S)?;
    let end = Instant::now() + Duration::from_secs(100);
    let mut number = 0;
    let mut next = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end {
        deployment.replace_oldest();
        thread::sleep(Duration::from_millis(600 + random.below(900)));
        if Instant::now() < next {
            continue;
        }
        let pause_ms = if kind.contains("restore") {
            22_000
        } else {
            5_000
        };
        next = Instant::now() + Duration::from_millis(pause_ms + random.below(6_000));
        number += 1;
        let leader = deployment.daemons.iter().position(Daemon::leads);
        let place = if random.share() < 0.8 { leader } else { None };
        let place = place.unwrap_or(random.below(DAEMONS as u64) as usize);
        let length = Duration::from_millis(500 + random.below(9_500));
        record.line(&format!(
            "disruption {number}: {kind}, daemon {place}, leader {leader:?}, {length:?}"
        ));
        for part in kind.split('+') {
            match part {
                "kill" => {
                    deployment.daemons[place].kill();
                    thread::sleep(Duration::from_millis(200 + random.below(1_500)));
                    deployment.daemons[place].start_again();
                }
                "term" => {
                    deployment.daemons[place].signal("TERM");
                    for _ in 0..70 {
                        thread::sleep(Duration::from_millis(100));
                        if deployment.daemons[place].has_ended() {
                            break;
                        }
                    }
                    deployment.daemons[place].kill();
                    deployment.daemons[place].start_again();
                }
                "freeze" => {
                    deployment.daemons[place].signal("STOP");
                    let thaw = Instant::now() + length;
                    while Instant::now() < thaw {
                        deployment.replace_oldest();
                        thread::sleep(Duration::from_millis(900));
                    }
                    deployment.daemons[place].signal("CONT");
                }
                "away" => {
                    deployment.store.set_away(true);
                    thread::sleep(length);
                    deployment.store.set_away(false);
                    deployment.service.write_again();
                }
                "restore" => {
                    let age = Duration::from_millis(300 + random.below(6_000));
                    deployment.store.set_away(true);
                    thread::sleep(Duration::from_millis(100 + random.below(900)));
                    deployment.store.restore(age);
                    deployment.store.set_away(false);
                    let (service, store) = (
                        Arc::clone(&deployment.service),
                        Arc::clone(&deployment.store),
                    );
                    let wait = Duration::from_millis(200 + random.below(1_800));
                    thread::spawn(move || {
                        thread::sleep(wait);
                        store.put("op", "config", Some(&config(&service.name)));
                        service.write_again();
                    });
                }
                "restart" => {
                    for _ in 0..3 {
                        let index = random.below(deployment.targets.len() as u64) as usize;
                        let old = deployment.targets[index].clone();
                        deployment.service.end_silently(&old);
                        thread::sleep(Duration::from_millis(100 + random.below(1_500)));
                        let listener = std::net::TcpListener::bind(old.address);
                        let Ok(listener) = listener else {
                            record.line("the address is in use");
                            deployment.service.end(&old);
                            deployment.targets[index] =
                                deployment.service.start(&format!("{}x", old.name));
                            continue;
                        };
                        deployment.targets[index] =
                            deployment.service.start_at(&old.name, listener);
                    }
                }
                _ => return Err(format!("no kind {part}")),
            }
        }
    }
    deployment.end()
}
