//! The figures of each phase beside their targets.

use super::SiteName;
use super::phases::{FLOODER, Phase};
use super::sites::{LOOKUP, Scale, Site};
use crate::load::{LoadReport, LoadStream, MemberReport, RankReport};
use crate::measure::MeasureError;
use crate::measure::sheet::Sheet;
use balsam_types::RankName;
use serde::Serialize;
use std::collections::BTreeMap;

const LOOKUP_P99_MS: f64 = 11.0;
const KEPT_OF_NOMINAL: f64 = 0.95;
const MEMBER_KEEPS: f64 = 0.9;
const USEFUL_WORK: f64 = 0.9;
const OVERHEAD_P50_MS: f64 = 1.0;

/// What the rows of a nominal phase share.
#[derive(Debug)]
pub(super) struct NominalContext {
    pub site: SiteName,
    pub link_delay_ms: u64,
    pub machine_load: String,
}

/// What the rows of the floods share.
#[derive(Debug)]
pub(super) struct FloodContext {
    pub machine_load: String,
    site: Site,
    work_ms: [u64; 3],
    /// The share that each rank kept at nominal load.
    nominal: BTreeMap<RankName, f64>,
}

impl FloodContext {
    pub(super) fn new(site: &Site) -> Self {
        Self {
            machine_load: String::new(),
            site: site.clone(),
            work_ms: site.work_ms(Scale::Slow),
            nominal: BTreeMap::new(),
        }
    }

    fn work_ms_of(&self, rank: &str) -> u64 {
        match rank {
            "lookup" => self.work_ms[0],
            "order" => self.work_ms[1],
            _ => self.work_ms[2],
        }
    }
}

#[derive(Debug, Serialize)]
struct RankRow {
    site: SiteName,
    phase: &'static str,
    rank: RankName,
    /// Work time of the upstreams; a long one makes the capacity small.
    work_ms: u64,
    scheduled: u64,
    kept: f64,
    kept_of_nominal: Option<f64>,
    p50_ms: f64,
    p99_ms: f64,
    jain: f64,
    failed: u64,
    unknown: u64,
    not_sent: u64,
    send_delay_p99_ms: f64,
    target: Option<String>,
    met: Option<bool>,
    machine_load: String,
}

impl RankRow {
    fn new(site: SiteName, phase: &'static str, rank: &RankName, report: &RankReport) -> Self {
        let all = &report.all;
        Self {
            site,
            phase,
            rank: rank.clone(),
            work_ms: 0,
            scheduled: all.scheduled,
            kept: all.share_kept,
            kept_of_nominal: None,
            p50_ms: all.p50_ms,
            p99_ms: all.p99_ms,
            jain: report.jain_index,
            failed: all.failed,
            unknown: all.unknown,
            not_sent: all.not_sent,
            send_delay_p99_ms: all.send_delay_p99_ms,
            target: None,
            met: None,
            machine_load: String::new(),
        }
    }

    fn set_target(&mut self, target: String, met: bool) {
        self.target = Some(target);
        self.met = Some(met);
    }
}

#[derive(Debug, Serialize)]
struct MemberRow {
    site: SiteName,
    phase: &'static str,
    rank: RankName,
    member: String,
    scheduled: u64,
    kept: f64,
    p99_ms: f64,
    /// The member's part of all work that the rank was answered in time.
    part_of_served: f64,
    target: Option<&'static str>,
    met: Option<bool>,
}

#[derive(Debug, Serialize)]
struct UsefulRow {
    site: SiteName,
    phase: &'static str,
    service: &'static str,
    /// Slot time of requests answered in time, as a part of all slot time.
    useful_work: f64,
    target: Option<String>,
    met: Option<bool>,
}

#[derive(Debug, Serialize)]
struct OverheadRow {
    site: SiteName,
    link_delay_ms: u64,
    routed_p50_ms: f64,
    direct_p50_ms: f64,
    overhead_p50_ms: f64,
    target: String,
    met: bool,
}

/// Adds the rows of the nominal phase at real work times.
pub(super) fn add_nominal(
    context: &NominalContext,
    report: &LoadReport,
    sheet: &mut Sheet,
) -> Result<(), MeasureError> {
    for (rank, of_rank) in &report.ranks {
        let mut row = RankRow::new(context.site, "nominal-real-work", rank, of_rank);
        row.machine_load.clone_from(&context.machine_load);
        row.work_ms = match rank.as_str() {
            "lookup" => 2,
            "order" => 5,
            _ => 20,
        };
        if rank.as_str() == LOOKUP.name {
            let met = row.p99_ms <= LOOKUP_P99_MS;
            row.set_target(format!("p99 <= {LOOKUP_P99_MS} ms"), met);
        }
        sheet.add("flood-rank", &row)?;
    }
    Ok(())
}

/// Adds the router's part of the latency of lookups.
pub(super) fn add_overhead(
    context: &NominalContext,
    routed: &LoadReport,
    direct: &LoadReport,
    sheet: &mut Sheet,
) -> Result<(), MeasureError> {
    let p50_ms = |report: &LoadReport| {
        let lookups = report
            .ranks
            .iter()
            .find(|(rank, _)| rank.as_str() == LOOKUP.name);
        lookups.map_or(0.0, |(_, rank)| rank.all.p50_ms)
    };
    let overhead_p50_ms = p50_ms(routed) - p50_ms(direct);
    let row = OverheadRow {
        site: context.site,
        link_delay_ms: context.link_delay_ms,
        routed_p50_ms: p50_ms(routed),
        direct_p50_ms: p50_ms(direct),
        overhead_p50_ms,
        target: format!("< {OVERHEAD_P50_MS} ms"),
        met: overhead_p50_ms < OVERHEAD_P50_MS,
    };
    sheet.add("flood-overhead", &row)
}

/// Adds the rows of one phase at slow work times.
pub(super) fn add_flood(
    context: &mut FloodContext,
    phase: Phase,
    streams: &[LoadStream],
    report: &LoadReport,
    sheet: &mut Sheet,
) -> Result<(), MeasureError> {
    for (rank, of_rank) in &report.ranks {
        if phase == Phase::Nominal {
            context.nominal.insert(rank.clone(), of_rank.all.share_kept);
        }
        let row = rank_row(context, phase, rank, of_rank, report.elapsed_ms);
        sheet.add("flood-rank", &row)?;
        for (member, of_member) in &of_rank.members {
            let row = member_row(context, phase, rank, member.as_str(), of_member, of_rank);
            sheet.add("flood-member", &row)?;
        }
    }
    for row in useful_rows(context, phase, streams, report) {
        sheet.add("flood-useful", &row)?;
    }
    Ok(())
}

fn rank_row(
    context: &FloodContext,
    phase: Phase,
    rank: &RankName,
    report: &RankReport,
    elapsed_ms: u64,
) -> RankRow {
    let mut row = RankRow::new(context.site.name, phase.name(), rank, report);
    row.machine_load.clone_from(&context.machine_load);
    row.work_ms = context.work_ms_of(rank.as_str());
    row.kept_of_nominal = context.nominal.get(rank).map(|nominal| row.kept / nominal);
    let is_bulk = rank.as_str() == context.site.download.name;
    let flooded = is_bulk || (phase.floods_lookups() && rank.as_str() == LOOKUP.name);
    if phase != Phase::Nominal && !flooded {
        let met = row
            .kept_of_nominal
            .is_some_and(|kept| kept >= KEPT_OF_NOMINAL);
        row.set_target(format!(">= {KEPT_OF_NOMINAL} of nominal"), met);
    }
    if phase.is_shared() && is_bulk {
        // Each lookup upstream guarantees one slot to downloads.
        let guaranteed = LOOKUP.upstreams as f64 * 1_000.0 / row.work_ms as f64;
        let served = report.all.in_deadline as f64 * 1_000.0 / elapsed_ms as f64;
        let target = format!("{served:.1}/s of {guaranteed:.1}/s guaranteed (>= {USEFUL_WORK})");
        row.set_target(target, served >= guaranteed * USEFUL_WORK);
    }
    row
}

fn member_row(
    context: &FloodContext,
    phase: Phase,
    rank: &RankName,
    member: &str,
    report: &MemberReport,
    of_rank: &RankReport,
) -> MemberRow {
    let has_target = member != FLOODER && phase != Phase::Nominal;
    // Downloads of three members at half of the capacity are each below a fourth of it.
    let met = has_target.then_some(report.share_kept >= MEMBER_KEEPS);
    MemberRow {
        site: context.site.name,
        phase: phase.name(),
        rank: rank.clone(),
        member: member.to_owned(),
        scheduled: report.scheduled,
        kept: report.share_kept,
        p99_ms: report.p99_ms,
        part_of_served: report.in_deadline as f64 / of_rank.all.in_deadline.max(1) as f64,
        target: has_target.then_some(">= 0.9 at or below its fair share"),
        met,
    }
}

fn useful_rows(
    context: &FloodContext,
    phase: Phase,
    streams: &[LoadStream],
    report: &LoadReport,
) -> Vec<UsefulRow> {
    let services = [
        LOOKUP.name,
        context.site.order.name,
        context.site.download.name,
    ];
    let row = |service: &'static str| {
        let serves = |rank: &RankName| {
            let of = |stream: &LoadStream| stream.rank == *rank;
            let found = streams.iter().find(|stream| of(stream));
            found.is_some_and(|stream| stream.service.as_str() == service)
        };
        let ranks = report.ranks.iter().filter(|(rank, _)| serves(rank));
        let work_ms: u64 = ranks
            .map(|(rank, of)| of.all.in_deadline * context.work_ms_of(rank.as_str()))
            .sum();
        // Other services may answer long after this one has nothing left to do.
        let of_service = streams.iter().filter(|one| one.service.as_str() == service);
        let ends_ms = of_service.map(|one| one.until_ms + one.deadline_ms);
        let busy_ms = ends_ms.max().unwrap_or(0).min(report.elapsed_ms);
        let slot_ms = context.site.slots_of(service) * busy_ms;
        let useful_work = work_ms as f64 / slot_ms.max(1) as f64;
        let flooded = match service {
            "lookup" => phase.floods_lookups() || phase.is_shared(),
            "order" => false,
            _ => matches!(phase, Phase::DownloadFlood | Phase::DoubleFlood),
        };
        UsefulRow {
            site: context.site.name,
            phase: phase.name(),
            service,
            useful_work,
            target: flooded.then(|| format!(">= {USEFUL_WORK}")),
            met: flooded.then_some(useful_work >= USEFUL_WORK),
        }
    };
    services.into_iter().map(row).collect()
}
