//! The filter that writes answers to callers, whole or visibly broken.
//!
//! See [the design page, section 8](../../../../../docs/design.md#8-outcomes-and-orders).

mod body;
mod head;
mod resume;

pub(crate) use body::{AnswerBody, PartsBody};
pub(crate) use head::{answered, empty_size, failed, recorded};
pub(crate) use resume::{Resumable, stream_resuming};
