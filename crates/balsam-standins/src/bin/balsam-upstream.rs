//! Stand-in for an upstream, for tests and measurements.

use balsam_standins::serve::{StandinError, run_until_terminated};
use balsam_standins::upstream::{UpstreamOptions, start_upstream};
use clap::Parser;
use std::process::ExitCode;

/// A server that runs work under grants and keeps a journal of its executions.
#[derive(Debug, Parser)]
#[command(version)]
struct Options {
    #[command(flatten)]
    upstream: UpstreamOptions,
}

fn main() -> ExitCode {
    env_logger::init();
    let options = Options::parse();
    match actix_rt::System::new().block_on(run(options.upstream)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: UpstreamOptions) -> Result<(), StandinError> {
    let address = options.listen;
    let server = start_upstream(options)
        .await
        .map_err(|source| StandinError::Listen { address, source })?;
    run_until_terminated(server).await
}
