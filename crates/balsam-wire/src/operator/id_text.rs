//! 64-bit identifiers in JSON bodies.

use balsam_types::{Fingerprint, Incarnation};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// A 64-bit identifier, encoded as a decimal string because many JSON parsers round numbers above
/// 2^53.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct IdText(pub u64);

impl fmt::Display for IdText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for IdText {
    type Err = ParseIntError;
    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

impl TryFrom<String> for IdText {
    type Error = ParseIntError;
    fn try_from(text: String) -> Result<Self, ParseIntError> {
        text.parse()
    }
}

impl From<IdText> for String {
    fn from(id: IdText) -> Self {
        id.to_string()
    }
}

impl From<Incarnation> for IdText {
    fn from(incarnation: Incarnation) -> Self {
        Self(incarnation.0)
    }
}

impl From<Fingerprint> for IdText {
    fn from(fingerprint: Fingerprint) -> Self {
        Self(fingerprint.0)
    }
}
