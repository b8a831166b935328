//! Daemons as processes, with settings like those of a small deployment.

use crate::http::{Connection, Message};
use crate::record::Record;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{self, Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// The processes that were started and not waited for yet.
static CHILDREN: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends the whole play, with all daemons, after a time that no case reaches.
pub fn limit_play(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        println!("NOT RUN: the case took longer than {} s", limit.as_secs());
        for child in CHILDREN.lock().expect("the list").iter() {
            // SAFETY: the call has no preconditions, and the process was not waited for.
            unsafe { kill(*child, 9) };
        }
        process::exit(2);
    });
}

pub struct Daemon {
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: String,
    path: PathBuf,
    child: Child,
}

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// The numbers of the signals that the platform sends.
#[derive(Clone, Copy)]
pub enum Signal {
    Hangup = 1,
    Terminate = 15,
}

fn free_port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

impl Daemon {
    pub fn start(folder: &Path, name: &str, store: SocketAddr) -> Self {
        Self::start_with_grace(folder, name, store, 6)
    }

    pub fn start_with_grace(folder: &Path, name: &str, store: SocketAddr, grace_s: u32) -> Self {
        let (callers, readiness, metrics) = (free_port(), free_port(), free_port());
        let peers = UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a port");
        let settings = format!(
            "{{\"daemon\":\"{name}\",\"zone\":\"osrednja-a\",\"listen\":{{\"callers\":\"{callers}\",\
             \"readiness\":\"{readiness}\",\"peers\":\"{peers}\",\"metrics\":\"{metrics}\"}},\
             \"machine\":{{\"cpu_share\":0.2,\"cpu_speed\":1,\"link_mbps\":1000.0,\"memory_mb\":260}},\
             \"peer_credential\":\"balsamswitch-peers\",\"operator_credential\":\"balsamswitch-operators\",\
             \"store\":\"{store}\",\"row_max_bytes\":65536,\"bounds\":{{\"grace_s\":{grace_s},\
             \"retry_budget_ratio\":0.2,\"budget_window_s\":10,\"budget_slack\":60,\"hold_max_s\":10,\
             \"drain_s\":2,\"propagation_s\":2}},\"first_start\":true,\"log_level\":\"info\"}}"
        );
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, &settings).expect("the settings");
        let log = File::create(folder.join(format!("{name}.log"))).expect("a log");
        let child = Command::new("target/release/balsam-edge")
            .env_clear()
            .env("BALSAMSWITCH_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("a daemon");
        CHILDREN.lock().expect("the list").push(child.id() as i32);
        Self { callers, readiness, settings, path, child }
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Ok(mut connection) = Connection::open(self.readiness, Duration::from_millis(500)) {
                let _ = connection.stream.set_read_timeout(Some(Duration::from_millis(500)));
                let is_sent = connection.write(b"GET /v1/ready HTTP/1.1\r\nHost: d\r\n\r\n");
                if is_sent && connection.read().is_some_and(|answer| answer.status() == 200) {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Replaces the settings file by one with another grace time, as the platform does.
    pub fn change_grace(&self, from_s: u32, to_s: u32) {
        let changed = self.settings.replace(&format!("\"grace_s\":{from_s},"), &format!("\"grace_s\":{to_s},"));
        let new = self.path.with_extension("new");
        fs::write(&new, changed).and_then(|()| fs::rename(&new, &self.path)).expect("the settings");
    }

    pub fn signal(&self, signal: Signal) {
        // SAFETY: the call has no preconditions, and the process is a child that was not waited for.
        unsafe { kill(self.child.id() as i32, signal as i32) };
    }

    /// Returns the resident memory of the process.
    pub fn memory_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        line.and_then(|line| line.split_whitespace().nth(1)).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let mut children = CHILDREN.lock().expect("the list");
        children.retain(|child| *child != self.child.id() as i32);
        let _ = self.child.wait();
    }
}

/// A caller with one kept connection to a daemon.
pub struct Caller {
    address: SocketAddr,
    connection: Option<Connection>,
    record: Record,
}

impl Caller {
    pub fn new(address: SocketAddr, record: &Record) -> Self {
        Self { address, connection: None, record: record.clone() }
    }

    pub fn connect(&mut self) {
        self.connection = Connection::open(self.address, Duration::from_secs(1)).ok();
    }

    /// Sends a request and returns its answer, or `None` if there was none within the deadline.
    pub fn request(&mut self, method: &str, path: &str, id: &str, key: Option<usize>) -> Option<Message> {
        self.request_within(1_500, method, path, id, key)
    }

    pub fn request_within(
        &mut self,
        deadline_ms: u64,
        method: &str,
        path: &str,
        id: &str,
        key: Option<usize>,
    ) -> Option<Message> {
        let limit = Duration::from_millis(deadline_ms);
        if self.connection.is_none() {
            self.connect();
        }
        let connection = self.connection.as_mut()?;
        let _ = connection.stream.set_read_timeout(Some(limit));
        let key = key.map_or(String::new(), |key| format!("X-Balsamswitch-Shard-Key: {key}\r\n"));
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: jepu9.example\r\nX-Balsamswitch-Attempt-Id: {id}\r\n\
             X-Balsamswitch-Deadline-Ms: {deadline_ms}\r\n{key}Content-Length: 0\r\n\r\n"
        );
        let answer = if connection.write(request.as_bytes()) { connection.read() } else { None };
        let closes = answer.as_ref().is_none_or(|answer| answer.field("connection").is_some_and(|text| text == "close"));
        if closes {
            self.connection = None;
        }
        match &answer {
            Some(answer) => self.record.line(&format!("caller sent {id} to {}, answer {}", self.address, answer.status())),
            None => self.record.line(&format!("caller sent {id} to {}, no answer", self.address)),
        }
        answer
    }
}
