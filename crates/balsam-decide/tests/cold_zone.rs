//! Cold upstreams whose requests a keeper spaces for all daemons.

#[allow(dead_code, reason = "this file uses a part of the module")]
mod keyed;
#[allow(dead_code, reason = "this file uses a part of the module")]
mod paced;

use balsam_decide::directory::{DiscoveredUpstream, Upstreams};
use balsam_decide::pace::PaceOutcome;
use balsam_decide::pool::ClusterState;
use balsam_decide::room::{
    GroupId, GroupLayout, Keeper, KeeperDaemon, KeeperInput, KeeperList, KeeperOutput,
    PermitAnswer, PermitId, PermitRequest, PermitReturn, PermitScope, RoomMessage,
};
use balsam_decide::routing::RouteTable;
use balsam_types::{
    CallerLimits, ConfigVersion, Map, RoutingConfig, ServicePolicy, StartTime, TimeMs,
    UpstreamName, UpstreamState, WarmupTerms, ZoneName, new_map,
};
use keyed::{service, upstream};
use paced::{COLD_MAX, PACED_MAX, WARMUP, WARMUP_MS, most_in_second};
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;

const DAEMONS: u64 = 59;

/// When the upstreams have just started. The keeper has been one for longer than it holds back cold
/// upstreams after a change of keepers.
const START: u64 = 10_000;

const USUAL_MS: u32 = 220;

/// A permit that is out, and when it is returned.
struct Held {
    ends: u64,
    daemon: SocketAddr,
    id: PermitId,
    outcome: PaceOutcome,
}

/// A keeper of all upstreams, and what it has granted.
struct Room {
    keeper: Keeper,
    cluster: ClusterState,
    layout: GroupLayout,
    now: u64,
    last_id: u64,
    held: Vec<Held>,
    starts: Map<UpstreamName, Vec<u64>>,
    refused: Vec<u32>,
}

impl Room {
    fn new(found: Vec<Arc<DiscoveredUpstream>>, warmup: Option<WarmupTerms>) -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 7_000));
        let mut keeper = Keeper::new(TimeMs(0), address);
        let list = KeeperList {
            lead: 1,
            number: 1,
            keepers: vec![KeeperDaemon {
                address,
                zone: ZoneName::new("z").expect("a valid name"),
                weight: 1,
            }],
        };
        keeper.handle(TimeMs(0), KeeperInput::Keepers(list.clone()));
        let mut services = new_map();
        services.insert(service(), ServicePolicy::new(false).with_warmup(warmup));
        let upstreams = Arc::new(Upstreams::new(found));
        let cluster = ClusterState {
            table: Arc::new(RouteTable::new(RoutingConfig {
                version: ConfigVersion(1),
                routes: Vec::new(),
                services,
                limits: CallerLimits::default(),
            })),
            upstreams: Arc::clone(&upstreams),
            ranges: new_map(),
            moved: new_map(),
            daemons: DAEMONS as u32,
            keepers: Arc::new(list),
            evacuated: Arc::default(),
        };
        keeper.handle(TimeMs(START), KeeperInput::Cluster(cluster.clone()));
        Self {
            keeper,
            cluster,
            layout: GroupLayout::new(&upstreams),
            now: START,
            last_id: 0,
            held: Vec::new(),
            starts: new_map(),
            refused: Vec::new(),
        }
    }

    /// Lists other upstreams.
    fn list(
        &mut self,
        found: Vec<Arc<DiscoveredUpstream>>,
        upstream: impl Fn(u64) -> (u64, PaceOutcome),
    ) {
        self.cluster.upstreams = Arc::new(Upstreams::new(found));
        let input = KeeperInput::Cluster(self.cluster.clone());
        let outputs = self.keeper.handle(TimeMs(self.now), input);
        self.record(outputs, &upstream);
    }

    fn groups(&self) -> Vec<GroupId> {
        self.layout.groups(&service())
    }

    /// Asks for a permit in the name of one of the daemons.
    fn ask(&mut self, group: &GroupId, upstream: impl Fn(u64) -> (u64, PaceOutcome)) {
        self.last_id += 1;
        let from = SocketAddr::from(([127, 0, 0, 1], 8_000 + (self.last_id % DAEMONS) as u16));
        let message = RoomMessage::Ask(PermitRequest {
            id: PermitId(self.last_id),
            group: group.clone(),
            scope: PermitScope::Any { avoid: Vec::new() },
            rank: 0,
            objective_left_ms: 500,
            deadline_left_ms: 3_000,
            usual_ms: USUAL_MS,
        });
        let input = KeeperInput::Message { from, message };
        let outputs = self.keeper.handle(TimeMs(self.now), input);
        self.record(outputs, &upstream);
    }

    /// Passes a millisecond, in which permits are returned.
    fn step(&mut self, upstream: impl Fn(u64) -> (u64, PaceOutcome)) {
        self.now += 1;
        let now = self.now;
        let ended: Vec<Held> = self.held.extract_if(.., |held| held.ends <= now).collect();
        for held in ended {
            let message = RoomMessage::Return(vec![PermitReturn {
                id: held.id,
                outcome: held.outcome,
                pause_ms: None,
                load: None,
            }]);
            let from = held.daemon;
            let input = KeeperInput::Message { from, message };
            let outputs = self.keeper.handle(TimeMs(now), input);
            self.record(outputs, &upstream);
        }
        if now.is_multiple_of(10) {
            let outputs = self.keeper.handle(TimeMs(now), KeeperInput::Tick);
            self.record(outputs, &upstream);
        }
    }

    fn record(
        &mut self,
        outputs: Vec<KeeperOutput>,
        upstream: &impl Fn(u64) -> (u64, PaceOutcome),
    ) {
        for output in outputs {
            let RoomMessage::Answer { id, answer, .. } = output.message else {
                continue;
            };
            match answer {
                PermitAnswer::Granted { upstream: name, .. } => {
                    let (after_ms, outcome) = upstream(self.now);
                    self.starts.entry(name).or_default().push(self.now);
                    self.held.push(Held {
                        ends: self.now + after_ms,
                        daemon: output.to,
                        id,
                        outcome,
                    });
                }
                PermitAnswer::Refused { retry_after_ms, .. } => self.refused.push(retry_after_ms),
                PermitAnswer::Queued { .. } => {}
            }
        }
    }

    fn starts(&self, number: u16) -> &[u64] {
        let name = &upstream(number, UpstreamState::Ready).entry.name;
        self.starts.get(name).map_or(&[], Vec::as_slice)
    }
}

fn cold(number: u16) -> Arc<DiscoveredUpstream> {
    let mut found = DiscoveredUpstream::clone(&upstream(number, UpstreamState::Ready));
    found.warmup_ends_at = TimeMs(START + WARMUP_MS);
    Arc::new(found)
}

const fn answered(took_ms: u64) -> (u64, PaceOutcome) {
    let outcome = PaceOutcome::Answered {
        took_ms: took_ms as u32,
        usual_ms: USUAL_MS,
    };
    (took_ms, outcome)
}

/// Guards against a zone that returns cold, or a fleet that is entirely cold, and whose upstreams get
/// a burst above the bound of R1, get nothing while requests wait, or are held back when they have
/// been warm for as long as they were cold. A request that cannot be served in time must be told so.
#[rstest]
#[case::zone(10, 2_000)]
#[case::fleet(40, 4_000)]
fn returns_cold(#[case] upstreams: u16, #[case] burst: u32, #[values(20, 600)] cold_ms: u64) {
    let mut room = Room::new((1..=upstreams).map(cold).collect(), Some(WARMUP));
    let groups = room.groups();
    let answer = |now| {
        answered(if now < START + WARMUP_MS {
            cold_ms
        } else {
            100
        })
    };
    for number in 0..burst {
        let group = &groups[number as usize % groups.len()];
        room.ask(group, answer);
    }
    while room.now < START + 9_000 {
        // Two requests in a millisecond are more than 40 upstreams serve when they are warm.
        for number in 0..2 {
            let group = &groups[(room.now as usize + number) % groups.len()];
            room.ask(group, answer);
        }
        room.step(answer);
    }
    for number in 1..=upstreams {
        let starts = room.starts(number);
        let most = most_in_second(starts, START, START + WARMUP_MS - 1_000);
        assert!(most <= PACED_MAX, "{most} in a second at upstream {number}");
        for second in START / 1_000..START / 1_000 + 9 {
            let served = starts.iter().any(|at| at / 1_000 == second);
            assert!(served, "upstream {number} is idle in second {second}");
        }
        let warm = starts.iter().filter(|at| **at >= START + 2 * WARMUP_MS);
        let share = warm.count() as f64 / (3.0 * 3.0 * 1_000.0 / 100.0);
        assert!(share >= 0.9, "upstream {number} has {share} of its share");
    }
    assert!(!room.refused.is_empty());
    assert!(
        room.refused
            .iter()
            .all(|retry_after_ms| *retry_after_ms > 0)
    );
}

/// Guards against 59 daemons that find one upstream back at the same moment and all send to it. Its
/// row says nothing about a start.
#[test]
fn found_by_all() {
    const BACK: u64 = START + 4_000;
    let mut room = Room::new(vec![upstream(1, UpstreamState::Ready)], Some(WARMUP));
    let group = room.groups().remove(0);
    let answer = |now| {
        if now < BACK {
            (1, PaceOutcome::Unreachable)
        } else {
            answered(30)
        }
    };
    while room.now < BACK + 10_000 {
        if room.now.is_multiple_of(1_000) {
            for _ in 0..DAEMONS {
                room.ask(&group, answer);
            }
        }
        room.step(answer);
    }
    let starts = room.starts(1);
    let most = most_in_second(starts, START + 1_000, BACK + WARMUP_MS - 1_000);
    assert!(most <= PACED_MAX, "{most} in a second");
    let warm = starts
        .iter()
        .filter(|at| **at >= BACK + 2 * WARMUP_MS + 1_000);
    assert!(warm.count() >= COLD_MAX * 3, "it is held back");
}

/// Guards against an upstream that gets a request in each slot at once when it has started under its
/// name again, and against the same for upstreams that have served for long.
#[test]
fn started_again() {
    let answer = |_| answered(100);
    let listed = upstream(1, UpstreamState::Ready);
    let mut room = Room::new(vec![Arc::clone(&listed)], None);
    let group = room.groups().remove(0);
    let ask_all = |room: &mut Room| {
        for _ in 0..DAEMONS {
            room.ask(&group, answer);
        }
    };
    ask_all(&mut room);
    assert_eq!(room.starts(1).len(), 3);
    room.now += 50;
    let mut started = DiscoveredUpstream::clone(&listed);
    started.entry.born = StartTime(2);
    room.list(vec![Arc::new(started)], answer);
    ask_all(&mut room);
    assert_eq!(room.starts(1).len(), 3 + 1);
}
