//! The platform's store: rows under conditions, changes, the era, and copies to go back to.

use crate::http::{Message, Wire, response};
use crate::json::{Json, quote, to_base64};
use crate::record::{Random, Record};
use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Interval between two copies, and their number.
const COPY_INTERVAL: Duration = Duration::from_millis(100);
const COPIES_MAX: usize = 100;

/// Upper limit on the rows that one read returns, in bytes.
const PAGE_MAX_BYTES: usize = 1_000_000;

/// Number of addresses of the store. Each daemon has its own, so that it can be turned away alone.
const DOORS: usize = 3;

/// Time for which a connection stays open that delivers nothing further.
const SILENT_TIME: Duration = Duration::from_secs(5);

type Rows = BTreeMap<(String, String), (u64, Option<String>)>;

#[derive(Default)]
struct State {
    version: u64,
    era: u64,
    rows: Rows,
    copies: VecDeque<(Instant, u64, Rows)>,
}

/// How the calls to one address of the store are treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    Served,
    /// Answered with 503.
    Refused,
    /// The connection is closed.
    Closed,
    /// There is no answer.
    Silent,
    /// Half of the answers are lost. Writes without an answer are performed at once, seconds later
    /// or not at all.
    Lossy,
}

/// The store. Row values are kept in base64, as they are sent.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started_at: Instant,
    /// Whether calls get no answer at present.
    is_away: AtomicBool,
    access: Mutex<[Access; DOORS]>,
    /// How often all open connections have fallen silent for good.
    pub silences: AtomicU64,
    random: Mutex<Random>,
    record: Arc<Record>,
    pub addresses: Vec<SocketAddr>,
}

impl Store {
    /// Starts the store on free loopback ports.
    pub fn start(record: &Arc<Record>) -> Arc<Self> {
        let listeners = [(); DOORS].map(|()| TcpListener::bind("127.0.0.1:0").expect("a port"));
        let address = |listener: &TcpListener| listener.local_addr().expect("an address");
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            started_at: Instant::now(),
            is_away: AtomicBool::new(false),
            access: Mutex::new([Access::Served; DOORS]),
            silences: AtomicU64::new(0),
            random: Mutex::new(Random::new(11)),
            record: Arc::clone(record),
            addresses: listeners.iter().map(address).collect(),
        });
        for (door, listener) in listeners.into_iter().enumerate() {
            let accepting = Arc::clone(&store);
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let store = Arc::clone(&accepting);
                    thread::spawn(move || store.serve(door, Wire::new(stream)));
                }
            });
        }
        let copying = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(COPY_INTERVAL);
                let mut state = copying.state.lock().expect("rows");
                let copy = (Instant::now(), state.version, state.rows.clone());
                state.copies.push_back(copy);
                if state.copies.len() > COPIES_MAX {
                    state.copies.pop_front();
                }
            }
        });
        store
    }

    /// Writes a row, or removes it, as the operator or a target does.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut state = self.state.lock().expect("rows");
        state.version += 1;
        let row = (
            state.version,
            value.map(|value| to_base64(value.as_bytes())),
        );
        state.rows.insert((table.to_owned(), key.to_owned()), row);
        self.changed.notify_all();
    }

    /// Returns the value of a row.
    pub fn row(&self, table: &str, key: &str) -> Option<String> {
        let state = self.state.lock().expect("rows");
        let row = state.rows.get(&(table.to_owned(), key.to_owned()));
        row.and_then(|(_, value)| value.clone())
    }

    /// Makes the store answer or not.
    pub fn set_away(&self, is_away: bool) {
        self.is_away.store(is_away, Ordering::Relaxed);
        self.record.line(if is_away {
            "store: away"
        } else {
            "store: back"
        });
        self.changed.notify_all();
    }

    /// Treats the calls to one address differently from now on.
    pub fn set_access(&self, door: usize, access: Access) {
        self.access.lock().expect("the access")[door] = access;
        self.record
            .line(&format!("store: calls of daemon {door} are {access:?}"));
    }

    /// Goes back to a copy of this age, in the next era. Returns the age of the copy.
    pub fn restore(&self, age: Duration) -> Duration {
        let mut state = self.state.lock().expect("rows");
        let old = state
            .copies
            .iter()
            .filter(|(at, ..)| at.elapsed() >= age)
            .count();
        let index = old.saturating_sub(1);
        let (at, version, rows) = state.copies[index].clone();
        state.copies.truncate(index + 1);
        state.version = version;
        state.rows = rows;
        state.era += 1;
        self.record.line(&format!(
            "store: era {} from a copy that is {:?} old",
            state.era,
            at.elapsed()
        ));
        self.changed.notify_all();
        at.elapsed()
    }

    fn serve(self: Arc<Self>, door: usize, mut wire: Wire) {
        let silences = self.silences.load(Ordering::Relaxed);
        while let Ok(request) = wire.read(false) {
            if self.silences.load(Ordering::Relaxed) != silences {
                loop {
                    thread::park();
                }
            }
            let access = self.access.lock().expect("the access")[door];
            match access {
                Access::Refused => {
                    thread::sleep(ANSWER_TIME);
                    let era = self.state.lock().expect("rows").era.to_string();
                    let fields = [("Store-Era", era.as_str())];
                    if wire.write(&response(503, &fields, b"")).is_err() {
                        return;
                    }
                    continue;
                }
                Access::Closed => return,
                Access::Silent => {
                    thread::sleep(SILENT_TIME);
                    return;
                }
                Access::Lossy if self.random.lock().expect("random numbers").share() < 0.5 => {
                    self.lose(request);
                    thread::sleep(SILENT_TIME);
                    return;
                }
                Access::Lossy | Access::Served => {}
            }
            if self.is_away.load(Ordering::Relaxed) {
                // The call gets no answer, and the connection delivers nothing further.
                thread::sleep(SILENT_TIME);
                return;
            }
            thread::sleep(ANSWER_TIME);
            let (status, body, era) = self.answer(&request);
            if self.is_away.load(Ordering::Relaxed) {
                return;
            }
            let era = era.to_string();
            let fields = [
                ("Content-Type", "application/json"),
                ("Store-Era", era.as_str()),
            ];
            if wire
                .write(&response(status, &fields, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    /// Performs a write without an answer: now, later in the same era, or not at all.
    fn lose(self: &Arc<Self>, request: Message) {
        if !request.request_line().1.starts_with("/v1/rows-tx") {
            return;
        }
        let mut random = self.random.lock().expect("random numbers");
        let (share, wait) = (
            random.share(),
            Duration::from_millis(500 + random.below(4_500)),
        );
        drop(random);
        let store = Arc::clone(self);
        let era = self.state.lock().expect("rows").era;
        let perform = move || {
            if store.state.lock().expect("rows").era == era {
                let (status, ..) = store.write(&request.body);
                store
                    .record
                    .line(&format!("store: a write without an answer, {status}"));
            }
        };
        if share < 0.4 {
            perform();
        } else if share < 0.8 {
            thread::spawn(move || {
                thread::sleep(wait);
                perform();
            });
        }
    }

    fn answer(&self, request: &Message) -> (u16, String, u64) {
        let (_, target) = request.request_line();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            let found = fields.find(|(found, _)| *found == name);
            found.map(|(_, value)| value.replace("%00", "\0"))
        };
        match path {
            "/v1/rows-tx" => self.write(&request.body),
            "/v1/rows-get" => {
                let (table, from) = (
                    field("table").unwrap_or_default(),
                    field("from").unwrap_or_default(),
                );
                let to = field("target");
                let limit = field("limit")
                    .and_then(|limit| limit.parse().ok())
                    .unwrap_or(500);
                let state = self.state.lock().expect("rows");
                let is_in_range =
                    |key: &str| key >= from.as_str() && to.as_deref().is_none_or(|to| key < to);
                (
                    200,
                    self.page(&state, &table, 0, limit, is_in_range),
                    state.era,
                )
            }
            "/v1/rows-feed" => {
                let number = |name: &str| {
                    field(name)
                        .and_then(|number| number.parse().ok())
                        .unwrap_or(0)
                };
                self.feed(
                    &field("table").unwrap_or_default(),
                    number("after"),
                    number("wait_ms"),
                )
            }
            _ => (404, "{}".to_owned(), self.state.lock().expect("rows").era),
        }
    }

    fn feed(&self, table: &str, after: u64, wait_ms: u64) -> (u16, String, u64) {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().expect("rows");
        loop {
            if after > state.version {
                return (410, "{}".to_owned(), state.era);
            }
            let mut rows = state.rows.iter();
            let has_changed = rows.any(|((of, _), (version, _))| of == table && *version > after);
            let left = end.saturating_duration_since(Instant::now());
            if has_changed || left.is_zero() || self.is_away.load(Ordering::Relaxed) {
                return (
                    200,
                    self.page(&state, table, after, usize::MAX, |_| true),
                    state.era,
                );
            }
            state = self.changed.wait_timeout(state, left).expect("rows").0;
        }
    }

    fn write(&self, body: &[u8]) -> (u16, String, u64) {
        let Some(call) = Json::parse(&String::from_utf8_lossy(body)) else {
            return (400, "{}".to_owned(), self.state.lock().expect("rows").era);
        };
        let key = |row: &Json| {
            let text = |name: &str| row.text(name).unwrap_or_default().to_owned();
            (text("table"), text("key"))
        };
        let mut state = self.state.lock().expect("rows");
        let holds = call.list("expected_rev").iter().all(|row| {
            let found = state
                .rows
                .get(&key(row))
                .filter(|(_, value)| value.is_some());
            row.number("ver") == Some(found.map_or(0, |(version, _)| *version) as f64)
        });
        if !holds {
            return (412, "{\"rows\":[]}".to_owned(), state.era);
        }
        state.version += 1;
        let version = state.version;
        for row in call.list("writes") {
            let value = row.text("value").map(str::to_owned);
            state.rows.insert(key(row), (version, value));
        }
        for row in call.list("remove") {
            state.rows.insert(key(row), (version, None));
        }
        self.changed.notify_all();
        let body = format!("{{\"ver\":{version},\"now_s\":{}}}", self.now_s());
        (200, body, state.era)
    }

    fn now_s(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Returns the rows of a table after a version. Removed rows are in it if a version is given.
    fn page(
        &self,
        state: &State,
        table: &str,
        after: u64,
        limit: usize,
        is_in_range: impl Fn(&str) -> bool,
    ) -> String {
        let rows = state.rows.iter().filter(|((of, key), (version, value))| {
            of == table && is_in_range(key) && *version > after && (after > 0 || value.is_some())
        });
        let mut rows: Vec<_> = rows.collect();
        if after > 0 {
            rows.sort_by_key(|(_, (version, _))| *version);
        }
        let rows = rows.iter().map(|((_, key), (version, value))| {
            let value = value.as_ref().map_or("null".to_owned(), |value| quote(value));
            let deleted = if value == "null" { ",\"deleted\":true" } else { "" };
            format!(
                "{{\"table\":{},\"part\":\"\",\"key\":{},\"value\":{value},\"ver\":{version}{deleted}}}",
                quote(table),
                quote(key)
            )
        });
        // A read returns at most so many rows and bytes, and at least one row. What has changed is
        // returned whole, because the answer names the newest version.
        let max_bytes = if limit == usize::MAX {
            limit
        } else {
            PAGE_MAX_BYTES
        };
        let mut bytes = 0;
        let all: Vec<String> = rows.collect();
        let fitting = all.iter().take(limit).take_while(|row| {
            bytes += row.len();
            bytes <= max_bytes
        });
        let count = fitting.count().max(1).min(all.len());
        let has_more = count < all.len();
        let rows: Vec<String> = all.into_iter().take(count).collect();
        format!(
            "{{\"rows\":[{}],\"has_more\":{has_more},\"ver\":{},\"now_s\":{}}}",
            rows.join(","),
            state.version,
            self.now_s()
        )
    }
}
