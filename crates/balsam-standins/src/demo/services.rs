//! The services of the demonstration.

use crate::harness::cluster::ServicePlan;
use balsam_types::settings::{SettingKey, SettingValue};
use balsam_types::{NameError, RankName, ServiceName};

/// Units of each service; few, so that their owners are assigned at once.
pub(super) const SLICES: u64 = 64;

/// A service with one rank of the same name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DemoService {
    /// Urgent reads.
    Lookup,
    /// Orders that run at most once.
    Order,
    /// Bulk reads.
    Download,
}

impl DemoService {
    pub(super) const ALL: [Self; 3] = [Self::Lookup, Self::Order, Self::Download];

    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Lookup => "lookup",
            Self::Order => "order",
            Self::Download => "download",
        }
    }

    const fn priority(self) -> u64 {
        match self {
            Self::Lookup => 10,
            Self::Order => 20,
            Self::Download => 30,
        }
    }

    pub(super) fn name(self) -> Result<ServiceName, NameError> {
        ServiceName::new(self.as_str())
    }

    /// Returns the settings that create the service.
    pub(super) fn plan(self) -> Result<ServicePlan, NameError> {
        let orders = self == Self::Order;
        Ok(ServicePlan {
            name: self.name()?,
            values: vec![
                (SettingKey::Slices, SettingValue::Number(SLICES)),
                (
                    SettingKey::DefaultRank,
                    SettingValue::Text(self.as_str().into()),
                ),
            ],
            ranks: vec![(
                RankName::new(self.as_str())?,
                vec![
                    (SettingKey::Priority, SettingValue::Number(self.priority())),
                    (SettingKey::Orders, SettingValue::Flag(orders)),
                ],
            )],
        })
    }
}
