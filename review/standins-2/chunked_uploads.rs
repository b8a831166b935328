//! LOST: callers send long bodies in chunks, each within `max_body_bytes`. The daemon exceeds the memory
//! of its machine and is killed, with orders of other callers at work.

use crate::daemon::{Caller, Daemon};
use crate::store::Store;
use crate::target::Target;
use crate::{Context, Verdict};
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CONFIG: &str = r#"{"config_version":"00000007","routes":{
"r-order":{"hostname":"jepu9.example","prefix":"/xapu221/","route_type":"non_idempotent","timeout_s":8,"aim_s":4,"priority":0,"service":"wuno96b","max_attempts":2}},
"services":{"wuno96b":{"health_check":"/health","max_conns":120,"protocol":"h1","tls":false}},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},"base_version":"00000000"}"#;

/// The memory of the machine, in the larger reading of a megabyte.
const MEMORY_KB: u64 = 260 * 1_024;
const UPLOADERS: usize = 6;
const BODY_BYTES: usize = 36_000_000;
/// All uploads together stay below the link of the machine, 125 MB/s.
const BYTES_PER_S: usize = 20_000_000;
const CHUNK_BYTES: usize = 64 << 10;
const CALLERS: usize = 12;
const PLAY: Duration = Duration::from_secs(25);

/// The most that the rule allows.
const LOST_MAX: usize = 3;

pub fn play(context: &Context) -> Verdict {
    let record = &context.record;
    let store = Store::start();
    store.put("op", "config", Some(CONFIG));
    let targets: Vec<_> = (1..=8)
        .map(|number| Target::start(&format!("i-7f3a91c{number}"), "wuno96b", false, 300, record))
        .collect();
    for target in &targets {
        target.register(&store, "ready");
    }
    let mut daemon = Daemon::start(&context.folder, "edge-osrednja-a-1", store.open());
    if !daemon.wait_ready(Duration::from_secs(10)) {
        return Verdict::NotRun("the daemon was not ready within 10 s".into());
    }
    let address = daemon.callers;
    let is_done = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicU64::new(0));
    let unanswered: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut threads = Vec::new();
    for number in 0..CALLERS {
        let (is_done, answered, unanswered) = (Arc::clone(&is_done), Arc::clone(&answered), Arc::clone(&unanswered));
        let mut caller = Caller::new(address, record);
        threads.push(thread::spawn(move || {
            for round in 0.. {
                if is_done.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("order-{number}-{round}");
                match caller.request_within(2_000, "POST", "/xapu221/2f", &id, None) {
                    Some(_) => drop(answered.fetch_add(1, Ordering::Relaxed)),
                    None => unanswered.lock().expect("the list").push(id),
                }
            }
        }));
    }
    thread::sleep(Duration::from_secs(2));
    let way = if context.has_trouble { "in chunks" } else { "with a length" };
    record.line(&format!("{UPLOADERS} callers send bodies of {BODY_BYTES} bytes {way}"));
    let uploaded = Arc::new(AtomicU64::new(0));
    for number in 0..UPLOADERS {
        let (is_done, uploaded) = (Arc::clone(&is_done), Arc::clone(&uploaded));
        let (record, is_chunked) = (record.clone(), context.has_trouble);
        threads.push(thread::spawn(move || {
            for round in 0.. {
                if is_done.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("upload-{number}-{round}");
                let status = upload(address, &id, is_chunked);
                if status == Some(200) {
                    uploaded.fetch_add(1, Ordering::Relaxed);
                }
                record.line(&format!("caller sent {id}, answer {status:?}"));
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    let end = Instant::now() + PLAY;
    let mut most_kb = 0;
    let mut is_killed = false;
    while Instant::now() < end && !is_killed {
        let memory_kb = daemon.memory_kb();
        most_kb = most_kb.max(memory_kb);
        if memory_kb > MEMORY_KB {
            record.line(&format!("the daemon has {memory_kb} kB, more than {MEMORY_KB} kB: the platform kills it"));
            daemon.kill();
            is_killed = true;
        }
        thread::sleep(Duration::from_millis(2));
    }
    is_done.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    // A run whose connection was closed still ends at the target.
    thread::sleep(Duration::from_secs(1));
    let run: BTreeSet<String> =
        targets.iter().flat_map(|target| target.ended.lock().expect("the list").clone()).collect();
    let unanswered = unanswered.lock().expect("the list");
    let lost: Vec<&str> = unanswered.iter().filter(|id| run.contains(*id)).map(String::as_str).collect();
    record.line(&format!("passed on and ended without an answer: {}", lost.join(" ")));
    let text = format!(
        "the daemon had {most_kb} kB of {MEMORY_KB} kB{}; {} orders were passed on and cut without an answer, {} were \
         answered, {} uploads were answered with 200",
        if is_killed { " and was killed" } else { "" },
        lost.len(),
        answered.load(Ordering::Relaxed),
        uploaded.load(Ordering::Relaxed)
    );
    if is_killed && lost.len() > LOST_MAX {
        Verdict::Broken(text)
    } else if answered.load(Ordering::Relaxed) == 0 || !is_killed && uploaded.load(Ordering::Relaxed) == 0 {
        Verdict::NotRun(text)
    } else {
        Verdict::Held(text)
    }
}

/// Sends one upload at its share of the link and returns the status of the answer.
fn upload(address: SocketAddr, id: &str, is_chunked: bool) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(8))).ok()?;
    stream.set_write_timeout(Some(Duration::from_secs(8))).ok()?;
    let framing = if is_chunked { "Transfer-Encoding: chunked".into() } else { format!("Content-Length: {BODY_BYTES}") };
    let head = format!(
        "POST /xapu221/2f HTTP/1.1\r\nHost: jepu9.example\r\nX-Balsamswitch-Attempt-Id: {id}\r\n\
         X-Balsamswitch-Deadline-Ms: 8000\r\nConnection: close\r\n{framing}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let data = vec![7; CHUNK_BYTES];
    let begun_at = Instant::now();
    let mut sent = 0;
    while sent < BODY_BYTES {
        let length = CHUNK_BYTES.min(BODY_BYTES - sent);
        let mut piece = Vec::with_capacity(length + 16);
        if is_chunked {
            piece.extend_from_slice(format!("{length:x}\r\n").as_bytes());
        }
        piece.extend_from_slice(&data[..length]);
        if is_chunked {
            piece.extend_from_slice(b"\r\n");
        }
        if stream.write_all(&piece).is_err() {
            break;
        }
        sent += length;
        let due = Duration::from_secs_f64(sent as f64 / BYTES_PER_S as f64);
        thread::sleep(due.saturating_sub(begun_at.elapsed()));
    }
    if is_chunked && sent == BODY_BYTES {
        let _ = stream.write_all(b"0\r\n\r\n");
    }
    let mut answer = [0; 64];
    let length = stream.read(&mut answer).ok()?;
    String::from_utf8_lossy(&answer[..length]).split(' ').nth(1)?.parse().ok()
}
