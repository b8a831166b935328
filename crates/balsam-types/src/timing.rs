//! Timing constants that all daemons of a deployment must share.
//!
//! They are constants and not settings because sole ownership depends on every daemon using the
//! same values. See [the design page, section 5](../../../docs/design.md#5-freshness-right).

/// The period of table reads, pulses and grant renewals, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 250;

/// The life of a freshness right, in milliseconds.
///
/// It bounds the wait before the keys of a silent upstream move, which must be served again within
/// 3 s, and spans four pulses so that one lost pulse does not interrupt service.
pub const LEASE_TTL_MS: u64 = 1_000;

/// The fixed part of the margin added to a wait for lapsing rights, in milliseconds.
pub const LEASE_MARGIN_MS: u64 = 50;

/// The part of the margin that covers different clock rates, in percent of the right's life.
pub const CLOCK_DRIFT_MARGIN_PERCENT: u64 = 2;

/// The wait after which every right of an older epoch has lapsed, in milliseconds.
pub const LEASE_EXPIRY_WAIT_MS: u64 =
    LEASE_TTL_MS + LEASE_MARGIN_MS + LEASE_TTL_MS * CLOCK_DRIFT_MARGIN_PERCENT / 100;

/// The silence after which a daemon or upstream is suspected, in milliseconds.
pub const SUSPECT_AFTER_MS: u64 = 700;

/// The silence after which the placer removes a daemon from the roster, in milliseconds.
pub const REMOVE_AFTER_MS: u64 = 2_000;

/// How long a daemon without a right still takes new work, in milliseconds.
pub const SETTINGS_GRACE_MS: u64 = 2_000;

/// The number of changes between two snapshots of the control state.
pub const SNAPSHOT_INTERVAL_EPOCHS: u64 = 256;
