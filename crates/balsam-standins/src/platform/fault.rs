//! Applies the fault switches to a request before it takes effect.

use super::PlatformRequest;
use super::state_task::StateHandle;
use crate::serve::{ConnectionCloser, unavailable};
use actix_http::Response;
use actix_http::body::BoxBody;
use balsam_wire::platform::OutageKind;
use std::time::Duration;

/// How long a request without an answer keeps its connection; callers give up long before.
const SILENCE: Duration = Duration::from_mins(2);

/// Delays, refuses or silences `request` as the switches say; `None` lets it pass.
pub(super) async fn fault(
    state: &StateHandle,
    request: &PlatformRequest,
    closer: &ConnectionCloser,
) -> Option<Response<BoxBody>> {
    if request.is_switch() {
        return None;
    }
    let delay_ms = state.faults().delay_ms;
    if delay_ms > 0 {
        actix_rt::time::sleep(Duration::from_millis(delay_ms)).await;
    }
    match state.faults().down {
        OutageKind::None => None,
        OutageKind::Refused => {
            state.count_faulted().await;
            Some(unavailable("the platform is out of service"))
        }
        OutageKind::Silent => {
            state.count_faulted().await;
            actix_rt::time::sleep(SILENCE).await;
            Some(closer.close().await)
        }
    }
}
