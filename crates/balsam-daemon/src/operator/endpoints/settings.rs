//! The endpoints for the settings tree.

use crate::operator::OperatorContext;
use crate::operator::query::Query;
use balsam_decide::node::{OperatorCommand, View};
use balsam_types::settings::NodeEdit;
use balsam_wire::operator::{
    CommandResponse, EditRequest, ErrorResponse, ExplainResponse, NodeBody, SettingsResponse,
};

/// Explains the settings in effect at a settings node: one setting if the query has `key`, all of
/// them otherwise.
pub(crate) fn explain(view: &View, mut query: Query) -> Result<ExplainResponse, ErrorResponse> {
    let path = query.require("path", "the path of a settings node")?;
    let key = query.take("key");
    query.expect_empty()?;
    let state = &view.state;
    ExplainResponse::of(state.epoch, &state.settings, &path, key.as_deref())
}

/// Lists the nodes of the settings tree.
pub(crate) fn settings(view: &View) -> SettingsResponse {
    let nodes = view.state.settings.nodes();
    SettingsResponse {
        epoch: view.state.epoch,
        nodes: nodes
            .map(|(path, node)| NodeBody::new(path, node))
            .collect(),
    }
}

/// Edits nodes of the settings tree; either all edits take effect or none.
pub(crate) async fn edit<C>(
    context: &OperatorContext<C>,
    body: EditRequest,
) -> Result<CommandResponse, ErrorResponse> {
    if body.edits.is_empty() {
        return Err(ErrorResponse::bad_field("edits", "[]", "at least one edit"));
    }
    let edits: Result<Vec<NodeEdit>, _> = body.edits.into_iter().map(TryInto::try_into).collect();
    let command = OperatorCommand::Edit {
        edits: edits?,
        wait: body.wait,
    };
    context.command(command).await
}
