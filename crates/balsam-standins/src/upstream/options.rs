//! Options of an upstream.

use balsam_types::{NameError, RankName, ServiceName, UpstreamName};
use clap::Args;
use snafu::{OptionExt, ResultExt, Snafu};
use std::net::SocketAddr;
use std::str::FromStr;

/// An amount for one rank, written `rank=amount`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RankAmount {
    /// The rank.
    pub rank: RankName,
    /// The amount.
    pub amount: u64,
}

/// A text that is not a [`RankAmount`].
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum OptionError {
    /// The text has no `=`.
    #[snafu(display("{text:?} (accepted: rank=amount)"))]
    NoAmount {
        /// The refused text.
        text: String,
    },
    /// The rank's name is refused.
    #[snafu(display("{source}"))]
    Rank {
        /// Why.
        source: NameError,
    },
    /// The amount is not a number.
    #[snafu(display("amount {text:?}: {source} (accepted: 0 to {})", u64::MAX))]
    Amount {
        /// The refused text.
        text: String,
        /// What is wrong.
        source: std::num::ParseIntError,
    },
}

impl FromStr for RankAmount {
    type Err = OptionError;

    fn from_str(text: &str) -> Result<Self, OptionError> {
        let (rank, amount) = text.split_once('=').context(NoAmountSnafu { text })?;
        Ok(Self {
            rank: RankName::new(rank).context(RankSnafu)?,
            amount: amount.parse().context(AmountSnafu { text: amount })?,
        })
    }
}

const DEFAULT_LISTEN: &str = "127.0.0.1:0";
const DEFAULT_SLOTS: u32 = 3;
const DEFAULT_CONNECTIONS: usize = 120;
const DEFAULT_WORK_MS: &str = "lookup=2,order=5,download=20";
const DEFAULT_BODY_BYTES: &str = "download=1048576";
const DEFAULT_CHUNK_BYTES: u64 = 65_536;
const DEFAULT_WARMUP_PERCENT: u64 = 200;
const DEFAULT_REPORT_LAG_MS: u64 = 2_000;
const DEFAULT_JOURNAL_LIMIT: usize = 200_000;

/// What an upstream is and how fast it works.
#[derive(Clone, Debug, Args)]
pub struct UpstreamOptions {
    /// Address to listen on; port 0 lets the system choose one.
    #[arg(long, default_value = DEFAULT_LISTEN)]
    pub listen: SocketAddr,
    /// Name of the upstream.
    #[arg(long)]
    pub name: UpstreamName,
    /// Service that the upstream serves.
    #[arg(long)]
    pub service: ServiceName,
    /// Run requests that no grant covers.
    #[arg(long)]
    pub no_check_grants: bool,
    /// Requests that run at once; further ones are shed.
    #[arg(long, default_value_t = DEFAULT_SLOTS)]
    pub slots: u32,
    /// Open connections; further ones are closed.
    #[arg(long, default_value_t = DEFAULT_CONNECTIONS)]
    pub connections: usize,
    /// Time that a new connection costs before its first request, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub connect_ms: u64,
    /// Time that an exchange on a control path takes, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub probe_ms: u64,
    /// Work time of a rank in milliseconds, as `rank=ms`, separated by commas.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = DEFAULT_WORK_MS
    )]
    pub work_ms: Vec<RankAmount>,
    /// Size of the downloads of a rank in bytes, as `rank=bytes`, separated by commas.
    #[arg(long, value_delimiter = ',', default_value = DEFAULT_BODY_BYTES)]
    pub body_bytes: Vec<RankAmount>,
    /// Size of one chunk of a download in bytes.
    #[arg(long, default_value_t = DEFAULT_CHUNK_BYTES, value_parser = clap::value_parser!(u64).range(1..))]
    pub chunk_bytes: u64,
    /// Pause before each chunk of a download, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub chunk_ms: u64,
    /// Time after the start during which work is refused, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub starting_ms: u64,
    /// Time after that during which work is slower, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub warmup_ms: u64,
    /// Additional work time at the start of the warm-up, in percent; it falls to 0 evenly.
    #[arg(long, default_value_t = DEFAULT_WARMUP_PERCENT)]
    pub warmup_percent: u64,
    /// Age of the health and load reports, in milliseconds.
    #[arg(long, default_value_t = DEFAULT_REPORT_LAG_MS)]
    pub report_lag_ms: u64,
    /// Executions that the journal keeps.
    #[arg(long, default_value_t = DEFAULT_JOURNAL_LIMIT)]
    pub journal_limit: usize,
    /// Close the connection on a crash path instead of ending the process.
    #[arg(skip)]
    pub embedded: bool,
}

/// Work time of ranks that no option names, in milliseconds.
const OTHER_WORK_MS: u64 = 1;

impl UpstreamOptions {
    /// Makes the options of an upstream with the defaults of the command line, on any port.
    pub fn new(name: UpstreamName, service: ServiceName) -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            name,
            service,
            no_check_grants: false,
            slots: DEFAULT_SLOTS,
            connections: DEFAULT_CONNECTIONS,
            connect_ms: 0,
            probe_ms: 0,
            work_ms: amounts(DEFAULT_WORK_MS),
            body_bytes: amounts(DEFAULT_BODY_BYTES),
            chunk_bytes: DEFAULT_CHUNK_BYTES,
            chunk_ms: 0,
            starting_ms: 0,
            warmup_ms: 0,
            warmup_percent: DEFAULT_WARMUP_PERCENT,
            report_lag_ms: DEFAULT_REPORT_LAG_MS,
            journal_limit: DEFAULT_JOURNAL_LIMIT,
            embedded: false,
        }
    }

    /// Returns the work time of a rank in milliseconds.
    pub fn work_ms_of(&self, rank: Option<&RankName>) -> u64 {
        amount_of(&self.work_ms, rank).unwrap_or(OTHER_WORK_MS)
    }

    /// Returns the size of a rank's downloads in bytes, or `None` if it has none.
    pub fn body_bytes_of(&self, rank: Option<&RankName>) -> Option<u64> {
        amount_of(&self.body_bytes, rank)
    }
}

fn amount_of(amounts: &[RankAmount], rank: Option<&RankName>) -> Option<u64> {
    let rank = rank?;
    let found = amounts.iter().find(|amount| amount.rank == *rank)?;
    Some(found.amount)
}

fn amounts(text: &str) -> Vec<RankAmount> {
    let parsed = text.split(',').map(str::parse);
    parsed.filter_map(Result::ok).collect()
}
