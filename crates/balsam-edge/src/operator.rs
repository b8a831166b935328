//! The operators' read-only API: the routing state of a daemon and the age of its data.
//!
//! See [the operations page](../../../docs/OPERATIONS.md#balsamctl).

use crate::clock::now;
use crate::view::{SyncStatus, View};
use balsam_http1::RequestHead;
use balsam_types::{Credential, DaemonName, Map, ServiceName, ShardKey, UpstreamName, new_map};
use balsam_wire::operator::{
    ENTRY_OWNER_PATH, ENTRY_PATH, ENTRY_UPSTREAMS_PATH, EntryOwnerResponse, EntryResponse,
    EntryUpstreamBody, EntryUpstreamsResponse, ErrorCode, ErrorResponse,
};
use serde::Serialize;
use std::sync::Arc;
use tokio::sync::watch;

/// Handler of the operators' requests; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct OperatorApi {
    pub(crate) daemon: DaemonName,
    /// Credential that operators must present. Without one all requests are refused.
    pub(crate) credential: Option<Credential>,
    pub(crate) views: watch::Receiver<Arc<View>>,
    pub(crate) sync_status: watch::Receiver<SyncStatus>,
}

impl OperatorApi {
    /// Returns the status and the body of the response to a request.
    pub(crate) fn answer(&self, head: &RequestHead) -> (u16, String) {
        let answer = self.check(head).and_then(|()| self.read(&head.target));
        match answer {
            Ok(body) => (200, body),
            Err(refusal) => (refusal.code.status(), encode(&refusal)),
        }
    }

    fn check(&self, head: &RequestHead) -> Result<(), ErrorResponse> {
        let presented = head.fields.get("authorization");
        let presented = presented.and_then(|value| value.strip_prefix(b"Bearer "));
        let expected = self.credential.as_ref();
        let credentials = expected.zip(presented);
        if credentials.is_some_and(|(expected, presented)| expected.matches(presented)) {
            return Ok(());
        }
        Err(ErrorResponse::new(
            ErrorCode::BadCredential,
            "the bearer credential is missing or wrong",
            "send the operator credential of the daemon's settings file",
        ))
    }

    fn read(&self, target: &[u8]) -> Result<String, ErrorResponse> {
        let view = Arc::clone(&self.views.borrow());
        let current_status = self.sync_status.borrow().clone();
        let knowledge_age_ms = current_status.knowledge_age_ms(now());
        let target = String::from_utf8_lossy(target);
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        match path {
            ENTRY_PATH => Ok(encode(&self.entry(&view, current_status, knowledge_age_ms))),
            ENTRY_UPSTREAMS_PATH => Ok(encode(&upstreams(&view, knowledge_age_ms))),
            ENTRY_OWNER_PATH => owner(&view, query, knowledge_age_ms).map(|owner| encode(&owner)),
            _ => Err(ErrorResponse::new(
                ErrorCode::NotFound,
                format!("there is no path {path}"),
                format!("use {ENTRY_PATH}, {ENTRY_UPSTREAMS_PATH} or {ENTRY_OWNER_PATH}"),
            )),
        }
    }

    fn entry(
        &self,
        view: &View,
        current_status: SyncStatus,
        knowledge_age_ms: u64,
    ) -> EntryResponse {
        let table = view.table.as_ref();
        EntryResponse {
            daemon: self.daemon.clone(),
            is_ready: view.is_ready(),
            config_version: table.map(|table| table.version().0),
            config_for_ms: table.map(|_| now().since(view.table_adopted_at)),
            knowledge_age_ms,
            leader: current_status.leader,
            daemons: view.daemons,
            upstreams: view.upstreams.len() as u64,
            suspects: view.suspects.refused() as u64,
        }
    }
}

fn upstreams(view: &View, knowledge_age_ms: u64) -> EntryUpstreamsResponse {
    let mut ranges: Map<UpstreamName, u64> = new_map();
    let assignments = view.ranges.values().flat_map(|ranges| &ranges.assignments);
    for assignment in assignments {
        *ranges.entry(assignment.owner.upstream.clone()).or_default() += 1;
    }
    let entries = view.upstreams.iter().map(|found| {
        let owned = ranges.get(&found.entry.name).copied().unwrap_or(0);
        EntryUpstreamBody::new(&found.entry, owned)
    });
    let mut upstreams: Vec<EntryUpstreamBody> = entries.collect();
    upstreams.sort_by(|a, b| a.name.cmp(&b.name));
    EntryUpstreamsResponse {
        knowledge_age_ms,
        upstreams,
    }
}

fn owner(
    view: &View,
    query: &str,
    knowledge_age_ms: u64,
) -> Result<EntryOwnerResponse, ErrorResponse> {
    let (mut service, mut key) = ("", "");
    for (name, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
        match name {
            "service" => service = value,
            "key" => key = value,
            _ => return Err(ErrorResponse::bad_field(name, value, "service, key")),
        }
    }
    let name = ServiceName::new(service)
        .map_err(|_| ErrorResponse::bad_field("service", service, "a name"))?;
    let number = key.parse();
    let key = number.map_err(|_| ErrorResponse::bad_field("key", key, "0 to 65535"))?;
    let found = view
        .ranges
        .get(&name)
        .and_then(|ranges| ranges.find(ShardKey(key)));
    let found = found.ok_or_else(|| {
        ErrorResponse::new(
            ErrorCode::NotFound,
            format!("no key of {name} has an owner"),
            "check the name; only services that are divided by key have owners",
        )
    })?;
    let owner = &found.owner;
    let believed = view.upstreams.get(&owner.upstream);
    Ok(EntryOwnerResponse {
        service: name,
        key: ShardKey(key),
        range: found.range,
        upstream: owner.upstream.clone(),
        born: owner.born,
        address: owner.address,
        fence: found.fence,
        former: found
            .former
            .iter()
            .map(|former| former.upstream.clone())
            .collect(),
        is_believed: believed.is_some_and(|believed| believed.entry.born == owner.born),
        knowledge_age_ms,
    })
}

/// Encodes a response body. The response types hold no values that JSON cannot express.
fn encode(answer: &impl Serialize) -> String {
    serde_json::to_string(answer).unwrap_or_else(|error| {
        log::error!("cannot encode response to an operator: {error}");
        String::new()
    })
}
