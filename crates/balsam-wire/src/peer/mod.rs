//! Messages between daemons: bincode in length-prefixed frames.
//!
//! Every decoder checks sizes before it allocates and validates each field before a value leaves
//! this module. See
//! [the design page, section 9.5](../../../../docs/design.md#95-peers-h2--bincode-bearer-credential).

mod changes;
mod codec;
mod error;
mod frame;
mod pulse;
mod refusal;
mod relay;

pub use changes::{WireChanges, WireChangesRequest};
pub use codec::{CONTROL_MAX_BYTES, decode, encode};
pub use error::WireError;
pub use frame::{
    BODY_FRAME_MAX_BYTES, Frame, FrameDecoder, FrameKind, HEAD_MAX_BYTES, frame_header,
    frame_message,
};
pub use pulse::{WireHeartbeat, WireHeartbeatReply, WireReport};
pub use refusal::PeerRefusal;
pub use relay::{
    RelayAnswer, RelayRequest, WireEnd, WireField, WireOutcome, WireRelayAnswer, WireRelayRequest,
};
