//! Messages between daemons, encoded as bincode in length-prefixed frames.
//!
//! Every decoder checks sizes before it allocates memory, and validates every field before it
//! returns a value. See
//! [the design page, section 9.5](../../../../docs/design.md#95-peers-h2--bincode-bearer-credential).

mod changes;
mod codec;
mod error;
mod frame;
mod heartbeat;
mod refusal;
mod relay;

pub use changes::{WireChanges, WireChangesRequest};
pub use codec::{CONTROL_MAX_BYTES, decode, encode};
pub use error::WireError;
pub use frame::{
    BODY_FRAME_MAX_BYTES, Frame, FrameDecoder, FrameKind, HEAD_MAX_BYTES, frame_header,
    frame_message,
};
pub use heartbeat::{WireHeartbeat, WireHeartbeatReply, WireReport};
pub use refusal::PeerRefusal;
pub use relay::{
    RelayAnswer, RelayRequest, WireEnd, WireField, WireOutcome, WireRelayAnswer, WireRelayRequest,
};
