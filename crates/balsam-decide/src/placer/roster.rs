//! The roster and the placer's own succession.

use super::PlacerContext;
use balsam_types::control::{Change, DaemonInfo, RemovalReason};
use balsam_types::timing::{REMOVE_AFTER_MS, SUSPECT_AFTER_MS};
use balsam_types::{Incarnation, KeyHash, TimeMs};

/// Removes the daemons that have been silent for [`REMOVE_AFTER_MS`].
pub(super) fn remove_silent(context: &PlacerContext<'_>) -> Option<Change> {
    let is_silent = |incarnation: &&Incarnation| {
        context.membership.silence_ms(context.now, incarnation) >= REMOVE_AFTER_MS
    };
    let daemons = context.state.daemons.keys();
    let incarnations: Vec<Incarnation> = daemons.filter(is_silent).copied().collect();
    (!incarnations.is_empty()).then_some(Change::DaemonsRemoved {
        incarnations,
        reason: RemovalReason::Silent,
    })
}

/// Closes the rosters under which every right has lapsed.
pub(super) fn close(context: &PlacerContext<'_>) -> Option<Change> {
    let lapsed = context.adoption.lapsed(context.now);
    let mut later = context.state.open_rosters.iter().skip(1);
    later
        .any(|roster| roster.since <= lapsed)
        .then_some(Change::RostersClosed { through: lapsed })
}

/// Returns whether this daemon is the next candidate while the placer is missing or suspected.
///
/// A new placer is not replaced within [`SUSPECT_AFTER_MS`], so that daemons that cannot reach each other
/// but all reach the table do not replace each other at every read.
pub(super) fn should_take_over(context: &PlacerContext<'_>, placer_since: TimeMs) -> bool {
    if let Some(placer) = context.state.placer {
        let is_new = context.now.since(placer_since) < SUSPECT_AFTER_MS;
        if is_new || !context.membership.is_suspected(context.now, &placer) {
            return false;
        }
    }
    let daemons = context.state.daemons.values();
    let candidates = daemons.filter(|daemon| context.is_available(daemon));
    let next = candidates.max_by_key(|daemon| placer_weight(daemon));
    next.is_some_and(|daemon| daemon.incarnation == context.me)
}

fn placer_weight(daemon: &DaemonInfo) -> u64 {
    KeyHash::of(daemon.incarnation.0.to_le_bytes()).0
}
