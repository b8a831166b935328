//! The interface through which the control tasks use the platform: its table, object store and
//! instance list.

use balsam_types::control::Instance;
use balsam_wire::platform::{OrderRowError, ReadRequest, ReadResponse, TxRequest, TxResponse};
use snafu::Snafu;
use std::time::Duration;

/// Why an exchange with the platform failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PlatformError {
    /// No response arrived within the time limit; a write may still have taken effect.
    #[snafu(display("the platform did not answer within {wait_ms} ms"))]
    Timeout {
        /// The time limit, in milliseconds.
        wait_ms: u128,
    },
    /// The connection failed or the response body is too large; a write may still have taken
    /// effect.
    #[snafu(display("the exchange with the platform broke: {detail}"))]
    Transport {
        /// The description given by the HTTP client.
        detail: String,
    },
    /// The platform responded with a status other than success.
    #[snafu(display("the platform answered with status {status}"))]
    Status {
        /// The HTTP status code.
        status: u16,
    },
    /// A response, a row or an object cannot be encoded or decoded.
    #[snafu(display("{subject}: {source}"))]
    Malformed {
        /// The path, row key or object name.
        subject: String,
        /// The JSON error.
        source: serde_json::Error,
    },
    /// A field of an order row is invalid.
    #[snafu(display("{subject}: {source}"))]
    Order {
        /// The row's key.
        subject: String,
        /// Which field is invalid, and why.
        source: OrderRowError,
    },
}

/// The platform's table, object store and instance list.
///
/// Every call ends within `time_limit`.
pub trait Platform: Clone {
    /// Reads rows from one consistent state of the table.
    fn read(
        &self,
        request: &ReadRequest,
        time_limit: Duration,
    ) -> impl Future<Output = Result<ReadResponse, PlatformError>>;

    /// Writes rows in one transaction, if all its conditions hold.
    fn transact(
        &self,
        request: &TxRequest,
        time_limit: Duration,
    ) -> impl Future<Output = Result<TxResponse, PlatformError>>;

    /// Stores an object.
    fn put_object(
        &self,
        name: &str,
        content: Vec<u8>,
        time_limit: Duration,
    ) -> impl Future<Output = Result<(), PlatformError>>;

    /// Loads an object.
    fn get_object(
        &self,
        name: &str,
        time_limit: Duration,
    ) -> impl Future<Output = Result<Vec<u8>, PlatformError>>;

    /// Reads the list of instances, which may lag behind the instances that actually run.
    fn instances(
        &self,
        time_limit: Duration,
    ) -> impl Future<Output = Result<Vec<Instance>, PlatformError>>;
}
