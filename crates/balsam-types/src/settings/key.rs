//! The closed set of settings keys, with the unit, range and default of each.

use super::{SettingValue, ValueError};
use serde::{Deserialize, Serialize};

/// The unit of a numeric setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// A plain number.
    Count,
    /// Milliseconds.
    Milliseconds,
    /// Bytes.
    Bytes,
    /// Percent.
    Percent,
}

enum Kind {
    Number {
        unit: Unit,
        min: u64,
        max: u64,
        default: u64,
    },
    Flag {
        default: bool,
    },
    Name {
        default: &'static str,
    },
}

macro_rules! setting_keys {
    ($($(#[$doc:meta])* $variant:ident = $text:literal, $kind:expr;)+) => {
        /// A key of the settings tree.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum SettingKey {
            $($(#[$doc])* #[serde(rename = $text)] $variant,)+
        }

        impl SettingKey {
            /// All keys, in declaration order.
            pub const ALL: &'static [Self] = &[$(Self::$variant),+];

            /// Returns the name of the key in JSON and on the command line.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)+
                }
            }

            const fn kind(self) -> Kind {
                match self {
                    $(Self::$variant => $kind,)+
                }
            }
        }
    };
}

const fn count(min: u64, max: u64, default: u64) -> Kind {
    Kind::Number {
        unit: Unit::Count,
        min,
        max,
        default,
    }
}

const fn millis(min: u64, max: u64, default: u64) -> Kind {
    Kind::Number {
        unit: Unit::Milliseconds,
        min,
        max,
        default,
    }
}

const fn percent(min: u64, max: u64, default: u64) -> Kind {
    Kind::Number {
        unit: Unit::Percent,
        min,
        max,
        default,
    }
}

const fn bytes(min: u64, max: u64, default: u64) -> Kind {
    Kind::Number {
        unit: Unit::Bytes,
        min,
        max,
        default,
    }
}

const GIB: u64 = 1 << 30;

setting_keys! {
    /// The number of slices in the key space of a service; fixed when the service is created.
    Slices = "slices", count(1, 1 << 20, 4_096);
    /// The rank of requests that specify none.
    DefaultRank = "default_rank", Kind::Name { default: "lookup" };
    /// The region that a zone belongs to.
    Region = "region", Kind::Name { default: "default" };
    /// The priority of a rank; lower values are served first.
    Priority = "priority", count(0, 100, 10);
    /// Whether requests of the rank are non-idempotent and need an order id.
    Orders = "orders", Kind::Flag { default: false };
    /// The slots of each upstream that are reserved for this rank while it has work.
    MinSlots = "min_slots", count(0, 1_000, 0);
    /// The maximum number of slots of each upstream that this rank can occupy.
    MaxSlots = "max_slots", count(1, 1_000, 1_000);
    /// The deadline of requests that specify none.
    DeadlineMs = "deadline_ms", millis(1, 3_600_000, 2_000);
    /// The maximum number of requests of the rank queued at the dispatcher of one upstream.
    QueueMax = "queue_max", count(0, 100_000, 256);
    /// The scheduling weight of a member relative to the other members of a rank.
    Weight = "weight", count(1, 1_000, 1);
    /// The maximum number of concurrent requests of the rank at one entry daemon.
    EntryMaxRequests = "entry_max_requests", count(1, 1_000_000, 1_024);
    /// The maximum size of a request body.
    BodyMaxBytes = "body_max_bytes", bytes(0, 64 * GIB, 8 << 20);
    /// The retry budget, as a percentage of the requests of the rank.
    RetryBudgetPercent = "retry_budget_percent", percent(0, 100, 10);
    /// The maximum number of connections to each upstream.
    Connections = "connections", count(1, 10_000, 120);
    /// The minimum interval between two transactions that claim orders.
    ///
    /// At the default, 11 daemons send at most 275 transactions per second, which leaves headroom
    /// in a table that sustains several hundred.
    OrderGroupMs = "order_group_ms", millis(1, 1_000, 40);
    /// The number of crashed upstream connections after which equal requests are quarantined.
    QuarantineCrashes = "quarantine_crashes", count(1, 100, 3);
    /// How long the quarantine of a request lasts.
    QuarantineTtlMs = "quarantine_ttl_ms", millis(1_000, 86_400_000, 600_000);
    /// The minimum gain of a balancing move, as a percentage of the mean upstream load.
    MoveMarginPercent = "move_margin_percent", percent(0, 100, 10);
    /// The maximum number of units of a service that balancing moves per minute; moves away from
    /// lost upstreams are not counted.
    MovesPerMinute = "moves_per_minute", count(0, 100_000, 64);
    /// The percentage of an upstream's load at which a single key is split off as a hot key.
    HotKeyPercent = "hot_key_percent", percent(1, 100, 20);
    /// The time over which load on a new or returned upstream is ramped up.
    WarmupMs = "warmup_ms", millis(0, 3_600_000, 10_000);
}

impl SettingKey {
    /// Parses the text that [`Self::as_str`] returns.
    pub fn from_text(text: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|key| key.as_str() == text)
    }

    /// Returns the built-in default, which applies if no node of the tree sets the key.
    pub fn default_value(self) -> SettingValue {
        match self.kind() {
            Kind::Number { default, .. } => SettingValue::Number(default),
            Kind::Flag { default } => SettingValue::Flag(default),
            Kind::Name { default } => SettingValue::Text(default.into()),
        }
    }

    /// Returns the unit of a numeric key.
    pub const fn unit(self) -> Option<Unit> {
        match self.kind() {
            Kind::Number { unit, .. } => Some(unit),
            Kind::Flag { .. } | Kind::Name { .. } => None,
        }
    }

    /// Returns a description of the accepted values for error messages.
    pub fn accepted(self) -> String {
        match self.kind() {
            Kind::Number { min, max, .. } => format!("{min} to {max}"),
            Kind::Flag { .. } => "true or false".to_owned(),
            Kind::Name { .. } => "a name".to_owned(),
        }
    }

    /// Validates the type and range of `value`.
    ///
    /// # Errors
    ///
    /// Returns a [`ValueError`] with the key, the value and the accepted range.
    pub fn check(self, value: &SettingValue) -> Result<(), ValueError> {
        let accepted = match (self.kind(), value) {
            (Kind::Number { min, max, .. }, SettingValue::Number(n)) => (min..=max).contains(n),
            (Kind::Flag { .. }, SettingValue::Flag(_)) => true,
            (Kind::Name { .. }, SettingValue::Text(text)) => crate::RankName::new(text).is_ok(),
            _ => false,
        };
        if accepted {
            return Ok(());
        }
        Err(ValueError {
            key: self,
            value: value.clone(),
            accepted: self.accepted(),
        })
    }
}
