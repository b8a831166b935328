//! The daemon's binary.

use balsam_daemon::Daemon;
use balsam_daemon::config::Config;
use balsam_daemon::logging;
use clap::Parser;
use std::error::Error;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit status for a settings file that cannot be used.
const EXIT_USAGE: u8 = 2;

/// Routes requests to the servers that own their keys.
#[derive(Debug, Parser)]
#[command(version)]
struct Options {
    /// The JSON settings file.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let config = match Config::read(&options.settings) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("balsamswitchd: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match actix_rt::System::new().block_on(serve(config)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("balsamswitchd: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(config: Config) -> Result<(), Box<dyn Error>> {
    logging::init(config.log_level)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let daemon = Daemon::start(config).await?;
    let line = serde_json::to_string(&daemon.addresses())?;
    writeln!(std::io::stdout(), "{line}")?;
    daemon
        .run(stop_wanted(&mut terminate, &mut interrupt))
        .await?;
    Ok(())
}

async fn stop_wanted(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
