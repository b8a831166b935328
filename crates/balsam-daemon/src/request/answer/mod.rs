//! The filter that writes answers to callers.
//!
//! A caller gets either a complete answer or one that is recognizably truncated. See
//! [the design page, section 8](../../../../../docs/design.md#8-outcomes-and-orders).

mod body;
mod head;
mod resume;

pub(crate) use body::{AnswerBody, PartsBody};
pub(crate) use head::{answer_response, bodiless_size, failure_response, recorded_response};
pub(crate) use resume::{Resumable, stream_resuming};
