//! A client of the store that counts its calls.

use super::{StoreError, StoreRequest};
use crate::metrics::EdgeMetrics;
use tokio::sync::{mpsc, oneshot};

/// Sends calls to the store's task; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct StoreClient {
    requests: mpsc::Sender<StoreRequest>,
    metrics: EdgeMetrics,
}

impl StoreClient {
    /// Creates a client of the task that receives `requests`.
    pub(crate) const fn new(requests: mpsc::Sender<StoreRequest>, metrics: EdgeMetrics) -> Self {
        Self { requests, metrics }
    }

    /// Sends a call and waits for its result.
    ///
    /// # Errors
    ///
    /// Returns the [`StoreError`] of the call, or [`StoreError::Stopped`] if the store's task has
    /// ended.
    pub(crate) async fn call<T>(
        &self,
        request: impl FnOnce(oneshot::Sender<Result<T, StoreError>>) -> StoreRequest,
    ) -> Result<T, StoreError> {
        let (reply, response) = oneshot::channel();
        let request = request(reply);
        let kind = request.kind();
        if self.requests.send(request).await.is_err() {
            return Err(StoreError::Stopped);
        }
        let result = response.await.unwrap_or(Err(StoreError::Stopped));
        let outcome = result.as_ref().err().map_or("answered", StoreError::as_str);
        self.metrics.store_call(kind, outcome);
        result
    }
}
