//! The project's daemons, as processes with settings like those of a small deployment.

use crate::record::Record;
use std::fs::File;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Wire;
use std::net::TcpStream;

/// The program of the deploy file.
const PROGRAM: &str = "target/release/balsam-edge";

/// The ports on which daemons listen.
const PORTS_FIRST: u32 = 12_000;
const PORTS_COUNT: u32 = 18_000;

/// Distance between the first ports of two scripts, larger than what a script needs.
const PORTS_STEP: u32 = 16;

/// A daemon. Its process ends with it.
pub struct Daemon {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    output: PathBuf,
    child: Child,
    /// The id of the process while it runs.
    process: Arc<AtomicU32>,
    record: Arc<Record>,
}

/// Returns an address whose port is free. It lies below the ports that the system gives to outgoing
/// connections, one of which could take it before the daemon listens.
fn free_address() -> SocketAddr {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    // Scripts that run beside each other look for ports at different places.
    let first = std::process::id() % PORTS_COUNT;
    loop {
        let taken = TAKEN.fetch_add(1, Ordering::Relaxed);
        let port = PORTS_FIRST + (first * PORTS_STEP + taken) % PORTS_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Daemon {
    /// Starts a daemon that keeps its files in `folder`.
    pub fn start(folder: &Path, name: &str, store: SocketAddr, record: &Arc<Record>) -> Self {
        let [callers, readiness, peers, metrics] = [(); 4].map(|()| free_address());
        let text = |is_first: bool| {
            format!(
                "{{\"daemon\":\"{name}\",\"zone\":\"a\",\"listen\":{{\"callers\":\"{callers}\",\"readiness\":\"{readiness}\",\"peers\":\"{peers}\",\"metrics\":\"{metrics}\"}},\
                \"machine\":{{\"cpu_share\":0.2,\"cpu_speed\":1,\"link_mbps\":1000.0,\"memory_mb\":260}},\
                \"peer_credential\":\"balsamswitch-peers\",\"operator_credential\":\"balsamswitch-operators\",\
                \"store\":\"{store}\",\"row_max_bytes\":65536,\
                \"bounds\":{{\"grace_s\":6,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\"budget_slack\":60,\"hold_max_s\":10,\"drain_s\":2,\"propagation_s\":2}},\
                \"first_start\":{is_first},\"log_level\":\"info\"}}"
            )
        };
        let settings = folder.join(format!("{name}.json"));
        let output = folder.join(format!("{name}.log"));
        std::fs::write(&settings, text(true)).expect("a settings file");
        let child = spawn(&settings, &output);
        // Only the first start of the whole system is one.
        let later = (settings.clone(), text(false));
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(3));
            let _ = std::fs::write(later.0, later.1);
        });
        record.line(&format!("daemon {name} starts"));
        Self {
            name: name.to_owned(),
            callers,
            readiness,
            settings,
            output,
            process: Arc::new(AtomicU32::new(child.id())),
            child,
            record: Arc::clone(record),
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        self.record
            .line(&format!("daemon {} gets SIG{signal}", self.name));
        send_signal(self.child.id(), signal);
    }

    /// Suspends the process, and continues it after `time` in the background.
    pub fn freeze(&self, time: Duration) {
        self.signal("STOP");
        let (frozen, name) = (self.child.id(), self.name.clone());
        let process = Arc::clone(&self.process);
        let record = Arc::clone(&self.record);
        thread::spawn(move || {
            thread::sleep(time);
            if process.load(Ordering::Relaxed) == frozen {
                record.line(&format!("daemon {name} goes on"));
                send_signal(frozen, "CONT");
            }
        });
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.record.line(&format!("daemon {} is killed", self.name));
        self.process.store(0, Ordering::Relaxed);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again.
    pub fn start_again(&mut self) {
        self.record
            .line(&format!("daemon {} starts again", self.name));
        self.child = spawn(&self.settings, &self.output);
        self.process.store(self.child.id(), Ordering::Relaxed);
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Returns whether the log's last word on the lead is that this daemon has it.
    pub fn leads(&self) -> bool {
        let log = std::fs::read_to_string(&self.output).unwrap_or_default();
        let mut lines = log
            .lines()
            .rev()
            .filter(|line| line.contains("\"leading\""));
        lines
            .next()
            .is_some_and(|line| line.contains("\"leading\":true"))
    }

    /// Waits until the daemon says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.readiness, Duration::from_secs(1)) else {
            return false;
        };
        let mut wire = Wire::new(stream);
        wire.set_read_timeout(Duration::from_secs(1));
        let asked = wire.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        asked
            .and_then(|()| wire.read(true))
            .is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.process.store(0, Ordering::Relaxed);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn send_signal(process: u32, signal: &str) {
    let sent = Command::new("kill")
        .arg(format!("-{signal}"))
        .arg(process.to_string())
        .status();
    drop(sent);
}

fn spawn(settings: &Path, output: &Path) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(output)
        .expect("a log file");
    let errors = log.try_clone().expect("a log file");
    let mut command = Command::new(PROGRAM);
    command
        .env("BALSAMSWITCH_CONFIG", settings)
        .stdout(log)
        .stderr(errors);
    command.spawn().expect("a started daemon")
}
