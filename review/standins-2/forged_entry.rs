//! OWNER: an entry of another writer, of a service that is in no configuration, names the address of
//! a target that holds keys. Then the target leaves as planned, and its keys are moved.

use crate::daemon::{Caller, Daemon};
use crate::record::unix_ms;
use crate::store::Store;
use crate::target::{Overlap, Target, entry};
use crate::{Context, Verdict};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

pub const CONFIG: &str = r#"{"config_version":"00000007","routes":{
"r-look":{"hostname":"jepu9.example","prefix":"/lepu270/","route_type":"idempotent","timeout_s":0.8,"aim_s":0.4,"priority":0,"service":"huvo11a","max_attempts":2}},
"services":{"huvo11a":{"health_check":"/health","max_conns":120,"protocol":"h1","tls":false,"sharded":true,"warm_s":5.0,"grants":"call"}},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},"base_version":"00000000"}"#;

/// The entry is written, and later the target reports that it leaves.
const ENTRY_AFTER: Duration = Duration::from_millis(6_500);
const LEAVE_AFTER: Duration = Duration::from_millis(2_000);
const WATCH_AFTER: Duration = Duration::from_millis(8_000);

pub fn play(context: &Context) -> Verdict {
    let record = &context.record;
    let store = Store::start();
    store.put("op", "config", Some(CONFIG));
    let names = ["i-7f3a91c2", "i-02d9e6b4", "i-51c0aa37", "i-c4417d90"];
    let targets: Vec<Arc<Target>> =
        names.iter().map(|name| Target::start(name, "huvo11a", true, 120, record)).collect();
    for target in &targets {
        target.register(&store, "ready");
    }
    let mut daemons: Vec<Daemon> = (1..=2)
        .map(|number| Daemon::start(&context.folder, &format!("edge-osrednja-a-{number}"), store.open()))
        .collect();
    if !daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(10))) {
        return Verdict::NotRun("the daemons were not ready within 10 s".into());
    }
    let is_done = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let mut callers = Vec::new();
    for number in 0..8_usize {
        let mut caller = Caller::new(daemons[number % 2].callers, record);
        let (is_done, served) = (Arc::clone(&is_done), Arc::clone(&served));
        callers.push(thread::spawn(move || {
            for round in 0_usize.. {
                if is_done.load(Ordering::Relaxed) {
                    return;
                }
                let key = (round * 8 + number) * 7_919 % 65_536;
                let answer = caller.request("GET", "/lepu270/2f", &format!("a{number}-{round}"), Some(key));
                if answer.is_some_and(|answer| answer.status() == 200) {
                    served.fetch_add(1, Ordering::Relaxed);
                }
                thread::sleep(Duration::from_millis(20));
            }
        }));
    }
    let mut overlap = Overlap::new();
    let mut watch = |time: Duration| {
        let end = Instant::now() + time;
        while Instant::now() < end {
            overlap.look(&targets, record);
            thread::sleep(Duration::from_millis(20));
        }
    };
    watch(ENTRY_AFTER);
    let served_before = served.load(Ordering::Relaxed);
    if context.has_trouble {
        record.line(&format!("another writer registers i-forged of service obrat7x at {}", targets[0].address));
        let forged = entry("obrat7x", targets[0].address, unix_ms(), "ready");
        store.put("servers", "i-forged", Some(&forged));
    }
    watch(LEAVE_AFTER);
    targets[0].register(&store, "draining");
    watch(WATCH_AFTER);
    is_done.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    if daemons.iter_mut().any(Daemon::has_ended) {
        return Verdict::NotRun("a daemon has ended".into());
    }
    if served_before == 0 {
        return Verdict::NotRun("no request was served before the entry".into());
    }
    let text = format!(
        "{} keys were held by two targets for over 500 ms; the longest time was {} ms, on key {}; {} requests were served",
        overlap.keys, overlap.longest_ms, overlap.longest_key, served.load(Ordering::Relaxed)
    );
    if overlap.keys > 0 { Verdict::Broken(text) } else { Verdict::Held(text) }
}
