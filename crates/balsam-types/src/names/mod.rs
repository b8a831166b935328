//! Validated names, stored as shared immutable strings.
//!
//! A name is validated once, when it enters the process; later clones share the text.

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::fmt;
use std::sync::Arc;

/// The maximum length of a name. It is bounded because names appear in log lines and row keys.
pub const NAME_MAX_BYTES: usize = 128;

/// An error for a text that is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum NameError {
    /// The text is empty.
    #[snafu(display("{field}: must not be empty (accepted: 1 to {NAME_MAX_BYTES} bytes)"))]
    Empty {
        /// The kind of name.
        field: &'static str,
    },
    /// The text is too long.
    #[snafu(display(
        "{field}: {length_bytes} bytes is too long (accepted: 1 to {NAME_MAX_BYTES})"
    ))]
    TooLong {
        /// The kind of name.
        field: &'static str,
        /// The length of the rejected text.
        length_bytes: usize,
    },
    /// The text contains a character outside the accepted set.
    #[snafu(display(
        "{field}: character {character:?} in {value:?} (accepted: letters, digits, '-', '_', '.', ':')"
    ))]
    BadCharacter {
        /// The kind of name.
        field: &'static str,
        /// The rejected text.
        value: String,
        /// The first character that is not accepted.
        character: char,
    },
}

fn validate(field: &'static str, text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty { field });
    }
    if text.len() > NAME_MAX_BYTES {
        return Err(NameError::TooLong {
            field,
            length_bytes: text.len(),
        });
    }
    let is_invalid = |c: &char| !(c.is_alphanumeric() || matches!(c, '-' | '_' | '.' | ':'));
    match text.chars().find(is_invalid) {
        Some(character) => Err(NameError::BadCharacter {
            field,
            value: text.to_owned(),
            character,
        }),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $field:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates `text` and creates a name from it.
            ///
            /// # Errors
            ///
            /// Returns a [`NameError`] if the text is empty, too long or has an invalid character.
            pub fn new(text: impl AsRef<str>) -> Result<Self, NameError> {
                validate($field, text.as_ref())?;
                Ok(Self(Arc::from(text.as_ref())))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;
            fn try_from(text: String) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl std::str::FromStr for $name {
            type Err = NameError;
            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.as_str().to_owned()
            }
        }
    };
}

name_type! {
    /// The name of a service that callers address.
    ServiceName, "service"
}
name_type! {
    /// The name of a route.
    RouteName, "route"
}
name_type! {
    /// The name of the machine that a daemon runs on.
    DaemonName, "daemon"
}
name_type! {
    /// The name of an upstream, unique in the deployment.
    UpstreamName, "upstream"
}
name_type! {
    /// The name of a member (a workspace), on whose behalf a caller sends requests.
    MemberName, "member"
}
name_type! {
    /// The name of an availability zone.
    ZoneName, "zone"
}
name_type! {
    /// The name of a region, a set of availability zones.
    RegionName, "region"
}
name_type! {
    /// The name of a rank, a priority class of requests within a service.
    RankName, "rank"
}
name_type! {
    /// The caller's idempotency key for one order.
    OrderId, "order id"
}
