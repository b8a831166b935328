//! The platform's JSON interface, and the rows that daemons store in its table.
//!
//! See [the design page, section 9.3](../../../../docs/design.md#93-platform-http--json-stand-in-balsam-platform).

mod bytes_body;
mod faults;
mod instances;
mod order_row;
mod rows;
mod table;

pub use bytes_body::{BytesBody, BytesError};
pub use faults::{OutageKind, PlatformCounters, PlatformFaults};
pub use instances::{InstanceBody, InstanceKindBody, InstanceStateBody, InstancesUpdate};
pub use order_row::{
    ORDER_PREFIX, OrderRow, OrderRowError, OrderStateBody, RecordedHeader, RecordedOutcomeBody,
    order_row_key, parse_order_row_key,
};
pub use rows::{
    CONTROL_ROW, CRASH_ROW, ControlRow, CrashCountBody, CrashRow, LOG_PREFIX, SNAPSHOT_ROW,
    SnapshotRow, log_row_key, parse_log_row_key, snapshot_object,
};
pub use table::{Condition, ReadRequest, ReadResponse, TableRow, TxRequest, TxResponse, WriteBody};

/// Path for conditional transactions.
pub const TX_PATH: &str = "/table/tx";
/// Path for table reads.
pub const READ_PATH: &str = "/table/read";
/// Path prefix of objects; the object's name follows.
pub const OBJECTS_PATH: &str = "/objects/";
/// Path of the instance list.
pub const INSTANCES_PATH: &str = "/instances";
/// Path for fault injection in the stand-in.
pub const FAULTS_PATH: &str = "/faults";
/// Path of the stand-in's counters.
pub const COUNTERS_PATH: &str = "/counters";
