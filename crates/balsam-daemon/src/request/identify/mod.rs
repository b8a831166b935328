//! The filter that finds out what a request asks for.
//!
//! See [the design page, section 9.1](../../../../../docs/design.md#91-callers-http11).

mod fields;
mod target;

use super::clock::now;
use actix_http::Version;
use balsam_decide::control::ControlState;
use balsam_decide::settings::RankPolicy;
use balsam_types::{NotRunReason, RequestHead, RequestKey, TimeMs};
use balsam_wire::upstream::headers;
use fields::{passed_on, text_field};
use std::sync::Arc;
use target::split_target;

/// A request that is understood, without its body.
#[derive(Clone, Debug)]
pub(crate) struct Identified {
    /// What is asked for.
    pub(crate) head: RequestHead,
    /// The policy of its rank.
    pub(crate) policy: RankPolicy,
    /// The weight of its member.
    pub(crate) weight: u64,
    /// When the caller stops waiting.
    pub(crate) deadline: TimeMs,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
}

/// The greatest deadline that a caller may ask for, in milliseconds.
const DEADLINE_MAX_MS: u64 = 3_600_000;

/// Identifies a request by its head.
pub(crate) fn identify(
    state: &ControlState,
    head: &actix_http::RequestHead,
    header_max_bytes: usize,
) -> Result<Identified, NotRunReason> {
    // The end of an older caller's answer is the end of its connection, which proves nothing.
    if head.version != Version::HTTP_11 {
        return Err(NotRunReason::BadRequest);
    }
    let (service, key) = split_target(&head.uri)?;
    let settings = &state.settings;
    if !settings.has_service(&service) {
        return Err(NotRunReason::UnknownService);
    }
    let policy = settings.service_policy(&service);
    let service_policy = policy.ok_or(NotRunReason::InvalidSettings)?;
    let rank = text_field(head, headers::RANK)?.unwrap_or(service_policy.default_rank);
    let policy = settings.rank_policy(&service, &rank);
    let policy = policy.ok_or(NotRunReason::UnknownRank)?;
    let member = match text_field(head, headers::MEMBER)? {
        Some(member) => member,
        None => fields::anonymous()?,
    };
    let order_id = text_field(head, headers::IDEMPOTENCY_KEY)?;
    if policy.orders && order_id.is_none() {
        return Err(NotRunReason::MissingOrderId);
    }
    let remaining_ms = match fields::number_field(head, headers::DEADLINE_MS)? {
        Some(asked_ms) if (1..=DEADLINE_MAX_MS).contains(&asked_ms) => asked_ms,
        Some(_) => return Err(NotRunReason::BadRequest),
        None => policy.deadline_ms,
    };
    let weight = settings.member_policy(&service, &rank, &member).weight;
    let idempotent = !policy.orders && head.method.is_idempotent();
    Ok(Identified {
        weight,
        deadline: now().after(remaining_ms),
        idempotent,
        policy,
        head: RequestHead {
            service,
            rank,
            member,
            key: RequestKey::new(key),
            order_id,
            method: Arc::from(head.method.as_str()),
            target: Arc::from(target::target_text(&head.uri)),
            headers: passed_on(head, header_max_bytes)?,
            remaining_ms,
            body_length_bytes: fields::body_length(head)?,
        },
    })
}
