//! The endpoints for the roster and the adopted epochs.

use crate::operator::OperatorContext;
use balsam_decide::node::{OperatorCommand, View};
use balsam_types::{Incarnation, TimeMs};
use balsam_wire::operator::{
    CommandResponse, DaemonsResponse, EpochsResponse, ErrorResponse, ForgetRequest,
};

/// Lists the daemons of the roster.
pub(crate) fn daemons(view: &View) -> DaemonsResponse {
    DaemonsResponse::new(view)
}

/// Lists the epochs that the daemons have adopted.
pub(crate) fn epochs(view: &View, now: TimeMs) -> EpochsResponse {
    EpochsResponse::new(view, now)
}

/// Removes a daemon that is known to have failed from the roster.
pub(crate) async fn forget<C>(
    context: &OperatorContext<C>,
    body: ForgetRequest,
) -> Result<CommandResponse, ErrorResponse> {
    let incarnation = Incarnation(body.incarnation.0);
    context
        .command(OperatorCommand::Forget { incarnation })
        .await
}
