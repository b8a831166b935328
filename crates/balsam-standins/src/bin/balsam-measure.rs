//! Sends the load of a plan and prints one JSON line with the results.

use balsam_standins::load::{LoadPlan, run_load};
use clap::Parser;
use std::error::Error;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

/// An open-loop load generator.
#[derive(Debug, Parser)]
#[command(version)]
struct Options {
    /// The plan in JSON.
    #[arg(long, value_name = "FILE")]
    plan: PathBuf,
}

fn main() -> ExitCode {
    env_logger::init();
    let options = Options::parse();
    match actix_rt::System::new().block_on(measure(options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("balsam-measure: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn measure(options: Options) -> Result<(), Box<dyn Error>> {
    let plan = LoadPlan::from_json(std::fs::read_to_string(options.plan)?)?;
    let result = run_load(plan).await?;
    let line = serde_json::to_string(&result.report)?;
    writeln!(std::io::stdout(), "{line}")?;
    Ok(())
}
