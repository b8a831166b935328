//! A store of versioned rows that can refuse the calls of single daemons.

use balsam_decide::feed::StoreTimeMs;
use balsam_edge::store::{Page, StoreChange, StoreError, StoreRequest, StoreTable, WriteOutcome};
use balsam_types::StoreEra;
use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep};

/// Interval at which waiting calls check for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Whether the store serves the calls of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    Served,
    Refused,
}

type Key = (&'static str, Arc<str>);

enum Command {
    Call(usize, StoreRequest),
    Put(StoreChange),
    Access(usize, Access),
    Delay(usize, Duration),
    Calls(usize, oneshot::Sender<u64>),
    ClusterRow(Arc<str>, oneshot::Sender<Option<Bytes>>),
    Copy,
    Restore,
}

/// A row and the store's own number of its version.
#[derive(Clone)]
struct Row {
    version: u64,
    change: StoreChange,
}

struct PendingFollow {
    client: usize,
    until: Instant,
    request: StoreRequest,
}

/// The task that owns the rows.
struct StoreTask {
    /// The start of the store's clock.
    started_at: Instant,
    era: StoreEra,
    version: u64,
    rows: BTreeMap<Key, Row>,
    /// The version and the rows of the last copy.
    copy: (u64, BTreeMap<Key, Row>),
    access: BTreeMap<usize, Access>,
    /// Delay of the responses about upstreams, by client.
    delays: BTreeMap<usize, Duration>,
    calls: BTreeMap<usize, u64>,
    waiting: Vec<PendingFollow>,
}

/// A handle of the store.
#[derive(Clone, Debug)]
pub struct Store {
    commands: mpsc::UnboundedSender<Command>,
}

impl std::fmt::Debug for Command {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("command of the store")
    }
}

impl Store {
    /// Starts a store with the given rows.
    pub fn start(changes: impl IntoIterator<Item = StoreChange>) -> Self {
        let (commands, received) = mpsc::unbounded_channel();
        actix_rt::spawn(run(received));
        let store = Self { commands };
        for change in changes {
            store.put(change);
        }
        store
    }

    /// Returns the channel on which a daemon sends its calls.
    pub fn client(&self, client: usize) -> mpsc::Sender<StoreRequest> {
        let (requests, mut received) = mpsc::channel(16);
        let commands = self.commands.clone();
        actix_rt::spawn(async move {
            while let Some(request) = received.recv().await {
                drop(commands.send(Command::Call(client, request)));
            }
        });
        requests
    }

    /// Writes a row as the operator or an upstream does.
    pub fn put(&self, change: StoreChange) {
        drop(self.commands.send(Command::Put(change)));
    }

    /// Makes a copy of all rows.
    pub fn copy(&self) {
        drop(self.commands.send(Command::Copy));
    }

    /// Goes back to the last copy, in the next era.
    pub fn restore(&self) {
        drop(self.commands.send(Command::Restore));
    }

    /// Sets whether the calls of a daemon are served or refused.
    pub fn set_access(&self, client: usize, access: Access) {
        drop(self.commands.send(Command::Access(client, access)));
    }

    /// Delays the responses about upstreams to a daemon. They show the rows as they were before the
    /// delay.
    pub fn delay_upstreams(&self, client: usize, by: Duration) {
        drop(self.commands.send(Command::Delay(client, by)));
    }

    /// Returns whether the daemons have written a cluster row.
    pub async fn has_cluster_row(&self, key: &str) -> bool {
        self.cluster_row(key).await.is_some()
    }

    /// Returns the value of a cluster row.
    pub async fn cluster_row(&self, key: &str) -> Option<Bytes> {
        let (reply, value) = oneshot::channel();
        drop(
            self.commands
                .send(Command::ClusterRow(Arc::from(key), reply)),
        );
        value.await.expect("a running store")
    }

    /// Returns the number of calls that a daemon has made.
    pub async fn calls(&self, client: usize) -> u64 {
        let (reply, count) = oneshot::channel();
        drop(self.commands.send(Command::Calls(client, reply)));
        count.await.expect("a running store")
    }
}

async fn run(mut commands: mpsc::UnboundedReceiver<Command>) {
    let mut task = StoreTask {
        started_at: Instant::now(),
        era: StoreEra(0),
        version: 0,
        rows: BTreeMap::new(),
        copy: (0, BTreeMap::new()),
        access: BTreeMap::new(),
        delays: BTreeMap::new(),
        calls: BTreeMap::new(),
        waiting: Vec::new(),
    };
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(command) => task.handle(command),
                None => return,
            },
            () = sleep(POLL_INTERVAL) => {}
        }
        task.respond_to_waiting();
    }
}

impl StoreTask {
    fn handle(&mut self, command: Command) {
        match command {
            Command::Put(change) => {
                self.version += 1;
                self.put(change);
            }
            Command::Copy => self.copy = (self.version, self.rows.clone()),
            Command::Restore => {
                (self.version, self.rows) = self.copy.clone();
                self.era.0 += 1;
            }
            Command::Access(client, access) => {
                self.access.insert(client, access);
            }
            Command::Delay(client, by) => {
                self.delays.insert(client, by);
            }
            Command::Calls(client, reply) => {
                let count = self.calls.get(&client).copied().unwrap_or(0);
                reply.send(count).expect("a test that waits");
            }
            Command::ClusterRow(key, reply) => {
                let value = match self.rows.get(&("own", key)).map(|row| &row.change) {
                    Some(StoreChange::Cluster { value, .. }) => value.clone(),
                    _ => None,
                };
                reply.send(value).expect("a test that waits");
            }
            Command::Call(client, request) => {
                *self.calls.entry(client).or_default() += 1;
                self.call(client, request);
            }
        }
    }

    /// Writes a row at the present version.
    fn put(&mut self, change: StoreChange) {
        let (table, key) = match &change {
            StoreChange::Config(_) => ("config", Arc::from("config")),
            StoreChange::Evacuation { zone, .. } => {
                ("config", Arc::from(format!("evacuate/{zone}")))
            }
            StoreChange::Upstream(row) => ("upstreams", Arc::from(row.entry.name.as_str())),
            StoreChange::UpstreamRemoved { name, .. } => ("upstreams", Arc::from(name.as_str())),
            StoreChange::Cluster { key, .. } => ("own", Arc::clone(key)),
            StoreChange::Unreadable { key, .. } => ("upstreams", Arc::clone(key)),
        };
        let version = self.version;
        self.rows.insert((table, key), Row { version, change });
    }

    fn is_refused(&self, client: usize) -> bool {
        self.access.get(&client) == Some(&Access::Refused)
    }

    fn call(&mut self, client: usize, request: StoreRequest) {
        if self.is_refused(client) {
            return refuse(request);
        }
        match request {
            StoreRequest::Read { table, reply } => {
                self.respond(client, table, reply, self.page(table, 0));
            }
            StoreRequest::ReadRow { key, reply } => {
                let mut page = self.page(StoreTable::Cluster, 0);
                page.changes.retain(
                    |change| matches!(change, StoreChange::Cluster { key: found, .. } if *found == key),
                );
                drop(reply.send(Ok(page)));
            }
            StoreRequest::Follow { after, reply, .. } if StoreEra::of(after) != self.era => {
                drop(reply.send(Err(StoreError::HistoryLost)));
            }
            StoreRequest::Follow { wait_ms, .. } => self.waiting.push(PendingFollow {
                client,
                until: Instant::now() + Duration::from_millis(wait_ms),
                request,
            }),
            StoreRequest::Write {
                expected,
                rows,
                reply,
                ..
            } => drop(reply.send(Ok(self.write(&expected, rows)))),
        }
    }

    fn write(
        &mut self,
        expected: &[(Arc<str>, u64)],
        rows: Vec<(Arc<str>, Bytes)>,
    ) -> WriteOutcome {
        let version_of = |key: &Arc<str>| {
            let row = self.rows.get(&("own", Arc::clone(key)));
            self.in_era(row.map_or(0, |row| row.version))
        };
        if expected
            .iter()
            .any(|(key, version)| version_of(key) != *version)
        {
            return WriteOutcome::Conflict;
        }
        self.version += 1;
        for (key, value) in rows {
            let (version, value) = (self.version, Some(value));
            self.put(StoreChange::Cluster {
                key,
                version,
                value,
            });
        }
        WriteOutcome::Done(self.in_era(self.version))
    }

    fn in_era(&self, number: u64) -> u64 {
        self.era.version(number).expect("a small number")
    }

    /// Returns the change of a row with its version.
    fn versioned(&self, row: &Row) -> StoreChange {
        let newest = self.in_era(row.version);
        let mut change = row.change.clone();
        match &mut change {
            StoreChange::Config(_) | StoreChange::Evacuation { .. } => {}
            StoreChange::Upstream(row) => row.version = newest,
            StoreChange::UpstreamRemoved { version, .. }
            | StoreChange::Cluster { version, .. }
            | StoreChange::Unreadable { version, .. } => *version = newest,
        }
        change
    }

    fn page(&self, table: StoreTable, after: u64) -> Page {
        let rows = self.rows.iter();
        let rows = rows
            .filter(|((row_table, _), row)| *row_table == table.as_str() && row.version > after);
        Page {
            changes: rows.map(|(_, row)| self.versioned(row)).collect(),
            version: self.in_era(self.version),
            store_now: StoreTimeMs(self.started_at.elapsed().as_millis() as u64),
        }
    }

    fn respond_to_waiting(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            let StoreRequest::Follow { table, after, .. } = &waiting.request else {
                continue;
            };
            if StoreEra::of(*after) != self.era {
                if let StoreRequest::Follow { reply, .. } = waiting.request {
                    drop(reply.send(Err(StoreError::HistoryLost)));
                }
                continue;
            }
            let page = self.page(*table, StoreEra::number(*after));
            if self.is_refused(waiting.client) {
                refuse(waiting.request);
            } else if page.changes.is_empty() && Instant::now() < waiting.until {
                self.waiting.push(waiting);
            } else if let StoreRequest::Follow { table, reply, .. } = waiting.request {
                self.respond(waiting.client, table, reply, page);
            }
        }
    }

    fn respond(
        &self,
        client: usize,
        table: StoreTable,
        reply: oneshot::Sender<Result<Page, StoreError>>,
        page: Page,
    ) {
        let delay = self.delays.get(&client).copied().unwrap_or_default();
        if table != StoreTable::Upstreams || delay.is_zero() {
            drop(reply.send(Ok(page)));
            return;
        }
        actix_rt::spawn(async move {
            sleep(delay).await;
            drop(reply.send(Ok(page)));
        });
    }
}

fn refuse(request: StoreRequest) {
    let refused = StoreError::Refused { status: 503 };
    match request {
        StoreRequest::Read { reply, .. }
        | StoreRequest::ReadRow { reply, .. }
        | StoreRequest::Follow { reply, .. } => drop(reply.send(Err(refused))),
        StoreRequest::Write { reply, .. } => drop(reply.send(Err(refused))),
    }
}
