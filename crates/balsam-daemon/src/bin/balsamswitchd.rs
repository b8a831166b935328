//! The daemon's binary.

use balsam_daemon::config::Config;
use balsam_daemon::{Daemon, RunError, logging};
use clap::Parser;
use snafu::{ResultExt, Snafu};
use std::io::{self, Write};
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

/// Why the process ends other than by being stopped.
#[derive(Debug, Snafu)]
enum ServeError {
    /// The logger cannot be installed.
    #[snafu(display("{source}"))]
    Logging {
        /// Why.
        source: logging::InitError,
    },
    /// The signals cannot be watched.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// Why.
        source: io::Error,
    },
    /// The addresses cannot be announced.
    #[snafu(display("standard output: {source}"))]
    Announce {
        /// Why.
        source: io::Error,
    },
    /// The daemon cannot start or go on.
    #[snafu(display("{source}"))]
    Run {
        /// Why.
        source: RunError,
    },
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
    announce(&daemon).context(AnnounceSnafu)?;
    let stop = stop_wanted(&mut terminate, &mut interrupt);
    daemon.run(stop).await.context(RunSnafu)
}

fn announce(daemon: &Daemon) -> io::Result<()> {
    let line = serde_json::to_string(&daemon.addresses())?;
    writeln!(io::stdout(), "{line}")
}

async fn stop_wanted(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
