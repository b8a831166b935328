//! Bincode with a limit on the decoded size.

use super::error::{DecodeSnafu, EncodeSnafu, TrailingSnafu, WireError};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, ensure};

/// The greatest size of a control message in bytes.
///
/// A snapshot of the control state is the largest message: 64 MiB is the memory that a daemon may
/// spend on control.
pub const CONTROL_MAX_BYTES: usize = 64 << 20;

/// Encodes a wire type.
///
/// # Errors
///
/// Returns a [`WireError`] if the value has no bincode form.
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>, WireError> {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).context(EncodeSnafu)
}

/// Decodes a wire type, which must take up all of `bytes`.
///
/// # Errors
///
/// Returns a [`WireError`] if the bytes are no encoding of the type or if bytes are left over.
pub fn decode<T: DeserializeOwned>(bytes: impl AsRef<[u8]>) -> Result<T, WireError> {
    // The limit refuses collections whose announced length exceeds what any message can hold.
    let config = bincode::config::standard().with_limit::<CONTROL_MAX_BYTES>();
    let bytes = bytes.as_ref();
    let (value, used_bytes) =
        bincode::serde::decode_from_slice(bytes, config).context(DecodeSnafu)?;
    let extra_bytes = bytes.len() - used_bytes;
    ensure!(extra_bytes == 0, TrailingSnafu { extra_bytes });
    Ok(value)
}
