//! Resolves the dispatch limits of an upstream from the settings tree.

use balsam_decide::dispatch::DispatchPolicy;
use balsam_decide::settings::SettingsTree;
use balsam_types::control::UpstreamInfo;
use balsam_types::new_map;
use balsam_types::settings::{NodePath, SettingKey};

/// Resolves the slots, ranks and weights of `upstream`.
pub(super) fn resolve(settings: &SettingsTree, upstream: &UpstreamInfo) -> DispatchPolicy {
    let service = &upstream.service;
    let connections = settings
        .service_policy(service)
        .map_or(u64::MAX, |policy| policy.connections)
        .min(u64::from(upstream.connections));
    let mut policy = DispatchPolicy {
        // Each running request occupies one connection, so the connection limit also bounds the
        // slots.
        slots: u64::from(upstream.slots).min(connections) as u32,
        ranks: new_map(),
        weights: new_map(),
        default_weights: new_map(),
    };
    for rank in settings.ranks(service) {
        let Some(rank_policy) = settings.rank_policy(service, rank) else {
            continue;
        };
        let path = NodePath::Rank(service.clone(), rank.clone());
        let weight = settings.number(&path, SettingKey::Weight);
        policy.ranks.insert(rank.clone(), rank_policy);
        policy.default_weights.insert(rank.clone(), weight);
    }
    for (path, _) in settings.nodes() {
        if let NodePath::Member(member_service, rank, member) = path
            && member_service == service
        {
            let weight = settings.member_policy(member_service, rank, member).weight;
            policy
                .weights
                .insert((rank.clone(), member.clone()), weight);
        }
    }
    policy
}
