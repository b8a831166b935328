//! Encoding of byte strings in JSON.

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu, ensure};

/// A byte string, encoded as text if it is valid UTF-8 and as hexadecimal digits otherwise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BytesBody {
    /// The bytes as UTF-8 text.
    Text(String),
    /// The bytes as pairs of lower-case hexadecimal digits.
    Hex(String),
}

/// An error for a text that is not a valid hexadecimal byte string.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum BytesError {
    /// The number of digits is odd.
    #[snafu(display("hex: {digits} digits (accepted: an even number)"))]
    OddLength {
        /// The number of digits.
        digits: usize,
    },
    /// A character is not a hexadecimal digit.
    #[snafu(display("hex: not a digit at position {position} (accepted: 0-9, a-f)"))]
    BadDigit {
        /// The position of the first invalid pair of characters.
        position: usize,
    },
}

impl From<Vec<u8>> for BytesBody {
    fn from(bytes: Vec<u8>) -> Self {
        match String::from_utf8(bytes) {
            Ok(text) => Self::Text(text),
            Err(error) => Self::Hex(to_hex(error.as_bytes())),
        }
    }
}

impl TryFrom<BytesBody> for Vec<u8> {
    type Error = BytesError;

    fn try_from(body: BytesBody) -> Result<Self, BytesError> {
        match body {
            BytesBody::Text(text) => Ok(text.into_bytes()),
            BytesBody::Hex(digits) => from_hex(digits.as_bytes()),
        }
    }
}

fn to_hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let digit = |nibble: u8| char::from(DIGITS[usize::from(nibble)]);
    bytes
        .iter()
        .flat_map(|byte| [digit(byte >> 4), digit(byte & 15)])
        .collect()
}

fn from_hex(digits: &[u8]) -> Result<Vec<u8>, BytesError> {
    ensure!(
        digits.len().is_multiple_of(2),
        OddLengthSnafu {
            digits: digits.len()
        }
    );
    let nibble = |digit: u8| char::from(digit).to_digit(16);
    digits
        .chunks_exact(2)
        .enumerate()
        .map(|(index, pair)| {
            let byte = nibble(pair[0]).zip(nibble(pair[1]));
            let (high, low) = byte.context(BadDigitSnafu {
                position: index * 2,
            })?;
            Ok((high * 16 + low) as u8)
        })
        .collect()
}
