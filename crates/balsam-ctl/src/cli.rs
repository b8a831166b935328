//! The command line.

use crate::commands::{
    Completions, Daemons, Drain, EntryOwner, EntryState, EntryUpstreams, Epochs, Owner,
    QuarantineClear, QuarantineList, RankCreate, RankList, RosterForget, ServiceCreate,
    ServiceList, SettingsDelete, SettingsExplain, SettingsGet, SettingsSet, SettingsUnset,
    Upstreams, ZoneCreate, ZoneList,
};
use clap::{Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Operates balsamswitch through the operator listener of any daemon.
#[derive(Debug, Parser)]
#[command(name = "balsamctl", version)]
pub struct Cli {
    /// Operator address of a daemon, such as 127.0.0.1:7001.
    #[arg(long, global = true, value_name = "ADDR")]
    pub server: Option<SocketAddr>,
    /// File that holds the operator credential; otherwise `BALSAM_CREDENTIAL` is read.
    #[arg(long, global = true, value_name = "FILE")]
    pub credential_file: Option<PathBuf>,
    /// How long to wait for an answer, in milliseconds.
    #[arg(long, global = true, default_value_t = 40_000, value_name = "MS")]
    pub timeout_ms: u64,
    /// Print JSON instead of tables.
    #[arg(long, global = true)]
    pub json: bool,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Create and list services.
    #[command(subcommand)]
    Service(ServiceCommand),
    /// Create and list availability zones.
    #[command(subcommand)]
    Zone(ZoneCommand),
    /// Create and list ranks of work.
    #[command(subcommand)]
    Rank(RankCommand),
    /// Read and edit the settings tree.
    #[command(subcommand)]
    Settings(SettingsCommand),
    /// Find the owner of a key.
    Owner(Owner),
    /// List the daemons of the roster.
    Daemons(Daemons),
    /// List the upstreams.
    Upstreams(Upstreams),
    /// Drain an upstream, or take a drain back.
    Drain(Drain),
    /// List and clear quarantined requests.
    #[command(subcommand)]
    Quarantine(QuarantineCommand),
    /// Change the roster.
    #[command(subcommand)]
    Roster(RosterCommand),
    /// List the adopted epoch of each daemon.
    Epochs(Epochs),
    /// Read what an entry daemon believes; `--server` is its metrics address.
    #[command(subcommand)]
    Entry(EntryCommand),
    /// Print completions for a shell.
    Completions(Completions),
}

/// Commands on an entry daemon.
#[derive(Debug, Subcommand)]
pub enum EntryCommand {
    /// Show its configuration, its leader and the age of what it knows.
    State(EntryState),
    /// Find the owner of a key.
    Owner(EntryOwner),
    /// List the upstreams.
    Upstreams(EntryUpstreams),
}

/// Commands on services.
#[derive(Debug, Subcommand)]
pub enum ServiceCommand {
    /// Create a service.
    Create(ServiceCreate),
    /// List the services.
    List(ServiceList),
}

/// Commands on availability zones.
#[derive(Debug, Subcommand)]
pub enum ZoneCommand {
    /// Create a zone.
    Create(ZoneCreate),
    /// List the zones.
    List(ZoneList),
}

/// Commands on ranks.
#[derive(Debug, Subcommand)]
pub enum RankCommand {
    /// Create a rank of a service.
    Create(RankCreate),
    /// List the ranks of a service.
    List(RankList),
}

/// Commands on the settings tree.
#[derive(Debug, Subcommand)]
pub enum SettingsCommand {
    /// Show the values that nodes set themselves.
    Get(SettingsGet),
    /// Set values of a node.
    Set(SettingsSet),
    /// Remove values of a node, so that it inherits them again.
    Unset(SettingsUnset),
    /// Delete a node.
    Delete(SettingsDelete),
    /// Show the values in effect at a node and where each comes from.
    Explain(SettingsExplain),
}

/// Commands on quarantined requests.
#[derive(Debug, Subcommand)]
pub enum QuarantineCommand {
    /// List quarantined requests.
    List(QuarantineList),
    /// Accept a quarantined request again.
    Clear(QuarantineClear),
}

/// Commands on the roster.
#[derive(Debug, Subcommand)]
pub enum RosterCommand {
    /// Remove a daemon that is known to be dead.
    Forget(RosterForget),
}
