//! LOST: the settings of a daemon get a longer grace time and it is told by SIGHUP. Later it is stopped
//! as planned, while orders are at work that end well within the new grace time.

use crate::daemon::{Caller, Daemon, Signal};
use crate::store::Store;
use crate::target::Target;
use crate::{Context, Verdict};
use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;

const CONFIG: &str = r#"{"config_version":"00000007","routes":{
"r-order":{"hostname":"jepu9.example","prefix":"/xapu221/","route_type":"non_idempotent","timeout_s":9,"aim_s":5,"priority":0,"service":"wuno96b","max_attempts":2}},
"services":{"wuno96b":{"health_check":"/health","max_conns":120,"protocol":"h1","tls":false}},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},"base_version":"00000000"}"#;

const GRACE_S: u32 = 6;
const LONGER_GRACE_S: u32 = 12;
/// How long an order takes. One that is sent a second after the signal ends 5 s before the grace time.
const WORK_MS: u64 = 6_000;
const DEADLINE_MS: u64 = 9_000;
const CALLERS: usize = 12;
/// From the change of the settings to the stop, more than `stable_s`.
const SETTLE: Duration = Duration::from_secs(5);

pub fn play(context: &Context) -> Verdict {
    let record = &context.record;
    let store = Store::start();
    store.put("op", "config", Some(CONFIG));
    let names = ["i-7f3a91c2", "i-02d9e6b4", "i-51c0aa37", "i-c4417d90"];
    let targets: Vec<_> = names.iter().map(|name| Target::start(name, "wuno96b", false, WORK_MS, record)).collect();
    for target in &targets {
        target.register(&store, "ready");
    }
    let first_grace_s = if context.has_trouble { GRACE_S } else { LONGER_GRACE_S };
    let start = |number| {
        let name = format!("edge-osrednja-a-{number}");
        Daemon::start_with_grace(&context.folder, &name, store.open(), first_grace_s)
    };
    let mut daemons: Vec<Daemon> = (1..=2).map(start).collect();
    if !daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(10))) {
        return Verdict::NotRun("the daemons were not ready within 10 s".into());
    }
    // Callers keep their connections from before the stop.
    let address = daemons[0].callers;
    let mut callers: Vec<Caller> = (0..CALLERS).map(|_| Caller::new(address, record)).collect();
    for caller in &mut callers {
        caller.connect();
    }
    thread::sleep(Duration::from_secs(1));
    if context.has_trouble {
        record.line(&format!("the settings file has grace_s {LONGER_GRACE_S} in place of {GRACE_S}; SIGHUP"));
        daemons[0].change_grace(GRACE_S, LONGER_GRACE_S);
        daemons[0].signal(Signal::Hangup);
    }
    thread::sleep(SETTLE);
    record.line(&format!("SIGTERM, with {LONGER_GRACE_S} s of grace"));
    daemons[0].signal(Signal::Terminate);
    let stopped_ms = record.now_ms();
    thread::sleep(Duration::from_secs(1));
    let orders = callers.into_iter().enumerate().map(|(number, mut caller)| {
        thread::spawn(move || {
            let id = format!("order-{number}");
            let answer = caller.request_within(DEADLINE_MS, "POST", "/xapu221/2f", &id, None);
            (id, answer.map(|answer| answer.status()))
        })
    });
    let orders: Vec<_> = orders.collect::<Vec<_>>().into_iter().filter_map(|order| order.join().ok()).collect();
    while !daemons[0].has_ended() && record.now_ms() < stopped_ms + u64::from(LONGER_GRACE_S) * 1_000 {
        thread::sleep(Duration::from_millis(20));
    }
    record.line(&format!("{} ms after SIGTERM the daemon has ended: {}", record.now_ms() - stopped_ms, daemons[0].has_ended()));
    // A run whose connection was closed still ends at the target.
    thread::sleep(Duration::from_secs(2));
    let begun: BTreeSet<String> =
        targets.iter().flat_map(|target| target.ended.lock().expect("the list").clone()).collect();
    let answered = orders.iter().filter(|(_, status)| *status == Some(200)).count();
    let lost: Vec<&str> = orders
        .iter()
        .filter(|(id, status)| status.is_none() && begun.contains(id))
        .map(|(id, _)| id.as_str())
        .collect();
    record.line(&format!("passed on and ended without an answer: {}", lost.join(" ")));
    let text = format!("{} of {} orders were passed on and cut without an answer, {answered} were answered", lost.len(), orders.len());
    if !lost.is_empty() {
        Verdict::Broken(text)
    } else if answered == 0 {
        Verdict::NotRun(text)
    } else {
        Verdict::Held(text)
    }
}
