//! Errors of applying a change to the control state.

use crate::settings::SettingsError;
use balsam_types::{Epoch, Incarnation, UnitId, UpstreamName};
use snafu::Snafu;

/// The reason why a change cannot be applied to the control state.
///
/// A writer applies its change to its own copy of the state before it commits, so a committed entry
/// that fails to apply means that the log is damaged.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ApplyError {
    /// The entry's epoch is not the one after the state's epoch.
    #[snafu(display("log entry {entry} does not follow epoch {epoch}"))]
    OutOfOrder {
        /// The entry's epoch.
        entry: Epoch,
        /// The state's epoch.
        epoch: Epoch,
    },
    /// An edit of the settings is refused.
    #[snafu(display("{source}"))]
    Settings {
        /// The reason for the refusal.
        source: SettingsError,
    },
    /// The author of a placement change is not the placer.
    #[snafu(display("daemon {author} is not the placer"))]
    NotPlacer {
        /// The author.
        author: Incarnation,
    },
    /// The daemon is not in the roster.
    #[snafu(display("daemon {incarnation} is not in the roster"))]
    NotInRoster {
        /// The daemon.
        incarnation: Incarnation,
    },
    /// The daemon is recorded as ended and cannot join again under the same incarnation.
    #[snafu(display("daemon {incarnation} has departed"))]
    Departed {
        /// The daemon.
        incarnation: Incarnation,
    },
    /// The upstream is not known.
    #[snafu(display("upstream {name} is not known"))]
    UnknownUpstream {
        /// The upstream.
        name: UpstreamName,
    },
    /// The upstream still owns units.
    #[snafu(display("upstream {name} still owns units"))]
    StillOwner {
        /// The upstream.
        name: UpstreamName,
    },
    /// The unit's owner is not the one that the change expects.
    #[snafu(display("unit {unit} is not held as the change expects"))]
    WrongOwner {
        /// The unit.
        unit: UnitId,
    },
    /// No open roster was replaced at or before the epoch, so there is nothing to close.
    #[snafu(display("no roster up to epoch {through} can be closed"))]
    NothingToClose {
        /// The last epoch to close.
        through: Epoch,
    },
}
