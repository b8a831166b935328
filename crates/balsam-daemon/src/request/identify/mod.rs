//! The filter that parses and validates a request's head.
//!
//! It determines the service, key, rank, member and deadline. See
//! [the design page, section 9.1](../../../../../docs/design.md#91-callers-http11).

mod fields;
mod target;

use super::clock::now;
use actix_http::Version;
use balsam_decide::control::ControlState;
use balsam_decide::settings::RankPolicy;
use balsam_types::{NotRunReason, RequestHead, RequestKey, TimeMs};
use balsam_wire::upstream::headers;
use fields::{forwarded_fields, text_field};
use std::sync::Arc;
use target::split_target;

/// A validated request, without its body.
#[derive(Clone, Debug)]
pub(crate) struct Identified {
    /// The head to forward to the upstream.
    pub(crate) head: RequestHead,
    /// The settings of the request's rank.
    pub(crate) policy: RankPolicy,
    /// The scheduling weight of the request's member.
    pub(crate) weight: u64,
    /// The time at which the caller stops waiting.
    pub(crate) deadline: TimeMs,
    /// Whether the request may safely run more than once.
    pub(crate) idempotent: bool,
}

/// The maximum deadline that a caller may request, in milliseconds.
const DEADLINE_MAX_MS: u64 = 3_600_000;

/// Validates a request's head against the control state.
pub(crate) fn identify(
    state: &ControlState,
    head: &actix_http::RequestHead,
    header_max_bytes: usize,
) -> Result<Identified, NotRunReason> {
    // An HTTP/1.0 answer may end with its connection, which would not show the caller whether the
    // answer is complete.
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
        None => fields::anonymous_member()?,
    };
    let order_id = text_field(head, headers::IDEMPOTENCY_KEY)?;
    if policy.orders && order_id.is_none() {
        return Err(NotRunReason::MissingOrderId);
    }
    let remaining_ms = match fields::number_field(head, headers::DEADLINE_MS)? {
        Some(requested_ms) if (1..=DEADLINE_MAX_MS).contains(&requested_ms) => requested_ms,
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
            headers: forwarded_fields(head, header_max_bytes)?,
            remaining_ms,
            body_length_bytes: fields::body_length(head)?,
        },
    })
}
