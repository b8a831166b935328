//! Paths of nodes in the settings tree.

use crate::{MemberName, NameError, RankName, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use std::fmt;
use std::str::FromStr;

/// The path of a node in the settings tree.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum NodePath {
    /// The root, which every other node inherits from.
    Root,
    /// A service.
    Service(ServiceName),
    /// A rank of a service.
    Rank(ServiceName, RankName),
    /// A member's overrides within a rank.
    Member(ServiceName, RankName, MemberName),
    /// An availability zone.
    Zone(ZoneName),
}

/// An error for a text that is not a valid node path.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum NodePathError {
    /// The path matches none of the known forms.
    #[snafu(display(
        "path {text:?} is not accepted (accepted: /, /services/S, /services/S/ranks/R, \
         /services/S/ranks/R/members/M, /zones/Z)"
    ))]
    UnknownForm {
        /// The rejected text.
        text: String,
    },
    /// A segment of the path is not a valid name.
    #[snafu(display("path {text:?}: {source}"))]
    BadName {
        /// The rejected text.
        text: String,
        /// The cause of the rejection.
        source: NameError,
    },
}

impl NodePath {
    /// Returns the parent, from which this node inherits.
    pub fn parent(&self) -> Option<Self> {
        match self {
            Self::Root => None,
            Self::Service(_) | Self::Zone(_) => Some(Self::Root),
            Self::Rank(service, _) => Some(Self::Service(service.clone())),
            Self::Member(service, rank, _) => Some(Self::Rank(service.clone(), rank.clone())),
        }
    }

    /// Returns the service that the node belongs to, if any.
    pub const fn service(&self) -> Option<&ServiceName> {
        match self {
            Self::Root | Self::Zone(_) => None,
            Self::Service(service) | Self::Rank(service, _) | Self::Member(service, _, _) => {
                Some(service)
            }
        }
    }
}

impl fmt::Display for NodePath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Root => f.write_str("/"),
            Self::Service(service) => write!(f, "/services/{service}"),
            Self::Rank(service, rank) => write!(f, "/services/{service}/ranks/{rank}"),
            Self::Member(service, rank, member) => {
                write!(f, "/services/{service}/ranks/{rank}/members/{member}")
            }
            Self::Zone(zone) => write!(f, "/zones/{zone}"),
        }
    }
}

impl FromStr for NodePath {
    type Err = NodePathError;

    fn from_str(text: &str) -> Result<Self, NodePathError> {
        let Some(relative) = text.strip_prefix('/') else {
            return UnknownFormSnafu { text }.fail();
        };
        let segments: Vec<&str> = relative.split('/').collect();
        let bad_name = || BadNameSnafu { text };
        match segments.as_slice() {
            [""] => Ok(Self::Root),
            ["zones", zone] => Ok(Self::Zone(
                ZoneName::new(zone).with_context(|_| bad_name())?,
            )),
            ["services", service] => Ok(Self::Service(
                ServiceName::new(service).with_context(|_| bad_name())?,
            )),
            ["services", service, "ranks", rank] => Ok(Self::Rank(
                ServiceName::new(service).with_context(|_| bad_name())?,
                RankName::new(rank).with_context(|_| bad_name())?,
            )),
            ["services", service, "ranks", rank, "members", member] => Ok(Self::Member(
                ServiceName::new(service).with_context(|_| bad_name())?,
                RankName::new(rank).with_context(|_| bad_name())?,
                MemberName::new(member).with_context(|_| bad_name())?,
            )),
            _ => UnknownFormSnafu { text }.fail(),
        }
    }
}

impl TryFrom<String> for NodePath {
    type Error = NodePathError;
    fn try_from(text: String) -> Result<Self, NodePathError> {
        text.parse()
    }
}

impl From<NodePath> for String {
    fn from(path: NodePath) -> Self {
        path.to_string()
    }
}
