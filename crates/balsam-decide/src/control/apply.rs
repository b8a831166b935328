//! Applies log entries to the control state.

use super::error::{
    DepartedSnafu, NotInRosterSnafu, NotPlacerSnafu, NothingToCloseSnafu, OutOfOrderSnafu,
    SettingsSnafu, StillOwnerSnafu, UnknownUpstreamSnafu, WrongOwnerSnafu,
};
use super::{ApplyError, ControlState, Roster, ServicePlacement};
use crate::settings::SettingsError;
use balsam_types::control::{
    Change, DaemonInfo, LogEntry, RemovalReason, UnitMove, UnitOwner, UpstreamInfo,
};
use balsam_types::settings::{NodeEdit, NodePath};
use balsam_types::{Epoch, Incarnation, KeyHash, ServiceName, UnitId, UpstreamName};
use snafu::{ResultExt, ensure};
use std::sync::Arc;

impl ControlState {
    /// Applies the next log entry.
    ///
    /// # Errors
    ///
    /// Returns an [`ApplyError`] if the entry cannot be applied; the state is then unchanged.
    pub fn apply(&mut self, entry: &LogEntry) -> Result<(), ApplyError> {
        ensure!(
            entry.epoch == self.epoch.next(),
            OutOfOrderSnafu {
                entry: entry.epoch,
                epoch: self.epoch
            }
        );
        let mut next = self.clone();
        next.epoch = entry.epoch;
        next.apply_change(entry.author, &entry.change)?;
        *self = next;
        Ok(())
    }

    fn apply_change(&mut self, author: Incarnation, change: &Change) -> Result<(), ApplyError> {
        if requires_placer(change) {
            ensure!(self.placer == Some(author), NotPlacerSnafu { author });
        }
        match change {
            Change::Settings { edits } => self.edit_settings(edits),
            Change::DaemonJoined { daemon } => self.add_daemon(daemon),
            Change::DaemonsRemoved {
                incarnations,
                reason,
            } => self.remove_daemons(incarnations, *reason),
            Change::RostersClosed { through } => self.close_rosters(*through),
            Change::PlacerTaken { incarnation } => {
                self.ensure_daemon_known(*incarnation)?;
                self.placer = Some(*incarnation);
                Ok(())
            }
            Change::UpstreamsChanged { upstreams } => {
                for upstream in upstreams {
                    self.change_upstream(upstream);
                }
                Ok(())
            }
            Change::UpstreamsRemoved { names } => {
                names.iter().try_for_each(|name| self.remove_upstream(name))
            }
            Change::DispatchersAssigned { pairs } => pairs
                .iter()
                .try_for_each(|(name, to)| self.assign_dispatcher(name, *to)),
            Change::UnitsMoving { service, moves } => moves
                .iter()
                .try_for_each(|unit_move| self.start_move(service, unit_move)),
            Change::UnitsOwned { service, units } => units
                .iter()
                .try_for_each(|(unit, owner)| self.assign_owner(service, *unit, owner)),
            Change::HotKeysSplit { service, keys } => keys
                .iter()
                .try_for_each(|(key, to)| self.split(service, *key, to)),
            Change::HotKeysMerged { service, keys } => {
                keys.iter().try_for_each(|key| self.merge(service, *key))
            }
            Change::Quarantined { entry } => {
                self.quarantine.insert(entry.fingerprint, entry.clone());
                Ok(())
            }
            Change::QuarantineCleared { fingerprint } => {
                self.quarantine.remove(fingerprint);
                Ok(())
            }
        }
    }

    /// Edits the settings. Deleting a service that still has upstreams is refused.
    fn edit_settings(&mut self, edits: &[NodeEdit]) -> Result<(), ApplyError> {
        for edit in edits.iter().filter(|edit| edit.delete) {
            let NodePath::Service(service) = &edit.path else {
                continue;
            };
            let mut upstreams = self.upstreams.values();
            if upstreams.any(|upstream| upstream.service == *service) {
                let path = edit.path.clone();
                return Err(SettingsError::HasChildren { path }).context(SettingsSnafu);
            }
            self.services.remove(service);
        }
        Arc::make_mut(&mut self.settings)
            .apply(self.epoch, edits)
            .context(SettingsSnafu)
    }

    /// Adds a daemon to the roster and removes earlier incarnations at its address.
    ///
    /// A new daemon at the same address proves that the earlier ones have ended. Both happen in one
    /// change: with two, the earlier ones could be removed as `Silent` in between, which does not
    /// record that they have ended, and their rosters could stay open forever.
    fn add_daemon(&mut self, daemon: &DaemonInfo) -> Result<(), ApplyError> {
        let incarnation = daemon.incarnation;
        ensure!(
            !self.departed.contains(&incarnation),
            DepartedSnafu { incarnation }
        );
        self.silent.remove(&incarnation);
        for replaced in self.replaced_by(daemon) {
            self.remove_daemon(replaced, RemovalReason::Replaced)?;
        }
        let has_ended = |silent: &DaemonInfo| silent.peer_address == daemon.peer_address;
        let at_address = self.silent.extract_if(.., |_, silent| has_ended(silent));
        self.departed.extend(at_address.map(|(ended, _)| ended));
        self.daemons.insert(incarnation, daemon.clone());
        self.push_roster();
        Ok(())
    }

    /// Returns the daemons of the roster that `daemon` replaces when it joins, which are the other
    /// incarnations at its peer address.
    pub fn replaced_by(&self, daemon: &DaemonInfo) -> Vec<Incarnation> {
        let same_address = |known: &&DaemonInfo| known.peer_address == daemon.peer_address;
        let daemons = self.daemons.values().filter(same_address);
        daemons
            .map(|known| known.incarnation)
            .filter(|known| *known != daemon.incarnation)
            .collect()
    }

    /// Removes daemons from the roster.
    ///
    /// Unless the reason is `Silent`, they are known to have ended and to confirm no more epochs.
    fn remove_daemons(
        &mut self,
        incarnations: &[Incarnation],
        reason: RemovalReason,
    ) -> Result<(), ApplyError> {
        for incarnation in incarnations {
            self.remove_daemon(*incarnation, reason)?;
        }
        self.push_roster();
        Ok(())
    }

    fn remove_daemon(
        &mut self,
        incarnation: Incarnation,
        reason: RemovalReason,
    ) -> Result<(), ApplyError> {
        let is_forgotten = reason == RemovalReason::Forgotten;
        if is_forgotten && self.silent.remove(&incarnation).is_some() {
            self.departed.insert(incarnation);
            return Ok(());
        }
        let Some(daemon) = self.daemons.remove(&incarnation) else {
            return NotInRosterSnafu { incarnation }.fail();
        };
        if reason == RemovalReason::Silent {
            self.silent.insert(incarnation, daemon);
        } else {
            self.departed.insert(incarnation);
        }
        if self.placer == Some(incarnation) {
            self.placer = None;
        }
        self.clear_dispatcher(incarnation);
        Ok(())
    }

    fn clear_dispatcher(&mut self, incarnation: Incarnation) {
        for upstream in self.upstreams.values_mut() {
            if upstream.dispatcher == Some(incarnation) {
                upstream.dispatcher = None;
                self.dispatcher_cleared
                    .insert(upstream.name.clone(), self.epoch);
            }
        }
    }

    fn push_roster(&mut self) {
        let members = self.daemons.keys().copied().collect();
        self.open_rosters.push(Roster {
            since: self.epoch,
            members,
        });
    }

    /// Closes the rosters that were replaced at or before `through`; the current one stays open.
    fn close_rosters(&mut self, through: Epoch) -> Result<(), ApplyError> {
        let before = self.open_rosters.len();
        let replaced_at: Vec<Epoch> = self
            .open_rosters
            .iter()
            .skip(1)
            .map(|roster| roster.since)
            .collect();
        let closed = replaced_at.iter().take_while(|at| **at <= through).count();
        self.open_rosters.drain(..closed);
        ensure!(
            self.open_rosters.len() < before,
            NothingToCloseSnafu { through }
        );
        let rosters = &self.open_rosters;
        let is_open = |daemon: &Incarnation| rosters.iter().any(|r| r.members.contains(daemon));
        self.departed.retain(is_open);
        self.silent.retain(|silent, _| is_open(silent));
        Ok(())
    }

    fn ensure_daemon_known(&self, incarnation: Incarnation) -> Result<(), ApplyError> {
        ensure!(
            self.daemons.contains_key(&incarnation),
            NotInRosterSnafu { incarnation }
        );
        Ok(())
    }

    fn ensure_upstream_known(&self, name: &UpstreamName) -> Result<(), ApplyError> {
        ensure!(
            self.upstreams.contains_key(name),
            UnknownUpstreamSnafu { name: name.clone() }
        );
        Ok(())
    }

    fn change_upstream(&mut self, upstream: &UpstreamInfo) {
        let known = self.upstreams.get(&upstream.name);
        let dispatcher = known.and_then(|known| known.dispatcher);
        if known.map(|known| known.status) != Some(upstream.status) {
            self.status_epochs.insert(upstream.name.clone(), self.epoch);
            self.raise_fence(&upstream.name);
        }
        let changed = UpstreamInfo {
            dispatcher,
            ..upstream.clone()
        };
        self.upstreams.insert(upstream.name.clone(), changed);
    }

    fn remove_upstream(&mut self, name: &UpstreamName) -> Result<(), ApplyError> {
        self.ensure_upstream_known(name)?;
        let is_involved = |owner: &UnitOwner| match owner {
            UnitOwner::Owned(owner) => owner == name,
            UnitOwner::Moving { from, to, .. } => from == name || to == name,
        };
        let mut owners = self
            .services
            .values()
            .flat_map(|placement| placement.units.values());
        ensure!(
            !owners.any(is_involved),
            StillOwnerSnafu { name: name.clone() }
        );
        self.upstreams.remove(name);
        self.fence_epochs.remove(name);
        self.status_epochs.remove(name);
        self.dispatcher_cleared.remove(name);
        Ok(())
    }

    fn assign_dispatcher(
        &mut self,
        name: &UpstreamName,
        to: Option<Incarnation>,
    ) -> Result<(), ApplyError> {
        self.ensure_upstream_known(name)?;
        if let Some(incarnation) = to {
            self.ensure_daemon_known(incarnation)?;
            self.dispatcher_cleared.remove(name);
        } else {
            self.dispatcher_cleared.insert(name.clone(), self.epoch);
        }
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.dispatcher = to;
        }
        Ok(())
    }

    fn placement_mut(&mut self, service: &ServiceName) -> &mut ServicePlacement {
        Arc::make_mut(self.services.entry(service.clone()).or_default())
    }

    fn start_move(
        &mut self,
        service: &ServiceName,
        unit_move: &UnitMove,
    ) -> Result<(), ApplyError> {
        let UnitMove { unit, from, to, .. } = unit_move;
        self.ensure_upstream_known(to)?;
        let since_epoch = self.epoch;
        let placement = self.placement_mut(service);
        let is_current_owner =
            matches!(placement.units.get(unit), Some(UnitOwner::Owned(owner)) if owner == from);
        ensure!(is_current_owner, WrongOwnerSnafu { unit: *unit });
        let moving = UnitOwner::Moving {
            from: from.clone(),
            to: to.clone(),
            since_epoch,
        };
        placement.units.insert(*unit, moving);
        self.raise_fence(from);
        Ok(())
    }

    /// Assigns an owner to a unit that is unassigned or moving.
    ///
    /// A moving unit may get a different owner than the start of the move named.
    fn assign_owner(
        &mut self,
        service: &ServiceName,
        unit: UnitId,
        owner: &UpstreamName,
    ) -> Result<(), ApplyError> {
        self.ensure_upstream_known(owner)?;
        let placement = self.placement_mut(service);
        let previous = placement.units.get(&unit).cloned();
        ensure!(
            !matches!(previous, Some(UnitOwner::Owned(_))),
            WrongOwnerSnafu { unit }
        );
        placement
            .units
            .insert(unit, UnitOwner::Owned(owner.clone()));
        self.raise_fence(owner);
        if let Some(UnitOwner::Moving { from, .. }) = previous {
            self.raise_fence(&from);
        }
        Ok(())
    }

    /// Splits a hot key off its slice into a unit of its own, which moves to `to`.
    ///
    /// Raises the fence of the owner of the slice, so that it rejects requests of older epochs.
    fn split(
        &mut self,
        service: &ServiceName,
        key: KeyHash,
        to: &UpstreamName,
    ) -> Result<(), ApplyError> {
        self.ensure_upstream_known(to)?;
        let slice = self.slice_of(service, key);
        let since_epoch = self.epoch;
        let placement = self.placement_mut(service);
        let unit = UnitId::hot_key(key);
        let Some(UnitOwner::Owned(from)) = placement.units.get(&slice).cloned() else {
            return WrongOwnerSnafu { unit: slice }.fail();
        };
        ensure!(placement.hot_keys.insert(key), WrongOwnerSnafu { unit });
        let moving = UnitOwner::Moving {
            from: from.clone(),
            to: to.clone(),
            since_epoch,
        };
        placement.units.insert(unit, moving);
        self.raise_fence(&from);
        Ok(())
    }

    /// Returns a hot key to its slice; the key and the slice must have the same owner.
    fn merge(&mut self, service: &ServiceName, key: KeyHash) -> Result<(), ApplyError> {
        let slice = self.slice_of(service, key);
        let placement = self.placement_mut(service);
        let unit = UnitId::hot_key(key);
        let owner = placement.units.get(&unit).cloned();
        let Some(UnitOwner::Owned(name)) = owner else {
            return WrongOwnerSnafu { unit }.fail();
        };
        let has_same_owner = placement.units.get(&slice) == Some(&UnitOwner::Owned(name.clone()));
        ensure!(has_same_owner, WrongOwnerSnafu { unit });
        placement.units.remove(&unit);
        placement.hot_keys.remove(&key);
        self.raise_fence(&name);
        Ok(())
    }

    fn slice_of(&self, service: &ServiceName, key: KeyHash) -> UnitId {
        let slices = self
            .settings
            .service_policy(service)
            .map_or(1, |policy| policy.slices);
        UnitId::slice_of(key, slices)
    }

    fn raise_fence(&mut self, upstream: &UpstreamName) {
        self.fence_epochs.insert(upstream.clone(), self.epoch);
    }
}

const fn requires_placer(change: &Change) -> bool {
    match change {
        Change::RostersClosed { .. }
        | Change::UpstreamsRemoved { .. }
        | Change::DispatchersAssigned { .. }
        | Change::UnitsMoving { .. }
        | Change::UnitsOwned { .. }
        | Change::HotKeysSplit { .. }
        | Change::HotKeysMerged { .. } => true,
        // Any daemon may commit an operator's drain request, which is an `UpstreamsChanged`.
        Change::UpstreamsChanged { .. }
        | Change::Settings { .. }
        | Change::DaemonJoined { .. }
        | Change::DaemonsRemoved { .. }
        | Change::PlacerTaken { .. }
        | Change::Quarantined { .. }
        | Change::QuarantineCleared { .. } => false,
    }
}
