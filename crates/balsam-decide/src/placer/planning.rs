//! Conversion of planner steps to changes of the control state.

use super::{Placer, PlacerContext};
use crate::placement::{PlanInput, PlanStep, PlanUpstream, plan};
use balsam_types::control::{Change, MoveReason, UnitMove, UpstreamStatus};
use balsam_types::{Map, ServiceName, TimeMs, UnitId, UpstreamName, new_map};

/// The minimum time between two plans of balancing moves, in milliseconds.
const PLAN_PERIOD_MS: u64 = 1_000;

/// The window over which balancing moves are counted for the limit per minute, in milliseconds.
const MOVE_WINDOW_MS: u64 = 60_000;

/// Plans for services that have units without an available owner, without waiting for the period.
///
/// If no upstream can take the units, nothing is planned again until the control state changes.
pub(super) fn plan_unowned(placer: &mut Placer, context: &PlacerContext<'_>) -> Option<Change> {
    if placer.unowned_planned_epoch == Some(context.state.epoch) {
        return None;
    }
    let mut services = placer.summary.unowned.iter();
    let change = services.find_map(|service| {
        let planned = plan_service(placer, context, service)?;
        (planned.0 == Urgency::Unowned).then_some(planned.1)
    });
    if change.is_none() {
        placer.unowned_planned_epoch = Some(context.state.epoch);
    }
    change
}

/// Plans for all services, at most once in [`PLAN_PERIOD_MS`], and returns the most urgent change.
///
/// A moving unit has no owner until the shared table has accepted two commits, for the start and
/// the end of the move. Moves that can wait therefore start only while the table answers quickly.
pub(super) fn plan_balance(placer: &mut Placer, context: &PlacerContext<'_>) -> Option<Change> {
    if context.now < placer.next_plan_at {
        return None;
    }
    placer.next_plan_at = context.now.after(PLAN_PERIOD_MS);
    let services = context.state.settings.services();
    let planned = services.filter_map(|service| plan_service(placer, context, service));
    let due =
        planned.filter(|(urgency, _)| *urgency == Urgency::Unowned || context.table_is_responsive);
    due.min_by_key(|(urgency, _)| *urgency)
        .map(|(_, change)| change)
}

/// The urgency of a change, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// The change gives an owner to units without an available one.
    Unowned,
    /// The change splits or merges hot keys.
    HotKeys,
    /// The change balances load or fills a new upstream.
    Balance,
}

fn plan_service(
    placer: &Placer,
    context: &PlacerContext<'_>,
    service: &ServiceName,
) -> Option<(Urgency, Change)> {
    let policy = context.state.settings.service_policy(service)?;
    let mut unit_loads = new_map();
    let upstreams = plan_upstreams(placer, context, service, &mut unit_loads);
    let no_placement = crate::control::ServicePlacement::default();
    let placement = context.state.services.get(service);
    let input = PlanInput {
        now: context.now,
        policy: &policy,
        upstreams: &upstreams,
        placement: placement.map_or(&no_placement, |placement| placement),
        unit_loads: &unit_loads,
        recent_moves: recent_moves(placer, context.now, service),
    };
    batch_steps(service, plan(&input))
}

fn plan_upstreams(
    placer: &Placer,
    context: &PlacerContext<'_>,
    service: &ServiceName,
    unit_loads: &mut Map<UnitId, f64>,
) -> Vec<PlanUpstream> {
    let service_upstreams = context.state.upstreams.values();
    let service_upstreams = service_upstreams.filter(|upstream| upstream.service == *service);
    let mut upstreams = Vec::new();
    for upstream in service_upstreams {
        let since = placer.status_since.get(&upstream.name);
        let report = placer.reports.load(context.now, &upstream.name);
        if let Some(report) = report {
            for (unit, load) in &report.heavy_units {
                *unit_loads.entry(*unit).or_insert(0.0) += load;
            }
        }
        upstreams.push(PlanUpstream {
            name: upstream.name.clone(),
            status: upstream.status,
            slots: upstream.slots,
            load: report.map_or(0.0, |report| report.load),
            active_since: match since {
                Some((UpstreamStatus::Active, since)) => *since,
                _ => context.now,
            },
            heavy_keys: report.map_or_else(Vec::new, |report| report.heavy_keys.clone()),
        });
    }
    upstreams
}

/// Combines the steps of the most urgent kind into one change.
///
/// The other steps are planned again after that change.
fn batch_steps(service: &ServiceName, steps: Vec<PlanStep>) -> Option<(Urgency, Change)> {
    let mut units: Vec<(UnitId, UpstreamName)> = Vec::new();
    let mut urgent: Vec<UnitMove> = Vec::new();
    let mut balancing: Vec<UnitMove> = Vec::new();
    let mut split = Vec::new();
    let mut merged = Vec::new();
    for step in steps {
        match step {
            PlanStep::Assign { unit, to } => units.push((unit, to)),
            PlanStep::Move(unit_move) if is_balancing(&unit_move) => balancing.push(unit_move),
            PlanStep::Move(unit_move) => urgent.push(unit_move),
            PlanStep::Split { key, to } => split.push((key, to)),
            PlanStep::Merge { key } => merged.push(key),
        }
    }
    let service = service.clone();
    if !units.is_empty() {
        return Some((Urgency::Unowned, Change::UnitsOwned { service, units }));
    }
    if !urgent.is_empty() {
        let moves = urgent;
        return Some((Urgency::Unowned, Change::UnitsMoving { service, moves }));
    }
    if !split.is_empty() {
        let keys = split;
        return Some((Urgency::HotKeys, Change::HotKeysSplit { service, keys }));
    }
    if !merged.is_empty() {
        let keys = merged;
        return Some((Urgency::HotKeys, Change::HotKeysMerged { service, keys }));
    }
    let moves = balancing;
    (!moves.is_empty()).then_some((Urgency::Balance, Change::UnitsMoving { service, moves }))
}

const fn is_balancing(unit_move: &UnitMove) -> bool {
    match unit_move.reason {
        MoveReason::Balance | MoveReason::HotKey => true,
        MoveReason::OwnerLost | MoveReason::OwnerDraining => false,
    }
}

/// Counts the balancing moves of an adopted change towards the limit per minute.
pub(super) fn count_moves(placer: &mut Placer, now: TimeMs, change: &Change) {
    let (service, count) = match change {
        Change::UnitsMoving { service, moves } => {
            let balancing = moves.iter().filter(|unit_move| is_balancing(unit_move));
            (service, balancing.count())
        }
        Change::HotKeysSplit { service, keys } => (service, keys.len()),
        Change::HotKeysMerged { service, keys } => (service, keys.len()),
        _ => return,
    };
    let recorded = &mut placer.balance_moves;
    recorded.retain(|(time, ..)| now.since(*time) < MOVE_WINDOW_MS);
    if count > 0 {
        recorded.push((now, service.clone(), count as u64));
    }
}

fn recent_moves(placer: &Placer, now: TimeMs, service: &ServiceName) -> u64 {
    let moves = placer.balance_moves.iter();
    moves
        .filter(|(time, moved_in, _)| moved_in == service && now.since(*time) < MOVE_WINDOW_MS)
        .map(|(_, _, count)| count)
        .sum()
}
