//! Fields and validation of the settings file.

use super::error::{FaultsSnafu, NotAnObjectSnafu, NotJsonSnafu, UnreadableSnafu};
use super::fields::Fields;
use super::{ConfigError, Credential, FieldFaults, Limits};
use balsam_types::{CREDENTIAL_MAX_BYTES, CREDENTIAL_MIN_BYTES};
use balsam_types::{RegionName, ZoneName};
use log::LevelFilter;
use serde_json::{Map, Value};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::path::Path;

const LISTEN_ACCEPTED: &str =
    "an IP address and port, such as \"127.0.0.1:7000\"; port 0 picks one";
const REMOTE_ACCEPTED: &str = "an IP address and port from 1 to 65535, such as \"10.0.0.1:7000\"";
const NAME_ACCEPTED: &str = "a name of 1 to 128 letters, digits, '-', '_', '.' or ':'";
const LEVEL_ACCEPTED: &str = "\"off\", \"error\", \"warn\", \"info\", \"debug\" or \"trace\"";

/// The static configuration of one daemon, read at start-up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The listen address for requests from callers.
    pub caller_listen: SocketAddr,
    /// The listen address of the operator API.
    pub operator_listen: SocketAddr,
    /// The listen address for connections from other daemons.
    pub peer_listen: SocketAddr,
    /// The address that other daemons connect to. `None` advertises the bound address of the peer
    /// listener.
    pub peer_advertise: Option<SocketAddr>,
    /// The availability zone in which the daemon runs.
    pub zone: ZoneName,
    /// The region in which the daemon runs.
    pub region: RegionName,
    /// The address of the platform API, which stores the control table.
    pub platform: SocketAddr,
    /// The shared secret with which daemons authenticate to each other.
    pub peer_credential: Credential,
    /// The secret with which operators authenticate.
    pub operator_credential: Credential,
    /// The most verbose level that is logged.
    pub log_level: LevelFilter,
    /// Limits of the listeners and of the shutdown.
    pub limits: Limits,
}

impl Config {
    /// Loads and validates the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::Faults`] with every validation error, or another [`ConfigError`] if
    /// the file cannot be read or parsed.
    pub fn read(path: impl AsRef<Path>) -> Result<Self, ConfigError> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        Self::from_json(text)
    }

    /// Parses and validates the contents of a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::Faults`] with every validation error, or another [`ConfigError`] if
    /// `text` is not a JSON object.
    pub fn from_json(text: impl AsRef<str>) -> Result<Self, ConfigError> {
        match serde_json::from_str(text.as_ref()).context(NotJsonSnafu)? {
            Value::Object(values) => Self::from_fields(values),
            Value::Null => NotAnObjectSnafu { found: "null" }.fail(),
            Value::Bool(_) => NotAnObjectSnafu { found: "a boolean" }.fail(),
            Value::Number(_) => NotAnObjectSnafu { found: "a number" }.fail(),
            Value::String(_) => NotAnObjectSnafu { found: "a string" }.fail(),
            Value::Array(_) => NotAnObjectSnafu { found: "an array" }.fail(),
        }
    }

    fn from_fields(values: Map<String, Value>) -> Result<Self, ConfigError> {
        let mut fields = Fields::new("", values);
        let caller_listen = fields.parsed("caller_listen", LISTEN_ACCEPTED);
        let operator_listen = fields.parsed("operator_listen", LISTEN_ACCEPTED);
        let peer_listen = fields.parsed("peer_listen", LISTEN_ACCEPTED);
        let peer_advertise = read_peer_advertise(&mut fields, peer_listen);
        let zone = fields.parsed("zone", NAME_ACCEPTED);
        let region = fields.parsed("region", NAME_ACCEPTED);
        let platform = fields.text("platform", REMOTE_ACCEPTED, remote_address);
        let peer_credential = read_credential(&mut fields, "peer_credential");
        let operator_credential = read_credential(&mut fields, "operator_credential");
        let log_level = fields.optional_text("log_level", LEVEL_ACCEPTED, |text| text.parse().ok());
        let limits = read_limits(&mut fields);
        let faults = FieldFaults(fields.finish());
        let config = || {
            Some(Self {
                caller_listen: caller_listen?,
                operator_listen: operator_listen?,
                peer_listen: peer_listen?,
                peer_advertise,
                zone: zone?,
                region: region?,
                platform: platform?,
                peer_credential: peer_credential?,
                operator_credential: operator_credential?,
                log_level: log_level.unwrap_or(LevelFilter::Info),
                limits,
            })
        };
        match config().filter(|_| faults.0.is_empty()) {
            Some(config) => Ok(config),
            None => FaultsSnafu { faults }.fail(),
        }
    }
}

/// Reads the advertised address, which is required if the peer listener binds to a wildcard
/// address: other daemons cannot connect to an unspecified address.
fn read_peer_advertise(fields: &mut Fields, listen: Option<SocketAddr>) -> Option<SocketAddr> {
    let value = fields.take("peer_advertise");
    let is_wildcard = listen.is_some_and(|address| address.ip().is_unspecified());
    let reported = match &value {
        None if !is_wildcard => return None,
        None => "(absent)".to_owned(),
        Some(value) => value.to_string(),
    };
    let address = value
        .as_ref()
        .and_then(Value::as_str)
        .and_then(remote_address);
    if address.is_none() {
        fields.reject("peer_advertise", reported, REMOTE_ACCEPTED);
    }
    address
}

fn read_credential(fields: &mut Fields, name: &'static str) -> Option<Credential> {
    let accepted =
        format!("{CREDENTIAL_MIN_BYTES} to {CREDENTIAL_MAX_BYTES} visible ASCII characters");
    fields.secret(name, &accepted, |text| Credential::new(text))
}

fn read_limits(fields: &mut Fields) -> Limits {
    match fields.take("limits") {
        None => Limits::default(),
        Some(Value::Object(values)) => {
            let (limits, faults) = Limits::read(values);
            fields.add_faults(faults);
            limits
        }
        Some(other) => {
            fields.reject("limits", other.to_string(), "a JSON object");
            Limits::default()
        }
    }
}

fn remote_address(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    let is_reachable = address.port() != 0 && !address.ip().is_unspecified();
    is_reachable.then_some(address)
}
