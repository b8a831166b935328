//! Tests when keys of an owner are reassigned while another upstream is listed at its address, or
//! answers there.

use balsam_decide::directory::{DiscoveredUpstream, Upstreams};
use balsam_decide::keys::{
    Assigner, AssignerInput, AssignerOutput, CommitResult, DaemonIdentity, FreedBy, FreedRange,
    GrantTiming, Order, OrderKind, OrderResult, RowVersion, StoredLead,
};
use balsam_types::{
    DaemonName, Incarnation, ServiceName, StartTime, TimeMs, UpstreamEntry, UpstreamName,
    UpstreamState, ZoneName,
};
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;

const STEP_MS: u64 = 50;

/// The port of the owner whose keys move, and that of the other upstream.
const OWNER_PORT: u16 = 9_000;
const OTHER_PORT: u16 = 9_001;

/// Start time of both.
const BORN: u64 = 1_000_000;

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).expect("a valid name")
}

fn upstream(
    name: &str,
    service_name: &str,
    born: u64,
    port: u16,
    state: UpstreamState,
) -> Arc<DiscoveredUpstream> {
    Arc::new(DiscoveredUpstream {
        entry: UpstreamEntry {
            name: UpstreamName::new(name).expect("a valid name"),
            born: StartTime(born),
            service: service(service_name),
            zone: ZoneName::new("z").expect("a valid name"),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            slots: 3,
            state,
            warmup_left_ms: 0,
        },
        warmup_ends_at: TimeMs(0),
    })
}

fn daemon(number: u16) -> DaemonIdentity {
    DaemonIdentity {
        daemon: DaemonName::new(format!("d{number}")).expect("a valid name"),
        incarnation: Incarnation(1),
        address: SocketAddr::from(([127, 0, 0, 1], 7_000 + number)),
    }
}

/// Who answers orders at the owner's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Responder {
    /// The owner, at once.
    Owner,
    /// The owner, which answers a release only after its work.
    BusyOwner,
    /// An upstream that refuses orders and does not tell its name.
    Unnamed,
    /// Another upstream, which may take orders.
    Successor { takes_orders: bool },
}

/// A leader whose commits succeed, and two upstreams.
struct LeaderSim {
    assigner: Assigner,
    now: TimeMs,
    version: u64,
    responder: Responder,
    /// Whether the other upstream refuses grants.
    is_other_full: bool,
    /// The number of releases that were sent to the owner's address.
    releases: usize,
    freed: Vec<FreedRange>,
}

impl LeaderSim {
    /// Runs the first leader of a deployment, or the successor of another one, until both upstreams
    /// hold keys.
    fn start(predecessor: Option<DaemonIdentity>) -> Self {
        let now = TimeMs(100_000);
        let mut sim = Self {
            assigner: Assigner::new(now, daemon(1), GrantTiming::new(10_000), 0),
            now,
            version: 0,
            responder: Responder::Owner,
            is_other_full: false,
            releases: 0,
            freed: Vec::new(),
        };
        sim.version = u64::from(predecessor.is_some());
        sim.deliver(AssignerInput::Lead(StoredLead {
            version: RowVersion(sim.version),
            leader: predecessor,
        }));
        sim.list(Some(UpstreamState::Ready), None);
        sim.run(3_000);
        assert_eq!(sim.freed, []);
        sim
    }

    /// Lists the owner in a state, if it is listed, the other upstream and one more entry.
    fn list(&mut self, owner: Option<UpstreamState>, entry: Option<Arc<DiscoveredUpstream>>) {
        let owner = owner.map(|state| upstream("u1", "keyed", BORN, OWNER_PORT, state));
        let other = upstream("u2", "keyed", BORN, OTHER_PORT, UpstreamState::Ready);
        let upstreams = owner.into_iter().chain([other]).chain(entry);
        self.deliver(AssignerInput::Cluster {
            upstreams: Arc::new(Upstreams::new(upstreams)),
            keyed: vec![service("keyed")],
        });
    }

    /// Lists another entry at the owner's address.
    fn list_at_address(&mut self, owner: Option<UpstreamState>, service_name: &str, born: u64) {
        let ready = UpstreamState::Ready;
        let entry = upstream("x1", service_name, born, OWNER_PORT, ready);
        self.list(owner, Some(entry));
    }

    fn deliver(&mut self, input: AssignerInput) {
        let outputs = self.assigner.handle(self.now, input);
        self.freed.extend(self.assigner.take_freed());
        for output in outputs {
            let reply = match output {
                AssignerOutput::Commit(_) => {
                    self.version += 1;
                    AssignerInput::Committed(CommitResult::Done(RowVersion(self.version)))
                }
                AssignerOutput::Reload => AssignerInput::Reloaded,
                AssignerOutput::Moved { .. } => continue,
                AssignerOutput::Confirm => AssignerInput::Confirmed {
                    asked_at: self.now,
                    version: Some(self.assigner.lead_version()),
                },
                AssignerOutput::Order(order) => AssignerInput::Ordered {
                    id: order.id,
                    result: self.execute(&order),
                },
            };
            self.deliver(reply);
        }
    }

    fn execute(&mut self, order: &Order) -> OrderResult {
        let is_release = order.kind == OrderKind::Release;
        let usual = if is_release {
            OrderResult::Released { handover: None }
        } else {
            OrderResult::Granted
        };
        if order.to.address.port() == OTHER_PORT {
            return if self.is_other_full {
                OrderResult::Refused { status: 503 }
            } else {
                usual
            };
        }
        self.releases += usize::from(is_release);
        match self.responder {
            Responder::BusyOwner if is_release => OrderResult::NoAnswer,
            Responder::Owner | Responder::BusyOwner => usual,
            Responder::Unnamed => OrderResult::Refused { status: 400 },
            Responder::Successor { takes_orders } => OrderResult::Ended {
                successor: successor(),
                takes_orders,
            },
        }
    }

    fn run(&mut self, length_ms: u64) {
        let end = self.now.after(length_ms);
        while self.now < end {
            self.now = self.now.after(STEP_MS);
            self.deliver(AssignerInput::Tick);
        }
    }

    /// Ends the leader's term by the election of another daemon, and runs until it leads again.
    fn depose(&mut self) {
        self.version += 1;
        let version = RowVersion(self.version);
        self.deliver(AssignerInput::Confirmed {
            asked_at: self.now,
            version: Some(version),
        });
        self.deliver(AssignerInput::Lead(StoredLead {
            version,
            leader: Some(daemon(2)),
        }));
        assert!(!self.assigner.is_leading());
        self.freed.clear();
        while !self.assigner.is_leading() {
            self.run(STEP_MS);
        }
    }

    /// Returns what has shown that the owner holds no keys, without repetitions.
    fn evidence(&self) -> Vec<FreedBy> {
        let mut evidence: Vec<FreedBy> = Vec::new();
        for freed in &self.freed {
            if !evidence.contains(&freed.by) {
                evidence.push(freed.by.clone());
            }
        }
        evidence
    }
}

fn successor() -> UpstreamName {
    UpstreamName::new("x1").expect("a valid name")
}

/// Guards against keys with two owners because of an entry at an owner's address. Any program may
/// write entries, so that none of them shows that the owner has ended, whatever its service and its
/// start time.
#[rstest]
fn entry_proves_nothing(
    #[values(None, Some(UpstreamState::Draining))] owner: Option<UpstreamState>,
    #[values("plain", "keyed", "elsewhere")] service_name: &str,
    #[values(BORN - 60_000, BORN + 2_000, BORN + 60_000)] born: u64,
    #[values(Responder::BusyOwner, Responder::Unnamed)] responder: Responder,
) {
    let mut sim = LeaderSim::start(None);
    sim.responder = responder;
    sim.list_at_address(owner, service_name, born);
    sim.run(3_000);
    assert_eq!(sim.evidence(), []);
    assert!(sim.releases > 0, "the owner must be asked to release");
    sim.run(12_000);
    assert_eq!(sim.evidence(), [FreedBy::Expiry]);
}

/// Guards against keys that wait although their owner releases them, while an entry of another
/// upstream names its address.
#[test]
fn owner_releases() {
    let mut sim = LeaderSim::start(None);
    sim.run(12_000);
    sim.list_at_address(Some(UpstreamState::Draining), "plain", BORN + 60_000);
    sim.run(1_000);
    assert_eq!(sim.evidence(), [FreedBy::Release]);
}

/// Guards against waiting until the grants of an owner expire although another upstream answers at
/// its address, and against reassigning its keys too early: orders of an earlier leader may make a
/// successor that takes orders hold them.
#[rstest]
#[case::refuses_orders(false)]
#[case::takes_orders(true)]
fn successor_answers(#[case] takes_orders: bool) {
    let mut sim = LeaderSim::start(Some(daemon(2)));
    sim.responder = Responder::Successor { takes_orders };
    sim.list(None, None);
    sim.run(1_000);
    assert_eq!(sim.evidence().is_empty(), takes_orders);
    sim.run(14_000);
    assert_eq!(sim.evidence(), [FreedBy::Successor(successor())]);
}

/// Guards against keys with two owners after another daemon has led for a moment: it may have made a
/// successor that takes orders hold the keys.
#[rstest]
#[case::refuses_orders(false)]
#[case::takes_orders(true)]
fn next_term(#[case] takes_orders: bool) {
    let mut sim = LeaderSim::start(None);
    sim.responder = Responder::Successor { takes_orders };
    sim.is_other_full = true;
    sim.list(None, None);
    sim.run(1_000);
    assert_eq!(sim.evidence(), [FreedBy::Successor(successor())]);
    sim.depose();
    sim.is_other_full = false;
    sim.run(1_000);
    assert_eq!(sim.evidence().is_empty(), takes_orders);
}

/// Guards against relying on the answer of a successor that may have ended since: while its keys
/// have no new owner, the address is asked again.
#[test]
fn answer_outdated() {
    let mut sim = LeaderSim::start(Some(daemon(2)));
    sim.responder = Responder::Successor {
        takes_orders: false,
    };
    sim.is_other_full = true;
    sim.list(None, None);
    sim.run(4_500);
    let releases = std::mem::take(&mut sim.releases);
    assert!(releases > 0);
    sim.run(1_500);
    assert!(sim.releases > 0);
}
