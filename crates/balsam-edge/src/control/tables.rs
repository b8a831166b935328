//! What the control task takes from the tables of the store.

use super::Followed;
use super::lines::{self, ControlLine, RowSource};
use super::task::ControlTask;
use crate::clock::now;
use crate::peer::{Topic, UpstreamChange};
use crate::store::{
    ClusterRowKey, Page, RangesRow, RowError, StoreChange, StoreError, StoreTable, decode_row,
};
use balsam_decide::crashes::TrackerInput;
use balsam_decide::directory::{DirectoryInput, Upstreams};
use balsam_decide::feed::FeedTable;
use balsam_decide::keys::{AssignerInput, RowVersion, StoredLead, StoredRanges};
use balsam_decide::routing::RouteTable;
use balsam_types::{RoutingConfig, ServiceName, UpstreamName, UpstreamRow};
use std::collections::BTreeMap;
use std::collections::hash_map::Entry;
use std::sync::Arc;

impl ControlTask {
    pub(super) fn follow(&mut self, table: FeedTable, news: Followed) {
        let (page, is_whole) = match news {
            Followed::Failed(StoreError::HistoryLost) => {
                let table = StoreTable::from(table).as_str();
                return ControlLine::HistoryLost { table }.write();
            }
            Followed::Failed(error) => return self.store_failed(table, &error),
            Followed::Listed(page) => (page, true),
            Followed::Changed(page) => (page, false),
        };
        let has_changes = is_whole || !page.changes.is_empty();
        let base = self.feed.state(now()).of(table).changed;
        if self
            .feed
            .record_response(now(), table, page.version, has_changes)
        {
            // What vanishes right after the store's return may only have lapsed meanwhile.
            self.directory.handle(now(), DirectoryInput::StoreFailed);
        }
        if has_changes && self.assigner.is_leading() {
            // The others fetch what they lack once a heartbeat names the version.
            self.heartbeat_at = now();
        }
        if let Some(lost_at) = self.lost.remove(&table) {
            // The leader knows whether the store was lost to others as well.
            self.hello_at = now();
            let lost_ms = now().since(lost_at);
            ControlLine::StoreBack {
                table: StoreTable::from(table).as_str(),
                version: page.version,
                lost_ms,
            }
            .write();
        }
        match table {
            FeedTable::Config => {
                self.take_configs(page);
                if has_changes {
                    self.push_snapshot(&Topic::Table(FeedTable::Config));
                }
            }
            FeedTable::Upstreams => self.take_upstreams(page, base, is_whole),
        }
    }

    fn store_failed(&mut self, table: FeedTable, error: &StoreError) {
        self.feed.record_failure(table);
        self.directory.handle(now(), DirectoryInput::StoreFailed);
        if let Entry::Vacant(lost) = self.lost.entry(table) {
            lost.insert(now());
            ControlLine::StoreLost {
                table: StoreTable::from(table).as_str(),
                error: error.to_string(),
            }
            .write();
        }
    }

    fn unreadable(table: StoreTable, key: &str, reason: &str) {
        ControlLine::RowUnreadable {
            table: table.as_str(),
            key,
            reason,
        }
        .write();
    }

    fn take_configs(&mut self, page: Page) {
        for change in page.changes {
            match change {
                StoreChange::Config(config) => self.configure(config),
                StoreChange::Unreadable { key, reason, .. } => {
                    Self::unreadable(StoreTable::Config, &key, &reason);
                }
                _ => {}
            }
        }
    }

    pub(super) fn configure(&mut self, config: RoutingConfig) {
        let version = config.version;
        let in_force = self.view.table.as_ref().map(|table| table.version());
        if let Some(in_force) = in_force.filter(|in_force| *in_force >= version) {
            if in_force > version {
                let (version, in_force) = (version.0, in_force.0);
                ControlLine::ConfigIgnored { version, in_force }.write();
            }
            return;
        }
        ControlLine::Configured {
            version: version.0,
            routes: config.routes.len(),
        }
        .write();
        self.config = Some(config.clone());
        self.view.table = Some(Arc::new(RouteTable::new(config)));
        self.view.table_adopted_at = now();
        self.tell_world();
        self.publish();
    }

    fn take_upstreams(&mut self, page: Page, base: u64, is_whole: bool) {
        let version = page.version;
        let news = page.changes.into_iter().filter_map(|change| match change {
            StoreChange::Upstream(row) => Some(UpstreamChange::Changed(row)),
            StoreChange::UpstreamRemoved { version, name } => {
                Some(UpstreamChange::Removed { version, name })
            }
            StoreChange::Unreadable {
                version,
                key,
                reason,
            } => {
                Self::unreadable(StoreTable::Upstreams, &key, &reason);
                // Whatever the row said before, it names no upstream any more.
                let name = UpstreamName::new(&*key).ok()?;
                Some(UpstreamChange::Removed { version, name })
            }
            StoreChange::Config(_) | StoreChange::Cluster { .. } => None,
        });
        let news: Vec<UpstreamChange> = news.collect();
        if is_whole {
            let rows = news.into_iter().filter_map(|news| match news {
                UpstreamChange::Changed(row) => Some(row),
                UpstreamChange::Removed { .. } => None,
            });
            self.list_upstreams(version, rows.collect(), RowSource::List);
        } else if !news.is_empty() {
            self.push_upstreams(base, version, &news);
            self.change_upstreams(news, RowSource::Store);
        }
    }

    /// Takes the whole list of upstreams.
    pub(super) fn list_upstreams(
        &mut self,
        version: u64,
        rows: Vec<UpstreamRow>,
        source: RowSource,
    ) {
        self.view.has_upstreams = true;
        let listed = self
            .directory
            .handle(now(), DirectoryInput::Listed { version, rows });
        self.note_upstreams(source);
        match listed {
            Some(upstreams) => self.adopt_upstreams(upstreams),
            None => self.publish(),
        }
    }

    /// Takes changes of the list of upstreams, from the store or from the leader.
    pub(super) fn change_upstreams(&mut self, news: Vec<UpstreamChange>, source: RowSource) {
        let mut newest = None;
        for news in news {
            let input = match news {
                UpstreamChange::Changed(row) => DirectoryInput::Changed(row),
                UpstreamChange::Removed { version, name } => {
                    DirectoryInput::Removed { version, name }
                }
            };
            newest = self.directory.handle(now(), input).or(newest);
        }
        self.note_upstreams(source);
        if let Some(upstreams) = newest {
            self.adopt_upstreams(upstreams);
        }
    }

    /// Writes a line for each row that the directory was given.
    pub(super) fn note_upstreams(&mut self, source: RowSource) {
        for note in self.directory.take_notices() {
            lines::upstream(now(), &note, source);
        }
    }

    pub(super) fn adopt_upstreams(&mut self, upstreams: Upstreams) {
        self.view.upstreams = Arc::new(upstreams);
        self.tell_world();
        self.publish();
    }

    pub(super) fn take_own(&mut self, page: Page) {
        let mut has_lead = false;
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
            has_lead |= key == ClusterRowKey::Lead.text();
            let version = RowVersion(version);
            match self.take_row(&key, version, value.as_deref()) {
                Ok(Some((service, part, row))) => {
                    parts
                        .entry(service)
                        .or_default()
                        .insert(part, (version, row));
                }
                Ok(None) => {}
                Err(failure) => Self::unreadable(StoreTable::Cluster, &key, &failure.to_string()),
            }
        }
        for (service, rows) in parts {
            self.take_ranges(service, rows);
        }
        if !has_lead {
            let lead = StoredLead {
                version: RowVersion(0),
                leader: None,
            };
            self.give(AssignerInput::Lead(lead));
        }
        self.publish_ranges();
    }

    fn take_row(
        &mut self,
        key: &Arc<str>,
        version: RowVersion,
        value: Option<&[u8]>,
    ) -> Result<Option<(ServiceName, u16, RangesRow)>, RowError> {
        match (ClusterRowKey::from_text(key), value) {
            (Some(ClusterRowKey::Lead), Some(value)) => {
                let leader = Some(decode_row(key, value)?);
                self.give(AssignerInput::Lead(StoredLead { version, leader }));
            }
            (Some(ClusterRowKey::Ranges(service, part)), Some(value)) => {
                return Ok(Some((service, part, decode_row(key, value)?)));
            }
            (Some(ClusterRowKey::Refused), Some(value)) => {
                self.watch(None, TrackerInput::RowRead(decode_row(key, value)?));
            }
            (_, None) | (None, _) => {}
        }
        Ok(None)
    }

    /// Takes the assignments of a service from its rows.
    fn take_ranges(&mut self, service: ServiceName, rows: BTreeMap<u16, (RowVersion, RangesRow)>) {
        // Each write changes the first row.
        let Some((version, _)) = rows.get(&0) else {
            return;
        };
        let version = *version;
        let rows: Vec<RangesRow> = rows.into_values().map(|(_, row)| row).collect();
        match RangesRow::join(&rows) {
            Ok(ranges) => {
                let ranges = Arc::new(ranges);
                self.give(AssignerInput::Ranges(StoredRanges { version, ranges }));
            }
            Err(failure) => {
                let key = ClusterRowKey::Ranges(service, 0).text();
                Self::unreadable(StoreTable::Cluster, &key, &failure.to_string());
            }
        }
    }
}
