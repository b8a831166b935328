//! Results by rank and member.

use super::report::{LoadReport, MemberReport, RankReport, jain_index};
use balsam_types::{MemberName, NotRunReason, RankName, UnknownReason};
use hdrhistogram::Histogram;
use snafu::{ResultExt, Snafu};
use std::collections::BTreeMap;

/// The longest latency that is told apart, in microseconds.
const LATENCY_MAX_US: u64 = 120_000_000;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A whole answer arrived.
    Answered,
    /// The request was reported as not run, for this reason if one was given.
    NotRun(Option<NotRunReason>),
    /// It was reported as unknown whether the request ran, for this reason if one was given.
    Unknown(Option<UnknownReason>),
    /// There was another answer, a part of one or none.
    Failed,
    /// The generator held too many requests to send this one.
    NotSent,
}

impl Verdict {
    /// Returns the text of the reason.
    pub const fn reason(self) -> Option<&'static str> {
        match self {
            Self::NotRun(Some(reason)) => Some(reason.as_str()),
            Self::Unknown(Some(reason)) => Some(reason.as_str()),
            Self::NotRun(None)
            | Self::Unknown(None)
            | Self::Answered
            | Self::Failed
            | Self::NotSent => None,
        }
    }
}

/// One finished request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Measured {
    /// How it ended.
    pub verdict: Verdict,
    /// The time from its scheduled arrival to its end, in microseconds.
    pub latency_us: u64,
    /// Its deadline in microseconds.
    pub deadline_us: u64,
    /// The part of the latency by which the generator itself was late, in microseconds.
    pub send_delay_us: u64,
}

/// A histogram that cannot be made.
#[derive(Debug, Snafu)]
#[snafu(display("histogram up to {LATENCY_MAX_US} us: {source}"))]
pub struct HistogramError {
    source: hdrhistogram::CreationError,
}

#[derive(Debug)]
struct Tally {
    latency_us: Histogram<u64>,
    send_delay_us: Histogram<u64>,
    scheduled: u64,
    in_deadline: u64,
    not_run: u64,
    unknown: u64,
    failed: u64,
    not_sent: u64,
    reasons: BTreeMap<&'static str, u64>,
}

impl Tally {
    fn new() -> Result<Self, HistogramError> {
        let histogram = || Histogram::new_with_max(LATENCY_MAX_US, 3).context(HistogramSnafu);
        Ok(Self {
            latency_us: histogram()?,
            send_delay_us: histogram()?,
            scheduled: 0,
            in_deadline: 0,
            not_run: 0,
            unknown: 0,
            failed: 0,
            not_sent: 0,
            reasons: BTreeMap::new(),
        })
    }

    fn add(&mut self, measured: &Measured) {
        self.scheduled += 1;
        if let Some(reason) = measured.verdict.reason() {
            *self.reasons.entry(reason).or_default() += 1;
        }
        self.send_delay_us.saturating_record(measured.send_delay_us);
        match measured.verdict {
            Verdict::Answered => {
                self.latency_us.saturating_record(measured.latency_us);
                if measured.latency_us <= measured.deadline_us {
                    self.in_deadline += 1;
                }
            }
            Verdict::NotRun(_) => self.not_run += 1,
            Verdict::Unknown(_) => self.unknown += 1,
            Verdict::Failed => self.failed += 1,
            Verdict::NotSent => self.not_sent += 1,
        }
    }

    fn reasons(&self) -> impl Iterator<Item = (String, u64)> {
        let reasons = self.reasons.iter();
        reasons.map(|(reason, count)| ((*reason).to_owned(), *count))
    }

    fn report(&self) -> MemberReport {
        let quantile_ms = |q| milliseconds(self.latency_us.value_at_quantile(q));
        MemberReport {
            scheduled: self.scheduled,
            answered: self.latency_us.len(),
            in_deadline: self.in_deadline,
            not_run: self.not_run,
            unknown: self.unknown,
            failed: self.failed,
            not_sent: self.not_sent,
            reasons: self.reasons().collect(),
            share_kept: self.in_deadline as f64 / self.scheduled.max(1) as f64,
            p50_ms: quantile_ms(0.5),
            p99_ms: quantile_ms(0.99),
            max_ms: milliseconds(self.latency_us.max()),
            send_delay_p99_ms: milliseconds(self.send_delay_us.value_at_quantile(0.99)),
        }
    }
}

const fn milliseconds(microseconds: u64) -> f64 {
    microseconds as f64 / 1_000.0
}

/// Collects results.
#[derive(Debug, Default)]
pub struct Recorder {
    members: BTreeMap<(RankName, MemberName), Tally>,
    ranks: BTreeMap<RankName, Tally>,
}

impl Recorder {
    /// Makes a recorder without results.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a result.
    ///
    /// # Errors
    ///
    /// Returns an error if a new histogram cannot be made.
    pub fn add(
        &mut self,
        rank: &RankName,
        member: &MemberName,
        measured: &Measured,
    ) -> Result<(), HistogramError> {
        let key = (rank.clone(), member.clone());
        tally(&mut self.members, key)?.add(measured);
        tally(&mut self.ranks, rank.clone())?.add(measured);
        Ok(())
    }

    /// Makes the report of a run that lasted `elapsed_ms`.
    pub fn report(&self, name: &str, seed: u64, elapsed_ms: u64) -> LoadReport {
        let rank_report = |(rank, all): (&RankName, &Tally)| {
            let of_rank = self.members.iter().filter(|((of, _), _)| of == rank);
            let members: BTreeMap<_, _> = of_rank
                .map(|((_, member), tally)| (member.clone(), tally.report()))
                .collect();
            let shares: Vec<f64> = members.values().map(|member| member.share_kept).collect();
            let report = RankReport {
                all: all.report(),
                jain_index: jain_index(&shares),
                members,
            };
            (rank.clone(), report)
        };
        LoadReport {
            name: name.to_owned(),
            seed,
            elapsed_ms,
            ranks: self.ranks.iter().map(rank_report).collect(),
        }
    }
}

fn tally<K: Ord>(tallies: &mut BTreeMap<K, Tally>, key: K) -> Result<&mut Tally, HistogramError> {
    use std::collections::btree_map::Entry;
    match tallies.entry(key) {
        Entry::Occupied(found) => Ok(found.into_mut()),
        Entry::Vacant(vacant) => Ok(vacant.insert(Tally::new()?)),
    }
}
