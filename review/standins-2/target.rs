//! A stand-in for a target: runs requests and holds keys.

use crate::http::{Message, listen, response, serve};
use crate::json::Json;
use crate::record::{Record, unix_ms};
use crate::store::Store;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const KEYS: usize = 1 << 16;

pub struct Keys {
    /// The highest token that was seen on each key.
    fence: Vec<u64>,
    /// Until when each key is held, on the clock of the record.
    until_ms: Vec<u64>,
    /// The requests at work on each key.
    pub running: Vec<u32>,
}

impl Keys {
    pub fn holds(&self, key: usize, now_ms: u64) -> bool {
        self.until_ms[key] > now_ms
    }
}

pub struct Target {
    pub name: String,
    pub service: String,
    pub address: SocketAddr,
    pub born: u64,
    pub keys: Mutex<Keys>,
    pub work: Duration,
    is_keyed: bool,
    record: Record,
    /// The ids of the requests that this target has run to their end.
    pub ended: Mutex<Vec<String>>,
}

impl Target {
    pub fn start(name: &str, service: &str, is_keyed: bool, work_ms: u64, record: &Record) -> Arc<Self> {
        let (listener, address) = listen();
        let target = Arc::new(Self {
            name: name.into(),
            service: service.into(),
            address,
            born: unix_ms(),
            keys: Mutex::new(Keys { fence: vec![0; KEYS], until_ms: vec![0; KEYS], running: vec![0; KEYS] }),
            work: Duration::from_millis(work_ms),
            is_keyed,
            record: record.clone(),
            ended: Mutex::new(Vec::new()),
        });
        let served = Arc::clone(&target);
        serve(listener, move |request| served.answer(request));
        target
    }

    /// Returns the entry of the target in the table of servers.
    pub fn entry(&self, state: &str) -> String {
        entry(&self.service, self.address, self.born, state)
    }

    pub fn register(&self, store: &Store, state: &str) {
        self.record.line(&format!("{} registers as {state} at {}", self.name, self.address));
        store.put("servers", &self.name, Some(&self.entry(state)));
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        match request.target() {
            "/health" => return response(200, &[("X-Balsamswitch-Instance-Id", &self.name)], b""),
            "/v1/grant" => return self.grant(&request.body),
            "/v1/release" => return self.release(&request.body),
            _ => {}
        }
        let id = request.field("X-Balsamswitch-Attempt-Id").unwrap_or("");
        let refuse = |status| {
            let fields = [
                ("X-Balsamswitch-Attempt-Id", id),
                ("X-Balsamswitch-Not-Executed", "1"),
                ("X-Balsamswitch-Instance-Id", self.name.as_str()),
            ];
            response(status, &fields, b"")
        };
        if request.field("X-Balsamswitch-Expect-Instance").is_some_and(|name| name != self.name) {
            self.record.line(&format!("{} gets {id} for another target: 421", self.name));
            return refuse(421);
        }
        let key = request.field("X-Balsamswitch-Shard-Key").and_then(|text| text.parse::<usize>().ok());
        if let (true, Some(key)) = (self.is_keyed, key) {
            let now_ms = self.record.now_ms();
            let mut keys = self.keys.lock().expect("the keys");
            if !keys.holds(key, now_ms) {
                drop(keys);
                self.record.line(&format!("{} gets {id}, does not hold key {key}: 421", self.name));
                return refuse(421);
            }
            keys.running[key] += 1;
            drop(keys);
            self.record.line(&format!("{} begins {id} on key {key}", self.name));
            thread::sleep(self.work);
            self.keys.lock().expect("the keys").running[key] -= 1;
            self.record.line(&format!("{} ends {id} on key {key}", self.name));
        } else {
            self.record.line(&format!("{} begins {id}", self.name));
            thread::sleep(self.work);
            self.record.line(&format!("{} ends {id}", self.name));
        }
        self.ended.lock().expect("the list").push(id.to_owned());
        let fields = [("X-Balsamswitch-Attempt-Id", id), ("X-Balsamswitch-Response-Signature", "s.1")];
        response(200, &fields, format!("{} {id}", self.name).as_bytes())
    }

    fn grant(&self, body: &[u8]) -> Vec<u8> {
        let Some((from, to, fence, call)) = order(body) else {
            return response(400, &[], b"");
        };
        let hold_ms = (call.number("hold_s").unwrap_or(0.0) * 1_000.0) as u64;
        let now_ms = self.record.now_ms();
        let mut keys = self.keys.lock().expect("the keys");
        let is_refused = keys.fence[from..=to].iter().any(|seen| *seen > fence);
        let status = if is_refused { 409 } else { 200 };
        if !is_refused {
            for key in from..=to {
                keys.fence[key] = fence;
                keys.until_ms[key] = now_ms + hold_ms;
            }
        }
        drop(keys);
        self.record.line(&format!("{} grant {from}-{to} token {fence} for {hold_ms} ms: {status}", self.name));
        response(status, &[], b"")
    }

    fn release(&self, body: &[u8]) -> Vec<u8> {
        let Some((from, to, fence, _)) = order(body) else {
            return response(400, &[], b"");
        };
        self.record.line(&format!("{} release {from}-{to} token {fence}", self.name));
        let now_ms = self.record.now_ms();
        let mut keys = self.keys.lock().expect("the keys");
        for key in from..=to {
            if keys.fence[key] <= fence {
                keys.fence[key] = fence;
                keys.until_ms[key] = keys.until_ms[key].min(now_ms);
            }
        }
        while keys.running[from..=to].iter().any(|running| *running > 0) {
            drop(keys);
            thread::sleep(Duration::from_millis(2));
            keys = self.keys.lock().expect("the keys");
        }
        drop(keys);
        self.record.line(&format!("{} release {from}-{to} token {fence} done", self.name));
        response(200, &[("X-Balsamswitch-Handover", "5c0e7a21d94b36f8")], b"")
    }
}

pub fn entry(service: &str, address: SocketAddr, born: u64, state: &str) -> String {
    format!(
        "{{\"address\":\"{address}\",\"born\":{born},\"info\":{{\"service\":\"{service}\",\
         \"config_version\":\"v1\",\"zone\":\"osrednja-a\",\"slots\":3}},\
         \"status\":{{\"state\":\"{state}\",\"seq\":1,\"warmup_left_s\":0}}}}"
    )
}

fn order(body: &[u8]) -> Option<(usize, usize, u64, Json)> {
    let call = Json::parse(body)?;
    let (from, to) = (call.number("from")? as usize, call.number("target")? as usize);
    let fence = call.number("fence")? as u64;
    (from <= to && to < KEYS).then_some((from, to, fence, call))
}

/// How long two targets have held the same key without a break, at most.
#[derive(Default)]
pub struct Overlap {
    since_ms: Vec<Option<u64>>,
    pub longest_ms: u64,
    pub longest_key: usize,
    /// The number of keys that two targets held at the same time for over half a second.
    pub keys: usize,
    is_counted: Vec<bool>,
}

impl Overlap {
    pub fn new() -> Self {
        Self { since_ms: vec![None; KEYS], is_counted: vec![false; KEYS], ..Self::default() }
    }

    /// Looks at all keys once. A target holds a key while its grant lasts.
    pub fn look(&mut self, targets: &[Arc<Target>], record: &Record) {
        let held: Vec<_> = targets.iter().map(|target| target.keys.lock().expect("the keys")).collect();
        let now_ms = record.now_ms();
        for key in 0..KEYS {
            let holders = held.iter().filter(|keys| keys.holds(key, now_ms)).count();
            if holders < 2 {
                self.since_ms[key] = None;
                continue;
            }
            let since_ms = *self.since_ms[key].get_or_insert(now_ms);
            let lasted_ms = now_ms - since_ms;
            if lasted_ms > self.longest_ms {
                (self.longest_ms, self.longest_key) = (lasted_ms, key);
            }
            if lasted_ms > 500 && !self.is_counted[key] {
                self.is_counted[key] = true;
                self.keys += 1;
                if self.keys <= 5 {
                    let names = targets.iter().zip(&held).filter(|(_, keys)| keys.holds(key, now_ms));
                    let names: Vec<&str> = names.map(|(target, _)| target.name.as_str()).collect();
                    record.line(&format!("JUDGE key {key} is held by {} since {since_ms} ms", names.join(" and ")));
                }
            }
        }
    }
}
