//! The exchange of grants with the upstreams that this daemon dispatches for.

use super::view::rendezvous_weight;
use super::{Node, NodeOutput, UpstreamReport, acting_dispatcher};
use crate::control::ControlState;
use crate::grants::{Grant, GrantHealth, GrantReply, GrantedUnits, Issuer, UnitsDigest};
use crate::lease::Safeguard;
use crate::placer::PlacerContext;
use balsam_types::control::UpstreamInfo;
use balsam_types::timing::{HEARTBEAT_INTERVAL_MS, SUSPECT_AFTER_MS};
use balsam_types::{Epoch, Incarnation, Set, TimeMs, UpstreamName};
use std::net::SocketAddr;
use std::sync::Arc;

/// How long a daemon goes on probing a silent upstream that another one now dispatches for, in
/// milliseconds.
///
/// The new dispatcher starts its own count, which would delay the notice of a loss once more.
const KEEP_PROBING_MS: u64 = SUSPECT_AFTER_MS + 2 * HEARTBEAT_INTERVAL_MS;

/// What this daemon does for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    /// It is the acting dispatcher and renews the grant.
    Dispatcher,
    /// The dispatcher is late; it asks the upstream for its clock, so that a loss is noticed early.
    Prober,
}

/// What the last exchange carried; another value makes the next one due at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Sent {
    fence_epoch: Epoch,
    incarnation: Option<Incarnation>,
    granting: bool,
}

/// What the placer was last told of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Told {
    silent: bool,
    answering: bool,
    draining: bool,
}

/// One upstream that this daemon exchanges grants with.
#[derive(Debug)]
pub(super) struct Dispatching {
    pub(super) issuer: Issuer,
    pub(super) role: Role,
    address: SocketAddr,
    next_at: TimeMs,
    /// When another daemon took the upstream over.
    released_at: Option<TimeMs>,
    sent: Option<Sent>,
    told: Told,
    units: Option<(Epoch, Arc<GrantedUnits>, UnitsDigest)>,
    load: Option<UpstreamReport>,
}

impl Dispatching {
    fn new(upstream: &UpstreamInfo, role: Role, now: TimeMs, without: Option<Safeguard>) -> Self {
        Self {
            issuer: Issuer::new(upstream.service.clone(), now).without(without),
            role,
            address: upstream.address,
            next_at: now,
            released_at: None,
            sent: None,
            told: Told::default(),
            units: None,
            load: None,
        }
    }

    /// Gives up all but probing; returns whether the upstream's silence is still to be counted.
    fn keeps_probing(&mut self, now: TimeMs) -> bool {
        self.role = Role::Prober;
        let released_at = *self.released_at.get_or_insert(now);
        self.issuer.health(now) != GrantHealth::Answering
            && now.since(released_at) < KEEP_PROBING_MS
    }

    /// Returns the units of a grant, which change only with the upstream's fence.
    fn units(
        &mut self,
        state: &ControlState,
        upstream: &UpstreamInfo,
    ) -> (Arc<GrantedUnits>, UnitsDigest) {
        let fence_epoch = state.fence_epoch(&upstream.name);
        if let Some((epoch, units, digest)) = &self.units
            && *epoch == fence_epoch
        {
            return (Arc::clone(units), *digest);
        }
        let units = Arc::new(state.granted_units(upstream));
        let digest = UnitsDigest::of(&units);
        self.units = Some((fence_epoch, Arc::clone(&units), digest));
        (units, digest)
    }

    fn next_grant(
        &mut self,
        now: TimeMs,
        lease_until: TimeMs,
        state: &ControlState,
        upstream: &UpstreamInfo,
    ) -> Option<Grant> {
        let fence_epoch = state.fence_epoch(&upstream.name);
        if self.role == Role::Prober {
            let has_lease = lease_until > now;
            return has_lease.then(|| self.issuer.clock_probe(state.epoch, fence_epoch));
        }
        let (units, digest) = self.units(state, upstream);
        self.issuer
            .next_grant(now, lease_until, state.epoch, fence_epoch, &units, digest)
    }

    fn told_now(&self, now: TimeMs) -> Told {
        let health = self.issuer.health(now);
        Told {
            silent: health == GrantHealth::Silent,
            answering: health == GrantHealth::Answering,
            draining: self.issuer.draining(),
        }
    }

    fn report(&self, now: TimeMs, upstream: &UpstreamName) -> UpstreamReport {
        let told = self.told_now(now);
        let load = self.load.as_ref();
        UpstreamReport {
            upstream: upstream.clone(),
            silent: told.silent,
            answering: told.answering,
            draining: told.draining,
            load: load.map_or(0.0, |load| load.load),
            heavy_units: load.map_or_else(Vec::new, |load| load.heavy_units.clone()),
            heavy_keys: load.map_or_else(Vec::new, |load| load.heavy_keys.clone()),
        }
    }
}

impl Node {
    /// Takes up and drops upstreams as the acting dispatchers change.
    pub(super) fn follow_upstreams(&mut self, now: TimeMs) {
        let me = self.me.incarnation;
        let state = Arc::clone(&self.state);
        if !self.is_member() || self.has_withdrawn() {
            self.upstreams.clear();
            return;
        }
        let without = self.without;
        let suspected = &self.suspected;
        let late = self.membership.late(now, &state);
        let role_of = |upstream: &UpstreamInfo| {
            let acting = acting_dispatcher(&state, suspected, upstream);
            if acting.is_some_and(|daemon| daemon.incarnation == me) {
                return Some(Role::Dispatcher);
            }
            (prober(&state, &late, upstream) == Some(me)).then_some(Role::Prober)
        };
        self.upstreams.retain(|name, dispatching| {
            state
                .upstreams
                .get(name)
                .is_some_and(|upstream| upstream.address == dispatching.address)
        });
        for upstream in state.upstreams.values() {
            match role_of(upstream) {
                None => {
                    let known = self.upstreams.get_mut(&upstream.name);
                    if !known.is_some_and(|dispatching| dispatching.keeps_probing(now)) {
                        self.upstreams.remove(&upstream.name);
                    }
                }
                Some(role) => {
                    let dispatching = self
                        .upstreams
                        .entry(upstream.name.clone())
                        .or_insert_with(|| Dispatching::new(upstream, role, now, without));
                    dispatching.role = role;
                    dispatching.released_at = None;
                }
            }
        }
    }

    /// Sends the grants that are due, and makes reports due whose content has changed.
    pub(super) fn renew_grants(&mut self, now: TimeMs, out: &mut Vec<NodeOutput>) {
        let lease_until = self.lease.until();
        let state = Arc::clone(&self.state);
        let mut report = false;
        let mut newer_right = false;
        for (name, dispatching) in &mut self.upstreams {
            let Some(upstream) = state.upstreams.get(name) else {
                continue;
            };
            let told = dispatching.told_now(now);
            report |= std::mem::replace(&mut dispatching.told, told) != told;
            let granting = dispatching.role == Role::Dispatcher
                && dispatching.issuer.can_grant(now, lease_until);
            newer_right |= dispatching.role == Role::Dispatcher
                && dispatching.issuer.needs_newer_lease(lease_until);
            let sent = Sent {
                fence_epoch: state.fence_epoch(name),
                incarnation: dispatching.issuer.incarnation(),
                granting,
            };
            if now < dispatching.next_at && dispatching.sent == Some(sent) {
                continue;
            }
            let Some(grant) = dispatching.next_grant(now, lease_until, &state, upstream) else {
                continue;
            };
            dispatching.next_at = now.after(HEARTBEAT_INTERVAL_MS);
            dispatching.sent = Some(sent);
            out.push(NodeOutput::SendGrant {
                upstream: name.clone(),
                address: upstream.address,
                lease_until,
                grant: Box::new(grant),
            });
        }
        if newer_right && !self.newer_right_asked {
            self.next_pulse_at = now;
            self.table.hasten(now);
        }
        self.newer_right_asked = newer_right;
        if report {
            self.report_now(now, out);
        }
    }

    pub(super) fn grant_replied(
        &mut self,
        now: TimeMs,
        upstream: &UpstreamName,
        sent_at: TimeMs,
        lease_until: TimeMs,
        grant: &Grant,
        reply: Option<&GrantReply>,
    ) {
        let resumed_at = self.resumed_at;
        let Some(dispatching) = self.upstreams.get_mut(upstream) else {
            return;
        };
        match reply {
            Some(reply) => dispatching
                .issuer
                .record_reply(now, sent_at, lease_until, grant, reply),
            // A failure that a pause of this daemon caused says nothing of the upstream.
            None if sent_at >= resumed_at => dispatching.issuer.record_failure(),
            None => {}
        }
    }

    /// Sends the revocations that are due while this daemon is the placer.
    pub(super) fn revoke(&mut self, now: TimeMs, out: &mut Vec<NodeOutput>) {
        if !self.is_placer() || self.has_withdrawn() {
            return;
        }
        let context = PlacerContext {
            now,
            me: self.me.incarnation,
            leaving: self.is_leaving(),
            state: &self.state,
            table_is_responsive: self.table.is_quick(now),
            membership: &self.membership,
            adoption: &self.adoption,
        };
        out.extend(self.placer.revoke(&context));
    }

    pub(super) fn set_load(&mut self, report: UpstreamReport) {
        if let Some(dispatching) = self.upstreams.get_mut(&report.upstream) {
            dispatching.load = Some(report);
        }
    }

    /// Returns the reports for the placer.
    pub(super) fn reports(&self, now: TimeMs) -> Vec<UpstreamReport> {
        let upstreams = self.upstreams.iter();
        upstreams
            .map(|(name, dispatching)| dispatching.report(now, name))
            .collect()
    }
}

/// Returns the daemon that probes `upstream` while its dispatcher is late or missing.
fn prober(
    state: &ControlState,
    late: &Set<Incarnation>,
    upstream: &UpstreamInfo,
) -> Option<Incarnation> {
    let assigned = upstream.dispatcher;
    if assigned.is_some_and(|daemon| !late.contains(&daemon)) {
        return None;
    }
    let daemons = state.daemons.values();
    daemons
        .filter(|daemon| !late.contains(&daemon.incarnation))
        .max_by_key(|daemon| rendezvous_weight(upstream, daemon))
        .map(|daemon| daemon.incarnation)
}
