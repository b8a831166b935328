//! Removals from the roster, the closing of replaced rosters, and the takeover of the placer role.

use super::PlacerContext;
use balsam_types::control::{Change, DaemonInfo, RemovalReason};
use balsam_types::timing::{REMOVE_AFTER_MS, SUSPECT_AFTER_MS};
use balsam_types::{Incarnation, KeyHash, TimeMs};

/// Removes the daemons that have not been heard from for [`REMOVE_AFTER_MS`].
pub(super) fn remove_unresponsive(context: &PlacerContext<'_>) -> Option<Change> {
    let is_unresponsive = |incarnation: &&Incarnation| {
        context.membership.silence_ms(context.now, incarnation) >= REMOVE_AFTER_MS
    };
    let daemons = context.state.daemons.keys();
    let incarnations: Vec<Incarnation> = daemons.filter(is_unresponsive).copied().collect();
    (!incarnations.is_empty()).then_some(Change::DaemonsRemoved {
        incarnations,
        reason: RemovalReason::Silent,
    })
}

/// Closes the rosters that a newer one has replaced, once every lease of an epoch before the newer
/// roster has expired.
pub(super) fn close_rosters(context: &PlacerContext<'_>) -> Option<Change> {
    let expired_before = context.adoption.lapsed(context.now);
    let mut newer = context.state.open_rosters.iter().skip(1);
    newer
        .any(|roster| roster.since <= expired_before)
        .then_some(Change::RostersClosed {
            through: expired_before,
        })
}

/// Returns whether the placer is missing or suspected and this daemon is to replace it.
///
/// A new placer is not replaced within [`SUSPECT_AFTER_MS`]. Otherwise daemons that cannot reach
/// each other but all reach the shared table would replace each other at every table read.
pub(super) fn should_take_over(context: &PlacerContext<'_>, placer_since: TimeMs) -> bool {
    if let Some(placer) = context.state.placer {
        let is_new = context.now.since(placer_since) < SUSPECT_AFTER_MS;
        if is_new || !context.membership.is_suspected(context.now, &placer) {
            return false;
        }
    }
    let daemons = context.state.daemons.values();
    let candidates = daemons.filter(|daemon| context.is_available(daemon));
    let next = candidates.max_by_key(|daemon| takeover_priority(daemon));
    next.is_some_and(|daemon| daemon.incarnation == context.me)
}

/// Returns the priority of a daemon as the next placer.
///
/// It depends on the incarnation alone, so that daemons with the same candidates choose the same
/// one.
fn takeover_priority(daemon: &DaemonInfo) -> u64 {
    KeyHash::of(daemon.incarnation.0.to_le_bytes()).0
}
