//! Policies, names and output filters that several tests share.

#![allow(dead_code, reason = "each test file uses its own part of this module")]

use balsam_decide::dispatch::{DispatchOutput, DispatchPolicy, QueuedRequest, Ticket};
use balsam_decide::settings::RankPolicy;
use balsam_types::{KeyHash, MemberName, NotRunReason, RankName, TimeMs, UnitId};

/// Creates a rank name.
pub fn rank(name: &str) -> RankName {
    RankName::new(name).expect("rank name")
}

/// Creates a member name.
pub fn member(name: &str) -> MemberName {
    MemberName::new(name).expect("member name")
}

/// Creates the policy of a rank.
pub fn rank_policy(priority: u64, min_slots: u32, max_slots: u32, queue_max: u64) -> RankPolicy {
    RankPolicy {
        priority,
        orders: false,
        min_slots,
        max_slots,
        deadline_ms: 2_000,
        queue_max,
        entry_max_requests: 1_024,
        body_max_bytes: 1 << 20,
        retry_budget_percent: 10,
        order_group_ms: 20,
    }
}

/// Creates the policy of an upstream whose members all have the same weight.
pub fn policy(slots: u32, ranks: &[(&str, RankPolicy)]) -> DispatchPolicy {
    let entries = ranks
        .iter()
        .map(|(name, policy)| (rank(name), policy.clone()));
    DispatchPolicy {
        slots,
        ranks: entries.collect(),
        ..DispatchPolicy::default()
    }
}

/// Creates a request whose unit and key are derived from its ticket.
pub fn request(ticket: u64, rank_name: &str, member_name: &str, deadline: u64) -> QueuedRequest {
    QueuedRequest {
        ticket: Ticket(ticket),
        rank: rank(rank_name),
        member: member(member_name),
        unit: UnitId(ticket % 4),
        key: KeyHash(ticket % 4),
        deadline: TimeMs(deadline),
    }
}

/// Returns the tickets of the requests that start.
pub fn started(outputs: &[DispatchOutput]) -> Vec<u64> {
    let start = |output: &DispatchOutput| match output {
        DispatchOutput::Start { ticket } => Some(ticket.0),
        DispatchOutput::Refuse { .. } => None,
    };
    outputs.iter().filter_map(start).collect()
}

/// Returns the tickets of the requests that are refused for the reason `wanted`.
pub fn refused(outputs: &[DispatchOutput], wanted: NotRunReason) -> Vec<u64> {
    let refuse = |output: &DispatchOutput| match output {
        DispatchOutput::Refuse { ticket, reason } if *reason == wanted => Some(ticket.0),
        DispatchOutput::Refuse { .. } | DispatchOutput::Start { .. } => None,
    };
    outputs.iter().filter_map(refuse).collect()
}
