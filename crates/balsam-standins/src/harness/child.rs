//! Child processes of a test.

use super::error::ProcessSnafu;
use super::{HarnessError, Program};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use snafu::{OptionExt, ResultExt};
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{ChildStdout, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Pause between two looks at whether a child has ended.
const EXIT_POLL: Duration = Duration::from_millis(10);

/// How a child process is started.
#[derive(Debug)]
pub struct ChildBuilder {
    program: Program,
    arguments: Vec<String>,
    variables: Vec<(String, String)>,
    log_file: Option<PathBuf>,
}

impl ChildBuilder {
    /// Makes a builder for `program` without arguments.
    pub const fn new(program: Program) -> Self {
        Self {
            program,
            arguments: Vec::new(),
            variables: Vec::new(),
            log_file: None,
        }
    }

    /// Adds arguments.
    #[must_use]
    pub fn with_arguments<T: Into<String>>(
        mut self,
        arguments: impl IntoIterator<Item = T>,
    ) -> Self {
        self.arguments.extend(arguments.into_iter().map(Into::into));
        self
    }

    /// Sets an environment variable.
    #[must_use]
    pub fn with_variable(mut self, name: impl Into<String>, value: impl Into<String>) -> Self {
        self.variables.push((name.into(), value.into()));
        self
    }

    /// Writes the child's standard error to a file instead of the test's own.
    #[must_use]
    pub fn with_log_file(mut self, path: impl Into<PathBuf>) -> Self {
        self.log_file = Some(path.into());
        self
    }

    /// Starts the child and waits until it prints its first line, which must be JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the child cannot be started or prints no JSON line in time.
    pub async fn start(self, deadline: Duration) -> Result<Child, HarnessError> {
        let name = self.program.name();
        let mut inner = self.spawn().context(ProcessSnafu { program: name })?;
        let stdout = inner.stdout.take();
        let mut child = Child {
            program: self.program,
            inner,
            announced: Value::Null,
        };
        let (announce, announced) = oneshot::channel();
        // The thread ends when the child closes its standard output.
        std::thread::spawn(move || read_lines(stdout, announce));
        let line = actix_rt::time::timeout(deadline, announced).await;
        let line = line.ok().and_then(Result::ok);
        let json = line.and_then(|line| serde_json::from_str(&line).ok());
        child.announced = json.with_context(|| super::error::DeadlineSnafu {
            program: name,
            awaited: "a first line of JSON",
            deadline_ms: deadline.as_millis() as u64,
        })?;
        Ok(child)
    }

    fn spawn(&self) -> io::Result<std::process::Child> {
        let mut command = Command::new(self.program.path()?);
        command
            .args(&self.arguments)
            .envs(self.variables.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(Stdio::piped());
        if let Some(path) = &self.log_file {
            command.stderr(File::options().create(true).append(true).open(path)?);
        }
        command.spawn()
    }
}

/// Hands on the first line and drains the others, so that the child never blocks on its output.
fn read_lines(stdout: Option<ChildStdout>, announce: oneshot::Sender<String>) {
    let Some(stdout) = stdout else { return };
    let mut lines = BufReader::new(stdout).lines();
    if let Some(Ok(line)) = lines.next() {
        // The receiver is gone if the deadline has passed.
        let _ = announce.send(line);
    }
    for line in lines {
        match line {
            Ok(line) => log::debug!("child: {line}"),
            Err(_) => break,
        }
    }
}

/// A running child process, which is killed when it is dropped.
#[derive(Debug)]
pub struct Child {
    program: Program,
    inner: std::process::Child,
    announced: Value,
}

impl Child {
    /// Returns the first line that the child printed.
    pub const fn announced(&self) -> &Value {
        &self.announced
    }

    /// Returns the address that the child announced in `field`.
    pub fn address(&self, field: &str) -> Option<SocketAddr> {
        self.announced.get(field)?.as_str()?.parse().ok()
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.inner.id()
    }

    /// Asks the child to stop in order.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn terminate(&self) -> Result<(), HarnessError> {
        self.signal(Signal::TERM)
    }

    /// Freezes the child.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn freeze(&self) -> Result<(), HarnessError> {
        self.signal(Signal::STOP)
    }

    /// Lets a frozen child go on.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn resume(&self) -> Result<(), HarnessError> {
        self.signal(Signal::CONT)
    }

    /// Kills the child and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the child cannot be killed.
    pub fn kill(&mut self) -> Result<(), HarnessError> {
        let program = self.program.name();
        self.inner.kill().context(ProcessSnafu { program })?;
        self.inner.wait().context(ProcessSnafu { program })?;
        Ok(())
    }

    /// Waits for the child's end.
    ///
    /// # Errors
    ///
    /// Returns an error if the child does not end in time.
    pub async fn wait_exit(&mut self, deadline: Duration) -> Result<ExitStatus, HarnessError> {
        let program = self.program.name();
        let begun = Instant::now();
        while begun.elapsed() < deadline {
            let status = self.inner.try_wait().context(ProcessSnafu { program })?;
            if let Some(status) = status {
                return Ok(status);
            }
            actix_rt::time::sleep(EXIT_POLL).await;
        }
        Err(HarnessError::Deadline {
            program: program.to_owned(),
            awaited: "its end",
            deadline_ms: deadline.as_millis() as u64,
        })
    }

    fn signal(&self, signal: Signal) -> Result<(), HarnessError> {
        let pid = Pid::from_child(&self.inner);
        let sent = kill_process(pid, signal).map_err(io::Error::from);
        sent.context(ProcessSnafu {
            program: self.program.name(),
        })
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // Both fail only if the child has ended already.
        let _ = self.inner.kill();
        let _ = self.inner.wait();
    }
}
