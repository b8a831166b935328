//! Stand-in for the platform, for tests and measurements.

use balsam_standins::platform::start_platform;
use balsam_standins::serve::{StandinError, run_until_terminated};
use clap::Parser;
use std::net::SocketAddr;
use std::process::ExitCode;

/// An in-memory table, object store and instance list with fault switches.
#[derive(Debug, Parser)]
#[command(version)]
struct Options {
    /// Address to listen on; port 0 lets the system choose one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
}

fn main() -> ExitCode {
    env_logger::init();
    let options = Options::parse();
    match actix_rt::System::new().block_on(run(options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: Options) -> Result<(), StandinError> {
    let address = options.listen;
    let server = start_platform(address)
        .await
        .map_err(|source| StandinError::Listen { address, source })?;
    run_until_terminated(server).await
}
