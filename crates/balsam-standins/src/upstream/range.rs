//! Byte ranges of reads.

use super::Content;
use snafu::Snafu;

/// A range within a content: from `start` up to `end`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ByteRange {
    /// The first byte.
    pub start: u64,
    /// The byte after the last one.
    pub end: u64,
}

/// A range that lies outside the content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("range: not within the content (accepted: 0 to {length_bytes} bytes)"))]
pub struct RangeError {
    /// The content's length in bytes.
    pub length_bytes: u64,
}

/// Returns the range that a `Range` field asks for, or `None` for the whole content.
///
/// A range whose `If-Range` validator does not match, and a range of another form than a single
/// range of bytes, stand for the whole content.
///
/// # Errors
///
/// Returns a [`RangeError`] if the range begins after the end of the content.
pub fn wanted_range(
    content: &Content,
    range: Option<&str>,
    if_range: Option<&str>,
) -> Result<Option<ByteRange>, RangeError> {
    let Some(etag) = content.etag() else {
        return Ok(None);
    };
    if if_range.is_some_and(|validator| validator != etag) {
        return Ok(None);
    }
    let length_bytes = content.length_bytes();
    let Some(range) = range.and_then(|range| parse(range, length_bytes)) else {
        return Ok(None);
    };
    if range.start >= range.end {
        return Err(RangeError { length_bytes });
    }
    Ok(Some(range))
}

fn parse(range: &str, length: u64) -> Option<ByteRange> {
    let (first, last) = range.strip_prefix("bytes=")?.split_once('-')?;
    if first.is_empty() {
        let suffix: u64 = last.parse().ok()?;
        return Some(ByteRange {
            start: length.saturating_sub(suffix),
            end: length,
        });
    }
    let start: u64 = first.parse().ok()?;
    let end = match last {
        "" => length,
        _ => last.parse::<u64>().ok()?.saturating_add(1).min(length),
    };
    Some(ByteRange { start, end })
}
