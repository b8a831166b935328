//! Bearer credentials of peers and operators.

use serde::Deserialize;
use snafu::{OptionExt, Snafu};
use std::fmt;
use std::sync::Arc;

/// The minimum credential length; shorter ones are open to brute-force guessing.
pub const CREDENTIAL_MIN_BYTES: usize = 16;

/// The maximum credential length; longer ones leave too little room in a bounded request head.
pub const CREDENTIAL_MAX_BYTES: usize = 256;

/// A shared secret that a peer or an operator presents. Its `Debug` output hides the text.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub struct Credential(Arc<str>);

impl Credential {
    /// Creates a credential; returns `None` unless `text` has 16 to 256 visible ASCII characters.
    pub fn new(text: impl AsRef<str>) -> Option<Self> {
        let text = text.as_ref();
        let length_fits = (CREDENTIAL_MIN_BYTES..=CREDENTIAL_MAX_BYTES).contains(&text.len());
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        (length_fits && visible).then(|| Self(Arc::from(text)))
    }

    /// Returns the secret text.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Compares `presented` with this credential in constant time for a given length, so that
    /// response times do not reveal how many leading bytes were right.
    pub fn matches(&self, presented: impl AsRef<[u8]>) -> bool {
        let presented = presented.as_ref();
        let expected = self.0.as_bytes();
        let difference = expected
            .iter()
            .zip(presented)
            .fold(0, |difference, (a, b)| difference | (a ^ b));
        expected.len() == presented.len() && difference == 0
    }
}

/// An invalid credential text. The error omits the text because it may be a secret.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "a credential has {CREDENTIAL_MIN_BYTES} to {CREDENTIAL_MAX_BYTES} visible ASCII characters"
))]
pub struct CredentialError;

impl TryFrom<String> for Credential {
    type Error = CredentialError;

    fn try_from(text: String) -> Result<Self, CredentialError> {
        Self::new(text).context(CredentialSnafu)
    }
}

impl fmt::Debug for Credential {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Credential(..)")
    }
}
