//! The project's daemons, as processes with settings like those of a small deployment.

use crate::record::Record;
use std::fs::File;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Wire;
use std::net::TcpStream;

/// The program of the deploy file.
const PROGRAM: &str = "target/release/balsam-edge";

/// A daemon. Its process ends with it.
pub struct Daemon {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    output: PathBuf,
    child: Child,
    record: Arc<Record>,
}

fn free_address() -> SocketAddr {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        if UdpSocket::bind(address).is_ok() {
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
            child,
            record: Arc::clone(record),
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        self.record
            .line(&format!("daemon {} gets SIG{signal}", self.name));
        let sent = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(self.child.id().to_string())
            .status();
        drop(sent);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.record.line(&format!("daemon {} is killed", self.name));
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again.
    pub fn start_again(&mut self) {
        self.record
            .line(&format!("daemon {} starts again", self.name));
        self.child = spawn(&self.settings, &self.output);
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
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
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
