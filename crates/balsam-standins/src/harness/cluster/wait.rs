//! Waits for a state that several processes reach on their own.

use crate::harness::HarnessError;
use std::time::{Duration, Instant};

/// Pause between two looks; short against the pulse period of 250 ms.
const LOOK_PAUSE: Duration = Duration::from_millis(25);

/// Looks until `reached` returns a value, and returns it with the time that this took.
///
/// # Errors
///
/// Returns an error if `reached` returns no value within `deadline`.
pub async fn wait_until<T, F>(
    awaited: &'static str,
    deadline: Duration,
    mut reached: impl FnMut() -> F,
) -> Result<(T, Duration), HarnessError>
where
    F: Future<Output = Option<T>>,
{
    let begun = Instant::now();
    while begun.elapsed() < deadline {
        if let Some(value) = reached().await {
            return Ok((value, begun.elapsed()));
        }
        actix_rt::time::sleep(LOOK_PAUSE).await;
    }
    Err(HarnessError::Deadline {
        program: "cluster".to_owned(),
        awaited,
        deadline_ms: deadline.as_millis() as u64,
    })
}
