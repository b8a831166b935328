//! OWNER: the store turns one daemon away while a new deployment starts. Some seconds later it is away
//! for a moment, and comes back from a copy of before the first election. Meanwhile a target has joined.

use crate::daemon::{Caller, Daemon};
use crate::forged_entry::CONFIG;
use crate::store::{Access, Store};
use crate::target::{Overlap, Target};
use crate::{Context, Verdict};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const DAEMONS: usize = 4;
/// The daemon that is turned away at the start.
const TURNED_AWAY: usize = DAEMONS - 1;

/// How long the deployment serves before the store is away, and how long it is away.
const SERVE: Duration = Duration::from_millis(2_000);
const AWAY: Duration = Duration::from_millis(800);
/// How long the store still turns the leader away after its return.
const LEADER_AWAY: Duration = Duration::from_millis(2_000);
const WATCH: Duration = Duration::from_millis(8_000);

pub fn play(context: &Context) -> Verdict {
    let record = &context.record;
    let store = Store::start();
    store.put("op", "config", Some(CONFIG));
    let names = ["i-7f3a91c2", "i-02d9e6b4", "i-51c0aa37", "i-c4417d90", "i-9b20f6e1"];
    let targets: Vec<Arc<Target>> =
        names.iter().map(|name| Target::start(name, "huvo11a", true, 120, record)).collect();
    for target in &targets[..names.len() - 1] {
        target.register(&store, "ready");
    }
    let addresses: Vec<_> = (0..DAEMONS).map(|_| store.open()).collect();
    if context.has_trouble {
        record.line("the store turns edge-osrednja-a-4 away");
        store.set_access(TURNED_AWAY, Access::TurnedAway);
    }
    let copy = store.copy();
    let copied_at = Instant::now();
    let start = |(number, address): (usize, &_)| {
        Daemon::start(&context.folder, &format!("edge-osrednja-a-{}", number + 1), *address)
    };
    let mut daemons: Vec<Daemon> = addresses.iter().enumerate().map(start).collect();
    if !daemons[..TURNED_AWAY].iter().all(|daemon| daemon.wait_ready(Duration::from_secs(10))) {
        return Verdict::NotRun("the daemons were not ready within 10 s".into());
    }
    let is_done = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let mut callers = Vec::new();
    for number in 0..9_usize {
        let mut caller = Caller::new(daemons[number % TURNED_AWAY].callers, record);
        let (is_done, served) = (Arc::clone(&is_done), Arc::clone(&served));
        callers.push(thread::spawn(move || {
            for round in 0_usize.. {
                if is_done.load(Ordering::Relaxed) {
                    return;
                }
                let key = (round * 9 + number) * 7_919 % 65_536;
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
    let begun_at = Instant::now();
    while served.load(Ordering::Relaxed) == 0 && begun_at.elapsed() < Duration::from_secs(8) {
        watch(Duration::from_millis(50));
    }
    let joined = &targets[names.len() - 1];
    joined.register(&store, "ready");
    watch(SERVE);
    let served_before = served.load(Ordering::Relaxed);
    let leader = store.last_writer();
    if context.has_trouble {
        record.line(&format!("the store is away; the last writer is daemon {leader:?}"));
        for daemon in 0..DAEMONS {
            store.set_access(daemon, Access::TurnedAway);
        }
        watch(AWAY);
        record.line(&format!("the store is back in era 1 from a copy of {} ms ago", copied_at.elapsed().as_millis()));
        store.restore(copy);
        // Its entry is younger than the copy, and it writes it again.
        joined.register(&store, "ready");
        for daemon in (0..DAEMONS).filter(|daemon| Some(*daemon) != leader) {
            store.set_access(daemon, Access::Served);
        }
        watch(LEADER_AWAY);
        record.line("the store serves all daemons");
        if let Some(leader) = leader {
            store.set_access(leader, Access::Served);
        }
    }
    watch(WATCH);
    is_done.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    if daemons.iter_mut().any(Daemon::has_ended) {
        return Verdict::NotRun("a daemon has ended".into());
    }
    if served_before == 0 {
        return Verdict::NotRun("no request was served before the store was away".into());
    }
    let text = format!(
        "{} keys were held by two targets for over 500 ms; the longest time was {} ms, on key {}; {} requests were served",
        overlap.keys, overlap.longest_ms, overlap.longest_key, served.load(Ordering::Relaxed)
    );
    if overlap.keys > 0 { Verdict::Broken(text) } else { Verdict::Held(text) }
}
