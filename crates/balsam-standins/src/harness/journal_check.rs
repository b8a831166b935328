//! Checks the journals of all upstreams of one service against the invariants.
//!
//! See [the design page, section 1.1](../../../../docs/design.md#11-invariants).

use balsam_types::{KeyHash, Map, MemberName, OrderId, TimeMs, UpstreamName};
use balsam_wire::upstream::{Execution, ExecutionEnd, JournalResponse};
use std::collections::{BTreeMap, BTreeSet};

/// Names an order; ids of different members never meet.
pub type OrderName = (Option<MemberName>, OrderId);

/// What callers were told of their orders.
#[derive(Clone, Debug, Default)]
pub struct OrderReports {
    /// Orders that were answered.
    pub answered: BTreeSet<OrderName>,
    /// Orders that were reported as not run, and never answered.
    pub not_run: BTreeSet<OrderName>,
}

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two upstreams ran requests on one key at the same time.
    Overlap {
        /// The key.
        key: String,
        /// The upstream whose execution began first.
        first: UpstreamName,
        /// The other upstream.
        second: UpstreamName,
        /// When the second execution began.
        at_ms: TimeMs,
    },
    /// A former owner began an execution after another upstream had begun one at a later epoch.
    StaleOwner {
        /// The key.
        key: String,
        /// The upstream whose execution was the earlier one.
        before: UpstreamName,
        /// The upstream that no longer owned the key.
        stale: UpstreamName,
        /// When the stale execution began.
        at_ms: TimeMs,
    },
    /// An order took effect more than once.
    OrderRepeated {
        /// The order.
        order: OrderName,
        /// The number of effects.
        effects: usize,
    },
    /// An order that was reported as not run took effect.
    NotRunTookEffect {
        /// The order.
        order: OrderName,
    },
    /// An order that was answered had no effect.
    AnsweredWithoutEffect {
        /// The order.
        order: OrderName,
    },
    /// A journal dropped executions, so the check is incomplete.
    JournalIncomplete {
        /// The upstream.
        upstream: UpstreamName,
        /// The number of dropped executions.
        dropped: u64,
    },
}

/// Checks the journals of the upstreams of one service, read on one machine after all work ended.
///
/// An execution counts as lasting until its last successful check of the grant: a frozen upstream
/// that resumes ends its executions late, but can no longer give them an effect.
pub fn check_journals(journals: &[JournalResponse], reports: &OrderReports) -> Vec<Violation> {
    let mut violations: Vec<Violation> = journals
        .iter()
        .filter(|journal| journal.dropped > 0)
        .map(|journal| Violation::JournalIncomplete {
            upstream: journal.upstream.clone(),
            dropped: journal.dropped,
        })
        .collect();
    violations.extend(overlaps(journals));
    violations.extend(order_violations(journals, reports));
    violations
}

fn overlaps(journals: &[JournalResponse]) -> Vec<Violation> {
    let mut by_key: Map<KeyHash, Vec<(&UpstreamName, &Execution)>> = Map::default();
    for journal in journals {
        for execution in &journal.executions {
            let entry = by_key.entry(execution.key_hash).or_default();
            entry.push((&journal.upstream, execution));
        }
    }
    by_key.into_values().flat_map(key_overlaps).collect()
}

fn key_overlaps(mut executions: Vec<(&UpstreamName, &Execution)>) -> Vec<Violation> {
    executions.sort_by_key(|(_, execution)| (execution.started_at_ms, execution.epoch));
    let mut violations = stale_owners(&executions);
    let mut lasting: BTreeMap<&UpstreamName, TimeMs> = BTreeMap::new();
    for (upstream, execution) in executions {
        let started = execution.started_at_ms;
        let other = lasting
            .iter()
            .find(|(other, until)| **other != upstream && **until > started);
        if let Some((first, _)) = other {
            violations.push(Violation::Overlap {
                key: execution.key.clone(),
                first: (*first).clone(),
                second: upstream.clone(),
                at_ms: started,
            });
        }
        let until = lasting.entry(upstream).or_default();
        *until = (*until).max(execution.last_check_ms);
    }
    violations
}

/// Finds executions that follow one of another upstream without a later epoch.
///
/// A request carries an epoch at which its upstream owned the key, and each change of the owner is
/// at a later epoch than all requests to the former owner.
fn stale_owners(executions: &[(&UpstreamName, &Execution)]) -> Vec<Violation> {
    let pairs = executions.iter().zip(executions.iter().skip(1));
    pairs
        .filter(|((before, earlier), (next, later))| before != next && later.epoch <= earlier.epoch)
        .map(|((before, _), (stale, execution))| Violation::StaleOwner {
            key: execution.key.clone(),
            before: (*before).clone(),
            stale: (*stale).clone(),
            at_ms: execution.started_at_ms,
        })
        .collect()
}

fn order_violations(journals: &[JournalResponse], reports: &OrderReports) -> Vec<Violation> {
    let mut effects: BTreeMap<OrderName, usize> = BTreeMap::new();
    let executions = journals.iter().flat_map(|journal| &journal.executions);
    for execution in executions.filter(|execution| has_effect(execution)) {
        if let Some(id) = &execution.order_id {
            let order = (execution.member.clone(), id.clone());
            *effects.entry(order).or_default() += 1;
        }
    }
    let repeated = effects
        .iter()
        .filter(|(_, effects)| **effects > 1)
        .map(|(order, effects)| Violation::OrderRepeated {
            order: order.clone(),
            effects: *effects,
        });
    let not_run = reports
        .not_run
        .iter()
        .filter(|order| effects.contains_key(order))
        .map(|order| Violation::NotRunTookEffect {
            order: order.clone(),
        });
    let answered = reports
        .answered
        .iter()
        .filter(|order| !effects.contains_key(order))
        .map(|order| Violation::AnsweredWithoutEffect {
            order: order.clone(),
        });
    repeated.chain(not_run).chain(answered).collect()
}

/// An execution that has not ended may still have had its effect.
const fn has_effect(execution: &Execution) -> bool {
    match execution.end {
        ExecutionEnd::Committed | ExecutionEnd::Running => true,
        ExecutionEnd::Aborted { after_effect, .. } => after_effect,
    }
}
