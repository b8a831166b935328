//! Applies the contents of the store's tables to the state of the control task.

use super::TableUpdate;
use super::events::{self, ControlEvent, RowSource};
use super::snapshots::{PUSHED_PARTS_MAX, PUSHED_RESTORED_PARTS_MAX};
use super::task::ControlTask;
use crate::clock::now;
use crate::peer::{Topic, UpstreamChange};
use crate::store::{
    ClusterRowKey, Page, RangesRow, RowError, StoreChange, StoreError, StoreTable, decode_row,
};
use balsam_decide::crashes::TrackerInput;
use balsam_decide::directory::{DirectoryInput, Upstreams};
use balsam_decide::feed::{FeedTable, StoreResponse};
use balsam_decide::keys::{AssignerInput, RowVersion, StoredLead, StoredRanges};
use balsam_decide::routing::RouteTable;
use balsam_types::{RoutingConfig, ServiceName, StoreEra, TimeMs, UpstreamName, UpstreamRow};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A span of time in which the reads of a table fail.
#[derive(Clone, Copy, Debug)]
pub(super) struct TableOutage {
    since: TimeMs,
    /// The kind of the last error, see [`StoreError::as_str`].
    cause: &'static str,
}

impl ControlTask {
    /// Handles an update of a followed table.
    pub(super) fn follow(&mut self, table: FeedTable, asked_at: TimeMs, update: TableUpdate) {
        let (page, is_complete) = match update {
            TableUpdate::ChangesLost(error) => {
                let (table, cause) = (StoreTable::from(table).as_str(), error.as_str());
                return ControlEvent::HistoryLost { table, cause }.emit();
            }
            TableUpdate::Failed(error) => return self.store_failed(table, &error),
            TableUpdate::Listed(page) => (page, true),
            TableUpdate::Changed(page) => (page, false),
        };
        let era = StoreEra::of(page.version);
        let known_era = self.feed.seen(table).map(StoreEra::of);
        let is_restored = known_era.is_some_and(|known| known < era);
        let has_changes = is_complete || !page.changes.is_empty();
        let base = self.feed.state(now()).of(table).changed;
        let change_age_ms = self.config_change_age_ms();
        let response = StoreResponse {
            asked_at,
            store_now: page.store_now,
            version: page.version,
            has_changes,
        };
        if self.feed.record_response(now(), table, response) {
            // An entry that is missing right after an outage may only have expired during it, so it
            // is kept for a while instead of being removed at once.
            self.directory.handle(now(), DirectoryInput::StoreFailed);
        }
        if has_changes && self.assigner.is_leading() {
            // An early heartbeat shows the new version to the other daemons, which then fetch what
            // they lack.
            self.next_heartbeat_at = now();
        }
        if self.end_outage(StoreTable::from(table), page.version) {
            // Contact the leader at once: it knows whether the store was unavailable to the other
            // daemons as well.
            self.next_hello_at = now();
        }
        match table {
            FeedTable::Config => {
                self.apply_configs(page, is_complete, change_age_ms);
                if has_changes {
                    self.push_snapshot(&Topic::Table(FeedTable::Config), PUSHED_PARTS_MAX);
                }
            }
            FeedTable::Upstreams => self.apply_upstreams(page, base, is_complete),
        }
        if is_restored {
            self.restored_tables.insert(table);
            ControlEvent::Restored {
                table: StoreTable::from(table).as_str(),
                era: era.0,
            }
            .emit();
            self.push_restored_tables();
        }
        // This ends the term of a leader, so it comes after the table was passed on.
        self.decide(AssignerInput::Era(era));
    }

    /// Sends tables of a restored store to the other daemons, which would otherwise all read them.
    /// A leader that is not elected again yet sends them when it is.
    pub(super) fn push_restored_tables(&mut self) {
        if !self.feed.broadcasts_changes(self.assigner.is_leading()) {
            return;
        }
        for table in std::mem::take(&mut self.restored_tables) {
            self.push_snapshot(&Topic::Table(table), PUSHED_RESTORED_PARTS_MAX);
        }
    }

    fn store_failed(&mut self, table: FeedTable, error: &StoreError) {
        self.feed.record_failure(now(), table);
        self.directory.handle(now(), DirectoryInput::StoreFailed);
        self.record_outage(StoreTable::from(table), error);
    }

    /// Records that a read of a table has failed, and logs it if the read before succeeded or failed
    /// for another reason.
    pub(super) fn record_outage(&mut self, table: StoreTable, error: &StoreError) {
        let cause = error.as_str();
        let known = self.outages.get(&table).copied();
        if known.is_some_and(|outage| outage.cause == cause) {
            return;
        }
        let since = known.map_or_else(now, |outage| outage.since);
        self.outages.insert(table, TableOutage { since, cause });
        ControlEvent::StoreLost {
            table: table.as_str(),
            error: error.to_string(),
        }
        .emit();
    }

    /// Records that a table was read at a version. Returns whether reads of it had failed before.
    pub(super) fn end_outage(&mut self, table: StoreTable, version: u64) -> bool {
        let outage = self.outages.remove(&table);
        if let Some(TableOutage { since, .. }) = outage {
            ControlEvent::StoreBack {
                table: table.as_str(),
                version,
                lost_ms: now().since(since),
            }
            .emit();
        }
        outage.is_some()
    }

    pub(super) fn log_bad_row(table: StoreTable, key: &str, reason: &str) {
        ControlEvent::RowUnreadable {
            table: table.as_str(),
            key,
            reason,
        }
        .emit();
    }

    fn apply_configs(&mut self, page: Page, is_complete: bool, age_ms: Option<u64>) {
        let mut evacuations = Vec::new();
        for change in page.changes {
            match change {
                StoreChange::Config(config) => self.apply_config(config),
                StoreChange::Evacuation { zone, state } => evacuations.push((zone, state)),
                StoreChange::Unreadable { key, reason, .. } => {
                    Self::log_bad_row(StoreTable::Config, &key, &reason);
                }
                _ => {}
            }
        }
        self.apply_evacuation_rows(evacuations, is_complete, age_ms);
    }

    /// Adopts a version of the configuration unless it is older than the one in force.
    pub(super) fn apply_config(&mut self, config: RoutingConfig) {
        let version = config.version;
        let in_force = self.view.table.as_ref().map(|table| table.version());
        let in_force = in_force.filter(|_| !self.lacks_terms_of(&config));
        if let Some(in_force) = in_force.filter(|in_force| *in_force >= version) {
            if in_force > version {
                let (version, in_force) = (version.0, in_force.0);
                ControlEvent::ConfigIgnored { version, in_force }.emit();
            }
            return;
        }
        ControlEvent::Configured {
            version: version.0,
            routes: config.routes.len(),
        }
        .emit();
        let services = config.services.keys().cloned().collect();
        self.config = Some(config.clone());
        self.view.table = Some(Arc::new(RouteTable::new(config)));
        self.view.table_adopted_at = now();
        let listed = self
            .directory
            .handle(now(), DirectoryInput::Services(services));
        self.log_upstream_notices(RowSource::Config);
        if let Some(upstreams) = listed {
            self.view.upstreams = Arc::new(upstreams);
        }
        self.refresh_assigner();
        self.publish();
    }

    /// Returns whether `config` is the configuration in force with terms of services that the one
    /// in force lacks because a daemon of an earlier build has sent it.
    fn lacks_terms_of(&self, config: &RoutingConfig) -> bool {
        let has_warmups = |config: &RoutingConfig| {
            let mut policies = config.services.values();
            policies.any(|policy| policy.warmup.is_some())
        };
        let has_health_checks = |config: &RoutingConfig| {
            let mut policies = config.services.values();
            policies.any(|policy| policy.health_check.is_some())
        };
        let known = self.config.as_ref();
        let known = known.filter(|known| known.version == config.version);
        known.is_some_and(|known| {
            !has_warmups(known) && has_warmups(config)
                || !has_health_checks(known) && has_health_checks(config)
        })
    }

    fn apply_upstreams(&mut self, page: Page, base: u64, is_complete: bool) {
        let version = page.version;
        let update = page.changes.into_iter().filter_map(|change| match change {
            StoreChange::Upstream(row) => Some(UpstreamChange::Changed(row)),
            StoreChange::UpstreamRemoved { version, name } => {
                Some(UpstreamChange::Removed { version, name })
            }
            StoreChange::Unreadable {
                version,
                key,
                reason,
            } => {
                Self::log_bad_row(StoreTable::Upstreams, &key, &reason);
                // Whatever the row contained before, it no longer describes an upstream.
                let name = UpstreamName::new(&*key).ok()?;
                Some(UpstreamChange::Removed { version, name })
            }
            StoreChange::Config(_)
            | StoreChange::Evacuation { .. }
            | StoreChange::Cluster { .. } => None,
        });
        let update: Vec<UpstreamChange> = update.collect();
        if is_complete {
            let rows = update.into_iter().filter_map(|update| match update {
                UpstreamChange::Changed(row) => Some(row),
                UpstreamChange::Removed { .. } => None,
            });
            self.set_upstreams(version, rows.collect(), RowSource::List);
        } else if !update.is_empty() {
            self.push_upstreams(base, version, &update);
            self.update_upstreams(update, RowSource::Store);
        }
    }

    /// Applies a complete list of upstreams.
    pub(super) fn set_upstreams(
        &mut self,
        version: u64,
        rows: Vec<UpstreamRow>,
        source: RowSource,
    ) {
        self.view.has_upstreams = true;
        let upstream_list = self
            .directory
            .handle(now(), DirectoryInput::Listed { version, rows });
        self.log_upstream_notices(source);
        match upstream_list {
            Some(upstreams) => self.adopt_upstreams(upstreams),
            None => self.publish(),
        }
    }

    /// Applies changes of the list of upstreams, from the store or from the leader.
    pub(super) fn update_upstreams(&mut self, update: Vec<UpstreamChange>, source: RowSource) {
        let mut latest = None;
        for update in update {
            let input = match update {
                UpstreamChange::Changed(row) => DirectoryInput::Changed(row),
                UpstreamChange::Removed { version, name } => {
                    DirectoryInput::Removed { version, name }
                }
            };
            latest = self.directory.handle(now(), input).or(latest);
        }
        self.log_upstream_notices(source);
        if let Some(upstreams) = latest {
            self.adopt_upstreams(upstreams);
        }
    }

    /// Logs what the directory did with each row.
    pub(super) fn log_upstream_notices(&mut self, source: RowSource) {
        for notice in self.directory.take_notices() {
            events::upstream(now(), &notice, source);
        }
    }

    /// Adopts a new set of upstreams.
    pub(super) fn adopt_upstreams(&mut self, upstreams: Upstreams) {
        self.view.upstreams = Arc::new(upstreams);
        self.refresh_assigner();
        self.publish();
    }

    /// Applies the cluster rows: the leader, the assignments and the refused requests.
    pub(super) fn apply_cluster_rows(&mut self, page: Page) {
        let era = StoreEra::of(page.version);
        self.decide(AssignerInput::Era(era));
        let (mut has_leader_row, mut has_refused_row) = (false, false);
        let mut parts: BTreeMap<ServiceName, BTreeMap<u16, (RowVersion, RangesRow)>> =
            BTreeMap::new();
        for change in page.changes {
            let StoreChange::Cluster {
                key,
                version,
                value,
            } = change
            else {
                continue;
            };
            has_leader_row |= key == ClusterRowKey::Lead.text();
            has_refused_row |= key == ClusterRowKey::Refused.text();
            let version = RowVersion(version);
            match self.apply_cluster_row(&key, version, value.as_deref()) {
                Ok(Some((service, part, row))) => {
                    parts
                        .entry(service)
                        .or_default()
                        .insert(part, (version, row));
                }
                Ok(None) => {}
                Err(failure) => Self::log_bad_row(StoreTable::Cluster, &key, &failure.to_string()),
            }
        }
        for (service, rows) in parts {
            self.apply_ranges_rows(service, rows);
        }
        if !has_leader_row {
            let lead = StoredLead {
                version: RowVersion::absent(era),
                leader: None,
            };
            self.decide(AssignerInput::Lead(lead));
        }
        if !has_refused_row {
            // A restored store may have lost the row, and the leader then writes it again.
            self.watch(None, TrackerInput::RowRead(Vec::new()));
        }
        self.publish_ranges();
    }

    fn apply_cluster_row(
        &mut self,
        key: &Arc<str>,
        version: RowVersion,
        value: Option<&[u8]>,
    ) -> Result<Option<(ServiceName, u16, RangesRow)>, RowError> {
        match (ClusterRowKey::from_text(key), value) {
            (Some(ClusterRowKey::Lead), Some(value)) => {
                let leader = Some(decode_row(key, value)?);
                self.decide(AssignerInput::Lead(StoredLead { version, leader }));
            }
            (Some(ClusterRowKey::Ranges(service, part)), Some(value)) => {
                return Ok(Some((service, part, decode_row(key, value)?)));
            }
            (Some(ClusterRowKey::Refused), Some(value)) => {
                self.watch(None, TrackerInput::RowRead(decode_row(key, value)?));
            }
            (Some(ClusterRowKey::Term(_)) | None, _) | (_, None) => {}
        }
        Ok(None)
    }

    /// Decodes the assignments of a service from its rows and passes them to the assigner.
    fn apply_ranges_rows(
        &mut self,
        service: ServiceName,
        rows: BTreeMap<u16, (RowVersion, RangesRow)>,
    ) {
        // Every write changes the first row, so its version identifies the write.
        let Some((version, _)) = rows.get(&0) else {
            return;
        };
        let version = *version;
        let rows: Vec<RangesRow> = rows.into_values().map(|(_, row)| row).collect();
        match RangesRow::join(&rows) {
            Ok(ranges) => {
                let ranges = Arc::new(ranges);
                self.decide(AssignerInput::Ranges(StoredRanges { version, ranges }));
            }
            Err(failure) => {
                let key = ClusterRowKey::Ranges(service, 0).text();
                Self::log_bad_row(StoreTable::Cluster, &key, &failure.to_string());
            }
        }
    }
}
