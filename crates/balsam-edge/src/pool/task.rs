//! The pool's task.

use super::idle::IdleConnections;
use super::message::{LeaseEnd, LeaseReport, LeaseRequest};
use super::withdrawals::{LeaseNumber, Withdrawals};
use super::{Lease, LeaseError, PoolMessage};
use crate::clock::now;
use crate::control::ControlInput;
use crate::metrics::EdgeMetrics;
use crate::room::{RoomDelivery, RoomLink};
use crate::view::View;
use balsam_decide::keys::LoadReport;
use balsam_decide::pool::{Pool, PoolInput, PoolOutput, PoolSettings, Request, RequestId, Verdict};
use balsam_types::{Map, Route, ServiceName, ShardKey, UpstreamEntry, UpstreamName, new_map};
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval, sleep_until};

/// Interval between two load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Upper limit on the keys of one report. Together with the responses they must fit into a
/// datagram.
const REPORT_KEYS_MAX: usize = 1_024;

/// Upper limit on the responses of one report. Each takes about 30 bytes.
const REPORT_ANSWERS_MAX: usize = 128;

/// Log entry for an announcement that an upstream made about itself in an answer.
#[derive(Debug, Serialize)]
#[serde(tag = "kind", rename = "announced")]
struct AnnouncedLogEntry<'a> {
    upstream: &'a UpstreamName,
    born: u64,
    leaving: bool,
    pause_ms: Option<u64>,
}

type Reply = oneshot::Sender<Result<Lease, LeaseError>>;

/// State of the pool's task: the pool and the idle connections.
#[derive(Debug)]
pub(crate) struct PoolTask {
    pool: Pool,
    idle: IdleConnections,
    replies: Map<RequestId, (Reply, Arc<Route>)>,
    reports: Map<ServiceName, LoadReport>,
    last_id: u64,
    last_number: LeaseNumber,
    withdrawals: watch::Sender<Arc<Withdrawals>>,
    lease_reports: mpsc::UnboundedSender<LeaseReport>,
    control: mpsc::Sender<ControlInput>,
    room: RoomLink,
    metrics: EdgeMetrics,
}

impl PoolTask {
    /// Runs the task until its message channel or the view channel is closed.
    pub(crate) async fn run(
        settings: PoolSettings,
        mut messages: mpsc::Receiver<PoolMessage>,
        mut views: watch::Receiver<Arc<View>>,
        control: mpsc::Sender<ControlInput>,
        (room, mut answers): (RoomLink, mpsc::Receiver<RoomDelivery>),
        metrics: EdgeMetrics,
    ) {
        let (lease_reports, mut received) = mpsc::unbounded_channel();
        let mut task = Self {
            pool: Pool::new(settings),
            idle: IdleConnections::new(),
            replies: new_map(),
            reports: new_map(),
            last_id: 0,
            last_number: LeaseNumber::default(),
            withdrawals: watch::Sender::new(Arc::new(Withdrawals::new())),
            lease_reports,
            control,
            room,
            metrics,
        };
        let mut reports = interval(REPORT_INTERVAL);
        reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let wake_at = task.pool.next_wakeup();
            let wake_up = async {
                match wake_at {
                    Some(at) => sleep_until(crate::clock::instant_at(at)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                message = messages.recv() => match message {
                    Some(PoolMessage::RequestLease { request, reply }) =>
                        task.request_lease(request, reply),
                    Some(PoolMessage::Budget(terms)) => task.handle(PoolInput::Budget(terms)),
                    None => return,
                },
                Some(report) = received.recv() => match report {
                    LeaseReport::Notice { upstream, notice } =>
                        task.handle(PoolInput::Notice { upstream, notice }),
                    LeaseReport::Ended(end) => task.end(end),
                },
                Some(RoomDelivery { from, message }) = answers.recv() =>
                    task.handle(PoolInput::Room { from, message }),
                changed = views.changed() => match changed {
                    Ok(()) => {
                        let cluster_state = views.borrow_and_update().cluster_state();
                        if let Some(cluster_state) = cluster_state {
                            task.handle(PoolInput::Cluster(cluster_state));
                        }
                    }
                    Err(_) => return,
                },
                () = wake_up => task.handle(PoolInput::Tick),
                _ = reports.tick() => task.report(),
            }
        }
    }

    fn request_lease(&mut self, request: LeaseRequest, reply: Reply) {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        self.replies.insert(id, (reply, Arc::clone(&request.route)));
        if let (Some(key), [share], false) = (
            request.key,
            request.route.shares.as_slice(),
            request.is_repeat,
        ) {
            self.count_key(&share.service, key);
        }
        self.handle(PoolInput::Request(Request {
            id,
            route: request.route,
            service: request.service,
            key: request.key,
            received_at: request.received_at,
            caller_deadline: request.caller_deadline,
            give_up_at: request.give_up_at,
            avoid: request.avoid,
            is_repeat: request.is_repeat,
        }));
    }

    /// Counts a request for a key of a service.
    fn count_key(&mut self, service: &ServiceName, key: ShardKey) {
        let report = self.reports.entry(service.clone()).or_default();
        if report.keys.len() < REPORT_KEYS_MAX {
            report.keys.push(key);
        }
    }

    /// Records the time of a response from a service whose keys are reported.
    fn count_answer(&mut self, upstream: &UpstreamEntry, took_ms: u64) {
        if let Some(report) = self.reports.get_mut(&upstream.service)
            && report.answers.len() < REPORT_ANSWERS_MAX
        {
            let took_ms = u32::try_from(took_ms).unwrap_or(u32::MAX);
            report.answers.push((upstream.name.clone(), took_ms));
        }
    }

    fn end(&mut self, end: LeaseEnd) {
        let LeaseEnd {
            upstream,
            route,
            verdict,
            took_ms,
            connection,
            permit,
            report,
        } = end;
        if let Some(connection) = connection {
            self.idle
                .put(&upstream.entry.name, upstream.entry.born, connection);
        }
        if verdict == Verdict::Served {
            self.count_answer(&upstream.entry, took_ms);
        }
        self.handle(PoolInput::Done {
            upstream,
            route,
            verdict,
            took_ms,
            permit,
            report,
        });
    }

    fn handle(&mut self, input: PoolInput) {
        for output in self.pool.handle(now(), input) {
            match output {
                PoolOutput::Send {
                    id,
                    service,
                    upstream,
                    resets_connections,
                    permit,
                } => {
                    let Some((reply, route)) = self.replies.remove(&id) else {
                        continue;
                    };
                    let entry = &upstream.entry;
                    let idle = self.idle.take(&entry.name, entry.born, route.kind);
                    self.last_number = self.last_number.next();
                    let withdrawals = self.withdrawals.subscribe();
                    let reports = self.lease_reports.clone();
                    let number = self.last_number;
                    let lease = Lease::new(service, upstream, route, number, withdrawals, reports)
                        .with_idle(idle)
                        .with_permit(permit)
                        .with_resets_connections(resets_connections);
                    // If the request is gone, the lease is dropped here, which ends it.
                    drop(reply.send(Ok(lease)));
                }
                PoolOutput::Withdraw { upstream, notice } => {
                    self.last_number = self.last_number.next();
                    let mut withdrawals = Withdrawals::clone(&self.withdrawals.borrow());
                    withdrawals.add(&upstream.entry, self.last_number);
                    self.withdrawals.send_replace(Arc::new(withdrawals));
                    balsam_log::decision(&AnnouncedLogEntry {
                        upstream: &upstream.entry.name,
                        born: upstream.entry.born.0,
                        leaving: notice.is_leaving,
                        pause_ms: notice.pause_ms,
                    });
                }
                PoolOutput::Room { keeper, message } => self.room.send(keeper, message),
                PoolOutput::Refuse {
                    id,
                    refusal,
                    retry_after_ms,
                } => {
                    if let Some((reply, _)) = self.replies.remove(&id) {
                        drop(reply.send(Err(LeaseError {
                            refusal,
                            retry_after_ms,
                        })));
                    }
                }
            }
        }
    }

    fn report(&mut self) {
        self.idle.prune();
        for (service, remaining) in self.pool.budget_left(now()) {
            self.metrics.budget_left(&service, remaining);
        }
        let (leaving, paused) = self.pool.announced(now());
        self.metrics.announced(leaving, paused);
        self.metrics.permits_awaited(self.pool.awaited_permits());
        for (service, report) in self.reports.drain() {
            // If the control task is busy, the report is dropped: the next one follows soon.
            drop(
                self.control
                    .try_send(ControlInput::Sampled { service, report }),
            );
        }
    }
}
