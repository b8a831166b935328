//! Bincode encoding and decoding with a size limit.

use super::error::{DecodeSnafu, EncodeSnafu, TrailingSnafu, WireError};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, ensure};

/// The maximum size of a control message in bytes.
///
/// The largest message is a snapshot of the control state. 64 MiB is the memory budget of a daemon
/// for control data.
pub const CONTROL_MAX_BYTES: usize = 64 << 20;

/// Encodes a wire type.
///
/// # Errors
///
/// Returns a [`WireError`] if the value cannot be represented in bincode.
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>, WireError> {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).context(EncodeSnafu)
}

/// Decodes a wire type, which must consume all of `bytes`.
///
/// # Errors
///
/// Returns a [`WireError`] if the bytes are not a valid encoding or if extra bytes follow it.
pub fn decode<T: DeserializeOwned>(bytes: impl AsRef<[u8]>) -> Result<T, WireError> {
    // The limit rejects collections whose announced length exceeds the maximum message size, before
    // memory is allocated for them.
    let config = bincode::config::standard().with_limit::<CONTROL_MAX_BYTES>();
    let bytes = bytes.as_ref();
    let (value, used_bytes) =
        bincode::serde::decode_from_slice(bytes, config).context(DecodeSnafu)?;
    let extra_bytes = bytes.len() - used_bytes;
    ensure!(extra_bytes == 0, TrailingSnafu { extra_bytes });
    Ok(value)
}
