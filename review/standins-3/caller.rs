//! Callers that keep a connection to a daemon and send one request after the other.

use crate::http::Wire;
use crate::record::{Random, Record};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Time limit for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What the callers send, and what became of it.
pub struct Load {
    pub host: String,
    pub path: String,
    pub method: &'static str,
    /// How long a caller waits for its answer.
    pub deadline: Duration,
    pub per_s: f64,
    pub callers: usize,
    pub is_over: AtomicBool,
    pub sent: AtomicU64,
    pub served: AtomicU64,
    /// Answers 4xx, other than 408, 421 and 429, without a target's signature.
    pub unsigned: AtomicU64,
}

impl Load {
    /// Returns how many requests were sent, and how many were served.
    pub fn counts(&self) -> (u64, u64) {
        (
            self.sent.load(Ordering::Relaxed),
            self.served.load(Ordering::Relaxed),
        )
    }
}

/// Starts the callers, which share the daemons evenly.
pub fn start(
    load: &Arc<Load>,
    daemons: &[SocketAddr],
    record: &Arc<Record>,
) -> Vec<JoinHandle<()>> {
    let callers = 0..load.callers;
    let started = callers.map(|number| {
        let (load, record) = (Arc::clone(load), Arc::clone(record));
        let daemons = daemons.to_vec();
        thread::spawn(move || call(number, &load, &daemons, &record))
    });
    started.collect()
}

fn call(number: usize, load: &Load, daemons: &[SocketAddr], record: &Record) {
    let mut random = Random::new(number as u64 + 1_000);
    let pause_ms = load.callers as f64 * 1_000.0 / load.per_s;
    let mut wire: Option<Wire> = None;
    let mut place = number;
    let mut count = 0;
    let mut next = Instant::now() + Duration::from_millis((random.share() * pause_ms) as u64);
    while !load.is_over.load(Ordering::Relaxed) {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        next = Instant::now().max(next)
            + Duration::from_millis((pause_ms * (0.5 + random.share())) as u64);
        count += 1;
        let id = format!("c{number:03}n{count:05}");
        let key = random.below(65_536);
        let address = daemons[place % daemons.len()];
        let opened = wire.take().or_else(|| {
            TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)
                .ok()
                .map(Wire::new)
        });
        load.sent.fetch_add(1, Ordering::Relaxed);
        let Some(mut open) = opened else {
            record.line(&format!("caller gets no connection for {id}, key {key}"));
            place += 1;
            continue;
        };
        let body = if load.method == "POST" {
            "Content-Length: 8\r\n\r\nan order"
        } else {
            "\r\n"
        };
        let request = format!(
            "{} {}{key} HTTP/1.1\r\nHost: {}\r\nX-Balsamswitch-Attempt-Id: {id}\r\nX-Balsamswitch-Deadline-Ms: {}\r\nX-Balsamswitch-Shard-Key: {key}\r\n{body}",
            load.method,
            load.path,
            load.host,
            load.deadline.as_millis()
        );
        open.set_read_timeout(load.deadline);
        let answer = open
            .write(request.as_bytes())
            .and_then(|()| open.read(true));
        match answer {
            Ok(answer) => {
                let status = answer.status();
                record.line(&format!("caller gets {status} for {id}, key {key}"));
                let is_signed = answer.field("x-balsamswitch-response-signature").is_some();
                if (400..500).contains(&status) && ![408, 421, 429].contains(&status) && !is_signed
                {
                    load.unsigned.fetch_add(1, Ordering::Relaxed);
                }
                if status == 200 {
                    load.served.fetch_add(1, Ordering::Relaxed);
                    if answer.body != format!("body of {id}").as_bytes() {
                        record.violation(&format!(
                            "MIXED: {id} gets the body {:?}",
                            String::from_utf8_lossy(&answer.body)
                        ));
                    }
                }
                let is_closed = answer
                    .field("connection")
                    .is_some_and(|value| value.eq_ignore_ascii_case("close"));
                if is_closed {
                    place += 1;
                } else {
                    wire = Some(open);
                }
            }
            Err(error) => {
                record.line(&format!(
                    "caller gets no answer for {id}, key {key}: {error}"
                ));
                place += 1;
            }
        }
    }
}
