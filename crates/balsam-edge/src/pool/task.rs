//! The pool's task.

use super::idle::IdleConnections;
use super::message::{LeaseEnd, LeaseRequest};
use super::{Lease, LeaseError, PoolMessage};
use crate::clock::now;
use crate::control::ControlInput;
use crate::metrics::EdgeMetrics;
use crate::view::View;
use balsam_decide::keys::LoadReport;
use balsam_decide::pool::{Pool, PoolInput, PoolOutput, PoolSettings, Request, RequestId, Verdict};
use balsam_types::{Map, Route, ServiceName, ShardKey, UpstreamEntry, new_map};
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

type Reply = oneshot::Sender<Result<Lease, LeaseError>>;

/// State of the pool's task: the pool and the idle connections.
#[derive(Debug)]
pub(crate) struct PoolTask {
    pool: Pool,
    idle: IdleConnections,
    replies: Map<RequestId, (Reply, Arc<Route>)>,
    reports: Map<ServiceName, LoadReport>,
    last_id: u64,
    ends: mpsc::UnboundedSender<LeaseEnd>,
    control: mpsc::Sender<ControlInput>,
    metrics: EdgeMetrics,
}

impl PoolTask {
    /// Runs the task until its message channel or the view channel is closed.
    pub(crate) async fn run(
        settings: PoolSettings,
        mut messages: mpsc::Receiver<PoolMessage>,
        mut views: watch::Receiver<Arc<View>>,
        control: mpsc::Sender<ControlInput>,
        metrics: EdgeMetrics,
    ) {
        let (ends, mut lease_ends) = mpsc::unbounded_channel();
        let mut task = Self {
            pool: Pool::new(settings),
            idle: IdleConnections::new(),
            replies: new_map(),
            reports: new_map(),
            last_id: 0,
            ends,
            control,
            metrics,
        };
        let mut reports = interval(REPORT_INTERVAL);
        reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let wake_at = task.pool.next_wakeup(now());
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
                Some(end) = lease_ends.recv() => task.end(end),
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
                } => {
                    let Some((reply, route)) = self.replies.remove(&id) else {
                        continue;
                    };
                    let entry = &upstream.entry;
                    let idle = self.idle.take(&entry.name, entry.born, route.kind);
                    let lease = Lease::new(service, upstream, idle, route, self.ends.clone())
                        .with_resets_connections(resets_connections);
                    // If the request is gone, the lease is dropped here, which ends it.
                    drop(reply.send(Ok(lease)));
                }
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
        for (service, report) in self.reports.drain() {
            // If the control task is busy, the report is dropped: the next one follows soon.
            drop(
                self.control
                    .try_send(ControlInput::Sampled { service, report }),
            );
        }
    }
}
