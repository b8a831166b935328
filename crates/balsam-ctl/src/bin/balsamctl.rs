//! The operator client's binary.

use balsam_ctl::{Cli, run};
use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    let cli = Cli::parse();
    actix_rt::System::new().block_on(run(cli))
}
