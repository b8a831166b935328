//! The load of each phase.

use super::sites::{LOOKUP, SLOW_DOWNLOADS, SLOW_LOOKUPS, SLOW_ORDERS, Scale, Site};
use crate::load::LoadStream;
use balsam_types::NameError;

/// The part of its capacity that each service is asked for at nominal load.
const NOMINAL: f64 = 0.5;
/// The rate of a flood as a multiple of the capacity.
const FLOOD: f64 = 10.0;
/// Members at nominal load, each with an equal part.
const MEMBERS: [&str; 3] = ["m1", "m2", "m3"];
/// The member that floods.
pub(super) const FLOODER: &str = "flooder";
/// Rates at real work times, which one machine can generate: lookups, orders, downloads.
const REAL_RATES: [f64; 3] = [300.0, 60.0, 20.0];
/// Lookups per second without a router.
pub(super) const DIRECT_RATE: f64 = 100.0;
/// Deadline as a multiple of the work time.
const DEADLINE_WORKS: u64 = 5;
const REAL_DEADLINE_MS: u64 = 1_000;

/// A phase at slow work times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No flood.
    Nominal,
    /// A member floods the download service.
    DownloadFlood,
    /// It floods the lookup service as well.
    DoubleFlood,
    /// A member floods the lookup service only.
    MemberFlood,
    /// Downloads flood the lookup service, where they share slots with lookups.
    SharedFlood,
    /// Both ranks flood the lookup service.
    SharedDoubleFlood,
}

impl Phase {
    pub(super) const ALL: [Self; 6] = [
        Self::Nominal,
        Self::DownloadFlood,
        Self::DoubleFlood,
        Self::MemberFlood,
        Self::SharedFlood,
        Self::SharedDoubleFlood,
    ];

    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Nominal => "nominal",
            Self::DownloadFlood => "download-flood",
            Self::DoubleFlood => "download-and-lookup-flood",
            Self::MemberFlood => "member-flood",
            Self::SharedFlood => "shared-download-flood",
            Self::SharedDoubleFlood => "shared-double-flood",
        }
    }

    /// Returns whether lookups are flooded.
    pub(super) const fn floods_lookups(self) -> bool {
        match self {
            Self::DoubleFlood | Self::MemberFlood | Self::SharedDoubleFlood => true,
            Self::Nominal | Self::DownloadFlood | Self::SharedFlood => false,
        }
    }

    /// Returns whether downloads share the slots of the lookup service.
    pub(super) const fn is_shared(self) -> bool {
        matches!(self, Self::SharedFlood | Self::SharedDoubleFlood)
    }
}

/// Returns the nominal load of each service.
pub(super) fn nominal_streams(
    site: &Site,
    scale: Scale,
    until_ms: u64,
) -> Result<Vec<LoadStream>, NameError> {
    let rates = match scale {
        Scale::Real => REAL_RATES,
        Scale::Slow => [SLOW_LOOKUPS, SLOW_ORDERS, SLOW_DOWNLOADS].map(|rate| rate * NOMINAL),
    };
    let works = site.work_ms(scale);
    let mut streams = Vec::new();
    for (index, service) in [LOOKUP, site.order, site.download].iter().enumerate() {
        let deadline_ms = match scale {
            Scale::Real => REAL_DEADLINE_MS,
            Scale::Slow => works[index] * DEADLINE_WORKS,
        };
        let rate = rates[index] / MEMBERS.len() as f64;
        for member in MEMBERS {
            streams.push(service.stream(member, rate, until_ms, deadline_ms)?);
        }
    }
    Ok(streams)
}

/// Returns the load of a phase at slow work times.
pub(super) fn phase_streams(
    phase: Phase,
    site: &Site,
    until_ms: u64,
) -> Result<Vec<LoadStream>, NameError> {
    let mut streams = nominal_streams(site, Scale::Slow, until_ms)?;
    if phase.is_shared() {
        // Downloads of the lookup service would be counted together with the others.
        streams.retain(|stream| stream.service.as_str() != site.download.name);
    }
    let [lookup_ms, _, download_ms] = site.work_ms(Scale::Slow);
    let lookups = || {
        let deadline_ms = lookup_ms * DEADLINE_WORKS;
        LOOKUP.stream(FLOODER, SLOW_LOOKUPS * FLOOD, until_ms, deadline_ms)
    };
    let downloads = || {
        let deadline_ms = download_ms * DEADLINE_WORKS;
        let rate = SLOW_DOWNLOADS * FLOOD;
        site.download.stream(FLOODER, rate, until_ms, deadline_ms)
    };
    match phase {
        Phase::Nominal => {}
        Phase::DownloadFlood => streams.push(downloads()?),
        Phase::DoubleFlood => streams.extend([downloads()?, lookups()?]),
        Phase::MemberFlood => streams.push(lookups()?),
        Phase::SharedFlood => streams.push(shared_downloads(site, until_ms)?),
        Phase::SharedDoubleFlood => {
            streams.extend([shared_downloads(site, until_ms)?, lookups()?]);
        }
    }
    Ok(streams)
}

/// Returns nominal lookups and floods of both ranks on the lookup service.
pub(in crate::measure) fn shared_streams(
    site: &Site,
    until_ms: u64,
) -> Result<Vec<LoadStream>, NameError> {
    let streams = phase_streams(Phase::SharedDoubleFlood, site, until_ms)?;
    let on_lookups = |stream: &LoadStream| stream.service.as_str() == LOOKUP.name;
    Ok(streams.into_iter().filter(on_lookups).collect())
}

/// Returns a flood of downloads at 10 times the capacity that all lookup slots have for them.
fn shared_downloads(site: &Site, until_ms: u64) -> Result<LoadStream, NameError> {
    let download_ms = site.work_ms(Scale::Slow)[2];
    let capacity = site.slots_of(LOOKUP.name) as f64 * 1_000.0 / download_ms as f64;
    let deadline_ms = download_ms * DEADLINE_WORKS;
    let mut stream = LOOKUP.stream(FLOODER, capacity * FLOOD, until_ms, deadline_ms)?;
    stream.rank = site.download.name.parse()?;
    Ok(stream)
}
