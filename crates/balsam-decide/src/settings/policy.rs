//! The policies of services, ranks and members, resolved from the settings tree.

use super::SettingsTree;
use balsam_types::settings::{NodePath, SettingKey, SettingValue};
use balsam_types::{MemberName, RankName, ServiceName};

/// The policy of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServicePolicy {
    /// The number of slices into which the key space is divided.
    pub slices: u64,
    /// The rank of requests that do not specify one.
    pub default_rank: RankName,
    /// The number of connections to each upstream.
    pub connections: u64,
    /// The number of crashed connections after which equal requests are refused.
    pub quarantine_crashes: u32,
    /// How long equal requests are refused after that, in milliseconds.
    pub quarantine_ttl_ms: u64,
    /// The gain that a move must bring, in percent of the mean load.
    pub move_margin_percent: u64,
    /// The number of units that balancing may move per minute.
    pub moves_per_minute: u64,
    /// The share of an upstream's load above which a key becomes a unit of its own, in percent.
    pub hot_key_percent: u64,
    /// The time over which a new or returned upstream is filled, in milliseconds.
    pub warmup_ms: u64,
}

/// The policy of a rank within a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RankPolicy {
    /// The priority; ranks with lower numbers are served first.
    pub priority: u64,
    /// Whether requests are non-idempotent and need an order id.
    pub orders: bool,
    /// The number of slots of each upstream that are guaranteed to this rank while it has work.
    pub min_slots: u32,
    /// The maximum number of slots of each upstream that this rank can hold at once.
    pub max_slots: u32,
    /// The deadline of requests that do not specify one, in milliseconds.
    pub deadline_ms: u64,
    /// The maximum number of requests that wait at one dispatcher.
    pub queue_max: u64,
    /// The maximum number of requests that one entry daemon holds at once.
    pub entry_max_requests: u64,
    /// The maximum size of a request body, in bytes.
    pub body_max_bytes: u64,
    /// The maximum number of retries as a share of requests, in percent.
    pub retry_budget_percent: u64,
    /// The shortest time between two transactions of order claims, in milliseconds.
    pub order_group_ms: u64,
}

/// The policy of a member (workspace) within a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberPolicy {
    /// The weight of the member relative to other members.
    pub weight: u64,
}

impl SettingsTree {
    /// Returns whether the service exists.
    pub fn has_service(&self, service: &ServiceName) -> bool {
        self.node(&NodePath::Service(service.clone())).is_some()
    }

    /// Returns the services in the order of their names.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.nodes().filter_map(|(path, _)| match path {
            NodePath::Service(service) => Some(service),
            _ => None,
        })
    }

    /// Returns the ranks of a service in the order of their names.
    pub fn ranks<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a RankName> {
        self.nodes().filter_map(move |(path, _)| match path {
            NodePath::Rank(parent, rank) if parent == service => Some(rank),
            _ => None,
        })
    }

    /// Returns the policy of a service, or `None` if it does not exist.
    pub fn service_policy(&self, service: &ServiceName) -> Option<ServicePolicy> {
        let path = NodePath::Service(service.clone());
        self.node(&path)?;
        let number = |key| self.number(&path, key);
        let SettingValue::Text(rank) = self.resolve(&path, SettingKey::DefaultRank).value else {
            return None;
        };
        Some(ServicePolicy {
            slices: number(SettingKey::Slices).max(1),
            default_rank: RankName::new(rank).ok()?,
            connections: number(SettingKey::Connections),
            quarantine_crashes: number(SettingKey::QuarantineCrashes) as u32,
            quarantine_ttl_ms: number(SettingKey::QuarantineTtlMs),
            move_margin_percent: number(SettingKey::MoveMarginPercent),
            moves_per_minute: number(SettingKey::MovesPerMinute),
            hot_key_percent: number(SettingKey::HotKeyPercent),
            warmup_ms: number(SettingKey::WarmupMs),
        })
    }

    /// Returns the policy of a rank, or `None` if it does not exist.
    pub fn rank_policy(&self, service: &ServiceName, rank: &RankName) -> Option<RankPolicy> {
        let path = NodePath::Rank(service.clone(), rank.clone());
        self.node(&path)?;
        let number = |key| self.number(&path, key);
        Some(RankPolicy {
            priority: number(SettingKey::Priority),
            orders: self.flag(&path, SettingKey::Orders),
            min_slots: number(SettingKey::MinSlots) as u32,
            max_slots: number(SettingKey::MaxSlots) as u32,
            deadline_ms: number(SettingKey::DeadlineMs),
            queue_max: number(SettingKey::QueueMax),
            entry_max_requests: number(SettingKey::EntryMaxRequests),
            body_max_bytes: number(SettingKey::BodyMaxBytes),
            retry_budget_percent: number(SettingKey::RetryBudgetPercent),
            order_group_ms: number(SettingKey::OrderGroupMs),
        })
    }

    /// Returns the policies of all ranks of all services.
    pub fn rank_policies(&self) -> impl Iterator<Item = (&ServiceName, &RankName, RankPolicy)> {
        self.nodes().filter_map(|(path, _)| match path {
            NodePath::Rank(service, rank) => {
                Some((service, rank, self.rank_policy(service, rank)?))
            }
            _ => None,
        })
    }

    /// Returns the policy of a member; a member without a node inherits from its rank.
    pub fn member_policy(
        &self,
        service: &ServiceName,
        rank: &RankName,
        member: &MemberName,
    ) -> MemberPolicy {
        let path = NodePath::Member(service.clone(), rank.clone(), member.clone());
        MemberPolicy {
            weight: self.number(&path, SettingKey::Weight),
        }
    }
}
