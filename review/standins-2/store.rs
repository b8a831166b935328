//! A stand-in for the platform's store.

use crate::http::{listen, response, serve};
use crate::json::{Json, base64};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

type Key = (String, String, String);

/// How the store treats the calls of one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    Served,
    /// Calls are turned away with 503, and nothing is done.
    TurnedAway,
}

#[derive(Clone)]
struct State {
    version: u64,
    /// The version and the base64 value of each row, `None` once it was removed.
    rows: BTreeMap<Key, (u64, Option<String>)>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    /// The era, and the access of each daemon by the number of its address.
    access: Mutex<(u32, Vec<Access>)>,
    /// The daemon that last wrote the table of the daemons.
    last_writer: Mutex<Option<usize>>,
    started_at: Instant,
}

/// A copy of the store.
pub struct Copy(State);

#[derive(Clone)]
pub struct Store(Arc<Shared>);

impl Store {
    pub fn start() -> Self {
        let state = Mutex::new(State { version: 0, rows: BTreeMap::new() });
        Self(Arc::new(Shared {
            state,
            changed: Condvar::new(),
            access: Mutex::new((0, Vec::new())),
            last_writer: Mutex::new(None),
            started_at: Instant::now(),
        }))
    }

    /// Opens an address for one daemon, so that the store can turn away single daemons.
    pub fn open(&self) -> SocketAddr {
        let (listener, address) = listen();
        let mut access = self.0.access.lock().expect("the access");
        let daemon = access.1.len();
        access.1.push(Access::Served);
        drop(access);
        let served = self.clone();
        serve(listener, move |request| {
            let (status, body) = served.answer(daemon, request.target(), &request.body);
            let era = served.0.access.lock().expect("the access").0.to_string();
            let fields = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
            response(status, &fields, body.as_bytes())
        });
        address
    }

    pub fn set_access(&self, daemon: usize, access: Access) {
        self.0.access.lock().expect("the access").1[daemon] = access;
        self.0.changed.notify_all();
    }

    fn is_turned_away(&self, daemon: usize) -> bool {
        self.0.access.lock().expect("the access").1[daemon] == Access::TurnedAway
    }

    /// Returns the daemon that last wrote to the table of the daemons.
    pub fn last_writer(&self) -> Option<usize> {
        *self.0.last_writer.lock().expect("the writer")
    }

    pub fn copy(&self) -> Copy {
        Copy(self.0.state.lock().expect("the state").clone())
    }

    /// Goes back to a copy, in the next era.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.0.state.lock().expect("the state");
        *state = copy.0;
        self.0.access.lock().expect("the access").0 += 1;
        self.0.changed.notify_all();
    }

    /// Writes a row as the operator or a target would, or removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut state = self.0.state.lock().expect("the state");
        state.version += 1;
        let row = (state.version, value.map(|value| base64(value.as_bytes())));
        state.rows.insert((table.into(), String::new(), key.into()), row);
        self.0.changed.notify_all();
    }

    fn answer(&self, daemon: usize, target: &str, body: &[u8]) -> (u16, String) {
        if self.is_turned_away(daemon) {
            return (503, "{}".into());
        }
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(found, _)| *found == name).map(|(_, value)| value.replace("%00", "\0"))
        };
        match path {
            "/v1/rows-tx" => {
                let written = self.write(body);
                if written.0 == 200 {
                    *self.0.last_writer.lock().expect("the writer") = Some(daemon);
                }
                written
            }
            "/v1/rows-get" => {
                let (table, part) = (field("table").unwrap_or_default(), field("part").unwrap_or_default());
                let (from, to) = (field("from").unwrap_or_default(), field("target"));
                let state = self.0.state.lock().expect("the state");
                let rows = state.rows.iter().filter(|((found, within, key), (_, value))| {
                    *found == table && *within == part && *key >= from
                        && to.as_ref().is_none_or(|to| key < to) && value.is_some()
                });
                (200, self.page(rows, state.version))
            }
            "/v1/rows-feed" => {
                let table = field("table").unwrap_or_default();
                let after: u64 = field("after").and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait_ms = field("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait_ms);
                let mut state = self.0.state.lock().expect("the state");
                if after > state.version {
                    return (410, "{}".into());
                }
                loop {
                    if self.is_turned_away(daemon) {
                        return (503, "{}".into());
                    }
                    let is_news = |(key, row): &(&Key, &(u64, Option<String>))| key.0 == table && row.0 > after;
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() || state.rows.iter().any(|row| is_news(&row)) {
                        let mut news: Vec<_> = state.rows.iter().filter(is_news).collect();
                        news.sort_by_key(|(_, row)| row.0);
                        return (200, self.page(news.into_iter(), state.version));
                    }
                    state = self.0.changed.wait_timeout(state, left).expect("the state").0;
                }
            }
            _ => (404, "{}".into()),
        }
    }

    fn page<'a>(&self, rows: impl Iterator<Item = (&'a Key, &'a (u64, Option<String>))>, version: u64) -> String {
        let rows: Vec<String> = rows
            .map(|((table, part, key), (version, value))| {
                let value = match value {
                    Some(value) => format!("\"value\":\"{value}\""),
                    None => "\"deleted\":true".into(),
                };
                format!("{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",{value},\"ver\":{version}}}")
            })
            .collect();
        let now_s = self.0.started_at.elapsed().as_secs_f64();
        format!("{{\"rows\":[{}],\"has_more\":false,\"ver\":{version},\"now_s\":{now_s:.3}}}", rows.join(","))
    }

    fn write(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = Json::parse(body) else {
            return (400, "{}".into());
        };
        let key = |entry: &Json| -> Key {
            let text = |name| entry.text(name).unwrap_or("").to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut state = self.0.state.lock().expect("the state");
        for entry in call.list("expected_rev") {
            let found = state.rows.get(&key(entry)).filter(|row| row.1.is_some()).map_or(0, |row| row.0);
            if Some(found as f64) != entry.number("ver") {
                let expected: Vec<Key> = call.list("expected_rev").iter().map(key).collect();
                let rows = state.rows.iter().filter(|(key, row)| expected.contains(key) && row.1.is_some());
                return (412, self.page(rows, state.version));
            }
        }
        state.version += 1;
        let version = state.version;
        for entry in call.list("writes") {
            let value = entry.text("value").unwrap_or("").to_owned();
            state.rows.insert(key(entry), (version, Some(value)));
        }
        for entry in call.list("remove") {
            state.rows.insert(key(entry), (version, None));
        }
        self.0.changed.notify_all();
        (200, format!("{{\"ver\":{version},\"now_s\":{:.3}}}", self.0.started_at.elapsed().as_secs_f64()))
    }
}
