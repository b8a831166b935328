//! What the control task takes from the tables of the store.

use super::Followed;
use super::lines::ControlLine;
use super::task::ControlTask;
use crate::clock::now;
use crate::store::{
    OwnKey, Page, RowError, StoreChange, StoreError, StoreTable, decode_ranges, decode_row,
};
use balsam_decide::directory::{DirectoryInput, Upstreams};
use balsam_decide::keys::{GiverInput, RowVersion, StoredLead, StoredRanges};
use balsam_decide::routing::RouteTable;
use balsam_types::{RoutingConfig, UpstreamEntry};
use std::collections::hash_map::Entry;
use std::sync::Arc;

impl ControlTask {
    pub(super) fn follow(&mut self, table: StoreTable, news: Followed) {
        let (page, is_whole) = match news {
            Followed::Failed(StoreError::HistoryLost) => return,
            Followed::Failed(error) => return self.store_failed(table, &error),
            Followed::Listed(page) => (page, true),
            Followed::Changed(page) => (page, false),
        };
        if let Some(lost_at) = self.lost.remove(&table) {
            // The giver knows whether the store was lost to others as well.
            self.hello_at = now();
            // What vanishes right after the store's return may only have lapsed meanwhile.
            self.directory.handle(now(), DirectoryInput::StoreFailed);
            let lost_ms = now().since(lost_at);
            ControlLine::StoreBack {
                table: table.as_str(),
                version: page.version,
                lost_ms,
            }
            .write();
        }
        match table {
            StoreTable::Config => self.take_configs(page),
            StoreTable::Upstreams => self.take_upstreams(page, is_whole),
            // The own rows are read on demand.
            StoreTable::Own => self.take_own(page),
        }
    }

    fn store_failed(&mut self, table: StoreTable, error: &StoreError) {
        self.directory.handle(now(), DirectoryInput::StoreFailed);
        if let Entry::Vacant(lost) = self.lost.entry(table) {
            lost.insert(now());
            ControlLine::StoreLost {
                table: table.as_str(),
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
                StoreChange::Unreadable { key, reason } => {
                    Self::unreadable(StoreTable::Config, &key, &reason);
                }
                _ => {}
            }
        }
    }

    fn configure(&mut self, config: RoutingConfig) {
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
        self.view.table = Some(Arc::new(RouteTable::new(config)));
        self.view.table_at = now();
        self.tell_world();
        self.publish();
    }

    fn take_upstreams(&mut self, page: Page, is_whole: bool) {
        let mut listed: Vec<UpstreamEntry> = Vec::new();
        let mut newest = None;
        for change in page.changes {
            let input = match change {
                StoreChange::Upstream(entry) if is_whole => {
                    listed.push(entry);
                    continue;
                }
                StoreChange::Upstream(entry) => {
                    let state = if entry.is_ready() {
                        "ready"
                    } else {
                        "draining"
                    };
                    let (upstream, born) = (&entry.name, entry.born.0);
                    ControlLine::Upstream {
                        upstream,
                        state,
                        born,
                    }
                    .write();
                    DirectoryInput::Changed(entry)
                }
                StoreChange::UpstreamRemoved(name) => {
                    ControlLine::Upstream {
                        upstream: &name,
                        state: "removed",
                        born: 0,
                    }
                    .write();
                    DirectoryInput::Removed(name)
                }
                StoreChange::Unreadable { key, reason } => {
                    Self::unreadable(StoreTable::Upstreams, &key, &reason);
                    continue;
                }
                StoreChange::Config(_) | StoreChange::Own { .. } => continue,
            };
            newest = self.directory.handle(now(), input).or(newest);
        }
        if is_whole {
            self.view.has_upstreams = true;
            newest = self
                .directory
                .handle(now(), DirectoryInput::Listed(listed))
                .or(newest);
        }
        match newest {
            Some(upstreams) => self.adopt_upstreams(upstreams),
            None if is_whole => self.publish(),
            None => {}
        }
    }

    pub(super) fn adopt_upstreams(&mut self, upstreams: Upstreams) {
        self.view.upstreams = Arc::new(upstreams);
        self.tell_world();
        self.publish();
    }

    pub(super) fn take_own(&mut self, page: Page) {
        let mut has_lead = false;
        for change in page.changes {
            let StoreChange::Own {
                key,
                version,
                value,
            } = change
            else {
                continue;
            };
            has_lead |= key == OwnKey::Lead.text();
            if let Err(failure) = self.take_row(&key, RowVersion(version), value.as_deref()) {
                Self::unreadable(StoreTable::Own, &key, &failure.to_string());
            }
        }
        if !has_lead {
            let lead = StoredLead {
                version: RowVersion(0),
                leader: None,
            };
            self.give(GiverInput::Lead(lead));
        }
        self.publish_ranges();
    }

    fn take_row(
        &mut self,
        key: &Arc<str>,
        version: RowVersion,
        value: Option<&[u8]>,
    ) -> Result<(), RowError> {
        match (OwnKey::from_text(key), value) {
            (Some(OwnKey::Lead), Some(value)) => {
                let leader = Some(decode_row(key, value)?);
                self.give(GiverInput::Lead(StoredLead { version, leader }));
            }
            (Some(OwnKey::Ranges(_)), Some(value)) => {
                let ranges = Arc::new(decode_ranges(key, value)?);
                self.give(GiverInput::Ranges(StoredRanges { version, ranges }));
            }
            (_, None) | (None, _) => {}
        }
        Ok(())
    }
}
