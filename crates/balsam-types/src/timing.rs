//! Timing constants shared by all daemons of a deployment.
//!
//! They are constants rather than settings because exclusive ownership of units depends on every
//! daemon using the same values.
//!
//! See [the design page, section 5](../../../docs/design.md#5-freshness-lease).

/// The interval of table reads, heartbeats and grant renewals, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 250;

/// The duration of a daemon's lease on fresh control state, in milliseconds.
///
/// The lease delays the reassignment of the keys of an unresponsive upstream, which must be served
/// again within 3 s. It spans four heartbeat intervals, so that one lost heartbeat does not
/// interrupt service.
pub const LEASE_TTL_MS: u64 = 1_000;

/// The fixed part of the safety margin for waits on lease expiry, in milliseconds.
pub const LEASE_MARGIN_MS: u64 = 50;

/// The part of the safety margin that covers clock drift, in percent of the lease duration.
pub const CLOCK_DRIFT_MARGIN_PERCENT: u64 = 2;

/// The wait after which every lease of an older epoch has expired, in milliseconds.
pub const LEASE_EXPIRY_WAIT_MS: u64 =
    LEASE_TTL_MS + LEASE_MARGIN_MS + LEASE_TTL_MS * CLOCK_DRIFT_MARGIN_PERCENT / 100;

/// The time without a response after which a daemon or upstream is suspected to have failed, in
/// milliseconds.
pub const SUSPECT_AFTER_MS: u64 = 700;

/// The time without a response after which the placer removes a daemon from the roster, in
/// milliseconds.
pub const REMOVE_AFTER_MS: u64 = 2_000;

/// How long a daemon without a valid lease continues to accept new requests, in milliseconds.
pub const SETTINGS_GRACE_MS: u64 = 2_000;

/// The number of committed changes (epochs) between two snapshots of the control state.
pub const SNAPSHOT_INTERVAL_EPOCHS: u64 = 256;
