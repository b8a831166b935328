//! Performs the work of an admitted request up to its effect.

use super::admit::{Admitted, not_run};
use super::execution::Execution;
use super::{Effect, Finish, Identity, UpstreamOptions, WorkHead};
use crate::serve::{ConnectionCloser, bad_request, read_body};
use actix_http::body::BoxBody;
use actix_http::{Request, Response};
use balsam_types::KeyHash;
use balsam_wire::upstream::{AbortCause, AnswerFault, NotRunCause};
use std::sync::Arc;
use std::time::Duration;

/// The largest request body.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Last part of a path whose execution crashes the process.
const CRASH_PATH_END: &str = "/crash";

/// An execution whose effect took place.
#[derive(Debug)]
pub(super) struct Performed {
    pub(super) execution: Execution,
    pub(super) effect: Effect,
}

/// Reads the body, works, and lets the effect take place, all before the deadline.
pub(super) async fn perform(
    options: &UpstreamOptions,
    work: &WorkHead,
    admitted: Admitted,
    mut request: Request,
    closer: &ConnectionCloser,
) -> Result<Performed, Response<BoxBody>> {
    let Admitted {
        mut execution,
        started,
    } = admitted;
    let deadline = Duration::from_millis(started.remaining_ms);
    let working = async {
        let body = read_body(&mut request, MAX_BODY_BYTES).await?;
        actix_rt::time::sleep(Duration::from_millis(started.work_ms)).await;
        Ok(KeyHash::of(&body))
    };
    let body_digest = match actix_rt::time::timeout(deadline, working).await {
        Ok(Ok(digest)) => digest,
        Ok(Err::<_, crate::serve::BodyError>(error)) => return Err(bad_request(error)),
        Err(_) => {
            execution.set_finish(Finish::Aborted(AbortCause::Deadline));
            return Err(not_run(NotRunCause::Deadline));
        }
    };
    if work.path.ends_with(CRASH_PATH_END) {
        return Err(crash(options, closer).await);
    }
    let identity = Identity {
        key: Arc::clone(&work.key.text),
        order_id: work.order_id.clone(),
        body_digest,
    };
    let effect = execution.effect(identity).await.map_err(refused)?;
    if let Some(AnswerFault::Delayed { delay_ms }) = effect.fault {
        actix_rt::time::sleep(Duration::from_millis(delay_ms)).await;
    }
    Ok(Performed { execution, effect })
}

/// Answers a request whose effect was refused; it has had none, so it was not run.
fn refused(cause: AbortCause) -> Response<BoxBody> {
    not_run(match cause {
        AbortCause::Deadline => NotRunCause::Deadline,
        AbortCause::GrantLapsed | AbortCause::Cancelled | AbortCause::Fault => NotRunCause::Fenced,
    })
}

async fn crash(options: &UpstreamOptions, closer: &ConnectionCloser) -> Response<BoxBody> {
    if options.embedded {
        return closer.close().await;
    }
    log::error!("crash path executed");
    std::process::abort()
}
