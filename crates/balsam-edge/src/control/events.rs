//! Structured log events of the control path.

use balsam_decide::directory::{DiscoveryNotice, DiscoveryOutcome};
use balsam_decide::keys::{
    AssignerOutput, Commit, CommitResult, FreedBy, FreedRange, OrderKind, OrderResult,
};
use balsam_types::{KeyRange, ServiceName, TimeMs, UpstreamName, ZoneName};
use serde::Serialize;

/// A log event of the control path. The kind and the fields give the reason for a decision.
#[derive(Debug, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub(super) enum ControlEvent<'a> {
    /// A version of the configuration was adopted.
    Configured { version: u64, routes: usize },
    /// A version of the configuration was ignored because a newer one is in force.
    ConfigIgnored { version: u64, in_force: u64 },
    /// The operator has asked for the evacuation of a zone. The store acknowledged that at most
    /// `age_ms` ago, if that is known. Upstreams of the zone get requests for keys that they own for
    /// another `owners_left_ms`.
    ZoneEvacuated {
        zone: &'a ZoneName,
        age_ms: Option<u64>,
        owners_left_ms: u64,
    },
    /// The operator has ended the evacuation of a zone, which was known for `known_ms`.
    ZoneTakenBack { zone: &'a ZoneName, known_ms: u64 },
    /// The number of keys whose owner is in an evacuated zone has changed.
    EvacuatingKeys { keys: u64 },
    /// A row of the list of upstreams was applied, or ignored because a newer one is known.
    Upstream {
        upstream: &'a UpstreamName,
        state: &'static str,
        born: u64,
        version: u64,
        source: &'static str,
        kept_ms: Option<u64>,
    },
    /// The store cannot return the changes that this daemon missed; it reads the whole table again.
    HistoryLost {
        table: &'static str,
        cause: &'static str,
    },
    /// The store was restored from an older copy, and the table was read again.
    Restored { table: &'static str, era: u16 },
    /// A row could not be decoded and was ignored.
    RowUnreadable {
        table: &'static str,
        key: &'a str,
        reason: &'a str,
    },
    /// Calls to the store began to fail.
    StoreLost { table: &'static str, error: String },
    /// The store responds again.
    StoreBack {
        table: &'static str,
        version: u64,
        lost_ms: u64,
    },
    /// The tables may be too old to serve requests from, so requests wait.
    Outdated {
        age_ms: u64,
        /// Time since the leader was last heard of.
        leader_silent_ms: Option<u64>,
        is_behind: bool,
    },
    /// The tables are known to be current again, or the store does not respond.
    Current { held_ms: u64, age_ms: u64 },
    /// A snapshot from the leader was applied because the data did not arrive from the store.
    SnapshotTaken { topic: String, version: u64 },
    /// A request is suspected of crashing upstreams. It is refused if `refused_ms` is present.
    Suspect {
        fingerprint: String,
        crashed: Option<&'a UpstreamName>,
        crashes: usize,
        source: &'static str,
        refused_ms: Option<u64>,
    },
    /// A connection reset while an upstream processed a suspected request was not counted as a
    /// crash.
    CrashIgnored {
        fingerprint: String,
        crashed: &'a UpstreamName,
        born: u64,
        took_ms: u64,
        reason: &'static str,
    },
    /// An upstream has served a request that was suspected.
    SuspectCleared { fingerprint: String, crashes: usize },
    /// This daemon tries to become the leader.
    TakeLead { expected: u64 },
    /// A list of the daemons that keep the room of upstreams was adopted.
    Keepers {
        lead: u64,
        number: u64,
        keepers: usize,
    },
    /// This daemon has become the leader or has ceased to be it.
    Leading { leading: bool },
    /// A commit of assignments was started.
    Assign {
        service: &'a ServiceName,
        expected: u64,
        ranges: usize,
        moving: usize,
    },
    /// A commit of assignments or of the leader row has ended.
    Committed { result: &'static str, version: u64 },
    /// The next owners hold the key ranges that were moved to them.
    Moved {
        service: &'a ServiceName,
        moves: usize,
    },
    /// A former owner of a moving range holds none of its keys any more, so that the next owner is
    /// granted them. `responder` is the upstream that shows it, if it is not the former owner.
    Freed {
        service: &'a ServiceName,
        range: String,
        fence: u64,
        former: &'a UpstreamName,
        born: u64,
        evidence: &'static str,
        responder: Option<&'a UpstreamName>,
    },
    /// An order to an upstream, a grant or a release of a key range, has ended.
    ///
    /// Only the first grant of a moving range is logged with the result `granted`.
    Ordered {
        upstream: &'a UpstreamName,
        range: String,
        fence: u64,
        order: &'static str,
        result: &'static str,
        took_ms: u64,
        /// The upstream that answers at the address instead.
        #[serde(skip_serializing_if = "Option::is_none")]
        responder: Option<&'a UpstreamName>,
    },
}

impl ControlEvent<'_> {
    /// Writes the event to the log.
    pub(super) fn emit(&self) {
        balsam_log::decision(self);
    }
}

/// Logs a commit that is about to be sent.
pub(super) fn commit_started(output: &AssignerOutput) {
    match output {
        AssignerOutput::Commit(Commit::TakeLead { expected, .. }) => {
            ControlEvent::TakeLead {
                expected: expected.0,
            }
            .emit();
        }
        AssignerOutput::Commit(Commit::Assign {
            expected, ranges, ..
        }) => ControlEvent::Assign {
            service: &ranges.service,
            expected: expected.0,
            ranges: ranges.assignments.len(),
            moving: ranges
                .assignments
                .iter()
                .filter(|assignment| assignment.is_moving())
                .count(),
        }
        .emit(),
        AssignerOutput::Order(_)
        | AssignerOutput::Reload
        | AssignerOutput::Confirm
        | AssignerOutput::Moved { .. } => {}
    }
}

/// Source of a row of the list of upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RowSource {
    /// Changes that this daemon read from the store.
    Store,
    /// The whole list that this daemon read from the store.
    List,
    /// Changes that the leader has forwarded.
    Leader,
    /// A snapshot of the whole list from the leader.
    Snapshot,
    /// A configuration that names other services than the one before.
    Config,
    /// The time limit of an entry that was kept after its removal or expiry has passed.
    Clock,
}

impl RowSource {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::List => "list",
            Self::Leader => "leader",
            Self::Snapshot => "snapshot",
            Self::Config => "config",
            Self::Clock => "clock",
        }
    }
}

/// Logs what was done with a row of the list of upstreams.
pub(super) fn upstream(now: TimeMs, notice: &DiscoveryNotice, source: RowSource) {
    let kept_ms = match notice.outcome {
        DiscoveryOutcome::Kept { until } => Some(until.since(now)),
        _ => None,
    };
    ControlEvent::Upstream {
        upstream: &notice.upstream,
        state: notice.outcome.as_str(),
        born: notice.born.0,
        version: notice.version,
        source: source.as_str(),
        kept_ms,
    }
    .emit();
}

/// Logs the result of a commit.
pub(super) fn committed(result: CommitResult) {
    let (result, version) = match result {
        CommitResult::Done(version) => ("done", version.0),
        CommitResult::Conflict => ("conflict", 0),
        CommitResult::Failed => ("failed", 0),
        CommitResult::Unknown => ("unknown", 0),
    };
    ControlEvent::Committed { result, version }.emit();
}

/// Logs that a former owner of a range holds none of its keys any more.
pub(super) fn freed(freed: &FreedRange) {
    let responder = match &freed.by {
        FreedBy::Successor(successor) => Some(successor),
        FreedBy::Release | FreedBy::Expiry => None,
    };
    ControlEvent::Freed {
        service: &freed.service,
        range: freed.range.to_string(),
        fence: freed.fence.0,
        former: &freed.former.upstream,
        born: freed.former.born.0,
        evidence: freed.by.as_str(),
        responder,
    }
    .emit();
}

/// An order that was sent and has no result yet, as it will be logged.
#[derive(Clone, Debug)]
pub(super) struct PendingOrder {
    pub(super) upstream: UpstreamName,
    pub(super) range: KeyRange,
    pub(super) fence: u64,
    pub(super) kind: OrderKind,
    pub(super) ends_move: bool,
    pub(super) decided_at: TimeMs,
}

/// Logs the result of an order. Of the acknowledged grants, only those that let the next owner of a
/// moving range hold its keys are logged, because each renewal ends in one as well.
pub(super) fn ordered(now: TimeMs, pending: &PendingOrder, result: &OrderResult) {
    let order = match pending.kind {
        OrderKind::Grant { .. } => "grant",
        OrderKind::Release => "release",
    };
    let responder = match result {
        OrderResult::Ended { successor, .. } => Some(successor),
        _ => None,
    };
    let result = match result {
        OrderResult::Granted if !pending.ends_move => return,
        OrderResult::Granted => "granted",
        OrderResult::Released { .. } => "released",
        OrderResult::Fenced => "fenced",
        OrderResult::Ended { .. } => "ended",
        OrderResult::Unreached => "unreached",
        OrderResult::Refused { .. } => "refused",
        OrderResult::NotSent => "not-sent",
        OrderResult::NoAnswer => "no-answer",
    };
    let range = pending.range.to_string();
    ControlEvent::Ordered {
        upstream: &pending.upstream,
        range,
        fence: pending.fence,
        order,
        result,
        took_ms: now.since(pending.decided_at),
        responder,
    }
    .emit();
}
