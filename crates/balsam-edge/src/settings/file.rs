//! Reads and checks the settings file.

use super::SettingsError;
use super::error::{MalformedSnafu, OutOfRangeSnafu, UnreadableSnafu};
use balsam_decide::budget::BudgetTerms;
use balsam_types::{Credential, DaemonName, ZoneName};
use log::LevelFilter;
use serde::Deserialize;
use snafu::{ResultExt, ensure};
use std::net::SocketAddr;
use std::path::Path;

/// The settings of one daemon.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the daemon's machine.
    pub daemon: DaemonName,
    /// The machine's zone.
    pub zone: ZoneName,
    /// Where callers, the platform and other daemons connect.
    pub listen: Listen,
    /// What the machine can carry.
    pub machine: Machine,
    /// A word that all daemons of a deployment share; datagrams without it are dropped.
    pub peer_credential: String,
    /// What operators present to read what the daemon believes; without it nothing is told.
    #[serde(default)]
    pub operator_credential: Option<Credential>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// Bytes that a row of the store may have.
    pub row_max_bytes: usize,
    /// What the deployment promises.
    pub bounds: Bounds,
    /// The least level of log lines.
    #[serde(default = "default_level")]
    pub log_level: LevelFilter,
}

/// Listening addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the platform's readiness checks.
    pub readiness: SocketAddr,
    /// For datagrams of other daemons.
    pub peers: SocketAddr,
    /// For readers of metrics.
    pub metrics: SocketAddr,
}

/// What the daemon's machine can carry.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// The share of a core.
    pub cpu_share: f64,
    /// The speed of that core, relative to an ordinary one.
    pub cpu_speed: f64,
    /// The bandwidth of its link in megabits per second.
    pub link_mbps: f64,
}

/// What the deployment promises; times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// The time between a request to stop and the kill.
    pub grace_s: f64,
    /// Arrivals beyond the first of each request, for one request.
    pub retry_budget_ratio: f64,
    /// The length of the window of the retry budget.
    pub budget_window_s: f64,
    /// Arrivals beyond the first that are always allowed in a window, over all daemons.
    pub budget_slack: f64,
    /// The longest time for which keys may be granted.
    pub hold_max_s: f64,
}

const fn default_level() -> LevelFilter {
    LevelFilter::Info
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsError`] that names the file or the field, the value and what is
    /// accepted.
    pub fn read(path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        let settings: Self = serde_json::from_str(&text).context(MalformedSnafu { path })?;
        settings.check()?;
        Ok(settings)
    }

    /// Returns the fields that differ from `next` and are taken only by a new start.
    pub fn changes_requiring_restart(&self, next: &Self) -> Vec<&'static str> {
        let changed = [
            ("daemon", self.daemon != next.daemon),
            ("zone", self.zone != next.zone),
            ("listen", self.listen != next.listen),
            ("machine", self.machine != next.machine),
            (
                "peer_credential",
                self.peer_credential != next.peer_credential,
            ),
            (
                "operator_credential",
                self.operator_credential != next.operator_credential,
            ),
            ("store", self.store != next.store),
            ("row_max_bytes", self.row_max_bytes != next.row_max_bytes),
            (
                "bounds.hold_max_s",
                self.bounds.hold_max_ms() != next.bounds.hold_max_ms(),
            ),
        ];
        let changed = changed.into_iter().filter(|(_, differs)| *differs);
        changed.map(|(field, _)| field).collect()
    }

    fn check(&self) -> Result<(), SettingsError> {
        ensure!(
            !self.peer_credential.is_empty(),
            OutOfRangeSnafu {
                field: "peer_credential",
                value: "empty",
                accepted: "one character or more",
            }
        );
        ensure!(
            (ROW_MIN_BYTES..=ROW_MAX_BYTES).contains(&self.row_max_bytes),
            OutOfRangeSnafu {
                field: "row_max_bytes",
                value: self.row_max_bytes.to_string(),
                accepted: "4096 to 1048576",
            }
        );
        self.machine.check()?;
        self.bounds.check()
    }
}

/// The bounds of the length of rows; a call that writes rows has at most 1 MB.
const ROW_MIN_BYTES: usize = 4 << 10;
const ROW_MAX_BYTES: usize = 1 << 20;

/// The part of an ordinary core that carries the duties of the leader beside requests.
const LEADER_CORES: f64 = 0.5;

/// The bandwidth that carries the duties of the leader beside requests.
const LEADER_MBPS: f64 = 100.0;

impl Machine {
    fn check(&self) -> Result<(), SettingsError> {
        let fields = [
            ("machine.cpu_share", self.cpu_share),
            ("machine.cpu_speed", self.cpu_speed),
            ("machine.link_mbps", self.link_mbps),
        ];
        for (field, value) in fields {
            ensure!(
                value > 0.0 && value.is_finite(),
                OutOfRangeSnafu {
                    field,
                    value: value.to_string(),
                    accepted: "a number above 0",
                }
            );
        }
        Ok(())
    }

    /// Returns how well the machine can carry the duties of the leader, from 0 to 1.
    pub fn leader_capacity(&self) -> f64 {
        let cores = self.cpu_share * self.cpu_speed / LEADER_CORES;
        cores.min(self.link_mbps / LEADER_MBPS).clamp(0.0, 1.0)
    }
}

impl Bounds {
    fn check(&self) -> Result<(), SettingsError> {
        let seconds = "0.05 to 3600 seconds";
        let within = |value: f64| (0.05..=3_600.0).contains(&value);
        let times = [
            ("bounds.grace_s", self.grace_s),
            ("bounds.budget_window_s", self.budget_window_s),
            ("bounds.hold_max_s", self.hold_max_s),
        ];
        for (field, value) in times {
            let value_text = value.to_string();
            ensure!(
                within(value),
                OutOfRangeSnafu {
                    field,
                    value: value_text,
                    accepted: seconds
                }
            );
        }
        let counts = [
            ("bounds.retry_budget_ratio", self.retry_budget_ratio, 100.0),
            ("bounds.budget_slack", self.budget_slack, 1e6),
        ];
        for (field, value, max) in counts {
            ensure!(
                (0.0..=max).contains(&value),
                OutOfRangeSnafu {
                    field,
                    value: value.to_string(),
                    accepted: "0 to 100 for the ratio, 0 to 1000000 for the slack",
                }
            );
        }
        Ok(())
    }

    /// Returns the budget for repeats, before the number of daemons is known.
    pub fn budget(&self) -> BudgetTerms {
        BudgetTerms {
            ratio: self.retry_budget_ratio,
            window_ms: to_ms(self.budget_window_s),
            slack: self.budget_slack,
            daemons: DAEMONS_UNKNOWN,
        }
    }

    /// Returns the grace time in milliseconds.
    pub fn grace_ms(&self) -> u64 {
        to_ms(self.grace_s)
    }

    /// Returns the longest hold in milliseconds.
    pub fn hold_max_ms(&self) -> u64 {
        to_ms(self.hold_max_s)
    }
}

/// The number of daemons assumed until the store has named them; too many is the safe side.
const DAEMONS_UNKNOWN: u32 = 64;

/// Returns whole milliseconds of checked seconds.
fn to_ms(seconds: f64) -> u64 {
    (seconds * 1_000.0) as u64
}
