//! The platform as the control tasks see it.

use balsam_types::control::Instance;
use balsam_wire::platform::{OrderRowError, ReadRequest, ReadResponse, TxRequest, TxResponse};
use snafu::Snafu;
use std::time::Duration;

/// Why an exchange with the platform failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PlatformError {
    /// There was no answer in time; a write may have taken effect.
    #[snafu(display("the platform did not answer within {wait_ms} ms"))]
    Silent {
        /// The time that was waited, in milliseconds.
        wait_ms: u128,
    },
    /// The exchange broke; a write may have taken effect.
    #[snafu(display("the exchange with the platform broke: {detail}"))]
    Broken {
        /// The transport's description.
        detail: String,
    },
    /// The platform answered with an unexpected status.
    #[snafu(display("the platform answered with status {status}"))]
    Status {
        /// The HTTP status code.
        status: u16,
    },
    /// The answer, a row or an object cannot be interpreted.
    #[snafu(display("{subject}: {source}"))]
    Malformed {
        /// What was read.
        subject: String,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// A field of an order row cannot be interpreted.
    #[snafu(display("{subject}: {source}"))]
    Order {
        /// The row's key.
        subject: String,
        /// What is wrong.
        source: OrderRowError,
    },
}

/// The platform's table, object store and instance list.
///
/// Every call ends within `wait`.
pub trait Platform: Clone {
    /// Reads rows, all as of one moment.
    fn read(
        &self,
        request: &ReadRequest,
        wait: Duration,
    ) -> impl Future<Output = Result<ReadResponse, PlatformError>>;

    /// Writes rows if all conditions hold.
    fn transact(
        &self,
        request: &TxRequest,
        wait: Duration,
    ) -> impl Future<Output = Result<TxResponse, PlatformError>>;

    /// Stores an object.
    fn put_object(
        &self,
        name: &str,
        content: Vec<u8>,
        wait: Duration,
    ) -> impl Future<Output = Result<(), PlatformError>>;

    /// Loads an object.
    fn get_object(
        &self,
        name: &str,
        wait: Duration,
    ) -> impl Future<Output = Result<Vec<u8>, PlatformError>>;

    /// Reads the lagging list of instances.
    fn instances(
        &self,
        wait: Duration,
    ) -> impl Future<Output = Result<Vec<Instance>, PlatformError>>;
}
