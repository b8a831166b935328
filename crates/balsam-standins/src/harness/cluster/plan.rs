//! What a cluster consists of.

use balsam_types::settings::{NodeEdit, NodePath, SettingKey, SettingValue};
use balsam_types::{Epoch, RankName, ServiceName, UpstreamName, ZoneName};

/// One upstream of a cluster.
#[derive(Clone, Debug)]
pub struct UpstreamPlan {
    /// Its name.
    pub name: UpstreamName,
    /// The service that it serves.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests it runs at once.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
    /// Whether it checks grants.
    pub checks_grants: bool,
    /// Further arguments of its command line.
    pub arguments: Vec<String>,
}

/// One service of a cluster, as an operator creates it.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Its name.
    pub name: ServiceName,
    /// Its own settings.
    pub values: Vec<(SettingKey, SettingValue)>,
    /// Its ranks with their own settings.
    pub ranks: Vec<(RankName, Vec<(SettingKey, SettingValue)>)>,
}

impl ServicePlan {
    /// Returns the edits that create the service and its ranks.
    pub fn edits(&self) -> Vec<NodeEdit> {
        let service = self.name.clone();
        let service_edit = edit(NodePath::Service(service.clone()), &self.values);
        let rank_edit = |(rank, values): &(RankName, Vec<(SettingKey, SettingValue)>)| {
            edit(NodePath::Rank(service.clone(), rank.clone()), values)
        };
        std::iter::once(service_edit)
            .chain(self.ranks.iter().map(rank_edit))
            .collect()
    }
}

fn edit(path: NodePath, values: &[(SettingKey, SettingValue)]) -> NodeEdit {
    let new_node = NodeEdit::new(path, Epoch(0));
    values.iter().fold(new_node, |edit, (key, value)| {
        edit.with_value(*key, value.clone())
    })
}

/// A cluster.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// The zone of each daemon.
    pub daemon_zones: Vec<ZoneName>,
    /// The upstreams.
    pub upstreams: Vec<UpstreamPlan>,
    /// The services.
    pub services: Vec<ServicePlan>,
    /// How long a stopping daemon waits for requests in flight, in milliseconds.
    pub drain_ms: u64,
    /// The log level of the daemons.
    pub log_level: String,
}
