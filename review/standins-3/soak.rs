//! One kind of disruption after the other, while targets are replaced.

use crate::cases::{DAEMONS, Deployment, LOOKUPS, config};
use crate::daemon::Daemon;
use crate::record::{Random, Record};
use crate::store::Access;
use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// Plays one kind of disruption again and again, while targets are replaced. A kind with `+` consists
/// of several, one after the other; `freeze-meanwhile` and `refuse-meanwhile` last into the next one.
/// `DELAYED` is the share of the grants that are applied late, in percent.
pub fn play(kind: &str, files: &Path, record: &Arc<Record>) -> Result<(), String> {
    let number_of = |name: &str| std::env::var(name).ok()?.parse().ok();
    let seed = number_of("SEED").unwrap_or(1);
    let mut random = Random::new(seed);
    let mut scene = LOOKUPS;
    scene.behaviour.delayed_grants_percent = number_of("DELAYED").unwrap_or(0);
    let mut deployment = Deployment::start(files, record, scene)?;
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
                    deployment.replace_for(length);
                    deployment.daemons[place].signal("CONT");
                }
                "freeze-meanwhile" => {
                    deployment.daemons[place].freeze(length);
                    thread::sleep(Duration::from_millis(random.below(4_000)));
                }
                "refuse" => {
                    let ways = [Access::Refused, Access::Closed, Access::Silent];
                    let access = ways[random.below(3) as usize];
                    let second = random.below(DAEMONS as u64) as usize;
                    for door in [place, second] {
                        deployment.store.set_access(door, access);
                    }
                    deployment.replace_for(length);
                    for door in [place, second] {
                        deployment.store.set_access(door, Access::Served);
                    }
                }
                "refuse-meanwhile" => {
                    let ways = [Access::Refused, Access::Closed, Access::Silent];
                    let access = ways[random.below(3) as usize];
                    let store = Arc::clone(&deployment.store);
                    store.set_access(place, access);
                    thread::spawn(move || {
                        thread::sleep(length);
                        store.set_access(place, Access::Served);
                    });
                    thread::sleep(Duration::from_millis(random.below(4_000)));
                }
                "lose" => {
                    for door in 0..DAEMONS {
                        deployment.store.set_access(door, Access::Lossy);
                    }
                    deployment.replace_for(length);
                    for door in 0..DAEMONS {
                        deployment.store.set_access(door, Access::Served);
                    }
                }
                "silence" => {
                    record.line("all open connections fall silent");
                    deployment.store.silences.fetch_add(1, Ordering::Relaxed);
                    thread::sleep(Duration::from_millis(random.below(2_000)));
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
                        store.put("op", "config", Some(&config(LOOKUPS)));
                        service.write_again();
                    });
                }
                "restart" => {
                    for _ in 0..3 {
                        let index = random.below(deployment.targets.len() as u64) as usize;
                        let old = deployment.targets[index].clone();
                        deployment.service.end_silently(&old);
                        thread::sleep(Duration::from_millis(100 + random.below(1_500)));
                        let listener = TcpListener::bind(old.address);
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
