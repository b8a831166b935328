//! From the command line to the exit code.

use crate::cli::{
    Cli, Command, EntryCommand, QuarantineCommand, RankCommand, RosterCommand, ServiceCommand,
    SettingsCommand, ZoneCommand,
};
use crate::credential::read_credential;
use crate::error::{EXIT_DONE, EXIT_PENDING, NoServerSnafu, OutputSnafu};
use crate::{Client, CtlError, Report};
use snafu::{OptionExt, ResultExt};
use std::io::Write;
use std::process::ExitCode;
use std::time::Duration;

/// Carries out the command, prints its result and returns the exit code.
pub async fn run(cli: Cli) -> ExitCode {
    let json = cli.json;
    let result = match carry_out(cli).await {
        Ok(report) => print(&report, json).map(|()| report.pending),
        Err(error) => Err(error),
    };
    match result {
        Ok(false) => ExitCode::from(EXIT_DONE),
        Ok(true) => ExitCode::from(EXIT_PENDING),
        Err(error) => {
            if json {
                eprintln!("{}", error.to_json());
            } else {
                eprintln!("error: {error}\nhelp: {}", error.help());
            }
            ExitCode::from(error.exit_code())
        }
    }
}

async fn carry_out(cli: Cli) -> Result<Report, CtlError> {
    if let Command::Completions(command) = &cli.command {
        return Ok(command.run());
    }
    let server = cli.server.context(NoServerSnafu)?;
    let credential = read_credential(cli.credential_file.as_deref())?;
    let client = Client::new(server, credential, Duration::from_millis(cli.timeout_ms));
    dispatch(&client, cli.command).await
}

async fn dispatch(client: &Client, command: Command) -> Result<Report, CtlError> {
    match command {
        Command::Service(ServiceCommand::Create(command)) => command.run(client).await,
        Command::Service(ServiceCommand::List(command)) => command.run(client).await,
        Command::Zone(ZoneCommand::Create(command)) => command.run(client).await,
        Command::Zone(ZoneCommand::List(command)) => command.run(client).await,
        Command::Rank(RankCommand::Create(command)) => command.run(client).await,
        Command::Rank(RankCommand::List(command)) => command.run(client).await,
        Command::Settings(SettingsCommand::Get(command)) => command.run(client).await,
        Command::Settings(SettingsCommand::Set(command)) => command.run(client).await,
        Command::Settings(SettingsCommand::Unset(command)) => command.run(client).await,
        Command::Settings(SettingsCommand::Delete(command)) => command.run(client).await,
        Command::Settings(SettingsCommand::Explain(command)) => command.run(client).await,
        Command::Owner(command) => command.run(client).await,
        Command::Daemons(command) => command.run(client).await,
        Command::Upstreams(command) => command.run(client).await,
        Command::Drain(command) => command.run(client).await,
        Command::Quarantine(QuarantineCommand::List(command)) => command.run(client).await,
        Command::Quarantine(QuarantineCommand::Clear(command)) => command.run(client).await,
        Command::Roster(RosterCommand::Forget(command)) => command.run(client).await,
        Command::Epochs(command) => command.run(client).await,
        Command::Entry(EntryCommand::State(command)) => command.run(client).await,
        Command::Entry(EntryCommand::Owner(command)) => command.run(client).await,
        Command::Entry(EntryCommand::Upstreams(command)) => command.run(client).await,
        Command::Completions(command) => Ok(command.run()),
    }
}

fn print(report: &Report, json: bool) -> Result<(), CtlError> {
    let mut out = std::io::stdout().lock();
    if json {
        writeln!(out, "{}", report.json).context(OutputSnafu)?;
    } else {
        write!(out, "{}", report.text).context(OutputSnafu)?;
    }
    out.flush().context(OutputSnafu)
}
