//! Runs a plan.

use super::record::HistogramError;
use super::send::{request, send};
use super::{Arrival, LoadPlan, LoadReport, Measured, Recorder, Verdict, WorkKind, arrivals};
use crate::harness::{Client, OrderReports};
use balsam_types::{NameError, OrderId};
use snafu::{ResultExt, Snafu, ensure};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

/// Time after its deadline until a request without an answer is given up, in milliseconds.
const GRACE_MS: u64 = 2_000;
/// Results that wait for the recorder.
const RESULTS: usize = 4_096;

/// A run that could not be carried out.
#[derive(Debug, Snafu)]
pub enum LoadError {
    /// The plan names no target.
    #[snafu(display("targets: none (accepted: at least 1)"))]
    NoTarget,
    /// An order id is refused.
    #[snafu(display("{source}"))]
    OrderName {
        /// Why.
        source: NameError,
    },
    /// A result cannot be recorded.
    #[snafu(display("{source}"))]
    Record {
        /// Why.
        source: HistogramError,
    },
}

/// The outcome of a run.
#[derive(Clone, Debug)]
pub struct LoadResult {
    /// The report.
    pub report: LoadReport,
    /// What was reported of the orders.
    pub orders: OrderReports,
}

#[derive(Debug)]
struct Finished {
    stream: usize,
    order_id: Option<OrderId>,
    measured: Measured,
}

/// Sends the requests of `plan` at their times and waits until all have ended.
///
/// # Errors
///
/// Returns an error if the plan cannot be carried out.
pub async fn run_load(plan: LoadPlan) -> Result<LoadResult, LoadError> {
    ensure!(!plan.targets.is_empty(), NoTargetSnafu);
    let plan = Arc::new(plan);
    let begun = Instant::now();
    let (results, finished) = mpsc::channel(RESULTS);
    let sending = send_all(Arc::clone(&plan), begun, results);
    let recording = record_all(Arc::clone(&plan), finished);
    let ((), (recorder, orders)) = tokio::try_join!(sending, recording)?;
    let elapsed_ms = begun.elapsed().as_millis() as u64;
    Ok(LoadResult {
        report: recorder.report(&plan.name, plan.seed, elapsed_ms),
        orders,
    })
}

async fn send_all(
    plan: Arc<LoadPlan>,
    begun: Instant,
    results: mpsc::Sender<Finished>,
) -> Result<(), LoadError> {
    let clients = clients(&plan);
    let mut running = JoinSet::new();
    for (index, arrival) in arrivals(&plan).into_iter().enumerate() {
        let scheduled = begun + Duration::from_micros(arrival.at_us);
        sleep_until(scheduled).await;
        while running.try_join_next().is_some() {}
        let order_id = order_id(&plan, &arrival, index).context(OrderNameSnafu)?;
        let one = OneRequest {
            send_delay_us: scheduled.elapsed().as_micros() as u64,
            plan: Arc::clone(&plan),
            arrival,
            order_id,
            scheduled,
        };
        if running.len() >= plan.in_flight {
            report(&results, one.finished(Verdict::NotSent)).await;
            continue;
        }
        let client = clients[index % clients.len()].clone();
        let results = results.clone();
        running.spawn_local(async move {
            let finished = one.run(&client).await;
            report(&results, finished).await;
        });
    }
    while running.join_next().await.is_some() {}
    Ok(())
}

async fn report(results: &mpsc::Sender<Finished>, finished: Finished) {
    if results.send(finished).await.is_err() {
        log::warn!("a result came after the recorder had ended");
    }
}

fn clients(plan: &LoadPlan) -> Vec<Client> {
    let deadline_ms = plan.streams.iter().map(|stream| stream.deadline_ms).max();
    let timeout = Duration::from_millis(deadline_ms.unwrap_or(0) + GRACE_MS);
    let per_target = plan.connections.div_ceil(plan.targets.len()).max(1);
    let client = |target: &_| Client::with_connections(*target, timeout, per_target);
    plan.targets.iter().map(client).collect()
}

fn order_id(
    plan: &LoadPlan,
    arrival: &Arrival,
    index: usize,
) -> Result<Option<OrderId>, NameError> {
    match plan.streams[arrival.stream].kind {
        WorkKind::Read => Ok(None),
        WorkKind::Order { .. } => OrderId::new(format!("{}-{index}", plan.seed)).map(Some),
    }
}

#[derive(Debug)]
struct OneRequest {
    plan: Arc<LoadPlan>,
    arrival: Arrival,
    order_id: Option<OrderId>,
    scheduled: Instant,
    send_delay_us: u64,
}

impl OneRequest {
    async fn run(self, client: &Client) -> Finished {
        let stream = &self.plan.streams[self.arrival.stream];
        let sent = request(stream, self.arrival.key, self.order_id.as_ref());
        let verdict = send(client, sent).await;
        self.finished(verdict)
    }

    fn finished(self, verdict: Verdict) -> Finished {
        let stream = &self.plan.streams[self.arrival.stream];
        Finished {
            stream: self.arrival.stream,
            order_id: self.order_id,
            measured: Measured {
                verdict,
                latency_us: self.scheduled.elapsed().as_micros() as u64,
                deadline_us: stream.deadline_ms * 1_000,
                send_delay_us: self.send_delay_us,
            },
        }
    }
}

async fn record_all(
    plan: Arc<LoadPlan>,
    mut finished: mpsc::Receiver<Finished>,
) -> Result<(Recorder, OrderReports), LoadError> {
    let mut recorder = Recorder::new();
    let mut orders = OrderReports::default();
    while let Some(one) = finished.recv().await {
        let stream = &plan.streams[one.stream];
        recorder
            .add(&stream.rank, &stream.member, &one.measured)
            .context(RecordSnafu)?;
        let Some(order_id) = one.order_id else {
            continue;
        };
        let order = (Some(stream.member.clone()), order_id);
        match one.measured.verdict {
            Verdict::Answered => orders.answered.insert(order),
            Verdict::NotRun(_) | Verdict::NotSent => orders.not_run.insert(order),
            Verdict::Unknown(_) | Verdict::Failed => continue,
        };
    }
    Ok((recorder, orders))
}
