//! Reads and validates the settings file.

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
    /// Name of the machine on which the daemon runs.
    pub daemon: DaemonName,
    /// Availability zone of the machine.
    pub zone: ZoneName,
    /// Addresses for callers, for the platform and for other daemons.
    pub listen: Listen,
    /// Capacity of the machine.
    pub machine: Machine,
    /// Shared secret of all daemons of a deployment. Datagrams without it are dropped.
    pub peer_credential: String,
    /// Credential that operators present to read the routing state. Without it all their requests
    /// are refused.
    #[serde(default)]
    pub operator_credential: Option<Credential>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Upper limit on a row of the store, in bytes.
    pub row_max_bytes: usize,
    /// Limits of the deployment.
    pub bounds: Bounds,
    /// Number of daemons for each slot of an upstream from which on the room of upstreams is kept
    /// for all daemons together. With 0, the default, each daemon always goes by its own limits.
    #[serde(default)]
    pub room_daemons_per_slot: u32,
    /// Whether all daemons of the deployment start for the first time, so that none has any state.
    #[serde(default)]
    pub first_start: bool,
    /// Least severe level that is logged.
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

/// Capacity of the daemon's machine.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Share of a processor core.
    pub cpu_share: f64,
    /// Speed of that core relative to a standard one.
    pub cpu_speed: f64,
    /// Bandwidth of the network link in megabits per second.
    pub link_mbps: f64,
    /// Memory in megabytes (10^6 bytes). Without it the bytes that are held for callers and
    /// upstreams are not limited.
    #[serde(default)]
    pub memory_mb: Option<f64>,
}

/// Limits of the deployment. Times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time between the signal to stop and the kill of the process.
    pub grace_s: f64,
    /// Attempts beyond the first that the retry budget allows per request.
    pub retry_budget_ratio: f64,
    /// Length of the window of the retry budget.
    pub budget_window_s: f64,
    /// Attempts beyond the first that are always allowed in a window, over all daemons.
    pub budget_slack: f64,
    /// Longest duration of a grant of keys.
    pub hold_max_s: f64,
    /// How long an upstream that leaves still takes requests. With the default, 0, it gets none once
    /// it has announced its leaving in an answer.
    #[serde(default)]
    pub drain_s: f64,
    /// How soon every daemon acts by a change that the store has acknowledged. Below 2 seconds, the
    /// default, daemons do not get sooner.
    #[serde(default = "default_propagation_s")]
    pub propagation_s: f64,
    /// How soon after the store has acknowledged the evacuation of a zone the last request reaches
    /// its upstreams.
    #[serde(default = "default_evacuation_s")]
    pub evacuation_s: f64,
}

const fn default_evacuation_s() -> f64 {
    5.0
}

const fn default_propagation_s() -> f64 {
    2.0
}

const fn default_level() -> LevelFilter {
    LevelFilter::Info
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsError`] that names the file or the field, the value and the accepted
    /// values.
    pub fn read(path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        let settings: Self = serde_json::from_str(&text).context(MalformedSnafu { path })?;
        settings.validate()?;
        Ok(settings)
    }

    /// Returns the fields that differ in `next` and take effect only after a restart.
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
                "room_daemons_per_slot",
                self.room_daemons_per_slot != next.room_daemons_per_slot,
            ),
            (
                "bounds.hold_max_s",
                self.bounds.hold_max_ms() != next.bounds.hold_max_ms(),
            ),
            (
                "bounds.drain_s",
                self.bounds.drain_ms() != next.bounds.drain_ms(),
            ),
            (
                "bounds.propagation_s",
                self.bounds.propagation_ms() != next.bounds.propagation_ms(),
            ),
            (
                "bounds.evacuation_s",
                self.bounds.evacuation_ms() != next.bounds.evacuation_ms(),
            ),
        ];
        let changed = changed.into_iter().filter(|(_, differs)| *differs);
        changed.map(|(field, _)| field).collect()
    }

    fn validate(&self) -> Result<(), SettingsError> {
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
        self.machine.validate()?;
        self.bounds.validate()
    }
}

/// Range of the configurable row length in bytes. The store accepts at most 1 MB per call that
/// writes rows.
const ROW_MIN_BYTES: usize = 4 << 10;
const ROW_MAX_BYTES: usize = 1 << 20;

/// Share of a standard core that can carry the duties of the leader in addition to requests.
const LEADER_CORES: f64 = 0.5;

/// Bandwidth in megabits per second that can carry the duties of the leader in addition to
/// requests.
const LEADER_MBPS: f64 = 100.0;

/// Bandwidth in megabits per second that can carry the messages of a keeper in addition to requests.
const KEEPER_MBPS: f64 = 10.0;

/// Range of the configurable memory in megabytes. Below the minimum little would be left for bodies
/// beside the program and its connections.
const MEMORY_MIN_MB: f64 = 64.0;
const MEMORY_MAX_MB: f64 = 1_048_576.0;

impl Machine {
    fn validate(&self) -> Result<(), SettingsError> {
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
        if let Some(memory_mb) = self.memory_mb {
            ensure!(
                (MEMORY_MIN_MB..=MEMORY_MAX_MB).contains(&memory_mb),
                OutOfRangeSnafu {
                    field: "machine.memory_mb",
                    value: memory_mb.to_string(),
                    accepted: "64 to 1048576 megabytes, or left out for no limit",
                }
            );
        }
        Ok(())
    }

    /// Returns the memory in whole megabytes, if it is limited.
    pub fn memory_whole_mb(&self) -> Option<u64> {
        self.memory_mb.map(|memory_mb| memory_mb as u64)
    }

    /// Returns the share of the leader's duties that the machine can carry, from 0 to 1.
    pub fn leader_capacity(&self) -> f64 {
        let cores = self.cpu_share * self.cpu_speed / LEADER_CORES;
        cores.min(self.link_mbps / LEADER_MBPS).clamp(0.0, 1.0)
    }

    /// Returns the strength of the machine as a keeper of the room of upstreams, from 1 to 100.
    pub fn keeper_weight(&self) -> u16 {
        let cores = self.cpu_share * self.cpu_speed / LEADER_CORES;
        let strength = cores.min(self.link_mbps / KEEPER_MBPS).clamp(0.01, 1.0);
        (strength * 100.0).round() as u16
    }
}

impl Bounds {
    fn validate(&self) -> Result<(), SettingsError> {
        let seconds = "0.05 to 3600 seconds";
        let is_in_range = |value: f64| (0.05..=3_600.0).contains(&value);
        let times = [
            ("bounds.grace_s", self.grace_s),
            ("bounds.budget_window_s", self.budget_window_s),
            ("bounds.hold_max_s", self.hold_max_s),
            ("bounds.propagation_s", self.propagation_s),
            ("bounds.evacuation_s", self.evacuation_s),
        ];
        for (field, value) in times {
            let value_text = value.to_string();
            ensure!(
                is_in_range(value),
                OutOfRangeSnafu {
                    field,
                    value: value_text,
                    accepted: seconds
                }
            );
        }
        ensure!(
            (0.0..=3_600.0).contains(&self.drain_s),
            OutOfRangeSnafu {
                field: "bounds.drain_s",
                value: self.drain_s.to_string(),
                accepted: "0 to 3600 seconds",
            }
        );
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

    /// Returns the retry budget, with an assumed number of daemons until the actual one is known.
    pub fn budget(&self) -> BudgetTerms {
        BudgetTerms {
            ratio: self.retry_budget_ratio,
            window_ms: to_ms(self.budget_window_s),
            slack: self.budget_slack,
            daemons: DAEMONS_ASSUMED,
        }
    }

    /// Returns the grace period in milliseconds.
    pub fn grace_ms(&self) -> u64 {
        to_ms(self.grace_s)
    }

    /// Returns how long an upstream that leaves still takes requests, in milliseconds.
    pub fn drain_ms(&self) -> u64 {
        to_ms(self.drain_s)
    }

    /// Returns how soon every daemon acts by a change, in milliseconds.
    ///
    /// An upstream that leaves takes requests for the time of `drain_s`, so that the news of it may
    /// not take longer.
    pub fn propagation_ms(&self) -> u64 {
        let propagation_ms = to_ms(self.propagation_s);
        match self.drain_ms() {
            0 => propagation_ms,
            drain_ms => propagation_ms.min(drain_ms),
        }
    }

    /// Returns how soon after its acknowledgement an evacuation is complete, in milliseconds.
    pub fn evacuation_ms(&self) -> u64 {
        to_ms(self.evacuation_s)
    }

    /// Returns the longest duration of a grant in milliseconds.
    pub fn hold_max_ms(&self) -> u64 {
        to_ms(self.hold_max_s)
    }
}

/// Number of daemons assumed until the actual one is known. A number that is too high is safe,
/// because it only makes this daemon's share of the retry budget smaller.
const DAEMONS_ASSUMED: u32 = 64;

/// Converts validated seconds to whole milliseconds.
fn to_ms(seconds: f64) -> u64 {
    (seconds * 1_000.0) as u64
}
