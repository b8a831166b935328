//! How the pool asks keepers for permits, and what it does with their answers.

use super::machine::Pool;
use super::permits::{
    AskAttempts, AskEnd, AskTarget, AskTerms, Asking, KeeperMessage, Permit, Permits,
};
use super::pick::Choice;
use super::route_latency::RouteLatency;
use super::{PoolOutput, Refusal, Request, RequestId, Verdict};
use crate::directory::DiscoveredUpstream;
use crate::pace::PaceOutcome;
use crate::room::{
    GroupLayout, PermitAnswer, PermitId, PermitRefusal, PermitReturn, RoomMessage, UpstreamLoad,
};
use balsam_types::{Route, ServiceName, StartTime, TimeMs, UpstreamName};
use std::net::SocketAddr;
use std::sync::Arc;

/// What an upstream has told with the end of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndReport {
    /// How long it wants no requests, in milliseconds.
    pub pause_ms: Option<u64>,
    /// Its load.
    pub load: Option<UpstreamLoad>,
}

impl Pool {
    /// Returns whether requests for a service need permits: a list of keepers is known, and so many
    /// daemons share each upstream that their own limits would add up to a multiple of its slots.
    pub(super) fn needs_permits(&self, service: &ServiceName) -> bool {
        let daemons_per_slot = self.settings.room_daemons_per_slot;
        let Some(cluster) = &self.cluster else {
            return false;
        };
        if daemons_per_slot == 0 || !self.permits.has_keepers() {
            return false;
        }
        let upstreams = cluster.upstreams.of(service).iter();
        let slots = upstreams.map(|found| found.entry.slots).max();
        slots.is_some_and(|slots| cluster.daemons >= slots.saturating_mul(daemons_per_slot))
    }

    /// Returns the keepers that are asked about requests for a service.
    pub(super) fn keepers(&self, service: &ServiceName) -> Option<&Permits> {
        self.needs_permits(service).then_some(&self.permits)
    }

    /// Adopts the keepers of the present state of the deployment. Requests that wait at a daemon that
    /// is not the keeper of their group any more ask the new one.
    pub(super) fn adopt_keepers(&mut self, now: TimeMs, outputs: &mut Vec<PoolOutput>) {
        let Some(cluster) = &self.cluster else {
            return;
        };
        let layout = GroupLayout::new(&cluster.upstreams);
        let keepers = Arc::clone(&cluster.keepers);
        let evacuated = Arc::clone(&cluster.evacuated);
        for (id, asking) in self.permits.set_keepers(keepers, layout, evacuated) {
            outputs.push(self.give_back_unused(now, asking.keeper, id));
            self.assign(now, asking.request, asking.service, outputs);
        }
    }

    /// Withdraws the request for a permit of a request that is no longer wanted.
    pub(super) fn cancel_permit(
        &mut self,
        now: TimeMs,
        request: RequestId,
        outputs: &mut Vec<PoolOutput>,
    ) {
        if let Some((id, keeper)) = self.permits.cancel(request) {
            outputs.push(self.give_back_unused(now, keeper, id));
        }
    }

    /// Asks for a permit for a request that could be sent to `upstream`, or sends it if the limits of
    /// this daemon hold there.
    pub(super) fn ask_or_send(
        &mut self,
        now: TimeMs,
        request: Request,
        service: ServiceName,
        upstream: Arc<DiscoveredUpstream>,
        attempts: AskAttempts,
        outputs: &mut Vec<PoolOutput>,
    ) {
        if !self.needs_permits(&service) || !self.permits.is_kept(now, &upstream.entry) {
            return outputs.push(self.send(now, &request, service, upstream, None));
        }
        let target = if self.is_keyed(&request, &service) {
            let group = self.permits.layout().group_of(&upstream.entry);
            AskTarget::Owner(group, upstream.entry.name.clone())
        } else {
            AskTarget::Any(Vec::new())
        };
        let terms = self.ask_terms(now, &request, attempts);
        match self.permits.ask(now, request, service, target, &terms) {
            Ok(message) => outputs.push(to_keeper(message)),
            Err(unasked) => {
                let (request, service) = *unasked;
                outputs.push(self.send(now, &request, service, upstream, None));
            }
        }
    }

    fn is_keyed(&self, request: &Request, service: &ServiceName) -> bool {
        let table = self.cluster.as_ref().map(|cluster| &cluster.table);
        let policy = table.and_then(|table| table.service(service));
        request.key.is_some() && policy.is_some_and(|policy| policy.is_keyed)
    }

    fn ask_terms(&mut self, now: TimeMs, request: &Request, attempts: AskAttempts) -> AskTerms {
        let route = &request.route;
        let wait_ms = request.caller_deadline.since(request.received_at);
        let waited_ms = self.patience.record(now, route, wait_ms);
        let objective_ms = route.objective_ms.saturating_sub(waited_ms);
        let usual_ms = self.route_latencies_ms.get(&route.name);
        AskTerms {
            objective_at: request.received_at.after(objective_ms),
            usual_ms: usual_ms.map_or(0.0, RouteLatency::mean_ms) as u32,
            attempts,
        }
    }

    /// Asks for a permit again, or decides by the limits of this daemon if earlier attempts have
    /// failed too often.
    fn ask_again(
        &mut self,
        now: TimeMs,
        request: Request,
        service: ServiceName,
        attempts: AskAttempts,
        outputs: &mut Vec<PoolOutput>,
    ) {
        let keepers = self.keepers(&service).filter(|_| !attempts.are_over());
        let choice = self
            .chooser(now, keepers)
            .map(|chooser| chooser.choose(&request, &service));
        match choice {
            Some(Choice::Upstream(upstream)) if attempts.are_over() => {
                outputs.push(self.send(now, &request, service, upstream, None));
            }
            Some(Choice::Upstream(upstream)) => {
                self.ask_or_send(now, request, service, upstream, attempts, outputs);
            }
            Some(choice) => self.wait_or_refuse(now, request, service, &choice, outputs),
            None => outputs.push(super::machine::refuse(&request, Refusal::NoUpstream)),
        }
    }

    /// Handles a message of a keeper.
    pub(super) fn handle_keeper(
        &mut self,
        now: TimeMs,
        from: SocketAddr,
        message: RoomMessage,
        outputs: &mut Vec<PoolOutput>,
    ) {
        match message {
            RoomMessage::Answer {
                id,
                answer,
                load,
                acknowledged,
            } => {
                self.permits.acknowledged(from, &acknowledged);
                let is_queued = matches!(answer, PermitAnswer::Queued { .. });
                let asking = self.permits.answered(now, from, id, is_queued, load);
                match (asking, answer) {
                    (Some(asking), answer) => self.answered(now, id, asking, answer, outputs),
                    // The request goes on waiting, or the answer is a repeated one.
                    (None, _) if self.permits.is_known(from, id) => {}
                    (None, PermitAnswer::Granted { .. } | PermitAnswer::Queued { .. }) => {
                        // The daemon has given up waiting for this permit.
                        outputs.push(self.give_back_unused(now, from, id));
                    }
                    (None, PermitAnswer::Refused { .. }) => {}
                }
            }
            RoomMessage::Acknowledge(ids) => self.permits.acknowledged(from, &ids),
            RoomMessage::Ask(_) | RoomMessage::Return(_) => {}
        }
    }

    fn answered(
        &mut self,
        now: TimeMs,
        id: PermitId,
        mut asking: Asking,
        answer: PermitAnswer,
        outputs: &mut Vec<PoolOutput>,
    ) {
        match answer {
            PermitAnswer::Granted { upstream, born } => {
                let keeper = asking.keeper;
                let Asking {
                    mut request,
                    service,
                    mut attempts,
                    ..
                } = asking;
                let usable = self.usable(now, &request, &service, &upstream, born);
                if let Some(upstream) = usable {
                    let permit = Some(Permit { id, keeper });
                    let sent = self.send(now, &request, service, upstream, permit);
                    if matches!(sent, PoolOutput::Refuse { .. }) {
                        outputs.push(self.give_back_unused(now, keeper, id));
                    } else {
                        self.permits.record_used(id);
                    }
                    outputs.push(sent);
                } else {
                    outputs.push(self.give_back_unused(now, keeper, id));
                    if self.is_keyed(&request, &service) {
                        attempts = attempts.with_unusable();
                    } else {
                        request.avoid.push(upstream);
                    }
                    self.ask_again(now, request, service, attempts, outputs);
                }
            }
            PermitAnswer::Refused {
                refusal: PermitRefusal::Busy | PermitRefusal::QueueFull | PermitRefusal::Paused,
                retry_after_ms,
            } => {
                let other_groups = asking.other_groups();
                let Asking {
                    request,
                    service,
                    attempts,
                    ..
                } = asking;
                if let Some(tried) = other_groups {
                    let target = AskTarget::Any(tried);
                    let terms = self.ask_terms(now, &request, attempts);
                    let id = request.id;
                    match self.permits.ask(now, request, service, target, &terms) {
                        Ok(message) => outputs.push(to_keeper(message)),
                        Err(_) => outputs.push(refuse_busy(id, retry_after_ms)),
                    }
                } else {
                    outputs.push(refuse_busy(request.id, retry_after_ms));
                }
            }
            PermitAnswer::Refused {
                refusal: PermitRefusal::NotKept,
                ..
            } => self.permits.hold(now, id, asking),
            PermitAnswer::Queued { .. } => {}
        }
    }

    /// Returns the upstream of a permit if this daemon's own tables allow the request there.
    fn usable(
        &self,
        now: TimeMs,
        request: &Request,
        service: &ServiceName,
        name: &UpstreamName,
        born: StartTime,
    ) -> Option<Arc<DiscoveredUpstream>> {
        let upstream = self.cluster.as_ref()?.upstreams.get(name)?;
        let chooser = self.chooser(now, self.keepers(service))?;
        let is_allowed = upstream.entry.born == born && chooser.allows(request, service, upstream);
        is_allowed.then(|| Arc::clone(upstream))
    }

    /// Repeats messages that were not answered, and decides alone about requests whose keeper does
    /// not answer.
    pub(super) fn check_permits(&mut self, now: TimeMs, outputs: &mut Vec<PoolOutput>) {
        let (messages, ended) = self.permits.check(now);
        outputs.extend(messages.into_iter().map(to_keeper));
        for (id, asking, end) in ended {
            let Asking {
                request,
                service,
                keeper,
                attempts,
                ..
            } = asking;
            match end {
                AskEnd::GivenUp => {
                    outputs.push(self.give_back_unused(now, keeper, id));
                    outputs.push(super::machine::refuse(&request, Refusal::Busy));
                }
                AskEnd::Silent => {
                    outputs.push(self.give_back_unused(now, keeper, id));
                    self.assign(now, request, service, outputs);
                }
                AskEnd::Moved => self.ask_again(now, request, service, attempts, outputs),
            }
        }
    }

    fn give_back_unused(&mut self, now: TimeMs, keeper: SocketAddr, id: PermitId) -> PoolOutput {
        let returned = PermitReturn {
            id,
            outcome: PaceOutcome::Unused,
            pause_ms: None,
            load: None,
        };
        to_keeper(self.permits.give_back(now, keeper, returned))
    }

    /// Returns a permit after its request has ended.
    pub(super) fn give_back(
        &mut self,
        now: TimeMs,
        permit: Permit,
        route: &Route,
        (verdict, took_ms): (Verdict, u64),
        report: EndReport,
    ) -> PoolOutput {
        let usual_ms = self.route_latencies_ms.get(&route.name);
        let usual_ms = usual_ms.map_or(0.0, RouteLatency::mean_ms) as u32;
        let returned = PermitReturn {
            id: permit.id,
            outcome: pace_outcome(verdict, took_ms, usual_ms),
            pause_ms: report.pause_ms,
            load: report.load,
        };
        to_keeper(self.permits.give_back(now, permit.keeper, returned))
    }
}

fn to_keeper((keeper, message): KeeperMessage) -> PoolOutput {
    PoolOutput::Room { keeper, message }
}

fn refuse_busy(id: RequestId, retry_after_ms: u32) -> PoolOutput {
    PoolOutput::Refuse {
        id,
        refusal: Refusal::Busy,
        retry_after_ms: u64::from(retry_after_ms),
    }
}

/// Returns what the outcome of an attempt tells about the pace of the upstream.
fn pace_outcome(verdict: Verdict, took_ms: u64, usual_ms: u32) -> PaceOutcome {
    match verdict {
        Verdict::Served | Verdict::Failed => PaceOutcome::Answered {
            took_ms: took_ms.min(u64::from(u32::MAX)) as u32,
            usual_ms,
        },
        Verdict::Shed => PaceOutcome::Rejected,
        Verdict::Reset | Verdict::Surplus => PaceOutcome::Reset,
        Verdict::TimedOut => PaceOutcome::TimedOut,
        Verdict::Unreachable => PaceOutcome::Unreachable,
        Verdict::NotHeld
        | Verdict::Replaced
        | Verdict::Broken
        | Verdict::Dropped
        | Verdict::Withdrawn => PaceOutcome::Unused,
    }
}
