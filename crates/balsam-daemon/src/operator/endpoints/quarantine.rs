//! The endpoints for quarantined requests.

use crate::operator::OperatorContext;
use crate::operator::query::Query;
use balsam_decide::node::{OperatorCommand, View};
use balsam_types::Fingerprint;
use balsam_wire::operator::{CommandResponse, ErrorResponse, IdText, QuarantineResponse};

/// Lists quarantined requests.
pub(crate) fn quarantine(view: &View) -> QuarantineResponse {
    QuarantineResponse::new(&view.state)
}

/// Removes a request from the quarantine, so that it is accepted again.
pub(crate) async fn clear_quarantine<C>(
    context: &OperatorContext<C>,
    mut query: Query,
) -> Result<CommandResponse, ErrorResponse> {
    let accepted = "the decimal fingerprint of an entry";
    let text = query.require("fingerprint", accepted)?;
    query.expect_empty()?;
    let id: IdText = text
        .parse()
        .map_err(|_| ErrorResponse::bad_field("fingerprint", text, accepted))?;
    let fingerprint = Fingerprint(id.0);
    context
        .command(OperatorCommand::ClearQuarantine { fingerprint })
        .await
}
