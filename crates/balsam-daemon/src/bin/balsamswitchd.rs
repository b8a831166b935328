//! Entry point of the `balsamswitchd` process.

use balsam_daemon::config::Config;
use balsam_daemon::{Daemon, RunError, logging};
use clap::Parser;
use snafu::{ResultExt, Snafu};
use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit status for a settings file that is unreadable or invalid.
const EXIT_USAGE: u8 = 2;

/// Routes requests to the servers that own their keys.
#[derive(Debug, Parser)]
#[command(version)]
struct Options {
    /// The JSON settings file.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

/// Errors that end the process with a failure status.
#[derive(Debug, Snafu)]
enum ServeError {
    #[snafu(display("{source}"))]
    Logging { source: logging::InitError },
    /// The handlers for SIGTERM and SIGINT cannot be installed.
    #[snafu(display("signals: {source}"))]
    Signals { source: io::Error },
    /// The bound addresses cannot be written to standard output.
    #[snafu(display("standard output: {source}"))]
    Announce { source: io::Error },
    /// The daemon failed to start or failed while it was running.
    #[snafu(display("{source}"))]
    Run { source: RunError },
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

async fn serve(config: Config) -> Result<(), ServeError> {
    logging::init(config.log_level).context(LoggingSnafu)?;
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SignalsSnafu)?;
    let daemon = Daemon::start(config).await.context(RunSnafu)?;
    print_addresses(&daemon).context(AnnounceSnafu)?;
    let stop = wait_for_stop_signal(&mut terminate, &mut interrupt);
    daemon.run(stop).await.context(RunSnafu)
}

fn print_addresses(daemon: &Daemon) -> io::Result<()> {
    let line = serde_json::to_string(&daemon.addresses())?;
    writeln!(io::stdout(), "{line}")
}

async fn wait_for_stop_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
