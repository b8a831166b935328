//! Serves requests on an embedded platform and upstreams, and prints who answered and why.

use balsam_standins::demo::run_demo;
use clap::Parser;
use std::process::ExitCode;

/// Routes a lookup, an order and a download in one process.
#[derive(Debug, Parser)]
#[command(version)]
struct Options;

fn main() -> ExitCode {
    let Options = Options::parse();
    env_logger::init();
    match actix_rt::System::new().block_on(run_demo()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("balsam-demo: {error}");
            ExitCode::FAILURE
        }
    }
}
