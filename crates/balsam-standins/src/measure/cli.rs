//! The command line.

use super::sheet::Sheet;
use super::{MeasureError, dispatchers, flood, load, losses, placement, slopes};
use clap::{Parser, Subcommand};

/// Measures balsamswitch with real processes and fixed seeds.
#[derive(Debug, Parser)]
#[command(version)]
pub struct MeasureOptions {
    /// Print a table after the JSON lines.
    #[arg(long, global = true)]
    table: bool,
    #[command(subcommand)]
    command: Command,
}

/// What is measured.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Send the load of a plan.
    Load(load::LoadOptions),
    /// Balance and churn of the planner against two baselines.
    Placement(placement::PlacementOptions),
    /// Service by rank and member at nominal load and in floods.
    Flood(flood::FloodOptions),
    /// The chosen dispatcher against a model of independent daemons.
    Dispatchers(dispatchers::DispatchersOptions),
    /// Time without an available owner for each kind of loss.
    Losses(losses::LossesOptions),
    /// Cost of a daemon for control and for each request.
    Slopes(slopes::SlopesOptions),
}

/// Makes the measurement and prints its results.
///
/// # Errors
///
/// Returns an error if the measurement cannot be made.
pub async fn measure(options: MeasureOptions) -> Result<(), MeasureError> {
    let mut sheet = Sheet::new(options.table);
    match &options.command {
        Command::Load(options) => return load::run(options).await,
        Command::Placement(options) => placement::run(options, &mut sheet)?,
        Command::Flood(options) => flood::run(options, &mut sheet).await?,
        Command::Dispatchers(options) => dispatchers::run(options, &mut sheet).await?,
        Command::Losses(options) => losses::run(options, &mut sheet).await?,
        Command::Slopes(options) => slopes::run(options, &mut sheet).await?,
    }
    sheet.finish()
}
