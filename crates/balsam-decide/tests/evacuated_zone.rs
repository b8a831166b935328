//! Zones that the operator has evacuated: what the pool sends, what keepers grant, and how the
//! leader moves the keys away and back.

#[allow(dead_code, reason = "this file uses a part of the module")]
mod keyed;
#[allow(dead_code, reason = "this file uses a part of the module")]
mod pool_sim;

use balsam_decide::directory::{Directory, DirectoryInput, DiscoveredUpstream, Upstreams};
use balsam_decide::evacuation::EvacuatedZones;
use balsam_decide::keys::{
    Assigner, AssignerInput, AssignerOutput, Commit, CommitResult, GrantTiming, Order, OrderId,
    OrderKind, OrderResult, RowVersion, StoredLead,
};
use balsam_decide::pool::{ClusterState, PoolInput, Refusal, Verdict};
use balsam_decide::room::{
    GroupLayout, Keeper, KeeperDaemon, KeeperInput, KeeperList, PermitAnswer, PermitId,
    PermitRefusal, PermitRequest, PermitScope, RoomMessage,
};
use balsam_decide::routing::RouteTable;
use balsam_types::{
    CallerLimits, ConfigVersion, RoutingConfig, ServicePolicy, ServiceRanges, TimeMs, UpstreamRow,
    UpstreamState, ZoneName, new_map,
};
use keyed::{cluster, daemon, service, upstream};
use pool_sim::{Decision, Sim, decisions, sent};
use std::net::SocketAddr;
use std::sync::Arc;

/// Time after the acknowledgement of the row from which on no request may arrive, in milliseconds.
const EVACUATION_MS: u64 = 5_000;

/// How long owners of keys get requests at most, in milliseconds: until 1 s before the bound.
const OWNERS_MS: u64 = EVACUATION_MS - 1_000;

/// How soon a daemon knows of a row, in milliseconds.
const PROPAGATION_MS: u64 = 2_000;

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).expect("a valid name")
}

/// Returns an upstream in a zone.
fn upstream_in(name: &str, number: u16) -> Arc<DiscoveredUpstream> {
    let mut found = DiscoveredUpstream::clone(&upstream(number, UpstreamState::Ready));
    found.entry.zone = zone(name);
    Arc::new(found)
}

/// Returns the evacuation of zone `b`, which was acknowledged `age_ms` before `now`.
fn evacuated(now: TimeMs, age_ms: Option<u64>) -> Arc<EvacuatedZones> {
    let mut zones = EvacuatedZones::default();
    zones.add(now, zone("b"), age_ms, EVACUATION_MS);
    Arc::new(zones)
}

/// Returns a pool with one upstream in zone `b`, 1, which is preferred, and one in `a`, 2.
fn two_zones(is_keyed: bool) -> Sim {
    let mut sim = Sim::new(&[], is_keyed);
    sim.list_lives(vec![upstream_in("b", 1), upstream_in("a", 2)]);
    sim
}

/// Tells a pool which zones are evacuated.
fn evacuate(sim: &mut Sim, zones: Arc<EvacuatedZones>) {
    sim.cluster.evacuated = zones;
    let cluster = PoolInput::Cluster(sim.cluster.clone());
    sim.pool.handle(sim.now, cluster);
}

fn is_evacuated(decision: &Decision) -> bool {
    matches!(decision, Decision::Refused { refusal: Refusal::Evacuated, retry_after_ms } if *retry_after_ms > 0)
}

/// Guards against requests without an owner that are sent to an evacuated zone, and against a zone
/// that stays empty after it was taken back.
#[test]
fn pool_avoids_zone() {
    let mut sim = two_zones(false);
    let zones = evacuated(sim.now, Some(0));
    evacuate(&mut sim, zones);
    for _ in 0..200 {
        assert_eq!(sim.call(), sent("u2"));
        sim.wait(10);
    }
    evacuate(&mut sim, Arc::default());
    let after = [sim.request(), sim.request()];
    assert!(after.contains(&sent("u1")), "{after:?}");
}

/// Number of requests that end at each upstream, so that it has room again.
const ENDED: usize = 5;

/// Guards against queued requests that are sent to a zone after its evacuation.
#[test]
fn queue_avoids_zone() {
    let mut sim = two_zones(false);
    while matches!(sim.request(), Decision::Sent(_)) {}
    let zones = evacuated(sim.now, Some(0));
    evacuate(&mut sim, zones);
    let mut freed = Vec::new();
    for number in [1, 2] {
        for _ in 0..ENDED {
            freed.extend(decisions(&sim.end(number, Verdict::Served)));
        }
    }
    assert!(!freed.is_empty());
    assert!(freed.iter().all(|(_, to)| *to == sent("u2")), "{freed:?}");
}

/// Guards against keys without service while their owner in an evacuated zone may still run their
/// requests, and against requests to it that arrive after the bound.
#[test]
fn owner_until_bound() {
    let mut sim = two_zones(true);
    sim.own_all(1);
    let zones = evacuated(sim.now, Some(PROPAGATION_MS));
    evacuate(&mut sim, zones);
    sim.wait(OWNERS_MS - PROPAGATION_MS - 1);
    assert_eq!(sim.call(), sent("u1"));
    sim.wait(1);
    assert!(is_evacuated(&sim.call()));
    sim.own_all(2);
    assert_eq!(sim.call(), sent("u2"));
}

/// Guards against requests to an evacuated zone by a daemon that has just started and cannot tell
/// how old the row is.
#[test]
fn unknown_age() {
    let mut sim = two_zones(true);
    sim.own_all(1);
    let zones = evacuated(sim.now, None);
    evacuate(&mut sim, zones);
    assert!(is_evacuated(&sim.call()));
}

/// Guards against requests that wait, or are sent, although the operator has evacuated all upstreams
/// of the service, and against callers that all return at the same moment.
#[test]
fn all_evacuated() {
    for is_keyed in [false, true] {
        let mut sim = Sim::new(&[], is_keyed);
        sim.list_lives(vec![upstream_in("b", 1), upstream_in("b", 2)]);
        sim.own_all(2);
        let zones = evacuated(sim.now, Some(0));
        evacuate(&mut sim, zones);
        let refused: Vec<Decision> = (0..20).map(|_| sim.call()).collect();
        assert!(refused.iter().all(is_evacuated), "{refused:?}");
        assert!(refused.iter().any(|other| *other != refused[0]));
    }
}

/// How long upstreams are cold, in milliseconds.
const COLD_MS: u64 = 3_000;

fn list(directory: &mut Directory, now: TimeMs, version: u64, slots: u32) -> Option<Upstreams> {
    let rows = [upstream_in("a", 1), upstream_in("b", 2)].map(|found| {
        let mut entry = found.entry.clone();
        entry.slots = slots;
        UpstreamRow { version, entry }
    });
    let rows = rows.to_vec();
    directory.handle(now, DirectoryInput::Listed { version, rows })
}

/// Guards against a full rate of requests to upstreams that have cooled down during an evacuation,
/// also after a row that does not say so, and against one that is slowed down in another zone.
#[test]
fn returns_cold() {
    let now = TimeMs(100_000);
    let mut directory = Directory::new();
    list(&mut directory, now, 1, 3);
    let mut warmups_ms = new_map();
    warmups_ms.insert(service(), COLD_MS);
    let input = DirectoryInput::ZoneTakenBack {
        zone: zone("b"),
        warmups_ms,
    };
    let taken_back = directory.handle(now, input).expect("a new list");
    let later = list(&mut directory, now.after(1_000), 2, 4).expect("a new list");
    for upstreams in [taken_back, later] {
        let ends_at = |number| {
            let name = &upstream(number, UpstreamState::Ready).entry.name;
            upstreams.get(name).expect("an upstream").warmup_ends_at
        };
        assert!(ends_at(1) <= now.after(1_000));
        assert_eq!(ends_at(2), now.after(COLD_MS));
    }
}

/// Where the only keeper receives datagrams.
fn keeper_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000))
}

/// A keeper of a service with one upstream in zone `a`, 1, and one in `b`, 2.
struct KeeperSim {
    keeper: Keeper,
    cluster: ClusterState,
    last_id: u64,
}

impl KeeperSim {
    fn start(now: TimeMs) -> Self {
        let mut services = new_map();
        services.insert(service(), ServicePolicy::new(true));
        let config = RoutingConfig {
            version: ConfigVersion(1),
            routes: Vec::new(),
            services,
            limits: CallerLimits::default(),
        };
        let found = [upstream_in("a", 1), upstream_in("b", 2)];
        let cluster = ClusterState {
            table: Arc::new(RouteTable::new(config)),
            upstreams: Arc::new(Upstreams::new(found)),
            ranges: new_map(),
            moved: new_map(),
            daemons: 30,
            keepers: Arc::default(),
            evacuated: Arc::default(),
        };
        let mut keeper = Keeper::new(now, keeper_address());
        keeper.handle(now, KeeperInput::Cluster(cluster.clone()));
        let daemon = KeeperDaemon {
            address: keeper_address(),
            zone: zone("a"),
            weight: 100,
        };
        let list = KeeperList {
            lead: 1,
            number: 1,
            keepers: vec![daemon],
        };
        keeper.handle(now, KeeperInput::Keepers(list));
        Self {
            keeper,
            cluster,
            last_id: 0,
        }
    }

    fn evacuate(&mut self, now: TimeMs, zones: Arc<EvacuatedZones>) -> Vec<PermitAnswer> {
        self.cluster.evacuated = zones;
        let input = KeeperInput::Cluster(self.cluster.clone());
        answers(self.keeper.handle(now, input))
    }

    /// Asks for a permit for the upstream in zone `b`, by its name or by its group.
    fn ask(&mut self, now: TimeMs, is_named: bool) -> Vec<PermitAnswer> {
        self.last_id += 1;
        let target = upstream_in("b", 2);
        let scope = if is_named {
            PermitScope::Owner(target.entry.name.clone())
        } else {
            PermitScope::Any { avoid: Vec::new() }
        };
        let request = PermitRequest {
            id: PermitId(self.last_id),
            group: GroupLayout::new(&self.cluster.upstreams).group_of(&target.entry),
            scope,
            rank: 0,
            objective_left_ms: 1_000,
            deadline_left_ms: 10_000,
            usual_ms: 200,
        };
        let from = SocketAddr::from(([127, 0, 0, 1], 7_001));
        let message = RoomMessage::Ask(request);
        answers(
            self.keeper
                .handle(now, KeeperInput::Message { from, message }),
        )
    }
}

fn answers(outputs: Vec<balsam_decide::room::KeeperOutput>) -> Vec<PermitAnswer> {
    let answers = outputs
        .into_iter()
        .filter_map(|output| match output.message {
            RoomMessage::Answer { answer, .. } => Some(answer),
            _ => None,
        });
    answers.collect()
}

fn is_granted(answers: &[PermitAnswer]) -> bool {
    matches!(answers, [PermitAnswer::Granted { .. }])
}

fn is_refused(answers: &[PermitAnswer]) -> bool {
    let refusal = PermitRefusal::Paused;
    matches!(answers, [PermitAnswer::Refused { refusal: found, .. }] if *found == refusal)
}

/// Guards against permits for upstreams of an evacuated zone that were asked for by a daemon that
/// does not know of the evacuation yet.
#[test]
fn keeper_refuses() {
    let now = TimeMs(100_000);
    let mut sim = KeeperSim::start(now);
    assert!(is_granted(&sim.ask(now, false)));
    sim.evacuate(now, evacuated(now, Some(0)));
    assert!(is_refused(&sim.ask(now, false)));
    assert!(is_granted(&sim.ask(now, true)));
    let late = now.after(OWNERS_MS);
    assert!(is_refused(&sim.ask(late, true)));
    sim.evacuate(late, Arc::default());
    assert!(is_granted(&sim.ask(late, false)));
}

/// Guards against requests that go on waiting at a keeper for a zone that was evacuated meanwhile.
#[test]
fn keeper_turns_away() {
    let now = TimeMs(100_000);
    let mut sim = KeeperSim::start(now);
    while is_granted(&sim.ask(now, false)) {}
    assert!(is_refused(&sim.evacuate(now, evacuated(now, Some(0)))));
}

/// Number of upstreams of the largest keyed service, and of its zones.
const UPSTREAMS: u16 = 230;
const ZONES: [&str; 3] = ["a", "b", "c"];

/// Time that an upstream works on a request that it has begun, in milliseconds. It answers a release
/// only after that.
const WORK_MS: u64 = 220;

/// Interval of the leader's ticks, in milliseconds.
const STEP_MS: u64 = 50;

/// A leader, its store, and upstreams that answer a release after the work that they have begun.
struct LeaderSim {
    assigner: Assigner,
    now: TimeMs,
    version: u64,
    ranges: Option<Arc<ServiceRanges>>,
    /// Results that are on their way to the leader.
    results: Vec<(TimeMs, OrderId, OrderResult)>,
}

impl LeaderSim {
    /// Runs a leader until all upstreams hold their keys, which takes a few commits.
    fn start() -> Self {
        let now = TimeMs(100_000);
        let mut sim = Self {
            assigner: Assigner::new(now, daemon(0), GrantTiming::new(10_000), 0),
            now,
            version: 0,
            ranges: None,
            results: Vec::new(),
        };
        sim.deliver(AssignerInput::Lead(StoredLead {
            version: RowVersion(0),
            leader: None,
        }));
        let zone_of = |number: u16| ZONES[usize::from(number) % ZONES.len()];
        let found = (0..UPSTREAMS).map(|number| upstream_in(zone_of(number), number));
        sim.deliver(cluster(found));
        sim.run(10_000);
        assert_eq!(sim.moving(), 0);
        sim
    }

    fn ranges(&self) -> &ServiceRanges {
        self.ranges.as_ref().expect("assignments")
    }

    /// Returns the number of ranges whose owner is in zone `b`.
    fn ranges_in_zone(&self) -> usize {
        let is_in_zone = |port: u16| usize::from(port - 9_000) % ZONES.len() == 1;
        let owned = self.ranges().assignments.iter();
        owned
            .filter(|found| is_in_zone(found.owner.address.port()))
            .count()
    }

    fn moving(&self) -> usize {
        let assignments = self.ranges().assignments.iter();
        assignments.filter(|found| found.is_moving()).count()
    }

    fn run(&mut self, length_ms: u64) {
        for _ in 0..length_ms / STEP_MS {
            self.now = self.now.after(STEP_MS);
            let now = self.now;
            let due = self.results.extract_if(.., |(at, ..)| *at <= now);
            let due: Vec<_> = due.collect();
            for (_, id, result) in due {
                self.deliver(AssignerInput::Ordered { id, result });
            }
            self.deliver(AssignerInput::Tick);
        }
    }

    fn deliver(&mut self, input: AssignerInput) {
        for output in self.assigner.handle(self.now, input) {
            if let Some(reply) = self.reply(output) {
                self.deliver(reply);
            }
        }
    }

    fn reply(&mut self, output: AssignerOutput) -> Option<AssignerInput> {
        match output {
            AssignerOutput::Commit(commit) => {
                if let Commit::Assign { ranges, .. } = commit {
                    self.ranges = Some(ranges);
                }
                self.version += 1;
                let version = RowVersion(self.version);
                Some(AssignerInput::Committed(CommitResult::Done(version)))
            }
            AssignerOutput::Reload => Some(AssignerInput::Reloaded),
            AssignerOutput::Confirm => Some(AssignerInput::Confirmed {
                asked_at: self.now,
                version: Some(self.assigner.lead_version()),
            }),
            AssignerOutput::Order(order) => {
                self.execute(&order);
                None
            }
            AssignerOutput::Moved { .. } => None,
        }
    }

    fn execute(&mut self, order: &Order) {
        let (took_ms, result) = match order.kind {
            OrderKind::Grant { .. } => (STEP_MS, OrderResult::Granted),
            OrderKind::Release => (WORK_MS, OrderResult::Released { handover: None }),
        };
        self.results
            .push((self.now.after(took_ms), order.id, result));
    }
}

/// Guards against keys that are still in an evacuated zone when their owners get no more requests:
/// all ranges of a third of the upstreams must have moved by then.
#[test]
fn keys_leave() {
    let mut sim = LeaderSim::start();
    let before = sim.ranges_in_zone();
    assert!(before >= usize::from(UPSTREAMS) / 3, "{before}");
    sim.deliver(AssignerInput::Evacuated(evacuated(
        sim.now,
        Some(PROPAGATION_MS),
    )));
    sim.run(OWNERS_MS - PROPAGATION_MS);
    assert_eq!((sim.ranges_in_zone(), sim.moving()), (0, 0));
}

/// Guards against keys that all move at once when a zone is taken back, and against a zone that gets
/// none: a plan moves a range for every eight upstreams, and waits while two plans' moves go on.
#[test]
fn keys_return() {
    const MOVING_MAX: usize = UPSTREAMS as usize / 8 * 3;
    let mut sim = LeaderSim::start();
    sim.deliver(AssignerInput::Evacuated(evacuated(sim.now, Some(0))));
    sim.run(OWNERS_MS);
    assert_eq!(sim.ranges_in_zone(), 0);
    sim.deliver(AssignerInput::Evacuated(Arc::default()));
    let mut most_moving = 0;
    for _ in 0..60_000 / STEP_MS {
        sim.run(STEP_MS);
        most_moving = most_moving.max(sim.moving());
    }
    assert!(most_moving <= MOVING_MAX, "{most_moving} ranges at once");
    let returned = sim.ranges_in_zone();
    assert!(returned >= usize::from(UPSTREAMS) / 3, "{returned}");
}

/// Guards against keys that lose their owners, or go back to an evacuated zone, once all upstreams are
/// in evacuated zones.
#[test]
fn keys_stay() {
    let mut sim = LeaderSim::start();
    let mut zones = EvacuatedZones::clone(&evacuated(sim.now, Some(0)));
    sim.deliver(AssignerInput::Evacuated(Arc::new(zones.clone())));
    sim.run(OWNERS_MS);
    assert_eq!((sim.ranges_in_zone(), sim.moving()), (0, 0));
    let before = sim.ranges().clone();
    for name in ZONES {
        zones.add(sim.now, zone(name), Some(0), EVACUATION_MS);
    }
    sim.deliver(AssignerInput::Evacuated(Arc::new(zones)));
    sim.run(EVACUATION_MS);
    assert_eq!(sim.ranges().assignments, before.assignments);
}
