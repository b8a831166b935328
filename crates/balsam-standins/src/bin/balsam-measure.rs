//! Measures balsamswitch and prints one JSON line for each result.

use balsam_standins::measure::{MeasureOptions, measure};
use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::init();
    let options = MeasureOptions::parse();
    match actix_rt::System::new().block_on(measure(options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("balsam-measure: {error}");
            ExitCode::FAILURE
        }
    }
}
