//! Runs schedules and evaluates the results.

use super::check::Violation;
use super::faults::Profile;
use super::participants::service;
use super::work::UNITS;
use super::world::{Event, Options, World};
use balsam_decide::grants::HolderSafeguard;
use balsam_decide::lease::Safeguard;
use balsam_types::UnitId;
use balsam_types::control::{UnitOwner, UpstreamStatus};

/// When faults begin, in milliseconds; by then the daemons have joined and the units have owners.
const FAULTS_FROM_MS: u64 = 1_500;

/// The time after the last fault within which the system must recover, in milliseconds.
const RECOVERY_TIMEOUT_MS: u64 = 15_000;

/// The period at which the recovery is checked, in milliseconds.
const RECOVERY_POLL_MS: u64 = 250;

/// The result of a schedule.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub violation: Option<Violation>,
    /// What has not recovered at the end of a schedule without a violation.
    pub unrecovered: Option<String>,
    pub epochs: u64,
    pub accepted: u64,
    pub ran: u64,
}

pub fn run_schedule(options: Options) -> Report {
    let mut world = World::new(options);
    world.after(200, Event::Edit);
    world.after(500, Event::Request);
    world.after(FAULTS_FROM_MS, Event::Fault);
    let heal_at_ms = options.profile.heal_at_ms();
    world.run_until(heal_at_ms);
    if world.checks.violation.is_none() {
        world.heal();
    }
    let mut unrecovered: Option<String> = None;
    while world.checks.violation.is_none() && world.t < heal_at_ms + RECOVERY_TIMEOUT_MS {
        world.run_until(world.t + RECOVERY_POLL_MS);
        world.restore_participants();
        unrecovered = world.unrecovered();
        if unrecovered.is_none() {
            break;
        }
    }
    let unrecovered = unrecovered.map(|what| format!("{what}; {}", world.describe()));
    Report {
        violation: world.checks.violation.clone(),
        unrecovered,
        epochs: world.table.epoch().0,
        accepted: world.checks.accepted_count,
        ran: world.checks.ran_count,
    }
}

/// Runs `count` schedules from `first_seed` on and fails at the first one that violates an
/// invariant or does not recover.
pub fn run_schedules(profile: Profile, first_seed: u64, count: u64) {
    let mut ran = 0;
    let mut accepted = 0;
    for seed in first_seed..first_seed + count {
        let report = run_schedule(Options {
            seed,
            profile,
            without: None,
            holder_without: None,
        });
        let broken = (&report.violation, &report.unrecovered);
        assert_eq!(broken, (&None, &None), "{profile:?} seed {seed}");
        ran += report.ran;
        accepted += report.accepted;
    }
    // Schedules without any activity would prove nothing.
    assert!(ran > count, "only {ran} requests ran in {count} schedules");
    assert!(
        accepted > count,
        "only {accepted} edits were accepted in {count} schedules"
    );
}

/// Runs schedules with a disabled safeguard until one violates an invariant.
pub fn expect_violation(
    profile: Profile,
    without: Option<Safeguard>,
    holder_without: Option<HolderSafeguard>,
    count: u64,
) -> Violation {
    let found = (0..count).find_map(|seed| {
        run_schedule(Options {
            seed,
            profile,
            without,
            holder_without,
        })
        .violation
    });
    found.unwrap_or_else(|| panic!("no violation in {count} schedules"))
}

impl World {
    /// Creates a world without faults in which every unit has an owner.
    pub fn settled(seed: u64) -> Self {
        Self::settled_without(seed, None)
    }

    pub fn settled_without(seed: u64, without: Option<Safeguard>) -> Self {
        let mut world = Self::new(Options {
            seed,
            profile: Profile::Quiet,
            without,
            holder_without: None,
        });
        world.after(200, Event::Edit);
        world.after(500, Event::Request);
        world.run_until(5_000);
        assert_eq!(world.unrecovered(), None, "seed {seed}");
        world
    }

    /// Returns whether every unit is owned by an active upstream that holds a grant for it.
    pub fn all_served(&self) -> bool {
        (0..UNITS)
            .map(UnitId)
            .all(|unit| self.unserved(unit).is_none())
    }

    /// Runs until every unit is served and returns how long that took, or `None` after `limit_ms`.
    pub fn time_to_serve(&mut self, limit_ms: u64) -> Option<u64> {
        let began_ms = self.t;
        while self.t < began_ms + limit_ms {
            self.run_until(self.t + 5);
            assert_eq!(self.checks.violation, None);
            if self.all_served() {
                return Some(self.t - began_ms);
            }
        }
        None
    }

    fn unserved(&self, unit: UnitId) -> Option<String> {
        let state = &self.table.state;
        let owner = state.owner_of(&service(), unit);
        let Some(UnitOwner::Owned(name)) = owner else {
            return Some(format!("unit {unit} has owner {owner:?}"));
        };
        let status = state.upstreams.get(name).map(|upstream| upstream.status);
        if status != Some(UpstreamStatus::Active) {
            return Some(format!("the owner of unit {unit} is {status:?}"));
        }
        let process = &self.upstreams[self.upstream_named(name)?];
        let may_run = process.holder.may_run(process.clock.at(self.t), unit);
        (process.frozen || !may_run).then(|| format!("{name} has no grant for unit {unit}"))
    }

    pub fn describe(&self) -> String {
        let state = &self.table.state;
        let rosters: Vec<_> = state
            .open_rosters
            .iter()
            .map(|r| (r.since.0, &r.members))
            .collect();
        let nodes: Vec<_> = self
            .nodes
            .iter()
            .enumerate()
            .map(|(index, process)| {
                let now = process.clock.at(self.t);
                let view = process.view.as_ref();
                let epoch = view.map(|view| {
                    (
                        view.state.epoch.0,
                        view.joined,
                        view.has_lease(now),
                        view.table_ok,
                        view.suspected.len(),
                    )
                });
                (index, process.boot_id, process.node.is_some(), epoch)
            })
            .collect();
        let upstreams: Vec<_> = state
            .upstreams
            .values()
            .map(|u| (&u.name, u.status, u.dispatcher))
            .collect();
        format!(
            "epoch {} placer {:?} rosters {rosters:?} nodes {nodes:?} upstreams {upstreams:?} last {:?}",
            state.epoch,
            state.placer,
            self.table.entries.last()
        )
    }

    /// Describes the first thing that has not recovered; `None` if everything has.
    pub fn unrecovered(&self) -> Option<String> {
        let state = &self.table.state;
        if let Some(unserved) = (0..UNITS).map(UnitId).find_map(|unit| self.unserved(unit)) {
            return Some(unserved);
        }
        for (index, process) in self.nodes.iter().enumerate() {
            let now = process.clock.at(self.t);
            let view = process.view.as_ref();
            if !view.is_some_and(|view| view.is_ready(now) && view.has_lease(now)) {
                return Some(format!("daemon {index} is not ready"));
            }
        }
        if state.daemons.len() != self.nodes.len() {
            return Some(format!("the roster has {} daemons", state.daemons.len()));
        }
        if state.open_rosters.len() != 1 {
            return Some(format!("{} rosters are open", state.open_rosters.len()));
        }
        None
    }
}
